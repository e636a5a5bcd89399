//! One member: what is called from outside, and how what comes in is handed to the parts.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use crate::change::{tightens, Change};
use crate::document::{Digest, Document, Key, Value};
use crate::fetch::{Fetch, Fetched, Store, WINDOW};
use crate::lease::Holder;
use crate::round::{Round, Step};
use crate::schema::{stricter_of, uncovered};
use crate::settings::{Name, Settings, SettingsError};
use crate::table::{Mark, Phase, ProposalId, Record, Version};
use crate::view::{Acting, Out, Refusal, Rejected, Role, View};
use crate::voter::{Accept, Ballot, Limits, Request, Standing, Voter};
use crate::wire::{decode, encode, Message};

/// What another voter said of itself last.
#[derive(Debug)]
struct Peer {
    life: u64,
    standing: Standing,
    known: Mark,
    /// Whether it knows the life of this one.
    met: bool,
    heard: Duration,
}

/// A change that this voter is to bring in.
#[derive(Debug)]
struct Wish {
    id: ProposalId,
    base: Version,
    new: Version,
    tightens: bool,
    heard: Duration,
}

/// A change of this member's own.
#[derive(Debug)]
struct Mine {
    id: ProposalId,
    base: Version,
    new: Version,
    until: Duration,
    tries: usize,
}

/// One member of the accord. See the crate's first paragraph.
#[derive(Debug)]
pub struct Accord {
    pub(crate) settings: Settings,
    pub(crate) me: Name,
    pub(crate) life: u64,
    rng: fastrand::Rng,
    voter: Option<Voter>,
    holder: Holder,
    /// The newest record known to be chosen.
    known: Record,
    known_since: Duration,
    /// Who told it.
    teller: Name,
    /// The record obeyed while there is a lease.
    adopted: Record,
    /// What `adopted` says, and the fallback.
    obeyed: Acting,
    floor: Arc<Document>,
    /// Whether `obeyed` or the floor was told last.
    leased: bool,
    store: Store,
    fetch: Option<Fetch>,
    fetch_from: Name,
    fetch_again: Duration,
    /// When the last part came in.
    fetch_moved: Duration,
    /// What became of preparing: at most for the versions of `known` and `adopted`.
    prepared: BTreeMap<Digest, Result<(), Refusal>>,
    handed_out: Option<Digest>,
    /// By voter: when a lease was last asked for, and whether that was answered.
    asked: BTreeMap<Name, (Duration, bool)>,
    peers: BTreeMap<Name, Peer>,
    round: Option<(Round, Duration)>,
    highest: u32,
    wish: Option<Wish>,
    mine: Option<Mine>,
    count: u64,
    unwanted: Option<Mark>,
    /// When a majority of voters was last heard voting.
    healthy: Duration,
    tick: Duration,
    /// Documents' bytes sent in this period.
    spent: usize,
    loopback: VecDeque<Message>,
}

impl Accord {
    /// A process that starts with nothing but its settings.
    ///
    /// `life` tells this process from earlier ones of its name: larger for later ones.
    ///
    /// # Errors
    /// Settings that [`Settings::check`] refuses, or a name that is not on the roster.
    pub fn new(
        settings: Settings,
        me: Name,
        life: u64,
        seed: u64,
        now: Duration,
    ) -> Result<Accord, SettingsError> {
        settings.check()?;
        if !settings.roster.contains(&me) {
            return Err(SettingsError {
                key: "voters",
                reason: format!("{me} itself is not among the members"),
            });
        }
        let first = settings.first();
        let version = Version { number: 0, digest: first.digest() };
        let by = ProposalId { name: me, life, count: 0 };
        let record =
            Record { mark: Mark::default(), phase: Phase::Pure(version), least: Mark::default(), by };
        let first = Arc::new(first);
        let floor = Arc::new(stricter_of(&settings.floor, &first.floor()));
        let mut store = Store::default();
        store.put(version.digest, first.clone(), &[]);
        let voter =
            settings.voters.contains(&me).then(|| Voter::new(me, life, Limits::of(&settings), record, now));
        let holder = Holder::new(settings.majority(), settings.shorter(settings.lease));
        Ok(Accord {
            voter,
            holder,
            known: record,
            known_since: now,
            teller: me,
            adopted: record,
            obeyed: Acting::One(version, first),
            floor,
            leased: false,
            store,
            fetch: None,
            fetch_from: me,
            fetch_again: now,
            fetch_moved: now,
            prepared: BTreeMap::new(),
            handed_out: None,
            asked: BTreeMap::new(),
            peers: BTreeMap::new(),
            round: None,
            highest: 0,
            wish: None,
            mine: None,
            count: 0,
            unwanted: None,
            healthy: now,
            tick: now,
            spent: 0,
            loopback: VecDeque::new(),
            rng: fastrand::Rng::with_seed(seed ^ life ^ u64::from(me.0)),
            settings,
            me,
            life,
        })
    }

    /// For tests: plants flaws.
    #[doc(hidden)]
    pub fn flawed(mut self, flaws: crate::voter::Flaws) -> Accord {
        self.voter = self.voter.take().map(|voter| voter.flawed(flaws));
        self.holder = self.holder.flawed(flaws);
        self
    }

    /// What is to be obeyed at this moment. To be asked before acting after any pause: a lease ends by the clock, whether
    /// or not [`Accord::wake`] was called in time.
    pub fn acting(&self, now: Duration) -> Acting {
        if self.holder.holds(now, self.adopted.mark) {
            self.obeyed.clone()
        } else {
            Acting::Floor(self.floor.clone())
        }
    }

    /// Proposes a change of the version in force. What becomes of it is told by [`Out::Settled`].
    ///
    /// # Errors
    /// At once: a base that is not in force here, another change on its way, a change that makes no document.
    pub fn propose(
        &mut self,
        now: Duration,
        change: Change,
        out: &mut Vec<Out>,
    ) -> Result<ProposalId, Rejected> {
        self.check_lease(now, out);
        if self.mine.is_some() {
            return Err(Rejected::NotNow("a change of this one is under way"));
        }
        if !self.holder.holds(now, self.adopted.mark) {
            return Err(Rejected::NotNow("no lease: this one is cut off from a majority of voters"));
        }
        if let Some(version) = self.known.coming() {
            return Err(Rejected::Busy(version));
        }
        let base = self.known.obeyed();
        if base.number != change.base {
            return Err(Rejected::Stale(base));
        }
        let Some(document) = self.store.get(base.digest) else {
            return Err(Rejected::NotNow("the version in force is still on its way here"));
        };
        let made = change.apply(document).map_err(Rejected::Change)?;
        let new = Version { number: base.number + 1, digest: made.digest() };
        self.keep(new.digest, Arc::new(made));
        self.count += 1;
        let id = ProposalId { name: self.me, life: self.life, count: self.count };
        self.mine = Some(Mine { id, base, new, until: now + self.settings.patience * 2, tries: 0 });
        self.push_mine(now, out);
        self.finish(now, out);
        Ok(id)
    }

    /// Gives up the version that is being prepared, before anybody acts on it.
    ///
    /// # Errors
    /// [`Rejected::NotNow`] if none is being prepared.
    pub fn withdraw(&mut self, now: Duration, out: &mut Vec<Out>) -> Result<(), Rejected> {
        self.check_lease(now, out);
        if !matches!(self.known.phase, Phase::Prepare { .. }) {
            return Err(Rejected::NotNow("no version is being prepared"));
        }
        for voter in self.settings.voters.clone() {
            self.send(voter, &Message::Withdraw(self.known.mark), out);
        }
        self.finish(now, out);
        Ok(())
    }

    /// What became of [`Out::Prepare`].
    pub fn prepared(
        &mut self,
        now: Duration,
        version: Version,
        result: Result<(), Refusal>,
        out: &mut Vec<Out>,
    ) {
        self.check_lease(now, out);
        let awaited = self.handed_out == Some(version.digest);
        if awaited {
            self.handed_out = None;
            self.said(version, result, out);
            self.advance(now, out);
            self.ask_leases(now, true, out);
        }
        self.finish(now, out);
    }

    /// A datagram came in.
    pub fn heard(&mut self, now: Duration, from: Name, data: &[u8], out: &mut Vec<Out>) {
        // First of all: whatever was slept through, the lease is looked at before anything is answered.
        self.check_lease(now, out);
        if from == self.me || !self.settings.roster.contains(&from) {
            return;
        }
        if let Some(message) = decode(data) {
            self.handle(now, from, message, out);
            self.finish(now, out);
        }
    }

    /// When [`Accord::wake`] is to be called, at the latest.
    pub fn wake_at(&self) -> Option<Duration> {
        let until = self.holder.until(self.adopted.mark);
        let lease = self.leased.then_some(until);
        Some(lease.map_or(self.tick, |until| until.min(self.tick)))
    }

    /// The time of [`Accord::wake_at`] came.
    pub fn wake(&mut self, now: Duration, out: &mut Vec<Out>) {
        self.check_lease(now, out);
        if now >= self.tick {
            self.tick = now + self.settings.period;
            self.spent = 0;
            self.wake_voter(now, out);
            self.ask_leases(now, false, out);
            self.advance(now, out);
            self.pull(now, false, out);
            self.push_mine(now, out);
            self.drive(now, out);
        }
        self.finish(now, out);
    }

    /// For operators.
    pub fn view(&self, now: Duration) -> View {
        let until = self.holder.until(self.adopted.mark);
        let role = match self.voter.as_ref().map(Voter::standing) {
            None => Role::Activator,
            Some(Standing::Voting) => Role::Voter,
            Some(_) => Role::Silent,
        };
        let mut refused: Vec<(Name, Refusal)> = Vec::new();
        if let Some(voter) = &self.voter {
            let words = voter.words().iter();
            refused.extend(words.filter_map(|(name, word)| Some((*name, word.clone().err()?))));
            refused.extend(voter.waiting(now).into_iter().map(|name| (name, Refusal::Late)));
        } else if let Some(word) = self.known.coming().and_then(|version| self.prepared.get(&version.digest))
        {
            refused.extend(word.clone().err().map(|why| (self.me, why)));
        }
        View {
            acting: self.acting(now),
            known: self.known.obeyed(),
            lease_left: (until > now).then(|| until - now),
            role,
            voters: self.settings.voters.iter().map(|name| (*name, self.holder.from(now, *name))).collect(),
            pending: self
                .known
                .coming()
                .map(|version| (version, matches!(self.known.phase, Phase::Joint { .. }))),
            refused,
            floor: self.floor.clone(),
            fetched: self.fetch.as_ref().map(Fetch::progress),
        }
    }

    fn send(&mut self, to: Name, message: &Message, out: &mut Vec<Out>) {
        if to == self.me {
            self.loopback.push_back(message.clone());
        } else {
            out.push(Out::Send { to, data: encode(message) });
        }
    }

    fn send_voters(&mut self, message: &Message, out: &mut Vec<Out>) {
        for voter in self.settings.voters.clone() {
            self.send(voter, message, out);
        }
    }

    /// What this one said to itself.
    fn finish(&mut self, now: Duration, out: &mut Vec<Out>) {
        while let Some(message) = self.loopback.pop_front() {
            self.handle(now, self.me, message, out);
        }
    }

    fn handle(&mut self, now: Duration, from: Name, message: Message, out: &mut Vec<Out>) {
        match message {
            Message::Request(request) => self.requested(now, from, &request, out),
            Message::Reply { life, at, mark, granted, known, tell } => {
                if life == self.life {
                    self.replied(now, from, at, mark, granted, out);
                }
                if let Some(record) = known {
                    self.learn(now, from, &record, out);
                }
                if tell {
                    self.send(from, &Message::Known(self.known), out);
                }
            }
            Message::Known(record) => self.learn(now, from, &record, out),
            Message::Ask(ask) => {
                self.highest = self.highest.max(ask.ballot.0);
                let Some(voter) = self.voter.as_mut().filter(|_| self.settings.voters.contains(&from)) else {
                    return;
                };
                let behind = ask.mark <= voter.known().mark;
                match voter.ask(now, &ask) {
                    Some(promise) => self.send(from, &Message::Promise(promise), out),
                    None if behind => self.send(from, &Message::Known(self.known), out),
                    None => {}
                }
            }
            Message::Promise(promise) => {
                self.highest = self.highest.max(promise.promised.0);
                if let Some((round, _)) = &mut self.round {
                    let step = round.promised(from, &promise);
                    self.stepped(now, step, out);
                }
            }
            Message::Accept(accept) => {
                let Some(voter) = self.voter.as_mut().filter(|_| self.settings.voters.contains(&from)) else {
                    return;
                };
                if voter.accept(now, &accept) {
                    let accepted = Message::Accepted {
                        mark: accept.record.mark,
                        ballot: accept.ballot,
                        life: self.life,
                    };
                    self.send(from, &accepted, out);
                } else if voter.known().mark > accept.record.mark || accept.basis.is_some() {
                    self.send(from, &Message::Known(self.known), out);
                }
            }
            Message::Accepted { mark, ballot, life } => {
                if let Some((round, _)) = self.round.as_mut().filter(|(round, _)| round.ask().mark == mark) {
                    let step = round.accepted(from, ballot, life);
                    self.stepped(now, step, out);
                }
            }
            Message::State { life, yours, standing, known, promised, accepted } => {
                self.told_state(now, from, life, yours, standing, known, promised, accepted, out);
            }
            Message::Propose { id, base, new } => self.proposed(now, from, id, base, new, out),
            Message::Withdraw(mark) => {
                if self.known.mark == mark && matches!(self.known.phase, Phase::Prepare { .. }) {
                    self.unwanted = Some(mark);
                    self.drive(now, out);
                }
            }
            Message::Want { digest, base, first, mask } => self.wanted(from, digest, base, first, mask, out),
            Message::Chunk { digest, base, total, at, bytes } => {
                let Some(fetch) = &mut self.fetch else { return };
                match fetch.chunk(digest, base, total, at, bytes) {
                    Fetched::Nothing => {}
                    Fetched::Part => self.moved(now),
                    Fetched::Window => {
                        self.moved(now);
                        self.pull(now, true, out);
                    }
                    Fetched::Whole(document) => {
                        self.fetch = None;
                        self.keep(digest, document);
                        self.advance(now, out);
                        self.drive(now, out);
                    }
                    Fetched::Unknown(why) => {
                        self.fetch = None;
                        if let Some(version) = self.known.versions().find(|version| version.digest == digest)
                        {
                            self.said(version, Err(Refusal::Unknown(why)), out);
                            self.ask_leases(now, true, out);
                        } else {
                            self.wish = None;
                        }
                    }
                    Fetched::Wrong(why) => {
                        out.push(Out::Note(format!(
                            "document {digest} from {from}: {why}; asked of another"
                        )));
                        self.fetch_from = self.any_other();
                        self.pull(now, true, out);
                    }
                }
            }
        }
    }

    // ---- leases ------------------------------------------------------------------------------------------------

    fn requested(&mut self, now: Duration, from: Name, request: &Request, out: &mut Vec<Out>) {
        let Some(voter) = &mut self.voter else { return };
        let granted = voter.grant(now, from, request);
        let mark = voter.known().mark;
        let known = (mark > request.known).then_some(*voter.known());
        let (life, at) = (request.life, request.at);
        let reply =
            Message::Reply { life, at, mark: request.mark, granted, known, tell: request.known > mark };
        self.send(from, &reply, out);
    }

    fn replied(&mut self, now: Duration, from: Name, at: u64, mark: Mark, granted: bool, out: &mut Vec<Out>) {
        if let Some((_, answered)) = self.asked.get_mut(&from) {
            *answered = true;
        }
        if granted && self.settings.voters.contains(&from) && mark.same_epoch(self.adopted.mark) {
            self.holder.granted(now, from, mark, Duration::from_micros(at));
            self.check_lease(now, out);
        }
    }

    /// Tells what is obeyed if a lease began or ended.
    fn check_lease(&mut self, now: Duration, out: &mut Vec<Out>) {
        let leased = self.holder.holds(now, self.adopted.mark);
        if leased == self.leased {
            return;
        }
        self.leased = leased;
        if leased {
            out.push(Out::Note(format!(
                "lease of a majority; obeying version {}",
                self.adopted.obeyed().number
            )));
        } else {
            out.push(Out::Note("no lease of a majority of voters: obeying the floor".into()));
        }
        out.push(Out::Act(self.acting(now)));
    }

    /// Asks voters for a lease: at once if something changed, else those whose answer is missing or old.
    fn ask_leases(&mut self, now: Duration, at_once: bool, out: &mut Vec<Out>) {
        let word = self
            .known
            .coming()
            .and_then(|version| Some((version, self.prepared.get(&version.digest)?.clone())));
        let request = Request {
            life: self.life,
            // Down, so that the holder's count never begins after the sending.
            at: now.as_micros() as u64,
            mark: self.adopted.mark,
            known: self.known.mark,
            word,
        };
        for voter in self.settings.voters.clone() {
            let due = match self.asked.get(&voter) {
                None => true,
                Some((at, true)) => now >= *at + self.settings.lease / 6,
                Some((at, false)) => now >= *at + self.settings.period,
            };
            if due || at_once {
                self.asked.insert(voter, (now, false));
                self.send(voter, &Message::Request(request.clone()), out);
            }
        }
    }

    // ---- records and documents ---------------------------------------------------------------------------------

    fn learn(&mut self, now: Duration, from: Name, record: &Record, out: &mut Vec<Out>) {
        if let Some(voter) = &mut self.voter {
            let stood = voter.standing();
            voter.learn(now, record);
            if voter.standing() != stood {
                out.push(Out::Note(format!("as a voter: {}", standing(voter.standing()))));
            }
        }
        if record.mark <= self.known.mark {
            return;
        }
        let before = std::mem::replace(&mut self.known, *record);
        self.known_since = now;
        self.teller = from;
        self.unwanted = None;
        self.round = self.round.take().filter(|(round, _)| round.ask().mark > record.mark);
        // A change that was taken is no wish any more: withdrawn, it would be taken again and again.
        self.wish = self.wish.take().filter(|wish| wish.id != record.by);
        out.push(Out::Note(said_of(record)));
        self.settle(now, &before, out);
        self.advance(now, out);
        self.ask_leases(now, true, out);
        self.pull(now, false, out);
        self.drive(now, out);
    }

    fn keep(&mut self, digest: Digest, document: Arc<Document>) {
        let mut needed: Vec<Digest> =
            self.known.versions().chain(self.adopted.versions()).map(|v| v.digest).collect();
        needed.extend(self.mine.as_ref().map(|mine| mine.new.digest));
        self.store.put(digest, document, &needed);
    }

    fn said(&mut self, version: Version, result: Result<(), Refusal>, out: &mut Vec<Out>) {
        if let Err(why) = &result {
            out.push(Out::Note(format!("version {} refused here: {why}", version.number)));
        }
        self.prepared.insert(version.digest, result);
    }

    /// Prepares what is not prepared, and obeys the newest record it can.
    fn advance(&mut self, now: Duration, out: &mut Vec<Out>) {
        let needed: BTreeSet<Digest> =
            self.known.versions().chain(self.adopted.versions()).map(|version| version.digest).collect();
        self.prepared.retain(|digest, _| needed.contains(digest));
        // The newest that is here goes first: what is obeyed already is prepared, but for one that just started.
        let open = |version: &Version| {
            !self.prepared.contains_key(&version.digest) && self.store.get(version.digest).is_some()
        };
        let open = self.known.versions().filter(open).last();
        if let Some(version) = open.filter(|version| self.handed_out != Some(version.digest)) {
            if let Some(document) = self.store.get(version.digest).cloned() {
                match self.below_floor(&document) {
                    Some(key) => self.said(version, Err(Refusal::Floor(key.to_string())), out),
                    None => {
                        self.handed_out = Some(version.digest);
                        out.push(Out::Prepare { version, document });
                    }
                }
            }
        }
        if self.known.mark > self.adopted.mark {
            self.adopt(now, out);
        }
        self.tell_voter();
    }

    /// The key on which this one's own fallback is looser than the document, or than the document's floor.
    fn below_floor(&self, document: &Document) -> Option<Key> {
        let file = &self.settings.floor;
        uncovered(document, file).or_else(|| uncovered(&document.floor(), file))
    }

    fn adopt(&mut self, now: Duration, out: &mut Vec<Out>) {
        let record = self.known;
        let newest = record.obeyed();
        if self.prepared.get(&newest.digest) != Some(&Ok(())) {
            return;
        }
        let Some(new) = self.store.get(newest.digest).cloned() else { return };
        let (obeyed, floors) = match record.phase {
            Phase::Pure(version) | Phase::Prepare { old: version, .. } => {
                (Acting::One(version, new.clone()), new.floor())
            }
            Phase::Joint { old, new: version } => {
                let Some(before) = self.store.get(old.digest) else { return };
                let terms = Arc::new(stricter_of(before, &new));
                (Acting::Both { old, new: version, terms }, stricter_of(&before.floor(), &new.floor()))
            }
        };
        let same = self.obeyed == obeyed;
        self.adopted = record;
        self.holder.keep(record.mark);
        self.obeyed = obeyed;
        self.floor = Arc::new(stricter_of(&self.settings.floor, &floors));
        let leased = self.holder.holds(now, record.mark);
        if leased && self.leased && !same {
            out.push(Out::Act(self.obeyed.clone()));
        }
        self.check_lease(now, out);
        self.ask_leases(now, true, out);
    }

    /// What the voter of this member goes by: the document on its way, and what the one in force says.
    fn tell_voter(&mut self) {
        let Some(voter) = &mut self.voter else { return };
        let holds = self.known.coming().is_none_or(|version| self.store.get(version.digest).is_some());
        let in_force = self.store.get(self.known.obeyed().digest);
        let coming = self.known.coming().and_then(|version| self.store.get(version.digest));
        let word = |key: &str| Key::new(key).ok().and_then(|key| in_force?.get(&key).cloned());
        let go_on = word("accord/refused") == Some(Value::Word("go_on".into()));
        let gone = |name: &Name| {
            let key = Key::new(&format!("gone/{name}")).ok();
            key.is_some_and(|key| {
                [in_force, coming].into_iter().flatten().any(|document| document.get(&key).is_some())
            })
        };
        let needed = match self.known.phase {
            Phase::Prepare { tightens: true, .. } => {
                self.settings.roster.iter().filter(|name| !gone(name)).copied().collect()
            }
            _ => BTreeSet::new(),
        };
        voter.told(holds, go_on, needed);
    }

    /// The document that is missing, the most urgent first.
    fn missing(&self) -> Option<Digest> {
        let of_known = self.known.versions().map(|version| version.digest);
        let of_wish = self.wish.as_ref().map(|wish| wish.new.digest);
        let refused = |digest: &Digest| matches!(self.prepared.get(digest), Some(Err(_)));
        of_known.chain(of_wish).find(|digest| self.store.get(*digest).is_none() && !refused(digest))
    }

    fn moved(&mut self, now: Duration) {
        self.fetch_again = now + self.settings.period;
        self.fetch_moved = now;
    }

    /// Asks for the next parts of what is missing.
    fn pull(&mut self, now: Duration, at_once: bool, out: &mut Vec<Out>) {
        let Some(digest) = self.missing() else {
            self.fetch = None;
            return;
        };
        if self.fetch.as_ref().is_none_or(|fetch| fetch.digest != digest) {
            let base = [self.known.obeyed(), self.adopted.obeyed()].into_iter().map(|version| version.digest);
            let base = base.filter_map(|base| Some((base, self.store.get(base)?.clone()))).next();
            self.fetch = Some(Fetch::new(digest, base));
            let of_wish =
                self.wish.as_ref().filter(|wish| wish.new.digest == digest).map(|wish| wish.id.name);
            self.fetch_from = of_wish.unwrap_or(self.teller);
        } else if !at_once {
            if now < self.fetch_again {
                return;
            }
            // No answer for a period: another may hold it as well. The one that told is asked every other time.
            self.fetch_from = if self.rng.bool() { self.teller } else { self.any_other() };
        }
        if self.fetch_from == self.me {
            self.fetch_from = self.any_other();
        }
        self.fetch_again = now + self.settings.period;
        if let Some(fetch) = &mut self.fetch {
            let (base, first, mask) = fetch.wants();
            let to = self.fetch_from;
            self.send(to, &Message::Want { digest, base, first, mask }, out);
        }
    }

    fn any_other(&mut self) -> Name {
        let at = self.rng.usize(..self.settings.roster.len());
        self.settings.roster[at]
    }

    fn wanted(
        &mut self,
        to: Name,
        digest: Digest,
        base: Option<Digest>,
        first: u32,
        mask: u32,
        out: &mut Vec<Out>,
    ) {
        for at in (0..WINDOW).filter(|at| mask >> at & 1 == 1) {
            if to == self.me || self.spent >= self.settings.pace {
                return;
            }
            let Some(at) = first.checked_add(at) else { return };
            let Some((base, total, bytes)) = self.store.chunk(digest, base, at) else { return };
            self.spent += bytes.len();
            self.send(to, &Message::Chunk { digest, base, total, at, bytes }, out);
        }
    }

    // ---- changes -----------------------------------------------------------------------------------------------

    /// Sends this one's change to a voter, each time to another.
    fn push_mine(&mut self, now: Duration, out: &mut Vec<Out>) {
        let Some(mine) = &mut self.mine else { return };
        let change = mine.id;
        if self.known.by == change && self.known.coming() == Some(mine.new) {
            return; // it was taken: from here on it comes into force or is withdrawn, however long that takes
        }
        if now >= mine.until {
            self.mine = None;
            out.push(Out::Settled { change, result: Err(Rejected::Unanswered) });
            return;
        }
        let propose = Message::Propose { id: mine.id, base: mine.base, new: mine.new };
        let voters = &self.settings.voters;
        // A voter has a few periods for it before the next is asked; this one's own vote first, if it has one.
        let own = voters.iter().position(|voter| *voter == self.me).unwrap_or(mine.id.count as usize);
        let to = voters[(own + mine.tries / 4) % voters.len()];
        mine.tries += 1;
        self.send(to, &propose, out);
    }

    fn settle(&mut self, _now: Duration, before: &Record, out: &mut Vec<Out>) {
        let Some(mine) = &self.mine else { return };
        let (known, change) = (&self.known, mine.id);
        let ours = known.by == mine.id;
        let result = match known.phase {
            Phase::Prepare { .. } if ours => return,
            Phase::Prepare { old, .. } if old == mine.new => Ok(mine.new),
            Phase::Prepare { old, new, .. } if old == mine.base => Err(Rejected::Busy(new)),
            Phase::Joint { new, .. } if new == mine.new && ours => Ok(new),
            Phase::Pure(version) if version == mine.new => Ok(version),
            // The same version as before: a change was given up, ours or another's.
            Phase::Pure(version) if version == mine.base => match before.by == mine.id || ours {
                true => Err(Rejected::Withdrawn),
                false => return,
            },
            _ => Err(Rejected::Stale(known.obeyed())),
        };
        self.mine = None;
        out.push(Out::Settled { change, result });
    }

    fn proposed(
        &mut self,
        now: Duration,
        from: Name,
        id: ProposalId,
        base: Version,
        new: Version,
        out: &mut Vec<Out>,
    ) {
        if self.voter.is_none() || id.name != from {
            return;
        }
        if self.known.phase != Phase::Pure(base) {
            self.send(from, &Message::Known(self.known), out);
            return;
        }
        if let Some(wish) = &mut self.wish {
            if wish.id == id {
                wish.heard = now;
                return self.drive(now, out);
            }
            // Another's stands while it is repeated and still fits: first come, first served.
            if wish.base == base && now < wish.heard + self.settings.period * 6 {
                return;
            }
        }
        self.wish = Some(Wish { id, base, new, tightens: true, heard: now });
        self.pull(now, false, out);
        self.drive(now, out);
    }

    /// Whether the wish is of the version in force, its document here, and a change that may be made.
    fn checked_wish(&mut self, in_force: Version, out: &mut Vec<Out>) -> Option<Record> {
        let wish = self.wish.as_mut().filter(|wish| wish.base == in_force)?;
        let (old, new) = (self.store.get(wish.base.digest)?, self.store.get(wish.new.digest)?);
        // Checked by the proposer as well, which may be an older program, or wrong.
        if let Err(why) = Change::between(in_force.number, old, new).apply(old) {
            out.push(Out::Note(format!("change of {} refused: {why}", wish.id.name)));
            self.wish = None;
            return None;
        }
        wish.tightens = tightens(old, new).is_some();
        let phase = Phase::Prepare { old: in_force, new: wish.new, tightens: wish.tightens };
        Some(Record { mark: self.known.mark.next(), phase, least: self.known.least, by: wish.id })
    }

    // ---- rounds ------------------------------------------------------------------------------------------------

    /// Begins a round if there is something to choose and nobody who stands before this one seems to do it.
    fn drive(&mut self, now: Duration, out: &mut Vec<Out>) {
        if self.voter.as_ref().map(Voter::standing) != Some(Standing::Voting) {
            return;
        }
        let again = |at: &Duration, wait: Duration| now >= *at + wait;
        let wait = self.settings.period * 2;
        if self.round.as_ref().is_some_and(|(_, at)| !again(at, wait)) {
            return;
        }
        let rank = self.settings.voters.iter().position(|voter| *voter == self.me).unwrap_or(0) as u32;
        let turn = now >= self.known_since + wait * rank;
        let next = self.known.mark.next();
        let Record { least, by, .. } = self.known;
        let wish = match self.known.phase {
            Phase::Pure(version) => self.checked_wish(version, out),
            _ if !turn => None,
            Phase::Prepare { old, new, .. } => {
                let lost = self.store.get(new.digest).is_none()
                    && again(&self.known_since, self.settings.patience * 2);
                Some(match lost || self.unwanted == Some(self.known.mark) {
                    true => Record { mark: next, phase: Phase::Pure(old), least, by },
                    false => Record { mark: next, phase: Phase::Joint { old, new }, least: next, by },
                })
            }
            Phase::Joint { new, .. } => Some(Record { mark: next, phase: Phase::Pure(new), least, by }),
        };
        let Some(voter) = &self.voter else { return };
        // What was accepted here and is not known to be chosen must be finished, whoever began it.
        let open =
            voter.accepted().filter(|(_, record)| record.mark == next && again(&self.known_since, wait));
        let wish = match (wish, open) {
            (_, Some((_, record))) => Some(*record),
            (Some(record), None) if voter.allows(now, &record) => Some(record),
            _ => None,
        };
        let Some(wish) = wish else { return };
        self.highest = self.highest.max(voter.promised().0) + 1;
        let ballot: Ballot = (self.highest, self.me);
        let round = Round::new(wish, ballot, self.settings.majority());
        let ask = Message::Ask(*round.ask());
        // Apart, so that two do not beat each other for ever.
        let apart = self.settings.period.mul_f64(self.rng.f64());
        self.round = Some((round, now + apart));
        self.send_voters(&ask, out);
    }

    fn stepped(&mut self, now: Duration, step: Step, out: &mut Vec<Out>) {
        match step {
            Step::Wait => {}
            Step::Accept(accept) => self.send_voters(&Message::Accept(accept), out),
            Step::Beaten(ballot) => self.highest = self.highest.max(ballot.0),
            Step::Chosen(record) => {
                self.round = None;
                self.learn(now, self.me, &record, out);
                for voter in self.settings.voters.clone() {
                    if voter != self.me {
                        self.send(voter, &Message::Known(record), out);
                    }
                }
            }
        }
    }

    // ---- voters that start from nothing ------------------------------------------------------------------------

    fn wake_voter(&mut self, now: Duration, out: &mut Vec<Out>) {
        let Some(voter) = &mut self.voter else { return };
        voter.sweep(now);
        if voter.wake(now) {
            out.push(Out::Note(format!("as a voter: {}", standing(voter.standing()))));
        }
        let recent = self.settings.period * 4;
        let voting = |peer: &Peer| peer.standing == Standing::Voting && now < peer.heard + recent;
        if self.peers.values().filter(|peer| voting(peer)).count() + 1 >= self.settings.majority() {
            self.healthy = now;
        }
        let lost = |peer: &Peer| {
            now < peer.heard + recent
                && matches!(peer.standing, Standing::Ready | Standing::Silent { forgot: true, .. })
        };
        let silence = self.settings.longer(self.settings.lease + self.settings.period);
        if voter.standing() == Standing::Voting
            && now > self.healthy + silence * 3
            && self.peers.values().any(lost)
        {
            out.push(Out::Note(
                "as a voter: too few others vote; silent, to found anew with those that forgot".into(),
            ));
            voter.forget(now);
            self.healthy = now;
        }
        let state = |yours: u64, voter: &Voter| Message::State {
            life: voter.life(),
            yours,
            standing: voter.standing(),
            known: *voter.known(),
            promised: voter.promised(),
            accepted: voter.accepted().copied(),
        };
        let lives: Vec<(Name, Message)> = self
            .settings
            .voters
            .iter()
            .filter(|name| **name != self.me)
            .map(|name| (*name, state(self.peers.get(name).map_or(0, |peer| peer.life), voter)))
            .collect();
        for (name, message) in lives {
            self.send(name, &message, out);
        }
        self.found(now, out);
    }

    #[allow(clippy::too_many_arguments)] // the fields of one message
    fn told_state(
        &mut self,
        now: Duration,
        from: Name,
        life: u64,
        yours: u64,
        stands: Standing,
        known: Record,
        promised: Ballot,
        accepted: Option<(Ballot, Record)>,
        out: &mut Vec<Out>,
    ) {
        if !self.settings.voters.contains(&from) || self.peers.get(&from).is_some_and(|peer| peer.life > life)
        {
            return;
        }
        let met = yours == self.life;
        self.peers.insert(from, Peer { life, standing: stands, known: known.mark, met, heard: now });
        self.learn(now, from, &known, out);
        let Some(voter) = &mut self.voter else { return };
        voter.met(from, life);
        // It counts for a recovery only if it was said to this life, by one that forgot nothing.
        let sound = matches!(stands, Standing::Voting | Standing::Silent { forgot: false, .. });
        if met && sound {
            voter.recall(now, from, &known, promised, accepted);
        }
    }

    /// Founds a new epoch, if a majority of voters was silent for a lease: no lease of before is left then.
    fn found(&mut self, now: Duration, out: &mut Vec<Out>) {
        let Some(voter) = self.voter.as_ref().filter(|voter| voter.standing() == Standing::Ready) else {
            return;
        };
        if self.round.as_ref().is_some_and(|(_, at)| now < *at + self.settings.period * 2) {
            return;
        }
        let recent = self.settings.period * 4;
        let ready = |peer: &Peer| peer.standing == Standing::Ready && peer.met && now < peer.heard + recent;
        let mut lives: Vec<(Name, u64)> = self
            .peers
            .iter()
            .filter(|(_, peer)| ready(peer))
            .map(|(name, peer)| (*name, peer.life))
            .collect();
        if lives.len() + 1 < self.settings.majority() || lives.iter().any(|(name, _)| *name < self.me) {
            return;
        }
        // The newest document: what is known, and after long patience what is here.
        let late = now >= voter.since() + self.settings.patience;
        let known = self.known.obeyed();
        let old = self.known.versions().next().unwrap_or(known);
        let candidates = [known, old, self.adopted.obeyed()];
        let held = candidates.into_iter().find(|version| self.store.get(version.digest).is_some());
        let Some(version) = held.filter(|version| *version == known || late) else { return };
        let number = match self.known.mark.epoch {
            0 => 1,
            // Above whatever was chosen and is known to nobody any more.
            _ => (known.number / 1_000 + 1) * 1_000,
        };
        let epoch =
            self.peers.values().map(|peer| peer.known.epoch).max().unwrap_or(0).max(self.known.mark.epoch)
                + 1;
        let mark = Mark { epoch, salt: self.rng.u32(..), step: 0 };
        let by = ProposalId { name: self.me, life: self.life, count: 0 };
        let phase = Phase::Pure(Version { number, digest: version.digest });
        let record = Record { mark, phase, least: mark, by };
        lives.push((self.me, self.life));
        let accept = Accept { ballot: (1, self.me), record, lives, basis: Some(self.known.mark) };
        self.round = Some((Round::founding(accept.clone(), self.settings.majority()), now));
        self.send_voters(&Message::Accept(accept), out);
    }
}

fn standing(standing: Standing) -> &'static str {
    match standing {
        Standing::Silent { .. } => "silent for the longest lease",
        Standing::Ready => "ready for a founding, or for a majority of others to tell",
        Standing::Voting => "votes",
    }
}

fn said_of(record: &Record) -> String {
    match record.phase {
        Phase::Pure(version) => format!("version {} ({}) is in force", version.number, version.digest),
        Phase::Prepare { new, .. } => format!("version {} ({}) is being prepared", new.number, new.digest),
        Phase::Joint { old, new } => format!("versions {} and {} are both obeyed", old.number, new.number),
    }
}
