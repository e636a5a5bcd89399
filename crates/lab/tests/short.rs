//! Short scenarios, with several processes of the program: all of them run by `make lab`.

use std::path::Path;

use rstest::rstest;
use wheellink_lab::{check::check, history::read, run, scenario::Scenario};

#[rstest]
#[case::kill("short_kill")]
#[case::pairs("short_pairs")]
#[case::accord("accord_short")]
#[case::mixed("short_mixed")]
#[case::restarts("short_restarts")]
#[case::lists("short_lists")]
#[case::tampered("short_tampered")]
#[case::clock_steps("short_clock_steps")]
fn a_short_scenario_holds(#[case] name: &str) {
    // The same file named twice, where a scenario has two: the way is the same as with another one.
    let this = run::Programs::find(None, None).unwrap_or_else(|said| panic!("{said}")).this;
    let programs = run::Programs { before: Some(this.clone()), this };
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("scenarios");
    let scenario = Scenario::load(&folder.join(format!("{name}.toml"))).unwrap();
    let into = std::env::temp_dir().join(format!("wheellink-short-{name}-{}.jsonl", std::process::id()));
    run::run(&scenario, &programs, &into).unwrap_or_else(|said| panic!("{said}"));
    let (flaws, figures) = check(&read(&into).unwrap()).unwrap();
    assert!(flaws.is_empty(), "seed {}, history {}: {flaws:#?}", scenario.seed, into.display());
    assert!(figures.sent > 100, "{figures:?}");
    std::fs::remove_file(into).unwrap();
}
