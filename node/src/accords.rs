//! The settings on which the activators agree, as an operator sets them up: voters, leases, the document at the start,
//! and the floor. What is agreed is `crates/accord`'s affair; [`terms`] says what a document means here, and [`office`]
//! prepares it beside the loop. Off without `[accord]` in an operator's file.

pub mod office;
pub mod terms;

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use wheellink_accord::{check_entry, Document, Key, MemberId, Settings, Value};

use crate::membership;
use terms::{Base, Terms};

/// What an operator sets.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Setup {
    /// Names of the members that vote, the same list at all of them.
    voters: Vec<String>,
    /// Names of the members that a document may make voters, the same list at all of them: the voters and their spares.
    #[serde(default)]
    may_vote: Vec<String>,
    /// How long a lease to act lasts.
    #[serde(default = "lease")]
    lease_ms: u64,
    /// How often what is not answered is sent again.
    #[serde(default = "period")]
    period_ms: u64,
    /// How far a clock that nobody sets may be from true time, in parts in a million.
    #[serde(default = "drift")]
    drift_ppm: u32,
    /// How long a version waits for those that say nothing of it.
    #[serde(default = "patience")]
    patience_ms: u64,
    /// Bytes of documents that are sent within a period, at most.
    #[serde(default = "pace")]
    pace_bytes: usize,
    /// Whether documents are read on a thread of their own, beside the loop.
    #[serde(default = "yes")]
    pub thread: bool,
    /// Lists of a document whose entries are functions that are not served, and addresses that are not let in.
    pub functions_out: Option<String>,
    pub addresses_out: Option<String>,
    /// What is in force where nobody knows of a version.
    #[serde(default)]
    document: toml::Table,
    /// What this one acts on without a lease.
    #[serde(default)]
    floor: toml::Table,
}

fn yes() -> bool {
    true
}
fn lease() -> u64 {
    6_000
}
fn period() -> u64 {
    500
}
fn drift() -> u32 {
    500
}
fn patience() -> u64 {
    60_000
}
fn pace() -> usize {
    120_000
}

/// The name of a member in the accord.
pub fn number(name: &str) -> MemberId {
    MemberId(membership::member_id(name).0)
}

impl Setup {
    /// What is wrong with it, in one line. Documents must make sense beside the file's own classes and tenants.
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

    /// What the accord is told.
    pub fn settings(&self, members: &membership::Setup) -> Result<Settings, String> {
        Ok(Settings {
            voters: self.voters.iter().map(|name| number(name)).collect(),
            eligible_voters: self.may_vote.iter().map(|name| number(name)).collect(),
            roster: members.names().map(number).collect(),
            lease: Duration::from_millis(self.lease_ms),
            period: Duration::from_millis(self.period_ms),
            drift_ppm: self.drift_ppm,
            prepare_timeout: Duration::from_millis(self.patience_ms),
            transfer_bytes_per_period: self.pace_bytes,
            document: document("document", &self.document)?,
            floor: document("floor", &self.floor)?,
        })
    }
}

/// A document as tables, with `/` or a table for each step of a path. A list of words stands for as many keys that
/// are true: `out = ["HOST"]` and `list.NAME = ["ENTRY"]`.
fn document(what: &str, table: &toml::Table) -> Result<Document, String> {
    let mut made = Document::default();
    let mut todo: Vec<(String, &toml::Value)> = table.iter().map(|(k, v)| (k.clone(), v)).collect();
    while let Some((path, value)) = todo.pop() {
        let failed = |reason: String| format!("accord.{what}.{path}: {reason}");
        let mut set = |path: &str, value: Value| {
            let key = Key::new(path).map_err(|e| failed(e.to_string()))?;
            check_entry(&key, &value).map_err(|e| format!("accord.{what}: {e}"))?;
            if made.get(&key).is_some() {
                return Err(failed("it stands twice".into()));
            }
            made.set(key, value);
            Ok::<_, String>(())
        };
        match value {
            toml::Value::Table(inner) => todo.extend(inner.iter().map(|(k, v)| (format!("{path}/{k}"), v))),
            toml::Value::Array(entries) => {
                for entry in entries {
                    let entry = entry.as_str().ok_or_else(|| failed("a list holds words only".into()))?;
                    set(&format!("{path}/{entry}"), Value::Flag(true))?;
                }
            }
            toml::Value::Boolean(flag) => set(&path, Value::Flag(*flag))?,
            toml::Value::Integer(n) => set(&path, Value::Int(*n))?,
            toml::Value::String(word) => set(&path, Value::Text(word.clone()))?,
            _ => {
                return Err(failed("it is true or false, a whole number, a word, or a list of words".into()))
            }
        }
    }
    made.seal();
    Ok(made)
}

/// A change as operators write it: `{"base": N, "set": {"KEY": VALUE}, "drop": ["KEY"]}`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Written {
    base: u64,
    #[serde(default)]
    set: BTreeMap<String, serde_json::Value>,
    #[serde(default)]
    drop: Vec<String>,
}

/// Reads a change; what is wrong with it names the key and the reason.
pub fn change(body: &[u8]) -> Result<wheellink_accord::Change, String> {
    let written: Written = serde_json::from_slice(body).map_err(|e| format!("the body: {e}"))?;
    let mut change = wheellink_accord::Change { base: written.base, ..Default::default() };
    let key = |path: &str| Key::new(path).map_err(|e| format!("{path}: {e}"));
    for (path, value) in written.set {
        let value = match value {
            serde_json::Value::Bool(flag) => Value::Flag(flag),
            serde_json::Value::String(word) => Value::Text(word),
            serde_json::Value::Number(n) if n.is_i64() => Value::Int(n.as_i64().unwrap_or_default()),
            _ => return Err(format!("{path}: it is true or false, a whole number, or a word")),
        };
        let key = key(&path)?;
        // A member's name in place of its number is looked up by whoever has the roster; its schema is asked once more then.
        let by_name = key.as_str().starts_with("voter/") || key.as_str().starts_with("gone/");
        if !by_name || value != Value::Flag(true) {
            check_entry(&key, &value).map_err(|e| e.to_string())?;
        }
        change.set.insert(key, value);
    }
    for path in written.drop {
        change.drop.insert(key(&path)?);
    }
    Ok(change)
}

#[cfg(test)]
mod tests;
