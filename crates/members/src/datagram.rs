//! Parses what this crate has to know of a datagram before `foca` handles it.

use foca::{Header, Message};

use crate::{MemberId, MemberInstance};

/// A well-formed datagram, without the updates about unknown members.
pub(crate) struct Datagram {
    pub(crate) from: MemberId,
    /// It answers a message of this member, so datagrams pass in both directions.
    pub(crate) is_answer: bool,
    pub(crate) data: Vec<u8>,
}

/// Parses a datagram and removes the updates about unknown members: rosters may differ for a while, and a table that
/// accepts every id that a peer sends is unbounded. Returns `None` for a malformed datagram.
pub(crate) fn parse(data: &[u8], is_known: impl Fn(MemberId) -> bool) -> Option<Datagram> {
    let (header, mut rest) = postcard::take_from_bytes::<Header<MemberInstance>>(data).ok()?;
    let is_answer = matches!(
        header.message,
        Message::Ack(_) | Message::ForwardedAck { .. } | Message::IndirectAck { .. } | Message::Feed
    );
    let mut kept = data[..data.len() - rest.len()].to_vec();
    if !rest.is_empty() {
        let (count, updates) = rest.split_first_chunk::<2>()?;
        rest = updates;
        let count_offset = kept.len();
        kept.extend([0, 0]);
        let mut kept_count = 0u16;
        for _ in 0..u16::from_be_bytes(*count) {
            let (member, after) = postcard::take_from_bytes::<foca::Member<MemberInstance>>(rest).ok()?;
            if is_known(member.id().id) {
                kept.extend_from_slice(&rest[..rest.len() - after.len()]);
                kept_count += 1;
            }
            rest = after;
        }
        kept[count_offset..count_offset + 2].copy_from_slice(&kept_count.to_be_bytes());
    }
    // Nothing follows the updates, because no custom broadcasts are used.
    rest.is_empty().then_some(Datagram { from: header.src.id, is_answer, data: kept })
}

#[cfg(test)]
mod tests;
