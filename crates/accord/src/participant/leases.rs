//! Leases of this member, and its answers to lease requests of others.

use super::*;

impl Participant {
    pub(super) fn on_lease_request(
        &mut self,
        now: Duration,
        from: MemberId,
        request: &LeaseRequest,
        out: &mut Vec<Output>,
    ) {
        // A member without a vote grants nothing but replies with the newest record it knows, which names the
        // voters.
        let granted = self.voter.as_mut().is_some_and(|voter| voter.grant_lease(now, from, request));
        let position = self.known.position;
        let known = (position > request.known).then_some(self.known);
        let (incarnation, sent_at_us) = (request.incarnation, request.sent_at_us);
        let reply = Message::LeaseReply {
            incarnation,
            sent_at_us,
            position: request.position,
            granted,
            known,
            wants_record: request.known > position,
        };
        self.send(from, &reply, out);
    }

    pub(super) fn on_lease_reply(
        &mut self,
        now: Duration,
        from: MemberId,
        sent_at_us: u64,
        position: Position,
        granted: bool,
        out: &mut Vec<Output>,
    ) {
        if let Some((_, answered)) = self.lease_requests.get_mut(&from) {
            *answered = true;
        }
        if granted && self.is_current_voter(from) && position.same_epoch(self.adopted.position) {
            self.holder.record_grant(now, from, position, Duration::from_micros(sent_at_us));
            self.check_lease(now, out);
        }
    }

    /// Reports the terms to obey if a lease began or ended.
    pub(super) fn check_lease(&mut self, now: Duration, out: &mut Vec<Output>) {
        let is_held = self.holder.is_held(now, self.adopted.position);
        if is_held == self.lease_held {
            return;
        }
        self.lease_held = is_held;
        if is_held {
            out.push(Output::Log(format!(
                "lease acquired from a majority of voters; version {} is in effect",
                self.adopted.active_version().number
            )));
        } else {
            out.push(Output::Log("no lease from a majority of voters; the floor is in effect".into()));
        }
        out.push(Output::Apply(self.active_terms(now)));
    }

    /// Requests leases from voters: from all of them with `immediately`, otherwise from those whose answer is
    /// missing or old.
    pub(super) fn ask_leases(&mut self, now: Duration, immediately: bool, out: &mut Vec<Output>) {
        let report = self
            .known
            .pending_version()
            .and_then(|version| Some((version, self.prepared.get(&version.digest)?.clone())));
        let request = LeaseRequest {
            incarnation: self.incarnation,
            // Rounded down, so that the holder's count never starts after the request was sent.
            sent_at_us: now.as_micros() as u64,
            position: self.adopted.position,
            known: self.known.position,
            report,
        };
        let voters: BTreeSet<MemberId> = self.adopted.lists.all().chain(self.known.lists.all()).collect();
        self.lease_requests.retain(|name, _| voters.contains(name));
        for voter in voters {
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
        // A member that was cut off while the voters changed may know none of them; any member can reply with
        // the current list.
        if !self.lease_held && !immediately {
            let other = self.random_member();
            if other != self.me && !self.lease_requests.contains_key(&other) {
                self.send(other, &Message::LeaseRequest(request), out);
            }
        }
    }

    /// Whether grants of this member count: it is a current or future voter by the adopted or the newest
    /// record.
    fn is_current_voter(&self, name: MemberId) -> bool {
        self.adopted.lists.contains(name) || self.known.lists.contains(name)
    }
}
