//! `[accord]` of an operator's file: voters, leases, the initial document and the floor of the settings on which the
//! activators agree. `crates/accord` runs the agreement protocol; [`terms`] translates a document into settings of the
//! engine, and [`preparer`] does so on a thread outside the event loop. Without `[accord]` this is off.

pub mod preparer;
pub mod terms;

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use wheellink_accord::{check_entry, Document, Key, MemberId, Settings, Value};

use crate::membership;
use terms::{Base, Terms};

/// `[accord]`. Keys without a default depend on the installation.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Setup {
    /// Names of the members that vote. The list must be the same at all members.
    voters: Vec<String>,
    /// Names of the members that a document may make voters: the voters and their spares. The list must be the same at
    /// all members.
    #[serde(default)]
    may_vote: Vec<String>,
    /// Duration of a lease.
    #[serde(default = "lease_ms")]
    lease_ms: u64,
    /// Time after which an unanswered message is sent again.
    #[serde(default = "period_ms")]
    period_ms: u64,
    /// Highest drift from true time of a clock that cannot be set, in parts per million.
    #[serde(default = "drift_ppm")]
    drift_ppm: u32,
    /// Time that a new version waits for members that do not answer.
    #[serde(default = "patience_ms")]
    patience_ms: u64,
    /// Maximum bytes of documents that are sent within a period.
    #[serde(default = "pace_bytes")]
    pace_bytes: usize,
    /// Whether documents are read on a separate thread instead of the event loop.
    #[serde(default = "yes")]
    pub thread: bool,
    /// Name of the list, in documents, of functions that are not served.
    pub functions_out: Option<String>,
    /// Name of the list, in documents, of client addresses whose connections are closed.
    pub addresses_out: Option<String>,
    /// Document that is in force until a version is agreed.
    #[serde(default)]
    document: toml::Table,
    /// Document that this activator applies while it has no lease.
    #[serde(default)]
    floor: toml::Table,
}

fn yes() -> bool {
    true
}
fn lease_ms() -> u64 {
    6_000
}
fn period_ms() -> u64 {
    500
}
fn drift_ppm() -> u32 {
    500
}
fn patience_ms() -> u64 {
    60_000
}
fn pace_bytes() -> usize {
    120_000
}

/// The id of a member in the accord, by its name.
pub fn member_id(name: &str) -> MemberId {
    MemberId(membership::member_id(name).0)
}

impl Setup {
    /// Checks the setup. Documents must be valid together with the file's own classes and tenants.
    ///
    /// # Errors
    /// The first problem, in one line.
    pub fn check(&self, members: Option<&membership::Setup>, base: &Base) -> Result<(), String> {
        let members = members.ok_or("accord: it needs [members], which carry it")?;
        if self.voters.len().is_multiple_of(2) {
            let n = self.voters.len();
            return Err(format!(
                "accord.voters: {n} names; an even number bears no more losses than one less"
            ));
        }
        if let Some(name) = self.voters.iter().find(|name| !members.names().any(|known| known == **name)) {
            return Err(format!("accord.voters: {name} is the name of no member"));
        }
        if let Some(name) = self.may_vote.iter().find(|name| !members.names().any(|known| known == **name)) {
            return Err(format!("accord.may_vote: {name} is the name of no member"));
        }
        if let Some(name) =
            self.voters.iter().find(|n| !self.may_vote.is_empty() && !self.may_vote.contains(n))
        {
            return Err(format!("accord.may_vote: the voter {name} is missing"));
        }
        let settings = self.settings(members)?;
        settings.check().map_err(|e| e.to_string())?;
        for (what, document) in [("document", &settings.document), ("floor", &settings.floor)] {
            Terms::read(document, base, || false).map_err(|e| format!("accord.{what}: {e}"))?;
        }
        Ok(())
    }

    /// The settings for `wheellink_accord`.
    pub fn settings(&self, members: &membership::Setup) -> Result<Settings, String> {
        Ok(Settings {
            voters: self.voters.iter().map(|name| member_id(name)).collect(),
            eligible_voters: self.may_vote.iter().map(|name| member_id(name)).collect(),
            roster: members.names().map(member_id).collect(),
            lease: Duration::from_millis(self.lease_ms),
            period: Duration::from_millis(self.period_ms),
            drift_ppm: self.drift_ppm,
            prepare_timeout: Duration::from_millis(self.patience_ms),
            transfer_bytes_per_period: self.pace_bytes,
            document: parse_document("document", &self.document)?,
            floor: parse_document("floor", &self.floor)?,
        })
    }
}

/// Parses a document from TOML. The segments of a key are separated by `/` or nested as tables. An array of strings sets
/// one key to true for each of them: `out = ["HOST"]` and `list.NAME = ["ENTRY"]`.
fn parse_document(section: &str, table: &toml::Table) -> Result<Document, String> {
    let mut document = Document::default();
    let mut queue: Vec<(String, &toml::Value)> = table.iter().map(|(k, v)| (k.clone(), v)).collect();
    while let Some((path, value)) = queue.pop() {
        let failed = |reason: String| format!("accord.{section}.{path}: {reason}");
        let mut set = |path: &str, value: Value| {
            let key = Key::new(path).map_err(|e| failed(e.to_string()))?;
            check_entry(&key, &value).map_err(|e| format!("accord.{section}: {e}"))?;
            if document.get(&key).is_some() {
                return Err(failed("it stands twice".into()));
            }
            document.set(key, value);
            Ok::<_, String>(())
        };
        match value {
            toml::Value::Table(inner) => queue.extend(inner.iter().map(|(k, v)| (format!("{path}/{k}"), v))),
            toml::Value::Array(entries) => {
                for entry in entries {
                    let entry = entry.as_str().ok_or_else(|| failed("a list holds words only".into()))?;
                    set(&format!("{path}/{entry}"), Value::Flag(true))?;
                }
            }
            toml::Value::Boolean(flag) => set(&path, Value::Flag(*flag))?,
            toml::Value::Integer(n) => set(&path, Value::Int(*n))?,
            toml::Value::String(text) => set(&path, Value::Text(text.clone()))?,
            _ => {
                return Err(failed("it is true or false, a whole number, a word, or a list of words".into()))
            }
        }
    }
    document.seal();
    Ok(document)
}

/// Body of a `POST /accord`: `{"base": N, "set": {"KEY": VALUE}, "drop": ["KEY"]}`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ChangeRequest {
    base: u64,
    #[serde(default)]
    set: BTreeMap<String, serde_json::Value>,
    #[serde(default)]
    drop: Vec<String>,
}

/// Parses the body of a `POST /accord`.
///
/// # Errors
/// The first problem, with its key and the reason.
pub fn parse_change(body: &[u8]) -> Result<wheellink_accord::Change, String> {
    let request: ChangeRequest = serde_json::from_slice(body).map_err(|e| format!("the body: {e}"))?;
    let mut change = wheellink_accord::Change { base: request.base, ..Default::default() };
    let key = |path: &str| Key::new(path).map_err(|e| format!("{path}: {e}"));
    for (path, value) in request.set {
        let value = match value {
            serde_json::Value::Bool(flag) => Value::Flag(flag),
            serde_json::Value::String(text) => Value::Text(text),
            serde_json::Value::Number(n) if n.is_i64() => Value::Int(n.as_i64().unwrap_or_default()),
            _ => return Err(format!("{path}: it is true or false, a whole number, or a word")),
        };
        let key = key(&path)?;
        // `voter/` and `gone/` may have a member's name in place of its id. The node, which has the roster, replaces the
        // name, and the accord then checks the entry against the schema.
        let by_name = key.as_str().starts_with("voter/") || key.as_str().starts_with("gone/");
        if !by_name || value != Value::Flag(true) {
            check_entry(&key, &value).map_err(|e| e.to_string())?;
        }
        change.set.insert(key, value);
    }
    for path in request.drop {
        change.drop.insert(key(&path)?);
    }
    Ok(change)
}

#[cfg(test)]
mod tests;
