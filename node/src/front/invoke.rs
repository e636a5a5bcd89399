//! The invoke front: an HTTP/1.1 API for synchronous and deferred calls. Routing is decided elsewhere.
//!
//! `POST /v1/functions/NAME/calls` with a `Wheellink-Class` header calls a function. The response is the answer of the
//! call or, with `Prefer: respond-async`, 202 with a Location at which GET fetches the result and DELETE cancels the
//! call or discards its result.

pub mod results;

use std::collections::HashMap;
use std::net::SocketAddr;

use wheellink::{Micros, Ticket};
use wheellink_turns::Turn;

use crate::conn::{Conn, ConnId};
use crate::front::read_queue::{ReadQueue, Visit};
use crate::front::{AcceptedClient, ProxyState, Rejection, Reply};
use crate::hosts::lines::is_word;
use crate::http::{self, Parsed, Request, Response};
use crate::log::{Log, Reason};
use crate::wake::{Handle, Wake};
use results::{Job, ResultLimits, Results};

/// Maximum length of a call's body.
const MAX_BODY_BYTES: usize = 16 << 10;
const INBOX_BYTES: usize = 2 * MAX_BODY_BYTES + 2 * http::MAX_HEAD_BYTES;
const OUTBOX_BYTES: usize = 288 << 10;
/// A client that reads nothing for this long while an answer waits is disconnected.
const STALL_US: Micros = 10_000_000;
/// How long a connection stays half-closed after its last answer, so that the client can read it.
const LINGER_US: Micros = 1_000_000;
/// Maximum time between two reads of a request.
const REQUEST_GAP_US: Micros = 3_000_000;
/// Maximum time from the first byte of a request to its last.
const REQUEST_TIMEOUT_US: Micros = 10_000_000;
/// A connection that has sent nothing, or stopped within a request, for this long may be evicted.
const IDLE_US: Micros = 200_000;
/// How long idle connections stay open while clients are being drained.
const DRAIN_GRACE_US: Micros = 1_000_000;
/// `Retry-After` for clients that poll for a deferred result or reach a limit of this front.
const POLL_AFTER_SECS: &str = "1";
const RESULTS_PATH: &str = "/v1/results/";

/// Where the answer to a call is delivered.
#[derive(Clone, Debug, PartialEq)]
pub enum Origin {
    /// To the client that waits on this connection.
    Waiting(ConnId),
    /// To the stored results, under this name.
    Deferred(String),
}

/// A call as read from a request.
#[derive(Debug, Default, PartialEq)]
pub struct Call {
    pub class: usize,
    pub tenant: Option<usize>,
    pub function: String,
    /// How long the client waits for the answer; `None` for the timeout of the class.
    pub timeout: Option<Micros>,
    pub repeat: bool,
    pub key: Option<String>,
    pub lanes: Option<u32>,
    /// The turn of a conversation that the call carries: conversation, number of new blocks, hashes of the prefix.
    pub turn: Option<(u64, u16, Vec<u64>)>,
    pub body: Vec<u8>,
}

/// Events for the node.
pub enum Notice {
    Call {
        conn: ConnId,
        origin: Origin,
        call: Box<Call>,
    },
    /// The client of this call no longer waits for its answer.
    ClientLeft {
        ticket: Ticket,
    },
    /// A trusted proxy has named the client of a connection. The node must call [`Invoke::admit`].
    ClientIdentified {
        conn: ConnId,
        client: Option<SocketAddr>,
    },
    /// The head of a call of this tenant with a body of this size has arrived. The node must call
    /// [`Invoke::decide_body`].
    CallHead {
        conn: ConnId,
        tenant: Option<usize>,
        size: usize,
    },
    /// A connection has ended.
    Closed {
        conn: ConnId,
    },
}

enum State {
    /// Between requests, or within an incomplete one.
    Reading,
    /// The head of a call is complete, and the node has not decided yet whether its body is read.
    HeadRead,
    /// A call is running; its answer is sent on this connection.
    Waiting { ticket: Option<Ticket>, keep_alive: bool },
    /// The last answer is being sent; then the connection closes for this reason.
    Closing(Reason),
    /// The last answer was sent, and the connection is half-closed since then. What the client still sends is read and
    /// discarded, because a reset for unread bytes could reach the client before the answer does.
    Lingering(Reason, Micros),
}

struct HttpConn {
    conn: Conn,
    peer: SocketAddr,
    known: bool,
    proxy: ProxyState,
    state: State,
    /// Whether the node was asked about the body of the request that is being read.
    checked: bool,
    /// Whether `100 Continue` was sent for that request.
    sent_continue: bool,
    /// When a request was last completed, or bytes were last sent.
    active_at: Micros,
    /// When the request that is still incomplete began.
    partial: Option<Micros>,
    /// When bytes last arrived.
    read_at: Micros,
    /// The last read left input unread.
    behind: bool,
    /// Deferred calls that were accepted in this visit: handed on at its end, unless the connection has ended by then.
    held: Vec<(String, Box<Call>)>,
    /// Requests received.
    requests: u64,
}

impl HttpConn {
    /// Half-closes the connection once the last answer is sent.
    fn linger_if_done(&mut self, now: Micros) {
        if let (State::Closing(reason), true) = (&self.state, self.conn.outbox.is_empty()) {
            self.state = State::Lingering(*reason, now);
            self.conn.half_close();
        }
    }
}

/// The response to a rejected client: 429 if it or its tenant exceeded its own limit, 503 if the service is full. The
/// headers follow draft-ietf-httpapi-ratelimit-headers: the policy, its remaining quota, and the seconds until it
/// refills.
fn rejection_response(rejection: Rejection) -> Response {
    let seconds = ((rejection.retry_after + 999_999) / 1_000_000).max(1);
    let (status, detail) = if rejection.client_fault {
        (429, "this client or tenant asks for more than it may; trying again is harmless")
    } else {
        (503, "there is no room for the call; trying again is harmless")
    };
    let response = Response::problem(status, detail).with("Retry-After", seconds.to_string());
    match rejection.rate {
        Some((per_second, _)) => response
            .with("RateLimit-Policy", format!("\"{}\";q={per_second};w=1", rejection.reason))
            .with("RateLimit", format!("\"{}\";r=0;t={seconds}", rejection.reason)),
        None => response,
    }
}

/// The connections of HTTP clients, and the results of deferred calls.
pub struct Invoke {
    handle: Handle,
    conns: HashMap<ConnId, HttpConn>,
    max_conns: usize,
    conn_idle: Micros,
    results: Results,
    /// Maximum unsent bytes of all connections together.
    max_unsent: usize,
    /// Connections that may have more to read.
    unread: ReadQueue,
    /// Names of the classes and of the tenants; calls hold their indices.
    names: (Vec<String>, Vec<String>),
    /// Since when clients are drained: each answer closes its connection.
    draining: Option<Micros>,
    /// Whether script hosts are known; reported by `/healthz`.
    pub ready: bool,
    /// Whether the node is asked before the body of a call is read.
    pub checks_bodies: bool,
    /// Whether `Wheellink-Turn` headers are read.
    pub reads_turns: bool,
    pub notices: Vec<Notice>,
}

impl Invoke {
    pub fn new(
        handle: Handle,
        (max_conns, max_unsent): (usize, usize),
        conn_idle: Micros,
        limits: ResultLimits,
        names: (Vec<String>, Vec<String>),
    ) -> Self {
        Self {
            handle,
            conns: HashMap::new(),
            max_conns,
            conn_idle,
            results: Results::new(limits),
            max_unsent,
            unread: ReadQueue::default(),
            names,
            draining: None,
            ready: false,
            checks_bodies: false,
            reads_turns: false,
            notices: Vec::new(),
        }
    }

    /// Whether all calls that clients wait for are answered and all answers are sent.
    pub fn is_idle(&self) -> bool {
        self.conns.values().all(|c| c.conn.outbox.is_empty() && !matches!(c.state, State::Waiting { .. }))
    }

    /// Starts or stops draining clients.
    pub fn set_draining(&mut self, now: Micros, draining: bool) {
        self.draining = draining.then(|| self.draining.unwrap_or(now));
    }

    /// Applies changed settings to new calls; running calls keep the old ones.
    pub fn update(&mut self, conn_idle: Micros, limits: ResultLimits, names: (Vec<String>, Vec<String>)) {
        (self.conn_idle, self.names) = (conn_idle, names);
        self.results.set_limits(limits);
    }

    /// Changes the limits on connections and unsent bytes.
    pub fn set_limits(&mut self, (max_conns, max_unsent): (usize, usize)) {
        (self.max_conns, self.max_unsent) = (max_conns, max_unsent);
    }

    /// Number of connections.
    pub fn connections(&self) -> usize {
        self.conns.len()
    }

    /// Registers an accepted connection; `None` if that fails.
    pub fn accept(&mut self, now: Micros, client: AcceptedClient, log: &mut Log) -> Option<ConnId> {
        let AcceptedClient { stream, peer, known, proxied } = client;
        let id = crate::conn::fresh_id();
        match Conn::accepted(&self.handle, id, stream, (INBOX_BYTES, OUTBOX_BYTES), Wake::Client) {
            Ok(conn) => {
                let state = State::Reading;
                let (sent_continue, partial, requests) = (false, None, 0);
                let proxy = if proxied { ProxyState::AwaitHeader } else { ProxyState::Settled };
                let conn = HttpConn {
                    conn,
                    peer,
                    known,
                    proxy,
                    state,
                    checked: false,
                    sent_continue,
                    active_at: now,
                    partial,
                    read_at: now,
                    behind: false,
                    held: Vec::new(),
                    requests,
                };
                self.conns.insert(id, conn);
                // Most clients have sent their request already; reading it now keeps the connection from being evicted.
                self.on_ready(now, id, log);
                Some(id)
            }
            Err(e) => {
                log.line(now, format_args!("cannot register the connection of http client {peer}: {e}"));
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

    /// Has the body of a call read, or rejects the call without reading it.
    pub fn decide_body(&mut self, now: Micros, id: ConnId, rejection: Option<Rejection>, log: &mut Log) {
        let Some(c) = self.conns.get_mut(&id).filter(|c| matches!(c.state, State::HeadRead)) else { return };
        c.state = State::Reading;
        match rejection {
            None => self.on_ready(now, id, log),
            Some(rejection) => {
                c.state = State::Closing(Reason::TurnedAway);
                self.write(now, id, &rejection_response(rejection).encode(false, false), log);
            }
        }
    }

    /// Whether a new connection can be accepted, evicting another if necessary. If not, it stays in the listener's
    /// queue.
    pub fn has_room(&mut self, now: Micros, log: &mut Log) -> bool {
        self.conns.len() < self.max_conns || self.evict(now, false, log)
    }

    /// Evicts a connection, if one can be evicted; known clients are evicted last. For a known client, any connection
    /// of an unknown client between requests or within one can be evicted, however new it is.
    pub fn make_room(&mut self, now: Micros, known: bool, log: &mut Log) -> bool {
        self.evict(now, known, log)
    }

    /// Sets whether the client of a connection is known.
    pub fn set_known(&mut self, id: ConnId, known: bool) {
        if let Some(c) = self.conns.get_mut(&id) {
            c.known = known;
        }
    }

    /// Closes a connection, once the running call is answered.
    pub fn close_after_answers(&mut self, now: Micros, id: ConnId, log: &mut Log) {
        let Some(c) = self.conns.get_mut(&id) else { return };
        if matches!(c.state, State::Reading | State::HeadRead) && c.conn.outbox.is_empty() {
            self.end(now, id, Reason::TurnedAway, log);
        } else if let State::Waiting { keep_alive, .. } = &mut c.state {
            *keep_alive = false;
        }
    }

    /// Evicts a connection without a running call. The order: connections on which nothing ever arrived, those that
    /// have lingered, those that stopped within a request, then the longest idle.
    fn evict(&mut self, now: Micros, for_known: bool, log: &mut Log) -> bool {
        let rank = |id: &ConnId, c: &HttpConn| match &c.state {
            State::Lingering(_, since) => (now - since >= IDLE_US).then_some((1, *since)),
            // Input waits to be read.
            State::Reading if self.unread.contains(*id) => Some((4, c.active_at)),
            State::Reading if for_known && !c.known => Some((3, c.active_at)),
            State::Reading if c.partial.is_some() => (now - c.read_at >= IDLE_US).then_some((2, c.read_at)),
            State::Reading if c.requests == 0 => (now - c.active_at >= IDLE_US).then_some((0, c.active_at)),
            State::Reading => Some((3, c.active_at)),
            State::HeadRead | State::Waiting { .. } | State::Closing(_) => None,
        };
        // Known clients are evicted last; without admission control no client is known.
        let ranked = self.conns.iter().filter_map(|(id, c)| Some((c.known, rank(id, c)?, *id)));
        let oldest = ranked.min().map(|(.., id)| id);
        oldest.inspect(|id| self.end(now, *id, Reason::Evicted, log)).is_some()
    }

    /// Handles a socket that is readable or writable. One whose turn to be read has yet to come is only written to.
    pub fn on_ready(&mut self, now: Micros, id: ConnId, log: &mut Log) {
        let waits = self.unread.contains(id);
        let done = match waits {
            true => self.flush(now, id),
            false => self.serve(now, id, log).and_then(|()| self.release_held(id)),
        };
        if let Err(reason) = done {
            self.end(now, id, reason, log);
        }
    }

    /// Has a socket that is readable or writable handled by [`Invoke::resume_read`].
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
        c.linger_if_done(now);
        Ok(())
    }

    fn serve(&mut self, now: Micros, id: ConnId, log: &mut Log) -> Result<(), Reason> {
        let mut visit = Visit::new();
        while visit.read() {
            self.flush(now, id)?;
            let Some(c) = self.conns.get_mut(&id) else { return Ok(()) };
            let before = c.conn.inbox.len();
            let more = c.conn.fill()?;
            c.behind = more;
            // The end of a connection with much unread is noticed before its requests are handed on.
            if more
                && c.conn.hang_up().is_some()
                && !matches!(c.state, State::Closing(_) | State::Lingering(..))
            {
                return Err(Reason::PeerClosed);
            }
            if c.conn.inbox.len() > before {
                c.read_at = now;
            }
            match c.proxy.read_header(&mut c.conn.inbox) {
                Ok(Some(client)) => self.notices.push(Notice::ClientIdentified { conn: id, client }),
                Ok(None) => {}
                Err(problem) => {
                    log.bad_input(now, format_args!("proxy {} sent {problem}", c.peer));
                    return Err(Reason::Protocol);
                }
            }
            if c.proxy != ProxyState::Settled && !c.conn.eof {
                return Ok(());
            }
            // A client that has ended its side waits for no answer and sends no further request.
            match (c.conn.eof, &c.state) {
                (true, State::Lingering(reason, _)) => return Err(*reason),
                (true, State::Reading | State::HeadRead | State::Waiting { .. }) => {
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
            // The next request is read once the answer to the one before it is sent. If more arrives meanwhile than
            // fits the buffer, it is discarded and the answer closes the connection, so the client must send it again.
            // The buffer is emptied because the end of the connection must still be noticed.
            let overflowed = c.conn.inbox.room() == 0 && matches!(c.state, State::Waiting { .. });
            if let (true, State::Waiting { keep_alive, .. }) = (overflowed, &mut c.state) {
                *keep_alive = false;
                c.conn.inbox.consume(usize::MAX);
            }
            let mut progressed = overflowed;
            while visit.allows_frame() && self.take_request(now, id, log)? {
                visit.took_frame();
                progressed = true;
            }
            if !visit.allows_frame() {
                break;
            }
            if !more || !progressed {
                return Ok(());
            }
        }
        if self.conns.contains_key(&id) {
            self.unread.push_unfinished(id);
        }
        Ok(())
    }

    /// Takes one request; false if none is complete or the last one is not answered yet.
    fn take_request(&mut self, now: Micros, id: ConnId, log: &mut Log) -> Result<bool, Reason> {
        let Some(c) = self.conns.get_mut(&id) else { return Ok(false) };
        if !matches!(c.state, State::Reading) || !c.conn.outbox.is_empty() {
            return Ok(false);
        }
        match http::next_request(&mut c.conn.inbox, MAX_BODY_BYTES) {
            Ok(Parsed::Partial { expects_continue, head }) => {
                c.partial = if c.conn.inbox.is_empty() { None } else { c.partial.or(Some(now)) };
                if let Some((head, size)) = head.map(|h| *h).filter(|_| self.checks_bodies && !c.checked) {
                    (c.checked, c.state) = (true, State::HeadRead);
                    let named = head.header("wheellink-tenant");
                    let tenant = named.and_then(|t| self.names.1.iter().position(|n| n == t));
                    self.notices.push(Notice::CallHead { conn: id, tenant, size });
                    return Ok(false);
                }
                if expects_continue && !std::mem::replace(&mut c.sent_continue, true) {
                    c.conn.outbox.push(http::CONTINUE);
                    c.conn.flush()?;
                }
                Ok(false)
            }
            Ok(Parsed::Whole(request)) => {
                (c.partial, c.sent_continue, c.checked, c.active_at) = (None, false, false, now);
                c.requests += 1;
                self.route(now, id, request, log);
                Ok(true)
            }
            Err(http::Error(status, what)) => {
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
        let keep_alive = request.keep_alive && self.draining.is_none();
        let head_only = request.method == "HEAD";
        let path = request.path.split('?').next().unwrap_or_default().to_string();
        let function = path.strip_prefix("/v1/functions/").and_then(|p| p.strip_suffix("/calls"));
        let result = path.strip_prefix(RESULTS_PATH);
        let answer = match (request.method.as_str(), function, result, path.as_str()) {
            ("POST", Some(function), ..) => match self.parse_call(function, request) {
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
                Some(Job::Open(_)) => Response::new(202).with("Retry-After", POLL_AFTER_SECS),
                Some(Job::Finished { response, .. }) => response.clone(),
                None => Response::problem(404, "no such result, or it was not collected in time"),
            },
            ("DELETE", _, Some(name), _) => match self.results.remove(name) {
                Some(Job::Open(ticket)) => {
                    self.notices.extend(ticket.map(|ticket| Notice::ClientLeft { ticket }));
                    Response::new(204)
                }
                Some(Job::Finished { .. }) => Response::new(204),
                None => Response::problem(404, "no such result, or it was not collected in time"),
            },
            ("GET" | "HEAD", .., "/healthz") if self.ready && self.draining.is_none() => Response::new(200),
            ("GET" | "HEAD", .., "/healthz") => {
                Response::problem(503, "no script host is known, or clients are sent away")
                    .with("Retry-After", POLL_AFTER_SECS)
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

    /// Parses a call, and whether it is deferred.
    fn parse_call(&self, function: &str, request: Request) -> Result<(Call, bool), Response> {
        let bad = |detail: &str| Response::problem(400, detail);
        if !is_word(function) {
            return Err(bad("no name of a function"));
        }
        let index = |names: &[String], name: &str| names.iter().position(|n| n == name);
        let class = request.header("wheellink-class").and_then(|c| index(&self.names.0, c));
        let tenant = request.header("wheellink-tenant").map(|t| index(&self.names.1, t));
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
        if let Some(text) = request.header("wheellink-turn").filter(|_| self.reads_turns) {
            let turn = Turn::parse(text).map_err(|e| bad(&format!("Wheellink-Turn: {e}")))?;
            call.turn = Some(turn);
        }
        let preferences = request.preferences();
        let deferred = preferences.iter().any(|(name, _)| name == "respond-async");
        // Without respond-async, `wait` limits how long the client waits for the answer.
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
                .with("Retry-After", POLL_AFTER_SECS);
        };
        let location = format!("{RESULTS_PATH}{name}");
        if let Some(c) = self.conns.get_mut(&conn) {
            c.held.push((name, Box::new(call)));
        }
        Response::new(202)
            .with("Location", location)
            .with("Preference-Applied", "respond-async")
            .with("Retry-After", POLL_AFTER_SECS)
    }

    /// Hands on the deferred calls of a visit. Those of a client that has closed its connection with input unread are
    /// dropped: it has not seen that they were accepted.
    fn release_held(&mut self, conn: ConnId) -> Result<(), Reason> {
        let Some(c) = self.conns.get_mut(&conn).filter(|c| !c.held.is_empty()) else { return Ok(()) };
        if c.behind && c.conn.hang_up().is_some() {
            return Err(Reason::PeerClosed);
        }
        for (name, call) in std::mem::take(&mut c.held) {
            self.notices.push(Notice::Call { conn, origin: Origin::Deferred(name), call });
        }
        Ok(())
    }

    /// Records the ticket under which the node has taken the call. False if the client no longer waits.
    pub fn set_ticket(&mut self, origin: &Origin, ticket: Ticket) -> bool {
        match origin {
            Origin::Waiting(id) => match self.conns.get_mut(id).map(|c| &mut c.state) {
                Some(State::Waiting { ticket: slot, .. }) => {
                    *slot = Some(ticket);
                    true
                }
                _ => false,
            },
            Origin::Deferred(name) => {
                self.results.set_ticket(name, ticket);
                self.results.get(name).is_some()
            }
        }
    }

    /// Delivers the final answer to a call.
    pub fn reply(&mut self, now: Micros, origin: &Origin, reply: Reply, log: &mut Log) {
        self.deliver(now, origin, Self::response(reply), log);
    }

    /// Delivers the final answer to a turn of a conversation; if it was served, with the number of blocks of its prefix
    /// that the host found.
    pub fn reply_turn(&mut self, now: Micros, origin: &Origin, reply: Reply, found: u32, log: &mut Log) {
        let served = matches!(reply, Reply::Served(_));
        let mut response = Self::response(reply);
        if served {
            response = response.with("Wheellink-Found", found.to_string());
        }
        self.deliver(now, origin, response, log);
    }

    fn response(reply: Reply) -> Response {
        match reply {
            Reply::Served(body) => Response::served(body),
            Reply::Refused(wait) => {
                let seconds = (wait + 999_999) / 1_000_000;
                Response::problem(503, "there is no room for the call; trying again is harmless")
                    .with("Retry-After", seconds.max(1).to_string())
            }
            Reply::TurnedAway(rejection) => rejection_response(rejection),
            Reply::Failed => Response::problem(502, "the call failed and may have run"),
            Reply::TimedOut => Response::problem(504, "the call was not answered in time and may have run"),
        }
    }

    fn deliver(&mut self, now: Micros, origin: &Origin, response: Response, log: &mut Log) {
        match origin {
            Origin::Waiting(id) => {
                let Some(c) = self.conns.get_mut(id) else { return };
                if let State::Waiting { keep_alive, .. } = c.state {
                    c.state = State::Reading;
                    self.respond(now, *id, response, keep_alive && self.draining.is_none(), false, log);
                    // The client may have sent its next request already, and no further edge reports it.
                    self.on_ready(now, *id, log);
                }
            }
            Origin::Deferred(name) => {
                let evicted = self.results.finish(now, name, response);
                if evicted > 0 {
                    log.line(now, format_args!("{evicted} uncollected results evicted for newer ones"));
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
                c.active_at = now;
                c.linger_if_done(now);
            }
        }
        // Clients that do not read share a memory limit. The connection whose write exceeds it is closed.
        let backed_up = self.conns.get(&id).is_some_and(|c| !c.conn.outbox.is_empty());
        if backed_up && self.conns.values().map(|c| c.conn.outbox.len()).sum::<usize>() > self.max_unsent {
            self.end(now, id, Reason::SlowReader, log);
        }
    }

    /// Ends a connection. A call that it waited for is cancelled; deferred calls continue.
    fn end(&mut self, now: Micros, id: ConnId, reason: Reason, log: &mut Log) {
        let Some(c) = self.conns.remove(&id) else { return };
        self.unread.remove(id);
        log.ended(now, format_args!("http {}", c.peer), reason, format_args!("calls={}", c.requests));
        if let State::Waiting { ticket: Some(ticket), .. } = c.state {
            self.notices.push(Notice::ClientLeft { ticket });
        }
        c.held.iter().for_each(|(name, _)| drop(self.results.remove(name)));
        c.conn.close(&self.handle);
        self.notices.push(Notice::Closed { conn: id });
    }

    /// Removes expired results, and closes connections that are idle or too slow.
    pub fn tick(&mut self, now: Micros, log: &mut Log) {
        self.results.tick(now);
        // While draining, clients have a grace period in which an answer can close their connection.
        let (idle, reason) = match self.draining {
            Some(since) if now - since >= DRAIN_GRACE_US => (DRAIN_GRACE_US / 4, Reason::Drained),
            _ => (self.conn_idle, Reason::Idle),
        };
        let over = |c: &HttpConn| match &c.state {
            _ if !c.conn.outbox.is_empty() => (now - c.active_at >= STALL_US).then_some(Reason::SlowReader),
            State::Lingering(reason, since) if now - since >= LINGER_US => Some(*reason),
            State::Reading if c.partial.is_none() && now - c.active_at >= idle => Some(reason),
            _ => None,
        };
        // Input that waits to be read may be a request.
        let over =
            |id: &ConnId, c: &HttpConn| over(c).filter(|end| *end != reason || !self.unread.contains(*id));
        let mut over: Vec<_> = self.conns.iter().filter_map(|(id, c)| Some((*id, over(id, c)?))).collect();
        over.sort_by_key(|(id, _)| *id);
        for (id, reason) in over {
            self.end(now, id, reason, log);
        }
        let slow = |c: &HttpConn| {
            let stuck = |b| now - b >= REQUEST_TIMEOUT_US || now - c.read_at >= REQUEST_GAP_US;
            matches!(c.state, State::Reading) && c.partial.is_some_and(stuck)
        };
        let slow = self.conns.iter().filter(|(id, c)| slow(c) && !self.unread.contains(**id));
        let mut slow: Vec<_> = slow.map(|(id, _)| *id).collect();
        slow.sort();
        for id in slow {
            let answer = Response::problem(408, "the request did not come whole in time");
            self.respond(now, id, answer, false, false, log);
        }
    }

    /// Closes all connections.
    pub fn shut_down(&mut self, now: Micros, log: &mut Log) {
        let mut ids: Vec<_> = self.conns.keys().copied().collect();
        ids.sort();
        for id in ids {
            self.end(now, id, Reason::Shutdown, log);
        }
    }
}
