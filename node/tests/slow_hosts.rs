//! Hosts that write or read slowly, and hosts at whose address another process has come up.

mod common;

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{PoisonError, RwLock};
use std::thread::spawn;
use std::time::{Duration, Instant};

use common::raw_host::{apply_changes, platform_of, RawHost, READY};
use common::*;
use rstest::rstest;
use wheellink_lab::flood::Front;

/// By how much an answer may come after its time.
const SLACK: Duration = Duration::from_millis(50);

/// Held for writing by tests that listen at an address a second time, for reading by those with many clients: the system
/// gives a client's connection the first free port, which may be that of a host that has gone.
static PORTS: RwLock<()> = RwLock::new(());

/// A program before one host.
struct Setup {
    address: SocketAddr,
    front: Front,
    platform: Option<Platform>,
    _operator: Option<(Program, Resolver)>,
}

impl Setup {
    fn start(platform: bool, host: SocketAddr) -> Self {
        if platform {
            let platform = platform_of(&[(0, host)], |text| text);
            let address = platform.program.address;
            return Self { address, front: Front::Platform, platform: Some(platform), _operator: None };
        }
        let resolver = Resolver::start(&[]);
        resolver.zone.lock().unwrap().instances.push(("h0".into(), host.port(), vec!["cell=0".into()]));
        let program = Program::start(&operator_file(resolver.address), true);
        wait_for("hosts", || program.http(&request("GET", "/healthz", &[], "")).status == 200);
        let address = program.address;
        Self { address, front: Front::Invoke, platform: None, _operator: Some((program, resolver)) }
    }

    fn at(&self) -> (SocketAddr, Front) {
        (self.address, self.front)
    }
}

/// Calls with this timeout: whether it was served, the body, and how long the answer took.
fn call_front(
    (address, front): (SocketAddr, Front),
    number: u32,
    class: &str,
    timeout: u32,
    body: &str,
) -> (bool, Vec<u8>, Duration) {
    let mut client = TcpStream::connect(address).unwrap();
    client.set_read_timeout(Some(LONG)).unwrap();
    let (id, names) = (format!("{number:016x}"), (class, "7f3a9c21e0b4d655"));
    let begun = Instant::now();
    client.write_all(&front.call((&id, 1), names, ms(timeout.into()), body)).unwrap();
    let (served, body) = front.answer(&mut client).expect("an answer");
    (served, body, begun.elapsed())
}

/// Guards against a bound on the time of an answer that is shorter than the time that its client waits.
#[rstest]
fn a_long_answer_that_a_host_writes_slowly_is_passed_on(#[values(true, false)] platform: bool) {
    // 49 bytes with a pause after each: 5.4 s from the first to the last.
    const ANSWER: &str = "ID 200 tell=warm 12\r\nslowly given\r\n";
    let host = Host::start(Ways { does: Does::Drips(ANSWER, ms(110)), work: ms(0), load: None });
    let front = Setup::start(platform, host.address);
    let (served, body, time) = call_front(front.at(), 1, "send-mail", 7000, "");
    assert!(served && body == b"slowly given", "served={served} after {time:?}");
}

/// Guards against a final answer that waits for a request to be written whole to its host.
#[rstest]
fn answers_are_on_time_while_a_host_reads_large_requests_slowly(
    #[values(true, false)] platform: bool,
    #[values("check-score", "save-answers", "send-mail")] class: &str,
    #[values(1, 100)] bytes: usize,
) {
    let front = Setup::start(platform, slow_reader(bytes));
    assert_answers_are_on_time(&front, class, 12, 16 << 10);
}

/// The same with more calls than the connections to a host carry at once.
#[rstest]
fn answers_are_on_time_while_a_host_reads_very_many_large_requests_slowly(
    #[values(true, false)] platform: bool,
) {
    // Clients may hold half of the configuration's 256 sockets; others wait until a place is free.
    const CALLS: u32 = 120;
    let front = Setup::start(platform, slow_reader(100));
    assert_answers_are_on_time(&front, "send-mail", CALLS, 16 << 10);
}

/// Sends calls with different timeouts side by side: each has its final answer in time.
fn assert_answers_are_on_time(front: &Setup, class: &str, calls: u32, body_bytes: usize) {
    let _ports = PORTS.read().unwrap_or_else(PoisonError::into_inner);
    let body = "x".repeat(body_bytes);
    std::thread::scope(|scope| {
        let timeout = |n: u32| 400 + 40 * (n % 50);
        let (front, body) = (front.at(), &body);
        let one = |n| (n, scope.spawn(move || call_front(front, n, class, timeout(n), body).2));
        let calls: Vec<_> = (1..=calls).map(one).collect();
        let late = |(n, call): (u32, std::thread::ScopedJoinHandle<Duration>)| {
            let time = call.join().unwrap();
            (time > Duration::from_millis(timeout(n).into()) + SLACK).then_some((timeout(n), time))
        };
        let late: Vec<_> = calls.into_iter().filter_map(late).collect();
        assert!(late.is_empty(), "{late:?}");
    });
}

/// A keyed call whose host dies under it, and another process at the host's address, while the list also has a second host
/// of the cell: a repeat goes there.
#[test]
fn a_keyed_call_whose_host_died_is_repeated_at_another_host_of_its_cell() {
    let _ports = PORTS.write().unwrap_or_else(PoisonError::into_inner);
    for round in 0..8u32 {
        let (host, other) = (RawHost::start(), Host::warm());
        let address = host.address;
        let mut p = platform_of(&[(0, address)], |text| text);
        let at = (p.program.address, Front::Platform);
        let client = spawn(move || call_front(at, 1, "save-answers", 3000, "first"));
        let mut conn = host.accept();
        conn.call();
        apply_changes(&p.program, &mut p.feed, 2, &[(1 + round, other.address, READY)]);
        drop(host);
        drop(conn);
        let warm = Ways { does: Does::Answer("200"), work: ms(1), load: None };
        let new = Host::on(TcpListener::bind(address).unwrap(), warm);
        let (served, ..) = client.join().unwrap();
        assert_eq!((new.calls(), other.calls(), served), (0, 1, true), "round {round}");
    }
}

/// Guards against a process that came up at a host's address and is taken for that host before the list says who it is:
/// a keyed call whose repeats only the old process knew would run twice.
#[rstest]
fn a_call_is_not_repeated_at_a_process_that_came_up_at_its_hosts_address(
    #[values(true, false)] platform: bool,
    #[values("save-answers", "send-mail")] class: &str,
) {
    let _ports = PORTS.write().unwrap_or_else(PoisonError::into_inner);
    let host = RawHost::start();
    let address = host.address;
    let front = Setup::start(platform, address);
    let (at, class) = (front.at(), class.to_string());
    let client = spawn(move || call_front(at, 1, &class, 3000, "first"));
    let mut conn = host.accept();
    conn.call();
    // The process ends, and with it its connections.
    drop(host);
    drop(conn);
    let warm = Ways { does: Does::Answer("200"), work: ms(1), load: None };
    let new = Host::on(TcpListener::bind(address).unwrap(), warm);
    let (served, _, time) = client.join().unwrap();
    assert_eq!((new.calls(), served), (0, false));
    assert!(time < ms(3000) + SLACK, "{time:?}");
    // Other calls are served there: the list still has the host.
    assert!(call_front(at, 2, "save-answers", 3000, "second").0);
}

/// A host that breaks one of its connections and keeps another is the same process: a keyed call is repeated there.
#[test]
fn a_keyed_call_is_repeated_at_a_host_that_kept_another_connection() {
    let host = RawHost::start();
    let front = Setup::start(true, host.address);
    let at = front.at();
    let call = move |n: u32| spawn(move || call_front(at, n, "save-answers", 3000, "call"));
    let first = call(1);
    let mut kept = host.accept();
    let kept_id = kept.call();
    let second = call(2);
    let mut broken = host.accept();
    broken.call();
    broken.reset();
    let mut again = host.accept();
    let id = again.call();
    again.say(&format!("{id} 200 tell=warm 2\r\nok\r\n"));
    assert!(second.join().unwrap().0);
    kept.say(&format!("{kept_id} 200 tell=warm 2\r\nok\r\n"));
    assert!(first.join().unwrap().0);
}

/// An answer that nobody waits for any more ends its connection, as answers behind it wait.
#[test]
fn an_abandoned_answer_that_a_host_writes_slowly_ends_its_connection() {
    const ANSWER: &str =
        "ID 200 tell=warm 60\r\nof no use to anybody any more, of no use to anybody any more!\r\n";
    let host = Host::start(Ways { does: Does::Drips(ANSWER, ms(110)), work: ms(0), load: None });
    let front = Setup::start(true, host.address);
    let p = front.platform.as_ref().expect("the platform");
    let (served, _, time) = call_front(front.at(), 1, "send-mail", 1000, "");
    assert!(!served && time < ms(1000) + SLACK, "served={served} after {time:?}");
    wait_for("the connection's end", || p.program.logged("conn host s-00000000 ended") == 1);
}
