//! Where a turn should go: what each site holds of it, against load and time.

use std::collections::{BTreeMap, VecDeque};
use std::hash::Hasher;
use std::time::Duration;

use siphasher::sip::SipHasher13;

use crate::feedback::Open;
use crate::recompute::RecomputeQueue;
use crate::sites::{Sites, LOAD_MEMORY};
use crate::sketch::{Sketch, Talks};
use crate::table::{Entry, Table};
use crate::trust::Trust;
use crate::types::*;
use crate::wire::Placed;

/// Sites at which one conversation is known to lie: where it is now, and where it was.
pub(crate) const OF_ONE: usize = 2;
/// Sites at which a common prefix is known to lie.
pub(crate) const OF_MANY: usize = 16;
/// Part of the memory that common prefixes have: there are few, each with room for many sites.
const COMMON_PART: usize = 8;
/// A site that is busy for less than this share of its lanes' time is not bounded: its load is chance, and no harm.
const IDLE: f64 = 0.1;
/// The least load that is told from none, in blocks.
const SLACK: f64 = 1.0;
/// A site whose every lane is busy is not full yet: one turn behind each costs time, which is weighed as such.
const QUEUE: f64 = 2.0;
/// What a wholly busy site costs a turn over an idle one, in parts of the time that a turn takes.
const LEVELLING: f64 = 1.0;
/// Sites that cost as much as each other within this part of a block are told apart by the turn's hash alone, so
/// that activators that never spoke choose the same one.
const APART: f64 = 0.1;
/// ... and at the most by this many of such parts.
const MOST_APART: f64 = 8.0;
/// A turn late by so much at a site weighs this multiple of the time.
const LATE: f64 = 3.0;
/// The least bound of calls of the last 10 s over what a site is due: closer, and at full load so many prefixes are moved that
/// lanes have no time for it.
const CALLS: f64 = 1.24;
/// From this part of the way between what a site is due of calls and the bound on, turns lean away from it, and at the
/// bound by so many blocks.
const LEANS_FROM: f64 = 0.4;
const LEANS_BY: f64 = 8.0;
/// With fewer conversations a site than this, calls are not bounded: so few can't be split evenly, and moving one
/// costs its prefix.
const FEW: f64 = 4.0;

/// What one site is believed to hold of a turn.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Held {
    pub site: u16,
    /// Blocks, were they kept; and how likely they are.
    pub depth: u16,
    pub chance: f64,
    /// The age of the site when it was sent them.
    pub at: u32,
    pub common: bool,
}

impl Held {
    pub fn expected(&self) -> f64 {
        f64::from(self.depth) * self.chance
    }
}

/// What is known of a turn before it is placed.
#[derive(Debug, Default)]
pub(crate) struct Known {
    /// The best of each site, in no order.
    pub held: Vec<Held>,
    /// The entry of the conversation's own last turn, and what it came to.
    pub own: Option<u64>,
    pub lies: u8,
    /// Blocks common to many, and how often a new conversation asked for them lately.
    pub common: u16,
    pub uses: f64,
    pub copies: usize,
    /// Blocks that lay at a site that is gone, or lost them.
    pub displaced: u16,
}

/// Whether a site has room for a turn, the better ones first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Room {
    Some,
    /// It stands above its bound.
    None,
    /// It may not compute the turn anew.
    NoBudget,
}

/// Decides where turns go. See the page of the crate.
pub struct TurnRouter {
    pub(crate) settings: Settings,
    pub(crate) me: ActivatorId,
    pub(crate) life: u32,
    pub(crate) sites: Sites,
    pub(crate) tails: Table<OF_ONE>,
    pub(crate) commons: Table<OF_MANY>,
    pub(crate) sketch: Sketch,
    pub(crate) trust: Trust,
    pub(crate) open: BTreeMap<AttemptToken, Open>,
    pub(crate) order: VecDeque<(Duration, AttemptToken)>,
    /// Time that a turn takes at a site, in seconds, learnt from answers.
    pub(crate) usual: f64,
    pub(crate) members: Vec<ActivatorId>,
    pub(crate) next_member: usize,
    pub(crate) lately: VecDeque<(Placed, SiteId)>,
    pub(crate) number: u32,
    pub(crate) tell_at: Duration,
    pub(crate) recompute: RecomputeQueue,
    pub(crate) talks: Talks,
    #[cfg(test)]
    pub(crate) flaw: Option<crate::faults::Fault>,
    pub(crate) counts: Counts,
}

/// What has happened so far, for staff.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Counts {
    pub placed: u64,
    pub for_held: u64,
    pub for_common: u64,
    pub for_load: u64,
    pub for_recompute: u64,
    pub queued: u64,
    pub rejected: u64,
    pub expected: u64,
    pub found: u64,
    pub asked: u64,
    pub misses: u64,
    pub caches_found_empty: u64,
    pub bytes_sent: u64,
    pub received: u64,
    pub unreadable: u64,
}

/// A part of a conversation's number, by which its own entries are known.
pub(crate) fn mark(conversation: u64) -> u16 {
    ((conversation.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 48) as u16).max(1)
}

/// What stands for a conversation's empty prefix: none of two conversations is the same.
pub(crate) fn root(conversation: u64) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(0x7475_726e, 0x726f_6f74);
    hasher.write_u64(conversation);
    hasher.finish()
}

/// In 0 to 1, the same at every activator.
fn draw(key: u64, site: SiteId) -> f64 {
    let mut hasher = SipHasher13::new_with_keys(key, 0x7369_7465);
    hasher.write_u32(site.0);
    (hasher.finish() >> 11) as f64 / (1u64 << 53) as f64
}

impl TurnRouter {
    /// Knows nothing yet. `life` tells this process from one before it of the same name.
    pub fn new(
        settings: Settings,
        me: ActivatorId,
        life: u32,
        seed: u64,
        now: Duration,
    ) -> Result<Self, SettingsError> {
        settings.check()?;
        let common = settings.memory_bytes / COMMON_PART;
        Ok(Self {
            tails: Table::new(settings.memory_bytes - common),
            commons: Table::new(common),
            // Not all that begin together tell together.
            tell_at: now + settings.gossip_period.mul_f64(fastrand::Rng::with_seed(seed).f64()),
            settings,
            me,
            life,
            sites: Sites::default(),
            sketch: Sketch::new(),
            trust: Trust::new(),
            open: BTreeMap::new(),
            order: VecDeque::new(),
            usual: 0.0,
            members: Vec::new(),
            next_member: 0,
            lately: VecDeque::new(),
            number: 0,
            recompute: RecomputeQueue::default(),
            talks: Talks::new(now),
            #[cfg(test)]
            flaw: None,
            counts: Counts::default(),
        })
    }

    /// Takes other settings up. What was learnt stays, but for a table of another size.
    pub fn update_settings(&mut self, settings: Settings) -> Result<(), SettingsError> {
        settings.check()?;
        if settings.memory_bytes != self.settings.memory_bytes {
            let common = settings.memory_bytes / COMMON_PART;
            (self.tails, self.commons) = (Table::new(settings.memory_bytes - common), Table::new(common));
        }
        self.settings = settings;
        Ok(())
    }

    /// What is believed of a turn.
    pub(crate) fn know(&self, turn: &Turn) -> Known {
        let mut known = Known::default();
        let mark = mark(turn.conversation);
        let trust = self.believes(turn.tenant);
        let len = turn.prefix.len().min(MAX_PREFIX_HASHES) as u16;
        for depth in (0..=len).rev() {
            let key = match depth {
                0 => root(turn.conversation),
                depth => turn.prefix[depth as usize - 1],
            };
            if known.own.is_none() {
                if let Some(entry) = self.tails.get(key) {
                    let own = entry.conversation == mark;
                    if own {
                        (known.own, known.lies) = (Some(key), entry.lies);
                    }
                    let depth = if own { (entry.depth.min(depth) + entry.extra).min(len) } else { depth };
                    self.note(&mut known, entry, depth, trust);
                }
            }
            if depth > 0 {
                if let Some(entry) = self.commons.get(key) {
                    if known.common == 0 {
                        let past = self.sites.clock.wrapping_sub(entry.faded);
                        known.common = depth;
                        known.uses = f64::from(entry.uses) * self.fading(past);
                        known.copies = entry.held().filter(|h| self.stands(h.site, h.life)).count();
                    }
                    self.note(&mut known, entry, depth, trust);
                }
            }
        }
        if known.lies > 1 {
            let doubt = 0.5f64.powi(i32::from(known.lies) - 1);
            known.held.iter_mut().filter(|h| !h.common).for_each(|h| h.chance *= doubt);
        }
        known
    }

    /// How far the tenant's hashes are believed, 0 to 1.
    pub(crate) fn believes(&self, tenant: u32) -> f64 {
        #[cfg(test)]
        if self.flaw == Some(crate::faults::Fault::BelievesLiars) {
            return 1.0;
        }
        self.trust.of(tenant)
    }

    /// What is left of a count of uses after so many blocks of all sites: a site keeps a copy for its horizon.
    pub(crate) fn fading(&self, past: u32) -> f64 {
        let there = self.sites.all.iter().filter(|s| s.there);
        let horizon: f64 = there.map(|s| s.horizon().min(1e6)).sum();
        (-f64::from(past) / horizon.max(1.0)).exp()
    }

    fn stands(&self, site: u16, life: u16) -> bool {
        self.sites.all.get(site as usize).is_some_and(|s| s.there && s.life == life)
    }

    fn note<const N: usize>(&self, known: &mut Known, entry: &Entry<N>, depth: u16, trust: f64) {
        for h in entry.held() {
            if !self.stands(h.site, h.life) {
                if N == OF_ONE && known.own.is_some() {
                    known.displaced = known.displaced.max(depth);
                }
                continue;
            }
            let chance = self.sites.all[h.site as usize].keeps(h.at) * trust;
            let fresh = Held { site: h.site, depth, chance, at: h.at, common: N != OF_ONE };
            match known.held.iter_mut().find(|k| k.site == h.site) {
                Some(k) if k.expected() < fresh.expected() => *k = fresh,
                Some(_) => {}
                None => known.held.push(fresh),
            }
        }
    }

    /// What stands for the turn's whole prefix.
    pub(crate) fn tail(&self, turn: &Turn) -> u64 {
        let len = turn.prefix.len().min(MAX_PREFIX_HASHES);
        turn.prefix[..len].last().copied().unwrap_or_else(|| root(turn.conversation))
    }

    /// The sites that are chosen from, with their places.
    pub(crate) fn stand(&mut self, now: Duration, sites: &[SiteStatus]) -> Vec<(SiteStatus, u16)> {
        let fit = |s: &&SiteStatus| s.capacity > 0.0 && s.capacity.is_finite() && s.in_flight >= 0.0;
        let stand = |s: &SiteStatus| Some((*s, self.sites.update(now, s, &self.settings)?));
        let places: Vec<_> = sites.iter().filter(fit).filter_map(stand).collect();
        // One of weight 0 is sent nothing while another is there.
        let shut = |p: &u16| self.sites.all[*p as usize].weight <= 0.0;
        if places.iter().all(|(_, p)| shut(p)) {
            return places;
        }
        places.into_iter().filter(|(_, p)| !shut(p)).collect()
    }

    /// Where the turn should go, of these sites, and whether it goes now.
    pub fn place(&mut self, now: Duration, turn: &Turn, sites: &[SiteStatus]) -> Advice {
        let places = self.stand(now, sites);
        self.advise(now, turn, &places, false)
    }

    /// ... where it is not asked again for a budget if it has waited for that.
    pub(crate) fn advise(
        &mut self,
        now: Duration,
        turn: &Turn,
        places: &[(SiteStatus, u16)],
        waited: bool,
    ) -> Advice {
        #[cfg(test)]
        let with_lost = self.with_lost(places);
        #[cfg(test)]
        let places = &with_lost[..];
        if places.is_empty() {
            return Advice::default();
        }
        let known = self.know(turn);
        let lacks = Self::lacks(&known);
        if let Some(lacks) = lacks.filter(|_| !waited) {
            let decision = self.weigh_anew(now, turn, &known, lacks, places);
            self.counts.queued += u64::from(matches!(decision, Decision::Wait(..)));
            self.counts.rejected += u64::from(decision == Decision::Reject);
            if decision != Decision::Dispatch {
                return Advice { choices: Vec::new(), decision };
            }
        }
        let (block, cross) =
            (self.settings.block_cost.as_secs_f64(), self.settings.cross_zone_cost.as_secs_f64());
        let len = turn.prefix.len().min(MAX_PREFIX_HASHES) as f64;
        let weight = |place: u16| self.sites.all[place as usize].weight.max(1e-6);
        let size: f64 = places.iter().map(|(s, p)| s.capacity * weight(*p)).sum();
        let load: f64 = places.iter().map(|(_, p)| self.sites.load(now, *p)).sum();
        let count: f64 = places.iter().map(|(_, p)| self.sites.count(*p)).sum();
        let own_count: f64 = places.iter().map(|(_, p)| self.sites.own_count(*p)).sum();
        // Conversations at all activators, as far as this one's share of the calls tells.
        let talks = self.talks.about(now) * count / own_count.max(1.0);
        let counted = talks >= FEW * places.len() as f64;
        let out: f64 = places.iter().map(|(s, _)| s.in_flight).sum();
        let left = turn.time_left.as_secs_f64();
        let best = known.held.iter().map(Held::expected).fold(0.0, f64::max);
        // New conversations of one preamble turn to the same sites; one that is known keeps its own order.
        let key = turn.prefix.first().copied().filter(|_| known.common > 0 && known.own.is_none());
        let key = key.unwrap_or_else(|| root(turn.conversation));
        let bound = self.settings.load_bound.max(CALLS);
        // As in bounded-load hashing: no site has more than so many times its due, for whatever it holds.
        let mut ranked: Vec<(Room, f64, Choice)> = places
            .iter()
            .map(|(s, place)| {
                let part = s.capacity * weight(*place) / size;
                let held = known.held.iter().find(|h| h.site == *place);
                let expected = held.map_or(0.0, Held::expected);
                let own = (len - expected.max(f64::from(known.common))).max(0.0);
                let shared = (f64::from(known.common) - expected).max(0.0);
                // A copy of what is common serves others after this turn: each of them pays its part.
                let shared = shared / (1.0 + known.uses / (known.copies as f64 + 1.0));
                let work = (own + shared + f64::from(turn.new_blocks)) * block;
                let here = self.sites.load(now, *place);
                let due = load * part;
                let behind = (s.in_flight + 1.0 - s.capacity).max(0.0) / s.capacity * self.usual.max(work);
                let full = s.capacity * weight(*place).max(0.01) * LOAD_MEMORY / block;
                let level = here / full * LEVELLING * self.usual.max(block);
                let cost = behind + work + level + if s.other_zone { cross } else { 0.0 };
                let takes = behind + (own + f64::from(turn.new_blocks)) * block;
                let late = (takes - left).max(0.0) * LATE * turn.worth.clamp(0.0, 1e3);
                // As in weighted rendezvous hashing: of equal sites each is first as often as it is due.
                let lot = -(1.0 - draw(key, s.site)).ln() / (part * places.len() as f64);
                let cost = cost + late + lot.min(MOST_APART) * APART * block;
                let idle = IDLE * full;
                let turn_work = len + f64::from(turn.new_blocks) + 1.0;
                let fits = here + turn_work - expected
                    <= (self.settings.load_bound * (due + turn_work * part)).max(idle).max(SLACK);
                let share = (self.settings.load_bound * (out + 1.0) * part).ceil().max(QUEUE * s.capacity);
                let calls = (bound * (count + 1.0) * part).ceil();
                // Turns that are cheap to move lean away first, so that few dear ones have to at the bound.
                let calls_due = ((count + 1.0) * part).max(1.0);
                let leans_from = 1.0 + LEANS_FROM * (bound - 1.0);
                let above = ((self.sites.count(*place) + 1.0) / calls_due - leans_from).max(0.0);
                let lean = above / (bound - leans_from) * LEANS_BY * block;
                let cost = cost + if counted { lean } else { 0.0 };
                let many = counted && self.sites.count(*place) + 1.0 > calls;
                let over = many || !(fits || here <= due) || s.in_flight + 1.0 > share.max(1.0);
                let reason = match held {
                    Some(h) if h.expected() >= 0.5 && !h.common => Reason::ConversationCached,
                    Some(h) if h.expected() >= 0.5 => Reason::PrefixCached,
                    _ if known.displaced > 0 && best < 0.5 => Reason::Recompute,
                    _ => Reason::Load,
                };
                let room = match lacks {
                    Some(_) if !self.affords(*place) => Room::NoBudget,
                    _ if over => Room::None,
                    _ => Room::Some,
                };
                (room, cost, Choice { site: s.site, expected_blocks: expected.round() as u16, reason })
            })
            .collect();
        let first = |r: &(Room, f64, Choice), q: &(Room, f64, Choice)| {
            (r.0.cmp(&q.0)).then(r.1.total_cmp(&q.1)).then(r.2.site.cmp(&q.2.site))
        };
        // Three of many: no need to order the rest.
        if ranked.len() > MAX_CHOICES {
            ranked.select_nth_unstable_by(MAX_CHOICES - 1, first);
            ranked.truncate(MAX_CHOICES);
        }
        ranked.sort_by(first);
        // Where none has room, one is as good as another for that: the least dear stands alone.
        let with_room = ranked.iter().take_while(|r| r.0 == Room::Some).count().max(1);
        let choices: Vec<Choice> = ranked.into_iter().take(with_room).map(|r| r.2).collect();
        if lacks.is_some() {
            if let Some(place) = self.sites.index_of(choices[0].site) {
                let held = known.held.iter().find(|h| h.site == place).map_or(0.0, Held::expected);
                self.grant(now, turn, place, (len - held).max(0.0));
            }
        }
        self.counts.placed += 1;
        *match choices[0].reason {
            Reason::ConversationCached => &mut self.counts.for_held,
            Reason::PrefixCached => &mut self.counts.for_common,
            Reason::Load => &mut self.counts.for_load,
            Reason::Recompute => &mut self.counts.for_recompute,
        } += 1;
        Advice { choices, decision: Decision::Dispatch }
    }

    /// With what a planted flaw adds.
    #[cfg(test)]
    fn with_lost(&self, places: &[(SiteStatus, u16)]) -> Vec<(SiteStatus, u16)> {
        let mut all = places.to_vec();
        if self.flaw == Some(crate::faults::Fault::AdvisesLostSites) {
            let lost = self.sites.all.iter().enumerate().filter(|(_, s)| !s.there);
            let now = |site| SiteStatus { site, capacity: 4.0, in_flight: 0.0, other_zone: false };
            all.extend(lost.map(|(place, s)| (now(s.site), place as u16)));
        }
        all
    }
}
