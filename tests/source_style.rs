//! The size of the decision module: each file that the deploy file names under `policy` stays one that can be read at one
//! go. How many files there are is free; the operators have withdrawn their bound on all lines together.

const LONGEST_LINE: usize = 110;

fn policy_files() -> Vec<(String, String)> {
    let root = env!("CARGO_MANIFEST_DIR");
    let deploy = std::fs::read_to_string(format!("{root}/deploy/balancer.toml")).unwrap();
    let list = deploy.lines().find_map(|line| line.strip_prefix("policy = [")).expect("a list of files");
    let names = list.trim_end_matches(']').split(',').map(|name| name.trim().trim_matches('"').to_string());
    names.map(|name| (std::fs::read_to_string(format!("{root}/{name}")).unwrap(), name)).collect()
}

#[test]
fn the_module_is_made_of_files_that_can_be_read() {
    for (text, name) in policy_files() {
        let lines = text.lines().filter(|line| !line.trim().is_empty()).count();
        for (i, line) in text.lines().enumerate() {
            let short = line.chars().count() <= LONGEST_LINE;
            assert!(short, "{name}: line {} is longer than {LONGEST_LINE} characters: {line}", i + 1);
        }
        assert!(text.starts_with("//! "), "{name} does not say what it decides");
        let head: String = text.lines().take(6).collect();
        assert!(head.contains("src/interface.rs") || lines < 100, "{name} does not name the interface");
    }
}
