//! The platform's front: binary frames from clients, answers back to them. Decides nothing.

pub mod frames;

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::net::SocketAddr;

use wheellink::{Micros, Ticket};

use crate::conn::{Conn, ConnId};
use crate::front::{Guest, Reply, Through};
use crate::log::{Log, Reason};
use crate::wake::{Handle, Wake};
use frames::{Code, Frame, Head, Request};

/// Requests that one connection may have open.
const OPEN: usize = 32;
/// What a connection may hold unsent before no request is taken from it, and at most: as many long answers as it may
/// have requests open. The memory of all together is bounded apart from that. It is read from all the same: a client
/// that stops waiting or closes must be heard while it does not read.
const BACKED_UP: usize = 64 << 10;
const OUTBOX: usize = 8 << 20;
const INBOX: usize = 32 << 10;
/// Bytes of requests that wait on one connection until its client has read its answers; more are refused.
const PARKED: usize = 32 << 10;
/// ... for so long at most, and for this part of their client's time: a refusal in time lets it go elsewhere.
const PARKED_FOR: Micros = 200_000;
const PARKED_PART: i64 = 4;
/// Streams used out of order that a connection may have: beyond that its numbering is no numbering.
const SCATTERED: usize = 1024;
/// A client that takes nothing for so long while answers wait has stopped reading.
const STALLED: Micros = 10_000_000;

/// How long a client that is being closed is given to see that: what it still sends is passed over
/// meanwhile, as a reset for unread bytes could overtake the error.
const LINGER: Micros = 2_000_000;
/// Within a frame a client that sends nothing for so long has gone silent. Pieces may be of any size, and as
/// long as they come the client is at it.
const SILENT: Micros = 2_000_000;
/// From its beginning a client's first whole frame must have come by then: some need two seconds to write it,
/// and those that only seem to, by pieces without an end, hold places that others need.
const NEWCOMER: Micros = 2_700_000;
/// ... and any later frame by then from its first byte.
const HALTING: Micros = 10_000_000;
/// One that has sent nothing for so long within a frame goes when others need its place; the longest silent
/// goes first, so that one which still writes is outlasted by those that do not.
const PAUSING: Micros = 100_000;
/// ... and one that has not begun a frame by then, if there is nobody else.
const HESITATING: Micros = 20_000;
/// A client that said nothing for so long after it came is one that may go when others need its place.
const SPEECHLESS: Micros = 200_000;
/// After this, connections of clients that were asked to leave are closed as they come to rest.
const FAREWELL: Micros = 1_000_000;
/// Reads of one connection at one go: who sends at full speed must not keep the loop from the others.
const AT_ONCE: usize = 8;

/// Where an answer goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Origin {
    pub conn: ConnId,
    pub stream: u32,
}

/// What the front hands to the node.
pub enum Notice {
    Request {
        origin: Origin,
        request: Box<Request>,
    },
    Left {
        ticket: Ticket,
    },
    /// The client of these requests ended its side of the connection at `since`: it has gone, or waits for answers.
    HalfClosed {
        tickets: Vec<Ticket>,
        since: Micros,
    },
    /// A trusted proxy has said whose the connection is: [`Platform::admit`] must follow.
    Proxied {
        conn: ConnId,
        client: Option<SocketAddr>,
    },
    /// A connection has ended.
    Gone {
        conn: ConnId,
    },
}

struct ClientConn {
    conn: Conn,
    peer: SocketAddr,
    known: bool,
    through: Through,
    /// Open streams; a stream has no ticket while its request is being taken.
    open: BTreeMap<u32, Option<Ticket>>,
    /// Requests that wait until their client has read its answers, oldest first. Their streams are open.
    parked: VecDeque<Parked>,
    used: Streams,
    /// When its client ended its side of the connection.
    half_closed: Option<Micros>,
    /// Bytes of a frame too long to be taken that are still to be passed over.
    skip: usize,
    /// Framing is lost: what comes is passed over, and it closes once all is answered.
    broken: bool,
    /// Its client has been asked to open nothing new on it.
    leaves: bool,
    /// Its side of the connection was ended then, and the client is given time to see that.
    lingers: Option<Micros>,
    begun: Micros,
    /// It has sent a whole frame that could be read.
    asked: bool,
    /// A frame has begun then and is not whole.
    partial: Option<Micros>,
    /// How often bytes of it have come, and when they last did.
    pieces: u32,
    moved: Micros,
    active: Micros,
    taken: u64,
}

impl ClientConn {
    fn is_idle(&self) -> bool {
        self.open.is_empty() && self.conn.outbox.is_empty() && self.partial.is_none()
    }
}

/// A request that waits until its client has read its answers.
struct Parked {
    stream: u32,
    request: Box<Request>,
    /// Bytes of its frame.
    size: usize,
    since: Micros,
    /// When it is refused.
    until: Micros,
}

/// Stream numbers that a connection has used.
#[derive(Default)]
struct Streams {
    /// All up to this one.
    below: u32,
    above: BTreeSet<u32>,
}

impl Streams {
    /// Whether the number is new.
    fn take(&mut self, stream: u32) -> bool {
        if stream <= self.below || self.above.len() >= SCATTERED || !self.above.insert(stream) {
            return false;
        }
        while self.above.remove(&(self.below + 1)) {
            self.below += 1;
        }
        true
    }
}

pub struct Platform {
    handle: Handle,
    conns: HashMap<ConnId, ClientConn>,
    most: usize,
    /// Idle connections are closed after this.
    pub conn_idle: Micros,
    /// Bytes that wait for clients, all together.
    bytes: usize,
    /// Connections that were left with more to read.
    again: Vec<ConnId>,
    /// What clients are told who ask.
    pub ready: bool,
    /// Since when clients have been asked to open nothing new.
    parting: Option<Micros>,
    pub notices: Vec<Notice>,
}

impl Platform {
    pub fn new(handle: Handle, (most, bytes): (usize, usize), conn_idle: Micros) -> Self {
        let (conns, again, notices) = (HashMap::new(), Vec::new(), Vec::new());
        Self { handle, conns, most, conn_idle, bytes, again, ready: true, parting: None, notices }
    }

    /// Whether nothing is owed to anybody: all answers have left, and no frame is still coming. One that stops
    /// coming ends its connection, so that nobody is waited for without end.
    pub fn is_quiet(&self) -> bool {
        self.conns.values().all(|c| c.is_idle())
    }

    /// Takes a connection in; `None` where that cannot be.
    pub fn accept(&mut self, now: Micros, guest: Guest, log: &mut Log) -> Option<ConnId> {
        let Guest { stream, peer, known, proxied } = guest;
        let id = crate::conn::fresh_id();
        match Conn::accepted(&self.handle, id, stream, (INBOX, OUTBOX), Wake::Client) {
            Ok(conn) => {
                let fresh = ClientConn {
                    conn,
                    peer,
                    known,
                    through: if proxied { Through::Proxy } else { Through::Nobody },
                    open: BTreeMap::new(),
                    parked: VecDeque::new(),
                    used: Streams::default(),
                    half_closed: None,
                    skip: 0,
                    broken: false,
                    leaves: self.parting.is_some(),
                    lingers: None,
                    begun: now,
                    asked: false,
                    partial: None,
                    pieces: 0,
                    moved: now,
                    active: now,
                    taken: 0,
                };
                self.conns.insert(id, fresh);
                if self.parting.is_some() {
                    self.write(now, id, &frames::no_more(), log);
                }
                // Most have their request with them, and then are no longer among the speechless.
                self.ready(now, id, log);
                Some(id)
            }
            Err(e) => {
                log.line(now, format_args!("client {peer} cannot be taken in: {e}"));
                None
            }
        }
    }

    /// The client of a proxied connection may come in, or not.
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
                (c.known, c.through) = (known, Through::Nobody);
                self.ready(now, id, log);
            }
            None => self.end(now, id, Reason::TurnedAway, log),
        }
    }

    /// Whether a new connection can be taken in, if need be in another's place. Else it waits to be accepted:
    /// whoever is served next makes room.
    pub fn has_room(&mut self, now: Micros, log: &mut Log) -> bool {
        self.conns.len() < self.most || self.evict(now, false, log)
    }

    /// Makes room for somebody else, if that can be; known clients are the last to go. For a known one anybody goes
    /// who is not, and is owed nothing, however lately it came.
    pub fn make_room(&mut self, now: Micros, known: bool, log: &mut Log) -> bool {
        self.evict(now, known, log)
    }

    /// A connection's client is known from now on, or no longer.
    pub fn know(&mut self, id: ConnId, known: bool) {
        if let Some(c) = self.conns.get_mut(&id) {
            c.known = known;
        }
    }

    /// Ends a connection that is owed nothing; one that is owed an answer gets it first.
    pub fn dismiss(&mut self, now: Micros, id: ConnId, log: &mut Log) {
        let Some(c) = self.conns.get_mut(&id) else { return };
        if c.open.is_empty() && c.conn.outbox.is_empty() {
            self.end(now, id, Reason::TurnedAway, log);
        } else {
            c.broken = true;
        }
    }

    /// Makes room by closing a connection without an open request: first those that never said anything, then
    /// those that have had time to see their end, then those that stopped within a frame, then those that have
    /// been idle longest. Thousands that never finish a request must not crowd out clients that asked once and
    /// keep their connection, nor those that are still writing.
    fn evict(&mut self, now: Micros, for_known: bool, log: &mut Log) -> bool {
        let rank = |c: &ClientConn| match now - c.moved {
            _ if c.lingers.is_some_and(|since| now - since >= SPEECHLESS) => Some((1, c.begun)),
            _ if !c.open.is_empty() || c.broken || !c.conn.outbox.is_empty() => None,
            // Who has come back to a frame is writing it; most that never finish one have left off for good.
            quiet if c.partial.is_some() && c.pieces > 1 && quiet < SILENT / 2 => Some((6, c.moved)),
            quiet if c.partial.is_some() => Some((if quiet >= PAUSING { 2 } else { 5 }, c.moved)),
            _ if c.asked => Some((3, c.active)),
            quiet if quiet >= SPEECHLESS => Some((0, c.begun)),
            quiet if quiet >= HESITATING => Some((4, c.begun)),
            _ => (for_known && !c.known).then_some((7, c.begun)),
        };
        // Known clients are the last to go; without admission nobody is one.
        let ranked = self.conns.iter().filter_map(|(id, c)| Some((c.known, rank(c)?, *id)));
        let oldest = ranked.min().map(|(.., id)| id);
        oldest.inspect(|id| self.end(now, *id, Reason::Evicted, log)).is_some()
    }

    /// Asks clients to open nothing new, or takes that back for those that come from now on.
    pub fn part(&mut self, now: Micros, parts: bool, log: &mut Log) {
        let asked = self.parting.is_some();
        self.parting = parts.then(|| self.parting.unwrap_or(now));
        for id in if parts && !asked { self.ids() } else { Vec::new() } {
            if let Some(c) = self.conns.get_mut(&id) {
                c.leaves = true;
                self.write(now, id, &frames::no_more(), log);
            }
        }
    }

    /// Holds to other bounds from now on, in connections and bytes.
    pub fn bound(&mut self, (most, bytes): (usize, usize)) {
        (self.most, self.bytes) = (most, bytes);
    }

    /// Connections that are held.
    pub fn held(&self) -> usize {
        self.conns.len()
    }

    fn ids(&self) -> Vec<ConnId> {
        let mut ids: Vec<_> = self.conns.keys().copied().collect();
        ids.sort();
        ids
    }

    /// The socket has something to say, or may take more.
    pub fn ready(&mut self, now: Micros, id: ConnId, log: &mut Log) {
        if let Err(reason) = self.serve(now, id, log) {
            self.end(now, id, reason, log);
        }
    }

    /// Connections that were left with more to read. Whether there are any.
    pub fn has_more(&self) -> bool {
        !self.again.is_empty()
    }

    /// Reads on where more was left.
    pub fn go_on(&mut self, now: Micros, log: &mut Log) {
        for id in std::mem::take(&mut self.again) {
            self.ready(now, id, log);
        }
    }

    fn serve(&mut self, now: Micros, id: ConnId, log: &mut Log) -> Result<(), Reason> {
        for _ in 0..AT_ONCE {
            let Some(c) = self.conns.get_mut(&id) else { return Ok(()) };
            if c.conn.flush()? > 0 {
                c.active = now;
            }
            // A later flush comes back here.
            self.release_parked(now, id, log);
            let Some(c) = self.conns.get_mut(&id) else { return Ok(()) };
            let before = c.conn.inbox.len();
            let filled = c.conn.fill();
            if c.conn.inbox.len() > before {
                (c.moved, c.pieces) = (now, c.pieces.saturating_add(1));
            }
            self.note_half_close(now, id);
            if !self.is_through(now, id, log)? {
                filled?;
                return Ok(());
            }
            while self.take(now, id, log)? {}
            let Some(c) = self.conns.get_mut(&id) else { return Ok(()) };
            c.partial = if c.conn.inbox.is_empty() { None } else { c.partial.or(Some(now)) };
            if c.partial.is_none() {
                c.pieces = 0;
            }
            if !filled? {
                return self.end_if_done(now, id);
            }
        }
        self.again.push(id);
        self.end_if_done(now, id)
    }

    /// Tells once of a client that has ended its side of the connection. What is read after this is told of as it is
    /// taken; see [`Platform::half_closed`].
    fn note_half_close(&mut self, now: Micros, id: ConnId) {
        let Some(c) = self.conns.get_mut(&id).filter(|c| c.conn.eof && c.half_closed.is_none()) else {
            return;
        };
        c.half_closed = Some(now);
        let tickets: Vec<Ticket> = c.open.values().flatten().copied().collect();
        if !tickets.is_empty() {
            self.notices.push(Notice::HalfClosed { tickets, since: now });
        }
    }

    /// When the client of this connection ended its side of it, if it has.
    pub fn half_closed(&self, id: ConnId) -> Option<Micros> {
        self.conns.get(&id).and_then(|c| c.half_closed)
    }

    /// Whether the client behind a proxy is known and was let in: until then nothing of it is read.
    fn is_through(&mut self, now: Micros, id: ConnId, log: &mut Log) -> Result<bool, Reason> {
        let Some(c) = self.conns.get_mut(&id) else { return Ok(false) };
        match c.through.hear(&mut c.conn.inbox) {
            Ok(Some(client)) => self.notices.push(Notice::Proxied { conn: id, client }),
            Ok(None) if c.through == Through::Proxy && c.conn.eof => return Err(Reason::PeerClosed),
            Ok(None) => {}
            Err(problem) => {
                log.bad_input(now, format_args!("proxy {} sent {problem}", c.peer));
                return Err(Reason::Protocol);
            }
        }
        Ok(self.conns.get(&id).is_some_and(|c| c.through == Through::Nobody))
    }

    /// A client that has ended its side may still wait for answers; it is closed when it has them. One whose
    /// framing was lost must see its answers before a reset can overtake them.
    fn end_if_done(&mut self, now: Micros, id: ConnId) -> Result<(), Reason> {
        let Some(c) = self.conns.get_mut(&id) else { return Ok(()) };
        if !c.open.is_empty() || !c.conn.outbox.is_empty() {
            return Ok(());
        }
        match (c.broken, c.conn.eof, c.lingers) {
            (true, false, None) => {
                c.lingers = Some(now);
                c.conn.half_close();
                Ok(())
            }
            (true, false, Some(since)) if now - since < LINGER => Ok(()),
            (true, ..) => Err(Reason::Protocol),
            (false, true, _) => Err(Reason::PeerClosed),
            (false, false, _) => Ok(()),
        }
    }

    /// Takes one frame; false when none is whole.
    fn take(&mut self, now: Micros, id: ConnId, log: &mut Log) -> Result<bool, Reason> {
        let Some(c) = self.conns.get_mut(&id) else { return Ok(false) };
        if c.broken {
            c.conn.inbox.consume(usize::MAX);
            return Ok(false);
        }
        if c.skip > 0 {
            let n = c.skip.min(c.conn.inbox.len());
            c.conn.inbox.consume(n);
            c.skip -= n;
            return Ok(n > 0);
        }
        let head = match frames::head(&c.conn.inbox) {
            Ok(Some(head)) => head,
            Ok(None) => return Ok(false),
            Err(problem) => {
                self.give_up(now, id, &problem, log);
                return Ok(false);
            }
        };
        if head.length > frames::LONGEST_TAKEN {
            // Longer than any request may be: answered at once, and passed over as it comes.
            c.conn.inbox.consume(frames::HEAD);
            c.skip = head.length - (frames::HEAD - 4);
            let new = head.kind == 1 && head.stream > 0 && c.used.take(head.stream);
            let stream = if new { head.stream } else { 0 };
            self.error(now, Origin { conn: id, stream }, "a body of over 16 KiB", log);
            return Ok(true);
        }
        let Some(payload) = frames::payload(&mut c.conn.inbox, &head) else { return Ok(false) };
        c.active = now;
        self.frame(now, id, head, &payload, log);
        Ok(true)
    }

    /// Nothing more is read from the client. It is told why, and closed once all is answered.
    fn give_up(&mut self, now: Micros, id: ConnId, problem: &str, log: &mut Log) {
        let Some(c) = self.conns.get_mut(&id) else { return };
        c.broken = true;
        c.conn.inbox.consume(usize::MAX);
        log.bad_input(now, format_args!("client {} sent {problem}", c.peer));
        self.error(now, Origin { conn: id, stream: 0 }, problem, log);
    }

    fn frame(&mut self, now: Micros, id: ConnId, head: Head, payload: &[u8], log: &mut Log) {
        let Some(c) = self.conns.get_mut(&id) else { return };
        c.partial = None;
        let nowhere = Origin { conn: id, stream: 0 };
        let origin = Origin { conn: id, stream: head.stream };
        match frames::frame(&head, payload) {
            Ok(Frame::Request(request)) => {
                if head.stream == 0 || !c.used.take(head.stream) {
                    return self.error(now, nowhere, "a stream that is not new", log);
                }
                match request {
                    Err(problem) => self.error(now, origin, &problem, log),
                    // It never ran, and there may be room soon: the one error that is a refusal.
                    Ok(_) if c.open.len() >= OPEN => {
                        self.answer(now, origin, Code::Refused, &[], b"over 32 requests are open", log)
                    }
                    Ok(request) => {
                        c.asked = true;
                        c.taken += 1;
                        c.open.insert(head.stream, None);
                        self.take_request(now, origin, request, payload.len(), log);
                    }
                }
            }
            Ok(Frame::Left) => {
                c.parked.retain(|parked| parked.stream != head.stream);
                if let Some(Some(ticket)) = c.open.remove(&head.stream) {
                    self.notices.push(Notice::Left { ticket });
                }
            }
            Ok(Frame::IsReady) => {
                c.asked = true;
                let code = if self.ready { Code::Served } else { Code::Refused };
                self.write(now, id, &frames::readiness(head.stream, code), log);
            }
            Err(problem) => self.error(now, nowhere, &problem, log),
        }
    }

    /// Hands a request on; or parks it where its client does not read its answers, as long as there is room.
    fn take_request(
        &mut self,
        now: Micros,
        origin: Origin,
        request: Box<Request>,
        size: usize,
        log: &mut Log,
    ) {
        let Some(c) = self.conns.get_mut(&origin.conn) else { return };
        if c.conn.outbox.len() <= BACKED_UP && c.parked.is_empty() {
            return self.notices.push(Notice::Request { origin, request });
        }
        if c.parked.iter().map(|p| p.size).sum::<usize>() + size > PARKED {
            return self.refuse_parked(now, origin, log);
        }
        let until = now + PARKED_FOR.min(request.timeout * 1000 / PARKED_PART);
        c.parked.push_back(Parked { stream: origin.stream, request, size, since: now, until });
    }

    /// Hands parked requests on as soon as their client has read its answers, and refuses those that waited for too
    /// long.
    fn release_parked(&mut self, now: Micros, id: ConnId, log: &mut Log) {
        while let Some(c) = self.conns.get_mut(&id) {
            let reads = c.conn.outbox.len() <= BACKED_UP;
            let Some(at) = c.parked.iter().position(|p| reads || p.until <= now) else { return };
            let Some(Parked { stream, mut request, since, until, .. }) = c.parked.remove(at) else { return };
            let origin = Origin { conn: id, stream };
            if until <= now {
                self.refuse_parked(now, origin, log);
            } else {
                request.timeout -= (now - since) / 1000;
                self.notices.push(Notice::Request { origin, request });
            }
        }
    }

    /// It never ran, and its client may send it where its answers are read.
    fn refuse_parked(&mut self, now: Micros, origin: Origin, log: &mut Log) {
        self.answer(now, origin, Code::Refused, &[], b"earlier answers are not read", log);
    }

    /// Whether somebody still waits for the answer.
    pub fn waits(&self, origin: Origin) -> bool {
        self.conns.get(&origin.conn).is_some_and(|c| c.open.contains_key(&origin.stream))
    }

    /// The node has taken the request under this ticket. False if its client has left since.
    pub fn taken(&mut self, origin: Origin, ticket: Ticket) -> bool {
        let slot = self.conns.get_mut(&origin.conn).and_then(|c| c.open.get_mut(&origin.stream));
        slot.map(|slot| *slot = Some(ticket)).is_some()
    }

    /// An error of the client's: an answer on its stream, or on stream 0, and nothing else is touched.
    pub fn error(&mut self, now: Micros, origin: Origin, problem: &str, log: &mut Log) {
        self.answer(now, origin, Code::Failed, &[], problem.as_bytes(), log);
    }

    /// The final answer to a request.
    pub fn reply(&mut self, now: Micros, origin: Origin, reply: Reply, log: &mut Log) {
        match reply {
            Reply::Served(body) => self.answer(now, origin, Code::Served, &[], &body, log),
            Reply::Refused(wait) => {
                // In milliseconds, as the operators' later page says. Not every deployment's clients heed it.
                let wait = (wait / 1000).to_string();
                let fields = [("holdoff", wait.as_str())];
                let fields = if wait == "0" { &[] } else { &fields[..] };
                self.answer(now, origin, Code::Refused, fields, &[], log)
            }
            Reply::TurnedAway(away) => self.reply(now, origin, Reply::Refused(away.wait), log),
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
                Ok(_) => c.active = now,
                Err(reason) => return self.end(now, id, reason, log),
            }
        }
        // Clients that do not read share what memory there is: who waits with most of it goes.
        let backed_up = self.conns.get(&id).is_some_and(|c| c.conn.outbox.len() > BACKED_UP);
        if backed_up && self.conns.values().map(|c| c.conn.outbox.len()).sum::<usize>() > self.bytes {
            self.end(now, id, Reason::SlowReader, log);
        }
    }

    fn end(&mut self, now: Micros, id: ConnId, reason: Reason, log: &mut Log) {
        let Some(c) = self.conns.remove(&id) else { return };
        log.ended(
            now,
            format_args!("client {}", c.peer),
            reason,
            format_args!("requests={} open={}", c.taken, c.open.len()),
        );
        self.notices.extend(c.open.into_values().flatten().map(|ticket| Notice::Left { ticket }));
        self.notices.push(Notice::Gone { conn: id });
        c.conn.close(&self.handle);
    }

    /// Closes connections that are idle, done, or not read from.
    pub fn tick(&mut self, now: Micros, log: &mut Log) {
        for id in self.ids() {
            self.release_parked(now, id, log);
            let Some(c) = self.conns.get(&id) else { continue };
            let quiet = now - c.active;
            let late = match c.partial {
                _ if c.broken || !c.conn.outbox.is_empty() => false,
                _ if !c.asked && c.open.is_empty() => now - c.begun >= NEWCOMER || now - c.moved >= SILENT,
                Some(since) => now - since >= HALTING || now - c.moved >= SILENT,
                None => false,
            };
            if late && c.conn.inbox.is_empty() && c.skip == 0 && c.taken == 0 {
                self.end(now, id, Reason::Silent, log);
            } else if late {
                self.give_up(now, id, "a frame that does not end", log);
                if let Err(reason) = self.end_if_done(now, id) {
                    self.end(now, id, reason, log);
                }
            } else if !c.conn.outbox.is_empty() && quiet >= STALLED {
                self.end(now, id, Reason::SlowReader, log);
            } else if c.leaves && c.is_idle() && c.asked && quiet >= self.parted(now) {
                self.end(now, id, Reason::Drained, log);
            } else if c.is_idle() && quiet >= self.conn_idle {
                self.end(now, id, Reason::Idle, log);
            } else if let Err(reason) = self.end_if_done(now, id) {
                self.end(now, id, reason, log);
            }
        }
    }

    /// How long a client that has been asked to leave may still be quiet: what it sent before it heard of that
    /// must not meet a closed connection, and in the end it must be gone, whether it heeds that or not.
    fn parted(&self, now: Micros) -> Micros {
        match self.parting {
            Some(since) if now - since < FAREWELL => Micros::MAX,
            Some(since) if now - since >= 2 * FAREWELL => 0,
            _ => FAREWELL / 4,
        }
    }

    pub fn shut_down(&mut self, now: Micros, log: &mut Log) {
        for id in self.ids() {
            self.end(now, id, Reason::Shutdown, log);
        }
    }
}
