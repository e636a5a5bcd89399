//! Leases of this member, and what is answered to those that ask it for one.

use super::*;

impl Participant {
    pub(super) fn on_lease_request(
        &mut self,
        now: Duration,
        from: MemberId,
        request: &LeaseRequest,
        out: &mut Vec<Output>,
    ) {
        // One that has no vote, or none any more, grants nothing and says what it knows: the record names those that vote.
        let granted = self.voter.as_mut().is_some_and(|voter| voter.grant_lease(now, from, request));
        let position = self.known.position;
        let known = (position > request.known).then_some(self.known);
        let (incarnation, at) = (request.incarnation, request.at);
        let reply = Message::LeaseReply {
            incarnation,
            at,
            position: request.position,
            granted,
            known,
            tell: request.known > position,
        };
        self.send(from, &reply, out);
    }

    pub(super) fn on_lease_reply(
        &mut self,
        now: Duration,
        from: MemberId,
        at: u64,
        position: Position,
        granted: bool,
        out: &mut Vec<Output>,
    ) {
        if let Some((_, answered)) = self.lease_requests.get_mut(&from) {
            *answered = true;
        }
        if granted && self.is_current_voter(from) && position.same_epoch(self.adopted.position) {
            self.holder.record_grant(now, from, position, Duration::from_micros(at));
            self.check_lease(now, out);
        }
    }

    /// Tells what is obeyed if a lease began or ended.
    pub(super) fn check_lease(&mut self, now: Duration, out: &mut Vec<Output>) {
        let leased = self.holder.holds(now, self.adopted.position);
        if leased == self.lease_held {
            return;
        }
        self.lease_held = leased;
        if leased {
            out.push(Output::Log(format!(
                "lease of a majority; obeying version {}",
                self.adopted.obeyed().number
            )));
        } else {
            out.push(Output::Log("no lease of a majority of voters: obeying the floor".into()));
        }
        out.push(Output::Apply(self.active_terms(now)));
    }

    /// Asks voters for a lease: at once if something changed, else those whose answer is missing or old.
    pub(super) fn ask_leases(&mut self, now: Duration, immediately: bool, out: &mut Vec<Output>) {
        let word = self
            .known
            .pending_version()
            .and_then(|version| Some((version, self.prepared.get(&version.digest)?.clone())));
        let request = LeaseRequest {
            incarnation: self.incarnation,
            // Down, so that the holder's count never begins after the sending.
            at: now.as_micros() as u64,
            position: self.adopted.position,
            known: self.known.position,
            word,
        };
        let votes: BTreeSet<MemberId> = self.adopted.lists.all().chain(self.known.lists.all()).collect();
        self.lease_requests.retain(|name, _| votes.contains(name));
        for voter in votes {
            let due = match self.lease_requests.get(&voter) {
                None => true,
                Some((at, true)) => now >= *at + self.settings.lease / 6,
                Some((at, false)) => now >= *at + self.settings.period,
            };
            if due || immediately {
                self.lease_requests.insert(voter, (now, false));
                self.send(voter, &Message::LeaseRequest(request.clone()), out);
            }
        }
        // One that was cut off while voters changed may know nobody that votes: any member can tell it who does.
        if !self.lease_held && !immediately {
            let other = self.random_member();
            if other != self.me && !self.lease_requests.contains_key(&other) {
                self.send(other, &Message::LeaseRequest(request), out);
            }
        }
    }

    /// Whether a grant of this one may count: it votes, or is to vote, by what is obeyed or known here.
    fn is_current_voter(&self, name: MemberId) -> bool {
        self.adopted.lists.contains(name) || self.known.lists.contains(name)
    }
}
