//! What a document says, in terms of the engine: read once beside the loop, so that the loop only looks up.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;

use wheellink::{Effect, Micros, Scope, Settings};
use wheellink_accord::{Document, Key, Value};

/// Keys between two looks whether it is still wanted: some tens of microseconds.
const LOOK: usize = 256;

/// What the operator's own file says, which stands where a document says nothing.
#[derive(Clone)]
pub struct Base {
    pub settings: Settings,
    /// Names of its classes and tenants, by index.
    pub classes: Vec<String>,
    pub tenants: Vec<String>,
}

/// Of one class.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Class {
    effect: Option<String>,
    scope: Option<Scope>,
    window: Option<Micros>,
    attempts: Option<u32>,
    aim: Option<Micros>,
    give_up: Option<Micros>,
    worth: Option<i64>,
    late_worth: Option<i64>,
}

/// A document, read.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Terms {
    /// By index of the file's classes.
    classes: BTreeMap<usize, Class>,
    /// By index of the file's tenants: calls a second of the whole fleet, in thousandths.
    pub quotas: BTreeMap<usize, i64>,
    /// Caps of the whole fleet.
    pub limits: BTreeMap<String, i64>,
    /// Hosts that get nothing new.
    pub out: HashSet<Box<str>>,
    /// Weights of sites, 0 to 1,000.
    pub sites: BTreeMap<String, u32>,
    /// By name: entries that are true.
    pub lists: HashMap<Box<str>, HashSet<Box<str>>>,
    /// By workload and load band: `DRAFTER:LENGTH`.
    pub drafts: BTreeMap<(String, u8), String>,
}

impl Terms {
    /// Reads a document. What is wrong with it beside this file names the key; also wrong is one that is not wanted
    /// any more.
    pub fn read(document: &Document, base: &Base, unwanted: impl Fn() -> bool) -> Result<Self, String> {
        let mut terms = Self::default();
        for (at, (key, value)) in document.iter().enumerate() {
            if at % LOOK == 0 && unwanted() {
                return Err("not wanted any more".into());
            }
            terms.take(key, value, base).map_err(|reason| format!("{}: {reason}", key.as_str()))?;
        }
        let made = terms.over(base);
        for (index, name) in base.classes.iter().enumerate().filter(|(i, _)| terms.classes.contains_key(i)) {
            let (class, said) = (&made.classes[index], &terms.classes[&index]);
            if class.give_up < class.aim {
                return Err(format!("class/{name}/give_up_ms: it is below aim_ms"));
            }
            let keyed = said.effect.as_deref() == Some("keyed");
            let known = matches!(base.settings.classes[index].effect, Effect::Keyed { .. });
            if keyed && !known && (said.scope.is_none() || said.window.is_none()) {
                return Err(format!(
                    "class/{name}/effect: keyed needs scope and window_ms, here or in the file"
                ));
            }
        }
        made.check().map_err(|e| e.to_string())?;
        Ok(terms)
    }

    /// Takes one entry, which the schema knows.
    pub fn take(&mut self, key: &Key, value: &Value, base: &Base) -> Result<(), String> {
        let words: Vec<&str> = key.segments().collect();
        let int = || match value {
            Value::Int(n) => *n,
            _ => 0,
        };
        let word = || match value {
            Value::Text(word) => word.clone(),
            _ => String::new(),
        };
        let place = |names: &[String], name: &str, what: &str| {
            let at = names.iter().position(|known| known == name);
            at.ok_or_else(|| format!("the file of this activator has no {what} {name}"))
        };
        let yes = *value == Value::Flag(true);
        match *words.as_slice() {
            ["class", name, what] => {
                let class = self.classes.entry(place(&base.classes, name, "class")?).or_default();
                match what {
                    "effect" => class.effect = Some(word()),
                    "scope" => {
                        class.scope = Some(match word().as_str() {
                            "all" => Scope::All,
                            "zone" => Scope::Zone,
                            _ => Scope::Cell,
                        })
                    }
                    "window_ms" => class.window = Some(int() * 1_000),
                    "attempts" => class.attempts = Some(int() as u32),
                    "aim_ms" => class.aim = Some(int() * 1_000),
                    "give_up_ms" => class.give_up = Some(int() * 1_000),
                    "worth_milli" => class.worth = Some(int()),
                    "late_worth_milli" => class.late_worth = Some(int()),
                    _ => return Err("no such term of a class".into()),
                }
            }
            ["tenant", name, _] => drop(self.quotas.insert(place(&base.tenants, name, "tenant")?, int())),
            ["limit", name] => drop(self.limits.insert(name.into(), int())),
            ["out", host] => drop(self.out.insert(host.into())),
            ["site", name, _] => drop(self.sites.insert(name.into(), int() as u32)),
            ["list", name, entry] if yes => {
                self.lists.entry(name.into()).or_default().insert(entry.into());
            }
            ["draft", workload, band] => {
                self.drafts.insert((workload.into(), band.parse().unwrap_or_default()), word());
            }
            // Off in a list; what only the accord reads; and the floor, which is a document of its own.
            _ => {}
        }
        Ok(())
    }

    /// The file's settings with this in place of what the file says.
    pub fn over(&self, base: &Base) -> Settings {
        let mut made = base.settings.clone();
        let most = base.settings.max_attempts;
        for (index, terms) in &self.classes {
            let Some(class) = made.classes.get_mut(*index) else { continue };
            class.effect = match (terms.effect.as_deref(), class.effect) {
                (Some("safe"), _) => Effect::Safe,
                (Some("unsafe"), _) => Effect::Unsafe,
                (None, effect @ (Effect::Safe | Effect::Unsafe)) => effect,
                (_, Effect::Keyed { scope, window }) => Effect::Keyed {
                    scope: terms.scope.unwrap_or(scope),
                    window: terms.window.unwrap_or(window),
                },
                (Some(_), _) => Effect::Keyed {
                    scope: terms.scope.unwrap_or(Scope::Cell),
                    window: terms.window.unwrap_or(0),
                },
            };
            class.attempts = terms.attempts;
            class.aim = terms.aim.unwrap_or(class.aim);
            class.give_up = terms.give_up.unwrap_or(class.give_up);
            class.worth = terms.worth.map_or(class.worth, |milli| milli as f64 / 1e3);
            class.late_worth = terms.late_worth.map_or(class.late_worth, |milli| milli as f64 / 1e3);
        }
        for (index, milli) in &self.quotas {
            let tenant = made.tenants.get_mut(*index);
            tenant.into_iter().for_each(|tenant| tenant.quota = *milli as f64 / 1e3);
        }
        // The file's number stands for the classes of which nothing is said.
        made.classes.iter_mut().for_each(|c| c.attempts = Some(c.attempts.unwrap_or(most)));
        made.max_attempts = made.classes.iter().filter_map(|c| c.attempts).fold(most, u32::max);
        made
    }
}

/// What is obeyed now: one reading or two, the newest last; on the floor the file's own terms bind as well.
#[derive(Clone, Debug, Default)]
pub struct InForce {
    pub terms: Vec<Arc<Terms>>,
    pub floor: bool,
}

impl InForce {
    /// Settings for the engine: on hard terms the strictest of all, on soft ones the newest.
    pub fn settings(&self, base: &Base) -> Settings {
        let Some((newest, older)) = self.terms.split_last() else { return base.settings.clone() };
        let mut made = newest.over(base);
        let file = self.floor.then(|| Terms::default().over(base));
        for other in older.iter().map(|terms| terms.over(base)).chain(file) {
            for (class, other) in made.classes.iter_mut().zip(&other.classes) {
                class.effect = class.effect.stricter(other.effect);
                class.attempts = class.attempts.min(other.attempts);
            }
            for (tenant, other) in made.tenants.iter_mut().zip(&other.tenants) {
                tenant.quota = tenant.quota.min(other.quota);
            }
        }
        made
    }

    /// Whether a host gets nothing new.
    pub fn is_out(&self, host: &str) -> bool {
        self.terms.iter().any(|terms| terms.out.contains(host))
    }

    /// Whether the newest says so.
    pub fn lists(&self, list: &str, entry: &str) -> bool {
        let list = self.terms.last().and_then(|terms| terms.lists.get(list));
        list.is_some_and(|entries| entries.contains(entry))
    }

    /// A cap of the whole fleet: the smallest.
    pub fn limit(&self, name: &str) -> Option<i64> {
        self.terms.iter().filter_map(|terms| terms.limits.get(name)).min().copied()
    }

    /// Calls a second of a tenant in the whole fleet, in thousandths: the smallest.
    pub fn quota(&self, tenant: usize) -> Option<i64> {
        self.terms.iter().filter_map(|terms| terms.quotas.get(&tenant)).min().copied()
    }
}

#[cfg(test)]
mod tests;
