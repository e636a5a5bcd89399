//! Messages between activators: loads per site, and where prefixes were sent recently.

use serde::{Deserialize, Serialize};

/// Largest payload of a datagram: 1,200 bytes less the envelope that names the sender.
pub(crate) const MAX_DATAGRAM_BYTES: usize = 1_194;
/// Largest number of placements in one datagram.
const MAX_PLACEMENTS: usize = 128;
/// Version of the message format; messages of unknown formats are dropped.
const FORMAT: u8 = 2;
/// The previous format, without turn counts: it is read, but no longer sent.
const PREVIOUS_FORMAT: u8 = 1;

/// A site's id, the sender's load there, and the turns that it sent there recently.
pub(crate) type SiteLoad = (u32, f32, u16);

/// A prefix was sent to a site.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PlacementRecord {
    /// The hash as bytes: as a postcard integer it could take ten.
    pub key: [u8; 8],
    pub conversation: u16,
    /// The site's index in the message's list of loads.
    pub site: u8,
    pub depth: u8,
    pub added: u16,
}

/// A message to another activator.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Message {
    format: u8,
    /// Incarnation of the sending process, and the number of the message.
    pub incarnation: u32,
    pub seq: u32,
    /// The loads of every site that the message refers to.
    pub loads: Vec<SiteLoad>,
    pub placed: Vec<PlacementRecord>,
}

/// A message of the previous format.
#[derive(Serialize, Deserialize)]
struct PreviousMessage {
    format: u8,
    incarnation: u32,
    seq: u32,
    loads: Vec<(u32, f32)>,
    placed: Vec<PlacementRecord>,
}

impl Message {
    pub fn new(incarnation: u32, seq: u32, loads: Vec<SiteLoad>) -> Self {
        Self { format: FORMAT, incarnation, seq, loads, placed: Vec::new() }
    }

    /// Encodes the message with as many placements as fit, in order, and returns their number as well.
    pub fn encode(mut self, placed: &[PlacementRecord]) -> (Vec<u8>, usize) {
        self.loads.truncate(64);
        let empty = postcard::to_stdvec(&self).map_or(MAX_DATAGRAM_BYTES, |b| b.len());
        let mut left = MAX_DATAGRAM_BYTES.saturating_sub(empty + 1);
        for p in placed.iter().take(MAX_PLACEMENTS) {
            // Fixed-size fields, and integers of 1 to 3 bytes.
            let size = 8
                + 1
                + 1
                + varint_bytes(p.conversation)
                + varint_bytes(p.added)
                + usize::from(p.depth > 127)
                + usize::from(p.site > 127);
            if size > left {
                break;
            }
            left -= size;
            self.placed.push(*p);
        }
        let taken = self.placed.len();
        (postcard::to_stdvec(&self).unwrap_or_default(), taken)
    }

    /// Decodes a message; `None` if the data is not exactly one message of a known format.
    pub fn decode(data: &[u8]) -> Option<Self> {
        if data.len() > MAX_DATAGRAM_BYTES {
            return None;
        }
        let (message, rest) = match *data.first()? {
            FORMAT => postcard::take_from_bytes::<Self>(data).ok()?,
            PREVIOUS_FORMAT => {
                let (t, rest) = postcard::take_from_bytes::<PreviousMessage>(data).ok()?;
                let loads = t.loads.into_iter().map(|(site, load)| (site, load, 0)).collect();
                (
                    Self {
                        format: t.format,
                        incarnation: t.incarnation,
                        seq: t.seq,
                        loads,
                        placed: t.placed,
                    },
                    rest,
                )
            }
            _ => return None,
        };
        let fits = rest.is_empty() && message.placed.len() <= MAX_PLACEMENTS && message.loads.len() <= 256;
        fits.then_some(message)
    }
}

/// Bytes of the integer in postcard's varint encoding.
fn varint_bytes(n: u16) -> usize {
    match n {
        0..=127 => 1,
        128..=16_383 => 2,
        _ => 3,
    }
}

#[cfg(test)]
mod tests;
