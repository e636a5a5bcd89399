//! Hundreds of clients at once that write or read slowly: the process stays within its memory limit, and others are
//! answered.

mod common;

use std::sync::{Mutex, PoisonError};

use common::*;
use rstest::rstest;
use wheellink_lab::flood::{Front, Usual};
use wheellink_lab::slow::{Manner, SlowClients};

/// Each play needs the machine for itself: together they would keep their own clients from the processor.
static ALONE: Mutex<()> = Mutex::new(());
/// The memory limit of the configurations here.
const MEMORY_LIMIT_BYTES: usize = 192 << 20;
const CLIENTS: u32 = 300;

#[rstest]
fn the_process_stays_within_its_memory_limit_beside_slow_clients(
    #[values(true, false)] platform_front: bool,
    #[values(Manner::Stop, Manner::Write, Manner::Fields, Manner::Read, Manner::ReadMost)] manner: Manner,
) {
    let _alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
    let long = || Host::start(Ways { does: Does::Long(200_000), work: ms(1), load: None });
    let (a, b) = (long(), long());
    let (bus, program, resolver);
    let front = if platform_front {
        bus = Bus::start();
        let text = config(bus.address, &[&a, &b]).replace("\"sockets\":256", "\"sockets\":1024");
        (program, resolver) = (Program::start(&text, false), None);
        Front::Platform
    } else {
        let (p, r) = operator(&[&a, &b], |text| text);
        (program, resolver) = (p, Some(r));
        Front::Invoke
    };
    let slow = SlowClients::start(program.address, platform_front, manner, CLIENTS);
    let usual = Usual { front, clients: 2, pause: ms(20), timeout: ms(2000), length: ms(4000), functions: 1 };
    let answers = usual.call(program.address);
    let peak = program.peak_memory();
    let ended =
        |what: &str| program.lines().into_iter().filter(|line| line.contains(what)).collect::<Vec<_>>();
    let slow_readers = ended("ended reason=slow_reader").len();
    let stalls = ended("held up");
    println!(
        "{front:?} {manner:?}: {answers:?}; peak {} MB; {slow_readers} slow readers ended; processor {} of 400; {stalls:?}",
        peak >> 20,
        program.used()
    );
    drop((slow, resolver));
    assert!(peak < MEMORY_LIMIT_BYTES, "{peak}");
    assert_eq!((answers.late, answers.never), (0, 0), "{answers:?}");
}
