//! What parts of this activator say to their like at the others: heard by kind, and handed to the part whose it is.

use super::*;
use crate::fellows::parcel::{Kind, Parcel};

impl Node {
    /// Hands on what the members' socket brought for other parts. What comes for one that is off is dropped.
    pub(super) fn hand_on_parcels(&mut self, now: Micros) {
        let parcels = self.fellows.as_mut().map(Fellows::parcels).unwrap_or_default();
        for Parcel { from, kind, data } in parcels {
            match kind {
                Kind::Accord => self.heard_accord(now, from, &data),
                Kind::Drafts => self.drafts_heard(now, from, &data),
                Kind::Turns => self.hear_of_turns(from.0, &data),
            }
        }
    }
}
