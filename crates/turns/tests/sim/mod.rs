//! A simulated fleet: sites with lanes and an LRU block cache, clients with conversations, and routing policies.
//! Deterministic for a seed.
#![allow(dead_code)]

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::time::{Duration, Instant};

use wheellink_turns::*;

/// Lane time to compute a block, and fixed lane time per turn, in seconds.
pub const BLOCK_SECS: f64 = 0.005;
pub const BASE_SECS: f64 = 0.02;
/// An answer after this many seconds is late.
pub const AIM_SECS: f64 = 0.5;

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
    capacity: usize,
    clock: u64,
    blocks: HashMap<u64, u64>,
    ages: BTreeMap<u64, u64>,
    /// When each lane becomes free.
    pub lanes: Vec<f64>,
    pub up: bool,
    /// Lane time used in total, and in the current window.
    pub work: f64,
    pub window: f64,
}

impl Cache {
    pub fn new(capacity: usize, lanes: usize) -> Self {
        let (blocks, ages, lanes) = (HashMap::new(), BTreeMap::new(), vec![0.0; lanes]);
        Self { capacity, clock: 0, blocks, ages, lanes, up: true, work: 0.0, window: 0.0 }
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
        if self.blocks.len() > self.capacity {
            let (_, oldest) = self.ages.pop_first().unwrap();
            self.blocks.remove(&oldest);
        }
    }

    /// Runs a turn; returns the number of blocks found and the time when it is done.
    pub fn run(&mut self, now: f64, prefix: &[u64], new: &[u64]) -> (usize, f64) {
        let found = self.holds(prefix);
        // A block is useless without the ones before it, so the last blocks are evicted first.
        prefix.iter().chain(new).rev().for_each(|b| self.touch(*b));
        let work = BASE_SECS + BLOCK_SECS * (prefix.len() - found + new.len()) as f64;
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

/// Routing policies.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Policy {
    Router,
    LeastLoaded,
    /// Rendezvous hashing of conversations.
    Hashing,
    /// An oracle that knows every cache and every lane, with the same load bound.
    Oracle,
}

/// The parameters of a simulated day.
#[derive(Clone, Debug)]
pub struct Config {
    pub seed: u64,
    pub policy: Policy,
    pub sites: usize,
    pub lanes: usize,
    pub blocks: usize,
    pub activators: usize,
    /// Turns per second, and the pause between the turns of a conversation in seconds.
    pub rate: f64,
    pub think: f64,
    pub turns: f64,
    pub preambles: usize,
    pub length: f64,
    /// When a site is lost, and when it returns.
    pub lost: Option<(f64, f64)>,
    pub loss: f64,
    /// Fraction of turns that arrive at a randomly chosen activator instead of the previous one.
    pub moves: f64,
    /// Sites with another weight than the default.
    pub weights: Vec<(usize, u16)>,
    pub settings: Settings,
}

impl Config {
    pub fn new(seed: u64, policy: Policy) -> Self {
        Self {
            seed,
            policy,
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

/// What was measured.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Metrics {
    pub calls: u64,
    pub found: f64,
    pub late: f64,
    /// Largest lane time of a site relative to the mean, in total and within 30 s.
    pub load: f64,
    pub load_30s: f64,
    /// Largest number of calls of a site within 10 s relative to its share by weight.
    pub calls_10s: f64,
    /// The same with one call less, since a call cannot be split, and the mean over the windows of their largest
    /// value.
    pub calls_10s_less_one: f64,
    pub calls_10s_mean: f64,
    pub queued: u64,
    pub rejected: u64,
    /// Largest number of blocks recomputed for the lost site's conversations at one site within a second.
    pub recomputed_1s: f64,
    pub misses: u64,
    pub told_bytes_s: f64,
    /// Share of turns late within 10 s of the loss.
    pub after_loss: f64,
    /// Turns at the returned site within 10 s, relative to its share.
    pub after_return: f64,
}

struct Chat {
    number: u64,
    prefix: Vec<u64>,
    left: u32,
    activator: usize,
}

/// A waiting turn: its conversation, the blocks it adds, and since when it waits.
type WaitingChat = (Chat, Turn, Vec<u64>, f64);

#[derive(PartialEq)]
struct Time(f64);

impl Eq for Time {}
impl PartialOrd for Time {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Time {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.0.total_cmp(&other.0)
    }
}

enum Event {
    Begin,
    Turn(Box<Chat>),
    Release(usize),
    Done { token: u64, site: usize, by: usize, found: usize, took: f64, epoch: u32 },
    Timers(usize),
    Datagram(usize, usize, Vec<u8>),
    Window,
    Count,
    Lose,
    Back,
}

/// The simulated fleet.
pub struct Fleet {
    pub cfg: Config,
    pub sites: Vec<Cache>,
    pub routers: Vec<TurnRouter>,
    /// Turns in flight at each site, by activator: each knows only its own.
    out: Vec<Vec<f64>>,
    counts: Vec<f64>,
    calls_mean: (f64, f64),
    waiting: Vec<HashMap<WaitingId, Box<WaitingChat>>>,
    /// The site that each conversation was served at last, the conversations whose site was lost, and the blocks
    /// recomputed for these within the current second, by site.
    homes: HashMap<u64, usize>,
    displaced: HashMap<u64, ()>,
    recomputed: (f64, Vec<f64>),
    loads: Vec<(f64, f64)>,
    epochs: Vec<u32>,
    rng: fastrand::Rng,
    queue: BinaryHeap<Reverse<(Time, u64)>>,
    events: HashMap<u64, Event>,
    next: u64,
    chats: u64,
    asked: f64,
    found: f64,
    late: f64,
    bytes: f64,
    pub result: Metrics,
    /// Processor time spent in the crate.
    pub spent: Duration,
    after: (f64, f64),
    back: (f64, f64),
}

impl Fleet {
    pub fn new(cfg: Config) -> Self {
        let names = (0..cfg.activators as u32).map(MemberId);
        let routers = names.clone().map(|me| {
            let seed = mix(cfg.seed, u64::from(me.0));
            let mut turns = TurnRouter::new(cfg.settings.clone(), me, me.0 + 1, seed, at(0.0)).unwrap();
            turns.set_members(at(0.0), names.clone());
            for (site, weight) in &cfg.weights {
                turns.set_site_weight(at(0.0), SiteId(*site as u32), *weight);
            }
            turns
        });
        let mut fleet = Self {
            sites: (0..cfg.sites).map(|_| Cache::new(cfg.blocks, cfg.lanes)).collect(),
            routers: routers.collect(),
            out: vec![vec![0.0; cfg.sites]; cfg.activators],
            counts: vec![0.0; cfg.sites],
            calls_mean: (0.0, 0.0),
            waiting: (0..cfg.activators).map(|_| HashMap::new()).collect(),
            homes: HashMap::new(),
            displaced: HashMap::new(),
            recomputed: (0.0, vec![0.0; cfg.sites]),
            loads: vec![(0.0, 0.0); cfg.sites],
            epochs: vec![0; cfg.sites],
            rng: fastrand::Rng::with_seed(cfg.seed),
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            next: 0,
            chats: 0,
            asked: 0.0,
            found: 0.0,
            late: 0.0,
            bytes: 0.0,
            result: Metrics::default(),
            spent: Duration::ZERO,
            after: (0.0, 0.0),
            back: (0.0, 0.0),
            cfg,
        };
        fleet.at(0.0, Event::Begin);
        (0..fleet.cfg.activators).for_each(|i| fleet.at(0.01, Event::Timers(i)));
        fleet.at(30.0, Event::Window);
        fleet.at(10.0, Event::Count);
        if let Some((lose, back)) = fleet.cfg.lost {
            fleet.at(lose, Event::Lose);
            fleet.at(back, Event::Back);
        }
        fleet
    }

    fn at(&mut self, time: f64, event: Event) {
        self.next += 1;
        self.events.insert(self.next, event);
        self.queue.push(Reverse((Time(time), self.next)));
    }

    fn pause(&mut self, mean: f64) -> f64 {
        -(1.0 - self.rng.f64()).ln() * mean
    }

    pub fn play(mut self) -> (Metrics, Self) {
        while let Some(Reverse((Time(now), id))) = self.queue.pop() {
            if now > self.cfg.length {
                break;
            }
            let event = self.events.remove(&id).unwrap();
            self.step(now, event);
        }
        let total: f64 = self.sites.iter().map(|s| s.work).sum();
        let mean = total / self.sites.len() as f64;
        let r = &mut self.result;
        r.found = self.found / self.asked.max(1.0);
        r.late = self.late / r.calls.max(1) as f64;
        r.load = self.sites.iter().map(|s| s.work / mean).fold(0.0, f64::max);
        r.told_bytes_s = self.bytes / self.cfg.length / self.cfg.activators as f64;
        r.after_loss = self.after.0 / self.after.1.max(1.0);
        r.after_return = self.back.0 / (self.back.1 / self.cfg.sites as f64).max(1.0);
        r.calls_10s_mean = self.calls_mean.0 / self.calls_mean.1.max(1.0);
        r.misses = self.routers.iter().map(|t| t.view(at(self.cfg.length)).misses).sum();
        let result = self.result.clone();
        (result, self)
    }

    fn step(&mut self, now: f64, event: Event) {
        match event {
            Event::Begin => {
                self.chats += 1;
                let number = mix(self.cfg.seed, self.chats);
                // A few preambles are used by most of the conversations.
                let which = (self.rng.f64().powi(2) * self.cfg.preambles as f64) as u64;
                let prefix = (0..8).map(|i| mix(which + 1, i + 1_000_000)).collect();
                let left = 1 + self.pause(self.cfg.turns - 1.0) as u32;
                let activator = self.rng.usize(..self.cfg.activators);
                self.turn(now, Chat { number, prefix, left, activator });
                let pause = self.pause(self.cfg.turns / self.cfg.rate);
                self.at(now + pause, Event::Begin);
            }
            Event::Turn(chat) => self.turn(now, *chat),
            Event::Release(by) => self.release(now, by),
            Event::Done { token, site, by, found, took, epoch } => {
                self.out[by][site] -= 1.0;
                let started = Instant::now();
                if epoch == self.epochs[site] {
                    self.routers[by].on_answered(at(now), AttemptToken(token), Some(found as u32), at(took));
                } else {
                    self.routers[by].on_failed(AttemptToken(token));
                }
                self.spent += started.elapsed();
            }
            Event::Timers(i) => {
                let mut out = Vec::new();
                let started = Instant::now();
                self.routers[i].handle_timers(at(now), &mut out);
                self.spent += started.elapsed();
                for Output::Send { to, data } in out {
                    self.bytes += data.len() as f64;
                    if self.rng.f64() >= self.cfg.loss {
                        let late = self.rng.f64() * 0.02;
                        self.at(now + late, Event::Datagram(i, to.0 as usize, data));
                    }
                }
                self.release(now, i);
                let next = self.routers[i].next_timer_at().map_or(1e9, |d| d.as_secs_f64());
                self.at(next.max(now + 0.001), Event::Timers(i));
            }
            Event::Datagram(from, to, data) => {
                let started = Instant::now();
                self.routers[to].receive(at(now), MemberId(from as u32), &data, &mut Vec::new());
                self.spent += started.elapsed();
            }
            Event::Window => {
                let up = self.sites.iter().filter(|s| s.up).count() as f64;
                let mean = self.sites.iter().map(|s| s.window).sum::<f64>() / up;
                let largest = self.sites.iter().map(|s| s.window / mean).fold(0.0, f64::max);
                // The first minute fills the caches; a window that contains a loss or a return has no meaningful
                // mean.
                let skip =
                    self.cfg.lost.is_some_and(|(a, b)| [a, b].iter().any(|t| (now - 30.0..now).contains(t)));
                if now > 60.0 && !skip {
                    self.result.load_30s = self.result.load_30s.max(largest);
                }
                self.sites.iter_mut().for_each(|s| s.window = 0.0);
                self.at(now + 30.0, Event::Window);
            }
            Event::Count => {
                let weight = |site: usize| {
                    let own = self.cfg.weights.iter().find(|(s, _)| *s == site);
                    own.map_or(1.0, |(_, w)| f64::from(*w) / f64::from(DEFAULT_WEIGHT))
                };
                let up: Vec<usize> = (0..self.sites.len()).filter(|i| self.sites[*i].up).collect();
                let unit = self.counts.iter().sum::<f64>() / up.iter().map(|i| weight(*i)).sum::<f64>();
                let largest = up.iter().map(|i| self.counts[*i] / (unit * weight(*i))).fold(0.0, f64::max);
                let skip =
                    self.cfg.lost.is_some_and(|(a, b)| [a, b].iter().any(|t| (now - 10.0..=now).contains(t)));
                if now > 60.0 && !skip {
                    self.result.calls_10s = self.result.calls_10s.max(largest);
                    let less = up.iter().map(|i| (self.counts[*i] - 1.0) / (unit * weight(*i)));
                    self.result.calls_10s_less_one = less.fold(self.result.calls_10s_less_one, f64::max);
                    self.calls_mean = (self.calls_mean.0 + largest, self.calls_mean.1 + 1.0);
                }
                self.counts.fill(0.0);
                self.at(now + 10.0, Event::Count);
            }
            Event::Lose => {
                self.displaced =
                    self.homes.iter().filter(|(_, site)| **site == 0).map(|(chat, _)| (*chat, ())).collect();
                (self.sites[0].up, self.epochs[0]) = (false, self.epochs[0] + 1);
                self.sites[0].clear();
                self.routers.iter_mut().for_each(|t| t.site_lost(SiteId(0)));
            }
            Event::Back => {
                self.sites[0].up = true;
                self.routers.iter_mut().for_each(|t| t.site_returned(at(now), SiteId(0)));
            }
        }
    }

    fn turn(&mut self, now: f64, mut chat: Chat) {
        let new: Vec<u64> =
            (0..self.rng.u64(1..=4)).map(|i| mix(chat.number, chat.prefix.len() as u64 + i)).collect();
        if chat.prefix.len() + new.len() > MAX_HASHES {
            return;
        }
        if self.rng.f64() < self.cfg.moves {
            chat.activator = self.rng.usize(..self.cfg.activators);
        }
        let turn = Turn {
            conversation: chat.number,
            tenant: (chat.number % 7) as u32,
            prefix: chat.prefix.clone(),
            new_blocks: new.len() as u16,
            worth: 1.0,
            time_left: at(AIM_SECS),
        };
        let by = chat.activator;
        self.place(now, chat, turn, new, by);
    }

    /// The sites as an activator knows them: with its own turns in flight; hosts do not report theirs here.
    fn sites_now(&self, by: usize) -> Vec<SiteStatus> {
        let up = (0..self.sites.len()).filter(|i| self.sites[*i].up);
        let now = |i: usize| SiteStatus {
            site: SiteId(i as u32),
            capacity: self.cfg.lanes as f64,
            in_flight: self.out[by][i],
            remote: false,
        };
        up.map(now).collect()
    }

    fn release(&mut self, now: f64, by: usize) {
        loop {
            let sites = self.sites_now(by);
            let started = Instant::now();
            let released = self.routers[by].release(at(now), &sites);
            self.spent += started.elapsed();
            let Some((waiting, advice)) = released else { break };
            let (chat, turn, new, since) = *self.waiting[by].remove(&waiting).expect("turn is waiting");
            assert!(now <= since + AIM_SECS * 0.3 + 1e-6, "turn waits beyond its deadline");
            match advice.decision {
                Decision::Send => {
                    let site = advice.choices[0].site.0 as usize;
                    self.send(now, chat, turn, new, since, by, site);
                }
                Decision::Reject => self.reject(now, chat),
                Decision::Wait(..) => panic!("released turn waits again"),
            }
        }
        if let Some(next) = self.routers[by].next_timer_at().filter(|_| !self.waiting[by].is_empty()) {
            self.at(next.as_secs_f64().max(now + 1e-6), Event::Release(by));
        }
    }

    /// The client tries again with the same turn after a pause.
    fn reject(&mut self, now: f64, chat: Chat) {
        self.result.rejected += 1;
        self.result.calls += 1;
        self.late += 1.0;
        let pause = self.pause(self.cfg.think);
        self.at(now + pause, Event::Turn(Box::new(chat)));
    }

    fn place(&mut self, now: f64, chat: Chat, turn: Turn, new: Vec<u64>, by: usize) {
        let up: Vec<usize> = (0..self.sites.len()).filter(|i| self.sites[*i].up).collect();
        let least =
            |s: &Self, i: &usize| s.out.iter().map(|o| o[*i]).sum::<f64>() / s.sites[*i].lanes.len() as f64;
        let site = match self.cfg.policy {
            Policy::Router => {
                let sites = self.sites_now(by);
                let started = Instant::now();
                let advice = self.routers[by].place(at(now), &turn, &sites);
                self.spent += started.elapsed();
                match advice.decision {
                    Decision::Send => {}
                    Decision::Reject => return self.reject(now, chat),
                    Decision::Wait(waiting, until) => {
                        self.result.queued += 1;
                        self.waiting[by].insert(waiting, Box::new((chat, turn, new, now)));
                        return self.at(until.as_secs_f64().min(now + 0.01), Event::Release(by));
                    }
                }
                assert!(advice.choices.len() <= MAX_CHOICES && !advice.choices.is_empty());
                assert!(
                    advice.choices.iter().all(|c| self.sites[c.site.0 as usize].up),
                    "advice names a lost site"
                );
                advice.choices[0].site.0 as usize
            }
            Policy::LeastLoaded => {
                let tie = self.rng.usize(..up.len());
                let order = (0..up.len()).map(|k| up[(k + tie) % up.len()]);
                order.min_by(|a, b| least(self, a).total_cmp(&least(self, b))).unwrap()
            }
            Policy::Hashing => *up.iter().max_by_key(|i| mix(turn.conversation, **i as u64 + 1)).unwrap(),
            Policy::Oracle => {
                let mean = up.iter().map(|i| self.load(now, *i)).sum::<f64>() / up.len() as f64;
                let cost = |i: &usize| {
                    let s = &self.sites[*i];
                    let wait = s.lanes.iter().fold(f64::MAX, |a, l| a.min(*l)) - now;
                    let work = BLOCK_SECS * (turn.prefix.len() - s.holds(&turn.prefix)) as f64;
                    let over =
                        self.load(now, *i) + work + BASE_SECS > self.cfg.settings.bound * mean.max(0.05);
                    (over, wait.max(0.0) + work + self.load(now, *i) / mean.max(0.05) * BASE_SECS)
                };
                let pick = |a: &&usize, b: &&usize| {
                    let (a, b) = (cost(a), cost(b));
                    a.0.cmp(&b.0).then(a.1.total_cmp(&b.1))
                };
                *up.iter().min_by(pick).unwrap()
            }
        };
        self.send(now, chat, turn, new, now, by, site);
    }

    #[allow(clippy::too_many_arguments)]
    fn send(&mut self, now: f64, chat: Chat, turn: Turn, new: Vec<u64>, since: f64, by: usize, site: usize) {
        self.next += 1;
        let token = self.next;
        if self.cfg.policy == Policy::Router {
            let started = Instant::now();
            self.routers[by].on_sent(at(now), AttemptToken(token), &turn, SiteId(site as u32));
            self.spent += started.elapsed();
        }
        self.out[by][site] += 1.0;
        self.counts[site] += 1.0;
        let (found, done) = self.sites[site].run(now, &turn.prefix, &new);
        if now.floor() > self.recomputed.0 {
            self.recomputed.0 = now.floor();
            self.recomputed.1.fill(0.0);
        }
        if self.displaced.remove(&turn.conversation).is_some() {
            self.recomputed.1[site] += (turn.prefix.len() - found) as f64;
            self.result.recomputed_1s = self.result.recomputed_1s.max(self.recomputed.1[site]);
        }
        self.homes.insert(turn.conversation, site);
        let load =
            self.load(now, site) + BASE_SECS + BLOCK_SECS * (turn.prefix.len() - found + new.len()) as f64;
        self.loads[site] = (load, now);
        let took = done - now;
        self.at(done, Event::Done { token, site, by, found, took, epoch: self.epochs[site] });
        self.result.calls += 1;
        let late = done - since > AIM_SECS;
        self.late += f64::from(u8::from(late));
        // The first minute fills the caches.
        if now > 60.0 {
            self.asked += turn.prefix.len() as f64;
            self.found += found as f64;
        }
        if let Some((lose, back)) = self.cfg.lost {
            if (lose..lose + 10.0).contains(&now) {
                self.after = (self.after.0 + f64::from(u8::from(late)), self.after.1 + 1.0);
            }
            if (back..back + 10.0).contains(&now) {
                self.back = (self.back.0 + f64::from(u8::from(site == 0)), self.back.1 + 1.0);
            }
        }
        let mut chat = chat;
        if chat.left <= 1 {
            self.homes.remove(&chat.number);
        }
        chat.prefix.extend(new);
        chat.left -= 1;
        if chat.left > 0 {
            let pause = self.pause(self.cfg.think);
            self.at(done + pause, Event::Turn(Box::new(chat)));
        }
    }

    /// Recent lane time of a site, decaying with a time constant of 5 s.
    fn load(&self, now: f64, site: usize) -> f64 {
        let (load, since) = self.loads[site];
        load * (-(now - since) / 5.0).exp()
    }
}
