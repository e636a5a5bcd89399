//! Local health and self-suspicion: a member that was paused or is cut off must not suspect others.
//!
//! A process that was stopped finds its timers overdue and its probes unanswered all at once; a process whose datagrams
//! are lost in one direction gets no answers at all. Without self-suspicion both would suspect the whole fleet, and the
//! others would believe them. Therefore a member that was paused postpones its timers by the length of the pause, and
//! **a member suspects others only while it receives answers**: an answer shows that datagrams pass in both directions,
//! at least to one member. A member that is late itself gives others more time to answer, as in Lifeguard
//! (Dadgar, Phillips, Currey: "Lifeguard: Local Health Awareness for More Accurate Failure Detection", 2018).

use std::time::Duration;

/// A timer overdue by more than this number of probe periods means that this process was paused.
const PAUSE_THRESHOLD_PERIODS: f64 = 2.0;
/// A probe sent later than this part of a period worsens the local health. A datagram read within this part of a period
/// after a pause counts as one that was queued during the pause.
const LATE_THRESHOLD_PERIODS: f64 = 0.2;
/// Limit of the local health score; timeouts are multiplied by 1 plus the score.
const MAX_SCORE: u32 = 8;
/// An answer shows for this number of periods that this member is reachable. With 30% datagram loss, one period passes
/// without an answer with a probability of 0.2.
const ANSWER_VALIDITY_PERIODS: f64 = 4.0;
/// A member without an answer for this number of periods is isolated, whether the cause is on its side or on the
/// others'.
const ISOLATION_TIMEOUT_PERIODS: f64 = 16.0;

/// Local health score of this member and the evidence that others receive its datagrams.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LocalHealth {
    /// Time of the last answer; before the first answer, the time of the start.
    last_answer: Duration,
    /// End of the last pause, if no answer has arrived since.
    pause_end: Option<Duration>,
    /// Lifeguard's local health score: 0 is healthy.
    score: u32,
    pause_count: u64,
}

impl LocalHealth {
    pub(crate) fn new(now: Duration) -> Self {
        Self { last_answer: now, pause_end: None, score: 0, pause_count: 0 }
    }

    /// Detects a pause of this process from a timer that was due at `due` and is handled at `now`. Returns by how much
    /// all timers have to be postponed.
    pub(crate) fn detect_pause(
        &mut self,
        now: Duration,
        due: Duration,
        period: Duration,
    ) -> Option<Duration> {
        let late = now.saturating_sub(due);
        if late <= period.mul_f64(PAUSE_THRESHOLD_PERIODS) {
            return None;
        }
        (self.pause_end, self.pause_count) = (Some(now), self.pause_count + 1);
        self.score = (self.score + 1).min(MAX_SCORE);
        Some(late)
    }

    /// Updates the local health when a probe that was due at `due` is sent at `now`.
    pub(crate) fn record_probe(&mut self, now: Duration, due: Duration, period: Duration) {
        let late = now.saturating_sub(due) > period.mul_f64(LATE_THRESHOLD_PERIODS);
        self.score = if late { (self.score + 1).min(MAX_SCORE) } else { self.score.saturating_sub(1) };
    }

    /// Records an answer. Returns false for an answer that was queued during a pause, which says nothing about the
    /// present.
    pub(crate) fn record_answer(&mut self, now: Duration, period: Duration) -> bool {
        let stale = self
            .pause_end
            .is_some_and(|end| now.saturating_sub(end) <= period.mul_f64(LATE_THRESHOLD_PERIODS));
        if !stale {
            (self.last_answer, self.pause_end) = (now, None);
        }
        !stale
    }

    /// Whether this member may suspect others or declare them dead.
    pub(crate) fn may_suspect_others(&self, now: Duration, period: Duration) -> bool {
        self.pause_end.is_none()
            && now.saturating_sub(self.last_answer)
                <= (period * self.timeout_multiplier()).mul_f64(ANSWER_VALIDITY_PERIODS)
    }

    /// Whether no answer has arrived for so long that the states of the other members are no longer known. Pauses of
    /// this process do not count.
    pub(crate) fn is_isolated(&self, now: Duration, period: Duration) -> bool {
        let since = self.pause_end.unwrap_or(self.last_answer);
        now.saturating_sub(since) > (period * self.timeout_multiplier()).mul_f64(ISOLATION_TIMEOUT_PERIODS)
    }

    /// Factor by which timeouts are multiplied (Lifeguard's local health multiplier).
    pub(crate) fn timeout_multiplier(&self) -> u32 {
        1 + self.score
    }

    /// Number of pauses of this process that were detected.
    pub(crate) fn pause_count(&self) -> u64 {
        self.pause_count
    }

    /// Starts again as if an answer had arrived now; the health score is kept.
    pub(crate) fn restart(&mut self, now: Duration) {
        (self.last_answer, self.pause_end) = (now, None);
    }
}

#[cfg(test)]
mod tests;
