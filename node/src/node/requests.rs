//! Requests: from a front to the engine, and answers back.

use super::*;

/// The longest that a client may wait for a call of a class that only the other version of a rollout knows.
const LONGEST_UNKNOWN: Micros = 60_000_000;

impl Node {
    pub(super) fn client_ready(&mut self, id: ConnId) {
        let now = self.clock.now();
        match &mut self.side {
            Side::Platform(front, _) => front.ready(now, id, &mut self.log),
            Side::Operator { front, .. } => front.ready(now, id, &mut self.log),
        }
        self.settle();
    }

    /// Hands on what the front has learnt; false if that is nothing.
    pub(super) fn hear_front(&mut self) -> bool {
        match &mut self.side {
            Side::Platform(front, _) => {
                let notices = std::mem::take(&mut front.notices);
                let any = !notices.is_empty();
                for notice in notices {
                    match notice {
                        platform::Notice::Request { origin, request } => {
                            self.platform_request(origin, *request)
                        }
                        platform::Notice::Left { ticket } => self.client_left(ticket),
                        platform::Notice::HalfClosed { tickets, since } => {
                            self.client_half_closed(&tickets, since)
                        }
                        platform::Notice::Gone { conn } => self.client_gone(conn),
                        platform::Notice::Proxied { conn, client } => {
                            let now = self.clock.now();
                            self.proxied(now, conn, client)
                        }
                    }
                }
                any
            }
            Side::Operator { front, .. } => {
                let notices = std::mem::take(&mut front.notices);
                let any = !notices.is_empty();
                for notice in notices {
                    match notice {
                        invoke::Notice::Call { conn, origin, call } => self.invoke_call(conn, origin, *call),
                        invoke::Notice::Left { ticket } => self.client_left(ticket),
                        invoke::Notice::Gone { conn } => self.client_gone(conn),
                        invoke::Notice::Proxied { conn, client } => {
                            let now = self.clock.now();
                            self.proxied(now, conn, client)
                        }
                        invoke::Notice::Head { conn, tenant, size } => {
                            let now = self.clock.now();
                            self.head(now, conn, tenant, size)
                        }
                    }
                }
                any
            }
        }
    }

    pub(super) fn platform_request(&mut self, origin: platform::Origin, request: Request) {
        let now = self.clock.now();
        let Side::Platform(front, _) = &mut self.side else { return };
        // Taken back in the same breath: nothing need hear of it.
        if !front.waits(origin) {
            return;
        }
        let class = self.config.deployment.class(&request.class);
        let tenant = request.tenant.as_deref().and_then(|t| self.config.deployment.tenant(t));
        let shared = !self.config.deployment.tenants.is_empty();
        let theirs = class.is_none() && self.is_theirs(&request.class);
        let wrong = match class {
            None if !theirs => Some("a class that is not known"),
            _ if shared && tenant.is_none() => Some("a tenant that is not known"),
            // Hosts tell answers apart by it.
            _ if self.ids.contains(request.id.as_str()) => Some("the id of a request that is open"),
            _ => None,
        };
        let Side::Platform(front, _) = &mut self.side else { return };
        if let Some(wrong) = wrong {
            return front.error(now, origin, wrong, &mut self.log);
        }
        // No client waits longer than its class says; what is open for a day would pile up.
        let class = class.unwrap_or(usize::MAX);
        let known = self.agreed().classes.get(class);
        let longest = known.map_or(LONGEST_UNKNOWN, |c| 2 * c.give_up);
        let incoming = Incoming {
            id: request.id,
            class,
            class_name: request.class,
            tenant,
            function: request.function,
            timeout: self.time_left(now, (request.timeout * 1000).min(longest)),
            lanes: request.lanes,
            repeat: request.repeat,
            hint: request.hint,
            key: request.key,
            body: request.body,
            turn: None,
            placed: None,
            advice: Vec::new(),
        };
        self.request(now, Some(origin.conn), Origin::Platform(origin), incoming);
    }

    pub(super) fn invoke_call(&mut self, conn: ConnId, origin: invoke::Origin, call: invoke::Call) {
        let now = self.clock.now();
        let Some(settings) = self.agreed().classes.get(call.class).copied() else { return };
        let Side::Operator { classes, ids, .. } = &mut self.side else { return };
        let (deferred, lanes) = classes[call.class];
        let usual = match origin {
            invoke::Origin::Waiting(_) => settings.give_up,
            invoke::Origin::Deferred(_) => deferred,
        };
        let id = format!("{:016x}", ids.u64(..));
        // Without a key of the client's, hosts can still drop the repeats of this activator.
        let keyed = matches!(settings.effect, Effect::Keyed { .. });
        let incoming = Incoming {
            class: call.class,
            class_name: self.config.deployment.classes[call.class].clone(),
            tenant: call.tenant,
            function: call.function,
            timeout: self.time_left(now, call.timeout.unwrap_or(usual).min(settings.give_up.max(deferred))),
            lanes: call.lanes.unwrap_or(lanes),
            repeat: call.repeat,
            hint: 0,
            key: call.key.or_else(|| keyed.then(|| id.clone())),
            body: call.body,
            turn: call.turn,
            placed: None,
            advice: Vec::new(),
            id,
        };
        self.request(now, Some(conn), Origin::Invoke(origin), incoming);
    }

    /// What is left of the time that a client waits whose request is read now: it may have been here for a while.
    fn time_left(&self, now: Micros, timeout: Micros) -> Micros {
        (timeout - (now - self.held_up.arrived(now))).max(0)
    }

    pub(super) fn request(&mut self, now: Micros, conn: Option<ConnId>, origin: Origin, incoming: Incoming) {
        // It may have to wait first for a place for its turn, once.
        if let Some((origin, incoming)) = self.advise(now, conn, origin, incoming) {
            self.request_placed(now, conn, origin, incoming);
        }
    }

    /// ... which has its place.
    pub(super) fn request_placed(
        &mut self,
        now: Micros,
        conn: Option<ConnId>,
        origin: Origin,
        incoming: Incoming,
    ) {
        let size = incoming.body.len();
        if !self.is_within_caps(now, incoming.tenant, &incoming.function) {
            self.forgo_turn(incoming.placed.as_ref());
            let retry_after = self.config.deployment.settings.max_retry_after;
            return self.reply(now, &origin, Reply::Refused(retry_after));
        }
        let (owner, asking) = match self.let_in(now, conn, (incoming.class, incoming.tenant, size)) {
            Ok(admitted) => admitted,
            Err(reply) => {
                self.forgo_turn(incoming.placed.as_ref());
                return self.reply(now, &origin, reply);
            }
        };
        let half_closed = match (&self.side, &origin) {
            (Side::Platform(front, _), Origin::Platform(origin)) => front.half_closed(origin.conn),
            _ => None,
        };
        let half_closed = half_closed.map(|since| self.held_up.arrived(since));
        let new = NewRequest {
            class: incoming.class,
            tenant: incoming.tenant,
            function: incoming.function.as_str().into(),
            due: now + (incoming.timeout - DUE_MARGIN).max(0),
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
        let class = new.class;
        let by = Version::Old;
        let mut pending = Pending {
            call,
            origin,
            answer: None,
            new,
            arrived: now,
            attempts: Attempts::default(),
            by,
            owner,
            asking,
            passed: None,
        };
        let ticket = match self.pass(now, &pending, incoming.placed.as_ref(), &incoming.advice) {
            Some(ticket) => {
                pending.by = Version::New;
                self.carry_turn(ticket, incoming.placed, incoming.advice);
                if let Some(since) = half_closed {
                    self.passed_half_closed(ticket, since);
                }
                ticket
            }
            // A class that only the candidate knows, and no room on the way to it.
            None if class == usize::MAX => {
                self.release(now, &pending, false);
                let retry_after = self.config.deployment.settings.max_retry_after;
                return self.reply(now, &pending.origin, Reply::Refused(retry_after));
            }
            None => {
                let new = pending.new.clone();
                let advice = incoming.advice;
                let ticket =
                    self.run_engine(|engine, out| engine.request_with_preferences(now, new, advice, out));
                self.carry_turn(ticket, incoming.placed, Vec::new());
                ticket
            }
        };
        self.ids.insert(pending.call.id.clone());
        self.admit(ticket, pending);
    }

    /// The request goes by this ticket from now on.
    pub(super) fn admit(&mut self, ticket: Ticket, pending: Pending) {
        let waits = match (&mut self.side, &pending.origin) {
            (Side::Platform(front, _), Origin::Platform(origin)) => front.taken(*origin, ticket),
            (Side::Operator { front, .. }, Origin::Invoke(origin)) => front.taken(origin, ticket),
            _ => false,
        };
        self.pending.insert(ticket, pending);
        if !waits {
            self.client_left(ticket);
        }
    }

    pub(super) fn client_left(&mut self, ticket: Ticket) {
        let now = self.clock.now();
        self.passed_over(now, ticket);
        self.turn_over(ticket);
        if let Some(pending) = self.pending.remove(&ticket) {
            self.release(now, &pending, false);
            self.log_client_left(now, &pending);
            self.ids.remove(&pending.call.id);
        }
        if !self.passed_left(ticket) {
            self.run_engine(|engine, out| engine.client_left(now, ticket, out));
        }
    }

    /// The client of these requests has ended its side of the connection: it has gone, or waits for answers.
    fn client_half_closed(&mut self, tickets: &[Ticket], since: Micros) {
        let now = self.clock.now();
        let since = self.held_up.arrived(since);
        for ticket in tickets {
            // Where it is decided anew later, that counts from the same time.
            if let Some(pending) = self.pending.get_mut(ticket) {
                pending.new.half_closed = Some(since);
            }
            if !self.passed_half_closed(*ticket, since) {
                self.run_engine(|engine, out| engine.client_half_closed(now, *ticket, since, out));
            }
        }
    }

    pub(super) fn answer(&mut self, now: Micros, ticket: Ticket, verdict: Verdict) {
        let Some(mut pending) = self.pending.remove(&ticket) else { return };
        self.ids.remove(&pending.call.id);
        self.passed_over(now, ticket);
        let found = self.turn_over(ticket);
        let reply = match (verdict, pending.answer.take()) {
            (Verdict::Served(by), Some((attempt, body))) if by == attempt => Reply::Served(body),
            (Verdict::Refused { retry_after }, _) => Reply::Refused(retry_after),
            (Verdict::TimedOut, _) => Reply::TimedOut,
            _ => Reply::Failed,
        };
        self.release(now, &pending, matches!(reply, Reply::Served(_)));
        self.count(now, &pending, &reply);
        self.log_answer(now, &pending, &reply);
        match (&mut self.side, &pending.origin, found) {
            (Side::Operator { front, .. }, Origin::Invoke(origin), Some(found)) => {
                front.reply_found(now, origin, reply, found, &mut self.log)
            }
            (_, Origin::Peer(seq), _) => {
                let said = pending.passed.take().map(|p| p.said).unwrap_or_default();
                self.answer_holder(*seq, reply, said)
            }
            _ => self.reply(now, &pending.origin, reply),
        }
    }

    pub(super) fn reply(&mut self, now: Micros, origin: &Origin, reply: Reply) {
        match (&mut self.side, origin) {
            (Side::Platform(front, _), Origin::Platform(origin)) => {
                front.reply(now, *origin, reply, &mut self.log)
            }
            (Side::Operator { front, .. }, Origin::Invoke(origin)) => {
                front.reply(now, origin, reply, &mut self.log)
            }
            (_, Origin::Peer(seq)) => self.answer_holder(*seq, reply, AnswerFields::default()),
            _ => {}
        }
    }

    pub(super) fn host_notice(&mut self, notice: hosts::Notice) {
        let now = self.clock.now();
        match notice {
            hosts::Notice::Attempt { attempt, end, body, fields } => {
                self.log_attempt_end(attempt, end.outcome);
                self.drafted(now, attempt, &end, &fields);
                self.turn_ended(now, attempt, &end, &fields);
                if let Some(pending) = self.pending.get_mut(&attempt.ticket) {
                    if let Some(passed) = &mut pending.passed {
                        let done = end.outcome == Outcome::Done;
                        passed.said = if done {
                            AnswerFields::from_answer(&fields, end.report)
                        } else {
                            AnswerFields::default()
                        };
                    }
                    pending.answer = (end.outcome == Outcome::Done).then_some((attempt, body));
                }
                self.tell_end(attempt, end.outcome);
                self.run_engine(|engine, out| engine.attempt_ended(now, attempt, end, out));
            }
            hosts::Notice::Order { order, outcome, copies } => {
                self.run_engine(|engine, out| engine.order_ended(now, order, outcome, copies, out));
            }
        }
    }
}
