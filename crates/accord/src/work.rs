//! Work on whole documents by steps, so that no call of the loop goes over more than some entries.
//!
//! Each kind of work is a value that holds how far it is, and goes on for as long as a [`Budget`] lasts. Budgets are of
//! entries touched, not of time: the same calls do the same work on any machine. What only looks at buckets that two
//! versions share, or that hold nothing but lists where hard keys are asked for, spends nothing.

use std::collections::VecDeque;
use std::sync::Arc;
use std::task::Poll;

use crate::change::Change;
use crate::document::{Arriving, Bucket, Document, Key};
use crate::schema::{hard, stricter};

/// Entries that one step touches, and at most a bucket more: about a millisecond of work.
pub const STEP: usize = 1_000;
/// What waits to be freed, at most. It is more than a member holds of documents, terms and floors.
const MOST_SPENT: usize = 24;

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
pub(crate) struct Whole {
    pub document: Arc<Document>,
    pub floor: Arc<Document>,
}

impl Whole {
    /// Hashed by its maker.
    pub fn at_once(document: Arc<Document>) -> Whole {
        let floor = Arc::new(document.floor());
        Whole { document, floor }
    }
}

/// Takes the floor out of a document.
#[derive(Debug)]
pub(crate) struct Flooring {
    pub of: Arc<Document>,
    at: usize,
    made: Arriving,
}

impl Flooring {
    pub fn new(of: Arc<Document>) -> Flooring {
        Flooring { of, at: 0, made: Arriving::default() }
    }

    pub fn step(&mut self, budget: &mut Budget) -> Poll<Whole> {
        while let Some(bucket) = self.of.bucket(self.at) {
            if !bucket.is_lists() {
                if budget.is_spent() {
                    return Poll::Pending;
                }
                budget.spend(bucket.entries.len());
                for (key, value) in &bucket.entries {
                    if let Some(key) = key.floored() {
                        self.made.set(key, value.clone(), budget);
                    }
                }
            }
            self.at += 1;
        }
        match self.made.seal(budget) {
            Some(floor) => Poll::Ready(Whole { document: self.of.clone(), floor: Arc::new(floor) }),
            None => Poll::Pending,
        }
    }

    pub fn leave(self, grave: &mut Grave) {
        grave.remains(self.made);
        grave.document(self.of);
    }
}

/// Looks for the first hard key on which a floor is looser than terms, or silent.
#[derive(Debug, Default)]
pub(crate) struct Covering {
    at: usize,
    least: Option<Key>,
}

impl Covering {
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
                    hard(key)
                        && key.floored().is_none()
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
pub(crate) struct Covers {
    pairs: VecDeque<(Arc<Document>, Arc<Document>)>,
    now: Covering,
}

impl Covers {
    /// Each is terms, and a floor that is to cover them.
    pub fn new<const N: usize>(pairs: [(&Arc<Document>, &Arc<Document>); N]) -> Covers {
        let pairs = pairs.into_iter().map(|(terms, floor)| (terms.clone(), floor.clone())).collect();
        Covers { pairs, now: Covering::default() }
    }

    pub fn step(&mut self, budget: &mut Budget) -> Poll<Option<Key>> {
        while let Some((terms, floor)) = self.pairs.front() {
            match self.now.step(terms, floor, budget) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(Some(key)) => return Poll::Ready(Some(key)),
                Poll::Ready(None) => {
                    self.pairs.pop_front();
                    self.now = Covering::default();
                }
            }
        }
        Poll::Ready(None)
    }

    pub fn leave(self, grave: &mut Grave) {
        for (terms, floor) in self.pairs {
            grave.document(terms);
            grave.document(floor);
        }
    }
}

/// Makes the terms that obey two documents at once.
#[derive(Debug)]
pub(crate) struct Stricter {
    at: usize,
    made: Arriving,
}

impl Stricter {
    pub fn new(new: &Document) -> Stricter {
        Stricter { at: 0, made: Arriving::onto(new) }
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
                for (key, value) in bucket.entries.iter().filter(|(key, _)| hard(key)) {
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
pub(crate) struct Strictest {
    first: Arc<Document>,
    others: VecDeque<Arc<Document>>,
    now: Option<Stricter>,
}

impl Strictest {
    pub fn new(first: &Arc<Document>, others: &[&Arc<Document>]) -> Strictest {
        let others = others.iter().map(|other| Arc::clone(other)).collect();
        Strictest { first: first.clone(), others, now: None }
    }

    pub fn step(&mut self, budget: &mut Budget, grave: &mut Grave) -> Poll<Arc<Document>> {
        while let Some(other) = self.others.front() {
            let now = self.now.get_or_insert_with(|| Stricter::new(other));
            match now.step(&self.first, other, budget) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(made) => {
                    grave.document(std::mem::replace(&mut self.first, Arc::new(made)));
                    self.others.pop_front().into_iter().for_each(|other| grave.document(other));
                    self.now = None;
                }
            }
        }
        Poll::Ready(self.first.clone())
    }

    pub fn leave(self, grave: &mut Grave) {
        grave.document(self.first);
        self.others.into_iter().for_each(|other| grave.document(other));
        self.now.into_iter().for_each(|now| grave.remains(now.made));
    }
}

/// What waits to be freed. A document is kept here until nobody else holds it, so that its last owner is this one, and
/// then let go bucket by bucket.
#[derive(Debug, Default)]
pub(crate) struct Grave {
    held: VecDeque<Arc<Document>>,
    buckets: VecDeque<Vec<Arc<Bucket>>>,
    changes: VecDeque<Change>,
}

impl Grave {
    /// Takes one's share of a document.
    pub fn document(&mut self, document: Arc<Document>) {
        // Two shares of one here would wait for each other for ever. Of one held twice dropping one frees nothing.
        if self.held.iter().any(|held| Arc::ptr_eq(held, &document)) {
            return;
        }
        self.held.push_back(document);
        if self.held.len() > MOST_SPENT {
            // Whoever else holds it frees it then. If nobody does, it is freed at once: a pause, and no leak.
            let shared = self.held.iter().position(|held| Arc::strong_count(held) > 1).unwrap_or(0);
            drop(self.held.remove(shared));
        }
    }

    /// What was made of a document that will never be one.
    pub fn remains(&mut self, half: Arriving) {
        self.buckets.push_back(half.into_remains());
        while self.buckets.len() > MOST_SPENT {
            self.buckets.pop_front();
        }
    }

    /// What is left of a change.
    pub fn change(&mut self, change: Change) {
        self.changes.push_back(change);
        while self.changes.len() > MOST_SPENT {
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
