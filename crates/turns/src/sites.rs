//! The model of each site: how long its cache keeps blocks, its load, and its recomputation budget.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::types::{MemberId, Settings, SiteId, SiteStatus, DEFAULT_WEIGHT, MAX_SITES};
use crate::wire::SiteLoad;

/// Blocks that a site is assumed to keep before the first observations. It is set high because a wrong expectation
/// costs only one miss.
const INITIAL_HORIZON_BLOCKS: f64 = 1_048_576.0;
/// Range of the learned horizon, in blocks.
const HORIZON_RANGE_BLOCKS: (f64, f64) = (8.0, 4e9);
/// Steepness with which the retention probability falls with age: 1 / (1 + (age / horizon)^steepness).
const RETENTION_STEEPNESS: f64 = 4.0;
/// Weight of one answer in a site's horizon: of the first answers, and the lower limit after many.
const LEARNING_RATES: (f64, f64) = (0.5, 0.04);
/// Time constant with which load decays, in seconds: long enough that random variation of few turns does not count as
/// load.
pub(crate) const LOAD_DECAY_SECS: f64 = 10.0;
/// Turns are counted over this many seconds, with one slot per second.
pub(crate) const COUNT_SLOTS: usize = 10;
/// Lane time that is unused, up to this total utilization, may be used for recomputation.
const MAX_SPARE_UTILIZATION: f64 = 0.8;
/// For this long after a site came, other activators may not yet have reported loads for it.
const NEW_SITE_PERIOD: Duration = Duration::from_secs(10);
/// Capacity of the budget's token bucket, in seconds of its refill rate.
const BUDGET_BURST_SECS: f64 = 1.0;
/// After this many turns in a row, of different conversations, that found nothing where nearly everything was
/// expected, the cache counts as cleared.
const MISSES_UNTIL_CLEARED: u8 = 6;
/// A cache counts as filling until it has computed this multiple of its horizon.
const FILL_HORIZONS: f64 = 2.0;
/// Loads reported by another activator expire after this many periods.
const PEER_PERIODS: u32 = 8;
/// Largest number of other activators whose loads are kept.
const MAX_PEERS: usize = 1024;

/// The state of one site.
pub(crate) struct SiteState {
    pub site: SiteId,
    /// The site has not been reported lost since it was last reported present.
    pub present: bool,
    /// The site has been a candidate for turns since it became present, and since when.
    eligible: bool,
    since: Duration,
    pub weight: f64,
    /// Blocks that this activator's turns made the site compute. The age of cached blocks is measured with this
    /// clock.
    pub clock: u32,
    /// Number of times that the site's cache was lost, and the clock at the last loss.
    pub epoch: u16,
    epoch_start: u32,
    ln_horizon: f64,
    observations: f64,
    /// Exponentially decaying sum of computed blocks, with time constant [`LOAD_DECAY_SECS`].
    load: f64,
    load_updated_at: Duration,
    peer_load: f64,
    /// Turns sent there in each of the last seconds, their sum, and the second of the newest slot.
    slots: [u32; COUNT_SLOTS],
    turn_count: u32,
    current_second: u64,
    peer_count: f64,
    /// Token bucket of the blocks that this activator may have recomputed there, its last refill and its refill rate.
    budget: f64,
    budget_updated_at: Duration,
    rate: f64,
    capacity: f64,
    /// Smoothed number of lanes that turns other than recomputations keep busy; `None` before the first observation.
    busy: Option<f64>,
    /// Recomputing turns that are in flight.
    pub recomputing: u32,
    empty_streak: u8,
    last_empty_conversation: u64,
    pub turns: u64,
}

impl SiteState {
    fn new(site: SiteId, now: Duration) -> Self {
        Self {
            site,
            present: true,
            eligible: false,
            since: now,
            weight: 1.0,
            clock: 0,
            epoch: 0,
            epoch_start: 0,
            ln_horizon: INITIAL_HORIZON_BLOCKS.ln(),
            observations: 0.0,
            load: 0.0,
            load_updated_at: now,
            peer_load: 0.0,
            slots: [0; COUNT_SLOTS],
            turn_count: 0,
            current_second: now.as_secs(),
            peer_count: 0.0,
            budget: 0.0,
            budget_updated_at: now,
            rate: 0.0,
            capacity: 1.0,
            busy: None,
            recomputing: 0,
            empty_streak: 0,
            last_empty_conversation: 0,
            turns: 0,
        }
    }

    /// Blocks that the site is expected to compute before it evicts a block.
    pub fn horizon(&self) -> f64 {
        self.ln_horizon.exp()
    }

    /// The probability that the site still holds blocks sent to it when its clock was `at`.
    pub fn retention(&self, at: u32) -> f64 {
        let age = f64::from(self.clock.wrapping_sub(at)).max(1.0);
        1.0 / (1.0 + (RETENTION_STEEPNESS * (age.ln() - self.ln_horizon)).exp())
    }

    /// Learns from an answer: `share` of the blocks sent when the clock was `at` was found. The answer counts in
    /// proportion to the `trust` in its tenant.
    pub fn learn(&mut self, at: u32, share: f64, trust: f64) {
        let probability = self.retention(at);
        // A cache that is still filling evicts nothing: a hit there says nothing about the horizon.
        let filling = f64::from(self.clock.wrapping_sub(self.epoch_start)) < FILL_HORIZONS * self.horizon();
        if share > probability && filling {
            return;
        }
        self.observations += trust;
        let rate = (LEARNING_RATES.0 / (1.0 + self.observations / 16.0)).max(LEARNING_RATES.1) * trust;
        self.ln_horizon += rate * (share - probability) * (RETENTION_STEEPNESS / 2.0);
        self.ln_horizon = self.ln_horizon.clamp(HORIZON_RANGE_BLOCKS.0.ln(), HORIZON_RANGE_BLOCKS.1.ln());
    }

    /// Records whether a turn that should have found nearly all its blocks found nothing. Returns whether the site's
    /// cache counts as cleared by that.
    pub fn detect_cleared(&mut self, found_nothing: bool, conversation: u64) -> bool {
        if !found_nothing {
            self.empty_streak = 0;
        } else if self.empty_streak == 0 || self.last_empty_conversation != conversation {
            (self.empty_streak, self.last_empty_conversation) = (self.empty_streak + 1, conversation);
        }
        let cleared = self.empty_streak >= MISSES_UNTIL_CLEARED;
        if cleared {
            self.empty_streak = 0;
        }
        cleared
    }

    fn decay_load(&mut self, now: Duration) {
        let past = now.saturating_sub(self.load_updated_at).as_secs_f64();
        self.load *= (-past / LOAD_DECAY_SECS).exp();
        self.load_updated_at = self.load_updated_at.max(now);
    }

    /// Load reported by other activators.
    #[cfg(test)]
    pub fn peer_load(&self) -> f64 {
        self.peer_load
    }

    /// Drops the counts of seconds outside the window.
    fn advance(&mut self, now: Duration) {
        let second = now.as_secs();
        for _ in 0..second.saturating_sub(self.current_second).min(COUNT_SLOTS as u64) {
            self.current_second += 1;
            let oldest = &mut self.slots[self.current_second as usize % COUNT_SLOTS];
            self.turn_count -= std::mem::take(oldest);
        }
        self.current_second = self.current_second.max(second);
    }

    /// The site's fair share of the load, relative to a site of capacity 1 and default weight.
    fn size(&self) -> f64 {
        self.capacity * self.weight
    }

    fn own_load(&self, now: Duration) -> f64 {
        self.load * (-now.saturating_sub(self.load_updated_at).as_secs_f64() / LOAD_DECAY_SECS).exp()
    }
}

/// The last load report of another activator.
struct Peer {
    incarnation: u32,
    seq: u32,
    at: Duration,
    loads: Vec<(u16, f32, u16)>,
}

/// All known sites.
#[derive(Default)]
pub(crate) struct Sites {
    pub all: Vec<SiteState>,
    indexes: BTreeMap<SiteId, u16>,
    peers: BTreeMap<MemberId, Peer>,
    /// Blocks computed at all sites.
    pub clock: u32,
    /// Number of activators that share the sites, reachable or not; 0 and 1 both mean that this one is alone.
    pub activator_count: usize,
    #[cfg(test)]
    pub fault: Option<crate::faults::Fault>,
}

impl Sites {
    /// Returns the index of a site, adding the site if it is new; `None` if there are too many sites.
    pub fn get_or_insert(&mut self, now: Duration, site: SiteId) -> Option<u16> {
        if let Some(index) = self.indexes.get(&site) {
            return Some(*index);
        }
        let index = if self.all.len() < MAX_SITES {
            self.all.push(SiteState::new(site, now));
            self.all.len() - 1
        } else {
            // The new site takes the index of a lost one, whose state is dropped.
            let index = self.all.iter().position(|s| !s.present)?;
            let epoch = self.all[index].epoch.wrapping_add(1);
            self.indexes.remove(&self.all[index].site);
            self.all[index] = SiteState { epoch, ..SiteState::new(site, now) };
            index
        };
        self.indexes.insert(site, index as u16);
        Some(index as u16)
    }

    pub fn index(&self, site: SiteId) -> Option<u16> {
        self.indexes.get(&site).copied()
    }

    pub fn set_weight(&mut self, now: Duration, site: SiteId, weight: u16) {
        if let Some(index) = self.get_or_insert(now, site) {
            self.all[index as usize].weight = f64::from(weight.min(1_000)) / f64::from(DEFAULT_WEIGHT);
        }
    }

    /// Invalidates everything that the site is recorded to hold.
    pub fn clear_cache(&mut self, site: u16) {
        let s = &mut self.all[site as usize];
        (s.epoch, s.epoch_start) = (s.epoch.wrapping_add(1), s.clock);
    }

    pub fn site_lost(&mut self, site: SiteId) {
        if let Some(index) = self.index(site).filter(|p| self.all[*p as usize].present) {
            self.clear_cache(index);
            let s = &mut self.all[index as usize];
            (s.present, s.eligible) = (false, false);
        }
    }

    /// Marks the site as present. Its counts are seeded when it first becomes a candidate.
    pub fn site_returned(&mut self, now: Duration, site: SiteId) {
        if let Some(index) = self.get_or_insert(now, site) {
            self.all[index as usize].present = true;
        }
    }

    /// Updates a site that is a candidate for a turn, and returns its index.
    pub fn update(&mut self, now: Duration, site: &SiteStatus, settings: &Settings) -> Option<u16> {
        let index = self.get_or_insert(now, site.site)?;
        let s = &mut self.all[index as usize];
        s.capacity = site.capacity;
        s.present = true;
        if !std::mem::replace(&mut s.eligible, true) {
            self.seed_from_others(now, index);
        }
        self.all[index as usize].advance(now);
        self.refill_budget(now, index, site.in_flight, settings);
        Some(index)
    }

    /// Seeds a new site with the other sites' load and counts, in proportion to weighted capacity. Starting from
    /// zero, it would get every new conversation; starting from values that only decay, it would get them a little
    /// later.
    fn seed_from_others(&mut self, now: Duration, index: u16) {
        let (mut size, mut load, mut slots, mut busy) = (0.0, 0.0, [0.0; COUNT_SLOTS], 0.0);
        for (i, s) in self.all.iter_mut().enumerate() {
            if i != usize::from(index) && s.present && s.eligible {
                s.advance(now);
                (size, load, busy) = (size + s.size(), load + s.own_load(now), busy + s.busy.unwrap_or(0.0));
                slots.iter_mut().zip(s.slots).for_each(|(sum, n)| *sum += f64::from(n));
            }
        }
        #[cfg(test)]
        if self.fault == Some(crate::faults::Fault::UnseededReturn) {
            size = 0.0;
        }
        let s = &mut self.all[usize::from(index)];
        let share = if size > 0.0 { s.size() / size } else { 0.0 };
        s.slots = slots.map(|n| (n * share).round() as u32);
        s.turn_count = s.slots.iter().sum();
        (s.current_second, s.load, s.load_updated_at) = (now.as_secs(), load * share, now);
        (s.budget, s.budget_updated_at, s.rate) = (0.0, now, 0.0);
        s.busy = (size > 0.0).then_some(busy * share);
        s.since = now;
        self.sum_peer_loads(now);
    }

    /// Records a turn that makes the site compute `blocks`, one of them for the turn itself.
    pub fn record_sent(&mut self, now: Duration, site: u16, blocks: f64) {
        let s = &mut self.all[site as usize];
        s.decay_load(now);
        s.advance(now);
        s.slots[s.current_second as usize % COUNT_SLOTS] += 1;
        s.turn_count += 1;
        s.load += blocks;
        s.turns += 1;
        s.clock = s.clock.wrapping_add(blocks as u32);
        self.clock = self.clock.wrapping_add(blocks as u32);
    }

    /// Records that the site computed `blocks` more than expected.
    pub fn record_missed(&mut self, now: Duration, site: u16, blocks: f64) {
        let s = &mut self.all[site as usize];
        s.decay_load(now);
        s.load += blocks;
        s.clock = s.clock.wrapping_add(blocks as u32);
    }

    /// The site's load from this activator and, as reported, from the others.
    pub fn load(&self, now: Duration, site: u16) -> f64 {
        let s = &self.all[site as usize];
        s.own_load(now) + s.peer_load
    }

    /// Turns sent there within the counting window by this activator and, as reported, by the others.
    pub fn count(&self, site: u16) -> f64 {
        let s = &self.all[site as usize];
        f64::from(s.turn_count) + s.peer_count
    }

    /// Turns sent there within the counting window by this activator.
    pub fn own_count(&self, site: u16) -> f64 {
        f64::from(self.all[site as usize].turn_count)
    }

    /// The loads that this activator reports to others.
    pub fn own_loads(&mut self, now: Duration) -> Vec<SiteLoad> {
        self.all.iter_mut().for_each(|s| s.advance(now));
        let present = self.all.iter().filter(|s| s.present);
        let loads =
            present.map(|s| (s.site.0, s.own_load(now) as f32, s.turn_count.min(u32::from(u16::MAX)) as u16));
        loads.filter(|(_, load, count)| *load >= 0.5 || *count > 0).collect()
    }

    /// Records the loads reported by another activator. A report of the same incarnation that is not newer is ignored.
    pub fn on_loads(
        &mut self,
        now: Duration,
        from: MemberId,
        (incarnation, seq): (u32, u32),
        loads: &[SiteLoad],
    ) {
        if self.peers.len() >= MAX_PEERS && !self.peers.contains_key(&from) {
            return;
        }
        let known = |(site, load, count): &SiteLoad| {
            let load = if load.is_finite() { load.clamp(0.0, 1e9) } else { 0.0 };
            Some((self.index(SiteId(*site))?, load, *count))
        };
        #[allow(unused_mut, reason = "an injected fault of the tests adds to it")]
        let mut loads: Vec<(u16, f32, u16)> = loads.iter().filter_map(known).collect();
        #[cfg(test)]
        if self.fault == Some(crate::faults::Fault::PeerLoadsAddedTwice) {
            loads.extend(self.peers.remove(&from).into_iter().flat_map(|p| p.loads).take(256));
        }
        let is_old = |p: &Peer| p.incarnation == incarnation && (p.seq.wrapping_sub(seq) as i32) >= 0;
        if !self.peers.get(&from).is_some_and(is_old) {
            self.peers.insert(from, Peer { incarnation, seq, at: now, loads });
            self.sum_peer_loads(now);
        }
    }

    /// Drops reports that have expired and those of activators that are no longer members.
    pub fn expire_peers(&mut self, now: Duration, period: Duration, members: &[MemberId]) {
        self.peers.retain(|id, p| now < p.at + period * PEER_PERIODS && members.contains(id));
        self.sum_peer_loads(now);
    }

    /// Sums the loads that other activators reported. An activator may not know a new site yet: its report for the
    /// other sites, scaled by weighted capacity, stands in for the new one. Otherwise the new site would look empty
    /// and the others overloaded.
    fn sum_peer_loads(&mut self, now: Duration) {
        self.all.iter_mut().for_each(|s| (s.peer_load, s.peer_count) = (0.0, 0.0));
        let new_sites: Vec<usize> = (0..self.all.len())
            .filter(|i| self.all[*i].eligible && now < self.all[*i].since + NEW_SITE_PERIOD)
            .collect();
        #[cfg(test)]
        let new_sites =
            if self.fault == Some(crate::faults::Fault::UnseededReturn) { Vec::new() } else { new_sites };
        for peer in self.peers.values() {
            let (mut size, mut sum) = (0.0, (0.0, 0.0));
            for (site, load, count) in &peer.loads {
                let Some(s) = self.all.get_mut(*site as usize) else { continue };
                let reported = (f64::from(*load), f64::from(*count));
                (s.peer_load, s.peer_count) = (s.peer_load + reported.0, s.peer_count + reported.1);
                size += s.size();
                sum = (sum.0 + reported.0, sum.1 + reported.1);
            }
            let unreported = |i: &&usize| peer.loads.iter().all(|(site, ..)| usize::from(*site) != **i);
            for i in new_sites.iter().filter(unreported).filter(|_| size > 0.0) {
                let s = &mut self.all[*i];
                let share = s.size() / size;
                (s.peer_load, s.peer_count) = (s.peer_load + sum.0 * share, s.peer_count + sum.1 * share);
            }
        }
    }

    /// Activators that share the sites: this one and those with a current load report.
    pub fn activators(&self) -> usize {
        1 + self.peers.len()
    }

    /// Refills the site's recomputation budget for the time since the last refill.
    fn refill_budget(&mut self, now: Duration, site: u16, in_flight: f64, conf: &Settings) {
        let parts = self.budget_shares();
        let s = &mut self.all[site as usize];
        let past = now.saturating_sub(s.budget_updated_at).as_secs_f64();
        s.budget_updated_at = s.budget_updated_at.max(now);
        let other_turns = (in_flight - f64::from(s.recomputing)).max(0.0);
        let before = s.busy.unwrap_or(other_turns);
        let busy = before + (other_turns - before) * (1.0 - (-past / LOAD_DECAY_SECS).exp());
        s.busy = Some(busy);
        // Each activator gets an equal share of the lane time, and may use what it leaves unused of its own share.
        // This needs no messages, and activators that are partitioned from each other do not spend the same lane time
        // twice.
        let spare = MAX_SPARE_UTILIZATION * s.capacity - busy * parts;
        s.rate = (conf.recompute_share * s.capacity).max(spare) / conf.block_cost.as_secs_f64() / parts;
        s.budget = (s.budget + past * s.rate).min(s.rate * BUDGET_BURST_SECS);
    }

    fn budget_shares(&self) -> f64 {
        #[cfg(test)]
        if self.fault == Some(crate::faults::Fault::BudgetNotShared) {
            return 1.0;
        }
        self.activator_count.max(1) as f64
    }

    /// Blocks that this activator may have recomputed there now, and the refill rate in blocks per second.
    pub fn budget(&self, site: u16) -> (f64, f64) {
        let s = &self.all[site as usize];
        (s.budget, s.rate)
    }

    /// Fill level of the budget, 0 to 1.
    pub fn budget_fill(&self, site: u16) -> f64 {
        let s = &self.all[site as usize];
        (s.budget / (s.rate * BUDGET_BURST_SECS).max(1e-9)).clamp(0.0, 1.0)
    }

    /// Charges `blocks` to the budget; a negative number is a refund.
    pub fn spend(&mut self, site: u16, blocks: f64) {
        self.all[site as usize].budget -= blocks;
    }
}

#[cfg(test)]
mod tests;
