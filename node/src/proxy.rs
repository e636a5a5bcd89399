//! The PROXY protocol, version 2: the header in which a proxy names the client whose connection it forwards.
//! Source: "The PROXY protocol", versions 1 and 2, section 2.2. No I/O: bytes in, an address out.

use std::net::{Ipv4Addr, Ipv6Addr, SocketAddr};

use crate::ring::Ring;

const SIGNATURE: [u8; 12] = *b"\r\n\r\n\0\r\nQUIT\n";
const HEADER_BYTES: usize = 16;
/// Maximum length of the address block and the TLVs after it. The specification requires receivers to accept at
/// least 536 bytes.
const MAX_BLOCK_BYTES: usize = 2_048;

/// The content of a PROXY header.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Header {
    /// The proxy forwards the connection of this client.
    Client(SocketAddr),
    /// The connection is the proxy's own (for example a health check), or the address family is not supported.
    NoClient,
}

/// Takes the header off the ring; `None` while it is incomplete.
///
/// # Errors
/// If the bytes are no valid header: a trusted proxy must send one.
pub fn next_header(ring: &mut Ring) -> Result<Option<Header>, &'static str> {
    let seen = ring.copy(0, ring.len().min(HEADER_BYTES)).unwrap_or_default();
    let compared = seen.len().min(SIGNATURE.len());
    if seen[..compared] != SIGNATURE[..compared] {
        return Err("no PROXY protocol version 2 header");
    }
    let Some(header) = ring.copy(0, HEADER_BYTES) else { return Ok(None) };
    if header[12] >> 4 != 2 {
        return Err("an unsupported version of the PROXY protocol");
    }
    let length = usize::from(u16::from_be_bytes([header[14], header[15]]));
    if length > MAX_BLOCK_BYTES {
        return Err("a PROXY header that is too long");
    }
    let Some(block) = ring.copy(HEADER_BYTES, length) else { return Ok(None) };
    let port = |at: usize| u16::from_be_bytes([block[at], block[at + 1]]);
    let decoded = match (header[12] & 15, header[13]) {
        (0, _) => Header::NoClient,
        (1, 0x11) if length >= 12 => {
            let address: [u8; 4] = block[..4].try_into().map_err(|_| "a truncated PROXY header")?;
            Header::Client((Ipv4Addr::from(address), port(8)).into())
        }
        (1, 0x21) if length >= 36 => {
            let address: [u8; 16] = block[..16].try_into().map_err(|_| "a truncated PROXY header")?;
            Header::Client((Ipv6Addr::from(address), port(32)).into())
        }
        (1, 0x11 | 0x21) => return Err("a truncated PROXY header"),
        (1, _) => Header::NoClient,
        _ => return Err("an unknown PROXY command"),
    };
    ring.consume(HEADER_BYTES + length);
    Ok(Some(decoded))
}

#[cfg(test)]
#[path = "proxy/tests.rs"]
mod tests;
