//! Versioned settings and lists on which the activators of a fleet agree, under leases granted by a majority
//! of voters.
//!
//! The crate contains the document with its schema and digest; the choice of each version by a majority of
//! voters, whose list is part of the document; the leases under which a version is obeyed; and the transfer
//! of documents in datagrams. It guarantees that no two activators ever act on contradicting values of a
//! **hard** key, and on contradicting values of a soft key for no longer than [`Settings::bound`] from the
//! moment the first activator acts on the newer version.
//!
//! It has no dependency on calls, hosts, sockets, threads, disks or wall-clock time: time is an argument,
//! datagrams are returned as [`Output`], and the same seed and inputs give the same outputs. See
//! docs/design/accord.md for the design and the alternatives.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod change;
mod document;
mod fetch;
mod incremental;
mod lease;
mod output;
mod participant;
mod quorum;
mod record;
mod round;
mod schema;
mod settings;
mod voter;
mod wire;

pub use change::{Change, ChangeError};
pub use document::{
    Digest, Document, Key, KeyError, Value, MAX_DOCUMENT_BYTES, MAX_DOCUMENT_ENTRIES, MAX_TEXT_BYTES,
};
pub use incremental::STEP_ENTRIES;
pub use output::{ActiveTerms, Output, ProposalError, Refusal, Role, Status};
pub use participant::Participant;
pub use quorum::{VoterList, VoterListError, VoterLists, MAX_VOTERS};
pub use record::{legal_transition, Phase, Position, ProposalId, Record, Transition, Version};
pub use schema::{
    check_entry, find_contradiction, find_uncovered, is_hard, joint_terms, stricter, SchemaError,
};
pub use settings::{MemberId, Settings, SettingsError};

/// The parts of the protocol, for models and tests. Not part of the API.
#[doc(hidden)]
pub mod parts {
    pub use crate::lease::LeaseHolder;
    pub use crate::quorum::Quorum;
    pub use crate::round::{Round, RoundAction};
    pub use crate::voter::{
        Accept, Ballot, Faults, LeaseRequest, Limits, Promise, PromiseRequest, Voter, VoterStatus,
    };
    pub use crate::wire::{decode, encode, Message, MAX_DATAGRAM_BYTES};
}
