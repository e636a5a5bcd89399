//! Clients that send at full speed, and usual clients beside them whose answers are timed.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::Arc;
use std::thread::{sleep, spawn, JoinHandle};
use std::time::{Duration, Instant};

use socket2::SockRef;

use crate::bus::{client_frame, read_frame, request_frame, whole_call_frame};
use crate::http::{call, read_reply, request};
use crate::ms;

/// Requests that a flooding client writes at one go.
const BATCH: u32 = 256;
/// By how much an answer may come after its time: the slack of every time limit.
const SLACK: Duration = Duration::from_millis(50);
/// How long after its time a usual client waits for an answer that is late.
const PATIENCE: Duration = Duration::from_millis(1500);
/// Codes of frames that answer a request.
const SERVED: u8 = 79;

/// What a flooding client sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Platform: asks whether the activator is ready.
    Checks,
    /// Platform: cancels requests that it never sent.
    Cancels,
    /// Platform: frames of a type that does not exist.
    UnknownTypes,
    /// Platform: requests whose fields make no sense.
    Unsound,
    /// Platform: requests with the largest number of fields, each a short one that nobody knows.
    ManyFields,
    /// Platform: requests of classes that the settings do not have, each another one.
    NewClasses,
    /// Platform: calls of functions that nobody has, each another one, cancelled a few frames later.
    TakenBack,
    /// Invoke: asks for the state of health.
    Health,
    /// Invoke: paths that do not exist.
    UnknownPaths,
    /// Invoke: calls of classes that the file does not have, each another one.
    HttpNewClasses,
    /// Invoke: requests with the largest number of short header fields.
    ManyHeaders,
    /// Invoke: deferred calls of functions that nobody has, each another one.
    Deferred,
}

impl Kind {
    /// The bytes of a batch of requests, the first with this number on its connection.
    fn batch(self, client: usize, first: u32) -> Vec<u8> {
        (first..first + BATCH).flat_map(|number| self.request(client, number)).collect()
    }

    /// The bytes of one request.
    fn request(self, client: usize, n: u32) -> Vec<u8> {
        match self {
            Self::Checks => client_frame(4, n, &[0]),
            Self::Cancels => client_frame(3, n, &[]),
            Self::UnknownTypes => client_frame(9, n, &[]),
            Self::Unsound => request_frame(n, &[("req", "x")], b""),
            Self::ManyFields => {
                let names: Vec<String> = (0..255).map(|i| format!("{i:02x}")).collect();
                let fields: Vec<_> = names.iter().map(|name| (name.as_str(), "")).collect();
                request_frame(n, &fields, b"")
            }
            Self::NewClasses => {
                let class = format!("c{client}-{n}");
                whole_call_frame(n, [&id(client, n), &class, "k", &id(client, n)], 1000, b"")
            }
            Self::TakenBack => {
                let call =
                    whole_call_frame(n, [&id(client, n), "check-score", "k", &id(client, n)], 1000, b"");
                [call, client_frame(3, n.saturating_sub(TAKEN_BACK_AFTER), &[])].concat()
            }
            Self::Health => request("GET", "/healthz", &[], "").into_bytes(),
            Self::UnknownPaths => request("GET", "/x", &[], "").into_bytes(),
            Self::HttpNewClasses => call("f", &format!("c{client}-{n}"), &[], "").into_bytes(),
            Self::ManyHeaders => request("GET", "/healthz", &["a: b"; 60], "").into_bytes(),
            Self::Deferred => {
                call(&id(client, n), "check-score", &["Prefer: respond-async"], "").into_bytes()
            }
        }
    }
}

/// A call of [`Kind::TakenBack`] is cancelled when so many further ones have been sent.
const TAKEN_BACK_AFTER: u32 = 16;

/// An id or a name that no other client uses.
fn id(client: usize, n: u32) -> String {
    format!("{:016x}", ((client as u64 + 1) << 32) | u64::from(n))
}

/// Clients that send at full speed on open connections; a connection that breaks is replaced.
pub struct Flood {
    stop: Arc<AtomicBool>,
    sent: Arc<AtomicU64>,
    threads: Vec<JoinHandle<()>>,
}

impl Flood {
    /// Starts so many clients. They read what comes back, or leave it unread.
    pub fn start(address: SocketAddr, kind: Kind, clients: usize, reads: bool) -> Self {
        let (stop, sent) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
        let one = |client| {
            let (stop, sent) = (stop.clone(), sent.clone());
            spawn(move || {
                while !stop.load(Relaxed) {
                    let Ok(stream) = TcpStream::connect(address) else { continue };
                    send_at_full_speed(stream, (kind, client), reads, &stop, &sent);
                }
            })
        };
        let threads = (0..clients).map(one).collect();
        Self { stop, sent, threads }
    }

    /// Starts so many clients that connect, send one request and break the connection at once, again and again.
    pub fn of_connections(address: SocketAddr, kind: Kind, clients: usize) -> Self {
        let (stop, sent) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
        let one = |client| {
            let (stop, sent) = (stop.clone(), sent.clone());
            spawn(move || {
                let mut number = 1;
                while !stop.load(Relaxed) {
                    let Ok(mut stream) = TcpStream::connect(address) else { continue };
                    let _ = stream.write_all(&kind.request(client, number));
                    // A reset, as ports would run out otherwise.
                    let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
                    number += 1;
                    sent.fetch_add(1, Relaxed);
                }
            })
        };
        let threads = (0..clients).map(one).collect();
        Self { stop, sent, threads }
    }

    /// Ends it: how many requests were sent.
    pub fn stop(self) -> u64 {
        self.stop.store(true, Relaxed);
        for thread in self.threads {
            thread.join().expect("a flooding client");
        }
        self.sent.load(Relaxed)
    }
}

fn send_at_full_speed(
    mut stream: TcpStream,
    (kind, client): (Kind, usize),
    reads: bool,
    stop: &AtomicBool,
    sent: &AtomicU64,
) {
    stream.set_write_timeout(Some(ms(100))).expect("a time-out");
    let mut incoming = stream.try_clone().expect("a descriptor");
    let reader = spawn(move || while reads && incoming.read(&mut [0; 1 << 16]).is_ok_and(|n| n > 0) {});
    let mut first = 1;
    while !stop.load(Relaxed) {
        if write_unless_stopped(&mut stream, &kind.batch(client, first), stop).is_err() {
            break;
        }
        first += BATCH;
        sent.fetch_add(BATCH.into(), Relaxed);
    }
    let _ = stream.shutdown(Shutdown::Both);
    reader.join().expect("its reader");
}

/// Writes all of it. A write that times out is taken up again, unless the flood has been stopped.
fn write_unless_stopped(stream: &mut TcpStream, mut bytes: &[u8], stop: &AtomicBool) -> Result<(), ()> {
    while !bytes.is_empty() {
        match stream.write(bytes) {
            Ok(written) => bytes = &bytes[written..],
            Err(e) if e.kind() == std::io::ErrorKind::WouldBlock && !stop.load(Relaxed) => {}
            Err(_) => return Err(()),
        }
    }
    Ok(())
}

/// What became of the calls of usual clients.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Answers {
    /// Calls sent.
    pub sent: u32,
    /// Answers that were 'served' and in time.
    pub served: u32,
    /// Answers after their time and the slack.
    pub late: u32,
    /// Calls without an answer 1.5 s after their time, or whose connection ended.
    pub never: u32,
    /// The longest time to an answer.
    pub slowest: Duration,
}

impl Answers {
    fn add(&mut self, other: &Answers) {
        self.sent += other.sent;
        self.served += other.served;
        self.late += other.late;
        self.never += other.never;
        self.slowest = self.slowest.max(other.slowest);
    }
}

/// Which front usual clients call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Front {
    /// Binary frames.
    Platform,
    /// HTTP/1.1.
    Invoke,
}

impl Front {
    /// The bytes of a call with this id and stream, class and function, timeout and body. The invoke front has neither ids nor
    /// streams.
    pub fn call(
        self,
        (id, stream): (&str, u32),
        (class, function): (&str, &str),
        timeout: Duration,
        body: &str,
    ) -> Vec<u8> {
        let timeout = timeout.as_millis() as u32;
        match self {
            Self::Platform => whole_call_frame(stream, [id, class, "k", function], timeout, body.as_bytes()),
            Self::Invoke => {
                let timeout = format!("Wheellink-Timeout-Ms: {timeout}");
                call(function, class, &[&timeout], body).into_bytes()
            }
        }
    }

    /// Reads an answer: whether the call was served, and the body. `None` at the end of the connection.
    pub fn answer(self, stream: &mut TcpStream) -> Option<(bool, Vec<u8>)> {
        match self {
            Self::Platform => read_frame(stream).map(|frame| (frame.code == SERVED, frame.body)),
            Self::Invoke => read_reply(stream).map(|reply| (reply.status == 200, reply.body)),
        }
    }
}

/// How usual clients call.
#[derive(Clone, Copy, Debug)]
pub struct Usual {
    /// The front that they call.
    pub front: Front,
    /// Number of clients, each with a connection and one call at a time.
    pub clients: usize,
    /// The pause between an answer and the next call.
    pub pause: Duration,
    /// How long they wait for an answer.
    pub timeout: Duration,
    /// For how long they call.
    pub length: Duration,
    /// Number of functions that they call in turn.
    pub functions: u32,
}

impl Usual {
    /// Calls until the time is over, and returns what became of the calls.
    pub fn call(self, address: SocketAddr) -> Answers {
        let begun = Instant::now();
        let one = |client| spawn(move || self.call_alone(address, USUAL_FROM + client, begun));
        let clients: Vec<_> = (0..self.clients).map(one).collect();
        let mut all = Answers::default();
        for client in clients {
            all.add(&client.join().expect("a usual client"));
        }
        all
    }

    fn call_alone(self, address: SocketAddr, client: usize, begun: Instant) -> Answers {
        let mut answers = Answers::default();
        let mut stream = None;
        let mut number = 0;
        while begun.elapsed() < self.length {
            number += 1;
            let connected = stream.take().map_or_else(|| self.connect(address), Ok);
            answers.sent += 1;
            let sent = Instant::now();
            match connected.and_then(|mut stream| Ok((self.one(&mut stream, client, number)?, stream))) {
                Ok((served, open)) => {
                    let time = sent.elapsed();
                    answers.slowest = answers.slowest.max(time);
                    let late = time > self.timeout + SLACK;
                    answers.late += u32::from(late);
                    answers.served += u32::from(served && !late);
                    stream = Some(open);
                }
                Err(_) => answers.never += 1,
            }
            sleep(self.pause);
        }
        answers
    }

    fn connect(self, address: SocketAddr) -> std::io::Result<TcpStream> {
        let stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(self.timeout + PATIENCE))?;
        Ok(stream)
    }

    /// Sends a call and reads its answer: whether it was served.
    fn one(self, stream: &mut TcpStream, client: usize, number: u32) -> std::io::Result<bool> {
        let function = format!("7f3a9c21{:08x}", number % self.functions);
        let call = self.front.call(
            (&id(client, number), number),
            ("check-score", &function),
            self.timeout,
            "answers",
        );
        stream.write_all(&call)?;
        // Nothing within the read time-out is an error here, and would be a panic below.
        if stream.peek(&mut [0])? == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        Ok(self.front.answer(stream).is_some_and(|(served, _)| served))
    }
}

/// Number of the first usual client: above those of flooding clients.
const USUAL_FROM: usize = 1 << 16;
