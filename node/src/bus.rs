//! Client of the event bus, which delivers the host list as numbered events over TCP. The configuration holds an event
//! in JSON form as the initial list.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};

use serde_json::Value;
use wheellink::{Condition, ListEntry, ListKind, Micros, Renumbering, WorkerId};
use wheellink_settings::Deployment;

use crate::conn::Conn;
use crate::log::Reason;
use crate::ring::Ring;

/// A numbered event: the full host list, or changes of it.
#[derive(Debug, PartialEq)]
pub struct Event {
    pub number: u64,
    pub kind: ListKind,
    pub hosts: Vec<Host>,
}

/// An entry of the host list, with the host's address.
#[derive(Clone, Debug, PartialEq)]
pub struct Host {
    pub entry: ListEntry,
    pub address: SocketAddr,
}

/// A frame of the bus.
#[derive(Debug, PartialEq)]
pub enum Frame {
    /// Sent each second while there is no new event.
    Heartbeat,
    Event(Event),
}

/// Encoded size of a host.
const RECORD_BYTES: usize = 27;
/// Maximum frame length; no frame of a host list is longer.
const MAX_FRAME_BYTES: usize = 200_000;
/// A heartbeat arrives each second: without any data for this long, the connection is considered dead. The platform
/// counts events as delivered after a fixed time even if they do not arrive, so a dead connection must be replaced
/// fast.
const SILENCE_TIMEOUT_US: Micros = 2_000_000;
/// Maximum time from the first to the last byte of a frame: single bytes that keep arriving are not progress.
const FRAME_TIMEOUT_US: Micros = 2_000_000;
/// Without data for this long after subscribing, there are no new events.
const CATCH_UP_QUIET_US: Micros = 100_000;
/// A connection that is not established by then is replaced.
const CONNECT_TIMEOUT_US: Micros = 1_000_000;
/// Delays between attempts to connect, doubling from the first to the maximum. They are short because events count as
/// delivered even while the bus is unreachable, which may last for seconds.
const FIRST_RETRY_DELAY_US: Micros = 50_000;
const MAX_RETRY_DELAY_US: Micros = 400_000;
/// A frame this long after connecting resets the retry delay: the next end is then not part of a series of failures.
/// Heartbeats arrive each second, so that a stable connection has received one after this time.
const STABLE_AFTER_US: Micros = 900_000;

/// Takes the next frame from the ring; `None` while it is incomplete.
pub fn next_frame(ring: &mut Ring, zones: &[String]) -> Result<Option<Frame>, String> {
    let Some(head) = ring.copy(0, 4) else { return Ok(None) };
    let length = u32::from_be_bytes(head.try_into().unwrap()) as usize;
    if !(9..=MAX_FRAME_BYTES).contains(&length) {
        return Err(format!("a frame of {length} bytes"));
    }
    let Some(frame) = ring.copy(4, length) else { return Ok(None) };
    ring.consume(4 + length);
    let number = u64::from_be_bytes(frame[..8].try_into().unwrap());
    let kind = match frame[8] {
        0 => return Ok(Some(Frame::Heartbeat)),
        1 => ListKind::Full,
        2 => ListKind::Delta,
        other => return Err(format!("a frame of unknown kind {other}")),
    };
    let payload = &frame[9..];
    if payload.len() % RECORD_BYTES != 0 {
        return Err(format!("records of {} bytes, not a multiple of {RECORD_BYTES}", payload.len()));
    }
    let hosts = payload.chunks_exact(RECORD_BYTES).map(|r| decode(r, zones)).collect::<Result<_, _>>()?;
    Ok(Some(Frame::Event(Event { number, kind, hosts })))
}

fn decode(r: &[u8], zones: &[String]) -> Result<Host, String> {
    let u32_at = |i: usize| u32::from_be_bytes(r[i..i + 4].try_into().unwrap());
    let u16_at = |i: usize| u16::from_be_bytes(r[i..i + 2].try_into().unwrap());
    let started = u64::from_be_bytes(r[19..27].try_into().unwrap());
    let condition = match r[10] {
        0 => Condition::Up,
        1 => Condition::Draining,
        2 => Condition::Gone,
        other => return Err(format!("a host in unknown state {other}")),
    };
    let zone = (usize::from(r[11]) < zones.len()).then(|| u32::from(r[11]));
    let entry = ListEntry {
        worker: format!("s-{:08x}", u32_at(0)).as_str().into(),
        zone,
        cell: Some(u16_at(13).into()),
        condition,
        size: f64::from(u32_at(15)) / 1000.0,
        ready_at: started as Micros * 1000,
    };
    Ok(Host { entry, address: (Ipv4Addr::from(u32_at(4)), u16_at(8)).into() })
}

/// Parses an event in the form of the configuration's `known`.
pub fn parse_event(value: &Value, deployment: &Deployment) -> Result<Event, String> {
    let number = value.get("offset").and_then(Value::as_u64).ok_or("an event with no offset")?;
    let topology = value.get("topology").ok_or("an event with no topology")?;
    let members = topology.get("members").and_then(Value::as_array).ok_or("an event with no members")?;
    let full = topology.get("complete").and_then(Value::as_bool).unwrap_or(false);
    let hosts = members.iter().map(|m| parse_member(m, deployment)).collect::<Result<_, _>>()?;
    Ok(Event { number, kind: if full { ListKind::Full } else { ListKind::Delta }, hosts })
}

fn parse_member(m: &Value, deployment: &Deployment) -> Result<Host, String> {
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
        cell: m.get("cell").and_then(Value::as_i64),
        condition,
        size: m.get("size").and_then(Value::as_f64).unwrap_or(1.0),
        ready_at: m.get("up_since_ms").and_then(Value::as_i64).unwrap_or(0) * 1000,
    };
    Ok(Host { entry, address: address.ok_or_else(|| format!("member {id} has no address"))? })
}

/// The connection to the bus, and the position up to which its events have been applied.
pub struct Bus {
    pub address: SocketAddr,
    pub conn: Option<Conn>,
    pub connected: bool,
    /// When data last arrived, or connecting started.
    last_received: Micros,
    /// When a frame began that is still incomplete.
    partial_since: Option<Micros>,
    connected_at: Micros,
    /// Whether a heartbeat has arrived: all events before it have.
    heartbeat_seen: bool,
    /// When a heartbeat last arrived while no event was missing.
    synced_at: Option<Micros>,
    /// The last event that another process had applied when this one started.
    required: u64,
    retry_at: Micros,
    retry_delay: Micros,
    /// Number of the last event that was applied.
    last: u64,
    catching_up: Option<CatchUp>,
}

/// Replay of all events after a gap. The list is only passed on once it is at least as new as what was passed on
/// before, so that a draining host does not return into service.
struct CatchUp {
    /// The event before which some were missing. Nothing proves that the bus has that event.
    until: u64,
    /// The last event that was passed on before the gap.
    known: u64,
    list: BTreeMap<WorkerId, Host>,
}

impl CatchUp {
    fn take_list(&mut self) -> Vec<Host> {
        let list = std::mem::take(&mut self.list).into_values();
        list.filter(|h| h.entry.condition != Condition::Gone).collect()
    }
}

/// Events are missing before the applied one: the connection must be replaced, and all events be replayed.
#[derive(Debug, PartialEq)]
pub struct Gap {
    /// The changes of the event itself, which hold whatever the missing events contain.
    pub changes: Vec<Host>,
}

impl Bus {
    pub fn new(address: SocketAddr, last: u64) -> Self {
        Self {
            address,
            conn: None,
            connected: false,
            last_received: 0,
            partial_since: None,
            connected_at: 0,
            heartbeat_seen: false,
            synced_at: None,
            required: 0,
            retry_at: 0,
            retry_delay: FIRST_RETRY_DELAY_US,
            last,
            catching_up: None,
        }
    }

    /// When the next timeout or connection attempt is due.
    pub fn next_tick(&self) -> Micros {
        match (&self.conn, self.connected) {
            (Some(_), true) => {
                let timeout = self.last_received + SILENCE_TIMEOUT_US;
                self.partial_since.map_or(timeout, |since| timeout.min(since + FRAME_TIMEOUT_US))
            }
            (Some(_), false) => self.last_received + CONNECT_TIMEOUT_US,
            (None, _) => self.retry_at,
        }
    }

    /// Whether a connection attempt is due.
    pub fn wants_connection(&self, now: Micros) -> bool {
        self.conn.is_none() && self.retry_at <= now
    }

    /// Whether the connection was not established in time, is silent, or has an incomplete frame for too long.
    pub fn has_timed_out(&self, now: Micros) -> bool {
        self.conn.is_some() && self.next_tick() <= now
    }

    /// Whether the list is as new as the bus: a heartbeat has arrived, or nothing for a while. Events that the bus has
    /// arrive right after subscribing.
    pub fn is_caught_up(&self, now: Micros) -> bool {
        let is_quiet = self.connected && now - self.connected_at.max(self.last_received) >= CATCH_UP_QUIET_US;
        self.catching_up.is_none() && self.last >= self.required && (self.heartbeat_seen || is_quiet)
    }

    /// When the list was last known to be as new as the bus.
    pub fn synced_at(&self) -> Option<Micros> {
        self.synced_at
    }

    /// The address of the bus, and the last event that was applied.
    pub fn position(&self) -> (SocketAddr, u64) {
        (self.address, self.last)
    }

    /// Requires the list to reach the position of another process before it counts as caught up, if both use the same
    /// bus.
    pub fn require_position(&mut self, (address, last): (SocketAddr, u64)) {
        if address == self.address {
            self.required = last;
        }
    }

    /// Handles a heartbeat: the bus has no further events. A replay after a gap is then complete, even if the event
    /// after the gap never arrives. Returns the list to apply, if any.
    pub fn heartbeat_received(&mut self, now: Micros) -> Option<(ListKind, Vec<Host>)> {
        self.heartbeat_seen = true;
        let last = self.last;
        let done = self.catching_up.take_if(|c| !c.list.is_empty() && last >= c.known);
        if done.is_none() && self.catching_up.is_none() {
            self.synced_at = Some(now);
        }
        done.map(|mut caught_up| (ListKind::Full, caught_up.take_list()))
    }

    /// Applies new indexes of the zones to the list of a replay.
    pub fn renumber(&mut self, renumbering: &Renumbering) {
        for host in self.catching_up.iter_mut().flat_map(|replay| replay.list.values_mut()) {
            host.entry.zone = renumbering.zone(host.entry.zone);
        }
    }

    /// Changes the address of the bus, which has the same events there. Connects at once.
    pub fn set_address(&mut self, address: SocketAddr) {
        (self.address, self.retry_at, self.retry_delay) = (address, 0, FIRST_RETRY_DELAY_US);
    }

    /// Notes that connecting started, or that it failed (`None`).
    pub fn connect_started(&mut self, now: Micros, conn: Option<Conn>) {
        (self.connected, self.last_received, self.partial_since) = (false, now, None);
        match conn {
            Some(conn) => self.conn = Some(conn),
            None => self.schedule_retry(now),
        }
    }

    /// Once the connection is established, requests all events after the last known one, by sending its number in 8
    /// bytes.
    pub fn subscribe(&mut self, now: Micros) -> Result<(), Reason> {
        let Some(conn) = self.conn.as_mut().filter(|_| !self.connected) else { return Ok(()) };
        self.connected = conn.connected().map_err(|_| Reason::ConnectRefused)?;
        if self.connected {
            (self.connected_at, self.last_received) = (now, now);
            // From position 0 the bus sends the full list first, then all changes since.
            let last = if self.catching_up.is_some() { 0 } else { self.last };
            conn.outbox.push(&last.to_be_bytes());
        }
        Ok(())
    }

    /// Takes the connection, to be closed, and schedules the next one.
    pub fn disconnect(&mut self, now: Micros) -> Option<Conn> {
        self.schedule_retry(now);
        self.connected = false;
        self.conn.take()
    }

    fn schedule_retry(&mut self, now: Micros) {
        self.retry_at = now + self.retry_delay;
        self.retry_delay = (self.retry_delay * 2).min(MAX_RETRY_DELAY_US);
    }

    /// Notes that bytes have arrived, of which no frame may be complete.
    pub fn bytes_received(&mut self, now: Micros) {
        self.last_received = now;
    }

    /// Notes whether a part of the next frame is left after all complete ones were taken.
    pub fn set_partial(&mut self, now: Micros, partial: bool) {
        self.partial_since = if partial { self.partial_since.or(Some(now)) } else { None };
    }

    /// Notes that a complete frame has arrived.
    pub fn frame_received(&mut self, now: Micros) {
        (self.last_received, self.partial_since) = (now, None);
        // The retry delay keeps growing if the bus ends every connection right after its first frame.
        if now - self.connected_at >= STABLE_AFTER_US {
            self.retry_delay = FIRST_RETRY_DELAY_US;
        }
    }

    /// Applies an event in sequence. Returns the update of the list to pass on, if any.
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
                // The replay must then reach this event, too.
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
