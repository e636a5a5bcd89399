//! A stand-in for a script host, as a process of its own: `review-case-2 host PORT WORK_MS LOAD_MS`.
//!
//! It answers FN, KILL, SPAWN, REAP and HELO as the protocol page says: a function that is neither loaded nor loading is a
//! miss, calls that come during a load wait for it, and a call that is killed before it begins never runs. LOAD_MS is `hold`
//! for a store that stands still: loads then end with the line `loaded` on standard input. `work N` there changes the time
//! of a run, and `reset` resets the connection under the next call that runs. With `lazy` after LOAD_MS the host loads what it
//! lacks by itself while the call waits; its first load fails, and with `lazy-twice` it gives each answer of that load a second
//! time, 5 ms late. Standard output has a line for each thing that happened: Unix microseconds, what, id or tag, function, body.

use std::collections::{BTreeMap, BTreeSet};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread::{sleep, spawn};
use std::time::Duration;

use crate::now_us;

#[derive(Default)]
struct State {
    loaded: BTreeSet<String>,
    loading: BTreeMap<String, u32>,
    killed: BTreeSet<(u64, String)>,
    work_ms: u64,
    /// `None`: loads end when told.
    load_ms: Option<u64>,
    /// How often `loaded` was told.
    releases: u64,
    /// Loads by itself what it lacks.
    lazy: bool,
    /// A second answer follows the one that a load failed.
    twice: bool,
    /// Loads begun by itself.
    loads: u64,
    /// The connection under the next call that runs is ended.
    resets: bool,
}

struct Host {
    state: Mutex<State>,
    changed: Condvar,
}

fn say(what: &str, id: &str, function: &str, body: &str) {
    let mut out = std::io::stdout().lock();
    let _ = writeln!(out, "{} {what} {id} {function} {body}", now_us());
    let _ = out.flush();
}

pub fn run(port: u16, work_ms: u64, load_ms: Option<u64>, how: &str) -> ! {
    let listener = TcpListener::bind(("127.0.0.1", port)).expect("the host's port");
    let host = Arc::new(Host {
        state: Mutex::new(State {
            work_ms,
            load_ms,
            lazy: how.starts_with("lazy"),
            twice: how == "lazy-twice",
            ..State::default()
        }),
        changed: Condvar::new(),
    });
    let told = host.clone();
    spawn(move || {
        for line in std::io::stdin().lines().map_while(Result::ok) {
            let mut state = told.state.lock().unwrap();
            match line.split(' ').collect::<Vec<_>>()[..] {
                ["loaded"] => state.releases += 1,
                ["reset"] => state.resets = true,
                ["work", ms] => state.work_ms = ms.parse().expect("a time"),
                _ => {}
            }
            told.changed.notify_all();
        }
        // The case has ended.
        std::process::exit(0);
    });
    say("up", "-", "-", "");
    for (number, stream) in listener.incoming().map_while(Result::ok).enumerate() {
        let host = host.clone();
        spawn(move || serve(&host, number as u64, stream));
    }
    std::process::exit(0);
}

fn field<'a>(fields: &'a str, name: &str) -> &'a str {
    let pairs = fields.split(',').filter_map(|f| f.split_once('='));
    pairs.filter(|(n, _)| *n == name).map(|(_, v)| v).next().unwrap_or("")
}

fn serve(host: &Arc<Host>, number: u64, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let out = Arc::new(Mutex::new(stream.try_clone().expect("a second handle")));
    let raw = stream.try_clone().expect("a second handle");
    let answer = move |id: &str, word: &str, fields: &str, body: &[u8]| {
        let head = format!("{id} {word} {fields} {}\r\n", body.len());
        let _ = out.lock().unwrap().write_all(&[head.as_bytes(), body, b"\r\n"].concat());
    };
    let mut lines = BufReader::new(stream);
    loop {
        let mut line = String::new();
        if lines.read_line(&mut line).unwrap_or(0) == 0 {
            return;
        }
        let line = line.trim_end().to_string();
        let words: Vec<&str> = line.split(' ').collect();
        match words[..] {
            ["FN", id, fields, length] => {
                let mut body = vec![0; length.parse::<usize>().expect("a length") + 2];
                if lines.read_exact(&mut body).is_err() {
                    return;
                }
                body.truncate(body.len() - 2);
                let text = String::from_utf8_lossy(&body).into_owned();
                let (id, item) = (id.to_string(), field(fields, "item").to_string());
                say("FN", &id, &item, &text);
                let known = {
                    let state = host.state.lock().unwrap();
                    state.lazy || state.loaded.contains(&item) || state.loading.contains_key(&item)
                };
                if !known {
                    say("miss", &id, &item, &text);
                    answer(&id, "404", "-", b"");
                    continue;
                }
                let (host, answer) = (host.clone(), answer.clone());
                let raw = raw.try_clone().expect("a further handle");
                spawn(move || {
                    let mut state = host.state.lock().unwrap();
                    if state.lazy && !state.loaded.contains(&item) && !state.loading.contains_key(&item) {
                        state.loading.insert(item.clone(), 1);
                        state.loads += 1;
                        let (fails, load_ms) = (state.loads == 1, state.load_ms.unwrap_or(300));
                        say("load", &id, &item, &text);
                        drop(state);
                        sleep(Duration::from_millis(load_ms));
                        state = host.state.lock().unwrap();
                        state.loading.remove(&item);
                        if fails {
                            let twice = state.twice;
                            drop(state);
                            say("load-failed", &id, &item, &text);
                            answer(&id, "404", "tell=load_failed", b"");
                            if twice {
                                sleep(Duration::from_millis(5));
                                say("second-answer", &id, &item, &text);
                                answer(&id, "404", "tell=load_failed", b"");
                            }
                            return;
                        }
                        state.loaded.insert(item.clone());
                        host.changed.notify_all();
                    }
                    while !state.loaded.contains(&item) {
                        state = host.changed.wait(state).unwrap();
                    }
                    if state.killed.contains(&(number, id.clone())) {
                        return;
                    }
                    let work = state.work_ms;
                    let resets = std::mem::take(&mut state.resets);
                    drop(state);
                    say("run", &id, &item, &text);
                    if resets {
                        sleep(Duration::from_millis(100));
                        say("reset", &id, &item, &text);
                        return drop(raw.shutdown(std::net::Shutdown::Both));
                    }
                    sleep(Duration::from_millis(work));
                    if host.state.lock().unwrap().killed.contains(&(number, id.clone())) {
                        return;
                    }
                    say("done", &id, &item, &text);
                    answer(&id, "200", "tell=warm,queue_fn=0", format!("did {text}").as_bytes());
                });
            }
            ["KILL", id] => {
                say("KILL", id, "-", "");
                host.state.lock().unwrap().killed.insert((number, id.to_string()));
            }
            ["SPAWN", tag, fields] => {
                let (tag, item) = (tag.to_string(), field(fields, "item").to_string());
                let copies: u32 = field(fields, "copies").parse().unwrap_or(0);
                say("SPAWN", &tag, &item, &copies.to_string());
                let (host, answer) = (host.clone(), answer.clone());
                spawn(move || {
                    let mut state = host.state.lock().unwrap();
                    if copies == 0 || state.loaded.contains(&item) {
                        let copies = u32::from(state.loaded.contains(&item));
                        return answer(&tag, "200", &format!("copies={copies}"), b"");
                    }
                    *state.loading.entry(item.clone()).or_default() += 1;
                    match state.load_ms {
                        Some(ms) => {
                            drop(state);
                            sleep(Duration::from_millis(ms));
                            state = host.state.lock().unwrap();
                        }
                        None => {
                            let before = state.releases;
                            while state.releases == before {
                                state = host.changed.wait(state).unwrap();
                            }
                        }
                    }
                    state.loaded.insert(item.clone());
                    host.changed.notify_all();
                    drop(state);
                    say("loaded", &tag, &item, "");
                    answer(&tag, "200", "copies=1", b"");
                });
            }
            ["REAP", item] => {
                say("REAP", "-", item, "");
                host.state.lock().unwrap().loaded.remove(item);
            }
            ["HELO", tag] | ["TOP", tag] => answer(tag, "alive", "-", b""),
            _ => {
                say("unreadable", "-", "-", &line);
                return;
            }
        }
    }
}
