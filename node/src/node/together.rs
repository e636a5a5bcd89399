//! What parts of this activator say to their like at the others: heard by kind, and handed to the part whose it is.
//! And what they say to each other: what is agreed says how far to draft and what weight sites have, and what is learnt of
//! drafts is put forward as a change of what is agreed.

use wheellink_accord::{ActiveTerms, Change, Key, Value};
use wheellink_drafts::{DraftTable, Workload};

use super::*;
use crate::membership::envelope::{Envelope, Kind};

impl Node {
    /// Hands on what the members' socket brought for other parts. What comes for one that is off is dropped.
    pub(super) fn deliver_envelopes(&mut self, now: Micros) {
        let envelopes = self.membership.as_mut().map(Membership::take_envelopes).unwrap_or_default();
        for Envelope { from, kind, data } in envelopes {
            match kind {
                Kind::Accord => self.receive_accord(now, from, &data),
                Kind::Drafts => self.drafts_heard(now, from, &data),
                Kind::Turns => self.receive_turns(from.0, &data),
            }
        }
    }

    /// Hands drafts and sites what is obeyed from now on. Soft both: on two versions at once, the newer's.
    pub(super) fn share_agreed(&mut self) {
        let agreed = self.agreed.as_ref().map(|agreed| (agreed.active(), agreed.newest_terms()));
        let Some((acting, terms)) = agreed else {
            self.drafting.iter_mut().for_each(|drafting| drafting.set_table(None));
            return self.weigh_sites(BTreeMap::new());
        };
        let version = acting.version().map(|version| version.number);
        let (drafts, sites) = terms.map(|t| (t.drafts.clone(), t.sites.clone())).unwrap_or_default();
        if let Some(drafting) = &mut self.drafting {
            let entry = |((word, band), draft): ((String, u8), String)| {
                Some(((Workload::new(&word).ok()?, band), draft.parse().ok()?))
            };
            let table: DraftTable = drafts.into_iter().filter_map(entry).collect();
            // Without a lease the document's floor holds, as version 0.
            drafting.set_table(Some((version.unwrap_or(0), table)));
        }
        self.weigh_sites(sites);
    }

    /// Sites of which nothing is said any more have the usual weight again.
    fn weigh_sites(&mut self, sites: BTreeMap<String, u32>) {
        let before = std::mem::replace(&mut self.site_weights, sites.clone());
        for label in before.keys().filter(|label| !sites.contains_key(*label)) {
            self.set_site_weight(label, wheellink_turns::DEFAULT_WEIGHT);
        }
        sites.iter().for_each(|(label, weight)| self.set_site_weight(label, *weight as u16));
    }

    /// Puts forward what was learnt of drafts, where one version alone is in force: two that do so at once differ in
    /// nothing but who is first, and the other looks again.
    pub(super) fn propose_drafts(&mut self, now: Micros) {
        if !self.drafting.as_ref().is_some_and(|drafting| drafting.wants()) {
            return;
        }
        let Some(agreed) = &self.agreed else { return };
        let (ActiveTerms::Single(version, _), None) = (agreed.active(), agreed.pending()) else { return };
        let base = version.number;
        let Some(wanted) = self.drafting.as_mut().and_then(|drafting| drafting.take_wanted()) else { return };
        let entry = |(path, draft): (String, String)| Some((Key::new(&path).ok()?, Value::Text(draft)));
        let set: BTreeMap<_, _> = wanted.into_iter().filter_map(entry).collect();
        if !set.is_empty() {
            self.propose_internal(now, "drafts", Change { base, set, ..Change::default() });
        }
    }
}
