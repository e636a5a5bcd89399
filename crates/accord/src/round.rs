//! One round that chooses the record of one place: two steps, each with the word of a majority.

use std::collections::{BTreeMap, BTreeSet};

use crate::settings::Name;
use crate::table::Record;
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
    majority: usize,
    promises: BTreeMap<Name, Promise>,
    accept: Option<Accept>,
    accepted: BTreeSet<Name>,
    /// A planted flaw: see `Flaws::accepts_beside`.
    beside: bool,
}

impl Round {
    /// For the place of `wish`.
    pub fn new(wish: Record, ballot: Ballot, majority: usize) -> Round {
        let ask = Ask { mark: wish.mark, ballot, wish };
        Round {
            ask,
            majority,
            promises: BTreeMap::new(),
            accept: None,
            accepted: BTreeSet::new(),
            beside: false,
        }
    }

    /// A founding: one step, as nobody else puts anything under its mark. `accept` names the lives that were ready.
    pub fn founding(accept: Accept, majority: usize) -> Round {
        let ask = Ask { mark: accept.record.mark, ballot: accept.ballot, wish: accept.record };
        Round {
            ask,
            majority,
            promises: BTreeMap::new(),
            accept: Some(accept),
            accepted: BTreeSet::new(),
            beside: false,
        }
    }

    /// For tests: plants flaws.
    pub fn flawed(mut self, flaws: Flaws) -> Round {
        self.beside = flaws.accepts_beside;
        self
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
        if self.promises.len() < self.majority {
            return Step::Wait;
        }
        // What may have been chosen already is what must be finished, whoever proposed it.
        let found =
            self.promises.values().filter_map(|promise| promise.accepted).max_by_key(|(ballot, _)| *ballot);
        let ready = self.promises.values().filter(|promise| promise.ok).count() >= self.majority;
        let record = match found {
            Some((_, record)) => record,
            // Nobody is bound before a majority would accept: a half-taken record keeps a voter from granting.
            None if ready => self.ask.wish,
            None => return Step::Wait,
        };
        let lives = self.promises.iter().map(|(name, promise)| (*name, promise.life)).collect();
        let accept = Accept { ballot: self.ask.ballot, record, lives, basis: None };
        self.accept = Some(accept.clone());
        Step::Accept(accept)
    }

    /// A voter of this life accepted.
    pub fn accepted(&mut self, from: Name, ballot: Ballot, life: u64) -> Step {
        let Some(accept) = &self.accept else { return Step::Wait };
        if ballot != self.ask.ballot || !(self.beside || accept.lives.contains(&(from, life))) {
            return Step::Wait;
        }
        self.accepted.insert(from);
        if self.accepted.len() < self.majority {
            return Step::Wait;
        }
        Step::Chosen(accept.record)
    }
}
