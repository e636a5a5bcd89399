//! The admission settings and their validation.

use std::fmt;

use serde::{Deserialize, Serialize};
use wheellink::Micros;

use crate::adaptive::AdaptiveRules;
use crate::prefix::Prefix;
use crate::rate::Rate;

/// The maximum number of known prefixes in the settings, of trusted proxies, and of prefixes blocked by operators.
pub const MAX_PREFIXES: usize = 4_096;

/// Caps of one client address, neighbourhood or tenant. An absent field means no cap.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Caps {
    /// The maximum number of concurrent connections.
    pub connections: Option<u32>,
    /// The rate limit of new connections.
    pub connect_rate: Option<Rate>,
    /// The rate limit of requests.
    pub request_rate: Option<Rate>,
    /// The maximum number of concurrent requests.
    pub open: Option<u32>,
    /// The maximum number of body bytes of concurrent requests.
    pub open_bytes: Option<u64>,
}

/// When a client that is refused repeatedly is penalized, and for how long.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Penalty {
    /// The number of refusals within the window that starts a penalty.
    pub refusals: u32,
    /// The window in which refusals are counted, in milliseconds.
    pub window_ms: u64,
    /// The duration of the first penalty, in milliseconds; it doubles with each further penalty.
    pub first_ms: u64,
    /// The maximum duration of a penalty, in milliseconds.
    pub longest_ms: u64,
}

impl Default for Penalty {
    fn default() -> Self {
        Self { refusals: 50, window_ms: 1_000, first_ms: 1_000, longest_ms: 60_000 }
    }
}

/// The settings of admission control.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rules {
    /// The capacity of the table of client addresses, and of the table of neighbourhoods.
    pub entries: usize,
    /// Caps of a client: an IPv4 address or an IPv6 /64.
    pub address: Caps,
    /// Caps of a neighbourhood: an IPv4 /24 or an IPv6 /48.
    pub neighbourhood: Caps,
    /// Caps of a tenant. Connections have no tenant, so only caps on requests apply.
    pub tenant: Caps,
    /// The factor by which the caps of known clients are higher.
    pub known_factor: f64,
    /// Clients that are always known.
    pub known: Vec<Prefix>,
    /// The number of recently served calls that makes a client known; 0 disables learning.
    pub learn_calls: f64,
    /// The half-life of served calls, in milliseconds.
    pub learn_half_ms: u64,
    /// How long a client is not known by learning after a refusal for its own behaviour, in milliseconds.
    #[serde(rename = "spoilt_ms")]
    pub suspension_ms: u64,
    /// Penalties of clients that are refused repeatedly.
    pub penalty: Penalty,
    /// Proxies that are trusted to report the addresses of their clients (PROXY protocol, version 2).
    pub proxies: Vec<Prefix>,
    /// The fraction of the clients' descriptors that is reserved for known clients.
    pub reserve: f64,
    /// The adaptive limit of concurrent requests; absent to disable it.
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
            suspension_ms: 60_000,
            penalty: Penalty::default(),
            proxies: Vec::new(),
            reserve: 0.25,
            adaptive: None,
        }
    }
}

/// An invalid setting, with its key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RulesError(pub String);

impl fmt::Display for RulesError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
impl std::error::Error for RulesError {}

impl Rules {
    /// Validates the settings for a process with this many descriptors.
    ///
    /// # Errors
    /// The first invalid setting, with its key and the allowed values.
    pub fn check(&self, descriptors: usize) -> Result<(), RulesError> {
        let err_if = |invalid: bool, what: String| if invalid { Err(RulesError(what)) } else { Ok(()) };
        err_if(
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
                let valid = rate.is_none_or(|r| r.is_valid());
                err_if(!valid, format!("{level}.{name}: per_second above 0, burst at least 1"))?;
            }
            let has_zero = [caps.connections, caps.open].contains(&Some(0)) || caps.open_bytes == Some(0);
            err_if(has_zero, format!("{level}: a cap of 0 admits nobody; omit it, or block the prefix"))?;
        }
        let capped = self.tenant.connections.is_some() || self.tenant.connect_rate.is_some();
        err_if(capped, "tenant: connections have no tenant; cap open, open_bytes or request_rate".into())?;
        err_if(!(1.0..=1e6).contains(&self.known_factor), "known_factor must be at least 1".into())?;
        err_if(!(0.0..=1e9).contains(&self.learn_calls), "learn_calls must not be negative".into())?;
        err_if(self.learn_half_ms == 0, "learn_half_ms must be above 0".into())?;
        err_if(!(0.0..=0.9).contains(&self.reserve), "reserve must be 0 to 0.9".into())?;
        let p = &self.penalty;
        err_if(p.refusals == 0 || p.window_ms == 0, "penalty: refusals and window_ms above 0".into())?;
        let invalid = p.first_ms == 0 || p.longest_ms < p.first_ms || p.longest_ms > 86_400_000;
        err_if(invalid, "penalty: first_ms above 0, longest_ms at least first_ms, at most a day".into())?;
        let too_many = self.known.len().max(self.proxies.len()) > MAX_PREFIXES;
        err_if(too_many, format!("more than {MAX_PREFIXES} prefixes"))?;
        let fault = self.adaptive.as_ref().and_then(|a| a.validation_error());
        err_if(fault.is_some(), format!("adaptive: {}", fault.unwrap_or_default()))
    }

    pub(crate) fn suspension(&self) -> Micros {
        self.suspension_ms as Micros * 1000
    }
}
