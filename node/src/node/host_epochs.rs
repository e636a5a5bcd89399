//! Which process each attempt of a request met: hosts drop a keyed request's repeats by what they remember, and a process
//! that has come up at a host's address since remembers nothing.

use wheellink::engine::AttemptId;
use wheellink::{Effect, Outcome, Scope, WorkerId};

use super::{Node, Pending};
use crate::hosts::ProcessEpoch;

/// An attempt that may have run.
struct Met {
    attempt: u32,
    host: WorkerId,
    epoch: ProcessEpoch,
}

/// The processes that attempts of a request were sent to.
#[derive(Default)]
pub(super) struct HostEpochs(Vec<Met>);

impl HostEpochs {
    /// The epoch that attempts at this host are bound to: that of an earlier one.
    fn bound_to(&self, host: &WorkerId) -> Option<ProcessEpoch> {
        self.0.iter().find(|met| met.host == *host).map(|met| met.epoch)
    }

    /// Records an attempt that is about to be sent. Returns the epoch that it is bound to.
    pub fn attempt(&mut self, attempt: u32, host: &WorkerId, epoch: ProcessEpoch) -> Option<ProcessEpoch> {
        let earlier = self.bound_to(host);
        self.0.push(Met { attempt, host: host.clone(), epoch: earlier.unwrap_or(epoch) });
        earlier
    }

    /// Records how an attempt ended: one that never ran binds no other.
    pub fn ended(&mut self, attempt: u32, outcome: Outcome) {
        if outcome.never_ran() {
            self.0.retain(|met| met.attempt != attempt);
        }
    }
}

impl Pending {
    /// Whether some hosts drop repeats of the request and others do not.
    fn has_group(&self) -> bool {
        self.terms.is_none_or(|terms| match terms.effect {
            Effect::Keyed { scope, .. } => scope != Scope::All,
            Effect::Safe | Effect::Unsafe => false,
        })
    }
}

impl Node {
    /// Whether another process than the one that got an earlier attempt may be at this host's address by now.
    pub(super) fn would_meet_another_process(&self, attempt: AttemptId, host: &WorkerId) -> bool {
        let bound_to = self.pending.get(&attempt.ticket).and_then(|pending| pending.met.bound_to(host));
        bound_to.is_some_and(|process| process != self.hosts.process(host))
    }

    /// Records an attempt that is about to be sent. Returns the only process at the host that it may be sent to, if an
    /// earlier attempt may have run there.
    pub(super) fn bound_process(&mut self, attempt: AttemptId, host: &WorkerId) -> Option<ProcessEpoch> {
        let process = self.hosts.process(host);
        let pending = self.pending.get_mut(&attempt.ticket).filter(|pending| pending.has_group())?;
        pending.met.attempt(attempt.number, host, process)
    }
}
