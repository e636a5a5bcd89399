//! The holder's side: which calls are passed, what the candidate's words mean, and what becomes of its calls when it
//! is gone.

use super::*;

impl Node {
    /// Whether a new process may be a candidate, and what it is answered.
    pub(in crate::node) fn may_be_candidate(&self, hail: &Hail) -> Option<Hail> {
        let rollout = self.config.rollout.as_ref()?;
        let protocol = hail.protocols.iter().copied().filter(|p| lane::PROTOCOLS.contains(p)).max()?;
        let classes = classes(&self.config.deployment);
        Some(Hail { protocols: vec![protocol], version: rollout.version(), classes })
    }

    /// A candidate has been given its state.
    pub(in crate::node) fn attach(&mut self, now: Micros, hail: Hail) {
        self.log.line(now, format_args!("rollout: version {} is there as a candidate", hail.version));
        let g = &mut self.gradual;
        (g.role, g.peer, g.heard, g.caught_up) = (Role::Holder, hail, now, false);
        g.machine.attach();
        self.bind(now);
    }

    /// Which version decides this call; where it is the new one and there is room, it is passed.
    pub(in crate::node) fn pass(&mut self, now: Micros, pending: &Pending) -> Option<Ticket> {
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
    pub(in crate::node) fn passed_left(&mut self, of: Ticket) -> bool {
        let Some(seq) = seq(of) else { return false };
        if self.gradual.ledger.left(seq) {
            self.upgrade.say(&Word::Left { seq });
        }
        true
    }

    /// A call has been answered: the gates count it.
    pub(in crate::node) fn count(&mut self, now: Micros, pending: &Pending, reply: &Reply) {
        if self.gradual.role != Role::Holder {
            return;
        }
        let ending = match reply {
            Reply::Served(_) => Ending::Served,
            Reply::Refused(_) | Reply::TurnedAway(_) => Ending::Refused,
            Reply::Failed | Reply::TimedOut => Ending::Failed,
        };
        let class = self.config.deployment.settings.classes.get(pending.new.class);
        let aim = class.map_or(Micros::MAX, |c| c.aim);
        let took = now - pending.arrived;
        self.gradual.machine.call(pending.by, &pending.call.class, ending, took, aim);
    }

    pub(super) fn answer_passed(&mut self, now: Micros, seq: u64, reply: lane::Reply, body: Vec<u8>) {
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

    pub(super) fn holder_hears(&mut self, now: Micros, word: Word) -> Result<(), String> {
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
    pub(super) fn note_sent(&mut self, now: Micros, host: WorkerId, at: Micros) {
        if self.engine.is_cold(&host) {
            let legacy = Legacy { sends: vec![(host, vec![at.min(now)])], beside: true, ..Legacy::default() };
            self.run_engine(|engine, out| engine.inherit(now, legacy, out));
        }
    }

    pub(super) fn begin_by_file(&mut self, now: Micros) {
        let Some(rollout) = self.config.rollout.as_ref().filter(|r| r.begin == Begin::Ready) else { return };
        if let Some(plan) = rollout.plan.clone() {
            if let Err(problem) = self.gradual.machine.begin(now, plan, Cause::File) {
                self.log.line(now, format_args!("rollout: not begun: {}", problem.0));
            }
        }
    }

    /// Gives the candidate up. What it has told by now is read, nothing more is taken, and it is ended, as it
    /// may have attempts out; its calls are looked at when it is known to be gone.
    pub(super) fn give_up(&mut self, now: Micros, why: &'static str) {
        if self.gradual.role != Role::Holder {
            return;
        }
        self.log.line(now, format_args!("rollout: the new version is given up: {why}"));
        self.gradual.role = Role::Alone;
        let process = self.upgrade.take_process();
        self.upgrade.say(&Word::Dismiss { why: why.into() });
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
        process.iter().for_each(Process::kill);
        self.bury(now, process, Cause::Lost(why));
    }

    /// A word read after its speaker was given up: only what tells of attempts and answers counts.
    pub(super) fn hear_last(&mut self, word: Word) {
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

    pub(super) fn bury(&mut self, now: Micros, process: Option<Process>, cause: Cause) {
        self.gradual.role = Role::Alone;
        self.gradual.burial = Some(Burial { process, since: now });
        self.gradual.machine.detach(now, cause);
        self.engine.alone();
        self.bind(now);
        self.look_at_burial(now);
    }

    pub(super) fn look_at_burial(&mut self, now: Micros) {
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
    pub(super) fn settle_fate(&mut self, now: Micros, seq: u64, fate: Fate) {
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

    pub(super) fn run_anew(&mut self, now: Micros, seq: u64, past: Vec<Past>) {
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
    pub(super) fn hand_clients_over(&mut self, now: Micros) {
        let ration = upgrade::told(self.engine.tallies(0));
        self.tallied = now;
        self.upgrade.say(&Word::Ration(ration));
        if let Some(addresses) = self.entrance.state(now) {
            self.upgrade.tell(&Message::Learnt { addresses });
        }
        self.upgrade.say(&Word::TakeOver);
    }

    /// This process was told to end: a candidate that was not taken back has the clients from now on.
    pub(in crate::node) fn end_rollout(&mut self, now: Micros) {
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
