//! The marsh-74f8 wire: JSON lines to and from the library's types.

use std::fmt::Write;

use serde::Deserialize;
use serde_json::{json, Value};
use wheellink::*;
use wheellink_settings::{Deployment, Options};

/// One line of input.
pub enum Line {
    Mark { now: i64, n: i64 },
    Flush,
    Create { instance: i64, seed: u64, options: Box<Options> },
    Destroy { instance: i64 },
    Event { instance: i64, name: &'static str, event: Raw },
    Ignored { instance: i64, name: &'static str },
}

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

/// An event whose names are not resolved yet.
pub enum Raw {
    Ready(Event),
    List { kind: ListKind, members: Vec<Member> },
    Arrival { class: String, tenant: Option<String>, event: Event },
    Answer { info: i64, ending: Outcome, event: Event },
}

/// Decodes one line.
pub fn decode(text: &str) -> Result<Line, String> {
    let message: Message = serde_json::from_str(text).map_err(|e| describe(text, &e))?;
    let ready = |instance, name, event| Ok(Line::Event { instance, name, event: Raw::Ready(event) });
    match message {
        Message::Mark { ts_us, n } => Ok(Line::Mark { now: ts_us, n }),
        Message::Flush => Ok(Line::Flush),
        Message::Create { i, rng_seed, options } => {
            let seed = rng_seed.as_u64().or_else(|| rng_seed.as_i64().map(|s| s as u64));
            let seed = seed.ok_or("CREATE: rng_seed is no integer")?;
            Ok(Line::Create { instance: i, seed, options })
        }
        Message::Destroy { i } => Ok(Line::Destroy { instance: i }),
        Message::Sync { i, scope, members } => {
            let kind = match scope.as_str() {
                "cached" => ListKind::Cached,
                "full" => ListKind::Full,
                "delta" => ListKind::Delta,
                "failed" => ListKind::Failed,
                other => return Err(format!("SYNC: unknown Scope {other:?}")),
            };
            let event = Raw::List { kind, members: members.unwrap_or_default() };
            Ok(Line::Event { instance: i, name: "SYNC", event })
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
                instance: i,
                name: "INGRESS",
                event: Raw::Arrival { class: cls, tenant, event },
            })
        }
        Message::Dropped { i, request_id } => {
            ready(i, "DROPPED", Event::ClientLeft { request: request_id.as_str().into() })
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
                    let figure = |name| p.get(name).and_then(Value::as_f64);
                    LoadReport::new(figure("outstanding")?, figure("backlog").unwrap_or(0.0))
                }),
            };
            let event = Raw::Answer { info: info.unwrap_or(0), ending, event };
            Ok(Line::Event { instance: i, name: "ANSWER", event })
        }
        Message::Started { i, request_id } => {
            ready(i, "STARTED", Event::StreamStarted { request: request_id.as_str().into() })
        }
        Message::Due { i, .. } => ready(i, "DUE", Event::Woken),
        Message::BroughtUp { i, server, callee, ending, units_held } => {
            let outcome = outcome(&ending).map_err(|e| format!("BROUGHT_UP: {e}"))?;
            let (worker, function) = (server.as_str().into(), callee.as_str().into());
            let event = Event::LoadEnded { worker, function, outcome, copies: units_held.unwrap_or(0) };
            ready(i, "BROUGHT_UP", event)
        }
        Message::NoteFrom { i, who, octets } => {
            let octets = octets.as_ref().and_then(Value::as_str).unwrap_or_default();
            let data = octets.chars().map(u8::try_from).collect::<Result<_, _>>();
            match (u32::try_from(who), data) {
                (Ok(from), Ok(data)) => ready(i, "NOTE_FROM", Event::GossipReceived { from, data }),
                _ => Ok(Line::Ignored { instance: i, name: "NOTE_FROM" }),
            }
        }
        Message::Checked { i, ending, .. } => {
            outcome(&ending).map_err(|e| format!("CHECKED: {e}"))?;
            Ok(Line::Ignored { instance: i, name: "CHECKED" })
        }
    }
}

/// Names the event of a line that cannot be decoded, where it has one.
fn describe(text: &str, problem: &serde_json::Error) -> String {
    let value: Option<Value> = serde_json::from_str(text).ok();
    match value.as_ref().map(|v| v.get("event_type").and_then(Value::as_str)) {
        Some(Some(name)) => format!("{name}: {problem}"),
        Some(None) => format!("no event_type: {problem}"),
        None => format!("not JSON: {problem}"),
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

/// One instance: a router and the names that its events use.
pub struct Host {
    router: Router,
    deployment: Deployment,
}

impl Host {
    /// Reads the settings.
    pub fn new(seed: u64, options: Box<Options>) -> Result<Self, String> {
        let mut deployment = Deployment::try_from(*options).map_err(|e| format!("settings: {e}"))?;
        // A byte above 127 takes two on this wire.
        deployment.settings.max_gossip_bytes /= 2;
        Ok(Self { router: deployment.router(seed).map_err(|e| e.to_string())?, deployment })
    }

    /// Resolves names and hands the event on.
    pub fn handle(&mut self, now: i64, raw: Raw, actions: &mut Vec<Action>) -> Result<(), String> {
        let event = match raw {
            Raw::Ready(event) => event,
            Raw::List { kind, members } => {
                let entries =
                    members.into_iter().map(|m| entry(&self.deployment, m)).collect::<Result<_, _>>()?;
                Event::List { kind, entries }
            }
            Raw::Arrival { class: name, tenant: group, mut event } => {
                let known = self.deployment.class(&name).ok_or_else(|| format!("unknown Cls {name:?}"))?;
                if let Event::Arrival { class, tenant, .. } = &mut event {
                    *class = known;
                    *tenant = group.and_then(|g| self.deployment.tenant(&g));
                }
                event
            }
            Raw::Answer { info, ending, mut event } => {
                let told = &self.deployment.transport;
                if let Event::Answer { found, overlap, .. } = &mut event {
                    *found = match (info & 7, ending) {
                        (1, Outcome::Done) if told.reports_found => Some(Found::Warm),
                        (2, Outcome::Done) if told.reports_found => Some(Found::BeganLoad),
                        (3, Outcome::Done) if told.reports_found => Some(Found::AwaitedLoad),
                        (4, Outcome::Miss | Outcome::Error) => Some(Found::LoadFailed),
                        _ => None,
                    };
                    let counted = told.reports_overlap && matches!(ending, Outcome::Done | Outcome::Full);
                    *overlap = counted.then_some((info >> 3).max(0) as u32);
                }
                event
            }
        };
        self.router.handle(now, event, actions);
        Ok(())
    }
}

fn entry(deployment: &Deployment, m: Member) -> Result<ListEntry, String> {
    Ok(ListEntry {
        worker: m.server.as_str().into(),
        zone: deployment.zone(m.locality.as_deref()),
        cell: m.pod.unwrap_or(-1),
        condition: match m.condition.as_str() {
            "U" => Condition::Up,
            "L" => Condition::Draining,
            "D" => Condition::Gone,
            other => return Err(format!("unknown Condition {other:?}")),
        },
        size: m.size.unwrap_or(1.0),
        ready_at: m.ready_at_us.unwrap_or(0),
    })
}

/// Writes one action as a line.
pub fn encode(i: i64, action: &Action, reply: &mut String) {
    let line = match action {
        // The simulator sends at once.
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
        // A byte a character, as what is told there is text.
        Action::Broadcast { data } => json!({"event_type": "SAY", "I": i, "Addressee": "*",
            "Octets": data.iter().map(|b| char::from(*b)).collect::<String>()}),
        Action::Log { text } => json!({"event_type": "WRITE_LOG", "I": i, "Text": text}),
    };
    push(&line, reply);
}

/// Writes that an instance's decision code failed.
pub fn encode_bail_out(i: i64, text: &str, reply: &mut String) {
    push(&json!({"event_type": "BAIL_OUT", "I": i, "Text": text}), reply);
}

/// Ends a reply.
pub fn encode_yield(n: i64, reply: &mut String) {
    push(&json!({"event_type": "YIELD", "n": n}), reply);
}

fn push(line: &Value, reply: &mut String) {
    writeln!(reply, "{line}").expect("writing to a string cannot fail");
}
