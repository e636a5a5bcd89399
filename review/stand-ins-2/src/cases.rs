//! The cases. Each returns `None` if the rule held, or what broke it.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::Instant;

use crate::now_us;
use crate::rig::*;

type Verdict = Outcome<Option<String>>;

pub fn play(case: &str, rig: Rig, trouble: bool) -> Verdict {
    match case {
        "upgrade-and-agreed-out" => upgrade_and_agreed_out(rig, trouble),
        "reload-and-agreed-effect" => reload_and_agreed_effect(rig, trouble),
        "upgrade-and-deferred" => upgrade_and_deferred(rig, trouble),
        "upgrade-and-open-limit" => upgrade_and_open_limit(rig, trouble),
        "rollout-and-resolver" => rollout_and_resolver(rig, trouble),
        "complete-and-stop" => complete_and_stop(rig, trouble),
        "second-answer" => second_answer(rig, trouble),
        "class-of-the-new-version" => class_of_the_new_version(rig, trouble),
        "two-upgrades" => two_upgrades(rig, trouble),
        "stopped-candidate" => stopped_candidate(rig, trouble),
        other => Err(format!("no case {other}")),
    }
}

/// The parts of `deploy/invoke.toml` that all cases use, with the addresses of this run.
fn operators_file(rig: &Rig, listen: u16, control: u16, activators: usize) -> String {
    format!(
        r#"listen = "127.0.0.1:{listen}"
control = "127.0.0.1:{control}"
sockets = 1024
memory_mb = 192

[hosts]
resolver = "{}"
service = "_script-host._tcp.hosts.test."
activators = {activators}
on_miss = "miss"
keep_ms = 9500
max_attempts = 5
retry_after_ms = 1000
cold_from = 0.17
cold_ms = 18000
fall_multiple = 4.0
fall_ms = 3000
orders = {{ free = 2.0, share = 0.2, period_ms = 10000 }}

[results]
most = 1000
megabytes = 16
keep_ms = 60000

[[class]]
name = "check-score"
effect = "safe"
aim_ms = 2000
give_up_ms = 5000
deferred_give_up_ms = 20000
worth = 3.0
late_worth = 0.2
lanes = 4

[[class]]
name = "send-mail"
effect = "unsafe"
aim_ms = 1500
give_up_ms = 4000
deferred_give_up_ms = 20000
worth = 3.0
late_worth = 0.2
lanes = 2
"#,
        rig.resolver
    )
}

/// Activators that agree, as in `deploy/together.toml`: three voters, the others without a vote.
struct Fleet {
    listen: Vec<u16>,
    datagrams: Vec<u16>,
    floor: String,
    document: String,
}

impl Fleet {
    fn new(members: usize, document: &str, floor: &str) -> Self {
        let ports = || (0..members).map(|_| free_port()).collect();
        Self { listen: ports(), datagrams: ports(), floor: floor.into(), document: document.into() }
    }

    fn file(&self, rig: &Rig, at: usize, control: u16) -> String {
        let members = self.listen.len();
        let mut text = operators_file(rig, self.listen[at], control, members);
        text.push_str(&format!(
            "\n[members]\nname = \"m{at}\"\nlisten = \"127.0.0.1:{}\"\nperiod_ms = 500\n",
            self.datagrams[at]
        ));
        for other in (0..members).filter(|other| *other != at) {
            let port = self.datagrams[other];
            text.push_str(&format!("\n[[members.other]]\nname = \"m{other}\"\naddress = \"127.0.0.1:{port}\"\n"));
        }
        text.push_str("\n[accord]\nvoters = [\"m0\", \"m1\", \"m2\"]\nlease_ms = 6000\nperiod_ms = 500\n");
        text.push_str(&format!("\n[accord.document]\n{}\n[accord.floor]\n{}", self.document, self.floor));
        text
    }

    /// Starts the activators, and waits until all act on the document and all voters grant leases.
    fn start(&self, rig: &mut Rig) -> Outcome<()> {
        for at in 0..self.listen.len() {
            let control = free_port();
            let text = self.file(rig, at, control);
            rig.program(&format!("m{at}"), loopback(self.listen[at]), loopback(control), &text)?;
        }
        for program in &rig.programs {
            wait_for("one version at all activators", ms(40_000), || program.acts_on().is_some())?;
            wait_for("three voters", ms(40_000), || {
                let view = program.ask("/accord").map(|r| r.body).unwrap_or_default();
                view.matches("\"grants\":true").count() == 3
            })?;
        }
        for at in 0..self.listen.len() {
            rig.ready(at)?;
            rig.record.line(format!("{} acts on {}", rig.programs[at].name, rig.programs[at].said()));
        }
        Ok(())
    }
}

/// Makes a change at the first activator, and waits until these activators act on one newer version. Returns when.
fn agree(rig: &Rig, set: &str, at: &[usize]) -> Outcome<u64> {
    let proposer = &rig.programs[0];
    let mut base = 0;
    wait_for("the change to be taken", ms(20_000), || {
        let Some(number) = proposer.acts_on() else { return false };
        let body = format!("{{\"base\":{number},\"set\":{set}}}");
        let reply = http(proposer.control, "POST", "/accord", &[], &body, ms(2000));
        rig.record.line(format!("POST /accord at m0 {body}: {:?}", reply.as_ref().map(|r| (r.status, &r.body))));
        base = number;
        reply.is_ok_and(|r| r.status == 202)
    })?;
    wait_for("the change to be in force", ms(40_000), || {
        at.iter().all(|at| rig.programs[*at].acts_on().is_some_and(|number| number > base))
    })?;
    let in_force = now_us();
    for at in at {
        rig.record.line(format!("{} acts on {}", rig.programs[*at].name, rig.programs[*at].said()));
    }
    Ok(in_force)
}

/// Hands in a deferred call; its location.
fn defer(rig: &Rig, at: usize, function: &str, class: &str, body: &str) -> Outcome<String> {
    let program = &rig.programs[at];
    let class = format!("Wheellink-Class: {class}");
    let path = format!("/v1/functions/{function}/calls");
    let reply = http(program.listen, "POST", &path, &[&class, "Prefer: respond-async"], body, ms(3000))
        .map_err(|e| format!("a deferred call: {e}"))?;
    rig.record.line(format!("client: POST {path} {body} at {}: {} {}", program.name, reply.status, reply.location));
    if reply.status != 202 {
        return Err(format!("the call was not taken: {}", reply.status));
    }
    Ok(reply.location)
}

/// An upgrade of an activator, and within seconds a host that is taken out for all by agreement.
fn upgrade_and_agreed_out(mut rig: Rig, trouble: bool) -> Verdict {
    rig.host(20, "hold")?;
    rig.host(20, "hold")?;
    let ids: Vec<String> = rig.hosts.iter().map(Host::id).collect();
    let floor: String = ids.iter().map(|id| format!("\"out/{id}\" = true\n")).collect();
    let fleet = Fleet::new(4, "", &floor);
    fleet.start(&mut rig)?;
    // On the floor the hosts were out. They count as cold since they are back.
    sleep(ms(22_000));

    defer(&rig, 3, "form7", "check-score", "answers-1")?;
    let mut host = None;
    wait_for("an order to load", ms(5000), || {
        host = rig.hosts.iter().position(|h| !h.events("SPAWN").is_empty());
        host.is_some()
    })?;
    let host = host.expect("just found");
    rig.record.line(format!("the call waits for its load at {}", rig.hosts[host].name));

    let mut judges = vec![0, 1, 2, 3];
    if trouble {
        let control = free_port();
        let text = fleet.file(&rig, 3, control);
        let new = rig.program("m3-new", loopback(fleet.listen[3]), loopback(control), &text)?;
        rig.ready(new)?;
        judges = vec![0, 1, 2];
    }
    let in_force = agree(&rig, &format!("{{\"out/{}\":true}}", ids[host]), &judges)?;
    rig.record.at(in_force, &format!("{} is out by agreement", ids[host]));
    if trouble {
        rig.record.line(format!("the old process of m3 acts on {}", rig.programs[3].said()));
        rig.record.line(format!("the new process of m3 acts on {}", rig.programs[4].said()));
    }
    sleep(ms(300));
    rig.record.line(format!("the load at {} ends", rig.hosts[host].name));
    rig.hosts[host].tell("loaded");
    // The other host loads what it is told to within a second.
    let begun = Instant::now();
    while begun.elapsed() < ms(6000) {
        sleep(ms(600));
        rig.hosts[1 - host].tell("loaded");
    }
    for program in ["m0", "m3", "m3-new"] {
        rig.log_lines(program, &["accord: acts on", "as agreed", "takes clients", "taking clients"]);
    }
    let after: Vec<Event> =
        rig.hosts[host].events("FN").into_iter().filter(|e| e.at_us > in_force + 200_000).collect();
    Ok(after.first().map(|event| {
        let late = (event.at_us - in_force) as f64 / 1e6;
        format!("{} got a new call {late:.3} s after it was out by agreement", ids[host])
    }))
}

/// A reload, and then a class that is made unsafe for all by agreement, while a call of it is under way.
fn reload_and_agreed_effect(mut rig: Rig, trouble: bool) -> Verdict {
    rig.host(15_000, "300")?;
    rig.host(15_000, "300")?;
    let fleet = Fleet::new(3, "", "\"class/check-score/effect\" = \"unsafe\"\n");
    fleet.start(&mut rig)?;

    defer(&rig, 2, "form7", "check-score", "answers-1")?;
    let mut host = None;
    wait_for("the call to run", ms(5000), || {
        host = rig.hosts.iter().position(|h| !h.events("run").is_empty());
        host.is_some()
    })?;
    let host = host.expect("just found");
    rig.hosts[1 - host].tell("work 200");
    if trouble {
        let file = rig.programs[2].file.clone();
        let text = std::fs::read_to_string(&file).map_err(|e| e.to_string())?;
        std::fs::write(&file, text.replace("retry_after_ms = 1000", "retry_after_ms = 1500")).map_err(|e| e.to_string())?;
        rig.programs[2].signal("HUP");
        wait_for("the reload", ms(5000), || rig.logged("m2", "configuration read again"))?;
        rig.record.line("m2 has read its file again: another retry_after_ms");
    }
    let in_force = agree(&rig, "{\"class/check-score/effect\":\"unsafe\"}", &[0, 1, 2])?;
    rig.record.at(in_force, "check-score is unsafe by agreement, at all activators");
    if !rig.hosts[host].events("done").is_empty() {
        return Err("the call ended too early".into());
    }
    sleep(ms(300));
    rig.record.line(format!("the process of {} is killed", rig.hosts[host].name));
    rig.hosts[host].kill();
    sleep(ms(5000));
    rig.log_lines("m2", &["accord: acts on", "configuration read again", "request "]);
    let runs: Vec<(String, Event)> = rig
        .hosts
        .iter()
        .flat_map(|h| h.events("run").into_iter().map(|e| (h.name.clone(), e)))
        .filter(|(_, e)| e.body == "answers-1")
        .collect();
    let late = runs.iter().find(|(_, e)| e.at_us > in_force + 200_000);
    Ok(late.filter(|_| runs.len() > 1).map(|(name, event)| {
        let after = (event.at_us - in_force) as f64 / 1e6;
        format!("a call ran a second time, at {name}, {after:.3} s after its class was unsafe for all")
    }))
}

/// A deferred call that is open while the program is upgraded; the old process is not told to end.
fn upgrade_and_deferred(mut rig: Rig, trouble: bool) -> Verdict {
    rig.host(3000, "300")?;
    let (listen, control) = (free_port(), free_port());
    let text = operators_file(&rig, listen, control, 1);
    let old = rig.program("old", loopback(listen), loopback(control), &text)?;
    rig.ready(old)?;
    wait_for("hosts", ms(5000), || {
        http(loopback(listen), "GET", "/healthz", &[], "", ms(1000)).is_ok_and(|r| r.status == 200)
    })?;
    let location = defer(&rig, old, "form7", "check-score", "answers-1")?;
    wait_for("the call to run", ms(5000), || !rig.hosts[0].events("run").is_empty())?;
    if trouble {
        let control = free_port();
        let text = operators_file(&rig, listen, control, 1);
        let new = rig.program("new", loopback(listen), loopback(control), &text)?;
        rig.ready(new)?;
        rig.record.line("the old process is not told to end: clients are to collect their results first");
    }
    // The result is kept for 60 s after the call's end.
    let begun = Instant::now();
    let (mut found, mut lost) = (None, 0);
    while begun.elapsed() < ms(20_000) && found.is_none() {
        sleep(ms(1000));
        let reply = http(loopback(listen), "GET", &location, &[], "", ms(2000));
        match reply {
            Ok(reply) => {
                rig.record.line(format!("client: GET {location}: {} {}", reply.status, reply.body));
                lost += u32::from(reply.status == 404);
                if reply.status != 202 && reply.status != 404 {
                    found = Some(reply);
                }
            }
            Err(e) => rig.record.line(format!("client: GET {location}: {e}")),
        }
    }
    let runs_on = !rig.programs[old].has_ended();
    rig.record.line(format!("the process that took the call {}", if runs_on { "still runs" } else { "has ended" }));
    if !runs_on {
        return Err("the process that took the call has ended".into());
    }
    Ok(match found {
        Some(reply) if reply.status == 200 && reply.body == "did answers-1" && lost == 0 => None,
        Some(reply) => Some(format!("the call was answered by {} after {lost} times 404", reply.status)),
        None => Some(format!("no answer to the deferred call in 20 s, {lost} times 404, while its process runs")),
    })
}

/// A limit of open requests for the whole fleet, and an upgrade of one activator that holds its share.
fn upgrade_and_open_limit(mut rig: Rig, trouble: bool) -> Verdict {
    const LIMIT: usize = 8;
    rig.host(200, "300")?;
    let limit = format!("\"limit/open\" = {LIMIT}\n");
    let fleet = Fleet::new(4, &limit, &limit);
    fleet.start(&mut rig)?;
    // The script is loaded, so that calls run at once.
    let path = "/v1/functions/form7/calls";
    let class = ["Wheellink-Class: check-score"];
    for at in 0..4 {
        let to = rig.programs[at].listen;
        wait_for("a call to be served", ms(10_000), || {
            http(to, "POST", path, &class, "first", ms(4000)).is_ok_and(|r| r.status == 200)
        })?;
    }
    rig.hosts[0].tell("work 1800");
    sleep(ms(100));
    let record = rig.record.clone();
    let answered = Arc::new(Mutex::new(BTreeSet::new()));
    let told = answered.clone();
    let call = move |name: &str, to, body: String| {
        let (record, told, name) = (record.clone(), told.clone(), name.to_string());
        std::thread::spawn(move || {
            record.line(format!("client: call {body} at {name}"));
            let reply = http(to, "POST", path, &class, &body, ms(6000));
            told.lock().unwrap().insert(body.clone());
            record.line(format!("client: call {body} answered: {:?}", reply.map(|r| r.status)));
        })
    };
    let mut calls = Vec::new();
    for at in 0..4 {
        let to = rig.programs[at].listen;
        calls.extend((0..2).map(|n| call(&format!("m{at}"), to, format!("m{at}-{n}"))));
    }
    // Calls that run at the host and have no answer yet.
    let open = |rig: &Rig| {
        let answered = answered.lock().unwrap();
        let runs = rig.hosts[0].events("run").into_iter().map(|e| e.body);
        runs.filter(|body| body != "first" && !answered.contains(body)).collect::<BTreeSet<_>>().len()
    };
    wait_for("eight calls to run", ms(1000), || open(&rig) == LIMIT)?;
    let to = rig.programs[3].listen;
    if trouble {
        let control = free_port();
        let text = fleet.file(&rig, 3, control);
        let new = rig.program("m3-new", loopback(fleet.listen[3]), loopback(control), &text)?;
        rig.ready(new)?;
    }
    calls.extend((0..2).map(|n| call("m3", to, format!("m3-more-{n}"))));
    sleep(ms(300));
    let open = open(&rig);
    rig.record.line(format!("{open} requests are open; the limit of the fleet is {LIMIT}"));
    calls.into_iter().for_each(|call| drop(call.join()));
    Ok((open > LIMIT).then(|| format!("{open} requests were open at once in a fleet whose limit is {LIMIT}")))
}

/// The plan of `deploy/rollout.toml`, of which the first step is enough here.
const ROLLOUT: &str = r#"
[rollout]
version = "VERSION"
begin = "call"
old_cannot = "stop"

[rollout.plan]
name = "new"
on_fail = "back"
completes = false
silent_ms = 1000

[[rollout.plan.step]]
percent = 1
least_ms = 60000
least_calls = 100
"#;

/// The old version of a rollout dies while the resolver has been failing for more than half a minute.
fn rollout_and_resolver(mut rig: Rig, trouble: bool) -> Verdict {
    rig.host(50, "300")?;
    let listen = free_port();
    for version in ["old", "new"] {
        let control = free_port();
        let text = operators_file(&rig, listen, control, 1) + &ROLLOUT.replace("VERSION", version);
        rig.program(version, loopback(listen), loopback(control), &text)?;
    }
    rig.ready(0)?;
    let view = |rig: &Rig, at: usize| rig.programs[at].ask("/rollout").map(|r| r.body).unwrap_or_default();
    wait_for("the new version to know its hosts", ms(5000), || view(&rig, 0).contains("\"caught_up\":true"))?;
    let begun = http(rig.programs[0].control, "POST", "/rollout", &[], "", ms(2000));
    rig.record.line(format!("POST /rollout at the old version: {:?}", begun.map(|r| (r.status, r.body))));
    let call = |rig: &Rig, body: &str| {
        let (path, class) = ("/v1/functions/form7/calls", ["Wheellink-Class: check-score"]);
        rig.record.line(format!("client: call {body}"));
        let reply = http(loopback(listen), "POST", path, &class, body, ms(12_000));
        rig.record.line(format!("client: call {body} answered: {:?}", reply.as_ref().map(|r| r.status)));
        reply
    };
    call(&rig, "answers-0").map_err(|e| e.to_string())?;
    if trouble {
        rig.zone.lock().unwrap().silent = true;
        rig.record.line("the resolver answers nothing from now on");
        sleep(ms(36_000));
        // The old version refuses calls now, as it knows no host any more.
        call(&rig, "answers-1").map_err(|e| e.to_string())?;
        rig.programs[0].signal("KILL");
        rig.record.line("the old version is killed");
        wait_for("its end", ms(2000), || rig.programs[0].has_ended())?;
        sleep(ms(1000));
    }
    let reply = call(&rig, "answers-2");
    if trouble {
        rig.record.line(format!("the new version says: {}", view(&rig, 1)));
        rig.zone.lock().unwrap().silent = false;
        rig.record.line("the resolver answers again");
        let later = call(&rig, "answers-3");
        rig.record.line(format!("with the resolver back: {:?}", later.map(|r| r.status)));
    }
    rig.log_lines("new", &["rollout:", "taking clients", "host list"]);
    Ok(reply.err().map(|e| format!("a call on a connection that was accepted had no answer in 12 s: {e}")))
}

/// The new version stops without dying after a rollout is complete, while the old one is still there.
fn complete_and_stop(mut rig: Rig, trouble: bool) -> Verdict {
    rig.host(50, "300")?;
    let listen = free_port();
    for version in ["old", "new"] {
        let control = free_port();
        let text = operators_file(&rig, listen, control, 1) + &ROLLOUT.replace("VERSION", version);
        rig.program(version, loopback(listen), loopback(control), &text)?;
    }
    rig.ready(0)?;
    let view = |rig: &Rig, at: usize| rig.programs[at].ask("/rollout").map(|r| r.body).unwrap_or_default();
    wait_for("the new version to know its hosts", ms(5000), || view(&rig, 0).contains("\"caught_up\":true"))?;
    let operate = |rig: &Rig, path: &str, body: &str| {
        let reply = http(rig.programs[0].control, "POST", path, &[], body, ms(2000)).map_err(|e| e.to_string())?;
        rig.record.line(format!("operator: POST {path} at the old version: {} {}", reply.status, reply.body));
        if reply.status == 200 { Ok(()) } else { Err(format!("{path}: {}", reply.status)) }
    };
    let call = |rig: &Rig, body: &str| {
        let (path, class) = ("/v1/functions/form7/calls", ["Wheellink-Class: check-score"]);
        rig.record.line(format!("client: call {body}"));
        let reply = http(loopback(listen), "POST", path, &class, body, ms(10_000));
        rig.record.line(format!("client: call {body} answered: {:?}", reply.as_ref().map(|r| r.status)));
        reply
    };
    call(&rig, "answers-0").map_err(|e| e.to_string())?;
    operate(&rig, "/rollout", r#"{"name":"new","silent_ms":1000,"step":[{"percent":100}]}"#)?;
    call(&rig, "answers-1").map_err(|e| e.to_string())?;
    operate(&rig, "/rollout/complete", "")?;
    rig.ready(1)?;
    call(&rig, "answers-2").map_err(|e| e.to_string())?;
    if trouble {
        rig.programs[1].signal("STOP");
        rig.record.line("the new version is stopped (SIGSTOP)");
        // The page names 5 s at the most, after which it is ended.
        wait_for("the end of the new version", ms(10_000), || rig.programs[1].has_ended())?;
        rig.record.line("the new version was ended by the old one");
        sleep(ms(2000));
    }
    let first = call(&rig, "answers-3");
    let second = call(&rig, "answers-4");
    rig.record.line(format!("the old version says: {:?}", rig.programs[0].ask("/status").map(|r| (r.status, r.body))));
    rig.log_lines("old", &["rollout", "new process", "other process", "taking clients"]);
    rig.log_lines("new", &["rollout", "taking clients"]);
    Ok(match (first, second) {
        (Err(first), Err(second)) => {
            Some(format!("two calls on connections that were accepted had no answer in 10 s each: {first}; {second}"))
        }
        _ => None,
    })
}

/// A script host gives an answer a second time, some milliseconds late, while the repeat of a mail runs.
fn second_answer(mut rig: Rig, trouble: bool) -> Verdict {
    let how = if trouble { "lazy-twice" } else { "lazy" };
    rig.host_that(600, "300", how)?;
    rig.host_that(600, "300", how)?;
    let (listen, control) = (free_port(), free_port());
    let text = operators_file(&rig, listen, control, 1).replace("on_miss = \"miss\"", "on_miss = \"load\"");
    let program = rig.program("activator", loopback(listen), loopback(control), &text)?;
    rig.ready(program)?;
    wait_for("hosts", ms(5000), || {
        http(loopback(listen), "GET", "/healthz", &[], "", ms(1000)).is_ok_and(|r| r.status == 200)
    })?;
    rig.record.line("client: call mail-1 of the class send-mail");
    let class = ["Wheellink-Class: send-mail"];
    let reply = http(loopback(listen), "POST", "/v1/functions/form7/calls", &class, "mail-1", ms(6000));
    rig.record.line(format!("client: call mail-1 answered: {:?}", reply.map(|r| (r.status, r.body))));
    sleep(ms(2000));
    rig.log_lines("activator", &["request "]);
    let runs: Vec<String> = rig
        .hosts
        .iter()
        .flat_map(|h| h.events("run").into_iter().filter(|e| e.body == "mail-1").map(|_| h.name.clone()))
        .collect();
    Ok((runs.len() > 1).then(|| format!("a mail ran {} times, at {}", runs.len(), runs.join(" and "))))
}

/// A class that only the new version of a rollout knows, and a connection that is reset under a call of it.
fn class_of_the_new_version(mut rig: Rig, trouble: bool) -> Verdict {
    rig.host(600, "300")?;
    rig.host(600, "300")?;
    let listen = free_port();
    let more = "\n[[class]]\nname = \"show-form\"\neffect = \"safe\"\naim_ms = 2000\ngive_up_ms = 5000\nlanes = 4\n";
    for version in ["old", "new"] {
        let control = free_port();
        let mut text = operators_file(&rig, listen, control, 1);
        if version == "new" {
            text += more;
        }
        text += &ROLLOUT.replace("VERSION", version);
        rig.program(version, loopback(listen), loopback(control), &text)?;
    }
    rig.ready(0)?;
    let view = |rig: &Rig| rig.programs[0].ask("/rollout").map(|r| r.body).unwrap_or_default();
    wait_for("the new version to know its hosts", ms(5000), || view(&rig).contains("\"caught_up\":true"))?;
    let plan = r#"{"name":"new","silent_ms":1000,"on_fail":"hold","step":[{"percent":100,"least_ms":60000}]}"#;
    let begun = http(rig.programs[0].control, "POST", "/rollout", &[], plan, ms(2000));
    rig.record.line(format!("POST /rollout at the old version: {:?}", begun.map(|r| (r.status, r.body))));
    let call = |rig: &Rig, class: &str, body: &str| {
        let (path, class) = ("/v1/functions/form7/calls", format!("Wheellink-Class: {class}"));
        rig.record.line(format!("client: call {body}, {class}"));
        let reply = http(loopback(listen), "POST", path, &[&class], body, ms(8000));
        rig.record.line(format!("client: call {body} answered: {:?}", reply.as_ref().map(|r| r.status)));
        reply
    };
    call(&rig, "check-score", "answers-0").map_err(|e| e.to_string())?;
    if trouble {
        rig.hosts.iter_mut().for_each(|h| h.tell("reset"));
        sleep(ms(100));
    }
    let reply = call(&rig, "show-form", "form-1");
    sleep(ms(1000));
    let ended = rig.programs[1].has_ended();
    rig.record.line(format!("the new version {}", if ended { "has ended" } else { "runs on" }));
    rig.log_lines("old", &["rollout"]);
    Ok(ended.then(|| format!("the new version was ended; the call was answered {:?}", reply.map(|r| r.status))))
}

/// Requests that have ended at a process, by its metrics.
fn ended_requests(program: &Program) -> u64 {
    let page = program.ask("/metrics").map(|r| r.body).unwrap_or_default();
    let lines = page.lines().filter(|l| l.starts_with("wheellink_requests_total"));
    lines.filter_map(|l| l.rsplit(' ').next()?.parse::<f64>().ok()).sum::<f64>() as u64
}

/// A second upgrade soon after the first, while the first old process still owes an answer.
fn two_upgrades(mut rig: Rig, trouble: bool) -> Verdict {
    rig.host(20, "300")?;
    let listen = free_port();
    let start = |rig: &mut Rig, name: &str| {
        let control = free_port();
        let text = operators_file(rig, listen, control, 1);
        rig.program(name, loopback(listen), loopback(control), &text)
    };
    let a = start(&mut rig, "A")?;
    rig.ready(a)?;
    wait_for("hosts", ms(5000), || {
        http(loopback(listen), "GET", "/healthz", &[], "", ms(1000)).is_ok_and(|r| r.status == 200)
    })?;
    let path = "/v1/functions/form7/calls";
    let class = ["Wheellink-Class: check-score"];
    http(loopback(listen), "POST", path, &class, "first", ms(6000)).map_err(|e| e.to_string())?;
    rig.hosts[0].tell("work 9000");
    sleep(ms(50));
    defer(&rig, a, "form7", "check-score", "long")?;
    wait_for("the long call", ms(2000), || rig.hosts[0].events("run").iter().any(|e| e.body == "long"))?;
    rig.hosts[0].tell("work 20");

    let b = start(&mut rig, "B")?;
    rig.ready(b)?;
    rig.programs[a].signal("TERM");
    rig.record.line("A is told to end (SIGTERM)");
    let mut last = b;
    sleep(ms(3000));
    if trouble {
        last = start(&mut rig, "C")?;
        rig.ready(last)?;
        rig.programs[b].signal("TERM");
        rig.record.line("B is told to end (SIGTERM)");
    }
    sleep(ms(1000));
    let before = ended_requests(&rig.programs[a]);
    let mut lost = 0;
    for n in 0..60 {
        let reply = http(loopback(listen), "POST", path, &class, &format!("call-{n}"), ms(3000));
        if !reply.as_ref().is_ok_and(|r| r.status == 200) {
            lost += 1;
            rig.record.line(format!("client: call-{n}: {:?}", reply.map(|r| r.status)));
        }
        sleep(ms(20));
    }
    let taken = ended_requests(&rig.programs[a]).saturating_sub(before);
    rig.record.line(format!("60 calls, {lost} not served; A, which was told to end, served {taken} of them"));
    for at in [a, b].into_iter().filter(|at| *at != last) {
        let name = rig.programs[at].name.clone();
        let ended = wait_for(&format!("the end of {name}"), ms(10_000), || rig.programs[at].has_ended());
        rig.record.line(format!("{name} {}", if ended.is_ok() { "has ended" } else { "has not ended" }));
    }
    let control = free_port();
    let text = operators_file(&rig, listen, control, 1);
    let next = rig.program("D", loopback(listen), loopback(control), &text);
    let yes = || rig.programs.last().is_some_and(|p| p.ask("/status").is_some_and(|r| r.status == 200));
    let took = next.is_ok() && wait_for("D", ms(6000), yes).is_ok();
    rig.record.line(format!("D, the next new process, {}", if took { "takes clients" } else { "did not come to take clients" }));
    for name in ["A", "B", "C", "D"] {
        rig.log_lines(name, &["process", "taking clients", "told to stop", "cannot listen"]);
    }
    Ok(match (taken, took) {
        (0, true) => None,
        (_, true) => Some(format!("A took {taken} calls after it was told to end and replaced twice")),
        (_, false) => Some(format!("the next new process could not start; A took {taken} calls after it was told to end")),
    })
}

/// A client leaves while the new version, which decides its call, is stopped for less than its silence.
fn stopped_candidate(mut rig: Rig, trouble: bool) -> Verdict {
    rig.host(50, "300")?;
    let listen = free_port();
    for version in ["old", "new"] {
        let control = free_port();
        let text = operators_file(&rig, listen, control, 1) + &ROLLOUT.replace("VERSION", version);
        rig.program(version, loopback(listen), loopback(control), &text)?;
    }
    rig.ready(0)?;
    let view = |rig: &Rig| rig.programs[0].ask("/rollout").map(|r| r.body).unwrap_or_default();
    wait_for("the new version to know its hosts", ms(5000), || view(&rig).contains("\"caught_up\":true"))?;
    let plan = r#"{"name":"new","silent_ms":1000,"on_fail":"hold","step":[{"percent":100,"least_ms":60000}]}"#;
    let begun = http(rig.programs[0].control, "POST", "/rollout", &[], plan, ms(2000));
    rig.record.line(format!("POST /rollout at the old version: {:?}", begun.map(|r| (r.status, r.body))));
    let class = ["Wheellink-Class: send-mail"];
    let path = "/v1/functions/form7/calls";
    http(loopback(listen), "POST", path, &class, "mail-0", ms(5000)).map_err(|e| e.to_string())?;
    if trouble {
        rig.programs[1].signal("STOP");
        rig.record.line("the new version is stopped");
    }
    // The client leaves after 50 ms.
    rig.hosts[0].tell("work 500");
    let left = http(loopback(listen), "POST", path, &class, "mail-1", ms(50));
    let gone = now_us();
    rig.record.at(gone, &format!("the client has gone: {:?}", left.map(|r| r.status)));
    sleep(ms(500));
    if trouble {
        rig.programs[1].signal("CONT");
        rig.record.line("the new version goes on");
    }
    sleep(ms(1500));
    rig.log_lines("old", &["rollout"]);
    let late = rig.hosts[0].events("FN").into_iter().find(|e| e.body == "mail-1" && e.at_us > gone + 100_000);
    Ok(late.map(|e| format!("an attempt began {:.3} s after its client had gone", (e.at_us - gone) as f64 / 1e6)))
}
