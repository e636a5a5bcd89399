//! Where a turn should go: what each site holds of it, against load and time.

use std::collections::{BTreeMap, VecDeque};
use std::hash::Hasher;
use std::time::Duration;

use siphasher::sip::SipHasher13;

use crate::learn::Open;
use crate::sites::{Sites, LOAD_MEMORY};
use crate::sketch::Sketch;
use crate::table::{Entry, Table};
use crate::terms::*;
use crate::trust::Trust;
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
/// A turn late by so much at a site weighs this multiple of the time.
const LATE: f64 = 3.0;
/// Turns of lost sites whose worth is remembered, to know which of them come first.
const RECENT_VALUES: usize = 64;
/// Memory of how much is asked to be computed anew, in seconds.
const DEMAND_MEMORY: f64 = 1.0;

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

/// Decides where turns go. See the page of the crate.
pub struct Turns {
    pub(crate) settings: Settings,
    pub(crate) me: Name,
    pub(crate) life: u32,
    pub(crate) sites: Sites,
    pub(crate) tails: Table<OF_ONE>,
    pub(crate) commons: Table<OF_MANY>,
    pub(crate) sketch: Sketch,
    pub(crate) trust: Trust,
    pub(crate) open: BTreeMap<Token, Open>,
    pub(crate) order: VecDeque<(Duration, Token)>,
    /// Time that a turn takes at a site, in seconds, learnt from answers.
    pub(crate) usual: f64,
    pub(crate) fellows: Vec<Name>,
    pub(crate) next_fellow: usize,
    pub(crate) lately: VecDeque<(Placed, Site)>,
    pub(crate) number: u32,
    pub(crate) tell_at: Duration,
    /// Worths of turns of lost sites, and the blocks a second that they ask for.
    values: VecDeque<f64>,
    demand: f64,
    demand_at: Duration,
    pub(crate) counts: Counts,
}

/// What has happened so far, for staff.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Counts {
    pub placed: u64,
    pub for_held: u64,
    pub for_common: u64,
    pub for_load: u64,
    pub anew: u64,
    pub held_back: u64,
    pub expected: u64,
    pub found: u64,
    pub asked: u64,
    pub misses: u64,
    pub emptied: u64,
    pub told: u64,
    pub heard: u64,
    pub unread: u64,
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
fn draw(key: u64, site: Site) -> f64 {
    let mut hasher = SipHasher13::new_with_keys(key, 0x7369_7465);
    hasher.write_u32(site.0);
    (hasher.finish() >> 11) as f64 / (1u64 << 53) as f64
}

impl Turns {
    /// Knows nothing yet. `life` tells this process from one before it of the same name.
    pub fn new(
        settings: Settings,
        me: Name,
        life: u32,
        seed: u64,
        now: Duration,
    ) -> Result<Self, SettingsError> {
        settings.check()?;
        let common = settings.memory / COMMON_PART;
        Ok(Self {
            tails: Table::new(settings.memory - common),
            commons: Table::new(common),
            // Not all that begin together tell together.
            tell_at: now + settings.period.mul_f64(fastrand::Rng::with_seed(seed).f64()),
            settings,
            me,
            life,
            sites: Sites::default(),
            sketch: Sketch::new(),
            trust: Trust::new(),
            open: BTreeMap::new(),
            order: VecDeque::new(),
            usual: 0.0,
            fellows: Vec::new(),
            next_fellow: 0,
            lately: VecDeque::new(),
            number: 0,
            values: VecDeque::new(),
            demand: 0.0,
            demand_at: now,
            counts: Counts::default(),
        })
    }

    /// Takes other settings up. What was learnt stays, but for a table of another size.
    pub fn retune(&mut self, settings: Settings) -> Result<(), SettingsError> {
        settings.check()?;
        if settings.memory != self.settings.memory {
            let common = settings.memory / COMMON_PART;
            (self.tails, self.commons) = (Table::new(settings.memory - common), Table::new(common));
        }
        self.settings = settings;
        Ok(())
    }

    /// What is believed of a turn.
    pub(crate) fn know(&self, turn: &Turn) -> Known {
        let mut known = Known::default();
        let mark = mark(turn.conversation);
        let trust = self.trust.of(turn.tenant);
        let len = turn.prefix.len().min(LONGEST_PREFIX) as u16;
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

    /// Where the turn should go, of these sites. `again`: it was held back before, and is not again.
    pub fn place(&mut self, now: Duration, turn: &Turn, sites: &[SiteNow], again: bool) -> Advice {
        let mut places = Vec::with_capacity(sites.len());
        for s in sites.iter().filter(|s| s.capacity > 0.0 && s.capacity.is_finite() && s.in_flight >= 0.0) {
            if let Some(place) = self.sites.meet(now, s.site) {
                self.sites.back(now, s.site);
                self.sites.grow(now, place, s.capacity, &self.settings);
                places.push((*s, place));
            }
        }
        if places.is_empty() {
            return Advice::default();
        }
        let known = self.know(turn);
        let hold = if again { Duration::ZERO } else { self.held_back(now, turn, &known, &places) };
        if !hold.is_zero() {
            self.counts.held_back += 1;
        }
        let (block, cross) = (self.settings.block.as_secs_f64(), self.settings.cross.as_secs_f64());
        let len = turn.prefix.len().min(LONGEST_PREFIX) as f64;
        let weight = |place: u16| self.sites.all[place as usize].weight;
        let size: f64 = places.iter().map(|(s, p)| s.capacity * weight(*p)).sum();
        let load: f64 = places.iter().map(|(_, p)| self.sites.load(now, *p)).sum();
        let out: f64 = places.iter().map(|(s, _)| s.in_flight).sum();
        let left = turn.left.as_secs_f64();
        let best = known.held.iter().map(Held::expected).fold(0.0, f64::max);
        // New conversations of one preamble turn to the same sites; one that is known keeps its own order.
        let key = turn.prefix.first().copied().filter(|_| known.common > 0 && known.own.is_none());
        let key = key.unwrap_or_else(|| root(turn.conversation));
        // As in bounded-load hashing: no site has more than so many times its due, for whatever it holds.
        let mut ranked: Vec<(bool, f64, Choice)> = places
            .iter()
            .map(|(s, place)| {
                let part = s.capacity * weight(*place) / size.max(1e-9);
                let held = known.held.iter().find(|h| h.site == *place);
                let expected = held.map_or(0.0, Held::expected);
                let own = (len - expected.max(f64::from(known.common))).max(0.0);
                let shared = (f64::from(known.common) - expected).max(0.0);
                // A copy of what is common serves others after this turn: each of them pays its part.
                let shared = shared / (1.0 + known.uses / (known.copies as f64 + 1.0));
                let work = (own + shared + f64::from(turn.new)) * block;
                let here = self.sites.load(now, *place);
                let due = load * part;
                let behind = (s.in_flight + 1.0 - s.capacity).max(0.0) / s.capacity * self.usual.max(work);
                let full = s.capacity * weight(*place).max(0.01) * LOAD_MEMORY / block;
                let level = here / full * LEVELLING * self.usual.max(block);
                let cost = behind + work + level + if s.far { cross } else { 0.0 };
                let takes = behind + (own + f64::from(turn.new)) * block;
                let late = (takes - left).max(0.0) * LATE * turn.worth.clamp(0.0, 1e3);
                let cost = cost + late + draw(key, s.site) * APART * block;
                let idle = IDLE * full;
                let turn_work = len + f64::from(turn.new) + 1.0;
                let fits = here + turn_work - expected
                    <= (self.settings.bound * (due + turn_work * part)).max(idle).max(SLACK);
                let share = (self.settings.bound * (out + 1.0) * part).ceil().max(QUEUE * s.capacity);
                let over =
                    weight(*place) <= 0.0 || !(fits || here <= due) || s.in_flight + 1.0 > share.max(1.0);
                let reason = match held {
                    Some(h) if h.expected() >= 0.5 && !h.common => Reason::Holds,
                    Some(h) if h.expected() >= 0.5 => Reason::Common,
                    _ if known.displaced > 0 && best < 0.5 => Reason::Anew,
                    _ => Reason::Load,
                };
                (over, cost, Choice { site: s.site, held: expected.round() as u16, reason })
            })
            .collect();
        let first = |r: &(bool, f64, Choice), q: &(bool, f64, Choice)| {
            (r.0.cmp(&q.0)).then(r.1.total_cmp(&q.1)).then(r.2.site.cmp(&q.2.site))
        };
        // Three of many: no need to order the rest.
        if ranked.len() > MOST_CHOICES {
            ranked.select_nth_unstable_by(MOST_CHOICES - 1, first);
            ranked.truncate(MOST_CHOICES);
        }
        ranked.sort_by(first);
        // Where none has room, one is as good as another for that: the least dear stands alone.
        let with_room = ranked.iter().take_while(|r| !r.0).count().max(1);
        let choices: Vec<Choice> = ranked.into_iter().take(with_room).map(|r| r.2).collect();
        self.counts.placed += 1;
        *match choices[0].reason {
            Reason::Holds => &mut self.counts.for_held,
            Reason::Common => &mut self.counts.for_common,
            Reason::Load => &mut self.counts.for_load,
            Reason::Anew => &mut self.counts.anew,
        } += 1;
        Advice { choices, hold }
    }

    /// How long a turn of a lost site waits, as sites may compute no more anew now. The longest-lived and worthiest
    /// go first: as large a part of them as the budget is of what is asked.
    fn held_back(
        &mut self,
        now: Duration,
        turn: &Turn,
        known: &Known,
        places: &[(SiteNow, u16)],
    ) -> Duration {
        let lacks = f64::from(known.displaced) - known.held.iter().map(Held::expected).fold(0.0, f64::max);
        if lacks < 1.0 {
            return Duration::ZERO;
        }
        let past = now.saturating_sub(self.demand_at).as_secs_f64();
        self.demand = self.demand * (-past / DEMAND_MEMORY).exp() + lacks / DEMAND_MEMORY;
        self.demand_at = self.demand_at.max(now);
        let value = turn.worth.clamp(0.0, 1e3) * f64::from(known.displaced);
        let above = self.values.iter().filter(|v| **v > value).count() as f64;
        let rank = (above + 0.5) / (self.values.len() as f64 + 1.0);
        if self.values.len() >= RECENT_VALUES {
            self.values.pop_front();
        }
        self.values.push_back(value);
        let rate: f64 = places.iter().map(|(s, _)| self.sites.rate(s.capacity, &self.settings)).sum();
        let room = places.iter().any(|(_, p)| self.sites.budget(*p) > 0.0);
        if room && rank <= rate / self.demand.max(1e-9) {
            return Duration::ZERO;
        }
        turn.left.mul_f64(self.settings.hold)
    }
}
