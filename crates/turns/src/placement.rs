//! Placement: ranks the sites for a turn by expected cache hit, load, lateness and zone.

use std::collections::{BTreeMap, VecDeque};
use std::hash::Hasher;
use std::time::Duration;

use siphasher::sip::SipHasher13;

use crate::feedback::Attempt;
use crate::recompute::RecomputeQueue;
use crate::sites::{Sites, LOAD_DECAY_SECS};
use crate::sketch::{ConversationCounter, Sketch};
use crate::table::{Entry, Table};
use crate::trust::TenantTrust;
use crate::types::*;
use crate::wire::PlacementRecord;

/// Sites recorded per conversation: the current one and the previous one.
pub(crate) const MAX_OWN_SITES: usize = 2;
/// Sites recorded per common prefix.
pub(crate) const MAX_COMMON_SITES: usize = 16;
/// The table of common prefixes gets this fraction (1/N) of the memory: it has few entries, each with room for many
/// sites.
const COMMON_TABLE_DIVISOR: usize = 8;
/// The load bound applies only above this utilization of a site's lanes: below it, load differences are chance and do
/// no harm.
const MIN_BOUNDED_UTILIZATION: f64 = 0.1;
/// The load bound is never below this many blocks.
const MIN_LOAD_BLOCKS: f64 = 1.0;
/// The in-flight limit is at least this many turns per lane: a site with every lane busy may still queue one turn per
/// lane, and the queueing delay is part of the cost.
const MIN_TURNS: f64 = 2.0;
/// Cost of a fully loaded site over an idle one, as a multiple of the mean turn time.
const LOAD_COST_FACTOR: f64 = 1.0;
/// Unit of the tie-break, in blocks: sites whose costs differ by less are ordered by the hash of the turn alone, so
/// that activators that have exchanged no messages choose the same site.
const TIE_BREAK_BLOCKS: f64 = 0.1;
/// Upper limit of the tie-break, in units of [`TIE_BREAK_BLOCKS`].
const MAX_TIE_BREAK: f64 = 8.0;
/// Factor by which the time that an answer is late counts in the cost.
const LATE_FACTOR: f64 = 3.0;
/// Smallest bound on a site's calls in the last 10 s, relative to its fair share. With a tighter bound, so many
/// prefixes move at full load that the lanes have no time to recompute them.
const MIN_CALL_BOUND: f64 = 1.24;
/// Above this fraction of the distance from the fair share to the call bound, a site's cost rises linearly, up to
/// [`SOFT_BOUND_PENALTY_BLOCKS`] at the bound.
const SOFT_BOUND_START: f64 = 0.4;
const SOFT_BOUND_PENALTY_BLOCKS: f64 = 8.0;
/// With fewer conversations per site than this, the call bound is off: so few cannot be split evenly, and moving a
/// conversation costs a recomputation of its prefix.
const MIN_CONVERSATIONS_PER_SITE: f64 = 4.0;

/// A site that a turn may go to, and its index in `Sites::all`.
pub(crate) type Candidate = (SiteStatus, u16);

/// The part of a turn's prefix that a site is expected to hold.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Hit {
    pub site: u16,
    /// Length in blocks, and the probability that the site still holds them.
    pub depth: u16,
    pub probability: f64,
    /// The site's clock (see `SiteState::clock`) when the blocks were sent there.
    pub clock: u32,
    pub common: bool,
}

impl Hit {
    pub fn expected(&self) -> f64 {
        f64::from(self.depth) * self.probability
    }
}

/// What the tables say about a turn's prefix before the turn is placed.
#[derive(Debug, Default)]
pub(crate) struct Estimate {
    /// The entry with the most expected blocks for each site, unordered.
    pub sites: Vec<Hit>,
    /// Table key of the conversation's own last turn, and the number of times in a row that its prefix was not found.
    pub own_key: Option<u64>,
    pub misses: u8,
    /// Length of the longest common prefix in blocks, its recent uses by new conversations (decayed), and the number
    /// of sites that hold it.
    pub common_depth: u16,
    pub uses: f64,
    pub copies: usize,
    /// Blocks that the conversation had at a site that was lost or whose cache was cleared.
    pub lost: u16,
}

/// Whether a site has room for a turn; the order of the variants is the order of preference.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum SiteRoom {
    Available,
    /// The turn would take the site above its load, in-flight or call bound.
    OverBound,
    /// This activator has no recomputation budget left for the site.
    NoBudget,
}

/// Routes the turns of conversations to sites by the prefixes that the sites' caches are expected to hold. See the
/// crate documentation.
pub struct TurnRouter {
    pub(crate) settings: Settings,
    pub(crate) own_id: MemberId,
    pub(crate) incarnation: u32,
    pub(crate) sites: Sites,
    pub(crate) conversations: Table<MAX_OWN_SITES>,
    pub(crate) common: Table<MAX_COMMON_SITES>,
    pub(crate) sketch: Sketch,
    pub(crate) trust: TenantTrust,
    pub(crate) open: BTreeMap<AttemptToken, Attempt>,
    pub(crate) open_order: VecDeque<(Duration, AttemptToken)>,
    /// Mean time that a turn takes at a site, in seconds, learned from answers.
    pub(crate) mean_secs: f64,
    pub(crate) members: Vec<MemberId>,
    pub(crate) next_member: usize,
    pub(crate) unsent_placements: VecDeque<(PlacementRecord, SiteId)>,
    pub(crate) message_number: u32,
    pub(crate) next_gossip_at: Duration,
    pub(crate) queue: RecomputeQueue,
    pub(crate) conversation_counter: ConversationCounter,
    #[cfg(test)]
    pub(crate) fault: Option<crate::faults::Fault>,
    pub(crate) counts: Counts,
}

/// Counters for the view.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Counts {
    pub placed: u64,
    pub for_conversation: u64,
    pub for_common_prefix: u64,
    pub for_load: u64,
    pub for_recompute: u64,
    pub queued: u64,
    pub rejected: u64,
    pub expected: u64,
    pub found: u64,
    pub requested: u64,
    pub misses: u64,
    pub caches_found_empty: u64,
    pub bytes_sent: u64,
    pub received: u64,
    pub unreadable: u64,
}

/// A 16-bit hash of the conversation's number, by which the tables recognise the conversation's own entries.
pub(crate) fn conversation_tag(conversation: u64) -> u16 {
    ((conversation.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 48) as u16).max(1)
}

/// The table key of a conversation's empty prefix. It differs from conversation to conversation.
pub(crate) fn empty_prefix_key(conversation: u64) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(0x7475_726e, 0x726f_6f74);
    hasher.write_u64(conversation);
    hasher.finish()
}

/// Pseudo-random number in 0 to 1, the same at every activator.
fn draw(key: u64, site: SiteId) -> f64 {
    let mut hasher = SipHasher13::new_with_keys(key, 0x7369_7465);
    hasher.write_u32(site.0);
    (hasher.finish() >> 11) as f64 / (1u64 << 53) as f64
}

impl TurnRouter {
    /// Creates a router with empty tables. `incarnation` tells this process from earlier ones with the same `own_id`.
    pub fn new(
        settings: Settings,
        own_id: MemberId,
        incarnation: u32,
        seed: u64,
        now: Duration,
    ) -> Result<Self, SettingsError> {
        settings.check()?;
        let part = settings.table_bytes / COMMON_TABLE_DIVISOR;
        Ok(Self {
            conversations: Table::new(settings.table_bytes - part),
            common: Table::new(part),
            // Random first time, so that activators that start together do not send together.
            next_gossip_at: now + settings.gossip_period.mul_f64(fastrand::Rng::with_seed(seed).f64()),
            settings,
            own_id,
            incarnation,
            sites: Sites::default(),
            sketch: Sketch::new(),
            trust: TenantTrust::new(),
            open: BTreeMap::new(),
            open_order: VecDeque::new(),
            mean_secs: 0.0,
            members: Vec::new(),
            next_member: 0,
            unsent_placements: VecDeque::new(),
            message_number: 0,
            queue: RecomputeQueue::default(),
            conversation_counter: ConversationCounter::new(now),
            #[cfg(test)]
            fault: None,
            counts: Counts::default(),
        })
    }

    /// Replaces the settings. What was learned stays, except that a change of the memory size empties both tables.
    pub fn update_settings(&mut self, settings: Settings) -> Result<(), SettingsError> {
        settings.check()?;
        if settings.table_bytes != self.settings.table_bytes {
            let part = settings.table_bytes / COMMON_TABLE_DIVISOR;
            (self.conversations, self.common) = (Table::new(settings.table_bytes - part), Table::new(part));
        }
        self.settings = settings;
        Ok(())
    }

    /// Looks up what the sites are expected to hold of the turn's prefix.
    pub(crate) fn estimate(&self, turn: &Turn) -> Estimate {
        let mut known = Estimate::default();
        let tag = conversation_tag(turn.conversation);
        let trust = self.tenant_trust(turn.tenant);
        let len = turn.prefix.len().min(MAX_HASHES) as u16;
        for depth in (0..=len).rev() {
            let key = match depth {
                0 => empty_prefix_key(turn.conversation),
                depth => turn.prefix[depth as usize - 1],
            };
            if known.own_key.is_none() {
                if let Some(entry) = self.conversations.get(key) {
                    let own = entry.conversation == tag;
                    if own {
                        (known.own_key, known.misses) = (Some(key), entry.misses);
                    }
                    let depth = if own { (entry.depth.min(depth) + entry.added).min(len) } else { depth };
                    self.add_holder(&mut known, entry, depth, trust);
                }
            }
            if depth > 0 {
                if let Some(entry) = self.common.get(key) {
                    if known.common_depth == 0 {
                        let past = self.sites.clock.wrapping_sub(entry.uses_updated_at);
                        known.common_depth = depth;
                        known.uses = f64::from(entry.uses) * self.use_decay(past);
                        known.copies = entry.holders().filter(|h| self.is_current(h.site, h.epoch)).count();
                    }
                    self.add_holder(&mut known, entry, depth, trust);
                }
            }
        }
        if known.misses > 1 {
            let doubt = 0.5f64.powi(i32::from(known.misses) - 1);
            known.sites.iter_mut().filter(|h| !h.common).for_each(|h| h.probability *= doubt);
        }
        known
    }

    /// Trust in the tenant's hashes, 0 to 1.
    pub(crate) fn tenant_trust(&self, tenant: u32) -> f64 {
        #[cfg(test)]
        if self.fault == Some(crate::faults::Fault::LyingTenantTrusted) {
            return 1.0;
        }
        self.trust.get(tenant)
    }

    /// Decay of a use count after all sites together computed `past` blocks: a site keeps a copy for its horizon, so
    /// the decay constant is the sum of the horizons.
    pub(crate) fn use_decay(&self, past: u32) -> f64 {
        let present = self.sites.all.iter().filter(|s| s.present);
        let horizon: f64 = present.map(|s| s.horizon().min(1e6)).sum();
        (-f64::from(past) / horizon.max(1.0)).exp()
    }

    fn is_current(&self, site: u16, epoch: u16) -> bool {
        self.sites.all.get(site as usize).is_some_and(|s| s.present && s.epoch == epoch)
    }

    fn add_holder<const N: usize>(&self, known: &mut Estimate, entry: &Entry<N>, depth: u16, trust: f64) {
        for h in entry.holders() {
            if !self.is_current(h.site, h.epoch) {
                if N == MAX_OWN_SITES && known.own_key.is_some() {
                    known.lost = known.lost.max(depth);
                }
                continue;
            }
            let probability = self.sites.all[h.site as usize].retention(h.clock) * trust;
            let fresh = Hit { site: h.site, depth, probability, clock: h.clock, common: N != MAX_OWN_SITES };
            match known.sites.iter_mut().find(|k| k.site == h.site) {
                Some(k) if k.expected() < fresh.expected() => *k = fresh,
                Some(_) => {}
                None => known.sites.push(fresh),
            }
        }
    }

    /// The table key of the turn's whole prefix.
    pub(crate) fn tail_key(&self, turn: &Turn) -> u64 {
        let len = turn.prefix.len().min(MAX_HASHES);
        turn.prefix[..len].last().copied().unwrap_or_else(|| empty_prefix_key(turn.conversation))
    }

    /// The sites that the turn may go to, with their indexes.
    pub(crate) fn eligible_sites(&mut self, now: Duration, sites: &[SiteStatus]) -> Vec<Candidate> {
        let fit = |s: &&SiteStatus| s.capacity > 0.0 && s.capacity.is_finite() && s.in_flight >= 0.0;
        let update = |s: &SiteStatus| Some((*s, self.sites.update(now, s, &self.settings)?));
        let candidates: Vec<_> = sites.iter().filter(fit).filter_map(update).collect();
        // A site of weight 0 gets turns only if every site has weight 0.
        let is_closed = |p: &u16| self.sites.all[*p as usize].weight <= 0.0;
        if candidates.iter().all(|(_, p)| is_closed(p)) {
            return candidates;
        }
        candidates.into_iter().filter(|(_, p)| !is_closed(p)).collect()
    }

    /// Decides which of `sites` the turn should go to, and whether it is sent now, waits for recomputation budget or
    /// is rejected.
    pub fn place(&mut self, now: Duration, turn: &Turn, sites: &[SiteStatus]) -> Advice {
        let candidates = self.eligible_sites(now, sites);
        self.decide(now, turn, &candidates, false)
    }

    /// Like [`TurnRouter::place`], for candidates already selected. With `waited`, the turn is not checked against
    /// the recomputation budget again.
    pub(crate) fn decide(
        &mut self,
        now: Duration,
        turn: &Turn,
        candidates: &[Candidate],
        waited: bool,
    ) -> Advice {
        #[cfg(test)]
        let with_lost_sites = self.with_lost_sites(candidates);
        #[cfg(test)]
        let candidates = &with_lost_sites[..];
        if candidates.is_empty() {
            return Advice::default();
        }
        let known = self.estimate(turn);
        let missing = Self::missing_blocks(&known);
        if let Some(missing) = missing.filter(|_| !waited) {
            let decision = self.admit_recompute(now, turn, &known, missing, candidates);
            self.counts.queued += u64::from(matches!(decision, Decision::Wait(..)));
            self.counts.rejected += u64::from(decision == Decision::Reject);
            if decision != Decision::Send {
                return Advice { choices: Vec::new(), decision };
            }
        }
        let (block, cross) = (self.settings.block_cost.as_secs_f64(), self.settings.zone_cost.as_secs_f64());
        let len = turn.prefix.len().min(MAX_HASHES) as f64;
        let weight = |index: u16| self.sites.all[index as usize].weight.max(1e-6);
        let size: f64 = candidates.iter().map(|(s, p)| s.capacity * weight(*p)).sum();
        let load: f64 = candidates.iter().map(|(_, p)| self.sites.load(now, *p)).sum();
        let count: f64 = candidates.iter().map(|(_, p)| self.sites.count(*p)).sum();
        let own_count: f64 = candidates.iter().map(|(_, p)| self.sites.own_count(*p)).sum();
        // Number of conversations at all activators, extrapolated from this activator's share of the calls.
        let conversations = self.conversation_counter.estimate_recent(now) * count / own_count.max(1.0);
        let call_bound_applies = conversations >= MIN_CONVERSATIONS_PER_SITE * candidates.len() as f64;
        let turns: f64 = candidates.iter().map(|(s, _)| s.in_flight).sum();
        let time_left = turn.time_left.as_secs_f64();
        let best = known.sites.iter().map(Hit::expected).fold(0.0, f64::max);
        // New conversations with the same common prefix prefer the same sites; a known conversation has its own
        // order.
        let key = turn.prefix.first().copied().filter(|_| known.common_depth > 0 && known.own_key.is_none());
        let key = key.unwrap_or_else(|| empty_prefix_key(turn.conversation));
        let bound = self.settings.bound.max(MIN_CALL_BOUND);
        // As in bounded-load hashing: no site exceeds a fixed multiple of its fair share, whatever it holds.
        let mut ranked: Vec<(SiteRoom, f64, Choice)> = candidates
            .iter()
            .map(|(s, index)| {
                let share = s.capacity * weight(*index) / size;
                let cached = known.sites.iter().find(|h| h.site == *index);
                let expected = cached.map_or(0.0, Hit::expected);
                let own = (len - expected.max(f64::from(known.common_depth))).max(0.0);
                let shared = (f64::from(known.common_depth) - expected).max(0.0);
                // A new copy of a common prefix also serves later turns, so its cost is divided among the expected
                // uses.
                let shared = shared / (1.0 + known.uses / (known.copies as f64 + 1.0));
                let work = (own + shared + f64::from(turn.new_blocks)) * block;
                let site_load = self.sites.load(now, *index);
                let fair = load * share;
                let wait = (s.in_flight + 1.0 - s.capacity).max(0.0) / s.capacity * self.mean_secs.max(work);
                let full_load = s.capacity * weight(*index).max(0.01) * LOAD_DECAY_SECS / block;
                let load_cost = site_load / full_load * LOAD_COST_FACTOR * self.mean_secs.max(block);
                let cost = wait + work + load_cost + if s.remote { cross } else { 0.0 };
                let turn_time = wait + (own + f64::from(turn.new_blocks)) * block;
                let late = (turn_time - time_left).max(0.0) * LATE_FACTOR * turn.worth.clamp(0.0, 1e3);
                // As in weighted rendezvous hashing: among equally good sites, each comes first in proportion to its
                // weight.
                let tie = -(1.0 - draw(key, s.site)).ln() / (share * candidates.len() as f64);
                let cost = cost + late + tie.min(MAX_TIE_BREAK) * TIE_BREAK_BLOCKS * block;
                let idle = MIN_BOUNDED_UTILIZATION * full_load;
                let turn_work = len + f64::from(turn.new_blocks) + 1.0;
                let fits = site_load + turn_work - expected
                    <= (self.settings.bound * (fair + turn_work * share)).max(idle).max(MIN_LOAD_BLOCKS);
                let limit = (self.settings.bound * (turns + 1.0) * share).ceil().max(MIN_TURNS * s.capacity);
                let call_limit = (bound * (count + 1.0) * share).ceil();
                // Below the bound, the penalty moves the turns that are cheap to move first, so that fewer expensive
                // ones have to move at the bound.
                let fair_calls = ((count + 1.0) * share).max(1.0);
                let soft_bound = 1.0 + SOFT_BOUND_START * (bound - 1.0);
                let excess = ((self.sites.count(*index) + 1.0) / fair_calls - soft_bound).max(0.0);
                let penalty = excess / (bound - soft_bound) * SOFT_BOUND_PENALTY_BLOCKS * block;
                let cost = cost + if call_bound_applies { penalty } else { 0.0 };
                let over_calls = call_bound_applies && self.sites.count(*index) + 1.0 > call_limit;
                let over = over_calls || !(fits || site_load <= fair) || s.in_flight + 1.0 > limit.max(1.0);
                let reason = match cached {
                    Some(h) if h.expected() >= 0.5 && !h.common => Reason::ConversationCached,
                    Some(h) if h.expected() >= 0.5 => Reason::PrefixCached,
                    _ if known.lost > 0 && best < 0.5 => Reason::Recompute,
                    _ => Reason::Load,
                };
                let room = match missing {
                    Some(_) if !self.has_budget(*index) => SiteRoom::NoBudget,
                    _ if over => SiteRoom::OverBound,
                    _ => SiteRoom::Available,
                };
                (room, cost, Choice { site: s.site, expected_blocks: expected.round() as u16, reason })
            })
            .collect();
        let by_rank = |r: &(SiteRoom, f64, Choice), q: &(SiteRoom, f64, Choice)| {
            (r.0.cmp(&q.0)).then(r.1.total_cmp(&q.1)).then(r.2.site.cmp(&q.2.site))
        };
        // A partial selection suffices: only the first few are returned.
        if ranked.len() > MAX_CHOICES {
            ranked.select_nth_unstable_by(MAX_CHOICES - 1, by_rank);
            ranked.truncate(MAX_CHOICES);
        }
        ranked.sort_by(by_rank);
        // If no site has room, only the cheapest is returned.
        let with_room = ranked.iter().take_while(|r| r.0 == SiteRoom::Available).count().max(1);
        let choices: Vec<Choice> = ranked.into_iter().take(with_room).map(|r| r.2).collect();
        if missing.is_some() {
            if let Some(index) = self.sites.index(choices[0].site) {
                let cached = known.sites.iter().find(|h| h.site == index).map_or(0.0, Hit::expected);
                self.grant(now, turn, index, (len - cached).max(0.0));
            }
        }
        self.counts.placed += 1;
        *match choices[0].reason {
            Reason::ConversationCached => &mut self.counts.for_conversation,
            Reason::PrefixCached => &mut self.counts.for_common_prefix,
            Reason::Load => &mut self.counts.for_load,
            Reason::Recompute => &mut self.counts.for_recompute,
        } += 1;
        Advice { choices, decision: Decision::Send }
    }

    /// The candidates, plus lost sites if the injected fault asks for them.
    #[cfg(test)]
    fn with_lost_sites(&self, candidates: &[Candidate]) -> Vec<Candidate> {
        let mut all = candidates.to_vec();
        if self.fault == Some(crate::faults::Fault::LostSiteAdvised) {
            let lost = self.sites.all.iter().enumerate().filter(|(_, s)| !s.present);
            let now = |site| SiteStatus { site, capacity: 4.0, in_flight: 0.0, remote: false };
            all.extend(lost.map(|(index, s)| (now(s.site), index as u16)));
        }
        all
    }
}
