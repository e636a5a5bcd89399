//! Tests of `drafts` that need its private state.

use super::*;

const NOW: Duration = Duration::from_secs(30);

fn member(name: u32, others: &[u32]) -> DraftLearner {
    let mut drafts = DraftLearner::new(Settings::default(), MemberId(name), 1, 1, Duration::ZERO).unwrap();
    drafts.set_members(others.iter().map(|n| MemberId(*n)), others.len());
    drafts
}

/// A datagram about a life, with one row of so many rounds.
fn relayed(relayed_for: Option<u32>, incarnation: u64, clock: u64, epoch: u32, rounds: u64) -> Vec<u8> {
    let key = Key { epoch, workload: 0, draft: Draft { drafter: 1, length: 1 }, band: 0, version: 1 };
    let mut sums = Sums { calls: rounds, rounds, tokens: rounds, micros: rounds, ..Sums::default() };
    sums.accepted[0] = rounds;
    let owner = RowsOwner { relayed_for: relayed_for.map(MemberId), incarnation, clock_ms: clock };
    wire::write(owner, [(&key, &sums)].into_iter(), |_| Workload::new("w").unwrap()).0
}

/// Rounds by the teller with whom they weigh.
fn weights(drafts: &DraftLearner, now: Duration) -> BTreeMap<u32, u64> {
    let mut by: BTreeMap<u32, u64> = BTreeMap::new();
    drafts
        .store
        .for_each_counted(now, &drafts.settings, |i| *by.entry(i.reporter.0).or_default() += i.sums.rounds);
    by
}

#[test]
fn hearsay_weighs_with_its_teller_and_stands_behind_what_was_heard() {
    let (mut drafts, mut out) = (member(1, &[2, 3, 4]), Vec::new());
    // The fourth makes up counts of the others.
    for relayed_for in [2, 3] {
        drafts.receive(NOW, MemberId(4), &relayed(Some(relayed_for), 7, 30_000, 2, 1_000), &mut out);
    }
    assert_eq!(weights(&drafts, NOW), [(4, 2_000)].into());
    // One of them speaks for itself: of the same row nothing else counts.
    drafts.receive(NOW, MemberId(2), &relayed(None, 7, 30_000, 2, 50), &mut out);
    assert_eq!(weights(&drafts, NOW), [(2, 50), (4, 1_000)].into());
    // Of itself in this life nobody tells it anything; of its last life they do.
    drafts.receive(NOW, MemberId(4), &relayed(Some(1), 1, 30_000, 2, 9), &mut out);
    drafts.receive(NOW, MemberId(3), &relayed(Some(1), 0, 30_000, 2, 9), &mut out);
    assert_eq!(weights(&drafts, NOW), [(2, 50), (3, 9), (4, 1_000)].into());
    // Hearsay is not told on.
    for second in 31..60 {
        drafts.wake(Duration::from_secs(second), &mut out);
    }
    for o in &out {
        if let Output::Send { data, .. } = o {
            assert_eq!(
                wire::read(data).unwrap().owner.relayed_for,
                Some(MemberId(2)),
                "only what was heard directly"
            );
        }
    }
    assert!(!out.is_empty());
}

#[test]
fn strangers_and_false_names_are_refused() {
    let (mut drafts, mut out) = (member(1, &[2, 3]), Vec::new());
    drafts.receive(NOW, MemberId(9), &relayed(None, 7, 30_000, 2, 50), &mut out);
    drafts.receive(NOW, MemberId(2), &relayed(Some(9), 7, 30_000, 2, 50), &mut out);
    drafts.receive(NOW, MemberId(2), &relayed(Some(2), 7, 30_000, 2, 50), &mut out);
    drafts.receive(NOW, MemberId(1), &relayed(None, 7, 30_000, 2, 50), &mut out);
    assert_eq!(drafts.rejections, [(Rejection::UnknownMember, 4)].into());
    assert!(weights(&drafts, NOW).is_empty());
}

#[test]
fn windows_forget_by_the_members_own_clock_and_a_late_datagram_brings_nothing_back() {
    let (mut drafts, mut out) = (member(1, &[2, 3]), Vec::new());
    let datagram = relayed(None, 7, 30_000, 2, 50);
    drafts.receive(NOW, MemberId(2), &datagram, &mut out);
    // Rows of epochs that its clock has not reached, or has left behind, do not count.
    drafts.receive(NOW, MemberId(2), &relayed(None, 7, 30_000, 3, 70), &mut out);
    assert_eq!(weights(&drafts, NOW), [(2, 50)].into());
    let window = drafts.settings.epoch * drafts.settings.window;
    assert_eq!(weights(&drafts, NOW + window - Duration::from_secs(1)), [(2, 50)].into());
    let late = NOW + window + Duration::from_secs(1);
    assert!(weights(&drafts, late).is_empty(), "though nothing was heard of it since");
    drafts.wake(late, &mut out);
    drafts.receive(late, MemberId(2), &datagram, &mut out);
    assert!(weights(&drafts, late).is_empty(), "its clock went on meanwhile");
}

#[test]
fn lives_of_one_member_are_bounded_and_hearsay_pushes_out_none_that_was_heard() {
    let (mut drafts, mut out) = (member(1, &[2, 3]), Vec::new());
    for incarnation in 0..10 {
        let now = NOW + Duration::from_millis(incarnation);
        drafts.receive(now, MemberId(2), &relayed(None, incarnation, 30_000, 2, 50), &mut out);
    }
    for incarnation in 10..20 {
        drafts.receive(NOW, MemberId(3), &relayed(Some(2), incarnation, 30_000, 2, 50), &mut out);
    }
    assert_eq!(weights(&drafts, NOW), [(2, 200)].into(), "the last four lives");
    assert_eq!(drafts.rejections, [(Rejection::StoreFull, 10)].into());
}
