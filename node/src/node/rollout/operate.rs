//! Operators' commands for a rollout, and the document of `GET /rollout`.

use super::*;

impl Node {
    pub(in crate::node) fn operate_rollout(&mut self, now: Micros, call: RolloutCommand) -> Response {
        let conflict = |reason: &str| Response::problem(409, reason);
        let Some(setup) = &self.config.rollout else {
            return Response::problem(404, "rollouts are not set up: the configuration has no [rollout]");
        };
        if call == RolloutCommand::Show {
            return Response::json(200, self.show_rollout(now));
        }
        if matches!(self.rollout.role, Role::Candidate | Role::Successor) {
            return conflict("this is the new version: call the old one, which has the clients");
        }
        if self.stopping.is_some() {
            return conflict("the program has been told to end");
        }
        let done = match call {
            RolloutCommand::Begin(plan) => {
                let Some(plan) = plan.map(|p| *p).or_else(|| setup.plan.clone()) else {
                    return Response::problem(400, "there is no plan: neither in the call nor in the file");
                };
                if self.rollout.role == Role::Holder && !self.rollout.caught_up {
                    return conflict("the new version does not know its script hosts yet");
                }
                self.rollout.machine.begin(now, plan, Cause::Operator("begin")).map(|()| None)
            }
            RolloutCommand::Step(to) => self.rollout.machine.step(now, to).map(|()| None),
            RolloutCommand::Hold => self.rollout.machine.hold(now).map(|()| None),
            RolloutCommand::Back => self.rollout.machine.roll_back(now).map(|()| None),
            RolloutCommand::Complete => self.rollout.machine.complete(now),
            RolloutCommand::Show => Ok(None),
        };
        match done {
            Err(refusal) => conflict(&refusal.0),
            Ok(act) => {
                if act == Some(Action::Complete) {
                    self.hand_over_clients(now);
                }
                self.tick_rollout(now, true);
                let m = &self.rollout.machine;
                let status = serde_json::json!({"life": m.phase().as_str(), "percent": m.share().percent()});
                Response::json(200, status)
            }
        }
    }

    /// The document of `GET /rollout`. Its size is bounded, as the gates' rows, the history and the plan are.
    pub(super) fn show_rollout(&self, now: Micros) -> serde_json::Value {
        let (g, m) = (&self.rollout, &self.rollout.machine);
        let count = |c: wheellink_rollout::Count| serde_json::json!({"calls": c.calls, "hits": c.hits});
        let gates = m.gates().evaluate().into_iter().map(|gate| {
            serde_json::json!({"class": gate.class, "kind": gate.metric.as_str(), "old": count(gate.old),
            "new": count(gate.new), "evidence": (gate.log_e * 100.0).round() / 100.0,
            "verdict": match gate.verdict {
                wheellink_rollout::Verdict::Inconclusive => "not_known",
                wheellink_rollout::Verdict::Passes => "holds",
                wheellink_rollout::Verdict::Fails => "fails",
            }})
        });
        let gates: Vec<_> = gates.collect();
        let history: Vec<_> = m
            .history()
            .map(|c| {
                serde_json::json!({"at_ms": c.at / 1000, "from": c.from.as_str(), "to": c.to.as_str(),
                    "percent": c.share.percent(), "cause": c.cause.to_string()})
            })
            .collect();
        let [old, new] = m.gates().latencies();
        let ms = |(p50, p99): (u64, u64)| serde_json::json!({"p50": p50 as f64 / 1000.0, "p99": p99 as f64 / 1000.0});
        let c = &g.counts;
        let differences: Vec<_> = g.differences.iter().map(ToString::to_string).collect();
        let role = match g.role {
            Role::Alone => "alone",
            Role::Holder => "holder",
            Role::Candidate => "candidate",
            Role::Successor => "successor",
        };
        let (phase, percent) = match g.role {
            Role::Candidate | Role::Successor => g.holder_status.clone(),
            _ => (m.phase().as_str().to_string(), m.share().percent()),
        };
        serde_json::json!({"role": role, "life": phase, "percent": percent,
            "version": self.config.rollout.as_ref().map(|r| r.version()), "other_version": g.peer.version,
            "plan": m.plan().map(|(plan, _)| plan), "step": m.plan().map(|(_, step)| step + 1),
            "candidate": {"attached": m.attached(), "caught_up": g.caught_up,
                "heard_ms_ago": if g.role == Role::Alone { None } else { Some((now - g.last_heard) / 1000) }},
            "calls_out": g.ledger.len(), "bytes_out": g.ledger.bytes(), "calls_in": g.calls.len(),
            "counts": {"passed": c.passed, "kept_for_want_of_room": c.kept, "given_back": c.returned,
                "run_anew": c.rerun, "failed_by_loss": c.failed, "refused_by_loss": c.refused,
                "orders_granted": c.granted, "orders_denied": c.denied},
            "keys_pinned": m.split().pin_count(), "keys_forgotten": m.split().evicted_pins,
            "classes": differences, "times_ms": {"old": ms(old), "new": ms(new)}, "gates": gates, "history": history})
    }
}
