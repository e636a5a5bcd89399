//! Every number of the settings at its extremes: it is refused, or the module decides with it and nothing overflows.

mod common;

use common::{edited, good};
use serde_json::{json, Value};
use wheellink::{
    Action, Condition, Event, FunctionId, ListEntry, ListKind, Micros, Outcome, RequestId, Router, WorkerId,
};
use wheellink_settings::{Deployment, Options};

/// A clock as the platform's: microseconds since 1970.
const NOW: Micros = 1_800_000_000_000_000;
const MS: Micros = 1_000;

/// The places of all numbers in a value.
fn numbers(value: &Value, at: String, places: &mut Vec<String>) {
    match value {
        Value::Number(_) => places.push(at),
        Value::Object(entries) => entries.iter().for_each(|(k, v)| numbers(v, format!("{at}/{k}"), places)),
        Value::Array(entries) => {
            entries.iter().enumerate().for_each(|(i, v)| numbers(v, format!("{at}/{i}"), places))
        }
        _ => {}
    }
}

fn extremes() -> Vec<Value> {
    let whole = [0, 1, 2, -1, i64::MIN, i64::MAX, 1_000_000_000_000_000, i64::from(u32::MAX), 1_000_000];
    let real = [0.0, 1e-300, 0.5, 1.0, 1e12, 1e308, -1e-300];
    whole.into_iter().map(|n| json!(n)).chain(real.into_iter().map(|x| json!(x))).collect()
}

fn entry(name: &str, ready_at: Micros) -> ListEntry {
    let (worker, condition) = (name.into(), Condition::Up);
    ListEntry { worker, zone: 0, cell: 0, condition, size: 1.0, ready_at }
}

/// A router with what has been sent and ordered, each of which ends in its turn.
struct Bed {
    router: Router,
    now: Micros,
    sent: Vec<(RequestId, WorkerId)>,
    ordered: Vec<(WorkerId, FunctionId)>,
    attempts: std::collections::BTreeMap<RequestId, u32>,
}

impl Bed {
    fn tell(&mut self, event: Event) {
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

    fn answer(&mut self, outcome: Outcome) {
        for (request, worker) in std::mem::take(&mut self.sent) {
            let attempt = self.attempts.entry(request.clone()).or_insert(0);
            let number = *attempt;
            *attempt += 1;
            self.tell(Event::Answer {
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
            self.tell(Event::LoadEnded { worker, function, outcome, copies: 1 });
        }
    }
}

fn plays(deployment: &Deployment, router: Router) {
    let mut bed =
        Bed { router, now: NOW, sent: Vec::new(), ordered: Vec::new(), attempts: Default::default() };
    let entries = vec![entry("a", 0), entry("b", NOW - 5 * MS), entry("c", NOW - 9_000 * MS)];
    bed.tell(Event::List { kind: ListKind::Cached, entries });
    let ends =
        [Outcome::Done, Outcome::Miss, Outcome::Full, Outcome::Reset, Outcome::TimedOut, Outcome::Error];
    for n in 0..60u32 {
        bed.now += 20 * MS;
        bed.tell(Event::Arrival {
            request: format!("r{n}").as_str().into(),
            class: n as usize % deployment.classes.len(),
            tenant: (!deployment.tenants.is_empty()).then_some(0),
            function: format!("f{}", n % 4).as_str().into(),
            due: bed.now + 2_000 * MS,
            lanes: 1,
            repeat: n % 5 == 0,
            hint: 8 * MS,
        });
        bed.answer(ends[n as usize % ends.len()]);
        bed.tell(Event::Woken);
    }
    // Long after, everything is old.
    bed.now += 100_000_000 * MS;
    bed.tell(Event::Woken);
}

#[test]
fn a_number_at_its_extreme_is_refused_or_decided_with() {
    let mut places = Vec::new();
    numbers(&good(), String::new(), &mut places);
    assert!(places.len() > 30, "{places:?}");
    let (mut taken, mut refused) = (0, 0);
    for place in &places {
        for extreme in extremes() {
            let settings = edited(place, Some(extreme.clone()));
            let read = serde_json::from_value::<Options>(settings).ok();
            let deployment = read.and_then(|options| Deployment::try_from(options).ok());
            match deployment.map(|d| (d.router(7).unwrap_or_else(|e| panic!("{place} {extreme}: {e}")), d)) {
                None => refused += 1,
                Some((router, deployment)) => {
                    eprintln!("{place} {extreme}");
                    plays(&deployment, router);
                    taken += 1;
                }
            }
        }
    }
    assert!(taken > 100 && refused > 100, "{taken} taken, {refused} refused");
}
