//! Voters that start from nothing, are added, or found anew.

use super::*;

impl Accord {
    pub(super) fn wake_voter(&mut self, now: Duration, out: &mut Vec<Out>) {
        let Some(voter) = &mut self.voter else { return };
        voter.sweep(now);
        if voter.wake(now) {
            out.push(Out::Note(format!("as a voter: {}", standing(voter.standing()))));
        }
        let recent = self.settings.period * 4;
        let voting = |peer: &Peer| peer.standing == Standing::Voting && now < peer.heard + recent;
        let votes = |name: Name| name == self.me || self.peers.get(&name).is_some_and(voting);
        if self.known.quorum().met(votes) {
            self.healthy = now;
        }
        let lists = self.known.lists;
        // One that only might vote is no loss.
        let lost = |(name, peer): (&Name, &Peer)| {
            now < peer.heard + recent
                && lists.contains(*name)
                && matches!(peer.standing, Standing::Ready | Standing::Silent { forgot: true, .. })
        };
        let silence = self.settings.longer(self.settings.lease + self.settings.period);
        if voter.standing() == Standing::Voting
            && now > self.healthy + silence * 3
            && self.peers.iter().any(lost)
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
        let told: BTreeSet<Name> = self.settings.may_vote().iter().copied().chain(lists.all()).collect();
        let lives: Vec<(Name, Message)> = told
            .into_iter()
            .filter(|name| *name != self.me)
            .map(|name| (name, state(self.peers.get(&name).map_or(0, |peer| peer.life), voter)))
            .collect();
        for (name, message) in lives {
            self.send(name, &message, out);
        }
        self.found(now, out);
    }

    #[allow(clippy::too_many_arguments)] // the fields of one message
    pub(super) fn told_state(
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
        if !self.may_vote(from) || self.peers.get(&from).is_some_and(|peer| peer.life > life) {
            return;
        }
        self.outlive(yours, out);
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

    /// Another voter remembers this life of this name. Where that is a later one than this, an earlier process went by a clock
    /// that was ahead: this one takes a later life still, or nobody would hear it. Only while it has promised and granted
    /// nothing, as what it did under another life would be held for a dead process's.
    fn outlive(&mut self, remembered: u64, out: &mut Vec<Out>) {
        let Some(voter) = self.voter.as_mut().filter(|voter| voter.has_forgotten()) else { return };
        if remembered <= self.life {
            return;
        }
        self.life = remembered.saturating_add(1);
        voter.renew(self.life);
        out.push(Out::Note(
            "as a voter: others remember a later process of this name; in a later life now".into(),
        ));
    }

    /// Founds a new epoch, if a majority of voters was silent for a lease: no lease of before is left then.
    pub(super) fn found(&mut self, now: Duration, out: &mut Vec<Out>) {
        let Some(voter) = self.voter.as_ref().filter(|voter| voter.standing() == Standing::Ready) else {
            return;
        };
        if self.round.as_ref().is_some_and(|(_, at)| now < *at + self.settings.period * 2) {
            return;
        }
        // What was accepted in it binds nobody for longer than a silence: it may not be chosen after that.
        self.round = None;
        let recent = self.settings.period * 4;
        let ready = |peer: &Peer| peer.standing == Standing::Ready && peer.met && now < peer.heard + recent;
        let mut lives: Vec<(Name, u64)> = self
            .peers
            .iter()
            .filter(|(_, peer)| ready(peer))
            .map(|(name, peer)| (*name, peer.life))
            .collect();
        let documents = [self.known.obeyed(), self.adopted.obeyed()];
        let documents = documents.map(|version| self.store.get(version.digest));
        let quorum = self.settings.founders(|name| documents.iter().flatten().any(|of| gone(of, name)));
        let silent = |name: Name| name == self.me || lives.iter().any(|(other, _)| *other == name);
        if !quorum.met(silent) || lives.iter().any(|(name, _)| *name < self.me) {
            return;
        }
        // The newest document: what is known, and after long patience what is here.
        let late = now >= voter.since() + self.settings.patience;
        let known = self.known.obeyed();
        let old = self.known.versions().next().unwrap_or(known);
        // Each with the voters that its document names.
        let list_of = |record: &Record| match record.phase {
            Phase::Joint { .. } => record.last_list(),
            Phase::Pure(_) | Phase::Prepare { .. } => record.lists.now,
        };
        let candidates = [
            (known, list_of(&self.known)),
            (old, self.known.lists.now),
            (self.adopted.obeyed(), list_of(&self.adopted)),
        ];
        let held = candidates.into_iter().find(|(version, _)| self.store.get(version.digest).is_some());
        let Some((version, list)) = held.filter(|(version, _)| *version == known || late) else { return };
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
        let record = Record { mark, phase, least: mark, by, lists: Lists::only(list) };
        lives.push((self.me, self.life));
        let accept = Accept { ballot: (1, self.me), record, lives, basis: Some(self.known.mark) };
        self.round = Some((Round::founding(accept.clone(), quorum), now));
        for name in self.settings.may_vote().to_vec() {
            self.send(name, &Message::Accept(accept.clone()), out);
        }
    }
}
