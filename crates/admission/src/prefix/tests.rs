//! Tests of `prefix` that need its private state.

use super::*;
use rstest::rstest;

#[rstest]
#[case("10.1.2.0/24", "10.1.2.77", true)]
#[case("10.1.2.0/24", "10.1.3.77", false)]
#[case("10.1.2.3", "10.1.2.3", true)]
#[case("10.1.2.3", "::ffff:10.1.2.3", true)]
#[case("2001:db8::/32", "2001:db8:7::1", true)]
#[case("0.0.0.0/0", "203.0.113.9", true)]
#[case("0.0.0.0/0", "2001:db8::1", false)]
#[case("::/0", "203.0.113.9", true)]
fn a_prefix_holds_its_addresses(#[case] prefix: &str, #[case] address: &str, #[case] wanted: bool) {
    let parsed: Prefix = prefix.parse().unwrap();
    assert_eq!(parsed.contains(address.parse().unwrap()), wanted);
    assert_eq!(parsed.to_string(), prefix);
}

#[rstest]
#[case("10.1.2.3", "10.1.2.3", "10.1.2.0/24")]
#[case("2001:db8:1:2:3::4", "2001:db8:1:2::/64", "2001:db8:1::/48")]
#[case("::ffff:10.1.2.3", "10.1.2.3", "10.1.2.0/24")]
fn an_address_has_its_neighbourhood(
    #[case] address: &str,
    #[case] per_client: &str,
    #[case] per_neighbourhood: &str,
) {
    let address = address.parse().unwrap();
    assert_eq!(
        (Prefix::client(address).to_string(), Prefix::neighbourhood(address).to_string()),
        (per_client.into(), per_neighbourhood.into())
    );
}

#[rstest]
#[case("", "is no address")]
#[case("10.0.0.0/33", "beyond its address")]
#[case("10.0.0.0/x", "no number")]
#[case("10.0.0.0/-1", "no number")]
#[case("10.0.0.0/999", "beyond its address")]
#[case("10.0.0.1/8", "10.0.0.0/8 is meant")]
#[case("2001:db8::1/64", "2001:db8::/64 is meant")]
fn what_is_no_prefix_is_told_why(#[case] text: &str, #[case] wanted: &str) {
    let problem = text.parse::<Prefix>().unwrap_err().to_string();
    assert!(problem.contains(wanted), "{problem}");
}
