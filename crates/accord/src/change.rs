//! Changes of a document: what to set, what to drop, and the version they are based on.

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
    /// Number of the version that the change is based on. The change is refused if another version is in
    /// force (compare and set).
    pub base: u64,
    /// Keys to set.
    pub set: BTreeMap<Key, Value>,
    /// Keys to remove. A key that is not present is not an error.
    pub drop: BTreeSet<Key>,
}

/// Why a change does not result in a valid document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangeError {
    /// The schema refuses a key or value.
    Schema(schema::SchemaError),
    /// A key is both set and dropped.
    SetAndDropped(Key),
    /// The document would exceed its limits.
    TooLarge {
        /// Number of entries it would have, of at most [`MAX_DOCUMENT_ENTRIES`].
        entries: usize,
        /// Size it would have, of at most [`MAX_DOCUMENT_BYTES`].
        bytes: usize,
    },
    /// The document would be stricter on this hard key than the floor, so a member that is cut off would
    /// contradict it. The floor (`floor/KEY`) has to be changed first, by a version of its own.
    StricterThanFloor(Key),
    /// The document would stay the same.
    NoEffect,
}

impl fmt::Display for ChangeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ChangeError::Schema(error) => write!(f, "{error}"),
            ChangeError::SetAndDropped(key) => write!(f, "{key}: both set and dropped"),
            ChangeError::TooLarge { entries, bytes } => write!(
                f,
                "document of {entries} entries and {bytes} bytes: at most {MAX_DOCUMENT_ENTRIES} and {MAX_DOCUMENT_BYTES} are allowed"
            ),
            ChangeError::StricterThanFloor(key) => write!(
                f,
                "{key}: stricter than the floor, which a member that is cut off acts on; change floor/{key} first, \
                 in a version of its own"
            ),
            ChangeError::NoEffect => f.write_str("the change changes nothing"),
        }
    }
}

impl std::error::Error for ChangeError {}

impl Change {
    /// Applies the change to `base`.
    ///
    /// # Errors
    /// See [`ChangeError`]. The change is applied in full or not at all.
    pub fn apply(&self, base: &Document) -> Result<Document, ChangeError> {
        let base = DocumentWithFloor::new(Arc::new(base.clone()));
        let mut build = ChangeBuild::new(self.clone(), base);
        loop {
            if let Poll::Ready(built) = build.step(&mut Budget::unlimited()) {
                return built.map(|built| Document::clone(&built.document));
            }
        }
    }

    /// The change that turns `base` into `newer`, for example to return to the content of an older version.
    /// `number` is the version that it is based on.
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

/// Progress of a [`ChangeBuild`].
#[derive(Debug)]
enum Stage {
    /// Removing and setting keys. Holds the rest of the change.
    Applying(Change, DocumentBuilder),
    /// Hashing the changed buckets.
    Hashing(DocumentBuilder),
    /// Extracting the floor of the new document.
    ExtractingFloor(FloorExtraction),
    /// Checking the new document against the old floor and its own.
    CheckingCoverage(DocumentWithFloor, CoverageChecks),
    /// The document was returned.
    Done,
}

/// Builds the document of a change incrementally.
#[derive(Debug)]
pub(crate) struct ChangeBuild {
    base: DocumentWithFloor,
    stage: Stage,
}

impl ChangeBuild {
    pub fn new(change: Change, base: DocumentWithFloor) -> ChangeBuild {
        let builder = DocumentBuilder::from_base(&base.document);
        ChangeBuild { base, stage: Stage::Applying(change, builder) }
    }

    /// Continues while the budget lasts. Not called again once it returns a result.
    pub fn step(&mut self, budget: &mut Budget) -> Poll<Result<DocumentWithFloor, ChangeError>> {
        loop {
            match &mut self.stage {
                Stage::Applying(change, builder) => {
                    while !budget.is_spent() {
                        if let Some(key) = change.drop.pop_first() {
                            if change.set.contains_key(&key) {
                                return Poll::Ready(Err(ChangeError::SetAndDropped(key)));
                            }
                            builder.remove(&key, budget);
                        } else if let Some((key, value)) = change.set.pop_first() {
                            if let Err(error) = schema::check_entry(&key, &value) {
                                return Poll::Ready(Err(ChangeError::Schema(error)));
                            }
                            builder.set(key, value, budget);
                        } else {
                            break;
                        }
                    }
                    if !change.drop.is_empty() || !change.set.is_empty() {
                        return Poll::Pending;
                    }
                    if !builder.fits() {
                        let (entries, bytes) = builder.size();
                        return Poll::Ready(Err(ChangeError::TooLarge { entries, bytes }));
                    }
                    self.stage = Stage::Hashing(std::mem::take(builder));
                }
                Stage::Hashing(builder) => {
                    let Some(built) = builder.seal(budget) else { return Poll::Pending };
                    let unchanged = built == *self.base.document;
                    self.stage = Stage::ExtractingFloor(FloorExtraction::new(Arc::new(built)));
                    if unchanged {
                        return Poll::Ready(Err(ChangeError::NoEffect));
                    }
                }
                Stage::ExtractingFloor(extraction) => {
                    let Poll::Ready(built) = extraction.step(budget) else { return Poll::Pending };
                    let checks = coverage_checks(&self.base, &built);
                    self.stage = Stage::CheckingCoverage(built, checks);
                }
                Stage::CheckingCoverage(built, checks) => {
                    let Poll::Ready(uncovered) = checks.step(budget) else { return Poll::Pending };
                    if let Some(key) = uncovered {
                        return Poll::Ready(Err(ChangeError::StricterThanFloor(key)));
                    }
                    let built = built.clone();
                    self.stage = Stage::Done;
                    return Poll::Ready(Ok(built));
                }
                Stage::Done => return Poll::Pending,
            }
        }
    }

    /// Hands over the remaining data to be freed incrementally.
    pub fn release(self, reclaimer: &mut Reclaimer) {
        reclaimer.release_document(self.base.document);
        reclaimer.release_document(self.base.floor);
        match self.stage {
            Stage::Applying(change, builder) => {
                reclaimer.release_change(change);
                reclaimer.release_partial(builder);
            }
            Stage::Hashing(builder) => reclaimer.release_partial(builder),
            Stage::ExtractingFloor(extraction) => extraction.release(reclaimer),
            Stage::CheckingCoverage(built, checks) => {
                reclaimer.release_document(built.document);
                reclaimer.release_document(built.floor);
                checks.release(reclaimer);
            }
            Stage::Done => {}
        }
    }
}

/// The new document has to satisfy both floors, because a member that was cut off before this version still
/// uses the old one.
fn coverage_checks(base: &DocumentWithFloor, built: &DocumentWithFloor) -> CoverageChecks {
    CoverageChecks::new([(&built.document, &base.floor), (&built.document, &built.floor)])
}

/// Checks incrementally whether a version proposed by another member may follow the version in force. The
/// entries themselves were checked when the document was received or built.
#[derive(Debug)]
pub(crate) enum ProposalCheck {
    /// Checks whether the document is stricter than a floor.
    Terms(DocumentWithFloor, DocumentWithFloor, CoverageChecks),
    /// Checks whether the new floor is stricter than the old one on a hard key. Such a version proceeds only
    /// once every member of the roster has reported that the floor of its own file is as strict.
    Floor(CoverageChecks),
}

impl ProposalCheck {
    pub fn new(base: DocumentWithFloor, newer: DocumentWithFloor) -> ProposalCheck {
        let checks = coverage_checks(&base, &newer);
        ProposalCheck::Terms(base, newer, checks)
    }

    /// Returns whether the version tightens the floor, or why it is not allowed.
    pub fn step(&mut self, budget: &mut Budget) -> Poll<Result<bool, ChangeError>> {
        loop {
            match self {
                ProposalCheck::Terms(base, newer, checks) => {
                    if base.document == newer.document {
                        return Poll::Ready(Err(ChangeError::NoEffect));
                    }
                    let Poll::Ready(uncovered) = checks.step(budget) else { return Poll::Pending };
                    if let Some(key) = uncovered {
                        return Poll::Ready(Err(ChangeError::StricterThanFloor(key)));
                    }
                    *self = ProposalCheck::Floor(CoverageChecks::new([(&newer.floor, &base.floor)]));
                }
                ProposalCheck::Floor(checks) => return checks.step(budget).map(|key| Ok(key.is_some())),
            }
        }
    }

    /// Hands over the remaining data to be freed incrementally.
    pub fn release(self, reclaimer: &mut Reclaimer) {
        match self {
            ProposalCheck::Terms(base, newer, checks) => {
                for whole in [base, newer] {
                    reclaimer.release_document(whole.document);
                    reclaimer.release_document(whole.floor);
                }
                checks.release(reclaimer);
            }
            ProposalCheck::Floor(checks) => checks.release(reclaimer),
        }
    }
}
