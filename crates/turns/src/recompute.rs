//! What was lost with a site is computed anew within a budget: who goes, who waits, and who is given up. See
//! docs/design/turns.md, "A budget that holds".

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use crate::placement::{Known, TurnRouter};
use crate::types::*;

/// Turns of lost sites whose rank is remembered, to know which of them come first.
const RECENT: usize = 64;
/// Memory of how much is asked to be computed anew, in seconds.
const DEMAND_MEMORY: f64 = 1.0;
/// Turns that were let go and whose attempts may still go elsewhere; of more the oldest is forgotten.
const MOST_GRANTS: usize = 4_096;
/// For so long after it was let go, an attempt of a turn pays wherever it goes.
const GRANT_FOR: Duration = Duration::from_secs(120);
/// Between two looks at those that wait, at the least.
const LOOK_EVERY: Duration = Duration::from_millis(10);
/// What is missing by less than this many blocks is not worth a budget.
pub(crate) const LEAST: f64 = 1.0;

/// The order of turns that wait: by worth times length, and of equals the first that came.
type Rank = (u64, Reverse<u64>);

/// A turn that waits.
#[derive(Debug)]
struct Held {
    turn: Turn,
    until: Duration,
    blocks: f64,
    /// Of the lately displaced ones, this part came before it.
    place: f64,
}

/// A turn that was let go.
#[derive(Clone, Copy, Debug)]
struct Grant {
    at: Duration,
    site: u16,
    blocks: f64,
    /// An attempt of it was sent.
    used: bool,
}

/// See the module's page.
#[derive(Debug, Default)]
pub(crate) struct RecomputeQueue {
    held: BTreeMap<Rank, Held>,
    ranks: BTreeMap<WaitingId, Rank>,
    ends: BTreeSet<(Duration, WaitingId)>,
    next: u64,
    /// Pushed out by worthier ones, to be told with the next release.
    pushed: VecDeque<WaitingId>,
    grants: BTreeMap<u64, Grant>,
    order: VecDeque<(Duration, u64)>,
    recent: VecDeque<u64>,
    demand: f64,
    demand_at: Duration,
    look_at: Duration,
}

/// Worth times length, as a number that sorts like it.
fn value(turn: &Turn, known: &Known) -> u64 {
    // Positive floats sort as their bits do.
    (turn.worth.clamp(0.0, 1e3) * f64::from(known.displaced)).to_bits()
}

impl RecomputeQueue {
    /// Turns that wait.
    pub fn waiting(&self) -> usize {
        self.ranks.len()
    }

    fn remove(&mut self, waiting: WaitingId) -> Option<Held> {
        let held = self.held.remove(&self.ranks.remove(&waiting)?)?;
        self.ends.remove(&(held.until, waiting));
        Some(held)
    }

    /// Part of the lately displaced turns that come before this one; it is one of them from now on.
    fn place_of(&mut self, value: u64) -> f64 {
        let above = self.recent.iter().filter(|v| **v > value).count() as f64;
        let place = above / (self.recent.len() as f64 + 1.0);
        if self.recent.len() >= RECENT {
            self.recent.pop_front();
        }
        self.recent.push_back(value);
        place
    }

    fn asked(&mut self, now: Duration, blocks: f64) {
        let past = now.saturating_sub(self.demand_at).as_secs_f64();
        self.demand = self.demand * (-past / DEMAND_MEMORY).exp() + blocks / DEMAND_MEMORY;
        self.demand_at = self.demand_at.max(now);
    }
}

impl TurnRouter {
    /// Blocks that a turn lacks wherever it goes because what held it is lost; none where it lacks none.
    pub(crate) fn lacks(known: &Known) -> Option<f64> {
        let best = known.held.iter().map(|h| h.expected()).fold(0.0, f64::max);
        let lacks = f64::from(known.displaced) - best;
        (lacks >= LEAST).then_some(lacks)
    }

    /// Whether this activator may have a block more computed anew at the site now.
    pub(crate) fn affords(&self, place: u16) -> bool {
        self.sites.budget(place).0 > 0.0
    }

    /// Whether a turn that lacks so much goes now, waits, or is given up.
    pub(crate) fn weigh_anew(
        &mut self,
        now: Duration,
        turn: &Turn,
        known: &Known,
        lacks: f64,
        places: &[(SiteStatus, u16)],
    ) -> Decision {
        self.recompute.asked(now, lacks);
        let value = value(turn, known);
        let place = self.recompute.place_of(value);
        let first = self.recompute.held.last_key_value().is_none_or(|((v, _), _)| value > *v);
        if first && self.goes(place, places) {
            return Decision::Dispatch;
        }
        let until = now + turn.time_left.mul_f64(self.settings.max_wait_share);
        if until <= now || !self.is_served_by(now, until, value, places) {
            return Decision::Reject;
        }
        self.recompute.next += 1;
        let (waiting, rank) = (WaitingId(self.recompute.next), (value, Reverse(self.recompute.next)));
        let full = self.recompute.ranks.len() >= MAX_WAITING_TURNS;
        #[cfg(test)]
        let full = full && self.flaw != Some(crate::faults::Fault::WaitsWithoutBound);
        if full {
            let Some((lowest, _)) =
                self.recompute.held.first_key_value().filter(|(lowest, _)| **lowest < rank)
            else {
                return Decision::Reject;
            };
            let lowest = WaitingId(lowest.1 .0);
            self.recompute.remove(lowest);
            self.recompute.pushed.push_back(lowest);
            self.recompute.look_at = now;
        }
        self.recompute.held.insert(rank, Held { turn: turn.clone(), until, blocks: lacks, place });
        self.recompute.ranks.insert(waiting, rank);
        self.recompute.ends.insert((until, waiting));
        self.recompute.look_at = self.recompute.look_at.max(now).min(now + LOOK_EVERY);
        Decision::Wait(waiting, until)
    }

    /// Whether one goes of which this part of the others come first: as large a part goes as the budget is of what is
    /// asked, and a larger one the fuller the buckets are.
    fn goes(&self, place: f64, places: &[(SiteStatus, u16)]) -> bool {
        let mut with = places.iter().filter(|(_, p)| self.affords(*p)).peekable();
        if with.peek().is_none() {
            return false;
        }
        let fill = with.map(|(_, p)| self.sites.budget_fill(*p)).fold(0.0, f64::max);
        let rate: f64 = places.iter().map(|(_, p)| self.sites.budget(*p).1).sum();
        place <= (rate / self.recompute.demand.max(1e-9)).max(fill)
    }

    /// Whether budgets will have room by then for a turn of this value, after those that come first. If not, its
    /// client had better know now.
    fn is_served_by(&self, now: Duration, until: Duration, value: u64, places: &[(SiteStatus, u16)]) -> bool {
        let wait = until.saturating_sub(now).as_secs_f64();
        let by_then = |(_, p): &(SiteStatus, u16)| {
            let (budget, rate) = self.sites.budget(*p);
            (budget + rate * wait).max(0.0)
        };
        let room: f64 = places.iter().map(by_then).sum();
        let first = self.recompute.held.range((value, Reverse(u64::MAX))..);
        room > first.map(|(_, h)| h.blocks).sum::<f64>()
    }

    /// The next turn that waits no longer, and where it goes; none when all others wait on. To be asked until it says so, at
    /// [`TurnRouter::wake_at`] and whenever turns ended.
    pub fn release(&mut self, now: Duration, sites: &[SiteStatus]) -> Option<(WaitingId, Advice)> {
        let given_up = Advice { choices: Vec::new(), decision: Decision::Reject };
        if let Some(pushed) = self.recompute.pushed.pop_front() {
            self.counts.rejected += 1;
            return Some((pushed, given_up));
        }
        if self.recompute.ranks.is_empty() {
            return None;
        }
        let places = self.stand(now, sites);
        let affords = places.iter().any(|(_, p)| self.affords(*p));
        let over = self.recompute.ends.first().copied().filter(|(until, _)| *until <= now);
        let best =
            self.recompute.held.last_key_value().map(|(rank, held)| (WaitingId(rank.1 .0), held.place));
        #[cfg(test)]
        let best = match self.flaw {
            Some(crate::faults::Fault::LeastFirst) => {
                self.recompute.held.first_key_value().map(|(rank, held)| (WaitingId(rank.1 .0), held.place))
            }
            _ => best,
        };
        // If the time of one is over and there is budget, the best goes before it: nobody is given up for a lesser one.
        let goes = best.filter(|(_, place)| affords && (over.is_some() || self.goes(*place, &places)));
        if let Some((best, _)) = goes {
            let held = self.recompute.remove(best)?;
            return Some((best, self.advise(now, &held.turn, &places, true)));
        }
        #[cfg(test)]
        if self.flaw == Some(crate::faults::Fault::WaitsBeyondItsTime) {
            let over = over.filter(|(until, _)| *until + Duration::from_secs(1) > now);
            if over.is_some() {
                return None;
            }
        }
        if let Some((_, waiting)) = over {
            // A site may hold it by now: another turn of its conversation went there.
            let held = self.recompute.remove(waiting)?;
            let displaced = Self::lacks(&self.know(&held.turn)).is_some();
            if !displaced && !places.is_empty() {
                return Some((waiting, self.advise(now, &held.turn, &places, true)));
            }
            self.counts.rejected += 1;
            return Some((waiting, given_up));
        }
        let soon = |(_, p): &(SiteStatus, u16)| {
            let (budget, rate) = self.sites.budget(*p);
            Duration::try_from_secs_f64((-budget).max(0.0) / rate.max(1e-9)).ok()
        };
        let soon = places.iter().filter_map(soon).min().unwrap_or(Duration::MAX).max(LOOK_EVERY);
        self.recompute.look_at = now.saturating_add(soon);
        None
    }

    /// When [`TurnRouter::release`] is wanted next; never while nothing waits.
    pub(crate) fn look_at(&self) -> Option<Duration> {
        if !self.recompute.pushed.is_empty() {
            return Some(Duration::ZERO);
        }
        self.recompute.ends.first().map(|(until, _)| (*until).min(self.recompute.look_at))
    }

    /// The client of a turn that waits is gone, or it is sent without advice.
    pub fn withdraw(&mut self, waiting: WaitingId) {
        self.recompute.remove(waiting);
    }

    /// A turn that was placed and is not to be sent: what was set aside for it is for others.
    pub fn cancel_grant(&mut self, turn: &Turn) {
        let key = self.tail(turn);
        if let Some(grant) = self.recompute.grants.get(&key).copied().filter(|g| !g.used) {
            self.sites.spend(grant.site, -grant.blocks);
            self.recompute.grants.remove(&key);
        }
    }

    /// A turn that lacks so much at this site is let go there, which pays for it now.
    pub(crate) fn grant(&mut self, now: Duration, turn: &Turn, site: u16, blocks: f64) {
        let key = self.tail(turn);
        self.cancel_grant(turn);
        self.sites.spend(site, blocks);
        self.recompute.grants.insert(key, Grant { at: now, site, blocks, used: false });
        self.recompute.order.push_back((now, key));
        while let Some((at, key)) = self.recompute.order.front().copied() {
            let old = self.recompute.order.len() > MOST_GRANTS || now >= at + GRANT_FOR;
            if !old {
                break;
            }
            self.recompute.order.pop_front();
            if self.recompute.grants.get(&key).is_some_and(|g| g.at == at) {
                self.recompute.grants.remove(&key);
            }
        }
    }

    /// An attempt is sent that misses so much at this site: if it is computed anew, the site's budget pays, unless it
    /// has paid when the turn was let go. Whether it is.
    pub(crate) fn pay(&mut self, turn: &Turn, displaced: bool, site: u16, missing: f64) -> bool {
        let key = self.tail(turn);
        let Some(grant) = self.recompute.grants.get_mut(&key) else {
            if displaced {
                self.sites.spend(site, missing);
            }
            return displaced;
        };
        let before = *grant;
        grant.used = true;
        #[cfg(test)]
        if self.flaw == Some(crate::faults::Fault::SecondSiteIsFree) {
            return true;
        }
        // The module may choose another site than the one advised. Then both pay: were the first one given its own back, it
        // could be set aside again and again for turns that all go to the other.
        let paid = if !before.used && before.site == site { before.blocks } else { 0.0 };
        self.sites.spend(site, missing - paid);
        true
    }
}

#[cfg(test)]
mod tests;
