//! Routes turns of conversations. `wheellink_turns` advises the sites for a call, this module passes them to the engine
//! as preferred locations, and it reports attempts and answers back. Without `[turns]` in an operator's file this is off,
//! and on the platform it is always off.

use std::hash::Hasher;
use std::time::Instant;

use serde_json::{json, Value};
use siphasher::sip::SipHasher13;
use wheellink::engine::AttemptEnd;
use wheellink::{Condition, LoadedFunction};
use wheellink_turns::{
    Advice, AttemptToken, Decision, MemberId, Output, SiteId, SiteStatus, TurnRouter, WaitingId,
    DEFAULT_WEIGHT,
};

use super::*;
use crate::config::turns::{Setup, SiteKind};
use crate::hosts::lines;
use crate::ipc::fields::Site;
use crate::membership::envelope::Kind;

/// Time for which the engine assumes that a resident function stays loaded, and the interval at which this is renewed.
const RESIDENT_US: (Micros, Micros) = (60_000_000, 20_000_000);
/// Maximum number of pairs of site and function for which the last renewal is remembered.
const MAX_RESIDENT: usize = 4_096;
/// Maximum number of remembered site weights, which may precede the site itself.
const MAX_WEIGHTS: usize = 1_024;

/// State of a host that counts towards its site.
struct Host {
    site: SiteId,
    size: f64,
    zone: Option<u32>,
    up: bool,
    /// Latest start of the host's process.
    started: Micros,
    in_flight: u32,
}

/// State of a site, summed over its hosts that are up.
struct SiteState {
    now: SiteStatus,
    hosts: Vec<WorkerId>,
}

/// A submitted call with a turn.
struct TurnCall {
    turn: Turn,
    /// Preferred locations of a call that another process decides. They are needed if the call is handed back.
    advice: Vec<PreferredLocation>,
    /// Number of prefix blocks that the host which answered last found in its cache.
    found: Option<u32>,
}

/// A call that waits for the sites' budget for recomputation. `wheellink_turns` limits the number of such calls and the
/// time that they wait.
pub(super) struct WaitingCall {
    since: Micros,
    conn: Option<ConnId>,
    origin: Origin,
    incoming: Incoming,
    turn: Turn,
}

/// The router of turns, and what it needs of hosts and calls.
pub(super) struct TurnRouting {
    setup: Setup,
    router: TurnRouter,
    /// Start of the time scale of the router, on the monotonic clock.
    origin: Instant,
    hosts: BTreeMap<WorkerId, Host>,
    sites: BTreeMap<SiteId, SiteState>,
    /// The last renewal of each resident function.
    resident: HashMap<(SiteId, FunctionId), Micros>,
    /// This activator's own zone.
    zone: Option<u32>,
    /// Names of sites, and their locations for the engine.
    labels: BTreeMap<SiteId, (String, PreferredLocation)>,
    /// Weights of sites, by name.
    weights: BTreeMap<String, u16>,
    calls: HashMap<Ticket, TurnCall>,
    /// Attempts in flight: the host, and the time at which they were sent.
    attempts: HashMap<AttemptId, (WorkerId, Micros)>,
    waiting: BTreeMap<WaitingId, WaitingCall>,
}

/// The id of a site, which is the same at all activators: a hash of the site's name.
fn site_id(label: &str) -> SiteId {
    let mut hasher = SipHasher13::new_with_keys(0, 0x7369_7465);
    hasher.write(label.as_bytes());
    SiteId(hasher.finish() as u32)
}

/// The router's token of an attempt. Tickets of passed calls have the highest bit set, and the token keeps it: the engine
/// numbers its own tickets from 1 as well, so the tokens would collide without that bit.
fn token(attempt: AttemptId) -> AttemptToken {
    let passed = attempt.ticket.0 & 1 << 63;
    AttemptToken(passed | attempt.ticket.0 << 8 | u64::from(attempt.number & 0xff))
}

impl TurnRouting {
    fn new(setup: &Setup, me: MemberId, zone: Option<u32>, seed: u64) -> Result<Self, String> {
        let origin = Instant::now();
        // A random incarnation distinguishes this process from earlier ones of the same member.
        let incarnation = fastrand::u32(..);
        let router = TurnRouter::new(setup.settings(), me, incarnation, seed, origin.elapsed())
            .map_err(|e| e.to_string())?;
        Ok(Self {
            setup: setup.clone(),
            router,
            origin,
            hosts: BTreeMap::new(),
            sites: BTreeMap::new(),
            resident: HashMap::new(),
            zone,
            labels: BTreeMap::new(),
            weights: BTreeMap::new(),
            calls: HashMap::new(),
            attempts: HashMap::new(),
            waiting: BTreeMap::new(),
        })
    }

    /// The time on the router's time scale.
    fn now(&self) -> Duration {
        self.origin.elapsed()
    }

    /// The site of a host, by the configured kind of site. A host whose cell or zone is not known is a site of its own.
    fn site(&mut self, host: &WorkerId, zone: Option<u32>, cell: Option<i64>, zones: &[String]) -> SiteId {
        let (label, location) = match (self.setup.site, zone, cell) {
            (SiteKind::Cell, _, Some(cell)) => (cell.to_string(), PreferredLocation::Cell(cell)),
            (SiteKind::Zone, Some(zone), _) => {
                let name = zones.get(zone as usize).cloned();
                (name.unwrap_or_else(|| zone.to_string()), PreferredLocation::Zone(zone))
            }
            _ => (host.0.to_string(), PreferredLocation::Worker(host.clone())),
        };
        let site = site_id(&label);
        if self.labels.len() >= 4 * wheellink_turns::MAX_SITES {
            let used: HashSet<SiteId> = self.hosts.values().map(|host| host.site).collect();
            self.labels.retain(|site, _| used.contains(site));
        }
        if !self.labels.contains_key(&site) {
            let weight = self.weights.get(&label).copied().unwrap_or(DEFAULT_WEIGHT);
            self.router.set_site_weight(self.origin.elapsed(), site, weight);
            self.labels.insert(site, (label, location));
        }
        site
    }

    /// Applies new indexes of classes, tenants and zones. A site keeps its name, also if its zone is gone.
    pub(super) fn renumber(&mut self, renumbering: &Renumbering) {
        for host in self.hosts.values_mut() {
            host.zone = renumbering.zone(host.zone);
        }
        self.labels.retain(|_, (_, location)| location.renumber(renumbering));
        for call in self.calls.values_mut() {
            call.advice.retain_mut(|location| location.renumber(renumbering));
        }
        for call in self.waiting.values_mut() {
            call.incoming.renumber(renumbering);
        }
    }

    /// Applies a change of the host list. A site is lost when its last host is gone, or when its only host was restarted.
    pub(super) fn list(&mut self, kind: ListKind, entries: &[ListEntry], zones: &[String]) {
        let mut touched = BTreeMap::new();
        if kind != ListKind::Delta {
            for host in self.hosts.values_mut() {
                touched.entry(host.site).or_insert(false);
                host.up = false;
            }
        }
        for entry in entries {
            let site = self.site(&entry.worker, entry.zone, entry.cell, zones);
            let size = if entry.size.is_finite() && entry.size > 0.0 { entry.size } else { 1.0 };
            let fresh =
                || Host { site, size, zone: entry.zone, up: false, started: entry.ready_at, in_flight: 0 };
            let host = self.hosts.entry(entry.worker.clone()).or_insert_with(fresh);
            touched.entry(host.site).or_insert(false);
            *touched.entry(site).or_insert(false) |= entry.ready_at > host.started;
            (host.site, host.size, host.zone) = (site, size, entry.zone);
            host.up = entry.condition == Condition::Up;
            host.started = host.started.max(entry.ready_at);
        }
        self.hosts.retain(|_, host| host.up || host.in_flight > 0);
        self.update_sites();
        let now = self.now();
        for (site, restarted) in touched {
            let up = self.hosts.values().filter(|h| h.site == site && h.up).count();
            if up == 0 || (restarted && up == 1) {
                self.router.site_lost(site);
            }
            if up > 0 {
                self.router.site_returned(now, site);
            }
        }
    }

    /// Sums hosts by site. This runs when the host list changes instead of with each call.
    fn update_sites(&mut self) {
        self.sites.clear();
        for (id, host) in self.hosts.iter().filter(|(_, host)| host.up) {
            let now = SiteStatus { site: host.site, capacity: 0.0, in_flight: 0.0, remote: true };
            let site = self.sites.entry(host.site).or_insert_with(|| SiteState { now, hosts: Vec::new() });
            site.hosts.push(id.clone());
            site.now.capacity += host.size * f64::from(self.setup.lanes);
            site.now.in_flight += f64::from(host.in_flight);
            site.now.remote &= self.zone.is_some() && host.zone != self.zone;
        }
        self.resident.clear();
    }

    /// Loaded copies of a resident function at these sites, except those that were reported to the engine recently.
    fn resident_functions(
        &mut self,
        now: Micros,
        sites: impl Iterator<Item = SiteId>,
        function: &FunctionId,
        lanes: u32,
    ) -> Vec<LoadedFunction> {
        let mut loaded = Vec::new();
        if !self.setup.resident {
            return loaded;
        }
        for site in sites {
            let key = (site, function.clone());
            if self.resident.get(&key).is_some_and(|at| now - at < RESIDENT_US.1) {
                continue;
            }
            if self.resident.len() >= MAX_RESIDENT {
                self.resident.retain(|_, at| now - *at < RESIDENT_US.1);
            }
            if self.resident.len() < MAX_RESIDENT {
                self.resident.insert(key, now);
            }
            let hosts = self.sites.get(&site).map(|s| s.hosts.as_slice()).unwrap_or_default();
            let copies = (self.setup.lanes / lanes.max(1)).max(1);
            loaded.extend(hosts.iter().map(|host| LoadedFunction {
                worker: host.clone(),
                function: function.clone(),
                lanes,
                copies,
                until: now + RESIDENT_US.0,
                calls: 1.0,
            }));
        }
        loaded
    }

    /// The current state of all sites, for the router.
    fn site_statuses(&self) -> Vec<SiteStatus> {
        self.sites.values().map(|s| s.now).collect()
    }

    /// The locations of the advised sites.
    fn locations(&self, advice: &Advice) -> Vec<PreferredLocation> {
        advice.choices.iter().filter_map(|c| Some(self.labels.get(&c.site)?.1.clone())).collect()
    }

    /// Records that an attempt was sent.
    fn on_sent(&mut self, now: Micros, attempt: AttemptId, host: &WorkerId) {
        let Some(state) = self.hosts.get_mut(host) else { return };
        state.in_flight += 1;
        let site = state.site;
        self.sites.entry(site).and_modify(|s| s.now.in_flight += 1.0);
        self.attempts.insert(attempt, (host.clone(), now));
        let at = self.now();
        if let Some(call) = self.calls.get(&attempt.ticket) {
            self.router.on_sent(at, token(attempt), &call.turn, site);
        }
    }

    /// Records the end of an attempt, and how much of the prefix the host found in its cache.
    fn on_ended(&mut self, now: Micros, attempt: AttemptId, end: &AttemptEnd, fields: &[(String, String)]) {
        let Some((host, since)) = self.attempts.remove(&attempt) else { return };
        if let Some(host) = self.hosts.get_mut(&host) {
            host.in_flight = host.in_flight.saturating_sub(1);
            let up = host.up;
            self.sites.entry(host.site).and_modify(|s| {
                s.now.in_flight = (s.now.in_flight - f64::from(u8::from(up))).max(0.0);
            });
        }
        if end.outcome != Outcome::Done {
            return self.router.on_failed(token(attempt));
        }
        let found = fields.iter().find(|(name, _)| name == "found").and_then(|(_, n)| n.parse::<u32>().ok());
        if let Some(call) = self.calls.get_mut(&attempt.ticket) {
            call.found = found.map(|n| n.min(call.turn.prefix.len() as u32));
        }
        let took = Duration::from_micros((now - since).max(0) as u64);
        self.router.on_answered(self.now(), token(attempt), found, took);
    }

    /// Sets the weight of a site, which may not be known yet.
    fn set_weight(&mut self, label: &str, weight: u16) {
        if self.weights.len() < MAX_WEIGHTS || self.weights.contains_key(label) {
            self.weights.insert(label.to_string(), weight);
        }
        self.router.set_site_weight(self.now(), site_id(label), weight);
    }

    /// The answer to `GET /turns`.
    fn show(&self) -> Value {
        let view = self.router.view(self.now());
        let known: BTreeMap<SiteId, &str> = self.labels.iter().map(|(s, (l, _))| (*s, l.as_str())).collect();
        let sites: Vec<Value> = view
            .sites
            .iter()
            .filter_map(|s| {
                let name = known.get(&s.site)?;
                Some(json!({"site": name, "there": s.present, "weight": s.weight, "keeps_blocks": s.horizon as u64,
                    "load": (s.load * 1000.0).round() / 1000.0, "turns": s.turns, "lost": s.cache_losses,
                    "anew": {"blocks": s.budget.0 as i64, "a_second": s.budget.1 as u64}}))
            })
            .collect();
        let [placed, held, common, load, anew] = view.placed;
        let [asked, expected, found] = view.blocks;
        let [told, heard, unread] = view.gossip;
        json!({"sites": sites, "activators": view.activators, "conversations": view.entries.0,
            "common_prefixes": view.entries.1, "made_room": view.evicted, "bytes": view.bytes,
            "placed": {"all": placed, "held": held, "common": common, "load": load, "anew": anew},
            "held_back": {"so_far": view.queued, "now": self.waiting.len(), "given_up": view.rejected},
            "blocks": {"asked": asked, "expected": expected, "found": found}, "misses": view.misses,
            "emptied": view.caches_found_empty, "doubted_tenants": view.distrusted_tenants, "open": view.open,
            "told": {"bytes": told, "heard": heard, "unread": unread}})
    }
}

impl Node {
    /// Starts, updates or ends the routing of turns according to the configuration.
    pub(super) fn configure_turns(&mut self, now: Micros) {
        let Some(setup) = self.config.turns.clone() else {
            self.release_all_waiting();
            self.turn_routing = None;
            return self.set_reads_turns(false);
        };
        let same = self.turn_routing.as_ref().is_some_and(|t| t.setup.site == setup.site);
        let result = match self.turn_routing.as_mut().filter(|_| same) {
            Some(routing) => {
                (routing.setup, routing.zone) = (setup.clone(), self.config.deployment.settings.zone);
                routing.update_sites();
                routing.router.update_settings(setup.settings()).map_err(|e| e.to_string())
            }
            None => {
                self.release_all_waiting();
                let me = self.membership.as_ref().map_or(MemberId(0), |f| MemberId(f.roster().0 .0));
                let zone = self.config.deployment.settings.zone;
                TurnRouting::new(&setup, me, zone, self.config.seed).map(|mut routing| {
                    let listed: Vec<ListEntry> = self.dns_hosts.values().cloned().collect();
                    routing.list(ListKind::Full, &listed, &self.config.deployment.zones);
                    self.turn_routing = Some(Box::new(routing));
                })
            }
        };
        if let Err(problem) = result {
            self.log.line(now, format_args!("turns are not routed: {problem}"));
        }
        self.set_reads_turns(true);
        self.update_turn_members();
    }

    /// Applies a change of the host list. The list is kept even while turns are not routed, for a later configuration with
    /// `[turns]`.
    pub(super) fn update_turn_hosts(&mut self, kind: ListKind, entries: &[ListEntry]) {
        if matches!(self.mode, Mode::Platform(..)) || kind == ListKind::Failed {
            return;
        }
        if kind != ListKind::Delta {
            self.dns_hosts.clear();
        }
        for e in entries {
            match e.condition {
                Condition::Gone => drop(self.dns_hosts.remove(&e.worker)),
                _ => drop(self.dns_hosts.insert(e.worker.clone(), e.clone())),
            }
        }
        if let Some(routing) = &mut self.turn_routing {
            routing.list(kind, entries, &self.config.deployment.zones);
        }
    }

    /// Sets whether the front reads the turns of calls.
    fn set_reads_turns(&mut self, reads: bool) {
        if let Mode::Operator { front, .. } = &mut self.mode {
            front.reads_turns = reads;
        }
    }

    /// Sets the members with which the router exchanges messages.
    pub(super) fn update_turn_members(&mut self) {
        let names: Vec<MemberId> = self
            .membership
            .as_ref()
            .map(|f| f.roster().1.map(|(n, _)| MemberId(n.0)).collect())
            .unwrap_or_default();
        if let Some(t) = &mut self.turn_routing {
            let now = t.origin.elapsed();
            t.router.set_members(now, names);
        }
    }

    /// The number by which the router of turns knows a tenant. It comes from the name, as the index of a tenant may change
    /// with the configuration.
    fn tenant_number(&self, tenant: Option<usize>) -> u32 {
        let name = tenant.and_then(|tenant| self.config.deployment.tenants.get(tenant));
        name.map_or(u32::MAX, |name| site_id(name).0)
    }

    /// Adds the preferred locations of a call's turn to the call. Returns `None` if the call waits first or was rejected and
    /// answered.
    pub(super) fn place_turn(
        &mut self,
        now: Micros,
        conn: Option<ConnId>,
        origin: Origin,
        mut incoming: Incoming,
    ) -> Option<(Origin, Incoming)> {
        let tenant = self.tenant_number(incoming.tenant);
        let Some(t) = &mut self.turn_routing else { return Some((origin, incoming)) };
        let Some((conversation, new, prefix)) = incoming.turn.take() else { return Some((origin, incoming)) };
        let settings = &self.config.deployment.settings;
        let class = settings.classes.get(incoming.class);
        let turn = Turn {
            conversation,
            tenant,
            prefix,
            new_blocks: new,
            worth: class.map_or(1.0, |c| c.worth),
            time_left: Duration::from_micros(
                class.map_or(incoming.timeout, |c| c.aim.min(incoming.timeout)).max(0) as u64,
            ),
        };
        let sites = t.site_statuses();
        let at = t.now();
        let advice = t.router.place(at, &turn, &sites);
        match advice.decision {
            Decision::Send => Some((origin, self.advised(now, incoming, turn, &advice))),
            Decision::Wait(id, _) => {
                t.waiting.insert(id, WaitingCall { since: now, conn, origin, incoming, turn });
                // The router may have rejected another waiting call to make room, and that call is answered now.
                self.release_waiting();
                None
            }
            Decision::Reject => {
                self.reject_turn(now, &origin);
                None
            }
        }
    }

    /// Adds the advice for a turn to its call.
    fn advised(&mut self, now: Micros, mut incoming: Incoming, turn: Turn, advice: &Advice) -> Incoming {
        let Some(t) = &mut self.turn_routing else { return incoming };
        incoming.preferred = t.locations(advice);
        let function: FunctionId = incoming.function.as_str().into();
        let sites = advice.choices.iter().map(|c| c.site);
        let loaded = t.resident_functions(now, sites, &function, incoming.lanes);
        if !loaded.is_empty() {
            let state = HandoverState { loaded, ..HandoverState::default() };
            self.run_engine(|engine, out| engine.inherit(now, state, out));
        }
        incoming.placed = Some(turn);
        incoming
    }

    /// Rejects a call because the missing part of its turn's prefix cannot be recomputed in time.
    fn reject_turn(&mut self, now: Micros, origin: &Origin) {
        let retry_after = self.config.deployment.settings.max_retry_after;
        self.reply(now, origin, Reply::Refused(retry_after));
    }

    /// Returns the recomputation budget of a call that was placed and then not admitted.
    pub(super) fn cancel_turn(&mut self, turn: Option<&Turn>) {
        if let (Some(t), Some(turn)) = (&mut self.turn_routing, turn) {
            t.router.cancel_grant(turn);
        }
    }

    /// Submits or rejects calls whose wait is over.
    fn release_waiting(&mut self) {
        let now = self.clock.now();
        while let Some(t) = &mut self.turn_routing {
            if t.waiting.is_empty() {
                break;
            }
            let (sites, at) = (t.site_statuses(), t.now());
            let Some((id, advice)) = t.router.release(at, &sites) else { break };
            let Some(WaitingCall { since, conn, origin, mut incoming, turn }) = t.waiting.remove(&id) else {
                continue;
            };
            if advice.decision == Decision::Reject {
                self.reject_turn(now, &origin);
                continue;
            }
            incoming.timeout -= now - since;
            let incoming = self.advised(now, incoming, turn, &advice);
            self.submit_placed(now, conn, origin, incoming);
        }
    }

    /// Submits all waiting calls without advice, because the router is removed or replaced.
    fn release_all_waiting(&mut self) {
        let now = self.clock.now();
        let waiting = self.turn_routing.as_mut().map(|t| std::mem::take(&mut t.waiting)).unwrap_or_default();
        for (id, WaitingCall { since, conn, origin, mut incoming, .. }) in waiting {
            if let Some(t) = &mut self.turn_routing {
                t.router.withdraw(id);
            }
            incoming.timeout -= now - since;
            self.submit_placed(now, conn, origin, incoming);
        }
    }

    /// Number of calls that wait for the recomputation budget.
    pub(super) fn waiting_turns(&self) -> usize {
        self.turn_routing.as_ref().map_or(0, |t| t.waiting.len())
    }

    /// Keeps the turn of a call that was submitted under this ticket.
    pub(super) fn attach_turn(&mut self, ticket: Ticket, turn: Option<Turn>, advice: Vec<PreferredLocation>) {
        // A call that is sent without its blocks leaves no blocks in the host's cache.
        if !self.carries_fields(ticket) {
            return;
        }
        if let (Some(t), Some(turn)) = (&mut self.turn_routing, turn) {
            t.calls.insert(ticket, TurnCall { turn, advice, found: None });
        }
    }

    /// Takes the turn and the preferred locations of a call that gets another ticket.
    pub(super) fn detach_turn(&mut self, ticket: Ticket) -> (Option<Turn>, Vec<PreferredLocation>) {
        let call = self.turn_routing.as_mut().and_then(|t| t.calls.remove(&ticket));
        call.map_or((None, Vec::new()), |c| (Some(c.turn), c.advice))
    }

    /// Reports resident copies at these sites to the engine. The holder of a rollout advises the sites for a call of the
    /// function. Does nothing if functions are not resident or another kind of site is configured here.
    pub(super) fn note_resident(&mut self, now: Micros, sites: &[Site], function: &FunctionId, lanes: u32) {
        let Some(t) = &mut self.turn_routing else { return };
        let kind = t.setup.site;
        let id = |site: &Site| match (site, kind) {
            (Site::Cell(cell), SiteKind::Cell) => Some(site_id(&cell.to_string())),
            (Site::Zone(name), SiteKind::Zone) => Some(site_id(name)),
            (Site::Host(name), _) => Some(site_id(name)),
            _ => None,
        };
        let loaded = t.resident_functions(now, sites.iter().filter_map(id), function, lanes);
        if !loaded.is_empty() {
            let state = HandoverState { loaded, ..HandoverState::default() };
            self.run_engine(|engine, out| engine.inherit(now, state, out));
        }
    }

    /// The blocks of the call's prefix, as a field of the request line to a host.
    pub(super) fn block_fields(&self, ticket: Ticket) -> String {
        let call = self.turn_routing.as_ref().and_then(|t| t.calls.get(&ticket));
        call.map_or(String::new(), |c| lines::blocks(&c.turn.prefix))
    }

    /// Drops the turn of a call that ended, and returns the number of blocks that the host found in its cache.
    pub(super) fn end_turn(&mut self, ticket: Ticket) -> Option<u32> {
        self.turn_routing.as_mut().and_then(|t| t.calls.remove(&ticket)).and_then(|c| c.found)
    }

    /// Records that an attempt of a call of this process was sent.
    pub(super) fn turn_attempt_sent(&mut self, now: Micros, attempt: AttemptId, host: &WorkerId) {
        let own = self.pending.get(&attempt.ticket).is_some_and(|p| !matches!(p.origin, Origin::Peer(_)));
        if let Some(t) = self.turn_routing.as_mut().filter(|_| own) {
            t.on_sent(now, attempt, host);
        }
    }

    /// Records that an attempt ended.
    pub(super) fn turn_attempt_ended(
        &mut self,
        now: Micros,
        attempt: AttemptId,
        end: &AttemptEnd,
        fields: &[(String, String)],
    ) {
        if let Some(t) = &mut self.turn_routing {
            t.on_ended(now, attempt, end, fields);
        }
    }

    /// Handles a message of another activator's router.
    pub(super) fn receive_turns(&mut self, from: u32, data: &[u8]) {
        let mut out = Vec::new();
        if let Some(t) = &mut self.turn_routing {
            let now = t.now();
            t.router.receive(now, MemberId(from), data, &mut out);
        }
        self.send_turn_outputs(out);
    }

    /// Releases waiting calls and runs the router's timers that are due.
    pub(super) fn tick_turns(&mut self) {
        self.release_waiting();
        let mut out = Vec::new();
        if let Some(t) = &mut self.turn_routing {
            let now = t.now();
            t.router.handle_timers(now, &mut out);
        }
        self.send_turn_outputs(out);
    }

    /// Sends the router's messages.
    fn send_turn_outputs(&self, out: Vec<Output>) {
        let Some(membership) = &self.membership else { return };
        for Output::Send { to, data } in out {
            membership.send(wheellink_members::MemberId(to.0), Kind::Turns, &data);
        }
    }

    /// The time at which the router's next timer is due.
    pub(super) fn next_turn_timer(&self, now: Micros) -> Micros {
        let Some(t) = &self.turn_routing else { return Micros::MAX };
        let wait = t.router.next_timer_at().map(|at| at.saturating_sub(t.now()).as_micros() as Micros);
        wait.map_or(Micros::MAX, |wait| now.saturating_add(wait))
    }

    /// Sets the agreed weight of a site: 0 to 1,000, by default 100.
    pub(super) fn set_site_weight(&mut self, label: &str, weight: u16) {
        if let Some(t) = &mut self.turn_routing {
            t.set_weight(label, weight);
        }
    }

    /// Answers `GET /turns`.
    pub(super) fn show_turns(&self) -> Response {
        match &self.turn_routing {
            Some(t) => Response::json(200, t.show()),
            None => Response::problem(404, "this activator routes no turns"),
        }
    }
}

#[cfg(test)]
mod tests;
