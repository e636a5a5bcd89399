//! What activators are told of hosts: by DNS-SD, or by the platform's bus as events that are numbered and told again to
//! whoever comes back.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::thread::spawn;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::bus::frame;
use crate::ms;
use crate::resolver::Resolver;

/// How long a bus may take to be rid of an event.
const PATIENCE: Duration = Duration::from_secs(1);

/// How hosts are told of.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum By {
    /// By DNS-SD, to activators with an operator's file and the invoke front.
    #[default]
    Dns,
    /// By the bus, to activators with a platform's configuration and its front.
    Bus,
}

impl By {
    /// How long it may take until all that hangs on a change of the list is done, on a busy machine. A bus tells at once;
    /// records hold a second, those of one host are asked for one after another, and a lost question is asked anew.
    pub fn grace(self) -> Duration {
        match self {
            Self::Dns => ms(2_500),
            Self::Bus => ms(300),
        }
    }
}

/// What becomes of a host in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Be {
    /// It is there.
    Up,
    /// It is to be sent nothing new.
    Draining,
    /// It is in the list no more.
    Gone,
    /// Another host has its address: the old one is gone and the new one there, told at once.
    Replaced,
}

/// A host as it is told of.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Host {
    /// The number of its site, which is its cell.
    pub(crate) site: usize,
    /// Its number there.
    pub(crate) host: usize,
    /// How often its address was taken over by another.
    pub(crate) life: u32,
    /// Never [`Be::Replaced`].
    pub(crate) be: Be,
    /// Where it is reached by this activator.
    pub(crate) address: SocketAddr,
}

impl Host {
    /// A number of its own, of each life.
    fn id(&self) -> u32 {
        (self.site as u32) << 24 | (self.host as u32) << 16 | self.life
    }

    fn record(&self, state: u8, life: u32) -> Vec<u8> {
        let mut record = Self { life, ..*self }.id().to_be_bytes().to_vec();
        record.extend([127, 0, 0, 1]);
        record.extend(self.address.port().to_be_bytes());
        // State, zone, and one that means nothing here; then the cell, the size in thousandths, and when it started.
        record.extend([state, 0, 0]);
        record.extend((self.site as u16).to_be_bytes());
        record.extend(1000u32.to_be_bytes());
        record.extend(0u64.to_be_bytes());
        record
    }

    /// As a member of a platform's configuration.
    pub(crate) fn member(&self) -> serde_json::Value {
        serde_json::json!({"id": format!("s-{:08x}", self.id()), "host_port": self.address.to_string(), "locality": "z",
            "flavor": "k", "cell": self.site, "phase": "active", "size": 1, "up_since_ms": 0})
    }

    /// As an instance of a resolver; one that is gone is none.
    fn instance(&self) -> Option<(String, u16, Vec<String>)> {
        let label = match self.life {
            0 => format!("s{}h{}", self.site, self.host),
            life => format!("s{}h{}n{life}", self.site, self.host),
        };
        let mut text = vec![format!("cell={}", self.site)];
        match self.be {
            Be::Gone => return None,
            Be::Draining => text.push("state=draining".into()),
            Be::Up | Be::Replaced => {}
        }
        Some((label, self.address.port(), text))
    }
}

/// A bus with all its events, so that whoever comes back is told what it missed.
#[derive(Default)]
struct Told {
    events: Vec<Vec<u8>>,
    hearing: Vec<TcpStream>,
}

struct Bus {
    address: SocketAddr,
    told: Arc<Mutex<Told>>,
    over: Arc<AtomicBool>,
}

/// The first event that a bus tells of: the one before is in the configuration.
const FIRST: u64 = 2;

impl Bus {
    fn start() -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let (told, over): (Arc<Mutex<Told>>, Arc<AtomicBool>) = Default::default();
        let bus = Self { address: listener.local_addr()?, told: told.clone(), over: over.clone() };
        spawn(move || {
            for mut stream in listener.incoming().map_while(Result::ok) {
                if over.load(Relaxed) {
                    return;
                }
                let mut last = [0; 8];
                let _ = stream.set_read_timeout(Some(PATIENCE));
                let _ = stream.set_write_timeout(Some(PATIENCE));
                if stream.read_exact(&mut last).is_err() {
                    continue;
                }
                // Under the lock, so that no event is missed or told twice.
                let mut told = told.lock().unwrap();
                let known = u64::from_be_bytes(last).saturating_sub(FIRST - 1) as usize;
                let missed = told.events.iter().skip(known);
                if missed.into_iter().all(|event| stream.write_all(event).is_ok()) {
                    told.hearing.push(stream);
                }
            }
        });
        Ok(bus)
    }

    fn tell(&self, records: &[u8]) {
        let mut told = self.told.lock().unwrap();
        let event = frame(FIRST + told.events.len() as u64, 2, records);
        told.hearing.retain_mut(|stream| stream.write_all(&event).is_ok());
        told.events.push(event);
    }
}

impl Drop for Bus {
    fn drop(&mut self) {
        self.over.store(true, Relaxed);
        // Wakes the one that waits for a connection.
        let _ = TcpStream::connect(self.address);
    }
}

enum Source {
    Resolver(Resolver),
    Bus(Bus),
}

/// What one activator is told of hosts.
pub(crate) struct List {
    source: Source,
    hosts: Vec<Host>,
}

impl List {
    pub(crate) fn start(by: By, hosts: Vec<Host>) -> std::io::Result<Self> {
        let source = match by {
            By::Dns => Source::Resolver(Resolver::start(&[])),
            By::Bus => Source::Bus(Bus::start()?),
        };
        let list = Self { source, hosts };
        list.show();
        Ok(list)
    }

    /// Where the resolver or the bus is.
    pub(crate) fn address(&self) -> SocketAddr {
        match &self.source {
            Source::Resolver(resolver) => resolver.address,
            Source::Bus(bus) => bus.address,
        }
    }

    /// The hosts that it began with, as event 1 of a configuration; later events follow by the bus.
    pub(crate) fn members(&self) -> Vec<serde_json::Value> {
        self.hosts.iter().map(|host| Host { life: 0, ..*host }.member()).collect()
    }

    fn show(&self) {
        if let Source::Resolver(resolver) = &self.source {
            resolver.zone.lock().unwrap().instances = self.hosts.iter().filter_map(Host::instance).collect();
        }
    }

    /// Tells of a change.
    pub(crate) fn change(&mut self, site: usize, host: usize, be: Be) {
        let Some(of) = self.hosts.iter_mut().find(|h| (h.site, h.host) == (site, host)) else { return };
        let before = of.life;
        of.life += u32::from(be == Be::Replaced);
        of.be = if be == Be::Replaced { Be::Up } else { be };
        let of = *of;
        if let Source::Bus(bus) = &self.source {
            bus.tell(&match be {
                Be::Up => of.record(0, before),
                Be::Draining => of.record(1, before),
                Be::Gone => of.record(2, before),
                Be::Replaced => [of.record(2, before), of.record(0, of.life)].concat(),
            });
        }
        self.show();
    }
}

#[cfg(test)]
mod tests;
