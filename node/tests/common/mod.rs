//! The shared helper: starts the program. What stands in for hosts, resolver, bus and clients is the lab's.
#![allow(dead_code, unused_imports)]

pub mod links;
pub mod manual_host;
pub mod raw_host;
pub mod rollout;
pub mod stand_in;

use std::net::{SocketAddr, TcpStream};
use std::ops::{Deref, DerefMut};
use std::path::Path;
use std::process::ExitStatus;

use wheellink_lab::program::Start;
pub use wheellink_lab::program::{meeting_place, shared_folder};
pub use wheellink_lab::wall_clock::WallClock;
pub use wheellink_lab::{bus::*, host::*, http::*, resolver::*};
pub use wheellink_lab::{ms, wait_for, LONG};

/// The program that these tests are built with.
const PROGRAM: &str = env!("CARGO_BIN_EXE_wheellink-node");

/// A process of it.
pub struct Program(wheellink_lab::program::Program);

impl Program {
    fn run(start: Start) -> Self {
        Self(start.run().unwrap_or_else(|said| panic!("{said}")))
    }

    pub fn start(text: &str, operator: bool) -> Self {
        Self::run(Start::new(Path::new(PROGRAM), text, operator))
    }

    /// With so many descriptors, whatever its configuration says.
    pub fn start_with_descriptors(most: u32, text: &str, operator: bool) -> Self {
        Self::run(Start::new(Path::new(PROGRAM), text, operator).descriptors(most))
    }

    /// With so many descriptors, which it should turn down: what it said.
    pub fn fails_with_descriptors(most: u32, text: &str, operator: bool) -> String {
        let start = Start::new(Path::new(PROGRAM), text, operator).descriptors(most);
        start.run().err().expect("it ends before it listens")
    }

    /// With calls of the system that fail as this says.
    pub fn start_with_faults(faults: &str, text: &str, operator: bool) -> Self {
        Self::start_with("WHEELLINK_FAULTS", faults, text, operator)
    }

    /// With a wall clock that the test may step.
    pub fn start_with_clock(clock: &WallClock, text: &str) -> Self {
        Self::run(Start::new(Path::new(PROGRAM), text, false).wall_clock(clock))
    }

    /// With this in its environment besides.
    pub fn start_with(name: &str, value: &str, text: &str, operator: bool) -> Self {
        Self::run(Start::new(Path::new(PROGRAM), text, operator).env(name, value))
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

/// Starts the program on a file that it should turn down: its exit and what it said.
pub fn turned_down(text: &str, operator: bool) -> (ExitStatus, String) {
    wheellink_lab::program::turned_down(Path::new(PROGRAM), text, operator)
}

/// The program with its invoke front before these hosts, once it knows them.
pub fn operator(hosts: &[&Host], edit: impl Fn(String) -> String) -> (Program, Resolver) {
    let (program, resolver) = wheellink_lab::resolver::operator(Path::new(PROGRAM), hosts, edit);
    (Program(program), resolver)
}

pub struct Platform {
    pub program: Program,
    pub bus: Bus,
    pub feed: TcpStream,
}

/// A platform activator that has connected to its bus.
pub fn platform(hosts: &[&Host]) -> Platform {
    let bus = Bus::start();
    let program = Program::start(&config(bus.address, hosts), false);
    let (last, feed) = bus.greeted();
    assert_eq!(last, 1);
    Platform { program, bus, feed }
}
