//! Incremental work of a member on whole documents: the tasks in progress, and what follows when they are
//! done.
//!
//! There is at most one task of each kind. Each task belongs to one version or record. If another version or
//! record has replaced it by the time it is done, its result is discarded, so a result is never applied to
//! anything else.

use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;

use super::{Participant, PendingProposal};
use crate::change::{Change, ChangeBuild, ChangeError, ProposalCheck};
use crate::document::{Digest, Document};
use crate::fetch::FetchEvent;
use crate::incremental::{
    Budget, CoverageChecks, DocumentWithFloor, JointTermsChain, Reclaimer, STEP_ENTRIES,
};
use crate::output::{ActiveTerms, Output, ProposalError, Refusal};
use crate::record::{Phase, ProposalId, Record, Version};

/// Tasks in progress, and the budget of the current step.
#[derive(Debug)]
pub(super) struct DocumentWork {
    budget: Budget,
    /// Separate from `budget`: what can be freed depends on who else holds a document, and must not change
    /// the order of other work.
    reclaim_budget: Budget,
    pub(super) reclaimer: Reclaimer,
    /// Builds the document of a change proposed by this member.
    change: Option<(ProposalId, Version, ChangeBuild)>,
    /// Checks a version against the floor of this member's file, before it is prepared.
    floor_check: Option<(Version, CoverageChecks)>,
    /// Computes the terms of the next record to obey.
    adoption: Option<Adoption>,
    /// Checks the pending proposal with this id.
    proposal: Option<(ProposalId, ProposalCheck)>,
}

impl Default for DocumentWork {
    fn default() -> DocumentWork {
        DocumentWork {
            budget: Budget::of(STEP_ENTRIES),
            reclaim_budget: Budget::of(0),
            reclaimer: Reclaimer::default(),
            change: None,
            floor_check: None,
            adoption: None,
            proposal: None,
        }
    }
}

impl DocumentWork {
    pub(super) fn refill(&mut self) {
        self.budget.refill(STEP_ENTRIES);
    }

    pub(super) fn is_building_change(&self) -> bool {
        self.change.is_some()
    }
}

/// Computes the terms and the floor that a record puts into effect.
#[derive(Debug)]
struct Adoption {
    record: Record,
    new: DocumentWithFloor,
    /// Of a joint record: both versions, and the computation of their joint terms.
    both: Option<(Version, Version, JointTermsChain)>,
    terms: Option<ActiveTerms>,
    floor: JointTermsChain,
}

impl Adoption {
    fn step(&mut self, budget: &mut Budget, reclaimer: &mut Reclaimer) -> Poll<(ActiveTerms, Arc<Document>)> {
        let terms = match (&self.terms, &mut self.both) {
            (Some(terms), _) => terms.clone(),
            (None, None) => ActiveTerms::Single(self.record.active_version(), self.new.document.clone()),
            (None, Some((old, new, terms))) => match terms.step(budget, reclaimer) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(terms) => ActiveTerms::Joint { old: *old, new: *new, terms },
            },
        };
        self.terms = Some(terms.clone());
        self.floor.step(budget, reclaimer).map(|floor| (terms, floor))
    }

    fn release(self, reclaimer: &mut Reclaimer) {
        reclaimer.release_document(self.new.document);
        reclaimer.release_document(self.new.floor);
        self.both.into_iter().for_each(|(.., terms)| terms.release(reclaimer));
        self.terms.into_iter().for_each(|terms| reclaimer.release_document(terms.terms().clone()));
        self.floor.release(reclaimer);
    }
}

impl Participant {
    /// Whether there is work for [`Participant::run_step`]. A late call delays that work and has no other
    /// effect.
    pub fn has_work(&self) -> bool {
        let work = &self.work;
        work.change.is_some()
            || work.floor_check.is_some()
            || work.adoption.is_some()
            || work.proposal.is_some()
            || self.fetch.as_ref().is_some_and(|fetch| fetch.has_work())
            || self.documents.has_work()
            || work.reclaimer.has_work()
    }

    /// Does a step of the work on whole documents: touches at most [`STEP_ENTRIES`] entries plus the size of
    /// one bucket, and frees as many. Callers repeat it while [`Participant::has_work`] returns true, and do
    /// other work in between. All other calls use only what is left of the budget of the last step.
    pub fn run_step(&mut self, now: Duration, out: &mut Vec<Output>) {
        self.check_lease(now, out);
        self.work.refill();
        self.run_pending(now, out);
        self.work.reclaim_budget.refill(STEP_ENTRIES);
        self.work.reclaimer.step(&mut self.work.reclaim_budget);
    }

    /// Total entries touched by work on whole documents, and by freeing them. For tests of the bound.
    #[doc(hidden)]
    pub fn entries_touched(&self) -> (u64, u64) {
        (self.work.budget.touched(), self.work.reclaim_budget.touched())
    }

    /// Runs the most urgent task until it is done or the budget is spent. Returns false if there is no task,
    /// or it is not done.
    pub(super) fn run_next_task(&mut self, now: Duration, out: &mut Vec<Output>) -> bool {
        if self.work.budget.is_spent() {
            return false;
        }
        let DocumentWork { budget, reclaimer, change, floor_check, adoption, proposal, .. } = &mut self.work;
        if let Some(task) = adoption {
            let done = task.step(budget, reclaimer);
            let Poll::Ready((terms, floor)) = done else { return false };
            if let Some(task) = adoption.take() {
                let record = task.record;
                task.release(reclaimer);
                self.on_adopted(now, record, terms, floor, out);
            }
        } else if let Some((version, checks)) = floor_check {
            let (version, Poll::Ready(uncovered)) = (*version, checks.step(budget)) else { return false };
            floor_check.take().into_iter().for_each(|(_, checks)| checks.release(reclaimer));
            self.on_floor_checked(now, version, uncovered.map(|key| key.to_string()), out);
        } else if let Some((id, task)) = proposal {
            let (id, Poll::Ready(verdict)) = (*id, task.step(budget)) else { return false };
            proposal.take().into_iter().for_each(|(_, task)| task.release(reclaimer));
            self.on_proposal_checked(now, id, verdict, out);
        } else if let Some((id, base, task)) = change {
            let (id, base) = (*id, *base);
            let Poll::Ready(result) = task.step(budget) else { return false };
            change.take().into_iter().for_each(|(.., task)| task.release(reclaimer));
            match result {
                Ok(built) => {
                    let old = self.documents.get(base.digest).cloned();
                    match old.map(|old| self.next_list(&old, &built.document)) {
                        Some(Err(why)) => {
                            out.push(Output::Settled { change: id, result: Err(ProposalError::Voters(why)) })
                        }
                        _ => self.on_change_built(now, id, base, built, out),
                    }
                }
                Err(why) => out.push(Output::Settled { change: id, result: Err(ProposalError::Change(why)) }),
            }
        } else if self.fetch.as_ref().is_some_and(|fetch| fetch.has_work()) {
            let event = self.fetch.as_mut().and_then(|fetch| fetch.step(budget, reclaimer));
            let Some(event) = event else { return false };
            self.on_fetch_event(now, event, out);
        } else if self.documents.has_work() {
            let requests = self.documents.write(budget, reclaimer);
            if requests.is_empty() && self.documents.has_work() {
                return false;
            }
            requests.into_iter().for_each(|request| self.serve_chunks(request, out));
        } else {
            return false;
        }
        true
    }

    // ---- changes proposed by this member -----------------------------------------------------------------------

    /// Starts to build the document of a change. Returns the result if that is done within this step.
    pub(super) fn start_change_build(
        &mut self,
        id: ProposalId,
        base: Version,
        change: Change,
        document: DocumentWithFloor,
    ) -> Option<Result<DocumentWithFloor, ChangeError>> {
        let mut build = ChangeBuild::new(change, document);
        match build.step(&mut self.work.budget) {
            Poll::Ready(result) => {
                build.release(&mut self.work.reclaimer);
                Some(result)
            }
            Poll::Pending => {
                self.work.change = Some((id, base, build));
                None
            }
        }
    }

    /// Proposes the version that was built, unless another version came into force meanwhile.
    pub(super) fn on_change_built(
        &mut self,
        now: Duration,
        id: ProposalId,
        base: Version,
        built: DocumentWithFloor,
        out: &mut Vec<Output>,
    ) {
        if self.known.phase != Phase::Single(base) {
            let result = Err(match self.known.pending_version() {
                Some(version) => ProposalError::Busy(version),
                None => ProposalError::StaleBase(self.known.active_version()),
            });
            self.work.reclaimer.release_document(built.document);
            self.work.reclaimer.release_document(built.floor);
            return out.push(Output::Settled { change: id, result });
        }
        let new = Version { number: base.number + 1, digest: built.document.digest() };
        self.store_document(new.digest, built);
        let deadline = now + self.settings.prepare_timeout * 2;
        self.own_change = Some(super::OwnChange { id, base, new, deadline, attempts: 0 });
        self.send_own_change(now, out);
    }

    // ---- pending proposals -------------------------------------------------------------------------------------

    /// Starts to check whether the pending proposal is allowed, once both documents are here.
    pub(super) fn start_proposal_check(&mut self) {
        let Some(PendingProposal { id, base, new, .. }) = &self.proposal else { return };
        if self.work.proposal.as_ref().is_some_and(|(checked, _)| checked == id) {
            return;
        }
        let (Some(base), Some(newer)) =
            (self.documents.with_floor(base.digest), self.documents.with_floor(new.digest))
        else {
            return;
        };
        let check = (*id, ProposalCheck::new(base.clone(), newer.clone()));
        if let Some((_, superseded)) = self.work.proposal.replace(check) {
            superseded.release(&mut self.work.reclaimer);
        }
    }

    fn on_proposal_checked(
        &mut self,
        now: Duration,
        id: ProposalId,
        verdict: Result<bool, ChangeError>,
        out: &mut Vec<Output>,
    ) {
        let Some(PendingProposal { base, new, .. }) = self.proposal.as_ref().filter(|p| p.id == id) else {
            return;
        };
        let documents = self.documents.get(base.digest).cloned().zip(self.documents.get(new.digest).cloned());
        let Some((old, new)) = documents else { return };
        let verdict = verdict.map_err(|why| why.to_string());
        match verdict.and_then(|tightens_floor| Ok((tightens_floor, self.next_list(&old, &new)?))) {
            Ok(result) => self.proposal.iter_mut().for_each(|proposal| proposal.check_result = Some(result)),
            Err(why) => {
                self.proposal = None;
                return out.push(Output::Log(format!("change by member {} refused: {why}", id.proposer)));
            }
        }
        self.drive_rounds(now, out);
    }

    // ---- preparing and adopting versions -----------------------------------------------------------------------

    /// Starts to check whether the floor of this member's file is looser than a document, or than the
    /// document's floor.
    pub(super) fn start_floor_check(&mut self, version: Version) {
        if self.work.floor_check.as_ref().is_some_and(|(checked, _)| *checked == version) {
            return;
        }
        let Some(new) = self.documents.with_floor(version.digest) else { return };
        let checks = CoverageChecks::new([(&new.document, &self.file_floor), (&new.floor, &self.file_floor)]);
        if let Some((_, superseded)) = self.work.floor_check.replace((version, checks)) {
            superseded.release(&mut self.work.reclaimer);
        }
    }

    fn on_floor_checked(
        &mut self,
        now: Duration,
        version: Version,
        uncovered: Option<String>,
        out: &mut Vec<Output>,
    ) {
        let is_needed = self.known.versions().any(|known| known.digest == version.digest);
        match (uncovered, self.documents.get(version.digest).cloned().filter(|_| is_needed)) {
            (_, None) => self.advance(),
            (Some(key), Some(_)) => {
                self.record_preparation(version, Err(Refusal::Floor(key)), out);
                self.advance();
                self.ask_leases(now, true, out);
            }
            (None, Some(document)) => {
                self.preparing = Some(version.digest);
                out.push(Output::Prepare { version, document });
            }
        }
    }

    /// Starts to compute the terms that the newest record puts into effect, once its version is prepared.
    pub(super) fn start_adoption(&mut self) {
        let record = self.known;
        if self.work.adoption.as_ref().is_some_and(|adoption| adoption.record == record) {
            return;
        }
        let newest = record.active_version();
        if self.prepared.get(&newest.digest) != Some(&Ok(())) {
            return;
        }
        let Some(new) = self.documents.with_floor(newest.digest).cloned() else { return };
        let (both, floor) = match record.phase {
            Phase::Single(_) | Phase::Prepare { .. } => {
                (None, JointTermsChain::new(&self.file_floor, &[&new.floor]))
            }
            Phase::Joint { old, new: version } => {
                let Some(before) = self.documents.with_floor(old.digest) else { return };
                let terms = JointTermsChain::new(&before.document, &[&new.document]);
                // The floor of the file combined with the floors of both versions. The order does not matter
                // for hard keys.
                let floor = JointTermsChain::new(&self.file_floor, &[&before.floor, &new.floor]);
                (Some((old, version, terms)), floor)
            }
        };
        let adoption = Adoption { record, new, both, terms: None, floor };
        if let Some(superseded) = self.work.adoption.replace(adoption) {
            superseded.release(&mut self.work.reclaimer);
        }
    }

    fn on_adopted(
        &mut self,
        now: Duration,
        record: Record,
        terms: ActiveTerms,
        floor: Arc<Document>,
        out: &mut Vec<Output>,
    ) {
        if record != self.known {
            // A newer record is known by now; adopt that one instead if possible.
            self.work.reclaimer.release_document(terms.terms().clone());
            self.work.reclaimer.release_document(floor);
            return self.advance();
        }
        let unchanged = self.leased_terms == terms;
        self.adopted = record;
        self.holder.adopt_record(record.position, record.quorum(), |name| record.lists.contains(name));
        let before = std::mem::replace(&mut self.leased_terms, terms);
        self.work.reclaimer.release_document(before.terms().clone());
        self.work.reclaimer.release_document(std::mem::replace(&mut self.floor, floor));
        let is_held = self.holder.is_held(now, record.position);
        if is_held && self.lease_held && !unchanged {
            out.push(Output::Apply(self.leased_terms.clone()));
        }
        self.check_lease(now, out);
        self.ask_leases(now, true, out);
        self.update_voter();
    }

    // ---- fetching documents ------------------------------------------------------------------------------------

    pub(super) fn end_fetch(&mut self) {
        self.fetch.take().into_iter().for_each(|fetch| fetch.release(&mut self.work.reclaimer));
    }

    fn on_fetch_event(&mut self, now: Duration, event: FetchEvent, out: &mut Vec<Output>) {
        let Some(digest) = self.fetch.as_ref().map(|fetch| fetch.digest) else { return };
        match event {
            FetchEvent::WindowComplete => self.request_chunks(now, true, out),
            FetchEvent::Complete(document) => {
                self.end_fetch();
                self.store_document(digest, document);
                self.advance();
                self.drive_rounds(now, out);
            }
            FetchEvent::Unsupported(why) => {
                self.end_fetch();
                self.on_unsupported_document(now, digest, why, out);
            }
            FetchEvent::Corrupt(why) => {
                let from = self.fetch_from;
                out.push(Output::Log(format!(
                    "document {digest} from member {from} rejected: {why}; fetching it from another member"
                )));
                self.fetch_from = self.random_member();
                self.request_chunks(now, true, out);
            }
        }
    }

    fn on_unsupported_document(&mut self, now: Duration, digest: Digest, why: String, out: &mut Vec<Output>) {
        if let Some(version) = self.known.versions().find(|version| version.digest == digest) {
            self.record_preparation(version, Err(Refusal::Unknown(why)), out);
            self.ask_leases(now, true, out);
        } else {
            self.proposal = None;
        }
    }
}
