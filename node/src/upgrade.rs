//! A new process takes the place of a running one without losing a client.
//!
//! The running one listens on a Unix socket whose name is tied to the clients' address. A new one says hello
//! there and gets what it cannot learn elsewhere, and the listening socket itself: what is queued on it is
//! lost by neither. Until the old one is gone, each tells the other what operators say.

use std::collections::BTreeMap;
use std::io::{self, BufRead, ErrorKind, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::{AsFd, OwnedFd};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::PathBuf;
use std::rc::Rc;
use std::thread::sleep;
use std::time::{Duration, Instant};

use calloop::generic::Generic;
use calloop::{Interest, Mode, PostAction, RegistrationToken};
use rustix::net::{
    recvmsg, sendmsg, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags,
};
use serde::{Deserialize, Serialize};
use wheellink::{Legacy, Loaded, Micros, Tally};

use crate::conn::ConnId;
use crate::door;
use crate::ring::Ring;
use crate::wake::{Handle, Wake, Wakes};

/// What the two say is told apart by this where it changes.
const VERSION: u32 = 1;
/// A live peer answers within this; under load its loop may be late.
const PATIENCE: Duration = Duration::from_millis(1500);
/// For so long an address may still be taken by a process that leaves it, and how often that is looked at.
const LEAVING: Duration = Duration::from_secs(3);
const AGAIN: Duration = Duration::from_millis(100);
/// Longest message: the state.
const LONGEST: usize = 2 << 20;
/// Beliefs that are passed on, most called first.
const MOST_LOADED: usize = 4000;
/// Processes that have connected and said nothing valid so far.
const GUESTS: usize = 4;

/// What the two processes say to each other, as one line of JSON each.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "say", rename_all = "snake_case")]
pub enum Message {
    /// New to old: it wants to take its place at this address.
    Hello {
        version: u32,
        listen: SocketAddr,
    },
    /// Old to new, with the listening socket.
    State(State),
    /// New to old: it takes clients from now on.
    Ready,
    /// A host was taken out by hand, or back in.
    Host {
        id: String,
        out: bool,
    },
    Standby {
        on: bool,
    },
    /// Old to new: so many connections of clients it still holds, and what it took and ordered since it said
    /// so last.
    Tally {
        clients: usize,
        ration: Ration,
    },
    /// What a later version says besides is passed over.
    #[serde(other)]
    Other,
}

/// What counts for the ration of orders: when, calls, orders.
pub type Ration = Vec<(Micros, u32, u32)>;

pub fn told(tallies: Vec<Tally>) -> Ration {
    tallies.into_iter().map(|t| (t.at, t.calls, t.orders)).collect()
}

pub fn heard(ration: &Ration) -> Vec<Tally> {
    ration.iter().map(|(at, calls, orders)| Tally { at: *at, calls: *calls, orders: *orders }).collect()
}

/// What a new process cannot learn elsewhere.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct State {
    /// Hosts that are out by hand.
    pub out: Vec<String>,
    pub standby: bool,
    /// The bus that is read, and the last event taken from it.
    pub bus: Option<(SocketAddr, u64)>,
    /// What is believed loaded: host, function, lanes, copies, until when, calls.
    pub loaded: Vec<(String, String, u32, u32, Micros, f64)>,
    pub ration: Ration,
    /// Answers a second.
    pub served: f64,
    /// Attempts sent to cold hosts lately: host, when.
    pub sends: Vec<(String, Vec<Micros>)>,
}

impl State {
    /// Takes in what the module passes on.
    pub fn set_legacy(&mut self, legacy: Legacy) {
        let Legacy { mut loaded, tallies, served, sends } = legacy;
        loaded.sort_by(|a, b| b.calls.total_cmp(&a.calls));
        let most = loaded.into_iter().take(MOST_LOADED);
        self.loaded = most
            .map(|l| (l.worker.0.to_string(), l.function.0.to_string(), l.lanes, l.copies, l.until, l.calls))
            .collect();
        (self.ration, self.served) = (told(tallies), served);
        self.sends = sends.into_iter().map(|(host, times)| (host.0.to_string(), times)).collect();
    }

    /// ... and gives it out.
    pub fn legacy(&self) -> Legacy {
        let sends = self.sends.iter().map(|(host, times)| (host.as_str().into(), times.clone()));
        let (tallies, served) = (heard(&self.ration), self.served);
        Legacy { loaded: self.loaded(), tallies, served, sends: sends.collect() }
    }

    fn loaded(&self) -> Vec<Loaded> {
        let told = self.loaded.iter().map(|(worker, function, lanes, copies, until, calls)| Loaded {
            worker: worker.as_str().into(),
            function: function.as_str().into(),
            lanes: *lanes,
            copies: *copies,
            until: *until,
            calls: *calls,
        });
        told.collect()
    }
}

/// What a new process was given by the running one.
pub struct Inheritance {
    pub state: State,
    stream: UnixStream,
    /// Bytes that came behind the state.
    rest: Vec<u8>,
}

/// The clients' address, from now on this process's.
pub struct Place {
    pub listener: TcpListener,
    /// From the process that is there as well, until it ends.
    pub inheritance: Option<Inheritance>,
}

/// Gets the place of the process that runs at this address, or listens there itself. An address that is taken
/// by somebody who gives nothing may be one that is just being left.
pub fn claim(address: SocketAddr) -> Result<Place, String> {
    let begun = Instant::now();
    loop {
        match greet(address) {
            Ok(place) => return Ok(place),
            Err(problem) => eprintln!("nobody gives its place: {problem}"),
        }
        match door::listen(address) {
            Ok(listener) => return Ok(Place { listener, inheritance: None }),
            Err(e) if e.kind() == ErrorKind::AddrInUse && begun.elapsed() < LEAVING => sleep(AGAIN),
            Err(e) => return Err(format!("cannot listen on {address}: {e}")),
        }
    }
}

/// Where processes of this clients' address meet.
pub fn meeting_place(address: SocketAddr) -> PathBuf {
    let name = format!("wheellink-{}.sock", address.to_string().replace([':', '[', ']'], "-"));
    std::env::temp_dir().join(name)
}

/// Asks the process that runs at this address, if one does, for its place. A socket that a dead process left
/// behind takes no connection; whoever answers with another address is not the one.
fn greet(address: SocketAddr) -> Result<Place, String> {
    let problem = |e: io::Error| e.to_string();
    let stream = UnixStream::connect(meeting_place(address)).map_err(problem)?;
    stream.set_read_timeout(Some(PATIENCE)).map_err(problem)?;
    stream.set_write_timeout(Some(PATIENCE)).map_err(problem)?;
    if !is_own(&stream) {
        return Err("it runs for another user".into());
    }
    let mut bytes = line(&Message::Hello { version: VERSION, listen: address });
    io::Write::write_all(&mut &stream, &bytes).map_err(problem)?;
    bytes.clear();
    let (begun, mut socket, mut piece) = (Instant::now(), None, vec![0; 64 << 10]);
    let end = loop {
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
        let mut passed = RecvAncillaryBuffer::new(&mut space);
        let taken = &mut [IoSliceMut::new(&mut piece)];
        let got =
            recvmsg(&stream, taken, &mut passed, RecvFlags::CMSG_CLOEXEC).map_err(|e| problem(e.into()))?;
        for message in passed.drain() {
            if let RecvAncillaryMessage::ScmRights(mut sockets) = message {
                socket = sockets.next().or(socket);
            }
        }
        if got.bytes == 0 || bytes.len() > LONGEST || begun.elapsed() > PATIENCE {
            return Err("it did not tell its state".into());
        }
        bytes.extend(&piece[..got.bytes]);
        if let Some(end) = bytes.iter().position(|b| *b == b'\n') {
            break end;
        }
    };
    let rest = bytes.split_off(end + 1);
    let Ok(Message::State(state)) = serde_json::from_slice(&bytes) else {
        return Err("what it told is no state".into());
    };
    let socket: OwnedFd = socket.ok_or("it gave no listening socket")?;
    let listener = TcpListener::from(socket);
    match listener.local_addr() {
        Ok(at) if at == address => {
            Ok(Place { listener, inheritance: Some(Inheritance { state, stream, rest }) })
        }
        at => Err(format!("it listens elsewhere: {at:?}")),
    }
}

/// Whether the other side runs for the same user: the folder may be shared with others.
fn is_own(stream: &UnixStream) -> bool {
    rustix::net::sockopt::socket_peercred(stream).is_ok_and(|peer| peer.uid == rustix::process::geteuid())
}

fn line(message: &Message) -> Vec<u8> {
    let mut bytes = serde_json::to_vec(message).expect("a message has a form in JSON");
    bytes.push(b'\n');
    bytes
}

/// One connection between two processes.
struct Wire {
    handle: Handle,
    stream: Rc<UnixStream>,
    token: RegistrationToken,
    inbox: Ring,
    outbox: Ring,
    /// To go with the first byte that leaves.
    socket: Option<OwnedFd>,
}

impl Wire {
    fn new(handle: &Handle, id: ConnId, stream: UnixStream) -> io::Result<Self> {
        stream.set_nonblocking(true)?;
        let stream = Rc::new(stream);
        let source = Generic::new(stream.clone(), Interest::BOTH, Mode::Edge);
        let token = handle.insert_source(source, move |_, _, wakes: &mut Wakes| {
            wakes.push(Wake::Peer(id));
            Ok(PostAction::Continue)
        });
        let token = token.map_err(|e| io::Error::other(e.error.to_string()))?;
        let (inbox, outbox) = (Ring::new(64 << 10), Ring::new(LONGEST));
        Ok(Self { handle: handle.clone(), stream, token, inbox, outbox, socket: None })
    }

    fn send(&mut self, message: &Message) -> io::Result<()> {
        if !self.outbox.push(&line(message)) {
            return Err(ErrorKind::OutOfMemory.into());
        }
        self.flush()
    }

    fn flush(&mut self) -> io::Result<()> {
        while !self.outbox.is_empty() {
            let sent = match self.socket.take() {
                None => self.outbox.write_to(&mut &*self.stream).map(drop),
                Some(socket) => {
                    let first = self.outbox.copy(0, 1).unwrap_or_default();
                    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
                    let (mut passed, sockets) = (SendAncillaryBuffer::new(&mut space), [socket.as_fd()]);
                    passed.push(SendAncillaryMessage::ScmRights(&sockets));
                    let sent =
                        sendmsg(&self.stream, &[IoSlice::new(&first)], &mut passed, SendFlags::NOSIGNAL);
                    match sent {
                        Ok(n) => self.outbox.consume(n),
                        Err(_) => self.socket = Some(socket.try_clone()?),
                    }
                    sent.map(drop).map_err(io::Error::from)
                }
            };
            match sent {
                Ok(()) => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        Ok(())
    }

    /// What has come whole; whether the other side has ended.
    fn read(&mut self) -> io::Result<(Vec<Message>, bool)> {
        let (mut messages, mut ended) = (Vec::new(), false);
        while !ended {
            match self.inbox.read_from(&mut &*self.stream) {
                Ok(0) => ended = true,
                Ok(_) => self.take(&mut messages)?,
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::ConnectionReset => ended = true,
                Err(e) => return Err(e),
            }
        }
        Ok((messages, ended))
    }

    fn take(&mut self, messages: &mut Vec<Message>) -> io::Result<()> {
        let bytes = self.inbox.copy(0, self.inbox.len()).unwrap_or_default();
        let whole = bytes.iter().rposition(|b| *b == b'\n').map_or(0, |end| end + 1);
        for line in bytes[..whole].lines() {
            messages.push(serde_json::from_str(&line?)?);
        }
        self.inbox.consume(whole);
        if self.inbox.room() == 0 {
            return Err(ErrorKind::InvalidData.into());
        }
        Ok(())
    }

    fn close(self) {
        self.handle.remove(self.token);
    }
}

/// What happened at the meeting place.
#[derive(Debug, PartialEq)]
pub enum News {
    /// A new process wants this one's place: it is to be told the state.
    Arrived(ConnId),
    /// The peer said so.
    Said(Message),
    /// The peer is gone.
    Left,
}

/// See the module's page.
pub struct Upgrade {
    handle: Handle,
    address: SocketAddr,
    path: PathBuf,
    beacon: Option<(Rc<UnixListener>, RegistrationToken)>,
    wires: BTreeMap<ConnId, Wire>,
    peer: Option<ConnId>,
    pub news: Vec<News>,
}

impl Upgrade {
    /// With the connection to the process whose place this one takes, if there is one.
    pub fn new(handle: &Handle, address: SocketAddr, inheritance: Option<Inheritance>) -> io::Result<Self> {
        let mut upgrade = Self {
            handle: handle.clone(),
            address,
            path: meeting_place(address),
            beacon: None,
            wires: BTreeMap::new(),
            peer: None,
            news: Vec::new(),
        };
        if let Some(Inheritance { stream, rest, .. }) = inheritance {
            let id = crate::conn::fresh_id();
            let mut wire = Wire::new(handle, id, stream)?;
            let mut messages = Vec::new();
            wire.inbox.push(&rest);
            wire.take(&mut messages)?;
            upgrade.news.extend(messages.into_iter().map(News::Said));
            upgrade.wires.insert(id, wire);
            upgrade.peer = Some(id);
        }
        Ok(upgrade)
    }

    /// Is found from now on by those that come, instead of whoever was before. The socket is made under
    /// another name first, so that there is one at any time.
    pub fn shine(&mut self, address: SocketAddr) -> io::Result<()> {
        self.fade();
        (self.address, self.path) = (address, meeting_place(address));
        let fresh = self.path.with_extension(format!("{}", std::process::id()));
        let _ = std::fs::remove_file(&fresh);
        let listener = UnixListener::bind(&fresh)?;
        std::fs::rename(&fresh, &self.path)?;
        listener.set_nonblocking(true)?;
        let listener = Rc::new(listener);
        let source = Generic::new(listener.clone(), Interest::READ, Mode::Level);
        let token = self.handle.insert_source(source, |_, _, wakes: &mut Wakes| {
            wakes.push(Wake::Guests);
            Ok(PostAction::Continue)
        });
        let token = token.map_err(|e| io::Error::other(e.error.to_string()))?;
        self.beacon = Some((listener, token));
        Ok(())
    }

    /// Is found no longer; the file stays, as it may be another's by now.
    fn fade(&mut self) {
        if let Some((_, token)) = self.beacon.take() {
            self.handle.remove(token);
        }
    }

    pub fn accept(&mut self) {
        let Some((listener, _)) = &self.beacon else { return };
        let Ok((stream, _)) = listener.accept() else { return };
        if !is_own(&stream) {
            return;
        }
        let id = crate::conn::fresh_id();
        if let Ok(wire) = Wire::new(&self.handle, id, stream) {
            self.wires.insert(id, wire);
            let guests: Vec<_> = self.wires.keys().copied().filter(|id| Some(*id) != self.peer).collect();
            if guests.len() > GUESTS {
                self.drop_wire(guests[0]);
            }
            self.ready(id);
        }
    }

    /// The connection has something to say, or may take more.
    pub fn ready(&mut self, id: ConnId) {
        let Some(wire) = self.wires.get_mut(&id) else { return };
        let heard = wire.flush().and_then(|()| wire.read());
        let (messages, ended) = heard.unwrap_or((Vec::new(), true));
        for message in messages {
            match message {
                Message::Hello { version: VERSION, listen } if listen == self.address => {
                    self.news.push(News::Arrived(id))
                }
                message if self.peer == Some(id) => self.news.push(News::Said(message)),
                _ => return self.drop_wire(id),
            }
        }
        if ended {
            self.drop_wire(id);
        }
    }

    fn drop_wire(&mut self, id: ConnId) {
        if let Some(wire) = self.wires.remove(&id) {
            wire.close();
        }
        if self.peer == Some(id) {
            self.peer = None;
            self.news.push(News::Left);
        }
    }

    /// Gives the one that arrived the state and the listening socket: it is the peer from now on.
    pub fn hand_over(&mut self, id: ConnId, state: State, socket: OwnedFd) {
        let Some(wire) = self.wires.get_mut(&id) else { return };
        wire.socket = Some(socket);
        let sent = wire.send(&Message::State(state));
        let before = self.peer.replace(id).filter(|before| *before != id);
        if let Some(wire) = before.and_then(|id| self.wires.remove(&id)) {
            wire.close();
        }
        if sent.is_err() {
            self.drop_wire(id);
        }
    }

    pub fn has_peer(&self) -> bool {
        self.peer.is_some()
    }

    /// Tells the peer, if there is one.
    pub fn tell(&mut self, message: &Message) {
        let Some((id, wire)) = self.peer.and_then(|id| self.wires.get_mut(&id).map(|wire| (id, wire))) else {
            return;
        };
        if wire.send(message).is_err() {
            self.drop_wire(id);
        }
    }

    /// The process ends: whoever comes later is not to find what it leaves behind.
    pub fn shut_down(&mut self) {
        let own = self.beacon.is_some() && self.peer.is_none();
        self.fade();
        if own {
            let _ = std::fs::remove_file(&self.path);
        }
        let ids: Vec<_> = self.wires.keys().copied().collect();
        ids.into_iter().for_each(|id| self.drop_wire(id));
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_is_passed_on_arrives_as_it_left() {
        let loaded = (0..3).map(|i| Loaded {
            worker: "s-1".into(),
            function: format!("f{i}").as_str().into(),
            lanes: 2,
            copies: i,
            until: 17,
            calls: f64::from(i) + 0.5,
        });
        let tallies = vec![Tally { at: 100_000, calls: 7, orders: 2 }];
        let sends = vec![("s-2".into(), vec![5, 6])];
        let mut legacy = Legacy { loaded: loaded.collect(), tallies, served: 12.5, sends };
        let mut state = State { out: vec!["s-9".into()], ..State::default() };
        state.set_legacy(legacy.clone());
        let Message::State(heard) = serde_json::from_slice(&line(&Message::State(state))).unwrap() else {
            panic!("no state")
        };
        legacy.loaded.reverse();
        assert_eq!((heard.legacy(), heard.out), (legacy, vec!["s-9".to_string()]), "most called first");
    }

    #[test]
    fn a_later_version_may_say_more() {
        let read = |text: &str| serde_json::from_str::<Message>(text).unwrap();
        assert_eq!(read(r#"{"say":"weather","sun":1}"#), Message::Other);
        assert_eq!(read(r#"{"say":"state","moon":1}"#), Message::State(State::default()));
    }
}
