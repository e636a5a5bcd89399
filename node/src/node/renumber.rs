//! What is kept by index when the configuration is read again: classes, tenants and zones stand in lists, and a new
//! configuration may add, remove or move their entries.
//!
//! Whatever outlives a reload follows its entry by name. A request under way keeps the terms of its class as they were
//! when it arrived, even if the class is gone.

use wheellink::NewIndexes;

use super::*;

/// The class index of a request whose class is not in the configuration.
pub(super) const NO_CLASS: usize = usize::MAX;

/// The tenant index of a request whose tenant is gone.
const NO_TENANT: usize = usize::MAX;

/// The new indexes of what two deployments have in common.
pub(super) fn renumbering(before: &Deployment, after: &Deployment) -> Renumbering {
    Renumbering {
        classes: NewIndexes::between(&before.classes, &after.classes),
        tenants: NewIndexes::between(&before.tenants, &after.tenants),
        zones: NewIndexes::between(&before.zones, &after.zones),
    }
}

/// The new index of a class, or [`NO_CLASS`].
fn new_class(renumbering: &Renumbering, class: usize) -> usize {
    renumbering.classes.of(class).unwrap_or(NO_CLASS)
}

impl Node {
    /// Applies new indexes to everything that is kept by index. `self.config` is the new configuration already.
    pub(super) fn renumber(&mut self, now: Micros, renumbering: Renumbering) {
        if renumbering.is_identity() {
            return;
        }
        for pending in self.pending.values_mut() {
            pending.new.class = new_class(&renumbering, pending.new.class);
            pending.new.tenant = renumbering.tenant(pending.new.tenant);
            if let Some(info) = &mut pending.info {
                // One that is gone must not count as a request without a tenant.
                info.tenant = info.tenant.map(|tenant| renumbering.tenants.of(tenant).unwrap_or(NO_TENANT));
            }
        }
        for entry in self.dns_hosts.values_mut() {
            entry.zone = renumbering.zone(entry.zone);
        }
        if let Some(routing) = &mut self.turn_routing {
            routing.renumber(&renumbering);
        }
        self.admission.renumber(&renumbering);
        self.hosts.renumber(&renumbering);
        if let Mode::Platform(_, bus) = &mut self.mode {
            bus.renumber(&renumbering);
        }
        self.renumber_quotas(&renumbering);
        self.run_engine(|engine, out| engine.renumber(now, renumbering, out));
    }

    /// The terms of a class for a request that arrives now: those of the agreed settings, and during a rollout the stricter
    /// ones of both versions.
    pub(super) fn class_terms(&self, class: usize, name: &str) -> Option<Class> {
        let settings = self.agreed_settings();
        let mut terms = *settings.classes.get(class)?;
        if let Some(policy) = self.class_policy(name) {
            let attempts = terms.attempts.unwrap_or(settings.max_attempts);
            terms.effect = policy.effect();
            terms.attempts = Some(attempts.min(policy.attempts).max(1));
        }
        Some(terms)
    }

    /// Has the engine keep the terms under which the next request arrived, if they are not those of the settings any more.
    /// Where the class is still known, the stricter terms of both hold.
    pub(super) fn keep_arrival_terms(&mut self, now: Micros, class: usize, name: &str, terms: Option<Class>) {
        let Some(mut terms) = terms else { return };
        if let Some(current) = self.class_terms(class, name) {
            if current == terms {
                return;
            }
            terms.effect = terms.effect.stricter(current.effect);
            let default = self.agreed_settings().max_attempts;
            let attempts = |class: Class| class.attempts.unwrap_or(default);
            terms.attempts = Some(attempts(terms).min(attempts(current)));
        }
        self.run_engine(|engine, out| engine.keep_arrival_terms(now, terms, out));
    }
}

impl Incoming {
    /// Applies new indexes to a call that has not been submitted yet.
    pub(super) fn renumber(&mut self, renumbering: &Renumbering) {
        self.class = new_class(renumbering, self.class);
        self.tenant = renumbering.tenant(self.tenant);
        self.preferred.retain_mut(|location| location.renumber(renumbering));
    }
}
