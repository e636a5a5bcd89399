use super::*;

const WAIT: Duration = Duration::from_millis(50);

#[test]
fn only_a_late_look_says_that_it_was_held_up_and_for_so_many_looks() {
    let mut held_up = HeldUp::default();
    assert_eq!(held_up.looked(1_000_000, WAIT), None);
    let last = 1_050_000 + LEAST - 1;
    assert_eq!(held_up.looked(last, WAIT), None);
    assert_eq!(held_up.arrived(last), last);
    let late = 3_000_000;
    assert_eq!(held_up.looked(late, WAIT), Some(late - last - 50_000));
    for look in 1..=LOOKS as Micros {
        assert_eq!(held_up.arrived(late + look), last, "look {look}");
        assert_eq!(held_up.looked(late + look, WAIT), None);
    }
    assert_eq!(held_up.arrived(late + 10), late + 10);
}

/// Time is counted back over the last looks only, however long a process goes on without enough of a processor.
#[test]
fn who_is_held_up_all_the_time_counts_back_a_few_looks() {
    let mut held_up = HeldUp::default();
    for look in 0..100 {
        held_up.looked(look * 1_000_000, WAIT);
    }
    assert_eq!(held_up.arrived(99_000_000), (99 - LOOKS as Micros) * 1_000_000);
}
