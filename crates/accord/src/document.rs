//! A document: a map of keys to values, its bounds and its digest.
//!
//! Entries lie in buckets that versions share, each with a digest of its own, so that a version of 100,000 entries which
//! differs in ten is made by copying ten buckets and hashed by hashing ten.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::{Arc, OnceLock};

use serde::{Deserialize, Serialize};

use crate::incremental::Budget;

/// Most entries of a document. A list of 100,000 fits twice; beyond that a whole transfer takes minutes at the usual pace.
pub const MAX_DOCUMENT_ENTRIES: usize = 200_000;
/// Most bytes of a document's keys and values together: what each activator may have to hold a few times over.
pub const MAX_DOCUMENT_BYTES: usize = 16 << 20;
/// Most bytes of a [`Value::Text`].
pub const MAX_TEXT_BYTES: usize = 256;
/// Most bytes of one word of a key.
const MAX_KEY_SEGMENT_BYTES: usize = 64;
/// Buckets of a document: about 100 entries each at 100,000, and 16 kB to hash for the root.
const BUCKET_COUNT: usize = 512;

/// A key: a path of 2 to 4 words of 1 to 64 bytes, `/` between them.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Key(Box<str>);

/// Why a text is no key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyError(pub String);

impl Key {
    /// The key of a path.
    ///
    /// # Errors
    /// Fewer than 2 or more than 4 words, an empty word, one over 64 bytes, or a control character or space in one.
    pub fn new(path: &str) -> Result<Key, KeyError> {
        let words = path.split('/').count();
        let shown = || path.chars().take(80).collect::<String>();
        if !(2..=4).contains(&words) {
            return Err(KeyError(format!("key {:?}: {words} words, 2 to 4 are allowed", shown())));
        }
        for word in path.split('/') {
            if word.is_empty() || word.len() > MAX_KEY_SEGMENT_BYTES {
                return Err(KeyError(format!(
                    "key {:?}: a word has 1 to {MAX_KEY_SEGMENT_BYTES} bytes",
                    shown()
                )));
            }
            if word.chars().any(|c| c.is_control() || c.is_whitespace()) {
                return Err(KeyError(format!(
                    "key {:?}: spaces and control characters are not allowed",
                    shown()
                )));
            }
        }
        Ok(Key(path.into()))
    }

    /// The path as a text.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// The words of the path.
    pub fn segments(&self) -> impl Iterator<Item = &str> {
        self.0.split('/')
    }

    /// The key that says the floor of this one: `floor/` before it. None for a key of four words.
    pub fn floor(&self) -> Option<Key> {
        Key::new(&format!("floor/{}", self.0)).ok()
    }

    /// The key of which this is the floor, if its first word is `floor`.
    pub fn floor_target(&self) -> Option<Key> {
        self.0.strip_prefix("floor/").and_then(|rest| Key::new(rest).ok())
    }

    fn bucket(&self) -> usize {
        // FNV-1a: stable for all programs, as the root digest depends on it.
        let mut hash = 0xcbf2_9ce4_8422_2325u64;
        for byte in self.0.bytes() {
            hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
        }
        ((hash >> 32) ^ hash) as usize % BUCKET_COUNT
    }
}

impl TryFrom<String> for Key {
    type Error = KeyError;
    fn try_from(path: String) -> Result<Key, KeyError> {
        Key::new(&path)
    }
}

impl std::str::FromStr for Key {
    type Err = KeyError;
    fn from_str(path: &str) -> Result<Key, KeyError> {
        Key::new(path)
    }
}

impl From<Key> for String {
    fn from(key: Key) -> String {
        key.0.into()
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl fmt::Display for KeyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for KeyError {}

/// What a key says.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Value {
    /// Yes or no.
    Flag(bool),
    /// A whole number; the unit is in the key's name.
    Int(i64),
    /// A word of at most 256 bytes.
    Text(String),
}

impl fmt::Display for Value {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Value::Flag(flag) => write!(f, "{flag}"),
            Value::Int(int) => write!(f, "{int}"),
            Value::Text(word) => f.write_str(word),
        }
    }
}

/// The blake3 digest of a document's canonical bytes.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct Digest(pub [u8; 32]);

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0[..8].iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self}")
    }
}

#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Bucket {
    pub entries: BTreeMap<Key, Value>,
    /// None while entries changed since it was last hashed.
    digest: Option<Digest>,
    /// Known only while hashed: it holds entries of lists and nothing else.
    lists: bool,
    /// Known only while hashed: it holds keys that say who votes.
    voters: bool,
}

impl Bucket {
    /// It holds entries of lists and nothing else: those are soft and no floor.
    pub fn is_lists(&self) -> bool {
        self.digest.is_some() && self.lists
    }

    /// Hashes it.
    fn seal(&mut self) {
        self.digest = Some(hash_bucket(&self.entries));
        self.lists = self.entries.keys().all(|key| key.as_str().starts_with("list/"));
        self.voters = self.entries.keys().any(|key| key.as_str().starts_with("voter/"));
    }
}

/// A map of keys to values, cheap to clone. Two with the same entries have the same digest, however they came about.
#[derive(Clone)]
pub struct Document {
    buckets: Vec<Arc<Bucket>>,
    entries: usize,
    bytes: usize,
    /// None while entries changed since it was sealed.
    root: Option<Digest>,
}

impl Default for Document {
    fn default() -> Document {
        // One for all, hashed once: documents of nothing are made all the time, as floors.
        static EMPTY: OnceLock<Document> = OnceLock::new();
        let make = || {
            let mut empty = Bucket::default();
            empty.seal();
            let empty = Arc::new(empty);
            let buckets = vec![empty; BUCKET_COUNT];
            let mut empty = Document { buckets, entries: 0, bytes: 0, root: None };
            empty.root = Some(empty.digest());
            empty
        };
        EMPTY.get_or_init(make).clone()
    }
}

impl Document {
    /// What a key says.
    pub fn get(&self, key: &Key) -> Option<&Value> {
        self.buckets[key.bucket()].entries.get(key)
    }

    /// Number of entries.
    pub fn len(&self) -> usize {
        self.entries
    }

    /// Whether it says nothing.
    pub fn is_empty(&self) -> bool {
        self.entries == 0
    }

    /// Bytes of keys and values together, as [`MAX_DOCUMENT_BYTES`] bounds them.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// All entries, in an order that is the same for the same entries, but not by key.
    pub fn iter(&self) -> impl Iterator<Item = (&Key, &Value)> {
        self.buckets.iter().flat_map(|bucket| &bucket.entries)
    }

    /// All entries, or all but those of buckets that hold entries of lists alone: those are soft and no floor.
    pub(crate) fn entries_outside_lists(&self) -> impl Iterator<Item = (&Key, &Value)> {
        let other = |bucket: &&Arc<Bucket>| !bucket.is_lists();
        self.buckets.iter().filter(other).flat_map(|bucket| &bucket.entries)
    }

    /// The entries of buckets that say who votes, and what else those hold: few, of a document of any size.
    pub(crate) fn entries_near_voters(&self) -> impl Iterator<Item = (&Key, &Value)> {
        let with = |bucket: &&Arc<Bucket>| bucket.digest.is_none() || bucket.voters;
        self.buckets.iter().filter(with).flat_map(|bucket| &bucket.entries)
    }

    /// The entries below a prefix such as `class/`, by key. Looks at every entry once.
    pub fn under(&self, prefix: &str) -> Vec<(&Key, &Value)> {
        let mut found: Vec<_> = self.iter().filter(|(key, _)| key.as_str().starts_with(prefix)).collect();
        found.sort_unstable_by_key(|(key, _)| *key);
        found
    }

    /// Sets a key. The bounds are those of [`Document::fits`], which the caller asks once all is set.
    pub fn set(&mut self, key: Key, value: Value) {
        let at = key.bucket();
        self.root = None;
        self.bytes += entry_bytes(&key, &value);
        let bucket = Arc::make_mut(&mut self.buckets[at]);
        bucket.digest = None;
        match bucket.entries.insert(key.clone(), value) {
            Some(old) => self.bytes -= entry_bytes(&key, &old),
            None => self.entries += 1,
        }
    }

    /// Takes a key out, if it is there.
    pub fn remove(&mut self, key: &Key) -> Option<Value> {
        let at = key.bucket();
        self.buckets[at].entries.get(key)?;
        self.root = None;
        let bucket = Arc::make_mut(&mut self.buckets[at]);
        bucket.digest = None;
        let old = bucket.entries.remove(key)?;
        self.entries -= 1;
        self.bytes -= entry_bytes(key, &old);
        Some(old)
    }

    /// Whether it is within [`MAX_DOCUMENT_ENTRIES`] and [`MAX_DOCUMENT_BYTES`].
    pub fn fits(&self) -> bool {
        self.entries <= MAX_DOCUMENT_ENTRIES && self.bytes <= MAX_DOCUMENT_BYTES
    }

    /// Hashes the buckets that changed, and the root, so that
    /// [`Document::digest`] of this and of its clones costs nothing.
    pub fn seal(&mut self) {
        self.buckets
            .iter_mut()
            .filter(|bucket| bucket.digest.is_none())
            .for_each(|bucket| Arc::make_mut(bucket).seal());
        self.root = Some(self.digest());
    }

    /// The digest over all entries.
    pub fn digest(&self) -> Digest {
        if let Some(root) = self.root {
            return root;
        }
        let mut root = blake3::Hasher::new();
        root.update(b"wheellink accord document 1");
        for bucket in &self.buckets {
            root.update(&bucket.digest.unwrap_or_else(|| hash_bucket(&bucket.entries)).0);
        }
        Digest(*root.finalize().as_bytes())
    }

    /// What must be set and what taken out to make `newer` of this: the buckets they share are passed over.
    pub fn delta(&self, newer: &Document) -> Vec<(Key, Option<Value>)> {
        let mut delta = Vec::new();
        let owned = |(key, value): (&Key, Option<&Value>)| (key.clone(), value.cloned());
        for (old, new) in self.buckets.iter().zip(&newer.buckets).filter(|(old, new)| !Arc::ptr_eq(old, new))
        {
            delta.extend(bucket_delta(old, new).map(owned));
        }
        delta
    }

    /// The bucket of this place, from 0; none behind the last. For work by steps, which goes over them one by one.
    pub(crate) fn bucket(&self, at: usize) -> Option<&Arc<Bucket>> {
        self.buckets.get(at)
    }

    /// Its buckets, to be let go one by one.
    pub(crate) fn into_buckets(self) -> Vec<Arc<Bucket>> {
        self.buckets
    }

    /// What the keys below `floor/` say, without that word: the document's floor.
    pub fn floor(&self) -> Document {
        self.entries_outside_lists()
            .filter_map(|(key, value)| Some((key.floor_target()?, value.clone())))
            .collect()
    }
}

impl FromIterator<(Key, Value)> for Document {
    fn from_iter<I: IntoIterator<Item = (Key, Value)>>(entries: I) -> Document {
        let mut document = Document::default();
        entries.into_iter().for_each(|(key, value)| document.set(key, value));
        document.seal();
        document
    }
}

impl PartialEq for Document {
    fn eq(&self, other: &Document) -> bool {
        if let (Some(one), Some(other)) = (self.root, other.root) {
            return one == other;
        }
        self.entries == other.entries
            && self
                .buckets
                .iter()
                .zip(&other.buckets)
                .all(|(a, b)| Arc::ptr_eq(a, b) || a.entries == b.entries)
    }
}

impl Eq for Document {}

impl fmt::Debug for Document {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.entries > 20 {
            return write!(f, "Document({} entries, {})", self.entries, self.digest());
        }
        f.debug_map().entries(self.iter()).finish()
    }
}

/// What must be set and what taken out to make one bucket of another.
pub(crate) fn bucket_delta<'a>(
    old: &'a Bucket,
    new: &'a Bucket,
) -> impl Iterator<Item = (&'a Key, Option<&'a Value>)> {
    let gone = old.entries.keys().filter(|key| !new.entries.contains_key(*key));
    let put = new.entries.iter().filter(|(key, value)| old.entries.get(*key) != Some(value));
    gone.map(|key| (key, None)).chain(put.map(|(key, value)| (key, Some(value))))
}

/// A document that is being made. It has no digest and is no [`Document`], so nothing can be obeyed, sent or hashed
/// that is half of one; [`DocumentBuilder::seal`] alone makes a document of it, and only once all of it is hashed.
#[derive(Debug, Default)]
pub(crate) struct DocumentBuilder {
    made: Document,
    /// Buckets before this one are hashed.
    sealed: usize,
}

impl DocumentBuilder {
    /// One that begins as `base`.
    pub fn onto(base: &Document) -> DocumentBuilder {
        DocumentBuilder { made: base.clone(), sealed: 0 }
    }

    /// Sets a key. What is copied, as other versions share it, is spent too.
    pub fn set(&mut self, key: Key, value: Value, budget: &mut Budget) {
        self.touch(&key, budget);
        self.made.set(key, value);
    }

    /// Takes a key out, if it is there.
    pub fn remove(&mut self, key: &Key, budget: &mut Budget) {
        self.touch(key, budget);
        drop(self.made.remove(key));
    }

    fn touch(&mut self, key: &Key, budget: &mut Budget) {
        self.sealed = 0;
        let bucket = &self.made.buckets[key.bucket()];
        budget.spend(if Arc::strong_count(bucket) > 1 { 1 + bucket.entries.len() } else { 1 });
    }

    /// See [`Document::fits`].
    pub fn fits(&self) -> bool {
        self.made.fits()
    }

    /// Entries and bytes so far.
    pub fn size(&self) -> (usize, usize) {
        (self.made.len(), self.made.bytes())
    }

    /// Hashes what is not hashed, as far as the budget goes. The document, once; what is left here is of nothing.
    pub fn seal(&mut self, budget: &mut Budget) -> Option<Document> {
        while let Some(bucket) = self.made.buckets.get_mut(self.sealed) {
            if bucket.digest.is_none() {
                if budget.is_spent() {
                    return None;
                }
                budget.spend(bucket.entries.len().max(1));
                Arc::make_mut(bucket).seal();
            }
            self.sealed += 1;
        }
        self.made.root = Some(self.made.digest());
        Some(std::mem::take(self).made)
    }

    /// What is there of it, to be freed by steps and for nothing else.
    pub fn into_buckets(self) -> Vec<Arc<Bucket>> {
        self.made.buckets
    }
}

fn entry_bytes(key: &Key, value: &Value) -> usize {
    let says = match value {
        Value::Flag(_) => 1,
        Value::Int(_) => 8,
        Value::Text(word) => word.len(),
    };
    key.as_str().len() + says
}

fn hash_bucket(entries: &BTreeMap<Key, Value>) -> Digest {
    let mut hasher = blake3::Hasher::new();
    let mut bytes = Vec::with_capacity(96);
    for entry in entries {
        bytes.clear();
        // Lengths stand before the texts, so no two maps have the same bytes.
        match postcard::to_extend(&entry, std::mem::take(&mut bytes)) {
            Ok(made) => bytes = made,
            Err(error) => unreachable!("an entry in memory is always written: {error}"),
        }
        hasher.update(&bytes);
    }
    Digest(*hasher.finalize().as_bytes())
}
