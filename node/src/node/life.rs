//! The life of the process: start, listeners, upgrade, reload, end.

use super::*;

impl Node {
    /// Takes over what the process whose place this one takes was told by operators.
    pub(super) fn inherit(&mut self, state: &ProcessState) {
        let now = self.clock.now();
        for id in &state.out {
            self.bar_by_hand(now, &id.as_str().into(), true);
        }
        self.stand_by(now, state.standby);
        if let Some(learnt) = &state.admission {
            self.admission.inherit(now, learnt.clone());
        }
        if let (Side::Platform(_, bus), Some(place)) = (&mut self.side, state.bus) {
            bus.read_elsewhere(place);
        }
    }

    /// What this process may hold: all of the limits, or its part of them while two processes run.
    pub(super) fn resize(&mut self) {
        let descriptors = self.config.descriptors;
        let share = self.config.memory_bytes / MEMORY_SHARE;
        let held = Held { clients: self.clients(), hosts: self.hosts.held(), listed: self.hosts.reserve() };
        let (share, bounds) = if self.upgrade.has_peer() {
            (share / 2, descriptors.beside(self.peer_clients))
        } else {
            (share, descriptors.alone(held))
        };
        self.admission.bound_memory(share);
        self.gradual.bound(share);
        let now = self.clock.now();
        self.control.set_max_callers(descriptors.callers());
        let bounds = self.bound_descriptors(now, bounds);
        self.hosts.bound((bounds.hosts, share));
        let clients = bounds.clients;
        match &mut self.side {
            Side::Platform(front, _) => front.bound((clients, share)),
            Side::Operator { front, .. } => front.bound((clients, share)),
        }
        if !self.upgrade.has_peer() {
            self.reclaim(now, clients);
        }
    }

    pub(super) fn guests_ready(&mut self) {
        self.upgrade.accept();
        self.settle();
    }

    pub(super) fn peer_ready(&mut self, id: ConnId) {
        self.upgrade.ready(id);
        let now = self.clock.now();
        self.send_told(now);
        self.settle();
    }

    /// What another process of this address says or wants.
    pub(super) fn hear_peer(&mut self, now: Micros, news: PeerEvent) {
        match news {
            PeerEvent::Arrived(id, _) if self.gradual.is_busy() => {
                self.log.line(now, "a further process came during a rollout and was turned away");
                self.upgrade.refuse(id, "a rollout is under way");
            }
            PeerEvent::Arrived(id, hail) => {
                let hail = hail.and_then(|hail| Some((self.may_be_candidate(&hail)?, hail)));
                let socket = self.client_listener.as_ref().map(Listener::share);
                let Some(Ok(socket)) = socket else { return };
                let mut state = self.state();
                match hail {
                    None => self.log.line(now, "a new process comes to take this one's place"),
                    Some((answer, theirs)) => {
                        state.rollout = Some(answer);
                        self.attach(now, theirs);
                    }
                }
                self.upgrade.hand_over(id, state, socket);
                self.resize();
            }
            PeerEvent::Message(Message::Ready) => {
                // Who is queued is taken by the new process, from the same socket.
                self.log.line(now, "the new process takes clients");
                self.succeeded = true;
                self.client_listener.iter_mut().for_each(|listener| listener.shut(Micros::MAX));
                // It is another life of this one's name, and two would accuse each other's friends.
                self.membership.take().into_iter().for_each(Membership::close);
                self.part(now);
            }
            PeerEvent::Message(Message::Host { id, out }) => {
                let way = if out { "out by hand" } else { "back in" };
                self.log.line(now, format_args!("host {id} is {way}, the other process was told"));
                self.bar_by_hand(now, &id.as_str().into(), out)
            }
            PeerEvent::Message(Message::Standby { on }) => self.stand_by(now, on),
            PeerEvent::Message(Message::Admission(call)) => drop(self.set_prefix(now, &call)),
            PeerEvent::Message(Message::Learned { addresses }) => self.admission.inherit(now, addresses),
            PeerEvent::Message(Message::Tally { clients, tallies }) => {
                self.peer_clients = clients;
                self.resize();
                let legacy =
                    HandoverState { tallies: upgrade::from_rows(&tallies), ..HandoverState::default() };
                self.run_engine(|engine, out| engine.inherit(now, legacy, out));
            }
            PeerEvent::Message(Message::HalfClosed { seq, since }) => {
                self.client_of_holder_half_closed(now, seq, since)
            }
            PeerEvent::Message(
                Message::Hello { .. } | Message::State(_) | Message::Busy { .. } | Message::Other,
            ) => {}
            PeerEvent::Frame(word) => self.hear_word(now, *word),
            PeerEvent::Disconnected(why) => {
                if !self.rollout_peer_left(now, &why) {
                    self.log.line(now, "the other process is gone");
                }
                self.peer_clients = 0;
                self.resize();
                if std::mem::take(&mut self.succeeded) {
                    // The new one has failed: this one serves on.
                    self.client_listener.iter_mut().for_each(Listener::reopen);
                    self.part(now);
                    self.attend_members();
                    // What was promised under this name since then was another life's.
                    self.agreed = None;
                    self.attend_accord(now);
                    self.announce(now);
                }
            }
        }
    }

    /// Tells the successor what this process holds, and what counts for the ration of both.
    pub(super) fn tell_tally(&mut self, now: Micros) {
        let tallies = upgrade::to_rows(self.engine.tallies(self.tallied));
        self.tallied = now;
        self.upgrade.send(&Message::Tally { clients: self.clients(), tallies });
    }

    pub(super) fn state(&mut self) -> ProcessState {
        self.tallied = self.clock.now();
        let mut state = ProcessState {
            out: self.by_hand.iter().map(|h| h.0.to_string()).collect(),
            standby: self.standby,
            admission: self.admission.state(self.tallied),
            clock: Some(self.clock.base()),
            bus: match &self.side {
                Side::Platform(_, bus) => Some(bus.place()),
                Side::Operator { .. } => None,
            },
            ..ProcessState::default()
        };
        state.set_engine_state(self.engine.handover_state());
        state
    }

    /// Takes clients: at once, or where another process runs when the host list is as new as can be told.
    pub(super) fn take_clients(&mut self) -> Result<(), String> {
        let now = self.clock.now();
        let Some(listener) = self.bound_socket.take() else { return Ok(()) };
        let listener = Listener::open(&self.handle, listener, Wake::Clients);
        self.client_listener =
            Some(listener.map_err(|e| format!("cannot listen on {}: {e}", self.config.listen))?);
        self.upgrade.send(&Message::Ready);
        self.log.line(now, "taking clients");
        self.attend_members();
        self.attend_accord(now);
        self.announce(now);
        Ok(())
    }

    /// Is found by a new process from now on. Without that, an upgrade is a restart.
    pub(super) fn announce(&mut self, now: Micros) {
        let address = self.client_listener.as_ref().and_then(Listener::address).unwrap_or(self.config.listen);
        if let Err(e) = self.upgrade.listen(address) {
            self.log.line(now, format_args!("new processes will not find this one: {e}"));
        }
    }

    /// Begins to listen, for clients and for operators.
    pub fn open_listeners(&mut self) -> Result<(), String> {
        let failed = |address| move |e| format!("cannot listen on {address}: {e}");
        let (clients, control) = (self.config.listen, self.config.control);
        if let Some(address) = control {
            let listener = listener::listen(address).map_err(failed(address))?;
            let listener = Listener::open(&self.handle, listener, Wake::Callers).map_err(failed(address))?;
            self.control_listener = Some(listener);
        }
        // With port 0 in the configuration this is how the ports become known.
        if let Some(address) = self.control_listener.as_ref().and_then(Listener::address) {
            eprintln!("control on {address}");
        }
        let address = self.bound_socket.as_ref().and_then(|l| l.local_addr().ok()).unwrap_or(clients);
        eprintln!("listening on {address}");
        self.attend_peers();
        if !self.upgrade.has_peer() {
            self.take_clients()?;
        }
        Ok(())
    }

    /// Connections of clients wait to be accepted.
    pub(super) fn accept(&mut self) {
        if self.admission.is_on() {
            self.accept_through_gate();
            return self.settle();
        }
        for _ in 0..ACCEPT_AT_ONCE {
            let now = self.clock.now();
            self.resize();
            // It may have been shut since it was found ready.
            let Some(listener) = self.client_listener.as_mut().filter(|listener| !listener.is_shut()) else {
                break;
            };
            let room = match &mut self.side {
                Side::Platform(front, _) => front.has_room(now, &mut self.log),
                Side::Operator { front, .. } => front.has_room(now, &mut self.log),
            };
            if !room {
                listener.shut(now + NO_ROOM);
                break;
            }
            match listener.next() {
                Ok(None) => break,
                Ok(Some((stream, peer))) => self.receive(now, stream, peer),
                Err(e) => {
                    // The listener stays ready, and trying again at once would keep the loop busy for nothing.
                    listener.shut(now + NO_DESCRIPTOR);
                    self.log.line(now, format_args!("no connection can be accepted: {e}"));
                    break;
                }
            }
        }
        self.settle();
    }

    /// Clients are asked to open nothing new, or no longer so.
    pub(super) fn part(&mut self, now: Micros) {
        let ready = !self.standby && self.stopping.is_none();
        let parts = !ready || self.succeeded;
        match &mut self.side {
            Side::Platform(front, _) => {
                front.ready = ready;
                front.part(now, parts, &mut self.log)
            }
            Side::Operator { front, .. } => front.part(now, parts),
        }
    }

    /// SIGTERM: ask clients to open nothing new, answer what still comes, end when nothing is open.
    pub(super) fn stop(&mut self) {
        if self.stopping.is_none() {
            let now = self.clock.now();
            self.log.line(now, format_args!("told to stop with {} requests open", self.engine.open()));
            self.stopping = Some(now);
            self.end_rollout(now);
            self.leave_members(now);
            self.part(now);
            self.settle();
        }
    }

    /// SIGHUP: the file has been replaced. It is checked as a whole, and then taken up but for the addresses
    /// where this process listens; requests, hosts and connections live on. A file that makes no sense is told
    /// of, and all stays as it is.
    pub fn reload(&mut self, config: Result<Config, String>) {
        let now = self.clock.now();
        let taken = config.and_then(|config| {
            self.config.check_replacement(&config)?;
            self.may_be_followed(&config)?;
            self.take_up(now, config)
        });
        match taken {
            Ok(what) => self.log.line(now, format_args!("configuration read again: {what}")),
            Err(problem) => self.log.line(now, format_args!("the old configuration is kept: {problem}")),
        }
        self.settle();
    }

    /// Takes a checked configuration up. What can fail comes first.
    pub(super) fn take_up(&mut self, now: Micros, config: Config) -> Result<String, String> {
        let d = &config.deployment;
        let idle = d.transport.conn_idle;
        let (source, moved) = match (&mut self.side, &config.mode) {
            (Side::Platform(front, bus), config::Mode::Platform { bus: address, .. }) => {
                front.conn_idle = idle;
                (format!("bus {address}"), (bus.address != *address).then_some(*address))
            }
            (
                Side::Operator { front, hosts, classes, .. },
                config::Mode::Operator { resolver, bounds, .. },
            ) => {
                let failed = |e| format!("no socket for queries to {resolver}: {e}");
                hosts.moved(*resolver).map_err(failed)?;
                front.retune(idle, *bounds, (d.classes.clone(), d.tenants.clone()));
                if let config::Mode::Operator { classes: new, .. } = &config.mode {
                    classes.clone_from(new);
                }
                (format!("resolver {resolver}"), None)
            }
            _ => return Err("it is of another kind".into()),
        };
        if let Some(address) = moved {
            self.end_bus(now, Reason::Moved);
            if let Side::Platform(_, bus) = &mut self.side {
                bus.moved(address);
            }
        }
        let what = format!("{source}, {} classes, {} attempts", d.classes.len(), d.settings.max_attempts);
        let transport = d.transport.clone();
        let patience = transport.order_timeout;
        self.hosts.retune(transport);
        if (config.listen, config.control) != (self.config.listen, self.config.control) {
            self.log.line(now, "addresses to listen on change with the next start only");
        }
        self.config = config;
        self.admission.retune(self.config.admission.as_ref());
        let asks = self.admission.is_on();
        if let Side::Operator { front, .. } = &mut self.side {
            front.asks = asks;
        }
        self.agreed_settings = None;
        let settings = self.binding();
        self.run_engine(|engine, out| engine.update_settings(now, settings, patience, out));
        self.attend_peers();
        if self.client_listener.is_some() && !self.succeeded {
            self.attend_members();
        }
        self.attend_turns(now);
        self.attend_accord(now);
        self.rebind(now);
        self.resize();
        Ok(what)
    }

    /// Whether it has been told to stop and owes nothing any more. To be asked once a turn of the loop.
    pub fn is_done(&mut self) -> bool {
        if self.gradual.is_dismissed() {
            return true;
        }
        let now = self.clock.now();
        let quiet = match &self.side {
            Side::Platform(front, _) => front.is_quiet(),
            Side::Operator { front, .. } => front.is_quiet(),
        };
        // A process that had no processor for a while has more to read than the loop takes at one go.
        let over = self.stopping.is_some_and(|since| now - since >= STILL_COMING);
        self.last_turns += u32::from(over);
        let looked = self.clients_silent || self.last_turns > LAST_TURNS;
        over && looked && self.pending.is_empty() && self.parked_turns() == 0 && quiet
    }

    pub fn shut_down(&mut self) {
        let now = self.clock.now();
        match &mut self.side {
            Side::Platform(front, _) => front.shut_down(now, &mut self.log),
            Side::Operator { front, hosts, .. } => {
                front.shut_down(now, &mut self.log);
                hosts.close(now, &mut self.log);
            }
        }
        self.upgrade.shut_down();
        self.control.shut_down(now, &mut self.log);
        self.hosts.shut_down(now, &mut self.log);
        self.end_bus(now, Reason::Shutdown);
    }
}
