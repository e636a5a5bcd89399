//! The holder's side: which calls are passed, how the candidate's messages are handled, and how passed calls are settled
//! when the candidate is lost.

use wheellink::engine::AttemptEnd;

use super::*;

/// The highest protocol version that both processes support.
fn common_protocol(info: &VersionInfo) -> Option<u32> {
    info.protocols.iter().copied().filter(|p| ipc::PROTOCOLS.contains(p)).max()
}

impl Node {
    /// The reply to a new process that may be a candidate; `None` if it may not.
    pub(in crate::node) fn candidate_reply(&self, info: &VersionInfo) -> Option<VersionInfo> {
        let rollout = self.config.rollout.as_ref()?;
        let protocol = common_protocol(info)?;
        let classes = class_policies(&self.config.deployment);
        Some(VersionInfo { protocols: vec![protocol], version: rollout.version(), classes })
    }

    /// Starts the holder's role towards a new candidate.
    pub(in crate::node) fn attach_candidate(&mut self, now: Micros, info: VersionInfo) {
        self.log.line(now, format_args!("rollout: version {} has connected as a candidate", info.version));
        let rollout = &mut self.rollout;
        rollout.protocol = common_protocol(&info).unwrap_or(0);
        (rollout.role, rollout.peer, rollout.last_heard, rollout.caught_up) =
            (Role::Holder, info, now, false);
        rollout.machine.attach();
        self.apply_policies(now);
    }

    /// Decides which version handles this call. If it is the new one and there is room, passes the call with its turn, its
    /// draft and its preferred locations; a protocol without fields carries none of the three.
    pub(in crate::node) fn pass(
        &mut self,
        now: Micros,
        pending: &Pending,
        turn: Option<&Turn>,
        preferred: &[PreferredLocation],
    ) -> Option<Ticket> {
        if self.rollout.role != Role::Holder || !self.rollout.machine.passes_calls() {
            return None;
        }
        let call = &pending.call;
        let only_theirs = self.config.deployment.class(&call.class).is_none();
        let policy = match self.class_policy(&call.class) {
            Some(policy) => policy,
            // Only the other version knows the class's policy: the strictest one applies here.
            None if only_theirs => RetryPolicy::new(Effect::Unsafe, 1),
            None => return None,
        };
        let key = match policy.effect() {
            Effect::Keyed { window, .. } => call.key.as_deref().map(|key| (key, window)),
            _ => None,
        };
        if !only_theirs && self.rollout.machine.decide(now, key, &call.id) == Version::Old {
            return None;
        }
        let size = call.body.len();
        if self.upgrade.backlog() > MAX_BACKLOG_BYTES || self.rollout.ledger.check_capacity(size).is_err() {
            self.rollout.counts.kept += 1;
            return None;
        }
        let tenant = pending.new.tenant.and_then(|t| self.config.deployment.tenants.get(t).cloned());
        let seq = self.rollout.last_seq + 1;
        let call = PassedCall {
            seq,
            id: call.id.to_string(),
            class: call.class.clone(),
            tenant,
            function: call.function.0.to_string(),
            due: pending.new.due - PASS_MARGIN_US,
            lanes: pending.new.lanes,
            repeat: pending.new.repeat,
            key: call.key.clone(),
            body: call.body.to_vec(),
        };
        let (mut call_fields, mut offer) = (CallFields::default(), None);
        if self.rollout.protocol >= ipc::FIELDS_PROTOCOL {
            offer = self.offer_draft(pending);
            call_fields.turn = turn.map(|t| (t.conversation, t.new_blocks, t.prefix.clone()));
            call_fields.draft = offer.as_ref().map(|offer| offer.draft);
            call_fields.sites = preferred.iter().filter_map(|location| self.site_of(location)).collect();
        }
        let fields = call_fields.to_fields();
        let frame = if fields.is_empty() { Frame::Call(call) } else { Frame::CallExt(call, fields) };
        self.upgrade.send_frame(&frame)?;
        self.set_offered_draft(ticket_of(seq), offer);
        let passed = self.rollout.ledger.pass(seq, &policy, pending.new.due, size);
        debug_assert!(passed.is_ok(), "the capacity was checked above");
        (self.rollout.last_seq, self.rollout.counts.passed) = (seq, self.rollout.counts.passed + 1);
        Some(ticket_of(seq))
    }

    /// A preferred location in the form that the other version understands.
    fn site_of(&self, location: &PreferredLocation) -> Option<Site> {
        match location {
            PreferredLocation::Cell(cell) => Some(Site::Cell(*cell)),
            PreferredLocation::Zone(zone) => {
                self.config.deployment.zones.get(*zone as usize).cloned().map(Site::Zone)
            }
            PreferredLocation::Worker(host) => Some(Site::Host(host.0.to_string())),
        }
    }

    /// Whether the call of this ticket carries its turn and its draft: a call that was not passed always does.
    pub(in crate::node) fn carries_fields(&self, of: Ticket) -> bool {
        seq_of(of).is_none() || self.rollout.protocol >= ipc::FIELDS_PROTOCOL
    }

    /// Records the start of a passed call's attempt, as of an attempt of this process.
    fn passed_started(&mut self, now: Micros, seq: u64, number: u32, host: &WorkerId) {
        let attempt = AttemptId { ticket: ticket_of(seq), number };
        self.rollout.in_flight.insert(seq, number);
        self.turn_attempt_sent(now, attempt, host);
        self.draft_started(attempt, host);
    }

    /// Records the end of a passed call's attempt; a second call has no effect. Only the holder learns from what the host
    /// reported.
    fn passed_ended(&mut self, now: Micros, seq: u64, end: AttemptEnd, fields: &[(String, String)]) {
        let Some(number) = self.rollout.in_flight.remove(&seq) else { return };
        let attempt = AttemptId { ticket: ticket_of(seq), number };
        self.draft_ended(now, attempt, &end, fields);
        self.turn_attempt_ended(now, attempt, &end, fields);
    }

    /// Ends the accounting of a passed call that is answered, or that this process decides from now on. An attempt still in
    /// flight at the candidate is recorded as cancelled, and later messages about it are not counted.
    pub(in crate::node) fn passed_call_over(&mut self, now: Micros, of: Ticket) {
        let Some(seq) = seq_of(of) else { return };
        self.passed_ended(now, seq, Outcome::Cancelled.into(), &[]);
        self.set_offered_draft(of, None);
    }

    /// Handles the departure of a passed call's client. Returns false if the call was not passed.
    pub(in crate::node) fn passed_client_left(&mut self, of: Ticket) -> bool {
        let Some(seq) = seq_of(of) else { return false };
        if self.rollout.ledger.remove(seq) {
            self.upgrade.send_frame(&Frame::Abandoned { seq });
        }
        true
    }

    /// Records an answered call for the gates.
    pub(in crate::node) fn record_ending(&mut self, now: Micros, pending: &Pending, reply: &Reply) {
        if self.rollout.role != Role::Holder {
            return;
        }
        let ending = match reply {
            Reply::Served(_) => Ending::Served,
            Reply::Refused(_) | Reply::TurnedAway(_) => Ending::Refused,
            Reply::Failed | Reply::TimedOut => Ending::Failed,
        };
        let aim = pending.terms.map_or(Micros::MAX, |terms| terms.aim);
        let took = now - pending.arrived;
        self.rollout.machine.record(pending.version, &pending.call.class, ending, took, aim);
    }

    pub(super) fn answer_passed(&mut self, now: Micros, seq: u64, reply: ipc::Reply, body: Vec<u8>) {
        let ticket = ticket_of(seq);
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
    fn handle_attempt_frame(&mut self, now: Micros, frame: Frame) -> Result<Option<Frame>, String> {
        let ledger = &mut self.rollout.ledger;
        match frame {
            Frame::Intent { seq, number, host, at } => {
                let host: WorkerId = host.as_str().into();
                // False if the call is no longer in the ledger. The attempt's end will be ignored too, but it may have
                // run, so its send is noted below.
                if ledger.attempt_announced(seq, number, &host, at).map_err(|fault| fault.0)? {
                    self.passed_started(now, seq, number, &host);
                }
                self.note_cold_send(now, host, at);
            }
            Frame::AttemptEnded { seq, number, code: end } => {
                let end = ipc::OUTCOMES.get(usize::from(end)).ok_or("unknown outcome code")?;
                if ledger.attempt_ended(seq, number, *end).map_err(|fault| fault.0)? {
                    self.passed_ended(now, seq, (*end).into(), &[]);
                }
            }
            Frame::Answer { seq, reply, body } => {
                self.handle_answer(now, seq, reply, body, &Fields::default())?;
            }
            Frame::AnswerExt { seq, reply, body, fields } => {
                self.handle_answer(now, seq, reply, body, &fields)?
            }
            other => return Ok(Some(other)),
        }
        Ok(None)
    }

    fn handle_answer(
        &mut self,
        now: Micros,
        seq: u64,
        reply: ipc::Reply,
        body: Vec<u8>,
        fields: &Fields,
    ) -> Result<(), String> {
        let refused = matches!(reply, ipc::Reply::Refused(_));
        // A repeated or late answer belongs to a call that is over, and is ignored.
        if !self.rollout.ledger.answered(seq, refused).map_err(|fault| fault.0)? {
            return Ok(());
        }
        if reply == ipc::Reply::Served {
            let (answer, refused) = AnswerFields::parse(fields);
            for reason in refused {
                self.log.line(now, format_args!("rollout: a field of an answer is refused: {reason}"));
            }
            let end = AttemptEnd { report: answer.load_report(), ..Outcome::Done.into() };
            self.passed_ended(now, seq, end, &answer.fields);
        }
        self.answer_passed(now, seq, reply, body);
        Ok(())
    }

    pub(super) fn handle_candidate_frame(&mut self, now: Micros, frame: Frame) -> Result<(), String> {
        let Some(frame) = self.handle_attempt_frame(now, frame)? else { return Ok(()) };
        let rollout = &mut self.rollout;
        match frame {
            Frame::CandidateAlive { caught_up } => {
                rollout.caught_up = caught_up;
                if caught_up && rollout.machine.phase() == Phase::Idle {
                    self.begin_when_ready(now);
                }
            }
            Frame::Return { seq } => {
                if rollout.ledger.returned(seq).map_err(|fault| fault.0.to_string())? {
                    rollout.counts.returned += 1;
                    self.recover_call(now, seq, Recovery::Rerun(Vec::new()));
                }
            }
            Frame::OrderRequest { order } => {
                let granted = self.engine.grant_order(now);
                self.rollout.counts.granted += u64::from(granted);
                self.rollout.counts.denied += u64::from(!granted);
                self.upgrade.send_frame(&Frame::OrderReply { order, granted });
            }
            Frame::Tallies(tallies) => {
                // The candidate's orders were counted when they were granted.
                let calls = tallies.into_iter().map(|(at, calls, _)| Tally { at, calls, orders: 0 });
                let state = HandoverState {
                    tallies: calls.collect(),
                    sender_keeps_running: true,
                    ..HandoverState::default()
                };
                self.run_engine(|engine, out| engine.inherit(now, state, out));
            }
            Frame::Classes(classes) => {
                rollout.peer.classes = classes;
                self.apply_policies(now);
            }
            Frame::Leaving => rollout.machine.candidate_leaving(now),
            _ => return Err("a frame that only the holder sends".into()),
        }
        Ok(())
    }

    /// Counts the other process's send to a host that is cold, as one of this process's own.
    pub(super) fn note_cold_send(&mut self, now: Micros, host: WorkerId, at: Micros) {
        if self.engine.is_cold(&host) {
            let state = HandoverState {
                sends: vec![(host, vec![at.min(now)])],
                sender_keeps_running: true,
                ..HandoverState::default()
            };
            self.run_engine(|engine, out| engine.inherit(now, state, out));
        }
    }

    pub(super) fn begin_when_ready(&mut self, now: Micros) {
        let Some(rollout) = self.config.rollout.as_ref().filter(|r| r.begin == StartOn::Ready) else {
            return;
        };
        if let Some(plan) = rollout.plan.clone() {
            if let Err(problem) = self.rollout.machine.begin(now, plan, Cause::SettingsFile) {
                self.log.line(now, format_args!("rollout: not started: {}", problem.0));
            }
        }
    }

    /// Gives the candidate up. Handles the frames received so far, reads no more, and kills the process, as it may have
    /// attempts in flight. Its calls are settled when it has exited or the wait for that is over.
    pub(super) fn give_up(&mut self, now: Micros, reason: &'static str) {
        if self.rollout.role != Role::Holder {
            return;
        }
        self.log.line(now, format_args!("rollout: the new version is given up: {reason}"));
        self.rollout.role = Role::Alone;
        let process = self.upgrade.take_process();
        self.upgrade.send_frame(&Frame::Dismiss { reason: reason.into() });
        self.upgrade.stop_reading();
        // Frames received before reading stopped count; other messages of the candidate do not.
        let mut others = VecDeque::new();
        while let Some(event) = self.upgrade.events.pop_front() {
            match event {
                PeerEvent::Frame(frame) => self.handle_last_frame(*frame),
                PeerEvent::Disconnected(_) | PeerEvent::Message(_) => {}
                arrived => others.push_back(arrived),
            }
        }
        self.upgrade.events = others;
        process.iter().for_each(Process::kill);
        self.candidate_lost(now, process, Cause::CandidateLost(reason));
    }

    /// Handles a frame read after the candidate was given up: only those about attempts and answers count.
    pub(super) fn handle_last_frame(&mut self, frame: Frame) {
        let now = self.clock.now();
        let _ = self.handle_attempt_frame(now, frame);
    }

    pub(super) fn candidate_lost(&mut self, now: Micros, process: Option<Process>, cause: Cause) {
        self.rollout.role = Role::Alone;
        self.rollout.lost_peer = Some(LostPeer { process, since: now });
        self.rollout.machine.detach(now, cause);
        self.engine.peer_gone();
        self.apply_policies(now);
        self.check_lost_peer(now);
    }

    pub(super) fn check_lost_peer(&mut self, now: Micros) {
        let Some(lost) = &self.rollout.lost_peer else { return };
        let dead = lost.process.as_ref().is_some_and(Process::is_dead);
        if !dead && now - lost.since >= EXIT_GRACE_US {
            lost.process.iter().for_each(Process::kill);
        }
        let over = lost.process.is_none() || now - lost.since >= EXIT_TIMEOUT_US;
        if !dead && !over {
            return;
        }
        self.rollout.lost_peer = None;
        if !dead {
            self.log
                .line(now, "rollout: it is not known to have ended: attempts that may be in flight there are not repeated");
        }
        for (seq, recovery) in self.rollout.ledger.candidate_lost(now, dead) {
            self.recover_call(now, seq, recovery);
        }
        self.update_limits();
    }

    /// Settles a call that the candidate no longer decides, as the ledger says.
    pub(super) fn recover_call(&mut self, now: Micros, seq: u64, recovery: Recovery) {
        let counts = &mut self.rollout.counts;
        let retry_after = self.config.deployment.settings.max_retry_after;
        let known = self.pending.get(&ticket_of(seq)).is_some_and(|p| p.terms.is_some());
        let verdict = match recovery {
            Recovery::Rerun(past) if known => {
                counts.rerun += 1;
                return self.rerun(now, seq, past);
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
        self.deliver_verdict(now, ticket_of(seq), verdict);
    }

    pub(super) fn rerun(&mut self, now: Micros, seq: u64, past: Vec<AttemptRecord>) {
        let Some(mut pending) = self.pending.remove(&ticket_of(seq)) else { return };
        let ended = |p: AttemptRecord| PastAttempt {
            worker: p.host,
            sent: p.announced_at,
            outcome: p.outcome.unwrap_or(Outcome::Reset),
        };
        let past = past.into_iter().map(ended).collect();
        let new = pending.new.clone();
        self.passed_call_over(now, ticket_of(seq));
        let (turn, preferred) = self.detach_turn(ticket_of(seq));
        self.keep_arrival_terms(now, new.class, &pending.call.class, pending.terms);
        let ticket = self.run_engine(|engine, out| {
            engine.prefer_locations(now, preferred, out);
            engine.request_with_past_attempts(now, new, past, out)
        });
        self.attach_turn(ticket, turn, Vec::new());
        (pending.version, pending.answer) = (Version::Old, None);
        self.track(ticket, pending);
    }

    /// Hands the clients over to the candidate.
    pub(super) fn hand_over_clients(&mut self, now: Micros) {
        let tallies = upgrade::to_rows(self.engine.tallies(0));
        self.tallied_until = now;
        self.upgrade.send_frame(&Frame::Tallies(tallies));
        if let Some(addresses) = self.admission.state(now) {
            self.upgrade.send(&Message::Learned { addresses });
        }
        self.upgrade.send_frame(&Frame::TakeOver);
    }

    /// Ends the rollout when this process is told to end: the candidate takes over the clients, unless it was rolled back.
    pub(in crate::node) fn end_rollout(&mut self, now: Micros) {
        match self.rollout.role {
            Role::Holder => match self.rollout.machine.holder_ending(now) {
                Some(Action::Complete) => self.hand_over_clients(now),
                None if self.rollout.machine.phase() == Phase::Complete => {}
                None => self.give_up(now, "the old version ends, and the new one was taken back"),
            },
            Role::Candidate => drop(self.upgrade.send_frame(&Frame::Leaving)),
            Role::Successor | Role::Alone => {}
        }
    }
}
