//! A change: what to set and what to drop, and the version it is based on.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use serde::{Deserialize, Serialize};

use crate::document::{Document, Key, Value, MOST_BYTES, MOST_ENTRIES};
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
        if let Some(key) = self.drop.iter().find(|key| self.set.contains_key(*key)) {
            return Err(ChangeError::Both(key.clone()));
        }
        let mut made = base.clone();
        for key in &self.drop {
            made.remove(key);
        }
        for (key, value) in &self.set {
            schema::check(key, value).map_err(ChangeError::Schema)?;
            made.set(key.clone(), value.clone());
        }
        if !made.fits() {
            return Err(ChangeError::Large { entries: made.len(), bytes: made.bytes() });
        }
        made.seal();
        if made == *base {
            return Err(ChangeError::Nothing);
        }
        // Both floors, as one that was cut off before this version is still on the old one.
        for floor in [base.floor(), made.floor()] {
            if let Some(key) = schema::uncovered(&made, &floor) {
                return Err(ChangeError::Undercuts(key));
            }
        }
        Ok(made)
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

/// The first hard key on which the floor of `newer` is stricter than that of `base`: such a version is only begun once
/// every member of the roster has said that its own file's floor is as strict.
pub(crate) fn tightens(base: &Document, newer: &Document) -> Option<Key> {
    schema::uncovered(&newer.floor(), &base.floor())
}
