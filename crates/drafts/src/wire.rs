//! The datagram format: some rows of one incarnation and the reading of its clock, encoded with `postcard`. A malformed datagram is
//! rejected as a whole.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::store::{Key, Sums};
use crate::types::{Draft, MemberId, Refusal, Workload, LOAD_BANDS, MAX_DRAFT_TOKENS};

/// The maximum size of a datagram: the payload limit of the transport less its own overhead.
pub const MAX_DATAGRAM_BYTES: usize = 1_190;
/// The first byte of a datagram; it changes with the format.
const FORMAT_VERSION: u8 = 1;
/// The maximum row count in a header; more rows than this do not fit into a datagram.
const MAX_ROWS: u16 = 256;

/// The member and incarnation that the rows belong to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RowsOwner {
    /// The member, if the rows are relayed; otherwise they belong to the sender.
    pub member: Option<MemberId>,
    pub incarnation: u64,
    /// The incarnation's clock, in milliseconds.
    pub clock_ms: u64,
}

#[derive(Serialize, Deserialize)]
struct Header {
    owner: RowsOwner,
    workloads: Vec<Workload>,
    rows: u16,
}

#[derive(Serialize, Deserialize)]
struct EncodedRow {
    workload: u8,
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

/// A decoded datagram. The workloads in the keys are indices into `workloads`.
#[derive(Debug)]
pub(crate) struct Datagram {
    pub owner: RowsOwner,
    pub workloads: Vec<Workload>,
    pub rows: Vec<(Key, Sums)>,
}

/// Encodes as many rows as fit into one datagram. Returns the datagram and the number of rows in it.
pub(crate) fn write<'a>(
    owner: RowsOwner,
    rows: impl Iterator<Item = (&'a Key, &'a Sums)>,
    workload: impl Fn(u16) -> Workload,
) -> (Vec<u8>, usize) {
    let mut header = Header { owner, workloads: Vec::new(), rows: 0 };
    let (mut numbers, mut body): (Vec<u16>, Vec<u8>) = (Vec::new(), Vec::new());
    // The maximum size of the header without workload names.
    let mut length = 1 + 6 + 20 + 2 + 3;
    for (key, sums) in rows {
        let known = numbers.iter().position(|n| *n == key.workload);
        let name_bytes = if known.is_none() { workload(key.workload).as_str().len() + 1 } else { 0 };
        let index = known.unwrap_or(numbers.len());
        let row = EncodedRow {
            workload: index as u8,
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
        if length + name_bytes + row.len() > MAX_DATAGRAM_BYTES || header.rows >= MAX_ROWS || row.is_empty() {
            break;
        }
        if known.is_none() {
            numbers.push(key.workload);
            header.workloads.push(workload(key.workload));
        }
        length += name_bytes + row.len();
        header.rows += 1;
        body.extend(row);
    }
    let mut data = vec![FORMAT_VERSION];
    data.extend(postcard::to_stdvec(&header).unwrap_or_default());
    data.extend(body);
    (data, header.rows as usize)
}

/// Decodes a datagram. One that is truncated, too long, of another format or with an impossible key is rejected as a whole.
pub(crate) fn read(data: &[u8]) -> Result<Datagram, Refusal> {
    let Some((&FORMAT_VERSION, rest)) = data.split_first().filter(|_| data.len() <= MAX_DATAGRAM_BYTES)
    else {
        return Err(Refusal::Malformed);
    };
    let (header, mut rest): (Header, _) = postcard::take_from_bytes(rest).map_err(|_| Refusal::Malformed)?;
    if header.rows > MAX_ROWS {
        return Err(Refusal::Malformed);
    }
    let mut rows = Vec::with_capacity(header.rows as usize);
    for _ in 0..header.rows {
        let (row, next): (EncodedRow, _) = postcard::take_from_bytes(rest).map_err(|_| Refusal::Malformed)?;
        rest = next;
        let length = row.draft.length as usize;
        if row.workload as usize >= header.workloads.len()
            || row.draft.length > MAX_DRAFT_TOKENS
            || row.band >= LOAD_BANDS
            || row.accepted.len() != length
        {
            return Err(Refusal::Malformed);
        }
        let mut accepted = [0; MAX_DRAFT_TOKENS as usize];
        accepted[..length].copy_from_slice(&row.accepted);
        let key = Key {
            epoch: row.epoch,
            workload: u16::from(row.workload),
            draft: row.draft,
            band: row.band,
            version: row.version,
        };
        let EncodedRow { calls, rounds, tokens, micros, squares, .. } = row;
        rows.push((key, Sums { calls, rounds, tokens, micros, squares, accepted }));
    }
    if !rest.is_empty() {
        return Err(Refusal::Malformed);
    }
    Ok(Datagram { owner: header.owner, workloads: header.workloads, rows })
}

impl RowsOwner {
    pub(crate) fn clock(&self) -> Duration {
        Duration::from_millis(self.clock_ms)
    }
}
