//! The life cycle of the process: start, listeners, upgrade, reload, shutdown.

use super::*;

impl Node {
    /// Takes over the state that operators have set in the process that this one replaces, what its admission has
    /// learnt, and how far it has read the bus.
    pub(super) fn inherit(&mut self, state: &ProcessState) {
        let now = self.clock.now();
        for id in &state.out {
            self.set_manual_out(now, &id.as_str().into(), true);
        }
        self.set_standby(now, state.standby);
        if let Some(learnt) = &state.admission {
            self.admission.inherit(now, learnt.clone());
        }
        self.inherit_departed(now, &state.departed);
        if let (Mode::Platform(_, bus), Some(place)) = (&mut self.mode, state.bus) {
            bus.require_position(place);
        }
    }

    /// Sets the limits of memory and descriptors: all of them, or this process's part while two processes run.
    pub(super) fn update_limits(&mut self) {
        let descriptors = self.config.descriptors;
        let share = self.config.memory_bytes / MEMORY_PARTS;
        let held = Usage { clients: self.clients(), hosts: self.hosts.conns(), listed: self.hosts.reserve() };
        let (share, bounds) = if self.upgrade.has_peer() {
            (share / 2, descriptors.shared_bounds(self.peer_clients))
        } else {
            (share, descriptors.bounds(held))
        };
        self.admission.set_memory_limit(share);
        self.rollout.limit_body_bytes(share);
        let now = self.clock.now();
        self.control.set_max_callers(descriptors.operators());
        let bounds = self.descriptor_bounds(now, bounds);
        self.hosts.set_limits((bounds.hosts, share));
        let clients = bounds.clients;
        match &mut self.mode {
            Mode::Platform(front, _) => front.set_limits((clients, share)),
            Mode::Operator { front, .. } => front.set_limits((clients, share)),
        }
        if !self.upgrade.has_peer() {
            self.close_excess_clients(now, clients);
        }
    }

    pub(super) fn guests_ready(&mut self) {
        self.upgrade.accept();
        self.process_events();
    }

    pub(super) fn peer_ready(&mut self, id: ConnId) {
        self.upgrade.ready(id);
        let now = self.clock.now();
        self.send_announced(now);
        self.process_events();
    }

    /// Handles a message of another process at this address, or the end of its connection.
    pub(super) fn handle_peer_event(&mut self, now: Micros, event: PeerEvent) {
        match event {
            PeerEvent::Arrived(id, _) if self.rollout.is_busy() => {
                self.log.line(now, "another process connected during a rollout and was refused");
                self.upgrade.refuse(id, "a rollout is under way");
            }
            PeerEvent::Arrived(id, info) => {
                let info = info.and_then(|info| Some((self.candidate_reply(&info)?, info)));
                let socket = self.client_listener.as_ref().map(Listener::share);
                let Some(Ok(socket)) = socket else { return };
                let mut state = self.state();
                match info {
                    None => self.log.line(now, "a new process comes to take this one's place"),
                    Some((answer, theirs)) => {
                        state.rollout = Some(answer);
                        self.attach_candidate(now, theirs);
                    }
                }
                self.upgrade.hand_over(id, state, socket);
                self.update_limits();
            }
            PeerEvent::Message(Message::Ready) => {
                // Queued connections are accepted by the new process, from the same socket.
                self.log.line(now, "the new process takes clients");
                self.superseded = true;
                self.client_listener.iter_mut().for_each(|listener| listener.pause(Micros::MAX));
                // The new process is another instance of the same member. If both took part, each would declare members
                // dead that answer to the other instance.
                self.membership.take().into_iter().for_each(Membership::close);
                self.update_draining(now);
            }
            PeerEvent::Message(Message::Host { id, out }) => {
                let state = if out { "out by hand" } else { "back in" };
                self.log.line(now, format_args!("host {id} is {state}, reported by the other process"));
                self.set_manual_out(now, &id.as_str().into(), out)
            }
            PeerEvent::Message(Message::Standby { on }) => self.set_standby(now, on),
            PeerEvent::Message(Message::Admission(call)) => drop(self.set_prefix(now, &call)),
            PeerEvent::Message(Message::Learned { addresses }) => self.admission.inherit(now, addresses),
            PeerEvent::Message(Message::Departed { ids }) => self.inherit_departed(now, &ids),
            PeerEvent::Message(Message::Tally { clients, tallies }) => {
                self.peer_clients = clients;
                self.update_limits();
                let handover =
                    HandoverState { tallies: upgrade::from_rows(&tallies), ..HandoverState::default() };
                self.run_engine(|engine, out| engine.inherit(now, handover, out));
            }
            PeerEvent::Message(Message::HalfClosed { seq, since }) => {
                self.peer_client_half_closed(now, seq, since)
            }
            PeerEvent::Message(
                Message::Hello { .. } | Message::State(_) | Message::Busy { .. } | Message::Other,
            ) => {}
            PeerEvent::Frame(word) => self.handle_frame(now, *word),
            PeerEvent::Disconnected(why) => {
                if !self.rollout_peer_lost(now, &why) {
                    self.log.line(now, "the other process is gone");
                }
                self.peer_clients = 0;
                self.update_limits();
                if std::mem::take(&mut self.superseded) {
                    // The new process has failed: this one accepts clients again.
                    self.client_listener.iter_mut().for_each(Listener::resume);
                    self.update_draining(now);
                    self.configure_members();
                    // Promises that were made under this member's name since then belong to another instance of the
                    // member, so this one takes part in the agreement as a new instance.
                    self.agreed = None;
                    self.configure_accord(now);
                    self.announce(now);
                }
            }
        }
    }

    /// Sends the successor the number of client connections, and the tallies for the load budget of both processes.
    pub(super) fn send_tally(&mut self, now: Micros) {
        let tallies = upgrade::to_rows(self.engine.tallies(self.tallied_until));
        self.tallied_until = now;
        self.upgrade.send(&Message::Tally { clients: self.clients(), tallies });
    }

    /// The state that a new process takes over.
    pub(super) fn state(&mut self) -> ProcessState {
        self.tallied_until = self.clock.now();
        let mut state = ProcessState {
            out: self.manual_out.iter().map(|h| h.0.to_string()).collect(),
            standby: self.standby,
            admission: self.admission.state(self.tallied_until),
            clock: Some(self.clock.base()),
            departed: self.ids_not_to_run(),
            bus: match &self.mode {
                Mode::Platform(_, bus) => Some(bus.position()),
                Mode::Operator { .. } => None,
            },
            ..ProcessState::default()
        };
        state.set_engine_state(self.engine.handover_state());
        state
    }

    /// Starts to accept clients. Called at the start, or, while another process runs at this address, once the host
    /// list is up to date.
    pub(super) fn start_accepting(&mut self) -> Result<(), String> {
        let now = self.clock.now();
        let Some(listener) = self.bound_socket.take() else { return Ok(()) };
        let listener = Listener::open(&self.handle, listener, Wake::Clients);
        self.client_listener =
            Some(listener.map_err(|e| format!("cannot listen on {}: {e}", self.config.listen))?);
        self.upgrade.send(&Message::Ready);
        self.log.line(now, "taking clients");
        self.configure_members();
        self.configure_accord(now);
        self.announce(now);
        Ok(())
    }

    /// Makes this process known to new processes at its address. Without that, an upgrade is a restart.
    pub(super) fn announce(&mut self, now: Micros) {
        let address = self.client_listener.as_ref().and_then(Listener::address).unwrap_or(self.config.listen);
        if let Err(e) = self.upgrade.listen(address) {
            self.log.line(now, format_args!("cannot announce this process to new ones at its address: {e}"));
        }
    }

    /// Starts to listen for clients and operators.
    pub fn open_listeners(&mut self) -> Result<(), String> {
        let failed = |address| move |e| format!("cannot listen on {address}: {e}");
        let (clients, control) = (self.config.listen, self.config.control);
        if let Some(address) = control {
            let listener = listener::listen(address).map_err(failed(address))?;
            let listener = Listener::open(&self.handle, listener, Wake::Callers).map_err(failed(address))?;
            self.control_listener = Some(listener);
        }
        // With port 0 in the configuration, these lines tell which ports were assigned.
        if let Some(address) = self.control_listener.as_ref().and_then(Listener::address) {
            eprintln!("control on {address}");
        }
        let address = self.bound_socket.as_ref().and_then(|l| l.local_addr().ok()).unwrap_or(clients);
        eprintln!("listening on {address}");
        self.configure_peers();
        if !self.upgrade.has_peer() {
            self.start_accepting()?;
        }
        Ok(())
    }

    /// Accepts connections of clients.
    pub(super) fn accept(&mut self) {
        if self.admission.is_on() {
            self.accept_with_admission();
            return self.process_events();
        }
        for _ in 0..MAX_ACCEPTS_PER_WAKE {
            let now = self.clock.now();
            self.update_limits();
            // The listener may have been paused since it became ready.
            let Some(listener) = self.client_listener.as_mut().filter(|l| !l.is_paused()) else {
                break;
            };
            let room = match &mut self.mode {
                Mode::Platform(front, _) => front.has_room(now, &mut self.log),
                Mode::Operator { front, .. } => front.has_room(now, &mut self.log),
            };
            if !room {
                listener.pause(now + NO_ROOM_PAUSE_US);
                break;
            }
            match listener.accept() {
                Ok(None) => break,
                Ok(Some((stream, peer))) => self.admit_connection(now, stream, peer),
                Err(e) => {
                    // The listener stays ready: without a pause, the loop would spin.
                    listener.pause(now + NO_DESCRIPTOR_PAUSE_US);
                    self.log.line(now, format_args!("no connection can be accepted: {e}"));
                    break;
                }
            }
        }
        self.process_events();
    }

    /// Starts or stops asking clients to open no new connections and requests.
    pub(super) fn update_draining(&mut self, now: Micros) {
        let ready = !self.standby && self.stopping.is_none();
        let drains = !ready || self.superseded;
        match &mut self.mode {
            Mode::Platform(front, _) => {
                front.ready = ready;
                front.set_draining(now, drains, &mut self.log)
            }
            Mode::Operator { front, .. } => front.set_draining(now, drains),
        }
    }

    /// SIGTERM: asks clients to open nothing new. Requests that still arrive are answered, and the process ends when
    /// none is open.
    pub(super) fn stop(&mut self) {
        if self.stopping.is_none() {
            let now = self.clock.now();
            self.log.line(now, format_args!("told to stop with {} requests open", self.engine.open()));
            self.stopping = Some(now);
            self.end_rollout(now);
            self.leave_members(now);
            self.update_draining(now);
            self.process_events();
        }
    }

    /// SIGHUP: the configuration file has been replaced. The new one is checked as a whole, then applied except for the
    /// addresses to listen on; requests, hosts and connections are kept. An invalid file is logged, and the old
    /// configuration stays in force.
    pub fn reload(&mut self, config: Result<Config, String>) {
        let now = self.clock.now();
        let applied = config.and_then(|config| {
            self.config.check_replacement(&config)?;
            self.check_agreed_terms(&config)?;
            self.apply_config(now, config)
        });
        match applied {
            Ok(what) => self.log.line(now, format_args!("configuration read again: {what}")),
            Err(problem) => self.log.line(now, format_args!("the old configuration is kept: {problem}")),
        }
        self.process_events();
    }

    /// Applies a checked configuration. Steps that can fail come first.
    pub(super) fn apply_config(&mut self, now: Micros, config: Config) -> Result<String, String> {
        let d = &config.deployment;
        let idle = d.transport.conn_idle;
        let (source, moved) = match (&mut self.mode, &config.mode) {
            (Mode::Platform(front, bus), config::Mode::Platform { bus: address, .. }) => {
                front.conn_idle = idle;
                (format!("bus {address}"), (bus.address != *address).then_some(*address))
            }
            (
                Mode::Operator { front, hosts, classes, .. },
                config::Mode::Operator { resolver, bounds, .. },
            ) => {
                let failed = |e| format!("no socket for queries to {resolver}: {e}");
                hosts.set_resolver(*resolver).map_err(failed)?;
                hosts.browser.set_zones(&d.zones);
                front.update(idle, *bounds, (d.classes.clone(), d.tenants.clone()));
                if let config::Mode::Operator { classes: new, .. } = &config.mode {
                    classes.clone_from(new);
                }
                (format!("resolver {resolver}"), None)
            }
            _ => return Err("it is of another kind (platform or operator's file)".into()),
        };
        if let Some(address) = moved {
            self.close_bus(now, Reason::Moved);
            if let Mode::Platform(_, bus) = &mut self.mode {
                bus.set_address(address);
            }
        }
        let what = format!("{source}, {} classes, {} attempts", d.classes.len(), d.settings.max_attempts);
        let transport = d.transport.clone();
        let order_timeout = transport.order_timeout;
        self.hosts.set_transport(transport);
        if (config.listen, config.control) != (self.config.listen, self.config.control) {
            self.log.line(now, "a change of the addresses to listen on takes effect at the next start");
        }
        let renumbering = renumber::renumbering(&self.config.deployment, &config.deployment);
        self.config = config;
        self.renumber(now, renumbering);
        self.admission.retune(self.config.admission.as_ref());
        let admission = self.admission.is_on();
        if let Mode::Operator { front, .. } = &mut self.mode {
            front.checks_bodies = admission;
        }
        self.agreed_settings = None;
        let settings = self.effective_settings();
        self.run_engine(|engine, out| engine.update_settings(now, settings, order_timeout, out));
        self.configure_peers();
        if self.client_listener.is_some() && !self.superseded {
            self.configure_members();
        }
        self.configure_turns(now);
        self.configure_accord(now);
        self.policies_changed(now);
        self.update_limits();
        Ok(what)
    }

    /// Whether the process may end: it was told to stop, and no answer is due. Must be called once per iteration of the
    /// loop.
    pub fn is_done(&mut self) -> bool {
        if self.rollout.is_dismissed() {
            return true;
        }
        let now = self.clock.now();
        // A process that was not scheduled for a while has more input than one iteration reads.
        let over = self.stopping.is_some_and(|since| now - since >= SHUTDOWN_GRACE_US);
        if !over {
            return false;
        }
        self.final_iterations = if self.clients_idle { 0 } else { self.final_iterations + 1 };
        let reading_is_over = self.final_iterations > MAX_FINAL_ITERATIONS;
        if reading_is_over {
            self.discard_unfinished_input();
        }
        let all_read = self.clients_idle || reading_is_over;
        all_read && self.pending.is_empty() && self.waiting_turns() == 0 && self.is_front_idle()
    }

    /// Discards what clients send that keep sending, once their open requests are answered.
    fn discard_unfinished_input(&mut self) {
        match &mut self.mode {
            Mode::Platform(front, _) => front.discard_unfinished_input(),
            // There each answer closes its connection by now.
            Mode::Operator { .. } => {}
        }
    }

    fn is_front_idle(&self) -> bool {
        match &self.mode {
            Mode::Platform(front, _) => front.is_idle(),
            Mode::Operator { front, .. } => front.is_idle(),
        }
    }

    pub fn shut_down(&mut self) {
        let now = self.clock.now();
        match &mut self.mode {
            Mode::Platform(front, _) => front.shut_down(now, &mut self.log),
            Mode::Operator { front, hosts, .. } => {
                front.shut_down(now, &mut self.log);
                hosts.close(now, &mut self.log);
            }
        }
        self.upgrade.shut_down();
        self.control.shut_down(now, &mut self.log);
        self.hosts.shut_down(now, &mut self.log);
        self.close_bus(now, Reason::Shutdown);
    }
}
