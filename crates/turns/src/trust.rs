//! Trust in tenants: a tenant whose prefixes are seldom found where they should be cached is distrusted, so that its
//! hashes influence neither placement nor what is learned about sites.

/// Slots for tenants; tenants that share a slot share its trust.
const TENANT_SLOTS: usize = 1024;
/// Weight of one answer.
const LEARNING_RATE: f32 = 0.1;
/// Up to this share of expected blocks found, relative to the mean of all tenants, a tenant is not trusted at all.
const ZERO_TRUST_SHARE: f32 = 0.25;
/// From this share on, a tenant is fully trusted.
const FULL_TRUST_SHARE: f32 = 0.6;

/// After this many answers in a row from the same tenant, it counts as the only active one. Misses are then
/// attributed to the sites, as there is no other tenant to compare with.
const SINGLE_TENANT_STREAK: u32 = 48;

/// The share of expected blocks that each tenant's turns find.
pub(crate) struct TenantTrust {
    shares: Vec<f32>,
    /// Mean share over all answers: when a site loses much, no single tenant is distrusted for it.
    mean_share: f32,
    /// The tenant of the last answer, and the number of its answers in a row.
    last: (u32, u32),
}

impl TenantTrust {
    pub fn new() -> Self {
        Self { shares: vec![1.0; TENANT_SLOTS], mean_share: 1.0, last: (0, 0) }
    }

    fn slot(tenant: u32) -> usize {
        (u64::from(tenant).wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 54) as usize % TENANT_SLOTS
    }

    /// Trust in the tenant's hashes, 0 to 1.
    pub fn get(&self, tenant: u32) -> f64 {
        if self.last.0 == tenant && self.last.1 >= SINGLE_TENANT_STREAK {
            return 1.0;
        }
        let share = self.shares[Self::slot(tenant)] / self.mean_share.max(ZERO_TRUST_SHARE);
        f64::from(((share - ZERO_TRUST_SHARE) / (FULL_TRUST_SHARE - ZERO_TRUST_SHARE)).clamp(0.0, 1.0))
    }

    /// Records that a turn of the tenant, expected to find its whole prefix, found this share of it.
    pub fn record_found(&mut self, tenant: u32, share: f32) {
        self.last = (tenant, if self.last.0 == tenant { self.last.1.saturating_add(1) } else { 1 });
        let share = share.clamp(0.0, 1.0);
        let slot = &mut self.shares[Self::slot(tenant)];
        *slot += (share - *slot) * LEARNING_RATE;
        // The mean moves slowly, and more slowly for a distrusted tenant, so that one tenant with many turns cannot
        // shift it quickly.
        self.mean_share += (share - self.mean_share) * LEARNING_RATE * 0.1 * (0.1 + *slot);
    }

    /// Number of slots whose tenants are not fully trusted.
    pub fn distrusted(&self) -> usize {
        self.shares.iter().filter(|s| **s / self.mean_share.max(ZERO_TRUST_SHARE) < FULL_TRUST_SHARE).count()
    }
}

#[cfg(test)]
mod tests;
