//! What the cases share: processes of the project's program, hosts, HTTP calls, and the record.

use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdin, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use crate::now_us;
use crate::resolver::{self, SharedZone};

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Processes of the program that run, for the end of a case that takes too long.
pub static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// A case that cannot run ends with this.
pub type Outcome<T> = Result<T, String>;

/// The file `record.txt`; times are seconds since the begin.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    began_us: u64,
}

impl Record {
    pub fn new(path: &Path) -> Self {
        let file = File::create(path).expect("the record");
        Self { file: Arc::new(Mutex::new(file)), began_us: now_us() }
    }

    pub fn at(&self, us: u64, line: &str) {
        let since = (us as f64 - self.began_us as f64) / 1e6;
        let text = format!("{since:9.3} {line}\n");
        print!("{text}");
        let _ = self.file.lock().unwrap().write_all(text.as_bytes());
    }

    pub fn line(&self, line: impl AsRef<str>) {
        self.at(now_us(), line.as_ref());
    }
}

/// Something that a host did.
#[derive(Clone, Debug)]
pub struct Event {
    pub at_us: u64,
    pub what: String,
    pub id: String,
    pub function: String,
    pub body: String,
}

/// A script host in a process of its own.
pub struct Host {
    pub name: String,
    child: Child,
    input: ChildStdin,
    events: Arc<Mutex<Vec<Event>>>,
}

impl Host {
    pub fn events(&self, what: &str) -> Vec<Event> {
        self.events.lock().unwrap().iter().filter(|e| e.what == what).cloned().collect()
    }

    pub fn tell(&mut self, line: &str) {
        let _ = writeln!(self.input, "{line}");
        let _ = self.input.flush();
    }

    /// The host's name in the host list.
    pub fn id(&self) -> String {
        format!("{}.{}.", self.name, resolver::SERVICE)
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A process of the project's program, started with the command of the deploy file and an operator's file.
pub struct Program {
    pub name: String,
    pub listen: SocketAddr,
    pub control: SocketAddr,
    pub file: PathBuf,
    child: Child,
}

impl Program {
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    pub fn signal(&self, signal: &str) {
        let _ = Command::new("kill").arg(format!("-{signal}")).arg(self.pid().to_string()).status();
    }

    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|ended| ended.is_some())
    }

    /// GET at the control address.
    pub fn ask(&self, path: &str) -> Option<Reply> {
        http(self.control, "GET", path, &[], "", ms(2000)).ok()
    }

    /// What `GET /accord` says that it acts on: `N DIGEST`, `both N and M` or `the floor of N`.
    pub fn said(&self) -> String {
        let body = self.ask("/accord").map(|r| r.body).unwrap_or_default();
        text_of(&body, "\"said\":\"").unwrap_or_else(|| "nothing".into())
    }

    /// The number of the one version that it acts on.
    pub fn acts_on(&self) -> Option<u64> {
        self.said().split(' ').next()?.parse().ok()
    }
}

pub fn text_of(body: &str, before: &str) -> Option<String> {
    let rest = body.split_once(before)?.1;
    Some(rest.split('"').next()?.to_string())
}

#[derive(Clone, Debug)]
pub struct Reply {
    pub status: u16,
    pub location: String,
    pub body: String,
}

fn read_reply(stream: &mut TcpStream) -> std::io::Result<Reply> {
    let mut reader = BufReader::new(stream);
    let broken = |what: &str| std::io::Error::other(what.to_string());
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(broken("closed without an answer"));
    }
    let status = line.split(' ').nth(1).and_then(|s| s.parse().ok()).ok_or_else(|| broken("no status"))?;
    let (mut length, mut location) = (0, String::new());
    loop {
        let mut line = String::new();
        reader.read_line(&mut line)?;
        let Some((name, value)) = line.trim_end().split_once(':') else { break };
        match name.to_ascii_lowercase().as_str() {
            "content-length" => length = value.trim().parse().map_err(|_| broken("no length"))?,
            "location" => location = value.trim().to_string(),
            _ => {}
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(Reply { status, location, body: String::from_utf8_lossy(&body).into_owned() })
}

/// One request on a connection of its own.
pub fn http(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[&str],
    body: &str,
    wait: Duration,
) -> std::io::Result<Reply> {
    let mut stream = TcpStream::connect_timeout(&to, ms(1000))?;
    stream.set_read_timeout(Some(wait))?;
    let mut text = format!("{method} {path} HTTP/1.1\r\nHost: test\r\nContent-Length: {}\r\n", body.len());
    headers.iter().for_each(|h| text.push_str(&format!("{h}\r\n")));
    text.push_str("\r\n");
    text.push_str(body);
    stream.write_all(text.as_bytes())?;
    read_reply(&mut stream)
}

/// Stand-ins and programs of one case. All are ended when it is dropped.
pub struct Rig {
    pub record: Record,
    pub folder: PathBuf,
    pub hosts: Vec<Host>,
    pub programs: Vec<Program>,
    pub resolver: SocketAddr,
    pub zone: SharedZone,
    run: String,
}

impl Rig {
    pub fn new(record: Record, folder: PathBuf) -> Outcome<Self> {
        let deploy = std::fs::read_to_string("deploy/balancer.toml").map_err(|e| format!("the deploy file: {e}"))?;
        let run = deploy.lines().find_map(|l| l.strip_prefix("run")).and_then(|l| text_of(l, "\""));
        let run = run.ok_or("the deploy file names no run")?;
        let zone = SharedZone::default();
        let resolver = resolver::start(zone.clone());
        Ok(Self { record, folder, hosts: Vec::new(), programs: Vec::new(), resolver, zone, run })
    }

    /// Starts a script host and lists it. `load` is a time in milliseconds or `hold`.
    pub fn host(&mut self, work_ms: u64, load: &str) -> Outcome<()> {
        self.host_that(work_ms, load, "ordered")
    }

    /// The same, with a way to load: `ordered`, `lazy` or `lazy-twice`.
    pub fn host_that(&mut self, work_ms: u64, load: &str, how: &str) -> Outcome<()> {
        let name = format!("h{}", self.hosts.len());
        let port = free_port();
        let program = std::env::current_exe().map_err(|e| e.to_string())?;
        let mut child = Command::new(program)
            .args(["host", &port.to_string(), &work_ms.to_string(), load, how])
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .map_err(|e| format!("a host: {e}"))?;
        let input = child.stdin.take().expect("a pipe");
        let output = child.stdout.take().expect("a pipe");
        let events = Arc::new(Mutex::new(Vec::new()));
        let (told, record, who) = (events.clone(), self.record.clone(), name.clone());
        spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                let mut words = line.splitn(5, ' ');
                let at_us = words.next().and_then(|w| w.parse().ok()).unwrap_or(0);
                let mut word = || words.next().unwrap_or("").to_string();
                let event = Event { at_us, what: word(), id: word(), function: word(), body: word() };
                record.at(
                    at_us,
                    &format!("host {who}: {} {} {} {}", event.what, event.id, event.function, event.body),
                );
                told.lock().unwrap().push(event);
            }
        });
        self.zone.lock().unwrap().instances.push((name.clone(), port));
        self.hosts.push(Host { name, child, input, events });
        let host = self.hosts.last().expect("just pushed");
        wait_for("a host", ms(5000), || !host.events("up").is_empty())
    }

    /// Starts the program with this operator's file.
    pub fn program(&mut self, name: &str, listen: SocketAddr, control: SocketAddr, text: &str) -> Outcome<usize> {
        let file = self.folder.join(format!("{name}.toml"));
        std::fs::write(&file, text).map_err(|e| e.to_string())?;
        let log = File::create(self.folder.join(format!("{name}.log"))).map_err(|e| e.to_string())?;
        let child = Command::new("/bin/sh")
            .args(["-c", &format!("{} {}", self.run, file.display())])
            .env("TMPDIR", &self.folder)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .map_err(|e| format!("{name}: {e}"))?;
        self.record.line(format!("start {name}: clients at {listen}, operators at {control}"));
        STARTED.lock().unwrap().push(child.id());
        self.programs.push(Program { name: name.into(), listen, control, file, child });
        let at = self.programs.len() - 1;
        let program = &self.programs[at];
        wait_for(&format!("{name} at its control address"), ms(8000), || program.ask("/status").is_some())?;
        Ok(at)
    }

    /// Waits until the program takes clients and knows hosts.
    pub fn ready(&self, at: usize) -> Outcome<()> {
        let program = &self.programs[at];
        let yes = |reply: Option<Reply>| reply.is_some_and(|r| r.status == 200);
        wait_for(&format!("{} to be ready", program.name), ms(10_000), || yes(program.ask("/status")))?;
        self.record.line(format!("{} is ready: /status says yes", program.name));
        Ok(())
    }

    /// Lines of a program's log that hold any of these texts, for the record.
    pub fn log_lines(&self, name: &str, parts: &[&str]) {
        let text = std::fs::read_to_string(self.folder.join(format!("{name}.log"))).unwrap_or_default();
        for line in text.lines().filter(|l| parts.iter().any(|part| l.contains(part))) {
            self.record.line(format!("log of {name}: {line}"));
        }
    }

    pub fn logged(&self, name: &str, part: &str) -> bool {
        let text = std::fs::read_to_string(self.folder.join(format!("{name}.log"))).unwrap_or_default();
        text.contains(part)
    }
}

impl Drop for Rig {
    fn drop(&mut self) {
        STARTED.lock().unwrap().clear();
        for program in &mut self.programs {
            let _ = program.child.kill();
            let _ = program.child.wait();
        }
        self.hosts.iter_mut().for_each(Host::kill);
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

pub fn wait_for(what: &str, most: Duration, mut done: impl FnMut() -> bool) -> Outcome<()> {
    let begun = Instant::now();
    while begun.elapsed() < most {
        if done() {
            return Ok(());
        }
        sleep(ms(20));
    }
    Err(format!("waited in vain for {what}"))
}

/// A port that is free for TCP and UDP.
pub fn free_port() -> u16 {
    loop {
        let Ok(listener) = TcpListener::bind("127.0.0.1:0") else { continue };
        let port = listener.local_addr().expect("its address").port();
        if UdpSocket::bind(("127.0.0.1", port)).is_ok() {
            return port;
        }
    }
}

pub fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}
