//! `make measure WHAT=accord`: prints one `name value unit` per line. Time is simulated; nothing is measured
//! on a real network.

mod net;

use net::*;
use std::time::Instant;
use wheellink_accord::*;

fn print_metric(name: &str, value: f64, unit: &str) {
    println!("measure accord.{name} {value:.3} {unit}");
}

#[test]
#[ignore = "minutes"]
fn accord() {
    let changes: u64 = std::env::var("CHANGES").ok().and_then(|text| text.parse().ok()).unwrap_or(500);
    let (mut longest, mut hard, mut stuck, mut taken) = (0, 0, 0, 0);
    for seed in 1_000..1_000 + changes / 4 {
        let (net, agreed) = random_history(seed, 4, Default::default());
        longest = longest.max(net.longest_us);
        hard += net.violations.len();
        stuck += u64::from(!agreed);
        taken += net.settled.iter().filter(|(.., result)| result.is_ok()).count();
    }
    print_metric("faulted.rounds_of_faults", (changes / 4 * 4) as f64, "");
    print_metric("faulted.changes_in_force", taken as f64, "");
    print_metric("faulted.bound", settings(3, 3).bound().as_secs_f64(), "s");
    print_metric("faulted.longest_contradiction", longest as f64 / 1e6, "s");
    print_metric("faulted.hard_contradictions", hard as f64, "");
    print_metric("faulted.not_agreed_afterwards", stuck as f64, "");

    for members in [3u32, 50, 300, 1_000] {
        let mut net = Net::new(members, 3, u64::from(members));
        net.checks_enabled = members <= 50;
        net.max_delay_us = 40_000;
        net.wait_for_start();
        net.run(5_000);
        let sent = |net: &Net, voters: bool| -> u64 {
            let of = if voters { 0..3 } else { 3..net.members.len() };
            net.members[of].iter().map(|member| member.sent).sum()
        };
        let (calm_voters, calm_others) = (sent(&net, true), sent(&net, false));
        net.run(10_000);
        let a_voter = (sent(&net, true) - calm_voters) as f64 / 30.0;
        let another = (sent(&net, false) - calm_others) as f64 / 10.0 / f64::from((members - 3).max(1));
        print_metric(&format!("members_{members}.bytes_a_second_of_a_voter"), a_voter, "B/s");
        print_metric(&format!("members_{members}.bytes_a_second_of_another"), another, "B/s");
        let begun = net.now;
        net.propose(MemberId(members), |change| {
            drop(change.set.insert(key("class/a/attempts"), Value::Int(2)))
        })
        .unwrap();
        let joint = |net: &Net| {
            (1..=members).all(|name| {
                net.view(MemberId(name)).active.version().is_some_and(|version| version.number == 2)
            })
        };
        let mut at = None;
        while at.is_none() && net.now < begun + 60_000_000 {
            net.run(50);
            at = joint(&net).then_some(net.now);
        }
        print_metric(
            &format!("members_{members}.both_obeyed_by_all"),
            (at.unwrap() - begun) as f64 / 1e6,
            "s",
        );
        while net.agreed().is_none_or(|version| version.number != 2) && net.now < begun + 60_000_000 {
            net.run(50);
        }
        assert!(net.agreed().is_some_and(|version| version.number == 2));
        print_metric(&format!("members_{members}.new_alone_with_all"), (net.now - begun) as f64 / 1e6, "s");
    }
    entries();
    pauses();
}

/// Runs only the measurements of `entries`.
#[test]
#[ignore = "a measurement"]
fn accord_entries() {
    entries();
}

/// The longest single call of each kind, in processor time, while large documents are received, replaced,
/// freed and served.
#[test]
#[ignore = "a measurement"]
fn accord_pauses() {
    pauses();
}

/// Prints the longest call of each kind in this part, and starts the next part.
fn print_longest_calls(net: &mut Net, entries: usize, what: &str) {
    for (kind, longest) in std::mem::take(&mut net.longest_calls) {
        print_metric(&format!("entries_{entries}.{what}.longest_{kind}"), longest as f64 / 1e3, "ms");
    }
}

fn run_until_in_force(net: &mut Net, number: u64) {
    let done = net.run_until(600_000, |net| net.agreed().is_some_and(|version| version.number == number));
    assert!(done, "{number} is not in force: {:#?}", net.logs);
    net.run(10_000);
}

fn pauses() {
    for entries in [100_000, 200_000] {
        let mut net = Net::new(4, 3, 8);
        net.settings.transfer_bytes_per_period = 600_000;
        net.checks_enabled = false;
        (1..=4).for_each(|name| net.restart(MemberId(name)));
        net.wait_for_start();
        net.longest_calls.clear();
        // Only the last entries differ between the lists, so that each document is within the limits.
        let list = |from: usize| (from..entries + from - 20).map(|i| key(&format!("list/blocked/host-{i}")));
        net.propose(MemberId(4), |change| change.set = list(0).map(|key| (key, Value::Flag(true))).collect())
            .unwrap();
        run_until_in_force(&mut net, 2);
        print_longest_calls(&mut net, entries, "made_and_fetched");
        net.propose(MemberId(4), |change| {
            drop(change.set.insert(key("list/blocked/more"), Value::Flag(true)))
        })
        .unwrap();
        run_until_in_force(&mut net, 3);
        print_longest_calls(&mut net, entries, "one_entry_more");
        net.propose(MemberId(4), |change| {
            change.set = list(0).map(|key| (key, Value::Flag(false))).collect();
        })
        .unwrap();
        run_until_in_force(&mut net, 4);
        print_longest_calls(&mut net, entries, "all_values_changed");
        net.propose(MemberId(4), |change| change.drop = list(0).collect()).unwrap();
        run_until_in_force(&mut net, 5);
        print_longest_calls(&mut net, entries, "all_taken_out");
        for number in 6..=12 {
            net.propose(MemberId(4), |change| {
                drop(change.set.insert(key(&format!("list/few/{number}")), Value::Flag(true)))
            })
            .unwrap();
            run_until_in_force(&mut net, number);
        }
        print_longest_calls(&mut net, entries, "freed_at_last");
        net.propose(MemberId(4), |change| change.set = list(0).map(|key| (key, Value::Flag(true))).collect())
            .unwrap();
        run_until_in_force(&mut net, 13);
        net.longest_calls.clear();
        net.kill(MemberId(2));
        net.restart(MemberId(2));
        run_until_in_force(&mut net, 13);
        print_longest_calls(&mut net, entries, "fetched_whole_by_a_voter_from_nothing");
    }
    // The same number of hard keys, with floors: none of these buckets is skipped.
    let entries = 100_000;
    let mut net = Net::new(4, 3, 9);
    net.settings.transfer_bytes_per_period = 600_000;
    let hosts = || (0..entries / 2 - 9).map(|at| format!("out/host-{at}"));
    net.settings.floor = net
        .settings
        .floor
        .iter()
        .map(|(key, value)| (key.clone(), value.clone()))
        .chain(hosts().map(|host| (key(&host), Value::Flag(true))))
        .collect();
    net.checks_enabled = false;
    (1..=4).for_each(|name| net.restart(MemberId(name)));
    net.wait_for_start();
    net.longest_calls.clear();
    net.propose(MemberId(4), |change| {
        change.set = hosts().map(|host| (key(&host), Value::Flag(true))).collect();
    })
    .unwrap();
    run_until_in_force(&mut net, 2);
    print_longest_calls(&mut net, entries, "hard_made_and_fetched");
    net.propose(MemberId(4), |change| {
        change.drop.insert(key("out/host-7"));
    })
    .unwrap();
    run_until_in_force(&mut net, 3);
    print_longest_calls(&mut net, entries, "hard_one_entry_less");
    net.cut(&[4], &[1, 2, 3], true);
    net.run(10_000);
    net.cuts.clear();
    run_until_in_force(&mut net, 3);
    print_longest_calls(&mut net, entries, "hard_cut_off_and_back");
}

fn entries() {
    let list: Document =
        (0..100_000).map(|at| (key(&format!("list/blocked/host-{at}")), Value::Flag(true))).collect();
    let mut change = Change::default();
    change.set.insert(key("list/blocked/more"), Value::Flag(true));
    let begun = Instant::now();
    let made = change.apply(&list).unwrap();
    print_metric("entries_100000.apply_one", begun.elapsed().as_secs_f64() * 1e3, "ms");
    let begun = Instant::now();
    assert_ne!(made.digest(), list.digest());
    let whole: Document = list.iter().map(|(key, value)| (key.clone(), value.clone())).collect();
    assert_eq!(whole.digest(), list.digest());
    print_metric("entries_100000.made_and_hashed_whole", begun.elapsed().as_secs_f64() * 1e3, "ms");
    let begun = Instant::now();
    assert_eq!(find_uncovered(&made, &list), None);
    print_metric("entries_100000.floor_checked", begun.elapsed().as_secs_f64() * 1e3, "ms");
}
