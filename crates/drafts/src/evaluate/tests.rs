//! Unit tests of `evaluate`.

use super::*;

const FOUR: Draft = Draft { drafter: 1, length: 4 };
const FIVE: Draft = Draft { drafter: 1, length: 5 };

/// Rows of one reporter and epoch: no drafting, four and five tokens, each with `calls` calls of 20 rounds.
fn rows(reporter: usize, age: u32, calls: f64, fifth: f64) -> Vec<Row> {
    let row = |draft: Draft, micros: f64| {
        let rounds = calls * 20.0;
        let mut accepted = [0.0; 8];
        let rates = [0.8, 0.7, 0.6, 0.5, fifth];
        accepted.iter_mut().zip(rates).take(draft.length as usize).for_each(|(k, rate)| *k = rounds * rate);
        let squares = calls * micros * micros * 1.02;
        Row { reporter, age, draft, band: 0, calls, rounds, micros: rounds * micros, squares, accepted }
    };
    vec![row(Draft::OFF, 10_000.0), row(FOUR, 10_400.0), row(FIVE, 10_500.0)]
}

fn evaluation(rows: &[Row], reporters: usize) -> Evaluation {
    evaluate(rows, reporters, false, |_| FOUR, &Settings::default())
}

#[test]
fn a_lead_that_may_be_chance_is_ignored_until_there_is_more_evidence() {
    let rows_of = |calls: f64| (0..3).flat_map(|t| rows(t, 0, calls, 0.2)).collect::<Vec<_>>();
    let little_evidence = evaluation(&rows_of(20.0), 3);
    assert_eq!(
        (little_evidence.bands[0].better, little_evidence.bands[0].why),
        (None, "what looks better may be chance")
    );
    assert!(
        little_evidence.bands[0].lead > 0.04 && little_evidence.bands[0].min_lead < 0.0,
        "{:?}",
        little_evidence.bands[0]
    );
    let much_evidence = evaluation(&rows_of(2_000.0), 3);
    assert_eq!(much_evidence.bands[0].better, Some(FIVE), "{:?}", much_evidence.bands[0]);
    assert!(much_evidence.bands[0].min_lead > 0.0);
}

#[test]
fn a_lead_below_the_hysteresis_is_ignored() {
    let all_rows: Vec<Row> = (0..3).flat_map(|t| rows(t, 0, 50_000.0, 0.06)).collect();
    let evaluation = evaluation(&all_rows, 3);
    assert_eq!(
        (evaluation.bands[0].better, evaluation.bands[0].why),
        (None, "nothing is better by the hysteresis")
    );
}

#[test]
fn evidence_from_before_a_change_is_cut_off_unless_one_reporter_alone_sees_it() {
    let rows_of = |new: &dyn Fn(usize) -> f64| -> Vec<Row> {
        let rows_at = |t: usize, age: u32| rows(t, age, 200.0, if age < 3 { new(t) } else { 0.45 });
        (0..4).flat_map(|t| (0..12).flat_map(move |age| rows_at(t, age))).collect()
    };
    assert_eq!(evaluation(&rows_of(&|_| 0.45), 4).stable_epochs, [12], "nothing changed");
    assert_eq!(evaluation(&rows_of(&|_| 0.1), 4).stable_epochs, [3], "all reporters see the change");
    assert_eq!(
        evaluation(&rows_of(&|t| if t == 0 { 0.0 } else { 0.45 }), 4).stable_epochs,
        [12],
        "only one reporter sees a change"
    );
}

#[test]
fn no_reporter_exceeds_its_share() {
    let settings = Settings::default();
    for rounds in [vec![1e9, 10.0, 10.0, 10.0, 10.0], vec![5.0; 7], vec![1e6, 1e3], vec![0.0, 7.0]] {
        let weights = weights(&rounds, &settings);
        let weighted: Vec<f64> = rounds.iter().zip(&weights).map(|(r, w)| r * w).collect();
        let reporting = rounds.iter().filter(|r| **r > 0.0).count() as f64;
        let share = settings.share.max(1.5 / reporting).min(1.0);
        let largest = weighted.iter().copied().fold(0.0, f64::max);
        assert!(largest <= share * weighted.iter().sum::<f64>() * 1.01, "{rounds:?}: {weighted:?}");
    }
}
