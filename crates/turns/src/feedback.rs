//! What is learnt: from what was sent, from answers, and from what other activators tell.

use std::time::Duration;

use crate::placement::{mark, TurnRouter};
use crate::recompute::LEAST;
use crate::types::*;
use crate::wire::{Placed, Told, LONGEST};

/// Turns out at once whose answers teach something; of more, what was sent is noted and the answer passed over.
const MOST_OPEN: usize = 65_536;
/// An answer after this time teaches nothing.
const OPEN_FOR: Duration = Duration::from_secs(120);
/// Placements kept to be told: what comes faster than they are told pushes the oldest out.
const MOST_LATELY: usize = 1_024;
/// Weight of one answer in the usual time.
const PACE: f64 = 0.02;
/// Levels of a common prefix that one new conversation makes known: the deepest, and those where it becomes rarer.
const MOST_LEVELS: usize = 4;
/// Above this chance it is a surprise that a prefix is not found.
const SURE: f64 = 0.7;

/// An attempt that is out.
#[derive(Debug)]
pub(crate) struct Open {
    site: u16,
    tail: u64,
    old: Option<u64>,
    /// What it was expected to find, were it kept: blocks, chance and age.
    held: Option<(u16, f64, u32)>,
    len: u16,
    tenant: u32,
    conversation: u64,
    /// Its belief was not there before.
    fresh: bool,
    prefix_at: Vec<u64>,
    /// It is computed anew within a budget.
    anew: bool,
}

impl TurnRouter {
    /// An attempt of a turn has been sent to a site. One of [`TurnRouter::attempt_answered`] and [`TurnRouter::attempt_failed`] ends it.
    pub fn attempt_sent(&mut self, now: Duration, token: AttemptToken, turn: &Turn, site: SiteId) {
        let Some(place) = self.sites.get_or_insert(now, site) else { return };
        let known = self.know(turn);
        let held = known.held.iter().find(|h| h.site == place);
        let len = turn.prefix.len().min(MAX_PREFIX_HASHES) as u16;
        let missing = f64::from(len) - held.map_or(0.0, |h| h.expected());
        let anew = self.pay(turn, known.displaced > 0 && missing >= LEAST, place, missing.max(0.0));
        self.talks.count(now, turn.conversation);
        let expects = held.map(|h| (h.depth, h.chance, h.at));
        self.sites.record_sent(now, place, missing.max(0.0) + f64::from(turn.new_blocks) + 1.0);
        let (at, life) = (self.sites.all[place as usize].clock, self.sites.all[place as usize].life);
        let tail = self.tail(turn);
        let fresh = self.tails.get(tail).is_none();
        let entry = self.tails.touch(tail);
        if entry.conversation != mark(turn.conversation) {
            (entry.conversation, entry.extra) = (mark(turn.conversation), turn.new_blocks);
        }
        // Two at once, or an older one late: what is known to be longest stands.
        (entry.depth, entry.extra) = (len, entry.extra.max(turn.new_blocks));
        entry.lies = known.lies;
        entry.hold(place, at, life);
        self.tell_of(tail, turn, len, site);
        self.hold_common(turn, place, known.own.is_none() || known.displaced > 0);
        if self.open.len() >= MOST_OPEN {
            return;
        }
        let open = Open {
            site: place,
            tail,
            old: known.own.filter(|old| *old != tail),
            held: expects,
            len,
            tenant: turn.tenant,
            conversation: turn.conversation,
            fresh,
            prefix_at: Vec::new(),
            anew,
        };
        let open =
            Open { prefix_at: if expects.is_none() { turn.prefix.clone() } else { Vec::new() }, ..open };
        self.sites.all[place as usize].anew_out += u32::from(anew);
        if let Some(before) = self.open.insert(token, open) {
            self.is_no_more_out(&before);
        }
        self.order.push_back((now, token));
        // One entry a token that is out, and no more: those that have ended lie here until their time.
        while let Some((since, token)) = self.order.front().copied() {
            let over = now >= since + OPEN_FOR || self.order.len() > 2 * MOST_OPEN;
            if !over && self.open.contains_key(&token) {
                break;
            }
            self.order.pop_front();
            if let Some(open) = self.open.remove(&token) {
                self.is_no_more_out(&open);
            }
        }
    }

    fn is_no_more_out(&mut self, open: &Open) {
        let out = &mut self.sites.all[open.site as usize].anew_out;
        *out = out.saturating_sub(u32::from(open.anew));
    }

    /// Common prefixes of the turn lie where it goes; a new conversation shows which are common.
    fn hold_common(&mut self, turn: &Turn, place: u16, asks: bool) {
        let (at, life) = (self.sites.all[place as usize].clock, self.sites.all[place as usize].life);
        let fleet = self.sites.clock;
        let mut levels = Vec::new();
        if asks {
            let mut deeper = 1;
            for (i, key) in turn.prefix.iter().take(MAX_PREFIX_HASHES).enumerate().rev() {
                let count = self.sketch.count(*key);
                // Twice as many as one block further down: there conversations part.
                if count >= 2
                    && (levels.is_empty() || u16::from(count) >= 2 * deeper)
                    && levels.len() < MOST_LEVELS
                {
                    levels.push((i as u16 + 1, *key));
                    deeper = u16::from(count);
                }
            }
        }
        for (depth, key) in &levels {
            self.commons.touch(*key).depth = *depth;
        }
        let mut deepest = asks;
        for key in turn.prefix.iter().take(MAX_PREFIX_HASHES).rev() {
            let Some(faded) = self.commons.get(*key).map(|e| e.faded) else { continue };
            let fading = self.fading(fleet.wrapping_sub(faded));
            let entry = self.commons.touch(*key);
            entry.hold(place, at, life);
            if std::mem::take(&mut deepest) {
                (entry.uses, entry.faded) = (entry.uses * fading as f32 + 1.0, fleet);
            }
        }
    }

    fn tell_of(&mut self, key: u64, turn: &Turn, depth: u16, site: SiteId) {
        if self.members.is_empty() {
            return;
        }
        let placed = Placed {
            key: key.to_le_bytes(),
            conversation: mark(turn.conversation),
            site: 0,
            depth: depth as u8,
            extra: turn.new_blocks,
        };
        if self.lately.len() >= MOST_LATELY {
            self.lately.pop_front();
        }
        self.lately.push_back((placed, site));
    }

    /// The attempt was served after `took`, and its site had found so many blocks of its prefix, where it said so.
    pub fn attempt_answered(
        &mut self,
        now: Duration,
        token: AttemptToken,
        found: Option<u32>,
        took: Duration,
    ) {
        let Some(open) = self.open.remove(&token) else { return };
        self.is_no_more_out(&open);
        self.usual += (took.as_secs_f64().min(60.0) - self.usual) * if self.usual > 0.0 { PACE } else { 1.0 };
        // It went on from its last turn, which is needed no more: one entry a conversation.
        if let Some(old) = open.old {
            self.tails.remove(old);
        }
        let Some(found) = found else { return };
        // More than it asked for cannot be.
        let found = found.min(u32::from(open.len)) as u16;
        self.counts.asked += u64::from(open.len);
        self.counts.found += u64::from(found);
        let place = open.site as usize;
        let Some((depth, chance, at)) = open.held.filter(|(depth, ..)| *depth > 0) else {
            // Nothing was known and something lay there: others have sent it, so it is common.
            if let (Some(key), true) = (open.prefix_at.get(usize::from(found).wrapping_sub(1)), found > 0) {
                let (at, life) = (self.sites.all[place].clock, self.sites.all[place].life);
                let entry = self.commons.touch(*key);
                entry.depth = found;
                entry.hold(open.site, at, life);
            }
            return;
        };
        self.counts.expected += u64::from(depth);
        // It was sent less work than it had: the bound of load must know.
        let missing = f64::from(depth) * chance - f64::from(found);
        if missing >= 1.0 {
            self.sites.record_missed(now, open.site, missing);
        }
        let share = f64::from(found.min(depth)) / f64::from(depth);
        let trust = self.believes(open.tenant);
        // The chance as the site has it: that of a tenant that is not believed says nothing of the site.
        if self.sites.all[place].keeps(at) > SURE {
            self.trust.learn(open.tenant, share as f32);
        }
        self.sites.all[place].learn(at, share, trust);
        if let Some(entry) = self.tails.get_mut(open.tail) {
            entry.lies = if share >= 0.25 || chance < 0.1 { 0 } else { (entry.lies + 1).min(8) };
        }
        self.counts.misses += u64::from(share < 0.5);
        let nothing = found == 0 && chance > SURE;
        if chance > SURE && self.sites.all[place].is_emptied(nothing, open.conversation) {
            self.counts.caches_found_empty += 1;
            self.sites.clear_cache(open.site);
            // What this turn itself left there is there.
            let (at, life) = (self.sites.all[place].clock, self.sites.all[place].life);
            if let Some(entry) = self.tails.get_mut(open.tail) {
                entry.hold(open.site, at, life);
            }
        }
    }

    /// The attempt ended without an answer: what it was to leave at its site may not be there.
    pub fn attempt_failed(&mut self, token: AttemptToken) {
        let Some(open) = self.open.remove(&token) else { return };
        self.is_no_more_out(&open);
        if let Some(entry) = self.tails.get_mut(open.tail).filter(|_| open.fresh) {
            entry.lose(open.site);
            if entry.held().next().is_none() {
                self.tails.remove(open.tail);
            }
        }
    }

    /// The site is gone, and what it holds with it.
    pub fn site_lost(&mut self, site: SiteId) {
        self.sites.site_lost(site);
    }

    /// The site is there again, and holds nothing.
    pub fn site_returned(&mut self, now: Duration, site: SiteId) {
        self.sites.site_returned(now, site);
    }

    /// The site is due this much of the load for its size: 0 to 1,000, and [`DEFAULT_SITE_WEIGHT`] where nothing is said.
    /// One of weight 0 is sent nothing while another is there.
    pub fn set_site_weight(&mut self, now: Duration, site: SiteId, weight: u16) {
        self.sites.set_weight(now, site, weight);
    }

    /// These other activators are told, and heard; nobody else.
    pub fn set_members(&mut self, now: Duration, members: impl IntoIterator<Item = ActivatorId>) {
        let mut members: Vec<ActivatorId> = members.into_iter().filter(|f| *f != self.me).collect();
        members.sort();
        members.dedup();
        // Told of is enough: one that is not heard may be cut off, and spends its own share.
        self.sites.activator_count = 1 + members.len();
        members.truncate(1_024);
        self.members = members;
        self.sites.expire_peers(now, self.settings.gossip_period, &self.members);
        if self.members.is_empty() {
            self.lately.clear();
        }
    }

    /// Another activator has told something.
    pub fn receive(&mut self, now: Duration, from: ActivatorId, data: &[u8], _out: &mut Vec<Output>) {
        let known = self.members.binary_search(&from).is_ok();
        let Some(told) = Told::decode(data).filter(|_| known) else {
            self.counts.unreadable += 1;
            return;
        };
        self.counts.received += 1;
        self.sites.record_peer_loads(now, from, (told.life, told.number), &told.loads);
        for p in &told.placed {
            let site =
                told.loads.get(p.site as usize).and_then(|(site, ..)| self.sites.index_of(SiteId(*site)));
            let Some(place) = site.filter(|s| self.sites.all[*s as usize].there) else { continue };
            let (at, life) = (self.sites.all[place as usize].clock, self.sites.all[place as usize].life);
            let entry = self.tails.touch(u64::from_le_bytes(p.key));
            if entry.conversation != p.conversation {
                (entry.conversation, entry.lies, entry.extra) = (p.conversation, 0, p.extra);
            }
            entry.depth = u16::from(p.depth).min(MAX_PREFIX_HASHES as u16);
            entry.extra = entry.extra.max(p.extra);
            entry.hold(place, at, life);
        }
    }

    /// When [`TurnRouter::wake`] or [`TurnRouter::release`] is wanted next; never while there is nobody to tell and nothing waits.
    pub fn wake_at(&self) -> Option<Duration> {
        let tell = (!self.members.is_empty()).then_some(self.tell_at);
        [tell, self.look_at()].into_iter().flatten().min()
    }

    /// Time has passed: tells others, within the bytes of a period.
    pub fn wake(&mut self, now: Duration, out: &mut Vec<Output>) {
        if self.members.is_empty() || now < self.tell_at {
            return;
        }
        self.tell_at = now + self.settings.gossip_period;
        self.sites.expire_peers(now, self.settings.gossip_period * self.rounds(), &self.members);
        let datagrams = (self.settings.gossip_bytes / LONGEST).max(1);
        let hearers = datagrams.min(self.members.len());
        let parts = (datagrams / hearers).max(1);
        for _ in 0..parts {
            let mut loads = self.sites.own_loads(now);
            loads.sort_by(|a, b| b.1.total_cmp(&a.1).then(a.0.cmp(&b.0)));
            loads.truncate(64);
            let mut placed = Vec::new();
            let mut from = Vec::new();
            // The newest first: of an older one its conversation may have gone on.
            for (i, (p, site)) in self.lately.iter().enumerate().rev().take(128) {
                let Some(at) = loads.iter().position(|(s, ..)| *s == site.0) else { continue };
                placed.push(Placed { site: at as u8, ..*p });
                from.push(i);
            }
            self.number = self.number.wrapping_add(1);
            let (data, taken) = Told::new(self.life, self.number, loads).encode(&placed);
            for i in &from[..taken] {
                self.lately.remove(*i);
            }
            for k in 0..hearers {
                let to = self.members[(self.next_member + k) % self.members.len()];
                self.counts.bytes_sent += data.len() as u64;
                out.push(Output::Send { to, data: data.clone() });
            }
            if self.lately.is_empty() {
                break;
            }
        }
        self.next_member = (self.next_member + hearers) % self.members.len();
    }

    /// Periods within which every fellow is told once.
    fn rounds(&self) -> u32 {
        let datagrams = (self.settings.gossip_bytes / LONGEST).max(1);
        self.members.len().div_ceil(datagrams).max(1) as u32
    }
}
