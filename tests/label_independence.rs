//! Names, numbers and orders that mean nothing: a deployment under other labels gets the same decisions. What goes by a
//! hash of host and function is the same in distribution; all else is the same to the last action.

mod common;

use std::collections::BTreeMap;

use common::*;
use wheellink::*;

/// How a deployment is named and ordered.
#[derive(Clone)]
struct Labels {
    zones: [u32; 3],
    cells: [i64; 4],
    /// Where each class and tenant stands in the settings.
    classes: [usize; 3],
    tenants: [usize; 3],
    /// Before each request's id.
    request: &'static str,
    host: &'static str,
    function: &'static str,
    /// Lists come the other way round.
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

/// A deployment by its seed, under labels.
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
        zone: labels.zones[rng.usize(..3)],
        when_cold: if misses { WhenCold::Misses } else { WhenCold::Loads },
        load_budget: misses.then_some(LoadBudget { free: 2.0, share: 0.2, period: 10 * S }),
        max_gossip_bytes: if rng.bool() { 256 } else { 0 },
        ..settings()
    }
}

/// Plays a deployment's day under labels; what was done, under the plain ones.
fn play(seed: u64, labels: &Labels) -> Vec<String> {
    let settings = deployment(seed, labels);
    let (misses, routers) = (settings.when_cold == WhenCold::Misses, settings.routers);
    let mut router = Router::new(settings, seed).unwrap();
    let mut rng = fastrand::Rng::with_seed(seed ^ 77);
    let host = |i: usize| WorkerId::from(format!("{}{i}", labels.host).as_str());
    let function = |i: usize| FunctionId::from(format!("{}{i}", labels.function).as_str());
    let (mut now, mut next, mut done, mut wakes) = (50 * S, 0, Vec::new(), Vec::new());
    // What ends later: attempts and orders.
    let mut ends: BTreeMap<(Micros, usize), Event> = BTreeMap::new();
    let mut tries: BTreeMap<RequestId, u32> = BTreeMap::new();
    for step in 0..900 {
        now += rng.i64(0..9 * MS);
        let event = if step == 0 || rng.u8(..60) == 0 {
            let mut entries = Vec::new();
            for i in 0..HOSTS {
                let condition =
                    [Condition::Up, Condition::Up, Condition::Up, Condition::Draining][rng.usize(..4)];
                let (zone, cell) = (labels.zones[i % 3], labels.cells[rng.usize(..4)]);
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
            // No more than that its sender lives: keys of hosts are hashes of their names.
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
                    let attempt = tries.entry(request.clone()).or_default();
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
            done.push(plain);
        }
    }
    done
}

/// Fitted to nobody's names: zones, cells, requests, and the order of classes, tenants and lists.
#[test]
fn other_names_and_orders_give_the_same_decisions() {
    let others = [
        Labels { zones: [7, 0, 3], ..PLAIN },
        Labels { cells: [-9, 77, 1_000_000, 5], ..PLAIN },
        Labels { classes: [2, 0, 1], ..PLAIN },
        Labels { tenants: [1, 2, 0], ..PLAIN },
        Labels { request: "Zebra-", ..PLAIN },
        Labels { reversed: true, ..PLAIN },
    ];
    for seed in 0..12 {
        let plain = play(seed, &PLAIN);
        let sends = plain.iter().filter(|a| a.starts_with("Send")).count();
        assert!(sends > 30, "seed {seed}: {sends} sends");
        for (k, labels) in others.iter().enumerate() {
            let other = play(seed, labels);
            let differs = plain.iter().zip(&other).position(|(a, b)| a != b);
            let at = differs.unwrap_or(plain.len().min(other.len()));
            assert!(plain == other, "seed {seed}, labels {k}: {:?}, {:?}", plain.get(at), other.get(at));
        }
    }
}

/// Hosts and functions go by hashes of their names: under other names others are chosen, as often and as evenly.
#[test]
fn other_hosts_and_functions_give_the_same_decisions_on_average() {
    let mut counts = Vec::new();
    for (host, function) in [("w", "f"), ("edge-", "form."), ("s-00c41f7", "7f3a9c21e0b4d65")] {
        let labels = Labels { host, function, ..PLAIN };
        let (mut kinds, mut drawn) = (BTreeMap::<String, f64>::new(), [0.0; HOSTS]);
        for seed in 0..60 {
            for action in play(seed, &labels) {
                *kinds.entry(action.split([' ', '{']).next().unwrap().into()).or_default() += 1.0;
                for (i, n) in drawn.iter_mut().enumerate().filter(|_| action.starts_with("Send")) {
                    *n += f64::from(u8::from(action.contains(&format!("\"{host}{i}\""))));
                }
            }
        }
        let all: f64 = drawn.iter().sum();
        assert_eq!(all, kinds["Send"]);
        let most = drawn.iter().fold(0.0_f64, |a, b| a.max(*b)) / all * HOSTS as f64;
        assert!(most < 1.4, "{host}: the most of a host is {most:.2} of the mean, {drawn:?}");
        counts.push(kinds);
    }
    for kind in ["Send", "Refuse", "Load", "Fail"] {
        let [a, b, c] = [0, 1, 2].map(|k| counts[k].get(kind).copied().unwrap_or(0.0));
        let mean = (a + b + c) / 3.0;
        let apart = [a, b, c].iter().fold(0.0_f64, |most, n| most.max((n - mean).abs()));
        assert!(apart < 0.1 * mean + 5.0 * mean.sqrt(), "{kind}: {a}, {b}, {c}");
    }
}
