//! Deferred calls and their results until the client collects them, limited in number, size and time. No I/O.

use std::collections::{BTreeSet, HashMap};
use std::hash::{BuildHasher, RandomState};

use wheellink::{Micros, Ticket};

use crate::http::Response;

/// The state of a deferred call.
#[derive(Debug)]
pub enum Job {
    /// The call is running, under this ticket once the node has taken it.
    Open(Option<Ticket>),
    /// The result is kept until then.
    Finished { response: Response, until: Micros },
}

/// Limits of the stored calls and results.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ResultLimits {
    /// Maximum number of deferred calls that are running or whose results wait to be collected.
    pub max_results: usize,
    /// Maximum size of all results together.
    pub max_bytes: usize,
    /// How long an uncollected result is kept.
    pub retention: Micros,
}

pub struct Results {
    limits: ResultLimits,
    jobs: HashMap<String, Job>,
    /// Finished jobs, ordered by when they expire.
    expiries: BTreeSet<(Micros, String)>,
    bytes: usize,
    hasher: RandomState,
    seq: u64,
}

impl Results {
    pub fn new(limits: ResultLimits) -> Self {
        Self {
            limits,
            jobs: HashMap::new(),
            expiries: BTreeSet::new(),
            bytes: 0,
            hasher: RandomState::new(),
            seq: 0,
        }
    }

    /// Changes the limits. Results already stored beyond them are kept until they expire.
    pub fn set_limits(&mut self, limits: ResultLimits) {
        self.limits = limits;
    }

    /// Opens a deferred call and returns its name; `None` if the limit is reached.
    pub fn open(&mut self) -> Option<String> {
        if self.jobs.len() >= self.limits.max_results {
            return None;
        }
        // Whoever knows the name may collect or cancel the call. The random keys of this process's hasher ensure that
        // no name can be derived from another.
        self.seq += 1;
        let name =
            format!("{:016x}{:016x}", self.hasher.hash_one(self.seq), self.hasher.hash_one((self.seq, 1)));
        self.jobs.insert(name.clone(), Job::Open(None));
        Some(name)
    }

    /// Records the ticket under which the node has taken the call.
    pub fn set_ticket(&mut self, name: &str, ticket: Ticket) {
        if let Some(Job::Open(slot)) = self.jobs.get_mut(name) {
            *slot = Some(ticket);
        }
    }

    pub fn get(&self, name: &str) -> Option<&Job> {
        self.jobs.get(name)
    }

    /// Stores the answer to a call. Returns how many older results were evicted to make room for it.
    pub fn finish(&mut self, now: Micros, name: &str, response: Response) -> usize {
        let until = now + self.limits.retention;
        match self.jobs.get_mut(name) {
            Some(job @ Job::Open(_)) => {
                self.bytes += response.body.len();
                *job = Job::Finished { response, until };
                self.expiries.insert((until, name.to_string()));
            }
            _ => return 0,
        }
        let mut evicted = 0;
        while self.bytes > self.limits.max_bytes && self.expiries.len() > 1 {
            let oldest = self.expiries.first().map(|(_, name)| name.clone());
            oldest.map(|name| self.remove(&name));
            evicted += 1;
        }
        evicted
    }

    /// Removes a call that was cancelled, or a result that is no longer wanted.
    pub fn remove(&mut self, name: &str) -> Option<Job> {
        let job = self.jobs.remove(name)?;
        if let Job::Finished { response, until } = &job {
            self.bytes -= response.body.len();
            self.expiries.remove(&(*until, name.to_string()));
        }
        Some(job)
    }

    /// Removes expired results.
    pub fn tick(&mut self, now: Micros) {
        while let Some((until, name)) = self.expiries.first().cloned() {
            if until > now {
                return;
            }
            self.remove(&name);
        }
    }
}

#[cfg(test)]
mod tests;
