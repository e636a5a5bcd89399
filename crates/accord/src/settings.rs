//! Settings, checked whole.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::document::Document;
use crate::quorum::{voter_named_by, Quorum, VoterList, VoterLists};
use crate::schema;

/// A member of the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberId(pub u32);

impl fmt::Display for MemberId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// What the accord is told at its start. All members of a fleet are told the same voters, lease and drift.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Who chooses versions and grants leases until a document names others: 3 to 9 names, the same list for all.
    pub voters: Vec<MemberId>,
    /// Who may vote by a document's `voter/NUMBER`: at most 16 names, the voters among them, the same list for all. Empty: the
    /// voters, so that a list may not change. A founding counts on the silence of these, so names are added here before
    /// a document has them, and taken out after.
    pub eligible_voters: Vec<MemberId>,
    /// All who may act, voters among them: at most 4,096.
    pub roster: Vec<MemberId>,
    /// How long a lease lasts: 6 periods to an hour.
    pub lease: Duration,
    /// How often something unanswered is sent again: 10 ms to 60 s.
    pub period: Duration,
    /// How far a monotonic clock may be from true time, parts in a million: at most 100,000.
    pub drift_ppm: u32,
    /// How long a version waits for those who neither took it up nor refused it: at least a lease.
    pub prepare_timeout: Duration,
    /// Most bytes of documents a member sends in a period: at least 2,400.
    pub transfer_bytes_per_period: usize,
    /// What is in force where no member knows of any version.
    pub document: Document,
    /// What this one acts on while it has no lease, by its own file. Covers the document's floor on every hard key.
    pub floor: Document,
}

/// Why settings are refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// The key as it is named in an operator's file below `[accord]`.
    pub key: &'static str,
    /// What is wrong with it.
    pub reason: String,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "accord.{}: {}", self.key, self.reason)
    }
}

impl std::error::Error for SettingsError {}

/// Most members: what a voter keeps a lease for.
const MAX_MEMBERS: usize = 4_096;
/// Most that may vote: each says to each other how it stands, each period.
const MAX_ELIGIBLE_VOTERS: usize = 16;

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            voters: Vec::new(),
            eligible_voters: Vec::new(),
            roster: Vec::new(),
            lease: Duration::from_secs(6),
            period: Duration::from_millis(500),
            drift_ppm: 500,
            prepare_timeout: Duration::from_secs(60),
            transfer_bytes_per_period: 120_000,
            document: Document::default(),
            floor: Document::default(),
        }
    }
}

impl Settings {
    /// Looks at all of it.
    ///
    /// # Errors
    /// The first key that is out of its range, or a document that its own floor or the file's does not cover.
    pub fn check(&self) -> Result<(), SettingsError> {
        let refuse = |key, reason: String| Err(SettingsError { key, reason });
        if !(3..=9).contains(&self.voters.len()) {
            return refuse("voters", format!("{} names, 3 to 9 are allowed", self.voters.len()));
        }
        let mut sorted = self.voters.clone();
        sorted.sort_unstable();
        sorted.dedup();
        if sorted.len() != self.voters.len() {
            return refuse("voters", "a name stands twice".into());
        }
        if let Some(name) = self.voters.iter().find(|name| !self.roster.contains(name)) {
            return refuse("voters", format!("{name} is not among the members"));
        }
        let mut may = self.eligible_voters.clone();
        may.sort_unstable();
        may.dedup();
        if may.len() != self.eligible_voters.len() || may.len() > MAX_ELIGIBLE_VOTERS {
            return refuse(
                "may_vote",
                format!("{} names: at most {MAX_ELIGIBLE_VOTERS}, none twice", self.eligible_voters.len()),
            );
        }
        if let Some(name) = may.iter().find(|name| !self.roster.contains(name)) {
            return refuse("may_vote", format!("{name} is not among the members"));
        }
        if let Some(name) = self.voters.iter().find(|name| !may.is_empty() && !may.contains(name)) {
            return refuse("may_vote", format!("the voter {name} is missing"));
        }
        if self.roster.len() > MAX_MEMBERS {
            return refuse(
                "voters",
                format!("{} members, at most {MAX_MEMBERS} are allowed", self.roster.len()),
            );
        }
        if !(Duration::from_millis(10)..=Duration::from_secs(60)).contains(&self.period) {
            return refuse("period_ms", format!("{:?} is not 10 ms to 60 s", self.period));
        }
        // Six tries at 30 in 100 lost each way leave one lease in a hundred to chance.
        if self.lease < self.period * 6 || self.lease > Duration::from_secs(3600) {
            return refuse("lease_ms", format!("{:?} is not six periods to an hour", self.lease));
        }
        if self.drift_ppm > 100_000 {
            return refuse("drift_ppm", format!("{} is above 100000", self.drift_ppm));
        }
        if self.prepare_timeout < self.lease {
            return refuse("patience_ms", format!("{:?} is less than a lease", self.prepare_timeout));
        }
        if self.transfer_bytes_per_period < 2_400 {
            return refuse("pace_bytes", format!("{} is less than 2400", self.transfer_bytes_per_period));
        }
        for (name, document) in [("document", &self.document), ("floor", &self.floor)] {
            if let Some(error) =
                document.iter().find_map(|(key, value)| schema::check_entry(key, value).err())
            {
                return refuse(name, error.to_string());
            }
            if !document.fits() {
                return refuse(name, format!("{} entries, {} bytes", document.len(), document.bytes()));
            }
        }
        if let Some(name) = self.document.entries_outside_lists().find_map(|(key, _)| voter_named_by(key)) {
            return refuse(
                "document",
                format!("voter/{name}: who votes at the start is said by accord.voters"),
            );
        }
        if let Some(name) = self.floor.entries_outside_lists().find_map(|(key, _)| voter_named_by(key)) {
            return refuse("floor", format!("voter/{name}: voters have no floor"));
        }
        if let Some(key) = self.floor.iter().find_map(|(key, _)| key.floor_target()) {
            return refuse("floor", format!("floor/{key}: keys of the floor have no floor/ before them"));
        }
        for (of, key) in [
            ("the document is stricter", schema::find_uncovered(&self.first(), &self.floor)),
            ("the document's floor is stricter", schema::find_uncovered(&self.first().floor(), &self.floor)),
        ] {
            if let Some(key) = key {
                return refuse("floor", format!("{key}: {of}, so one that is cut off would contradict it"));
            }
        }
        Ok(())
    }

    /// The promise T: from the moment the first activator acts on a version, after this none acts on one that contradicts
    /// it. A lease is never granted on the old once a majority took the new, so what is left of leases is at most one of
    /// them; a period more for the loop that is to notice; and the drift of the clock that measures it.
    pub fn bound(&self) -> Duration {
        self.longer(self.lease + self.period)
    }

    /// The document at the very start: the file's, with the file's floor where it says none.
    pub(crate) fn first(&self) -> Document {
        let mut first = self.document.clone();
        if first.iter().all(|(key, _)| key.floor_target().is_none()) {
            for (key, value) in self.floor.iter() {
                if let Some(key) = key.floor() {
                    first.set(key, value.clone());
                }
            }
        }
        first.seal();
        first
    }

    /// Who may ever vote.
    pub(crate) fn eligible_voters(&self) -> &[MemberId] {
        if self.eligible_voters.is_empty() {
            &self.voters
        } else {
            &self.eligible_voters
        }
    }

    /// Who votes where no document said otherwise yet.
    pub(crate) fn first_list(&self) -> Result<VoterLists, SettingsError> {
        let list = VoterList::new(self.voters.iter().copied());
        let list = list.map_err(|why| SettingsError { key: "voters", reason: why.to_string() })?;
        Ok(VoterLists::unchanged(list))
    }

    /// Whose silence is enough for a founding: all that may vote but for fewer than a majority of the smallest list there may
    /// be, so that whatever list is in force, one of each of its majorities is silent. With a list that may not change: a majority.
    ///
    /// Who is `gone`, as the operator promises by a document, is silent.
    pub(crate) fn bootstrap_quorum(&self, gone: impl Fn(MemberId) -> bool) -> Quorum {
        let may = self.eligible_voters();
        let left: Vec<MemberId> = may.iter().copied().filter(|name| !gone(*name)).collect();
        let need = may.len() - self.voters.len() / 2;
        let need = need.saturating_sub(may.len() - left.len()).max(1);
        Quorum::threshold(left, need)
    }

    /// A time on the holder's side: over before it is over for anybody else.
    pub(crate) fn shorter(&self, time: Duration) -> Duration {
        time - self.drift(time)
    }

    /// A time on the grantor's side: over after it is over for everybody else.
    pub(crate) fn longer(&self, time: Duration) -> Duration {
        time + self.drift(time)
    }

    fn drift(&self, time: Duration) -> Duration {
        // Rounded up, so that a drift of nothing but rounding errs on the safe side.
        time * self.drift_ppm / 1_000_000 + Duration::from_micros(1)
    }
}
