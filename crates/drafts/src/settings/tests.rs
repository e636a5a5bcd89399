//! Unit tests of `settings`.

use super::*;
use rstest::rstest;

#[rstest]
#[case::drafters("drafters", |s: &mut Settings| s.drafters = 5)]
#[case::longest("longest", |s: &mut Settings| s.longest = 9)]
#[case::start("start", |s: &mut Settings| s.start = Draft { drafter: 2, length: 1 })]
#[case::half_off("start", |s: &mut Settings| s.start = Draft { drafter: 0, length: 1 })]
#[case::epoch("epoch", |s: &mut Settings| s.epoch = Duration::from_millis(10))]
#[case::alpha("alpha", |s: &mut Settings| s.alpha = f64::NAN)]
#[case::explore("explore", |s: &mut Settings| s.explore = 0.5)]
#[case::rows("rows_in_all", |s: &mut Settings| s.rows_in_all = 100)]
fn a_setting_out_of_bounds_is_named(#[case] key: &str, #[case] change: fn(&mut Settings)) {
    let mut settings = Settings::default();
    assert_eq!(settings.check(), Ok(()));
    change(&mut settings);
    assert_eq!(settings.check().unwrap_err().key, key);
}
