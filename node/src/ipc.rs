//! Frames between the two processes of a rollout, on the connection on which the `hello` was sent. A frame is a length
//! (4 bytes, little-endian, of what follows) and one [`Frame`] in postcard. This module only encodes and decodes.

use serde::{Deserialize, Serialize};
use wheellink::{Micros, Outcome};

use crate::ring::Ring;

pub mod fields;

use fields::Fields;

/// Protocols that this version supports. The number changes when the meaning of a frame changes and when a frame is
/// added, because a process that receives a frame it does not know drops the connection. Both sides use the highest
/// protocol that both support.
pub const PROTOCOLS: &[u32] = &[1, FIELDS_PROTOCOL];
/// From this protocol on calls and answers may carry extra fields.
pub const FIELDS_PROTOCOL: u32 = 2;
/// Longest frame: a host's answer, or the longest body that a front accepts, with its extra fields, which are at most
/// [`fields::MAX_ENCODED_BYTES`].
pub const MAX_FRAME_BYTES: usize = 1 << 20;
/// Bytes of the length before each frame.
const LENGTH_BYTES: usize = 4;
// The longest answer of a host fits in one frame together with its line and its extra fields.
const _: () = assert!(crate::hosts::lines::MAX_ANSWER_BYTES + fields::MAX_ENCODED_BYTES < MAX_FRAME_BYTES);

/// One frame. New variants are appended: postcard encodes the position of a variant.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// A JSON message, as in a plain upgrade.
    Json(String),
    /// Holder: heartbeat, with the phase and percentage of the rollout. Ten to twenty a second.
    HolderAlive { phase: String, percent: f64 },
    /// Candidate: heartbeat, and whether its host list is up to date.
    CandidateAlive { caught_up: bool },
    /// Holder: decide this call.
    Call(PassedCall),
    /// Holder: the client of this call has left.
    Abandoned { seq: u64 },
    /// Candidate: this attempt may run from now on. No byte of the attempt is sent before this frame is.
    Intent { seq: u64, number: u32, host: String, at: Micros },
    /// Candidate: this attempt has ended; the code is the index of its outcome in [`OUTCOMES`].
    AttemptEnded { seq: u64, number: u32, code: u8 },
    /// Candidate: the final answer.
    Answer { seq: u64, reply: Reply, body: Vec<u8> },
    /// Candidate: it cannot decide this call, and has begun no attempt of it.
    Return { seq: u64 },
    /// Candidate: asks whether it may give this load order.
    OrderRequest { order: u64 },
    /// Holder: whether the load order is granted. A granted order counts against the load budget.
    OrderReply { order: u64, granted: bool },
    /// Holder: an attempt is sent to a host that is not warm yet.
    ColdSend { host: String, at: Micros },
    /// Calls (and, from the holder, load orders) that count for the load budget: time, calls, orders.
    Tallies(Vec<(Micros, u32, u32)>),
    /// Classes have changed with a new configuration.
    Classes(Vec<wheellink_rollout::ClassPolicy>),
    /// Holder: take over the clients.
    TakeOver,
    /// Holder: the candidate is to end, for this reason.
    Dismiss { reason: String },
    /// Candidate: it has been told to terminate.
    Leaving,
    /// Holder, from [`FIELDS_PROTOCOL`] on: decide this call, which has these extra fields.
    CallExt(PassedCall, Fields),
    /// Candidate, from [`FIELDS_PROTOCOL`] on: the final answer, with extra fields from the host's answer.
    AnswerExt { seq: u64, reply: Reply, body: Vec<u8>, fields: Fields },
}

/// A call that the holder passes to the candidate.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PassedCall {
    pub seq: u64,
    pub id: String,
    pub class: String,
    pub tenant: Option<String>,
    pub function: String,
    /// When the answer must have reached the holder, in Unix microseconds: both processes run on one machine.
    pub due: Micros,
    pub lanes: u32,
    /// Whether it is a client's retry of a failed request.
    pub repeat: bool,
    /// The idempotency key.
    pub key: Option<String>,
    pub body: Vec<u8>,
}

/// The result of a call.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    Served,
    Refused(Micros),
    Failed,
    TimedOut,
}

/// Outcomes of attempts; the index is the code in frames.
pub const OUTCOMES: [Outcome; 9] = [
    Outcome::Done,
    Outcome::Error,
    Outcome::Full,
    Outcome::TimedOut,
    Outcome::ConnectFailed,
    Outcome::Reset,
    Outcome::Cancelled,
    Outcome::NotSent,
    Outcome::Miss,
];

/// The code of an outcome. Older versions have no code for [`Outcome::NoConnection`], so it is sent as
/// [`Outcome::NotSent`].
pub fn outcome_code(outcome: Outcome) -> u8 {
    let sent = if outcome == Outcome::NoConnection { Outcome::NotSent } else { outcome };
    OUTCOMES.iter().position(|o| *o == sent).unwrap_or(0) as u8
}

/// Encodes a frame with its length; `None` if it is too long.
pub fn encode(frame: &Frame) -> Option<Vec<u8>> {
    let mut bytes = vec![0; LENGTH_BYTES];
    bytes.extend(postcard::to_stdvec(frame).ok()?);
    let length = bytes.len() - LENGTH_BYTES;
    if length > MAX_FRAME_BYTES {
        return None;
    }
    bytes[..LENGTH_BYTES].copy_from_slice(&(length as u32).to_le_bytes());
    Some(bytes)
}

/// Removes the next frame from the buffer; `None` while it is incomplete.
///
/// # Errors
/// The length is zero or beyond the limit, or the bytes are not a valid frame.
pub fn decode_next(ring: &mut Ring) -> Result<Option<Frame>, String> {
    let Some(head) = ring.copy(0, LENGTH_BYTES) else { return Ok(None) };
    let length = u32::from_le_bytes([head[0], head[1], head[2], head[3]]) as usize;
    if length == 0 || length > MAX_FRAME_BYTES {
        return Err(format!("a frame of {length} bytes"));
    }
    let Some(bytes) = ring.copy(LENGTH_BYTES, length) else { return Ok(None) };
    ring.consume(LENGTH_BYTES + length);
    match postcard::take_from_bytes(&bytes) {
        Ok((frame, [])) => Ok(Some(frame)),
        Ok(_) => Err("a frame with trailing bytes".into()),
        Err(e) => Err(format!("an invalid frame: {e}")),
    }
}

#[cfg(test)]
mod tests;
