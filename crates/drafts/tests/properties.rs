//! Properties that hold for any history: no count is used twice, memory is bounded, and no datagram breaks the receiver.

use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use wheellink_drafts::{
    CallStats, Draft, DraftLearner, DraftTable, MemberId, Output, Refusal, Settings, Workload,
    MAX_DATAGRAM_BYTES,
};

const MEMBERS: usize = 3;

fn settings() -> Settings {
    let secs = Duration::from_secs;
    Settings {
        epoch: secs(600),
        review: secs(1),
        period: secs(1),
        fanout: 2,
        drafters: 2,
        ..Settings::default()
    }
}

#[derive(Clone, Debug)]
enum Step {
    Serve {
        who: usize,
        index: u8,
        draft: Draft,
        band: u8,
        rounds: u32,
    },
    Timers(usize),
    Deliver {
        which: usize,
        keep: bool,
    },
    /// Delivers a datagram truncated to `bytes`.
    Truncate {
        which: usize,
        bytes: usize,
    },
    Drop(usize),
    Restart(usize),
}

fn draft() -> impl Strategy<Value = Draft> {
    (0u8..=2, 1u8..=8).prop_map(|(drafter, length)| match drafter {
        0 => Draft::OFF,
        _ => Draft { drafter, length },
    })
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..MEMBERS, 0u8..3, draft(), 0u8..4, 1u32..50)
            .prop_map(|(who, index, draft, band, rounds)| Step::Serve { who, index, draft, band, rounds }),
        6 => (0..MEMBERS).prop_map(Step::Timers),
        8 => (any::<usize>(), any::<bool>()).prop_map(|(which, keep)| Step::Deliver { which, keep }),
        1 => (any::<usize>(), 0usize..MAX_DATAGRAM_BYTES).prop_map(|(which, bytes)| Step::Truncate { which, bytes }),
        2 => any::<usize>().prop_map(Step::Drop),
        1 => (0..MEMBERS).prop_map(Step::Restart),
    ]
}

fn ran(index: u8, draft: Draft, band: u8, rounds: u32) -> CallStats {
    let accepted: Vec<u32> = (0..u32::from(draft.length)).map(|i| rounds * (8 - i) / 10).collect();
    let tokens = rounds + accepted.iter().sum::<u32>();
    let workload = Workload::new(&format!("w{index}")).unwrap();
    CallStats {
        workload,
        draft,
        band,
        version: 1,
        rounds,
        accepted,
        tokens,
        time: Duration::from_millis(u64::from(rounds) * 9),
    }
}

struct World {
    members: Vec<DraftLearner>,
    now: Duration,
    started: u64,
    /// The rounds that each member served in all its incarnations.
    served: [u64; MEMBERS],
    /// The rounds that each member served in its current incarnation.
    current: [u64; MEMBERS],
    in_transit: Vec<(usize, usize, Vec<u8>)>,
}

impl World {
    fn new() -> Self {
        let (now, in_transit) = (Duration::ZERO, Vec::new());
        let mut world =
            Self { members: Vec::new(), now, started: 0, served: [0; 3], current: [0; 3], in_transit };
        for who in 0..MEMBERS {
            let member = world.new_learner(who);
            world.members.push(member);
        }
        world
    }

    fn new_learner(&mut self, who: usize) -> DraftLearner {
        self.started += 1;
        let mut drafts =
            DraftLearner::new(settings(), MemberId(who as u32), self.started, self.started, self.now)
                .unwrap();
        drafts.set_members((0..MEMBERS as u32).map(MemberId), MEMBERS - 1);
        drafts
    }

    fn take(&mut self, step: &Step) {
        self.now += Duration::from_millis(100);
        match step.clone() {
            Step::Serve { who, index, draft, band, rounds } => {
                self.members[who].record_call(self.now, &ran(index, draft, band, rounds)).unwrap();
                self.served[who] += u64::from(rounds);
                self.current[who] += u64::from(rounds);
            }
            Step::Timers(who) => {
                self.now += Duration::from_secs(1);
                let mut out = Vec::new();
                self.members[who].handle_timers(self.now, &mut out);
                for o in out {
                    if let Output::Send { to, data } = o {
                        assert!(data.len() <= MAX_DATAGRAM_BYTES);
                        self.in_transit.push((who, to.0 as usize, data));
                    }
                }
            }
            Step::Deliver { which, keep } if !self.in_transit.is_empty() => {
                let at = which % self.in_transit.len();
                let (from, to, data) =
                    if keep { self.in_transit[at].clone() } else { self.in_transit.swap_remove(at) };
                self.members[to].receive(self.now, MemberId(from as u32), &data, &mut Vec::new());
            }
            Step::Truncate { which, bytes } if !self.in_transit.is_empty() => {
                let (from, to, data) = self.in_transit[which % self.in_transit.len()].clone();
                let cut = &data[..bytes.min(data.len() - 1)];
                self.members[to].receive(self.now, MemberId(from as u32), cut, &mut Vec::new());
            }
            Step::Drop(which) if !self.in_transit.is_empty() => {
                let at = which % self.in_transit.len();
                self.in_transit.swap_remove(at);
            }
            Step::Restart(who) => {
                self.members[who] = self.new_learner(who);
                self.current[who] = 0;
            }
            _ => {}
        }
    }

    /// The rounds that member `at` holds of member `of`: reported directly, and relayed.
    fn held(&self, at: usize, of: usize) -> (u64, u64) {
        let view = self.members[at].view(self.now);
        view.members.iter().find(|m| m.member == of as u32).map_or((0, 0), |m| (m.rounds, m.hearsay))
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, failure_persistence: None, rng_seed: RngSeed::Fixed(33), ..ProptestConfig::default() })]

    #[test]
    fn no_count_is_used_twice(steps in proptest::collection::vec(step(), 1..160)) {
        let mut world = World::new();
        for step in &steps {
            world.take(step);
            for at in 0..MEMBERS {
                let view = world.members[at].view(world.now);
                for member in &view.members {
                    let (direct, hearsay, most) = (member.rounds, member.hearsay, world.served[member.member as usize]);
                    prop_assert!(direct <= most && hearsay <= most, "at {at}: {member:?} of {most}");
                }
                // The evaluations never use more rounds than were served.
                let weighs: u64 = view.workloads.values().map(|w| w.rounds).sum();
                prop_assert!(weighs <= world.served.iter().sum::<u64>(), "{weighs} weigh at {at}");
            }
        }
        // All outstanding datagrams arrive twice: then all rounds of the current incarnations are known.
        for _ in 0..25 {
            (0..MEMBERS).for_each(|who| world.take(&Step::Timers(who)));
            while !world.in_transit.is_empty() {
                let which = world.in_transit.len() - 1;
                world.take(&Step::Deliver { which, keep: true });
                world.take(&Step::Deliver { which, keep: false });
            }
        }
        for at in 0..MEMBERS {
            for of in (0..MEMBERS).filter(|of| *of != at) {
                let (direct, _) = world.held(at, of);
                prop_assert!(direct >= world.current[of], "{} of {}: {} of {}", at, of, direct, world.current[of]);
            }
        }
    }

    #[test]
    fn no_datagram_breaks_the_receiver(
        random_bytes in proptest::collection::vec(any::<u8>(), 0..MAX_DATAGRAM_BYTES + 20),
        flips in proptest::collection::vec((any::<usize>(), any::<u8>()), 1..6),
    ) {
        let mut world = World::new();
        for rounds in 1..20 {
            let draft = Draft { drafter: 1, length: (rounds % 8 + 1) as u8 };
            world.take(&Step::Serve { who: 0, index: (rounds % 3) as u8, draft, band: 0, rounds });
        }
        world.take(&Step::Timers(0));
        let (_, _, valid) = world.in_transit[0].clone();
        let mut out = Vec::new();
        world.members[1].receive(world.now, MemberId(0), &random_bytes, &mut out);
        let mut corrupted = valid.clone();
        for (at, byte) in flips {
            let at = at % corrupted.len();
            corrupted[at] ^= byte;
        }
        world.members[1].receive(world.now, MemberId(0), &corrupted, &mut out);
        world.members[1].receive(world.now, MemberId(77), &valid, &mut out);
        // The receiver continues to send and to evaluate.
        let later = world.now + Duration::from_secs(5);
        world.members[1].handle_timers(later, &mut out);
        let _ = world.members[1].propose(later, &DraftTable::new(), 1);
        let view = world.members[1].view(later);
        prop_assert!(view.rows <= settings().rows_in_all);
        prop_assert!(view.refused.values().sum::<u64>() > 0, "at least the unknown member is rejected");
    }

    /// A member that invents incarnations, workloads and rows uses no more than its bounds and leaves room for others.
    #[test]
    fn invented_rows_stay_within_bounds(seed in any::<u64>()) {
        let small = Settings { workloads: 8, rows: 32, rows_in_all: 64, lives: 2, ..settings() };
        let now = Duration::from_secs(1);
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut victim = DraftLearner::new(small.clone(), MemberId(1), 1, 1, now).unwrap();
        victim.set_members([MemberId(2), MemberId(3)], 2);
        for incarnation in 0..12 {
            let big = Settings { rows: 4_096, rows_in_all: 4_096, workloads: 1_024, ..settings() };
            let mut forger = DraftLearner::new(big, MemberId(2), incarnation, seed, now).unwrap();
            forger.set_members([MemberId(1)], 1);
            for _ in 0..60 {
                let draft = Draft { drafter: 1, length: rng.u8(1..=8) };
                let _ = forger.record_call(now, &ran(rng.u8(..6), draft, rng.u8(0..4), 5));
            }
            for second in 1..6 {
                let mut out = Vec::new();
                forger.handle_timers(now + Duration::from_secs(second * 2), &mut out);
                for o in out {
                    if let Output::Send { data, .. } = o {
                        victim.receive(now + Duration::from_secs(second * 2), MemberId(2), &data, &mut Vec::new());
                    }
                }
            }
            let view = victim.view(now);
            prop_assert!(view.rows <= 64, "{} rows", view.rows);
            prop_assert!(view.members.iter().all(|m| m.lives <= 2));
        }
        let own_call = victim.record_call(now, &ran(200, Draft::OFF, 0, 5));
        // The rows of one member do not fill the whole store here, and workloads of others use at most half of the capacity.
        prop_assert!(own_call.is_ok() || victim.view(now).rows >= 64, "{own_call:?}");
    }
}

#[test]
fn impossible_counts_are_rejected_with_the_reason() {
    let now = Duration::from_secs(1);
    let mut drafts = DraftLearner::new(settings(), MemberId(1), 1, 1, now).unwrap();
    let good = ran(0, Draft { drafter: 1, length: 3 }, 0, 10);
    assert_eq!(drafts.record_call(now, &good), Ok(()));
    type Change = fn(&mut CallStats);
    let cases: [(Refusal, Change); 10] = [
        (Refusal::Accepted, |r| r.accepted = vec![11, 3, 2]),
        (Refusal::Accepted, |r| r.accepted = vec![3, 4, 2]),
        (Refusal::Positions, |r| r.accepted = vec![3, 2]),
        (Refusal::Tokens, |r| r.tokens = 10_000),
        (Refusal::Time, |r| r.time = Duration::ZERO),
        (Refusal::Time, |r| r.time = Duration::from_secs(41)),
        (Refusal::Rounds, |r| (r.rounds, r.accepted, r.tokens) = (0, vec![0; 3], 0)),
        (Refusal::Band, |r| r.band = 4),
        (Refusal::Draft, |r| r.draft = Draft { drafter: 3, length: 3 }),
        (Refusal::Draft, |r| r.draft = Draft { drafter: 0, length: 3 }),
    ];
    for (why, change) in cases {
        let mut bad = good.clone();
        change(&mut bad);
        assert_eq!(drafts.record_call(now, &bad), Err(why), "{bad:?}");
    }
    let view = drafts.view(now);
    assert_eq!(view.members[0].rounds, 10, "rejected calls are not counted");
    assert_eq!(view.refused.values().sum::<u64>(), 10);
}
