//! The gate: what of all that is known lets somebody in, and what is remembered of those that it turned away.

use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;

use serde::{Deserialize, Serialize};
use wheellink::Micros;

use crate::adaptive::{AdaptiveLimit, LimitRefusal};
use crate::prefix::Prefix;
use crate::rules::{Caps, Rules, MAX_PREFIXES};
use crate::table::{AddressEntry, AddressTable};

/// Weights of a connection or request, and of a refusal: what misbehaves stays in the table.
const COME: f64 = 1.0;
const TURNED_AWAY: f64 = 10.0;
/// Refused prefixes that are told apart in one window; the rest are counted together.
pub const MOST_TOLD: usize = 20;
/// How long a window of the log is.
pub const WINDOW: Micros = 1_000_000;
/// Penalties double this often at the most: beyond that the cap holds anyway.
const MOST_LEVELS: u32 = 40;
/// Entries that are told to a successor, heaviest first.
const MOST_PASSED: usize = 2_000;
/// Tenants whose open requests are told apart.
const MOST_TENANTS: usize = 1_024;

/// Why somebody was turned away.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RefusalReason {
    /// By hand.
    Blocked,
    /// Turned away too often lately.
    Penalty,
    /// Connections at once.
    Connections,
    /// New connections a second.
    ConnectRate,
    /// Requests a second.
    RequestRate,
    /// Requests open.
    Open,
    /// Bytes of open requests.
    OpenBytes,
    /// The tenant's caps.
    Tenant,
    /// The adaptive limit.
    Busy,
    /// The adaptive limit, where the tenant is above its share of it.
    Share,
    /// The table holds active entries only.
    AddressTable,
}

impl RefusalReason {
    /// As it stands in log and answers.
    pub fn as_str(self) -> &'static str {
        match self {
            RefusalReason::Blocked => "blocked",
            RefusalReason::Penalty => "penalty",
            RefusalReason::Connections => "connections",
            RefusalReason::ConnectRate => "connect_rate",
            RefusalReason::RequestRate => "request_rate",
            RefusalReason::Open => "open",
            RefusalReason::OpenBytes => "open_bytes",
            RefusalReason::Tenant => "tenant",
            RefusalReason::Busy => "busy",
            RefusalReason::Share => "share",
            RefusalReason::AddressTable => "table",
        }
    }

    /// Whether it is the client's own doing, and not that the service is full.
    pub fn is_client_fault(self) -> bool {
        !matches!(
            self,
            RefusalReason::Busy | RefusalReason::Share | RefusalReason::AddressTable | RefusalReason::Tenant
        )
    }
}

/// How a client stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientStatus {
    /// By the file or by hand, or by what it was served.
    Known,
    /// Nothing speaks for it.
    Unknown,
}

/// Who asks: an address.
pub type ClientAddress = IpAddr;

/// A request that asks to be taken.
#[derive(Clone, Copy, Debug)]
pub struct RequestInfo {
    /// Whose.
    pub from: ClientAddress,
    /// Its tenant and that one's share of the service.
    pub tenant: Option<usize>,
    /// In parts of 1.
    pub share: f64,
    /// Its class's worth in parts of the highest.
    pub worth: f64,
    /// Bytes of its body.
    pub size: u64,
}

/// Who was turned away within a window, for one line of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RefusalSummary {
    /// Whom, why, how often; most often first.
    pub top: Vec<(Prefix, RefusalReason, u64)>,
    /// Refusals of whoever is not told.
    pub others: u64,
}

/// What a successor is told of one address.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EntryState {
    prefix: Prefix,
    served: f64,
    served_at: Micros,
    spoilt_until: Micros,
    closed_until: Micros,
    level: u32,
    refused: u64,
}

/// What a successor is told.
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

/// See the module's page.
pub struct Admission {
    rules: Rules,
    per_client: AddressTable,
    per_neighbourhood: AddressTable,
    tenants: BTreeMap<Option<usize>, TenantState>,
    blocked: BTreeSet<Prefix>,
    known: BTreeSet<Prefix>,
    adaptive: Option<AdaptiveLimit>,
    window: Micros,
    refused: BTreeMap<(Prefix, RefusalReason), u64>,
    others: u64,
    /// All refusals since the start.
    pub total_refusals: u64,
}

fn capped(entry: &AddressEntry, caps: &Caps, factor: f64) -> Option<RefusalReason> {
    let most = |cap: u32| (f64::from(cap) * factor) as u64;
    (caps.connections.is_some_and(|cap| u64::from(entry.connections) >= most(cap)))
        .then_some(RefusalReason::Connections)
}

fn request_capped(entry: &AddressEntry, caps: &Caps, factor: f64, size: u64) -> Option<RefusalReason> {
    let most = |cap: f64| (cap * factor) as u64;
    if caps.open.is_some_and(|cap| u64::from(entry.open) >= most(cap.into())) {
        Some(RefusalReason::Open)
    } else if caps.open_bytes.is_some_and(|cap| entry.bytes.saturating_add(size) > most(cap as f64)) {
        Some(RefusalReason::OpenBytes)
    } else {
        None
    }
}

impl Admission {
    /// With rules that were checked.
    pub fn new(rules: Rules) -> Self {
        Self {
            per_client: AddressTable::new(rules.entries),
            per_neighbourhood: AddressTable::new(rules.entries),
            tenants: BTreeMap::new(),
            blocked: BTreeSet::new(),
            known: rules.known.iter().copied().collect(),
            adaptive: rules.adaptive.clone().map(AdaptiveLimit::new),
            window: 0,
            refused: BTreeMap::new(),
            others: 0,
            total_refusals: 0,
            rules,
        }
    }

    /// Other rules from now on: counts, penalties and what was learnt stay. What the old file knew and the new one
    /// does not is known no more, and what was made known by hand stays so.
    pub fn set_rules(&mut self, rules: Rules) {
        for prefix in &self.rules.known {
            self.known.remove(prefix);
        }
        self.known.extend(rules.known.iter().copied());
        self.per_client.set_capacity(rules.entries);
        self.per_neighbourhood.set_capacity(rules.entries);
        match (&mut self.adaptive, &rules.adaptive) {
            (Some(adaptive), Some(rules)) => adaptive.set_rules(rules.clone()),
            (slot, rules) => *slot = rules.clone().map(AdaptiveLimit::new),
        }
        self.rules = rules;
    }

    /// The rules in force.
    pub fn rules(&self) -> &Rules {
        &self.rules
    }

    /// Whether this is a proxy whose word on its clients' addresses is taken.
    pub fn is_trusted_proxy(&self, from: ClientAddress) -> bool {
        self.rules.proxies.iter().any(|p| p.contains(from))
    }

    fn served_lately(&self, now: Micros, entry: &AddressEntry) -> f64 {
        let half = self.rules.learn_half_ms as f64 * 1000.0;
        entry.served * (-((now - entry.served_at).max(0) as f64) / half).exp2()
    }

    /// How a client stands.
    pub fn client_status(&self, now: Micros, from: ClientAddress) -> ClientStatus {
        if self.known.iter().any(|p| p.contains(from)) {
            return ClientStatus::Known;
        }
        let learns = self.rules.learn_calls > 0.0;
        let entry = self.per_client.get(&Prefix::client(from)).filter(|_| learns);
        let spoilt = |e: &AddressEntry| e.spoilt_until > now && e.spoilt_until <= now + self.rules.spoilt();
        match entry {
            Some(e) if !spoilt(e) && self.served_lately(now, e) >= self.rules.learn_calls => {
                ClientStatus::Known
            }
            _ => ClientStatus::Unknown,
        }
    }

    fn factor(&self, client_status: ClientStatus) -> f64 {
        match client_status {
            ClientStatus::Known => self.rules.known_factor,
            ClientStatus::Unknown => 1.0,
        }
    }

    /// A connection has come. It counts from now on, until [`Admission::gone`].
    ///
    /// # Errors
    /// Why it is to be closed, unread; then it does not count.
    pub fn connect(&mut self, now: Micros, from: ClientAddress) -> Result<ClientStatus, RefusalReason> {
        let client_status = self.client_status(now, from);
        match self.try_connect(now, from, client_status) {
            Ok(()) => Ok(client_status),
            Err(reason) => {
                self.record_refusal(now, from, reason);
                Err(reason)
            }
        }
    }

    fn try_connect(
        &mut self,
        now: Micros,
        from: ClientAddress,
        client_status: ClientStatus,
    ) -> Result<(), RefusalReason> {
        if self.blocked.iter().any(|p| p.contains(from)) {
            return Err(RefusalReason::Blocked);
        }
        let (per_client, per_neighbourhood) = (Prefix::client(from), Prefix::neighbourhood(from));
        let longest = self.rules.penalty.longest_ms as Micros * 1000;
        let closed = |e: &AddressEntry| e.closed_until > now && e.closed_until <= now + longest;
        if self.per_client.get(&per_client).is_some_and(closed) {
            return Err(RefusalReason::Penalty);
        }
        let factor = self.factor(client_status);
        // All caps first, so that whoever is turned away by one has not used up another.
        let (a, n) = (&self.rules.address, &self.rules.neighbourhood);
        let over = self.per_client.get(&per_client).and_then(|e| capped(e, a, factor));
        let over = over
            .or_else(|| self.per_neighbourhood.get(&per_neighbourhood).and_then(|e| capped(e, n, factor)));
        if let Some(reason) = over {
            return Err(reason);
        }
        for (table, key, rate) in [
            (&mut self.per_client, per_client, &a.connect_rate),
            (&mut self.per_neighbourhood, per_neighbourhood, &n.connect_rate),
        ] {
            let scaled = rate.map(|r| r.times(factor));
            let took =
                table.update(now, key, COME, |e| scaled.is_none_or(|r| e.connect.take(now, &r).is_ok()));
            match took {
                Some(true) => {}
                Some(false) => return Err(RefusalReason::ConnectRate),
                None => return Err(RefusalReason::AddressTable),
            }
        }
        self.per_client.update(now, per_client, 0.0, |e| e.connections += 1);
        self.per_neighbourhood.update(now, per_neighbourhood, 0.0, |e| e.connections += 1);
        Ok(())
    }

    /// A connection that was let in has ended.
    pub fn connection_closed(&mut self, now: Micros, from: ClientAddress) {
        let less = |e: &mut AddressEntry| e.connections = e.connections.saturating_sub(1);
        self.per_client.update(now, Prefix::client(from), 0.0, less);
        self.per_neighbourhood.update(now, Prefix::neighbourhood(from), 0.0, less);
    }

    /// A request asks to go on to the module. It counts from now on, until [`Admission::done`].
    ///
    /// # Errors
    /// Why not, and how long to wait before trying again; then it does not count.
    pub fn admit_request(&mut self, now: Micros, info: &RequestInfo) -> Result<(), (RefusalReason, Micros)> {
        let taken = self.try_request(now, info);
        if let Err((reason, _)) = taken {
            self.record_refusal(now, info.from, reason);
        }
        taken
    }

    fn try_request(&mut self, now: Micros, info: &RequestInfo) -> Result<(), (RefusalReason, Micros)> {
        const SOON: Micros = 1_000_000;
        let (per_client, per_neighbourhood) = (Prefix::client(info.from), Prefix::neighbourhood(info.from));
        if self.blocked.iter().any(|p| p.contains(info.from)) {
            return Err((RefusalReason::Blocked, 60 * SOON));
        }
        let factor = self.factor(self.client_status(now, info.from));
        let (a, n, t) = (&self.rules.address, &self.rules.neighbourhood, &self.rules.tenant);
        let over = self.per_client.get(&per_client).and_then(|e| request_capped(e, a, factor, info.size));
        let over = over.or_else(|| {
            self.per_neighbourhood
                .get(&per_neighbourhood)
                .and_then(|e| request_capped(e, n, factor, info.size))
        });
        if let Some(reason) = over {
            return Err((reason, SOON));
        }
        let told_apart = self.tenants.len() < MOST_TENANTS || self.tenants.contains_key(&info.tenant);
        if told_apart {
            let tenant = self.tenants.entry(info.tenant).or_default();
            let open = t.open.is_some_and(|cap| tenant.open >= cap);
            let bytes = t.open_bytes.is_some_and(|cap| tenant.bytes.saturating_add(info.size) > cap);
            if open || bytes {
                return Err((RefusalReason::Tenant, SOON));
            }
        }
        for (table, key, rate) in [
            (&mut self.per_client, per_client, &a.request_rate),
            (&mut self.per_neighbourhood, per_neighbourhood, &n.request_rate),
        ] {
            let scaled = rate.map(|r| r.times(factor));
            let took = table.update(now, key, COME, |e| scaled.map_or(Ok(()), |r| e.request.take(now, &r)));
            match took {
                Some(Ok(())) => {}
                Some(Err(wait)) => return Err((RefusalReason::RequestRate, wait)),
                None => return Err((RefusalReason::AddressTable, SOON)),
            }
        }
        if let (Some(rate), Some(tenant)) = (&t.request_rate, self.tenants.get_mut(&info.tenant)) {
            tenant.rate.take(now, rate).map_err(|wait| (RefusalReason::Tenant, wait))?;
        }
        if let Some(adaptive) = &mut self.adaptive {
            adaptive.take(now, info.worth, info.tenant, info.share).map_err(|refused| match refused {
                LimitRefusal::Full => (RefusalReason::Busy, SOON),
                LimitRefusal::Share => (RefusalReason::Share, SOON),
            })?;
        }
        let more = |e: &mut AddressEntry| {
            e.open += 1;
            e.bytes = e.bytes.saturating_add(info.size);
        };
        self.per_client.update(now, per_client, 0.0, more);
        self.per_neighbourhood.update(now, per_neighbourhood, 0.0, more);
        if let Some(tenant) = self.tenants.get_mut(&info.tenant) {
            (tenant.open, tenant.bytes) = (tenant.open + 1, tenant.bytes.saturating_add(info.size));
        }
        Ok(())
    }

    /// Whether a request would be turned away now for its own or its tenant's doing, and how long to wait: nothing
    /// is counted.
    pub fn check_request(&self, now: Micros, info: &RequestInfo) -> Option<(RefusalReason, Micros)> {
        const SOON: Micros = 1_000_000;
        if self.is_blocked(info.from) {
            return Some((RefusalReason::Blocked, 60 * SOON));
        }
        let factor = self.factor(self.client_status(now, info.from));
        let (a, n) = (&self.rules.address, &self.rules.neighbourhood);
        let per_client = self.per_client.get(&Prefix::client(info.from));
        let per_neighbourhood = self.per_neighbourhood.get(&Prefix::neighbourhood(info.from));
        for (entry, caps) in [(per_client, a), (per_neighbourhood, n)] {
            let Some(entry) = entry else { continue };
            if let Some(reason) = request_capped(entry, caps, factor, info.size) {
                return Some((reason, SOON));
            }
            let rate = caps.request_rate.map(|r| r.times(factor));
            if let Some(wait) = rate.and_then(|r| entry.request.wait(now, &r)) {
                return Some((RefusalReason::RequestRate, wait));
            }
        }
        None
    }

    /// Somebody was turned away by [`Admission::check_request`].
    pub fn count_refusal(&mut self, now: Micros, from: ClientAddress, reason: RefusalReason) {
        self.record_refusal(now, from, reason);
    }

    /// A request that was taken is over. `took` where it was served.
    pub fn request_done(&mut self, now: Micros, info: &RequestInfo, class: usize, took: Option<Micros>) {
        let half = self.rules.learn_half_ms as f64 * 1000.0;
        let less = |e: &mut AddressEntry| {
            e.open = e.open.saturating_sub(1);
            e.bytes = e.bytes.saturating_sub(info.size);
            if took.is_some() {
                let passed = (now - e.served_at).max(0) as f64;
                e.served = e.served * (-passed / half).exp2() + 1.0;
                e.served_at = now;
            }
        };
        self.per_client.update(now, Prefix::client(info.from), 0.0, less);
        self.per_neighbourhood.update(now, Prefix::neighbourhood(info.from), 0.0, less);
        if let Some(tenant) = self.tenants.get_mut(&info.tenant) {
            tenant.open = tenant.open.saturating_sub(1);
            tenant.bytes = tenant.bytes.saturating_sub(info.size);
        }
        if let Some(adaptive) = &mut self.adaptive {
            adaptive.done(now, class, info.tenant, took);
        }
    }

    /// Somebody was turned away: it is counted, spoils what was learnt, and may begin a penalty.
    fn record_refusal(&mut self, now: Micros, from: ClientAddress, reason: RefusalReason) {
        self.total_refusals = self.total_refusals.saturating_add(1);
        let key = (Prefix::client(from), reason);
        // More than are told, so that those that come most often are among them.
        if self.refused.len() < 8 * MOST_TOLD || self.refused.contains_key(&key) {
            *self.refused.entry(key).or_default() += 1;
        } else {
            self.others += 1;
        }
        if !reason.is_client_fault() {
            return;
        }
        let (p, spoilt) = (&self.rules.penalty, self.rules.spoilt());
        let (window, first) = (p.window_ms as Micros * 1000, p.first_ms as Micros * 1000);
        let (longest, refusals) = (p.longest_ms as Micros * 1000, p.refusals);
        let begins = |e: &mut AddressEntry| {
            e.refused = e.refused.saturating_add(1);
            // Whoever is closed at accept is not punished for that again, and the table's own fullness is nobody's.
            if reason == RefusalReason::Penalty {
                return;
            }
            e.spoilt_until = now + spoilt;
            if now - e.window >= window || e.window > now {
                (e.window, e.lately) = (now, 0);
            }
            e.lately = e.lately.saturating_add(1);
            if e.lately >= refusals {
                // One level is forgiven for each longest time that has passed since the last penalty.
                let calm = (now - e.closed_until).max(0) / longest.max(1);
                e.level = e.level.saturating_sub(calm.min(i64::from(MOST_LEVELS)) as u32);
                let time = first.saturating_mul(1 << e.level.min(MOST_LEVELS)).clamp(first, longest);
                e.closed_until = now + time;
                e.level = (e.level + 1).min(MOST_LEVELS);
                (e.window, e.lately) = (now, 0);
            }
        };
        self.per_client.update(now, key.0, TURNED_AWAY, begins);
        self.per_neighbourhood.update(now, Prefix::neighbourhood(from), TURNED_AWAY, |e| {
            e.refused = e.refused.saturating_add(1)
        });
    }

    /// Whom was turned away in the window that is over, where it is and anybody was.
    pub fn take_refusal_summary(&mut self, now: Micros) -> Option<RefusalSummary> {
        if now - self.window < WINDOW && now >= self.window {
            return None;
        }
        self.window = now;
        let mut told: Vec<_> =
            std::mem::take(&mut self.refused).into_iter().map(|((p, r), n)| (p, r, n)).collect();
        let mut others = std::mem::take(&mut self.others);
        told.sort_by_key(|(prefix, reason, n)| (std::cmp::Reverse(*n), *prefix, *reason));
        others += told.iter().skip(MOST_TOLD).map(|(.., n)| n).sum::<u64>();
        told.truncate(MOST_TOLD);
        (!told.is_empty() || others > 0).then_some(RefusalSummary { top: told, others })
    }

    /// Nobody of this prefix is let in from now on. False where as many are blocked as may be.
    pub fn block(&mut self, prefix: Prefix) -> bool {
        (self.blocked.len() < MAX_PREFIXES || self.blocked.contains(&prefix)) && {
            self.blocked.insert(prefix);
            true
        }
    }

    /// They are let in again; a penalty that one of them has ends too.
    pub fn unblock(&mut self, now: Micros, prefix: Prefix) {
        self.blocked.remove(&prefix);
        if self.per_client.get(&prefix).is_some() {
            self.per_client.update(now, prefix, 0.0, |e| (e.closed_until, e.level, e.lately) = (0, 0, 0));
        }
    }

    /// Whether an address is blocked by hand.
    pub fn is_blocked(&self, from: ClientAddress) -> bool {
        self.blocked.iter().any(|p| p.contains(from))
    }

    /// Clients of this prefix are known from now on, or no longer so by hand. False where as many are as may be.
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

    /// Blocked by hand, and known by file or hand.
    pub fn manual_prefixes(&self) -> (impl Iterator<Item = &Prefix>, impl Iterator<Item = &Prefix>) {
        (self.blocked.iter(), self.known.iter())
    }

    /// The tables of addresses and neighbourhoods.
    pub fn tables(&self) -> (&AddressTable, &AddressTable) {
        (&self.per_client, &self.per_neighbourhood)
    }

    /// The adaptive limit and what is under way, where there is one.
    pub fn adaptive(&self) -> Option<(u32, u32)> {
        self.adaptive.as_ref().map(AdaptiveLimit::state)
    }

    /// What a process needs that takes this one's place.
    pub fn learned_state(&self, now: Micros) -> LearnedState {
        let worth_it = |e: &&AddressEntry| e.served > 0.0 || e.closed_until > now || e.refused > 0;
        let heaviest = self.per_client.heaviest(now, MOST_PASSED);
        let entries = heaviest.into_iter().filter(|(.., e)| worth_it(e)).map(|(prefix, .., e)| EntryState {
            prefix,
            served: e.served,
            served_at: e.served_at,
            spoilt_until: e.spoilt_until,
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

    /// Takes up what such a process told; what this one has learnt itself stays where it is more.
    pub fn restore(&mut self, now: Micros, state: LearnedState) {
        for prefix in state.blocked {
            self.block(prefix);
        }
        for prefix in state.known {
            self.set_known(prefix, true);
        }
        for p in state.entries.into_iter().take(MOST_PASSED) {
            let weight = COME + TURNED_AWAY * (p.refused.min(1 << 20) as f64);
            self.per_client.update(now, p.prefix, weight, |e| {
                if p.served.is_finite() && p.served > e.served {
                    (e.served, e.served_at) = (p.served, p.served_at.min(now));
                }
                e.spoilt_until = e.spoilt_until.max(p.spoilt_until);
                e.closed_until = e.closed_until.max(p.closed_until);
                e.level = e.level.max(p.level.min(MOST_LEVELS));
                e.refused = e.refused.max(p.refused);
            });
        }
    }
}
