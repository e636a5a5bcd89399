//! `make measure WHAT=turns`: prints one figure per line.

mod sim;

use sim::*;

#[test]
#[ignore = "a measurement, of minutes"]
fn turns() {
    let seeds = 3;
    // `full` is the highest load at which the fleet can lose one of twelve sites, and `over` is above it. The last
    // four have few calls.
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
        let mut oracle_found = 0.0;
        for policy in [Policy::Oracle, Policy::Router, Policy::LeastLoaded, Policy::Hashing] {
            let mut sum = Metrics::default();
            let (mut load, mut spent, mut calls) = (0.0f64, 0.0, 0);
            for seed in 0..seeds {
                let (r, fleet) = Fleet::new(Config {
                    lost,
                    rate,
                    weights: weights.clone(),
                    ..Config::new(4711 + seed, policy)
                })
                .play();
                let n = seeds as f64;
                sum.found += r.found / n;
                sum.late += r.late / n;
                sum.after_loss += r.after_loss / n;
                sum.after_return += r.after_return / n;
                sum.load_30s = sum.load_30s.max(r.load_30s);
                load = load.max(r.load);
                sum.told_bytes_s += r.told_bytes_s / n;
                sum.misses += r.misses;
                sum.queued += r.queued;
                sum.rejected += r.rejected;
                sum.calls_10s = sum.calls_10s.max(r.calls_10s);
                sum.calls_10s_less_one = sum.calls_10s_less_one.max(r.calls_10s_less_one);
                sum.calls_10s_mean += r.calls_10s_mean / n;
                sum.recomputed_1s = sum.recomputed_1s.max(r.recomputed_1s);
                spent += fleet.spent.as_secs_f64();
                calls += r.calls;
            }
            let word = match policy {
                Policy::Oracle => "sees_all",
                Policy::Router => "turns",
                Policy::LeastLoaded => "least_loaded",
                Policy::Hashing => "hashing",
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
                say("late_in_10s_after_loss", sum.after_loss, "share");
                say("anew_1s", sum.recomputed_1s, "blocks");
                say("calls_in_10s_after_return", sum.after_return, "of_due");
            }
            match policy {
                Policy::Oracle => oracle_found = sum.found,
                Policy::Router => {
                    say("found_of_sees_all", sum.found / oracle_found, "share");
                    say("processor", spent / calls as f64 * 1e6, "us_a_call");
                    say("told", sum.told_bytes_s, "bytes_a_second");
                    say("misses", sum.misses as f64 / calls as f64, "a_call");
                    say("held_back", sum.queued as f64 / calls as f64, "a_call");
                    say("given_up", sum.rejected as f64 / calls as f64, "a_call");
                }
                _ => {}
            }
        }
    }
}
