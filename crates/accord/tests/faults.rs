//! Histories with faults: the guarantees hold throughout, and changes come into force once the fault is over.

mod net;

use std::collections::BTreeSet;
use std::time::Duration;

use net::*;
use wheellink_accord::*;

fn attempts(value: i64) -> impl FnOnce(&mut Change) {
    move |change| {
        change.set.insert(key("class/a/attempts"), Value::Int(value));
    }
}

fn obeyed_attempts(net: &Net, name: u32) -> Option<Value> {
    match net.acting(MemberId(name)) {
        ActiveTerms::Single(_, terms) => terms.get(&key("class/a/attempts")).cloned(),
        _ => None,
    }
}

#[track_caller]
fn assert_guarantees(net: &Net) {
    assert!(net.violations.is_empty(), "{:#?}\n{:#?}", net.violations, net.logs);
    let bound = net.settings.bound().as_micros() as u64;
    assert!(net.longest_us <= bound, "contradiction for {} of {bound} us\n{:#?}", net.longest_us, net.logs);
}

#[test]
fn a_change_comes_into_force_on_all_members() {
    let mut net = Net::new(5, 3, 1);
    net.wait_for_start();
    let id = net.propose(MemberId(5), attempts(2)).unwrap();
    assert!(net.run_until(30_000, |net| net.agreed().is_some_and(|v| v.number == 2)), "{:#?}", net.logs);
    assert_eq!(obeyed_attempts(&net, 4), Some(Value::Int(2)));
    assert!(matches!(&net.settled[..], [(MemberId(5), done, Ok(Version { number: 2, .. }))] if *done == id));
    assert_guarantees(&net);
}

#[test]
fn random_histories_keep_the_bound_and_end_in_agreement() {
    let seeds: u64 = std::env::var("SEEDS").ok().and_then(|seeds| seeds.parse().ok()).unwrap_or(60);
    for seed in 0..seeds {
        let (net, agreed) = random_history(seed, 4, Default::default());
        let bound = net.settings.bound().as_micros() as u64;
        assert!(net.violations.is_empty(), "seed {seed}: {:#?}\n{:#?}", net.violations, net.logs);
        assert!(net.longest_us <= bound, "seed {seed}: {} of {bound} us\n{:#?}", net.longest_us, net.logs);
        assert!(agreed, "seed {seed}: not agreed after 120 s\n{:#?}", net.logs);
    }
}

#[test]
fn random_histories_with_changes_of_voters_keep_the_bound_and_end_in_agreement() {
    let seeds: u64 = std::env::var("SEEDS").ok().and_then(|seeds| seeds.parse().ok()).unwrap_or(30);
    let (mut lists, mut longest) = (BTreeSet::new(), 0);
    for seed in 0..seeds {
        let (net, agreed) = random_history_with_spares(seed, 4, Default::default(), 1 + seed as u32 % 3);
        let bound = net.settings.bound().as_micros() as u64;
        assert!(net.violations.is_empty(), "seed {seed}: {:#?}\n{:#?}", net.violations, net.logs);
        assert!(net.longest_us <= bound, "seed {seed}: {} of {bound} us\n{:#?}", net.longest_us, net.logs);
        assert!(agreed, "seed {seed}: not agreed after 120 s\n{:#?}", net.logs);
        let list = listed(&net, 1);
        assert!((1..=net.members.len() as u32).all(|n| listed(&net, n) == list), "seed {seed}: one list");
        if list.len() > 3 || list != [1, 2, 3] {
            lists.insert((seed, list));
        }
        longest = longest.max(net.longest_us);
    }
    println!("{} of {seeds} ended with another list; at most {longest} us of contradiction", lists.len());
    assert!(lists.len() as u64 > seeds / 4, "too few changed their voters to show anything");
}

/// Runs until all members act on this version.
#[track_caller]
fn run_until_in_force(net: &mut Net, number: u64) {
    let done = net.run_until(60_000, |net| net.agreed().is_some_and(|v| v.number == number));
    assert!(done, "{number} is not in force: {:#?}", net.logs);
}

#[test]
fn of_two_concurrent_proposals_one_is_refused() {
    for seed in 0..8 {
        let mut net = Net::new(5, 3, seed);
        net.wait_for_start();
        net.propose(MemberId(4), attempts(2)).unwrap();
        net.propose(MemberId(5), attempts(5)).unwrap();
        run_until_in_force(&mut net, 2);
        assert!(net.run_until(60_000, |net| net.settled.len() == 2), "{:?}\n{:#?}", net.settled, net.logs);
        let (good, bad): (Vec<_>, Vec<_>) = net.settled.iter().partition(|(.., result)| result.is_ok());
        assert!(
            matches!(bad[..], [(_, _, Err(ProposalError::Busy(_) | ProposalError::StaleBase(_)))]),
            "seed {seed}: {bad:?}"
        );
        let won = if good[0].0 == MemberId(4) { 2 } else { 5 };
        assert_eq!(obeyed_attempts(&net, 1), Some(Value::Int(won)), "seed {seed}");
        assert!(matches!(net.propose(MemberId(1), |c| c.base = 1), Err(ProposalError::StaleBase(_))));
        assert_guarantees(&net);
    }
}

#[test]
fn a_version_whose_proposer_is_killed_is_finished_or_withdrawn() {
    // Voter 1 has the highest rank and drives the rounds. It is killed at ever later steps.
    for (seed, millis) in (0..24).map(|at| (at, at * 25)) {
        let mut net = Net::new(5, 3, seed);
        net.wait_for_start();
        net.propose(MemberId(1), attempts(2)).unwrap();
        net.run(millis);
        net.kill(MemberId(1));
        let still = |net: &Net| {
            net.members[1..].iter().all(|one| one.accord.status(Duration::ZERO).pending.is_none())
        };
        assert!(
            net.run_until(90_000, |net| still(net) && net.agreed().is_some()),
            "killed at {millis} ms: {:#?}",
            net.logs
        );
        assert_guarantees(&net);
    }
}

#[test]
fn a_member_that_is_cut_off_obeys_the_floor_and_recovers_by_itself() {
    let mut net = Net::new(5, 3, 3);
    net.wait_for_start();
    net.cut(&[2, 5], &[1, 3, 4], true);
    net.run(4_000);
    for name in [2, 5] {
        assert!(
            matches!(net.acting(MemberId(name)), ActiveTerms::Floor(floor) if floor.get(&key("class/a/attempts")) == Some(&Value::Int(1)))
        );
        assert!(matches!(net.propose(MemberId(name), attempts(2)), Err(ProposalError::Unavailable(_))));
    }
    net.propose(MemberId(4), attempts(2)).unwrap();
    assert!(net.run_until(30_000, |net| obeyed_attempts(net, 4) == Some(Value::Int(2))));
    assert_guarantees(&net);
    net.cuts.clear();
    run_until_in_force(&mut net, 2);
    assert_guarantees(&net);
}

#[test]
fn a_paused_member_does_not_act_on_an_expired_lease() {
    let mut net = Net::new(4, 3, 4);
    net.wait_for_start();
    net.pause(MemberId(4), true);
    net.propose(MemberId(1), attempts(2)).unwrap();
    net.run(20_000);
    assert_eq!(obeyed_attempts(&net, 1), Some(Value::Int(2)));
    net.pause(MemberId(4), false);
    // No call was made yet, so only the clock ends the lease.
    assert!(matches!(net.acting(MemberId(4)), ActiveTerms::Floor(_)));
    run_until_in_force(&mut net, 2);
    assert_guarantees(&net);
}

#[test]
fn voters_that_all_lose_their_state_bootstrap_with_the_newest_remaining_document() {
    for seed in 0..8 {
        let mut net = Net::new(5, 3, seed);
        net.wait_for_start();
        net.propose(MemberId(5), attempts(2)).unwrap();
        run_until_in_force(&mut net, 2);
        let digest = net.agreed().unwrap().digest;
        (1..=3).for_each(|name| net.kill(MemberId(name)));
        net.run(600);
        (1..=3).for_each(|name| net.restart(MemberId(name)));
        assert!(net.run_until(60_000, |net| net.agreed().is_some()), "seed {seed}: {:#?}", net.logs);
        assert_eq!(net.agreed().unwrap().digest, digest, "seed {seed}");
        assert!(net.agreed().unwrap().number > 2, "never the number of what may have been lost");
        assert_guarantees(&net);
    }
}

/// After a restart on a clock that was set back, a voter's incarnation seems older than the one its peers
/// know.
#[test]
fn voters_that_restart_on_clocks_that_were_set_back_vote_again() {
    for seed in 0..8 {
        let mut net = Net::new(5, 3, seed);
        net.wait_for_start();
        net.propose(MemberId(5), attempts(2)).unwrap();
        run_until_in_force(&mut net, 2);
        for name in 1..=3 {
            net.kill(MemberId(name));
            net.restart_set_back(MemberId(name));
            net.run(200);
        }
        assert!(net.run_until(60_000, |net| net.agreed().is_some()), "seed {seed}: {:#?}", net.logs);
        net.propose(MemberId(4), attempts(3)).unwrap();
        assert!(
            net.run_until(60_000, |net| obeyed_attempts(net, 1) == Some(Value::Int(3))),
            "seed {seed}: {:#?}",
            net.logs
        );
        assert_guarantees(&net);
    }
}

#[test]
fn a_voter_without_state_and_a_third_one_bootstrap_when_another_is_dead() {
    let mut net = Net::new(4, 3, 5);
    net.wait_for_start();
    net.kill(MemberId(3));
    net.run(1_000);
    net.kill(MemberId(2));
    net.restart(MemberId(2));
    assert!(net.run_until(60_000, |net| net.agreed().is_some()), "{:#?}", net.logs);
    net.propose(MemberId(4), attempts(2)).unwrap();
    assert!(net.run_until(60_000, |net| obeyed_attempts(net, 1) == Some(Value::Int(2))), "{:#?}", net.logs);
    assert_guarantees(&net);
}

#[test]
fn a_version_waits_for_a_refusing_member_until_withdrawn_or_proceeds_without_it() {
    let mut net = Net::new(5, 3, 6);
    net.wait_for_start();
    net.members[4].unknown = Some(key("list/l/new"));
    let with = |change: &mut Change| {
        change.set.insert(key("list/l/new"), Value::Flag(true));
    };
    net.propose(MemberId(1), with).unwrap();
    net.run(20_000);
    assert_eq!(net.agreed().map(|version| version.number), Some(1), "{:#?}", net.logs);
    assert_eq!(net.view(MemberId(1)).refused, [(MemberId(5), Refusal::Unknown("list/l/new".into()))]);
    net.withdraw(MemberId(2));
    assert!(net.run_until(30_000, |net| net.settled.len() == 1), "{:#?}", net.logs);
    assert!(matches!(net.settled[0].2, Err(ProposalError::Withdrawn)));
    net.propose(MemberId(1), |change| drop(change.set.insert(key("accord/refused"), text("go_on")))).unwrap();
    run_until_in_force(&mut net, 2);
    net.propose(MemberId(1), with).unwrap();
    assert!(
        net.run_until(60_000, |net| net.settled.len() == 3 && net.view(MemberId(1)).known.number == 3),
        "{:#?}",
        net.logs
    );
    net.run(10_000);
    assert!(matches!(net.acting(MemberId(5)), ActiveTerms::Floor(_)), "it is left on the floor");
    assert!(matches!(net.acting(MemberId(4)), ActiveTerms::Single(Version { number: 3, .. }, _)));
    assert_guarantees(&net);
}

#[test]
fn no_version_is_stricter_than_the_floor_and_a_stricter_floor_needs_every_file() {
    let mut loose = settings(4, 3);
    loose.floor.set(key("limit/x"), Value::Int(50));
    loose.floor.seal();
    let mut net = Net::with(loose, 7, Default::default());
    net.wait_for_start();
    let refused = net.propose(MemberId(1), |change| drop(change.set.insert(key("limit/x"), Value::Int(9))));
    assert_eq!(refused, Err(ProposalError::Change(ChangeError::StricterThanFloor(key("limit/x")))));
    let unsaid = net.propose(MemberId(1), |change| drop(change.set.insert(key("limit/y"), Value::Int(9))));
    assert_eq!(unsaid, Err(ProposalError::Change(ChangeError::StricterThanFloor(key("limit/y")))));
    // The document's floor must not be stricter than the floor of a file.
    net.propose(MemberId(1), |change| drop(change.set.insert(key("floor/limit/x"), Value::Int(9)))).unwrap();
    net.run(20_000);
    assert_eq!(net.agreed().map(|version| version.number), Some(1));
    assert!(net.view(MemberId(1)).refused.contains(&(MemberId(4), Refusal::Floor("limit/x".into()))));
    net.withdraw(MemberId(1));
    assert!(net.run_until(30_000, |net| net.settled.len() == 1));
    // Members get new files one by one. One member is still cut off, so the stricter floor waits for it.
    net.settings.floor.set(key("limit/x"), Value::Int(0));
    net.settings.floor.seal();
    for name in 1..=4 {
        net.restart(MemberId(name));
        net.run(12_000);
    }
    run_until_in_force(&mut net, 1);
    net.cut(&[4], &[1, 2, 3], true);
    net.run(5_000);
    net.propose(MemberId(1), |change| drop(change.set.insert(key("floor/limit/x"), Value::Int(0)))).unwrap();
    net.run(30_000);
    assert!(
        matches!(net.acting(MemberId(1)), ActiveTerms::Single(Version { number: 1, .. }, _)),
        "{:#?}",
        net.logs
    );
    net.cuts.clear();
    run_until_in_force(&mut net, 2);
    net.propose(MemberId(1), |change| drop(change.set.insert(key("limit/x"), Value::Int(9)))).unwrap();
    run_until_in_force(&mut net, 3);
    assert_guarantees(&net);
}

fn voters(set: &[u32], drop: &[u32]) -> impl FnOnce(&mut Change) {
    let (set, drop) = (set.to_vec(), drop.to_vec());
    move |change| {
        change.set.extend(set.iter().map(|name| (key(&format!("voter/{name}")), Value::Flag(true))));
        change.drop.extend(drop.iter().map(|name| key(&format!("voter/{name}"))));
    }
}

/// Five of six members may vote, and three do.
fn net_with_eligible_voters(seed: u64) -> Net {
    let mut settings = settings(6, 3);
    settings.eligible_voters = (1..=5).map(MemberId).collect();
    Net::with(settings, seed, Default::default())
}

fn listed(net: &Net, name: u32) -> Vec<u32> {
    net.view(MemberId(name)).voters.iter().map(|(name, _)| name.0).collect()
}

#[test]
fn a_dead_voter_is_replaced_and_then_another_may_die() {
    for seed in 0..6 {
        let mut net = net_with_eligible_voters(seed);
        net.wait_for_start();
        net.kill(MemberId(1));
        net.run(8_000);
        net.propose(MemberId(6), voters(&[4], &[1])).unwrap();
        run_until_in_force(&mut net, 2);
        assert_eq!((listed(&net, 2), listed(&net, 6)), (vec![2, 3, 4], vec![2, 3, 4]), "seed {seed}");
        net.kill(MemberId(2));
        net.run(8_000);
        net.propose(MemberId(5), attempts(2)).unwrap();
        run_until_in_force(&mut net, 3);
        assert_guarantees(&net);
        // The removed voter restarts with its old file and learns the current voters from others.
        net.restart(MemberId(1));
        run_until_in_force(&mut net, 3);
        assert_eq!((listed(&net, 1), net.view(MemberId(1)).role), (vec![2, 3, 4], Role::Activator));
        assert_guarantees(&net);
    }
}

#[test]
fn a_change_of_all_voters_puts_no_member_on_the_floor() {
    let mut net = net_with_eligible_voters(1);
    net.settings.eligible_voters = (1..=6).map(MemberId).collect();
    (1..=6).for_each(|name| net.restart(MemberId(name)));
    net.wait_for_start();
    net.propose(MemberId(1), voters(&[4, 5, 6], &[1, 2, 3])).unwrap();
    let mut fell = 0;
    while net.agreed().is_none_or(|version| version.number != 2) {
        net.run(50);
        fell += (1..=6).filter(|name| matches!(net.acting(MemberId(*name)), ActiveTerms::Floor(_))).count();
        assert!(net.now < 120_000_000, "{:#?}", net.logs);
    }
    assert_eq!((fell, listed(&net, 1)), (0, vec![4, 5, 6]));
    // The old voters are no longer needed.
    (1..=3).for_each(|name| net.kill(MemberId(name)));
    net.run(8_000);
    net.propose(MemberId(5), attempts(2)).unwrap();
    run_until_in_force(&mut net, 3);
    assert_guarantees(&net);
}

#[test]
fn a_member_that_was_cut_off_during_a_change_of_voters_finds_the_new_voters() {
    let mut net = net_with_eligible_voters(2);
    net.settings.eligible_voters = (1..=6).map(MemberId).collect();
    net.settings.roster = (1..=6).map(MemberId).collect();
    (1..=6).for_each(|name| net.restart(MemberId(name)));
    net.wait_for_start();
    net.cut(&[6], &[1, 2, 3, 4, 5], true);
    net.run(6_000);
    net.propose(MemberId(5), voters(&[4, 5], &[1, 2])).unwrap();
    assert!(net.run_until(60_000, |net| listed(net, 3) == [3, 4, 5]), "{:#?}", net.logs);
    // Member 6 knows voters 1 to 3. Only voter 3 is left of them, and cannot be reached.
    (1..=2).for_each(|name| net.kill(MemberId(name)));
    net.cuts.clear();
    net.cut(&[6], &[1, 2, 3], true);
    assert!(net.run_until(60_000, |net| listed(net, 6) == [3, 4, 5]), "{:#?}", net.logs);
    run_until_in_force(&mut net, 2);
    assert_guarantees(&net);
}

#[test]
fn a_voter_killed_while_it_removes_itself_leaves_one_list() {
    for (seed, millis) in (0..16).map(|at| (at, at * 150)) {
        let mut net = net_with_eligible_voters(seed);
        net.wait_for_start();
        net.propose(MemberId(1), voters(&[4, 5], &[1])).unwrap();
        net.run(millis);
        net.kill(MemberId(1));
        let still = |net: &Net| {
            net.members[1..].iter().all(|one| one.accord.status(Duration::ZERO).pending.is_none())
        };
        assert!(
            net.run_until(90_000, |net| still(net) && net.agreed().is_some()),
            "killed at {millis} ms: {:#?}",
            net.logs
        );
        let lists: Vec<Vec<u32>> = (2..=6).map(|name| listed(&net, name)).collect();
        assert!(lists.iter().all(|list| *list == lists[0]), "{lists:?}");
        assert!([vec![1, 2, 3], vec![2, 3, 4, 5]].contains(&lists[0]));
        assert_guarantees(&net);
    }
}

#[test]
fn voters_that_all_restart_with_old_files_find_the_newest_list() {
    for seed in 0..6 {
        let mut net = net_with_eligible_voters(seed);
        net.wait_for_start();
        net.propose(MemberId(2), voters(&[4, 5], &[1, 2])).unwrap();
        run_until_in_force(&mut net, 2);
        // The files still name voters 1 to 3. Only member 6, which has no vote, knows the current list.
        (1..=5).for_each(|name| net.kill(MemberId(name)));
        net.run(600);
        (1..=5).for_each(|name| net.restart(MemberId(name)));
        assert!(net.run_until(90_000, |net| net.agreed().is_some()), "seed {seed}: {:#?}", net.logs);
        assert_eq!(listed(&net, 1), [3, 4, 5], "seed {seed}: {:#?}", net.logs);
        assert_guarantees(&net);
    }
}

#[test]
fn old_voters_alone_do_not_bootstrap_while_new_ones_vote() {
    for seed in 0..6 {
        let mut net = net_with_eligible_voters(seed);
        net.wait_for_start();
        net.propose(MemberId(2), voters(&[4, 5], &[1, 2])).unwrap();
        run_until_in_force(&mut net, 2);
        // A majority of the list in the files restarts without state and reaches no other member.
        net.cut(&[1, 2], &[3, 4, 5, 6], true);
        for name in [1, 2] {
            net.kill(MemberId(name));
            net.restart(MemberId(name));
        }
        net.propose(MemberId(6), attempts(2)).unwrap();
        net.run(40_000);
        assert!(matches!(net.acting(MemberId(1)), ActiveTerms::Floor(_)), "{:#?}", net.logs);
        assert_eq!(obeyed_attempts(&net, 6), Some(Value::Int(2)));
        assert_guarantees(&net);
        net.cuts.clear();
        run_until_in_force(&mut net, 3);
        assert_guarantees(&net);
    }
}

#[test]
fn a_bootstrap_does_not_wait_for_members_declared_gone() {
    for declared in [false, true] {
        let mut net = net_with_eligible_voters(5);
        net.settings.eligible_voters = (1..=4).map(MemberId).collect();
        (1..=6).for_each(|name| net.restart(MemberId(name)));
        net.wait_for_start();
        net.kill(MemberId(1));
        net.run(8_000);
        net.propose(MemberId(6), |change| {
            voters(&[4], &[1])(change);
            if declared {
                change.set.insert(key("gone/1"), Value::Flag(true));
            }
        })
        .unwrap();
        run_until_in_force(&mut net, 2);
        // Of voters 2, 3 and 4, one is killed for good and one loses its state.
        net.kill(MemberId(2));
        net.kill(MemberId(3));
        net.restart(MemberId(3));
        net.run(60_000);
        assert_eq!(net.agreed().is_some(), declared, "{:#?}", net.logs);
        assert_guarantees(&net);
    }
}

#[test]
fn an_invalid_list_of_voters_is_refused_with_its_reason() {
    let mut net = net_with_eligible_voters(3);
    net.wait_for_start();
    let refused = |net: &mut Net, set: &[u32], drop: &[u32]| match net.propose(MemberId(1), voters(set, drop))
    {
        Err(ProposalError::Voters(why)) => why,
        other => panic!("{other:?}"),
    };
    assert!(refused(&mut net, &[7], &[]).contains("voter/7: no such member is on the roster"));
    assert!(refused(&mut net, &[6], &[1]).contains("voter/6: it is not among accord.may_vote"));
    assert!(refused(&mut net, &[], &[1]).contains("2 names, at least 3 are required"));
    assert!(refused(&mut net, &[], &[1, 2, 3]).contains("at least one voter must remain"));
    let with_gone = net.propose(MemberId(1), |change| {
        voters(&[4], &[])(change);
        change.set.insert(key("gone/4"), Value::Flag(true));
    });
    assert!(matches!(with_gone, Err(ProposalError::Voters(why)) if why.contains("gone/4 says")));
    net.propose(MemberId(1), voters(&[4], &[])).unwrap();
    run_until_in_force(&mut net, 2);
    assert_eq!(listed(&net, 6), [1, 2, 3, 4], "an even number is no error");
    // The list of the settings files is never used again.
    assert!(refused(&mut net, &[], &[1, 2, 3, 4]).contains("at least one voter must remain"));
    // The second of two changes of voters is refused because of the first.
    net.propose(MemberId(1), voters(&[5], &[1])).unwrap();
    assert!(net.run_until(30_000, |net| net.view(MemberId(6)).pending.is_some()));
    let busy = net.propose(MemberId(6), voters(&[5], &[2]));
    assert!(matches!(busy, Err(ProposalError::Busy(_) | ProposalError::StaleBase(_))), "{busy:?}");
    run_until_in_force(&mut net, 3);
    assert_eq!(listed(&net, 2), [2, 3, 4, 5]);
    assert_guarantees(&net);
}

#[test]
fn a_list_with_a_dead_majority_is_not_joined_and_can_be_withdrawn() {
    let mut net = net_with_eligible_voters(4);
    net.wait_for_start();
    net.kill(MemberId(4));
    net.kill(MemberId(5));
    net.propose(MemberId(6), voters(&[4, 5], &[1, 2])).unwrap();
    // The version is withdrawn automatically after twice the preparation timeout.
    net.run(15_000);
    assert!(net.view(MemberId(6)).pending.is_some());
    assert!(net.run_until(30_000, |net| net.view(MemberId(6)).pending.is_none()), "{:#?}", net.logs);
    assert!(
        matches!(net.settled[..], [(MemberId(6), _, Err(ProposalError::Withdrawn))]),
        "{:?}",
        net.settled
    );
    net.propose(MemberId(6), voters(&[4, 5], &[1, 2])).unwrap();
    net.run(10_000);
    assert_eq!(net.agreed().map(|version| version.number), Some(1), "{:#?}", net.logs);
    let view = net.view(MemberId(6));
    let to_come: Vec<u32> = view.next_voters.unwrap().iter().map(|(name, _)| name.0).collect();
    assert_eq!((view.pending.map(|(_, both)| both), to_come), (Some(false), vec![3, 4, 5]));
    net.withdraw(MemberId(6));
    assert!(net.run_until(30_000, |net| net.view(MemberId(6)).pending.is_none()), "{:#?}", net.logs);
    net.propose(MemberId(6), attempts(2)).unwrap();
    run_until_in_force(&mut net, 2);
    assert_eq!(listed(&net, 6), [1, 2, 3]);
    assert_guarantees(&net);
}

#[test]
fn a_list_of_100_000_entries_reaches_all_members_despite_loss_and_a_change_of_it_is_small() {
    let mut net = Net::new(4, 3, 8);
    net.settings.transfer_bytes_per_period = 600_000;
    net.checks_enabled = false;
    (1..=4).for_each(|name| net.restart(MemberId(name)));
    net.wait_for_start();
    net.loss = 0.1;
    net.propose(MemberId(4), |change| {
        change.set =
            (0..100_000).map(|at| (key(&format!("list/blocked/host-{at}")), Value::Flag(true))).collect();
    })
    .unwrap();
    assert!(net.run_until(300_000, |net| net.agreed().is_some_and(|v| v.number == 2)), "{:#?}", net.logs);
    let ActiveTerms::Single(_, terms) = net.acting(MemberId(2)) else { panic!() };
    assert_eq!(terms.entries_under("list/").len(), 100_000);
    let before: u64 = net.members.iter().map(|member| member.sent).sum();
    net.propose(MemberId(4), |change| {
        change.drop.insert(key("list/blocked/host-5"));
    })
    .unwrap();
    assert!(net.run_until(60_000, |net| net.agreed().is_some_and(|v| v.number == 3)), "{:#?}", net.logs);
    let after: u64 = net.members.iter().map(|member| member.sent).sum();
    assert!(after - before < 200_000, "{} bytes for a change of one entry", after - before);
}

/// Size of a bucket in a document of 200,000 entries, with a margin for uneven distribution.
const MAX_BUCKET_ENTRIES: u64 = 600;

fn list(net: &mut Net, entries: u64, value: bool) {
    net.propose(MemberId(4), |change| {
        change.set =
            (0..entries).map(|at| (key(&format!("list/blocked/host-{at}")), Value::Flag(value))).collect();
    })
    .unwrap();
}

#[test]
fn no_call_touches_more_than_a_step_of_a_large_document_and_all_of_it_is_freed() {
    const ENTRIES: u64 = 60_000;
    let mut net = Net::new(4, 3, 10);
    net.settings.transfer_bytes_per_period = 600_000;
    net.checks_enabled = false;
    (1..=4).for_each(|name| net.restart(MemberId(name)));
    net.wait_for_start();
    net.max_entries_touched = (0, 0);
    list(&mut net, ENTRIES, true);
    run_until_in_force(&mut net, 2);
    list(&mut net, ENTRIES, false);
    run_until_in_force(&mut net, 3);
    net.propose(MemberId(4), |change| {
        change.drop = (0..ENTRIES).map(|at| key(&format!("list/blocked/host-{at}"))).collect();
    })
    .unwrap();
    run_until_in_force(&mut net, 4);
    // Make changes until no stored version has the lists.
    for number in 5..=12 {
        net.propose(MemberId(4), |change| {
            drop(change.set.insert(key(&format!("list/few/{number}")), Value::Flag(true)))
        })
        .unwrap();
        run_until_in_force(&mut net, number);
    }
    net.run(5_000);
    let most = STEP_ENTRIES as u64 + MAX_BUCKET_ENTRIES;
    assert!(
        net.max_entries_touched.0 <= most && net.max_entries_touched.1 <= most,
        "{:?} of {most}",
        net.max_entries_touched
    );
    assert!(
        net.max_entries_touched.0 >= STEP_ENTRIES as u64 && net.max_entries_touched.1 >= STEP_ENTRIES as u64,
        "there was work: {:?}",
        net.max_entries_touched
    );
    for member in &net.members {
        let (worked, freed) = member.accord.entries_touched();
        assert!(worked > 4 * ENTRIES && freed > 2 * ENTRIES, "{worked} {freed}");
        assert!(!member.accord.has_work());
    }
}

#[test]
fn a_large_document_withdrawn_during_its_transfer_has_no_effect() {
    let mut given_up = 0;
    for seed in 0..4 {
        let mut net = Net::new(5, 3, seed);
        net.settings.transfer_bytes_per_period = 200_000;
        net.checks_enabled = false;
        (1..=5).for_each(|name| net.restart(MemberId(name)));
        net.wait_for_start();
        (net.loss, net.duplication) = (0.05, 0.1);
        net.pause(MemberId(3), seed % 2 == 1);
        list(&mut net, 20_000, true);
        let coming = |net: &Net| net.view(MemberId(1)).pending.is_some();
        assert!(net.run_until(60_000, coming), "seed {seed}: {:#?}", net.logs);
        // Withdraw while other members receive chunks, hash or check the document.
        net.run(seed * 130);
        net.withdraw(MemberId(1));
        net.pause(MemberId(3), false);
        let still = |net: &Net| (1..=5).all(|name| net.view(MemberId(name)).pending.is_none());
        let settled =
            net.run_until(90_000, |net| net.settled.len() == 1 && still(net) && net.agreed().is_some());
        assert!(settled, "seed {seed}: {:#?}", net.logs);
        given_up += u32::from(net.settled[0].2 == Err(ProposalError::Withdrawn));
        let before = net.view(MemberId(1)).known.number;
        list(&mut net, 20_000, false);
        run_until_in_force(&mut net, before + 1);
        for name in 1..=5 {
            let ActiveTerms::Single(_, terms) = net.acting(MemberId(name)) else {
                panic!("seed {seed}: {name}")
            };
            let entries = terms.entries_under("list/");
            let off = entries.iter().filter(|(_, value)| **value == Value::Flag(false)).count();
            assert_eq!((entries.len(), off), (20_000, 20_000), "seed {seed}: {name}: {:#?}", net.logs);
        }
    }
    assert!(given_up >= 2, "{given_up} of 4 were withdrawn before anybody acted on them");
}

#[test]
fn a_large_invalid_change_is_refused_later_with_the_same_error() {
    let mut net = Net::new(4, 3, 11);
    net.wait_for_start();
    let undercuts = |change: &mut Change, entries: u64| {
        change.set = (0..entries).map(|at| (key(&format!("list/l/{at}")), Value::Flag(true))).collect();
        change.set.insert(key("limit/y"), Value::Int(3));
    };
    let error = ProposalError::Change(ChangeError::StricterThanFloor(key("limit/y")));
    assert_eq!(net.propose(MemberId(4), |change| undercuts(change, 10)), Err(error.clone()));
    let id = net.propose(MemberId(4), |change| undercuts(change, 20_000)).unwrap();
    let busy = net.propose(MemberId(4), attempts(2));
    assert!(matches!(busy, Err(ProposalError::Unavailable(_))), "one at a time: {busy:?}");
    assert!(net.run_until(30_000, |net| net.settled.len() == 1));
    assert_eq!(net.settled[0], (MemberId(4), id, Err(error)));
    net.propose(MemberId(4), attempts(2)).unwrap();
    run_until_in_force(&mut net, 2);
}
