//! Helpers that start the program. The stand-ins for hosts, resolver, bus and clients come from the lab crate.
#![allow(dead_code, unused_imports)]

pub mod links;
pub mod manual_host;
pub mod raw_host;
pub mod rollout;
pub mod stand_in;

use std::net::{SocketAddr, TcpStream};
use std::ops::{Deref, DerefMut};
use std::path::{Path, PathBuf};
use std::process::ExitStatus;
use std::sync::LazyLock;

use wheellink_lab::program::Start;
pub use wheellink_lab::program::{meeting_place, shared_folder};
pub use wheellink_lab::wall_clock::WallClock;
pub use wheellink_lab::{bus::*, host::*, http::*, resolver::*};
pub use wheellink_lab::{ms, wait_for, LONG};

/// Path of the program that these tests are built with.
const PROGRAM: &str = env!("CARGO_BIN_EXE_wheellink-node");
/// Names another build of the program, with which a test is to be played.
const OTHER_PROGRAM: &str = "WHEELLINK_TEST_PROGRAM";

fn program() -> &'static Path {
    static PATH: LazyLock<PathBuf> =
        LazyLock::new(|| std::env::var_os(OTHER_PROGRAM).map_or_else(|| PROGRAM.into(), PathBuf::from));
    &PATH
}

/// A running process of the program.
pub struct Program(wheellink_lab::program::Program);

impl Program {
    fn run(start: Start) -> Self {
        Self(start.run().unwrap_or_else(|output| panic!("{output}")))
    }

    pub fn start(text: &str, operator: bool) -> Self {
        Self::run(Start::new(program(), text, operator))
    }

    /// Starts it with a limit of `most` descriptors, whatever its configuration says.
    pub fn start_with_descriptors(most: u32, text: &str, operator: bool) -> Self {
        Self::run(Start::new(program(), text, operator).descriptors(most))
    }

    /// Starts it with a limit of `most` descriptors, at which it must fail, and returns what it printed.
    pub fn fails_with_descriptors(most: u32, text: &str, operator: bool) -> String {
        let start = Start::new(program(), text, operator).descriptors(most);
        start.run().err().expect("it ends before it listens")
    }

    /// Starts it with system calls that fail as `faults` says.
    pub fn start_with_faults(faults: &str, text: &str, operator: bool) -> Self {
        Self::start_with("WHEELLINK_FAULTS", faults, text, operator)
    }

    /// Starts it with a wall clock that the test can step.
    pub fn start_with_clock(clock: &WallClock, text: &str) -> Self {
        Self::run(Start::new(program(), text, false).wall_clock(clock))
    }

    /// Starts it with an additional environment variable.
    pub fn start_with(name: &str, value: &str, text: &str, operator: bool) -> Self {
        Self::run(Start::new(program(), text, operator).env(name, value))
    }
}

impl Deref for Program {
    type Target = wheellink_lab::program::Program;

    fn deref(&self) -> &Self::Target {
        &self.0
    }
}

impl DerefMut for Program {
    fn deref_mut(&mut self) -> &mut Self::Target {
        &mut self.0
    }
}

/// Starts the program on a file that it must reject, and returns its exit status and what it printed.
pub fn turned_down(text: &str, operator: bool) -> (ExitStatus, String) {
    wheellink_lab::program::turned_down(program(), text, operator)
}

/// Starts the program with the invoke front, and waits until it knows these hosts.
pub fn operator(hosts: &[&Host], edit: impl Fn(String) -> String) -> (Program, Resolver) {
    let (program, resolver) = wheellink_lab::resolver::operator(program(), hosts, edit);
    (Program(program), resolver)
}

/// A platform activator with its bus and its connection to that.
pub struct Platform {
    pub program: Program,
    pub bus: Bus,
    pub feed: TcpStream,
}

/// Starts a platform activator that knows these hosts, and waits until it has connected to its bus.
pub fn platform(hosts: &[&Host]) -> Platform {
    let bus = Bus::start();
    let program = Program::start(&config(bus.address, hosts), false);
    let (last, feed) = bus.greeted();
    assert_eq!(last, 1);
    Platform { program, bus, feed }
}
