//! Feedback: updates the tables and the site model from sent attempts, answers and other activators' messages.

use std::time::Duration;

use crate::placement::{conversation_tag, TurnRouter};
use crate::recompute::MIN_LOST_BLOCKS;
use crate::types::*;
use crate::wire::{Message, PlacementRecord, MAX_DATAGRAM_BYTES};

/// Attempts tracked at once. Beyond this, a sent attempt is still recorded in the tables, but its answer is ignored.
const MAX_OPEN_ATTEMPTS: usize = 65_536;
/// An answer after this time is ignored.
const OPEN_TIMEOUT: Duration = Duration::from_secs(120);
/// Placements queued for the next messages; when they come faster than they can be sent, the oldest are dropped.
const MAX_UNSENT_PLACEMENTS: usize = 1_024;
/// Weight of one answer in the mean turn time.
const TURN_TIME_WEIGHT: f64 = 0.02;
/// Common prefixes recorded per new conversation: the longest, and shorter ones that are at least twice as common.
const MAX_COMMON_LEVELS: usize = 4;
/// Above this probability, a prefix that is not found counts as evidence against the tenant or the site.
const MIN_CONFIDENT_PROBABILITY: f64 = 0.7;

/// An attempt that was sent and has not ended.
#[derive(Debug)]
pub(crate) struct Attempt {
    site: u16,
    tail_key: u64,
    previous_key: Option<u64>,
    /// The prefix expected at the site: length in blocks, probability, and the site's clock when it was sent there.
    expected: Option<(u16, f64, u32)>,
    prefix_len: u16,
    tenant: u32,
    conversation: u64,
    /// The table had no entry for the turn's prefix before.
    new_entry: bool,
    /// The turn's hashes, if nothing was expected at the site; otherwise empty.
    prefix: Vec<u64>,
    /// The attempt recomputes a lost prefix on the recomputation budget.
    paid: bool,
}

impl TurnRouter {
    /// Records that an attempt of a turn was sent to a site. Either [`TurnRouter::on_answered`] or
    /// [`TurnRouter::on_failed`] ends it.
    pub fn on_sent(&mut self, now: Duration, id: AttemptToken, turn: &Turn, site: SiteId) {
        let Some(index) = self.sites.get_or_insert(now, site) else { return };
        let known = self.estimate(turn);
        let cached = known.sites.iter().find(|h| h.site == index);
        let len = turn.prefix.len().min(MAX_HASHES) as u16;
        let missing = f64::from(len) - cached.map_or(0.0, |h| h.expected());
        let paid = self.charge(turn, known.lost > 0 && missing >= MIN_LOST_BLOCKS, index, missing.max(0.0));
        self.conversation_counter.count(now, turn.conversation);
        let expected = cached.map(|h| (h.depth, h.probability, h.clock));
        self.sites.record_sent(now, index, missing.max(0.0) + f64::from(turn.new_blocks) + 1.0);
        let (clock, epoch) = (self.sites.all[index as usize].clock, self.sites.all[index as usize].epoch);
        let tail_key = self.tail_key(turn);
        let new_entry = self.conversations.get(tail_key).is_none();
        let entry = self.conversations.touch(tail_key);
        if entry.conversation != conversation_tag(turn.conversation) {
            (entry.conversation, entry.added) = (conversation_tag(turn.conversation), turn.new_blocks);
        }
        // With two concurrent turns, or a late older one, the larger number of new blocks stays.
        (entry.depth, entry.added) = (len, entry.added.max(turn.new_blocks));
        entry.misses = known.misses;
        entry.add_holder(index, clock, epoch);
        self.queue_placement(tail_key, turn, len, site);
        self.record_common_prefixes(turn, index, known.own_key.is_none() || known.lost > 0);
        if self.open.len() >= MAX_OPEN_ATTEMPTS {
            return;
        }
        let open = Attempt {
            site: index,
            tail_key,
            previous_key: known.own_key.filter(|previous| *previous != tail_key),
            expected,
            prefix_len: len,
            tenant: turn.tenant,
            conversation: turn.conversation,
            new_entry,
            prefix: Vec::new(),
            paid,
        };
        let open =
            Attempt { prefix: if expected.is_none() { turn.prefix.clone() } else { Vec::new() }, ..open };
        self.sites.all[index as usize].recomputing += u32::from(paid);
        if let Some(replaced) = self.open.insert(id, open) {
            self.close_attempt(&replaced);
        }
        self.open_order.push_back((now, id));
        // The queue holds one entry per open attempt; entries of ended attempts are removed when they reach the
        // front.
        while let Some((since, id)) = self.open_order.front().copied() {
            let expired = now >= since + OPEN_TIMEOUT || self.open_order.len() > 2 * MAX_OPEN_ATTEMPTS;
            if !expired && self.open.contains_key(&id) {
                break;
            }
            self.open_order.pop_front();
            if let Some(open) = self.open.remove(&id) {
                self.close_attempt(&open);
            }
        }
    }

    fn close_attempt(&mut self, open: &Attempt) {
        let recomputing = &mut self.sites.all[open.site as usize].recomputing;
        *recomputing = recomputing.saturating_sub(u32::from(open.paid));
    }

    /// Records that the site holds the turn's common prefixes. A conversation that is new, or whose prefix was lost
    /// (`is_new`), also counts towards which prefixes are common.
    fn record_common_prefixes(&mut self, turn: &Turn, index: u16, is_new: bool) {
        let (clock, epoch) = (self.sites.all[index as usize].clock, self.sites.all[index as usize].epoch);
        let fleet_clock = self.sites.clock;
        let mut levels = Vec::new();
        if is_new {
            let mut deeper = 1;
            for (i, key) in turn.prefix.iter().take(MAX_HASHES).enumerate().rev() {
                let count = self.sketch.count(*key);
                // At least twice as common as the next longer recorded prefix: conversations branch here.
                if count >= 2
                    && (levels.is_empty() || u16::from(count) >= 2 * deeper)
                    && levels.len() < MAX_COMMON_LEVELS
                {
                    levels.push((i as u16 + 1, *key));
                    deeper = u16::from(count);
                }
            }
        }
        for (depth, key) in &levels {
            self.common.touch(*key).depth = *depth;
        }
        let mut deepest = is_new;
        for key in turn.prefix.iter().take(MAX_HASHES).rev() {
            let Some(uses_updated_at) = self.common.get(*key).map(|e| e.uses_updated_at) else { continue };
            let decay = self.use_decay(fleet_clock.wrapping_sub(uses_updated_at));
            let entry = self.common.touch(*key);
            entry.add_holder(index, clock, epoch);
            if std::mem::take(&mut deepest) {
                (entry.uses, entry.uses_updated_at) = (entry.uses * decay as f32 + 1.0, fleet_clock);
            }
        }
    }

    fn queue_placement(&mut self, key: u64, turn: &Turn, depth: u16, site: SiteId) {
        if self.members.is_empty() {
            return;
        }
        let placement = PlacementRecord {
            key: key.to_le_bytes(),
            conversation: conversation_tag(turn.conversation),
            site: 0,
            depth: depth as u8,
            added: turn.new_blocks,
        };
        if self.unsent_placements.len() >= MAX_UNSENT_PLACEMENTS {
            self.unsent_placements.pop_front();
        }
        self.unsent_placements.push_back((placement, site));
    }

    /// Records that the attempt was answered after `took`. `found` is the number of prefix blocks that the site had
    /// cached, if the host reported it.
    pub fn on_answered(&mut self, now: Duration, id: AttemptToken, found: Option<u32>, took: Duration) {
        let Some(open) = self.open.remove(&id) else { return };
        self.close_attempt(&open);
        self.mean_secs += (took.as_secs_f64().min(60.0) - self.mean_secs)
            * if self.mean_secs > 0.0 { TURN_TIME_WEIGHT } else { 1.0 };
        // The conversation has moved on from its previous turn: the table keeps one entry per conversation.
        if let Some(previous) = open.previous_key {
            self.conversations.remove(previous);
        }
        let Some(found) = found else { return };
        // A host cannot find more blocks than the turn asked for.
        let found = found.min(u32::from(open.prefix_len)) as u16;
        self.counts.requested += u64::from(open.prefix_len);
        self.counts.found += u64::from(found);
        let index = open.site as usize;
        let Some((depth, probability, clock)) = open.expected.filter(|(depth, ..)| *depth > 0) else {
            // No blocks were expected and some were found: other conversations sent them, so the prefix is common.
            if let (Some(key), true) = (open.prefix.get(usize::from(found).wrapping_sub(1)), found > 0) {
                let (clock, epoch) = (self.sites.all[index].clock, self.sites.all[index].epoch);
                let entry = self.common.touch(*key);
                entry.depth = found;
                entry.add_holder(open.site, clock, epoch);
            }
            return;
        };
        self.counts.expected += u64::from(depth);
        // The site computed more blocks than expected: add them to its load.
        let missing = f64::from(depth) * probability - f64::from(found);
        if missing >= 1.0 {
            self.sites.record_missed(now, open.site, missing);
        }
        let share = f64::from(found.min(depth)) / f64::from(depth);
        let trust = self.tenant_trust(open.tenant);
        // Uses the site's own probability: the one lowered by distrust of the tenant says nothing about the site.
        if self.sites.all[index].retention(clock) > MIN_CONFIDENT_PROBABILITY {
            self.trust.record_found(open.tenant, share as f32);
        }
        self.sites.all[index].learn(clock, share, trust);
        if let Some(entry) = self.conversations.get_mut(open.tail_key) {
            entry.misses = if share >= 0.25 || probability < 0.1 { 0 } else { (entry.misses + 1).min(8) };
        }
        self.counts.misses += u64::from(share < 0.5);
        let nothing = found == 0 && probability > MIN_CONFIDENT_PROBABILITY;
        if probability > MIN_CONFIDENT_PROBABILITY
            && self.sites.all[index].detect_cleared(nothing, open.conversation)
        {
            self.counts.caches_found_empty += 1;
            self.sites.clear_cache(open.site);
            // The prefix of this turn itself is in the cache.
            let (clock, epoch) = (self.sites.all[index].clock, self.sites.all[index].epoch);
            if let Some(entry) = self.conversations.get_mut(open.tail_key) {
                entry.add_holder(open.site, clock, epoch);
            }
        }
    }

    /// Records that the attempt ended without an answer: the site may not hold the turn's prefix.
    pub fn on_failed(&mut self, id: AttemptToken) {
        let Some(open) = self.open.remove(&id) else { return };
        self.close_attempt(&open);
        if let Some(entry) = self.conversations.get_mut(open.tail_key).filter(|_| open.new_entry) {
            entry.remove_holder(open.site);
            if entry.holders().next().is_none() {
                self.conversations.remove(open.tail_key);
            }
        }
    }

    /// Records that the site is gone, with everything in its cache.
    pub fn site_lost(&mut self, site: SiteId) {
        self.sites.site_lost(site);
    }

    /// Records that the site is available again, with an empty cache.
    pub fn site_returned(&mut self, now: Duration, site: SiteId) {
        self.sites.site_returned(now, site);
    }

    /// Sets the site's share of the load relative to its capacity: 0 to 1,000, by default [`DEFAULT_WEIGHT`]. A
    /// site of weight 0 gets no turns while a site of another weight is available.
    pub fn set_site_weight(&mut self, now: Duration, site: SiteId, weight: u16) {
        self.sites.set_weight(now, site, weight);
    }

    /// Sets the other activators that messages are sent to and accepted from.
    pub fn set_members(&mut self, now: Duration, members: impl IntoIterator<Item = MemberId>) {
        let mut members: Vec<MemberId> = members.into_iter().filter(|f| *f != self.own_id).collect();
        members.sort();
        members.dedup();
        // Counts every configured member: one that is not heard from may be partitioned and still spends its share of
        // the recomputation budget.
        self.sites.activator_count = 1 + members.len();
        members.truncate(1_024);
        self.members = members;
        self.sites.expire_peers(now, self.settings.gossip_period, &self.members);
        if self.members.is_empty() {
            self.unsent_placements.clear();
        }
    }

    /// Handles a message from another activator.
    pub fn receive(&mut self, now: Duration, from: MemberId, data: &[u8], _out: &mut Vec<Output>) {
        let is_member = self.members.binary_search(&from).is_ok();
        let Some(message) = Message::decode(data).filter(|_| is_member) else {
            self.counts.unreadable += 1;
            return;
        };
        self.counts.received += 1;
        self.sites.on_loads(now, from, (message.incarnation, message.seq), &message.loads);
        for p in &message.placed {
            let site = message.loads.get(p.site as usize).and_then(|(s, ..)| self.sites.index(SiteId(*s)));
            let Some(index) = site.filter(|s| self.sites.all[*s as usize].present) else { continue };
            let (clock, epoch) = (self.sites.all[index as usize].clock, self.sites.all[index as usize].epoch);
            let entry = self.conversations.touch(u64::from_le_bytes(p.key));
            if entry.conversation != p.conversation {
                (entry.conversation, entry.misses, entry.added) = (p.conversation, 0, p.added);
            }
            entry.depth = u16::from(p.depth).min(MAX_HASHES as u16);
            entry.added = entry.added.max(p.added);
            entry.add_holder(index, clock, epoch);
        }
    }

    /// When [`TurnRouter::handle_timers`] or [`TurnRouter::release`] must be called next; `None` if there are no
    /// members and no waiting turns.
    pub fn next_timer_at(&self) -> Option<Duration> {
        let gossip = (!self.members.is_empty()).then_some(self.next_gossip_at);
        [gossip, self.next_check()].into_iter().flatten().min()
    }

    /// Sends loads and recent placements to other activators if the gossip period is over, within the bytes allowed
    /// per period.
    pub fn handle_timers(&mut self, now: Duration, out: &mut Vec<Output>) {
        if self.members.is_empty() || now < self.next_gossip_at {
            return;
        }
        self.next_gossip_at = now + self.settings.gossip_period;
        self.sites.expire_peers(now, self.settings.gossip_period * self.periods_per_round(), &self.members);
        let datagrams = (self.settings.gossip_bytes / MAX_DATAGRAM_BYTES).max(1);
        let receivers = datagrams.min(self.members.len());
        let parts = (datagrams / receivers).max(1);
        for _ in 0..parts {
            let mut loads = self.sites.own_loads(now);
            loads.sort_by(|a, b| b.1.total_cmp(&a.1).then(a.0.cmp(&b.0)));
            loads.truncate(64);
            let mut placements = Vec::new();
            let mut from = Vec::new();
            // Newest first: the conversations of older placements may have moved on.
            for (i, (p, site)) in self.unsent_placements.iter().enumerate().rev().take(128) {
                let Some(site) = loads.iter().position(|(s, ..)| *s == site.0) else { continue };
                placements.push(PlacementRecord { site: site as u8, ..*p });
                from.push(i);
            }
            self.message_number = self.message_number.wrapping_add(1);
            let (data, taken) =
                Message::new(self.incarnation, self.message_number, loads).encode(&placements);
            for i in &from[..taken] {
                self.unsent_placements.remove(*i);
            }
            for k in 0..receivers {
                let to = self.members[(self.next_member + k) % self.members.len()];
                self.counts.bytes_sent += data.len() as u64;
                out.push(Output::Send { to, data: data.clone() });
            }
            if self.unsent_placements.is_empty() {
                break;
            }
        }
        self.next_member = (self.next_member + receivers) % self.members.len();
    }

    /// Periods after which every member has received a message.
    fn periods_per_round(&self) -> u32 {
        let datagrams = (self.settings.gossip_bytes / MAX_DATAGRAM_BYTES).max(1);
        self.members.len().div_ceil(datagrams).max(1) as u32
    }
}
