//! Tests of `proxy` that need its private state.

use super::*;
use rstest::rstest;

fn header(command: u8, family: u8, block: &[u8]) -> Vec<u8> {
    let length = (block.len() as u16).to_be_bytes();
    [&SIGNATURE[..], &[0x20 | command, family], &length, block].concat()
}

const IPV4_BLOCK: [u8; 12] = [192, 0, 2, 7, 127, 0, 0, 1, 0x9c, 0x40, 0x1f, 0x90];

#[rstest]
#[case::v4(header(1, 0x11, &IPV4_BLOCK), Header::Client("192.0.2.7:40000".parse().unwrap()))]
#[case::with_tlvs(header(1, 0x11, &[&IPV4_BLOCK[..], &[3, 0, 1, 9]].concat()), Header::Client("192.0.2.7:40000".parse().unwrap()))]
#[case::local_command(header(0, 0, &[]), Header::NoClient)]
#[case::unix_socket(header(1, 0x31, &[0; 216]), Header::NoClient)]
fn a_header_is_read_byte_by_byte(#[case] bytes: Vec<u8>, #[case] wanted: Header) {
    let mut ring = Ring::new(4096);
    for byte in &bytes {
        assert_eq!(next_header(&mut ring), Ok(None));
        ring.push(&[*byte]);
    }
    ring.push(b"rest");
    assert_eq!(next_header(&mut ring), Ok(Some(wanted)));
    assert_eq!(ring.copy(0, ring.len()).unwrap(), b"rest");
}

#[test]
fn an_ipv6_header_yields_the_client_address() {
    let mut block = [0; 36];
    block[..16].copy_from_slice(&"2001:db8::7".parse::<Ipv6Addr>().unwrap().octets());
    block[32..34].copy_from_slice(&443u16.to_be_bytes());
    let mut ring = Ring::new(4096);
    ring.push(&header(1, 0x21, &block));
    assert_eq!(next_header(&mut ring), Ok(Some(Header::Client("[2001:db8::7]:443".parse().unwrap()))));
}

#[rstest]
#[case::http(b"GET / HTTP/1.1\r\n".to_vec())]
#[case::version_1(b"PROXY TCP4 1.2.3.4 5.6.7.8 1 2\r\n".to_vec())]
#[case::version_3([&SIGNATURE[..], &[0x31, 0x11, 0, 12], &IPV4_BLOCK].concat())]
#[case::truncated(header(1, 0x11, &IPV4_BLOCK[..8]))]
#[case::unknown_command(header(7, 0x11, &IPV4_BLOCK))]
#[case::too_long([&SIGNATURE[..], &[0x21, 0x11, 0xff, 0xff]].concat())]
fn invalid_headers_are_errors(#[case] bytes: Vec<u8>) {
    let mut ring = Ring::new(4096);
    ring.push(&bytes);
    assert!(next_header(&mut ring).is_err());
}
