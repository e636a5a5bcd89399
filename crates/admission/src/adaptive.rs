//! An adaptive limit of concurrent requests that follows the capacity of the hosts: additive increase, multiplicative
//! decrease (AIMD), driven by each class's median service time relative to its own recent minimum.
//!
//! Well below the limit every request is admitted. Near the limit requests of low value are refused first, and a tenant
//! above its share yields to tenants below theirs.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use wheellink::{Micros, Renumbering};

/// The settings of the adaptive limit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AdaptiveRules {
    /// The minimum of the limit.
    pub least: u32,
    /// The maximum of the limit.
    pub most: u32,
    /// The ratio of a class's median to its floor above which the limit is decreased.
    #[serde(default = "tolerance")]
    pub tolerance: f64,
}

fn tolerance() -> f64 {
    3.0
}

impl AdaptiveRules {
    pub(crate) fn validation_error(&self) -> Option<&'static str> {
        if self.least == 0 || self.most < self.least {
            Some("least must be at least 1 and most not below least")
        } else if !(1.1..=100.0).contains(&self.tolerance) {
            Some("tolerance must be 1.1 to 100")
        } else {
            None
        }
    }
}

/// The interval between adjustments of the limit.
const ADJUST_INTERVAL_US: Micros = 100_000;
/// The maximum number of samples of a class in one median.
const MAX_SAMPLES: usize = 64;
/// The minimum number of samples of a class in one median.
const MIN_SAMPLES: usize = 5;
/// The number of periods whose lowest median is the floor of a class.
const FLOOR_PERIODS: usize = 30;
/// The length of one floor period.
const FLOOR_PERIOD_US: Micros = 1_000_000;
/// The maximum number of classes, and of tenants, that are tracked separately.
const MAX_TRACKED: usize = 64;
/// A tenant without requests for this long is inactive and leaves its share to the others.
const TENANT_ACTIVE_US: Micros = 1_000_000;
/// The fraction of the limit above which requests of the lowest value are refused; those of the highest are admitted up
/// to the limit.
const LOW_VALUE_SHARE: f64 = 0.8;
/// The limit is adjusted only if the peak of concurrent requests reached this fraction of it.
const BUSY_FRACTION: f64 = 0.7;
/// The factor of a multiplicative decrease.
const DECREASE_FACTOR: f64 = 0.9;

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitRefusal {
    /// The limit of concurrent requests is reached.
    Full,
    /// The tenant is above its share, and the rest of the limit belongs to other tenants.
    Share,
}

#[derive(Debug, Default)]
struct Class {
    /// Service times since the last adjustment.
    samples: Vec<Micros>,
    /// The lowest median of each floor period, by its start.
    medians: BTreeMap<Micros, Micros>,
}

#[derive(Debug, Default)]
struct Tenant {
    in_flight: u32,
    share: f64,
    last_request_at: Micros,
}

/// The adaptive limit of concurrent requests; see the module documentation.
#[derive(Debug)]
pub struct AdaptiveLimit {
    rules: AdaptiveRules,
    limit: f64,
    in_flight: u32,
    /// The peak of concurrent requests since the last adjustment.
    peak: u32,
    adjusted_at: Micros,
    classes: BTreeMap<usize, Class>,
    tenants: BTreeMap<Option<usize>, Tenant>,
}

/// The new key of a tenant, or of requests without one; `None` if the tenant is gone.
pub(crate) fn new_tenant(renumbering: &Renumbering, tenant: Option<usize>) -> Option<Option<usize>> {
    match tenant {
        Some(index) => renumbering.tenants.of(index).map(Some),
        None => Some(None),
    }
}

impl AdaptiveLimit {
    /// Creates a limit that starts at its maximum.
    pub fn new(rules: AdaptiveRules) -> Self {
        let limit = f64::from(rules.most);
        Self {
            rules,
            limit,
            in_flight: 0,
            peak: 0,
            adjusted_at: 0,
            classes: BTreeMap::new(),
            tenants: BTreeMap::new(),
        }
    }

    /// Replaces the settings and keeps the learned state.
    pub fn set_rules(&mut self, rules: AdaptiveRules) {
        self.limit = self.limit.clamp(f64::from(rules.least), f64::from(rules.most));
        self.rules = rules;
    }

    /// Applies new indexes of classes and tenants. What was counted for those that are gone is dropped.
    pub fn renumber(&mut self, renumbering: &Renumbering) {
        let classes = std::mem::take(&mut self.classes).into_iter();
        self.classes = classes.filter_map(|(id, c)| Some((renumbering.classes.of(id)?, c))).collect();
        let tenants = std::mem::take(&mut self.tenants).into_iter();
        self.tenants = tenants.filter_map(|(id, t)| Some((new_tenant(renumbering, id)?, t))).collect();
    }

    /// The current limit and the number of concurrent requests.
    pub fn state(&self) -> (u32, u32) {
        (self.limit as u32, self.in_flight)
    }

    /// Admits a request, which counts until [`AdaptiveLimit::done`]. `worth` is the value of its class relative to the
    /// highest one, `share` is the tenant's share of the service.
    ///
    /// # Errors
    /// Why the request is refused; then it does not count.
    pub fn take(
        &mut self,
        now: Micros,
        worth: f64,
        tenant: Option<usize>,
        share: f64,
    ) -> Result<(), LimitRefusal> {
        if self.tenants.len() >= MAX_TRACKED && !self.tenants.contains_key(&tenant) {
            self.tenants.retain(|_, t| t.in_flight > 0 || now - t.last_request_at < TENANT_ACTIVE_US);
        }
        let tracked = self.tenants.len() < MAX_TRACKED || self.tenants.contains_key(&tenant);
        if tracked {
            let t = self.tenants.entry(tenant).or_default();
            (t.last_request_at, t.share) = (now, share.max(0.0));
        }
        let value_limit = self.limit * (LOW_VALUE_SHARE + (1.0 - LOW_VALUE_SHARE) * worth.clamp(0.0, 1.0));
        if f64::from(self.in_flight) + 1.0 > value_limit.max(1.0) {
            return Err(LimitRefusal::Full);
        }
        let is_active = |t: &Tenant| t.in_flight > 0 || (now - t.last_request_at).abs() < TENANT_ACTIVE_US;
        let sum: f64 = self.tenants.values().filter(|t| is_active(t)).map(|t| t.share).sum();
        let entitled = |t: &Tenant| if sum > 0.0 { self.limit * t.share / sum } else { self.limit };
        let own = self.tenants.get(&tenant);
        if own.is_some_and(|t| f64::from(t.in_flight) + 1.0 > entitled(t).max(1.0)) {
            let others = self.tenants.iter().filter(|(id, t)| **id != tenant && is_active(t));
            let reserved: f64 = others.map(|(_, t)| (entitled(t) - f64::from(t.in_flight)).max(0.0)).sum();
            if self.limit - f64::from(self.in_flight) - reserved < 1.0 {
                return Err(LimitRefusal::Share);
            }
        }
        self.in_flight += 1;
        self.peak = self.peak.max(self.in_flight);
        if let Some(t) = self.tenants.get_mut(&tenant) {
            t.in_flight += 1;
        }
        Ok(())
    }

    /// Ends an admitted request. `took` is its service time, `None` if it was not served.
    pub fn done(&mut self, now: Micros, class: usize, tenant: Option<usize>, took: Option<Micros>) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if let Some(t) = self.tenants.get_mut(&tenant) {
            t.in_flight = t.in_flight.saturating_sub(1);
        }
        if let Some(took) = took {
            if self.classes.len() < MAX_TRACKED || self.classes.contains_key(&class) {
                let c = self.classes.entry(class).or_default();
                if c.samples.len() < MAX_SAMPLES {
                    c.samples.push(took);
                }
            }
        }
        self.adjust(now);
    }

    fn adjust(&mut self, now: Micros) {
        if now - self.adjusted_at < ADJUST_INTERVAL_US && now >= self.adjusted_at {
            return;
        }
        self.adjusted_at = now;
        let mut worst_ratio: Option<f64> = None;
        for class in self.classes.values_mut().filter(|c| c.samples.len() >= MIN_SAMPLES) {
            class.samples.sort_unstable();
            let median = class.samples[class.samples.len() / 2].max(1);
            class.samples.clear();
            let period = now - now.rem_euclid(FLOOR_PERIOD_US);
            let least = class.medians.entry(period).or_insert(median);
            *least = median.min(*least);
            while class.medians.len() > FLOOR_PERIODS {
                class.medians.pop_first();
            }
            let floor = class.medians.values().min().copied().unwrap_or(median);
            let ratio = median as f64 / floor as f64;
            worst_ratio = Some(worst_ratio.map_or(ratio, |w: f64| w.max(ratio)));
        }
        let busy = f64::from(self.peak) >= BUSY_FRACTION * self.limit;
        match worst_ratio {
            Some(ratio) if ratio > self.rules.tolerance && busy => self.limit *= DECREASE_FACTOR,
            Some(_) if busy => self.limit += 1.0 + self.limit / 50.0,
            _ => {}
        }
        self.limit = self.limit.clamp(f64::from(self.rules.least), f64::from(self.rules.most));
        self.peak = self.in_flight;
    }
}
