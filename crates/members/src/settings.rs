//! What an operator may set.

use std::fmt;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

/// The most members that are reckoned with.
const MOST: usize = 4_096;
/// Smallest datagram that holds a header with two lives and one line of news.
const SMALLEST: usize = 96;
/// Largest datagram over any network that is not split.
const LARGEST: usize = 1_400;
/// Shortest period: two answers over a busy loop must fit in it.
const SHORTEST: Duration = Duration::from_millis(20);
/// Periods in which a suspect may speak for itself, in the smallest fleet.
const LEAST_PERIODS: f64 = 8.0;
/// ... and for each tenfold of members: news takes rounds to reach all.
const PERIODS_A_TENFOLD: f64 = 3.0;

/// How a fleet watches itself. All members must have the same period.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Time between two probes by one member; each probes all others once in as many periods.
    pub probe_period: Duration,
    /// LocalMember that are expected, this one included: for how long a suspect is waited for.
    pub expected_members: usize,
    /// The longest datagram, in bytes.
    pub max_datagram_bytes: usize,
    /// A pause of its own makes this member doubt itself. Only a test of the doubt turns it off.
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

/// What is wrong with settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SettingsError {
    /// The period is shorter than 20 ms or longer than a minute.
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
    /// Whether a fleet can work with these.
    pub fn check(&self) -> Result<(), SettingsError> {
        if self.probe_period < SHORTEST || self.probe_period > Duration::from_secs(60) {
            Err(SettingsError::ProbePeriod)
        } else if !(1..=MOST).contains(&self.expected_members) {
            Err(SettingsError::ExpectedMembers)
        } else if !(SMALLEST..=LARGEST).contains(&self.max_datagram_bytes) {
            Err(SettingsError::DatagramSize)
        } else {
            Ok(())
        }
    }

    /// For how long a suspect may speak for itself before it is held gone.
    pub fn suspicion_timeout(&self) -> Duration {
        let tenfolds = (self.expected_members as f64).log10();
        self.probe_period.mul_f64(LEAST_PERIODS + PERIODS_A_TENFOLD * tenfolds)
    }

    /// The time in which a death is noticed by all, but for chance in one of thousands: each is probed by somebody
    /// once in a period on average, a probe takes a period, and news takes rounds.
    pub fn detection_bound(&self) -> Duration {
        self.suspicion_timeout()
            + self.probe_period.mul_f64(8.0 + 4.0 * (self.expected_members as f64).log10())
    }

    pub(crate) fn protocol(&self) -> foca::Config {
        let some = |n: usize| NonZeroUsize::new(n.max(1)).unwrap_or(NonZeroUsize::MIN);
        let every = |periods: f64, members: usize| {
            let frequency = self.probe_period.mul_f64(periods);
            Some(foca::PeriodicParams { frequency, num_members: some(members) })
        };
        // Each line of news goes out some times for each doubling of the fleet; more where many are lost.
        let transmissions = 6.0 + 4.0 * (self.expected_members as f64).log2();
        foca::Config {
            probe_period: self.probe_period,
            probe_rtt: self.probe_period.mul_f64(0.3),
            num_indirect_probes: some(4),
            max_transmissions: NonZeroU8::new(transmissions as u8).unwrap_or(NonZeroU8::MIN),
            suspect_to_down_after: self.suspicion_timeout(),
            // A name is kept, not each of its lives: the roster bounds it.
            remove_down_after: None,
            max_packet_size: some(self.max_datagram_bytes),
            notify_down_members: true,
            periodic_announce: every(20.0, 1),
            // Whom to seek is decided in `members.rs`, by the roster.
            periodic_announce_to_down_members: None,
            periodic_gossip: every(0.5, 3),
        }
    }
}

#[cfg(test)]
mod tests;
