//! Ids of requests that may have run although nobody waits for their answers any more: a client that comes again with
//! such an id must not have it run a second time.

use std::collections::{HashMap, VecDeque};
use std::rc::Rc;

use wheellink::{Effect, Micros};

use super::Pending;

/// How long an id is remembered: longer than any client repeats a request.
const RETENTION_US: Micros = 60_000_000;
/// Maximum number of remembered ids; beyond that the oldest are dropped.
const MAX_IDS: usize = 65_536;
/// Maximum number of ids that are passed to the other process of an upgrade, the newest.
const MAX_PASSED_IDS: usize = 16_384;

/// The remembered ids, bounded in number and time.
#[derive(Default)]
pub(super) struct DepartedIds {
    /// When each id is forgotten.
    until: HashMap<Rc<str>, Micros>,
    /// The same, oldest first. An id that was recorded again stands here more than once.
    order: VecDeque<(Micros, Rc<str>)>,
}

impl DepartedIds {
    /// Remembers an id from now on.
    pub fn insert(&mut self, now: Micros, id: Rc<str>) {
        let until = now + RETENTION_US;
        self.until.insert(id.clone(), until);
        self.order.push_back((until, id));
        self.expire(now);
    }

    pub fn contains(&self, now: Micros, id: &str) -> bool {
        self.until.get(id).is_some_and(|until| *until > now)
    }

    /// The newest ids, for the other process of an upgrade.
    pub fn newest(&self) -> impl Iterator<Item = &Rc<str>> {
        self.order.iter().rev().take(MAX_PASSED_IDS).map(|(_, id)| id)
    }

    fn expire(&mut self, now: Micros) {
        while self.order.front().is_some_and(|(until, _)| *until <= now || self.order.len() > MAX_IDS) {
            let Some((until, id)) = self.order.pop_front() else { return };
            if self.until.get(&id) == Some(&until) {
                self.until.remove(&id);
            }
        }
    }
}

impl Pending {
    /// Whether the request may have run, or may still run, and must not run again under the same id.
    pub(super) fn may_not_run_again(&self) -> bool {
        let repeatable = self.terms.is_some_and(|terms| terms.effect == Effect::Safe);
        !repeatable && self.attempts.may_have_run()
    }
}

#[cfg(test)]
mod tests;
