//! `GET /accord` and `POST /accord`: operators read and change the agreed settings.

use super::*;

impl Node {
    /// Answers `GET /accord`, or `POST /accord` if there is a change.
    pub(in crate::node) fn operate_accord(&mut self, now: Micros, change: Option<Change>) -> Response {
        let Some(agreed) = &mut self.agreed else {
            return Response::problem(404, "this activator agrees with no others");
        };
        let Some(change) = change else { return Response::json(200, agreed.show()) };
        let change = agreed.resolve_members(change);
        let problem = change.set.iter().find_map(|(key, value)| {
            let problem = Terms::default().set(key, value, &agreed.base).err()?;
            Some(format!("{}: {problem}", key.as_str()))
        });
        if let Some(problem) = problem {
            return Response::problem(400, &problem);
        }
        let mut out = Vec::new();
        let result = agreed.accord.propose(since_boot(), change, &mut out);
        self.handle_accord_outputs(now, out);
        match result {
            Ok(change) => Response::json(202, json!({"id": id(&change)})),
            Err(why) => {
                let status = match why {
                    ProposalError::StaleBase(_) | ProposalError::Busy(_) => 409,
                    ProposalError::Change(_) | ProposalError::Voters(_) => 400,
                    _ => 503,
                };
                Response::problem(status, &why.to_string())
            }
        }
    }
}

fn version(version: &wheellink_accord::Version) -> Value {
    json!({"number": version.number, "digest": version.digest.to_string()})
}

impl AgreedSettings {
    /// Replaces the names of members in the keys `voter/NAME` and `gone/NAME` by their ids.
    fn resolve_members(&self, change: Change) -> Change {
        let resolve = |key: Key| {
            let segments: Vec<&str> = key.segments().collect();
            let [kind @ ("voter" | "gone"), name] = segments[..] else { return key };
            let known = self.setup.1.names().find(|known| *known == name);
            known.and_then(|name| Key::new(&format!("{kind}/{}", member_id(name))).ok()).unwrap_or(key)
        };
        Change {
            base: change.base,
            set: change.set.into_iter().map(|(key, value)| (resolve(key), value)).collect(),
            drop: change.drop.into_iter().map(resolve).collect(),
        }
    }

    /// The answer to `GET /accord`. `said` is the text of the log line `accord: acts on`, which tools parse as well.
    fn show(&self) -> Value {
        let status = self.accord.status(since_boot());
        let members = &self.setup.1;
        let name = |id: wheellink_accord::MemberId| {
            members.names().find(|n| member_id(n) == id).unwrap_or("?").to_string()
        };
        let active = match &self.active {
            ActiveTerms::Floor(floor) => json!({"on": "floor", "digest": floor.digest().to_string()}),
            ActiveTerms::Single(one, _) => json!({"on": "one", "version": version(one)}),
            ActiveTerms::Joint { old, new, .. } => {
                json!({"on": "both", "old": version(old), "new": version(new)})
            }
        };
        let list = |list: &[(wheellink_accord::MemberId, bool)]| -> Vec<Value> {
            list.iter()
                .map(|(n, grants)| json!({"name": name(*n), "number": n.0, "grants": grants}))
                .collect()
        };
        let voters = list(&status.voters);
        let next_voters = status.next_voters.as_deref().map(list);
        let refused: Vec<Value> = status
            .refused
            .iter()
            .map(|(n, why)| json!({"name": name(*n), "reason": why.to_string()}))
            .collect();
        let settled = self.settled.iter().map(|(change, result)| match result {
            Ok(made) => json!({"id": id(change), "version": version(made)}),
            Err(why) => json!({"id": id(change), "reason": why.to_string()}),
        });
        let settled: Vec<Value> = settled.collect();
        let role = match status.role {
            Role::Activator => "activator",
            Role::Silent => "silent",
            Role::Voter => "voter",
        };
        let pending = status.pending.as_ref().map(|(to, both)| json!({"version": version(to), "both": both}));
        let fetched = status.fetched.map(|(got, all)| json!({"bytes": got, "of": all}));
        let out: Vec<&str> = self.hosts_out.iter().map(|h| &*h.0).take(MAX_SHOWN_HOSTS).collect();
        let terms = self.active.terms();
        json!({"acting": active, "said": describe(&self.active, status.known.number), "known": version(&status.known), "role": role,
            "lease_left_ms": status.lease_remaining.map(|left| left.as_millis() as u64), "voters": voters, "voters_to_come": next_voters, "pending": pending,
            "fetched": fetched, "refused": refused, "settled": settled, "bound_ms": self.bound.as_millis() as u64,
            "turns": self.changes, "entries": terms.len(), "hosts_out": {"known_here": self.hosts_out.len(), "first": out},
            "floor": {"entries": status.floor.len(), "digest": status.floor.digest().to_string()},
            "limits": self.limits()})
    }

    /// This activator's share of each limit of the fleet.
    fn limits(&self) -> Value {
        let share = |milli: i64| milli as f64 / 1e3 / self.roster as f64;
        let tenants = self.base.tenants.iter().enumerate();
        let tenants =
            tenants.filter_map(|(i, name)| Some((name.clone(), json!(share(self.in_force.quota(i)?)))));
        json!({"open": self.max_open(), "tenants_per_s": tenants.collect::<serde_json::Map<_, _>>()})
    }
}
