//! The voter's start and recovery, and the bootstrap of a new epoch.

use super::*;

impl Participant {
    pub(super) fn tick_voter(&mut self, now: Duration, out: &mut Vec<Output>) {
        let Some(voter) = &mut self.voter else { return };
        voter.drop_expired_grants(now);
        if voter.end_silence(now) {
            out.push(Output::Log(format!("this voter {}", describe_status(voter.status()))));
        }
        let recent = self.settings.period * 4;
        let peer_is_voting = |peer: &Peer| peer.status == VoterStatus::Voting && now < peer.heard_at + recent;
        let is_voting = |name: MemberId| name == self.me || self.peers.get(&name).is_some_and(peer_is_voting);
        if self.known.quorum().is_met(is_voting) {
            self.quorum_seen_at = now;
        }
        let lists = self.known.lists;
        // A member that is eligible but on no list is not a lost voter.
        let has_lost_state = |(name, peer): (&MemberId, &Peer)| {
            now < peer.heard_at + recent
                && lists.contains(*name)
                && matches!(peer.status, VoterStatus::Ready | VoterStatus::Silent { state_lost: true, .. })
        };
        let silence = self.settings.longer(self.settings.lease + self.settings.period);
        if voter.status() == VoterStatus::Voting
            && now > self.quorum_seen_at + silence * 3
            && self.peers.iter().any(has_lost_state)
        {
            out.push(Output::Log(
                "voter: too few other voters are voting; going silent to bootstrap a new epoch with those that lost their state".into(),
            ));
            voter.reset(now);
            self.quorum_seen_at = now;
        }
        let state = |recipient: u64, voter: &Voter| Message::VoterState {
            incarnation: voter.incarnation(),
            recipient,
            status: voter.status(),
            known: *voter.known(),
            promised: voter.promised(),
            accepted: voter.accepted().copied(),
        };
        let recipients: BTreeSet<MemberId> =
            self.settings.eligible_voters().iter().copied().chain(lists.all()).collect();
        let messages: Vec<(MemberId, Message)> = recipients
            .into_iter()
            .filter(|name| *name != self.me)
            .map(|name| (name, state(self.peers.get(&name).map_or(0, |peer| peer.incarnation), voter)))
            .collect();
        for (name, message) in messages {
            self.send(name, &message, out);
        }
        self.try_bootstrap(now, out);
    }

    #[allow(clippy::too_many_arguments)] // the fields of one message
    pub(super) fn on_peer_state(
        &mut self,
        now: Duration,
        from: MemberId,
        incarnation: u64,
        recipient: u64,
        status: VoterStatus,
        known: Record,
        promised: Ballot,
        accepted: Option<(Ballot, Record)>,
        out: &mut Vec<Output>,
    ) {
        if !self.may_vote(from) || self.peers.get(&from).is_some_and(|peer| peer.incarnation > incarnation) {
            return;
        }
        self.take_later_incarnation(recipient, out);
        let knows_me = recipient == self.incarnation;
        self.peers.insert(from, Peer { incarnation, status, known: known.position, knows_me, heard_at: now });
        self.learn(now, from, &known, out);
        let Some(voter) = &mut self.voter else { return };
        voter.observe_incarnation(from, incarnation);
        // State counts for a recovery only if it was sent to this incarnation by a voter whose state is
        // intact.
        let intact = matches!(status, VoterStatus::Voting | VoterStatus::Silent { state_lost: false, .. });
        if knows_me && intact {
            voter.merge_peer_state(now, from, &known, promised, accepted);
        }
    }

    /// Handles the incarnation of this member that a peer knows. If that is later than this one, an earlier
    /// process ran on a clock that was ahead, and peers would ignore this process, so it takes a still later
    /// incarnation. It does so only while it has promised and granted nothing, because peers would attribute
    /// its acts under the old incarnation to a dead process.
    fn take_later_incarnation(&mut self, remembered: u64, out: &mut Vec<Output>) {
        let Some(voter) = self.voter.as_mut().filter(|voter| voter.is_uncommitted()) else { return };
        if remembered <= self.incarnation {
            return;
        }
        self.incarnation = remembered.saturating_add(1);
        voter.set_incarnation(self.incarnation);
        out.push(Output::Log(
            "voter: peers know a later incarnation of this member; taking a still later one".into(),
        ));
    }

    /// Bootstraps a new epoch if enough voters were silent for the duration of a lease, so that no lease of
    /// the old epoch is left.
    pub(super) fn try_bootstrap(&mut self, now: Duration, out: &mut Vec<Output>) {
        let Some(voter) = self.voter.as_ref().filter(|v| v.status() == VoterStatus::Ready) else {
            return;
        };
        if self.round.as_ref().is_some_and(|(_, at)| now < *at + self.settings.period * 2) {
            return;
        }
        // An acceptance binds its voter only for the duration of a silence, so the round may not complete
        // after that.
        self.round = None;
        let recent = self.settings.period * 4;
        let is_ready = |p: &Peer| p.status == VoterStatus::Ready && p.knows_me && now < p.heard_at + recent;
        let mut incarnations: Vec<(MemberId, u64)> = self
            .peers
            .iter()
            .filter(|(_, peer)| is_ready(peer))
            .map(|(name, peer)| (*name, peer.incarnation))
            .collect();
        let documents = [self.known.active_version(), self.adopted.active_version()];
        let documents = documents.map(|version| self.documents.get(version.digest));
        let quorum = self.settings.bootstrap_quorum(|name| {
            documents.iter().flatten().any(|document| is_declared_gone(document, name))
        });
        let silent = |name: MemberId| name == self.me || incarnations.iter().any(|(other, _)| *other == name);
        if !quorum.is_met(silent) || incarnations.iter().any(|(name, _)| *name < self.me) {
            return;
        }
        // Bootstrap with the newest known version. If its document does not arrive within the preparation
        // timeout, use a version whose document is here.
        let timed_out = now >= voter.known_since() + self.settings.prepare_timeout;
        let known = self.known.active_version();
        let old = self.known.versions().next().unwrap_or(known);
        // Each version goes with the list of voters that its document names.
        let list_of = |record: &Record| match record.phase {
            Phase::Joint { .. } => record.final_voters(),
            Phase::Single(_) | Phase::Prepare { .. } => record.lists.current,
        };
        let candidates = [
            (known, list_of(&self.known)),
            (old, self.known.lists.current),
            (self.adopted.active_version(), list_of(&self.adopted)),
        ];
        let available = candidates.into_iter().find(|(v, _)| self.documents.get(v.digest).is_some());
        let Some((version, list)) = available.filter(|(v, _)| *v == known || timed_out) else {
            return;
        };
        let number = match self.known.position.epoch {
            0 => 1,
            // Higher than any version that may have been chosen and that no remaining member knows.
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
        let change = ProposalId { proposer: self.me, incarnation: self.incarnation, count: 0 };
        let phase = Phase::Single(Version { number, digest: version.digest });
        let record =
            Record { position, phase, leases_from: position, change, lists: VoterLists::unchanged(list) };
        incarnations.push((self.me, self.incarnation));
        let accept = Accept { ballot: (1, self.me), record, incarnations, basis: Some(self.known.position) };
        self.round = Some((Round::bootstrap(accept.clone(), quorum), now));
        for name in self.settings.eligible_voters().to_vec() {
            self.send(name, &Message::Accept(accept.clone()), out);
        }
    }
}
