//! A stand-in for the resolver that tells which hosts there are, and the operator's file that names it.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread::spawn;

use hickory_proto::op::{Message, ResponseCode};
use hickory_proto::rr::rdata::{A, PTR, SRV, TXT};
use hickory_proto::rr::{Name, RData, Record, RecordType};

use crate::host::Host;
use crate::http::request;
use crate::program::Program;
use crate::wait_for;

/// What the resolver says.
#[derive(Default)]
pub struct Zone {
    /// Instances: label, port, TXT.
    pub instances: Vec<(String, u16, Vec<String>)>,
    /// Seconds that an answer holds.
    pub ttl: u32,
    /// Answers with a failure.
    pub fails: bool,
    /// Answers do not fit into a datagram.
    pub cuts: bool,
    /// Questions so far.
    pub queries: u32,
}

/// A DNS resolver on loopback, by UDP and TCP.
pub struct Resolver {
    /// Where it listens.
    pub address: SocketAddr,
    /// What it says from now on.
    pub zone: Arc<Mutex<Zone>>,
}

const SERVICE: &str = "_script-host._tcp.hosts.test.";

impl Resolver {
    /// Tells of these hosts.
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
    let text = include_str!("../../../deploy/invoke.toml");
    text.replace("127.0.0.1:8480", "127.0.0.1:0")
        .replace("127.0.0.1:8481", "127.0.0.1:0")
        .replace("127.0.0.1:5353", &resolver.to_string())
}

/// The program with its invoke front before these hosts, once it knows them.
pub fn operator(path: &Path, hosts: &[&Host], edit: impl Fn(String) -> String) -> (Program, Resolver) {
    let resolver = Resolver::start(hosts);
    let program = Program::start(path, &edit(operator_file(resolver.address)), true);
    wait_for("hosts", || program.http(&request("GET", "/healthz", &[], "")).status == 200);
    (program, resolver)
}
