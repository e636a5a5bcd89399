//! Whose turns tell the truth: a tenant whose prefixes are seldom found where they must lie is not believed, so that
//! its hashes neither steer nor teach.

/// Tenants are told apart in so many places; two that share one share its trust.
const PLACES: usize = 1024;
/// Weight of one answer.
const PACE: f32 = 0.1;
/// Below this share of what was expected a tenant is not believed at all.
const LEAST: f32 = 0.25;
/// Above this it is believed wholly.
const WHOLE: f32 = 0.6;

/// Who asks so often in a row is alone: what is not found is the sites' doing, as there is nobody to compare with.
const ALONE: u32 = 48;

/// See the module's page.
pub(crate) struct Trust {
    shares: Vec<f32>,
    /// Of everybody's answers: a site that loses much makes nobody a liar.
    all: f32,
    /// Who asked last, and how often in a row.
    last: (u32, u32),
}

impl Trust {
    pub fn new() -> Self {
        Self { shares: vec![1.0; PLACES], all: 1.0, last: (0, 0) }
    }

    fn place(tenant: u32) -> usize {
        (u64::from(tenant).wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 54) as usize % PLACES
    }

    /// How far the tenant's hashes are believed, 0 to 1.
    pub fn of(&self, tenant: u32) -> f64 {
        if self.last.0 == tenant && self.last.1 >= ALONE {
            return 1.0;
        }
        let share = self.shares[Self::place(tenant)] / self.all.max(LEAST);
        f64::from(((share - LEAST) / (WHOLE - LEAST)).clamp(0.0, 1.0))
    }

    /// A turn of the tenant that was expected to find all of its prefix found this share of it.
    pub fn learn(&mut self, tenant: u32, share: f32) {
        self.last = (tenant, if self.last.0 == tenant { self.last.1.saturating_add(1) } else { 1 });
        let share = share.clamp(0.0, 1.0);
        let place = &mut self.shares[Self::place(tenant)];
        *place += (share - *place) * PACE;
        // One tenant with many turns moves the mean slowly.
        self.all += (share - self.all) * PACE * 0.1 * (0.1 + *place);
    }

    /// Tenants that are not believed, or half.
    pub fn distrusted(&self) -> usize {
        self.shares.iter().filter(|s| **s / self.all.max(LEAST) < WHOLE).count()
    }
}

#[cfg(test)]
mod tests;
