//! Tests of `upgrade` that need its private state.

use super::*;

#[test]
fn the_engine_state_survives_encoding() {
    let loaded = (0..3).map(|i| LoadedFunction {
        worker: "s-1".into(),
        function: format!("f{i}").as_str().into(),
        lanes: 2,
        copies: i,
        until: 17,
        calls: f64::from(i) + 0.5,
    });
    let tallies = vec![Tally { at: 100_000, calls: 7, orders: 2 }];
    let sends = vec![("s-2".into(), vec![5, 6])];
    let mut engine =
        HandoverState { loaded: loaded.collect(), tallies, served: 12.5, sends, sender_keeps_running: false };
    let mut state = ProcessState { out: vec!["s-9".into()], ..ProcessState::default() };
    state.set_engine_state(engine.clone());
    let Message::State(read) = serde_json::from_slice(&line(&Message::State(Box::new(state)))).unwrap()
    else {
        panic!("no state")
    };
    engine.loaded.reverse();
    assert_eq!((read.engine_state(), read.out), (engine, vec!["s-9".to_string()]), "most called first");
}

/// The holder of a rollout relies on this when it dismisses a candidate: everything that the system has accepted before
/// the reader's shutdown can be read, and nothing is accepted after it.
#[test]
fn after_its_shutdown_a_reader_gets_all_accepted_bytes_and_no_more() {
    let (reader, writer) = UnixStream::pair().unwrap();
    writer.set_nonblocking(true).unwrap();
    let mut taken = 0;
    while let Ok(n) = io::Write::write(&mut &writer, &[7; 1000]) {
        taken += n;
    }
    reader.shutdown(Shutdown::Read).unwrap();
    let refused = io::Write::write(&mut &writer, &[8]).unwrap_err();
    assert_eq!(refused.kind(), ErrorKind::BrokenPipe);
    let mut read = Vec::new();
    io::Read::read_to_end(&mut &reader, &mut read).unwrap();
    assert_eq!((read.len(), read.iter().all(|b| *b == 7)), (taken, true));
}

/// The same if the writer has ended in the meantime.
#[test]
fn accepted_bytes_can_be_read_after_the_writer_has_ended() {
    let (reader, writer) = UnixStream::pair().unwrap();
    io::Write::write_all(&mut &writer, b"data").unwrap();
    drop(writer);
    let mut read = Vec::new();
    io::Read::read_to_end(&mut &reader, &mut read).unwrap();
    assert_eq!(read, b"data");
}

#[test]
fn unknown_messages_and_fields_of_later_versions_are_ignored() {
    let read = |text: &str| serde_json::from_str::<Message>(text).unwrap();
    assert_eq!(read(r#"{"say":"weather","sun":1}"#), Message::Other);
    assert_eq!(read(r#"{"say":"state","moon":1}"#), Message::State(Box::default()));
}
