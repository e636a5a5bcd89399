//! A stand-in for a site: hosts that share a cache of blocks, and a draft model with a given acceptance.
//!
//! From published terms: a block is found if all before it are; what was not found is computed and held from then on; the
//! one that was used the longest ago makes room. Of a round of drafting each token is accepted with its chance while all
//! before it were, and the round gives one token more than it accepts.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use crate::history::{History, Saw};
use crate::scenario::Sites;

/// Useful tokens of one answer.
const TOKENS: u64 = 32;
/// Microseconds of one round without drafting, and what each drafted token adds to it.
const ROUND_US: u64 = 60;
const DRAFTED_US: u64 = 6;
/// Keys of repeats that a site remembers at the most.
const MOST_KEYS: usize = 100_000;
/// The longest body that is taken, in bytes.
const LONGEST_BODY: usize = 1 << 20;

/// Blocks by when they were last used.
struct Cache {
    room: usize,
    used: HashMap<u64, u64>,
    order: BTreeMap<u64, u64>,
    tick: u64,
}

impl Cache {
    fn new(room: usize) -> Self {
        Self { room, used: HashMap::new(), order: BTreeMap::new(), tick: 0 }
    }

    /// How many of these are found, the first ones; all of them are held from then on.
    fn take(&mut self, blocks: &[u64]) -> u64 {
        let found = blocks.iter().take_while(|b| self.used.contains_key(b)).count();
        for block in blocks {
            self.tick += 1;
            if let Some(before) = self.used.insert(*block, self.tick) {
                self.order.remove(&before);
            }
            self.order.insert(self.tick, *block);
            if self.used.len() > self.room {
                let (_, oldest) = self.order.pop_first().expect("as many as are held");
                self.used.remove(&oldest);
            }
        }
        found as u64
    }

    fn clear(&mut self) {
        *self = Self::new(self.room);
    }
}

/// What hosts served of drafts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Drafted {
    /// Rounds.
    pub rounds: u64,
    /// Useful tokens.
    pub tokens: u64,
}

/// What all sites of a run share.
pub struct Model {
    /// The chance of each position.
    pub acceptance: Mutex<Vec<f64>>,
    /// The activator that is told made-up counts, and of how many rounds.
    pub forged: Mutex<Option<(usize, u64)>>,
    /// What was truly served.
    pub drafted: Mutex<Drafted>,
    rng: Mutex<fastrand::Rng>,
}

impl Model {
    /// With this acceptance.
    pub fn new(acceptance: &[f64], seed: u64) -> Self {
        let rng = Mutex::new(fastrand::Rng::with_seed(seed));
        Self {
            acceptance: Mutex::new(acceptance.to_vec()),
            forged: Mutex::default(),
            drafted: Mutex::default(),
            rng,
        }
    }

    /// Runs drafts of this length until an answer is whole: the value of `accepted=`, and the time it takes.
    fn run(&self, length: usize) -> (Vec<u64>, Duration) {
        let chances = self.acceptance.lock().unwrap().clone();
        let mut rng = self.rng.lock().unwrap();
        let (mut rounds, mut tokens, mut accepted) = (0, 0, vec![0; length]);
        while tokens < TOKENS {
            rounds += 1;
            tokens += 1;
            for (position, count) in accepted.iter_mut().enumerate() {
                let chance = chances.get(position).or(chances.last()).copied().unwrap_or(0.0);
                if rng.f64() >= chance {
                    break;
                }
                *count += 1;
                tokens += 1;
            }
        }
        let micros = rounds * (ROUND_US + DRAFTED_US * length as u64);
        let mut drafted = self.drafted.lock().unwrap();
        drafted.rounds += rounds;
        drafted.tokens += tokens;
        let figures = [vec![rounds], accepted, vec![tokens, micros]].concat();
        (figures, Duration::from_micros(micros))
    }
}

/// Keys of repeats: when each came, and the order in which they came.
type Keys = (HashMap<String, Instant>, VecDeque<(Instant, String)>);

struct Shared {
    site: usize,
    sites: Sites,
    window: Duration,
    cache: Mutex<Cache>,
    keys: Mutex<Keys>,
    model: Arc<Model>,
    history: Arc<History>,
    over: AtomicBool,
}

/// A site.
pub struct Site {
    /// Where its hosts listen.
    pub hosts: Vec<SocketAddr>,
    shared: Arc<Shared>,
}

impl Site {
    /// The `site`-th, whose hosts drop repeats of a key for this long.
    ///
    /// # Errors
    /// When no socket is to be had.
    pub fn start(
        site: usize,
        sites: &Sites,
        window: Duration,
        model: Arc<Model>,
        history: Arc<History>,
    ) -> std::io::Result<Self> {
        let cache = Mutex::new(Cache::new(sites.blocks));
        let (keys, over) = (Mutex::default(), AtomicBool::new(false));
        let shared =
            Arc::new(Shared { site, sites: sites.clone(), window, cache, keys, model, history, over });
        let mut hosts = Vec::new();
        for host in 0..sites.hosts {
            let listener = TcpListener::bind("127.0.0.1:0")?;
            hosts.push(listener.local_addr()?);
            let shared = shared.clone();
            spawn(move || {
                for stream in listener.incoming().map_while(Result::ok) {
                    if shared.over.load(Relaxed) {
                        return;
                    }
                    let shared = shared.clone();
                    spawn(move || {
                        if let Err(said) = shared.serve(host, &stream) {
                            let said = format!("site {} host {host}: {said}", shared.site);
                            shared.history.saw(Saw::Trouble { said });
                        }
                    });
                }
            });
        }
        Ok(Self { hosts, shared })
    }

    /// Forgets all blocks.
    pub fn forget(&self) {
        self.shared.cache.lock().unwrap().clear();
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        self.shared.over.store(true, Relaxed);
        // Wakes those that wait for a connection.
        self.hosts.iter().for_each(|host| drop(TcpStream::connect(host)));
    }
}

/// The activator whose relay a connection comes from; each has a source address of its own.
pub fn source(activator: usize) -> [u8; 4] {
    [127, 0, 1, activator as u8 + 1]
}

fn whose(from: SocketAddr) -> Option<usize> {
    match from.ip() {
        IpAddr::V4(ip) if ip.octets()[..3] == [127, 0, 1] => {
            Some(usize::from(ip.octets()[3]).checked_sub(1)?)
        }
        _ => None,
    }
}

impl Shared {
    /// Whether this key came within the window before.
    fn repeated(&self, key: &str) -> bool {
        let now = Instant::now();
        let mut keys = self.keys.lock().unwrap();
        let (held, order) = &mut *keys;
        while order.front().is_some_and(|(at, _)| now - *at > self.window || order.len() > MOST_KEYS) {
            let (at, old) = order.pop_front().expect("it is there");
            if held.get(&old) == Some(&at) {
                held.remove(&old);
            }
        }
        if held.contains_key(key) {
            return true;
        }
        held.insert(key.to_string(), now);
        order.push_back((now, key.to_string()));
        false
    }

    fn serve(self: &Arc<Self>, host: usize, stream: &TcpStream) -> Result<(), String> {
        let from = stream.peer_addr().ok().and_then(whose);
        let out = Arc::new(Mutex::new(stream.try_clone().map_err(|e| e.to_string())?));
        let answer = |out: &Mutex<TcpStream>, tag: &str, word: &str, fields: &str, body: &[u8]| {
            let line = format!("{tag} {word} {fields} {}\r\n", body.len());
            let _ = out.lock().unwrap().write_all(&[line.as_bytes(), body, b"\r\n"].concat());
        };
        let mut lines = BufReader::new(stream);
        loop {
            let mut line = String::new();
            match lines.read_line(&mut line) {
                // Connections end and are broken off; half a line is then nothing to complain about.
                Ok(0) | Err(_) => return Ok(()),
                Ok(_) if !line.ends_with("\r\n") => return Ok(()),
                Ok(_) => {}
            }
            let words: Vec<&str> = line.trim_end().split(' ').collect();
            let field = |name: &str| {
                let pairs = words.get(2)?.split(',').filter_map(|f| f.split_once('='));
                pairs.filter(|(n, _)| *n == name).map(|(_, v)| v.to_string()).next()
            };
            match words[..] {
                ["FN", tag, _, length] => {
                    let length: usize = length.parse().map_err(|e| format!("{line:?}: {e}"))?;
                    if length > LONGEST_BODY {
                        return Err(format!("{line:?}: too long"));
                    }
                    let mut body = vec![0; length + 2];
                    if lines.read_exact(&mut body).is_err() {
                        return Ok(());
                    }
                    body.truncate(length);
                    let text = String::from_utf8_lossy(&body);
                    let id = text.strip_prefix("call-").and_then(|n| n.parse().ok());
                    let id = id.ok_or_else(|| format!("{text:?} is no call of the lab's"))?;
                    let mut blocks = Vec::new();
                    for block in field("blocks").iter().flat_map(|b| b.split(';')) {
                        blocks.push(u64::from_str_radix(block, 16).map_err(|e| format!("{block:?}: {e}"))?);
                    }
                    let repeat = field("nonce").is_some_and(|key| self.repeated(&key));
                    let found = if repeat { 0 } else { self.cache.lock().unwrap().take(&blocks) };
                    let (site, blocks) = (self.site, blocks.len() as u64);
                    self.history.saw(Saw::Came { id, site, host, repeat, blocks, found });
                    let drafted = match field("draft") {
                        Some(draft) if !repeat => {
                            let parts =
                                draft.split_once(':').and_then(|(d, l)| Some((d, l.parse::<usize>().ok()?)));
                            let (drafter, length) = parts.ok_or_else(|| format!("{draft:?} is no draft"))?;
                            if length > 8 {
                                return Err(format!("{draft:?} is longer than 8"));
                            }
                            Some(self.model.run(if drafter == "0" { 0 } else { length }))
                        }
                        _ => None,
                    };
                    let mut fields = "tell=warm,queue_fn=0".to_string();
                    if blocks > 0 {
                        fields += &format!(",found={found}");
                    }
                    let mut work =
                        Duration::from_micros(self.sites.work_us + self.sites.block_us * (blocks - found));
                    if let Some((mut figures, time)) = drafted {
                        work += time;
                        let forged = *self.model.forged.lock().unwrap();
                        if let Some((_, rounds)) = forged.filter(|(to, _)| from == Some(*to)) {
                            // All positions accepted in all rounds, as fast as if nothing were drafted.
                            let last = figures.len() - 2;
                            figures[..last].fill(rounds);
                            figures[last] = rounds * last as u64;
                            figures[last + 1] = rounds * ROUND_US;
                        }
                        let figures: Vec<_> = figures.iter().map(u64::to_string).collect();
                        fields += &format!(",accepted={}", figures.join(";"));
                    }
                    let (out, tag) = (out.clone(), tag.to_string());
                    spawn(move || {
                        if !repeat {
                            sleep(work);
                        }
                        answer(&out, &tag, "200", &fields, b"done");
                    });
                }
                ["KILL" | "REAP", ..] => {}
                ["SPAWN", tag, ..] => answer(&out, tag, "200", "copies=1", b""),
                ["HELO", tag, ..] => answer(&out, tag, "alive", "-", b""),
                _ => return Err(format!("a host cannot read {line:?}")),
            }
        }
    }
}

#[cfg(test)]
mod tests;
