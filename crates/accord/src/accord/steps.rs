//! The accord's work on whole documents: what is under way, and what becomes of it once it is done.
//!
//! One piece of each kind is under way at most. Each is for one version or record; what comes of it when another took its
//! place meanwhile is let go, so nothing is acted on that was worked out for something else.

use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;

use super::{Accord, Wish};
use crate::change::{Change, ChangeError, Judging, Making};
use crate::document::{Digest, Document};
use crate::fetch::Fetched;
use crate::table::{Phase, ProposalId, Record, Version};
use crate::view::{Acting, Out, Refusal, Rejected};
use crate::work::{Budget, Covers, Grave, Strictest, Whole, STEP};

/// See the file's page.
#[derive(Debug)]
pub(super) struct Steps {
    budget: Budget,
    /// Apart, as how many others hold a document must not change what is done when.
    freeing: Budget,
    pub(super) grave: Grave,
    /// A change of this one's own that is on its way to be a document.
    making: Option<(ProposalId, Version, Making)>,
    /// A version that is looked at beside this one's own floor before it is prepared.
    checking: Option<(Version, Covers)>,
    /// The record that is to be obeyed next.
    adopting: Option<Adopting>,
    /// A wish of this proposal.
    judging: Option<(ProposalId, Judging)>,
}

impl Default for Steps {
    fn default() -> Steps {
        Steps {
            budget: Budget::of(STEP),
            freeing: Budget::of(0),
            grave: Grave::default(),
            making: None,
            checking: None,
            adopting: None,
            judging: None,
        }
    }
}

impl Steps {
    pub(super) fn refill(&mut self) {
        self.budget.refill(STEP);
    }

    pub(super) fn is_making(&self) -> bool {
        self.making.is_some()
    }
}

/// What a record says is to be obeyed, and the floor with it.
#[derive(Debug)]
struct Adopting {
    record: Record,
    new: Whole,
    /// The terms of both, of a record of two.
    both: Option<(Version, Version, Strictest)>,
    obeyed: Option<Acting>,
    floor: Strictest,
}

impl Adopting {
    fn step(&mut self, budget: &mut Budget, grave: &mut Grave) -> Poll<(Acting, Arc<Document>)> {
        let obeyed = match (&self.obeyed, &mut self.both) {
            (Some(obeyed), _) => obeyed.clone(),
            (None, None) => Acting::One(self.record.obeyed(), self.new.document.clone()),
            (None, Some((old, new, terms))) => match terms.step(budget, grave) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(terms) => Acting::Both { old: *old, new: *new, terms },
            },
        };
        self.obeyed = Some(obeyed.clone());
        self.floor.step(budget, grave).map(|floor| (obeyed, floor))
    }

    fn leave(self, grave: &mut Grave) {
        grave.document(self.new.document);
        grave.document(self.new.floor);
        self.both.into_iter().for_each(|(.., terms)| terms.leave(grave));
        self.obeyed.into_iter().for_each(|obeyed| grave.document(obeyed.terms().clone()));
        self.floor.leave(grave);
    }
}

impl Accord {
    /// Whether [`Accord::work`] has something to do. Nothing is lost if it is called late, but what waits for it.
    pub fn has_work(&self) -> bool {
        let steps = &self.steps;
        steps.making.is_some()
            || steps.checking.is_some()
            || steps.adopting.is_some()
            || steps.judging.is_some()
            || self.fetch.as_ref().is_some_and(|fetch| fetch.has_work())
            || self.store.has_work()
            || steps.grave.has_work()
    }

    /// Goes on with work on whole documents, of at most [`STEP`] entries and what one bucket of a document holds, and
    /// frees as many. To be called again, after others had their turn, while [`Accord::has_work`] says so. The other
    /// calls do only what is left of the last such step.
    pub fn work(&mut self, now: Duration, out: &mut Vec<Out>) {
        self.check_lease(now, out);
        self.steps.refill();
        self.finish(now, out);
        self.steps.freeing.refill(STEP);
        self.steps.grave.step(&mut self.steps.freeing);
    }

    /// Entries touched by work on whole documents, and by freeing them, since the beginning. For tests of the bound.
    #[doc(hidden)]
    pub fn touched(&self) -> (u64, u64) {
        (self.steps.budget.touched(), self.steps.freeing.touched())
    }

    /// Goes on with the most urgent piece. False if there is none, or nothing is left of this step.
    pub(super) fn step(&mut self, now: Duration, out: &mut Vec<Out>) -> bool {
        if self.steps.budget.is_spent() {
            return false;
        }
        let Steps { budget, grave, making, checking, adopting, judging, .. } = &mut self.steps;
        if let Some(under_way) = adopting {
            let done = under_way.step(budget, grave);
            let Poll::Ready((obeyed, floor)) = done else { return false };
            if let Some(under_way) = adopting.take() {
                let record = under_way.record;
                under_way.leave(grave);
                self.adopted(now, record, obeyed, floor, out);
            }
        } else if let Some((version, covers)) = checking {
            let (version, Poll::Ready(open)) = (*version, covers.step(budget)) else { return false };
            checking.take().into_iter().for_each(|(_, covers)| covers.leave(grave));
            self.checked(now, version, open.map(|key| key.to_string()), out);
        } else if let Some((id, under_way)) = judging {
            let (id, Poll::Ready(word)) = (*id, under_way.step(budget)) else { return false };
            judging.take().into_iter().for_each(|(_, under_way)| under_way.leave(grave));
            self.judged(now, id, word, out);
        } else if let Some((id, base, under_way)) = making {
            let (id, base) = (*id, *base);
            let Poll::Ready(result) = under_way.step(budget) else { return false };
            making.take().into_iter().for_each(|(.., under_way)| under_way.leave(grave));
            match result {
                Ok(whole) => {
                    let old = self.store.get(base.digest).cloned();
                    match old.map(|old| self.next_list(&old, &whole.document)) {
                        Some(Err(why)) => {
                            out.push(Out::Settled { change: id, result: Err(Rejected::Voters(why)) })
                        }
                        _ => self.made(now, id, base, whole, out),
                    }
                }
                Err(why) => out.push(Out::Settled { change: id, result: Err(Rejected::Change(why)) }),
            }
        } else if self.fetch.as_ref().is_some_and(|fetch| fetch.has_work()) {
            let came = self.fetch.as_mut().and_then(|fetch| fetch.step(budget, grave));
            let Some(came) = came else { return false };
            self.came(now, came, out);
        } else if self.store.has_work() {
            let waited = self.store.write(budget, grave);
            if waited.is_empty() && self.store.has_work() {
                return false;
            }
            waited.into_iter().for_each(|wanted| self.wanted(wanted, out));
        } else {
            return false;
        }
        true
    }

    // ---- a change of this one's own ----------------------------------------------------------------------------

    /// Begins to make it; what came of it, if it was done at once.
    pub(super) fn make(
        &mut self,
        id: ProposalId,
        base: Version,
        change: Change,
        document: Whole,
    ) -> Option<Result<Whole, ChangeError>> {
        let mut making = Making::new(change, document);
        match making.step(&mut self.steps.budget) {
            Poll::Ready(result) => {
                making.leave(&mut self.steps.grave);
                Some(result)
            }
            Poll::Pending => {
                self.steps.making = Some((id, base, making));
                None
            }
        }
    }

    /// Sends it on its way, unless another version came into force while it was made.
    pub(super) fn made(
        &mut self,
        now: Duration,
        id: ProposalId,
        base: Version,
        made: Whole,
        out: &mut Vec<Out>,
    ) {
        if self.known.phase != Phase::Pure(base) {
            let result = Err(match self.known.coming() {
                Some(version) => Rejected::Busy(version),
                None => Rejected::Stale(self.known.obeyed()),
            });
            self.steps.grave.document(made.document);
            self.steps.grave.document(made.floor);
            return out.push(Out::Settled { change: id, result });
        }
        let new = Version { number: base.number + 1, digest: made.document.digest() };
        self.keep(new.digest, made);
        let until = now + self.settings.patience * 2;
        self.mine = Some(super::Mine { id, base, new, until, tries: 0 });
        self.push_mine(now, out);
    }

    // ---- another's change --------------------------------------------------------------------------------------

    /// Begins to look whether the wish may be made, if both documents are here.
    pub(super) fn judge(&mut self) {
        let Some(Wish { id, base, new, .. }) = &self.wish else { return };
        if self.steps.judging.as_ref().is_some_and(|(judged, _)| judged == id) {
            return;
        }
        let (Some(base), Some(newer)) = (self.store.whole(base.digest), self.store.whole(new.digest)) else {
            return;
        };
        let judging = (*id, Judging::new(base.clone(), newer.clone()));
        if let Some((_, superseded)) = self.steps.judging.replace(judging) {
            superseded.leave(&mut self.steps.grave);
        }
    }

    fn judged(&mut self, now: Duration, id: ProposalId, word: Result<bool, ChangeError>, out: &mut Vec<Out>) {
        let Some(Wish { base, new, .. }) = self.wish.as_ref().filter(|wish| wish.id == id) else { return };
        let documents = self.store.get(base.digest).cloned().zip(self.store.get(new.digest).cloned());
        let Some((old, new)) = documents else { return };
        let word = word.map_err(|why| why.to_string());
        match word.and_then(|tightens| Ok((tightens, self.next_list(&old, &new)?))) {
            Ok(judged) => self.wish.iter_mut().for_each(|wish| wish.judged = Some(judged)),
            Err(why) => {
                self.wish = None;
                return out.push(Out::Note(format!("change of {} refused: {why}", id.name)));
            }
        }
        self.drive(now, out);
    }

    // ---- a version that is to be prepared, and obeyed ----------------------------------------------------------

    /// Begins to look whether this one's own fallback is looser than a document, or than its floor.
    pub(super) fn check_floor(&mut self, version: Version) {
        if self.steps.checking.as_ref().is_some_and(|(checked, _)| *checked == version) {
            return;
        }
        let Some(whole) = self.store.whole(version.digest) else { return };
        let covers = Covers::new([(&whole.document, &self.file), (&whole.floor, &self.file)]);
        if let Some((_, superseded)) = self.steps.checking.replace((version, covers)) {
            superseded.leave(&mut self.steps.grave);
        }
    }

    fn checked(&mut self, now: Duration, version: Version, open: Option<String>, out: &mut Vec<Out>) {
        let wanted = self.known.versions().any(|known| known.digest == version.digest);
        match (open, self.store.get(version.digest).cloned().filter(|_| wanted)) {
            (_, None) => self.advance(),
            (Some(key), Some(_)) => {
                self.said(version, Err(Refusal::Floor(key)), out);
                self.advance();
                self.ask_leases(now, true, out);
            }
            (None, Some(document)) => {
                self.handed_out = Some(version.digest);
                out.push(Out::Prepare { version, document });
            }
        }
    }

    /// Begins to work out what the newest record says is to be obeyed, if that was prepared.
    pub(super) fn adopt(&mut self) {
        let record = self.known;
        if self.steps.adopting.as_ref().is_some_and(|adopting| adopting.record == record) {
            return;
        }
        let newest = record.obeyed();
        if self.prepared.get(&newest.digest) != Some(&Ok(())) {
            return;
        }
        let Some(new) = self.store.whole(newest.digest).cloned() else { return };
        let (both, floor) = match record.phase {
            Phase::Pure(_) | Phase::Prepare { .. } => (None, Strictest::new(&self.file, &[&new.floor])),
            Phase::Joint { old, new: version } => {
                let Some(before) = self.store.whole(old.digest) else { return };
                let terms = Strictest::new(&before.document, &[&new.document]);
                // The file's with the strictest of both floors: of hard keys the order makes no difference.
                let floor = Strictest::new(&self.file, &[&before.floor, &new.floor]);
                (Some((old, version, terms)), floor)
            }
        };
        let adopting = Adopting { record, new, both, obeyed: None, floor };
        if let Some(superseded) = self.steps.adopting.replace(adopting) {
            superseded.leave(&mut self.steps.grave);
        }
    }

    fn adopted(
        &mut self,
        now: Duration,
        record: Record,
        obeyed: Acting,
        floor: Arc<Document>,
        out: &mut Vec<Out>,
    ) {
        if record != self.known {
            // A newer one is known by now: that one, if it can be.
            self.steps.grave.document(obeyed.terms().clone());
            self.steps.grave.document(floor);
            return self.advance();
        }
        let same = self.obeyed == obeyed;
        self.adopted = record;
        self.holder.keep(record.mark, record.quorum(), |name| record.lists.contains(name));
        let before = std::mem::replace(&mut self.obeyed, obeyed);
        self.steps.grave.document(before.terms().clone());
        self.steps.grave.document(std::mem::replace(&mut self.floor, floor));
        let leased = self.holder.holds(now, record.mark);
        if leased && self.leased && !same {
            out.push(Out::Act(self.obeyed.clone()));
        }
        self.check_lease(now, out);
        self.ask_leases(now, true, out);
        self.tell_voter();
    }

    // ---- a document on its way here ----------------------------------------------------------------------------

    pub(super) fn end_fetch(&mut self) {
        self.fetch.take().into_iter().for_each(|fetch| fetch.leave(&mut self.steps.grave));
    }

    fn came(&mut self, now: Duration, came: Fetched, out: &mut Vec<Out>) {
        let Some(digest) = self.fetch.as_ref().map(|fetch| fetch.digest) else { return };
        match came {
            Fetched::Window => self.pull(now, true, out),
            Fetched::Whole(whole) => {
                self.end_fetch();
                self.keep(digest, whole);
                self.advance();
                self.drive(now, out);
            }
            Fetched::Unknown(why) => {
                self.end_fetch();
                self.unknown(now, digest, why, out);
            }
            Fetched::Wrong(why) => {
                let from = self.fetch_from;
                out.push(Out::Note(format!("document {digest} from {from}: {why}; asked of another")));
                self.fetch_from = self.any_other();
                self.pull(now, true, out);
            }
        }
    }

    fn unknown(&mut self, now: Duration, digest: Digest, why: String, out: &mut Vec<Out>) {
        if let Some(version) = self.known.versions().find(|version| version.digest == digest) {
            self.said(version, Err(Refusal::Unknown(why)), out);
            self.ask_leases(now, true, out);
        } else {
            self.wish = None;
        }
    }
}
