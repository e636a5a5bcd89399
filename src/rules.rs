//! Most decisions of the library; which repeats are allowed is in `src/repeats.rs`. The types are in
//! `src/interface.rs`; ARCHITECTURE.md tells where each rule comes from. Reading order: constants, events,
//! routing, chain preloading, attempts and answers, health and guards.

use std::collections::{BTreeMap, BTreeSet};

use crate::gossip::{CopyStatus, ANNOUNCE_AGAIN_DIVISOR};
use crate::hash::hash;
use crate::interface::*;
use crate::repeats::repeat_by;
use crate::state::*;

// ---------------------------------------------------------------------------------------------- constants

/// Counts halve this often, so that popularity which moves on is forgotten within some tens of seconds.
const HALVING_PERIOD_US: Micros = 10_000_000;
/// ... but not before this many calls: a router that sees few tells little from fewer.
const MIN_CALLS_TO_HALVE: f64 = 200.0;
/// A call counts as a successor when it comes within this time, once per call and tenant.
const SUCCESSION_WINDOW_US: Micros = 1_000_000;
/// Calls of a function before its successor counts are believed.
const MIN_PREDECESSOR_CALLS: f64 = 4.0;
/// A successor is preloaded when it follows more than this share of the calls.
const PRELOAD_THRESHOLD: f64 = 0.5;
/// Preloads under way at once: enough for the chains of a moment, too few to crowd the store.
const MAX_PRELOADS: usize = 4;
/// Load orders that preloads leave in the budget for requests that wait.
const RESERVED_ORDERS: f64 = 2.0;
/// Between looks at held requests, silent workers and copies about to be unloaded.
const TICK_US: Micros = 20_000;
/// ... and at a router that sees little and holds nothing: hundreds of idle ticks a second are all its work.
const IDLE_TICK_US: Micros = 100_000;
/// Weight of one tick in the averages of requests in flight: a memory of about a second.
const TICK_WEIGHT: f64 = 0.02;
/// A worker is crowded above this multiple of the mean load for its size, as in bounded-load hashing.
const CROWDED_MULTIPLE: f64 = 1.5;
/// ... but never below this many requests for mean size: their number is not what makes it slow.
const MIN_CROWDED_LOAD: f64 = 4.0;
/// Workers over which a function's calls are spread, over those that they alone would keep at the fleet's
/// mean load: chance then overlaps little parts of functions rather than whole ones.
const SPREAD_FACTOR: f64 = 4.0;
/// Loads are told apart in steps of this many requests for mean size: finer ones are chance.
const LOAD_STEP: f64 = 0.25;
/// Sums that were told are samples of what came and went: their roots scatter so, whatever their size.
const ROOT_LOAD_STEP: f64 = 0.7;
/// A worker is silent when attempts on loaded copies are older than this multiple of the usual answer...
const SILENT_MULTIPLE: f64 = 5.0;
/// ... and than this, since short calls scatter more.
const MIN_SILENCE_US: Micros = 600_000;
/// Share of lost ones among the old above which it pays to ask anew.
const MIN_LOST_SHARE: f64 = 0.5;
/// So many that grew old, if they are most of what it holds, tell that a worker has all but stopped...
const MIN_STUCK_ATTEMPTS: u32 = 3;
/// ... as long as it is no more than this share of the workers: else it is the load.
const MAX_STUCK_SHARE: f64 = 0.34;
/// First rest of a worker that looks ill; doubles up to the longest while trials fail.
const MIN_REST_US: Micros = 1_000_000;
/// Longest rest.
const MAX_REST_US: Micros = 8_000_000;
/// A worker that turned one class of one tenant away, though it has room, is spared these for so long.
const REJECTION_MEMORY_US: Micros = 15_000_000;
/// A worker that fails more than this share of its recent attempts is ill.
const MAX_FAILURE_SHARE: f64 = 0.3;
/// Recent failures needed to say so.
const MIN_FAILURES: f64 = 2.0;
/// Never nothing from all of us together: what is not asked can neither warm up nor be told well.
const MIN_COLD_REQUESTS: f64 = 2.0;
/// For so long one that was put back is given copies of functions ahead of their calls.
const RESTORE_PERIOD_US: Micros = 5_000_000;
/// A copy is renewed when it has less than this to live: time for an order and for its load.
const RENEWAL_LEAD_US: Micros = 1_500_000;
/// Functions not called for this multiple of the keep-alive are let go.
const RENEWAL_MULTIPLE: f64 = 2.5;
/// So many calls of all routers were due while a copy lay idle: as none came, they have ceased.
const MAX_MISSED_CALLS: f64 = 3.0;
/// A tenant is over its share above this multiple of it: traffic is bursty and seen in part.
const QUOTA_TOLERANCE: f64 = 1.1;
/// A worker whose answers take more than this share of their aim is passed over for others: work varies.
const MAX_WORKER_SLOWNESS: f64 = 0.3;
/// When the fleet's answers take more than this share of their aim, a part of the requests is refused.
const MAX_FLEET_SLOWNESS: f64 = 0.6;
/// A worker is alone in being slow above this multiple of the others' mean.
const OUTLIER_MULTIPLE: f64 = 3.0;
/// A request that finds no room is held for this share of its aim, then refused while that is early.
const MAX_HOLD_SHARE: f64 = 0.3;
/// ... and for this share of the client's own time at most: a client told late has no time to try again.
const MAX_CLIENT_TIME_SHARE: f64 = 0.4;

// ------------------------------------------------------------------------------------------------- events

impl Router {
    /// A router that knows nothing yet. The same seed and events always give the same actions.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.check()?;
        let tenant_rates = vec![0.0; settings.tenants.len()];
        let rng = fastrand::Rng::with_seed(seed);
        Ok(Self(Core { settings, rng, seed, tenant_rates, ..Core::default() }))
    }

    /// Takes one event and appends what is to be done about it. Late, repeated or unknown ids do no harm.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        self.0.handle(now, event, out);
    }
}

impl Core {
    fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        self.now = now.max(self.now);
        if self.last_tick == 0 {
            (self.started_at, self.last_tick, self.last_halving) = (self.now, self.now, self.now);
        }
        if self.settings.discovery == Discovery::OnRequest && self.now >= self.subscribe_at {
            self.subscribe_at = Micros::MAX;
            out.push(Action::Subscribe);
        }
        match event {
            Event::List { kind: ListKind::Failed, .. } => self.subscribe_at = self.now + MIN_REST_US,
            Event::List { kind, entries } => self.list(kind, entries),
            Event::Arrival { request, class, tenant, function, due, lanes, repeat, hint } => {
                let (attempts, preferred) =
                    (std::mem::take(&mut self.past_attempts), std::mem::take(&mut self.preferred));
                if class >= self.settings.classes.len() || self.requests.contains_key(&request) {
                    return;
                }
                let counted = self.count(&function, tenant, lanes);
                let fresh = Request {
                    class,
                    terms: self.settings.classes[class],
                    max_attempts: self.settings.classes[class].attempts.unwrap_or(self.settings.max_attempts),
                    tenant,
                    arrived: self.now,
                    worth: self.worth(class, tenant, repeat),
                    function: function.clone(),
                    due,
                    attempts,
                    answered: false,
                    held: false,
                    counted,
                    streaming: false,
                    admission_draw: 1.0 - self.rng.f64(),
                    hint,
                    preferred,
                };
                self.mean_worth = learn(self.mean_worth, fresh.worth, AVERAGE_WEIGHT);
                self.requests.insert(request.clone(), fresh);
                // What is worth less than some that wait does not overtake them.
                match self.requests.get_mut(&request) {
                    Some(r) if r.worth < self.max_held_worth && self.now + 2 * TICK_US < due => {
                        (r.held, self.any_held) = (true, true);
                    }
                    _ => self.dispatch(&request, out),
                }
                self.preload_successor(&function, out);
            }
            Event::ClientLeft { request } => {
                if let Some(r) = self.requests.get_mut(&request) {
                    (r.answered, r.held) = (true, false);
                    if std::mem::take(&mut r.counted) {
                        let at = self.arrivals.partition_point(|t| *t < r.arrived);
                        self.arrivals.remove(at);
                    }
                    // Who leaves mostly tries again at once, and must not take room twice.
                    for (k, _) in r.attempts.iter().enumerate().filter(|(_, t)| t.ended.is_none()) {
                        if self.settings.cancel && !r.streaming {
                            out.push(Action::Cancel { request: request.clone(), attempt: k as u32 });
                        }
                    }
                }
                self.forget(&request);
            }
            Event::NoFurtherAttempt { request } => self.limit_attempts(&request, out),
            Event::Answer {
                request,
                attempt,
                worker,
                outcome,
                finished,
                duration,
                found,
                report,
                overlap,
            } => {
                self.learn_overlap(&request, &worker, found, overlap);
                let seen = (outcome, finished, duration, found, report);
                self.answer(&request, attempt, &worker, seen, out);
            }
            Event::StreamStarted { request } => {
                self.requests.entry(request).and_modify(|r| r.streaming = true);
            }
            Event::LoadEnded { worker, function, outcome, copies } => {
                self.load_ended(&worker, &function, (outcome, copies), out)
            }
            Event::OutOfService { worker, out } => self.set_out_of_service(&worker, out),
            Event::Settings(settings) => self.apply_settings(*settings),
            Event::ClassTerms(settings) => self.apply_terms(*settings),
            Event::GossipReceived { from, data } => self.receive_gossip(from, &data),
            Event::Handover(legacy) => self.inherit(legacy),
            Event::PastAttempts(past) => self.set_past_attempts(past),
            Event::PreferredLocations(preferred) => self.preferred = preferred,
            Event::Woken => {}
        }
        if self.wake_at <= self.now {
            self.tick(out);
        }
        let busy = self.any_held || self.trust() > 0.5;
        let at = self.now + if busy { TICK_US } else { IDLE_TICK_US };
        if self.wake_at <= self.now || at < self.wake_at {
            self.wake_at = at;
            out.push(Action::Wake { at });
        }
    }

    fn tick(&mut self, out: &mut Vec<Action>) {
        let now = self.now;
        let ticks = (now - self.last_tick) as f64 / TICK_US as f64;
        self.last_tick = now;
        let fade = (1.0 - TICK_WEIGHT).powf(ticks);
        let (slower, slowest) = (fade.powf(0.25), fade.powf(0.1));
        self.done_rate *= fade;
        self.learn_capacity(ticks * TICK_US as f64, fade);
        self.tenant_rates.iter_mut().for_each(|r| *r *= fade);
        for w in self.workers.values_mut() {
            w.mean_in_flight += (w.in_flight as f64 - w.mean_in_flight) * (1.0 - fade);
            w.mean_awaiting += (w.awaiting as f64 - w.mean_awaiting) * (1.0 - fade);
            w.slowness *= slowest;
            w.tried *= slower;
            w.failed *= slower;
        }
        for p in self.functions.values_mut().flat_map(|f| f.places.values_mut()) {
            p.mean_in_flight += (p.in_flight as f64 - p.mean_in_flight) * (1.0 - fade);
        }
        if now - self.last_halving >= HALVING_PERIOD_US && self.calls >= MIN_CALLS_TO_HALVE {
            self.last_halving = now;
            self.calls /= 2.0;
            self.functions.retain(|_, f| f.halve(now, 4 * HALVING_PERIOD_US));
        }
        self.send_gossip(out);
        self.find_silent(out);
        self.renew(out);
        // Held requests by worth; of equals the newest, so that a queue does not serve only the dead.
        let held = self.requests.iter().filter(|(_, r)| r.held);
        let mut held: Vec<_> = held.map(|(id, r)| (r.worth, r.arrived, id.clone())).collect();
        held.sort_by(|a, b| b.0.total_cmp(&a.0).then(b.1.cmp(&a.1)).then_with(|| a.2.cmp(&b.2)));
        self.max_held_worth = held.first().map_or(0.0, |h| h.0);
        self.any_held = false;
        for (_, _, id) in held {
            self.dispatch(&id, out);
        }
    }
}

// ------------------------------------------------------------------------------------------------ routing

/// Where a request may go now.
enum Route {
    Send(WorkerId),
    /// A load is under way: wait for it here.
    AwaitLoad,
    /// No worker has room.
    Busy,
}

impl Core {
    /// The load per size above which a worker is crowded.
    fn crowding(&self) -> f64 {
        let mean = self.totals.load / self.totals.up.max(1.0);
        (CROWDED_MULTIPLE * mean).max(MIN_CROWDED_LOAD) / self.mean_size()
    }

    /// Workers, first in order, that a function's calls are spread over by its share, where our own calls do
    /// not tell where copies stand: the others use them too, so they are presumed loaded.
    pub(crate) fn spread(&self, f: &Function) -> usize {
        let n = SPREAD_FACTOR * self.share(f) * self.totals.up * (1.0 - self.trust());
        if n < 2.0 || self.gossip.reliable {
            0
        } else {
            n as usize
        }
    }

    /// Workers that a function may be loaded on: two, and more as its calls need lanes. A function that finds
    /// no room at these waits: loading it on ever more workers pushes out what others need.
    fn reach(&self, f: &Function) -> usize {
        let running = self.share(f) * self.totals.in_flight * self.settings.routers as f64;
        2 + self.spread(f).max((running / f.lanes.max(1) as f64) as usize)
    }

    fn route(&mut self, id: &RequestId, out: &mut Vec<Action>) -> Route {
        let function = self.requests[id].function.clone();
        self.rank(&function);
        if self.now - self.totals.at >= TICK_US {
            self.sum_up();
        }
        let mut rng = self.rng.fork();
        let (Some(r), Some(f)) = (self.requests.get(id), self.functions.get(&function)) else {
            return Route::Busy;
        };
        // A slow fleet is sent less, by lot and by worth, where single workers are seldom seen.
        let part = (MAX_FLEET_SLOWNESS / self.slowness).powf(self.mean_worth / r.worth);
        if self.slowness > MAX_FLEET_SLOWNESS && r.admission_draw > part.max(self.trust()) {
            return Route::Busy;
        }
        let panic = self.panicking();
        let usable = |n: &WorkerId, w: &Worker| self.usable(&n.0, w, r, panic) && self.may_repeat_on(r, n, w);
        let limit = self.crowding();
        let others = (self.settings.routers - 1) as f64 * self.trust();
        let lanes = f.lanes.max(1) as f64;
        let told = self.gossip.reliable;
        let queue = |p: &Placement, w: &Worker| {
            let theirs = if told { self.gossip.at_place(f.key, w.key) } else { others * p.mean_in_flight };
            (p.in_flight as f64 + theirs) / (lanes * p.copies.max(1) as f64)
        };
        // Told of all that is out, a starting worker is held to the part of its size that it has.
        let pressure = |w: &Worker| self.load(w) / w.size / if told { self.warmth(w) } else { 1.0 };
        // Where a worker was full, twice as many may hold it: a router that knows little finds them so.
        let fulls = r.attempts.iter().filter(|t| t.ended == Some(Outcome::Full)).count();
        let wider = if fulls > 0 && self.trust() < 0.5 { 1 << (fulls + 1).min(9) } else { 0 };
        let spread = self.spread(f).max(wider);
        let fit = self.ranked(f).filter(|(n, w)| usable(n, w));
        let fit: Vec<_> = fit.take(self.reach(f).max(spread)).collect();
        let missing = |n| f.places.get(n).is_some_and(|p| p.missed_until > self.now || p.loading.is_some());
        let presumed = fit.iter().take(spread).map(|(n, _)| *n).filter(|n| !missing(n));
        let presumed: BTreeSet<_> = presumed.collect();
        let nothing = Placement::default();
        let known = f.places.iter().filter(|(n, _)| !presumed.contains(n));
        let places = known.chain(presumed.iter().map(|n| (*n, f.places.get(n).unwrap_or(&nothing))));
        // The ordinary path: warm with room, least loaded; of those about equal one at random, by size.
        // Where a prefix lies goes before load, as long as answers there are not slow.
        let advised = |n: &WorkerId, w: &Worker| match w.slowness < MAX_WORKER_SLOWNESS {
            true => PreferredLocation::rank(&r.preferred, n, w.zone, w.cell),
            false => MAX_PREFERRED_LOCATIONS,
        };
        let mut best: Option<(usize, f64, f64, WorkerId)> = None;
        let mut waiting: Option<(f64, WorkerId)> = None;
        for (n, p) in places {
            let Some(w) = self.workers.get(n).filter(|w| usable(n, w) && self.admits(w)) else { continue };
            let warm = p.warm_until > self.now || presumed.contains(n);
            if !warm && p.loading.is_none() {
                continue;
            }
            let (per_size, queue) = (pressure(w), queue(p, w));
            if warm && queue < 1.0 && per_size < limit {
                let height = per_size * self.mean_size()
                    + w.slowness / MAX_WORKER_SLOWNESS
                    + self.overlap(f, p, spread);
                let (level, tie) = if told {
                    // What was told is old by up to a period: all would turn to the least loaded one of then.
                    let apart = height.max(MIN_CROWDED_LOAD).sqrt() / ROOT_LOAD_STEP
                        + if w.held(self.now) { 0.0 } else { 1.0 };
                    (apart.round(), w.tie_break)
                } else {
                    ((height / LOAD_STEP).round(), -rng.f64().max(1e-9).ln() / w.size)
                };
                let at = advised(n, w);
                if best.as_ref().is_none_or(|(a, least, t, _)| (at, level, tie) < (*a, *least, *t)) {
                    best = Some((at, level, tie, n.clone()));
                }
            } else {
                let wait = queue + per_size / limit + if warm { 0.0 } else { 1.0 };
                if waiting.as_ref().is_none_or(|(least, _)| wait < *least) {
                    waiting = Some((wait, n.clone()));
                }
            }
        }
        // One put back holds nothing, so no call would find it: functions that are to be there go ahead.
        let lacks = |n| f.places.get(n).is_none_or(|p| p.warm_until <= self.now && p.loading.is_none());
        let back = |n, w: &Worker| {
            w.restored_at > 0 && self.now - w.restored_at < RESTORE_PERIOD_US && f.known && lacks(n)
        };
        let back = fit.iter().find(|(n, w)| back(*n, w)).map(|(n, _)| (*n).clone());
        if let Some((.., n)) = best {
            if let Some(back) = back {
                self.order(&back, &function, 1, true, out);
            }
            return Route::Send(n);
        }
        // One alone in being slow is passed over. Where all are, ever more copies only push out others.
        let rest =
            |w: &Worker| (self.totals.slowness - w.slowness).max(0.0) / (self.totals.up - 1.0).max(1.0);
        let alone = |w: &Worker| {
            w.slowness > MAX_WORKER_SLOWNESS.max(OUTLIER_MULTIPLE * rest(w)) && rest(w) < MAX_WORKER_SLOWNESS
        };
        let takes = |w: &Worker| !alone(w) && (told || w.loads(self.now));
        let home = fit.iter().find(|(_, w)| takes(w)).or(fit.first()).filter(|(_, w)| self.admits(w));
        // Told of the loads, all pass over the same crowded ones.
        let roomy = |w: &Worker| self.admits(w) && pressure(w) < limit && w.loads(self.now);
        let near = self.ranked(f).find(|(n, w)| told && usable(n, w) && roomy(w));
        let home = near.or(home.copied()).map(|(n, _)| n.clone());
        let free = |n, w: &Worker| lacks(n) && roomy(w);
        let spill = fit.iter().find(|(n, w)| free(*n, w)).map(|(n, _)| (*n).clone());
        if let Some((_, n)) = waiting {
            let p = f.places.get(&n).unwrap_or(&nothing);
            let warm = p.warm_until > self.now || presumed.contains(&n);
            // Waiting for a lane, or for a load, must leave time to be served within the aim.
            let queue = self.workers.get(&n).map_or(0.0, |w| queue(p, w));
            let aim = r.terms.aim as f64;
            let full = queue > 1.0 + MAX_HOLD_SHARE * aim / self.usual_duration.max(1.0) && p.in_flight > 0;
            let roomy = self.workers.get(&n).is_some_and(|w| pressure(w) < limit);
            // Lanes run out: one more copy there, or at the next worker in order when this one is crowded.
            if warm && roomy {
                let copies = p.copies.max(1) + 1;
                self.order(&n, &function, copies, true, out);
            } else if let Some(h) = spill.filter(|_| warm) {
                self.order(&h, &function, 1, true, out);
            }
            if !warm && self.settings.when_cold == WhenCold::Misses {
                return Route::AwaitLoad;
            }
            return if full { Route::Busy } else { Route::Send(n) };
        }
        // Its own load may be where there is no room just now: ever more loads elsewhere spend the ration.
        if told && f.places.iter().any(|(n, p)| p.ordered && self.workers.get(n).is_some_and(|w| w.up)) {
            return Route::AwaitLoad;
        }
        let Some(h) = home else { return Route::Busy };
        let missed = r.attempts.iter().any(|t| (told || t.worker == h) && t.ended == Some(Outcome::Miss));
        // Where all were heard for long enough and none told of a copy, none stands: a call that finds that
        // out takes of what a cold worker bears, and opens a connection.
        let nowhere = f.known && self.gossip.is_complete(self.now, self.settings.keep);
        if self.settings.when_cold == WhenCold::Misses && (missed || nowhere) {
            // After a miss one instance is ordered and the request sent again when it stands.
            self.order(&h, &function, 1, false, out);
            let ordered = self.functions[&function].places.get(&h).is_some_and(|p| p.ordered);
            if ordered || !told {
                return Route::AwaitLoad;
            }
            if missed {
                return Route::Busy;
            }
        }
        Route::Send(h)
    }
}

// --------------------------------------------------------------------------------------- chain preloading

impl Core {
    /// Accessed_Num and hit_candidate_path of the paper's Algorithm 2, on order-one paths.
    /// Whether it counts for the ration of orders: clients may call hundreds of functions that they made up.
    fn count(&mut self, id: &FunctionId, tenant: Option<usize>, lanes: u32) -> bool {
        let now = self.now;
        if let Some(rate) = tenant.and_then(|t| self.tenant_rates.get_mut(t)) {
            *rate += TICK_WEIGHT * 1e6 / TICK_US as f64;
        }
        let functions = &mut self.functions;
        self.recent_calls.call(now, (id, tenant), SUCCESSION_WINDOW_US, |before, calls| {
            if let Some(f) = functions.get_mut(before) {
                *f.successors.entry(id.clone()).or_default() += f64::from(calls);
            }
        });
        self.register_function(id);
        let f = self.functions.entry(id.clone()).or_default();
        f.calls += 1.0;
        self.calls += 1.0;
        (f.last_call, f.lanes, f.call_count) = (now, lanes, f.call_count + 1);
        let known = f.known;
        if known {
            self.count_call(now);
        }
        known
    }

    /// Algorithm 2: the likeliest successor not believed warm, if its ratio beats the threshold.
    fn preload_successor(&mut self, id: &FunctionId, out: &mut Vec<Action>) {
        let Some(f) = self.functions.get(id) else { return };
        let likely = f
            .successors
            .iter()
            .filter(|(_, n)| f.calls >= MIN_PREDECESSOR_CALLS && **n / f.calls > PRELOAD_THRESHOLD);
        let cold =
            likely.filter(|(s, _)| self.functions.get(*s).is_some_and(|s| !s.is_loaded_anywhere(self.now)));
        let Some(next) = cold.max_by(|a, b| a.1.total_cmp(b.1)).map(|(s, _)| s.clone()) else { return };
        self.rank(&next);
        let panic = self.panicking();
        let fit = |w: &Worker| w.up && !w.on_trial && (panic || w.ill_until <= self.now);
        let home = self.ranked(&self.functions[&next]).find(|(_, w)| fit(w)).map(|(n, _)| n.clone());
        if let Some(h) = home {
            self.order(&h, &next, 1, true, out);
        }
    }

    /// Copies about to be unloaded though calls still come are renewed: what is called at the pace of the
    /// keep-alive, as by timers, would find each copy just gone. Each router sees its part of the calls:
    /// where all should have come often, the others have them, or nobody has.
    fn renew(&mut self, out: &mut Vec<Action>) {
        let (now, pace) = (self.now, (self.settings.keep as f64 * RENEWAL_MULTIPLE) as Micros);
        let soon =
            |p: &Placement| (now + 1..now + RENEWAL_LEAD_US).contains(&p.warm_until) && p.in_flight == 0;
        let due = self.settings.routers as f64 * self.settings.keep as f64 / (2 * HALVING_PERIOD_US) as f64;
        let comes =
            |f: &Function| f.call_count > 1 && now - f.last_call < pace && f.calls * due < MAX_MISSED_CALLS;
        let wanted = self.functions.iter().filter(|(_, f)| comes(f));
        let newest =
            wanted.filter_map(|(id, f)| Some((id, f.places.iter().max_by_key(|(_, p)| p.warm_until)?)));
        let due = newest.filter(|(_, (_, p))| soon(p)).map(|(id, (n, _))| (n.clone(), id.clone()));
        for (n, id) in due.collect::<Vec<_>>() {
            if self.workers.get(&n).is_some_and(|w| w.ill_until <= now) {
                self.order(&n, &id, 1, true, out);
            }
        }
    }

    /// Orders copies, if the rules and the budget allow.
    fn order(&mut self, n: &WorkerId, id: &FunctionId, copies: u32, ahead: bool, out: &mut Vec<Action>) {
        let now = self.now;
        let crowded = ahead && self.preloads.len() >= MAX_PRELOADS;
        if !self.settings.orders || crowded || !self.workers.get(n).is_some_and(|w| w.up && w.loads(now)) {
            return;
        }
        let Some(f) = self.functions.get_mut(id) else { return };
        let p = f.places.entry(n.clone()).or_default();
        if p.ordered {
            return;
        }
        if let Some(b) = self.settings.load_budget {
            let spare = spare_orders(&b, now, &self.arrivals, &mut self.orders, &self.peer).0;
            if spare < if ahead { 1.0 + RESERVED_ORDERS } else { 1.0 } {
                return;
            }
            self.orders.push_back(now);
        }
        p.ordered = true;
        p.loading = p.loading.or((p.warm_until <= now).then_some(now));
        if ahead {
            self.preloads.insert((n.clone(), id.clone()));
        }
        out.push(Action::Load { worker: n.clone(), function: id.clone(), copies: copies.min(16) });
        self.queue_news(n, id, CopyStatus::Loading);
    }

    fn load_ended(&mut self, n: &WorkerId, id: &FunctionId, told: (Outcome, u32), out: &mut Vec<Action>) {
        let (end, copies) = told;
        self.preloads.remove(&(n.clone(), id.clone()));
        let (now, keep) = (self.now, self.settings.keep);
        let Some(p) = self.functions.get_mut(id).and_then(|f| f.places.get_mut(n)) else { return };
        // An order that ends with the process that had it left nothing behind.
        let lost = end == Outcome::Reset && p.loading.is_none() && p.warm_until == 0;
        (p.ordered, p.loading) = (false, None);
        if end == Outcome::NotSent {
            // It tells nothing of the worker; to try again at once would be to ask for ever.
            self.orders.pop_back();
            return;
        }
        p.copies = copies;
        p.warm_until = if copies > 0 { now + keep } else { 0 };
        let word = [CopyStatus::Gone, CopyStatus::Serving(0), CopyStatus::Copies(copies.min(4) as u8)]
            [copies.min(2) as usize];
        self.queue_news(n, id, word);
        let Some(p) = self.functions.get_mut(id).and_then(|f| f.places.get_mut(n)) else { return };
        match end {
            // An order that has come whole stands, also when its connection ends: calls wait for its load.
            Outcome::Reset if !lost => (p.warm_until, p.copies) = (now + keep / 2, 1),
            Outcome::ConnectFailed => self.failed(n, end, out),
            // Its memory is all at work, or it drains and the list does not tell yet: to order there again at
            // once would spend the ration, at every router of a large fleet.
            Outcome::Full if copies == 0 => self.mark_no_room(n),
            _ => {}
        }
        let held = self.requests.iter().filter(|(_, r)| r.held && r.function == *id).map(|(q, _)| q.clone());
        for q in held.collect::<Vec<_>>() {
            self.dispatch(&q, out);
        }
    }
}

// ----------------------------------------------------------------------------------- attempts and answers

impl Core {
    fn dispatch(&mut self, id: &RequestId, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get(id) else { return };
        if r.answered || r.streaming || r.attempts.iter().any(|t| t.ended.is_none()) {
            return;
        }
        // Held requests are looked at once a tick; answer while the client surely still waits.
        let most = r.max_attempts.min(self.settings.max_attempts);
        if r.attempts.len() as u32 >= most || self.now + 2 * TICK_US >= r.due || !self.may_repeat(r) {
            return self.give_up(id, out);
        }
        let route = self.route(id, out);
        let now = self.now;
        let Some(r) = self.requests.get_mut(id) else { return };
        match route {
            Route::AwaitLoad => (r.held, self.any_held) = (true, true),
            Route::Busy => {
                (r.held, self.any_held) = (true, true);
                let aim = r.terms.aim as f64;
                let patience = (MAX_HOLD_SHARE * aim).min(MAX_CLIENT_TIME_SHARE * (r.due - r.arrived) as f64);
                if (now - r.arrived) as f64 > patience && self.may_refuse(id) {
                    self.give_up(id, out);
                }
            }
            Route::Send(n) => {
                r.held = false;
                let lanes = self.functions.get(&r.function).map_or(1, |f| f.lanes.max(1));
                let place = placement(&mut self.functions, &r.function, &n);
                let warm = place.warm_until > now;
                let lane_free = warm && place.in_flight < lanes * place.copies.max(1);
                if !warm && self.settings.when_cold == WhenCold::Loads {
                    place.loading = place.loading.or(Some(now));
                }
                place.in_flight += 1;
                if let Some(w) = self.workers.get_mut(&n) {
                    (w.in_flight, w.awaiting) = (w.in_flight + 1, w.awaiting + u32::from(!warm));
                    w.cold_sends.push_back(now);
                    w.cold_sends.retain(|t| now - t <= self.settings.fall_window);
                }
                let leave_by = repeat_by(r);
                r.attempts.push(Attempt { worker: n.clone(), sent: now, warm, lane_free, ended: None });
                // No time-out but the client's: beginning anew what waits for a load or a lane adds to both.
                out.push(Action::Send { request: id.clone(), worker: n, timeout: None, leave_by });
            }
        }
    }

    /// The request has had its last attempt: it ends with what is out, or now.
    fn limit_attempts(&mut self, id: &RequestId, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get_mut(id).filter(|r| !r.answered) else { return };
        r.max_attempts = r.attempts.len() as u32;
        if r.attempts.iter().all(|t| t.ended.is_some()) {
            self.give_up(id, out);
        }
    }

    /// The final answer when nothing more can be tried: a refusal where that is true, else a failure.
    fn give_up(&mut self, id: &RequestId, out: &mut Vec<Action>) {
        let harmless = self.may_refuse(id);
        let Some(r) = self.requests.get_mut(id).filter(|r| !r.answered) else { return };
        (r.answered, r.held) = (true, false);
        out.push(if harmless {
            // A repeat mostly comes too late for the aim: the later, the less it takes from others.
            let retry_after = self.settings.max_retry_after;
            Action::Refuse { request: id.clone(), retry_after }
        } else {
            Action::Fail { request: id.clone() }
        });
        self.forget(id);
    }

    fn answer(
        &mut self,
        id: &RequestId,
        attempt: u32,
        n: &WorkerId,
        (outcome, finished, duration, found, report): Seen,
        out: &mut Vec<Action>,
    ) {
        let now = self.now;
        let Some(r) = self.requests.get_mut(id) else { return };
        r.answered |= finished;
        let Some(t) = r.attempts.get_mut(attempt as usize).filter(|t| t.ended.is_none() && t.worker == *n)
        else {
            return;
        };
        t.ended = Some(outcome);
        let (warm, function, sent, arrived) = (t.warm, r.function.clone(), t.sent, r.arrived);
        let (class, tenant, aim, hint, lane_free) = (r.class, r.tenant, r.terms.aim, r.hint, t.lane_free);
        let errors = r.attempts.iter().filter(|t| t.ended == Some(Outcome::Error)).count();
        let knows = matches!(outcome, Outcome::Done | Outcome::Miss);
        let counts = knows && !r.counted;
        r.counted |= knows;
        let known = self.functions.get_mut(&function).is_some_and(|f| {
            f.known |= knows;
            f.known
        });
        if counts {
            self.count_call(arrived);
        }
        if let Some(w) = self.workers.get_mut(n) {
            w.in_flight = w.in_flight.saturating_sub(1);
            w.awaiting = w.awaiting.saturating_sub(u32::from(!warm));
            report.into_iter().for_each(|r| w.learn_others(now, r));
            w.tried += if outcome == Outcome::NoConnection { 0.0 } else { 1.0 };
            use Outcome::*;
            if !matches!(outcome, TimedOut | ConnectFailed | Cancelled | NotSent | NoConnection) {
                (w.last_heard, w.last_answer) = (now, now);
            }
        }
        // What an earlier process of the worker says tells nothing of the one that has started since.
        let earlier = self.workers.get(n).is_some_and(|w| w.started > sent);
        let (keep, mut news) = (self.settings.keep, None);
        if let Some(p) = self.functions.get_mut(&function).and_then(|f| f.places.get_mut(n)) {
            p.in_flight = p.in_flight.saturating_sub(1);
            match outcome {
                _ if earlier => {}
                Outcome::Done => {
                    (p.warm_until, p.loading, p.copies) = (now + keep, None, p.copies.max(1));
                    news = (now - p.announced_at > keep / ANNOUNCE_AGAIN_DIVISOR)
                        .then_some(CopyStatus::Serving(0));
                }
                Outcome::Miss => {
                    news = (p.warm_until > now).then_some(CopyStatus::Gone);
                    (p.warm_until, p.copies, p.missed_until) = (0, 0, now + keep / 4);
                    p.loading = p.loading.filter(|_| p.ordered);
                }
                Outcome::ConnectFailed => (p.warm_until, p.copies, p.loading) = (0, 0, None),
                _ => p.loading = p.loading.filter(|since| *since > sent),
            }
        }
        news.into_iter().for_each(|word| self.queue_news(n, &function, word));
        match outcome {
            Outcome::Done => {
                let loaded = found.map_or(warm, |f| f == Found::Warm);
                self.done_rate += TICK_WEIGHT * 1e6 / TICK_US as f64;
                if let Some(w) = self.workers.get_mut(n) {
                    (w.on_trial, w.rest) = (false, 0);
                }
                let of_aim = |time: Micros| (time as f64 / aim.max(1) as f64).min(2.0);
                // Where answers do not tell what they found, most come from copies that others had loaded.
                if loaded || found.is_none() {
                    self.slowness = learn(self.slowness, of_aim(now - arrived), AVERAGE_WEIGHT);
                }
                if loaded {
                    self.usual_duration = learn(self.usual_duration, duration as f64, AVERAGE_WEIGHT);
                    self.learn_concurrency_limit(n, (duration, hint), lane_free);
                    self.learn_slowness(n, of_aim(duration));
                }
            }
            Outcome::Full | Outcome::NoConnection => {
                if let Some(w) = self.workers.get_mut(n) {
                    w.rejections.retain(|rejection| rejection.2 > now);
                    // A full queue says so at once; one that takes its time turns away this kind of request.
                    if duration > TICK_US && outcome == Outcome::Full {
                        w.rejections.push((class, tenant, now + REJECTION_MEMORY_US));
                    } else {
                        w.full_until = now + 5 * TICK_US;
                    }
                }
            }
            // One copy there for the next call; this one may find another meanwhile.
            Outcome::Miss => self.order(n, &function, 1, true, out),
            Outcome::NotSent | Outcome::Cancelled => {}
            // Two that do not know the function: no worker does, and a client made it up.
            Outcome::Error if !known && errors > 1 => return self.give_up(id, out),
            // Nor does it say anything of the worker, where others are seen often enough to tell.
            Outcome::Error if !known && self.trust() > 0.5 => {}
            // A client that gave up early tells nothing; seen seldom, a worker would rest for that alone.
            Outcome::TimedOut if self.sees_little() && duration < self.old() => {}
            _ if earlier => {}
            // A time-out speaks against the worker only when it has been silent since.
            Outcome::TimedOut if !warm || self.workers.get(n).is_none_or(|w| w.last_heard > sent) => {}
            _ => self.failed(n, outcome, out),
        }
        if warm && duration > self.old() && matches!(outcome, Outcome::Done | Outcome::TimedOut) {
            self.lost_share +=
                (f64::from(u8::from(outcome != Outcome::Done)) - self.lost_share) * 2.0 * AVERAGE_WEIGHT;
        }
        match outcome {
            Outcome::Full if duration <= TICK_US => self.learn_slowness(n, 2.0),
            // It took this long at least. A client that gives up early says no more of the worker.
            Outcome::TimedOut => {
                let least = (duration as f64 / aim.max(1) as f64).min(2.0);
                if self.workers.get(n).is_some_and(|w| w.slowness < least) {
                    self.learn_slowness(n, least);
                }
            }
            _ => {}
        }
        let r = &self.requests[id];
        if r.answered {
            self.forget(id);
        } else if self.may_repeat(r) && outcome != Outcome::NotSent {
            self.dispatch(id, out);
        } else if r.attempts.iter().all(|t| t.ended.is_some()) {
            self.give_up(id, out);
        }
    }
}

// -------------------------------------------------------------------------------------- health and guards

impl Core {
    /// Whether the worker has room for one more of ours, by what runs there alone: an estimate of its speed
    /// that only answers refresh would, once wrong, keep them away. What awaits a load takes no core.
    fn admits(&self, w: &Worker) -> bool {
        let room = self.running(w) < self.concurrency_limit.get() * w.size / self.mean_size();
        // What many tell is old by a period: a bound on that would turn them all away at once, and back.
        (room || self.gossip.reliable) && w.full_until <= self.now
    }

    /// Whether the worker may be sent this request now.
    fn usable(&self, name: &str, w: &Worker, r: &Request, panic: bool) -> bool {
        let here = |t: &&Attempt| self.workers.get(&t.worker).is_some_and(|x| std::ptr::eq(x, w));
        let ended = |t: &Attempt| {
            t.ended.filter(|e| !matches!(e, Outcome::Miss | Outcome::Full | Outcome::NoConnection))
        };
        // A connection that broke does not speak against its worker; two do.
        let fails = |t: &Attempt| ended(t).map_or(0, |e| if e == Outcome::Reset { 1 } else { 2 });
        let failed_here = r.attempts.iter().filter(here).map(fails).sum::<u32>() >= 2;
        let safe = r.terms.effect == Effect::Safe;
        let well = panic || (w.ill_until <= self.now && (!w.on_trial || (safe && w.in_flight == 0)));
        let rejected = w.rejections.iter().any(|s| (s.0, s.1) == (r.class, r.tenant) && s.2 > self.now);
        w.up && well && !rejected && self.cold_room(name, w) && !failed_here
    }

    /// A starting worker is sent no more than its share of what a warm one is seen to serve.
    fn cold_room(&self, name: &str, w: &Worker) -> bool {
        let s = &self.settings;
        if self.warmth(w) >= 1.0 {
            return true;
        }
        let budget = self.cold_part(w).max(MIN_COLD_REQUESTS / s.routers as f64);
        // A part of a request is admitted by lot, drawn anew each half window, so that hundreds of routers
        // whose share is far below one keep the limit together and none is shut out for ever.
        let slot = 2 * self.now / s.fall_window.max(1);
        let lot = hash(name, &format!("{}/{slot}", self.seed)) < budget.fract() / 2.0;
        let sent = w.cold_sends.iter().filter(|t| self.now - **t < s.fall_window).count();
        sent < budget as usize + usize::from(lot)
    }

    /// With most of the fleet looking ill, the view is wrong rather than every worker.
    fn panicking(&self) -> bool {
        self.totals.ill * 2.0 > self.totals.up
    }

    /// A failure of a worker: one that takes no connection at once, all else by its share. A connection that
    /// breaks is one failure, however many attempts end with it: resting for each starves the fleet.
    fn failed(&mut self, n: &WorkerId, outcome: Outcome, out: &mut Vec<Action>) {
        // A router that sees a worker seldom cannot wait for a second failure.
        let trust = self.trust();
        let Some(w) = self.workers.get_mut(n) else { return };
        let broken = outcome == Outcome::ConnectFailed;
        if outcome == Outcome::Reset && self.now - std::mem::replace(&mut w.last_reset, self.now) < TICK_US {
            return;
        }
        w.failed += 1.0;
        if broken {
            // It may be starting anew, long before the list tells: cold until it has had the time to warm up.
            w.cold_since = self.now;
        }
        let often = w.failed > MIN_FAILURES * trust && w.failed > MAX_FAILURE_SHARE * w.tried;
        if (broken || often || w.on_trial) && outcome != Outcome::Full {
            self.rest(n, out);
        }
    }

    fn rest(&mut self, n: &WorkerId, out: &mut Vec<Action>) {
        let now = self.now;
        let first = if self.trust() > 0.5 { MIN_REST_US } else { MAX_REST_US };
        let Some(w) = self.workers.get_mut(n).filter(|w| w.ill_until <= now) else { return };
        w.rest = (w.rest * 2).clamp(first, MAX_REST_US);
        (w.ill_until, w.on_trial) = (now + w.rest, true);
        (w.failed, w.tried) = (0.0, 0.0);
        out.push(Action::Log { text: format!("worker {} rests for {} ms", n.0, w.rest / 1000) });
    }

    /// Age from which an attempt on a loaded copy is old.
    fn old(&self) -> Micros {
        ((self.usual_duration * SILENT_MULTIPLE) as Micros).max(MIN_SILENCE_US)
    }

    /// Workers that take requests and answer none: attempts on loaded copies grow old and nothing is heard.
    fn find_silent(&mut self, out: &mut Vec<Action>) {
        let old = self.old();
        let (mut waiting, mut aged): (BTreeMap<&WorkerId, u32>, BTreeMap<&WorkerId, u32>) =
            Default::default();
        for r in self.requests.values() {
            for t in r.attempts.iter().filter(|t| t.ended.is_none() && t.warm) {
                let age = self.now - t.sent;
                if age > old {
                    *aged.entry(&t.worker).or_default() += 1;
                }
                if age > old && self.workers.get(&t.worker).is_some_and(|w| w.last_heard <= t.sent) {
                    *waiting.entry(&t.worker).or_default() += 1 + u32::from(age > 2 * old);
                }
            }
        }
        let enough = if self.trust() > 0.5 { 2 } else { 1 };
        let mut silent: BTreeSet<_> =
            waiting.into_iter().filter(|(_, k)| *k > enough).map(|(n, _)| n.clone()).collect();
        // One that answers now and then while most of what it holds grows old has all but stopped.
        let stuck = aged.into_iter().filter(|(n, k)| {
            let w = self.workers.get(*n).filter(|w| w.up && w.ill_until <= self.now);
            w.is_some_and(|w| *k >= MIN_STUCK_ATTEMPTS && *k * 2 > w.in_flight)
        });
        let stuck: Vec<_> = stuck.map(|(n, _)| n.clone()).collect();
        if stuck.len() as f64 + self.totals.ill <= MAX_STUCK_SHARE * self.totals.up {
            silent.extend(stuck);
        }
        // Where the old are mostly lost, not slow, a read is asked for anew while there is time.
        let lost =
            self.lost_share > MIN_LOST_SHARE && self.slowness < MAX_FLEET_SLOWNESS && self.settings.cancel;
        for (id, r) in self.requests.iter().filter(|(_, r)| lost && !r.answered && !r.streaming) {
            let safe = r.terms.effect == Effect::Safe;
            let k = r.attempts.iter().position(|t| t.ended.is_none() && t.warm && self.now - t.sent > old);
            if let (true, Some(k)) =
                (safe && r.attempts.iter().all(|t| t.ended != Some(Outcome::Cancelled)), k)
            {
                out.push(Action::Cancel { request: id.clone(), attempt: k as u32 });
            }
        }
        for n in silent {
            self.rest(&n, out);
            if !self.settings.cancel || self.panicking() {
                continue;
            }
            // What may be repeated is called off there, and goes elsewhere when that is confirmed.
            for (id, r) in &self.requests {
                for (k, t) in
                    r.attempts.iter().enumerate().filter(|(_, t)| t.ended.is_none() && t.worker == n)
                {
                    let grown_old = !r.answered && !r.streaming && self.now - t.sent > old;
                    if grown_old && self.may_leave(r, &n) {
                        out.push(Action::Cancel { request: id.clone(), attempt: k as u32 });
                    }
                }
            }
        }
    }

    /// What an answer is likely to earn: less beyond the tenant's share, as far as this router can tell, and
    /// less for a client's repeat, whose aim has mostly passed.
    fn worth(&self, class: usize, tenant: Option<usize>, repeat: bool) -> f64 {
        let c = &self.settings.classes[class];
        let over = tenant.is_some_and(|t| match (self.settings.tenants.get(t), self.tenant_rates.get(t)) {
            (Some(told), Some(rate)) => rate * self.settings.routers as f64 > told.quota * QUOTA_TOLERANCE,
            _ => false,
        });
        c.worth
            * if over { self.settings.over_share_worth } else { 1.0 }
            * if repeat { c.late_worth } else { 1.0 }
    }
}
