//! What other parts say to their like at the other activators, on the socket of the members: four bytes with which
//! no datagram of the members' protocol begins, a byte of kind, and the part's own bytes. Sealed, there is a sum before
//! those, and the members' own datagrams are of a kind as well.

use wheellink_members::Name;

use super::seal;

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
    Parcel(Kind, &'a [u8]),
}

/// Whether no datagram of a member of this name can be taken for a parcel.
pub fn differs(name: Name) -> bool {
    name != TAKEN
}

pub fn open(datagram: &[u8]) -> Opened<'_> {
    let known = |kind: u8| Kind::ALL.into_iter().find(|k| *k as u8 == kind);
    let parcel = |kind: u8, data| known(kind).map_or(Read::Unknown, |kind| Read::Parcel(kind, data));
    if let Some(rest) = datagram.strip_prefix(&SEALED) {
        let parts =
            rest.split_first().and_then(|(kind, rest)| Some((*kind, rest.split_first_chunk::<SUM>()?)));
        return match parts {
            Some((kind, (sum, data))) if seal::sum(kind, data) == *sum => Opened::Sealed(match kind {
                OWN if data.is_empty() => Read::Word,
                ANSWER if data.is_empty() => Read::Answer,
                OWN => Read::Own(data),
                _ if data.len() > LONGEST => Read::Unknown,
                kind => parcel(kind, data),
            }),
            _ => Opened::Spoilt,
        };
    }
    let Some(rest) = datagram.strip_prefix(&MARK) else { return Opened::Plain(Read::Own(datagram)) };
    Opened::Plain(match rest.split_first() {
        Some((kind, data)) if data.len() <= LONGEST => parcel(*kind, data),
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
        (true, _) => [&SEALED, &[number][..], &seal::sum(number, data), data].concat(),
        (false, None) => data.to_vec(),
        (false, Some(_)) => [&MARK, &[number][..], data].concat(),
    })
}

/// Says that its sender reads what is sealed, and asks for an answer.
pub fn word() -> Vec<u8> {
    [&SEALED, &[OWN][..], &seal::sum(OWN, &[])].concat()
}

/// The answer to a word. It asks for none.
pub fn answer() -> Vec<u8> {
    [&SEALED, &[ANSWER][..], &seal::sum(ANSWER, &[])].concat()
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
                let datagram = write(Some(kind), data, false).expect("short enough");
                assert!(datagram.len() <= DATAGRAM);
                assert_eq!(open(&datagram), Opened::Plain(Read::Parcel(kind, data)));
                let sealed = write(Some(kind), data, true).expect("short enough");
                assert_eq!(sealed.len(), datagram.len() + SUM);
                assert_eq!(open(&sealed), Opened::Sealed(Read::Parcel(kind, data)));
            }
            assert_eq!(write(Some(kind), &[7; LONGEST + 1], false), None);
            assert_eq!(write(Some(kind), &[7; LONGEST + 1], true), None);
        }
        for data in [&b"x"[..], &[7; 1_400]] {
            assert_eq!(open(&write(None, data, true).expect("any")), Opened::Sealed(Read::Own(data)));
            assert_eq!(write(None, data, false).expect("any"), data);
        }
        assert_eq!(open(&word()), Opened::Sealed(Read::Word));
        assert_eq!(open(&answer()), Opened::Sealed(Read::Answer));
    }

    #[test]
    fn what_is_sealed_and_then_spoilt_is_never_read() {
        let whole = write(Some(Kind::Accord), b"a record that was chosen", true).expect("short enough");
        for bit in SEALED.len() * 8..whole.len() * 8 {
            let mut spoilt = whole.clone();
            spoilt[bit / 8] ^= 1 << (bit % 8);
            assert_eq!(open(&spoilt), Opened::Spoilt, "bit {bit}");
        }
        for n in SEALED.len()..whole.len() {
            assert_eq!(open(&whole[..n]), Opened::Spoilt, "{n} bytes");
        }
        assert_eq!(open(&[&whole[..], b"x"].concat()), Opened::Spoilt);
        // A bit of the mark: nothing that the members' protocol could read, nor of any part.
        for bit in 0..SEALED.len() * 8 {
            let mut spoilt = whole.clone();
            spoilt[bit / 8] ^= 1 << (bit % 8);
            assert_eq!(open(&spoilt), Opened::Plain(Read::Own(&spoilt)), "bit {bit}");
        }
    }

    #[test]
    fn an_unknown_kind_and_one_too_long_are_told_from_what_is_no_parcel() {
        for kind in [0, 4, 255] {
            assert_eq!(open(&[&MARK[..], &[kind], b"x"].concat()), Opened::Plain(Read::Unknown));
        }
        assert_eq!(open(&MARK), Opened::Plain(Read::Unknown), "no kind at all");
        assert_eq!(open(&[&MARK[..], &[1], &[7; LONGEST + 1]].concat()), Opened::Plain(Read::Unknown));
        for n in 0..MARK.len() {
            assert_eq!(open(&MARK[..n]), Opened::Plain(Read::Own(&MARK[..n])));
        }
        let long = [7; LONGEST + 1];
        let sealed = [&SEALED[..], &[1], &seal::sum(1, &long), &long].concat();
        assert_eq!(open(&sealed), Opened::Sealed(Read::Unknown));
        let other = [&SEALED[..], &[9], &seal::sum(9, b"x"), b"x"].concat();
        assert_eq!(open(&other), Opened::Sealed(Read::Unknown));
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
                assert_eq!(
                    open(&datagram),
                    Opened::Plain(Read::Own(&datagram)),
                    "seed 33, name {name}, start {start}"
                );
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
