//! Tests of simulated fleets with faults between their members.

mod fleet;

use std::time::Duration;

use fleet::{first_drafter, workload_named, Fleet, Truth};
use rstest::rstest;
use wheellink_drafts::{CallStats, Draft, Settings};

fn secs(s: u64) -> Duration {
    Duration::from_secs(s)
}

/// With the default of 30 versions per hour, a new fleet could publish only one table every two minutes.
fn settings() -> Settings {
    Settings { versions_hour: 120, ..Settings::default() }
}

fn chat(members: u32, seed: u64) -> Fleet {
    Fleet::new(settings(), members, vec![(workload_named("chat"), Truth::chat())], 20.0, seed)
}

#[rstest]
#[case::chat(Truth::chat())]
#[case::form_scripts(Truth::form())]
fn a_fleet_finds_the_best_length_of_each_band(#[case] truth: Truth) {
    for band in 0..4 {
        let mut fleet = Fleet::new(settings(), 4, vec![(workload_named("chat"), truth.clone())], 20.0, 1);
        fleet.band = band;
        let found = fleet.until(0.97, secs(600));
        assert!(
            found.is_some(),
            "band {band}: {} {:?}",
            fleet.draft("chat"),
            fleet.members[0].drafts.view(fleet.now)
        );
        let share = fleet.share(secs(600));
        assert!(share > 0.96, "band {band}: {share} with {}", fleet.draft("chat"));
    }
}

#[test]
fn the_better_of_two_drafters_is_chosen() {
    let mut truth = Truth::chat();
    truth.rates.push([0.9; 8]);
    let two = Settings { drafters: 2, ..settings() };
    let mut fleet = Fleet::new(two, 4, vec![(workload_named("chat"), truth)], 20.0, 2);
    assert!(fleet.until(0.97, secs(900)).is_some(), "{}", fleet.draft("chat"));
    assert_eq!(fleet.draft("chat").drafter, 2);
}

#[test]
fn a_fleet_learns_despite_loss_duplication_and_a_member_that_dies() {
    let mut fleet = chat(4, 3);
    (fleet.loss, fleet.duplication) = (0.3, 0.3);
    fleet.run(secs(40));
    fleet.members[3].alive = false;
    assert!(fleet.until(0.97, secs(600)).is_some(), "{}", fleet.draft("chat"));
    fleet.restart(3);
    fleet.run(secs(60));
    let view = fleet.members[0].drafts.view(fleet.now);
    assert!(view.members.iter().all(|m| m.rounds > 0), "{view:?}");
}

#[test]
fn a_drift_of_rates_is_followed_within_the_bound() {
    for seed in 0..3 {
        let mut fleet = chat(4, 10 + seed);
        assert!(fleet.until(0.97, secs(600)).is_some());
        fleet.run(secs(300));
        fleet.workloads[0].1.rates[0] = [0.15; 8];
        let regained = fleet.until(0.95, fleet.settings.max_evidence_age());
        assert!(
            regained.is_some(),
            "seed {seed}: {} {:?}",
            fleet.draft("chat"),
            fleet.members[0].drafts.view(fleet.now)
        );
    }
}

#[test]
fn a_change_of_costs_is_followed_within_the_bound() {
    let mut fleet = chat(3, 20);
    assert!(fleet.until(0.97, secs(600)).is_some());
    fleet.run(secs(200));
    fleet.workloads[0].1.costs[0] = (30_000.0, 60_000.0);
    assert!(fleet.until(0.95, fleet.settings.max_evidence_age()).is_some(), "{}", fleet.draft("chat"));
}

#[test]
fn a_minority_publishes_nothing_and_catches_up_after_the_partition() {
    let mut fleet = chat(5, 4);
    assert!(fleet.until(0.97, secs(600)).is_some());
    let (few, many): (Vec<u32>, Vec<u32>) = (vec![1, 2], vec![3, 4, 5]);
    for (a, b) in few.iter().flat_map(|a| many.iter().map(move |b| (*a, *b))) {
        fleet.lost_links.extend([(a, b), (b, a)]);
    }
    fleet.partitions = vec![few.into_iter().collect(), many.into_iter().collect()];
    let before = fleet.members[0].version;
    fleet.workloads[0].1.rates[0] = [0.1; 8];
    assert!(
        fleet.until(0.95, fleet.settings.max_evidence_age()).is_some(),
        "the majority learns: {}",
        fleet.draft("chat")
    );
    assert_eq!(fleet.members[0].version, before, "the minority keeps its version");
    (fleet.lost_links, fleet.partitions) = (Default::default(), Vec::new());
    fleet.run(secs(10));
    assert!(fleet.members[0].version > before);
    assert_eq!(fleet.members[0].table, fleet.table);
}

/// Rates that change again and again must not lead to more versions in any hour than the limit, also with restarts.
#[test]
fn versions_per_hour_are_bounded() {
    let few = Settings { versions_hour: 12, ..Settings::default() };
    let mut fleet = Fleet::new(few, 3, vec![(workload_named("chat"), Truth::chat())], 8.0, 5);
    for change in 0..72 {
        fleet.workloads[0].1.rates[0] = if change % 2 == 0 { [0.9; 8] } else { [0.1; 8] };
        fleet.run(secs(100));
        if change % 6 == 5 {
            fleet.restart(change / 6 % 3);
        }
    }
    let at: Vec<Duration> = fleet.versions.iter().map(|(at, _)| *at).collect();
    assert!(at.len() > 4, "the table changes: {at:?}");
    let max_in_an_hour =
        at.iter().map(|from| at.iter().filter(|t| *t >= from && **t < *from + secs(3_600)).count()).max();
    assert!(max_in_an_hour.is_some_and(|n| n <= 12), "{max_in_an_hour:?} in one hour: {at:?}");
}

/// With steady rates the table settles and does not oscillate.
#[test]
fn a_steady_fleet_does_not_oscillate() {
    let mut fleet = chat(4, 6);
    fleet.run(secs(900));
    let settled = fleet.versions.len();
    fleet.run(secs(1_800));
    assert!(fleet.versions.len() <= settled + 2, "{:?}", fleet.versions);
}

#[test]
fn the_same_evidence_gives_the_same_table_at_any_member() {
    for seed in 0..4 {
        let mut fleet = chat(4, 30 + seed);
        fleet.partitions = (1..=4).map(|m| [m].into()).collect();
        fleet.run(secs(120));
        fleet.members.iter_mut().for_each(|m| m.calls = 0.0);
        fleet.run(secs(12));
        let (now, table) = (fleet.now, fleet.table.clone());
        let wanted: Vec<_> = fleet
            .members
            .iter_mut()
            .map(|m| {
                let later = now + fleet.settings.review;
                m.drafts.propose(later, &table, 1)
            })
            .collect();
        assert!(wanted[0].is_some(), "seed {seed}: {:?}", fleet.members[0].drafts.view(now));
        assert!(wanted.windows(2).all(|w| w[0] == w[1]), "seed {seed}: {wanted:?}");
    }
}

#[test]
fn one_member_alone_changes_only_a_fleet_of_one() {
    let mut fleet = chat(3, 7);
    fleet.members[0].calls = 60.0;
    fleet.members[1].calls = 0.0;
    fleet.members[2].calls = 0.0;
    fleet.run(secs(300));
    assert!(fleet.versions.is_empty(), "{:?}", fleet.versions);
    let view = fleet.members[0].drafts.view(fleet.now);
    assert_eq!(view.workloads["chat"].bands[0].why, "it rests on the counts of one member");
    let mut single = chat(1, 7);
    single.members[0].calls = 60.0;
    assert!(single.until(0.97, secs(600)).is_some(), "{}", single.draft("chat"));
}

fn all_accepted(ran: &mut CallStats) {
    (ran.rounds, ran.time) = (ran.rounds * 50, ran.time * 50);
    ran.accepted.iter_mut().for_each(|k| *k = ran.rounds);
    ran.tokens = ran.rounds;
}

fn none_accepted(ran: &mut CallStats) {
    ran.accepted.iter_mut().for_each(|k| *k = 0);
    ran.tokens = ran.rounds;
}

fn long_is_free(ran: &mut CallStats) {
    ran.time =
        Duration::from_micros(u64::from(ran.rounds) * if ran.draft.length > 5 { 5_000 } else { 200_000 });
}

fn drafts_cost_much(ran: &mut CallStats) {
    if ran.draft != Draft::OFF {
        ran.time *= 20;
    }
}

/// Stays within the tolerance for outliers.
fn a_little_better(ran: &mut CallStats) {
    let more = ran.rounds / 12;
    let mut max_hits = ran.rounds;
    for k in &mut ran.accepted {
        *k = (*k + more).min(max_hits);
        max_hits = *k;
    }
}

#[rstest]
#[case::all_accepted(all_accepted)]
#[case::none_accepted(none_accepted)]
#[case::long_is_free(long_is_free)]
#[case::drafts_cost_much(drafts_cost_much)]
#[case::a_little_better(a_little_better)]
fn a_forging_member_does_not_degrade_the_table(#[case] forge: fn(&mut CallStats)) {
    for band in [0, 3] {
        let mut fleet = chat(5, 8);
        fleet.band = band;
        assert!(fleet.until(0.98, secs(600)).is_some());
        fleet.run(secs(120));
        fleet.members[4].forge = Some(forge);
        let (best, truth) =
            (fleet.workloads[0].1.best(&fleet.settings, band).1, fleet.workloads[0].1.clone());
        for _ in 0..60 {
            fleet.run(secs(10));
            let value = truth.value(fleet.draft("chat"), band);
            assert!(
                value >= 0.955 * best,
                "band {band}: {} {:?}",
                fleet.draft("chat"),
                fleet.members[0].drafts.view(fleet.now)
            );
        }
    }
}

/// A member that forges from the start, before there is a table, is excluded as an outlier, and honest members are not.
#[test]
fn a_member_that_forges_from_the_start_is_excluded() {
    let mut fleet = chat(4, 9);
    fleet.members[3].forge = Some(long_is_free);
    assert!(fleet.until(0.97, secs(900)).is_some(), "{:?}", fleet.members[0].drafts.view(fleet.now));
    assert!(fleet.log_lines.iter().any(|n| n.contains("member 4 is left out")), "{:?}", fleet.log_lines);
    assert!(!fleet.log_lines.iter().any(|n| n.contains("member 1 is left out")), "{:?}", fleet.log_lines);
}

#[test]
fn bytes_and_exploration_are_bounded() {
    let mut fleet = Fleet::new(settings(), 6, vec![(workload_named("chat"), Truth::chat())], 50.0, 11);
    fleet.run(secs(120));
    let max_bytes = fleet.settings.max_bytes_per_second() * 121.0;
    assert!(
        fleet.members.iter().all(|m| m.bytes as f64 <= max_bytes),
        "{:?}",
        fleet.members.iter().map(|m| m.bytes).collect::<Vec<_>>()
    );
    // Without a table, every other draft than the default is an exploration: at most 20 calls per second of the whole fleet.
    let mut without_table =
        Fleet::new(settings(), 6, vec![(workload_named("chat"), Truth::chat())], 50.0, 11);
    without_table.partitions = (1..=6).map(|m| [m].into()).collect();
    without_table.run(secs(60));
    let table = Default::default();
    let mut tried = 0;
    for m in &mut without_table.members {
        for _ in 0..10_000 {
            tried +=
                u32::from(m.drafts.choose(&workload_named("chat"), 0, &table, 0.029) != first_drafter(0));
        }
    }
    assert!(tried <= 2 * 20 + 6, "{tried} explorations without a refill of the budget in between");
}
