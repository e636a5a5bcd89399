//! What the program is started with: the platform's configuration, or an operator's file.

mod operator;

use std::hash::{BuildHasher, RandomState};
use std::net::SocketAddr;

use hickory_proto::rr::Name;
use serde::Deserialize;
use serde_json::Value;
use wheellink::Micros;
use wheellink_settings::{Deployment, Options};

use crate::bus::{self, Event};
use crate::front::invoke::results::Bounds;

/// What the program needs to know.
pub struct Config {
    pub listen: SocketAddr,
    /// Where operators call, if they do.
    pub control: Option<SocketAddr>,
    pub seed: u64,
    /// Descriptors that the process may hold.
    pub sockets: usize,
    /// Bytes of memory that it may take.
    pub memory: usize,
    pub deployment: Deployment,
    pub side: Side,
}

/// Who speaks with clients, and who tells of hosts.
pub enum Side {
    /// The platform's front and its event bus, with the events known and the number of the last of them.
    Platform { bus: SocketAddr, offset: u64, known: Vec<Event> },
    /// The invoke front, and hosts by DNS-SD. By class: how long a deferred call is tried, and the lanes of a
    /// copy where a call does not tell them.
    Operator { resolver: SocketAddr, service: Name, bounds: Bounds, classes: Vec<(Micros, u32)> },
}

#[derive(Deserialize)]
struct File {
    listen: String,
    control: Option<String>,
    seed: Value,
    limits: Option<Limits>,
    bus: String,
    known: Known,
    settings: Options,
}

#[derive(Default, Deserialize)]
struct Limits {
    sockets: Option<usize>,
    memory_mb: Option<f64>,
}

#[derive(Deserialize)]
struct Known {
    offset: u64,
    batch: Vec<Value>,
}

/// Descriptors on a scored day, where the configuration tells none.
const SOCKETS: usize = 1024;
/// Megabytes there at most.
const MEMORY: f64 = 192.0;

/// Reads the platform's configuration, with `listen` and `control` from the environment where they are set
/// there.
pub fn platform(text: &str, listen: Option<&str>, control: Option<&str>) -> Result<Config, String> {
    let file: File = serde_json::from_str(text).map_err(|e| e.to_string())?;
    let address = |what: &str, text: &str| {
        text.parse::<SocketAddr>().map_err(|_| format!("{what} is no address with a port: {text:?}"))
    };
    let mut deployment = Deployment::try_from(file.settings).map_err(|e| format!("settings: {e}"))?;
    // Refused clients are told when to come back even where the settings say that they do not heed it: the
    // wire has a field for it, and it costs nothing.
    deployment.settings.max_retry_after = deployment.transport.retry_after;
    deployment.settings.check().map_err(|e| e.to_string())?;
    let known: Result<_, _> = file
        .known
        .batch
        .iter()
        .map(|e| bus::known(e, &deployment).map_err(|e| format!("known: {e}")))
        .collect();
    let limits = file.limits.unwrap_or_default();
    let control = control.or(file.control.as_deref());
    Ok(Config {
        control: control.map(|text| address("control", text)).transpose()?,
        listen: address("listen", listen.unwrap_or(&file.listen))?,
        seed: seed(&file.seed)?,
        sockets: limits.sockets.unwrap_or(SOCKETS),
        memory: (limits.memory_mb.unwrap_or(MEMORY).max(16.0) * f64::from(1 << 20)) as usize,
        deployment,
        side: Side::Platform { bus: address("bus", &file.bus)?, offset: file.known.offset, known: known? },
    })
}

/// Reads an operator's file.
pub fn operator(text: &str) -> Result<Config, String> {
    operator::parse(text, RandomState::new().hash_one(0))
}

fn seed(value: &Value) -> Result<u64, String> {
    let hex = |s: &str| u64::from_str_radix(s, 16).ok();
    let number = value.as_u64().or_else(|| value.as_str().and_then(hex));
    number.ok_or_else(|| format!("seed is neither a number nor hex digits: {value}"))
}
