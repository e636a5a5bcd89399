//! A stand-in for the platform: its bus, its configuration, and the frames of its clients.

use std::io::Read;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver};
use std::thread::{sleep, spawn};
use std::time::Duration;

use crate::host::Host;
use crate::http::first_byte;
use crate::{ms, LONG};

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

pub(crate) fn frame(number: u64, kind: u8, payload: &[u8]) -> Vec<u8> {
    let length = (9 + payload.len()) as u32;
    [&length.to_be_bytes()[..], &number.to_be_bytes(), &[kind], payload].concat()
}

/// The bus on loopback, which tells each activator of hosts.
pub struct Bus {
    /// Where it listens.
    pub address: SocketAddr,
    greetings: Receiver<(u64, TcpStream)>,
}

impl Bus {
    /// Listens.
    pub fn start() -> Self {
        Self::on(TcpListener::bind("127.0.0.1:0").unwrap())
    }

    /// Listens there.
    pub fn on(listener: TcpListener) -> Self {
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
    config_of("n0", "127.0.0.1:0", bus, &members)
}

/// The same of these members, with this name and an address to listen at.
pub fn config_of(name: &str, listen: &str, bus: SocketAddr, members: &[serde_json::Value]) -> String {
    let profile = |name: &str, effect: &str| {
        serde_json::json!({"Name": name, "Effect": effect, "AimUs": 1500000,
        "GiveUpUs": 4000000, "Importance": 3.0, "LateWorth": 0.2, "DedupScope": "cell", "WindowUs": 8000000})
    };
    serde_json::json!({"name": name, "listen": listen, "control": "127.0.0.1:0", "seed": "8c1f30d27a5be964",
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
    request_frame(stream, &fields, body)
}

/// A request of these fields and this body.
pub fn request_frame(stream: u32, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
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
    /// Its type.
    pub kind: u8,
    /// The stream that it is of.
    pub stream: u32,
    /// How the call ended.
    pub code: u8,
    /// Names and values.
    pub fields: Vec<(String, String)>,
    /// What comes last.
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
    /// Where it seems to listen.
    pub address: SocketAddr,
    listener: TcpListener,
    fill: Vec<TcpStream>,
}

impl Stuck {
    /// Listens, and fills its own backlog.
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
