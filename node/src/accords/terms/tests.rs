//! Tests of `terms` that need its private state.

use super::*;
use rstest::rstest;
use wheellink_accord::{check_entry, joint_terms};

fn base() -> Base {
    let config = crate::config::operator(include_str!("../../../../deploy/invoke.toml")).expect("a file");
    let d = config.deployment;
    Base { settings: d.settings, classes: d.classes, tenants: d.tenants }
}

fn document(entries: &[(&str, Value)]) -> Document {
    let mut document = Document::default();
    for (path, value) in entries {
        let key = Key::new(path).expect("a key");
        check_entry(&key, value).expect("a value");
        document.set(key, value.clone());
    }
    document.seal();
    document
}

fn read(entries: &[(&str, Value)]) -> Result<Terms, String> {
    Terms::read(&document(entries), &base(), || false)
}

fn word(text: &str) -> Value {
    Value::Text(text.into())
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
        let merged = alone(&one(&joint_terms(&old, &new))).settings(&base);
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
fn what_the_file_cannot_bear_names_its_key(#[case] key: &str, #[case] value: Value, #[case] wanted: &str) {
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
