//! Membership of a fleet of activators: failure detection by SWIM, independent of the transport that carries datagrams.
//!
//! The library `foca` implements the protocol: probes, indirect probes, suspicion, refutation and gossip. This crate
//! decides what `foca` leaves to its embedder:
//!
//! - `local_health`: whether this member was paused or is cut off, and so must not suspect others;
//! - `instance`: which of two instances of a member is the later one;
//! - `local_member`: how a member rejoins after a partition, and how a leave differs from a death;
//! - `view`: whether this member is in a minority.
//!
//! The crate does no I/O: time is an argument, datagrams and changes are returned by [`LocalMember`] as [`Output`], and
//! the same seed and inputs always give the same outputs. docs/design/membership.md compares the alternatives.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod datagram;
mod instance;
mod local_health;
mod local_member;
mod settings;
mod timer_queue;
mod view;

pub use instance::{MemberId, MemberInstance};
pub use local_member::{LocalMember, Output};
pub use settings::{Settings, SettingsError};
pub use view::{Member, MemberState, View};
