//! Documents on their way: told as a delta where a base is held at both ends, in chunks that any holder can send.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::document::{Digest, Document, Key, Value, MOST_BYTES};
use crate::schema;
use crate::wire::CHUNK;

/// Documents kept: the one in force, the one before, the one on its way, a proposal, and two of grace.
const KEPT: usize = 6;
/// Encoded streams kept to send chunks from.
const STREAMS: usize = 3;
/// Chunks asked for at once.
pub(crate) const WINDOW: u32 = 32;
/// Most bytes of a stream: the document's bound and what each entry adds.
const MOST_STREAM: usize = MOST_BYTES * 2;

type Streamed = (Digest, Option<Digest>);

/// The documents this one holds.
#[derive(Debug, Default)]
pub(crate) struct Store {
    held: Vec<(Digest, Arc<Document>)>,
    streams: Vec<(Streamed, Arc<Vec<u8>>)>,
}

impl Store {
    pub fn get(&self, digest: Digest) -> Option<&Arc<Document>> {
        self.held.iter().find(|(held, _)| *held == digest).map(|(_, document)| document)
    }

    /// Keeps a document; of more than [`KEPT`] the oldest that `needed` does not name goes.
    pub fn put(&mut self, digest: Digest, document: Arc<Document>, needed: &[Digest]) {
        if self.get(digest).is_some() {
            return;
        }
        self.held.push((digest, document));
        while self.held.len() > KEPT {
            match self.held.iter().position(|(held, _)| !needed.contains(held) && *held != digest) {
                Some(at) => drop(self.held.remove(at)),
                None => break,
            }
        }
    }

    /// The chunk, with the total of the stream. A base that is not held here is passed over: the stream is then whole.
    pub fn chunk(
        &mut self,
        digest: Digest,
        base: Option<Digest>,
        at: u32,
    ) -> Option<(Option<Digest>, u32, Vec<u8>)> {
        let document = self.get(digest)?.clone();
        let against = base.and_then(|base| Some((base, self.get(base)?.clone())));
        let key = (digest, against.as_ref().map(|(base, _)| *base));
        let stream = match self.streams.iter().find(|(of, _)| *of == key) {
            Some((_, stream)) => stream.clone(),
            None => {
                let from = against.map_or_else(|| Arc::new(Document::default()), |(_, document)| document);
                let stream = Arc::new(write(&from.delta(&document)));
                if self.streams.len() >= STREAMS {
                    self.streams.remove(0);
                }
                self.streams.push((key, stream.clone()));
                stream
            }
        };
        let begin = at as usize * CHUNK;
        let part = stream.get(begin..stream.len().min(begin + CHUNK))?;
        Some((key.1, stream.len() as u32, part.to_vec()))
    }
}

/// Items, each after two bytes of its length.
fn write(delta: &[(Key, Option<Value>)]) -> Vec<u8> {
    let mut stream = Vec::with_capacity(delta.len() * 40);
    for item in delta {
        let start = stream.len();
        stream.extend_from_slice(&[0, 0]);
        match postcard::to_extend(item, std::mem::take(&mut stream)) {
            Ok(made) => stream = made,
            Err(error) => unreachable!("an entry in memory is always written: {error}"),
        }
        // A key has at most 259 bytes and a word 256.
        let length = (stream.len() - start - 2) as u16;
        stream[start..start + 2].copy_from_slice(&length.to_le_bytes());
    }
    stream
}

/// What a chunk brought.
#[derive(Debug, PartialEq)]
pub(crate) enum Fetched {
    /// Not for this fetch, or had already.
    Nothing,
    /// One more part.
    Part,
    /// The window is full: ask for the next at once.
    Window,
    /// All of it, and the digest is right.
    Whole(Arc<Document>),
    /// It is whole and says what this program does not know.
    Unknown(String),
    /// It is wrong: why. It begins anew, to be asked of another member.
    Wrong(String),
}

/// A document on its way here.
#[derive(Debug)]
pub(crate) struct Fetch {
    pub digest: Digest,
    base: Option<(Digest, Arc<Document>)>,
    made: Document,
    /// Bytes not yet parsed: less than an item.
    rest: Vec<u8>,
    next: u32,
    /// The chunk after the last asked for.
    asked: u32,
    early: BTreeMap<u32, Vec<u8>>,
    total: Option<u32>,
    unknown: Option<String>,
}

impl Fetch {
    pub fn new(digest: Digest, base: Option<(Digest, Arc<Document>)>) -> Fetch {
        let mut fetch = Fetch {
            digest,
            base,
            made: Document::default(),
            rest: Vec::new(),
            next: 0,
            asked: 0,
            early: BTreeMap::new(),
            total: None,
            unknown: None,
        };
        fetch.restart();
        fetch
    }

    fn restart(&mut self) {
        self.made = self.base.as_ref().map_or_else(Document::default, |(_, document)| (**document).clone());
        self.rest.clear();
        self.early.clear();
        self.next = 0;
        self.total = None;
        self.unknown = None;
    }

    /// Base, first chunk and mask to ask for.
    pub fn wants(&mut self) -> (Option<Digest>, u32, u32) {
        let last = self.total.map_or(1, chunks);
        // Before the total is known four are asked for: most documents are no longer.
        let due = |at: &u32| self.next + at < last || self.total.is_none() && *at < 4;
        let wanted = (0..WINDOW).filter(due).filter(|at| !self.early.contains_key(&(self.next + at)));
        let wanted: Vec<u32> = wanted.collect();
        self.asked = self.next + wanted.last().map_or(0, |at| at + 1);
        (
            self.base.as_ref().map(|(digest, _)| *digest),
            self.next,
            wanted.iter().fold(0, |mask, at| mask | 1 << at),
        )
    }

    /// Bytes that are here, and all.
    pub fn progress(&self) -> (usize, usize) {
        ((self.next as usize + self.early.len()) * CHUNK, self.total.unwrap_or_default() as usize)
    }

    pub fn chunk(
        &mut self,
        digest: Digest,
        base: Option<Digest>,
        total: u32,
        at: u32,
        bytes: Vec<u8>,
    ) -> Fetched {
        if digest != self.digest || total as usize > MOST_STREAM {
            return Fetched::Nothing;
        }
        if base != self.base.as_ref().map(|(digest, _)| *digest) {
            // The sender does not hold our base: it tells the whole.
            if base.is_some() || self.base.is_none() {
                return Fetched::Nothing;
            }
            self.base = None;
            self.restart();
        }
        let all = *self.total.get_or_insert(total);
        let due = (all as usize).saturating_sub(at as usize * CHUNK).min(CHUNK);
        let window = (self.next..self.next + WINDOW).contains(&at);
        if all != total || bytes.len() != due || !window || self.early.contains_key(&at) {
            return Fetched::Nothing;
        }
        self.early.insert(at, bytes);
        while let Some(bytes) = self.early.remove(&self.next) {
            self.next += 1;
            self.rest.extend_from_slice(&bytes);
            if let Err(why) = self.parse() {
                return self.wrong(why);
            }
        }
        if self.next < chunks(all) {
            // The last asked for is here: what is missing before it is lost, most likely. No need to wait for a period.
            let tail = at + 1 == self.asked;
            return if tail || self.next >= self.asked.min(chunks(all)) {
                Fetched::Window
            } else {
                Fetched::Part
            };
        }
        self.made.seal();
        if !self.rest.is_empty() || self.made.digest() != self.digest {
            return self.wrong("the digest is another".into());
        }
        // Only now: a spoilt part may read like something unknown.
        if let Some(why) = self.unknown.take() {
            return Fetched::Unknown(why);
        }
        Fetched::Whole(Arc::new(std::mem::take(&mut self.made)))
    }

    fn wrong(&mut self, why: String) -> Fetched {
        // Whatever was wrong: the next try is without a base, from another member.
        self.base = None;
        self.restart();
        Fetched::Wrong(why)
    }

    fn parse(&mut self) -> Result<(), String> {
        let mut at = 0;
        while let Some(head) = self.rest.get(at..at + 2) {
            let length = u16::from_le_bytes([head[0], head[1]]) as usize;
            let Some(item) = self.rest.get(at + 2..at + 2 + length) else { break };
            let (key, value): (Key, Option<Value>) =
                postcard::from_bytes(item).map_err(|error| format!("an entry is unreadable: {error}"))?;
            at += 2 + length;
            match value {
                Some(value) => {
                    if let Err(error) = schema::check(&key, &value) {
                        self.unknown.get_or_insert(error.to_string());
                    }
                    self.made.set(key, value);
                    if !self.made.fits() {
                        return Err("it is above the bounds of a document".into());
                    }
                }
                None => drop(self.made.remove(&key)),
            }
        }
        self.rest.drain(..at);
        Ok(())
    }
}

/// A stream of nothing is still one chunk, so that it has an end.
fn chunks(total: u32) -> u32 {
    total.div_ceil(CHUNK as u32).max(1)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn list(from: u32, to: u32) -> Arc<Document> {
        let entries = (from..to).map(|at| (Key::new(&format!("list/l/{at}")).unwrap(), Value::Flag(true)));
        Arc::new(entries.collect())
    }

    #[test]
    fn a_store_is_bounded_and_keeps_what_is_needed() {
        let mut store = Store::default();
        let first = list(0, 1);
        store.put(first.digest(), first.clone(), &[]);
        for at in 1..50 {
            let other = list(at, at + 1);
            store.put(other.digest(), other.clone(), &[first.digest()]);
            assert!(store.get(other.digest()).is_some() && store.get(first.digest()).is_some());
            store.chunk(other.digest(), Some(first.digest()), 0).unwrap();
        }
        assert_eq!((store.held.len(), store.streams.len()), (KEPT, STREAMS));
    }

    #[test]
    fn parts_in_any_order_make_it_and_wrong_ones_begin_it_anew() {
        let (old, new) = (list(0, 4_000), list(100, 4_100));
        let mut store = Store::default();
        store.put(old.digest(), old.clone(), &[]);
        store.put(new.digest(), new.clone(), &[]);
        let mut dice = fastrand::Rng::with_seed(1);
        for (base, spoilt) in [(None, false), (Some((old.digest(), old.clone())), false), (None, true)] {
            let mut fetch = Fetch::new(new.digest(), base);
            let (mut result, mut wrong, mut asked) = (None, 0, 0);
            while result.is_none() && asked < 1_000 {
                let (base, first, mask) = fetch.wants();
                asked += 1;
                let mut parts: Vec<u32> =
                    (0..WINDOW).filter(|at| mask >> at & 1 == 1).map(|at| first + at).collect();
                dice.shuffle(&mut parts);
                for at in parts {
                    let Some((base, total, mut bytes)) = store.chunk(new.digest(), base, at) else {
                        continue;
                    };
                    if spoilt && wrong == 0 && at == 2 {
                        bytes[9] ^= 1;
                    }
                    assert!(fetch.early.len() <= WINDOW as usize);
                    match fetch.chunk(new.digest(), base, total, at, bytes) {
                        Fetched::Whole(document) => result = Some(document),
                        Fetched::Wrong(_) => wrong += 1,
                        _ => {}
                    }
                }
            }
            assert_eq!(result.as_deref(), Some(&*new), "spoilt: {spoilt}");
            assert_eq!(wrong > 0, spoilt);
        }
    }
}
