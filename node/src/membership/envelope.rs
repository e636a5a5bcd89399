//! What other parts say to their like at the other activators, on the socket of the members: four bytes with which
//! no datagram of the members' protocol begins, a byte of kind, and the part's own bytes. Checked, there is a sum before
//! those, and the members' own datagrams are of a kind as well.

use wheellink_members::MemberId;

use super::checksum;

/// As a number of the members' protocol this would be a name, a start 76 ms after 1970, and one renewal.
const PLAIN_PREFIX: [u8; 4] = [0xff, 0x57, 0x4c, 0x01];
/// The same of what is checked.
const CHECKED_PREFIX: [u8; 4] = [0xff, 0x57, 0x4c, 0x02];
/// The members' own datagrams, checked. One with nothing in it says that its sender reads what is checked, and asks for the
/// answer that the other one does.
const KIND_MEMBERS: u8 = 0;
const KIND_PROBE_REPLY: u8 = 255;
/// Bytes of a sum.
const SUM_BYTES: usize = 8;
/// The one name whose datagrams could begin like that: as a number of variable length it is `FF 57`.
const RESERVED_ID: MemberId = MemberId(0x7f | 0x57 << 7);
/// Bytes of one datagram, all in all: no network splits it.
const MAX_DATAGRAM_BYTES: usize = 1_200;
/// Bytes that a part may say at once.
pub const MAX_PAYLOAD_BYTES: usize = MAX_DATAGRAM_BYTES - PLAIN_PREFIX.len() - 1;

/// Whose bytes they are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Kind {
    /// Settings with versions (`crates/accord`).
    Accord = 1,
    /// Accepted drafts (`crates/drafts`).
    Drafts = 2,
    /// Where prefixes are held (`crates/turns`).
    Turns = 3,
}

impl Kind {
    const ALL: [Self; 3] = [Self::Accord, Self::Drafts, Self::Turns];
}

/// Something heard.
#[derive(Debug, PartialEq, Eq)]
pub struct Envelope {
    pub from: MemberId,
    pub kind: Kind,
    pub data: Vec<u8>,
}

/// A datagram.
#[derive(Debug, PartialEq, Eq)]
pub enum Decoded<'a> {
    /// Its sum is right.
    Checked(Content<'a>),
    /// It has none.
    Plain(Content<'a>),
    /// Its sum is wrong.
    Corrupt,
}

/// What a datagram is.
#[derive(Debug, PartialEq, Eq)]
pub enum Content<'a> {
    /// One of the members' protocol, or nothing that makes sense.
    Members(&'a [u8]),
    /// Its sender reads what is checked, and asks whether this one does.
    Probe,
    /// Its sender does, too.
    ProbeReply,
    /// For a part that this program does not have, or longer than any may be.
    Unknown,
    Envelope(Kind, &'a [u8]),
}

/// Whether no datagram of a member of this name can be taken for a envelope.
pub fn is_distinguishable(name: MemberId) -> bool {
    name != RESERVED_ID
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

/// A datagram of a part, or of the members' protocol if of none; none if it is too long.
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

/// Says that its sender reads what is checked, and asks for an answer.
pub fn probe() -> Vec<u8> {
    [&CHECKED_PREFIX, &[KIND_MEMBERS][..], &checksum::sum(KIND_MEMBERS, &[])].concat()
}

/// The answer to a word. It asks for none.
pub fn probe_reply() -> Vec<u8> {
    [&CHECKED_PREFIX, &[KIND_PROBE_REPLY][..], &checksum::sum(KIND_PROBE_REPLY, &[])].concat()
}

#[cfg(test)]
mod tests;
