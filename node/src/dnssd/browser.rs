//! Cache of the records of a service and its instances: how long they are valid, and which queries are due. Pure: the
//! current time is a parameter.
//!
//! An instance is in service while a PTR record names it and its SRV and address records are known. When one of them
//! is removed, the instance drains, and is gone some time later. If the resolver fails, expired records stay in use
//! for a while (as in RFC 8767), since hosts keep running while a resolver restarts.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use hickory_proto::rr::Name;
use wheellink::{Condition, ListEntry, Micros};

use super::attributes::{self, Malformed};
use super::records::{self, Data, Failure, Kind, Question};
use crate::bus::Host;

const SECOND: Micros = 1_000_000;
/// A query without an answer fails after this.
const QUERY_TIMEOUT_US: Micros = 500_000;
/// Delays before a failed query is repeated, doubling from the first to the maximum.
const FIRST_RETRY_DELAY_US: Micros = 250_000;
const MAX_RETRY_DELAY_US: Micros = 4 * SECOND;
/// Records are queried again after this share of their TTL.
const REFRESH_SHARE: f64 = 0.8;
/// Bounds that the TTLs of records are clamped to.
const TTL_SECS: std::ops::RangeInclusive<u32> = 1..=3600;
/// TTL of a negative answer without one, and its maximum.
const NEGATIVE_TTL_SECS: u32 = 2;
const MAX_NEGATIVE_TTL_SECS: u32 = 30;
/// How long expired records that could not be renewed stay in use.
const MAX_STALE_US: Micros = 30 * SECOND;
/// How long a removed instance drains before it is gone.
const DRAIN_TIME_US: Micros = 10 * SECOND;
/// Maximum number of instances, so that a faulty resolver cannot fill the memory.
const MAX_INSTANCES: usize = 256;
/// Maximum number of queries sent at a time.
const MAX_QUERIES_AT_ONCE: usize = 32;

/// Cached records of a question.
#[derive(Default)]
struct Entry {
    data: Vec<Data>,
    /// When the TTL of the records ends.
    expires: Micros,
    query_at: Micros,
    /// Id and time of the query that awaits its answer.
    pending: Option<(u16, Micros)>,
    failures: u32,
    /// Whether there has been an answer, be it a negative one.
    known: bool,
}

/// An instance as it was last reported.
struct Listed {
    host: Host,
    /// Since when it has been missing.
    missing_since: Option<Micros>,
    malformed: Vec<Malformed>,
}

/// See the module documentation.
pub struct Browser {
    service: Name,
    entries: BTreeMap<Question, Entry>,
    /// The list as last reported.
    list: BTreeMap<Name, Listed>,
    /// Whether any host has been reported. Instances that appear later have just started.
    populated: bool,
    zones: Vec<String>,
    ids: fastrand::Rng,
    /// Queries to send over TCP, as their answers were truncated.
    pub over_tcp: Vec<Vec<u8>>,
    /// Instances and attributes of their TXT records that make no sense, each reported once.
    pub malformed: Vec<(Name, Malformed)>,
}

impl Browser {
    pub fn new(service: Name, zones: Vec<String>, seed: u64) -> Self {
        let mut entries = BTreeMap::new();
        entries.insert(Question { name: service.clone(), kind: Kind::Ptr }, Entry::default());
        let ids = fastrand::Rng::with_seed(seed);
        Self {
            service,
            entries,
            list: BTreeMap::new(),
            populated: false,
            zones,
            ids,
            over_tcp: Vec::new(),
            malformed: Vec::new(),
        }
    }

    /// Changes the names of the zones. Hosts get their new indexes with the next [`Browser::changes`].
    pub fn set_zones(&mut self, zones: &[String]) {
        self.zones = zones.to_vec();
    }

    /// When [`Browser::due`] and [`Browser::changes`] must be called next.
    pub fn next_tick(&self) -> Micros {
        let at = |e: &Entry| e.pending.map_or(e.query_at, |(_, sent)| sent + QUERY_TIMEOUT_US);
        let ends = self.list.values().filter_map(|listed| listed.missing_since.map(|s| s + DRAIN_TIME_US));
        self.entries.values().map(at).chain(ends).min().unwrap_or(Micros::MAX)
    }

    /// Queries to send now.
    pub fn due(&mut self, now: Micros) -> Vec<Vec<u8>> {
        let mut queries = Vec::new();
        for (question, e) in &mut self.entries {
            if e.pending.is_some_and(|(_, sent)| now - sent >= QUERY_TIMEOUT_US) {
                e.failed(now);
            }
            if e.pending.is_none() && e.query_at <= now && queries.len() < MAX_QUERIES_AT_ONCE {
                let id = self.ids.u16(..);
                e.pending = Some((id, now));
                queries.push(records::encode(id, question));
            }
        }
        queries
    }

    /// Processes an answer; ignored if it does not match a pending query.
    pub fn answer(&mut self, now: Micros, bytes: &[u8]) {
        let Some(reply) = records::decode(bytes) else { return };
        let Some(e) = self.entries.get_mut(&reply.question) else { return };
        if e.pending.is_none_or(|(id, _)| id != reply.id) {
            return;
        }
        if reply.result == Err(Failure::Truncated) {
            e.pending = Some((reply.id, now));
            return self.over_tcp.push(records::encode(reply.id, &reply.question));
        }
        e.pending = None;
        match reply.result {
            Err(Failure::Truncated) => {}
            Err(Failure::ServerError) => e.failed(now),
            Err(Failure::NotFound(ttl)) => {
                e.store(now, Vec::new(), ttl.unwrap_or(NEGATIVE_TTL_SECS).min(MAX_NEGATIVE_TTL_SECS))
            }
            Ok(records) => {
                let mut found: BTreeMap<Question, (u32, Vec<Data>)> = BTreeMap::new();
                for (question, ttl, data) in records {
                    let (min_ttl, all) = found.entry(question).or_insert((ttl, Vec::new()));
                    *min_ttl = ttl.min(*min_ttl);
                    all.push(data);
                }
                // Resolvers add records that will be queried next (RFC 6763, 12): those of named instances and hosts
                // are stored, too.
                let named = |data: &Data| match data {
                    Data::Ptr(name) => Some(name.clone()),
                    Data::Srv { target, .. } => Some(target.clone()),
                    _ => None,
                };
                let wanted: BTreeSet<Name> =
                    found.values().flat_map(|(_, d)| d.iter().filter_map(named)).collect();
                for (question, (ttl, data)) in found {
                    let is_answer = question == reply.question;
                    if is_answer || self.entries.contains_key(&question) || wanted.contains(&question.name) {
                        let e = self.entries.entry(question).or_default();
                        e.store(now, data, ttl);
                    }
                }
            }
        }
        self.update_questions(now);
    }

    /// Adds questions for names in the records, and drops entries that are no longer named.
    fn update_questions(&mut self, now: Micros) {
        let mut wanted = BTreeSet::from([Question { name: self.service.clone(), kind: Kind::Ptr }]);
        for name in self.instances(now) {
            wanted.insert(Question { name: name.clone(), kind: Kind::Txt });
            let srv = Question { name, kind: Kind::Srv };
            if let Some((target, _)) = self.srv(now, &srv) {
                wanted.insert(Question { name: target, kind: Kind::A });
            }
            wanted.insert(srv);
        }
        self.entries.retain(|question, _| wanted.contains(question));
        for question in wanted {
            self.entries.entry(question).or_insert_with(|| Entry { query_at: now, ..Entry::default() });
        }
    }

    fn records(&self, now: Micros, question: &Question) -> &[Data] {
        let entry = self.entries.get(question).filter(|e| e.expires + MAX_STALE_US > now);
        entry.map_or(&[], |e| e.data.as_slice())
    }

    fn instances(&self, now: Micros) -> Vec<Name> {
        let question = Question { name: self.service.clone(), kind: Kind::Ptr };
        let names = self.records(now, &question).iter().filter_map(|d| match d {
            Data::Ptr(name) => Some(name.clone()),
            _ => None,
        });
        names.take(MAX_INSTANCES).collect()
    }

    /// Target and port of the instance: from the SRV record with the best priority, then the highest weight.
    fn srv(&self, now: Micros, question: &Question) -> Option<(Name, u16)> {
        let srv = self.records(now, question).iter().filter_map(|d| match d {
            Data::Srv { priority, weight, port, target } => {
                Some((*priority, u16::MAX - weight, target, *port))
            }
            _ => None,
        });
        srv.min().map(|(_, _, target, port)| (target.clone(), port))
    }

    /// The instance as an entry of the host list, once all its records are known, and its attributes that make no sense.
    fn host(&self, now: Micros, name: &Name) -> Option<(Host, Vec<Malformed>)> {
        let (target, port) = self.srv(now, &Question { name: name.clone(), kind: Kind::Srv })?;
        let a =
            self.records(now, &Question { name: target, kind: Kind::A }).iter().find_map(|d| match d {
                Data::A(a) => Some(*a),
                _ => None,
            })?;
        let txt = Question { name: name.clone(), kind: Kind::Txt };
        if !self.entries.get(&txt).is_some_and(|e| e.known) {
            return None;
        }
        let pairs = self.records(now, &txt).iter().find_map(|d| match d {
            Data::Txt(pairs) => Some(pairs.as_slice()),
            _ => None,
        });
        let (attributes, malformed) = attributes::parse(pairs.unwrap_or_default(), &self.zones);
        let since = self.list.get(name).map(|listed| listed.host.entry.ready_at);
        let entry = ListEntry {
            worker: name.to_utf8().as_str().into(),
            zone: attributes.zone,
            cell: attributes.cell,
            condition: if attributes.draining { Condition::Draining } else { Condition::Up },
            size: attributes.size,
            // An instance without a start time that appears later counts as just started, and so as cold.
            ready_at: attributes.started.or(since).unwrap_or(if self.populated { now } else { 0 }),
        };
        Some((Host { entry, address: SocketAddr::from((a, port)) }, malformed))
    }

    /// Whether the resolver has answered that the SRV or address record of the instance does not exist. Records that
    /// were not queried yet may exist, and records that could not be renewed stay in use as long as the PTR record
    /// does.
    fn is_lost(&self, now: Micros, name: &Name) -> bool {
        let is_missing =
            |question: &Question| self.entries.get(question).is_some_and(|e| e.known && e.data.is_empty());
        let srv = Question { name: name.clone(), kind: Kind::Srv };
        match self.srv(now, &srv) {
            None => is_missing(&srv),
            Some((target, _)) => is_missing(&Question { name: target, kind: Kind::A }),
        }
    }

    /// Changes of the host list since it was last reported.
    pub fn changes(&mut self, now: Micros) -> Vec<Host> {
        let mut changes = Vec::new();
        let mut named = self.instances(now);
        named.retain(|name| !self.is_lost(now, name));
        for name in &named {
            let Some((mut host, malformed)) = self.host(now, name) else { continue };
            self.report_malformed(name, &malformed);
            if let Some(last) = self.list.get_mut(name) {
                // A new address means a new process, even with the same start time.
                if last.host.address != host.address && last.host.entry.ready_at == host.entry.ready_at {
                    host.entry.ready_at = now;
                }
                if last.host == host {
                    (last.missing_since, last.malformed) = (None, malformed);
                    continue;
                }
            }
            changes.push(host.clone());
            self.list.insert(name.clone(), Listed { host, missing_since: None, malformed });
        }
        self.populated |= !changes.is_empty();
        let named: BTreeSet<_> = named.into_iter().collect();
        let missing: Vec<_> = self.list.keys().filter(|name| !named.contains(name)).cloned().collect();
        for name in missing {
            let Some(Listed { host, missing_since, .. }) = self.list.get_mut(&name) else { continue };
            match *missing_since {
                None => {
                    *missing_since = Some(now);
                    if host.entry.condition == Condition::Up {
                        host.entry.condition = Condition::Draining;
                        changes.push(host.clone());
                    }
                }
                Some(since) if now - since >= DRAIN_TIME_US => {
                    host.entry.condition = Condition::Gone;
                    changes.push(host.clone());
                    self.list.remove(&name);
                }
                Some(_) => {}
            }
        }
        changes
    }

    /// Whether any instance is in service.
    pub fn any_up(&self) -> bool {
        self.list.values().any(|listed| listed.host.entry.condition == Condition::Up)
    }

    /// Reports attributes that make no sense and were not so when the instance was last looked at.
    fn report_malformed(&mut self, name: &Name, malformed: &[Malformed]) {
        let before = self.list.get(name).map_or(&[][..], |listed| &listed.malformed);
        let new = malformed.iter().filter(|attribute| !before.contains(attribute)).cloned();
        self.malformed.extend(new.map(|attribute| (name.clone(), attribute)));
    }
}

impl Entry {
    /// Replaces the records, and schedules their renewal.
    fn store(&mut self, now: Micros, data: Vec<Data>, ttl: u32) {
        let ttl = Micros::from(ttl.clamp(*TTL_SECS.start(), *TTL_SECS.end())) * SECOND;
        (self.data, self.expires, self.known, self.failures) = (data, now + ttl, true, 0);
        (self.pending, self.query_at) = (None, now + (ttl as f64 * REFRESH_SHARE) as Micros);
    }

    /// Notes a failed query, and schedules the next one.
    fn failed(&mut self, now: Micros) {
        self.pending = None;
        self.query_at = now + (FIRST_RETRY_DELAY_US << self.failures.min(8)).min(MAX_RETRY_DELAY_US);
        self.failures += 1;
    }
}

#[cfg(test)]
mod tests;
