//! Documents on their way: told as a delta where a base is held at both ends, in chunks that any holder can send.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::task::Poll;

use crate::document::{bucket_delta, Digest, Document, DocumentBuilder, Key, Value, MAX_DOCUMENT_BYTES};
use crate::incremental::{Budget, DocumentWithFloor, FloorExtraction, Reclaimer};
use crate::schema;
use crate::settings::MemberId;
use crate::wire::CHUNK_BYTES;

/// Documents kept: the one in force, the one before, the one on its way, a proposal, and two of grace.
const MAX_DOCUMENTS: usize = 6;
/// Encoded streams kept to send chunks from.
const MAX_STREAMS: usize = 3;
/// Chunks asked for at once.
pub(crate) const WINDOW_CHUNKS: u32 = 32;
/// Most bytes of a stream: the document's bound and what each entry adds.
const MAX_STREAM_BYTES: usize = MAX_DOCUMENT_BYTES * 2;
/// Bytes that came in order and are not parsed, at most: what was asked for, and as much again while that is parsed.
const MAX_UNPARSED_BYTES: usize = WINDOW_CHUNKS as usize * CHUNK_BYTES * 2;
/// Members that wait for a stream that is being written, at most. Who is not among them asks again after a period.
const MAX_WAITING_REQUESTS: usize = 32;

type StreamKey = (Digest, Option<Digest>);

/// What is asked of a member: the chunks of a document that a mask names, from the first on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ChunkRequest {
    pub to: MemberId,
    pub digest: Digest,
    pub base: Option<Digest>,
    pub first: u32,
    pub mask: u32,
}

/// A chunk to be sent: against which base, of how many bytes in all, and its own.
pub(crate) type Chunk = (Option<Digest>, u32, Vec<u8>);

/// The documents this one holds.
#[derive(Debug, Default)]
pub(crate) struct DocumentStore {
    held: Vec<(Digest, DocumentWithFloor)>,
    streams: Vec<(StreamKey, Arc<Vec<u8>>)>,
    writing: Option<StreamWriter>,
    /// Who waits for streams, by name one.
    waiting: VecDeque<ChunkRequest>,
}

/// A stream that is being written: none of it is sent before all of it is there, as each chunk says how long it is.
#[derive(Debug)]
struct StreamWriter {
    of: StreamKey,
    from: Arc<Document>,
    to: Arc<Document>,
    at: usize,
    stream: Vec<u8>,
}

impl DocumentStore {
    pub fn get(&self, digest: Digest) -> Option<&Arc<Document>> {
        self.whole(digest).map(|whole| &whole.document)
    }

    /// A document with its floor.
    pub fn whole(&self, digest: Digest) -> Option<&DocumentWithFloor> {
        self.held.iter().find(|(held, _)| *held == digest).map(|(_, whole)| whole)
    }

    /// Keeps a document; of more than [`MAX_DOCUMENTS`] the oldest that `needed` does not name goes.
    pub fn put(
        &mut self,
        digest: Digest,
        whole: DocumentWithFloor,
        needed: &[Digest],
        reclaimer: &mut Reclaimer,
    ) {
        if self.get(digest).is_some() {
            reclaimer.release_document(whole.document);
            reclaimer.release_document(whole.floor);
            return;
        }
        self.held.push((digest, whole));
        while self.held.len() > MAX_DOCUMENTS {
            match self.held.iter().position(|(held, _)| !needed.contains(held) && *held != digest) {
                Some(at) => {
                    let (_, gone) = self.held.remove(at);
                    reclaimer.release_document(gone.document);
                    reclaimer.release_document(gone.floor);
                }
                None => break,
            }
        }
    }

    /// The chunk, with the total of the stream; none if that is not written yet, or the document not held. A base that is
    /// not held here is passed over: the stream is then whole.
    pub fn chunk(&self, digest: Digest, base: Option<Digest>, at: u32) -> Option<Chunk> {
        let key = self.streamed(digest, base)?;
        let (_, stream) = self.streams.iter().find(|(of, _)| *of == key)?;
        let begin = at as usize * CHUNK_BYTES;
        let part = stream.get(begin..stream.len().min(begin + CHUNK_BYTES))?;
        Some((key.1, stream.len() as u32, part.to_vec()))
    }

    fn streamed(&self, digest: Digest, base: Option<Digest>) -> Option<StreamKey> {
        self.get(digest)?;
        Some((digest, base.filter(|base| self.get(*base).is_some())))
    }

    /// Whether chunks of this can be sent at once. If not, and the document is held, its stream is written by
    /// [`DocumentStore::write`], which then tells this one again.
    pub fn is_ready(&mut self, wanted: &ChunkRequest) -> bool {
        let Some(key) = self.streamed(wanted.digest, wanted.base) else { return false };
        if self.streams.iter().any(|(of, _)| *of == key) {
            return true;
        }
        self.waiting.retain(|other| other.to != wanted.to);
        if self.waiting.len() < MAX_WAITING_REQUESTS {
            self.waiting.push_back(*wanted);
        }
        false
    }

    /// Whether a stream is to be written.
    pub fn has_work(&self) -> bool {
        self.writing.is_some() || !self.waiting.is_empty()
    }

    /// Goes on with a stream; once it is written, who waited for it.
    pub fn write(&mut self, budget: &mut Budget, reclaimer: &mut Reclaimer) -> Vec<ChunkRequest> {
        while !budget.is_spent() {
            if self.writing.is_none() {
                let Some(next) = self.waiting.front() else { return Vec::new() };
                // Not held any more, or written for another: who asked is told so by silence, or served.
                let key = self.streamed(next.digest, next.base);
                match key.filter(|key| !self.streams.iter().any(|(of, _)| of == key)) {
                    None => return self.waiting.pop_front().into_iter().collect(),
                    Some(of) => {
                        let to = self.get(of.0).cloned().unwrap_or_default();
                        let from = of.1.and_then(|base| self.get(base).cloned()).unwrap_or_default();
                        self.writing = Some(StreamWriter { of, from, to, at: 0, stream: Vec::new() });
                    }
                }
            }
            let Some(writing) = &mut self.writing else { return Vec::new() };
            if writing.step(budget).is_pending() {
                return Vec::new();
            }
            if let Some(done) = self.writing.take() {
                if self.streams.len() >= MAX_STREAMS {
                    self.streams.remove(0);
                }
                self.streams.push((done.of, Arc::new(done.stream)));
                reclaimer.release_document(done.from);
                reclaimer.release_document(done.to);
                let mut ready = Vec::new();
                for wanted in std::mem::take(&mut self.waiting) {
                    if self.streamed(wanted.digest, wanted.base) == Some(done.of) {
                        ready.push(wanted);
                    } else {
                        self.waiting.push_back(wanted);
                    }
                }
                return ready;
            }
        }
        Vec::new()
    }
}

impl StreamWriter {
    /// Items, each after two bytes of its length.
    fn step(&mut self, budget: &mut Budget) -> Poll<()> {
        while let (Some(old), Some(new)) = (self.from.bucket(self.at), self.to.bucket(self.at)) {
            if !Arc::ptr_eq(old, new) {
                if budget.is_spent() {
                    return Poll::Pending;
                }
                budget.spend((old.entries.len() + new.entries.len()).max(1));
                for item in bucket_delta(old, new) {
                    append(&mut self.stream, &item);
                }
            }
            self.at += 1;
        }
        Poll::Ready(())
    }
}

fn append(stream: &mut Vec<u8>, item: &(&Key, Option<&Value>)) {
    let start = stream.len();
    stream.extend_from_slice(&[0, 0]);
    match postcard::to_extend(item, std::mem::take(stream)) {
        Ok(made) => *stream = made,
        Err(error) => unreachable!("an entry in memory is always written: {error}"),
    }
    // A key has at most 259 bytes and a word 256.
    let length = (stream.len() - start - 2) as u16;
    stream[start..start + 2].copy_from_slice(&length.to_le_bytes());
}

/// What became of a fetch by a step.
#[derive(Debug)]
pub(crate) enum FetchEvent {
    /// The window is full: ask for the next at once.
    WindowComplete,
    /// All of it, and the digest is right.
    Complete(DocumentWithFloor),
    /// It is whole and says what this program does not know.
    Unsupported(String),
    /// It is wrong: why. It begins anew, to be asked of another member.
    Corrupt(String),
}

/// A document on its way here.
#[derive(Debug)]
pub(crate) struct Fetch {
    pub digest: Digest,
    base: Option<(Digest, Arc<Document>)>,
    made: DocumentBuilder,
    /// Once it is hashed and the digest is right.
    flooring: Option<FloorExtraction>,
    /// Bytes that came in order, of which those before `read` are parsed.
    rest: Vec<u8>,
    read: usize,
    next: u32,
    /// The chunk after the last asked for.
    asked: u32,
    early: BTreeMap<u32, Vec<u8>>,
    total: Option<u32>,
    unknown: Option<String>,
    /// There is something to parse, to hash or to tell.
    busy: bool,
    /// What was asked for is here, or lost.
    hungry: bool,
}

impl Fetch {
    pub fn new(digest: Digest, base: Option<(Digest, Arc<Document>)>) -> Fetch {
        let mut fetch = Fetch {
            digest,
            base,
            made: DocumentBuilder::default(),
            flooring: None,
            rest: Vec::new(),
            read: 0,
            next: 0,
            asked: 0,
            early: BTreeMap::new(),
            total: None,
            unknown: None,
            busy: false,
            hungry: false,
        };
        fetch.restart(&mut Reclaimer::default());
        fetch
    }

    fn restart(&mut self, reclaimer: &mut Reclaimer) {
        let begun =
            self.base.as_ref().map_or_else(DocumentBuilder::default, |(_, base)| DocumentBuilder::onto(base));
        reclaimer.release_partial(std::mem::replace(&mut self.made, begun));
        self.flooring.take().into_iter().for_each(|flooring| flooring.release(reclaimer));
        self.rest.clear();
        self.early.clear();
        self.unknown = None;
        self.total = None;
        (self.read, self.next, self.busy, self.hungry) = (0, 0, false, false);
    }

    /// What is left of it is freed by steps.
    pub fn release(mut self, reclaimer: &mut Reclaimer) {
        self.base.take().into_iter().for_each(|(_, base)| reclaimer.release_document(base));
        self.restart(reclaimer);
    }

    /// Whether more is to be asked for: not while what is here waits to be parsed, or all of it is here.
    pub fn has_room(&self) -> bool {
        self.rest.len() - self.read < MAX_UNPARSED_BYTES / 2
            && self.total.is_none_or(|total| self.next < chunks(total))
    }

    /// Whether [`Fetch::step`] has something to do.
    pub fn has_work(&self) -> bool {
        self.busy
    }

    /// Base, first chunk and mask to ask for.
    pub fn wants(&mut self) -> (Option<Digest>, u32, u32) {
        let last = self.total.map_or(1, chunks);
        // Before the total is known four are asked for: most documents are no longer.
        let due = |at: &u32| self.next + at < last || self.total.is_none() && *at < 4;
        let wanted = (0..WINDOW_CHUNKS).filter(due).filter(|at| !self.early.contains_key(&(self.next + at)));
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
        ((self.next as usize + self.early.len()) * CHUNK_BYTES, self.total.unwrap_or_default() as usize)
    }

    /// Takes a chunk, to be parsed by [`Fetch::step`]. Whether it was one that is missing.
    pub fn on_chunk(
        &mut self,
        digest: Digest,
        base: Option<Digest>,
        total: u32,
        at: u32,
        bytes: Vec<u8>,
        reclaimer: &mut Reclaimer,
    ) -> bool {
        if digest != self.digest || total as usize > MAX_STREAM_BYTES {
            return false;
        }
        if base != self.base.as_ref().map(|(digest, _)| *digest) {
            // The sender does not hold our base: it tells the whole.
            if base.is_some() || self.base.is_none() {
                return false;
            }
            self.base.take().into_iter().for_each(|(_, base)| reclaimer.release_document(base));
            self.restart(reclaimer);
        }
        let all = *self.total.get_or_insert(total);
        let due = (all as usize).saturating_sub(at as usize * CHUNK_BYTES).min(CHUNK_BYTES);
        let window = (self.next..self.next + WINDOW_CHUNKS).contains(&at) && at < chunks(all);
        let room = self.rest.len() - self.read < MAX_UNPARSED_BYTES;
        if all != total || bytes.len() != due || !window || !room || self.early.contains_key(&at) {
            return false;
        }
        self.early.insert(at, bytes);
        while let Some(bytes) = self.early.remove(&self.next) {
            self.next += 1;
            self.rest.extend_from_slice(&bytes);
        }
        // The last asked for is here: what is missing before it is lost, most likely. No need to wait for a period.
        self.hungry |= at + 1 == self.asked || self.next >= self.asked.min(chunks(all));
        self.busy = true;
        true
    }

    /// Parses, and hashes once all is here, for as long as the budget lasts. None: there is nothing to be done about it yet.
    pub fn step(&mut self, budget: &mut Budget, reclaimer: &mut Reclaimer) -> Option<FetchEvent> {
        if !self.busy {
            return None;
        }
        if let Some(flooring) = &mut self.flooring {
            let Poll::Ready(whole) = flooring.step(budget) else { return None };
            (self.flooring, self.busy) = (None, false);
            return Some(FetchEvent::Complete(whole));
        }
        if let Err(why) = self.parse(budget) {
            return Some(self.wrong(why, reclaimer));
        }
        if self.has_item() {
            return None;
        }
        if self.total.is_none_or(|total| self.next < chunks(total)) {
            self.busy = false;
            return std::mem::take(&mut self.hungry).then_some(FetchEvent::WindowComplete);
        }
        if self.read < self.rest.len() {
            return Some(self.wrong("it ends within an entry".into(), reclaimer));
        }
        let made = self.made.seal(budget)?;
        let (digest, made) = (made.digest(), Arc::new(made));
        if digest != self.digest {
            reclaimer.release_document(made);
            return Some(self.wrong("the digest is another".into(), reclaimer));
        }
        // Only now: a spoilt part may read like something unknown.
        if let Some(why) = self.unknown.take() {
            reclaimer.release_document(made);
            self.busy = false;
            return Some(FetchEvent::Unsupported(why));
        }
        self.flooring = Some(FloorExtraction::new(made));
        self.step(budget, reclaimer)
    }

    fn wrong(&mut self, why: String, reclaimer: &mut Reclaimer) -> FetchEvent {
        // Whatever was wrong: the next try is without a base, from another member.
        self.base.take().into_iter().for_each(|(_, base)| reclaimer.release_document(base));
        self.restart(reclaimer);
        FetchEvent::Corrupt(why)
    }

    /// The next item that is here whole: where it begins and ends.
    fn item(&self) -> Option<(usize, usize)> {
        let head = self.rest.get(self.read..self.read + 2)?;
        let length = u16::from_le_bytes([head[0], head[1]]) as usize;
        let begin = self.read + 2;
        (begin + length <= self.rest.len()).then_some((begin, begin + length))
    }

    fn has_item(&self) -> bool {
        self.item().is_some()
    }

    fn parse(&mut self, budget: &mut Budget) -> Result<(), String> {
        while let Some((begin, end)) = self.item().filter(|_| !budget.is_spent()) {
            let (key, value): (Key, Option<Value>) = postcard::from_bytes(&self.rest[begin..end])
                .map_err(|error| format!("an entry is unreadable: {error}"))?;
            self.read = end;
            match value {
                Some(value) => {
                    if let Err(error) = schema::check_entry(&key, &value) {
                        self.unknown.get_or_insert(error.to_string());
                    }
                    self.made.set(key, value, budget);
                    if !self.made.fits() {
                        return Err("it is above the bounds of a document".into());
                    }
                }
                None => self.made.remove(&key, budget),
            }
        }
        // What is parsed goes by the window, not by the entry: each time what is left moves.
        if self.read >= MAX_UNPARSED_BYTES / 2 || self.read == self.rest.len() {
            self.rest.drain(..self.read);
            self.read = 0;
        }
        Ok(())
    }
}

/// A stream of nothing is still one chunk, so that it has an end.
fn chunks(total: u32) -> u32 {
    total.div_ceil(CHUNK_BYTES as u32).max(1)
}

#[cfg(test)]
mod tests;
