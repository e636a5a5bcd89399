//! Changes on their way, and the rounds that choose records.

use super::*;

impl Accord {
    /// Sends this one's change to a voter, each time to another.
    pub(super) fn push_mine(&mut self, now: Duration, out: &mut Vec<Out>) {
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
        let voters: Vec<Name> = self.known.lists.now.iter().collect();
        // A voter has a few periods for it before the next is asked; this one's own vote first, if it has one.
        let own = voters.iter().position(|voter| *voter == self.me).unwrap_or(mine.id.count as usize);
        let to = voters[(own + mine.tries / 4) % voters.len()];
        mine.tries += 1;
        self.send(to, &propose, out);
    }

    pub(super) fn settle(&mut self, _now: Duration, before: &Record, out: &mut Vec<Out>) {
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

    pub(super) fn proposed(
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
        // The second: it was taken, and withdrawn since; asked for late, it would be taken again.
        if self.known.phase != Phase::Pure(base) || self.known.by == id {
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
        self.wish = Some(Wish { id, base, new, judged: None, heard: now });
        self.pull(now, false, out);
        self.drive(now, out);
    }

    /// The record that the wish asks for, if it is of the version in force, its document here, and a change that may be
    /// made. Checked by the proposer as well, which may be an older program, or wrong.
    fn checked_wish(&mut self, in_force: Version) -> Option<Record> {
        let wish = self.wish.as_ref().filter(|wish| wish.base == in_force)?;
        let Some((tightens, next)) = wish.judged else {
            self.judge();
            return None;
        };
        let phase = Phase::Prepare { old: in_force, new: wish.new, tightens };
        let lists = Lists { now: self.known.lists.now, next };
        Some(Record { mark: self.known.mark.next(), phase, least: self.known.least, by: wish.id, lists })
    }

    /// The list of voters to come, if it is another than the one in force; or why there may be no such list.
    pub(super) fn next_list(&self, old: &Document, new: &Document) -> Result<Option<Voters>, String> {
        let now = self.known.lists.now;
        let Some(list) = Voters::of(new).map_err(|why| format!("voter: {why}"))? else {
            // Files may differ, so that they are not gone back to.
            let had = Voters::of(old).is_ok_and(|list| list.is_none());
            return if had { Ok(None) } else { Err("voter: at least one voter stays".into()) };
        };
        let may = self.settings.may_vote();
        if let Some(name) = list.iter().find(|name| !self.settings.roster.contains(name)) {
            return Err(format!("voter/{name}: no such member is on the roster"));
        }
        if let Some(name) = list.iter().find(|name| !may.contains(name)) {
            return Err(format!("voter/{name}: it is not among accord.may_vote of the files"));
        }
        if let Some(name) = list.iter().find(|name| gone(new, *name)) {
            return Err(format!("voter/{name}: gone/{name} says that its process is stopped for good"));
        }
        let fewest = self.settings.voters.len();
        if list.len() < fewest {
            return Err(format!(
                "voter: {} names, at least {fewest} stay (as many as accord.voters has): a start from nothing counts on that",
                list.len()
            ));
        }
        Ok((list != now).then_some(list))
    }

    /// The change with all voters named, if it names any and the document in force names none: it begins from the list in force.
    pub(super) fn with_voters(&self, mut change: Change, base: &Document) -> Result<Change, Rejected> {
        let names = change.set.keys().chain(&change.drop).any(|key| named(key).is_some());
        if names && Voters::of(base).is_ok_and(|list| list.is_none()) {
            let stay = self.known.lists.now.iter().filter_map(key_of);
            let stay: Vec<Key> = stay.filter(|key| !change.drop.contains(key)).collect();
            if stay.is_empty() && !change.set.keys().any(|key| named(key).is_some()) {
                return Err(Rejected::Voters("voter: at least one voter stays".into()));
            }
            change.set.extend(stay.into_iter().map(|key| (key, Value::Flag(true))));
        }
        Ok(change)
    }

    /// Begins a round if there is something to choose and nobody who stands before this one seems to do it.
    pub(super) fn drive(&mut self, now: Duration, out: &mut Vec<Out>) {
        if self.voter.as_ref().map(Voter::standing) != Some(Standing::Voting) {
            return;
        }
        let again = |at: &Duration, wait: Duration| now >= *at + wait;
        let wait = self.settings.period * 2;
        if self.round.as_ref().is_some_and(|(_, at)| !again(at, wait)) {
            return;
        }
        let rank = self.known.lists.all().position(|voter| voter == self.me).unwrap_or(0) as u32;
        let turn = now >= self.known_since + wait * rank;
        let next = self.known.mark.next();
        let Record { least, by, lists, .. } = self.known;
        let (before, after) = (Lists::only(lists.now), Lists::only(self.known.last_list()));
        let wish = match self.known.phase {
            Phase::Pure(version) => self.checked_wish(version),
            _ if !turn => None,
            Phase::Prepare { old, new, .. } => {
                let lost = self.store.get(new.digest).is_none()
                    && again(&self.known_since, self.settings.patience * 2);
                // Voters to come that do not come hold everything up, and nobody acts on them yet.
                let stuck = again(&self.known_since, self.settings.patience * 2) && !self.next_votes(now);
                Some(match lost || stuck || self.unwanted == Some(self.known.mark) {
                    true => Record { mark: next, phase: Phase::Pure(old), least, by, lists: before },
                    false => Record { mark: next, phase: Phase::Joint { old, new }, least: next, by, lists },
                })
            }
            Phase::Joint { new, .. } => {
                Some(Record { mark: next, phase: Phase::Pure(new), least, by, lists: after })
            }
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
        let round = Round::new(&self.known, wish, ballot);
        let ask = Message::Ask(*round.ask());
        // Apart, so that two do not beat each other for ever.
        let apart = self.settings.period.mul_f64(self.rng.f64());
        self.round = Some((round, now + apart));
        self.send_voters(&ask, out);
    }

    /// Whether a majority of the voters to come, if others are, was heard voting.
    fn next_votes(&self, now: Duration) -> bool {
        let Some(next) = &self.known.lists.next else { return true };
        let recent = self.settings.period * 4;
        let votes = |peer: &Peer| peer.standing == Standing::Voting && now < peer.heard + recent;
        Quorum::majorities(next, None).met(|name| name == self.me || self.peers.get(&name).is_some_and(votes))
    }

    pub(super) fn stepped(&mut self, now: Duration, step: Step, out: &mut Vec<Out>) {
        match step {
            Step::Wait => {}
            Step::Accept(accept) => self.send_voters(&Message::Accept(accept), out),
            Step::Beaten(ballot) => self.highest = self.highest.max(ballot.0),
            Step::Chosen(record) => {
                self.round = None;
                // Those that vote no more are told as well.
                let mut told: BTreeSet<Name> = self.known.lists.all().chain(record.lists.all()).collect();
                told.remove(&self.me);
                self.learn(now, self.me, &record, out);
                for voter in told {
                    self.send(voter, &Message::Known(record), out);
                }
            }
        }
    }
}
