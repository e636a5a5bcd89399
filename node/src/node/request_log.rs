//! Logs and counts requests: a log line for each attempt after a request's first, and for each request that was not
//! served. Lines carry the id that the client chose, so that a client's records can be matched with them.

use super::*;
use crate::metrics::{ReasonLabels, RequestLabels};

/// The attempts of a request so far.
#[derive(Default)]
pub(super) struct Attempts {
    count: u32,
    /// When the first attempt was sent.
    first_sent: Micros,
    /// The host of the last attempt, and its outcome if it has ended.
    last: Option<(WorkerId, Option<Outcome>)>,
    /// An attempt before the last one may have run.
    ran_before: bool,
}

impl Attempts {
    /// Whether the request may have run: an earlier attempt may have, or the last one was not proven not to have.
    pub(super) fn may_have_run(&self) -> bool {
        let last = self.last.as_ref().is_some_and(|(_, end)| !end.is_some_and(Outcome::never_ran));
        last || self.ran_before
    }
}

impl Node {
    /// Records an attempt that is about to be sent.
    pub(super) fn log_attempt(&mut self, now: Micros, attempt: AttemptId, host: &WorkerId) {
        self.metrics.attempts.inc();
        let Some(pending) = self.pending.get_mut(&attempt.ticket) else { return };
        let attempts = &mut pending.attempts;
        attempts.ran_before = attempts.may_have_run();
        attempts.count += 1;
        if attempts.count == 1 {
            attempts.first_sent = now;
        }
        let Some((previous, end)) = attempts.last.replace((host.clone(), None)) else { return };
        let reason = end.map_or("open", outcome_code);
        self.metrics.retries.get_or_create(&ReasonLabels { reason }).inc();
        let (id, class) = (&pending.call.id, &pending.call.class);
        let (count, since) = (attempts.count, milliseconds(now - attempts.first_sent));
        let text = format_args!(
            "request {id} class={class} attempt={count} host={} after={reason} at={} since_first_ms={since}",
            host.0, previous.0
        );
        self.log.request(now, text);
    }

    /// Records that a request is not repeated at a host, as another process may be at its address.
    pub(super) fn log_withheld_repeat(&mut self, now: Micros, attempt: AttemptId, host: &WorkerId) {
        let Some(pending) = self.pending.get(&attempt.ticket) else { return };
        let (id, class) = (&pending.call.id, &pending.call.class);
        let text = format_args!("request {id} class={class} withheld host={} reason=other_process", host.0);
        self.log.request(now, text);
    }

    /// Records the outcome of an attempt.
    pub(super) fn log_attempt_end(&mut self, attempt: AttemptId, outcome: Outcome) {
        if outcome != Outcome::Done {
            let reason = outcome_code(outcome);
            self.metrics.failed_attempts.get_or_create(&ReasonLabels { reason }).inc();
        }
        let pending = self.pending.get_mut(&attempt.ticket);
        if let Some((_, end)) = pending.and_then(|p| p.attempts.last.as_mut()) {
            *end = Some(outcome);
        }
    }

    /// Records the final answer to a request.
    pub(super) fn log_answer(&mut self, now: Micros, pending: &Pending, reply: &Reply) {
        let outcome = match reply {
            Reply::Served(_) => "served",
            Reply::Refused(_) => "refused",
            Reply::Failed => "failed",
            Reply::TimedOut => "timed_out",
            Reply::TurnedAway(_) => "turned_away",
        };
        self.log_request_end(now, pending, outcome);
    }

    /// Records that a request's client has disconnected: no answer is due.
    pub(super) fn log_client_left(&mut self, now: Micros, pending: &Pending) {
        self.log_request_end(now, pending, "client_left");
    }

    fn log_request_end(&mut self, now: Micros, pending: &Pending, outcome: &'static str) {
        let class = pending.call.class.clone();
        self.metrics.requests.get_or_create(&RequestLabels { class, outcome }).inc();
        if outcome == "served" {
            return;
        }
        let (id, class, count) = (&pending.call.id, &pending.call.class, pending.attempts.count);
        let (host, end) = match &pending.attempts.last {
            None => ("-", "-"),
            Some((host, end)) => (&*host.0, end.map_or("open", outcome_code)),
        };
        let after = milliseconds(now - pending.arrived);
        let text = format_args!(
            "request {id} class={class} ended={outcome} attempts={count} last={end} at={host} after_ms={after}"
        );
        self.log.request(now, text);
    }

    /// Checks whether the wall clock was stepped since the last check.
    pub(super) fn check_clock_step(&mut self, now: Micros) {
        let Some(step) = self.clock_steps.poll() else { return };
        self.metrics.clock_steps.inc_by(self.clock_steps.count() - self.metrics.clock_steps.get());
        self.metrics.clock_stepped.set(seconds(self.clock_steps.total()));
        self.log.line(now, format_args!("the wall clock was stepped by {:+.3} s", seconds(step)));
    }

    /// The metrics page.
    pub(super) fn show_metrics(&self) -> Response {
        self.metrics.open_requests.set(self.engine.open() as i64);
        for (reason, count) in self.log.ended_by_reason() {
            let ended = self.metrics.connections_ended.get_or_create_owned(&ReasonLabels { reason });
            ended.inc_by(count - ended.get());
        }
        Response::text(
            200,
            "application/openmetrics-text; version=1.0.0; charset=utf-8",
            self.metrics.encode(),
        )
    }
}

/// The code of an outcome in logs and metrics.
fn outcome_code(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Done => "done",
        Outcome::Error => "error",
        Outcome::Full => "full",
        Outcome::TimedOut => "timed_out",
        Outcome::ConnectFailed => "connect_failed",
        Outcome::Reset => "reset",
        Outcome::Cancelled => "cancelled",
        Outcome::NotSent => "not_sent",
        Outcome::NoConnection => "no_connection",
        Outcome::Miss => "miss",
    }
}

fn milliseconds(time: Micros) -> Micros {
    time / 1000
}

fn seconds(time: Micros) -> f64 {
    time as f64 / 1e6
}
