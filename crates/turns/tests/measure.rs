//! `make measure WHAT=turns`: one figure a line.

mod sim;

use sim::*;

#[test]
#[ignore = "a measurement, of minutes"]
fn turns() {
    let days = 3;
    // `full` is as full as sites bear that lose one of twelve, and `over` fuller than that. The last ones have few calls.
    let lost = Some((150.0, 210.0));
    let half = || vec![(0, 50)];
    let kinds = [
        ("calm", 400.0, None, vec![]),
        ("lost", 400.0, lost, vec![]),
        ("full", 520.0, lost, vec![]),
        ("over", 640.0, lost, vec![]),
        ("low", 60.0, None, half()),
        ("low_lost", 60.0, lost, half()),
        ("lower", 25.0, lost, half()),
        ("few", 12.0, lost, half()),
    ];
    for (name, rate, lost, weights) in kinds {
        let mut sees_all = 0.0;
        for way in [Way::SeesAll, Way::Turns, Way::LeastLoaded, Way::Hashing] {
            let mut sum = Result::default();
            let (mut load, mut spent, mut calls) = (0.0f64, 0.0, 0);
            for seed in 0..days {
                let (r, fleet) =
                    Fleet::new(Day { lost, rate, weights: weights.clone(), ..Day::new(4711 + seed, way) })
                        .play();
                let n = days as f64;
                sum.found += r.found / n;
                sum.late += r.late / n;
                sum.late_after += r.late_after / n;
                sum.flood += r.flood / n;
                sum.load_30s = sum.load_30s.max(r.load_30s);
                load = load.max(r.load);
                sum.told_bytes_s += r.told_bytes_s / n;
                sum.misses += r.misses;
                sum.held_back += r.held_back;
                sum.given_up += r.given_up;
                sum.calls_10s = sum.calls_10s.max(r.calls_10s);
                sum.calls_10s_less_one = sum.calls_10s_less_one.max(r.calls_10s_less_one);
                sum.calls_10s_mean += r.calls_10s_mean / n;
                sum.anew_1s = sum.anew_1s.max(r.anew_1s);
                spent += fleet.spent.as_secs_f64();
                calls += r.calls;
            }
            let word = match way {
                Way::SeesAll => "sees_all",
                Way::Turns => "turns",
                Way::LeastLoaded => "least_loaded",
                Way::Hashing => "hashing",
            };
            let say = |what: &str, value: f64, unit: &str| {
                println!("measure turns.{name}.{word}.{what} {value:.4} {unit}")
            };
            say("found", sum.found, "share");
            say("late", sum.late, "share");
            say("load_30s", sum.load_30s, "of_mean");
            say("calls_10s", sum.calls_10s, "of_due");
            say("calls_10s_less_one", sum.calls_10s_less_one, "of_due");
            say("calls_10s_mean", sum.calls_10s_mean, "of_due");
            if lost.is_none() {
                say("load", load, "of_mean");
            } else {
                say("late_in_10s_after_loss", sum.late_after, "share");
                say("anew_1s", sum.anew_1s, "blocks");
                say("calls_in_10s_after_return", sum.flood, "of_due");
            }
            match way {
                Way::SeesAll => sees_all = sum.found,
                Way::Turns => {
                    say("found_of_sees_all", sum.found / sees_all, "share");
                    say("processor", spent / calls as f64 * 1e6, "us_a_call");
                    say("told", sum.told_bytes_s, "bytes_a_second");
                    say("misses", sum.misses as f64 / calls as f64, "a_call");
                    say("held_back", sum.held_back as f64 / calls as f64, "a_call");
                    say("given_up", sum.given_up as f64 / calls as f64, "a_call");
                }
                _ => {}
            }
        }
    }
}
