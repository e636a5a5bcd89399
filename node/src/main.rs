//! The activator process: the wheellink routing engine on sockets.
#![forbid(unsafe_code)]

mod accords;
mod bus;
mod clock;
mod config;
mod conn;
mod control;
mod datagrams;
mod descriptors;
mod dnssd;
mod faults;
mod front;
mod hosts;
mod http;
mod ipc;
mod listener;
mod log;
mod membership;
mod metrics;
mod node;
mod peers;
mod proxy;
mod ring;
mod startup;
mod upgrade;
mod wake;

use std::process::ExitCode;
use std::time::{Duration, Instant};

use calloop::signals::{Signal, Signals};
use calloop::EventLoop;

use crate::config::Config;
use crate::node::Node;
use crate::wake::{Wake, Wakes};

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
    let began = Instant::now();
    let mut arguments = std::env::args().skip(1);
    let (path, operator) = match (arguments.next(), arguments.next()) {
        (Some(path), None) => (path, true),
        (None, None) => {
            (std::env::var("EDGE_CONFIG").map_err(|_| "give a settings file, or set EDGE_CONFIG")?, false)
        }
        _ => return Err("at most one settings file".into()),
    };
    let read = move || {
        let text = std::fs::read_to_string(&path).map_err(|e| format!("{path} cannot be read: {e}"))?;
        let config = if operator {
            config::operator(&text)
        } else {
            let env = |name| std::env::var(name).ok();
            let additions = env("WHEELLINK_ADDITIONS").map(|path| {
                std::fs::read_to_string(&path).map_err(|e| format!("{path} cannot be read: {e}"))
            });
            let additions = additions.transpose()?;
            let (listen, control) = (env("EDGE_LISTEN"), env("EDGE_CONTROL"));
            config::platform(&text, listen.as_deref(), control.as_deref(), additions.as_deref())
        };
        config.and_then(Config::within_system_limit).map_err(|e| format!("{path}: {e}"))
    };
    let config = read()?;

    let failed = |what: &'static str| move |e: calloop::Error| format!("{what}: {e}");
    let mut events = EventLoop::<Wakes>::try_new().map_err(failed("cannot create the event loop"))?;
    let handle = events.handle();
    // Without a handler these signals would end the process. SIGHUP asks it to read the configuration again.
    let signals = Signals::new(&[Signal::SIGTERM, Signal::SIGHUP]).map_err(|e| format!("signals: {e}"))?;
    let on_signal = |event: calloop::signals::Event, _: &mut (), wakes: &mut Wakes| match event.signal() {
        Signal::SIGHUP => wakes.push(Wake::Reload),
        _ => wakes.push(Wake::Stop),
    };
    handle.insert_source(signals, on_signal).map_err(|e| format!("signals: {e}"))?;

    let claim = upgrade::claim(config.listen, node::rollout_request(&config).as_ref())?;
    let mut node = Node::new(handle.clone(), config, claim, began)?;
    node.open_listeners()?;

    let mut wakes = Wakes::default();
    let mut dispatch = |node: &mut Node, wait: Duration| {
        events.dispatch(Some(wait), &mut wakes).map_err(failed("the event loop failed"))?;
        node.polled(wait);
        while let Some(wake) = wakes.next() {
            match wake {
                Wake::Reload => node.reload(read()),
                wake => node.handle_wake(wake),
            }
        }
        Ok::<(), String>(())
    };
    while !node.is_done() {
        // Input that has arrived is handled before due timers: the process may have been stopped, and its wait interrupted,
        // before it read that input.
        let due = node.is_due();
        if due {
            dispatch(&mut node, Duration::ZERO)?;
        }
        let wait = node.run_iteration(due);
        dispatch(&mut node, wait)?;
    }
    node.shut_down();
    Ok(())
}
