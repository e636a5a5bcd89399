//! Membership: which of the other activators are alive. This module gives `crates/members` its UDP socket, clock and
//! names. The same socket carries the messages that other parts (agreed settings, drafts, turns) exchange with the
//! other activators ([`envelope`]). Off without `[members]` in an operator's file.

mod checksum;
pub mod envelope;

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use calloop::RegistrationToken;
use serde::Deserialize;
use serde_json::{json, Value};
use siphasher::sip::SipHasher13;
use wheellink::Micros;
use wheellink_members::{LocalMember, MemberId, MemberInstance, MemberState, Output, Settings};

use crate::datagrams;
use crate::wake::{Handle, Wake};
use checksum::{ChecksumState, Encoding};
use envelope::{Content, Decoded, Envelope, Kind};

/// Datagrams that one call reads, so that a flood of them does not block the event loop. Also the limit of envelopes
/// that wait for delivery.
const MAX_READS: usize = 64;
/// Longest name; names are logged and shown to operators.
const MAX_NAME_BYTES: usize = 64;

/// `[members]` of an operator's file.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Setup {
    /// This activator's name, which stays the same across restarts.
    name: String,
    /// The address at which it receives datagrams of the others.
    listen: SocketAddr,
    /// Time between two probes by one member; all members must have the same.
    #[serde(default = "default_period_ms")]
    period_ms: u64,
    /// The other members.
    #[serde(default)]
    other: Vec<OtherMember>,
}

/// Another member.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
struct OtherMember {
    name: String,
    /// The address at which it receives datagrams, and from which it sends them.
    address: SocketAddr,
}

fn default_period_ms() -> u64 {
    500
}

/// The id that represents a name in datagrams. It is the same at every activator and in every version.
pub fn member_id(name: &str) -> MemberId {
    MemberId(SipHasher13::new().hash(name.as_bytes()) as u32)
}

impl Setup {
    /// # Errors
    /// The first problem, in one line.
    pub fn check(&self) -> Result<(), String> {
        let names = || self.other.iter().map(|o| &o.name).chain([&self.name]);
        if names().any(|n| n.is_empty() || n.len() > MAX_NAME_BYTES || n.contains(char::is_control)) {
            return Err(format!("members: a name is 1 to {MAX_NAME_BYTES} bytes of text"));
        }
        if let Some(name) = names().find(|name| !envelope::is_distinguishable(member_id(name))) {
            return Err(format!(
                "members: {name} cannot be a name: its datagrams would look like those of other parts"
            ));
        }
        let mut ids: Vec<MemberId> = names().map(|name| member_id(name)).collect();
        ids.sort();
        if let Some(twice) = ids.windows(2).find(|w| w[0] == w[1]) {
            let twice: Vec<&str> = names().filter(|n| member_id(n) == twice[0]).map(|n| n.as_str()).collect();
            return Err(format!("members: {} have the same id; rename one", twice.join(" and ")));
        }
        let mut addresses: Vec<SocketAddr> = self.other.iter().map(|o| o.address).collect();
        addresses.sort();
        if addresses.windows(2).any(|w| w[0] == w[1]) {
            return Err("members: two others with the same address".into());
        }
        if self.other.iter().any(|o| o.address.is_ipv4() != self.listen.is_ipv4()) {
            return Err("members: all addresses must be IPv4, or all IPv6".into());
        }
        self.settings().check().map_err(|e| e.to_string())
    }

    /// The names of this activator and of the others.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        [&self.name].into_iter().chain(self.other.iter().map(|o| &o.name)).map(String::as_str)
    }

    fn settings(&self) -> Settings {
        let period = Duration::from_millis(self.period_ms);
        Settings { probe_period: period, expected_members: self.other.len() + 1, ..Settings::default() }
    }
}

/// This activator's membership, with its socket.
pub struct Membership {
    handle: Handle,
    socket: Rc<UdpSocket>,
    token: RegistrationToken,
    members: LocalMember,
    /// Origin of the times in `members`, on the monotonic clock.
    origin: Instant,
    setup: Setup,
    /// Names and addresses of the other members.
    others: BTreeMap<MemberId, (String, SocketAddr)>,
    ids: HashMap<SocketAddr, MemberId>,
    left: bool,
    /// Messages for other parts that the node has not fetched yet; at most [`MAX_READS`].
    envelopes: Vec<Envelope>,
    /// Envelopes that were dropped: of an unknown kind, too long, or too many at once.
    dropped: u64,
    /// Which members use checksums.
    sums: RefCell<ChecksumState>,
    /// Datagrams that were dropped because their checksum was wrong, or missing from a member that uses checksums.
    corrupt: u64,
}

impl Membership {
    /// Opens the socket and starts a new instance of this member.
    pub fn open(handle: &Handle, setup: &Setup, seed: u64) -> io::Result<Self> {
        let (socket, token) = datagrams::open(handle, setup.listen, Wake::Members)?;
        let start = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
        let instance = MemberInstance::new(member_id(&setup.name), start);
        let members = LocalMember::new(setup.settings(), instance, [], seed, Duration::ZERO);
        let members = members.map_err(|e| io::Error::new(ErrorKind::InvalidInput, e))?;
        let (origin, setup) = (Instant::now(), setup.clone());
        let (others, ids, left) = (BTreeMap::new(), HashMap::new(), false);
        let (handle, envelopes, dropped) = (handle.clone(), Vec::new(), 0);
        let (sums, corrupt) = (RefCell::default(), 0);
        let mut membership = Self {
            handle,
            socket,
            token,
            members,
            origin,
            setup,
            others,
            ids,
            left,
            envelopes,
            dropped,
            sums,
            corrupt,
        };
        membership.apply_roster();
        Ok(membership)
    }

    /// Sets the roster to the other members of the setup.
    fn apply_roster(&mut self) {
        let other = |o: &OtherMember| (member_id(&o.name), (o.name.clone(), o.address));
        self.others = self.setup.other.iter().map(other).collect();
        self.ids = self.others.iter().map(|(id, (_, address))| (*address, *id)).collect();
        self.members.set_roster(self.others.keys().copied());
        self.sums.get_mut().retain(|name| self.others.contains_key(&name));
    }

    /// Applies a new setup if only the other members have changed; returns false if a new instance is needed.
    pub fn reconfigure(&mut self, setup: &Setup) -> bool {
        let same = Setup { other: self.setup.other.clone(), ..setup.clone() } == self.setup;
        if same && self.setup != *setup {
            self.setup = setup.clone();
            self.apply_roster();
        }
        same
    }

    /// This activator's id, and the ids and names of the others.
    pub fn roster(&self) -> (MemberId, impl Iterator<Item = (MemberId, &str)>) {
        (member_id(&self.setup.name), self.others.iter().map(|(id, (name, _))| (*id, name.as_str())))
    }

    /// The number of other members that are present.
    pub fn present_count(&self) -> usize {
        self.members.view().present().count()
    }

    fn now(&self) -> Duration {
        self.origin.elapsed()
    }

    /// Reads the datagrams that have arrived; drops those from unknown addresses. Returns lines to log.
    pub fn ready(&mut self) -> Vec<String> {
        let mut buf = [0; 1_500];
        let mut out = Vec::new();
        for _ in 0..MAX_READS {
            match self.socket.recv_from(&mut buf) {
                Ok((n, from)) => {
                    let (now, Some(from)) = (self.now(), self.ids.get(&from)) else { continue };
                    let content = match envelope::decode(&buf[..n]) {
                        Decoded::Checked(content) => {
                            self.sums.get_mut().record_checked(now, *from);
                            content
                        }
                        Decoded::Plain(content) if self.sums.get_mut().accepts_plain(now, *from) => content,
                        Decoded::Plain(_) | Decoded::Corrupt => {
                            self.corrupt += 1;
                            continue;
                        }
                    };
                    match content {
                        Content::Probe => {
                            if self.sums.get_mut().should_reply(now, *from) {
                                let _ = self.socket.send_to(&envelope::probe_reply(), self.others[from].1);
                            }
                        }
                        Content::ProbeReply => {}
                        Content::Members(data) => self.members.receive(now, *from, data, &mut out),
                        Content::Unknown => self.dropped += 1,
                        // The node fetches envelopes after each read: if so many are waiting, nobody fetches them.
                        Content::Envelope(..) if self.envelopes.len() >= MAX_READS => self.dropped += 1,
                        Content::Envelope(kind, data) => {
                            self.envelopes.push(Envelope { from: *from, kind, data: data.to_vec() })
                        }
                    }
                }
                // An ICMP report that a member is not listening arrives as an error of a later read.
                Err(e) if matches!(e.kind(), ErrorKind::Interrupted | ErrorKind::ConnectionRefused) => {}
                Err(_) => break,
            }
        }
        self.apply(out)
    }

    /// Returns the messages for other parts since the previous call.
    pub fn take_envelopes(&mut self) -> Vec<Envelope> {
        std::mem::take(&mut self.envelopes)
    }

    /// Sends a message of another part, at most [`envelope::MAX_PAYLOAD_BYTES`], to the same part of a member. It may be
    /// lost, duplicated or delayed.
    pub fn send(&self, to: MemberId, kind: Kind, data: &[u8]) {
        self.send_datagram(to, Some(kind), data);
    }

    /// Sends a datagram with a checksum, or in the format that older versions read. Send errors are ignored, as datagrams
    /// may be lost anyway.
    fn send_datagram(&self, to: MemberId, kind: Option<Kind>, data: &[u8]) {
        let Some((_, address)) = self.others.get(&to) else { return };
        let encoding = self.sums.borrow_mut().next_encoding(self.now(), to);
        if encoding == Encoding::PlainAfterProbe {
            let _ = self.socket.send_to(&envelope::probe(), address);
        }
        if let Some(datagram) = envelope::encode(kind, data, encoding == Encoding::Checked) {
            let _ = self.socket.send_to(&datagram, address);
        }
    }

    /// Runs timers that are due. Reads the socket first: after a pause of this process, datagrams that have arrived
    /// meanwhile show that the others are alive.
    pub fn tick(&mut self) -> Vec<String> {
        if self.members.next_timer_at().is_none_or(|at| at > self.now()) {
            return Vec::new();
        }
        let mut lines = self.ready();
        let (now, mut out) = (self.now(), Vec::new());
        self.members.handle_timers(now, &mut out);
        lines.extend(self.apply(out));
        lines
    }

    /// When the next timer is due, on the caller's clock.
    pub fn next_tick(&self, now: Micros) -> Micros {
        let wait = self.members.next_timer_at().map(|at| at.saturating_sub(self.now()));
        wait.map_or(Micros::MAX, |wait| now.saturating_add(wait.as_micros() as Micros))
    }

    /// Announces to the others that this member leaves.
    pub fn leave(&mut self) -> Vec<String> {
        if std::mem::replace(&mut self.left, true) {
            return Vec::new();
        }
        let (now, mut out) = (self.now(), Vec::new());
        self.members.leave(now, &mut out);
        let mut lines = self.apply(out);
        lines.push("left the other activators".into());
        lines
    }

    /// Closes the socket without an announcement, because another process continues under this name.
    pub fn close(self) {
        self.handle.remove(self.token);
    }

    fn apply(&mut self, out: Vec<Output>) -> Vec<String> {
        let mut lines = Vec::new();
        for o in out {
            match o {
                Output::Send { to, data } => self.send_datagram(to, None, &data),
                Output::StateChanged { id, state } => lines.push(self.describe_change(id, state)),
                Output::Rejoined => lines.push("others held this activator for gone; it is back".into()),
            }
        }
        lines
    }

    /// The log line of a state change, with its evidence.
    fn describe_change(&self, id: MemberId, state: MemberState) -> String {
        let view = self.members.view();
        let name = self.others.get(&id).map_or("?", |(name, _)| name.as_str());
        let member = view.members.iter().find(|m| m.id == id);
        let heard = member.and_then(|m| m.last_heard).map(|heard| self.now().saturating_sub(heard));
        let heard =
            heard.map_or("never heard here".into(), |ago| format!("heard {} ms ago", ago.as_millis()));
        let renewals = member.map_or(0, |m| m.incarnation);
        let present = 1 + view.present().count();
        let (all, majority) = (view.members.len() + 1, if view.majority { "" } else { ", no majority" });
        format!("activator {name} is {}: {heard}, spoke for itself {renewals} times; {present} of {all} there{majority}",
            state_label(state))
    }

    /// The answer to `GET /members`: this member's view of the others.
    pub fn show(&self) -> Value {
        let (now, view) = (self.now(), self.members.view());
        let ago = |at: Option<Duration>| at.map(|at| now.saturating_sub(at).as_millis() as u64);
        let member = |m: &wheellink_members::Member| {
            let (name, address) = &self.others[&m.id];
            json!({"name": name, "address": address, "state": state_label(m.state), "sums": self.sums.borrow().uses_checksums(m.id), "start_ms": m.start_ms,
                "incarnation": m.incarnation, "since_ms": ago(m.state_since), "heard_ms": ago(m.last_heard)})
        };
        let known = view.members.iter().filter(|m| self.others.contains_key(&m.id));
        json!({"name": self.setup.name, "start_ms": self.members.instance().start_ms, "left": self.left,
            "majority": view.majority, "dropped": self.dropped, "spoilt": self.corrupt, "pauses": view.pauses, "stretch": view.health_multiplier,
            "members": known.map(member).collect::<Vec<_>>()})
    }
}

fn state_label(state: MemberState) -> &'static str {
    match state {
        MemberState::Alive => "alive",
        MemberState::Suspect => "suspect",
        MemberState::Dead => "gone",
        MemberState::Left => "left",
        MemberState::Unknown => "unmet",
    }
}
