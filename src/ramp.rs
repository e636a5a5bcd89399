//! How many requests each router may send to a starting worker, so that the random sum over all routers
//! almost never exceeds what the worker can take within a window. Pure arithmetic; the derivation is in
//! `docs/design/fleet.md`.

/// Maximum share of the allowed load that is used. The rest covers wrong estimates and unequal work.
const ESTIMATE_MARGIN: f64 = 0.6;
/// Distance between the square roots of mean and limit at which a Poisson count exceeds the limit in at
/// most a few of a million windows. It is 4.2 standard deviations: the standard deviation of the root of a
/// count is one half, whatever its mean.
const ROOT_DISTANCE: f64 = 2.1;

/// Requests within one window that a worker can take where the settings allow a mean of `allowed`: the
/// settings add about two standard deviations for chance.
fn limit(allowed: f64) -> f64 {
    let root = allowed.sqrt();
    (allowed + 2.0 * root + 2.0).min(allowed + 2.0 * (allowed + 2.0).sqrt())
}

/// Mean number of requests within one window that each of `routers` may send, where the settings allow
/// `allowed` from each. The integer part is always sent; the fraction is the probability of one more.
pub fn share_per_router(allowed: f64, routers: f64) -> f64 {
    let part = ESTIMATE_MARGIN * allowed;
    let left_to_chance = limit(allowed * routers) - part.floor() * routers;
    if routers <= left_to_chance {
        // The worker can take even one additional request from every router.
        return part;
    }
    let beyond_chance = (left_to_chance.max(0.0).sqrt() - ROOT_DISTANCE).max(0.0).powi(2);
    part.floor() + part.fract().min(beyond_chance / routers)
}
