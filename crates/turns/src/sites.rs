//! What is known of each site: how long it keeps what it was sent, its load, its budget of computing anew.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::terms::{Name, Settings, Site, MOST_SITES, USUAL_WEIGHT};

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
/// So many conversations one after another that lost all where nearly all was expected tell that a cache is gone.
const EMPTY_AFTER: u8 = 6;
/// A cache is taken to be filling until it computed this multiple of its horizon.
const FILLING: f64 = 2.0;
/// What other activators told of loads is forgotten after so many periods.
const TOLD_FOR: u32 = 8;
/// Other activators whose word is kept.
const MOST_PEERS: usize = 1024;

/// One site.
pub(crate) struct State {
    pub site: Site,
    /// It was not lost since it was last told to be there.
    pub there: bool,
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
    /// Blocks that may be computed anew just now, and as of when.
    budget: f64,
    budget_at: Duration,
    capacity: f64,
    missing: u8,
    missed: u64,
    pub turns: u64,
}

impl State {
    fn new(site: Site, now: Duration) -> Self {
        Self {
            site,
            there: true,
            weight: 1.0,
            clock: 0,
            life: 0,
            born: 0,
            ln_horizon: FIRST_HORIZON.ln(),
            seen: 0.0,
            load: 0.0,
            load_at: now,
            told: 0.0,
            budget: 0.0,
            budget_at: now,
            capacity: 1.0,
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

    fn load_now(&self, now: Duration) -> f64 {
        self.load * (-now.saturating_sub(self.load_at).as_secs_f64() / LOAD_MEMORY).exp()
    }
}

/// What another activator told of loads.
struct Peer {
    life: u32,
    number: u32,
    at: Duration,
    loads: Vec<(u16, f32)>,
}

/// All sites.
#[derive(Default)]
pub(crate) struct Sites {
    pub all: Vec<State>,
    places: BTreeMap<Site, u16>,
    peers: BTreeMap<Name, Peer>,
    /// Blocks computed at all of them.
    pub clock: u32,
}

impl Sites {
    /// The place of a site, which is met with that; none where there are too many.
    pub fn meet(&mut self, now: Duration, site: Site) -> Option<u16> {
        if let Some(place) = self.places.get(&site) {
            return Some(*place);
        }
        let place = if self.all.len() < MOST_SITES {
            self.all.push(State::new(site, now));
            self.all.len() - 1
        } else {
            // One that is gone makes room, with all that was believed of it.
            let place = self.all.iter().position(|s| !s.there)?;
            let life = self.all[place].life.wrapping_add(1);
            self.places.remove(&self.all[place].site);
            self.all[place] = State { life, ..State::new(site, now) };
            place
        };
        self.places.insert(site, place as u16);
        Some(place as u16)
    }

    pub fn place(&self, site: Site) -> Option<u16> {
        self.places.get(&site).copied()
    }

    pub fn weigh(&mut self, now: Duration, site: Site, weight: u16) {
        if let Some(place) = self.meet(now, site) {
            self.all[place as usize].weight = f64::from(weight.min(1_000)) / f64::from(USUAL_WEIGHT);
        }
    }

    /// What the site held is gone.
    pub fn empty(&mut self, site: u16) {
        let s = &mut self.all[site as usize];
        (s.life, s.born) = (s.life.wrapping_add(1), s.clock);
    }

    pub fn lost(&mut self, site: Site) {
        if let Some(place) = self.place(site).filter(|p| self.all[*p as usize].there) {
            self.empty(place);
            self.all[place as usize].there = false;
        }
    }

    /// It is there again, with as much load as the others have: having none, it would be sent all that is new.
    pub fn back(&mut self, now: Duration, site: Site) {
        let Some(place) = self.meet(now, site).filter(|p| !self.all[*p as usize].there) else { return };
        let there: Vec<f64> = self.all.iter().filter(|s| s.there).map(|s| s.load_now(now)).collect();
        let mean = there.iter().sum::<f64>() / there.len().max(1) as f64;
        let s = &mut self.all[place as usize];
        (s.there, s.load, s.load_at, s.budget, s.budget_at) = (true, mean, now, 0.0, now);
    }

    /// It is made to compute so many blocks, one of them for the turn itself.
    pub fn sent(&mut self, now: Duration, site: u16, blocks: f64) {
        let s = &mut self.all[site as usize];
        s.fade(now);
        s.load += blocks;
        s.turns += 1;
        s.clock = s.clock.wrapping_add(blocks as u32);
        self.clock = self.clock.wrapping_add(blocks as u32);
    }

    /// It computed so many blocks more than it was believed to.
    pub fn missed(&mut self, now: Duration, site: u16, blocks: f64) {
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

    /// What this one has to tell of loads.
    pub fn loads(&self, now: Duration) -> Vec<(u32, f32)> {
        let loads = self.all.iter().filter(|s| s.there).map(|s| (s.site.0, s.load_now(now) as f32));
        loads.filter(|(_, load)| *load >= 0.5).collect()
    }

    /// Another activator told of its loads; older word of the same life is passed over.
    pub fn told(&mut self, now: Duration, from: Name, (life, number): (u32, u32), loads: &[(u32, f32)]) {
        if self.peers.len() >= MOST_PEERS && !self.peers.contains_key(&from) {
            return;
        }
        let known = |(site, load): &(u32, f32)| {
            let load = if load.is_finite() { load.clamp(0.0, 1e9) } else { 0.0 };
            Some((self.place(Site(*site))?, load))
        };
        let loads = loads.iter().filter_map(known).collect();
        let old = |p: &Peer| p.life == life && (p.number.wrapping_sub(number) as i32) >= 0;
        if !self.peers.get(&from).is_some_and(old) {
            self.peers.insert(from, Peer { life, number, at: now, loads });
            self.sum();
        }
    }

    /// Forgets what was told long ago, and by those that are no fellows any more.
    pub fn forget(&mut self, now: Duration, period: Duration, fellows: &[Name]) {
        self.peers.retain(|name, p| now < p.at + period * TOLD_FOR && fellows.contains(name));
        self.sum();
    }

    fn sum(&mut self) {
        self.all.iter_mut().for_each(|s| s.told = 0.0);
        for (site, load) in self.peers.values().flat_map(|p| &p.loads) {
            if let Some(s) = self.all.get_mut(*site as usize) {
                s.told += f64::from(*load);
            }
        }
    }

    /// Activators that share the sites: this one and those that were heard.
    pub fn activators(&self) -> usize {
        1 + self.peers.len()
    }

    /// The site is as large as this: what it may compute anew grows with time.
    pub fn grow(&mut self, now: Duration, site: u16, capacity: f64, settings: &Settings) -> f64 {
        let rate = self.rate(capacity, settings);
        let s = &mut self.all[site as usize];
        let past = now.saturating_sub(s.budget_at).as_secs_f64();
        s.capacity = capacity;
        s.budget = (s.budget + past * rate).min(rate);
        s.budget_at = s.budget_at.max(now);
        s.budget
    }

    /// Blocks a second that this activator may have a site of this capacity compute anew.
    pub fn rate(&self, capacity: f64, settings: &Settings) -> f64 {
        capacity * settings.anew / settings.block.as_secs_f64() / self.activators() as f64
    }

    pub fn spend(&mut self, site: u16, blocks: f64) {
        self.all[site as usize].budget -= blocks;
    }

    pub fn budget(&self, site: u16) -> f64 {
        self.all[site as usize].budget
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_horizon_is_learnt_whatever_it_is_and_follows_when_it_changes() {
        for seed in 0..8 {
            let mut rng = fastrand::Rng::with_seed(seed);
            let mut s = State::new(Site(1), Duration::ZERO);
            s.clock = 10_000_000;
            for horizon in [3_000.0, 200.0, 50_000.0, 900.0] {
                for _ in 0..1_500 {
                    // Ages as a router has them: mostly of what it holds for likely there.
                    let age = s.horizon() * 4.0 * rng.f64().powi(2);
                    s.learn(s.clock - age as u32, f64::from(u8::from(age < horizon)), 1.0);
                }
                let found = s.horizon() / horizon;
                assert!((0.5..2.0).contains(&found), "seed {seed}: {found} of {horizon}");
            }
        }
    }

    #[test]
    fn a_site_back_has_the_others_load_and_what_it_held_is_void() {
        let (mut sites, now) = (Sites::default(), Duration::from_secs(1));
        let places: Vec<u16> = (0..3).map(|i| sites.meet(now, Site(i)).unwrap()).collect();
        places.iter().for_each(|p| sites.sent(now, *p, 100.0));
        sites.lost(Site(1));
        sites.lost(Site(1));
        assert_eq!(sites.all[1].life, 1);
        let later = now + Duration::from_secs(20);
        sites.sent(later, 0, 90.0);
        sites.sent(later, 2, 110.0);
        sites.back(later, Site(1));
        let mean = (sites.load(later, 0) + sites.load(later, 2)) / 2.0;
        assert!(
            mean > 100.0 && (sites.load(later, 1) - mean).abs() < 1.0,
            "{} and {mean}",
            sites.load(later, 1)
        );
    }

    #[test]
    fn sites_and_fellows_are_bounded() {
        let (mut sites, now) = (Sites::default(), Duration::ZERO);
        let met = (0..1_000).filter(|i| sites.meet(now, Site(*i)).is_some()).count();
        assert_eq!((met, sites.all.len()), (MOST_SITES, MOST_SITES));
        sites.lost(Site(7));
        assert!(sites.meet(now, Site(5_000)).is_some() && sites.place(Site(7)).is_none());
        assert!(sites.meet(now, Site(5_001)).is_none());
        for i in 0..3_000 {
            sites.told(now, Name(i), (1, 1), &[(3, f32::NAN), (4, 2.0)]);
        }
        assert_eq!((sites.peers.len(), sites.load(now, 3)), (MOST_PEERS, 0.0));
        assert_eq!(sites.load(now, 4), 2.0 * MOST_PEERS as f64);
        // Older word, and doubled word, changes nothing.
        sites.told(now, Name(1), (1, 1), &[(4, 50.0)]);
        assert_eq!(sites.load(now, 4), 2.0 * MOST_PEERS as f64);
        sites.forget(now, Duration::from_secs(1), &[Name(1)]);
        assert_eq!((sites.activators(), sites.load(now, 4)), (2, 2.0));
    }
}
