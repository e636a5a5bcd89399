//! Address prefixes. An IPv4-mapped IPv6 address (RFC 4291, 2.5.5.2) is treated as the IPv4 address.

use std::fmt;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr};
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// The number of bits before the IPv4 address in an IPv4-mapped IPv6 address.
const MAPPED_BITS: u8 = 96;

/// A prefix of IPv4 or IPv6 addresses.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Prefix {
    bits: u128,
    len: u8,
}

/// Why a text cannot be parsed as a prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PrefixError(pub String);

impl fmt::Display for PrefixError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
impl std::error::Error for PrefixError {}

fn bits(address: IpAddr) -> u128 {
    match address {
        IpAddr::V4(a) => u128::from(a.to_ipv6_mapped()),
        IpAddr::V6(a) => u128::from(a),
    }
}

fn mask(len: u8) -> u128 {
    if len == 0 {
        0
    } else {
        u128::MAX << (128 - u32::from(len))
    }
}

impl Prefix {
    /// The prefix that contains only this address.
    pub fn of(address: IpAddr) -> Self {
        Self { bits: bits(address), len: 128 }
    }

    /// The prefix assumed to belong to one client: an IPv4 address, or an IPv6 /64.
    pub fn client(address: IpAddr) -> Self {
        Self::truncate(address, 32, 64)
    }

    /// The neighbourhood of the address: an IPv4 /24, or an IPv6 /48.
    pub fn neighbourhood(address: IpAddr) -> Self {
        Self::truncate(address, 24, 48)
    }

    fn truncate(address: IpAddr, v4_len: u8, v6_len: u8) -> Self {
        let bits = bits(address);
        let len = if is_mapped(bits) { MAPPED_BITS + v4_len } else { v6_len };
        Self { bits: bits & mask(len), len }
    }

    /// Whether the prefix contains the address.
    pub fn contains(&self, address: IpAddr) -> bool {
        bits(address) & mask(self.len) == self.bits
    }
}

fn is_mapped(bits: u128) -> bool {
    bits >> 32 == 0xffff
}

impl FromStr for Prefix {
    type Err = PrefixError;

    fn from_str(text: &str) -> Result<Self, PrefixError> {
        let error = |why: &str| PrefixError(format!("{text:?} {why}"));
        let (address, len) = text.split_once('/').map_or((text, None), |(a, l)| (a, Some(l)));
        let address: IpAddr = address.parse().map_err(|_| error("is not an address or prefix"))?;
        let width = if address.is_ipv4() { 32 } else { 128 };
        let digits = |l: &str| !l.is_empty() && l.len() <= 3 && l.bytes().all(|b| b.is_ascii_digit());
        let len = match len {
            None => width,
            Some(l) if digits(l) => l.parse::<u8>().map_err(|_| error("has a length beyond its address"))?,
            Some(_) => return Err(error("has a length that is not a number")),
        };
        if len > width {
            return Err(error("has a length beyond its address"));
        }
        let len = if address.is_ipv4() { len + MAPPED_BITS } else { len };
        let all = bits(address);
        if all & !mask(len) != 0 {
            let cut = Self { bits: all & mask(len), len };
            return Err(error(&format!("has bits beyond its length; use {cut} or a longer prefix")));
        }
        Ok(Self { bits: all, len })
    }
}

impl fmt::Display for Prefix {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (address, len, width): (IpAddr, u8, u8) = if is_mapped(self.bits) && self.len >= MAPPED_BITS {
            (Ipv4Addr::from(self.bits as u32).into(), self.len - MAPPED_BITS, 32)
        } else {
            (Ipv6Addr::from(self.bits).into(), self.len, 128)
        };
        if len == width {
            write!(f, "{address}")
        } else {
            write!(f, "{address}/{len}")
        }
    }
}

impl fmt::Debug for Prefix {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl TryFrom<String> for Prefix {
    type Error = PrefixError;

    fn try_from(text: String) -> Result<Self, PrefixError> {
        text.parse()
    }
}

impl From<Prefix> for String {
    fn from(prefix: Prefix) -> String {
        prefix.to_string()
    }
}

#[cfg(test)]
mod tests;
