//! What every member counted: rows of sums that only grow, per member and life, by epochs of that life's own clock.
//!
//! A row is merged by taking the larger of each figure, so that a datagram that comes twice, late or out of order adds nothing. What
//! a member says of itself stands apart from what another says of it: hearsay is never told on, and weighs with its teller.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::settings::Settings;
use crate::types::{Draft, MemberId, Rejection, LOAD_BANDS, MAX_DRAFT_TOKENS};

/// What a row counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Key {
    /// Of its member's life.
    pub epoch: u32,
    pub workload: u16,
    pub draft: Draft,
    pub band: u8,
    /// The table under which it ran.
    pub version: u64,
}

impl Key {
    fn first(epoch: u32) -> Self {
        Self { epoch, workload: 0, draft: Draft::OFF, band: 0, version: 0 }
    }
}

/// The sums of a row. Each only grows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Sums {
    pub calls: u64,
    pub rounds: u64,
    pub tokens: u64,
    /// Time of work, microseconds.
    pub micros: u64,
    /// Squares of each call's microseconds a round.
    pub squares: u64,
    /// By position.
    pub accepted: [u64; MAX_DRAFT_TOKENS as usize],
}

impl Sums {
    pub(crate) fn add(&mut self, more: &Sums) {
        self.join(more, u64::saturating_add);
    }

    /// The larger of each.
    pub(crate) fn merge(&mut self, other: &Sums) {
        self.join(other, std::cmp::Ord::max);
    }

    fn join(&mut self, other: &Sums, one: fn(u64, u64) -> u64) {
        self.calls = one(self.calls, other.calls);
        self.rounds = one(self.rounds, other.rounds);
        self.tokens = one(self.tokens, other.tokens);
        self.micros = one(self.micros, other.micros);
        self.squares = one(self.squares, other.squares);
        for (a, b) in self.accepted.iter_mut().zip(other.accepted) {
            *a = one(*a, b);
        }
    }

    /// Whether such figures can be.
    pub(crate) fn check(&self, draft: Draft, settings: &Settings) -> Result<(), Rejection> {
        if self.calls == 0 || self.rounds < self.calls {
            return Err(Rejection::Rounds);
        }
        let (drafted, beyond) = self.accepted.split_at(draft.length as usize);
        if beyond.iter().any(|k| *k > 0) {
            return Err(Rejection::Positions);
        }
        let mut before = self.rounds;
        for k in drafted {
            if *k > std::mem::replace(&mut before, *k) {
                return Err(Rejection::Accepted);
            }
        }
        let most = drafted.iter().fold(self.rounds, |sum, k| sum.saturating_add(*k));
        if self.tokens > most {
            return Err(Rejection::Tokens);
        }
        let longest = settings.longest_round.as_micros() as u64;
        if self.micros == 0
            || self.micros > self.rounds.saturating_mul(longest)
            || self.squares > self.calls.saturating_mul(longest.saturating_mul(longest))
        {
            return Err(Rejection::Time);
        }
        Ok(())
    }
}

/// The rows of one life, as one teller has them, and what its clock reads.
#[derive(Clone, Debug, Default)]
pub(crate) struct Record {
    clock: Duration,
    /// When that was, by the clock here.
    at: Duration,
    pub rows: BTreeMap<Key, Sums>,
}

impl Record {
    pub(crate) fn new(clock: Duration, at: Duration) -> Self {
        Self { clock, at, rows: BTreeMap::new() }
    }

    pub(crate) fn clock(&self, now: Duration) -> Duration {
        self.clock.saturating_add(now.saturating_sub(self.at))
    }

    pub(crate) fn epoch(&self, now: Duration, settings: &Settings) -> u32 {
        let epochs = self.clock(now).as_millis() / settings.epoch.as_millis().max(1);
        epochs.min(u128::from(u32::MAX)) as u32
    }

    /// Its clock reads at least this: it never goes back, and what came late is no younger for it.
    fn hear(&mut self, now: Duration, clock: Duration) {
        (self.clock, self.at) = (self.clock(now).max(clock), now);
    }

    fn forget(&mut self, now: Duration, settings: &Settings) {
        let oldest = (self.epoch(now, settings) + 1).saturating_sub(settings.window);
        if self.rows.first_key_value().is_some_and(|(key, _)| key.epoch < oldest) {
            self.rows = self.rows.split_off(&Key::first(oldest));
        }
    }
}

/// A life of another member, or an older one of this.
#[derive(Clone, Debug)]
pub(crate) struct Life {
    pub id: u64,
    /// As it says itself.
    pub direct: Option<Record>,
    /// As another says.
    pub told: Option<(MemberId, Record)>,
    touched: Duration,
}

/// One row as it counts: with whom it weighs, and how many epochs ago it was.
pub(crate) struct Item<'a> {
    pub teller: MemberId,
    pub age: u32,
    pub key: &'a Key,
    pub sums: &'a Sums,
}

/// Everything that is held.
#[derive(Clone, Debug)]
pub(crate) struct Store {
    me: MemberId,
    life: u64,
    pub own: Record,
    pub others: BTreeMap<MemberId, Vec<Life>>,
    held: usize,
}

/// Who says it, of whom, and what that one's clock reads.
pub(crate) struct Source {
    pub teller: MemberId,
    pub name: MemberId,
    pub life: u64,
    pub clock: Duration,
}

impl Store {
    pub(crate) fn new(me: MemberId, life: u64, now: Duration) -> Self {
        Self { me, life, own: Record::new(Duration::ZERO, now), others: BTreeMap::new(), held: 0 }
    }

    /// Rows of all.
    pub(crate) fn held(&self) -> usize {
        self.held
    }

    /// Adds to a row of one's own.
    pub(crate) fn count(&mut self, key: Key, more: &Sums, settings: &Settings) -> Result<(), Rejection> {
        if !self.own.rows.contains_key(&key) {
            if self.own.rows.len() >= settings.rows || self.held >= settings.rows_in_all {
                return Err(Rejection::StoreFull);
            }
            self.held += 1;
        }
        self.own.rows.entry(key).or_default().add(more);
        Ok(())
    }

    /// The record that a source speaks of, and who else's rows must make room for it: nobody's but those of its own member.
    fn record(
        &mut self,
        now: Duration,
        from: &Source,
        settings: &Settings,
    ) -> Result<&mut Record, Rejection> {
        if from.name == self.me && from.life == self.life {
            return Err(Rejection::UnknownMember);
        }
        let direct = from.teller == from.name;
        let lives = self.others.entry(from.name).or_default();
        let at = match lives.iter().position(|l| l.id == from.life) {
            Some(at) => at,
            None => {
                if lives.len() >= settings.lives {
                    // Hearsay makes room first, and never takes it from what was heard.
                    let first = lives.iter().enumerate().min_by_key(|(_, l)| (l.direct.is_some(), l.touched));
                    let (at, gone) =
                        first.map(|(at, l)| (at, l.direct.is_some())).ok_or(Rejection::StoreFull)?;
                    if gone && !direct {
                        return Err(Rejection::StoreFull);
                    }
                    let life = lives.remove(at);
                    let records = life.direct.iter().chain(life.told.iter().map(|(_, r)| r));
                    self.held -= records.map(|r| r.rows.len()).sum::<usize>();
                }
                lives.push(Life { id: from.life, direct: None, told: None, touched: now });
                lives.len() - 1
            }
        };
        let life = &mut lives[at];
        life.touched = now;
        let fresh = || Record::new(from.clock, now);
        let record = if direct {
            life.direct.get_or_insert_with(fresh)
        } else {
            &mut life.told.get_or_insert_with(|| (from.teller, fresh())).1
        };
        record.hear(now, from.clock);
        Ok(record)
    }

    /// Takes up what a source says. Returns how many rows were not taken.
    pub(crate) fn hear(
        &mut self,
        now: Duration,
        from: &Source,
        rows: &[(Key, Sums)],
        settings: &Settings,
    ) -> Result<usize, Rejection> {
        let mut room = settings.rows_in_all.saturating_sub(self.held);
        let record = self.record(now, from, settings)?;
        let epoch = record.epoch(now, settings);
        let (mut taken, mut refused) = (0, 0);
        for (key, sums) in rows {
            if key.epoch > epoch || epoch - key.epoch >= settings.window {
                continue;
            }
            if let Some(held) = record.rows.get_mut(key) {
                held.merge(sums);
            } else if record.rows.len() < settings.rows && room > 0 {
                record.rows.insert(*key, *sums);
                (taken, room) = (taken + 1, room - 1);
            } else {
                refused += 1;
            }
        }
        self.held += taken;
        Ok(refused)
    }

    /// Drops what is too old to count, and who is not on the roster.
    pub(crate) fn forget(&mut self, now: Duration, settings: &Settings, on: impl Fn(MemberId) -> bool) {
        self.own.forget(now, settings);
        let long = settings.epoch * settings.window * 2;
        let me = self.me;
        self.others.retain(|name, lives| {
            for life in lives.iter_mut() {
                life.direct.iter_mut().for_each(|r| r.forget(now, settings));
                life.told.iter_mut().for_each(|(_, r)| r.forget(now, settings));
                if life.told.as_ref().is_some_and(|(teller, r)| r.rows.is_empty() || !on(*teller)) {
                    life.told = None;
                }
            }
            // The clock of a life outlasts its rows: a datagram that was long on its way is not taken for new.
            lives.retain(|l| now.saturating_sub(l.touched) < long);
            (*name == me || on(*name)) && !lives.is_empty()
        });
        let records = self.others.values().flatten();
        let records = records.flat_map(|l| l.direct.iter().chain(l.told.iter().map(|(_, r)| r)));
        self.held = self.own.rows.len() + records.map(|r| r.rows.len()).sum::<usize>();
    }

    /// All rows that count. Of a row that a member told itself, what others say is passed over.
    pub(crate) fn items(&self, now: Duration, settings: &Settings, mut each: impl FnMut(Item<'_>)) {
        let mut all = |teller: MemberId, record: &Record, but: Option<&Record>| {
            let epoch = record.epoch(now, settings);
            for (key, sums) in &record.rows {
                let age = epoch.saturating_sub(key.epoch);
                if age < settings.window && !but.is_some_and(|b| b.rows.contains_key(key)) {
                    each(Item { teller, age, key, sums });
                }
            }
        };
        all(self.me, &self.own, None);
        for (name, lives) in &self.others {
            for life in lives {
                if let Some(record) = &life.direct {
                    all(*name, record, None);
                }
                if let Some((teller, record)) = &life.told {
                    all(*teller, record, life.direct.as_ref());
                }
            }
        }
    }
}

/// The row of one call.
pub(crate) fn sums_of(ran: &crate::CallStats, settings: &Settings) -> Result<Sums, Rejection> {
    if ran.band >= LOAD_BANDS {
        return Err(Rejection::Band);
    }
    if !settings.allows(ran.draft) {
        return Err(Rejection::Draft);
    }
    if ran.accepted.len() != ran.draft.length as usize {
        return Err(Rejection::Positions);
    }
    let rounds = u64::from(ran.rounds);
    let micros = ran.time.as_micros().min(u128::from(u64::MAX)) as u64;
    let each = micros / rounds.max(1);
    let mut accepted = [0; MAX_DRAFT_TOKENS as usize];
    for (to, from) in accepted.iter_mut().zip(&ran.accepted) {
        *to = u64::from(*from);
    }
    let squares = each.saturating_mul(each);
    let sums = Sums { calls: 1, rounds, tokens: u64::from(ran.tokens), micros, squares, accepted };
    sums.check(ran.draft, settings).map(|()| sums)
}

#[cfg(test)]
mod tests;
