//! Routes the turns of conversations to the sites whose caches are expected to hold most of their prefix, within
//! bounds on load.
//!
//! The crate models the sites' caches: which sites hold which prefix (`table.rs`), how long a site keeps blocks
//! (`sites.rs`), which prefixes are common to many conversations (`sketch.rs`), which tenants report wrong hashes
//! (`trust.rs`), and the messages by which activators share this state (`wire.rs`). From that it advises a few sites
//! for a turn (`placement.rs`), or lets the turn wait for recomputation budget (`recompute.rs`).
//!
//! Guarantees: advice names only sites that were reported as available. No advised site is above its load bound while
//! another one has room. Prefixes lost with a site are recomputed within a budget that all activators share, even
//! when they are partitioned from each other. No turn waits beyond its deadline. Memory is bounded for any input. A
//! wrong expectation costs one miss.
//!
//! The crate does not deal with hosts, calls, classes, sockets or clocks: time is an argument, and the same seed and
//! inputs always give the same advice and the same datagrams. docs/design/turns.md compares the alternatives.
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
    Advice, AttemptToken, Choice, Decision, MemberId, Output, Reason, Settings, SettingsError, SiteId,
    SiteStatus, Turn, TurnParseError, WaitingId, DEFAULT_WEIGHT, MAX_CHOICES, MAX_HASHES, MAX_SITES,
    MAX_WAITING_TURNS,
};
pub use view::{SiteView, View};
