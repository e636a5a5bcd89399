//! Calls at a given rate: each is sent at its time, whether those before it were answered or not.
//!
//! The generator is open and bounded: what finds every worker of an activator busy and its queue full is not sent, and
//! that is counted in the history, so that a lab that can't keep up never looks like a fleet that can.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender, TrySendError};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn, JoinHandle};
use std::time::{Duration, Instant};

use crate::history::{History, Saw};
use crate::scenario::Calls;

/// Calls of one activator that are out at a time.
const WORKERS: usize = 24;
/// Calls of one activator that wait for a worker.
const QUEUE: usize = 48;
/// Longer than any class gives up after (5 s), by what an answer may take besides on a busy machine.
const PATIENCE: Duration = Duration::from_secs(9);
/// Scripts that calls are for.
const FUNCTIONS: u64 = 8;
/// Blocks of a turn at the most; the conversation ends with it.
const LONGEST: usize = 64;
/// Blocks that all conversations of a family begin with, and families.
const PREAMBLE: u64 = 4;
const FAMILIES: u64 = 4;

/// Classes: safe, keyed, unsafe, as the activators' files name them.
pub const CLASSES: [&str; 3] = ["check-score", "save-answers", "send-mail"];

struct Job {
    id: u64,
    class: usize,
    function: u64,
    turn: Option<String>,
}

/// Where each activator serves now, if it runs.
pub type Fronts = Arc<Vec<Mutex<Option<SocketAddr>>>>;

/// A conversation: its name, and the hashes of its prefix up to here.
struct Conversation {
    name: u64,
    blocks: Vec<u64>,
}

impl Conversation {
    fn new(rng: &mut fastrand::Rng) -> Self {
        let family = rng.u64(..FAMILIES);
        let blocks = (0..PREAMBLE).map(|k| 0x5eed_0000 + family * 0x100 + k).collect();
        Self { name: rng.u64(1..), blocks }
    }

    /// The next turn, as its header.
    fn turn(&mut self, rng: &mut fastrand::Rng) -> String {
        let new = rng.usize(1..=4);
        self.blocks.extend((0..new).map(|_| rng.u64(1 << 32..)));
        self.blocks.truncate(LONGEST);
        let hashes: Vec<_> = self.blocks.iter().map(|b| format!("{b:x}")).collect();
        format!("{:x};{new};{}", self.name, hashes.join(","))
    }
}

/// Calls that are being sent.
pub struct Load {
    over: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Load {
    /// Sends calls to these activators until it is ended.
    pub fn start(calls: &Calls, fronts: Fronts, seed: u64, history: Arc<History>) -> Self {
        let over = Arc::new(AtomicBool::new(false));
        let mut threads = Vec::new();
        let mut queues = Vec::new();
        for to in 0..fronts.len() {
            let (queue, jobs) = sync_channel::<Job>(QUEUE);
            let jobs = Arc::new(Mutex::new(jobs));
            queues.push(queue);
            for _ in 0..WORKERS {
                let (jobs, fronts, history) = (jobs.clone(), fronts.clone(), history.clone());
                threads.push(spawn(move || work(to, &jobs, &fronts, &history)));
            }
        }
        let (calls, stop) = (calls.clone(), over.clone());
        threads.push(spawn(move || pace(&calls, &fronts, queues, seed, &stop, &history)));
        Self { over, threads }
    }

    /// Sends no more, and waits for what is out.
    pub fn end(self) {
        self.over.store(true, Relaxed);
        for thread in self.threads {
            // A worker that broke down leaves its call without an answer, which the checkers see.
            let _ = thread.join();
        }
    }
}

fn pace(
    calls: &Calls,
    fronts: &Fronts,
    queues: Vec<SyncSender<Job>>,
    seed: u64,
    over: &AtomicBool,
    history: &History,
) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut talk: Vec<_> = (0..calls.conversations).map(|_| Conversation::new(&mut rng)).collect();
    let (begun, mut due, mut id, shed) = (Instant::now(), Duration::ZERO, 0, AtomicU64::new(0));
    let mut told = 0;
    while !over.load(Relaxed) {
        // Times between calls as of many clients that know nothing of each other.
        due += Duration::from_secs_f64(-(1.0 - rng.f64()).ln() / calls.per_s);
        sleep(due.saturating_sub(begun.elapsed()));
        let lot = rng.f64();
        let class = match lot {
            l if l < calls.keyed => 1,
            l if l < calls.keyed + calls.unsafe_ => 2,
            _ => 0,
        };
        let turn = (!talk.is_empty()).then(|| {
            let conversation = &mut talk[rng.usize(..calls.conversations)];
            if conversation.blocks.len() >= LONGEST {
                *conversation = Conversation::new(&mut rng);
            }
            conversation.turn(&mut rng)
        });
        id += 1;
        let first = rng.usize(..queues.len());
        let there = (0..queues.len()).map(|k| (first + k) % queues.len());
        let to = there.into_iter().find(|k| fronts[*k].lock().unwrap().is_some());
        let job = Job { id, class, function: rng.u64(..FUNCTIONS), turn };
        let sent = to.map(|to| queues[to].try_send(job));
        if matches!(sent, None | Some(Err(TrySendError::Full(_)))) {
            shed.fetch_add(1, Relaxed);
        }
        let second = begun.elapsed().as_secs();
        if second > told {
            told = second;
            let calls = shed.swap(0, Relaxed);
            if calls > 0 {
                history.saw(Saw::Shed { calls });
            }
        }
    }
}

fn work(to: usize, jobs: &Mutex<Receiver<Job>>, fronts: &Fronts, history: &History) {
    let config = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(PATIENCE))
        .max_idle_connections(1)
        .max_idle_connections_per_host(1)
        .proxy(None)
        .build();
    let agent: ureq::Agent = config.into();
    loop {
        let Ok(Job { id, class, function, turn }) = jobs.lock().unwrap().recv() else { return };
        let Some(front) = *fronts[to].lock().unwrap() else {
            history.saw(Saw::Shed { calls: 1 });
            continue;
        };
        let url = format!("http://{front}/v1/functions/f{function}/calls");
        let mut request = agent.post(&url).header("Wheellink-Class", CLASSES[class]);
        if class == 1 {
            request = request.header("Idempotency-Key", format!("key-{id}"));
        }
        if let Some(turn) = turn {
            request = request.header("Wheellink-Turn", turn);
        }
        history.saw(Saw::Sent { id, to, class: CLASSES[class].into() });
        let answered = request.send(format!("call-{id}")).and_then(|mut answer| {
            let found = answer.headers().get("wheellink-found").and_then(|f| f.to_str().ok()?.parse().ok());
            answer.body_mut().read_to_vec()?;
            Ok((answer.status().as_u16(), found))
        });
        history.saw(match answered {
            Ok((status, found)) => Saw::Answered { id, status, found },
            Err(why) => Saw::Broken { id, why: why.to_string() },
        });
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn turns_grow_and_end_and_families_share_their_beginning() {
        let mut rng = fastrand::Rng::with_seed(11);
        let mut conversation = Conversation::new(&mut rng);
        let mut before = conversation.blocks.clone();
        while conversation.blocks.len() < LONGEST {
            let header = conversation.turn(&mut rng);
            assert!(conversation.blocks.starts_with(&before) && conversation.blocks.len() > before.len());
            let parts: Vec<_> = header.split(';').collect();
            assert_eq!(parts[2].split(',').count(), conversation.blocks.len());
            assert!(parts[2].split(',').all(|h| h.len() <= 16));
            before = conversation.blocks.clone();
        }
        assert_eq!(conversation.blocks.len(), LONGEST);
        let begins: std::collections::BTreeSet<_> =
            (0..100).map(|_| Conversation::new(&mut rng).blocks).collect();
        assert_eq!(begins.len() as u64, FAMILIES);
    }

    #[test]
    fn what_has_no_room_is_counted_and_not_kept() {
        let path = std::env::temp_dir().join(format!("wheellink-load-{}", std::process::id()));
        let history = Arc::new(History::create(&path).unwrap());
        let fronts: Fronts = Arc::new(vec![Mutex::new(None)]);
        let calls = Calls { per_s: 2_000.0, keyed: 0.2, unsafe_: 0.2, conversations: 0 };
        let load = Load::start(&calls, fronts, 3, history.clone());
        sleep(Duration::from_millis(1_300));
        load.end();
        history.flush().unwrap();
        let lines = crate::history::read(&path).unwrap();
        assert!(lines.iter().any(|l| matches!(l.saw, Saw::Shed { calls } if calls > 0)));
        assert!(!lines.iter().any(|l| matches!(l.saw, Saw::Sent { .. })), "nobody was there to be sent to");
        std::fs::remove_file(path).unwrap();
    }
}
