//! What the program is started with: the platform's configuration, or an operator's file.

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
use crate::descriptors::Ledger;
use crate::front::invoke::results::Bounds;
use crate::membership::Setup;
use crate::peers::Addresses;

/// What the program needs to know.
pub struct Config {
    pub listen: SocketAddr,
    /// Where operators call, if they do.
    pub control: Option<SocketAddr>,
    pub seed: u64,
    /// Descriptors that the process may hold, and whose they are.
    pub descriptors: Ledger,
    /// Bytes of memory that it may take.
    pub memory: usize,
    pub deployment: Deployment,
    /// Where the activators of the tier hear one another, where they may; else why they do not.
    pub peers: Result<Addresses, String>,
    pub mode: Mode,
    /// Gradual versions, where they are set up.
    pub rollout: Option<rollout::Setup>,
    /// Who is let in, where that is set up.
    pub admission: Option<Rules>,
    /// Which activators watch each other, where that is set up.
    pub members: Option<Setup>,
    /// What is learnt of drafts, where that is set up.
    pub drafts: Option<drafts::Setup>,
    /// How turns of conversations are routed, where that is set up.
    pub turns: Option<turns::Setup>,
    /// The settings on which activators agree, where that is set up.
    pub accord: Option<crate::accords::Setup>,
    /// The file as it was read, but for the host list: what a new file must not lack.
    form: Value,
}

impl Config {
    /// Holds to the system's limit of descriptors as well, where that is lower than the file's.
    pub fn within_system_limit(mut self) -> Result<Self, String> {
        let system = getrlimit(Resource::Nofile).current.and_then(|most| usize::try_from(most).ok());
        if let Some(system) = system.filter(|system| *system < self.descriptors.limit()) {
            self.descriptors = Ledger::new(system).map_err(|e| format!("limit of the system: {e}"))?;
        }
        Ok(self)
    }

    /// Whether a file may take this one's place: what stood in this one must not be missing there. A file that
    /// lost a part would else be taken with defaults in its place.
    pub fn check_replacement(&self, next: &Config) -> Result<(), String> {
        match missing(&self.form, &next.form) {
            Some(key) => Err(format!("{key} is missing")),
            None => Ok(()),
        }
    }
}

/// A key of the old form that the new one lacks. Lists may become longer or shorter; what all their old
/// entries had, their new ones must have.
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

/// Who speaks with clients, and who tells of hosts.
pub enum Mode {
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
struct Known {
    offset: u64,
    batch: Vec<Value>,
}

/// Descriptors on a scored day, where the configuration tells none.
const SOCKETS: usize = 1024;
/// Megabytes there at most.
const MEMORY: f64 = 192.0;

/// What an installation adds to a platform's configuration that it cannot change itself.
#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct Additions {
    rollout: Option<rollout::Setup>,
    admission: Option<Rules>,
}

/// Reads the platform's configuration, with `listen` and `control` from the environment where they are set
/// there, and with the additions of an operator's file where there is one, which win.
pub fn platform(
    text: &str,
    listen: Option<&str>,
    control: Option<&str>,
    additions: Option<&str>,
) -> Result<Config, String> {
    let added = additions.map(|text| toml::from_str::<Additions>(text).map_err(|e| e.message().to_string()));
    let added = added.transpose().map_err(|e| format!("additions: {e}"))?.unwrap_or_default();
    let mut file: File = read(text)?;
    let mut form: Value = serde_json::from_str(text).map_err(|e| e.to_string())?;
    (file.rollout, file.admission) = (added.rollout.or(file.rollout), added.admission.or(file.admission));
    if let Some(known) = form.get_mut("known") {
        *known = Value::Bool(true);
    }
    let address = |what: &str, text: &str| {
        text.parse::<SocketAddr>().map_err(|_| format!("{what} is no address with a port: {text:?}"))
    };
    let mut deployment = Deployment::try_from(file.settings).map_err(|e| format!("settings.{e}"))?;
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
    file.rollout.as_ref().map_or(Ok(()), rollout::Setup::check)?;
    let limits = file.limits.unwrap_or_default();
    let sockets = limits.sockets.unwrap_or(SOCKETS);
    let descriptors = Ledger::new(sockets).map_err(|e| format!("limits.sockets: {e}"))?;
    check(file.admission.as_ref(), sockets)?;
    let control = control.or(file.control.as_deref());
    let one = |what: &str, text: &Option<String>| {
        text.as_ref().map_or(Err(format!("{what} is not told")), |text| address(what, text))
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
        memory: (limits.memory_mb.unwrap_or(MEMORY).max(16.0) * f64::from(1 << 20)) as usize,
        deployment,
        form,
        rollout: file.rollout,
        admission: file.admission,
        members: None,
        drafts: None,
        turns: None,
        accord: None,
        mode: Mode::Platform { bus: address("bus", &file.bus)?, offset: file.known.offset, known: known? },
    })
}

/// Reads a whole object of JSON; what cannot be read is told by its key.
fn read<T: DeserializeOwned>(text: &str) -> Result<T, String> {
    let mut source = serde_json::Deserializer::from_str(text);
    let whole = serde_path_to_error::deserialize(&mut source).map_err(|e| {
        let (key, problem) = (e.path().to_string(), e.inner().to_string());
        // The key that is missing is named by the message, its place by the path.
        let lacks = problem.strip_prefix("missing field `").and_then(|rest| rest.split_once('`'));
        match (key.as_str(), lacks) {
            (".", Some((name, _))) => format!("{name}: is missing"),
            (key, Some((name, _))) => format!("{key}.{name}: is missing"),
            (".", None) => problem,
            (key, None) => format!("{key}: {problem}"),
        }
    })?;
    source.end().map_err(|e| e.to_string())?;
    Ok(whole)
}

/// Checks who is let in, for a process with so many descriptors.
fn check(rules: Option<&Rules>, sockets: usize) -> Result<(), String> {
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
