//! Pending changes, and the rounds that choose records.

use super::*;

impl Participant {
    /// Sends this member's change to a voter, and moves on to the next voter after some attempts.
    pub(super) fn send_own_change(&mut self, now: Duration, out: &mut Vec<Output>) {
        let Some(own) = &mut self.own_change else { return };
        let change = own.id;
        if self.known.change == change && self.known.pending_version() == Some(own.new) {
            // The proposal was chosen. It comes into force or is withdrawn, however long that takes.
            return;
        }
        if now >= own.deadline {
            self.own_change = None;
            out.push(Output::Settled { change, result: Err(ProposalError::TimedOut) });
            return;
        }
        let propose = Message::Propose { id: own.id, base: own.base, new: own.new };
        let voters: Vec<MemberId> = self.known.lists.current.iter().collect();
        // Each voter gets four attempts before the next one is asked. This member's own voter comes first, if
        // it has one.
        let start = voters.iter().position(|voter| *voter == self.me).unwrap_or(own.id.count as usize);
        let to = voters[(start + own.attempts / 4) % voters.len()];
        own.attempts += 1;
        self.send(to, &propose, out);
    }

    pub(super) fn resolve_own_change(&mut self, _now: Duration, before: &Record, out: &mut Vec<Output>) {
        let Some(own) = &self.own_change else { return };
        let (known, change) = (&self.known, own.id);
        let is_own = known.change == own.id;
        let result = match known.phase {
            Phase::Prepare { .. } if is_own => return,
            Phase::Prepare { old, .. } if old == own.new => Ok(own.new),
            Phase::Prepare { old, new, .. } if old == own.base => Err(ProposalError::Busy(new)),
            Phase::Joint { new, .. } if new == own.new && is_own => Ok(new),
            Phase::Single(version) if version == own.new => Ok(version),
            // The version is the same as before, so a change was withdrawn: this member's or another's.
            Phase::Single(version) if version == own.base => match before.change == own.id || is_own {
                true => Err(ProposalError::Withdrawn),
                false => return,
            },
            _ => Err(ProposalError::StaleBase(known.active_version())),
        };
        self.own_change = None;
        out.push(Output::Settled { change, result });
    }

    pub(super) fn on_propose(
        &mut self,
        now: Duration,
        from: MemberId,
        id: ProposalId,
        base: Version,
        new: Version,
        out: &mut Vec<Output>,
    ) {
        if self.voter.is_none() || id.proposer != from {
            return;
        }
        // If this proposal led to the current record, it was chosen before and withdrawn since. A late message
        // must not bring it back.
        if self.known.phase != Phase::Single(base) || self.known.change == id {
            self.send(from, &Message::Chosen(self.known), out);
            return;
        }
        if let Some(proposal) = &mut self.proposal {
            if proposal.id == id {
                proposal.heard_at = now;
                return self.drive_rounds(now, out);
            }
            // A pending proposal of another member has priority while it is repeated and its base is in
            // force.
            if proposal.base == base && now < proposal.heard_at + self.settings.period * 6 {
                return;
            }
        }
        self.proposal = Some(PendingProposal { id, base, new, check_result: None, heard_at: now });
        self.request_chunks(now, false, out);
        self.drive_rounds(now, out);
    }

    /// The record that the pending proposal asks for, if the proposal is based on the version in force, its
    /// document is here, and the change is allowed. The proposer checks the change too, but it may run an
    /// older program or be faulty.
    fn checked_proposal(&mut self, in_force: Version) -> Option<Record> {
        let proposal = self.proposal.as_ref().filter(|proposal| proposal.base == in_force)?;
        let Some((tightens_floor, next)) = proposal.check_result else {
            self.start_proposal_check();
            return None;
        };
        let phase = Phase::Prepare { old: in_force, new: proposal.new, tightens_floor };
        let lists = VoterLists { current: self.known.lists.current, next };
        Some(Record {
            position: self.known.position.next(),
            phase,
            leases_from: self.known.leases_from,
            change: proposal.id,
            lists,
        })
    }

    /// The list of voters that a document names, if it differs from the current one.
    ///
    /// # Errors
    /// Why the list is not allowed.
    pub(super) fn next_list(&self, old: &Document, new: &Document) -> Result<Option<VoterList>, String> {
        let current = self.known.lists.current;
        let Some(list) = VoterList::from_document(new).map_err(|why| format!("voter: {why}"))? else {
            // Settings files may differ between members, so a document that names voters is never followed by
            // one that leaves the list to the files.
            let none_before = VoterList::from_document(old).is_ok_and(|list| list.is_none());
            return if none_before { Ok(None) } else { Err("voter: at least one voter must remain".into()) };
        };
        let eligible = self.settings.eligible_voters();
        if let Some(name) = list.iter().find(|name| !self.settings.roster.contains(name)) {
            return Err(format!("voter/{name}: no such member is on the roster"));
        }
        if let Some(name) = list.iter().find(|name| !eligible.contains(name)) {
            return Err(format!("voter/{name}: it is not among accord.may_vote of the files"));
        }
        if let Some(name) = list.iter().find(|name| is_declared_gone(new, *name)) {
            return Err(format!("voter/{name}: gone/{name} says that its process is stopped for good"));
        }
        let min_voters = self.settings.voters.len();
        if list.len() < min_voters {
            return Err(format!(
                "voter: {} names, at least {min_voters} are required (the length of accord.voters): an epoch bootstrap relies on that",
                list.len()
            ));
        }
        Ok((list != current).then_some(list))
    }

    /// Adds the current voters to a change that names voters when the document in force names none, so that
    /// the change starts from the current list.
    pub(super) fn add_voters(&self, mut change: Change, base: &Document) -> Result<Change, ProposalError> {
        let names_voters = change.set.keys().chain(&change.drop).any(|key| voter_named_by(key).is_some());
        if names_voters && VoterList::from_document(base).is_ok_and(|list| list.is_none()) {
            let remaining = self.known.lists.current.iter().filter_map(voter_key);
            let remaining: Vec<Key> = remaining.filter(|key| !change.drop.contains(key)).collect();
            if remaining.is_empty() && !change.set.keys().any(|key| voter_named_by(key).is_some()) {
                return Err(ProposalError::Voters("voter: at least one voter must remain".into()));
            }
            change.set.extend(remaining.into_iter().map(|key| (key, Value::Flag(true))));
        }
        Ok(change)
    }

    /// Starts a round if there is a record to choose and no voter of higher rank appears to be doing it.
    pub(super) fn drive_rounds(&mut self, now: Duration, out: &mut Vec<Output>) {
        if self.voter.as_ref().map(Voter::status) != Some(VoterStatus::Voting) {
            return;
        }
        let elapsed = |at: &Duration, wait: Duration| now >= *at + wait;
        let wait = self.settings.period * 2;
        if self.round.as_ref().is_some_and(|(_, at)| !elapsed(at, wait)) {
            return;
        }
        let rank = self.known.lists.all().position(|voter| voter == self.me).unwrap_or(0) as u32;
        let is_my_turn = now >= self.known_since + wait * rank;
        let position = self.known.position.next();
        let Record { leases_from, change, lists, .. } = self.known;
        let (prior, after) =
            (VoterLists::unchanged(lists.current), VoterLists::unchanged(self.known.final_voters()));
        let proposal = match self.known.phase {
            Phase::Single(version) => self.checked_proposal(version),
            _ if !is_my_turn => None,
            Phase::Prepare { old, new, .. } => {
                let no_document = self.documents.get(new.digest).is_none()
                    && elapsed(&self.known_since, self.settings.prepare_timeout * 2);
                // Future voters that do not vote block the change, and no member acts on the new version yet,
                // so it is withdrawn.
                let no_voters = elapsed(&self.known_since, self.settings.prepare_timeout * 2)
                    && !self.next_voters_are_voting(now);
                Some(match no_document || no_voters || self.withdrawn == Some(self.known.position) {
                    true => Record { position, phase: Phase::Single(old), leases_from, change, lists: prior },
                    false => Record {
                        position,
                        phase: Phase::Joint { old, new },
                        leases_from: position,
                        change,
                        lists,
                    },
                })
            }
            Phase::Joint { new, .. } => {
                Some(Record { position, phase: Phase::Single(new), leases_from, change, lists: after })
            }
        };
        let Some(voter) = &self.voter else { return };
        // A record that was accepted here and is not known to be chosen must be completed, whoever proposed
        // it.
        let unfinished = voter
            .accepted()
            .filter(|(_, record)| record.position == position && elapsed(&self.known_since, wait));
        let proposal = match (proposal, unfinished) {
            (_, Some((_, record))) => Some(*record),
            (Some(record), None) if voter.allows(now, &record) => Some(record),
            _ => None,
        };
        let Some(proposal) = proposal else { return };
        self.highest_ballot = self.highest_ballot.max(voter.promised().0) + 1;
        let ballot: Ballot = (self.highest_ballot, self.me);
        let round = Round::new(&self.known, proposal, ballot);
        let request = Message::PromiseRequest(*round.request());
        // A random delay keeps two proposers from preempting each other for ever.
        let jitter = self.settings.period.mul_f64(self.rng.f64());
        self.round = Some((round, now + jitter));
        self.send_to_voters(&request, out);
    }

    /// Whether a majority of the future voters, if the list changes, was recently seen voting.
    fn next_voters_are_voting(&self, now: Duration) -> bool {
        let Some(next) = &self.known.lists.next else { return true };
        let recent = self.settings.period * 4;
        let is_voting = |peer: &Peer| peer.status == VoterStatus::Voting && now < peer.heard_at + recent;
        Quorum::majorities(next, None).is_met(|n| n == self.me || self.peers.get(&n).is_some_and(is_voting))
    }

    pub(super) fn on_round_action(&mut self, now: Duration, action: RoundAction, out: &mut Vec<Output>) {
        match action {
            RoundAction::Wait => {}
            RoundAction::Accept(accept) => self.send_to_voters(&Message::Accept(accept), out),
            RoundAction::Preempted(ballot) => self.highest_ballot = self.highest_ballot.max(ballot.0),
            RoundAction::Chosen(record) => {
                self.round = None;
                // Voters that the new record removes are notified too.
                let mut notified: BTreeSet<MemberId> =
                    self.known.lists.all().chain(record.lists.all()).collect();
                notified.remove(&self.me);
                self.learn(now, self.me, &record, out);
                for voter in notified {
                    self.send(voter, &Message::Chosen(record), out);
                }
            }
        }
    }
}
