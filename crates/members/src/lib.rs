//! Who of a fleet of activators is alive: failure detection by SWIM, over whatever carries datagrams.
//!
//! The library `foca` does the protocol: probes, indirect probes, suspicion, refutation, gossip. What it leaves to its
//! embedder is decided here, as its failures are ours: whose clock is wrong after a pause (`doubt.rs`), which life of a
//! name is the later one (`life.rs`), how a member that was cut off finds back, what is a leave and what a death,
//! and whether this one is in a minority (`view.rs`).
//!
//! There is no I/O: time is an argument, datagrams and changes come out of [`LocalMember`] as [`Output`], and the same seed
//! and inputs always give the same outputs. docs/design/membership.md weighs the ways.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod datagram;
mod instance;
mod local_member;
mod self_suspicion;
mod settings;
mod timer_queue;
mod view;

pub use instance::{MemberId, MemberInstance};
pub use local_member::{LocalMember, Output};
pub use settings::{Settings, SettingsError};
pub use view::{Member, MemberState, View};
