//! The log and the metrics of requests: a request can be traced by its client's id up to the reason why it ended.

mod common;

use std::io::Write;

use common::*;

/// Both hosts reset the connection of every call: an unsafe call fails after one attempt, a keyed call is retried at the
/// other host, and then no more, as other processes may be at both addresses.
#[test]
fn retries_and_failures_are_logged_with_id_reason_and_host() {
    let hosts = [Host::warm(), Host::warm()];
    hosts.iter().for_each(|host| host.ways.lock().unwrap().does = Does::HangUp);
    let mut p = platform(&[&hosts[0], &hosts[1]]);
    let mut client = p.program.connect();
    client.write_all(&call_frame(7, "send-mail", 4000, b"")).unwrap();
    read_frame(&mut client).unwrap();
    client.write_all(&call_frame(8, "save-answers", 400, b"")).unwrap();
    read_frame(&mut client).unwrap();

    let logged = |part: &str| wait_for(part, || p.program.logged(part) > 0);
    logged("request 0000000000000007 class=send-mail ended=failed attempts=1 last=reset at=s-0000000");
    let to_other = |from: usize, to: usize| {
        let line =
            format!("request 0000000000000008 class=save-answers attempt=2 host=s-0000000{to} after=reset at=s-0000000{from}");
        p.program.logged(&line)
    };
    wait_for("the retry at the other host", || to_other(0, 1) + to_other(1, 0) == 1);
    logged("request 0000000000000008 class=save-answers withheld host=s-0000000");
    logged("request 0000000000000008 class=save-answers ended=failed attempts=2 last=reset at=s-0000000");
    p.feed.write_all(&event(2, false, &[(0, hosts[0].address, 1)])).unwrap();
    logged("host list Delta up=0 draining=1 gone=0 s-00000000=Draining");

    let page = p.program.fetch("/metrics");
    for line in [
        "wheellink_requests_total{class=\"send-mail\",outcome=\"failed\"} 1",
        "wheellink_retries_total{reason=\"reset\"} 1",
        "wheellink_connections_ended_total{reason=\"peer_reset\"} 3",
        "wheellink_clock_steps_total 0",
        "wheellink_open_requests 0",
    ] {
        assert!(page.contains(line), "{line} is not in:\n{page}");
    }
}
