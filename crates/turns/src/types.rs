//! The words of this crate: turns, sites, advice, settings.

use std::fmt;
use std::time::Duration;

/// Hashes that a turn may carry: more would not fit one line of a call to a host.
pub const MAX_PREFIX_HASHES: usize = 64;
/// Sites that an advice names at most.
pub const MAX_CHOICES: usize = 3;
/// Sites that are told apart at most: each placement looks at every one of them.
pub const MAX_SITES: usize = 256;
/// Turns that wait at once at most for a share of what sites may compute anew.
pub const MAX_WAITING_TURNS: usize = 256;
/// The weight of a site of which nothing was said.
pub const DEFAULT_SITE_WEIGHT: u16 = 100;

/// An activator, by the number that its members know.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ActivatorId(pub u32);

/// A site: hosts that share a cache. The number is the same at every activator, as a hash of its name is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SiteId(pub u32);

/// What stands for one attempt of one turn, from [`crate::TurnRouter::attempt_sent`] to its end; the caller's own numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptToken(pub u64);

/// A turn of a conversation.
#[derive(Clone, Debug, PartialEq)]
pub struct Turn {
    /// The conversation, in the client's numbering.
    pub conversation: u64,
    /// Whose it is: who tells falsehoods is told apart by it.
    pub tenant: u32,
    /// Hashes of ever longer prefixes, the longest last; each stands for one block more than the one before.
    pub prefix: Vec<u64>,
    /// Blocks that the turn adds to its prefix.
    pub new_blocks: u16,
    /// What an answer in time earns, against other turns; 1 for the usual.
    pub worth: f64,
    /// Time left until its answer is late.
    pub time_left: Duration,
}

/// Why a line is no turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TurnParseError {
    /// It has not three parts, CONVERSATION;NEW;HASH,HASH,...
    Parts,
    /// The conversation is not 1 to 16 hex digits.
    Conversation,
    /// The new blocks are no number from 0 to 65,535.
    NewBlocks,
    /// A hash is not 1 to 16 hex digits.
    Hash,
    /// More hashes than [`MAX_PREFIX_HASHES`].
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
    /// Reads CONVERSATION;NEW;HASH,HASH,... The list of hashes may be empty: a conversation's first turn.
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
        if hashes.bytes().filter(|b| *b == b',').count() >= MAX_PREFIX_HASHES {
            return Err(TurnParseError::TooLong);
        }
        let prefix: Option<Vec<u64>> = hashes.split(',').map(|h| hex(h.trim())).collect();
        Ok((conversation, new, prefix.ok_or(TurnParseError::Hash)?))
    }
}

/// A site as it stands when a turn is placed. Sites that are not told are not there.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SiteStatus {
    /// Which.
    pub site: SiteId,
    /// Turns that it runs at once without one waiting for another; above 0.
    pub capacity: f64,
    /// Turns that it is known to hold now.
    pub in_flight: f64,
    /// It is in another zone than the caller: what it is sent costs [`Settings::cross`] more.
    pub other_zone: bool,
}

/// Why a site is advised.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// It is believed to hold the conversation.
    ConversationCached,
    /// It is believed to hold what the conversation has in common with others.
    PrefixCached,
    /// Nothing that helps is believed to lie anywhere, or not where there is room: the least dear one.
    Load,
    /// What held it is gone: it is computed anew, within what this site may compute so.
    Recompute,
}

/// One advised site.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Choice {
    /// Which.
    pub site: SiteId,
    /// Blocks that it is believed to hold.
    pub expected_blocks: u16,
    /// Why it stands here.
    pub reason: Reason,
}

/// What stands for a turn that waits for a share of what sites may compute anew.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WaitingId(pub u64);

/// What becomes of a turn now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum Decision {
    /// It goes to one of the sites advised.
    #[default]
    Dispatch,
    /// What held it is lost, and sites may compute no more anew just now: it waits until [`crate::TurnRouter::release`]
    /// names it, and no longer than until this time, which is [`Settings::hold`] of its time left at most.
    Wait(WaitingId, Duration),
    /// Sites may not compute it anew within its time: it is to be answered at once, and was not sent.
    Reject,
}

/// Where a turn should go.
#[derive(Clone, Debug, PartialEq, Default)]
pub struct Advice {
    /// Best first, at most [`MAX_CHOICES`]; empty where nothing is known of any site, and unless it goes now.
    pub choices: Vec<Choice>,
    /// Whether it goes there now.
    pub decision: Decision,
}

/// What a fleet's turns are like. Everything that differs between installations.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Time of one lane of a site for computing one block anew.
    pub block_cost: Duration,
    /// What a call across zones costs, as time.
    pub cross_zone_cost: Duration,
    /// A site's load over the mean load above which it is not chosen for what it holds; 1.05 to 4.
    pub load_bound: f64,
    /// Bytes for what is believed of prefixes; 64 KiB to 4 GiB.
    pub memory_bytes: usize,
    /// Between two tellings to other activators; 50 ms to 60 s.
    pub gossip_period: Duration,
    /// Bytes told to all others together within a period.
    pub gossip_bytes: usize,
    /// Share of sites' capacity for computing anew what a lost site held, all activators together; 0 to 1. Lanes'
    /// time that is left unused may be used for that besides.
    pub recompute_share: f64,
    /// Share of the time left that a turn may wait for that before it is given up; 0 to 0.9.
    pub max_wait_share: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            block_cost: Duration::from_millis(5),
            cross_zone_cost: Duration::from_millis(2),
            load_bound: 1.2,
            memory_bytes: 16 << 20,
            gossip_period: Duration::from_millis(500),
            gossip_bytes: 9_600,
            recompute_share: 0.3,
            max_wait_share: 0.3,
        }
    }
}

/// A setting that cannot be.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError(pub &'static str);

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.0)
    }
}

impl std::error::Error for SettingsError {}

impl Settings {
    /// What is wrong with them.
    pub fn check(&self) -> Result<(), SettingsError> {
        let wrong = |wrong: bool, what| if wrong { Err(SettingsError(what)) } else { Ok(()) };
        let second = Duration::from_secs(1);
        wrong(
            self.block_cost.is_zero() || self.block_cost > 10 * second,
            "the price of a block is above 0 and up to 10 s",
        )?;
        wrong(self.cross_zone_cost > 10 * second, "the price across zones is up to 10 s")?;
        wrong(!(1.05..=4.0).contains(&self.load_bound), "the bound of load is 1.05 to 4 times the mean")?;
        wrong(
            !(64 << 10..=4 << 30).contains(&self.memory_bytes),
            "the memory of prefixes is 64 KiB to 4 GiB",
        )?;
        let period = Duration::from_millis(50)..=60 * second;
        wrong(!period.contains(&self.gossip_period), "the period is 50 ms to 60 s")?;
        wrong(
            !(1_200..=1 << 20).contains(&self.gossip_bytes),
            "bytes told within a period are 1,200 to 1 MiB",
        )?;
        wrong(!(0.0..=1.0).contains(&self.recompute_share), "the share for computing anew is 0 to 1")?;
        wrong(!(0.0..=0.9).contains(&self.max_wait_share), "the share of time for holding a turn is 0 to 0.9")
    }
}

/// What is to be done for the crate.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// One datagram to another activator; it may be lost, doubled, late, reordered.
    Send {
        /// To whom.
        to: ActivatorId,
        /// At most 1,194 bytes.
        data: Vec<u8>,
    },
}
