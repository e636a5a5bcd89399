//! What other parts say to their like at the other activators, on the socket of the members: four bytes with which
//! no datagram of the members' protocol begins, a byte of kind, and the part's own bytes.

use wheellink_members::Name;

/// As a number of the members' protocol this would be a name, a start 76 ms after 1970, and one renewal.
const MARK: [u8; 4] = [0xff, 0x57, 0x4c, 0x01];
/// The one name whose datagrams could begin like that: as a number of variable length it is `FF 57`.
const TAKEN: Name = Name(0x7f | 0x57 << 7);
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
pub struct Parcel {
    pub from: Name,
    pub kind: Kind,
    pub data: Vec<u8>,
}

/// What a datagram is.
#[derive(Debug, PartialEq, Eq)]
pub enum Read<'a> {
    /// One of the members' protocol, or nothing that makes sense.
    Not,
    /// For a part that this program does not have, or longer than any may be.
    Unknown,
    Parcel(Kind, &'a [u8]),
}

/// Whether no datagram of a member of this name can be taken for a parcel.
pub fn differs(name: Name) -> bool {
    name != TAKEN
}

pub fn read(datagram: &[u8]) -> Read<'_> {
    let Some(rest) = datagram.strip_prefix(&MARK) else { return Read::Not };
    let known = |kind: u8| Kind::ALL.into_iter().find(|k| *k as u8 == kind);
    match rest.split_first() {
        Some((kind, data)) if data.len() <= LONGEST => {
            known(*kind).map_or(Read::Unknown, |kind| Read::Parcel(kind, data))
        }
        _ => Read::Unknown,
    }
}

#[allow(dead_code)] // Until the first part is bound.
/// None if it is too long.
pub fn write(kind: Kind, data: &[u8]) -> Option<Vec<u8>> {
    (data.len() <= LONGEST).then(|| [&MARK, &[kind as u8][..], data].concat())
}

#[cfg(test)]
mod tests {
    use std::time::Duration;

    use super::*;
    use wheellink_members::{Life, Members, Out, Settings};

    #[test]
    fn what_is_written_is_read_and_what_is_too_long_is_not_written() {
        for kind in Kind::ALL {
            for data in [&b""[..], b"x", &[7; LONGEST]] {
                let datagram = write(kind, data).expect("short enough");
                assert!(datagram.len() <= DATAGRAM);
                assert_eq!(read(&datagram), Read::Parcel(kind, data));
            }
            assert_eq!(write(kind, &[7; LONGEST + 1]), None);
        }
    }

    #[test]
    fn an_unknown_kind_and_one_too_long_are_told_from_what_is_no_parcel() {
        for kind in [0, 4, 255] {
            assert_eq!(read(&[&MARK[..], &[kind], b"x"].concat()), Read::Unknown);
        }
        assert_eq!(read(&MARK), Read::Unknown, "no kind at all");
        assert_eq!(read(&[&MARK[..], &[1], &[7; LONGEST + 1]].concat()), Read::Unknown);
        for n in 0..MARK.len() {
            assert_eq!(read(&MARK[..n]), Read::Not);
        }
    }

    /// What a member says first, of itself to others: all its datagrams begin with its own name.
    fn words(name: Name, start: u64) -> Vec<Vec<u8>> {
        let others = (1..9).map(|n| Name(name.0.wrapping_add(n)));
        let mut out = Vec::new();
        let settings = Settings { expected: 9, ..Settings::default() };
        let life = Life::new(name, start);
        let mut member = Members::new(settings, life, others, 5, Duration::ZERO).expect("a member");
        while out.len() < 20 {
            let at = member.wake_at().expect("something is due");
            member.wake(at, &mut out);
        }
        member.leave(Duration::from_secs(999), &mut out);
        let said = out.into_iter().filter_map(|o| match o {
            Out::Send { data, .. } => Some(data),
            _ => None,
        });
        said.collect()
    }

    #[test]
    fn no_datagram_of_the_members_protocol_is_taken_for_a_parcel() {
        // Names next to the one that is kept free, with starts that begin like the mark, and any others.
        let near = (TAKEN.0 - 300..TAKEN.0 + 300).flat_map(|name| [75, 76, 77].map(|start| (name, start)));
        let mut rng = fastrand::Rng::with_seed(33);
        let any: Vec<_> = (0..300).map(|_| (rng.u32(..), rng.u64(..))).collect();
        let mut said = 0;
        for (name, start) in near.chain(any).filter(|(name, _)| differs(Name(*name))) {
            for datagram in words(Name(name), start) {
                assert_eq!(read(&datagram), Read::Not, "seed 33, name {name}, start {start}");
                said += 1;
            }
        }
        assert!(said > 1_000);
    }

    #[test]
    fn the_name_that_is_kept_free_is_the_one_that_begins_like_a_parcel() {
        // Else it would be kept free for nothing.
        assert!(words(TAKEN, 76).iter().all(|d| d.starts_with(&MARK[..3])));
        assert!(!differs(TAKEN));
    }
}
