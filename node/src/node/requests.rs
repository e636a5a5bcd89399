//! Requests, from a front to the engine, and their answers, from the engine to the front.

use super::renumber::NO_CLASS;
use super::*;

/// Longest timeout of a call whose class only the other version of a rollout knows.
const MAX_UNKNOWN_CLASS_TIMEOUT_US: Micros = 60_000_000;

impl Node {
    pub(super) fn client_ready(&mut self, id: ConnId) {
        if self.clock.running() - self.polled_at >= MAX_WAKES_US {
            return match &mut self.mode {
                Mode::Platform(front, _) => front.postpone(id),
                Mode::Operator { front, .. } => front.postpone(id),
            };
        }
        let now = self.clock.now();
        match &mut self.mode {
            Mode::Platform(front, _) => front.on_ready(now, id, &mut self.log),
            Mode::Operator { front, .. } => front.on_ready(now, id, &mut self.log),
        }
        self.process_events();
    }

    /// Reads clients that were postponed, then those that have more input than one visit takes, for a limited time each.
    pub(super) fn resume_reads(&mut self, now: Micros) {
        let mut began = self.clock.running();
        while self.has_postponed() && self.clock.running() - began < MAX_POSTPONED_READS_US {
            self.resume_read(now);
        }
        began = self.clock.running();
        while !self.has_postponed() && self.resume_read(now) {
            if self.clock.running() - began >= MAX_UNFINISHED_READS_US {
                return;
            }
        }
    }

    fn has_postponed(&self) -> bool {
        match &self.mode {
            Mode::Platform(front, _) => front.has_postponed(),
            Mode::Operator { front, .. } => front.has_postponed(),
        }
    }

    /// Reads the next client; false if none waits.
    fn resume_read(&mut self, now: Micros) -> bool {
        let resumed = match &mut self.mode {
            Mode::Platform(front, _) => front.resume_read(now, &mut self.log),
            Mode::Operator { front, .. } => front.resume_read(now, &mut self.log),
        };
        if resumed {
            self.process_events();
        }
        resumed
    }

    /// Handles the notices of the front. Returns false if there were none.
    pub(super) fn handle_front_notices(&mut self) -> bool {
        match &mut self.mode {
            Mode::Platform(front, _) => {
                let notices = std::mem::take(&mut front.notices);
                let any = !notices.is_empty();
                for notice in notices {
                    match notice {
                        platform::Notice::Request { origin, request } => {
                            self.platform_request(origin, *request)
                        }
                        platform::Notice::ClientLeft { ticket } => self.client_left(ticket),
                        platform::Notice::HalfClosed { tickets, since } => {
                            self.client_half_closed(&tickets, since)
                        }
                        platform::Notice::Closed { conn } => self.client_gone(conn),
                        platform::Notice::ClientIdentified { conn, client } => {
                            let now = self.clock.now();
                            self.handle_proxied(now, conn, client)
                        }
                    }
                }
                any
            }
            Mode::Operator { front, .. } => {
                let notices = std::mem::take(&mut front.notices);
                let any = !notices.is_empty();
                for notice in notices {
                    match notice {
                        invoke::Notice::Call { conn, origin, call } => self.invoke_call(conn, origin, *call),
                        invoke::Notice::ClientLeft { ticket } => self.client_left(ticket),
                        invoke::Notice::Closed { conn } => self.client_gone(conn),
                        invoke::Notice::ClientIdentified { conn, client } => {
                            let now = self.clock.now();
                            self.handle_proxied(now, conn, client)
                        }
                        invoke::Notice::CallHead { conn, tenant, size } => {
                            let now = self.clock.now();
                            self.check_body(now, conn, tenant, size)
                        }
                    }
                }
                any
            }
        }
    }

    pub(super) fn platform_request(&mut self, origin: platform::Origin, request: Request) {
        let now = self.clock.now();
        let Mode::Platform(front, _) = &mut self.mode else { return };
        // The client cancelled the request before this notice was handled.
        if !front.is_open(origin) {
            return;
        }
        let class = self.config.deployment.class(&request.class);
        let tenant = request.tenant.as_deref().and_then(|t| self.config.deployment.tenant(t));
        let shared = !self.config.deployment.tenants.is_empty();
        let other = class.is_none() && self.only_peer_decides(&request.class);
        let problem = match class {
            None if !other => Some("a class that is not known"),
            _ if shared && tenant.is_none() => Some("a tenant that is not known"),
            // Hosts identify calls by the id.
            _ if self.ids.contains(request.id.as_str()) => Some("the id of a request that is open"),
            _ if self.departed.contains(now, &request.id) => Some("the id of a request that may have run"),
            _ => None,
        };
        let Mode::Platform(front, _) = &mut self.mode else { return };
        if let Some(problem) = problem {
            return front.error(now, origin, problem, &mut self.log);
        }
        // The class bounds the timeout: requests that stay open for a day would accumulate.
        let class = class.unwrap_or(NO_CLASS);
        let known = self.agreed_settings().classes.get(class);
        let max_timeout = known.map_or(MAX_UNKNOWN_CLASS_TIMEOUT_US, |c| 2 * c.give_up);
        let incoming = Incoming {
            id: request.id,
            class,
            terms: self.class_terms(class, &request.class),
            class_name: request.class,
            tenant,
            function: request.function,
            timeout: self.time_left(now, (request.timeout_ms * 1000).min(max_timeout)),
            lanes: request.lanes,
            repeat: request.repeat,
            hint: request.hint,
            key: request.key,
            body: request.body,
            turn: None,
            placed: None,
            preferred: Vec::new(),
        };
        self.submit(now, Some(origin.conn), Origin::Platform(origin), incoming);
    }

    pub(super) fn invoke_call(&mut self, conn: ConnId, origin: invoke::Origin, call: invoke::Call) {
        let now = self.clock.now();
        let Some(settings) = self.agreed_settings().classes.get(call.class).copied() else { return };
        let Mode::Operator { classes, ids, .. } = &mut self.mode else { return };
        let (deferred, lanes) = classes[call.class];
        let default = match origin {
            invoke::Origin::Waiting(_) => settings.give_up,
            invoke::Origin::Deferred(_) => deferred,
        };
        let id = format!("{:016x}", ids.u64(..));
        let class_name = self.config.deployment.classes[call.class].clone();
        // If the client sent no key, the id lets hosts drop repeats by this activator.
        let keyed = matches!(settings.effect, Effect::Keyed { .. });
        let incoming = Incoming {
            class: call.class,
            terms: self.class_terms(call.class, &class_name),
            class_name,
            tenant: call.tenant,
            function: call.function,
            timeout: self.time_left(now, call.timeout.unwrap_or(default).min(settings.give_up.max(deferred))),
            lanes: call.lanes.unwrap_or(lanes),
            repeat: call.repeat,
            hint: 0,
            key: call.key.or_else(|| keyed.then(|| id.clone())),
            body: call.body,
            turn: call.turn,
            placed: None,
            preferred: Vec::new(),
            id,
        };
        self.submit(now, Some(conn), Origin::Invoke(origin), incoming);
    }

    /// The rest of a client's timeout. After a stall the request may have arrived before it was read.
    fn time_left(&self, now: Micros, timeout: Micros) -> Micros {
        (timeout - (now - self.stalls.earliest_arrival(now))).max(0)
    }

    /// Places the turn that the request carries, if any, and submits it to the engine.
    pub(super) fn submit(&mut self, now: Micros, conn: Option<ConnId>, origin: Origin, incoming: Incoming) {
        // `advise` may park the request until there is a place for its turn, and submits it then.
        if let Some((origin, incoming)) = self.place_turn(now, conn, origin, incoming) {
            self.submit_placed(now, conn, origin, incoming);
        }
    }

    /// Submits a request whose turn is placed: to the engine, or to the candidate of a rollout.
    pub(super) fn submit_placed(
        &mut self,
        now: Micros,
        conn: Option<ConnId>,
        origin: Origin,
        incoming: Incoming,
    ) {
        let size = incoming.body.len();
        if !self.is_within_caps(now, incoming.tenant, &incoming.function) {
            self.cancel_turn(incoming.placed.as_ref());
            let retry_after = self.config.deployment.settings.max_retry_after;
            return self.reply(now, &origin, Reply::Refused(retry_after));
        }
        let (owner, info) = match self.admit_request(now, conn, (incoming.class, incoming.tenant, size)) {
            Ok(admitted) => admitted,
            Err(reply) => {
                self.cancel_turn(incoming.placed.as_ref());
                return self.reply(now, &origin, reply);
            }
        };
        let half_closed = match (&self.mode, &origin) {
            (Mode::Platform(front, _), Origin::Platform(origin)) => front.half_closed(origin.conn),
            _ => None,
        };
        let half_closed = half_closed.map(|since| self.stalls.earliest_arrival(since));
        let new = NewRequest {
            class: incoming.class,
            tenant: incoming.tenant,
            function: incoming.function.as_str().into(),
            due: now + (incoming.timeout - DUE_MARGIN_US).max(0),
            lanes: incoming.lanes,
            repeat: incoming.repeat,
            hint: incoming.hint,
            half_closed,
        };
        let call = Call {
            id: incoming.id.into(),
            class: incoming.class_name,
            function: new.function.clone(),
            key: incoming.key,
            body: Rc::from(incoming.body),
        };
        let (class, terms) = (new.class, incoming.terms);
        let version = Version::Old;
        let mut pending = Pending {
            call,
            origin,
            answer: None,
            new,
            terms,
            arrived: now,
            attempts: Attempts::default(),
            met: HostEpochs::default(),
            version,
            owner,
            info,
            passed: None,
        };
        let ticket = match self.pass(now, &pending, incoming.placed.as_ref(), &incoming.preferred) {
            Some(ticket) => {
                pending.version = Version::New;
                self.attach_turn(ticket, incoming.placed, incoming.preferred);
                if let Some(since) = half_closed {
                    self.forward_half_close(ticket, since);
                }
                ticket
            }
            // Only the candidate knows the class, and the request could not be passed to it.
            None if terms.is_none() => {
                self.release(now, &pending, false);
                let retry_after = self.config.deployment.settings.max_retry_after;
                return self.reply(now, &pending.origin, Reply::Refused(retry_after));
            }
            None => {
                let new = pending.new.clone();
                let preferred = incoming.preferred;
                self.keep_arrival_terms(now, class, &pending.call.class, terms);
                let ticket =
                    self.run_engine(|engine, out| engine.request_with_preferences(now, new, preferred, out));
                self.attach_turn(ticket, incoming.placed, Vec::new());
                ticket
            }
        };
        self.ids.insert(pending.call.id.clone());
        self.track(ticket, pending);
    }

    /// Records a submitted request under its ticket.
    pub(super) fn track(&mut self, ticket: Ticket, pending: Pending) {
        let connected = match (&mut self.mode, &pending.origin) {
            (Mode::Platform(front, _), Origin::Platform(origin)) => front.set_ticket(*origin, ticket),
            (Mode::Operator { front, .. }, Origin::Invoke(origin)) => front.set_ticket(origin, ticket),
            _ => false,
        };
        self.pending.insert(ticket, pending);
        if !connected {
            self.client_left(ticket);
        }
    }

    pub(super) fn client_left(&mut self, ticket: Ticket) {
        let now = self.clock.now();
        self.passed_call_over(now, ticket);
        self.end_turn(ticket);
        if let Some(pending) = self.pending.remove(&ticket) {
            self.release(now, &pending, false);
            self.log_client_left(now, &pending);
            self.ids.remove(&pending.call.id);
            self.remember_departed(now, &pending);
        }
        if !self.passed_client_left(ticket) {
            self.run_engine(|engine, out| engine.client_left(now, ticket, out));
        }
    }

    /// Remembers the id of a request whose client has left, here and at the other process of an upgrade.
    fn remember_departed(&mut self, now: Micros, pending: &Pending) {
        if matches!(pending.origin, Origin::Platform(_)) && pending.may_not_run_again() {
            self.departed.insert(now, pending.call.id.clone());
            self.upgrade.send(&Message::Departed { ids: vec![pending.call.id.to_string()] });
        }
    }

    /// Ids that the other process of an upgrade must not run: of requests that are pending here or have departed.
    pub(super) fn ids_not_to_run(&self) -> Vec<String> {
        let pending = self.pending.values().filter(|pending| pending.may_not_run_again());
        let pending = pending.map(|pending| &pending.call.id);
        self.departed.newest().chain(pending).map(|id| id.to_string()).collect()
    }

    /// Remembers ids of the other process.
    pub(super) fn inherit_departed(&mut self, now: Micros, ids: &[String]) {
        ids.iter().for_each(|id| self.departed.insert(now, id.as_str().into()));
    }

    /// The client of these requests has closed its sending side: it has disconnected, or still waits for answers.
    fn client_half_closed(&mut self, tickets: &[Ticket], since: Micros) {
        let now = self.clock.now();
        let since = self.stalls.earliest_arrival(since);
        for ticket in tickets {
            // Kept for a later decision by the other version of a rollout, which counts from the same time.
            if let Some(pending) = self.pending.get_mut(ticket) {
                pending.new.half_closed = Some(since);
                if pending.may_not_run_again() {
                    self.upgrade.send(&Message::Departed { ids: vec![pending.call.id.to_string()] });
                }
            }
            if !self.forward_half_close(*ticket, since) {
                self.run_engine(|engine, out| engine.client_half_closed(now, *ticket, since, out));
            }
        }
    }

    pub(super) fn deliver_verdict(&mut self, now: Micros, ticket: Ticket, verdict: Verdict) {
        let Some(mut pending) = self.pending.remove(&ticket) else { return };
        self.ids.remove(&pending.call.id);
        self.passed_call_over(now, ticket);
        let found = self.end_turn(ticket);
        let reply = match (verdict, pending.answer.take()) {
            (Verdict::Served(by), Some((attempt, body))) if by == attempt => Reply::Served(body),
            (Verdict::Refused { retry_after }, _) => Reply::Refused(retry_after),
            (Verdict::TimedOut, _) => Reply::TimedOut,
            _ => Reply::Failed,
        };
        self.release(now, &pending, matches!(reply, Reply::Served(_)));
        self.record_ending(now, &pending, &reply);
        self.log_answer(now, &pending, &reply);
        match (&mut self.mode, &pending.origin, found) {
            (Mode::Operator { front, .. }, Origin::Invoke(origin), Some(found)) => {
                front.reply_turn(now, origin, reply, found, &mut self.log)
            }
            (_, Origin::Peer(seq), _) => {
                let fields = pending.passed.take().map(|p| p.reply).unwrap_or_default();
                self.answer_holder(*seq, reply, fields)
            }
            _ => self.reply(now, &pending.origin, reply),
        }
    }

    pub(super) fn reply(&mut self, now: Micros, origin: &Origin, reply: Reply) {
        match (&mut self.mode, origin) {
            (Mode::Platform(front, _), Origin::Platform(origin)) => {
                front.reply(now, *origin, reply, &mut self.log)
            }
            (Mode::Operator { front, .. }, Origin::Invoke(origin)) => {
                front.reply(now, origin, reply, &mut self.log)
            }
            (_, Origin::Peer(seq)) => self.answer_holder(*seq, reply, AnswerFields::default()),
            _ => {}
        }
    }

    pub(super) fn handle_host_notice(&mut self, notice: hosts::PoolEvent) {
        let now = self.clock.now();
        match notice {
            hosts::PoolEvent::Attempt { attempt, end, body, fields } => {
                self.log_attempt_end(attempt, end.outcome);
                self.draft_ended(now, attempt, &end, &fields);
                self.turn_attempt_ended(now, attempt, &end, &fields);
                if let Some(pending) = self.pending.get_mut(&attempt.ticket) {
                    pending.met.ended(attempt.number, end.outcome);
                    if let Some(passed) = &mut pending.passed {
                        let done = end.outcome == Outcome::Done;
                        passed.reply = if done {
                            AnswerFields::from_answer(&fields, end.report)
                        } else {
                            AnswerFields::default()
                        };
                    }
                    pending.answer = (end.outcome == Outcome::Done).then_some((attempt, body));
                }
                self.report_end(attempt, end.outcome);
                self.run_engine(|engine, out| engine.attempt_ended(now, attempt, end, out));
            }
            hosts::PoolEvent::Order { order, outcome, copies } => {
                self.run_engine(|engine, out| engine.order_ended(now, order, outcome, copies, out));
            }
        }
    }
}
