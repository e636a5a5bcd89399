//! The engine: a [`Router`] with the guarantees that front ends and host adapters rely on.
//!
//! It owns open requests, attempts, orders and timers, and guarantees one final answer for each request. It does no
//! I/O and knows no protocol: time is passed in, and [`Command`]s come out.
//!
//! No attempt begins for a request that is answered or past its due time, whose client has left, or that has an
//! attempt in progress, whatever the module decides: only `Engine::start_attempt` issues [`Command::Send`].

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use crate::interface::*;
use crate::renumbering::Renumbering;
use crate::state::Router;

/// Time after its client half-closed the connection in which attempts of a request may begin. A half-close does not
/// show whether the client is gone or only sends no more. An attempt begun more than 100 ms after a client has gone
/// is wasted work; half of that time is left for the event loop and the connection to the host.
pub const HALF_CLOSE_GRACE_US: Micros = 50_000;

/// Minimum number of timers above which those of ended requests and orders are pruned.
const MIN_PRUNE_TIMERS: usize = 256;

/// The decision logic, which turns events into actions. It is the [`Router`], except in tests; the guarantees of the
/// engine hold for any implementation.
pub trait Module {
    /// Handles one event and appends the resulting actions.
    fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>);
}

impl Module for Router {
    fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        Router::handle(self, now, event, out);
    }
}

/// Id of an open request, assigned by the engine, as ids chosen by clients need not be unique.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// Id of one attempt of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// The request.
    pub ticket: Ticket,
    /// Number of the attempt, from 0.
    pub number: u32,
}

/// Id of a load order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OrderId(pub u64);

/// A request as a front end passes it to the engine.
#[derive(Clone, Debug)]
pub struct NewRequest {
    /// Index of its class.
    pub class: usize,
    /// Index of its tenant.
    pub tenant: Option<usize>,
    /// The function that it calls.
    pub function: FunctionId,
    /// Latest time of its final answer.
    pub due: Micros,
    /// Requests that one copy of the function runs at once.
    pub lanes: u32,
    /// Whether it is a client's retry of a failed request.
    pub repeat: bool,
    /// Expected work, as time on a standard core; 0 if unknown.
    pub hint: Micros,
    /// When its client half-closed the connection, if it did; see [`Engine::client_half_closed`].
    pub half_closed: Option<Micros>,
}

/// How an attempt ended, as reported by the host adapter.
#[derive(Clone, Copy, Debug)]
pub struct AttemptEnd {
    /// The outcome. One for which [`Outcome::never_ran`] is true may only be reported if that is proven.
    pub outcome: Outcome,
    /// What the answer reported about the copy.
    pub found: Option<Found>,
    /// Requests for the same function that the host held when this one arrived.
    pub overlap: Option<u32>,
    /// The host's load report.
    pub report: Option<LoadReport>,
}

impl From<Outcome> for AttemptEnd {
    fn from(outcome: Outcome) -> Self {
        Self { outcome, found: None, overlap: None, report: None }
    }
}

/// The final answer of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Served by this attempt.
    Served(AttemptId),
    /// Refused: a retry is harmless.
    Refused {
        /// How long the client should wait before a retry; 0 for no advice.
        retry_after: Micros,
    },
    /// Failed before its due time; it may have run.
    Failed,
    /// Timed out; it may have run.
    TimedOut,
}

/// What the adapters must do, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Send an attempt.
    Send {
        /// The attempt.
        attempt: AttemptId,
        /// The host.
        host: WorkerId,
        /// Latest time of its end.
        until: Micros,
        /// Latest time to send it; after that, [`Engine::attempt_ended`] must follow with [`Outcome::NotSent`].
        leave_by: Micros,
    },
    /// Cancel an attempt. [`Engine::attempt_ended`] must still follow, once no part of it can run unobserved.
    Cancel {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Withdraw an attempt if no part of it has been sent: then [`Engine::attempt_ended`] must follow at once with
    /// [`Outcome::NotSent`]. Otherwise it continues.
    Withdraw {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Order copies of a function to be loaded.
    Load {
        /// The order.
        order: OrderId,
        /// The host.
        host: WorkerId,
        /// The function.
        function: FunctionId,
        /// Number of copies.
        copies: u32,
    },
    /// Have idle copies unloaded.
    Unload {
        /// The host.
        host: WorkerId,
        /// The function.
        function: FunctionId,
    },
    /// Check the health of a host.
    Probe {
        /// The host.
        host: WorkerId,
    },
    /// Send a gossip datagram to all other activators.
    Broadcast {
        /// The datagram.
        data: Vec<u8>,
    },
    /// The final answer of a request: exactly one for each, unless its client left first.
    Answer {
        /// The request.
        ticket: Ticket,
        /// The answer.
        verdict: Verdict,
    },
    /// Write a log line.
    Log {
        /// The line.
        text: String,
    },
}

#[derive(Debug)]
struct OpenRequest {
    id: RequestId,
    due: Micros,
    answered: bool,
    /// Latest time at which an attempt may begin.
    start_by: Micros,
    attempts: Vec<Attempt>,
}

impl OpenRequest {
    /// Whether an attempt may begin now.
    fn may_start(&self, now: Micros) -> bool {
        let none_open = self.attempts.iter().all(|a| a.ended);
        !self.answered && none_open && now < self.due && now <= self.start_by
    }
}

#[derive(Debug)]
struct Attempt {
    host: WorkerId,
    sent: Micros,
    /// It has been cancelled, for this reason.
    cancelled: Option<Outcome>,
    ended: bool,
}

#[derive(Debug)]
struct Order {
    host: WorkerId,
    function: FunctionId,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    RequestDue(Ticket),
    LastAttempt(Ticket),
    Attempt(AttemptId),
    Order(OrderId),
    Wake,
}

/// See the [module documentation](self).
pub struct Engine<M = Router> {
    module: M,
    order_timeout: Micros,
    now: Micros,
    last_id: u64,
    open: BTreeMap<Ticket, OpenRequest>,
    orders: BTreeMap<OrderId, Order>,
    timers: BinaryHeap<Reverse<(Micros, Timer)>>,
    /// Number of timers at which those of ended requests and orders are pruned.
    prune_above: usize,
    scratch: Vec<Action>,
}

impl<M: Module> Engine<M> {
    /// Creates an engine around this module. A load order times out after `order_timeout`.
    pub fn new(module: M, order_timeout: Micros) -> Self {
        Self {
            module,
            order_timeout,
            now: 0,
            last_id: 0,
            open: BTreeMap::new(),
            orders: BTreeMap::new(),
            timers: BinaryHeap::new(),
            prune_above: MIN_PRUNE_TIMERS,
            scratch: Vec::new(),
        }
    }

    /// Number of requests that have no answer yet or an attempt in progress.
    pub fn open(&self) -> usize {
        self.open.len()
    }

    /// The module.
    pub fn module(&self) -> &M {
        &self.module
    }

    /// Number of timers, including those of ended requests and orders: at most twice as many as were live at the last
    /// pruning, or a few hundred.
    pub fn timers(&self) -> usize {
        self.timers.len()
    }

    /// Next time at which [`Engine::tick`] must be called.
    pub fn next_tick(&self) -> Option<Micros> {
        self.timers.peek().map(|Reverse((at, _))| *at)
    }

    /// Accepts a request. Exactly one final answer follows, now or later.
    pub fn request(&mut self, now: Micros, new: NewRequest, out: &mut Vec<Command>) -> Ticket {
        self.request_with_past_attempts(now, new, Vec::new(), out)
    }

    /// Accepts a request with preferred locations; see [`Event::PreferredLocations`]. An empty list has no effect.
    pub fn request_with_preferences(
        &mut self,
        now: Micros,
        new: NewRequest,
        advice: Vec<PreferredLocation>,
        out: &mut Vec<Command>,
    ) -> Ticket {
        self.prefer_locations(now, advice, out);
        self.request(now, new, out)
    }

    /// Sets the preferred locations of the next request; see [`Event::PreferredLocations`]. An empty list has no effect.
    pub fn prefer_locations(&mut self, now: Micros, advice: Vec<PreferredLocation>, out: &mut Vec<Command>) {
        if !advice.is_empty() {
            self.advance(now);
            self.deliver(Event::PreferredLocations(advice), out);
        }
    }

    /// Sets the terms of the class under which the next request arrived. They hold for it whatever the settings say now.
    pub fn keep_arrival_terms(&mut self, now: Micros, terms: Class, out: &mut Vec<Command>) {
        self.advance(now);
        self.deliver(Event::ArrivalTerms(terms), out);
    }

    /// Accepts a request that had attempts in a process that has ended; the attempts have ended too. They count as this
    /// engine's own for the maximum number of attempts, and for where and whether it may be retried or refused.
    pub fn request_with_past_attempts(
        &mut self,
        now: Micros,
        new: NewRequest,
        past: Vec<PastAttempt>,
        out: &mut Vec<Command>,
    ) -> Ticket {
        self.advance(now);
        let ticket = Ticket(self.next_id());
        let id: RequestId = format!("{:016x}", ticket.0).as_str().into();
        let ended =
            |p: &PastAttempt| Attempt { host: p.worker.clone(), sent: p.sent, cancelled: None, ended: true };
        let attempts = past.iter().map(ended).collect();
        let start_by = new.half_closed.map_or(Micros::MAX, |since| since + HALF_CLOSE_GRACE_US);
        let open = OpenRequest { id: id.clone(), due: new.due, answered: false, start_by, attempts };
        self.open.insert(ticket, open);
        self.arm(new.due, Timer::RequestDue(ticket));
        if new.half_closed.is_some() {
            self.arm(start_by, Timer::LastAttempt(ticket));
        }
        if !past.is_empty() {
            self.deliver(Event::PastAttempts(past), out);
        }
        let NewRequest { class, tenant, function, due, lanes, repeat, hint, half_closed: _ } = new;
        self.deliver(Event::Arrival { request: id, class, tenant, function, due, lanes, repeat, hint }, out);
        ticket
    }

    /// The client of the request has left: no answer will be given.
    pub fn client_left(&mut self, now: Micros, ticket: Ticket, out: &mut Vec<Command>) {
        self.advance(now);
        let Some(open) = self.open.get_mut(&ticket).filter(|o| !o.answered) else { return };
        open.answered = true;
        let request = open.id.clone();
        self.deliver(Event::ClientLeft { request }, out);
        // The settings may not allow the module to cancel; work that no client waits for is cancelled anyway.
        self.cancel_attempts(ticket, Outcome::Cancelled, out);
        self.forget(ticket);
    }

    /// The client half-closed the connection at `since`, and may be gone or wait for its answer. An attempt in progress
    /// continues; none begins later than [`HALF_CLOSE_GRACE_US`] after that.
    pub fn client_half_closed(&mut self, now: Micros, ticket: Ticket, since: Micros, out: &mut Vec<Command>) {
        self.advance(now);
        let Some(open) = self.open.get_mut(&ticket).filter(|o| !o.answered) else { return };
        let start_by = since + HALF_CLOSE_GRACE_US;
        if start_by >= open.start_by {
            return;
        }
        open.start_by = start_by;
        if start_by < self.now {
            self.stop_attempts(ticket, out);
        } else {
            self.arm(start_by, Timer::LastAttempt(ticket));
        }
    }

    /// An attempt has ended. Only the first report of its end counts.
    pub fn attempt_ended(&mut self, now: Micros, id: AttemptId, end: AttemptEnd, out: &mut Vec<Command>) {
        self.advance(now);
        let Some(open) = self.open.get_mut(&id.ticket) else { return };
        let Some(attempt) = open.attempts.get_mut(id.number as usize).filter(|a| !a.ended) else { return };
        attempt.ended = true;
        let mut outcome = end.outcome;
        outcome = match (outcome, attempt.cancelled) {
            (Outcome::Cancelled, Some(reason)) => reason,
            // Cancelled by the module before it was sent: the module will send the request elsewhere.
            (Outcome::NotSent, Some(reason)) if !open.answered => reason,
            _ => outcome,
        };
        let served = outcome == Outcome::Done && !open.answered;
        open.answered |= served;
        let event = Event::Answer {
            request: open.id.clone(),
            attempt: id.number,
            worker: attempt.host.clone(),
            outcome,
            finished: open.answered,
            duration: self.now - attempt.sent,
            found: end.found,
            overlap: end.overlap,
            report: end.report,
        };
        if served {
            out.push(Command::Answer { ticket: id.ticket, verdict: Verdict::Served(id) });
        }
        self.deliver(event, out);
        self.answer_if_due(id.ticket, out);
        self.forget(id.ticket);
    }

    /// A load order has ended. Only the first report of its end counts.
    pub fn order_ended(
        &mut self,
        now: Micros,
        order: OrderId,
        outcome: Outcome,
        copies: u32,
        out: &mut Vec<Command>,
    ) {
        self.advance(now);
        let Some(Order { host, function }) = self.orders.remove(&order) else { return };
        self.deliver(Event::LoadEnded { worker: host, function, outcome, copies }, out);
    }

    /// Applies the host list, or changes of it.
    pub fn update_hosts(
        &mut self,
        now: Micros,
        kind: ListKind,
        entries: Vec<ListEntry>,
        out: &mut Vec<Command>,
    ) {
        self.advance(now);
        self.deliver(Event::List { kind, entries }, out);
    }

    /// A gossip datagram of the activator with this index has arrived.
    pub fn gossip_received(&mut self, now: Micros, from: u32, data: Vec<u8>, out: &mut Vec<Command>) {
        self.advance(now);
        self.deliver(Event::GossipReceived { from, data }, out);
    }

    /// An operator takes a host out of service, whatever the list says, or returns it.
    pub fn set_out_of_service(&mut self, now: Micros, id: WorkerId, out: bool, commands: &mut Vec<Command>) {
        self.advance(now);
        self.deliver(Event::OutOfService { worker: id, out }, commands);
    }

    /// Applies new indexes of classes, tenants and zones. [`Engine::update_settings`] must follow.
    pub fn renumber(&mut self, now: Micros, renumbering: Renumbering, out: &mut Vec<Command>) {
        self.advance(now);
        self.deliver(Event::Renumbered(renumbering), out);
    }

    /// Applies new settings, which must have been checked. Open requests keep the settings that they began with.
    pub fn update_settings(
        &mut self,
        now: Micros,
        settings: Settings,
        order_timeout: Micros,
        out: &mut Vec<Command>,
    ) {
        self.advance(now);
        self.order_timeout = order_timeout;
        self.deliver(Event::Settings(Box::new(settings)), out);
    }

    /// Applies other terms of the same classes and tenants, with the same indexes. Open requests get the stricter of the
    /// terms they arrived under and these.
    pub fn update_terms(&mut self, now: Micros, settings: Settings, out: &mut Vec<Command>) {
        self.advance(now);
        self.deliver(Event::ClassTerms(Box::new(settings)), out);
    }

    /// Takes over the state of the process that this one replaces.
    pub fn inherit(&mut self, now: Micros, state: HandoverState, out: &mut Vec<Command>) {
        self.advance(now);
        self.deliver(Event::Handover(state), out);
    }

    /// Fires the timers that are due.
    pub fn tick(&mut self, now: Micros, out: &mut Vec<Command>) {
        self.advance(now);
        let mut woken = false;
        while let Some(Reverse((at, timer))) = self.timers.peek().copied() {
            if at > self.now {
                break;
            }
            self.timers.pop();
            match timer {
                Timer::RequestDue(ticket) => self.request_timed_out(ticket, out),
                Timer::LastAttempt(ticket) => self.stop_attempts(ticket, out),
                Timer::Attempt(id) => self.attempt_timed_out(id, out),
                Timer::Order(order) => self.order_ended(now, order, Outcome::TimedOut, 0, out),
                Timer::Wake if woken => {}
                Timer::Wake => {
                    woken = true;
                    self.deliver(Event::Woken, out);
                }
            }
        }
    }

    fn advance(&mut self, now: Micros) {
        self.now = now.max(self.now);
    }

    /// Sets a timer.
    fn arm(&mut self, at: Micros, timer: Timer) {
        if self.timers.len() >= self.prune_above {
            self.prune_timers();
        }
        self.timers.push(Reverse((at, timer)));
    }

    /// Drops the timers of ended requests and orders. As this runs only when the number of timers has doubled, its
    /// amortized cost per timer is constant.
    fn prune_timers(&mut self) {
        let (open, orders) = (&self.open, &self.orders);
        let waits = |ticket: &Ticket| open.get(ticket).is_some_and(|o| !o.answered);
        let is_open = |id: &AttemptId| {
            let attempt = open.get(&id.ticket).and_then(|o| o.attempts.get(id.number as usize));
            attempt.is_some_and(|a| !a.ended)
        };
        self.timers.retain(|Reverse((_, timer))| match timer {
            Timer::RequestDue(ticket) | Timer::LastAttempt(ticket) => waits(ticket),
            Timer::Attempt(id) => is_open(id),
            Timer::Order(order) => orders.contains_key(order),
            Timer::Wake => true,
        });
        self.prune_above = MIN_PRUNE_TIMERS.max(2 * self.timers.len());
    }

    fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    /// The request has timed out: cancels its attempts and answers now, whatever the module decides.
    fn request_timed_out(&mut self, ticket: Ticket, out: &mut Vec<Command>) {
        let Some(open) = self.open.get_mut(&ticket).filter(|o| !o.answered) else { return };
        // With no attempt in progress, the module decides whether to refuse or fail it.
        if open.attempts.iter().all(|a| a.ended) {
            self.deliver(Event::Woken, out);
        }
        self.cancel_attempts(ticket, Outcome::TimedOut, out);
        self.answer_if_due(ticket, out);
        self.forget(ticket);
    }

    /// Answers a request that is past its due time. This guarantees an answer whatever else happens.
    fn answer_if_due(&mut self, ticket: Ticket, out: &mut Vec<Command>) {
        let Some(open) = self.open.get_mut(&ticket).filter(|o| !o.answered && o.due <= self.now) else {
            return;
        };
        open.answered = true;
        out.push(Command::Answer { ticket, verdict: Verdict::TimedOut });
        let request = open.id.clone();
        self.deliver(Event::ClientLeft { request }, out);
    }

    /// Allows no further attempt of the request: the module decides whether it ends at once, and an attempt of which
    /// nothing has been sent is withdrawn.
    fn stop_attempts(&mut self, ticket: Ticket, out: &mut Vec<Command>) {
        let Some(open) = self.open.get(&ticket).filter(|o| !o.answered) else { return };
        let request = open.id.clone();
        let is_open = |a: &Attempt| !a.ended && a.cancelled.is_none();
        let last = open.attempts.iter().rposition(is_open);
        self.deliver(Event::NoFurtherAttempt { request }, out);
        if let Some(number) = last {
            out.push(Command::Withdraw { attempt: AttemptId { ticket, number: number as u32 } });
        }
    }

    fn attempt_timed_out(&mut self, id: AttemptId, out: &mut Vec<Command>) {
        let Some(open) = self.open.get_mut(&id.ticket) else { return };
        let Some(a) = open.attempts.get_mut(id.number as usize) else { return };
        if !a.ended && a.cancelled.is_none() {
            a.cancelled = Some(Outcome::TimedOut);
            out.push(Command::Cancel { attempt: id });
        }
    }

    /// Cancels the attempts of the request that are in progress.
    fn cancel_attempts(&mut self, ticket: Ticket, reason: Outcome, out: &mut Vec<Command>) {
        let Some(open) = self.open.get_mut(&ticket) else { return };
        for (number, a) in open.attempts.iter_mut().enumerate() {
            if !a.ended && a.cancelled.is_none() {
                a.cancelled = Some(reason);
                out.push(Command::Cancel { attempt: AttemptId { ticket, number: number as u32 } });
            }
        }
    }

    fn forget(&mut self, ticket: Ticket) {
        let done = |o: &OpenRequest| o.answered && o.attempts.iter().all(|a| a.ended);
        if self.open.get(&ticket).is_some_and(done) {
            self.open.remove(&ticket);
        }
    }

    /// Passes an event to the module and carries out its actions.
    fn deliver(&mut self, event: Event, out: &mut Vec<Command>) {
        let mut actions = std::mem::take(&mut self.scratch);
        self.module.handle(self.now, event, &mut actions);
        for action in actions.drain(..) {
            self.carry_out(action, out);
        }
        self.scratch = actions;
    }

    fn carry_out(&mut self, action: Action, out: &mut Vec<Command>) {
        match action {
            Action::Send { request, worker, timeout, leave_by } => {
                self.start_attempt(ticket(&request), worker, (timeout, leave_by), out);
            }
            Action::Refuse { request, retry_after } => {
                self.answer(&request, Verdict::Refused { retry_after }, out)
            }
            Action::Fail { request } => self.answer(&request, Verdict::Failed, out),
            Action::Cancel { request, attempt } => {
                let id = AttemptId { ticket: ticket(&request), number: attempt };
                // The module cancels in order to retry. Where no retry may begin, the request would be lost.
                let open = self.open.get_mut(&id.ticket).filter(|o| o.answered || self.now <= o.start_by);
                let Some(a) = open.and_then(|o| o.attempts.get_mut(attempt as usize)) else { return };
                if !a.ended && a.cancelled.is_none() {
                    a.cancelled = Some(Outcome::Cancelled);
                    out.push(Command::Cancel { attempt: id });
                }
            }
            Action::Load { worker, function, copies } => {
                let order = OrderId(self.next_id());
                self.orders.insert(order, Order { host: worker.clone(), function: function.clone() });
                self.arm(self.now + self.order_timeout, Timer::Order(order));
                out.push(Command::Load { order, host: worker, function, copies });
            }
            Action::Broadcast { data } => out.push(Command::Broadcast { data }),
            Action::Wake { at } => self.arm(at, Timer::Wake),
            Action::Log { text } => out.push(Command::Log { text }),
            // Every embedder of the engine pushes the host list.
            Action::Subscribe => {}
        }
    }

    /// Starts an attempt that the module requests, or reports it as not sent where none may begin.
    fn start_attempt(
        &mut self,
        ticket: Ticket,
        host: WorkerId,
        (timeout, leave_by): (Option<Micros>, Option<Micros>),
        out: &mut Vec<Command>,
    ) {
        let Some(open) = self.open.get_mut(&ticket) else { return };
        let (starts, now) = (open.may_start(self.now), self.now);
        let attempt = AttemptId { ticket, number: open.attempts.len() as u32 };
        open.attempts.push(Attempt { host: host.clone(), sent: now, cancelled: None, ended: !starts });
        if !starts {
            let event = Event::Answer {
                request: open.id.clone(),
                attempt: attempt.number,
                worker: host,
                outcome: Outcome::NotSent,
                finished: open.answered,
                duration: 0,
                found: None,
                overlap: None,
                report: None,
            };
            return self.deliver(event, out);
        }
        let due = open.due;
        let until = timeout.map_or(due, |t| due.min(now + t));
        if until < due {
            self.arm(until, Timer::Attempt(attempt));
        }
        let leave_by = leave_by.map_or(until, |by| by.min(until));
        out.push(Command::Send { attempt, host, until, leave_by });
    }

    fn answer(&mut self, request: &RequestId, verdict: Verdict, out: &mut Vec<Command>) {
        let ticket = ticket(request);
        let Some(open) = self.open.get_mut(&ticket).filter(|o| !o.answered) else { return };
        open.answered = true;
        // A failure at or after the due time counts as a time-out.
        let verdict =
            if verdict == Verdict::Failed && open.due <= self.now { Verdict::TimedOut } else { verdict };
        out.push(Command::Answer { ticket, verdict });
        self.cancel_attempts(ticket, Outcome::Cancelled, out);
        self.forget(ticket);
    }
}

impl Engine {
    /// Whether this activator sends and uses gossip.
    pub fn gossip_enabled(&self) -> bool {
        self.module.gossip_enabled()
    }

    /// State for a process that replaces this one.
    pub fn handover_state(&self) -> HandoverState {
        self.module.handover_state()
    }

    /// Own calls and orders since this time that count for the load budget, for a process that replaces this one.
    pub fn tallies(&self, since: Micros) -> Vec<Tally> {
        self.module.tallies(since)
    }

    /// Grants an order of the peer process if the load budget allows it, and counts it then.
    pub fn grant_order(&mut self, now: Micros) -> bool {
        self.advance(now);
        self.module.grant_order(self.now)
    }

    /// Sets the share of the calls that the peer process decides, which is also its share of the load budget.
    pub fn set_peer_share(&mut self, share: f64) {
        self.module.set_peer_share(share);
    }

    /// The peer process has ended: its calls and orders count as this one's own from now on.
    pub fn peer_gone(&mut self) {
        self.module.peer_gone();
    }

    /// Whether the host is known but may not have its full capacity yet.
    pub fn is_cold(&self, host: &WorkerId) -> bool {
        self.module.is_cold(host)
    }
}

/// The ticket from which the id of a request was made.
fn ticket(id: &RequestId) -> Ticket {
    Ticket(u64::from_str_radix(&id.0, 16).unwrap_or(0))
}
