//! The part as a whole: counts, tellings, looks at the evidence, and what follows from them.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use crate::evaluate::{self, Verdict};
use crate::explore::{Arms, ExplorationBudget};
use crate::settings::{Settings, SettingsError};
use crate::store::{sums_of, Key, Source, Store, Sums};
use crate::tally::Row;
use crate::types::{CallStats, Draft, DraftTable, MemberId, Rejection, Workload, LOAD_BANDS};
use crate::view::{BandView, MemberView, View, WorkloadView};
use crate::wire::{self, Whose};

const HOUR: Duration = Duration::from_secs(3_600);
/// Versions of the table whose tokens a second are shown of a workload.
const SHOWN_VERSIONS: usize = 8;

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// One datagram of at most [`crate::MAX_DATAGRAM_BYTES`], which may be lost, doubled, late or reordered.
    Send {
        /// To this member's like part.
        to: MemberId,
        /// The bytes.
        data: Vec<u8>,
    },
    /// One line for the log.
    Log(String),
}

/// See the crate's page.
#[derive(Clone, Debug)]
pub struct DraftLearner {
    settings: Settings,
    me: MemberId,
    life: u64,
    store: Store,
    /// Workloads by their number; one that nobody counts any more makes room.
    words: Vec<Option<Workload>>,
    numbers: BTreeMap<Workload, u16>,
    roster: Vec<MemberId>,
    /// Others that are heard.
    heard: usize,
    version: u64,
    table: DraftTable,
    /// When tables came into force, of the last hour.
    changes: VecDeque<Duration>,
    born: Duration,
    proposed: Option<Duration>,
    arms: BTreeMap<(u16, u8), Arms>,
    verdicts: BTreeMap<u16, (Vec<MemberId>, Verdict)>,
    purse: ExplorationBudget,
    tell_at: Duration,
    review_at: Duration,
    /// Whom to tell next, of whom, and from which rows on: new ones, old ones, hearsay.
    turn: usize,
    about: usize,
    cursors: [usize; 3],
    refused: BTreeMap<Rejection, u64>,
    said: BTreeSet<(u16, MemberId)>,
}

impl DraftLearner {
    /// Begins a life of this member. `life` tells it from all its others; `seed` only spreads tellings over the members.
    ///
    /// # Errors
    /// Settings out of their bounds.
    pub fn new(
        settings: Settings,
        me: MemberId,
        life: u64,
        seed: u64,
        now: Duration,
    ) -> Result<Self, SettingsError> {
        settings.check()?;
        let mut rng = fastrand::Rng::with_seed(seed);
        let first = settings.period.mul_f64(rng.f64());
        let (store, purse) = (Store::new(me, life, now), ExplorationBudget::new(now));
        Ok(Self {
            me,
            life,
            store,
            words: Vec::new(),
            numbers: BTreeMap::new(),
            roster: Vec::new(),
            heard: 0,
            version: 0,
            table: DraftTable::new(),
            changes: VecDeque::new(),
            born: now,
            proposed: None,
            arms: BTreeMap::new(),
            verdicts: BTreeMap::new(),
            purse,
            tell_at: now + first,
            review_at: now + settings.review,
            turn: rng.usize(..1 << 16),
            about: rng.usize(..1 << 16),
            cursors: [0; 3],
            refused: BTreeMap::new(),
            said: BTreeSet::new(),
            settings,
        })
    }

    /// Who the others are, and how many of them are heard. Rows of who is not among them are dropped at the next look.
    pub fn set_members(&mut self, others: impl IntoIterator<Item = MemberId>, heard: usize) {
        self.roster = others.into_iter().filter(|n| *n != self.me).collect();
        self.roster.sort();
        self.roster.dedup();
        self.heard = heard.min(self.roster.len());
    }

    /// The table that is in force from now on.
    pub fn set_table(&mut self, now: Duration, version: u64, table: DraftTable) {
        self.version = version;
        if table != self.table {
            self.table = table;
            self.changes.push_back(now);
            // One more than the bound cannot be told from the bound.
            if self.changes.len() > self.settings.versions_hour as usize {
                self.changes.pop_front();
            }
        }
    }

    /// What it goes by.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// The version in force, and its table.
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

    /// What a call of this workload runs: what is in force, or now and then something to learn from. `lot` is uniform in [0, 1).
    pub fn choose(&mut self, workload: &Workload, band: u8, table: &DraftTable, lot: f64) -> Draft {
        let draft = self.in_force(workload, band, table);
        let Some(number) = self.numbers.get(workload) else { return draft };
        let tried = self.arms.get(&(*number, band)).and_then(|a| a.draw(draft, lot, &self.settings));
        tried.filter(|_| self.purse.take()).unwrap_or(draft)
    }

    /// Counts what a call ran.
    ///
    /// # Errors
    /// Figures that cannot be, or no room; nothing is counted then.
    pub fn record_call(&mut self, now: Duration, ran: &CallStats) -> Result<(), Rejection> {
        let counted = self.count(now, ran);
        if let Err(why) = counted {
            *self.refused.entry(why).or_default() += 1;
        }
        counted
    }

    fn count(&mut self, now: Duration, ran: &CallStats) -> Result<(), Rejection> {
        let sums = sums_of(ran, &self.settings)?;
        let workload = self.number(&ran.workload, self.settings.workloads)?;
        let epoch = self.store.own.epoch(now, &self.settings);
        let key = Key { epoch, workload, draft: ran.draft, band: ran.band, version: ran.version };
        self.store.count(key, &sums, &self.settings)?;
        if !self.arms.contains_key(&(workload, ran.band)) {
            self.arms.insert((workload, ran.band), Arms::of(None, &self.settings));
        }
        Ok(())
    }

    /// A workload's number; a new one if there are fewer than `most`.
    fn number(&mut self, word: &Workload, most: usize) -> Result<u16, Rejection> {
        if let Some(number) = self.numbers.get(word) {
            return Ok(*number);
        }
        if self.numbers.len() >= most {
            return Err(Rejection::Workloads);
        }
        let free = self.words.iter().position(Option::is_none).unwrap_or(self.words.len());
        if free == self.words.len() {
            self.words.push(None);
        }
        self.words[free] = Some(word.clone());
        self.numbers.insert(word.clone(), free as u16);
        Ok(free as u16)
    }

    /// Takes up a datagram of another member. What cannot be is refused, and counted by its reason.
    pub fn receive(&mut self, now: Duration, from: MemberId, data: &[u8], _out: &mut Vec<Output>) {
        let taken = wire::read(data).and_then(|heard| self.take(now, from, heard));
        if let Err(why) = taken {
            *self.refused.entry(why).or_default() += 1;
        }
    }

    fn take(&mut self, now: Duration, from: MemberId, heard: wire::Heard) -> Result<(), Rejection> {
        let on = |name: MemberId| self.roster.binary_search(&name).is_ok();
        let name = heard.whose.about.unwrap_or(from);
        if !on(from) || (name != self.me && !on(name)) || (heard.whose.about.is_none() && from == self.me) {
            return Err(Rejection::UnknownMember);
        }
        // A teller's own rows are never hearsay, and never somebody else's.
        if heard.whose.about == Some(from) {
            return Err(Rejection::UnknownMember);
        }
        let mut rows = Vec::with_capacity(heard.rows.len());
        for (key, sums) in heard.rows {
            if !self.settings.allows(key.draft) {
                return Err(Rejection::Draft);
            }
            sums.check(key.draft, &self.settings)?;
            rows.push((key, sums));
        }
        // Words of others fill half of the room at the most: who makes words up does not keep this one from counting its own.
        let half = self.settings.workloads.div_ceil(2);
        let mut numbers = Vec::with_capacity(heard.words.len());
        for word in &heard.words {
            numbers.push(self.number(word, half).ok());
        }
        if numbers.iter().any(Option::is_none) {
            *self.refused.entry(Rejection::Workloads).or_default() += 1;
        }
        let rows: Vec<(Key, Sums)> = rows
            .into_iter()
            .filter_map(|(key, sums)| Some((Key { workload: numbers[key.workload as usize]?, ..key }, sums)))
            .collect();
        let source = Source { teller: from, name, life: heard.whose.life, clock: heard.whose.clock() };
        match self.store.hear(now, &source, &rows, &self.settings)? {
            0 => Ok(()),
            _ => Err(Rejection::StoreFull),
        }
    }

    /// When something is due.
    pub fn wake_at(&self) -> Option<Duration> {
        Some(self.tell_at.min(self.review_at))
    }

    /// Does what is due: tells others, forgets, looks at the evidence.
    pub fn wake(&mut self, now: Duration, out: &mut Vec<Output>) {
        if now >= self.tell_at {
            self.purse.fill(now, self.heard + 1, &self.settings);
            // After a pause nothing is made up for.
            self.tell_at = now + self.settings.period;
            self.tell(now, out);
        }
        if now >= self.review_at {
            self.review_at = now + self.settings.review;
            self.forget(now);
            self.review(now, out);
        }
    }

    fn forget(&mut self, now: Duration) {
        let roster = &self.roster;
        self.store.forget(now, &self.settings, |name| roster.binary_search(&name).is_ok());
        while self.changes.front().is_some_and(|at| now.saturating_sub(*at) >= HOUR) {
            self.changes.pop_front();
        }
        let mut used = vec![false; self.words.len()];
        self.store.items(now, &self.settings, |item| used[item.key.workload as usize] = true);
        for (number, word) in self.words.iter_mut().enumerate().filter(|(number, _)| !used[*number]) {
            if let Some(word) = word.take() {
                let number = number as u16;
                self.numbers.remove(&word);
                self.arms.retain(|(n, _), _| *n != number);
                self.verdicts.remove(&number);
                self.said.retain(|(n, _)| *n != number);
            }
        }
    }

    /// Tells some others of one's own rows, and one of somebody else's as heard from that one itself.
    fn tell(&mut self, now: Duration, out: &mut Vec<Output>) {
        if self.roster.is_empty() {
            return;
        }
        let words = &self.words;
        let word = |n: u16| words[n as usize].clone().expect("a number in use has its word");
        let epoch = self.store.own.epoch(now, &self.settings);
        let millis = |d: Duration| d.as_millis().min(u128::from(u64::MAX)) as u64;
        for _ in 0..self.settings.fanout.min(self.roster.len()) {
            self.turn += 1;
            let to = self.roster[self.turn % self.roster.len()];
            // New rows first, which still grow; then old ones, in turn, as any datagram may have been lost.
            let rows = self.store.own.rows.iter().filter(|(key, _)| epoch - key.epoch < self.settings.window);
            let (new, old): (Vec<_>, Vec<_>) = rows.partition(|(key, _)| key.epoch + 1 >= epoch);
            if new.is_empty() && old.is_empty() {
                break;
            }
            let [first, second, _] = &mut self.cursors;
            let whose = Whose { about: None, life: self.life, clock: millis(self.store.own.clock(now)) };
            let rotated = |of: &[_], at: usize| {
                of.iter().cycle().skip(at % of.len().max(1)).take(of.len()).copied().collect()
            };
            let (new, old): (Vec<_>, Vec<_>) = (rotated(&new, *first), rotated(&old, *second));
            // Two new ones for each old one, so that neither waits for the other.
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
            let (data, taken) = wire::write(whose, mixed.iter().map(|(r, _)| *r), word);
            let fresh = mixed[..taken].iter().filter(|(_, new)| *new).count();
            *first = first.wrapping_add(fresh);
            *second = second.wrapping_add(taken - fresh);
            out.push(Output::Send { to, data });
        }
        // What others told of themselves, the dead among them; what they told of others stays here.
        let lives = self.store.others.iter().flat_map(|(name, lives)| lives.iter().map(move |l| (*name, l)));
        let lives: Vec<_> = lives.filter_map(|(name, l)| Some((name, l.id, l.direct.as_ref()?))).collect();
        let lives: Vec<_> = lives.into_iter().filter(|(.., r)| !r.rows.is_empty()).collect();
        if lives.is_empty() {
            return;
        }
        let (name, life, record) = lives[self.about % lives.len()];
        let to = self.roster[(self.about / lives.len()) % self.roster.len()];
        self.about = (self.about + 1) % (1 << 40);
        let epoch = record.epoch(now, &self.settings);
        let rows =
            record.rows.iter().filter(|(key, _)| epoch.saturating_sub(key.epoch) < self.settings.window);
        let rows: Vec<_> = rows.collect();
        let whose = Whose { about: Some(name), life, clock: millis(record.clock(now)) };
        let start = self.cursors[2] % rows.len().max(1);
        let (data, taken) = wire::write(whose, rows[start..].iter().chain(&rows[..start]).copied(), word);
        self.cursors[2] = self.cursors[2].wrapping_add(taken.min(7));
        if to != name && taken > 0 {
            out.push(Output::Send { to, data });
        }
    }

    fn look(&self, now: Duration, table: &DraftTable) -> BTreeMap<u16, (Vec<MemberId>, Verdict)> {
        let mut rows: BTreeMap<u16, (Vec<MemberId>, Vec<Row>)> = BTreeMap::new();
        self.store.items(now, &self.settings, |item| {
            let (tellers, rows) = rows.entry(item.key.workload).or_default();
            let teller = tellers.iter().position(|t| *t == item.teller).unwrap_or(tellers.len());
            if teller == tellers.len() {
                tellers.push(item.teller);
            }
            let (sums, mut accepted) = (item.sums, [0.0; 8]);
            accepted.iter_mut().zip(sums.accepted).for_each(|(to, from)| *to = from as f64);
            rows.push(Row {
                teller,
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
        let judged = rows.into_iter().filter_map(|(number, (tellers, mut rows))| {
            let word = self.words[number as usize].as_ref()?;
            // The same order at every member, or sums of fractions would differ in their last digits.
            let mut order: Vec<usize> = (0..tellers.len()).collect();
            order.sort_by_key(|t| tellers[*t]);
            let mut rank = vec![0; order.len()];
            order.iter().enumerate().for_each(|(to, from)| rank[*from] = to);
            rows.iter_mut().for_each(|r| r.teller = rank[r.teller]);
            rows.sort_by(|a, b| {
                let key = |r: &Row| (r.teller, r.age, r.draft, r.band);
                key(a).cmp(&key(b)).then(a.micros.total_cmp(&b.micros))
            });
            let tellers: Vec<MemberId> = order.iter().map(|t| tellers[*t]).collect();
            let alone = self.heard == 0 && self.roster.is_empty();
            let in_force = |band| self.in_force(word, band, table);
            let verdict = evaluate::evaluate(&rows, tellers.len(), alone, in_force, &self.settings);
            Some((number, (tellers, verdict)))
        });
        judged.collect()
    }

    fn review(&mut self, now: Duration, out: &mut Vec<Output>) {
        self.verdicts = self.look(now, &self.table);
        for (number, (tellers, verdict)) in &self.verdicts {
            for ((_, band), arms) in self.arms.range_mut((*number, 0)..=(*number, LOAD_BANDS)) {
                *arms = Arms::of(verdict.bands.get(*band as usize), &self.settings);
            }
            for outlier in &verdict.outliers {
                let name = tellers[outlier.teller];
                if self.said.insert((*number, name)) {
                    let word = self.words[*number as usize].as_ref().map_or("?", Workload::as_str);
                    let why = &outlier.why;
                    out.push(Output::Log(format!("drafts of {word}: member {} is left out: {why}", name.0)));
                }
            }
            let out_now: BTreeSet<MemberId> = verdict.outliers.iter().map(|o| tellers[o.teller]).collect();
            self.said.retain(|(n, name)| n != number || out_now.contains(name));
        }
    }

    /// Tables of the last hour as they bound the next one. Of the time before this life it takes the most that may have been.
    fn recent(&self, now: Duration) -> usize {
        let most = self.settings.versions_hour as usize;
        let seen = self.changes.iter().filter(|at| now.saturating_sub(**at) < HOUR).count();
        let lived = now.saturating_sub(self.born).as_secs_f64() / HOUR.as_secs_f64();
        let before = (most as f64 * (1.0 - lived).max(0.0)).ceil() as usize;
        seen + before
    }

    /// The table that should be in force, where it is better than this one by more than chance and the hysteresis, no one member's
    /// counts alone say so, and there is room for another version within the hour. The same at any member of the same evidence.
    pub fn propose(&mut self, now: Duration, in_force: &DraftTable, version: u64) -> Option<DraftTable> {
        if self.recent(now) >= self.settings.versions_hour as usize {
            return None;
        }
        if self.proposed.is_some_and(|at| now.saturating_sub(at) < self.settings.review) {
            return None;
        }
        self.proposed = Some(now);
        if version < self.version {
            return None;
        }
        let mut table = in_force.clone();
        for (number, (_, verdict)) in self.look(now, in_force) {
            let Some(word) = &self.words[number as usize] else { continue };
            for (band, verdict) in verdict.bands.iter().enumerate() {
                if let Some(better) = verdict.better {
                    table.insert((word.clone(), band as u8), better);
                }
            }
        }
        (table != *in_force).then_some(table)
    }

    /// What is believed, and why.
    pub fn view(&self, now: Duration) -> View {
        let mut members: BTreeMap<MemberId, MemberView> = BTreeMap::new();
        let mut versions: BTreeMap<(u16, u64), (u64, u64)> = BTreeMap::new();
        self.store.items(now, &self.settings, |item| {
            let sum = versions.entry((item.key.workload, item.key.version)).or_default();
            (sum.0, sum.1) = (sum.0.saturating_add(item.sums.tokens), sum.1.saturating_add(item.sums.micros));
        });
        let own: u64 = self.store.own.rows.values().map(|s| s.rounds).fold(0, u64::saturating_add);
        members.insert(self.me, MemberView { member: self.me.0, lives: 1, rounds: own, hearsay: 0 });
        for (name, lives) in &self.store.others {
            let view = members
                .entry(*name)
                .or_insert_with(|| MemberView { member: name.0, ..MemberView::default() });
            for life in lives {
                let sum =
                    |r: &crate::store::Record| r.rows.values().map(|s| s.rounds).fold(0, u64::saturating_add);
                view.lives += 1;
                view.rounds = view.rounds.saturating_add(life.direct.as_ref().map_or(0, sum));
                view.hearsay = view.hearsay.saturating_add(life.told.as_ref().map_or(0, |(_, r)| sum(r)));
            }
        }
        let mut workloads = BTreeMap::new();
        for (number, (tellers, verdict)) in &self.verdicts {
            let Some(word) = &self.words[*number as usize] else { continue };
            let bands = verdict.bands.iter().enumerate().map(|(band, b)| BandView {
                in_force: self.in_force(word, band as u8, &self.table).to_string(),
                in_force_tokens: b.now,
                best: b.best.map(|(d, _)| d.to_string()),
                best_tokens: b.best.map(|(_, value)| value),
                lead: b.lead,
                lead_at_least: b.lead_low,
                why: b.why.into(),
            });
            let shown = versions.range((*number, 0)..=(*number, u64::MAX)).rev().take(SHOWN_VERSIONS);
            let view = WorkloadView {
                rounds: verdict.rounds as u64,
                members: verdict.tellers,
                left_out: verdict.outliers.iter().map(|o| (tellers[o.teller].0, o.why.clone())).collect(),
                epochs: verdict.since.clone(),
                acceptance: verdict.rates.clone(),
                bands: bands.collect(),
                versions: shown
                    .map(|((_, version), (tokens, micros))| {
                        (*version, 1e6 * *tokens as f64 / (*micros).max(1) as f64)
                    })
                    .collect(),
            };
            workloads.insert(word.to_string(), view);
        }
        View {
            version: self.version,
            versions_in_the_hour: self.recent(now),
            bound_ms: self.settings.max_evidence_age().as_millis() as u64,
            rows: self.store.held(),
            refused: self.refused.iter().map(|(why, n)| (why.to_string(), *n)).collect(),
            members: members.into_values().collect(),
            workloads,
        }
    }
}

#[cfg(test)]
mod tests;
