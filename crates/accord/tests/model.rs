//! Exhaustive models that run the crate's own voter, round and lease holder through all interleavings of a
//! small fleet.
//!
//! `Choice`: three voters; two proposers that want different records at one position; messages that are lost,
//! duplicated and reordered; and a voter that restarts without state. No two records are chosen at one
//! position.
//!
//! `Leases`: three voters; an activator that requests leases, gets late answers, pauses, and adopts records
//! at any time; a clock; and a voter that restarts without state, while a version is prepared, joined and
//! finished. All other activators are modelled by their worst case: they act on each record from the moment
//! it is chosen, with or without a lease. The modelled activator never contradicts them, and the bound holds.

mod check;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use check::{detect, explore};
use stateright::{Checker, Model, Property};
use wheellink_accord::parts::{
    Accept, Faults, LeaseHolder, LeaseRequest, Promise, PromiseRequest, Round, RoundAction, Voter,
};
use wheellink_accord::*;

const VOTERS: u32 = 3;

fn version(number: u64) -> Version {
    Version { number, digest: Digest([number as u8; 32]) }
}

fn position(step: u32) -> Position {
    Position { epoch: 1, salt: 0, index: step }
}

/// The records of one change, in order: in force, prepared, joint, in force.
fn record(step: u32) -> Record {
    let change = ProposalId { proposer: MemberId(1), incarnation: 1, count: u64::from(step > 0) };
    let (old, new) = (version(1), version(2));
    let (phase, leases_from) = match step {
        0 => (Phase::Single(old), 0),
        1 => (Phase::Prepare { old, new, tightens_floor: false }, 0),
        2 => (Phase::Joint { old, new }, 2),
        _ => (Phase::Single(new), 2),
    };
    Record {
        position: position(step),
        phase,
        leases_from: position(leases_from),
        change,
        lists: VoterLists::unchanged(list(&[1, 2, 3])),
    }
}

fn list(names: &[u32]) -> VoterList {
    VoterList::new(names.iter().map(|name| MemberId(*name))).unwrap()
}

fn secs(ticks: u8) -> Duration {
    Duration::from_secs(ticks.into())
}

fn limits() -> wheellink_accord::parts::Limits {
    wheellink_accord::parts::Limits {
        min_voters: 1,
        join_delay: secs(0),
        grant: secs(2),
        silence: secs(2),
        prepare_timeout: secs(9),
    }
}

fn voter(name: u32, incarnation: u64, now: u8, faults: Faults) -> Voter {
    Voter::new(MemberId(name), incarnation, limits(), (1..=VOTERS).map(MemberId), record(0), secs(now))
        .with_faults(faults)
}

// ---- one position, two proposers -------------------------------------------------------------------------------

struct Choice {
    faults: Faults,
    crashes: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Packet {
    PromiseRequest(PromiseRequest),
    Promise { to: MemberId, from: MemberId, promise: Promise },
    Accept(Accept),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct ChoiceState {
    voters: Vec<Voter>,
    rounds: Vec<Round>,
    chosen: BTreeSet<Record>,
    /// Messages in transit. Requests may arrive late, twice, at some voters, or at none.
    in_transit: BTreeSet<Packet>,
    crashes: u8,
}

#[derive(Clone, Debug, PartialEq)]
#[allow(clippy::large_enum_variant)]
enum ChoiceAction {
    Deliver(MemberId, Packet),
    Restart(usize),
    /// Both other voters send their state to a voter that lost its own, and its silence ends.
    Recover(usize),
}

impl Choice {
    fn proposal(proposer: usize) -> Record {
        match proposer {
            0 => record(2),
            _ => Record {
                position: position(2),
                phase: Phase::Single(version(1)),
                leases_from: position(0),
                ..record(1)
            },
        }
    }

    fn apply(&self, state: &mut ChoiceState, action: RoundAction) {
        match action {
            RoundAction::Accept(accept) => drop(state.in_transit.insert(Packet::Accept(accept))),
            RoundAction::Chosen(record) => drop(state.chosen.insert(record)),
            RoundAction::Wait | RoundAction::Preempted(_) => {}
        }
    }
}

impl Model for Choice {
    type State = ChoiceState;
    type Action = ChoiceAction;

    fn init_states(&self) -> Vec<ChoiceState> {
        let ready = |name| {
            let mut one = voter(name, 1, 0, Faults { votes_at_once: false, ..self.faults }).into_voting();
            one.learn(secs(0), &record(1));
            one.set_preparation(true, false, BTreeSet::new());
            one
        };
        let rounds = (0..2).map(|at| {
            Round::new(&record(1), Self::proposal(at), (at as u32 + 1, MemberId(at as u32 + 1)))
                .with_faults(self.faults)
        });
        vec![ChoiceState {
            voters: (1..=VOTERS).map(ready).collect(),
            in_transit: rounds.clone().map(|round| Packet::PromiseRequest(*round.request())).collect(),
            rounds: rounds.collect(),
            chosen: BTreeSet::new(),
            crashes: 0,
        }]
    }

    fn actions(&self, state: &ChoiceState, actions: &mut Vec<ChoiceAction>) {
        for packet in &state.in_transit {
            match packet {
                Packet::Promise { to, .. } => actions.push(ChoiceAction::Deliver(*to, packet.clone())),
                _ => actions.extend((1..=VOTERS).map(|n| ChoiceAction::Deliver(MemberId(n), packet.clone()))),
            }
        }
        // Voters are symmetric, so only the first one restarts without state.
        if state.crashes < self.crashes {
            actions.push(ChoiceAction::Restart(0));
        }
        if state.voters[0].incarnation() > 1 {
            actions.push(ChoiceAction::Recover(0));
        }
    }

    fn next_state(&self, before: &ChoiceState, action: ChoiceAction) -> Option<ChoiceState> {
        let mut state = before.clone();
        let now = secs(0);
        match action {
            ChoiceAction::Deliver(to, packet) => {
                let at = to.0 as usize - 1;
                match packet {
                    Packet::PromiseRequest(request) => {
                        let promise = state.voters[at].promise(now, &request)?;
                        if state.rounds[request.ballot.1 .0 as usize - 1].accept().is_none() {
                            state.in_transit.insert(Packet::Promise {
                                to: request.ballot.1,
                                from: to,
                                promise,
                            });
                        }
                    }
                    Packet::Accept(accept) => {
                        if state.voters[at].accept(now, &accept) {
                            let incarnation = state.voters[at].incarnation();
                            let (from, to) = (state.voters[at].me(), accept.ballot.1 .0 as usize - 1);
                            // The acceptance is counted at once; a later delivery could not choose anything
                            // else.
                            let step = state.rounds[to].on_accepted(from, accept.ballot, incarnation);
                            self.apply(&mut state, step);
                        }
                    }
                    Packet::Promise { from, promise, to } => {
                        let step = state.rounds[at].on_promise(from, &promise);
                        state.in_transit.remove(&Packet::Promise { from, promise, to });
                        self.apply(&mut state, step);
                        if state.rounds[at].accept().is_some() {
                            // The round ignores further promises.
                            state.in_transit.retain(
                                |packet| !matches!(packet, Packet::Promise { to: other, .. } if *other == to),
                            );
                        }
                    }
                }
            }
            ChoiceAction::Restart(at) => {
                state.crashes += 1;
                let incarnation = state.voters[at].incarnation() + 1;
                state.voters[at] = voter(at as u32 + 1, incarnation, 0, self.faults);
                if self.faults.votes_at_once {
                    state.voters[at].learn(now, &record(1));
                    state.voters[at] = state.voters[at].clone().into_voting();
                    state.voters[at].set_preparation(true, false, BTreeSet::new());
                }
            }
            ChoiceAction::Recover(at) => {
                let incarnation = state.voters[at].incarnation();
                for other in (0..state.voters.len()).filter(|other| *other != at) {
                    state.voters[other].observe_incarnation(MemberId(at as u32 + 1), incarnation);
                    let peer = state.voters[other].clone();
                    state.voters[at].merge_peer_state(
                        now,
                        peer.me(),
                        peer.known(),
                        peer.promised(),
                        peer.accepted().copied(),
                    );
                }
                state.voters[at].end_silence(secs(9));
                state.voters[at].set_preparation(true, false, BTreeSet::new());
            }
        }
        (state != *before).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("one record at one position", |_, state: &ChoiceState| state.chosen.len() < 2),
            Property::sometimes("the first proposer's record is chosen", |_, state: &ChoiceState| {
                state.chosen.contains(&Self::proposal(0))
            }),
            Property::sometimes("the second proposer's record is chosen", |_, state: &ChoiceState| {
                state.chosen.contains(&Self::proposal(1))
            }),
        ]
    }
}

// ---- leases while a version changes ----------------------------------------------------------------------------

struct Leases {
    faults: Faults,
    crashes: u8,
    ticks: u8,
    /// Whether answers may be late. A lease is counted from its request, so a late answer only shortens it;
    /// the model in which a voter loses its state therefore leaves late answers out.
    late: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Activator {
    holder: LeaseHolder,
    adopted: u32,
    /// Grants in transit, by voter: the time of the request, and the record it was for.
    grants: BTreeMap<usize, (u8, u32)>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Fleet {
    now: u8,
    voters: Vec<Voter>,
    activators: Vec<Activator>,
    /// The newest record that a majority chose.
    chosen: u32,
    crashes: u8,
    /// Voters whose current incarnation accepted the next record.
    accepted_by: BTreeSet<usize>,
    /// When the new version was first acted on, that is, when the joint record was chosen.
    first: Option<u8>,
}

#[derive(Clone, Debug, PartialEq)]
enum FleetAction {
    Tick,
    RequestLease(usize, usize),
    DeliverGrant(usize, usize),
    Accept(usize),
    Learn(usize),
    Adopt(usize),
    Restart(usize),
    Recover(usize),
}

impl Leases {
    fn next(&self, fleet: &Fleet) -> Option<u32> {
        match fleet.chosen {
            1 if self.faults.skips_joint => Some(3),
            step if step < 3 => Some(step + 1),
            _ => None,
        }
    }

    /// The next record, at the position after the chosen one. The faulty transition table puts the last
    /// record there early.
    fn next_record(&self, fleet: &Fleet) -> Option<Record> {
        let mut next = record(self.next(fleet)?);
        next.position = record(fleet.chosen).position.next();
        if next.position != record(3).position && next.phase == record(3).phase {
            next.leases_from = position(0);
        }
        Some(next)
    }

    fn record_at(&self, step: u32) -> Record {
        match (step, self.faults.skips_joint) {
            (3, true) => Record { position: position(2), leases_from: position(0), ..record(3) },
            _ => record(step),
        }
    }

    fn obeyed_record(fleet: &Fleet, at: usize) -> Option<u32> {
        let one = &fleet.activators[at];
        let holds = one.holder.is_held(secs(fleet.now), position(0));
        holds.then_some(one.adopted)
    }

    fn obeys_old_only(fleet: &Fleet) -> bool {
        Leases::obeyed_record(fleet, 0).is_some_and(|step| step < 2)
    }
}

/// A voter that knows the prepared version, so that the model starts at the relevant point.
fn prepared(mut voter: Voter) -> Voter {
    voter.learn(secs(0), &record(1));
    voter
}

impl Model for Leases {
    type State = Fleet;
    type Action = FleetAction;

    fn init_states(&self) -> Vec<Fleet> {
        let without = Faults { votes_at_once: false, ..self.faults };
        let activator = || Activator {
            holder: LeaseHolder::new(record(1).quorum(), secs(2)).with_faults(self.faults),
            adopted: 0,
            grants: BTreeMap::new(),
        };
        vec![Fleet {
            now: 0,
            voters: (1..=VOTERS).map(|name| prepared(voter(name, 1, 0, without).into_voting())).collect(),
            activators: vec![activator()],
            chosen: 1,
            crashes: 0,
            accepted_by: BTreeSet::new(),
            first: None,
        }]
    }

    fn actions(&self, fleet: &Fleet, actions: &mut Vec<FleetAction>) {
        if fleet.now < self.ticks {
            actions.push(FleetAction::Tick);
        }
        // An activator that takes none of these actions while the clock advances is a paused one.
        for at in 0..fleet.activators.len() {
            // Voters are symmetric, so a lease from the first two, the first of which loses its state, stands
            // for all leases.
            for to in 0..2 {
                actions.push(FleetAction::RequestLease(at, to));
                actions.push(FleetAction::DeliverGrant(at, to));
            }
            actions.push(FleetAction::Adopt(at));
        }
        for at in 0..fleet.voters.len() {
            actions.push(FleetAction::Accept(at));
            actions.push(FleetAction::Learn(at));
            if fleet.crashes < self.crashes && at == 0 {
                actions.push(FleetAction::Restart(at));
            }
            if fleet.voters[at].incarnation() > 1 {
                actions.push(FleetAction::Recover(at));
            }
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
            FleetAction::RequestLease(at, to) => {
                let (sent, step) = (before.now, before.activators[at].adopted);
                let position = self.record_at(step).position;
                let request =
                    LeaseRequest { incarnation: 1, sent_at_us: 0, position, known: position, report: None };
                if !fleet.voters[to].grant_lease(now, MemberId(10 + at as u32), &request) {
                    return (fleet != *before).then_some(fleet);
                }
                if self.late {
                    fleet.activators[at].grants.insert(to, (sent, step));
                } else {
                    fleet.activators[at].holder.record_grant(
                        now,
                        MemberId(to as u32 + 1),
                        position,
                        secs(sent),
                    );
                }
            }
            FleetAction::DeliverGrant(at, to) => {
                let (sent, step) = fleet.activators[at].grants.remove(&to)?;
                fleet.activators[at].holder.record_grant(
                    now,
                    MemberId(to as u32 + 1),
                    self.record_at(step).position,
                    secs(sent),
                );
            }
            FleetAction::Accept(at) => {
                let next = self.next_record(&fleet)?;
                let incarnations = fleet.voters.iter().map(|v| (v.me(), v.incarnation())).collect();
                let accept = Accept { ballot: (1, MemberId(1)), record: next, incarnations, basis: None };
                fleet.voters[at].set_preparation(true, true, BTreeSet::new());
                if !fleet.voters[at].accept(now, &accept) {
                    return None;
                }
                fleet.accepted_by.insert(at);
                if fleet.accepted_by.len() >= 2 {
                    fleet.chosen = self.next(&fleet)?;
                    fleet.accepted_by.clear();
                }
            }
            FleetAction::Learn(at) => drop(fleet.voters[at].learn(secs(0), &self.record_at(fleet.chosen))),
            FleetAction::Adopt(at) => fleet.activators[at].adopted = fleet.chosen,
            FleetAction::Restart(at) => {
                fleet.crashes += 1;
                // What an earlier incarnation accepted does not count; the `Choice` model shows that.
                fleet.accepted_by.remove(&at);
                let incarnation = fleet.voters[at].incarnation() + 1;
                fleet.voters[at] = voter(at as u32 + 1, incarnation, fleet.now, self.faults);
            }
            FleetAction::Recover(at) => {
                let status = fleet.voters[at].status();
                if !matches!(status, parts::VoterStatus::Silent { until, .. } if until <= now) {
                    return None;
                }
                let others: Vec<Voter> = (0..fleet.voters.len())
                    .filter(|other| *other != at)
                    .map(|other| before.voters[other].clone())
                    .collect();
                if others.iter().any(|other| other.status() != parts::VoterStatus::Voting) {
                    return None;
                }
                for other in &others {
                    let (known, promised) = (other.known(), other.promised());
                    fleet.voters[at].merge_peer_state(
                        secs(0),
                        other.me(),
                        known,
                        promised,
                        other.accepted().copied(),
                    );
                    let incarnation = fleet.voters[at].incarnation();
                    fleet.voters[other.me().0 as usize - 1]
                        .observe_incarnation(MemberId(at as u32 + 1), incarnation);
                }
                fleet.voters[at].end_silence(now);
            }
        }
        if fleet.first.is_none() && fleet.chosen >= 2 {
            fleet.first = Some(fleet.now);
        }
        (fleet != *before).then_some(fleet)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no two act on contradicting versions", |_, fleet: &Fleet| {
                !(Leases::obeys_old_only(fleet) && fleet.chosen == 3)
            }),
            Property::always("no activator acts on the old version beyond a lease", |_, fleet: &Fleet| {
                !(Leases::obeys_old_only(fleet) && fleet.first.is_some_and(|first| fleet.now > first + 2))
            }),
            Property::sometimes("the new version comes into force", |_, fleet: &Fleet| {
                Leases::obeyed_record(fleet, 0) == Some(3)
            }),
        ]
    }
}

#[test]
fn one_record_is_chosen_at_a_position() {
    let checker = explore(Choice { faults: Faults::default(), crashes: 1 });
    checker.assert_properties();
}

#[test]
fn leases_keep_versions_apart_while_answers_are_late() {
    explore(Leases { faults: Faults::default(), crashes: 0, ticks: 2, late: true }).assert_properties();
}

#[test]
fn leases_keep_versions_apart_while_a_voter_loses_its_state() {
    explore(Leases { faults: Faults::default(), crashes: 1, ticks: 3, late: false }).assert_properties();
}

const ONE_RECORD: &str = "one record at one position";
const NO_CONTRADICTION: &str = "no two act on contradicting versions";

#[test]
fn detects_acceptance_below_a_promise() {
    detect(Choice { faults: Faults { breaks_promise: true, ..Faults::default() }, crashes: 0 }, ONE_RECORD);
}

#[test]
fn detects_a_quorum_of_half_the_voters() {
    detect(Choice { faults: Faults { half_is_majority: true, ..Faults::default() }, crashes: 0 }, ONE_RECORD);
    let faults = Faults { half_is_majority: true, ..Faults::default() };
    detect(Leases { faults, crashes: 0, ticks: 2, late: false }, NO_CONTRADICTION);
}

#[test]
fn detects_a_voter_that_votes_at_once_without_state() {
    detect(Choice { faults: Faults { votes_at_once: true, ..Faults::default() }, crashes: 1 }, ONE_RECORD);
    let faults = Faults { votes_at_once: true, ..Faults::default() };
    detect(Leases { faults, crashes: 1, ticks: 3, late: false }, NO_CONTRADICTION);
}

#[test]
fn detects_acceptance_without_a_promise() {
    // A voter that lost its state accepts in a round that does not rely on a promise of its new incarnation.
    // This model found the fault in an early version of the protocol.
    detect(
        Choice { faults: Faults { accepts_unpromised: true, ..Faults::default() }, crashes: 1 },
        ONE_RECORD,
    );
}

#[test]
fn detects_a_lease_that_ends_at_the_grantor_first() {
    let faults = Faults { grantor_expires_first: true, ..Faults::default() };
    detect(Leases { faults, crashes: 0, ticks: 2, late: false }, NO_CONTRADICTION);
}

#[test]
fn detects_a_skipped_joint_step() {
    let faults = Faults { skips_joint: true, ..Faults::default() };
    detect(Leases { faults, crashes: 0, ticks: 2, late: false }, NO_CONTRADICTION);
}

#[test]
fn detects_a_stale_lease_after_a_pause() {
    let faults = Faults { stale_lease: true, ..Faults::default() };
    detect(Leases { faults, crashes: 0, ticks: 2, late: false }, NO_CONTRADICTION);
}

#[test]
fn detects_a_lease_counted_from_the_arrival() {
    let faults = Faults { lease_from_arrival: true, ..Faults::default() };
    detect(Leases { faults, crashes: 0, ticks: 2, late: true }, NO_CONTRADICTION);
}
