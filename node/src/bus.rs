//! The event bus: the host list as numbered events, over TCP and in the configuration.

use std::net::{Ipv4Addr, SocketAddr};

use serde_json::Value;
use wheellink::{Condition, ListEntry, ListKind, Micros};
use wheellink_settings::Deployment;

use crate::conn::Conn;
use crate::log::Reason;
use crate::ring::Ring;

/// One numbered event.
#[derive(Debug, PartialEq)]
pub struct Event {
    pub number: u64,
    pub kind: ListKind,
    pub hosts: Vec<Host>,
}

/// An entry of the host list and where it listens.
#[derive(Clone, Debug, PartialEq)]
pub struct Host {
    pub entry: ListEntry,
    pub address: SocketAddr,
}

/// A frame of the bus.
#[derive(Debug, PartialEq)]
pub enum Frame {
    Nothing,
    Event(Event),
}

/// Bytes of one record.
const RECORD: usize = 27;
/// A longer frame is not one of a host list.
const LONGEST: usize = 200_000;
/// An empty frame comes each second: after so long without one the connection is dead.
const SILENT: Micros = 3_500_000;
/// Between attempts to connect: the bus may be gone for seconds, and its news count as told all the same.
const FIRST_PAUSE: Micros = 50_000;
const LONGEST_PAUSE: Micros = 400_000;

/// Takes the next frame off the ring; `None` while it is not whole.
pub fn next_frame(ring: &mut Ring, zones: &[String]) -> Result<Option<Frame>, String> {
    let Some(head) = ring.copy(0, 4) else { return Ok(None) };
    let length = u32::from_be_bytes(head.try_into().unwrap()) as usize;
    if !(9..=LONGEST).contains(&length) {
        return Err(format!("a frame of {length} bytes"));
    }
    let Some(frame) = ring.copy(4, length) else { return Ok(None) };
    ring.consume(4 + length);
    let number = u64::from_be_bytes(frame[..8].try_into().unwrap());
    let kind = match frame[8] {
        0 => return Ok(Some(Frame::Nothing)),
        1 => ListKind::Full,
        2 => ListKind::Delta,
        other => return Err(format!("a frame of kind {other}")),
    };
    let payload = &frame[9..];
    if payload.len() % RECORD != 0 {
        return Err(format!("{} bytes of records", payload.len()));
    }
    let hosts = payload.chunks_exact(RECORD).map(|r| record(r, zones)).collect::<Result<_, _>>()?;
    Ok(Some(Frame::Event(Event { number, kind, hosts })))
}

fn record(r: &[u8], zones: &[String]) -> Result<Host, String> {
    let u32_at = |i: usize| u32::from_be_bytes(r[i..i + 4].try_into().unwrap());
    let u16_at = |i: usize| u16::from_be_bytes(r[i..i + 2].try_into().unwrap());
    let started = u64::from_be_bytes(r[19..27].try_into().unwrap());
    let condition = match r[10] {
        0 => Condition::Up,
        1 => Condition::Draining,
        2 => Condition::Gone,
        other => return Err(format!("a host of state {other}")),
    };
    let zone = if usize::from(r[11]) < zones.len() { u32::from(r[11]) } else { u32::MAX };
    let entry = ListEntry {
        worker: format!("s-{:08x}", u32_at(0)).as_str().into(),
        zone,
        cell: u16_at(13).into(),
        condition,
        size: f64::from(u32_at(15)) / 1000.0,
        ready_at: started as Micros * 1000,
    };
    Ok(Host { entry, address: (Ipv4Addr::from(u32_at(4)), u16_at(8)).into() })
}

/// An event as `known` holds it.
pub fn known(value: &Value, deployment: &Deployment) -> Result<Event, String> {
    let number = value.get("offset").and_then(Value::as_u64).ok_or("an event with no offset")?;
    let topology = value.get("topology").ok_or("an event with no topology")?;
    let members = topology.get("members").and_then(Value::as_array).ok_or("an event with no members")?;
    let full = topology.get("complete").and_then(Value::as_bool).unwrap_or(false);
    let hosts = members.iter().map(|m| member(m, deployment)).collect::<Result<_, _>>()?;
    Ok(Event { number, kind: if full { ListKind::Full } else { ListKind::Delta }, hosts })
}

fn member(m: &Value, deployment: &Deployment) -> Result<Host, String> {
    let text = |key: &str| m.get(key).and_then(Value::as_str);
    let id = text("id").ok_or("a member with no id")?;
    let address = text("host_port").and_then(|a| a.parse().ok());
    let condition = match text("phase") {
        Some("active") => Condition::Up,
        Some("leaving") => Condition::Draining,
        Some("left") => Condition::Gone,
        other => return Err(format!("member {id} is in no known phase: {other:?}")),
    };
    let entry = ListEntry {
        worker: id.into(),
        zone: deployment.zone(text("locality")),
        cell: m.get("cell").and_then(Value::as_i64).unwrap_or(-1),
        condition,
        size: m.get("size").and_then(Value::as_f64).unwrap_or(1.0),
        ready_at: m.get("up_since_ms").and_then(Value::as_i64).unwrap_or(0) * 1000,
    };
    Ok(Host { entry, address: address.ok_or_else(|| format!("member {id} has no address"))? })
}

/// What the node is to do about an event.
#[derive(Debug, PartialEq)]
pub enum Step {
    /// It is the next one: apply it.
    Apply,
    /// It is known already.
    Skip,
    /// Some before it are missing: ask again.
    Gap,
}

/// How far the bus has been read, and the connection that reads it.
pub struct Bus {
    pub address: SocketAddr,
    pub conn: Option<Conn>,
    pub standing: bool,
    heard: Micros,
    retry_at: Micros,
    pause: Micros,
    last: u64,
    /// The last connection began with a gap: only the whole list can help.
    from_start: bool,
}

impl Bus {
    pub fn new(address: SocketAddr, last: u64) -> Self {
        Self {
            address,
            conn: None,
            standing: false,
            heard: 0,
            retry_at: 0,
            pause: FIRST_PAUSE,
            last,
            from_start: false,
        }
    }

    /// When something must be looked at next.
    pub fn next_tick(&self) -> Micros {
        if self.conn.is_some() {
            self.heard + SILENT
        } else {
            self.retry_at
        }
    }

    /// Whether it is time to connect.
    pub fn wants_connection(&self, now: Micros) -> bool {
        self.conn.is_none() && self.retry_at <= now
    }

    pub fn is_silent(&self, now: Micros) -> bool {
        self.conn.is_some() && self.heard + SILENT <= now
    }

    /// A connection has been begun, or could not be.
    pub fn begun(&mut self, now: Micros, conn: Option<Conn>) {
        (self.standing, self.heard) = (false, now);
        match conn {
            Some(conn) => self.conn = Some(conn),
            None => self.paused(now),
        }
    }

    /// Once the connection stands, asks for what came after the last event known, by 8 bytes.
    pub fn greet(&mut self) -> Result<(), Reason> {
        let Some(conn) = self.conn.as_mut().filter(|_| !self.standing) else { return Ok(()) };
        self.standing = conn.connected().map_err(|_| Reason::ConnectRefused)?;
        if self.standing {
            let last = if self.from_start { 0 } else { self.last };
            conn.outbox.push(&last.to_be_bytes());
        }
        Ok(())
    }

    /// The connection has ended.
    pub fn ended(&mut self, now: Micros) -> Option<Conn> {
        self.paused(now);
        self.standing = false;
        self.conn.take()
    }

    fn paused(&mut self, now: Micros) {
        self.retry_at = now + self.pause;
        self.pause = (self.pause * 2).min(LONGEST_PAUSE);
    }

    /// A frame has come.
    pub fn heard(&mut self, now: Micros) {
        (self.heard, self.pause) = (now, FIRST_PAUSE);
    }

    /// Places an event in the sequence. A whole list may come with any number; changes must follow on.
    pub fn step(&mut self, number: u64, kind: ListKind) -> Step {
        if kind == ListKind::Full && (number > self.last || self.from_start) {
            (self.last, self.from_start) = (number, false);
            return Step::Apply;
        }
        if number <= self.last {
            return Step::Skip;
        }
        if number != self.last + 1 {
            // Once is asked for from the last event; where that leaves the gap, from the start.
            self.from_start = true;
            return Step::Gap;
        }
        self.last = number;
        Step::Apply
    }
}
