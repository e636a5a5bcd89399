//! Simulated networks: how each member sees the others under each fault. Bounds are derived from the settings and
//! refer to virtual time.

mod net;

use foca::{Header, Message};
use net::{ms, Net};
use rstest::rstest;
use wheellink_members::{LocalMember, MemberId, MemberInstance, MemberState, Output, Settings};

#[rstest]
fn a_death_is_detected_by_all_in_time_and_no_other_member_is_declared_dead(
    #[values(5, 8, 50)] n: usize,
    #[values(0.0, 0.1, 0.3)] loss: f64,
) {
    for seed in 0..3 {
        let mut net = Net::converged(n, seed);
        (net.loss, net.delay, net.duplication) = (loss, ms(40), 0.1);
        let rest: Vec<_> = (1..n).collect();
        net.run(ms(60_000));
        let all: Vec<_> = (0..n).collect();
        assert_eq!((net.deaths(&all), net.renewals(&all)), (0, 0), "n {n} loss {loss} seed {seed}");
        net.kill(0);
        // Lost probes and updates cost additional rounds.
        let bound = net.settings.detection_bound().mul_f64(1.0 + 2.0 * loss);
        assert!(net.within(bound, |net| net.agree_on(&rest)), "n {n} loss {loss} seed {seed}");
        assert_eq!(net.deaths(&rest), 0, "n {n} loss {loss} seed {seed}");
    }
}

#[rstest]
fn a_stopped_process_declares_no_member_dead_and_rejoins_by_itself(
    #[values(2_000, 10_000, 60_000)] stopped: u64,
) {
    for seed in 0..5 {
        let mut net = Net::converged(6, seed);
        net.stop(0);
        net.run(ms(stopped));
        net.resume(0);
        let bound = net.settings.detection_bound();
        assert!(net.within(bound, |net| net.agree_on(&[0, 1, 2, 3, 4, 5])), "seed {seed}");
        net.run(ms(20_000));
        assert!(net.agree_on(&[0, 1, 2, 3, 4, 5]), "seed {seed}");
        assert!(net.process(0).changes.is_empty(), "it declared no member dead, seed {seed}");
        let others = [1, 2, 3, 4, 5];
        assert_eq!(
            (net.deaths(&others), net.renewals(&others)),
            (0, 0),
            "only it was declared dead, seed {seed}"
        );
    }
}

/// Number of members declared dead after all processes were stopped at the same time and continued.
fn deaths_after_all_stopped(seed: u64, self_suspicion: bool) -> usize {
    let settings = Settings { self_suspicion, ..Settings::default() };
    let mut net = Net::new(6, seed, settings);
    net.loss = 0.3;
    net.run(ms(20_000));
    net.forget_changes();
    // Wait until a member is suspected, as happens often on such links, and has not refuted it yet.
    let suspects = |net: &Net| (0..6).any(|i| (0..6).any(|j| net.state(i, j) == MemberState::Suspect));
    for _ in 0..6_000 {
        if suspects(&net) {
            break;
        }
        net.run(ms(10));
    }
    assert!(suspects(&net), "seed {seed}");
    (0..6).for_each(|i| net.stop(i));
    net.run(ms(30_000));
    // They continue within about a second, as on a machine that resumes.
    for i in 0..6 {
        net.resume(i);
        net.run(ms(200));
    }
    net.run(ms(30_000));
    net.loss = 0.0;
    let bound = net.settings.detection_bound();
    assert!(net.within(bound, |net| net.agree_on(&[0, 1, 2, 3, 4, 5])), "seed {seed}");
    net.deaths(&[0, 1, 2, 3, 4, 5])
}

#[test]
fn after_a_stop_of_all_no_member_is_declared_dead_but_would_be_without_self_suspicion() {
    assert_eq!((0..20).map(|seed| deaths_after_all_stopped(seed, true)).sum::<usize>(), 0);
    assert!(
        (0..20).map(|seed| deaths_after_all_stopped(seed, false)).sum::<usize>() > 0,
        "self-suspicion prevents it"
    );
}

fn header(data: &[u8]) -> Header<MemberInstance> {
    postcard::take_from_bytes(data).expect("a header").0
}

/// Number of deaths and renewals in a minute in which two of six members cannot reach each other.
fn losses_of_a_blocked_pair(seed: u64, tamper: fn(Vec<u8>) -> Option<Vec<u8>>) -> usize {
    let mut net = Net::converged(6, seed);
    net.tamper = tamper;
    net.blocked.extend([(0, 1), (1, 0)]);
    net.run(ms(60_000));
    net.deaths(&[0, 1, 2, 3, 4, 5]) + net.renewals(&[0, 1, 2, 3, 4, 5])
}

#[test]
fn a_blocked_pair_stays_present_through_indirect_probes_and_refutations() {
    assert_eq!((0..5).map(|seed| losses_of_a_blocked_pair(seed, Some)).sum::<usize>(), 0);
    // Without indirect probes, a suspect still refutes the suspicion: a member is lost only if both are missing.
    fn without_both(data: Vec<u8>) -> Option<Vec<u8>> {
        (!matches!(header(&data).message, Message::PingReq { .. }))
            .then(|| without_refutation(data))
            .flatten()
    }
    fn without_refutation(data: Vec<u8>) -> Option<Vec<u8>> {
        let original = header(&data);
        let mut buf = [0; 256];
        let changed_header = Header { src_incarnation: 0, ..original.clone() };
        let size = postcard::to_slice(&original, &mut buf).expect("room").len();
        let mut changed = postcard::to_slice(&changed_header, &mut buf).expect("room").to_vec();
        changed.extend_from_slice(&data[size..]);
        Some(changed)
    }
    assert!(
        (0..5).map(|seed| losses_of_a_blocked_pair(seed, without_both)).sum::<usize>() > 0,
        "indirect probes or refutations prevent it"
    );
    let lossy = |tamper| {
        let mut net = Net::converged(6, 1);
        (net.loss, net.tamper) = (0.3, tamper);
        net.run(ms(60_000));
        net.deaths(&[0, 1, 2, 3, 4, 5]) + net.renewals(&[0, 1, 2, 3, 4, 5])
    };
    assert_eq!(lossy(Some), 0);
    assert!(lossy(without_refutation) > 0, "refutations prevent it");
}

#[test]
fn a_roster_that_differs_for_ten_seconds_causes_no_death_and_no_renewal() {
    for seed in 0..5 {
        let mut net = Net::converged(5, seed);
        net.loss = 0.1;
        net.process(0).member.set_roster([1, 3, 4].map(MemberId));
        let entries = net.process(0).member.entry_count();
        net.run(ms(10_000));
        assert_eq!(net.state(0, 2), MemberState::Unknown, "seed {seed}");
        let present = |at: usize, of: usize| at == of || net.state(at, of).is_present();
        assert!((1..5).all(|i| present(i, 0) && present(i, 2)), "seed {seed}");
        assert!(net.process(0).member.entry_count() <= entries + 8, "no entries accumulate, seed {seed}");
        net.process(0).member.set_roster([1, 2, 3, 4].map(MemberId));
        let bound = net.settings.detection_bound();
        assert!(net.within(bound, |net| net.agree_on(&[0, 1, 2, 3, 4])), "seed {seed}");
        let all = [0, 1, 2, 3, 4];
        assert_eq!((net.deaths(&all), net.renewals(&all)), (0, 0), "seed {seed}");
    }
}

#[test]
fn a_member_that_answers_each_probe_late_causes_no_death() {
    for seed in 0..5 {
        let mut net = Net::converged(5, seed);
        for _ in 0..200 {
            net.stop(0);
            net.run(ms(300));
            net.resume(0);
            net.run(ms(1));
        }
        let all = [0, 1, 2, 3, 4];
        assert_eq!((net.deaths(&all), net.renewals(&all)), (0, 0), "seed {seed}");
        assert!(net.process(0).member.view().health_multiplier > 1, "it has detected its own lateness");
    }
}

#[test]
fn members_that_all_restart_at_once_join_as_new_instances() {
    let mut net = Net::converged(6, 2);
    (0..6).for_each(|i| net.kill(i));
    net.run(ms(100));
    (0..6).for_each(|i| net.start(i, 2_000_000));
    let bound = net.settings.detection_bound();
    assert!(net.within(bound, |net| net.agree_on(&[0, 1, 2, 3, 4, 5])));
    assert_eq!(net.renewals(&[0, 1, 2, 3, 4, 5]), 0, "no member remembers the previous instances");
}

/// One of five members is cut off in one direction for two minutes: it still receives datagrams but reaches no other
/// member (`receives`), or the reverse. Returns the number of deaths and renewals among the others.
fn losses_of_a_one_way_partition(receives: bool, seed: u64, self_suspicion: bool) -> usize {
    let mut net = Net::new(5, seed, Settings { self_suspicion, ..Settings::default() });
    let bound = net.settings.detection_bound();
    assert!(net.within(bound, |net| net.agree_on(&[0, 1, 2, 3, 4])), "all members join, seed {seed}");
    net.forget_changes();
    net.blocked.extend((1..5).map(|i| if receives { (0, i) } else { (i, 0) }));
    assert!(net.within(2 * bound, |net| net.agree_on(&[1, 2, 3, 4])), "the others agree, seed {seed}");
    net.run(ms(120_000));
    assert!(net.agree_on(&[1, 2, 3, 4]), "seed {seed}");
    for i in 1..5 {
        assert_eq!(net.process(i).changes.len(), 1, "each member reports one change, seed {seed}");
    }
    if self_suspicion {
        assert!((1..5).all(|i| net.state(0, i) == MemberState::Dead) && !net.majority(0), "seed {seed}");
        assert_eq!(
            net.process(0).changes.len(),
            4,
            "the isolated member reports each other one once, seed {seed}"
        );
    }
    net.blocked.clear();
    assert!(net.within(2 * bound, |net| net.agree_on(&[0, 1, 2, 3, 4])), "healed, seed {seed}");
    net.run(bound);
    net.renewals(&[1, 2, 3, 4]) + net.deaths(&[1, 2, 3, 4])
}

#[rstest]
fn a_one_way_partition_costs_the_others_nothing_but_would_without_self_suspicion(
    #[values(true, false)] receives: bool,
) {
    assert_eq!((0..20).map(|seed| losses_of_a_one_way_partition(receives, seed, true)).sum::<usize>(), 0);
    assert!(
        (0..5).map(|seed| losses_of_a_one_way_partition(receives, seed, false)).sum::<usize>() > 0,
        "self-suspicion prevents it"
    );
}

#[rstest]
fn sides_of_a_partition_know_the_minority_and_merge_to_one_view(#[values(3, 4)] first: usize) {
    for seed in 0..5 {
        let mut net = Net::converged(6, seed);
        let (a, b): (Vec<_>, Vec<_>) = (0..6).partition(|i| *i < first);
        let across = a.iter().flat_map(|x| b.iter().flat_map(move |y| [(*x, *y), (*y, *x)]));
        net.blocked.extend(across);
        let bound = net.settings.detection_bound();
        let partitioned = |net: &Net| net.agree_on(&a) && net.agree_on(&b);
        assert!(net.within(2 * bound, partitioned), "each side agrees on its own view, seed {seed}");
        for i in 0..6 {
            assert_eq!(net.majority(i), i < first && first > 3, "at {i}, seed {seed}");
        }
        net.run(ms(20_000));
        net.blocked.clear();
        assert!(net.within(2 * bound, |net| net.agree_on(&[0, 1, 2, 3, 4, 5])), "one view, seed {seed}");
        assert!((0..6).all(|i| net.majority(i)), "seed {seed}");
    }
}

#[test]
fn a_member_restarted_ten_times_is_not_declared_dead_for_an_earlier_instance() {
    for seed in 0..5 {
        let mut net = Net::converged(5, seed);
        for k in 1..=10 {
            net.kill(0);
            net.run(ms(200));
            net.start(0, 1_000_000 + 1_000 * k);
            net.run(ms(1_500));
        }
        let bound = net.settings.detection_bound();
        assert!(net.within(bound, |net| net.agree_on(&[0, 1, 2, 3, 4])), "seed {seed}");
        net.run(ms(60_000));
        assert!(net.agree_on(&[0, 1, 2, 3, 4]), "seed {seed}");
        assert_eq!(net.deaths(&[1, 2, 3, 4]), 0, "seed {seed}");
    }
}

#[test]
fn a_member_restarted_with_its_clock_an_hour_behind_rejoins() {
    for seed in 0..5 {
        let mut net = Net::new(4, seed, Settings::default());
        net.start(0, 10_000_000);
        net.run(ms(20_000));
        net.kill(0);
        net.run(ms(30_000));
        net.start(0, 10_000_000 - 3_600_000);
        let bound = net.settings.detection_bound();
        assert!(net.within(2 * bound, |net| net.agree_on(&[0, 1, 2, 3])), "seed {seed}");
    }
}

#[test]
fn a_leave_is_reported_as_a_leave_and_not_as_a_death() {
    for seed in 0..5 {
        let mut net = Net::converged(5, seed);
        net.loss = 0.1;
        let (now, mut out) = (net.now, Vec::new());
        net.process(0).member.leave(now, &mut out);
        assert!(out.iter().any(|o| matches!(o, Output::Send { .. })), "leave messages are sent");
        net.carry_out(0, out);
        net.run(ms(50));
        net.kill(0);
        let bound = net.settings.detection_bound();
        let recorded = |net: &Net| (1..5).all(|i| net.state(i, 0) == MemberState::Left);
        assert!(net.within(bound, recorded), "seed {seed}");
        net.run(bound);
        assert_eq!(net.deaths(&[0, 1, 2, 3, 4]), 0, "seed {seed}");
        assert!((1..5).all(|i| net.majority(i)), "a member that left is not expected, seed {seed}");
        // A new instance is admitted.
        net.start(0, 2_000_000);
        assert!(net.within(bound, |net| net.agree_on(&[0, 1, 2, 3, 4])), "seed {seed}");
    }
}

#[test]
fn any_one_live_member_is_enough_to_join() {
    let mut net = Net::new(8, 7, Settings::default());
    (0..7).for_each(|i| net.kill(i));
    net.run(ms(10_000));
    net.start(3, 1_000_000);
    let bound = net.settings.detection_bound();
    assert!(net.within(bound, |net| net.agree_on(&[3, 7])));
    assert!(!net.majority(3), "two of eight");
}

#[test]
fn datagrams_and_tables_stay_within_their_limits() {
    let settings = Settings { max_datagram_bytes: 256, ..Settings::default() };
    let mut net = Net::new(40, 1, settings);
    let all: Vec<_> = (0..40).collect();
    let bound = net.settings.detection_bound();
    assert!(net.within(3 * bound, |net| net.agree_on(&all)), "all members join with small datagrams");
    for k in 0..20 {
        net.kill(k);
        net.run(ms(1_000));
        net.start(k, 2_000_000);
    }
    net.run(ms(60_000));
    assert!(net.agree_on(&all));
    assert!(net.largest <= 256, "{}", net.largest);
    let max_entries = net.processes.iter().flatten().map(|p| p.member.entry_count()).max().unwrap_or(0);
    assert!(max_entries < 4 * 40, "{max_entries} entries");
}

#[test]
fn malformed_and_foreign_datagrams_change_nothing() {
    let mut net = Net::converged(4, 3);
    let (now, before) = (net.now, net.process(0).member.view());
    let roster = (0..9).map(MemberId);
    let mut stranger = LocalMember::new(net.settings, MemberInstance::new(MemberId(8), 5), roster, 5, now)
        .expect("settings");
    let mut forged = Vec::new();
    stranger.handle_timers(now, &mut forged);
    let mut datagrams: Vec<Vec<u8>> = vec![vec![], vec![0; 3], vec![255; 300], vec![7; 2_000]];
    datagrams.extend(forged.into_iter().filter_map(|o| match o {
        Output::Send { data, .. } => Some(data),
        _ => None,
    }));
    assert!(datagrams.len() > 4, "the stranger announces itself");
    let mut rng = fastrand::Rng::with_seed(9);
    datagrams.extend((0..2_000).map(|_| (0..rng.usize(..80)).map(|_| rng.u8(..4)).collect()));
    let mut out = Vec::new();
    for data in datagrams.iter().take(5) {
        net.process(0).member.receive(now, MemberId(1), data, &mut out);
    }
    assert!(out.is_empty() && net.process(0).member.view() == before, "{out:?}");
    for data in &datagrams {
        net.process(0).member.receive(now, MemberId(1), data, &mut out);
    }
    assert!(net.process(0).member.entry_count() < 100, "the tables stay bounded");
}
