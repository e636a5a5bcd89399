//! Exhaustive model of a change of voters: rounds, leases, and voters that lose their state, run with the
//! crate's own code.
//!
//! Version a is replaced by b, and one list of voters by another; then b is replaced by c under the new list
//! alone. At each position two records may be proposed: first join or withdraw, then c or d. An activator
//! requests leases, adopts records, and pauses at any time. All other activators are modelled by their worst
//! case: they act on each record from the moment it is chosen. No two records are chosen at one position, no
//! two activators obey versions that have nothing in common, and none obeys a alone longer than a lease after
//! the first obeyed b.
//!
//! To explore all states within seconds, answers in a round arrive at once (a lost answer is the same as a
//! request that was never delivered; `model.rs` covers late answers of both kinds with one list), and leases
//! are granted at once.

mod check;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use check::explore;
use stateright::{Checker, HasDiscoveries, Model, Property};
use wheellink_accord::parts::{
    Accept, Faults, LeaseHolder, LeaseRequest, Limits, Round, RoundAction, Voter, VoterStatus,
};
use wheellink_accord::*;

fn secs(ticks: u8) -> Duration {
    Duration::from_secs(ticks.into())
}

fn version(number: u64, which: u8) -> Version {
    Version { number, digest: Digest([which; 32]) }
}

fn list(names: &[u32]) -> VoterList {
    VoterList::new(names.iter().map(|name| MemberId(*name))).unwrap()
}

/// A change from one list of voters to another.
#[derive(Clone, Debug)]
struct Change {
    faults: Faults,
    from: VoterList,
    to: VoterList,
    /// The position that all voters know at the start.
    first: u32,
    /// The last position to be chosen.
    last: u32,
    /// The position at which two records compete; rounds are run in full there. Elsewhere only one record may
    /// follow, and a round is its second phase only.
    contested_position: Option<u32>,
    /// The voter that restarts without state, once.
    restarts: Option<u32>,
    ticks: u8,
    /// The voters from which the activator requests leases.
    lease_voters: &'static [u32],
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Fleet {
    now: u8,
    voters: Vec<Voter>,
    holder: LeaseHolder,
    /// Position of the record that the activator obeys.
    adopted: u32,
    /// By position.
    chosen: BTreeMap<u32, Record>,
    /// By position and proposer.
    rounds: BTreeMap<(u32, u32), Round>,
    /// Voters whose current incarnation accepted the next record, where only one may follow.
    accepted_by: BTreeSet<MemberId>,
    two_chosen: bool,
    restarted: bool,
    /// When b was first acted on.
    joint: Option<u8>,
}

#[derive(Clone, Debug, PartialEq)]
enum FleetAction {
    Tick,
    PromiseRequest { index: u32, proposer: u32, voter: usize },
    Accept { index: u32, proposer: u32, voter: usize },
    AcceptNext(usize),
    Learn(usize),
    Grant(usize),
    Adopt,
    Restart(usize),
    Recover { voter: usize, from: usize },
    EndSilence(usize),
}

impl Change {
    /// The record that a proposer wants after this one; `None` after the last.
    fn proposal(&self, after: &Record, proposer: u32) -> Option<Record> {
        let (position, change) = (after.position.next(), after.change);
        let next = Record { position, ..*after };
        Some(match (after.phase, proposer) {
            (Phase::Prepare { old, new, .. }, 0) => {
                Record { phase: Phase::Joint { old, new }, leases_from: position, ..next }
            }
            (Phase::Prepare { old, .. }, _) => Record {
                phase: Phase::Single(old),
                lists: VoterLists::unchanged(after.lists.current),
                ..next
            },
            (Phase::Joint { new, .. }, 0) => Record {
                phase: Phase::Single(new),
                lists: VoterLists::unchanged(after.lists.next.unwrap_or(after.lists.current)),
                ..next
            },
            (Phase::Single(old), proposer) if old.number == 2 => {
                let new = version(3, 3 + proposer as u8);
                let change = ProposalId { count: 2 + u64::from(proposer), ..change };
                Record { phase: Phase::Prepare { old, new, tightens_floor: false }, change, ..next }
            }
            _ => return None,
        })
    }

    fn start(&self) -> BTreeMap<u32, Record> {
        let position = |step| Position { epoch: 1, salt: 0, index: step };
        let change = ProposalId { proposer: MemberId(1), incarnation: 1, count: 1 };
        let (old, new) = (version(1, 1), version(2, 2));
        let lists = VoterLists { current: self.from, next: Some(self.to) };
        let phase = Phase::Prepare { old, new, tightens_floor: false };
        let mut record = Record { position: position(1), phase, leases_from: position(0), change, lists };
        let mut chosen = BTreeMap::from([(1, record)]);
        for index in 2..=self.first {
            record = self.proposal(&record, 0).unwrap();
            chosen.insert(index, record);
        }
        chosen
    }

    fn voter(&self, name: u32, incarnation: u64, now: u8, chosen: &BTreeMap<u32, Record>) -> Voter {
        let limits = Limits {
            min_voters: 1,
            join_delay: secs(0),
            grant: secs(2),
            silence: secs(2),
            prepare_timeout: secs(0),
        };
        let all = VoterLists { current: self.from, next: Some(self.to) };
        let mut voter = Voter::new(MemberId(name), incarnation, limits, all.all(), chosen[&1], secs(now))
            .with_faults(self.faults);
        voter.set_preparation(true, true, BTreeSet::new());
        voter
    }

    fn obeyed(record: &Record) -> [Version; 2] {
        match record.phase {
            Phase::Single(one) | Phase::Prepare { old: one, .. } => [one, one],
            Phase::Joint { old, new } => [old, new],
        }
    }

    /// The record that the activator acts on, if it has a lease.
    fn obeyed_record(fleet: &Fleet) -> Option<&Record> {
        let record = &fleet.chosen[&fleet.adopted];
        fleet.holder.is_held(secs(fleet.now), record.position).then_some(record)
    }

    fn latest(fleet: &Fleet) -> (&u32, &Record) {
        fleet.chosen.last_key_value().unwrap()
    }
}

impl Fleet {
    fn record_chosen(&mut self, record: Record) {
        self.two_chosen |= *self.chosen.entry(record.position.index).or_insert(record) != record;
        if self.joint.is_none() && matches!(record.phase, Phase::Joint { .. }) {
            self.joint = Some(self.now);
        }
    }
}

impl Model for Change {
    type State = Fleet;
    type Action = FleetAction;

    fn init_states(&self) -> Vec<Fleet> {
        let chosen = self.start();
        let all = VoterLists { current: self.from, next: Some(self.to) };
        let mut names: Vec<u32> = all.all().map(|name| name.0).collect();
        names.sort_unstable();
        let ready = |name: &u32| {
            let mut voter = self.voter(*name, 1, 0, &chosen);
            // Future voters are past their silence and have recovered; `restarts` covers one that is not.
            voter = voter.into_voting();
            chosen.values().for_each(|record| {
                voter.learn(secs(0), record);
            });
            voter.set_preparation(true, true, BTreeSet::new());
            voter
        };
        vec![Fleet {
            now: 0,
            voters: names.iter().map(ready).collect(),
            holder: LeaseHolder::new(chosen[&self.first].quorum(), secs(2)).with_faults(self.faults),
            adopted: self.first,
            joint: (self.first > 1).then_some(0),
            chosen,
            rounds: BTreeMap::new(),
            accepted_by: BTreeSet::new(),
            two_chosen: false,
            restarted: false,
        }]
    }

    fn actions(&self, fleet: &Fleet, actions: &mut Vec<FleetAction>) {
        if fleet.now < self.ticks {
            actions.push(FleetAction::Tick);
        }
        let index = *Self::latest(fleet).0;
        for at in 0..fleet.voters.len() {
            let name = fleet.voters[at].me().0;
            let next = fleet.voters[at].known().position.index + 1;
            if self.contested_position == Some(next) {
                for proposer in 0..2 {
                    actions.push(FleetAction::PromiseRequest { index: next, proposer, voter: at });
                    actions.push(FleetAction::Accept { index: next, proposer, voter: at });
                }
            } else if next == index + 1 && next <= self.last {
                actions.push(FleetAction::AcceptNext(at));
            }
            if next <= index {
                actions.push(FleetAction::Learn(at));
            }
            if self.lease_voters.contains(&name) {
                actions.push(FleetAction::Grant(at));
            }
            if self.restarts == Some(name) && !fleet.restarted {
                actions.push(FleetAction::Restart(at));
            }
            if self.restarts == Some(name) && fleet.voters[at].status() != VoterStatus::Voting {
                actions.push(FleetAction::EndSilence(at));
                if !self.faults.added_votes_unlearnt {
                    actions
                        .extend((0..fleet.voters.len()).map(|from| FleetAction::Recover { voter: at, from }));
                }
            }
        }
        if fleet.adopted < index {
            actions.push(FleetAction::Adopt);
        }
    }

    fn next_state(&self, before: &Fleet, action: FleetAction) -> Option<Fleet> {
        let mut fleet = before.clone();
        let now = secs(fleet.now);
        match action {
            FleetAction::Tick => {
                fleet.now += 1;
                fleet.voters.iter_mut().for_each(|voter| voter.drop_expired_grants(secs(before.now + 1)));
            }
            FleetAction::PromiseRequest { index, proposer, voter } => {
                let after = *fleet.chosen.get(&(index - 1))?;
                let proposal = self.proposal(&after, proposer)?;
                let new_round = Round::new(&after, proposal, (proposer + 1, MemberId(proposer + 1)))
                    .with_faults(self.faults);
                let round = fleet.rounds.entry((index, proposer)).or_insert(new_round);
                if round.accept().is_some() {
                    return None;
                }
                let promise = fleet.voters[voter].promise(now, round.request())?;
                round.on_promise(fleet.voters[voter].me(), &promise);
            }
            FleetAction::Accept { index, proposer, voter } => {
                let round = fleet.rounds.get_mut(&(index, proposer))?;
                let accept = round.accept()?.clone();
                if !fleet.voters[voter].accept(now, &accept) {
                    return None;
                }
                let (me, incarnation) = (fleet.voters[voter].me(), fleet.voters[voter].incarnation());
                if let RoundAction::Chosen(record) = round.on_accepted(me, accept.ballot, incarnation) {
                    // Further answers would not change anything.
                    fleet.rounds.remove(&(index, proposer));
                    fleet.record_chosen(record);
                }
            }
            FleetAction::AcceptNext(at) => {
                let after = *Self::latest(before).1;
                let proposal = self.proposal(&after, 0)?;
                let incarnations = before.voters.iter().map(|v| (v.me(), v.incarnation())).collect();
                let accept = Accept { ballot: (1, MemberId(1)), record: proposal, incarnations, basis: None };
                if !fleet.voters[at].accept(now, &accept) || !fleet.accepted_by.insert(fleet.voters[at].me())
                {
                    return None;
                }
                let quorum = after.quorum_for(&proposal);
                let quorum = if self.faults.choice_by_new_list { quorum.only_list(true) } else { quorum };
                if quorum.is_met(|name| fleet.accepted_by.contains(&name)) {
                    fleet.accepted_by.clear();
                    fleet.record_chosen(proposal);
                }
            }
            FleetAction::Learn(at) => {
                let next = fleet.voters[at].known().position.index + 1;
                fleet.voters[at].learn(now, &fleet.chosen[&next].clone());
                fleet.voters[at].set_preparation(true, true, BTreeSet::new());
            }
            FleetAction::Grant(at) => {
                let position = fleet.chosen[&fleet.adopted].position;
                let request =
                    LeaseRequest { incarnation: 1, sent_at_us: 0, position, known: position, report: None };
                if fleet.voters[at].grant_lease(now, MemberId(10), &request) {
                    fleet.holder.record_grant(now, fleet.voters[at].me(), position, now);
                }
            }
            FleetAction::Adopt => {
                let (index, record) = Self::latest(before);
                fleet.adopted = *index;
                fleet.holder.adopt_record(record.position, record.quorum(), |n| record.lists.contains(n));
            }
            FleetAction::Restart(at) => {
                fleet.restarted = true;
                // What an earlier incarnation accepted does not count.
                fleet.accepted_by.remove(&fleet.voters[at].me());
                let voter = self.voter(fleet.voters[at].me().0, 2, fleet.now, &fleet.chosen);
                fleet.voters[at] = voter;
            }
            FleetAction::Recover { voter, from } => {
                let peer = &before.voters[from];
                if voter == from || peer.status() != VoterStatus::Voting {
                    return None;
                }
                let (me, incarnation) = (before.voters[voter].me(), before.voters[voter].incarnation());
                fleet.voters[from].observe_incarnation(me, incarnation);
                let (known, accepted) = (peer.known(), peer.accepted().copied());
                fleet.voters[voter].merge_peer_state(now, peer.me(), known, peer.promised(), accepted);
                fleet.voters[voter].set_preparation(true, true, BTreeSet::new());
            }
            FleetAction::EndSilence(at) => drop(fleet.voters[at].end_silence(now)),
        }
        (fleet != *before).then_some(fleet)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        let mut all = vec![
            Property::always(ONE_RECORD, |_: &Self, fleet: &Fleet| !fleet.two_chosen),
            Property::always(NO_CONTRADICTION, |_, fleet: &Fleet| {
                let latest = Change::obeyed(Change::latest(fleet).1);
                Change::obeyed_record(fleet)
                    .is_none_or(|of| Change::obeyed(of).iter().any(|one| latest.contains(one)))
            }),
            Property::always(WITHIN_BOUND, |_, fleet: &Fleet| {
                let old = Change::obeyed_record(fleet).is_some_and(|of| Change::obeyed(of)[1].number == 1);
                !(old && fleet.joint.is_some_and(|joint| fleet.now > joint + 2))
            }),
            Property::sometimes("the last record is chosen", |this: &Self, fleet: &Fleet| {
                fleet.chosen.contains_key(&this.last)
            }),
            Property::sometimes("the newest record is acted on", |this: &Self, fleet: &Fleet| {
                fleet.adopted == this.last && Change::obeyed_record(fleet).is_some()
            }),
        ];
        if self.restarts.is_some() {
            all.push(Property::sometimes("a voter that lost its state votes again", |_, fleet: &Fleet| {
                let again = |voter: &Voter| voter.incarnation() == 2 && voter.status() == VoterStatus::Voting;
                fleet.voters.iter().any(again)
            }));
        }
        all
    }
}

const ONE_RECORD: &str = "one record at one position";
const NO_CONTRADICTION: &str = "no two obey versions with nothing in common";
const WITHIN_BOUND: &str = "none obeys the old alone beyond a lease";

/// Reduces the list to one voter: the smallest change after which a majority of the old list and one of the
/// new may have no member in common.
fn down_to_one() -> Change {
    Change {
        faults: Faults::default(),
        from: list(&[1, 2, 3]),
        to: list(&[1]),
        first: 1,
        last: 3,
        contested_position: None,
        restarts: None,
        ticks: 2,
        lease_voters: &[1, 2],
    }
}

#[test]
fn three_voters_down_to_one_with_leases_of_old_and_new() {
    explore(Change { ticks: 3, ..down_to_one() }).assert_properties();
}

#[test]
fn three_voters_down_to_one_while_one_loses_its_state() {
    explore(Change { restarts: Some(2), ..down_to_one() }).assert_properties();
}

/// Finds a trace to a state that violates the property, and stops there.
fn detect(model: Change, property: &'static str) {
    let checker = model.checker().threads(2).finish_when(HasDiscoveries::AnyFailures).spawn_bfs().join();
    let path = checker.discovery(property).unwrap_or_else(|| panic!("fault not detected: {property}"));
    let steps = path.into_actions();
    println!("found in {} steps of {} states: {steps:#?}", steps.len(), checker.state_count());
    assert!(!steps.is_empty());
}

#[test]
fn detects_a_final_step_chosen_by_the_new_list_alone() {
    let faults = Faults { choice_by_new_list: true, ..Faults::default() };
    detect(Change { faults, lease_voters: &[2, 3], ..down_to_one() }, NO_CONTRADICTION);
}

#[test]
fn detects_a_joint_lease_from_the_old_list_alone() {
    let faults = Faults { lease_from_old_list: true, ..Faults::default() };
    detect(
        Change { faults, first: 2, last: 6, ticks: 0, lease_voters: &[2, 3], ..down_to_one() },
        NO_CONTRADICTION,
    );
}

#[test]
fn detects_a_removed_voter_that_grants() {
    let faults = Faults { removed_grants: true, ..Faults::default() };
    detect(Change { faults, ticks: 0, lease_voters: &[2, 3], ..down_to_one() }, NO_CONTRADICTION);
}

#[test]
fn detects_an_added_voter_that_votes_before_recovery() {
    let faults = Faults { added_votes_unlearnt: true, ..Faults::default() };
    let (from, to, contested_position) = (list(&[1, 2]), list(&[1, 2, 3]), Some(4));
    let change = Change { faults, from, to, first: 3, last: 4, contested_position, ..down_to_one() };
    detect(Change { restarts: Some(3), lease_voters: &[], ..change }, ONE_RECORD);
}
