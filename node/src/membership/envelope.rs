//! What other parts say to their like at the other activators, on the socket of the members: four bytes with which
//! no datagram of the members' protocol begins, a byte of kind, and the part's own bytes. Sealed, there is a sum before
//! those, and the members' own datagrams are of a kind as well.

use wheellink_members::MemberId;

use super::checksum;

/// As a number of the members' protocol this would be a name, a start 76 ms after 1970, and one renewal.
const MARK: [u8; 4] = [0xff, 0x57, 0x4c, 0x01];
/// The same of what is sealed.
const SEALED: [u8; 4] = [0xff, 0x57, 0x4c, 0x02];
/// The members' own datagrams, sealed. One with nothing in it says that its sender reads what is sealed, and asks for the
/// answer that the other one does.
const OWN: u8 = 0;
const ANSWER: u8 = 255;
/// Bytes of a sum.
const SUM: usize = 8;
/// The one name whose datagrams could begin like that: as a number of variable length it is `FF 57`.
const TAKEN: MemberId = MemberId(0x7f | 0x57 << 7);
/// Bytes of one datagram, all in all: no network splits it.
const DATAGRAM: usize = 1_200;
/// Bytes that a part may say at once.
pub const LONGEST: usize = DATAGRAM - MARK.len() - 1;

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
pub enum Opened<'a> {
    /// Its sum is right.
    Sealed(Read<'a>),
    /// It has none.
    Plain(Read<'a>),
    /// Its sum is wrong.
    Spoilt,
}

/// What a datagram is.
#[derive(Debug, PartialEq, Eq)]
pub enum Read<'a> {
    /// One of the members' protocol, or nothing that makes sense.
    Own(&'a [u8]),
    /// Its sender reads what is sealed, and asks whether this one does.
    Word,
    /// Its sender does, too.
    Answer,
    /// For a part that this program does not have, or longer than any may be.
    Unknown,
    Envelope(Kind, &'a [u8]),
}

/// Whether no datagram of a member of this name can be taken for a envelope.
pub fn differs(name: MemberId) -> bool {
    name != TAKEN
}

pub fn open(datagram: &[u8]) -> Opened<'_> {
    let known = |kind: u8| Kind::ALL.into_iter().find(|k| *k as u8 == kind);
    let envelope = |kind: u8, data| known(kind).map_or(Read::Unknown, |kind| Read::Envelope(kind, data));
    if let Some(rest) = datagram.strip_prefix(&SEALED) {
        let parts =
            rest.split_first().and_then(|(kind, rest)| Some((*kind, rest.split_first_chunk::<SUM>()?)));
        return match parts {
            Some((kind, (sum, data))) if checksum::sum(kind, data) == *sum => Opened::Sealed(match kind {
                OWN if data.is_empty() => Read::Word,
                ANSWER if data.is_empty() => Read::Answer,
                OWN => Read::Own(data),
                _ if data.len() > LONGEST => Read::Unknown,
                kind => envelope(kind, data),
            }),
            _ => Opened::Spoilt,
        };
    }
    let Some(rest) = datagram.strip_prefix(&MARK) else { return Opened::Plain(Read::Own(datagram)) };
    Opened::Plain(match rest.split_first() {
        Some((kind, data)) if data.len() <= LONGEST => envelope(*kind, data),
        _ => Read::Unknown,
    })
}

/// A datagram of a part, or of the members' protocol if of none; none if it is too long.
pub fn write(kind: Option<Kind>, data: &[u8], sealed: bool) -> Option<Vec<u8>> {
    if kind.is_some() && data.len() > LONGEST {
        return None;
    }
    let number = kind.map_or(OWN, |kind| kind as u8);
    Some(match (sealed, kind) {
        (true, _) => [&SEALED, &[number][..], &checksum::sum(number, data), data].concat(),
        (false, None) => data.to_vec(),
        (false, Some(_)) => [&MARK, &[number][..], data].concat(),
    })
}

/// Says that its sender reads what is sealed, and asks for an answer.
pub fn word() -> Vec<u8> {
    [&SEALED, &[OWN][..], &checksum::sum(OWN, &[])].concat()
}

/// The answer to a word. It asks for none.
pub fn answer() -> Vec<u8> {
    [&SEALED, &[ANSWER][..], &checksum::sum(ANSWER, &[])].concat()
}

#[cfg(test)]
mod tests;
