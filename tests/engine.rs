//! The engine's promises, whatever the router and the hosts do.

mod common;

use common::*;
use rstest::rstest;
use wheellink::engine::{AttemptId, Command, NewRequest, OrderId, Verdict, HALF_CLOSE_GRACE_US};
use wheellink::*;

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

    /// Lets time pass as the loop does, from one wanted tick to the next.
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
#[case::mail(UNSAFE)]
fn a_silent_host_ends_in_one_time_out_at_the_due_time(#[case] class: usize) {
    let mut rig = Rig::new(WhenCold::Loads, 1);
    rig.request(class, 500 * MS);
    rig.advance(499 * MS);
    assert_eq!((rig.sends().len(), rig.answers().len()), (1, 0));
    rig.advance(2 * MS);
    assert_eq!((rig.answers(), rig.cancels()), (vec![Verdict::TimedOut], 1));
    // The attempt is still out: the engine waits for its end, and says no more about it.
    assert_eq!(rig.engine.open(), 1);
    let attempt = rig.sends()[0];
    rig.end(attempt, Outcome::Cancelled);
    rig.advance(S);
    assert_eq!((rig.engine.open(), rig.answers().len(), rig.sends().len()), (0, 1, 1));
}

#[test]
fn an_answer_after_the_time_out_reaches_nobody() {
    let mut rig = Rig::new(WhenCold::Loads, 1);
    rig.request(SAFE, 500 * MS);
    rig.advance(S);
    let attempt = rig.sends()[0];
    rig.end(attempt, Outcome::Done);
    assert_eq!((rig.answers(), rig.engine.open()), (vec![Verdict::TimedOut], 0));
}

#[test]
fn an_attempt_ends_once() {
    let mut rig = Rig::new(WhenCold::Loads, 2);
    rig.request(SAFE, S);
    let first = rig.sends()[0];
    rig.end(first, Outcome::Error);
    assert_eq!(rig.sends().len(), 2, "a read goes on");
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
fn a_mail_that_may_have_run_fails_at_once_and_goes_nowhere_else(
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
fn a_mail_that_never_ran_goes_on() {
    let mut rig = Rig::new(WhenCold::Loads, 3);
    rig.request(UNSAFE, S);
    let first = rig.sends()[0];
    rig.end(first, Outcome::ConnectFailed);
    assert_eq!((rig.answers().len(), rig.sends().len()), (0, 2));
}

#[test]
fn a_client_that_leaves_is_owed_nothing_and_its_attempt_is_given_up() {
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
fn with_no_host_a_request_is_refused_once_and_early() {
    let mut rig = Rig::new(WhenCold::Misses, 0);
    rig.request(UNSAFE, 2 * S);
    rig.advance(S);
    let advice = settings().max_retry_after;
    assert_eq!(rig.answers(), [Verdict::Refused { retry_after: advice }]);
    rig.advance(5 * S);
    assert_eq!((rig.answers().len(), rig.engine.open()), (1, 0));
}

#[test]
fn an_order_that_gets_no_answer_ends_by_itself_and_only_once() {
    let mut rig = Rig::new(WhenCold::Misses, 1);
    rig.request(SAFE, 4 * S);
    let first = rig.sends()[0];
    rig.end(first, Outcome::Miss);
    assert_eq!(rig.orders().len(), 1);
    rig.advance(S + 100 * MS);
    // The order was lost: what waits for it has it given again.
    assert_eq!((rig.orders().len(), rig.sends().len()), (2, 1));
    let (lost, second) = (rig.orders()[0], rig.orders()[1]);
    rig.engine.order_ended(rig.now, lost, Outcome::Done, 1, &mut rig.out);
    assert_eq!(rig.sends().len(), 1, "what comes late of a lost order is not believed");
    rig.engine.order_ended(rig.now, second, Outcome::Done, 1, &mut rig.out);
    assert_eq!(rig.sends().len(), 2);
}

/// A client that leaves while its attempt waits for a connection says nothing of the host: it must not rest.
#[test]
fn an_attempt_taken_back_for_its_client_is_not_held_against_the_host() {
    let mut rig = Rig::new(WhenCold::Loads, 1);
    let ticket = rig.request(SAFE, S);
    rig.engine.client_left(rig.now, ticket, &mut rig.out);
    let attempt = rig.sends()[0];
    rig.end(attempt, Outcome::NotSent);
    rig.request(SAFE, S);
    assert_eq!(rig.sends().len(), 2);
}

/// A request that waits for a load: its first attempt missed.
fn held(rig: &mut Rig, class: usize) -> Ticket {
    let ticket = rig.request(class, 4 * S);
    let first = *rig.sends().last().unwrap();
    rig.end(first, Outcome::Miss);
    assert_eq!((rig.sends().len(), rig.answers().len()), (1, 0), "it waits for the load");
    ticket
}

#[rstest]
#[case::safe(SAFE)]
#[case::mail(UNSAFE)]
fn what_waits_when_its_client_ends_its_side_is_given_up_after_the_grace(#[case] class: usize) {
    let mut rig = Rig::new(WhenCold::Misses, 1);
    let ticket = held(&mut rig, class);
    rig.engine.client_half_closed(rig.now, ticket, rig.now, &mut rig.out);
    rig.advance(HALF_CLOSE_GRACE_US - MS);
    assert!(rig.answers().is_empty(), "within the grace it may still go on");
    rig.advance(2 * MS);
    assert!(matches!(rig.answers()[..], [Verdict::Refused { .. }]), "{:?}", rig.answers());
    let order = rig.orders()[0];
    rig.engine.order_ended(rig.now, order, Outcome::Done, 1, &mut rig.out);
    rig.advance(5 * S);
    assert_eq!((rig.sends().len(), rig.answers().len(), rig.engine.open()), (1, 1, 0));
}

#[test]
fn a_load_that_ends_within_the_grace_is_made_use_of() {
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

/// The end of an attempt may be told before the loop has looked at the timer of the grace.
#[rstest]
#[case::looked(true)]
#[case::not_looked_yet(false)]
fn an_attempt_that_is_out_at_a_half_close_goes_on_and_is_the_last(
    #[case] looked: bool,
    #[values(Outcome::Full, Outcome::Error, Outcome::Done)] end: Outcome,
) {
    let mut rig = Rig::new(WhenCold::Loads, 3);
    let ticket = rig.request(SAFE, 4 * S);
    rig.engine.client_half_closed(rig.now, ticket, rig.now, &mut rig.out);
    if looked {
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
fn an_attempt_that_has_not_begun_to_leave_is_taken_back_and_proves_that_nothing_ran() {
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

/// A request that is decided late, its client's side having ended long before.
#[test]
fn a_request_whose_client_ended_its_side_long_ago_is_not_begun() {
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
