//! Calls at a given rate: each is sent at its time, whether those before it were answered or not.
//!
//! The generator is open and bounded: what finds every worker of an activator busy and its queue full is not sent, and
//! that is counted in the history, so that a lab that can't keep up never looks like a fleet that can.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::ops::Range;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender, TrySendError};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn, JoinHandle};
use std::time::{Duration, Instant};

use crate::bus::whole_call_frame;
use crate::history::{History, Saw};
use crate::http::call;
use crate::list::By;
use crate::scenario::Calls;

/// Calls of one activator that are out at a time.
const WORKERS: usize = 24;
/// Calls of one activator that wait for a worker.
const QUEUE: usize = 48;
/// Longer than any class gives up after (5 s), by what an answer may take besides on a busy machine.
const PATIENCE: Duration = Duration::from_secs(9);
/// Between two halves of a call: a front waits longer for the rest.
const PAUSES: Range<Duration> = Duration::from_millis(100)..Duration::from_millis(800);
/// Numbers of calls that come in halves begin here; others never come so far.
const HALVES: u64 = 1 << 32;
/// What a client of the platform gives a call, in milliseconds.
const PLATFORM_MS: u32 = 4_000;
/// For how long a connection of the platform may have been idle and still be used: half of what its configuration says.
const IDLE: Duration = Duration::from_millis(500);
/// For how long the invoke front waits at least for a request or the rest of it.
const REQUEST_GAP: Duration = Duration::from_secs(3);
/// How a call of the platform ended; any other code is a failure.
const SERVED: u8 = 79;
const REFUSED: u8 = 66;
/// The longest frame that is read, in bytes.
const LONGEST_FRAME: usize = 1 << 20;
/// The longest head of a response, in bytes.
const LONGEST_HEAD: usize = 16_384;
/// Scripts that calls are for.
const FUNCTIONS: u64 = 8;
/// Blocks of a turn at the most; the conversation ends with it.
const LONGEST: usize = 64;
/// Blocks that all conversations of a family begin with, and families.
const PREAMBLE: u64 = 4;
const FAMILIES: u64 = 4;

/// Classes: safe, keyed, unsafe, as the activators' files name them.
pub const CLASSES: [&str; 3] = ["check-score", "save-answers", "send-mail"];

struct Job {
    id: u64,
    class: usize,
    function: u64,
    turn: Option<String>,
}

/// Where each activator serves now, if it runs.
pub type Fronts = Arc<Vec<Mutex<Option<SocketAddr>>>>;

/// A conversation: its name, and the hashes of its prefix up to here.
struct Conversation {
    name: u64,
    blocks: Vec<u64>,
}

impl Conversation {
    fn new(rng: &mut fastrand::Rng) -> Self {
        let family = rng.u64(..FAMILIES);
        let blocks = (0..PREAMBLE).map(|k| 0x5eed_0000 + family * 0x100 + k).collect();
        Self { name: rng.u64(1..), blocks }
    }

    /// The next turn, as its header.
    fn turn(&mut self, rng: &mut fastrand::Rng) -> String {
        let new = rng.usize(1..=4);
        self.blocks.extend((0..new).map(|_| rng.u64(1 << 32..)));
        self.blocks.truncate(LONGEST);
        let hashes: Vec<_> = self.blocks.iter().map(|b| format!("{b:x}")).collect();
        format!("{:x};{new};{}", self.name, hashes.join(","))
    }
}

/// Calls that are being sent.
pub struct Load {
    over: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Load {
    /// Sends calls to these activators until it is ended.
    /// Those that are told of hosts by the bus have the platform's front.
    pub fn start(calls: &Calls, by: By, fronts: Fronts, seed: u64, history: Arc<History>) -> Self {
        let over = Arc::new(AtomicBool::new(false));
        let mut threads = Vec::new();
        let mut queues = Vec::new();
        for to in 0..fronts.len() {
            let (queue, jobs) = sync_channel::<Job>(QUEUE);
            let jobs = Arc::new(Mutex::new(jobs));
            queues.push(queue);
            for _ in 0..WORKERS {
                let (jobs, fronts, history) = (jobs.clone(), fronts.clone(), history.clone());
                threads.push(spawn(move || work(to, by, &jobs, &fronts, &history)));
            }
        }
        for client in 0..calls.halves * fronts.len() {
            let (calls, fronts, history, over) =
                (calls.clone(), fronts.clone(), history.clone(), over.clone());
            let rng = fastrand::Rng::with_seed(seed ^ 0x4a1f ^ (client as u64) << 32);
            threads.push(spawn(move || in_halves(client, &calls, &fronts, rng, &over, &history)));
        }
        let (calls, stop) = (calls.clone(), over.clone());
        threads.push(spawn(move || pace(&calls, &fronts, queues, seed, &stop, &history)));
        Self { over, threads }
    }

    /// Sends no more, and waits for what is out.
    pub fn end(self) {
        self.over.store(true, Relaxed);
        for thread in self.threads {
            // A worker that broke down leaves its call without an answer, which the checkers see.
            let _ = thread.join();
        }
    }
}

fn pace(
    calls: &Calls,
    fronts: &Fronts,
    queues: Vec<SyncSender<Job>>,
    seed: u64,
    over: &AtomicBool,
    history: &History,
) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut talk: Vec<_> = (0..calls.conversations).map(|_| Conversation::new(&mut rng)).collect();
    let (begun, mut due, mut id, shed) = (Instant::now(), Duration::ZERO, 0, AtomicU64::new(0));
    let mut told = 0;
    while !over.load(Relaxed) {
        // Times between calls as of many clients that know nothing of each other.
        due += Duration::from_secs_f64(-(1.0 - rng.f64()).ln() / calls.per_s);
        sleep(due.saturating_sub(begun.elapsed()));
        let class = class(calls, rng.f64());
        let turn = (!talk.is_empty()).then(|| {
            let conversation = &mut talk[rng.usize(..calls.conversations)];
            if conversation.blocks.len() >= LONGEST {
                *conversation = Conversation::new(&mut rng);
            }
            conversation.turn(&mut rng)
        });
        id += 1;
        let first = rng.usize(..queues.len());
        let there = (0..queues.len()).map(|k| (first + k) % queues.len());
        let to = there.into_iter().find(|k| fronts[*k].lock().unwrap().is_some());
        let job = Job { id, class, function: rng.u64(..FUNCTIONS), turn };
        let sent = to.map(|to| queues[to].try_send(job));
        if matches!(sent, None | Some(Err(TrySendError::Full(_)))) {
            shed.fetch_add(1, Relaxed);
        }
        let second = begun.elapsed().as_secs();
        if second > told {
            told = second;
            let calls = shed.swap(0, Relaxed);
            if calls > 0 {
                history.saw(Saw::Shed { calls });
            }
        }
    }
}

/// The number of a call's class.
fn class(calls: &Calls, lot: f64) -> usize {
    match lot {
        l if l < calls.keyed => 1,
        l if l < calls.keyed + calls.unsafe_ => 2,
        _ => 0,
    }
}

/// A client whose calls come in two halves: it sends one, waits, and sends the rest if the connection stands. Only then
/// was the call sent; whose connection is gone by then was never whole, and must come to no host.
fn in_halves(
    client: usize,
    calls: &Calls,
    fronts: &Fronts,
    mut rng: fastrand::Rng,
    over: &AtomicBool,
    history: &History,
) {
    let to = client % fronts.len();
    let (mut standing, mut number): (Option<Standing>, u64) = (None, 0);
    while !over.load(Relaxed) {
        let Some(mut connection) =
            standing.take().or_else(|| Standing::open((*fronts[to].lock().unwrap())?, By::Dns))
        else {
            sleep(PAUSES.start);
            continue;
        };
        number += 1;
        let id = HALVES + ((client as u64) << 20) + number;
        let class = class(calls, rng.f64());
        let text = http_call(&Job { id, class, function: rng.u64(..FUNCTIONS), turn: None });
        // Within the head, or within the body: never all of it.
        let half = rng.usize(1..text.len());
        if connection.stream.write_all(&text[..half]).is_err() {
            continue;
        }
        connection.used = Instant::now();
        sleep(PAUSES.start + (PAUSES.end - PAUSES.start).mul_f64(rng.f64()));
        if !stands(&connection.stream) {
            continue;
        }
        history.saw(Saw::Sent { id, to, class: CLASSES[class].into() });
        let (ended, connection) = connection.call(id, &text[half..], read_response);
        history.saw(ended);
        standing = connection;
    }
}

fn connect(to: SocketAddr) -> Option<TcpStream> {
    let stream = TcpStream::connect_timeout(&to, PATIENCE).ok()?;
    stream.set_read_timeout(Some(PATIENCE)).ok()?;
    stream.set_nodelay(true).ok()?;
    Some(stream)
}

/// Whether nothing has come on it, neither bytes nor its end.
fn stands(stream: &TcpStream) -> bool {
    let looked = stream.set_nonblocking(true).and_then(|()| stream.peek(&mut [0]));
    let nothing = looked.is_err_and(|e| e.kind() == ErrorKind::WouldBlock);
    stream.set_nonblocking(false).is_ok() && nothing
}

/// Reads one response.
fn read_response(stream: &mut TcpStream) -> std::io::Result<Answer> {
    let wrong = || std::io::Error::new(ErrorKind::InvalidData, "no response of HTTP");
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        stream.read_exact(&mut byte)?;
        head.push(byte[0]);
        if head.len() > LONGEST_HEAD {
            return Err(wrong());
        }
    }
    let head = String::from_utf8_lossy(&head).to_lowercase();
    let status = head.get(9..12).and_then(|s| s.parse().ok()).ok_or_else(wrong)?;
    let number = |name: &str| head.lines().find_map(|l| l.strip_prefix(name)?.trim().parse::<u64>().ok());
    std::io::copy(&mut stream.take(number("content-length: ").unwrap_or(0)), &mut std::io::sink())?;
    Ok(Answer { status, found: number("wheellink-found: ") })
}

/// A connection to an activator, and when it was last used.
struct Standing {
    stream: TcpStream,
    used: Instant,
    /// From when on the front may end it if it is not used.
    most_idle: Duration,
}

impl Standing {
    fn open(to: SocketAddr, by: By) -> Option<Self> {
        let most_idle = match by {
            By::Dns => REQUEST_GAP,
            By::Bus => IDLE,
        };
        Some(Self { stream: connect(to)?, used: Instant::now(), most_idle })
    }

    /// One that was told to go elsewhere is gone, and so is one whose process was replaced. One that has been idle may be
    /// ended by the front at the very moment: a client that knows its bound does not use it.
    fn is_usable(&self) -> bool {
        self.used.elapsed() < IDLE && stands(&self.stream)
    }

    /// Sends a call and waits for how it ended. The connection is given back if it may be used again.
    fn call(
        mut self,
        id: u64,
        bytes: &[u8],
        read: impl FnOnce(&mut TcpStream) -> std::io::Result<Answer>,
    ) -> (Saw, Option<Self>) {
        let begun = Instant::now();
        let written = self.stream.write_all(bytes);
        let written_us = begun.elapsed().as_micros() as u64;
        let idle = self.used.elapsed() >= self.most_idle;
        match written.and_then(|()| read(&mut self.stream)) {
            Ok(Answer { status, found }) => {
                self.used = Instant::now();
                (Saw::Answered { id, status, found }, Some(self))
            }
            Err(why) => (Saw::Broken { id, why: why.to_string(), written_us, idle }, None),
        }
    }
}

/// How a call ended.
struct Answer {
    status: u16,
    found: Option<u64>,
}

/// A client: one connection, one call at a time.
fn work(to: usize, by: By, jobs: &Mutex<Receiver<Job>>, fronts: &Fronts, history: &History) {
    let mut standing: Option<Standing> = None;
    let mut stream_number = 0;
    loop {
        let Ok(job) = jobs.lock().unwrap().recv() else { return };
        let kept = standing.take().filter(Standing::is_usable);
        let Some(connection) = kept.or_else(|| Standing::open((*fronts[to].lock().unwrap())?, by)) else {
            history.saw(Saw::Shed { calls: 1 });
            continue;
        };
        stream_number += 1;
        let bytes = match by {
            By::Dns => http_call(&job),
            By::Bus => frame(&job, stream_number),
        };
        let read = |stream: &mut TcpStream| match by {
            By::Dns => read_response(stream),
            By::Bus => read_code(stream, stream_number),
        };
        history.saw(Saw::Sent { id: job.id, to, class: CLASSES[job.class].into() });
        let (ended, connection) = connection.call(job.id, &bytes, read);
        history.saw(ended);
        standing = connection;
    }
}

/// A call as a frame of the platform.
fn frame(job: &Job, stream_number: u32) -> Vec<u8> {
    let (id, function) = (job.id, job.function);
    let (name, key, function) = (format!("{id:016x}"), format!("{id:08x}"), format!("{function:016x}"));
    let fields = [name.as_str(), CLASSES[job.class], &key, &function];
    whole_call_frame(stream_number, fields, PLATFORM_MS, format!("call-{id}").as_bytes())
}

/// A call as a request of the invoke API.
fn http_call(job: &Job) -> Vec<u8> {
    let key = (job.class == 1).then(|| format!("Idempotency-Key: key-{}", job.id));
    let turn = job.turn.as_ref().map(|turn| format!("Wheellink-Turn: {turn}"));
    let headers: Vec<&str> = key.iter().chain(&turn).map(String::as_str).collect();
    let body = format!("call-{}", job.id);
    call(&format!("f{}", job.function), CLASSES[job.class], &headers, &body).into_bytes()
}

/// How a call ended, as a status of HTTP would say it.
fn status(code: u8) -> u16 {
    match code {
        SERVED => 200,
        REFUSED => 503,
        _ => 500,
    }
}

/// Reads frames up to the answer on this stream, and tells its code.
fn read_code(from: &mut TcpStream, number: u32) -> std::io::Result<Answer> {
    loop {
        let mut length = [0; 4];
        from.read_exact(&mut length)?;
        let length = u32::from_le_bytes(length) as usize;
        if !(5..=LONGEST_FRAME).contains(&length) {
            return Err(std::io::Error::new(ErrorKind::InvalidData, "no frame of the platform"));
        }
        let mut bytes = vec![0; length];
        from.read_exact(&mut bytes)?;
        let of = u32::from_le_bytes([bytes[1], bytes[2], bytes[3], bytes[4]]);
        if let (2, true, Some(code)) = (bytes[0], of == number, bytes.get(5)) {
            return Ok(Answer { status: status(*code), found: None });
        }
    }
}

#[cfg(test)]
mod tests;
