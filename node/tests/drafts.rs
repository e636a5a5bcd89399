//! Activators that learn draft lengths from each other's counts. Each is a process of its own, under network faults, kills, and
//! hosts and members that report invalid or forged counts.

mod common;

use std::collections::{BTreeMap, BTreeSet};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn, JoinHandle};
use std::time::{Duration, Instant};

use common::*;
use rstest::rstest;
use wheellink_drafts::{CallStats, Draft, DraftLearner, MemberId, Output, Settings, Workload};

/// The start of a datagram between members that carries a message about drafts: four bytes of the protocol and the kind.
const DRAFTS_HEADER: [u8; 5] = [0xff, 0x57, 0x4c, 0x01, 2];
const CLASS: &str = "check-score";

/// How a host with a draft model performs.
#[derive(Clone, Copy)]
struct Model {
    /// Probability that a drafted token is accepted if the one before it was.
    acceptance: f64,
    /// Time of a round, and of each drafted token in it.
    cost_us: (f64, f64),
    /// Reports more accepted tokens than rounds.
    invalid: bool,
}

const GOOD: Model = Model { acceptance: 0.85, cost_us: (9_000.0, 300.0), invalid: false };

/// A host that answers at once and reports the drafts of each call.
struct DraftHost {
    host: Host,
    model: Arc<Mutex<Model>>,
    /// Number of calls by the draft that they asked for.
    seen: Arc<Mutex<BTreeMap<String, u32>>>,
}

impl DraftHost {
    fn start(model: Model) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let ways = Ways { does: Does::Answer("200"), work: ms(1), load: None };
        let address = listener.local_addr().unwrap();
        let host = Host { address, ways: Arc::new(Mutex::new(ways)), seen: Arc::default() };
        let (model, seen) = (Arc::new(Mutex::new(model)), Arc::<Mutex<BTreeMap<String, u32>>>::default());
        let (shared, counts) = (model.clone(), seen.clone());
        spawn(move || {
            for (i, stream) in listener.incoming().map_while(Result::ok).enumerate() {
                let (shared, counts) = (shared.clone(), counts.clone());
                spawn(move || serve(stream, &shared, &counts, fastrand::Rng::with_seed(i as u64)));
            }
        });
        Self { host, model, seen }
    }
}

fn serve(
    stream: TcpStream,
    model: &Mutex<Model>,
    seen: &Mutex<BTreeMap<String, u32>>,
    mut rng: fastrand::Rng,
) {
    let mut out = stream.try_clone().unwrap();
    let mut lines = BufReader::new(stream);
    let mut line = String::new();
    while lines.read_line(&mut line).is_ok_and(|n| n > 0) {
        let words: Vec<String> = line.trim_end().split(' ').map(str::to_string).collect();
        line.clear();
        let answer = match words[0].as_str() {
            "FN" => {
                let mut body = vec![0; words[3].parse::<usize>().unwrap() + 2];
                lines.read_exact(&mut body).unwrap();
                let draft = words[2].split(',').find_map(|f| f.strip_prefix("draft="));
                let report = draft.map(|draft| {
                    *seen.lock().unwrap().entry(draft.into()).or_default() += 1;
                    report_of(*model.lock().unwrap(), draft, &mut rng)
                });
                format!("{} 200 tell=warm{} 0\r\n\r\n", words[1], report.unwrap_or_default())
            }
            "SPAWN" => format!("{} 200 copies=1 0\r\n\r\n", words[1]),
            "HELO" => format!("{} 200 - 0\r\n\r\n", words[1]),
            _ => continue,
        };
        if out.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

/// The field of an answer that reports 40 rounds of a draft: rounds, accepted tokens by position, all tokens and the time.
fn report_of(model: Model, draft: &str, rng: &mut fastrand::Rng) -> String {
    let length = draft.split_once(':').unwrap().1.parse::<usize>().unwrap();
    let (rounds, mut accepted) = (40, vec![0u32; length]);
    for _ in 0..rounds {
        for k in &mut accepted {
            if rng.f64() >= model.acceptance {
                break;
            }
            *k += 1;
        }
    }
    if model.invalid {
        accepted.iter_mut().for_each(|k| *k = rounds + 5);
    }
    let tokens = rounds + accepted.iter().sum::<u32>();
    let micros =
        (model.cost_us.0 + model.cost_us.1 * length as f64) * f64::from(rounds) * (0.9 + 0.2 * rng.f64());
    let positions: String = accepted.iter().map(|k| format!("{k};")).collect();
    format!(",accepted={rounds};{positions}{tokens};{}", micros as u64)
}

/// A relay for datagrams between two members. Each member uses the relay's address for the other. Each direction can be cut.
struct Link {
    members: [usize; 2],
    /// The addresses that each of the two members uses for the other.
    near: [SocketAddr; 2],
    cut: [Arc<AtomicBool>; 2],
    /// Sends each datagram twice.
    doubled: Arc<AtomicBool>,
    /// Ends the threads of the relay.
    stopped: Arc<AtomicBool>,
}

impl Link {
    fn new(members: [usize; 2], at: [SocketAddr; 2]) -> Self {
        let sockets: Vec<UdpSocket> = (0..2).map(|_| UdpSocket::bind("127.0.0.1:0").unwrap()).collect();
        let near = [0, 1].map(|k| sockets[k].local_addr().unwrap());
        let [first, second, doubled, stopped] = [0; 4].map(|_| Arc::new(AtomicBool::new(false)));
        let cut = [first, second];
        for k in 0..2 {
            let (from, to) = (sockets[k].try_clone().unwrap(), sockets[1 - k].try_clone().unwrap());
            let (cut, stopped, at) = (cut[k].clone(), stopped.clone(), at[1 - k]);
            let doubled = doubled.clone();
            from.set_read_timeout(Some(ms(50))).unwrap();
            spawn(move || {
                let mut buf = [0; 1_500];
                while !stopped.load(Relaxed) {
                    let Ok((n, _)) = from.recv_from(&mut buf) else { continue };
                    if !cut.load(Relaxed) {
                        let times = 1 + usize::from(doubled.load(Relaxed));
                        (0..times).for_each(|_| drop(to.send_to(&buf[..n], at)));
                    }
                }
            });
        }
        Self { members, near, cut, doubled, stopped }
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.stopped.store(true, Relaxed);
    }
}

/// A client that sends calls to an activator one after another.
struct Load {
    stopped: Arc<AtomicBool>,
    served: Arc<AtomicU64>,
    thread: Option<JoinHandle<u64>>,
}

impl Load {
    fn start(program: &Program) -> Self {
        let stopped = Arc::new(AtomicBool::new(false));
        let (ends, address) = (stopped.clone(), program.address);
        let all_served = Arc::new(AtomicU64::new(0));
        let count = all_served.clone();
        let thread = spawn(move || {
            let mut served = 0;
            while !ends.load(Relaxed) {
                let Ok(mut stream) = TcpStream::connect(address) else { break };
                stream.set_read_timeout(Some(LONG)).unwrap();
                while !ends.load(Relaxed) {
                    if stream.write_all(call("f", CLASS, &[], "x").as_bytes()).is_err() {
                        break;
                    }
                    // A killed activator sends no answer.
                    if !stream.peek(&mut [0]).is_ok_and(|n| n > 0) {
                        break;
                    }
                    match read_reply(&mut stream) {
                        Some(reply) => served += u64::from(reply.status == 200),
                        None => break,
                    }
                    count.store(served, Relaxed);
                    sleep(ms(4));
                }
            }
            served
        });
        Self { stopped, served: all_served, thread: Some(thread) }
    }

    /// Stops the client, and returns the number of calls that were served.
    fn stop(mut self) -> u64 {
        self.stopped.store(true, Relaxed);
        self.thread.take().map_or(0, |t| t.join().unwrap())
    }
}

/// Activators, the relays between them, and their host.
struct Fleet {
    programs: Vec<Option<Program>>,
    addrs: Vec<SocketAddr>,
    links: Vec<Link>,
    model: DraftHost,
    resolver: Resolver,
    /// Settings that are appended to the file of each activator.
    more: String,
}

/// Settings with which learning and forgetting are quick.
const QUICK: &str = "[drafts]\nperiod_ms = 60\nepoch_ms = 1000\nwindow = 6\nreview_ms = 200\nleast_rounds = 200\nexplore = 0.2\n\
    explore_per_s = 500\nversions_per_hour = 3600\n";

impl Fleet {
    /// Prepares `n` activators without starting them.
    fn prepare(n: usize, model: Model) -> Self {
        let sockets: Vec<_> = (0..n).map(|_| UdpSocket::bind("127.0.0.1:0").unwrap()).collect();
        let addrs: Vec<SocketAddr> = sockets.iter().map(|s| s.local_addr().unwrap()).collect();
        drop(sockets);
        let pairs = (0..n).flat_map(|a| (a + 1..n).map(move |b| [a, b]));
        let links = pairs.map(|pair| Link::new(pair, pair.map(|i| addrs[i]))).collect();
        let model = DraftHost::start(model);
        let resolver = Resolver::start(&[&model.host]);
        let programs = (0..n).map(|_| None).collect();
        Self { programs, addrs, links, model, resolver, more: QUICK.into() }
    }

    /// The address that member `of` uses for member `to`.
    fn near(&self, of: usize, to: usize) -> SocketAddr {
        let link = self.links.iter().find(|l| l.members.contains(&of) && l.members.contains(&to)).unwrap();
        link.near[usize::from(link.members[1] == of)]
    }

    fn file(&self, i: usize) -> String {
        let others = (0..self.addrs.len())
            .filter(|j| *j != i)
            .map(|j| format!("[[members.other]]\nname = \"m{j}\"\naddress = \"{}\"\n", self.near(i, j)));
        let others: String = others.collect();
        let at = self.addrs[i];
        let file = operator_file(self.resolver.address);
        format!(
            "{file}\n[members]\nname = \"m{i}\"\nlisten = \"{at}\"\nperiod_ms = 100\n{others}\n{}",
            self.more
        )
    }

    fn start(&mut self, i: usize) {
        self.programs[i] = Some(Program::start(&self.file(i), true));
    }

    fn process(&self, i: usize) -> &Program {
        self.programs[i].as_ref().expect("it runs")
    }

    fn view(&self, i: usize) -> serde_json::Value {
        let (status, view) = self.process(i).ask("GET", "/drafts", "");
        assert_eq!(status, 200);
        view
    }

    /// Rounds of member `of` that member `at` has counted, as reported by `of` itself, and as relayed by other members.
    fn rounds(&self, at: usize, of: usize) -> (u64, u64) {
        let view = self.view(at);
        let names = view["names"].as_object().unwrap();
        let number = names.iter().find(|(_, name)| **name == format!("m{of}")).map(|(n, _)| n.clone());
        let number = number.expect("the member's name is known").parse::<u64>().unwrap();
        let members = view["learnt"]["members"].as_array().unwrap();
        let member = members.iter().find(|m| m["member"] == number);
        member.map_or((0, 0), |m| (m["rounds"].as_u64().unwrap(), m["hearsay"].as_u64().unwrap()))
    }

    /// The length of the draft that a member has learnt to be best, in the load band of idle hosts.
    fn best(&self, at: usize) -> Option<u64> {
        let view = self.view(at);
        let best = view["learnt"]["workloads"][CLASS]["bands"][0]["best"].as_str()?.to_string();
        best.split_once(':')?.1.parse().ok()
    }

    /// The draft that a member proposes for the idle band.
    fn wanted(&self, at: usize) -> Option<String> {
        self.view(at)["wanted"][format!("{CLASS}/0")].as_str().map(str::to_string)
    }

    fn cut(&self, a: usize, b: usize, cut: bool) {
        let link = self.links.iter().find(|l| l.members.contains(&a) && l.members.contains(&b)).unwrap();
        link.cut.iter().for_each(|c| c.store(cut, Relaxed));
    }
}

fn serving(fleet: &Fleet) -> Vec<Load> {
    fleet.programs.iter().flatten().map(Load::start).collect()
}

fn started(n: usize, model: Model) -> (Fleet, Vec<Load>) {
    let mut fleet = Fleet::prepare(n, model);
    (0..n).for_each(|i| fleet.start(i));
    let loads = serving(&fleet);
    (fleet, loads)
}

#[test]
fn all_members_learn_from_each_other_and_want_the_same_draft() {
    let (fleet, loads) = started(3, GOOD);
    for i in 0..3 {
        wait_for("the others' counts", || (0..3).filter(|j| *j != i).all(|j| fleet.rounds(i, j).0 > 400));
        wait_for("a long draft", || fleet.wanted(i).is_some_and(|w| ["1:7", "1:8"].contains(&w.as_str())));
    }
    assert!(loads.into_iter().map(Load::stop).all(|served| served > 0));
    let view = fleet.view(0);
    assert_eq!(view["learnt"]["workloads"][CLASS]["members"], 3, "{view}");
    assert_eq!((&view["silent"], &view["unread"]), (&0.into(), &0.into()), "{view}");
    let seen = fleet.model.seen.lock().unwrap();
    let tried: u32 = seen.iter().filter(|(draft, _)| *draft != "0:0").map(|(_, n)| n).sum();
    let all: u32 = seen.values().sum();
    assert!(tried > 0 && tried * 3 < all, "without an agreed version only trials draft: {seen:?}");
}

#[test]
fn duplicated_datagrams_and_a_restart_count_nothing_twice() {
    let mut fleet = Fleet::prepare(3, GOOD);
    fleet.more = QUICK.replace("epoch_ms = 1000", "epoch_ms = 20000");
    fleet.links.iter().for_each(|l| l.doubled.store(true, Relaxed));
    (0..3).for_each(|i| fleet.start(i));
    let loads = serving(&fleet);
    wait_for("counts of the first", || fleet.rounds(1, 0).0 > 400 && fleet.rounds(2, 0).0 > 400);
    // The activator is killed while calls are open.
    fleet.programs[0].as_mut().unwrap().kill();
    fleet.programs[0] = None;
    sleep(ms(200));
    let (before, _) = fleet.rounds(1, 0);
    fleet.start(0);
    let again = Load::start(fleet.process(0));
    wait_for("counts after the restart", || fleet.rounds(1, 0).0 > before + 400);
    // The others relay to the restarted activator the counts that it had sent before the restart.
    wait_for("relayed counts from before the restart", || {
        let members = fleet.view(0)["learnt"]["members"].clone();
        members.as_array().unwrap().iter().any(|m| m["hearsay"].as_u64().unwrap() > 0)
    });
    let served: u64 = loads.into_iter().chain([again]).map(Load::stop).sum();
    assert!(served > 0);
    let own = |i: usize| {
        let view = fleet.view(i);
        let members = view["learnt"]["members"].as_array().unwrap().clone();
        let names = view["names"].as_object().unwrap().clone();
        let own_row = members.iter().find(|m| !names.contains_key(&m["member"].to_string())).unwrap();
        own_row["rounds"].as_u64().unwrap()
    };
    wait_for("the last counts", || fleet.rounds(1, 2).0 == own(2) && fleet.rounds(2, 1).0 == own(1));
    let calls: u32 = fleet.model.seen.lock().unwrap().values().sum();
    let all = own(1) + fleet.rounds(1, 0).0 + fleet.rounds(1, 2).0;
    assert!(all <= 40 * u64::from(calls), "{all} rounds of {calls} calls");
    assert!(
        all * 10 >= 40 * u64::from(calls) * 7,
        "{all} rounds of {calls} calls: only counts that were not sent before the kill may be lost"
    );
}

/// Deferred calls are open when their activator is killed, so their answers are lost. They are counted neither before nor after
/// the restart, also in what other members relay.
#[test]
fn deferred_calls_lost_by_a_kill_are_not_counted() {
    let mut fleet = Fleet::prepare(2, GOOD);
    fleet.more = QUICK.replace("epoch_ms = 1000", "epoch_ms = 20000");
    (0..2).for_each(|i| fleet.start(i));
    let healthy = |fleet: &Fleet| {
        let asked = request("GET", "/healthz", &[], "");
        wait_for("hosts", || fleet.process(0).http(&asked).status == 200);
    };
    let defer = |fleet: &Fleet, calls: u32| -> Vec<String> {
        let one = |_| fleet.process(0).http(&call("f", CLASS, &["Prefer: respond-async"], "x"));
        let replies: Vec<Reply> = (0..calls).map(one).collect();
        assert!(replies.iter().all(|r| r.status == 202));
        replies.iter().map(|r| r.header("location").unwrap().to_string()).collect()
    };
    let serve_ten = |fleet: &Fleet| {
        let results = defer(fleet, 10);
        assert!(results.iter().all(|at| fleet.process(0).collect(at).status == 200));
    };
    healthy(&fleet);
    serve_ten(&fleet);
    wait_for("their counts", || fleet.rounds(1, 0).0 == 400);
    // The host does not answer while this lock is held.
    let seen = fleet.model.seen.clone();
    let guard = seen.lock().unwrap();
    let lost = defer(&fleet, 2);
    wait_for("the calls", || fleet.view(0)["out"] == 2);
    fleet.programs[0].as_mut().unwrap().kill();
    fleet.programs[0] = None;
    drop(guard);
    wait_for("the end of the calls on the host", || seen.lock().unwrap().values().sum::<u32>() == 12);
    fleet.start(0);
    healthy(&fleet);
    let asked = request("GET", &lost[0], &[], "");
    assert_eq!(fleet.process(0).http(&asked).status, 404, "results are lost with their process");
    serve_ten(&fleet);
    wait_for("the counts from before and after the restart", || fleet.rounds(1, 0).0 == 800);
    // Several periods later, with messages in both directions, the counts are the same.
    sleep(ms(400));
    assert_eq!((fleet.rounds(1, 0).0, seen.lock().unwrap().values().sum::<u32>()), (800, 22));
}

#[test]
fn a_majority_learns_during_a_partition_that_acceptance_collapsed() {
    let mut fleet = Fleet::prepare(3, GOOD);
    fleet.more.push_str("start = \"1:8\"\n");
    (0..3).for_each(|i| fleet.start(i));
    let loads = serving(&fleet);
    for i in 0..3 {
        wait_for("long drafts", || fleet.best(i).is_some_and(|b| b >= 6));
        wait_for("the others' counts", || (0..3).all(|j| i == j || fleet.rounds(i, j).0 > 0));
    }
    fleet.cut(0, 1, true);
    fleet.cut(0, 2, true);
    *fleet.model.model.lock().unwrap() =
        Model { acceptance: 0.05, cost_us: (9_000.0, 4_000.0), invalid: false };
    for i in [1, 2] {
        wait_for("drafts to be off", || fleet.wanted(i).as_deref() == Some("0:0"));
    }
    // The isolated member proposes nothing from its own counts alone, also after it has forgotten the others' counts.
    let until = Instant::now() + Duration::from_secs(8);
    while Instant::now() < until {
        assert_eq!(fleet.wanted(0), None, "{}", fleet.view(0));
        sleep(ms(100));
    }
    let why = fleet.view(0)["learnt"]["workloads"][CLASS]["bands"][0]["why"].clone();
    assert_eq!(why, "it rests on the counts of one member");
    fleet.cut(0, 1, false);
    fleet.cut(0, 2, false);
    wait_for("drafts to be off for all", || fleet.wanted(0).as_deref() == Some("0:0"));
    assert!(loads.into_iter().map(Load::stop).all(|served| served > 0));
}

/// Sends the outgoing messages of a member from its own socket.
fn send_all(socket: &UdpSocket, to: &BTreeMap<MemberId, SocketAddr>, out: Vec<Output>) {
    for output in out {
        if let Output::Send { to: name, data } = output {
            let _ = socket.send_to(&[&DRAFTS_HEADER, &data[..]].concat(), to[&name]);
        }
    }
}

#[test]
fn forged_counts_of_a_member_have_no_effect_and_are_reported() {
    let model = Model { acceptance: 0.2, cost_us: (9_000.0, 3_000.0), invalid: false };
    let mut fleet = Fleet::prepare(4, model);
    (0..3).for_each(|i| fleet.start(i));
    let loads = serving(&fleet);
    // The fourth member is not a process. The test sends its datagrams.
    let socket = UdpSocket::bind(fleet.addrs[3]).unwrap();
    let number = |of: usize| {
        let names = fleet.view((of + 1) % 3)["names"].as_object().unwrap().clone();
        let found = names.iter().find(|(_, name)| **name == format!("m{of}")).unwrap();
        MemberId(found.0.parse().unwrap())
    };
    let to: BTreeMap<MemberId, SocketAddr> = (0..3).map(|i| (number(i), fleet.near(3, i))).collect();
    let quick =
        Settings { period: ms(60), epoch: ms(1_000), window: 6, review: ms(200), ..Settings::default() };
    let mut forger = DraftLearner::new(quick, number(3), 1, 1, Duration::ZERO).unwrap();
    forger.set_members(to.keys().copied(), 3);
    let (workload, begun) = (Workload::new(CLASS).unwrap(), Instant::now());
    let mut excluding = BTreeSet::new();
    let mut all_since = None;
    loop {
        let now = begun.elapsed();
        for (length, micros) in [(8u8, 900), (4, 900), (0, 90_000)] {
            let draft = Draft { drafter: u8::from(length > 0), length };
            let accepted = vec![20_000; length as usize];
            let (rounds, tokens) = (20_000, 20_000 * (u32::from(length) + 1));
            let time = Duration::from_micros(micros * 20_000);
            let call = CallStats {
                workload: workload.clone(),
                draft,
                band: 0,
                version: 0,
                rounds,
                accepted,
                tokens,
                time,
            };
            forger.record_call(now, &call).unwrap();
        }
        let mut out = Vec::new();
        forger.handle_timers(now, &mut out);
        send_all(&socket, &to, out);
        // A datagram that cannot be decoded.
        let _ = socket.send_to(&[&DRAFTS_HEADER[..], &[1, 9, 9, 9]].concat(), to[&number(0)]);
        for i in 0..3 {
            assert_eq!(fleet.wanted(i), None, "{}", fleet.view(i));
            let left_out = fleet.view(i)["learnt"]["workloads"][CLASS]["left_out"].clone();
            if left_out[number(3).0.to_string()].is_string() {
                excluding.insert(i);
            }
        }
        // Once all three members have left its counts out, the checks go on for 2 s.
        if excluding.len() == 3 {
            let since: &mut Instant = all_since.get_or_insert_with(Instant::now);
            if since.elapsed() > Duration::from_secs(2) {
                break;
            }
        }
        assert!(begun.elapsed() < 4 * LONG, "not left out by all: {excluding:?} {}", fleet.view(0));
        sleep(ms(50));
    }
    assert!(fleet.rounds(0, 3).0 > 0, "its counts were received");
    let unreadable = fleet.view(0)["learnt"]["refused"]["a datagram that cannot be read"].as_u64();
    assert!(unreadable.is_some_and(|n| n > 0), "{}", fleet.view(0));
    assert!(fleet.process(0).logged("is left out") > 0, "the log reports it");
    assert!(loads.into_iter().map(Load::stop).all(|served| served > 0));
}

#[test]
fn invalid_counts_of_a_host_are_refused() {
    let (fleet, loads) = started(1, Model { invalid: true, ..GOOD });
    let why = "more accepted at a position than at the one before it";
    wait_for("a refusal", || {
        let refused = fleet.view(0)["learnt"]["refused"][why].as_u64();
        refused.is_some_and(|n| n > 0)
    });
    assert_eq!(fleet.wanted(0), None);
    assert!(loads.into_iter().map(Load::stop).all(|served| served > 0), "its answers are passed on");
}

#[test]
fn without_drafts_settings_nothing_is_drafted_until_a_reload_adds_them() {
    let mut fleet = Fleet::prepare(1, GOOD);
    fleet.more.clear();
    fleet.start(0);
    assert_eq!(fleet.process(0).operate("GET", "/drafts", ""), 404);
    let load = Load::start(fleet.process(0));
    wait_for("a call", || fleet.process(0).http(&call("f", CLASS, &[], "x")).status == 200);
    // On a busy machine the client may begin after that call.
    wait_for("a call of the client", || load.served.load(Relaxed) > 0);
    assert!(load.stop() > 0);
    assert!(fleet.model.seen.lock().unwrap().is_empty(), "no call has a draft field");
    // A reload that adds the settings applies without a restart.
    let file = format!("{}\n{QUICK}", fleet.file(0));
    fleet.process(0).reload(&file);
    wait_for("the new file", || fleet.process(0).operate("GET", "/drafts", "") == 200);
    let load = Load::start(fleet.process(0));
    wait_for("drafts", || !fleet.model.seen.lock().unwrap().is_empty());
    assert!(load.stop() > 0);
}

#[rstest]
#[case::longest("longest = 9", "drafts.longest: 1 to 8")]
#[case::unknown_field("lengths = 3", "unknown field `lengths`")]
#[case::start("start = \"1:9\"", "drafts.start")]
fn invalid_settings_are_rejected(#[case] setup: &str, #[case] wanted: &str) {
    let file = operator_file("127.0.0.1:9".parse().unwrap());
    let (status, output) = turned_down(&format!("{file}\n[drafts]\n{setup}\n"), true);
    assert!(!status.success() && output.contains(wanted), "{output}");
}

/// Settings with which the draft table is agreed upon.
const AGREED: &str = "[accord]\nvoters = [\"m0\", \"m1\", \"m2\"]\nlease_ms = 1000\nperiod_ms = 100\n\
    [accord.floor]\n\"draft/check-score/0\" = \"1:1\"\n[accord.document]\n\"draft/check-score/0\" = \"1:1\"\n";

impl Fleet {
    /// The draft of the idle band in the table that a member applies.
    fn in_force(&self, at: usize) -> Option<String> {
        self.view(at)["table"][format!("{CLASS}/0")].as_str().map(str::to_string)
    }

    /// The agreed version that a member applies, 0 on the floor.
    fn version(&self, at: usize) -> u64 {
        self.view(at)["learnt"]["version"].as_u64().unwrap()
    }
}

/// Learnt drafts come into force as an agreed version. A minority publishes no version and falls back to the floor.
#[test]
fn learnt_drafts_come_into_force_by_agreement_but_not_in_a_minority() {
    let mut fleet = Fleet::prepare(3, GOOD);
    fleet.more.push_str(AGREED);
    (0..3).for_each(|i| fleet.start(i));
    let mut loads = serving(&fleet);
    let long = |w: Option<String>| w.is_some_and(|w| ["1:7", "1:8"].contains(&w.as_str()));
    for i in 0..3 {
        wait_for("long drafts in force", || long(fleet.in_force(i)));
    }
    let before = (0..3).map(|i| fleet.version(i)).max().unwrap();
    assert!(before > 0);
    // The third activator is killed and restarted, and applies the version in force.
    loads.pop().map(Load::stop);
    fleet.programs[2].as_mut().unwrap().kill();
    fleet.start(2);
    loads.push(Load::start(fleet.process(2)));
    wait_for("the version in force", || long(fleet.in_force(2)) && fleet.version(2) >= before);
    let before = (0..3).map(|i| fleet.version(i)).max().unwrap();
    fleet.cut(0, 1, true);
    fleet.cut(0, 2, true);
    *fleet.model.model.lock().unwrap() =
        Model { acceptance: 0.05, cost_us: (9_000.0, 4_000.0), invalid: false };
    for i in [1, 2] {
        wait_for("drafts to be off", || {
            assert!(fleet.version(0) <= before, "{}", fleet.view(0));
            fleet.in_force(i).as_deref() == Some("0:0")
        });
    }
    wait_for("the floor", || fleet.version(0) == 0 && fleet.in_force(0).as_deref() == Some("1:1"));
    let until = Instant::now() + Duration::from_secs(3);
    while Instant::now() < until {
        assert_eq!(
            (fleet.version(0), fleet.in_force(0).as_deref()),
            (0, Some("1:1")),
            "a minority must publish no version"
        );
        sleep(ms(50));
    }
    fleet.cut(0, 1, false);
    fleet.cut(0, 2, false);
    wait_for("drafts to be off for all", || fleet.in_force(0).as_deref() == Some("0:0"));
    assert!(fleet.version(0) > before);
    assert!(loads.into_iter().map(Load::stop).all(|served| served > 0));
}
