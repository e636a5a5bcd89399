//! The event bus: the host list as numbered events, over TCP and in the configuration.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};

use serde_json::Value;
use wheellink::{Condition, ListEntry, ListKind, Micros, WorkerId};
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
    Heartbeat,
    Event(Event),
}

/// Bytes of one record.
const RECORD: usize = 27;
/// A longer frame is not one of a host list.
const LONGEST: usize = 200_000;
/// An empty frame comes each second: after so long without one the connection is dead. What the bus has to
/// tell counts as told whether it arrives or not, so there is no time to be lost.
const SILENT: Micros = 2_000_000;
/// A frame that has begun must be whole by then: bytes that trickle are no news.
const FRAME: Micros = 2_000_000;
/// So long without news after asking for them, there are none.
const QUIET: Micros = 100_000;
/// A connection that is not up by then is begun anew.
const CONNECT: Micros = 1_000_000;
/// Between attempts to connect: the bus may be gone for seconds, and its news count as told all the same.
const FIRST_PAUSE: Micros = 50_000;
const LONGEST_PAUSE: Micros = 400_000;
/// A connection that has stood for so long is in order, and its end no part of a series. An empty frame comes by then.
const STEADY: Micros = 900_000;

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
        0 => return Ok(Some(Frame::Heartbeat)),
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
pub fn parse_event(value: &Value, deployment: &Deployment) -> Result<Event, String> {
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

/// How far the bus has been read, and the connection that reads it.
pub struct Bus {
    pub address: SocketAddr,
    pub conn: Option<Conn>,
    pub connected: bool,
    heard: Micros,
    /// A frame has begun then and is not whole.
    partial: Option<Micros>,
    /// When the connection came to stand, and whether all was told on it: it says so once a second.
    stood: Micros,
    told: bool,
    /// When it last said that there is nothing new.
    synced_at: Option<Micros>,
    /// The event that another process had read when this one began.
    wanted: u64,
    retry_at: Micros,
    pause: Micros,
    last: u64,
    catching_up: Option<CatchUp>,
}

/// After a gap: the list as told from the start on. It is handed on once it is no older than what is known, lest a host
/// that drains be taken back into service.
struct CatchUp {
    /// The event before which some were missing. Nothing proves that the bus has it.
    until: u64,
    /// The last event that was handed on before the gap.
    known: u64,
    list: BTreeMap<WorkerId, Host>,
}

impl CatchUp {
    fn take_list(&mut self) -> Vec<Host> {
        let list = std::mem::take(&mut self.list).into_values();
        list.filter(|h| h.entry.condition != Condition::Gone).collect()
    }
}

/// Some events are missing before this one: the connection is to be made anew.
#[derive(Debug, PartialEq)]
pub struct Gap {
    /// What the event itself changes. It is known by now, and holds whatever the missing ones say.
    pub changes: Vec<Host>,
}

impl Bus {
    pub fn new(address: SocketAddr, last: u64) -> Self {
        Self {
            address,
            conn: None,
            connected: false,
            heard: 0,
            partial: None,
            stood: 0,
            told: false,
            synced_at: None,
            wanted: 0,
            retry_at: 0,
            pause: FIRST_PAUSE,
            last,
            catching_up: None,
        }
    }

    /// When something must be looked at next.
    pub fn next_tick(&self) -> Micros {
        match (&self.conn, self.connected) {
            (Some(_), true) => {
                let silent = self.heard + SILENT;
                self.partial.map_or(silent, |since| silent.min(since + FRAME))
            }
            (Some(_), false) => self.heard + CONNECT,
            (None, _) => self.retry_at,
        }
    }

    /// Whether it is time to connect.
    pub fn wants_connection(&self, now: Micros) -> bool {
        self.conn.is_none() && self.retry_at <= now
    }

    pub fn has_timed_out(&self, now: Micros) -> bool {
        self.conn.is_some() && self.next_tick() <= now
    }

    /// Whether the list is as new as the bus: it said so, or has had nothing new for a while. What there is
    /// comes at once.
    pub fn is_caught_up(&self, now: Micros) -> bool {
        let quiet = self.connected && now - self.stood.max(self.heard) >= QUIET;
        self.catching_up.is_none() && self.last >= self.wanted && (self.told || quiet)
    }

    /// When the list was last known to be as new as the bus.
    pub fn synced_at(&self) -> Option<Micros> {
        self.synced_at
    }

    /// Where it is read, and how far.
    pub fn position(&self) -> (SocketAddr, u64) {
        (self.address, self.last)
    }

    /// Another process has read the same bus so far.
    pub fn require_position(&mut self, (address, last): (SocketAddr, u64)) {
        if address == self.address {
            self.wanted = last;
        }
    }

    /// It has nothing new. After a gap the list is then as new as the bus has it, also where the event after the gap
    /// never comes: the news to tell, if any.
    pub fn heartbeat_received(&mut self, now: Micros) -> Option<(ListKind, Vec<Host>)> {
        self.told = true;
        let last = self.last;
        let whole = self.catching_up.take_if(|c| !c.list.is_empty() && last >= c.known);
        if whole.is_none() && self.catching_up.is_none() {
            self.synced_at = Some(now);
        }
        whole.map(|mut caught_up| (ListKind::Full, caught_up.take_list()))
    }

    /// The bus is found elsewhere from now on, with the same events: asked there at once for what is new.
    pub fn set_address(&mut self, address: SocketAddr) {
        (self.address, self.retry_at, self.pause) = (address, 0, FIRST_PAUSE);
    }

    /// A connection has been begun, or could not be.
    pub fn connect_started(&mut self, now: Micros, conn: Option<Conn>) {
        (self.connected, self.heard, self.partial) = (false, now, None);
        match conn {
            Some(conn) => self.conn = Some(conn),
            None => self.paused(now),
        }
    }

    /// Once the connection stands, asks for what came after the last event known, by 8 bytes.
    pub fn subscribe(&mut self, now: Micros) -> Result<(), Reason> {
        let Some(conn) = self.conn.as_mut().filter(|_| !self.connected) else { return Ok(()) };
        self.connected = conn.connected().map_err(|_| Reason::ConnectRefused)?;
        if self.connected {
            (self.stood, self.heard) = (now, now);
            // From the start there is the whole list first, then all that has changed since.
            let last = if self.catching_up.is_some() { 0 } else { self.last };
            conn.outbox.push(&last.to_be_bytes());
        }
        Ok(())
    }

    /// The connection has ended.
    pub fn disconnect(&mut self, now: Micros) -> Option<Conn> {
        self.paused(now);
        self.connected = false;
        self.conn.take()
    }

    fn paused(&mut self, now: Micros) {
        self.retry_at = now + self.pause;
        self.pause = (self.pause * 2).min(LONGEST_PAUSE);
    }

    /// Some bytes have come: a frame may come in pieces.
    pub fn bytes_received(&mut self, now: Micros) {
        self.heard = now;
    }

    /// All whole frames have been taken; whether a part of the next one is there.
    pub fn set_partial(&mut self, now: Micros, part_of_next: bool) {
        self.partial = if part_of_next { self.partial.or(Some(now)) } else { None };
    }

    /// A frame has come.
    pub fn frame_received(&mut self, now: Micros) {
        (self.heard, self.partial) = (now, None);
        // A bus that ends each connection after a frame is not asked again and again at the first pause.
        if now - self.stood >= STEADY {
            self.pause = FIRST_PAUSE;
        }
    }

    /// Places an event in the sequence: the list news to tell for it, if any.
    pub fn apply(&mut self, event: Event) -> Result<Option<(ListKind, Vec<Host>)>, Gap> {
        let Event { number, kind, hosts } = event;
        let whole = kind == ListKind::Full;
        if let Some(catching_up) = &mut self.catching_up {
            let list = &mut catching_up.list;
            if whole {
                list.clear();
            } else if list.is_empty() || number != self.last + 1 {
                if number <= self.last {
                    return Ok(None);
                }
                // The list must then be as new as this, too.
                let newer = number > catching_up.until;
                catching_up.until = number.max(catching_up.until);
                return Err(Gap { changes: if newer { hosts } else { Vec::new() } });
            }
            self.last = number;
            list.extend(hosts.into_iter().map(|h| (h.entry.worker.clone(), h)));
            if number < catching_up.until {
                return Ok(None);
            }
            let list = catching_up.take_list();
            self.catching_up = None;
            return Ok(Some((ListKind::Full, list)));
        }
        if number <= self.last {
            return Ok(None);
        }
        if !whole && number != self.last + 1 {
            self.catching_up = Some(CatchUp { until: number, known: self.last, list: BTreeMap::new() });
            return Err(Gap { changes: hosts });
        }
        self.last = number;
        Ok(Some((kind, hosts)))
    }
}

#[cfg(test)]
mod tests;
