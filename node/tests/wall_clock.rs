//! The machine's wall clock is stepped under a running activator, by seconds and by an hour, forward and back: windows,
//! deadlines, rations and starts of hosts are spans of real time. Real processes over loopback, one test a rule.

mod common;

use std::io::Write;
use std::net::TcpStream;
use std::thread::{scope, sleep};
use std::time::{Duration, Instant};

use common::*;

const SERVED: u8 = 79;
const FAILED: u8 = 69;
/// Steps of the wall clock in seconds; none is the control.
const STEPS: [f64; 7] = [0.0, -3.0, -20.0, -3600.0, 3.0, 20.0, 3600.0];
/// Calls of one round, each of another function.
const CALLS: u32 = 10;
/// A step shows within this: the activator looks at its clock as often as 50 ms.
const NOTICED: Duration = Duration::from_millis(120);

/// An activator on a machine with a wall clock of its own.
struct Machine {
    clock: WallClock,
    program: Program,
    bus: Bus,
    feed: TcpStream,
}

impl Machine {
    /// It knows these hosts from its start, when its clock was off by so many seconds.
    fn start(offset: f64, hosts: &[&Host], edit: impl Fn(String) -> String) -> Self {
        let clock = WallClock::offset_by(offset);
        let bus = Bus::start();
        let program = Program::start_with_clock(&clock, &edit(config(bus.address, hosts)));
        let (_, feed) = bus.greeted();
        raw_host::send_heartbeats(&feed);
        Self { clock, program, bus, feed }
    }

    /// Calls as many functions that nobody called before, a round's own.
    fn call_functions(&self, round: u32) {
        let mut client = self.program.connect();
        for n in 1..=CALLS {
            let function = format!("{:016x}", 100 * round + n);
            let frame = whole_call_frame(n, [&function, "check-score", "5c0f6e1a", &function], 800, b"");
            client.write_all(&frame).unwrap();
        }
        (0..CALLS).for_each(|_| drop(read_frame(&mut client).expect("an answer")));
    }

    /// Tells it this event.
    fn tell(&mut self, event: &[u8]) {
        // Only once the list is known to be whole is a start news.
        wait_for("the whole list", || self.program.status() == 200);
        sleep(ms(400));
        self.feed.write_all(event).unwrap();
    }

    /// Has a new process take the place of the one that runs.
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

/// By the settings: two orders to load, and a fifth of the calls taken.
fn assert_within_ration(host: &Host, rounds: u32) {
    let ration = 2 + (rounds * CALLS) as usize / 5;
    let orders = host.seen.lock().unwrap().orders.len();
    assert!(orders <= ration, "{orders} orders to load, {ration} are allowed");
    assert!(orders > ration / 2, "{orders} orders to load, so that the ration was never met");
}

/// Runs this for each step at once, as most of the time is spent waiting.
fn for_each_step(test: impl Fn(f64) + Sync) {
    scope(|threads| {
        let test = &test;
        let running: Vec<_> = STEPS.map(|step| (step, threads.spawn(move || test(step)))).into();
        let failed = running.into_iter().filter_map(|(step, thread)| thread.join().err().map(|_| step));
        let failed: Vec<f64> = failed.collect();
        assert!(failed.is_empty(), "fails where the wall clock is stepped by {failed:?} s");
    });
}

/// A keyed call whose host breaks off when the window is over is not sent again; within the window it is.
#[test]
fn a_keyed_call_is_repeated_within_its_window_only() {
    const WINDOW: Duration = Duration::from_millis(1000);
    let repeats = |step: f64, breaks_after: Duration| {
        let host = Host::start(Ways { does: Does::Nothing, work: ms(1), load: None });
        let short = |text: String| text.replace("\"WindowUs\":8000000", "\"WindowUs\":1000000");
        let machine = Machine::start(0.0, &[&host], short);
        let mut client = machine.program.connect();
        client.write_all(&call_frame(1, "save-answers", 2500, b"")).unwrap();
        wait_for("the call", || host.calls() == 1);
        let sent = Instant::now();
        machine.clock.set(step);
        sleep(breaks_after.saturating_sub(sent.elapsed()));
        host.ways.lock().unwrap().does = Does::Answer("200");
        host.hang_up();
        let answer = read_frame(&mut client).expect("an answer");
        (host.calls() - 1, answer.code)
    };
    for_each_step(|step| {
        assert_eq!(repeats(step, WINDOW + ms(300)), (0, FAILED), "repeated outside the window");
        assert_eq!(repeats(step, NOTICED), (1, SERVED), "not repeated within the window");
    });
}

/// A call to a silent host is answered before its client gives up, and not long before.
#[test]
fn deadlines_are_spans_of_real_time() {
    const TIMEOUT: u64 = 1500;
    for_each_step(|step| {
        let host = Host::start(Ways { does: Does::Nothing, work: ms(1), load: None });
        let machine = Machine::start(0.0, &[&host], |text| text);
        let mut client = machine.program.connect();
        // Less than the shortest step later, and long enough for a busy machine.
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

/// Orders to load stay within their ration of the last ten seconds, also when the clock is stepped again and again.
#[test]
fn the_ration_of_loads_is_counted_in_real_time() {
    const ROUNDS: u32 = 3;
    for_each_step(|step| {
        let host = Host::start(Ways { does: Does::Answer("200"), work: ms(1), load: Some(ms(1)) });
        let machine = Machine::start(0.0, &[&host], |text| text);
        for round in 0..ROUNDS {
            machine.clock.set(step * f64::from(round));
            sleep(NOTICED);
            machine.call_functions(round);
        }
        assert_within_ration(&host, ROUNDS);
    });
}

/// A process that takes another's place after a step counts the other's orders by the same time.
#[test]
fn a_new_process_goes_on_with_the_time_of_the_one_before() {
    for_each_step(|step| {
        let host = Host::start(Ways { does: Does::Answer("200"), work: ms(1), load: Some(ms(1)) });
        let mut machine = Machine::start(0.0, &[&host], |text| text);
        machine.call_functions(0);
        machine.clock.set(step);
        machine.upgrade(&[&host]);
        machine.call_functions(1);
        assert_within_ration(&host, 2);
    });
}

/// A host that starts while the activator's clock is wrong is in slow start nevertheless: the activator began by that clock.
#[test]
fn a_host_that_starts_is_in_slow_start_whatever_the_wall_clock_says() {
    const CALLS: u32 = 60;
    /// A host that runs for long would get half of the calls.
    const MOST_TO_STARTING: usize = 12;
    for_each_step(|step| {
        let (old, starting) = (Host::warm(), Host::warm());
        let delicate = |text: String| {
            text.replace("\"ColdFrom\":0.17", "\"ColdFrom\":0.01")
                .replace("\"FallMultiple\":4.0", "\"FallMultiple\":1.0")
        };
        let mut machine = Machine::start(step, &[&old], delicate);
        let started = raw_host::unix_ms();
        machine.tell(&raw_host::timed_event(2, false, &[(1, starting.address, raw_host::READY, started)]));
        wait_for("news of it", || machine.program.logged("s-00000001=Up") > 0);
        let mut client = machine.program.connect();
        for n in 1..=CALLS {
            let function = format!("{n:016x}");
            let frame = whole_call_frame(n, [&function, "check-score", "5c0f6e1a", &function], 2000, b"");
            client.write_all(&frame).unwrap();
            assert_eq!(read_frame(&mut client).expect("an answer").code, SERVED);
        }
        let calls = starting.calls();
        assert!(calls <= MOST_TO_STARTING, "{calls} calls of {CALLS} to a host that has just started");
    });
}
