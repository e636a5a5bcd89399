//! Whole networks: what each member holds of the others under each fault. Bounds are in the settings' own terms, never in
//! real time.

mod net;

use foca::{Header, Message};
use net::{ms, Net};
use rstest::rstest;
use wheellink_members::{LocalMember, MemberId, MemberInstance, MemberState, Output, Settings};

#[rstest]
fn a_death_is_noticed_by_all_in_time_and_nobody_else_is_held_gone(
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
        // Lost probes and news take rounds more.
        let bound = net.settings.detection_bound().mul_f64(1.0 + 2.0 * loss);
        assert!(net.within(bound, |net| net.agree_on(&rest)), "n {n} loss {loss} seed {seed}");
        assert_eq!(net.deaths(&rest), 0, "n {n} loss {loss} seed {seed}");
    }
}

#[rstest]
fn one_that_was_stopped_accuses_nobody_and_is_back_by_itself(#[values(2_000, 10_000, 60_000)] stopped: u64) {
    for seed in 0..5 {
        let mut net = Net::converged(6, seed);
        net.stop(0);
        net.run(ms(stopped));
        net.resume(0);
        let bound = net.settings.detection_bound();
        assert!(net.within(bound, |net| net.agree_on(&[0, 1, 2, 3, 4, 5])), "seed {seed}");
        net.run(ms(20_000));
        assert!(net.agree_on(&[0, 1, 2, 3, 4, 5]), "seed {seed}");
        assert!(net.process(0).changes.is_empty(), "it held nobody for gone, seed {seed}");
        let others = [1, 2, 3, 4, 5];
        assert_eq!(
            (net.deaths(&others), net.renewals(&others)),
            (0, 0),
            "only it was held gone, seed {seed}"
        );
    }
}

/// Deaths after all were stopped at once and let go.
fn deaths_after_all_stopped(seed: u64, doubt: bool) -> usize {
    let settings = Settings { self_suspicion: doubt, ..Settings::default() };
    let mut net = Net::new(6, seed, settings);
    net.loss = 0.3;
    net.run(ms(20_000));
    net.forget_changes();
    // Somebody is just suspected, as happens often on such links, and has not heard of it yet.
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
    // They are let go over a second, as a machine that wakes does.
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
fn all_that_were_stopped_at_once_hold_nobody_for_gone_but_would_without_doubt() {
    assert_eq!((0..20).map(|seed| deaths_after_all_stopped(seed, true)).sum::<usize>(), 0);
    assert!(
        (0..20).map(|seed| deaths_after_all_stopped(seed, false)).sum::<usize>() > 0,
        "the doubt does it"
    );
}

/// What the header of a datagram says.
fn header(data: &[u8]) -> Header<MemberInstance> {
    postcard::take_from_bytes(data).expect("a header").0
}

/// Deaths and new lives of a minute in which two of six cannot hear each other.
fn lost_by_a_cut_between_two(seed: u64, tamper: fn(Vec<u8>) -> Option<Vec<u8>>) -> usize {
    let mut net = Net::converged(6, seed);
    net.tamper = tamper;
    net.cut.extend([(0, 1), (1, 0)]);
    net.run(ms(60_000));
    net.deaths(&[0, 1, 2, 3, 4, 5]) + net.renewals(&[0, 1, 2, 3, 4, 5])
}

#[test]
fn two_that_cannot_hear_each_other_stay_there_but_would_not_without_help_or_a_word_of_their_own() {
    assert_eq!((0..5).map(|seed| lost_by_a_cut_between_two(seed, Some)).sum::<usize>(), 0);
    // Where nobody asks for another, a suspect still speaks for itself: it takes both faults to lose one.
    fn helpless(data: Vec<u8>) -> Option<Vec<u8>> {
        (!matches!(header(&data).message, Message::PingReq { .. })).then(|| speechless(data)).flatten()
    }
    fn speechless(data: Vec<u8>) -> Option<Vec<u8>> {
        let read = header(&data);
        let mut buf = [0; 256];
        let said = Header { src_incarnation: 0, ..read.clone() };
        let size = postcard::to_slice(&read, &mut buf).expect("room").len();
        let mut changed = postcard::to_slice(&said, &mut buf).expect("room").to_vec();
        changed.extend_from_slice(&data[size..]);
        Some(changed)
    }
    assert!(
        (0..5).map(|seed| lost_by_a_cut_between_two(seed, helpless)).sum::<usize>() > 0,
        "the help does it"
    );
    let lossy = |tamper| {
        let mut net = Net::converged(6, 1);
        (net.loss, net.tamper) = (0.3, tamper);
        net.run(ms(60_000));
        net.deaths(&[0, 1, 2, 3, 4, 5]) + net.renewals(&[0, 1, 2, 3, 4, 5])
    };
    assert_eq!(lossy(Some), 0);
    assert!(lossy(speechless) > 0, "the word of a suspect does it");
}

#[test]
fn a_list_that_differs_for_ten_seconds_costs_nobody_a_life() {
    for seed in 0..5 {
        let mut net = Net::converged(5, seed);
        net.loss = 0.1;
        net.process(0).members.set_roster([1, 3, 4].map(MemberId));
        let held = net.process(0).members.entry_count();
        net.run(ms(10_000));
        assert_eq!(net.state(0, 2), MemberState::Unknown, "seed {seed}");
        let there = |at: usize, of: usize| at == of || net.state(at, of).is_present();
        assert!((1..5).all(|i| there(i, 0) && there(i, 2)), "seed {seed}");
        assert!(net.process(0).members.entry_count() <= held + 8, "nothing gathers, seed {seed}");
        net.process(0).members.set_roster([1, 2, 3, 4].map(MemberId));
        let bound = net.settings.detection_bound();
        assert!(net.within(bound, |net| net.agree_on(&[0, 1, 2, 3, 4])), "seed {seed}");
        let all = [0, 1, 2, 3, 4];
        assert_eq!((net.deaths(&all), net.renewals(&all)), (0, 0), "seed {seed}");
    }
}

#[test]
fn one_that_answers_each_probe_late_accuses_nobody_and_is_not_held_gone() {
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
        assert!(net.process(0).members.view().health_multiplier > 1, "it knows that it is late");
    }
}

#[test]
fn all_that_start_anew_at_once_meet_as_other_lives() {
    let mut net = Net::converged(6, 2);
    (0..6).for_each(|i| net.kill(i));
    net.run(ms(100));
    (0..6).for_each(|i| net.start(i, 2_000_000));
    let bound = net.settings.detection_bound();
    assert!(net.within(bound, |net| net.agree_on(&[0, 1, 2, 3, 4, 5])));
    assert_eq!(net.renewals(&[0, 1, 2, 3, 4, 5]), 0, "nobody remembers the others");
}

/// One of five hears nobody, or is heard by nobody, for a while: what that cost the others.
fn cut_one_way(hears: bool, seed: u64, doubt: bool) -> usize {
    let mut net = Net::new(5, seed, Settings { self_suspicion: doubt, ..Settings::default() });
    let bound = net.settings.detection_bound();
    assert!(net.within(bound, |net| net.agree_on(&[0, 1, 2, 3, 4])), "all meet, seed {seed}");
    net.forget_changes();
    net.cut.extend((1..5).map(|i| if hears { (0, i) } else { (i, 0) }));
    assert!(net.within(2 * bound, |net| net.agree_on(&[1, 2, 3, 4])), "the others agree, seed {seed}");
    net.run(ms(120_000));
    assert!(net.agree_on(&[1, 2, 3, 4]), "seed {seed}");
    for i in 1..5 {
        assert_eq!(net.process(i).changes.len(), 1, "one change a fault and member, seed {seed}");
    }
    if doubt {
        assert!((1..5).all(|i| net.state(0, i) == MemberState::Dead) && !net.majority(0), "seed {seed}");
        assert_eq!(net.process(0).changes.len(), 4, "it settles as well, seed {seed}");
    }
    net.cut.clear();
    assert!(net.within(2 * bound, |net| net.agree_on(&[0, 1, 2, 3, 4])), "healed, seed {seed}");
    net.run(bound);
    net.renewals(&[1, 2, 3, 4]) + net.deaths(&[1, 2, 3, 4])
}

#[rstest]
fn one_that_is_cut_one_way_costs_the_others_nothing_but_would_without_doubt(
    #[values(true, false)] hears: bool,
) {
    assert_eq!((0..20).map(|seed| cut_one_way(hears, seed, true)).sum::<usize>(), 0);
    assert!((0..5).map(|seed| cut_one_way(hears, seed, false)).sum::<usize>() > 0, "the doubt does it");
}

#[rstest]
fn halves_know_who_is_a_minority_and_heal_to_one_view(#[values(3, 4)] first: usize) {
    for seed in 0..5 {
        let mut net = Net::converged(6, seed);
        let (a, b): (Vec<_>, Vec<_>) = (0..6).partition(|i| *i < first);
        let across = a.iter().flat_map(|x| b.iter().flat_map(move |y| [(*x, *y), (*y, *x)]));
        net.cut.extend(across);
        let bound = net.settings.detection_bound();
        let parted = |net: &Net| net.agree_on(&a) && net.agree_on(&b);
        assert!(net.within(2 * bound, parted), "each its own view, seed {seed}");
        for i in 0..6 {
            assert_eq!(net.majority(i), i < first && first > 3, "at {i}, seed {seed}");
        }
        net.run(ms(20_000));
        net.cut.clear();
        assert!(net.within(2 * bound, |net| net.agree_on(&[0, 1, 2, 3, 4, 5])), "one view, seed {seed}");
        assert!((0..6).all(|i| net.majority(i)), "seed {seed}");
    }
}

#[test]
fn one_killed_and_back_ten_times_over_never_inherits_its_own_death() {
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
fn one_that_is_back_with_its_clock_an_hour_behind_gets_in() {
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
fn a_leave_is_told_as_one_and_not_as_a_death() {
    for seed in 0..5 {
        let mut net = Net::converged(5, seed);
        net.loss = 0.1;
        let (now, mut out) = (net.now, Vec::new());
        net.process(0).members.leave(now, &mut out);
        assert!(out.iter().any(|o| matches!(o, Output::Send { .. })), "it says so");
        net.carry_out(0, out);
        net.run(ms(50));
        net.kill(0);
        let bound = net.settings.detection_bound();
        let told = |net: &Net| (1..5).all(|i| net.state(i, 0) == MemberState::Left);
        assert!(net.within(bound, told), "seed {seed}");
        net.run(bound);
        assert_eq!(net.deaths(&[0, 1, 2, 3, 4]), 0, "seed {seed}");
        assert!((1..5).all(|i| net.majority(i)), "who left is not missed, seed {seed}");
        // Started anew it is welcome.
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
fn datagrams_keep_the_limit_and_tables_their_bound() {
    let settings = Settings { max_datagram_bytes: 256, ..Settings::default() };
    let mut net = Net::new(40, 1, settings);
    let all: Vec<_> = (0..40).collect();
    let bound = net.settings.detection_bound();
    assert!(net.within(3 * bound, |net| net.agree_on(&all)), "all meet in small datagrams");
    for k in 0..20 {
        net.kill(k);
        net.run(ms(1_000));
        net.start(k, 2_000_000);
    }
    net.run(ms(60_000));
    assert!(net.agree_on(&all));
    assert!(net.largest <= 256, "{}", net.largest);
    let most = net.processes.iter().flatten().map(|p| p.members.entry_count()).max().unwrap_or(0);
    assert!(most < 4 * 40, "{most} entries");
}

#[test]
fn what_is_no_datagram_of_the_roster_changes_nothing() {
    let mut net = Net::converged(4, 3);
    let (now, before) = (net.now, net.process(0).members.view());
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
    assert!(datagrams.len() > 4, "the stranger asks to be let in");
    let mut rng = fastrand::Rng::with_seed(9);
    datagrams.extend((0..2_000).map(|_| (0..rng.usize(..80)).map(|_| rng.u8(..4)).collect()));
    let mut out = Vec::new();
    for data in datagrams.iter().take(5) {
        net.process(0).members.handle_datagram(now, MemberId(1), data, &mut out);
    }
    assert!(out.is_empty() && net.process(0).members.view() == before, "{out:?}");
    for data in &datagrams {
        net.process(0).members.handle_datagram(now, MemberId(1), data, &mut out);
    }
    assert!(net.process(0).members.entry_count() < 100, "however many");
}
