use super::*;

fn pairs(list: &[(&str, &str)]) -> Vec<(String, String)> {
    list.iter().map(|(key, value)| (key.to_string(), value.to_string())).collect()
}

fn zones() -> Vec<String> {
    vec!["east".into(), "west".into()]
}

#[test]
fn attributes_are_read() {
    let record = pairs(&[("cell", "7"), ("zone", "west"), ("size", "2.5"), ("started", "9"), ("cell", "8")]);
    let expected =
        Attributes { zone: Some(1), cell: Some(7), size: 2.5, started: Some(9_000), draining: false };
    assert_eq!(parse(&record, &zones()), (expected, vec![]));
}

#[test]
fn absent_attributes_are_not_reported() {
    let expected = Attributes { zone: None, cell: None, size: 1.0, started: None, draining: true };
    assert_eq!(parse(&pairs(&[("state", "draining")]), &zones()), (expected, vec![]));
    assert_eq!(parse(&pairs(&[("zone", "west")]), &[]).1, [], "no zones are configured");
}

/// The review found that a cell which is no number became a cell that all such hosts shared, without a word.
#[test]
fn malformed_attributes_are_ignored_and_reported() {
    let record = pairs(&[("cell", "north"), ("zone", "north"), ("size", "-1"), ("started", "today")]);
    let (attributes, malformed) = parse(&record, &zones());
    let nothing = Attributes { zone: None, cell: None, size: 1.0, started: None, draining: false };
    assert_eq!((attributes, malformed.len()), (nothing, 4));
    assert_eq!(malformed[1].to_string(), "cell=\"north\" is ignored: a whole number is wanted");
}
