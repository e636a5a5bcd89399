//! A change: what to set and what to drop, and the version it is based on.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::sync::Arc;
use std::task::Poll;

use serde::{Deserialize, Serialize};

use crate::document::{Arriving, Document, Key, Value, MOST_BYTES, MOST_ENTRIES};
use crate::schema;
use crate::work::{Budget, Covers, Flooring, Grave, Whole};

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
    Both(Key),
    /// The document would be over its bounds.
    Large {
        /// Entries it would have, of at most [`MOST_ENTRIES`].
        entries: usize,
        /// Bytes it would have, of at most [`MOST_BYTES`].
        bytes: usize,
    },
    /// It would be stricter on this hard key than the floor: one that is cut off would contradict it.
    /// The floor (`floor/KEY`) is to be changed first, by a version of its own.
    Undercuts(Key),
    /// It changes nothing.
    Nothing,
}

impl fmt::Display for ChangeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ChangeError::Schema(error) => write!(f, "{error}"),
            ChangeError::Both(key) => write!(f, "{key}: set and dropped at once"),
            ChangeError::Large { entries, bytes } => write!(
                f,
                "document of {entries} entries and {bytes} bytes: at most {MOST_ENTRIES} and {MOST_BYTES} are allowed"
            ),
            ChangeError::Undercuts(key) => write!(
                f,
                "{key}: stricter than the floor, which one that is cut off acts on; change floor/{key} first, \
                 by a version of its own"
            ),
            ChangeError::Nothing => f.write_str("the change changes nothing"),
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
        let base = Whole::at_once(Arc::new(base.clone()));
        let mut making = Making::new(self.clone(), base);
        loop {
            if let Poll::Ready(made) = making.step(&mut Budget::endless()) {
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

/// How far a [`Making`] is.
#[derive(Debug)]
enum Stage {
    /// Keys are taken out and set: of the change what is left.
    Taking(Change, Arriving),
    /// What is set is hashed.
    Sealing(Arriving),
    /// Its floor is taken out of it.
    Flooring(Flooring),
    /// It is looked at beside the floor before it and its own.
    Covering(Whole, Covers),
    /// It was made, or refused.
    Done,
}

/// A change on its way to be a document, by steps.
#[derive(Debug)]
pub(crate) struct Making {
    base: Whole,
    stage: Stage,
}

impl Making {
    pub fn new(change: Change, base: Whole) -> Making {
        let made = Arriving::onto(&base.document);
        Making { base, stage: Stage::Taking(change, made) }
    }

    /// Goes on for as long as the budget lasts. To be asked no more once it is ready.
    pub fn step(&mut self, budget: &mut Budget) -> Poll<Result<Whole, ChangeError>> {
        loop {
            match &mut self.stage {
                Stage::Taking(change, made) => {
                    while !budget.is_spent() {
                        if let Some(key) = change.drop.pop_first() {
                            if change.set.contains_key(&key) {
                                return Poll::Ready(Err(ChangeError::Both(key)));
                            }
                            made.remove(&key, budget);
                        } else if let Some((key, value)) = change.set.pop_first() {
                            if let Err(error) = schema::check(&key, &value) {
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
                        return Poll::Ready(Err(ChangeError::Large { entries, bytes }));
                    }
                    self.stage = Stage::Sealing(std::mem::take(made));
                }
                Stage::Sealing(made) => {
                    let Some(made) = made.seal(budget) else { return Poll::Pending };
                    let same = made == *self.base.document;
                    self.stage = Stage::Flooring(Flooring::new(Arc::new(made)));
                    if same {
                        return Poll::Ready(Err(ChangeError::Nothing));
                    }
                }
                Stage::Flooring(flooring) => {
                    let Poll::Ready(made) = flooring.step(budget) else { return Poll::Pending };
                    let covers = covers(&self.base, &made);
                    self.stage = Stage::Covering(made, covers);
                }
                Stage::Covering(made, covers) => {
                    let Poll::Ready(open) = covers.step(budget) else { return Poll::Pending };
                    if let Some(key) = open {
                        return Poll::Ready(Err(ChangeError::Undercuts(key)));
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
    pub fn leave(self, grave: &mut Grave) {
        grave.document(self.base.document);
        grave.document(self.base.floor);
        match self.stage {
            Stage::Taking(change, made) => {
                grave.change(change);
                grave.remains(made);
            }
            Stage::Sealing(made) => grave.remains(made),
            Stage::Flooring(flooring) => flooring.leave(grave),
            Stage::Covering(made, covers) => {
                grave.document(made.document);
                grave.document(made.floor);
                covers.leave(grave);
            }
            Stage::Done => {}
        }
    }
}

/// Both floors, as one that was cut off before this version is still on the old one.
fn covers(base: &Whole, made: &Whole) -> Covers {
    Covers::new([(&made.document, &base.floor), (&made.document, &made.floor)])
}

/// Whether a version that another made may follow on one that is in force, by steps. What the document says was checked
/// as it came in, or was made.
#[derive(Debug)]
pub(crate) enum Judging {
    /// Whether it undercuts a floor.
    Terms(Whole, Whole, Covers),
    /// Whether its floor is stricter than the one before on a hard key: such a version is only begun once every member
    /// of the roster has said that its own file's floor is as strict.
    Floor(Covers),
}

impl Judging {
    pub fn new(base: Whole, newer: Whole) -> Judging {
        let covers = covers(&base, &newer);
        Judging::Terms(base, newer, covers)
    }

    /// Whether it tightens the floor, or why it may not be.
    pub fn step(&mut self, budget: &mut Budget) -> Poll<Result<bool, ChangeError>> {
        loop {
            match self {
                Judging::Terms(base, newer, covers) => {
                    if base.document == newer.document {
                        return Poll::Ready(Err(ChangeError::Nothing));
                    }
                    let Poll::Ready(open) = covers.step(budget) else { return Poll::Pending };
                    if let Some(key) = open {
                        return Poll::Ready(Err(ChangeError::Undercuts(key)));
                    }
                    *self = Judging::Floor(Covers::new([(&newer.floor, &base.floor)]));
                }
                Judging::Floor(covers) => return covers.step(budget).map(|open| Ok(open.is_some())),
            }
        }
    }

    /// What is left of it is freed by steps.
    pub fn leave(self, grave: &mut Grave) {
        match self {
            Judging::Terms(base, newer, covers) => {
                for whole in [base, newer] {
                    grave.document(whole.document);
                    grave.document(whole.floor);
                }
                covers.leave(grave);
            }
            Judging::Floor(covers) => covers.leave(grave),
        }
    }
}
