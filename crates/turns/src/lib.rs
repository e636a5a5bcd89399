//! Which site a conversation's turn goes to: the one that holds most of its prefix, against load.
//!
//! This crate owns what is believed of sites' caches: which prefix lies where (`table.rs`), how long a site keeps what
//! it was sent (`sites.rs`), which prefixes are common to many conversations (`sketch.rs`), whose word is not to be
//! trusted (`trust.rs`), and what activators tell each other of it (`wire.rs`). From that it advises a few sites for a
//! turn (`place.rs`), or has it wait for a share of what sites may compute anew (`anew.rs`). It promises that advice names
//! only sites that were told as being there, that none stands above its bounded load while another has room, that what
//! was lost with a site is computed anew within a budget that all activators together keep, cut off from each other or
//! not, that nothing waits beyond its time, that its memory is bounded whatever comes, and that a belief that was wrong
//! costs one miss.
//!
//! It knows nothing of hosts, calls, classes, sockets or clocks: time is an argument, and the same seed and inputs
//! always give the same advice and the same datagrams. docs/design/turns.md weighs the ways.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

#[cfg(test)]
mod faults;
mod feedback;
#[cfg(test)]
mod histories;
mod placement;
mod recompute;
mod sites;
mod sketch;
mod table;
mod trust;
mod types;
mod view;
mod wire;

pub use placement::TurnRouter;
pub use types::{
    ActivatorId, Advice, AttemptToken, Choice, Decision, Output, Reason, Settings, SettingsError, SiteId,
    SiteStatus, Turn, TurnParseError, WaitingId, DEFAULT_SITE_WEIGHT, MAX_CHOICES, MAX_PREFIX_HASHES,
    MAX_SITES, MAX_WAITING_TURNS,
};
pub use view::{SiteView, View};
