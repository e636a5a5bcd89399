//! Measurements, each an ignored test: `make measure WHAT=name` runs one, which prints lines `measure NAME VALUE UNIT`.
//! They take long, and their results depend on the machine. Assertions cover only the test setup and counts that must be 0.

mod common;
#[path = "../../crates/members/tests/net/mod.rs"]
mod net;

use std::time::Instant;

use common::rollout::*;
use common::*;
use wheellink_rollout::{CallOutcome, GateSettings, Gates, Share, Split, Verdict, Version};

fn emit(name: &str, value: impl std::fmt::Display, unit: &str) {
    println!("measure {name} {value} {unit}");
}

fn quantile(times: &mut [f64], q: f64) -> f64 {
    times.sort_by(f64::total_cmp);
    times.get(((times.len() as f64 - 1.0) * q) as usize).copied().unwrap_or(f64::NAN)
}

/// Makes calls of mixed classes, `at_once` of them open at a time. Returns the number, time in microseconds and answer code
/// of each.
fn load(client: &mut Client, calls: u32, at_once: usize) -> Vec<(u32, f64, u8)> {
    let (mut open, mut done) = (std::collections::BTreeMap::new(), Vec::new());
    let mut left = calls;
    while left > 0 || !open.is_empty() {
        while left > 0 && open.len() < at_once {
            open.insert(client.next, Instant::now());
            client.send(CLASSES[(left % 3) as usize]);
            left -= 1;
        }
        client.read();
        for n in open.keys().copied().filter(|n| client.answers.contains_key(n)).collect::<Vec<_>>() {
            let begun = open.remove(&n).unwrap();
            done.push((n, begun.elapsed().as_secs_f64() * 1e6, client.answers[&n][0]));
        }
    }
    done
}

fn lost(client: &Client) -> usize {
    (0..client.next).filter(|n| client.answers.get(n).is_none_or(|a| a.len() != 1)).count()
}

fn run_twice(hosts: &[&Host], done: &[(u32, f64, u8)]) -> usize {
    done.iter().filter(|(n, ..)| runs(hosts, *n) > 1).count()
}

#[test]
#[ignore = "a measurement"]
fn rollout() {
    shares();
    costs();
    back();
    losses();
    gates();
}

/// Enough hosts that no call waits for a lane, so that the activator is what is measured.
fn fleet() -> Vec<Host> {
    (0..8).map(|_| Host::warm()).collect()
}

/// The share of calls that the new version gets, compared with the configured share, over 20,000 calls each.
fn shares() {
    let hosts = fleet();
    let hosts: Vec<&Host> = hosts.iter().collect();
    let p = pair(&hosts);
    assert_eq!(p.post("", &plan(&[1.0, 10.0, 50.0])), 200);
    let mut client = Client::new(&p.old.program, 0);
    let (mut passed, mut all) = (0, Vec::new());
    for (step, percent) in [1, 10, 50].into_iter().enumerate() {
        assert_eq!(p.post("step", &format!("{{\"to\":{}}}", step + 1)), 200);
        all.extend(load(&mut client, 20_000, 8));
        let now = p.count("passed");
        emit(&format!("rollout.share_seen_at_{percent}"), (now - passed) as f64 / 200.0, "percent");
        passed = now;
    }
    emit("rollout.share_calls", 20_000, "calls");
    emit("rollout.share_calls_without_one_answer", lost(&client), "calls");
    emit("rollout.share_calls_run_twice", run_twice(&hosts, &all), "calls");
    let served = all.iter().filter(|(.., code)| *code == 79).count();
    emit("rollout.share_calls_served", served, "calls of 60000");
}

/// The cost of a passed call compared with one that the holder decides itself, in one run: times at a share of 50 percent,
/// then processor time with all calls of one kind.
fn costs() {
    let hosts = fleet();
    let p = pair(&hosts.iter().collect::<Vec<_>>());
    assert_eq!(p.post("", &plan(&[50.0, 100.0])), 200);
    let mut split = Split::new("v2");
    split.set_share(Share::from_percent(50.0));
    let mut client = Client::new(&p.old.program, 0);
    load(&mut client, 500, 1);
    let first = client.next;
    let mut times = [Vec::new(), Vec::new()];
    // One at a time: with several open, waits for lanes would hide what passing adds.
    for (n, time, _) in load(&mut client, 6_000, 1) {
        // `load` chooses the class by the number of calls left, which is 6,000 at the first.
        let keyed = (6_000 - (n - first)) % 3 == 1;
        let name = if keyed { key(n) } else { id(n) };
        let version = split.decide(0, None, &name);
        times[usize::from(version == Version::New)].push(time);
    }
    for (who, times) in ["own", "passed"].into_iter().zip(&mut times) {
        emit(&format!("rollout.{who}_p50"), quantile(times, 0.5).round(), "us");
        emit(&format!("rollout.{who}_p99"), quantile(times, 0.99).round(), "us");
    }
    let mut used = |percent: u32| {
        let before = (p.old.program.used(), p.new.used());
        load(&mut client, 10_000, 8);
        let per_call = |ticks: u64| ticks as f64 * 10_000.0 / 10_000.0;
        let (old, new) = (p.old.program.used() - before.0, p.new.used() - before.1);
        emit(&format!("rollout.cpu_a_call_at_{percent}_old"), per_call(old), "us");
        emit(&format!("rollout.cpu_a_call_at_{percent}_new"), per_call(new), "us");
    };
    assert_eq!(p.post("step", "{\"to\":2}"), 200);
    used(100);
    assert_eq!(p.post("back", ""), 200);
    used(0);
}

#[test]
#[ignore = "a measurement"]
fn rollout_costs() {
    costs();
}

/// Time from the command `back` to the last call that the new version begins. Only the new version knows one of the hosts.
fn back() {
    let mut times = Vec::new();
    for round in 0..20 {
        let (a, b) = (Host::warm(), Host::warm());
        let p = pair(&[&a]);
        let mut feed = p.feed.try_clone().unwrap();
        std::io::Write::write_all(&mut feed, &event(2, false, &[(0, a.address, 2), (7, b.address, 0)]))
            .unwrap();
        assert_eq!(p.post("", &plan(&[100.0])), 200);
        let mut client = Client::new(&p.old.program, 0);
        client.call("check-score");
        let address = p.old.program.address;
        let flood = std::thread::spawn(move || {
            let stream = std::net::TcpStream::connect(address).unwrap();
            stream.set_read_timeout(Some(LONG)).unwrap();
            let mut client = Client { stream, next: 0, answers: Default::default() };
            load(&mut client, 2_000, 8);
        });
        wait_for("the flood", || b.calls() > 200);
        let asked = Instant::now();
        assert_eq!(p.post("back", ""), 200);
        let answered = Instant::now();
        flood.join().unwrap();
        let last = b.seen.lock().unwrap().last.unwrap();
        times.push(last.saturating_duration_since(asked).as_secs_f64() * 1e3);
        if round == 0 {
            emit("rollout.back_answered_after", (answered - asked).as_secs_f64() * 1e3, "ms");
        }
    }
    emit("rollout.back_to_last_call_begun_p50", quantile(&mut times, 0.5), "ms");
    emit("rollout.back_to_last_call_begun_max", quantile(&mut times, 1.0), "ms");
}

/// Candidates are killed or paused under load, one per round.
fn losses() {
    let (mut calls, mut lost_calls, mut mails_twice, mut served, mut rerun, mut failed) = (0, 0, 0, 0, 0, 0);
    let mut longest: f64 = 0.0;
    for round in 0..20u64 {
        let host =
            || Host::start(Ways { does: Does::Answer("200"), work: ms(5 + round % 7 * 10), load: None });
        let (a, b) = (host(), host());
        let mut p = pair(&[&a, &b]);
        assert_eq!(p.post("", &plan(&[50.0])), 200);
        let address = p.old.program.address;
        let flood = std::thread::spawn(move || {
            let stream = std::net::TcpStream::connect(address).unwrap();
            stream.set_read_timeout(Some(LONG)).unwrap();
            let mut client = Client { stream, next: 0, answers: Default::default() };
            let done = load(&mut client, 1_000, 24);
            (client, done)
        });
        wait_for("the load", || p.count("passed") > 50 + round * 10);
        if round % 2 == 0 {
            p.new.kill();
        } else {
            p.new.stop(true);
        }
        let (client, done) = flood.join().unwrap();
        calls += done.len();
        lost_calls += lost(&client);
        // `load` chooses the class by the number of calls left of 1,000; for mails the remainder is 2.
        let mail = |n: u32| (1_000 - n) % 3 == 2;
        mails_twice += done.iter().filter(|(n, ..)| mail(*n) && runs(&[&a, &b], *n) > 1).count();
        served += done.iter().filter(|(.., code)| *code == 79).count();
        longest = done.iter().map(|(_, time, _)| time / 1e3).fold(longest, f64::max);
        rerun += p.count("run_anew");
        failed += p.count("failed_by_loss");
    }
    emit("rollout.loss_rounds", 20, "candidates killed or stopped");
    emit("rollout.loss_calls", calls, "calls");
    emit("rollout.loss_calls_without_one_answer", lost_calls, "calls");
    emit("rollout.loss_mails_run_twice", mails_twice, "calls");
    emit("rollout.loss_calls_served", served, "calls");
    emit("rollout.loss_calls_run_anew", rerun, "calls");
    emit("rollout.loss_calls_failed", failed, "calls");
    emit("rollout.loss_longest_answer", longest.round(), "ms");
    assert_eq!((lost_calls, mails_twice), (0, 0));
}

/// Simulates a rollout with these failure rates. Returns after how many calls of the new version the gates fail, if they
/// do within `max` calls.
fn simulate(seed: u64, share: f64, (old, new): (f64, f64), max: u64) -> Option<u64> {
    let (mut rng, mut gates, mut passed, mut n) =
        (fastrand::Rng::with_seed(seed), Gates::new(GateSettings::default()), 0, 0u64);
    while passed < max {
        n += 1;
        let version = if rng.f64() < share { Version::New } else { Version::Old };
        passed += u64::from(version == Version::New);
        let fails = rng.f64() < if version == Version::New { new } else { old };
        let outcome = if fails { CallOutcome::Failed } else { CallOutcome::Served };
        let class = CLASSES[rng.usize(0..3)];
        // Exponentially distributed, as the platform's work is.
        let took = (-rng.f64().max(1e-9).ln() * 250_000.0) as i64;
        gates.record(version, class, outcome, took, 1_500_000);
        if n.is_multiple_of(25) {
            gates.close_blocks();
            if gates.verdict().0 == Verdict::Fails {
                return Some(passed);
            }
        }
    }
    None
}

fn gates() {
    let false_alarms = (0..1_000).filter(|s| simulate(*s, 0.25, (0.02, 0.02), 2_000).is_some()).count();
    emit("rollout.gate_false_roll_backs_of_1000_equal", false_alarms, "rollouts of 2000 new calls");
    for (name, rates, share) in [
        ("1_to_6", (0.01, 0.06), 0.25),
        ("5_to_10", (0.05, 0.10), 0.25),
        ("1_to_6_at_1_percent", (0.01, 0.06), 0.01),
    ] {
        let caught: Vec<_> = (0..200).map(|s| simulate(s, share, rates, 5_000)).collect();
        let mut calls: Vec<f64> = caught.iter().flatten().map(|c| *c as f64).collect();
        emit(&format!("rollout.gate_caught_{name}"), calls.len(), "of 200");
        emit(&format!("rollout.gate_calls_until_caught_{name}_p50"), quantile(&mut calls, 0.5), "new calls");
        emit(&format!("rollout.gate_calls_until_caught_{name}_p95"), quantile(&mut calls, 0.95), "new calls");
        emit(&format!("rollout.gate_calls_until_caught_{name}_max"), quantile(&mut calls, 1.0), "new calls");
    }
}

// ------------------------------------------------------------------------------------------ admission

#[test]
#[ignore = "a measurement"]
fn admission() {
    decisions();
    flood(true);
    flood(false);
}

/// Time of the admission decisions for a connection and a request, and size of the tables, by the number of addresses.
fn decisions() {
    use wheellink_admission::{Admission, RequestInfo, Rules};
    let address = |n: u32| std::net::IpAddr::from(std::net::Ipv4Addr::from(0x0a00_0000 + n));
    for seen in [1_000u32, 100_000, 1_000_000] {
        let text = r#"{"address":{"connections":64,"connect_rate":{"per_second":50,"burst":100},
            "request_rate":{"per_second":1000,"burst":1000}},"neighbourhood":{"connections":10000}}"#;
        let rules: Rules = serde_json::from_str(text).unwrap();
        let mut gate = Admission::new(rules);
        let mut now = 1_000_000_000;
        for n in 0..seen {
            now += 10;
            if gate.connect(now, address(n)).is_ok() {
                gate.connection_closed(now, address(n));
            }
        }
        let rounds = 200_000u32;
        let begun = Instant::now();
        for n in 0..rounds {
            now += 100;
            let from = address(n.wrapping_mul(2_654_435_761) % seen);
            if gate.connect(now, from).is_ok() {
                gate.connection_closed(now, from);
            }
        }
        let connect = begun.elapsed().as_nanos() as f64 / f64::from(rounds);
        let begun = Instant::now();
        for n in 0..rounds {
            now += 100;
            let from = address(n.wrapping_mul(2_654_435_761) % seen);
            let asking = RequestInfo { from, tenant: Some(0), share: 1.0, worth: 1.0, size: 100 };
            if gate.admit_request(now, &asking).is_ok() {
                gate.request_done(now, &asking, 0, Some(1000));
            }
        }
        let request = begun.elapsed().as_nanos() as f64 / f64::from(rounds);
        emit(&format!("admission.connect_and_gone_at_{seen}"), connect.round(), "ns");
        emit(&format!("admission.request_and_done_at_{seen}"), request.round(), "ns");
        let (near, wide) = gate.tables();
        let entry = std::mem::size_of::<wheellink_admission::Entry>() + 2 * 32 + 16;
        emit(&format!("admission.entries_at_{seen}"), near.len() + wide.len(), "entries");
        emit(
            &format!("admission.memory_at_{seen}"),
            (near.len() + wide.len()) * entry / 1024,
            "KiB, by size of entries",
        );
    }
}

/// Calls of known clients, each on its own connection, without other load and during a flood of 10,000 connections from one
/// address; with admission and without.
fn flood(gate: bool) {
    let name = |what: &str| format!("admission.{}_{what}", if gate { "on" } else { "off" });
    let hosts = fleet();
    let bus = Bus::start();
    let text = config(bus.address, &hosts.iter().collect::<Vec<_>>());
    let rules = serde_json::json!({"known": ["127.0.0.9"], "address": {"connections": 16}});
    let text = if gate { edited(&text, &[("admission", rules)]) } else { text };
    let p = Program::start(&text, false);
    let _feed = bus.greeted();
    wait_for("readiness", || p.status() == 200);
    let calls = |n: u32| {
        let (mut times, mut failed) = (Vec::new(), 0);
        for _ in 0..n {
            let begun = Instant::now();
            let served = (|| {
                let mut stream = p.connect_from([127, 0, 0, 9]);
                stream.set_read_timeout(Some(ms(1_000))).ok()?;
                std::io::Write::write_all(&mut stream, &call_frame(1, "check-score", 4000, b"")).ok()?;
                let mut byte = [0; 1];
                (stream.peek(&mut byte).ok()? > 0).then(|| read_frame(&mut stream))?
            })();
            match served {
                Some(frame) if frame.code == 79 => times.push(begun.elapsed().as_secs_f64() * 1e6),
                _ => failed += 1,
            }
        }
        (times, failed)
    };
    let (mut calm, _) = calls(1_000);
    emit(&name("calm_p50"), quantile(&mut calm, 0.5).round(), "us");
    emit(&name("calm_p99"), quantile(&mut calm, 0.99).round(), "us");
    let address = p.address;
    let stop = std::sync::Arc::new(std::sync::atomic::AtomicBool::new(false));
    let ended = stop.clone();
    let used = p.used();
    let begun = Instant::now();
    // Reconnects at once when closed; 10,000 connections at most, 200 open at a time.
    let flood = std::thread::spawn(move || {
        let (mut held, mut opened) = (std::collections::VecDeque::new(), 0u32);
        while opened < 10_000 && !ended.load(std::sync::atomic::Ordering::Relaxed) {
            let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
            socket.bind(&std::net::SocketAddr::from(([127, 0, 0, 2], 0)).into()).unwrap();
            if socket.connect_timeout(&address.into(), ms(200)).is_ok() {
                held.push_back(socket);
                opened += 1;
            }
            if held.len() > 200 {
                held.pop_front();
            }
        }
        opened
    });
    let (mut busy, failed) = calls(300);
    stop.store(true, std::sync::atomic::Ordering::Relaxed);
    let opened = flood.join().unwrap();
    let took = begun.elapsed().as_secs_f64();
    emit(&name("flood_connections"), opened, "connections from one address");
    emit(&name("flood_rate"), (f64::from(opened) / took).round(), "connections a second");
    emit(&name("flood_known_served"), busy.len(), "of 300 known connects");
    emit(&name("flood_known_failed"), failed, "of 300 known connects");
    emit(&name("flood_p50"), quantile(&mut busy, 0.5).round(), "us");
    emit(&name("flood_p99"), quantile(&mut busy, 0.99).round(), "us");
    let per = (p.used() - used) as f64 * 10_000.0 / f64::from(opened + 300);
    emit(&name("flood_cpu_a_connection"), per.round(), "us");
}

// ----------------------------------------------------------------------- routing decisions

#[test]
#[ignore = "a measurement"]
fn path() {
    for rate in [100u32, 1_000, 3_000, 10_000] {
        emit(&format!("path.decide_at_{rate}"), decide(rate, 8, 40).round(), "ns a call");
    }
    for hosts in [16, 100, 1_000] {
        emit(&format!("path.decide_with_{hosts}_hosts"), decide(1_000, hosts, 40).round(), "ns a call");
    }
    for functions in [20, 1_000, 20_000] {
        emit(
            &format!("path.decide_with_{functions}_functions"),
            decide(1_000, 8, functions).round(),
            "ns a call",
        );
    }
}

/// Time that the routing engine needs per call, on simulated time: `rate` calls per second for six seconds, of functions
/// chosen by the cube of a uniform random number, each answered by its host after 2 ms. The first second is not counted.
fn decide(rate: u32, hosts: usize, functions: usize) -> f64 {
    use wheellink::engine::{AttemptEnd, Command, NewRequest};
    use wheellink::{Condition, Engine, FunctionId, ListEntry, ListKind, Outcome};
    let deployment: wheellink_settings::Options = {
        let whole: serde_json::Value =
            serde_json::from_str(&config("127.0.0.1:1".parse().unwrap(), &[])).unwrap();
        serde_json::from_value(whole["settings"].clone()).unwrap()
    };
    let deployment = wheellink_settings::Deployment::try_from(deployment).unwrap();
    let mut engine = Engine::new(deployment.router(7).unwrap(), 10_000_000);
    let (mut now, mut out) = (1_000_000_000i64, Vec::new());
    let entry = |i| ListEntry {
        worker: format!("s-{i:08x}").as_str().into(),
        zone: Some(0),
        cell: Some(0),
        condition: Condition::Up,
        size: 1.0,
        ready_at: 0,
    };
    engine.update_hosts(now, ListKind::Cached, (0..hosts).map(entry).collect(), &mut out);
    let names: Vec<FunctionId> = (0..functions).map(|n| format!("{n:016x}").as_str().into()).collect();
    let mut rng = fastrand::Rng::with_seed(1);
    let mut answers = std::collections::VecDeque::new();
    let gap = 1_000_000 / i64::from(rate);
    let (begun, mut counted, mut spent) = (now, 0u32, std::time::Duration::ZERO);
    while now - begun < 6_000_000 {
        now += gap;
        let at = Instant::now();
        while answers.front().is_some_and(|(due, _)| *due <= now) {
            let (_, attempt) = answers.pop_front().unwrap();
            let end = AttemptEnd::from(Outcome::Done);
            engine.attempt_ended(now, attempt, end, &mut out);
        }
        if engine.next_tick().is_some_and(|tick| tick <= now) {
            engine.tick(now, &mut out);
        }
        let function = names[(rng.f64().powi(3) * functions as f64) as usize].clone();
        let new = NewRequest {
            class: 0,
            tenant: None,
            function,
            due: now + 4_000_000,
            lanes: 64,
            repeat: false,
            hint: 0,
            half_closed: None,
        };
        engine.request(now, new, &mut out);
        if now - begun > 1_000_000 {
            spent += at.elapsed();
            counted += 1;
        }
        for command in out.drain(..) {
            match command {
                Command::Send { attempt, .. } => answers.push_back((now + 2_000, attempt)),
                Command::Load { order, .. } => {
                    let mut more = Vec::new();
                    engine.order_ended(now, order, Outcome::Done, 1, &mut more);
                    let sends = more.iter().filter_map(|c| match c {
                        Command::Send { attempt, .. } => Some((now + 2_000, *attempt)),
                        _ => None,
                    });
                    answers.extend(sends);
                }
                _ => {}
            }
        }
    }
    spent.as_nanos() as f64 / f64::from(counted)
}

/// Simulated membership: a minute without deaths, then one death, for each fleet size and share of lost datagrams.
#[test]
#[ignore = "a measurement"]
fn members() {
    use net::{ms, Net};
    use wheellink_members::{MemberId, MemberState, Settings};
    for n in [5, 50, 300] {
        for loss in [0.0, 0.1, 0.3] {
            let seeds = if n < 300 { 5 } else { 1 };
            let (mut times, mut wrong, mut bytes, mut changes, mut calm) = (Vec::new(), 0, 0, 0, 0.0);
            for seed in 0..seeds {
                let mut net = Net::new(n, seed, Settings::default());
                net.run(4 * net.settings.detection_bound());
                net.forget_changes();
                (net.loss, net.delay, net.duplication) = (loss, ms(40), 0.1);
                let before = net.bytes;
                net.run(ms(60_000));
                bytes += net.bytes - before;
                calm += 60.0 * n as f64;
                wrong += net.deaths(&(0..n).collect::<Vec<_>>());
                net.forget_changes();
                net.kill(0);
                let died = net.now;
                net.run(2 * net.settings.detection_bound());
                for p in net.processes.iter().flatten() {
                    let gone = p
                        .changes
                        .iter()
                        .find(|(_, who, state)| (*who, *state) == (MemberId(0), MemberState::Dead));
                    times.push(gone.map_or(f64::INFINITY, |(at, ..)| (*at - died).as_secs_f64()));
                    changes = changes.max(p.changes.len());
                }
            }
            let name = |what: &str| format!("members.{what}_{n}_lost_{}", (loss * 100.0) as u32);
            emit(&name("notice_median"), format!("{:.2}", quantile(&mut times, 0.5)), "s");
            emit(&name("notice_p99"), format!("{:.2}", quantile(&mut times, 0.99)), "s");
            emit(&name("false_deaths"), wrong as f64 / (calm / 3_600.0) * 1_000.0, "per_1000_member_hours");
            emit(&name("sent"), format!("{:.0}", bytes as f64 / calm), "bytes_a_second_and_member");
            emit(&name("changes_at_a_death"), changes, "most_at_a_member");
        }
    }
}

/// Longest pauses of the event loop while a document of 100,000 entries is prepared, in another thread (`beside`) and in
/// the loop (`within`). Measured by requests that need no host.
#[test]
#[ignore = "a measurement"]
fn handoff() {
    const ENTRIES: usize = 100_000;
    const CHANGES: u64 = 20;
    for (way, thread) in [("beside", true), ("within", false)] {
        let entries: Vec<String> = (0..ENTRIES).map(|i| format!("\"a{i:06}\"")).collect();
        let setup = "[accord]\nvoters = [\"m0\", \"m1\", \"m2\"]\nlease_ms = 3000\nperiod_ms = 100";
        let document = format!("[accord.document]\nlist.addresses = [{}]", entries.join(", "));
        let fleet = common::links::Fleet::start_with(3, &format!("{setup}\nthread = {thread}\n{document}\n"));
        let of = |at: usize| fleet.programs[at].as_ref().expect("it runs");
        let version = |at: usize| of(at).ask("GET", "/accord", "").1["acting"]["version"]["number"].as_u64();
        wait_for("a version", || (0..3).all(|at| version(at).is_some()));
        assert_eq!(of(1).ask("GET", "/accord", "").1["entries"], ENTRIES);
        let healthy = request("GET", "/healthz", &[], "");
        let mut client = of(1).connect();
        let mut ask = || {
            let begun = Instant::now();
            std::io::Write::write_all(&mut client, healthy.as_bytes()).unwrap();
            read_reply(&mut client).expect("an answer");
            begun.elapsed().as_secs_f64() * 1e3
        };
        let calm: Vec<f64> = (0..3_000).map(|_| ask()).collect();
        let (mut longest, mut all, mut took) = (Vec::new(), Vec::new(), Vec::new());
        for n in 0..CHANGES {
            // Ask another activator, so that these requests do not disturb the measured one.
            let base = version(0).expect("a version");
            let body = format!("{{\"base\":{base},\"set\":{{\"list/addresses/b{n}\":true}}}}");
            let begun = Instant::now();
            assert_eq!(of(0).operate("POST", "/accord", &body), 202);
            let mut times = Vec::new();
            while version(0) != Some(base + 1) {
                assert!(begun.elapsed() < LONG, "in force in time");
                times.extend((0..50).map(|_| ask()));
            }
            times.extend((0..500).map(|_| ask()));
            took.push(begun.elapsed().as_secs_f64() * 1e3);
            longest.push(times.iter().copied().fold(0.0, f64::max));
            all.extend(times);
        }
        let (mut calm, worst) = (calm, longest.iter().copied().fold(0.0, f64::max));
        emit(&format!("handoff.{way}_calm_99th"), quantile(&mut calm, 0.99), "ms");
        emit(&format!("handoff.{way}_99th"), quantile(&mut all, 0.99), "ms");
        emit(&format!("handoff.{way}_longest_of_a_change_median"), quantile(&mut longest, 0.5), "ms");
        emit(&format!("handoff.{way}_longest"), worst, "ms");
        emit(&format!("handoff.{way}_change_with_500_calls"), quantile(&mut took, 0.5), "ms");
    }
}

// -------------------------------------------------------------- drafts and turns: processor time of whole calls

/// A host that answers at once, with the fields on drafts and blocks that a call asks for.
fn answering() -> std::net::SocketAddr {
    use std::io::{BufRead, BufReader, Read, Write};
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            std::thread::spawn(move || {
                let (mut lines, mut out) = (BufReader::new(stream.try_clone().unwrap()), stream);
                let (mut line, mut body) = (String::new(), Vec::new());
                while lines.read_line(&mut line).is_ok_and(|n| n > 0) {
                    let parts: Vec<&str> = line.trim_end().split(' ').collect();
                    let answer = match parts[0] {
                        "FN" => {
                            body.resize(parts[3].parse::<usize>().unwrap() + 2, 0);
                            lines.read_exact(&mut body).unwrap();
                            let has = |field: &str| parts[2].contains(field);
                            // Without a table calls run with drafting off; the answer reports 20 rounds of it.
                            let accepted = if has("draft=0:0") { ",accepted=20;20;400000" } else { "" };
                            let found = if has("blocks=") { ",found=8" } else { "" };
                            format!("{} 200 tell=warm{accepted}{found} 0\r\n\r\n", parts[1])
                        }
                        "SPAWN" => format!("{} 200 copies=1 0\r\n\r\n", parts[1]),
                        "HELO" => format!("{} alive - 0\r\n\r\n", parts[1]),
                        _ => String::new(),
                    };
                    line.clear();
                    if out.write_all(answer.as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

/// Makes calls on eight connections in parallel, with `turn` each with a turn of one of 512 conversations. Returns the
/// program's processor time per call in microseconds.
fn cost(program: &Program, calls: usize, turn: bool) -> f64 {
    use std::io::Write;
    const AT_ONCE: usize = 8;
    let before = program.ran();
    std::thread::scope(|s| {
        for lane in 0..AT_ONCE {
            s.spawn(move || {
                let mut stream = program.connect();
                for n in 0..calls / AT_ONCE {
                    // The prefix starts with eight blocks and grows by one with each of eight turns.
                    let (talk, depth) = (lane * 64 + n / 8 % 64, 8 + n % 8);
                    let hashes: Vec<String> =
                        (1..=depth).map(|d| format!("{:016x}", talk << 32 | d)).collect();
                    let header = format!("Wheellink-Turn: {talk:x};1;{}", hashes.join(","));
                    let headers: &[&str] = if turn { &[&header] } else { &[] };
                    stream.write_all(call("f", "check-score", headers, "x").as_bytes()).unwrap();
                    assert_eq!(read_reply(&mut stream).unwrap().status, 200);
                }
            });
        }
    });
    (program.ran() - before) as f64 / 1e3 / calls as f64
}

/// Many short rounds, because other load on the machine changes within seconds.
const ROUNDS: usize = 101;

/// Processor time of a call with a table in the program's file and without it; median over the rounds of one run. The two
/// programs take turns, and the first one alternates between rounds. Both make the same calls to the same hosts.
fn on_and_off(name: &str, table: &str, turn: bool) {
    let resolver = Resolver::start(&[]);
    let instances = (0..12).map(|i| (format!("h{i}"), answering().port(), vec![format!("cell={i}")]));
    resolver.zone.lock().unwrap().instances = instances.collect();
    let off = operator_file(resolver.address);
    let programs = [off.clone(), format!("{off}\n{table}")].map(|text| Program::start(&text, true));
    for p in &programs {
        wait_for("hosts", || p.http(&request("GET", "/healthz", &[], "")).status == 200);
        // Warm-up: loading functions and opening connections are not measured.
        cost(p, 2_000, turn);
    }
    let (mut times, mut ratios) = ([Vec::new(), Vec::new()], Vec::new());
    for round in 0..ROUNDS {
        let mut took = [0.0; 2];
        for k in 0..2 {
            let which = (round + k) % 2;
            took[which] = cost(&programs[which], 800, turn);
            times[which].push(took[which]);
        }
        ratios.push(took[1] / took[0]);
    }
    for (which, times) in ["off", "on"].iter().zip(&mut times) {
        emit(&format!("{name}.cpu_a_call_{which}"), (quantile(times, 0.5) * 100.0).round() / 100.0, "us");
    }
    emit(
        &format!("{name}.cpu_a_call_on_over_off"),
        (quantile(&mut ratios, 0.5) * 1e3).round() / 1e3,
        "median",
    );
    emit(
        &format!("{name}.cpu_a_call_on_over_off_quarter"),
        (quantile(&mut ratios, 0.25) * 1e3).round() / 1e3,
        "quartile",
    );
    emit(
        &format!("{name}.cpu_a_call_on_over_off_three_quarters"),
        (quantile(&mut ratios, 0.75) * 1e3).round() / 1e3,
        "quartile",
    );
}

#[test]
#[ignore = "a measurement"]
fn drafts() {
    on_and_off("drafts", "[drafts]\n", false);
}

#[test]
#[ignore = "a measurement"]
fn turns() {
    on_and_off("turns", "[turns]\nsite = \"cell\"\nblock_us = 1000\nresident = true\n", true);
}
