//! Tests of `relay` that need its private state.

use super::*;
use crate::{wait_for, LONG};

fn two() -> (Mesh, UdpSocket, UdpSocket) {
    let ends = [0, 1].map(|_| UdpSocket::bind("127.0.0.1:0").unwrap());
    let mesh = Mesh::new(&[0, 1].map(|k| ends[k].local_addr().unwrap()), 7).unwrap();
    let [a, b] = ends;
    b.set_read_timeout(Some(LONG)).unwrap();
    (mesh, a, b)
}

fn heard(b: &UdpSocket) -> Vec<u8> {
    let mut buf = [0; 64];
    let n = b.recv_from(&mut buf).unwrap().0;
    buf[..n].to_vec()
}

#[test]
fn what_comes_seems_to_come_from_where_its_sender_is_reached() {
    let (mesh, a, b) = two();
    a.send_to(b"x", mesh.near(0, 1)).unwrap();
    let mut buf = [0; 8];
    assert_eq!(b.recv_from(&mut buf).unwrap(), (1, mesh.near(1, 0)));
}

#[test]
fn a_cut_is_of_one_way_only() {
    let (mesh, a, b) = two();
    mesh.set(1, 0, Faults::CUT);
    b.send_to(b"lost", mesh.near(1, 0)).unwrap();
    wait_for("the loss", || mesh.way(1, 0).tally.lost.load(Relaxed) == 1);
    a.send_to(b"there", mesh.near(0, 1)).unwrap();
    assert_eq!(heard(&b), b"there");
}

#[test]
fn what_is_doubled_comes_twice_and_what_is_stalled_comes_later() {
    let (mesh, a, b) = two();
    mesh.set(0, 1, Faults { doubled: 1.0, stalled: true, ..Faults::default() });
    a.send_to(b"x", mesh.near(0, 1)).unwrap();
    wait_for("its coming", || mesh.way(0, 1).tally.came.load(Relaxed) == 1);
    assert_eq!(mesh.way(0, 1).tally.went.load(Relaxed), 0);
    mesh.set(0, 1, Faults::default());
    assert_eq!([heard(&b), heard(&b)], [b"x", b"x"]);
}

#[test]
fn what_is_made_up_comes_as_the_members_word_and_is_counted() {
    let (mesh, a, b) = two();
    let (said, kinds) = ([&[0xff, 0x57, 0x4c, 1, 2][..], b"counts"].concat(), vec![Kind::Drafts]);
    a.send_to(&said, mesh.near(0, 1)).unwrap();
    assert_eq!(heard(&b), said);
    mesh.new_life(0);
    let replay = Tamper { kinds: kinds.clone(), replay_per_s: 100.0, ..Tamper::default() };
    mesh.way(0, 1).set_tamper(replay);
    let mut buf = [0; 64];
    for _ in 0..3 {
        let (n, from) = b.recv_from(&mut buf).unwrap();
        assert_eq!((&buf[..n], from), (&said[..], mesh.near(1, 0)));
    }
    assert!(mesh.tampered(1).replayed >= 3 && mesh.tampered(0) == Tampered::default());
    assert_eq!(mesh.told(0), ([0, 0, 1, 0], 0), "what is made up is nobody's word in the count");
    // Spoilt, and of the kind that is meant only.
    mesh.way(0, 1).set_tamper(Tamper { kinds, spoil: 1.0, ..Tamper::default() });
    a.send_to(b"other", mesh.near(0, 1)).unwrap();
    while heard(&b) != b"other" {}
    a.send_to(&said, mesh.near(0, 1)).unwrap();
    assert_ne!(heard(&b), said);
    assert_eq!(mesh.tampered(1).spoilt, 1);
}

#[test]
fn a_cut_way_makes_nothing_up_and_a_lent_word_is_another_ways() {
    let way = Way::default();
    let lent = Way::default();
    lent.count(b"lent");
    let lenders = Lenders { own: vec![lent.kept.clone()], others: Vec::new() };
    let tamper = |forge| Tamper { forge_per_s: 100.0, forge, ..Tamper::default() };
    let (mut liar, mut number) = (fastrand::Rng::with_seed(2), 0);
    let mut play = |faults, forge| {
        way.set(faults);
        way.set_tamper(tamper(forge));
        let long_ago = Instant::now().checked_sub(ms(50)).unwrap();
        let (mut due, mut waiting) = ([Due::new(long_ago), Due::new(long_ago)], Waiting::new());
        way.make_up(&mut liar, &lenders, &mut due, &mut waiting, &mut number);
        waiting.into_iter().map(|Reverse((_, _, bytes))| bytes).collect::<Vec<_>>()
    };
    assert!(play(Faults::CUT, Lie::Misdelivered).is_empty());
    let made = play(Faults::default(), Lie::Misdelivered);
    assert!(made.len() >= 4 && made.iter().all(|bytes| bytes == b"lent"));
    assert!(play(Faults::default(), Lie::Borrowed).is_empty(), "nobody lends");
    assert!(play(Faults::default(), Lie::Numbers).is_empty(), "it said nothing yet");
}

#[test]
fn parts_of_documents_are_counted_by_bytes() {
    use wheellink_accord::parts::{encode, Message};
    let digest = wheellink_accord::Document::default().digest();
    let chunk = Message::Chunk { digest, base: None, total_bytes: 9, index: 0, bytes: vec![1; 9] };
    let way = Way::default();
    let datagram = [&[0xff, 0x57, 0x4c, 1, 1][..], &encode(&chunk)].concat();
    way.count(&datagram);
    way.count(&[&[0xff, 0x57, 0x4c, 1, 1][..], b"other"].concat());
    assert_eq!(way.tally.chunks.load(Relaxed), datagram.len() as u64);
    assert_eq!(way.tally.kinds[Kind::Accord as usize].load(Relaxed), 1);
}

#[test]
fn a_stalled_way_holds_no_more_than_its_bound() {
    let way = Way::default();
    way.set(Faults { stalled: true, doubled: 0.5, ..Faults::default() });
    let (mut rng, mut waiting, mut number) = (fastrand::Rng::with_seed(1), Waiting::new(), 0);
    for _ in 0..2 * MOST_WAITING {
        way.take(&mut rng, b"x", &mut waiting, &mut number);
    }
    assert!(waiting.len() <= MOST_WAITING && waiting.len() >= MOST_WAITING - 1);
    assert!(way.tally.lost.load(Relaxed) > 0);
}

#[test]
fn the_same_seed_loses_the_same() {
    let lost = |seed| {
        let way = Way::default();
        way.set(Faults { loss: 0.3, reordered: 0.2, ..Faults::default() });
        let (mut rng, mut waiting, mut number) = (fastrand::Rng::with_seed(seed), Waiting::new(), 0);
        for k in 0..200u8 {
            way.take(&mut rng, &[k], &mut waiting, &mut number);
        }
        let mut kept: Vec<_> = waiting.into_iter().map(|Reverse((_, _, bytes))| bytes[0]).collect();
        kept.sort_unstable();
        kept
    };
    assert_eq!(lost(3), lost(3));
    assert_ne!(lost(3), lost(4));
    assert!((110..170).contains(&lost(3).len()));
}

#[test]
fn a_reset_breaks_off_what_stands_and_a_cut_turns_away() {
    let far = TcpListener::bind("127.0.0.1:0").unwrap();
    let pipe = Pipe::new(far.local_addr().unwrap(), [127, 0, 0, 9]).unwrap();
    let mut near = TcpStream::connect(pipe.address).unwrap();
    near.set_read_timeout(Some(LONG)).unwrap();
    let (mut other, _) = far.accept().unwrap();
    near.write_all(b"x").unwrap();
    let mut byte = [0];
    other.read_exact(&mut byte).unwrap();
    pipe.reset();
    assert!(matches!(near.read(&mut byte), Err(_) | Ok(0)));
    pipe.cut(true);
    let mut turned = TcpStream::connect(pipe.address).unwrap();
    turned.set_read_timeout(Some(LONG)).unwrap();
    assert!(matches!(turned.read(&mut byte), Err(_) | Ok(0)));
    pipe.cut(false);
    let mut near = TcpStream::connect(pipe.address).unwrap();
    near.write_all(b"y").unwrap();
    far.accept().unwrap().0.read_exact(&mut byte).unwrap();
    assert_eq!(&byte, b"y");
}
