//! The control address for operators: HTTP/1.1, one request per connection. This module parses commands and writes
//! answers; the node carries the commands out.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpStream};

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use wheellink::Micros;
use wheellink_accord::Change;
use wheellink_admission::Prefix;
use wheellink_rollout::Plan;

use crate::conn::{Conn, ConnId};
use crate::http::{self, Parsed, Request, Response};
use crate::log::{Log, Reason};
use crate::wake::{Handle, Wake};

/// Longest request body: a change of the agreed settings with some thousand entries, which takes a few milliseconds to
/// parse.
const MAX_BODY_BYTES: usize = 256 << 10;
const INBOX_BYTES: usize = MAX_BODY_BYTES + http::MAX_HEAD_BYTES;
const OUTBOX_BYTES: usize = 256 << 10;
/// Time limit for receiving a complete request.
const REQUEST_TIMEOUT_US: Micros = 5_000_000;
/// Time limit for a caller to read its answer and close the connection.
const LINGER_US: Micros = 1_000_000;

/// A command of an operator.
#[derive(Debug, PartialEq)]
pub enum Command {
    /// Show whether this process is ready to serve.
    Status,
    /// Show all metrics.
    Metrics,
    /// Take this host out of service, or put it back in. A host out of service receives nothing new.
    Host { id: String, out: bool },
    /// Switch standby on or off. In standby the process accepts no new clients.
    Standby(bool),
    /// Control a rollout.
    Rollout(RolloutCommand),
    /// Control admission.
    Admission(AdmissionCommand),
    /// Show which other activators are alive, or leave them.
    Members { leave: bool },
    /// Show what has been learned of drafts, and which drafts are in force.
    Drafts,
    /// Show which sites hold prefixes of conversations, and how turns were routed.
    Turns,
    /// Show the agreed settings, or propose a change.
    Accord(Option<Box<Change>>),
}

/// A command on admission. Also sent to the other process of this address, as JSON.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AdmissionCommand {
    Show,
    Block(Prefix),
    Unblock(Prefix),
    Know { prefix: Prefix, known: bool },
}

/// A command on a rollout.
#[derive(Debug, PartialEq)]
pub enum RolloutCommand {
    /// Show its state.
    Show,
    /// Start this plan, or the one of the configuration.
    Begin(Option<Box<Plan>>),
    /// Go to the next step, or to this step, counted from 1.
    Step(Option<usize>),
    Hold,
    Back,
    Complete,
}

#[derive(Deserialize)]
struct HostBody {
    host: String,
}

#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct StepBody {
    to: Option<usize>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct PrefixBody {
    prefix: Prefix,
    #[serde(default = "yes")]
    known: bool,
}

fn yes() -> bool {
    true
}

fn admission(request: &Request, path: &str) -> Result<AdmissionCommand, Response> {
    if path == "/admission" {
        return Ok(AdmissionCommand::Show);
    }
    let wanted = || Response::problem(400, "the body must be {\"prefix\":\"ADDRESS/LENGTH\"}");
    let PrefixBody { prefix, known } = optional_body::<PrefixBody>(request)?.ok_or_else(wanted)?;
    Ok(match path {
        "/admission/block" => AdmissionCommand::Block(prefix),
        "/admission/unblock" => AdmissionCommand::Unblock(prefix),
        _ => AdmissionCommand::Know { prefix, known },
    })
}

/// Parses the body; `None` if it is empty.
fn optional_body<T: DeserializeOwned>(request: &Request) -> Result<Option<T>, Response> {
    if request.body.iter().all(u8::is_ascii_whitespace) {
        return Ok(None);
    }
    serde_json::from_slice(&request.body)
        .map(Some)
        .map_err(|e| Response::problem(400, &format!("the body: {e}")))
}

fn rollout(request: &Request, path: &str) -> Result<RolloutCommand, Response> {
    let call = match path {
        "/rollout" if request.method != "POST" => RolloutCommand::Show,
        "/rollout" => {
            let plan = optional_body::<Plan>(request)?;
            if let Some(Err(problem)) = plan.as_ref().map(Plan::check) {
                return Err(Response::problem(400, &format!("the plan: {problem}")));
            }
            RolloutCommand::Begin(plan.map(Box::new))
        }
        "/rollout/step" => RolloutCommand::Step(optional_body::<StepBody>(request)?.unwrap_or_default().to),
        "/rollout/hold" => RolloutCommand::Hold,
        "/rollout/back" => RolloutCommand::Back,
        "/rollout/complete" => RolloutCommand::Complete,
        _ => return Err(Response::problem(404, "no such path")),
    };
    Ok(call)
}

/// Parses a request.
///
/// # Errors
/// The answer that says what is wrong with the request.
pub fn parse_command(request: &Request) -> Result<Command, Response> {
    let path = request.path.split('?').next().unwrap_or_default();
    let wanted = match (path, request.method.as_str()) {
        ("/status" | "/metrics" | "/admission" | "/members" | "/drafts" | "/turns", _) => "GET",
        ("/rollout" | "/accord", "GET" | "HEAD") => "GET",
        _ => "POST",
    };
    let call = match path {
        "/status" => Command::Status,
        "/metrics" => Command::Metrics,
        "/maintenance/enter" | "/maintenance/exit" => {
            Command::Host { id: String::new(), out: path.ends_with("enter") }
        }
        "/accord" => Command::Accord(None),
        "/members" | "/members/leave" => Command::Members { leave: path.ends_with("leave") },
        "/drafts" => Command::Drafts,
        "/turns" => Command::Turns,
        "/standby" | "/active" => Command::Standby(path == "/standby"),
        "/rollout" | "/rollout/step" | "/rollout/hold" | "/rollout/back" | "/rollout/complete" => {
            Command::Rollout(RolloutCommand::Show)
        }
        "/admission" | "/admission/block" | "/admission/unblock" | "/admission/known" => {
            Command::Admission(AdmissionCommand::Show)
        }
        _ => return Err(Response::problem(404, "no such path")),
    };
    if request.method != wanted && (wanted, request.method.as_str()) != ("GET", "HEAD") {
        return Err(Response::problem(405, "wrong method for this path").with("Allow", wanted));
    }
    match call {
        Command::Host { out, .. } => match serde_json::from_slice::<HostBody>(&request.body) {
            Ok(HostBody { host }) if !host.is_empty() => Ok(Command::Host { id: host, out }),
            _ => Err(Response::problem(400, "the body must be {\"host\":\"ID\"}")),
        },
        Command::Rollout(_) => rollout(request, path).map(Command::Rollout),
        Command::Admission(_) => admission(request, path).map(Command::Admission),
        Command::Accord(_) if request.method == "POST" => match crate::accords::parse_change(&request.body) {
            Ok(change) => Ok(Command::Accord(Some(Box::new(change)))),
            Err(problem) => Err(Response::problem(400, &problem)),
        },
        call => Ok(call),
    }
}

struct Caller {
    conn: Conn,
    peer: SocketAddr,
    begun: Micros,
    /// When its answer was queued.
    answered: Option<Micros>,
    head_only: bool,
}

/// The connections of operators.
pub struct Control {
    handle: Handle,
    callers: BTreeMap<ConnId, Caller>,
    /// Connections at once. A new one displaces the oldest; the command of a complete request is carried out at once, so
    /// the displaced ones are done or have not sent a complete request.
    max_callers: usize,
    pub commands: Vec<(ConnId, Command)>,
}

impl Control {
    pub fn new(handle: Handle, max_callers: usize) -> Self {
        Self { handle, callers: BTreeMap::new(), max_callers, commands: Vec::new() }
    }

    pub fn set_max_callers(&mut self, max_callers: usize) {
        self.max_callers = max_callers;
    }

    pub fn conn_count(&self) -> usize {
        self.callers.len()
    }

    pub fn accept(&mut self, now: Micros, stream: TcpStream, peer: SocketAddr, log: &mut Log) {
        if self.callers.len() >= self.max_callers {
            // Answered callers are closed first, then the oldest.
            let first =
                self.callers.iter().min_by_key(|(id, c)| (c.answered.is_none(), **id)).map(|(id, _)| *id);
            first.into_iter().for_each(|id| self.end(now, id, Reason::Evicted, log));
        }
        let id = crate::conn::fresh_id();
        match Conn::accepted(&self.handle, id, stream, (INBOX_BYTES, OUTBOX_BYTES), Wake::Caller) {
            Ok(conn) => {
                let caller = Caller { conn, peer, begun: now, answered: None, head_only: false };
                self.callers.insert(id, caller);
                self.ready(now, id, log);
            }
            Err(e) => log.line(now, format_args!("control caller {peer} cannot be accepted: {e}")),
        }
    }

    /// Handles a connection that is readable or writable.
    pub fn ready(&mut self, now: Micros, id: ConnId, log: &mut Log) {
        if let Err(reason) = self.serve(now, id, log) {
            self.end(now, id, reason, log);
        }
    }

    fn serve(&mut self, now: Micros, id: ConnId, log: &mut Log) -> Result<(), Reason> {
        let Some(c) = self.callers.get_mut(&id) else { return Ok(()) };
        c.conn.flush()?;
        c.conn.fill()?;
        if c.answered.is_some() {
            c.conn.inbox.consume(usize::MAX);
            return match (c.conn.outbox.is_empty(), c.conn.eof) {
                (true, true) => Err(Reason::Finished),
                (true, false) => {
                    c.conn.half_close();
                    Ok(())
                }
                _ => Ok(()),
            };
        }
        match http::next_request(&mut c.conn.inbox, MAX_BODY_BYTES) {
            Ok(Parsed::Partial { .. }) if c.conn.eof => Err(Reason::PeerClosed),
            Ok(Parsed::Partial { expects_continue, .. }) => {
                if expects_continue {
                    c.conn.outbox.push(http::CONTINUE);
                    c.conn.flush()?;
                }
                Ok(())
            }
            Ok(Parsed::Whole(request)) => {
                c.head_only = request.method == "HEAD";
                match parse_command(&request) {
                    Ok(command) => self.commands.push((id, command)),
                    Err(problem) => self.answer(now, id, problem, log),
                }
                Ok(())
            }
            Err(http::Error(status, what)) => {
                self.answer(now, id, Response::problem(status, what), log);
                Ok(())
            }
        }
    }

    /// Queues the answer; the connection is closed after it.
    pub fn answer(&mut self, now: Micros, id: ConnId, response: Response, log: &mut Log) {
        let Some(c) = self.callers.get_mut(&id).filter(|c| c.answered.is_none()) else { return };
        c.answered = Some(now);
        c.conn.outbox.push(&response.encode(false, c.head_only));
        self.ready(now, id, log);
    }

    fn end(&mut self, now: Micros, id: ConnId, reason: Reason, log: &mut Log) {
        if let Some(c) = self.callers.remove(&id) {
            // No line for answered callers: there may be many in a second.
            if c.answered.is_none() {
                log.ended(now, format_args!("control {}", c.peer), reason, "");
            }
            c.conn.close(&self.handle);
        }
    }

    /// Closes connections that have exceeded their time limits.
    pub fn tick(&mut self, now: Micros, log: &mut Log) {
        let over = |c: &Caller| c.answered.is_some_and(|at| now - at >= LINGER_US);
        let stuck = |c: &Caller| c.answered.is_none() && now - c.begun >= REQUEST_TIMEOUT_US;
        let over: Vec<_> = self.callers.iter().filter(|(_, c)| over(c)).map(|(id, _)| *id).collect();
        over.into_iter().for_each(|id| self.end(now, id, Reason::Finished, log));
        let stuck: Vec<_> = self.callers.iter().filter(|(_, c)| stuck(c)).map(|(id, _)| *id).collect();
        for id in stuck {
            self.answer(now, id, Response::problem(408, "the request was not complete in time"), log);
        }
    }

    pub fn shut_down(&mut self, now: Micros, log: &mut Log) {
        let ids: Vec<_> = self.callers.keys().copied().collect();
        ids.into_iter().for_each(|id| self.end(now, id, Reason::Shutdown, log));
    }
}

#[cfg(test)]
mod tests;
