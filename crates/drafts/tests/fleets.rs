//! Fleets in simulated time, with faults between their members.

mod fleet;

use std::time::Duration;

use fleet::{word, Fleet, Truth};
use wheellink_drafts::Settings;

fn secs(s: u64) -> Duration {
    Duration::from_secs(s)
}

fn settings() -> Settings {
    Settings { versions_hour: 120, ..Settings::default() }
}

fn chat(members: u32, seed: u64) -> Fleet {
    Fleet::new(settings(), members, vec![(word("chat"), Truth::chat())], 20.0, seed)
}

#[test]
fn a_fleet_finds_the_best_length_of_each_band() {
    for band in 0..4 {
        let mut fleet = chat(4, 1);
        fleet.band = band;
        let found = fleet.until(0.97, secs(600));
        assert!(
            found.is_some(),
            "band {band}: {} {:?}",
            fleet.draft("chat"),
            fleet.members[0].drafts.view(fleet.now)
        );
        let share = fleet.share(secs(600));
        assert!(share > 0.96, "band {band}: {share} with {}", fleet.draft("chat"));
    }
}
