//! Properties over generated histories: for any input, advice names only available sites with room, memory is
//! bounded, the same inputs give the same outputs, and activators with different state converge.

mod sim;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use proptest::prelude::*;
use rstest::rstest;
use sim::{at, mix, Config, Fleet, Policy};
use wheellink_turns::*;

const SITES: u32 = 5;

/// An event at one activator.
#[derive(Clone, Debug)]
enum Step {
    /// A turn of a conversation: prefix length, new blocks, whether it begins with a common prefix, and whether it
    /// takes another branch of the conversation.
    Turn {
        conversation: u8,
        len: u8,
        new: u16,
        common: bool,
        fork: bool,
    },
    /// The answer of an open attempt, with a block count that may be wrong, or without one.
    Answer {
        which: u8,
        found: Option<u32>,
    },
    Fail {
        which: u8,
    },
    Lost(u32),
    Returned(u32),
    SetWeight(u32, u16),
    Garbage(Vec<u8>),
    Wait(u32),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..12u8, 0..70u8, 0..300u16, any::<bool>(), prop::bool::weighted(0.1))
            .prop_map(|(conversation, len, new, common, fork)| Step::Turn { conversation, len, new, common, fork }),
        4 => (any::<u8>(), prop::option::of(0..200u32)).prop_map(|(which, found)| Step::Answer { which, found }),
        1 => any::<u8>().prop_map(|which| Step::Fail { which }),
        1 => (0..SITES).prop_map(Step::Lost),
        1 => (0..SITES).prop_map(Step::Returned),
        1 => ((0..SITES), 0..1_200u16).prop_map(|(s, w)| Step::SetWeight(s, w)),
        1 => prop::collection::vec(any::<u8>(), 0..1_300).prop_map(Step::Garbage),
        2 => (0..3_000_000u32).prop_map(Step::Wait),
    ]
}

fn turn(conversation: u8, len: u8, new: u16, common: bool, fork: bool) -> Turn {
    let own = |i: u64| mix(u64::from(conversation) + 1, i + if fork { 7_000 } else { 0 });
    let prefix = (0..u64::from(len)).map(|i| if common && i < 6 { mix(999, i) } else { own(i) }).collect();
    Turn {
        conversation: u64::from(conversation),
        tenant: u32::from(conversation % 3),
        prefix,
        new_blocks: new,
        worth: 1.0,
        time_left: Duration::from_millis(500),
    }
}

/// Runs a history and returns all its outputs.
fn play(steps: &[Step], seed: u64) -> Result<Vec<String>, TestCaseError> {
    let settings = Settings { table_bytes: 64 << 10, ..Settings::default() };
    let mut turns = TurnRouter::new(settings, MemberId(1), 7, seed, at(0.0)).unwrap();
    turns.set_members(at(0.0), [MemberId(2), MemberId(3)]);
    let (mut now, mut next, mut outputs) = (0.0, 0u64, Vec::new());
    let mut up: BTreeSet<u32> = (0..SITES).collect();
    let mut weights: BTreeMap<u32, u16> = BTreeMap::new();
    let mut open: Vec<(u64, u32)> = Vec::new();
    let mut queued: BTreeMap<WaitingId, Duration> = BTreeMap::new();
    for step in steps {
        match step {
            Step::Turn { conversation, len, new, common, fork } => {
                let turn = turn(*conversation, *len, *new, *common, *fork);
                let out = |s: u32| open.iter().filter(|(_, at)| *at == s).count() as f64;
                let sites: Vec<SiteStatus> = up
                    .iter()
                    .map(|s| SiteStatus {
                        site: SiteId(*s),
                        capacity: 4.0,
                        in_flight: out(*s),
                        remote: s % 2 == 1,
                    })
                    .collect();
                let advice = turns.place(at(now), &turn, &sites);
                prop_assert_eq!(
                    advice.choices.is_empty(),
                    up.is_empty() || advice.decision != Decision::Send
                );
                prop_assert!(advice.choices.len() <= MAX_CHOICES);
                if let Decision::Wait(waiting, until) = advice.decision {
                    prop_assert!(until <= at(now) + turn.time_left.mul_f64(0.3));
                    queued.insert(waiting, until);
                }
                let named: BTreeSet<u32> = advice.choices.iter().map(|c| c.site.0).collect();
                prop_assert_eq!(named.len(), advice.choices.len(), "a site is named twice");
                prop_assert!(named.is_subset(&up), "{:?} of {:?}", named, up);
                prop_assert!(advice
                    .choices
                    .iter()
                    .all(|c| usize::from(c.expected_blocks) <= turn.prefix.len().min(MAX_HASHES)));
                // A site of weight 0 gets no turns while another one has room.
                let is_closed = |s: &u32| weights.get(s) == Some(&0);
                if up.iter().any(|s| !is_closed(s) && out(*s) < 4.0) {
                    prop_assert!(!named.iter().any(is_closed), "{named:?} with {weights:?}");
                }
                // No site goes far above its fair share for what it holds while another one has room.
                let most = (1.2 * (open.len() as f64 + 1.0) / up.len().max(1) as f64).ceil().max(8.0);
                if weights.is_empty() && up.iter().any(|s| out(*s) < 1.0) {
                    prop_assert!(advice.choices.len() == 1 || named.iter().all(|s| out(*s) < most));
                }
                outputs.push(format!("{advice:?}"));
                if let Some(first) = advice.choices.first() {
                    next += 1;
                    turns.on_sent(at(now), AttemptToken(next), &turn, first.site);
                    open.push((next, first.site.0));
                }
            }
            Step::Answer { which, found } if !open.is_empty() => {
                let (token, _) = open.remove(usize::from(*which) % open.len());
                turns.on_answered(at(now), AttemptToken(token), *found, Duration::from_millis(30));
                // A repeated answer, and the end of an unknown attempt, have no effect.
                turns.on_answered(at(now), AttemptToken(token), *found, Duration::from_millis(30));
                turns.on_failed(AttemptToken(token + 1_000_000));
            }
            Step::Fail { which } if !open.is_empty() => {
                turns.on_failed(AttemptToken(open.remove(usize::from(*which) % open.len()).0));
            }
            Step::Answer { .. } | Step::Fail { .. } => {}
            Step::Lost(s) => {
                up.remove(s);
                turns.site_lost(SiteId(*s));
            }
            Step::Returned(s) => {
                up.insert(*s);
                turns.site_returned(at(now), SiteId(*s));
            }
            Step::SetWeight(s, w) => {
                weights.insert(*s, *w);
                turns.set_site_weight(at(now), SiteId(*s), *w);
            }
            Step::Garbage(data) => turns.receive(at(now), MemberId(2), data, &mut Vec::new()),
            Step::Wait(us) => {
                now += f64::from(*us) / 1e6;
                let mut out = Vec::new();
                turns.handle_timers(at(now), &mut out);
                let sites: Vec<SiteStatus> = up
                    .iter()
                    .map(|s| SiteStatus { site: SiteId(*s), capacity: 4.0, in_flight: 0.0, remote: false })
                    .collect();
                while let Some((waiting, advice)) = turns.release(at(now), &sites) {
                    prop_assert!(queued.remove(&waiting).is_some(), "released turn was not waiting");
                    prop_assert_eq!(advice.choices.is_empty(), advice.decision == Decision::Reject);
                    outputs.push(format!("{advice:?}"));
                }
                prop_assert!(queued.values().all(|until| *until > at(now)), "a deadline has passed");
                let bytes: usize = out.iter().map(|Output::Send { data, .. }| data.len()).sum();
                prop_assert!(bytes <= 9_600, "{} bytes sent", bytes);
                let fits = out.iter().all(|Output::Send { data, to }| data.len() <= 1_194 && to.0 != 1);
                prop_assert!(fits, "datagram is too long or goes to its sender");
                outputs.push(format!("{out:?}"));
            }
        }
        let view = turns.view(at(now));
        prop_assert!(view.bytes <= 64 << 10 && view.open == open.len());
        prop_assert!(view.waiting == queued.len() && queued.len() <= MAX_WAITING_TURNS);
        prop_assert!(view.sites.iter().all(|s| s.load.is_finite() && s.horizon >= 7.9 && s.horizon <= 4.1e9));
    }
    outputs.push(format!("{:?}", turns.view(at(now))));
    Ok(outputs)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn any_history_keeps_the_bounds_and_is_deterministic(
        steps in prop::collection::vec(step(), 1..160), seed in any::<u64>()
    ) {
        let outputs = play(&steps, seed)?;
        prop_assert_eq!(outputs, play(&steps, seed)?);
    }

    /// Two activators that expect a conversation at different sites, whatever each of them did: after each has
    /// received the other's message, both send its next turn to the same site.
    #[test]
    fn activators_that_disagree_converge(
        len in 1..20u8, a in 0..SITES, b in 0..SITES, seed in any::<u64>(), duplicated in any::<bool>()
    ) {
        let mut routers: Vec<TurnRouter> =
            (1..=2).map(|i| TurnRouter::new(Settings::default(), MemberId(i), i, seed, at(0.0)).unwrap()).collect();
        let sites: Vec<SiteStatus> = (0..SITES)
            .map(|s| SiteStatus { site: SiteId(s), capacity: 4.0, in_flight: 0.0, remote: false })
            .collect();
        let one = turn(3, len, 2, false, false);
        for (i, (turns, site)) in routers.iter_mut().zip([a, b]).enumerate() {
            turns.set_members(at(0.0), [MemberId(1), MemberId(2)]);
            turns.place(at(0.1), &turn(9, 4, 1, false, false), &sites);
            turns.on_sent(at(0.1), AttemptToken(1), &one, SiteId(site));
            turns.on_answered(
                at(0.2), AttemptToken(1), Some(if i == 0 { 0 } else { u32::from(len) }), Duration::from_millis(40),
            );
        }
        for (from, to) in [(0, 1), (1, 0)] {
            let mut out = Vec::new();
            routers[from].handle_timers(at(1.0), &mut out);
            prop_assert!(!out.is_empty());
            for Output::Send { data, .. } in &out {
                for _ in 0..1 + u8::from(duplicated) {
                    routers[to].receive(at(1.1), MemberId(from as u32 + 1), data, &mut Vec::new());
                }
            }
        }
        let next = turn(3, len + 2, 1, false, false);
        let picks: Vec<SiteId> =
            routers.iter_mut().map(|t| t.place(at(2.0), &next, &sites).choices[0].site).collect();
        prop_assert_eq!(picks[0], picks[1]);
        prop_assert!(picks[0] == SiteId(a) || picks[0] == SiteId(b));
    }
}

fn sites(n: u32) -> Vec<SiteStatus> {
    (0..n).map(|s| SiteStatus { site: SiteId(s), capacity: 4.0, in_flight: 0.0, remote: false }).collect()
}

fn single_router(settings: Settings) -> TurnRouter {
    TurnRouter::new(settings, MemberId(1), 1, 5, at(0.0)).unwrap()
}

/// Serves a turn at the advised site, which reports `found` blocks, and returns the site.
fn serve(turns: &mut TurnRouter, now: f64, token: u64, turn: &Turn, n: u32, found: u32) -> SiteId {
    let site = turns.place(at(now), turn, &sites(n)).choices[0].site;
    turns.on_sent(at(now), AttemptToken(token), turn, site);
    turns.on_answered(at(now + 0.03), AttemptToken(token), Some(found), Duration::from_millis(30));
    site
}

/// A wrong expectation costs one miss: the site that served the miss holds the prefix from then on.
#[test]
fn a_wrong_expectation_costs_one_miss_and_is_counted() {
    let mut turns = single_router(Settings::default());
    let first = serve(&mut turns, 1.0, 1, &turn(1, 20, 2, false, false), 4, 0);
    assert_eq!(serve(&mut turns, 2.0, 2, &turn(1, 22, 2, false, false), 4, 0), first);
    assert_eq!(turns.view(at(2.1)).misses, 1);
    assert_eq!(serve(&mut turns, 3.0, 3, &turn(1, 24, 2, false, false), 4, 24), first);
    assert_eq!(turns.view(at(3.1)).misses, 1);
}

/// A tenant whose hashes are never found stops influencing placement, and what is expected for other tenants stays.
#[test]
fn wrong_hashes_of_a_tenant_have_bounded_effect() {
    let mut turns = single_router(Settings::default());
    for i in 0..400u64 {
        let honest = Turn { tenant: 1, ..turn((i % 40) as u8, 12, 0, false, false) };
        serve(&mut turns, i as f64 * 0.05, 2 * i, &honest, 4, if i < 40 { 0 } else { 12 });
        let lying_turn = Turn { tenant: 2, conversation: 5_000 + i % 10, ..turn(200, 12, 0, false, false) };
        serve(&mut turns, i as f64 * 0.05, 2 * i + 1, &lying_turn, 4, 0);
    }
    let view = turns.view(at(21.0));
    assert_eq!(view.distrusted_tenants, 1);
    assert!(view.sites.iter().all(|s| s.horizon > 500.0), "wrong hashes changed horizons: {:?}", view.sites);
    let lying_turn = Turn { tenant: 2, ..turn(200, 12, 0, false, false) };
    let advice = turns.place(at(21.0), &lying_turn, &sites(4));
    assert!(advice.choices.iter().all(|c| c.expected_blocks == 0), "{advice:?}");
    let honest = Turn { tenant: 1, ..turn(7, 12, 0, false, false) };
    assert!(turns.place(at(21.0), &honest, &sites(4)).choices[0].expected_blocks > 8);
}

/// With two concurrent turns of a conversation, a late older one and a repeated one, the longest prefix stays known.
#[test]
fn concurrent_late_and_repeated_turns_keep_the_longest_prefix() {
    let mut turns = single_router(Settings::default());
    let home = serve(&mut turns, 1.0, 1, &turn(1, 10, 2, false, false), 4, 0);
    let (short, long) = (turn(1, 12, 2, false, false), turn(1, 14, 2, false, false));
    turns.on_sent(at(2.0), AttemptToken(2), &long, home);
    turns.on_sent(at(2.0), AttemptToken(3), &short, home);
    turns.on_answered(at(2.1), AttemptToken(2), Some(12), Duration::from_millis(30));
    turns.on_answered(at(2.2), AttemptToken(3), Some(12), Duration::from_millis(30));
    turns.on_sent(at(2.3), AttemptToken(4), &short, home);
    turns.on_sent(at(2.3), AttemptToken(4), &short, home);
    turns.on_answered(at(2.4), AttemptToken(4), Some(12), Duration::from_millis(30));
    let choice = turns.place(at(3.0), &turn(1, 16, 1, false, false), &sites(4)).choices[0];
    assert_eq!((choice.site, choice.expected_blocks), (home, 16));
    assert_eq!(turns.view(at(3.0)).misses, 0);
}

/// A router with 240 conversations of 4 to 60 blocks, whose only site is lost. The tests ask for them again at 9.5 or
/// 10 s.
fn router_after_loss(settings: Settings) -> TurnRouter {
    let mut turns = single_router(settings);
    for i in 0..240u64 {
        turns.on_sent(at(1.0 + i as f64 * 0.01), AttemptToken(i), &lost(i), SiteId(0));
        turns.on_answered(at(1.1 + i as f64 * 0.01), AttemptToken(i), Some(0), Duration::from_millis(30));
    }
    turns.site_lost(SiteId(0));
    turns
}

fn lost(i: u64) -> Turn {
    Turn { conversation: i, ..turn((i % 240) as u8, 4 + (i % 5) as u8 * 14, 0, false, false) }
}

/// The three remaining sites, with every lane busy with other turns.
fn busy_sites() -> Vec<SiteStatus> {
    sites(4).into_iter().skip(1).map(|s| SiteStatus { in_flight: 4.0, ..s }).collect()
}

/// The conversations of a lost site are recomputed within a budget, the most valuable first. The others wait, and are
/// rejected no later than at their deadline.
#[test]
fn lost_conversations_are_recomputed_in_order_of_value() {
    let mut turns = router_after_loss(Settings { recompute_share: 1.0, ..Settings::default() });
    turns.place(at(9.0), &turn(250, 0, 1, false, false), &busy_sites());
    let mut waiting: BTreeMap<WaitingId, (u64, Duration)> = BTreeMap::new();
    // By length: turns sent, and turns rejected.
    let mut of: BTreeMap<u64, (u32, u32)> = BTreeMap::new();
    let (mut blocks, mut next) = (0, 1_000);
    let mut go = |turns: &mut TurnRouter, now, i: u64, choices: &[Choice]| {
        assert_ne!(choices[0].site, SiteId(0));
        next += 1;
        blocks += lost(i).prefix.len();
        turns.on_sent(now, AttemptToken(next), &lost(i), choices[0].site);
    };
    for step in 0..400u64 {
        let now = at(10.0 + step as f64 * 0.001);
        if step < 240 {
            let advice = turns.place(now, &lost(step), &busy_sites());
            match advice.decision {
                Decision::Send => {
                    of.entry(step % 5).or_default().0 += 1;
                    go(&mut turns, now, step, &advice.choices);
                }
                Decision::Wait(id, until) => drop(waiting.insert(id, (step, until))),
                Decision::Reject => of.entry(step % 5).or_default().1 += 1,
            }
        }
        while let Some((id, advice)) = turns.release(now, &busy_sites()) {
            let (i, until) = waiting.remove(&id).expect("released turn was waiting");
            assert!(now <= until + Duration::from_millis(1), "released at {now:?}, its time was {until:?}");
            match advice.decision {
                Decision::Send => {
                    of.entry(i % 5).or_default().0 += 1;
                    go(&mut turns, now, i, &advice.choices);
                }
                Decision::Reject => of.entry(i % 5).or_default().1 += 1,
                Decision::Wait(..) => panic!("released turn waits again"),
            }
        }
    }
    assert!(waiting.is_empty() && turns.view(at(10.4)).waiting == 0);
    let (long, short) = (of[&4], of[&0]);
    assert!(
        long.0 > short.0 && short.1 > long.1,
        "sent and rejected: {long:?} long ones, {short:?} short ones"
    );
    // Three sites of four lanes: the full budget, the refill within 0.4 s, and one longest prefix by which the last
    // turn may overdraw each budget.
    let most = 3.0 * (4.0 / 0.005) * 1.4 + 3.0 * 64.0;
    assert!(blocks as f64 <= most && blocks > 1_500, "{blocks} blocks, {most} at most");
}

/// Idle lanes recompute without a reserved share of capacity; busy ones do not.
#[rstest]
#[case::idle(0.0, true)]
#[case::busy(4.0, false)]
fn idle_lanes_recompute_lost_prefixes(#[case] in_flight: f64, #[case] sent: bool) {
    let mut turns = router_after_loss(Settings { recompute_share: 0.0, ..Settings::default() });
    let rest: Vec<SiteStatus> = busy_sites().into_iter().map(|s| SiteStatus { in_flight, ..s }).collect();
    (0..50)
        .for_each(|i| drop(turns.place(at(4.0 + f64::from(i) * 0.1), &turn(250, 0, 1, false, false), &rest)));
    let advice = turns.place(at(10.0), &lost(4), &rest);
    assert_eq!(advice.decision, if sent { Decision::Send } else { Decision::Reject });
}

/// A turn is rejected at once if there is no budget and no time to wait. The budget granted to a turn that is not
/// sent is available to others.
#[test]
fn a_turn_that_cannot_be_served_in_time_is_rejected_at_once() {
    let mut turns =
        router_after_loss(Settings { recompute_share: 1.0, wait_share: 0.0, ..Settings::default() });
    turns.place(at(9.0), &turn(250, 0, 1, false, false), &busy_sites());
    let budget = |r: &TurnRouter| -> f64 { r.view(at(10.0)).sites.iter().skip(1).map(|s| s.budget.0).sum() };
    turns.place(at(9.5), &turn(251, 0, 1, false, false), &busy_sites());
    let before = budget(&turns);
    assert_eq!(turns.place(at(9.5), &lost(4), &busy_sites()).decision, Decision::Send);
    assert_eq!(budget(&turns), before - 60.0);
    turns.cancel_grant(&lost(4));
    turns.cancel_grant(&lost(4));
    assert_eq!(budget(&turns), before, "refunded once");
    let mut rejected = 0;
    for i in 0..240 {
        let advice = turns.place(at(9.5), &lost(i), &busy_sites());
        assert!(!matches!(advice.decision, Decision::Wait(..)));
        rejected += u64::from(advice.decision == Decision::Reject);
    }
    assert!(rejected > 100 && turns.view(at(9.5)).rejected == rejected);
}

/// The number of waiting turns is bounded: the least valuable ones are evicted and reported, and a client that left
/// makes room.
#[test]
fn the_wait_queue_is_bounded_and_keeps_the_most_valuable_turns() {
    let mut turns =
        router_after_loss(Settings { recompute_share: 0.02, wait_share: 0.9, ..Settings::default() });
    turns.place(at(9.0), &turn(250, 0, 1, false, false), &busy_sites());
    let (mut waiting, mut most) = (BTreeMap::new(), 0);
    for i in 0..2_000u64 {
        let t = Turn { worth: (1 + i % 97) as f64, time_left: Duration::from_secs(100), ..lost(i % 240) };
        if let Decision::Wait(id, _) = turns.place(at(10.0), &t, &busy_sites()).decision {
            waiting.insert(id, t.worth * t.prefix.len() as f64);
        }
        most = most.max(turns.view(at(10.0)).waiting);
        while let Some((id, advice)) = turns.release(at(10.0), &busy_sites()) {
            assert_eq!(advice.decision, Decision::Reject, "there is no budget");
            let value = waiting.remove(&id).expect("released turn was waiting");
            let least = waiting.values().fold(f64::MAX, |a, b| a.min(*b));
            assert!(value <= least, "{value} was evicted before {least}");
        }
    }
    assert_eq!((most, waiting.len()), (MAX_WAITING_TURNS, MAX_WAITING_TURNS));
    waiting.keys().for_each(|id| turns.withdraw(*id));
    assert_eq!((turns.view(at(10.0)).waiting, turns.release(at(500.0), &busy_sites())), (0, None));
}

/// A prefix that many conversations ask for is held at several sites; one that few ask for stays where it is.
#[test]
fn a_common_prefix_is_replicated_in_proportion_to_its_use() {
    let copies = |calls: u64, every: f64| {
        let mut turns = single_router(Settings::default());
        let mut at_sites = BTreeSet::new();
        for i in 0..calls {
            let mut t = Turn { conversation: 10_000 + i, ..turn(1, 0, 0, false, false) };
            t.prefix = (0..6).map(|k| mix(999, k)).chain((0..4).map(|k| mix(i + 50, k))).collect();
            let now = i as f64 * every;
            let site = turns.place(at(now), &t, &sites(6)).choices[0].site;
            turns.on_sent(at(now), AttemptToken(i), &t, site);
            let found = if at_sites.insert(site) { 0 } else { 6 };
            turns.on_answered(at(now + 0.05), AttemptToken(i), Some(found), Duration::from_millis(50));
        }
        at_sites.len()
    };
    let (few, many) = (copies(6, 30.0), copies(400, 0.02));
    assert!(few <= 3 && many == 6, "{few} sites for 6 uses, {many} for 400");
}

/// Simulated days of a fleet: the hit rate is close to that of the oracle, and no site is above its bound.
#[test]
fn a_simulated_day_has_a_high_hit_rate_within_the_load_bound() {
    let config = |policy, lost| Config { length: 150.0, rate: 250.0, lost, ..Config::new(42, policy) };
    for lost in [None, Some((80.0, 110.0))] {
        let (best, _) = Fleet::new(config(Policy::Oracle, lost)).play();
        let (r, fleet) = Fleet::new(config(Policy::Router, lost)).play();
        assert!(r.found >= 0.95 * best.found, "{} of {} found, {lost:?}", r.found, best.found);
        assert!(r.load_30s <= 1.25, "{} times the mean within 30 s, {lost:?}", r.load_30s);
        assert!(r.calls_10s <= 1.25, "{} times its share of calls within 10 s, {lost:?}", r.calls_10s);
        assert!(r.after_return <= 1.25, "{} times its share after its return", r.after_return);
        assert!(fleet.routers.iter().all(|t| t.view(at(150.0)).bytes <= 4 << 20));
        assert_eq!(r, Fleet::new(config(Policy::Router, lost)).play().0);
    }
}

/// With lanes idle nine tenths of the time, each site still gets its share of the calls by weight, give or take one
/// call, before a loss, after it and after the return, and the hit rate is close to the oracle's.
#[test]
fn few_calls_are_spread_by_weight() {
    let config = |policy| Config {
        length: 150.0,
        rate: 60.0,
        lost: Some((90.0, 110.0)),
        weights: vec![(0, 50)],
        ..Config::new(42, policy)
    };
    let (best, _) = Fleet::new(config(Policy::Oracle)).play();
    let (r, _) = Fleet::new(config(Policy::Router)).play();
    assert!(r.found >= 0.95 * best.found, "{} of {} found", r.found, best.found);
    assert!(best.calls_10s > 1.5, "{} times its share: there is nothing to bound", best.calls_10s);
    assert!(r.calls_10s_less_one <= 1.25, "{} times its share of calls", r.calls_10s_less_one);
    assert!(r.after_return <= 1.25, "{} times its share after its return", r.after_return);
}
