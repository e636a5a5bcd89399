//! A new process takes the place of a running one without losing a client.
//!
//! The running one listens on a Unix socket whose name is tied to the clients' address. A new one says hello
//! there and gets what it cannot learn elsewhere, and the listening socket itself: what is queued on it is
//! lost by neither. Until the old one is gone, each tells the other what operators say.

use std::collections::{BTreeMap, VecDeque};
use std::io::{self, ErrorKind, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::net::{Shutdown, SocketAddr, TcpListener};
use std::os::fd::{AsFd, OwnedFd};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::thread::sleep;
use std::time::{Duration, Instant};

use calloop::generic::Generic;
use calloop::{Interest, Mode, PostAction, RegistrationToken};
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use rustix::net::{
    recvmsg, sendmsg, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags,
};
use rustix::process::{pidfd_open, pidfd_send_signal, PidfdFlags, Signal};
use serde::{Deserialize, Serialize};
use socket2::{Domain, SockAddr, Socket, Type};
use wheellink::{HandoverState, LoadedFunction, Micros, Tally};
use wheellink_admission::LearnedState as Learnt;
use wheellink_rollout::ClassPolicy;

use crate::clock::TimeBase;
use crate::conn::ConnId;
use crate::control::AdmissionCall;
use crate::descriptors::MAX_PENDING_HANDSHAKES;
use crate::ipc::{self, Word};
use crate::listener;
use crate::ring::Ring;
use crate::startup::{AGAIN, GREETING, LEAVING};
use crate::wake::{Handle, Wake, Wakes};

/// What the two say is told apart by this where it changes.
const VERSION: u32 = 1;
/// The shortest time-out that is set: none at all would wait without end.
const SHORTEST: Duration = Duration::from_millis(1);
/// Longest message: the state.
const LONGEST: usize = 2 << 20;
/// Beliefs that are passed on, most called first.
const MOST_LOADED: usize = 4000;
/// What may wait each way between the processes of a rollout.
const IPC_INBOX: usize = ipc::MOST_FRAME + 4;
const LANE_OUTBOX: usize = 8 << 20;

/// What the two processes say to each other, as one line of JSON each.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "say", rename_all = "snake_case")]
pub enum Message {
    /// New to old: it wants to take its place at this address.
    Hello {
        version: u32,
        listen: SocketAddr,
        /// It asks to be a candidate beside the old one. Old versions pass over this.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        rollout: Option<Hail>,
    },
    /// Old to new: not now, for this reason.
    Busy {
        why: String,
    },
    /// Old to new, with the listening socket.
    State(Box<State>),
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
    /// A prefix was blocked, unblocked or made known by hand.
    Admission(AdmissionCall),
    /// What is known of addresses, when clients are handed over.
    Learnt {
        addresses: Learnt,
    },
    /// Old to new: so many connections of clients it still holds, and what it took and ordered since it said
    /// so last.
    Tally {
        clients: usize,
        ration: Ration,
    },
    /// Holder of a rollout to its candidate: the client of a passed call ended its side of the connection then, by the
    /// time that both go by. Versions that do not know this decide the call as if it had not.
    HalfClosed {
        seq: u64,
        since: Micros,
    },
    /// What a later version says besides is passed over.
    #[serde(other)]
    Other,
}

/// How two versions meet for a rollout.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Hail {
    /// Protocols that it speaks; in the answer, the one that is spoken.
    pub protocols: Vec<u32>,
    /// Its name for operators.
    pub version: String,
    /// The classes that it knows, and what they allow.
    pub classes: Vec<ClassPolicy>,
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
    /// What all times told are by. Versions of before went by the wall clock and do not tell it.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub clock: Option<TimeBase>,
    /// What is known of addresses.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub admission: Option<Learnt>,
    /// The new one is a candidate: it takes no clients, and frames follow on both sides.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub rollout: Option<Hail>,
}

impl State {
    /// Takes in what the module passes on.
    pub fn set_legacy(&mut self, legacy: HandoverState) {
        let HandoverState { mut loaded, tallies, served, sends, .. } = legacy;
        loaded.sort_by(|a, b| b.calls.total_cmp(&a.calls));
        let most = loaded.into_iter().take(MOST_LOADED);
        self.loaded = most
            .map(|l| (l.worker.0.to_string(), l.function.0.to_string(), l.lanes, l.copies, l.until, l.calls))
            .collect();
        (self.ration, self.served) = (told(tallies), served);
        self.sends = sends.into_iter().map(|(host, times)| (host.0.to_string(), times)).collect();
    }

    /// ... and gives it out.
    pub fn legacy(&self) -> HandoverState {
        let sends = self.sends.iter().map(|(host, times)| (host.as_str().into(), times.clone()));
        let (tallies, served) = (heard(&self.ration), self.served);
        HandoverState {
            loaded: self.loaded(),
            tallies,
            served,
            sends: sends.collect(),
            sender_keeps_running: false,
        }
    }

    fn loaded(&self) -> Vec<LoadedFunction> {
        let told = self.loaded.iter().map(|(worker, function, lanes, copies, until, calls)| LoadedFunction {
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
    process: Option<Process>,
}

/// The other process: no other one can be hit or asked about by this, whatever its number is used for later.
pub struct Process(OwnedFd);

impl Process {
    /// That at the other end of this connection, if the system tells.
    fn behind(stream: &UnixStream) -> Option<Self> {
        let pid = rustix::net::sockopt::socket_peercred(stream).ok()?.pid;
        pidfd_open(pid, PidfdFlags::empty()).ok().map(Self)
    }

    /// Ends it at once.
    pub fn kill(&self) {
        let _ = pidfd_send_signal(&self.0, Signal::KILL);
    }

    /// Whether it has ended, and with it all its connections.
    pub fn is_dead(&self) -> bool {
        let mut fds = [PollFd::new(&self.0, PollFlags::IN)];
        poll(&mut fds, Some(&Timespec::default())).is_ok_and(|n| n > 0)
    }
}

/// What a new process wants that is to be a candidate.
pub struct Wish {
    pub hail: Hail,
    /// Where the old version cannot take part, a plain upgrade will do.
    pub or_upgrade: bool,
}

/// Why a process did not get another's place.
enum Unmet {
    /// Nobody is there who gives it.
    Nobody(String),
    /// Somebody is there, and it cannot be.
    No(String),
}

/// The clients' address, from now on this process's.
pub struct Place {
    pub listener: TcpListener,
    /// From the process that is there as well, until it ends.
    pub inheritance: Option<Inheritance>,
}

/// Gets the place of the process that runs at this address, or listens there itself. An address that is taken
/// by somebody who gives nothing may be one that is just being left.
pub fn claim(address: SocketAddr, wish: Option<&Wish>) -> Result<Place, String> {
    let begun = Instant::now();
    loop {
        match greet(address, wish) {
            Ok(place) => return Ok(place),
            Err(Unmet::Nobody(problem)) => eprintln!("nobody gives its place: {problem}"),
            Err(Unmet::No(why)) => return Err(why),
        }
        match listener::listen(address) {
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
fn greet(address: SocketAddr, wish: Option<&Wish>) -> Result<Place, Unmet> {
    let nobody = |why: &str| Unmet::Nobody(why.into());
    let problem = |e: io::Error| Unmet::Nobody(e.to_string());
    let begun = Instant::now();
    // Waited for in all, however it is told: whoever sends a byte now and then is not there either.
    let left = || Some(GREETING.saturating_sub(begun.elapsed()).max(SHORTEST));
    let stream = connect(&meeting_place(address)).map_err(problem)?;
    stream.set_write_timeout(left()).map_err(problem)?;
    if !is_own(&stream) {
        return Err(nobody("it runs for another user"));
    }
    let rollout = wish.map(|w| w.hail.clone());
    let mut bytes = line(&Message::Hello { version: VERSION, listen: address, rollout });
    io::Write::write_all(&mut &stream, &bytes).map_err(problem)?;
    bytes.clear();
    let (mut socket, mut piece) = (None, vec![0; 64 << 10]);
    let end = loop {
        stream.set_read_timeout(left()).map_err(problem)?;
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
        if got.bytes == 0 || bytes.len() > LONGEST || begun.elapsed() > GREETING {
            return Err(nobody("it did not tell its state"));
        }
        bytes.extend(&piece[..got.bytes]);
        if let Some(end) = bytes.iter().position(|b| *b == b'\n') {
            break end;
        }
    };
    let rest = bytes.split_off(end + 1);
    let state = match serde_json::from_slice(&bytes) {
        Ok(Message::State(state)) => *state,
        Ok(Message::Busy { why }) => return Err(Unmet::No(format!("the running process says: {why}"))),
        _ => return Err(nobody("what it told is no state")),
    };
    if wish.is_some_and(|w| state.rollout.is_none() && !w.or_upgrade) {
        let why = "the running version takes no part in a rollout; with old_cannot = \"upgrade\" a plain upgrade is done";
        return Err(Unmet::No(why.into()));
    }
    let socket: OwnedFd = socket.ok_or_else(|| nobody("it gave no listening socket"))?;
    let listener = TcpListener::from(socket);
    match listener.local_addr() {
        Ok(at) if at == address => {
            let process = Process::behind(&stream);
            Ok(Place { listener, inheritance: Some(Inheritance { state, stream, rest, process }) })
        }
        at => Err(Unmet::Nobody(format!("it listens elsewhere: {at:?}"))),
    }
}

/// Connects at once or not at all: a blocking connect waits without end for a process that takes nobody in and whose
/// queue is full.
fn connect(path: &Path) -> io::Result<UnixStream> {
    let socket = Socket::new(Domain::UNIX, Type::STREAM, None)?;
    socket.set_nonblocking(true)?;
    socket.connect(&SockAddr::unix(path)?)?;
    socket.set_nonblocking(false)?;
    Ok(OwnedFd::from(socket).into())
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
    /// Frames are spoken instead of lines.
    channel: bool,
    /// The other side takes nothing more; what it said before may still be read.
    deaf: bool,
    /// Bytes that were given to be written, and bytes that the system has taken.
    given: u64,
    taken: u64,
}

/// What came whole.
#[derive(Debug)]
enum Heard {
    Line(Message),
    Word(Word),
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
        let (channel, deaf, given, taken) = (false, false, 0, 0);
        Ok(Self {
            handle: handle.clone(),
            stream,
            token,
            inbox,
            outbox,
            socket: None,
            channel,
            deaf,
            given,
            taken,
        })
    }

    /// Frames from now on, both ways: what came behind the last line is one already.
    fn speak_frames(&mut self) {
        let rest = self.inbox.copy(0, self.inbox.len()).unwrap_or_default();
        self.inbox = Ring::new(IPC_INBOX);
        self.inbox.push(&rest);
        let rest = self.outbox.copy(0, self.outbox.len()).unwrap_or_default();
        self.outbox = Ring::new(LANE_OUTBOX);
        self.outbox.push(&rest);
        self.channel = true;
    }

    /// Gives bytes to be written; where the other side is not seen to take them, they are dropped.
    fn give(&mut self, bytes: &[u8]) -> io::Result<()> {
        if self.deaf {
            return Ok(());
        }
        if !self.outbox.push(bytes) {
            return Err(ErrorKind::OutOfMemory.into());
        }
        self.given += bytes.len() as u64;
        self.flush()
    }

    fn send(&mut self, message: &Message) -> io::Result<()> {
        self.give(&line(message))
    }

    fn flush(&mut self) -> io::Result<()> {
        while !self.outbox.is_empty() {
            let before = self.outbox.len();
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
            self.taken += (before - self.outbox.len()) as u64;
            match sent {
                Ok(()) => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                // Whoever shuts its ear may have something to say before it goes.
                Err(_) if self.channel => {
                    self.deaf = true;
                    self.outbox.consume(usize::MAX);
                }
                Err(e) => return Err(e),
            }
        }
        Ok(())
    }

    /// What has come whole, and why nothing more will where that is so.
    fn read(&mut self) -> (Vec<Heard>, Option<String>) {
        let mut heard = Vec::new();
        loop {
            match self.inbox.read_from(&mut &*self.stream) {
                Ok(0) => return (heard, Some("its connection has ended".into())),
                Ok(_) => {
                    if let Err(problem) = self.take(&mut heard) {
                        return (heard, Some(problem));
                    }
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return (heard, None),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return (heard, Some(format!("its connection broke: {e}"))),
            }
        }
    }

    fn take(&mut self, heard: &mut Vec<Heard>) -> Result<(), String> {
        while self.channel {
            match ipc::next(&mut self.inbox)? {
                Some(word) => heard.push(Heard::Word(word)),
                None => return Ok(()),
            }
        }
        // One line at a time: frames may follow the next.
        let bytes = self.inbox.copy(0, self.inbox.len()).unwrap_or_default();
        let mut rest = &bytes[..];
        while let Some(end) = rest.iter().position(|b| *b == b'\n') {
            let message = serde_json::from_slice(&rest[..end]);
            heard.push(Heard::Line(message.map_err(|e| format!("a line that is no message: {e}"))?));
            rest = &rest[end + 1..];
        }
        self.inbox.consume(bytes.len() - rest.len());
        if self.inbox.room() == 0 {
            return Err("a line that does not end".into());
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
    /// A new process wants this one's place: it is to be told the state. Or it wants to be a candidate.
    Arrived(ConnId, Option<Hail>),
    /// The peer said so.
    Said(Message),
    /// The peer of a rollout said so.
    Word(Box<Word>),
    /// The peer is gone or cannot be understood, for this reason.
    Left(String),
}

/// See the module's page.
pub struct Upgrade {
    handle: Handle,
    address: SocketAddr,
    path: PathBuf,
    announcement: Option<(Rc<UnixListener>, RegistrationToken)>,
    wires: BTreeMap<ConnId, Wire>,
    peer: Option<ConnId>,
    process: Option<Process>,
    pub news: VecDeque<News>,
}

impl Upgrade {
    /// With the connection to the process whose place this one takes, if there is one.
    pub fn new(handle: &Handle, address: SocketAddr, inheritance: Option<Inheritance>) -> io::Result<Self> {
        let mut upgrade = Self {
            handle: handle.clone(),
            address,
            path: meeting_place(address),
            announcement: None,
            wires: BTreeMap::new(),
            peer: None,
            process: None,
            news: VecDeque::new(),
        };
        if let Some(Inheritance { stream, rest, process, state }) = inheritance {
            let id = crate::conn::fresh_id();
            let mut wire = Wire::new(handle, id, stream)?;
            if state.rollout.is_some() {
                wire.speak_frames();
            }
            wire.inbox.push(&rest);
            let mut heard = Vec::new();
            let fault = wire.take(&mut heard).err();
            upgrade.wires.insert(id, wire);
            (upgrade.peer, upgrade.process) = (Some(id), process);
            upgrade.hear(id, heard, fault);
        }
        Ok(upgrade)
    }

    /// Is found from now on by those that come, instead of whoever was before. The socket is made under
    /// another name first, so that there is one at any time.
    pub fn announce(&mut self, address: SocketAddr) -> io::Result<()> {
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
        self.announcement = Some((listener, token));
        Ok(())
    }

    /// Is found no longer; the file stays, as it may be another's by now.
    fn fade(&mut self) {
        if let Some((_, token)) = self.announcement.take() {
            self.handle.remove(token);
        }
    }

    pub fn accept(&mut self) {
        let Some((listener, _)) = &self.announcement else { return };
        let Ok((stream, _)) = listener.accept() else { return };
        if !is_own(&stream) {
            return;
        }
        let id = crate::conn::fresh_id();
        if let Ok(wire) = Wire::new(&self.handle, id, stream) {
            self.wires.insert(id, wire);
            let guests: Vec<_> = self.wires.keys().copied().filter(|id| Some(*id) != self.peer).collect();
            if guests.len() > MAX_PENDING_HANDSHAKES {
                self.drop_wire(guests[0], "it said nothing");
            }
            self.ready(id);
        }
    }

    /// The connection has something to say, or may take more.
    pub fn ready(&mut self, id: ConnId) {
        let Some(wire) = self.wires.get_mut(&id) else { return };
        let failed = wire.flush().err().map(|e| format!("it takes nothing: {e}"));
        let (heard, end) = wire.read();
        self.hear(id, heard, failed.or(end));
    }

    fn hear(&mut self, id: ConnId, heard: Vec<Heard>, end: Option<String>) {
        for heard in heard {
            let is_peer = self.peer == Some(id);
            match heard {
                Heard::Line(Message::Hello { version: VERSION, listen, rollout })
                    if listen == self.address =>
                {
                    self.news.push_back(News::Arrived(id, rollout))
                }
                Heard::Line(message) if is_peer => self.news.push_back(News::Said(message)),
                Heard::Word(Word::Say(text)) if is_peer => match serde_json::from_str(&text) {
                    Ok(message) => self.news.push_back(News::Said(message)),
                    Err(e) => return self.drop_wire(id, &format!("a message that cannot be read: {e}")),
                },
                Heard::Word(word) if is_peer => self.news.push_back(News::Word(Box::new(word))),
                _ => return self.drop_wire(id, "it spoke out of turn"),
            }
        }
        if let Some(why) = end {
            self.drop_wire(id, &why);
        }
    }

    fn drop_wire(&mut self, id: ConnId, why: &str) {
        if let Some(wire) = self.wires.remove(&id) {
            wire.close();
        }
        if self.peer == Some(id) {
            self.peer = None;
            self.news.push_back(News::Left(why.into()));
        }
    }

    /// Looks whether the peer has said anything that the loop has not told of yet.
    pub fn poll_peer(&mut self) {
        if let Some(id) = self.peer {
            self.ready(id);
        }
    }

    /// The peer's process, where the system told of it: whoever takes it asks whether it has ended.
    pub fn take_process(&mut self) -> Option<Process> {
        self.process.take()
    }

    /// Tells one that arrived why it cannot be, and lets it go.
    pub fn turn_away(&mut self, id: ConnId, why: &str) {
        if let Some(wire) = self.wires.get_mut(&id) {
            let _ = wire.send(&Message::Busy { why: why.into() });
        }
        if self.peer != Some(id) {
            self.drop_wire(id, why);
        }
    }

    fn channel(&mut self) -> Option<&mut Wire> {
        self.peer.and_then(|id| self.wires.get_mut(&id)).filter(|wire| wire.channel)
    }

    /// Says a word to the peer of a rollout. By which byte it will have left, for [`Upgrade::taken`]; `None`
    /// where it never will.
    pub fn say(&mut self, word: &Word) -> Option<u64> {
        let bytes = ipc::frame(word);
        let wire = self.channel().filter(|wire| !wire.deaf)?;
        if wire.give(&bytes?).is_err() {
            let id = self.peer?;
            self.drop_wire(id, "it does not read what it is told");
            return None;
        }
        Some(wire.given)
    }

    /// Bytes that the system has taken for the peer: from then on they reach it, even if this process ends.
    pub fn taken(&mut self) -> u64 {
        self.channel().map_or(0, |wire| wire.taken)
    }

    /// Bytes that the peer has not made room for yet.
    pub fn backlog(&mut self) -> usize {
        self.channel().map_or(0, |wire| wire.outbox.len())
    }

    /// Ends what the peer can tell: what the system has taken by now can be read, and nothing more will be
    /// taken (unix(7): a write fails with EPIPE once the reader has shut down). Then reads all of it.
    pub fn cut(&mut self) {
        let Some(id) = self.peer else { return };
        if let Some(wire) = self.wires.get(&id) {
            let _ = wire.stream.shutdown(Shutdown::Read);
        }
        self.ready(id);
    }

    /// The peer is not wanted any more.
    pub fn drop_peer(&mut self, why: &str) {
        if let Some(id) = self.peer {
            self.drop_wire(id, why);
        }
    }

    /// Gives the one that arrived the state and the listening socket: it is the peer from now on.
    pub fn hand_over(&mut self, id: ConnId, state: State, socket: OwnedFd) {
        let Some(wire) = self.wires.get_mut(&id) else { return };
        wire.socket = Some(socket);
        let channel = state.rollout.is_some();
        let sent = wire.send(&Message::State(Box::new(state)));
        if channel {
            wire.speak_frames();
        }
        self.process = Process::behind(&wire.stream);
        let before = self.peer.replace(id).filter(|before| *before != id);
        if let Some(wire) = before.and_then(|id| self.wires.remove(&id)) {
            wire.close();
        }
        if sent.is_err() {
            self.drop_wire(id, "it does not take the state");
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
        if wire.channel {
            let text = serde_json::to_string(message).expect("a message has a form in JSON");
            self.say(&Word::Say(text));
        } else if wire.send(message).is_err() {
            self.drop_wire(id, "it does not read what it is told");
        }
    }

    /// The process ends: whoever comes later is not to find what it leaves behind.
    pub fn shut_down(&mut self) {
        let own = self.announcement.is_some() && self.peer.is_none();
        self.fade();
        if own {
            let _ = std::fs::remove_file(&self.path);
        }
        let ids: Vec<_> = self.wires.keys().copied().collect();
        ids.into_iter().for_each(|id| self.drop_wire(id, "this process ends"));
    }
}

#[cfg(test)]
mod tests;
