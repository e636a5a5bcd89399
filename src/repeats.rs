//! Which retries and refusals of a request are allowed by its class, scope and window, and by what its
//! attempts may have done.
//!
//! `src/interface.rs` defines the effects of classes. An attempt may have run unless its outcome proves
//! that it did not.

use crate::interface::*;
use crate::state::{Attempt, Core, Request, Worker};

/// A keyed retry is not decided in the last part, one over this, of the window in which workers drop
/// repeats: it may have to wait for a connection.
const DECISION_MARGIN_DIVISOR: Micros = 16;
/// A keyed retry is not sent in the last part, one over this, of the window: it still has to arrive.
const ARRIVAL_MARGIN_DIVISOR: Micros = 32;

impl Request {
    /// Whether another process may be at this worker's address since it got the request: the connection
    /// broke under it. A process that came up there would not drop the repeat of a keyed request, and may
    /// belong to another group.
    pub(crate) fn may_meet_another_process(&self, worker: &WorkerId) -> bool {
        self.attempts.iter().any(|t| t.worker == *worker && t.ended == Some(Outcome::Reset))
    }

    /// Whether it is repeated at such workers only if no other may take it.
    pub(crate) fn avoids_workers(&self) -> bool {
        let keyed = matches!(self.terms.effect, Effect::Keyed { .. });
        keyed && self.attempts.iter().any(|t| t.ended == Some(Outcome::Reset))
    }
}

impl Core {
    /// Whether the request may be refused: a refusal promises that a client's retry is harmless.
    pub(crate) fn may_refuse(&self, id: &RequestId) -> bool {
        let Some(r) = self.requests.get(id) else { return false };
        let never_ran = r.attempts.iter().all(|t| t.ended.is_some_and(Outcome::never_ran));
        match r.terms.effect {
            Effect::Safe => true,
            Effect::Keyed { scope, .. } => never_ran || scope == Scope::All,
            Effect::Unsafe => never_ran,
        }
    }

    /// Whether the request may have another attempt at any worker.
    pub(crate) fn may_retry(&self, r: &Request) -> bool {
        let never_ran = r.attempts.iter().all(|t| t.ended.is_some_and(Outcome::never_ran));
        never_ran || r.terms.effect != Effect::Unsafe
    }

    /// Whether the request may be sent to this worker: keyed requests stay with workers that drop repeats
    /// of their earlier attempts.
    pub(crate) fn may_retry_on(&self, r: &Request, n: &WorkerId, w: &Worker) -> bool {
        let Effect::Keyed { scope, window } = r.terms.effect else { return true };
        let ran = |t: &&Attempt| !t.ended.is_some_and(Outcome::never_ran);
        r.attempts.iter().filter(ran).all(|t| {
            let same = match scope {
                Scope::All => true,
                Scope::Zone => drops_repeats(t.worker == *n, t.zone, w.zone),
                Scope::Cell => drops_repeats(t.worker == *n, t.cell, w.cell),
            };
            same && self.now - t.sent < window - window / DECISION_MARGIN_DIVISOR
        })
    }

    /// Whether an attempt at this worker may be cancelled for a retry: a keyed one only while another
    /// healthy worker drops its repeats, as the request could only fail otherwise.
    pub(crate) fn may_cancel_for_retry(&self, r: &Request, n: &WorkerId) -> bool {
        let retries_left = (r.attempts.len() as u32) < r.max_attempts.min(self.settings.max_attempts);
        let takes_over = |(m, w): (&WorkerId, &Worker)| {
            m != n && w.up && w.unhealthy_until <= self.now && self.may_retry_on(r, m, w)
        };
        match r.terms.effect {
            Effect::Safe => true,
            Effect::Keyed { .. } => retries_left && self.workers.iter().any(takes_over),
            Effect::Unsafe => false,
        }
    }
}

/// Whether a worker of the group `now` drops repeats of an attempt that was sent to a worker of the group
/// `then`. A group that is not known is equal to no other: only the worker itself is then known to share the
/// keys that it has seen.
fn drops_repeats<Group: PartialEq>(same_worker: bool, then: Option<Group>, now: Option<Group>) -> bool {
    match (then, now) {
        (Some(then), Some(now)) => then == now,
        _ => same_worker,
    }
}

/// Latest time at which a retry of a keyed request may be sent, by its earlier attempts that may have run.
pub(crate) fn retry_deadline(request: &Request) -> Option<Micros> {
    let Effect::Keyed { window, .. } = request.terms.effect else { return None };
    let may_have_run = request.attempts.iter().filter(|t| !t.ended.is_some_and(Outcome::never_ran));
    may_have_run.map(|t| t.sent + window - window / ARRIVAL_MARGIN_DIVISOR).min()
}
