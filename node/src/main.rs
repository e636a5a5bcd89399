//! The real activator: the wheellink engine on sockets.
#![forbid(unsafe_code)]

mod bus;
mod clock;
mod config;
mod conn;
mod dnssd;
mod front;
mod hosts;
mod log;
mod node;
mod ring;

use std::net::TcpListener;
use std::process::ExitCode;

use calloop::generic::Generic;
use calloop::signals::{Signal, Signals};
use calloop::{EventLoop, Interest, Mode, PostAction};

use crate::node::Node;

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => {
            eprintln!("wheellink-node: {problem}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), String> {
    let mut arguments = std::env::args().skip(1);
    let (path, operator) = match (arguments.next(), arguments.next()) {
        (Some(path), None) => (path, true),
        (None, None) => {
            (std::env::var("EDGE_CONFIG").map_err(|_| "give an operator's file, or set EDGE_CONFIG")?, false)
        }
        _ => return Err("one operator's file at most".into()),
    };
    let text = std::fs::read_to_string(&path).map_err(|e| format!("{path} cannot be read: {e}"))?;
    let config = if operator {
        config::operator(&text)
    } else {
        config::platform(&text, std::env::var("EDGE_LISTEN").ok().as_deref())
    };
    let config = config.map_err(|e| format!("{path}: {e}"))?;
    let address = config.listen;

    let failed = |what: &'static str| move |e: calloop::Error| format!("{what}: {e}");
    let mut events = EventLoop::<Node>::try_new().map_err(failed("no event loop"))?;
    let handle = events.handle();
    let signals = Signals::new(&[Signal::SIGTERM]).map_err(|e| format!("no signals: {e}"))?;
    handle.insert_source(signals, |_, _, node| node.stop()).map_err(|e| format!("no signals: {e}"))?;

    let mut node = Node::new(handle.clone(), config)?;
    let listener = TcpListener::bind(address).map_err(|e| format!("cannot listen on {address}: {e}"))?;
    // With port 0 in the configuration this is how the port becomes known.
    let bound = listener.local_addr().map_err(|e| format!("cannot listen on {address}: {e}"))?;
    eprintln!("listening on {bound}");
    listener.set_nonblocking(true).map_err(|e| format!("cannot listen on {address}: {e}"))?;
    // Level-triggered: what could not be accepted for want of a descriptor comes up again.
    let source = Generic::new(listener, Interest::READ, Mode::Level);
    let accept = |_, listener: &mut calloop::generic::NoIoDrop<TcpListener>, node: &mut Node| {
        node.accept(listener);
        Ok(PostAction::Continue)
    };
    handle.insert_source(source, accept).map_err(|e| format!("cannot listen on {address}: {e}"))?;

    while !node.is_done() {
        let wait = node.turn();
        events.dispatch(Some(wait), &mut node).map_err(failed("the event loop failed"))?;
    }
    node.shut_down();
    Ok(())
}
