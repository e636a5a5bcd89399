//! One round that chooses the record of one place: two steps, each with the word of a majority.

use std::collections::{BTreeMap, BTreeSet};

use crate::quorum::Quorum;
use crate::settings::Name;
use crate::table::{Phase, Record};
use crate::voter::{Accept, Ask, Ballot, Flaws, Promise};

/// What a round is to do next.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Step {
    /// Wait for more answers.
    Wait,
    /// Send this to all voters.
    Accept(Accept),
    /// A majority chose it.
    Chosen(Record),
    /// Another round has a higher ballot: begin anew above it.
    Beaten(Ballot),
}

/// A round in progress.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Round {
    ask: Ask,
    /// Before what is to be chosen; none of a founding.
    after: Option<Record>,
    /// Whose acceptance chooses it; of a round without a record yet nobody's.
    quorum: Quorum,
    promises: BTreeMap<Name, Promise>,
    accept: Option<Accept>,
    accepted: BTreeSet<Name>,
    flaws: Flaws,
}

impl Round {
    /// For the place after `known`, which is the place of `wish`.
    pub fn new(known: &Record, wish: Record, ballot: Ballot) -> Round {
        let ask = Ask { mark: wish.mark, ballot, wish };
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
    pub fn founding(accept: Accept, quorum: Quorum) -> Round {
        let ask = Ask { mark: accept.record.mark, ballot: accept.ballot, wish: accept.record };
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
    pub fn founds(&self) -> bool {
        self.after.is_none()
    }

    /// What is asked of all voters.
    pub fn ask(&self) -> &Ask {
        &self.ask
    }

    /// What all voters are to accept, once there is a majority of promises.
    pub fn accept(&self) -> Option<&Accept> {
        self.accept.as_ref()
    }

    /// A promise came in.
    pub fn promised(&mut self, from: Name, promise: &Promise) -> Step {
        if promise.mark != self.ask.mark || promise.ballot != self.ask.ballot || self.accept.is_some() {
            return Step::Wait;
        }
        if promise.promised != self.ask.ballot {
            return Step::Beaten(promise.promised);
        }
        self.promises.insert(from, *promise);
        let Some(after) = &self.after else { return Step::Wait };
        let promised = |name: Name| self.promises.contains_key(&name);
        if !self.flawed_quorum(after.quorum()).met(promised) {
            return Step::Wait;
        }
        // What may have been chosen already is what must be finished, whoever proposed it.
        let found =
            self.promises.values().filter_map(|promise| promise.accepted).max_by_key(|(ballot, _)| *ballot);
        let record = found.map_or(self.ask.wish, |(_, record)| record);
        let quorum = self.flawed_quorum(after.quorum_for(&record));
        let ready = |name: Name| self.promises.get(&name).is_some_and(|promise| promise.ok);
        let may = match found {
            Some(_) => quorum.met(promised),
            // Nobody is bound before a majority would accept: a half-taken record keeps a voter from granting.
            None => quorum.met(ready),
        };
        if !may {
            return Step::Wait;
        }
        self.quorum = quorum;
        let lives = self.promises.iter().map(|(name, promise)| (*name, promise.life)).collect();
        let accept = Accept { ballot: self.ask.ballot, record, lives, basis: None };
        self.accept = Some(accept.clone());
        Step::Accept(accept)
    }

    /// A voter of this life accepted.
    pub fn accepted(&mut self, from: Name, ballot: Ballot, life: u64) -> Step {
        let Some(accept) = &self.accept else { return Step::Wait };
        if ballot != self.ask.ballot || !(self.flaws.accepts_beside || accept.lives.contains(&(from, life))) {
            return Step::Wait;
        }
        self.accepted.insert(from);
        if !self.quorum.met(|name| self.accepted.contains(&name)) {
            return Step::Wait;
        }
        Step::Chosen(accept.record)
    }

    fn flawed_quorum(&self, quorum: Quorum) -> Quorum {
        let joint = self.after.is_some_and(|after| matches!(after.phase, Phase::Joint { .. }));
        if self.flaws.half_is_majority {
            return quorum.less();
        }
        if self.flaws.choice_of_new && joint {
            return quorum.alone(true);
        }
        quorum
    }
}
