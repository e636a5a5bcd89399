//! Short scenarios, with several processes of the program: all of them run by `make lab`.

use std::path::Path;

use rstest::rstest;
use wheellink_lab::{check::check, history::read, run, scenario::Scenario};

#[rstest]
#[case::kill("short_kill")]
#[case::pairs("short_pairs")]
#[case::accord("accord_short")]
fn a_short_scenario_holds(#[case] name: &str) {
    let program = run::program(None).unwrap_or_else(|said| panic!("{said}"));
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("scenarios");
    let scenario = Scenario::load(&folder.join(format!("{name}.toml"))).unwrap();
    let into = std::env::temp_dir().join(format!("wheellink-short-{name}-{}.jsonl", std::process::id()));
    run::run(&scenario, &program, &into).unwrap_or_else(|said| panic!("{said}"));
    let (flaws, figures) = check(&read(&into).unwrap()).unwrap();
    assert!(flaws.is_empty(), "seed {}, history {}: {flaws:#?}", scenario.seed, into.display());
    assert!(figures.sent > 100, "{figures:?}");
    std::fs::remove_file(into).unwrap();
}
