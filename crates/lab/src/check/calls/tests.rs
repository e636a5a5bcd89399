//! Tests of `calls` that need its private state.

use super::super::check;
use super::super::tests_of::{broken, history, setup};
use super::*;
use crate::scenario::Hold;
use rstest::rstest;

fn sent(class: &str) -> Saw {
    Saw::Sent { id: 1, to: 0, class: class.into() }
}

fn came(site: usize, repeat: bool) -> Saw {
    Saw::Came { id: 1, site, host: 0, repeat, blocks: 0, found: 0 }
}

fn answered() -> Saw {
    Saw::Answered { id: 1, status: 200, found: None }
}

fn lost() -> Saw {
    Saw::Broken { id: 1, why: "reset".into(), written_us: 0, idle: false }
}

/// Written only once the lab was scheduled again.
fn lost_after_late_write() -> Saw {
    Saw::Broken { id: 1, why: "reset".into(), written_us: 1_000_000, idle: false }
}

fn lost_on_idle_connection() -> Saw {
    Saw::Broken { id: 1, why: "reset".into(), written_us: 0, idle: true }
}

fn held_up(held_us: u64) -> Saw {
    Saw::HeldUp { held_us }
}

fn logged_repeat(after_ms: u64) -> Saw {
    let said = format!("request 01 class=k attempt=2 host=h after=reset at=h since_first_ms={after_ms}");
    Saw::Logged { who: 0, said }
}

fn life(turn: Turn) -> Saw {
    Saw::Life { who: 0, turn }
}

#[rstest]
#[case::twice(vec![sent("s"), came(0, false), answered(), answered()], vec![ONE])]
#[case::never(vec![sent("s"), came(0, false)], vec![ONE])]
#[case::unsent(vec![answered()], vec![ONE])]
#[case::made_up(vec![sent("s"), answered()], vec![ONE])]
#[case::number_used_twice(vec![sent("s"), sent("s"), came(0, false), answered()], vec![ONE])]
#[case::broken(vec![sent("s"), lost()], vec![ONE])]
#[case::broken_before_the_end(vec![sent("s"), life(Turn::Told), lost()], vec![ONE])]
#[case::broken_by_its_end(vec![sent("s"), life(Turn::Told), life(Turn::Ended), lost()], vec![ONE])]
#[case::sent_to_one_that_ends(vec![life(Turn::Told), sent("s"), life(Turn::Ended), lost()], vec![])]
#[case::sent_to_its_next_life(vec![life(Turn::Told), life(Turn::Ended), life(Turn::Started), sent("s"), lost()], vec![ONE])]
#[case::killed(vec![sent("s"), life(Turn::Killed), lost()], vec![])]
#[case::not_there(vec![life(Turn::Ended), sent("s"), lost()], vec![])]
#[case::stopped(vec![life(Turn::Stopped), sent("s"), life(Turn::Continued), lost()], vec![])]
#[case::safe_twice(vec![sent("s"), came(0, false), came(1, false), answered()], vec![])]
#[case::unsafe_twice(vec![sent("u"), came(0, false), came(0, false), answered()], vec![ONCE])]
#[case::unsafe_repeat(vec![sent("u"), came(0, false), came(1, true), answered()], vec![ONCE])]
#[case::no_such_class(vec![sent("x"), came(0, false), answered()], vec![ONCE])]
#[case::keyed_repeat(vec![sent("k"), came(0, false), came(0, true), answered()], vec![])]
#[case::keyed_twice(vec![sent("k"), came(0, false), came(0, false), answered()], vec![KEYED])]
#[case::keyed_elsewhere(vec![sent("k"), came(0, false), came(1, true), answered()], vec![KEYED])]
#[case::keyed_late(vec![sent("k"), came(0, false), life(Turn::Continued), came(0, true), answered()], vec![KEYED])]
#[case::keyed_late_beside_a_short_hold(vec![sent("k"), came(0, false), held_up(900_000), came(0, true), answered()], vec![KEYED])]
#[case::keyed_read_late(vec![sent("k"), came(0, false), held_up(1_000_000), came(0, false), answered()], vec![])]
#[case::keyed_elsewhere_read_late(vec![sent("k"), came(0, false), held_up(1_000_000), came(1, false), answered()], vec![KEYED])]
#[case::repeated_in_time(vec![sent("k"), came(0, false), logged_repeat(1_000), answered()], vec![])]
#[case::repeated_late(vec![sent("k"), came(0, false), logged_repeat(1_001), answered()], vec![KEYED])]
#[case::written_after_the_end(vec![sent("s"), life(Turn::Told), life(Turn::Ended), lost_after_late_write()], vec![])]
#[case::written_on_an_idle_connection(vec![sent("s"), lost_on_idle_connection()], vec![])]
fn calls_are_held_to_their_rules(#[case] saw: Vec<Saw>, #[case] wanted: Vec<&str>) {
    assert_eq!(broken(setup(), saw), wanted);
}

#[test]
fn a_share_below_what_is_wanted_is_a_flaw_of_its_phase() {
    let hold = Hold { served: [("faults".to_string(), 0.5)].into(), ..Hold::default() };
    let with = |status| {
        let phase = Saw::Phase { name: "faults".into() };
        let answer = Saw::Answered { id: 1, status, found: None };
        broken(
            crate::history::Setup { hold: hold.clone(), ..setup() },
            vec![phase, sent("s"), came(0, false), answer],
        )
    };
    assert_eq!(with(503), [SHARE]);
    assert!(with(200).is_empty());
    let none = broken(crate::history::Setup { hold: hold.clone(), ..setup() }, vec![]);
    assert!(none.is_empty(), "a phase that never began is the scenario's business: {none:?}");
}

#[test]
fn a_site_above_its_bound_and_blocks_that_are_not_found_are_flaws() {
    let hold = Hold { site_over_mean: 1.25, found: 0.5, ..Hold::default() };
    let many = |split: u64, found: u64| {
        let mut lines = history(
            crate::history::Setup { hold: hold.clone(), ..setup() },
            vec![Saw::Phase { name: "after".into() }],
        );
        let end = lines.pop().unwrap();
        for id in 10..210 {
            let site = usize::from(id % 10 >= split);
            let at = 2_000_000 + id;
            lines.push(Line { at, saw: Saw::Sent { id, to: 0, class: "s".into() } });
            lines.push(Line { at, saw: Saw::Came { id, site, host: 0, repeat: false, blocks: 10, found } });
            lines.push(Line { at, saw: Saw::Answered { id, status: 200, found: None } });
        }
        lines.push(Line { at: 4_000_000, ..end });
        let rules: Vec<_> = check(&lines).unwrap().0.iter().map(|f| f.rule).collect();
        rules
    };
    assert_eq!(many(5, 9), [""; 0]);
    assert_eq!(many(8, 9), [LOAD]);
    assert_eq!(many(5, 1), [FOUND]);
}
