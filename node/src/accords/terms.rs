//! A document, translated into settings of the engine. It is read once, outside the event loop, so that the loop only
//! looks values up.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;

use wheellink::{Effect, Micros, Scope, Settings};
use wheellink_accord::{Document, Key, Value};

/// Keys between two checks for cancellation; reading them takes some tens of microseconds.
const CANCEL_CHECK_KEYS: usize = 256;

/// Settings of the operator's file, which apply where a document sets no value.
#[derive(Clone)]
pub struct Base {
    pub settings: Settings,
    /// Names of the classes, by index.
    pub classes: Vec<String>,
    /// Names of the tenants, by index.
    pub tenants: Vec<String>,
}

/// Values that a document sets for one class.
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

/// A document that was read.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Terms {
    /// Values of classes, by index in the file.
    classes: BTreeMap<usize, Class>,
    /// Quotas of tenants, by index in the file: calls per second of the whole fleet, in thousandths.
    pub quotas: BTreeMap<usize, i64>,
    /// Limits of the whole fleet, by name.
    pub limits: BTreeMap<String, i64>,
    /// Hosts that get no new requests.
    pub out: HashSet<Box<str>>,
    /// Weights of sites, 0 to 1,000, by name.
    pub sites: BTreeMap<String, u32>,
    /// Entries of each list that are true, by the list's name.
    pub lists: HashMap<Box<str>, HashSet<Box<str>>>,
    /// Drafter and draft length as `DRAFTER:LENGTH`, by workload and load band.
    pub drafts: BTreeMap<(String, u8), String>,
}

impl Terms {
    /// Reads a document.
    ///
    /// # Errors
    /// The first key that is invalid together with the operator's file, with the reason, or that the reading was
    /// canceled.
    pub fn read(document: &Document, base: &Base, is_canceled: impl Fn() -> bool) -> Result<Self, String> {
        let mut terms = Self::default();
        for (i, (key, value)) in document.iter().enumerate() {
            if i % CANCEL_CHECK_KEYS == 0 && is_canceled() {
                return Err("reading the document was canceled".into());
            }
            terms.set(key, value, base).map_err(|reason| format!("{}: {reason}", key.as_str()))?;
        }
        let settings = terms.apply_to(base);
        for (index, name) in base.classes.iter().enumerate().filter(|(i, _)| terms.classes.contains_key(i)) {
            let (class, set) = (&settings.classes[index], &terms.classes[&index]);
            if class.give_up < class.aim {
                return Err(format!("class/{name}/give_up_ms: it is below aim_ms"));
            }
            let keyed = set.effect.as_deref() == Some("keyed");
            let keyed_in_file = matches!(base.settings.classes[index].effect, Effect::Keyed { .. });
            if keyed && !keyed_in_file && (set.scope.is_none() || set.window.is_none()) {
                return Err(format!(
                    "class/{name}/effect: keyed needs scope and window_ms, here or in the file"
                ));
            }
        }
        settings.check().map_err(|e| e.to_string())?;
        Ok(terms)
    }

    /// Sets the value of one entry, which must conform to the schema.
    ///
    /// # Errors
    /// The operator's file does not have the entry's class or tenant.
    pub fn set(&mut self, key: &Key, value: &Value, base: &Base) -> Result<(), String> {
        let segments: Vec<&str> = key.segments().collect();
        let int = || match value {
            Value::Int(n) => *n,
            _ => 0,
        };
        let text = || match value {
            Value::Text(text) => text.clone(),
            _ => String::new(),
        };
        let index_of = |names: &[String], name: &str, kind: &str| {
            let index = names.iter().position(|known| known == name);
            index.ok_or_else(|| format!("the file of this activator has no {kind} {name}"))
        };
        let is_true = *value == Value::Flag(true);
        match *segments.as_slice() {
            ["class", name, field] => {
                let class = self.classes.entry(index_of(&base.classes, name, "class")?).or_default();
                match field {
                    "effect" => class.effect = Some(text()),
                    "scope" => {
                        class.scope = Some(match text().as_str() {
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
                    _ => return Err("a class has no such field".into()),
                }
            }
            ["tenant", name, _] => drop(self.quotas.insert(index_of(&base.tenants, name, "tenant")?, int())),
            ["limit", name] => drop(self.limits.insert(name.into(), int())),
            ["out", host] => drop(self.out.insert(host.into())),
            ["site", name, _] => drop(self.sites.insert(name.into(), int() as u32)),
            ["list", name, entry] if is_true => {
                self.lists.entry(name.into()).or_default().insert(entry.into());
            }
            ["draft", workload, band] => {
                self.drafts.insert((workload.into(), band.parse().unwrap_or_default()), text());
            }
            // List entries that are false, keys that only the accord reads, and keys of the floor, which is a separate
            // document.
            _ => {}
        }
        Ok(())
    }

    /// The file's settings, with the document's values in place of the file's.
    pub fn apply_to(&self, base: &Base) -> Settings {
        let mut settings = base.settings.clone();
        let in_file = base.settings.max_attempts;
        for (index, terms) in &self.classes {
            let Some(class) = settings.classes.get_mut(*index) else { continue };
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
            let tenant = settings.tenants.get_mut(*index);
            tenant.into_iter().for_each(|tenant| tenant.quota = *milli as f64 / 1e3);
        }
        // The file's number applies to classes for which the document sets none.
        settings.classes.iter_mut().for_each(|c| c.attempts = Some(c.attempts.unwrap_or(in_file)));
        settings.max_attempts = settings.classes.iter().filter_map(|c| c.attempts).fold(in_file, u32::max);
        settings
    }
}

/// The terms in force. While one version replaces another, both are in force. On the floor the file's own terms apply
/// as well.
#[derive(Clone, Debug, Default)]
pub struct TermsInForce {
    /// The terms of one version or of two, the newest last.
    pub terms: Vec<Arc<Terms>>,
    /// Whether the terms are those of the floor.
    pub floor: bool,
}

impl TermsInForce {
    /// Settings for the engine. Effects, attempts and quotas take the strictest value of all terms in force; everything
    /// else takes the newest.
    pub fn settings(&self, base: &Base) -> Settings {
        let Some((newest, older)) = self.terms.split_last() else { return base.settings.clone() };
        let mut settings = newest.apply_to(base);
        let file = self.floor.then(|| Terms::default().apply_to(base));
        for other in older.iter().map(|terms| terms.apply_to(base)).chain(file) {
            for (class, other) in settings.classes.iter_mut().zip(&other.classes) {
                class.effect = class.effect.stricter(other.effect);
                class.attempts = class.attempts.min(other.attempts);
            }
            for (tenant, other) in settings.tenants.iter_mut().zip(&other.tenants) {
                tenant.quota = tenant.quota.min(other.quota);
            }
        }
        settings
    }

    /// Whether any terms in force exclude a host from new requests.
    pub fn is_out(&self, host: &str) -> bool {
        self.terms.iter().any(|terms| terms.out.contains(host))
    }

    /// Whether the newest terms have an entry in a list.
    pub fn list_contains(&self, list: &str, entry: &str) -> bool {
        let list = self.terms.last().and_then(|terms| terms.lists.get(list));
        list.is_some_and(|entries| entries.contains(entry))
    }

    /// A limit of the whole fleet: the smallest of all terms in force.
    pub fn limit(&self, name: &str) -> Option<i64> {
        self.terms.iter().filter_map(|terms| terms.limits.get(name)).min().copied()
    }

    /// A tenant's calls per second in the whole fleet, in thousandths: the smallest of all terms in force.
    pub fn quota(&self, tenant: usize) -> Option<i64> {
        self.terms.iter().filter_map(|terms| terms.quotas.get(&tenant)).min().copied()
    }
}

#[cfg(test)]
mod tests;
