//! Fault injection for tests: in debug builds `WHEELLINK_FAULTS` names system calls that create a descriptor, and the errors
//! that they return instead. Release builds ignore it.
//!
//! The format is `call:error:from:count`, with commas between several rules: `accept:EMFILE:3:5` makes the 3rd to 7th
//! `accept` fail.

use std::io;

/// An operation that can be made to fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Accepting a connection.
    Accept,
    /// Opening a connection.
    Connect,
    /// Not a system call: the attempt is not sent, as if the agreed settings by which it was decided were no longer in force.
    Attempt,
}

/// The error that this call is to inject instead of being made.
pub fn inject(fault: Fault) -> io::Result<()> {
    if cfg!(debug_assertions) {
        plan::inject(fault)
    } else {
        Ok(())
    }
}

mod plan {
    use std::cell::RefCell;
    use std::io;

    use super::Fault;

    struct Rule {
        fault: Fault,
        error: i32,
        from: u32,
        until: u32,
    }

    struct Plan {
        rules: Vec<Rule>,
        calls: [u32; 3],
    }

    thread_local!(static PLAN: RefCell<Plan> = RefCell::new(Plan {
        rules: parse(&std::env::var("WHEELLINK_FAULTS").unwrap_or_default()),
        calls: [0; 3],
    }));

    fn parse(text: &str) -> Vec<Rule> {
        let rule = |part: &str| {
            let mut parts = part.split(':');
            let fault = match parts.next()? {
                "accept" => Fault::Accept,
                "connect" => Fault::Connect,
                "attempt" => Fault::Attempt,
                _ => return None,
            };
            let error = match parts.next()? {
                "EAGAIN" => 11,
                "EMFILE" => 24,
                "ENFILE" => 23,
                "ENOBUFS" => 105,
                "ECONNABORTED" => 103,
                _ => return None,
            };
            let from = parts.next()?.parse().ok()?;
            Some(Rule { fault, error, from, until: parts.next()?.parse::<u32>().ok()?.saturating_add(from) })
        };
        text.split(',').filter_map(rule).collect()
    }

    pub fn inject(fault: Fault) -> io::Result<()> {
        PLAN.with_borrow_mut(|plan| {
            if plan.rules.is_empty() {
                return Ok(());
            }
            let calls = &mut plan.calls[fault as usize];
            *calls += 1;
            let number = *calls;
            let hit = plan.rules.iter().find(|f| f.fault == fault && (f.from..f.until).contains(&number));
            hit.map_or(Ok(()), |f| Err(io::Error::from_raw_os_error(f.error)))
        })
    }
}
