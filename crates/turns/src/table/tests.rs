//! Tests of `table` that need its private state.

use super::*;

#[test]
fn ten_million_conversations_stay_within_the_table_and_the_newest_are_kept() {
    let mut table = Table::<2>::new(1 << 20);
    let bytes = table.bytes();
    for i in 1..=10_000_000u64 {
        table.touch(i.wrapping_mul(0xD6E8_FEB8_6659_FD93)).add_holder(1, i as u32, 0);
    }
    let (len, evicted) = table.counts();
    assert!(bytes <= 1 << 20 && table.bytes() == bytes);
    assert_eq!(len as u64 + evicted, 10_000_000);
    assert!(len * size_of::<Entry<2>>() <= bytes && len * size_of::<Entry<2>>() * 10 > bytes * 9);
    let newest = 10_000_000 - len as u64 / 4..=10_000_000;
    let all = newest.clone().count();
    let kept = newest.filter(|i| table.get(i.wrapping_mul(0xD6E8_FEB8_6659_FD93)).is_some()).count();
    assert!(kept * 10 >= all * 9, "{kept} of the {all} newest are known");
}

#[test]
fn the_least_recently_used_entry_is_evicted() {
    let mut table = Table::<2>::new(0);
    (1..=WAYS as u64).for_each(|k| table.touch(k).depth = k as u16);
    table.touch(1);
    table.touch(100);
    assert!(table.get(1).is_some() && table.get(2).is_none() && table.get(3).is_some());
    table.remove(3);
    assert_eq!(table.counts(), (WAYS - 1, 1));
}

#[test]
fn the_oldest_holder_is_replaced_even_when_the_clock_wraps() {
    let mut entry = Entry::<2>::EMPTY;
    entry.add_holder(1, u32::MAX - 5, 0);
    entry.add_holder(2, 3, 0);
    entry.add_holder(3, 9, 0);
    assert_eq!(entry.holders().map(|h| h.site).collect::<Vec<_>>(), [3, 2]);
    entry.remove_holder(3);
    assert_eq!(entry.holders().count(), 1);
}
