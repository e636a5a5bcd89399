//! Clients that send at full speed must not keep others from their answers, nor grow the process.

mod common;

use std::sync::{Mutex, PoisonError};
use std::time::Instant;

use common::raw_host::platform_of;
use common::*;
use wheellink_lab::flood::{Flood, Front, Kind, Usual};

/// Each play needs the machine for itself: together they would keep their own clients from the processor.
static ALONE: Mutex<()> = Mutex::new(());
/// The memory limit of the configurations here.
const MEMORY_LIMIT_BYTES: usize = 192 << 20;
const FLOODING_CLIENTS: usize = 6;

/// Plays usual clients beside a flood. Returns what is wrong: answers that came late or never, or too much memory.
fn play(p: &Program, front: Front, kind: Kind, reads: bool) -> Option<String> {
    let flood = Flood::start(p.address, kind, FLOODING_CLIENTS, reads);
    play_beside(p, front, vec![flood], &format!("{kind:?} reads={reads}"))
}

/// The same beside floods that have begun.
fn play_beside(p: &Program, front: Front, floods: Vec<Flood>, name: &str) -> Option<String> {
    let usual = Usual { front, clients: 4, pause: ms(10), timeout: ms(400), length: ms(1500), functions: 1 };
    let (used, begun) = (p.used(), Instant::now());
    let answers = usual.call(p.address);
    let used = (p.used() - used) as f64 / 100.0 / begun.elapsed().as_secs_f64();
    let sent: u64 = floods.into_iter().map(Flood::stop).sum();
    let (peak, stalls) = (p.peak_memory(), p.lines().into_iter().filter(|l| l.contains("held up")));
    let seen = format!(
        "{name}: {answers:?}; flood sent {sent}; processor {used:.2}; peak {} MB; {:?}",
        peak >> 20,
        stalls.collect::<Vec<_>>()
    );
    println!("{seen}");
    let kept = (answers.late, answers.never) == (0, 0) && answers.served > 0 && peak < MEMORY_LIMIT_BYTES;
    (!kept).then_some(seen)
}

/// Guards against turns of the event loop without a bound in work: timers and other clients waited for their end.
#[test]
fn platform_clients_are_answered_beside_clients_at_full_speed() {
    let _alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
    use Kind::*;
    let kinds = [Checks, Cancels, UnknownTypes, Unsound, ManyFields, NewClasses, TakenBack];
    let one = |(kind, reads)| {
        let (a, b) = (Host::warm(), Host::warm());
        play(&platform(&[&a, &b]).program, Front::Platform, kind, reads)
    };
    let broken: Vec<String> =
        kinds.iter().flat_map(|kind| [(*kind, true), (*kind, false)]).filter_map(one).collect();
    assert!(broken.is_empty(), "{broken:#?}");
}

/// The same on the invoke front.
#[test]
fn invoke_clients_are_answered_beside_clients_at_full_speed() {
    let _alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
    use Kind::*;
    let kinds = [Health, UnknownPaths, HttpNewClasses, ManyHeaders, Deferred];
    let one = |(kind, reads)| {
        let (a, b) = (Host::warm(), Host::warm());
        let (program, _resolver) = operator(&[&a, &b], |text| text);
        play(&program, Front::Invoke, kind, reads)
    };
    let broken: Vec<String> =
        kinds.iter().flat_map(|kind| [(*kind, true), (*kind, false)]).filter_map(one).collect();
    assert!(broken.is_empty(), "{broken:#?}");
}

/// Clients that connect, send a request and break the connection at full speed, on both fronts.
#[test]
fn clients_are_answered_beside_clients_that_connect_at_full_speed() {
    let _alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
    use Kind::*;
    let one = |(front, kind)| {
        let (a, b) = (Host::warm(), Host::warm());
        with_program(front, &[&a, &b], |p| {
            let flood = Flood::of_connections(p.address, kind, FLOODING_CLIENTS);
            play_beside(p, front, vec![flood], &format!("connections, {kind:?}"))
        })
    };
    let platform = [Checks, Unsound, TakenBack].map(|kind| (Front::Platform, kind));
    let invoke = [Health, HttpNewClasses, Deferred].map(|kind| (Front::Invoke, kind));
    let broken: Vec<String> = platform.into_iter().chain(invoke).filter_map(one).collect();
    assert!(broken.is_empty(), "{broken:#?}");
}

/// Several floods at once, on both fronts.
#[test]
fn clients_are_answered_beside_several_floods() {
    let _alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
    use Kind::*;
    let one = |(front, kinds): (Front, [Kind; 3])| {
        let (a, b) = (Host::warm(), Host::warm());
        with_program(front, &[&a, &b], |p| {
            let flood = |kind: Kind| Flood::start(p.address, kind, FLOODING_CLIENTS / 3, true);
            play_beside(p, front, kinds.map(flood).into(), &format!("{kinds:?}"))
        })
    };
    let floods = [
        (Front::Platform, [Checks, NewClasses, TakenBack]),
        (Front::Invoke, [Health, HttpNewClasses, Deferred]),
    ];
    let broken: Vec<String> = floods.into_iter().filter_map(one).collect();
    assert!(broken.is_empty(), "{broken:#?}");
}

/// Runs this with a program that has the front.
fn with_program<T>(front: Front, hosts: &[&Host], run: impl FnOnce(&Program) -> T) -> T {
    match front {
        Front::Platform => run(&platform(hosts).program),
        Front::Invoke => run(&operator(hosts, |text| text).0),
    }
}

/// The same fault, where a host sends at full speed: its connection was read for as long as it had something.
#[test]
fn clients_are_answered_beside_a_host_that_sends_at_full_speed() {
    let _alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
    let warm = Host::warm();
    let p = platform_of(&[(0, warm.address), (1, noisy_host())], |text| text);
    let usual = Usual {
        front: Front::Platform,
        clients: 8,
        pause: ms(5),
        timeout: ms(400),
        length: ms(3000),
        functions: 64,
    };
    let answers = usual.call(p.program.address);
    println!("{answers:?}; peak {} MB", p.program.peak_memory() >> 20);
    assert_eq!((answers.late, answers.never), (0, 0), "{answers:?}");
}

/// Clients that go on sending must not keep the process alive: SIGKILL comes 3.7 s after SIGTERM at the earliest.
#[test]
fn a_process_ends_on_sigterm_while_clients_send_at_full_speed() {
    let _alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
    use Kind::*;
    for kind in [Checks, NewClasses, TakenBack, ManyFields, Health, HttpNewClasses] {
        for reads in [true, false] {
            let status = ended_beside_flood(kind, reads);
            assert!(status.is_some_and(|status| status.success()), "{kind:?} reads={reads}: {status:?}");
        }
    }
}

fn ended_beside_flood(kind: Kind, reads: bool) -> Option<std::process::ExitStatus> {
    let warm = Host::warm();
    let (mut program, _kept) = match kind {
        Kind::Health | Kind::HttpNewClasses => {
            let (program, resolver) = operator(&[&warm], |text| text);
            (program, (None, Some(resolver)))
        }
        _ => {
            let p = platform(&[&warm]);
            (p.program, (Some((p.bus, p.feed)), None))
        }
    };
    let flood = Flood::start(program.address, kind, FLOODING_CLIENTS, reads);
    std::thread::sleep(ms(300));
    program.terminate();
    let begun = Instant::now();
    let status = program.ended_within(ms(3700));
    println!("{kind:?} reads={reads}: {status:?} after {:?}", begun.elapsed());
    flood.stop();
    status
}
