//! What staff see.

use std::time::Duration;

use crate::placement::TurnRouter;
use crate::types::SiteId;

/// One site.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SiteView {
    /// Which.
    pub site: SiteId,
    /// It is there, as far as was told.
    pub present: bool,
    /// Its weight, 1 for the usual.
    pub weight: f64,
    /// Blocks that it is believed to compute before it lets go of what it was sent.
    pub horizon: f64,
    /// Load of all activators over the mean of the sites that are there, before weights.
    pub load: f64,
    /// Turns sent there by this activator.
    pub turns: u64,
    /// Blocks that this activator may have computed anew there now, and how many more a second.
    pub recompute_budget: (f64, f64),
    /// Times that its cache was lost.
    pub cache_losses: u16,
}

/// What this activator believes and has done.
#[derive(Clone, Debug, PartialEq)]
pub struct View {
    /// Every site met.
    pub sites: Vec<SiteView>,
    /// Conversations and common prefixes known; those that made room for others.
    pub entries: (usize, usize),
    /// Entries that made room for others.
    pub evicted: u64,
    /// Bytes that the tables take.
    pub bytes: usize,
    /// Turns placed, and of these for what is held, for what is common, for load, and anew.
    pub placed: [u64; 5],
    /// Turns that were held back for the budget of computing anew, and those that were given up for it.
    pub queued: u64,
    /// See [`View::queued`].
    pub rejected: u64,
    /// Turns that wait now.
    pub waiting: usize,
    /// Blocks asked for in answered turns that told of them, expected to be found, and found.
    pub blocks: [u64; 3],
    /// Turns that found less than half of what was expected.
    pub misses: u64,
    /// Sites whose cache was found to be gone.
    pub caches_found_empty: u64,
    /// Tenants that are not wholly believed.
    pub distrusted_tenants: usize,
    /// Activators that share the sites, this one among them.
    pub activators: usize,
    /// Bytes told; datagrams heard, and those that could not be read.
    pub gossip: [u64; 3],
    /// Attempts that are out.
    pub open_attempts: usize,
}

impl TurnRouter {
    /// What is believed and was done so far.
    pub fn view(&self, now: Duration) -> View {
        let there: Vec<u16> =
            (0..self.sites.all.len() as u16).filter(|i| self.sites.all[*i as usize].there).collect();
        let mean = there.iter().map(|i| self.sites.load(now, *i)).sum::<f64>() / there.len().max(1) as f64;
        let site = |(i, s): (usize, &crate::sites::SiteState)| SiteView {
            site: s.site,
            present: s.there,
            weight: s.weight,
            horizon: s.horizon(),
            load: self.sites.load(now, i as u16) / mean.max(1e-9),
            turns: s.turns,
            recompute_budget: self.sites.budget(i as u16),
            cache_losses: s.life,
        };
        let (c, (tails, pushed), (commons, pushed_too)) =
            (&self.counts, self.tails.counts(), self.commons.counts());
        View {
            sites: self.sites.all.iter().enumerate().map(site).collect(),
            entries: (tails, commons),
            evicted: pushed + pushed_too,
            bytes: self.tails.bytes() + self.commons.bytes(),
            placed: [c.placed, c.for_held, c.for_common, c.for_load, c.for_recompute],
            queued: c.queued,
            rejected: c.rejected,
            waiting: self.recompute.waiting(),
            blocks: [c.asked, c.expected, c.found],
            misses: c.misses,
            caches_found_empty: c.caches_found_empty,
            distrusted_tenants: self.trust.distrusted(),
            activators: self.sites.activator_count.max(self.sites.activators()),
            gossip: [c.bytes_sent, c.received, c.unreadable],
            open_attempts: self.open.len(),
        }
    }
}
