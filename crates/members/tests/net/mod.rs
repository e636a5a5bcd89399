//! A network of members in one thread and in time of its own: what is lost, late, cut, stopped and started anew.

#![allow(dead_code)]

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};
use std::time::Duration;

use wheellink_members::{LocalMember, MemberId, MemberInstance, MemberState, Output, Settings};

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// One process, which may be stopped: then it reads nothing and its timers grow overdue.
pub struct Process {
    pub members: LocalMember,
    pub stopped: bool,
    /// What came in while it was stopped.
    pub unread: Vec<(MemberId, Vec<u8>)>,
    /// Each time another came or went, as it holds it.
    pub changes: Vec<(Duration, MemberId, MemberState)>,
}

/// When it comes, its turn among those that come together, from whom, to whom, and what it holds.
type Datagram = (Duration, u64, usize, usize, Vec<u8>);

/// LocalMember and the links between them.
pub struct Net {
    pub now: Duration,
    pub rng: fastrand::Rng,
    pub settings: Settings,
    pub processes: Vec<Option<Process>>,
    /// When each is to be woken; an entry that is no longer so is passed over.
    wakes: BinaryHeap<Reverse<(Duration, usize)>>,
    under_way: BinaryHeap<Reverse<Datagram>>,
    pub sent: u64,
    pub bytes: u64,
    pub largest: usize,
    /// Share of the datagrams that are lost.
    pub loss: f64,
    /// Longest time on the way.
    pub delay: Duration,
    /// Share that comes twice.
    pub duplication: f64,
    /// What becomes of each datagram on its way; none: it is lost.
    pub tamper: fn(Vec<u8>) -> Option<Vec<u8>>,
    /// Links on which nothing passes, from and to.
    pub cut: BTreeSet<(usize, usize)>,
}

impl Net {
    pub fn new(n: usize, seed: u64, settings: Settings) -> Self {
        let rng = fastrand::Rng::with_seed(seed);
        let mut net = Self {
            now: ms(1_000),
            rng,
            settings: Settings { expected_members: n, ..settings },
            processes: (0..n).map(|_| None).collect(),
            under_way: BinaryHeap::new(),
            wakes: BinaryHeap::new(),
            sent: 0,
            bytes: 0,
            largest: 0,
            loss: 0.0,
            delay: ms(5),
            duplication: 0.0,
            tamper: Some,
            cut: BTreeSet::new(),
        };
        (0..n).for_each(|i| net.start(i, 1_000_000));
        net
    }

    /// A process begins with nothing but its roster and its clock.
    pub fn start(&mut self, i: usize, unix_ms: u64) {
        let roster = (0..self.processes.len()).map(|i| MemberId(i as u32));
        let life = MemberInstance::new(MemberId(i as u32), unix_ms);
        let members =
            LocalMember::new(self.settings, life, roster, self.rng.u64(..), self.now).expect("settings");
        let (unread, changes) = (Vec::new(), Vec::new());
        self.processes[i] = Some(Process { members, stopped: false, unread, changes });
        self.schedule(i);
    }

    fn schedule(&mut self, i: usize) {
        let runs = self.processes[i].as_ref().filter(|p| !p.stopped);
        self.wakes.extend(runs.and_then(|p| p.members.next_timer_at()).map(|at| Reverse((at, i))));
    }

    fn next_wake(&mut self) -> Option<(Duration, usize)> {
        while let Some(Reverse((at, i))) = self.wakes.peek().copied() {
            let runs = self.processes[i].as_ref().filter(|p| !p.stopped);
            if runs.and_then(|p| p.members.next_timer_at()) == Some(at) {
                return Some((at, i));
            }
            self.wakes.pop();
        }
        None
    }

    pub fn kill(&mut self, i: usize) {
        self.processes[i] = None;
    }

    pub fn stop(&mut self, i: usize) {
        self.process(i).stopped = true;
    }

    /// Let go, it looks at its timers before it reads what had come in: the worse order of the two.
    pub fn resume(&mut self, i: usize) {
        let now = self.now;
        let p = self.process(i);
        p.stopped = false;
        let mut out = Vec::new();
        p.members.handle_timers(now, &mut out);
        for (from, data) in std::mem::take(&mut p.unread) {
            p.members.handle_datagram(now, from, &data, &mut out);
        }
        self.carry_out(i, out);
    }

    pub fn process(&mut self, i: usize) -> &mut Process {
        self.processes[i].as_mut().expect("a process that runs")
    }

    pub fn state(&self, at: usize, of: usize) -> MemberState {
        let p = self.processes[at].as_ref().expect("a process that runs");
        p.members.view().state(MemberId(of as u32))
    }

    pub fn majority(&self, at: usize) -> bool {
        self.processes[at].as_ref().expect("a process that runs").members.view().majority
    }

    /// Whether each that runs holds just these for being there, itself left out.
    pub fn agree_on(&self, there: &[usize]) -> bool {
        there.iter().all(|at| {
            let view = self.processes[*at].as_ref().expect("a process that runs").members.view();
            let held: BTreeSet<usize> = view.present().map(|n| n.0 as usize).collect();
            held == there.iter().copied().filter(|i| i != at).collect()
        })
    }

    /// How often these began another life because others held them for gone.
    pub fn renewals(&self, among: &[usize]) -> usize {
        let each = among.iter().filter_map(|i| self.processes[*i].as_ref());
        each.map(|p| usize::from(p.members.instance().renewals)).sum()
    }

    /// Times that anyone held another for gone, among these.
    pub fn deaths(&self, among: &[usize]) -> usize {
        let all = among.iter().filter_map(|i| self.processes[*i].as_ref()).flat_map(|p| &p.changes);
        all.filter(|(_, who, state)| *state == MemberState::Dead && among.contains(&(who.0 as usize))).count()
    }

    pub fn forget_changes(&mut self) {
        self.processes.iter_mut().flatten().for_each(|p| p.changes.clear());
    }

    pub fn carry_out(&mut self, from: usize, out: Vec<Output>) {
        for o in out {
            match o {
                Output::Send { to, data } => {
                    let to = to.0 as usize;
                    (self.sent, self.bytes) = (self.sent + 1, self.bytes + data.len() as u64);
                    self.largest = self.largest.max(data.len());
                    if self.cut.contains(&(from, to)) || self.rng.f64() < self.loss {
                        continue;
                    }
                    let Some(data) = (self.tamper)(data) else { continue };
                    let copies = 1 + usize::from(self.rng.f64() < self.duplication);
                    for _ in 0..copies {
                        let late = self.delay.mul_f64(self.rng.f64());
                        self.under_way.push(Reverse((
                            self.now + late,
                            self.rng.u64(..),
                            from,
                            to,
                            data.clone(),
                        )));
                    }
                }
                Output::StateChanged { id, state } => {
                    let now = self.now;
                    self.process(from).changes.push((now, id, state));
                }
                Output::Rejoined => {}
            }
        }
        self.schedule(from);
    }

    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        loop {
            let datagram = self.under_way.peek().map(|Reverse((at, ..))| *at);
            let wake = self.next_wake();
            let mut out = Vec::new();
            match (datagram, wake) {
                (Some(at), wake) if at <= end && wake.is_none_or(|(w, _)| at <= w) => {
                    let Some(Reverse((at, _, from, to, data))) = self.under_way.pop() else { break };
                    self.now = self.now.max(at);
                    let (now, from) = (self.now, MemberId(from as u32));
                    match &mut self.processes[to] {
                        Some(p) if p.stopped => p.unread.push((from, data)),
                        Some(p) => p.members.handle_datagram(now, from, &data, &mut out),
                        None => {}
                    }
                    self.carry_out(to, out);
                }
                (_, Some((at, i))) if at <= end => {
                    self.now = self.now.max(at);
                    let now = self.now;
                    self.process(i).members.handle_timers(now, &mut out);
                    self.carry_out(i, out);
                }
                _ => break,
            }
        }
        self.now = end;
    }

    /// Runs until that holds, for so long at most.
    pub fn within(&mut self, bound: Duration, what: impl Fn(&Self) -> bool) -> bool {
        let end = self.now + bound;
        while self.now < end && !what(self) {
            self.run(ms(100));
        }
        what(self)
    }

    pub fn converged(n: usize, seed: u64) -> Self {
        let mut net = Self::new(n, seed, Settings::default());
        let all: Vec<_> = (0..n).collect();
        let bound = net.settings.detection_bound();
        assert!(net.within(bound, |net| net.agree_on(&all)), "all meet, seed {seed}");
        net.forget_changes();
        net
    }
}
