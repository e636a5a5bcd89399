//! Several activators with the platform's front are restarted under load, a third at a time. Checked by what clients
//! and hosts saw: each request that an activator accepted has one answer, and unsafe calls ran at most once.

mod common;

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use common::*;

const SERVED: u8 = 79;
const REFUSED: u8 = 66;
const ACTIVATORS: usize = 6;
/// For at least this long after SIGTERM, the platform still sends new connections, and requests on open ones.
const GRACE: Duration = Duration::from_millis(200);
/// Requests that a client writes at once.
const PIPELINED: usize = 6;

/// A request, and the answers to it.
#[derive(Debug, Default)]
struct Record {
    /// Of the class `send-mail`, which is unsafe: it may run at most once.
    mail: bool,
    /// Written completely while the activator still had to accept it.
    due: bool,
    answers: Vec<u8>,
    /// The answer had another body than the one that the host sent.
    corrupt: bool,
}

/// All requests, by the text at the beginning of their bodies.
type Records = Arc<Mutex<BTreeMap<String, Record>>>;

/// The events from the second on, and the connections that they are sent on.
type BusState = Arc<Mutex<(Vec<Vec<u8>>, Vec<TcpStream>)>>;

/// The bus of all activators. It sends each of them the events after the last one that it has.
struct EventBus {
    addr: SocketAddr,
    state: BusState,
}

impl EventBus {
    fn start() -> Self {
        let bus = Bus::start();
        let state = BusState::default();
        let (addr, all) = (bus.address, state.clone());
        spawn(move || loop {
            let Some((last, mut stream)) = bus.greeted_within(ms(20)) else { continue };
            let mut all = all.lock().unwrap();
            // Event 1 is in the configuration.
            all.0.iter().skip(last as usize - 1).for_each(|event| drop(stream.write_all(event)));
            all.1.push(stream);
        });
        Self { addr, state }
    }

    fn publish(&self, hosts: &[(u32, SocketAddr, u8)]) {
        let mut all = self.state.lock().unwrap();
        let event = event(all.0.len() as u64 + 2, false, hosts);
        all.1.retain_mut(|stream| stream.write_all(&event).is_ok());
        all.0.push(event);
    }
}

/// The address of an activator, which outlives its processes.
struct Slot {
    address: SocketAddr,
    /// When SIGTERM was sent to the process, if it was.
    term_at: Mutex<Option<Instant>>,
}

impl Slot {
    fn text(&self, bus: &EventBus, hosts: &[&Host]) -> String {
        let text = config(bus.addr, hosts).replace("\"GroupSize\":1", &format!("\"GroupSize\":{ACTIVATORS}"));
        text.replace("\"listen\":\"127.0.0.1:0\"", &format!("\"listen\":\"{}\"", self.address))
    }
}

/// A client of an activator. It writes several requests at once, in pieces, reads slowly into a small buffer, and keeps
/// sending for `GRACE` on a connection whose activator ends.
struct Client {
    number: u32,
    slot: Arc<Slot>,
    records: Records,
    next: Arc<AtomicU32>,
    refused: Arc<AtomicU32>,
    over: Arc<AtomicBool>,
}

impl Client {
    fn run(&self) {
        while !self.over.load(SeqCst) {
            let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
            // A small buffer, so that answers are often written in part.
            socket.set_recv_buffer_size(4 << 10).unwrap();
            match socket.connect(&self.slot.address.into()) {
                Ok(()) => self.talk(socket.into()),
                Err(_) => {
                    self.count_refusal();
                    sleep(ms(10));
                }
            }
        }
    }

    /// Counts a connection that was not accepted while the activator still had to accept it.
    fn count_refusal(&self) {
        let early = self.slot.term_at.lock().unwrap().is_some_and(|since| since.elapsed() < GRACE);
        self.refused.fetch_add(u32::from(early), SeqCst);
    }

    fn talk(&self, mut stream: TcpStream) {
        stream.set_nodelay(true).unwrap();
        stream.set_read_timeout(Some(LONG)).unwrap();
        // A connection in the queue of a process that has ended is reset: no request was accepted.
        let begun = stream.write_all(&client_frame(4, 1 << 20, &[0])).and_then(|()| stream.peek(&mut [0]));
        if !begun.is_ok_and(|n| n > 0) {
            return self.count_refusal();
        }
        let (mut stream_of, mut open) = (0, BTreeMap::new());
        loop {
            let ending = *self.slot.term_at.lock().unwrap();
            let leaves = ending.is_some_and(|since| since.elapsed() > GRACE) || self.over.load(SeqCst);
            if !leaves {
                let calls: Vec<_> = (0..PIPELINED).map(|_| self.call(&mut stream_of, &mut open)).collect();
                let bytes: Vec<u8> = calls.iter().flat_map(|(_, bytes)| bytes.clone()).collect();
                // The last piece is written later than the others, so that SIGTERM finds requests read in part.
                let cut = bytes.len() - bytes.len() / PIPELINED / 2;
                let first = stream.write_all(&bytes[..cut]).is_ok();
                sleep(ms(self.next.load(SeqCst) as u64 % 30));
                let whole = first && stream.write_all(&bytes[cut..]).is_ok();
                // Requests that were written after the grace, because this thread was delayed, need no answer.
                let late = self.slot.term_at.lock().unwrap().is_some_and(|since| since.elapsed() > GRACE);
                let mut records = self.records.lock().unwrap();
                calls.iter().for_each(|(text, _)| records.get_mut(text).unwrap().due = whole && !late);
            }
            // Clients with an even number keep requests open. The others wait for all answers, so that their activator
            // has no open requests at times.
            let max_open = if self.number.is_multiple_of(2) && !leaves { PIPELINED / 2 } else { 0 };
            while open.len() > max_open {
                sleep(ms(2));
                match next_frame(&mut stream) {
                    Some(frame) if frame.kind == 2 => self.answered(&mut open, &frame),
                    Some(_) => {}
                    None => return,
                }
            }
            if max_open == 0 && !leaves {
                sleep(ms(40));
            }
            if leaves {
                // A second answer would come before the end of the connection.
                stream.shutdown(std::net::Shutdown::Write).unwrap();
                while let Some(frame) = next_frame(&mut stream) {
                    assert!(frame.kind != 2, "an answer without a request: {frame:?}");
                }
                return;
            }
        }
    }

    fn call(&self, of: &mut u32, open: &mut BTreeMap<u32, String>) -> (String, Vec<u8>) {
        let n = self.next.fetch_add(1, SeqCst);
        *of += 1;
        let class = ["send-mail", "check-score", "save-answers"][n as usize % 3];
        let text = format!("{class} {n:06} of {:02} ", self.number);
        let (id, key, function) = (format!("{n:016x}"), format!("{n:032x}"), format!("{:016x}", n % 7));
        let body = format!("{text}{}", "x".repeat(if n.is_multiple_of(2) { 16_000 } else { 10 }));
        let frame = whole_call_frame(*of, [&id, class, &key, &function], 4000, body.as_bytes());
        open.insert(*of, text.clone());
        let record = Record { mail: class == "send-mail", ..Record::default() };
        self.records.lock().unwrap().insert(text.clone(), record);
        (text, frame)
    }

    fn answered(&self, open: &mut BTreeMap<u32, String>, frame: &Frame) {
        let text = open.remove(&frame.stream).expect("an open request for the answer");
        let mut records = self.records.lock().unwrap();
        let record = records.get_mut(&text).unwrap();
        record.answers.push(frame.code);
        let expected = format!("did {text}");
        record.corrupt |= frame.code == SERVED && !frame.body.starts_with(expected.as_bytes());
    }
}

/// The next frame. `None` at the end of the connection, also within a frame.
fn next_frame(stream: &mut TcpStream) -> Option<Frame> {
    let mut length = [0; 4];
    stream.read_exact(&mut length).ok()?;
    let mut rest = vec![0; u32::from_le_bytes(length) as usize];
    stream.read_exact(&mut rest).ok()?;
    read_frame(&mut &[&length[..], &rest].concat()[..])
}

/// Guards against lost answers and repeated runs in a rolling restart. Each of three rounds ends a third of the
/// processes by SIGTERM at once, while requests are read in part, several are open on a connection, and answers are
/// written in part. A new process starts at each address as soon as the old one is gone. Meanwhile a script host with
/// open calls is replaced by a new one at the same address.
#[test]
fn restarts_of_a_third_at_a_time_lose_no_answer_and_repeat_no_unsafe_call() {
    let slow = || Host::start(Ways { does: Does::Answer("200"), work: ms(25), load: Some(ms(5)) });
    let hosts = [slow(), slow(), slow(), slow()];
    // Some calls are still open when no new requests can arrive any more.
    hosts[3].ways.lock().unwrap().work = ms(1200);
    let known: Vec<&Host> = hosts.iter().collect();
    let bus = EventBus::start();
    // Held until the start, so that no other test gets the same ports.
    let held: Vec<_> = (0..ACTIVATORS).map(|_| TcpListener::bind("127.0.0.1:0").unwrap()).collect();
    let slot = |l: &TcpListener| Slot { address: l.local_addr().unwrap(), term_at: Mutex::default() };
    let slots: Vec<Arc<Slot>> = held.iter().map(|l| Arc::new(slot(l))).collect();
    drop(held);
    let start = |slot: &Slot| Program::start(&slot.text(&bus, &known), false);
    let mut programs: Vec<Program> = slots.iter().map(|slot| start(slot)).collect();

    let (records, over) = (Records::default(), Arc::new(AtomicBool::new(false)));
    let (next, refused) = (Arc::new(AtomicU32::new(0)), Arc::new(AtomicU32::new(0)));
    let clients = (0..2 * ACTIVATORS).map(|i| {
        let (slot, records) = (slots[i % ACTIVATORS].clone(), records.clone());
        let (next, refused, over) = (next.clone(), refused.clone(), over.clone());
        let client = Client { number: i as u32, slot, records, next, refused, over };
        spawn(move || client.run())
    });
    let clients: Vec<_> = clients.collect();
    let answered = || records.lock().unwrap().values().filter(|f| !f.answers.is_empty()).count();
    wait_for("calls under way", || answered() > 100);
    for (round, host) in hosts.iter().enumerate().take(3) {
        let third = [2 * round, 2 * round + 1];
        for i in third {
            *slots[i].term_at.lock().unwrap() = Some(Instant::now());
            programs[i].terminate();
        }
        // One event: the host with the number of this round is gone, and there is a new one at its address.
        let (old, new) = (round as u32, 10 + round as u32);
        bus.publish(&[(old, host.address, 2), (new, host.address, 0)]);
        for i in third {
            assert!(programs[i].ended().success());
            programs[i] = start(&slots[i]);
            *slots[i].term_at.lock().unwrap() = None;
        }
        let before = answered();
        wait_for("calls under way", || answered() > before + 100);
    }
    over.store(true, SeqCst);
    clients.into_iter().for_each(|client| client.join().unwrap());

    let records = records.lock().unwrap();
    let mut runs: BTreeMap<String, u32> = BTreeMap::new();
    for host in &hosts {
        for (body, n) in &host.seen.lock().unwrap().runs {
            *runs.entry(body.trim_end_matches('x').to_string()).or_default() += n;
        }
    }
    let served = records.values().filter(|f| f.answers == [SERVED]).count();
    for (text, rec) in records.iter() {
        let ran = runs.get(text).copied().unwrap_or(0);
        assert!(rec.answers.len() <= 1 && !rec.corrupt, "{text}: {rec:?}");
        assert!(!rec.due || rec.answers.len() == 1, "{text} was accepted and lost: {rec:?}, {ran} runs");
        assert!(!rec.mail || ran <= 1, "{text} ran {ran} times: {rec:?}");
        assert!(!rec.mail || rec.answers != [REFUSED] || ran == 0, "{text} ran and was refused: {rec:?}");
        assert!(rec.answers != [SERVED] || ran >= 1, "{text} never ran: {rec:?}");
    }
    assert_eq!(refused.load(SeqCst), 0, "connections that were not accepted within 0.2 s of SIGTERM");
    assert!(served * 10 > records.len() * 8, "{served} of {} served", records.len());
}
