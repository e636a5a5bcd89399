//! Work on whole documents by steps, so that no call of the loop goes over more than some entries.
//!
//! Each kind of work is a value that holds how far it is, and goes on for as long as a [`Budget`] lasts. Budgets are of
//! entries touched, not of time: the same calls do the same work on any machine. What only looks at buckets that two
//! versions share, or that hold nothing but lists where hard keys are asked for, spends nothing.

use std::collections::VecDeque;
use std::sync::Arc;
use std::task::Poll;

use crate::change::Change;
use crate::document::{Bucket, Document, DocumentBuilder, Key};
use crate::schema::{is_hard, stricter};

/// Entries that one step touches, and at most a bucket more: about a millisecond of work.
pub const STEP_ENTRIES: usize = 1_000;
/// What waits to be freed, at most. It is more than a member holds of documents, terms and floors.
const MAX_QUEUED_FOR_RECLAIM: usize = 24;

/// Entries that may still be touched.
#[derive(Debug)]
pub(crate) struct Budget {
    left: usize,
    touched: u64,
}

impl Budget {
    pub fn of(entries: usize) -> Budget {
        Budget { left: entries, touched: 0 }
    }

    /// For what is done at once: at the start, and by tests.
    pub fn endless() -> Budget {
        Budget::of(usize::MAX)
    }

    /// As much as this again, whatever was left.
    pub fn refill(&mut self, entries: usize) {
        self.left = entries;
    }

    pub fn spend(&mut self, entries: usize) {
        self.left = self.left.saturating_sub(entries);
        self.touched += entries as u64;
    }

    pub fn is_spent(&self) -> bool {
        self.left == 0
    }

    /// Entries touched since the beginning.
    pub fn touched(&self) -> u64 {
        self.touched
    }
}

/// A document that is whole, and its floor: both hashed.
#[derive(Clone, Debug)]
pub(crate) struct DocumentWithFloor {
    pub document: Arc<Document>,
    pub floor: Arc<Document>,
}

impl DocumentWithFloor {
    /// Hashed by its maker.
    pub fn new(document: Arc<Document>) -> DocumentWithFloor {
        let floor = Arc::new(document.floor());
        DocumentWithFloor { document, floor }
    }
}

/// Takes the floor out of a document.
#[derive(Debug)]
pub(crate) struct FloorExtraction {
    pub of: Arc<Document>,
    at: usize,
    made: DocumentBuilder,
}

impl FloorExtraction {
    pub fn new(of: Arc<Document>) -> FloorExtraction {
        FloorExtraction { of, at: 0, made: DocumentBuilder::default() }
    }

    pub fn step(&mut self, budget: &mut Budget) -> Poll<DocumentWithFloor> {
        while let Some(bucket) = self.of.bucket(self.at) {
            if !bucket.is_lists() {
                if budget.is_spent() {
                    return Poll::Pending;
                }
                budget.spend(bucket.entries.len());
                for (key, value) in &bucket.entries {
                    if let Some(key) = key.floor_target() {
                        self.made.set(key, value.clone(), budget);
                    }
                }
            }
            self.at += 1;
        }
        match self.made.seal(budget) {
            Some(floor) => {
                Poll::Ready(DocumentWithFloor { document: self.of.clone(), floor: Arc::new(floor) })
            }
            None => Poll::Pending,
        }
    }

    pub fn release(self, reclaimer: &mut Reclaimer) {
        reclaimer.release_partial(self.made);
        reclaimer.release_document(self.of);
    }
}

/// Looks for the first hard key on which a floor is looser than terms, or silent.
#[derive(Debug, Default)]
pub(crate) struct CoverageCheck {
    at: usize,
    least: Option<Key>,
}

impl CoverageCheck {
    pub fn step(&mut self, terms: &Document, floor: &Document, budget: &mut Budget) -> Poll<Option<Key>> {
        while let Some(bucket) = terms.bucket(self.at) {
            // The same bucket says the same, and each value covers itself.
            let same = || floor.bucket(self.at).is_some_and(|other| Arc::ptr_eq(other, bucket));
            if !bucket.is_lists() && !same() {
                if budget.is_spent() {
                    return Poll::Pending;
                }
                budget.spend(bucket.entries.len());
                let open = bucket.entries.iter().find(|(key, value)| {
                    // Nobody votes by the floor, so it says nothing of voters: their lists are in the records.
                    is_hard(key)
                        && key.floor_target().is_none()
                        && !key.as_str().starts_with("voter/")
                        && floor.get(key).is_none_or(|low| stricter(key, value, low) != low)
                });
                // Of a bucket the first is the least.
                if let Some((key, _)) = open.filter(|(key, _)| self.least.as_ref().is_none_or(|l| *key < l)) {
                    self.least = Some(key.clone());
                }
            }
            self.at += 1;
        }
        Poll::Ready(self.least.take())
    }
}

/// Several of these, one after the other: the first key that one of them finds.
#[derive(Debug)]
pub(crate) struct CoverageChecks {
    pairs: VecDeque<(Arc<Document>, Arc<Document>)>,
    now: CoverageCheck,
}

impl CoverageChecks {
    /// Each is terms, and a floor that is to cover them.
    pub fn new<const N: usize>(pairs: [(&Arc<Document>, &Arc<Document>); N]) -> CoverageChecks {
        let pairs = pairs.into_iter().map(|(terms, floor)| (terms.clone(), floor.clone())).collect();
        CoverageChecks { pairs, now: CoverageCheck::default() }
    }

    pub fn step(&mut self, budget: &mut Budget) -> Poll<Option<Key>> {
        while let Some((terms, floor)) = self.pairs.front() {
            match self.now.step(terms, floor, budget) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(Some(key)) => return Poll::Ready(Some(key)),
                Poll::Ready(None) => {
                    self.pairs.pop_front();
                    self.now = CoverageCheck::default();
                }
            }
        }
        Poll::Ready(None)
    }

    pub fn release(self, reclaimer: &mut Reclaimer) {
        for (terms, floor) in self.pairs {
            reclaimer.release_document(terms);
            reclaimer.release_document(floor);
        }
    }
}

/// Makes the terms that obey two documents at once.
#[derive(Debug)]
pub(crate) struct JointTermsMerge {
    at: usize,
    made: DocumentBuilder,
}

impl JointTermsMerge {
    pub fn new(new: &Document) -> JointTermsMerge {
        JointTermsMerge { at: 0, made: DocumentBuilder::onto(new) }
    }

    /// With the same two documents each time.
    pub fn step(&mut self, old: &Document, new: &Document, budget: &mut Budget) -> Poll<Document> {
        while let Some(bucket) = old.bucket(self.at) {
            let same = || new.bucket(self.at).is_some_and(|other| Arc::ptr_eq(other, bucket));
            if !bucket.is_lists() && !same() {
                if budget.is_spent() {
                    return Poll::Pending;
                }
                budget.spend(bucket.entries.len());
                for (key, value) in bucket.entries.iter().filter(|(key, _)| is_hard(key)) {
                    match new.get(key) {
                        // Absent is what the operator's file says, so the one that speaks is kept beside it.
                        None => self.made.set(key.clone(), value.clone(), budget),
                        Some(other) => {
                            let kept = stricter(key, value, other);
                            if kept != other {
                                self.made.set(key.clone(), kept.clone(), budget);
                            }
                        }
                    }
                }
            }
            self.at += 1;
        }
        match self.made.seal(budget) {
            Some(made) => Poll::Ready(made),
            None => Poll::Pending,
        }
    }
}

/// Makes the strictest of several documents, the first with the second, that with the third, and so on.
#[derive(Debug)]
pub(crate) struct JointTermsChain {
    first: Arc<Document>,
    others: VecDeque<Arc<Document>>,
    now: Option<JointTermsMerge>,
}

impl JointTermsChain {
    pub fn new(first: &Arc<Document>, others: &[&Arc<Document>]) -> JointTermsChain {
        let others = others.iter().map(|other| Arc::clone(other)).collect();
        JointTermsChain { first: first.clone(), others, now: None }
    }

    pub fn step(&mut self, budget: &mut Budget, reclaimer: &mut Reclaimer) -> Poll<Arc<Document>> {
        while let Some(other) = self.others.front() {
            let now = self.now.get_or_insert_with(|| JointTermsMerge::new(other));
            match now.step(&self.first, other, budget) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(made) => {
                    reclaimer.release_document(std::mem::replace(&mut self.first, Arc::new(made)));
                    self.others.pop_front().into_iter().for_each(|other| reclaimer.release_document(other));
                    self.now = None;
                }
            }
        }
        Poll::Ready(self.first.clone())
    }

    pub fn release(self, reclaimer: &mut Reclaimer) {
        reclaimer.release_document(self.first);
        self.others.into_iter().for_each(|other| reclaimer.release_document(other));
        self.now.into_iter().for_each(|now| reclaimer.release_partial(now.made));
    }
}

/// What waits to be freed. A document is kept here until nobody else holds it, so that its last owner is this one, and
/// then let go bucket by bucket.
#[derive(Debug, Default)]
pub(crate) struct Reclaimer {
    held: VecDeque<Arc<Document>>,
    buckets: VecDeque<Vec<Arc<Bucket>>>,
    changes: VecDeque<Change>,
}

impl Reclaimer {
    /// Takes one's share of a document.
    pub fn release_document(&mut self, document: Arc<Document>) {
        // Two shares of one here would wait for each other for ever. Of one held twice dropping one frees nothing.
        if self.held.iter().any(|held| Arc::ptr_eq(held, &document)) {
            return;
        }
        self.held.push_back(document);
        if self.held.len() > MAX_QUEUED_FOR_RECLAIM {
            // Whoever else holds it frees it then. If nobody does, it is freed at once: a pause, and no leak.
            let shared = self.held.iter().position(|held| Arc::strong_count(held) > 1).unwrap_or(0);
            drop(self.held.remove(shared));
        }
    }

    /// What was made of a document that will never be one.
    pub fn release_partial(&mut self, half: DocumentBuilder) {
        self.buckets.push_back(half.into_buckets());
        while self.buckets.len() > MAX_QUEUED_FOR_RECLAIM {
            self.buckets.pop_front();
        }
    }

    /// What is left of a change.
    pub fn release_change(&mut self, change: Change) {
        self.changes.push_back(change);
        while self.changes.len() > MAX_QUEUED_FOR_RECLAIM {
            self.changes.pop_front();
        }
    }

    /// Whether there is something to free now.
    pub fn has_work(&self) -> bool {
        !self.buckets.is_empty()
            || !self.changes.is_empty()
            || self.held.iter().any(|held| Arc::strong_count(held) == 1)
    }

    /// Frees as much as the budget says.
    pub fn step(&mut self, budget: &mut Budget) {
        while !budget.is_spent() {
            if let Some(buckets) = self.buckets.back_mut() {
                match buckets.pop().map(Arc::try_unwrap) {
                    Some(Ok(bucket)) => budget.spend(bucket.entries.len().max(1)),
                    Some(Err(_)) => {}
                    None => drop(self.buckets.pop_back()),
                }
            } else if let Some(change) = self.changes.back_mut() {
                budget.spend(1);
                if change.set.pop_first().is_none() && change.drop.pop_first().is_none() {
                    self.changes.pop_back();
                }
            } else {
                let free = self.held.iter().position(|held| Arc::strong_count(held) == 1);
                let Some(held) = free.and_then(|at| self.held.remove(at)) else { return };
                match Arc::try_unwrap(held) {
                    Ok(document) => self.buckets.push_back(document.into_buckets()),
                    Err(held) => self.held.push_back(held),
                }
            }
        }
    }
}
