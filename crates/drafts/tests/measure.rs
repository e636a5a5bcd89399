//! `make measure WHAT=drafts`: `measure drafts.NAME VALUE UNIT`, one a line.

mod fleet;

use std::time::{Duration, Instant};

use fleet::{one, word, Fleet, Truth};
use wheellink_drafts::{Draft, DraftLearner, DraftTable, MemberId, Settings};

fn secs(s: u64) -> Duration {
    Duration::from_secs(s)
}

fn say(name: &str, value: f64, unit: &str) {
    println!("measure drafts.{name} {value:.3} {unit}");
}

/// The default settings but for the versions: a fleet that begins would else wait two minutes for each.
fn fleet(truth: &Truth, members: u32, calls: f64, seed: u64) -> Fleet {
    Fleet::new(Settings::default(), members, vec![(word("w"), truth.clone())], calls, seed)
}

fn middle(mut of: Vec<f64>) -> f64 {
    of.sort_by(f64::total_cmp);
    of[of.len() / 2]
}

/// Against fixed lengths and against one that knows the rates, by band, steady.
fn steady(name: &str, truth: &Truth) {
    let settings = Settings::default();
    let mut fixed = [0.0; 9];
    let (mut all, mut least) = (0.0, f64::MAX);
    for band in 0..4 {
        let (best, value) = truth.best(&settings, band);
        for (length, sum) in fixed.iter_mut().enumerate() {
            *sum += truth.value(one(length as u8), band) / value / 4.0;
        }
        for seed in 0..3 {
            let mut fleet = fleet(truth, 4, 20.0, 100 + seed);
            fleet.band = band;
            fleet.run(secs(1_200));
            let share = fleet.share(secs(1_800));
            (all, least) = (all + share / 12.0, f64::min(least, share));
        }
        say(&format!("{name}.band{band}.known_best_length"), f64::from(best.length), "tokens");
        say(&format!("{name}.band{band}.known_best"), value, "tokens_a_second");
    }
    say(&format!("{name}.learnt"), all, "of_one_who_knows");
    say(&format!("{name}.learnt_least"), least, "of_one_who_knows");
    for (length, share) in fixed.iter().enumerate() {
        say(&format!("{name}.fixed{length}"), *share, "of_one_who_knows");
    }
}

/// Rates collapse, rise, and costs change.
fn drifts() {
    type Change = fn(&mut Truth);
    let changes: [(&str, Change); 3] = [
        ("collapse", |t| t.rates[0] = [0.15; 8]),
        ("rise", |t| t.rates[0] = [0.93; 8]),
        ("cost", |t| t.costs[0] = (30_000.0, 45_000.0)),
    ];
    let max_evidence_age = Settings::default().max_evidence_age();
    say("drift.bound", max_evidence_age.as_secs_f64(), "s");
    for (name, change) in changes {
        let (mut times, mut late) = (Vec::new(), 0.0);
        for seed in 0..10 {
            let mut fleet = fleet(&Truth::chat(), 4, 20.0, 200 + seed);
            fleet.run(secs(1_500));
            change(&mut fleet.truths[0].1);
            match fleet.until(0.95, max_evidence_age * 4) {
                Some(time) => {
                    late += f64::from(u8::from(time > max_evidence_age));
                    times.push(time.as_secs_f64());
                }
                None => late += 1.0,
            }
        }
        let most = times.iter().copied().fold(0.0, f64::max);
        say(&format!("drift.{name}.regained_median"), middle(times), "s");
        say(&format!("drift.{name}.regained_most"), most, "s");
        say(&format!("drift.{name}.beyond_the_bound"), late, "of_10");
    }
}

/// All together, and each by itself.
fn together() {
    for calls in [2.0, 5.0, 20.0] {
        for apart in [false, true] {
            let (mut shares, mut found) = (0.0, Vec::new());
            for seed in 0..5 {
                let mut fleet = fleet(&Truth::chat(), 8, calls, 300 + seed);
                if apart {
                    fleet = fleet.apart();
                }
                shares += fleet.share(secs(1_200)) / 5.0;
                found.push(fleet.versions.first().map_or(f64::INFINITY, |(at, _)| at.as_secs_f64()));
            }
            let how = if apart { "apart" } else { "together" };
            say(&format!("members8.calls{calls}.{how}.first_20_minutes"), shares, "of_one_who_knows");
            say(&format!("members8.calls{calls}.{how}.first_table_median"), middle(found), "s");
        }
    }
}

/// What it costs: versions, bytes, processor time.
fn costs() {
    let hour = secs(3_600);
    let mut calm = fleet(&Truth::chat(), 4, 20.0, 400);
    calm.run(hour);
    say("versions.calm", calm.versions.len() as f64, "an_hour");
    let mut wild = fleet(&Truth::chat(), 4, 20.0, 401);
    for turn in 0..36 {
        wild.truths[0].1.rates[0] = if turn % 2 == 0 { [0.9; 8] } else { [0.1; 8] };
        wild.run(secs(100));
    }
    say("versions.turning_each_100_s", wild.versions.len() as f64, "an_hour");
    say("versions.bound", f64::from(Settings::default().versions_hour), "an_hour");
    for members in [3, 8, 50] {
        let mut fleet = fleet(&Truth::chat(), members, 10.0, 402);
        fleet.run(secs(300));
        let bytes: u64 = fleet.members.iter().map(|m| m.bytes).sum();
        say(
            &format!("bytes.members{members}"),
            bytes as f64 / f64::from(members) / 300.0,
            "a_member_a_second",
        );
        let now = fleet.now + secs(60);
        let begun = Instant::now();
        let looks = 20;
        for _ in 0..looks {
            std::hint::black_box(fleet.members[0].drafts.propose(now, &DraftTable::new(), u64::MAX));
            let mut drafts = fleet.members[0].drafts.clone();
            drafts.wake(now, &mut Vec::new());
        }
        let each = begun.elapsed().as_secs_f64() * 1e3 / f64::from(looks);
        say(&format!("processor.look.members{members}"), each, "ms");
    }
    say("bytes.bound", Settings::default().max_bytes_per_second(), "a_member_a_second");
    let mut drafts = DraftLearner::new(Settings::default(), MemberId(1), 1, 1, Duration::ZERO).unwrap();
    let (truth, workload, mut rng) = (Truth::chat(), word("w"), fastrand::Rng::with_seed(1));
    let rans: Vec<_> =
        (0..1_000).map(|i| truth.ran(&mut rng, &workload, one(i as u8 % 9), i as u8 % 4, 1, 20)).collect();
    let table: DraftTable = [((workload.clone(), 0), Draft { drafter: 1, length: 4 })].into();
    let begun = Instant::now();
    let rounds = 500;
    for round in 0..rounds {
        for ran in &rans {
            std::hint::black_box(drafts.choose(&workload, 0, &table, 0.5));
            let _ = drafts.record_call(Duration::from_millis(round), ran);
        }
    }
    let calls = rounds as f64 * rans.len() as f64;
    say("processor.call", begun.elapsed().as_secs_f64() * 1e6 / calls, "us");
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
