//! Recomputation budget: decides which turns that lost their cached prefix with a site are sent, wait, or are
//! rejected. See docs/design/turns.md, "A budget that holds".

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use crate::placement::{Candidate, Estimate, TurnRouter};
use crate::types::*;

/// Number of recent turns of lost sites whose value is kept, to rank a new turn among them.
const MAX_RECENT_VALUES: usize = 64;
/// Time constant with which the demand for recomputation decays, in seconds.
const DEMAND_DECAY_SECS: f64 = 1.0;
/// Grants kept for admitted turns whose attempts may still go to another site; beyond this, the oldest is forgotten.
const MAX_GRANTS: usize = 4_096;
/// An attempt sent within this time after the grant is charged to the budget of whichever site it goes to.
const GRANT_TIMEOUT: Duration = Duration::from_secs(120);
/// Shortest time between two checks of the waiting turns.
const MIN_CHECK_PERIOD: Duration = Duration::from_millis(10);
/// A turn that misses fewer blocks than this needs no budget.
pub(crate) const MIN_LOST_BLOCKS: f64 = 1.0;

/// Order of the waiting turns: by value (worth times blocks); among equals the oldest ranks highest.
type Rank = (u64, Reverse<u64>);

/// A turn that waits for recomputation budget.
#[derive(Debug)]
struct WaitingTurn {
    turn: Turn,
    deadline: Duration,
    blocks: f64,
    /// The fraction of recent turns of lost sites that ranked above this one when it came.
    rank_fraction: f64,
}

/// Budget that was charged for an admitted turn.
#[derive(Clone, Copy, Debug)]
struct Grant {
    at: Duration,
    site: u16,
    blocks: f64,
    /// Whether an attempt of the turn was sent.
    used: bool,
}

/// The waiting turns, the grants of admitted ones, and the recent demand.
#[derive(Debug, Default)]
pub(crate) struct RecomputeQueue {
    waiting: BTreeMap<Rank, WaitingTurn>,
    ranks: BTreeMap<WaitingId, Rank>,
    deadlines: BTreeSet<(Duration, WaitingId)>,
    last_id: u64,
    /// Waiting turns that were pushed out by more valuable ones; the next release rejects them.
    evicted: VecDeque<WaitingId>,
    grants: BTreeMap<u64, Grant>,
    grant_order: VecDeque<(Duration, u64)>,
    recent_values: VecDeque<u64>,
    demand: f64,
    demand_updated_at: Duration,
    next_check: Duration,
}

/// The turn's worth times its lost blocks, as an integer with the same order.
fn turn_value(turn: &Turn, known: &Estimate) -> u64 {
    // The bit patterns of positive floats have the same order as the floats.
    (turn.worth.clamp(0.0, 1e3) * f64::from(known.lost)).to_bits()
}

impl RecomputeQueue {
    /// Number of turns that wait.
    pub fn len(&self) -> usize {
        self.ranks.len()
    }

    fn remove(&mut self, waiting: WaitingId) -> Option<WaitingTurn> {
        let waiting_turn = self.waiting.remove(&self.ranks.remove(&waiting)?)?;
        self.deadlines.remove(&(waiting_turn.deadline, waiting));
        Some(waiting_turn)
    }

    /// Returns the fraction of recent turns of lost sites that rank above this value, and adds the value to them.
    fn rank_fraction(&mut self, value: u64) -> f64 {
        let above = self.recent_values.iter().filter(|v| **v > value).count() as f64;
        let rank_fraction = above / (self.recent_values.len() as f64 + 1.0);
        if self.recent_values.len() >= MAX_RECENT_VALUES {
            self.recent_values.pop_front();
        }
        self.recent_values.push_back(value);
        rank_fraction
    }

    fn add_demand(&mut self, now: Duration, blocks: f64) {
        let past = now.saturating_sub(self.demand_updated_at).as_secs_f64();
        self.demand = self.demand * (-past / DEMAND_DECAY_SECS).exp() + blocks / DEMAND_DECAY_SECS;
        self.demand_updated_at = self.demand_updated_at.max(now);
    }
}

impl TurnRouter {
    /// Blocks that no site is expected to hold because the site that held them was lost; `None` if there are none.
    pub(crate) fn missing_blocks(known: &Estimate) -> Option<f64> {
        let best = known.sites.iter().map(|h| h.expected()).fold(0.0, f64::max);
        let missing = f64::from(known.lost) - best;
        (missing >= MIN_LOST_BLOCKS).then_some(missing)
    }

    /// Whether this activator has recomputation budget left for the site.
    pub(crate) fn has_budget(&self, site: u16) -> bool {
        self.sites.budget(site).0 > 0.0
    }

    /// Decides whether a turn that misses `blocks` is sent now, waits or is rejected.
    pub(crate) fn admit_recompute(
        &mut self,
        now: Duration,
        turn: &Turn,
        known: &Estimate,
        blocks: f64,
        candidates: &[Candidate],
    ) -> Decision {
        self.queue.add_demand(now, blocks);
        let value = turn_value(turn, known);
        let rank_fraction = self.queue.rank_fraction(value);
        let ahead = self.queue.waiting.last_key_value().is_none_or(|((v, _), _)| value > *v);
        if ahead && self.is_admitted(rank_fraction, candidates) {
            return Decision::Send;
        }
        let deadline = now + turn.time_left.mul_f64(self.settings.wait_share);
        if deadline <= now || !self.fits_by(now, deadline, value, candidates) {
            return Decision::Reject;
        }
        self.queue.last_id += 1;
        let (waiting, rank) = (WaitingId(self.queue.last_id), (value, Reverse(self.queue.last_id)));
        let full = self.queue.ranks.len() >= MAX_WAITING_TURNS;
        #[cfg(test)]
        let full = full && self.fault != Some(crate::faults::Fault::WaitQueueUnbounded);
        if full {
            let Some((lowest, _)) = self.queue.waiting.first_key_value().filter(|(l, _)| **l < rank) else {
                return Decision::Reject;
            };
            let lowest = WaitingId(lowest.1 .0);
            self.queue.remove(lowest);
            self.queue.evicted.push_back(lowest);
            self.queue.next_check = now;
        }
        self.queue.waiting.insert(rank, WaitingTurn { turn: turn.clone(), deadline, blocks, rank_fraction });
        self.queue.ranks.insert(waiting, rank);
        self.queue.deadlines.insert((deadline, waiting));
        self.queue.next_check = self.queue.next_check.max(now).min(now + MIN_CHECK_PERIOD);
        Decision::Wait(waiting, deadline)
    }

    /// Whether a turn is admitted when the fraction `rank_fraction` of the recent turns of lost sites ranks above it.
    /// The admitted fraction is the ratio of budget rate to demand, or the fill level of the fullest token bucket if
    /// that is larger.
    fn is_admitted(&self, rank_fraction: f64, candidates: &[Candidate]) -> bool {
        let mut with_budget = candidates.iter().filter(|(_, p)| self.has_budget(*p)).peekable();
        if with_budget.peek().is_none() {
            return false;
        }
        let fill = with_budget.map(|(_, p)| self.sites.budget_fill(*p)).fold(0.0, f64::max);
        let rate: f64 = candidates.iter().map(|(_, p)| self.sites.budget(*p).1).sum();
        rank_fraction <= (rate / self.queue.demand.max(1e-9)).max(fill)
    }

    /// Whether the budgets will have room by `deadline` for a turn of this value, after the waiting turns that rank
    /// above it. If not, the turn is rejected at once, so that its client does not wait in vain.
    fn fits_by(&self, now: Duration, deadline: Duration, value: u64, candidates: &[Candidate]) -> bool {
        let wait_secs = deadline.saturating_sub(now).as_secs_f64();
        let by_then = |(_, p): &Candidate| {
            let (budget, rate) = self.sites.budget(*p);
            (budget + rate * wait_secs).max(0.0)
        };
        let room: f64 = candidates.iter().map(by_then).sum();
        let ahead = self.queue.waiting.range((value, Reverse(u64::MAX))..);
        room > ahead.map(|(_, h)| h.blocks).sum::<f64>()
    }

    /// Returns the next turn that stops waiting and where it goes, or `None` when all others keep waiting. Call it
    /// until it returns `None`, at [`TurnRouter::next_timer_at`] and whenever turns have ended.
    pub fn release(&mut self, now: Duration, sites: &[SiteStatus]) -> Option<(WaitingId, Advice)> {
        let rejection = Advice { choices: Vec::new(), decision: Decision::Reject };
        if let Some(evicted) = self.queue.evicted.pop_front() {
            self.counts.rejected += 1;
            return Some((evicted, rejection));
        }
        if self.queue.ranks.is_empty() {
            return None;
        }
        let candidates = self.eligible_sites(now, sites);
        let budget = candidates.iter().any(|(_, p)| self.has_budget(*p));
        let expired = self.queue.deadlines.first().copied().filter(|(deadline, _)| *deadline <= now);
        let best = self.queue.waiting.last_key_value().map(|(r, w)| (WaitingId(r.1 .0), w.rank_fraction));
        #[cfg(test)]
        let best = match self.fault {
            Some(crate::faults::Fault::LowestValueFirst) => {
                self.queue.waiting.first_key_value().map(|(r, w)| (WaitingId(r.1 .0), w.rank_fraction))
            }
            _ => best,
        };
        // If a deadline has passed and there is budget, the most valuable turn is sent before the expired one is
        // handled: no turn is rejected while a less valuable one is sent.
        let next = best.filter(|(_, f)| budget && (expired.is_some() || self.is_admitted(*f, &candidates)));
        if let Some((best, _)) = next {
            let waiting_turn = self.queue.remove(best)?;
            return Some((best, self.decide(now, &waiting_turn.turn, &candidates, true)));
        }
        #[cfg(test)]
        if self.fault == Some(crate::faults::Fault::WaitDeadlineIgnored) {
            let expired = expired.filter(|(deadline, _)| *deadline + Duration::from_secs(1) > now);
            if expired.is_some() {
                return None;
            }
        }
        if let Some((_, waiting)) = expired {
            // A site may hold the prefix by now: another turn of the same conversation may have been sent there.
            let waiting_turn = self.queue.remove(waiting)?;
            let lost_prefix = Self::missing_blocks(&self.estimate(&waiting_turn.turn)).is_some();
            if !lost_prefix && !candidates.is_empty() {
                return Some((waiting, self.decide(now, &waiting_turn.turn, &candidates, true)));
            }
            self.counts.rejected += 1;
            return Some((waiting, rejection));
        }
        let wait = |(_, p): &Candidate| {
            let (budget, rate) = self.sites.budget(*p);
            Duration::try_from_secs_f64((-budget).max(0.0) / rate.max(1e-9)).ok()
        };
        let wait = candidates.iter().filter_map(wait).min().unwrap_or(Duration::MAX).max(MIN_CHECK_PERIOD);
        self.queue.next_check = now.saturating_add(wait);
        None
    }

    /// When [`TurnRouter::release`] must be called next; `None` if no turn waits.
    pub(crate) fn next_check(&self) -> Option<Duration> {
        if !self.queue.evicted.is_empty() {
            return Some(Duration::ZERO);
        }
        self.queue.deadlines.first().map(|(deadline, _)| (*deadline).min(self.queue.next_check))
    }

    /// Removes a waiting turn, because its client is gone or because it is sent without advice.
    pub fn withdraw(&mut self, waiting: WaitingId) {
        self.queue.remove(waiting);
    }

    /// Returns the budget that was charged for a turn that was placed and will not be sent.
    pub fn cancel_grant(&mut self, turn: &Turn) {
        let key = self.tail_key(turn);
        if let Some(grant) = self.queue.grants.get(&key).copied().filter(|g| !g.used) {
            self.sites.spend(grant.site, -grant.blocks);
            self.queue.grants.remove(&key);
        }
    }

    /// Admits a turn that misses `blocks` at this site, and charges the site's budget.
    pub(crate) fn grant(&mut self, now: Duration, turn: &Turn, site: u16, blocks: f64) {
        let key = self.tail_key(turn);
        self.cancel_grant(turn);
        self.sites.spend(site, blocks);
        self.queue.grants.insert(key, Grant { at: now, site, blocks, used: false });
        self.queue.grant_order.push_back((now, key));
        while let Some((at, key)) = self.queue.grant_order.front().copied() {
            let old = self.queue.grant_order.len() > MAX_GRANTS || now >= at + GRANT_TIMEOUT;
            if !old {
                break;
            }
            self.queue.grant_order.pop_front();
            if self.queue.grants.get(&key).is_some_and(|g| g.at == at) {
                self.queue.grants.remove(&key);
            }
        }
    }

    /// Charges the site's budget for an attempt that misses `missing` blocks there and recomputes them, unless the
    /// grant has already paid for it. Returns whether the attempt is a recomputation.
    pub(crate) fn charge(&mut self, turn: &Turn, lost: bool, site: u16, missing: f64) -> bool {
        let key = self.tail_key(turn);
        let Some(grant) = self.queue.grants.get_mut(&key) else {
            if lost {
                self.sites.spend(site, missing);
            }
            return lost;
        };
        let before = *grant;
        grant.used = true;
        #[cfg(test)]
        if self.fault == Some(crate::faults::Fault::RetryNotCharged) {
            return true;
        }
        // The caller may choose another site than the advised one. Both sites are charged then: if the first one were
        // refunded, its budget could be granted again and again to turns that all go to the other site.
        let paid = if !before.used && before.site == site { before.blocks } else { 0.0 };
        self.sites.spend(site, missing - paid);
        true
    }
}

#[cfg(test)]
mod tests;
