//! Settings of a member, and their validation.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::document::Document;
use crate::quorum::{voter_named_by, Quorum, VoterList, VoterLists};
use crate::schema;

/// The number of a member of the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberId(pub u32);

impl fmt::Display for MemberId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Settings of a member at its start. All members of a fleet need the same voters, lease and clock drift.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The voters until a document names others: 3 to 9 members, the same list on all members.
    pub voters: Vec<MemberId>,
    /// The members that a document may make voters by `voter/NUMBER`: at most 16, including the voters, the
    /// same list on all members. If empty, only the voters, so the list cannot change. An epoch bootstrap
    /// relies on the silence of these members, so add a member here before a document names it, and remove it
    /// afterwards.
    pub eligible_voters: Vec<MemberId>,
    /// All members, including the voters: at most 4,096.
    pub roster: Vec<MemberId>,
    /// Duration of a lease: from 6 periods to an hour.
    pub lease: Duration,
    /// Interval at which unanswered messages are sent again: 10 ms to 60 s.
    pub period: Duration,
    /// Maximum error of a monotonic clock, in parts per million: at most 100,000.
    pub drift_ppm: u32,
    /// How long a version waits for members that neither prepared nor refused it: at least a lease.
    pub prepare_timeout: Duration,
    /// Maximum number of document bytes that a member sends in a period: at least 2,400.
    pub transfer_bytes_per_period: usize,
    /// The document in force when no member knows of any version.
    pub document: Document,
    /// The floor of this member's own file, obeyed while it has no lease. It covers the document's floor on
    /// every hard key.
    pub floor: Document,
}

/// Why settings are refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// The key in the `[accord]` section of an operator's file.
    pub key: &'static str,
    /// What is wrong with the value.
    pub reason: String,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "accord.{}: {}", self.key, self.reason)
    }
}

impl std::error::Error for SettingsError {}

/// Maximum number of members. A voter keeps a lease grant for each.
const MAX_MEMBERS: usize = 4_096;
/// Maximum number of eligible voters. Each sends its state to each other in each period.
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
    /// Checks all settings.
    ///
    /// # Errors
    /// The first key that is out of range, or a document that its own floor or the file's floor does not
    /// cover.
    pub fn check(&self) -> Result<(), SettingsError> {
        let refuse = |key, reason: String| Err(SettingsError { key, reason });
        if !(3..=9).contains(&self.voters.len()) {
            return refuse("voters", format!("{} names, 3 to 9 are allowed", self.voters.len()));
        }
        let mut sorted = self.voters.clone();
        sorted.sort_unstable();
        sorted.dedup();
        if sorted.len() != self.voters.len() {
            return refuse("voters", "a name is listed twice".into());
        }
        if let Some(name) = self.voters.iter().find(|name| !self.roster.contains(name)) {
            return refuse("voters", format!("{name} is not among the members"));
        }
        let mut eligible = self.eligible_voters.clone();
        eligible.sort_unstable();
        eligible.dedup();
        if eligible.len() != self.eligible_voters.len() || eligible.len() > MAX_ELIGIBLE_VOTERS {
            return refuse(
                "may_vote",
                format!("{} names: at most {MAX_ELIGIBLE_VOTERS}, none twice", self.eligible_voters.len()),
            );
        }
        if let Some(name) = eligible.iter().find(|name| !self.roster.contains(name)) {
            return refuse("may_vote", format!("{name} is not among the members"));
        }
        if let Some(name) = self.voters.iter().find(|name| !eligible.is_empty() && !eligible.contains(name)) {
            return refuse("may_vote", format!("the voter {name} is missing"));
        }
        if self.roster.len() > MAX_MEMBERS {
            return refuse("voters", format!("{} members, at most {MAX_MEMBERS} allowed", self.roster.len()));
        }
        if !(Duration::from_millis(10)..=Duration::from_secs(60)).contains(&self.period) {
            return refuse("period_ms", format!("{:?} is not 10 ms to 60 s", self.period));
        }
        // With six attempts and 30 % of datagrams lost in each direction, a renewal fails in one of a hundred
        // cases.
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
            if let Some(error) = document.iter().find_map(|(k, v)| schema::check_entry(k, v).err()) {
                return refuse(name, error.to_string());
            }
            if !document.fits() {
                return refuse(name, format!("{} entries, {} bytes", document.len(), document.bytes()));
            }
        }
        if let Some(name) = self.document.entries_outside_lists().find_map(|(key, _)| voter_named_by(key)) {
            return refuse("document", format!("voter/{name}: accord.voters names the initial voters"));
        }
        if let Some(name) = self.floor.entries_outside_lists().find_map(|(key, _)| voter_named_by(key)) {
            return refuse("floor", format!("voter/{name}: voters have no floor"));
        }
        if let Some(key) = self.floor.iter().find_map(|(key, _)| key.floor_target()) {
            return refuse("floor", format!("floor/{key}: keys of the floor must not start with floor/"));
        }
        for (problem, key) in [
            ("the document is stricter", schema::find_uncovered(&self.initial_document(), &self.floor)),
            (
                "the document's floor is stricter",
                schema::find_uncovered(&self.initial_document().floor(), &self.floor),
            ),
        ] {
            if let Some(key) = key {
                return refuse(
                    "floor",
                    format!("{key}: {problem}, so a member that is cut off would contradict it"),
                );
            }
        }
        Ok(())
    }

    /// The upper bound on contradictions: this long after the first activator acts on a version, none acts on
    /// one that contradicts it. No lease is granted on the old version once a majority accepted the new one,
    /// so at most one lease time is left. The bound adds a period, for the loop to notice the end of the
    /// lease, and the drift of the clock that measures it.
    pub fn bound(&self) -> Duration {
        self.longer(self.lease + self.period)
    }

    /// The initial document: the file's, with the file's floor unless the document has a floor itself.
    pub(crate) fn initial_document(&self) -> Document {
        let mut document = self.document.clone();
        if document.iter().all(|(key, _)| key.floor_target().is_none()) {
            for (key, value) in self.floor.iter() {
                if let Some(key) = key.floor() {
                    document.set(key, value.clone());
                }
            }
        }
        document.seal();
        document
    }

    /// All members that may ever vote.
    pub(crate) fn eligible_voters(&self) -> &[MemberId] {
        if self.eligible_voters.is_empty() {
            &self.voters
        } else {
            &self.eligible_voters
        }
    }

    /// The voters until a document names others.
    pub(crate) fn initial_voters(&self) -> Result<VoterLists, SettingsError> {
        let list = VoterList::new(self.voters.iter().copied());
        let list = list.map_err(|why| SettingsError { key: "voters", reason: why.to_string() })?;
        Ok(VoterLists::unchanged(list))
    }

    /// The members whose silence allows an epoch bootstrap: all eligible voters except half of `voters`, rounded
    /// down. No list is shorter than `voters`, so the other members are fewer than a majority of any list, and
    /// every majority has a silent member. If the list cannot change, the quorum is a majority of it.
    ///
    /// Members for which `gone` is true count as silent: the operator promises by a document that their
    /// processes are stopped.
    pub(crate) fn bootstrap_quorum(&self, gone: impl Fn(MemberId) -> bool) -> Quorum {
        let eligible = self.eligible_voters();
        let running: Vec<MemberId> = eligible.iter().copied().filter(|name| !gone(*name)).collect();
        let need = eligible.len() - self.voters.len() / 2;
        let need = need.saturating_sub(eligible.len() - running.len()).max(1);
        Quorum::threshold(running, need)
    }

    /// A duration as the holder measures it: it ends before it ends on any other clock.
    pub(crate) fn shorter(&self, time: Duration) -> Duration {
        time - self.drift(time)
    }

    /// A duration as the grantor measures it: it ends after it has ended on all other clocks.
    pub(crate) fn longer(&self, time: Duration) -> Duration {
        time + self.drift(time)
    }

    fn drift(&self, time: Duration) -> Duration {
        // Rounded up, so that the result is safe even if the drift rounds to zero.
        time * self.drift_ppm / 1_000_000 + Duration::from_micros(1)
    }
}
