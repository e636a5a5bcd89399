//! The invoke front: HTTP/1.1 calls, waited for or deferred. Decides nothing.
//!
//! `POST /v1/functions/NAME/calls` with `Wheellink-Class` calls a function. It waits for the answer, or with
//! `Prefer: respond-async` gets 202 and a Location, to be asked with GET and given up with DELETE.

pub mod results;

use std::collections::HashMap;
use std::net::SocketAddr;

use wheellink::{Micros, Ticket};
use wheellink_turns::Turn;

use crate::conn::{Conn, ConnId};
use crate::front::{Away, Guest, Reply, Through};
use crate::hosts::lines::is_word;
use crate::http::{self, Bad, Parsed, Request, Response};
use crate::log::{Log, Reason};
use crate::wake::{Handle, Wake};
use results::{Bounds, Job, Results};

/// Longest body of a call.
const LONGEST_BODY: usize = 16 << 10;
const INBOX: usize = 2 * LONGEST_BODY + 2 * http::LONGEST_HEAD;
const OUTBOX: usize = 288 << 10;
/// A client that takes nothing for so long while an answer waits has stopped reading.
const STALLED: Micros = 10_000_000;
/// How long a client that is being closed is given to see that.
const LINGER: Micros = 1_000_000;
/// Within a request a client that sends nothing for so long has gone silent.
const SILENT: Micros = 3_000_000;
/// ... and from its first byte the request must be whole by then, however it comes.
const SLOW_REQUEST: Micros = 10_000_000;
/// One that has sent nothing, or half of a request, for so long may go when others need its place.
const SPEECHLESS: Micros = 200_000;
/// After this, idle connections of clients that are sent away are closed.
const FAREWELL: Micros = 1_000_000;
/// Reads of one connection at one go: who sends at full speed must not keep the loop from the others.
const AT_ONCE: usize = 8;
/// Advice to clients that ask again for a deferred result, or after a bound of this front, in seconds.
const ASK_AGAIN: &str = "1";
const RESULTS: &str = "/v1/results/";

/// Where an answer goes.
#[derive(Clone, Debug, PartialEq)]
pub enum Origin {
    /// To the client that waits on this connection.
    Waiting(ConnId),
    /// Among the results.
    Deferred(String),
}

/// A call as a client words it.
#[derive(Debug, Default, PartialEq)]
pub struct Call {
    pub class: usize,
    pub tenant: Option<usize>,
    pub function: String,
    /// How long its client is ready to wait; the class's time where it does not say.
    pub timeout: Option<Micros>,
    pub repeat: bool,
    pub key: Option<String>,
    pub lanes: Option<u32>,
    /// Its turn of a conversation: conversation, new blocks, hashes of its prefix.
    pub turn: Option<(u64, u16, Vec<u64>)>,
    pub body: Vec<u8>,
}

/// What the front hands to the node.
pub enum Notice {
    Call {
        conn: ConnId,
        origin: Origin,
        call: Box<Call>,
    },
    Left {
        ticket: Ticket,
    },
    /// A trusted proxy has said whose the connection is: [`Invoke::admit`] must follow.
    Proxied {
        conn: ConnId,
        client: Option<SocketAddr>,
    },
    /// A call of this tenant is on its way with so long a body: [`Invoke::go_ahead`] must follow.
    Head {
        conn: ConnId,
        tenant: Option<usize>,
        size: usize,
    },
    /// A connection has ended.
    Gone {
        conn: ConnId,
    },
}

enum State {
    /// Between requests, or within one that is not whole.
    Reading,
    /// The head of a call is whole, and whether its body is to be read is not said yet.
    Asking,
    /// A call is out; its answer comes here.
    Waiting { ticket: Option<Ticket>, keep_alive: bool },
    /// The last answer is on its way out.
    Closing(Reason),
    /// It has left, and the client is given time to see it: a reset for what it still sends would overtake it.
    Lingering(Reason, Micros),
}

struct HttpConn {
    conn: Conn,
    peer: SocketAddr,
    known: bool,
    through: Through,
    state: State,
    /// Whether the body of the request that is being read was asked about.
    checked: bool,
    told_to_continue: bool,
    /// The last time that something was finished; the first byte of a request that is not whole.
    active: Micros,
    begun: Option<Micros>,
    /// When bytes last came.
    moved: Micros,
    taken: u64,
}

impl HttpConn {
    /// Ends this side once the last answer has left.
    fn linger_if_done(&mut self, now: Micros) {
        if let (State::Closing(reason), true) = (&self.state, self.conn.outbox.is_empty()) {
            self.state = State::Lingering(*reason, now);
            self.conn.half_close();
        }
    }
}

/// The answer to who is turned away: 429 for their own doing, 503 where the service is full. Fields as of
/// draft-ietf-httpapi-ratelimit-headers: the policy in force, what is left of it, and in how many seconds there is more.
fn turned_away(away: Away) -> Response {
    let seconds = ((away.wait + 999_999) / 1_000_000).max(1);
    let (status, detail) = if away.own_doing {
        (429, "this client or tenant asks for more than it may; trying again is harmless")
    } else {
        (503, "there is no room for the call; trying again is harmless")
    };
    let response = Response::problem(status, detail).with("Retry-After", seconds.to_string());
    match away.rate {
        Some((per_second, _)) => response
            .with("RateLimit-Policy", format!("\"{}\";q={per_second};w=1", away.word))
            .with("RateLimit", format!("\"{}\";r=0;t={seconds}", away.word)),
        None => response,
    }
}

pub struct Invoke {
    handle: Handle,
    conns: HashMap<ConnId, HttpConn>,
    most: usize,
    conn_idle: Micros,
    results: Results,
    /// Bytes that wait for clients, all together.
    bytes: usize,
    /// Connections that were left with more to read.
    again: Vec<ConnId>,
    /// Of classes and tenants; calls go by their places.
    names: (Vec<String>, Vec<String>),
    /// Since when each answer is its connection's last.
    parting: Option<Micros>,
    /// Whether hosts are known, for those that ask whether to send calls here.
    pub ready: bool,
    /// Whether long bodies are asked about before they are read.
    pub asks: bool,
    /// Whether turns that calls carry are read.
    pub turns: bool,
    pub notices: Vec<Notice>,
}

impl Invoke {
    pub fn new(
        handle: Handle,
        (most, bytes): (usize, usize),
        conn_idle: Micros,
        bounds: Bounds,
        names: (Vec<String>, Vec<String>),
    ) -> Self {
        Self {
            handle,
            conns: HashMap::new(),
            most,
            conn_idle,
            results: Results::new(bounds),
            bytes,
            again: Vec::new(),
            names,
            parting: None,
            ready: false,
            asks: false,
            turns: false,
            notices: Vec::new(),
        }
    }

    pub fn is_quiet(&self) -> bool {
        self.conns.values().all(|c| c.conn.outbox.is_empty() && !matches!(c.state, State::Waiting { .. }))
    }

    /// From now on each answer is its connection's last, or no longer so.
    pub fn part(&mut self, now: Micros, parts: bool) {
        self.parting = parts.then(|| self.parting.unwrap_or(now));
    }

    /// Takes other settings up; calls that are open keep theirs.
    pub fn retune(&mut self, conn_idle: Micros, bounds: Bounds, names: (Vec<String>, Vec<String>)) {
        (self.conn_idle, self.names) = (conn_idle, names);
        self.results.bound(bounds);
    }

    /// Holds to other bounds from now on, in connections and bytes.
    pub fn bound(&mut self, (most, bytes): (usize, usize)) {
        (self.most, self.bytes) = (most, bytes);
    }

    /// Connections that are held.
    pub fn held(&self) -> usize {
        self.conns.len()
    }

    /// Takes a connection in; `None` where that cannot be.
    pub fn accept(&mut self, now: Micros, guest: Guest, log: &mut Log) -> Option<ConnId> {
        let Guest { stream, peer, known, proxied } = guest;
        let id = crate::conn::fresh_id();
        match Conn::accepted(&self.handle, id, stream, (INBOX, OUTBOX), Wake::Client) {
            Ok(conn) => {
                let state = State::Reading;
                let (told_to_continue, begun, taken) = (false, None, 0);
                let through = if proxied { Through::Proxy } else { Through::Nobody };
                let fresh = HttpConn {
                    conn,
                    peer,
                    known,
                    through,
                    state,
                    checked: false,
                    told_to_continue,
                    active: now,
                    begun,
                    moved: now,
                    taken,
                };
                self.conns.insert(id, fresh);
                // Most have their request with them, and then are no longer among the speechless.
                self.ready(now, id, log);
                Some(id)
            }
            Err(e) => {
                log.line(now, format_args!("http client {peer} cannot be taken in: {e}"));
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

    /// The body of a call may be read, or its client is turned away without that.
    pub fn go_ahead(&mut self, now: Micros, id: ConnId, away: Option<Away>, log: &mut Log) {
        let Some(c) = self.conns.get_mut(&id).filter(|c| matches!(c.state, State::Asking)) else { return };
        c.state = State::Reading;
        match away {
            None => self.ready(now, id, log),
            Some(away) => {
                c.state = State::Closing(Reason::TurnedAway);
                self.write(now, id, &turned_away(away).encode(false, false), log);
            }
        }
    }

    /// Whether a new connection can be taken in, if need be in another's place. Else it waits to be accepted.
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
        if matches!(c.state, State::Reading | State::Asking) && c.conn.outbox.is_empty() {
            self.end(now, id, Reason::TurnedAway, log);
        } else if let State::Waiting { keep_alive, .. } = &mut c.state {
            *keep_alive = false;
        }
    }

    /// Makes room by closing a connection that is owed nothing: first those that never said
    /// anything, then those that have had time to see their end, then those that stopped within a request, then
    /// those that have been idle longest.
    fn evict(&mut self, now: Micros, for_known: bool, log: &mut Log) -> bool {
        let rank = |c: &HttpConn| match &c.state {
            State::Lingering(_, since) => (now - since >= SPEECHLESS).then_some((1, *since)),
            State::Reading if for_known && !c.known => Some((3, c.active)),
            State::Reading if c.begun.is_some() => (now - c.moved >= SPEECHLESS).then_some((2, c.moved)),
            State::Reading if c.taken == 0 => (now - c.active >= SPEECHLESS).then_some((0, c.active)),
            State::Reading => Some((3, c.active)),
            State::Asking | State::Waiting { .. } | State::Closing(_) => None,
        };
        // Known clients are the last to go; without admission nobody is one.
        let ranked = self.conns.iter().filter_map(|(id, c)| Some((c.known, rank(c)?, *id)));
        let oldest = ranked.min().map(|(.., id)| id);
        oldest.inspect(|id| self.end(now, *id, Reason::Evicted, log)).is_some()
    }

    /// The socket has something to say, or may take more.
    pub fn ready(&mut self, now: Micros, id: ConnId, log: &mut Log) {
        if let Err(reason) = self.serve(now, id, log) {
            self.end(now, id, reason, log);
        }
    }

    /// Whether connections were left with more to read.
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
            c.linger_if_done(now);
            let before = c.conn.inbox.len();
            let more = c.conn.fill()?;
            if c.conn.inbox.len() > before {
                c.moved = now;
            }
            match c.through.hear(&mut c.conn.inbox) {
                Ok(Some(client)) => self.notices.push(Notice::Proxied { conn: id, client }),
                Ok(None) => {}
                Err(problem) => {
                    log.bad_input(now, format_args!("proxy {} sent {problem}", c.peer));
                    return Err(Reason::Protocol);
                }
            }
            if c.through != Through::Nobody && !c.conn.eof {
                return Ok(());
            }
            // Whoever waited for the answer to a call is gone, or has nothing more to ask.
            match (c.conn.eof, &c.state) {
                (true, State::Lingering(reason, _)) => return Err(*reason),
                (true, State::Reading | State::Asking | State::Waiting { .. }) => {
                    return Err(Reason::PeerClosed)
                }
                (_, State::Closing(_) | State::Lingering(..)) => c.conn.inbox.consume(usize::MAX),
                _ => {}
            }
            if matches!(c.state, State::Closing(_) | State::Lingering(..)) {
                if more {
                    continue;
                }
                return Ok(());
            }
            // The next request is read once the one before it is answered and has left. Who sends more than is kept
            // meanwhile sends it again after the answer, which is then the connection's last: its end must be seen.
            let overran = c.conn.inbox.room() == 0 && matches!(c.state, State::Waiting { .. });
            if let (true, State::Waiting { keep_alive, .. }) = (overran, &mut c.state) {
                *keep_alive = false;
                c.conn.inbox.consume(usize::MAX);
            }
            let mut took = overran;
            while self.take(now, id, log)? {
                took = true;
            }
            if !more || !took {
                return Ok(());
            }
        }
        self.again.push(id);
        Ok(())
    }

    /// Takes one request; false when none is whole, or the last one is not answered yet.
    fn take(&mut self, now: Micros, id: ConnId, log: &mut Log) -> Result<bool, Reason> {
        let Some(c) = self.conns.get_mut(&id) else { return Ok(false) };
        if !matches!(c.state, State::Reading) || !c.conn.outbox.is_empty() {
            return Ok(false);
        }
        match http::next_request(&mut c.conn.inbox, LONGEST_BODY) {
            Ok(Parsed::Partial { expects_continue, head }) => {
                c.begun = if c.conn.inbox.is_empty() { None } else { c.begun.or(Some(now)) };
                if let Some((head, size)) = head.map(|h| *h).filter(|_| self.asks && !c.checked) {
                    (c.checked, c.state) = (true, State::Asking);
                    let named = head.header("wheellink-tenant");
                    let tenant = named.and_then(|t| self.names.1.iter().position(|n| n == t));
                    self.notices.push(Notice::Head { conn: id, tenant, size });
                    return Ok(false);
                }
                if expects_continue && !std::mem::replace(&mut c.told_to_continue, true) {
                    c.conn.outbox.push(http::CONTINUE);
                    c.conn.flush()?;
                }
                Ok(false)
            }
            Ok(Parsed::Whole(request)) => {
                (c.begun, c.told_to_continue, c.checked, c.active) = (None, false, false, now);
                c.taken += 1;
                self.route(now, id, request, log);
                Ok(true)
            }
            Err(Bad(status, what)) => {
                c.state = State::Closing(Reason::Protocol);
                let peer = c.peer;
                log.bad_input(now, format_args!("http client {peer} sent a bad request: {what}"));
                let bytes = Response::problem(status, what).encode(false, false);
                self.write(now, id, &bytes, log);
                Ok(false)
            }
        }
    }

    fn route(&mut self, now: Micros, id: ConnId, request: Request, log: &mut Log) {
        let keep_alive = request.keep_alive && self.parting.is_none();
        let head_only = request.method == "HEAD";
        let path = request.path.split('?').next().unwrap_or_default().to_string();
        let function = path.strip_prefix("/v1/functions/").and_then(|p| p.strip_suffix("/calls"));
        let result = path.strip_prefix(RESULTS);
        let answer = match (request.method.as_str(), function, result, path.as_str()) {
            ("POST", Some(function), ..) => match self.call(function, request) {
                Ok((call, true)) => self.defer(id, call),
                Ok((call, false)) => {
                    if let Some(c) = self.conns.get_mut(&id) {
                        c.state = State::Waiting { ticket: None, keep_alive };
                        let call = Box::new(call);
                        self.notices.push(Notice::Call { conn: id, origin: Origin::Waiting(id), call });
                    }
                    return;
                }
                Err(problem) => problem,
            },
            ("GET" | "HEAD", _, Some(name), _) => match self.results.get(name) {
                Some(Job::Open(_)) => Response::new(202).with("Retry-After", ASK_AGAIN),
                Some(Job::Finished { response, .. }) => response.clone(),
                None => Response::problem(404, "no such result, or it was not collected in time"),
            },
            ("DELETE", _, Some(name), _) => match self.results.remove(name) {
                Some(Job::Open(ticket)) => {
                    self.notices.extend(ticket.map(|ticket| Notice::Left { ticket }));
                    Response::new(204)
                }
                Some(Job::Finished { .. }) => Response::new(204),
                None => Response::problem(404, "no such result, or it was not collected in time"),
            },
            ("GET" | "HEAD", .., "/healthz") if self.ready && self.parting.is_none() => Response::new(200),
            ("GET" | "HEAD", .., "/healthz") => {
                Response::problem(503, "no script host is known, or clients are sent away")
                    .with("Retry-After", ASK_AGAIN)
            }
            (_, Some(_), ..) => Response::problem(405, "calls are made with POST").with("Allow", "POST"),
            (_, _, Some(_), _) => {
                Response::problem(405, "results are asked for or given up").with("Allow", "GET, HEAD, DELETE")
            }
            (.., "/healthz") => Response::problem(405, "health is asked for").with("Allow", "GET, HEAD"),
            _ => Response::problem(404, "no such place"),
        };
        self.respond(now, id, answer, keep_alive, head_only, log);
    }

    /// Reads a call, and whether it is to be deferred.
    fn call(&self, function: &str, request: Request) -> Result<(Call, bool), Response> {
        let bad = |detail: &str| Response::problem(400, detail);
        if !is_word(function) {
            return Err(bad("no name of a function"));
        }
        let place = |names: &[String], name: &str| names.iter().position(|n| n == name);
        let class = request.header("wheellink-class").and_then(|c| place(&self.names.0, c));
        let tenant = request.header("wheellink-tenant").map(|t| place(&self.names.1, t));
        if tenant == Some(None) {
            return Err(bad("Wheellink-Tenant must name a tenant, where it stands"));
        }
        let mut call = Call {
            class: class.ok_or_else(|| bad("Wheellink-Class must name a class"))?,
            tenant: tenant.flatten(),
            function: function.to_string(),
            repeat: request.header("wheellink-repeat") == Some("1"),
            ..Call::default()
        };
        if let Some(text) = request.header("wheellink-timeout-ms") {
            let ms = text.parse::<u32>().ok().filter(|ms| *ms > 0);
            let ms = ms.ok_or_else(|| bad("Wheellink-Timeout-Ms is no time in milliseconds"))?;
            call.timeout = Some(Micros::from(ms) * 1000);
        }
        if let Some(text) = request.header("wheellink-lanes") {
            let lanes = text.parse::<u32>().ok().filter(|n| *n > 0);
            call.lanes = Some(lanes.ok_or_else(|| bad("Wheellink-Lanes is no number of lanes"))?);
        }
        if let Some(key) = request.header("idempotency-key") {
            let key = key.trim_matches('"');
            if !is_word(key) {
                return Err(bad("Idempotency-Key must be up to 128 visible characters without , and ="));
            }
            call.key = Some(key.to_string());
        }
        if let Some(text) = request.header("wheellink-turn").filter(|_| self.turns) {
            let turn = Turn::parse(text).map_err(|e| bad(&format!("Wheellink-Turn: {e}")))?;
            call.turn = Some(turn);
        }
        let preferences = request.preferences();
        let deferred = preferences.iter().any(|(name, _)| name == "respond-async");
        // Without respond-async, `wait` is how long the client is ready to wait for the answer itself.
        let wait =
            preferences.iter().find(|(name, _)| name == "wait").and_then(|(_, v)| v.parse::<u32>().ok());
        if let (false, Some(seconds)) = (deferred, wait.filter(|s| *s > 0)) {
            let wait = Micros::from(seconds) * 1_000_000;
            call.timeout = Some(call.timeout.map_or(wait, |t| t.min(wait)));
        }
        call.body = request.body;
        Ok((call, deferred))
    }

    fn defer(&mut self, conn: ConnId, call: Call) -> Response {
        let Some(name) = self.results.open() else {
            return Response::problem(429, "too many results wait to be collected")
                .with("Retry-After", ASK_AGAIN);
        };
        let location = format!("{RESULTS}{name}");
        self.notices.push(Notice::Call { conn, origin: Origin::Deferred(name), call: Box::new(call) });
        Response::new(202)
            .with("Location", location)
            .with("Preference-Applied", "respond-async")
            .with("Retry-After", ASK_AGAIN)
    }

    /// The node has taken the call under this ticket. False if its client has left since.
    pub fn taken(&mut self, origin: &Origin, ticket: Ticket) -> bool {
        match origin {
            Origin::Waiting(id) => match self.conns.get_mut(id).map(|c| &mut c.state) {
                Some(State::Waiting { ticket: slot, .. }) => {
                    *slot = Some(ticket);
                    true
                }
                _ => false,
            },
            Origin::Deferred(name) => {
                self.results.taken(name, ticket);
                self.results.get(name).is_some()
            }
        }
    }

    /// The final answer of a call.
    pub fn reply(&mut self, now: Micros, origin: &Origin, reply: Reply, log: &mut Log) {
        self.give(now, origin, Self::response(reply), log);
    }

    /// ... of a turn, with the blocks of its prefix that its host found, where it was served.
    pub fn reply_found(&mut self, now: Micros, origin: &Origin, reply: Reply, found: u32, log: &mut Log) {
        let served = matches!(reply, Reply::Served(_));
        let mut response = Self::response(reply);
        if served {
            response = response.with("Wheellink-Found", found.to_string());
        }
        self.give(now, origin, response, log);
    }

    fn response(reply: Reply) -> Response {
        match reply {
            Reply::Served(body) => Response::served(body),
            Reply::Refused(wait) => {
                let seconds = (wait + 999_999) / 1_000_000;
                Response::problem(503, "there is no room for the call; trying again is harmless")
                    .with("Retry-After", seconds.max(1).to_string())
            }
            Reply::TurnedAway(away) => turned_away(away),
            Reply::Failed => Response::problem(502, "the call failed and may have run"),
            Reply::TimedOut => Response::problem(504, "the call was not answered in time and may have run"),
        }
    }

    fn give(&mut self, now: Micros, origin: &Origin, response: Response, log: &mut Log) {
        match origin {
            Origin::Waiting(id) => {
                let Some(c) = self.conns.get_mut(id) else { return };
                if let State::Waiting { keep_alive, .. } = c.state {
                    c.state = State::Reading;
                    self.respond(now, *id, response, keep_alive && self.parting.is_none(), false, log);
                    // The client may have sent its next request meanwhile: no further edge tells of that.
                    self.ready(now, *id, log);
                }
            }
            Origin::Deferred(name) => {
                let gone = self.results.finish(now, name, response);
                if gone > 0 {
                    log.line(now, format_args!("{gone} results that nobody collected made room for others"));
                }
            }
        }
    }

    fn respond(
        &mut self,
        now: Micros,
        id: ConnId,
        response: Response,
        keep_alive: bool,
        head_only: bool,
        log: &mut Log,
    ) {
        if let Some(c) = self.conns.get_mut(&id).filter(|_| !keep_alive) {
            c.state = State::Closing(Reason::Finished);
        }
        self.write(now, id, &response.encode(keep_alive, head_only), log);
    }

    fn write(&mut self, now: Micros, id: ConnId, bytes: &[u8], log: &mut Log) {
        let Some(c) = self.conns.get_mut(&id) else { return };
        if !c.conn.outbox.push(bytes) {
            return self.end(now, id, Reason::SlowReader, log);
        }
        match c.conn.flush() {
            Err(reason) => self.end(now, id, reason, log),
            Ok(_) => {
                c.active = now;
                c.linger_if_done(now);
            }
        }
        // Clients that do not read share what memory there is.
        let backed_up = self.conns.get(&id).is_some_and(|c| !c.conn.outbox.is_empty());
        if backed_up && self.conns.values().map(|c| c.conn.outbox.len()).sum::<usize>() > self.bytes {
            self.end(now, id, Reason::SlowReader, log);
        }
    }

    /// Ends a connection. Who waited on it for a call has left; a deferred call lives on.
    fn end(&mut self, now: Micros, id: ConnId, reason: Reason, log: &mut Log) {
        let Some(c) = self.conns.remove(&id) else { return };
        log.ended(now, format_args!("http {}", c.peer), reason, format_args!("calls={}", c.taken));
        if let State::Waiting { ticket: Some(ticket), .. } = c.state {
            self.notices.push(Notice::Left { ticket });
        }
        c.conn.close(&self.handle);
        self.notices.push(Notice::Gone { conn: id });
    }

    /// Gives up old results, and closes connections that are idle or too slow.
    pub fn tick(&mut self, now: Micros, log: &mut Log) {
        self.results.tick(now);
        // Clients that are sent away have a second to hear so with an answer.
        let (idle, reason) = match self.parting {
            Some(since) if now - since >= FAREWELL => (FAREWELL / 4, Reason::Drained),
            _ => (self.conn_idle, Reason::Idle),
        };
        let over = |c: &HttpConn| match &c.state {
            _ if !c.conn.outbox.is_empty() => (now - c.active >= STALLED).then_some(Reason::SlowReader),
            State::Lingering(reason, since) if now - since >= LINGER => Some(*reason),
            State::Reading if c.begun.is_none() && now - c.active >= idle => Some(reason),
            _ => None,
        };
        let mut over: Vec<_> = self.conns.iter().filter_map(|(id, c)| Some((*id, over(c)?))).collect();
        over.sort_by_key(|(id, _)| *id);
        for (id, reason) in over {
            self.end(now, id, reason, log);
        }
        let slow = |c: &HttpConn| {
            let stuck = |b| now - b >= SLOW_REQUEST || now - c.moved >= SILENT;
            matches!(c.state, State::Reading) && c.begun.is_some_and(stuck)
        };
        let mut slow: Vec<_> = self.conns.iter().filter(|(_, c)| slow(c)).map(|(id, _)| *id).collect();
        slow.sort();
        for id in slow {
            let answer = Response::problem(408, "the request did not come whole in time");
            self.respond(now, id, answer, false, false, log);
        }
    }

    pub fn shut_down(&mut self, now: Micros, log: &mut Log) {
        let mut ids: Vec<_> = self.conns.keys().copied().collect();
        ids.sort();
        for id in ids {
            self.end(now, id, Reason::Shutdown, log);
        }
    }
}
