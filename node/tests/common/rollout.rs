//! Two versions side by side, and a client that counts what it is answered.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::TcpStream;

use serde_json::{json, Value};

use super::*;

pub const CLASSES: [&str; 3] = ["check-score", "save-answers", "send-mail"];

/// A configuration with this in place of what it had: keys as paths.
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

pub fn plan(steps: &[f64]) -> String {
    // No step is done by itself while a test runs.
    let steps: Vec<_> = steps.iter().map(|p| json!({"percent": p, "least_ms": 600_000})).collect();
    json!({"name": "v2", "step": steps, "on_fail": "hold", "silent_ms": 1500}).to_string()
}

/// An old version and a candidate beside it.
pub struct Pair {
    pub old: Platform,
    pub new: Program,
    /// The bus's connection of the new one.
    pub feed: TcpStream,
}

pub fn pair_of(hosts: &[&Host], edits: &[(&str, Value)], new_edits: &[(&str, Value)]) -> Pair {
    pair_with(hosts, edits, |text| Program::start(&edited(text, new_edits), false))
}

/// The candidate is started by this, with what its file says.
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
    wait_for("the candidate", || pair.show()["candidate"]["caught_up"] == json!(true));
    pair
}

pub fn pair(hosts: &[&Host]) -> Pair {
    pair_of(hosts, &[], &[])
}

impl Pair {
    pub fn show(&self) -> Value {
        self.old.program.ask("GET", "/rollout", "").1
    }

    pub fn call(&self, what: &str, body: &str) -> u16 {
        let path = if what.is_empty() { "/rollout".to_string() } else { format!("/rollout/{what}") };
        self.old.program.operate("POST", &path, body)
    }

    /// Everything is decided by the candidate.
    pub fn whole(self) -> Self {
        assert_eq!(self.call("", &plan(&[100.0])), 200);
        self
    }

    pub fn count(&self, what: &str) -> u64 {
        self.show()["counts"][what].as_u64().unwrap()
    }

    pub fn wait_life(&self, life: &str) {
        wait_for(life, || self.show()["life"] == json!(life));
    }
}

/// A client that numbers its calls. Call `n` has id, key and body made of it.
pub struct Client {
    pub stream: TcpStream,
    pub next: u32,
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

    /// One of each class.
    pub fn send_each(&mut self) -> [u32; 3] {
        CLASSES.map(|class| self.send(class))
    }

    pub fn read(&mut self) {
        let frame = read_frame(&mut self.stream).expect("an answer");
        if frame.kind == 2 {
            self.answers.entry(frame.stream - 1).or_default().push(frame.code);
        }
    }

    /// The code of a call's answer, which must be its only one.
    pub fn code(&mut self, n: u32) -> u8 {
        while !self.answers.contains_key(&n) {
            self.read();
        }
        assert_eq!(self.answers[&n].len(), 1, "one final answer");
        self.answers[&n][0]
    }

    pub fn codes(&mut self, calls: &[u32]) -> Vec<u8> {
        calls.iter().map(|n| self.code(*n)).collect()
    }

    /// Sends a call and waits for its answer.
    pub fn one(&mut self, class: &str) -> u8 {
        let n = self.send(class);
        self.code(n)
    }

    /// No call has had a second answer.
    pub fn end(mut self) {
        std::thread::sleep(ms(100));
        self.stream.set_nonblocking(true).unwrap();
        let mut more = [0; 1];
        if matches!(self.stream.read(&mut more), Ok(n) if n > 0) {
            self.stream.set_nonblocking(false).unwrap();
            panic!("a further answer");
        }
        assert!(self.answers.values().all(|a| a.len() == 1));
    }
}

pub fn slow(work: u64) -> Host {
    Host::start(Ways { does: Does::Answer("200"), work: ms(work), load: None })
}

pub fn runs(hosts: &[&Host], n: u32) -> u32 {
    hosts.iter().map(|h| h.runs(&body(n))).sum()
}
