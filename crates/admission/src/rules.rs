//! What operators set, checked as a whole.

use std::fmt;

use serde::{Deserialize, Serialize};
use wheellink::Micros;

use crate::adaptive::AdaptiveRules;
use crate::prefix::Prefix;
use crate::rate::Rate;

/// Prefixes that may be known or trusted by the file, or blocked by hand, each.
pub const MAX_PREFIXES: usize = 4_096;

/// Caps of one address or neighbourhood, or of one tenant. What is absent is not capped.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Caps {
    /// Connections at once.
    pub connections: Option<u32>,
    /// New connections.
    pub connect_rate: Option<Rate>,
    /// Requests.
    pub request_rate: Option<Rate>,
    /// Requests open at once.
    pub open: Option<u32>,
    /// Bytes of bodies of open requests.
    pub open_bytes: Option<u64>,
}

/// What befalls who is refused again and again.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Penalty {
    /// So many refusals within the window begin one.
    pub refusals: u32,
    /// The window, in milliseconds.
    pub window_ms: u64,
    /// The first lasts so long, in milliseconds; each further one twice as long.
    pub first_ms: u64,
    /// But none longer than this.
    pub longest_ms: u64,
}

impl Default for Penalty {
    fn default() -> Self {
        Self { refusals: 50, window_ms: 1_000, first_ms: 1_000, longest_ms: 60_000 }
    }
}

/// All of it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rules {
    /// Addresses that are remembered, and as many neighbourhoods.
    pub entries: usize,
    /// Caps of an IPv4 address or IPv6 /64.
    pub address: Caps,
    /// Caps of an IPv4 /24 or IPv6 /48.
    pub neighbourhood: Caps,
    /// Caps of a tenant; connections do not count for these.
    pub tenant: Caps,
    /// Caps are this many times as high for known clients.
    pub known_factor: f64,
    /// Clients that are known from the start.
    pub known: Vec<Prefix>,
    /// So many served calls lately make a client known; 0 learns none.
    pub learn_calls: f64,
    /// They count half after so long, in milliseconds.
    pub learn_half_ms: u64,
    /// After a refusal for its own behaviour a client is not known for so long, in milliseconds.
    pub spoilt_ms: u64,
    /// Who is refused again and again.
    pub penalty: Penalty,
    /// Proxies whose word on their clients' addresses is taken (PROXY protocol, version 2).
    pub proxies: Vec<Prefix>,
    /// The share of clients' descriptors that is kept for known clients, in parts of 1.
    pub reserve: f64,
    /// The adaptive limit of requests under way, where one is wanted.
    pub adaptive: Option<AdaptiveRules>,
}

impl Default for Rules {
    fn default() -> Self {
        Self {
            entries: 16_384,
            address: Caps::default(),
            neighbourhood: Caps::default(),
            tenant: Caps::default(),
            known_factor: 4.0,
            known: Vec::new(),
            learn_calls: 20.0,
            learn_half_ms: 600_000,
            spoilt_ms: 60_000,
            penalty: Penalty::default(),
            proxies: Vec::new(),
            reserve: 0.25,
            adaptive: None,
        }
    }
}

/// What is wrong with the rules; it names the key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RulesError(pub String);

impl fmt::Display for RulesError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
impl std::error::Error for RulesError {}

impl Rules {
    /// Checks them, for a process with so many descriptors.
    ///
    /// # Errors
    /// The first fault, with its key and what would do.
    pub fn check(&self, descriptors: usize) -> Result<(), RulesError> {
        let wrong = |wrong: bool, what: String| if wrong { Err(RulesError(what)) } else { Ok(()) };
        wrong(
            self.entries < 2 * descriptors || self.entries > 1 << 22,
            format!(
                "entries must be at least {}, twice the descriptors, and at most {}",
                2 * descriptors,
                1 << 22
            ),
        )?;
        let levels =
            [("address", &self.address), ("neighbourhood", &self.neighbourhood), ("tenant", &self.tenant)];
        for (level, caps) in levels {
            for (name, rate) in [("connect_rate", &caps.connect_rate), ("request_rate", &caps.request_rate)] {
                let sane = rate.is_none_or(|r| r.is_valid());
                wrong(!sane, format!("{level}.{name}: per_second above 0 and burst of 1 at least"))?;
            }
            let none = [caps.connections, caps.open].contains(&Some(0)) || caps.open_bytes == Some(0);
            wrong(none, format!("{level}: a cap of 0 lets nobody in; leave it out, or block the prefix"))?;
        }
        let tenant = self.tenant.connections.is_some() || self.tenant.connect_rate.is_some();
        wrong(tenant, "tenant: connections have no tenant; cap open, open_bytes or request_rate".into())?;
        wrong(!(1.0..=1e6).contains(&self.known_factor), "known_factor must be 1 at least".into())?;
        wrong(!(0.0..=1e9).contains(&self.learn_calls), "learn_calls must not be negative".into())?;
        wrong(self.learn_half_ms == 0, "learn_half_ms must be above 0".into())?;
        wrong(!(0.0..=0.9).contains(&self.reserve), "reserve must be 0 to 0.9".into())?;
        let p = &self.penalty;
        wrong(p.refusals == 0 || p.window_ms == 0, "penalty: refusals and window_ms must be above 0".into())?;
        let times = p.first_ms == 0 || p.longest_ms < p.first_ms || p.longest_ms > 86_400_000;
        wrong(times, "penalty: first_ms above 0, longest_ms not below it and a day at most".into())?;
        let many = self.known.len().max(self.proxies.len()) > MAX_PREFIXES;
        wrong(many, format!("more than {MAX_PREFIXES} prefixes"))?;
        let bad = self.adaptive.as_ref().and_then(|a| a.validation_error());
        wrong(bad.is_some(), format!("adaptive: {}", bad.unwrap_or_default()))
    }

    pub(crate) fn spoilt(&self) -> Micros {
        self.spoilt_ms as Micros * 1000
    }
}
