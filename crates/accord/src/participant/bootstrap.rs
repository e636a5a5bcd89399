//! Voters that start from nothing, are added, or found anew.

use super::*;

impl Participant {
    pub(super) fn tick_voter(&mut self, now: Duration, out: &mut Vec<Output>) {
        let Some(voter) = &mut self.voter else { return };
        voter.drop_expired_grants(now);
        if voter.end_silence(now) {
            out.push(Output::Log(format!("as a voter: {}", status(voter.status()))));
        }
        let recent = self.settings.period * 4;
        let voting = |peer: &Peer| peer.status == VoterStatus::Voting && now < peer.heard + recent;
        let votes = |name: MemberId| name == self.me || self.peers.get(&name).is_some_and(voting);
        if self.known.quorum().is_met(votes) {
            self.quorum_seen_at = now;
        }
        let lists = self.known.lists;
        // One that only might vote is no loss.
        let lost = |(name, peer): (&MemberId, &Peer)| {
            now < peer.heard + recent
                && lists.contains(*name)
                && matches!(peer.status, VoterStatus::Ready | VoterStatus::Silent { state_lost: true, .. })
        };
        let silence = self.settings.longer(self.settings.lease + self.settings.period);
        if voter.status() == VoterStatus::Voting
            && now > self.quorum_seen_at + silence * 3
            && self.peers.iter().any(lost)
        {
            out.push(Output::Log(
                "as a voter: too few others vote; silent, to found anew with those that forgot".into(),
            ));
            voter.reset(now);
            self.quorum_seen_at = now;
        }
        let state = |recipient_incarnation: u64, voter: &Voter| Message::VoterState {
            incarnation: voter.incarnation(),
            recipient_incarnation,
            status: voter.status(),
            known: *voter.known(),
            promised: voter.promised(),
            accepted: voter.accepted().copied(),
        };
        let told: BTreeSet<MemberId> =
            self.settings.eligible_voters().iter().copied().chain(lists.all()).collect();
        let incarnations: Vec<(MemberId, Message)> = told
            .into_iter()
            .filter(|name| *name != self.me)
            .map(|name| (name, state(self.peers.get(&name).map_or(0, |peer| peer.incarnation), voter)))
            .collect();
        for (name, message) in incarnations {
            self.send(name, &message, out);
        }
        self.try_bootstrap(now, out);
    }

    #[allow(clippy::too_many_arguments)] // the fields of one message
    pub(super) fn on_voter_state(
        &mut self,
        now: Duration,
        from: MemberId,
        incarnation: u64,
        recipient_incarnation: u64,
        status: VoterStatus,
        known: Record,
        promised: Ballot,
        accepted: Option<(Ballot, Record)>,
        out: &mut Vec<Output>,
    ) {
        if !self.may_vote(from) || self.peers.get(&from).is_some_and(|peer| peer.incarnation > incarnation) {
            return;
        }
        self.take_later_incarnation(recipient_incarnation, out);
        let met = recipient_incarnation == self.incarnation;
        self.peers.insert(from, Peer { incarnation, status: status, known: known.position, met, heard: now });
        self.learn(now, from, &known, out);
        let Some(voter) = &mut self.voter else { return };
        voter.observe_incarnation(from, incarnation);
        // It counts for a recovery only if it was said to this life, by one that forgot nothing.
        let sound = matches!(status, VoterStatus::Voting | VoterStatus::Silent { state_lost: false, .. });
        if met && sound {
            voter.merge_peer_state(now, from, &known, promised, accepted);
        }
    }

    /// Another voter remembers this life of this name. Where that is a later one than this, an earlier process went by a clock
    /// that was ahead: this one takes a later life still, or nobody would hear it. Only while it has promised and granted
    /// nothing, as what it did under another life would be held for a dead process's.
    fn take_later_incarnation(&mut self, remembered: u64, out: &mut Vec<Output>) {
        let Some(voter) = self.voter.as_mut().filter(|voter| voter.is_uncommitted()) else { return };
        if remembered <= self.incarnation {
            return;
        }
        self.incarnation = remembered.saturating_add(1);
        voter.set_incarnation(self.incarnation);
        out.push(Output::Log(
            "as a voter: others remember a later process of this name; in a later life now".into(),
        ));
    }

    /// Founds a new epoch, if a majority of voters was silent for a lease: no lease of before is left then.
    pub(super) fn try_bootstrap(&mut self, now: Duration, out: &mut Vec<Output>) {
        let Some(voter) = self.voter.as_ref().filter(|voter| voter.status() == VoterStatus::Ready) else {
            return;
        };
        if self.round.as_ref().is_some_and(|(_, at)| now < *at + self.settings.period * 2) {
            return;
        }
        // What was accepted in it binds nobody for longer than a silence: it may not be chosen after that.
        self.round = None;
        let recent = self.settings.period * 4;
        let ready = |peer: &Peer| peer.status == VoterStatus::Ready && peer.met && now < peer.heard + recent;
        let mut incarnations: Vec<(MemberId, u64)> = self
            .peers
            .iter()
            .filter(|(_, peer)| ready(peer))
            .map(|(name, peer)| (*name, peer.incarnation))
            .collect();
        let documents = [self.known.obeyed(), self.adopted.obeyed()];
        let documents = documents.map(|version| self.documents.get(version.digest));
        let quorum =
            self.settings.bootstrap_quorum(|name| documents.iter().flatten().any(|of| gone(of, name)));
        let silent = |name: MemberId| name == self.me || incarnations.iter().any(|(other, _)| *other == name);
        if !quorum.is_met(silent) || incarnations.iter().any(|(name, _)| *name < self.me) {
            return;
        }
        // The newest document: what is known, and after long patience what is here.
        let late = now >= voter.since() + self.settings.prepare_timeout;
        let known = self.known.obeyed();
        let old = self.known.versions().next().unwrap_or(known);
        // Each with the voters that its document names.
        let list_of = |record: &Record| match record.phase {
            Phase::Joint { .. } => record.final_voters(),
            Phase::Single(_) | Phase::Prepare { .. } => record.lists.current,
        };
        let candidates = [
            (known, list_of(&self.known)),
            (old, self.known.lists.current),
            (self.adopted.obeyed(), list_of(&self.adopted)),
        ];
        let held = candidates.into_iter().find(|(version, _)| self.documents.get(version.digest).is_some());
        let Some((version, list)) = held.filter(|(version, _)| *version == known || late) else { return };
        let number = match self.known.position.epoch {
            0 => 1,
            // Above whatever was chosen and is known to nobody any more.
            _ => (known.number / 1_000 + 1) * 1_000,
        };
        let epoch = self
            .peers
            .values()
            .map(|peer| peer.known.epoch)
            .max()
            .unwrap_or(0)
            .max(self.known.position.epoch)
            + 1;
        let position = Position { epoch, salt: self.rng.u32(..), index: 0 };
        let proposal_id = ProposalId { name: self.me, incarnation: self.incarnation, count: 0 };
        let phase = Phase::Single(Version { number, digest: version.digest });
        let record = Record {
            position,
            phase,
            oldest_compatible: position,
            proposal_id,
            lists: VoterLists::unchanged(list),
        };
        incarnations.push((self.me, self.incarnation));
        let accept = Accept { ballot: (1, self.me), record, incarnations, basis: Some(self.known.position) };
        self.round = Some((Round::bootstrap(accept.clone(), quorum), now));
        for name in self.settings.eligible_voters().to_vec() {
            self.send(name, &Message::Accept(accept.clone()), out);
        }
    }
}
