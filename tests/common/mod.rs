//! Test bed for one router: delivers events to it and returns its actions.
#![allow(dead_code)]

use wheellink::*;

pub mod fleet;

/// One second.
pub const S: Micros = 1_000_000;
/// One millisecond.
pub const MS: Micros = 1_000;
/// Index of the class whose requests may run any number of times.
pub const SAFE: usize = 0;
/// Index of the class whose requests must never run twice.
pub const UNSAFE: usize = 1;
/// Index of the class whose requests may be repeated within one zone for a second.
pub const KEYED: usize = 2;

/// A class with this effect.
pub fn class(effect: Effect) -> Class {
    Class { aim: 500 * MS, give_up: 2 * S, worth: 1.0, late_worth: 0.1, effect, attempts: None }
}

/// Settings of a single router without a load budget or gossip, with the classes above.
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
        zone: Some(0),
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

/// A list entry of a worker that started long ago.
pub fn entry(name: &str, condition: Condition) -> ListEntry {
    ListEntry { worker: name.into(), zone: Some(0), cell: Some(0), condition, size: 1.0, ready_at: 0 }
}

/// A router and its clock.
pub struct TestBed {
    pub router: Router,
    pub now: Micros,
    /// Number of requests so far; part of their ids.
    pub requests: u32,
}

impl TestBed {
    /// A router with workers w0, w1, ..., all up.
    pub fn new(settings: Settings, workers: usize) -> Self {
        let mut bed = Self { router: Router::new(settings, 7).unwrap(), now: 100 * S, requests: 0 };
        let entries = (0..workers).map(|i| entry(&format!("w{i}"), Condition::Up)).collect();
        bed.event(Event::List { kind: ListKind::Cached, entries });
        bed
    }

    /// Delivers an event and returns the actions.
    pub fn event(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.router.handle(self.now, event, &mut out);
        out
    }

    /// Advances the clock, with a wake every 20 ms, and returns the actions.
    pub fn advance(&mut self, time: Micros) -> Vec<Action> {
        let end = self.now + time;
        let mut out = Vec::new();
        while self.now < end {
            self.now = (self.now + 20 * MS).min(end);
            out.extend(self.event(Event::Woken));
        }
        out
    }

    /// A request that is due in two seconds arrives.
    pub fn call(&mut self, class: usize, function: &str) -> (RequestId, Vec<Action>) {
        self.requests += 1;
        let request: RequestId = format!("r{}", self.requests).as_str().into();
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

    /// An attempt ends after 50 ms.
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

    /// The first attempt is answered by a loaded copy.
    pub fn answer_warm(&mut self, request: &RequestId, worker: &WorkerId, duration: Micros) -> Vec<Action> {
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

    /// Calls a function, has the call served after 50 ms, and returns its worker.
    pub fn serve(&mut self, class: usize, function: &str) -> WorkerId {
        let (request, out) = self.call(class, function);
        let worker = sent(&out).expect("an attempt");
        self.now += 50 * MS;
        self.answer(&request, 0, &worker, Outcome::Done);
        worker
    }
}

/// Worker of the first attempt that these actions send.
pub fn sent(out: &[Action]) -> Option<WorkerId> {
    out.iter().find_map(|a| match a {
        Action::Send { worker, .. } => Some(worker.clone()),
        _ => None,
    })
}

/// Load orders among these actions.
pub fn loads(out: &[Action]) -> Vec<(WorkerId, FunctionId, u32)> {
    let load = |a: &Action| match a {
        Action::Load { worker, function, copies } => Some((worker.clone(), function.clone(), *copies)),
        _ => None,
    };
    out.iter().filter_map(load).collect()
}

/// Number of refusals among these actions.
pub fn refused(out: &[Action]) -> usize {
    out.iter().filter(|a| matches!(a, Action::Refuse { .. })).count()
}

/// Number of failures among these actions.
pub fn failed(out: &[Action]) -> usize {
    out.iter().filter(|a| matches!(a, Action::Fail { .. })).count()
}
