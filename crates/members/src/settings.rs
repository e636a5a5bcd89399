//! Settings of the membership protocol.

use std::fmt;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

/// Largest supported fleet.
const MAX_MEMBERS: usize = 4_096;
/// Smallest datagram that holds a header with two instances and one update.
const MIN_DATAGRAM_BYTES: usize = 96;
/// Largest datagram that no common network fragments.
const MAX_DATAGRAM_BYTES: usize = 1_400;
/// Two answers of members with busy event loops must fit into one period.
const MIN_PROBE_PERIOD: Duration = Duration::from_millis(20);
const MAX_PROBE_PERIOD: Duration = Duration::from_secs(60);
/// Suspicion timeout of the smallest fleet, in probe periods.
const MIN_SUSPICION_PERIODS: f64 = 8.0;
/// Probe periods added to the suspicion timeout for each factor of ten in fleet size: gossip takes more rounds to reach
/// all members.
const SUSPICION_PERIODS_PER_DECADE: f64 = 3.0;

/// Settings of failure detection. All members must have the same probe period.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Time between two probes by one member. Each member probes every other one once in as many periods as there are
    /// others.
    pub probe_period: Duration,
    /// Expected number of members, this one included. It determines the suspicion timeout.
    pub expected_members: usize,
    /// Longest datagram, in bytes.
    pub max_datagram_bytes: usize,
    /// Whether a member that was paused or is cut off refrains from suspecting others. Only tests turn it off.
    pub self_suspicion: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            probe_period: Duration::from_millis(500),
            expected_members: 8,
            max_datagram_bytes: 1_400,
            self_suspicion: true,
        }
    }
}

/// Why settings are invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SettingsError {
    /// The probe period is shorter than 20 ms or longer than a minute.
    ProbePeriod,
    /// Fewer than 1 or more than 4,096 members.
    ExpectedMembers,
    /// The datagram is smaller than 96 or larger than 1,400 bytes.
    DatagramSize,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::ProbePeriod => "members.period_ms is 20 to 60000",
            Self::ExpectedMembers => "members.expected is 1 to 4096",
            Self::DatagramSize => "members.datagram is 96 to 1400 bytes",
        })
    }
}

impl std::error::Error for SettingsError {}

impl Settings {
    /// Checks that the settings are within the supported limits.
    pub fn check(&self) -> Result<(), SettingsError> {
        if self.probe_period < MIN_PROBE_PERIOD || self.probe_period > MAX_PROBE_PERIOD {
            Err(SettingsError::ProbePeriod)
        } else if !(1..=MAX_MEMBERS).contains(&self.expected_members) {
            Err(SettingsError::ExpectedMembers)
        } else if !(MIN_DATAGRAM_BYTES..=MAX_DATAGRAM_BYTES).contains(&self.max_datagram_bytes) {
            Err(SettingsError::DatagramSize)
        } else {
            Ok(())
        }
    }

    /// Time in which a suspect may refute the suspicion before it is declared dead.
    pub fn suspicion_timeout(&self) -> Duration {
        let decades = (self.expected_members as f64).log10();
        self.probe_period.mul_f64(MIN_SUSPICION_PERIODS + SUSPICION_PERIODS_PER_DECADE * decades)
    }

    /// Time in which all members detect a death, except in one of thousands of cases: each member is probed once per
    /// period on average, a probe takes one period, and gossip takes several rounds to reach all members.
    pub fn detection_bound(&self) -> Duration {
        self.suspicion_timeout()
            + self.probe_period.mul_f64(8.0 + 4.0 * (self.expected_members as f64).log10())
    }

    pub(crate) fn protocol(&self) -> foca::Config {
        let non_zero = |n: usize| NonZeroUsize::new(n.max(1)).unwrap_or(NonZeroUsize::MIN);
        let every = |periods: f64, members: usize| {
            let frequency = self.probe_period.mul_f64(periods);
            Some(foca::PeriodicParams { frequency, num_members: non_zero(members) })
        };
        // An update is sent several times for each doubling of the fleet size, with a margin for lost datagrams.
        let transmissions = 6.0 + 4.0 * (self.expected_members as f64).log2();
        foca::Config {
            probe_period: self.probe_period,
            probe_rtt: self.probe_period.mul_f64(0.3),
            num_indirect_probes: non_zero(4),
            max_transmissions: NonZeroU8::new(transmissions as u8).unwrap_or(NonZeroU8::MIN),
            suspect_to_down_after: self.suspicion_timeout(),
            // Tombstones are kept per member, not per instance, so the roster bounds them.
            remove_down_after: None,
            max_packet_size: non_zero(self.max_datagram_bytes),
            notify_down_members: true,
            periodic_announce: every(20.0, 1),
            // `LocalMember` announces to absent members itself, by the roster.
            periodic_announce_to_down_members: None,
            periodic_gossip: every(0.5, 3),
        }
    }
}

#[cfg(test)]
mod tests;
