//! Tests of `load` that need its private state.

use super::*;

#[test]
fn turns_grow_and_end_and_families_share_their_beginning() {
    let mut rng = fastrand::Rng::with_seed(11);
    let mut conversation = Conversation::new(&mut rng);
    let mut before = conversation.blocks.clone();
    while conversation.blocks.len() < LONGEST {
        let header = conversation.turn(&mut rng);
        assert!(conversation.blocks.starts_with(&before) && conversation.blocks.len() > before.len());
        let parts: Vec<_> = header.split(';').collect();
        assert_eq!(parts[2].split(',').count(), conversation.blocks.len());
        assert!(parts[2].split(',').all(|h| h.len() <= 16));
        before = conversation.blocks.clone();
    }
    assert_eq!(conversation.blocks.len(), LONGEST);
    let begins: std::collections::BTreeSet<_> =
        (0..100).map(|_| Conversation::new(&mut rng).blocks).collect();
    assert_eq!(begins.len() as u64, FAMILIES);
}

#[test]
fn what_has_no_room_is_counted_and_not_kept() {
    let path = std::env::temp_dir().join(format!("wheellink-load-{}", std::process::id()));
    let history = Arc::new(History::create(&path).unwrap());
    let fronts: Fronts = Arc::new(vec![Mutex::new(None)]);
    let calls =
        Calls { per_s: 2_000.0, keyed: 0.2, unsafe_: 0.2, window_ms: 8_000, conversations: 0, halves: 0 };
    let load = Load::start(&calls, By::Dns, fronts, 3, history.clone());
    sleep(Duration::from_millis(1_300));
    load.end();
    history.flush().unwrap();
    let lines = crate::history::read(&path).unwrap();
    assert!(lines.iter().any(|l| matches!(l.saw, Saw::Shed { calls } if calls > 0)));
    assert!(!lines.iter().any(|l| matches!(l.saw, Saw::Sent { .. })), "nobody was there to be sent to");
    std::fs::remove_file(path).unwrap();
}
