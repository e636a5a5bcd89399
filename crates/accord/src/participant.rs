//! A member of the fleet: the calls of the host process, and the dispatch of incoming messages to the parts
//! of the protocol.

mod bootstrap;
mod document_work;
mod leases;
mod rounds;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use crate::change::Change;
use crate::document::{Digest, Document, Key, Value};
use crate::fetch::{ChunkRequest, DocumentStore, Fetch, WINDOW_CHUNKS};
use crate::incremental::{DocumentWithFloor, Reclaimer};
use crate::lease::LeaseHolder;
use crate::output::{ActiveTerms, Output, ProposalError, Refusal, Role, Status};
use crate::quorum::{voter_key, voter_named_by, Quorum, VoterList, VoterLists};
use crate::record::{Phase, Position, ProposalId, Record, Version};
use crate::round::{Round, RoundAction};
use crate::schema::joint_terms;
use crate::settings::{MemberId, Settings, SettingsError};
use crate::voter::{Accept, Ballot, LeaseRequest, Limits, Voter, VoterStatus};
use crate::wire::{decode, encode, Message};

/// The last state that another voter sent.
#[derive(Debug)]
struct Peer {
    incarnation: u64,
    status: VoterStatus,
    known: Position,
    /// Whether the peer knows the incarnation of this member.
    knows_me: bool,
    heard_at: Duration,
}

/// A change that another member, or this one, asks this voter to bring into force.
#[derive(Debug)]
struct PendingProposal {
    id: ProposalId,
    base: Version,
    new: Version,
    /// Once checked: whether the change tightens the floor, and the new list of voters if it differs from the
    /// current one.
    check_result: Option<(bool, Option<VoterList>)>,
    heard_at: Duration,
}

/// A change proposed by this member.
#[derive(Debug)]
struct OwnChange {
    id: ProposalId,
    base: Version,
    new: Version,
    deadline: Duration,
    attempts: usize,
}

/// A member that takes part in the agreement; see the crate documentation.
#[derive(Debug)]
pub struct Participant {
    pub(crate) settings: Settings,
    pub(crate) me: MemberId,
    pub(crate) incarnation: u64,
    rng: fastrand::Rng,
    voter: Option<Voter>,
    holder: LeaseHolder,
    /// The newest record known to be chosen.
    known: Record,
    known_since: Duration,
    /// The member that sent `known`.
    known_from: MemberId,
    /// The record that is obeyed while this member holds a lease.
    adopted: Record,
    /// The terms of `adopted`, obeyed while a lease is held.
    leased_terms: ActiveTerms,
    floor: Arc<Document>,
    /// The floor of this member's own settings file.
    file_floor: Arc<Document>,
    /// Whether the last reported terms are those of a lease (true) or of the floor.
    lease_held: bool,
    documents: DocumentStore,
    /// Work on whole documents in progress.
    work: document_work::DocumentWork,
    fetch: Option<Fetch>,
    fetch_from: MemberId,
    fetch_retry_at: Duration,
    /// When the last chunk arrived.
    fetch_progress_at: Duration,
    /// Results of preparing versions, at most for those of `known` and `adopted`.
    prepared: BTreeMap<Digest, Result<(), Refusal>>,
    preparing: Option<Digest>,
    /// By voter: when a lease was last requested, and whether the voter answered.
    lease_requests: BTreeMap<MemberId, (Duration, bool)>,
    peers: BTreeMap<MemberId, Peer>,
    round: Option<(Round, Duration)>,
    highest_ballot: u32,
    proposal: Option<PendingProposal>,
    own_change: Option<OwnChange>,
    proposal_count: u64,
    withdrawn: Option<Position>,
    /// When a quorum of voters was last seen voting.
    quorum_seen_at: Duration,
    next_tick: Duration,
    /// Bytes of documents sent in this period.
    bytes_sent: usize,
    loopback: VecDeque<Message>,
}

impl Participant {
    /// Creates a member that has no state but its settings.
    ///
    /// `incarnation` distinguishes this process from earlier ones of the same member; later processes have
    /// larger numbers.
    ///
    /// # Errors
    /// Settings that [`Settings::check`] refuses, or a member that is not on the roster.
    pub fn new(
        settings: Settings,
        me: MemberId,
        incarnation: u64,
        seed: u64,
        now: Duration,
    ) -> Result<Participant, SettingsError> {
        settings.check()?;
        if !settings.roster.contains(&me) {
            return Err(SettingsError {
                key: "voters",
                reason: format!("{me} itself is not among the members"),
            });
        }
        let first = settings.initial_document();
        let version = Version { number: 0, digest: first.digest() };
        let change = ProposalId { proposer: me, incarnation, count: 0 };
        let (position, lists) = (Position::default(), settings.initial_voters()?);
        let record = Record { position, phase: Phase::Single(version), leases_from: position, change, lists };
        let first = Arc::new(first);
        let floor = Arc::new(joint_terms(&settings.floor, &first.floor()));
        let mut file = settings.floor.clone();
        file.seal();
        let mut store = DocumentStore::default();
        store.put(version.digest, DocumentWithFloor::new(first.clone()), &[], &mut Reclaimer::default());
        let eligible = settings.eligible_voters();
        let voter = eligible.contains(&me).then(|| {
            Voter::new(me, incarnation, Limits::of(&settings), eligible.iter().copied(), record, now)
        });
        let holder = LeaseHolder::new(record.quorum(), settings.shorter(settings.lease));
        Ok(Participant {
            voter,
            holder,
            known: record,
            known_since: now,
            known_from: me,
            adopted: record,
            leased_terms: ActiveTerms::Single(version, first),
            floor,
            file_floor: Arc::new(file),
            lease_held: false,
            documents: store,
            work: document_work::DocumentWork::default(),
            fetch: None,
            fetch_from: me,
            fetch_retry_at: now,
            fetch_progress_at: now,
            prepared: BTreeMap::new(),
            preparing: None,
            lease_requests: BTreeMap::new(),
            peers: BTreeMap::new(),
            round: None,
            highest_ballot: 0,
            proposal: None,
            own_change: None,
            proposal_count: 0,
            withdrawn: None,
            quorum_seen_at: now,
            next_tick: now,
            bytes_sent: 0,
            loopback: VecDeque::new(),
            rng: fastrand::Rng::with_seed(seed ^ incarnation ^ u64::from(me.0)),
            settings,
            me,
            incarnation,
        })
    }

    /// Injects faults, for tests.
    #[doc(hidden)]
    pub fn with_faults(mut self, faults: crate::voter::Faults) -> Participant {
        self.voter = self.voter.take().map(|voter| voter.with_faults(faults));
        self.holder = self.holder.with_faults(faults);
        self
    }

    /// The terms to obey at `now`. Callers ask for them after every pause and before they act: a lease ends
    /// by the clock, whether or not [`Participant::handle_timers`] was called in time.
    pub fn active_terms(&self, now: Duration) -> ActiveTerms {
        if self.holder.is_held(now, self.adopted.position) {
            self.leased_terms.clone()
        } else {
            ActiveTerms::Floor(self.floor.clone())
        }
    }

    /// Proposes a change of the version in force. [`Output::Settled`] reports the result.
    ///
    /// # Errors
    /// Returned at once: a base that is not in force here, another pending change, and a change that makes no
    /// valid document. For a change that touches more than [`crate::STEP_ENTRIES`] entries,
    /// [`Output::Settled`] reports the last of these.
    pub fn propose(
        &mut self,
        now: Duration,
        change: Change,
        out: &mut Vec<Output>,
    ) -> Result<ProposalId, ProposalError> {
        self.check_lease(now, out);
        if self.own_change.is_some() || self.work.is_building_change() {
            return Err(ProposalError::Unavailable("a change of this member is already in progress"));
        }
        if !self.holder.is_held(now, self.adopted.position) {
            return Err(ProposalError::Unavailable("no lease: cut off from a majority of voters"));
        }
        if let Some(version) = self.known.pending_version() {
            return Err(ProposalError::Busy(version));
        }
        let base = self.known.active_version();
        if base.number != change.base {
            return Err(ProposalError::StaleBase(base));
        }
        let Some(document) = self.documents.with_floor(base.digest).cloned() else {
            return Err(ProposalError::Unavailable("the document of the version in force has not arrived"));
        };
        let change = self.add_voters(change, &document.document)?;
        self.proposal_count += 1;
        let id = ProposalId { proposer: self.me, incarnation: self.incarnation, count: self.proposal_count };
        // Changes by operators are rare, so each gets a full step of work and most are answered at once.
        self.work.refill();
        if let Some(built) = self.start_change_build(id, base, change, document.clone()) {
            let built = built.map_err(ProposalError::Change)?;
            self.next_list(&document.document, &built.document).map_err(ProposalError::Voters)?;
            self.on_change_built(now, id, base, built, out);
        }
        self.run_pending(now, out);
        Ok(id)
    }

    /// Withdraws the version that is being prepared, before any member acts on it.
    ///
    /// # Errors
    /// [`ProposalError::Unavailable`] if no version is being prepared.
    pub fn withdraw(&mut self, now: Duration, out: &mut Vec<Output>) -> Result<(), ProposalError> {
        self.check_lease(now, out);
        if !matches!(self.known.phase, Phase::Prepare { .. }) {
            return Err(ProposalError::Unavailable("no version is being prepared"));
        }
        self.send_to_voters(&Message::Withdraw(self.known.position), out);
        self.run_pending(now, out);
        Ok(())
    }

    /// Reports the result of an [`Output::Prepare`].
    pub fn on_prepared(
        &mut self,
        now: Duration,
        version: Version,
        result: Result<(), Refusal>,
        out: &mut Vec<Output>,
    ) {
        self.check_lease(now, out);
        let awaited = self.preparing == Some(version.digest);
        if awaited {
            self.preparing = None;
            self.record_preparation(version, result, out);
            self.advance();
            self.ask_leases(now, true, out);
        }
        self.run_pending(now, out);
    }

    /// Handles a datagram from another member.
    pub fn receive(&mut self, now: Duration, from: MemberId, data: &[u8], out: &mut Vec<Output>) {
        // Check the lease before anything is answered: it may have ended while the process was paused.
        self.check_lease(now, out);
        if from == self.me || !self.settings.roster.contains(&from) {
            return;
        }
        if let Some(message) = decode(data) {
            self.handle(now, from, message, out);
            self.run_pending(now, out);
        }
    }

    /// The latest time at which [`Participant::handle_timers`] must be called.
    pub fn next_timer_at(&self) -> Option<Duration> {
        let until = self.holder.expires_at(self.adopted.position);
        let lease = self.lease_held.then_some(until);
        Some(lease.map_or(self.next_tick, |until| until.min(self.next_tick)))
    }

    /// Runs the periodic work. Called at [`Participant::next_timer_at`].
    pub fn handle_timers(&mut self, now: Duration, out: &mut Vec<Output>) {
        self.check_lease(now, out);
        if now >= self.next_tick {
            self.work.refill();
            self.next_tick = now + self.settings.period;
            self.bytes_sent = 0;
            self.tick_voter(now, out);
            self.ask_leases(now, false, out);
            self.advance();
            self.request_chunks(now, false, out);
            self.send_own_change(now, out);
            self.drive_rounds(now, out);
        }
        self.run_pending(now, out);
    }

    /// The state of this member, for operators.
    pub fn status(&self, now: Duration) -> Status {
        let until = self.holder.expires_at(self.adopted.position);
        let lists = self.known.lists;
        let granted = |list: &VoterList| {
            list.iter().map(|name| (name, self.holder.has_grant_from(now, name))).collect::<Vec<_>>()
        };
        let role = match self.voter.as_ref().filter(|_| lists.contains(self.me)).map(Voter::status) {
            None => Role::Activator,
            Some(VoterStatus::Voting) => Role::Voter,
            Some(_) => Role::Silent,
        };
        let mut refused: Vec<(MemberId, Refusal)> = Vec::new();
        if let Some(voter) = &self.voter {
            let reports = voter.reports().iter();
            refused.extend(reports.filter_map(|(name, report)| Some((*name, report.clone().err()?))));
            refused.extend(voter.overdue_members(now).into_iter().map(|name| (name, Refusal::TimedOut)));
        } else if let Some(report) = self.known.pending_version().and_then(|v| self.prepared.get(&v.digest)) {
            refused.extend(report.clone().err().map(|why| (self.me, why)));
        }
        Status {
            active: self.active_terms(now),
            known: self.known.active_version(),
            lease_remaining: (until > now).then(|| until - now),
            role,
            voters: granted(&lists.current),
            next_voters: lists.next.as_ref().map(granted),
            pending: self
                .known
                .pending_version()
                .map(|version| (version, matches!(self.known.phase, Phase::Joint { .. }))),
            refused,
            floor: self.floor.clone(),
            fetched: self.fetch.as_ref().map(Fetch::progress),
        }
    }

    fn send(&mut self, to: MemberId, message: &Message, out: &mut Vec<Output>) {
        if to == self.me {
            self.loopback.push_back(message.clone());
        } else {
            out.push(Output::Send { to, data: encode(message) });
        }
    }

    /// Sends to all current and future voters.
    fn send_to_voters(&mut self, message: &Message, out: &mut Vec<Output>) {
        let lists = self.known.lists;
        lists.all().for_each(|voter| self.send(voter, message, out));
    }

    /// Whether a member may vote, by this member's settings file or by the newest known record.
    fn may_vote(&self, name: MemberId) -> bool {
        self.settings.eligible_voters().contains(&name) || self.known.lists.contains(name)
    }

    /// Handles messages that this member sent to itself, and does as much work on documents as the budget of
    /// this step allows.
    fn run_pending(&mut self, now: Duration, out: &mut Vec<Output>) {
        loop {
            while let Some(message) = self.loopback.pop_front() {
                self.handle(now, self.me, message, out);
            }
            if !self.run_next_task(now, out) {
                return;
            }
        }
    }

    fn handle(&mut self, now: Duration, from: MemberId, message: Message, out: &mut Vec<Output>) {
        match message {
            Message::LeaseRequest(request) => self.on_lease_request(now, from, &request, out),
            Message::LeaseReply { incarnation, sent_at_us, position, granted, known, wants_record } => {
                if incarnation == self.incarnation {
                    self.on_lease_reply(now, from, sent_at_us, position, granted, out);
                }
                if let Some(record) = known {
                    self.learn(now, from, &record, out);
                }
                if wants_record {
                    self.send(from, &Message::Chosen(self.known), out);
                }
            }
            Message::Chosen(record) => self.learn(now, from, &record, out),
            Message::PromiseRequest(request) => {
                self.highest_ballot = self.highest_ballot.max(request.ballot.0);
                let is_eligible = self.may_vote(from);
                let Some(voter) = self.voter.as_mut().filter(|_| is_eligible) else { return };
                let behind = request.position <= voter.known().position;
                match voter.promise(now, &request) {
                    Some(promise) => self.send(from, &Message::Promise(promise), out),
                    None if behind => self.send(from, &Message::Chosen(self.known), out),
                    None => {}
                }
            }
            Message::Promise(promise) => {
                self.highest_ballot = self.highest_ballot.max(promise.promised.0);
                if let Some((round, _)) = &mut self.round {
                    let action = round.on_promise(from, &promise);
                    self.on_round_action(now, action, out);
                }
            }
            Message::Accept(accept) => {
                let is_eligible = self.may_vote(from);
                let Some(voter) = self.voter.as_mut().filter(|_| is_eligible) else { return };
                if voter.accept(now, &accept) {
                    let accepted = Message::Accepted {
                        position: accept.record.position,
                        ballot: accept.ballot,
                        incarnation: self.incarnation,
                    };
                    self.send(from, &accepted, out);
                } else if voter.known().position > accept.record.position || accept.basis.is_some() {
                    self.send(from, &Message::Chosen(self.known), out);
                }
            }
            Message::Accepted { position, ballot, incarnation } => {
                // An acceptance of a bootstrap binds its voter only for the duration of a silence, so a
                // bootstrap that is not chosen soon is abandoned.
                let window = self.settings.period * 4;
                let is_current = |(round, at): &&mut (Round, Duration)| {
                    round.request().position == position && (!round.is_bootstrap() || now < *at + window)
                };
                if let Some((round, _)) = self.round.as_mut().filter(is_current) {
                    let action = round.on_accepted(from, ballot, incarnation);
                    self.on_round_action(now, action, out);
                }
            }
            Message::VoterState { incarnation, recipient, status, known, promised, accepted } => {
                self.on_peer_state(now, from, incarnation, recipient, status, known, promised, accepted, out);
            }
            Message::Propose { id, base, new } => self.on_propose(now, from, id, base, new, out),
            Message::Withdraw(position) => {
                if self.known.position == position && matches!(self.known.phase, Phase::Prepare { .. }) {
                    self.withdrawn = Some(position);
                    self.drive_rounds(now, out);
                }
            }
            Message::ChunkRequest { digest, base, first, mask } => {
                self.serve_chunks(ChunkRequest { to: from, digest, base, first, mask }, out);
            }
            Message::Chunk { digest, base, total_bytes, index, bytes } => {
                let Some(fetch) = &mut self.fetch else { return };
                if fetch.on_chunk(digest, base, total_bytes, index, bytes, &mut self.work.reclaimer) {
                    self.record_fetch_progress(now);
                }
            }
        }
    }

    // ---- records and documents ---------------------------------------------------------------------------------

    fn learn(&mut self, now: Duration, from: MemberId, record: &Record, out: &mut Vec<Output>) {
        if let Some(voter) = &mut self.voter {
            let old_status = voter.status();
            voter.learn(now, record);
            if voter.status() != old_status {
                out.push(Output::Log(format!("this voter {}", describe_status(voter.status()))));
            }
        }
        if record.position <= self.known.position {
            return;
        }
        let before = std::mem::replace(&mut self.known, *record);
        self.known_since = now;
        self.known_from = from;
        self.withdrawn = None;
        self.round = self.round.take().filter(|(round, _)| round.request().position > record.position);
        // Forget a proposal once its record is chosen; otherwise it would be proposed again after a
        // withdrawal.
        self.proposal = self.proposal.take().filter(|proposal| proposal.id != record.change);
        out.push(Output::Log(describe_record(record)));
        self.resolve_own_change(now, &before, out);
        self.advance();
        self.ask_leases(now, true, out);
        self.request_chunks(now, false, out);
        self.drive_rounds(now, out);
    }

    fn store_document(&mut self, digest: Digest, document: DocumentWithFloor) {
        let mut needed: Vec<Digest> =
            self.known.versions().chain(self.adopted.versions()).map(|v| v.digest).collect();
        needed.extend(self.own_change.as_ref().map(|own_change| own_change.new.digest));
        self.documents.put(digest, document, &needed, &mut self.work.reclaimer);
    }

    fn record_preparation(&mut self, version: Version, result: Result<(), Refusal>, out: &mut Vec<Output>) {
        if let Err(why) = &result {
            out.push(Output::Log(format!("version {} refused by this member: {why}", version.number)));
        }
        self.prepared.insert(version.digest, result);
    }

    /// Prepares versions that are not prepared yet, and adopts the newest record possible.
    fn advance(&mut self) {
        let needed: BTreeSet<Digest> =
            self.known.versions().chain(self.adopted.versions()).map(|version| version.digest).collect();
        self.prepared.retain(|digest, _| needed.contains(digest));
        // The newest available version is prepared first: the version obeyed now is prepared already, except
        // after a start.
        let is_unprepared = |version: &Version| {
            !self.prepared.contains_key(&version.digest) && self.documents.get(version.digest).is_some()
        };
        let unprepared = self.known.versions().filter(is_unprepared).last();
        if let Some(version) = unprepared.filter(|version| self.preparing != Some(version.digest)) {
            self.start_floor_check(version);
        }
        if self.known.position > self.adopted.position {
            self.start_adoption();
        }
        self.update_voter();
    }

    /// Informs the voter of this member whether the pending document is here, and what the document in force
    /// says about refusals and required members.
    fn update_voter(&mut self) {
        let Some(voter) = &mut self.voter else { return };
        let in_force = self.documents.get(self.known.active_version().digest);
        let pending = self.known.pending_version().and_then(|version| self.documents.get(version.digest));
        // The list of the record must be the list that the document names.
        let names_same_list = |document: &Arc<Document>| match VoterList::from_document(document) {
            Ok(Some(list)) => list == self.known.final_voters(),
            Ok(None) => self.known.lists.next.is_none(),
            Err(_) => false,
        };
        let has_document = self.known.pending_version().is_none() || pending.is_some_and(names_same_list);
        let setting = |key: &str| Key::new(key).ok().and_then(|key| in_force?.get(&key).cloned());
        let skip_refusals = setting("accord/refused") == Some(Value::Text("go_on".into()));
        let declared_gone = |name: &MemberId| {
            [in_force, pending].into_iter().flatten().any(|document| is_declared_gone(document, *name))
        };
        let required = match self.known.phase {
            Phase::Prepare { tightens_floor: true, .. } => {
                self.settings.roster.iter().filter(|name| !declared_gone(name)).copied().collect()
            }
            _ => BTreeSet::new(),
        };
        voter.set_preparation(has_document, skip_refusals, required);
    }

    /// The most urgent missing document.
    fn missing_document(&self) -> Option<Digest> {
        let known = self.known.versions().map(|version| version.digest);
        let proposed = self.proposal.as_ref().map(|proposal| proposal.new.digest);
        let refused = |digest: &Digest| matches!(self.prepared.get(digest), Some(Err(_)));
        known.chain(proposed).find(|digest| self.documents.get(*digest).is_none() && !refused(digest))
    }

    fn record_fetch_progress(&mut self, now: Duration) {
        self.fetch_retry_at = now + self.settings.period;
        self.fetch_progress_at = now;
    }

    /// Requests the next chunks of the missing document.
    fn request_chunks(&mut self, now: Duration, immediately: bool, out: &mut Vec<Output>) {
        let Some(digest) = self.missing_document() else {
            return self.end_fetch();
        };
        if self.fetch.as_ref().is_none_or(|fetch| fetch.digest != digest) {
            let base = [self.known.active_version(), self.adopted.active_version()]
                .into_iter()
                .map(|version| version.digest);
            let base = base.filter_map(|base| Some((base, self.documents.get(base)?.clone()))).next();
            self.end_fetch();
            self.fetch = Some(Fetch::new(digest, base));
            let proposer = self.proposal.as_ref().filter(|p| p.new.digest == digest).map(|p| p.id.proposer);
            self.fetch_from = proposer.unwrap_or(self.known_from);
        } else if !self.fetch.as_ref().is_some_and(Fetch::has_room) {
            // Parsing has to catch up first; it requests more when it is done.
            return;
        } else if !immediately {
            if now < self.fetch_retry_at {
                return;
            }
            // There was no answer for a period, and other members may hold the document too. The member that
            // sent the record is asked every other time on average.
            self.fetch_from = if self.rng.bool() { self.known_from } else { self.random_member() };
        }
        if self.fetch_from == self.me {
            self.fetch_from = self.random_member();
        }
        self.fetch_retry_at = now + self.settings.period;
        if let Some(fetch) = &mut self.fetch {
            let (base, first, mask) = fetch.next_request();
            let to = self.fetch_from;
            self.send(to, &Message::ChunkRequest { digest, base, first, mask }, out);
        }
    }

    fn random_member(&mut self) -> MemberId {
        let at = self.rng.usize(..self.settings.roster.len());
        self.settings.roster[at]
    }

    fn serve_chunks(&mut self, request: ChunkRequest, out: &mut Vec<Output>) {
        if request.to == self.me || !self.documents.is_ready(&request) {
            return;
        }
        for at in (0..WINDOW_CHUNKS).filter(|at| request.mask >> at & 1 == 1) {
            if self.bytes_sent >= self.settings.transfer_bytes_per_period {
                return;
            }
            let Some(index) = request.first.checked_add(at) else { return };
            let digest = request.digest;
            let Some((base, total_bytes, bytes)) = self.documents.chunk(digest, request.base, index) else {
                return;
            };
            self.bytes_sent += bytes.len();
            self.send(request.to, &Message::Chunk { digest, base, total_bytes, index, bytes }, out);
        }
    }
}

/// Whether a document declares that the process of this member is stopped for good.
fn is_declared_gone(document: &Document, name: MemberId) -> bool {
    Key::new(&format!("gone/{name}")).is_ok_and(|key| document.get(&key).is_some())
}

fn describe_status(status: VoterStatus) -> &'static str {
    match status {
        VoterStatus::Silent { .. } => "is silent for the longest lease time",
        VoterStatus::Ready => "waits for the state of a majority of voters, or for an epoch bootstrap",
        VoterStatus::Voting => "votes",
    }
}

fn describe_record(record: &Record) -> String {
    match record.phase {
        Phase::Single(version) => format!("version {} ({}) is in force", version.number, version.digest),
        Phase::Prepare { new, .. } => format!("version {} ({}) is being prepared", new.number, new.digest),
        Phase::Joint { old, new } => format!("versions {} and {} are both in effect", old.number, new.number),
    }
}
