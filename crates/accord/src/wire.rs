//! Datagrams: `postcard` after a byte of version. Bytes of anybody decode to a message or to none.

use serde::{Deserialize, Serialize};

use crate::document::Digest;
use crate::record::{Position, ProposalId, Record, Version};
use crate::voter::{Accept, Ballot, LeaseRequest, Promise, PromiseRequest, VoterStatus};

/// Most bytes of a datagram of this crate.
pub const MAX_DATAGRAM_BYTES: usize = 1_190;
/// Bytes of a document in one [`Message::Chunk`], which adds at most 85 of its own.
pub(crate) const CHUNK_BYTES: usize = 1_080;
/// Second: records carry lists of voters. One of the first hears nothing, has no lease and keeps to its floor.
const VERSION: u8 = 2;

/// What members say to each other.
#[allow(clippy::large_enum_variant)] // none is kept: each is read or written and gone
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Message {
    /// A holder to a voter.
    LeaseRequest(LeaseRequest),
    /// A voter to a holder.
    LeaseReply {
        /// Echoed.
        incarnation: u64,
        /// Echoed.
        at: u64,
        /// Echoed.
        position: Position,
        /// Whether the lease is granted.
        granted: bool,
        /// What is chosen, if the holder did not know.
        known: Option<Record>,
        /// The holder knows more than the voter: it is to tell.
        tell: bool,
    },
    /// Chosen by a majority.
    Chosen(Record),
    /// A round's first step.
    PromiseRequest(PromiseRequest),
    /// Its answer.
    Promise(Promise),
    /// Its second step.
    Accept(Accept),
    /// Its answer.
    Accepted {
        /// The place.
        position: Position,
        /// The round.
        ballot: Ballot,
        /// The life that accepted.
        incarnation: u64,
    },
    /// A voter to a voter.
    VoterState {
        /// Of the sender.
        incarnation: u64,
        /// The life of the addressee, as the sender knows it.
        recipient_incarnation: u64,
        /// Of the sender.
        status: VoterStatus,
        /// What it knows.
        known: Record,
        /// What it promised.
        promised: Ballot,
        /// What it accepted.
        accepted: Option<(Ballot, Record)>,
    },
    /// A proposer to a voter, again until it is settled.
    Propose {
        /// Whose.
        id: ProposalId,
        /// Based on this version.
        base: Version,
        /// The new one; its document is fetched from the proposer.
        new: Version,
    },
    /// An operator gives up the version that is prepared under this record.
    Withdraw(Position),
    /// Parts of a document, please.
    ChunkRequest {
        /// Whose.
        digest: Digest,
        /// As a delta against this one, which the asker holds.
        base: Option<Digest>,
        /// Number of the first chunk.
        first: u32,
        /// Which of the 32 from there.
        mask: u32,
    },
    /// A part of a document.
    Chunk {
        /// Whose.
        digest: Digest,
        /// Against this.
        base: Option<Digest>,
        /// Bytes of all of it.
        total: u32,
        /// Number of this chunk.
        at: u32,
        /// The bytes.
        bytes: Vec<u8>,
    },
}

/// The bytes of a message.
pub fn encode(message: &Message) -> Vec<u8> {
    match postcard::to_extend(message, vec![VERSION]) {
        Ok(data) => data,
        Err(error) => unreachable!("a message in memory is always written: {error}"),
    }
}

/// The message of these bytes; none if they are no message of this version, whole and with nothing behind it.
pub fn decode(data: &[u8]) -> Option<Message> {
    let (version, rest) = data.split_first()?;
    if *version != VERSION || data.len() > MAX_DATAGRAM_BYTES {
        return None;
    }
    match postcard::take_from_bytes::<Message>(rest) {
        Ok((message, [])) => Some(message),
        _ => None,
    }
}

#[cfg(test)]
mod tests;
