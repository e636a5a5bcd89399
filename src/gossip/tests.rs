//! Tests of `gossip` that need its private state.

use super::*;

fn entry(host: u16, function: u32, status: Status) -> Entry {
    Entry { host, function, status }
}

#[test]
fn datagrams_are_decoded_and_corrupt_ones_are_rejected() {
    let all = [
        Status::Serving(0),
        Status::Serving(10),
        Status::Loading,
        Status::Gone,
        Status::Copies(2),
        Status::Copies(4),
    ];
    let mut entries: Vec<_> = all.into_iter().map(|s| entry(0xabcd, NO_FUNCTION - 1, s)).collect();
    entries.push(entry(7, NO_FUNCTION, Status::NoRoom));
    let bytes = encode(9, &entries, 256);
    assert_eq!(decode(&bytes), Some((9, entries)));
    let many = vec![entry(1, 2, Status::Serving(99)); 99];
    let bytes = encode(0, &many, 256);
    assert!(bytes.len() <= 256 && decode(&bytes).is_some_and(|(_, l)| l.len() == 50));
    // Each changed byte and each shorter length is detected.
    for i in 0..bytes.len() {
        let mut other = bytes.clone();
        other[i] ^= 0x20;
        assert_eq!(decode(&other).filter(|_| i != 1), None, "byte {i}");
        assert_eq!(decode(&bytes[..i]), None, "{i} bytes");
    }
    let mut rng = fastrand::Rng::with_seed(3);
    let noise = |rng: &mut fastrand::Rng| (0..rng.usize(..258)).map(|_| rng.u8(..)).collect::<Vec<_>>();
    let read = (0..20_000).filter(|_| decode(&noise(&mut rng)).is_some()).count();
    assert!(read <= 3, "{read} of 20,000 were accepted");
}

#[test]
fn calls_in_progress_are_summed_replaced_and_expire() {
    let (period, keep) = (500_000, 5_000_000);
    let mut table = PeerTable::default();
    let datagram = |s, n| encode(s, &[entry(1, 5, Status::Serving(n)), entry(2, 6, Status::Gone)], 256);
    assert!(table.add(1, period, 3, &datagram(255, 4)).is_some());
    assert!(table.add(2, period, 4, &datagram(7, 2)).is_some());
    assert_eq!((table.at_host(1), table.at_place(5, 1), table.at_host(2)), (6.0, 6.0, 0.0));
    // A duplicate and an overtaken datagram change nothing; the next one replaces the calls in progress.
    assert!(
        table.add(3, period, 3, &datagram(255, 9)).is_none()
            && table.add(3, period, 3, &datagram(250, 9)).is_none()
    );
    assert!(table.add(4, period, 3, &datagram(0, 1)).is_some());
    assert_eq!((table.at_host(1), table.at_place(5, 1)), (3.0, 3.0));
    // A restarted router is accepted once its old datagram has expired.
    assert!(table.add(5 + MAX_AGE_PERIODS * period, period, 3, &datagram(200, 5)).is_some());
    table.expire(5 + MAX_AGE_PERIODS * period, (period, keep), 4, true);
    assert_eq!((table.at_host(1), table.reliable), (5.0, true), "the other's is too old");
    table.expire(PEER_TIMEOUT_US * 3, (period, keep), 4, true);
    assert!(
        !table.reliable && table.peers.is_empty() && table.at_host.is_empty() && table.at_place.is_empty()
    );
}

#[test]
fn places_of_uncalled_functions_are_bounded_and_expire() {
    let mut table = PeerTable::default();
    for f in 0..2 * MAX_UNCALLED_PLACES as u32 {
        table.remember(1, (f, 0), Status::Serving(0));
    }
    assert_eq!(table.uncalled.len(), MAX_UNCALLED_PLACES);
    table.remember(2, (0, 0), Status::Copies(3));
    let place = &table.uncalled[&(0, 0)];
    assert_eq!((place.at, place.copies), (2, 3), "a known place is kept up to date");
    table.remember(3, (0, 0), Status::Gone);
    assert_eq!(table.uncalled.len(), MAX_UNCALLED_PLACES - 1);
    table.expire(6_000_000, (500_000, 5_000_000), 4, true);
    assert!(table.uncalled.is_empty());
}

/// Calls in progress may be of names that clients made up: they leave room for places that news reports.
#[test]
fn calls_in_progress_do_not_fill_the_table_of_uncalled_functions() {
    let mut table = PeerTable::default();
    for f in 0..2 * MAX_UNCALLED_PLACES as u32 {
        table.remember(1, (f, 0), Status::Serving(1));
    }
    assert_eq!((table.uncalled.len(), table.unproven), (MAX_UNPROVEN_PLACES, MAX_UNPROVEN_PLACES));
    table.remember(2, (7, 1), Status::Copies(2));
    table.remember(2, (3, 0), Status::Loading);
    assert_eq!((table.take_known(7).len(), table.unproven), (1 + 1, MAX_UNPROVEN_PLACES - 2));
    assert!(table.uncalled[&(3, 0)].proven);
    table.expire(6_000_000, (500_000, 5_000_000), 4, true);
    assert_eq!((table.uncalled.len(), table.unproven), (0, 0));
}

/// Guards against places that are never sent: calls in progress were sent from the lowest key up and news from the
/// highest down, both cut at one datagram, so that with more entries each datagram had the same places.
#[test]
fn all_places_are_sent_in_turn_when_one_datagram_is_too_small() {
    let mut composer = Composer::default();
    let held: BTreeMap<PlaceKey, u8> = (0..120).map(|f| ((f, 1), 3)).collect();
    let mut sent = std::collections::BTreeMap::new();
    for round in 0..8 {
        (0..60).for_each(|f| composer.queue((f, 2), if f % 2 == 0 { Status::Loading } else { Status::Gone }));
        let bytes = composer.compose(&held, 256, |_, _| true).expect("entries to send");
        let (sequence, entries) = decode(&bytes).expect("it can be read");
        assert_eq!((sequence, entries.len()), (round + 1, 50));
        entries.iter().for_each(|l| *sent.entry((l.host, l.function)).or_insert(0) += 1);
    }
    assert_eq!(sent.len(), 180, "every place");
    assert!(sent.values().all(|n| (1..=4).contains(n)), "about as often: {sent:?}");
}

#[test]
fn queued_news_is_bounded_replaced_and_omitted_if_already_announced() {
    let mut composer = Composer::default();
    (0..2 * MAX_QUEUED_NEWS as u32).for_each(|f| composer.queue((f, 0), Status::Loading));
    assert_eq!(composer.entries(), MAX_QUEUED_NEWS);
    composer.queue((3, 0), Status::Gone);
    let bytes = composer.compose(&BTreeMap::new(), 256, |_, _| false).expect("loads are always sent");
    let (_, entries) = decode(&bytes).unwrap();
    assert!(entries.contains(&entry(0, 3, Status::Gone)) && !entries.contains(&entry(0, 3, Status::Loading)));
    let mut composer = Composer::default();
    (0..4).for_each(|f| composer.queue((f, 0), Status::Serving(0)));
    let bytes =
        composer.compose(&BTreeMap::new(), 256, |place, _| place.0 == 2).expect("one that is not known");
    assert_eq!(decode(&bytes).unwrap().1, vec![entry(0, 2, Status::Serving(0))]);
}

#[test]
fn almost_all_host_keys_of_a_fleet_are_distinct() {
    let hosts: std::collections::BTreeSet<_> =
        (0..100).map(|i| host_key(&format!("s-{i:08x}").as_str().into())).collect();
    assert!(hosts.len() >= 99, "{} keys", hosts.len());
    assert!((0..10_000).all(|i| function_key(&format!("{i:016x}").as_str().into()) < NO_FUNCTION));
}
