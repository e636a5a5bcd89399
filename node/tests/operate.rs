//! Calls of operators at the control address, on real sockets.

mod common;

use std::io::Write;
use std::thread::sleep;
use std::time::Instant;

use common::*;

const SERVED: u8 = 79;
const REFUSED: u8 = 66;

/// Sends a call and expects that it is served.
fn call_served(client: &mut std::net::TcpStream, stream: u32, class: &str) {
    client.write_all(&call_frame(stream, class, 4000, b"")).unwrap();
    assert_eq!(read_frame(client).unwrap().code, SERVED);
}

/// Guards against operators being locked out by connections that never complete a request.
#[test]
fn incomplete_operator_requests_delay_no_other() {
    let host = Host::warm();
    let p = platform(&[&host]);
    wait_for("readiness", || p.program.status() == 200);
    let stuck: Vec<_> = (0..40).map(|_| p.program.connect_control()).collect();
    stuck.iter().for_each(|mut s| s.write_all(b"POST /standby HTTP/1.1\r\n").unwrap());
    let sent = Instant::now();
    assert_eq!(p.program.status(), 200);
    assert!(sent.elapsed() < ms(500));
    drop(stuck);
    assert_eq!(p.program.operate("GET", "/standby", ""), 405);
    assert_eq!(p.program.operate("POST", "/maintenance/enter", "{}"), 400);
    call_served(&mut p.program.connect(), 1, "send-mail");
}

/// A process that starts reports that it is ready only once its host list is as new as the bus.
#[test]
fn a_process_is_not_ready_without_its_host_list() {
    let host = Host::warm();
    let bus = Bus::start();
    let program = Program::start(&config(bus.address, &[&host]), false);
    let early = program.status();
    let (_, mut feed) = bus.greeted();
    feed.write_all(&event(2, false, &[(1, host.address, 2)])).unwrap();
    wait_for("readiness", || program.status() == 200);
    assert_eq!(early, 503);
}

/// A host that an operator takes out of service gets no new calls, whatever the host list says, and running calls may
/// end. Once it is put back, it is used again although no function is loaded there.
#[test]
fn a_host_out_of_service_gets_no_calls_until_it_is_put_back() {
    let slow = || Host::start(Ways { does: Does::Answer("200"), work: ms(300), load: Some(ms(10)) });
    let (a, b) = (slow(), slow());
    let mut p = platform(&[&a, &b]);
    let mut client = p.program.connect();
    call_served(&mut client, 1, "check-score");
    let (used, number, other) = if a.calls() > b.calls() { (&a, 0, &b) } else { (&b, 1, &a) };
    client.write_all(&call_frame(2, "send-mail", 4000, b"")).unwrap();
    let runs = used.calls() + 1;
    wait_for("the call", || used.calls() == runs);
    assert_eq!((p.program.maintain("enter", number), p.program.maintain("enter", number)), (200, 200));
    assert_eq!((p.program.maintain("enter", 77), p.program.maintain("exit", 77)), (404, 404));
    assert_eq!(read_frame(&mut client).unwrap().code, SERVED, "a running call may end");
    // The host leaves the list, and comes back as a new process.
    p.feed.write_all(&event(2, false, &[(number, used.address, 2)])).unwrap();
    p.feed.write_all(&event(3, false, &[(number, used.address, 0)])).unwrap();
    let before = (used.calls(), used.seen.lock().unwrap().orders.len());
    (3..7).for_each(|stream| call_served(&mut client, stream, "check-score"));
    assert_eq!((used.calls(), used.seen.lock().unwrap().orders.len()), before);
    assert!(other.calls() >= 4);
    used.seen.lock().unwrap().loaded.clear();
    assert_eq!((p.program.maintain("exit", number), p.program.maintain("exit", number)), (200, 200));
    let mut stream = 7;
    wait_for("traffic", || {
        call_served(&mut client, stream, "check-score");
        stream += 1;
        used.calls() > before.0
    });
}

/// A drained activator reports at once that it is not ready and tells its clients. Open requests are answered, and idle
/// connections are closed. After `/active` it accepts clients again.
#[test]
fn a_drained_activator_dismisses_its_clients_and_accepts_them_again() {
    let host = Host::start(Ways { does: Does::Answer("200"), work: ms(1800), load: None });
    let p = platform(&[&host]);
    wait_for("readiness", || p.program.status() == 200);
    let (mut busy, mut idle) = (p.program.connect(), p.program.connect());
    busy.write_all(&call_frame(1, "send-mail", 4000, b"")).unwrap();
    wait_for("the call", || host.calls() == 1);
    host.ways.lock().unwrap().work = ms(1);
    call_served(&mut idle, 2, "send-mail");
    assert_eq!((p.program.operate("POST", "/standby", ""), p.program.status()), (200, 503));
    let drained = Instant::now();
    assert_eq!(read_frame(&mut idle).unwrap().kind, 6);
    let mut late = p.program.connect();
    late.write_all(&[client_frame(4, 1, &[0]), call_frame(3, "send-mail", 4000, b"")].concat()).unwrap();
    assert_eq!(read_frame(&mut late).unwrap().kind, 6);
    assert_eq!(read_frame(&mut late).unwrap().code, REFUSED, "it is not ready");
    assert_eq!(read_frame(&mut late).unwrap().code, SERVED);
    assert_eq!((read_frame(&mut idle), read_frame(&mut late)), (None, None));
    assert_eq!(read_frame(&mut busy).unwrap().kind, 6);
    assert_eq!(read_frame(&mut busy).unwrap().code, SERVED, "the call was open when the drain began");
    assert_eq!(read_frame(&mut busy), None);
    assert!(drained.elapsed() < ms(3500), "{:?}", drained.elapsed());
    assert_eq!((p.program.operate("POST", "/active", ""), p.program.status()), (200, 200));
    let mut client = p.program.connect();
    call_served(&mut client, 4, "send-mail");
    sleep(ms(400));
    call_served(&mut client, 5, "send-mail");
}

/// The calls of operators work the same with the invoke front.
#[test]
fn the_invoke_front_is_operated_the_same_way() {
    let (a, b) = (Host::warm(), Host::warm());
    let (program, _resolver) = operator(&[&a, &b], |text| text);
    let mut client = program.connect();
    let call = call("f1", "send-mail", &[], "x");
    client.write_all(call.as_bytes()).unwrap();
    assert_eq!(read_reply(&mut client).unwrap().status, 200);
    let used = if a.calls() == 1 { "h0" } else { "h1" };
    let named = format!("{{\"host\":\"{used}._script-host._tcp.hosts.test.\"}}");
    assert_eq!(program.operate("POST", "/maintenance/enter", &named), 200);
    client.write_all(call.as_bytes()).unwrap();
    assert_eq!(read_reply(&mut client).unwrap().status, 200);
    assert_eq!((a.calls(), b.calls()), (1, 1));
    assert_eq!((program.operate("POST", "/standby", ""), program.status()), (200, 503));
    assert!(read_reply(&mut client).is_none(), "idle connections are closed");
    assert_eq!(program.http(&call).header("connection"), Some("close"));
    assert_eq!((program.operate("POST", "/active", ""), program.status()), (200, 200));
}
