//! A process of the program: its start, its log, operators' calls, and the signals that it is sent.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::thread::spawn;
use std::time::Duration;

use rustix::process::{kill_process, prlimit, Pid, Resource, Rlimit, Signal};

use crate::http::{read_reply, request, Reply};
use crate::wall_clock::WallClock;
use crate::{ms, wait_for, LONG};

/// Lines of a process's log that are kept, the newest; a program that says more than that in a test is broken.
const MOST_LINES: usize = 100_000;

/// The signals that a lab sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Send {
    /// SIGTERM: it is to end by itself.
    Terminate,
    /// SIGHUP: it is to read its file again.
    Reload,
    /// SIGSTOP: it stands still and does not notice.
    Stop,
    /// SIGCONT: it goes on.
    Continue,
    /// SIGKILL: it is gone without a word.
    Kill,
}

/// What is called with each line of a process's log as it comes, on a thread of its own.
pub type Tap = Box<dyn Fn(&str) + std::marker::Send>;

/// How a process is to be started.
pub struct Start<'a> {
    program: &'a Path,
    text: &'a str,
    operator: bool,
    env: Vec<(&'a str, &'a str)>,
    descriptors: Option<u32>,
    tap: Option<Tap>,
}

impl<'a> Start<'a> {
    /// The program at this path on a file of this text: an operator's, or the platform's configuration.
    pub fn new(program: &'a Path, text: &'a str, operator: bool) -> Self {
        Self { program, text, operator, env: Vec::new(), descriptors: None, tap: None }
    }

    /// With this in its environment besides.
    pub fn env(mut self, name: &'a str, value: &'a str) -> Self {
        self.env.push((name, value));
        self
    }

    /// With this wall clock in place of the system's.
    pub fn wall_clock(mut self, clock: &'a WallClock) -> Self {
        self.env.extend(clock.environment());
        self
    }

    /// With so many descriptors, whatever its configuration says.
    pub fn descriptors(mut self, most: u32) -> Self {
        self.descriptors = Some(most);
        self
    }

    /// With each line of its log handed on as it comes.
    pub fn tap(mut self, tap: Tap) -> Self {
        self.tap = Some(tap);
        self
    }

    fn command(&self, file: &Path) -> Command {
        let mut command = match self.descriptors {
            None => Command::new(self.program),
            Some(most) => {
                let mut shell = Command::new("/bin/sh");
                shell.args(["-c", &format!("ulimit -n {most}; exec \"$0\" \"$@\"")]).arg(self.program);
                shell
            }
        };
        command.env_clear().env("TMPDIR", shared_folder()).envs(self.env.iter().copied());
        command.stdin(Stdio::null()).stderr(Stdio::piped());
        if self.operator {
            command.arg(file);
        } else {
            command.env("EDGE_CONFIG", file);
        }
        command
    }

    /// Starts it and waits until it listens.
    ///
    /// # Errors
    /// When it can't be started or ends before it listens: what it said.
    pub fn run(self) -> Result<Program, String> {
        let file = write_file(self.text);
        let spawned = self.command(&file).spawn();
        let mut child = spawned.map_err(|e| format!("{}: {e}", self.program.display()))?;
        let mut lines = BufReader::new(child.stderr.take().expect("a pipe")).lines();
        let (mut control, mut said) = (None, Vec::new());
        let address = loop {
            let Some(Ok(line)) = lines.next() else {
                let _ = child.kill();
                let _ = child.wait();
                let _ = std::fs::remove_file(&file);
                return Err(format!("it ended before it listened: {}", said.join("; ")));
            };
            match (line.strip_prefix("control on "), line.strip_prefix("listening on ")) {
                (Some(address), _) => control = address.parse().ok(),
                (_, Some(address)) => break address.parse().expect("an address"),
                _ => said.push(line),
            }
        };
        let log = Arc::new(Mutex::new(Vec::new()));
        let (into, tap) = (log.clone(), self.tap);
        if let Some(tap) = &tap {
            said.iter().for_each(|line| tap(line));
        }
        spawn(move || {
            for line in lines.map_while(Result::ok) {
                if let Some(tap) = &tap {
                    tap(&line);
                }
                let mut kept = into.lock().unwrap();
                if kept.len() == MOST_LINES {
                    kept.drain(..MOST_LINES / 2);
                }
                kept.push(line);
            }
        });
        Ok(Program { child, address, control, log, file })
    }
}

/// Where the programs of one test run meet.
pub fn shared_folder() -> PathBuf {
    let path = std::env::temp_dir().join(format!("wheellink-test-{}", std::process::id()));
    std::fs::create_dir_all(&path).unwrap();
    path
}

/// Where a program that listens there is found by one that is to take its place.
pub fn meeting_place(address: SocketAddr) -> PathBuf {
    shared_folder().join(format!("wheellink-{}.sock", address.to_string().replace(':', "-")))
}

fn write_file(text: &str) -> PathBuf {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let n = NEXT.fetch_add(1, Relaxed);
    let path = std::env::temp_dir().join(format!("wheellink-{}-{n}", std::process::id()));
    std::fs::write(&path, text).unwrap();
    path
}

/// Starts the program on a file that it should turn down: its exit and what it said.
pub fn turned_down(program: &Path, text: &str, operator: bool) -> (ExitStatus, String) {
    let file = write_file(text);
    let out = Start::new(program, text, operator).command(&file).output().unwrap();
    std::fs::remove_file(file).unwrap();
    (out.status, String::from_utf8(out.stderr).unwrap())
}

/// A process of the program that this one has started; it is killed when this is dropped.
pub struct Program {
    child: Child,
    /// Where clients call.
    pub address: SocketAddr,
    control: Option<SocketAddr>,
    log: Arc<Mutex<Vec<String>>>,
    file: PathBuf,
}

impl Program {
    /// The program on a file of this text.
    ///
    /// # Panics
    /// When it does not come to listen.
    pub fn start(program: &Path, text: &str, operator: bool) -> Self {
        Start::new(program, text, operator).run().unwrap_or_else(|said| panic!("{said}"))
    }

    /// Where operators call, if its file tells.
    pub fn control(&self) -> Option<SocketAddr> {
        self.control
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

    /// Lines of the log with this in them.
    pub fn logged(&self, part: &str) -> usize {
        self.log.lock().unwrap().iter().filter(|l| l.contains(part)).count()
    }

    /// The log so far.
    pub fn lines(&self) -> Vec<String> {
        self.log.lock().unwrap().clone()
    }

    /// A client's connection.
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

    /// The text that an operator's `GET` of this path answers.
    pub fn fetch(&self, path: &str) -> String {
        let mut stream = self.connect_control();
        stream.write_all(request("GET", path, &[], "").as_bytes()).unwrap();
        let reply = read_reply(&mut stream).expect("an answer");
        String::from_utf8(reply.body).expect("text")
    }

    /// What `GET /status` answers.
    pub fn status(&self) -> u16 {
        self.operate("GET", "/status", "")
    }

    /// Takes a host out by hand, or back in.
    pub fn maintain(&self, way: &str, host: u32) -> u16 {
        self.operate("POST", &format!("/maintenance/{way}"), &format!("{{\"host\":\"s-{host:08x}\"}}"))
    }

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

    /// Tells it to end.
    pub fn terminate(&self) {
        self.signal(Send::Terminate);
    }

    /// Replaces its file and tells it so.
    pub fn reload(&self, text: &str) {
        std::fs::write(&self.file, text).unwrap();
        self.signal(Send::Reload);
    }

    /// Descriptors that it holds.
    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).unwrap().count()
    }

    /// Lets it open no descriptor beyond so many from now on, whatever it was told at its start.
    pub fn limit_descriptors(&self, most: u64) {
        let limit = Rlimit { current: Some(most), maximum: Some(most) };
        prlimit(Some(Pid::from_child(&self.child)), Resource::Nofile, limit).expect("its own child");
    }

    /// Processor time that it has used, in hundredths of a second.
    pub fn used(&self) -> u64 {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap();
        let fields: Vec<_> = stat.rsplit(')').next().unwrap().split_whitespace().collect();
        fields[11].parse::<u64>().unwrap() + fields[12].parse::<u64>().unwrap()
    }

    /// Nanoseconds for which its first thread, which has the loop, was on a processor.
    pub fn ran(&self) -> u64 {
        let stat = std::fs::read_to_string(format!("/proc/{}/schedstat", self.child.id())).unwrap();
        stat.split_whitespace().next().unwrap().parse().unwrap()
    }

    /// The most memory that it has ever held, in bytes.
    pub fn peak_memory(&self) -> usize {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("its peak");
        peak.split_whitespace().next().and_then(|kb| kb.parse::<usize>().ok()).expect("a number") << 10
    }

    /// Ends it without a word.
    pub fn kill(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    /// Has it stop without ending, or go on.
    pub fn stop(&self, stopped: bool) {
        self.signal(if stopped { Send::Stop } else { Send::Continue });
    }

    /// Sends it a signal. The child is not reaped while this stands, so the number is no other's.
    pub fn signal(&self, signal: Send) {
        let signal = match signal {
            Send::Terminate => Signal::TERM,
            Send::Reload => Signal::HUP,
            Send::Stop => Signal::STOP,
            Send::Continue => Signal::CONT,
            Send::Kill => Signal::KILL,
        };
        kill_process(Pid::from_child(&self.child), signal).expect("its own child");
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

    /// Its end, if it has ended by now.
    pub fn has_ended(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Its end, if it has ended within that time.
    pub fn ended_within(&mut self, time: Duration) -> Option<ExitStatus> {
        let begun = std::time::Instant::now();
        loop {
            match self.child.try_wait() {
                Ok(Some(status)) => return Some(status),
                _ if begun.elapsed() > time => return None,
                _ => std::thread::sleep(ms(2)),
            }
        }
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
