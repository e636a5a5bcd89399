//! Draft lengths for speculative decoding, learned by a fleet from acceptance rates and processing times.
//!
//! Each member counts calls by workload, drafter, draft length and load band, exchanges its counts with the other members, and
//! proposes a table of the best draft for each workload and band.
//!
//! The crate guarantees that:
//!
//! - no count is used twice, even if datagrams are duplicated, reordered, lost or truncated and members restart;
//! - in a fleet of two or more, the counts of a single member never change the table;
//! - the same evidence leads to the same table at every member;
//! - memory, bytes per period, exploration and the number of tables per hour are bounded;
//! - outdated evidence is dropped within [`Settings::max_evidence_age`].
//!
//! The crate does no I/O and reads no clock: the time is an argument, taken from the monotonic clock of the process. The caller
//! says which members are heard, and brings tables into force.
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
pub use types::{CallStats, Draft, DraftTable, MemberId, Refusal, Workload, LOAD_BANDS, MAX_DRAFT_TOKENS};
pub use view::{BandView, MemberView, View, WorkloadView};
pub use wire::MAX_DATAGRAM_BYTES;
