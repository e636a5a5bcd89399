//! Envelopes: messages of other parts on the socket of the membership protocol. An envelope is a prefix of four bytes with
//! which no datagram of the membership protocol begins, a kind (one byte), and the part's message. With another prefix a
//! checksum stands before the message; datagrams of the membership protocol then have a kind as well.

use wheellink_members::MemberId;

use super::checksum;

/// Prefix of an envelope without a checksum. Read by the membership protocol, it would be a member id, a start 76 ms after
/// 1970, and incarnation 1.
const PLAIN_PREFIX: [u8; 4] = [0xff, 0x57, 0x4c, 0x01];
/// Prefix of a datagram with a checksum.
const CHECKED_PREFIX: [u8; 4] = [0xff, 0x57, 0x4c, 0x02];
/// Kind of a datagram of the membership protocol with a checksum. An empty one is a probe: its sender reads checksums, and
/// asks for a probe reply.
const KIND_MEMBERS: u8 = 0;
/// Kind of a probe reply.
const KIND_PROBE_REPLY: u8 = 255;
const SUM_BYTES: usize = 8;
/// The one member id whose datagrams could begin with a prefix: as a varint it is `FF 57`.
const RESERVED_ID: MemberId = MemberId(0x7f | 0x57 << 7);
/// Longest envelope without a checksum; short enough that networks do not fragment the datagram.
const MAX_DATAGRAM_BYTES: usize = 1_200;
/// Longest message of a part.
pub const MAX_PAYLOAD_BYTES: usize = MAX_DATAGRAM_BYTES - PLAIN_PREFIX.len() - 1;

/// The part to which a message belongs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Kind {
    /// Agreed settings (`crates/accord`).
    Accord = 1,
    /// Accepted drafts (`crates/drafts`).
    Drafts = 2,
    /// Prefixes held by sites (`crates/turns`).
    Turns = 3,
}

impl Kind {
    const ALL: [Self; 3] = [Self::Accord, Self::Drafts, Self::Turns];
}

/// A received message.
#[derive(Debug, PartialEq, Eq)]
pub struct Envelope {
    pub from: MemberId,
    pub kind: Kind,
    pub data: Vec<u8>,
}

/// A decoded datagram.
#[derive(Debug, PartialEq, Eq)]
pub enum Decoded<'a> {
    /// With a valid checksum.
    Checked(Content<'a>),
    /// Without a checksum.
    Plain(Content<'a>),
    /// The checksum is wrong or incomplete.
    Corrupt,
}

/// What a datagram contains.
#[derive(Debug, PartialEq, Eq)]
pub enum Content<'a> {
    /// A datagram of the membership protocol, or an invalid one.
    Members(&'a [u8]),
    /// The sender reads checksums, and asks for a probe reply.
    Probe,
    /// The sender reads checksums.
    ProbeReply,
    /// A message of an unknown kind, or one that is too long.
    Unknown,
    Envelope(Kind, &'a [u8]),
}

/// Whether no membership datagram of this member can be mistaken for an envelope.
pub fn is_distinguishable(id: MemberId) -> bool {
    id != RESERVED_ID
}

pub fn decode(datagram: &[u8]) -> Decoded<'_> {
    let known = |kind: u8| Kind::ALL.into_iter().find(|k| *k as u8 == kind);
    let envelope = |kind: u8, data| known(kind).map_or(Content::Unknown, |k| Content::Envelope(k, data));
    if let Some(rest) = datagram.strip_prefix(&CHECKED_PREFIX) {
        let parts =
            rest.split_first().and_then(|(kind, rest)| Some((*kind, rest.split_first_chunk::<SUM_BYTES>()?)));
        return match parts {
            Some((kind, (sum, data))) if checksum::sum(kind, data) == *sum => Decoded::Checked(match kind {
                KIND_MEMBERS if data.is_empty() => Content::Probe,
                KIND_PROBE_REPLY if data.is_empty() => Content::ProbeReply,
                KIND_MEMBERS => Content::Members(data),
                _ if data.len() > MAX_PAYLOAD_BYTES => Content::Unknown,
                kind => envelope(kind, data),
            }),
            _ => Decoded::Corrupt,
        };
    }
    let Some(rest) = datagram.strip_prefix(&PLAIN_PREFIX) else {
        return Decoded::Plain(Content::Members(datagram));
    };
    Decoded::Plain(match rest.split_first() {
        Some((kind, data)) if data.len() <= MAX_PAYLOAD_BYTES => envelope(*kind, data),
        _ => Content::Unknown,
    })
}

/// Encodes a message of a part, or a datagram of the membership protocol if `kind` is `None`. Returns `None` if the message
/// is too long.
pub fn encode(kind: Option<Kind>, data: &[u8], checked: bool) -> Option<Vec<u8>> {
    if kind.is_some() && data.len() > MAX_PAYLOAD_BYTES {
        return None;
    }
    let number = kind.map_or(KIND_MEMBERS, |kind| kind as u8);
    Some(match (checked, kind) {
        (true, _) => [&CHECKED_PREFIX, &[number][..], &checksum::sum(number, data), data].concat(),
        (false, None) => data.to_vec(),
        (false, Some(_)) => [&PLAIN_PREFIX, &[number][..], data].concat(),
    })
}

/// A datagram that announces that its sender reads checksums, and asks for a probe reply.
pub fn probe() -> Vec<u8> {
    [&CHECKED_PREFIX, &[KIND_MEMBERS][..], &checksum::sum(KIND_MEMBERS, &[])].concat()
}

/// The reply to a probe. It is not answered.
pub fn probe_reply() -> Vec<u8> {
    [&CHECKED_PREFIX, &[KIND_PROBE_REPLY][..], &checksum::sum(KIND_PROBE_REPLY, &[])].concat()
}

#[cfg(test)]
mod tests;
