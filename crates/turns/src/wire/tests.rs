//! Tests of `wire` that need its private state.

use super::*;

#[test]
fn a_message_fits_a_datagram_and_decodes_to_the_same() {
    let mut rng = fastrand::Rng::with_seed(3);
    for round in 0..200 {
        let loads = (0..rng.usize(..300)).map(|_| (rng.u32(..), rng.f32() * 1e6, rng.u16(..))).collect();
        let placed: Vec<PlacementRecord> = (0..rng.usize(..200))
            .map(|_| PlacementRecord {
                key: rng.u64(..).to_le_bytes(),
                conversation: rng.u16(..),
                site: rng.u8(..),
                depth: rng.u8(..),
                added: rng.u16(..) >> rng.u8(..16),
            })
            .collect();
        let message = Message::new(rng.u32(..), rng.u32(..), loads);
        let (bytes, taken) = message.clone().encode(&placed);
        assert!(bytes.len() <= MAX_DATAGRAM_BYTES, "round {round}: {}", bytes.len());
        let back = Message::decode(&bytes).expect("own words are read");
        assert_eq!((&back.placed[..], back.incarnation), (&placed[..taken], message.incarnation));
        let cut = rng.usize(..bytes.len());
        assert_eq!(Message::decode(&bytes[..cut]), None);
    }
}

#[test]
fn the_previous_format_is_read_with_zero_turn_counts() {
    let placed = PlacementRecord { key: [7; 8], conversation: 3, site: 0, depth: 5, added: 2 };
    let before = PreviousMessage {
        format: PREVIOUS_FORMAT,
        incarnation: 1,
        seq: 2,
        loads: vec![(9, 1.5)],
        placed: vec![placed],
    };
    let message = Message::decode(&postcard::to_stdvec(&before).unwrap()).expect("it is read");
    assert_eq!((message.incarnation, message.seq, message.loads), (1, 2, vec![(9, 1.5, 0)]));
    assert_eq!(message.placed, [placed]);
    let later = PreviousMessage { format: 3, ..before };
    assert_eq!(Message::decode(&postcard::to_stdvec(&later).unwrap()), None);
}

#[test]
fn random_bytes_never_decode_beyond_the_bounds() {
    let mut rng = fastrand::Rng::with_seed(4);
    for _ in 0..20_000 {
        let noise: Vec<u8> = (0..rng.usize(..1_300)).map(|_| rng.u8(..)).collect();
        if let Some(message) = Message::decode(&noise) {
            assert!(message.placed.len() <= MAX_PLACEMENTS && message.loads.len() <= 256);
        }
    }
}
