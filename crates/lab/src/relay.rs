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
mod tests;
