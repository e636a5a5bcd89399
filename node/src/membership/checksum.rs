//! A sum over each datagram, so that one that was spoilt on its way is dropped rather than believed: a flipped bit can make
//! a record of one that was never chosen, and a fleet that learns of a version that nobody has stays on its floor.
//!
//! It guards against chance, not against who can forge an address: the sum has no key. Programs of before do not know it and
//! drop what carries it. So each is first spoken to as before, with a short word in between that carries a sum and nothing
//! else and is answered; from whoever carries sums itself nothing without one is taken, until it said nothing with one for a
//! while, as it may have been replaced by a program of before. The answer matters: one that starts anew may be spoken to by
//! nobody, and what it says without a sum is dropped by all who heard its word.

use std::collections::HashMap;
use std::time::Duration;

use siphasher::sip::SipHasher13;
use wheellink_members::MemberId;

/// Between two short words to one that is not known to read them.
const PROBE_PERIOD: Duration = Duration::from_millis(100);
/// Who said nothing with a sum for so long may have been replaced by a program that knows none.
const PLAIN_ACCEPT_DELAY: Duration = Duration::from_secs(1);

/// The sum of these bytes, of that kind.
pub fn sum(kind: u8, data: &[u8]) -> [u8; 8] {
    SipHasher13::new_with_keys(u64::from(kind), data.len() as u64).hash(data).to_le_bytes()
}

/// How something is to be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Encoding {
    /// With a sum.
    Checked,
    /// Without, and before it a word that carries one.
    PlainAfterProbe,
    /// Without.
    Plain,
}

#[derive(Clone, Copy, Default)]
struct Peer {
    /// When it last said something with a sum, if it is held to that.
    checked: Option<Duration>,
    /// When it was last sent a word.
    probed: Option<Duration>,
    /// When its word was last answered.
    replied: Option<Duration>,
}

/// Who carries sums. Times are of a clock that nobody sets.
#[derive(Default)]
pub struct ChecksumState {
    peers: HashMap<MemberId, Peer>,
}

impl ChecksumState {
    /// Forgets all but these.
    pub fn retain(&mut self, roster: impl Fn(MemberId) -> bool) {
        self.peers.retain(|name, _| roster(*name));
    }

    /// It said something whose sum is right.
    pub fn record_checked(&mut self, now: Duration, from: MemberId) {
        self.peers.entry(from).or_default().checked = Some(now);
    }

    /// Whether its word is answered now: not each of a flood is.
    pub fn should_reply(&mut self, now: Duration, from: MemberId) -> bool {
        let peer = self.peers.entry(from).or_default();
        let due = peer.replied.is_none_or(|at| now.saturating_sub(at) >= PROBE_PERIOD / 2);
        if due {
            peer.replied = Some(now);
        }
        due
    }

    /// Whether something without a sum is taken from it.
    pub fn accepts_plain(&mut self, now: Duration, from: MemberId) -> bool {
        let Some(peer) = self.peers.get_mut(&from) else { return true };
        if peer.checked.is_some_and(|at| now.saturating_sub(at) > PLAIN_ACCEPT_DELAY) {
            peer.checked = None;
        }
        peer.checked.is_none()
    }

    /// How the next datagram goes to it.
    pub fn next_encoding(&mut self, now: Duration, to: MemberId) -> Encoding {
        let peer = self.peers.entry(to).or_default();
        if peer.checked.is_some() {
            return Encoding::Checked;
        }
        if peer.probed.is_some_and(|at| now.saturating_sub(at) < PROBE_PERIOD) {
            return Encoding::Plain;
        }
        peer.probed = Some(now);
        Encoding::PlainAfterProbe
    }

    /// Whether it is known to carry sums.
    pub fn uses_checksums(&self, name: MemberId) -> bool {
        self.peers.get(&name).is_some_and(|peer| peer.checked.is_some())
    }
}

#[cfg(test)]
mod tests;
