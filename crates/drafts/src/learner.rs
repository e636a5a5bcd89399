//! The learner: counts calls, exchanges rows with other members, evaluates the evidence and proposes draft tables.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use crate::evaluate::{self, Evaluation};
use crate::explore::{Arms, ExplorationBudget};
use crate::settings::{Settings, SettingsError};
use crate::store::{sums_of, Key, Source, Store, Sums};
use crate::tally::Row;
use crate::types::{CallStats, Draft, DraftTable, MemberId, Refusal, Workload, LOAD_BANDS};
use crate::view::{BandView, MemberView, View, WorkloadView};
use crate::wire::{self, RowsOwner};

const HOUR: Duration = Duration::from_secs(3_600);
/// The maximum number of table versions whose throughput the view shows for a workload.
const MAX_SHOWN_VERSIONS: usize = 8;

/// An action for the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a datagram of at most [`crate::MAX_DATAGRAM_BYTES`]. It may be lost, duplicated, delayed or reordered.
    Send {
        /// The member whose learner is to receive it.
        to: MemberId,
        /// The content.
        data: Vec<u8>,
    },
    /// Write a line to the log.
    Log(String),
}

/// Learns the best draft for each workload and load band; see the crate documentation.
#[derive(Clone, Debug)]
pub struct DraftLearner {
    settings: Settings,
    me: MemberId,
    incarnation: u64,
    store: Store,
    /// Workloads by number. The slot of a workload without rows is reused.
    workloads: Vec<Option<Workload>>,
    workload_numbers: BTreeMap<Workload, u16>,
    roster: Vec<MemberId>,
    /// The number of other members that are currently heard.
    heard: usize,
    version: u64,
    table: DraftTable,
    /// When tables came into force within the last hour.
    table_changes: VecDeque<Duration>,
    started_at: Duration,
    proposal_checked_at: Option<Duration>,
    /// The drafts to try, by workload and load band.
    arms: BTreeMap<(u16, u8), Arms>,
    /// The reporters and the evaluation by workload, as of the last review.
    evaluations: BTreeMap<u16, (Vec<MemberId>, Evaluation)>,
    budget: ExplorationBudget,
    next_send: Duration,
    next_review: Duration,
    /// The next member to send own rows to.
    next_receiver: usize,
    /// The next incarnation to relay, and the next member to relay to.
    next_relay: usize,
    /// The positions from which the next datagrams take rows: new own rows, old own rows, relayed rows.
    cursors: [usize; 3],
    refusals: BTreeMap<Refusal, u64>,
    /// Outliers that are already logged, by workload and member.
    logged_outliers: BTreeSet<(u16, MemberId)>,
}

impl DraftLearner {
    /// Starts an incarnation of this member. `incarnation` is unique among all incarnations of the member; `seed` only spreads the
    /// sending times and the order of receivers.
    ///
    /// # Errors
    /// A setting is out of its bounds.
    pub fn new(
        settings: Settings,
        me: MemberId,
        incarnation: u64,
        seed: u64,
        now: Duration,
    ) -> Result<Self, SettingsError> {
        settings.check()?;
        let mut rng = fastrand::Rng::with_seed(seed);
        let first = settings.period.mul_f64(rng.f64());
        let (store, budget) = (Store::new(me, incarnation, now), ExplorationBudget::new(now));
        Ok(Self {
            me,
            incarnation,
            store,
            workloads: Vec::new(),
            workload_numbers: BTreeMap::new(),
            roster: Vec::new(),
            heard: 0,
            version: 0,
            table: DraftTable::new(),
            table_changes: VecDeque::new(),
            started_at: now,
            proposal_checked_at: None,
            arms: BTreeMap::new(),
            evaluations: BTreeMap::new(),
            budget,
            next_send: now + first,
            next_review: now + settings.review,
            next_receiver: rng.usize(..1 << 16),
            next_relay: rng.usize(..1 << 16),
            cursors: [0; 3],
            refusals: BTreeMap::new(),
            logged_outliers: BTreeSet::new(),
            settings,
        })
    }

    /// Sets the other members, and how many of them are heard. Rows of other members are dropped at the next review.
    pub fn set_members(&mut self, others: impl IntoIterator<Item = MemberId>, heard: usize) {
        self.roster = others.into_iter().filter(|n| *n != self.me).collect();
        self.roster.sort();
        self.roster.dedup();
        self.heard = heard.min(self.roster.len());
    }

    /// Sets the table that is in force from now on.
    pub fn set_table(&mut self, now: Duration, version: u64, table: DraftTable) {
        self.version = version;
        if table != self.table {
            self.table = table;
            self.table_changes.push_back(now);
            // More entries than the limit make no difference to the check against it.
            if self.table_changes.len() > self.settings.versions_hour as usize {
                self.table_changes.pop_front();
            }
        }
    }

    /// The settings.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// The version and the table in force.
    pub fn table(&self) -> (u64, &DraftTable) {
        (self.version, &self.table)
    }

    fn in_force(&self, workload: &Workload, band: u8, table: &DraftTable) -> Draft {
        let draft = table.get(&(workload.clone(), band)).copied().unwrap_or(self.settings.start);
        if self.settings.allows(draft) {
            draft
        } else {
            self.settings.start
        }
    }

    /// Chooses the draft of a call: the one in force, or sometimes another one for exploration. `sample` is uniform in [0, 1).
    pub fn choose(&mut self, workload: &Workload, band: u8, table: &DraftTable, sample: f64) -> Draft {
        let draft = self.in_force(workload, band, table);
        let Some(number) = self.workload_numbers.get(workload) else { return draft };
        let tried = self.arms.get(&(*number, band)).and_then(|a| a.draw(draft, sample, &self.settings));
        tried.filter(|_| self.budget.take()).unwrap_or(draft)
    }

    /// Counts a call.
    ///
    /// # Errors
    /// The numbers are impossible or there is no room; nothing is counted then.
    pub fn record_call(&mut self, now: Duration, call: &CallStats) -> Result<(), Refusal> {
        let counted = self.try_record(now, call);
        if let Err(reason) = counted {
            *self.refusals.entry(reason).or_default() += 1;
        }
        counted
    }

    fn try_record(&mut self, now: Duration, call: &CallStats) -> Result<(), Refusal> {
        let sums = sums_of(call, &self.settings)?;
        let workload = self.workload_number(&call.workload, self.settings.workloads)?;
        let epoch = self.store.own.epoch(now, &self.settings);
        let key = Key { epoch, workload, draft: call.draft, band: call.band, version: call.version };
        self.store.count(key, &sums, &self.settings)?;
        if !self.arms.contains_key(&(workload, call.band)) {
            self.arms.insert((workload, call.band), Arms::of(None, &self.settings));
        }
        Ok(())
    }

    /// The number of a workload; a new number if fewer than `max_workloads` are in use.
    fn workload_number(&mut self, workload: &Workload, max_workloads: usize) -> Result<u16, Refusal> {
        if let Some(number) = self.workload_numbers.get(workload) {
            return Ok(*number);
        }
        if self.workload_numbers.len() >= max_workloads {
            return Err(Refusal::Workloads);
        }
        let free = self.workloads.iter().position(Option::is_none).unwrap_or(self.workloads.len());
        if free == self.workloads.len() {
            self.workloads.push(None);
        }
        self.workloads[free] = Some(workload.clone());
        self.workload_numbers.insert(workload.clone(), free as u16);
        Ok(free as u16)
    }

    /// Processes a datagram of another member. An invalid one is rejected and counted by the reason.
    pub fn receive(&mut self, now: Duration, from: MemberId, data: &[u8], _out: &mut Vec<Output>) {
        let merged = wire::read(data).and_then(|msg| self.merge(now, from, msg));
        if let Err(reason) = merged {
            *self.refusals.entry(reason).or_default() += 1;
        }
    }

    fn merge(&mut self, now: Duration, from: MemberId, msg: wire::Datagram) -> Result<(), Refusal> {
        let listed = |member: MemberId| self.roster.binary_search(&member).is_ok();
        let member = msg.owner.member.unwrap_or(from);
        if !listed(from)
            || (member != self.me && !listed(member))
            || (msg.owner.member.is_none() && from == self.me)
        {
            return Err(Refusal::UnknownMember);
        }
        // A member does not relay its own rows.
        if msg.owner.member == Some(from) {
            return Err(Refusal::UnknownMember);
        }
        let mut rows = Vec::with_capacity(msg.rows.len());
        for (key, sums) in msg.rows {
            if !self.settings.allows(key.draft) {
                return Err(Refusal::Draft);
            }
            sums.check(key.draft, &self.settings)?;
            rows.push((key, sums));
        }
        // Workloads reported by others use at most half of the capacity, so that a member that invents workloads cannot keep this
        // one from counting its own.
        let half = self.settings.workloads.div_ceil(2);
        let mut numbers = Vec::with_capacity(msg.workloads.len());
        for workload in &msg.workloads {
            numbers.push(self.workload_number(workload, half).ok());
        }
        if numbers.iter().any(Option::is_none) {
            *self.refusals.entry(Refusal::Workloads).or_default() += 1;
        }
        let rows: Vec<(Key, Sums)> = rows
            .into_iter()
            .filter_map(|(key, sums)| Some((Key { workload: numbers[key.workload as usize]?, ..key }, sums)))
            .collect();
        let source =
            Source { reporter: from, member, incarnation: msg.owner.incarnation, clock: msg.owner.clock() };
        match self.store.merge_rows(now, &source, &rows, &self.settings)? {
            0 => Ok(()),
            _ => Err(Refusal::StoreFull),
        }
    }

    /// The time at which [`DraftLearner::handle_timers`] is due.
    pub fn next_timer_at(&self) -> Option<Duration> {
        Some(self.next_send.min(self.next_review))
    }

    /// Runs the timers that are due: sends rows to others, drops old rows, evaluates the evidence.
    pub fn handle_timers(&mut self, now: Duration, out: &mut Vec<Output>) {
        if now >= self.next_send {
            self.budget.refill(now, self.heard + 1, &self.settings);
            // Periods missed during a pause are skipped.
            self.next_send = now + self.settings.period;
            self.send_rows(now, out);
        }
        if now >= self.next_review {
            self.next_review = now + self.settings.review;
            self.expire(now);
            self.review(now, out);
        }
    }

    /// Drops rows outside the window, table changes older than an hour and workloads without rows.
    fn expire(&mut self, now: Duration) {
        let roster = &self.roster;
        self.store.expire(now, &self.settings, |name| roster.binary_search(&name).is_ok());
        while self.table_changes.front().is_some_and(|at| now.saturating_sub(*at) >= HOUR) {
            self.table_changes.pop_front();
        }
        let mut used = vec![false; self.workloads.len()];
        self.store.for_each(now, &self.settings, |item| used[item.key.workload as usize] = true);
        for (number, workload) in self.workloads.iter_mut().enumerate().filter(|(number, _)| !used[*number]) {
            if let Some(workload) = workload.take() {
                let number = number as u16;
                self.workload_numbers.remove(&workload);
                self.arms.retain(|(n, _), _| *n != number);
                self.evaluations.remove(&number);
                self.logged_outliers.retain(|(n, _)| *n != number);
            }
        }
    }

    /// Sends own rows to some members, and relays to one member the rows that another one reported itself.
    fn send_rows(&mut self, now: Duration, out: &mut Vec<Output>) {
        if self.roster.is_empty() {
            return;
        }
        let workloads = &self.workloads;
        let workload = |n: u16| workloads[n as usize].clone().expect("a number in use has a workload");
        let epoch = self.store.own.epoch(now, &self.settings);
        let millis = |d: Duration| d.as_millis().min(u128::from(u64::MAX)) as u64;
        for _ in 0..self.settings.fanout.min(self.roster.len()) {
            self.next_receiver += 1;
            let to = self.roster[self.next_receiver % self.roster.len()];
            // New rows first, which still grow. Old rows are repeated in turn, because datagrams may have been lost.
            let rows = self.store.own.rows.iter().filter(|(key, _)| epoch - key.epoch < self.settings.window);
            let (new, old): (Vec<_>, Vec<_>) = rows.partition(|(key, _)| key.epoch + 1 >= epoch);
            if new.is_empty() && old.is_empty() {
                break;
            }
            let [new_cursor, old_cursor, _] = &mut self.cursors;
            let owner = RowsOwner {
                member: None,
                incarnation: self.incarnation,
                clock_ms: millis(self.store.own.clock(now)),
            };
            let rotated = |of: &[_], at: usize| {
                of.iter().cycle().skip(at % of.len().max(1)).take(of.len()).copied().collect()
            };
            let (new, old): (Vec<_>, Vec<_>) = (rotated(&new, *new_cursor), rotated(&old, *old_cursor));
            // Two new rows for each old row, so that neither kind delays the other.
            let mut mixed = Vec::with_capacity(new.len() + old.len());
            let (mut n, mut o) = (new.iter(), old.iter());
            loop {
                let before = mixed.len();
                mixed.extend(n.by_ref().take(2).map(|r| (*r, true)));
                mixed.extend(o.by_ref().take(1).map(|r| (*r, false)));
                if mixed.len() == before {
                    break;
                }
            }
            let (data, taken) = wire::write(owner, mixed.iter().map(|(r, _)| *r), workload);
            let new_taken = mixed[..taken].iter().filter(|(_, new)| *new).count();
            *new_cursor = new_cursor.wrapping_add(new_taken);
            *old_cursor = old_cursor.wrapping_add(taken - new_taken);
            out.push(Output::Send { to, data });
        }
        // Relays only rows that their member reported itself, also those of members that are gone.
        let sources = self.store.others.iter().flat_map(|(m, all)| all.iter().map(move |e| (*m, e)));
        let sources: Vec<_> = sources.filter_map(|(m, e)| Some((m, e.id, e.direct.as_ref()?))).collect();
        let sources: Vec<_> = sources.into_iter().filter(|(.., r)| !r.rows.is_empty()).collect();
        if sources.is_empty() {
            return;
        }
        let (member, incarnation, record) = sources[self.next_relay % sources.len()];
        let to = self.roster[(self.next_relay / sources.len()) % self.roster.len()];
        self.next_relay = (self.next_relay + 1) % (1 << 40);
        let epoch = record.epoch(now, &self.settings);
        let rows = record.rows.iter().filter(|(k, _)| epoch.saturating_sub(k.epoch) < self.settings.window);
        let rows: Vec<_> = rows.collect();
        let owner = RowsOwner { member: Some(member), incarnation, clock_ms: millis(record.clock(now)) };
        let start = self.cursors[2] % rows.len().max(1);
        let (data, taken) = wire::write(owner, rows[start..].iter().chain(&rows[..start]).copied(), workload);
        self.cursors[2] = self.cursors[2].wrapping_add(taken.min(7));
        if to != member && taken > 0 {
            out.push(Output::Send { to, data });
        }
    }

    /// Evaluates the rows of all workloads, with `table` as the table in force.
    fn evaluate_all(&self, now: Duration, table: &DraftTable) -> BTreeMap<u16, (Vec<MemberId>, Evaluation)> {
        let mut rows: BTreeMap<u16, (Vec<MemberId>, Vec<Row>)> = BTreeMap::new();
        self.store.for_each(now, &self.settings, |item| {
            let (reporters, rows) = rows.entry(item.key.workload).or_default();
            let reporter = reporters.iter().position(|r| *r == item.reporter).unwrap_or(reporters.len());
            if reporter == reporters.len() {
                reporters.push(item.reporter);
            }
            let (sums, mut accepted) = (item.sums, [0.0; 8]);
            accepted.iter_mut().zip(sums.accepted).for_each(|(to, from)| *to = from as f64);
            rows.push(Row {
                reporter,
                age: item.age,
                draft: item.key.draft,
                band: item.key.band,
                calls: sums.calls as f64,
                rounds: sums.rounds as f64,
                micros: sums.micros as f64,
                squares: sums.squares as f64,
                accepted,
            });
        });
        let evaluated = rows.into_iter().filter_map(|(number, (reporters, mut rows))| {
            let workload = self.workloads[number as usize].as_ref()?;
            // The same order at every member; otherwise floating-point sums would differ in the last digits.
            let mut order: Vec<usize> = (0..reporters.len()).collect();
            order.sort_by_key(|i| reporters[*i]);
            let mut rank = vec![0; order.len()];
            order.iter().enumerate().for_each(|(to, from)| rank[*from] = to);
            rows.iter_mut().for_each(|r| r.reporter = rank[r.reporter]);
            rows.sort_by(|a, b| {
                let key = |r: &Row| (r.reporter, r.age, r.draft, r.band);
                key(a).cmp(&key(b)).then(a.micros.total_cmp(&b.micros))
            });
            let reporters: Vec<MemberId> = order.iter().map(|i| reporters[*i]).collect();
            let alone = self.heard == 0 && self.roster.is_empty();
            let in_force = |band| self.in_force(workload, band, table);
            let evaluation = evaluate::evaluate(&rows, reporters.len(), alone, in_force, &self.settings);
            Some((number, (reporters, evaluation)))
        });
        evaluated.collect()
    }

    /// Updates the evaluations and the exploration arms, and logs new outliers.
    fn review(&mut self, now: Duration, out: &mut Vec<Output>) {
        self.evaluations = self.evaluate_all(now, &self.table);
        for (number, (reporters, result)) in &self.evaluations {
            for ((_, band), arms) in self.arms.range_mut((*number, 0)..=(*number, LOAD_BANDS)) {
                *arms = Arms::of(result.bands.get(*band as usize), &self.settings);
            }
            for outlier in &result.outliers {
                let id = reporters[outlier.reporter];
                if self.logged_outliers.insert((*number, id)) {
                    let name = self.workloads[*number as usize].as_ref().map_or("?", Workload::as_str);
                    let why = &outlier.why;
                    out.push(Output::Log(format!("drafts of {name}: member {} is left out: {why}", id.0)));
                }
            }
            let out_now: BTreeSet<MemberId> = result.outliers.iter().map(|o| reporters[o.reporter]).collect();
            self.logged_outliers.retain(|(n, member)| n != number || out_now.contains(member));
        }
    }

    /// The number of tables within the last hour. For the part of the hour before this incarnation it assumes the maximum rate.
    fn recent_versions(&self, now: Duration) -> usize {
        let limit = self.settings.versions_hour as usize;
        let seen = self.table_changes.iter().filter(|at| now.saturating_sub(**at) < HOUR).count();
        let uptime = now.saturating_sub(self.started_at).as_secs_f64() / HOUR.as_secs_f64();
        let before = (limit as f64 * (1.0 - uptime).max(0.0)).ceil() as usize;
        seen + before
    }

    /// Proposes a table, if one is better than the table in force by more than chance and the hysteresis, not by the counts of a
    /// single member alone, and the hourly limit of versions allows it. Members with the same evidence propose the same table.
    pub fn propose(&mut self, now: Duration, in_force: &DraftTable, version: u64) -> Option<DraftTable> {
        if self.recent_versions(now) >= self.settings.versions_hour as usize {
            return None;
        }
        if self.proposal_checked_at.is_some_and(|at| now.saturating_sub(at) < self.settings.review) {
            return None;
        }
        self.proposal_checked_at = Some(now);
        if version < self.version {
            return None;
        }
        let mut table = in_force.clone();
        for (number, (_, evaluation)) in self.evaluate_all(now, in_force) {
            let Some(workload) = &self.workloads[number as usize] else { continue };
            for (band, evaluation) in evaluation.bands.iter().enumerate() {
                if let Some(better) = evaluation.better {
                    table.insert((workload.clone(), band as u8), better);
                }
            }
        }
        (table != *in_force).then_some(table)
    }

    /// The state of the learner for operators.
    pub fn view(&self, now: Duration) -> View {
        let mut members: BTreeMap<MemberId, MemberView> = BTreeMap::new();
        let mut versions: BTreeMap<(u16, u64), (u64, u64)> = BTreeMap::new();
        self.store.for_each(now, &self.settings, |item| {
            let sum = versions.entry((item.key.workload, item.key.version)).or_default();
            (sum.0, sum.1) = (sum.0.saturating_add(item.sums.tokens), sum.1.saturating_add(item.sums.micros));
        });
        let own: u64 = self.store.own.rows.values().map(|s| s.rounds).fold(0, u64::saturating_add);
        members.insert(self.me, MemberView { member: self.me.0, lives: 1, rounds: own, hearsay: 0 });
        for (member, entries) in &self.store.others {
            let view = members
                .entry(*member)
                .or_insert_with(|| MemberView { member: member.0, ..MemberView::default() });
            for entry in entries {
                let sum =
                    |r: &crate::store::Record| r.rows.values().map(|s| s.rounds).fold(0, u64::saturating_add);
                view.lives += 1;
                view.rounds = view.rounds.saturating_add(entry.direct.as_ref().map_or(0, sum));
                view.hearsay = view.hearsay.saturating_add(entry.relayed.as_ref().map_or(0, |(_, r)| sum(r)));
            }
        }
        let mut workloads = BTreeMap::new();
        for (number, (reporters, result)) in &self.evaluations {
            let Some(workload) = &self.workloads[*number as usize] else { continue };
            let bands = result.bands.iter().enumerate().map(|(band, b)| BandView {
                in_force: self.in_force(workload, band as u8, &self.table).to_string(),
                in_force_tokens: b.in_force_value,
                best: b.best.map(|(d, _)| d.to_string()),
                best_tokens: b.best.map(|(_, value)| value),
                lead: b.lead,
                lead_at_least: b.min_lead,
                why: b.why.into(),
            });
            let shown = versions.range((*number, 0)..=(*number, u64::MAX)).rev().take(MAX_SHOWN_VERSIONS);
            let view = WorkloadView {
                rounds: result.rounds as u64,
                members: result.reporters,
                left_out: result.outliers.iter().map(|o| (reporters[o.reporter].0, o.why.clone())).collect(),
                epochs: result.stable_epochs.clone(),
                acceptance: result.acceptance.clone(),
                bands: bands.collect(),
                versions: shown
                    .map(|((_, version), (tokens, micros))| {
                        (*version, 1e6 * *tokens as f64 / (*micros).max(1) as f64)
                    })
                    .collect(),
            };
            workloads.insert(workload.to_string(), view);
        }
        View {
            version: self.version,
            versions_in_the_hour: self.recent_versions(now),
            bound_ms: self.settings.max_evidence_age().as_millis() as u64,
            rows: self.store.total(),
            refused: self.refusals.iter().map(|(reason, n)| (reason.to_string(), *n)).collect(),
            members: members.into_values().collect(),
            workloads,
        }
    }
}

#[cfg(test)]
mod tests;
