//! Checksums of datagrams, so that a corrupted datagram is dropped and not acted on: a flipped bit can turn a record into
//! one that was never chosen, and a fleet that learns of a version that no member has stays on its floor.
//!
//! A checksum protects against accidental corruption, not against forgery: it has no key. Older versions do not know
//! checksums and drop datagrams that carry one. Therefore a member is first sent datagrams without a checksum, and from
//! time to time a probe: a short datagram that carries only a checksum and is answered by a probe reply. Once a member has
//! sent a datagram with a checksum, its datagrams without one are dropped, until it has sent none with one for a while,
//! because an older version may have replaced it. The probe reply is needed because a restarted member may receive nothing
//! else: all members that have received its probe drop what it sends without a checksum.

use std::collections::HashMap;
use std::time::Duration;

use siphasher::sip::SipHasher13;
use wheellink_members::MemberId;

/// Time between two probes to a member that is not known to use checksums.
const PROBE_PERIOD: Duration = Duration::from_millis(100);
/// A member that has sent no checksum for this time may have been replaced by a version without checksums.
const PLAIN_ACCEPT_DELAY: Duration = Duration::from_secs(1);

/// The checksum of a datagram's kind and data.
pub fn sum(kind: u8, data: &[u8]) -> [u8; 8] {
    SipHasher13::new_with_keys(u64::from(kind), data.len() as u64).hash(data).to_le_bytes()
}

/// How a datagram is to be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Encoding {
    /// With a checksum.
    Checked,
    /// Without a checksum, and after a probe.
    PlainAfterProbe,
    /// Without a checksum.
    Plain,
}

#[derive(Clone, Copy, Default)]
struct Peer {
    /// When it last sent a checksum; set while a checksum is required from it.
    checked: Option<Duration>,
    /// When it was last sent a probe.
    probed: Option<Duration>,
    /// When its probe was last answered.
    replied: Option<Duration>,
}

/// Which members use checksums. Times are on the monotonic clock.
#[derive(Default)]
pub struct ChecksumState {
    peers: HashMap<MemberId, Peer>,
}

impl ChecksumState {
    /// Forgets all members but these.
    pub fn retain(&mut self, in_roster: impl Fn(MemberId) -> bool) {
        self.peers.retain(|id, _| in_roster(*id));
    }

    /// Records a datagram with a valid checksum.
    pub fn record_checked(&mut self, now: Duration, from: MemberId) {
        self.peers.entry(from).or_default().checked = Some(now);
    }

    /// Whether to answer a probe of this member now; in a flood of probes most are not answered.
    pub fn should_reply(&mut self, now: Duration, from: MemberId) -> bool {
        let peer = self.peers.entry(from).or_default();
        let due = peer.replied.is_none_or(|at| now.saturating_sub(at) >= PROBE_PERIOD / 2);
        if due {
            peer.replied = Some(now);
        }
        due
    }

    /// Whether a datagram without a checksum is accepted from this member.
    pub fn accepts_plain(&mut self, now: Duration, from: MemberId) -> bool {
        let Some(peer) = self.peers.get_mut(&from) else { return true };
        if peer.checked.is_some_and(|at| now.saturating_sub(at) > PLAIN_ACCEPT_DELAY) {
            peer.checked = None;
        }
        peer.checked.is_none()
    }

    /// How to send the next datagram to this member.
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

    pub fn uses_checksums(&self, id: MemberId) -> bool {
        self.peers.get(&id).is_some_and(|peer| peer.checked.is_some())
    }
}

#[cfg(test)]
mod tests;
