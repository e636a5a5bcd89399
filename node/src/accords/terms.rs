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
        let words: Vec<&str> = key.words().collect();
        let int = || match value {
            Value::Int(n) => *n,
            _ => 0,
        };
        let word = || match value {
            Value::Word(word) => word.clone(),
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
mod tests {
    use super::*;
    use rstest::rstest;
    use wheellink_accord::{check, stricter_of};

    fn base() -> Base {
        let config = crate::config::operator(include_str!("../../../deploy/invoke.toml")).expect("a file");
        let d = config.deployment;
        Base { settings: d.settings, classes: d.classes, tenants: d.tenants }
    }

    fn document(entries: &[(&str, Value)]) -> Document {
        let mut document = Document::default();
        for (path, value) in entries {
            let key = Key::new(path).expect("a key");
            check(&key, value).expect("a value");
            document.set(key, value.clone());
        }
        document.seal();
        document
    }

    fn read(entries: &[(&str, Value)]) -> Result<Terms, String> {
        Terms::read(&document(entries), &base(), || false)
    }

    fn word(text: &str) -> Value {
        Value::Word(text.into())
    }

    /// Some of what a document may say.
    fn any(rng: &mut fastrand::Rng) -> Document {
        let mut entries = Vec::new();
        for class in ["check-score", "save-answers", "send-mail"] {
            let effect = ["safe", "keyed", "unsafe"][rng.usize(..3)];
            entries.push((format!("class/{class}/effect"), word(effect)));
            entries.push((format!("class/{class}/scope"), word(["all", "zone", "cell"][rng.usize(..3)])));
            entries.push((format!("class/{class}/window_ms"), Value::Int(rng.i64(0..9_000))));
            entries.push((format!("class/{class}/attempts"), Value::Int(rng.i64(1..9))));
            entries.push((format!("class/{class}/aim_ms"), Value::Int(rng.i64(1..900))));
        }
        entries.push(("tenant/kouterzorg/quota_milli".into(), Value::Int(rng.i64(0..90_000))));
        entries.push(("limit/open".into(), Value::Int(rng.i64(0..900))));
        (0..4).for_each(|h| entries.push((format!("out/h{h}"), Value::Flag(true))));
        // An effect that is keyed needs its scope and window.
        entries.retain(|(path, _)| path.contains("scope") || path.contains("window") || rng.f64() < 0.6);
        let entries: Vec<(&str, Value)> = entries.iter().map(|(p, v)| (p.as_str(), v.clone())).collect();
        document(&entries)
    }

    #[test]
    fn two_at_once_are_obeyed_by_the_stricter_of_each_hard_term() {
        let base = base();
        for seed in 0..500 {
            let mut rng = fastrand::Rng::with_seed(seed);
            let (old, new) = (any(&mut rng), any(&mut rng));
            let one = |document: &Document| Arc::new(Terms::read(document, &base, || false).expect("terms"));
            let alone = |terms: &Arc<Terms>| InForce { terms: vec![terms.clone()], floor: false };
            let (a, b) = (one(&old), one(&new));
            let both = InForce { terms: vec![a.clone(), b.clone()], floor: false };
            let made = both.settings(&base);
            for each in [alone(&a), alone(&b)] {
                let of = each.settings(&base);
                for (made, of) in made.classes.iter().zip(&of.classes) {
                    assert_eq!(made.effect, made.effect.stricter(of.effect), "seed {seed}");
                    assert!(made.attempts <= of.attempts && made.attempts.is_some(), "seed {seed}");
                }
                for (made, of) in made.tenants.iter().zip(&of.tenants) {
                    assert!(made.quota <= of.quota, "seed {seed}");
                }
                assert!(each.limit("open").is_none_or(|cap| both.limit("open") <= Some(cap)), "seed {seed}");
                assert!((0..4).all(|h| !each.is_out(&format!("h{h}")) || both.is_out(&format!("h{h}"))));
            }
            assert_eq!(
                made.classes.iter().map(|c| c.aim).collect::<Vec<_>>(),
                alone(&b).settings(&base).classes.iter().map(|c| c.aim).collect::<Vec<_>>(),
                "seed {seed}: soft ones are the newer's"
            );
            // The accord's own word for both is never stricter: what one is silent of is then the file's.
            let merged = alone(&one(&stricter_of(&old, &new))).settings(&base);
            for (made, merged) in made.classes.iter().zip(&merged.classes) {
                assert!(made.attempts <= merged.attempts, "seed {seed}");
            }
        }
    }

    #[test]
    fn on_the_floor_the_files_own_terms_bind_as_well() {
        let terms = read(&[
            ("class/send-mail/effect", word("safe")),
            ("class/check-score/attempts", Value::Int(16)),
            ("class/save-answers/attempts", Value::Int(1)),
        ]);
        let floor = InForce { terms: vec![Arc::new(terms.expect("terms"))], floor: true };
        let (made, base) = (floor.settings(&base()), base());
        let attempts = |class: usize| made.classes[class].attempts.expect("a number");
        assert_eq!((attempts(0), attempts(1)), (base.settings.max_attempts, 1));
        assert_eq!(made.classes[2].effect, Effect::Unsafe);
    }

    #[rstest]
    #[case::class("class/none/aim_ms", Value::Int(5), "the file of this activator has no class none")]
    #[case::tenant("tenant/none/quota_milli", Value::Int(5), "has no tenant none")]
    #[case::aim("class/check-score/aim_ms", Value::Int(86_000_000), "class/check-score/give_up_ms")]
    #[case::keyed("class/check-score/effect", word("keyed"), "keyed needs scope and window_ms")]
    fn what_the_file_cannot_bear_names_its_key(
        #[case] key: &str,
        #[case] value: Value,
        #[case] wanted: &str,
    ) {
        let problem = read(&[(key, value)]).expect_err("a problem");
        assert!(problem.contains(wanted), "{problem}");
    }

    #[test]
    fn one_that_is_not_wanted_any_more_is_given_up_before_its_end() {
        let entries: Vec<String> = (0..10 * LOOK).map(|i| format!("list/l/e{i}")).collect();
        let entries: Vec<(&str, Value)> = entries.iter().map(|e| (e.as_str(), Value::Flag(true))).collect();
        let looks = std::cell::Cell::new(0);
        let unwanted = || looks.replace(looks.get() + 1) == 3;
        assert!(Terms::read(&document(&entries), &base(), unwanted).is_err());
        assert_eq!(looks.get(), 4, "it looks every {LOOK} keys");
    }
}
