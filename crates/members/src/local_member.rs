//! One member: the protocol, its timers, and what this one makes of both.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use foca::{Foca, NoCustomBroadcast, Notification, PostcardCodec, Runtime, Timer};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::self_suspicion::SelfSuspicion;
use crate::timer_queue::TimerQueue;
use crate::view::{Member, MemberState, View};
use crate::{datagram, MemberId, MemberInstance, Settings, SettingsError};

/// Periods between two looks for members that are on the roster and not there.
const SEEK: f64 = 3.0;
/// ... and how many are asked at one look, in turn.
const ASKED: usize = 3;
/// In doubt, what accuses is looked at again after this part of a period.
const AGAIN: f64 = 0.5;

/// What is to be done or known outside.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send this datagram. It may be lost.
    Send {
        /// To whom.
        to: MemberId,
        /// At most as many bytes as the settings say.
        data: Vec<u8>,
    },
    /// A member has come, gone or left, as this one holds it from now on.
    StateChanged {
        /// Who.
        id: MemberId,
        /// How it stands now.
        state: MemberState,
    },
    /// Others held this one for gone; it has come back as a later life of itself.
    Rejoined,
}

/// What waits for its time.
#[derive(Debug)]
enum Due {
    Protocol(Timer<MemberInstance>),
    Seek,
}

/// What happened to one name, beside what the protocol keeps.
#[derive(Clone, Copy, Debug, Default)]
struct Seen {
    since: Option<Duration>,
    heard: Option<Duration>,
    /// As it was last told to the outside.
    there: bool,
}

type Protocol = Foca<MemberInstance, PostcardCodec, StdRng, NoCustomBroadcast>;

/// See the module's page. Feed it datagrams and wake it in time.
pub struct LocalMember {
    settings: Settings,
    protocol: Protocol,
    rng: StdRng,
    timers: TimerQueue<Due>,
    doubt: SelfSuspicion,
    roster: BTreeSet<MemberId>,
    seen: BTreeMap<MemberId, Seen>,
    /// Whom to seek next.
    next: MemberId,
    /// When some were asked last.
    asked: Duration,
    /// Somebody has answered since it began, or began anew: before that it cannot tell who is there.
    joined: bool,
    left: bool,
}

/// Takes what the protocol wants and leaves it to be carried out when its call is over.
struct Taken<'a> {
    now: Duration,
    stretch: u32,
    timers: &'a mut TimerQueue<Due>,
    sends: Vec<(MemberId, Vec<u8>)>,
    news: Vec<News>,
}

enum News {
    Up(MemberId),
    Down(MemberInstance),
    Rejoined,
}

impl<'a> Taken<'a> {
    fn new(now: Duration, stretch: u32, timers: &'a mut TimerQueue<Due>) -> Self {
        Self { now, stretch, timers, sends: Vec::new(), news: Vec::new() }
    }
}

impl Runtime<MemberInstance> for Taken<'_> {
    fn notify(&mut self, notification: Notification<'_, MemberInstance>) {
        match notification {
            Notification::MemberUp(life) => self.news.push(News::Up(life.id)),
            Notification::MemberDown(life) => self.news.push(News::Down(*life)),
            Notification::Rejoin(_) => self.news.push(News::Rejoined),
            _ => {}
        }
    }

    fn send_to(&mut self, to: MemberInstance, data: &[u8]) {
        self.sends.push((to.id, data.to_vec()));
    }

    fn submit_after(&mut self, event: Timer<MemberInstance>, after: Duration) {
        // Who is late itself gives the others more time; what it only tells is not put off.
        let judges = matches!(
            event,
            Timer::ProbeRandomMember(_) | Timer::SendIndirectProbe { .. } | Timer::ChangeSuspectToDown { .. }
        );
        let after = if judges { after * self.stretch } else { after };
        self.timers.put(self.now + after, Due::Protocol(event));
    }
}

impl LocalMember {
    /// A member that knows its own life and the names of the others, this one's own among them or not. It asks some of
    /// them to let it in; any one that lives is enough. The same seed and inputs always give the same outputs.
    pub fn new(
        settings: Settings,
        life: MemberInstance,
        roster: impl IntoIterator<Item = MemberId>,
        seed: u64,
        now: Duration,
    ) -> Result<Self, SettingsError> {
        settings.check()?;
        let mut rng = StdRng::seed_from_u64(seed);
        let protocol = begin(&settings, life, &mut rng);
        let mut timers = TimerQueue::default();
        timers.put(now, Due::Seek);
        let mut members = Self {
            settings,
            protocol,
            rng,
            timers,
            doubt: SelfSuspicion::new(now),
            roster: BTreeSet::new(),
            seen: BTreeMap::new(),
            next: life.id,
            asked: now,
            joined: false,
            left: false,
        };
        members.set_roster(roster);
        Ok(members)
    }

    /// This one's life as it is now.
    pub fn instance(&self) -> MemberInstance {
        *self.protocol.identity()
    }

    /// Names the members anew. Who is on it no more is forgotten, and its datagrams are dropped; nobody is told of that.
    pub fn set_roster(&mut self, roster: impl IntoIterator<Item = MemberId>) {
        let own = self.instance().id;
        self.roster = roster.into_iter().filter(|name| *name != own).collect();
        let roster = &self.roster;
        self.seen.retain(|name, _| roster.contains(name));
        let held = self.protocol.iter_membership_state().map(|m| *m.id());
        let gone: Vec<MemberInstance> = held.filter(|life| !roster.contains(&life.id)).collect();
        for life in gone {
            // To the library it must be down before it may go. No datagram comes of it, and no news for the outside.
            let mut none = Taken::new(Duration::ZERO, 1, &mut self.timers);
            let down = std::iter::once(foca::Member::down(life));
            let _ = self.protocol.apply_many(down, false, &mut none);
            let _ = self.protocol.handle_timer(Timer::RemoveDown(life), &mut none);
        }
    }

    /// When to call [`LocalMember::handle_timers`] at the latest.
    pub fn next_timer_at(&self) -> Option<Duration> {
        self.timers.next()
    }

    /// A datagram has come from where this member sends. One that cannot be read, that names another sender, or that is
    /// of nobody on the roster, is dropped.
    pub fn handle_datagram(&mut self, now: Duration, from: MemberId, data: &[u8], out: &mut Vec<Output>) {
        self.notice_pause(now);
        if self.left || data.len() > self.settings.max_datagram_bytes || !self.roster.contains(&from) {
            return;
        }
        let own = self.instance().id;
        let Some(words) = datagram::read(data, |name| name == own || self.roster.contains(&name)) else {
            return;
        };
        if words.from != from {
            return;
        }
        self.seen.entry(from).or_default().heard = Some(now);
        // What the protocol turns down was forged or came to another life: it says nothing.
        let read = self.run(now, out, |protocol, taken| protocol.handle_data(&words.data, taken));
        if read.is_ok() && words.answers && self.doubt.answered(now, self.settings.probe_period) {
            self.join(now, out);
        }
    }

    /// The time has come for something. Read what has arrived first: after a pause that is what speaks for others.
    pub fn handle_timers(&mut self, now: Duration, out: &mut Vec<Output>) {
        self.notice_pause(now);
        let period = self.settings.probe_period;
        while let Some((due, what)) = self.timers.pop(now) {
            if self.left {
                continue;
            }
            let Due::Protocol(timer) = what else {
                let unsure = self.protocol.num_members() > 0 && self.doubt.is_alone(now, period);
                if self.settings.self_suspicion && unsure {
                    self.begin_anew(now, out);
                }
                self.ask(now, false, out);
                self.timers.put(now + period.mul_f64(SEEK), Due::Seek);
                continue;
            };
            if self.is_refuted(&timer) {
                continue;
            }
            let accuses = matches!(timer, Timer::ProbeRandomMember(_) | Timer::ChangeSuspectToDown { .. });
            if accuses && self.settings.self_suspicion && !self.doubt.accuses(now, period) {
                let again = period.mul_f64(AGAIN);
                if now >= self.asked + again {
                    // Probes are held back: a question of another kind shows whether anybody answers.
                    self.ask(now, true, out);
                }
                self.timers.put(now + again, Due::Protocol(timer));
                continue;
            }
            if matches!(timer, Timer::ProbeRandomMember(_)) && self.settings.self_suspicion {
                self.doubt.probed(now, due, period);
            }
            // The only error is of a timer whose time has passed with the life that set it.
            let _ = self.run(now, out, |protocol, taken| protocol.handle_timer(timer, taken));
        }
    }

    /// Takes its leave of all, and says nothing more from now on.
    pub fn leave(&mut self, now: Duration, out: &mut Vec<Output>) {
        if std::mem::replace(&mut self.left, true) {
            return;
        }
        let last = self.instance().into_leaving();
        // A life of its own that only ever leaves: what the others see last of it is no death.
        let _ = self.run(now, out, |protocol, taken| {
            protocol.change_identity(last, &mut *taken)?;
            protocol.leave_cluster(taken)
        });
        out.retain(|o| matches!(o, Output::Send { .. }));
    }

    /// What this one holds of the others.
    pub fn view(&self) -> View {
        let unmet = |name: &MemberId| {
            let Seen { heard, .. } = self.seen.get(name).copied().unwrap_or_default();
            let (state, start_ms, incarnation) = (MemberState::Unknown, 0, 0);
            (*name, Member { id: *name, state, start_ms, incarnation, state_since: None, last_heard: heard })
        };
        let mut members: BTreeMap<MemberId, Member> = self.roster.iter().map(unmet).collect();
        if !self.joined {
            // What comes in may be true, but nobody is known to hear this one.
            for (name, seen) in self.seen.iter().filter(|(_, seen)| seen.since.is_some()) {
                if let Some(member) = members.get_mut(name) {
                    (member.state, member.state_since) = (MemberState::Dead, seen.since);
                }
            }
            return View::new(members.into_values().collect(), self.doubt.pauses(), self.doubt.stretch());
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
            member.state_since = self.seen.get(&m.id().id).and_then(|s| s.since);
        }
        View::new(members.into_values().collect(), self.doubt.pauses(), self.doubt.stretch())
    }

    /// Entries of all tables: bounded by the roster and by what is under way.
    pub fn entry_count(&self) -> usize {
        self.timers.len() + self.seen.len() + self.roster.len() + self.protocol.iter_membership_state().len()
    }

    /// Whether this would be the verdict on one that has spoken for itself, or is known to be gone. The library leaves it
    /// in its own table as it is, but tells it all the same that it is dead: it would begin another life for nothing,
    /// time and again where many datagrams are lost.
    fn is_refuted(&self, timer: &Timer<MemberInstance>) -> bool {
        let Timer::ChangeSuspectToDown { member_id, incarnation, .. } = timer else { return false };
        let held = self.protocol.iter_membership_state().find(|m| m.id() == member_id);
        held.is_none_or(|m| m.state() != foca::State::Suspect || m.incarnation() != *incarnation)
    }

    /// Overdue timers after a pause of our own say nothing of the others: they wait as long as we were away.
    fn notice_pause(&mut self, now: Duration) {
        let Some(due) = self.timers.next().filter(|due| *due <= now && self.settings.self_suspicion) else {
            return;
        };
        if let Some(away) = self.doubt.late(now, due, self.settings.probe_period) {
            self.timers.delay(away);
        }
    }

    /// Asks some to answer, in turn: those that are not there, which is how one gets in and how halves that were cut
    /// from each other find together again; in doubt of oneself, all.
    fn ask(&mut self, now: Duration, all: bool, out: &mut Vec<Output>) {
        self.asked = now;
        let there: BTreeSet<MemberId> = self.protocol.iter_members().map(|m| m.id().id).collect();
        let left = self.protocol.iter_membership_state().filter(|m| m.id().leaving).map(|m| m.id().id);
        let left: BTreeSet<MemberId> = left.collect();
        let from = self.roster.range(self.next..).chain(self.roster.range(..self.next));
        let wanted = from.filter(|name| (all || !there.contains(name)) && !left.contains(name));
        let asked: Vec<MemberId> = wanted.take(ASKED).copied().collect();
        self.next = asked.last().map_or(self.next, |name| MemberId(name.0.wrapping_add(1)));
        for name in asked {
            let _ = self.run(now, out, |protocol, taken| {
                protocol.announce(MemberInstance::unknown_instance(name), taken)
            });
        }
    }

    /// Somebody has answered: who is there may be told.
    fn join(&mut self, now: Duration, out: &mut Vec<Output>) {
        if !std::mem::replace(&mut self.joined, true) {
            let there: Vec<MemberId> = self.protocol.iter_members().map(|m| m.id().id).collect();
            there.into_iter().for_each(|name| self.report_state(now, name, MemberState::Alive, out));
        }
    }

    /// Nobody answers, so nothing is known of the others. Verdicts on them would be believed where one is heard and
    /// does not hear, and would stand in the way when the cut ends: the table is dropped instead. The life goes on: a new
    /// one would be welcomed by all who hear it and given up by them again, time after time.
    fn begin_anew(&mut self, now: Duration, out: &mut Vec<Output>) {
        let there: Vec<MemberId> = self.seen.iter().filter(|(_, s)| s.there).map(|(name, _)| *name).collect();
        there.into_iter().for_each(|name| self.report_state(now, name, MemberState::Dead, out));
        self.protocol = begin(&self.settings, self.instance(), &mut self.rng);
        self.timers = TimerQueue::default();
        self.joined = false;
        self.doubt.begin(now);
    }

    /// Says how one stands from now on, if that is news.
    fn report_state(&mut self, now: Duration, id: MemberId, state: MemberState, out: &mut Vec<Output>) {
        // Gossip may name one that has just been taken off the roster.
        if !self.roster.contains(&id) {
            return;
        }
        let seen = self.seen.entry(id).or_default();
        if seen.there != state.is_present() {
            (seen.there, seen.since) = (state.is_present(), Some(now));
            out.push(Output::StateChanged { id, state });
        }
    }

    fn run(
        &mut self,
        now: Duration,
        out: &mut Vec<Output>,
        what: impl FnOnce(&mut Protocol, &mut Taken<'_>) -> Result<(), foca::Error>,
    ) -> Result<(), foca::Error> {
        let stretch = self.doubt.stretch();
        let mut taken = Taken::new(now, stretch, &mut self.timers);
        let done = what(&mut self.protocol, &mut taken);
        let (sends, news) = (taken.sends, taken.news);
        let known = sends.into_iter().filter(|(to, _)| self.roster.contains(to));
        out.extend(known.map(|(to, data)| Output::Send { to, data }));
        for piece in news {
            let (name, state) = match piece {
                News::Up(name) => (name, MemberState::Alive),
                News::Down(life) => {
                    (life.id, if life.leaving { MemberState::Left } else { MemberState::Dead })
                }
                News::Rejoined => {
                    out.push(Output::Rejoined);
                    continue;
                }
            };
            if self.joined {
                self.report_state(now, name, state, out);
            }
        }
        done
    }
}

/// The protocol with nobody met yet.
fn begin(settings: &Settings, life: MemberInstance, rng: &mut StdRng) -> Protocol {
    Foca::new(life, settings.protocol(), StdRng::seed_from_u64(rng.random()), PostcardCodec)
}
