//! Generated histories of three activators that share four sites: sites are lost and return, links are cut, datagrams
//! are delayed, duplicated and lost, attempts fail, and one tenant reports wrong hashes. A checker judges each
//! history from the outside, by facts of the simulation that no activator is asked for. Each injected fault
//! (`faults.rs`) must be detected by the rule that is meant for it.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::fmt;
use std::time::Duration;

use crate::faults::Fault;
use crate::*;

const ACTIVATORS: usize = 3;
const SITES: usize = 4;
const LANES: f64 = 4.0;
/// Length of a history and of one step, and when a site is lost and returns, in seconds.
const LENGTH_SECS: f64 = 30.0;
const STEP_SECS: f64 = 0.005;
const GONE_SECS: (f64, f64) = (9.0, 17.0);
/// Turns per second of all activators, and conversations at the start.
const TURNS_PER_SEC: f64 = 250.0;
const CHATS: usize = 1_200;
/// The tenant whose hashes are never found, and the number of its answers after which its hashes must not influence
/// placement.
const LYING_TENANT: u32 = 9;
const MAX_TRUSTED_ANSWERS: usize = 60;

/// The rules that the checker applies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Rule {
    Budget,
    LostSite,
    ReturnOverload,
    LyingTenant,
    PeerLoads,
    Deadline,
    ValueOrder,
    QueueBound,
    OneEnd,
}

#[derive(Clone, Debug)]
struct Violation(Rule, String);

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}: {}", self.0, self.1)
    }
}

/// One event of a history.
#[derive(Clone, Debug)]
enum Event {
    /// A turn arrived; its value is its worth times its length.
    Arrived {
        id: u64,
        by: usize,
        value: f64,
    },
    /// The turn waits, at the latest until this time.
    Queued {
        id: u64,
        until: f64,
    },
    /// The turn was sent to a site, which computed this many blocks; `displaced` if its conversation's site was lost.
    Sent {
        id: u64,
        by: usize,
        site: usize,
        blocks: usize,
        displaced: bool,
    },
    /// The turn was rejected.
    Rejected {
        id: u64,
    },
    /// A turn of the lying tenant was placed, and whether its hashes influenced that.
    LyingTurn {
        answers: usize,
        influenced: bool,
    },
    SiteLost {
        site: usize,
    },
    SiteReturned {
        site: usize,
    },
    /// The load that an activator assumes from others at a site, and the largest that these others may have reported.
    PeerLoad {
        by: usize,
        site: usize,
        load: f64,
        most: f64,
    },
    QueueLength {
        by: usize,
        n: usize,
    },
}

struct Chat {
    number: u64,
    tenant: u32,
    by: usize,
    prefix: Vec<u64>,
    worth: f64,
    left: u32,
    /// Where its last turn was served.
    site: Option<usize>,
    /// Whether that site was lost since.
    displaced: bool,
    next: f64,
    active: bool,
}

struct InFlight {
    at: f64,
    token: u64,
    id: u64,
    chat: usize,
    site: usize,
    turn: Turn,
    choices: Vec<usize>,
    fails: bool,
    found: usize,
    epoch: u32,
}

fn at(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

fn mix(a: u64, b: u64) -> u64 {
    crate::placement::empty_prefix_key(a.rotate_left(32) ^ b)
}

struct Fleet {
    routers: Vec<TurnRouter>,
    rng: fastrand::Rng,
    caches: Vec<HashSet<u64>>,
    present: Vec<bool>,
    epochs: Vec<u32>,
    chats: Vec<Chat>,
    sent: Vec<InFlight>,
    queued: Vec<HashMap<WaitingId, (u64, usize, Turn)>>,
    datagrams: Vec<(f64, usize, usize, Vec<u8>)>,
    cut: Vec<Vec<bool>>,
    /// The loads that each activator reported for each site in its last few messages.
    reported: Vec<Vec<Vec<(f64, f64)>>>,
    next: u64,
    lying_answers: usize,
    events: Vec<(f64, Event)>,
}

impl Fleet {
    fn new(seed: u64, fault: Option<Fault>) -> Self {
        let settings = Settings { table_bytes: 4 << 20, ..Settings::default() };
        let ids = (0..ACTIVATORS as u32).map(MemberId);
        let routers = ids.clone().map(|me| {
            let mut turns = TurnRouter::new(settings.clone(), me, me.0 + 1, seed, at(0.0)).unwrap();
            turns.fault = fault;
            turns.sites.fault = fault;
            turns.set_members(at(0.0), ids.clone());
            turns
        });
        let mut fleet = Self {
            routers: routers.collect(),
            rng: fastrand::Rng::with_seed(seed),
            caches: vec![HashSet::new(); SITES],
            present: vec![true; SITES],
            epochs: vec![0; SITES],
            chats: Vec::new(),
            sent: Vec::new(),
            queued: (0..ACTIVATORS).map(|_| HashMap::new()).collect(),
            datagrams: Vec::new(),
            cut: vec![vec![false; ACTIVATORS]; ACTIVATORS],
            reported: vec![vec![Vec::new(); SITES]; ACTIVATORS],
            next: 0,
            lying_answers: 0,
            events: Vec::new(),
        };
        for _ in 0..CHATS {
            fleet.start_chat(0.0);
        }
        fleet
    }

    /// Starts a conversation with a prompt that no site holds.
    fn start_chat(&mut self, now: f64) {
        let number = self.rng.u64(..);
        let len = 1 + (58.0 * self.rng.f64().powi(2)) as u64;
        let by = self.rng.usize(..ACTIVATORS);
        let worth = [0.5, 1.0, 1.0, 4.0][self.rng.usize(..4)];
        let next = now + self.rng.f64() * CHATS as f64 / TURNS_PER_SEC;
        let prefix = (0..len).map(|i| mix(number, i)).collect();
        let (left, tenant) = (self.rng.u32(2..12), self.rng.u32(0..5));
        let (site, displaced, active) = (None, false, false);
        self.chats.push(Chat { number, tenant, by, prefix, worth, left, site, displaced, next, active });
    }

    fn record(&mut self, now: f64, event: Event) {
        self.events.push((now, event));
    }

    fn sites(&self) -> Vec<SiteStatus> {
        // Every lane is busy with other turns: only the budget remains for recomputation.
        let present = (0..SITES).filter(|s| self.present[*s]);
        present
            .map(|s| SiteStatus { site: SiteId(s as u32), capacity: LANES, in_flight: LANES, remote: false })
            .collect()
    }

    fn arrived(&mut self, now: f64, chat: usize, left: f64) {
        let t = &mut self.chats[chat];
        t.active = true;
        let (by, is_lying) = (t.by, t.tenant == LYING_TENANT);
        let turn = Turn {
            conversation: t.number,
            tenant: t.tenant,
            prefix: t.prefix.clone(),
            new_blocks: 1,
            worth: t.worth,
            time_left: at(left),
        };
        self.next += 1;
        let id = self.next;
        let value = turn.worth * turn.prefix.len() as f64;
        self.record(now, Event::Arrived { id, by, value });
        let sites = self.sites();
        let advice = self.routers[by].place(at(now), &turn, &sites);
        if is_lying && !advice.choices.is_empty() {
            let (answers, influenced) = (self.lying_answers, advice.choices[0].expected_blocks > 0);
            self.record(now, Event::LyingTurn { answers, influenced });
        }
        match advice.decision {
            Decision::Send => self.send_first(now, id, chat, turn, &advice),
            Decision::Reject => self.rejected(now, id, chat),
            Decision::Wait(waiting, until) => {
                self.record(now, Event::Queued { id, until: until.as_secs_f64() });
                self.queued[by].insert(waiting, (id, chat, turn));
                self.release(now, by);
                let n = self.queued[by].len();
                self.record(now, Event::QueueLength { by, n });
            }
        }
    }

    fn release(&mut self, now: f64, by: usize) {
        let sites = self.sites();
        while let Some((waiting, advice)) = self.routers[by].release(at(now), &sites) {
            let (id, chat, turn) = self.queued[by].remove(&waiting).expect("released turn is queued");
            match advice.decision {
                Decision::Send => self.send_first(now, id, chat, turn, &advice),
                _ => self.rejected(now, id, chat),
            }
        }
    }

    fn rejected(&mut self, now: f64, id: u64, chat: usize) {
        self.record(now, Event::Rejected { id });
        let wait = 0.5 + self.rng.f64() * 3.0;
        (self.chats[chat].active, self.chats[chat].next) = (false, now + wait);
    }

    fn send_first(&mut self, now: f64, id: u64, chat: usize, turn: Turn, advice: &Advice) {
        let choices: Vec<usize> = advice.choices.iter().map(|c| c.site.0 as usize).collect();
        if choices.is_empty() {
            return self.rejected(now, id, chat);
        }
        self.send(now, id, chat, turn, choices);
    }

    /// Sends an attempt to the first of these sites; the others are for retries.
    fn send(&mut self, now: f64, id: u64, chat: usize, turn: Turn, mut choices: Vec<usize>) {
        let site = choices.remove(0);
        let (by, is_lying, displaced) =
            (self.chats[chat].by, self.chats[chat].tenant == LYING_TENANT, self.chats[chat].displaced);
        let found = turn.prefix.iter().take_while(|b| self.caches[site].contains(b)).count();
        let found = if is_lying { 0 } else { found };
        self.caches[site].extend(&turn.prefix);
        let blocks = turn.prefix.len() - found;
        self.record(now, Event::Sent { id, by, site, blocks, displaced });
        self.next += 1;
        let token = self.next;
        self.routers[by].on_sent(at(now), AttemptToken(token), &turn, SiteId(site as u32));
        let fails = !choices.is_empty() && self.rng.f64() < 0.15;
        let done = now + if fails { 0.02 } else { 0.05 };
        let epoch = self.epochs[site];
        self.sent.push(InFlight { at: done, token, id, chat, site, turn, choices, fails, found, epoch });
    }

    fn done(&mut self, now: f64, out: InFlight) {
        let by = self.chats[out.chat].by;
        if out.fails {
            self.routers[by].on_failed(AttemptToken(out.token));
            let choices: Vec<usize> = out.choices.into_iter().filter(|s| self.present[*s]).collect();
            if choices.is_empty() {
                self.chats[out.chat].active = false;
                return;
            }
            return self.send(now, out.id, out.chat, out.turn, choices);
        }
        self.routers[by].on_answered(at(now), AttemptToken(out.token), Some(out.found as u32), at(0.05));
        let t = &mut self.chats[out.chat];
        (t.active, t.next) = (false, now + 0.5 + self.rng.f64() * 2.0 * CHATS as f64 / TURNS_PER_SEC);
        (t.site, t.displaced) = (Some(out.site), out.epoch != self.epochs[out.site]);
        if t.tenant == LYING_TENANT {
            self.lying_answers += 1;
            t.next = now + 0.1;
            return;
        }
        let more = t.prefix.len() as u64;
        if t.prefix.len() < MAX_HASHES {
            t.prefix.push(mix(t.number, more));
        }
        t.left = t.left.saturating_sub(1);
        if t.left == 0 {
            t.next = f64::MAX;
            self.start_chat(now);
        }
    }

    fn lose_site(&mut self, now: f64, site: usize) {
        (self.present[site], self.epochs[site]) = (false, self.epochs[site] + 1);
        self.caches[site].clear();
        self.chats.iter_mut().filter(|t| t.site == Some(site)).for_each(|t| t.displaced = true);
        self.routers.iter_mut().for_each(|t| t.site_lost(SiteId(site as u32)));
        self.record(now, Event::SiteLost { site });
    }

    fn return_site(&mut self, now: f64, site: usize) {
        self.present[site] = true;
        self.routers.iter_mut().for_each(|t| t.site_returned(at(now), SiteId(site as u32)));
        self.record(now, Event::SiteReturned { site });
    }

    fn exchange_messages(&mut self, now: f64) {
        for from in 0..ACTIVATORS {
            let mut out = Vec::new();
            self.routers[from].handle_timers(at(now), &mut out);
            if !out.is_empty() {
                for site in 0..SITES {
                    let own = self.routers[from].sites.own_loads(at(now));
                    let load =
                        own.iter().find(|(s, ..)| *s == site as u32).map_or(0.0, |(_, l, _)| f64::from(*l));
                    let own = &mut self.reported[from][site];
                    own.push((now, load));
                    own.retain(|(at, _)| now - at < 6.0);
                }
            }
            for Output::Send { to, data } in out {
                let to = to.0 as usize;
                if self.cut[from][to] || self.rng.f64() < 0.05 {
                    continue;
                }
                for _ in 0..1 + usize::from(self.rng.f64() < 0.2) {
                    let late = self.rng.f64().powi(4) * 1.2;
                    self.datagrams.push((now + late, from, to, data.clone()));
                }
            }
        }
        let due: Vec<_> = self.datagrams.extract_if(.., |(at, ..)| *at <= now).collect();
        for (_, from, to, data) in due {
            self.routers[to].receive(at(now), MemberId(from as u32), &data, &mut Vec::new());
            for site in 0..SITES {
                let max = |all: &[(f64, f64)]| all.iter().map(|(_, l)| *l).fold(0.0, f64::max);
                let most = (0..ACTIVATORS).filter(|a| *a != to).map(|a| max(&self.reported[a][site])).sum();
                let Some(place) = self.routers[to].sites.index(SiteId(site as u32)) else { continue };
                let load = self.routers[to].sites.all[place as usize].peer_load();
                self.events.push((now, Event::PeerLoad { by: to, site, load, most }));
            }
        }
    }

    fn run(mut self) -> Vec<(f64, Event)> {
        let lost = self.rng.usize(..SITES);
        let part = GONE_SECS.0 - 1.0 + self.rng.f64() * 3.0;
        let (burst_at, burst_by) = (GONE_SECS.0 + 0.5 + self.rng.f64() * 4.0, self.rng.usize(..ACTIVATORS));
        // A burst of short conversations cached at the site that will be lost, and the lying tenant.
        for i in 0..420u64 {
            let prefix = vec![mix(i, 77), mix(i, 78)];
            let (number, by, site) = (1_000 + i, burst_by, Some(lost));
            self.chats.push(Chat {
                number,
                tenant: 1,
                by,
                prefix,
                worth: 1.0,
                left: 9,
                site,
                displaced: false,
                next: f64::MAX,
                active: false,
            });
        }
        let burst = self.chats.len() - 420..self.chats.len();
        let prefix = (0..30).map(|i| mix(5, i)).collect();
        let (number, by, site, displaced) = (7, 0, None, false);
        self.chats.push(Chat {
            number,
            tenant: LYING_TENANT,
            by,
            prefix,
            worth: 1.0,
            left: 9,
            site,
            displaced,
            next: 0.5,
            active: false,
        });
        let (mut now, mut step) = (0.0, 0u64);
        while now < LENGTH_SECS {
            step += 1;
            let before = now;
            now = step as f64 * STEP_SECS;
            let is_due = |t: f64| before < t && t <= now;
            if is_due(GONE_SECS.0 - 0.3) {
                for chat in burst.clone() {
                    let t = &self.chats[chat];
                    let turn = Turn {
                        conversation: t.number,
                        tenant: t.tenant,
                        prefix: t.prefix.clone(),
                        new_blocks: 0,
                        worth: 1.0,
                        time_left: at(1.0),
                    };
                    self.next += 1;
                    let token = AttemptToken(self.next);
                    self.routers[burst_by].on_sent(at(now), token, &turn, SiteId(lost as u32));
                    self.routers[burst_by].on_answered(at(now), token, Some(0), at(0.01));
                }
            }
            if is_due(GONE_SECS.0) {
                self.lose_site(now, lost);
            }
            if is_due(GONE_SECS.1) {
                self.return_site(now, lost);
            }
            if is_due(part) {
                let one = self.rng.usize(..ACTIVATORS);
                for a in (0..ACTIVATORS).filter(|a| *a != one) {
                    (self.cut[a][one], self.cut[one][a]) = (true, true);
                }
            }
            if is_due(part + 7.0) {
                self.cut.iter_mut().for_each(|row| row.fill(false));
            }
            let due: Vec<InFlight> = self.sent.extract_if(.., |o| o.at <= now).collect();
            due.into_iter().for_each(|o| self.done(now, o));
            self.exchange_messages(now);
            for by in 0..ACTIVATORS {
                self.release(now, by);
            }
            let due: Vec<usize> = (0..self.chats.len())
                .filter(|t| self.chats[*t].next <= now && !self.chats[*t].active)
                .collect();
            due.into_iter().for_each(|t| self.arrived(now, t, 0.5));
            if is_due(burst_at) {
                burst.clone().for_each(|t| self.arrived(now, t, 20.0));
            }
        }
        self.events
    }
}

/// Checks a history, from its events alone.
fn check(events: &[(f64, Event)]) -> Result<(), Violation> {
    let settings = Settings::default();
    let fail = |rule, said: String| Err(Violation(rule, said));
    let mut lost = BTreeMap::new();
    let mut back: Option<(usize, f64)> = None;
    // Blocks computed at each site: the recomputed ones, one new one, and one for the turn itself.
    let mut computed: Vec<Vec<(f64, f64)>> = vec![Vec::new(); SITES];
    let mut recomputed: Vec<Vec<(f64, f64)>> = vec![Vec::new(); SITES];
    let mut turns: HashMap<u64, (usize, f64)> = HashMap::new();
    let mut queue: BTreeMap<u64, f64> = BTreeMap::new();
    // For each waiting turn, the lowest value of a turn of its activator that was sent meanwhile.
    let mut lowest: HashMap<u64, f64> = HashMap::new();
    let mut ended: HashSet<u64> = HashSet::new();
    let mut lying = (0, 0);
    for (now, event) in events {
        let over = queue.iter().find(|(_, until)| **until + 2.0 * STEP_SECS < *now);
        if let Some((id, until)) = over {
            return fail(Rule::Deadline, format!("turn {id} waits at {now:.3} s, past {until:.3} s"));
        }
        match event {
            Event::Arrived { id, by, value } => drop(turns.insert(*id, (*by, *value))),
            Event::Queued { id, until } => {
                queue.insert(*id, *until);
                lowest.insert(*id, f64::MAX);
            }
            Event::Sent { id, by, site, blocks, displaced } => {
                if let Some(since) = lost.get(site) {
                    return fail(
                        Rule::LostSite,
                        format!("turn {id} was sent at {now:.3} s to {site}, lost at {since}"),
                    );
                }
                queue.remove(id);
                let first = ended.insert(*id);
                computed[*site].push((*now, *blocks as f64 + 2.0));
                let value = turns[id].1;
                if *displaced {
                    recomputed[*site].push((*now, *blocks as f64));
                }
                // Only the first attempt of a turn counts: a retry may go ahead of waiting turns.
                if *displaced && first {
                    let others =
                        lowest.iter_mut().filter(|(w, _)| queue.contains_key(w) && turns[w].0 == *by);
                    others.for_each(|(_, least)| *least = least.min(value));
                }
            }
            Event::Rejected { id } => {
                if !ended.insert(*id) {
                    return fail(Rule::OneEnd, format!("turn {id} was rejected after it was sent"));
                }
                queue.remove(id);
                let (value, least) = (turns[id].1, lowest.get(id).copied().unwrap_or(f64::MAX));
                if least < value {
                    return fail(
                        Rule::ValueOrder,
                        format!("turn {id} of {value} was rejected at {now:.3} s, one of {least} sent"),
                    );
                }
            }
            Event::LyingTurn { answers, influenced } => {
                if *answers > MAX_TRUSTED_ANSWERS {
                    lying = (lying.0 + usize::from(*influenced), lying.1 + 1);
                }
            }
            Event::SiteLost { site } => drop(lost.insert(*site, *now)),
            Event::SiteReturned { site } => {
                lost.remove(site);
                back = Some((*site, *now));
            }
            Event::PeerLoad { by, site, load, most } => {
                // For a site that has just come, an activator may assume load that others have not reported.
                let fresh = *now < 10.0 || back.is_some_and(|(s, since)| s == *site && now - since < 10.5);
                if !fresh && *load > most * 1.01 + 1.0 {
                    return fail(
                        Rule::PeerLoads,
                        format!("{by} has {load:.0} of others at {site} at {now:.3} s; reported {most:.0}"),
                    );
                }
            }
            Event::QueueLength { by, n } => {
                if *n > MAX_WAITING_TURNS {
                    return fail(Rule::QueueBound, format!("{n} turns wait at {by} at {now:.3} s"));
                }
            }
        }
    }
    if let Some((id, _)) = turns.iter().find(|(id, _)| !ended.contains(id) && !queue.contains_key(id)) {
        return fail(Rule::OneEnd, format!("turn {id} has no end"));
    }
    // In any window, no site recomputes more than the shared budget plus a fixed slack: the budget of one second, and
    // one longest prefix per activator.
    let rate = settings.recompute_share * LANES / settings.block_cost.as_secs_f64();
    let slack = rate + (MAX_HASHES * ACTIVATORS) as f64;
    for (site, all) in recomputed.iter().enumerate() {
        for (i, (from, _)) in all.iter().enumerate() {
            let mut sum = 0.0;
            for (to, blocks) in &all[i..] {
                sum += blocks;
                if sum > rate * (to - from) + slack {
                    return fail(
                        Rule::Budget,
                        format!("{sum:.0} blocks recomputed at {site} from {from:.3} to {to:.3} s"),
                    );
                }
            }
        }
    }
    if recomputed.iter().map(Vec::len).sum::<usize>() < 100 {
        return fail(Rule::Budget, "nothing was recomputed".into());
    }
    if let Some((site, since)) = back {
        // Within one second the variance is high, within five it is low. If the site's load is not seeded from the
        // others, it gets thirty times the mean.
        for (from, length, most) in
            [(0.0, 1.0, 3.0), (1.0, 1.0, 3.0), (2.0, 1.0, 3.0), (3.0, 1.0, 3.0), (0.0, 5.0, 1.5)]
        {
            let within = |all: &[(f64, f64)]| {
                let (a, b) = (since + from, since + from + length);
                all.iter().filter(|(t, _)| (a..b).contains(t)).map(|(_, n)| n).sum::<f64>()
            };
            let others: f64 = (0..SITES).filter(|s| *s != site).map(|s| within(&computed[s])).sum();
            let (own, mean) = (within(&computed[site]), others / (SITES - 1) as f64);
            if own > most * mean + 128.0 {
                return fail(
                    Rule::ReturnOverload,
                    format!("{own:.0} blocks within {length} s, {from} s after the return; others {mean:.0}"),
                );
            }
        }
    }
    if lying.0 * 10 > lying.1 {
        return fail(
            Rule::LyingTenant,
            format!("{} of the lying tenant's last {} turns used its hashes", lying.0, lying.1),
        );
    }
    Ok(())
}

const SEEDS: std::ops::Range<u64> = 100..132;

#[test]
fn generated_histories_violate_no_rule() {
    let mut all = Vec::new();
    for seed in SEEDS {
        let events = Fleet::new(seed, None).run();
        assert!(events.len() > 5_000);
        let violation = check(&events).err().map(|violation| format!("seed {seed}: {violation}"));
        all.extend(violation);
    }
    assert!(all.is_empty(), "{}", all.join("\n"));
}

/// Each injected fault is detected by the rule meant for it.
#[test]
fn injected_faults_are_detected() {
    let faults = [
        (Fault::BudgetNotShared, Rule::Budget),
        (Fault::RetryNotCharged, Rule::Budget),
        (Fault::LostSiteAdvised, Rule::LostSite),
        (Fault::UnseededReturn, Rule::ReturnOverload),
        (Fault::LyingTenantTrusted, Rule::LyingTenant),
        (Fault::PeerLoadsAddedTwice, Rule::PeerLoads),
        (Fault::WaitDeadlineIgnored, Rule::Deadline),
        (Fault::LowestValueFirst, Rule::ValueOrder),
        (Fault::WaitQueueUnbounded, Rule::QueueBound),
    ];
    for (fault, rule) in faults {
        let mut seeds = SEEDS;
        let found = seeds.find_map(|seed| Some((seed, check(&Fleet::new(seed, Some(fault)).run()).err()?)));
        let (seed, violation) = found.unwrap_or_else(|| panic!("{fault:?} is not detected"));
        println!("{fault:?}: seed {seed}: {violation}");
        assert_eq!(violation.0, rule, "{fault:?}, seed {seed}: {violation}");
    }
}
