//! How far to draft ahead, learnt by a fleet from what was accepted. It owns the sums that every member counts (per workload,
//! drafter, length and load band), what a member was told of the others' sums, and the choice of the draft table.
//!
//! It promises that a count is never taken twice, however datagrams are doubled, reordered, lost or cut and members restarted; that no
//! member's counts alone move the table in a fleet of two or more; that the same evidence gives the same table at any member; that
//! memory, bytes a period, exploration and the number of tables an hour have bounds; and that what changed is forgotten within
//! [`Settings::max_evidence_age`].
//!
//! It knows no socket, no clock and no wall time (time is an argument, of the process's own monotonic clock), nothing of who is
//! alive (the hub tells it who is heard), of hosts, models or calls, and nothing of how a table comes into force.
//! See `docs/design/drafts.md`.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod confidence;
mod evaluate;
mod explore;
mod learner;
mod settings;
mod store;
mod tally;
mod types;
mod view;
mod wire;

pub use learner::{DraftLearner, Output};
pub use settings::{Settings, SettingsError};
pub use types::{CallStats, Draft, DraftTable, MemberId, Rejection, Workload, LOAD_BANDS, MAX_DRAFT_TOKENS};
pub use view::{BandView, MemberView, View, WorkloadView};
pub use wire::MAX_DATAGRAM_BYTES;
