//! Draft lengths: chooses the draft of each call, records what the answers report of it, and exchanges the counts with the
//! other activators (`wheellink_drafts`). Off without `[drafts]` in an operator's file.

use std::collections::{BTreeMap, HashMap};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use serde_json::{json, Value};
use wheellink::engine::AttemptEnd;
use wheellink_drafts::{CallStats, Draft, DraftLearner, DraftTable, MemberId, Output, Workload};

use super::*;
use crate::config::drafts::{workload, Setup};
use crate::hosts::lines::Accepted;
use crate::membership::envelope::Kind;

/// The draft of an attempt in flight.
struct DraftRun {
    workload: Workload,
    draft: Draft,
    band: u8,
    version: u64,
    host: WorkerId,
}

/// The draft of a call that was passed to another process.
pub(super) struct OfferedDraft {
    workload: Workload,
    pub(super) draft: Draft,
    version: u64,
}

/// The drafts of this activator.
pub(super) struct DraftState {
    setup: Setup,
    own_id: MemberId,
    learner: DraftLearner,
    /// Start of the learner's times, on the monotonic clock.
    origin: Instant,
    rng: fastrand::Rng,
    /// The file's own table, and the table in force.
    floor: DraftTable,
    table: DraftTable,
    version: u64,
    /// One entry for each attempt in flight.
    in_flight: HashMap<AttemptId, DraftRun>,
    /// One entry for each call that was passed to another process, and the host of the last such call of each workload.
    offered: HashMap<Ticket, OfferedDraft>,
    last_host: HashMap<Workload, WorkerId>,
    /// By host: this activator's attempts in flight, and the calls in flight that the host reported last.
    open: HashMap<WorkerId, u32>,
    reported: HashMap<WorkerId, f64>,
    /// Names of the members, for operators.
    names: BTreeMap<MemberId, String>,
    /// The table that should be in force by this activator's evidence, and when that was found.
    proposed: Option<(Duration, DraftTable)>,
    /// Answers without the field `accepted`, and answers whose field could not be parsed.
    missing: u64,
    invalid: u64,
}

/// The load band of a number of calls in flight at a host.
fn load_band(calls: f64, bands: [f64; 3]) -> u8 {
    bands.iter().filter(|from| calls >= **from).count() as u8
}

impl DraftState {
    fn new(setup: &Setup, own_id: MemberId, seed: u64) -> Result<Self, String> {
        let start = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        // Only distinguishes this process from earlier ones of the same member.
        let incarnation = start.as_nanos() as u64;
        let learner =
            DraftLearner::new(setup.settings()?, own_id, incarnation, seed ^ incarnation, Duration::ZERO);
        let mut learner = learner.map_err(|e| format!("drafts.{e}"))?;
        let floor = setup.floor()?;
        learner.set_table(Duration::ZERO, 0, floor.clone());
        Ok(Self {
            setup: setup.clone(),
            own_id,
            learner,
            origin: Instant::now(),
            rng: fastrand::Rng::with_seed(seed.rotate_left(17) ^ incarnation),
            table: floor.clone(),
            floor,
            version: 0,
            in_flight: HashMap::new(),
            offered: HashMap::new(),
            last_host: HashMap::new(),
            open: HashMap::new(),
            reported: HashMap::new(),
            names: BTreeMap::new(),
            proposed: None,
            missing: 0,
            invalid: 0,
        })
    }

    fn now(&self) -> Duration {
        self.origin.elapsed()
    }

    /// The load band of a host, by the load it reported last or this activator's attempts in flight, if these are more. For
    /// a host that reports no load only the latter are known.
    fn host_band(&self, host: &WorkerId) -> u8 {
        let out = self.open.get(host).copied().unwrap_or(0);
        load_band(self.reported.get(host).copied().unwrap_or(0.0).max(f64::from(out)), self.setup.bands())
    }

    fn choose(&mut self, workload: &Workload, band: u8) -> Draft {
        self.learner.choose(workload, band, &self.table, self.rng.f64())
    }

    fn start(&mut self, attempt: AttemptId, host: &WorkerId, running: DraftRun) {
        *self.open.entry(host.clone()).or_default() += 1;
        self.in_flight.insert(attempt, running);
    }

    pub(super) fn next_tick(&self, now: Micros) -> Micros {
        let wait = self.learner.next_timer_at().map(|at| at.saturating_sub(self.now()));
        wait.map_or(Micros::MAX, |wait| now.saturating_add(wait.as_micros() as Micros))
    }

    /// Puts the table of this version in force, on top of the file's own. With `None` no version may be acted on, and the
    /// file's own table applies alone.
    pub(super) fn set_table(&mut self, version: Option<(u64, DraftTable)>) {
        let now = self.now();
        let (number, over) = version.unwrap_or_default();
        let before = std::mem::replace(&mut self.table, self.floor.clone());
        self.version = number;
        self.table.extend(over);
        self.learner.set_table(now, self.version, self.table.clone());
        if before != self.table {
            self.proposed = None;
        }
    }

    /// Whether another table should be in force.
    pub(super) fn has_proposal(&self) -> bool {
        self.proposed.is_some()
    }

    /// Takes the proposed table, as those entries `draft/WORKLOAD/BAND` that differ from the table in force, for a change
    /// based on that version. The next review proposes it again for as long as the evidence holds.
    pub(super) fn take_proposal(&mut self) -> Option<Vec<(String, String)>> {
        let (_, proposed) = self.proposed.take()?;
        let differs =
            |((key, draft), table): (&(&(Workload, u8), &Draft), &DraftTable)| table.get(*key) != Some(draft);
        let new = proposed.iter().filter(|entry| differs((entry, &self.table)));
        Some(new.map(|((w, band), draft)| (format!("draft/{w}/{band}"), draft.to_string())).collect())
    }

    pub(super) fn show(&self) -> Value {
        let view = self.learner.view(self.now());
        let table = |t: &DraftTable| -> BTreeMap<String, String> {
            t.iter().map(|((w, band), draft)| (format!("{w}/{band}"), draft.to_string())).collect()
        };
        let names: BTreeMap<u32, &str> = self.names.iter().map(|(n, name)| (n.0, name.as_str())).collect();
        json!({"table": table(&self.table), "floor": table(&self.floor), "wanted": self.proposed.as_ref().map(|(_, t)| table(t)),
            "names": names, "out": self.in_flight.len(), "silent": self.missing, "unread": self.invalid, "learnt": view})
    }
}

impl Node {
    /// Starts, updates or stops the learner as configured. A learner is kept for as long as its setup and member are the same.
    pub(super) fn update_drafts(&mut self, now: Micros) {
        let Some(setup) = &self.config.drafts else {
            self.drafts = None;
            return;
        };
        let own_id = self.membership.as_ref().map_or(MemberId(0), |f| MemberId(f.roster().0 .0));
        if self.drafts.as_ref().is_none_or(|d| d.setup != *setup || d.own_id != own_id) {
            match DraftState::new(setup, own_id, self.config.seed) {
                Ok(state) => self.drafts = Some(Box::new(state)),
                // Reached only if the check of the settings file and the learner's own check differ.
                Err(problem) => self.log.line(now, format_args!("drafts are not learnt: {problem}")),
            }
        }
        let (Some(state), Some(membership)) = (&mut self.drafts, &self.membership) else { return };
        state.names = membership.roster().1.map(|(number, name)| (MemberId(number.0), name.into())).collect();
        let present = membership.present_count();
        state.learner.set_members(state.names.keys().copied(), present);
        self.apply_soft_terms();
    }

    /// The workload of this call; `None` if drafts are off.
    fn workload_of(&self, pending: &Pending) -> Option<Workload> {
        let d = self.drafts.as_ref()?;
        let tenant = pending.new.tenant.filter(|_| d.setup.by_tenant);
        let tenant = tenant.and_then(|t| self.config.deployment.tenants.get(t)).map(String::as_str);
        Workload::new(&workload(&pending.call.class, tenant)).ok()
    }

    /// The draft field of a call to a host. Empty if drafts are off.
    pub(super) fn draft_field(&mut self, attempt: AttemptId, host: &WorkerId) -> String {
        let workload = self.pending.get(&attempt.ticket).and_then(|pending| self.workload_of(pending));
        let (Some(workload), Some(d)) = (workload, &mut self.drafts) else { return String::new() };
        let band = d.host_band(host);
        let draft = d.choose(&workload, band);
        d.start(attempt, host, DraftRun { workload, draft, band, version: d.version, host: host.clone() });
        format!(",draft={draft}")
    }

    /// Chooses the draft of a call that is passed to another process. Its host is not known yet: the draft is chosen for the
    /// load band of the host of the last such call.
    pub(super) fn offer_draft(&mut self, pending: &Pending) -> Option<OfferedDraft> {
        let workload = self.workload_of(pending)?;
        let d = self.drafts.as_mut()?;
        let band = d.last_host.get(&workload).map_or(0, |host| d.host_band(host));
        let draft = d.choose(&workload, band);
        Some(OfferedDraft { workload, draft, version: d.version })
    }

    /// Records the draft of a passed call, or removes it when the call is over.
    pub(super) fn set_offered_draft(&mut self, ticket: Ticket, offer: Option<OfferedDraft>) {
        if let Some(d) = &mut self.drafts {
            match offer {
                Some(offer) => drop(d.offered.insert(ticket, offer)),
                None => drop(d.offered.remove(&ticket)),
            }
        }
    }

    /// Records that an attempt of a passed call is sent to this host. It counts for the host's present load band.
    pub(super) fn draft_started(&mut self, attempt: AttemptId, host: &WorkerId) {
        let Some(d) = &mut self.drafts else { return };
        let Some(OfferedDraft { workload, draft, version }) = d.offered.get(&attempt.ticket) else { return };
        let (workload, draft, version) = (workload.clone(), *draft, *version);
        if d.last_host.len() < d.learner.settings().workloads || d.last_host.contains_key(&workload) {
            d.last_host.insert(workload.clone(), host.clone());
        }
        let band = d.host_band(host);
        d.start(attempt, host, DraftRun { workload, draft, band, version, host: host.clone() });
    }

    /// Records what the answer of an ended attempt reports of its draft.
    pub(super) fn draft_ended(
        &mut self,
        now: Micros,
        attempt: AttemptId,
        end: &AttemptEnd,
        fields: &[(String, String)],
    ) {
        let Some(d) = &mut self.drafts else { return };
        let Some(running) = d.in_flight.remove(&attempt) else { return };
        if let Some(out) = d.open.get_mut(&running.host) {
            *out -= 1;
            if *out == 0 {
                d.open.remove(&running.host);
            }
        }
        if let Some(report) = &end.report {
            d.reported.insert(running.host.clone(), report.in_flight);
        }
        if end.outcome != Outcome::Done {
            return;
        }
        let Some((_, text)) = fields.iter().find(|(name, _)| name == "accepted") else {
            d.missing += 1;
            return;
        };
        let Some(report) = Accepted::read(text) else {
            d.invalid += 1;
            if d.invalid == 1 {
                let host = &running.host.0;
                self.log.line(
                    now,
                    format_args!("drafts: host {host} sent accepted={text}, which cannot be parsed"),
                );
            }
            return;
        };
        let DraftRun { workload, draft, band, version, .. } = running;
        let Accepted { rounds, accepted, tokens, micros } = report;
        let time = Duration::from_micros(micros);
        let ran = CallStats { workload, draft, band, version, rounds, accepted, tokens, time };
        // The learner counts refused reports by reason, and its view shows them.
        let _ = d.learner.record_call(d.origin.elapsed(), &ran);
    }

    /// Handles the counts of another activator.
    pub(super) fn receive_drafts(&mut self, now: Micros, from: wheellink_members::MemberId, data: &[u8]) {
        let Some(d) = &mut self.drafts else { return };
        let mut out = Vec::new();
        d.learner.receive(d.origin.elapsed(), MemberId(from.0), data, &mut out);
        self.execute_drafts(now, out);
    }

    /// Runs the learner's due work, and asks it for a proposal.
    pub(super) fn tick_drafts(&mut self, now: Micros) {
        let Some(d) = &mut self.drafts else { return };
        let time = d.now();
        if d.learner.next_timer_at().is_none_or(|at| at > time) {
            return;
        }
        if let Some(membership) = &self.membership {
            d.learner.set_members(d.names.keys().copied(), membership.present_count());
        }
        d.reported.retain(|host, _| self.hosts.is_known(host));
        let mut out = Vec::new();
        d.learner.handle_timers(time, &mut out);
        let (table, version) = (d.table.clone(), d.version);
        if let Some(proposed) = d.learner.propose(time, &table, version) {
            d.proposed = Some((time, proposed));
        }
        // A proposal that the evidence no longer supports is not renewed, and expires.
        let max_age = d.learner.settings().review * 3;
        d.proposed.take_if(|(at, _)| time.saturating_sub(*at) > max_age);
        self.execute_drafts(now, out);
    }

    fn execute_drafts(&mut self, now: Micros, out: Vec<Output>) {
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
