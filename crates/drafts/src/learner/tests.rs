//! Unit tests of `learner`.

use super::*;

const NOW: Duration = Duration::from_secs(30);

fn member(name: u32, others: &[u32]) -> DraftLearner {
    let mut learner = DraftLearner::new(Settings::default(), MemberId(name), 1, 1, Duration::ZERO).unwrap();
    learner.set_members(others.iter().map(|n| MemberId(*n)), others.len());
    learner
}

/// A datagram about an incarnation with one row of `rounds` rounds.
fn datagram_of(relayed_for: Option<u32>, incarnation: u64, clock: u64, epoch: u32, rounds: u64) -> Vec<u8> {
    let key = Key { epoch, workload: 0, draft: Draft { drafter: 1, length: 1 }, band: 0, version: 1 };
    let mut sums = Sums { calls: rounds, rounds, tokens: rounds, micros: rounds, ..Sums::default() };
    sums.accepted[0] = rounds;
    let owner = RowsOwner { member: relayed_for.map(MemberId), incarnation, clock_ms: clock };
    wire::write(owner, [(&key, &sums)].into_iter(), |_| Workload::new("w").unwrap()).0
}

/// The rounds by reporter.
fn rounds_by_reporter(learner: &DraftLearner, now: Duration) -> BTreeMap<u32, u64> {
    let mut by: BTreeMap<u32, u64> = BTreeMap::new();
    learner.store.for_each(now, &learner.settings, |i| *by.entry(i.reporter.0).or_default() += i.sums.rounds);
    by
}

#[test]
fn relayed_rows_count_for_their_reporter_and_yield_to_direct_ones() {
    let (mut learner, mut outputs) = (member(1, &[2, 3, 4]), Vec::new());
    // Member 4 invents counts of members 2 and 3.
    for relayed_for in [2, 3] {
        learner.receive(NOW, MemberId(4), &datagram_of(Some(relayed_for), 7, 30_000, 2, 1_000), &mut outputs);
    }
    assert_eq!(rounds_by_reporter(&learner, NOW), [(4, 2_000)].into());
    // Member 2 reports the same row itself: the relayed one no longer counts.
    learner.receive(NOW, MemberId(2), &datagram_of(None, 7, 30_000, 2, 50), &mut outputs);
    assert_eq!(rounds_by_reporter(&learner, NOW), [(2, 50), (4, 1_000)].into());
    // Rows of this member's current incarnation are rejected; those of its previous one are accepted.
    learner.receive(NOW, MemberId(4), &datagram_of(Some(1), 1, 30_000, 2, 9), &mut outputs);
    learner.receive(NOW, MemberId(3), &datagram_of(Some(1), 0, 30_000, 2, 9), &mut outputs);
    assert_eq!(rounds_by_reporter(&learner, NOW), [(2, 50), (3, 9), (4, 1_000)].into());
    // Relayed rows are not relayed again.
    for second in 31..60 {
        learner.handle_timers(Duration::from_secs(second), &mut outputs);
    }
    for o in &outputs {
        if let Output::Send { data, .. } = o {
            assert_eq!(
                wire::read(data).unwrap().owner.member,
                Some(MemberId(2)),
                "only directly reported rows"
            );
        }
    }
    assert!(!outputs.is_empty());
}

#[test]
fn unknown_members_and_false_identities_are_rejected() {
    let (mut learner, mut outputs) = (member(1, &[2, 3]), Vec::new());
    learner.receive(NOW, MemberId(9), &datagram_of(None, 7, 30_000, 2, 50), &mut outputs);
    learner.receive(NOW, MemberId(2), &datagram_of(Some(9), 7, 30_000, 2, 50), &mut outputs);
    learner.receive(NOW, MemberId(2), &datagram_of(Some(2), 7, 30_000, 2, 50), &mut outputs);
    learner.receive(NOW, MemberId(1), &datagram_of(None, 7, 30_000, 2, 50), &mut outputs);
    assert_eq!(learner.refusals, [(Refusal::UnknownMember, 4)].into());
    assert!(rounds_by_reporter(&learner, NOW).is_empty());
}

#[test]
fn rows_expire_by_their_incarnations_clock_and_a_delayed_datagram_does_not_revive_them() {
    let (mut learner, mut outputs) = (member(1, &[2, 3]), Vec::new());
    let datagram = datagram_of(None, 7, 30_000, 2, 50);
    learner.receive(NOW, MemberId(2), &datagram, &mut outputs);
    // Rows of epochs that the incarnation's clock has not reached do not count.
    learner.receive(NOW, MemberId(2), &datagram_of(None, 7, 30_000, 3, 70), &mut outputs);
    assert_eq!(rounds_by_reporter(&learner, NOW), [(2, 50)].into());
    let window = learner.settings.epoch * learner.settings.window;
    assert_eq!(rounds_by_reporter(&learner, NOW + window - Duration::from_secs(1)), [(2, 50)].into());
    let late = NOW + window + Duration::from_secs(1);
    assert!(rounds_by_reporter(&learner, late).is_empty(), "expired without further datagrams");
    learner.handle_timers(late, &mut outputs);
    learner.receive(late, MemberId(2), &datagram, &mut outputs);
    assert!(rounds_by_reporter(&learner, late).is_empty(), "the incarnation's clock has advanced");
}

#[test]
fn incarnations_are_bounded_and_relayed_rows_evict_no_direct_ones() {
    let (mut learner, mut outputs) = (member(1, &[2, 3]), Vec::new());
    for incarnation in 0..10 {
        let now = NOW + Duration::from_millis(incarnation);
        learner.receive(now, MemberId(2), &datagram_of(None, incarnation, 30_000, 2, 50), &mut outputs);
    }
    for incarnation in 10..20 {
        learner.receive(NOW, MemberId(3), &datagram_of(Some(2), incarnation, 30_000, 2, 50), &mut outputs);
    }
    assert_eq!(rounds_by_reporter(&learner, NOW), [(2, 200)].into(), "the last four incarnations");
    assert_eq!(learner.refusals, [(Refusal::StoreFull, 10)].into());
}
