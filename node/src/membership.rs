//! Which of the other activators are alive, on the network: the datagrams, clock and names of `crates/members`.
//! The same socket carries what other parts say to their like at the other activators ([`envelope`]). Off without
//! `[members]` in an operator's file.

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

/// Datagrams taken at one go: a flood of them must not keep the loop.
const MAX_READS: usize = 64;
/// The longest name: it is logged and shown.
const MAX_NAME_BYTES: usize = 64;

/// What an operator sets.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Setup {
    /// This activator's name, the same over all its starts.
    name: String,
    /// Where it hears the others.
    listen: SocketAddr,
    /// Between two probes by one member; the same for all of them.
    #[serde(default = "default_period_ms")]
    period_ms: u64,
    /// The others.
    #[serde(default)]
    other: Vec<OtherMember>,
}

/// One of the others.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
struct OtherMember {
    name: String,
    /// Where it hears this one, and where its datagrams come from.
    address: SocketAddr,
}

fn default_period_ms() -> u64 {
    500
}

/// What stands for a name in datagrams, at every activator and in every version.
pub fn member_id(name: &str) -> MemberId {
    MemberId(SipHasher13::new().hash(name.as_bytes()) as u32)
}

impl Setup {
    /// What is wrong with it, in one line.
    pub fn check(&self) -> Result<(), String> {
        let names = || self.other.iter().map(|o| &o.name).chain([&self.name]);
        if names().any(|n| n.is_empty() || n.len() > MAX_NAME_BYTES || n.contains(char::is_control)) {
            return Err(format!("members: a name is 1 to {MAX_NAME_BYTES} bytes of text"));
        }
        if let Some(name) = names().find(|name| !envelope::is_distinguishable(member_id(name))) {
            return Err(format!(
                "members: {name} cannot be a name: its datagrams would be taken for others'"
            ));
        }
        let mut ids: Vec<MemberId> = names().map(|name| member_id(name)).collect();
        ids.sort();
        if let Some(twice) = ids.windows(2).find(|w| w[0] == w[1]) {
            let twice: Vec<&str> = names().filter(|n| member_id(n) == twice[0]).map(|n| n.as_str()).collect();
            return Err(format!("members: {} cannot be told apart", twice.join(" and ")));
        }
        let mut addresses: Vec<SocketAddr> = self.other.iter().map(|o| o.address).collect();
        addresses.sort();
        if addresses.windows(2).any(|w| w[0] == w[1]) {
            return Err("members: two others of one address".into());
        }
        if self.other.iter().any(|o| o.address.is_ipv4() != self.listen.is_ipv4()) {
            return Err("members: addresses are all of one family".into());
        }
        self.settings().check().map_err(|e| e.to_string())
    }

    #[allow(dead_code)] // Until the first part is bound.
    /// This one's name, and the others'.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        [&self.name].into_iter().chain(self.other.iter().map(|o| &o.name)).map(String::as_str)
    }

    fn settings(&self) -> Settings {
        let period = Duration::from_millis(self.period_ms);
        Settings { probe_period: period, expected_members: self.other.len() + 1, ..Settings::default() }
    }
}

/// See the module's page.
pub struct Membership {
    handle: Handle,
    socket: Rc<UdpSocket>,
    token: RegistrationToken,
    members: LocalMember,
    /// Times of the members run from here, on a clock that nobody sets.
    origin: Instant,
    setup: Setup,
    /// By what stands for their names: name and address.
    others: BTreeMap<MemberId, (String, SocketAddr)>,
    names: HashMap<SocketAddr, MemberId>,
    left: bool,
    /// Heard for other parts and not yet taken by the hub; see [`MAX_READS`].
    envelopes: Vec<Envelope>,
    /// Parcels that were dropped: of a kind that this program does not know, too long, or too many at one go.
    dropped: u64,
    /// Who carries sums in what it says, and how many datagrams were dropped for a wrong one or for want of one.
    checksums: RefCell<ChecksumState>,
    corrupt: u64,
}

impl Membership {
    /// Begins a instance of this activator's name.
    pub fn open(handle: &Handle, setup: &Setup, seed: u64) -> io::Result<Self> {
        let (socket, token) = datagrams::open(handle, setup.listen, Wake::Members)?;
        let start = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
        let instance = MemberInstance::new(member_id(&setup.name), start);
        let members = LocalMember::new(setup.settings(), instance, [], seed, Duration::ZERO);
        let members = members.map_err(|e| io::Error::new(ErrorKind::InvalidInput, e))?;
        let (origin, setup) = (Instant::now(), setup.clone());
        let (others, names, left) = (BTreeMap::new(), HashMap::new(), false);
        let (handle, envelopes, dropped) = (handle.clone(), Vec::new(), 0);
        let (checksums, corrupt) = (RefCell::default(), 0);
        let mut membership = Self {
            handle,
            socket,
            token,
            members,
            origin,
            setup,
            others,
            names,
            left,
            envelopes,
            dropped,
            checksums,
            corrupt,
        };
        membership.apply_roster();
        Ok(membership)
    }

    /// Knows the others of its setup, and nobody else.
    fn apply_roster(&mut self) {
        let other = |o: &OtherMember| (member_id(&o.name), (o.name.clone(), o.address));
        self.others = self.setup.other.iter().map(other).collect();
        self.names = self.others.iter().map(|(number, (_, address))| (*address, *number)).collect();
        self.members.set_roster(self.others.keys().copied());
        self.checksums.get_mut().retain(|name| self.others.contains_key(&name));
    }

    /// Whether it can go on with this setup, which it then does: others may come and go, the rest asks for a new instance.
    pub fn reconfigure(&mut self, setup: &Setup) -> bool {
        let same = Setup { other: self.setup.other.clone(), ..setup.clone() } == self.setup;
        if same && self.setup != *setup {
            self.setup = setup.clone();
            self.apply_roster();
        }
        same
    }

    /// What stands for this one's name, and for the others' with the names themselves.
    pub fn roster(&self) -> (MemberId, impl Iterator<Item = (MemberId, &str)>) {
        (member_id(&self.setup.name), self.others.iter().map(|(number, (name, _))| (*number, name.as_str())))
    }

    /// How many of the others are there.
    pub fn present_count(&self) -> usize {
        self.members.view().present().count()
    }

    fn now(&self) -> Duration {
        self.origin.elapsed()
    }

    /// Reads what has come. What is to be logged is returned. What is from no known address is dropped.
    pub fn ready(&mut self) -> Vec<String> {
        let mut buf = [0; 1_500];
        let mut out = Vec::new();
        for _ in 0..MAX_READS {
            match self.socket.recv_from(&mut buf) {
                Ok((n, from)) => {
                    let (now, Some(from)) = (self.now(), self.names.get(&from)) else { continue };
                    let read = match envelope::decode(&buf[..n]) {
                        Decoded::Checked(read) => {
                            self.checksums.get_mut().record_checked(now, *from);
                            read
                        }
                        Decoded::Plain(read) if self.checksums.get_mut().accepts_plain(now, *from) => read,
                        Decoded::Plain(_) | Decoded::Corrupt => {
                            self.corrupt += 1;
                            continue;
                        }
                    };
                    match read {
                        Content::Probe => {
                            if self.checksums.get_mut().should_reply(now, *from) {
                                let _ = self.socket.send_to(&envelope::probe_reply(), self.others[from].1);
                            }
                        }
                        Content::ProbeReply => {}
                        Content::Members(data) => self.members.handle_datagram(now, *from, data, &mut out),
                        Content::Unknown => self.dropped += 1,
                        // What is left of one go is taken before the next: else nobody takes any.
                        Content::Envelope(..) if self.envelopes.len() >= MAX_READS => self.dropped += 1,
                        Content::Envelope(kind, data) => {
                            self.envelopes.push(Envelope { from: *from, kind, data: data.to_vec() })
                        }
                    }
                }
                // Word that one of them does not listen is read as an error of its own.
                Err(e) if matches!(e.kind(), ErrorKind::Interrupted | ErrorKind::ConnectionRefused) => {}
                Err(_) => break,
            }
        }
        self.apply(out)
    }

    /// What was heard for other parts since this was last asked.
    pub fn take_envelopes(&mut self) -> Vec<Envelope> {
        std::mem::take(&mut self.envelopes)
    }

    /// Sends another part's bytes, at most [`envelope::MAX_PAYLOAD_BYTES`], to its like. They may be lost, doubled or late.
    pub fn send(&self, to: MemberId, kind: Kind, data: &[u8]) {
        self.send_datagram(to, Some(kind), data);
    }

    /// Sends something with a sum, or as programs of before read it. What cannot be sent is lost, as any may be.
    fn send_datagram(&self, to: MemberId, kind: Option<Kind>, data: &[u8]) {
        let Some((_, address)) = self.others.get(&to) else { return };
        let how = self.checksums.borrow_mut().next_encoding(self.now(), to);
        if how == Encoding::PlainAfterProbe {
            let _ = self.socket.send_to(&envelope::probe(), address);
        }
        if let Some(datagram) = envelope::encode(kind, data, how == Encoding::Checked) {
            let _ = self.socket.send_to(&datagram, address);
        }
    }

    /// Does what is due, after what has come was read: after a pause it speaks for the others.
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

    /// When something is due, on the caller's clock.
    pub fn next_tick(&self, now: Micros) -> Micros {
        let wait = self.members.next_timer_at().map(|at| at.saturating_sub(self.now()));
        wait.map_or(Micros::MAX, |wait| now.saturating_add(wait.as_micros() as Micros))
    }

    /// Tells the others that this one goes.
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

    /// Falls silent without a word: another process of this name goes on.
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

    /// A change with its evidence.
    fn describe_change(&self, name: MemberId, state: MemberState) -> String {
        let view = self.members.view();
        let told = self.others.get(&name).map_or("?", |(told, _)| told.as_str());
        let member = view.members.iter().find(|m| m.id == name);
        let heard = member.and_then(|m| m.last_heard).map(|heard| self.now().saturating_sub(heard));
        let heard =
            heard.map_or("never heard here".into(), |ago| format!("heard {} ms ago", ago.as_millis()));
        let renewed = member.map_or(0, |m| m.incarnation);
        let there = 1 + view.present().count();
        let (all, majority) = (view.members.len() + 1, if view.majority { "" } else { ", no majority" });
        format!("activator {told} is {}: {heard}, spoke for itself {renewed} times; {there} of {all} there{majority}",
            state_label(state))
    }

    /// What this one holds of the others.
    pub fn show(&self) -> Value {
        let (now, view) = (self.now(), self.members.view());
        let ago = |at: Option<Duration>| at.map(|at| now.saturating_sub(at).as_millis() as u64);
        let member = |m: &wheellink_members::Member| {
            let (name, address) = &self.others[&m.id];
            json!({"name": name, "address": address, "state": state_label(m.state), "sums": self.checksums.borrow().uses_checksums(m.id), "start_ms": m.start_ms,
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
