//! A simulated network of members in one thread with virtual time: datagrams are lost, delayed, duplicated or
//! blocked, and processes are stopped, killed and restarted.

#![allow(dead_code)]

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};
use std::time::Duration;

use wheellink_members::{LocalMember, MemberId, MemberInstance, MemberState, Output, Settings};

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// One process. While it is stopped, it reads nothing and its timers become overdue.
pub struct Process {
    pub member: LocalMember,
    pub stopped: bool,
    /// Datagrams that arrived while it was stopped.
    pub unread: Vec<(MemberId, Vec<u8>)>,
    /// Each reported change of another member's state.
    pub changes: Vec<(Duration, MemberId, MemberState)>,
}

/// Arrival time, random order among datagrams that arrive together, sender, receiver and data.
type Datagram = (Duration, u64, usize, usize, Vec<u8>);

/// The members and the links between them.
pub struct Net {
    pub now: Duration,
    pub rng: fastrand::Rng,
    pub settings: Settings,
    pub processes: Vec<Option<Process>>,
    /// Due times of the members' timers. Outdated entries are skipped.
    timers: BinaryHeap<Reverse<(Duration, usize)>>,
    in_flight: BinaryHeap<Reverse<Datagram>>,
    pub sent: u64,
    pub bytes: u64,
    pub largest: usize,
    /// Probability that a datagram is lost.
    pub loss: f64,
    /// Longest delay of a datagram.
    pub delay: Duration,
    /// Probability that a datagram is delivered twice.
    pub duplication: f64,
    /// Changes each datagram in transit; `None` drops it.
    pub tamper: fn(Vec<u8>) -> Option<Vec<u8>>,
    /// Links that are blocked, from and to.
    pub blocked: BTreeSet<(usize, usize)>,
}

impl Net {
    pub fn new(n: usize, seed: u64, settings: Settings) -> Self {
        let rng = fastrand::Rng::with_seed(seed);
        let mut net = Self {
            now: ms(1_000),
            rng,
            settings: Settings { expected_members: n, ..settings },
            processes: (0..n).map(|_| None).collect(),
            in_flight: BinaryHeap::new(),
            timers: BinaryHeap::new(),
            sent: 0,
            bytes: 0,
            largest: 0,
            loss: 0.0,
            delay: ms(5),
            duplication: 0.0,
            tamper: Some,
            blocked: BTreeSet::new(),
        };
        (0..n).for_each(|i| net.start(i, 1_000_000));
        net
    }

    /// Starts a process, which knows nothing but its roster and its clock.
    pub fn start(&mut self, i: usize, unix_ms: u64) {
        let roster = (0..self.processes.len()).map(|i| MemberId(i as u32));
        let instance = MemberInstance::new(MemberId(i as u32), unix_ms);
        let member =
            LocalMember::new(self.settings, instance, roster, self.rng.u64(..), self.now).expect("settings");
        let (unread, changes) = (Vec::new(), Vec::new());
        self.processes[i] = Some(Process { member, stopped: false, unread, changes });
        self.schedule(i);
    }

    fn schedule(&mut self, i: usize) {
        let runs = self.processes[i].as_ref().filter(|p| !p.stopped);
        self.timers.extend(runs.and_then(|p| p.member.next_timer_at()).map(|at| Reverse((at, i))));
    }

    fn next_timer(&mut self) -> Option<(Duration, usize)> {
        while let Some(Reverse((at, i))) = self.timers.peek().copied() {
            let runs = self.processes[i].as_ref().filter(|p| !p.stopped);
            if runs.and_then(|p| p.member.next_timer_at()) == Some(at) {
                return Some((at, i));
            }
            self.timers.pop();
        }
        None
    }

    pub fn kill(&mut self, i: usize) {
        self.processes[i] = None;
    }

    pub fn stop(&mut self, i: usize) {
        self.process(i).stopped = true;
    }

    /// Continues a stopped process. It handles its timers before the datagrams that arrived meanwhile, which is the
    /// worse order.
    pub fn resume(&mut self, i: usize) {
        let now = self.now;
        let p = self.process(i);
        p.stopped = false;
        let mut out = Vec::new();
        p.member.handle_timers(now, &mut out);
        for (from, data) in std::mem::take(&mut p.unread) {
            p.member.receive(now, from, &data, &mut out);
        }
        self.carry_out(i, out);
    }

    pub fn process(&mut self, i: usize) -> &mut Process {
        self.processes[i].as_mut().expect("a process that runs")
    }

    pub fn state(&self, at: usize, of: usize) -> MemberState {
        let p = self.processes[at].as_ref().expect("a process that runs");
        p.member.view().state(MemberId(of as u32))
    }

    pub fn majority(&self, at: usize) -> bool {
        self.processes[at].as_ref().expect("a process that runs").member.view().majority
    }

    /// Whether each of these members sees exactly the others of them as present.
    pub fn agree_on(&self, present: &[usize]) -> bool {
        present.iter().all(|at| {
            let view = self.processes[*at].as_ref().expect("a process that runs").member.view();
            let seen: BTreeSet<usize> = view.present().map(|n| n.0 as usize).collect();
            seen == present.iter().copied().filter(|i| i != at).collect()
        })
    }

    /// How often these members renewed their instances because others declared them dead.
    pub fn renewals(&self, among: &[usize]) -> usize {
        let processes = among.iter().filter_map(|i| self.processes[*i].as_ref());
        processes.map(|p| usize::from(p.member.instance().renewals)).sum()
    }

    /// How often one of these members declared another one of them dead.
    pub fn deaths(&self, among: &[usize]) -> usize {
        let all = among.iter().filter_map(|i| self.processes[*i].as_ref()).flat_map(|p| &p.changes);
        all.filter(|(_, id, state)| *state == MemberState::Dead && among.contains(&(id.0 as usize))).count()
    }

    pub fn forget_changes(&mut self) {
        self.processes.iter_mut().flatten().for_each(|p| p.changes.clear());
    }

    pub fn carry_out(&mut self, from: usize, out: Vec<Output>) {
        for output in out {
            match output {
                Output::Send { to, data } => {
                    let to = to.0 as usize;
                    (self.sent, self.bytes) = (self.sent + 1, self.bytes + data.len() as u64);
                    self.largest = self.largest.max(data.len());
                    if self.blocked.contains(&(from, to)) || self.rng.f64() < self.loss {
                        continue;
                    }
                    let Some(data) = (self.tamper)(data) else { continue };
                    let copies = 1 + usize::from(self.rng.f64() < self.duplication);
                    for _ in 0..copies {
                        let delay = self.delay.mul_f64(self.rng.f64());
                        self.in_flight.push(Reverse((
                            self.now + delay,
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
            let datagram = self.in_flight.peek().map(|Reverse((at, ..))| *at);
            let timer = self.next_timer();
            let mut out = Vec::new();
            match (datagram, timer) {
                (Some(at), timer) if at <= end && timer.is_none_or(|(w, _)| at <= w) => {
                    let Some(Reverse((at, _, from, to, data))) = self.in_flight.pop() else { break };
                    self.now = self.now.max(at);
                    let (now, from) = (self.now, MemberId(from as u32));
                    match &mut self.processes[to] {
                        Some(p) if p.stopped => p.unread.push((from, data)),
                        Some(p) => p.member.receive(now, from, &data, &mut out),
                        None => {}
                    }
                    self.carry_out(to, out);
                }
                (_, Some((at, i))) if at <= end => {
                    self.now = self.now.max(at);
                    let now = self.now;
                    self.process(i).member.handle_timers(now, &mut out);
                    self.carry_out(i, out);
                }
                _ => break,
            }
        }
        self.now = end;
    }

    /// Runs until the condition holds, but not longer than `bound`. Returns whether it holds.
    pub fn within(&mut self, bound: Duration, condition: impl Fn(&Self) -> bool) -> bool {
        let end = self.now + bound;
        while self.now < end && !condition(self) {
            self.run(ms(100));
        }
        condition(self)
    }

    /// A network whose members all see each other.
    pub fn converged(n: usize, seed: u64) -> Self {
        let mut net = Self::new(n, seed, Settings::default());
        let all: Vec<_> = (0..n).collect();
        let bound = net.settings.detection_bound();
        assert!(net.within(bound, |net| net.agree_on(&all)), "all members join, seed {seed}");
        net.forget_changes();
        net
    }
}
