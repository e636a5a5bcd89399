//! Decisions must not depend on the labels of a deployment: ids and numbers without meaning, and the order of lists.
//! Where hashes of host and function names decide, other names give the same distribution of actions; all other labels
//! give exactly the same actions.

mod common;

use std::collections::BTreeMap;

use common::*;
use wheellink::*;

/// Names, numbers and orders in a deployment.
#[derive(Clone)]
struct Labels {
    zones: [u32; 3],
    cells: [i64; 4],
    /// Index of each class in the settings.
    classes: [usize; 3],
    /// Index of each tenant in the settings.
    tenants: [usize; 3],
    /// Prefix of the ids of requests.
    request: &'static str,
    /// Prefix of the names of hosts.
    host: &'static str,
    /// Prefix of the names of functions.
    function: &'static str,
    /// Lists have the reverse order.
    reversed: bool,
}

const PLAIN: Labels = Labels {
    zones: [0, 1, 2],
    cells: [0, 1, 2, 3],
    classes: [0, 1, 2],
    tenants: [0, 1, 2],
    request: "r",
    host: "w",
    function: "f",
    reversed: false,
};

const HOSTS: usize = 7;

/// The random deployment of a seed, with these labels.
fn deployment(seed: u64, labels: &Labels) -> Settings {
    let mut rng = fastrand::Rng::with_seed(seed);
    let misses = rng.bool();
    let scope = [Scope::Zone, Scope::Cell, Scope::All][rng.usize(..3)];
    let effects = [Effect::Safe, Effect::Unsafe, Effect::Keyed { scope, window: rng.i64(1..5) * S }];
    let mut plain = effects.map(class);
    for c in &mut plain {
        (c.aim, c.worth) = (rng.i64(200..900) * MS, 1.0 + rng.f64());
    }
    let (mut classes, mut tenants) = (plain.to_vec(), vec![Tenant { quota: 0.0 }; 3]);
    for k in 0..3 {
        classes[labels.classes[k]] = plain[k];
        tenants[labels.tenants[k]] = Tenant { quota: 2.0 + 9.0 * rng.f64() };
    }
    let routers = [1, 4, 90][rng.usize(..3)];
    Settings {
        routers,
        classes,
        tenants,
        zone: Some(labels.zones[rng.usize(..3)]),
        when_cold: if misses { WhenCold::Misses } else { WhenCold::Loads },
        load_budget: misses.then_some(LoadBudget { free: 2.0, share: 0.2, period: 10 * S }),
        max_gossip_bytes: if rng.bool() { 256 } else { 0 },
        ..settings()
    }
}

/// Runs the deployment of a seed with these labels; returns the actions with plain request ids.
fn run(seed: u64, labels: &Labels) -> Vec<String> {
    let settings = deployment(seed, labels);
    let (misses, routers) = (settings.when_cold == WhenCold::Misses, settings.routers);
    let mut router = Router::new(settings, seed).unwrap();
    let mut rng = fastrand::Rng::with_seed(seed ^ 77);
    let host = |i: usize| WorkerId::from(format!("{}{i}", labels.host).as_str());
    let function = |i: usize| FunctionId::from(format!("{}{i}", labels.function).as_str());
    let (mut now, mut next, mut actions, mut wakes) = (50 * S, 0, Vec::new(), Vec::new());
    // Ends of attempts and orders at later times.
    let mut ends: BTreeMap<(Micros, usize), Event> = BTreeMap::new();
    let mut attempts: BTreeMap<RequestId, u32> = BTreeMap::new();
    for step in 0..900 {
        now += rng.i64(0..9 * MS);
        let event = if step == 0 || rng.u8(..60) == 0 {
            let mut entries = Vec::new();
            for i in 0..HOSTS {
                let condition =
                    [Condition::Up, Condition::Up, Condition::Up, Condition::Draining][rng.usize(..4)];
                let (zone, cell) = (Some(labels.zones[i % 3]), Some(labels.cells[rng.usize(..4)]));
                let ready_at = if rng.bool() { 0 } else { now - rng.i64(0..S) };
                entries.push(ListEntry { worker: host(i), zone, cell, condition, size: 1.0, ready_at });
            }
            if labels.reversed {
                entries.reverse();
            }
            Event::List { kind: ListKind::Full, entries }
        } else if let Some(k) = wakes.iter().position(|at| *at <= now) {
            wakes.swap_remove(k);
            Event::Woken
        } else if let Some(entry) = ends.first_entry().filter(|e| e.key().0 <= now) {
            entry.remove()
        } else if routers > 1 && rng.u8(..8) == 0 {
            // A datagram without entries: entries would contain hashes of host names.
            let mut data = vec![0x57, step as u8, 0];
            data[2] = data.iter().fold(0x9d, |sum: u8, b| (sum.rotate_left(3) ^ b).wrapping_add(7));
            Event::GossipReceived { from: 1 + rng.u32(..routers - 1), data }
        } else {
            next += 1;
            let due = now + rng.i64(200 * MS..2 * S);
            Event::Arrival {
                request: format!("{}{next:05}", labels.request).as_str().into(),
                class: labels.classes[rng.usize(..3)],
                tenant: (rng.u8(..4) > 0).then_some(labels.tenants[rng.usize(..3)]),
                function: function(rng.usize(..12)),
                due,
                lanes: 1 + rng.u32(..3),
                repeat: rng.u8(..5) == 0,
                hint: rng.i64(0..200) * MS,
            }
        };
        let mut out = Vec::new();
        router.handle(now, event, &mut out);
        for action in out {
            let plain = format!("{action:?}").replace(labels.request, PLAIN.request);
            match action {
                Action::Send { request, worker, .. } => {
                    let attempt = attempts.entry(request.clone()).or_default();
                    let outcomes =
                        [Outcome::Done, Outcome::Done, Outcome::Done, Outcome::Full, Outcome::Reset];
                    let mut outcome = outcomes[rng.usize(..5)];
                    if misses && rng.u8(..6) == 0 {
                        outcome = Outcome::Miss;
                    }
                    let duration = rng.i64(MS..400 * MS);
                    let finished = outcome == Outcome::Done;
                    let (attempt, found) = (std::mem::replace(attempt, *attempt + 1), None);
                    let (overlap, report) = (None, None);
                    let event = Event::Answer {
                        request,
                        attempt,
                        worker,
                        outcome,
                        finished,
                        duration,
                        found,
                        overlap,
                        report,
                    };
                    ends.insert((now + duration, step), event);
                }
                Action::Load { worker, function, copies } => {
                    let end = Event::LoadEnded { worker, function, outcome: Outcome::Done, copies };
                    ends.insert((now + rng.i64(MS..S), step + 10_000), end);
                }
                Action::Wake { at } => wakes.push(at),
                _ => {}
            }
            actions.push(plain);
        }
    }
    actions
}

/// Other numbers of zones and cells, request ids, and orders of classes, tenants and lists.
#[test]
fn other_labels_give_the_same_actions() {
    let others = [
        Labels { zones: [7, 0, 3], ..PLAIN },
        Labels { cells: [-9, 77, 1_000_000, 5], ..PLAIN },
        Labels { classes: [2, 0, 1], ..PLAIN },
        Labels { tenants: [1, 2, 0], ..PLAIN },
        Labels { request: "Zebra-", ..PLAIN },
        Labels { reversed: true, ..PLAIN },
    ];
    for seed in 0..12 {
        let plain = run(seed, &PLAIN);
        let sends = plain.iter().filter(|a| a.starts_with("Send")).count();
        assert!(sends > 30, "seed {seed}: {sends} sends");
        for (k, labels) in others.iter().enumerate() {
            let other = run(seed, labels);
            let differs = plain.iter().zip(&other).position(|(a, b)| a != b);
            let at = differs.unwrap_or(plain.len().min(other.len()));
            assert!(plain == other, "seed {seed}, labels {k}: {:?}, {:?}", plain.get(at), other.get(at));
        }
    }
}

/// Hosts are chosen by hashes of host and function names: other names give other hosts, as often and as evenly.
#[test]
fn other_host_and_function_names_give_the_same_distribution_of_actions() {
    let mut counts = Vec::new();
    for (host, function) in [("w", "f"), ("edge-", "form."), ("s-00c41f7", "7f3a9c21e0b4d65")] {
        let labels = Labels { host, function, ..PLAIN };
        let (mut kinds, mut sends) = (BTreeMap::<String, f64>::new(), [0.0; HOSTS]);
        for seed in 0..60 {
            for action in run(seed, &labels) {
                *kinds.entry(action.split([' ', '{']).next().unwrap().into()).or_default() += 1.0;
                for (i, n) in sends.iter_mut().enumerate().filter(|_| action.starts_with("Send")) {
                    *n += f64::from(u8::from(action.contains(&format!("\"{host}{i}\""))));
                }
            }
        }
        let all: f64 = sends.iter().sum();
        assert_eq!(all, kinds["Send"]);
        let max = sends.iter().fold(0.0_f64, |a, b| a.max(*b)) / all * HOSTS as f64;
        assert!(max < 1.4, "{host}: the maximum of a host is {max:.2} of the mean, {sends:?}");
        counts.push(kinds);
    }
    for kind in ["Send", "Refuse", "Load", "Fail"] {
        let [a, b, c] = [0, 1, 2].map(|k| counts[k].get(kind).copied().unwrap_or(0.0));
        let mean = (a + b + c) / 3.0;
        let difference = [a, b, c].iter().fold(0.0_f64, |max, n| max.max((n - mean).abs()));
        assert!(difference < 0.1 * mean + 5.0 * mean.sqrt(), "{kind}: {a}, {b}, {c}");
    }
}
