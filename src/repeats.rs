//! Which repeats and refusals of a request its class, scope and window allow, by what its attempts may have
//! done.
//!
//! `src/interface.rs` has the classes' effects. An attempt may have run unless its outcome proves that it
//! never did.

use crate::interface::*;
use crate::state::{Attempt, Core, Request, Worker};

/// Part of the window of keyed repeats in which none is decided: a repeat may have to wait for a connection.
const REPEAT_MARGIN: Micros = 16;
/// ... and part of it in which none leaves: it has yet to arrive.
const ARRIVAL_MARGIN: Micros = 32;

impl Core {
    /// Whether a refusal, which calls a repeat harmless, would be true.
    pub(crate) fn may_refuse(&self, id: &RequestId) -> bool {
        let Some(r) = self.requests.get(id) else { return false };
        let never_ran = r.attempts.iter().all(|t| t.ended.is_some_and(Outcome::never_ran));
        match r.terms.effect {
            Effect::Safe => true,
            Effect::Keyed { scope, .. } => never_ran || scope == Scope::All,
            Effect::Unsafe => never_ran,
        }
    }

    /// Whether the request may have another attempt somewhere.
    pub(crate) fn may_repeat(&self, r: &Request) -> bool {
        let never_ran = r.attempts.iter().all(|t| t.ended.is_some_and(Outcome::never_ran));
        never_ran || r.terms.effect != Effect::Unsafe
    }

    /// Whether it may go to this worker: keyed requests stay with those that drop their repeats.
    pub(crate) fn may_repeat_on(&self, r: &Request, n: &WorkerId, w: &Worker) -> bool {
        let Effect::Keyed { scope, window } = r.terms.effect else { return true };
        let ran = |t: &&Attempt| !t.ended.is_some_and(Outcome::never_ran);
        r.attempts.iter().filter(ran).all(|t| {
            let same = match (scope, self.workers.get(&t.worker)) {
                (Scope::All, _) => true,
                _ if t.worker == *n => true,
                (Scope::Zone, Some(first)) => first.zone == w.zone,
                (Scope::Cell, Some(first)) => first.cell == w.cell,
                _ => false,
            };
            same && self.now - t.sent < window - window / REPEAT_MARGIN
        })
    }

    /// Whether an attempt at this worker is worth cancelling for a retry: a keyed one only while another
    /// worker that drops its repeats is well, as else it could do nothing but fail.
    pub(crate) fn may_leave(&self, r: &Request, n: &WorkerId) -> bool {
        let retries_left = (r.attempts.len() as u32) < r.max_attempts.min(self.settings.max_attempts);
        let takes_over = |(m, w): (&WorkerId, &Worker)| {
            m != n && w.up && w.ill_until <= self.now && self.may_repeat_on(r, m, w)
        };
        match r.terms.effect {
            Effect::Safe => true,
            Effect::Keyed { .. } => retries_left && self.workers.iter().any(takes_over),
            Effect::Unsafe => false,
        }
    }
}

/// Until when a repeat of a keyed request may leave, by its earlier attempts that may have run.
pub(crate) fn repeat_by(request: &Request) -> Option<Micros> {
    let Effect::Keyed { window, .. } = request.terms.effect else { return None };
    let may_have_run = request.attempts.iter().filter(|t| !t.ended.is_some_and(Outcome::never_ran));
    may_have_run.map(|t| t.sent + window - window / ARRIVAL_MARGIN).min()
}
