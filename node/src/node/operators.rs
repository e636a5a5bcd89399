//! What operators ask for at the control address.

use super::*;

impl Node {
    /// Operators call.
    pub(super) fn accept_callers(&mut self) {
        for _ in 0..ACCEPT_AT_ONCE {
            let now = self.clock.now();
            let Some(listener) = &mut self.control_listener else { break };
            match listener.next() {
                Ok(None) => break,
                Ok(Some((stream, peer))) => self.control.accept(now, stream, peer, &mut self.log),
                Err(e) => {
                    listener.shut(now + NO_DESCRIPTOR);
                    self.log.line(now, format_args!("no caller can be accepted: {e}"));
                    break;
                }
            }
        }
        self.settle();
    }

    pub(super) fn caller_ready(&mut self, id: ConnId) {
        self.control.ready(self.clock.now(), id, &mut self.log);
        self.settle();
    }

    /// Does what an operator asks for, and says whether that could be done.
    pub(super) fn operate(&mut self, now: Micros, call: control::Command) -> Response {
        match call {
            control::Command::Status => self.status(now),
            control::Command::Metrics => self.show_metrics(),
            control::Command::Rollout(call) => self.operate_rollout(now, call),
            control::Command::Admission(call) => self.operate_admission(now, call),
            control::Command::Drafts => match &self.drafting {
                Some(drafting) => Response::json(200, drafting.show()),
                None => Response::problem(404, "this activator learns no drafts"),
            },
            control::Command::Accord(change) => self.operate_accord(now, change.map(|change| *change)),
            control::Command::Members { leave } => {
                if leave {
                    self.leave_members(now);
                }
                match &self.membership {
                    Some(membership) => Response::json(200, membership.show()),
                    None => Response::problem(404, "this activator watches no others"),
                }
            }
            control::Command::Turns => self.show_turns(),
            control::Command::Host { id, out } => {
                let host: WorkerId = id.as_str().into();
                if !self.hosts.knows(&host) {
                    return Response::problem(404, "no script host has this id");
                }
                if self.by_hand.contains(&host) != out {
                    if self.by_hand.len() >= MOST_BARRED && out {
                        return Response::problem(409, "too many hosts are out by hand");
                    }
                    self.log.line(
                        now,
                        format_args!("host {id} is {}", if out { "out by hand" } else { "back in" }),
                    );
                    self.bar_by_hand(now, &host, out);
                    self.upgrade.send(&Message::Host { id: id.clone(), out });
                }
                Response::json(200, serde_json::json!({"host": id, "out": out}))
            }
            control::Command::Standby(on) => {
                if self.stopping.is_some() && !on {
                    return Response::problem(409, "the program has been told to end");
                }
                self.stand_by(now, on);
                self.upgrade.send(&Message::Standby { on });
                Response::json(200, serde_json::json!({"standby": on}))
            }
        }
    }

    /// Whether this process takes clients, and what an operator may want to know besides.
    pub(super) fn status(&mut self, now: Micros) -> Response {
        let caught_up = self.is_caught_up(now);
        let ready = self.client_listener.is_some() && caught_up && !self.standby && self.stopping.is_none();
        let clients = self.clients();
        let out: Vec<&str> = self.by_hand.iter().map(|h| &*h.0).collect();
        let told = serde_json::json!({"ready": ready, "standby": self.standby, "stopping": self.stopping.is_some(),
            "caught_up": caught_up, "out": out, "requests": self.engine.open(), "clients": clients});
        Response::json(if ready { 200 } else { 503 }, told)
    }

    /// Takes a host out by hand, or back in.
    pub(super) fn bar_by_hand(&mut self, now: Micros, host: &WorkerId, out: bool) {
        if out {
            self.by_hand.insert(host.clone());
        } else {
            self.by_hand.remove(host);
        }
        self.bar(now, host);
    }

    /// Has a host out if that was said by hand or is agreed, else in. The pool is told first when it is to be used
    /// again, as the engine may send at once, and after the engine else, so that what is withdrawn goes elsewhere.
    pub(super) fn bar(&mut self, now: Micros, host: &WorkerId) {
        let out = self.by_hand.contains(host) || self.is_out_as_agreed(host);
        if self.hosts.is_barred(host) == out {
            return;
        }
        if !out {
            self.hosts.bar(now, host, out, &mut self.log);
        }
        self.run_engine(|engine, commands| engine.set_out_of_service(now, host.clone(), out, commands));
        if out {
            self.hosts.bar(now, host, out, &mut self.log);
        }
    }

    /// Sends clients away, or takes them again.
    pub(super) fn stand_by(&mut self, now: Micros, on: bool) {
        if std::mem::replace(&mut self.standby, on) != on {
            self.log.line(now, if on { "drained by an operator" } else { "taking clients again" });
            self.part(now);
        }
    }
}
