//! A stand-in for a DNS resolver on loopback, by UDP: the instances of one service (RFC 6763), all at 127.0.0.1.

use std::net::{SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex};
use std::thread::spawn;

pub const SERVICE: &str = "_script-host._tcp.hosts.test";
const TARGET: &str = "box.hosts.test";
const TTL_SECS: u32 = 2;

/// What the resolver tells.
#[derive(Default)]
pub struct Zone {
    /// Labels and ports of the instances.
    pub instances: Vec<(String, u16)>,
    /// It answers nothing.
    pub silent: bool,
}

pub type SharedZone = Arc<Mutex<Zone>>;

pub fn start(zone: SharedZone) -> SocketAddr {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a port for the resolver");
    let address = socket.local_addr().expect("its address");
    spawn(move || {
        let mut buf = [0; 2048];
        while let Ok((n, from)) = socket.recv_from(&mut buf) {
            let zone = zone.lock().unwrap();
            if let Some(reply) = answer(&buf[..n], &zone.instances).filter(|_| !zone.silent) {
                let _ = socket.send_to(&reply, from);
            }
        }
    });
    address
}

fn name(text: &str) -> Vec<u8> {
    let mut out = Vec::new();
    for label in text.split('.').filter(|l| !l.is_empty()) {
        out.push(label.len() as u8);
        out.extend(label.as_bytes());
    }
    out.push(0);
    out
}

fn answer(query: &[u8], instances: &[(String, u16)]) -> Option<Vec<u8>> {
    let (mut at, mut labels) = (12, Vec::new());
    loop {
        let size = usize::from(*query.get(at)?);
        at += 1;
        if size == 0 {
            break;
        }
        labels.push(String::from_utf8_lossy(query.get(at..at + size)?).to_lowercase());
        at += size;
    }
    let asked = labels.join(".");
    let kind = u16::from_be_bytes([*query.get(at)?, *query.get(at + 1)?]);
    let question = query.get(12..at + 4)?;
    let full = |label: &str| format!("{label}.{SERVICE}");
    let own = instances.iter().find(|(label, _)| full(label) == asked);
    let records: Vec<Vec<u8>> = match (kind, own) {
        (12, _) if asked == SERVICE => instances.iter().map(|(label, _)| name(&full(label))).collect(),
        (33, Some((_, port))) => {
            vec![[&[0, 0, 0, 0][..], &port.to_be_bytes(), &name(TARGET)].concat()]
        }
        (16, Some(_)) => vec![b"\x06cell=0".to_vec()],
        (1, _) if asked == TARGET => vec![vec![127, 0, 0, 1]],
        _ => Vec::new(),
    };
    let code: u16 = if records.is_empty() { 0x8183 } else { 0x8180 };
    let mut out = query[..2].to_vec();
    for n in [code, 1, records.len() as u16, 0, 0] {
        out.extend(n.to_be_bytes());
    }
    out.extend(question);
    for data in records {
        out.extend(name(&asked));
        out.extend(kind.to_be_bytes());
        out.extend(1u16.to_be_bytes());
        out.extend(TTL_SECS.to_be_bytes());
        out.extend((data.len() as u16).to_be_bytes());
        out.extend(data);
    }
    Some(out)
}
