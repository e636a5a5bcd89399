//! A stand-in for a script host, with ways to behave that may be changed while it runs.

use std::collections::{BTreeMap, BTreeSet};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use crate::{ms, wait_for};

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
    /// What it does with a call.
    pub does: Does,
    /// How long a run takes.
    pub work: Duration,
    /// Loads begun by SPAWN take so long; `None`: every script stands loaded.
    pub load: Option<Duration>,
}

/// What a host has seen.
#[derive(Default)]
pub struct Seen {
    /// FN lines as they came, with their bodies.
    pub calls: Vec<(String, Vec<u8>)>,
    /// Runs begun, by the body of the call.
    pub runs: BTreeMap<String, u32>,
    /// Ids of calls that it was told to drop.
    pub kills: Vec<String>,
    /// SPAWN lines.
    pub orders: Vec<String>,
    /// Questions whether it is there.
    pub probes: usize,
    /// When the last call came.
    pub last: Option<Instant>,
    /// Scripts that it holds.
    pub loaded: BTreeSet<String>,
    /// Scripts whose load has begun.
    pub loading: BTreeSet<String>,
    connections: Vec<TcpStream>,
}

/// A script host on loopback.
pub struct Host {
    /// Where it listens.
    pub address: SocketAddr,
    /// How it behaves from now on.
    pub ways: Arc<Mutex<Ways>>,
    /// What it has seen.
    pub seen: Arc<Mutex<Seen>>,
}

impl Host {
    /// Listens, and behaves like this.
    pub fn start(ways: Ways) -> Self {
        Self::on(TcpListener::bind("127.0.0.1:0").unwrap(), ways)
    }

    /// Behaves like this at this listener's address.
    pub fn on(listener: TcpListener, ways: Ways) -> Self {
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

    /// Calls that came.
    pub fn calls(&self) -> usize {
        self.seen.lock().unwrap().calls.len()
    }

    /// Ends all connections to it.
    pub fn hang_up(&self) {
        let seen = self.seen.lock().unwrap();
        seen.connections.iter().for_each(|stream| drop(stream.shutdown(std::net::Shutdown::Both)));
    }

    /// Connections that were ever made to it.
    pub fn connections(&self) -> usize {
        self.seen.lock().unwrap().connections.len()
    }

    /// Calls that it was told to drop.
    pub fn kills(&self) -> usize {
        self.seen.lock().unwrap().kills.len()
    }

    /// Runs of calls with this body.
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

/// A host that sends answers to nobody at full speed on each connection, whatever it is asked. Returns its address.
pub fn noisy_host() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    spawn(move || {
        for mut stream in listener.incoming().map_while(Result::ok) {
            let mut commands = stream.try_clone().unwrap();
            spawn(move || while commands.read(&mut [0; 4096]).is_ok_and(|n| n > 0) {});
            let noise = "0000000000000000 200 - 0\r\n\r\n".repeat(1000);
            spawn(move || while stream.write_all(noise.as_bytes()).is_ok() {});
        }
    });
    address
}

/// A host with small buffers that reads so many bytes each 10 ms and never answers. Returns its address.
pub fn slow_reader(bytes: usize) -> SocketAddr {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(2048).unwrap();
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
    socket.listen(128).unwrap();
    let listener: TcpListener = socket.into();
    let address = listener.local_addr().unwrap();
    spawn(move || {
        for mut stream in listener.incoming().map_while(Result::ok) {
            spawn(move || {
                let mut part = vec![0; bytes];
                while stream.read(&mut part).is_ok_and(|n| n > 0) {
                    sleep(ms(10));
                }
            });
        }
    });
    address
}
