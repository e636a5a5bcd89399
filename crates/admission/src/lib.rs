//! Who is let in: at accept, at a connection's first whole request, and at each request.
//!
//! This crate owns what is known of addresses (a bounded [`Table`]), their caps, rates and penalties, who is
//! known, the [`Ledger`]s of descriptors and memory, and the [`Adaptive`] limit of requests under way. It
//! promises bounds: no table grows with who comes, no ledger is overdrawn, no penalty lasts for ever. It knows no
//! socket, no wire and no clock: time is passed in, in microseconds, and may jump.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod adaptive;
mod gate;
mod ledger;
mod prefix;
mod rate;
mod rules;
mod table;

pub use adaptive::{Adaptive, AdaptiveRules, Refused};
pub use gate::{Admission, Asking, Origin, Reason, Standing, State, Window};
pub use ledger::{Ledger, LedgerError, Owner, Taken};
pub use prefix::{Prefix, PrefixError};
pub use rate::{Rate, Tat};
pub use rules::{Caps, Penalty, Rules, RulesError};
pub use table::{Entry, Table};
