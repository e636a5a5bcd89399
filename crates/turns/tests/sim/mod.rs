//! A simulated fleet: sites with lanes and a block cache that evicts what was used longest ago, clients with
//! conversations, and ways to route their turns. Deterministic for a seed.
#![allow(dead_code)]

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::time::{Duration, Instant};

use wheellink_turns::*;

/// Price of a block, and of a turn besides, in seconds.
pub const BLOCK: f64 = 0.005;
pub const BASE: f64 = 0.02;
/// An answer after this is late.
pub const AIM: f64 = 0.5;

pub fn at(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

pub fn mix(a: u64, b: u64) -> u64 {
    let mut x = a ^ b.wrapping_mul(0x9E37_79B9_7F4A_7C15);
    x = (x ^ (x >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    x ^ (x >> 31)
}

/// A site's cache and lanes.
pub struct Cache {
    most: usize,
    clock: u64,
    blocks: HashMap<u64, u64>,
    ages: BTreeMap<u64, u64>,
    /// When each lane is free.
    pub lanes: Vec<f64>,
    pub there: bool,
    /// Lane time used, in all and in this window.
    pub work: f64,
    pub window: f64,
}

impl Cache {
    pub fn new(most: usize, lanes: usize) -> Self {
        let (blocks, ages, lanes) = (HashMap::new(), BTreeMap::new(), vec![0.0; lanes]);
        Self { most, clock: 0, blocks, ages, lanes, there: true, work: 0.0, window: 0.0 }
    }

    pub fn holds(&self, prefix: &[u64]) -> usize {
        prefix.iter().take_while(|b| self.blocks.contains_key(b)).count()
    }

    fn touch(&mut self, block: u64) {
        self.clock += 1;
        if let Some(old) = self.blocks.insert(block, self.clock) {
            self.ages.remove(&old);
        }
        self.ages.insert(self.clock, block);
        if self.blocks.len() > self.most {
            let (_, oldest) = self.ages.pop_first().unwrap();
            self.blocks.remove(&oldest);
        }
    }

    /// Runs a turn: blocks found, and when it is done.
    pub fn run(&mut self, now: f64, prefix: &[u64], new: &[u64]) -> (usize, f64) {
        let found = self.holds(prefix);
        // A block is useless without those before it, which therefore go last.
        prefix.iter().chain(new).rev().for_each(|b| self.touch(*b));
        let work = BASE + BLOCK * (prefix.len() - found + new.len()) as f64;
        self.work += work;
        self.window += work;
        let lane = self.lanes.iter_mut().min_by(|a, b| a.total_cmp(b)).unwrap();
        *lane = lane.max(now) + work;
        (found, *lane)
    }

    pub fn clear(&mut self) {
        (self.blocks, self.ages) = (HashMap::new(), BTreeMap::new());
        self.lanes.iter_mut().for_each(|l| *l = 0.0);
    }
}

/// How turns are routed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Way {
    Turns,
    LeastLoaded,
    /// Rendezvous hashing of conversations.
    Hashing,
    /// Knows every cache and every lane, and keeps to the same bound of load.
    SeesAll,
}

/// What a day is like.
#[derive(Clone, Debug)]
pub struct Day {
    pub seed: u64,
    pub way: Way,
    pub sites: usize,
    pub lanes: usize,
    pub blocks: usize,
    pub activators: usize,
    /// Turns a second, and how long conversations wait between theirs.
    pub rate: f64,
    pub think: f64,
    pub turns: f64,
    pub preambles: usize,
    pub length: f64,
    /// A site is lost at the first and back at the second.
    pub lost: Option<(f64, f64)>,
    pub loss: f64,
    /// Of these turns one comes by another activator.
    pub moves: f64,
    /// Sites due another weight than the usual.
    pub weights: Vec<(usize, u16)>,
    pub settings: Settings,
}

impl Day {
    pub fn new(seed: u64, way: Way) -> Self {
        Self {
            seed,
            way,
            sites: 12,
            lanes: 3,
            blocks: 4_000,
            activators: 3,
            rate: 400.0,
            think: 10.0,
            turns: 8.0,
            preambles: 20,
            length: 300.0,
            lost: None,
            loss: 0.02,
            moves: 0.2,
            weights: Vec::new(),
            settings: Settings { table_bytes: 4 << 20, ..Settings::default() },
        }
    }
}

/// What came of it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Result {
    pub calls: u64,
    pub found: f64,
    pub late: f64,
    /// The most lane time of a site over the mean, in all and within 30 s.
    pub load: f64,
    pub load_30s: f64,
    /// The most calls of a site within 10 s over its due by weight, and the mean of the windows' most.
    pub calls_10s: f64,
    /// ... with one call less, as one cannot be split.
    pub calls_10s_less_one: f64,
    pub calls_10s_mean: f64,
    pub held_back: u64,
    pub given_up: u64,
    /// Blocks computed anew for the lost site's conversations at one site within a second, at the most.
    pub anew_1s: f64,
    pub misses: u64,
    pub told_bytes_s: f64,
    /// Share of turns late within 10 s of the loss.
    pub late_after: f64,
    /// Turns at the site that is back within 10 s, over its due.
    pub flood: f64,
}

struct Talk {
    number: u64,
    prefix: Vec<u64>,
    left: u32,
    home: usize,
}

/// A turn that waits: its conversation, what it adds, and since when.
type Held = (Talk, Turn, Vec<u64>, f64);

#[derive(PartialEq)]
struct At(f64);

impl Eq for At {}
impl PartialOrd for At {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for At {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.0.total_cmp(&other.0)
    }
}

enum Due {
    Begin,
    Turn(Box<Talk>),
    Release(usize),
    Done { token: u64, site: usize, by: usize, found: usize, took: f64, life: u32 },
    Wake(usize),
    Datagram(usize, usize, Vec<u8>),
    Window,
    Count,
    Lose,
    Back,
}

/// See the module's page.
pub struct Fleet {
    pub day: Day,
    pub sites: Vec<Cache>,
    pub each: Vec<TurnRouter>,
    /// Turns out at each site, by activator: each knows its own.
    out: Vec<Vec<f64>>,
    counts: Vec<f64>,
    calls_mean: (f64, f64),
    held: Vec<HashMap<WaitingId, Box<Held>>>,
    /// Where conversations lay when a site was lost, and blocks computed anew for its within this second.
    homes: HashMap<u64, usize>,
    displaced: HashMap<u64, ()>,
    anew: (f64, Vec<f64>),
    loads: Vec<(f64, f64)>,
    lives: Vec<u32>,
    rng: fastrand::Rng,
    queue: BinaryHeap<Reverse<(At, u64)>>,
    what: HashMap<u64, Due>,
    next: u64,
    talks: u64,
    asked: f64,
    found: f64,
    late: f64,
    bytes: f64,
    pub result: Result,
    /// Processor time in the crate.
    pub spent: Duration,
    after: (f64, f64),
    back: (f64, f64),
}

impl Fleet {
    pub fn new(day: Day) -> Self {
        let names = (0..day.activators as u32).map(ActivatorId);
        let each = names.clone().map(|me| {
            let seed = mix(day.seed, u64::from(me.0));
            let mut turns = TurnRouter::new(day.settings.clone(), me, me.0 + 1, seed, at(0.0)).unwrap();
            turns.set_members(at(0.0), names.clone());
            for (site, weight) in &day.weights {
                turns.set_site_weight(at(0.0), SiteId(*site as u32), *weight);
            }
            turns
        });
        let mut fleet = Self {
            sites: (0..day.sites).map(|_| Cache::new(day.blocks, day.lanes)).collect(),
            each: each.collect(),
            out: vec![vec![0.0; day.sites]; day.activators],
            counts: vec![0.0; day.sites],
            calls_mean: (0.0, 0.0),
            held: (0..day.activators).map(|_| HashMap::new()).collect(),
            homes: HashMap::new(),
            displaced: HashMap::new(),
            anew: (0.0, vec![0.0; day.sites]),
            loads: vec![(0.0, 0.0); day.sites],
            lives: vec![0; day.sites],
            rng: fastrand::Rng::with_seed(day.seed),
            queue: BinaryHeap::new(),
            what: HashMap::new(),
            next: 0,
            talks: 0,
            asked: 0.0,
            found: 0.0,
            late: 0.0,
            bytes: 0.0,
            result: Result::default(),
            spent: Duration::ZERO,
            after: (0.0, 0.0),
            back: (0.0, 0.0),
            day,
        };
        fleet.at(0.0, Due::Begin);
        (0..fleet.day.activators).for_each(|i| fleet.at(0.01, Due::Wake(i)));
        fleet.at(30.0, Due::Window);
        fleet.at(10.0, Due::Count);
        if let Some((lose, back)) = fleet.day.lost {
            fleet.at(lose, Due::Lose);
            fleet.at(back, Due::Back);
        }
        fleet
    }

    fn at(&mut self, time: f64, due: Due) {
        self.next += 1;
        self.what.insert(self.next, due);
        self.queue.push(Reverse((At(time), self.next)));
    }

    fn pause(&mut self, mean: f64) -> f64 {
        -(1.0 - self.rng.f64()).ln() * mean
    }

    pub fn play(mut self) -> (Result, Self) {
        while let Some(Reverse((At(now), id))) = self.queue.pop() {
            if now > self.day.length {
                break;
            }
            let due = self.what.remove(&id).unwrap();
            self.step(now, due);
        }
        let total: f64 = self.sites.iter().map(|s| s.work).sum();
        let mean = total / self.sites.len() as f64;
        let r = &mut self.result;
        r.found = self.found / self.asked.max(1.0);
        r.late = self.late / r.calls.max(1) as f64;
        r.load = self.sites.iter().map(|s| s.work / mean).fold(0.0, f64::max);
        r.told_bytes_s = self.bytes / self.day.length / self.day.activators as f64;
        r.late_after = self.after.0 / self.after.1.max(1.0);
        r.flood = self.back.0 / (self.back.1 / self.day.sites as f64).max(1.0);
        r.calls_10s_mean = self.calls_mean.0 / self.calls_mean.1.max(1.0);
        r.misses = self.each.iter().map(|t| t.view(at(self.day.length)).misses).sum();
        let result = self.result.clone();
        (result, self)
    }

    fn step(&mut self, now: f64, due: Due) {
        match due {
            Due::Begin => {
                self.talks += 1;
                let number = mix(self.day.seed, self.talks);
                // A few preambles are most of the conversations'.
                let which = (self.rng.f64().powi(2) * self.day.preambles as f64) as u64;
                let prefix = (0..8).map(|i| mix(which + 1, i + 1_000_000)).collect();
                let left = 1 + self.pause(self.day.turns - 1.0) as u32;
                let home = self.rng.usize(..self.day.activators);
                self.turn(now, Talk { number, prefix, left, home });
                let pause = self.pause(self.day.turns / self.day.rate);
                self.at(now + pause, Due::Begin);
            }
            Due::Turn(talk) => self.turn(now, *talk),
            Due::Release(by) => self.release(now, by),
            Due::Done { token, site, by, found, took, life } => {
                self.out[by][site] -= 1.0;
                let begun = Instant::now();
                if life == self.lives[site] {
                    self.each[by].on_answered(at(now), AttemptToken(token), Some(found as u32), at(took));
                } else {
                    self.each[by].on_failed(AttemptToken(token));
                }
                self.spent += begun.elapsed();
            }
            Due::Wake(i) => {
                let mut out = Vec::new();
                let begun = Instant::now();
                self.each[i].wake(at(now), &mut out);
                self.spent += begun.elapsed();
                for Output::Send { to, data } in out {
                    self.bytes += data.len() as f64;
                    if self.rng.f64() >= self.day.loss {
                        let late = self.rng.f64() * 0.02;
                        self.at(now + late, Due::Datagram(i, to.0 as usize, data));
                    }
                }
                self.release(now, i);
                let next = self.each[i].wake_at().map_or(1e9, |d| d.as_secs_f64());
                self.at(next.max(now + 0.001), Due::Wake(i));
            }
            Due::Datagram(from, to, data) => {
                let begun = Instant::now();
                self.each[to].receive(at(now), ActivatorId(from as u32), &data, &mut Vec::new());
                self.spent += begun.elapsed();
            }
            Due::Window => {
                let there = self.sites.iter().filter(|s| s.there).count() as f64;
                let mean = self.sites.iter().map(|s| s.window).sum::<f64>() / there;
                let most = self.sites.iter().map(|s| s.window / mean).fold(0.0, f64::max);
                // The first minute fills caches; a window with a loss in it has no mean.
                let torn =
                    self.day.lost.is_some_and(|(a, b)| [a, b].iter().any(|t| (now - 30.0..now).contains(t)));
                if now > 60.0 && !torn {
                    self.result.load_30s = self.result.load_30s.max(most);
                }
                self.sites.iter_mut().for_each(|s| s.window = 0.0);
                self.at(now + 30.0, Due::Window);
            }
            Due::Count => {
                let weight = |site: usize| {
                    let own = self.day.weights.iter().find(|(s, _)| *s == site);
                    own.map_or(1.0, |(_, w)| f64::from(*w) / f64::from(DEFAULT_WEIGHT))
                };
                let there: Vec<usize> = (0..self.sites.len()).filter(|i| self.sites[*i].there).collect();
                let unit = self.counts.iter().sum::<f64>() / there.iter().map(|i| weight(*i)).sum::<f64>();
                let most = there.iter().map(|i| self.counts[*i] / (unit * weight(*i))).fold(0.0, f64::max);
                let torn =
                    self.day.lost.is_some_and(|(a, b)| [a, b].iter().any(|t| (now - 10.0..=now).contains(t)));
                if now > 60.0 && !torn {
                    self.result.calls_10s = self.result.calls_10s.max(most);
                    let less = there.iter().map(|i| (self.counts[*i] - 1.0) / (unit * weight(*i)));
                    self.result.calls_10s_less_one = less.fold(self.result.calls_10s_less_one, f64::max);
                    self.calls_mean = (self.calls_mean.0 + most, self.calls_mean.1 + 1.0);
                }
                self.counts.fill(0.0);
                self.at(now + 10.0, Due::Count);
            }
            Due::Lose => {
                self.displaced =
                    self.homes.iter().filter(|(_, site)| **site == 0).map(|(talk, _)| (*talk, ())).collect();
                (self.sites[0].there, self.lives[0]) = (false, self.lives[0] + 1);
                self.sites[0].clear();
                self.each.iter_mut().for_each(|t| t.site_lost(SiteId(0)));
            }
            Due::Back => {
                self.sites[0].there = true;
                self.each.iter_mut().for_each(|t| t.site_returned(at(now), SiteId(0)));
            }
        }
    }

    fn turn(&mut self, now: f64, mut talk: Talk) {
        let new: Vec<u64> =
            (0..self.rng.u64(1..=4)).map(|i| mix(talk.number, talk.prefix.len() as u64 + i)).collect();
        if talk.prefix.len() + new.len() > MAX_HASHES {
            return;
        }
        if self.rng.f64() < self.day.moves {
            talk.home = self.rng.usize(..self.day.activators);
        }
        let turn = Turn {
            conversation: talk.number,
            tenant: (talk.number % 7) as u32,
            prefix: talk.prefix.clone(),
            new_blocks: new.len() as u16,
            worth: 1.0,
            time_left: at(AIM),
        };
        let by = talk.home;
        self.place(now, talk, turn, new, by);
    }

    /// The sites as an activator knows them: what it has out itself; hosts' own reports are not told here.
    fn sites_now(&self, by: usize) -> Vec<SiteStatus> {
        let there = (0..self.sites.len()).filter(|i| self.sites[*i].there);
        let now = |i: usize| SiteStatus {
            site: SiteId(i as u32),
            capacity: self.day.lanes as f64,
            in_flight: self.out[by][i],
            remote: false,
        };
        there.map(now).collect()
    }

    fn release(&mut self, now: f64, by: usize) {
        loop {
            let sites = self.sites_now(by);
            let begun = Instant::now();
            let released = self.each[by].release(at(now), &sites);
            self.spent += begun.elapsed();
            let Some((waiting, advice)) = released else { break };
            let (talk, turn, new, began) = *self.held[by].remove(&waiting).expect("it waits");
            assert!(now <= began + AIM * 0.3 + 1e-6, "held beyond its time");
            match advice.decision {
                Decision::Send => {
                    let site = advice.choices[0].site.0 as usize;
                    self.send(now, talk, turn, new, began, by, site);
                }
                Decision::Reject => self.give_up(now, talk),
                Decision::Wait(..) => panic!("it waits again"),
            }
        }
        if let Some(next) = self.each[by].wake_at().filter(|_| !self.held[by].is_empty()) {
            self.at(next.as_secs_f64().max(now + 1e-6), Due::Release(by));
        }
    }

    /// Its client tries again with the same turn after a while.
    fn give_up(&mut self, now: f64, talk: Talk) {
        self.result.given_up += 1;
        self.result.calls += 1;
        self.late += 1.0;
        let pause = self.pause(self.day.think);
        self.at(now + pause, Due::Turn(Box::new(talk)));
    }

    fn place(&mut self, now: f64, talk: Talk, turn: Turn, new: Vec<u64>, by: usize) {
        let there: Vec<usize> = (0..self.sites.len()).filter(|i| self.sites[*i].there).collect();
        let least =
            |s: &Self, i: &usize| s.out.iter().map(|o| o[*i]).sum::<f64>() / s.sites[*i].lanes.len() as f64;
        let site = match self.day.way {
            Way::Turns => {
                let sites = self.sites_now(by);
                let begun = Instant::now();
                let advice = self.each[by].place(at(now), &turn, &sites);
                self.spent += begun.elapsed();
                match advice.decision {
                    Decision::Send => {}
                    Decision::Reject => return self.give_up(now, talk),
                    Decision::Wait(waiting, until) => {
                        self.result.held_back += 1;
                        self.held[by].insert(waiting, Box::new((talk, turn, new, now)));
                        return self.at(until.as_secs_f64().min(now + 0.01), Due::Release(by));
                    }
                }
                assert!(advice.choices.len() <= MAX_CHOICES && !advice.choices.is_empty());
                assert!(
                    advice.choices.iter().all(|c| self.sites[c.site.0 as usize].there),
                    "advice names a lost site"
                );
                advice.choices[0].site.0 as usize
            }
            Way::LeastLoaded => {
                let tie = self.rng.usize(..there.len());
                let order = (0..there.len()).map(|k| there[(k + tie) % there.len()]);
                order.min_by(|a, b| least(self, a).total_cmp(&least(self, b))).unwrap()
            }
            Way::Hashing => *there.iter().max_by_key(|i| mix(turn.conversation, **i as u64 + 1)).unwrap(),
            Way::SeesAll => {
                let mean = there.iter().map(|i| self.load(now, *i)).sum::<f64>() / there.len() as f64;
                let cost = |i: &usize| {
                    let s = &self.sites[*i];
                    let wait = s.lanes.iter().fold(f64::MAX, |a, l| a.min(*l)) - now;
                    let work = BLOCK * (turn.prefix.len() - s.holds(&turn.prefix)) as f64;
                    let over = self.load(now, *i) + work + BASE > self.day.settings.bound * mean.max(0.05);
                    (over, wait.max(0.0) + work + self.load(now, *i) / mean.max(0.05) * BASE)
                };
                let pick = |a: &&usize, b: &&usize| {
                    let (a, b) = (cost(a), cost(b));
                    a.0.cmp(&b.0).then(a.1.total_cmp(&b.1))
                };
                *there.iter().min_by(pick).unwrap()
            }
        };
        self.send(now, talk, turn, new, now, by, site);
    }

    #[allow(clippy::too_many_arguments)]
    fn send(&mut self, now: f64, talk: Talk, turn: Turn, new: Vec<u64>, began: f64, by: usize, site: usize) {
        self.next += 1;
        let token = self.next;
        if self.day.way == Way::Turns {
            let begun = Instant::now();
            self.each[by].on_sent(at(now), AttemptToken(token), &turn, SiteId(site as u32));
            self.spent += begun.elapsed();
        }
        self.out[by][site] += 1.0;
        self.counts[site] += 1.0;
        let (found, done) = self.sites[site].run(now, &turn.prefix, &new);
        if now.floor() > self.anew.0 {
            self.anew.0 = now.floor();
            self.anew.1.fill(0.0);
        }
        if self.displaced.remove(&turn.conversation).is_some() {
            self.anew.1[site] += (turn.prefix.len() - found) as f64;
            self.result.anew_1s = self.result.anew_1s.max(self.anew.1[site]);
        }
        self.homes.insert(turn.conversation, site);
        let load = self.load(now, site) + BASE + BLOCK * (turn.prefix.len() - found + new.len()) as f64;
        self.loads[site] = (load, now);
        let took = done - now;
        self.at(done, Due::Done { token, site, by, found, took, life: self.lives[site] });
        self.result.calls += 1;
        let late = done - began > AIM;
        self.late += f64::from(u8::from(late));
        // The first minute fills caches.
        if now > 60.0 {
            self.asked += turn.prefix.len() as f64;
            self.found += found as f64;
        }
        if let Some((lose, back)) = self.day.lost {
            if (lose..lose + 10.0).contains(&now) {
                self.after = (self.after.0 + f64::from(u8::from(late)), self.after.1 + 1.0);
            }
            if (back..back + 10.0).contains(&now) {
                self.back = (self.back.0 + f64::from(u8::from(site == 0)), self.back.1 + 1.0);
            }
        }
        let mut talk = talk;
        if talk.left <= 1 {
            self.homes.remove(&talk.number);
        }
        talk.prefix.extend(new);
        talk.left -= 1;
        if talk.left > 0 {
            let pause = self.pause(self.day.think);
            self.at(done + pause, Due::Turn(Box::new(talk)));
        }
    }

    /// Lane time lately given to a site, with a memory of 5 s.
    fn load(&self, now: f64, site: usize) -> f64 {
        let (load, since) = self.loads[site];
        load * (-(now - since) / 5.0).exp()
    }
}
