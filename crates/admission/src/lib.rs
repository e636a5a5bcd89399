//! Admission control: decides which connections are accepted and which requests may proceed.
//!
//! This crate keeps bounded state by client address ([`AddressTable`]), enforces caps, rate limits and penalties,
//! distinguishes known clients from others, accounts for descriptors and memory in [`Ledger`]s, and adapts the limit of
//! concurrent requests ([`AdaptiveLimit`]).
//!
//! All state is bounded: tables do not grow with the number of clients, ledgers are never overdrawn and every penalty
//! ends. The crate does no I/O and reads no clock: callers pass the time in microseconds, and it may jump.
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
    Admission, ClientAddress, ClientStatus, LearnedState, Reason, RefusalSummary, RequestInfo,
};
pub use ledger::{Ledger, LedgerError, Owner, TakeOutcome};
pub use prefix::{Prefix, PrefixError};
pub use rate::{Rate, RateLimiter};
pub use rules::{Caps, Penalty, Rules, RulesError};
pub use table::{AddressTable, Entry};
