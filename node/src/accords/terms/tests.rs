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

fn text_value(text: &str) -> Value {
    Value::Text(text.into())
}

/// A document with random values for a random choice of keys.
fn random_document(rng: &mut fastrand::Rng) -> Document {
    let mut entries = Vec::new();
    for class in ["check-score", "save-answers", "send-mail"] {
        let effect = ["safe", "keyed", "unsafe"][rng.usize(..3)];
        entries.push((format!("class/{class}/effect"), text_value(effect)));
        entries.push((format!("class/{class}/scope"), text_value(["all", "zone", "cell"][rng.usize(..3)])));
        entries.push((format!("class/{class}/window_ms"), Value::Int(rng.i64(0..9_000))));
        entries.push((format!("class/{class}/attempts"), Value::Int(rng.i64(1..9))));
        entries.push((format!("class/{class}/aim_ms"), Value::Int(rng.i64(1..900))));
    }
    entries.push(("tenant/kouterzorg/quota_milli".into(), Value::Int(rng.i64(0..90_000))));
    entries.push(("limit/open".into(), Value::Int(rng.i64(0..900))));
    (0..4).for_each(|h| entries.push((format!("out/h{h}"), Value::Flag(true))));
    // Scope and window stay, as the keyed effect needs them.
    entries.retain(|(path, _)| path.contains("scope") || path.contains("window") || rng.f64() < 0.6);
    let entries: Vec<(&str, Value)> = entries.iter().map(|(p, v)| (p.as_str(), v.clone())).collect();
    document(&entries)
}

#[test]
fn of_two_versions_in_force_the_stricter_value_of_each_hard_term_applies() {
    let base = base();
    for seed in 0..500 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let (old, new) = (random_document(&mut rng), random_document(&mut rng));
        let terms = |document: &Document| Arc::new(Terms::read(document, &base, || false).expect("terms"));
        let alone = |terms: &Arc<Terms>| TermsInForce { terms: vec![terms.clone()], floor: false };
        let (a, b) = (terms(&old), terms(&new));
        let both = TermsInForce { terms: vec![a.clone(), b.clone()], floor: false };
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
            "seed {seed}: soft terms are those of the newer version"
        );
        // The accord's joint terms are never stricter than these: a version that sets no value does not constrain them,
        // while here the file's value applies to that version.
        let merged = alone(&terms(&joint_terms(&old, &new))).settings(&base);
        for (made, merged) in made.classes.iter().zip(&merged.classes) {
            assert!(made.attempts <= merged.attempts, "seed {seed}");
        }
    }
}

#[test]
fn on_the_floor_the_files_own_terms_apply_as_well() {
    let terms = read(&[
        ("class/send-mail/effect", text_value("safe")),
        ("class/check-score/attempts", Value::Int(16)),
        ("class/save-answers/attempts", Value::Int(1)),
    ]);
    let floor = TermsInForce { terms: vec![Arc::new(terms.expect("terms"))], floor: true };
    let (made, base) = (floor.settings(&base()), base());
    let attempts = |class: usize| made.classes[class].attempts.expect("a number");
    assert_eq!((attempts(0), attempts(1)), (base.settings.max_attempts, 1));
    assert_eq!(made.classes[2].effect, Effect::Unsafe);
}

#[rstest]
#[case::class("class/none/aim_ms", Value::Int(5), "the file of this activator has no class none")]
#[case::tenant("tenant/none/quota_milli", Value::Int(5), "has no tenant none")]
#[case::aim("class/check-score/aim_ms", Value::Int(86_000_000), "class/check-score/give_up_ms")]
#[case::keyed("class/check-score/effect", text_value("keyed"), "keyed needs scope and window_ms")]
fn a_document_unfit_for_the_file_is_refused(#[case] key: &str, #[case] value: Value, #[case] wanted: &str) {
    let problem = read(&[(key, value)]).expect_err("a problem");
    assert!(problem.contains(wanted), "{problem}");
}

#[test]
fn reading_stops_early_when_canceled() {
    let entries: Vec<String> = (0..10 * CANCEL_CHECK_KEYS).map(|i| format!("list/l/e{i}")).collect();
    let entries: Vec<(&str, Value)> = entries.iter().map(|e| (e.as_str(), Value::Flag(true))).collect();
    let checks = std::cell::Cell::new(0);
    let is_canceled = || checks.replace(checks.get() + 1) == 3;
    assert!(Terms::read(&document(&entries), &base(), is_canceled).is_err());
    assert_eq!(checks.get(), 4, "cancellation is checked every {CANCEL_CHECK_KEYS} keys");
}
