//! Tests of `settings` that need its private state.

use super::*;

#[test]
fn settings_outside_the_limits_are_rejected() {
    let good = Settings::default();
    assert_eq!(good.check(), Ok(()));
    let bad = [
        (Settings { probe_period: Duration::from_millis(19), ..good }, SettingsError::ProbePeriod),
        (Settings { probe_period: Duration::from_secs(61), ..good }, SettingsError::ProbePeriod),
        (Settings { expected_members: 0, ..good }, SettingsError::ExpectedMembers),
        (Settings { expected_members: 5_000, ..good }, SettingsError::ExpectedMembers),
        (Settings { max_datagram_bytes: 95, ..good }, SettingsError::DatagramSize),
        (Settings { max_datagram_bytes: 1_401, ..good }, SettingsError::DatagramSize),
    ];
    for (settings, error) in bad {
        assert_eq!(settings.check(), Err(error), "{settings:?}");
    }
}

#[test]
fn a_larger_fleet_has_a_longer_suspicion_timeout() {
    let timeout = |n| Settings { expected_members: n, ..Settings::default() }.suspicion_timeout();
    assert!(timeout(1) < timeout(10) && timeout(10) < timeout(1_000) && timeout(1_000) < 3 * timeout(1));
}
