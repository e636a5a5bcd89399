//! The platform's client protocol: reads requests in binary frames and writes the answers. Routing is decided
//! elsewhere.

pub mod frames;

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::net::SocketAddr;

use wheellink::{Micros, Ticket};

use crate::conn::{Conn, ConnId, HangUp};
use crate::front::read_queue::{ReadQueue, Visit};
use crate::front::{AcceptedClient, ProxyState, Reply};
use crate::log::{Log, Reason};
use crate::wake::{Handle, Wake};
use frames::{Code, Frame, Header, Request};

/// Maximum number of open requests on a connection.
const MAX_OPEN_REQUESTS: usize = 32;
/// Unsent bytes above which requests from a connection are queued instead of handed on. The connection is still read,
/// so that the front notices a cancelled request or a closed connection while the client does not read its answers.
const BACKPRESSURE_BYTES: usize = 64 << 10;
/// Maximum unsent bytes of a connection: as many long answers as it may have open requests. The total over all
/// connections is limited separately.
const OUTBOX_BYTES: usize = 8 << 20;
/// Maximum received bytes that a connection buffers.
const INBOX_BYTES: usize = 32 << 10;
/// Maximum size of the requests that one connection queues until its client has read its answers; more are refused.
const MAX_QUEUED_BYTES: usize = 32 << 10;
/// Maximum time in that queue: this, or the request's timeout divided by the divisor below, if that is shorter. An
/// early refusal leaves the client time to send the request elsewhere.
const MAX_QUEUED_US: Micros = 200_000;
/// Maximum time for which a request waits until the input behind it is read: the client may have closed its connection.
const MAX_HELD_US: Micros = 20_000;
/// Divisor of the request's timeout; see `MAX_QUEUED_US`.
const QUEUED_TIMEOUT_DIVISOR: i64 = 4;
/// Maximum number of streams that a connection may use out of order; further ones are rejected.
const MAX_STREAMS_AHEAD: usize = 1024;
/// A client that reads nothing for this long while answers wait is disconnected.
const STALL_US: Micros = 10_000_000;

/// How long a connection stays half-closed after a protocol error. Until then what the client sends is read and
/// discarded, because a reset for unread bytes could reach the client before the error does.
const LINGER_US: Micros = 2_000_000;
/// Maximum time between two reads of a frame, and from the start of a connection to its first bytes. A read may
/// deliver any number of bytes.
const FRAME_GAP_US: Micros = 2_000_000;
/// Maximum time from the start of a connection to its first complete frame. Some clients need two seconds to write
/// it; clients that send bytes without ever completing a frame would hold connections that others need.
const FIRST_FRAME_US: Micros = 2_700_000;
/// Maximum time from the first byte of any later frame to its last.
const FRAME_US: Micros = 10_000_000;
/// A connection that has received nothing for this long within a frame may be evicted early. The one that has been
/// silent longest is evicted first, so that clients which are still writing keep their connections.
const PARTIAL_IDLE_US: Micros = 100_000;
/// A connection that has not begun a frame after this time may be evicted if there is no better candidate.
const NEW_IDLE_US: Micros = 20_000;
/// A connection on which nothing has arrived for this long since it opened, or that has lingered for this long, is
/// evicted first.
const IDLE_US: Micros = 200_000;
/// How long clients that were asked to leave may keep idle connections.
const DRAIN_GRACE_US: Micros = 1_000_000;

/// The connection and stream on which a request is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Origin {
    pub conn: ConnId,
    pub stream: u32,
}

/// Events for the node.
pub enum Notice {
    Request {
        origin: Origin,
        request: Box<Request>,
    },
    /// The client of this request no longer waits for its answer.
    ClientLeft {
        ticket: Ticket,
    },
    /// The client of these requests ended its side of the connection at `since`: it has either
    /// gone or still waits for the answers.
    HalfClosed {
        tickets: Vec<Ticket>,
        since: Micros,
    },
    /// A trusted proxy has named the client of a connection. The node must call [`Platform::admit`].
    ClientIdentified {
        conn: ConnId,
        client: Option<SocketAddr>,
    },
    /// A connection has ended.
    Closed {
        conn: ConnId,
    },
}

struct ClientConn {
    conn: Conn,
    peer: SocketAddr,
    known: bool,
    proxy: ProxyState,
    /// Open streams. A stream has no ticket until the node has taken its request.
    open: BTreeMap<u32, Option<Ticket>>,
    /// Requests that wait until their client has read its answers, oldest first. Their streams are open.
    queue: VecDeque<QueuedRequest>,
    /// Requests that are handed on once the input behind them has been read, or after `MAX_HELD_US`. Their streams are open.
    held: Vec<HeldRequest>,
    /// The last read left input unread.
    behind: bool,
    streams: Streams,
    /// When the client ended its side of the connection.
    half_closed_at: Option<Micros>,
    /// Bytes still to be discarded of a frame that is too long.
    skip_bytes: usize,
    /// Received bytes are discarded, and the connection closes once all requests are answered. Set when framing is lost
    /// or the client is turned away.
    broken: bool,
    /// The client has been asked to open no new request.
    asked_to_leave: bool,
    /// When this side ended the connection after a protocol error; it stays half-closed for `LINGER_US`.
    lingering_since: Option<Micros>,
    opened_at: Micros,
    /// A valid request or readiness query has arrived.
    used: bool,
    /// When the frame that is still incomplete began.
    partial: Option<Micros>,
    /// Number of reads that delivered bytes of it.
    reads: u32,
    /// When bytes last arrived.
    read_at: Micros,
    /// When a frame was last taken, or bytes were last sent.
    active_at: Micros,
    /// Requests received.
    requests: u64,
}

impl ClientConn {
    fn is_idle(&self) -> bool {
        self.open.is_empty() && self.conn.outbox.is_empty() && self.partial.is_none()
    }
}

/// A request that waits until its client has read its answers.
struct QueuedRequest {
    stream: u32,
    request: Box<Request>,
    /// Length of the frame's payload.
    size: usize,
    /// When the request was queued.
    since: Micros,
    /// When the request is refused if it still waits.
    until: Micros,
}

/// A request behind which there may be the end of the connection.
struct HeldRequest {
    stream: u32,
    request: Box<Request>,
    /// Length of the frame's payload.
    size: usize,
    since: Micros,
}

/// Stream numbers that a connection has used.
#[derive(Default)]
struct Streams {
    /// All numbers up to this one are used.
    up_to: u32,
    /// Used numbers above that.
    above: BTreeSet<u32>,
}

impl Streams {
    /// Marks the number as used. Returns false if it was used already or too many are used out of order.
    fn insert(&mut self, stream: u32) -> bool {
        if stream <= self.up_to || self.above.len() >= MAX_STREAMS_AHEAD || !self.above.insert(stream) {
            return false;
        }
        while self.above.remove(&(self.up_to + 1)) {
            self.up_to += 1;
        }
        true
    }
}

/// The connections of the platform's clients.
pub struct Platform {
    handle: Handle,
    conns: HashMap<ConnId, ClientConn>,
    max_conns: usize,
    /// Idle connections are closed after this time.
    pub conn_idle: Micros,
    /// Maximum unsent bytes of all connections together.
    max_unsent: usize,
    /// Connections that may have more to read.
    unread: ReadQueue,
    /// The answer to readiness queries.
    pub ready: bool,
    /// Since when clients are asked to open no new request.
    draining: Option<Micros>,
    pub notices: Vec<Notice>,
}

impl Platform {
    pub fn new(handle: Handle, (max_conns, max_unsent): (usize, usize), conn_idle: Micros) -> Self {
        let (conns, unread, notices) = (HashMap::new(), ReadQueue::default(), Vec::new());
        Self { handle, conns, max_conns, conn_idle, max_unsent, unread, ready: true, draining: None, notices }
    }

    /// Whether all requests are answered, all answers are sent, and no frame is incomplete. A frame that does not
    /// continue ends its connection, so this becomes true eventually.
    pub fn is_idle(&self) -> bool {
        self.conns.values().all(|c| c.is_idle())
    }

    /// Discards from now on what arrives on connections that have more input than their last visit took. They close
    /// once their open requests are answered.
    pub fn discard_unfinished_input(&mut self) {
        for id in self.unread.unfinished() {
            if let Some(c) = self.conns.get_mut(&id) {
                c.broken = true;
            }
        }
    }

    /// Registers an accepted connection; `None` if that fails.
    pub fn accept(&mut self, now: Micros, client: AcceptedClient, log: &mut Log) -> Option<ConnId> {
        let AcceptedClient { stream, peer, known, proxied } = client;
        let id = crate::conn::fresh_id();
        match Conn::accepted(&self.handle, id, stream, (INBOX_BYTES, OUTBOX_BYTES), Wake::Client) {
            Ok(conn) => {
                let conn = ClientConn {
                    conn,
                    peer,
                    known,
                    proxy: if proxied { ProxyState::AwaitHeader } else { ProxyState::Settled },
                    open: BTreeMap::new(),
                    queue: VecDeque::new(),
                    held: Vec::new(),
                    behind: false,
                    streams: Streams::default(),
                    half_closed_at: None,
                    skip_bytes: 0,
                    broken: false,
                    asked_to_leave: self.draining.is_some(),
                    lingering_since: None,
                    opened_at: now,
                    used: false,
                    partial: None,
                    reads: 0,
                    read_at: now,
                    active_at: now,
                    requests: 0,
                };
                self.conns.insert(id, conn);
                if self.draining.is_some() {
                    self.write(now, id, &frames::drain_notice(), log);
                }
                // Most clients have sent their request already; reading it now keeps the connection from being evicted.
                self.on_ready(now, id, log);
                Some(id)
            }
            Err(e) => {
                log.line(now, format_args!("cannot register the connection of client {peer}: {e}"));
                None
            }
        }
    }

    /// Admits the client of a proxied connection, or ends the connection if `known` is `None`.
    pub fn admit(
        &mut self,
        now: Micros,
        id: ConnId,
        client: Option<SocketAddr>,
        known: Option<bool>,
        log: &mut Log,
    ) {
        let Some(c) = self.conns.get_mut(&id) else { return };
        c.peer = client.unwrap_or(c.peer);
        match known {
            Some(known) => {
                (c.known, c.proxy) = (known, ProxyState::Settled);
                self.on_ready(now, id, log);
            }
            None => self.end(now, id, Reason::TurnedAway, log),
        }
    }

    /// Whether a new connection can be accepted, evicting another if necessary. If not, it stays in the listener's
    /// queue until a connection is answered.
    pub fn has_room(&mut self, now: Micros, log: &mut Log) -> bool {
        self.conns.len() < self.max_conns || self.evict(now, false, log)
    }

    /// Evicts a connection, if one can be evicted; known clients are evicted last. For a known client, any connection
    /// of an unknown client without open requests can be evicted, however new it is.
    pub fn make_room(&mut self, now: Micros, known: bool, log: &mut Log) -> bool {
        self.evict(now, known, log)
    }

    /// Sets whether the client of a connection is known.
    pub fn set_known(&mut self, id: ConnId, known: bool) {
        if let Some(c) = self.conns.get_mut(&id) {
            c.known = known;
        }
    }

    /// Closes a connection, once its open requests are answered.
    pub fn close_after_answers(&mut self, now: Micros, id: ConnId, log: &mut Log) {
        let Some(c) = self.conns.get_mut(&id) else { return };
        if c.open.is_empty() && c.conn.outbox.is_empty() {
            self.end(now, id, Reason::TurnedAway, log);
        } else {
            c.broken = true;
        }
    }

    /// Evicts a connection without open requests. The order: connections on which nothing ever arrived, those that have
    /// lingered, those that stopped within a frame, then the longest idle. Thousands of connections that never complete
    /// a request must not displace clients that have sent one and keep their connection, nor those still writing.
    fn evict(&mut self, now: Micros, for_known: bool, log: &mut Log) -> bool {
        let rank = |id: &ConnId, c: &ClientConn| match now - c.read_at {
            _ if c.lingering_since.is_some_and(|since| now - since >= IDLE_US) => Some((1, c.opened_at)),
            _ if !c.open.is_empty() || c.broken || !c.conn.outbox.is_empty() => None,
            // Input waits to be read.
            _ if self.unread.contains(*id) => Some((8, c.opened_at)),
            // A client that has continued a frame is still writing it; most that never complete one have stopped for
            // good.
            quiet if c.partial.is_some() && c.reads > 1 && quiet < FRAME_GAP_US / 2 => Some((6, c.read_at)),
            quiet if c.partial.is_some() => Some((if quiet >= PARTIAL_IDLE_US { 2 } else { 5 }, c.read_at)),
            _ if c.used => Some((3, c.active_at)),
            quiet if quiet >= IDLE_US => Some((0, c.opened_at)),
            quiet if quiet >= NEW_IDLE_US => Some((4, c.opened_at)),
            _ => (for_known && !c.known).then_some((7, c.opened_at)),
        };
        // Known clients are evicted last; without admission control no client is known.
        let ranked = self.conns.iter().filter_map(|(id, c)| Some((c.known, rank(id, c)?, *id)));
        let oldest = ranked.min().map(|(.., id)| id);
        oldest.inspect(|id| self.end(now, *id, Reason::Evicted, log)).is_some()
    }

    /// Starts or stops draining: asks clients to open no new request, or no longer asks those that connect from now on.
    pub fn set_draining(&mut self, now: Micros, draining: bool, log: &mut Log) {
        let asked = self.draining.is_some();
        self.draining = draining.then(|| self.draining.unwrap_or(now));
        for id in if draining && !asked { self.ids() } else { Vec::new() } {
            if let Some(c) = self.conns.get_mut(&id) {
                c.asked_to_leave = true;
                self.write(now, id, &frames::drain_notice(), log);
            }
        }
    }

    /// Changes the limits on connections and unsent bytes.
    pub fn set_limits(&mut self, (max_conns, max_unsent): (usize, usize)) {
        (self.max_conns, self.max_unsent) = (max_conns, max_unsent);
    }

    /// Number of connections.
    pub fn connections(&self) -> usize {
        self.conns.len()
    }

    fn ids(&self) -> Vec<ConnId> {
        let mut ids: Vec<_> = self.conns.keys().copied().collect();
        ids.sort();
        ids
    }

    /// Handles a socket that is readable or writable. One whose turn to be read has yet to come is only written to.
    pub fn on_ready(&mut self, now: Micros, id: ConnId, log: &mut Log) {
        let waits = self.unread.contains(id);
        let done = if waits { self.flush(now, id) } else { self.serve(now, id, log) };
        if let Err(reason) = done {
            self.end(now, id, reason, log);
        }
    }

    /// Has a socket that is readable or writable handled by [`Platform::resume_read`].
    pub fn postpone(&mut self, id: ConnId) {
        self.unread.postpone(id);
    }

    /// Whether sockets wait that were postponed.
    pub fn has_postponed(&self) -> bool {
        self.unread.has_postponed()
    }

    /// Whether connections may have more to read.
    pub fn has_pending_reads(&self) -> bool {
        !self.unread.is_empty()
    }

    /// Continues reading the next of those connections; false if there is none.
    pub fn resume_read(&mut self, now: Micros, log: &mut Log) -> bool {
        let next = self.unread.pop();
        next.into_iter().for_each(|id| self.on_ready(now, id, log));
        next.is_some()
    }

    fn flush(&mut self, now: Micros, id: ConnId) -> Result<(), Reason> {
        let Some(c) = self.conns.get_mut(&id) else { return Ok(()) };
        if c.conn.flush()? > 0 {
            c.active_at = now;
        }
        Ok(())
    }

    fn serve(&mut self, now: Micros, id: ConnId, log: &mut Log) -> Result<(), Reason> {
        let mut visit = Visit::new();
        while visit.read() {
            self.flush(now, id)?;
            // Answers that are still unsent are flushed by a later call, which releases the queue.
            self.release_queued(now, id, log);
            let Some(c) = self.conns.get_mut(&id) else { return Ok(()) };
            let before = c.conn.inbox.len();
            // Requests before a reset are dropped with the connection: nobody waits for them.
            let more = c.conn.fill()?;
            c.behind = more;
            // The end of a connection with much unread is noticed before its requests are handed on.
            let hang_up = if more { c.conn.hang_up() } else { None };
            if hang_up == Some(HangUp::Connection) {
                return Err(Reason::PeerReset);
            }
            if c.conn.inbox.len() > before {
                (c.read_at, c.reads) = (now, c.reads.saturating_add(1));
            }
            self.note_half_close(now, id, hang_up);
            if !self.is_admitted(now, id, log)? {
                return Ok(());
            }
            while visit.allows_frame() && self.take_frame(now, id, log)? {
                visit.took_frame();
            }
            if !visit.allows_frame() {
                break;
            }
            let Some(c) = self.conns.get_mut(&id) else { return Ok(()) };
            c.partial = if c.conn.inbox.is_empty() { None } else { c.partial.or(Some(now)) };
            if c.partial.is_none() {
                c.reads = 0;
            }
            if !more {
                self.release_held(now, id, log);
                return self.end_if_done(now, id);
            }
        }
        self.release_held_if_due(now, id, log);
        if self.conns.contains_key(&id) {
            self.unread.push_unfinished(id);
        }
        self.end_if_done(now, id)
    }

    /// Reports once that a client has ended its side of the connection. For requests that are taken after this, the
    /// node asks [`Platform::half_closed`].
    fn note_half_close(&mut self, now: Micros, id: ConnId, hang_up: Option<HangUp>) {
        let has_ended = |c: &&mut ClientConn| c.conn.eof || hang_up.is_some();
        let Some(c) = self.conns.get_mut(&id).filter(has_ended) else { return };
        if c.half_closed_at.is_some() {
            return;
        }
        c.half_closed_at = Some(now);
        let tickets: Vec<Ticket> = c.open.values().flatten().copied().collect();
        if !tickets.is_empty() {
            self.notices.push(Notice::HalfClosed { tickets, since: now });
        }
    }

    /// When the client of a connection ended its side of it, if it has.
    pub fn half_closed(&self, id: ConnId) -> Option<Micros> {
        self.conns.get(&id).and_then(|c| c.half_closed_at)
    }

    /// Whether the client is admitted. Until then no frame is read from a proxied connection.
    fn is_admitted(&mut self, now: Micros, id: ConnId, log: &mut Log) -> Result<bool, Reason> {
        let Some(c) = self.conns.get_mut(&id) else { return Ok(false) };
        match c.proxy.read_header(&mut c.conn.inbox) {
            Ok(Some(client)) => self.notices.push(Notice::ClientIdentified { conn: id, client }),
            Ok(None) if c.proxy == ProxyState::AwaitHeader && c.conn.eof => return Err(Reason::PeerClosed),
            Ok(None) => {}
            Err(problem) => {
                log.bad_input(now, format_args!("proxy {} sent {problem}", c.peer));
                return Err(Reason::Protocol);
            }
        }
        Ok(self.conns.get(&id).is_some_and(|c| c.proxy == ProxyState::Settled))
    }

    /// Ends a connection whose client has ended its side, once it has its answers. A connection with lost framing
    /// first lingers, so that a reset cannot overtake the answers.
    fn end_if_done(&mut self, now: Micros, id: ConnId) -> Result<(), Reason> {
        let Some(c) = self.conns.get_mut(&id) else { return Ok(()) };
        if !c.open.is_empty() || !c.conn.outbox.is_empty() {
            return Ok(());
        }
        match (c.broken, c.conn.eof, c.lingering_since) {
            (true, false, None) => {
                c.lingering_since = Some(now);
                c.conn.half_close();
                Ok(())
            }
            (true, false, Some(since)) if now - since < LINGER_US => Ok(()),
            (true, ..) => Err(Reason::Protocol),
            (false, true, _) => Err(Reason::PeerClosed),
            (false, false, _) => Ok(()),
        }
    }

    /// Takes one frame; false if none is complete.
    fn take_frame(&mut self, now: Micros, id: ConnId, log: &mut Log) -> Result<bool, Reason> {
        let Some(c) = self.conns.get_mut(&id) else { return Ok(false) };
        if c.broken {
            c.conn.inbox.consume(usize::MAX);
            return Ok(false);
        }
        if c.skip_bytes > 0 {
            let n = c.skip_bytes.min(c.conn.inbox.len());
            c.conn.inbox.consume(n);
            c.skip_bytes -= n;
            return Ok(n > 0);
        }
        let header = match frames::header(&c.conn.inbox) {
            Ok(Some(header)) => header,
            Ok(None) => return Ok(false),
            Err(problem) => {
                self.fail_connection(now, id, &problem, log);
                return Ok(false);
            }
        };
        if header.length > frames::MAX_FRAME_BYTES {
            // Longer than any valid request: answered at once, and discarded as it arrives.
            c.conn.inbox.consume(frames::HEADER_BYTES);
            c.skip_bytes = header.length - (frames::HEADER_BYTES - 4);
            let new = header.kind == 1 && header.stream > 0 && c.streams.insert(header.stream);
            let stream = if new { header.stream } else { 0 };
            self.error(now, Origin { conn: id, stream }, "a body of over 16 KiB", log);
            return Ok(true);
        }
        let Some(payload) = frames::payload(&mut c.conn.inbox, &header) else { return Ok(false) };
        c.active_at = now;
        self.handle_frame(now, id, header, &payload, log);
        Ok(true)
    }

    /// Reports a protocol error to the client. From then on its bytes are discarded, and the connection closes once all
    /// requests are answered.
    fn fail_connection(&mut self, now: Micros, id: ConnId, problem: &str, log: &mut Log) {
        let Some(c) = self.conns.get_mut(&id) else { return };
        c.broken = true;
        c.conn.inbox.consume(usize::MAX);
        log.bad_input(now, format_args!("client {} sent {problem}", c.peer));
        self.error(now, Origin { conn: id, stream: 0 }, problem, log);
    }

    fn handle_frame(&mut self, now: Micros, id: ConnId, header: Header, payload: &[u8], log: &mut Log) {
        let Some(c) = self.conns.get_mut(&id) else { return };
        c.partial = None;
        let connection = Origin { conn: id, stream: 0 };
        let origin = Origin { conn: id, stream: header.stream };
        match frames::frame(&header, payload) {
            Ok(Frame::Request(request)) => {
                if header.stream == 0 || !c.streams.insert(header.stream) {
                    return self.error(now, connection, "a stream that is not new", log);
                }
                match request {
                    Err(problem) => self.error(now, origin, &problem, log),
                    // The request never ran and may be sent again soon, so this error alone is a refusal.
                    Ok(_) if c.open.len() >= MAX_OPEN_REQUESTS => {
                        self.answer(now, origin, Code::Refused, &[], b"over 32 requests are open", log)
                    }
                    Ok(request) => {
                        c.used = true;
                        c.requests += 1;
                        c.open.insert(header.stream, None);
                        self.accept_request(now, origin, request, payload.len(), log);
                    }
                }
            }
            Ok(Frame::Cancel) => {
                c.queue.retain(|queued| queued.stream != header.stream);
                c.held.retain(|held| held.stream != header.stream);
                if let Some(Some(ticket)) = c.open.remove(&header.stream) {
                    self.notices.push(Notice::ClientLeft { ticket });
                }
            }
            Ok(Frame::ReadinessQuery) => {
                c.used = true;
                let code = if self.ready { Code::Served } else { Code::Refused };
                self.write(now, id, &frames::readiness(header.stream, code), log);
            }
            Err(problem) => self.error(now, connection, &problem, log),
        }
    }

    /// Holds a request while input behind it is unread; then, or if too much is held, hands it on.
    fn accept_request(
        &mut self,
        now: Micros,
        origin: Origin,
        request: Box<Request>,
        size: usize,
        log: &mut Log,
    ) {
        let Some(c) = self.conns.get_mut(&origin.conn) else { return };
        let held: usize = c.held.iter().map(|held| held.size).sum();
        if c.behind && held + size <= MAX_QUEUED_BYTES {
            return c.held.push(HeldRequest { stream: origin.stream, request, size, since: now });
        }
        self.release_held(now, origin.conn, log);
        self.hand_on(now, origin, request, size, log);
    }

    /// Hands on the requests that were held.
    fn release_held(&mut self, now: Micros, id: ConnId, log: &mut Log) {
        let Some(c) = self.conns.get_mut(&id) else { return };
        for HeldRequest { stream, mut request, size, since } in std::mem::take(&mut c.held) {
            request.timeout_ms -= (now - since) / 1000;
            self.hand_on(now, Origin { conn: id, stream }, request, size, log);
        }
    }

    /// Hands on the requests that have been held for too long.
    fn release_held_if_due(&mut self, now: Micros, id: ConnId, log: &mut Log) {
        let first = self.conns.get(&id).and_then(|c| c.held.first()).map(|held| held.since);
        if first.is_some_and(|since| now - since >= MAX_HELD_US) {
            self.release_held(now, id, log);
        }
    }

    /// Hands a request to the node, queues it while its client does not read its answers, or refuses it if the queue is
    /// full.
    fn hand_on(&mut self, now: Micros, origin: Origin, request: Box<Request>, size: usize, log: &mut Log) {
        let Some(c) = self.conns.get_mut(&origin.conn) else { return };
        if c.conn.outbox.len() <= BACKPRESSURE_BYTES && c.queue.is_empty() {
            return self.notices.push(Notice::Request { origin, request });
        }
        if c.queue.iter().map(|p| p.size).sum::<usize>() + size > MAX_QUEUED_BYTES {
            return self.refuse_queued(now, origin, log);
        }
        let until = now + MAX_QUEUED_US.min(request.timeout_ms * 1000 / QUEUED_TIMEOUT_DIVISOR);
        c.queue.push_back(QueuedRequest { stream: origin.stream, request, size, since: now, until });
    }

    /// Hands queued requests to the node as soon as their client has read its answers, and refuses those that have
    /// waited too long.
    fn release_queued(&mut self, now: Micros, id: ConnId, log: &mut Log) {
        while let Some(c) = self.conns.get_mut(&id) {
            let reads = c.conn.outbox.len() <= BACKPRESSURE_BYTES;
            let Some(at) = c.queue.iter().position(|p| reads || p.until <= now) else { return };
            let Some(QueuedRequest { stream, mut request, since, until, .. }) = c.queue.remove(at) else {
                return;
            };
            let origin = Origin { conn: id, stream };
            if until <= now {
                self.refuse_queued(now, origin, log);
            } else {
                request.timeout_ms -= (now - since) / 1000;
                self.notices.push(Notice::Request { origin, request });
            }
        }
    }

    /// Refuses a request that never ran; the client may send it on a connection that it reads.
    fn refuse_queued(&mut self, now: Micros, origin: Origin, log: &mut Log) {
        self.answer(now, origin, Code::Refused, &[], b"earlier answers are not read", log);
    }

    /// Whether the client still waits for the answer.
    pub fn is_open(&self, origin: Origin) -> bool {
        self.conns.get(&origin.conn).is_some_and(|c| c.open.contains_key(&origin.stream))
    }

    /// Records the ticket under which the node has taken the request. False if the client no longer waits.
    pub fn set_ticket(&mut self, origin: Origin, ticket: Ticket) -> bool {
        let slot = self.conns.get_mut(&origin.conn).and_then(|c| c.open.get_mut(&origin.stream));
        slot.map(|slot| *slot = Some(ticket)).is_some()
    }

    /// Answers an error of the client on the request's stream, or on stream 0. Other streams are not affected.
    pub fn error(&mut self, now: Micros, origin: Origin, problem: &str, log: &mut Log) {
        self.answer(now, origin, Code::Failed, &[], problem.as_bytes(), log);
    }

    /// Sends the final answer to a request.
    pub fn reply(&mut self, now: Micros, origin: Origin, reply: Reply, log: &mut Log) {
        match reply {
            Reply::Served(body) => self.answer(now, origin, Code::Served, &[], &body, log),
            Reply::Refused(wait) => {
                // In milliseconds. Some clients ignore this field.
                let wait = (wait / 1000).to_string();
                let fields = [("holdoff", wait.as_str())];
                let fields = if wait == "0" { &[] } else { &fields[..] };
                self.answer(now, origin, Code::Refused, fields, &[], log)
            }
            Reply::TurnedAway(away) => self.reply(now, origin, Reply::Refused(away.retry_after), log),
            Reply::Failed | Reply::TimedOut => self.answer(now, origin, Code::Failed, &[], &[], log),
        }
    }

    fn answer(
        &mut self,
        now: Micros,
        origin: Origin,
        code: Code,
        fields: &[(&str, &str)],
        body: &[u8],
        log: &mut Log,
    ) {
        if let Some(c) = self.conns.get_mut(&origin.conn) {
            c.open.remove(&origin.stream);
            self.write(now, origin.conn, &frames::answer(origin.stream, code, fields, body), log);
        }
    }

    fn write(&mut self, now: Micros, id: ConnId, frame: &[u8], log: &mut Log) {
        let Some(c) = self.conns.get_mut(&id) else { return };
        let empty = c.conn.outbox.is_empty();
        if !c.conn.outbox.push(frame) {
            return self.end(now, id, Reason::SlowReader, log);
        }
        if empty {
            match c.conn.flush() {
                Ok(_) => c.active_at = now,
                Err(reason) => return self.end(now, id, reason, log),
            }
        }
        // Clients that do not read share a memory limit. The backed-up connection whose write exceeds it is closed.
        let backed_up = self.conns.get(&id).is_some_and(|c| c.conn.outbox.len() > BACKPRESSURE_BYTES);
        if backed_up && self.conns.values().map(|c| c.conn.outbox.len()).sum::<usize>() > self.max_unsent {
            self.end(now, id, Reason::SlowReader, log);
        }
    }

    fn end(&mut self, now: Micros, id: ConnId, reason: Reason, log: &mut Log) {
        let Some(c) = self.conns.remove(&id) else { return };
        self.unread.remove(id);
        log.ended(
            now,
            format_args!("client {}", c.peer),
            reason,
            format_args!("requests={} open={}", c.requests, c.open.len()),
        );
        self.notices.extend(c.open.into_values().flatten().map(|ticket| Notice::ClientLeft { ticket }));
        self.notices.push(Notice::Closed { conn: id });
        c.conn.close(&self.handle);
    }

    /// Releases or refuses queued requests, and closes connections that are idle, done, too slow or not read from.
    pub fn tick(&mut self, now: Micros, log: &mut Log) {
        for id in self.ids() {
            self.release_queued(now, id, log);
            let Some(c) = self.conns.get(&id) else { continue };
            // Input that waits to be read may be a request.
            let idle = c.is_idle() && !self.unread.contains(id);
            let quiet = now - c.active_at;
            let late = match c.partial {
                _ if c.broken || !c.conn.outbox.is_empty() || self.unread.contains(id) => false,
                _ if !c.used && c.open.is_empty() => {
                    now - c.opened_at >= FIRST_FRAME_US || now - c.read_at >= FRAME_GAP_US
                }
                Some(since) => now - since >= FRAME_US || now - c.read_at >= FRAME_GAP_US,
                None => false,
            };
            if late && c.conn.inbox.is_empty() && c.skip_bytes == 0 && c.requests == 0 {
                self.end(now, id, Reason::Silent, log);
            } else if late {
                self.fail_connection(now, id, "a frame that does not end", log);
                if let Err(reason) = self.end_if_done(now, id) {
                    self.end(now, id, reason, log);
                }
            } else if !c.conn.outbox.is_empty() && quiet >= STALL_US {
                self.end(now, id, Reason::SlowReader, log);
            } else if c.asked_to_leave && idle && c.used && quiet >= self.drain_idle_timeout(now) {
                self.end(now, id, Reason::Drained, log);
            } else if idle && quiet >= self.conn_idle {
                self.end(now, id, Reason::Idle, log);
            } else if let Err(reason) = self.end_if_done(now, id) {
                self.end(now, id, reason, log);
            }
        }
    }

    /// How long a connection may be idle after its client was asked to leave. During the grace period it stays open, as
    /// requests may be on their way; after twice that period it is closed as soon as it is idle.
    fn drain_idle_timeout(&self, now: Micros) -> Micros {
        match self.draining {
            Some(since) if now - since < DRAIN_GRACE_US => Micros::MAX,
            Some(since) if now - since >= 2 * DRAIN_GRACE_US => 0,
            _ => DRAIN_GRACE_US / 4,
        }
    }

    /// Closes all connections.
    pub fn shut_down(&mut self, now: Micros, log: &mut Log) {
        for id in self.ids() {
            self.end(now, id, Reason::Shutdown, log);
        }
    }
}
