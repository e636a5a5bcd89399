//! Applies the settings on which the activators agree to the engine and the host pool, and shows them to operators.
//! `wheellink_accord` runs the agreement protocol; `crate::accords` translates documents into settings.

mod operate;

use std::collections::BTreeSet;
use std::sync::Arc;

use serde_json::{json, Value};
use wheellink_accord::{
    ActiveTerms, Change, Digest, Document, Key, Output, Participant, ProposalError, ProposalId, Refusal, Role,
};

use super::*;
use crate::accords::preparer::Preparer;
use crate::accords::terms::{Base, Terms, TermsInForce};
use crate::accords::{member_id, Setup};
use crate::membership;
use crate::membership::envelope::Kind;

/// Maximum number of cached terms. Besides those in force, the cache holds the floor, the previous version and the
/// pending one.
const MAX_CACHED_TERMS: usize = 6;
/// Maximum number of hosts in the answer to `GET /accord`.
const MAX_SHOWN_HOSTS: usize = 50;
/// Maximum time by which a tenant's calls may run ahead of its quota, as calls arrive in bursts.
const MAX_QUOTA_BURST_US: Micros = 100_000;
/// Name of the limit on requests that are open at the same time in the whole fleet.
const OPEN_LIMIT: &str = "open";
/// Maximum number of settled changes that are kept for `GET /accord`.
const MAX_SETTLED_CHANGES: usize = 32;

/// The accord of this activator and the terms in force.
pub(super) struct AgreedSettings {
    accord: Participant,
    setup: (Setup, membership::Setup),
    /// Longest time for which two activators may act on contradicting terms.
    bound: Duration,
    preparer: Option<Preparer>,
    base: Arc<Base>,
    active: ActiveTerms,
    in_force: TermsInForce,
    /// Documents that were read, by digest, newest last.
    cached: Vec<(Digest, Arc<Terms>)>,
    /// Number of members among which the limits of the fleet are divided.
    roster: usize,
    /// The time up to which each tenant has used its quota.
    used_until: HashMap<usize, Micros>,
    /// Hosts that the terms in force exclude from new requests.
    hosts_out: BTreeSet<WorkerId>,
    /// Results of changes proposed here, newest last.
    settled: VecDeque<(ProposalId, Result<wheellink_accord::Version, ProposalError>)>,
    /// Number of times that the terms in force were replaced since the start.
    changes: u64,
}

/// Time since boot. This clock cannot be set, and it continues while the machine is suspended, because leases continue at
/// the other members.
fn since_boot() -> Duration {
    let t = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    Duration::new(t.tv_sec as u64, t.tv_nsec as u32)
}

/// The terms in force in the form that tools parse: `N DIGEST`, `both N and M`, or `the floor of N`, where N is the newest
/// known version.
fn describe(active: &ActiveTerms, known: u64) -> String {
    match active {
        ActiveTerms::Floor(_) => format!("the floor of {known}"),
        ActiveTerms::Single(version, _) => format!("{} {}", version.number, short(&version.digest)),
        ActiveTerms::Joint { old, new, .. } => format!("both {} and {}", old.number, new.number),
    }
}

/// The first eight digits of a digest.
fn short(digest: &Digest) -> String {
    digest.to_string().chars().take(8).collect()
}

impl AgreedSettings {
    fn open(
        handle: &Handle,
        setup: (&Setup, &membership::Setup),
        base: Arc<Base>,
        seed: u64,
    ) -> Result<Self, String> {
        let settings = setup.0.settings(setup.1)?;
        let bound = settings.bound();
        let me = setup.1.names().next().map(member_id).ok_or("no name")?;
        let start = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        let start = start.unwrap_or_default().as_millis() as u64;
        let accord = Participant::new(settings, me, start, seed, since_boot()).map_err(|e| e.to_string())?;
        // Without the thread, documents are read in the event loop, which delays calls but has no other effect.
        let preparer = if setup.0.thread { Preparer::open(handle).ok() } else { None };
        let active = accord.status(since_boot()).active;
        let setup = (setup.0.clone(), setup.1.clone());
        Ok(Self {
            roster: setup.1.names().count(),
            accord,
            setup,
            bound,
            preparer,
            base,
            active,
            in_force: TermsInForce::default(),
            cached: Vec::new(),
            used_until: HashMap::new(),
            hosts_out: BTreeSet::new(),
            settled: VecDeque::new(),
            changes: 0,
        })
    }

    /// Ends the accord and returns the hosts that it excluded. A thread frees the documents, as freeing large ones in the
    /// event loop would delay calls.
    fn close(self) -> BTreeSet<WorkerId> {
        let Self { accord, preparer, active, in_force, cached, hosts_out, .. } = self;
        drop(preparer);
        let large = (accord, active, in_force, cached);
        // If the thread cannot be started, its closure is dropped here, which frees the documents in the event loop.
        drop(std::thread::Builder::new().name("freeing".into()).spawn(move || drop(large)));
        hosts_out
    }

    /// Reads a document, unless its terms are cached.
    fn read(&mut self, digest: Digest, document: &Document) -> Result<Arc<Terms>, String> {
        if let Some((_, terms)) = self.cached.iter().find(|(known, _)| *known == digest) {
            return Ok(terms.clone());
        }
        let terms = Arc::new(Terms::read(document, &self.base, || false)?);
        self.cache(digest, terms.clone());
        Ok(terms)
    }

    /// Caches terms and retires the oldest above the maximum.
    fn cache(&mut self, digest: Digest, terms: Arc<Terms>) {
        self.cached.retain(|(known, _)| *known != digest);
        self.cached.push((digest, terms));
        while self.cached.len() > MAX_CACHED_TERMS {
            let (_, old) = self.cached.remove(0);
            self.preparer.iter_mut().for_each(|preparer| preparer.retire(old.clone()));
        }
    }

    pub(super) fn active(&self) -> &ActiveTerms {
        &self.active
    }

    /// The newest terms in force.
    pub(super) fn newest_terms(&self) -> Option<&Terms> {
        self.in_force.terms.last().map(|terms| &**terms)
    }

    /// The number of the pending version.
    pub(super) fn pending(&self) -> Option<u64> {
        self.accord.status(since_boot()).pending.map(|(version, _)| version.number)
    }

    /// Maximum number of open requests of this activator, if limited: an equal share of the fleet's limit.
    fn max_open(&self) -> Option<usize> {
        self.in_force.limit(OPEN_LIMIT).map(|limit| (limit.max(0) as usize) / self.roster)
    }

    /// Whether a call is within this activator's share of the fleet's limits. If so, it is charged to the tenant's quota.
    fn admits(&mut self, now: Micros, tenant: Option<usize>, open: usize) -> bool {
        if self.max_open().is_some_and(|max| open >= max) {
            return false;
        }
        let Some((tenant, milli)) = tenant.and_then(|t| Some((t, self.in_force.quota(t)?))) else {
            return true;
        };
        if milli <= 0 {
            return false;
        }
        // Each activator enforces an equal share of the fleet's rate, without regard to the calls of the others.
        let interval = (1e9 * self.roster as f64 / milli as f64) as Micros;
        let used_until = self.used_until.entry(tenant).or_default();
        let ahead = *used_until > now + MAX_QUOTA_BURST_US;
        if !ahead {
            *used_until = (*used_until).max(now) + interval;
        }
        !ahead
    }

    /// Applies new indexes of the tenants.
    fn renumber(&mut self, renumbering: &Renumbering) {
        let used = std::mem::take(&mut self.used_until).into_iter();
        self.used_until = used.filter_map(|(id, until)| Some((renumbering.tenants.of(id)?, until))).collect();
    }

    /// Puts the terms of the accord in force.
    fn apply(&mut self, active: ActiveTerms) -> Result<(), String> {
        let floor = matches!(active, ActiveTerms::Floor(_));
        let known = |digest: Digest| self.cached.iter().find(|(d, _)| *d == digest).map(|(_, t)| t.clone());
        let terms = match &active {
            ActiveTerms::Joint { old, new, terms } => match (known(old.digest), known(new.digest)) {
                (Some(old), Some(new)) => vec![old, new],
                // The terms of a version are no longer cached, so the joint terms of the accord apply.
                _ => vec![self.read(terms.digest(), &terms.clone())?],
            },
            ActiveTerms::Single(version, document) => vec![self.read(version.digest, &document.clone())?],
            ActiveTerms::Floor(document) => vec![self.read(document.digest(), &document.clone())?],
        };
        self.in_force = TermsInForce { terms, floor };
        self.active = active;
        self.changes += 1;
        Ok(())
    }
}

impl Node {
    /// The settings of the operator's file.
    fn base(&self) -> Arc<Base> {
        let d = &self.config.deployment;
        let (settings, classes, tenants) = (d.settings.clone(), d.classes.clone(), d.tenants.clone());
        Arc::new(Base { settings, classes, tenants })
    }

    /// Applies new indexes of the tenants to what they used of their quotas.
    pub(super) fn renumber_quotas(&mut self, renumbering: &Renumbering) {
        self.agreed.iter_mut().for_each(|agreed| agreed.renumber(renumbering));
    }

    /// The settings for the engine, before a rollout makes them stricter.
    pub(super) fn agreed_settings(&self) -> &Settings {
        self.agreed_settings.as_ref().unwrap_or(&self.config.deployment.settings)
    }

    /// Starts, updates or ends the accord according to the configuration.
    pub(super) fn configure_accord(&mut self, now: Micros) {
        let wanted = self.config.accord.as_ref().zip(self.config.members.as_ref());
        let same = self.agreed.as_ref().zip(wanted).is_some_and(|(a, w)| (&a.setup.0, &a.setup.1) == w);
        let base = self.base();
        if same {
            if let Some(agreed) = &mut self.agreed {
                agreed.base = base;
                for (_, terms) in std::mem::take(&mut agreed.cached) {
                    agreed.preparer.iter_mut().for_each(|preparer| preparer.retire(terms.clone()));
                }
                let active = agreed.active.clone();
                return self.apply_terms(now, active, false);
            }
        }
        let were_out = self.agreed.take().map(AgreedSettings::close).unwrap_or_default();
        let opened = wanted.map(|setup| AgreedSettings::open(&self.handle, setup, base, self.config.seed));
        match opened {
            Some(Ok(agreed)) => {
                let (active, bound) = (agreed.active.clone(), agreed.bound.as_millis());
                self.agreed = Some(agreed);
                let line = format!("accord: activators contradict each other for {bound} ms at most");
                self.log.line(now, line);
                self.apply_terms(now, active, true);
            }
            Some(Err(e)) => self.log.line(now, format_args!("accord: not started: {e}")),
            None => {}
        }
        if self.agreed.is_none() {
            self.apply_agreed(now);
        }
        were_out.iter().for_each(|host| self.update_in_service(now, host));
    }

    /// Checks that the terms in force are valid together with a new configuration.
    ///
    /// # Errors
    /// The reason, in one line.
    pub(super) fn check_agreed_terms(&self, next: &Config) -> Result<(), String> {
        let Some(agreed) = &self.agreed else { return Ok(()) };
        let same =
            next.accord.as_ref() == Some(&agreed.setup.0) && next.members.as_ref() == Some(&agreed.setup.1);
        if !same {
            return Ok(());
        }
        if agreed.accord.status(since_boot()).pending.is_some() {
            return Err("accord: a version is pending; try again when it is in force".into());
        }
        let d = &next.deployment;
        let base =
            Base { settings: d.settings.clone(), classes: d.classes.clone(), tenants: d.tenants.clone() };
        Terms::read(agreed.active.terms(), &base, || false)
            .map(drop)
            .map_err(|e| format!("accord: in force is {e}"))
    }

    /// Handles a message of another member.
    pub(super) fn receive_accord(&mut self, now: Micros, from: wheellink_members::MemberId, data: &[u8]) {
        let Some(agreed) = &mut self.agreed else { return };
        let mut out = Vec::new();
        agreed.accord.receive(since_boot(), wheellink_accord::MemberId(from.0), data, &mut out);
        self.handle_accord_outputs(now, out);
    }

    /// Runs timers of the accord that are due, and returns whether the terms in force changed. The loop calls this before it
    /// handles any event and before it sends any attempt: the lease may have expired during a pause of the process, and
    /// nothing may be done under an expired lease.
    pub(super) fn tick_accord(&mut self) -> bool {
        let Some(agreed) = &mut self.agreed else { return false };
        let at = since_boot();
        if agreed.accord.next_timer_at().is_none_or(|due| due > at) {
            return false;
        }
        let (mut out, before) = (Vec::new(), agreed.changes);
        agreed.accord.handle_timers(at, &mut out);
        let now = self.clock.now();
        self.handle_accord_outputs(now, out);
        self.agreed.as_ref().is_some_and(|agreed| agreed.changes != before)
    }

    /// Runs one step of the accord's work on whole documents, and returns whether work is left. The loop handles calls that
    /// arrived meanwhile before the next step.
    pub(super) fn run_accord_step(&mut self) -> bool {
        let Some(agreed) = self.agreed.as_mut().filter(|agreed| agreed.accord.has_work()) else {
            return false;
        };
        let mut out = Vec::new();
        agreed.accord.run_step(since_boot(), &mut out);
        let now = self.clock.now();
        self.handle_accord_outputs(now, out);
        self.process_events();
        self.agreed.as_ref().is_some_and(|agreed| agreed.accord.has_work())
    }

    /// The time at which the accord's next timer is due.
    pub(super) fn next_accord_timer(&self, now: Micros) -> Micros {
        let wait = self
            .agreed
            .as_ref()
            .and_then(|a| a.accord.next_timer_at())
            .map(|at| at.saturating_sub(since_boot()));
        wait.map_or(Micros::MAX, |wait| now.saturating_add(wait.as_micros() as Micros))
    }

    /// Reports the document that the thread has read to the accord.
    pub(super) fn accord_prepared(&mut self) {
        let now = self.clock.now();
        let prepared = self.agreed.as_ref().and_then(|a| a.preparer.as_ref()).and_then(Preparer::take_latest);
        if let (Some(agreed), Some(prepared)) = (&mut self.agreed, prepared) {
            let result = prepared.terms.map(|terms| agreed.cache(prepared.version.digest, terms));
            let mut out = Vec::new();
            agreed.accord.on_prepared(since_boot(), prepared.version, result.map_err(refusal), &mut out);
            self.handle_accord_outputs(now, out);
        }
        self.process_events();
    }

    /// Executes outputs of the accord.
    fn handle_accord_outputs(&mut self, now: Micros, out: Vec<Output>) {
        let mut queue = VecDeque::from(out);
        while let Some(output) = queue.pop_front() {
            let Some(agreed) = &mut self.agreed else { return };
            match output {
                Output::Send { to, data } => {
                    if let Some(membership) = &self.membership {
                        membership.send(wheellink_members::MemberId(to.0), Kind::Accord, &data);
                    }
                }
                Output::Prepare { version, document } => {
                    let base = agreed.base.clone();
                    let result = match &mut agreed.preparer {
                        Some(preparer) => match preparer.submit(version, document, base) {
                            Ok(()) => continue,
                            Err(why) => Err(Refusal::Other(why.into())),
                        },
                        None => agreed.read(version.digest, &document).map(drop).map_err(refusal),
                    };
                    let mut more = Vec::new();
                    agreed.accord.on_prepared(since_boot(), version, result, &mut more);
                    queue.extend(more);
                }
                Output::Apply(active) => self.apply_terms(now, active, true),
                Output::Settled { change, result } => {
                    match &result {
                        Ok(version) => self.log.line(
                            now,
                            format_args!("accord: change {} became version {}", id(&change), version.number),
                        ),
                        Err(why) => self
                            .log
                            .line(now, format_args!("accord: change {} was refused: {why}", id(&change))),
                    }
                    agreed.settled.push_back((change, result));
                    if agreed.settled.len() > MAX_SETTLED_CHANGES {
                        agreed.settled.pop_front();
                    }
                }
                Output::Log(line) => self.log.line(now, format_args!("accord: {line}")),
            }
        }
    }

    /// Puts terms in force. Attempts that were decided under the previous terms and are not sent yet are decided again.
    fn apply_terms(&mut self, now: Micros, active: ActiveTerms, log: bool) {
        let Some(agreed) = &mut self.agreed else { return };
        let line = describe(&active, agreed.accord.status(since_boot()).known.number);
        if let Err(problem) = agreed.apply(active) {
            // The accord does not apply a document that was refused here, so this is a bug. The previous terms stay in force.
            self.log.line(now, format_args!("accord: reading {line} failed, previous terms stay: {problem}"));
            return;
        }
        self.apply_agreed(now);
        if log {
            self.log.line(now, format_args!("accord: acts on {line}"));
        }
    }

    /// Proposes a change of a component of this activator. The component reconsiders a change that is refused.
    pub(super) fn propose_internal(&mut self, now: Micros, from: &str, change: Change) {
        let Some(agreed) = &mut self.agreed else { return };
        let (mut out, keys) = (Vec::new(), change.set.len());
        match agreed.accord.propose(since_boot(), change, &mut out) {
            Ok(change) => {
                self.log.line(now, format_args!("accord: {from} propose {} with {keys} keys", id(&change)))
            }
            Err(why) => self.log.line(now, format_args!("accord: a change of {from} was refused: {why}")),
        }
        self.handle_accord_outputs(now, out);
    }

    /// Applies the terms in force to drafts, sites, the engine and the hosts. Attempts that are not sent yet are withheld,
    /// so that the engine decides them again under the new settings.
    fn apply_agreed(&mut self, now: Micros) {
        self.apply_soft_terms();
        self.agreed_settings = self.agreed.as_ref().map(|a| a.in_force.settings(&a.base));
        let settings = self.effective_settings();
        self.run_engine(|engine, out| engine.update_terms(now, settings, out));
        let hosts: Vec<WorkerId> = self.hosts.listed().cloned().collect();
        self.update_agreed_out(now, hosts.iter());
        let mut kept = VecDeque::new();
        let mut withheld = Vec::new();
        for command in std::mem::take(&mut self.commands) {
            match command {
                Command::Send { attempt, host, .. } => withheld.push((attempt, host)),
                other => kept.push_back(other),
            }
        }
        self.commands = kept;
        withheld.into_iter().for_each(|(attempt, host)| self.announce_unsent(now, attempt, host));
    }

    /// Takes these hosts out of service or back in, according to the terms in force.
    pub(super) fn update_agreed_out<'a>(&mut self, now: Micros, hosts: impl Iterator<Item = &'a WorkerId>) {
        let Some(agreed) = &self.agreed else { return };
        let differs = |h: &&WorkerId| agreed.in_force.is_out(&h.0) != agreed.hosts_out.contains(*h);
        let mut changed: Vec<WorkerId> = agreed.hosts_out.iter().filter(differs).cloned().collect();
        changed.extend(hosts.filter(differs).cloned());
        for host in changed {
            let Some(agreed) = &mut self.agreed else { return };
            let out = agreed.in_force.is_out(&host.0);
            if out == agreed.hosts_out.contains(&host) {
                continue;
            }
            if out {
                agreed.hosts_out.insert(host.clone());
            } else {
                agreed.hosts_out.remove(&host);
            }
            self.log.line(
                now,
                format_args!("host {} is {}", host.0, if out { "out as agreed" } else { "in as agreed" }),
            );
            self.update_in_service(now, &host);
        }
    }
}

impl Node {
    /// Whether a call's function is served and the call is within this activator's share of the fleet's limits.
    pub(super) fn is_within_caps(&mut self, now: Micros, tenant: Option<usize>, function: &str) -> bool {
        let open = self.pending.len();
        let Some(agreed) = &mut self.agreed else { return true };
        let out = agreed.setup.0.functions_out.as_ref();
        let served = !out.is_some_and(|list| agreed.in_force.list_contains(list, function));
        served && agreed.admits(now, tenant, open)
    }

    /// Whether connections from an address are closed without reading from them.
    pub(super) fn is_address_blocked(&self, from: std::net::IpAddr) -> bool {
        let Some(agreed) = &self.agreed else { return false };
        let list = agreed.setup.0.addresses_out.as_ref();
        list.is_some_and(|list| agreed.in_force.list_contains(list, &from.to_string()))
    }

    /// Whether the terms in force exclude this host from new requests.
    pub(super) fn is_agreed_out(&self, host: &WorkerId) -> bool {
        self.agreed.as_ref().is_some_and(|agreed| agreed.hosts_out.contains(host))
    }
}

fn refusal(why: String) -> Refusal {
    Refusal::Other(why)
}

/// The id of a proposal in logs and answers.
fn id(change: &ProposalId) -> String {
    format!("{}.{}.{}", change.proposer.0, change.incarnation, change.count)
}
