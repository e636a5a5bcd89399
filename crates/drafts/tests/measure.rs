//! `make measure WHAT=drafts`: prints lines `measure drafts.NAME VALUE UNIT`.

mod fleet;

use std::time::{Duration, Instant};

use fleet::{first_drafter, workload_named, Fleet, Truth};
use wheellink_drafts::{Draft, DraftLearner, DraftTable, MemberId, Settings};

fn secs(s: u64) -> Duration {
    Duration::from_secs(s)
}

fn print_measurement(name: &str, value: f64, unit: &str) {
    println!("measure drafts.{name} {value:.3} {unit}");
}

/// A fleet with the default settings.
fn fleet(truth: &Truth, members: u32, calls: f64, seed: u64) -> Fleet {
    Fleet::new(Settings::default(), members, vec![(workload_named("w"), truth.clone())], calls, seed)
}

fn median(mut of: Vec<f64>) -> f64 {
    of.sort_by(f64::total_cmp);
    of[of.len() / 2]
}

/// Steady rates: the throughput relative to the optimum with known rates, compared with fixed draft lengths.
fn steady(name: &str, truth: &Truth) {
    let settings = Settings::default();
    let mut fixed = [0.0; 9];
    let (mut all, mut least) = (0.0, f64::MAX);
    for band in 0..4 {
        let (best, value) = truth.best(&settings, band);
        for (length, sum) in fixed.iter_mut().enumerate() {
            *sum += truth.value(first_drafter(length as u8), band) / value / 4.0;
        }
        for seed in 0..3 {
            let mut fleet = fleet(truth, 4, 20.0, 100 + seed);
            fleet.band = band;
            fleet.run(secs(1_200));
            let share = fleet.share(secs(1_800));
            (all, least) = (all + share / 12.0, f64::min(least, share));
        }
        print_measurement(&format!("{name}.band{band}.known_best_length"), f64::from(best.length), "tokens");
        print_measurement(&format!("{name}.band{band}.known_best"), value, "tokens_a_second");
    }
    print_measurement(&format!("{name}.learnt"), all, "of_one_who_knows");
    print_measurement(&format!("{name}.learnt_least"), least, "of_one_who_knows");
    for (length, share) in fixed.iter().enumerate() {
        print_measurement(&format!("{name}.fixed{length}"), *share, "of_one_who_knows");
    }
}

/// The time to follow a collapse of the rates, a rise, and a change of costs.
fn drifts() {
    type Change = fn(&mut Truth);
    let changes: [(&str, Change); 3] = [
        ("collapse", |t| t.rates[0] = [0.15; 8]),
        ("rise", |t| t.rates[0] = [0.93; 8]),
        ("cost", |t| t.costs[0] = (30_000.0, 45_000.0)),
    ];
    let max_evidence_age = Settings::default().max_evidence_age();
    print_measurement("drift.bound", max_evidence_age.as_secs_f64(), "s");
    for (name, change) in changes {
        let (mut times, mut late) = (Vec::new(), 0.0);
        for seed in 0..10 {
            let mut fleet = fleet(&Truth::chat(), 4, 20.0, 200 + seed);
            fleet.run(secs(1_500));
            change(&mut fleet.workloads[0].1);
            match fleet.until(0.95, max_evidence_age * 4) {
                Some(time) => {
                    late += f64::from(u8::from(time > max_evidence_age));
                    times.push(time.as_secs_f64());
                }
                None => late += 1.0,
            }
        }
        let most = times.iter().copied().fold(0.0, f64::max);
        print_measurement(&format!("drift.{name}.regained_median"), median(times), "s");
        print_measurement(&format!("drift.{name}.regained_most"), most, "s");
        print_measurement(&format!("drift.{name}.beyond_the_bound"), late, "of_10");
    }
}

/// Members that exchange counts, compared with isolated members.
fn together() {
    for calls in [2.0, 5.0, 20.0] {
        for isolated in [false, true] {
            let (mut shares, mut found) = (0.0, Vec::new());
            for seed in 0..5 {
                let mut fleet = fleet(&Truth::chat(), 8, calls, 300 + seed);
                if isolated {
                    fleet = fleet.isolated();
                }
                shares += fleet.share(secs(1_200)) / 5.0;
                found.push(fleet.versions.first().map_or(f64::INFINITY, |(at, _)| at.as_secs_f64()));
            }
            let how = if isolated { "apart" } else { "together" };
            print_measurement(
                &format!("members8.calls{calls}.{how}.first_20_minutes"),
                shares,
                "of_one_who_knows",
            );
            print_measurement(&format!("members8.calls{calls}.{how}.first_table_median"), median(found), "s");
        }
    }
}

/// The costs: versions, bytes and processor time.
fn costs() {
    let hour = secs(3_600);
    let mut steady_fleet = fleet(&Truth::chat(), 4, 20.0, 400);
    steady_fleet.run(hour);
    print_measurement("versions.calm", steady_fleet.versions.len() as f64, "an_hour");
    let mut changing_fleet = fleet(&Truth::chat(), 4, 20.0, 401);
    for turn in 0..36 {
        changing_fleet.workloads[0].1.rates[0] = if turn % 2 == 0 { [0.9; 8] } else { [0.1; 8] };
        changing_fleet.run(secs(100));
    }
    print_measurement("versions.turning_each_100_s", changing_fleet.versions.len() as f64, "an_hour");
    print_measurement("versions.bound", f64::from(Settings::default().versions_hour), "an_hour");
    for members in [3, 8, 50] {
        let mut fleet = fleet(&Truth::chat(), members, 10.0, 402);
        fleet.run(secs(300));
        let bytes: u64 = fleet.members.iter().map(|m| m.bytes).sum();
        print_measurement(
            &format!("bytes.members{members}"),
            bytes as f64 / f64::from(members) / 300.0,
            "a_member_a_second",
        );
        let now = fleet.now + secs(60);
        let started = Instant::now();
        let looks = 20;
        for _ in 0..looks {
            std::hint::black_box(fleet.members[0].drafts.propose(now, &DraftTable::new(), u64::MAX));
            let mut drafts = fleet.members[0].drafts.clone();
            drafts.handle_timers(now, &mut Vec::new());
        }
        let each = started.elapsed().as_secs_f64() * 1e3 / f64::from(looks);
        print_measurement(&format!("processor.look.members{members}"), each, "ms");
    }
    print_measurement("bytes.bound", Settings::default().max_bytes_per_second(), "a_member_a_second");
    let mut drafts = DraftLearner::new(Settings::default(), MemberId(1), 1, 1, Duration::ZERO).unwrap();
    let (truth, workload, mut rng) = (Truth::chat(), workload_named("w"), fastrand::Rng::with_seed(1));
    let calls_run: Vec<_> = (0..1_000)
        .map(|i| truth.ran(&mut rng, &workload, first_drafter(i as u8 % 9), i as u8 % 4, 1, 20))
        .collect();
    let table: DraftTable = [((workload.clone(), 0), Draft { drafter: 1, length: 4 })].into();
    let started = Instant::now();
    let rounds = 500;
    for round in 0..rounds {
        for ran in &calls_run {
            std::hint::black_box(drafts.choose(&workload, 0, &table, 0.5));
            let _ = drafts.record_call(Duration::from_millis(round), ran);
        }
    }
    let calls = rounds as f64 * calls_run.len() as f64;
    print_measurement("processor.call", started.elapsed().as_secs_f64() * 1e6 / calls, "us");
}

#[test]
#[ignore = "takes minutes"]
fn drafts() {
    steady("chat", &Truth::chat());
    steady("form", &Truth::form());
    drifts();
    together();
    costs();
}
