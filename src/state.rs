//! State of a router and its maintenance, without decisions, which are in `src/rules.rs`.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::called_functions::{Unserved, UnservedFunctions};
use crate::concurrency_limit::ConcurrencyLimit;
use crate::gossip::{host_key, Composer, PeerTable, Status};
use crate::hash::hash;
use crate::interface::*;
use crate::ramp::share_per_router;
use crate::renumbering::Renumbering;
use crate::succession::Succession;

/// Minimum number of calls that a function's calls are divided by to get its share.
pub(crate) const MIN_SHARE_CALLS: f64 = 10.0;
/// Calls of each function that do not count for its share: a rarely called function may be called twice by chance.
pub(crate) const IGNORED_CALLS: f64 = 1.0;
/// Minimum number of calls in flight at the average worker that overlapping calls are divided by to get a function's
/// share: fewer calls do not slow a worker down.
pub(crate) const MIN_OVERLAP_BASE: f64 = 4.0;
/// Maximum number of overlapping calls used from one answer: no worker runs more of one function, so a greater
/// number is corrupt.
const MAX_OVERLAP: u32 = 64;
/// Own requests in flight at the average worker with which a router's trust in its own requests, as a sample of the
/// load of all routers, is about one half; see [`Core::trust`].
pub(crate) const HALF_TRUST_IN_FLIGHT: f64 = 0.1;
/// Time constant in which a measured slowness of a worker loses its weight.
pub(crate) const SLOWNESS_MEMORY_US: f64 = 3e6;
/// A connection that has been idle for less than this is assumed to be open: hosts close idle ones after half a minute.
/// A wrong assumption costs one new connection.
const MAX_IDLE_US: Micros = 20_000_000;
/// Age above which a load report is ignored.
const REPORT_TTL_US: Micros = 1_000_000;
/// Time constant in which the capacity estimate follows a higher rate.
const CAPACITY_RISE_US: f64 = 3e6;
/// Time constant in which the capacity estimate falls to a lower rate.
const CAPACITY_FALL_US: f64 = 120e6;
/// Weight of one sample in running means, as of durations.
pub(crate) const AVERAGE_WEIGHT: f64 = 0.05;

/// Known or assumed state of one function on one worker.
#[derive(Default)]
pub(crate) struct Placement {
    /// Assumed to be loaded until this time.
    pub(crate) warm_until: Micros,
    pub(crate) copies: u32,
    /// Start of the load in progress, begun by an order or by a request sent there.
    pub(crate) loading: Option<Micros>,
    /// A load order of this router is in progress.
    pub(crate) ordered: bool,
    /// Not presumed loaded until this time, as a request found it missing.
    pub(crate) missed_until: Micros,
    pub(crate) in_flight: u32,
    pub(crate) mean_in_flight: f64,
    /// Calls of the function that the worker held when a call of this router arrived, as its answer reported.
    pub(crate) overlap: f64,
    /// When that answer came; 0: never.
    pub(crate) overlap_at: Micros,
    /// When a router last announced a loaded copy.
    pub(crate) announced: Micros,
}

/// Sums over the workers that are up.
#[derive(Default)]
pub(crate) struct Totals {
    pub(crate) updated_at: Micros,
    pub(crate) up: f64,
    pub(crate) size: f64,
    /// Sum of sizes, each times the share of its capacity that the worker certainly has.
    pub(crate) warm: f64,
    /// Mean number of requests of this router in flight there.
    pub(crate) in_flight: f64,
    pub(crate) load: f64,
    pub(crate) running: f64,
    pub(crate) unhealthy: f64,
    /// Sum of the slowness of the workers.
    pub(crate) slowness: f64,
}

/// A function that was called here.
pub(crate) struct Function {
    /// Key of the function in gossip.
    pub(crate) key: u32,
    /// Calls at this router, halved periodically.
    pub(crate) calls: f64,
    /// Sum of the overlapping calls of all routers that answers reported.
    pub(crate) overlap: f64,
    /// Sum of all calls in progress that these were a part of.
    pub(crate) overlap_base: f64,
    pub(crate) last_call: Micros,
    /// Calls at this router, never halved.
    pub(crate) call_count: u64,
    /// Some worker has it in its store: it answered a call or reported a miss, not an error.
    pub(crate) known: bool,
    /// Set until a worker has served a call of it or loaded it; see `src/called_functions.rs`.
    pub(crate) unserved: Option<Unserved>,
    /// Number of its requests in [`Core::requests`].
    pub(crate) open: u32,
    /// How many calls of this function each other function followed.
    pub(crate) successors: BTreeMap<FunctionId, f64>,
    pub(crate) lanes: u32,
    pub(crate) places: BTreeMap<WorkerId, Placement>,
    /// Workers in rendezvous order, as of `ranked_version` of the worker set.
    pub(crate) ranked: Vec<WorkerId>,
    pub(crate) ranked_version: u64,
}

impl Default for Function {
    /// A function that no worker has served.
    fn default() -> Self {
        Self {
            key: 0,
            calls: 0.0,
            overlap: 0.0,
            overlap_base: 0.0,
            last_call: 0,
            call_count: 0,
            known: false,
            unserved: Some(Unserved::default()),
            open: 0,
            successors: BTreeMap::new(),
            lanes: 0,
            places: BTreeMap::new(),
            ranked: Vec::new(),
            ranked_version: 0,
        }
    }
}

/// Requests of the other routers at a worker: running means of its load reports without the own requests.
#[derive(Clone, Copy, Default)]
pub(crate) struct OtherLoad {
    /// When the last report came; 0: never.
    pub(crate) at: Micros,
    pub(crate) holding: f64,
    /// Without requests that wait there.
    pub(crate) running: f64,
}

/// A worker as this router knows it.
#[derive(Default)]
pub(crate) struct Worker {
    /// Key of the worker in gossip.
    pub(crate) key: u16,
    pub(crate) zone: Option<u32>,
    pub(crate) cell: Option<i64>,
    pub(crate) size: f64,
    /// Order of equally loaded workers, different at each router so that routers do not all choose the same one.
    pub(crate) tie_break: f64,
    /// In service according to the worker list.
    pub(crate) listed: bool,
    /// Taken out of service by an operator.
    pub(crate) out_of_service: bool,
    /// May be sent new work: listed and not out of service.
    pub(crate) up: bool,
    /// When an operator returned it to service.
    pub(crate) restored_at: Micros,
    pub(crate) started: Micros,
    /// When it started, or last showed a sign of a restart.
    pub(crate) cold_since: Micros,
    pub(crate) in_flight: u32,
    /// Of these, requests that begin or await a load.
    pub(crate) awaiting: u32,
    pub(crate) mean_in_flight: f64,
    pub(crate) mean_awaiting: f64,
    /// Requests of the other routers there, from its load reports.
    pub(crate) others: OtherLoad,
    pub(crate) last_heard: Micros,
    /// When a connection to it last worked; 0: never.
    pub(crate) last_answer: Micros,
    /// Attempts and failures, decaying within some seconds.
    pub(crate) attempts: f64,
    pub(crate) failures: f64,
    /// When a connection to it last broke: all attempts that end with one connection are one failure.
    pub(crate) last_reset: Micros,
    /// Length of the last rest; 0 after a successful answer.
    pub(crate) rest_time: Micros,
    pub(crate) unhealthy_until: Micros,
    pub(crate) on_trial: bool,
    /// It gets no requests until this time, as its queue was full or no connection was left.
    pub(crate) full_until: Micros,
    /// No load is ordered there until this time.
    pub(crate) no_loads_until: Micros,
    /// Classes and tenants that it rejects, and until when no such request is sent there.
    pub(crate) rejections: Vec<(usize, Option<usize>, Micros)>,
    /// Times of recent attempts, which limit those at a starting worker.
    pub(crate) cold_sends: VecDeque<Micros>,
    /// Running mean of the duration of its answers from loaded copies, divided by their latency aim.
    pub(crate) slowness: f64,
    /// When `slowness` was last updated by an answer.
    pub(crate) slowness_at: Micros,
}

/// Outcome of an attempt, whether its request is finished, its duration, and the reports of the answer.
pub(crate) type AttemptResult = (Outcome, bool, Micros, Option<Found>, Option<LoadReport>);

/// One attempt of a request.
pub(crate) struct Attempt {
    pub(crate) worker: WorkerId,
    /// Zone and cell of the worker when the attempt was sent: the list may place it elsewhere later.
    pub(crate) zone: Option<u32>,
    pub(crate) cell: Option<i64>,
    pub(crate) sent: Micros,
    /// It was sent to a copy assumed to be loaded.
    pub(crate) warm: bool,
    /// A lane of a loaded copy was free when it was sent, as far as this router knows.
    pub(crate) lane_free: bool,
    pub(crate) ended: Option<Outcome>,
}

/// An open request.
pub(crate) struct Request {
    /// Index of its class; `usize::MAX` once the settings have changed.
    pub(crate) class: usize,
    /// Its class and maximum attempts as they were when it arrived.
    pub(crate) terms: Class,
    pub(crate) max_attempts: u32,
    pub(crate) tenant: Option<usize>,
    pub(crate) arrived: Micros,
    /// Expected worth of an answer.
    pub(crate) worth: f64,
    pub(crate) function: FunctionId,
    pub(crate) due: Micros,
    pub(crate) attempts: Vec<Attempt>,
    pub(crate) answered: bool,
    pub(crate) held: bool,
    /// Whether it is counted for the load budget.
    pub(crate) counted: bool,
    /// Whether its call is counted for the shares and successors of functions.
    pub(crate) learned: bool,
    pub(crate) streaming: bool,
    /// Expected work, as time on a standard core; 0: unknown.
    pub(crate) hint: Micros,
    /// Random in (0, 1]; where only a part of the requests is admitted, those above that part wait.
    pub(crate) admission_draw: f64,
    /// Preferred locations, best first.
    pub(crate) preferred: Vec<PreferredLocation>,
}

/// The decision logic of one router: takes events in order and returns actions.
pub struct Router(pub(crate) Core);

/// The state of one router.
#[derive(Default)]
pub(crate) struct Core {
    pub(crate) settings: Settings,
    pub(crate) rng: fastrand::Rng,
    /// Seed of the random admission at cold workers and of `tie_break`.
    pub(crate) seed: u64,
    pub(crate) now: Micros,
    pub(crate) workers: BTreeMap<WorkerId, Worker>,
    /// Version of the set of workers and their sizes, incremented at each change.
    pub(crate) worker_set_version: u64,
    pub(crate) totals: Totals,
    pub(crate) functions: BTreeMap<FunctionId, Function>,
    pub(crate) unserved: UnservedFunctions,
    pub(crate) requests: BTreeMap<RequestId, Request>,
    pub(crate) recent_calls: Succession,
    /// Arrival times of the calls that count for the load budget, in order.
    pub(crate) arrivals: VecDeque<Micros>,
    /// Calls of all functions, halved together with the counts of the functions.
    pub(crate) calls: f64,
    /// Those of functions that a worker has served.
    pub(crate) served_calls: f64,
    /// Times of the load orders within the period of the budget.
    pub(crate) orders: VecDeque<Micros>,
    /// Preload orders in progress.
    pub(crate) preloads: BTreeSet<(WorkerId, FunctionId)>,
    /// Calls a second of each tenant, decaying within about a second.
    pub(crate) tenant_rates: Vec<f64>,
    pub(crate) last_halving: Micros,
    pub(crate) last_tick: Micros,
    /// Time of the first event.
    pub(crate) started_at: Micros,
    pub(crate) wake_at: Micros,
    /// Whether a request is held here.
    pub(crate) any_held: bool,
    pub(crate) subscribe_at: Micros,
    /// Running mean of the duration of attempts on loaded copies.
    pub(crate) usual_duration: f64,
    /// Running mean of the time from arrival to answer, divided by the latency aim.
    pub(crate) slowness: f64,
    pub(crate) mean_worth: f64,
    /// Share of overdue attempts that never got an answer.
    pub(crate) loss: f64,
    /// Answers a second, decaying within about a second.
    pub(crate) done_rate: f64,
    /// Maximum number of calls that a worker of mean size runs at once.
    pub(crate) concurrency_limit: ConcurrencyLimit,
    /// Highest rate sustained in the last minutes: answers a second per warm size.
    pub(crate) capacity: f64,
    /// Mean warm size over the same time as `done_rate`.
    pub(crate) mean_warm: f64,
    /// Highest worth of a held request.
    pub(crate) max_held_worth: f64,
    /// Attempts that the next request to arrive had at another router.
    pub(crate) past: Vec<Attempt>,
    /// Preferred locations of the next request to arrive.
    pub(crate) preferred: Vec<PreferredLocation>,
    /// Terms under which the next request arrived, if the settings have changed since.
    pub(crate) arrival_terms: Option<Class>,
    pub(crate) peer: PeerRouter,
    pub(crate) gossip: PeerTable,
    pub(crate) composer: Composer,
    /// Workers by their key in gossip.
    pub(crate) host_keys: BTreeMap<u16, WorkerId>,
    /// Called functions by their key in gossip.
    pub(crate) function_keys: BTreeMap<u32, FunctionId>,
}

/// A second router of the same activator during a handover, which shares the load budget.
#[derive(Default)]
pub(crate) struct PeerRouter {
    /// Calls that it reported, which are also in this router's arrivals.
    calls: VecDeque<Micros>,
    /// Orders that it reported or was granted, which are also in this router's orders.
    orders: VecDeque<Micros>,
    /// Its share of the calls; 0: no budget is reserved for it.
    share: f64,
}

/// Maximum number of orders that each of two routers reserves for the other: enough that a burst of one does not block
/// the first orders of the other, and few enough that little of the budget stays unused.
const MAX_ORDERS_LEFT_TO_PEER: f64 = 2.0;

/// Orders that the load budget leaves to this router and to its peer; below 1, no order may be given.
pub(crate) fn spare_orders(
    budget: &LoadBudget,
    now: Micros,
    arrivals: &VecDeque<Micros>,
    orders: &mut VecDeque<Micros>,
    peer: &PeerRouter,
) -> (f64, f64) {
    orders.retain(|t| *t >= now - budget.period);
    let gone = arrivals.partition_point(|t| *t <= now - budget.period);
    let taken = (arrivals.len() - gone) as f64;
    let allowed = budget.free + budget.share * taken;
    let spare = allowed - orders.len() as f64;
    if peer.share <= 0.0 {
        return (spare, spare);
    }
    let theirs = peer.orders.iter().filter(|t| **t >= now - budget.period).count() as f64;
    let own = (orders.len() as f64 - theirs).max(0.0);
    let left = |share: f64, had: f64| ((share * allowed).max(1.0) - had).clamp(0.0, MAX_ORDERS_LEFT_TO_PEER);
    (spare - left(peer.share, theirs), spare - left(1.0 - peer.share, own))
}

/// Handover to another router, and queries.
impl Router {
    /// State for a router that replaces this one.
    pub fn handover_state(&self) -> HandoverState {
        let sends = self.0.workers.iter().filter(|(_, w)| self.0.warmth(w) < 1.0);
        let sends = sends.map(|(n, w)| (n.clone(), w.cold_sends.iter().copied().collect())).collect();
        let (loaded, tallies) = (self.0.loaded(), self.0.tallies(0, false));
        let served = self.0.done_rate.max(self.0.capacity * self.0.totals.size);
        HandoverState { loaded, tallies, served, sends, sender_keeps_running: false }
    }

    /// Own calls and orders since this time that count for the load budget, for a router that replaces this one.
    pub fn tallies(&self, since: Micros) -> Vec<Tally> {
        self.0.tallies(since, true)
    }

    /// Grants an order of the peer router if the load budget allows it, and counts it then.
    pub fn grant_order(&mut self, now: Micros) -> bool {
        let core = &mut self.0;
        core.now = now.max(core.now);
        let Some(budget) = core.settings.load_budget else { return true };
        let start = core.now - budget.period;
        core.peer.orders.retain(|t| *t >= start);
        let (_, spare) = spare_orders(&budget, core.now, &core.arrivals, &mut core.orders, &core.peer);
        if spare >= 1.0 {
            core.orders.push_back(core.now);
            core.peer.orders.push_back(core.now);
        }
        spare >= 1.0
    }

    /// Sets the peer router's share of the calls and of the load budget.
    pub fn set_peer_share(&mut self, share: f64) {
        self.0.peer.share = if share.is_finite() { share.clamp(0.0, 1.0) } else { 0.0 };
    }

    /// The peer router has ended: calls and orders that it reported count as this router's own from now on.
    pub fn peer_gone(&mut self) {
        self.0.peer = Default::default();
    }

    /// Number of entries in all tables. Each table is bounded or expires, so the number does not grow for ever.
    pub fn entries(&self) -> usize {
        let c = &self.0;
        let count = |f: &Function| {
            let unserved = f.unserved.as_ref().map_or(0, Unserved::entries);
            1 + f.successors.len() + f.places.len() + f.ranked.len() + unserved
        };
        c.functions.values().map(count).sum::<usize>()
            + c.workers.values().map(|w| 1 + w.rejections.len() + w.cold_sends.len()).sum::<usize>()
            + c.requests.values().map(|r| 1 + r.attempts.len()).sum::<usize>()
            + c.arrivals.len()
            + c.orders.len()
            + c.preloads.len()
            + c.peer.calls.len()
            + c.peer.orders.len()
            + c.unserved.entries()
            + c.recent_calls.entries()
            + c.gossip.entries()
            + c.composer.entries()
            + c.host_keys.len()
            + c.function_keys.len()
    }

    /// Whether the worker is known but may not have its full capacity yet.
    pub fn is_cold(&self, worker: &WorkerId) -> bool {
        self.0.workers.get(worker).is_some_and(|w| self.0.warmth(w) < 1.0)
    }
}

impl Worker {
    /// Whether a connection to it is probably open; a new one costs both sides.
    pub(crate) fn is_connected(&self, now: Micros) -> bool {
        self.in_flight > 0 || (self.last_answer > self.last_reset && now - self.last_answer < MAX_IDLE_US)
    }

    /// Whether it probably accepts load orders.
    pub(crate) fn accepts_loads(&self, now: Micros) -> bool {
        self.no_loads_until <= now
    }

    /// Learns from a load report. A report is late and includes the own requests, whose number is known as of now: only
    /// the mean over several reports shows the requests of the other routers.
    pub(crate) fn learn_other_load(&mut self, now: Micros, report: LoadReport) {
        let holding = report.in_flight - f64::from(self.in_flight);
        let running = report.in_flight - report.waiting - f64::from(self.in_flight - self.awaiting);
        let weight = if self.others.at == 0 { 1.0 } else { AVERAGE_WEIGHT };
        let mean = |before: f64, now: f64| before + (now - before) * weight;
        let OtherLoad { holding: held, running: ran, .. } = self.others;
        self.others = OtherLoad { at: now, holding: mean(held, holding), running: mean(ran, running) };
    }

    /// Clears what was learnt of an earlier process of the worker.
    pub(crate) fn reset_record(&mut self) {
        (self.failures, self.attempts, self.rest_time, self.unhealthy_until, self.full_until) =
            (0.0, 0.0, 0, 0, 0);
        self.no_loads_until = 0;
        (self.on_trial, self.others, self.slowness) = (false, OtherLoad::default(), 0.0);
        self.rejections.clear();
    }
}

impl Core {
    /// Ranks the workers by weighted rendezvous hashing of function and worker. The order is the same at every router,
    /// also after a restart, so that routers without shared state agree on few copies.
    pub(crate) fn rank(&mut self, id: &FunctionId) {
        let Some(f) = self.functions.get_mut(id) else { return };
        if f.ranked_version != self.worker_set_version {
            f.ranked = in_order(&id.0, self.workers.iter().map(|(n, w)| (n, w.size)));
            f.ranked_version = self.worker_set_version;
        }
    }

    /// The workers in rendezvous order: a new load goes to the first usable one.
    pub(crate) fn ranked<'a>(&'a self, f: &'a Function) -> impl Iterator<Item = (&'a WorkerId, &'a Worker)> {
        f.ranked.iter().filter_map(|n| self.workers.get_key_value(n))
    }

    /// Estimated number of requests that the worker holds: the own ones, and those of the other routers by gossip, by
    /// load reports, or in proportion to the own ones; the last is the fleet's mean where the own ones are too few.
    pub(crate) fn load(&self, w: &Worker) -> f64 {
        let own = w.in_flight as f64;
        if self.gossip.reliable {
            return own + self.gossip.at_host(w.key);
        }
        if let Some(others) = self.other_load(w) {
            return own + others.holding.max(0.0);
        }
        let others = (self.settings.routers - 1) as f64;
        let fair = self.totals.in_flight * w.size / self.totals.size.max(1e-9);
        own + others * (fair + self.trust() * (w.mean_in_flight - fair))
    }

    /// Estimated number of requests that use the worker's cores: without those that await a load or wait in a queue.
    pub(crate) fn running(&self, w: &Worker) -> f64 {
        match self.other_load(w) {
            Some(others) => f64::from(w.in_flight - w.awaiting) + others.running.max(0.0),
            None => self.load(w) - w.awaiting as f64 - (self.settings.routers - 1) as f64 * w.mean_awaiting,
        }
    }

    /// Requests of the other routers there by fresh load reports; `None` if there are no other routers.
    fn other_load(&self, w: &Worker) -> Option<OtherLoad> {
        let fresh = self.settings.routers > 1 && w.others.at > 0 && self.now - w.others.at < REPORT_TTL_US;
        fresh.then_some(w.others)
    }

    /// How far, from 0 to 1, the own requests show what the other routers do: near 0 with few requests per worker.
    pub(crate) fn trust(&self) -> f64 {
        let seen = (self.totals.in_flight / self.totals.up.max(1.0)).powi(2) + 1e-9;
        let unseen = HALF_TRUST_IN_FLIGHT.powi(2) * (1.0 - 1.0 / self.settings.routers as f64);
        seen / (seen + unseen)
    }

    /// A function's share of the calls: the own ones, and those of all routers that answers reported. Calls of functions
    /// that were not served, which clients may have made up, take nothing from the share of one that was.
    pub(crate) fn share(&self, f: &Function) -> f64 {
        let all = if f.is_served() { self.served_calls } else { self.calls };
        ((f.calls - IGNORED_CALLS).max(0.0) + f.overlap) / (all.max(MIN_SHARE_CALLS) + f.overlap_base)
    }

    /// Calls of all routers in flight that this router neither sees nor could learn of by gossip; 0 with gossip: gaps in
    /// it are short, and overlaps learnt in a gap would count for half a minute afterwards.
    fn unseen_calls(&self) -> f64 {
        if self.gossip_enabled() {
            return 0.0;
        }
        let out = self.totals.in_flight * f64::from(self.settings.routers);
        (1.0 - self.trust()) * out.max(MIN_OVERLAP_BASE * self.totals.up)
    }

    /// Learns from the number of calls of the same function, from all routers, that the worker of a call held when the
    /// call arrived. They are a sample of all calls in flight, which are as many as this router sees in minutes. A share
    /// estimated from two or three own calls would be chance, and each router with a wrong estimate would begin a load
    /// that no other uses. Calls that awaited a load do not count: they accumulate because of the load.
    pub(crate) fn learn_overlap(
        &mut self,
        id: &RequestId,
        worker: &WorkerId,
        found: Option<Found>,
        overlap: Option<u32>,
    ) {
        let met = overlap.filter(|_| matches!(found, Some(Found::Warm | Found::BeganLoad)));
        let (Some(met), Some(r)) = (met, self.requests.get(id)) else { return };
        let Some(f) = self.functions.get(&r.function) else { return };
        let (now, part) = (self.now, self.unseen_calls() / self.spread(f).max(1) as f64);
        let met = if part > 0.0 { (1.0 - self.trust()) * f64::from(met.min(MAX_OVERLAP)) } else { 0.0 };
        let Some(f) = self.functions.get_mut(&r.function) else { return };
        (f.overlap, f.overlap_base) = (f.overlap + met, f.overlap_base + part);
        f.places.entry(worker.clone()).and_modify(|p| (p.overlap, p.overlap_at) = (met, now));
    }

    /// Estimated calls of the function, from routers without gossip, at one of `places` workers: as last reported by an
    /// answer there within the keep-alive, else an equal part of all; 0 if no answer reported any.
    pub(crate) fn overlap(&self, f: &Function, p: &Placement, places: usize) -> f64 {
        if f.overlap_base == 0.0 || self.gossip.reliable {
            0.0
        } else if p.overlap_at > 0 && self.now - p.overlap_at < self.settings.keep {
            p.overlap
        } else {
            self.share(f) * self.unseen_calls() / places.max(1) as f64
        }
    }

    /// Learns from the time of an answer divided by its latency aim.
    pub(crate) fn learn_slowness(&mut self, worker: &WorkerId, ratio: f64) {
        if let Some(w) = self.workers.get_mut(worker) {
            // The longer ago the last sample, the greater the weight of this one.
            let weight =
                AVERAGE_WEIGHT.max(1.0 - (-((self.now - w.slowness_at) as f64) / SLOWNESS_MEMORY_US).exp());
            w.slowness += (ratio - w.slowness) * weight;
            w.slowness_at = self.now;
        }
    }

    /// Learns the concurrency limit from a call that found a copy and a free lane at a worker that is fully warm.
    pub(crate) fn learn_limit(&mut self, worker: &WorkerId, (took, work): (Micros, Micros), lane_free: bool) {
        if lane_free && self.workers.get(worker).is_some_and(|w| self.warmth(w) >= 1.0) {
            let up = self.totals.up.max(1.0);
            self.concurrency_limit.learn(took as f64, work as f64, self.totals.running / up, up);
        }
    }

    /// Learns the rate that a worker of size 1 serves. Cold workers count with their warm part: counted in full, they
    /// would lower the estimate and so starve each other. The highest rate counts for minutes: with little traffic
    /// little is served, and the limit for cold workers must not follow that down. The fewer answers this router sees,
    /// the higher are random peaks, so the part of the rate that may be due to chance is not counted.
    pub(crate) fn learn_capacity(&mut self, passed: f64, fade: f64) {
        self.mean_warm = self.totals.warm + (self.mean_warm - self.totals.warm) * fade;
        // The standard deviation of a count with exponential decay over a second; it is twice that of the estimate,
        // which averages over the longer [`CAPACITY_RISE_US`].
        let chance = (self.done_rate / 2.0).sqrt();
        let rate = (self.done_rate - chance).max(0.0) / self.mean_warm.max(1e-9);
        let time = if rate > self.capacity { CAPACITY_RISE_US } else { CAPACITY_FALL_US };
        self.capacity += (rate - self.capacity) * (1.0 - (-passed / time).exp());
    }

    /// Answers a second per warm size, both over the last second: after a restart of all workers, the remembered
    /// capacity would not describe the present ones.
    pub(crate) fn warm_rate(&self) -> f64 {
        self.done_rate / self.mean_warm.max(1e-9)
    }

    /// Mean number of requests within one window that this router may send to a starting worker: its part of the limit
    /// for all routers, estimated from this router's share of what a warm worker serves.
    pub(crate) fn cold_share(&self, w: &Worker) -> f64 {
        let (s, now) = (&self.settings, self.now);
        // An earlier process of this router, of which it has no record, may have sent its part just before it ended.
        if w.cold_since < self.started_at && now - self.started_at < s.fall_window {
            return 0.0;
        }
        let served = self.capacity.max(self.warm_rate()) * w.size * s.fall_window as f64 / 1e6;
        let allowed = s.fall_multiple * self.warmth(w) * served;
        share_per_router(allowed, f64::from(s.routers))
    }

    pub(crate) fn mean_size(&self) -> f64 {
        (self.totals.size / self.totals.up.max(1.0)).max(1e-9)
    }

    /// Recomputes the sums over the workers that are up; at most once a tick, and when the list changes.
    pub(crate) fn update_totals(&mut self) {
        let up = || self.workers.values().filter(|w| w.up);
        self.totals = Totals {
            updated_at: self.now,
            up: up().count() as f64,
            size: up().map(|w| w.size).sum(),
            warm: up().map(|w| w.size * self.warmth(w)).sum(),
            in_flight: up().map(|w| w.mean_in_flight).sum(),
            unhealthy: up().filter(|w| w.unhealthy_until > self.now || w.on_trial).count() as f64,
            slowness: up().map(|w| w.slowness).sum(),
            load: 0.0,
            running: 0.0,
        };
        self.totals.load = self.workers.values().filter(|w| w.up).map(|w| self.load(w)).sum();
        self.totals.running = self.workers.values().filter(|w| w.up).map(|w| self.running(w).max(0.0)).sum();
    }

    /// Counts a call with this arrival time for the load budget.
    pub(crate) fn count_for_budget(&mut self, arrived: Micros) {
        let window = self.settings.load_budget.map_or(0, |b| b.period);
        while self.arrivals.front().is_some_and(|t| *t <= self.now - window) {
            self.arrivals.pop_front();
        }
        let at = self.arrivals.partition_point(|t| *t < arrived);
        self.arrivals.insert(at, arrived);
    }

    /// Applies new settings. Classes and tenants are indexes, so all that refers to the old ones is cleared.
    pub(crate) fn apply_settings(&mut self, settings: Settings) {
        if settings.tenants != self.settings.tenants {
            self.tenant_rates = vec![0.0; settings.tenants.len()];
            self.recent_calls.clear();
        }
        self.workers.values_mut().for_each(|w| w.rejections.clear());
        self.requests.values_mut().for_each(|r| (r.class, r.tenant) = (usize::MAX, None));
        self.settings = settings;
    }

    /// Applies new indexes of tenants and zones. Open requests keep their terms and lose their class, see
    /// [`Core::apply_settings`].
    pub(crate) fn renumber(&mut self, renumbering: &Renumbering) {
        for w in self.workers.values_mut() {
            w.zone = renumbering.zone(w.zone);
        }
        for r in self.requests.values_mut() {
            r.attempts.iter_mut().for_each(|t| t.zone = renumbering.zone(t.zone));
            r.preferred.retain_mut(|location| location.renumber(renumbering));
        }
        if renumbering.tenants.is_identity() {
            return;
        }
        let rates = std::mem::take(&mut self.tenant_rates);
        self.tenant_rates.resize(rates.len(), 0.0);
        for (tenant, rate) in rates.into_iter().enumerate() {
            let new = renumbering.tenants.of(tenant);
            if let Some(slot) = new.and_then(|tenant| self.tenant_rates.get_mut(tenant)) {
                *slot = rate;
            }
        }
        self.recent_calls.clear();
    }

    /// Applies other terms of the same classes and tenants; open requests get the stricter of old and new.
    pub(crate) fn apply_terms(&mut self, settings: Settings) {
        self.tenant_rates.resize(settings.tenants.len(), 0.0);
        for r in self.requests.values_mut() {
            if let Some(class) = settings.classes.get(r.class) {
                r.terms.effect = r.terms.effect.stricter(class.effect);
                r.max_attempts = r.max_attempts.min(class.attempts.unwrap_or(settings.max_attempts));
            }
        }
        self.settings = settings;
    }

    /// All functions assumed to be loaded, for a router that replaces this one.
    pub(crate) fn loaded(&self) -> Vec<LoadedFunction> {
        let places =
            self.functions.iter().flat_map(|(id, f)| f.places.iter().map(move |(n, p)| (id, f, n, p)));
        let warm = places.filter(|(.., p)| p.warm_until > self.now);
        let loaded = warm.map(|(id, f, n, p)| LoadedFunction {
            worker: n.clone(),
            function: id.clone(),
            lanes: f.lanes,
            copies: p.copies,
            until: p.warm_until,
            calls: f.calls,
        });
        loaded.collect()
    }

    /// Calls and orders since this time, for a router that replaces this one: all of them, or only the own ones.
    pub(crate) fn tallies(&self, since: Micros, own: bool) -> Vec<Tally> {
        let mut all: BTreeMap<Micros, Tally> = BTreeMap::new();
        let slot = |t: &Micros| t - t.rem_euclid(Tally::LENGTH_US);
        let calls = self.arrivals.iter().map(|t| (*t, 1, 0));
        for (t, calls, orders) in calls.chain(self.orders.iter().map(|t| (*t, 0, 1))).filter(|t| t.0 > since)
        {
            let at = slot(&t);
            let tally = all.entry(at).or_insert(Tally { at, ..Tally::default() });
            (tally.calls, tally.orders) = (tally.calls + calls, tally.orders + orders);
        }
        if own {
            for t in self.peer.calls.iter().filter(|t| **t > since) {
                all.entry(slot(t)).and_modify(|tally| tally.calls = tally.calls.saturating_sub(1));
            }
            for t in self.peer.orders.iter().filter(|t| **t > since) {
                all.entry(slot(t)).and_modify(|tally| tally.orders = tally.orders.saturating_sub(1));
            }
        }
        all.into_values().filter(|t| t.calls > 0 || t.orders > 0).collect()
    }

    /// Sets the attempts that the next request to arrive had at another router.
    pub(crate) fn set_past_attempts(&mut self, past: Vec<PastAttempt>) {
        let attempt = |p: PastAttempt| {
            let (zone, cell) = self.workers.get(&p.worker).map_or((None, None), |w| (w.zone, w.cell));
            let ended = Some(p.outcome);
            Attempt { worker: p.worker, zone, cell, sent: p.sent, warm: false, lane_free: false, ended }
        };
        self.past = past.into_iter().map(attempt).collect();
    }

    /// Takes over the state of another router where this one knows no better, and counts its calls and orders as own
    /// ones. Calls get the earliest and orders the latest time of their tally, so that the budget is never exceeded.
    pub(crate) fn inherit(&mut self, state: HandoverState) {
        let HandoverState { loaded, tallies, served, sends, sender_keeps_running } = state;
        let served =
            if served.is_finite() && self.totals.size > 0.0 { served / self.totals.size } else { 0.0 };
        self.capacity = self.capacity.max(served);
        // The sends of the earlier process are known now.
        self.started_at = 0;
        for (n, times) in sends {
            let (now, window) = (self.now, self.settings.fall_window);
            self.workers.entry(n).and_modify(|w| {
                w.cold_sends.extend(times);
                w.cold_sends.retain(|t| now - t <= window);
            });
        }
        let period = self.settings.load_budget.map_or(0, |b| b.period);
        let start = self.now - period;
        let peer = &mut self.peer;
        [&mut peer.calls, &mut peer.orders].into_iter().for_each(|times| times.retain(|t| *t > start));
        for t in tallies.into_iter().filter(|t| t.at > start) {
            let at = self.arrivals.partition_point(|a| *a < t.at);
            (0..t.calls).for_each(|_| self.arrivals.insert(at, t.at));
            let late = (0..t.orders).map(|_| t.at + Tally::LENGTH_US);
            if sender_keeps_running {
                self.peer.calls.extend((0..t.calls).map(|_| t.at));
                self.peer.orders.extend(late.clone());
            }
            self.orders.extend(late);
        }
        let now = self.now;
        for l in loaded.into_iter().filter(|l| l.until > now && l.calls.is_finite()) {
            self.functions.entry(l.function.clone()).or_default();
            self.mark_served(&l.function);
            let Some(f) = self.functions.get_mut(&l.function) else { continue };
            if f.places.is_empty() {
                let calls = l.calls.max(0.0);
                (self.calls, self.served_calls) = (self.calls + calls, self.served_calls + calls);
                (f.calls, f.lanes, f.known) = (f.calls + calls, l.lanes.max(1), true);
                (f.last_call, f.call_count) = (now, f.call_count.max(2));
            }
            let p = f.places.entry(l.worker).or_default();
            (p.warm_until, p.copies) = (p.warm_until.max(l.until), p.copies.max(l.copies));
        }
    }

    /// Applies a worker list, or changes of it.
    pub(crate) fn apply_list(&mut self, kind: ListKind, entries: Vec<ListEntry>) {
        if kind != ListKind::Delta {
            self.workers.values_mut().for_each(|w| (w.listed, w.up) = (false, false));
        }
        for e in entries {
            let fresh = || Worker {
                started: e.ready_at,
                cold_since: e.ready_at,
                last_heard: self.now,
                ..Worker::default()
            };
            let w = self.workers.entry(e.worker.clone()).or_insert_with(fresh);
            w.listed = e.condition == Condition::Up;
            w.up = w.listed && !w.out_of_service;
            (w.zone, w.cell, w.key) = (e.zone, e.cell, host_key(&e.worker));
            let size = if e.size.is_finite() && e.size > 0.0 { e.size } else { 1.0 };
            self.worker_set_version += u64::from(size != w.size);
            (w.size, w.tie_break) = (size, -hash(&e.worker.0, &self.seed.to_string()).ln() / size);
            if e.ready_at > w.started || e.condition == Condition::Gone {
                // A new process has no loaded copies and no failures.
                w.reset_record();
                w.cold_sends.retain(|t| *t >= e.ready_at);
                (w.started, w.cold_since) = (w.started.max(e.ready_at), w.started.max(e.ready_at));
                self.functions.values_mut().for_each(|f| f.drop_copies(&e.worker));
            }
        }
        self.update_totals();
        // Workers that are gone keep their rank, as most return, until they outnumber those that are up.
        if self.workers.len() as f64 > 2.0 * self.totals.up {
            self.workers.retain(|_, w| w.up || w.out_of_service || w.in_flight > 0);
        }
        self.index_host_keys();
    }

    /// Takes a worker out of service, so that it gets no new work, or returns it. It may return as a new process, which
    /// is cold and has no loaded copies.
    pub(crate) fn set_out_of_service(&mut self, worker: &WorkerId, out: bool) {
        let w = self.workers.entry(worker.clone()).or_default();
        w.up = w.listed && !out;
        if std::mem::replace(&mut w.out_of_service, out) && !out {
            w.reset_record();
            (w.restored_at, w.cold_since) = (self.now, self.now);
            for f in self.functions.values_mut() {
                f.drop_copies(worker);
                f.places.entry(worker.clone()).and_modify(|p| p.missed_until = 0);
            }
        }
        self.update_totals();
    }

    /// Removes a request that is answered and has no attempt in progress.
    pub(crate) fn forget(&mut self, id: &RequestId) {
        let over = |r: &Request| r.answered && r.attempts.iter().all(|t| t.ended.is_some());
        if self.requests.get(id).is_some_and(over) {
            let function = self.requests.remove(id).map(|r| r.function);
            function.iter().for_each(|function| self.close_function(function));
        }
    }

    /// The share of its capacity that a worker certainly has: below 1 only if it started recently.
    pub(crate) fn warmth(&self, w: &Worker) -> f64 {
        let (s, age) = (&self.settings, self.now - w.cold_since);
        if w.cold_since <= 0 || age >= s.cold_for + s.fall_window {
            return 1.0;
        }
        let grown = (age - s.fall_window).max(0) as f64 / s.cold_for.max(1) as f64;
        (s.cold_from + (1.0 - s.cold_from) * grown).min(1.0)
    }
}

impl Function {
    /// Halves the counts; false when the function can be removed.
    pub(crate) fn halve(&mut self, now: Micros, forget: Micros) -> bool {
        (self.calls, self.overlap, self.overlap_base) =
            (self.calls / 2.0, self.overlap / 2.0, self.overlap_base / 2.0);
        self.successors.retain(|_, n| {
            *n /= 2.0;
            *n >= 0.25
        });
        self.places.retain(|_, p| p.warm_until > now || p.loading.is_some() || p.in_flight > 0);
        !self.places.is_empty() || self.open > 0 || now - self.last_call < forget
    }

    /// Applies a status that another router reported at `at`, unless this router knows better.
    pub(crate) fn apply(&mut self, n: &WorkerId, (now, at): (Micros, Micros), keep: Micros, status: Status) {
        let p = self.places.entry(n.clone()).or_default();
        p.announced = now;
        match status {
            Status::Gone => (p.warm_until, p.copies, p.announced) = (0, 0, 0),
            // A miss observed here later takes precedence.
            _ if p.missed_until - keep / 4 >= at => {}
            _ => {
                let copies = if let Status::Copies(n) = status { u32::from(n) } else { 1 };
                (p.warm_until, p.copies) = (p.warm_until.max(at + keep), p.copies.max(copies));
            }
        }
    }

    /// Whether it is loaded, or being loaded, on some worker.
    pub(crate) fn is_loaded(&self, now: Micros) -> bool {
        self.places.values().any(|p| p.warm_until > now || p.loading.is_some())
    }

    /// Records that the worker has no copies any more.
    pub(crate) fn drop_copies(&mut self, worker: &WorkerId) {
        if let Some(p) = self.places.get_mut(worker) {
            (p.warm_until, p.copies, p.loading) = (0, 0, None);
        }
    }
}

/// The state of the function on the worker, created if absent.
pub(crate) fn placement<'a>(
    all: &'a mut BTreeMap<FunctionId, Function>,
    f: &FunctionId,
    worker: &WorkerId,
) -> &'a mut Placement {
    all.entry(f.clone()).or_default().places.entry(worker.clone()).or_default()
}

/// Running mean that starts with its first value.
pub(crate) fn running_mean(mean: f64, value: f64, weight: f64) -> f64 {
    if mean == 0.0 {
        value
    } else {
        mean + (value - mean) * weight
    }
}

/// Workers in the order of weighted rendezvous hashing with a key, the same at every router.
pub(crate) fn in_order<'a>(key: &str, workers: impl Iterator<Item = (&'a WorkerId, f64)>) -> Vec<WorkerId> {
    let mut scored: Vec<_> = workers.map(|(n, size)| (-hash(key, &n.0).ln() / size, n.clone())).collect();
    scored.sort_by(|a, b| a.0.total_cmp(&b.0).then_with(|| a.1.cmp(&b.1)));
    scored.into_iter().map(|(_, n)| n).collect()
}
