//! What a relay does to datagrams besides losing them: it spoils them, sends old ones again, and makes some up.
//!
//! A relay *is* the address that a member is known by, so what it makes up comes as that member's word. Everything is
//! bounded: so many datagrams kept of each kind, so many made up a second, and none where nothing comes through.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;

/// Datagrams of a kind that a way remembers of a life, the newest.
const KEPT: usize = 128;
/// The most that a way makes up in a second.
pub const MOST_PER_S: f64 = 400.0;
/// What may be owed at most, in seconds of the rate: a relay that could not run does not make up for all of it.
const MOST_OWED: f64 = 0.1;
/// Bytes that a datagram of a part begins with; then comes one that tells whose it is. Any other is the members' own.
const MARK: [u8; 4] = [0xff, 0x57, 0x4c, 0x01];
/// The same where a sum stands between that and the part's own bytes; the members' own are of kind 0 then.
const SEALED: [u8; 4] = [0xff, 0x57, 0x4c, 0x02];
/// Bytes of a sum.
const SUM: usize = 8;
/// The longest that is made, in bytes: what is longer is read by nobody.
const LONGEST: usize = 1_400;

/// Whose words a datagram has.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Of the protocol of members, or nothing that makes sense.
    Members,
    /// Of what is agreed.
    Accord,
    /// Of counts of drafts.
    Drafts,
    /// Of places of turns.
    Turns,
}

impl Kind {
    /// All of them, in the order of their numbers.
    pub const ALL: [Self; 4] = [Self::Members, Self::Accord, Self::Drafts, Self::Turns];

    /// Whose words these are.
    pub fn of(bytes: &[u8]) -> Self {
        let kind =
            bytes.strip_prefix(&MARK).or_else(|| bytes.strip_prefix(&SEALED)).and_then(|rest| rest.first());
        match kind {
            Some(1) => Self::Accord,
            Some(2) => Self::Drafts,
            Some(3) => Self::Turns,
            _ => Self::Members,
        }
    }
}

/// The bytes of a datagram before the sum, if it has one, and before the part's own.
fn heads(bytes: &[u8]) -> (usize, usize) {
    let (kind, sum) = (MARK.len() + 1, MARK.len() + 1 + SUM);
    match Kind::of(bytes) {
        _ if bytes.starts_with(&SEALED) && bytes.len() >= sum => (kind, sum),
        Kind::Members => (0, 0),
        _ => (kind, kind),
    }
}

/// The part's own bytes of a datagram.
pub fn body(bytes: &[u8]) -> &[u8] {
    &bytes[heads(bytes).1..]
}

/// Makes the sum right, where there is one: a liar knows how.
fn seal(bytes: &mut [u8]) {
    let (kind, own) = heads(bytes);
    if own > kind {
        let data = &bytes[own..];
        let sum = SipHasher13::new_with_keys(u64::from(bytes[kind - 1]), data.len() as u64).hash(data);
        bytes[kind..own].copy_from_slice(&sum.to_le_bytes());
    }
}

/// What is made up.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Lie {
    /// What the member said to others comes to this one: all of it true, and none of it meant for it.
    #[default]
    Misdelivered,
    /// What others said, as if this member had.
    Borrowed,
    /// What the member said, with numbers changed so that it can still be read.
    Numbers,
}

/// What a way does to datagrams of some kinds.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Tamper {
    /// Of these kinds only; none named: of all.
    pub kinds: Vec<Kind>,
    /// The share that is spoilt on its way: bits flipped, cut short, made longer, or nothing but noise.
    pub spoil: f64,
    /// So many a second that the member said come again, from an earlier life of either end if there was one.
    pub replay_per_s: f64,
    /// So many a second are made up.
    pub forge_per_s: f64,
    /// How.
    pub forge: Lie,
}

impl Tamper {
    /// Whether datagrams of this kind are meant.
    pub fn means(&self, kind: Kind) -> bool {
        self.kinds.is_empty() || self.kinds.contains(&kind)
    }
}

/// What became of a way's datagrams by tampering.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tampered {
    /// Spoilt.
    pub spoilt: u64,
    /// Sent again.
    pub replayed: u64,
    /// Made up.
    pub forged: u64,
}

/// Datagrams of a way, by kind: of this life of its ends and of earlier ones.
#[derive(Debug, Default)]
pub struct Kept {
    now: [VecDeque<Vec<u8>>; 4],
    earlier: [VecDeque<Vec<u8>>; 4],
}

impl Kept {
    /// Remembers one; the oldest of its kind makes room.
    pub fn keep(&mut self, bytes: &[u8]) {
        push(&mut self.now[Kind::of(bytes) as usize], bytes.to_vec());
    }

    /// One of its ends begins a new life.
    pub fn new_life(&mut self) {
        for (now, earlier) in self.now.iter_mut().zip(&mut self.earlier) {
            now.drain(..).for_each(|bytes| push(earlier, bytes));
        }
    }

    /// Any of this life, of kinds that are meant.
    pub fn any(&self, rng: &mut fastrand::Rng, tamper: &Tamper) -> Option<Vec<u8>> {
        pick(rng, &self.now, tamper)
    }

    /// Any of an earlier life, or of this one if there was none.
    pub fn old(&self, rng: &mut fastrand::Rng, tamper: &Tamper) -> Option<Vec<u8>> {
        pick(rng, &self.earlier, tamper).or_else(|| self.any(rng, tamper))
    }
}

fn push(kept: &mut VecDeque<Vec<u8>>, bytes: Vec<u8>) {
    if kept.len() == KEPT {
        kept.pop_front();
    }
    kept.push_back(bytes);
}

/// Kinds first, so that one that is said often does not hide the others.
fn pick(rng: &mut fastrand::Rng, kept: &[VecDeque<Vec<u8>>; 4], tamper: &Tamper) -> Option<Vec<u8>> {
    let meant = |kind: &Kind| tamper.means(*kind) && !kept[*kind as usize].is_empty();
    let kinds: Vec<_> = Kind::ALL.into_iter().filter(meant).collect();
    let of = &kept[*kinds.get(rng.usize(..kinds.len().max(1)))? as usize];
    Some(of[rng.usize(..of.len())].clone())
}

/// Spoils a datagram: some bits, or its length, or all of it. What tells whose it is stays, so that its part reads it.
pub fn spoil(rng: &mut fastrand::Rng, bytes: &[u8]) -> Vec<u8> {
    let head = heads(bytes).0;
    let (mut made, body) = (bytes.to_vec(), bytes.len() - head);
    match rng.u8(..4) {
        0 if body > 0 => {
            for _ in 0..rng.usize(1..=4) {
                made[head + rng.usize(..body)] ^= 1 << rng.u8(..8);
            }
        }
        1 if body > 0 => made.truncate(head + rng.usize(..body)),
        2 => made[head..].iter_mut().for_each(|byte| *byte = rng.u8(..)),
        _ => {
            let more = rng.usize(1..=64).min(LONGEST.saturating_sub(made.len()));
            made.extend((0..more).map(|_| rng.u8(..)));
        }
    }
    made
}

/// Changes numbers: the highest bit of a byte, by which numbers of several bytes hang together, stays as it is.
pub fn change_numbers(rng: &mut fastrand::Rng, bytes: &[u8]) -> Vec<u8> {
    let head = heads(bytes).1;
    let mut made = bytes.to_vec();
    if made.len() > head {
        for _ in 0..rng.usize(1..=3) {
            let at = rng.usize(head..made.len());
            made[at] = made[at] & 0x80 | rng.u8(..0x80);
        }
    }
    seal(&mut made);
    made
}

/// What is due of something that happens so often a second.
#[derive(Debug)]
pub struct Due {
    last: Instant,
    owed: f64,
}

impl Due {
    /// From now on.
    pub fn new(now: Instant) -> Self {
        Self { last: now, owed: 0.0 }
    }

    /// How many are due since this was last asked.
    pub fn take(&mut self, now: Instant, per_s: f64) -> usize {
        let since = now.saturating_duration_since(self.last).min(Duration::from_secs(1));
        self.last = now;
        self.owed = (self.owed + since.as_secs_f64() * per_s).min((per_s * MOST_OWED).max(1.0));
        let due = self.owed.floor();
        self.owed -= due;
        due as usize
    }
}

#[cfg(test)]
mod tests;
