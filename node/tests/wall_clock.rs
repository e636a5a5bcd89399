//! The machine's wall clock is stepped while an activator runs, by seconds and by an hour, forward and back. Windows,
//! deadlines, the load budget and slow start must follow real time. Real processes over loopback; one test per rule.

mod common;

use std::io::Write;
use std::net::TcpStream;
use std::thread::{scope, sleep};
use std::time::{Duration, Instant};

use common::*;

const SERVED: u8 = 79;
const FAILED: u8 = 69;
/// Steps of the wall clock in seconds; 0 is the control.
const STEPS_SECS: [f64; 7] = [0.0, -3.0, -20.0, -3600.0, 3.0, 20.0, 3600.0];
/// Calls in a round, each of another function.
const CALLS: u32 = 10;
/// The activator detects a step within this time: it polls the clock every 50 ms.
const DETECTION_TIME: Duration = Duration::from_millis(120);

/// An activator with its own simulated wall clock.
struct Machine {
    clock: WallClock,
    program: Program,
    bus: Bus,
    feed: TcpStream,
}

impl Machine {
    /// Starts an activator that knows these hosts, with its wall clock off by `offset` seconds.
    fn start(offset: f64, hosts: &[&Host], edit: impl Fn(String) -> String) -> Self {
        let clock = WallClock::offset_by(offset);
        let bus = Bus::start();
        let program = Program::start_with_clock(&clock, &edit(config(bus.address, hosts)));
        let (_, feed) = bus.greeted();
        raw_host::send_heartbeats(&feed);
        Self { clock, program, bus, feed }
    }

    /// Calls [`CALLS`] functions that only this round calls.
    fn call_functions(&self, round: u32) {
        let mut client = self.program.connect();
        for n in 1..=CALLS {
            let function = format!("{:016x}", 100 * round + n);
            let frame = whole_call_frame(n, [&function, "check-score", "5c0f6e1a", &function], 800, b"");
            client.write_all(&frame).unwrap();
        }
        (0..CALLS).for_each(|_| drop(read_frame(&mut client).expect("an answer")));
    }

    /// Sends the activator this event.
    fn send_event(&mut self, event: &[u8]) {
        // A host counts as newly started only if it appears after the host list was complete.
        wait_for("the complete list", || self.program.status() == 200);
        sleep(ms(400));
        self.feed.write_all(event).unwrap();
    }

    /// Starts a new process that takes over from the running one.
    fn upgrade(&mut self, hosts: &[&Host]) {
        let listen = format!("\"listen\":\"{}\"", self.program.address);
        let text = config(self.bus.address, hosts).replace("\"listen\":\"127.0.0.1:0\"", &listen);
        let new = Program::start_with_clock(&self.clock, &text);
        let (_, feed) = self.bus.greeted();
        raw_host::send_heartbeats(&feed);
        wait_for("readiness", || new.status() == 200);
        self.program.terminate();
        assert!(self.program.ended().success());
        self.program = new;
    }
}

/// The load budget of the settings: two load orders, and a fifth of the calls.
fn assert_within_load_budget(host: &Host, rounds: u32) {
    let budget = 2 + (rounds * CALLS) as usize / 5;
    let orders = host.seen.lock().unwrap().orders.len();
    assert!(orders <= budget, "{orders} load orders, {budget} are allowed");
    assert!(orders > budget / 2, "{orders} load orders: the test did not reach the budget");
}

/// Runs the test for all steps in parallel, because it spends most of its time waiting.
fn for_each_step(test: impl Fn(f64) + Sync) {
    scope(|threads| {
        let test = &test;
        let running: Vec<_> = STEPS_SECS.map(|step| (step, threads.spawn(move || test(step)))).into();
        let failed = running.into_iter().filter_map(|(step, thread)| thread.join().err().map(|_| step));
        let failed: Vec<f64> = failed.collect();
        assert!(failed.is_empty(), "fails where the wall clock is stepped by {failed:?} s");
    });
}

/// A keyed call whose host resets the connection is retried within the deduplication window, and not after it: at the other
/// host of the cell, as another process may be at the first one's address.
#[test]
fn a_keyed_call_is_retried_only_within_its_window() {
    const WINDOW: Duration = Duration::from_millis(1000);
    let repeats = |step: f64, breaks_after: Duration| {
        let silent = || Host::start(Ways { does: Does::Nothing, work: ms(1), load: None });
        let hosts = [silent(), silent()];
        let calls = || hosts.iter().map(Host::calls).sum::<usize>();
        let short = |text: String| text.replace("\"WindowUs\":8000000", "\"WindowUs\":1000000");
        let machine = Machine::start(0.0, &[&hosts[0], &hosts[1]], short);
        let mut client = machine.program.connect();
        client.write_all(&call_frame(1, "save-answers", 2500, b"")).unwrap();
        wait_for("the call", || calls() == 1);
        let sent = Instant::now();
        machine.clock.set(step);
        sleep(breaks_after.saturating_sub(sent.elapsed()));
        for host in &hosts {
            host.ways.lock().unwrap().does = Does::Answer("200");
            host.hang_up();
        }
        let answer = read_frame(&mut client).expect("an answer");
        (calls() - 1, answer.code)
    };
    for_each_step(|step| {
        assert_eq!(repeats(step, WINDOW + ms(300)), (0, FAILED), "retried outside the window");
        assert_eq!(repeats(step, DETECTION_TIME), (1, SERVED), "not retried within the window");
    });
}

/// A call to a host that does not answer is answered shortly before its client gives up.
#[test]
fn deadlines_follow_real_time() {
    const TIMEOUT: u64 = 1500;
    for_each_step(|step| {
        let host = Host::start(Ways { does: Does::Nothing, work: ms(1), load: None });
        let machine = Machine::start(0.0, &[&host], |text| text);
        let mut client = machine.program.connect();
        // Shorter than the smallest step, and long enough for a loaded machine.
        client.set_read_timeout(Some(ms(TIMEOUT + 1400))).unwrap();
        let sent = Instant::now();
        client.write_all(&call_frame(1, "send-mail", TIMEOUT as u32, b"")).unwrap();
        wait_for("the call", || host.calls() == 1);
        machine.clock.set(step);
        let answer = read_frame(&mut client).expect("an answer");
        assert_eq!(answer.code, FAILED);
        let after = sent.elapsed();
        assert!(after > ms(TIMEOUT / 2), "answered after {after:?}, long before the client gives up");
    });
}

/// Load orders stay within the budget of the last ten seconds, also if the clock is stepped repeatedly.
#[test]
fn the_load_budget_is_counted_in_real_time() {
    const ROUNDS: u32 = 3;
    for_each_step(|step| {
        let host = Host::start(Ways { does: Does::Answer("200"), work: ms(1), load: Some(ms(1)) });
        let machine = Machine::start(0.0, &[&host], |text| text);
        for round in 0..ROUNDS {
            machine.clock.set(step * f64::from(round));
            sleep(DETECTION_TIME);
            machine.call_functions(round);
        }
        assert_within_load_budget(&host, ROUNDS);
    });
}

/// A process that takes over after a step counts the old process's load orders at the times at which they were given.
#[test]
fn a_new_process_continues_with_the_clock_of_the_old_one() {
    for_each_step(|step| {
        let host = Host::start(Ways { does: Does::Answer("200"), work: ms(1), load: Some(ms(1)) });
        let mut machine = Machine::start(0.0, &[&host], |text| text);
        machine.call_functions(0);
        machine.clock.set(step);
        machine.upgrade(&[&host]);
        machine.call_functions(1);
        assert_within_load_budget(&host, 2);
    });
}

/// A host that starts while the activator's wall clock is wrong must be in slow start nevertheless. The activator's clock
/// starts from that wall clock, so the host's start time does not match it.
#[test]
fn a_starting_host_is_in_slow_start_whatever_the_wall_clock_shows() {
    const CALLS: u32 = 60;
    /// A host that has run for long would get half of the calls.
    const MAX_CALLS_TO_STARTING: usize = 12;
    for_each_step(|step| {
        let (old, starting) = (Host::warm(), Host::warm());
        let strict = |text: String| {
            text.replace("\"ColdFrom\":0.17", "\"ColdFrom\":0.01")
                .replace("\"FallMultiple\":4.0", "\"FallMultiple\":1.0")
        };
        let mut machine = Machine::start(step, &[&old], strict);
        let started = raw_host::unix_ms();
        machine.send_event(&raw_host::timed_event(
            2,
            false,
            &[(1, starting.address, raw_host::READY, started)],
        ));
        wait_for("the event", || machine.program.logged("s-00000001=Up") > 0);
        let mut client = machine.program.connect();
        for n in 1..=CALLS {
            let function = format!("{n:016x}");
            let frame = whole_call_frame(n, [&function, "check-score", "5c0f6e1a", &function], 2000, b"");
            client.write_all(&frame).unwrap();
            assert_eq!(read_frame(&mut client).expect("an answer").code, SERVED);
        }
        let calls = starting.calls();
        assert!(calls <= MAX_CALLS_TO_STARTING, "{calls} calls of {CALLS} to a host that has just started");
    });
}
