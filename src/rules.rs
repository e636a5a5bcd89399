//! Routing, load orders, health checks and admission; `src/repeats.rs` decides which retries are allowed.
//! The types are in `src/interface.rs`, and ARCHITECTURE.md names the source of each rule. Reading order:
//! constants, events, routing, chain preloading, attempts and answers, health and guards.

use std::collections::{BTreeMap, BTreeSet};

use crate::gossip::{Status, ANNOUNCE_AGAIN_DIVISOR};
use crate::hash::hash;
use crate::interface::*;
use crate::repeats::retry_deadline;
use crate::state::*;

// ---------------------------------------------------------------------------------------------- constants

/// Interval at which call counts are halved, so that past popularity fades within some tens of seconds.
const HALVING_PERIOD_US: Micros = 10_000_000;
/// Calls of served functions that must be counted before counts are halved: a router with little traffic
/// needs its old counts.
const MIN_CALLS_TO_HALVE: f64 = 200.0;
/// Calls of a function that are needed before its successor counts are used.
const MIN_CHAIN_CALLS: f64 = 4.0;
/// A successor is preloaded when it follows more than this share of the calls of a function.
const PRELOAD_SHARE: f64 = 0.5;
/// Preload orders in progress at once. The limit keeps preloads from overloading the function store.
const MAX_PRELOADS: usize = 4;
/// Load orders that preloads must leave in the budget for waiting requests.
const RESERVED_ORDERS: f64 = 2.0;
/// Interval of checks for held requests, silent workers and copies that are about to be unloaded.
const TICK_US: Micros = 20_000;
/// The same at a router with little traffic and no held requests: hundreds of idle ticks a second would be
/// all its work.
const IDLE_TICK_US: Micros = 100_000;
/// Weight of one tick in the running means of requests in flight: a time constant of about one second.
const TICK_WEIGHT: f64 = 0.02;
/// A worker is crowded above this multiple of the mean load per size, as in bounded-load hashing.
const CROWDED_MULTIPLE: f64 = 1.5;
/// A worker of mean size with no more requests than this is never crowded: so few do not slow it down.
const MIN_CROWDED_LOAD: f64 = 4.0;
/// A function's calls are spread over this multiple of the workers that they would keep at the mean load.
/// Functions that share a worker by chance then share small parts of their load rather than all of it.
const SPREAD_FACTOR: f64 = 4.0;
/// Loads that differ by less than this many requests, for mean size, count as equal: that is noise.
const LOAD_STEP: f64 = 0.25;
/// The same for the square roots of loads known by gossip. These are sampled counts, and the root of a
/// sampled count has the same standard deviation whatever the count.
const ROOT_LOAD_STEP: f64 = 0.7;
/// A worker is silent when attempts on loaded copies are older than this multiple of the usual duration
/// and than [`MIN_SILENCE_US`].
const SILENT_MULTIPLE: f64 = 5.0;
/// Attempts younger than this are never overdue: the durations of short calls vary more.
const MIN_SILENCE_US: Micros = 600_000;
/// Share of overdue attempts that never get an answer, above which safe requests are cancelled and retried.
const MIN_LOSS: f64 = 0.5;
/// A worker has almost stopped when at least this many of its attempts, and more than half, are overdue.
const MIN_STUCK_ATTEMPTS: u32 = 3;
/// Above this share of stuck and unhealthy workers, the cause is overload, and no stuck worker is rested.
const MAX_STUCK_SHARE: f64 = 0.34;
/// Rest of an unhealthy worker, in which it gets no requests. A trial follows, and each failed trial doubles
/// the rest, up to [`MAX_REST_US`].
const MIN_REST_US: Micros = 1_000_000;
/// See [`MIN_REST_US`].
const MAX_REST_US: Micros = 8_000_000;
/// A worker that rejected a class and tenant though it has room gets no such requests for this time.
const REJECTION_MEMORY_US: Micros = 15_000_000;
/// A worker is unhealthy when more than this share of its recent attempts and more than [`MIN_FAILURES`] of
/// them failed.
const MAX_FAILURE_SHARE: f64 = 0.3;
/// See [`MAX_FAILURE_SHARE`]; a router that sends the worker few requests needs fewer failures.
const MIN_FAILURES: f64 = 2.0;
/// Requests per window that all routers together may always send to a starting worker: without any, it
/// neither warms up nor shows that it is healthy.
const MIN_COLD_REQUESTS: f64 = 2.0;
/// Time after a worker returns to service in which copies are ordered on it ahead of calls.
const RESTORE_PERIOD_US: Micros = 5_000_000;
/// A copy is renewed when it would be unloaded within this time, which covers an order and its load.
const RENEW_LEAD_US: Micros = 1_500_000;
/// Copies of functions not called for this multiple of the keep-alive are no longer renewed.
const RENEW_MULTIPLE: f64 = 2.5;
/// When a copy stays idle although all routers together should have sent it this many calls, the calls
/// have stopped.
const MAX_MISSED: f64 = 3.0;
/// A tenant exceeds its quota above this multiple of it: traffic is bursty, and a router sees only a part.
const QUOTA_TOLERANCE: f64 = 1.1;
/// Slowness, as answer time over latency aim, above which a worker may be passed over. It is well below 1,
/// as the work of calls varies.
const MAX_WORKER_SLOWNESS: f64 = 0.3;
/// Slowness of the whole fleet above which a part of the requests is held, then refused.
const MAX_FLEET_SLOWNESS: f64 = 0.6;
/// A worker is a slow outlier above this multiple of the mean slowness of the others.
const OUTLIER_MULTIPLE: f64 = 3.0;
/// A request that finds no room is held for at most this share of its latency aim and at most
/// [`MAX_CLIENT_TIME_SHARE`] of the time until its client gives up, then refused.
const MAX_HOLD_SHARE: f64 = 0.3;
/// See [`MAX_HOLD_SHARE`]; an early refusal leaves the client time for a retry.
const MAX_CLIENT_TIME_SHARE: f64 = 0.4;

// ------------------------------------------------------------------------------------------------- events

impl Router {
    /// Creates a router without any state. The same seed and events always give the same actions.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.check()?;
        let tenant_rates = vec![0.0; settings.tenants.len()];
        let rng = fastrand::Rng::with_seed(seed);
        Ok(Self(Core { settings, rng, seed, tenant_rates, ..Core::default() }))
    }

    /// Handles one event and appends the resulting actions. Late, repeated and unknown ids are ignored.
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
            Event::List { kind, entries } => self.apply_list(kind, entries),
            Event::Arrival { request, class, tenant, function, due, lanes, repeat, hint } => {
                let (past, preferred) = (std::mem::take(&mut self.past), std::mem::take(&mut self.preferred));
                // A request that arrived before the settings changed keeps its terms; its class may be gone.
                let terms = self.arrival_terms.take().or(self.settings.classes.get(class).copied());
                let Some(terms) = terms.filter(|_| !self.requests.contains_key(&request)) else { return };
                let (counted, learned) = self.record_call(&function, tenant, lanes);
                let fresh = Request {
                    class,
                    terms,
                    max_attempts: terms.attempts.unwrap_or(self.settings.max_attempts),
                    tenant,
                    arrived: self.now,
                    worth: self.worth(&terms, tenant, repeat),
                    function: function.clone(),
                    due,
                    attempts: past,
                    answered: false,
                    held: false,
                    counted,
                    learned,
                    streaming: false,
                    admission_draw: 1.0 - self.rng.f64(),
                    hint,
                    preferred,
                };
                self.mean_worth = running_mean(self.mean_worth, fresh.worth, AVERAGE_WEIGHT);
                self.requests.insert(request.clone(), fresh);
                // A new request does not overtake held requests that are worth more.
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
                    // Most clients that leave retry at once, and must not use room twice.
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
                self.attempt_ended(&request, attempt, &worker, seen, out);
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
            Event::Handover(state) => self.inherit(state),
            Event::PastAttempts(past) => self.set_past_attempts(past),
            Event::PreferredLocations(preferred) => self.preferred = preferred,
            Event::ArrivalTerms(terms) => self.arrival_terms = Some(terms),
            Event::Renumbered(renumbering) => self.renumber(&renumbering),
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

    /// Periodic work: decays the running means, sends gossip, rests silent workers, renews copies and
    /// dispatches held requests.
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
            w.attempts *= slower;
            w.failures *= slower;
        }
        for p in self.functions.values_mut().flat_map(|f| f.places.values_mut()) {
            p.mean_in_flight += (p.in_flight as f64 - p.mean_in_flight) * (1.0 - fade);
        }
        if now - self.last_halving >= HALVING_PERIOD_US && self.served_calls >= MIN_CALLS_TO_HALVE {
            self.last_halving = now;
            self.halve_functions(4 * HALVING_PERIOD_US);
        }
        self.send_gossip(out);
        self.rest_silent_workers(out);
        self.renew_copies(out);
        // Held requests by worth, newest first among equals: the oldest are the likeliest to time out.
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

/// Outcome of routing a request.
enum Route {
    Send(WorkerId),
    /// A load is in progress: the router holds the request until it ends.
    AwaitLoad,
    /// No worker has room.
    Busy,
}

impl Core {
    /// The load per size above which a worker is crowded.
    fn crowding_threshold(&self) -> f64 {
        let mean = self.totals.load / self.totals.up.max(1.0);
        (CROWDED_MULTIPLE * mean).max(MIN_CROWDED_LOAD) / self.mean_size()
    }

    /// Number of workers, from the first in rendezvous order, that a function's calls are spread over by
    /// its share of the calls. Used where this router's own calls do not show where copies are loaded: the
    /// other routers use the same workers, so these are presumed loaded.
    pub(crate) fn spread(&self, f: &Function) -> usize {
        let n = SPREAD_FACTOR * self.share(f) * self.totals.up * (1.0 - self.trust());
        if n < 2.0 || self.gossip.reliable {
            0
        } else {
            n as usize
        }
    }

    /// Number of workers that a function may be loaded on: two, and more as its calls need lanes. Calls
    /// that find no room there wait, as further copies elsewhere would evict functions that others need.
    fn max_candidates(&self, f: &Function) -> usize {
        let running = self.share(f) * self.totals.in_flight * self.settings.routers as f64;
        2 + self.spread(f).max((running / f.lanes.max(1) as f64) as usize)
    }

    /// Chooses where to send a request now, and orders copies of its function where they are needed.
    fn route(&mut self, id: &RequestId, out: &mut Vec<Action>) -> Route {
        let function = self.requests[id].function.clone();
        self.rank(&function);
        if self.now - self.totals.updated_at >= TICK_US {
            self.update_totals();
        }
        let mut rng = self.rng.fork();
        let (Some(r), Some(f)) = (self.requests.get(id), self.functions.get(&function)) else {
            return Route::Busy;
        };
        // Where this router sees too little of single workers, it sends a slow fleet only a random part of
        // the requests, chosen by worth.
        let part = (MAX_FLEET_SLOWNESS / self.slowness).powf(self.mean_worth / r.worth);
        if self.slowness > MAX_FLEET_SLOWNESS && r.admission_draw > part.max(self.trust()) {
            return Route::Busy;
        }
        let panic = self.is_panicking();
        let allowed = |n: &WorkerId, w: &Worker| self.usable(&n.0, w, r, panic) && self.may_retry_on(r, n, w);
        let elsewhere = |n: &WorkerId, w: &Worker| !r.may_meet_another_process(n) && allowed(n, w);
        let goes_elsewhere = r.avoids_workers() && self.workers.iter().any(|(n, w)| elsewhere(n, w));
        let usable = |n: &WorkerId, w: &Worker| if goes_elsewhere { elsewhere(n, w) } else { allowed(n, w) };
        let limit = self.crowding_threshold();
        let others = (self.settings.routers - 1) as f64 * self.trust();
        let lanes = f.lanes.max(1) as f64;
        let gossip = self.gossip.reliable;
        let queue = |p: &Placement, w: &Worker| {
            let theirs = if gossip { self.gossip.at_place(f.key, w.key) } else { others * p.mean_in_flight };
            (p.in_flight as f64 + theirs) / (lanes * p.copies.max(1) as f64)
        };
        // With gossip the whole load is known, so a starting worker counts with the part of its size that it
        // can use now.
        let pressure = |w: &Worker| self.load(w) / w.size / if gossip { self.warmth(w) } else { 1.0 };
        // Each worker that was full doubles the number of candidates: a router with little traffic finds
        // copies that way.
        let full_count = r.attempts.iter().filter(|t| t.ended == Some(Outcome::Full)).count();
        let widened = if full_count > 0 && self.trust() < 0.5 { 1 << (full_count + 1).min(9) } else { 0 };
        let spread = self.spread(f).max(widened);
        let candidates = self.ranked(f).filter(|(n, w)| usable(n, w));
        let candidates: Vec<_> = candidates.take(self.max_candidates(f).max(spread)).collect();
        let missing = |n| f.places.get(n).is_some_and(|p| p.missed_until > self.now || p.loading.is_some());
        let presumed = candidates.iter().take(spread).map(|(n, _)| *n).filter(|n| !missing(n));
        let presumed: BTreeSet<_> = presumed.collect();
        let unknown = Placement::default();
        let known = f.places.iter().filter(|(n, _)| !presumed.contains(n));
        let places = known.chain(presumed.iter().map(|n| (*n, f.places.get(n).unwrap_or(&unknown))));
        // The usual path: the least loaded worker with a loaded copy and room, a random one by size among
        // about equal ones. Preferred locations take precedence over load, unless the worker is slow.
        let location_rank = |n: &WorkerId, w: &Worker| match w.slowness < MAX_WORKER_SLOWNESS {
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
                let score = per_size * self.mean_size()
                    + w.slowness / MAX_WORKER_SLOWNESS
                    + self.overlap(f, p, spread);
                let (level, tie) = if gossip {
                    // Gossip is up to a period old: with finer steps, all routers would choose the worker
                    // that was least loaded at that time.
                    let apart = score.max(MIN_CROWDED_LOAD).sqrt() / ROOT_LOAD_STEP
                        + if w.is_connected(self.now) { 0.0 } else { 1.0 };
                    (apart.round(), w.tie_break)
                } else {
                    ((score / LOAD_STEP).round(), -rng.f64().max(1e-9).ln() / w.size)
                };
                let at = location_rank(n, w);
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
        // A worker that returned to service has no copies, so no call would go there: functions that belong
        // there are ordered ahead of calls.
        let lacks_copy = |n| f.places.get(n).is_none_or(|p| p.warm_until <= self.now && p.loading.is_none());
        let restored = |n, w: &Worker| {
            w.restored_at > 0 && self.now - w.restored_at < RESTORE_PERIOD_US && f.known && lacks_copy(n)
        };
        let restored = candidates.iter().find(|(n, w)| restored(*n, w)).map(|(n, _)| (*n).clone());
        if let Some((.., n)) = best {
            if let Some(restored) = restored {
                self.order(&restored, &function, 1, true, out);
            }
            return Route::Send(n);
        }
        // A slow outlier is passed over; `mean` is the mean slowness of the other workers. Where all workers
        // are slow, more copies would only evict others.
        let mean =
            |w: &Worker| (self.totals.slowness - w.slowness).max(0.0) / (self.totals.up - 1.0).max(1.0);
        let outlier = |w: &Worker| {
            w.slowness > MAX_WORKER_SLOWNESS.max(OUTLIER_MULTIPLE * mean(w)) && mean(w) < MAX_WORKER_SLOWNESS
        };
        let accepts = |w: &Worker| !outlier(w) && (gossip || w.accepts_loads(self.now));
        let target = candidates
            .iter()
            .find(|(_, w)| accepts(w))
            .or(candidates.first())
            .filter(|(_, w)| self.admits(w));
        // With gossip, all routers know the loads and pass over the same crowded workers.
        let has_room = |w: &Worker| self.admits(w) && pressure(w) < limit && w.accepts_loads(self.now);
        let nearest = self.ranked(f).find(|(n, w)| gossip && usable(n, w) && has_room(w));
        let target = nearest.or(target.copied()).map(|(n, _)| n.clone());
        let free = |n, w: &Worker| lacks_copy(n) && has_room(w);
        let overflow = candidates.iter().find(|(n, w)| free(*n, w)).map(|(n, _)| (*n).clone());
        if let Some((_, n)) = waiting {
            let p = f.places.get(&n).unwrap_or(&unknown);
            let warm = p.warm_until > self.now || presumed.contains(&n);
            // Waiting for a lane or a load must leave enough time to answer within the latency aim.
            let queue = self.workers.get(&n).map_or(0.0, |w| queue(p, w));
            let aim = r.terms.aim as f64;
            let full = queue > 1.0 + MAX_HOLD_SHARE * aim / self.usual_duration.max(1.0) && p.in_flight > 0;
            let has_room = self.workers.get(&n).is_some_and(|w| pressure(w) < limit);
            // All lanes are busy: order one more copy there, or on the next worker in rendezvous order when
            // this one is crowded.
            if warm && has_room {
                let copies = p.copies.max(1) + 1;
                self.order(&n, &function, copies, true, out);
            } else if let Some(h) = overflow.filter(|_| warm) {
                self.order(&h, &function, 1, true, out);
            }
            if !warm && self.settings.when_cold == WhenCold::Misses {
                return Route::AwaitLoad;
            }
            return if full { Route::Busy } else { Route::Send(n) };
        }
        // A load that this router ordered may be at a worker without room just now. Ordering more elsewhere
        // would use up the load budget.
        if gossip && f.places.iter().any(|(n, p)| p.ordered && self.workers.get(n).is_some_and(|w| w.up)) {
            return Route::AwaitLoad;
        }
        let Some(h) = target else { return Route::Busy };
        let missed = r.attempts.iter().any(|t| (gossip || t.worker == h) && t.ended == Some(Outcome::Miss));
        // When gossip is complete and reports no copy, no worker has one. A call sent to find that out
        // would use a cold worker's limited capacity and open a connection.
        let nowhere = f.known && self.gossip.is_complete(self.now, self.settings.keep);
        if self.settings.when_cold == WhenCold::Misses && (missed || nowhere) {
            // After a miss, one copy is ordered, and the request is sent again once it is loaded.
            self.order(&h, &function, 1, false, out);
            let ordered = self.functions[&function].places.get(&h).is_some_and(|p| p.ordered);
            if ordered || !gossip {
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
    /// Counts a call. Returns whether it counts for the load budget, and whether it is learnt from: calls of
    /// functions that no worker is known to have do not count for the budget, as clients may invent names.
    fn record_call(&mut self, id: &FunctionId, tenant: Option<usize>, lanes: u32) -> (bool, bool) {
        if let Some(rate) = tenant.and_then(|t| self.tenant_rates.get_mut(t)) {
            *rate += TICK_WEIGHT * 1e6 / TICK_US as f64;
        }
        let learned = self.open_function(id, tenant, lanes);
        let known = self.functions.get(id).is_some_and(|f| f.known);
        if known {
            self.count_for_budget(self.now);
        }
        (known, learned)
    }

    /// Algorithm 2: orders the most likely successor that is not loaded, if its share is above the
    /// threshold.
    fn preload_successor(&mut self, id: &FunctionId, out: &mut Vec<Action>) {
        let Some(f) = self.functions.get(id) else { return };
        let likely =
            f.successors.iter().filter(|(_, n)| f.calls >= MIN_CHAIN_CALLS && **n / f.calls > PRELOAD_SHARE);
        let cold = likely.filter(|(s, _)| self.functions.get(*s).is_some_and(|s| !s.is_loaded(self.now)));
        let Some(next) = cold.max_by(|a, b| a.1.total_cmp(b.1)).map(|(s, _)| s.clone()) else { return };
        self.rank(&next);
        let panic = self.is_panicking();
        let usable = |w: &Worker| w.up && !w.on_trial && (panic || w.unhealthy_until <= self.now);
        let target = self.ranked(&self.functions[&next]).find(|(_, w)| usable(w)).map(|(n, _)| n.clone());
        if let Some(h) = target {
            self.order(&h, &next, 1, true, out);
        }
    }

    /// Renews copies that are about to be unloaded while calls still come: calls at the interval of the
    /// keep-alive, as from timers, would find each copy just unloaded. A router sees only its part of the
    /// calls: where all routers together should have sent several, either others keep the copy in use or
    /// the calls have stopped.
    fn renew_copies(&mut self, out: &mut Vec<Action>) {
        let (now, ttl) = (self.now, (self.settings.keep as f64 * RENEW_MULTIPLE) as Micros);
        let soon = |p: &Placement| (now + 1..now + RENEW_LEAD_US).contains(&p.warm_until) && p.in_flight == 0;
        // Calls due from all routers within the keep-alive, for each call counted here.
        let due = self.settings.routers as f64 * self.settings.keep as f64 / (2 * HALVING_PERIOD_US) as f64;
        let active = |f: &Function| f.call_count > 1 && now - f.last_call < ttl && f.calls * due < MAX_MISSED;
        let wanted = self.functions.iter().filter(|(_, f)| active(f));
        let newest =
            wanted.filter_map(|(id, f)| Some((id, f.places.iter().max_by_key(|(_, p)| p.warm_until)?)));
        let due = newest.filter(|(_, (_, p))| soon(p)).map(|(id, (n, _))| (n.clone(), id.clone()));
        for (n, id) in due.collect::<Vec<_>>() {
            if self.workers.get(&n).is_some_and(|w| w.unhealthy_until <= now) {
                self.order(&n, &id, 1, true, out);
            }
        }
    }

    /// Orders copies to be loaded if the settings, the worker and the load budget allow it. `ahead` marks a
    /// preload: an order that no request waits for.
    fn order(&mut self, worker: &WorkerId, id: &FunctionId, copies: u32, ahead: bool, out: &mut Vec<Action>) {
        let now = self.now;
        let crowded = ahead && self.preloads.len() >= MAX_PRELOADS;
        if !self.settings.orders
            || crowded
            || !self.workers.get(worker).is_some_and(|w| w.up && w.accepts_loads(now))
        {
            return;
        }
        let Some(f) = self.functions.get_mut(id) else { return };
        let p = f.places.entry(worker.clone()).or_default();
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
            self.preloads.insert((worker.clone(), id.clone()));
        }
        out.push(Action::Load { worker: worker.clone(), function: id.clone(), copies: copies.min(16) });
        self.queue_news(worker, id, Status::Loading);
    }

    /// Records the result of a load order and dispatches the held requests for the function.
    fn load_ended(&mut self, worker: &WorkerId, id: &FunctionId, end: (Outcome, u32), out: &mut Vec<Action>) {
        let (outcome, copies) = end;
        self.preloads.remove(&(worker.clone(), id.clone()));
        let (now, keep) = (self.now, self.settings.keep);
        let Some(p) = self.functions.get_mut(id).and_then(|f| f.places.get_mut(worker)) else { return };
        // The worker restarted since the order was sent, so nothing of the load is left.
        let lost = outcome == Outcome::Reset && p.loading.is_none() && p.warm_until == 0;
        (p.ordered, p.loading) = (false, None);
        if outcome == Outcome::NotSent {
            // This says nothing about the worker. Ordering again at once could loop without end.
            self.orders.pop_back();
            return;
        }
        p.copies = copies;
        p.warm_until = if copies > 0 { now + keep } else { 0 };
        if copies > 0 {
            self.mark_served(id);
        }
        let status =
            [Status::Gone, Status::Serving(0), Status::Copies(copies.min(4) as u8)][copies.min(2) as usize];
        self.queue_news(worker, id, status);
        let Some(p) = self.functions.get_mut(id).and_then(|f| f.places.get_mut(worker)) else { return };
        match outcome {
            // The worker carries out an order that it has received, even if the connection breaks: calls
            // wait there for the load.
            Outcome::Reset if !lost => (p.warm_until, p.copies) = (now + keep / 2, 1),
            Outcome::ConnectFailed => self.record_failure(worker, outcome, out),
            // All its memory is in use, or it drains and the list does not show it yet. Ordering there
            // again at once would use up the load budget of every router in a large fleet.
            Outcome::Full if copies == 0 => self.mark_no_room(worker),
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
    /// Sends the next attempt of a request, holds the request, or ends it.
    fn dispatch(&mut self, id: &RequestId, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get(id) else { return };
        if r.answered || r.streaming || r.attempts.iter().any(|t| t.ended.is_none()) {
            return;
        }
        // Held requests are checked once a tick; answer while the client certainly still waits.
        let max_attempts = r.max_attempts.min(self.settings.max_attempts);
        if r.attempts.len() as u32 >= max_attempts || self.now + 2 * TICK_US >= r.due || !self.may_retry(r) {
            return self.finish_unserved(id, out);
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
                    self.finish_unserved(id, out);
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
                let leave_by = retry_deadline(r);
                let (zone, cell) = self.workers.get(&n).map_or((None, None), |w| (w.zone, w.cell));
                let attempt =
                    Attempt { worker: n.clone(), zone, cell, sent: now, warm, lane_free, ended: None };
                r.attempts.push(attempt);
                // Only the client's time-out applies: a retry of a request that waits for a load or a lane
                // would make both queues longer.
                out.push(Action::Send { request: id.clone(), worker: n, timeout: None, leave_by });
            }
        }
    }

    /// Allows no further attempt: the request ends with its attempt in progress, or at once if there is
    /// none.
    fn limit_attempts(&mut self, id: &RequestId, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get_mut(id).filter(|r| !r.answered) else { return };
        r.max_attempts = r.attempts.len() as u32;
        if r.attempts.iter().all(|t| t.ended.is_some()) {
            self.finish_unserved(id, out);
        }
    }

    /// Gives the final answer when no further attempt is possible: a refusal if a retry is harmless, else a
    /// failure.
    fn finish_unserved(&mut self, id: &RequestId, out: &mut Vec<Action>) {
        let harmless = self.may_refuse(id);
        let Some(r) = self.requests.get_mut(id).filter(|r| !r.answered) else { return };
        (r.answered, r.held) = (true, false);
        out.push(if harmless {
            // A client's retry mostly misses the latency aim: the later it comes, the less it takes from
            // others.
            let retry_after = self.settings.max_retry_after;
            Action::Refuse { request: id.clone(), retry_after }
        } else {
            Action::Fail { request: id.clone() }
        });
        self.forget(id);
    }

    /// Learns from the end of an attempt, then retries or ends its request.
    fn attempt_ended(
        &mut self,
        id: &RequestId,
        attempt: u32,
        worker: &WorkerId,
        (outcome, finished, duration, found, report): AttemptResult,
        out: &mut Vec<Action>,
    ) {
        let now = self.now;
        let Some(r) = self.requests.get_mut(id) else { return };
        r.answered |= finished;
        let Some(t) =
            r.attempts.get_mut(attempt as usize).filter(|t| t.ended.is_none() && t.worker == *worker)
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
            if outcome == Outcome::Error {
                f.refute();
            }
            f.known
        });
        if counts {
            self.count_for_budget(arrived);
        }
        if outcome == Outcome::Done {
            self.learn_served_call(id, &function);
        }
        if let Some(w) = self.workers.get_mut(worker) {
            w.in_flight = w.in_flight.saturating_sub(1);
            w.awaiting = w.awaiting.saturating_sub(u32::from(!warm));
            report.into_iter().for_each(|r| w.learn_other_load(now, r));
            w.attempts += if outcome == Outcome::NoConnection { 0.0 } else { 1.0 };
            use Outcome::*;
            if !matches!(outcome, TimedOut | ConnectFailed | Cancelled | NotSent | NoConnection) {
                (w.last_heard, w.last_answer) = (now, now);
            }
        }
        // An answer from an earlier process of the worker says nothing about its present one.
        let earlier = self.workers.get(worker).is_some_and(|w| w.started > sent);
        let (keep, mut news) = (self.settings.keep, None);
        if let Some(p) = self.functions.get_mut(&function).and_then(|f| f.places.get_mut(worker)) {
            p.in_flight = p.in_flight.saturating_sub(1);
            match outcome {
                _ if earlier => {}
                Outcome::Done => {
                    (p.warm_until, p.loading, p.copies) = (now + keep, None, p.copies.max(1));
                    news = (now - p.announced > keep / ANNOUNCE_AGAIN_DIVISOR).then_some(Status::Serving(0));
                }
                Outcome::Miss => {
                    news = (p.warm_until > now).then_some(Status::Gone);
                    (p.warm_until, p.copies, p.missed_until) = (0, 0, now + keep / 4);
                    p.loading = p.loading.filter(|_| p.ordered);
                }
                Outcome::ConnectFailed => (p.warm_until, p.copies, p.loading) = (0, 0, None),
                _ => p.loading = p.loading.filter(|since| *since > sent),
            }
        }
        news.into_iter().for_each(|status| self.queue_news(worker, &function, status));
        match outcome {
            Outcome::Done => {
                let loaded = found.map_or(warm, |f| f == Found::Warm);
                self.done_rate += TICK_WEIGHT * 1e6 / TICK_US as f64;
                if let Some(w) = self.workers.get_mut(worker) {
                    (w.on_trial, w.rest_time) = (false, 0);
                }
                let of_aim = |time: Micros| (time as f64 / aim.max(1) as f64).min(2.0);
                // Where answers do not report what they found, most come from loaded copies.
                if loaded || found.is_none() {
                    self.slowness = running_mean(self.slowness, of_aim(now - arrived), AVERAGE_WEIGHT);
                }
                if loaded {
                    self.usual_duration = running_mean(self.usual_duration, duration as f64, AVERAGE_WEIGHT);
                    self.learn_limit(worker, (duration, hint), lane_free);
                    self.learn_slowness(worker, of_aim(duration));
                }
            }
            Outcome::Full | Outcome::NoConnection => {
                if let Some(w) = self.workers.get_mut(worker) {
                    w.rejections.retain(|rejection| rejection.2 > now);
                    // A full queue rejects at once; a slow rejection concerns this class and tenant.
                    // The classes of requests that a change of settings left without one are not compared.
                    let valid = class < self.settings.classes.len();
                    if duration > TICK_US && outcome == Outcome::Full && valid {
                        w.rejections.push((class, tenant, now + REJECTION_MEMORY_US));
                    } else {
                        w.full_until = now + 5 * TICK_US;
                    }
                }
            }
            // Orders a copy there for the next call; this request may find another copy meanwhile.
            Outcome::Miss => self.order(worker, &function, 1, true, out),
            Outcome::NotSent | Outcome::Cancelled => {}
            // Two workers do not know the function: no worker does, and the client invented the name.
            Outcome::Error if !known && errors > 1 => return self.finish_unserved(id, out),
            // An error for an unknown function does not count against the worker, where this router sees
            // enough other answers of it to judge.
            Outcome::Error if !known && self.trust() > 0.5 => {}
            // An early client time-out says nothing about the worker, but a router with little traffic
            // would rest the worker for it alone.
            Outcome::TimedOut if self.sees_little() && duration < self.overdue_age() => {}
            _ if earlier => {}
            // A time-out counts against the worker only if it has sent nothing since the attempt was sent.
            Outcome::TimedOut if !warm || self.workers.get(worker).is_none_or(|w| w.last_heard > sent) => {}
            _ => self.record_failure(worker, outcome, out),
        }
        if warm && duration > self.overdue_age() && matches!(outcome, Outcome::Done | Outcome::TimedOut) {
            self.loss += (f64::from(u8::from(outcome != Outcome::Done)) - self.loss) * 2.0 * AVERAGE_WEIGHT;
        }
        match outcome {
            Outcome::Full if duration <= TICK_US => self.learn_slowness(worker, 2.0),
            // The answer would have taken at least this long; an early client time-out says no more.
            Outcome::TimedOut => {
                let least = (duration as f64 / aim.max(1) as f64).min(2.0);
                if self.workers.get(worker).is_some_and(|w| w.slowness < least) {
                    self.learn_slowness(worker, least);
                }
            }
            _ => {}
        }
        let r = &self.requests[id];
        if r.answered {
            self.forget(id);
        } else if self.may_retry(r) && outcome != Outcome::NotSent {
            self.dispatch(id, out);
        } else if r.attempts.iter().all(|t| t.ended.is_some()) {
            self.finish_unserved(id, out);
        }
    }
}

// -------------------------------------------------------------------------------------- health and guards

impl Core {
    /// Whether the worker has room for one more request, by the requests running there alone: an estimate
    /// of its speed that only answers update would, once wrong, keep away the requests that could correct
    /// it. Requests that await a load use no core.
    fn admits(&self, w: &Worker) -> bool {
        let room = self.running(w) < self.concurrency_limit.get() * w.size / self.mean_size();
        // Gossip is up to a period old: a limit on it would make all routers leave the worker at the same
        // time, and return at the same time.
        (room || self.gossip.reliable) && w.full_until <= self.now
    }

    /// Whether the worker may be sent this request now.
    fn usable(&self, name: &str, w: &Worker, r: &Request, panic: bool) -> bool {
        let here = |t: &&Attempt| self.workers.get(&t.worker).is_some_and(|x| std::ptr::eq(x, w));
        let ended = |t: &Attempt| {
            t.ended.filter(|e| !matches!(e, Outcome::Miss | Outcome::Full | Outcome::NoConnection))
        };
        // One broken connection does not count against its worker; two do.
        let fails = |t: &Attempt| ended(t).map_or(0, |e| if e == Outcome::Reset { 1 } else { 2 });
        let failed_here = r.attempts.iter().filter(here).map(fails).sum::<u32>() >= 2;
        let safe = r.terms.effect == Effect::Safe;
        let well = panic || (w.unhealthy_until <= self.now && (!w.on_trial || (safe && w.in_flight == 0)));
        let rejected = w.rejections.iter().any(|s| (s.0, s.1) == (r.class, r.tenant) && s.2 > self.now);
        w.up && well && !rejected && self.has_cold_capacity(name, w) && !failed_here
    }

    /// Whether a starting worker may get one more request: it gets at most its share of what a warm worker
    /// is observed to serve.
    fn has_cold_capacity(&self, name: &str, w: &Worker) -> bool {
        let s = &self.settings;
        if self.warmth(w) >= 1.0 {
            return true;
        }
        let budget = self.cold_share(w).max(MIN_COLD_REQUESTS / s.routers as f64);
        // The fraction of a request is admitted at random, drawn again each half window. Hundreds of
        // routers whose share is far below one then keep the limit together, and none is excluded for good.
        let half_window = 2 * self.now / s.fall_window.max(1);
        let extra = hash(name, &format!("{}/{half_window}", self.seed)) < budget.fract() / 2.0;
        let sent = w.cold_sends.iter().filter(|t| self.now - **t < s.fall_window).count();
        sent < budget as usize + usize::from(extra)
    }

    /// Whether most workers are unhealthy by this router's records: then the records are taken to be wrong.
    fn is_panicking(&self) -> bool {
        self.totals.unhealthy * 2.0 > self.totals.up
    }

    /// Counts a failure of a worker. A failed connect rests it at once, other failures rest it by their
    /// share of its attempts. A broken connection is one failure, however many attempts end with it:
    /// resting the worker for each would starve the fleet.
    fn record_failure(&mut self, worker: &WorkerId, outcome: Outcome, out: &mut Vec<Action>) {
        // A router that sends the worker few requests cannot wait for a second failure.
        let trust = self.trust();
        let Some(w) = self.workers.get_mut(worker) else { return };
        let broken = outcome == Outcome::ConnectFailed;
        if outcome == Outcome::Reset && self.now - std::mem::replace(&mut w.last_reset, self.now) < TICK_US {
            return;
        }
        w.failures += 1.0;
        if broken {
            // It may be restarting long before the list shows it: cold until it has had time to warm up.
            w.cold_since = self.now;
        }
        let often = w.failures > MIN_FAILURES * trust && w.failures > MAX_FAILURE_SHARE * w.attempts;
        if (broken || often || w.on_trial) && outcome != Outcome::Full {
            self.rest_worker(worker, out);
        }
    }

    /// Sends the worker no requests for a while; it then gets one safe request at a time as a trial.
    fn rest_worker(&mut self, worker: &WorkerId, out: &mut Vec<Action>) {
        let now = self.now;
        let first = if self.trust() > 0.5 { MIN_REST_US } else { MAX_REST_US };
        let Some(w) = self.workers.get_mut(worker).filter(|w| w.unhealthy_until <= now) else { return };
        w.rest_time = (w.rest_time * 2).clamp(first, MAX_REST_US);
        (w.unhealthy_until, w.on_trial) = (now + w.rest_time, true);
        (w.failures, w.attempts) = (0.0, 0.0);
        out.push(Action::Log { text: format!("worker {} rests for {} ms", worker.0, w.rest_time / 1000) });
    }

    /// Age from which an attempt on a loaded copy is overdue.
    fn overdue_age(&self) -> Micros {
        ((self.usual_duration * SILENT_MULTIPLE) as Micros).max(MIN_SILENCE_US)
    }

    /// Rests workers that accept requests without answering: attempts on loaded copies are overdue, and the
    /// worker has sent nothing since.
    fn rest_silent_workers(&mut self, out: &mut Vec<Action>) {
        let limit = self.overdue_age();
        let (mut unanswered, mut overdue): (BTreeMap<&WorkerId, u32>, BTreeMap<&WorkerId, u32>) =
            Default::default();
        for r in self.requests.values() {
            for t in r.attempts.iter().filter(|t| t.ended.is_none() && t.warm) {
                let age = self.now - t.sent;
                if age > limit {
                    *overdue.entry(&t.worker).or_default() += 1;
                }
                if age > limit && self.workers.get(&t.worker).is_some_and(|w| w.last_heard <= t.sent) {
                    *unanswered.entry(&t.worker).or_default() += 1 + u32::from(age > 2 * limit);
                }
            }
        }
        let enough = if self.trust() > 0.5 { 2 } else { 1 };
        let mut silent: BTreeSet<_> =
            unanswered.into_iter().filter(|(_, k)| *k > enough).map(|(n, _)| n.clone()).collect();
        // A worker that answers now and then, while most of its attempts are overdue, has almost stopped.
        let stuck = overdue.into_iter().filter(|(n, k)| {
            let w = self.workers.get(*n).filter(|w| w.up && w.unhealthy_until <= self.now);
            w.is_some_and(|w| *k >= MIN_STUCK_ATTEMPTS && *k * 2 > w.in_flight)
        });
        let stuck: Vec<_> = stuck.map(|(n, _)| n.clone()).collect();
        if stuck.len() as f64 + self.totals.unhealthy <= MAX_STUCK_SHARE * self.totals.up {
            silent.extend(stuck);
        }
        // Where overdue attempts mostly get no answer at all, a safe request is cancelled, so that it is
        // retried while there is time.
        let retry_lost = self.loss > MIN_LOSS && self.slowness < MAX_FLEET_SLOWNESS && self.settings.cancel;
        for (id, r) in self.requests.iter().filter(|(_, r)| retry_lost && !r.answered && !r.streaming) {
            let safe = r.terms.effect == Effect::Safe;
            let k = r.attempts.iter().position(|t| t.ended.is_none() && t.warm && self.now - t.sent > limit);
            if let (true, Some(k)) =
                (safe && r.attempts.iter().all(|t| t.ended != Some(Outcome::Cancelled)), k)
            {
                out.push(Action::Cancel { request: id.clone(), attempt: k as u32 });
            }
        }
        for n in silent {
            self.rest_worker(&n, out);
            if !self.settings.cancel || self.is_panicking() {
                continue;
            }
            // Requests that may be repeated are cancelled there, and sent elsewhere once that is confirmed.
            for (id, r) in &self.requests {
                for (k, t) in
                    r.attempts.iter().enumerate().filter(|(_, t)| t.ended.is_none() && t.worker == n)
                {
                    let is_overdue = !r.answered && !r.streaming && self.now - t.sent > limit;
                    if is_overdue && self.may_cancel_for_retry(r, &n) {
                        out.push(Action::Cancel { request: id.clone(), attempt: k as u32 });
                    }
                }
            }
        }
    }

    /// Expected worth of an answer: less when the tenant exceeds its quota, as far as this router can see,
    /// and less for a client's retry, whose latency aim has mostly passed.
    fn worth(&self, c: &Class, tenant: Option<usize>, repeat: bool) -> f64 {
        let over = tenant.is_some_and(|t| match (self.settings.tenants.get(t), self.tenant_rates.get(t)) {
            (Some(t), Some(rate)) => rate * self.settings.routers as f64 > t.quota * QUOTA_TOLERANCE,
            _ => false,
        });
        c.worth
            * if over { self.settings.over_share_worth } else { 1.0 }
            * if repeat { c.late_worth } else { 1.0 }
    }
}
