//! What is told outside: what is acted on, refusals, and a view for operators.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::change::ChangeError;
use crate::document::Document;
use crate::record::{ProposalId, Version};
use crate::settings::MemberId;

/// What this activator obeys now.
#[derive(Clone, Debug, PartialEq)]
pub enum ActiveTerms {
    /// It has no lease: the floor. On hard keys the stricter of this and the operator's file is to be obeyed.
    Floor(Arc<Document>),
    /// One version.
    Single(Version, Arc<Document>),
    /// Two versions at once.
    Joint {
        /// The older one.
        old: Version,
        /// The newer one.
        new: Version,
        /// On hard keys the stricter of each, on soft keys the new ones.
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

    /// The newest version obeyed; none on the floor.
    pub fn version(&self) -> Option<Version> {
        match self {
            ActiveTerms::Floor(_) => None,
            ActiveTerms::Single(version, _) | ActiveTerms::Joint { new: version, .. } => Some(*version),
        }
    }
}

/// Why an activator cannot take a version up.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Refusal {
    /// It knows no such key or value: an older program.
    Unknown(String),
    /// It cannot hold it.
    OutOfMemory(String),
    /// Its own file's floor is looser than the version's on this key.
    Floor(String),
    /// It neither took it up nor refused it within the settings' patience.
    TimedOut,
    /// Something else.
    Other(String),
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Refusal::Unknown(what) => write!(f, "unknown here: {what}"),
            Refusal::OutOfMemory(what) => write!(f, "no memory: {what}"),
            Refusal::Floor(key) => write!(f, "{key}: the floor of this one's file is looser"),
            Refusal::TimedOut => f.write_str("did not say within the patience"),
            Refusal::Other(what) => f.write_str(what),
        }
    }
}

/// Why a change is not taken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProposalError {
    /// Another version is in force than the change is based on: this one. Look again, and propose on it.
    StaleBase(Version),
    /// Another change is on its way to this version.
    Busy(Version),
    /// The change makes no document.
    Change(ChangeError),
    /// This one does not know what is in force, or already has as many changes under way as it may.
    Unavailable(&'static str),
    /// Its list of voters cannot be: why.
    Voters(String),
    /// It was withdrawn before anybody acted on it.
    Withdrawn,
    /// No word of it within the time allowed. It may still come into force.
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
            ProposalError::Busy(version) => write!(f, "version {} is on its way", version.number),
            ProposalError::Change(error) => write!(f, "{error}"),
            ProposalError::Unavailable(why) => f.write_str(why),
            ProposalError::Voters(why) => f.write_str(why),
            ProposalError::Withdrawn => f.write_str("withdrawn before anybody acted on it"),
            ProposalError::TimedOut => f.write_str("no word of it in time; it may still come into force"),
        }
    }
}

impl std::error::Error for ProposalError {}

/// What is to be done.
#[derive(Clone, Debug)]
pub enum Output {
    /// Send this as one datagram.
    Send {
        /// To whom.
        to: MemberId,
        /// At most 1,190 bytes.
        data: Vec<u8>,
    },
    /// Parse, check and index this, then call `Participant::on_prepared`. A later one supersedes it.
    Prepare {
        /// The version.
        version: Version,
        /// Its document, whole.
        document: Arc<Document>,
    },
    /// Obey this from this moment.
    Apply(ActiveTerms),
    /// What became of a change of this one's.
    Settled {
        /// The change.
        change: ProposalId,
        /// In force (both obeyed at least), or why not.
        result: Result<Version, ProposalError>,
    },
    /// A line for the log.
    Log(String),
}

/// What this one is in the choice of versions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Acts, and has no vote.
    Activator,
    /// Started from nothing: grants and promises nothing for the longest lease, and until it has learnt.
    Silent,
    /// Votes.
    Voter,
}

/// For operators.
#[derive(Clone, Debug)]
pub struct Status {
    /// What is acted on.
    pub active: ActiveTerms,
    /// The newest version known to be chosen, acted on or not.
    pub known: Version,
    /// What is left of the lease by this one's own clock; none on the floor.
    pub lease_remaining: Option<Duration>,
    /// What this one is.
    pub role: Role,
    /// The list in force, and whether each granted this one a lease that still runs.
    pub voters: Vec<(MemberId, bool)>,
    /// While voters change: the list to come, likewise. Once both versions are obeyed a lease needs a majority of each list.
    pub next_voters: Option<Vec<(MemberId, bool)>>,
    /// The version on its way, and whether both are obeyed already.
    pub pending: Option<(Version, bool)>,
    /// Who refused it or keeps it waiting, and why, as far as this one knows (voters know most).
    pub refused: Vec<(MemberId, Refusal)>,
    /// What is acted on without a lease.
    pub floor: Arc<Document>,
    /// Bytes fetched of the document on its way, and bytes of all of it.
    pub fetched: Option<(usize, usize)>,
}
