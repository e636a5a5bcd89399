//! Leases of this member, and what is answered to those that ask it for one.

use super::*;

impl Accord {
    pub(super) fn requested(&mut self, now: Duration, from: Name, request: &Request, out: &mut Vec<Out>) {
        // One that has no vote, or none any more, grants nothing and says what it knows: the record names those that vote.
        let granted = self.voter.as_mut().is_some_and(|voter| voter.grant(now, from, request));
        let mark = self.known.mark;
        let known = (mark > request.known).then_some(self.known);
        let (life, at) = (request.life, request.at);
        let reply =
            Message::Reply { life, at, mark: request.mark, granted, known, tell: request.known > mark };
        self.send(from, &reply, out);
    }

    pub(super) fn replied(
        &mut self,
        now: Duration,
        from: Name,
        at: u64,
        mark: Mark,
        granted: bool,
        out: &mut Vec<Out>,
    ) {
        if let Some((_, answered)) = self.asked.get_mut(&from) {
            *answered = true;
        }
        if granted && self.votes(from) && mark.same_epoch(self.adopted.mark) {
            self.holder.granted(now, from, mark, Duration::from_micros(at));
            self.check_lease(now, out);
        }
    }

    /// Tells what is obeyed if a lease began or ended.
    pub(super) fn check_lease(&mut self, now: Duration, out: &mut Vec<Out>) {
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
    pub(super) fn ask_leases(&mut self, now: Duration, at_once: bool, out: &mut Vec<Out>) {
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
        let votes: BTreeSet<Name> = self.adopted.lists.all().chain(self.known.lists.all()).collect();
        self.asked.retain(|name, _| votes.contains(name));
        for voter in votes {
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
        // One that was cut off while voters changed may know nobody that votes: any member can tell it who does.
        if !self.leased && !at_once {
            let other = self.any_other();
            if other != self.me && !self.asked.contains_key(&other) {
                self.send(other, &Message::Request(request), out);
            }
        }
    }

    /// Whether a grant of this one may count: it votes, or is to vote, by what is obeyed or known here.
    fn votes(&self, name: Name) -> bool {
        self.adopted.lists.contains(name) || self.known.lists.contains(name)
    }
}
