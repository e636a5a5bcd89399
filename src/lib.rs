//! Decision logic of an activator that routes calls of form scripts to script hosts.
//!
//! The types are in [`interface`], the decisions in [`rules`], and [`engine`] enforces the guarantees around them.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod called_functions;
mod concurrency_limit;
pub mod engine;
mod gossip;
mod gossip_exchange;
mod hash;
pub mod interface;
pub mod ramp;
pub mod renumbering;
mod repeats;
pub mod rules;
mod state;
mod succession;

pub use engine::{Engine, Ticket};
pub use interface::*;
pub use renumbering::{NewIndexes, Renumbering};
pub use state::Router;
