//! SelfSuspicion in oneself. A process that was stopped finds its timers overdue and its probes unanswered, all at once; one whose
//! datagrams are lost on one way finds nobody answering. Taken at their word both would accuse the whole fleet, and what
//! they say of others is believed. So who was away lets its timers wait as long, and **only who is answered accuses**:
//! an answer shows that both ways are open, at least to one. Who is late itself gives answers more time, as Lifeguard
//! does (Dadgar, Phillips, Currey: "Lifeguard: Local Health Awareness for More Accurate Failure Detection", 2018).

use std::time::Duration;

/// Late by this many periods is a pause.
const PAUSE: f64 = 2.0;
/// Late by this part of a period speaks against one's own health. What comes in so soon after a pause had waited for it.
const LATE: f64 = 0.2;
/// Worst health: times are stretched so many times more.
const WORST: u32 = 8;
/// An answer is believed to hold for so many periods. At 30 in 100 lost a period without one has a chance of 0.2.
const ANSWERED: f64 = 4.0;
/// Who is not answered for so many periods is alone, whether it or all others are the reason.
const ALONE: f64 = 16.0;

/// See the module's page.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SelfSuspicion {
    /// The last answer; at first, when it began.
    answered: Duration,
    /// It was away until then, and nobody has answered since.
    away: Option<Duration>,
    /// 0 is well.
    health: u32,
    pauses: u64,
}

impl SelfSuspicion {
    pub(crate) fn new(now: Duration) -> Self {
        Self { answered: now, away: None, health: 0, pauses: 0 }
    }

    /// The next timer was due then, and it is now. If that tells of a pause: for how long all must wait.
    pub(crate) fn late(&mut self, now: Duration, due: Duration, period: Duration) -> Option<Duration> {
        let late = now.saturating_sub(due);
        if late <= period.mul_f64(PAUSE) {
            return None;
        }
        (self.away, self.pauses) = (Some(now), self.pauses + 1);
        self.health = (self.health + 1).min(WORST);
        Some(late)
    }

    /// A probe that was due then goes out now.
    pub(crate) fn probed(&mut self, now: Duration, due: Duration, period: Duration) {
        let late = now.saturating_sub(due) > period.mul_f64(LATE);
        self.health = if late { (self.health + 1).min(WORST) } else { self.health.saturating_sub(1) };
    }

    /// Somebody answered. What is read in one go after a pause is no sign of now: whether it is one.
    pub(crate) fn answered(&mut self, now: Duration, period: Duration) -> bool {
        let old = self.away.is_some_and(|away| now.saturating_sub(away) <= period.mul_f64(LATE));
        if !old {
            (self.answered, self.away) = (now, None);
        }
        !old
    }

    /// Whether others may be accused now.
    pub(crate) fn accuses(&self, now: Duration, period: Duration) -> bool {
        self.away.is_none()
            && now.saturating_sub(self.answered) <= (period * self.stretch()).mul_f64(ANSWERED)
    }

    /// Whether nobody has answered for so long that nothing is known of the others any more. Time that it was away
    /// does not count.
    pub(crate) fn is_alone(&self, now: Duration, period: Duration) -> bool {
        let since = self.away.unwrap_or(self.answered);
        now.saturating_sub(since) > (period * self.stretch()).mul_f64(ALONE)
    }

    /// What times are stretched by.
    pub(crate) fn stretch(&self) -> u32 {
        1 + self.health
    }

    /// Pauses of its own that it noticed.
    pub(crate) fn pauses(&self) -> u64 {
        self.pauses
    }

    /// It begins anew, as well as it is.
    pub(crate) fn begin(&mut self, now: Duration) {
        (self.answered, self.away) = (now, None);
    }
}

#[cfg(test)]
mod tests;
