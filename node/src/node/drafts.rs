//! How far to draft: what calls run, what their answers say of it, and what the fleet makes of that (`crates/drafts`).
//! Off without `[drafts]` in an operator's file.

use std::collections::{BTreeMap, HashMap};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use serde_json::{json, Value};
use wheellink::engine::AttemptEnd;
use wheellink_drafts::{CallStats, Draft, DraftLearner, DraftTable, MemberId, Output, Workload};

use super::*;
use crate::config::drafts::{workload, Setup};
use crate::hosts::lines::Accepted;
use crate::membership::envelope::Kind;

/// What an attempt that is out runs under.
struct Running {
    workload: Workload,
    draft: Draft,
    band: u8,
    version: u64,
    host: WorkerId,
}

/// What a call that another process decides is to run.
pub(super) struct Offer {
    workload: Workload,
    pub(super) draft: Draft,
    version: u64,
}

/// See the module's page.
pub(super) struct Drafting {
    setup: Setup,
    me: MemberId,
    drafts: DraftLearner,
    /// Its times run from here, on a clock that nobody sets.
    origin: Instant,
    lots: fastrand::Rng,
    /// What runs without a version, and what runs now.
    floor: DraftTable,
    table: DraftTable,
    version: u64,
    /// One for each attempt that is out.
    running: HashMap<AttemptId, Running>,
    /// One for each call that was passed to another process, and the hosts to which such calls went last.
    offered: HashMap<Ticket, Offer>,
    went: HashMap<Workload, WorkerId>,
    /// Of hosts: attempts of this activator that are out there, and calls that the host last said it holds.
    out: HashMap<WorkerId, u32>,
    told: HashMap<WorkerId, f64>,
    /// Names of the others, for staff.
    names: BTreeMap<MemberId, String>,
    /// What should be in force instead, by the evidence here.
    wanted: Option<(Duration, DraftTable)>,
    /// Answers that said nothing of drafting, and such as could not be read.
    silent: u64,
    unread: u64,
}

/// Answers whose host tells no load know of this activator's own calls alone.
fn band(calls: f64, bands: [f64; 3]) -> u8 {
    bands.iter().filter(|from| calls >= **from).count() as u8
}

impl Drafting {
    fn new(setup: &Setup, me: MemberId, seed: u64) -> Result<Self, String> {
        let start = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        // Only to tell this life from others of its name.
        let life = start.as_nanos() as u64;
        let drafts = DraftLearner::new(setup.settings()?, me, life, seed ^ life, Duration::ZERO);
        let mut drafts = drafts.map_err(|e| format!("drafts.{e}"))?;
        let floor = setup.floor()?;
        drafts.set_table(Duration::ZERO, 0, floor.clone());
        Ok(Self {
            setup: setup.clone(),
            me,
            drafts,
            origin: Instant::now(),
            lots: fastrand::Rng::with_seed(seed.rotate_left(17) ^ life),
            table: floor.clone(),
            floor,
            version: 0,
            running: HashMap::new(),
            offered: HashMap::new(),
            went: HashMap::new(),
            out: HashMap::new(),
            told: HashMap::new(),
            names: BTreeMap::new(),
            wanted: None,
            silent: 0,
            unread: 0,
        })
    }

    fn now(&self) -> Duration {
        self.origin.elapsed()
    }

    /// The load band in which a host is, by what it said last and what is out there.
    fn band_of(&self, host: &WorkerId) -> u8 {
        let out = self.out.get(host).copied().unwrap_or(0);
        band(self.told.get(host).copied().unwrap_or(0.0).max(f64::from(out)), self.setup.bands())
    }

    fn pick(&mut self, workload: &Workload, band: u8) -> Draft {
        self.drafts.choose(workload, band, &self.table, self.lots.f64())
    }

    fn begins(&mut self, attempt: AttemptId, host: &WorkerId, running: Running) {
        *self.out.entry(host.clone()).or_default() += 1;
        self.running.insert(attempt, running);
    }

    pub(super) fn next_tick(&self, now: Micros) -> Micros {
        let wait = self.drafts.next_timer_at().map(|at| at.saturating_sub(self.now()));
        wait.map_or(Micros::MAX, |wait| now.saturating_add(wait.as_micros() as Micros))
    }

    /// The table of this version is in force from now on, over the file's own; `None`: none may be acted on, and the
    /// file's own holds alone.
    pub(super) fn set_table(&mut self, version: Option<(u64, DraftTable)>) {
        let now = self.now();
        let (number, over) = version.unwrap_or_default();
        let before = std::mem::replace(&mut self.table, self.floor.clone());
        self.version = number;
        self.table.extend(over);
        self.drafts.set_table(now, self.version, self.table.clone());
        if before != self.table {
            self.wanted = None;
        }
    }

    /// Whether something else should be in force.
    pub(super) fn wants(&self) -> bool {
        self.wanted.is_some()
    }

    /// What should be in force instead, as entries of `draft/WORKLOAD/BAND` that differ, for a change that is based on the version
    /// in force. Taken once; it comes back at the next look for as long as the evidence holds.
    pub(super) fn take_wanted(&mut self) -> Option<Vec<(String, String)>> {
        let (_, wanted) = self.wanted.take()?;
        let differs = |((place, draft), table): (&(&(Workload, u8), &Draft), &DraftTable)| {
            table.get(*place) != Some(draft)
        };
        let new = wanted.iter().filter(|entry| differs((entry, &self.table)));
        Some(new.map(|((word, band), draft)| (format!("draft/{word}/{band}"), draft.to_string())).collect())
    }

    pub(super) fn show(&self) -> Value {
        let view = self.drafts.view(self.now());
        let table = |t: &DraftTable| -> BTreeMap<String, String> {
            t.iter().map(|((word, band), draft)| (format!("{word}/{band}"), draft.to_string())).collect()
        };
        let names: BTreeMap<u32, &str> = self.names.iter().map(|(n, name)| (n.0, name.as_str())).collect();
        json!({"table": table(&self.table), "floor": table(&self.floor), "wanted": self.wanted.as_ref().map(|(_, t)| table(t)),
            "names": names, "out": self.running.len(), "silent": self.silent, "unread": self.unread, "learnt": view})
    }
}

impl Node {
    /// Learns drafts, where that is set up, in one life for as long as the setup is the same.
    pub(super) fn attend_drafts(&mut self, now: Micros) {
        let Some(setup) = &self.config.drafts else {
            self.drafting = None;
            return;
        };
        let me = self.membership.as_ref().map_or(MemberId(0), |f| MemberId(f.roster().0 .0));
        if self.drafting.as_ref().is_none_or(|d| d.setup != *setup || d.me != me) {
            match Drafting::new(setup, me, self.config.seed) {
                Ok(drafting) => self.drafting = Some(Box::new(drafting)),
                // The file was checked: this is said for whoever changes the one and not the other.
                Err(problem) => self.log.line(now, format_args!("drafts are not learnt: {problem}")),
            }
        }
        let (Some(drafting), Some(membership)) = (&mut self.drafting, &self.membership) else { return };
        drafting.names =
            membership.roster().1.map(|(number, name)| (MemberId(number.0), name.into())).collect();
        let there = membership.present_count();
        drafting.drafts.set_members(drafting.names.keys().copied(), there);
        self.share_agreed();
    }

    /// What this call drafts for, where drafts are on.
    fn workload_of(&self, pending: &Pending) -> Option<Workload> {
        let d = self.drafting.as_ref()?;
        let tenant = pending.new.tenant.filter(|_| d.setup.by_tenant);
        let tenant = tenant.and_then(|t| self.config.deployment.tenants.get(t)).map(String::as_str);
        Workload::new(&workload(&pending.call.class, tenant)).ok()
    }

    /// The further fields of a call to a host: what it is to draft. Nothing where drafts are off.
    pub(super) fn draft_for(&mut self, attempt: AttemptId, host: &WorkerId) -> String {
        let workload = self.pending.get(&attempt.ticket).and_then(|pending| self.workload_of(pending));
        let (Some(workload), Some(d)) = (workload, &mut self.drafting) else { return String::new() };
        let band = d.band_of(host);
        let draft = d.pick(&workload, band);
        d.begins(attempt, host, Running { workload, draft, band, version: d.version, host: host.clone() });
        format!(",draft={draft}")
    }

    /// What a call is to run that another process decides. Its host is not known yet: it is chosen as for the one to
    /// which such a call went last.
    pub(super) fn offer_draft(&mut self, pending: &Pending) -> Option<Offer> {
        let workload = self.workload_of(pending)?;
        let d = self.drafting.as_mut()?;
        let band = d.went.get(&workload).map_or(0, |host| d.band_of(host));
        let draft = d.pick(&workload, band);
        Some(Offer { workload, draft, version: d.version })
    }

    /// The call was passed with this, or is over.
    pub(super) fn offered(&mut self, ticket: Ticket, offer: Option<Offer>) {
        if let Some(d) = &mut self.drafting {
            match offer {
                Some(offer) => drop(d.offered.insert(ticket, offer)),
                None => drop(d.offered.remove(&ticket)),
            }
        }
    }

    /// An attempt of a passed call goes to this host: what it runs is of the band in which the host is now.
    pub(super) fn draft_begins(&mut self, attempt: AttemptId, host: &WorkerId) {
        let Some(d) = &mut self.drafting else { return };
        let Some(Offer { workload, draft, version }) = d.offered.get(&attempt.ticket) else { return };
        let (workload, draft, version) = (workload.clone(), *draft, *version);
        if d.went.len() < d.drafts.settings().workloads || d.went.contains_key(&workload) {
            d.went.insert(workload.clone(), host.clone());
        }
        let band = d.band_of(host);
        d.begins(attempt, host, Running { workload, draft, band, version, host: host.clone() });
    }

    /// An attempt has ended: what its answer says of drafting is counted.
    pub(super) fn drafted(
        &mut self,
        now: Micros,
        attempt: AttemptId,
        end: &AttemptEnd,
        fields: &[(String, String)],
    ) {
        let Some(d) = &mut self.drafting else { return };
        let Some(running) = d.running.remove(&attempt) else { return };
        if let Some(out) = d.out.get_mut(&running.host) {
            *out -= 1;
            if *out == 0 {
                d.out.remove(&running.host);
            }
        }
        if let Some(report) = &end.report {
            d.told.insert(running.host.clone(), report.in_flight);
        }
        if end.outcome != Outcome::Done {
            return;
        }
        let Some((_, text)) = fields.iter().find(|(name, _)| name == "accepted") else {
            d.silent += 1;
            return;
        };
        let Some(said) = Accepted::read(text) else {
            d.unread += 1;
            if d.unread == 1 {
                let host = &running.host.0;
                self.log.line(
                    now,
                    format_args!("drafts: host {host} says accepted={text}, which has not the form"),
                );
            }
            return;
        };
        let Running { workload, draft, band, version, .. } = running;
        let Accepted { rounds, accepted, tokens, micros } = said;
        let time = Duration::from_micros(micros);
        let ran = CallStats { workload, draft, band, version, rounds, accepted, tokens, time };
        // What cannot be is counted by its reason, and shown.
        let _ = d.drafts.record_call(d.origin.elapsed(), &ran);
    }

    /// Another activator tells its counts.
    pub(super) fn drafts_heard(&mut self, now: Micros, from: wheellink_members::MemberId, data: &[u8]) {
        let Some(d) = &mut self.drafting else { return };
        let mut out = Vec::new();
        d.drafts.receive(d.origin.elapsed(), MemberId(from.0), data, &mut out);
        self.carry_out_drafts(now, out);
    }

    /// Does what is due.
    pub(super) fn tend_drafts(&mut self, now: Micros) {
        let Some(d) = &mut self.drafting else { return };
        let here = d.now();
        if d.drafts.next_timer_at().is_none_or(|at| at > here) {
            return;
        }
        if let Some(membership) = &self.membership {
            d.drafts.set_members(d.names.keys().copied(), membership.present_count());
        }
        d.told.retain(|host, _| self.hosts.is_known(host));
        let mut out = Vec::new();
        d.drafts.handle_timers(here, &mut out);
        let (table, version) = (d.table.clone(), d.version);
        if let Some(wanted) = d.drafts.propose(here, &table, version) {
            d.wanted = Some((here, wanted));
        }
        // Evidence that no longer says so does not bring it back.
        let long = d.drafts.settings().review * 3;
        d.wanted.take_if(|(at, _)| here.saturating_sub(*at) > long);
        self.carry_out_drafts(now, out);
    }

    fn carry_out_drafts(&mut self, now: Micros, out: Vec<Output>) {
        for out in out {
            match (out, &self.membership) {
                (Output::Send { to, data }, Some(membership)) => {
                    membership.send(wheellink_members::MemberId(to.0), Kind::Drafts, &data)
                }
                (Output::Send { .. }, None) => {}
                (Output::Log(line), _) => self.log.line(now, line),
            }
        }
    }
}
