//! Who of a fleet of activators is alive: failure detection by SWIM, over whatever carries datagrams.
//!
//! The library `foca` does the protocol: probes, indirect probes, suspicion, refutation, gossip. What it leaves to its
//! embedder is decided here, as its failures are ours: whose clock is wrong after a pause (`doubt.rs`), which life of a
//! name is the later one (`life.rs`), how a member that was cut off finds back, what is a leave and what a death,
//! and whether this one is in a minority (`view.rs`).
//!
//! There is no I/O: time is an argument, datagrams and changes come out of [`Members`] as [`Out`], and the same seed
//! and inputs always give the same outputs. docs/design/membership.md weighs the ways.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod doubt;
mod life;
mod members;
mod settings;
mod timers;
mod view;
mod words;

pub use life::{Life, Name};
pub use members::{Members, Out};
pub use settings::{Settings, SettingsError};
pub use view::{Member, State, View};
