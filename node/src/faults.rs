//! Faults of the system, made common on purpose: in debug builds `WHEELLINK_FAULTS` names calls that make a
//! descriptor and what they return instead. Release builds have none of it.
//!
//! The form is `call:error:from:count`, several with commas: `accept:EMFILE:3:5` has the 3rd to 7th `accept` fail.

use std::io;

/// A call that makes a descriptor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Taking a connection in.
    Accept,
    /// A socket for a connection to somebody else.
    Connect,
    /// No call of the system: an attempt is withheld, as if the terms that it was decided by were not obeyed any more.
    Attempt,
}

/// The error that this call is to inject instead of being made.
pub fn inject(call: Fault) -> io::Result<()> {
    if cfg!(debug_assertions) {
        plan::inject(call)
    } else {
        Ok(())
    }
}

mod plan {
    use std::cell::RefCell;
    use std::io;

    use super::Fault;

    struct Rule {
        call: Fault,
        error: i32,
        from: u32,
        until: u32,
    }

    struct Plan {
        faults: Vec<Rule>,
        made: [u32; 3],
    }

    thread_local!(static PLAN: RefCell<Plan> = RefCell::new(Plan {
        faults: read(&std::env::var("WHEELLINK_FAULTS").unwrap_or_default()),
        made: [0; 3],
    }));

    fn read(text: &str) -> Vec<Rule> {
        let fault = |part: &str| {
            let mut words = part.split(':');
            let call = match words.next()? {
                "accept" => Fault::Accept,
                "connect" => Fault::Connect,
                "attempt" => Fault::Attempt,
                _ => return None,
            };
            let error = match words.next()? {
                "EAGAIN" => 11,
                "EMFILE" => 24,
                "ENFILE" => 23,
                "ENOBUFS" => 105,
                "ECONNABORTED" => 103,
                _ => return None,
            };
            let from = words.next()?.parse().ok()?;
            Some(Rule { call, error, from, until: words.next()?.parse::<u32>().ok()?.saturating_add(from) })
        };
        text.split(',').filter_map(fault).collect()
    }

    pub fn inject(call: Fault) -> io::Result<()> {
        PLAN.with_borrow_mut(|plan| {
            if plan.faults.is_empty() {
                return Ok(());
            }
            let made = &mut plan.made[call as usize];
            *made += 1;
            let now = *made;
            let hit = plan.faults.iter().find(|f| f.call == call && (f.from..f.until).contains(&now));
            hit.map_or(Ok(()), |f| Err(io::Error::from_raw_os_error(f.error)))
        })
    }
}
