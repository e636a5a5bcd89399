//! The size of the decision module.

#[test]
fn the_module_stays_small() {
    let text = std::fs::read_to_string(concat!(env!("CARGO_MANIFEST_DIR"), "/src/rules.rs")).unwrap();
    let lines = text.lines().filter(|l| !l.trim().is_empty()).count();
    assert!(lines <= 930, "{lines} lines that are not blank, 930 at most");
    for (i, line) in text.lines().enumerate() {
        assert!(line.chars().count() <= 110, "line {} is longer than 110 characters", i + 1);
    }
    let head: String = text.lines().take(3).collect();
    assert!(head.contains("src/interface.rs"), "the first lines name the interface");
}
