//! What one of many routers may send to a starting worker, so that chance takes the sum of all over
//! what the worker stands in next to no window. Pure arithmetic; `docs/design/fleet.md` has the
//! derivation.

/// Part of the allowed load that is used at the most. The rest covers estimates that are wrong and
/// unequal work.
const ESTIMATE_MARGIN: f64 = 0.6;
/// Distance of the roots of mean and limit at which a Poisson count is above the limit in a few windows
/// of a million at the most: 4.2 standard deviations, as the root of a count scatters by one half
/// whatever its mean.
const ROOT_DISTANCE: f64 = 2.1;

/// Requests within one window up to which a worker stands, where the settings allow it `allowed`: what
/// they grant for chance is about two standard deviations.
fn limit(allowed: f64) -> f64 {
    let root = allowed.sqrt();
    (allowed + 2.0 * root + 2.0).min(allowed + 2.0 * (allowed + 2.0).sqrt())
}

/// Mean number of requests within one window that each of `routers` may send, where the settings allow
/// `allowed` from each. The whole part of it is sent for sure, the rest by lot: one request more, or
/// none.
pub fn share_per_router(allowed: f64, routers: f64) -> f64 {
    let part = ESTIMATE_MARGIN * allowed;
    let left_to_chance = limit(allowed * routers) - part.floor() * routers;
    if routers <= left_to_chance {
        // Also with every lot drawn it stands.
        return part;
    }
    let beyond_chance = (left_to_chance.max(0.0).sqrt() - ROOT_DISTANCE).max(0.0).powi(2);
    part.floor() + part.fract().min(beyond_chance / routers)
}
