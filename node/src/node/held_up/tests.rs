use super::*;

const WAIT: Duration = Duration::from_millis(50);

#[test]
fn only_a_late_look_says_that_it_was_held_up_and_for_a_few_turns() {
    let mut held_up = HeldUp::default();
    assert_eq!(held_up.looked(1_000_000, WAIT), None);
    assert_eq!(held_up.looked(1_050_000 + LEAST - 1, WAIT), None);
    let (last, late) = (1_050_000 + LEAST - 1, 3_000_000);
    assert_eq!(held_up.looked(late, WAIT), Some(late - last - 50_000));
    for turn in 0..TURNS {
        let now = late + Micros::from(turn);
        assert_eq!(held_up.arrived(now), last, "turn {turn}");
        assert_eq!(held_up.looked(now, WAIT), None);
    }
    assert_eq!(held_up.arrived(late + 10), late + 10);
}

#[test]
fn who_is_held_up_again_at_once_still_reads_what_came_before() {
    let mut held_up = HeldUp::default();
    held_up.looked(0, WAIT);
    held_up.looked(1_000_000, WAIT);
    held_up.looked(2_000_000, WAIT);
    assert_eq!(held_up.arrived(2_000_000), 0);
}
