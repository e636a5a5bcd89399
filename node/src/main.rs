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

use std::cell::Cell;
use std::net::TcpListener;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

use calloop::generic::Generic;
use calloop::signals::{Signal, Signals};
use calloop::timer::{TimeoutAction, Timer};
use calloop::{EventLoop, Interest, LoopHandle, Mode, PostAction, RegistrationToken};

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
    let read = move || {
        let text = std::fs::read_to_string(&path).map_err(|e| format!("{path} cannot be read: {e}"))?;
        let config = if operator {
            config::operator(&text)
        } else {
            config::platform(&text, std::env::var("EDGE_LISTEN").ok().as_deref())
        };
        config.map_err(|e| format!("{path}: {e}"))
    };
    let config = read()?;
    let address = config.listen;

    let failed = |what: &'static str| move |e: calloop::Error| format!("{what}: {e}");
    let mut events = EventLoop::<Node>::try_new().map_err(failed("no event loop"))?;
    let handle = events.handle();
    // Signals not named here would end the process: SIGHUP says that the file has been replaced.
    let signals = Signals::new(&[Signal::SIGTERM, Signal::SIGHUP]).map_err(|e| format!("no signals: {e}"))?;
    let told = move |event: calloop::signals::Event, _: &mut (), node: &mut Node| match event.signal() {
        Signal::SIGHUP => node.reload(read()),
        _ => node.stop(),
    };
    handle.insert_source(signals, told).map_err(|e| format!("no signals: {e}"))?;

    let mut node = Node::new(handle.clone(), config)?;
    let listener = TcpListener::bind(address).map_err(|e| format!("cannot listen on {address}: {e}"))?;
    // With port 0 in the configuration this is how the port becomes known.
    let bound = listener.local_addr().map_err(|e| format!("cannot listen on {address}: {e}"))?;
    eprintln!("listening on {bound}");
    listener.set_nonblocking(true).map_err(|e| format!("cannot listen on {address}: {e}"))?;
    listen(&handle, listener).map_err(|e| format!("cannot listen on {address}: {e}"))?;

    while !node.is_done() {
        let wait = node.turn();
        events.dispatch(Some(wait), &mut node).map_err(failed("the event loop failed"))?;
    }
    node.shut_down();
    Ok(())
}

/// For so long nothing is accepted when there was no descriptor for a connection.
const PAUSE: Duration = Duration::from_millis(100);

/// Has the node accept what comes. Level-triggered, so that what could not be accepted comes up again.
fn listen(handle: &LoopHandle<'static, Node>, listener: TcpListener) -> calloop::Result<()> {
    let source = Generic::new(listener, Interest::READ, Mode::Level);
    let (token, resume) = (Rc::new(Cell::new(None::<RegistrationToken>)), handle.clone());
    let own = token.clone();
    let inserted = handle.insert_source(source, move |_, listener, node: &mut Node| {
        if node.accept(listener) {
            return Ok(PostAction::Continue);
        }
        let (own, handle) = (own.get(), resume.clone());
        let again = move |_, _: &mut (), _: &mut Node| {
            own.iter().for_each(|token| drop(handle.enable(token)));
            TimeoutAction::Drop
        };
        // Without the timer nothing would wake it again: then it stays as it is.
        let timer = resume.insert_source(Timer::from_duration(PAUSE), again);
        Ok(if timer.is_ok() { PostAction::Disable } else { PostAction::Continue })
    });
    token.set(Some(inserted.map_err(|e| e.error)?));
    Ok(())
}
