//! The view that operators see.

use std::time::Duration;

use crate::placement::TurnRouter;
use crate::types::SiteId;

/// One site.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SiteView {
    /// The site.
    pub site: SiteId,
    /// Whether the site is available, as last reported.
    pub present: bool,
    /// Its weight, 1 by default.
    pub weight: f64,
    /// Blocks that the site is expected to compute before it evicts a block.
    pub horizon: f64,
    /// Load from all activators relative to the mean of the available sites, not adjusted for weights.
    pub load: f64,
    /// Turns sent there by this activator.
    pub turns: u64,
    /// Blocks that this activator may have recomputed there now, and the refill rate in blocks per second.
    pub budget: (f64, f64),
    /// Number of times that its cache was lost.
    pub cache_losses: u16,
}

/// The state and the counters of this activator's router.
#[derive(Clone, Debug, PartialEq)]
pub struct View {
    /// All known sites.
    pub sites: Vec<SiteView>,
    /// Entries in the tables of conversations and of common prefixes.
    pub entries: (usize, usize),
    /// Entries evicted from both tables.
    pub evicted: u64,
    /// Memory of the tables in bytes.
    pub bytes: usize,
    /// Turns placed: all, for a cached conversation, for a cached common prefix, for load, and to be recomputed.
    pub placed: [u64; 5],
    /// Turns that had to wait for recomputation budget.
    pub queued: u64,
    /// Turns rejected for lack of recomputation budget.
    pub rejected: u64,
    /// Turns that wait now.
    pub waiting: usize,
    /// In answered turns whose hosts reported cache hits: blocks requested, expected to be cached, and found.
    pub blocks: [u64; 3],
    /// Turns that found less than half of the expected blocks.
    pub misses: u64,
    /// Number of times that a site's cache was found to be cleared.
    pub caches_found_empty: u64,
    /// Tenants that are not fully trusted.
    pub distrusted_tenants: usize,
    /// Activators that share the sites, including this one.
    pub activators: usize,
    /// Bytes sent, datagrams received, and datagrams that were not readable or not from a member.
    pub gossip: [u64; 3],
    /// Attempts in flight.
    pub open: usize,
}

impl TurnRouter {
    /// The current state and the counters since the start.
    pub fn view(&self, now: Duration) -> View {
        let up: Vec<u16> =
            (0..self.sites.all.len() as u16).filter(|i| self.sites.all[*i as usize].present).collect();
        let mean = up.iter().map(|i| self.sites.load(now, *i)).sum::<f64>() / up.len().max(1) as f64;
        let site = |(i, s): (usize, &crate::sites::SiteState)| SiteView {
            site: s.site,
            present: s.present,
            weight: s.weight,
            horizon: s.horizon(),
            load: self.sites.load(now, i as u16) / mean.max(1e-9),
            turns: s.turns,
            budget: self.sites.budget(i as u16),
            cache_losses: s.epoch,
        };
        let (c, (conversations, evicted), (common, evicted_common)) =
            (&self.counts, self.conversations.counts(), self.common.counts());
        View {
            sites: self.sites.all.iter().enumerate().map(site).collect(),
            entries: (conversations, common),
            evicted: evicted + evicted_common,
            bytes: self.conversations.bytes() + self.common.bytes(),
            placed: [c.placed, c.for_conversation, c.for_common_prefix, c.for_load, c.for_recompute],
            queued: c.queued,
            rejected: c.rejected,
            waiting: self.queue.len(),
            blocks: [c.requested, c.expected, c.found],
            misses: c.misses,
            caches_found_empty: c.caches_found_empty,
            distrusted_tenants: self.trust.distrusted(),
            activators: self.sites.activator_count.max(self.sites.activators()),
            gossip: [c.bytes_sent, c.received, c.unreadable],
            open: self.open.len(),
        }
    }
}
