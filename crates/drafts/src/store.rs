//! The counts of all members: rows of sums that only grow, by member, incarnation and epoch. Epochs are counted on the clock of
//! the incarnation.
//!
//! Rows are merged by the maximum of each sum, so that a duplicated, delayed or reordered datagram adds nothing. Rows that a
//! member reports itself are kept apart from rows that another member relays for it. Relayed rows are never relayed again, and
//! their weight counts towards the member that relayed them.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::settings::Settings;
use crate::types::{Draft, MemberId, Refusal, LOAD_BANDS, MAX_DRAFT_TOKENS};

/// What a row counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Key {
    /// The epoch, on the clock of the member's incarnation.
    pub epoch: u32,
    pub workload: u16,
    pub draft: Draft,
    pub band: u8,
    /// The version of the table under which the calls ran.
    pub version: u64,
}

impl Key {
    fn first_of_epoch(epoch: u32) -> Self {
        Self { epoch, workload: 0, draft: Draft::OFF, band: 0, version: 0 }
    }
}

/// The sums of a row; each of them only grows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Sums {
    pub calls: u64,
    pub rounds: u64,
    pub tokens: u64,
    /// Processing time, in microseconds.
    pub micros: u64,
    /// The sum over calls of the squared time per round, in square microseconds.
    pub squares: u64,
    /// Accepted tokens by position.
    pub accepted: [u64; MAX_DRAFT_TOKENS as usize],
}

impl Sums {
    pub(crate) fn add(&mut self, more: &Sums) {
        self.combine(more, u64::saturating_add);
    }

    /// Takes the maximum of each sum.
    pub(crate) fn merge(&mut self, other: &Sums) {
        self.combine(other, std::cmp::Ord::max);
    }

    fn combine(&mut self, other: &Sums, f: fn(u64, u64) -> u64) {
        self.calls = f(self.calls, other.calls);
        self.rounds = f(self.rounds, other.rounds);
        self.tokens = f(self.tokens, other.tokens);
        self.micros = f(self.micros, other.micros);
        self.squares = f(self.squares, other.squares);
        for (a, b) in self.accepted.iter_mut().zip(other.accepted) {
            *a = f(*a, b);
        }
    }

    /// Checks that the sums are possible for this draft.
    pub(crate) fn check(&self, draft: Draft, settings: &Settings) -> Result<(), Refusal> {
        if self.calls == 0 || self.rounds < self.calls {
            return Err(Refusal::Rounds);
        }
        let (drafted, undrafted) = self.accepted.split_at(draft.length as usize);
        if undrafted.iter().any(|k| *k > 0) {
            return Err(Refusal::Positions);
        }
        let mut previous = self.rounds;
        for k in drafted {
            if *k > std::mem::replace(&mut previous, *k) {
                return Err(Refusal::Accepted);
            }
        }
        let max_tokens = drafted.iter().fold(self.rounds, |sum, k| sum.saturating_add(*k));
        if self.tokens > max_tokens {
            return Err(Refusal::Tokens);
        }
        let longest = settings.longest_round.as_micros() as u64;
        if self.micros == 0
            || self.micros > self.rounds.saturating_mul(longest)
            || self.squares > self.calls.saturating_mul(longest.saturating_mul(longest))
        {
            return Err(Refusal::Time);
        }
        Ok(())
    }
}

/// The rows of one incarnation as one member reports them, and the incarnation's clock.
#[derive(Clone, Debug, Default)]
pub(crate) struct Record {
    clock: Duration,
    /// The local time at which `clock` was read.
    read_at: Duration,
    pub rows: BTreeMap<Key, Sums>,
}

impl Record {
    pub(crate) fn new(clock: Duration, read_at: Duration) -> Self {
        Self { clock, read_at, rows: BTreeMap::new() }
    }

    pub(crate) fn clock(&self, now: Duration) -> Duration {
        self.clock.saturating_add(now.saturating_sub(self.read_at))
    }

    pub(crate) fn epoch(&self, now: Duration, settings: &Settings) -> u32 {
        let epochs = self.clock(now).as_millis() / settings.epoch.as_millis().max(1);
        epochs.min(u128::from(u32::MAX)) as u32
    }

    /// Advances the clock to at least this reading. It never goes back, so that a delayed datagram does not make rows look
    /// younger.
    fn advance_clock(&mut self, now: Duration, clock: Duration) {
        (self.clock, self.read_at) = (self.clock(now).max(clock), now);
    }

    fn expire(&mut self, now: Duration, settings: &Settings) {
        let oldest = (self.epoch(now, settings) + 1).saturating_sub(settings.window);
        if self.rows.first_key_value().is_some_and(|(key, _)| key.epoch < oldest) {
            self.rows = self.rows.split_off(&Key::first_of_epoch(oldest));
        }
    }
}

/// An incarnation of another member, or an earlier incarnation of this one.
#[derive(Clone, Debug)]
pub(crate) struct Incarnation {
    pub id: u64,
    /// The rows that the member reports itself.
    pub direct: Option<Record>,
    /// The rows that another member relays.
    pub relayed: Option<(MemberId, Record)>,
    heard_at: Duration,
}

/// One row that counts: the member whose weight it adds to, and its age in epochs.
pub(crate) struct CountedRow<'a> {
    pub reporter: MemberId,
    pub age: u32,
    pub key: &'a Key,
    pub sums: &'a Sums,
}

/// The rows of all members.
#[derive(Clone, Debug)]
pub(crate) struct Store {
    me: MemberId,
    incarnation: u64,
    pub own: Record,
    pub others: BTreeMap<MemberId, Vec<Incarnation>>,
    /// The number of rows of all members.
    total: usize,
}

/// The origin of rows: the reporter, the member and incarnation that they belong to, and that incarnation's clock.
pub(crate) struct Source {
    pub reporter: MemberId,
    pub member: MemberId,
    pub incarnation: u64,
    pub clock: Duration,
}

impl Store {
    pub(crate) fn new(me: MemberId, incarnation: u64, now: Duration) -> Self {
        Self { me, incarnation, own: Record::new(Duration::ZERO, now), others: BTreeMap::new(), total: 0 }
    }

    /// The number of rows of all members.
    pub(crate) fn total(&self) -> usize {
        self.total
    }

    /// Adds to a row of this member.
    pub(crate) fn count(&mut self, key: Key, more: &Sums, settings: &Settings) -> Result<(), Refusal> {
        if !self.own.rows.contains_key(&key) {
            if self.own.rows.len() >= settings.rows || self.total >= settings.rows_in_all {
                return Err(Refusal::StoreFull);
            }
            self.total += 1;
        }
        self.own.rows.entry(key).or_default().add(more);
        Ok(())
    }

    /// The record for a source. If the member has the maximum number of incarnations, one of the same member is evicted; rows
    /// of other members are never evicted for it.
    fn record(&mut self, now: Duration, from: &Source, settings: &Settings) -> Result<&mut Record, Refusal> {
        if from.member == self.me && from.incarnation == self.incarnation {
            return Err(Refusal::UnknownMember);
        }
        let direct = from.reporter == from.member;
        let known = self.others.entry(from.member).or_default();
        let at = match known.iter().position(|e| e.id == from.incarnation) {
            Some(at) => at,
            None => {
                if known.len() >= settings.lives {
                    // Incarnations known only from relayed rows are evicted first, and relayed rows never evict directly
                    // reported ones.
                    let old = known.iter().enumerate().min_by_key(|(_, e)| (e.direct.is_some(), e.heard_at));
                    let (i, reported) =
                        old.map(|(i, e)| (i, e.direct.is_some())).ok_or(Refusal::StoreFull)?;
                    if reported && !direct {
                        return Err(Refusal::StoreFull);
                    }
                    let old = known.remove(i);
                    let records = old.direct.iter().chain(old.relayed.iter().map(|(_, r)| r));
                    self.total -= records.map(|r| r.rows.len()).sum::<usize>();
                }
                known.push(Incarnation { id: from.incarnation, direct: None, relayed: None, heard_at: now });
                known.len() - 1
            }
        };
        let entry = &mut known[at];
        entry.heard_at = now;
        let new_record = || Record::new(from.clock, now);
        let record = if direct {
            entry.direct.get_or_insert_with(new_record)
        } else {
            &mut entry.relayed.get_or_insert_with(|| (from.reporter, new_record())).1
        };
        record.advance_clock(now, from.clock);
        Ok(record)
    }

    /// Merges the rows of a source. Returns the number of rows for which there was no room.
    pub(crate) fn merge_rows(
        &mut self,
        now: Duration,
        from: &Source,
        rows: &[(Key, Sums)],
        settings: &Settings,
    ) -> Result<usize, Refusal> {
        let mut room = settings.rows_in_all.saturating_sub(self.total);
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
        self.total += taken;
        Ok(refused)
    }

    /// Drops rows outside the window, and members that are not on the roster.
    pub(crate) fn expire(&mut self, now: Duration, settings: &Settings, listed: impl Fn(MemberId) -> bool) {
        self.own.expire(now, settings);
        let clock_retention = settings.epoch * settings.window * 2;
        let me = self.me;
        self.others.retain(|member, entries| {
            for entry in entries.iter_mut() {
                entry.direct.iter_mut().for_each(|r| r.expire(now, settings));
                entry.relayed.iter_mut().for_each(|(_, r)| r.expire(now, settings));
                if entry.relayed.as_ref().is_some_and(|(by, r)| r.rows.is_empty() || !listed(*by)) {
                    entry.relayed = None;
                }
            }
            // The clock of an incarnation is kept longer than its rows, so that a datagram with a long delay does not count as
            // new.
            entries.retain(|e| now.saturating_sub(e.heard_at) < clock_retention);
            (*member == me || listed(*member)) && !entries.is_empty()
        });
        let records = self.others.values().flatten();
        let records = records.flat_map(|e| e.direct.iter().chain(e.relayed.iter().map(|(_, r)| r)));
        self.total = self.own.rows.len() + records.map(|r| r.rows.len()).sum::<usize>();
    }

    /// Calls `each` for all rows that count. A relayed row is skipped if the member reported the same row itself.
    pub(crate) fn for_each(&self, now: Duration, settings: &Settings, mut each: impl FnMut(CountedRow<'_>)) {
        let mut visit = |reporter: MemberId, record: &Record, reported: Option<&Record>| {
            let epoch = record.epoch(now, settings);
            for (key, sums) in &record.rows {
                let age = epoch.saturating_sub(key.epoch);
                if age < settings.window && !reported.is_some_and(|r| r.rows.contains_key(key)) {
                    each(CountedRow { reporter, age, key, sums });
                }
            }
        };
        visit(self.me, &self.own, None);
        for (member, entries) in &self.others {
            for entry in entries {
                if let Some(record) = &entry.direct {
                    visit(*member, record, None);
                }
                if let Some((reporter, record)) = &entry.relayed {
                    visit(*reporter, record, entry.direct.as_ref());
                }
            }
        }
    }
}

/// The sums of one call.
pub(crate) fn sums_of(call: &crate::CallStats, settings: &Settings) -> Result<Sums, Refusal> {
    if call.band >= LOAD_BANDS {
        return Err(Refusal::Band);
    }
    if !settings.allows(call.draft) {
        return Err(Refusal::Draft);
    }
    if call.accepted.len() != call.draft.length as usize {
        return Err(Refusal::Positions);
    }
    let rounds = u64::from(call.rounds);
    let micros = call.time.as_micros().min(u128::from(u64::MAX)) as u64;
    let each = micros / rounds.max(1);
    let mut accepted = [0; MAX_DRAFT_TOKENS as usize];
    for (to, from) in accepted.iter_mut().zip(&call.accepted) {
        *to = u64::from(*from);
    }
    let squares = each.saturating_mul(each);
    let sums = Sums { calls: 1, rounds, tokens: u64::from(call.tokens), micros, squares, accepted };
    sums.check(call.draft, settings).map(|()| sums)
}

#[cfg(test)]
mod tests;
