//! The log: lines on standard error, bounded in rate, since the log shares the machine's memory.

use std::collections::BTreeMap;
use std::fmt::Display;

use wheellink::Micros;

/// Lines of one kind that may come at once, and then each second.
const BURST_LINES: f64 = 400.0;
const LINES_PER_S: f64 = 50.0;

/// Why a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The other side ended it and nothing was open.
    PeerClosed,
    /// The other side broke it off.
    PeerReset,
    /// It lay idle for the settings' time.
    Idle,
    /// It made room for a new one.
    Evicted,
    /// No connection came about in time.
    ConnectTimeout,
    /// It was turned away.
    ConnectRefused,
    /// What came could not be read.
    Protocol,
    /// The other side does not take what is sent to it.
    SlowReader,
    /// Admission turned its client away.
    TurnedAway,
    /// Its client had been asked to leave.
    Drained,
    /// Its host was taken out by hand.
    Barred,
    /// The host list says that its host has gone, or that another process holds the place.
    HostGone,
    /// The configuration names another address.
    Moved,
    /// Nothing was heard for too long.
    Silent,
    /// Its last answer has been given.
    Finished,
    /// The program ends.
    Shutdown,
}

impl Reason {
    /// The code in the log.
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

/// Lines of one kind as long as they are not too many; the others are counted.
struct TokenBucket {
    tokens: f64,
    at: Micros,
    dropped: u64,
}

impl TokenBucket {
    /// Whether a line may be written now; how many were left out before it.
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

/// The log. Clients can end connections by the thousand, and send thousands of things that cannot be read:
/// the lines of connections and of requests have allowances of their own, so that they drown nothing else.
pub struct Log {
    connections: TokenBucket,
    requests: TokenBucket,
    others: TokenBucket,
    /// Connections that ended, by the code of the reason: those whose lines were left out as well.
    ended: BTreeMap<&'static str, u64>,
}

impl Log {
    pub fn new() -> Self {
        let full = || TokenBucket { tokens: BURST_LINES, at: 0, dropped: 0 };
        Self { connections: full(), requests: full(), others: full(), ended: BTreeMap::new() }
    }

    /// The one line of a connection that has ended.
    pub fn ended(&mut self, now: Micros, what: impl Display, reason: Reason, detail: impl Display) {
        let text = format_args!("conn {what} ended reason={} {detail}", reason.code());
        *self.ended.entry(reason.code()).or_default() += 1;
        write(now, self.connections.take(now), text);
    }

    /// How many connections have ended, by the code of the reason.
    pub fn ended_by_reason(&self) -> impl Iterator<Item = (&'static str, u64)> + '_ {
        self.ended.iter().map(|(code, count)| (*code, *count))
    }

    /// What became of a request.
    pub fn request(&mut self, now: Micros, text: impl Display) {
        write(now, self.requests.take(now), text);
    }

    /// What a connection brought that cannot be read.
    pub fn bad_input(&mut self, now: Micros, text: impl Display) {
        write(now, self.connections.take(now), text);
    }

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
