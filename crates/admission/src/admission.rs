//! The admission decision for connections and requests, and the accounting of refusals and penalties.

use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;

use serde::{Deserialize, Serialize};
use wheellink::{Micros, Renumbering};

use crate::adaptive::{new_tenant, AdaptiveLimit, LimitRefusal};
use crate::prefix::Prefix;
use crate::rules::{Caps, Rules, MAX_PREFIXES};
use crate::table::{AddressTable, Entry};

/// The weight of an admitted connection or request in the address tables.
const ADMIT_WEIGHT: f64 = 1.0;
/// The weight of a refusal: higher, so that misbehaving clients stay in the tables.
const REFUSE_WEIGHT: f64 = 10.0;
/// The maximum number of prefixes that a refusal summary lists; the rest are counted together.
pub const MAX_SUMMARY_PREFIXES: usize = 20;
/// The interval between refusal summaries.
pub const SUMMARY_INTERVAL_US: Micros = 1_000_000;
/// The maximum number of doublings of a penalty; beyond it the maximum duration applies anyway.
const MAX_LEVEL: u32 = 40;
/// The maximum number of entries handed to a successor process, those of the highest weight first.
const MAX_HANDED_ENTRIES: usize = 2_000;
/// The maximum number of tenants whose open requests are counted separately.
const MAX_TENANTS: usize = 1_024;
/// The suggested wait after a refusal that may soon be over.
const RETRY_US: Micros = 1_000_000;

/// Why a connection or request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reason {
    /// The prefix is blocked by an operator.
    Blocked,
    /// The client is penalized for repeated refusals.
    Penalty,
    /// The cap of concurrent connections.
    Connections,
    /// The rate limit of new connections.
    ConnectRate,
    /// The rate limit of requests.
    RequestRate,
    /// The cap of open requests.
    Open,
    /// The cap of body bytes of open requests.
    OpenBytes,
    /// A cap or the rate limit of the tenant.
    Tenant,
    /// The adaptive limit is reached.
    Busy,
    /// Under the adaptive limit: the tenant is above its share.
    Share,
    /// The address table is full of active entries.
    TableFull,
}

impl Reason {
    /// The name in log lines and responses.
    pub fn as_str(self) -> &'static str {
        match self {
            Reason::Blocked => "blocked",
            Reason::Penalty => "penalty",
            Reason::Connections => "connections",
            Reason::ConnectRate => "connect_rate",
            Reason::RequestRate => "request_rate",
            Reason::Open => "open",
            Reason::OpenBytes => "open_bytes",
            Reason::Tenant => "tenant",
            Reason::Busy => "busy",
            Reason::Share => "share",
            Reason::TableFull => "table",
        }
    }

    /// Whether the client's own behaviour caused the refusal, rather than the load of the service or the tenant.
    pub fn is_client_fault(self) -> bool {
        !matches!(self, Reason::Busy | Reason::Share | Reason::TableFull | Reason::Tenant)
    }
}

/// Whether a client is known; known clients have higher caps.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientStatus {
    /// Known by the settings, by an operator or by its served calls.
    Known,
    /// Not known.
    Unknown,
}

/// The address of a client.
pub type ClientAddress = IpAddr;

/// The properties of a request that decide about its admission.
#[derive(Clone, Copy, Debug)]
pub struct RequestInfo {
    /// The address of the client.
    pub from: ClientAddress,
    /// The tenant, if there is one.
    pub tenant: Option<usize>,
    /// The tenant's share of the service, as a fraction.
    pub share: f64,
    /// The value of the request's class relative to the highest one.
    pub worth: f64,
    /// The size of the body in bytes.
    pub size: u64,
}

/// The refusals since the last summary, for one log line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RefusalSummary {
    /// Prefix, reason and count, by descending count.
    pub top: Vec<(Prefix, Reason, u64)>,
    /// The number of all other refusals.
    pub others: u64,
}

/// The state of one address that is handed to a successor process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EntryState {
    prefix: Prefix,
    served: f64,
    served_at: Micros,
    #[serde(rename = "spoilt_until")]
    suspended_until: Micros,
    closed_until: Micros,
    level: u32,
    refused: u64,
}

/// The state that is handed to a successor process.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct LearnedState {
    blocked: Vec<Prefix>,
    known: Vec<Prefix>,
    entries: Vec<EntryState>,
}

#[derive(Debug, Default)]
struct TenantState {
    open: u32,
    bytes: u64,
    rate: crate::rate::RateLimiter,
}

/// Admission control for connections and requests.
pub struct Admission {
    rules: Rules,
    /// The state of client addresses.
    clients: AddressTable,
    /// The state of neighbourhoods, which are subnets.
    subnets: AddressTable,
    tenants: BTreeMap<Option<usize>, TenantState>,
    blocked: BTreeSet<Prefix>,
    known: BTreeSet<Prefix>,
    adaptive: Option<AdaptiveLimit>,
    /// When the last refusal summary was taken.
    summary_at: Micros,
    /// Refusals since the last summary, by client and reason.
    refused: BTreeMap<(Prefix, Reason), u64>,
    /// Refusals since the last summary that `refused` has no room for.
    others: u64,
    /// The number of refusals since the start.
    pub total_refusals: u64,
}

fn connect_cap(entry: &Entry, caps: &Caps, factor: f64) -> Option<Reason> {
    let most = |cap: u32| (f64::from(cap) * factor) as u64;
    (caps.connections.is_some_and(|cap| u64::from(entry.connections) >= most(cap)))
        .then_some(Reason::Connections)
}

fn request_cap(entry: &Entry, caps: &Caps, factor: f64, size: u64) -> Option<Reason> {
    let most = |cap: f64| (cap * factor) as u64;
    if caps.open.is_some_and(|cap| u64::from(entry.open) >= most(cap.into())) {
        Some(Reason::Open)
    } else if caps.open_bytes.is_some_and(|cap| entry.bytes.saturating_add(size) > most(cap as f64)) {
        Some(Reason::OpenBytes)
    } else {
        None
    }
}

impl Admission {
    /// Creates admission control with rules that passed [`Rules::check`].
    pub fn new(rules: Rules) -> Self {
        Self {
            clients: AddressTable::new(rules.entries),
            subnets: AddressTable::new(rules.entries),
            tenants: BTreeMap::new(),
            blocked: BTreeSet::new(),
            known: rules.known.iter().copied().collect(),
            adaptive: rules.adaptive.clone().map(AdaptiveLimit::new),
            summary_at: 0,
            refused: BTreeMap::new(),
            others: 0,
            total_refusals: 0,
            rules,
        }
    }

    /// Replaces the rules and keeps counts, penalties and learned state. Prefixes that the old rules list as known
    /// and the new ones do not are no longer known. Other prefixes that an operator made known stay known.
    pub fn set_rules(&mut self, rules: Rules) {
        for prefix in &self.rules.known {
            self.known.remove(prefix);
        }
        self.known.extend(rules.known.iter().copied());
        self.clients.set_capacity(rules.entries);
        self.subnets.set_capacity(rules.entries);
        match (&mut self.adaptive, &rules.adaptive) {
            (Some(adaptive), Some(rules)) => adaptive.set_rules(rules.clone()),
            (slot, rules) => *slot = rules.clone().map(AdaptiveLimit::new),
        }
        self.rules = rules;
    }

    /// Applies new indexes of classes and tenants. What was counted for those that are gone is dropped.
    pub fn renumber(&mut self, renumbering: &Renumbering) {
        let tenants = std::mem::take(&mut self.tenants).into_iter();
        self.tenants = tenants.filter_map(|(id, t)| Some((new_tenant(renumbering, id)?, t))).collect();
        self.adaptive.iter_mut().for_each(|adaptive| adaptive.renumber(renumbering));
    }

    /// The rules in force.
    pub fn rules(&self) -> &Rules {
        &self.rules
    }

    /// Whether this is a proxy that is trusted to report the addresses of its clients.
    pub fn is_trusted_proxy(&self, from: ClientAddress) -> bool {
        self.rules.proxies.iter().any(|p| p.contains(from))
    }

    fn recent_served_calls(&self, now: Micros, entry: &Entry) -> f64 {
        let half = self.rules.learn_half_ms as f64 * 1000.0;
        entry.served * (-((now - entry.served_at).max(0) as f64) / half).exp2()
    }

    /// Whether a client is known.
    pub fn client_status(&self, now: Micros, from: ClientAddress) -> ClientStatus {
        if self.known.iter().any(|p| p.contains(from)) {
            return ClientStatus::Known;
        }
        let learns = self.rules.learn_calls > 0.0;
        let entry = self.clients.get(&Prefix::client(from)).filter(|_| learns);
        let suspended =
            |e: &Entry| e.suspended_until > now && e.suspended_until <= now + self.rules.suspension();
        match entry {
            Some(e) if !suspended(e) && self.recent_served_calls(now, e) >= self.rules.learn_calls => {
                ClientStatus::Known
            }
            _ => ClientStatus::Unknown,
        }
    }

    fn factor(&self, status: ClientStatus) -> f64 {
        match status {
            ClientStatus::Known => self.rules.known_factor,
            ClientStatus::Unknown => 1.0,
        }
    }

    /// Admits a new connection, which counts until [`Admission::connection_closed`].
    ///
    /// # Errors
    /// Why the connection must be closed without reading from it; then it does not count.
    pub fn connect(&mut self, now: Micros, from: ClientAddress) -> Result<ClientStatus, Reason> {
        let status = self.client_status(now, from);
        match self.try_connect(now, from, status) {
            Ok(()) => Ok(status),
            Err(reason) => {
                self.record_refusal(now, from, reason);
                Err(reason)
            }
        }
    }

    fn try_connect(&mut self, now: Micros, from: ClientAddress, status: ClientStatus) -> Result<(), Reason> {
        if self.blocked.iter().any(|p| p.contains(from)) {
            return Err(Reason::Blocked);
        }
        let (client, subnet) = (Prefix::client(from), Prefix::neighbourhood(from));
        let longest = self.rules.penalty.longest_ms as Micros * 1000;
        let closed = |e: &Entry| e.closed_until > now && e.closed_until <= now + longest;
        if self.clients.get(&client).is_some_and(closed) {
            return Err(Reason::Penalty);
        }
        let factor = self.factor(status);
        // Checks all caps before the rate limits, so that a refusal by a cap uses up no rate.
        let (a, n) = (&self.rules.address, &self.rules.neighbourhood);
        let refusal = self.clients.get(&client).and_then(|e| connect_cap(e, a, factor));
        let refusal = refusal.or_else(|| self.subnets.get(&subnet).and_then(|e| connect_cap(e, n, factor)));
        if let Some(reason) = refusal {
            return Err(reason);
        }
        for (table, key, rate) in
            [(&mut self.clients, client, &a.connect_rate), (&mut self.subnets, subnet, &n.connect_rate)]
        {
            let scaled = rate.map(|r| r.times(factor));
            let outcome = table.update(now, key, ADMIT_WEIGHT, |e| {
                scaled.is_none_or(|r| e.connect_limiter.take(now, &r).is_ok())
            });
            match outcome {
                Some(true) => {}
                Some(false) => return Err(Reason::ConnectRate),
                None => return Err(Reason::TableFull),
            }
        }
        self.clients.update(now, client, 0.0, |e| e.connections += 1);
        self.subnets.update(now, subnet, 0.0, |e| e.connections += 1);
        Ok(())
    }

    /// Ends an admitted connection.
    pub fn connection_closed(&mut self, now: Micros, from: ClientAddress) {
        let decrement = |e: &mut Entry| e.connections = e.connections.saturating_sub(1);
        self.clients.update(now, Prefix::client(from), 0.0, decrement);
        self.subnets.update(now, Prefix::neighbourhood(from), 0.0, decrement);
    }

    /// Admits a request, which counts until [`Admission::request_done`].
    ///
    /// # Errors
    /// Why the request is refused, and how long to wait before a retry; then it does not count.
    pub fn admit_request(&mut self, now: Micros, info: &RequestInfo) -> Result<(), (Reason, Micros)> {
        let result = self.try_request(now, info);
        if let Err((reason, _)) = result {
            self.record_refusal(now, info.from, reason);
        }
        result
    }

    fn try_request(&mut self, now: Micros, info: &RequestInfo) -> Result<(), (Reason, Micros)> {
        let (client, subnet) = (Prefix::client(info.from), Prefix::neighbourhood(info.from));
        if self.blocked.iter().any(|p| p.contains(info.from)) {
            return Err((Reason::Blocked, 60 * RETRY_US));
        }
        let factor = self.factor(self.client_status(now, info.from));
        let (a, n, t) = (&self.rules.address, &self.rules.neighbourhood, &self.rules.tenant);
        let refusal = self.clients.get(&client).and_then(|e| request_cap(e, a, factor, info.size));
        let refusal =
            refusal.or_else(|| self.subnets.get(&subnet).and_then(|e| request_cap(e, n, factor, info.size)));
        if let Some(reason) = refusal {
            return Err((reason, RETRY_US));
        }
        let tracked = self.tenants.len() < MAX_TENANTS || self.tenants.contains_key(&info.tenant);
        if tracked {
            let tenant = self.tenants.entry(info.tenant).or_default();
            let open = t.open.is_some_and(|cap| tenant.open >= cap);
            let bytes = t.open_bytes.is_some_and(|cap| tenant.bytes.saturating_add(info.size) > cap);
            if open || bytes {
                return Err((Reason::Tenant, RETRY_US));
            }
        }
        for (table, key, rate) in
            [(&mut self.clients, client, &a.request_rate), (&mut self.subnets, subnet, &n.request_rate)]
        {
            let scaled = rate.map(|r| r.times(factor));
            let outcome = table.update(now, key, ADMIT_WEIGHT, |e| {
                scaled.map_or(Ok(()), |r| e.request_limiter.take(now, &r))
            });
            match outcome {
                Some(Ok(())) => {}
                Some(Err(wait)) => return Err((Reason::RequestRate, wait)),
                None => return Err((Reason::TableFull, RETRY_US)),
            }
        }
        if let (Some(rate), Some(tenant)) = (&t.request_rate, self.tenants.get_mut(&info.tenant)) {
            tenant.rate.take(now, rate).map_err(|wait| (Reason::Tenant, wait))?;
        }
        if let Some(adaptive) = &mut self.adaptive {
            adaptive.take(now, info.worth, info.tenant, info.share).map_err(|refused| match refused {
                LimitRefusal::Full => (Reason::Busy, RETRY_US),
                LimitRefusal::Share => (Reason::Share, RETRY_US),
            })?;
        }
        let increment = |e: &mut Entry| {
            e.open += 1;
            e.bytes = e.bytes.saturating_add(info.size);
        };
        self.clients.update(now, client, 0.0, increment);
        self.subnets.update(now, subnet, 0.0, increment);
        if let Some(tenant) = self.tenants.get_mut(&info.tenant) {
            (tenant.open, tenant.bytes) = (tenant.open + 1, tenant.bytes.saturating_add(info.size));
        }
        Ok(())
    }

    /// Whether the blocks, caps or rate limits of the client and its neighbourhood would refuse a request now, and how long
    /// to wait. Counts nothing.
    pub fn check_request(&self, now: Micros, info: &RequestInfo) -> Option<(Reason, Micros)> {
        if self.is_blocked(info.from) {
            return Some((Reason::Blocked, 60 * RETRY_US));
        }
        let factor = self.factor(self.client_status(now, info.from));
        let (a, n) = (&self.rules.address, &self.rules.neighbourhood);
        let client = self.clients.get(&Prefix::client(info.from));
        let subnet = self.subnets.get(&Prefix::neighbourhood(info.from));
        for (entry, caps) in [(client, a), (subnet, n)] {
            let Some(entry) = entry else { continue };
            if let Some(reason) = request_cap(entry, caps, factor, info.size) {
                return Some((reason, RETRY_US));
            }
            let rate = caps.request_rate.map(|r| r.times(factor));
            if let Some(wait) = rate.and_then(|r| entry.request_limiter.wait(now, &r)) {
                return Some((Reason::RequestRate, wait));
            }
        }
        None
    }

    /// Counts a refusal that [`Admission::check_request`] returned.
    pub fn count_refusal(&mut self, now: Micros, from: ClientAddress, reason: Reason) {
        self.record_refusal(now, from, reason);
    }

    /// Ends an admitted request. `took` is its service time, `None` if it was not served.
    pub fn request_done(&mut self, now: Micros, info: &RequestInfo, class: usize, took: Option<Micros>) {
        let half = self.rules.learn_half_ms as f64 * 1000.0;
        let decrement = |e: &mut Entry| {
            e.open = e.open.saturating_sub(1);
            e.bytes = e.bytes.saturating_sub(info.size);
            if took.is_some() {
                let passed = (now - e.served_at).max(0) as f64;
                e.served = e.served * (-passed / half).exp2() + 1.0;
                e.served_at = now;
            }
        };
        self.clients.update(now, Prefix::client(info.from), 0.0, decrement);
        self.subnets.update(now, Prefix::neighbourhood(info.from), 0.0, decrement);
        if let Some(tenant) = self.tenants.get_mut(&info.tenant) {
            tenant.open = tenant.open.saturating_sub(1);
            tenant.bytes = tenant.bytes.saturating_sub(info.size);
        }
        if let Some(adaptive) = &mut self.adaptive {
            adaptive.done(now, class, info.tenant, took);
        }
    }

    /// Counts a refusal. One that the client caused also suspends its learned status and may start a penalty.
    fn record_refusal(&mut self, now: Micros, from: ClientAddress, reason: Reason) {
        self.total_refusals = self.total_refusals.saturating_add(1);
        let key = (Prefix::client(from), reason);
        // Tracks more keys than a summary lists, so that the most frequent ones are likely to be among them.
        if self.refused.len() < 8 * MAX_SUMMARY_PREFIXES || self.refused.contains_key(&key) {
            *self.refused.entry(key).or_default() += 1;
        } else {
            self.others += 1;
        }
        // Load, the caps of the tenant and a full table are not the client's fault.
        if !reason.is_client_fault() {
            return;
        }
        let (p, suspension) = (&self.rules.penalty, self.rules.suspension());
        let (window, first) = (p.window_ms as Micros * 1000, p.first_ms as Micros * 1000);
        let (longest, refusals) = (p.longest_ms as Micros * 1000, p.refusals);
        let apply_refusal = |e: &mut Entry| {
            e.refused = e.refused.saturating_add(1);
            // A connection closed because of a penalty does not extend the penalty.
            if reason == Reason::Penalty {
                return;
            }
            e.suspended_until = now + suspension;
            if now - e.window_start >= window || e.window_start > now {
                (e.window_start, e.recent_refusals) = (now, 0);
            }
            e.recent_refusals = e.recent_refusals.saturating_add(1);
            if e.recent_refusals >= refusals {
                // The level falls by one for each maximum penalty duration since the end of the last penalty.
                let forgiven = (now - e.closed_until).max(0) / longest.max(1);
                e.level = e.level.saturating_sub(forgiven.min(i64::from(MAX_LEVEL)) as u32);
                let time = first.saturating_mul(1 << e.level.min(MAX_LEVEL)).clamp(first, longest);
                e.closed_until = now + time;
                e.level = (e.level + 1).min(MAX_LEVEL);
                (e.window_start, e.recent_refusals) = (now, 0);
            }
        };
        self.clients.update(now, key.0, REFUSE_WEIGHT, apply_refusal);
        self.subnets.update(now, Prefix::neighbourhood(from), REFUSE_WEIGHT, |e| {
            e.refused = e.refused.saturating_add(1)
        });
    }

    /// Takes the summary of refusals, if the interval since the last one is over and there were any.
    pub fn take_refusal_summary(&mut self, now: Micros) -> Option<RefusalSummary> {
        if now - self.summary_at < SUMMARY_INTERVAL_US && now >= self.summary_at {
            return None;
        }
        self.summary_at = now;
        let mut top: Vec<_> =
            std::mem::take(&mut self.refused).into_iter().map(|((p, r), n)| (p, r, n)).collect();
        let mut others = std::mem::take(&mut self.others);
        top.sort_by_key(|(prefix, reason, n)| (std::cmp::Reverse(*n), *prefix, *reason));
        others += top.iter().skip(MAX_SUMMARY_PREFIXES).map(|(.., n)| n).sum::<u64>();
        top.truncate(MAX_SUMMARY_PREFIXES);
        (!top.is_empty() || others > 0).then_some(RefusalSummary { top, others })
    }

    /// Blocks a prefix. Returns false if the maximum number of prefixes is blocked already.
    pub fn block(&mut self, prefix: Prefix) -> bool {
        (self.blocked.len() < MAX_PREFIXES || self.blocked.contains(&prefix)) && {
            self.blocked.insert(prefix);
            true
        }
    }

    /// Unblocks a prefix, and ends the penalty of the client with exactly this prefix.
    pub fn unblock(&mut self, now: Micros, prefix: Prefix) {
        self.blocked.remove(&prefix);
        if self.clients.get(&prefix).is_some() {
            self.clients
                .update(now, prefix, 0.0, |e| (e.closed_until, e.level, e.recent_refusals) = (0, 0, 0));
        }
    }

    /// Whether an address is blocked by an operator.
    pub fn is_blocked(&self, from: ClientAddress) -> bool {
        self.blocked.iter().any(|p| p.contains(from))
    }

    /// Adds a prefix to the known clients or removes it. Returns false if the maximum number of prefixes is known already.
    pub fn set_known(&mut self, prefix: Prefix, known: bool) -> bool {
        if !known {
            self.known.remove(&prefix);
            return true;
        }
        (self.known.len() < 2 * MAX_PREFIXES || self.known.contains(&prefix)) && {
            self.known.insert(prefix);
            true
        }
    }

    /// The blocked prefixes, and the known ones from the settings and operators.
    pub fn manual_prefixes(&self) -> (impl Iterator<Item = &Prefix>, impl Iterator<Item = &Prefix>) {
        (self.blocked.iter(), self.known.iter())
    }

    /// The tables of client addresses and of neighbourhoods.
    pub fn tables(&self) -> (&AddressTable, &AddressTable) {
        (&self.clients, &self.subnets)
    }

    /// The adaptive limit and the number of concurrent requests, if the limit is enabled.
    pub fn adaptive(&self) -> Option<(u32, u32)> {
        self.adaptive.as_ref().map(AdaptiveLimit::state)
    }

    /// The state for a successor process.
    pub fn learned_state(&self, now: Micros) -> LearnedState {
        let is_relevant = |e: &&Entry| e.served > 0.0 || e.closed_until > now || e.refused > 0;
        let heaviest = self.clients.heaviest(now, MAX_HANDED_ENTRIES);
        let entries =
            heaviest.into_iter().filter(|(.., e)| is_relevant(e)).map(|(prefix, .., e)| EntryState {
                prefix,
                served: e.served,
                served_at: e.served_at,
                suspended_until: e.suspended_until,
                closed_until: e.closed_until,
                level: e.level,
                refused: e.refused,
            });
        let manual_prefixes = self.known.iter().filter(|p| !self.rules.known.contains(p));
        LearnedState {
            blocked: self.blocked.iter().copied().collect(),
            known: manual_prefixes.copied().collect(),
            entries: entries.collect(),
        }
    }

    /// Merges the state handed over by a predecessor process; for each value the higher one wins.
    pub fn restore(&mut self, now: Micros, state: LearnedState) {
        for prefix in state.blocked {
            self.block(prefix);
        }
        for prefix in state.known {
            self.set_known(prefix, true);
        }
        for p in state.entries.into_iter().take(MAX_HANDED_ENTRIES) {
            let weight = ADMIT_WEIGHT + REFUSE_WEIGHT * (p.refused.min(1 << 20) as f64);
            self.clients.update(now, p.prefix, weight, |e| {
                if p.served.is_finite() && p.served > e.served {
                    (e.served, e.served_at) = (p.served, p.served_at.min(now));
                }
                e.suspended_until = e.suspended_until.max(p.suspended_until);
                e.closed_until = e.closed_until.max(p.closed_until);
                e.level = e.level.max(p.level.min(MAX_LEVEL));
                e.refused = e.refused.max(p.refused);
            });
        }
    }
}
