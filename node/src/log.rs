//! The log: lines on standard error, limited in rate because the log shares the machine's memory.

use std::collections::BTreeMap;
use std::fmt::Display;

use wheellink::Micros;

/// Lines of one kind that may be written at once.
const BURST_LINES: f64 = 400.0;
/// Lines of one kind that may be written per second after a burst.
const LINES_PER_S: f64 = 50.0;

/// Why a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The peer closed the connection while nothing was open on it.
    PeerClosed,
    /// The peer broke off the connection.
    PeerReset,
    /// The connection was idle for the configured time.
    Idle,
    /// The connection was closed to make room for a new one.
    Evicted,
    /// The connection was not established in time.
    ConnectTimeout,
    /// The connection attempt was refused.
    ConnectRefused,
    /// The peer sent invalid data.
    Protocol,
    /// The peer reads too slowly.
    SlowReader,
    /// Admission refused the client.
    TurnedAway,
    /// The client had been asked to leave.
    Drained,
    /// An operator took the host out of service.
    Barred,
    /// According to the host list the host has gone, or another process has replaced it.
    HostGone,
    /// The configuration names another address.
    Moved,
    /// Nothing was received for too long.
    Silent,
    /// The last answer has been sent.
    Finished,
    /// The process ends.
    Shutdown,
}

impl Reason {
    /// The code in log lines.
    pub fn code(self) -> &'static str {
        match self {
            Self::PeerClosed => "peer_closed",
            Self::PeerReset => "peer_reset",
            Self::Idle => "idle",
            Self::Evicted => "evicted",
            Self::ConnectTimeout => "connect_timeout",
            Self::ConnectRefused => "connect_refused",
            Self::Protocol => "protocol",
            Self::SlowReader => "slow_reader",
            Self::TurnedAway => "turned_away",
            Self::Drained => "drained",
            Self::Barred => "barred",
            Self::HostGone => "host_gone",
            Self::Moved => "moved",
            Self::Silent => "silent",
            Self::Finished => "finished",
            Self::Shutdown => "shutdown",
        }
    }
}

/// Token bucket that limits the lines of one kind, and counts those that are left out.
struct TokenBucket {
    tokens: f64,
    at: Micros,
    dropped: u64,
}

impl TokenBucket {
    /// If a line may be written now, returns how many were left out before it.
    fn take(&mut self, now: Micros) -> Option<u64> {
        self.tokens = (self.tokens + (now - self.at) as f64 * LINES_PER_S / 1e6).min(BURST_LINES);
        self.at = now;
        if self.tokens < 1.0 {
            self.dropped += 1;
            return None;
        }
        self.tokens -= 1.0;
        Some(std::mem::take(&mut self.dropped))
    }
}

/// The log. Clients can cause thousands of lines by ending connections and by sending invalid data, so the lines of
/// connections and of requests have token buckets of their own and do not displace other lines.
pub struct Log {
    connections: TokenBucket,
    requests: TokenBucket,
    others: TokenBucket,
    /// Connections that have ended, by reason code; includes those whose lines were left out.
    ended: BTreeMap<&'static str, u64>,
}

impl Log {
    pub fn new() -> Self {
        let full = || TokenBucket { tokens: BURST_LINES, at: 0, dropped: 0 };
        Self { connections: full(), requests: full(), others: full(), ended: BTreeMap::new() }
    }

    /// Logs the end of a connection.
    pub fn ended(&mut self, now: Micros, what: impl Display, reason: Reason, detail: impl Display) {
        let text = format_args!("conn {what} ended reason={} {detail}", reason.code());
        *self.ended.entry(reason.code()).or_default() += 1;
        write(now, self.connections.take(now), text);
    }

    /// How many connections have ended, by reason code.
    pub fn ended_by_reason(&self) -> impl Iterator<Item = (&'static str, u64)> + '_ {
        self.ended.iter().map(|(code, count)| (*code, *count))
    }

    /// Logs the result of a request.
    pub fn request(&mut self, now: Micros, text: impl Display) {
        write(now, self.requests.take(now), text);
    }

    /// Logs invalid data from a connection.
    pub fn bad_input(&mut self, now: Micros, text: impl Display) {
        write(now, self.connections.take(now), text);
    }

    /// Logs any other line.
    pub fn line(&mut self, now: Micros, text: impl Display) {
        write(now, self.others.take(now), text);
    }
}

fn write(now: Micros, dropped: Option<u64>, text: impl Display) {
    let (s, us) = (now / 1_000_000, now % 1_000_000);
    match dropped {
        None => return,
        Some(0) => {}
        Some(dropped) => eprintln!("{s}.{us:06} {dropped} lines left out"),
    }
    eprintln!("{s}.{us:06} {text}");
}

#[cfg(test)]
mod tests;
