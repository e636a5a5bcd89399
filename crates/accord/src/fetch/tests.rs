//! Tests of `fetch` that need its private state.

use super::*;

fn list(from: u32, to: u32) -> Arc<Document> {
    let entries = (from..to).map(|at| (Key::new(&format!("list/l/{at}")).unwrap(), Value::Flag(true)));
    Arc::new(entries.collect())
}

fn put(store: &mut DocumentStore, document: &Arc<Document>, needed: &[Digest], reclaimer: &mut Reclaimer) {
    store.put(document.digest(), DocumentWithFloor::new(document.clone()), needed, reclaimer);
}

fn chunk_request(to: u32, digest: Digest, base: Option<Digest>) -> ChunkRequest {
    ChunkRequest { to: MemberId(to), digest, base, first: 0, mask: 1 }
}

/// Encodes all streams with this budget per step. Returns the members whose requests waited for them.
fn encode_all(store: &mut DocumentStore, entries: usize, reclaimer: &mut Reclaimer) -> Vec<MemberId> {
    let mut members = Vec::new();
    while store.has_work() {
        members
            .extend(store.write(&mut Budget::of(entries), reclaimer).into_iter().map(|request| request.to));
    }
    members
}

#[test]
fn a_store_is_bounded_and_keeps_what_is_needed() {
    let (mut store, mut reclaimer) = (DocumentStore::default(), Reclaimer::default());
    let first = list(0, 1);
    put(&mut store, &first, &[], &mut reclaimer);
    for at in 1..50 {
        let other = list(at, at + 1);
        put(&mut store, &other, &[first.digest()], &mut reclaimer);
        assert!(store.get(other.digest()).is_some() && store.get(first.digest()).is_some());
        for base in [Some(first.digest()), None] {
            assert!(!store.is_ready(&chunk_request(at, other.digest(), base)));
            assert!(store.chunk(other.digest(), base, 0).is_none(), "an incomplete stream is not sent");
            assert_eq!(encode_all(&mut store, 1, &mut reclaimer), [MemberId(at)]);
            store.chunk(other.digest(), base, 0).unwrap();
        }
    }
    assert_eq!((store.held.len(), store.streams.len()), (MAX_DOCUMENTS, MAX_STREAMS));
    assert!(
        !store.is_ready(&chunk_request(1, Digest::default(), None)) && !store.has_work(),
        "the document is not held"
    );
    for at in 0..1_000 {
        assert!(!store.is_ready(&chunk_request(at, first.digest(), None)));
    }
    assert_eq!(store.waiting.len(), MAX_WAITING_REQUESTS);
    assert_eq!(
        encode_all(&mut store, 1, &mut reclaimer).len(),
        MAX_WAITING_REQUESTS,
        "one stream serves all requests"
    );
}

/// A fault that is injected into the transfer of a document.
#[derive(Clone, Copy, PartialEq)]
enum Fault {
    None,
    Lost,
    Duplicated,
    Corrupted,
    MissingBase,
}

#[test]
fn a_fetch_gives_the_same_document_for_all_step_sizes_and_faults() {
    let (old, new) = (list(0, 4_000), list(100, 4_100));
    let faults = [Fault::None, Fault::Lost, Fault::Duplicated, Fault::Corrupted, Fault::MissingBase];
    for (seed, fault) in faults.into_iter().enumerate() {
        for entries in [1, 7, 100, 1_000, usize::MAX] {
            for base in [None, Some((old.digest(), old.clone()))] {
                check_fetch(seed as u64, fault, entries, base, &old, &new);
            }
        }
    }
}

fn check_fetch(
    seed: u64,
    fault: Fault,
    entries: usize,
    base: Option<(Digest, Arc<Document>)>,
    old: &Arc<Document>,
    new: &Arc<Document>,
) {
    let (mut store, mut reclaimer) = (DocumentStore::default(), Reclaimer::default());
    put(&mut store, new, &[], &mut reclaimer);
    if fault != Fault::MissingBase {
        put(&mut store, old, &[], &mut reclaimer);
    }
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut fetch = Fetch::new(new.digest(), base.clone());
    let (mut result, mut wrong, mut asked) = (None, 0, 0);
    while result.is_none() {
        asked += 1;
        assert!(asked < 10_000, "the fetch does not end");
        let (base, first, mask) = fetch.next_request();
        if !store.is_ready(&chunk_request(1, new.digest(), base)) {
            encode_all(&mut store, entries, &mut reclaimer);
        }
        let mut parts: Vec<u32> =
            (0..WINDOW_CHUNKS).filter(|at| mask >> at & 1 == 1).map(|at| first + at).collect();
        if fault == Fault::Duplicated {
            parts.extend(parts.clone());
        }
        rng.shuffle(&mut parts);
        for at in parts {
            let Some((base, total, mut bytes)) = store.chunk(new.digest(), base, at) else { continue };
            if fault == Fault::Lost && rng.u32(0..3) == 0 {
                continue;
            }
            if fault == Fault::Corrupted && wrong == 0 && at == 2 {
                bytes[9] ^= 1;
            }
            fetch.on_chunk(new.digest(), base, total, at, bytes, &mut reclaimer);
            assert!(fetch.ahead.len() <= WINDOW_CHUNKS as usize);
            assert!(fetch.unparsed.len() <= MAX_UNPARSED_BYTES * 2 + CHUNK_BYTES);
            // Sometimes the next chunk arrives before this one is parsed.
            for _ in 0..rng.u32(0..3) {
                let mut budget = Budget::of(entries);
                let step = fetch.step(&mut budget, &mut reclaimer);
                let most = (entries as u64).saturating_add(64);
                assert!(budget.touched() <= most, "{} of {entries}", budget.touched());
                match step {
                    Some(FetchEvent::Complete(whole)) => result = Some(whole),
                    Some(FetchEvent::Corrupt(_)) => wrong += 1,
                    _ => {}
                }
            }
        }
        while fetch.has_work() && result.is_none() {
            match fetch.step(&mut Budget::of(entries), &mut reclaimer) {
                Some(FetchEvent::Complete(whole)) => result = Some(whole),
                Some(FetchEvent::Corrupt(_)) => wrong += 1,
                _ => {}
            }
        }
    }
    let whole = result.unwrap();
    assert_eq!(whole.document.digest(), new.digest());
    assert!(whole.document.iter().eq(new.iter()) && whole.document.len() == new.len());
    assert_eq!(wrong > 0, fault == Fault::Corrupted);
}

#[test]
fn chunks_beyond_the_limit_of_unparsed_data_are_dropped() {
    let new = list(0, 20_000);
    let (mut store, mut reclaimer) = (DocumentStore::default(), Reclaimer::default());
    put(&mut store, &new, &[], &mut reclaimer);
    assert!(!store.is_ready(&chunk_request(1, new.digest(), None)));
    encode_all(&mut store, 100, &mut reclaimer);
    let mut fetch = Fetch::new(new.digest(), None);
    let (mut at, mut taken) = (0, 0);
    while let Some((base, total, bytes)) = store.chunk(new.digest(), None, at) {
        taken += u32::from(fetch.on_chunk(new.digest(), base, total, at, bytes, &mut reclaimer));
        at += 1;
    }
    assert!(at > 200 && taken <= MAX_UNPARSED_BYTES as u32 / CHUNK_BYTES as u32 + 1, "{taken} of {at}");
    assert!(!fetch.has_room());
}
