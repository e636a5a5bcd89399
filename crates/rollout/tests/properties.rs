//! What split, gates, life and ledger promise, over random histories.

use proptest::prelude::*;
use wheellink::{Effect, Outcome as End, Scope};
use wheellink_rollout::*;

const SECOND: i64 = 1_000_000;

fn percent(share: u16) -> Share {
    Share::from_percent(f64::from(share) / 100.0)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]

    /// Raising the share only moves calls from old to new, lowering only back.
    #[test]
    fn a_share_moves_calls_one_way(low in 0u16..=10_000, more in 0u16..=10_000, ids in prop::collection::vec("[0-9a-f]{16}", 1..200)) {
        let high = low.max(more);
        let (mut a, mut b) = (Split::new("v2"), Split::new("v2"));
        a.set_share(percent(low.min(more)));
        b.set_share(percent(high));
        for id in &ids {
            let (before, after) = (a.decide(0, None, id), b.decide(0, None, id));
            prop_assert!(before <= after, "{id}");
        }
    }

    /// A keyed call meets the version of its first try as long as its window is open, whatever the share does,
    /// unless it falls to nothing: then the old one has it.
    #[test]
    fn a_key_keeps_its_version(changes in prop::collection::vec((0u16..=10_000, 0i64..3_000_000), 1..40), key in "[0-9a-f]{32}") {
        let mut split = Split::new("v2");
        split.set_share(percent(5000));
        let (mut now, window) = (0, 8 * SECOND);
        let mut pinned = (split.decide(now, Some((&key, window)), "x"), now + window);
        for (share, passed) in changes {
            now += passed;
            split.set_share(percent(share));
            if share == 0 && pinned.0 == Version::New && now < pinned.1 {
                pinned = (Version::Old, now + window);
                prop_assert_eq!(split.decide(now, Some((&key, window)), "y"), Version::Old);
                continue;
            }
            let version = split.decide(now, Some((&key, window)), "y");
            if now < pinned.1 {
                prop_assert_eq!(version, pinned.0);
            } else {
                pinned = (version, now + window);
            }
        }
    }

    /// Pins are bounded, and end by themselves.
    #[test]
    fn pins_are_bounded(keys in prop::collection::vec("[0-9a-f]{8}", 1..400), most in 1usize..50) {
        let mut split = Split::with_max_pins("v2", most);
        for (i, key) in keys.iter().enumerate() {
            split.decide(i as i64, Some((key, SECOND)), "x");
            prop_assert!(split.pin_count() <= most);
        }
        split.decide(1000 * SECOND, None, "x");
        prop_assert_eq!(split.pin_count(), 0);
    }

    /// The share seen is the share stated.
    #[test]
    fn the_share_is_kept(share in 0u16..=10_000, seed in any::<u64>()) {
        let mut split = Split::new("v2");
        split.set_share(percent(share));
        let mut rng = fastrand::Rng::with_seed(seed);
        let new = (0..20_000).filter(|_| split.decide(0, None, &format!("{:016x}", rng.u64(..))) == Version::New).count();
        let (wanted, p) = (2.0 * f64::from(share), f64::from(share) / 10_000.0);
        // Six standard deviations.
        prop_assert!((new as f64 - wanted).abs() <= 6.0 * (20_000.0 * p * (1.0 - p)).sqrt() + 1.0, "{new} of {wanted}");
    }

    /// Whatever a candidate says, in whatever order, and whenever it goes: no call is to be run again that its
    /// class forbids, what is counted is bounded, and the sums are right.
    #[test]
    fn a_ledger_gives_nothing_out_beyond_the_class(
        words in prop::collection::vec((0u8..6, 0u64..6, 0u32..4, 0u8..9, 0i64..2_000_000), 0..120),
        dead in any::<bool>(),
    ) {
        let terms = |seq: u64| match seq % 3 {
            0 => RetryPolicy::new(Effect::Safe, 3),
            1 => RetryPolicy::new(Effect::Keyed { scope: Scope::Cell, window: 8 * SECOND }, 3),
            _ => RetryPolicy::new(Effect::Unsafe, 3),
        };
        let mut ledger = Ledger::new(4, 100);
        let mut now = 0;
        for (word, seq, number, end, passed) in words {
            now += passed;
            let ends = [End::Done, End::Error, End::Full, End::TimedOut, End::ConnectFailed, End::Reset, End::Cancelled, End::NotSent, End::Miss];
            match word {
                // A number is used once: those that were used stand for fresh ones.
                0 => {
                    let fresh = seq + 6 * now as u64;
                    let _ = ledger.pass(fresh, &terms(seq), now + 4 * SECOND, 30);
                }
                1 | 2 => drop(ledger.attempt_announced(seq, number, &"h".into(), now)),
                3 => drop(ledger.attempt_ended(seq, number, ends[end as usize])),
                4 => drop(ledger.answered(seq, end < 3)),
                _ => prop_assert!(ledger.take_overdue(now).len() <= 4),
            }
            prop_assert!(ledger.len() <= 4 && ledger.bytes() <= 100 && ledger.bytes() == 30 * ledger.len());
        }
        let open = ledger.len();
        let fates = ledger.candidate_lost(now, dead);
        prop_assert_eq!((fates.len(), ledger.len(), ledger.bytes(), ledger.next_deadline()), (open, 0, 0, None));
        for (seq, fate) in fates {
            let Recovery::Rerun(past) = fate else { continue };
            let ran = past.iter().any(AttemptRecord::may_have_run);
            prop_assert!(past.len() < 3, "attempts are counted");
            prop_assert!(past.iter().all(|a| a.outcome.is_some()));
            prop_assert!(!(ran && seq % 3 == 2), "an unsafe call that may have run");
            if seq % 3 == 1 {
                prop_assert!(past.iter().filter(|a| a.may_have_run()).all(|a| now - a.announced_at < 8 * SECOND));
            }
        }
    }

    /// Whatever operators call in whatever order: the share is 0 unless something is under way, and no call
    /// makes a history without bound.
    #[test]
    fn calls_in_any_order_keep_the_life_in_order(calls in prop::collection::vec((0u8..9, 0i64..400_000), 0..300)) {
        let plan: Plan = serde_json::from_str(r#"{"name":"p","step":[{"percent":1},{"percent":50},{"percent":100}]}"#).unwrap();
        let mut rollout = Rollout::default();
        let mut now = 0;
        for (call, passed) in calls {
            now += passed;
            let before = rollout.phase();
            match call {
                0 => rollout.attach(),
                1 => rollout.detach(now, Cause::CandidateLost("it")),
                2 => drop(rollout.begin(now, plan.clone(), Cause::Operator("begin"))),
                3 => drop(rollout.step(now, None)),
                4 => drop(rollout.hold(now)),
                5 => drop(rollout.roll_back(now)),
                6 => drop(rollout.complete(now)),
                7 => drop(rollout.tick(now, passed as usize % 2)),
                _ => rollout.candidate_leaving(now),
            }
            let idle = matches!(rollout.phase(), Phase::Idle | Phase::RollingBack | Phase::RolledBack);
            prop_assert_eq!(rollout.share() == Share::NONE, idle, "{:?} after call {} from {:?}", rollout.phase(), call, before);
            if before == Phase::Complete && call != 0 && call != 1 {
                prop_assert_eq!(rollout.phase(), Phase::Complete);
            }
            if idle {
                prop_assert_eq!(rollout.decide(now, None, "a"), Version::Old);
            }
            prop_assert!(rollout.history().count() <= 64);
        }
    }
}

// ------------------------------------------------------------------------------------------- the gates

fn gates() -> Gates {
    Gates::new(GateSettings::default())
}

fn outcome(rng: &mut fastrand::Rng, fails: f64) -> CallOutcome {
    if rng.f64() < fails {
        CallOutcome::Failed
    } else {
        CallOutcome::Served
    }
}

/// Plays calls until the gates fail; how many the new version had by then.
fn until_caught(seed: u64, share: f64, old: f64, new: f64, most: u64) -> Option<u64> {
    let (mut rng, mut gates, mut passed) = (fastrand::Rng::with_seed(seed), gates(), 0);
    let mut n = 0u64;
    while passed < most {
        n += 1;
        let version = if rng.f64() < share { Version::New } else { Version::Old };
        passed += u64::from(version == Version::New);
        let rate = if version == Version::New { new } else { old };
        let took = 100_000 + rng.i64(0..200_000);
        gates.record(version, "a", outcome(&mut rng, rate), took, 1_500_000);
        if n.is_multiple_of(25) {
            gates.close_blocks();
            if gates.verdict().0 == Verdict::Fails {
                return Some(passed);
            }
        }
    }
    None
}

#[test]
fn equal_versions_are_not_taken_back() {
    for seed in 0..40 {
        assert_eq!(until_caught(seed, 0.25, 0.02, 0.02, 2_000), None, "seed {seed}");
    }
}

/// The stated number: 5 more in 100 are seen within 1,500 calls of the new version.
#[test]
fn a_bad_version_is_caught_within_the_stated_number_of_calls() {
    for seed in 0..40 {
        let caught = until_caught(seed, 0.25, 0.01, 0.06, 1_500);
        assert!(caught.is_some(), "seed {seed}");
    }
}

#[test]
fn too_few_calls_are_not_known_and_enough_good_ones_hold() {
    let mut gates = gates();
    let mut rng = fastrand::Rng::with_seed(1);
    let mut play = |gates: &mut Gates, calls: u32| {
        for n in 0..calls {
            if n % 50 == 0 {
                gates.close_blocks();
            }
            for version in [Version::Old, Version::New] {
                gates.record(version, "a", CallOutcome::Served, 100_000 + rng.i64(0..50_000), 1_500_000);
            }
        }
        gates.close_blocks();
    };
    assert_eq!(gates.verdict().0, Verdict::Inconclusive);
    play(&mut gates, 49);
    assert_eq!(gates.verdict().0, Verdict::Inconclusive, "none of 49 is not yet good");
    play(&mut gates, 1500);
    assert_eq!(gates.verdict().0, Verdict::Passes);
    // A class with a single call takes that back: it is not known.
    gates.record(Version::New, "b", CallOutcome::Served, 1, 2);
    assert_eq!(gates.verdict().0, Verdict::Inconclusive);
    // The next step has it all to show again.
    gates.begin_step(false);
    assert_eq!(gates.verdict().0, Verdict::Inconclusive);
}

/// At 100% there are no old calls beside the new ones: those of the step before are the measure.
#[test]
fn a_version_that_turns_bad_at_the_whole_is_caught() {
    let mut gates = gates();
    let mut rng = fastrand::Rng::with_seed(7);
    for _ in 0..1000 {
        for version in [Version::Old, Version::New] {
            gates.record(version, "a", outcome(&mut rng, 0.01), 100_000, 1_500_000);
        }
    }
    gates.begin_step(true);
    let mut passed = 0;
    while gates.verdict().0 != Verdict::Fails {
        passed += 1;
        assert!(passed < 3_000, "never caught");
        gates.record(Version::New, "a", outcome(&mut rng, 0.10), 100_000, 1_500_000);
        if passed % 20 == 0 {
            gates.close_blocks();
        }
    }
}

#[test]
fn a_slower_version_is_caught_by_its_latency() {
    let mut gates = gates();
    let mut rng = fastrand::Rng::with_seed(3);
    for n in 0..6000 {
        let version = if n % 2 == 0 { Version::Old } else { Version::New };
        let slower = if version == Version::New { 3 } else { 2 };
        let took = slower * (50_000 + rng.i64(0..50_000));
        gates.record(version, "a", CallOutcome::Served, took, 10_000_000);
        if n % 20 == 0 {
            gates.close_blocks();
        }
    }
    let (verdict, gate) = gates.verdict();
    assert_eq!((verdict, gate.unwrap().metric), (Verdict::Fails, Metric::Slow));
    let [old, new] = gates.latencies();
    assert!(new.0 > old.0 && new.1 > old.1);
}

/// Classes come from clients' words in some fronts: no more rows than are allowed.
#[test]
fn classes_beyond_the_bound_count_for_all_only() {
    let mut gates = gates();
    for i in 0..1000 {
        gates.record(Version::New, &format!("class-{i}"), CallOutcome::Served, 1000, 2000);
    }
    assert_eq!(gates.candidate_calls(), 1000);
    assert!(gates.evaluate().len() <= 33 * 4);
}

// --------------------------------------------------------------------------------------------- the life

fn plan(more: &str) -> Plan {
    let text = format!(
        r#"{{"name":"p","step":[{{"percent":10,"least_calls":60}},{{"percent":100,"least_calls":60}}]{more}}}"#
    );
    let plan: Plan = serde_json::from_str(&text).unwrap();
    plan.check().unwrap();
    plan
}

/// Plays calls for so many seconds, half of them new, of which some fail.
fn play(rollout: &mut Rollout, now: &mut i64, seconds: u32, failing: f64) -> Option<Action> {
    let mut rng = fastrand::Rng::with_seed(5);
    let mut act = None;
    for _ in 0..seconds * 100 {
        *now += SECOND / 100;
        rollout.record(Version::Old, "a", CallOutcome::Served, 100_000, 1_500_000);
        rollout.record(Version::New, "a", outcome(&mut rng, failing), 100_000, 1_500_000);
        act = act.or(rollout.tick(*now, 0));
    }
    act
}

#[test]
fn a_good_version_goes_through_all_steps_and_completes() {
    let (mut rollout, mut now) = (Rollout::default(), 0);
    rollout.attach();
    rollout.begin(now, plan(r#","completes":true"#), Cause::SettingsFile).unwrap();
    assert_eq!(play(&mut rollout, &mut now, 60, 0.0), Some(Action::Complete));
    assert_eq!(rollout.phase(), Phase::Complete);
    let shares: Vec<_> = rollout.history().map(|c| c.share.percent()).collect();
    assert_eq!(shares, [10.0, 100.0, 100.0]);
    assert!(rollout.roll_back(now).is_err(), "the new version has the clients");
}

#[test]
fn a_failing_gate_takes_it_back_or_holds_it() {
    for (more, wanted) in [("", Phase::RolledBack), (r#","on_fail":"hold""#, Phase::Held)] {
        let (mut rollout, mut now) = (Rollout::default(), 0);
        rollout.attach();
        rollout.begin(now, plan(more), Cause::Operator("begin")).unwrap();
        play(&mut rollout, &mut now, 60, 0.3);
        assert_eq!(rollout.phase(), wanted, "{more}");
        let told = rollout.take_transitions().iter().map(|c| c.cause.to_string()).collect::<Vec<_>>();
        assert!(told.iter().any(|t| t.contains("gate failed of")), "{told:?}");
    }
}

/// A call repeated gets a yes, one that makes no sense a reason.
#[test]
fn operators_calls_are_answered_by_where_the_rollout_is() {
    let (mut r, now) = (Rollout::default(), 0);
    let begin = |r: &mut Rollout, name: &str| {
        let mut plan = plan("");
        plan.name = name.into();
        r.begin(now, plan, Cause::Operator("begin")).map_err(|e| e.0)
    };
    assert!(begin(&mut r, "p").unwrap_err().contains("no new version"));
    assert!(
        r.hold(now).is_err()
            && r.step(now, None).is_err()
            && r.roll_back(now).is_err()
            && r.complete(now).is_err()
    );
    r.attach();
    begin(&mut r, "p").unwrap();
    begin(&mut r, "p").unwrap();
    assert!(begin(&mut r, "q").unwrap_err().contains("another rollout"));
    assert!(r.complete(now).unwrap_err().0.contains("the share is 10%"));
    r.hold(now).unwrap();
    r.hold(now).unwrap();
    assert_eq!((r.phase(), r.share()), (Phase::Held, Share::from_percent(10.0)));
    r.step(now, Some(1)).unwrap();
    assert_eq!(r.phase(), Phase::Stepping, "goes on where it was held");
    r.step(now, Some(2)).unwrap();
    r.step(now, Some(2)).unwrap();
    assert!(r.step(now, Some(1)).unwrap_err().0.contains("behind"));
    assert!(r.step(now, None).unwrap_err().0.contains("no step 3"));
    r.roll_back(now).unwrap();
    r.roll_back(now).unwrap();
    assert_eq!((r.phase(), r.share()), (Phase::RollingBack, Share::NONE));
    assert!(begin(&mut r, "p").unwrap_err().contains("have not ended yet"));
    r.tick(now + SECOND, 0);
    begin(&mut r, "p").unwrap();
    r.step(now, Some(2)).unwrap();
    assert_eq!(r.complete(now).unwrap(), Some(Action::Complete));
    assert_eq!(r.complete(now).unwrap(), None);
    assert!(r.hold(now).is_err());
}

// -------------------------------------------------------------------------------------------- the ledger

#[test]
fn a_candidate_that_breaks_the_order_is_at_fault() {
    let mut l = Ledger::new(4, 100);
    l.pass(1, &RetryPolicy::new(Effect::Unsafe, 5), SECOND, 10).unwrap();
    assert_eq!(l.pass(2, &RetryPolicy::new(Effect::Safe, 5), SECOND, 95), Err(LedgerFull::Bytes));
    assert_eq!(l.attempt_announced(1, 0, &"h".into(), 0), Ok(true));
    let mut other = l.clone();
    assert!(other.attempt_announced(1, 1, &"h".into(), 0).is_err(), "beside another");
    assert_eq!(l.attempt_ended(1, 0, End::Reset), Ok(true));
    assert!(l.attempt_ended(1, 0, End::Full).is_err(), "one end each");
    let mut other = l.clone();
    assert!(other.attempt_announced(1, 1, &"h".into(), 0).is_err(), "it may have run");
    assert!(l.answered(1, true).is_err(), "a refusal would be untrue");
    assert_eq!(l.answered(1, false), Ok(true));
    assert_eq!(
        (l.attempt_announced(1, 0, &"h".into(), 0), l.attempt_ended(1, 0, End::Done), l.answered(1, false)),
        (Ok(false), Ok(false), Ok(false))
    );
}

/// What a broken candidate told out of turn may have run all the same.
#[test]
fn a_fault_makes_nothing_safe() {
    let mut l = Ledger::new(4, 100);
    l.pass(1, &RetryPolicy::new(Effect::Unsafe, 5), SECOND, 10).unwrap();
    assert!(l.attempt_announced(1, 3, &"h".into(), 0).is_err(), "out of turn");
    assert!(l.returned(1).is_err(), "it was begun");
    assert_eq!(l.candidate_lost(0, true), [(1, Recovery::Fail)]);
}

#[test]
fn what_is_known_tells_the_fate() {
    let keyed = Effect::Keyed { scope: Scope::Cell, window: 8 * SECOND };
    let fate = |effect, ends: &[Option<End>], now, dead| {
        let mut l = Ledger::new(4, 100);
        l.pass(1, &RetryPolicy::new(effect, 2), 20 * SECOND, 1).unwrap();
        for (i, end) in ends.iter().enumerate() {
            l.attempt_announced(1, i as u32, &"h".into(), 0).unwrap();
            end.iter().for_each(|end| drop(l.attempt_ended(1, i as u32, *end)));
        }
        l.candidate_lost(now, dead).pop().unwrap().1
    };
    let anew = |f: Recovery| matches!(f, Recovery::Rerun(_));
    for effect in [Effect::Safe, keyed, Effect::Unsafe] {
        assert!(anew(fate(effect, &[], 0, true)), "not begun");
        assert!(anew(fate(effect, &[], 0, false)), "not begun, and never will be: its word would not arrive");
        assert!(anew(fate(effect, &[Some(End::Miss)], 0, true)));
        assert_eq!(
            fate(effect, &[Some(End::Miss), Some(End::Full)], 0, true),
            Recovery::Refuse,
            "no attempt left"
        );
        let over = if effect == Effect::Safe { Recovery::Refuse } else { Recovery::Fail };
        assert_eq!(fate(effect, &[None], 0, false), over, "may still be out");
        assert_eq!(fate(effect, &[], 20 * SECOND, true), Recovery::Fail, "its time is up");
    }
    assert!(anew(fate(Effect::Safe, &[None], 0, true)) && anew(fate(keyed, &[None], 0, true)));
    assert_eq!(fate(Effect::Unsafe, &[None], 0, true), Recovery::Fail);
    assert_eq!(fate(Effect::Unsafe, &[Some(End::Error)], 0, true), Recovery::Fail);
    assert_eq!(fate(keyed, &[None], 8 * SECOND, true), Recovery::Fail, "its window is over");
    assert_eq!(fate(Effect::Safe, &[Some(End::Reset), None], 0, true), Recovery::Refuse, "no attempt left");
    assert_eq!(
        fate(keyed, &[Some(End::Reset), None], 0, true),
        Recovery::Fail,
        "no attempt left, and it may have run"
    );
}
