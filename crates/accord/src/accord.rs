//! One member: what is called from outside, and how what comes in is handed to the parts.

mod leases;
mod rounds;
mod starts;
mod steps;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use crate::change::Change;
use crate::document::{Digest, Document, Key, Value};
use crate::fetch::{Fetch, Store, Wanted, WINDOW};
use crate::lease::Holder;
use crate::quorum::{key_of, named, Lists, Quorum, Voters};
use crate::round::{Round, Step};
use crate::schema::stricter_of;
use crate::settings::{Name, Settings, SettingsError};
use crate::table::{Mark, Phase, ProposalId, Record, Version};
use crate::view::{Acting, Out, Refusal, Rejected, Role, View};
use crate::voter::{Accept, Ballot, Limits, Request, Standing, Voter};
use crate::wire::{decode, encode, Message};
use crate::work::{Grave, Whole};

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
    /// Whether it tightens the floor, and the list of voters to come if it is another, once that and the rest was looked at.
    judged: Option<(bool, Option<Voters>)>,
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
    /// The floor of this one's own file.
    file: Arc<Document>,
    /// Whether `obeyed` or the floor was told last.
    leased: bool,
    store: Store,
    /// Work on whole documents that is under way.
    steps: steps::Steps,
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
        let (mark, lists) = (Mark::default(), settings.first_list()?);
        let record = Record { mark, phase: Phase::Pure(version), least: mark, by, lists };
        let first = Arc::new(first);
        let floor = Arc::new(stricter_of(&settings.floor, &first.floor()));
        let mut file = settings.floor.clone();
        file.seal();
        let mut store = Store::default();
        store.put(version.digest, Whole::at_once(first.clone()), &[], &mut Grave::default());
        let may = settings.may_vote();
        let voter = may
            .contains(&me)
            .then(|| Voter::new(me, life, Limits::of(&settings), may.iter().copied(), record, now));
        let holder = Holder::new(record.quorum(), settings.shorter(settings.lease));
        Ok(Accord {
            voter,
            holder,
            known: record,
            known_since: now,
            teller: me,
            adopted: record,
            obeyed: Acting::One(version, first),
            floor,
            file: Arc::new(file),
            leased: false,
            store,
            steps: steps::Steps::default(),
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
    /// At once: a base that is not in force here, another change on its way, and for all but changes that touch more
    /// than [`crate::STEP`] entries one that makes no document. Of a larger one that is told by [`Out::Settled`] too.
    pub fn propose(
        &mut self,
        now: Duration,
        change: Change,
        out: &mut Vec<Out>,
    ) -> Result<ProposalId, Rejected> {
        self.check_lease(now, out);
        if self.mine.is_some() || self.steps.is_making() {
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
        let Some(document) = self.store.whole(base.digest).cloned() else {
            return Err(Rejected::NotNow("the version in force is still on its way here"));
        };
        let change = self.with_voters(change, &document.document)?;
        self.count += 1;
        let id = ProposalId { name: self.me, life: self.life, count: self.count };
        // An operator's word is rare: it has a step of its own, so that most are answered at once.
        self.steps.refill();
        if let Some(made) = self.make(id, base, change, document.clone()) {
            let made = made.map_err(Rejected::Change)?;
            self.next_list(&document.document, &made.document).map_err(Rejected::Voters)?;
            self.made(now, id, base, made, out);
        }
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
        self.send_voters(&Message::Withdraw(self.known.mark), out);
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
            self.advance();
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
            self.steps.refill();
            self.tick = now + self.settings.period;
            self.spent = 0;
            self.wake_voter(now, out);
            self.ask_leases(now, false, out);
            self.advance();
            self.pull(now, false, out);
            self.push_mine(now, out);
            self.drive(now, out);
        }
        self.finish(now, out);
    }

    /// For operators.
    pub fn view(&self, now: Duration) -> View {
        let until = self.holder.until(self.adopted.mark);
        let lists = self.known.lists;
        let granted =
            |list: &Voters| list.iter().map(|name| (name, self.holder.from(now, name))).collect::<Vec<_>>();
        let role = match self.voter.as_ref().filter(|_| lists.contains(self.me)).map(Voter::standing) {
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
            voters: granted(&lists.now),
            voters_to_come: lists.next.as_ref().map(granted),
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

    /// To all that vote or are to vote.
    fn send_voters(&mut self, message: &Message, out: &mut Vec<Out>) {
        let lists = self.known.lists;
        lists.all().for_each(|voter| self.send(voter, message, out));
    }

    /// Whether one may have a vote, by this one's file or by what it knows to be chosen.
    fn may_vote(&self, name: Name) -> bool {
        self.settings.may_vote().contains(&name) || self.known.lists.contains(name)
    }

    /// What this one said to itself, and as much work on documents as is left of this step.
    fn finish(&mut self, now: Duration, out: &mut Vec<Out>) {
        loop {
            while let Some(message) = self.loopback.pop_front() {
                self.handle(now, self.me, message, out);
            }
            if !self.step(now, out) {
                return;
            }
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
                let may = self.may_vote(from);
                let Some(voter) = self.voter.as_mut().filter(|_| may) else { return };
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
                let may = self.may_vote(from);
                let Some(voter) = self.voter.as_mut().filter(|_| may) else { return };
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
                // A founding that is not chosen soon never is: those that accepted it are bound for a silence only.
                let soon = self.settings.period * 4;
                let open = |(round, at): &&mut (Round, Duration)| {
                    round.ask().mark == mark && (!round.founds() || now < *at + soon)
                };
                if let Some((round, _)) = self.round.as_mut().filter(open) {
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
            Message::Want { digest, base, first, mask } => {
                self.wanted(Wanted { to: from, digest, base, first, mask }, out);
            }
            Message::Chunk { digest, base, total, at, bytes } => {
                let Some(fetch) = &mut self.fetch else { return };
                if fetch.chunk(digest, base, total, at, bytes, &mut self.steps.grave) {
                    self.moved(now);
                }
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
        self.advance();
        self.ask_leases(now, true, out);
        self.pull(now, false, out);
        self.drive(now, out);
    }

    fn keep(&mut self, digest: Digest, document: Whole) {
        let mut needed: Vec<Digest> =
            self.known.versions().chain(self.adopted.versions()).map(|v| v.digest).collect();
        needed.extend(self.mine.as_ref().map(|mine| mine.new.digest));
        self.store.put(digest, document, &needed, &mut self.steps.grave);
    }

    fn said(&mut self, version: Version, result: Result<(), Refusal>, out: &mut Vec<Out>) {
        if let Err(why) = &result {
            out.push(Out::Note(format!("version {} refused here: {why}", version.number)));
        }
        self.prepared.insert(version.digest, result);
    }

    /// Prepares what is not prepared, and obeys the newest record it can.
    fn advance(&mut self) {
        let needed: BTreeSet<Digest> =
            self.known.versions().chain(self.adopted.versions()).map(|version| version.digest).collect();
        self.prepared.retain(|digest, _| needed.contains(digest));
        // The newest that is here goes first: what is obeyed already is prepared, but for one that just started.
        let open = |version: &Version| {
            !self.prepared.contains_key(&version.digest) && self.store.get(version.digest).is_some()
        };
        let open = self.known.versions().filter(open).last();
        if let Some(version) = open.filter(|version| self.handed_out != Some(version.digest)) {
            self.check_floor(version);
        }
        if self.known.mark > self.adopted.mark {
            self.adopt();
        }
        self.tell_voter();
    }

    /// What the voter of this member goes by: the document on its way, and what the one in force says.
    fn tell_voter(&mut self) {
        let Some(voter) = &mut self.voter else { return };
        let in_force = self.store.get(self.known.obeyed().digest);
        let coming = self.known.coming().and_then(|version| self.store.get(version.digest));
        // The list that the record names must be the document's own.
        let listed = |document: &Arc<Document>| match Voters::of(document) {
            Ok(Some(list)) => list == self.known.last_list(),
            Ok(None) => self.known.lists.next.is_none(),
            Err(_) => false,
        };
        let holds = self.known.coming().is_none() || coming.is_some_and(listed);
        let word = |key: &str| Key::new(key).ok().and_then(|key| in_force?.get(&key).cloned());
        let go_on = word("accord/refused") == Some(Value::Word("go_on".into()));
        let gone =
            |name: &Name| [in_force, coming].into_iter().flatten().any(|document| gone(document, *name));
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
            return self.end_fetch();
        };
        if self.fetch.as_ref().is_none_or(|fetch| fetch.digest != digest) {
            let base = [self.known.obeyed(), self.adopted.obeyed()].into_iter().map(|version| version.digest);
            let base = base.filter_map(|base| Some((base, self.store.get(base)?.clone()))).next();
            self.end_fetch();
            self.fetch = Some(Fetch::new(digest, base));
            let of_wish =
                self.wish.as_ref().filter(|wish| wish.new.digest == digest).map(|wish| wish.id.name);
            self.fetch_from = of_wish.unwrap_or(self.teller);
        } else if !self.fetch.as_ref().is_some_and(Fetch::has_room) {
            // What is here is to be parsed first; the end of that asks for more.
            return;
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

    fn wanted(&mut self, wanted: Wanted, out: &mut Vec<Out>) {
        if wanted.to == self.me || !self.store.is_ready(&wanted) {
            return;
        }
        for at in (0..WINDOW).filter(|at| wanted.mask >> at & 1 == 1) {
            if self.spent >= self.settings.pace {
                return;
            }
            let Some(at) = wanted.first.checked_add(at) else { return };
            let digest = wanted.digest;
            let Some((base, total, bytes)) = self.store.chunk(digest, wanted.base, at) else { return };
            self.spent += bytes.len();
            self.send(wanted.to, &Message::Chunk { digest, base, total, at, bytes }, out);
        }
    }
}

/// Whether the operator declared this one's process stopped for good.
fn gone(document: &Document, name: Name) -> bool {
    Key::new(&format!("gone/{name}")).is_ok_and(|key| document.get(&key).is_some())
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
