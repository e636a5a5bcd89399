//! The candidate's side: it decides passed calls, announces each attempt before it sends it, and takes over when the
//! holder dies.

use super::*;
use crate::hosts::lines;

impl Node {
    /// Starts this process as a candidate.
    pub(in crate::node) fn join_rollout(&mut self, now: Micros, holder: VersionInfo, rows: Vec<Tally>) {
        self.log.line(now, format_args!("rollout: a candidate beside version {}", holder.version));
        let r = &mut self.rollout;
        (r.role, r.peer, r.tallies, r.last_heard) = (Role::Candidate, holder, rows, now);
        self.apply_policies(now);
    }

    pub(super) fn handle_holder_frame(&mut self, now: Micros, frame: Frame) -> Result<(), String> {
        let successor = self.rollout.role == Role::Successor;
        match frame {
            Frame::HolderAlive { phase, percent } => self.rollout.holder_status = (phase, percent),
            Frame::Call(call) => self.accept_call(now, call, None),
            Frame::CallExt(call, fields) => self.accept_call(now, call, Some(fields)),
            Frame::Abandoned { seq } => {
                if let Some(ticket) = self.rollout.calls.remove(&seq) {
                    self.client_left(ticket);
                }
            }
            Frame::OrderReply { order, granted } => self.order_answered(now, OrderId(order), granted),
            Frame::ColdSend { host, at } => self.note_cold_send(now, host.as_str().into(), at),
            Frame::Tallies(rows) if successor => {
                let state = HandoverState { tallies: upgrade::from_rows(&rows), ..HandoverState::default() };
                self.run_engine(|engine, out| engine.inherit(now, state, out));
            }
            Frame::Tallies(tallies) => {
                let period = self.config.deployment.settings.load_budget.map_or(0, |b| b.period);
                self.rollout.tallies.extend(upgrade::from_rows(&tallies));
                self.rollout.tallies.retain(|t| t.at > now - period);
            }
            Frame::Classes(classes) => {
                self.rollout.peer.classes = classes;
                self.apply_policies(now);
            }
            Frame::TakeOver => {
                self.rollout.role = Role::Successor;
                self.inherit_tallies(now);
                self.log.line(now, "rollout: complete, this version takes over the clients");
            }
            Frame::Dismiss { reason } => {
                self.log.line(now, format_args!("rollout: the old version dismissed this one: {reason}"));
                self.rollout.dismissed = Some(reason);
            }
            _ => return Err("a frame that only the candidate sends".into()),
        }
        Ok(())
    }

    pub(super) fn inherit_tallies(&mut self, now: Micros) {
        let tallies = std::mem::take(&mut self.rollout.tallies);
        let state = HandoverState { tallies, ..HandoverState::default() };
        self.run_engine(|engine, out| engine.inherit(now, state, out));
    }

    /// Takes a passed call, with its turn, its draft and its preferred locations. Only the holder learns from the call:
    /// nothing of it is counted here.
    pub(super) fn accept_call(&mut self, now: Micros, passed: PassedCall, fields: Option<Fields>) {
        let seq = passed.seq;
        let d = &self.config.deployment;
        let class = d.class(&passed.class).filter(|_| !self.ids.contains(passed.id.as_str()));
        let tenant = passed.tenant.as_deref().map(|t| d.tenant(t));
        let size = passed.body.len();
        // Memory is reserved last, so that a call that cannot be decided here never holds any.
        let class = class.filter(|_| tenant != Some(None));
        let class = class.filter(|_| self.admission.take_memory(Owner::Others, size));
        let Some(class) = class else {
            self.upgrade.send_frame(&Frame::Return { seq });
            return;
        };
        let new = NewRequest {
            class,
            tenant: tenant.flatten(),
            function: passed.function.as_str().into(),
            due: passed.due,
            lanes: passed.lanes,
            repeat: passed.repeat,
            // The frame does not carry it. From a call without a hint the engine learns nothing about speed.
            hint: 0,
            // The holder sends it in a message of its own, after the call.
            half_closed: None,
        };
        let (call_fields, refused) = fields.as_ref().map(CallFields::parse).unwrap_or_default();
        for reason in refused {
            self.log.line(now, format_args!("rollout: a field of call {} is refused: {reason}", passed.id));
        }
        let draft = call_fields.draft.map_or(String::new(), |draft| format!(",draft={draft}"));
        let blocks = call_fields.turn.as_ref().map_or(String::new(), |(.., prefix)| lines::blocks(prefix));
        let from = PassedFields { request: draft + &blocks, ..PassedFields::default() };
        let preferred = self.locations_of(now, &call_fields.sites, &new);
        let call = Call {
            id: passed.id.into(),
            class: passed.class,
            function: new.function.clone(),
            key: passed.key,
            body: Rc::from(passed.body),
        };
        let origin = Origin::Peer(seq);
        let terms = self.class_terms(class, &call.class);
        let (version, owner) = (Version::New, Owner::Others);
        let pending = Pending {
            attempts: Attempts::default(),
            met: HostEpochs::default(),
            call,
            origin,
            answer: None,
            new: new.clone(),
            terms,
            arrived: now,
            version,
            owner,
            info: None,
            passed: fields.map(|_| Box::new(from)),
        };
        let ticket = self.run_engine(|engine, out| engine.request_with_preferences(now, new, preferred, out));
        self.rollout.calls.insert(seq, ticket);
        self.ids.insert(pending.call.id.clone());
        self.pending.insert(ticket, pending);
    }

    /// Translates the holder's preferred sites into locations of this process's host list. Tells the engine about copies
    /// that the file places at these sites.
    fn locations_of(&mut self, now: Micros, sites: &[Site], new: &NewRequest) -> Vec<PreferredLocation> {
        let zones = &self.config.deployment.zones;
        let location = |site: &Site| match site {
            Site::Cell(cell) => Some(PreferredLocation::Cell(*cell)),
            Site::Zone(name) => {
                zones.iter().position(|z| z == name).map(|zone| PreferredLocation::Zone(zone as u32))
            }
            Site::Host(name) => Some(PreferredLocation::Worker(name.as_str().into())),
        };
        let preferred = sites.iter().filter_map(location).collect();
        self.note_resident(now, sites, &new.function, new.lanes);
        preferred
    }

    /// Answers a call that was passed to this process.
    pub(in crate::node) fn answer_holder(&mut self, seq: u64, reply: Reply, answer: AnswerFields) {
        self.rollout.calls.remove(&seq);
        let (reply, body) = match reply {
            Reply::Served(body) => (ipc::Reply::Served, body),
            Reply::Refused(wait) => (ipc::Reply::Refused(wait), Vec::new()),
            Reply::TurnedAway(away) => (ipc::Reply::Refused(away.retry_after), Vec::new()),
            Reply::Failed => (ipc::Reply::Failed, Vec::new()),
            Reply::TimedOut => (ipc::Reply::TimedOut, Vec::new()),
        };
        // Empty for a call that came without fields: its holder's protocol may not have any.
        let fields = if reply == ipc::Reply::Served { answer.to_fields() } else { Fields::default() };
        self.upgrade.send_frame(&match fields.is_empty() {
            true => Frame::Answer { seq, reply, body },
            false => Frame::AnswerExt { seq, reply, body, fields },
        });
    }

    /// Sends an attempt. One of a passed call is sent once its announcement is written to the socket completely.
    pub(in crate::node) fn send_attempt(
        &mut self,
        now: Micros,
        attempt: AttemptId,
        host: WorkerId,
        limits: SendLimits,
    ) {
        let Some(pending) = self.pending.get(&attempt.ticket) else {
            return self.run_engine(|e, out| e.attempt_ended(now, attempt, Outcome::NotSent.into(), out));
        };
        if let Origin::Peer(seq) = pending.origin {
            let AttemptId { number, .. } = attempt;
            let frame = Frame::Intent { seq, number, host: host.0.to_string(), at: now };
            let left = match self.upgrade.send_frame(&frame) {
                Some(by) if self.rollout.unsent.len() < MAX_UNSENT_ATTEMPTS => by,
                _ => return self.attempt_not_sent(now, attempt),
            };
            self.rollout.unsent.push_back((left, attempt, host, limits));
            return self.send_announced(now);
        }
        if self.rollout.role == Role::Holder && self.engine.is_cold(&host) {
            self.upgrade.send_frame(&Frame::ColdSend { host: host.0.to_string(), at: now });
        }
        let fields = self.draft_field(attempt, &host) + &self.block_fields(attempt.ticket);
        if let Some(pending) = self.pending.get(&attempt.ticket) {
            self.hosts.send(now, attempt, &host, (&pending.call, &fields), limits, &mut self.log);
        }
    }

    /// Ends an attempt that was never sent, and announces it first if the call was passed. The holder expects attempt
    /// numbers in order: the end of an unannounced attempt is a protocol error, for which it would kill this process with
    /// all passed calls.
    pub(in crate::node) fn announce_unsent(&mut self, now: Micros, attempt: AttemptId, host: WorkerId) {
        if let Some(Origin::Peer(seq)) = self.pending.get(&attempt.ticket).map(|p| &p.origin) {
            let (seq, number, host) = (*seq, attempt.number, host.0.to_string());
            self.upgrade.send_frame(&Frame::Intent { seq, number, host, at: now });
        }
        self.attempt_not_sent(now, attempt);
    }

    pub(in crate::node) fn attempt_not_sent(&mut self, now: Micros, attempt: AttemptId) {
        self.report_end(attempt, Outcome::NotSent);
        self.run_engine(|engine, out| engine.attempt_ended(now, attempt, Outcome::NotSent.into(), out));
    }

    /// Sends the attempts whose announcements have been written.
    pub(in crate::node) fn send_announced(&mut self, now: Micros) {
        let taken = self.upgrade.sent_bytes();
        while self.rollout.unsent.front().is_some_and(|(by, ..)| *by <= taken) {
            let Some((_, attempt, host, limits)) = self.rollout.unsent.pop_front() else { return };
            match self.pending.get(&attempt.ticket) {
                Some(pending) => {
                    let fields = pending.passed.as_ref().map_or("", |passed| passed.request.as_str());
                    self.hosts.send(now, attempt, &host, (&pending.call, fields), limits, &mut self.log)
                }
                None => self.attempt_not_sent(now, attempt),
            }
        }
    }

    /// Cancels an attempt whose announcement is not written yet. Returns false if it is not such an attempt.
    pub(in crate::node) fn cancel_unsent(&mut self, now: Micros, attempt: AttemptId) -> bool {
        let Some(at) = self.rollout.unsent.iter().position(|(_, a, ..)| *a == attempt) else { return false };
        self.rollout.unsent.remove(at);
        self.attempt_not_sent(now, attempt);
        true
    }

    /// Reports the end of a passed call's attempt to the holder. The answer itself reports a successful one.
    pub(in crate::node) fn report_end(&mut self, attempt: AttemptId, end: Outcome) {
        let origin = self.pending.get(&attempt.ticket).map(|p| &p.origin);
        if let (Some(Origin::Peer(seq)), true) = (origin, end != Outcome::Done) {
            let frame =
                Frame::AttemptEnded { seq: *seq, number: attempt.number, code: ipc::outcome_code(end) };
            self.upgrade.send_frame(&frame);
        }
    }

    /// Sends a load order to a host. A candidate first requests a grant, because the holder keeps the load budget.
    pub(in crate::node) fn load_function(
        &mut self,
        now: Micros,
        order: OrderId,
        host: WorkerId,
        function: FunctionId,
        copies: u32,
    ) {
        if self.rollout.role != Role::Candidate {
            return self.hosts.load(now, order, &host, (&function, copies), &mut self.log);
        }
        let may_ask =
            self.rollout.grant_requests.len() < MAX_GRANT_REQUESTS && now >= self.rollout.request_after;
        let asked = may_ask && self.upgrade.send_frame(&Frame::OrderRequest { order: order.0 }).is_some();
        if asked {
            self.rollout.grant_requests.insert(order, (host, function, copies));
        } else {
            self.run_engine(|engine, out| engine.order_ended(now, order, Outcome::NotSent, 0, out));
        }
    }

    pub(super) fn order_answered(&mut self, now: Micros, order: OrderId, granted: bool) {
        let Some((host, function, copies)) = self.rollout.grant_requests.remove(&order) else { return };
        if granted {
            self.hosts.load(now, order, &host, (&function, copies), &mut self.log);
        } else {
            self.rollout.request_after = now + DENIAL_HOLDOFF_US;
            self.run_engine(|engine, out| engine.order_ended(now, order, Outcome::NotSent, 0, out));
        }
    }

    /// Handles the loss of the holder. Its clients are lost with it, so passed calls need no answer any more; attempts that
    /// were announced but not sent are cancelled.
    pub(super) fn holder_lost(&mut self, now: Micros) {
        let mut calls: Vec<_> = std::mem::take(&mut self.rollout.calls).into_values().collect();
        calls.sort();
        for ticket in calls {
            self.client_left(ticket);
        }
        for (_, attempt, ..) in std::mem::take(&mut self.rollout.unsent) {
            self.run_engine(|engine, out| engine.attempt_ended(now, attempt, Outcome::NotSent.into(), out));
        }
        let mut asked: Vec<_> = std::mem::take(&mut self.rollout.grant_requests).into_keys().collect();
        asked.sort();
        for order in asked {
            self.run_engine(|engine, out| engine.order_ended(now, order, Outcome::NotSent, 0, out));
        }
        if self.rollout.role == Role::Candidate && self.rollout.dismissed.is_none() {
            self.rollout.lost_peer = Some(LostPeer { process: self.upgrade.take_process(), since: now });
            self.succeed_holder(now);
        } else {
            self.rollout.role = Role::Alone;
            self.apply_policies(now);
        }
    }

    /// Takes over from a holder that has exited. A holder that still runs has cut this process off, which then ends.
    pub(super) fn succeed_holder(&mut self, now: Micros) {
        let Some(lost) = &self.rollout.lost_peer else { return };
        let dead = lost.process.as_ref().is_none_or(Process::is_dead);
        if !dead && now - lost.since < EXIT_TIMEOUT_US {
            return;
        }
        self.rollout.lost_peer = None;
        if dead {
            self.log.line(now, "rollout: the old version is gone, this one serves on alone");
            self.rollout.role = Role::Alone;
            self.inherit_tallies(now);
            self.apply_policies(now);
            self.update_limits();
        } else {
            let reason = "the old version still runs and has cut this one off";
            self.log.line(now, format_args!("rollout: {reason}"));
            self.rollout.dismissed = Some(reason.into());
        }
    }
}
