//! The PROXY protocol, version 2: a proxy's word, before anything else, on whose connection it passes on.
//! Source: "The PROXY protocol", versions 1 and 2, section 2.2. Pure: bytes in, an address out.

use std::net::{Ipv4Addr, Ipv6Addr, SocketAddr};

use crate::ring::Ring;

const SIGNATURE: [u8; 12] = *b"\r\n\r\n\0\r\nQUIT\n";
const HEAD: usize = 16;
/// Longest address block with what may follow it (TLVs): the specification has receivers take 536 bytes at least.
const LONGEST: usize = 2_048;

/// What a proxy says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Word {
    /// The connection is this client's.
    Client(SocketAddr),
    /// The connection is the proxy's own (a health check, say), or its client's address has no meaning here.
    Own,
}

/// Takes the word off the ring; `None` while it is not whole.
///
/// # Errors
/// What comes is no such word: whoever may speak for others must do so.
pub fn next(ring: &mut Ring) -> Result<Option<Word>, &'static str> {
    let seen = ring.copy(0, ring.len().min(HEAD)).unwrap_or_default();
    let compared = seen.len().min(SIGNATURE.len());
    if seen[..compared] != SIGNATURE[..compared] {
        return Err("no PROXY protocol, version 2, from a trusted proxy");
    }
    let Some(head) = ring.copy(0, HEAD) else { return Ok(None) };
    if head[12] >> 4 != 2 {
        return Err("another version of the PROXY protocol");
    }
    let length = usize::from(u16::from_be_bytes([head[14], head[15]]));
    if length > LONGEST {
        return Err("a PROXY header that is too long");
    }
    let Some(block) = ring.copy(HEAD, length) else { return Ok(None) };
    let port = |at: usize| u16::from_be_bytes([block[at], block[at + 1]]);
    let word = match (head[12] & 15, head[13]) {
        (0, _) => Word::Own,
        (1, 0x11) if length >= 12 => {
            let address: [u8; 4] = block[..4].try_into().map_err(|_| "a PROXY header cut short")?;
            Word::Client((Ipv4Addr::from(address), port(8)).into())
        }
        (1, 0x21) if length >= 36 => {
            let address: [u8; 16] = block[..16].try_into().map_err(|_| "a PROXY header cut short")?;
            Word::Client((Ipv6Addr::from(address), port(32)).into())
        }
        (1, 0x11 | 0x21) => return Err("a PROXY header cut short"),
        (1, _) => Word::Own,
        _ => return Err("a PROXY command that is not known"),
    };
    ring.consume(HEAD + length);
    Ok(Some(word))
}

#[cfg(test)]
mod tests {
    use super::*;
    use rstest::rstest;

    fn header(command: u8, family: u8, block: &[u8]) -> Vec<u8> {
        let length = (block.len() as u16).to_be_bytes();
        [&SIGNATURE[..], &[0x20 | command, family], &length, block].concat()
    }

    const FOUR: [u8; 12] = [192, 0, 2, 7, 127, 0, 0, 1, 0x9c, 0x40, 0x1f, 0x90];

    #[rstest]
    #[case::v4(header(1, 0x11, &FOUR), Word::Client("192.0.2.7:40000".parse().unwrap()))]
    #[case::with_tlvs(header(1, 0x11, &[&FOUR[..], &[3, 0, 1, 9]].concat()), Word::Client("192.0.2.7:40000".parse().unwrap()))]
    #[case::own(header(0, 0, &[]), Word::Own)]
    #[case::unix(header(1, 0x31, &[0; 216]), Word::Own)]
    fn a_word_is_taken_in_pieces(#[case] bytes: Vec<u8>, #[case] wanted: Word) {
        let mut ring = Ring::new(4096);
        for byte in &bytes {
            assert_eq!(next(&mut ring), Ok(None));
            ring.push(&[*byte]);
        }
        ring.push(b"rest");
        assert_eq!(next(&mut ring), Ok(Some(wanted)));
        assert_eq!(ring.copy(0, ring.len()).unwrap(), b"rest");
    }

    #[test]
    fn an_ipv6_client_is_named() {
        let mut block = [0; 36];
        block[..16].copy_from_slice(&"2001:db8::7".parse::<Ipv6Addr>().unwrap().octets());
        block[32..34].copy_from_slice(&443u16.to_be_bytes());
        let mut ring = Ring::new(4096);
        ring.push(&header(1, 0x21, &block));
        assert_eq!(next(&mut ring), Ok(Some(Word::Client("[2001:db8::7]:443".parse().unwrap()))));
    }

    #[rstest]
    #[case::http(b"GET / HTTP/1.1\r\n".to_vec())]
    #[case::version_1(b"PROXY TCP4 1.2.3.4 5.6.7.8 1 2\r\n".to_vec())]
    #[case::version_3([&SIGNATURE[..], &[0x31, 0x11, 0, 12], &FOUR].concat())]
    #[case::short(header(1, 0x11, &FOUR[..8]))]
    #[case::command(header(7, 0x11, &FOUR))]
    #[case::long([&SIGNATURE[..], &[0x21, 0x11, 0xff, 0xff]].concat())]
    fn what_is_no_word_is_an_error(#[case] bytes: Vec<u8>) {
        let mut ring = Ring::new(4096);
        ring.push(&bytes);
        assert!(next(&mut ring).is_err());
    }
}
