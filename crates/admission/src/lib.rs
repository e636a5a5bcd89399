//! Who is let in: at accept, at a connection's first whole request, and at each request.
//!
//! This crate owns what is known of addresses (a bounded [`AddressTable`]), their caps, rates and penalties, who is
//! known, the [`Ledger`]s of descriptors and memory, and the [`AdaptiveLimit`] limit of requests under way. It
//! promises bounds: no table grows with who comes, no ledger is overdrawn, no penalty lasts for ever. It knows no
//! socket, no wire and no clock: time is passed in, in microseconds, and may jump.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod adaptive;
mod admission;
mod ledger;
mod prefix;
mod rate;
mod rules;
mod table;

pub use adaptive::{AdaptiveLimit, AdaptiveRules, LimitRefusal};
pub use admission::{
    Admission, ClientAddress, ClientStatus, LearnedState, RefusalReason, RefusalSummary, RequestInfo,
};
pub use ledger::{Ledger, LedgerError, Owner, TakeOutcome};
pub use prefix::{Prefix, PrefixError};
pub use rate::{Rate, RateLimiter};
pub use rules::{Caps, Penalty, Rules, RulesError};
pub use table::{AddressEntry, AddressTable};
