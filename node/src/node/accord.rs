//! The agreed settings, bound to engine, pool and operators. What is agreed is decided by `wheellink_accord`, what a
//! document means here by `crate::accords`.

mod operate;

use std::collections::BTreeSet;
use std::sync::Arc;

use serde_json::{json, Value};
use wheellink_accord::{
    ActiveTerms, Change, Digest, Document, Key, Output, Participant, ProposalError, ProposalId, Refusal, Role,
};

use super::*;
use crate::accords::office::Office;
use crate::accords::terms::{Base, InForce, Terms};
use crate::accords::{number, Setup};
use crate::membership;
use crate::membership::envelope::Kind;

/// Readings kept beside those in force: of the floor, the version before, and the one to come.
const MOST_READ: usize = 6;
/// Hosts that operators are shown.
const MOST_SHOWN: usize = 50;
/// A tenant may be ahead of its rate by so much: calls come in bunches.
const AHEAD: Micros = 100_000;
/// The cap of requests that are open at once in the whole fleet.
const OPEN: &str = "open";
/// Results of changes that operators are shown.
const MOST_SETTLED: usize = 32;

/// See the module's page.
pub(super) struct Agreed {
    accord: Participant,
    setup: (Setup, membership::Setup),
    bound: Duration,
    office: Option<Office>,
    base: Arc<Base>,
    acting: ActiveTerms,
    in_force: InForce,
    /// Readings by the digest of what was read, newest last.
    read: Vec<(Digest, Arc<Terms>)>,
    /// Members among whom the caps of the fleet are shared out.
    roster: usize,
    /// By tenant, up to when its calls have been paid for.
    paid: HashMap<usize, Micros>,
    /// Hosts that are out by a document.
    out: BTreeSet<WorkerId>,
    settled: VecDeque<(ProposalId, Result<wheellink_accord::Version, ProposalError>)>,
    /// Changes of what is obeyed since the start.
    turns: u64,
}

/// A clock that nobody sets and that goes on while the machine sleeps: the others' leases do.
fn since_boot() -> Duration {
    let t = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    Duration::new(t.tv_sec as u64, t.tv_nsec as u32)
}

/// What is obeyed, as machines read it: `N DIGEST`, `both N and M`, or `the floor of N`, N being the newest known.
fn said(acting: &ActiveTerms, known: u64) -> String {
    match acting {
        ActiveTerms::Floor(_) => format!("the floor of {known}"),
        ActiveTerms::Single(version, _) => format!("{} {}", version.number, short(&version.digest)),
        ActiveTerms::Joint { old, new, .. } => format!("both {} and {}", old.number, new.number),
    }
}

fn short(digest: &Digest) -> String {
    digest.to_string().chars().take(8).collect()
}

impl Agreed {
    fn open(
        handle: &Handle,
        setup: (&Setup, &membership::Setup),
        base: Arc<Base>,
        seed: u64,
    ) -> Result<Self, String> {
        let settings = setup.0.settings(setup.1)?;
        let bound = settings.bound();
        let me = setup.1.names().next().map(number).ok_or("no name")?;
        let life = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        let life = life.unwrap_or_default().as_millis() as u64;
        let accord = Participant::new(settings, me, life, seed, since_boot()).map_err(|e| e.to_string())?;
        // Without the thread documents are read in the loop: calls wait meanwhile, and nothing else.
        let office = if setup.0.thread { Office::open(handle).ok() } else { None };
        let acting = accord.status(since_boot()).active;
        let setup = (setup.0.clone(), setup.1.clone());
        Ok(Self {
            roster: setup.1.names().count(),
            accord,
            setup,
            bound,
            office,
            base,
            acting,
            in_force: InForce::default(),
            read: Vec::new(),
            paid: HashMap::new(),
            out: BTreeSet::new(),
            settled: VecDeque::new(),
            turns: 0,
        })
    }

    /// Ends it: the hosts that were out by it. Freeing large documents would be a pause, so a thread does that.
    fn close(self) -> BTreeSet<WorkerId> {
        let Self { accord, office, acting, in_force, read, out, .. } = self;
        drop(office);
        let large = (accord, acting, in_force, read);
        // Without a thread they are freed here: what could not be begun drops what it was given.
        drop(std::thread::Builder::new().name("freeing".into()).spawn(move || drop(large)));
        out
    }

    fn reading(&mut self, digest: Digest, document: &Document) -> Result<Arc<Terms>, String> {
        if let Some((_, terms)) = self.read.iter().find(|(known, _)| *known == digest) {
            return Ok(terms.clone());
        }
        let terms = Arc::new(Terms::read(document, &self.base, || false)?);
        self.keep(digest, terms.clone());
        Ok(terms)
    }

    fn keep(&mut self, digest: Digest, terms: Arc<Terms>) {
        self.read.retain(|(known, _)| *known != digest);
        self.read.push((digest, terms));
        while self.read.len() > MOST_READ {
            let (_, old) = self.read.remove(0);
            self.office.iter_mut().for_each(|office| office.retire(old.clone()));
        }
    }

    pub(super) fn acting(&self) -> &ActiveTerms {
        &self.acting
    }

    /// The reading of the newest that is obeyed.
    pub(super) fn newest(&self) -> Option<&Terms> {
        self.in_force.terms.last().map(|terms| &**terms)
    }

    /// A version that is on its way.
    pub(super) fn pending(&self) -> Option<u64> {
        self.accord.status(since_boot()).pending.map(|(version, _)| version.number)
    }

    /// Requests that this one may have open, where that is capped: an equal share of the fleet's.
    fn most_open(&self) -> Option<usize> {
        self.in_force.limit(OPEN).map(|cap| (cap.max(0) as usize) / self.roster)
    }

    /// Whether a call is within this one's share of the fleet's caps; if so it is counted.
    fn takes(&mut self, now: Micros, tenant: Option<usize>, open: usize) -> bool {
        if self.most_open().is_some_and(|most| open >= most) {
            return false;
        }
        let Some((tenant, milli)) = tenant.and_then(|t| Some((t, self.in_force.quota(t)?))) else {
            return true;
        };
        if milli <= 0 {
            return false;
        }
        // The share of one activator is a part of each second, kept to by each alone.
        let each = (1e9 * self.roster as f64 / milli as f64) as Micros;
        let paid = self.paid.entry(tenant).or_default();
        let ahead = *paid > now + AHEAD;
        if !ahead {
            *paid = (*paid).max(now) + each;
        }
        !ahead
    }

    /// Works out what is obeyed.
    fn obey(&mut self, acting: ActiveTerms) -> Result<(), String> {
        let floor = matches!(acting, ActiveTerms::Floor(_));
        let known = |digest: Digest| self.read.iter().find(|(d, _)| *d == digest).map(|(_, t)| t.clone());
        let terms = match &acting {
            ActiveTerms::Joint { old, new, terms } => match (known(old.digest), known(new.digest)) {
                (Some(old), Some(new)) => vec![old, new],
                // It came in between: the terms of both, as the accord made them.
                _ => vec![self.reading(terms.digest(), &terms.clone())?],
            },
            ActiveTerms::Single(version, document) => vec![self.reading(version.digest, &document.clone())?],
            ActiveTerms::Floor(document) => vec![self.reading(document.digest(), &document.clone())?],
        };
        self.in_force = InForce { terms, floor };
        self.acting = acting;
        self.turns += 1;
        Ok(())
    }
}

impl Node {
    fn base(&self) -> Arc<Base> {
        let d = &self.config.deployment;
        let (settings, classes, tenants) = (d.settings.clone(), d.classes.clone(), d.tenants.clone());
        Arc::new(Base { settings, classes, tenants })
    }

    /// What the engine is to keep to, before what a rollout binds.
    pub(super) fn agreed(&self) -> &Settings {
        self.agreed_settings.as_ref().unwrap_or(&self.config.deployment.settings)
    }

    /// Begins, goes on, or ends, as the file says.
    pub(super) fn attend_accord(&mut self, now: Micros) {
        let wanted = self.config.accord.as_ref().zip(self.config.members.as_ref());
        let same = self.agreed.as_ref().zip(wanted).is_some_and(|(a, w)| (&a.setup.0, &a.setup.1) == w);
        let base = self.base();
        if same {
            if let Some(agreed) = &mut self.agreed {
                agreed.base = base;
                for (_, terms) in std::mem::take(&mut agreed.read) {
                    agreed.office.iter_mut().for_each(|office| office.retire(terms.clone()));
                }
                let acting = agreed.acting.clone();
                return self.act(now, acting, false);
            }
        }
        let were_out = self.agreed.take().map(Agreed::close).unwrap_or_default();
        let opened = wanted.map(|setup| Agreed::open(&self.handle, setup, base, self.config.seed));
        match opened {
            Some(Ok(agreed)) => {
                let (acting, bound) = (agreed.acting.clone(), agreed.bound.as_millis());
                self.agreed = Some(agreed);
                let line = format!("accord: no two contradict each other for more than {bound} ms");
                self.log.line(now, line);
                self.act(now, acting, true);
            }
            Some(Err(e)) => self.log.line(now, format_args!("accord: not begun: {e}")),
            None => {}
        }
        if self.agreed.is_none() {
            self.put_in_force(now);
        }
        were_out.iter().for_each(|host| self.update_in_service(now, host));
    }

    /// Why this configuration cannot follow while such a version is in force.
    pub(super) fn may_be_followed(&self, next: &Config) -> Result<(), String> {
        let Some(agreed) = &self.agreed else { return Ok(()) };
        let same =
            next.accord.as_ref() == Some(&agreed.setup.0) && next.members.as_ref() == Some(&agreed.setup.1);
        if !same {
            return Ok(());
        }
        if agreed.accord.status(since_boot()).pending.is_some() {
            return Err("accord: a version is on its way; try again when it is in force".into());
        }
        let d = &next.deployment;
        let base =
            Base { settings: d.settings.clone(), classes: d.classes.clone(), tenants: d.tenants.clone() };
        Terms::read(agreed.acting.terms(), &base, || false)
            .map(drop)
            .map_err(|e| format!("accord: in force is {e}"))
    }

    /// Other members' bytes.
    pub(super) fn heard_accord(&mut self, now: Micros, from: wheellink_members::MemberId, data: &[u8]) {
        let Some(agreed) = &mut self.agreed else { return };
        let mut out = Vec::new();
        agreed.accord.receive(since_boot(), wheellink_accord::MemberId(from.0), data, &mut out);
        self.carry_out_accord(now, out);
    }

    /// Does what is due. Called before anything is looked at and before anything is sent: after a pause the lease may
    /// have ended, and nothing may be done on it. Whether something else is obeyed now.
    pub(super) fn mind_accord(&mut self) -> bool {
        let Some(agreed) = &mut self.agreed else { return false };
        let at = since_boot();
        if agreed.accord.next_timer().is_none_or(|due| due > at) {
            return false;
        }
        let (mut out, before) = (Vec::new(), agreed.turns);
        agreed.accord.on_timer(at, &mut out);
        let now = self.clock.now();
        self.carry_out_accord(now, out);
        self.agreed.as_ref().is_some_and(|agreed| agreed.turns != before)
    }

    /// A step of the accord's work on whole documents, if there is any. Whether there is more: calls that came meanwhile
    /// are looked at first.
    pub(super) fn go_on_with_accord(&mut self) -> bool {
        let Some(agreed) = self.agreed.as_mut().filter(|agreed| agreed.accord.has_work()) else {
            return false;
        };
        let mut out = Vec::new();
        agreed.accord.run_step(since_boot(), &mut out);
        let now = self.clock.now();
        self.carry_out_accord(now, out);
        self.process_events();
        self.agreed.as_ref().is_some_and(|agreed| agreed.accord.has_work())
    }

    pub(super) fn next_accord(&self, now: Micros) -> Micros {
        let wait = self
            .agreed
            .as_ref()
            .and_then(|a| a.accord.next_timer())
            .map(|at| at.saturating_sub(since_boot()));
        wait.map_or(Micros::MAX, |wait| now.saturating_add(wait.as_micros() as Micros))
    }

    /// The thread has read something.
    pub(super) fn prepared(&mut self) {
        let now = self.clock.now();
        let reading = self.agreed.as_ref().and_then(|a| a.office.as_ref()).and_then(Office::latest);
        if let (Some(agreed), Some(reading)) = (&mut self.agreed, reading) {
            let result = reading.terms.map(|terms| agreed.keep(reading.version.digest, terms));
            let mut out = Vec::new();
            agreed.accord.on_prepared(since_boot(), reading.version, result.map_err(refusal), &mut out);
            self.carry_out_accord(now, out);
        }
        self.process_events();
    }

    fn carry_out_accord(&mut self, now: Micros, out: Vec<Output>) {
        let mut todo = VecDeque::from(out);
        while let Some(o) = todo.pop_front() {
            let Some(agreed) = &mut self.agreed else { return };
            match o {
                Output::Send { to, data } => {
                    if let Some(membership) = &self.membership {
                        membership.send(wheellink_members::MemberId(to.0), Kind::Accord, &data);
                    }
                }
                Output::Prepare { version, document } => {
                    let base = agreed.base.clone();
                    let result = match &mut agreed.office {
                        Some(office) => match office.read(version, document, base) {
                            Ok(()) => continue,
                            Err(why) => Err(Refusal::Other(why.into())),
                        },
                        None => agreed.reading(version.digest, &document).map(drop).map_err(refusal),
                    };
                    let mut more = Vec::new();
                    agreed.accord.on_prepared(since_boot(), version, result, &mut more);
                    todo.extend(more);
                }
                Output::Apply(acting) => self.act(now, acting, true),
                Output::Settled { change, result } => {
                    match &result {
                        Ok(version) => self.log.line(
                            now,
                            format_args!("accord: change {} is version {}", id(&change), version.number),
                        ),
                        Err(why) => self
                            .log
                            .line(now, format_args!("accord: change {} is not taken: {why}", id(&change))),
                    }
                    agreed.settled.push_back((change, result));
                    if agreed.settled.len() > MOST_SETTLED {
                        agreed.settled.pop_front();
                    }
                }
                Output::Log(line) => self.log.line(now, format_args!("accord: {line}")),
            }
        }
    }

    /// Obeys this from now on: what was decided by what was obeyed before and has not left is decided anew.
    fn act(&mut self, now: Micros, acting: ActiveTerms, told: bool) {
        let Some(agreed) = &mut self.agreed else { return };
        let line = said(&acting, agreed.accord.status(since_boot()).known.number);
        if let Err(problem) = agreed.obey(acting) {
            // The accord does not act on what was refused here, so this is a fault of the program: the safest is kept.
            self.log
                .line(now, format_args!("accord: {line} cannot be read, the terms before stay: {problem}"));
            return;
        }
        self.put_in_force(now);
        if told {
            self.log.line(now, format_args!("accord: acts on {line}"));
        }
    }

    /// Proposes what this activator itself found. One that is refused is looked at again by who found it.
    pub(super) fn propose_own(&mut self, now: Micros, what: &str, change: Change) {
        let Some(agreed) = &mut self.agreed else { return };
        let (mut out, keys) = (Vec::new(), change.set.len());
        match agreed.accord.propose(since_boot(), change, &mut out) {
            Ok(change) => {
                self.log.line(now, format_args!("accord: {what} propose {} with {keys} keys", id(&change)))
            }
            Err(why) => self.log.line(now, format_args!("accord: what {what} propose is not taken: {why}")),
        }
        self.carry_out_accord(now, out);
    }

    fn put_in_force(&mut self, now: Micros) {
        self.apply_agreed();
        self.agreed_settings = self.agreed.as_ref().map(|a| a.in_force.settings(&a.base));
        let settings = self.effective_settings();
        self.run_engine(|engine, out| engine.update_terms(now, settings, out));
        let hosts: Vec<WorkerId> = self.hosts.listed().cloned().collect();
        self.bar_agreed(now, hosts.iter());
        let mut kept = VecDeque::new();
        let mut never = Vec::new();
        for command in std::mem::take(&mut self.commands) {
            match command {
                Command::Send { attempt, host, .. } => never.push((attempt, host)),
                other => kept.push_back(other),
            }
        }
        self.commands = kept;
        never.into_iter().for_each(|(attempt, host)| self.announce_unsent(now, attempt, host));
    }

    /// Has these hosts out or in, as what is obeyed says.
    pub(super) fn bar_agreed<'a>(&mut self, now: Micros, hosts: impl Iterator<Item = &'a WorkerId>) {
        let Some(agreed) = &self.agreed else { return };
        let differs = |h: &&WorkerId| agreed.in_force.is_out(&h.0) != agreed.out.contains(*h);
        let mut changed: Vec<WorkerId> = agreed.out.iter().filter(differs).cloned().collect();
        changed.extend(hosts.filter(differs).cloned());
        for host in changed {
            let Some(agreed) = &mut self.agreed else { return };
            let out = agreed.in_force.is_out(&host.0);
            if out == agreed.out.contains(&host) {
                continue;
            }
            if out {
                agreed.out.insert(host.clone());
            } else {
                agreed.out.remove(&host);
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
    /// Whether a call is of a function that is served, and within this one's share of what the fleet may take.
    pub(super) fn is_within_caps(&mut self, now: Micros, tenant: Option<usize>, function: &str) -> bool {
        let open = self.pending.len();
        let Some(agreed) = &mut self.agreed else { return true };
        let out = agreed.setup.0.functions_out.as_ref();
        let served = !out.is_some_and(|list| agreed.in_force.lists(list, function));
        served && agreed.takes(now, tenant, open)
    }

    /// Whether connections from there are closed unread.
    pub(super) fn is_address_out(&self, from: std::net::IpAddr) -> bool {
        let Some(agreed) = &self.agreed else { return false };
        let list = agreed.setup.0.addresses_out.as_ref();
        list.is_some_and(|list| agreed.in_force.lists(list, &from.to_string()))
    }

    /// Whether a document has this host out.
    pub(super) fn is_out_as_agreed(&self, host: &WorkerId) -> bool {
        self.agreed.as_ref().is_some_and(|agreed| agreed.out.contains(host))
    }
}

fn refusal(why: String) -> Refusal {
    Refusal::Other(why)
}

fn id(change: &ProposalId) -> String {
    format!("{}.{}.{}", change.proposer.0, change.incarnation, change.count)
}
