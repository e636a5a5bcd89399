//! What operators see of the agreed settings, and how they change them.

use super::*;

impl Node {
    pub(in crate::node) fn operate_accord(&mut self, now: Micros, change: Option<Change>) -> Response {
        let Some(agreed) = &mut self.agreed else {
            return Response::problem(404, "this activator agrees with no others");
        };
        let Some(change) = change else { return Response::json(200, agreed.show()) };
        let change = agreed.numbered(change);
        let strange = change.set.iter().find_map(|(key, value)| {
            let problem = Terms::default().set(key, value, &agreed.base).err()?;
            Some(format!("{}: {problem}", key.as_str()))
        });
        if let Some(problem) = strange {
            return Response::problem(400, &problem);
        }
        let mut out = Vec::new();
        let result = agreed.accord.propose(since_boot(), change, &mut out);
        self.carry_out_accord(now, out);
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

impl Agreed {
    /// The change with the numbers of members in place of their names, in `voter/NAME` and `gone/NAME`.
    fn numbered(&self, change: Change) -> Change {
        let named = |key: Key| {
            let words: Vec<&str> = key.segments().collect();
            let [what @ ("voter" | "gone"), name] = words[..] else { return key };
            let known = self.setup.1.names().find(|known| *known == name);
            known.and_then(|name| Key::new(&format!("{what}/{}", member_id(name))).ok()).unwrap_or(key)
        };
        Change {
            base: change.base,
            set: change.set.into_iter().map(|(key, value)| (named(key), value)).collect(),
            drop: change.drop.into_iter().map(named).collect(),
        }
    }

    /// As the log has it: machines read both.
    fn show(&self) -> Value {
        let view = self.accord.status(since_boot());
        let members = &self.setup.1;
        let name = |of: wheellink_accord::MemberId| {
            members.names().find(|n| member_id(n) == of).unwrap_or("?").to_string()
        };
        let acting = match &self.acting {
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
        let voters = list(&view.voters);
        let to_come = view.next_voters.as_deref().map(list);
        let refused: Vec<Value> = view
            .refused
            .iter()
            .map(|(n, why)| json!({"name": name(*n), "reason": why.to_string()}))
            .collect();
        let settled = self.settled.iter().map(|(change, result)| match result {
            Ok(made) => json!({"id": id(change), "version": version(made)}),
            Err(why) => json!({"id": id(change), "reason": why.to_string()}),
        });
        let settled: Vec<Value> = settled.collect();
        let role = match view.role {
            Role::Activator => "activator",
            Role::Silent => "silent",
            Role::Voter => "voter",
        };
        let pending = view.pending.as_ref().map(|(to, both)| json!({"version": version(to), "both": both}));
        let fetched = view.fetched.map(|(got, all)| json!({"bytes": got, "of": all}));
        let out: Vec<&str> = self.out.iter().map(|h| &*h.0).take(MOST_SHOWN).collect();
        let terms = self.acting.terms();
        json!({"acting": acting, "said": said(&self.acting, view.known.number), "known": version(&view.known), "role": role,
            "lease_left_ms": view.lease_remaining.map(|left| left.as_millis() as u64), "voters": voters, "voters_to_come": to_come, "pending": pending,
            "fetched": fetched, "refused": refused, "settled": settled, "bound_ms": self.bound.as_millis() as u64,
            "turns": self.turns, "entries": terms.len(), "hosts_out": {"known_here": self.out.len(), "first": out},
            "floor": {"entries": view.floor.len(), "digest": view.floor.digest().to_string()},
            "limits": self.limits()})
    }

    /// This one's share of each cap of the fleet that it keeps.
    fn limits(&self) -> Value {
        let share = |milli: i64| milli as f64 / 1e3 / self.roster as f64;
        let tenants = self.base.tenants.iter().enumerate();
        let tenants =
            tenants.filter_map(|(i, name)| Some((name.clone(), json!(share(self.in_force.quota(i)?)))));
        json!({"open": self.most_open(), "tenants_per_s": tenants.collect::<serde_json::Map<_, _>>()})
    }
}
