//! The outputs of a member: the terms to obey, refusals, and its status for operators.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::change::ChangeError;
use crate::document::Document;
use crate::record::{ProposalId, Version};
use crate::settings::MemberId;

/// The terms that this activator obeys now.
#[derive(Clone, Debug, PartialEq)]
pub enum ActiveTerms {
    /// There is no lease, so the floor applies. On hard keys the activator obeys the stricter of this and the
    /// operator's file.
    Floor(Arc<Document>),
    /// One version.
    Single(Version, Arc<Document>),
    /// Two versions at once.
    Joint {
        /// The older version.
        old: Version,
        /// The newer version.
        new: Version,
        /// The stricter value of each hard key, and the new version's value of each soft key.
        terms: Arc<Document>,
    },
}

impl ActiveTerms {
    /// The terms to obey.
    pub fn terms(&self) -> &Arc<Document> {
        match self {
            ActiveTerms::Floor(terms) | ActiveTerms::Single(_, terms) | ActiveTerms::Joint { terms, .. } => {
                terms
            }
        }
    }

    /// The newest version obeyed; `None` on the floor.
    pub fn version(&self) -> Option<Version> {
        match self {
            ActiveTerms::Floor(_) => None,
            ActiveTerms::Single(version, _) | ActiveTerms::Joint { new: version, .. } => Some(*version),
        }
    }
}

/// Why an activator cannot prepare a version.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Refusal {
    /// The program does not know a key or value; it is an older program.
    Unknown(String),
    /// The document does not fit in memory.
    OutOfMemory(String),
    /// The floor of its own file is looser than the version's on this key.
    Floor(String),
    /// It neither prepared nor refused the version within the preparation timeout.
    TimedOut,
    /// Any other reason.
    Other(String),
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Refusal::Unknown(what) => write!(f, "unknown to this program: {what}"),
            Refusal::OutOfMemory(what) => write!(f, "out of memory: {what}"),
            Refusal::Floor(key) => write!(f, "{key}: the floor of this member's file is looser"),
            Refusal::TimedOut => f.write_str("no report within patience_ms"),
            Refusal::Other(what) => f.write_str(what),
        }
    }
}

/// Why a proposed change was not made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProposalError {
    /// The change is based on another version than this one, which is in force. Read the document again and
    /// propose a change based on it.
    StaleBase(Version),
    /// Another change is pending, to this version.
    Busy(Version),
    /// The change does not result in a valid document.
    Change(ChangeError),
    /// This member does not know what is in force, or already has a change in progress.
    Unavailable(&'static str),
    /// The list of voters is not allowed, for this reason.
    Voters(String),
    /// The change was withdrawn before any member acted on it.
    Withdrawn,
    /// There was no result within the allowed time. The change may still come into force.
    TimedOut,
}

impl fmt::Display for ProposalError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ProposalError::StaleBase(version) => {
                write!(
                    f,
                    "version {} ({}) is in force, not the base of the change",
                    version.number, version.digest
                )
            }
            ProposalError::Busy(version) => write!(f, "version {} is already pending", version.number),
            ProposalError::Change(error) => write!(f, "{error}"),
            ProposalError::Unavailable(why) => f.write_str(why),
            ProposalError::Voters(why) => f.write_str(why),
            ProposalError::Withdrawn => f.write_str("withdrawn before any member acted on it"),
            ProposalError::TimedOut => f.write_str("no result in time; it may still come into force"),
        }
    }
}

impl std::error::Error for ProposalError {}

/// An action for the host process.
#[derive(Clone, Debug)]
pub enum Output {
    /// Send this as one datagram.
    Send {
        /// The recipient.
        to: MemberId,
        /// At most 1,190 bytes.
        data: Vec<u8>,
    },
    /// Parse, check and index this document, then call
    /// [`Participant::on_prepared`](crate::Participant::on_prepared). A later request supersedes this one.
    Prepare {
        /// The version.
        version: Version,
        /// The complete document.
        document: Arc<Document>,
    },
    /// Obey these terms from now on.
    Apply(ActiveTerms),
    /// The result of a change proposed by this member.
    Settled {
        /// The change.
        change: ProposalId,
        /// The version if it is in force, at least jointly; otherwise why not.
        result: Result<Version, ProposalError>,
    },
    /// Write this line to the log.
    Log(String),
}

/// The role of a member in the choice of versions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Obeys versions and has no vote.
    Activator,
    /// A voter that started without state. It grants and promises nothing for the longest lease time, and
    /// until it has recovered.
    Silent,
    /// A voter.
    Voter,
}

/// The status of a member, for operators.
#[derive(Clone, Debug)]
pub struct Status {
    /// The terms obeyed.
    pub active: ActiveTerms,
    /// The newest version known to be chosen, whether or not it is obeyed.
    pub known: Version,
    /// Remaining time of the lease by this member's clock; `None` on the floor.
    pub lease_remaining: Option<Duration>,
    /// The role of this member.
    pub role: Role,
    /// The current voters, and whether the grant of each to this member still runs.
    pub voters: Vec<(MemberId, bool)>,
    /// During a change of voters: the future voters, likewise. While both versions are obeyed, a lease needs
    /// a majority of each list.
    pub next_voters: Option<Vec<(MemberId, bool)>>,
    /// The pending version, and whether it is already obeyed jointly with the old one.
    pub pending: Option<(Version, bool)>,
    /// Members that refuse or delay the pending version, and why, as far as this member knows. Voters know
    /// most.
    pub refused: Vec<(MemberId, Refusal)>,
    /// The floor, obeyed without a lease.
    pub floor: Arc<Document>,
    /// Bytes fetched of the document in transfer, and its total size.
    pub fetched: Option<(usize, usize)>,
}
