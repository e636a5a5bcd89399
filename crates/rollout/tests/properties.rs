//! Properties of the split, the gates, the phases and the ledger over random histories.

use proptest::prelude::*;
use wheellink::{Effect, Outcome as End, Scope};
use wheellink_rollout::*;

const SECOND: i64 = 1_000_000;

fn percent(share: u16) -> Share {
    Share::from_percent(f64::from(share) / 100.0)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]

    /// Raising the share only moves calls from the old version to the new one, and lowering it only back.
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

    /// While the window of a key is open, its calls get the version of the first call, whatever the share is. Only a
    /// share of 0 moves them to the old version.
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

    #[test]
    fn pins_are_bounded_and_expire(keys in prop::collection::vec("[0-9a-f]{8}", 1..400), max_pins in 1usize..50) {
        let mut split = Split::with_max_pins("v2", max_pins);
        for (i, key) in keys.iter().enumerate() {
            split.decide(i as i64, Some((key, SECOND)), "x");
            prop_assert!(split.pin_count() <= max_pins);
        }
        split.decide(1000 * SECOND, None, "x");
        prop_assert_eq!(split.pin_count(), 0);
    }

    #[test]
    fn the_observed_share_is_the_configured_one(share in 0u16..=10_000, seed in any::<u64>()) {
        let mut split = Split::new("v2");
        split.set_share(percent(share));
        let mut rng = fastrand::Rng::with_seed(seed);
        let new = (0..20_000).filter(|_| split.decide(0, None, &format!("{:016x}", rng.u64(..))) == Version::New).count();
        let (expected, p) = (2.0 * f64::from(share), f64::from(share) / 10_000.0);
        // Six standard deviations.
        prop_assert!((new as f64 - expected).abs() <= 6.0 * (20_000.0 * p * (1.0 - p)).sqrt() + 1.0, "{new} instead of {expected}");
    }

    /// Whatever messages a candidate sends, in any order, and whenever it is lost: no call is rerun against the rules
    /// of its class, the number of entries is bounded, and the byte count is right.
    #[test]
    fn a_ledger_reruns_no_call_beyond_its_class(
        messages in prop::collection::vec((0u8..6, 0u64..6, 0u32..4, 0u8..9, 0i64..2_000_000), 0..120),
        process_ended in any::<bool>(),
    ) {
        let terms = |seq: u64| match seq % 3 {
            0 => RetryPolicy::new(Effect::Safe, 3),
            1 => RetryPolicy::new(Effect::Keyed { scope: Scope::Cell, window: 8 * SECOND }, 3),
            _ => RetryPolicy::new(Effect::Unsafe, 3),
        };
        let mut ledger = Ledger::new(4, 100);
        let mut now = 0;
        for (message, seq, number, end, passed) in messages {
            now += passed;
            let ends = [End::Done, End::Error, End::Full, End::TimedOut, End::ConnectFailed, End::Reset, End::Cancelled, End::NotSent, End::Miss];
            match message {
                // A sequence number is used once, so each pass gets a fresh one.
                0 => {
                    let fresh_seq = seq + 6 * now as u64;
                    let _ = ledger.pass(fresh_seq, &terms(seq), now + 4 * SECOND, 30);
                }
                1 | 2 => drop(ledger.attempt_announced(seq, number, &"h".into(), now)),
                3 => drop(ledger.attempt_ended(seq, number, ends[end as usize])),
                4 => drop(ledger.answered(seq, end < 3)),
                _ => prop_assert!(ledger.take_overdue(now).len() <= 4),
            }
            prop_assert!(ledger.len() <= 4 && ledger.bytes() <= 100 && ledger.bytes() == 30 * ledger.len());
        }
        let open = ledger.len();
        let recoveries = ledger.candidate_lost(now, process_ended);
        prop_assert_eq!((recoveries.len(), ledger.len(), ledger.bytes(), ledger.next_deadline()), (open, 0, 0, None));
        for (seq, recovery) in recoveries {
            let Recovery::Rerun(attempts) = recovery else { continue };
            let may_have_run = attempts.iter().any(AttemptRecord::may_have_run);
            prop_assert!(attempts.len() < 3, "previous attempts count");
            prop_assert!(attempts.iter().all(|a| a.outcome.is_some()));
            prop_assert!(!(may_have_run && seq % 3 == 2), "an unsafe call that may have run");
            if seq % 3 == 1 {
                prop_assert!(attempts.iter().filter(|a| a.may_have_run()).all(|a| now - a.announced_at < 8 * SECOND));
            }
        }
    }

    /// After calls in any order: the share is 0 unless a rollout is under way, and the history is bounded.
    #[test]
    fn operators_calls_in_any_order_keep_phase_and_share_consistent(calls in prop::collection::vec((0u8..9, 0i64..400_000), 0..300)) {
        let plan: Plan = serde_json::from_str(r#"{"name":"p","step":[{"percent":1},{"percent":50},{"percent":100}]}"#).unwrap();
        let mut rollout = Rollout::default();
        let mut now = 0;
        for (call, passed) in calls {
            now += passed;
            let before = rollout.phase();
            match call {
                0 => rollout.attach(),
                1 => rollout.detach(now, Cause::CandidateLost("test")),
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

// ----------------------------------------------------------------------------------------------- gates

fn gates() -> Gates {
    Gates::new(GateSettings::default())
}

fn outcome(rng: &mut fastrand::Rng, failure_rate: f64) -> CallOutcome {
    if rng.f64() < failure_rate {
        CallOutcome::Failed
    } else {
        CallOutcome::Served
    }
}

/// Simulates calls until a gate fails; returns the number of calls of the new version until then.
fn calls_until_failure(seed: u64, share: f64, old: f64, new: f64, max_calls: u64) -> Option<u64> {
    let (mut rng, mut gates, mut passed) = (fastrand::Rng::with_seed(seed), gates(), 0);
    let mut n = 0u64;
    while passed < max_calls {
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
fn equal_versions_are_not_rolled_back() {
    for seed in 0..40 {
        assert_eq!(calls_until_failure(seed, 0.25, 0.02, 0.02, 2_000), None, "seed {seed}");
    }
}

/// A failure rate that is 5 percentage points higher fails a gate within 1,500 calls of the new version.
#[test]
fn a_worse_version_fails_a_gate_within_1500_calls() {
    for seed in 0..40 {
        let calls = calls_until_failure(seed, 0.25, 0.01, 0.06, 1_500);
        assert!(calls.is_some(), "seed {seed}");
    }
}

#[test]
fn few_calls_are_inconclusive_and_enough_good_calls_pass() {
    let mut gates = gates();
    let mut rng = fastrand::Rng::with_seed(1);
    let mut simulate = |gates: &mut Gates, calls: u32| {
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
    simulate(&mut gates, 49);
    assert_eq!(gates.verdict().0, Verdict::Inconclusive, "49 calls without a failure do not pass yet");
    simulate(&mut gates, 1500);
    assert_eq!(gates.verdict().0, Verdict::Passes);
    // A class with a single call makes the verdict inconclusive.
    gates.record(Version::New, "b", CallOutcome::Served, 1, 2);
    assert_eq!(gates.verdict().0, Verdict::Inconclusive);
    // In the next step, the gates have to pass again.
    gates.begin_step(false);
    assert_eq!(gates.verdict().0, Verdict::Inconclusive);
}

/// At 100%, the old version has no calls: the new version is compared with the old one's calls of the step before.
#[test]
fn a_version_that_gets_worse_at_100_percent_fails_a_gate() {
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
        assert!(passed < 3_000, "no gate failed");
        gates.record(Version::New, "a", outcome(&mut rng, 0.10), 100_000, 1_500_000);
        if passed % 20 == 0 {
            gates.close_blocks();
        }
    }
}

#[test]
fn a_slower_version_fails_the_latency_gate() {
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

/// Some fronts take class names from requests, so the number of classes that are compared one by one has to be bounded.
#[test]
fn classes_beyond_the_bound_count_only_for_all_classes_together() {
    let mut gates = gates();
    for i in 0..1000 {
        gates.record(Version::New, &format!("class-{i}"), CallOutcome::Served, 1000, 2000);
    }
    assert_eq!(gates.candidate_calls(), 1000);
    assert!(gates.evaluate().len() <= 33 * 4);
}

// ---------------------------------------------------------------------------------------------- phases

fn plan(more: &str) -> Plan {
    let text = format!(
        r#"{{"name":"p","step":[{{"percent":10,"least_calls":60}},{{"percent":100,"least_calls":60}}]{more}}}"#
    );
    let plan: Plan = serde_json::from_str(&text).unwrap();
    plan.check().unwrap();
    plan
}

/// Simulates calls for some seconds, half of them of the new version, which fail at `failure_rate`.
fn simulate(rollout: &mut Rollout, now: &mut i64, seconds: u32, failure_rate: f64) -> Option<Action> {
    let mut rng = fastrand::Rng::with_seed(5);
    let mut action = None;
    for _ in 0..seconds * 100 {
        *now += SECOND / 100;
        rollout.record(Version::Old, "a", CallOutcome::Served, 100_000, 1_500_000);
        rollout.record(Version::New, "a", outcome(&mut rng, failure_rate), 100_000, 1_500_000);
        action = action.or(rollout.tick(*now, 0));
    }
    action
}

#[test]
fn a_good_version_goes_through_all_steps_and_completes() {
    let (mut rollout, mut now) = (Rollout::default(), 0);
    rollout.attach();
    rollout.begin(now, plan(r#","completes":true"#), Cause::SettingsFile).unwrap();
    assert_eq!(simulate(&mut rollout, &mut now, 60, 0.0), Some(Action::Complete));
    assert_eq!(rollout.phase(), Phase::Complete);
    let shares: Vec<_> = rollout.history().map(|c| c.share.percent()).collect();
    assert_eq!(shares, [10.0, 100.0, 100.0]);
    assert!(rollout.roll_back(now).is_err(), "the new version has the clients");
}

#[test]
fn a_failing_gate_rolls_back_or_holds_as_the_plan_says() {
    for (more, expected) in [("", Phase::RolledBack), (r#","on_fail":"hold""#, Phase::Held)] {
        let (mut rollout, mut now) = (Rollout::default(), 0);
        rollout.attach();
        rollout.begin(now, plan(more), Cause::Operator("begin")).unwrap();
        simulate(&mut rollout, &mut now, 60, 0.3);
        assert_eq!(rollout.phase(), expected, "{more}");
        let causes = rollout.take_transitions().iter().map(|c| c.cause.to_string()).collect::<Vec<_>>();
        assert!(causes.iter().any(|t| t.contains("gate failed of")), "{causes:?}");
    }
}

/// A repeated call succeeds; a call that is invalid in the current phase is rejected with a reason.
#[test]
fn operators_calls_are_accepted_or_rejected_by_phase() {
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
    assert_eq!(r.phase(), Phase::Stepping, "resumes in the step in which it was held");
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

// ---------------------------------------------------------------------------------------------- ledger

#[test]
fn messages_that_break_the_protocol_are_violations() {
    let mut l = Ledger::new(4, 100);
    l.pass(1, &RetryPolicy::new(Effect::Unsafe, 5), SECOND, 10).unwrap();
    assert_eq!(l.pass(2, &RetryPolicy::new(Effect::Safe, 5), SECOND, 95), Err(LedgerFull::Bytes));
    assert_eq!(l.attempt_announced(1, 0, &"h".into(), 0), Ok(true));
    let mut other = l.clone();
    assert!(other.attempt_announced(1, 1, &"h".into(), 0).is_err(), "while another is open");
    assert_eq!(l.attempt_ended(1, 0, End::Reset), Ok(true));
    assert!(l.attempt_ended(1, 0, End::Full).is_err(), "an attempt ends once");
    let mut other = l.clone();
    assert!(other.attempt_announced(1, 1, &"h".into(), 0).is_err(), "it may have run");
    assert!(l.answered(1, true).is_err(), "a refusal would claim that a repeat is harmless");
    assert_eq!(l.answered(1, false), Ok(true));
    assert_eq!(
        (l.attempt_announced(1, 0, &"h".into(), 0), l.attempt_ended(1, 0, End::Done), l.answered(1, false)),
        (Ok(false), Ok(false), Ok(false))
    );
}

/// An attempt that a broken candidate announced out of order may have run.
#[test]
fn an_attempt_announced_out_of_order_may_have_run() {
    let mut l = Ledger::new(4, 100);
    l.pass(1, &RetryPolicy::new(Effect::Unsafe, 5), SECOND, 10).unwrap();
    assert!(l.attempt_announced(1, 3, &"h".into(), 0).is_err(), "out of order");
    assert!(l.returned(1).is_err(), "it has an attempt");
    assert_eq!(l.candidate_lost(0, true), [(1, Recovery::Fail)]);
}

#[test]
fn calls_are_recovered_by_what_is_known_of_their_attempts() {
    let keyed = Effect::Keyed { scope: Scope::Cell, window: 8 * SECOND };
    let recovery = |effect, ends: &[Option<End>], now, process_ended| {
        let mut l = Ledger::new(4, 100);
        l.pass(1, &RetryPolicy::new(effect, 2), 20 * SECOND, 1).unwrap();
        for (i, end) in ends.iter().enumerate() {
            l.attempt_announced(1, i as u32, &"h".into(), 0).unwrap();
            end.iter().for_each(|end| drop(l.attempt_ended(1, i as u32, *end)));
        }
        l.candidate_lost(now, process_ended).pop().unwrap().1
    };
    let reruns = |r: Recovery| matches!(r, Recovery::Rerun(_));
    for effect in [Effect::Safe, keyed, Effect::Unsafe] {
        assert!(reruns(recovery(effect, &[], 0, true)), "no attempt");
        assert!(
            reruns(recovery(effect, &[], 0, false)),
            "no attempt, and none can follow: its announcement would not be read"
        );
        assert!(reruns(recovery(effect, &[Some(End::Miss)], 0, true)));
        assert_eq!(
            recovery(effect, &[Some(End::Miss), Some(End::Full)], 0, true),
            Recovery::Refuse,
            "no attempt left"
        );
        let given_up = if effect == Effect::Safe { Recovery::Refuse } else { Recovery::Fail };
        assert_eq!(recovery(effect, &[None], 0, false), given_up, "may still be open");
        assert_eq!(recovery(effect, &[], 20 * SECOND, true), Recovery::Fail, "its deadline has passed");
    }
    assert!(reruns(recovery(Effect::Safe, &[None], 0, true)) && reruns(recovery(keyed, &[None], 0, true)));
    assert_eq!(recovery(Effect::Unsafe, &[None], 0, true), Recovery::Fail);
    assert_eq!(recovery(Effect::Unsafe, &[Some(End::Error)], 0, true), Recovery::Fail);
    assert_eq!(recovery(keyed, &[None], 8 * SECOND, true), Recovery::Fail, "its window has passed");
    assert_eq!(
        recovery(Effect::Safe, &[Some(End::Reset), None], 0, true),
        Recovery::Refuse,
        "no attempt left"
    );
    assert_eq!(
        recovery(keyed, &[Some(End::Reset), None], 0, true),
        Recovery::Fail,
        "no attempt left, and it may have run"
    );
}
