//! The engine: a [`Router`] with the promises that every front and every host adapter relies on.
//!
//! It alone owns open requests, attempts, orders, timers and the promise of one final answer. It does no
//! I/O and knows no wire: time is passed in, and what is to be done comes out as [`Command`]s.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use crate::interface::*;
use crate::state::Router;

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
}

/// How an attempt ended, as its host adapter saw it.
#[derive(Clone, Copy, Debug)]
pub struct AttemptEnd {
    /// The outcome; [`Outcome::never_ran`] only with proof.
    pub outcome: Outcome,
    /// What the answer told of the copy.
    pub found: Option<Found>,
    /// Requests for the same function that the host held.
    pub crowd: Option<u32>,
    /// What the answer told of the host's load.
    pub report: Option<LoadReport>,
}

impl From<Outcome> for AttemptEnd {
    fn from(outcome: Outcome) -> Self {
        Self { outcome, found: None, crowd: None, report: None }
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
    },
    /// Give an attempt up. [`Engine::attempt_ended`] must still follow, once nothing of it can run unseen.
    Cancel {
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
    Tell {
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
struct Open {
    id: RequestId,
    due: Micros,
    answered: bool,
    attempts: Vec<Attempt>,
}

#[derive(Debug)]
struct Attempt {
    host: WorkerId,
    sent: Micros,
    /// Its adapter was told to give it up, for this reason.
    called_off: Option<Outcome>,
    ended: bool,
}

#[derive(Debug)]
struct Order {
    host: WorkerId,
    function: FunctionId,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    Due(Ticket),
    Attempt(AttemptId),
    Order(OrderId),
    Wake,
}

/// See the module's page.
pub struct Engine {
    router: Router,
    order_timeout: Micros,
    now: Micros,
    next: u64,
    open: BTreeMap<Ticket, Open>,
    orders: BTreeMap<OrderId, Order>,
    timers: BinaryHeap<Reverse<(Micros, Timer)>>,
    scratch: Vec<Action>,
}

impl Engine {
    /// An engine round this router. An order not answered within `order_timeout` has ended.
    pub fn new(router: Router, order_timeout: Micros) -> Self {
        Self {
            router,
            order_timeout,
            now: 0,
            next: 0,
            open: BTreeMap::new(),
            orders: BTreeMap::new(),
            timers: BinaryHeap::new(),
            scratch: Vec::new(),
        }
    }

    /// Requests that are owed an answer or have an attempt out.
    pub fn open(&self) -> usize {
        self.open.len()
    }

    /// When [`Engine::tick`] is wanted next.
    pub fn next_tick(&self) -> Option<Micros> {
        self.timers.peek().map(|Reverse((at, _))| *at)
    }

    /// Takes a request. One final answer follows, now or later.
    pub fn request(&mut self, now: Micros, new: NewRequest, out: &mut Vec<Command>) -> Ticket {
        self.request_again(now, new, Vec::new(), out)
    }

    /// Takes a request that is best served at these spots; see [`Event::Advised`]. No spot changes nothing.
    pub fn request_advised(
        &mut self,
        now: Micros,
        new: NewRequest,
        advice: Vec<Spot>,
        out: &mut Vec<Command>,
    ) -> Ticket {
        self.advise(now, advice, out);
        self.request(now, new, out)
    }

    /// The request that is taken next is best served at these spots; see [`Event::Advised`]. No spot changes nothing.
    pub fn advise(&mut self, now: Micros, advice: Vec<Spot>, out: &mut Vec<Command>) {
        if !advice.is_empty() {
            self.advance(now);
            self.tell(Event::Advised(advice), out);
        }
    }

    /// Takes a request that had attempts in a process that is gone, all of which have ended. They count as this
    /// engine's own: for the number that it may have, and for where and whether it may be repeated or refused.
    pub fn request_again(
        &mut self,
        now: Micros,
        new: NewRequest,
        past: Vec<PastAttempt>,
        out: &mut Vec<Command>,
    ) -> Ticket {
        self.advance(now);
        let ticket = Ticket(self.fresh());
        let id: RequestId = format!("{:016x}", ticket.0).as_str().into();
        let ended =
            |p: &PastAttempt| Attempt { host: p.worker.clone(), sent: p.sent, called_off: None, ended: true };
        let attempts = past.iter().map(ended).collect();
        let open = Open { id: id.clone(), due: new.due, answered: false, attempts };
        self.open.insert(ticket, open);
        self.timers.push(Reverse((new.due, Timer::Due(ticket))));
        if !past.is_empty() {
            self.tell(Event::Attempted(past), out);
        }
        let NewRequest { class, tenant, function, due, lanes, repeat, hint } = new;
        self.tell(Event::Arrival { request: id, class, tenant, function, due, lanes, repeat, hint }, out);
        ticket
    }

    /// Nobody waits for the request any more: no answer is owed, and none will be given.
    pub fn client_left(&mut self, now: Micros, ticket: Ticket, out: &mut Vec<Command>) {
        self.advance(now);
        let Some(open) = self.open.get_mut(&ticket).filter(|o| !o.answered) else { return };
        open.answered = true;
        let request = open.id.clone();
        self.tell(Event::ClientLeft { request }, out);
        // The module may lack the right to cancel; work that nobody waits for still stops.
        self.call_off(ticket, Outcome::Cancelled, out);
        self.forget(ticket);
    }

    /// An attempt has ended: once each; later word of it is ignored.
    pub fn attempt_ended(&mut self, now: Micros, id: AttemptId, end: AttemptEnd, out: &mut Vec<Command>) {
        self.advance(now);
        let Some(open) = self.open.get_mut(&id.ticket) else { return };
        let Some(attempt) = open.attempts.get_mut(id.number as usize).filter(|a| !a.ended) else { return };
        attempt.ended = true;
        let mut outcome = end.outcome;
        outcome = match (outcome, attempt.called_off) {
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
            crowd: end.crowd,
            report: end.report,
        };
        if served {
            out.push(Command::Answer { ticket: id.ticket, verdict: Verdict::Served(id) });
        }
        self.tell(event, out);
        self.settle_due(id.ticket, out);
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
        self.tell(Event::LoadEnded { worker: host, function, outcome, copies }, out);
    }

    /// News of the host list.
    pub fn hosts(&mut self, now: Micros, kind: ListKind, entries: Vec<ListEntry>, out: &mut Vec<Command>) {
        self.advance(now);
        self.tell(Event::List { kind, entries }, out);
    }

    /// Whether this activator tells others anything, and heeds what they tell.
    pub fn tells(&self) -> bool {
        self.router.tells()
    }

    /// What another activator told, by its number.
    pub fn heard(&mut self, now: Micros, from: u32, data: Vec<u8>, out: &mut Vec<Command>) {
        self.advance(now);
        self.tell(Event::Heard { from, data }, out);
    }

    /// An operator takes a host out, whatever the list says, or puts it back.
    pub fn bar(&mut self, now: Micros, worker: WorkerId, out: bool, commands: &mut Vec<Command>) {
        self.advance(now);
        self.tell(Event::Barred { worker, out }, commands);
    }

    /// The settings have changed; they must have been checked. What is open goes on as it began.
    pub fn settings(
        &mut self,
        now: Micros,
        settings: Settings,
        order_timeout: Micros,
        out: &mut Vec<Command>,
    ) {
        self.advance(now);
        self.order_timeout = order_timeout;
        self.tell(Event::Settings(Box::new(settings)), out);
    }

    /// Takes other terms of the same classes and tenants, by the same indexes. What is open is held to the stricter of
    /// those it came under and these.
    pub fn terms(&mut self, now: Micros, settings: Settings, out: &mut Vec<Command>) {
        self.advance(now);
        self.tell(Event::Terms(Box::new(settings)), out);
    }

    /// What a process needs that takes this one's place.
    pub fn legacy(&self) -> Legacy {
        self.router.legacy()
    }

    /// What was taken and ordered since then, for such a process.
    pub fn tallies(&self, since: Micros) -> Vec<Tally> {
        self.router.tallies(since)
    }

    /// Whether the ration has room for an order of a process beside this one. If so, it is counted.
    pub fn grant_order(&mut self, now: Micros) -> bool {
        self.advance(now);
        self.router.grant_order(self.now)
    }

    /// The process beside this one decides this share of the calls, and is due as much of the ration of orders.
    pub fn set_beside(&mut self, share: f64) {
        self.router.set_beside(share);
    }

    /// The process beside this one is gone: what it took and ordered counts as this one's own from now on.
    pub fn alone(&mut self) {
        self.router.alone();
    }

    /// Whether the host is not known to have all of its capacity yet.
    pub fn is_cold(&self, host: &WorkerId) -> bool {
        self.router.is_cold(host)
    }

    /// What the process knew whose place this one takes.
    pub fn inherit(&mut self, now: Micros, legacy: Legacy, out: &mut Vec<Command>) {
        self.advance(now);
        self.tell(Event::Inherited(legacy), out);
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
                Timer::Due(ticket) => self.over(ticket, out),
                Timer::Attempt(id) => self.attempt_over(id, out),
                Timer::Order(order) => self.order_ended(now, order, Outcome::TimedOut, 0, out),
                Timer::Wake if woken => {}
                Timer::Wake => {
                    woken = true;
                    self.tell(Event::Woken, out);
                }
            }
        }
    }

    fn advance(&mut self, now: Micros) {
        self.now = now.max(self.now);
    }

    fn fresh(&mut self) -> u64 {
        self.next += 1;
        self.next
    }

    /// Its time is up: attempts are given up, and whatever the module says of that, an answer goes out now.
    fn over(&mut self, ticket: Ticket, out: &mut Vec<Command>) {
        let Some(open) = self.open.get_mut(&ticket).filter(|o| !o.answered) else { return };
        // What never had an attempt out is the module's to refuse or fail.
        if open.attempts.iter().all(|a| a.ended) {
            self.tell(Event::Woken, out);
        }
        self.call_off(ticket, Outcome::TimedOut, out);
        self.settle_due(ticket, out);
        self.forget(ticket);
    }

    /// The promise: past its time a request is answered, whatever else happens.
    fn settle_due(&mut self, ticket: Ticket, out: &mut Vec<Command>) {
        let Some(open) = self.open.get_mut(&ticket).filter(|o| !o.answered && o.due <= self.now) else {
            return;
        };
        open.answered = true;
        out.push(Command::Answer { ticket, verdict: Verdict::TimedOut });
        let request = open.id.clone();
        self.tell(Event::ClientLeft { request }, out);
    }

    fn attempt_over(&mut self, id: AttemptId, out: &mut Vec<Command>) {
        let Some(open) = self.open.get_mut(&id.ticket) else { return };
        let Some(a) = open.attempts.get_mut(id.number as usize) else { return };
        if !a.ended && a.called_off.is_none() {
            a.called_off = Some(Outcome::TimedOut);
            out.push(Command::Cancel { attempt: id });
        }
    }

    /// Has the adapter give up what is out for the request.
    fn call_off(&mut self, ticket: Ticket, reason: Outcome, out: &mut Vec<Command>) {
        let Some(open) = self.open.get_mut(&ticket) else { return };
        for (number, a) in open.attempts.iter_mut().enumerate() {
            if !a.ended && a.called_off.is_none() {
                a.called_off = Some(reason);
                out.push(Command::Cancel { attempt: AttemptId { ticket, number: number as u32 } });
            }
        }
    }

    fn forget(&mut self, ticket: Ticket) {
        let done = |o: &Open| o.answered && o.attempts.iter().all(|a| a.ended);
        if self.open.get(&ticket).is_some_and(done) {
            self.open.remove(&ticket);
        }
    }

    /// Hands an event to the module and carries out what it decides.
    fn tell(&mut self, event: Event, out: &mut Vec<Command>) {
        let mut actions = std::mem::take(&mut self.scratch);
        self.router.handle(self.now, event, &mut actions);
        for action in actions.drain(..) {
            self.act(action, out);
        }
        self.scratch = actions;
    }

    fn act(&mut self, action: Action, out: &mut Vec<Command>) {
        match action {
            Action::Send { request, worker, timeout } => {
                let ticket = ticket(&request);
                let Some(open) = self.open.get_mut(&ticket) else { return };
                let number = open.attempts.len() as u32;
                let until = timeout.map_or(open.due, |t| open.due.min(self.now + t));
                let attempt = AttemptId { ticket, number };
                let (host, sent) = (worker.clone(), self.now);
                open.attempts.push(Attempt { host, sent, called_off: None, ended: false });
                if until < open.due {
                    self.timers.push(Reverse((until, Timer::Attempt(attempt))));
                }
                out.push(Command::Send { attempt, host: worker, until });
            }
            Action::Refuse { request, retry_after } => {
                self.answer(&request, Verdict::Refused { retry_after }, out)
            }
            Action::Fail { request } => self.answer(&request, Verdict::Failed, out),
            Action::Cancel { request, attempt } => {
                let id = AttemptId { ticket: ticket(&request), number: attempt };
                let open = self.open.get_mut(&id.ticket);
                let Some(a) = open.and_then(|o| o.attempts.get_mut(attempt as usize)) else { return };
                if !a.ended && a.called_off.is_none() {
                    a.called_off = Some(Outcome::Cancelled);
                    out.push(Command::Cancel { attempt: id });
                }
            }
            Action::Load { worker, function, copies } => {
                let order = OrderId(self.fresh());
                self.orders.insert(order, Order { host: worker.clone(), function: function.clone() });
                self.timers.push(Reverse((self.now + self.order_timeout, Timer::Order(order))));
                out.push(Command::Load { order, host: worker, function, copies });
            }
            Action::Tell { data } => out.push(Command::Tell { data }),
            Action::Wake { at } => self.timers.push(Reverse((at, Timer::Wake))),
            Action::Log { text } => out.push(Command::Log { text }),
            // Lists are pushed to every embedder of the engine.
            Action::Subscribe => {}
        }
    }

    fn answer(&mut self, request: &RequestId, verdict: Verdict, out: &mut Vec<Command>) {
        let ticket = ticket(request);
        let Some(open) = self.open.get_mut(&ticket).filter(|o| !o.answered) else { return };
        open.answered = true;
        // A failure at the very end is the clock's doing.
        let verdict =
            if verdict == Verdict::Failed && open.due <= self.now { Verdict::TimedOut } else { verdict };
        out.push(Command::Answer { ticket, verdict });
        self.call_off(ticket, Outcome::Cancelled, out);
        self.forget(ticket);
    }
}

/// The ticket that a request's id was made from.
fn ticket(id: &RequestId) -> Ticket {
    Ticket(u64::from_str_radix(&id.0, 16).unwrap_or(0))
}
