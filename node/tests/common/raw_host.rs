//! A stand-in script host whose every line the test itself reads and writes, and events of the host list for whose
//! arrival a test can wait.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread::sleep;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use socket2::SockRef;

use super::*;

/// States of a host in an event.
pub const READY: u8 = 0;
pub const DRAINING: u8 = 1;
pub const GONE: u8 = 2;

/// First id of the hosts that serve as markers of events.
const FIRST_MARK: u32 = 0x00ff_0000;

/// An entry of an event: id, address, state, and start time in Unix milliseconds.
pub type Entry = (u32, SocketAddr, u8, u64);

/// An event with the start times of its hosts.
pub fn timed_event(number: u64, whole: bool, entries: &[Entry]) -> Vec<u8> {
    let hosts: Vec<_> = entries.iter().map(|(id, address, state, _)| (*id, *address, *state)).collect();
    let mut bytes = event(number, whole, &hosts);
    const HEAD: usize = 4 + 8 + 1;
    const RECORD: usize = 27;
    const STARTED: usize = 19;
    for (i, (_, _, _, started)) in entries.iter().enumerate() {
        let at = HEAD + i * RECORD + STARTED;
        bytes[at..at + 8].copy_from_slice(&started.to_be_bytes());
    }
    bytes
}

/// The current time in Unix milliseconds.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

/// An event with these changes and an additional draining host as a marker: once the program knows that host, it has
/// applied the event.
pub fn event_with_marker(number: u64, whole: bool, hosts: &[(u32, SocketAddr, u8)]) -> Vec<u8> {
    let nowhere: SocketAddr = ([127, 0, 0, 1], number as u16).into();
    event(number, whole, &[hosts, &[(FIRST_MARK + number as u32, nowhere, DRAINING)]].concat())
}

/// Waits until the program has applied the event of this number, which [`event_with_marker`] made.
pub fn wait_applied(program: &Program, number: u64) {
    wait_for("the event", || program.maintain("exit", FIRST_MARK + number as u32) == 200);
}

/// Sends the program an event with these changes and waits until it has applied them.
pub fn apply_changes(program: &Program, feed: &mut TcpStream, number: u64, hosts: &[(u32, SocketAddr, u8)]) {
    feed.write_all(&event_with_marker(number, false, hosts)).unwrap();
    wait_applied(program, number);
}

/// Starts a platform activator that knows these hosts, with its configuration's text changed by `edit`.
pub fn platform_of(members: &[(u32, SocketAddr)], edit: impl Fn(String) -> String) -> Platform {
    let bus = Bus::start();
    let program = Program::start(&edit(config_with(bus.address, members)), false);
    let (last, feed) = bus.greeted();
    assert_eq!(last, 1);
    send_heartbeats(&feed);
    Platform { program, bus, feed }
}

/// An empty frame of the bus, which says that there is nothing new.
const EMPTY_FRAME: [u8; 13] = [0, 0, 0, 9, 0, 0, 0, 0, 0, 0, 0, 0, 0];

/// Sends empty frames, as the bus does each second, until the connection ends.
pub fn send_heartbeats(feed: &TcpStream) {
    let mut feed = feed.try_clone().unwrap();
    std::thread::spawn(move || {
        while feed.write_all(&EMPTY_FRAME).is_ok() {
            sleep(ms(300));
        }
    });
}

/// A configuration with these hosts.
pub fn config_with(bus: SocketAddr, members: &[(u32, SocketAddr)]) -> String {
    let member = |(id, address): &(u32, SocketAddr)| {
        serde_json::json!({"id": format!("s-{id:08x}"), "host_port": address.to_string(),
            "locality": "z", "flavor": "k", "cell": 0, "phase": "active", "size": 1, "up_since_ms": 0})
    };
    let members: Vec<_> = members.iter().map(member).collect();
    config_of("n0", "127.0.0.1:0", bus, &members)
}

/// Changes a configuration to a long connect timeout and no probes: a connection that the test holds back stays as it
/// is until the test continues.
pub fn long_timeouts(text: String) -> String {
    let limits = [
        ("\"ConnectTimeoutUs\":250000", "\"ConnectTimeoutUs\":60000000"),
        ("\"Probes\":true", "\"Probes\":false"),
    ];
    limits.into_iter().fold(text, |text, (usual, long_timeouts)| {
        assert!(text.contains(usual), "{usual}");
        text.replace(usual, long_timeouts)
    })
}

/// A command from the program.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// A call, with its time limit in milliseconds.
    Call {
        id: String,
        limit: u64,
        body: String,
    },
    Kill {
        id: String,
    },
    Order {
        tag: String,
    },
    Probe {
        tag: String,
    },
    Other(String),
}

/// A host that accepts connections, reads and answers only when the test does so.
pub struct RawHost {
    pub address: SocketAddr,
    listener: TcpListener,
    /// Connections of the test's own that fill the backlog.
    fill: Vec<TcpStream>,
}

impl RawHost {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        Self { address, listener, fill: Vec::new() }
    }

    /// Accepts the next connection.
    pub fn accept(&self) -> HostConn {
        self.accept_within(LONG).expect("a connection")
    }

    /// Accepts the next connection, if one arrives within that time.
    pub fn accept_within(&self, time: Duration) -> Option<HostConn> {
        self.listener.set_nonblocking(true).unwrap();
        let begun = Instant::now();
        loop {
            match self.listener.accept() {
                Ok((stream, from)) if !self.is_own(from) => return Some(HostConn::new(stream)),
                Ok(_) => {}
                Err(_) if begun.elapsed() > time => return None,
                Err(_) => sleep(ms(2)),
            }
        }
    }

    fn is_own(&self, from: SocketAddr) -> bool {
        self.fill.iter().any(|s| s.local_addr().is_ok_and(|own| own == from))
    }

    /// From now on connection attempts neither succeed nor fail: the backlog is made as short as possible and filled.
    pub fn block_connects(&mut self) {
        SockRef::from(&self.listener).listen(0).unwrap();
        let more = (0..3).map_while(|_| TcpStream::connect_timeout(&self.address, ms(100)).ok());
        self.fill.extend(more);
    }

    /// Accepts all connections, until none has arrived for longer than the retransmission timeout of a lost SYN.
    pub fn accept_all(&self) -> Vec<HostConn> {
        SockRef::from(&self.listener).listen(128).unwrap();
        std::iter::from_fn(|| self.accept_within(ms(1_500))).collect()
    }
}

/// A connection to a [`RawHost`].
pub struct HostConn {
    lines: BufReader<TcpStream>,
}

impl HostConn {
    fn new(stream: TcpStream) -> Self {
        stream.set_nonblocking(false).unwrap();
        stream.set_nodelay(true).unwrap();
        stream.set_read_timeout(Some(LONG)).unwrap();
        Self { lines: BufReader::new(stream) }
    }

    /// The next command; `None` once the connection has ended, possibly within a command.
    pub fn next(&mut self) -> Option<Command> {
        let mut line = String::new();
        match self.lines.read_line(&mut line) {
            Ok(n) if n > 0 && line.ends_with("\r\n") => {}
            Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => panic!("no command arrived in time"),
            _ => return None,
        }
        let words: Vec<&str> = line.trim_end().split(' ').collect();
        Some(match words[0] {
            "FN" => {
                let mut body = vec![0; words[3].parse::<usize>().unwrap() + 2];
                self.lines.read_exact(&mut body).ok()?;
                body.truncate(body.len() - 2);
                let limit = words[2].split(',').find_map(|f| f.strip_prefix("limit=")?.parse().ok());
                let body = String::from_utf8_lossy(&body).into();
                Command::Call { id: words[1].into(), limit: limit.expect("a limit"), body }
            }
            "KILL" => Command::Kill { id: words[1].into() },
            "SPAWN" => Command::Order { tag: words[1].into() },
            "HELO" => Command::Probe { tag: words[1].into() },
            _ => Command::Other(line.trim_end().into()),
        })
    }

    /// The id of the next command, which must be a call.
    pub fn call(&mut self) -> String {
        match self.next() {
            Some(Command::Call { id, .. }) => id,
            other => panic!("no call: {other:?}"),
        }
    }

    /// All further commands until the connection ends.
    pub fn rest(&mut self) -> Vec<Command> {
        std::iter::from_fn(|| self.next()).collect()
    }

    /// Sends these bytes.
    pub fn say(&mut self, bytes: &str) {
        self.lines.get_mut().write_all(bytes.as_bytes()).unwrap();
    }

    /// Answers a call or an order with this status and no body.
    pub fn answer(&mut self, tag: &str, status: &str, fields: &str) {
        self.say(&format!("{tag} {status} {fields} 0\r\n\r\n"));
    }

    /// Ends the sending side, and still reads.
    pub fn half_close(&self) {
        self.lines.get_ref().shutdown(std::net::Shutdown::Write).unwrap();
    }

    /// Ends both sides without a reset.
    pub fn close(&self) {
        self.lines.get_ref().shutdown(std::net::Shutdown::Both).unwrap();
    }

    /// Closes the connection with a reset.
    pub fn reset(self) {
        SockRef::from(self.lines.get_ref()).set_linger(Some(Duration::ZERO)).unwrap();
    }
}

/// The TCP state SYN_SENT in `/proc/net/tcp`.
const SYN_SENT: &str = "02";

/// The TCP sockets in `/proc/net/tcp`: local port, remote port, state, and bytes that wait to be read.
fn sockets() -> Vec<(u16, u16, String, u64)> {
    let port = |address: &str| address.rsplit(':').next().and_then(|p| u16::from_str_radix(p, 16).ok());
    let row = |line: &str| {
        let words: Vec<&str> = line.split_whitespace().collect();
        let unread = words.get(4)?.split(':').nth(1)?;
        Some((port(words[1])?, port(words[2])?, words[3].to_string(), u64::from_str_radix(unread, 16).ok()?))
    };
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    table.lines().skip(1).filter_map(row).collect()
}

impl RawHost {
    /// Whether a connection attempt of the program is waiting.
    pub fn has_pending_connect(&self) -> bool {
        let own: Vec<u16> = self.fill.iter().map(|s| s.local_addr().unwrap().port()).collect();
        let knocks = |(from, to, state, _): &(u16, u16, String, u64)| {
            *to == self.address.port() && state == SYN_SENT && !own.contains(from)
        };
        sockets().iter().any(knocks)
    }
}

/// Bytes sent on this connection that have reached the peer's socket and were not read.
pub fn unread(stream: &TcpStream) -> u64 {
    let (here, there) = (stream.local_addr().unwrap().port(), stream.peer_addr().unwrap().port());
    let is_other_end = |(own, other, ..): &&(u16, u16, String, u64)| (*own, *other) == (there, here);
    sockets().iter().find(is_other_end).map_or(0, |(.., unread)| *unread)
}

impl HostConn {
    /// Bytes sent that the program has not read.
    pub fn unread(&self) -> u64 {
        unread(self.lines.get_ref())
    }
}
