//! A simulated network of members whose clocks drift, and a checker that compares the terms of all members at
//! every event.
#![allow(dead_code)] // each test file uses a part of it

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::sync::Arc;
use std::time::Duration;

use wheellink_accord::parts::Faults;
use wheellink_accord::*;

pub fn key(path: &str) -> Key {
    Key::new(path).unwrap()
}

pub fn document(entries: &[(&str, Value)]) -> Document {
    entries.iter().map(|(path, value)| (key(path), value.clone())).collect()
}

pub fn text(text: &str) -> Value {
    Value::Text(text.into())
}

/// At least as strict as any change of these tests.
pub fn floor() -> Document {
    document(&[
        ("class/a/effect", text("unsafe")),
        ("class/a/attempts", Value::Int(1)),
        ("limit/x", Value::Int(0)),
        ("out/h", Value::Flag(true)),
    ])
}

pub fn settings(members: u32, voters: u32) -> Settings {
    Settings {
        voters: (1..=voters).map(MemberId).collect(),
        eligible_voters: Vec::new(),
        roster: (1..=members).map(MemberId).collect(),
        lease: Duration::from_secs(3),
        period: Duration::from_millis(250),
        drift_ppm: 2_000,
        prepare_timeout: Duration::from_secs(10),
        transfer_bytes_per_period: 120_000,
        document: document(&[("class/a/attempts", Value::Int(3)), ("class/a/effect", text("safe"))]),
        floor: floor(),
    }
}

/// Difference between the incarnations of two successive starts of a process.
const INCARNATION_STEP: u64 = 1_000;

enum Event {
    Datagram { from: MemberId, to: MemberId, data: Vec<u8> },
    Prepared { to: MemberId, incarnation: u64, version: Version, result: Result<(), Refusal> },
    Timer { to: MemberId, incarnation: u64 },
    Work { to: MemberId, incarnation: u64 },
}

pub struct Member {
    pub accord: Participant,
    pub incarnation: u64,
    pub up: bool,
    pub paused: bool,
    /// Clock error in parts per million; positive if the clock is fast.
    drift: i64,
    started_at: u64,
    /// Refuses documents with this key.
    pub unknown: Option<Key>,
    pub sent: u64,
    timer_at: u64,
    /// Whether a `Work` event is queued.
    step_queued: bool,
}

/// The terms of a member, in a form that can be compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Obeyed {
    Floor(Digest),
    Single(Version),
    Joint(Version, Version),
}

impl Obeyed {
    fn newest(self) -> Option<Version> {
        match self {
            Obeyed::Floor(_) => None,
            Obeyed::Single(version) | Obeyed::Joint(_, version) => Some(version),
        }
    }

    fn obeys(self, version: Version) -> bool {
        match self {
            Obeyed::Floor(_) => false,
            Obeyed::Single(one) => one.digest == version.digest,
            Obeyed::Joint(a, b) => a.digest == version.digest || b.digest == version.digest,
        }
    }
}

pub struct Net {
    pub now: u64,
    pub members: Vec<Member>,
    pub settings: Settings,
    pub rng: fastrand::Rng,
    events: BinaryHeap<Reverse<(u64, u64)>>,
    queued_events: BTreeMap<u64, Event>,
    event_count: u64,
    pub loss: f64,
    pub duplication: f64,
    pub max_delay_us: u64,
    /// Ordered pairs of members between which datagrams are lost.
    pub cuts: BTreeSet<(MemberId, MemberId)>,
    pub faults: Faults,
    pub settled: Vec<(MemberId, ProposalId, Result<Version, ProposalError>)>,
    pub logs: Vec<String>,
    pub checks_enabled: bool,
    obeyed: Vec<Option<Obeyed>>,
    terms: BTreeMap<Obeyed, Arc<Document>>,
    compared: BTreeMap<(Obeyed, Obeyed), bool>,
    first_acted_at: BTreeMap<Version, u64>,
    /// Contradictions on hard keys, each with its time and terms.
    pub violations: Vec<String>,
    /// The longest time that a member acted on another version after the first member acted on a newer one,
    /// in microseconds.
    pub longest_us: u64,
    /// By kind of call: the longest processor time of one call in microseconds, including freeing memory.
    pub longest_calls: BTreeMap<&'static str, u64>,
    /// The maximum number of entries that one call worked on, and that one call freed.
    pub max_entries_touched: (u64, u64),
}

/// Processor time of this thread in microseconds, which excludes other load on the machine.
pub fn cpu_time_us() -> u64 {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::ThreadCPUTime);
    time.tv_sec as u64 * 1_000_000 + time.tv_nsec as u64 / 1_000
}

impl Net {
    pub fn new(members: u32, voters: u32, seed: u64) -> Net {
        Net::with(settings(members, voters), seed, Faults::default())
    }

    pub fn with(settings: Settings, seed: u64, faults: Faults) -> Net {
        let mut net = Net {
            now: 0,
            members: Vec::new(),
            rng: fastrand::Rng::with_seed(seed),
            events: BinaryHeap::new(),
            queued_events: BTreeMap::new(),
            event_count: 0,
            loss: 0.0,
            duplication: 0.0,
            max_delay_us: 20_000,
            cuts: BTreeSet::new(),
            faults,
            settled: Vec::new(),
            logs: Vec::new(),
            checks_enabled: true,
            obeyed: vec![None; settings.roster.len()],
            terms: BTreeMap::new(),
            compared: BTreeMap::new(),
            first_acted_at: BTreeMap::new(),
            violations: Vec::new(),
            longest_us: 0,
            longest_calls: BTreeMap::new(),
            max_entries_touched: (0, 0),
            settings,
        };
        let most = i64::from(net.settings.drift_ppm);
        for name in net.settings.roster.clone() {
            let drift = net.rng.i64(-most..=most);
            let accord = net.create_member(name, 1);
            net.members.push(Member {
                accord,
                incarnation: 1,
                up: true,
                paused: false,
                drift,
                started_at: 0,
                unknown: None,
                sent: 0,
                timer_at: 0,
                step_queued: false,
            });
            net.schedule(name);
        }
        net
    }

    fn create_member(&mut self, name: MemberId, incarnation: u64) -> Participant {
        self.create_member_at(name, incarnation * INCARNATION_STEP)
    }

    /// Creates a member with this incarnation, as given by its machine's clock at the start.
    fn create_member_at(&mut self, name: MemberId, incarnation: u64) -> Participant {
        let seed = self.rng.u64(..);
        Participant::new(self.settings.clone(), name, incarnation, seed, Duration::from_secs(7))
            .unwrap()
            .with_faults(self.faults)
    }

    pub fn at(&self, name: MemberId) -> usize {
        name.0 as usize - 1
    }

    pub fn clock(&self, name: MemberId) -> Duration {
        let member = &self.members[self.at(name)];
        let age = (self.now - member.started_at) as i64;
        Duration::from_secs(7) + Duration::from_micros((age + age * member.drift / 1_000_000) as u64)
    }

    fn push(&mut self, at: u64, event: Event) {
        self.event_count += 1;
        self.events.push(Reverse((at, self.event_count)));
        self.queued_events.insert(self.event_count, event);
    }

    fn schedule(&mut self, name: MemberId) {
        let at = self.at(name);
        if self.members[at].accord.has_work() && !self.members[at].step_queued {
            self.members[at].step_queued = true;
            let incarnation = self.members[at].incarnation;
            self.push(self.now + 200, Event::Work { to: name, incarnation });
        }
        let local = self.clock(name);
        let Some(timer) = self.members[at].accord.next_timer_at() else { return };
        let due = self.now + timer.saturating_sub(local).as_micros() as u64 + 1_000;
        let timer_at = self.members[at].timer_at;
        if timer_at > self.now && timer_at <= due {
            return;
        }
        self.members[at].timer_at = due;
        let incarnation = self.members[at].incarnation;
        self.push(due, Event::Timer { to: name, incarnation });
    }

    fn carry_out(&mut self, from: MemberId, outputs: Vec<Output>) {
        for out in outputs {
            match out {
                Output::Send { to, data } => {
                    assert!(data.len() <= 1_190, "{} bytes", data.len());
                    let at = self.at(from);
                    self.members[at].sent += data.len() as u64;
                    for _ in 0..if self.rng.f64() < self.duplication { 2 } else { 1 } {
                        if self.rng.f64() < self.loss || self.cuts.contains(&(from, to)) {
                            continue;
                        }
                        let due = self.now + self.rng.u64(500..=self.max_delay_us);
                        self.push(due, Event::Datagram { from, to, data: data.clone() });
                    }
                }
                Output::Prepare { version, document } => {
                    let at = self.at(from);
                    let unknown = self.members[at].unknown.clone();
                    let result = match unknown.filter(|key| document.get(key).is_some()) {
                        Some(key) => Err(Refusal::Unknown(key.to_string())),
                        None => Ok(()),
                    };
                    let due = self.now + self.rng.u64(1_000..=200_000);
                    let incarnation = self.members[at].incarnation;
                    self.push(due, Event::Prepared { to: from, incarnation, version, result });
                }
                Output::Apply(_) => {}
                Output::Settled { change, result } => self.settled.push((from, change, result)),
                Output::Log(line) => {
                    self.logs.push(format!("{:>9.3} {from}: {line}", self.now as f64 / 1e6));
                }
            }
        }
        self.schedule(from);
    }

    /// Runs the simulation for this many milliseconds.
    pub fn run(&mut self, millis: u64) {
        let end = self.now + millis * 1_000;
        self.run_events_until(end, |_| false);
        self.now = end;
    }

    /// Runs the simulation until `done` is true. Returns false if that does not happen within this many
    /// milliseconds.
    pub fn run_until(&mut self, millis: u64, done: impl Fn(&Net) -> bool) -> bool {
        self.run_events_until(self.now + millis * 1_000, done)
    }

    fn run_events_until(&mut self, end: u64, done: impl Fn(&Net) -> bool) -> bool {
        while let Some(&Reverse((at, id))) = self.events.peek() {
            if done(self) {
                return true;
            }
            if at > end {
                break;
            }
            self.events.pop();
            self.now = self.now.max(at);
            let event = self.queued_events.remove(&id).unwrap();
            self.handle_event(event);
            self.check_terms();
        }
        done(self)
    }

    fn handle_event(&mut self, event: Event) {
        let (to, incarnation) = match &event {
            Event::Datagram { to, .. } => (*to, None),
            Event::Prepared { to, incarnation, .. }
            | Event::Timer { to, incarnation }
            | Event::Work { to, incarnation } => (*to, Some(*incarnation)),
        };
        let (at, now) = (self.at(to), self.clock(to));
        let member = &mut self.members[at];
        if !member.up || incarnation.is_some_and(|incarnation| incarnation != member.incarnation) {
            return;
        }
        if member.paused {
            // The event waits in the socket or in the loop of the paused process.
            let due = self.now + 50_000;
            self.push(due, event);
            return;
        }
        let mut out = Vec::new();
        let (begun, touched) = (cpu_time_us(), member.accord.entries_touched());
        let kind = match event {
            Event::Datagram { from, data, .. } => {
                member.accord.receive(now, from, &data, &mut out);
                "heard"
            }
            Event::Prepared { version, result, .. } => {
                member.accord.on_prepared(now, version, result, &mut out);
                "prepared"
            }
            Event::Timer { .. } => {
                member.accord.handle_timers(now, &mut out);
                "wake"
            }
            Event::Work { .. } => {
                member.step_queued = false;
                member.accord.run_step(now, &mut out);
                "work"
            }
        };
        self.record_call(kind, at, begun, touched);
        self.carry_out(to, out);
    }

    fn record_call(&mut self, kind: &'static str, at: usize, begun: u64, before: (u64, u64)) {
        let now = self.members[at].accord.entries_touched();
        let max = &mut self.max_entries_touched;
        *max = (max.0.max(now.0 - before.0), max.1.max(now.1 - before.1));
        let took = cpu_time_us() - begun;
        let longest = self.longest_calls.entry(kind).or_default();
        *longest = took.max(*longest);
    }

    fn check_terms(&mut self) {
        if !self.checks_enabled {
            return;
        }
        let mut changed = false;
        for at in 0..self.members.len() {
            let member = &self.members[at];
            let terms_key = (member.up && !member.paused).then(|| {
                let active = member.accord.active_terms(self.clock(MemberId(at as u32 + 1)));
                let terms_key = match &active {
                    ActiveTerms::Floor(floor) => Obeyed::Floor(floor.digest()),
                    ActiveTerms::Single(version, _) => Obeyed::Single(*version),
                    ActiveTerms::Joint { old, new, .. } => Obeyed::Joint(*old, *new),
                };
                (terms_key, active.terms().clone())
            });
            if let Some((terms_key, terms)) = &terms_key {
                self.terms.entry(*terms_key).or_insert_with(|| terms.clone());
                if let Some(version) = terms_key.newest() {
                    self.first_acted_at.entry(version).or_insert(self.now);
                }
            }
            let terms_key = terms_key.map(|(terms_key, _)| terms_key);
            changed |= self.obeyed[at] != terms_key;
            self.obeyed[at] = terms_key;
        }
        let now: BTreeSet<Obeyed> = self.obeyed.iter().flatten().copied().collect();
        let acted: BTreeSet<Version> = now.iter().filter_map(|terms_key| terms_key.newest()).collect();
        let latest = acted.iter().map(|version| self.first_acted_at[version]).max().unwrap_or_default();
        for version in &acted {
            // Find members that act on an old version long after the first member acted on a newer one that
            // is still in effect or was followed by another.
            for (other, first) in &self.first_acted_at {
                if *first > self.first_acted_at[version] && *first <= latest && other.digest != version.digest
                {
                    self.longest_us = self.longest_us.max(self.now - first);
                }
            }
        }
        // If no member holds a lease, paused ones included, the fleet may start from the beginning: a version
        // that all members lost is not in force.
        let holds_lease = |at: usize, member: &Member| {
            member.up
                && !matches!(
                    member.accord.active_terms(self.clock(MemberId(at as u32 + 1))),
                    ActiveTerms::Floor(_)
                )
        };
        if acted.is_empty() && !self.members.iter().enumerate().any(|(at, member)| holds_lease(at, member)) {
            self.first_acted_at.clear();
        }
        if !changed {
            return;
        }
        for a in &now {
            for b in &now {
                let known = self.compared.get(&(*a, *b)).copied();
                let bad = known.unwrap_or_else(|| contradicts(*a, *b, &self.terms[a], &self.terms[b]));
                self.compared.insert((*a, *b), bad);
                if bad {
                    self.violations.push(format!("{:.3} s: {a:?} and {b:?} at once", self.now as f64 / 1e6));
                }
            }
        }
    }

    pub fn propose(
        &mut self,
        name: MemberId,
        change: impl FnOnce(&mut Change),
    ) -> Result<ProposalId, ProposalError> {
        let (at, now) = (self.at(name), self.clock(name));
        let mut new_change =
            Change { base: self.members[at].accord.status(now).known.number, ..Change::default() };
        change(&mut new_change);
        let mut out = Vec::new();
        let (begun, touched) = (cpu_time_us(), self.members[at].accord.entries_touched());
        let id = self.members[at].accord.propose(now, new_change, &mut out);
        self.record_call("propose", at, begun, touched);
        self.carry_out(name, out);
        id
    }

    pub fn withdraw(&mut self, name: MemberId) {
        let (at, now) = (self.at(name), self.clock(name));
        let mut out = Vec::new();
        self.members[at].accord.withdraw(now, &mut out).unwrap();
        self.carry_out(name, out);
    }

    /// Kills a member. `restart` starts its next incarnation without state.
    pub fn kill(&mut self, name: MemberId) {
        let at = self.at(name);
        self.members[at].up = false;
    }

    pub fn restart(&mut self, name: MemberId) {
        let incarnation = self.members[self.at(name)].incarnation + 1;
        self.restart_at(name, incarnation * INCARNATION_STEP);
    }

    /// Restarts a member on a machine whose clock was set back to before an earlier start.
    pub fn restart_set_back(&mut self, name: MemberId) {
        let incarnation = self.members[self.at(name)].incarnation + 1;
        self.restart_at(name, incarnation * INCARNATION_STEP - 3 * INCARNATION_STEP / 2);
    }

    fn restart_at(&mut self, name: MemberId, reported: u64) {
        let at = self.at(name);
        let incarnation = self.members[at].incarnation + 1;
        self.members[at].accord = self.create_member_at(name, reported);
        let member = &mut self.members[at];
        (member.incarnation, member.up, member.paused, member.started_at, member.timer_at) =
            (incarnation, true, false, self.now, 0);
        member.step_queued = false;
        self.schedule(name);
    }

    pub fn pause(&mut self, name: MemberId, paused: bool) {
        let at = self.at(name);
        self.members[at].paused = paused;
    }

    /// Cuts the connections from the first group to the second, and with `both` also back.
    pub fn cut(&mut self, from: &[u32], to: &[u32], both: bool) {
        for a in from {
            for b in to {
                self.cuts.insert((MemberId(*a), MemberId(*b)));
                if both {
                    self.cuts.insert((MemberId(*b), MemberId(*a)));
                }
            }
        }
    }

    pub fn acting(&self, name: MemberId) -> ActiveTerms {
        self.members[self.at(name)].accord.active_terms(self.clock(name))
    }

    pub fn view(&self, name: MemberId) -> Status {
        self.members[self.at(name)].accord.status(self.clock(name))
    }

    /// The version on which all running members act, if it is one and the same.
    pub fn agreed(&self) -> Option<Version> {
        let mut all = self.members.iter().enumerate().filter(|(_, member)| member.up && !member.paused).map(
            |(at, _)| match self.acting(MemberId(at as u32 + 1)) {
                ActiveTerms::Single(version, _) => Some(version),
                _ => None,
            },
        );
        let first = all.next()??;
        all.all(|other| other == Some(first)).then_some(first)
    }

    pub fn wait_for_start(&mut self) {
        assert!(self.run_until(60_000, |net| net.agreed().is_some()), "no start: {:#?}", self.logs);
    }
}

fn contradicts(a: Obeyed, b: Obeyed, of_a: &Document, of_b: &Document) -> bool {
    match (a, b) {
        (Obeyed::Single(_), Obeyed::Single(_)) => find_contradiction(of_a, of_b).is_some(),
        (Obeyed::Floor(_), Obeyed::Floor(_)) => false,
        (Obeyed::Floor(_), _) => find_uncovered(of_b, of_a).is_some(),
        (_, Obeyed::Floor(_)) => find_uncovered(of_a, of_b).is_some(),
        (Obeyed::Joint(..), Obeyed::Single(one)) if a.obeys(one) => false,
        (Obeyed::Single(one), Obeyed::Joint(..)) if b.obeys(one) => false,
        (Obeyed::Joint(x, y), Obeyed::Joint(..)) if b.obeys(x) || b.obeys(y) => false,
        // No version in common: the terms contradict each other unless each covers the other.
        _ => find_uncovered(of_b, of_a).is_some() || find_uncovered(of_a, of_b).is_some(),
    }
}

/// Runs a random history of changes and faults, and ends the faults. Returns false if the members did not
/// agree afterwards.
pub fn random_history(seed: u64, changes: u32, faults: Faults) -> (Net, bool) {
    random_history_with_spares(seed, changes, faults, 0)
}

/// The same with additional members that may vote, and with changes of voters among the other changes. The
/// settings files stay the same.
pub fn random_history_with_spares(seed: u64, changes: u32, faults: Faults, spares: u32) -> (Net, bool) {
    let mut rng = fastrand::Rng::with_seed(seed ^ 0x5eed);
    let voters = *rng.choice(&[3, 3, 4, 5]).unwrap();
    let members = voters + rng.u32(0..=3) + spares;
    let mut setup = settings(members, voters);
    if spares > 0 {
        setup.eligible_voters = (1..=voters + spares).map(MemberId).collect();
    }
    let mut net = Net::with(setup, seed, faults);
    net.duplication = 0.1;
    net.run(6_000);
    for _ in 0..changes {
        let any = |rng: &mut fastrand::Rng| MemberId(rng.u32(1..=members));
        net.loss = *rng.choice(&[0.0, 0.0, 0.1, 0.3]).unwrap();
        net.max_delay_us = *rng.choice(&[5_000, 40_000, 400_000, 2_500_000]).unwrap();
        let propose = |net: &mut Net, rng: &mut fastrand::Rng| {
            let by = any(rng);
            let (what, value) = (rng.u32(0..6), rng.i64(1..=9));
            if spares > 0 && rng.bool() && net.members[net.at(by)].up && !net.members[net.at(by)].paused {
                let names: Vec<u32> = (1..=voters + spares).collect();
                let many = voters + rng.u32(0..=spares);
                let list = rng.choose_multiple(names, many as usize);
                let _ = net.propose(by, |change| {
                    for name in 1..=voters + spares {
                        match list.contains(&name) {
                            true => drop(change.set.insert(key(&format!("voter/{name}")), Value::Flag(true))),
                            false => drop(change.drop.insert(key(&format!("voter/{name}")))),
                        }
                    }
                });
                return;
            }
            if net.members[net.at(by)].up && !net.members[net.at(by)].paused {
                let _ = net.propose(by, |change| match what {
                    0 | 1 => drop(change.set.insert(key("class/a/attempts"), Value::Int(value))),
                    2 => drop(change.set.insert(
                        key("class/a/effect"),
                        text(["safe", "keyed", "unsafe"][value as usize % 3]),
                    )),
                    3 => drop(change.set.insert(key("limit/x"), Value::Int(value))),
                    4 if value % 2 == 0 => drop(change.drop.insert(key("out/h"))),
                    4 => drop(change.set.insert(key("out/h"), Value::Flag(true))),
                    _ => drop(change.set.insert(key(&format!("list/l/{value}")), Value::Flag(true))),
                });
            }
        };
        if rng.bool() {
            propose(&mut net, &mut rng);
            net.run(rng.u64(0..2_500));
        }
        let a = any(&mut rng);
        match rng.u32(0..7) {
            0 => {
                let half: Vec<u32> = (1..=members).filter(|_| rng.bool()).collect();
                let rest: Vec<u32> = (1..=members).filter(|name| !half.contains(name)).collect();
                net.cut(&half, &rest, rng.bool());
            }
            1 => net.cut(&[a.0], &(1..=members).collect::<Vec<_>>(), rng.bool()),
            2 => {
                net.kill(a);
                net.run(rng.u64(0..4_000));
                if rng.u32(0..3) == 0 {
                    net.restart_set_back(a);
                } else {
                    net.restart(a);
                }
            }
            3 => {
                (1..=voters).for_each(|name| net.kill(MemberId(name)));
                net.run(rng.u64(0..1_000));
                (1..=voters).for_each(|name| net.restart(MemberId(name)));
            }
            4 => {
                let some: Vec<u32> = (1..=members).filter(|_| rng.u32(0..3) == 0).collect();
                some.iter().for_each(|name| net.pause(MemberId(*name), true));
                net.run(rng.u64(0..2_000));
                propose(&mut net, &mut rng);
                net.run(rng.u64(500..20_000));
                some.iter().for_each(|name| net.pause(MemberId(*name), false));
            }
            5 => {
                // Restart two members one after the other: a majority of three that loses its state within a
                // lease.
                let b = any(&mut rng);
                for name in [a, b] {
                    net.kill(name);
                    net.run(rng.u64(0..1_500));
                    if rng.u32(0..3) == 0 {
                        net.restart_set_back(name);
                    } else {
                        net.restart(name);
                    }
                }
            }
            _ => {}
        }
        propose(&mut net, &mut rng);
        propose(&mut net, &mut rng);
        net.run(rng.u64(500..9_000));
        net.cuts.clear();
    }
    (net.loss, net.duplication, net.max_delay_us) = (0.0, 0.0, 20_000);
    let agreed = net.run_until(120_000, |net| {
        let still = net.members.iter().all(|m| m.accord.status(Duration::MAX / 4).pending.is_none());
        still && net.agreed().is_some()
    });
    (net, agreed)
}
