//! Calls of operators at the control address.

use super::*;

impl Node {
    /// Accepts connections of operators.
    pub(super) fn accept_callers(&mut self) {
        for _ in 0..MAX_ACCEPTS_PER_WAKE {
            let now = self.clock.now();
            let Some(listener) = &mut self.control_listener else { break };
            match listener.accept() {
                Ok(None) => break,
                Ok(Some((stream, peer))) => self.control.accept(now, stream, peer, &mut self.log),
                Err(e) => {
                    listener.pause(now + NO_DESCRIPTOR_PAUSE_US);
                    self.log.line(now, format_args!("cannot accept an operator's connection: {e}"));
                    break;
                }
            }
        }
        self.process_events();
    }

    pub(super) fn caller_ready(&mut self, id: ConnId) {
        self.control.ready(self.clock.now(), id, &mut self.log);
        self.process_events();
    }

    /// Executes a call of an operator, and returns the response.
    pub(super) fn operate(&mut self, now: Micros, call: control::Command) -> Response {
        match call {
            control::Command::Status => self.status(now),
            control::Command::Metrics => self.show_metrics(),
            control::Command::Rollout(call) => self.operate_rollout(now, call),
            control::Command::Admission(call) => self.operate_admission(now, call),
            control::Command::Drafts => match &self.drafts {
                Some(drafts) => Response::json(200, drafts.show()),
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
                if !self.hosts.is_known(&host) {
                    return Response::problem(404, "no script host has this id");
                }
                if self.manual_out.contains(&host) != out {
                    if self.manual_out.len() >= MAX_MANUAL_OUT && out {
                        return Response::problem(409, "too many hosts are out by hand");
                    }
                    self.log.line(
                        now,
                        format_args!("host {id} is {}", if out { "out by hand" } else { "back in" }),
                    );
                    self.set_manual_out(now, &host, out);
                    self.upgrade.send(&Message::Host { id: id.clone(), out });
                }
                Response::json(200, serde_json::json!({"host": id, "out": out}))
            }
            control::Command::Standby(on) => {
                if self.stopping.is_some() && !on {
                    return Response::problem(409, "the program has been told to end");
                }
                self.set_standby(now, on);
                self.upgrade.send(&Message::Standby { on });
                Response::json(200, serde_json::json!({"standby": on}))
            }
        }
    }

    /// The status page: whether this process accepts clients, and further state for operators.
    pub(super) fn status(&mut self, now: Micros) -> Response {
        let caught_up = self.is_caught_up(now);
        let ready = self.client_listener.is_some() && caught_up && !self.standby && self.stopping.is_none();
        let clients = self.clients();
        let out: Vec<&str> = self.manual_out.iter().map(|h| &*h.0).collect();
        let status = serde_json::json!({"ready": ready, "standby": self.standby, "stopping": self.stopping.is_some(),
            "caught_up": caught_up, "out": out, "requests": self.engine.open(), "clients": clients});
        Response::json(if ready { 200 } else { 503 }, status)
    }

    /// Takes a host out of service by an operator's call, or puts it back.
    pub(super) fn set_manual_out(&mut self, now: Micros, host: &WorkerId, out: bool) {
        if out {
            self.manual_out.insert(host.clone());
        } else {
            self.manual_out.remove(host);
        }
        self.update_in_service(now, host);
    }

    /// Takes a host out of service if an operator or the agreed settings say so, else puts it back. To put it back, the
    /// pool is updated before the engine, because the engine may send to the host at once. To take it out, the engine
    /// is updated first, so that withdrawn attempts go to other hosts.
    pub(super) fn update_in_service(&mut self, now: Micros, host: &WorkerId) {
        let out = self.manual_out.contains(host) || self.is_agreed_out(host);
        if self.hosts.in_maintenance(host) == out {
            return;
        }
        if !out {
            self.hosts.set_maintenance(now, host, out, &mut self.log);
        }
        self.run_engine(|engine, commands| engine.set_out_of_service(now, host.clone(), out, commands));
        if out {
            self.hosts.set_maintenance(now, host, out, &mut self.log);
        }
    }

    /// Asks clients to leave, or accepts them again.
    pub(super) fn set_standby(&mut self, now: Micros, on: bool) {
        if std::mem::replace(&mut self.standby, on) != on {
            self.log.line(now, if on { "drained by an operator" } else { "taking clients again" });
            self.update_draining(now);
        }
    }
}
