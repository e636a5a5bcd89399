//! A small embedder for tests: feeds events, keeps what came out.
#![allow(dead_code)]

use wheellink::*;

pub mod fleet;

pub const S: Micros = 1_000_000;
pub const MS: Micros = 1_000;
pub const SAFE: usize = 0;
pub const UNSAFE: usize = 1;
pub const KEYED: usize = 2;

pub fn class(effect: Effect) -> Class {
    Class { aim: 500 * MS, give_up: 2 * S, worth: 1.0, late_worth: 0.1, effect, attempts: None }
}

pub fn settings() -> Settings {
    Settings {
        routers: 1,
        classes: vec![
            class(Effect::Safe),
            class(Effect::Unsafe),
            class(Effect::Keyed { scope: Scope::Zone, window: S }),
        ],
        tenants: vec![],
        over_share_worth: 0.1,
        zone: 0,
        discovery: Discovery::Pushed,
        when_cold: WhenCold::Loads,
        keep: 8 * S,
        orders: true,
        load_budget: None,
        cancel: true,
        max_attempts: 4,
        max_retry_after: S,
        cold_from: 0.2,
        cold_for: 10 * S,
        fall_multiple: 2.0,
        fall_window: 2 * S,
        router_index: 0,
        max_gossip_bytes: 0,
    }
}

pub fn entry(name: &str, condition: Condition) -> ListEntry {
    ListEntry { worker: name.into(), zone: 0, cell: 0, condition, size: 1.0, ready_at: 0 }
}

pub struct Bed {
    pub router: Router,
    pub now: Micros,
    pub next: u32,
}

impl Bed {
    /// A router with workers w0, w1, ... all up.
    pub fn new(settings: Settings, workers: usize) -> Self {
        let mut bed = Self { router: Router::new(settings, 7).unwrap(), now: 100 * S, next: 0 };
        let entries = (0..workers).map(|i| entry(&format!("w{i}"), Condition::Up)).collect();
        bed.event(Event::List { kind: ListKind::Cached, entries });
        bed
    }

    pub fn event(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.router.handle(self.now, event, &mut out);
        out
    }

    /// Lets time pass with a wake every 20 ms.
    pub fn pass(&mut self, time: Micros) -> Vec<Action> {
        let end = self.now + time;
        let mut out = Vec::new();
        while self.now < end {
            self.now = (self.now + 20 * MS).min(end);
            out.extend(self.event(Event::Woken));
        }
        out
    }

    pub fn call(&mut self, class: usize, function: &str) -> (RequestId, Vec<Action>) {
        self.next += 1;
        let request: RequestId = format!("r{}", self.next).as_str().into();
        let out = self.event(Event::Arrival {
            request: request.clone(),
            class,
            tenant: None,
            function: function.into(),
            due: self.now + 2 * S,
            lanes: 2,
            repeat: false,
            hint: 0,
        });
        (request, out)
    }

    pub fn answer(
        &mut self,
        request: &RequestId,
        attempt: u32,
        worker: &WorkerId,
        outcome: Outcome,
    ) -> Vec<Action> {
        self.event(Event::Answer {
            request: request.clone(),
            attempt,
            worker: worker.clone(),
            outcome,
            finished: outcome == Outcome::Done,
            duration: 50 * MS,
            found: None,
            overlap: None,
            report: None,
        })
    }

    /// The answer of a first attempt that found a copy, after so long.
    pub fn found(&mut self, request: &RequestId, worker: &WorkerId, duration: Micros) -> Vec<Action> {
        self.event(Event::Answer {
            request: request.clone(),
            attempt: 0,
            worker: worker.clone(),
            outcome: Outcome::Done,
            finished: true,
            duration,
            found: Some(Found::Warm),
            overlap: None,
            report: None,
        })
    }

    /// Calls a function and serves it; where it went.
    pub fn serve(&mut self, class: usize, function: &str) -> WorkerId {
        let (request, out) = self.call(class, function);
        let worker = sent(&out).expect("an attempt");
        self.now += 50 * MS;
        self.answer(&request, 0, &worker, Outcome::Done);
        worker
    }
}

pub fn sent(out: &[Action]) -> Option<WorkerId> {
    out.iter().find_map(|a| match a {
        Action::Send { worker, .. } => Some(worker.clone()),
        _ => None,
    })
}

pub fn loads(out: &[Action]) -> Vec<(WorkerId, FunctionId, u32)> {
    let load = |a: &Action| match a {
        Action::Load { worker, function, copies } => Some((worker.clone(), function.clone(), *copies)),
        _ => None,
    };
    out.iter().filter_map(load).collect()
}

pub fn refused(out: &[Action]) -> usize {
    out.iter().filter(|a| matches!(a, Action::Refuse { .. })).count()
}

pub fn failed(out: &[Action]) -> usize {
    out.iter().filter(|a| matches!(a, Action::Fail { .. })).count()
}
