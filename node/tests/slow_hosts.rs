//! Hosts that write or read slowly, and hosts at whose address another process has come up.

mod common;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use common::raw_host::{apply_changes, platform_of, RawHost, READY};
use common::*;
use rstest::rstest;

const SERVED: u8 = 79;
/// By how much an answer may come after its time.
const SLACK: Duration = Duration::from_millis(50);

/// Both fronts before one host, for calls of the class `send-mail`, which may not be repeated.
enum Front {
    Platform(Platform),
    Invoke(Program, #[allow(dead_code)] Resolver),
}

impl Front {
    fn start(platform: bool, host: SocketAddr) -> Self {
        if platform {
            return Self::Platform(platform_of(&[(0, host)], |text| text));
        }
        let resolver = Resolver::start(&[]);
        resolver.zone.lock().unwrap().instances.push(("h0".into(), host.port(), vec!["cell=0".into()]));
        let program = Program::start(&operator_file(resolver.address), true);
        wait_for("hosts", || program.http(&request("GET", "/healthz", &[], "")).status == 200);
        Self::Invoke(program, resolver)
    }

    fn address(&self) -> SocketAddr {
        match self {
            Self::Platform(p) => p.program.address,
            Self::Invoke(p, _) => p.address,
        }
    }
}

/// Calls a front with this timeout: whether it was served, the body, and how long the answer took.
fn call_front(
    (address, platform): (SocketAddr, bool),
    number: u32,
    class: &str,
    timeout: u32,
    body: &str,
) -> (bool, Vec<u8>, Duration) {
    let mut client = TcpStream::connect(address).unwrap();
    client.set_read_timeout(Some(LONG)).unwrap();
    let begun = Instant::now();
    if platform {
        let id = format!("{number:016x}");
        let names = [&id, class, "k", "7f3a9c21e0b4d655"];
        client.write_all(&whole_call_frame(1, names, timeout, body.as_bytes())).unwrap();
        let answer = read_frame(&mut client).expect("an answer");
        return (answer.code == SERVED, answer.body, begun.elapsed());
    }
    let timeout = format!("Wheellink-Timeout-Ms: {timeout}");
    client.write_all(call("7f3a9c21e0b4d655", class, &[&timeout], body).as_bytes()).unwrap();
    let reply = read_reply(&mut client).expect("an answer");
    (reply.status == 200, reply.body, begun.elapsed())
}

/// Guards against a bound on the time of an answer that is shorter than the time that its client waits.
#[rstest]
fn a_long_answer_that_a_host_writes_slowly_is_passed_on(#[values(true, false)] platform: bool) {
    // 49 bytes with a pause after each: 5.4 s from the first to the last.
    const ANSWER: &str = "ID 200 tell=warm 12\r\nslowly given\r\n";
    let host = Host::start(Ways { does: Does::Drips(ANSWER, ms(110)), work: ms(0), load: None });
    let front = Front::start(platform, host.address);
    let (served, body, time) = call_front((front.address(), platform), 1, "send-mail", 7000, "");
    assert!(served && body == b"slowly given", "served={served} after {time:?}");
}

/// A host with small buffers that reads so many bytes each 10 ms and never answers.
fn slow_reader(bytes: usize) -> SocketAddr {
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

/// Guards against a final answer that waits for a request to be written whole to its host.
#[rstest]
fn answers_are_on_time_while_a_host_reads_large_requests_slowly(
    #[values(true, false)] platform: bool,
    #[values("check-score", "save-answers", "send-mail")] class: &str,
    #[values(1, 100)] bytes: usize,
) {
    let front = Front::start(platform, slow_reader(bytes));
    let body = "x".repeat(16 << 10);
    std::thread::scope(|scope| {
        let timeout = |n: u32| 400 + 40 * n;
        let (front, body) = ((front.address(), platform), &body);
        let one = |n| (n, scope.spawn(move || call_front(front, n, class, timeout(n), body).2));
        let calls: Vec<_> = (1..=12).map(one).collect();
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
    for round in 0..8u32 {
        let (host, other) = (RawHost::start(), Host::warm());
        let address = host.address;
        let mut p = platform_of(&[(0, address)], |text| text);
        let at = p.program.address;
        let client = spawn(move || call_front((at, true), 1, "save-answers", 3000, "first"));
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
    let host = RawHost::start();
    let address = host.address;
    let front = Front::start(platform, address);
    let (at, class) = (front.address(), class.to_string());
    let client = spawn(move || call_front((at, platform), 1, &class, 3000, "first"));
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
    assert!(call_front((at, platform), 2, "save-answers", 3000, "second").0);
}

/// A host that breaks one of its connections and keeps another is the same process: a keyed call is repeated there.
#[test]
fn a_keyed_call_is_repeated_at_a_host_that_kept_another_connection() {
    let host = RawHost::start();
    let front = Front::start(true, host.address);
    let at = front.address();
    let call = move |n: u32| spawn(move || call_front((at, true), n, "save-answers", 3000, "call"));
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
    let front = Front::start(true, host.address);
    let Front::Platform(p) = &front else { panic!("the platform") };
    let (served, _, time) = call_front((front.address(), true), 1, "send-mail", 1000, "");
    assert!(!served && time < ms(1000) + SLACK, "served={served} after {time:?}");
    wait_for("the connection's end", || p.program.logged("conn host s-00000000 ended") == 1);
}
