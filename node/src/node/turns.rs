//! Turns of conversations: from a call to advice for the engine, and from answers back to what is believed of sites.
//! Off without `[turns]` in an operator's file, and always on the platform.

use std::hash::Hasher;
use std::time::Instant;

use serde_json::{json, Value};
use siphasher::sip::SipHasher13;
use wheellink::engine::AttemptEnd;
use wheellink::{Condition, LoadedFunction};
use wheellink_turns::{
    ActivatorId, Advice, AttemptToken, Decision, Output, SiteId, SiteStatus, TurnRouter, WaitingId,
    DEFAULT_WEIGHT,
};

use super::*;
use crate::config::turns::{Setup, SiteKind};
use crate::hosts::lines;
use crate::ipc::fields::Site;
use crate::membership::envelope::Kind;

/// For so long a function that is resident is told to be loaded, and so often it is told again.
const RESIDENT: (Micros, Micros) = (60_000_000, 20_000_000);
/// Functions of sites that are remembered to have been told so.
const MOST_RESIDENT: usize = 4_096;
/// Weights of sites that are remembered before such a site is seen.
const MOST_WEIGHTS: usize = 1_024;

/// A host, as far as its site needs it.
struct Place {
    site: SiteId,
    size: f64,
    zone: u32,
    up: bool,
    started: Micros,
    in_flight: u32,
}

/// A site as it stands, summed over its hosts that are up.
struct Sum {
    now: SiteStatus,
    hosts: Vec<WorkerId>,
}

/// A call with a turn.
struct Carried {
    turn: Turn,
    /// Where it is best served, for a call that another process decides and that may come back.
    advice: Vec<PreferredLocation>,
    /// What the host found that answered last.
    found: Option<u32>,
}

/// A call that waits for a share of what sites may compute anew; the crate bounds how many do, and for how long.
pub(super) struct Parked {
    since: Micros,
    conn: Option<ConnId>,
    origin: Origin,
    incoming: Incoming,
    turn: Turn,
}

/// See the module's page.
pub(super) struct Turning {
    setup: Setup,
    turns: TurnRouter,
    /// Times of turns run from here, on a clock that nobody sets.
    origin: Instant,
    hosts: BTreeMap<WorkerId, Place>,
    sums: BTreeMap<SiteId, Sum>,
    resident: HashMap<(SiteId, FunctionId), Micros>,
    /// This activator's own zone.
    zone: u32,
    /// Names of sites, and their spots for the engine.
    labels: BTreeMap<SiteId, (String, PreferredLocation)>,
    weights: BTreeMap<String, u16>,
    calls: HashMap<Ticket, Carried>,
    attempts: HashMap<AttemptId, (WorkerId, Micros)>,
    parked: BTreeMap<WaitingId, Parked>,
}

/// What stands for a site's name at every activator.
fn number(label: &str) -> SiteId {
    let mut hasher = SipHasher13::new_with_keys(0, 0x7369_7465);
    hasher.write(label.as_bytes());
    SiteId(hasher.finish() as u32)
}

/// Tickets of passed calls are told by their highest bit, which stays: the engine counts its own from 1 as well.
fn token(attempt: AttemptId) -> AttemptToken {
    let passed = attempt.ticket.0 & 1 << 63;
    AttemptToken(passed | attempt.ticket.0 << 8 | u64::from(attempt.number & 0xff))
}

impl Turning {
    fn new(setup: &Setup, me: ActivatorId, zone: u32, seed: u64) -> Result<Self, String> {
        let origin = Instant::now();
        // Another process of this name is told apart by chance.
        let life = fastrand::u32(..);
        let turns =
            TurnRouter::new(setup.settings(), me, life, seed, origin.elapsed()).map_err(|e| e.to_string())?;
        Ok(Self {
            setup: setup.clone(),
            turns,
            origin,
            hosts: BTreeMap::new(),
            sums: BTreeMap::new(),
            resident: HashMap::new(),
            zone,
            labels: BTreeMap::new(),
            weights: BTreeMap::new(),
            calls: HashMap::new(),
            attempts: HashMap::new(),
            parked: BTreeMap::new(),
        })
    }

    fn now(&self) -> Duration {
        self.origin.elapsed()
    }

    /// A host's site, by what shares a cache here.
    fn site(&mut self, host: &WorkerId, zone: u32, cell: i64, zones: &[String]) -> SiteId {
        let (label, spot) = match self.setup.site {
            SiteKind::Cell if cell >= 0 => (cell.to_string(), PreferredLocation::Cell(cell)),
            SiteKind::Zone => {
                let name = zones.get(zone as usize).cloned();
                (name.unwrap_or_else(|| zone.to_string()), PreferredLocation::Zone(zone))
            }
            SiteKind::Cell | SiteKind::Host => (host.0.to_string(), PreferredLocation::Worker(host.clone())),
        };
        let site = number(&label);
        if self.labels.len() >= 4 * wheellink_turns::MAX_SITES {
            let used: HashSet<SiteId> = self.hosts.values().map(|p| p.site).collect();
            self.labels.retain(|site, _| used.contains(site));
        }
        if !self.labels.contains_key(&site) {
            let weight = self.weights.get(&label).copied().unwrap_or(DEFAULT_WEIGHT);
            self.turns.set_site_weight(self.origin.elapsed(), site, weight);
            self.labels.insert(site, (label, spot));
        }
        site
    }

    /// The host list has changed. A site is lost when its last host is, or when its only host is another process.
    pub(super) fn list(&mut self, kind: ListKind, entries: &[ListEntry], zones: &[String]) {
        let mut touched = BTreeMap::new();
        if kind != ListKind::Delta {
            for place in self.hosts.values_mut() {
                touched.entry(place.site).or_insert(false);
                place.up = false;
            }
        }
        for entry in entries {
            let site = self.site(&entry.worker, entry.zone, entry.cell, zones);
            let size = if entry.size.is_finite() && entry.size > 0.0 { entry.size } else { 1.0 };
            let fresh =
                || Place { site, size, zone: entry.zone, up: false, started: entry.ready_at, in_flight: 0 };
            let place = self.hosts.entry(entry.worker.clone()).or_insert_with(fresh);
            touched.entry(place.site).or_insert(false);
            *touched.entry(site).or_insert(false) |= entry.ready_at > place.started;
            (place.site, place.size, place.zone) = (site, size, entry.zone);
            place.up = entry.condition == Condition::Up;
            place.started = place.started.max(entry.ready_at);
        }
        self.hosts.retain(|_, p| p.up || p.in_flight > 0);
        self.sum();
        let now = self.now();
        for (site, restarted) in touched {
            let up = self.hosts.values().filter(|p| p.site == site && p.up).count();
            if up == 0 || (restarted && up == 1) {
                self.turns.site_lost(site);
            }
            if up > 0 {
                self.turns.site_returned(now, site);
            }
        }
    }

    /// Sums hosts up by site, which is done when the list changes and not with each call.
    fn sum(&mut self) {
        self.sums.clear();
        for (id, p) in self.hosts.iter().filter(|(_, p)| p.up) {
            let fresh = SiteStatus { site: p.site, capacity: 0.0, in_flight: 0.0, remote: true };
            let sum = self.sums.entry(p.site).or_insert_with(|| Sum { now: fresh, hosts: Vec::new() });
            sum.hosts.push(id.clone());
            sum.now.capacity += p.size * f64::from(self.setup.lanes);
            sum.now.in_flight += f64::from(p.in_flight);
            sum.now.remote &= p.zone != self.zone && self.zone != u32::MAX;
        }
        self.resident.clear();
    }

    /// Copies that stand at the advised sites, as far as the engine was not told of them lately.
    fn residents(
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
            if self.resident.get(&key).is_some_and(|at| now - at < RESIDENT.1) {
                continue;
            }
            if self.resident.len() >= MOST_RESIDENT {
                self.resident.retain(|_, at| now - *at < RESIDENT.1);
            }
            if self.resident.len() < MOST_RESIDENT {
                self.resident.insert(key, now);
            }
            let hosts = self.sums.get(&site).map(|s| s.hosts.as_slice()).unwrap_or_default();
            let copies = (self.setup.lanes / lanes.max(1)).max(1);
            loaded.extend(hosts.iter().map(|host| LoadedFunction {
                worker: host.clone(),
                function: function.clone(),
                lanes,
                copies,
                until: now + RESIDENT.0,
                calls: 1.0,
            }));
        }
        loaded
    }

    fn sites(&self) -> Vec<SiteStatus> {
        self.sums.values().map(|s| s.now).collect()
    }

    fn spots(&self, advice: &Advice) -> Vec<PreferredLocation> {
        advice.choices.iter().filter_map(|c| Some(self.labels.get(&c.site)?.1.clone())).collect()
    }

    fn sent(&mut self, now: Micros, attempt: AttemptId, host: &WorkerId) {
        let Some(place) = self.hosts.get_mut(host) else { return };
        place.in_flight += 1;
        let site = place.site;
        self.sums.entry(site).and_modify(|s| s.now.in_flight += 1.0);
        self.attempts.insert(attempt, (host.clone(), now));
        let at = self.now();
        if let Some(call) = self.calls.get(&attempt.ticket) {
            self.turns.on_sent(at, token(attempt), &call.turn, site);
        }
    }

    fn ended(&mut self, now: Micros, attempt: AttemptId, end: &AttemptEnd, fields: &[(String, String)]) {
        let Some((host, since)) = self.attempts.remove(&attempt) else { return };
        if let Some(place) = self.hosts.get_mut(&host) {
            place.in_flight = place.in_flight.saturating_sub(1);
            let up = place.up;
            self.sums.entry(place.site).and_modify(|s| {
                s.now.in_flight = (s.now.in_flight - f64::from(u8::from(up))).max(0.0);
            });
        }
        if end.outcome != Outcome::Done {
            return self.turns.on_failed(token(attempt));
        }
        let found = fields.iter().find(|(name, _)| name == "found").and_then(|(_, n)| n.parse::<u32>().ok());
        if let Some(call) = self.calls.get_mut(&attempt.ticket) {
            call.found = found.map(|n| n.min(call.turn.prefix.len() as u32));
        }
        let took = Duration::from_micros((now - since).max(0) as u64);
        self.turns.on_answered(self.now(), token(attempt), found, took);
    }

    fn weigh(&mut self, label: &str, weight: u16) {
        if self.weights.len() < MOST_WEIGHTS || self.weights.contains_key(label) {
            self.weights.insert(label.to_string(), weight);
        }
        self.turns.set_site_weight(self.now(), number(label), weight);
    }

    fn show(&self) -> Value {
        let view = self.turns.view(self.now());
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
            "held_back": {"so_far": view.queued, "now": self.parked.len(), "given_up": view.rejected},
            "blocks": {"asked": asked, "expected": expected, "found": found}, "misses": view.misses,
            "emptied": view.caches_found_empty, "doubted_tenants": view.distrusted_tenants, "open": view.open,
            "told": {"bytes": told, "heard": heard, "unread": unread}})
    }
}

impl Node {
    /// Takes `[turns]` up as the configuration has it.
    pub(super) fn attend_turns(&mut self, now: Micros) {
        let Some(setup) = self.config.turns.clone() else {
            self.release_all_parked();
            self.turning = None;
            return self.hear_turns(false);
        };
        let same = self.turning.as_ref().is_some_and(|t| t.setup.site == setup.site);
        let taken = match self.turning.as_mut().filter(|_| same) {
            Some(turning) => {
                (turning.setup, turning.zone) = (setup.clone(), self.config.deployment.settings.zone);
                turning.sum();
                turning.turns.update_settings(setup.settings()).map_err(|e| e.to_string())
            }
            None => {
                self.release_all_parked();
                let me = self.membership.as_ref().map_or(ActivatorId(0), |f| ActivatorId(f.roster().0 .0));
                let zone = self.config.deployment.settings.zone;
                Turning::new(&setup, me, zone, self.config.seed).map(|mut turning| {
                    let listed: Vec<ListEntry> = self.dns_hosts.values().cloned().collect();
                    turning.list(ListKind::Full, &listed, &self.config.deployment.zones);
                    self.turning = Some(Box::new(turning));
                })
            }
        };
        if let Err(problem) = taken {
            self.log.line(now, format_args!("turns are not routed: {problem}"));
        }
        self.hear_turns(true);
        self.meet_turns();
    }

    /// Hosts as they were told last, kept for the day on which `[turns]` is read.
    pub(super) fn list_for_turns(&mut self, kind: ListKind, entries: &[ListEntry]) {
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
        if let Some(turning) = &mut self.turning {
            turning.list(kind, entries, &self.config.deployment.zones);
        }
    }

    fn hear_turns(&mut self, hears: bool) {
        if let Mode::Operator { front, .. } = &mut self.mode {
            front.reads_turns = hears;
        }
    }

    /// Tells and hears the membership as they are now.
    pub(super) fn meet_turns(&mut self) {
        let names: Vec<ActivatorId> = self
            .membership
            .as_ref()
            .map(|f| f.roster().1.map(|(n, _)| ActivatorId(n.0)).collect())
            .unwrap_or_default();
        if let Some(t) = &mut self.turning {
            let now = t.origin.elapsed();
            t.turns.set_members(now, names);
        }
    }

    /// Where a call is best served, by its turn. None where it is to wait first, and is parked then, or where it was given
    /// up, and is answered.
    pub(super) fn advise(
        &mut self,
        now: Micros,
        conn: Option<ConnId>,
        origin: Origin,
        mut incoming: Incoming,
    ) -> Option<(Origin, Incoming)> {
        let Some(t) = &mut self.turning else { return Some((origin, incoming)) };
        let Some((conversation, new, prefix)) = incoming.turn.take() else { return Some((origin, incoming)) };
        let settings = &self.config.deployment.settings;
        let class = settings.classes.get(incoming.class);
        let turn = Turn {
            conversation,
            tenant: incoming.tenant.map_or(u32::MAX, |t| t as u32),
            prefix,
            new_blocks: new,
            worth: class.map_or(1.0, |c| c.worth),
            time_left: Duration::from_micros(
                class.map_or(incoming.timeout, |c| c.aim.min(incoming.timeout)).max(0) as u64,
            ),
        };
        let sites = t.sites();
        let at = t.now();
        let advice = t.turns.place(at, &turn, &sites);
        match advice.decision {
            Decision::Send => Some((origin, self.advised(now, incoming, turn, &advice))),
            Decision::Wait(waiting, _) => {
                t.parked.insert(waiting, Parked { since: now, conn, origin, incoming, turn });
                // It may have pushed out another, which is answered now.
                self.release_parked();
                None
            }
            Decision::Reject => {
                self.refuse_turn(now, &origin);
                None
            }
        }
    }

    /// The call with the advice for its turn.
    fn advised(&mut self, now: Micros, mut incoming: Incoming, turn: Turn, advice: &Advice) -> Incoming {
        let Some(t) = &mut self.turning else { return incoming };
        incoming.preferred = t.spots(advice);
        let function: FunctionId = incoming.function.as_str().into();
        let sites = advice.choices.iter().map(|c| c.site);
        let loaded = t.residents(now, sites, &function, incoming.lanes);
        if !loaded.is_empty() {
            let legacy = HandoverState { loaded, ..HandoverState::default() };
            self.run_engine(|engine, out| engine.inherit(now, legacy, out));
        }
        incoming.placed = Some(turn);
        incoming
    }

    /// What a turn lacks can't be computed anew within its time.
    fn refuse_turn(&mut self, now: Micros, origin: &Origin) {
        let retry_after = self.config.deployment.settings.max_retry_after;
        self.reply(now, origin, Reply::Refused(retry_after));
    }

    /// The call was placed and is not let in: what was set aside for its turn is for others.
    pub(super) fn forgo_turn(&mut self, turn: Option<&Turn>) {
        if let (Some(t), Some(turn)) = (&mut self.turning, turn) {
            t.turns.cancel_grant(turn);
        }
    }

    /// Lets calls go on that wait no longer, or answers them.
    fn release_parked(&mut self) {
        let now = self.clock.now();
        while let Some(t) = &mut self.turning {
            if t.parked.is_empty() {
                break;
            }
            let (sites, at) = (t.sites(), t.now());
            let Some((waiting, advice)) = t.turns.release(at, &sites) else { break };
            let Some(Parked { since, conn, origin, mut incoming, turn }) = t.parked.remove(&waiting) else {
                continue;
            };
            if advice.decision == Decision::Reject {
                self.refuse_turn(now, &origin);
                continue;
            }
            incoming.timeout -= now - since;
            let incoming = self.advised(now, incoming, turn, &advice);
            self.submit_placed(now, conn, origin, incoming);
        }
    }

    /// Turns are routed no more, or anew: what waits goes as any call does.
    fn release_all_parked(&mut self) {
        let now = self.clock.now();
        let parked = self.turning.as_mut().map(|t| std::mem::take(&mut t.parked)).unwrap_or_default();
        for (waiting, Parked { since, conn, origin, mut incoming, .. }) in parked {
            if let Some(t) = &mut self.turning {
                t.turns.withdraw(waiting);
            }
            incoming.timeout -= now - since;
            self.submit_placed(now, conn, origin, incoming);
        }
    }

    /// Calls that wait for a place of their turn.
    pub(super) fn parked_turns(&self) -> usize {
        self.turning.as_ref().map_or(0, |t| t.parked.len())
    }

    /// The call goes by this ticket.
    pub(super) fn carry_turn(&mut self, ticket: Ticket, turn: Option<Turn>, advice: Vec<PreferredLocation>) {
        // A call without its blocks leaves nothing behind that could be found.
        if !self.carries_fields(ticket) {
            return;
        }
        if let (Some(t), Some(turn)) = (&mut self.turning, turn) {
            t.calls.insert(ticket, Carried { turn, advice, found: None });
        }
    }

    /// The turn of a call that goes by another ticket from now on, and where it was to be served.
    pub(super) fn take_turn(&mut self, ticket: Ticket) -> (Option<Turn>, Vec<PreferredLocation>) {
        let carried = self.turning.as_mut().and_then(|t| t.calls.remove(&ticket));
        carried.map_or((None, Vec::new()), |c| (Some(c.turn), c.advice))
    }

    /// Tells the engine of copies that stand at these places, which the holder of a rollout advises for a call of this
    /// function. Nothing where this file knows of no copies that stand, or tells sites apart by something else.
    pub(super) fn stand_at(&mut self, now: Micros, places: &[Site], function: &FunctionId, lanes: u32) {
        let Some(t) = &mut self.turning else { return };
        let by = t.setup.site;
        let site = |place: &Site| match (place, by) {
            (Site::Cell(cell), SiteKind::Cell) => Some(number(&cell.to_string())),
            (Site::Zone(name), SiteKind::Zone) => Some(number(name)),
            (Site::Host(name), SiteKind::Cell | SiteKind::Host) => Some(number(name)),
            _ => None,
        };
        let loaded = t.residents(now, places.iter().filter_map(site), function, lanes);
        if !loaded.is_empty() {
            let legacy = HandoverState { loaded, ..HandoverState::default() };
            self.run_engine(|engine, out| engine.inherit(now, legacy, out));
        }
    }

    /// The blocks of the call's prefix, as a field of its line to a host.
    pub(super) fn blocks_of(&self, ticket: Ticket) -> String {
        let call = self.turning.as_ref().and_then(|t| t.calls.get(&ticket));
        call.map_or(String::new(), |c| lines::blocks(&c.turn.prefix))
    }

    /// The call is over; what its answer said was found.
    pub(super) fn turn_over(&mut self, ticket: Ticket) -> Option<u32> {
        self.turning.as_mut().and_then(|t| t.calls.remove(&ticket)).and_then(|c| c.found)
    }

    pub(super) fn turn_sent(&mut self, now: Micros, attempt: AttemptId, host: &WorkerId) {
        let own = self.pending.get(&attempt.ticket).is_some_and(|p| !matches!(p.origin, Origin::Peer(_)));
        if let Some(t) = self.turning.as_mut().filter(|_| own) {
            t.sent(now, attempt, host);
        }
    }

    pub(super) fn turn_ended(
        &mut self,
        now: Micros,
        attempt: AttemptId,
        end: &AttemptEnd,
        fields: &[(String, String)],
    ) {
        if let Some(t) = &mut self.turning {
            t.ended(now, attempt, end, fields);
        }
    }

    /// What another activator told of turns.
    pub(super) fn hear_of_turns(&mut self, from: u32, data: &[u8]) {
        let mut out = Vec::new();
        if let Some(t) = &mut self.turning {
            let now = t.now();
            t.turns.receive(now, ActivatorId(from), data, &mut out);
        }
        self.tell_of_turns(out);
    }

    /// What is due of turns.
    pub(super) fn tend_turns(&mut self) {
        self.release_parked();
        let mut out = Vec::new();
        if let Some(t) = &mut self.turning {
            let now = t.now();
            t.turns.wake(now, &mut out);
        }
        self.tell_of_turns(out);
    }

    fn tell_of_turns(&self, out: Vec<Output>) {
        let Some(membership) = &self.membership else { return };
        for Output::Send { to, data } in out {
            membership.send(wheellink_members::MemberId(to.0), Kind::Turns, &data);
        }
    }

    /// When something of turns is due.
    pub(super) fn next_turn(&self, now: Micros) -> Micros {
        let Some(t) = &self.turning else { return Micros::MAX };
        let wake = t.turns.wake_at().map(|at| at.saturating_sub(t.now()).as_micros() as Micros);
        wake.map_or(Micros::MAX, |wait| now.saturating_add(wait))
    }

    /// A site is due another weight, as agreed: 0 to 1,000, 100 for the usual.
    pub(super) fn weigh_site(&mut self, label: &str, weight: u16) {
        if let Some(t) = &mut self.turning {
            t.weigh(label, weight);
        }
    }

    pub(super) fn show_turns(&self) -> Response {
        match &self.turning {
            Some(t) => Response::json(200, t.show()),
            None => Response::problem(404, "this activator routes no turns"),
        }
    }
}

#[cfg(test)]
mod tests;
