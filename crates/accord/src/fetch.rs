//! Transfer of documents: encoded as a stream, as a delta where both sides hold a base, and sent in chunks by
//! any member that holds the document.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::task::Poll;

use crate::document::{bucket_delta, Digest, Document, DocumentBuilder, Key, Value, MAX_DOCUMENT_BYTES};
use crate::incremental::{Budget, DocumentWithFloor, FloorExtraction, Reclaimer};
use crate::schema;
use crate::settings::MemberId;
use crate::wire::CHUNK_BYTES;

/// Maximum number of documents kept: the one in force, the one before, the pending one, a proposed one, and
/// two spare.
const MAX_DOCUMENTS: usize = 6;
/// Maximum number of encoded streams kept, from which chunks are sent.
const MAX_STREAMS: usize = 3;
/// Number of chunks requested at once.
pub(crate) const WINDOW_CHUNKS: u32 = 32;
/// Maximum size of a stream: the document's limit plus the overhead of each entry.
const MAX_STREAM_BYTES: usize = MAX_DOCUMENT_BYTES * 2;
/// Maximum number of bytes received in order but not parsed: one requested window, and another one that
/// arrives while the first is parsed.
const MAX_UNPARSED_BYTES: usize = WINDOW_CHUNKS as usize * CHUNK_BYTES * 2;
/// Maximum number of members that wait for a stream to be encoded. Others repeat their request after a
/// period.
const MAX_WAITING_REQUESTS: usize = 32;

type StreamKey = (Digest, Option<Digest>);

/// A request of a member for the chunks of a document that `mask` selects, counted from `first`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ChunkRequest {
    pub to: MemberId,
    pub digest: Digest,
    pub base: Option<Digest>,
    pub first: u32,
    pub mask: u32,
}

/// A chunk to send: the base of the delta, the size of the stream, and the data.
pub(crate) type Chunk = (Option<Digest>, u32, Vec<u8>);

/// The documents that this member holds.
#[derive(Debug, Default)]
pub(crate) struct DocumentStore {
    held: Vec<(Digest, DocumentWithFloor)>,
    streams: Vec<(StreamKey, Arc<Vec<u8>>)>,
    writer: Option<StreamWriter>,
    /// Requests that wait for a stream, at most one for each member.
    waiting: VecDeque<ChunkRequest>,
}

/// A stream that is being encoded. No chunk is sent before the stream is complete, because each chunk carries
/// the size of the stream.
#[derive(Debug)]
struct StreamWriter {
    key: StreamKey,
    from: Arc<Document>,
    to: Arc<Document>,
    /// Index of the next bucket.
    index: usize,
    stream: Vec<u8>,
}

impl DocumentStore {
    pub fn get(&self, digest: Digest) -> Option<&Arc<Document>> {
        self.with_floor(digest).map(|document| &document.document)
    }

    /// A document with its floor.
    pub fn with_floor(&self, digest: Digest) -> Option<&DocumentWithFloor> {
        self.held.iter().find(|(held, _)| *held == digest).map(|(_, document)| document)
    }

    /// Stores a document. Beyond [`MAX_DOCUMENTS`], drops the oldest document that is not in `needed`.
    pub fn put(
        &mut self,
        digest: Digest,
        document: DocumentWithFloor,
        needed: &[Digest],
        reclaimer: &mut Reclaimer,
    ) {
        if self.get(digest).is_some() {
            reclaimer.release_document(document.document);
            reclaimer.release_document(document.floor);
            return;
        }
        self.held.push((digest, document));
        while self.held.len() > MAX_DOCUMENTS {
            match self.held.iter().position(|(held, _)| !needed.contains(held) && *held != digest) {
                Some(at) => {
                    let (_, dropped) = self.held.remove(at);
                    reclaimer.release_document(dropped.document);
                    reclaimer.release_document(dropped.floor);
                }
                None => break,
            }
        }
    }

    /// A chunk, with the size of its stream; `None` if the stream is not encoded yet or this member does not
    /// hold the document. If it does not hold the base, the stream has the whole document.
    pub fn chunk(&self, digest: Digest, base: Option<Digest>, index: u32) -> Option<Chunk> {
        let key = self.stream_key(digest, base)?;
        let (_, stream) = self.streams.iter().find(|(held, _)| *held == key)?;
        let begin = index as usize * CHUNK_BYTES;
        let part = stream.get(begin..stream.len().min(begin + CHUNK_BYTES))?;
        Some((key.1, stream.len() as u32, part.to_vec()))
    }

    fn stream_key(&self, digest: Digest, base: Option<Digest>) -> Option<StreamKey> {
        self.get(digest)?;
        Some((digest, base.filter(|base| self.get(*base).is_some())))
    }

    /// Whether chunks for this request can be sent at once. If not, and the document is held, the request is
    /// queued until [`DocumentStore::write`] has encoded the stream and returns it.
    pub fn is_ready(&mut self, request: &ChunkRequest) -> bool {
        let Some(key) = self.stream_key(request.digest, request.base) else { return false };
        if self.streams.iter().any(|(held, _)| *held == key) {
            return true;
        }
        self.waiting.retain(|other| other.to != request.to);
        if self.waiting.len() < MAX_WAITING_REQUESTS {
            self.waiting.push_back(*request);
        }
        false
    }

    /// Whether there is a stream to encode.
    pub fn has_work(&self) -> bool {
        self.writer.is_some() || !self.waiting.is_empty()
    }

    /// Continues to encode a stream. Once it is complete, returns the requests that waited for it.
    pub fn write(&mut self, budget: &mut Budget, reclaimer: &mut Reclaimer) -> Vec<ChunkRequest> {
        while !budget.is_spent() {
            if self.writer.is_none() {
                let Some(next) = self.waiting.front() else { return Vec::new() };
                // Without a key, the document is no longer held: the request is returned and gets no answer.
                // If the stream was encoded for another member meanwhile, the request is returned to be
                // served.
                let key = self.stream_key(next.digest, next.base);
                match key.filter(|key| !self.streams.iter().any(|(held, _)| held == key)) {
                    None => return self.waiting.pop_front().into_iter().collect(),
                    Some(key) => {
                        let to = self.get(key.0).cloned().unwrap_or_default();
                        let from = key.1.and_then(|base| self.get(base).cloned()).unwrap_or_default();
                        self.writer = Some(StreamWriter { key, from, to, index: 0, stream: Vec::new() });
                    }
                }
            }
            let Some(writer) = &mut self.writer else { return Vec::new() };
            if writer.step(budget).is_pending() {
                return Vec::new();
            }
            if let Some(done) = self.writer.take() {
                if self.streams.len() >= MAX_STREAMS {
                    self.streams.remove(0);
                }
                self.streams.push((done.key, Arc::new(done.stream)));
                reclaimer.release_document(done.from);
                reclaimer.release_document(done.to);
                let mut ready = Vec::new();
                for request in std::mem::take(&mut self.waiting) {
                    if self.stream_key(request.digest, request.base) == Some(done.key) {
                        ready.push(request);
                    } else {
                        self.waiting.push_back(request);
                    }
                }
                return ready;
            }
        }
        Vec::new()
    }
}

impl StreamWriter {
    /// Appends the items of the stream, each after two bytes with its length.
    fn step(&mut self, budget: &mut Budget) -> Poll<()> {
        while let (Some(old), Some(new)) = (self.from.bucket(self.index), self.to.bucket(self.index)) {
            if !Arc::ptr_eq(old, new) {
                if budget.is_spent() {
                    return Poll::Pending;
                }
                budget.spend((old.entries.len() + new.entries.len()).max(1));
                for item in bucket_delta(old, new) {
                    append(&mut self.stream, &item);
                }
            }
            self.index += 1;
        }
        Poll::Ready(())
    }
}

fn append(stream: &mut Vec<u8>, item: &(&Key, Option<&Value>)) {
    let start = stream.len();
    stream.extend_from_slice(&[0, 0]);
    match postcard::to_extend(item, std::mem::take(stream)) {
        Ok(extended) => *stream = extended,
        Err(error) => unreachable!("encoding an entry to memory cannot fail: {error}"),
    }
    // A key has at most 259 bytes and a text 256, so the length fits.
    let length = (stream.len() - start - 2) as u16;
    stream[start..start + 2].copy_from_slice(&length.to_le_bytes());
}

/// What a step of a fetch led to.
#[derive(Debug)]
pub(crate) enum FetchEvent {
    /// All requested chunks are parsed; request the next ones at once.
    WindowComplete,
    /// The document is complete and its digest is correct.
    Complete(DocumentWithFloor),
    /// The document is complete but has entries that this program does not know.
    Unsupported(String),
    /// The data is wrong, for this reason. The fetch starts again, from another member.
    Corrupt(String),
}

/// A document that is being received.
#[derive(Debug)]
pub(crate) struct Fetch {
    pub digest: Digest,
    base: Option<(Digest, Arc<Document>)>,
    builder: DocumentBuilder,
    /// Set once the document is hashed and its digest is correct.
    floor_extraction: Option<FloorExtraction>,
    /// Bytes received in order. Those before `parsed` are parsed.
    unparsed: Vec<u8>,
    parsed: usize,
    next_chunk: u32,
    /// Index after the last requested chunk.
    requested_end: u32,
    /// Chunks received ahead of `next_chunk`.
    ahead: BTreeMap<u32, Vec<u8>>,
    /// Size of the stream in bytes, known from the first chunk.
    total: Option<u32>,
    unsupported: Option<String>,
    /// Whether there is something to parse, to hash or to report.
    work_pending: bool,
    /// Whether all requested chunks have arrived or are lost.
    window_done: bool,
}

impl Fetch {
    pub fn new(digest: Digest, base: Option<(Digest, Arc<Document>)>) -> Fetch {
        let mut fetch = Fetch {
            digest,
            base,
            builder: DocumentBuilder::default(),
            floor_extraction: None,
            unparsed: Vec::new(),
            parsed: 0,
            next_chunk: 0,
            requested_end: 0,
            ahead: BTreeMap::new(),
            total: None,
            unsupported: None,
            work_pending: false,
            window_done: false,
        };
        fetch.restart(&mut Reclaimer::default());
        fetch
    }

    fn restart(&mut self, reclaimer: &mut Reclaimer) {
        let builder = self
            .base
            .as_ref()
            .map_or_else(DocumentBuilder::default, |(_, base)| DocumentBuilder::from_base(base));
        reclaimer.release_partial(std::mem::replace(&mut self.builder, builder));
        self.floor_extraction.take().into_iter().for_each(|extraction| extraction.release(reclaimer));
        self.unparsed.clear();
        self.ahead.clear();
        self.unsupported = None;
        self.total = None;
        (self.parsed, self.next_chunk, self.work_pending, self.window_done) = (0, 0, false, false);
    }

    /// Hands over the remaining data to be freed incrementally.
    pub fn release(mut self, reclaimer: &mut Reclaimer) {
        self.base.take().into_iter().for_each(|(_, base)| reclaimer.release_document(base));
        self.restart(reclaimer);
    }

    /// Whether to request more chunks: not while much of the received data is unparsed, and not once all chunks
    /// have arrived.
    pub fn has_room(&self) -> bool {
        self.unparsed.len() - self.parsed < MAX_UNPARSED_BYTES / 2
            && self.total.is_none_or(|total| self.next_chunk < chunk_count(total))
    }

    /// Whether there is work for [`Fetch::step`].
    pub fn has_work(&self) -> bool {
        self.work_pending
    }

    /// The base, the first chunk and the mask of the next request.
    pub fn next_request(&mut self) -> (Option<Digest>, u32, u32) {
        let last = self.total.map_or(1, chunk_count);
        // Before the size is known, four chunks are requested: most documents are no longer than that.
        let is_due = |at: &u32| self.next_chunk + at < last || self.total.is_none() && *at < 4;
        let wanted =
            (0..WINDOW_CHUNKS).filter(is_due).filter(|at| !self.ahead.contains_key(&(self.next_chunk + at)));
        let wanted: Vec<u32> = wanted.collect();
        self.requested_end = self.next_chunk + wanted.last().map_or(0, |at| at + 1);
        (
            self.base.as_ref().map(|(digest, _)| *digest),
            self.next_chunk,
            wanted.iter().fold(0, |mask, at| mask | 1 << at),
        )
    }

    /// Number of bytes received, and the total.
    pub fn progress(&self) -> (usize, usize) {
        ((self.next_chunk as usize + self.ahead.len()) * CHUNK_BYTES, self.total.unwrap_or_default() as usize)
    }

    /// Takes a chunk, which [`Fetch::step`] parses. Returns whether it was a missing one.
    pub fn on_chunk(
        &mut self,
        digest: Digest,
        base: Option<Digest>,
        total: u32,
        index: u32,
        bytes: Vec<u8>,
        reclaimer: &mut Reclaimer,
    ) -> bool {
        if digest != self.digest || total as usize > MAX_STREAM_BYTES {
            return false;
        }
        if base != self.base.as_ref().map(|(digest, _)| *digest) {
            // The sender does not hold the base, so it sends the whole document.
            if base.is_some() || self.base.is_none() {
                return false;
            }
            self.base.take().into_iter().for_each(|(_, base)| reclaimer.release_document(base));
            self.restart(reclaimer);
        }
        let all = *self.total.get_or_insert(total);
        let length = (all as usize).saturating_sub(index as usize * CHUNK_BYTES).min(CHUNK_BYTES);
        let in_window =
            (self.next_chunk..self.next_chunk + WINDOW_CHUNKS).contains(&index) && index < chunk_count(all);
        let room = self.unparsed.len() - self.parsed < MAX_UNPARSED_BYTES;
        if all != total || bytes.len() != length || !in_window || !room || self.ahead.contains_key(&index) {
            return false;
        }
        self.ahead.insert(index, bytes);
        while let Some(bytes) = self.ahead.remove(&self.next_chunk) {
            self.next_chunk += 1;
            self.unparsed.extend_from_slice(&bytes);
        }
        // The last requested chunk has arrived, so earlier missing ones are most likely lost; there is no
        // need to wait for a period.
        self.window_done |=
            index + 1 == self.requested_end || self.next_chunk >= self.requested_end.min(chunk_count(all));
        self.work_pending = true;
        true
    }

    /// Parses the data, and hashes the document once it is complete, for as long as the budget lasts. `None`
    /// if the caller has nothing to do yet.
    pub fn step(&mut self, budget: &mut Budget, reclaimer: &mut Reclaimer) -> Option<FetchEvent> {
        if !self.work_pending {
            return None;
        }
        if let Some(extraction) = &mut self.floor_extraction {
            let Poll::Ready(document) = extraction.step(budget) else { return None };
            (self.floor_extraction, self.work_pending) = (None, false);
            return Some(FetchEvent::Complete(document));
        }
        if let Err(why) = self.parse(budget) {
            return Some(self.corrupt(why, reclaimer));
        }
        if self.has_item() {
            return None;
        }
        if self.total.is_none_or(|total| self.next_chunk < chunk_count(total)) {
            self.work_pending = false;
            return std::mem::take(&mut self.window_done).then_some(FetchEvent::WindowComplete);
        }
        if self.parsed < self.unparsed.len() {
            return Some(self.corrupt("the stream ends within an entry".into(), reclaimer));
        }
        let document = self.builder.seal(budget)?;
        let (digest, document) = (document.digest(), Arc::new(document));
        if digest != self.digest {
            reclaimer.release_document(document);
            return Some(self.corrupt("the digest does not match".into(), reclaimer));
        }
        // Reported only after the digest is verified, because corrupt data may look like an unknown entry.
        if let Some(why) = self.unsupported.take() {
            reclaimer.release_document(document);
            self.work_pending = false;
            return Some(FetchEvent::Unsupported(why));
        }
        self.floor_extraction = Some(FloorExtraction::new(document));
        self.step(budget, reclaimer)
    }

    fn corrupt(&mut self, why: String, reclaimer: &mut Reclaimer) -> FetchEvent {
        // Whatever the cause, the next attempt uses no base and another member.
        self.base.take().into_iter().for_each(|(_, base)| reclaimer.release_document(base));
        self.restart(reclaimer);
        FetchEvent::Corrupt(why)
    }

    /// Start and end of the next item, if it is complete.
    fn next_item(&self) -> Option<(usize, usize)> {
        let head = self.unparsed.get(self.parsed..self.parsed + 2)?;
        let length = u16::from_le_bytes([head[0], head[1]]) as usize;
        let begin = self.parsed + 2;
        (begin + length <= self.unparsed.len()).then_some((begin, begin + length))
    }

    fn has_item(&self) -> bool {
        self.next_item().is_some()
    }

    fn parse(&mut self, budget: &mut Budget) -> Result<(), String> {
        while let Some((begin, end)) = self.next_item().filter(|_| !budget.is_spent()) {
            let (key, value): (Key, Option<Value>) = postcard::from_bytes(&self.unparsed[begin..end])
                .map_err(|error| format!("cannot decode an entry: {error}"))?;
            self.parsed = end;
            match value {
                Some(value) => {
                    if let Err(error) = schema::check_entry(&key, &value) {
                        self.unsupported.get_or_insert(error.to_string());
                    }
                    self.builder.set(key, value, budget);
                    if !self.builder.fits() {
                        return Err("it exceeds the limits of a document".into());
                    }
                }
                None => self.builder.remove(&key, budget),
            }
        }
        // Removing parsed bytes moves the rest, so they are removed once per window instead of per entry.
        if self.parsed >= MAX_UNPARSED_BYTES / 2 || self.parsed == self.unparsed.len() {
            self.unparsed.drain(..self.parsed);
            self.parsed = 0;
        }
        Ok(())
    }
}

/// An empty stream still has one chunk, so that the receiver sees its end.
fn chunk_count(total_bytes: u32) -> u32 {
    total_bytes.div_ceil(CHUNK_BYTES as u32).max(1)
}

#[cfg(test)]
mod tests;
