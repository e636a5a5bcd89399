//! An old version and a candidate of a rollout, and a client that records the answers to its calls.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::TcpStream;

use serde_json::{json, Value};

use super::*;

pub const CLASSES: [&str; 3] = ["check-score", "save-answers", "send-mail"];

/// Returns the configuration `text` with these values replaced. The path of a value is its keys, separated by `/`.
pub fn edited(text: &str, edits: &[(&str, Value)]) -> String {
    let mut value: Value = serde_json::from_str(text).unwrap();
    for (path, new) in edits {
        *path.split('/').fold(&mut value, |v, key| match key.parse::<usize>() {
            Ok(i) => &mut v[i],
            Err(_) => &mut v[key],
        }) = new.clone();
    }
    value.to_string()
}

/// A rollout plan with these percentages as steps.
pub fn plan(steps: &[f64]) -> String {
    // Steps last 10 minutes at least, so that none ends by itself during a test.
    let steps: Vec<_> = steps.iter().map(|p| json!({"percent": p, "least_ms": 600_000})).collect();
    json!({"name": "v2", "step": steps, "on_fail": "hold", "silent_ms": 1500}).to_string()
}

/// An old version that holds the clients, and the candidate of a rollout.
pub struct Pair {
    pub old: Platform,
    pub new: Program,
    /// The bus connection of the candidate.
    pub feed: TcpStream,
}

/// Starts an old version with `edits` to its settings, and a candidate with `edits` and `new_edits`.
pub fn pair_of(hosts: &[&Host], edits: &[(&str, Value)], new_edits: &[(&str, Value)]) -> Pair {
    pair_with(hosts, edits, |text| Program::start(&edited(text, new_edits), false))
}

/// Starts an old version with `edits` to its settings, and a candidate with `start`, which takes the candidate's settings.
pub fn pair_with(hosts: &[&Host], edits: &[(&str, Value)], start: impl Fn(&str) -> Program) -> Pair {
    let bus = Bus::start();
    let text = edited(&config(bus.address, hosts), &[("rollout", json!({"version": "one"}))]);
    let text = edited(&text, edits);
    let program = Program::start(&text, false);
    let (_, feed) = bus.greeted();
    let old = Platform { program, bus, feed };
    let listen = json!(old.program.address.to_string());
    let text = edited(&text, &[("listen", listen), ("rollout", json!({"version": "two"}))]);
    let new = start(&text);
    let (_, feed) = old.bus.greeted();
    let pair = Pair { old, new, feed };
    wait_for("the candidate", || pair.view()["candidate"]["caught_up"] == json!(true));
    pair
}

pub fn pair(hosts: &[&Host]) -> Pair {
    pair_of(hosts, &[], &[])
}

impl Pair {
    /// The old version's answer to `GET /rollout`.
    pub fn view(&self) -> Value {
        self.old.program.ask("GET", "/rollout", "").1
    }

    /// Sends `POST /rollout/{what}` to the old version, or `POST /rollout` if `what` is empty, and returns the status.
    pub fn post(&self, what: &str, body: &str) -> u16 {
        let path = if what.is_empty() { "/rollout".to_string() } else { format!("/rollout/{what}") };
        self.old.program.operate("POST", &path, body)
    }

    /// Begins a rollout in which the candidate decides all calls.
    pub fn with_full_share(self) -> Self {
        assert_eq!(self.post("", &plan(&[100.0])), 200);
        self
    }

    pub fn count(&self, what: &str) -> u64 {
        self.view()["counts"][what].as_u64().unwrap()
    }

    pub fn wait_life(&self, life: &str) {
        wait_for(life, || self.view()["life"] == json!(life));
    }
}

/// A client that numbers its calls. The id, key and body of call `n` are made from `n`.
pub struct Client {
    pub stream: TcpStream,
    /// Number of the next call.
    pub next: u32,
    /// Codes of the final answers to each call.
    pub answers: BTreeMap<u32, Vec<u8>>,
}

pub fn id(n: u32) -> String {
    format!("{:016x}", 0x9e37_79b9_7f4a_7c15u64.wrapping_mul(u64::from(n) + 1))
}

pub fn key(n: u32) -> String {
    format!("{:032x}", 0x9e37_79b9_7f4a_7c15_f39c_c060_5ced_c834u128.wrapping_mul(u128::from(n) + 1))
}

pub fn body(n: u32) -> String {
    format!("call-{n}")
}

impl Client {
    pub fn new(program: &Program, first: u32) -> Self {
        Self { stream: program.connect(), next: first, answers: BTreeMap::new() }
    }

    pub fn send_frame(&mut self, class: &str, function: &str) -> u32 {
        let n = self.next;
        self.next += 1;
        let frame = whole_call_frame(n + 1, [&id(n), class, &key(n), function], 4000, body(n).as_bytes());
        self.stream.write_all(&frame).unwrap();
        n
    }

    pub fn send(&mut self, class: &str) -> u32 {
        self.send_frame(class, "7f3a9c21e0b4d655")
    }

    /// Sends a call of each class.
    pub fn send_each(&mut self) -> [u32; 3] {
        CLASSES.map(|class| self.send(class))
    }

    pub fn read(&mut self) {
        let frame = read_frame(&mut self.stream).expect("an answer");
        if frame.kind == 2 {
            self.answers.entry(frame.stream - 1).or_default().push(frame.code);
        }
    }

    /// Waits for the answer to a call, which must be its only one, and returns the code.
    pub fn code(&mut self, n: u32) -> u8 {
        while !self.answers.contains_key(&n) {
            self.read();
        }
        assert_eq!(self.answers[&n].len(), 1, "more than one answer");
        self.answers[&n][0]
    }

    pub fn codes(&mut self, calls: &[u32]) -> Vec<u8> {
        calls.iter().map(|n| self.code(*n)).collect()
    }

    /// Sends a call and waits for its answer.
    pub fn call(&mut self, class: &str) -> u8 {
        let n = self.send(class);
        self.code(n)
    }

    /// Checks that no call got a second answer.
    pub fn finish(mut self) {
        std::thread::sleep(ms(100));
        self.stream.set_nonblocking(true).unwrap();
        let mut byte = [0; 1];
        if matches!(self.stream.read(&mut byte), Ok(n) if n > 0) {
            self.stream.set_nonblocking(false).unwrap();
            panic!("an additional answer");
        }
        assert!(self.answers.values().all(|a| a.len() == 1));
    }
}

/// A host whose calls take `work_ms`.
pub fn slow_host(work_ms: u64) -> Host {
    Host::start(Ways { does: Does::Answer("200"), work: ms(work_ms), load: None })
}

/// How often call `n` ran on these hosts.
pub fn runs(hosts: &[&Host], n: u32) -> u32 {
    hosts.iter().map(|h| h.runs(&body(n))).sum()
}
