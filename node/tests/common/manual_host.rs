//! A stand-in host that answers only when the test says so, and clients that end their connections on request: a test
//! decides which of two events comes first.

use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::spawn;
use std::time::{Duration, Instant};

use serde_json::{json, Value};
use socket2::{Domain, SockRef, Socket, Type};

use super::rollout::edited;
use super::*;

pub const SERVED: u8 = 79;
pub const REFUSED: u8 = 66;
pub const FAILED: u8 = 69;

/// Timeout of the clients' requests: twice the timeout of the class, less the time that a busy machine may need to
/// answer.
pub const CLIENT_TIMEOUT_MS: u32 = 8_000;
/// An answer that arrives within this time was not caused by [`CLIENT_TIMEOUT_MS`] running out.
pub const EARLY: Duration = Duration::from_secs(6);

/// Receive buffer of a client that does not read.
const SMALL_BUFFER_BYTES: usize = 4 << 10;

/// Waits until `holds` is true, which must be long before the clients' requests time out.
pub fn wait_early(what: &str, holds: impl Fn() -> bool) {
    let begun = Instant::now();
    wait_for(what, holds);
    assert!(begun.elapsed() < EARLY, "{what}: only once the client's request had timed out");
}

/// Number of open requests according to the program's status.
pub fn open_requests(p: &Platform) -> u64 {
    p.program.ask("GET", "/status", "").1["requests"].as_u64().unwrap()
}

/// A command, with its body and the connection on which it arrived.
struct Received {
    words: Vec<String>,
    body: Vec<u8>,
    out: TcpStream,
}

/// A host that gives the answers that the test chooses, when the test says so.
pub struct ManualHost {
    pub address: SocketAddr,
    inbox: Arc<Mutex<Vec<Received>>>,
    /// Calls whose bodies start with this are served at once.
    ready: Arc<Mutex<Option<&'static str>>>,
}

impl ManualHost {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (inbox, ready) = (Arc::<Mutex<Vec<Received>>>::default(), Arc::<Mutex<Option<&str>>>::default());
        let (all, served) = (inbox.clone(), ready.clone());
        spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let (all, served) = (all.clone(), served.clone());
                spawn(move || serve_conn(stream, &all, &served));
            }
        });
        Self { address, inbox, ready }
    }

    /// Number of complete commands of this kind that have arrived.
    pub fn count(&self, kind: &str) -> usize {
        self.inbox.lock().unwrap().iter().filter(|t| t.words[0] == kind).count()
    }

    /// Waits until `n` commands of this kind have arrived.
    pub fn wait(&self, kind: &str, n: usize) {
        wait_for(&format!("{n} of {kind}"), || self.count(kind) >= n);
    }

    /// The bodies of all calls that have arrived, in order.
    pub fn bodies(&self) -> Vec<String> {
        let inbox = self.inbox.lock().unwrap();
        let calls = inbox.iter().filter(|t| t.words[0] == "FN");
        calls.map(|t| String::from_utf8_lossy(&t.body).into_owned()).collect()
    }

    /// Answers the `nth` command of this `kind`, counted from 0, with a status, fields and a body.
    pub fn answer(&self, kind: &str, nth: usize, status: &str, fields: &str, body: &[u8]) {
        let inbox = self.inbox.lock().unwrap();
        let to = inbox.iter().filter(|t| t.words[0] == kind).nth(nth).expect("a command that arrived");
        let line = format!("{} {status} {fields} {}\r\n", to.words[1], body.len());
        (&to.out).write_all(&[line.as_bytes(), body, b"\r\n"].concat()).unwrap();
    }

    /// From now on, serves calls at once if their bodies start with this.
    pub fn serve_at_once(&self, beginning: &'static str) {
        *self.ready.lock().unwrap() = Some(beginning);
    }

    /// Waits for the call with this body and returns its index among all calls.
    pub fn find(&self, body: &str) -> usize {
        wait_for(&format!("the call {body}"), || self.bodies().iter().any(|b| b == body));
        self.bodies().iter().rposition(|b| b == body).expect("it has arrived")
    }

    /// Answers this call with success.
    pub fn serve(&self, nth: usize) {
        self.answer("FN", nth, "200", "tell=warm", b"done");
    }

    /// Answers this call with a miss and waits for the load order that the program sends; the call waits for that load.
    pub fn answer_miss(&self, nth: usize) {
        let orders = self.count("SPAWN");
        self.answer("FN", nth, "404", "-", b"");
        self.wait("SPAWN", orders + 1);
    }

    /// Answers this load order with success.
    pub fn finish_load(&self, nth: usize) {
        self.answer("SPAWN", nth, "200", "copies=1", b"");
    }

    /// Closes the connection on which this call arrived.
    pub fn close_conn(&self, nth: usize) {
        let inbox = self.inbox.lock().unwrap();
        let call = inbox.iter().filter(|t| t.words[0] == "FN").nth(nth).expect("a call that arrived");
        call.out.shutdown(Shutdown::Both).unwrap();
    }
}

fn serve_conn(stream: TcpStream, all: &Mutex<Vec<Received>>, ready: &Mutex<Option<&'static str>>) {
    let mut lines = BufReader::new(stream.try_clone().unwrap());
    loop {
        let mut line = String::new();
        if lines.read_line(&mut line).unwrap_or(0) == 0 {
            return;
        }
        let words: Vec<String> = line.trim_end().split(' ').map(str::to_string).collect();
        let mut body = Vec::new();
        match words[0].as_str() {
            "FN" => {
                body = vec![0; words[3].parse::<usize>().unwrap() + 2];
                if lines.read_exact(&mut body).is_err() {
                    return;
                }
                body.truncate(body.len() - 2);
            }
            // No test here is about probes.
            "HELO" => (&stream).write_all(format!("{} alive - 0\r\n\r\n", words[1]).as_bytes()).unwrap_or(()),
            _ => {}
        }
        let beginning = ready.lock().unwrap().filter(|b| words[0] == "FN" && body.starts_with(b.as_bytes()));
        let answer = format!("{} 200 tell=warm 4\r\ndone\r\n", words[1]);
        all.lock().unwrap().push(Received { words, body, out: stream.try_clone().unwrap() });
        if beginning.is_some() {
            (&stream).write_all(answer.as_bytes()).unwrap_or(());
        }
    }
}

/// Entries of a configuration's host list for hosts at these addresses.
pub fn host_entries(hosts: &[SocketAddr]) -> Value {
    let member = |(i, address): (usize, &SocketAddr)| {
        json!({"id": format!("s-{i:08x}"), "host_port": address.to_string(), "locality": "z", "flavor": "k",
            "cell": 0, "phase": "active", "size": 1, "up_since_ms": 0})
    };
    hosts.iter().enumerate().map(member).collect()
}

/// Starts a platform activator that knows hosts at these addresses, with these edits of its configuration.
pub fn platform_with(hosts: &[SocketAddr], edits: &[(&str, Value)]) -> Platform {
    let bus = Bus::start();
    let known = [("known/batch/0/topology/members", host_entries(hosts))];
    let text = edited(&edited(&config(bus.address, &[]), &known), edits);
    let program = Program::start(&text, false);
    let (_, feed) = bus.greeted();
    Platform { program, bus, feed }
}

/// A client that speaks the platform's frames.
pub struct Client(pub TcpStream);

impl Client {
    pub fn of(program: &Program) -> Self {
        Self(program.connect())
    }

    /// A client whose receive buffer holds little until it reads.
    pub fn with_small_buffer(program: &Program) -> Self {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.set_recv_buffer_size(SMALL_BUFFER_BYTES).unwrap();
        socket.connect(&program.address.into()).unwrap();
        Self(socket.into())
    }

    /// Closes the connection with a reset.
    pub fn reset(self) {
        SockRef::from(&self.0).set_linger(Some(Duration::ZERO)).unwrap();
    }

    /// Sends a request for this function, with an id that was not used before.
    pub fn ask(&mut self, stream: u32, class: &str, function: u64, body: &str) {
        let frame = Self::request(stream, class, function, body.as_bytes());
        self.0.write_all(&frame).unwrap();
    }

    /// The frame of such a request.
    pub fn request(stream: u32, class: &str, function: u64, body: &[u8]) -> Vec<u8> {
        static NEXT: AtomicU64 = AtomicU64::new(1);
        let id = format!("{:016x}", NEXT.fetch_add(1, Ordering::Relaxed));
        let function = format!("{function:016x}");
        whole_call_frame(stream, [&id, class, &id, &function], CLIENT_TIMEOUT_MS, body)
    }

    /// Cancels the request on this stream.
    pub fn cancel(&mut self, stream: u32) {
        self.0.write_all(&client_frame(3, stream, &[])).unwrap();
    }

    /// Ends the client's side of the connection, and still reads.
    pub fn half_close(&mut self) {
        self.0.shutdown(Shutdown::Write).unwrap();
    }

    /// Stream and code of the next answer, which must arrive long before the request times out.
    pub fn answer(&mut self) -> (u32, u8) {
        self.0.set_read_timeout(Some(EARLY)).unwrap();
        let frame = read_frame(&mut self.0).expect("an answer");
        assert_eq!(frame.kind, 2, "{frame:?}");
        (frame.stream, frame.code)
    }

    /// Whether the connection ends without further bytes.
    pub fn is_ended(&mut self) -> bool {
        match self.0.read(&mut [0]) {
            Ok(n) => n == 0,
            Err(e) => e.kind() == ErrorKind::ConnectionReset,
        }
    }
}
