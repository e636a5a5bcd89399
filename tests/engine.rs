//! The guarantees of the engine, with its router and any behaviour of hosts and clients.

mod common;

use common::*;
use rstest::rstest;
use wheellink::engine::{AttemptId, Command, NewRequest, OrderId, Verdict, HALF_CLOSE_GRACE_US};
use wheellink::*;

/// Test rig: an engine, its clock and the commands that it has issued.
struct Rig {
    engine: Engine,
    now: Micros,
    out: Vec<Command>,
}

impl Rig {
    fn new(when_cold: WhenCold, hosts: usize) -> Self {
        let settings = Settings { when_cold, ..settings() };
        let mut rig =
            Self { engine: Engine::new(Router::new(settings, 7).unwrap(), S), now: 100 * S, out: vec![] };
        let entries = (0..hosts).map(|i| entry(&format!("w{i}"), Condition::Up)).collect();
        rig.engine.update_hosts(rig.now, ListKind::Cached, entries, &mut rig.out);
        rig
    }

    fn request(&mut self, class: usize, time: Micros) -> Ticket {
        let (function, due) = ("f".into(), self.now + time);
        let new = NewRequest {
            class,
            tenant: None,
            function,
            due,
            lanes: 2,
            repeat: false,
            hint: 0,
            half_closed: None,
        };
        self.engine.request(self.now, new, &mut self.out)
    }

    fn end(&mut self, attempt: AttemptId, outcome: Outcome) {
        self.engine.attempt_ended(self.now, attempt, outcome.into(), &mut self.out);
    }

    /// Advances the clock as the event loop does, with each tick that the engine wants.
    fn advance(&mut self, time: Micros) {
        let end = self.now + time;
        while let Some(at) = self.engine.next_tick().filter(|at| *at <= end) {
            self.now = self.now.max(at);
            self.engine.tick(self.now, &mut self.out);
        }
        self.now = end;
    }

    fn sends(&self) -> Vec<AttemptId> {
        let send = |c: &Command| if let Command::Send { attempt, .. } = c { Some(*attempt) } else { None };
        self.out.iter().filter_map(send).collect()
    }

    fn answers(&self) -> Vec<Verdict> {
        let answer =
            |c: &Command| if let Command::Answer { verdict, .. } = c { Some(*verdict) } else { None };
        self.out.iter().filter_map(answer).collect()
    }

    fn cancels(&self) -> usize {
        self.out.iter().filter(|c| matches!(c, Command::Cancel { .. })).count()
    }

    fn orders(&self) -> Vec<OrderId> {
        let load = |c: &Command| if let Command::Load { order, .. } = c { Some(*order) } else { None };
        self.out.iter().filter_map(load).collect()
    }
}

#[rstest]
#[case::safe(SAFE)]
#[case::keyed(KEYED)]
#[case::unsafe_request(UNSAFE)]
fn a_request_at_a_silent_host_times_out_once_at_its_due_time(#[case] class: usize) {
    let mut rig = Rig::new(WhenCold::Loads, 1);
    rig.request(class, 500 * MS);
    rig.advance(499 * MS);
    assert_eq!((rig.sends().len(), rig.answers().len()), (1, 0));
    rig.advance(2 * MS);
    assert_eq!((rig.answers(), rig.cancels()), (vec![Verdict::TimedOut], 1));
    // The attempt is still in progress: the engine waits for its end and gives no further answer.
    assert_eq!(rig.engine.open(), 1);
    let attempt = rig.sends()[0];
    rig.end(attempt, Outcome::Cancelled);
    rig.advance(S);
    assert_eq!((rig.engine.open(), rig.answers().len(), rig.sends().len()), (0, 1, 1));
}

#[test]
fn an_answer_after_the_time_out_is_dropped() {
    let mut rig = Rig::new(WhenCold::Loads, 1);
    rig.request(SAFE, 500 * MS);
    rig.advance(S);
    let attempt = rig.sends()[0];
    rig.end(attempt, Outcome::Done);
    assert_eq!((rig.answers(), rig.engine.open()), (vec![Verdict::TimedOut], 0));
}

#[test]
fn only_the_first_end_of_an_attempt_counts() {
    let mut rig = Rig::new(WhenCold::Loads, 2);
    rig.request(SAFE, S);
    let first = rig.sends()[0];
    rig.end(first, Outcome::Error);
    assert_eq!(rig.sends().len(), 2, "a safe request is not retried");
    rig.end(first, Outcome::Error);
    rig.end(first, Outcome::Done);
    assert_eq!((rig.sends().len(), rig.answers().len()), (2, 0));
    let second = rig.sends()[1];
    rig.end(second, Outcome::Done);
    assert_eq!((rig.answers(), rig.engine.open()), (vec![Verdict::Served(second)], 0));
}

#[rstest]
#[case::reset(Outcome::Reset, Verdict::Failed)]
#[case::error(Outcome::Error, Verdict::Failed)]
fn an_unsafe_request_that_may_have_run_fails_at_once_without_a_retry(
    #[case] end: Outcome,
    #[case] verdict: Verdict,
) {
    let mut rig = Rig::new(WhenCold::Loads, 3);
    rig.request(UNSAFE, S);
    let first = rig.sends()[0];
    rig.end(first, end);
    assert_eq!((rig.answers(), rig.sends().len(), rig.engine.open()), (vec![verdict], 1, 0));
}

#[test]
fn an_unsafe_request_that_never_ran_is_retried() {
    let mut rig = Rig::new(WhenCold::Loads, 3);
    rig.request(UNSAFE, S);
    let first = rig.sends()[0];
    rig.end(first, Outcome::ConnectFailed);
    assert_eq!((rig.answers().len(), rig.sends().len()), (0, 2));
}

#[test]
fn a_client_that_leaves_gets_no_answer_and_its_attempt_is_cancelled() {
    let mut rig = Rig::new(WhenCold::Loads, 1);
    let ticket = rig.request(UNSAFE, S);
    rig.engine.client_left(rig.now, ticket, &mut rig.out);
    rig.engine.client_left(rig.now, ticket, &mut rig.out);
    assert_eq!(rig.cancels(), 1);
    rig.advance(2 * S);
    assert_eq!((rig.answers().len(), rig.engine.open()), (0, 1));
    let attempt = rig.sends()[0];
    rig.end(attempt, Outcome::Done);
    assert_eq!((rig.answers().len(), rig.engine.open()), (0, 0));
}

#[test]
fn without_hosts_a_request_is_refused_once_and_early() {
    let mut rig = Rig::new(WhenCold::Misses, 0);
    rig.request(UNSAFE, 2 * S);
    rig.advance(S);
    let retry_after = settings().max_retry_after;
    assert_eq!(rig.answers(), [Verdict::Refused { retry_after }]);
    rig.advance(5 * S);
    assert_eq!((rig.answers().len(), rig.engine.open()), (1, 0));
}

#[test]
fn an_order_without_an_answer_times_out_once() {
    let mut rig = Rig::new(WhenCold::Misses, 1);
    rig.request(SAFE, 4 * S);
    let first = rig.sends()[0];
    rig.end(first, Outcome::Miss);
    assert_eq!(rig.orders().len(), 1);
    rig.advance(S + 100 * MS);
    // The order was lost: the request that waits for it causes another one.
    assert_eq!((rig.orders().len(), rig.sends().len()), (2, 1));
    let (lost, second) = (rig.orders()[0], rig.orders()[1]);
    rig.engine.order_ended(rig.now, lost, Outcome::Done, 1, &mut rig.out);
    assert_eq!(rig.sends().len(), 1, "the late end of a timed-out order counts");
    rig.engine.order_ended(rig.now, second, Outcome::Done, 1, &mut rig.out);
    assert_eq!(rig.sends().len(), 2);
}

/// A client that leaves while its attempt waits for a connection says nothing about the host, which must not be rested.
#[test]
fn an_attempt_cancelled_as_its_client_left_does_not_count_against_the_host() {
    let mut rig = Rig::new(WhenCold::Loads, 1);
    let ticket = rig.request(SAFE, S);
    rig.engine.client_left(rig.now, ticket, &mut rig.out);
    let attempt = rig.sends()[0];
    rig.end(attempt, Outcome::NotSent);
    rig.request(SAFE, S);
    assert_eq!(rig.sends().len(), 2);
}

/// A request whose first attempt missed, so that it waits for a load.
fn held(rig: &mut Rig, class: usize) -> Ticket {
    let ticket = rig.request(class, 4 * S);
    let first = *rig.sends().last().unwrap();
    rig.end(first, Outcome::Miss);
    assert_eq!((rig.sends().len(), rig.answers().len()), (1, 0), "it does not wait for the load");
    ticket
}

#[rstest]
#[case::safe(SAFE)]
#[case::unsafe_request(UNSAFE)]
fn a_held_request_ends_after_the_grace_of_a_half_close(#[case] class: usize) {
    let mut rig = Rig::new(WhenCold::Misses, 1);
    let ticket = held(&mut rig, class);
    rig.engine.client_half_closed(rig.now, ticket, rig.now, &mut rig.out);
    rig.advance(HALF_CLOSE_GRACE_US - MS);
    assert!(rig.answers().is_empty(), "answered within the grace");
    rig.advance(2 * MS);
    assert!(matches!(rig.answers()[..], [Verdict::Refused { .. }]), "{:?}", rig.answers());
    let order = rig.orders()[0];
    rig.engine.order_ended(rig.now, order, Outcome::Done, 1, &mut rig.out);
    rig.advance(5 * S);
    assert_eq!((rig.sends().len(), rig.answers().len(), rig.engine.open()), (1, 1, 0));
}

#[test]
fn a_load_that_ends_within_the_grace_is_used() {
    let mut rig = Rig::new(WhenCold::Misses, 1);
    let ticket = held(&mut rig, SAFE);
    rig.engine.client_half_closed(rig.now, ticket, rig.now, &mut rig.out);
    rig.now += HALF_CLOSE_GRACE_US / 2;
    let order = rig.orders()[0];
    rig.engine.order_ended(rig.now, order, Outcome::Done, 1, &mut rig.out);
    let second = rig.sends()[1];
    rig.advance(S);
    rig.end(second, Outcome::Done);
    assert_eq!((rig.answers(), rig.engine.open()), (vec![Verdict::Served(second)], 0));
}

/// The end of an attempt may be reported before the event loop has run the timer of the grace.
#[rstest]
#[case::after_the_timer(true)]
#[case::before_the_timer(false)]
fn an_attempt_in_progress_at_a_half_close_continues_and_is_the_last(
    #[case] timer_first: bool,
    #[values(Outcome::Full, Outcome::Error, Outcome::Done)] end: Outcome,
) {
    let mut rig = Rig::new(WhenCold::Loads, 3);
    let ticket = rig.request(SAFE, 4 * S);
    rig.engine.client_half_closed(rig.now, ticket, rig.now, &mut rig.out);
    if timer_first {
        rig.advance(HALF_CLOSE_GRACE_US + 10 * MS);
        assert!(rig.out.contains(&Command::Withdraw { attempt: rig.sends()[0] }));
    } else {
        rig.now += HALF_CLOSE_GRACE_US + 10 * MS;
    }
    assert_eq!((rig.answers().len(), rig.cancels()), (0, 0));
    let first = rig.sends()[0];
    rig.end(first, end);
    assert_eq!((rig.sends().len(), rig.answers().len(), rig.engine.open()), (1, 1, 0));
    assert_eq!(rig.answers()[0] == Verdict::Served(first), end == Outcome::Done);
}

#[test]
fn an_unsent_attempt_is_withdrawn_after_the_grace_and_its_request_is_refused() {
    let mut rig = Rig::new(WhenCold::Loads, 1);
    let ticket = rig.request(UNSAFE, 4 * S);
    let first = rig.sends()[0];
    rig.engine.client_half_closed(rig.now, ticket, rig.now, &mut rig.out);
    rig.advance(HALF_CLOSE_GRACE_US + MS);
    assert!(rig.out.contains(&Command::Withdraw { attempt: first }));
    rig.end(first, Outcome::NotSent);
    assert!(matches!(rig.answers()[..], [Verdict::Refused { .. }]), "{:?}", rig.answers());
    assert_eq!((rig.sends().len(), rig.engine.open()), (1, 0));
}

/// The engine may get a request late, long after its client half-closed the connection.
#[test]
fn a_request_whose_client_half_closed_long_ago_is_not_sent() {
    let mut rig = Rig::new(WhenCold::Loads, 1);
    let (due, half_closed) = (rig.now + S, Some(rig.now - HALF_CLOSE_GRACE_US - MS));
    let function = "f".into();
    let new = NewRequest {
        class: SAFE,
        tenant: None,
        function,
        due,
        lanes: 2,
        repeat: false,
        hint: 0,
        half_closed,
    };
    rig.engine.request(rig.now, new, &mut rig.out);
    assert!(rig.sends().is_empty());
    assert!(matches!(rig.answers()[..], [Verdict::Refused { .. }]), "{:?}", rig.answers());
}
