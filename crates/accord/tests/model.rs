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

use check::{explored, found};
use stateright::{Checker, Model, Property};
use wheellink_accord::parts::{
    Accept, Flaws, LeaseHolder, LeaseRequest, Promise, PromiseRequest, Round, RoundAction, Voter,
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
    let proposal_id = ProposalId { proposer: MemberId(1), incarnation: 1, count: u64::from(step > 0) };
    let (old, new) = (version(1), version(2));
    let (phase, oldest_compatible) = match step {
        0 => (Phase::Single(old), 0),
        1 => (Phase::Prepare { old, new, tightens_floor: false }, 0),
        2 => (Phase::Joint { old, new }, 2),
        _ => (Phase::Single(new), 2),
    };
    Record {
        position: position(step),
        phase,
        oldest_compatible: position(oldest_compatible),
        proposal_id,
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
        grant_duration: secs(2),
        silence: secs(2),
        prepare_timeout: secs(9),
    }
}

fn voter(name: u32, incarnation: u64, now: u8, flaws: Flaws) -> Voter {
    Voter::new(MemberId(name), incarnation, limits(), (1..=VOTERS).map(MemberId), record(0), secs(now))
        .flawed(flaws)
}

// ---- one position, two proposers -------------------------------------------------------------------------------

struct Choice {
    flaws: Flaws,
    crashes: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Said {
    PromiseRequest(PromiseRequest),
    Promise { to: MemberId, from: MemberId, promise: Promise },
    Accept(Accept),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Place {
    voters: Vec<Voter>,
    rounds: Vec<Round>,
    chosen: BTreeSet<Record>,
    /// Messages in transit. Requests may arrive late, twice, at some voters, or at none.
    said: BTreeSet<Said>,
    crashes: u8,
}

#[derive(Clone, Debug, PartialEq)]
#[allow(clippy::large_enum_variant)]
enum Act {
    Deliver(MemberId, Said),
    Forget(usize),
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
                oldest_compatible: position(0),
                ..record(1)
            },
        }
    }

    fn put(&self, place: &mut Place, step: RoundAction) {
        match step {
            RoundAction::Accept(accept) => drop(place.said.insert(Said::Accept(accept))),
            RoundAction::Chosen(record) => drop(place.chosen.insert(record)),
            RoundAction::Wait | RoundAction::Preempted(_) => {}
        }
    }
}

impl Model for Choice {
    type State = Place;
    type Action = Act;

    fn init_states(&self) -> Vec<Place> {
        let ready = |name| {
            let mut one = voter(name, 1, 0, Flaws { votes_at_once: false, ..self.flaws }).into_voting();
            one.learn(secs(0), &record(1));
            one.set_preparation(true, false, BTreeSet::new());
            one
        };
        let rounds = (0..2).map(|at| {
            Round::new(&record(1), Self::proposal(at), (at as u32 + 1, MemberId(at as u32 + 1)))
                .flawed(self.flaws)
        });
        vec![Place {
            voters: (1..=VOTERS).map(ready).collect(),
            said: rounds.clone().map(|round| Said::PromiseRequest(*round.request())).collect(),
            rounds: rounds.collect(),
            chosen: BTreeSet::new(),
            crashes: 0,
        }]
    }

    fn actions(&self, place: &Place, acts: &mut Vec<Act>) {
        for said in &place.said {
            match said {
                Said::Promise { to, .. } => acts.push(Act::Deliver(*to, said.clone())),
                _ => acts.extend((1..=VOTERS).map(|name| Act::Deliver(MemberId(name), said.clone()))),
            }
        }
        // Voters are symmetric, so only the first one restarts without state.
        if place.crashes < self.crashes {
            acts.push(Act::Forget(0));
        }
        if place.voters[0].incarnation() > 1 {
            acts.push(Act::Recover(0));
        }
    }

    fn next_state(&self, before: &Place, act: Act) -> Option<Place> {
        let mut place = before.clone();
        let now = secs(0);
        match act {
            Act::Deliver(to, said) => {
                let at = to.0 as usize - 1;
                match said {
                    Said::PromiseRequest(ask) => {
                        let promise = place.voters[at].promise(now, &ask)?;
                        if place.rounds[ask.ballot.1 .0 as usize - 1].accept().is_none() {
                            place.said.insert(Said::Promise { to: ask.ballot.1, from: to, promise });
                        }
                    }
                    Said::Accept(accept) => {
                        if place.voters[at].accept(now, &accept) {
                            let incarnation = place.voters[at].incarnation();
                            let (from, to) = (place.voters[at].me(), accept.ballot.1 .0 as usize - 1);
                            // The acceptance is counted at once; a later delivery could not choose anything
                            // else.
                            let step = place.rounds[to].on_accepted(from, accept.ballot, incarnation);
                            self.put(&mut place, step);
                        }
                    }
                    Said::Promise { from, promise, to } => {
                        let step = place.rounds[at].on_promise(from, &promise);
                        place.said.remove(&Said::Promise { from, promise, to });
                        self.put(&mut place, step);
                        if place.rounds[at].accept().is_some() {
                            // The round ignores further promises.
                            place.said.retain(
                                |said| !matches!(said, Said::Promise { to: other, .. } if *other == to),
                            );
                        }
                    }
                }
            }
            Act::Forget(at) => {
                place.crashes += 1;
                let incarnation = place.voters[at].incarnation() + 1;
                place.voters[at] = voter(at as u32 + 1, incarnation, 0, self.flaws);
                if self.flaws.votes_at_once {
                    place.voters[at].learn(now, &record(1));
                    place.voters[at] = place.voters[at].clone().into_voting();
                    place.voters[at].set_preparation(true, false, BTreeSet::new());
                }
            }
            Act::Recover(at) => {
                let incarnation = place.voters[at].incarnation();
                for other in (0..place.voters.len()).filter(|other| *other != at) {
                    place.voters[other].observe_incarnation(MemberId(at as u32 + 1), incarnation);
                    let told = place.voters[other].clone();
                    place.voters[at].merge_peer_state(
                        now,
                        told.me(),
                        told.known(),
                        told.promised(),
                        told.accepted().copied(),
                    );
                }
                place.voters[at].end_silence(secs(9));
                place.voters[at].set_preparation(true, false, BTreeSet::new());
            }
        }
        (place != *before).then_some(place)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("one record at one place", |_, place: &Place| place.chosen.len() < 2),
            Property::sometimes("the first proposer's is chosen", |_, place: &Place| {
                place.chosen.contains(&Self::proposal(0))
            }),
            Property::sometimes("the second's is", |_, place: &Place| {
                place.chosen.contains(&Self::proposal(1))
            }),
        ]
    }
}

// ---- leases while a version changes ----------------------------------------------------------------------------

struct Leases {
    flaws: Flaws,
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
    took: BTreeSet<usize>,
    /// When the new version was first acted on, that is, when the joint record was chosen.
    first: Option<u8>,
}

#[derive(Clone, Debug, PartialEq)]
enum Does {
    Tick,
    PromiseRequest(usize, usize),
    Granted(usize, usize),
    Accept(usize),
    Learn(usize),
    Adopt(usize),
    Forget(usize),
    Recover(usize),
}

impl Leases {
    fn next(&self, fleet: &Fleet) -> Option<u32> {
        match fleet.chosen {
            1 if self.flaws.skips_joint => Some(3),
            step if step < 3 => Some(step + 1),
            _ => None,
        }
    }

    /// The next record, at the position after the chosen one. The faulty transition table puts the last
    /// record there early.
    fn wanted(&self, fleet: &Fleet) -> Option<Record> {
        let mut wanted = record(self.next(fleet)?);
        wanted.position = record(fleet.chosen).position.next();
        if wanted.position != record(3).position && wanted.phase == record(3).phase {
            wanted.oldest_compatible = position(0);
        }
        Some(wanted)
    }

    fn at(&self, step: u32) -> Record {
        match (step, self.flaws.skips_joint) {
            (3, true) => Record { position: position(2), oldest_compatible: position(0), ..record(3) },
            _ => record(step),
        }
    }

    fn acts(fleet: &Fleet, at: usize) -> Option<u32> {
        let one = &fleet.activators[at];
        let holds = one.holder.is_held(secs(fleet.now), position(0));
        holds.then_some(one.adopted)
    }

    fn old(fleet: &Fleet) -> bool {
        Leases::acts(fleet, 0).is_some_and(|step| step < 2)
    }
}

/// A voter that knows the prepared version, so that the model starts at the relevant point.
fn prepared(mut voter: Voter) -> Voter {
    voter.learn(secs(0), &record(1));
    voter
}

impl Model for Leases {
    type State = Fleet;
    type Action = Does;

    fn init_states(&self) -> Vec<Fleet> {
        let without = Flaws { votes_at_once: false, ..self.flaws };
        let activator = || Activator {
            holder: LeaseHolder::new(record(1).quorum(), secs(2)).flawed(self.flaws),
            adopted: 0,
            grants: BTreeMap::new(),
        };
        vec![Fleet {
            now: 0,
            voters: (1..=VOTERS).map(|name| prepared(voter(name, 1, 0, without).into_voting())).collect(),
            activators: vec![activator()],
            chosen: 1,
            crashes: 0,
            took: BTreeSet::new(),
            first: None,
        }]
    }

    fn actions(&self, fleet: &Fleet, does: &mut Vec<Does>) {
        if fleet.now < self.ticks {
            does.push(Does::Tick);
        }
        // An activator that takes none of these actions while the clock advances is a paused one.
        for at in 0..fleet.activators.len() {
            // Voters are symmetric, so a lease from the first two, the first of which loses its state, stands
            // for all leases.
            for to in 0..2 {
                does.push(Does::PromiseRequest(at, to));
                does.push(Does::Granted(at, to));
            }
            does.push(Does::Adopt(at));
        }
        for at in 0..fleet.voters.len() {
            does.push(Does::Accept(at));
            does.push(Does::Learn(at));
            if fleet.crashes < self.crashes && at == 0 {
                does.push(Does::Forget(at));
            }
            if fleet.voters[at].incarnation() > 1 {
                does.push(Does::Recover(at));
            }
        }
    }

    fn next_state(&self, before: &Fleet, does: Does) -> Option<Fleet> {
        let mut fleet = before.clone();
        let now = secs(fleet.now);
        match does {
            Does::Tick => {
                fleet.now += 1;
                fleet.voters.iter_mut().for_each(|voter| voter.drop_expired_grants(secs(before.now + 1)));
            }
            Does::PromiseRequest(at, to) => {
                let (sent, step) = (before.now, before.activators[at].adopted);
                let position = self.at(step).position;
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
            Does::Granted(at, to) => {
                let (sent, step) = fleet.activators[at].grants.remove(&to)?;
                fleet.activators[at].holder.record_grant(
                    now,
                    MemberId(to as u32 + 1),
                    self.at(step).position,
                    secs(sent),
                );
            }
            Does::Accept(at) => {
                let wanted = self.wanted(&fleet)?;
                let incarnations =
                    fleet.voters.iter().map(|voter| (voter.me(), voter.incarnation())).collect();
                let accept = Accept { ballot: (1, MemberId(1)), record: wanted, incarnations, basis: None };
                fleet.voters[at].set_preparation(true, true, BTreeSet::new());
                if !fleet.voters[at].accept(now, &accept) {
                    return None;
                }
                fleet.took.insert(at);
                if fleet.took.len() >= 2 {
                    fleet.chosen = self.next(&fleet)?;
                    fleet.took.clear();
                }
            }
            Does::Learn(at) => drop(fleet.voters[at].learn(secs(0), &self.at(fleet.chosen))),
            Does::Adopt(at) => fleet.activators[at].adopted = fleet.chosen,
            Does::Forget(at) => {
                fleet.crashes += 1;
                // What an earlier incarnation accepted does not count; the `Choice` model shows that.
                fleet.took.remove(&at);
                let incarnation = fleet.voters[at].incarnation() + 1;
                fleet.voters[at] = voter(at as u32 + 1, incarnation, fleet.now, self.flaws);
            }
            Does::Recover(at) => {
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
                !(Leases::old(fleet) && fleet.chosen == 3)
            }),
            Property::always("none acts on the old one beyond a lease", |_, fleet: &Fleet| {
                !(Leases::old(fleet) && fleet.first.is_some_and(|first| fleet.now > first + 2))
            }),
            Property::sometimes("the new one comes into force", |_, fleet: &Fleet| {
                Leases::acts(fleet, 0) == Some(3)
            }),
        ]
    }
}

#[test]
fn one_record_is_chosen_at_a_place() {
    let checker = explored(Choice { flaws: Flaws::default(), crashes: 1 });
    checker.assert_properties();
}

#[test]
fn leases_keep_versions_apart_while_answers_are_late() {
    explored(Leases { flaws: Flaws::default(), crashes: 0, ticks: 2, late: true }).assert_properties();
}

#[test]
fn leases_keep_versions_apart_while_a_voter_forgets() {
    explored(Leases { flaws: Flaws::default(), crashes: 1, ticks: 3, late: false }).assert_properties();
}

const PLACE: &str = "one record at one place";
const APART: &str = "no two act on contradicting versions";

#[test]
fn planted_a_lower_ballot_than_promised() {
    found(Choice { flaws: Flaws { breaks_promise: true, ..Flaws::default() }, crashes: 0 }, PLACE);
}

#[test]
fn planted_half_for_a_majority() {
    found(Choice { flaws: Flaws { half_is_majority: true, ..Flaws::default() }, crashes: 0 }, PLACE);
    let flaws = Flaws { half_is_majority: true, ..Flaws::default() };
    found(Leases { flaws, crashes: 0, ticks: 2, late: false }, APART);
}

#[test]
fn planted_a_voter_that_forgets_and_votes_at_once() {
    found(Choice { flaws: Flaws { votes_at_once: true, ..Flaws::default() }, crashes: 1 }, PLACE);
    let flaws = Flaws { votes_at_once: true, ..Flaws::default() };
    found(Leases { flaws, crashes: 1, ticks: 3, late: false }, APART);
}

#[test]
fn planted_an_acceptor_beside_the_promises() {
    // A voter that lost its state accepts in a round that does not rest on a promise of its new incarnation.
    // This model found the fault in an early version of the protocol.
    found(Choice { flaws: Flaws { accepts_without_promise: true, ..Flaws::default() }, crashes: 1 }, PLACE);
}

#[test]
fn planted_a_lease_that_the_grantor_ends_first() {
    let flaws = Flaws { grantor_expires_first: true, ..Flaws::default() };
    found(Leases { flaws, crashes: 0, ticks: 2, late: false }, APART);
}

#[test]
fn planted_a_skipped_joint_step() {
    let flaws = Flaws { skips_joint: true, ..Flaws::default() };
    found(Leases { flaws, crashes: 0, ticks: 2, late: false }, APART);
}

#[test]
fn planted_a_stale_lease_after_a_pause() {
    let flaws = Flaws { stale_lease: true, ..Flaws::default() };
    found(Leases { flaws, crashes: 0, ticks: 2, late: false }, APART);
}

#[test]
fn planted_a_lease_counted_from_the_arrival() {
    let flaws = Flaws { lease_from_arrival: true, ..Flaws::default() };
    found(Leases { flaws, crashes: 0, ticks: 2, late: true }, APART);
}
