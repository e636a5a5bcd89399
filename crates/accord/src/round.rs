//! A round, which chooses the record for one position in two phases, each with the answers of a quorum.

use std::collections::{BTreeMap, BTreeSet};

use crate::quorum::Quorum;
use crate::record::{Phase, Record};
use crate::settings::MemberId;
use crate::voter::{Accept, Ballot, Faults, Promise, PromiseRequest};

/// What the caller of a round does next.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum RoundAction {
    /// Wait for more answers.
    Wait,
    /// Send this to all voters.
    Accept(Accept),
    /// A quorum chose this record.
    Chosen(Record),
    /// A voter promised this higher ballot; start a new round above it.
    Preempted(Ballot),
}

/// A round in progress.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Round {
    request: PromiseRequest,
    /// The record before the position; `None` for a bootstrap.
    previous: Option<Record>,
    /// The voters whose acceptance chooses the record. Empty until voters are asked to accept one.
    quorum: Quorum,
    promises: BTreeMap<MemberId, Promise>,
    accept: Option<Accept>,
    accepted: BTreeSet<MemberId>,
    faults: Faults,
}

impl Round {
    /// Creates a round for the position after `known`, which is the position of `proposal`.
    pub fn new(known: &Record, proposal: Record, ballot: Ballot) -> Round {
        let request = PromiseRequest { position: proposal.position, ballot, proposal };
        Round {
            request,
            previous: Some(*known),
            quorum: Quorum::default(),
            promises: BTreeMap::new(),
            accept: None,
            accepted: BTreeSet::new(),
            faults: Faults::default(),
        }
    }

    /// Creates a round that bootstraps an epoch. It has a second phase only, because no other member proposes
    /// a record at its position. `accept` names the incarnations that were ready; `quorum` is the set whose
    /// silence ensures that no lease is left.
    pub fn bootstrap(accept: Accept, quorum: Quorum) -> Round {
        let request = PromiseRequest {
            position: accept.record.position,
            ballot: accept.ballot,
            proposal: accept.record,
        };
        Round {
            request,
            previous: None,
            quorum,
            promises: BTreeMap::new(),
            accept: Some(accept),
            accepted: BTreeSet::new(),
            faults: Faults::default(),
        }
    }

    /// Injects faults, for tests.
    pub fn with_faults(mut self, faults: Faults) -> Round {
        self.faults = faults;
        self
    }

    /// Whether the round bootstraps an epoch.
    pub fn is_bootstrap(&self) -> bool {
        self.previous.is_none()
    }

    /// The request of the first phase, for all voters.
    pub fn request(&self) -> &PromiseRequest {
        &self.request
    }

    /// The request of the second phase, for all voters; `None` until there is a quorum of promises.
    pub fn accept(&self) -> Option<&Accept> {
        self.accept.as_ref()
    }

    /// Handles a promise.
    pub fn on_promise(&mut self, from: MemberId, promise: &Promise) -> RoundAction {
        if promise.position != self.request.position
            || promise.ballot != self.request.ballot
            || self.accept.is_some()
        {
            return RoundAction::Wait;
        }
        if promise.promised != self.request.ballot {
            return RoundAction::Preempted(promise.promised);
        }
        self.promises.insert(from, *promise);
        let Some(previous) = &self.previous else { return RoundAction::Wait };
        let promised = |name: MemberId| self.promises.contains_key(&name);
        if !self.quorum_with_faults(previous.quorum()).is_met(promised) {
            return RoundAction::Wait;
        }
        // A record that was accepted with the highest ballot may have been chosen, so it has to be completed,
        // whoever proposed it.
        let accepted = self.promises.values().filter_map(|p| p.accepted).max_by_key(|(ballot, _)| *ballot);
        let record = accepted.map_or(self.request.proposal, |(_, record)| record);
        let quorum = self.quorum_with_faults(previous.quorum_for(&record));
        let would_accept = |name: MemberId| self.promises.get(&name).is_some_and(|p| p.would_accept);
        let may_propose = match accepted {
            Some(_) => quorum.is_met(promised),
            // Only propose what a quorum would accept: a voter that accepts a joint record stops granting
            // leases, so a record that cannot be chosen would stop them needlessly.
            None => quorum.is_met(would_accept),
        };
        if !may_propose {
            return RoundAction::Wait;
        }
        self.quorum = quorum;
        let incarnations = self.promises.iter().map(|(name, promise)| (*name, promise.incarnation)).collect();
        let accept = Accept { ballot: self.request.ballot, record, incarnations, basis: None };
        self.accept = Some(accept.clone());
        RoundAction::Accept(accept)
    }

    /// Handles an acceptance by a voter of this incarnation.
    pub fn on_accepted(&mut self, from: MemberId, ballot: Ballot, incarnation: u64) -> RoundAction {
        let Some(accept) = &self.accept else { return RoundAction::Wait };
        if ballot != self.request.ballot
            || !(self.faults.accepts_unpromised || accept.incarnations.contains(&(from, incarnation)))
        {
            return RoundAction::Wait;
        }
        self.accepted.insert(from);
        if !self.quorum.is_met(|name| self.accepted.contains(&name)) {
            return RoundAction::Wait;
        }
        RoundAction::Chosen(accept.record)
    }

    fn quorum_with_faults(&self, quorum: Quorum) -> Quorum {
        let joint = self.previous.is_some_and(|previous| matches!(previous.phase, Phase::Joint { .. }));
        if self.faults.half_is_majority {
            return quorum.one_fewer();
        }
        if self.faults.choice_by_new_list && joint {
            return quorum.only_list(true);
        }
        quorum
    }
}
