//! `make measure WHAT=accord`: `name value unit`, one a line. Simulated time; nothing here is of a real network.

mod net;

use net::*;
use std::time::Instant;
use wheellink_accord::*;

fn say(name: &str, value: f64, unit: &str) {
    println!("measure accord.{name} {value:.3} {unit}");
}

#[test]
#[ignore = "minutes"]
fn accord() {
    let changes: u64 = std::env::var("CHANGES").ok().and_then(|text| text.parse().ok()).unwrap_or(500);
    let (mut longest, mut hard, mut stuck, mut taken) = (0, 0, 0, 0);
    for seed in 1_000..1_000 + changes / 4 {
        let (net, agreed) = faulted(seed, 4, Default::default());
        longest = longest.max(net.longest);
        hard += net.hard.len();
        stuck += u64::from(!agreed);
        taken += net.settled.iter().filter(|(.., result)| result.is_ok()).count();
    }
    say("faulted.rounds_of_faults", (changes / 4 * 4) as f64, "");
    say("faulted.changes_in_force", taken as f64, "");
    say("faulted.bound", settings(3, 3).bound().as_secs_f64(), "s");
    say("faulted.longest_contradiction", longest as f64 / 1e6, "s");
    say("faulted.hard_contradictions", hard as f64, "");
    say("faulted.not_agreed_afterwards", stuck as f64, "");

    for members in [3u32, 50, 300, 1_000] {
        let mut net = Net::new(members, 3, u64::from(members));
        net.check = members <= 50;
        net.delay = 40_000;
        net.start();
        net.run(5_000);
        let sent = |net: &Net, voters: bool| -> u64 {
            let of = if voters { 0..3 } else { 3..net.members.len() };
            net.members[of].iter().map(|member| member.sent).sum()
        };
        let (calm_voters, calm_others) = (sent(&net, true), sent(&net, false));
        net.run(10_000);
        let a_voter = (sent(&net, true) - calm_voters) as f64 / 30.0;
        let another = (sent(&net, false) - calm_others) as f64 / 10.0 / f64::from((members - 3).max(1));
        say(&format!("members_{members}.bytes_a_second_of_a_voter"), a_voter, "B/s");
        say(&format!("members_{members}.bytes_a_second_of_another"), another, "B/s");
        let begun = net.now;
        net.propose(Name(members), |change| drop(change.set.insert(key("class/a/attempts"), Value::Int(2))))
            .unwrap();
        let joint = |net: &Net| {
            (1..=members)
                .all(|name| net.view(Name(name)).acting.version().is_some_and(|version| version.number == 2))
        };
        let mut at = None;
        while at.is_none() && net.now < begun + 60_000_000 {
            net.run(50);
            at = joint(&net).then_some(net.now);
        }
        say(&format!("members_{members}.both_obeyed_by_all"), (at.unwrap() - begun) as f64 / 1e6, "s");
        while net.agreed().is_none_or(|version| version.number != 2) && net.now < begun + 60_000_000 {
            net.run(50);
        }
        assert!(net.agreed().is_some_and(|version| version.number == 2));
        say(&format!("members_{members}.new_alone_with_all"), (net.now - begun) as f64 / 1e6, "s");
    }
    entries();
}

/// The last part by itself.
#[test]
#[ignore = "a measurement"]
fn accord_entries() {
    entries();
}

fn entries() {
    let list: Document =
        (0..100_000).map(|at| (key(&format!("list/blocked/host-{at}")), Value::Flag(true))).collect();
    let mut change = Change::default();
    change.set.insert(key("list/blocked/more"), Value::Flag(true));
    let begun = Instant::now();
    let made = change.apply(&list).unwrap();
    say("entries_100000.apply_one", begun.elapsed().as_secs_f64() * 1e3, "ms");
    let begun = Instant::now();
    assert_ne!(made.digest(), list.digest());
    let whole: Document = list.iter().map(|(key, value)| (key.clone(), value.clone())).collect();
    assert_eq!(whole.digest(), list.digest());
    say("entries_100000.made_and_hashed_whole", begun.elapsed().as_secs_f64() * 1e3, "ms");
    let begun = Instant::now();
    assert_eq!(uncovered(&made, &list), None);
    say("entries_100000.floor_checked", begun.elapsed().as_secs_f64() * 1e3, "ms");
}
