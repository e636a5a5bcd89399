//! A document: a map of keys to values, with size limits and a digest.
//!
//! Entries are stored in buckets that versions share, each with its own digest. To make a version of 100,000
//! entries that differs in ten, ten buckets are copied and hashed.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::{Arc, OnceLock};

use serde::{Deserialize, Serialize};

use crate::incremental::Budget;

/// Maximum number of entries in a document. Two versions of a list of 100,000 fit; beyond that, a full
/// transfer takes minutes at the usual rate.
pub const MAX_DOCUMENT_ENTRIES: usize = 200_000;
/// Maximum total size of a document's keys and values. Each activator may have to hold several documents of
/// this size.
pub const MAX_DOCUMENT_BYTES: usize = 16 << 20;
/// Maximum size of a [`Value::Text`].
pub const MAX_TEXT_BYTES: usize = 256;
/// Maximum size of one segment of a key.
const MAX_KEY_SEGMENT_BYTES: usize = 64;
/// Number of buckets in a document: about 100 entries each at 100,000 entries, and 16 kB to hash for the root
/// digest.
const BUCKET_COUNT: usize = 512;

/// A key: a path of 2 to 4 segments of 1 to 64 bytes, separated by `/`.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Key(Box<str>);

/// Why a text is not a valid key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyError(pub String);

impl Key {
    /// Creates a key from a path.
    ///
    /// # Errors
    /// Fewer than 2 or more than 4 segments, or a segment that is empty, longer than 64 bytes, or contains a
    /// control character or white space.
    pub fn new(path: &str) -> Result<Key, KeyError> {
        let segments = path.split('/').count();
        let shown = || path.chars().take(80).collect::<String>();
        if !(2..=4).contains(&segments) {
            return Err(KeyError(format!("key {:?}: {segments} segments, 2 to 4 are allowed", shown())));
        }
        for segment in path.split('/') {
            if segment.is_empty() || segment.len() > MAX_KEY_SEGMENT_BYTES {
                return Err(KeyError(format!(
                    "key {:?}: a segment has 1 to {MAX_KEY_SEGMENT_BYTES} bytes",
                    shown()
                )));
            }
            if segment.chars().any(|c| c.is_control() || c.is_whitespace()) {
                return Err(KeyError(format!(
                    "key {:?}: spaces and control characters not allowed",
                    shown()
                )));
            }
        }
        Ok(Key(path.into()))
    }

    /// The path as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// The segments of the path.
    pub fn segments(&self) -> impl Iterator<Item = &str> {
        self.0.split('/')
    }

    /// The key that holds the floor of this key: the path after `floor/`. `None` for a key of four segments.
    pub fn floor(&self) -> Option<Key> {
        Key::new(&format!("floor/{}", self.0)).ok()
    }

    /// The key whose floor this key holds, if its first segment is `floor`.
    pub fn floor_target(&self) -> Option<Key> {
        self.0.strip_prefix("floor/").and_then(|rest| Key::new(rest).ok())
    }

    fn bucket(&self) -> usize {
        // FNV-1a. The root digest depends on the bucket of each key, so all programs must use the same hash.
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

/// The value of a key.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Value {
    /// True or false.
    Flag(bool),
    /// An integer; the key's name gives the unit.
    Int(i64),
    /// A text of at most 256 bytes.
    Text(String),
}

impl fmt::Display for Value {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Value::Flag(flag) => write!(f, "{flag}"),
            Value::Int(int) => write!(f, "{int}"),
            Value::Text(text) => f.write_str(text),
        }
    }
}

/// The BLAKE3 digest of a document's canonical encoding.
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
    /// `None` if entries changed since the bucket was last hashed.
    digest: Option<Digest>,
    /// Whether all entries belong to lists. Valid only while hashed.
    only_lists: bool,
    /// Whether any key names a voter. Valid only while hashed.
    names_voters: bool,
}

impl Bucket {
    /// Whether the bucket is hashed and all its entries belong to lists, which are soft and not part of the
    /// floor.
    pub fn only_lists(&self) -> bool {
        self.digest.is_some() && self.only_lists
    }

    /// Hashes the bucket.
    fn seal(&mut self) {
        self.digest = Some(hash_bucket(&self.entries));
        self.only_lists = self.entries.keys().all(|key| key.as_str().starts_with("list/"));
        self.names_voters = self.entries.keys().any(|key| key.as_str().starts_with("voter/"));
    }
}

/// A map of keys to values that is cheap to clone. Documents with the same entries have the same digest,
/// whatever the order in which the entries were set.
#[derive(Clone)]
pub struct Document {
    buckets: Vec<Arc<Bucket>>,
    entries: usize,
    bytes: usize,
    /// `None` if entries changed since the document was sealed.
    root: Option<Digest>,
}

impl Default for Document {
    fn default() -> Document {
        // Empty documents are created often, as floors, so all share one that is hashed once.
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
    /// The value of a key.
    pub fn get(&self, key: &Key) -> Option<&Value> {
        self.buckets[key.bucket()].entries.get(key)
    }

    /// Number of entries.
    pub fn len(&self) -> usize {
        self.entries
    }

    /// Whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.entries == 0
    }

    /// Total size of keys and values, which [`MAX_DOCUMENT_BYTES`] limits.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// All entries, in an order that depends only on the entries but is not the order of keys.
    pub fn iter(&self) -> impl Iterator<Item = (&Key, &Value)> {
        self.buckets.iter().flat_map(|bucket| &bucket.entries)
    }

    /// All entries except those of buckets that hold only entries of lists, which are soft and not part of
    /// the floor.
    pub(crate) fn entries_outside_lists(&self) -> impl Iterator<Item = (&Key, &Value)> {
        let outside_lists = |bucket: &&Arc<Bucket>| !bucket.only_lists();
        self.buckets.iter().filter(outside_lists).flat_map(|bucket| &bucket.entries)
    }

    /// The entries of buckets with keys that name voters, whatever else those buckets hold: few entries,
    /// whatever the size of the document.
    pub(crate) fn entries_of_voter_buckets(&self) -> impl Iterator<Item = (&Key, &Value)> {
        let may_name_voters = |bucket: &&Arc<Bucket>| bucket.digest.is_none() || bucket.names_voters;
        self.buckets.iter().filter(may_name_voters).flat_map(|bucket| &bucket.entries)
    }

    /// The entries whose keys start with a prefix such as `class/`, sorted by key. Visits every entry.
    pub fn entries_under(&self, prefix: &str) -> Vec<(&Key, &Value)> {
        let mut found: Vec<_> = self.iter().filter(|(key, _)| key.as_str().starts_with(prefix)).collect();
        found.sort_unstable_by_key(|(key, _)| *key);
        found
    }

    /// Sets a key. The caller checks the limits with [`Document::fits`] once all keys are set.
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

    /// Removes a key, if present.
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

    /// Whether the document is within [`MAX_DOCUMENT_ENTRIES`] and [`MAX_DOCUMENT_BYTES`].
    pub fn fits(&self) -> bool {
        self.entries <= MAX_DOCUMENT_ENTRIES && self.bytes <= MAX_DOCUMENT_BYTES
    }

    /// Hashes the changed buckets and the root, so that [`Document::digest`] of this document and its clones
    /// is free.
    pub fn seal(&mut self) {
        self.buckets
            .iter_mut()
            .filter(|bucket| bucket.digest.is_none())
            .for_each(|bucket| Arc::make_mut(bucket).seal());
        self.root = Some(self.digest());
    }

    /// The digest of all entries.
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

    /// The keys to set and to remove to turn this document into `newer`. Skips shared buckets.
    pub fn delta(&self, newer: &Document) -> Vec<(Key, Option<Value>)> {
        let mut delta = Vec::new();
        let owned = |(key, value): (&Key, Option<&Value>)| (key.clone(), value.cloned());
        for (old, new) in self.buckets.iter().zip(&newer.buckets).filter(|(old, new)| !Arc::ptr_eq(old, new))
        {
            delta.extend(bucket_delta(old, new).map(owned));
        }
        delta
    }

    /// The bucket at an index; `None` after the last. For incremental work.
    pub(crate) fn bucket(&self, index: usize) -> Option<&Arc<Bucket>> {
        self.buckets.get(index)
    }

    /// The buckets, to be freed one by one.
    pub(crate) fn into_buckets(self) -> Vec<Arc<Bucket>> {
        self.buckets
    }

    /// The document's floor: the entries below `floor/`, without that segment.
    pub fn floor(&self) -> Document {
        self.entries_outside_lists().filter_map(|(k, v)| Some((k.floor_target()?, v.clone()))).collect()
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

/// The keys to set and to remove to turn one bucket into another.
pub(crate) fn bucket_delta<'a>(
    old: &'a Bucket,
    new: &'a Bucket,
) -> impl Iterator<Item = (&'a Key, Option<&'a Value>)> {
    let removed = old.entries.keys().filter(|key| !new.entries.contains_key(*key));
    let set = new.entries.iter().filter(|(key, value)| old.entries.get(*key) != Some(value));
    removed.map(|key| (key, None)).chain(set.map(|(key, value)| (key, Some(value))))
}

/// A document under construction. It has no digest and is not a [`Document`], so an incomplete document
/// cannot be obeyed, sent or hashed. Only [`DocumentBuilder::seal`] turns it into a document, once all of it
/// is hashed.
#[derive(Debug, Default)]
pub(crate) struct DocumentBuilder {
    document: Document,
    /// Buckets before this index are hashed.
    hashed_until: usize,
}

impl DocumentBuilder {
    /// Creates a builder that starts from the entries of `base`.
    pub fn from_base(base: &Document) -> DocumentBuilder {
        DocumentBuilder { document: base.clone(), hashed_until: 0 }
    }

    /// Sets a key. The budget also pays for copying a bucket that other versions share.
    pub fn set(&mut self, key: Key, value: Value, budget: &mut Budget) {
        self.charge(&key, budget);
        self.document.set(key, value);
    }

    /// Removes a key, if present.
    pub fn remove(&mut self, key: &Key, budget: &mut Budget) {
        self.charge(key, budget);
        drop(self.document.remove(key));
    }

    fn charge(&mut self, key: &Key, budget: &mut Budget) {
        self.hashed_until = 0;
        let bucket = &self.document.buckets[key.bucket()];
        budget.spend(if Arc::strong_count(bucket) > 1 { 1 + bucket.entries.len() } else { 1 });
    }

    /// See [`Document::fits`].
    pub fn fits(&self) -> bool {
        self.document.fits()
    }

    /// Number of entries and bytes so far.
    pub fn size(&self) -> (usize, usize) {
        (self.document.len(), self.document.bytes())
    }

    /// Hashes the changed buckets as far as the budget allows. Returns the document once all are hashed, and
    /// leaves an empty builder.
    pub fn seal(&mut self, budget: &mut Budget) -> Option<Document> {
        while let Some(bucket) = self.document.buckets.get_mut(self.hashed_until) {
            if bucket.digest.is_none() {
                if budget.is_spent() {
                    return None;
                }
                budget.spend(bucket.entries.len().max(1));
                Arc::make_mut(bucket).seal();
            }
            self.hashed_until += 1;
        }
        self.document.root = Some(self.document.digest());
        Some(std::mem::take(self).document)
    }

    /// The buckets of an incomplete document, to be freed incrementally.
    pub fn into_buckets(self) -> Vec<Arc<Bucket>> {
        self.document.buckets
    }
}

fn entry_bytes(key: &Key, value: &Value) -> usize {
    let value_bytes = match value {
        Value::Flag(_) => 1,
        Value::Int(_) => 8,
        Value::Text(text) => text.len(),
    };
    key.as_str().len() + value_bytes
}

fn hash_bucket(entries: &BTreeMap<Key, Value>) -> Digest {
    let mut hasher = blake3::Hasher::new();
    let mut bytes = Vec::with_capacity(96);
    for entry in entries {
        bytes.clear();
        // The encoding puts lengths before texts, so different maps never have the same bytes.
        match postcard::to_extend(&entry, std::mem::take(&mut bytes)) {
            Ok(made) => bytes = made,
            Err(error) => unreachable!("encoding an entry to memory cannot fail: {error}"),
        }
        hasher.update(&bytes);
    }
    Digest(*hasher.finalize().as_bytes())
}
