//! Relays: every datagram and every connection between two processes goes through one, and it may be lost there.
//!
//! A member knows another by the address that its datagrams come from. So a pair has two sockets, each of which stands for
//! the member at the other end, and each *ordered* pair has a way of its own with its own faults.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::ms;
use crate::tamper::{body, change_numbers, spoil, Due, Kept, Kind, Lie, Tamper, Tampered};

/// Datagrams that wait on one way at the most; further ones are lost, as in any network with queues of an end.
const MOST_WAITING: usize = 4_096;
/// How often a relay looks whether it is over.
const LOOK: Duration = Duration::from_millis(20);
/// The longest datagram taken, in bytes.
const LONGEST: usize = 2_048;

/// What a way does to what goes along it; all of it may be changed while it runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// The share that is lost, 0 to 1; 1 is a cut.
    pub loss: f64,
    /// How late everything comes, in milliseconds.
    pub delay_ms: u64,
    /// The share that comes twice, 0 to 1.
    pub doubled: f64,
    /// The share that comes 1 to 50 ms after what was sent later, 0 to 1.
    pub reordered: f64,
    /// Nothing goes on until this ends; then all that waited comes at once.
    pub stalled: bool,
}

impl Faults {
    /// Everything is lost.
    pub const CUT: Self = Self { loss: 1.0, delay_ms: 0, doubled: 0.0, reordered: 0.0, stalled: false };

    /// Whether nothing at all comes through.
    pub fn is_cut(&self) -> bool {
        self.loss >= 1.0 || self.stalled
    }
}

/// What became of the datagrams of one way.
#[derive(Debug, Default)]
pub struct Tally {
    /// Came in.
    pub came: AtomicU64,
    /// Came in, by [`Kind`], without parts of documents.
    pub kinds: [AtomicU64; 4],
    /// Bytes of datagrams with parts of documents that came in.
    pub chunks: AtomicU64,
    /// Spoilt, sent again and made up.
    pub tampered: Mutex<Tampered>,
    /// Lost, by the share or for want of room.
    pub lost: AtomicU64,
    /// Went out, doubles among them.
    pub went: AtomicU64,
}

/// One direction between two members.
#[derive(Clone, Default)]
pub struct Way {
    faults: Arc<Mutex<Faults>>,
    tamper: Arc<Mutex<Tamper>>,
    kept: Arc<Mutex<Kept>>,
    /// What became of its datagrams.
    pub tally: Arc<Tally>,
}

/// What waits for its time: when, its number, and the bytes.
type Waiting = BinaryHeap<Reverse<(Instant, u64, Vec<u8>)>>;

/// The ways whose words one may lend to another: those from its own sender to others, and all others.
#[derive(Clone, Default)]
struct Lenders {
    own: Vec<Arc<Mutex<Kept>>>,
    others: Vec<Arc<Mutex<Kept>>>,
}

/// A datagram that is no part of a way's traffic, and what it counts as.
fn made_up(
    rng: &mut fastrand::Rng,
    tamper: &Tamper,
    kept: &Mutex<Kept>,
    lenders: &Lenders,
    replay: bool,
) -> Option<Vec<u8>> {
    let of = |rng: &mut fastrand::Rng, ways: &[Arc<Mutex<Kept>>]| {
        let way = ways.get(rng.usize(..ways.len().max(1)))?;
        way.lock().unwrap().any(rng, tamper)
    };
    match (replay, tamper.forge) {
        (true, _) => kept.lock().unwrap().old(rng, tamper),
        (false, Lie::Misdelivered) => of(rng, &lenders.own),
        (false, Lie::Borrowed) => of(rng, &lenders.others),
        (false, Lie::Numbers) => {
            let said = kept.lock().unwrap().any(rng, tamper)?;
            Some(change_numbers(rng, &said))
        }
    }
}

impl Way {
    fn start(
        &self,
        [from, out]: [UdpSocket; 2],
        to: SocketAddr,
        seed: u64,
        lenders: Lenders,
        over: Arc<AtomicBool>,
    ) {
        let shared = self.clone();
        spawn(move || {
            let mut rng = fastrand::Rng::with_seed(seed);
            // Of its own, so that what is lost does not hang on what is made up.
            let mut liar = fastrand::Rng::with_seed(seed ^ 0x11a7);
            let (mut waiting, mut number) = (Waiting::new(), 0);
            let mut due = [Due::new(Instant::now()), Due::new(Instant::now())];
            let mut buf = [0; LONGEST];
            while !over.load(Relaxed) {
                let next = waiting.peek().map(|Reverse((due, ..))| *due);
                let left = next.map_or(LOOK, |due| due.saturating_duration_since(Instant::now()).min(LOOK));
                // A time-out of nothing would mean to wait for ever.
                let _ = from.set_read_timeout(Some(left.max(Duration::from_micros(100))));
                if let Ok((n, _)) = from.recv_from(&mut buf) {
                    shared.count(&buf[..n]);
                    let spoilt = shared.tamper(&mut liar, &buf[..n]);
                    shared.take(&mut rng, spoilt.as_deref().unwrap_or(&buf[..n]), &mut waiting, &mut number);
                }
                shared.make_up(&mut liar, &lenders, &mut due, &mut waiting, &mut number);
                let stalled = shared.faults.lock().unwrap().stalled;
                let now = Instant::now();
                while !stalled && waiting.peek().is_some_and(|Reverse((due, ..))| *due <= now) {
                    let Some(Reverse((_, _, bytes))) = waiting.pop() else { break };
                    if out.send_to(&bytes, to).is_ok() {
                        shared.tally.went.fetch_add(1, Relaxed);
                    }
                }
            }
        });
    }

    /// Counts what came, as it came.
    fn count(&self, bytes: &[u8]) {
        self.tally.came.fetch_add(1, Relaxed);
        if is_chunk(bytes) {
            self.tally.chunks.fetch_add(bytes.len() as u64, Relaxed);
        } else {
            self.tally.kinds[Kind::of(bytes) as usize].fetch_add(1, Relaxed);
        }
        self.kept.lock().unwrap().keep(bytes);
    }

    /// The datagram spoilt, if it is to be.
    fn tamper(&self, liar: &mut fastrand::Rng, bytes: &[u8]) -> Option<Vec<u8>> {
        let tamper = self.tamper.lock().unwrap();
        let hit = liar.f64() < tamper.spoil && tamper.means(Kind::of(bytes));
        hit.then(|| {
            self.tally.tampered.lock().unwrap().spoilt += 1;
            spoil(liar, bytes)
        })
    }

    /// Puts what is made up among what waits. Where nothing comes through, nothing made up does.
    fn make_up(
        &self,
        liar: &mut fastrand::Rng,
        lenders: &Lenders,
        due: &mut [Due; 2],
        waiting: &mut Waiting,
        number: &mut u64,
    ) {
        let tamper = self.tamper.lock().unwrap().clone();
        let (now, cut) = (Instant::now(), self.faults().is_cut());
        for (replay, per_s) in [(true, tamper.replay_per_s), (false, tamper.forge_per_s)] {
            for _ in 0..due[usize::from(replay)].take(now, per_s) {
                let made = made_up(liar, &tamper, &self.kept, lenders, replay);
                let Some(bytes) = made.filter(|_| !cut && waiting.len() < MOST_WAITING) else { continue };
                let mut tampered = self.tally.tampered.lock().unwrap();
                *if replay { &mut tampered.replayed } else { &mut tampered.forged } += 1;
                *number += 1;
                waiting.push(Reverse((now, *number, bytes)));
            }
        }
    }

    fn take(&self, rng: &mut fastrand::Rng, bytes: &[u8], waiting: &mut Waiting, number: &mut u64) {
        let faults = *self.faults.lock().unwrap();
        // Always as many draws, so that one fault does not change what another one hits.
        let [lost, doubled, late] = [rng.f64(), rng.f64(), rng.f64()];
        let after = rng.u64(1..50);
        let copies = 1 + usize::from(doubled < faults.doubled);
        if lost < faults.loss || waiting.len() + copies > MOST_WAITING {
            self.tally.lost.fetch_add(1, Relaxed);
            return;
        }
        let extra = if late < faults.reordered { ms(after) } else { Duration::ZERO };
        let due = Instant::now() + ms(faults.delay_ms) + extra;
        for copy in 0..copies {
            *number += 1;
            waiting.push(Reverse((due + ms(copy as u64), *number, bytes.to_vec())));
        }
    }

    /// What it does from now on.
    pub fn set(&self, faults: Faults) {
        *self.faults.lock().unwrap() = faults;
    }

    /// How it tampers from now on.
    pub fn set_tamper(&self, tamper: Tamper) {
        *self.tamper.lock().unwrap() = tamper;
    }

    /// What it does.
    pub fn faults(&self) -> Faults {
        *self.faults.lock().unwrap()
    }
}

/// Whether a datagram has a part of a document in it.
fn is_chunk(bytes: &[u8]) -> bool {
    use wheellink_accord::parts::{decode, Message};
    Kind::of(bytes) == Kind::Accord && matches!(decode(body(bytes)), Some(Message::Chunk { .. }))
}

/// The ways between all members, for datagrams.
pub struct Mesh {
    ways: Vec<Vec<Option<Way>>>,
    near: Vec<Vec<Option<SocketAddr>>>,
    over: Arc<AtomicBool>,
}

impl Mesh {
    /// For members that hear at these addresses.
    ///
    /// # Errors
    /// When no socket is to be had.
    pub fn new(at: &[SocketAddr], seed: u64) -> std::io::Result<Self> {
        let n = at.len();
        let over = Arc::new(AtomicBool::new(false));
        let mut mesh = Self { ways: vec![vec![None; n]; n], near: vec![vec![None; n]; n], over };
        for (from, to) in (0..n).flat_map(|a| (0..n).map(move |b| (a, b))).filter(|(a, b)| a != b) {
            mesh.ways[from][to] = Some(Way::default());
        }
        for a in 0..n {
            for b in a + 1..n {
                // The first stands for `b` before `a`, the second for `a` before `b`.
                let near = [UdpSocket::bind("127.0.0.1:0")?, UdpSocket::bind("127.0.0.1:0")?];
                mesh.near[a][b] = Some(near[0].local_addr()?);
                mesh.near[b][a] = Some(near[1].local_addr()?);
                for (from, to, k) in [(a, b, 0), (b, a, 1)] {
                    let (take, give) = (near[k].try_clone()?, near[1 - k].try_clone()?);
                    let own = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ (from * 64 + to) as u64;
                    let lenders = mesh.lenders(from, to);
                    mesh.way(from, to).start([take, give], at[to], own, lenders, mesh.over.clone());
                }
            }
        }
        Ok(mesh)
    }

    fn lenders(&self, from: usize, to: usize) -> Lenders {
        let n = self.ways.len();
        let of = |ways: Vec<(usize, usize)>| {
            let real = ways.into_iter().filter(|(a, b)| a != b && (*a, *b) != (from, to));
            real.map(|(a, b)| self.way(a, b).kept.clone()).collect()
        };
        let own = of((0..n).map(|other| (from, other)).collect());
        let others = of((0..n).filter(|a| *a != from).flat_map(|a| (0..n).map(move |b| (a, b))).collect());
        Lenders { own, others }
    }

    /// One of the members begins a new life: what it said and was told is of an earlier one from now on.
    pub fn new_life(&self, who: usize) {
        for other in (0..self.ways.len()).filter(|other| *other != who) {
            for way in [self.way(who, other), self.way(other, who)] {
                way.kept.lock().unwrap().new_life();
            }
        }
    }

    /// What became of one member's words on all its ways: datagrams by [`Kind`], and bytes with parts of documents.
    pub fn told(&self, who: usize) -> ([u64; 4], u64) {
        let (mut kinds, mut chunks) = ([0; 4], 0);
        for way in (0..self.ways.len()).filter(|other| *other != who).map(|other| self.way(who, other)) {
            kinds.iter_mut().zip(&way.tally.kinds).for_each(|(sum, n)| *sum += n.load(Relaxed));
            chunks += way.tally.chunks.load(Relaxed);
        }
        (kinds, chunks)
    }

    /// What was made of other members' words on their way to one, by tampering.
    pub fn tampered(&self, to: usize) -> Tampered {
        let mut sum = Tampered::default();
        for way in (0..self.ways.len()).filter(|other| *other != to).map(|other| self.way(other, to)) {
            let own = *way.tally.tampered.lock().unwrap();
            sum.spoilt += own.spoilt;
            sum.replayed += own.replayed;
            sum.forged += own.forged;
        }
        sum
    }

    /// Where `who` reaches `other`.
    pub fn near(&self, who: usize, other: usize) -> SocketAddr {
        self.near[who][other].expect("two members")
    }

    /// The way from one to another.
    pub fn way(&self, from: usize, to: usize) -> &Way {
        self.ways[from][to].as_ref().expect("two members")
    }

    /// What the way from one to another does from now on.
    pub fn set(&self, from: usize, to: usize, faults: Faults) {
        self.way(from, to).set(faults);
    }

    /// What all ways do from now on.
    pub fn set_all(&self, faults: Faults) {
        self.ways.iter().flatten().flatten().for_each(|way| way.set(faults));
    }
}

impl Drop for Mesh {
    fn drop(&mut self) {
        self.over.store(true, Relaxed);
    }
}

/// What a relay of connections does.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Line {
    cut: bool,
    stalled: bool,
    delay: Duration,
    /// Rises with each reset: connections that were made before it are broken off.
    resets: u64,
}

/// A relay of connections to one address.
pub struct Pipe {
    /// Where it listens.
    pub address: SocketAddr,
    line: Arc<Mutex<Line>>,
    over: Arc<AtomicBool>,
}

impl Pipe {
    /// To this address, whose connections come from that loopback address.
    ///
    /// # Errors
    /// When no socket is to be had.
    pub fn new(to: SocketAddr, source: [u8; 4]) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let pipe = Self { address: listener.local_addr()?, line: Arc::default(), over: Arc::default() };
        let (line, over) = (pipe.line.clone(), pipe.over.clone());
        spawn(move || {
            for near in listener.incoming().map_while(Result::ok) {
                if over.load(Relaxed) {
                    return;
                }
                let made = line.lock().unwrap().resets;
                if line.lock().unwrap().cut {
                    reset(&near);
                    continue;
                }
                let Ok(far) = connect_from(source, to) else {
                    reset(&near);
                    continue;
                };
                for (from, into) in [(&near, &far), (&far, &near)] {
                    let (Ok(from), Ok(into)) = (from.try_clone(), into.try_clone()) else { continue };
                    let (line, over) = (line.clone(), over.clone());
                    spawn(move || pump(from, into, &line, made, &over));
                }
            }
        });
        Ok(pipe)
    }

    /// Turns new connections away and breaks off those that stand, or ends that.
    pub fn cut(&self, cut: bool) {
        let mut line = self.line.lock().unwrap();
        line.cut = cut;
        line.resets += u64::from(cut);
    }

    /// Breaks off what stands.
    pub fn reset(&self) {
        self.line.lock().unwrap().resets += 1;
    }

    /// Holds everything up, or lets it go on.
    pub fn stall(&self, stalled: bool) {
        self.line.lock().unwrap().stalled = stalled;
    }

    /// How late everything comes.
    pub fn delay(&self, delay: Duration) {
        self.line.lock().unwrap().delay = delay;
    }
}

impl Drop for Pipe {
    fn drop(&mut self) {
        self.over.store(true, Relaxed);
        // Wakes the one that waits for a connection.
        let _ = TcpStream::connect(self.address);
    }
}

fn connect_from(source: [u8; 4], to: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)?;
    socket.bind(&SocketAddr::from((source, 0)).into())?;
    socket.connect_timeout(&to.into(), ms(500))?;
    socket.set_tcp_nodelay(true)?;
    Ok(socket.into())
}

/// Ends a connection by a reset rather than in good order.
fn reset(stream: &TcpStream) {
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
    let _ = stream.shutdown(Shutdown::Both);
}

fn pump(mut from: TcpStream, mut into: TcpStream, line: &Mutex<Line>, made: u64, over: &AtomicBool) {
    let mut buf = [0; 16_384];
    let _ = from.set_read_timeout(Some(LOOK));
    let _ = into.set_nodelay(true);
    loop {
        let now = *line.lock().unwrap();
        if over.load(Relaxed) || now.resets > made {
            reset(&from);
            reset(&into);
            return;
        }
        if now.stalled {
            sleep(ms(1));
            continue;
        }
        match from.read(&mut buf) {
            Ok(0) => {
                let _ = into.shutdown(Shutdown::Write);
                return;
            }
            Ok(n) => {
                sleep(now.delay);
                if into.write_all(&buf[..n]).is_err() {
                    reset(&from);
                    return;
                }
            }
            Err(e) => match e.kind() {
                std::io::ErrorKind::WouldBlock
                | std::io::ErrorKind::TimedOut
                | std::io::ErrorKind::Interrupted => {}
                _ => {
                    reset(&into);
                    return;
                }
            },
        }
    }
}

#[cfg(test)]
mod tests {
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
        let chunk = Message::Chunk { digest, base: None, total: 9, at: 0, bytes: vec![1; 9] };
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
}
