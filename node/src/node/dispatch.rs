//! Connects the agreed settings, drafts and turns with the other activators and with each other: dispatches received
//! datagrams by kind, applies agreed drafts and site weights, and proposes learnt drafts as a change of the agreed settings.

use wheellink_accord::{ActiveTerms, Change, Key, Value};
use wheellink_drafts::{DraftTable, Workload};

use super::*;
use crate::membership::envelope::{Envelope, Kind};

impl Node {
    /// Dispatches the datagrams that the members' socket received. One for a feature that is off is dropped.
    pub(super) fn deliver_envelopes(&mut self, now: Micros) {
        let envelopes = self.membership.as_mut().map(Membership::take_envelopes).unwrap_or_default();
        for Envelope { from, kind, data } in envelopes {
            match kind {
                Kind::Accord => self.receive_accord(now, from, &data),
                Kind::Drafts => self.receive_drafts(now, from, &data),
                Kind::Turns => self.receive_turns(from.0, &data),
            }
        }
    }

    /// Applies the agreed drafts and site weights. Both are soft keys: while two versions are in force, the newer version's
    /// values apply.
    pub(super) fn apply_soft_terms(&mut self) {
        let agreed = self.agreed.as_ref().map(|agreed| (agreed.active(), agreed.newest_terms()));
        let Some((acting, terms)) = agreed else {
            self.drafts.iter_mut().for_each(|state| state.set_table(None));
            return self.set_site_weights(BTreeMap::new());
        };
        let version = acting.version().map(|version| version.number);
        let (drafts, sites) = terms.map(|t| (t.drafts.clone(), t.sites.clone())).unwrap_or_default();
        if let Some(state) = &mut self.drafts {
            let entry = |((workload, band), draft): ((String, u8), String)| {
                Some(((Workload::new(&workload).ok()?, band), draft.parse().ok()?))
            };
            let table: DraftTable = drafts.into_iter().filter_map(entry).collect();
            // Without a lease the document's floor applies, as version 0.
            state.set_table(Some((version.unwrap_or(0), table)));
        }
        self.set_site_weights(sites);
    }

    /// Sets the weights of sites. A site without an entry gets the default weight again.
    fn set_site_weights(&mut self, sites: BTreeMap<String, u32>) {
        let before = std::mem::replace(&mut self.site_weights, sites.clone());
        for label in before.keys().filter(|label| !sites.contains_key(*label)) {
            self.set_site_weight(label, wheellink_turns::DEFAULT_WEIGHT);
        }
        sites.iter().for_each(|(label, weight)| self.set_site_weight(label, *weight as u16));
    }

    /// Proposes the learnt drafts while a single version is in force. If two activators propose at once, the first proposal
    /// is accepted and the other activator evaluates its evidence again.
    pub(super) fn propose_drafts(&mut self, now: Micros) {
        if !self.drafts.as_ref().is_some_and(|state| state.has_proposal()) {
            return;
        }
        let Some(agreed) = &self.agreed else { return };
        let (ActiveTerms::Single(version, _), None) = (agreed.active(), agreed.pending()) else { return };
        let base = version.number;
        let Some(proposed) = self.drafts.as_mut().and_then(|state| state.take_proposal()) else { return };
        let entry = |(path, draft): (String, String)| Some((Key::new(&path).ok()?, Value::Text(draft)));
        let set: BTreeMap<_, _> = proposed.into_iter().filter_map(entry).collect();
        if !set.is_empty() {
            self.propose_internal(now, "drafts", Change { base, set, ..Change::default() });
        }
    }
}
