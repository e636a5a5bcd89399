//! Public types: turns, sites, advice and settings.

use std::fmt;
use std::time::Duration;

/// Largest number of hashes that a turn may carry: more would not fit one line of a call to a host.
pub const MAX_HASHES: usize = 64;
/// Largest number of sites in an advice.
pub const MAX_CHOICES: usize = 3;
/// Largest number of sites tracked: each placement evaluates all of them.
pub const MAX_SITES: usize = 256;
/// Largest number of turns that wait for recomputation budget at once.
pub const MAX_WAITING_TURNS: usize = 256;
/// The weight of a site for which none was set.
pub const DEFAULT_WEIGHT: u16 = 100;

/// An activator, by its number in the membership.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MemberId(pub u32);

/// A site: hosts that share a cache. The number is a hash of the site's name, and so is the same at every activator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SiteId(pub u32);

/// Identifies one attempt of one turn, from [`crate::TurnRouter::on_sent`] to its end; chosen by the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptToken(pub u64);

/// A turn of a conversation.
#[derive(Clone, Debug, PartialEq)]
pub struct Turn {
    /// The conversation, as numbered by the client.
    pub conversation: u64,
    /// The tenant that sent the turn. Trust in reported hashes is kept per tenant.
    pub tenant: u32,
    /// Hashes of prefixes of increasing length, the longest last. Each covers one block more than the one before.
    pub prefix: Vec<u64>,
    /// Blocks that the turn adds to its prefix.
    pub new_blocks: u16,
    /// Value of an answer in time, relative to other turns; 1 by default.
    pub worth: f64,
    /// Time left until the answer is late.
    pub time_left: Duration,
}

/// Why the text of a turn cannot be parsed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TurnParseError {
    /// It does not have the three parts CONVERSATION;NEW;HASH,HASH,...
    Parts,
    /// The conversation is not 1 to 16 hex digits.
    Conversation,
    /// The number of new blocks is not a number from 0 to 65,535.
    NewBlocks,
    /// A hash is not 1 to 16 hex digits.
    Hash,
    /// There are more hashes than [`MAX_HASHES`].
    TooLong,
}

impl fmt::Display for TurnParseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Parts => "a turn is CONVERSATION;NEW;HASH,HASH,...",
            Self::Conversation => "a conversation is 1 to 16 hex digits",
            Self::NewBlocks => "new blocks are a number from 0 to 65535",
            Self::Hash => "a hash is 1 to 16 hex digits",
            Self::TooLong => "a turn carries at most 64 hashes",
        })
    }
}

impl std::error::Error for TurnParseError {}

fn hex(text: &str) -> Option<u64> {
    let digits = (1..=16).contains(&text.len()) && text.bytes().all(|b| b.is_ascii_hexdigit());
    digits.then(|| u64::from_str_radix(text, 16).ok()).flatten()
}

impl Turn {
    /// Parses CONVERSATION;NEW;HASH,HASH,... The list of hashes is empty for a conversation's first turn.
    pub fn parse(text: &str) -> Result<(u64, u16, Vec<u64>), TurnParseError> {
        let mut parts = text.split(';').map(str::trim);
        let (Some(conversation), Some(new), Some(hashes), None) =
            (parts.next(), parts.next(), parts.next(), parts.next())
        else {
            return Err(TurnParseError::Parts);
        };
        let conversation = hex(conversation).ok_or(TurnParseError::Conversation)?;
        let digits = !new.is_empty() && new.bytes().all(|b| b.is_ascii_digit());
        let new = digits.then(|| new.parse().ok()).flatten().ok_or(TurnParseError::NewBlocks)?;
        if hashes.is_empty() {
            return Ok((conversation, new, Vec::new()));
        }
        if hashes.bytes().filter(|b| *b == b',').count() >= MAX_HASHES {
            return Err(TurnParseError::TooLong);
        }
        let prefix: Option<Vec<u64>> = hashes.split(',').map(|h| hex(h.trim())).collect();
        Ok((conversation, new, prefix.ok_or(TurnParseError::Hash)?))
    }
}

/// The current state of a site, when a turn is placed. Sites that are not listed are unavailable.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SiteStatus {
    /// The site.
    pub site: SiteId,
    /// Turns that the site runs in parallel; above 0.
    pub capacity: f64,
    /// Turns known to be in flight there.
    pub in_flight: f64,
    /// The site is in another zone than the activator: sending a turn there costs [`Settings::zone_cost`] more.
    pub remote: bool,
}

/// Why a site is advised.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// It is expected to hold the conversation's prefix.
    ConversationCached,
    /// It is expected to hold a prefix that the conversation has in common with others.
    PrefixCached,
    /// No site with room is expected to hold anything that helps: this one has the lowest cost.
    Load,
    /// The site that held the prefix is gone: this one recomputes it, within its recomputation budget.
    Recompute,
}

/// One advised site.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Choice {
    /// The site.
    pub site: SiteId,
    /// Blocks of the prefix that it is expected to hold.
    pub expected_blocks: u16,
    /// Why it is advised.
    pub reason: Reason,
}

/// Identifies a turn that waits for recomputation budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WaitingId(pub u64);

/// What happens to a turn now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum Decision {
    /// It is sent to one of the advised sites.
    #[default]
    Send,
    /// Its cached prefix is lost and the recomputation budgets are exhausted. It waits until
    /// [`crate::TurnRouter::release`] names it, at the latest until this time: [`Settings::wait_share`] of its
    /// time left.
    Wait(WaitingId, Duration),
    /// The budgets do not allow a recomputation in time: the caller answers the client at once, without sending the
    /// turn.
    Reject,
}

/// Where a turn should go.
#[derive(Clone, Debug, PartialEq, Default)]
pub struct Advice {
    /// The sites, best first, at most [`MAX_CHOICES`]. Empty if no site is available or the turn is not sent now.
    pub choices: Vec<Choice>,
    /// Whether the turn is sent now.
    pub decision: Decision,
}

/// Settings that differ between installations.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Time that one lane of a site takes to compute one block.
    pub block_cost: Duration,
    /// Cost of a call to another zone, as time.
    pub zone_cost: Duration,
    /// Largest load of a site, relative to its fair share, at which it is still chosen for what it holds; 1.05 to 4.
    pub bound: f64,
    /// Bytes for the tables of prefixes; 64 KiB to 4 GiB.
    pub table_bytes: usize,
    /// Time between two messages to other activators; 50 ms to 60 s.
    pub gossip_period: Duration,
    /// Bytes sent to all other activators together within a period.
    pub gossip_bytes: usize,
    /// Share of the sites' capacity that all activators together may spend on recomputing the prefixes of a lost
    /// site; 0 to 1. Unused lane time may be spent on it in addition.
    pub recompute_share: f64,
    /// Share of its time left that a turn may wait for recomputation budget before it is rejected; 0 to 0.9.
    pub wait_share: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            block_cost: Duration::from_millis(5),
            zone_cost: Duration::from_millis(2),
            bound: 1.2,
            table_bytes: 16 << 20,
            gossip_period: Duration::from_millis(500),
            gossip_bytes: 9_600,
            recompute_share: 0.3,
            wait_share: 0.3,
        }
    }
}

/// An invalid setting.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError(pub &'static str);

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.0)
    }
}

impl std::error::Error for SettingsError {}

impl Settings {
    /// Checks that every setting is within its range.
    pub fn check(&self) -> Result<(), SettingsError> {
        let wrong = |wrong: bool, what| if wrong { Err(SettingsError(what)) } else { Ok(()) };
        let second = Duration::from_secs(1);
        wrong(
            self.block_cost.is_zero() || self.block_cost > 10 * second,
            "the price of a block is above 0 and up to 10 s",
        )?;
        wrong(self.zone_cost > 10 * second, "the price across zones is up to 10 s")?;
        wrong(!(1.05..=4.0).contains(&self.bound), "the bound of load is 1.05 to 4 times the mean")?;
        wrong(!(64 << 10..=4 << 30).contains(&self.table_bytes), "the table memory is 64 KiB to 4 GiB")?;
        let period = Duration::from_millis(50)..=60 * second;
        wrong(!period.contains(&self.gossip_period), "the period is 50 ms to 60 s")?;
        wrong(!(1_200..=1 << 20).contains(&self.gossip_bytes), "bytes told per period are 1,200 to 1 MiB")?;
        wrong(!(0.0..=1.0).contains(&self.recompute_share), "the share for computing anew is 0 to 1")?;
        wrong(!(0.0..=0.9).contains(&self.wait_share), "the share of time for holding a turn is 0 to 0.9")
    }
}

/// What the caller has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send one datagram to another activator. It may be lost, duplicated, delayed or reordered.
    Send {
        /// The receiver.
        to: MemberId,
        /// The payload, at most 1,194 bytes.
        data: Vec<u8>,
    },
}
