//! The holder's side: which calls are passed, how the candidate's messages are handled, and how passed calls are settled
//! when the candidate is lost.

use wheellink::engine::AttemptEnd;

use super::*;

/// The highest protocol version that both processes support.
fn spoken(hail: &VersionInfo) -> Option<u32> {
    hail.protocols.iter().copied().filter(|p| ipc::PROTOCOLS.contains(p)).max()
}

impl Node {
    /// The reply to a new process that may be a candidate; `None` if it may not.
    pub(in crate::node) fn may_be_candidate(&self, hail: &VersionInfo) -> Option<VersionInfo> {
        let rollout = self.config.rollout.as_ref()?;
        let protocol = spoken(hail)?;
        let classes = classes(&self.config.deployment);
        Some(VersionInfo { protocols: vec![protocol], version: rollout.version(), classes })
    }

    /// Starts the holder's role, after the candidate has received its state.
    pub(in crate::node) fn attach(&mut self, now: Micros, hail: VersionInfo) {
        self.log.line(now, format_args!("rollout: version {} has connected as a candidate", hail.version));
        let g = &mut self.gradual;
        g.protocol = spoken(&hail).unwrap_or(0);
        (g.role, g.peer, g.heard, g.caught_up) = (Role::Holder, hail, now, false);
        g.machine.attach();
        self.bind(now);
    }

    /// Decides which version handles this call. If it is the new one and there is room, passes the call with its turn, its
    /// draft and its preferred locations; a protocol without fields carries none of the three.
    pub(in crate::node) fn pass(
        &mut self,
        now: Micros,
        pending: &Pending,
        turn: Option<&Turn>,
        advice: &[PreferredLocation],
    ) -> Option<Ticket> {
        if self.gradual.role != Role::Holder || !self.gradual.machine.passes_calls() {
            return None;
        }
        let call = &pending.call;
        let only_theirs = self.config.deployment.class(&call.class).is_none();
        let terms = match self.terms(&call.class) {
            Some(terms) => terms,
            // Only the other version knows the class's policy: the strictest one applies here.
            None if only_theirs => RetryPolicy::new(Effect::Unsafe, 1),
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
        if self.upgrade.backlog() > BACKLOG || self.gradual.ledger.check_capacity(size).is_err() {
            self.gradual.counts.kept += 1;
            return None;
        }
        let tenant = pending.new.tenant.and_then(|t| self.config.deployment.tenants.get(t).cloned());
        let seq = self.gradual.seq + 1;
        let call = PassedCall {
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
        };
        let (mut given, mut offer) = (CallFields::default(), None);
        if self.gradual.protocol >= ipc::FIELDS_PROTOCOL {
            offer = self.offer_draft(pending);
            given.turn = turn.map(|t| (t.conversation, t.new_blocks, t.prefix.clone()));
            given.draft = offer.as_ref().map(|offer| offer.draft);
            given.sites = advice.iter().filter_map(|spot| self.place(spot)).collect();
        }
        let more = given.to_fields();
        let word = if more.is_empty() { Frame::Call(call) } else { Frame::CallExt(call, more) };
        self.upgrade.send_frame(&word)?;
        self.offered(ticket(seq), offer);
        let passed = self.gradual.ledger.pass(seq, &terms, pending.new.due, size);
        debug_assert!(passed.is_ok(), "the capacity was checked above");
        (self.gradual.seq, self.gradual.counts.passed) = (seq, self.gradual.counts.passed + 1);
        Some(ticket(seq))
    }

    /// A preferred location in the form that the other version understands.
    fn place(&self, spot: &PreferredLocation) -> Option<Site> {
        match spot {
            PreferredLocation::Cell(cell) => Some(Site::Cell(*cell)),
            PreferredLocation::Zone(zone) => {
                self.config.deployment.zones.get(*zone as usize).cloned().map(Site::Zone)
            }
            PreferredLocation::Worker(host) => Some(Site::Host(host.0.to_string())),
        }
    }

    /// Whether the call of this ticket carries its turn and its draft: a call that was not passed always does.
    pub(in crate::node) fn carries(&self, of: Ticket) -> bool {
        seq(of).is_none() || self.gradual.protocol >= ipc::FIELDS_PROTOCOL
    }

    /// Records the start of a passed call's attempt, as of an attempt of this process.
    fn passed_begins(&mut self, now: Micros, seq: u64, number: u32, host: &WorkerId) {
        let attempt = AttemptId { ticket: ticket(seq), number };
        self.gradual.out.insert(seq, number);
        self.turn_sent(now, attempt, host);
        self.draft_begins(attempt, host);
    }

    /// Records the end of a passed call's attempt; a second call has no effect. Only the holder learns from what the host
    /// reported.
    fn passed_ends(&mut self, now: Micros, seq: u64, end: AttemptEnd, fields: &[(String, String)]) {
        let Some(number) = self.gradual.out.remove(&seq) else { return };
        let attempt = AttemptId { ticket: ticket(seq), number };
        self.drafted(now, attempt, &end, fields);
        self.turn_ended(now, attempt, &end, fields);
    }

    /// Ends the accounting of a passed call that is answered, or that this process decides from now on. An attempt still in
    /// flight at the candidate is recorded as cancelled, and later messages about it are not counted.
    pub(in crate::node) fn passed_over(&mut self, now: Micros, of: Ticket) {
        let Some(seq) = seq(of) else { return };
        self.passed_ends(now, seq, Outcome::Cancelled.into(), &[]);
        self.offered(of, None);
    }

    /// Handles the departure of a passed call's client. Returns false if the call was not passed.
    pub(in crate::node) fn passed_left(&mut self, of: Ticket) -> bool {
        let Some(seq) = seq(of) else { return false };
        if self.gradual.ledger.remove(seq) {
            self.upgrade.send_frame(&Frame::Abandoned { seq });
        }
        true
    }

    /// Records an answered call for the gates.
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
        self.gradual.machine.record(pending.version, &pending.call.class, ending, took, aim);
    }

    pub(super) fn answer_passed(&mut self, now: Micros, seq: u64, reply: ipc::Reply, body: Vec<u8>) {
        let ticket = ticket(seq);
        let by = AttemptId { ticket, number: 0 };
        if let Some(pending) = self.pending.get_mut(&ticket) {
            pending.answer = Some((by, body));
        }
        let verdict = match reply {
            ipc::Reply::Served => Verdict::Served(by),
            ipc::Reply::Refused(retry_after) => Verdict::Refused { retry_after },
            ipc::Reply::Failed => Verdict::Failed,
            ipc::Reply::TimedOut => Verdict::TimedOut,
        };
        self.deliver_verdict(now, ticket, verdict);
    }

    /// Handles a frame about attempts or answers. Returns any other frame. These frames count even after the candidate was
    /// given up, up to the last one read.
    fn hear_of_attempt(&mut self, now: Micros, word: Frame) -> Result<Option<Frame>, String> {
        let ledger = &mut self.gradual.ledger;
        match word {
            Frame::Intent { seq, number, host, at } => {
                let host: WorkerId = host.as_str().into();
                // False if the call is no longer in the ledger. The attempt's end will be ignored too, but it may have
                // run, so its send is noted below.
                if ledger.attempt_announced(seq, number, &host, at).map_err(|fault| fault.0)? {
                    self.passed_begins(now, seq, number, &host);
                }
                self.note_sent(now, host, at);
            }
            Frame::AttemptEnded { seq, number, code: end } => {
                let end = ipc::OUTCOMES.get(usize::from(end)).ok_or("unknown outcome code")?;
                if ledger.attempt_ended(seq, number, *end).map_err(|fault| fault.0)? {
                    self.passed_ends(now, seq, (*end).into(), &[]);
                }
            }
            Frame::Answer { seq, reply, body } => {
                self.hear_answer(now, seq, reply, body, &Fields::default())?;
            }
            Frame::AnswerExt { seq, reply, body, fields: more } => {
                self.hear_answer(now, seq, reply, body, &more)?
            }
            other => return Ok(Some(other)),
        }
        Ok(None)
    }

    fn hear_answer(
        &mut self,
        now: Micros,
        seq: u64,
        reply: ipc::Reply,
        body: Vec<u8>,
        more: &Fields,
    ) -> Result<(), String> {
        let refused = matches!(reply, ipc::Reply::Refused(_));
        // A repeated or late answer belongs to a call that is over, and is ignored.
        if !self.gradual.ledger.answered(seq, refused).map_err(|fault| fault.0)? {
            return Ok(());
        }
        if reply == ipc::Reply::Served {
            let (said, refused) = AnswerFields::parse(more);
            for why in refused {
                self.log.line(now, format_args!("rollout: a field of an answer is refused: {why}"));
            }
            let end = AttemptEnd { report: said.load_report(), ..Outcome::Done.into() };
            self.passed_ends(now, seq, end, &said.fields);
        }
        self.answer_passed(now, seq, reply, body);
        Ok(())
    }

    pub(super) fn holder_hears(&mut self, now: Micros, word: Frame) -> Result<(), String> {
        let Some(word) = self.hear_of_attempt(now, word)? else { return Ok(()) };
        let g = &mut self.gradual;
        match word {
            Frame::CandidateAlive { caught_up } => {
                g.caught_up = caught_up;
                if caught_up && g.machine.phase() == Phase::Idle {
                    self.begin_by_file(now);
                }
            }
            Frame::Return { seq } => {
                if g.ledger.returned(seq).map_err(|fault| fault.0.to_string())? {
                    g.counts.given_back += 1;
                    self.settle_fate(now, seq, Recovery::Rerun(Vec::new()));
                }
            }
            Frame::OrderRequest { order } => {
                let granted = self.engine.grant_order(now);
                self.gradual.counts.granted += u64::from(granted);
                self.gradual.counts.denied += u64::from(!granted);
                self.upgrade.send_frame(&Frame::OrderReply { order, granted });
            }
            Frame::Tallies(told) => {
                // The candidate's orders were counted when they were granted.
                let calls = told.into_iter().map(|(at, calls, _)| Tally { at, calls, orders: 0 });
                let legacy = HandoverState {
                    tallies: calls.collect(),
                    sender_keeps_running: true,
                    ..HandoverState::default()
                };
                self.run_engine(|engine, out| engine.inherit(now, legacy, out));
            }
            Frame::Classes(classes) => {
                g.peer.classes = classes;
                self.bind(now);
            }
            Frame::Leaving => g.machine.candidate_leaving(now),
            _ => return Err("a frame that only the holder sends".into()),
        }
        Ok(())
    }

    /// Counts the other process's send to a host that is cold, as one of this process's own.
    pub(super) fn note_sent(&mut self, now: Micros, host: WorkerId, at: Micros) {
        if self.engine.is_cold(&host) {
            let legacy = HandoverState {
                sends: vec![(host, vec![at.min(now)])],
                sender_keeps_running: true,
                ..HandoverState::default()
            };
            self.run_engine(|engine, out| engine.inherit(now, legacy, out));
        }
    }

    pub(super) fn begin_by_file(&mut self, now: Micros) {
        let Some(rollout) = self.config.rollout.as_ref().filter(|r| r.begin == StartOn::Ready) else {
            return;
        };
        if let Some(plan) = rollout.plan.clone() {
            if let Err(problem) = self.gradual.machine.begin(now, plan, Cause::SettingsFile) {
                self.log.line(now, format_args!("rollout: not started: {}", problem.0));
            }
        }
    }

    /// Gives the candidate up. Handles the frames received so far, reads no more, and kills the process, as it may have
    /// attempts in flight. Its calls are settled when it has exited or the wait for that is over.
    pub(super) fn give_up(&mut self, now: Micros, why: &'static str) {
        if self.gradual.role != Role::Holder {
            return;
        }
        self.log.line(now, format_args!("rollout: the new version is given up: {why}"));
        self.gradual.role = Role::Alone;
        let process = self.upgrade.take_process();
        self.upgrade.send_frame(&Frame::Dismiss { reason: why.into() });
        self.upgrade.stop_reading();
        // Frames received before reading stopped count; other messages of the candidate do not.
        let mut others = VecDeque::new();
        while let Some(news) = self.upgrade.events.pop_front() {
            match news {
                PeerEvent::Frame(word) => self.hear_last(*word),
                PeerEvent::Disconnected(_) | PeerEvent::Message(_) => {}
                arrived => others.push_back(arrived),
            }
        }
        self.upgrade.events = others;
        process.iter().for_each(Process::kill);
        self.bury(now, process, Cause::CandidateLost(why));
    }

    /// Handles a frame read after the candidate was given up: only those about attempts and answers count.
    pub(super) fn hear_last(&mut self, word: Frame) {
        let now = self.clock.now();
        let _ = self.hear_of_attempt(now, word);
    }

    pub(super) fn bury(&mut self, now: Micros, process: Option<Process>, cause: Cause) {
        self.gradual.role = Role::Alone;
        self.gradual.burial = Some(Burial { process, since: now });
        self.gradual.machine.detach(now, cause);
        self.engine.peer_gone();
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
                .line(now, "rollout: it is not known to have ended: attempts that may be in flight there are not repeated");
        }
        for (seq, fate) in self.gradual.ledger.candidate_lost(now, dead) {
            self.settle_fate(now, seq, fate);
        }
        self.update_limits();
    }

    /// Settles a call that the candidate no longer decides, as the ledger says.
    pub(super) fn settle_fate(&mut self, now: Micros, seq: u64, fate: Recovery) {
        let counts = &mut self.gradual.counts;
        let retry_after = self.config.deployment.settings.max_retry_after;
        let known = self
            .pending
            .get(&ticket(seq))
            .is_some_and(|p| p.new.class < self.config.deployment.classes.len());
        let verdict = match fate {
            Recovery::Rerun(past) if known => {
                counts.anew += 1;
                return self.run_anew(now, seq, past);
            }
            // The class is known to the candidate only, so the call cannot be run again here.
            Recovery::Rerun(past) if past.iter().any(AttemptRecord::may_have_run) => Verdict::Failed,
            Recovery::Rerun(_) | Recovery::Refuse => Verdict::Refused { retry_after },
            Recovery::Fail => Verdict::Failed,
        };
        match verdict {
            Verdict::Failed => counts.failed += 1,
            _ => counts.refused += 1,
        }
        self.deliver_verdict(now, ticket(seq), verdict);
    }

    pub(super) fn run_anew(&mut self, now: Micros, seq: u64, past: Vec<AttemptRecord>) {
        let Some(mut pending) = self.pending.remove(&ticket(seq)) else { return };
        let ended = |p: AttemptRecord| PastAttempt {
            worker: p.host,
            sent: p.announced_at,
            outcome: p.outcome.unwrap_or(Outcome::Reset),
        };
        let past = past.into_iter().map(ended).collect();
        let new = pending.new.clone();
        self.passed_over(now, ticket(seq));
        let (turn, advice) = self.take_turn(ticket(seq));
        let ticket = self.run_engine(|engine, out| {
            engine.prefer_locations(now, advice, out);
            engine.request_with_past_attempts(now, new, past, out)
        });
        self.carry_turn(ticket, turn, Vec::new());
        (pending.version, pending.answer) = (Version::Old, None);
        self.track(ticket, pending);
    }

    /// Hands the clients over to the candidate.
    pub(super) fn hand_clients_over(&mut self, now: Micros) {
        let ration = upgrade::to_rows(self.engine.tallies(0));
        self.tallied_until = now;
        self.upgrade.send_frame(&Frame::Tallies(ration));
        if let Some(addresses) = self.admission.state(now) {
            self.upgrade.send(&Message::Learned { addresses });
        }
        self.upgrade.send_frame(&Frame::TakeOver);
    }

    /// Ends the rollout when this process is told to end: the candidate takes over the clients, unless it was rolled back.
    pub(in crate::node) fn end_rollout(&mut self, now: Micros) {
        match self.gradual.role {
            Role::Holder => match self.gradual.machine.holder_ending(now) {
                Some(Action::Complete) => self.hand_clients_over(now),
                None if self.gradual.machine.phase() == Phase::Complete => {}
                None => self.give_up(now, "the old version ends, and the new one was taken back"),
            },
            Role::Candidate => drop(self.upgrade.send_frame(&Frame::Leaving)),
            Role::Successor | Role::Alone => {}
        }
    }
}
