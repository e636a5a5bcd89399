//! Endings that cross: whatever order clients' departures, ends of attempts and orders, deadlines, lists and settings
//! come in, each request has its one answer and nothing begins that nobody waits for. Many short traces from seeds,
//! on the engine with its router, against a model of the hosts' connections.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use common::*;
use wheellink::engine::{AttemptId, Command, NewRequest, OrderId, Verdict, HALF_CLOSE_GRACE_US};
use wheellink::*;

const HOSTS: usize = 4;
const FUNCTIONS: usize = 3;
const SEEDS: u64 = 400;
/// Traces that one engine goes through, each until all has ended: what leaks would pile up.
const ROUNDS: usize = 12;
const STEPS: usize = 100;
/// A router remembers so many entries more after the last round than after the first at most, as a mean over all
/// seeds: one request that is never forgotten is two entries or more, and each round takes a dozen.
const MORE_REMEMBERED: f64 = 6.0;
/// Ends of attempts that hosts and connections bring about: mostly good, or all hosts would rest.
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

/// How an attempt may end that waits for a connection.
const NEVER_LEFT: [Outcome; 4] =
    [Outcome::ConnectFailed, Outcome::NotSent, Outcome::NoConnection, Outcome::Full];

/// Where an attempt is on its way to its host.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Stage {
    /// It waits for its connection: it can be taken back as never sent.
    Queued,
    /// It has begun to leave.
    Begun,
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
    fn is_out(&self) -> bool {
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
    /// The most attempts that any settings in force since it came allowed.
    most: u32,
    attempts: Vec<Attempt>,
    answers: Vec<Verdict>,
}

impl Request {
    fn is_owed(&self) -> bool {
        !self.left && self.answers.is_empty()
    }

    fn may_begin(&self, now: Micros) -> bool {
        self.is_owed() && self.half_closed.is_none_or(|since| now <= since + HALF_CLOSE_GRACE_US)
    }

    fn out(&self) -> Option<u32> {
        self.attempts.iter().position(Attempt::is_out).map(|at| at as u32)
    }
}

struct World {
    rng: fastrand::Rng,
    engine: Engine,
    now: Micros,
    settings: Settings,
    requests: BTreeMap<Ticket, Request>,
    orders: BTreeSet<OrderId>,
    /// What the list last said of each host, and which are out by hand.
    listed: BTreeMap<WorkerId, Condition>,
    barred: BTreeSet<WorkerId>,
    /// What the engine has commanded and the world has not looked at.
    commands: Vec<Command>,
    served: usize,
    refused: usize,
    withdrawn: usize,
}

fn zone(host: &WorkerId) -> u32 {
    u32::from(host.0.ends_with(['1', '3']))
}

fn listed(host: &WorkerId, condition: Condition) -> ListEntry {
    ListEntry { zone: zone(host), ..entry(&host.0, condition) }
}

impl World {
    fn new(seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let when_cold = if rng.bool() { WhenCold::Misses } else { WhenCold::Loads };
        let settings = Settings { when_cold, ..settings() };
        let engine = Engine::new(Router::new(settings.clone(), seed).unwrap(), S);
        let mut world = Self {
            rng,
            engine,
            now: 100 * S,
            settings,
            requests: BTreeMap::new(),
            orders: BTreeSet::new(),
            listed: BTreeMap::new(),
            barred: BTreeSet::new(),
            commands: Vec::new(),
            served: 0,
            refused: 0,
            withdrawn: 0,
        };
        world.list(ListKind::Cached, |_| Condition::Up);
        world
    }

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
        self.obey();
    }

    fn takes(&self, host: &WorkerId) -> bool {
        self.listed.get(host) == Some(&Condition::Up) && !self.barred.contains(host)
    }

    /// Carries out what was commanded, and holds it to the rules.
    fn obey(&mut self) {
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
        let (now, takes) = (self.now, self.takes(&host));
        let r = self.requests.get_mut(&id.ticket).expect("a request that was taken");
        assert!(r.may_begin(now), "begun for nobody: {r:?} at {now}");
        assert!(r.out().is_none(), "two attempts out: {r:?}");
        assert_eq!(id.number as usize, r.attempts.len(), "numbered as they are sent: {r:?}");
        assert!((r.attempts.len() as u32) < r.most, "more attempts than the class allows: {r:?}");
        assert!(now < r.due && until <= r.due, "begun when its time was up: {r:?} at {now}");
        assert!(takes, "sent to {host:?}, which takes nothing new");
        let ran: Vec<&Attempt> = r.attempts.iter().filter(|a| a.may_have_run()).collect();
        match self.settings.classes[r.class].effect {
            Effect::Safe => {}
            Effect::Unsafe => assert!(ran.is_empty(), "unsafe twice: {r:?}"),
            Effect::Keyed { window, .. } => {
                let near = |a: &&Attempt| zone(&a.host) == zone(&host) && now - a.sent < window;
                assert!(ran.iter().all(near), "a keyed repeat where it is not dropped: {r:?}");
            }
        }
        r.attempts.push(Attempt { host, sent: now, stage: Stage::Queued, cancelled: false });
    }

    fn attempt(&mut self, id: AttemptId) -> &mut Attempt {
        let r = self.requests.get_mut(&id.ticket).expect("a request that was taken");
        r.attempts.get_mut(id.number as usize).expect("an attempt that was sent")
    }

    fn cancel(&mut self, id: AttemptId) {
        let a = self.attempt(id);
        assert!(!std::mem::replace(&mut a.cancelled, true), "given up twice");
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
        if a.is_out() {
            a.stage = Stage::Ended(outcome);
        }
        self.engine.attempt_ended(self.now, id, outcome.into(), &mut self.commands);
        self.obey();
    }

    fn answer(&mut self, ticket: Ticket, verdict: Verdict) {
        let r = self.requests.get_mut(&ticket).expect("a request that was taken");
        assert!(r.is_owed(), "an answer that is not owed: {verdict:?} for {r:?}");
        r.answers.push(verdict);
        match verdict {
            Verdict::Served(by) => {
                assert_eq!(r.attempts[by.number as usize].stage, Stage::Ended(Outcome::Done));
                self.served += 1;
            }
            Verdict::Refused { .. } => {
                let ran = r.attempts.iter().any(Attempt::may_have_run);
                let harmless = self.settings.classes[r.class].effect == Effect::Safe || !ran;
                assert!(harmless, "a refusal that is not true: {r:?}");
                self.refused += 1;
            }
            Verdict::Failed | Verdict::TimedOut => {}
        }
    }

    /// Has the loop look at its timers, and holds what it owes by then to be done.
    fn tick(&mut self) {
        while self.engine.next_tick().is_some_and(|at| at <= self.now) {
            self.engine.tick(self.now, &mut self.commands);
            self.obey();
        }
        for r in self.requests.values() {
            assert!(!r.is_owed() || r.due > self.now, "not answered in time: {r:?}");
            let waits = r.is_owed() && r.out().is_none();
            assert!(!waits || r.may_begin(self.now), "it waits, and may not begin: {r:?}");
        }
    }

    fn any(&mut self, which: impl Fn(&Request) -> bool) -> Option<Ticket> {
        let fit: Vec<Ticket> = self.requests.iter().filter(|(_, r)| which(r)).map(|(t, _)| *t).collect();
        self.rng.choice(fit)
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
        // Its commands name its ticket, which is told only after them.
        let mut commands = Vec::new();
        let ticket = self.engine.request(self.now, new, &mut commands);
        let most = self.settings.max_attempts;
        let (attempts, answers) = (Vec::new(), Vec::new());
        let request = Request { class, due, left: false, half_closed, most, attempts, answers };
        self.requests.insert(ticket, request);
        self.commands.extend(commands);
        self.obey();
    }

    fn client_leaves(&mut self) {
        let Some(ticket) = self.any(|r| !r.left) else { return };
        let r = self.requests.get_mut(&ticket).expect("chosen");
        r.left |= r.answers.is_empty();
        self.engine.client_left(self.now, ticket, &mut self.commands);
        self.obey();
    }

    fn client_half_closes(&mut self) {
        let Some(ticket) = self.any(|r| !r.left && r.half_closed.is_none()) else { return };
        let since = self.now - self.rng.i64(0..5) * MS;
        self.requests.get_mut(&ticket).expect("chosen").half_closed = Some(since);
        self.engine.client_half_closed(self.now, ticket, since, &mut self.commands);
        self.obey();
    }

    /// The connection of an attempt comes up, and its first byte leaves.
    fn leaves_for_its_host(&mut self) {
        let queued = |r: &Request| r.attempts.iter().any(|a| a.stage == Stage::Queued);
        let Some(ticket) = self.any(queued) else { return };
        // The loop looks at its timers before it waits for sockets.
        self.tick();
        let now = self.now;
        let r = self.requests.get_mut(&ticket).expect("chosen");
        let may_begin = r.may_begin(now);
        let Some(a) = r.attempts.iter_mut().find(|a| a.stage == Stage::Queued) else { return };
        a.stage = Stage::Begun;
        assert!(may_begin, "left for its host for nobody: {r:?} at {now}");
    }

    fn attempt_ends(&mut self) {
        let Some(ticket) = self.any(|r| r.out().is_some()) else { return };
        let number = self.requests[&ticket].out().expect("chosen");
        let id = AttemptId { ticket, number };
        let a = self.attempt(id);
        let (queued, cancelled) = (a.stage == Stage::Queued, a.cancelled);
        let outcome = match (queued, cancelled) {
            (true, _) if self.rng.bool() => return self.leaves_for_its_host(),
            (true, _) => NEVER_LEFT[self.rng.usize(..NEVER_LEFT.len())],
            // What the host said before it was told may cross with that.
            (false, true) if self.rng.bool() => Outcome::Cancelled,
            (false, _) => OUTCOMES[self.rng.usize(..OUTCOMES.len())],
        };
        self.end(id, outcome);
        if self.rng.u8(..4) == 0 {
            // Later word of it says nothing.
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
        self.obey();
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
        let out = !self.barred.remove(&host);
        if out {
            self.barred.insert(host.clone());
        }
        self.engine.set_out_of_service(self.now, host, out, &mut self.commands);
        self.obey();
    }

    fn settings_change(&mut self) {
        let (attempts, cancel) = (self.rng.u32(1..5), self.rng.bool());
        self.settings = Settings { max_attempts: attempts, cancel, ..self.settings.clone() };
        for r in self.requests.values_mut() {
            r.most = r.most.max(attempts);
        }
        self.engine.update_settings(self.now, self.settings.clone(), S, &mut self.commands);
        self.obey();
    }

    fn step(&mut self) {
        match self.rng.u8(..64) {
            0..=9 => self.request(),
            10..=11 => self.client_leaves(),
            12..=14 => self.client_half_closes(),
            15..=24 => self.leaves_for_its_host(),
            25..=37 => self.attempt_ends(),
            38..=43 => self.order_ends(),
            44 => self.list_changes(),
            45 => self.operator_acts(),
            46 => self.settings_change(),
            // As the loop does, from one wanted tick to the next.
            47..=53 => {
                self.now = self.engine.next_tick().unwrap_or(self.now).max(self.now);
                self.tick();
            }
            // It is late, and hears of other things first.
            54 => self.now += self.rng.i64(0..120) * MS,
            _ => {
                self.now += self.rng.i64(0..10) * MS;
                self.tick();
            }
        }
    }

    /// Lets all that is open come to its end, and looks at what is left.
    fn settle(&mut self) {
        self.tick();
        let end = self.now + 4 * S;
        while let Some(at) = self.engine.next_tick().filter(|at| *at <= end) {
            self.now = self.now.max(at);
            self.tick();
            // Whatever was given up is ended by its connection.
            let given_up = self.requests.iter().filter_map(|(t, r)| Some((*t, r.out()?)));
            let given_up: Vec<_> = given_up.map(|(ticket, number)| AttemptId { ticket, number }).collect();
            for id in given_up {
                if self.attempt(id).cancelled {
                    self.end(id, Outcome::Cancelled);
                }
            }
        }
        self.now = end;
        for r in self.requests.values() {
            assert_eq!(r.answers.len(), usize::from(!r.left), "one answer, or none for who left: {r:?}");
            assert!(r.out().is_none(), "nothing is out: {r:?}");
        }
        assert_eq!(self.engine.open(), 0, "entries of the engine that were left behind");
        assert!(self.engine.timers() <= 256, "{} timers", self.engine.timers());
        self.requests.clear();
    }
}

#[test]
fn endings_may_come_in_any_order() {
    let (mut served, mut refused, mut withdrawn) = (0, 0, 0);
    let mut remembered = [0.0; ROUNDS];
    for seed in 0..SEEDS {
        let mut world = World::new(seed);
        for sum in &mut remembered {
            (0..STEPS).for_each(|_| world.step());
            world.settle();
            *sum += world.engine.module().entries() as f64 / SEEDS as f64;
        }
        served += world.served;
        refused += world.refused;
        withdrawn += world.withdrawn;
    }
    let more = remembered[ROUNDS - 1] - remembered[0];
    assert!(more <= MORE_REMEMBERED, "entries of the router that were left behind: {remembered:?}");
    // The traces reach what they are about.
    assert!(served > 5_000 && refused > 5_000 && withdrawn > 500, "{served} {refused} {withdrawn}");
}
