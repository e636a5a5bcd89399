//! Datagrams: some rows of one life, and what its clock reads. Encoded with `postcard`; read whole or not at all.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::store::{Key, Sums};
use crate::types::{Draft, MemberId, Rejection, Workload, LOAD_BANDS, MAX_DRAFT_TOKENS};

/// The longest datagram, in bytes: what the carrier takes, less its own.
pub const MAX_DATAGRAM_BYTES: usize = 1_190;
/// The first byte. Another version of the format has another.
const FORMAT: u8 = 1;
/// Rows that a datagram may say it has: none that fits has more.
const MOST_ROWS: u16 = 256;

/// Whose rows they are.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Whose {
    /// Somebody else, where it is hearsay.
    pub about: Option<MemberId>,
    pub life: u64,
    /// Milliseconds.
    pub clock: u64,
}

#[derive(Serialize, Deserialize)]
struct Head {
    whose: Whose,
    words: Vec<Workload>,
    rows: u16,
}

#[derive(Serialize, Deserialize)]
struct Row {
    word: u8,
    draft: Draft,
    band: u8,
    epoch: u32,
    version: u64,
    calls: u64,
    rounds: u64,
    tokens: u64,
    micros: u64,
    squares: u64,
    accepted: Vec<u64>,
}

/// What a datagram says. Its keys' workloads are numbers of `words`.
#[derive(Debug)]
pub(crate) struct Heard {
    pub whose: Whose,
    pub words: Vec<Workload>,
    pub rows: Vec<(Key, Sums)>,
}

/// Puts rows into one datagram for as long as they fit. Returns it and how many were taken.
pub(crate) fn write<'a>(
    whose: Whose,
    rows: impl Iterator<Item = (&'a Key, &'a Sums)>,
    word: impl Fn(u16) -> Workload,
) -> (Vec<u8>, usize) {
    let mut head = Head { whose, words: Vec::new(), rows: 0 };
    let (mut numbers, mut body): (Vec<u16>, Vec<u8>) = (Vec::new(), Vec::new());
    // The head, the longest that it can be without words.
    let mut length = 1 + 6 + 20 + 2 + 3;
    for (key, sums) in rows {
        let known = numbers.iter().position(|n| *n == key.workload);
        let added = if known.is_none() { word(key.workload).as_str().len() + 1 } else { 0 };
        let place = known.unwrap_or(numbers.len());
        let row = Row {
            word: place as u8,
            draft: key.draft,
            band: key.band,
            epoch: key.epoch,
            version: key.version,
            calls: sums.calls,
            rounds: sums.rounds,
            tokens: sums.tokens,
            micros: sums.micros,
            squares: sums.squares,
            accepted: sums.accepted[..key.draft.length as usize].to_vec(),
        };
        let row = postcard::to_stdvec(&row).unwrap_or_default();
        if length + added + row.len() > MAX_DATAGRAM_BYTES || head.rows >= MOST_ROWS || row.is_empty() {
            break;
        }
        if known.is_none() {
            numbers.push(key.workload);
            head.words.push(word(key.workload));
        }
        length += added + row.len();
        head.rows += 1;
        body.extend(row);
    }
    let mut data = vec![FORMAT];
    data.extend(postcard::to_stdvec(&head).unwrap_or_default());
    data.extend(body);
    (data, head.rows as usize)
}

/// Reads a datagram. One that is cut, too long, of another format or with a key that cannot be is refused whole.
pub(crate) fn read(data: &[u8]) -> Result<Heard, Rejection> {
    let Some((&FORMAT, rest)) = data.split_first().filter(|_| data.len() <= MAX_DATAGRAM_BYTES) else {
        return Err(Rejection::Malformed);
    };
    let (head, mut rest): (Head, _) = postcard::take_from_bytes(rest).map_err(|_| Rejection::Malformed)?;
    if head.rows > MOST_ROWS {
        return Err(Rejection::Malformed);
    }
    let mut rows = Vec::with_capacity(head.rows as usize);
    for _ in 0..head.rows {
        let (row, next): (Row, _) = postcard::take_from_bytes(rest).map_err(|_| Rejection::Malformed)?;
        rest = next;
        let length = row.draft.length as usize;
        if row.word as usize >= head.words.len()
            || row.draft.length > MAX_DRAFT_TOKENS
            || row.band >= LOAD_BANDS
            || row.accepted.len() != length
        {
            return Err(Rejection::Malformed);
        }
        let mut accepted = [0; MAX_DRAFT_TOKENS as usize];
        accepted[..length].copy_from_slice(&row.accepted);
        let key = Key {
            epoch: row.epoch,
            workload: u16::from(row.word),
            draft: row.draft,
            band: row.band,
            version: row.version,
        };
        let Row { calls, rounds, tokens, micros, squares, .. } = row;
        rows.push((key, Sums { calls, rounds, tokens, micros, squares, accepted }));
    }
    if !rest.is_empty() {
        return Err(Rejection::Malformed);
    }
    Ok(Heard { whose: head.whose, words: head.words, rows })
}

impl Whose {
    pub(crate) fn clock(&self) -> Duration {
        Duration::from_millis(self.clock)
    }
}
