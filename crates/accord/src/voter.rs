//! A voter: what it promised, accepted, knows to be chosen and granted. No clock, no network: the model of
//! `tests/model.rs` drives this very code through all interleavings.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::output::Refusal;
use crate::quorum::VoterList;
use crate::record::{legal_transition, Phase, Position, Record, Transition, Version};
use crate::settings::{MemberId, Settings};

/// A round's number, then who runs it.
pub type Ballot = (u32, MemberId);

/// Flaws that tests plant to see that they are found. All false in the program: nothing but tests can set one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Flaws {
    /// A voter that starts from nothing votes and grants at once.
    pub votes_at_once: bool,
    /// The grantor takes a lease for ended before the holder does.
    pub grantor_expires_first: bool,
    /// From preparing straight to the new version.
    pub skips_joint: bool,
    /// Accepts a lower ballot than it promised.
    pub breaks_promise: bool,
    /// Accepts in a round that did not ask for its promise.
    pub accepts_without_promise: bool,
    /// Half of the voters pass for a majority.
    pub half_is_majority: bool,
    /// A holder that wakes acts on the lease it had when it fell asleep.
    pub stale_lease: bool,
    /// The lease is counted from when the grant came in, not from when it was asked for.
    pub lease_from_arrival: bool,
    /// A lease while voters change from a majority of the old list alone.
    pub lease_from_old_list: bool,
    /// The end of a change of voters is chosen by a majority of the new list alone.
    pub choice_by_new_list: bool,
    /// One that is to vote does so before it learnt from those that vote.
    pub added_votes_unlearnt: bool,
    /// One that votes no more grants what it is asked for.
    pub removed_grants: bool,
}

/// What of the settings a voter goes by.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Limits {
    /// Least names of a list of voters: what a founding counts on.
    pub min_voters: usize,
    /// How long one that is to vote does so before it takes the joint step of its own change: so that holders have its grants then.
    pub join_delay: Duration,
    /// How long a grant binds the grantor, by its own clock.
    pub grant_duration: Duration,
    /// How long one that starts from nothing stays silent: the longest lease an earlier life may have granted.
    pub silence: Duration,
    /// How long a version waits for one that says nothing.
    pub prepare_timeout: Duration,
}

impl Limits {
    pub(crate) fn of(settings: &Settings) -> Limits {
        let grant_duration = settings.longer(settings.lease);
        // A period more than a lease: the earlier life may have been in the middle of a turn of its loop.
        let silence = settings.longer(settings.lease + settings.period);
        let join_delay = settings.lease / 6 + settings.period * 2;
        Limits {
            min_voters: settings.voters.len(),
            join_delay,
            grant_duration,
            silence,
            prepare_timeout: settings.prepare_timeout,
        }
    }
}

/// Whether it votes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum VoterStatus {
    /// Grants, promises and accepts nothing until then, and longer if it `forgot` what it did.
    Silent {
        /// By its own clock.
        until: Duration,
        /// Whether an earlier life may have voted where this one does not know.
        state_lost: bool,
    },
    /// Was silent long enough, and has not learnt from a majority of others: ready for a founding.
    Ready,
    /// Votes.
    Voting,
}

/// Will you promise?
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PromiseRequest {
    /// For the record at this place.
    pub position: Position,
    /// Not to accept below this.
    pub ballot: Ballot,
    /// What the asker would put there.
    pub proposal: Record,
}

/// The answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Promise {
    /// The place.
    pub position: Position,
    /// What was asked for.
    pub ballot: Ballot,
    /// What is promised: another than asked for if the answer is no.
    pub promised: Ballot,
    /// The life that promises: it counts for no other.
    pub incarnation: u64,
    /// Whether the wish would be accepted now.
    pub would_accept: bool,
    /// What this one accepted before.
    pub accepted: Option<(Ballot, Record)>,
}

/// Accept this.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Accept {
    /// In this round.
    pub ballot: Ballot,
    /// The record.
    pub record: Record,
    /// The lives whose promises it rests on, and that alone may accept. A voter that knows a later life of one of them refuses: what the
    /// earlier one promised is forgotten.
    pub incarnations: Vec<(MemberId, u64)>,
    /// A founding only: the newest record the founder knows. Who knows a newer one refuses.
    pub basis: Option<Position>,
}

/// An activator asks for a lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Its life.
    pub incarnation: u64,
    /// Sent at this microsecond of its own clock; echoed. The lease is counted from here.
    pub at: u64,
    /// The record it obeys: it never again obeys one before this.
    pub position: Position,
    /// The newest record it knows to be chosen.
    pub known: Position,
    /// What it says of the version on its way.
    pub word: Option<(Version, Result<(), Refusal>)>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Grant {
    incarnation: u64,
    position: Position,
    until: Duration,
}

/// A voter's state.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Voter {
    me: MemberId,
    incarnation: u64,
    limits: Limits,
    /// Who may vote, by this one's own file: the silence of nobody else is waited for by a founding.
    may_vote: Arc<[MemberId]>,
    status: VoterStatus,
    /// Since when it votes.
    voting: Duration,
    /// Until then a founding that it accepted may be chosen by that: it does not go back to voting as before.
    bound: Duration,
    known: Record,
    /// When it learnt that.
    since: Duration,
    /// For the place after `known`.
    promised: Ballot,
    accepted: Option<(Ballot, Record)>,
    /// By holder: bounded by the roster.
    grants: BTreeMap<MemberId, Grant>,
    /// The latest life known of each other voter.
    incarnations: BTreeMap<MemberId, u64>,
    /// What members said of the version on its way: bounded by the roster.
    words: BTreeMap<MemberId, Result<(), Refusal>>,
    /// Whether the document on its way is here.
    holds: bool,
    /// Whether a version that one refuses goes on without it.
    go_on: bool,
    /// Who must say yes to a version whose floor is stricter.
    needed: BTreeSet<MemberId>,
    /// Of a recovery: who did not forget, and answered this life.
    learnt: BTreeSet<MemberId>,
    flaws: Flaws,
}

impl Voter {
    /// One that may vote and starts from nothing, knowing `first`.
    pub fn new(
        me: MemberId,
        incarnation: u64,
        limits: Limits,
        may_vote: impl IntoIterator<Item = MemberId>,
        first: Record,
        now: Duration,
    ) -> Voter {
        Voter {
            me,
            incarnation,
            limits,
            may_vote: may_vote.into_iter().collect(),
            voting: now,
            bound: Duration::ZERO,
            status: VoterStatus::Silent { until: now + limits.silence, state_lost: true },
            known: first,
            since: now,
            promised: (0, MemberId(0)),
            accepted: None,
            grants: BTreeMap::new(),
            incarnations: BTreeMap::new(),
            words: BTreeMap::new(),
            holds: false,
            go_on: false,
            needed: BTreeSet::new(),
            learnt: BTreeSet::new(),
            flaws: Flaws::default(),
        }
    }

    /// For tests: plants flaws.
    pub fn flawed(mut self, flaws: Flaws) -> Voter {
        self.flaws = flaws;
        if flaws.votes_at_once {
            self.status = VoterStatus::Voting;
        }
        self
    }

    /// For models: one that votes from the start, as after a founding.
    pub fn voting(mut self) -> Voter {
        self.status = VoterStatus::Voting;
        self
    }

    /// Its name.
    pub fn me(&self) -> MemberId {
        self.me
    }

    /// Its life.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Whether it does not vote yet, and has granted and accepted nothing.
    pub fn is_uncommitted(&self) -> bool {
        let forgot = matches!(self.status, VoterStatus::Silent { state_lost: true, .. } | VoterStatus::Ready);
        forgot && self.grants.is_empty() && self.accepted.is_none()
    }

    /// Takes a later life.
    pub fn set_incarnation(&mut self, incarnation: u64) {
        self.incarnation = incarnation;
    }

    /// Whether it votes.
    pub fn status(&self) -> VoterStatus {
        self.status
    }

    /// The newest record it knows to be chosen.
    pub fn known(&self) -> &Record {
        &self.known
    }

    /// When it learnt of that.
    pub fn since(&self) -> Duration {
        self.since
    }

    /// What it promised for the place after that.
    pub fn promised(&self) -> Ballot {
        self.promised
    }

    /// What it accepted there.
    pub fn accepted(&self) -> Option<&(Ballot, Record)> {
        self.accepted.as_ref()
    }

    /// What members said of the version on its way.
    pub fn reports(&self) -> &BTreeMap<MemberId, Result<(), Refusal>> {
        &self.words
    }

    /// Whether the document on its way is here; what the one in force says of refusals; who must agree to a stricter
    /// floor.
    pub fn set_preparation(&mut self, holds: bool, go_on: bool, needed: BTreeSet<MemberId>) {
        self.holds = holds;
        self.go_on = go_on;
        self.needed = needed;
    }

    /// A record that a majority chose.
    pub fn learn(&mut self, now: Duration, record: &Record) -> bool {
        if record.position <= self.known.position {
            return false;
        }
        let founded_here =
            self.accepted.is_some_and(|(_, accepted)| accepted.position.same_epoch(record.position));
        let epoch = !record.position.same_epoch(self.known.position);
        if epoch || record.lists != self.known.lists {
            // Whose word a recovery needs is another's now; it is said again each period.
            self.learnt.clear();
        }
        let votes = record.lists.contains(self.me);
        match self.status {
            // It votes no more. What it granted is covered by the guard of *Finish*, or is silent for as long as it may run;
            // should it be named again, it learns first.
            VoterStatus::Voting | VoterStatus::Silent { state_lost: false, .. } if !votes => self.reset(now),
            // It was silent before it accepted the founding, and granted nothing since.
            VoterStatus::Ready if epoch && founded_here && votes => self.vote(now),
            // Two foundings follow no table: leases under the one are kept from those under the other by silence.
            VoterStatus::Voting if epoch => {
                self.status = VoterStatus::Silent { until: now + self.limits.silence, state_lost: false };
                self.grants.clear();
            }
            _ => {}
        }
        if record.pending_version() != self.known.pending_version() {
            self.words.clear();
        }
        if self.accepted.is_some_and(|(_, accepted)| accepted.position <= record.position) {
            self.accepted = None;
        }
        self.known = *record;
        self.since = now;
        self.promised = (0, MemberId(0));
        self.holds = false;
        true
    }

    /// Another voter started anew, or speaks for the first time.
    pub fn observe_incarnation(&mut self, voter: MemberId, incarnation: u64) {
        let known = self.incarnations.entry(voter).or_default();
        *known = incarnation.max(*known);
    }

    /// Another voter's state, said to this life: of a recovery, by one that did not forget.
    pub fn merge_peer_state(
        &mut self,
        now: Duration,
        from: MemberId,
        known: &Record,
        promised: Ballot,
        accepted: Option<(Ballot, Record)>,
    ) {
        self.learn(now, known);
        if !matches!(self.status, VoterStatus::Silent { state_lost: true, .. } | VoterStatus::Ready) {
            return;
        }
        self.learnt.insert(from);
        if known.position != self.known.position {
            return;
        }
        self.promised = self.promised.max(promised);
        match (accepted, self.accepted) {
            (Some((ballot, record)), Some((mine, _))) if ballot > mine => {
                self.accepted = Some((ballot, record))
            }
            (Some(found), None) if found.1.position == self.known.position.next() => {
                self.accepted = Some(found)
            }
            _ => {}
        }
    }

    /// Ends a silence that is over. True if the standing changed.
    pub fn end_silence(&mut self, now: Duration) -> bool {
        let votes = self.known.lists.contains(self.me);
        // For each list a majority of others than itself, which is not in `learnt`: fewer may miss what its earlier life chose with them.
        let learnt = votes
            && (self.known.quorum().is_met(|name| self.learnt.contains(&name))
                || self.flaws.added_votes_unlearnt);
        let next = match self.status {
            VoterStatus::Silent { until, state_lost } if now >= until => match state_lost {
                false => VoterStatus::Voting,
                true if learnt => VoterStatus::Voting,
                true => VoterStatus::Ready,
            },
            VoterStatus::Ready if learnt && now >= self.bound => VoterStatus::Voting,
            other => other,
        };
        let changed = next != self.status;
        self.status = next;
        if changed && next == VoterStatus::Voting {
            self.learnt.clear();
            self.voting = now;
        }
        changed
    }

    fn vote(&mut self, now: Duration) {
        (self.status, self.voting) = (VoterStatus::Voting, now);
    }

    /// Gives up its vote as if it had started from nothing, but for what it knows: too few others vote, and a founding
    /// needs a majority of those that were silent.
    pub fn reset(&mut self, now: Duration) {
        self.status = VoterStatus::Silent { until: now + self.limits.silence, state_lost: true };
        self.grants.clear();
        self.learnt.clear();
        self.accepted = None;
    }

    /// A promise, or what was promised to another. None if it does not vote, or the place is not the next one.
    pub fn promise(&mut self, now: Duration, ask: &PromiseRequest) -> Option<Promise> {
        if self.status != VoterStatus::Voting || ask.position != self.known.position.next() {
            return None;
        }
        if ask.ballot > self.promised {
            self.promised = ask.ballot;
        }
        Some(Promise {
            position: ask.position,
            ballot: ask.ballot,
            promised: self.promised,
            incarnation: self.incarnation,
            would_accept: self.allows(now, &ask.proposal),
            accepted: self.accepted.filter(|(_, record)| record.position == ask.position),
        })
    }

    /// Whether it accepts.
    pub fn accept(&mut self, now: Duration, accept: &Accept) -> bool {
        let record = &accept.record;
        let of_me = accept.incarnations.iter().find(|(name, _)| *name == self.me);
        // Only they accept whose promise it rests on: of one beside them, nobody would notice that it forgot (the model
        // found two records chosen at one place without this).
        if of_me
            .map_or(!self.flaws.accepts_without_promise, |(_, incarnation)| *incarnation != self.incarnation)
        {
            return false;
        }
        let later = |(name, incarnation): &(MemberId, u64)| {
            self.incarnations.get(name).is_some_and(|known| known > incarnation)
        };
        if accept.incarnations.iter().any(later) {
            return false;
        }
        let may = match self.status {
            VoterStatus::Silent { .. } => false,
            VoterStatus::Voting => {
                let kept = accept.ballot >= self.promised || self.flaws.breaks_promise;
                kept && record.position == self.known.position.next() && self.allows(now, record)
            }
            VoterStatus::Ready => {
                // Founded by one alone, under a mark of its own: there is nothing to compare ballots with.
                accept.basis.is_some_and(|basis| basis >= self.known.position)
                    && record.position.epoch > self.known.position.epoch
                    && record.lists.next.is_none()
                    && record.position.index == 0
            }
        };
        if may {
            for (name, incarnation) in accept.incarnations.iter().filter(|(name, _)| *name != self.me) {
                let known = self.incarnations.entry(*name).or_default();
                *known = (*incarnation).max(*known);
            }
            if self.status == VoterStatus::Ready {
                self.bound = now + self.limits.silence;
                self.learnt.clear();
            }
            self.promised = accept.ballot.max(self.promised);
            self.accepted = Some((accept.ballot, *record));
        }
        may
    }

    /// Whether the table allows the move, and the guard of the move holds here and now.
    pub fn allows(&self, now: Duration, record: &Record) -> bool {
        match legal_transition(&self.known, record) {
            Some(Transition::Prepare) => record.lists.next.is_none_or(|next| self.are_all_eligible(&next)),
            Some(Transition::Withdraw) => true,
            Some(Transition::Join) => self.ready(now),
            Some(Transition::Finish) => self.clear(now),
            None => {
                let (prepare, pure) = (self.known.phase, record.phase);
                self.flaws.skips_joint
                    && record.position == self.known.position.next()
                    && matches!((prepare, pure), (Phase::Prepare { new, .. }, Phase::Single(v)) if new == v)
            }
        }
    }

    /// Whether this one's file lets such a list vote: of others' silence no founding would know.
    pub fn are_all_eligible(&self, list: &VoterList) -> bool {
        list.len() >= self.limits.min_voters && list.iter().all(|name| self.may_vote.contains(&name))
    }

    /// Whether all that hold a lease from this one are ready for the version on its way, or it goes on without them.
    fn ready(&self, now: Duration) -> bool {
        let Phase::Prepare { tightens_floor, .. } = self.known.phase else { return false };
        let added = !self.known.lists.current.contains(self.me);
        if added && now < self.voting + self.limits.join_delay {
            return false;
        }
        let late = now >= self.since + self.limits.prepare_timeout;
        let fits = |name: &MemberId| match self.words.get(name) {
            Some(Ok(())) => true,
            Some(Err(_)) => self.go_on,
            None => self.go_on && late,
        };
        let holders = self.grants.iter().filter(|(_, grant)| grant.until > now);
        // Of a stricter floor each must say yes: one that goes on with a looser one would contradict later versions.
        let floors = !tightens_floor || self.needed.iter().all(|name| self.words.get(name) == Some(&Ok(())));
        self.holds && floors && holders.map(|(name, _)| name).all(fits)
    }

    /// Whether no lease that this one granted on the old version alone can still run.
    fn clear(&self, now: Duration) -> bool {
        let joint = self.known.oldest_compatible;
        self.grants.values().all(|grant| grant.position >= joint || grant.until <= now)
    }

    /// Whether a lease is granted. It binds this one for [`Limits::grant`] from now.
    pub fn grant_lease(&mut self, now: Duration, from: MemberId, request: &LeaseRequest) -> bool {
        let held = self.grants.get(&from).copied();
        if held.is_some_and(|held| held.incarnation > request.incarnation) {
            return false;
        }
        if let Some((version, word)) = &request.word {
            if self.known.pending_version() == Some(*version) {
                self.words.insert(from, word.clone());
            }
        }
        let again = held.filter(|held| held.incarnation == request.incarnation);
        if again.is_some_and(|held| held.position > request.position) {
            return false; // overtaken by a later one of the same holder
        }
        if let Some(held) = self.grants.get_mut(&from).filter(|held| held.incarnation == request.incarnation)
        {
            held.position = request.position; // it says that it left what is before this
        }
        // Once it took a joint record it grants nothing below it: from the first that acts on the new version, a
        // majority has stopped renewing the old one. That is what the bound rests on.
        let joint = self.accepted.is_some_and(|(_, record)| matches!(record.phase, Phase::Joint { .. }));
        let fits = request.position.same_epoch(self.known.position)
            && (self.known.oldest_compatible..=self.known.position).contains(&request.position);
        let removed = self.flaws.removed_grants && !self.known.lists.contains(self.me);
        if !removed && (self.status != VoterStatus::Voting || joint || !fits) {
            return false;
        }
        let binds = if self.flaws.grantor_expires_first {
            self.limits.grant_duration / 2
        } else {
            self.limits.grant_duration
        };
        let until = (now + binds).max(again.map_or(Duration::ZERO, |held| held.until));
        self.grants
            .insert(from, Grant { incarnation: request.incarnation, position: request.position, until });
        true
    }

    /// Who holds a lease, or must agree, and has said nothing of the version on its way for too long.
    pub fn overdue_members(&self, now: Duration) -> Vec<MemberId> {
        if !matches!(self.known.phase, Phase::Prepare { .. })
            || now < self.since + self.limits.prepare_timeout
        {
            return Vec::new();
        }
        let holders = self.grants.iter().filter(|(_, grant)| grant.until > now).map(|(name, _)| *name);
        let all: BTreeSet<MemberId> = holders.chain(self.needed.iter().copied()).collect();
        all.into_iter().filter(|name| !self.words.contains_key(name)).collect()
    }

    /// Drops grants that ended: for the bound on memory, and for models.
    pub fn drop_expired_grants(&mut self, now: Duration) {
        self.grants.retain(|_, grant| grant.until > now);
    }

    /// How many grants it keeps.
    pub fn grant_count(&self) -> usize {
        self.grants.len()
    }
}
