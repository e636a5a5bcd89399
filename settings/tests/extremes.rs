//! Sets each number of the settings to extreme values: each is rejected, or the decision module runs with it and nothing
//! overflows.

mod common;

use common::{edited, valid};
use serde_json::{json, Value};
use wheellink::{
    Action, Condition, Event, FunctionId, ListEntry, ListKind, Micros, Outcome, RequestId, Router, WorkerId,
};
use wheellink_settings::{Deployment, Options};

/// Start of the test clock; like the platform's clock, it counts microseconds since 1970.
const START_US: Micros = 1_800_000_000_000_000;
/// One millisecond.
const MS: Micros = 1_000;

/// Collects the JSON pointers of all numbers in a value.
fn numbers(value: &Value, at: String, paths: &mut Vec<String>) {
    match value {
        Value::Number(_) => paths.push(at),
        Value::Object(entries) => entries.iter().for_each(|(k, v)| numbers(v, format!("{at}/{k}"), paths)),
        Value::Array(entries) => {
            entries.iter().enumerate().for_each(|(i, v)| numbers(v, format!("{at}/{i}"), paths))
        }
        _ => {}
    }
}

fn extremes() -> Vec<Value> {
    let integers = [0, 1, 2, -1, i64::MIN, i64::MAX, 1_000_000_000_000_000, i64::from(u32::MAX), 1_000_000];
    let reals = [0.0, 1e-300, 0.5, 1.0, 1e12, 1e308, -1e-300];
    integers.into_iter().map(|n| json!(n)).chain(reals.into_iter().map(|x| json!(x))).collect()
}

fn entry(name: &str, ready_at: Micros) -> ListEntry {
    let (worker, condition) = (name.into(), Condition::Up);
    ListEntry { worker, zone: Some(0), cell: Some(0), condition, size: 1.0, ready_at }
}

/// A router with its attempts and load orders that have not been answered yet.
struct Rig {
    router: Router,
    now: Micros,
    sent: Vec<(RequestId, WorkerId)>,
    ordered: Vec<(WorkerId, FunctionId)>,
    attempts: std::collections::BTreeMap<RequestId, u32>,
}

impl Rig {
    fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.router.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Send { request, worker, .. } => self.sent.push((request, worker)),
                Action::Load { worker, function, .. } => self.ordered.push((worker, function)),
                _ => {}
            }
        }
    }

    /// Ends all unanswered attempts and load orders with this outcome.
    fn answer(&mut self, outcome: Outcome) {
        for (request, worker) in std::mem::take(&mut self.sent) {
            let attempt = self.attempts.entry(request.clone()).or_insert(0);
            let number = *attempt;
            *attempt += 1;
            self.handle(Event::Answer {
                request,
                attempt: number,
                worker,
                outcome,
                finished: outcome == Outcome::Done,
                duration: 3 * MS,
                found: None,
                overlap: Some(2),
                report: None,
            });
        }
        for (worker, function) in std::mem::take(&mut self.ordered) {
            self.handle(Event::LoadEnded { worker, function, outcome, copies: 1 });
        }
    }
}

/// Sends the router list, arrival, answer and wake-up events; panics if the router does.
fn run_requests(deployment: &Deployment, router: Router) {
    let mut rig =
        Rig { router, now: START_US, sent: Vec::new(), ordered: Vec::new(), attempts: Default::default() };
    let entries = vec![entry("a", 0), entry("b", START_US - 5 * MS), entry("c", START_US - 9_000 * MS)];
    rig.handle(Event::List { kind: ListKind::Cached, entries });
    let outcomes =
        [Outcome::Done, Outcome::Miss, Outcome::Full, Outcome::Reset, Outcome::TimedOut, Outcome::Error];
    for n in 0..60u32 {
        rig.now += 20 * MS;
        rig.handle(Event::Arrival {
            request: format!("r{n}").as_str().into(),
            class: n as usize % deployment.classes.len(),
            tenant: (!deployment.tenants.is_empty()).then_some(0),
            function: format!("f{}", n % 4).as_str().into(),
            due: rig.now + 2_000 * MS,
            lanes: 1,
            repeat: n % 5 == 0,
            hint: 8 * MS,
        });
        rig.answer(outcomes[n as usize % outcomes.len()]);
        rig.handle(Event::Woken);
    }
    // A wake-up long after the last event, when all state is old.
    rig.now += 100_000_000 * MS;
    rig.handle(Event::Woken);
}

#[test]
fn extreme_number_is_rejected_or_usable() {
    let mut paths = Vec::new();
    numbers(&valid(), String::new(), &mut paths);
    assert!(paths.len() > 30, "{paths:?}");
    let (mut accepted, mut rejected) = (0, 0);
    for path in &paths {
        for extreme in extremes() {
            let settings = edited(path, Some(extreme.clone()));
            let options = serde_json::from_value::<Options>(settings).ok();
            let deployment = options.and_then(|options| Deployment::try_from(options).ok());
            match deployment.map(|d| (d.router(7).unwrap_or_else(|e| panic!("{path} {extreme}: {e}")), d)) {
                None => rejected += 1,
                Some((router, deployment)) => {
                    eprintln!("{path} {extreme}");
                    run_requests(&deployment, router);
                    accepted += 1;
                }
            }
        }
    }
    assert!(accepted > 100 && rejected > 100, "{accepted} accepted, {rejected} rejected");
}
