//! Unit tests of `prefix`.

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
fn a_prefix_contains_its_addresses(#[case] prefix: &str, #[case] address: &str, #[case] expected: bool) {
    let parsed: Prefix = prefix.parse().unwrap();
    assert_eq!(parsed.contains(address.parse().unwrap()), expected);
    assert_eq!(parsed.to_string(), prefix);
}

#[rstest]
#[case("10.1.2.3", "10.1.2.3", "10.1.2.0/24")]
#[case("2001:db8:1:2:3::4", "2001:db8:1:2::/64", "2001:db8:1::/48")]
#[case("::ffff:10.1.2.3", "10.1.2.3", "10.1.2.0/24")]
fn an_address_has_a_client_and_a_neighbourhood_prefix(
    #[case] address: &str,
    #[case] client: &str,
    #[case] neighbourhood: &str,
) {
    let address = address.parse().unwrap();
    assert_eq!(
        (Prefix::client(address).to_string(), Prefix::neighbourhood(address).to_string()),
        (client.into(), neighbourhood.into())
    );
}

#[rstest]
#[case("", "is not an address")]
#[case("10.0.0.0/33", "beyond its address")]
#[case("10.0.0.0/x", "not a number")]
#[case("10.0.0.0/-1", "not a number")]
#[case("10.0.0.0/999", "beyond its address")]
#[case("10.0.0.1/8", "use 10.0.0.0/8")]
#[case("2001:db8::1/64", "use 2001:db8::/64")]
fn an_invalid_prefix_is_refused_with_the_reason(#[case] text: &str, #[case] expected: &str) {
    let error = text.parse::<Prefix>().unwrap_err().to_string();
    assert!(error.contains(expected), "{error}");
}
