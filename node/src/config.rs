//! The configuration: the platform's JSON configuration, or an operator's TOML file.

pub mod drafts;
mod operator;
pub mod rollout;
pub mod turns;

use std::hash::{BuildHasher, RandomState};
use std::net::SocketAddr;

use hickory_proto::rr::Name;
use rustix::process::{getrlimit, Resource};
use serde::de::DeserializeOwned;
use serde::Deserialize;
use serde_json::Value;
use wheellink::Micros;
use wheellink_admission::Rules;
use wheellink_settings::{Deployment, Options};

use crate::bus::{self, Event};
use crate::descriptors::Budget;
use crate::front::invoke::results::ResultLimits;
use crate::membership::Setup;
use crate::peers::Addresses;

/// A checked configuration.
pub struct Config {
    pub listen: SocketAddr,
    /// The address for operators' calls, if there is one.
    pub control: Option<SocketAddr>,
    pub seed: u64,
    /// Descriptors that the process may hold, and how they are divided.
    pub descriptors: Budget,
    /// Bytes of memory that the process may use.
    pub memory_bytes: usize,
    pub deployment: Deployment,
    /// The addresses at which the activators of the tier exchange datagrams, or why they do not.
    pub peers: Result<Addresses, String>,
    pub mode: Mode,
    /// Settings of rollouts, if present.
    pub rollout: Option<rollout::Setup>,
    /// Admission rules, if present.
    pub admission: Option<Rules>,
    /// Membership of the activators, if present.
    pub members: Option<Setup>,
    /// Settings for learning draft lengths, if present.
    pub drafts: Option<drafts::Setup>,
    /// Settings for routing conversation turns, if present.
    pub turns: Option<turns::Setup>,
    /// Settings on which the activators agree, if present.
    pub accord: Option<crate::accords::Setup>,
    /// The configuration as it was read, without the host list; used to check a replacement. Null for an operator's file.
    source: Value,
}

impl Config {
    /// Lowers the number of descriptors to the system's limit if that is lower.
    pub fn within_system_limit(mut self) -> Result<Self, String> {
        let system = getrlimit(Resource::Nofile).current.and_then(|max| usize::try_from(max).ok());
        if let Some(system) = system.filter(|system| *system < self.descriptors.limit()) {
            self.descriptors = Budget::new(system).map_err(|e| format!("limit of the system: {e}"))?;
        }
        Ok(self)
    }

    /// Checks that a new configuration has all keys of this one. Otherwise defaults would silently replace a part that the
    /// new file has lost.
    pub fn check_replacement(&self, next: &Config) -> Result<(), String> {
        match missing(&self.source, &next.source) {
            Some(key) => Err(format!("{key} is missing")),
            None => Ok(()),
        }
    }
}

/// Returns a key of the old configuration that the new one lacks. Lists may become longer or shorter, but a key that all
/// old entries of a list have must be in all new ones.
fn missing(old: &Value, new: &Value) -> Option<String> {
    match (old, new) {
        (Value::Object(old), Value::Object(new)) => old.iter().find_map(|(key, old)| match new.get(key) {
            None | Some(Value::Null) if !old.is_null() => Some(key.clone()),
            None => None,
            Some(new) => missing(old, new).map(|inner| format!("{key}.{inner}")),
        }),
        (Value::Array(old), Value::Array(new)) => {
            let common = |key: &&String| old.iter().all(|entry| entry.get(key).is_some_and(|v| !v.is_null()));
            let first = old.first().and_then(Value::as_object)?;
            let lacks = |key: &&String| new.iter().any(|entry| entry.get(key).is_none_or(Value::is_null));
            first.keys().filter(common).find(lacks).cloned()
        }
        _ => None,
    }
}

/// Where clients and the host list come from.
pub enum Mode {
    /// The platform's protocol and its event bus, with the events known so far and the number of the last one.
    Platform { bus: SocketAddr, offset: u64, events: Vec<Event> },
    /// HTTP calls, and hosts from DNS-SD. For each class: how long a deferred call is tried, and the lanes of a copy if the
    /// call does not state them.
    Operator { resolver: SocketAddr, service: Name, bounds: ResultLimits, classes: Vec<(Micros, u32)> },
}

#[derive(Deserialize)]
struct File {
    listen: String,
    control: Option<String>,
    seed: Value,
    limits: Option<Limits>,
    bus: String,
    known: KnownEvents,
    peer_listen: Option<String>,
    peers: Option<Vec<String>>,
    peers_all: Option<String>,
    settings: Options,
    rollout: Option<rollout::Setup>,
    admission: Option<Rules>,
}

#[derive(Default, Deserialize)]
struct Limits {
    sockets: Option<usize>,
    memory_mb: Option<f64>,
}

#[derive(Deserialize)]
struct KnownEvents {
    offset: u64,
    batch: Vec<Value>,
}

/// Descriptors if the configuration gives no number.
const DEFAULT_SOCKETS: usize = 1024;
/// Megabytes of memory if the configuration gives no number.
const DEFAULT_MEMORY_MB: f64 = 192.0;

/// What an installation adds to the platform's configuration, which it cannot change itself.
#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct Additions {
    rollout: Option<rollout::Setup>,
    admission: Option<Rules>,
}

/// Reads the platform's configuration. `listen` and `control` from the environment replace its values; so do the parts in
/// the file of additions.
pub fn platform(
    text: &str,
    listen: Option<&str>,
    control: Option<&str>,
    additions: Option<&str>,
) -> Result<Config, String> {
    let added = additions.map(|text| toml::from_str::<Additions>(text).map_err(|e| e.message().to_string()));
    let added = added.transpose().map_err(|e| format!("additions: {e}"))?.unwrap_or_default();
    let mut file: File = read(text)?;
    let mut source: Value = serde_json::from_str(text).map_err(|e| e.to_string())?;
    (file.rollout, file.admission) = (added.rollout.or(file.rollout), added.admission.or(file.admission));
    if let Some(known) = source.get_mut("known") {
        *known = Value::Bool(true);
    }
    let address = |key: &str, text: &str| {
        text.parse::<SocketAddr>().map_err(|_| format!("{key} is no address with a port: {text:?}"))
    };
    let mut deployment = Deployment::try_from(file.settings).map_err(|e| format!("settings.{e}"))?;
    // Refused clients are sent a retry time even if the settings say that they ignore it: the protocol has a field for it,
    // and it costs nothing.
    deployment.settings.max_retry_after = deployment.transport.max_retry_after;
    deployment.settings.check().map_err(|e| e.to_string())?;
    let events: Result<_, _> = file
        .known
        .batch
        .iter()
        .map(|e| bus::parse_event(e, &deployment).map_err(|e| format!("known: {e}")))
        .collect();
    file.rollout.as_ref().map_or(Ok(()), rollout::Setup::check)?;
    let limits = file.limits.unwrap_or_default();
    let sockets = limits.sockets.unwrap_or(DEFAULT_SOCKETS);
    let descriptors = Budget::new(sockets).map_err(|e| format!("limits.sockets: {e}"))?;
    check_admission(file.admission.as_ref(), sockets)?;
    let control = control.or(file.control.as_deref());
    let one = |key: &str, text: &Option<String>| {
        text.as_ref().map_or(Err(format!("{key} is missing")), |text| address(key, text))
    };
    let peers = || {
        let each = file.peers.iter().flatten().map(|text| address("peers", text));
        let (listen, all) = (one("peer_listen", &file.peer_listen)?, one("peers_all", &file.peers_all)?);
        Ok(Addresses { listen, each: each.collect::<Result<_, String>>()?, all })
    };
    let peers = peers();
    Ok(Config {
        peers,
        control: control.map(|text| address("control", text)).transpose()?,
        listen: address("listen", listen.unwrap_or(&file.listen))?,
        seed: seed(&file.seed)?,
        descriptors,
        memory_bytes: (limits.memory_mb.unwrap_or(DEFAULT_MEMORY_MB).max(16.0) * f64::from(1 << 20)) as usize,
        deployment,
        source,
        rollout: file.rollout,
        admission: file.admission,
        members: None,
        drafts: None,
        turns: None,
        accord: None,
        mode: Mode::Platform { bus: address("bus", &file.bus)?, offset: file.known.offset, events: events? },
    })
}

/// Reads a whole JSON document; errors name the key.
fn read<T: DeserializeOwned>(text: &str) -> Result<T, String> {
    let mut source = serde_json::Deserializer::from_str(text);
    let whole = serde_path_to_error::deserialize(&mut source).map_err(|e| {
        let (key, problem) = (e.path().to_string(), e.inner().to_string());
        // The message names the missing key, and the path the object that lacks it.
        let missing = problem.strip_prefix("missing field `").and_then(|rest| rest.split_once('`'));
        match (key.as_str(), missing) {
            (".", Some((name, _))) => format!("{name}: is missing"),
            (key, Some((name, _))) => format!("{key}.{name}: is missing"),
            (".", None) => problem,
            (key, None) => format!("{key}: {problem}"),
        }
    })?;
    source.end().map_err(|e| e.to_string())?;
    Ok(whole)
}

/// Checks the admission rules of a process with this number of descriptors.
fn check_admission(rules: Option<&Rules>, sockets: usize) -> Result<(), String> {
    rules.map_or(Ok(()), |rules| rules.check(sockets)).map_err(|e| format!("admission: {e}"))
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

#[cfg(test)]
mod tests;
