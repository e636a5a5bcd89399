//! Several activators on the platform's front, restarted a third at a time under calls, judged by what clients and hosts
//! saw: each request that an activator took has one answer, and what may run once ran once.

mod common;

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use common::*;

const SERVED: u8 = 79;
const REFUSED: u8 = 66;
const ACTIVATORS: usize = 6;
/// By the platform's page new connections, and requests on open ones, come for so long after SIGTERM at the least.
const STILL_SENT: Duration = Duration::from_millis(200);
/// Requests that a client writes at one go.
const PIPELINED: usize = 6;

/// What became of a request.
#[derive(Debug, Default)]
struct Fate {
    mail: bool,
    /// Written whole, at a time when an activator still has to take it.
    owed: bool,
    answers: Vec<u8>,
    /// The answer held another body than the one that its host made.
    spoilt: bool,
}

/// All requests by the text that begins their bodies.
type Fates = Arc<Mutex<BTreeMap<String, Fate>>>;

/// Events from the second on, and where they are told.
type Told = Arc<Mutex<(Vec<Vec<u8>>, Vec<TcpStream>)>>;

/// The bus of all activators: each gets every event after the last that it has.
struct News {
    bus: SocketAddr,
    told: Told,
}

impl News {
    fn start() -> Self {
        let bus = Bus::start();
        let told = Told::default();
        let (address, all) = (bus.address, told.clone());
        spawn(move || loop {
            let Some((last, mut stream)) = bus.greeted_within(ms(20)) else { continue };
            let mut all = all.lock().unwrap();
            // Event 1 stands in the configuration.
            all.0.iter().skip(last as usize - 1).for_each(|event| drop(stream.write_all(event)));
            all.1.push(stream);
        });
        Self { bus: address, told }
    }

    fn tell(&self, hosts: &[(u32, SocketAddr, u8)]) {
        let mut all = self.told.lock().unwrap();
        let event = event(all.0.len() as u64 + 2, false, hosts);
        all.1.retain_mut(|stream| stream.write_all(&event).is_ok());
        all.0.push(event);
    }
}

/// An activator's place: its address stays, its process does not.
struct Post {
    address: SocketAddr,
    /// When the process there was told to end, if it was.
    told: Mutex<Option<Instant>>,
}

impl Post {
    fn text(&self, news: &News, hosts: &[&Host]) -> String {
        let text = config(news.bus, hosts).replace("\"GroupSize\":1", &format!("\"GroupSize\":{ACTIVATORS}"));
        text.replace("\"listen\":\"127.0.0.1:0\"", &format!("\"listen\":\"{}\"", self.address))
    }
}

/// A client of one activator: writes requests in pieces and several at once, reads slowly into a small buffer, and goes on
/// for a moment on a connection whose activator ends.
struct Client {
    number: u32,
    post: Arc<Post>,
    fates: Fates,
    next: Arc<AtomicU32>,
    turned: Arc<AtomicU32>,
    over: Arc<AtomicBool>,
}

impl Client {
    fn run(&self) {
        while !self.over.load(SeqCst) {
            let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
            // Answers are half written most of the time.
            socket.set_recv_buffer_size(4 << 10).unwrap();
            match socket.connect(&self.post.address.into()) {
                Ok(()) => self.talk(socket.into()),
                Err(_) => {
                    self.turned_away();
                    sleep(ms(10));
                }
            }
        }
    }

    /// Nobody took a new connection. While they may still come that is a fault.
    fn turned_away(&self) {
        let early = self.post.told.lock().unwrap().is_some_and(|since| since.elapsed() < STILL_SENT);
        self.turned.fetch_add(u32::from(early), SeqCst);
    }

    fn talk(&self, mut stream: TcpStream) {
        stream.set_nodelay(true).unwrap();
        stream.set_read_timeout(Some(LONG)).unwrap();
        // One that was queued at a process that has ended is reset: nothing was taken.
        let begun = stream.write_all(&client_frame(4, 1 << 20, &[0])).and_then(|()| stream.peek(&mut [0]));
        if !begun.is_ok_and(|n| n > 0) {
            return self.turned_away();
        }
        let (mut stream_of, mut open) = (0, BTreeMap::new());
        loop {
            let ending = *self.post.told.lock().unwrap();
            let leaves = ending.is_some_and(|since| since.elapsed() > STILL_SENT) || self.over.load(SeqCst);
            if !leaves {
                let calls: Vec<_> = (0..PIPELINED).map(|_| self.call(&mut stream_of, &mut open)).collect();
                let bytes: Vec<u8> = calls.iter().flat_map(|(_, bytes)| bytes.clone()).collect();
                // The last piece comes a moment after the others: SIGTERM finds some read in part.
                let cut = bytes.len() - bytes.len() / PIPELINED / 2;
                let first = stream.write_all(&bytes[..cut]).is_ok();
                sleep(ms(self.next.load(SeqCst) as u64 % 30));
                let whole = first && stream.write_all(&bytes[cut..]).is_ok();
                // Written later than it says on the page, as this thread was held up, nothing is owed.
                let late = self.post.told.lock().unwrap().is_some_and(|since| since.elapsed() > STILL_SENT);
                let mut fates = self.fates.lock().unwrap();
                calls.iter().for_each(|(text, _)| fates.get_mut(text).unwrap().owed = whole && !late);
            }
            // Some go on while they are owed answers. Others come to rest first, so that their activator owes nothing at times.
            let most = if self.number.is_multiple_of(2) && !leaves { PIPELINED / 2 } else { 0 };
            while open.len() > most {
                sleep(ms(2));
                match read_whole(&mut stream) {
                    Some(frame) if frame.kind == 2 => self.answered(&mut open, &frame),
                    Some(_) => {}
                    None => return,
                }
            }
            if most == 0 && !leaves {
                sleep(ms(40));
            }
            if leaves {
                // A second answer would come before the end of the connection.
                stream.shutdown(std::net::Shutdown::Write).unwrap();
                while let Some(frame) = read_whole(&mut stream) {
                    assert!(frame.kind != 2, "an answer to nothing: {frame:?}");
                }
                return;
            }
        }
    }

    fn call(&self, of: &mut u32, open: &mut BTreeMap<u32, String>) -> (String, Vec<u8>) {
        let n = self.next.fetch_add(1, SeqCst);
        *of += 1;
        let class = ["send-mail", "check-score", "save-answers"][n as usize % 3];
        let text = format!("{class} {n:06} of {:02} ", self.number);
        let (id, key, function) = (format!("{n:016x}"), format!("{n:032x}"), format!("{:016x}", n % 7));
        let body = format!("{text}{}", "x".repeat(if n.is_multiple_of(2) { 16_000 } else { 10 }));
        let frame = whole_call_frame(*of, [&id, class, &key, &function], 4000, body.as_bytes());
        open.insert(*of, text.clone());
        let fate = Fate { mail: class == "send-mail", ..Fate::default() };
        self.fates.lock().unwrap().insert(text.clone(), fate);
        (text, frame)
    }

    fn answered(&self, open: &mut BTreeMap<u32, String>, frame: &Frame) {
        let text = open.remove(&frame.stream).expect("no answer to nothing, and none twice");
        let mut fates = self.fates.lock().unwrap();
        let fate = fates.get_mut(&text).unwrap();
        fate.answers.push(frame.code);
        let made = format!("did {text}");
        fate.spoilt |= frame.code == SERVED && !frame.body.starts_with(made.as_bytes());
    }
}

/// The next frame; `None` at the end of the connection, whole or not.
fn read_whole(stream: &mut TcpStream) -> Option<Frame> {
    let mut length = [0; 4];
    stream.read_exact(&mut length).ok()?;
    let mut rest = vec![0; u32::from_le_bytes(length) as usize];
    stream.read_exact(&mut rest).ok()?;
    read_frame(&mut &[&length[..], &rest].concat()[..])
}

/// Three rounds, each of which ends a third of the processes by SIGTERM at once, with requests half read, several on one
/// connection and answers half written; each is followed at its address as soon as it is gone. Meanwhile a script host is
/// replaced by a new one at its address, with calls out there.
#[test]
fn a_third_at_a_time_ends_under_calls_and_nothing_is_lost_or_runs_twice() {
    let slow = || Host::start(Ways { does: Does::Answer("200"), work: ms(25), load: Some(ms(5)) });
    let hosts = [slow(), slow(), slow(), slow()];
    // Some are still out when nothing new can come any more.
    hosts[3].ways.lock().unwrap().work = ms(1200);
    let known: Vec<&Host> = hosts.iter().collect();
    let news = News::start();
    // Addresses that nobody else asks for between here and the start.
    let held: Vec<_> = (0..ACTIVATORS).map(|_| TcpListener::bind("127.0.0.1:0").unwrap()).collect();
    let post = |l: &TcpListener| Post { address: l.local_addr().unwrap(), told: Mutex::default() };
    let posts: Vec<Arc<Post>> = held.iter().map(|l| Arc::new(post(l))).collect();
    drop(held);
    let start = |post: &Post| Program::start(&post.text(&news, &known), false);
    let mut programs: Vec<Program> = posts.iter().map(|post| start(post)).collect();

    let (fates, over) = (Fates::default(), Arc::new(AtomicBool::new(false)));
    let (next, turned) = (Arc::new(AtomicU32::new(0)), Arc::new(AtomicU32::new(0)));
    let clients = (0..2 * ACTIVATORS).map(|i| {
        let (post, fates) = (posts[i % ACTIVATORS].clone(), fates.clone());
        let (next, turned, over) = (next.clone(), turned.clone(), over.clone());
        let client = Client { number: i as u32, post, fates, next, turned, over };
        spawn(move || client.run())
    });
    let clients: Vec<_> = clients.collect();
    let answered = || fates.lock().unwrap().values().filter(|f| !f.answers.is_empty()).count();
    wait_for("calls under way", || answered() > 100);
    for (round, host) in hosts.iter().enumerate().take(3) {
        let third = [2 * round, 2 * round + 1];
        for i in third {
            *posts[i].told.lock().unwrap() = Some(Instant::now());
            programs[i].terminate();
        }
        // The host numbered as this round is gone, and there is a new one at its address, all in one.
        let (old, new) = (round as u32, 10 + round as u32);
        news.tell(&[(old, host.address, 2), (new, host.address, 0)]);
        for i in third {
            assert!(programs[i].ended().success());
            programs[i] = start(&posts[i]);
            *posts[i].told.lock().unwrap() = None;
        }
        let before = answered();
        wait_for("calls under way", || answered() > before + 100);
    }
    over.store(true, SeqCst);
    clients.into_iter().for_each(|client| client.join().unwrap());

    let fates = fates.lock().unwrap();
    let mut runs: BTreeMap<String, u32> = BTreeMap::new();
    for host in &hosts {
        for (body, n) in &host.seen.lock().unwrap().runs {
            *runs.entry(body.trim_end_matches('x').to_string()).or_default() += n;
        }
    }
    let served = fates.values().filter(|f| f.answers == [SERVED]).count();
    for (text, fate) in fates.iter() {
        let ran = runs.get(text).copied().unwrap_or(0);
        assert!(fate.answers.len() <= 1 && !fate.spoilt, "{text}: {fate:?}");
        assert!(!fate.owed || fate.answers.len() == 1, "{text} was taken and lost: {fate:?}, {ran} runs");
        assert!(!fate.mail || ran <= 1, "{text} ran {ran} times: {fate:?}");
        assert!(!fate.mail || fate.answers != [REFUSED] || ran == 0, "{text} ran and was refused: {fate:?}");
        assert!(fate.answers != [SERVED] || ran >= 1, "{text} never ran: {fate:?}");
    }
    assert_eq!(turned.load(SeqCst), 0, "connections that found nobody within 0.2 s of SIGTERM");
    assert!(served * 10 > fates.len() * 8, "{served} of {} served", fates.len());
}
