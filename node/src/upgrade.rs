//! Takeover: a new process replaces a running one without losing a client.
//!
//! The running process listens on a Unix socket whose file name is derived from the clients' address. A new process
//! sends `hello` there and receives the state that it cannot get elsewhere, together with the listening socket
//! itself, so that connections queued on that socket are not lost. Until the old process ends, each process forwards
//! operator commands to the other.

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
use wheellink_admission::LearnedState;
use wheellink_rollout::ClassPolicy;

use crate::clock::TimeBase;
use crate::conn::ConnId;
use crate::control::AdmissionCommand;
use crate::descriptors::MAX_PENDING_HANDSHAKES;
use crate::ipc::{self, Frame};
use crate::listener;
use crate::ring::Ring;
use crate::startup::{BUSY_TIMEOUT, RETRY_DELAY, TAKEOVER_TIMEOUT};
use crate::wake::{Handle, Wake, Wakes};

/// Version of the JSON messages; it changes with their meaning. A connection with another version in its `hello` is closed.
const PROTOCOL_VERSION: u32 = 1;
/// Lower bound of socket timeouts. Without a timeout, a call could block forever, and a timeout of zero is an error.
const MIN_TIMEOUT: Duration = Duration::from_millis(1);
/// Longest JSON message, which is the state.
const MAX_MESSAGE_BYTES: usize = 2 << 20;
/// Limit of the loaded functions in the state; those with the most calls are kept.
const MAX_LOADED_FUNCTIONS: usize = 4000;
/// Buffer sizes of the connection between the two processes of a rollout.
const FRAME_INBOX_BYTES: usize = ipc::MAX_FRAME_BYTES + 4;
const FRAME_OUTBOX_BYTES: usize = 8 << 20;

/// Messages between the two processes, each one line of JSON.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "say", rename_all = "snake_case")]
pub enum Message {
    /// New process to old: asks to take over this address.
    Hello {
        version: u32,
        listen: SocketAddr,
        /// Present when the new process asks to run as the candidate of a rollout. Older versions ignore this field.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        rollout: Option<VersionInfo>,
    },
    /// Old process to new: the takeover is refused, for this reason.
    Busy { why: String },
    /// Old process to new: its state. The listening socket is passed along with the first byte.
    State(Box<ProcessState>),
    /// New process to old: the new process accepts clients from now on.
    Ready,
    /// An operator took a host out of service, or put it back in.
    Host { id: String, out: bool },
    /// An operator switched standby on or off.
    Standby { on: bool },
    /// An operator blocked or unblocked a prefix, or changed whether it is known.
    Admission(AdmissionCommand),
    /// Holder of a rollout to its candidate, when it hands over the clients: what admission has learned of addresses.
    #[serde(rename = "learnt")]
    Learned { addresses: LearnedState },
    /// Old process to new: the number of client connections that it still holds, and its calls and load orders since
    /// its previous message of this kind.
    Tally {
        clients: usize,
        #[serde(rename = "ration")]
        tallies: TallyRows,
    },
    /// Either process: the clients of requests with these ids have left, or ended their side of the connection. The requests
    /// may have run, so the other process must not run them if they come again. Older versions ignore it.
    Departed { ids: Vec<String> },
    /// Holder of a rollout to its candidate: the client of a passed call closed its sending side at this time, on the
    /// clock that both processes share. Versions without this message decide the call as if the client had not.
    HalfClosed { seq: u64, since: Micros },
    /// A message that only later versions know; ignored.
    #[serde(other)]
    Other,
}

/// What two versions exchange before a rollout: each describes itself.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct VersionInfo {
    /// Frame protocols that it supports; in the answer, the one that is used.
    pub protocols: Vec<u32>,
    /// The version name that operators see.
    pub version: String,
    /// The classes in its settings, with their rollout policies.
    pub classes: Vec<ClassPolicy>,
}

/// Tallies for the load budget as they are sent: time, calls, load orders.
pub type TallyRows = Vec<(Micros, u32, u32)>;

/// Converts tallies to the format of the messages.
pub fn to_rows(tallies: Vec<Tally>) -> TallyRows {
    tallies.into_iter().map(|t| (t.at, t.calls, t.orders)).collect()
}

/// Converts tallies from the format of the messages.
pub fn from_rows(rows: &TallyRows) -> Vec<Tally> {
    rows.iter().map(|(at, calls, orders)| Tally { at: *at, calls: *calls, orders: *orders }).collect()
}

/// The state that the old process hands to the new one, which cannot get it elsewhere.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct ProcessState {
    /// Hosts that operators have taken out of service.
    pub out: Vec<String>,
    pub standby: bool,
    /// The address of the event bus, and the number of the last event read from it.
    pub bus: Option<(SocketAddr, u64)>,
    /// Functions assumed to be loaded: host, function, lanes, copies, end of that assumption, calls.
    pub loaded: Vec<(String, String, u32, u32, Micros, f64)>,
    #[serde(rename = "ration")]
    pub tallies: TallyRows,
    /// Calls served per second.
    #[serde(rename = "served")]
    pub served_per_s: f64,
    /// Recent attempts that were sent to cold hosts: host, times.
    #[serde(rename = "sends")]
    pub cold_sends: Vec<(String, Vec<Micros>)>,
    /// The time base of all times in the messages. Older versions use the wall clock and send none.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub clock: Option<TimeBase>,
    /// Ids of requests that may have run, or may still run, at the old process.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub departed: Vec<String>,
    /// What admission has learned of client addresses.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub admission: Option<LearnedState>,
    /// Present when the new process is a candidate: it accepts no clients, and both sides send frames from here on.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub rollout: Option<VersionInfo>,
}

impl ProcessState {
    /// Stores what the routing engine hands over.
    pub fn set_engine_state(&mut self, engine: HandoverState) {
        let HandoverState { mut loaded, tallies, served, sends, .. } = engine;
        loaded.sort_by(|a, b| b.calls.total_cmp(&a.calls));
        let kept = loaded.into_iter().take(MAX_LOADED_FUNCTIONS);
        self.loaded = kept
            .map(|l| (l.worker.0.to_string(), l.function.0.to_string(), l.lanes, l.copies, l.until, l.calls))
            .collect();
        (self.tallies, self.served_per_s) = (to_rows(tallies), served);
        self.cold_sends = sends.into_iter().map(|(host, times)| (host.0.to_string(), times)).collect();
    }

    /// Returns what the routing engine of the new process takes over.
    pub fn engine_state(&self) -> HandoverState {
        let sends = self.cold_sends.iter().map(|(host, times)| (host.as_str().into(), times.clone()));
        let (tallies, served) = (from_rows(&self.tallies), self.served_per_s);
        HandoverState {
            loaded: self.loaded(),
            tallies,
            served,
            sends: sends.collect(),
            sender_keeps_running: false,
        }
    }

    fn loaded(&self) -> Vec<LoadedFunction> {
        let list = self.loaded.iter().map(|(worker, function, lanes, copies, until, calls)| LoadedFunction {
            worker: worker.as_str().into(),
            function: function.as_str().into(),
            lanes: *lanes,
            copies: *copies,
            until: *until,
            calls: *calls,
        });
        list.collect()
    }
}

/// The running process that a new one takes over from: its state, and the connection to it.
pub struct Predecessor {
    pub state: ProcessState,
    stream: UnixStream,
    /// Bytes that arrived after the state.
    rest: Vec<u8>,
    process: Option<Process>,
}

/// The other process, held by a pidfd: signals and queries cannot reach another process that reuses its pid.
pub struct Process(OwnedFd);

impl Process {
    /// The process at the other end of this connection, if the system reports it.
    fn of_peer(stream: &UnixStream) -> Option<Self> {
        let pid = rustix::net::sockopt::socket_peercred(stream).ok()?.pid;
        pidfd_open(pid, PidfdFlags::empty()).ok().map(Self)
    }

    /// Ends the process at once, with SIGKILL.
    pub fn kill(&self) {
        let _ = pidfd_send_signal(&self.0, Signal::KILL);
    }

    /// Whether the process has ended, and all its connections with it.
    pub fn is_dead(&self) -> bool {
        let mut fds = [PollFd::new(&self.0, PollFlags::IN)];
        poll(&mut fds, Some(&Timespec::default())).is_ok_and(|n| n > 0)
    }
}

/// A new process's request to become the candidate of a rollout.
pub struct Candidacy {
    pub info: VersionInfo,
    /// Whether to do a plain upgrade when the old version does not support rollouts.
    pub or_upgrade: bool,
}

/// Why a takeover failed.
enum ClaimError {
    /// No running process handed over its state and socket.
    NoProcess(String),
    /// The running process refused.
    Refused(String),
}

/// The listening socket of the clients' address, which this process now has.
pub struct Claim {
    pub listener: TcpListener,
    /// The process that this one takes over from, which runs on until it has ended its work.
    pub predecessor: Option<Predecessor>,
}

/// Takes over the address from the process that runs there, or binds it. An address that is in use although no process
/// hands it over may belong to a process that is just ending, so binding is retried for [`BUSY_TIMEOUT`].
pub fn claim(address: SocketAddr, request: Option<&Candidacy>) -> Result<Claim, String> {
    let begun = Instant::now();
    loop {
        match request_takeover(address, request) {
            Ok(claim) => return Ok(claim),
            Err(ClaimError::NoProcess(problem)) => eprintln!("nobody gives its place: {problem}"),
            Err(ClaimError::Refused(why)) => return Err(why),
        }
        match listener::listen(address) {
            Ok(listener) => return Ok(Claim { listener, predecessor: None }),
            Err(e) if e.kind() == ErrorKind::AddrInUse && begun.elapsed() < BUSY_TIMEOUT => {
                sleep(RETRY_DELAY)
            }
            Err(e) => return Err(format!("cannot listen on {address}: {e}")),
        }
    }
}

/// The Unix socket at which the process that serves this clients' address accepts takeovers.
pub fn socket_path(address: SocketAddr) -> PathBuf {
    let name = format!("wheellink-{}.sock", address.to_string().replace([':', '[', ']'], "-"));
    std::env::temp_dir().join(name)
}

/// Asks the process that serves this address, if there is one, to hand it over. A socket file that a dead process left
/// behind accepts no connection. A process that hands over a socket of another address is not the one asked for.
fn request_takeover(address: SocketAddr, request: Option<&Candidacy>) -> Result<Claim, ClaimError> {
    let no_process = |why: &str| ClaimError::NoProcess(why.into());
    let problem = |e: io::Error| ClaimError::NoProcess(e.to_string());
    let begun = Instant::now();
    // One time limit for the whole exchange: a process that only sends a byte now and then must not extend it.
    let remaining = || Some(TAKEOVER_TIMEOUT.saturating_sub(begun.elapsed()).max(MIN_TIMEOUT));
    let stream = connect(&socket_path(address)).map_err(problem)?;
    stream.set_write_timeout(remaining()).map_err(problem)?;
    if !is_own(&stream) {
        return Err(no_process("it runs for another user"));
    }
    let rollout = request.map(|r| r.info.clone());
    let mut bytes = line(&Message::Hello { version: PROTOCOL_VERSION, listen: address, rollout });
    io::Write::write_all(&mut &stream, &bytes).map_err(problem)?;
    bytes.clear();
    let (mut socket, mut chunk) = (None, vec![0; 64 << 10]);
    let end = loop {
        stream.set_read_timeout(remaining()).map_err(problem)?;
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
        let mut passed = RecvAncillaryBuffer::new(&mut space);
        let chunks = &mut [IoSliceMut::new(&mut chunk)];
        let got =
            recvmsg(&stream, chunks, &mut passed, RecvFlags::CMSG_CLOEXEC).map_err(|e| problem(e.into()))?;
        for message in passed.drain() {
            if let RecvAncillaryMessage::ScmRights(mut sockets) = message {
                socket = sockets.next().or(socket);
            }
        }
        if got.bytes == 0 || bytes.len() > MAX_MESSAGE_BYTES || begun.elapsed() > TAKEOVER_TIMEOUT {
            return Err(no_process("it did not send its state"));
        }
        bytes.extend(&chunk[..got.bytes]);
        if let Some(end) = bytes.iter().position(|b| *b == b'\n') {
            break end;
        }
    };
    let rest = bytes.split_off(end + 1);
    let state = match serde_json::from_slice(&bytes) {
        Ok(Message::State(state)) => *state,
        Ok(Message::Busy { why }) => {
            return Err(ClaimError::Refused(format!("the running process says: {why}")))
        }
        _ => return Err(no_process("its answer is not a state message")),
    };
    if request.is_some_and(|r| state.rollout.is_none() && !r.or_upgrade) {
        let why = "the running version takes no part in a rollout; with old_cannot = \"upgrade\" a plain upgrade is done";
        return Err(ClaimError::Refused(why.into()));
    }
    let socket: OwnedFd = socket.ok_or_else(|| no_process("it passed no listening socket"))?;
    let listener = TcpListener::from(socket);
    match listener.local_addr() {
        Ok(at) if at == address => {
            let process = Process::of_peer(&stream);
            Ok(Claim { listener, predecessor: Some(Predecessor { state, stream, rest, process }) })
        }
        at => Err(ClaimError::NoProcess(format!("its socket has another address: {at:?}"))),
    }
}

/// Connects without blocking: a blocking connect would wait forever for a process that accepts no connections and
/// whose backlog is full.
fn connect(path: &Path) -> io::Result<UnixStream> {
    let socket = Socket::new(Domain::UNIX, Type::STREAM, None)?;
    socket.set_nonblocking(true)?;
    socket.connect(&SockAddr::unix(path)?)?;
    socket.set_nonblocking(false)?;
    Ok(OwnedFd::from(socket).into())
}

/// Whether the peer process runs as the same user: other users may have access to the directory.
fn is_own(stream: &UnixStream) -> bool {
    rustix::net::sockopt::socket_peercred(stream).is_ok_and(|peer| peer.uid == rustix::process::geteuid())
}

fn line(message: &Message) -> Vec<u8> {
    let mut bytes = serde_json::to_vec(message).expect("messages can be encoded as JSON");
    bytes.push(b'\n');
    bytes
}

/// One connection between two processes.
struct Connection {
    handle: Handle,
    stream: Rc<UnixStream>,
    token: RegistrationToken,
    inbox: Ring,
    outbox: Ring,
    /// The listening socket, to be passed with the first byte that is sent.
    socket: Option<OwnedFd>,
    /// Whether both sides send frames instead of lines.
    framed: bool,
    /// The peer no longer reads; what it sent before can still be received.
    write_closed: bool,
    /// Bytes queued for sending since the start.
    queued_bytes: u64,
    /// Bytes that the system has accepted for sending since the start.
    sent_bytes: u64,
}

/// A complete line or frame.
#[derive(Debug)]
enum Received {
    Line(Message),
    Frame(Frame),
}

impl Connection {
    fn new(handle: &Handle, id: ConnId, stream: UnixStream) -> io::Result<Self> {
        stream.set_nonblocking(true)?;
        let stream = Rc::new(stream);
        let source = Generic::new(stream.clone(), Interest::BOTH, Mode::Edge);
        let token = handle.insert_source(source, move |_, _, wakes: &mut Wakes| {
            wakes.push(Wake::Peer(id));
            Ok(PostAction::Continue)
        });
        let token = token.map_err(|e| io::Error::other(e.error.to_string()))?;
        let (inbox, outbox) = (Ring::new(64 << 10), Ring::new(MAX_MESSAGE_BYTES));
        let (framed, write_closed, queued_bytes, sent_bytes) = (false, false, 0, 0);
        Ok(Self {
            handle: handle.clone(),
            stream,
            token,
            inbox,
            outbox,
            socket: None,
            framed,
            write_closed,
            queued_bytes,
            sent_bytes,
        })
    }

    /// Switches both directions to frames; bytes that arrived after the last line belong to frames already.
    fn switch_to_frames(&mut self) {
        let rest = self.inbox.copy(0, self.inbox.len()).unwrap_or_default();
        self.inbox = Ring::new(FRAME_INBOX_BYTES);
        self.inbox.push(&rest);
        let rest = self.outbox.copy(0, self.outbox.len()).unwrap_or_default();
        self.outbox = Ring::new(FRAME_OUTBOX_BYTES);
        self.outbox.push(&rest);
        self.framed = true;
    }

    /// Queues bytes for sending. Drops them when the peer no longer reads.
    fn queue(&mut self, bytes: &[u8]) -> io::Result<()> {
        if self.write_closed {
            return Ok(());
        }
        if !self.outbox.push(bytes) {
            return Err(ErrorKind::OutOfMemory.into());
        }
        self.queued_bytes += bytes.len() as u64;
        self.flush()
    }

    fn send(&mut self, message: &Message) -> io::Result<()> {
        self.queue(&line(message))
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
            self.sent_bytes += (before - self.outbox.len()) as u64;
            match sent {
                Ok(()) => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                // A peer that has stopped reading may still send data before it ends.
                Err(_) if self.framed => {
                    self.write_closed = true;
                    self.outbox.consume(usize::MAX);
                }
                Err(e) => return Err(e),
            }
        }
        Ok(())
    }

    /// Returns complete lines and frames, and the reason if the connection has failed or ended.
    fn read(&mut self) -> (Vec<Received>, Option<String>) {
        let mut received = Vec::new();
        loop {
            match self.inbox.read_from(&mut &*self.stream) {
                Ok(0) => return (received, Some("the connection has ended".into())),
                Ok(_) => {
                    if let Err(problem) = self.parse(&mut received) {
                        return (received, Some(problem));
                    }
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return (received, None),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return (received, Some(format!("the connection failed: {e}"))),
            }
        }
    }

    fn parse(&mut self, received: &mut Vec<Received>) -> Result<(), String> {
        while self.framed {
            match ipc::decode_next(&mut self.inbox)? {
                Some(frame) => received.push(Received::Frame(frame)),
                None => return Ok(()),
            }
        }
        // One line at a time: frames may follow it.
        let bytes = self.inbox.copy(0, self.inbox.len()).unwrap_or_default();
        let mut rest = &bytes[..];
        while let Some(end) = rest.iter().position(|b| *b == b'\n') {
            let message = serde_json::from_slice(&rest[..end]);
            received.push(Received::Line(message.map_err(|e| format!("an invalid message line: {e}"))?));
            rest = &rest[end + 1..];
        }
        self.inbox.consume(bytes.len() - rest.len());
        if self.inbox.room() == 0 {
            return Err("a line longer than the receive buffer".into());
        }
        Ok(())
    }

    fn close(self) {
        self.handle.remove(self.token);
    }
}

/// What happened on the connections to other processes.
#[derive(Debug, PartialEq)]
pub enum PeerEvent {
    /// A new process asks to take over, or to become a candidate if it sends its version info.
    Arrived(ConnId, Option<VersionInfo>),
    /// A JSON message from the peer.
    Message(Message),
    /// A frame from the peer of a rollout.
    Frame(Box<Frame>),
    /// The connection to the peer was dropped, for this reason.
    Disconnected(String),
}

/// The connections to other processes of the clients' address: at most one to the peer, and new ones that have not become
/// the peer yet.
pub struct Upgrade {
    handle: Handle,
    address: SocketAddr,
    path: PathBuf,
    listener: Option<(Rc<UnixListener>, RegistrationToken)>,
    conns: BTreeMap<ConnId, Connection>,
    peer: Option<ConnId>,
    process: Option<Process>,
    pub events: VecDeque<PeerEvent>,
}

impl Upgrade {
    /// Starts with the connection to the process that this one takes over from, if there is one.
    pub fn new(handle: &Handle, address: SocketAddr, predecessor: Option<Predecessor>) -> io::Result<Self> {
        let mut upgrade = Self {
            handle: handle.clone(),
            address,
            path: socket_path(address),
            listener: None,
            conns: BTreeMap::new(),
            peer: None,
            process: None,
            events: VecDeque::new(),
        };
        if let Some(Predecessor { stream, rest, process, state }) = predecessor {
            let id = crate::conn::fresh_id();
            let mut conn = Connection::new(handle, id, stream)?;
            if state.rollout.is_some() {
                conn.switch_to_frames();
            }
            conn.inbox.push(&rest);
            let mut received = Vec::new();
            let fault = conn.parse(&mut received).err();
            upgrade.conns.insert(id, conn);
            (upgrade.peer, upgrade.process) = (Some(id), process);
            upgrade.handle_received(id, received, fault);
        }
        Ok(upgrade)
    }

    /// Accepts takeovers for this address from now on, instead of the process that did so before. The socket is bound
    /// under another name and renamed, so that the path exists at any time.
    pub fn listen(&mut self, address: SocketAddr) -> io::Result<()> {
        self.stop_listening();
        (self.address, self.path) = (address, socket_path(address));
        let temporary = self.path.with_extension(format!("{}", std::process::id()));
        let _ = std::fs::remove_file(&temporary);
        let listener = UnixListener::bind(&temporary)?;
        std::fs::rename(&temporary, &self.path)?;
        listener.set_nonblocking(true)?;
        let listener = Rc::new(listener);
        let source = Generic::new(listener.clone(), Interest::READ, Mode::Level);
        let token = self.handle.insert_source(source, |_, _, wakes: &mut Wakes| {
            wakes.push(Wake::PeerArrival);
            Ok(PostAction::Continue)
        });
        let token = token.map_err(|e| io::Error::other(e.error.to_string()))?;
        self.listener = Some((listener, token));
        Ok(())
    }

    /// Stops accepting takeovers. Keeps the socket file, which another process may have replaced by now.
    fn stop_listening(&mut self) {
        if let Some((_, token)) = self.listener.take() {
            self.handle.remove(token);
        }
    }

    /// Accepts a connection of another process of the same user. Too many new ones displace the oldest.
    pub fn accept(&mut self) {
        let Some((listener, _)) = &self.listener else { return };
        let Ok((stream, _)) = listener.accept() else { return };
        if !is_own(&stream) {
            return;
        }
        let id = crate::conn::fresh_id();
        if let Ok(conn) = Connection::new(&self.handle, id, stream) {
            self.conns.insert(id, conn);
            let pending: Vec<_> = self.conns.keys().copied().filter(|id| Some(*id) != self.peer).collect();
            if pending.len() > MAX_PENDING_HANDSHAKES {
                self.drop_conn(pending[0], "it sent no hello");
            }
            self.ready(id);
        }
    }

    /// Handles a connection that is ready to be read or written.
    pub fn ready(&mut self, id: ConnId) {
        let Some(conn) = self.conns.get_mut(&id) else { return };
        let failed = conn.flush().err().map(|e| format!("sending failed: {e}"));
        let (received, end) = conn.read();
        self.handle_received(id, received, failed.or(end));
    }

    fn handle_received(&mut self, id: ConnId, received: Vec<Received>, end: Option<String>) {
        for received in received {
            let is_peer = self.peer == Some(id);
            match received {
                Received::Line(Message::Hello { version: PROTOCOL_VERSION, listen, rollout })
                    if listen == self.address =>
                {
                    self.events.push_back(PeerEvent::Arrived(id, rollout))
                }
                Received::Line(message) if is_peer => self.events.push_back(PeerEvent::Message(message)),
                Received::Frame(Frame::Json(text)) if is_peer => match serde_json::from_str(&text) {
                    Ok(message) => self.events.push_back(PeerEvent::Message(message)),
                    Err(e) => return self.drop_conn(id, &format!("a message that cannot be decoded: {e}")),
                },
                Received::Frame(frame) if is_peer => self.events.push_back(PeerEvent::Frame(Box::new(frame))),
                _ => return self.drop_conn(id, "an unexpected message"),
            }
        }
        if let Some(why) = end {
            self.drop_conn(id, &why);
        }
    }

    fn drop_conn(&mut self, id: ConnId, why: &str) {
        if let Some(conn) = self.conns.remove(&id) {
            conn.close();
        }
        if self.peer == Some(id) {
            self.peer = None;
            self.events.push_back(PeerEvent::Disconnected(why.into()));
        }
    }

    /// Reads what the peer has sent and the event loop has not reported yet.
    pub fn poll_peer(&mut self) {
        if let Some(id) = self.peer {
            self.ready(id);
        }
    }

    /// Returns the peer's process, if the system reported it. The caller then checks whether it has ended.
    pub fn take_process(&mut self) -> Option<Process> {
        self.process.take()
    }

    /// Sends a new process the reason why it is refused, and closes its connection.
    pub fn refuse(&mut self, id: ConnId, why: &str) {
        if let Some(conn) = self.conns.get_mut(&id) {
            let _ = conn.send(&Message::Busy { why: why.into() });
        }
        if self.peer != Some(id) {
            self.drop_conn(id, why);
        }
    }

    /// The connection to the peer, if it carries frames.
    fn framed_peer(&mut self) -> Option<&mut Connection> {
        self.peer.and_then(|id| self.conns.get_mut(&id)).filter(|conn| conn.framed)
    }

    /// Sends a frame to the peer of a rollout. Returns the byte count that [`Upgrade::sent_bytes`] reaches once the frame
    /// is sent; `None` if it is never sent.
    pub fn send_frame(&mut self, frame: &Frame) -> Option<u64> {
        let bytes = ipc::encode(frame);
        let conn = self.framed_peer().filter(|conn| !conn.write_closed)?;
        if conn.queue(&bytes?).is_err() {
            let id = self.peer?;
            self.drop_conn(id, "its send queue is full");
            return None;
        }
        Some(conn.queued_bytes)
    }

    /// Bytes that the system has accepted for the peer: these reach it even if this process ends.
    pub fn sent_bytes(&mut self) -> u64 {
        self.framed_peer().map_or(0, |conn| conn.sent_bytes)
    }

    /// Bytes that are queued because the peer's socket buffer is full.
    pub fn backlog(&mut self) -> usize {
        self.framed_peer().map_or(0, |conn| conn.outbox.len())
    }

    /// Shuts down the receiving side: what the system has accepted from the peer so far can be read, and nothing more
    /// is accepted (unix(7): a write fails with EPIPE once the reader has shut down). Then reads all of it.
    pub fn stop_reading(&mut self) {
        let Some(id) = self.peer else { return };
        if let Some(conn) = self.conns.get(&id) {
            let _ = conn.stream.shutdown(Shutdown::Read);
        }
        self.ready(id);
    }

    /// Closes the connection to the peer.
    pub fn drop_peer(&mut self, why: &str) {
        if let Some(id) = self.peer {
            self.drop_conn(id, why);
        }
    }

    /// Sends the state and the listening socket to a new process, which is the peer from now on.
    pub fn hand_over(&mut self, id: ConnId, state: ProcessState, socket: OwnedFd) {
        let Some(conn) = self.conns.get_mut(&id) else { return };
        conn.socket = Some(socket);
        let framed = state.rollout.is_some();
        let sent = conn.send(&Message::State(Box::new(state)));
        if framed {
            conn.switch_to_frames();
        }
        self.process = Process::of_peer(&conn.stream);
        let before = self.peer.replace(id).filter(|before| *before != id);
        if let Some(conn) = before.and_then(|id| self.conns.remove(&id)) {
            conn.close();
        }
        if sent.is_err() {
            self.drop_conn(id, "the state could not be sent");
        }
    }

    pub fn has_peer(&self) -> bool {
        self.peer.is_some()
    }

    /// Sends a message to the peer, if there is one.
    pub fn send(&mut self, message: &Message) {
        let Some((id, conn)) = self.peer.and_then(|id| self.conns.get_mut(&id).map(|conn| (id, conn))) else {
            return;
        };
        if conn.framed {
            let text = serde_json::to_string(message).expect("messages can be encoded as JSON");
            self.send_frame(&Frame::Json(text));
        } else if conn.send(message).is_err() {
            self.drop_conn(id, "a message could not be sent");
        }
    }

    /// Closes all connections when the process ends, and removes its socket file, so that later processes do not find
    /// it. Keeps the file if there is a peer, which may own it by now.
    pub fn shut_down(&mut self) {
        let own = self.listener.is_some() && self.peer.is_none();
        self.stop_listening();
        if own {
            let _ = std::fs::remove_file(&self.path);
        }
        let ids: Vec<_> = self.conns.keys().copied().collect();
        ids.into_iter().for_each(|id| self.drop_conn(id, "this process ends"));
    }
}

#[cfg(test)]
mod tests;
