//! Calls that a rollout passes to the candidate keep their turn and their draft. Two processes serve sites with a block cache,
//! and the candidate is lost or behaves unexpectedly. The old version learns from each call once, whichever version decided it.

mod common;

use std::collections::{BTreeMap, HashSet};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::os::fd::AsFd;
use std::os::unix::net::{UnixListener, UnixStream};
use std::process::Command;
use std::sync::{Arc, Mutex};
use std::thread::{scope, sleep, spawn};
use std::time::Duration;

use common::rollout::plan;
use common::stand_in::stand_in;
use common::*;
use rstest::rstest;
use rustix::net::{sendmsg, SendAncillaryBuffer, SendAncillaryMessage, SendFlags};
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};
use wheellink::Effect;
use wheellink_rollout::{ClassPolicy, RetryPolicy};

const CLASS: &str = "check-score";
const MAIL: &str = "send-mail";
/// Draft rounds that a host reports for each call.
const ROUNDS: u64 = 40;

#[derive(Default)]
struct SiteState {
    /// Hashes of the cached blocks.
    blocks: HashSet<String>,
    /// Request lines of the calls.
    lines: Vec<String>,
    /// How often each body ran.
    runs: BTreeMap<String, u32>,
    /// How long each call runs.
    work: Duration,
}

/// A host that is a site of its own. It caches blocks, reports the draft that the call asked for, and always reports three calls
/// in flight.
struct Site {
    address: SocketAddr,
    seen: Arc<Mutex<SiteState>>,
}

impl Site {
    fn start() -> Self {
        let seen: Arc<Mutex<SiteState>> = Arc::default();
        let shared = seen.clone();
        let address = stand_in(Arc::new(move |line, body| {
            let (fields, work) = serve(&mut shared.lock().unwrap(), line, body);
            sleep(work);
            format!(",meter=inflight:3;queue:0{fields}")
        }));
        Self { address, seen }
    }

    fn calls(&self) -> usize {
        self.seen.lock().unwrap().lines.len()
    }
}

/// Runs a call on a site, and returns the fields of its answer and how long it runs.
fn serve(seen: &mut SiteState, line: &str, body: &str) -> (String, Duration) {
    seen.lines.push(line.to_string());
    *seen.runs.entry(body.to_string()).or_default() += 1;
    let field = |name: &str| line.split(' ').nth(2).unwrap().split(',').find_map(|f| f.strip_prefix(name));
    let mut fields = String::new();
    if let Some(hashes) = field("blocks=") {
        let blocks: Vec<&str> = hashes.split(';').filter(|b| !b.is_empty()).collect();
        let found = blocks.iter().take_while(|b| seen.blocks.contains(**b)).count();
        // The body ends with the hashes of the blocks that the turn adds.
        let new = body.rsplit(' ').next().unwrap().split(',');
        seen.blocks.extend(blocks.into_iter().chain(new).map(str::to_string));
        fields = format!(",found={found}");
    }
    if let Some(draft) = field("draft=") {
        let length: usize = draft.split_once(':').unwrap().1.parse().unwrap();
        let accepted: String = (0..length).map(|_| "30;".to_string()).collect();
        fields += &format!(",accepted={ROUNDS};{accepted}{};400000", ROUNDS as usize + 30 * length);
    }
    (fields, seen.work)
}

/// The state of a conversation at its client.
struct Conversation {
    number: u64,
    prefix: Vec<String>,
    turns: usize,
}

/// The result of a turn.
struct TurnResult {
    body: String,
    status: u16,
    /// Blocks of the prefix.
    asked: usize,
    /// Blocks that the site found in its cache, if the answer says so.
    found: Option<usize>,
}

impl Conversation {
    /// New conversations with the numbers 1 to `n`.
    fn several(n: u64) -> Vec<Self> {
        (1..=n).map(|number| Self { number, prefix: Vec::new(), turns: 0 }).collect()
    }

    /// Sends a turn that adds two blocks.
    fn turn(&mut self, at: &Program, class: &str) -> TurnResult {
        let new: Vec<String> =
            (0..2).map(|i| format!("{:x}", self.number << 32 | (2 * self.turns + i + 1) as u64)).collect();
        let body = format!("talk {} turn {} {}", self.number, self.turns, new.join(","));
        let header = format!("Wheellink-Turn: {:x};2;{}", self.number, self.prefix.join(","));
        let reply = at.http(&call("chat", class, &[&header], &body));
        let found = reply.header("wheellink-found").map(|n| n.parse().unwrap());
        if reply.status == 200 {
            assert_eq!(String::from_utf8(reply.body).unwrap(), body);
        }
        let asked = self.prefix.len();
        assert!(found.is_none_or(|f| f <= asked));
        self.prefix.extend(new);
        self.turns += 1;
        TurnResult { body, status: reply.status, asked, found }
    }
}

/// Sends a turn of each conversation at the same time.
fn all_at_once(
    conversations: &mut [Conversation],
    at: &Program,
    class: impl Fn(u64) -> &'static str + Sync,
) -> Vec<TurnResult> {
    scope(|s| {
        let each: Vec<_> = conversations
            .iter_mut()
            .map(|t| {
                s.spawn(|| {
                    let n = t.number;
                    t.turn(at, class(n))
                })
            })
            .collect();
        each.into_iter().map(|t| t.join().unwrap()).collect()
    })
}

const SETUP: &str = "[turns]\nsite = \"cell\"\nblock_us = 1000\nresident = true\nbound = 2.0\n\
    [drafts]\nstart = \"1:4\"\nexplore = 0.0\n[rollout]\nversion = \"one\"\n";

/// An old version that holds the clients, and the candidate of a rollout if there is one.
struct Pair {
    old: Program,
    new: Option<Program>,
    sites: Vec<Site>,
    _resolver: Resolver,
    /// Settings for a candidate.
    text: String,
}

impl Pair {
    /// Starts the old version only.
    fn alone(sites: usize) -> Self {
        let sites: Vec<Site> = (0..sites).map(|_| Site::start()).collect();
        let resolver = Resolver::start(&[]);
        let instance =
            |(i, s): (usize, &Site)| (format!("h{i}"), s.address.port(), vec![format!("cell={i}")]);
        resolver.zone.lock().unwrap().instances = sites.iter().enumerate().map(instance).collect();
        let text = format!("{}\n{SETUP}", operator_file(resolver.address));
        let old = Program::start(&text, true);
        let text = text.replace("listen = \"127.0.0.1:0\"", &format!("listen = \"{}\"", old.address));
        let pair = Self { old, new: None, sites, _resolver: resolver, text };
        pair.wait_sites(&pair.old);
        pair
    }

    /// Starts both versions and a rollout in which `percent` of the calls are passed to the candidate.
    fn start(sites: usize, percent: f64) -> Self {
        let mut pair = Self::alone(sites);
        let new = Program::start(&pair.text.replace("\"one\"", "\"two\""), true);
        pair.wait_sites(&new);
        pair.new = Some(new);
        wait_for("the candidate", || pair.view()["candidate"]["caught_up"] == json!(true));
        assert_eq!(pair.old.operate("POST", "/rollout", &plan(&[percent])), 200);
        pair
    }

    /// Waits until a process knows all sites.
    fn wait_sites(&self, program: &Program) {
        wait_for("the sites", || {
            let view = program.ask("GET", "/turns", "").1;
            view["sites"].as_array().is_some_and(|all| all.len() == self.sites.len())
        });
    }

    fn candidate(&self) -> &Program {
        self.new.as_ref().unwrap()
    }

    fn view(&self) -> Value {
        self.old.ask("GET", "/rollout", "").1
    }

    fn count(&self, what: &str) -> u64 {
        self.view()["counts"][what].as_u64().unwrap()
    }

    fn work(&self, work: Duration) {
        self.sites.iter().for_each(|s| s.seen.lock().unwrap().work = work);
    }

    fn runs(&self, body: &str) -> u32 {
        self.sites.iter().map(|s| s.seen.lock().unwrap().runs.get(body).copied().unwrap_or(0)).sum()
    }

    /// Checks that each turn was served, and ran once.
    fn check_each_once(&self, results: &[TurnResult]) {
        for t in results {
            assert_eq!((t.status, self.runs(&t.body)), (200, 1), "{}", t.body);
        }
    }

    fn calls(&self) -> usize {
        self.sites.iter().map(Site::calls).sum()
    }

    /// Checks that the old version has learnt from each served call once, and counts no call as open.
    fn check_learnt(&self, results: &[TurnResult]) {
        let served = results.iter().filter(|t| t.status == 200);
        let served = served.fold((0u64, 0, 0), |a, t| {
            (a.0 + 1, a.1 + t.asked as u64, a.2 + t.found.expect("a count") as u64)
        });
        let drafts = self.old.ask("GET", "/drafts", "").1;
        let turns = self.old.ask("GET", "/turns", "").1;
        assert_eq!(rounds(&self.old), ROUNDS * served.0, "{drafts}");
        assert_eq!((&drafts["out"], &drafts["silent"], &drafts["unread"]), (&json!(0), &json!(0), &json!(0)));
        let blocks = &turns["blocks"];
        assert_eq!((&blocks["asked"], &blocks["found"]), (&json!(served.1), &json!(served.2)), "{turns}");
        assert_eq!(turns["open"], 0, "{turns}");
    }

    /// Checks that the candidate has learnt nothing from the calls that were passed to it.
    fn check_new_learnt_nothing(&self) {
        let turns = self.candidate().ask("GET", "/turns", "").1;
        assert_eq!((&turns["blocks"]["asked"], &turns["placed"]["all"]), (&json!(0), &json!(0)), "{turns}");
        assert_eq!(rounds(self.candidate()), 0);
    }
}

/// Draft rounds that a process has counted. Both processes run without other members, so all counts are their own.
fn rounds(program: &Program) -> u64 {
    let view = program.ask("GET", "/drafts", "").1;
    let members = view["learnt"]["members"].as_array().cloned().unwrap_or_default();
    members.iter().map(|m| m["rounds"].as_u64().unwrap()).sum()
}

/// Each version decides half of the turns, and finds the blocks that turns decided by the other version left.
#[test]
fn conversations_that_alternate_between_versions_find_their_blocks() {
    let pair = Pair::start(3, 50.0);
    let (mut conversations, mut results) = (Conversation::several(16), Vec::new());
    for turn in 0..6 {
        let each: Vec<TurnResult> = conversations.iter_mut().map(|t| t.turn(&pair.old, CLASS)).collect();
        let (asked, found) = each.iter().fold((0, 0), |a, t| (a.0 + t.asked, a.1 + t.found.unwrap()));
        assert!(turn == 0 || found * 10 > asked * 8, "{found} of {asked} in turn {turn}");
        results.extend(each);
    }
    let passed = pair.count("passed");
    assert!((20..=76).contains(&passed), "{passed} of 96");
    pair.check_each_once(&results);
    pair.check_learnt(&results);
    pair.check_new_learnt_nothing();
    for site in &pair.sites {
        assert!((10..=64).contains(&site.calls()), "{} of 96", site.calls());
        let seen = site.seen.lock().unwrap();
        assert!(seen.lines.iter().all(|l| l.contains(",draft=1:4,blocks=")), "{:?}", seen.lines);
    }
}

/// Hosts report three calls in flight, and only the candidate receives the reports. The old version still counts the calls in the
/// load band of their hosts.
#[test]
fn the_load_of_hosts_is_reported_back_with_passed_calls() {
    let pair = Pair::start(1, 100.0);
    let results: Vec<TurnResult> =
        Conversation::several(12).iter_mut().map(|t| t.turn(&pair.old, CLASS)).collect();
    assert_eq!(pair.count("passed"), 12);
    pair.check_learnt(&results);
    // The first call was sent before the host's first report, so it is counted in a row of its own, in the band of idle hosts.
    let learnt = pair.old.ask("GET", "/drafts", "").1["learnt"].clone();
    assert_eq!(learnt["rows"], 2, "{learnt}");
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Failure {
    Killed,
    Stopped,
}

/// The candidate is lost while turns run on hosts. Reads run again with their turn and draft and are counted once. Mails fail and
/// are not counted.
#[rstest]
#[case(Failure::Killed)]
#[case(Failure::Stopped)]
fn losing_the_candidate_with_open_turns_loses_no_count(#[case] how: Failure) {
    let mut pair = Pair::start(3, 100.0);
    let mut conversations = Conversation::several(9);
    let mut results = all_at_once(&mut conversations, &pair.old, |_| CLASS);
    pair.work(ms(2_000));
    let before = pair.calls();
    let mut new = pair.new.take().unwrap();
    let late = scope(|s| {
        let (pair, conversations) = (&pair, &mut conversations);
        let calls =
            s.spawn(move || all_at_once(conversations, &pair.old, |n| if n % 3 == 0 { MAIL } else { CLASS }));
        wait_for("the calls", || pair.calls() >= before + 9);
        pair.work(ms(1));
        match how {
            Failure::Killed => new.kill(),
            Failure::Stopped => new.stop(true),
        }
        calls.join().unwrap()
    });
    for (conversation, t) in conversations.iter().zip(&late) {
        let mail = conversation.number % 3 == 0;
        let wanted = if mail { (502, 1) } else { (200, 2) };
        assert_eq!((t.status, pair.runs(&t.body)), wanted, "{}", t.body);
    }
    assert_eq!((pair.count("run_anew"), pair.count("failed_by_loss")), (6, 3));
    let found: usize = late.iter().filter_map(|t| t.found).sum();
    assert!(found >= 10, "{found} of 12 blocks found where the first turn left them");
    results.extend(late);
    pair.check_learnt(&results);
    results.extend(conversations.iter_mut().map(|t| t.turn(&pair.old, CLASS)));
    pair.check_learnt(&results);
}

/// A candidate is rolled back while it has open turns. They end there and are counted, and later turns at the old version find
/// their blocks.
#[test]
fn turns_open_at_a_roll_back_are_counted_once() {
    let pair = Pair::start(3, 100.0);
    let mut conversations = Conversation::several(9);
    let mut results = all_at_once(&mut conversations, &pair.old, |_| CLASS);
    pair.work(ms(600));
    let before = pair.calls();
    results.extend(scope(|s| {
        let (pair, conversations) = (&pair, &mut conversations);
        let calls = s.spawn(move || all_at_once(conversations, &pair.old, |_| MAIL));
        wait_for("the calls", || pair.calls() == before + 9);
        assert_eq!(pair.old.operate("POST", "/rollout/back", ""), 200);
        calls.join().unwrap()
    }));
    pair.work(ms(1));
    wait_for("the roll back", || pair.view()["life"] == json!("back"));
    assert_eq!(pair.count("passed"), 18);
    let after = all_at_once(&mut conversations, &pair.old, |_| CLASS);
    let (asked, found) = after.iter().fold((0, 0), |a, t| (a.0 + t.asked, a.1 + t.found.unwrap()));
    assert!(found * 10 > asked * 8, "{found} of {asked}");
    results.extend(after);
    pair.check_each_once(&results);
    assert_eq!(pair.count("passed"), 18);
    pair.check_learnt(&results);
    pair.check_new_learnt_nothing();
}

/// A rollout completes while turns are open. The old version counts the calls that it passed, and the new one the calls that it
/// receives itself from then on.
#[test]
fn a_candidate_that_takes_the_clients_counts_only_its_own_calls() {
    let pair = Pair::start(3, 100.0);
    let mut conversations = Conversation::several(6);
    pair.work(ms(600));
    let results = scope(|s| {
        let (pair, conversations) = (&pair, &mut conversations);
        let calls = s.spawn(move || all_at_once(conversations, &pair.old, |_| MAIL));
        wait_for("the calls", || pair.calls() == 6);
        assert_eq!(pair.old.operate("POST", "/rollout/complete", ""), 200);
        calls.join().unwrap()
    });
    pair.work(ms(1));
    wait_for("the clients", || pair.candidate().status() == 200);
    pair.check_learnt(&results);
    pair.check_new_learnt_nothing();
    let own: Vec<TurnResult> = conversations.iter_mut().map(|t| t.turn(pair.candidate(), CLASS)).collect();
    assert!(own.iter().all(|t| t.status == 200 && t.found.is_some()));
    assert_eq!(rounds(pair.candidate()), ROUNDS * own.len() as u64);
    pair.check_learnt(&results);
    pair.check_each_once(&results);
    pair.check_each_once(&own);
}

// ------------------------------------------------------------------------------------ other versions

/// The messages of the rollout protocol, in the order of their variants. Versions before 2 lack the last two. Variants that no
/// stand-in sends or reads have placeholder contents.
#[derive(Debug, Serialize, Deserialize)]
enum Message {
    Say(String),
    Holds { life: String, percent: f64 },
    Stands { caught_up: bool },
    Call(Call),
    Left { seq: u64 },
    Intent { seq: u64, number: u32, host: String, at: i64 },
    Ended { seq: u64, number: u32, end: u8 },
    Answer { seq: u64, reply: Reply, body: Vec<u8> },
    Return { seq: u64 },
    Ask { order: u64 },
    Grant { order: u64, granted: bool },
    Sent { host: String, at: i64 },
    Ration(Vec<(i64, u32, u32)>),
    Classes(Vec<()>),
    TakeOver,
    Dismiss { why: String },
    Leaving,
    // Since protocol version 2.
    CallWith(Call, Vec<(String, String)>),
    AnswerWith { seq: u64, reply: Reply, body: Vec<u8>, more: Vec<(String, String)> },
}

#[derive(Debug, Serialize, Deserialize)]
struct Call {
    seq: u64,
    id: String,
    class: String,
    tenant: Option<String>,
    function: String,
    due: i64,
    lanes: u32,
    repeat: bool,
    key: Option<String>,
    body: Vec<u8>,
}

#[derive(Debug, Serialize, Deserialize)]
enum Reply {
    Served,
    Refused(i64),
    Failed,
    TimedOut,
}

fn send(mut stream: &UnixStream, message: &Message) {
    let bytes = postcard::to_stdvec(message).unwrap();
    stream.write_all(&[&(bytes.len() as u32).to_le_bytes()[..], &bytes].concat()).unwrap();
}

fn receive(stream: &mut impl Read) -> Option<Message> {
    let mut length = [0; 4];
    stream.read_exact(&mut length).ok()?;
    let mut bytes = vec![0; u32::from_le_bytes(length) as usize];
    stream.read_exact(&mut bytes).ok()?;
    // Messages of classes (13) have contents that the placeholder lacks. They are not used.
    let (message, rest) = postcard::take_from_bytes(&bytes).unwrap();
    assert!(rest.is_empty() || bytes[0] == 13, "extra bytes in a frame");
    Some(message)
}

/// Not a test by itself: it runs as a separate process. A candidate that answers passed calls itself without calling a host, and
/// reports one attempt for each. It sends every second answer twice.
#[test]
#[ignore = "run by another test"]
fn stand_in_candidate() {
    let (Ok(place), Ok(listen), Ok(protocol)) =
        (std::env::var("PLACE"), std::env::var("LISTEN"), std::env::var("PROTOCOL"))
    else {
        return;
    };
    let protocol: u32 = protocol.parse().unwrap();
    let mut stream = UnixStream::connect(place).unwrap();
    let terms = |name: &str| ClassPolicy { name: name.into(), policy: RetryPolicy::new(Effect::Safe, 2) };
    let classes = [CLASS, MAIL].map(terms);
    let rollout = json!({"protocols": [protocol], "version": "odd", "classes": classes});
    let hello = json!({"say": "hello", "version": 1, "listen": listen, "rollout": rollout});
    stream.write_all(format!("{hello}\n").as_bytes()).unwrap();
    let mut lines = BufReader::new(stream.try_clone().unwrap());
    let mut state = String::new();
    lines.read_line(&mut state).unwrap();
    let alive = stream.try_clone().unwrap();
    spawn(move || loop {
        send(&alive, &Message::Stands { caught_up: true });
        sleep(ms(50));
    });
    sleep(ms(60));
    while let Some(message) = receive(&mut lines) {
        let (call, more) = match message {
            Message::Call(call) => (call, None),
            Message::CallWith(call, more) => (call, Some(more)),
            Message::Dismiss { .. } => return,
            _ => continue,
        };
        assert_eq!(more.is_some(), protocol > 1, "{more:?}");
        let seq = call.seq;
        send(&stream, &Message::Intent { seq, number: 0, host: "h0".into(), at: call.due });
        let body = call.body;
        let field = |name: &str, text: &str| (name.to_string(), text.to_string());
        let answer = |more: Option<&Vec<(String, String)>>| match more {
            None => Message::Answer { seq, reply: Reply::Served, body: body.clone() },
            // Three malformed fields and an unknown one.
            Some(_) => Message::AnswerWith {
                seq,
                reply: Reply::Served,
                body: body.clone(),
                more: vec![
                    field("found", "x"),
                    field("accepted", "40;x"),
                    field("held", "many"),
                    field("mood", "good"),
                ],
            },
        };
        send(&stream, &answer(more.as_ref()));
        if seq % 2 == 0 {
            send(&stream, &answer(more.as_ref()));
        }
    }
}

/// Calls that are passed to a candidate of protocol 1 carry neither turn nor draft, and nothing is learnt from them. Malformed
/// fields of an answer are refused with the reason, and the call is still answered.
#[rstest]
#[case::protocol_1(1)]
#[case::malformed(2)]
fn answers_without_fields_or_with_malformed_ones_are_accepted(#[case] protocol: u32) {
    let pair = Pair::alone(1);
    let mut candidate = Command::new(std::env::current_exe().unwrap());
    candidate.args(["--exact", "stand_in_candidate", "--ignored"]).env("PROTOCOL", protocol.to_string());
    candidate.env("PLACE", meeting_place(pair.old.address)).env("LISTEN", pair.old.address.to_string());
    let mut candidate = candidate.spawn().unwrap();
    wait_for("the candidate", || pair.view()["candidate"]["caught_up"] == json!(true));
    assert_eq!(pair.old.operate("POST", "/rollout", &plan(&[100.0])), 200);
    let mut conversations = Conversation::several(4);
    let results: Vec<TurnResult> =
        conversations.iter_mut().flat_map(|t| [t.turn(&pair.old, CLASS), t.turn(&pair.old, CLASS)]).collect();
    assert!(results.iter().all(|t| t.status == 200 && t.found.is_none()));
    assert_eq!((pair.count("passed"), pair.calls()), (8, 0), "{}", pair.view());
    let drafts = pair.old.ask("GET", "/drafts", "").1;
    let turns = pair.old.ask("GET", "/turns", "").1;
    assert_eq!(
        (rounds(&pair.old), &drafts["out"], &turns["open"]),
        (0, &json!(0), &json!(0)),
        "{drafts} {turns}"
    );
    assert_eq!(turns["blocks"]["asked"], 0);
    let refused = |why: &str| pair.old.logged(&format!("a field of an answer is refused: {why}"));
    let wanted = if protocol == 1 { (0, 0, 0) } else { (8, 8, 8) };
    let unread = drafts["unread"].as_u64().unwrap() as usize;
    assert_eq!((refused("found: not a number"), refused("held: not a number of calls"), unread), wanted);
    assert_eq!(pair.old.operate("POST", "/rollout/back", ""), 200);
    let own: Vec<TurnResult> = conversations.iter_mut().map(|t| t.turn(&pair.old, CLASS)).collect();
    assert!(own.iter().all(|t| t.status == 200 && t.found.is_some()));
    assert_eq!(rounds(&pair.old), 4 * ROUNDS);
    let _ = candidate.kill();
    let _ = candidate.wait();
}

/// Starts the program as the candidate of a stand-in for an old version with this protocol. Returns the candidate and the
/// connection to it.
fn stand_in_holder(protocol: u32, text: &str) -> (Program, UnixStream) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let place = UnixListener::bind(meeting_place(address)).unwrap();
    let handshake = spawn(move || {
        let (stream, _) = place.accept().unwrap();
        let mut hello = String::new();
        BufReader::new(&stream).read_line(&mut hello).unwrap();
        assert!(hello.contains("\"protocols\":[1,2]"), "{hello}");
        let terms = |name: &str| ClassPolicy { name: name.into(), policy: RetryPolicy::new(Effect::Safe, 2) };
        let classes = [CLASS, MAIL].map(terms);
        let rollout = json!({"protocols": [protocol], "version": "odd", "classes": classes});
        let state = format!("{}\n", json!({"say": "state", "rollout": rollout}));
        let sockets = [listener.as_fd()];
        let mut buffer = [std::mem::MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
        let mut control = SendAncillaryBuffer::new(&mut buffer);
        assert!(control.push(SendAncillaryMessage::ScmRights(&sockets)));
        let bytes = [std::io::IoSlice::new(state.as_bytes())];
        assert_eq!(sendmsg(&stream, &bytes, &mut control, SendFlags::NOSIGNAL).unwrap(), state.len());
        stream
    });
    let text = text.replace("listen = \"127.0.0.1:0\"", &format!("listen = \"{address}\""));
    let new = Program::start(&text, true);
    (new, handshake.join().unwrap())
}

/// Passes a call with these fields to a candidate, and returns the body and the fields of the answer.
fn pass(
    stream: &mut UnixStream,
    seq: u64,
    more: Option<&[(&str, &str)]>,
) -> (Vec<u8>, Vec<(String, String)>) {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap();
    let call = Call {
        seq,
        id: format!("{seq:016x}"),
        class: CLASS.into(),
        tenant: None,
        function: "chat".into(),
        due: now.as_micros() as i64 + 8_000_000,
        lanes: 1,
        repeat: false,
        key: None,
        body: format!("call {seq} a,b").into_bytes(),
    };
    let copy = |fields: &[(&str, &str)]| fields.iter().map(|(n, t)| (n.to_string(), t.to_string())).collect();
    send(
        stream,
        &more.map_or_else(|| Message::Call(clone(&call)), |more| Message::CallWith(clone(&call), copy(more))),
    );
    loop {
        match receive(stream).expect("an answer") {
            Message::Answer { seq: s, reply: Reply::Served, body } if s == seq => return (body, Vec::new()),
            Message::AnswerWith { seq: s, reply: Reply::Served, body, more } if s == seq => {
                return (body, more)
            }
            Message::Answer { reply, .. } | Message::AnswerWith { reply, .. } => panic!("{reply:?}"),
            Message::Return { seq } => panic!("call {seq} was returned"),
            _ => {}
        }
    }
}

fn clone(call: &Call) -> Call {
    postcard::from_bytes(&postcard::to_stdvec(call).unwrap()).unwrap()
}

/// A candidate applies the fields of a passed call, refuses malformed ones, and returns the fields of the host's answer.
#[test]
fn a_candidate_applies_the_fields_of_a_passed_call() {
    let site = Site::start();
    let resolver = Resolver::start(&[]);
    let instance = ("h0".to_string(), site.address.port(), vec!["cell=0".to_string()]);
    resolver.zone.lock().unwrap().instances = vec![instance];
    let text = format!("{}\n{SETUP}", operator_file(resolver.address));
    let line = || site.seen.lock().unwrap().lines.last().unwrap().clone();
    let (new, mut stream) = stand_in_holder(2, &text);
    wait_for("the site", || new.ask("GET", "/turns", "").1["sites"].as_array().is_some_and(|s| s.len() == 1));
    let fields =
        [("turn", "7;2;1,00ff"), ("draft", "1:4"), ("cell", "0"), ("host", "nobody"), ("colour", "blue")];
    let (body, more) = pass(&mut stream, 1, Some(&fields));
    assert!(line().contains(",draft=1:4,blocks=1;ff "), "{}", line());
    let fields = [("found", "0"), ("accepted", "40;30;30;30;30;160;400000"), ("held", "3.000")];
    let fields: Vec<(String, String)> = fields.iter().map(|(n, t)| (n.to_string(), t.to_string())).collect();
    assert_eq!((body, more), (b"call 1 a,b".to_vec(), fields));
    // Each malformed field is refused separately. If all fields together are too long, all are refused.
    let (body, more) = pass(&mut stream, 2, Some(&[("turn", "7;2;xyz"), ("draft", "1:3"), ("cell", "x")]));
    assert!(line().contains(",draft=1:3 ") && !line().contains("blocks="), "{}", line());
    assert_eq!((body, more.len()), (b"call 2 a,b".to_vec(), 2));
    let long = "1".repeat(3_000);
    pass(&mut stream, 3, Some(&[("turn", "7;2;1"), ("draft", &long)]));
    assert!(!line().contains("draft=") && !line().contains("blocks="), "{}", line());
    pass(&mut stream, 4, Some(&[("turn", "7;3;1,ff,a,b")]));
    assert!(line().contains(",blocks=1;ff;a;b ") && !line().contains("draft="), "{}", line());
    for (id, why) in [(2, "turn: a hash is"), (2, "cell: not a number"), (3, "2 fields of 3014 bytes")] {
        // The log is read by another thread.
        wait_for(why, || new.logged(&format!("a field of call {id:016x} is refused: {why}")) == 1);
    }
    let turns = new.ask("GET", "/turns", "").1;
    assert_eq!((&turns["placed"]["all"], &turns["blocks"]["asked"]), (&json!(0), &json!(0)), "{turns}");
    // With protocol 1 a call and its answer carry no turn or draft.
    let (new, mut stream) = stand_in_holder(1, &text);
    wait_for("the site", || new.ask("GET", "/turns", "").1["sites"].as_array().is_some_and(|s| s.len() == 1));
    assert_eq!(pass(&mut stream, 1, None), (b"call 1 a,b".to_vec(), vec![]));
    assert!(!line().contains("draft=") && !line().contains("blocks="), "{}", line());
    drop(new);
}
