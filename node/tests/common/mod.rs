//! The shared helper: starts the program, and stands in for script hosts, resolver, bus and clients.
#![allow(dead_code)]

pub mod rollout;

use std::collections::{BTreeMap, BTreeSet};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::mpsc::{channel, Receiver};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use hickory_proto::op::{Message, ResponseCode};
use hickory_proto::rr::rdata::{A, PTR, SRV, TXT};
use hickory_proto::rr::{Name, RData, Record, RecordType};

/// Longer than anything here takes; what waits for it has failed.
pub const LONG: Duration = Duration::from_secs(10);

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Looks again and again until it holds.
pub fn wait_for(what: &str, mut holds: impl FnMut() -> bool) {
    let begun = Instant::now();
    while !holds() {
        assert!(begun.elapsed() < LONG, "waited in vain: {what}");
        sleep(ms(2));
    }
}

// ---------------------------------------------------------------------------------------- the program

pub struct Program {
    child: Child,
    pub address: SocketAddr,
    control: Option<SocketAddr>,
    log: Arc<Mutex<Vec<String>>>,
    file: std::path::PathBuf,
}

fn binary() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_wheellink-node"));
    command.env_clear().env("TMPDIR", shared_folder()).stderr(Stdio::piped());
    command
}

/// Where the programs of one test run meet.
pub fn shared_folder() -> std::path::PathBuf {
    let path = std::env::temp_dir().join(format!("wheellink-test-{}", std::process::id()));
    std::fs::create_dir_all(&path).unwrap();
    path
}

/// Where a program that listens there is found by one that is to take its place.
pub fn meeting_place(address: SocketAddr) -> std::path::PathBuf {
    shared_folder().join(format!("wheellink-{}.sock", address.to_string().replace(':', "-")))
}

fn write_file(text: &str) -> std::path::PathBuf {
    static NEXT: std::sync::atomic::AtomicU32 = std::sync::atomic::AtomicU32::new(0);
    let n = NEXT.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
    let path = std::env::temp_dir().join(format!("wheellink-{}-{n}", std::process::id()));
    std::fs::write(&path, text).unwrap();
    path
}

/// Starts the program on a file that it should turn down: its exit and what it said.
pub fn turned_down(text: &str, operator: bool) -> (ExitStatus, String) {
    let file = write_file(text);
    let mut command = binary();
    let out = if operator { command.arg(&file) } else { command.env("EDGE_CONFIG", &file) }.output().unwrap();
    std::fs::remove_file(file).unwrap();
    (out.status, String::from_utf8(out.stderr).unwrap())
}

impl Program {
    pub fn start(text: &str, operator: bool) -> Self {
        Self::run(binary(), text, operator)
    }

    /// With so many descriptors, whatever its configuration says.
    pub fn start_with_descriptors(most: u32, text: &str, operator: bool) -> Self {
        let mut shell = Command::new("/bin/sh");
        let script = format!("ulimit -n {most}; exec \"$0\" \"$@\"");
        shell.args(["-c", &script, env!("CARGO_BIN_EXE_wheellink-node")]).env_clear();
        shell.env("TMPDIR", shared_folder()).stderr(Stdio::piped());
        Self::run(shell, text, operator)
    }

    /// With calls of the system that fail as this says.
    pub fn start_with_faults(faults: &str, text: &str, operator: bool) -> Self {
        Self::start_with("WHEELLINK_FAULTS", faults, text, operator)
    }

    /// With this in its environment besides.
    pub fn start_with(name: &str, value: &str, text: &str, operator: bool) -> Self {
        let mut command = binary();
        command.env(name, value);
        Self::run(command, text, operator)
    }

    /// A connection from this loopback address, which stands for a client's.
    pub fn connect_from(&self, from: [u8; 4]) -> TcpStream {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        socket.bind(&SocketAddr::from((from, 0)).into()).unwrap();
        socket.connect(&self.address.into()).unwrap();
        let stream: TcpStream = socket.into();
        stream.set_read_timeout(Some(LONG)).unwrap();
        stream.set_nodelay(true).unwrap();
        stream
    }

    fn run(mut command: Command, text: &str, operator: bool) -> Self {
        let file = write_file(text);
        if operator {
            command.arg(&file)
        } else {
            command.env("EDGE_CONFIG", &file)
        };
        let mut child = command.spawn().unwrap();
        let mut lines = BufReader::new(child.stderr.take().unwrap()).lines();
        let mut control = None;
        let address = loop {
            let line = lines.next().expect("a line").unwrap();
            match line.strip_prefix("control on ") {
                Some(address) => control = Some(address.parse().unwrap()),
                None if line.starts_with("wheellink-node: ") => panic!("{line}"),
                None => {
                    if let Some(address) = line.strip_prefix("listening on ") {
                        break address.to_string();
                    }
                }
            }
        };
        let (address, log) = (address.parse().unwrap(), Arc::new(Mutex::new(Vec::new())));
        let into = log.clone();
        spawn(move || lines.map_while(Result::ok).for_each(|line| into.lock().unwrap().push(line)));
        Self { child, address, control, log, file }
    }

    /// Lines of the log with this in them.
    pub fn logged(&self, part: &str) -> usize {
        self.log.lock().unwrap().iter().filter(|l| l.contains(part)).count()
    }

    /// The log so far.
    pub fn lines(&self) -> Vec<String> {
        self.log.lock().unwrap().clone()
    }

    pub fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.address).unwrap();
        stream.set_read_timeout(Some(LONG)).unwrap();
        stream.set_nodelay(true).unwrap();
        stream
    }

    /// A connection to the operators' address.
    pub fn connect_control(&self) -> TcpStream {
        let stream = TcpStream::connect(self.control.expect("a control address")).unwrap();
        stream.set_read_timeout(Some(LONG)).unwrap();
        stream
    }

    /// An operator's call: the status of its answer.
    pub fn operate(&self, method: &str, path: &str, body: &str) -> u16 {
        let mut stream = self.connect_control();
        stream.write_all(request(method, path, &[], body).as_bytes()).unwrap();
        let status = read_reply(&mut stream).expect("an answer").status;
        assert!(read_reply(&mut stream).is_none(), "one call to a connection");
        status
    }

    /// An operator's call: its answer, read as JSON.
    pub fn ask(&self, method: &str, path: &str, body: &str) -> (u16, serde_json::Value) {
        let mut stream = self.connect_control();
        stream.write_all(request(method, path, &[], body).as_bytes()).unwrap();
        let reply = read_reply(&mut stream).expect("an answer");
        (reply.status, serde_json::from_slice(&reply.body).unwrap_or_default())
    }

    pub fn status(&self) -> u16 {
        self.operate("GET", "/status", "")
    }

    /// Takes a host out by hand, or back in.
    pub fn maintain(&self, way: &str, host: u32) -> u16 {
        self.operate("POST", &format!("/maintenance/{way}"), &format!("{{\"host\":\"s-{host:08x}\"}}"))
    }

    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Replaces its file and tells it so.
    pub fn reload(&self, text: &str) {
        std::fs::write(&self.file, text).unwrap();
        self.signal("-HUP");
    }

    /// Processor time that it has used, in hundredths of a second.
    pub fn used(&self) -> u64 {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap();
        let fields: Vec<_> = stat.rsplit(')').next().unwrap().split_whitespace().collect();
        fields[11].parse::<u64>().unwrap() + fields[12].parse::<u64>().unwrap()
    }

    /// Ends it without a word.
    pub fn kill(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    /// Has it stop without ending, or go on.
    pub fn stop(&self, stopped: bool) {
        self.signal(if stopped { "-STOP" } else { "-CONT" });
    }

    fn signal(&self, signal: &str) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args([signal, &id]).status().unwrap().success());
    }

    /// Waits for its end after [`Program::terminate`].
    pub fn ended(&mut self) -> ExitStatus {
        let mut status = None;
        wait_for("the program's end", || {
            status = self.child.try_wait().unwrap();
            status.is_some()
        });
        status.unwrap()
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.file);
        // A successor may be found there by now.
        let place = meeting_place(self.address);
        if std::os::unix::net::UnixStream::connect(&place).is_err() {
            let _ = std::fs::remove_file(place);
        }
        let _ = std::fs::remove_dir(shared_folder());
    }
}

// ------------------------------------------------------------------------------------ stand-in hosts

/// What a host does with a call.
#[derive(Clone, Copy, PartialEq)]
pub enum Does {
    /// Answers with this word after its work.
    Answer(&'static str),
    /// Takes it and says nothing.
    Nothing,
    /// Ends the connection.
    HangUp,
    /// Answers with these bytes, `ID` standing for the id, and with nothing on this connection from then on.
    Spoils(&'static str),
    /// Answers with these bytes, one at a time with a pause after each.
    Drips(&'static str, Duration),
    /// Answers with a body of so many bytes.
    Long(usize),
}

/// How a host behaves; may be changed while it runs.
pub struct Ways {
    pub does: Does,
    pub work: Duration,
    /// Loads begun by SPAWN take so long; `None`: every script stands loaded.
    pub load: Option<Duration>,
}

#[derive(Default)]
pub struct Seen {
    /// FN lines as they came, with their bodies.
    pub calls: Vec<(String, Vec<u8>)>,
    /// Runs begun, by the body of the call.
    pub runs: BTreeMap<String, u32>,
    pub kills: Vec<String>,
    /// SPAWN lines.
    pub orders: Vec<String>,
    pub probes: usize,
    /// When the last call came.
    pub last: Option<Instant>,
    pub loaded: BTreeSet<String>,
    pub loading: BTreeSet<String>,
    connections: Vec<TcpStream>,
}

pub struct Host {
    pub address: SocketAddr,
    pub ways: Arc<Mutex<Ways>>,
    pub seen: Arc<Mutex<Seen>>,
}

impl Host {
    pub fn start(ways: Ways) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let host = Self { address, ways: Arc::new(Mutex::new(ways)), seen: Arc::default() };
        let (ways, seen) = (host.ways.clone(), host.seen.clone());
        spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let (ways, seen) = (ways.clone(), seen.clone());
                seen.lock().unwrap().connections.push(stream.try_clone().unwrap());
                spawn(move || serve(stream, &ways, &seen));
            }
        });
        host
    }

    /// A host with all scripts loaded that answers within a millisecond or two.
    pub fn warm() -> Self {
        Self::start(Ways { does: Does::Answer("200"), work: ms(1), load: None })
    }

    pub fn calls(&self) -> usize {
        self.seen.lock().unwrap().calls.len()
    }

    /// Connections that were ever made to it.
    pub fn connections(&self) -> usize {
        self.seen.lock().unwrap().connections.len()
    }

    pub fn kills(&self) -> usize {
        self.seen.lock().unwrap().kills.len()
    }

    pub fn runs(&self, body: &str) -> u32 {
        self.seen.lock().unwrap().runs.get(body).copied().unwrap_or(0)
    }
}

fn serve(stream: TcpStream, ways: &Arc<Mutex<Ways>>, seen: &Arc<Mutex<Seen>>) {
    let out = Arc::new(Mutex::new(stream.try_clone().unwrap()));
    let spoilt = Arc::new(Mutex::new(false));
    let (raw, silenced) = (out.clone(), spoilt.clone());
    let answer = move |tag: &str, word: &str, fields: &str, body: &[u8]| {
        if *silenced.lock().unwrap() {
            return;
        }
        let line = format!("{tag} {word} {fields} {}\r\n", body.len());
        let _ = out.lock().unwrap().write_all(&[line.as_bytes(), body, b"\r\n"].concat());
    };
    let mut lines = BufReader::new(&stream);
    loop {
        let mut line = String::new();
        if lines.read_line(&mut line).unwrap_or(0) == 0 {
            return;
        }
        assert!(line.ends_with("\r\n"), "{line:?}");
        let words: Vec<String> = line.trim_end().split(' ').map(str::to_string).collect();
        let field = |name: &str| {
            let pairs = words[2].split(',').filter_map(|f| f.split_once('='));
            pairs.filter(|(n, _)| *n == name).map(|(_, v)| v.to_string()).next().unwrap()
        };
        match words[0].as_str() {
            "FN" => {
                let mut body = vec![0; words[3].parse::<usize>().unwrap() + 2];
                lines.read_exact(&mut body).unwrap();
                assert_eq!(&body.split_off(body.len() - 2), b"\r\n");
                let (id, item) = (words[1].clone(), field("item"));
                let text = String::from_utf8_lossy(&body).into_owned();
                let mut s = seen.lock().unwrap();
                s.calls.push((line.trim_end().to_string(), body.clone()));
                s.last = Some(Instant::now());
                let Ways { does, work, load } = *ways.lock().unwrap();
                if does == Does::HangUp {
                    return stream.shutdown(std::net::Shutdown::Both).unwrap();
                }
                if let Does::Spoils(bytes) = does {
                    *spoilt.lock().unwrap() = true;
                    *s.runs.entry(text).or_default() += 1;
                    raw.lock().unwrap().write_all(bytes.replace("ID", &id).as_bytes()).unwrap();
                    continue;
                }
                if let Does::Drips(bytes, pause) = does {
                    drop(s);
                    for byte in bytes.replace("ID", &id).bytes() {
                        raw.lock().unwrap().write_all(&[byte]).unwrap();
                        sleep(pause);
                    }
                    continue;
                }
                if load.is_some() && !s.loaded.contains(&item) && !s.loading.contains(&item) {
                    answer(&id, "404", "-", b"");
                    continue;
                }
                drop(s);
                let (seen, answer) = (seen.clone(), answer.clone());
                spawn(move || {
                    // Waits for the load; whatever is killed by then never runs.
                    wait_for("the load", || load.is_none() || seen.lock().unwrap().loaded.contains(&item));
                    let mut s = seen.lock().unwrap();
                    if s.kills.contains(&id) {
                        return;
                    }
                    *s.runs.entry(text).or_default() += 1;
                    drop(s);
                    sleep(work);
                    if let Does::Long(length) = does {
                        answer(&id, "200", "tell=warm", &vec![b'x'; length]);
                    }
                    if let Does::Answer(word) = does {
                        let body =
                            if word == "200" { [b"did ", body.as_slice()].concat() } else { Vec::new() };
                        answer(&id, word, "tell=warm,queue_fn=0", &body);
                    }
                });
            }
            "KILL" => seen.lock().unwrap().kills.push(words[1].clone()),
            "SPAWN" => {
                let (item, tag) = (field("item"), words[1].clone());
                let load = ways.lock().unwrap().load.unwrap_or_default();
                let mut s = seen.lock().unwrap();
                s.orders.push(line.trim_end().to_string());
                s.loading.insert(item.clone());
                let (seen, answer) = (seen.clone(), answer.clone());
                spawn(move || {
                    sleep(load);
                    seen.lock().unwrap().loaded.insert(item);
                    answer(&tag, "200", "copies=1", b"");
                });
            }
            "HELO" => {
                seen.lock().unwrap().probes += 1;
                answer(&words[1], "alive", "-", b"");
            }
            other => panic!("a host cannot read {other}"),
        }
    }
}

// ------------------------------------------------------------------------------------- HTTP clients

pub struct Reply {
    pub status: u16,
    pub head: String,
    pub body: Vec<u8>,
}

impl Reply {
    pub fn header(&self, name: &str) -> Option<&str> {
        let lines = self.head.lines().filter_map(|l| l.split_once(": "));
        lines.filter(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v).next()
    }
}

/// Reads the first byte of something; `None` at the end. A wait with a time-out may be broken off by any signal.
fn first_byte(stream: &mut impl Read) -> Option<u8> {
    let mut byte = [0];
    loop {
        match stream.read(&mut byte) {
            Ok(n) => return (n > 0).then_some(byte[0]),
            Err(e) if e.kind() == std::io::ErrorKind::Interrupted => {}
            Err(e) => panic!("nothing in time: {e}"),
        }
    }
}

/// Reads one response; `None` at the end of the connection.
pub fn read_reply(stream: &mut impl Read) -> Option<Reply> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let Some(byte) = first_byte(stream) else {
            assert!(head.is_empty(), "cut off: {}", String::from_utf8_lossy(&head));
            return None;
        };
        head.push(byte);
    }
    let head = String::from_utf8(head).unwrap();
    let mut reply = Reply { status: head[9..12].parse().unwrap(), head, body: Vec::new() };
    reply.body = vec![0; reply.header("content-length").map_or(0, |n| n.parse().unwrap())];
    stream.read_exact(&mut reply.body).unwrap();
    Some(reply)
}

pub fn request(method: &str, path: &str, headers: &[&str], body: &str) -> String {
    let extra: String = headers.iter().map(|h| format!("{h}\r\n")).collect();
    format!("{method} {path} HTTP/1.1\r\nHost: x\r\n{extra}Content-Length: {}\r\n\r\n{body}", body.len())
}

pub fn call(function: &str, class: &str, headers: &[&str], body: &str) -> String {
    let class = format!("Wheellink-Class: {class}");
    let headers: Vec<&str> = headers.iter().copied().chain([class.as_str()]).collect();
    request("POST", &format!("/v1/functions/{function}/calls"), &headers, body)
}

impl Program {
    /// One request on a connection of its own.
    pub fn http(&self, request: &str) -> Reply {
        let mut stream = self.connect();
        stream.write_all(request.as_bytes()).unwrap();
        read_reply(&mut stream).expect("an answer")
    }

    /// Asks for a deferred result until it is there.
    pub fn collect(&self, location: &str) -> Reply {
        let mut reply = None;
        wait_for("a deferred result", || {
            reply = Some(self.http(&request("GET", location, &[], "")));
            reply.as_ref().unwrap().status != 202
        });
        reply.unwrap()
    }
}

// --------------------------------------------------------------------------------- stand-in resolver

/// What the resolver says.
#[derive(Default)]
pub struct Zone {
    /// Instances: label, port, TXT.
    pub instances: Vec<(String, u16, Vec<String>)>,
    pub ttl: u32,
    pub fails: bool,
    /// Answers do not fit into a datagram.
    pub cuts: bool,
    pub queries: u32,
}

pub struct Resolver {
    pub address: SocketAddr,
    pub zone: Arc<Mutex<Zone>>,
}

const SERVICE: &str = "_script-host._tcp.hosts.test.";

impl Resolver {
    pub fn start(hosts: &[&Host]) -> Self {
        // One port for both: a free one of one kind may be taken for the other.
        let both = || {
            let socket = UdpSocket::bind("127.0.0.1:0").ok()?;
            let listener = TcpListener::bind(socket.local_addr().ok()?).ok()?;
            Some((socket, listener))
        };
        let (socket, listener) = (0..100).find_map(|_| both()).expect("a port for both");
        let address = socket.local_addr().unwrap();
        let named = |(i, h): (usize, &&Host)| (format!("h{i}"), h.address.port(), vec!["cell=0".to_string()]);
        let instances = hosts.iter().enumerate().map(named).collect();
        let zone = Arc::new(Mutex::new(Zone { instances, ttl: 1, ..Zone::default() }));
        let shared = zone.clone();
        let whole = zone.clone();
        spawn(move || {
            for mut stream in listener.incoming().map_while(Result::ok) {
                let mut length = [0; 2];
                stream.read_exact(&mut length).unwrap();
                let mut query = vec![0; u16::from_be_bytes(length).into()];
                stream.read_exact(&mut query).unwrap();
                let answer = whole.lock().unwrap().answer(&query, false);
                let length = (answer.len() as u16).to_be_bytes();
                stream.write_all(&[&length[..], &answer].concat()).unwrap();
            }
        });
        spawn(move || {
            let mut buf = [0; 2048];
            while let Ok((n, from)) = socket.recv_from(&mut buf) {
                let mut zone = shared.lock().unwrap();
                zone.queries += 1;
                let cut = zone.cuts;
                let _ = socket.send_to(&zone.answer(&buf[..n], cut), from);
            }
        });
        Self { address, zone }
    }
}

impl Zone {
    fn answer(&self, bytes: &[u8], cut: bool) -> Vec<u8> {
        let mut message = Message::from_vec(bytes).unwrap().into_response();
        if cut {
            message.metadata.truncation = true;
            return message.to_vec().unwrap();
        }
        if self.fails {
            message.metadata.response_code = ResponseCode::ServFail;
            return message.to_vec().unwrap();
        }
        let query = message.queries[0].clone();
        let asked = query.name().to_lowercase();
        let name = |label: &str| Name::from_ascii(format!("{label}.{SERVICE}")).unwrap();
        let target = Name::from_ascii("box.hosts.test.").unwrap();
        let mut found = Vec::new();
        for (label, port, txt) in &self.instances {
            let own = asked == name(label);
            match query.query_type() {
                RecordType::PTR if asked == Name::from_ascii(SERVICE).unwrap() => {
                    found.push(RData::PTR(PTR(name(label))))
                }
                RecordType::SRV if own => found.push(RData::SRV(SRV::new(0, 0, *port, target.clone()))),
                RecordType::TXT if own => found.push(RData::TXT(TXT::new(txt.clone()))),
                _ => {}
            }
        }
        if query.query_type() == RecordType::A && asked == target {
            found.push(RData::A(A(Ipv4Addr::LOCALHOST)));
        }
        if found.is_empty() {
            message.metadata.response_code = ResponseCode::NXDomain;
        }
        message.add_answers(found.into_iter().map(|data| Record::from_rdata(asked.clone(), self.ttl, data)));
        message.to_vec().unwrap()
    }
}

/// An operator's file like the one under deploy/, for these stand-ins.
pub fn operator_file(resolver: SocketAddr) -> String {
    let text =
        std::fs::read_to_string(concat!(env!("CARGO_MANIFEST_DIR"), "/../deploy/invoke.toml")).unwrap();
    text.replace("127.0.0.1:8480", "127.0.0.1:0")
        .replace("127.0.0.1:8481", "127.0.0.1:0")
        .replace("127.0.0.1:5353", &resolver.to_string())
}

/// The program with its invoke front before these hosts, once it knows them.
pub fn operator(hosts: &[&Host], edit: impl Fn(String) -> String) -> (Program, Resolver) {
    let resolver = Resolver::start(hosts);
    let program = Program::start(&edit(operator_file(resolver.address)), true);
    wait_for("hosts", || program.http(&request("GET", "/healthz", &[], "")).status == 200);
    (program, resolver)
}

// ------------------------------------------------------------------------- the platform's bus and clients

/// An event of the host list: number, whole list or changes, and hosts with their states.
pub fn event(number: u64, whole: bool, hosts: &[(u32, SocketAddr, u8)]) -> Vec<u8> {
    let mut payload = Vec::new();
    for (id, address, state) in hosts {
        payload.extend(id.to_be_bytes());
        payload.extend([127, 0, 0, 1]);
        payload.extend(address.port().to_be_bytes());
        payload.extend([*state, 0, 0, 0, 0]);
        payload.extend(1000u32.to_be_bytes());
        payload.extend(0u64.to_be_bytes());
    }
    frame(number, if whole { 1 } else { 2 }, &payload)
}

fn frame(number: u64, kind: u8, payload: &[u8]) -> Vec<u8> {
    let length = (9 + payload.len()) as u32;
    [&length.to_be_bytes()[..], &number.to_be_bytes(), &[kind], payload].concat()
}

pub struct Bus {
    pub address: SocketAddr,
    greetings: Receiver<(u64, TcpStream)>,
}

impl Bus {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (sender, greetings) = channel();
        spawn(move || {
            for mut stream in listener.incoming().map_while(Result::ok) {
                let mut last = [0; 8];
                if stream.read_exact(&mut last).is_ok() {
                    let _ = sender.send((u64::from_be_bytes(last), stream));
                }
            }
        });
        Self { address, greetings }
    }

    /// The next connection, if one comes within that time.
    pub fn greeted_within(&self, time: Duration) -> Option<(u64, TcpStream)> {
        self.greetings.recv_timeout(time).ok()
    }

    /// The next connection, and the event it wants to go on from.
    pub fn greeted(&self) -> (u64, TcpStream) {
        self.greetings.recv_timeout(LONG).expect("a connection to the bus")
    }
}

/// The configuration of a platform activator with these hosts, numbered from 0, as event 1.
pub fn config(bus: SocketAddr, hosts: &[&Host]) -> String {
    let members: Vec<_> = hosts.iter().enumerate().map(|(i, h)| serde_json::json!({"id": format!("s-{i:08x}"),
        "host_port": h.address.to_string(), "locality": "z", "flavor": "k", "cell": 0, "phase": "active", "size": 1,
        "up_since_ms": 0})).collect();
    let profile = |name: &str, effect: &str| {
        serde_json::json!({"Name": name, "Effect": effect, "AimUs": 1500000,
        "GiveUpUs": 4000000, "Importance": 3.0, "LateWorth": 0.2, "DedupScope": "cell", "WindowUs": 8000000})
    };
    serde_json::json!({"name": "n0", "listen": "127.0.0.1:0", "control": "127.0.0.1:0", "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256}, "bus": bus.to_string(),
        "known": {"offset": 1, "batch": [{"offset": 1, "topology": {"revision": 1, "complete": true, "members": members}}]},
        "settings": {"Discovery": "automatic", "GroupSize": 1, "Zone": "z", "Zones": ["z"],
            "FamilyInfo": {"IfCold": "miss", "KeepUs": 9500000, "PlacementCalls": true, "SaysWarm": true,
                "CountsAlike": true, "FreeLoads": 2.0, "LoadShare": 0.2, "LoadPeriodUs": 10000000},
            "Limits": {"Cancel": true, "Probes": true, "MaxAttempts": 5, "MaxRetryAfterUs": 1000000, "RetryAfter": false,
                "ConnIdleUs": 1000000, "ConnectTimeoutUs": 250000, "StreamsPerConn": 32},
            "Profiles": [profile("check-score", "safe"), profile("save-answers", "keyed"), profile("send-mail", "unsafe")],
            "Rules": {"ColdFrom": 0.17, "ColdUs": 18000000, "FallMultiple": 4.0, "FallUs": 3000000}}})
    .to_string()
}

pub struct Platform {
    pub program: Program,
    pub bus: Bus,
    pub feed: TcpStream,
}

/// A platform activator that has connected to its bus.
pub fn platform(hosts: &[&Host]) -> Platform {
    let bus = Bus::start();
    let program = Program::start(&config(bus.address, hosts), false);
    let (last, feed) = bus.greeted();
    assert_eq!(last, 1);
    Platform { program, bus, feed }
}

/// A frame as a client sends it.
pub fn client_frame(kind: u8, stream: u32, payload: &[u8]) -> Vec<u8> {
    let length = (5 + payload.len()) as u32;
    [&length.to_le_bytes()[..], &[kind], &stream.to_le_bytes(), payload].concat()
}

/// A request frame; each stream's request has an id of its own.
pub fn call_frame(stream: u32, class: &str, timeout: u32, body: &[u8]) -> Vec<u8> {
    let id = format!("{stream:016x}");
    whole_call_frame(stream, [&id, class, "5c0f6e1a", "7f3a9c21e0b4d655"], timeout, body)
}

/// The same of this id, class, key and function.
pub fn whole_call_frame(
    stream: u32,
    [id, class, key, function]: [&str; 4],
    timeout: u32,
    body: &[u8],
) -> Vec<u8> {
    let timeout = timeout.to_string();
    let fields = [
        ("kind", class),
        ("req", id),
        ("timeout", &timeout),
        ("owner", "acme"),
        ("ms", "8.2"),
        ("subject", function),
        ("opkey", key),
        ("props", "memory_mb:512;lanes:2"),
    ];
    let mut payload = vec![fields.len() as u8];
    for (name, value) in fields {
        payload.push(name.len() as u8);
        payload.extend(name.as_bytes());
        payload.extend((value.len() as u16).to_le_bytes());
        payload.extend(value.as_bytes());
    }
    payload.extend(body);
    client_frame(1, stream, &payload)
}

/// What comes from the activator: type, stream, code, fields, body.
#[derive(Debug, PartialEq)]
pub struct Frame {
    pub kind: u8,
    pub stream: u32,
    pub code: u8,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

/// Reads one frame; `None` at the end of the connection.
pub fn read_frame(stream: &mut impl Read) -> Option<Frame> {
    let mut length = [first_byte(stream)?, 0, 0, 0];
    stream.read_exact(&mut length[1..]).unwrap();
    let mut bytes = vec![0; u32::from_le_bytes(length) as usize];
    stream.read_exact(&mut bytes).unwrap();
    let (kind, of) = (bytes[0], u32::from_le_bytes(bytes[1..5].try_into().unwrap()));
    let mut frame = Frame { kind, stream: of, code: 0, fields: Vec::new(), body: Vec::new() };
    if kind == 6 {
        return Some(frame);
    }
    let mut rest = bytes[5..].iter().copied();
    frame.code = rest.next().unwrap();
    let text =
        |n: usize, rest: &mut dyn Iterator<Item = u8>| String::from_utf8(rest.take(n).collect()).unwrap();
    for _ in 0..rest.next().unwrap() {
        let size = rest.next().unwrap().into();
        let name = text(size, &mut rest);
        let size = u16::from_le_bytes([rest.next().unwrap(), rest.next().unwrap()]).into();
        frame.fields.push((name, text(size, &mut rest)));
    }
    frame.body = rest.collect();
    Some(frame)
}

/// A host whose connections do not come up: its backlog is full and nobody accepts.
pub struct Stuck {
    pub address: SocketAddr,
    listener: TcpListener,
    fill: Vec<TcpStream>,
}

impl Stuck {
    pub fn start() -> Self {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        socket.bind(&SocketAddr::from((Ipv4Addr::LOCALHOST, 0)).into()).unwrap();
        socket.listen(0).unwrap();
        let listener: TcpListener = socket.into();
        let address = listener.local_addr().unwrap();
        let fill = (0..3).map_while(|_| TcpStream::connect_timeout(&address, ms(100)).ok()).collect();
        Self { address, listener, fill }
    }

    /// Takes connections at last: how many of those that are not its own filling say anything.
    pub fn heard(self) -> usize {
        self.listener.set_nonblocking(true).unwrap();
        let own: Vec<_> = self.fill.iter().map(|s| s.local_addr().unwrap()).collect();
        let mut heard = 0;
        for _ in 0..60 {
            if let Ok((mut stream, from)) = self.listener.accept() {
                stream.set_nonblocking(false).unwrap();
                stream.set_read_timeout(Some(ms(100))).unwrap();
                heard += usize::from(!own.contains(&from) && stream.read(&mut [0]).is_ok_and(|n| n > 0));
            }
            sleep(ms(10));
        }
        heard
    }
}
