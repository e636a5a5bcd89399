//! What is told outside: what is acted on, refusals, and a view for operators.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::change::ChangeError;
use crate::document::Document;
use crate::settings::Name;
use crate::table::{ProposalId, Version};

/// What this activator obeys now.
#[derive(Clone, Debug, PartialEq)]
pub enum Acting {
    /// It has no lease: the floor. On hard keys the stricter of this and the operator's file is to be obeyed.
    Floor(Arc<Document>),
    /// One version.
    One(Version, Arc<Document>),
    /// Two versions at once.
    Both {
        /// The older one.
        old: Version,
        /// The newer one.
        new: Version,
        /// On hard keys the stricter of each, on soft keys the new ones.
        terms: Arc<Document>,
    },
}

impl Acting {
    /// The terms to obey.
    pub fn terms(&self) -> &Arc<Document> {
        match self {
            Acting::Floor(terms) | Acting::One(_, terms) | Acting::Both { terms, .. } => terms,
        }
    }

    /// The newest version obeyed; none on the floor.
    pub fn version(&self) -> Option<Version> {
        match self {
            Acting::Floor(_) => None,
            Acting::One(version, _) | Acting::Both { new: version, .. } => Some(*version),
        }
    }
}

/// Why an activator cannot take a version up.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Refusal {
    /// It knows no such key or value: an older program.
    Unknown(String),
    /// It cannot hold it.
    Memory(String),
    /// Its own file's floor is looser than the version's on this key.
    Floor(String),
    /// It neither took it up nor refused it within the settings' patience.
    Late,
    /// Something else.
    Other(String),
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Refusal::Unknown(what) => write!(f, "unknown here: {what}"),
            Refusal::Memory(what) => write!(f, "no memory: {what}"),
            Refusal::Floor(key) => write!(f, "{key}: the floor of this one's file is looser"),
            Refusal::Late => f.write_str("did not say within the patience"),
            Refusal::Other(what) => f.write_str(what),
        }
    }
}

/// Why a change is not taken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Rejected {
    /// Another version is in force than the change is based on: this one. Look again, and propose on it.
    Stale(Version),
    /// Another change is on its way to this version.
    Busy(Version),
    /// The change makes no document.
    Change(ChangeError),
    /// This one does not know what is in force, or already has as many changes under way as it may.
    NotNow(&'static str),
    /// Its list of voters cannot be: why.
    Voters(String),
    /// It was withdrawn before anybody acted on it.
    Withdrawn,
    /// No word of it within the time allowed. It may still come into force.
    Unanswered,
}

impl fmt::Display for Rejected {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Rejected::Stale(version) => {
                write!(
                    f,
                    "version {} ({}) is in force, not the base of the change",
                    version.number, version.digest
                )
            }
            Rejected::Busy(version) => write!(f, "version {} is on its way", version.number),
            Rejected::Change(error) => write!(f, "{error}"),
            Rejected::NotNow(why) => f.write_str(why),
            Rejected::Voters(why) => f.write_str(why),
            Rejected::Withdrawn => f.write_str("withdrawn before anybody acted on it"),
            Rejected::Unanswered => f.write_str("no word of it in time; it may still come into force"),
        }
    }
}

impl std::error::Error for Rejected {}

/// What is to be done.
#[derive(Clone, Debug)]
pub enum Out {
    /// Send this as one datagram.
    Send {
        /// To whom.
        to: Name,
        /// At most 1,190 bytes.
        data: Vec<u8>,
    },
    /// Parse, check and index this, then call `Accord::prepared`. A later one supersedes it.
    Prepare {
        /// The version.
        version: Version,
        /// Its document, whole.
        document: Arc<Document>,
    },
    /// Obey this from this moment.
    Act(Acting),
    /// What became of a change of this one's.
    Settled {
        /// The change.
        change: ProposalId,
        /// In force (both obeyed at least), or why not.
        result: Result<Version, Rejected>,
    },
    /// A line for the log.
    Note(String),
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
pub struct View {
    /// What is acted on.
    pub acting: Acting,
    /// The newest version known to be chosen, acted on or not.
    pub known: Version,
    /// What is left of the lease by this one's own clock; none on the floor.
    pub lease_left: Option<Duration>,
    /// What this one is.
    pub role: Role,
    /// The list in force, and whether each granted this one a lease that still runs.
    pub voters: Vec<(Name, bool)>,
    /// While voters change: the list to come, likewise. Once both versions are obeyed a lease needs a majority of each list.
    pub voters_to_come: Option<Vec<(Name, bool)>>,
    /// The version on its way, and whether both are obeyed already.
    pub pending: Option<(Version, bool)>,
    /// Who refused it or keeps it waiting, and why, as far as this one knows (voters know most).
    pub refused: Vec<(Name, Refusal)>,
    /// What is acted on without a lease.
    pub floor: Arc<Document>,
    /// Bytes fetched of the document on its way, and bytes of all of it.
    pub fetched: Option<(usize, usize)>,
}
