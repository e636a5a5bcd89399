//! A change: what to set and what to drop, and the version it is based on.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::sync::Arc;
use std::task::Poll;

use serde::{Deserialize, Serialize};

use crate::document::{Document, DocumentBuilder, Key, Value, MAX_DOCUMENT_BYTES, MAX_DOCUMENT_ENTRIES};
use crate::incremental::{Budget, CoverageChecks, DocumentWithFloor, FloorExtraction, Reclaimer};
use crate::schema;

/// A change of the document in force.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The number of the version it is based on: it is refused if another is in force (compare and set).
    pub base: u64,
    /// Keys to set.
    pub set: BTreeMap<Key, Value>,
    /// Keys to take out; one that is not there is no error.
    pub drop: BTreeSet<Key>,
}

/// Why a change makes no document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangeError {
    /// A key or value that the schema refuses.
    Schema(schema::SchemaError),
    /// A key is set and dropped at once.
    SetAndDropped(Key),
    /// The document would be over its bounds.
    TooLarge {
        /// Entries it would have, of at most [`MAX_DOCUMENT_ENTRIES`].
        entries: usize,
        /// Bytes it would have, of at most [`MAX_DOCUMENT_BYTES`].
        bytes: usize,
    },
    /// It would be stricter on this hard key than the floor: one that is cut off would contradict it.
    /// The floor (`floor/KEY`) is to be changed first, by a version of its own.
    StricterThanFloor(Key),
    /// It changes nothing.
    NoEffect,
}

impl fmt::Display for ChangeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ChangeError::Schema(error) => write!(f, "{error}"),
            ChangeError::SetAndDropped(key) => write!(f, "{key}: set and dropped at once"),
            ChangeError::TooLarge { entries, bytes } => write!(
                f,
                "document of {entries} entries and {bytes} bytes: at most {MAX_DOCUMENT_ENTRIES} and {MAX_DOCUMENT_BYTES} are allowed"
            ),
            ChangeError::StricterThanFloor(key) => write!(
                f,
                "{key}: stricter than the floor, which one that is cut off acts on; change floor/{key} first, \
                 proposal_id a version of its own"
            ),
            ChangeError::NoEffect => f.write_str("the change changes nothing"),
        }
    }
}

impl std::error::Error for ChangeError {}

impl Change {
    /// The document that it makes of `base`.
    ///
    /// # Errors
    /// See [`ChangeError`]; nothing is taken over then.
    pub fn apply(&self, base: &Document) -> Result<Document, ChangeError> {
        let base = DocumentWithFloor::new(Arc::new(base.clone()));
        let mut making = ChangeBuild::new(self.clone(), base);
        loop {
            if let Poll::Ready(made) = making.step(&mut Budget::unlimited()) {
                return made.map(|made| Document::clone(&made.document));
            }
        }
    }

    /// The change that makes `newer` of `base`: for going back to an older content by a new version.
    pub fn between(number: u64, base: &Document, newer: &Document) -> Change {
        let mut change = Change { base: number, ..Change::default() };
        for (key, value) in base.delta(newer) {
            match value {
                Some(value) => drop(change.set.insert(key, value)),
                None => drop(change.drop.insert(key)),
            }
        }
        change
    }
}

/// How far a [`ChangeBuild`] is.
#[derive(Debug)]
enum Stage {
    /// Keys are taken out and set: of the change what is left.
    Applying(Change, DocumentBuilder),
    /// What is set is hashed.
    Hashing(DocumentBuilder),
    /// Its floor is taken out of it.
    ExtractingFloor(FloorExtraction),
    /// It is looked at beside the floor before it and its own.
    CheckingCoverage(DocumentWithFloor, CoverageChecks),
    /// It was made, or refused.
    Done,
}

/// A change on its way to be a document, by steps.
#[derive(Debug)]
pub(crate) struct ChangeBuild {
    base: DocumentWithFloor,
    stage: Stage,
}

impl ChangeBuild {
    pub fn new(change: Change, base: DocumentWithFloor) -> ChangeBuild {
        let made = DocumentBuilder::onto(&base.document);
        ChangeBuild { base, stage: Stage::Applying(change, made) }
    }

    /// Goes on for as long as the budget lasts. To be asked no more once it is ready.
    pub fn step(&mut self, budget: &mut Budget) -> Poll<Result<DocumentWithFloor, ChangeError>> {
        loop {
            match &mut self.stage {
                Stage::Applying(change, made) => {
                    while !budget.is_spent() {
                        if let Some(key) = change.drop.pop_first() {
                            if change.set.contains_key(&key) {
                                return Poll::Ready(Err(ChangeError::SetAndDropped(key)));
                            }
                            made.remove(&key, budget);
                        } else if let Some((key, value)) = change.set.pop_first() {
                            if let Err(error) = schema::check_entry(&key, &value) {
                                return Poll::Ready(Err(ChangeError::Schema(error)));
                            }
                            made.set(key, value, budget);
                        } else {
                            break;
                        }
                    }
                    if !change.drop.is_empty() || !change.set.is_empty() {
                        return Poll::Pending;
                    }
                    if !made.fits() {
                        let (entries, bytes) = made.size();
                        return Poll::Ready(Err(ChangeError::TooLarge { entries, bytes }));
                    }
                    self.stage = Stage::Hashing(std::mem::take(made));
                }
                Stage::Hashing(made) => {
                    let Some(made) = made.seal(budget) else { return Poll::Pending };
                    let same = made == *self.base.document;
                    self.stage = Stage::ExtractingFloor(FloorExtraction::new(Arc::new(made)));
                    if same {
                        return Poll::Ready(Err(ChangeError::NoEffect));
                    }
                }
                Stage::ExtractingFloor(flooring) => {
                    let Poll::Ready(made) = flooring.step(budget) else { return Poll::Pending };
                    let covers = covers(&self.base, &made);
                    self.stage = Stage::CheckingCoverage(made, covers);
                }
                Stage::CheckingCoverage(made, covers) => {
                    let Poll::Ready(open) = covers.step(budget) else { return Poll::Pending };
                    if let Some(key) = open {
                        return Poll::Ready(Err(ChangeError::StricterThanFloor(key)));
                    }
                    let made = made.clone();
                    self.stage = Stage::Done;
                    return Poll::Ready(Ok(made));
                }
                Stage::Done => return Poll::Pending,
            }
        }
    }

    /// What is left of it is freed by steps.
    pub fn release(self, reclaimer: &mut Reclaimer) {
        reclaimer.release_document(self.base.document);
        reclaimer.release_document(self.base.floor);
        match self.stage {
            Stage::Applying(change, made) => {
                reclaimer.release_change(change);
                reclaimer.release_partial(made);
            }
            Stage::Hashing(made) => reclaimer.release_partial(made),
            Stage::ExtractingFloor(flooring) => flooring.release(reclaimer),
            Stage::CheckingCoverage(made, covers) => {
                reclaimer.release_document(made.document);
                reclaimer.release_document(made.floor);
                covers.release(reclaimer);
            }
            Stage::Done => {}
        }
    }
}

/// Both floors, as one that was cut off before this version is still on the old one.
fn covers(base: &DocumentWithFloor, made: &DocumentWithFloor) -> CoverageChecks {
    CoverageChecks::new([(&made.document, &base.floor), (&made.document, &made.floor)])
}

/// Whether a version that another made may follow on one that is in force, by steps. What the document says was checked
/// as it came in, or was made.
#[derive(Debug)]
pub(crate) enum ProposalCheck {
    /// Whether it undercuts a floor.
    Terms(DocumentWithFloor, DocumentWithFloor, CoverageChecks),
    /// Whether its floor is stricter than the one before on a hard key: such a version is only begun once every member
    /// of the roster has said that its own file's floor is as strict.
    Floor(CoverageChecks),
}

impl ProposalCheck {
    pub fn new(base: DocumentWithFloor, newer: DocumentWithFloor) -> ProposalCheck {
        let covers = covers(&base, &newer);
        ProposalCheck::Terms(base, newer, covers)
    }

    /// Whether it tightens the floor, or why it may not be.
    pub fn step(&mut self, budget: &mut Budget) -> Poll<Result<bool, ChangeError>> {
        loop {
            match self {
                ProposalCheck::Terms(base, newer, covers) => {
                    if base.document == newer.document {
                        return Poll::Ready(Err(ChangeError::NoEffect));
                    }
                    let Poll::Ready(open) = covers.step(budget) else { return Poll::Pending };
                    if let Some(key) = open {
                        return Poll::Ready(Err(ChangeError::StricterThanFloor(key)));
                    }
                    *self = ProposalCheck::Floor(CoverageChecks::new([(&newer.floor, &base.floor)]));
                }
                ProposalCheck::Floor(covers) => return covers.step(budget).map(|open| Ok(open.is_some())),
            }
        }
    }

    /// What is left of it is freed by steps.
    pub fn release(self, reclaimer: &mut Reclaimer) {
        match self {
            ProposalCheck::Terms(base, newer, covers) => {
                for whole in [base, newer] {
                    reclaimer.release_document(whole.document);
                    reclaimer.release_document(whole.floor);
                }
                covers.release(reclaimer);
            }
            ProposalCheck::Floor(covers) => covers.release(reclaimer),
        }
    }
}
