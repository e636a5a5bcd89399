//! What a datagram says, as far as it matters before the protocol reads it.

use foca::{Header, Message};

use crate::{MemberId, MemberInstance};

/// A datagram that can be read, with nothing in it of names that are not known.
pub(crate) struct Datagram {
    pub(crate) from: MemberId,
    /// It answers something that this member sent, so both ways are open.
    pub(crate) answers: bool,
    pub(crate) data: Vec<u8>,
}

/// Reads a datagram. News of other names is left out: lists may disagree for a while, and a table that takes up every
/// name that somebody sends has no bound. One that cannot be read whole is none.
pub(crate) fn read(data: &[u8], known: impl Fn(MemberId) -> bool) -> Option<Datagram> {
    let (header, mut rest) = postcard::take_from_bytes::<Header<MemberInstance>>(data).ok()?;
    let answers = matches!(
        header.message,
        Message::Ack(_) | Message::ForwardedAck { .. } | Message::IndirectAck { .. } | Message::Feed
    );
    let mut kept = data[..data.len() - rest.len()].to_vec();
    if !rest.is_empty() {
        let (count, news) = rest.split_first_chunk::<2>()?;
        rest = news;
        let at = kept.len();
        kept.extend([0, 0]);
        let mut left = 0u16;
        for _ in 0..u16::from_be_bytes(*count) {
            let (member, after) = postcard::take_from_bytes::<foca::Member<MemberInstance>>(rest).ok()?;
            if known(member.id().id) {
                kept.extend_from_slice(&rest[..rest.len() - after.len()]);
                left += 1;
            }
            rest = after;
        }
        kept[at..at + 2].copy_from_slice(&left.to_be_bytes());
    }
    // Nothing else is ever sent along.
    rest.is_empty().then_some(Datagram { from: header.src.id, answers, data: kept })
}

#[cfg(test)]
mod tests;
