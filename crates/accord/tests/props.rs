//! Properties of documents, changes, the schema and the codec.

use proptest::prelude::*;
use wheellink_accord::parts::{decode, encode};
use wheellink_accord::*;

fn entry() -> impl Strategy<Value = (Key, Value)> {
    let name = "[a-z]{1,3}";
    prop_oneof![
        (name, 1..=16i64).prop_map(|(name, value)| (format!("class/{name}/attempts"), Value::Int(value))),
        (name, prop::sample::select(vec!["safe", "keyed", "unsafe"]))
            .prop_map(|(name, text)| (format!("class/{name}/effect"), Value::Text(text.into()))),
        (name, 0..99i64).prop_map(|(name, value)| (format!("limit/{name}"), Value::Int(value))),
        name.prop_map(|name| (format!("out/{name}"), Value::Flag(true))),
        (name, name, any::<bool>())
            .prop_map(|(list, name, flag)| (format!("list/{list}/{name}"), Value::Flag(flag))),
    ]
    .prop_map(|(path, value)| (Key::new(&path).unwrap(), value))
}

fn document() -> impl Strategy<Value = Document> {
    prop::collection::vec(entry(), 0..40).prop_map(|entries| entries.into_iter().collect())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn a_digest_depends_on_the_entries_alone(a in document(), b in document()) {
        let mut made = a.clone();
        for (key, value) in a.delta(&b) {
            match value {
                Some(value) => made.set(key, value),
                None => drop(made.remove(&key)),
            }
        }
        prop_assert_eq!((made.digest(), made.len(), made.bytes()), (b.digest(), b.len(), b.bytes()));
        prop_assert_eq!(a == b, a.digest() == b.digest());
    }

    #[test]
    fn joint_terms_cover_both_documents(a in document(), b in document()) {
        let both = joint_terms(&a, &b);
        prop_assert_eq!(find_uncovered(&a, &both), None);
        prop_assert_eq!(find_uncovered(&b, &both), None);
        // Soft keys have the newer value.
        for (key, value) in b.iter().filter(|(key, _)| !is_hard(key)) {
            prop_assert_eq!(both.get(key), Some(value));
        }
        prop_assert_eq!(joint_terms(&both, &both).digest(), both.digest());
    }

    #[test]
    fn a_change_is_applied_whole_or_not_at_all(floor in document(), base in document(), newer in document()) {
        let mut base = base;
        for (key, value) in floor.iter().filter_map(|(key, value)| Some((key.floor()?, value))) {
            base.set(key, value.clone());
        }
        let change = Change::between(7, &base, &newer);
        match change.apply(&base) {
            Ok(made) => {
                prop_assert_eq!(made.digest(), newer.digest());
                prop_assert_eq!(find_uncovered(&made, &base.floor()), None);
                prop_assert_eq!(find_uncovered(&made, &made.floor()), None);
            }
            Err(ChangeError::StricterThanFloor(key)) => prop_assert!(is_hard(&key) && newer.get(&key).is_some()),
            Err(ChangeError::NoEffect) => prop_assert_eq!(base, newer),
            Err(other) => prop_assert!(false, "{other}"),
        }
    }

    #[test]
    fn any_bytes_decode_to_none_or_to_a_message_that_encodes_again(mut data in prop::collection::vec(any::<u8>(), 0..1300), kind in 0u8..14) {
        if data.len() > 1 {
            (data[0], data[1]) = (2, kind);
        }
        if let Some(message) = decode(&data) {
            prop_assert_eq!(decode(&encode(&message)), Some(message));
        }
    }

    #[test]
    fn any_datagrams_leave_a_member_without_a_lease(data in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..300), 1..20)) {
        let roster: Vec<MemberId> = (1..=3).map(MemberId).collect();
        let settings = Settings { voters: roster.clone(), roster, ..Settings::default() };
        let now = std::time::Duration::from_secs(1);
        let mut member = Participant::new(settings, MemberId(1), 1, 1, now).unwrap();
        let mut out = Vec::new();
        for (at, mut bytes) in data.into_iter().enumerate() {
            if bytes.len() > 1 {
                (bytes[0], bytes[1]) = (2, at as u8 % 12);
            }
            member.receive(now, MemberId(2 + at as u32 % 2), &bytes, &mut out);
            member.handle_timers(now, &mut out);
        }
        // Invalid datagrams never amount to a lease from a majority.
        prop_assert!(matches!(member.active_terms(now), ActiveTerms::Floor(_)));
    }
}

#[test]
fn keys_and_values_out_of_range_are_refused_by_name() {
    for path in ["one", "", "a//b", "a/b/c/d/e", "a/ b", &format!("a/{}", "x".repeat(65))] {
        assert!(Key::new(path).is_err(), "{path}");
    }
    let refused =
        |path: &str, value: Value| check_entry(&Key::new(path).unwrap(), &value).unwrap_err().to_string();
    assert_eq!(refused("class/a/colour", Value::Int(1)), "class/a/colour: no such key is known");
    assert_eq!(
        refused("class/a/attempts", Value::Int(17)),
        "class/a/attempts: 17 is not a number from 1 to 16"
    );
    assert_eq!(
        refused("out/h", Value::Flag(false)),
        "out/h: false: only true is allowed; to say no, drop the key"
    );
    assert!(refused("draft/w/1", Value::Text("1:9".into())).contains("length of 0 to 8"));
    assert!(refused("draft/w/4", Value::Text("1:1".into())).contains("no such key"));
    assert!(refused("floor/floor/limit/x", Value::Int(1)).contains("no such key"));
    assert!(refused("gone/01", Value::Flag(true)).contains("no such key"));
    assert!(check_entry(&Key::new("floor/class/a/effect").unwrap(), &Value::Text("keyed".into())).is_ok());
}

#[test]
fn a_document_has_limits() {
    let list: Document = (0..MAX_DOCUMENT_ENTRIES)
        .map(|at| (Key::new(&format!("list/l/{at}")).unwrap(), Value::Flag(true)))
        .collect();
    let mut change = Change::default();
    change.set.insert(Key::new("list/m/one").unwrap(), Value::Flag(true));
    assert!(
        matches!(change.apply(&list), Err(ChangeError::TooLarge { entries, .. }) if entries == MAX_DOCUMENT_ENTRIES + 1)
    );
    change.drop.insert(Key::new("list/l/1").unwrap());
    assert!(change.apply(&list).is_ok());
}
