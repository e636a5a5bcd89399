//! Decodes and encodes the JSON lines of the simulator's protocol, marsh-74f8, from and to the library's types.

use std::fmt::Write;

use serde::Deserialize;
use serde_json::{json, Value};
use wheellink::*;
use wheellink_settings::{Deployment, Options};

/// A decoded line of input. The simulator sends events in batches; the adapter writes one reply per batch.
pub enum Line {
    /// Begins batch `n`, whose events are handled at the time `now`.
    Mark { now: i64, n: i64 },
    /// Ends the batch; the adapter then writes the reply.
    Flush,
    /// Creates an instance.
    Create { id: i64, seed: u64, options: Box<Options> },
    /// Removes an instance.
    Destroy { id: i64 },
    /// An event for an instance.
    Event { id: i64, name: &'static str, event: WireEvent },
    /// An event that is not passed to the router, such as the result of a probe.
    Ignored { id: i64, name: &'static str },
}

/// A line of input as JSON. Unknown keys are ignored.
#[derive(Deserialize)]
#[serde(tag = "event_type", rename_all_fields = "PascalCase")]
enum Message {
    #[serde(rename = "MARK")]
    Mark {
        ts_us: i64,
        #[serde(rename = "n")]
        n: i64,
    },
    #[serde(rename = "FLUSH")]
    Flush,
    #[serde(rename = "CREATE")]
    Create { i: i64, rng_seed: serde_json::Number, options: Box<Options> },
    #[serde(rename = "DESTROY")]
    Destroy { i: i64 },
    #[serde(rename = "SYNC")]
    Sync {
        i: i64,
        scope: String,
        #[serde(default)]
        members: Option<Vec<Member>>,
    },
    #[serde(rename = "INGRESS")]
    Ingress {
        i: i64,
        request_id: String,
        cls: String,
        client_group: Option<Value>,
        callee: String,
        due_us: i64,
        concurrency: Option<f64>,
        weight_hint_us: Option<i64>,
        opts: Option<i64>,
    },
    #[serde(rename = "DROPPED")]
    Dropped { i: i64, request_id: String },
    #[serde(rename = "ANSWER")]
    Answer {
        i: i64,
        request_id: String,
        over: Option<bool>,
        info: Option<i64>,
        ending: String,
        leg: Option<u32>,
        server: String,
        duration_us: Option<i64>,
        pressure: Option<serde_json::Map<String, Value>>,
    },
    #[serde(rename = "STARTED")]
    Started { i: i64, request_id: String },
    #[serde(rename = "NOTE_FROM")]
    NoteFrom { i: i64, who: i64, octets: Option<Value> },
    #[serde(rename = "DUE")]
    Due {
        i: i64,
        #[serde(rename = "Tag")]
        _tag: String,
    },
    #[serde(rename = "BROUGHT_UP")]
    BroughtUp { i: i64, server: String, callee: String, ending: String, units_held: Option<u32> },
    #[serde(rename = "CHECKED")]
    Checked {
        i: i64,
        #[serde(rename = "Server")]
        _server: String,
        ending: String,
    },
}

/// An entry of the host list.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Member {
    server: String,
    locality: Option<String>,
    pod: Option<i64>,
    condition: String,
    size: Option<f64>,
    ready_at_us: Option<i64>,
}

/// An event as decoded, before an instance completes it with the indexes and rules of its settings.
pub enum WireEvent {
    /// Needs no settings.
    Complete(Event),
    /// A host list; the zones and conditions of its entries are still names.
    List { kind: ListKind, members: Vec<Member> },
    /// `event` still lacks the indexes of its class and tenant.
    Arrival { class: String, tenant: Option<String>, event: Event },
    /// `event` still lacks the values reported in `info`; the settings say which of them are reported.
    Answer { info: i64, ending: Outcome, event: Event },
}

/// Decodes one line.
pub fn decode(text: &str) -> Result<Line, String> {
    let message: Message = serde_json::from_str(text).map_err(|e| decode_error(text, &e))?;
    let complete = |id, name, event| Ok(Line::Event { id, name, event: WireEvent::Complete(event) });
    match message {
        Message::Mark { ts_us, n } => Ok(Line::Mark { now: ts_us, n }),
        Message::Flush => Ok(Line::Flush),
        Message::Create { i, rng_seed, options } => {
            let seed = rng_seed.as_u64().or_else(|| rng_seed.as_i64().map(|s| s as u64));
            let seed = seed.ok_or("CREATE: rng_seed is no integer")?;
            Ok(Line::Create { id: i, seed, options })
        }
        Message::Destroy { i } => Ok(Line::Destroy { id: i }),
        Message::Sync { i, scope, members } => {
            let kind = match scope.as_str() {
                "cached" => ListKind::Cached,
                "full" => ListKind::Full,
                "delta" => ListKind::Delta,
                "failed" => ListKind::Failed,
                other => return Err(format!("SYNC: unknown Scope {other:?}")),
            };
            let event = WireEvent::List { kind, members: members.unwrap_or_default() };
            Ok(Line::Event { id: i, name: "SYNC", event })
        }
        Message::Ingress {
            i,
            request_id,
            cls,
            client_group,
            callee,
            due_us,
            concurrency,
            weight_hint_us,
            opts,
        } => {
            let tenant = match client_group {
                None | Some(Value::Null) | Some(Value::Number(_)) => None,
                Some(Value::String(name)) => Some(name),
                Some(_) => return Err("INGRESS: client_group is no name".into()),
            };
            // Bit 0 of `opts`: the hint is valid; bit 1: the request is a client's retry.
            let event = Event::Arrival {
                request: request_id.as_str().into(),
                class: 0,
                tenant: None,
                function: callee.as_str().into(),
                due: due_us,
                lanes: concurrency.map_or(1, |c| c as u32),
                repeat: opts.unwrap_or(0) & 2 != 0,
                hint: weight_hint_us.filter(|_| opts.unwrap_or(0) & 1 != 0).unwrap_or(0).max(0),
            };
            Ok(Line::Event {
                id: i,
                name: "INGRESS",
                event: WireEvent::Arrival { class: cls, tenant, event },
            })
        }
        Message::Dropped { i, request_id } => {
            complete(i, "DROPPED", Event::ClientLeft { request: request_id.as_str().into() })
        }
        Message::Answer { i, request_id, over, info, ending, leg, server, duration_us, pressure } => {
            let ending = outcome(&ending).map_err(|e| format!("ANSWER: {e}"))?;
            let event = Event::Answer {
                request: request_id.as_str().into(),
                attempt: leg.unwrap_or(0),
                worker: server.as_str().into(),
                outcome: ending,
                finished: over.unwrap_or(false),
                duration: duration_us.unwrap_or(0),
                found: None,
                overlap: None,
                report: pressure.as_ref().and_then(|p| {
                    let number = |name| p.get(name).and_then(Value::as_f64);
                    LoadReport::new(number("outstanding")?, number("backlog").unwrap_or(0.0))
                }),
            };
            let event = WireEvent::Answer { info: info.unwrap_or(0), ending, event };
            Ok(Line::Event { id: i, name: "ANSWER", event })
        }
        Message::Started { i, request_id } => {
            complete(i, "STARTED", Event::StreamStarted { request: request_id.as_str().into() })
        }
        Message::Due { i, .. } => complete(i, "DUE", Event::Woken),
        Message::BroughtUp { i, server, callee, ending, units_held } => {
            let outcome = outcome(&ending).map_err(|e| format!("BROUGHT_UP: {e}"))?;
            let (worker, function) = (server.as_str().into(), callee.as_str().into());
            let event = Event::LoadEnded { worker, function, outcome, copies: units_held.unwrap_or(0) };
            complete(i, "BROUGHT_UP", event)
        }
        Message::NoteFrom { i, who, octets } => {
            let octets = octets.as_ref().and_then(Value::as_str).unwrap_or_default();
            let data = octets.chars().map(u8::try_from).collect::<Result<_, _>>();
            match (u32::try_from(who), data) {
                (Ok(from), Ok(data)) => complete(i, "NOTE_FROM", Event::GossipReceived { from, data }),
                _ => Ok(Line::Ignored { id: i, name: "NOTE_FROM" }),
            }
        }
        Message::Checked { i, ending, .. } => {
            outcome(&ending).map_err(|e| format!("CHECKED: {e}"))?;
            Ok(Line::Ignored { id: i, name: "CHECKED" })
        }
    }
}

/// Error message for a line that cannot be decoded, with the name of its event if it has one.
fn decode_error(text: &str, error: &serde_json::Error) -> String {
    let value: Option<Value> = serde_json::from_str(text).ok();
    match value.as_ref().map(|v| v.get("event_type").and_then(Value::as_str)) {
        Some(Some(name)) => format!("{name}: {error}"),
        Some(None) => format!("no event_type: {error}"),
        None => format!("not JSON: {error}"),
    }
}

fn outcome(name: &str) -> Result<Outcome, String> {
    Ok(match name {
        "completed" => Outcome::Done,
        "errored" => Outcome::Error,
        "saturated" => Outcome::Full,
        "overdue" => Outcome::TimedOut,
        "refused_conn" => Outcome::ConnectFailed,
        "severed" => Outcome::Reset,
        "recalled" => Outcome::Cancelled,
        "superseded" => Outcome::NotSent,
        "lookup_miss" => Outcome::Miss,
        other => return Err(format!("unknown Ending {other:?}")),
    })
}

/// An instance that the simulator created: a router and its deployment, which holds the names that events use.
pub struct Instance {
    router: Router,
    deployment: Deployment,
}

impl Instance {
    /// Creates a router from the settings object.
    pub fn new(seed: u64, options: Box<Options>) -> Result<Self, String> {
        let mut deployment = Deployment::try_from(*options).map_err(|e| format!("settings: {e}"))?;
        // The protocol carries a byte as a character; one above 127 takes two bytes in UTF-8, so the maximum is halved.
        deployment.settings.max_gossip_bytes /= 2;
        Ok(Self { router: deployment.router(seed).map_err(|e| e.to_string())?, deployment })
    }

    /// Completes the event and passes it to the router.
    pub fn handle(&mut self, now: i64, event: WireEvent, actions: &mut Vec<Action>) -> Result<(), String> {
        let event = match event {
            WireEvent::Complete(event) => event,
            WireEvent::List { kind, members } => {
                let entries =
                    members.into_iter().map(|m| entry(&self.deployment, m)).collect::<Result<_, _>>()?;
                Event::List { kind, entries }
            }
            WireEvent::Arrival { class: name, tenant: tenant_name, mut event } => {
                let index = self.deployment.class(&name).ok_or_else(|| format!("unknown Cls {name:?}"))?;
                if let Event::Arrival { class, tenant, .. } = &mut event {
                    *class = index;
                    *tenant = tenant_name.and_then(|name| self.deployment.tenant(&name));
                }
                event
            }
            WireEvent::Answer { info, ending, mut event } => {
                let wire = &self.deployment.transport;
                if let Event::Answer { found, overlap, .. } = &mut event {
                    // The low 3 bits of `info` report the copy, the bits above count requests for the same function.
                    *found = match (info & 7, ending) {
                        (1, Outcome::Done) if wire.reports_found => Some(Found::Warm),
                        (2, Outcome::Done) if wire.reports_found => Some(Found::BeganLoad),
                        (3, Outcome::Done) if wire.reports_found => Some(Found::AwaitedLoad),
                        (4, Outcome::Miss | Outcome::Error) => Some(Found::LoadFailed),
                        _ => None,
                    };
                    let counted = wire.reports_overlap && matches!(ending, Outcome::Done | Outcome::Full);
                    *overlap = counted.then_some((info >> 3).max(0) as u32);
                }
                event
            }
        };
        self.router.handle(now, event, actions);
        Ok(())
    }
}

fn entry(deployment: &Deployment, member: Member) -> Result<ListEntry, String> {
    Ok(ListEntry {
        worker: member.server.as_str().into(),
        zone: deployment.zone(member.locality.as_deref()),
        cell: member.pod,
        condition: match member.condition.as_str() {
            "U" => Condition::Up,
            "L" => Condition::Draining,
            "D" => Condition::Gone,
            other => return Err(format!("unknown Condition {other:?}")),
        },
        size: member.size.unwrap_or(1.0),
        ready_at: member.ready_at_us.unwrap_or(0),
    })
}

/// Writes one action as a line.
pub fn encode(i: i64, action: &Action, reply: &mut String) {
    let line = match action {
        // The simulator sends attempts at once, so `leave_by` is not needed.
        Action::Send { request, worker, timeout, .. } => json!({"event_type": "ATTEMPT", "I": i,
            "RequestId": &*request.0, "TimeoutUs": timeout.unwrap_or(0), "Server": &*worker.0}),
        Action::Refuse { request, retry_after } => json!({"event_type": "OVERLOAD_REPLY", "I": i,
            "RequestId": &*request.0, "StayAwayUs": retry_after}),
        Action::Fail { request } => json!({"event_type": "SURRENDER", "I": i, "RequestId": &*request.0}),
        Action::Cancel { request, attempt } => json!({"event_type": "CALL_OFF", "I": i,
            "RequestId": &*request.0, "Leg": attempt}),
        Action::Load { worker, function, copies } => json!({"event_type": "BRING_UP", "I": i,
            "Server": &*worker.0, "Callee": &*function.0, "UnitsHeld": copies}),
        Action::Subscribe => json!({"event_type": "SUBSCRIBE", "I": i, "On": true}),
        Action::Wake { at } => json!({"event_type": "WAKE_ME", "I": i, "AlarmTimeUs": at, "Tag": "wake"}),
        // The protocol carries text: each byte is sent as the character with that code.
        Action::Broadcast { data } => json!({"event_type": "SAY", "I": i, "Addressee": "*",
            "Octets": data.iter().map(|b| char::from(*b)).collect::<String>()}),
        Action::Log { text } => json!({"event_type": "WRITE_LOG", "I": i, "Text": text}),
    };
    write_line(&line, reply);
}

/// Reports that the decision module of an instance panicked.
pub fn encode_bail_out(i: i64, text: &str, reply: &mut String) {
    write_line(&json!({"event_type": "BAIL_OUT", "I": i, "Text": text}), reply);
}

/// Ends the reply to batch `n`.
pub fn encode_yield(n: i64, reply: &mut String) {
    write_line(&json!({"event_type": "YIELD", "n": n}), reply);
}

fn write_line(line: &Value, reply: &mut String) {
    writeln!(reply, "{line}").expect("writing to a string cannot fail");
}
