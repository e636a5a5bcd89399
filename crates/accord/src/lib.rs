//! Settings and lists with versions on which the activators of a fleet agree, under leases of a majority of voters.
//!
//! It owns the document, its schema and digest, the choice of each version by a majority of voters, whose list is part
//! of the document, the leases under which a version is acted on, and the transfer of documents in datagrams. It promises that on a **hard**
//! key no two activators ever act on contradicting versions, and on a soft one for no longer than [`Settings::bound`]
//! from the moment the first acts on the newer. It knows nothing of calls, hosts, sockets, threads, disks or wall time:
//! time is an argument, datagrams come out as [`Out`], and the same seed and inputs give the same outputs.
//! docs/design/accord.md weighs the ways and argues each rule.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod accord;
mod change;
mod document;
mod fetch;
mod lease;
mod quorum;
mod round;
mod schema;
mod settings;
mod table;
mod view;
mod voter;
mod wire;
mod work;

pub use accord::Accord;
pub use change::{Change, ChangeError};
pub use document::{Digest, Document, Key, KeyError, Value, MOST_BYTES, MOST_ENTRIES, MOST_WORD};
pub use quorum::{Lists, Voters, VotersError, MOST_VOTERS};
pub use schema::{breach, check, hard, stricter, stricter_of, uncovered, SchemaError};
pub use settings::{Name, Settings, SettingsError};
pub use table::{legal, Mark, Move, Phase, ProposalId, Record, Version};
pub use view::{Acting, Out, Refusal, Rejected, Role, View};
pub use work::STEP;

/// The protocol's parts, for models and tests of this crate. Not part of the API.
#[doc(hidden)]
pub mod parts {
    pub use crate::lease::Holder;
    pub use crate::quorum::Quorum;
    pub use crate::round::{Round, Step};
    pub use crate::voter::{Accept, Ask, Ballot, Flaws, Limits, Promise, Request, Standing, Voter};
    pub use crate::wire::{decode, encode, Message, MOST_DATAGRAM};
}
