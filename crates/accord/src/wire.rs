//! Encoding of datagrams: one byte of version, then the message in `postcard`. Any bytes from the network
//! decode to a message or to `None`.

use serde::{Deserialize, Serialize};

use crate::document::Digest;
use crate::record::{Position, ProposalId, Record, Version};
use crate::voter::{Accept, Ballot, LeaseRequest, Promise, PromiseRequest, VoterStatus};

/// Maximum size of a datagram of this crate.
pub const MAX_DATAGRAM_BYTES: usize = 1_190;
/// Bytes of document data in one [`Message::Chunk`]; the other fields add at most 85 bytes.
pub(crate) const CHUNK_BYTES: usize = 1_080;
/// Version 2 added the lists of voters to records. A member that speaks version 1 drops all messages, so it
/// gets no lease and stays on its floor.
const WIRE_VERSION: u8 = 2;

/// The messages between members.
#[allow(clippy::large_enum_variant)] // messages are encoded or handled at once and never stored in bulk
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Message {
    /// Holder to voter: asks for a lease.
    LeaseRequest(LeaseRequest),
    /// Voter to holder: the answer to a lease request.
    LeaseReply {
        /// Echoed from the request.
        incarnation: u64,
        /// Echoed from the request.
        sent_at_us: u64,
        /// Echoed from the request.
        position: Position,
        /// Whether the lease is granted.
        granted: bool,
        /// The newest chosen record, if the holder did not know it.
        known: Option<Record>,
        /// Whether the holder knows a newer record than the voter and is to send it.
        wants_record: bool,
    },
    /// A record that a majority chose.
    Chosen(Record),
    /// First phase of a round.
    PromiseRequest(PromiseRequest),
    /// Answer to the first phase.
    Promise(Promise),
    /// Second phase of a round.
    Accept(Accept),
    /// Answer to the second phase.
    Accepted {
        /// The position.
        position: Position,
        /// The ballot of the round.
        ballot: Ballot,
        /// The incarnation that accepted.
        incarnation: u64,
    },
    /// Voter to voter: the sender's state.
    VoterState {
        /// Incarnation of the sender.
        incarnation: u64,
        /// Incarnation of the recipient, as the sender knows it.
        recipient: u64,
        /// Whether the sender takes part in votes.
        status: VoterStatus,
        /// The newest record that the sender knows to be chosen.
        known: Record,
        /// The highest ballot that the sender promised for the next position.
        promised: Ballot,
        /// What the sender accepted at the next position.
        accepted: Option<(Ballot, Record)>,
    },
    /// Proposer to voter: a change. It is repeated until its result is known.
    Propose {
        /// The proposal.
        id: ProposalId,
        /// The version that the change is based on.
        base: Version,
        /// The new version, whose document the voter fetches from the proposer.
        new: Version,
    },
    /// An operator gives up the version that is being prepared by the record at this position.
    Withdraw(Position),
    /// Asks for chunks of a document.
    ChunkRequest {
        /// The document.
        digest: Digest,
        /// The base of the requested delta, which the sender of the request holds.
        base: Option<Digest>,
        /// Index of the first chunk.
        first: u32,
        /// Bit mask of the requested chunks among the 32 that start there.
        mask: u32,
    },
    /// A chunk of a document.
    Chunk {
        /// The document.
        digest: Digest,
        /// The base of the delta; `None` if the data is the whole document.
        base: Option<Digest>,
        /// Size of the whole stream in bytes.
        total_bytes: u32,
        /// Index of this chunk.
        index: u32,
        /// The data.
        bytes: Vec<u8>,
    },
}

/// Encodes a message.
pub fn encode(message: &Message) -> Vec<u8> {
    match postcard::to_extend(message, vec![WIRE_VERSION]) {
        Ok(data) => data,
        Err(error) => unreachable!("encoding a message to memory cannot fail: {error}"),
    }
}

/// Decodes a message. `None` unless the data is exactly one complete message of this version.
pub fn decode(data: &[u8]) -> Option<Message> {
    let (version, rest) = data.split_first()?;
    if *version != WIRE_VERSION || data.len() > MAX_DATAGRAM_BYTES {
        return None;
    }
    match postcard::take_from_bytes::<Message>(rest) {
        Ok((message, [])) => Some(message),
        _ => None,
    }
}

#[cfg(test)]
mod tests;
