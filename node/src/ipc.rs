//! What the two processes of a rollout say to each other: words in frames on the connection on which the hello
//! was said. Length (4 bytes, little-endian, of what follows), then one [`Word`] in postcard. No decisions.

use serde::{Deserialize, Serialize};
use wheellink::{Micros, Outcome};

use crate::ring::Ring;

pub mod more;

use more::More;

/// Protocols that this version speaks. The number changes where the meaning of a word does, and when one is
/// added: who does not know a word takes the other side for broken. The highest that both speak is spoken.
pub const PROTOCOLS: &[u32] = &[1, WITH_MORE];
/// From this one on calls and answers may carry further fields.
pub const WITH_MORE: u32 = 2;
/// Longest word: an answer of a host, or the longest body that a front takes, and what goes with it, which is
/// [`more::MOST_WIRE`] at the most.
pub const MOST_FRAME: usize = 1 << 20;
/// Bytes of the length before each.
const HEAD: usize = 4;
// The longest answer of a host goes in one frame, with its line and all that is said besides.
const _: () = assert!(crate::hosts::lines::MAX_ANSWER_BYTES + more::MOST_WIRE < MOST_FRAME);

/// One word. New ones go to the end: postcard tells them apart by their place.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Word {
    /// What is said in a plain upgrade too, as its line of JSON.
    Say(String),
    /// Holder: alive, and where the rollout is. Ten to twenty a second.
    Holds { life: String, percent: f64 },
    /// Candidate: alive, and whether its host list is as new as can be told.
    Stands { caught_up: bool },
    /// Holder: decide this call.
    Call(Passed),
    /// Holder: nobody waits for this call any more.
    Left { seq: u64 },
    /// Candidate: this attempt may run from now on. No byte of it has left before this word has.
    Intent { seq: u64, number: u32, host: String, at: Micros },
    /// Candidate: this attempt has ended, by its place in [`ENDS`].
    Ended { seq: u64, number: u32, end: u8 },
    /// Candidate: the final answer.
    Answer { seq: u64, reply: Reply, body: Vec<u8> },
    /// Candidate: it cannot decide this call, and has begun nothing of it.
    Return { seq: u64 },
    /// Candidate: may it give this order to load?
    Ask { order: u64 },
    /// Holder: it may, or may not. A grant counts as an order.
    Grant { order: u64, granted: bool },
    /// Holder: an attempt goes to a host that is not warm yet.
    Sent { host: String, at: Micros },
    /// Calls (and, of the holder, orders) that count for the ration: when, calls, orders.
    Ration(Vec<(Micros, u32, u32)>),
    /// Classes have changed with a new configuration.
    Classes(Vec<wheellink_rollout::ClassPolicy>),
    /// Holder: take the clients.
    TakeOver,
    /// Holder: you are not wanted any more.
    Dismiss { why: String },
    /// Candidate: told to end.
    Leaving,
    /// Holder, from [`WITH_MORE`] on: decide this call, which has these further fields.
    CallWith(Passed, More),
    /// Candidate, from [`WITH_MORE`] on: the final answer, with what the call's host said besides.
    AnswerWith { seq: u64, reply: Reply, body: Vec<u8>, more: More },
}

/// A call as it is passed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Passed {
    pub seq: u64,
    pub id: String,
    pub class: String,
    pub tenant: Option<String>,
    pub function: String,
    /// When its answer must be with the holder, in Unix microseconds: both run on one machine.
    pub due: Micros,
    pub lanes: u32,
    pub repeat: bool,
    pub key: Option<String>,
    pub body: Vec<u8>,
}

/// How a call was answered.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    Served,
    Refused(Micros),
    Failed,
    TimedOut,
}

/// Ends of attempts, by their number on the wire.
pub const ENDS: [Outcome; 9] = [
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

/// The number of an end. Programs of before know no end for want of a connection: it is never sent to them as well.
pub fn number(end: Outcome) -> u8 {
    let end = if end == Outcome::NoConnection { Outcome::NotSent } else { end };
    ENDS.iter().position(|e| *e == end).unwrap_or(0) as u8
}

/// The word as it goes out; `None` for one that is too long.
pub fn frame(word: &Word) -> Option<Vec<u8>> {
    let mut bytes = vec![0; HEAD];
    bytes.extend(postcard::to_stdvec(word).ok()?);
    let length = bytes.len() - HEAD;
    if length > MOST_FRAME {
        return None;
    }
    bytes[..HEAD].copy_from_slice(&(length as u32).to_le_bytes());
    Some(bytes)
}

/// Takes the next word; `None` when none is whole.
///
/// # Errors
/// What came is no word: a length beyond the bound, or bytes that do not make one.
pub fn next(ring: &mut Ring) -> Result<Option<Word>, String> {
    let Some(head) = ring.copy(0, HEAD) else { return Ok(None) };
    let length = u32::from_le_bytes([head[0], head[1], head[2], head[3]]) as usize;
    if length == 0 || length > MOST_FRAME {
        return Err(format!("a frame of {length} bytes"));
    }
    let Some(bytes) = ring.copy(HEAD, length) else { return Ok(None) };
    ring.consume(HEAD + length);
    match postcard::take_from_bytes(&bytes) {
        Ok((word, [])) => Ok(Some(word)),
        Ok(_) => Err("a frame with more than its word".into()),
        Err(e) => Err(format!("a frame that is no word: {e}")),
    }
}

#[cfg(test)]
mod tests;
