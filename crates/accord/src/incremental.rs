//! Incremental work on whole documents, so that no single call processes more than a bounded number of
//! entries.
//!
//! Each kind of work is a value that holds its progress and continues while a [`Budget`] lasts. Budgets count
//! touched entries instead of time, so the same calls do the same work on any machine. Buckets that are
//! skipped, because two versions share them or because they hold only lists where hard keys are wanted, cost
//! nothing.

use std::collections::VecDeque;
use std::sync::Arc;
use std::task::Poll;

use crate::change::Change;
use crate::document::{Bucket, Document, DocumentBuilder, Key};
use crate::schema::{is_hard, stricter};

/// Entries that one step touches, plus at most one bucket: about a millisecond of work.
pub const STEP_ENTRIES: usize = 1_000;
/// Maximum length of each queue of data to be freed; more than the documents, terms and floors that a member
/// holds.
const MAX_QUEUED_FOR_RECLAIM: usize = 24;

/// A budget of entries to touch.
#[derive(Debug)]
pub(crate) struct Budget {
    left: usize,
    touched: u64,
}

impl Budget {
    pub fn of(entries: usize) -> Budget {
        Budget { left: entries, touched: 0 }
    }

    /// A budget without limit, for work that is done in one go: at the start, and in tests.
    pub fn unlimited() -> Budget {
        Budget::of(usize::MAX)
    }

    /// Sets the remaining budget, whatever is left.
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

    /// Total entries touched.
    pub fn touched(&self) -> u64 {
        self.touched
    }
}

/// A complete document and its floor, both hashed.
#[derive(Clone, Debug)]
pub(crate) struct DocumentWithFloor {
    pub document: Arc<Document>,
    pub floor: Arc<Document>,
}

impl DocumentWithFloor {
    /// Extracts the floor of a document that is hashed.
    pub fn new(document: Arc<Document>) -> DocumentWithFloor {
        let floor = Arc::new(document.floor());
        DocumentWithFloor { document, floor }
    }
}

/// Extracts the floor of a document.
#[derive(Debug)]
pub(crate) struct FloorExtraction {
    pub document: Arc<Document>,
    /// Index of the next bucket.
    index: usize,
    builder: DocumentBuilder,
}

impl FloorExtraction {
    pub fn new(document: Arc<Document>) -> FloorExtraction {
        FloorExtraction { document, index: 0, builder: DocumentBuilder::default() }
    }

    pub fn step(&mut self, budget: &mut Budget) -> Poll<DocumentWithFloor> {
        while let Some(bucket) = self.document.bucket(self.index) {
            if !bucket.only_lists() {
                if budget.is_spent() {
                    return Poll::Pending;
                }
                budget.spend(bucket.entries.len());
                for (key, value) in &bucket.entries {
                    if let Some(key) = key.floor_target() {
                        self.builder.set(key, value.clone(), budget);
                    }
                }
            }
            self.index += 1;
        }
        match self.builder.seal(budget) {
            Some(floor) => {
                Poll::Ready(DocumentWithFloor { document: self.document.clone(), floor: Arc::new(floor) })
            }
            None => Poll::Pending,
        }
    }

    pub fn release(self, reclaimer: &mut Reclaimer) {
        reclaimer.release_partial(self.builder);
        reclaimer.release_document(self.document);
    }
}

/// Finds the least hard key that a floor does not cover: its value there is looser than that of the terms, or
/// missing.
#[derive(Debug, Default)]
pub(crate) struct CoverageCheck {
    /// Index of the next bucket.
    index: usize,
    /// The least uncovered key found so far.
    least: Option<Key>,
}

impl CoverageCheck {
    pub fn step(&mut self, terms: &Document, floor: &Document, budget: &mut Budget) -> Poll<Option<Key>> {
        while let Some(bucket) = terms.bucket(self.index) {
            // A shared bucket has equal values, and equal values cover each other.
            let is_shared = || floor.bucket(self.index).is_some_and(|other| Arc::ptr_eq(other, bucket));
            if !bucket.only_lists() && !is_shared() {
                if budget.is_spent() {
                    return Poll::Pending;
                }
                budget.spend(bucket.entries.len());
                let found = bucket.entries.iter().find(|(key, value)| {
                    // Lists of voters are part of the records, so the floor has no `voter/` keys.
                    is_hard(key)
                        && key.floor_target().is_none()
                        && !key.as_str().starts_with("voter/")
                        && floor.get(key).is_none_or(|other| stricter(key, value, other) != other)
                });
                // The first such key of a bucket is its least.
                if let Some((key, _)) = found.filter(|(k, _)| self.least.as_ref().is_none_or(|l| *k < l)) {
                    self.least = Some(key.clone());
                }
            }
            self.index += 1;
        }
        Poll::Ready(self.least.take())
    }
}

/// Checks several pairs of terms and floor in turn, until a key is not covered.
#[derive(Debug)]
pub(crate) struct CoverageChecks {
    pairs: VecDeque<(Arc<Document>, Arc<Document>)>,
    current: CoverageCheck,
}

impl CoverageChecks {
    /// Each pair is terms and the floor that has to cover them.
    pub fn new<const N: usize>(pairs: [(&Arc<Document>, &Arc<Document>); N]) -> CoverageChecks {
        let pairs = pairs.into_iter().map(|(terms, floor)| (terms.clone(), floor.clone())).collect();
        CoverageChecks { pairs, current: CoverageCheck::default() }
    }

    pub fn step(&mut self, budget: &mut Budget) -> Poll<Option<Key>> {
        while let Some((terms, floor)) = self.pairs.front() {
            match self.current.step(terms, floor, budget) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(Some(key)) => return Poll::Ready(Some(key)),
                Poll::Ready(None) => {
                    self.pairs.pop_front();
                    self.current = CoverageCheck::default();
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

/// Merges two documents into terms that satisfy both.
#[derive(Debug)]
pub(crate) struct JointTermsMerge {
    /// Index of the next bucket.
    index: usize,
    builder: DocumentBuilder,
}

impl JointTermsMerge {
    pub fn new(new: &Document) -> JointTermsMerge {
        JointTermsMerge { index: 0, builder: DocumentBuilder::from_base(new) }
    }

    /// Continues the merge. Callers pass the same two documents each time.
    pub fn step(&mut self, old: &Document, new: &Document, budget: &mut Budget) -> Poll<Document> {
        while let Some(bucket) = old.bucket(self.index) {
            let is_shared = || new.bucket(self.index).is_some_and(|other| Arc::ptr_eq(other, bucket));
            if !bucket.only_lists() && !is_shared() {
                if budget.is_spent() {
                    return Poll::Pending;
                }
                budget.spend(bucket.entries.len());
                for (key, value) in bucket.entries.iter().filter(|(key, _)| is_hard(key)) {
                    match new.get(key) {
                        // Where a document has no value, the operator's file applies, so the value of the
                        // other document is kept.
                        None => self.builder.set(key.clone(), value.clone(), budget),
                        Some(other) => {
                            let kept = stricter(key, value, other);
                            if kept != other {
                                self.builder.set(key.clone(), kept.clone(), budget);
                            }
                        }
                    }
                }
            }
            self.index += 1;
        }
        match self.builder.seal(budget) {
            Some(made) => Poll::Ready(made),
            None => Poll::Pending,
        }
    }
}

/// Merges several documents one after the other into terms that satisfy all of them.
#[derive(Debug)]
pub(crate) struct JointTermsChain {
    first: Arc<Document>,
    others: VecDeque<Arc<Document>>,
    current: Option<JointTermsMerge>,
}

impl JointTermsChain {
    pub fn new(first: &Arc<Document>, others: &[&Arc<Document>]) -> JointTermsChain {
        let others = others.iter().map(|other| Arc::clone(other)).collect();
        JointTermsChain { first: first.clone(), others, current: None }
    }

    pub fn step(&mut self, budget: &mut Budget, reclaimer: &mut Reclaimer) -> Poll<Arc<Document>> {
        while let Some(other) = self.others.front() {
            let merge = self.current.get_or_insert_with(|| JointTermsMerge::new(other));
            match merge.step(&self.first, other, budget) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(made) => {
                    reclaimer.release_document(std::mem::replace(&mut self.first, Arc::new(made)));
                    self.others.pop_front().into_iter().for_each(|other| reclaimer.release_document(other));
                    self.current = None;
                }
            }
        }
        Poll::Ready(self.first.clone())
    }

    pub fn release(self, reclaimer: &mut Reclaimer) {
        reclaimer.release_document(self.first);
        self.others.into_iter().for_each(|other| reclaimer.release_document(other));
        self.current.into_iter().for_each(|merge| reclaimer.release_partial(merge.builder));
    }
}

/// Queues of data to be freed incrementally. A document stays queued until no other reference to it is
/// left, and is then freed bucket by bucket.
#[derive(Debug, Default)]
pub(crate) struct Reclaimer {
    held: VecDeque<Arc<Document>>,
    buckets: VecDeque<Vec<Arc<Bucket>>>,
    changes: VecDeque<Change>,
}

impl Reclaimer {
    /// Takes over one reference to a document.
    pub fn release_document(&mut self, document: Arc<Document>) {
        // With two references to one document in this queue, neither would ever be the last one. Dropping
        // the second one frees no memory.
        if self.held.iter().any(|held| Arc::ptr_eq(held, &document)) {
            return;
        }
        self.held.push_back(document);
        if self.held.len() > MAX_QUEUED_FOR_RECLAIM {
            // Drop a document that has other owners; the last of them frees it. If there is none, the first
            // document is freed at once, which takes long but leaks nothing.
            let shared = self.held.iter().position(|held| Arc::strong_count(held) > 1).unwrap_or(0);
            drop(self.held.remove(shared));
        }
    }

    /// Takes over a document that will not be completed.
    pub fn release_partial(&mut self, partial: DocumentBuilder) {
        self.buckets.push_back(partial.into_buckets());
        while self.buckets.len() > MAX_QUEUED_FOR_RECLAIM {
            self.buckets.pop_front();
        }
    }

    /// Takes over the rest of a change.
    pub fn release_change(&mut self, change: Change) {
        self.changes.push_back(change);
        while self.changes.len() > MAX_QUEUED_FOR_RECLAIM {
            self.changes.pop_front();
        }
    }

    /// Whether anything can be freed now.
    pub fn has_work(&self) -> bool {
        !self.buckets.is_empty()
            || !self.changes.is_empty()
            || self.held.iter().any(|held| Arc::strong_count(held) == 1)
    }

    /// Frees as much as the budget allows.
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
