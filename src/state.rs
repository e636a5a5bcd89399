//! What a router remembers: plain data and its upkeep, no decisions. Those are in `src/rules.rs`.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::bound::ConcurrencyLimit;
use crate::gossip::{host_key, Composer, CopyStatus, PeerTable};
use crate::hash::hash;
use crate::interface::*;
use crate::ramp::share_per_router;
use crate::succession::Succession;

/// Shares of fewer calls than this are taken as of so many.
pub(crate) const MIN_SHARE_CALLS: f64 = 10.0;
/// Calls of a function that prove nothing of its share: seldom called ones come twice by chance.
pub(crate) const IGNORED_CALLS: f64 = 1.0;
/// Calls at the average worker, at least, that a crowd is taken as a part of: of fewer, it slows nobody.
pub(crate) const MIN_OVERLAP_BASE: f64 = 4.0;
/// Calls that one answer is believed to have met: more than a worker runs of one function are a spoilt answer.
const MAX_OVERLAP: u32 = 64;
/// In flight at the average worker below which a router sees too little of the others' load to tell it.
pub(crate) const HALF_TRUST_IN_FLIGHT: f64 = 0.1;
/// An answer's time says this long how slow its worker is.
pub(crate) const SLOWNESS_MEMORY_US: f64 = 3e6;
/// A connection that was used within this is thought to stand: hosts close idle ones after half a minute. A wrong
/// guess costs no more than a connection.
const CONNECTION_REUSE_US: Micros = 20_000_000;
/// A load report older than this says nothing.
const MAX_REPORT_AGE_US: Micros = 1_000_000;
/// Time in which a higher rate than was seen before is believed, and in which one seen once is forgotten.
const CAPACITY_RISE_US: f64 = 3e6;
const CAPACITY_FALL_US: f64 = 120e6;
/// Weight of one answer in the averages of durations.
pub(crate) const AVERAGE_WEIGHT: f64 = 0.05;

/// What is believed of one function on one worker.
#[derive(Default)]
pub(crate) struct Placement {
    /// Believed loaded until then.
    pub(crate) warm_until: Micros,
    pub(crate) copies: u32,
    /// A load is under way since then, by an order or by a request sent there.
    pub(crate) loading: Option<Micros>,
    /// An order of ours is out.
    pub(crate) ordered: bool,
    /// It was found missing there: not presumed loaded until then.
    pub(crate) missed_until: Micros,
    pub(crate) in_flight: u32,
    pub(crate) mean_in_flight: f64,
    /// Calls for the function that were there when one of ours came, as its answer told, and when it did; 0: never.
    pub(crate) overlap: f64,
    pub(crate) overlap_at: Micros,
    /// When somebody last told that a copy stands.
    pub(crate) announced_at: Micros,
}

/// Sums over the workers that are up.
#[derive(Default)]
pub(crate) struct Totals {
    pub(crate) at: Micros,
    pub(crate) up: f64,
    pub(crate) size: f64,
    /// Sizes by the share of their capacity that starting workers are sure to have.
    pub(crate) warm: f64,
    /// Mean numbers of our own requests there.
    pub(crate) in_flight: f64,
    pub(crate) load: f64,
    pub(crate) running: f64,
    pub(crate) ill: f64,
    /// Times of their answers, over their aim.
    pub(crate) slowness: f64,
}

#[derive(Default)]
pub(crate) struct Function {
    /// What stands for it where routers tell one another.
    pub(crate) key: u32,
    pub(crate) calls: f64,
    /// Calls of all routers that answers told of, and out of how many.
    pub(crate) overlap: f64,
    pub(crate) overlap_base: f64,
    pub(crate) last_call: Micros,
    pub(crate) call_count: u64,
    /// Some worker knows it: it was served or missed there, not answered with an error.
    pub(crate) known: bool,
    pub(crate) successors: BTreeMap<FunctionId, f64>,
    pub(crate) lanes: u32,
    pub(crate) places: BTreeMap<WorkerId, Placement>,
    /// Workers in rendezvous order, as of this list version.
    pub(crate) ranked: Vec<WorkerId>,
    pub(crate) ranked_version: u64,
}

/// What the other routers have on a worker: running means of what it reported, less our own.
#[derive(Clone, Copy, Default)]
pub(crate) struct Others {
    /// When it last reported; 0: never.
    pub(crate) at: Micros,
    pub(crate) holding: f64,
    /// Without those that wait there.
    pub(crate) running: f64,
}

#[derive(Default)]
pub(crate) struct Worker {
    /// What stands for it where routers tell one another.
    pub(crate) key: u16,
    pub(crate) zone: u32,
    pub(crate) cell: i64,
    pub(crate) size: f64,
    /// Orders workers for this router alone, so that many routers do not turn to the same of equals.
    pub(crate) tie_break: f64,
    /// In service, as the list has it.
    pub(crate) listed: bool,
    /// Taken out by an operator.
    pub(crate) out_of_service: bool,
    /// May be sent new work: listed and not barred.
    pub(crate) up: bool,
    /// When an operator put it back.
    pub(crate) restored_at: Micros,
    pub(crate) started: Micros,
    /// Its start, or the last sign of one.
    pub(crate) cold_since: Micros,
    pub(crate) in_flight: u32,
    /// Of these, sent for a load that they begin or await.
    pub(crate) awaiting: u32,
    pub(crate) mean_in_flight: f64,
    pub(crate) mean_awaiting: f64,
    /// What the other routers have there, by its load reports.
    pub(crate) others: Others,
    pub(crate) last_heard: Micros,
    /// When an answer came over a connection; 0: never.
    pub(crate) last_answer: Micros,
    pub(crate) tried: f64,
    pub(crate) failed: f64,
    /// When a connection to it broke last: what ends with one connection is one failure.
    pub(crate) last_reset: Micros,
    pub(crate) rest: Micros,
    pub(crate) ill_until: Micros,
    pub(crate) on_trial: bool,
    pub(crate) full_until: Micros,
    /// It takes no order to load until then.
    pub(crate) no_loads_until: Micros,
    /// Class and tenant that it turns away, and until when that is believed.
    pub(crate) rejections: Vec<(usize, Option<usize>, Micros)>,
    pub(crate) cold_sends: VecDeque<Micros>,
    /// Time of its answers from loaded copies, over their aim.
    pub(crate) slowness: f64,
    pub(crate) slowness_at: Micros,
}

/// How an attempt ended, whether that finished its request, after how long, and what the answer told.
pub(crate) type Seen = (Outcome, bool, Micros, Option<Found>, Option<LoadReport>);

pub(crate) struct Attempt {
    pub(crate) worker: WorkerId,
    pub(crate) sent: Micros,
    pub(crate) warm: bool,
    /// It found a lane free, as far as is known here.
    pub(crate) lane_free: bool,
    pub(crate) ended: Option<Outcome>,
}

pub(crate) struct Request {
    /// Index of its class; of none any more since the settings changed.
    pub(crate) class: usize,
    /// Its class, and the attempts that it may have, as they were when it came.
    pub(crate) terms: Class,
    pub(crate) max_attempts: u32,
    pub(crate) tenant: Option<usize>,
    pub(crate) arrived: Micros,
    /// What an answer is likely to earn.
    pub(crate) worth: f64,
    pub(crate) function: FunctionId,
    pub(crate) due: Micros,
    pub(crate) attempts: Vec<Attempt>,
    pub(crate) answered: bool,
    pub(crate) held: bool,
    /// Counts for the ration of load orders.
    pub(crate) counted: bool,
    pub(crate) streaming: bool,
    /// Work that it was said to take, as time on a standard core; 0: not told.
    pub(crate) hint: Micros,
    /// Drawn in (0, 1]; where only a part is admitted, those above it wait.
    pub(crate) admission_draw: f64,
    /// Where it is best served, best first.
    pub(crate) preferred: Vec<PreferredLocation>,
}

/// The decisions of one router. Feed it events in order; it answers with actions.
pub struct Router(pub(crate) Core);

/// All that one router knows.
#[derive(Default)]
pub(crate) struct Core {
    pub(crate) settings: Settings,
    pub(crate) rng: fastrand::Rng,
    /// Seed of the lots drawn for cold workers.
    pub(crate) seed: u64,
    pub(crate) now: Micros,
    pub(crate) workers: BTreeMap<WorkerId, Worker>,
    /// Counts changes of the workers' set and sizes.
    pub(crate) worker_set_version: u64,
    pub(crate) totals: Totals,
    pub(crate) functions: BTreeMap<FunctionId, Function>,
    pub(crate) requests: BTreeMap<RequestId, Request>,
    pub(crate) recent_calls: Succession,
    pub(crate) arrivals: VecDeque<Micros>,
    /// Calls of all functions, halved with theirs.
    pub(crate) calls: f64,
    pub(crate) orders: VecDeque<Micros>,
    pub(crate) preloads: BTreeSet<(WorkerId, FunctionId)>,
    pub(crate) tenant_rates: Vec<f64>,
    pub(crate) last_halving: Micros,
    pub(crate) last_tick: Micros,
    /// When its first event came.
    pub(crate) started_at: Micros,
    pub(crate) wake_at: Micros,
    /// Some request waits here.
    pub(crate) any_held: bool,
    pub(crate) subscribe_at: Micros,
    /// Usual time of an answer from a loaded copy.
    pub(crate) usual_duration: f64,
    /// Time of answers over their aim, from when their request came.
    pub(crate) slowness: f64,
    pub(crate) mean_worth: f64,
    /// Share of the attempts that grew old whose answer never came.
    pub(crate) lost_share: f64,
    pub(crate) done_rate: f64,
    /// Calls that a worker of mean size is to run at once.
    pub(crate) concurrency_limit: ConcurrencyLimit,
    /// The most that was served for long enough to be believed: answers a second for each size that is warm.
    pub(crate) capacity: f64,
    /// Sizes that were warm, over the same time as `done_rate`.
    pub(crate) mean_warm: f64,
    pub(crate) max_held_worth: f64,
    /// Attempts elsewhere of the request that arrives next.
    pub(crate) past_attempts: Vec<Attempt>,
    /// ... and where it is best served.
    pub(crate) preferred: Vec<PreferredLocation>,
    pub(crate) peer: PeerRouter,
    pub(crate) gossip: PeerTable,
    pub(crate) composer: Composer,
    /// Workers and called functions by what stands for them where routers tell one another.
    pub(crate) host_keys: BTreeMap<u16, WorkerId>,
    pub(crate) function_keys: BTreeMap<u32, FunctionId>,
}

/// A router beside this one, with which it shares the ration of orders.
#[derive(Default)]
pub(crate) struct PeerRouter {
    /// Calls that it told of, which are among this one's arrivals.
    calls: VecDeque<Micros>,
    /// Orders that it told of or was granted, which are among this one's.
    orders: VecDeque<Micros>,
    /// Its share of the calls; 0: it may have none.
    share: f64,
}

/// Orders at the most that either of two routers leaves to the other of what that is due: neither is kept from
/// what it needs first by the other's burst, and little lies unused.
const MAX_ORDERS_LEFT_TO_PEER: f64 = 2.0;

/// Orders that the ration leaves now to this router, and to one beside it; below 1 none may be given.
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
    let ration = budget.free + budget.share * taken;
    let spare = ration - orders.len() as f64;
    if peer.share <= 0.0 {
        return (spare, spare);
    }
    let theirs = peer.orders.iter().filter(|t| **t >= now - budget.period).count() as f64;
    let own = (orders.len() as f64 - theirs).max(0.0);
    let left = |share: f64, had: f64| ((share * ration).max(1.0) - had).clamp(0.0, MAX_ORDERS_LEFT_TO_PEER);
    (spare - left(peer.share, theirs), spare - left(1.0 - peer.share, own))
}

/// What is told to a router that takes another's place.
impl Router {
    /// All that a router needs which takes this one's place.
    pub fn handover_state(&self) -> HandoverState {
        let sends = self.0.workers.iter().filter(|(_, w)| self.0.warmth(w) < 1.0);
        let sends = sends.map(|(n, w)| (n.clone(), w.cold_sends.iter().copied().collect())).collect();
        let (loaded, tallies) = (self.0.loaded(), self.0.tallies(0, false));
        let served = self.0.done_rate.max(self.0.capacity * self.0.totals.size);
        HandoverState { loaded, tallies, served, sends, sender_keeps_running: false }
    }

    /// Calls and orders of its own since then that count for the ration, for such a router.
    pub fn tallies(&self, since: Micros) -> Vec<Tally> {
        self.0.tallies(since, true)
    }

    /// Whether the ration has room for an order of a router beside this one. If so, it is counted.
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

    /// The router beside this one has this share of the calls, and is due as much of the ration.
    pub fn set_peer_share(&mut self, share: f64) {
        self.0.peer.share = if share.is_finite() { share.clamp(0.0, 1.0) } else { 0.0 };
    }

    /// The router beside this one is gone: what it told counts as this one's own from now on.
    pub fn peer_gone(&mut self) {
        self.0.peer = Default::default();
    }

    /// Entries of all tables: what this router remembers. Each has a bound or an expiry, so this settles.
    pub fn entries(&self) -> usize {
        let c = &self.0;
        let of = |f: &Function| 1 + f.successors.len() + f.places.len() + f.ranked.len();
        c.functions.values().map(of).sum::<usize>()
            + c.workers.values().map(|w| 1 + w.rejections.len() + w.cold_sends.len()).sum::<usize>()
            + c.requests.values().map(|r| 1 + r.attempts.len()).sum::<usize>()
            + c.arrivals.len()
            + c.orders.len()
            + c.preloads.len()
            + c.peer.calls.len()
            + c.peer.orders.len()
            + c.recent_calls.entries()
            + c.gossip.entries()
            + c.composer.entries()
            + c.host_keys.len()
            + c.function_keys.len()
    }

    /// Whether the worker is not known to have all of its capacity yet.
    pub fn is_cold(&self, worker: &WorkerId) -> bool {
        self.0.workers.get(worker).is_some_and(|w| self.0.warmth(w) < 1.0)
    }
}

impl Worker {
    /// Whether a connection to it is likely to stand: to open one costs both sides.
    pub(crate) fn held(&self, now: Micros) -> bool {
        self.in_flight > 0
            || (self.last_answer > self.last_reset && now - self.last_answer < CONNECTION_REUSE_US)
    }

    /// Whether it is thought to take orders to load.
    pub(crate) fn loads(&self, now: Micros) -> bool {
        self.no_loads_until <= now
    }

    /// Takes in a load report. It is late and counts our own too, which we know as of now: only its mean over
    /// some reports tells what the others have there.
    pub(crate) fn learn_others(&mut self, now: Micros, report: LoadReport) {
        let holding = report.in_flight - f64::from(self.in_flight);
        let running = report.in_flight - report.waiting - f64::from(self.in_flight - self.awaiting);
        let weight = if self.others.at == 0 { 1.0 } else { AVERAGE_WEIGHT };
        let mean = |before: f64, now: f64| before + (now - before) * weight;
        let Others { holding: held, running: ran, .. } = self.others;
        self.others = Others { at: now, holding: mean(held, holding), running: mean(ran, running) };
    }

    /// A new process is met without a record.
    pub(crate) fn reset_record(&mut self) {
        (self.failed, self.tried, self.rest, self.ill_until, self.full_until) = (0.0, 0.0, 0, 0, 0);
        self.no_loads_until = 0;
        (self.on_trial, self.others, self.slowness) = (false, Others::default(), 0.0);
        self.rejections.clear();
    }
}

impl Core {
    /// Workers by weighted rendezvous of function and worker: the same order at every router, so that
    /// routers which share nothing agree on few copies, also after a restart.
    pub(crate) fn rank(&mut self, id: &FunctionId) {
        let Some(f) = self.functions.get_mut(id) else { return };
        if f.ranked_version != self.worker_set_version {
            f.ranked = in_order(&id.0, self.workers.iter().map(|(n, w)| (n, w.size)));
            f.ranked_version = self.worker_set_version;
        }
    }

    /// The workers in rendezvous order: the first usable one is the place for a new load.
    pub(crate) fn ranked<'a>(&'a self, f: &'a Function) -> impl Iterator<Item = (&'a WorkerId, &'a Worker)> {
        f.ranked.iter().filter_map(|n| self.workers.get_key_value(n))
    }

    /// Requests that the worker is thought to hold: our own, and for those of the others what its reports say
    /// or what our own share lets us expect, which is the fleet's mean where we see too little of each worker.
    pub(crate) fn load(&self, w: &Worker) -> f64 {
        let own = w.in_flight as f64;
        if self.gossip.reliable {
            return own + self.gossip.at_host(w.key);
        }
        if let Some(others) = self.others(w) {
            return own + others.holding.max(0.0);
        }
        let others = (self.settings.routers - 1) as f64;
        let fair = self.totals.in_flight * w.size / self.totals.size.max(1e-9);
        own + others * (fair + self.trust() * (w.mean_in_flight - fair))
    }

    /// Requests that take the worker's cores: what awaits a load takes none, nor does what waits in a queue.
    pub(crate) fn running(&self, w: &Worker) -> f64 {
        match self.others(w) {
            Some(others) => f64::from(w.in_flight - w.awaiting) + others.running.max(0.0),
            None => self.load(w) - w.awaiting as f64 - (self.settings.routers - 1) as f64 * w.mean_awaiting,
        }
    }

    /// What the others have there, by its reports, as long as they are fresh. A router alone has no others.
    fn others(&self, w: &Worker) -> Option<Others> {
        let fresh =
            self.settings.routers > 1 && w.others.at > 0 && self.now - w.others.at < MAX_REPORT_AGE_US;
        fresh.then_some(w.others)
    }

    /// How far our own requests tell what the others do: next to nothing when they are few for each worker.
    pub(crate) fn trust(&self) -> f64 {
        let seen = (self.totals.in_flight / self.totals.up.max(1.0)).powi(2) + 1e-9;
        let unseen = HALF_TRUST_IN_FLIGHT.powi(2) * (1.0 - 1.0 / self.settings.routers as f64);
        seen / (seen + unseen)
    }

    /// A function's share of the calls: of our own, and of all that answers told of.
    pub(crate) fn share(&self, f: &Function) -> f64 {
        ((f.calls - IGNORED_CALLS).max(0.0) + f.overlap) / (self.calls.max(MIN_SHARE_CALLS) + f.overlap_base)
    }

    /// Calls that all routers have out, as far as this one neither sees them nor could hear of them. Where routers tell one
    /// another, a moment without word is short, and what answers told in it would count for half a minute after.
    fn unseen_calls(&self) -> f64 {
        if self.gossip_enabled() {
            return 0.0;
        }
        let out = self.totals.in_flight * f64::from(self.settings.routers);
        (1.0 - self.trust()) * out.max(MIN_OVERLAP_BASE * self.totals.up)
    }

    /// Takes in how many calls of all routers for its function a call met. They are a part of all that are out, which is
    /// as many calls as this router would see in minutes: a share of two or three of its own is chance, and each router
    /// that is wrong by itself begins a load that nobody else uses. What awaits a load piles up, and tells of the load.
    pub(crate) fn learn_overlap(
        &mut self,
        id: &RequestId,
        n: &WorkerId,
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
        f.places.entry(n.clone()).and_modify(|p| (p.overlap, p.overlap_at) = (met, now));
    }

    /// Calls for the function at one of so many places, of routers that this one does not hear: as it met them there
    /// while a copy lay idle at the most, else their fair part; none where no answer told of any.
    pub(crate) fn overlap(&self, f: &Function, p: &Placement, places: usize) -> f64 {
        if f.overlap_base == 0.0 || self.gossip.reliable {
            0.0
        } else if p.overlap_at > 0 && self.now - p.overlap_at < self.settings.keep {
            p.overlap
        } else {
            self.share(f) * self.unseen_calls() / places.max(1) as f64
        }
    }

    /// Takes in the time of an answer, over its aim.
    pub(crate) fn learn_slowness(&mut self, n: &WorkerId, ratio: f64) {
        if let Some(w) = self.workers.get_mut(n) {
            // One seldom asked is believed by its last answer.
            let weight =
                AVERAGE_WEIGHT.max(1.0 - (-((self.now - w.slowness_at) as f64) / SLOWNESS_MEMORY_US).exp());
            w.slowness += (ratio - w.slowness) * weight;
            w.slowness_at = self.now;
        }
    }

    /// Takes in what a call took that found its copy and a lane, of one that has warmed up.
    pub(crate) fn learn_concurrency_limit(
        &mut self,
        n: &WorkerId,
        (took, work): (Micros, Micros),
        lane_free: bool,
    ) {
        if lane_free && self.workers.get(n).is_some_and(|w| self.warmth(w) >= 1.0) {
            let up = self.totals.up.max(1.0);
            self.concurrency_limit.learn(took as f64, work as f64, self.totals.running / up, up);
        }
    }

    /// What one of size 1 is seen to serve. Cold ones serve their part of it: counted as warm, they would starve
    /// each other. The best of times counts for minutes: a fleet that is sent little serves little, and what its
    /// cold ones may be sent must not follow that down. Chance makes peaks, the more the fewer answers this router
    /// sees: only what is sure to be no chance is remembered.
    pub(crate) fn learn_capacity(&mut self, passed: f64, fade: f64) {
        self.mean_warm = self.totals.warm + (self.mean_warm - self.totals.warm) * fade;
        // The scatter of what is counted over a fading second: twice that over the time in which it is believed.
        let chance = (self.done_rate / 2.0).sqrt();
        let rate = (self.done_rate - chance).max(0.0) / self.mean_warm.max(1e-9);
        let time = if rate > self.capacity { CAPACITY_RISE_US } else { CAPACITY_FALL_US };
        self.capacity += (rate - self.capacity) * (1.0 - (-passed / time).exp());
    }

    /// Answers a second for each size that was warm, both over the last second: those that all began anew a
    /// moment ago did not serve what is remembered of that time.
    pub(crate) fn warm_rate(&self) -> f64 {
        self.done_rate / self.mean_warm.max(1e-9)
    }

    /// Requests within one window that this router may send to a starting worker: its part of what all routers may,
    /// by what it serves itself of what a warm one does.
    pub(crate) fn cold_part(&self, w: &Worker) -> f64 {
        let (s, now) = (&self.settings, self.now);
        // An earlier life of this router, which it knows nothing of, may have sent its part just before it ended.
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

    /// Sums over the workers that are up, made anew at most once a tick.
    pub(crate) fn sum_up(&mut self) {
        let up = || self.workers.values().filter(|w| w.up);
        self.totals = Totals {
            at: self.now,
            up: up().count() as f64,
            size: up().map(|w| w.size).sum(),
            warm: up().map(|w| w.size * self.warmth(w)).sum(),
            in_flight: up().map(|w| w.mean_in_flight).sum(),
            ill: up().filter(|w| w.ill_until > self.now || w.on_trial).count() as f64,
            slowness: up().map(|w| w.slowness).sum(),
            load: 0.0,
            running: 0.0,
        };
        self.totals.load = self.workers.values().filter(|w| w.up).map(|w| self.load(w)).sum();
        self.totals.running = self.workers.values().filter(|w| w.up).map(|w| self.running(w).max(0.0)).sum();
    }

    /// A call that came then counts for the ration of orders.
    pub(crate) fn count_call(&mut self, arrived: Micros) {
        let window = self.settings.load_budget.map_or(0, |b| b.period);
        while self.arrivals.front().is_some_and(|t| *t <= self.now - window) {
            self.arrivals.pop_front();
        }
        let at = self.arrivals.partition_point(|t| *t < arrived);
        self.arrivals.insert(at, arrived);
    }

    /// Takes new settings up. Classes and tenants go by index: what was told by the old ones is let go.
    pub(crate) fn apply_settings(&mut self, settings: Settings) {
        if settings.tenants != self.settings.tenants {
            self.tenant_rates = vec![0.0; settings.tenants.len()];
            self.recent_calls.clear();
        }
        self.workers.values_mut().for_each(|w| w.rejections.clear());
        self.requests.values_mut().for_each(|r| (r.class, r.tenant) = (usize::MAX, None));
        self.settings = settings;
    }

    /// Takes other terms of the same classes and tenants; what is open is held to the stricter of old and new.
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

    /// All that is believed loaded, for a router that takes this one's place.
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

    /// Calls and orders since then, for a router that takes this one's place: all of them, or its own.
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

    /// The request that arrives next has had these attempts.
    pub(crate) fn set_past_attempts(&mut self, past: Vec<PastAttempt>) {
        let past = past.into_iter();
        self.past_attempts = past
            .map(|p| Attempt {
                worker: p.worker,
                sent: p.sent,
                warm: false,
                lane_free: false,
                ended: Some(p.outcome),
            })
            .collect();
    }

    /// Believes what another router believed, as far as this one has not learnt better, and counts what it
    /// took and ordered as its own: calls as early as they may have been, orders as late.
    pub(crate) fn inherit(&mut self, legacy: HandoverState) {
        let HandoverState { loaded, tallies, served, sends, sender_keeps_running } = legacy;
        let served =
            if served.is_finite() && self.totals.size > 0.0 { served / self.totals.size } else { 0.0 };
        self.capacity = self.capacity.max(served);
        // What an earlier process sent is told: nothing is unknown of it.
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
        for l in loaded.into_iter().filter(|l| l.until > self.now && l.calls.is_finite()) {
            let f = self.functions.entry(l.function).or_default();
            if f.places.is_empty() {
                self.calls += l.calls.max(0.0);
                (f.calls, f.lanes, f.known) = (f.calls + l.calls.max(0.0), l.lanes.max(1), true);
                (f.last_call, f.call_count) = (self.now, f.call_count.max(2));
            }
            let p = f.places.entry(l.worker).or_default();
            (p.warm_until, p.copies) = (p.warm_until.max(l.until), p.copies.max(l.copies));
        }
    }

    /// Takes in a list, or changes of one.
    pub(crate) fn list(&mut self, kind: ListKind, entries: Vec<ListEntry>) {
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
                // A new process holds nothing and has no record.
                w.reset_record();
                w.cold_sends.retain(|t| *t >= e.ready_at);
                (w.started, w.cold_since) = (w.started.max(e.ready_at), w.started.max(e.ready_at));
                self.functions.values_mut().for_each(|f| f.drop_copies(&e.worker));
            }
        }
        self.sum_up();
        // Those that are gone keep their place in the orders, as they mostly come back; not for ever.
        if self.workers.len() as f64 > 2.0 * self.totals.up {
            self.workers.retain(|_, w| w.up || w.out_of_service || w.in_flight > 0);
        }
        self.index_host_keys();
    }

    /// Out, a worker gets nothing new. Back in, it may be another process that holds nothing and is cold.
    pub(crate) fn set_out_of_service(&mut self, n: &WorkerId, out: bool) {
        let w = self.workers.entry(n.clone()).or_default();
        w.up = w.listed && !out;
        if std::mem::replace(&mut w.out_of_service, out) && !out {
            w.reset_record();
            (w.restored_at, w.cold_since) = (self.now, self.now);
            for f in self.functions.values_mut() {
                f.drop_copies(n);
                f.places.entry(n.clone()).and_modify(|p| p.missed_until = 0);
            }
        }
        self.sum_up();
    }

    /// Drops a request that is answered and has nothing out.
    pub(crate) fn forget(&mut self, id: &RequestId) {
        let over = |r: &Request| r.answered && r.attempts.iter().all(|t| t.ended.is_some());
        if self.requests.get(id).is_some_and(over) {
            self.requests.remove(id);
        }
    }

    /// The share of its capacity that a worker is sure to have: all of it, unless it started lately.
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
    /// Halves the counts; false when nothing is left to remember.
    pub(crate) fn halve(&mut self, now: Micros, forget: Micros) -> bool {
        (self.calls, self.overlap, self.overlap_base) =
            (self.calls / 2.0, self.overlap / 2.0, self.overlap_base / 2.0);
        self.successors.retain(|_, n| {
            *n /= 2.0;
            *n >= 0.25
        });
        self.places.retain(|_, p| p.warm_until > now || p.loading.is_some() || p.in_flight > 0);
        !self.places.is_empty() || now - self.last_call < forget
    }

    /// Takes another router's word, given then, unless it is known better here.
    pub(crate) fn apply_gossip(
        &mut self,
        n: &WorkerId,
        (now, at): (Micros, Micros),
        keep: Micros,
        status: CopyStatus,
    ) {
        let p = self.places.entry(n.clone()).or_default();
        p.announced_at = now;
        match status {
            CopyStatus::Gone => (p.warm_until, p.copies, p.announced_at) = (0, 0, 0),
            // What was missed here later is missing.
            _ if p.missed_until - keep / 4 >= at => {}
            _ => {
                let copies = if let CopyStatus::Copies(n) = status { u32::from(n) } else { 1 };
                (p.warm_until, p.copies) = (p.warm_until.max(at + keep), p.copies.max(copies));
            }
        }
    }

    /// Loaded, or being loaded, on some worker.
    pub(crate) fn is_loaded_anywhere(&self, now: Micros) -> bool {
        self.places.values().any(|p| p.warm_until > now || p.loading.is_some())
    }

    /// The worker's copies are gone.
    pub(crate) fn drop_copies(&mut self, worker: &WorkerId) {
        if let Some(p) = self.places.get_mut(worker) {
            (p.warm_until, p.copies, p.loading) = (0, 0, None);
        }
    }
}

/// What is believed of the function on the worker.
pub(crate) fn placement<'a>(
    all: &'a mut BTreeMap<FunctionId, Function>,
    f: &FunctionId,
    n: &WorkerId,
) -> &'a mut Placement {
    all.entry(f.clone()).or_default().places.entry(n.clone()).or_default()
}

/// A running mean that takes its first value as it is.
pub(crate) fn learn(mean: f64, value: f64, weight: f64) -> f64 {
    if mean == 0.0 {
        value
    } else {
        mean + (value - mean) * weight
    }
}

/// Workers by weighted rendezvous with a key: the same order wherever it is computed.
pub(crate) fn in_order<'a>(key: &str, workers: impl Iterator<Item = (&'a WorkerId, f64)>) -> Vec<WorkerId> {
    let mut scored: Vec<_> = workers.map(|(n, size)| (-hash(key, &n.0).ln() / size, n.clone())).collect();
    scored.sort_by(|a, b| a.0.total_cmp(&b.0).then_with(|| a.1.cmp(&b.1)));
    scored.into_iter().map(|(_, n)| n).collect()
}
