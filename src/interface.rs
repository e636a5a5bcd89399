//! Events that a [`Router`](crate::Router) takes and actions that it returns: plain data, no decisions.
//!
//! All times are microseconds on the embedder's monotonic clock, whose origin is arbitrary.

use std::fmt;
use std::sync::Arc;

use crate::renumbering::Renumbering;

/// A point in time or a length of time, in microseconds.
pub type Micros = i64;

macro_rules! id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub Arc<str>);
        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(text.into())
            }
        }
    };
}
id!(
    /// Id of a worker, the same at every router.
    WorkerId
);
id!(
    /// Id of one request of a client; never reused.
    RequestId
);
id!(
    /// Id of a function (or model) that requests call.
    FunctionId
);

/// Whether a request of a class may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// May run any number of times.
    Safe,
    /// May be repeated within `window` after the first attempt that may have run, at the workers of one scope, which
    /// drop repeats.
    Keyed {
        /// Workers that drop each other's repeats.
        scope: Scope,
        /// How long they do.
        window: Micros,
    },
    /// Must never run twice.
    Unsafe,
}

impl Effect {
    /// The effect that satisfies both: unsafe before keyed before safe; of two keyed, the narrower scope and the shorter
    /// window.
    pub fn stricter(self, other: Self) -> Self {
        match (self, other) {
            (Self::Unsafe, _) | (_, Self::Unsafe) => Self::Unsafe,
            (Self::Safe, strict) | (strict, Self::Safe) => strict,
            (Self::Keyed { scope: a, window: x }, Self::Keyed { scope: b, window: y }) => {
                Self::Keyed { scope: a.max(b), window: x.min(y) }
            }
        }
    }
}

/// Workers that drop each other's repeats of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Scope {
    /// All workers.
    All,
    /// Those in one zone.
    Zone,
    /// Those in one cell.
    Cell,
}

/// A class of requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Class {
    /// Latency aim: answers within this time earn the full worth.
    pub aim: Micros,
    /// Time after which a client gives up.
    pub give_up: Micros,
    /// Worth of a request relative to other classes.
    pub worth: f64,
    /// Share of the worth that a late answer still earns.
    pub late_worth: f64,
    /// Whether a request may run more than once.
    pub effect: Effect,
    /// Maximum attempts of one request, if fewer than [`Settings::max_attempts`].
    pub attempts: Option<u32>,
}

/// A tenant.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Requests a second, over all routers, that are worth their full class worth.
    pub quota: f64,
}

/// At most `free + share * requests` load orders within any `period`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadBudget {
    /// Orders allowed without any requests.
    pub free: f64,
    /// Further orders for each request counted within the period.
    pub share: f64,
    /// Length of the window.
    pub period: Micros,
}

/// What a worker does with a request for a function that it has not loaded.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WhenCold {
    #[default]
    /// Loads it while the request waits there.
    Loads,
    /// Answers [`Outcome::Miss`]; only [`Action::Load`] loads the function.
    Misses,
}

/// How the router gets changes of the worker list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Discovery {
    #[default]
    /// Changes are pushed to it.
    Pushed,
    /// Only after [`Action::Subscribe`].
    OnRequest,
}

/// Settings of a deployment, given at the start and whenever they change.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// Routers that share the traffic, this one included.
    pub routers: u32,
    /// Classes; events name them by index.
    pub classes: Vec<Class>,
    /// Tenants; events name them by index. May be empty.
    pub tenants: Vec<Tenant>,
    /// Factor for the worth of a request beyond its tenant's quota.
    pub over_share_worth: f64,
    /// This router's zone, if known; entries of the worker list use the same numbers.
    pub zone: Option<u32>,
    /// How the router gets the worker list.
    pub discovery: Discovery,
    /// What workers do with a request for a function that they have not loaded.
    pub when_cold: WhenCold,
    /// Keep-alive: an idle copy stays loaded at least this long.
    pub keep: Micros,
    /// Whether `Load` orders may be given.
    pub orders: bool,
    /// Limit on load orders; `None` for no limit.
    pub load_budget: Option<LoadBudget>,
    /// Whether attempts may be cancelled.
    pub cancel: bool,
    /// Maximum attempts of one request.
    pub max_attempts: u32,
    /// Maximum wait that a refused client honours.
    pub max_retry_after: Micros,
    /// A starting worker has at least this share of its capacity.
    pub cold_from: f64,
    /// Time after which it has its full capacity.
    pub cold_for: Micros,
    /// A starting worker fails when it is sent more than this multiple of its capacity for [`Settings::fall_window`].
    pub fall_multiple: f64,
    /// See [`Settings::fall_multiple`].
    pub fall_window: Micros,
    /// Index of this router among all, from 0.
    pub router_index: u32,
    /// Maximum size of a gossip datagram; 0: no gossip.
    pub max_gossip_bytes: usize,
}

impl Settings {
    /// Checks that the settings are valid.
    pub fn check(&self) -> Result<(), SettingsError> {
        let bad = |wrong: bool, what| if wrong { Err(SettingsError(what)) } else { Ok(()) };
        bad(self.classes.is_empty(), "no classes")?;
        bad(self.routers == 0, "no routers")?;
        let attempts = self.classes.iter().filter_map(|c| c.attempts).chain([self.max_attempts]);
        bad(attempts.into_iter().any(|n| n == 0), "no attempts allowed")?;
        let deadlines = self.classes.iter().flat_map(|c| [c.aim, c.give_up]);
        bad(deadlines.into_iter().any(|t| t <= 0), "a deadline that is not above 0")?;
        let windows = self.classes.iter().map(|c| match c.effect {
            Effect::Keyed { window, .. } => window,
            _ => 0,
        });
        let period = self.load_budget.map_or(0, |b| b.period);
        let times = [self.keep, self.cold_for, self.fall_window, self.max_retry_after, period];
        bad(times.into_iter().chain(windows).any(|t| t < 0), "a negative time")?;
        let budget = self.load_budget.map_or([0.0; 2], |b| [b.free, b.share]);
        let worths = self.classes.iter().flat_map(|c| [c.worth, c.late_worth]);
        let quotas = self.tenants.iter().map(|t| t.quota);
        let shares = [self.cold_from, self.fall_multiple, self.over_share_worth];
        let mut shares = shares.into_iter().chain(budget).chain(worths).chain(quotas);
        bad(shares.any(|x| !x.is_finite() || x < 0.0), "a share or rate that is negative or not finite")
    }
}

/// Why [`Router::new`](crate::Router::new) rejected the settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError(pub &'static str);

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "invalid settings: {}", self.0)
    }
}
impl std::error::Error for SettingsError {}

/// Whether a listed worker takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// In service.
    Up,
    /// Takes no new work and finishes what it holds.
    Draining,
    /// Removed.
    Gone,
}

/// One entry of the worker list.
#[derive(Clone, Debug, PartialEq)]
pub struct ListEntry {
    /// The worker.
    pub worker: WorkerId,
    /// Its zone; `None` if unknown. It then shares a zone with no other worker.
    pub zone: Option<u32>,
    /// Its cell; `None` if unknown. It then shares a cell with no other worker.
    pub cell: Option<i64>,
    /// Its state.
    pub condition: Condition,
    /// Its size relative to other workers.
    pub size: f64,
    /// When it last started; 0 if long ago.
    pub ready_at: Micros,
}

/// What a list event holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// The whole list as last seen, perhaps stale.
    Cached,
    /// The whole list.
    Full,
    /// Changed entries.
    Delta,
    /// A request for the list failed; no entries.
    Failed,
}

/// A function assumed to be loaded on a worker, as a router hands it over to its successor.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadedFunction {
    /// The worker.
    pub worker: WorkerId,
    /// The function.
    pub function: FunctionId,
    /// Requests that one copy runs at once.
    pub lanes: u32,
    /// Number of copies.
    pub copies: u32,
    /// Assumed to be loaded until this time.
    pub until: Micros,
    /// Recent calls of the function.
    pub calls: f64,
}

/// Calls and orders that count for the load budget in one short interval.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Start of the interval, which lasts [`Tally::LENGTH_US`].
    pub at: Micros,
    /// Calls, which add to the budget.
    pub calls: u32,
    /// Orders, which use it.
    pub orders: u32,
}

impl Tally {
    /// Length of an interval.
    pub const LENGTH_US: Micros = 100_000;
}

/// State that a router hands over to the one that replaces it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HandoverState {
    /// Functions assumed to be loaded.
    pub loaded: Vec<LoadedFunction>,
    /// Recent calls and orders: the load budget counts both routers as one.
    pub tallies: Vec<Tally>,
    /// Estimated answers a second if all workers were warm; the limit for starting workers is a share of them.
    pub served: f64,
    /// Times of recent attempts at starting workers, whose limit counts both routers as one.
    pub sends: Vec<(WorkerId, Vec<Micros>)>,
    /// The sending router keeps running alongside the receiver, which must not report the received tallies as its own.
    pub sender_keeps_running: bool,
}

/// An ended attempt that a request had at another router, which has ended too.
#[derive(Clone, Debug, PartialEq)]
pub struct PastAttempt {
    /// The worker.
    pub worker: WorkerId,
    /// When it was sent.
    pub sent: Micros,
    /// How it ended. An outcome for which [`Outcome::never_ran`] is true may only be given if that is proven.
    pub outcome: Outcome,
}

/// How an attempt, a load order or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// Served, or the copies are loaded.
    Done,
    /// The worker answered with an error; it may have run.
    Error,
    /// Rejected before it was processed; never ran.
    Full,
    /// Timed out; may have run.
    TimedOut,
    /// The connection could not be opened; never ran.
    ConnectFailed,
    /// The connection broke; may have run.
    Reset,
    /// Cancelled; may have run.
    Cancelled,
    /// Never sent.
    NotSent,
    /// Never sent, as this process has no connection left; says nothing about the worker.
    NoConnection,
    /// The function is not loaded there, or its load failed; never ran.
    Miss,
}

impl Outcome {
    /// Whether this outcome proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Self::Full | Self::ConnectFailed | Self::NotSent | Self::NoConnection | Self::Miss)
    }
}

/// What an answer reports about the copy that served it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Found {
    /// A copy was loaded.
    Warm,
    /// The request began a load.
    BeganLoad,
    /// It waited for a load that was already in progress.
    AwaitedLoad,
    /// The load failed.
    LoadFailed,
}

/// A worker's report of its load from all routers together; it is late and rounded.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadReport {
    /// Requests that it holds.
    pub in_flight: f64,
    /// Of these, requests that wait there and use no core; 0 if not reported.
    pub waiting: f64,
}

impl LoadReport {
    /// A report above this is corrupt: no worker holds as many requests.
    const MAX_REQUESTS: f64 = 1e6;

    /// Creates a report; `None` if a figure is negative, not a number or above the maximum.
    pub fn new(in_flight: f64, waiting: f64) -> Option<Self> {
        let figures = [in_flight, waiting].iter().all(|n| (0.0..=Self::MAX_REQUESTS).contains(n));
        figures.then_some(Self { in_flight, waiting: waiting.min(in_flight) })
    }
}

/// Input of the router.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The worker list, or changes of it.
    List {
        /// What it holds.
        kind: ListKind,
        /// Its entries.
        entries: Vec<ListEntry>,
    },
    /// A request has arrived; it must get exactly one final answer.
    Arrival {
        /// Its id.
        request: RequestId,
        /// Index of its class.
        class: usize,
        /// Index of its tenant.
        tenant: Option<usize>,
        /// The function that it calls.
        function: FunctionId,
        /// When its client gives up.
        due: Micros,
        /// Requests that one copy of the function runs at once.
        lanes: u32,
        /// A client's retry of a failed request, where clients mark them.
        repeat: bool,
        /// Expected work, as time on a standard core; 0 if unknown.
        hint: Micros,
    },
    /// The client has left; no answer is needed.
    ClientLeft {
        /// The request.
        request: RequestId,
    },
    /// No further attempt of the request may begin, as its client may have gone. An attempt in progress continues.
    NoFurtherAttempt {
        /// The request.
        request: RequestId,
    },
    /// An attempt has ended.
    Answer {
        /// The request.
        request: RequestId,
        /// Which of its attempts, counted from 0.
        attempt: u32,
        /// The worker that it was sent to.
        worker: WorkerId,
        /// How it ended.
        outcome: Outcome,
        /// Whether the request is finished, by this attempt or before.
        finished: bool,
        /// Time since it was sent.
        duration: Micros,
        /// What the answer reports about the copy.
        found: Option<Found>,
        /// Requests for the same function that the worker held when this one arrived.
        overlap: Option<u32>,
        /// The last load report of the worker.
        report: Option<LoadReport>,
    },
    /// A streamed answer has begun; its attempt is neither cancelled nor retried any more.
    StreamStarted {
        /// The request.
        request: RequestId,
    },
    /// A load order has ended.
    LoadEnded {
        /// The worker.
        worker: WorkerId,
        /// The function.
        function: FunctionId,
        /// How it ended.
        outcome: Outcome,
        /// Number of loaded copies.
        copies: u32,
    },
    /// An operator takes a worker out of service, whatever the list says, or returns it.
    OutOfService {
        /// The worker.
        worker: WorkerId,
        /// Whether it is out of service.
        out: bool,
    },
    /// The settings have changed. Requests that were open before keep their class and tenant.
    Settings(Box<Settings>),
    /// Other terms of the same classes and tenants, with the same indexes. From now on, an open request gets the stricter
    /// of the terms it arrived under and these.
    ClassTerms(Box<Settings>),
    /// A gossip datagram of another router.
    GossipReceived {
        /// Index of the sender.
        from: u32,
        /// The datagram.
        data: Vec<u8>,
    },
    /// State of the router that this one replaces.
    Handover(HandoverState),
    /// Attempts that the request of the next [`Event::Arrival`] had at another router; they count as this router's own.
    PastAttempts(Vec<PastAttempt>),
    /// Preferred locations for the request of the next [`Event::Arrival`], best first; at most
    /// [`MAX_PREFERRED_LOCATIONS`] are used. They only order the workers that the router could choose anyway: they change
    /// neither which workers may be used nor how much.
    PreferredLocations(Vec<PreferredLocation>),
    /// The terms of the class under which the next request arrived, if the settings have changed since.
    ArrivalTerms(Class),
    /// The lists of the settings have changed: precedes [`Event::Settings`] with the new lists.
    Renumbered(Renumbering),
    /// The time requested by [`Action::Wake`] has come.
    Woken,
}

/// Maximum number of preferred locations of a request that are used.
pub const MAX_PREFERRED_LOCATIONS: usize = 3;

/// A preferred location of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PreferredLocation {
    /// The workers of a zone.
    Zone(u32),
    /// The workers of a cell.
    Cell(i64),
    /// One worker.
    Worker(WorkerId),
}

impl PreferredLocation {
    /// Applies the new index of its zone; false if the zone is gone.
    pub fn renumber(&mut self, renumbering: &Renumbering) -> bool {
        if let Self::Zone(zone) = self {
            let Some(new) = renumbering.zone(Some(*zone)) else { return false };
            *zone = new;
        }
        true
    }

    /// Index of the first location that includes this worker; [`MAX_PREFERRED_LOCATIONS`] if none does.
    pub(crate) fn rank(
        locations: &[PreferredLocation],
        worker: &WorkerId,
        zone: Option<u32>,
        cell: Option<i64>,
    ) -> usize {
        let includes = |location: &PreferredLocation| match location {
            PreferredLocation::Zone(z) => Some(*z) == zone,
            PreferredLocation::Cell(c) => Some(*c) == cell,
            PreferredLocation::Worker(w) => w == worker,
        };
        locations.iter().take(MAX_PREFERRED_LOCATIONS).position(includes).unwrap_or(MAX_PREFERRED_LOCATIONS)
    }
}

/// Output of the router, to be carried out at once and in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt.
    Send {
        /// The request.
        request: RequestId,
        /// The worker.
        worker: WorkerId,
        /// Time-out; `None`: when the client gives up.
        timeout: Option<Micros>,
        /// Latest time to send it, where earlier attempts limit that: a retry that waits for a connection could be late.
        leave_by: Option<Micros>,
    },
    /// Final answer: refused; a retry is harmless.
    Refuse {
        /// The request.
        request: RequestId,
        /// How long the client should stay away.
        retry_after: Micros,
    },
    /// Final answer: failed; the request may have run.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt, counted from 0.
        attempt: u32,
    },
    /// Order at least `copies` loaded copies of the function; restarts their idle time.
    Load {
        /// The worker.
        worker: WorkerId,
        /// The function.
        function: FunctionId,
        /// Number of copies.
        copies: u32,
    },
    /// Send a gossip datagram to all other routers; it may be lost.
    Broadcast {
        /// The datagram.
        data: Vec<u8>,
    },
    /// Subscribe to changes of the worker list.
    Subscribe,
    /// Deliver [`Event::Woken`] at this time.
    Wake {
        /// The time.
        at: Micros,
    },
    /// Write a log line.
    Log {
        /// The line.
        text: String,
    },
}
