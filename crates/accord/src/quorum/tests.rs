//! Tests of `quorum` that need its private state.

use super::*;

fn list(names: &[u32]) -> VoterList {
    VoterList::new(names.iter().map(|name| MemberId(*name))).unwrap()
}

#[test]
fn quorums_of_a_list_intersect_and_joint_quorums_intersect_in_both_lists() {
    let lists = [list(&[1, 2, 3]), list(&[3, 4, 5, 6])];
    let joint = Quorum::majorities(&lists[0], Some(&lists[1]));
    let names = [1, 2, 3, 4, 5, 6];
    let has = |set: u32| move |name: MemberId| set >> name.0 & 1 == 1;
    let quorums: Vec<u32> = (0..128).filter(|set| joint.is_met(has(*set))).collect();
    assert!(!quorums.is_empty());
    for a in &quorums {
        for b in &quorums {
            for of in &lists {
                assert!(names.iter().any(|n| (a & b) >> n & 1 == 1 && of.contains(MemberId(*n))));
            }
        }
        assert!(lists.iter().all(|list| Quorum::majorities(list, None).is_met(has(*a))));
    }
    assert!(!Quorum::default().is_met(|_| true));
}

#[test]
fn a_quorum_expires_when_a_group_falls_below_its_threshold() {
    let joint = Quorum::majorities(&list(&[1, 2, 3]), Some(&list(&[4])));
    let ends = |of: [u64; 5]| move |name: MemberId| Duration::from_secs(of[name.0 as usize]);
    assert_eq!(joint.expires_at(ends([0, 5, 7, 0, 9])), Duration::from_secs(5));
    assert_eq!(joint.expires_at(ends([0, 5, 7, 6, 2])), Duration::from_secs(2));
    assert_eq!(joint.expires_at(ends([0, 5, 7, 6, 0])), Duration::ZERO);
}

#[test]
fn a_list_has_limits_and_is_sorted() {
    assert_eq!(list(&[3, 1, 2]), list(&[1, 2, 3]));
    let refused = |names: &[u32]| VoterList::new(names.iter().map(|name| MemberId(*name))).unwrap_err().0;
    assert_eq!(refused(&[]), "at least one voter must remain");
    assert_eq!(refused(&[1, 2, 1]), "a voter is listed twice");
    assert_eq!(refused(&(0..10).collect::<Vec<_>>()), "more than 9 voters");
    assert_eq!((list(&[1, 2, 3, 4]).majority(), list(&[1]).majority()), (3, 1));
}
