//! A limit of requests under way that follows what the hosts can do: additive increase, multiplicative decrease
//! on each class's median time against its own floor. Below the limit all are taken; near it the least worth go
//! first, and a tenant above its share gives way to one below.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use wheellink::Micros;

/// What operators set.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AdaptiveRules {
    /// Never below this many.
    pub least: u32,
    /// Never above this many.
    pub most: u32,
    /// A median of so many times its floor is too long.
    #[serde(default = "tolerance")]
    pub tolerance: f64,
}

fn tolerance() -> f64 {
    3.0
}

impl AdaptiveRules {
    pub(crate) fn validation_error(&self) -> Option<&'static str> {
        if self.least == 0 || self.most < self.least {
            Some("least must be 1 at least and most not below it")
        } else if !(1.1..=100.0).contains(&self.tolerance) {
            Some("tolerance must be 1.1 to 100")
        } else {
            None
        }
    }
}

/// The limit is looked at this often.
const WINDOW: Micros = 100_000;
/// Samples of a class that a median is taken of, at the most and at the least.
const SAMPLES: usize = 64;
const FEWEST: usize = 5;
/// A floor is the least median of so many stretches.
const STRETCHES: usize = 30;
const STRETCH: Micros = 1_000_000;
/// Classes and tenants that are told apart.
const MOST: usize = 64;
/// A tenant that asked for nothing for so long leaves its share to the others.
const PRESENT: Micros = 1_000_000;
/// The least worth are refused above this part of the limit, the most worth at the limit itself.
const CHEAP: f64 = 0.8;

/// Why a request is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitRefusal {
    /// As many as may be are under way.
    Full,
    /// Its tenant is above its share, and what is left is others'.
    Share,
}

#[derive(Debug, Default)]
struct Class {
    samples: Vec<Micros>,
    medians: BTreeMap<Micros, Micros>,
}

#[derive(Debug, Default)]
struct Tenant {
    under: u32,
    share: f64,
    seen: Micros,
}

/// See the module's page.
#[derive(Debug)]
pub struct AdaptiveLimit {
    rules: AdaptiveRules,
    limit: f64,
    under: u32,
    /// The most under way since the last look.
    peak: u32,
    looked: Micros,
    classes: BTreeMap<usize, Class>,
    tenants: BTreeMap<Option<usize>, Tenant>,
}

impl AdaptiveLimit {
    /// Begins at the most that may be.
    pub fn new(rules: AdaptiveRules) -> Self {
        let limit = f64::from(rules.most);
        Self {
            rules,
            limit,
            under: 0,
            peak: 0,
            looked: 0,
            classes: BTreeMap::new(),
            tenants: BTreeMap::new(),
        }
    }

    /// Other rules; what is learnt stays.
    pub fn set_rules(&mut self, rules: AdaptiveRules) {
        self.limit = self.limit.clamp(f64::from(rules.least), f64::from(rules.most));
        self.rules = rules;
    }

    /// The limit now, and what is under way.
    pub fn state(&self) -> (u32, u32) {
        (self.limit as u32, self.under)
    }

    /// Whether a request may go on to the module. `worth` is its class's in parts of the highest, `share` its
    /// tenant's of the service.
    pub fn take(
        &mut self,
        now: Micros,
        worth: f64,
        tenant: Option<usize>,
        share: f64,
    ) -> Result<(), LimitRefusal> {
        if self.tenants.len() >= MOST && !self.tenants.contains_key(&tenant) {
            self.tenants.retain(|_, t| t.under > 0 || now - t.seen < PRESENT);
        }
        let known = self.tenants.len() < MOST || self.tenants.contains_key(&tenant);
        if known {
            let t = self.tenants.entry(tenant).or_default();
            (t.seen, t.share) = (now, share.max(0.0));
        }
        let room = self.limit * (CHEAP + (1.0 - CHEAP) * worth.clamp(0.0, 1.0));
        if f64::from(self.under) + 1.0 > room.max(1.0) {
            return Err(LimitRefusal::Full);
        }
        let here = |t: &Tenant| t.under > 0 || (now - t.seen).abs() < PRESENT;
        let sum: f64 = self.tenants.values().filter(|t| here(t)).map(|t| t.share).sum();
        let due = |t: &Tenant| if sum > 0.0 { self.limit * t.share / sum } else { self.limit };
        let own = self.tenants.get(&tenant);
        if own.is_some_and(|t| f64::from(t.under) + 1.0 > due(t).max(1.0)) {
            let others = self.tenants.iter().filter(|(id, t)| **id != tenant && here(t));
            let kept: f64 = others.map(|(_, t)| (due(t) - f64::from(t.under)).max(0.0)).sum();
            if self.limit - f64::from(self.under) - kept < 1.0 {
                return Err(LimitRefusal::Share);
            }
        }
        self.under += 1;
        self.peak = self.peak.max(self.under);
        if let Some(t) = self.tenants.get_mut(&tenant) {
            t.under += 1;
        }
        Ok(())
    }

    /// A request that was taken is over; `took` where it was served.
    pub fn done(&mut self, now: Micros, class: usize, tenant: Option<usize>, took: Option<Micros>) {
        self.under = self.under.saturating_sub(1);
        if let Some(t) = self.tenants.get_mut(&tenant) {
            t.under = t.under.saturating_sub(1);
        }
        if let Some(took) = took {
            if self.classes.len() < MOST || self.classes.contains_key(&class) {
                let c = self.classes.entry(class).or_default();
                if c.samples.len() < SAMPLES {
                    c.samples.push(took);
                }
            }
        }
        self.look(now);
    }

    fn look(&mut self, now: Micros) {
        if now - self.looked < WINDOW && now >= self.looked {
            return;
        }
        self.looked = now;
        let mut worst: Option<f64> = None;
        for class in self.classes.values_mut().filter(|c| c.samples.len() >= FEWEST) {
            class.samples.sort_unstable();
            let median = class.samples[class.samples.len() / 2].max(1);
            class.samples.clear();
            let stretch = now - now.rem_euclid(STRETCH);
            let least = class.medians.entry(stretch).or_insert(median);
            *least = median.min(*least);
            while class.medians.len() > STRETCHES {
                class.medians.pop_first();
            }
            let floor = class.medians.values().min().copied().unwrap_or(median);
            let ratio = median as f64 / floor as f64;
            worst = Some(worst.map_or(ratio, |w: f64| w.max(ratio)));
        }
        let busy = f64::from(self.peak) >= 0.7 * self.limit;
        match worst {
            Some(ratio) if ratio > self.rules.tolerance && busy => self.limit *= 0.9,
            Some(_) if busy => self.limit += 1.0 + self.limit / 50.0,
            _ => {}
        }
        self.limit = self.limit.clamp(f64::from(self.rules.least), f64::from(self.rules.most));
        self.peak = self.under;
    }
}
