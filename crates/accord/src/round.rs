//! One round that chooses the record of one place: two steps, each with the word of a majority.

use std::collections::{BTreeMap, BTreeSet};

use crate::quorum::Quorum;
use crate::record::{Phase, Record};
use crate::settings::MemberId;
use crate::voter::{Accept, Ballot, Flaws, Promise, PromiseRequest};

/// What a round is to do next.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum RoundAction {
    /// Wait for more answers.
    Wait,
    /// Send this to all voters.
    Accept(Accept),
    /// A majority chose it.
    Chosen(Record),
    /// Another round has a higher ballot: begin anew above it.
    Preempted(Ballot),
}

/// A round in progress.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Round {
    ask: PromiseRequest,
    /// Before what is to be chosen; none of a founding.
    after: Option<Record>,
    /// Whose acceptance chooses it; of a round without a record yet nobody's.
    quorum: Quorum,
    promises: BTreeMap<MemberId, Promise>,
    accept: Option<Accept>,
    accepted: BTreeSet<MemberId>,
    flaws: Flaws,
}

impl Round {
    /// For the place after `known`, which is the place of `proposal`.
    pub fn new(known: &Record, proposal: Record, ballot: Ballot) -> Round {
        let ask = PromiseRequest { position: proposal.position, ballot, proposal };
        Round {
            ask,
            after: Some(*known),
            quorum: Quorum::default(),
            promises: BTreeMap::new(),
            accept: None,
            accepted: BTreeSet::new(),
            flaws: Flaws::default(),
        }
    }

    /// A founding: one step, as nobody else puts anything under its mark. `accept` names the lives that were ready, `quorum` whose
    /// silence leaves no lease.
    pub fn bootstrap(accept: Accept, quorum: Quorum) -> Round {
        let ask = PromiseRequest {
            position: accept.record.position,
            ballot: accept.ballot,
            proposal: accept.record,
        };
        Round {
            ask,
            after: None,
            quorum,
            promises: BTreeMap::new(),
            accept: Some(accept),
            accepted: BTreeSet::new(),
            flaws: Flaws::default(),
        }
    }

    /// For tests: plants flaws.
    pub fn flawed(mut self, flaws: Flaws) -> Round {
        self.flaws = flaws;
        self
    }

    /// Whether it founds an epoch.
    pub fn is_bootstrap(&self) -> bool {
        self.after.is_none()
    }

    /// What is asked of all voters.
    pub fn request(&self) -> &PromiseRequest {
        &self.ask
    }

    /// What all voters are to accept, once there is a majority of promises.
    pub fn accept(&self) -> Option<&Accept> {
        self.accept.as_ref()
    }

    /// A promise came in.
    pub fn on_promise(&mut self, from: MemberId, promise: &Promise) -> RoundAction {
        if promise.position != self.ask.position || promise.ballot != self.ask.ballot || self.accept.is_some()
        {
            return RoundAction::Wait;
        }
        if promise.promised != self.ask.ballot {
            return RoundAction::Preempted(promise.promised);
        }
        self.promises.insert(from, *promise);
        let Some(after) = &self.after else { return RoundAction::Wait };
        let promised = |name: MemberId| self.promises.contains_key(&name);
        if !self.flawed_quorum(after.quorum()).is_met(promised) {
            return RoundAction::Wait;
        }
        // What may have been chosen already is what must be finished, whoever proposed it.
        let found =
            self.promises.values().filter_map(|promise| promise.accepted).max_by_key(|(ballot, _)| *ballot);
        let record = found.map_or(self.ask.proposal, |(_, record)| record);
        let quorum = self.flawed_quorum(after.quorum_for(&record));
        let ready = |name: MemberId| self.promises.get(&name).is_some_and(|promise| promise.would_accept);
        let may = match found {
            Some(_) => quorum.is_met(promised),
            // Nobody is bound before a majority would accept: a half-taken record keeps a voter from granting.
            None => quorum.is_met(ready),
        };
        if !may {
            return RoundAction::Wait;
        }
        self.quorum = quorum;
        let incarnations = self.promises.iter().map(|(name, promise)| (*name, promise.incarnation)).collect();
        let accept = Accept { ballot: self.ask.ballot, record, incarnations, basis: None };
        self.accept = Some(accept.clone());
        RoundAction::Accept(accept)
    }

    /// A voter of this life accepted.
    pub fn on_accepted(&mut self, from: MemberId, ballot: Ballot, incarnation: u64) -> RoundAction {
        let Some(accept) = &self.accept else { return RoundAction::Wait };
        if ballot != self.ask.ballot
            || !(self.flaws.accepts_without_promise || accept.incarnations.contains(&(from, incarnation)))
        {
            return RoundAction::Wait;
        }
        self.accepted.insert(from);
        if !self.quorum.is_met(|name| self.accepted.contains(&name)) {
            return RoundAction::Wait;
        }
        RoundAction::Chosen(accept.record)
    }

    fn flawed_quorum(&self, quorum: Quorum) -> Quorum {
        let joint = self.after.is_some_and(|after| matches!(after.phase, Phase::Joint { .. }));
        if self.flaws.half_is_majority {
            return quorum.one_fewer();
        }
        if self.flaws.choice_by_new_list && joint {
            return quorum.only_list(true);
        }
        quorum
    }
}
