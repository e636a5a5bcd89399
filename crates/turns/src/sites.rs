//! What is known of each site: how long it keeps what it was sent, its load, its budget of computing anew.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::types::{ActivatorId, Settings, SiteId, SiteStatus, DEFAULT_SITE_WEIGHT, MAX_SITES};

/// Blocks that a site is taken to keep before anything was seen of it: too many, as a wrong belief costs one miss.
const FIRST_HORIZON: f64 = 1_048_576.0;
/// Bounds of what is learnt, in blocks.
const HORIZONS: (f64, f64) = (8.0, 4e9);
/// How sharply the share that is still held falls with age: (age / horizon) to this power to one.
const SHARPNESS: f64 = 4.0;
/// Weight of an answer in a site's horizon: the first ones, and at last.
const PACES: (f64, f64) = (0.5, 0.04);
/// Load is remembered for about so many seconds: long enough that the chance of few turns is not held for load.
pub(crate) const LOAD_MEMORY: f64 = 10.0;
/// Turns are counted for so many seconds, one slot each.
pub(crate) const SLOTS: usize = 10;
/// Of lanes' time, what is left unused up to this share may be used for computing anew.
const SPARE: f64 = 0.8;
/// For so long after a site came, others may not have told of it.
const FRESH_FOR: Duration = Duration::from_secs(10);
/// Seconds of its rate that a budget holds at most.
const BUDGET_FOR: f64 = 1.0;
/// So many conversations one after another that lost all where nearly all was expected tell that a cache is gone.
const EMPTY_AFTER: u8 = 6;
/// A cache is taken to be filling until it computed this multiple of its horizon.
const FILLING: f64 = 2.0;
/// What other activators told of loads is forgotten after so many periods.
const TOLD_FOR: u32 = 8;
/// Other activators whose word is kept.
const MOST_PEERS: usize = 1024;

/// One site.
pub(crate) struct SiteState {
    pub site: SiteId,
    /// It was not lost since it was last told to be there.
    pub there: bool,
    /// It was chosen from since then, the first time at this time.
    stands: bool,
    began: Duration,
    pub weight: f64,
    /// Blocks that it was made to compute by this activator: the age of what it holds is counted in them.
    pub clock: u32,
    /// Counts the times that its cache was lost, and its clock when that was last.
    pub life: u16,
    born: u32,
    ln_horizon: f64,
    seen: f64,
    /// Blocks a second, fading, times the memory of it.
    load: f64,
    load_at: Duration,
    told: f64,
    /// Turns sent there in each of the last seconds, their sum, and the second of the last slot.
    slots: [u32; SLOTS],
    count: u32,
    slot: u64,
    peer_turn_count: f64,
    /// Blocks that this activator may have computed anew there just now, as of when, and how fast that grows.
    budget: f64,
    budget_at: Duration,
    rate: f64,
    capacity: f64,
    /// Lanes that its turns kept busy lately, less those computed anew; none before the first look.
    busy: Option<f64>,
    /// Turns computed anew that are out.
    pub anew_out: u32,
    missing: u8,
    missed: u64,
    pub turns: u64,
}

impl SiteState {
    fn new(site: SiteId, now: Duration) -> Self {
        Self {
            site,
            there: true,
            stands: false,
            began: now,
            weight: 1.0,
            clock: 0,
            life: 0,
            born: 0,
            ln_horizon: FIRST_HORIZON.ln(),
            seen: 0.0,
            load: 0.0,
            load_at: now,
            told: 0.0,
            slots: [0; SLOTS],
            count: 0,
            slot: now.as_secs(),
            peer_turn_count: 0.0,
            budget: 0.0,
            budget_at: now,
            rate: 0.0,
            capacity: 1.0,
            busy: None,
            anew_out: 0,
            missing: 0,
            missed: 0,
            turns: 0,
        }
    }

    /// Blocks that it is believed to compute before it lets go of what it was sent.
    pub fn horizon(&self) -> f64 {
        self.ln_horizon.exp()
    }

    /// The chance that it still holds what it was sent at this age.
    pub fn keeps(&self, at: u32) -> f64 {
        let age = f64::from(self.clock.wrapping_sub(at)).max(1.0);
        1.0 / (1.0 + (SHARPNESS * (age.ln() - self.ln_horizon)).exp())
    }

    /// A share of what it was sent at this age was found, told by somebody believed as far as `trust`.
    pub fn learn(&mut self, at: u32, share: f64, trust: f64) {
        let chance = self.keeps(at);
        // An empty cache keeps all until it is full: that tells nothing of how long it keeps things.
        let filling = f64::from(self.clock.wrapping_sub(self.born)) < FILLING * self.horizon();
        if share > chance && filling {
            return;
        }
        self.seen += trust;
        let pace = (PACES.0 / (1.0 + self.seen / 16.0)).max(PACES.1) * trust;
        self.ln_horizon += pace * (share - chance) * (SHARPNESS / 2.0);
        self.ln_horizon = self.ln_horizon.clamp(HORIZONS.0.ln(), HORIZONS.1.ln());
    }

    /// Notes whether a turn that had to find nearly all found nothing; whether the site's cache is gone by that.
    pub fn is_emptied(&mut self, found_nothing: bool, conversation: u64) -> bool {
        if !found_nothing {
            self.missing = 0;
        } else if self.missing == 0 || self.missed != conversation {
            (self.missing, self.missed) = (self.missing + 1, conversation);
        }
        let emptied = self.missing >= EMPTY_AFTER;
        if emptied {
            self.missing = 0;
        }
        emptied
    }

    fn fade(&mut self, now: Duration) {
        let past = now.saturating_sub(self.load_at).as_secs_f64();
        self.load *= (-past / LOAD_MEMORY).exp();
        self.load_at = self.load_at.max(now);
    }

    /// Load that others told of.
    #[cfg(test)]
    pub fn peer_load(&self) -> f64 {
        self.told
    }

    /// Lets go of what was counted too long ago.
    fn slide(&mut self, now: Duration) {
        let second = now.as_secs();
        for _ in 0..second.saturating_sub(self.slot).min(SLOTS as u64) {
            self.slot += 1;
            let oldest = &mut self.slots[self.slot as usize % SLOTS];
            self.count -= std::mem::take(oldest);
        }
        self.slot = self.slot.max(second);
    }

    /// What it is due of the load, over that of a site of size 1 and the usual weight.
    fn size(&self) -> f64 {
        self.capacity * self.weight
    }

    fn load_now(&self, now: Duration) -> f64 {
        self.load * (-now.saturating_sub(self.load_at).as_secs_f64() / LOAD_MEMORY).exp()
    }
}

/// What another activator told of loads.
struct Peer {
    life: u32,
    number: u32,
    at: Duration,
    loads: Vec<(u16, f32, u16)>,
}

/// All sites.
#[derive(Default)]
pub(crate) struct Sites {
    pub all: Vec<SiteState>,
    places: BTreeMap<SiteId, u16>,
    peers: BTreeMap<ActivatorId, Peer>,
    /// Blocks computed at all of them.
    pub clock: u32,
    /// Activators that share the sites, as far as was told, whether they are heard or not; 0 and 1 for this one alone.
    pub activator_count: usize,
    #[cfg(test)]
    pub flaw: Option<crate::faults::Fault>,
}

impl Sites {
    /// The place of a site, which is met with that; none where there are too many.
    pub fn get_or_insert(&mut self, now: Duration, site: SiteId) -> Option<u16> {
        if let Some(place) = self.places.get(&site) {
            return Some(*place);
        }
        let place = if self.all.len() < MAX_SITES {
            self.all.push(SiteState::new(site, now));
            self.all.len() - 1
        } else {
            // One that is gone makes room, with all that was believed of it.
            let place = self.all.iter().position(|s| !s.there)?;
            let life = self.all[place].life.wrapping_add(1);
            self.places.remove(&self.all[place].site);
            self.all[place] = SiteState { life, ..SiteState::new(site, now) };
            place
        };
        self.places.insert(site, place as u16);
        Some(place as u16)
    }

    pub fn index_of(&self, site: SiteId) -> Option<u16> {
        self.places.get(&site).copied()
    }

    pub fn set_weight(&mut self, now: Duration, site: SiteId, weight: u16) {
        if let Some(place) = self.get_or_insert(now, site) {
            self.all[place as usize].weight = f64::from(weight.min(1_000)) / f64::from(DEFAULT_SITE_WEIGHT);
        }
    }

    /// What the site held is gone.
    pub fn clear_cache(&mut self, site: u16) {
        let s = &mut self.all[site as usize];
        (s.life, s.born) = (s.life.wrapping_add(1), s.clock);
    }

    pub fn site_lost(&mut self, site: SiteId) {
        if let Some(place) = self.index_of(site).filter(|p| self.all[*p as usize].there) {
            self.clear_cache(place);
            let s = &mut self.all[place as usize];
            (s.there, s.stands) = (false, false);
        }
    }

    /// It is there again, and what it is sent begins when it is first chosen from.
    pub fn site_returned(&mut self, now: Duration, site: SiteId) {
        if let Some(place) = self.get_or_insert(now, site) {
            self.all[place as usize].there = true;
        }
    }

    /// It is one of those that are chosen from now; its place.
    pub fn update(&mut self, now: Duration, site: &SiteStatus, settings: &Settings) -> Option<u16> {
        let place = self.get_or_insert(now, site.site)?;
        let s = &mut self.all[place as usize];
        s.capacity = site.capacity;
        s.there = true;
        if !std::mem::replace(&mut s.stands, true) {
            self.begin(now, place);
        }
        self.all[place as usize].slide(now);
        self.grow(now, place, site.in_flight, settings);
        Some(place)
    }

    /// A site that comes has in the books what the others have by size: having nothing, it would be sent all that is
    /// new, and having a share that fades, all that is new a little later.
    fn begin(&mut self, now: Duration, place: u16) {
        let (mut size, mut load, mut slots, mut busy) = (0.0, 0.0, [0.0; SLOTS], 0.0);
        for (i, s) in self.all.iter_mut().enumerate() {
            if i != usize::from(place) && s.there && s.stands {
                s.slide(now);
                (size, load, busy) = (size + s.size(), load + s.load_now(now), busy + s.busy.unwrap_or(0.0));
                slots.iter_mut().zip(s.slots).for_each(|(sum, n)| *sum += f64::from(n));
            }
        }
        #[cfg(test)]
        if self.flaw == Some(crate::faults::Fault::ReturnsWithNothing) {
            size = 0.0;
        }
        let s = &mut self.all[usize::from(place)];
        let part = if size > 0.0 { s.size() / size } else { 0.0 };
        s.slots = slots.map(|n| (n * part).round() as u32);
        s.count = s.slots.iter().sum();
        (s.slot, s.load, s.load_at) = (now.as_secs(), load * part, now);
        (s.budget, s.budget_at, s.rate) = (0.0, now, 0.0);
        s.busy = (size > 0.0).then_some(busy * part);
        s.began = now;
        self.sum(now);
    }

    /// It is made to compute so many blocks, one of them for the turn itself.
    pub fn record_sent(&mut self, now: Duration, site: u16, blocks: f64) {
        let s = &mut self.all[site as usize];
        s.fade(now);
        s.slide(now);
        s.slots[s.slot as usize % SLOTS] += 1;
        s.count += 1;
        s.load += blocks;
        s.turns += 1;
        s.clock = s.clock.wrapping_add(blocks as u32);
        self.clock = self.clock.wrapping_add(blocks as u32);
    }

    /// It computed so many blocks more than it was believed to.
    pub fn record_missed(&mut self, now: Duration, site: u16, blocks: f64) {
        let s = &mut self.all[site as usize];
        s.fade(now);
        s.load += blocks;
        s.clock = s.clock.wrapping_add(blocks as u32);
    }

    /// Load of a site by this activator and, as they told, by the others.
    pub fn load(&self, now: Duration, site: u16) -> f64 {
        let s = &self.all[site as usize];
        s.load_now(now) + s.told
    }

    /// Turns sent there within the last seconds, by this activator and, as they told, by the others.
    pub fn count(&self, site: u16) -> f64 {
        let s = &self.all[site as usize];
        f64::from(s.count) + s.peer_turn_count
    }

    /// Of these turns, what this activator sent itself.
    pub fn own_count(&self, site: u16) -> f64 {
        f64::from(self.all[site as usize].count)
    }

    /// What this one has to tell of loads.
    pub fn own_loads(&mut self, now: Duration) -> Vec<(u32, f32, u16)> {
        self.all.iter_mut().for_each(|s| s.slide(now));
        let there = self.all.iter().filter(|s| s.there);
        let loads =
            there.map(|s| (s.site.0, s.load_now(now) as f32, s.count.min(u32::from(u16::MAX)) as u16));
        loads.filter(|(_, load, count)| *load >= 0.5 || *count > 0).collect()
    }

    /// Another activator told of its loads; older word of the same life is passed over.
    pub fn record_peer_loads(
        &mut self,
        now: Duration,
        from: ActivatorId,
        (life, number): (u32, u32),
        loads: &[(u32, f32, u16)],
    ) {
        if self.peers.len() >= MOST_PEERS && !self.peers.contains_key(&from) {
            return;
        }
        let known = |(site, load, count): &(u32, f32, u16)| {
            let load = if load.is_finite() { load.clamp(0.0, 1e9) } else { 0.0 };
            Some((self.index_of(SiteId(*site))?, load, *count))
        };
        #[allow(unused_mut, reason = "a planted flaw of the tests adds to it")]
        let mut loads: Vec<(u16, f32, u16)> = loads.iter().filter_map(known).collect();
        #[cfg(test)]
        if self.flaw == Some(crate::faults::Fault::AddsWhatIsToldTwice) {
            loads.extend(self.peers.remove(&from).into_iter().flat_map(|p| p.loads).take(256));
        }
        let old = |p: &Peer| p.life == life && (p.number.wrapping_sub(number) as i32) >= 0;
        if !self.peers.get(&from).is_some_and(old) {
            self.peers.insert(from, Peer { life, number, at: now, loads });
            self.sum(now);
        }
    }

    /// Forgets what was told long ago, and by those that are no members any more.
    pub fn expire_peers(&mut self, now: Duration, period: Duration, members: &[ActivatorId]) {
        self.peers.retain(|name, p| now < p.at + period * TOLD_FOR && members.contains(name));
        self.sum(now);
    }

    /// Sums up what others told. Of a site that came just now they may not know yet: what such a one says of the others
    /// stands for it, or it would look empty until then, and the others as loaded above their due.
    fn sum(&mut self, now: Duration) {
        self.all.iter_mut().for_each(|s| (s.told, s.peer_turn_count) = (0.0, 0.0));
        let fresh: Vec<usize> = (0..self.all.len())
            .filter(|i| self.all[*i].stands && now < self.all[*i].began + FRESH_FOR)
            .collect();
        #[cfg(test)]
        let fresh =
            if self.flaw == Some(crate::faults::Fault::ReturnsWithNothing) { Vec::new() } else { fresh };
        for peer in self.peers.values() {
            let (mut size, mut sum) = (0.0, (0.0, 0.0));
            for (site, load, count) in &peer.loads {
                let Some(s) = self.all.get_mut(*site as usize) else { continue };
                let told = (f64::from(*load), f64::from(*count));
                (s.told, s.peer_turn_count) = (s.told + told.0, s.peer_turn_count + told.1);
                size += s.size();
                sum = (sum.0 + told.0, sum.1 + told.1);
            }
            let untold = |i: &&usize| peer.loads.iter().all(|(site, ..)| usize::from(*site) != **i);
            for i in fresh.iter().filter(untold).filter(|_| size > 0.0) {
                let s = &mut self.all[*i];
                let part = s.size() / size;
                (s.told, s.peer_turn_count) = (s.told + sum.0 * part, s.peer_turn_count + sum.1 * part);
            }
        }
    }

    /// Activators that share the sites: this one and those that were heard.
    pub fn activators(&self) -> usize {
        1 + self.peers.len()
    }

    /// Time has passed: what this activator may have it compute anew has grown.
    fn grow(&mut self, now: Duration, site: u16, in_flight: f64, settings: &Settings) {
        let shares = self.shares();
        let s = &mut self.all[site as usize];
        let past = now.saturating_sub(s.budget_at).as_secs_f64();
        s.budget_at = s.budget_at.max(now);
        let usual = (in_flight - f64::from(s.anew_out)).max(0.0);
        let before = s.busy.unwrap_or(usual);
        let busy = before + (usual - before) * (1.0 - (-past / LOAD_MEMORY).exp());
        s.busy = Some(busy);
        // Of lanes' time each activator is due the same part, and what it leaves unused is its own: so neither needs
        // word from another, and those cut off from each other don't spend it twice.
        let spare = SPARE * s.capacity - busy * shares;
        s.rate =
            (settings.recompute_share * s.capacity).max(spare) / settings.block_cost.as_secs_f64() / shares;
        s.budget = (s.budget + past * s.rate).min(s.rate * BUDGET_FOR);
    }

    fn shares(&self) -> f64 {
        #[cfg(test)]
        if self.flaw == Some(crate::faults::Fault::SharesNoBudget) {
            return 1.0;
        }
        self.activator_count.max(1) as f64
    }

    /// Blocks that this activator may have computed anew there now, and how many more a second.
    pub fn budget(&self, site: u16) -> (f64, f64) {
        let s = &self.all[site as usize];
        (s.budget, s.rate)
    }

    /// How full the budget is, 0 to 1.
    pub fn budget_fill(&self, site: u16) -> f64 {
        let s = &self.all[site as usize];
        (s.budget / (s.rate * BUDGET_FOR).max(1e-9)).clamp(0.0, 1.0)
    }

    /// So many blocks are computed anew there; fewer than none are given back.
    pub fn spend(&mut self, site: u16, blocks: f64) {
        self.all[site as usize].budget -= blocks;
    }
}

#[cfg(test)]
mod tests;
