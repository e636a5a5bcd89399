//! The log: lines on standard error, bounded in rate, since the log shares the machine's memory.

use std::fmt::Display;

use wheellink::Micros;

/// Lines that may come at once, and then each second.
const BURST: f64 = 400.0;
const RATE: f64 = 50.0;

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
            Self::HostGone => "host_gone",
            Self::Moved => "moved",
            Self::Silent => "silent",
            Self::Finished => "finished",
            Self::Shutdown => "shutdown",
        }
    }
}

/// Writes lines as long as they are not too many, and counts the others.
pub struct Log {
    allowance: f64,
    at: Micros,
    dropped: u64,
}

impl Log {
    pub fn new() -> Self {
        Self { allowance: BURST, at: 0, dropped: 0 }
    }

    /// The one line of a connection that has ended.
    pub fn ended(&mut self, now: Micros, what: impl Display, reason: Reason, detail: impl Display) {
        self.line(now, format_args!("conn {what} ended reason={} {detail}", reason.code()));
    }

    pub fn line(&mut self, now: Micros, text: impl Display) {
        self.allowance = (self.allowance + (now - self.at) as f64 * RATE / 1e6).min(BURST);
        self.at = now;
        if self.allowance < 1.0 {
            self.dropped += 1;
            return;
        }
        self.allowance -= 1.0;
        let dropped = std::mem::take(&mut self.dropped);
        if dropped > 0 {
            eprintln!("{}.{:06} {dropped} lines left out", now / 1_000_000, now % 1_000_000);
        }
        eprintln!("{}.{:06} {text}", now / 1_000_000, now % 1_000_000);
    }
}
