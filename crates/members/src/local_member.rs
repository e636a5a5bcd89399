//! The local member: `foca`, its timers, and the decisions that `foca` leaves to its embedder.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use foca::{Foca, NoCustomBroadcast, Notification, PostcardCodec, Runtime, Timer};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::local_health::LocalHealth;
use crate::timer_queue::TimerQueue;
use crate::view::{Member, MemberState, View};
use crate::{datagram, MemberId, MemberInstance, Settings, SettingsError};

/// Probe periods between two announcements to members of the roster that are absent.
const ANNOUNCE_INTERVAL_PERIODS: f64 = 3.0;
/// Members addressed by one announcement, in round-robin order.
const MAX_ANNOUNCE_TARGETS: usize = 3;
/// Part of a probe period after which a timer is tried again that was postponed by self-suspicion.
const POSTPONE_PERIODS: f64 = 0.5;

/// What the embedder has to carry out or to report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send this datagram. It may be lost.
    Send {
        /// The receiver.
        to: MemberId,
        /// At most [`Settings::max_datagram_bytes`] long.
        data: Vec<u8>,
    },
    /// A member became present or absent, as the local member sees it.
    StateChanged {
        /// The member.
        id: MemberId,
        /// Its new state.
        state: MemberState,
    },
    /// Others declared the local member dead; it has rejoined with a renewed instance.
    Rejoined,
}

/// Timers of the local member.
#[derive(Debug)]
enum LocalTimer {
    Protocol(Timer<MemberInstance>),
    Announce,
}

/// What is known about a member in addition to the state that `foca` keeps.
#[derive(Clone, Copy, Debug, Default)]
struct MemberRecord {
    state_since: Option<Duration>,
    last_heard: Option<Duration>,
    /// Whether the member was last reported to the embedder as present.
    reported_present: bool,
}

type Protocol = Foca<MemberInstance, PostcardCodec, StdRng, NoCustomBroadcast>;

/// The local member of the fleet. The embedder passes it the datagrams that arrive and calls it when timers are due.
pub struct LocalMember {
    settings: Settings,
    protocol: Protocol,
    rng: StdRng,
    timers: TimerQueue<LocalTimer>,
    health: LocalHealth,
    roster: BTreeSet<MemberId>,
    records: BTreeMap<MemberId, MemberRecord>,
    /// Where the next announcement starts in the roster.
    next_announce_target: MemberId,
    last_announce: Duration,
    /// A member has answered since the start or the last reset. Before that, no member is reported as present.
    joined: bool,
    left: bool,
}

/// Collects the effects of one call of the protocol, to be carried out after the call.
struct EffectCollector<'a> {
    now: Duration,
    timeout_multiplier: u32,
    timers: &'a mut TimerQueue<LocalTimer>,
    datagrams: Vec<(MemberId, Vec<u8>)>,
    events: Vec<MembershipEvent>,
}

enum MembershipEvent {
    Up(MemberId),
    Down(MemberInstance),
    Rejoined,
}

impl<'a> EffectCollector<'a> {
    fn new(now: Duration, timeout_multiplier: u32, timers: &'a mut TimerQueue<LocalTimer>) -> Self {
        Self { now, timeout_multiplier, timers, datagrams: Vec::new(), events: Vec::new() }
    }
}

impl Runtime<MemberInstance> for EffectCollector<'_> {
    fn notify(&mut self, notification: Notification<'_, MemberInstance>) {
        match notification {
            Notification::MemberUp(instance) => self.events.push(MembershipEvent::Up(instance.id)),
            Notification::MemberDown(instance) => self.events.push(MembershipEvent::Down(*instance)),
            Notification::Rejoin(_) => self.events.push(MembershipEvent::Rejoined),
            _ => {}
        }
    }

    fn send_to(&mut self, to: MemberInstance, data: &[u8]) {
        self.datagrams.push((to.id, data.to_vec()));
    }

    fn submit_after(&mut self, event: Timer<MemberInstance>, after: Duration) {
        // A member that is late itself gives others more time to answer. Announcements and gossip are not delayed.
        let judges_others = matches!(
            event,
            Timer::ProbeRandomMember(_) | Timer::SendIndirectProbe { .. } | Timer::ChangeSuspectToDown { .. }
        );
        let after = if judges_others { after * self.timeout_multiplier } else { after };
        self.timers.insert(self.now + after, LocalTimer::Protocol(event));
    }
}

impl LocalMember {
    /// Starts the local member with the ids of the other members; the roster may contain its own id. It announces
    /// itself to several members at a time, and any live one of them is enough to join. The same seed and inputs
    /// always give the same outputs.
    pub fn new(
        settings: Settings,
        instance: MemberInstance,
        roster: impl IntoIterator<Item = MemberId>,
        seed: u64,
        now: Duration,
    ) -> Result<Self, SettingsError> {
        settings.check()?;
        let mut rng = StdRng::seed_from_u64(seed);
        let protocol = new_protocol(&settings, instance, &mut rng);
        let mut timers = TimerQueue::default();
        timers.insert(now, LocalTimer::Announce);
        let mut member = Self {
            settings,
            protocol,
            rng,
            timers,
            health: LocalHealth::new(now),
            roster: BTreeSet::new(),
            records: BTreeMap::new(),
            next_announce_target: instance.id,
            last_announce: now,
            joined: false,
            left: false,
        };
        member.set_roster(roster);
        Ok(member)
    }

    /// The current instance of the local member.
    pub fn instance(&self) -> MemberInstance {
        *self.protocol.identity()
    }

    /// Replaces the roster. Members that are no longer on it are forgotten without an [`Output::StateChanged`], and
    /// their datagrams are dropped.
    pub fn set_roster(&mut self, roster: impl IntoIterator<Item = MemberId>) {
        let own = self.instance().id;
        self.roster = roster.into_iter().filter(|id| *id != own).collect();
        let roster = &self.roster;
        self.records.retain(|id, _| roster.contains(id));
        let known = self.protocol.iter_membership_state().map(|m| *m.id());
        let removed: Vec<MemberInstance> = known.filter(|instance| !roster.contains(&instance.id)).collect();
        for instance in removed {
            // `foca` removes only members that are down. Nothing is sent or reported for this change of state.
            let mut discarded = EffectCollector::new(Duration::ZERO, 1, &mut self.timers);
            let down = std::iter::once(foca::Member::down(instance));
            let _ = self.protocol.apply_many(down, false, &mut discarded);
            let _ = self.protocol.handle_timer(Timer::RemoveDown(instance), &mut discarded);
        }
    }

    /// The latest time for the next call of [`LocalMember::handle_timers`].
    pub fn next_timer_at(&self) -> Option<Duration> {
        self.timers.next_due()
    }

    /// Handles a datagram that came from the address of member `from`. A datagram is dropped if it is malformed, names
    /// another sender, or comes from a member that is not on the roster.
    pub fn receive(&mut self, now: Duration, from: MemberId, data: &[u8], out: &mut Vec<Output>) {
        self.detect_pause(now);
        if self.left || data.len() > self.settings.max_datagram_bytes || !self.roster.contains(&from) {
            return;
        }
        let own = self.instance().id;
        let Some(datagram) = datagram::parse(data, |id| id == own || self.roster.contains(&id)) else {
            return;
        };
        if datagram.from != from {
            return;
        }
        self.records.entry(from).or_default().last_heard = Some(now);
        // A datagram that the protocol rejects was forged or addressed to another instance: it is no valid answer.
        let result = self.run(now, out, |protocol, effects| protocol.handle_data(&datagram.data, effects));
        if result.is_ok() && datagram.is_answer && self.health.record_answer(now, self.settings.probe_period)
        {
            self.mark_joined(now, out);
        }
    }

    /// Handles the timers that are due. Call it after the datagrams that have already arrived were handled: after a
    /// pause they show that the others are alive.
    pub fn handle_timers(&mut self, now: Duration, out: &mut Vec<Output>) {
        self.detect_pause(now);
        let period = self.settings.probe_period;
        while let Some((due, timer)) = self.timers.pop_due(now) {
            if self.left {
                continue;
            }
            let LocalTimer::Protocol(timer) = timer else {
                let isolated = self.protocol.num_members() > 0 && self.health.is_isolated(now, period);
                if self.settings.self_suspicion && isolated {
                    self.reset(now, out);
                }
                self.announce(now, false, out);
                self.timers.insert(now + period.mul_f64(ANNOUNCE_INTERVAL_PERIODS), LocalTimer::Announce);
                continue;
            };
            if self.is_refuted(&timer) {
                continue;
            }
            let suspects = matches!(timer, Timer::ProbeRandomMember(_) | Timer::ChangeSuspectToDown { .. });
            if suspects && self.settings.self_suspicion && !self.health.may_suspect_others(now, period) {
                let delay = period.mul_f64(POSTPONE_PERIODS);
                if now >= self.last_announce + delay {
                    // Probes are postponed, so announcements have to show whether any member answers.
                    self.announce(now, true, out);
                }
                self.timers.insert(now + delay, LocalTimer::Protocol(timer));
                continue;
            }
            if matches!(timer, Timer::ProbeRandomMember(_)) && self.settings.self_suspicion {
                self.health.record_probe(now, due, period);
            }
            // The only error is that the timer belongs to an earlier instance of the local member.
            let _ = self.run(now, out, |protocol, effects| protocol.handle_timer(timer, effects));
        }
    }

    /// Sends leave messages. Afterwards the local member sends nothing more.
    pub fn leave(&mut self, now: Duration, out: &mut Vec<Output>) {
        if std::mem::replace(&mut self.left, true) {
            return;
        }
        let leaving = self.instance().into_leaving();
        // The leave message carries a later instance that is marked as leaving, so that others record no death.
        let _ = self.run(now, out, |protocol, effects| {
            protocol.change_identity(leaving, &mut *effects)?;
            protocol.leave_cluster(effects)
        });
        out.retain(|o| matches!(o, Output::Send { .. }));
    }

    /// The states of the other members, as the local member sees them.
    pub fn view(&self) -> View {
        let unknown = |id: &MemberId| {
            let MemberRecord { last_heard, .. } = self.records.get(id).copied().unwrap_or_default();
            let (state, start_ms, incarnation) = (MemberState::Unknown, 0, 0);
            (*id, Member { id: *id, state, start_ms, incarnation, state_since: None, last_heard })
        };
        let mut members: BTreeMap<MemberId, Member> = self.roster.iter().map(unknown).collect();
        let (pauses, multiplier) = (self.health.pause_count(), self.health.timeout_multiplier());
        if !self.joined {
            // Updates that arrive may be true, but no member is known to receive datagrams of the local member.
            for (id, record) in self.records.iter().filter(|(_, record)| record.state_since.is_some()) {
                if let Some(member) = members.get_mut(id) {
                    (member.state, member.state_since) = (MemberState::Dead, record.state_since);
                }
            }
            return View::new(members.into_values().collect(), pauses, multiplier);
        }
        for m in self.protocol.iter_membership_state() {
            let Some(member) = members.get_mut(&m.id().id) else { continue };
            member.state = match (m.state(), m.id().leaving) {
                (foca::State::Down, true) => MemberState::Left,
                (foca::State::Down, false) => MemberState::Dead,
                (foca::State::Suspect, _) => MemberState::Suspect,
                (foca::State::Alive, _) => MemberState::Alive,
            };
            (member.start_ms, member.incarnation) = (m.id().start_ms, m.incarnation());
            member.state_since = self.records.get(&m.id().id).and_then(|record| record.state_since);
        }
        View::new(members.into_values().collect(), pauses, multiplier)
    }

    /// Number of entries in all tables: bounded by the roster and the pending timers.
    pub fn entry_count(&self) -> usize {
        let protocol = self.protocol.iter_membership_state().len();
        self.timers.len() + self.records.len() + self.roster.len() + protocol
    }

    /// Whether the timer would declare dead a member that has refuted the suspicion or is already down. `foca` keeps
    /// the state of such a member, but still tells the member that it is dead. The member would then renew its
    /// instance for no reason, and repeatedly where many datagrams are lost.
    fn is_refuted(&self, timer: &Timer<MemberInstance>) -> bool {
        let Timer::ChangeSuspectToDown { member_id, incarnation, .. } = timer else { return false };
        let member = self.protocol.iter_membership_state().find(|m| m.id() == member_id);
        member.is_none_or(|m| m.state() != foca::State::Suspect || m.incarnation() != *incarnation)
    }

    /// Postpones all timers by the length of a pause of this process: timers that became overdue in it say nothing
    /// about the others.
    fn detect_pause(&mut self, now: Duration) {
        let overdue = self.timers.next_due().filter(|due| *due <= now && self.settings.self_suspicion);
        let Some(due) = overdue else { return };
        if let Some(pause) = self.health.detect_pause(now, due, self.settings.probe_period) {
            self.timers.postpone(pause);
        }
    }

    /// Announces the local member to several others in round-robin order and asks for an answer: to absent members,
    /// which is how it joins and how the sides of a partition merge afterwards; with `to_all`, to present members
    /// too. Members that left are not addressed.
    fn announce(&mut self, now: Duration, to_all: bool, out: &mut Vec<Output>) {
        self.last_announce = now;
        let present: BTreeSet<MemberId> = self.protocol.iter_members().map(|m| m.id().id).collect();
        let left = self.protocol.iter_membership_state().filter(|m| m.id().leaving).map(|m| m.id().id);
        let left: BTreeSet<MemberId> = left.collect();
        let first = self.next_announce_target;
        let in_turn = self.roster.range(first..).chain(self.roster.range(..first));
        let candidates = in_turn.filter(|id| (to_all || !present.contains(id)) && !left.contains(id));
        let targets: Vec<MemberId> = candidates.take(MAX_ANNOUNCE_TARGETS).copied().collect();
        self.next_announce_target = targets.last().map_or(first, |id| MemberId(id.0.wrapping_add(1)));
        for id in targets {
            let target = MemberInstance::with_unknown_start(id);
            let _ = self.run(now, out, |protocol, effects| protocol.announce(target, effects));
        }
    }

    /// Records that a member has answered. From now on present members are reported.
    fn mark_joined(&mut self, now: Duration, out: &mut Vec<Output>) {
        if !std::mem::replace(&mut self.joined, true) {
            let present: Vec<MemberId> = self.protocol.iter_members().map(|m| m.id().id).collect();
            present.into_iter().for_each(|id| self.report_state(now, id, MemberState::Alive, out));
        }
    }

    /// Drops the membership table of an isolated member, because the states of the others are no longer known. If it
    /// declared the others dead instead, members that still receive its datagrams would believe it, and the
    /// tombstones would keep the members apart after the partition. The instance is kept: a new one would be admitted
    /// by all members that receive its datagrams and be declared dead again, repeatedly.
    fn reset(&mut self, now: Duration, out: &mut Vec<Output>) {
        let reported = self.records.iter().filter(|(_, record)| record.reported_present);
        let present: Vec<MemberId> = reported.map(|(id, _)| *id).collect();
        present.into_iter().for_each(|id| self.report_state(now, id, MemberState::Dead, out));
        self.protocol = new_protocol(&self.settings, self.instance(), &mut self.rng);
        self.timers = TimerQueue::default();
        self.joined = false;
        self.health.restart(now);
    }

    /// Reports that a member became present or absent, unless that was already reported.
    fn report_state(&mut self, now: Duration, id: MemberId, state: MemberState, out: &mut Vec<Output>) {
        // Gossip may name a member that was just removed from the roster.
        if !self.roster.contains(&id) {
            return;
        }
        let record = self.records.entry(id).or_default();
        if record.reported_present != state.is_present() {
            (record.reported_present, record.state_since) = (state.is_present(), Some(now));
            out.push(Output::StateChanged { id, state });
        }
    }

    /// Runs one call of the protocol and carries out its effects.
    fn run(
        &mut self,
        now: Duration,
        out: &mut Vec<Output>,
        call: impl FnOnce(&mut Protocol, &mut EffectCollector<'_>) -> Result<(), foca::Error>,
    ) -> Result<(), foca::Error> {
        let multiplier = self.health.timeout_multiplier();
        let mut effects = EffectCollector::new(now, multiplier, &mut self.timers);
        let result = call(&mut self.protocol, &mut effects);
        let (datagrams, events) = (effects.datagrams, effects.events);
        let to_roster = datagrams.into_iter().filter(|(to, _)| self.roster.contains(to));
        out.extend(to_roster.map(|(to, data)| Output::Send { to, data }));
        for event in events {
            let (id, state) = match event {
                MembershipEvent::Up(id) => (id, MemberState::Alive),
                MembershipEvent::Down(instance) => {
                    (instance.id, if instance.leaving { MemberState::Left } else { MemberState::Dead })
                }
                MembershipEvent::Rejoined => {
                    out.push(Output::Rejoined);
                    continue;
                }
            };
            if self.joined {
                self.report_state(now, id, state, out);
            }
        }
        result
    }
}

/// A protocol without any known members.
fn new_protocol(settings: &Settings, instance: MemberInstance, rng: &mut StdRng) -> Protocol {
    Foca::new(instance, settings.protocol(), StdRng::seed_from_u64(rng.random()), PostcardCodec)
}
