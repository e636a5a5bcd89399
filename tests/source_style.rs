//! Style of the decision module: in each file that deploy/balancer.toml lists under `policy`, lines are short enough,
//! the file begins with a module comment, and a longer file names src/interface.rs near its head. The number of files
//! and of all lines together is not limited.

/// Maximum number of characters in a line.
const MAX_LINE_CHARS: usize = 110;

/// Text and name of each file of the decision module.
fn policy_files() -> Vec<(String, String)> {
    let root = env!("CARGO_MANIFEST_DIR");
    let deploy = std::fs::read_to_string(format!("{root}/deploy/balancer.toml")).unwrap();
    let list = deploy.lines().find_map(|line| line.strip_prefix("policy = [")).expect("a list of files");
    let names = list.trim_end_matches(']').split(',').map(|name| name.trim().trim_matches('"').to_string());
    names.map(|name| (std::fs::read_to_string(format!("{root}/{name}")).unwrap(), name)).collect()
}

#[test]
fn policy_files_have_short_lines_a_module_comment_and_name_the_interface() {
    for (text, name) in policy_files() {
        let lines = text.lines().filter(|line| !line.trim().is_empty()).count();
        for (i, line) in text.lines().enumerate() {
            let short = line.chars().count() <= MAX_LINE_CHARS;
            assert!(short, "{name}: line {} is longer than {MAX_LINE_CHARS} characters: {line}", i + 1);
        }
        assert!(text.starts_with("//! "), "{name} does not begin with a module comment");
        let head: String = text.lines().take(6).collect();
        assert!(head.contains("src/interface.rs") || lines < 100, "{name} does not name src/interface.rs");
    }
}
