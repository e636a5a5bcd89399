//! Random traces of events on the engine with its router, against a model of the connections to hosts. In whatever
//! order clients leave, attempts and orders end, due times pass, and lists and settings change, each request gets one
//! answer and no attempt begins that no client waits for.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use common::*;
use wheellink::engine::{AttemptId, Command, NewRequest, OrderId, Verdict, HALF_CLOSE_GRACE_US};
use wheellink::*;

const HOSTS: usize = 4;
const FUNCTIONS: usize = 3;
const SEEDS: u64 = 400;
/// Traces that one engine runs, each until all requests have ended, so that leaked entries accumulate.
const ROUNDS: usize = 12;
const STEPS: usize = 100;
/// Maximum number of table entries that a router has more after the last round than after the first, as a mean over all
/// seeds. A leaked request leaves two entries or more, and each round has a dozen requests.
const MAX_MORE_ENTRIES: f64 = 6.0;
/// Outcomes of attempts that have been sent. Most are `Done`, as all hosts would rest otherwise.
const OUTCOMES: [Outcome; 12] = [
    Outcome::Done,
    Outcome::Done,
    Outcome::Done,
    Outcome::Done,
    Outcome::Done,
    Outcome::Done,
    Outcome::Error,
    Outcome::Full,
    Outcome::ConnectFailed,
    Outcome::Reset,
    Outcome::NotSent,
    Outcome::Miss,
];

/// Outcomes of attempts that wait for a connection.
const UNSENT_OUTCOMES: [Outcome; 4] =
    [Outcome::ConnectFailed, Outcome::NotSent, Outcome::NoConnection, Outcome::Full];

/// Progress of an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Stage {
    /// It waits for a connection and can end as never sent.
    Queued,
    /// Its first byte has been sent.
    Sent,
    Ended(Outcome),
}

#[derive(Debug)]
struct Attempt {
    host: WorkerId,
    sent: Micros,
    stage: Stage,
    cancelled: bool,
}

impl Attempt {
    fn is_in_progress(&self) -> bool {
        !matches!(self.stage, Stage::Ended(_))
    }

    fn may_have_run(&self) -> bool {
        !matches!(self.stage, Stage::Queued) && !matches!(self.stage, Stage::Ended(end) if end.never_ran())
    }
}

#[derive(Debug)]
struct Request {
    class: usize,
    due: Micros,
    left: bool,
    half_closed: Option<Micros>,
    /// Maximum attempts that any settings since its arrival allowed.
    max_attempts: u32,
    attempts: Vec<Attempt>,
    answers: Vec<Verdict>,
}

impl Request {
    /// Whether the client still waits for an answer.
    fn is_waiting(&self) -> bool {
        !self.left && self.answers.is_empty()
    }

    /// Whether a new attempt may begin.
    fn may_begin(&self, now: Micros) -> bool {
        self.is_waiting() && self.half_closed.is_none_or(|since| now <= since + HALF_CLOSE_GRACE_US)
    }

    /// Number of the attempt in progress.
    fn in_progress(&self) -> Option<u32> {
        self.attempts.iter().position(Attempt::is_in_progress).map(|at| at as u32)
    }
}

/// An engine, and the model of its clients, hosts and connections.
struct Simulation {
    rng: fastrand::Rng,
    engine: Engine,
    now: Micros,
    settings: Settings,
    requests: BTreeMap<Ticket, Request>,
    orders: BTreeSet<OrderId>,
    /// Condition of each host in the list.
    listed: BTreeMap<WorkerId, Condition>,
    /// Hosts that an operator took out of service.
    out_of_service: BTreeSet<WorkerId>,
    /// Commands of the engine that have not been carried out.
    commands: Vec<Command>,
    served: usize,
    refused: usize,
    withdrawn: usize,
}

fn zone(host: &WorkerId) -> u32 {
    u32::from(host.0.ends_with(['1', '3']))
}

fn listed(host: &WorkerId, condition: Condition) -> ListEntry {
    ListEntry { zone: Some(zone(host)), ..entry(&host.0, condition) }
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let when_cold = if rng.bool() { WhenCold::Misses } else { WhenCold::Loads };
        let settings = Settings { when_cold, ..settings() };
        let engine = Engine::new(Router::new(settings.clone(), seed).unwrap(), S);
        let mut sim = Self {
            rng,
            engine,
            now: 100 * S,
            settings,
            requests: BTreeMap::new(),
            orders: BTreeSet::new(),
            listed: BTreeMap::new(),
            out_of_service: BTreeSet::new(),
            commands: Vec::new(),
            served: 0,
            refused: 0,
            withdrawn: 0,
        };
        sim.list(ListKind::Cached, |_| Condition::Up);
        sim
    }

    /// Sends a list event whose entries have random conditions.
    fn list(&mut self, kind: ListKind, condition: impl Fn(&mut fastrand::Rng) -> Condition) {
        let names: Vec<WorkerId> = (0..HOSTS).map(|i| format!("w{i}").as_str().into()).collect();
        let mut entries = Vec::new();
        for name in names {
            if kind != ListKind::Delta || self.rng.bool() {
                entries.push(listed(&name, condition(&mut self.rng)));
            }
        }
        if kind != ListKind::Delta {
            self.listed.clear();
        }
        self.listed.extend(entries.iter().map(|e| (e.worker.clone(), e.condition)));
        self.engine.update_hosts(self.now, kind, entries, &mut self.commands);
        self.run_commands();
    }

    /// Whether the host takes new work.
    fn takes_work(&self, host: &WorkerId) -> bool {
        self.listed.get(host) == Some(&Condition::Up) && !self.out_of_service.contains(host)
    }

    /// Checks the commands against the guarantees and carries them out.
    fn run_commands(&mut self) {
        while !self.commands.is_empty() {
            for command in std::mem::take(&mut self.commands) {
                match command {
                    Command::Send { attempt, host, until, .. } => self.send(attempt, host, until),
                    Command::Cancel { attempt } => self.cancel(attempt),
                    Command::Withdraw { attempt } => self.withdraw(attempt),
                    Command::Answer { ticket, verdict } => self.answer(ticket, verdict),
                    Command::Load { order, .. } => drop(self.orders.insert(order)),
                    Command::Unload { .. } | Command::Probe { .. } => {}
                    Command::Broadcast { .. } | Command::Log { .. } => {}
                }
            }
        }
    }

    fn send(&mut self, id: AttemptId, host: WorkerId, until: Micros) {
        let (now, takes) = (self.now, self.takes_work(&host));
        let r = self.requests.get_mut(&id.ticket).expect("a known request");
        assert!(r.may_begin(now), "sent, though no client waits or its grace is over: {r:?} at {now}");
        assert!(r.in_progress().is_none(), "two attempts in progress: {r:?}");
        assert_eq!(id.number as usize, r.attempts.len(), "not numbered in order: {r:?}");
        assert!((r.attempts.len() as u32) < r.max_attempts, "more attempts than the class allows: {r:?}");
        assert!(now < r.due && until <= r.due, "sent after its due time: {r:?} at {now}");
        assert!(takes, "sent to {host:?}, which takes no new work");
        let ran: Vec<&Attempt> = r.attempts.iter().filter(|a| a.may_have_run()).collect();
        match self.settings.classes[r.class].effect {
            Effect::Safe => {}
            Effect::Unsafe => assert!(ran.is_empty(), "unsafe request sent twice: {r:?}"),
            Effect::Keyed { window, .. } => {
                let dropped = |a: &&Attempt| zone(&a.host) == zone(&host) && now - a.sent < window;
                assert!(ran.iter().all(dropped), "a keyed repeat that is not dropped: {r:?}");
            }
        }
        r.attempts.push(Attempt { host, sent: now, stage: Stage::Queued, cancelled: false });
    }

    fn attempt(&mut self, id: AttemptId) -> &mut Attempt {
        let r = self.requests.get_mut(&id.ticket).expect("a known request");
        r.attempts.get_mut(id.number as usize).expect("a known attempt")
    }

    fn cancel(&mut self, id: AttemptId) {
        let a = self.attempt(id);
        assert!(!std::mem::replace(&mut a.cancelled, true), "cancelled twice");
        if a.stage == Stage::Queued {
            self.end(id, Outcome::NotSent);
        }
    }

    fn withdraw(&mut self, id: AttemptId) {
        if self.attempt(id).stage == Stage::Queued {
            self.withdrawn += 1;
            self.end(id, Outcome::NotSent);
        }
    }

    fn end(&mut self, id: AttemptId, outcome: Outcome) {
        let a = self.attempt(id);
        if a.is_in_progress() {
            a.stage = Stage::Ended(outcome);
        }
        self.engine.attempt_ended(self.now, id, outcome.into(), &mut self.commands);
        self.run_commands();
    }

    fn answer(&mut self, ticket: Ticket, verdict: Verdict) {
        let r = self.requests.get_mut(&ticket).expect("a known request");
        assert!(r.is_waiting(), "an answer without a waiting client: {verdict:?} for {r:?}");
        r.answers.push(verdict);
        match verdict {
            Verdict::Served(by) => {
                assert_eq!(r.attempts[by.number as usize].stage, Stage::Ended(Outcome::Done));
                self.served += 1;
            }
            Verdict::Refused { .. } => {
                let ran = r.attempts.iter().any(Attempt::may_have_run);
                let harmless = self.settings.classes[r.class].effect == Effect::Safe || !ran;
                assert!(harmless, "refused, though it may have run: {r:?}");
                self.refused += 1;
            }
            Verdict::Failed | Verdict::TimedOut => {}
        }
    }

    /// Ticks the engine as far as due, and checks that all requests are answered in time.
    fn tick(&mut self) {
        while self.engine.next_tick().is_some_and(|at| at <= self.now) {
            self.engine.tick(self.now, &mut self.commands);
            self.run_commands();
        }
        for r in self.requests.values() {
            assert!(!r.is_waiting() || r.due > self.now, "not answered in time: {r:?}");
            let waits = r.is_waiting() && r.in_progress().is_none();
            assert!(!waits || r.may_begin(self.now), "it waits, though no attempt may begin: {r:?}");
        }
    }

    /// A random request that matches.
    fn any(&mut self, matches: impl Fn(&Request) -> bool) -> Option<Ticket> {
        let all: Vec<Ticket> = self.requests.iter().filter(|(_, r)| matches(r)).map(|(t, _)| *t).collect();
        self.rng.choice(all)
    }

    fn request(&mut self) {
        let class = self.rng.usize(..3);
        let due = self.now + self.rng.i64(1..1_500) * MS;
        let function = format!("f{}", self.rng.usize(..FUNCTIONS)).as_str().into();
        let since = self.now - self.rng.i64(0..100) * MS;
        let half_closed = (self.rng.u8(..10) == 0).then_some(since);
        let lanes = self.rng.u32(1..3);
        let new =
            NewRequest { class, tenant: None, function, due, lanes, repeat: false, hint: 0, half_closed };
        // The commands contain the ticket, which is known only after the call.
        let mut commands = Vec::new();
        let ticket = self.engine.request(self.now, new, &mut commands);
        let max_attempts = self.settings.max_attempts;
        let (attempts, answers) = (Vec::new(), Vec::new());
        let request = Request { class, due, left: false, half_closed, max_attempts, attempts, answers };
        self.requests.insert(ticket, request);
        self.commands.extend(commands);
        self.run_commands();
    }

    fn client_leaves(&mut self) {
        let Some(ticket) = self.any(|r| !r.left) else { return };
        let r = self.requests.get_mut(&ticket).expect("chosen");
        r.left |= r.answers.is_empty();
        self.engine.client_left(self.now, ticket, &mut self.commands);
        self.run_commands();
    }

    fn client_half_closes(&mut self) {
        let Some(ticket) = self.any(|r| !r.left && r.half_closed.is_none()) else { return };
        let since = self.now - self.rng.i64(0..5) * MS;
        self.requests.get_mut(&ticket).expect("chosen").half_closed = Some(since);
        self.engine.client_half_closed(self.now, ticket, since, &mut self.commands);
        self.run_commands();
    }

    /// The connection of an attempt opens, and its first byte is sent.
    fn attempt_leaves(&mut self) {
        let queued = |r: &Request| r.attempts.iter().any(|a| a.stage == Stage::Queued);
        let Some(ticket) = self.any(queued) else { return };
        // The event loop runs its timers before it waits for sockets.
        self.tick();
        let now = self.now;
        let r = self.requests.get_mut(&ticket).expect("chosen");
        let may_begin = r.may_begin(now);
        let Some(a) = r.attempts.iter_mut().find(|a| a.stage == Stage::Queued) else { return };
        a.stage = Stage::Sent;
        assert!(may_begin, "sent, though no client waits or its grace is over: {r:?} at {now}");
    }

    fn attempt_ends(&mut self) {
        let Some(ticket) = self.any(|r| r.in_progress().is_some()) else { return };
        let number = self.requests[&ticket].in_progress().expect("chosen");
        let id = AttemptId { ticket, number };
        let a = self.attempt(id);
        let (queued, cancelled) = (a.stage == Stage::Queued, a.cancelled);
        let outcome = match (queued, cancelled) {
            (true, _) if self.rng.bool() => return self.attempt_leaves(),
            (true, _) => UNSENT_OUTCOMES[self.rng.usize(..UNSENT_OUTCOMES.len())],
            // The host may have answered before it got the cancellation.
            (false, true) if self.rng.bool() => Outcome::Cancelled,
            (false, _) => OUTCOMES[self.rng.usize(..OUTCOMES.len())],
        };
        self.end(id, outcome);
        if self.rng.u8(..4) == 0 {
            // A second report of its end has no effect.
            let later = OUTCOMES[self.rng.usize(..OUTCOMES.len())];
            self.end(id, later);
        }
    }

    fn order_ends(&mut self) {
        let orders: Vec<OrderId> = self.orders.iter().copied().collect();
        let Some(order) = self.rng.choice(orders) else { return };
        self.orders.remove(&order);
        let ends = [Outcome::Done, Outcome::Done, Outcome::Full, Outcome::Error, Outcome::Reset];
        let outcome = ends[self.rng.usize(..ends.len())];
        let copies = u32::from(outcome == Outcome::Done);
        self.engine.order_ended(self.now, order, outcome, copies, &mut self.commands);
        self.run_commands();
    }

    fn list_changes(&mut self) {
        let kind = if self.rng.bool() { ListKind::Delta } else { ListKind::Full };
        self.list(kind, |rng| match rng.u8(..12) {
            0 => Condition::Draining,
            1 => Condition::Gone,
            _ => Condition::Up,
        });
    }

    fn operator_acts(&mut self) {
        let host: WorkerId = format!("w{}", self.rng.usize(..HOSTS)).as_str().into();
        let out = !self.out_of_service.remove(&host);
        if out {
            self.out_of_service.insert(host.clone());
        }
        self.engine.set_out_of_service(self.now, host, out, &mut self.commands);
        self.run_commands();
    }

    fn settings_change(&mut self) {
        let (attempts, cancel) = (self.rng.u32(1..5), self.rng.bool());
        self.settings = Settings { max_attempts: attempts, cancel, ..self.settings.clone() };
        for r in self.requests.values_mut() {
            r.max_attempts = r.max_attempts.max(attempts);
        }
        self.engine.update_settings(self.now, self.settings.clone(), S, &mut self.commands);
        self.run_commands();
    }

    fn step(&mut self) {
        match self.rng.u8(..64) {
            0..=9 => self.request(),
            10..=11 => self.client_leaves(),
            12..=14 => self.client_half_closes(),
            15..=24 => self.attempt_leaves(),
            25..=37 => self.attempt_ends(),
            38..=43 => self.order_ends(),
            44 => self.list_changes(),
            45 => self.operator_acts(),
            46 => self.settings_change(),
            // The event loop is on time, at the next tick that the engine wants.
            47..=53 => {
                self.now = self.engine.next_tick().unwrap_or(self.now).max(self.now);
                self.tick();
            }
            // The event loop is late, so that other events come before the tick.
            54 => self.now += self.rng.i64(0..120) * MS,
            _ => {
                self.now += self.rng.i64(0..10) * MS;
                self.tick();
            }
        }
    }

    /// Runs until all requests have ended, and checks that each got its answer and no entry is left.
    fn settle(&mut self) {
        self.tick();
        let end = self.now + 4 * S;
        while let Some(at) = self.engine.next_tick().filter(|at| *at <= end) {
            self.now = self.now.max(at);
            self.tick();
            // The connection ends cancelled attempts.
            let open = self.requests.iter().filter_map(|(t, r)| Some((*t, r.in_progress()?)));
            let open: Vec<_> = open.map(|(ticket, number)| AttemptId { ticket, number }).collect();
            for id in open {
                if self.attempt(id).cancelled {
                    self.end(id, Outcome::Cancelled);
                }
            }
        }
        self.now = end;
        for r in self.requests.values() {
            assert_eq!(r.answers.len(), usize::from(!r.left), "wrong number of answers: {r:?}");
            assert!(r.in_progress().is_none(), "an attempt is in progress: {r:?}");
        }
        assert_eq!(self.engine.open(), 0, "leaked entries of the engine");
        assert!(self.engine.timers() <= 256, "{} timers", self.engine.timers());
        self.requests.clear();
    }
}

#[test]
fn each_request_gets_one_answer_in_any_order_of_events() {
    let (mut served, mut refused, mut withdrawn) = (0, 0, 0);
    let mut entries = [0.0; ROUNDS];
    for seed in 0..SEEDS {
        let mut sim = Simulation::new(seed);
        for sum in &mut entries {
            (0..STEPS).for_each(|_| sim.step());
            sim.settle();
            *sum += sim.engine.module().entries() as f64 / SEEDS as f64;
        }
        served += sim.served;
        refused += sim.refused;
        withdrawn += sim.withdrawn;
    }
    let more = entries[ROUNDS - 1] - entries[0];
    assert!(more <= MAX_MORE_ENTRIES, "leaked entries of the router: {entries:?}");
    // The traces reach all of these cases.
    assert!(served > 5_000 && refused > 5_000 && withdrawn > 500, "{served} {refused} {withdrawn}");
}
