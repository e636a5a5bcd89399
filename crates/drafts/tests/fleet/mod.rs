//! A simulated fleet: members that serve calls with known acceptance rates and costs, a faulty network between them, and one agreed
//! table. Time is simulated.
#![allow(dead_code)] // Each test target uses a part of this module.

use std::collections::BTreeSet;
use std::time::Duration;

use wheellink_drafts::{
    CallStats, Draft, DraftLearner, DraftTable, MemberId, Output, Settings, Workload, MAX_DATAGRAM_BYTES,
};

pub const STEP: Duration = Duration::from_millis(250);

/// The true behaviour of a workload.
#[derive(Clone)]
pub struct Truth {
    /// By drafter (from 1) and position: the acceptance rate, given that the token before was accepted.
    pub rates: Vec<[f64; 8]>,
    /// By load band: microseconds per round, and per drafted token.
    pub costs: [(f64, f64); 4],
    /// The relative standard deviation of a call's time.
    pub noise: f64,
}

impl Truth {
    /// A chat model with a small drafter: acceptance is high at the middle positions, and on a full host each drafted token is
    /// expensive.
    pub fn chat() -> Self {
        let rates = vec![[0.72, 0.75, 0.78, 0.78, 0.75, 0.7, 0.65, 0.6]];
        Self {
            rates,
            costs: [(30_000.0, 2_000.0), (31_000.0, 3_500.0), (36_000.0, 9_000.0), (48_000.0, 40_000.0)],
            noise: 0.15,
        }
    }

    /// Form scripts: a requested step takes 9 ms; a speculatively run next step costs only a part of that on an idle host.
    pub fn form() -> Self {
        let rates = vec![[0.85, 0.6, 0.35, 0.2, 0.1, 0.05, 0.02, 0.01]];
        Self {
            rates,
            costs: [(9_000.0, 900.0), (9_300.0, 2_500.0), (11_000.0, 7_000.0), (16_000.0, 15_000.0)],
            noise: 0.25,
        }
    }

    pub fn of(&self, draft: Draft, band: u8) -> (f64, f64) {
        let (mut tokens, mut chance) = (1.0, 1.0);
        if draft.drafter > 0 {
            for rate in &self.rates[draft.drafter as usize - 1][..draft.length as usize] {
                chance *= rate;
                tokens += chance;
            }
        }
        let (base, each) = self.costs[band as usize];
        (tokens, base + each * f64::from(draft.length))
    }

    /// Useful tokens per second.
    pub fn value(&self, draft: Draft, band: u8) -> f64 {
        let (tokens, micros) = self.of(draft, band);
        1e6 * tokens / micros
    }

    pub fn best(&self, settings: &Settings, band: u8) -> (Draft, f64) {
        let drafted = (1..=settings.drafters)
            .flat_map(|d| (1..=settings.longest).map(move |l| Draft { drafter: d, length: l }));
        let all = drafted.chain([Draft::OFF]).map(|d| (d, self.value(d, band)));
        all.max_by(|a, b| a.1.total_cmp(&b.1)).unwrap()
    }

    pub fn ran(
        &self,
        rng: &mut fastrand::Rng,
        workload: &Workload,
        draft: Draft,
        band: u8,
        version: u64,
        rounds: u32,
    ) -> CallStats {
        let mut accepted = vec![0; draft.length as usize];
        for _ in 0..rounds {
            for (at, k) in accepted.iter_mut().enumerate() {
                if rng.f64() >= self.rates[draft.drafter as usize - 1][at] {
                    break;
                }
                *k += 1;
            }
        }
        let tokens = rounds + accepted.iter().sum::<u32>();
        let micros =
            self.of(draft, band).1 * f64::from(rounds) * (1.0 + self.noise * (rng.f64() - 0.5) * 3.46);
        CallStats {
            workload: workload.clone(),
            draft,
            band,
            version,
            rounds,
            accepted,
            tokens,
            time: Duration::from_micros(micros as u64),
        }
    }
}

/// A draft of the first drafter.
pub fn first_drafter(length: u8) -> Draft {
    Draft { drafter: u8::from(length > 0), length }
}

pub fn workload_named(text: &str) -> Workload {
    Workload::new(text).unwrap()
}

pub struct Member {
    pub name: MemberId,
    pub drafts: DraftLearner,
    pub table: DraftTable,
    pub version: u64,
    /// Forges each count of this member.
    pub forge: Option<fn(&mut CallStats)>,
    pub calls: f64,
    pub alive: bool,
    pub bytes: u64,
}

pub struct Fleet {
    pub settings: Settings,
    pub now: Duration,
    pub rng: fastrand::Rng,
    pub members: Vec<Member>,
    pub workloads: Vec<(Workload, Truth)>,
    /// The load band of all calls.
    pub band: u8,
    pub rounds: u32,
    pub loss: f64,
    pub duplication: f64,
    /// Pairs (from, to) between which all datagrams are lost.
    pub lost_links: BTreeSet<(u32, u32)>,
    /// The partitions of the fleet. Only a partition with a majority can agree on a version.
    pub partitions: Vec<BTreeSet<u32>>,
    pub version: u64,
    pub table: DraftTable,
    pub versions: Vec<(Duration, DraftTable)>,
    pub exchanges_rows: bool,
    in_transit: Vec<(Duration, MemberId, MemberId, Vec<u8>)>,
    /// The expected tokens of all calls that ran.
    pub tokens: f64,
    /// The expected microseconds of all calls that ran.
    pub micros: f64,
    pub log_lines: Vec<String>,
    incarnations: u64,
}

impl Fleet {
    pub fn new(
        settings: Settings,
        members: u32,
        workloads: Vec<(Workload, Truth)>,
        calls: f64,
        seed: u64,
    ) -> Self {
        let mut fleet = Self {
            now: Duration::ZERO,
            rng: fastrand::Rng::with_seed(seed),
            members: Vec::new(),
            workloads,
            band: 0,
            rounds: 20,
            loss: 0.0,
            duplication: 0.0,
            lost_links: BTreeSet::new(),
            partitions: Vec::new(),
            version: 1,
            table: DraftTable::new(),
            versions: Vec::new(),
            exchanges_rows: true,
            in_transit: Vec::new(),
            tokens: 0.0,
            micros: 0.0,
            log_lines: Vec::new(),
            incarnations: 0,
            settings,
        };
        for name in 1..=members {
            let drafts = fleet.new_learner(MemberId(name), members);
            let (table, version) = (DraftTable::new(), 1);
            fleet.members.push(Member {
                name: MemberId(name),
                drafts,
                table,
                version,
                forge: None,
                calls,
                alive: true,
                bytes: 0,
            });
        }
        fleet
    }

    fn new_learner(&mut self, name: MemberId, members: u32) -> DraftLearner {
        self.incarnations += 1;
        let seed = self.rng.u64(..);
        let mut drafts =
            DraftLearner::new(self.settings.clone(), name, self.incarnations, seed, self.now).unwrap();
        let heard = if self.exchanges_rows { members as usize - 1 } else { 0 };
        let others = if self.exchanges_rows { members } else { 0 };
        drafts.set_members((1..=others).map(MemberId), heard);
        drafts
    }

    /// Makes all members independent: they exchange nothing, and each has its own table.
    pub fn isolated(mut self) -> Self {
        self.exchanges_rows = false;
        let count = self.members.len() as u32;
        for at in 0..self.members.len() {
            self.members[at].drafts = self.new_learner(self.members[at].name, count);
        }
        self
    }

    pub fn restart(&mut self, at: usize) {
        let (name, count) = (self.members[at].name, self.members.len() as u32);
        self.members[at].drafts = self.new_learner(name, count);
        self.members[at].alive = true;
        let (now, table, version) = (self.now, self.table.clone(), self.version);
        let m = &mut self.members[at];
        (m.table, m.version) = (table.clone(), version);
        m.drafts.set_table(now, version, table);
    }

    fn calls(&mut self, at: usize) {
        let due = self.members[at].calls * STEP.as_secs_f64();
        let calls = due as u32 + u32::from(self.rng.f64() < due.fract());
        for _ in 0..calls {
            let (workload, truth) = &self.workloads[self.rng.usize(..self.workloads.len())];
            let m = &mut self.members[at];
            let draft = m.drafts.choose(workload, self.band, &m.table, self.rng.f64());
            let mut ran = truth.ran(&mut self.rng, workload, draft, self.band, m.version, self.rounds);
            let (tokens, micros) = truth.of(draft, self.band);
            self.tokens += tokens * f64::from(self.rounds);
            self.micros += micros * f64::from(self.rounds);
            if let Some(forge) = m.forge {
                forge(&mut ran);
            }
            let _ = m.drafts.record_call(self.now, &ran);
        }
    }

    fn deliver(&mut self) {
        let due;
        (due, self.in_transit) =
            std::mem::take(&mut self.in_transit).into_iter().partition(|w| w.0 <= self.now);
        let mut due: Vec<_> = due;
        self.rng.shuffle(&mut due);
        for (_, from, to, data) in due {
            let m = &mut self.members[to.0 as usize - 1];
            if m.alive {
                m.drafts.receive(self.now, from, &data, &mut Vec::new());
            }
        }
    }

    fn send(&mut self, from: MemberId, to: MemberId, data: Vec<u8>) {
        assert!(data.len() <= MAX_DATAGRAM_BYTES);
        if self.lost_links.contains(&(from.0, to.0)) || self.rng.f64() < self.loss {
            return;
        }
        for _ in 0..1 + usize::from(self.rng.f64() < self.duplication) {
            let late = Duration::from_millis(self.rng.u64(1..1_500));
            self.in_transit.push((self.now + late, from, to, data.clone()));
        }
    }

    fn may_agree(&self, name: MemberId) -> bool {
        let part = self.partitions.iter().find(|p| p.contains(&name.0));
        part.is_none_or(|p| p.len() * 2 > self.members.len())
    }

    fn propose(&mut self, at: usize) {
        let (name, now) = (self.members[at].name, self.now);
        if self.exchanges_rows && !self.may_agree(name) {
            return;
        }
        let m = &mut self.members[at];
        let Some(table) = m.drafts.propose(now, &m.table, m.version) else { return };
        if self.exchanges_rows && m.version != self.version {
            return;
        }
        self.version += 1;
        self.versions.push((now, table.clone()));
        if self.exchanges_rows {
            self.table = table;
        } else {
            (m.table, m.version) = (table.clone(), self.version);
            m.drafts.set_table(now, self.version, table);
        }
    }

    pub fn step(&mut self) {
        self.now += STEP;
        self.deliver();
        for at in 0..self.members.len() {
            if !self.members[at].alive {
                continue;
            }
            if self.exchanges_rows
                && self.members[at].version != self.version
                && self.may_agree(self.members[at].name)
            {
                let (now, version, table) = (self.now, self.version, self.table.clone());
                let m = &mut self.members[at];
                (m.table, m.version) = (table.clone(), version);
                m.drafts.set_table(now, version, table);
            }
            self.calls(at);
            if self.members[at].drafts.next_timer_at().is_some_and(|w| w <= self.now) {
                let mut out = Vec::new();
                let now = self.now;
                self.members[at].drafts.handle_timers(now, &mut out);
                for o in out {
                    match o {
                        Output::Send { to, data } => {
                            self.members[at].bytes += data.len() as u64;
                            self.send(self.members[at].name, to, data);
                        }
                        Output::Log(line) => self.log_lines.push(line),
                    }
                }
            }
            self.propose(at);
        }
    }

    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    /// Runs for `time` and returns the throughput relative to the optimum with known rates.
    pub fn share(&mut self, time: Duration) -> f64 {
        (self.tokens, self.micros) = (0.0, 0.0);
        self.run(time);
        1e6 * self.tokens / self.micros / self.workloads[0].1.best(&self.settings, self.band).1
    }

    /// Runs until the draft in force reaches this share of the best throughput; `None` if it does not within `time`.
    pub fn until(&mut self, share: f64, time: Duration) -> Option<Duration> {
        let started = self.now;
        while self.now < started + time {
            self.step();
            let (workload, truth) = &self.workloads[0];
            let draft =
                self.table.get(&(workload.clone(), self.band)).copied().unwrap_or(self.settings.start);
            if truth.value(draft, self.band) >= share * truth.best(&self.settings, self.band).1 {
                return Some(self.now - started);
            }
        }
        None
    }

    pub fn draft(&self, workload: &str) -> Draft {
        self.table.get(&(workload_named(workload), self.band)).copied().unwrap_or(self.settings.start)
    }
}
