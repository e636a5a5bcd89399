//! The invoke front with stand-in hosts and a stand-in resolver; each test checks one rule.

mod common;

use std::collections::BTreeMap;
use std::io::Write;
use std::thread::sleep;
use std::time::Instant;

use common::*;
use rstest::rstest;

const ASYNC: &str = "Prefer: respond-async";

fn unchanged(text: String) -> String {
    text
}

#[test]
fn a_call_is_forwarded_unchanged_and_served() {
    let host = Host::warm();
    let (program, _dns) = operator(&[&host], unchanged);
    let mut client = program.connect();
    for body in ["one", "two"] {
        client.write_all(call("f1", "save-answers", &["Idempotency-Key: \"k-7\""], body).as_bytes()).unwrap();
        let reply = read_reply(&mut client).unwrap();
        assert_eq!((reply.status, reply.body), (200, format!("did {body}").into_bytes()));
    }
    let seen = host.seen.lock().unwrap();
    let (line, body) = &seen.calls[0];
    assert!(line.contains(" cls=save-answers,item=f1,limit=") && line.ends_with(",nonce=k-7 3"), "{line}");
    let limit: u32 = line.split("limit=").nth(1).unwrap().split(',').next().unwrap().parse().unwrap();
    assert!((3_000..=4_000).contains(&limit), "the class gives up after 4 s, not {limit} ms");
    assert_eq!(body, b"one");
}

#[rstest]
#[case::unknown_path("GET", "/v1", &[], 404)]
#[case::no_class("POST", "/v1/functions/f/calls", &[], 400)]
#[case::unknown_class("POST", "/v1/functions/f/calls", &["Wheellink-Class: zap"], 400)]
#[case::unknown_tenant("POST", "/v1/functions/f/calls", &["Wheellink-Class: send-mail", "Wheellink-Tenant: zap"], 400)]
#[case::bad_name("POST", "/v1/functions/a=b/calls", &["Wheellink-Class: send-mail"], 400)]
#[case::zero_timeout("POST", "/v1/functions/f/calls", &["Wheellink-Class: send-mail", "Wheellink-Timeout-Ms: 0"], 400)]
#[case::bad_key("POST", "/v1/functions/f/calls", &["Wheellink-Class: send-mail", "Idempotency-Key: a,b"], 400)]
#[case::bad_deferred("POST", "/v1/functions/f/calls", &[ASYNC, "Wheellink-Class: zap"], 400)]
#[case::wrong_method("PUT", "/v1/functions/f/calls", &[], 405)]
#[case::no_result("GET", "/v1/results/0", &[], 404)]
#[case::nothing_to_cancel("DELETE", "/v1/results/0", &[], 404)]
#[case::post_to_results("POST", "/v1/results/0", &[], 405)]
fn bad_input_gets_its_status(
    #[case] method: &str,
    #[case] path: &str,
    #[case] headers: &[&str],
    #[case] status: u16,
) {
    let program = Program::start(&operator_file("127.0.0.1:9".parse().unwrap()), true);
    let mut client = program.connect();
    client.write_all(request(method, path, headers, "x").as_bytes()).unwrap();
    let reply = read_reply(&mut client).unwrap();
    assert_eq!((reply.status, reply.header("content-type")), (status, Some("application/problem+json")));
    // The connection still works.
    client.write_all(request("GET", "/healthz", &[], "").as_bytes()).unwrap();
    assert_eq!(read_reply(&mut client).unwrap().status, 503);
}

#[test]
fn an_unreadable_request_is_answered_and_ends_its_connection() {
    let program = Program::start(&operator_file("127.0.0.1:9".parse().unwrap()), true);
    let mut client = program.connect();
    let body = "y".repeat(100_000);
    client.write_all(request("POST", "/v1/functions/f/calls", &[], &body).as_bytes()).unwrap();
    assert_eq!(read_reply(&mut client).unwrap().status, 413);
    assert!(read_reply(&mut client).is_none());
    drop(client);
    wait_for("its line in the log", || program.logged("ended reason=protocol") == 1);
}

#[test]
fn without_hosts_a_call_is_refused_early_with_retry_after() {
    let program = Program::start(&operator_file("127.0.0.1:9".parse().unwrap()), true);
    let begun = Instant::now();
    let reply = program.http(&call("f", "send-mail", &[], "x"));
    assert_eq!((reply.status, reply.header("retry-after")), (503, Some("1")));
    assert!(begun.elapsed() < ms(2_000), "half of the 4 s at most: {:?}", begun.elapsed());
}

#[rstest]
#[case::timeout_header(&["Wheellink-Timeout-Ms: 300"], 300)]
#[case::wait(&["Prefer: wait=1"], 1_000)]
fn a_call_to_a_silent_host_ends_with_the_clients_timeout(#[case] headers: &[&str], #[case] time: u64) {
    let host = Host::warm();
    host.ways.lock().unwrap().does = Does::Nothing;
    let (program, _dns) = operator(&[&host], unchanged);
    let begun = Instant::now();
    assert_eq!(program.http(&call("f", "send-mail", headers, "x")).status, 504);
    let took = begun.elapsed();
    assert!(took > ms(time - 100) && took < ms(time + 1_500), "{took:?}");
    wait_for("the KILL", || host.kills() == 1);
}

#[rstest]
#[case::error_of_mail("500", "send-mail", 502, 1)]
#[case::error_of_read("500", "check-score", 503, 2)]
#[case::full("503", "send-mail", 503, 2)]
fn the_hosts_status_decides_the_response_and_the_retries(
    #[case] host_status: &'static str,
    #[case] class: &str,
    #[case] status: u16,
    #[case] least: usize,
) {
    let (a, b) = (Host::warm(), Host::warm());
    for host in [&a, &b] {
        host.ways.lock().unwrap().does = Does::Answer(host_status);
    }
    let (program, _dns) = operator(&[&a, &b], unchanged);
    let reply = program.http(&call("f", class, &[], "x"));
    assert_eq!((reply.status, reply.header("retry-after").is_some()), (status, status == 503));
    let calls = a.calls() + b.calls();
    assert!(calls >= least && calls <= 5 && (status != 502 || calls == 1), "{calls} attempts");
}

#[test]
fn a_miss_leads_to_a_load_order_and_a_retry() {
    let host = Host::start(Ways { does: Does::Answer("200"), work: ms(1), load: Some(ms(100)) });
    let (program, _dns) = operator(&[&host], unchanged);
    assert_eq!(program.http(&call("f9", "send-mail", &[], "x")).status, 200);
    let seen = host.seen.lock().unwrap();
    assert!(seen.orders.iter().all(|o| o.contains(" item=f9,copies=")), "{:?}", seen.orders);
    assert_eq!((seen.orders.len(), seen.runs["x"]), (1, 1));
}

#[test]
fn a_synchronous_call_whose_client_leaves_during_the_load_never_runs() {
    let host = Host::start(Ways { does: Does::Answer("200"), work: ms(1), load: Some(ms(400)) });
    let (program, _dns) = operator(&[&host], unchanged);
    let mut client = program.connect();
    client.write_all(call("f", "send-mail", &[], "x").as_bytes()).unwrap();
    wait_for("the order", || host.seen.lock().unwrap().orders.len() == 1);
    drop(client);
    wait_for("the load", || host.seen.lock().unwrap().loaded.len() == 1);
    sleep(ms(100));
    assert_eq!(host.runs("x"), 0);
}

#[test]
fn a_synchronous_call_whose_client_leaves_is_killed_at_its_host() {
    let host = Host::warm();
    host.ways.lock().unwrap().does = Does::Nothing;
    let (program, _dns) = operator(&[&host], unchanged);
    let mut client = program.connect();
    client.write_all(call("f", "check-score", &[], "x").as_bytes()).unwrap();
    wait_for("the call", || host.calls() == 1);
    drop(client);
    wait_for("the KILL", || host.kills() == 1);
    assert_eq!(host.calls(), 1);
}

#[test]
fn a_deferred_call_outlives_its_connection_and_its_result_can_be_collected() {
    let host = Host::start(Ways { does: Does::Answer("200"), work: ms(200), load: Some(ms(100)) });
    let (program, _dns) = operator(&[&host], unchanged);
    let mut client = program.connect();
    client.write_all(call("f", "send-mail", &[ASYNC], "x").as_bytes()).unwrap();
    let reply = read_reply(&mut client).unwrap();
    assert_eq!((reply.status, reply.header("preference-applied")), (202, Some("respond-async")));
    drop(client);
    let location = reply.header("location").unwrap();
    assert_eq!(program.http(&request("GET", location, &[], "")).status, 202);
    for _ in 0..2 {
        let reply = program.collect(location);
        assert_eq!((reply.status, reply.body.as_slice()), (200, &b"did x"[..]));
    }
    assert_eq!((host.runs("x"), host.kills()), (1, 0));
    assert_eq!(program.http(&request("DELETE", location, &[], "")).status, 204);
    assert_eq!(program.http(&request("GET", location, &[], "")).status, 404);
}

#[test]
fn a_deferred_call_is_cancelled_by_delete() {
    let host = Host::warm();
    host.ways.lock().unwrap().does = Does::Nothing;
    let (program, _dns) = operator(&[&host], unchanged);
    let reply = program.http(&call("f", "send-mail", &[ASYNC], "x"));
    wait_for("the call", || host.calls() == 1);
    let location = reply.header("location").unwrap();
    assert_eq!(program.http(&request("DELETE", location, &[], "")).status, 204);
    wait_for("the KILL", || host.kills() == 1);
    assert_eq!(program.http(&request("GET", location, &[], "")).status, 404);
}

#[test]
fn results_are_limited_in_number_and_expire() {
    let host = Host::warm();
    host.ways.lock().unwrap().does = Does::Nothing;
    let few =
        |text: String| text.replace("most = 1000", "most = 2").replace("keep_ms = 60000", "keep_ms = 100");
    let (program, _dns) = operator(&[&host], few);
    let defer = || program.http(&call("f", "send-mail", &[ASYNC], "x"));
    let (first, second, third) = (defer(), defer(), defer());
    assert_eq!((first.status, second.status), (202, 202));
    assert_eq!((third.status, third.header("retry-after")), (429, Some("1")));
    assert_eq!(program.http(&request("DELETE", first.header("location").unwrap(), &[], "")).status, 204);
    host.ways.lock().unwrap().does = Does::Answer("200");
    let fourth = defer();
    assert_eq!(fourth.status, 202);
    let location = fourth.header("location").unwrap();
    wait_for("the end of its time", || program.http(&request("GET", location, &[], "")).status == 404);
}

/// Synchronous and deferred calls mixed; counts every answer and every run.
#[test]
fn mixed_calls_get_one_answer_each_and_no_mail_runs_twice() {
    let ways = || Ways { does: Does::Answer("200"), work: ms(20), load: Some(ms(60)) };
    let hosts = [Host::start(ways()), Host::start(ways()), Host::start(ways())];
    let (program, _dns) = operator(&[&hosts[0], &hosts[1], &hosts[2]], unchanged);
    let (mut waiting, mut deferred, mut left) = (Vec::new(), Vec::new(), Vec::new());
    for i in 0..60 {
        let class = ["check-score", "save-answers", "send-mail"][i % 3];
        let (function, body) = (format!("f{}", i % 4), format!("{class}-{i}"));
        let mut client = program.connect();
        let headers: &[&str] = if i % 2 == 0 { &[] } else { &[ASYNC] };
        client.write_all(call(&function, class, headers, &body).as_bytes()).unwrap();
        match (i % 2, i % 10) {
            // Some waiting clients leave at once, some of them during a load.
            (0, 4) => left.push(body),
            (0, _) => waiting.push((client, body)),
            // A deferred call's client always leaves after its 202.
            _ => deferred
                .push((read_reply(&mut client).unwrap().header("location").unwrap().to_string(), body)),
        }
        sleep(ms(3));
    }
    let mut answers = BTreeMap::new();
    for (mut client, body) in waiting {
        let reply = read_reply(&mut client).unwrap();
        answers.insert(body, (reply.status, reply.body));
        // Exactly one answer: then the connection ends.
        client.shutdown(std::net::Shutdown::Write).unwrap();
        assert!(read_reply(&mut client).is_none());
    }
    for (location, body) in deferred {
        let reply = program.collect(&location);
        answers.insert(body, (reply.status, reply.body));
    }
    let runs = |body: &str| hosts.iter().map(|h| h.runs(body)).sum::<u32>();
    for (body, (status, text)) in &answers {
        match status {
            200 => assert_eq!((text.as_slice(), runs(body)), (format!("did {body}").as_bytes(), 1), "{body}"),
            503 => assert_eq!(runs(body), 0, "{body} was refused"),
            other => panic!("{body} got {other}"),
        }
    }
    let served = answers.values().filter(|(status, _)| *status == 200).count();
    assert!(answers.len() == 54 && served > 27, "{served} of {} served", answers.len());
    assert!(left.len() == 6 && left.iter().all(|body| runs(body) <= 1));
}

#[test]
fn a_host_without_record_gets_no_calls_and_a_new_one_does() {
    let (a, b) = (Host::warm(), Host::warm());
    let (program, dns) = operator(&[&a], unchanged);
    assert_eq!(program.http(&call("f", "check-score", &[], "x")).status, 200);
    dns.zone.lock().unwrap().instances = vec![("new".into(), b.address.port(), vec!["started=1".into()])];
    wait_for("the new host", || {
        program.http(&call("f", "check-score", &[], "y")).status == 200 && b.calls() > 0
    });
    let before = a.calls();
    for _ in 0..5 {
        assert_eq!(program.http(&call("f", "check-score", &[], "z")).status, 200);
    }
    assert_eq!(a.calls(), before);
}

#[test]
fn hosts_stay_known_while_the_resolver_fails() {
    let host = Host::warm();
    let (program, dns) = operator(&[&host], unchanged);
    dns.zone.lock().unwrap().fails = true;
    let asked = dns.zone.lock().unwrap().queries;
    // Records are valid for 1 s here; by the tenth query all have expired and every query for them has failed.
    wait_for("queries", || dns.zone.lock().unwrap().queries > asked + 10);
    assert_eq!(program.http(&call("f", "check-score", &[], "x")).status, 200);
    dns.zone.lock().unwrap().fails = false;
    assert_eq!(program.http(&request("GET", "/healthz", &[], "")).status, 200);
}

#[test]
fn truncated_dns_answers_are_queried_again_over_tcp() {
    let (a, b) = (Host::warm(), Host::warm());
    let (program, dns) = operator(&[&a], unchanged);
    {
        let mut zone = dns.zone.lock().unwrap();
        zone.cuts = true;
        zone.instances = vec![("new".into(), b.address.port(), vec!["started=1".into()])];
    }
    wait_for("the new host", || {
        program.http(&call("f", "check-score", &[], "y")).status == 200 && b.calls() > 0
    });
    wait_for("the line of its connection", || program.logged("conn resolver ended reason=finished") > 0);
}

/// Without descriptors the listener stays ready but accepts fail: the event loop must not spin.
#[test]
fn without_descriptors_the_program_pauses_accepting_and_recovers() {
    let text = operator_file("127.0.0.1:9".parse().unwrap());
    let program = Program::start(&text, true);
    // The program plans with the limit at its start; only a limit lowered later makes accepts fail.
    program.limit_descriptors(24);
    let mut clients: Vec<_> = (0..40).map(|_| program.connect()).collect();
    wait_for("the end of its descriptors", || program.logged("no connection can be accepted") > 0);
    let before = program.logged("no connection can be accepted");
    sleep(ms(500));
    let tries = program.logged("no connection can be accepted") - before;
    assert!((1..=7).contains(&tries), "one try in 100 ms, not {tries} in 500");
    clients.truncate(2);
    assert_eq!(program.http(&request("GET", "/healthz", &[], "")).status, 503);
}

#[test]
fn after_sigterm_open_and_new_calls_are_answered() {
    let host = Host::start(Ways { does: Does::Answer("200"), work: ms(300), load: None });
    let (mut program, _dns) = operator(&[&host], unchanged);
    let mut open = program.connect();
    open.write_all(call("f", "send-mail", &[], "x").as_bytes()).unwrap();
    wait_for("the call", || host.calls() == 1);
    program.terminate();
    wait_for("the signal", || program.logged("told to stop") == 1);
    let late = program.http(&call("f", "send-mail", &[], "y"));
    assert_eq!((late.status, late.header("connection")), (200, Some("close")));
    assert_eq!(read_reply(&mut open).unwrap().status, 200);
    assert!(program.ended().success());
}

#[rstest]
#[case::no_toml("listen = ", "line 5")]
#[case::unknown_key("sockets = 64\nnope = 1", "nope")]
#[case::far_resolver("resolver = \"192.0.2.1:53\"", "loopback")]
#[case::effect("effect = \"maybe\"", "effect is")]
#[case::no_scope("scope = \"town\"", "scope is")]
#[case::service("service = \"a..b\"", "hosts.service")]
fn an_invalid_operators_file_ends_the_program_with_one_line(#[case] line: &str, #[case] part: &str) {
    let text = operator_file("127.0.0.1:9".parse().unwrap());
    let key = line.split(" = ").next().unwrap();
    let at = text.lines().position(|l| l.starts_with(key)).unwrap_or(0);
    let text: Vec<&str> = text.lines().enumerate().map(|(i, l)| if i == at { line } else { l }).collect();
    let (status, output) = turned_down(&text.join("\n"), true);
    assert!(!status.success() && output.lines().count() == 1 && output.contains(part), "{output}");
}

#[test]
fn a_reloaded_operators_file_changes_the_resolver() {
    let (a, b) = (Host::warm(), Host::warm());
    let (program, _old) = operator(&[&a], |text| text);
    let other = Resolver::start(&[&b]);
    // Its instance has another name, so the instance of the old resolver disappears with it.
    other.zone.lock().unwrap().instances[0].0 = "other".into();
    program.reload("listen = 7");
    wait_for("the report of the invalid file", || program.logged("the old configuration is kept") == 1);
    program.reload(&operator_file(other.address));
    wait_for("a call at the new host", || {
        program.http(&call("7f3a", "check-score", &[], "x"));
        b.calls() > 0
    });
}

/// Incomplete requests, silent connections and a flood do not displace a normal client, and the flooding client gets
/// its error.
#[test]
fn hostile_clients_do_not_displace_a_normal_one() {
    let host = Host::warm();
    let (program, _resolver) = operator(&[&host], |text| text.replace("sockets = 1024", "sockets = 96"));
    let silent: Vec<_> = (0..16).map(|_| program.connect()).collect();
    let half = || {
        let mut stream = program.connect();
        stream.write_all(b"POST /v1/functions/7f3a/calls HTTP/1.1\r\nHost: x\r\n").unwrap();
        stream
    };
    let halves: Vec<_> = (0..16).map(|_| half()).collect();
    sleep(ms(300));
    assert_eq!(program.http(&call("7f3a", "check-score", &[], "x")).status, 200);
    let mut flood = program.connect();
    flood
        .write_all(b"POST /v1/functions/7f3a/calls HTTP/1.1\r\nHost: x\r\nContent-Length: 60000000\r\n\r\n")
        .unwrap();
    let mut sender = flood.try_clone().unwrap();
    let sending = std::thread::spawn(move || (0..60).all(|_| sender.write_all(&vec![7; 1_000_000]).is_ok()));
    assert_eq!(program.http(&call("7f3a", "check-score", &[], "x")).status, 200);
    assert_eq!(read_reply(&mut flood).unwrap().status, 413);
    assert!(sending.join().unwrap(), "all of it could be sent");
    drop((silent, halves));
}

/// The time between two reads of a request is limited, so a slow client is served and one that stops gets a 408.
#[test]
fn a_slow_request_is_served_and_a_stalled_one_times_out() {
    let host = Host::warm();
    let (program, _resolver) = operator(&[&host], |text| text);
    let text = call("f1", "send-mail", &[], "slow");
    let (mut slow, mut silent) = (program.connect(), program.connect());
    silent.write_all(&text.as_bytes()[..30]).unwrap();
    for piece in text.as_bytes().chunks(text.len() / 16) {
        slow.write_all(piece).unwrap();
        sleep(ms(200));
    }
    assert_eq!(read_reply(&mut slow).unwrap().status, 200);
    assert_eq!(read_reply(&mut silent).unwrap().status, 408);
}
