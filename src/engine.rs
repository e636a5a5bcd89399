//! The engine: a [`Router`] with the promises that every front and every host adapter relies on.
//!
//! It alone owns open requests, attempts, orders, timers and the promise of one final answer. It does no
//! I/O and knows no wire: time is passed in, and what is to be done comes out as [`Command`]s.
//!
//! No attempt begins for a request that was answered, that its client has left, that has an attempt out or whose
//! time is up, whatever the module says: `Engine::begin` is the only way to [`Command::Send`].

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use crate::interface::*;
use crate::state::Router;

/// From the end of its client's side of the connection on, attempts of a request may begin for this long. A client
/// that closes ends its side just as one that only sends no more, and what begins more than 100 ms after a client
/// has gone is work for nobody; half of that is left to the loop and to the connection to the host.
pub const HALF_CLOSE_GRACE_US: Micros = 50_000;

/// Timers that are kept before those of what has ended are looked for.
const MIN_PRUNE_TIMERS: usize = 256;

/// What decides: events in, actions out. It is the [`Router`] but in tests; the engine's promises hold for any.
pub trait Module {
    /// Takes one event and appends what is to be done about it.
    fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>);
}

impl Module for Router {
    fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        Router::handle(self, now, event, out);
    }
}

/// An open request, numbered by the engine: ids that clients choose need not be unique.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// One attempt of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// The request.
    pub ticket: Ticket,
    /// Which of its attempts, counted from 0.
    pub number: u32,
}

/// An order to load.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OrderId(pub u64);

/// A request as a front hands it in.
#[derive(Clone, Debug)]
pub struct NewRequest {
    /// Index of its class.
    pub class: usize,
    /// Index of its tenant.
    pub tenant: Option<usize>,
    /// What it calls.
    pub function: FunctionId,
    /// When its final answer is due at the latest.
    pub due: Micros,
    /// Requests that one copy of the function runs at once.
    pub lanes: u32,
    /// A client's repeat of a try that failed.
    pub repeat: bool,
    /// Work expected, as time on a standard core; 0 where it is not told.
    pub hint: Micros,
    /// When its client ended its side of the connection, if it has; see [`Engine::client_half_closed`].
    pub half_closed: Option<Micros>,
}

/// How an attempt ended, as its host adapter saw it.
#[derive(Clone, Copy, Debug)]
pub struct AttemptEnd {
    /// The outcome; [`Outcome::never_ran`] only with proof.
    pub outcome: Outcome,
    /// What the answer told of the copy.
    pub found: Option<Found>,
    /// Requests for the same function that the host held.
    pub overlap: Option<u32>,
    /// What the answer told of the host's load.
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
    /// Turned away: trying again is harmless.
    Refused {
        /// How long the client should stay away; 0 for no advice.
        retry_after: Micros,
    },
    /// Failed while there was time: no promise.
    Failed,
    /// Failed because its time ran out: no promise.
    TimedOut,
}

/// What the adapters are to do, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Send an attempt.
    Send {
        /// The attempt.
        attempt: AttemptId,
        /// Where to.
        host: WorkerId,
        /// When it is over at the latest.
        until: Micros,
        /// Not to be sent after this: then [`Engine::attempt_ended`] follows with [`Outcome::NotSent`].
        leave_by: Micros,
    },
    /// Give an attempt up. [`Engine::attempt_ended`] must still follow, once nothing of it can run unseen.
    Cancel {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Take an attempt back if nothing of it has left yet: then [`Engine::attempt_ended`] follows at once with
    /// [`Outcome::NotSent`]. Else it goes on.
    Withdraw {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Order copies to be held.
    Load {
        /// The order.
        order: OrderId,
        /// Where.
        host: WorkerId,
        /// Of which function.
        function: FunctionId,
        /// How many.
        copies: u32,
    },
    /// Have idle copies unloaded.
    Unload {
        /// Where.
        host: WorkerId,
        /// Of which function.
        function: FunctionId,
    },
    /// Ask a host whether it is well.
    Probe {
        /// Which.
        host: WorkerId,
    },
    /// Tell all other activators this.
    Broadcast {
        /// What.
        data: Vec<u8>,
    },
    /// The final answer of a request: exactly one for each, unless its client left first.
    Answer {
        /// The request.
        ticket: Ticket,
        /// The answer.
        verdict: Verdict,
    },
    /// A line for the operator.
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
    /// No attempt begins after this.
    last_attempt_at: Micros,
    attempts: Vec<Attempt>,
}

impl OpenRequest {
    /// Whether an attempt may begin now.
    fn may_start(&self, now: Micros) -> bool {
        let nothing_out = self.attempts.iter().all(|a| a.ended);
        !self.answered && nothing_out && now < self.due && now <= self.last_attempt_at
    }
}

#[derive(Debug)]
struct Attempt {
    host: WorkerId,
    sent: Micros,
    /// Its adapter was told to give it up, for this reason.
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

/// See the module's page.
pub struct Engine<M = Router> {
    module: M,
    order_timeout: Micros,
    now: Micros,
    last_id: u64,
    open: BTreeMap<Ticket, OpenRequest>,
    orders: BTreeMap<OrderId, Order>,
    timers: BinaryHeap<Reverse<(Micros, Timer)>>,
    /// Timers of what has ended are looked for when there are more than this.
    prune_above: usize,
    scratch: Vec<Action>,
}

impl<M: Module> Engine<M> {
    /// An engine round this module. An order not answered within `order_timeout` has ended.
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

    /// Requests that are owed an answer or have an attempt out.
    pub fn open(&self) -> usize {
        self.open.len()
    }

    /// The module.
    pub fn module(&self) -> &M {
        &self.module
    }

    /// Timers that are kept, those of requests and orders that have ended among them: at most twice as many as were
    /// live when these were last looked for, or a few hundred.
    pub fn timers(&self) -> usize {
        self.timers.len()
    }

    /// When [`Engine::tick`] is wanted next.
    pub fn next_tick(&self) -> Option<Micros> {
        self.timers.peek().map(|Reverse((at, _))| *at)
    }

    /// Takes a request. One final answer follows, now or later.
    pub fn request(&mut self, now: Micros, new: NewRequest, out: &mut Vec<Command>) -> Ticket {
        self.request_with_past_attempts(now, new, Vec::new(), out)
    }

    /// Takes a request that is best served at these spots; see [`Event::PreferredLocations`]. No spot changes nothing.
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

    /// The request that is taken next is best served at these spots; see [`Event::PreferredLocations`]. No spot changes nothing.
    pub fn prefer_locations(&mut self, now: Micros, advice: Vec<PreferredLocation>, out: &mut Vec<Command>) {
        if !advice.is_empty() {
            self.advance(now);
            self.deliver(Event::PreferredLocations(advice), out);
        }
    }

    /// Takes a request that had attempts in a process that is gone, all of which have ended. They count as this
    /// engine's own: for the number that it may have, and for where and whether it may be repeated or refused.
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
        let last_attempt_at = new.half_closed.map_or(Micros::MAX, |since| since + HALF_CLOSE_GRACE_US);
        let open = OpenRequest { id: id.clone(), due: new.due, answered: false, last_attempt_at, attempts };
        self.open.insert(ticket, open);
        self.arm(new.due, Timer::RequestDue(ticket));
        if new.half_closed.is_some() {
            self.arm(last_attempt_at, Timer::LastAttempt(ticket));
        }
        if !past.is_empty() {
            self.deliver(Event::PastAttempts(past), out);
        }
        let NewRequest { class, tenant, function, due, lanes, repeat, hint, half_closed: _ } = new;
        self.deliver(Event::Arrival { request: id, class, tenant, function, due, lanes, repeat, hint }, out);
        ticket
    }

    /// Nobody waits for the request any more: no answer is owed, and none will be given.
    pub fn client_left(&mut self, now: Micros, ticket: Ticket, out: &mut Vec<Command>) {
        self.advance(now);
        let Some(open) = self.open.get_mut(&ticket).filter(|o| !o.answered) else { return };
        open.answered = true;
        let request = open.id.clone();
        self.deliver(Event::ClientLeft { request }, out);
        // The module may lack the right to cancel; work that nobody waits for still stops.
        self.cancel_attempts(ticket, Outcome::Cancelled, out);
        self.forget(ticket);
    }

    /// The request's client ended its side of the connection at `since`, and may have gone or wait for what is out.
    /// An attempt that is out goes on; none begins later than [`HALF_CLOSE_GRACE_US`] after that.
    pub fn client_half_closed(&mut self, now: Micros, ticket: Ticket, since: Micros, out: &mut Vec<Command>) {
        self.advance(now);
        let Some(open) = self.open.get_mut(&ticket).filter(|o| !o.answered) else { return };
        let last_attempt_at = since + HALF_CLOSE_GRACE_US;
        if last_attempt_at >= open.last_attempt_at {
            return;
        }
        open.last_attempt_at = last_attempt_at;
        if last_attempt_at < self.now {
            self.stop_attempts(ticket, out);
        } else {
            self.arm(last_attempt_at, Timer::LastAttempt(ticket));
        }
    }

    /// An attempt has ended: once each; later word of it is ignored.
    pub fn attempt_ended(&mut self, now: Micros, id: AttemptId, end: AttemptEnd, out: &mut Vec<Command>) {
        self.advance(now);
        let Some(open) = self.open.get_mut(&id.ticket) else { return };
        let Some(attempt) = open.attempts.get_mut(id.number as usize).filter(|a| !a.ended) else { return };
        attempt.ended = true;
        let mut outcome = end.outcome;
        outcome = match (outcome, attempt.cancelled) {
            (Outcome::Cancelled, Some(reason)) => reason,
            // Taken back before it left, at the module's own wish: it means to send the request elsewhere.
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

    /// An order has ended: once each; later word of it is ignored.
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

    /// News of the host list.
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

    /// What another activator told, by its number.
    pub fn gossip_received(&mut self, now: Micros, from: u32, data: Vec<u8>, out: &mut Vec<Command>) {
        self.advance(now);
        self.deliver(Event::GossipReceived { from, data }, out);
    }

    /// An operator takes a host out, whatever the list says, or puts it back.
    pub fn set_out_of_service(
        &mut self,
        now: Micros,
        worker: WorkerId,
        out: bool,
        commands: &mut Vec<Command>,
    ) {
        self.advance(now);
        self.deliver(Event::OutOfService { worker, out }, commands);
    }

    /// The settings have changed; they must have been checked. What is open goes on as it began.
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

    /// Takes other terms of the same classes and tenants, by the same indexes. What is open is held to the stricter of
    /// those it came under and these.
    pub fn update_terms(&mut self, now: Micros, settings: Settings, out: &mut Vec<Command>) {
        self.advance(now);
        self.deliver(Event::ClassTerms(Box::new(settings)), out);
    }

    /// What the process knew whose place this one takes.
    pub fn inherit(&mut self, now: Micros, legacy: HandoverState, out: &mut Vec<Command>) {
        self.advance(now);
        self.deliver(Event::Handover(legacy), out);
    }

    /// Time has passed.
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

    /// Has [`Engine::tick`] come to this then.
    fn arm(&mut self, at: Micros, timer: Timer) {
        if self.timers.len() >= self.prune_above {
            self.prune_timers();
        }
        self.timers.push(Reverse((at, timer)));
    }

    /// Drops the timers of what has ended. As it is done when their number has doubled, it costs each timer little.
    fn prune_timers(&mut self) {
        let (open, orders) = (&self.open, &self.orders);
        let waits = |ticket: &Ticket| open.get(ticket).is_some_and(|o| !o.answered);
        let is_out = |id: &AttemptId| {
            let attempt = open.get(&id.ticket).and_then(|o| o.attempts.get(id.number as usize));
            attempt.is_some_and(|a| !a.ended)
        };
        self.timers.retain(|Reverse((_, timer))| match timer {
            Timer::RequestDue(ticket) | Timer::LastAttempt(ticket) => waits(ticket),
            Timer::Attempt(id) => is_out(id),
            Timer::Order(order) => orders.contains_key(order),
            Timer::Wake => true,
        });
        self.prune_above = MIN_PRUNE_TIMERS.max(2 * self.timers.len());
    }

    fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    /// Its time is up: attempts are given up, and whatever the module says of that, an answer goes out now.
    fn request_timed_out(&mut self, ticket: Ticket, out: &mut Vec<Command>) {
        let Some(open) = self.open.get_mut(&ticket).filter(|o| !o.answered) else { return };
        // What never had an attempt out is the module's to refuse or fail.
        if open.attempts.iter().all(|a| a.ended) {
            self.deliver(Event::Woken, out);
        }
        self.cancel_attempts(ticket, Outcome::TimedOut, out);
        self.answer_if_due(ticket, out);
        self.forget(ticket);
    }

    /// The promise: past its time a request is answered, whatever else happens.
    fn answer_if_due(&mut self, ticket: Ticket, out: &mut Vec<Command>) {
        let Some(open) = self.open.get_mut(&ticket).filter(|o| !o.answered && o.due <= self.now) else {
            return;
        };
        open.answered = true;
        out.push(Command::Answer { ticket, verdict: Verdict::TimedOut });
        let request = open.id.clone();
        self.deliver(Event::ClientLeft { request }, out);
    }

    /// No attempt of it begins from now on: the module decides whether it ends at once, and what has not begun to
    /// leave for a host is taken back.
    fn stop_attempts(&mut self, ticket: Ticket, out: &mut Vec<Command>) {
        let Some(open) = self.open.get(&ticket).filter(|o| !o.answered) else { return };
        let request = open.id.clone();
        let is_out = |a: &Attempt| !a.ended && a.cancelled.is_none();
        let last = open.attempts.iter().rposition(is_out);
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

    /// Has the adapter give up what is out for the request.
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

    /// Hands an event to the module and carries out what it decides.
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
                // What is called off so that it is asked anew would be lost where it may not be asked anew.
                let open =
                    self.open.get_mut(&id.ticket).filter(|o| o.answered || self.now <= o.last_attempt_at);
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
            // Lists are pushed to every embedder of the engine.
            Action::Subscribe => {}
        }
    }

    /// Begins an attempt that the module wants, or tells it that it was never sent where none may begin.
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
        // A failure at the very end is the clock's doing.
        let verdict =
            if verdict == Verdict::Failed && open.due <= self.now { Verdict::TimedOut } else { verdict };
        out.push(Command::Answer { ticket, verdict });
        self.cancel_attempts(ticket, Outcome::Cancelled, out);
        self.forget(ticket);
    }
}

impl Engine {
    /// Whether this activator tells others anything, and heeds what they tell.
    pub fn gossip_enabled(&self) -> bool {
        self.module.gossip_enabled()
    }

    /// What a process needs that takes this one's place.
    pub fn handover_state(&self) -> HandoverState {
        self.module.handover_state()
    }

    /// What was taken and ordered since then, for such a process.
    pub fn tallies(&self, since: Micros) -> Vec<Tally> {
        self.module.tallies(since)
    }

    /// Whether the ration has room for an order of a process beside this one. If so, it is counted.
    pub fn grant_order(&mut self, now: Micros) -> bool {
        self.advance(now);
        self.module.grant_order(self.now)
    }

    /// The process beside this one decides this share of the calls, and is due as much of the ration of orders.
    pub fn set_peer_share(&mut self, share: f64) {
        self.module.set_peer_share(share);
    }

    /// The process beside this one is gone: what it took and ordered counts as this one's own from now on.
    pub fn peer_gone(&mut self) {
        self.module.peer_gone();
    }

    /// Whether the host is not known to have all of its capacity yet.
    pub fn is_cold(&self, host: &WorkerId) -> bool {
        self.module.is_cold(host)
    }
}

/// The ticket that a request's id was made from.
fn ticket(id: &RequestId) -> Ticket {
    Ticket(u64::from_str_radix(&id.0, 16).unwrap_or(0))
}
