//! Gradual versions, bound to requests, engine and wire. What is decided here is decided by `wheellink_rollout`.
//!
//! The holder passes calls, answers them and owes that; the candidate decides them and tells of each attempt
//! before its first byte leaves.

use wheellink_rollout::{
    strictest, Act, Cause, ClassTerms, Disagreement, Fate, Life, Outcome as Ending, Past, Rollout, Share,
    Terms, Version,
};

use super::*;
use crate::config::rollout::Begin;
use crate::control::RolloutCall;
use crate::lane::{self, Passed, Word};
use crate::upgrade::{Hail, Process};

/// Calls that the candidate decides at once: at 30,000 calls a second, those of 17 ms.
const MOST_PASSED: usize = 512;
/// With more bytes on their way to the candidate nothing more is passed: it is slow, and calls stay here.
const BACKLOG: usize = 1 << 20;
/// The candidate answers this much before the holder must.
const PASS_MARGIN: Micros = 10_000;
/// Where no plan says how long a candidate may be silent: it may be starting, or an operator may look at it.
const IDLE_SILENCE: Micros = 5_000_000;
/// A process whose connection has ended by itself is given so long to come to its own end.
const LAST_WORDS: Micros = 100_000;
/// A process that was ended is gone within this; then it is taken to be cut off somewhere.
const BURIAL: Micros = 300_000;
/// How often a process that is being ended is asked about.
const BURIAL_LOOK: Micros = 1_000;
/// Marks tickets of passed calls: the engine counts its own from 1.
const PASSED: u64 = 1 << 63;
/// Orders of a candidate that wait for a grant; the engine ends each after its own time.
const MOST_ASKED: usize = 256;
/// Attempts that wait for their word to leave. Each belongs to a passed call.
const MOST_WAITING: usize = MOST_PASSED;

/// What this process is to the other.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Role {
    /// No rollout.
    #[default]
    Alone,
    /// It has the clients, and passes calls.
    Holder,
    /// It decides what is passed, and takes no clients.
    Candidate,
    /// It was a candidate and takes clients; the holder still passes what its clients send.
    Successor,
}

/// What was counted, for operators and measurements.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Counts {
    passed: u64,
    kept: u64,
    given_back: u64,
    anew: u64,
    failed: u64,
    refused: u64,
    granted: u64,
    denied: u64,
}

/// The other process has been given up, and may still have attempts out.
struct Burial {
    process: Option<Process>,
    since: Micros,
}

/// See the module's page.
pub(super) struct Gradual {
    pub(super) role: Role,
    machine: Rollout,
    ledger: Ledger,
    seq: u64,
    counts: Counts,
    /// The other side's name and classes, what binds both, and where they differ.
    peer: Hail,
    bound: Vec<ClassTerms>,
    differ: Vec<Disagreement>,
    heard: Micros,
    /// The candidate's host list is as new as can be told.
    caught_up: bool,
    burial: Option<Burial>,
    /// Of a candidate: its calls by the holder's numbers.
    calls: HashMap<u64, Ticket>,
    /// Attempts whose word has not left: by which byte it will have.
    waiting: VecDeque<(u64, AttemptId, WorkerId, Micros)>,
    asked: HashMap<OrderId, (WorkerId, FunctionId, u32)>,
    /// What the holder counts for the ration of orders.
    ration: Vec<Tally>,
    /// Where the holder says that the rollout is.
    told: (String, f64),
    dismissed: Option<String>,
}

impl Gradual {
    pub(super) fn new(memory: usize) -> Self {
        Self {
            role: Role::Alone,
            machine: Rollout::default(),
            ledger: Ledger::new(MOST_PASSED, memory / MEMORY_SHARE / 2),
            seq: 0,
            counts: Counts::default(),
            peer: Hail::default(),
            bound: Vec::new(),
            differ: Vec::new(),
            heard: 0,
            caught_up: false,
            burial: None,
            calls: HashMap::new(),
            waiting: VecDeque::new(),
            asked: HashMap::new(),
            ration: Vec::new(),
            told: (Life::Idle.word().into(), 0.0),
            dismissed: None,
        }
    }

    /// Whether another process decides, or has decided, some of the calls: nobody else may come meanwhile.
    pub(super) fn is_busy(&self) -> bool {
        self.role != Role::Alone || self.burial.is_some()
    }

    pub(super) fn next_tick(&self, now: Micros) -> Micros {
        let burial = self.burial.as_ref().map_or(Micros::MAX, |_| now + BURIAL_LOOK);
        burial.min(self.ledger.next_due().unwrap_or(Micros::MAX))
    }

    /// Whether it is wanted no more.
    pub(super) fn is_dismissed(&self) -> bool {
        self.dismissed.is_some()
    }
}

fn ticket(seq: u64) -> Ticket {
    Ticket(PASSED | seq)
}

fn seq(ticket: Ticket) -> Option<u64> {
    (ticket.0 & PASSED != 0).then_some(ticket.0 & !PASSED)
}

// ---------------------------------------------------------------------------------- classes of two versions

/// What a deployment's classes allow, by name.
pub fn classes(deployment: &Deployment) -> Vec<ClassTerms> {
    let attempts = deployment.settings.max_attempts;
    let named = deployment.classes.iter().zip(&deployment.settings.classes);
    named.map(|(name, c)| ClassTerms { name: name.clone(), terms: Terms::new(c.effect, attempts) }).collect()
}

impl Node {
    /// The settings that bind this process: its own, and where another version is there the stricter side's.
    pub(super) fn binding(&self) -> Settings {
        let d = &self.config.deployment;
        let mut settings = d.settings.clone();
        for bound in &self.gradual.bound {
            if let Some(i) = d.class(&bound.name) {
                settings.classes[i].effect = bound.terms.effect();
            }
            settings.max_attempts = settings.max_attempts.min(bound.terms.attempts).max(1);
        }
        settings
    }

    /// Works out what binds both versions, and has the engine keep to it.
    fn bind(&mut self, now: Micros) {
        let (own, theirs) =
            (classes(&self.config.deployment), std::mem::take(&mut self.gradual.peer.classes));
        let (bound, differ) = match self.gradual.role {
            Role::Alone => (Vec::new(), Vec::new()),
            Role::Holder => strictest(&own, &theirs),
            Role::Candidate | Role::Successor => strictest(&theirs, &own),
        };
        self.gradual.peer.classes = theirs;
        for d in differ.iter().filter(|d| !self.gradual.differ.contains(d)) {
            self.log.line(now, format_args!("rollout: {d}"));
        }
        self.gradual.differ = differ;
        if bound != self.gradual.bound {
            self.gradual.bound = bound;
            let (settings, patience) = (self.binding(), self.config.deployment.transport.order_timeout);
            self.run_engine(|engine, out| engine.settings(now, settings, patience, out));
        }
    }

    /// The configuration has changed: the other version is told, and what binds both is worked out anew.
    pub(super) fn rebind(&mut self, now: Micros) {
        if self.gradual.role != Role::Alone {
            let classes = classes(&self.config.deployment);
            self.upgrade.say(&Word::Classes(classes));
            self.bind(now);
        }
    }

    fn terms(&self, class: &str) -> Option<Terms> {
        self.gradual.bound.iter().find(|c| c.name == class).map(|c| c.terms)
    }

    /// Whether only the new version knows this class, and decides calls now.
    pub(super) fn is_theirs(&self, class: &str) -> bool {
        let g = &self.gradual;
        let open = g.role == Role::Holder && g.machine.runs() && g.machine.share() > Share::NONE;
        open && self.config.deployment.class(class).is_none()
            && g.peer.classes.iter().any(|c| c.name == class)
    }
}

// ------------------------------------------------------------------------------------------- the holder

impl Node {
    /// Whether a new process may be a candidate, and what it is answered.
    pub(super) fn may_be_candidate(&self, hail: &Hail) -> Option<Hail> {
        let rollout = self.config.rollout.as_ref()?;
        let protocol = hail.protocols.iter().copied().filter(|p| lane::PROTOCOLS.contains(p)).max()?;
        let classes = classes(&self.config.deployment);
        Some(Hail { protocols: vec![protocol], version: rollout.version(), classes })
    }

    /// A candidate has been given its state.
    pub(super) fn attach(&mut self, now: Micros, hail: Hail) {
        self.log.line(now, format_args!("rollout: version {} is there as a candidate", hail.version));
        let g = &mut self.gradual;
        (g.role, g.peer, g.heard, g.caught_up) = (Role::Holder, hail, now, false);
        g.machine.attach();
        self.bind(now);
    }

    /// Which version decides this call; where it is the new one and there is room, it is passed.
    pub(super) fn pass(&mut self, now: Micros, pending: &Pending) -> Option<Ticket> {
        if self.gradual.role != Role::Holder || !self.gradual.machine.runs() {
            return None;
        }
        let call = &pending.call;
        let only_theirs = self.config.deployment.class(&call.class).is_none();
        let terms = match self.terms(&call.class) {
            Some(terms) => terms,
            // Whatever it is there, it is held to the strictest here.
            None if only_theirs => Terms::new(Effect::Unsafe, 1),
            None => return None,
        };
        let key = match terms.effect() {
            Effect::Keyed { window, .. } => call.key.as_deref().map(|key| (key, window)),
            _ => None,
        };
        if !only_theirs && self.gradual.machine.decide(now, key, &call.id) == Version::Old {
            return None;
        }
        let size = call.body.len();
        if self.upgrade.backlog() > BACKLOG || self.gradual.ledger.room(size).is_err() {
            self.gradual.counts.kept += 1;
            return None;
        }
        let tenant = pending.new.tenant.and_then(|t| self.config.deployment.tenants.get(t).cloned());
        let seq = self.gradual.seq + 1;
        let word = Word::Call(Passed {
            seq,
            id: call.id.to_string(),
            class: call.class.clone(),
            tenant,
            function: call.function.0.to_string(),
            due: pending.new.due - PASS_MARGIN,
            lanes: pending.new.lanes,
            repeat: pending.new.repeat,
            key: call.key.clone(),
            body: call.body.to_vec(),
        });
        self.upgrade.say(&word)?;
        let passed = self.gradual.ledger.pass(seq, &terms, pending.new.due, size);
        debug_assert!(passed.is_ok(), "there was room");
        (self.gradual.seq, self.gradual.counts.passed) = (seq, self.gradual.counts.passed + 1);
        Some(ticket(seq))
    }

    /// The client of a passed call has left. False where the call was not passed.
    pub(super) fn passed_left(&mut self, of: Ticket) -> bool {
        let Some(seq) = seq(of) else { return false };
        if self.gradual.ledger.left(seq) {
            self.upgrade.say(&Word::Left { seq });
        }
        true
    }

    /// A call has been answered: the gates count it.
    pub(super) fn count(&mut self, now: Micros, pending: &Pending, reply: &Reply) {
        if self.gradual.role != Role::Holder {
            return;
        }
        let ending = match reply {
            Reply::Served(_) => Ending::Served,
            Reply::Refused(_) => Ending::Refused,
            Reply::Failed | Reply::TimedOut => Ending::Failed,
        };
        let class = self.config.deployment.settings.classes.get(pending.new.class);
        let aim = class.map_or(Micros::MAX, |c| c.aim);
        let took = now - pending.arrived;
        self.gradual.machine.call(pending.by, &pending.call.class, ending, took, aim);
    }

    fn answer_passed(&mut self, now: Micros, seq: u64, reply: lane::Reply, body: Vec<u8>) {
        let ticket = ticket(seq);
        let by = AttemptId { ticket, number: 0 };
        if let Some(pending) = self.pending.get_mut(&ticket) {
            pending.answer = Some((by, body));
        }
        let verdict = match reply {
            lane::Reply::Served => Verdict::Served(by),
            lane::Reply::Refused(retry_after) => Verdict::Refused { retry_after },
            lane::Reply::Failed => Verdict::Failed,
            lane::Reply::TimedOut => Verdict::TimedOut,
        };
        self.answer(now, ticket, verdict);
    }

    fn holder_hears(&mut self, now: Micros, word: Word) -> Result<(), String> {
        let g = &mut self.gradual;
        match word {
            Word::Stands { caught_up } => {
                g.caught_up = caught_up;
                if caught_up && g.machine.life() == Life::Idle {
                    self.begin_by_file(now);
                }
            }
            Word::Intent { seq, number, host, at } => {
                let host: WorkerId = host.as_str().into();
                g.ledger.told(seq, number, &host, at).map_err(|fault| fault.0.to_string())?;
                self.note_sent(now, host, at);
            }
            Word::Ended { seq, number, end } => {
                let end = lane::ENDS.get(usize::from(end)).ok_or("an end that is none")?;
                g.ledger.ended(seq, number, *end).map_err(|fault| fault.0.to_string())?;
            }
            Word::Answer { seq, reply, body } => {
                let refused = matches!(reply, lane::Reply::Refused(_));
                if g.ledger.answered(seq, refused).map_err(|fault| fault.0.to_string())? {
                    self.answer_passed(now, seq, reply, body);
                }
            }
            Word::Return { seq } => {
                if g.ledger.returned(seq).map_err(|fault| fault.0.to_string())? {
                    g.counts.given_back += 1;
                    self.settle_fate(now, seq, Fate::Anew(Vec::new()));
                }
            }
            Word::Ask { order } => {
                let granted = self.engine.grant_order(now);
                self.gradual.counts.granted += u64::from(granted);
                self.gradual.counts.denied += u64::from(!granted);
                self.upgrade.say(&Word::Grant { order, granted });
            }
            Word::Ration(told) => {
                // Its orders were counted when they were granted.
                let calls = told.into_iter().map(|(at, calls, _)| Tally { at, calls, orders: 0 });
                let legacy = Legacy { tallies: calls.collect(), beside: true, ..Legacy::default() };
                self.run_engine(|engine, out| engine.inherit(now, legacy, out));
            }
            Word::Classes(classes) => {
                g.peer.classes = classes;
                self.bind(now);
            }
            Word::Leaving => g.machine.leaves(now),
            _ => return Err("a word that is the holder's".into()),
        }
        Ok(())
    }

    /// The other process sends to a host: where that is not warm, it counts here too.
    fn note_sent(&mut self, now: Micros, host: WorkerId, at: Micros) {
        if self.engine.is_cold(&host) {
            let legacy = Legacy { sends: vec![(host, vec![at.min(now)])], beside: true, ..Legacy::default() };
            self.run_engine(|engine, out| engine.inherit(now, legacy, out));
        }
    }

    fn begin_by_file(&mut self, now: Micros) {
        let Some(rollout) = self.config.rollout.as_ref().filter(|r| r.begin == Begin::Ready) else { return };
        if let Some(plan) = rollout.plan.clone() {
            if let Err(problem) = self.gradual.machine.begin(now, plan, Cause::File) {
                self.log.line(now, format_args!("rollout: not begun: {}", problem.0));
            }
        }
    }

    /// Gives the candidate up. What it has told by now is read, nothing more is taken, and it is ended, as it
    /// may have attempts out; its calls are looked at when it is known to be gone.
    fn give_up(&mut self, now: Micros, why: &'static str) {
        if self.gradual.role != Role::Holder {
            return;
        }
        self.log.line(now, format_args!("rollout: the new version is given up: {why}"));
        self.gradual.role = Role::Alone;
        let process = self.upgrade.take_process();
        self.upgrade.cut();
        // What was told before the cut counts; what is said besides does not.
        let mut others = VecDeque::new();
        while let Some(news) = self.upgrade.news.pop_front() {
            match news {
                News::Word(word) => self.hear_last(*word),
                News::Left(_) | News::Said(_) => {}
                arrived => others.push_back(arrived),
            }
        }
        self.upgrade.news = others;
        self.upgrade.say(&Word::Dismiss { why: why.into() });
        self.upgrade.drop_peer(why);
        self.upgrade.news.retain(|news| !matches!(news, News::Left(_)));
        process.iter().for_each(Process::kill);
        self.bury(now, process, Cause::Lost(why));
    }

    /// A word read after its speaker was given up: only what tells of attempts and answers counts.
    fn hear_last(&mut self, word: Word) {
        let now = self.clock.now();
        let ledger = &mut self.gradual.ledger;
        match word {
            Word::Intent { seq, number, host, at } => {
                // One that cannot be told from a fault may have run all the same: no end will come for it.
                let _ = ledger.told(seq, number, &host.as_str().into(), at);
            }
            Word::Ended { seq, number, end } => {
                if let Some(end) = lane::ENDS.get(usize::from(end)) {
                    let _ = ledger.ended(seq, number, *end);
                }
            }
            Word::Answer { seq, reply, body }
                if ledger.answered(seq, matches!(reply, lane::Reply::Refused(_))) == Ok(true) =>
            {
                self.answer_passed(now, seq, reply, body)
            }
            _ => {}
        }
    }

    fn bury(&mut self, now: Micros, process: Option<Process>, cause: Cause) {
        self.gradual.role = Role::Alone;
        self.gradual.burial = Some(Burial { process, since: now });
        self.gradual.machine.detach(now, cause);
        self.engine.alone();
        self.bind(now);
        self.look_at_burial(now);
    }

    fn look_at_burial(&mut self, now: Micros) {
        let Some(burial) = &self.gradual.burial else { return };
        let dead = burial.process.as_ref().is_some_and(Process::is_dead);
        if !dead && now - burial.since >= LAST_WORDS {
            burial.process.iter().for_each(Process::kill);
        }
        let over = burial.process.is_none() || now - burial.since >= BURIAL;
        if !dead && !over {
            return;
        }
        self.gradual.burial = None;
        if !dead {
            self.log
                .line(now, "rollout: it is not known to have ended: what may be out there is not sent anew");
        }
        for (seq, fate) in self.gradual.ledger.gone(now, dead) {
            self.settle_fate(now, seq, fate);
        }
        self.resize();
    }

    /// What the ledger says of a call that the candidate decides no more.
    fn settle_fate(&mut self, now: Micros, seq: u64, fate: Fate) {
        let counts = &mut self.gradual.counts;
        let retry_after = self.config.deployment.settings.max_retry_after;
        let known = self
            .pending
            .get(&ticket(seq))
            .is_some_and(|p| p.new.class < self.config.deployment.classes.len());
        let verdict = match fate {
            Fate::Anew(past) if known => {
                counts.anew += 1;
                return self.run_anew(now, seq, past);
            }
            // A class that only the candidate knew.
            Fate::Anew(past) if past.iter().any(Past::may_have_run) => Verdict::Failed,
            Fate::Anew(_) | Fate::Refuse => Verdict::Refused { retry_after },
            Fate::Fail => Verdict::Failed,
        };
        match verdict {
            Verdict::Failed => counts.failed += 1,
            _ => counts.refused += 1,
        }
        self.answer(now, ticket(seq), verdict);
    }

    fn run_anew(&mut self, now: Micros, seq: u64, past: Vec<Past>) {
        let Some(mut pending) = self.pending.remove(&ticket(seq)) else { return };
        let ended =
            |p: Past| PastAttempt { worker: p.host, sent: p.at, outcome: p.end.unwrap_or(Outcome::Reset) };
        let past = past.into_iter().map(ended).collect();
        let new = pending.new.clone();
        let ticket = self.run_engine(|engine, out| engine.request_again(now, new, past, out));
        (pending.by, pending.answer) = (Version::Old, None);
        self.admit(ticket, pending);
    }

    /// Has the candidate take the clients.
    fn hand_clients_over(&mut self, now: Micros) {
        let ration = upgrade::told(self.engine.tallies(0));
        self.tallied = now;
        self.upgrade.say(&Word::Ration(ration));
        self.upgrade.say(&Word::TakeOver);
    }

    /// This process was told to end: a candidate that was not taken back has the clients from now on.
    pub(super) fn end_rollout(&mut self, now: Micros) {
        match self.gradual.role {
            Role::Holder => match self.gradual.machine.ends(now) {
                Some(Act::Complete) => self.hand_clients_over(now),
                None if self.gradual.machine.life() == Life::Complete => {}
                None => self.give_up(now, "the old version ends, and the new one was taken back"),
            },
            Role::Candidate => drop(self.upgrade.say(&Word::Leaving)),
            Role::Successor | Role::Alone => {}
        }
    }
}

// ---------------------------------------------------------------------------------------- the candidate

impl Node {
    /// This process begins as a candidate.
    pub(super) fn be_candidate(&mut self, now: Micros, holder: Hail, ration: Vec<Tally>) {
        self.log.line(now, format_args!("rollout: a candidate beside version {}", holder.version));
        let g = &mut self.gradual;
        (g.role, g.peer, g.ration, g.heard) = (Role::Candidate, holder, ration, now);
        self.bind(now);
    }

    fn candidate_hears(&mut self, now: Micros, word: Word) -> Result<(), String> {
        let successor = self.gradual.role == Role::Successor;
        match word {
            Word::Holds { life, percent } => self.gradual.told = (life, percent),
            Word::Call(call) => self.take_passed(now, call),
            Word::Left { seq } => {
                if let Some(ticket) = self.gradual.calls.remove(&seq) {
                    self.client_left(ticket);
                }
            }
            Word::Grant { order, granted } => self.granted(now, OrderId(order), granted),
            Word::Sent { host, at } => self.note_sent(now, host.as_str().into(), at),
            Word::Ration(told) if successor => {
                let legacy = Legacy { tallies: upgrade::heard(&told), ..Legacy::default() };
                self.run_engine(|engine, out| engine.inherit(now, legacy, out));
            }
            Word::Ration(told) => {
                let period = self.config.deployment.settings.load_budget.map_or(0, |b| b.period);
                self.gradual.ration.extend(upgrade::heard(&told));
                self.gradual.ration.retain(|t| t.at > now - period);
            }
            Word::Classes(classes) => {
                self.gradual.peer.classes = classes;
                self.bind(now);
            }
            Word::TakeOver => {
                self.gradual.role = Role::Successor;
                self.inherit_ration(now);
                self.log.line(now, "rollout: complete, this version takes the clients");
            }
            Word::Dismiss { why } => {
                self.log.line(now, format_args!("rollout: the old version wants this one no more: {why}"));
                self.gradual.dismissed = Some(why);
            }
            _ => return Err("a word that is the candidate's".into()),
        }
        Ok(())
    }

    fn inherit_ration(&mut self, now: Micros) {
        let tallies = std::mem::take(&mut self.gradual.ration);
        let legacy = Legacy { tallies, ..Legacy::default() };
        self.run_engine(|engine, out| engine.inherit(now, legacy, out));
    }

    /// A call is passed to this process.
    fn take_passed(&mut self, now: Micros, passed: Passed) {
        let seq = passed.seq;
        let d = &self.config.deployment;
        let class = d.class(&passed.class);
        let tenant = passed.tenant.as_deref().map(|t| d.tenant(t));
        let size = passed.body.len();
        let known = tenant != Some(None) && !self.ids.contains(passed.id.as_str());
        let (Some(class), true, true) = (class, known, self.bodies + size <= self.most_bodies) else {
            self.upgrade.say(&Word::Return { seq });
            return;
        };
        let new = NewRequest {
            class,
            tenant: tenant.flatten(),
            function: passed.function.as_str().into(),
            due: passed.due,
            lanes: passed.lanes,
            repeat: passed.repeat,
        };
        self.bodies += size;
        let call = Call {
            id: passed.id.into(),
            class: passed.class,
            function: new.function.clone(),
            key: passed.key,
            body: Rc::from(passed.body),
        };
        let origin = Origin::Peer(seq);
        let pending =
            Pending { call, origin, answer: None, new: new.clone(), arrived: now, by: Version::New };
        let ticket = self.run_engine(|engine, out| engine.request(now, new, out));
        self.gradual.calls.insert(seq, ticket);
        self.ids.insert(pending.call.id.clone());
        self.pending.insert(ticket, pending);
    }

    /// Answers a call that was passed to this process.
    pub(super) fn answer_holder(&mut self, seq: u64, reply: Reply) {
        self.gradual.calls.remove(&seq);
        let (reply, body) = match reply {
            Reply::Served(body) => (lane::Reply::Served, body),
            Reply::Refused(wait) => (lane::Reply::Refused(wait), Vec::new()),
            Reply::Failed => (lane::Reply::Failed, Vec::new()),
            Reply::TimedOut => (lane::Reply::TimedOut, Vec::new()),
        };
        self.upgrade.say(&Word::Answer { seq, reply, body });
    }

    /// Sends an attempt. That of a passed call leaves once the system has taken all of its word.
    pub(super) fn send(&mut self, now: Micros, attempt: AttemptId, host: WorkerId, until: Micros) {
        let Some(pending) = self.pending.get(&attempt.ticket) else {
            return self.run_engine(|e, out| e.attempt_ended(now, attempt, Outcome::NotSent.into(), out));
        };
        if let Origin::Peer(seq) = pending.origin {
            let AttemptId { number, .. } = attempt;
            let word = Word::Intent { seq, number, host: host.0.to_string(), at: now };
            let left = match self.upgrade.say(&word) {
                Some(by) if self.gradual.waiting.len() < MOST_WAITING => by,
                _ => return self.never_left(now, attempt),
            };
            self.gradual.waiting.push_back((left, attempt, host, until));
            return self.send_told(now);
        }
        if self.gradual.role == Role::Holder && self.engine.is_cold(&host) {
            self.upgrade.say(&Word::Sent { host: host.0.to_string(), at: now });
        }
        if let Some(pending) = self.pending.get(&attempt.ticket) {
            self.hosts.send(now, attempt, &host, &pending.call, until, &mut self.log);
        }
    }

    fn never_left(&mut self, now: Micros, attempt: AttemptId) {
        self.tell_end(attempt, Outcome::NotSent);
        self.run_engine(|engine, out| engine.attempt_ended(now, attempt, Outcome::NotSent.into(), out));
    }

    /// Sends the attempts whose words have left by now.
    pub(super) fn send_told(&mut self, now: Micros) {
        let taken = self.upgrade.taken();
        while self.gradual.waiting.front().is_some_and(|(by, ..)| *by <= taken) {
            let Some((_, attempt, host, until)) = self.gradual.waiting.pop_front() else { return };
            match self.pending.get(&attempt.ticket) {
                Some(pending) => self.hosts.send(now, attempt, &host, &pending.call, until, &mut self.log),
                None => self.never_left(now, attempt),
            }
        }
    }

    /// Takes back an attempt whose word has not left. False where it is not one of these.
    pub(super) fn cancel_told(&mut self, now: Micros, attempt: AttemptId) -> bool {
        let Some(at) = self.gradual.waiting.iter().position(|(_, a, ..)| *a == attempt) else { return false };
        self.gradual.waiting.remove(at);
        self.never_left(now, attempt);
        true
    }

    /// An attempt of a passed call has ended.
    pub(super) fn tell_end(&mut self, attempt: AttemptId, end: Outcome) {
        let origin = self.pending.get(&attempt.ticket).map(|p| &p.origin);
        if let (Some(Origin::Peer(seq)), true) = (origin, end != Outcome::Done) {
            let word = Word::Ended { seq: *seq, number: attempt.number, end: lane::number(end) };
            self.upgrade.say(&word);
        }
    }

    /// Gives an order to load. A candidate's is asked for first: the ration is the holder's.
    pub(super) fn load(
        &mut self,
        now: Micros,
        order: OrderId,
        host: WorkerId,
        function: FunctionId,
        copies: u32,
    ) {
        if self.gradual.role != Role::Candidate {
            return self.hosts.load(now, order, &host, (&function, copies), &mut self.log);
        }
        let asked = self.gradual.asked.len() < MOST_ASKED
            && self.upgrade.say(&Word::Ask { order: order.0 }).is_some();
        if asked {
            self.gradual.asked.insert(order, (host, function, copies));
        } else {
            self.run_engine(|engine, out| engine.order_ended(now, order, Outcome::NotSent, 0, out));
        }
    }

    fn granted(&mut self, now: Micros, order: OrderId, granted: bool) {
        let Some((host, function, copies)) = self.gradual.asked.remove(&order) else { return };
        if granted {
            self.hosts.load(now, order, &host, (&function, copies), &mut self.log);
        } else {
            self.run_engine(|engine, out| engine.order_ended(now, order, Outcome::NotSent, 0, out));
        }
    }

    /// The holder is gone, and its clients with it: nothing that it passed is owed any more. What was told but
    /// has not left is taken back.
    fn holder_left(&mut self, now: Micros) {
        for (_, attempt, ..) in std::mem::take(&mut self.gradual.waiting) {
            self.run_engine(|engine, out| engine.attempt_ended(now, attempt, Outcome::NotSent.into(), out));
        }
        let mut calls: Vec<_> = std::mem::take(&mut self.gradual.calls).into_values().collect();
        calls.sort();
        for ticket in calls {
            self.client_left(ticket);
        }
        let mut asked: Vec<_> = std::mem::take(&mut self.gradual.asked).into_keys().collect();
        asked.sort();
        for order in asked {
            self.run_engine(|engine, out| engine.order_ended(now, order, Outcome::NotSent, 0, out));
        }
        if self.gradual.role == Role::Candidate && self.gradual.dismissed.is_none() {
            self.gradual.burial = Some(Burial { process: self.upgrade.take_process(), since: now });
            self.succeed_holder(now);
        } else {
            self.gradual.role = Role::Alone;
            self.bind(now);
        }
    }

    /// A holder that died leaves its place to this process; one that lives has cut it off.
    fn succeed_holder(&mut self, now: Micros) {
        let Some(burial) = &self.gradual.burial else { return };
        let dead = burial.process.as_ref().is_none_or(Process::is_dead);
        if !dead && now - burial.since < BURIAL {
            return;
        }
        self.gradual.burial = None;
        if dead {
            self.log.line(now, "rollout: the old version is gone, this one serves on alone");
            self.gradual.role = Role::Alone;
            self.inherit_ration(now);
            self.bind(now);
            self.resize();
        } else {
            let why = "the old version lives and has cut this one off";
            self.log.line(now, format_args!("rollout: {why}"));
            self.gradual.dismissed = Some(why.into());
        }
    }
}

// --------------------------------------------------------------------------------------------- both sides

impl Node {
    pub(super) fn hear_word(&mut self, now: Micros, word: Word) {
        self.gradual.heard = now;
        let heard = match self.gradual.role {
            Role::Holder => self.holder_hears(now, word),
            Role::Candidate | Role::Successor => self.candidate_hears(now, word),
            Role::Alone => return,
        };
        if let Err(fault) = heard {
            self.log.line(now, format_args!("rollout: the other process broke the protocol: {fault}"));
            match self.gradual.role {
                Role::Holder => self.give_up(now, "it broke the protocol"),
                _ => self.upgrade.drop_peer("it broke the protocol"),
            }
        }
    }

    /// The connection to the other process of a rollout has ended. False where there was none.
    pub(super) fn rollout_peer_left(&mut self, now: Micros, why: &str) -> bool {
        match self.gradual.role {
            Role::Alone => return false,
            Role::Holder => {
                self.log.line(now, format_args!("rollout: the new version is gone: {why}"));
                let process = self.upgrade.take_process();
                self.bury(now, process, Cause::Lost("its connection has ended"));
            }
            Role::Candidate | Role::Successor => self.holder_left(now),
        }
        true
    }

    /// What is due; `often` is true a few times a second.
    pub(super) fn tick_rollout(&mut self, now: Micros, often: bool) {
        for seq in self.gradual.ledger.overdue(now) {
            self.upgrade.say(&Word::Left { seq });
            self.answer(now, ticket(seq), Verdict::TimedOut);
        }
        match self.gradual.role {
            Role::Candidate if self.gradual.burial.is_some() => self.succeed_holder(now),
            _ => self.look_at_burial(now),
        }
        if !often {
            return;
        }
        match self.gradual.role {
            Role::Alone => {}
            Role::Holder => self.tend_candidate(now),
            Role::Candidate | Role::Successor => {
                let caught_up = self.is_caught_up(now);
                self.upgrade.say(&Word::Stands { caught_up });
                if self.gradual.role == Role::Candidate {
                    self.tell_ration(now);
                }
            }
        }
        for change in self.gradual.machine.news() {
            let name = self.gradual.machine.plan().map_or("", |(plan, _)| &plan.name);
            let (from, to) = (change.from.word(), change.to.word());
            let percent = change.share.percent();
            self.log
                .line(now, format_args!("rollout {name}: {from} to {to} at {percent}%: {}", change.cause));
        }
    }

    fn tell_ration(&mut self, now: Micros) {
        let ration = upgrade::told(self.engine.tallies(self.tallied));
        self.tallied = now;
        if !ration.is_empty() {
            self.upgrade.say(&Word::Ration(ration));
        }
    }

    fn tend_candidate(&mut self, now: Micros) {
        let (life, percent) = (self.gradual.machine.life(), self.gradual.machine.share().percent());
        self.upgrade.say(&Word::Holds { life: life.word().into(), percent });
        let due = if life == Life::Complete { 0.0 } else { percent / 100.0 };
        self.engine.set_beside(due);
        if !self.succeeded {
            self.tell_ration(now);
        }
        let running = matches!(life, Life::Stepping | Life::Held | Life::GoingBack | Life::Complete);
        let patience = if running { self.gradual.machine.silence() } else { IDLE_SILENCE };
        if now - self.gradual.heard >= patience {
            // This process may have been held up itself: what waits to be read counts.
            let before = self.upgrade.news.len();
            self.upgrade.poll_peer();
            if self.upgrade.news.len() == before {
                return self.give_up(now, "it says nothing");
            }
        }
        let open = self.gradual.ledger.len();
        if self.gradual.machine.tick(now, open) == Some(Act::Complete) {
            self.hand_clients_over(now);
        }
    }
}

// --------------------------------------------------------------------------------------------- operators

impl Node {
    pub(super) fn operate_rollout(&mut self, now: Micros, call: RolloutCall) -> Response {
        let conflict = |why: &str| Response::problem(409, why);
        let Some(setup) = &self.config.rollout else {
            return Response::problem(404, "rollouts are not set up: the configuration has no [rollout]");
        };
        if call == RolloutCall::Show {
            return Response::json(200, self.show_rollout(now));
        }
        if matches!(self.gradual.role, Role::Candidate | Role::Successor) {
            return conflict("this is the new version: call the old one, which has the clients");
        }
        if self.stopping.is_some() {
            return conflict("the program has been told to end");
        }
        let done = match call {
            RolloutCall::Begin(plan) => {
                let Some(plan) = plan.map(|p| *p).or_else(|| setup.plan.clone()) else {
                    return Response::problem(400, "there is no plan: neither in the call nor in the file");
                };
                if self.gradual.role == Role::Holder && !self.gradual.caught_up {
                    return conflict("the new version does not know its script hosts yet");
                }
                self.gradual.machine.begin(now, plan, Cause::Operator("begin")).map(|()| None)
            }
            RolloutCall::Step(to) => self.gradual.machine.step(now, to).map(|()| None),
            RolloutCall::Hold => self.gradual.machine.hold(now).map(|()| None),
            RolloutCall::Back => self.gradual.machine.back(now).map(|()| None),
            RolloutCall::Complete => self.gradual.machine.complete(now),
            RolloutCall::Show => Ok(None),
        };
        match done {
            Err(refusal) => conflict(&refusal.0),
            Ok(act) => {
                if act == Some(Act::Complete) {
                    self.hand_clients_over(now);
                }
                self.tick_rollout(now, true);
                let m = &self.gradual.machine;
                let told = serde_json::json!({"life": m.life().word(), "percent": m.share().percent()});
                Response::json(200, told)
            }
        }
    }

    /// What an operator may want to know. Bounded: the gates' rows, the history and the plan are.
    fn show_rollout(&self, now: Micros) -> serde_json::Value {
        let (g, m) = (&self.gradual, &self.gradual.machine);
        let count = |c: wheellink_rollout::Count| serde_json::json!({"calls": c.calls, "hits": c.hits});
        let gates = m.gates().all().into_iter().map(|gate| {
            serde_json::json!({"class": gate.class, "kind": gate.kind.word(), "old": count(gate.old),
            "new": count(gate.new), "evidence": (gate.log_e * 100.0).round() / 100.0,
            "verdict": match gate.verdict {
                wheellink_rollout::Verdict::NotKnown => "not_known",
                wheellink_rollout::Verdict::Holds => "holds",
                wheellink_rollout::Verdict::Fails => "fails",
            }})
        });
        let gates: Vec<_> = gates.collect();
        let history: Vec<_> = m
            .history()
            .map(|c| {
                serde_json::json!({"at_ms": c.at / 1000, "from": c.from.word(), "to": c.to.word(),
                    "percent": c.share.percent(), "cause": c.cause.to_string()})
            })
            .collect();
        let [old, new] = m.gates().times();
        let ms = |(p50, p99): (u64, u64)| serde_json::json!({"p50": p50 as f64 / 1000.0, "p99": p99 as f64 / 1000.0});
        let c = &g.counts;
        let differ: Vec<_> = g.differ.iter().map(ToString::to_string).collect();
        let role = match g.role {
            Role::Alone => "alone",
            Role::Holder => "holder",
            Role::Candidate => "candidate",
            Role::Successor => "successor",
        };
        let (life, percent) = match g.role {
            Role::Candidate | Role::Successor => g.told.clone(),
            _ => (m.life().word().to_string(), m.share().percent()),
        };
        serde_json::json!({"role": role, "life": life, "percent": percent,
            "version": self.config.rollout.as_ref().map(|r| r.version()), "other_version": g.peer.version,
            "plan": m.plan().map(|(plan, _)| plan), "step": m.plan().map(|(_, step)| step + 1),
            "candidate": {"attached": m.attached(), "caught_up": g.caught_up,
                "heard_ms_ago": if g.role == Role::Alone { None } else { Some((now - g.heard) / 1000) }},
            "calls_out": g.ledger.len(), "bytes_out": g.ledger.bytes(), "calls_in": g.calls.len(),
            "counts": {"passed": c.passed, "kept_for_want_of_room": c.kept, "given_back": c.given_back,
                "run_anew": c.anew, "failed_by_loss": c.failed, "refused_by_loss": c.refused,
                "orders_granted": c.granted, "orders_denied": c.denied},
            "keys_pinned": m.split().pins(), "keys_forgotten": m.split().forgotten,
            "classes": differ, "times_ms": {"old": ms(old), "new": ms(new)}, "gates": gates, "history": history})
    }
}
