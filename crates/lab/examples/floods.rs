//! Measures a program beside clients that send at full speed, and without them: a line for each flood.
//!
//!     cargo run --release -p wheellink-lab --example floods -- target/release/wheellink-node [SECONDS] [FLOOD]
//!
//! FLOOD is the name of the only one to play, or `None`.

use std::path::{Path, PathBuf};
use std::time::Duration;

use wheellink_lab::bus::{config, Bus};
use wheellink_lab::flood::{Flood, Front, Kind, Usual};
use wheellink_lab::host::Host;
use wheellink_lab::ms;
use wheellink_lab::program::Program;
use wheellink_lab::resolver::operator;

const FLOODING_CLIENTS: usize = 6;

fn main() {
    use Kind::*;
    let mut arguments = std::env::args().skip(1);
    let program = PathBuf::from(arguments.next().expect("the path of the program"));
    let seconds = arguments.next().map_or(3, |s| s.parse().expect("a number of seconds"));
    let only = arguments.next();
    let length = Duration::from_secs(seconds);
    let platform = [Checks, Cancels, UnknownTypes, Unsound, ManyFields, NewClasses, TakenBack];
    let invoke = [Health, UnknownPaths, HttpNewClasses, ManyHeaders, Deferred];
    for (front, kinds) in [(Front::Platform, &platform[..]), (Front::Invoke, &invoke[..])] {
        for kind in std::iter::once(None).chain(kinds.iter().copied().map(Some)) {
            if only.as_ref().is_none_or(|only| format!("{kind:?}").contains(only)) {
                println!("{}", play(&program, front, kind, length));
            }
        }
    }
}

/// Plays usual clients, beside a flood if there is one.
fn play(path: &Path, front: Front, kind: Option<Kind>, length: Duration) -> String {
    let (a, b) = (Host::warm(), Host::warm());
    let bus = Bus::start();
    let resolver;
    let p = match front {
        Front::Platform => Program::start(path, &config(bus.address, &[&a, &b]), false),
        Front::Invoke => {
            let (p, kept) = operator(path, &[&a, &b], |text| text);
            resolver = kept;
            let _ = &resolver;
            p
        }
    };
    let usual = Usual { front, clients: 4, pause: ms(2), timeout: ms(400), length, functions: 1 };
    let flood = kind.map(|kind| Flood::start(p.address, kind, FLOODING_CLIENTS, true));
    let ran = p.ran();
    let answers = usual.call(p.address);
    let ran = (p.ran() - ran) as f64 / 1000.0;
    let sent = flood.map_or(0, Flood::stop);
    let stalls: Vec<u64> = p.lines().iter().filter_map(|line| held_up(line)).collect();
    format!(
        "{front:?} {kind:?}: sent {} served {} late {} never {} slowest {:.1} ms; flood {sent}; processor {:.2}, \
         {:.0} us a call; peak {} MB; longest hold-up {} ms",
        answers.sent,
        answers.served,
        answers.late,
        answers.never,
        answers.slowest.as_secs_f64() * 1e3,
        ran / length.as_micros() as f64,
        ran / f64::from(answers.sent),
        p.peak_memory() >> 20,
        stalls.iter().max().unwrap_or(&0),
    )
}

/// The length of a hold-up that a line of the log tells of, in milliseconds.
fn held_up(line: &str) -> Option<u64> {
    line.split("held up for ").nth(1)?.strip_suffix(" ms")?.parse().ok()
}
