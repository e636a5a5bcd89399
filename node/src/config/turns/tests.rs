//! Tests of `turns` that need its private state.

use super::*;
use rstest::rstest;

#[rstest]
#[case::least("site = 'cell'\nblock_us = 500", None)]
#[case::all("site = 'host'\nblock_us = 1\nlanes = 8\nbound = 1.5\nmemory_mb = 1\nperiod_ms = 50\ntold_bytes = 1200\nanew = 0\nhold = 0\ncross_us = 0", None)]
#[case::no_price("site = 'zone'\nblock_us = 0", Some("price of a block"))]
#[case::no_lanes("site = 'zone'\nblock_us = 9\nlanes = 0", Some("turns.lanes"))]
#[case::no_memory("site = 'zone'\nblock_us = 9\nmemory_mb = 0", Some("turns.memory_mb"))]
#[case::bound("site = 'zone'\nblock_us = 9\nbound = 1.0", Some("bound of load"))]
#[case::period("site = 'zone'\nblock_us = 9\nperiod_ms = 1", Some("period"))]
#[case::told("site = 'zone'\nblock_us = 9\ntold_bytes = 100", Some("bytes told"))]
#[case::anew("site = 'zone'\nblock_us = 9\nanew = 1.5", Some("computing anew"))]
#[case::hold("site = 'zone'\nblock_us = 9\nhold = -1.0", Some("holding a turn"))]
fn a_table_is_accepted_or_refused_with_the_reason(#[case] text: &str, #[case] wrong: Option<&str>) {
    let setup: Setup = toml::from_str(text).unwrap();
    match (setup.check(), wrong) {
        (Ok(()), None) => {}
        (Err(error), Some(wrong)) => assert!(error.contains(wrong) && error.starts_with("turns"), "{error}"),
        (result, wrong) => panic!("{result:?}, not {wrong:?}"),
    }
}

#[rstest]
#[case::unknown_key("site = 'cell'\nblock_us = 1\nblocks = 2")]
#[case::unknown_site("site = 'rack'\nblock_us = 1")]
#[case::no_site("block_us = 1")]
fn invalid_keys_and_values_are_refused(#[case] text: &str) {
    assert!(toml::from_str::<Setup>(text).is_err());
}
