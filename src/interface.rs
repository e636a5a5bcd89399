//! What goes into a [`Router`](crate::Router) and what comes out: plain data, no decisions.
//!
//! All times are microseconds on the embedder's clock, which has any origin and never runs backwards.

use std::fmt;
use std::sync::Arc;

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
    /// A worker; the same word at every router.
    WorkerId
);
id!(
    /// One try of a client; never used again.
    RequestId
);
id!(
    /// A function (or model) that requests call.
    FunctionId
);

/// Whether a request of a class may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// May be repeated and refused at will.
    Safe,
    /// Workers of one scope drop repeats for `window` after the first attempt that may have run.
    Keyed {
        /// Which workers drop each other's repeats.
        scope: Scope,
        /// For how long they do.
        window: Micros,
    },
    /// Must never run twice.
    Unsafe,
}

impl Effect {
    /// What breaks neither: unsafe before keyed before safe; of two keyed, the narrower scope and the shorter window.
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
    /// All of them.
    All,
    /// Those in one zone.
    Zone,
    /// Those in one cell.
    Cell,
}

/// A class of requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Class {
    /// Answers within this time earn full worth.
    pub aim: Micros,
    /// A client's whole patience.
    pub give_up: Micros,
    /// What a request is worth.
    pub worth: f64,
    /// Share of the worth that a late answer still earns.
    pub late_worth: f64,
    /// Whether it may run twice.
    pub effect: Effect,
    /// Attempts that one request of it may have, where they are fewer than [`Settings::max_attempts`].
    pub attempts: Option<u32>,
}

/// A tenant's share of the service.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Requests a second, over all routers, that are worth their full class worth.
    pub quota: f64,
}

/// At most `free + share * requests` load orders within any `period`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadBudget {
    /// Orders that need no requests.
    pub free: f64,
    /// Further orders for each request taken within the period.
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
    /// Answers [`Outcome::Miss`]; only [`Action::Load`] brings the function in.
    Misses,
}

/// How news of the worker list reaches the router.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Discovery {
    #[default]
    /// Changes arrive by themselves.
    Pushed,
    /// Only after [`Action::Subscribe`].
    OnRequest,
}

/// Facts about a deployment, told at the start and whenever they change.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// Routers that share the traffic, this one included.
    pub routers: u32,
    /// Classes; events name them by index.
    pub classes: Vec<Class>,
    /// Tenants; events name them by index. May be empty.
    pub tenants: Vec<Tenant>,
    /// Worth of a request beyond its tenant's share, as a part of its class's worth.
    pub over_share_worth: f64,
    /// This router's zone; entries of the worker list use the same numbers.
    pub zone: u32,
    /// How the worker list is learnt.
    pub discovery: Discovery,
    /// What cold workers do.
    pub when_cold: WhenCold,
    /// An idle copy stays loaded at least this long.
    pub keep: Micros,
    /// Whether `Load` orders may be given.
    pub orders: bool,
    /// Limit on load orders, where there is one.
    pub load_budget: Option<LoadBudget>,
    /// Whether attempts may be cancelled.
    pub cancel: bool,
    /// Attempts that one request may have.
    pub max_attempts: u32,
    /// Longest wait that a refused client honours.
    pub max_retry_after: Micros,
    /// A starting worker has at least this share of its capacity.
    pub cold_from: f64,
    /// And all of it after this time.
    pub cold_for: Micros,
    /// A cold worker falls over when sent more than this multiple of its capacity...
    pub fall_multiple: f64,
    /// ... for this long.
    pub fall_window: Micros,
    /// This router's number among them, from 0.
    pub router_index: u32,
    /// Bytes at most that one router may tell the others at once; 0: it may not.
    pub max_gossip_bytes: usize,
}

impl Settings {
    /// Whether the settings make sense.
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

/// Why [`Router::new`](crate::Router::new) turned settings down.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError(pub &'static str);

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "settings make no sense: {}", self.0)
    }
}
impl std::error::Error for SettingsError {}

/// Whether a listed worker takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// In service.
    Up,
    /// Finishes what it holds.
    Draining,
    /// Removed.
    Gone,
}

/// One entry of the worker list.
#[derive(Clone, Debug, PartialEq)]
pub struct ListEntry {
    /// The worker.
    pub worker: WorkerId,
    /// Its zone.
    pub zone: u32,
    /// Its cell.
    pub cell: i64,
    /// Its state.
    pub condition: Condition,
    /// Its size, to set against other workers' sizes.
    pub size: f64,
    /// When it last started; 0 for long ago.
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

/// A function believed loaded on a worker, as one router tells its successor.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadedFunction {
    /// Where.
    pub worker: WorkerId,
    /// Which function.
    pub function: FunctionId,
    /// Requests that one copy runs at once.
    pub lanes: u32,
    /// Copies.
    pub copies: u32,
    /// Believed loaded until then.
    pub until: Micros,
    /// Calls of the function lately.
    pub calls: f64,
}

/// What counts for the ration of orders in one short stretch of time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// When the stretch began; it lasts [`Tally::LENGTH_US`].
    pub at: Micros,
    /// Calls that widen the ration.
    pub calls: u32,
    /// Orders given.
    pub orders: u32,
}

impl Tally {
    /// How long a stretch is.
    pub const LENGTH_US: Micros = 100_000;
}

/// What a router tells the one that takes its place.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HandoverState {
    /// What it believes loaded.
    pub loaded: Vec<LoadedFunction>,
    /// What it took and ordered lately: the ration counts both routers as one.
    pub tallies: Vec<Tally>,
    /// Answers a second that it would be given if all workers were warm, as far as it saw: starting workers get
    /// a share of them.
    pub served: f64,
    /// When it sent attempts to starting workers lately: what these can stand counts both routers as one.
    pub sends: Vec<(WorkerId, Vec<Micros>)>,
    /// It goes on beside this one: what it told is not told on as this one's own.
    pub sender_keeps_running: bool,
}

/// An attempt that a request had at a router that is gone. It has ended.
#[derive(Clone, Debug, PartialEq)]
pub struct PastAttempt {
    /// Where.
    pub worker: WorkerId,
    /// When it was sent.
    pub sent: Micros,
    /// How it ended; [`Outcome::never_ran`] only with proof.
    pub outcome: Outcome,
}

/// How an attempt, a load order or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// Served, or the copies stand.
    Done,
    /// The worker answered with an error; it may have run.
    Error,
    /// Turned away unseen; never ran.
    Full,
    /// No answer in time; may have run.
    TimedOut,
    /// No connection; never ran.
    ConnectFailed,
    /// The connection broke; may have run.
    Reset,
    /// Cancelled; may have run.
    Cancelled,
    /// Never sent.
    NotSent,
    /// Never sent, as this process has no connection to spare: that says nothing of the worker.
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

/// What an answer tells of the copy that served it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Found {
    /// A copy stood loaded.
    Warm,
    /// The request began a load.
    BeganLoad,
    /// It waited for a load begun before.
    AwaitedLoad,
    /// The load failed.
    LoadFailed,
}

/// What a worker reports of its load: late, rounded, and for all routers together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadReport {
    /// Requests that it holds.
    pub in_flight: f64,
    /// Of these, such as wait there and take no core; 0 where that is not told.
    pub waiting: f64,
}

impl LoadReport {
    /// More requests than any worker holds: a report above that is noise.
    const MAX_REQUESTS: f64 = 1e6;

    /// A report of these figures; `None` where one is none.
    pub fn new(in_flight: f64, waiting: f64) -> Option<Self> {
        let figures = [in_flight, waiting].iter().all(|n| (0.0..=Self::MAX_REQUESTS).contains(n));
        figures.then_some(Self { in_flight, waiting: waiting.min(in_flight) })
    }
}

/// What the router is told.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// News of the worker list.
    List {
        /// What it holds.
        kind: ListKind,
        /// Its entries.
        entries: Vec<ListEntry>,
    },
    /// A request has come in and must be given one final answer.
    Arrival {
        /// Its id.
        request: RequestId,
        /// Index of its class.
        class: usize,
        /// Index of its tenant.
        tenant: Option<usize>,
        /// What it calls.
        function: FunctionId,
        /// When its client gives this try up.
        due: Micros,
        /// Requests that one copy of the function runs at once.
        lanes: u32,
        /// A repeat by the client of a try that failed, where clients mark them.
        repeat: bool,
        /// Work expected, as time on a standard core; 0 where it is not told.
        hint: Micros,
    },
    /// The client has left: nothing is owed any more.
    ClientLeft {
        /// The request.
        request: RequestId,
    },
    /// No further attempt of the request may begin: its client may have gone. What is out goes on.
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
        /// Where it was sent.
        worker: WorkerId,
        /// How it ended.
        outcome: Outcome,
        /// The request is finished, by this or earlier.
        finished: bool,
        /// Time since it was sent.
        duration: Micros,
        /// What it tells of the copy.
        found: Option<Found>,
        /// Requests for the same function that the worker held when this one came.
        overlap: Option<u32>,
        /// What the worker last reported of its load.
        report: Option<LoadReport>,
    },
    /// A streamed answer has begun: its attempt now belongs to the client.
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
        /// Copies that stand loaded.
        copies: u32,
    },
    /// An operator takes a worker out of service, whatever the list says, or puts it back.
    OutOfService {
        /// The worker.
        worker: WorkerId,
        /// Out, or back in.
        out: bool,
    },
    /// The settings have changed. Requests that were open before keep their class and tenant.
    Settings(Box<Settings>),
    /// Other terms of the same classes and tenants, by the same indexes. What is open is held to the stricter of those
    /// it came under and these, from now on.
    ClassTerms(Box<Settings>),
    /// What another router told.
    GossipReceived {
        /// Its number.
        from: u32,
        /// What it told.
        data: Vec<u8>,
    },
    /// What the router knew whose place this one takes.
    Handover(HandoverState),
    /// The next [`Event::Arrival`] has had these attempts elsewhere: they count as this router's own.
    PastAttempts(Vec<PastAttempt>),
    /// The next [`Event::Arrival`] is best served at these spots, best first; [`MAX_PREFERRED_LOCATIONS`] of them at most are
    /// heeded, and nothing else is changed by it: what may be used, and how much of it, stays this router's own affair.
    PreferredLocations(Vec<PreferredLocation>),
    /// Time has passed; asked for by [`Action::Wake`].
    Woken,
}

/// Spots of an advice that are heeded.
pub const MAX_PREFERRED_LOCATIONS: usize = 3;

/// Workers that an advice names.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PreferredLocation {
    /// Those of a zone.
    Zone(u32),
    /// Those of a cell.
    Cell(i64),
    /// This one.
    Worker(WorkerId),
}

impl PreferredLocation {
    /// The first of the spots at which this worker stands; past all of them for one that is not advised.
    pub(crate) fn rank(spots: &[PreferredLocation], worker: &WorkerId, zone: u32, cell: i64) -> usize {
        let stands = |spot: &PreferredLocation| match spot {
            PreferredLocation::Zone(z) => *z == zone,
            PreferredLocation::Cell(c) => *c == cell,
            PreferredLocation::Worker(w) => w == worker,
        };
        spots.iter().take(MAX_PREFERRED_LOCATIONS).position(stands).unwrap_or(MAX_PREFERRED_LOCATIONS)
    }
}

/// What the router wants done, at once and in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt.
    Send {
        /// The request.
        request: RequestId,
        /// Where to.
        worker: WorkerId,
        /// Time-out; `None`: until the client gives up.
        timeout: Option<Micros>,
        /// Not to be sent after this, where earlier attempts bound it: a repeat that waits for a connection may wait too long.
        leave_by: Option<Micros>,
    },
    /// Final answer: turned away, a repeat does no harm.
    Refuse {
        /// The request.
        request: RequestId,
        /// How long the client should stay away.
        retry_after: Micros,
    },
    /// Final answer: failed, no promise.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// Which attempt.
        attempt: u32,
    },
    /// Hold at least `copies` loaded copies of the function; renews their idle time.
    Load {
        /// The worker.
        worker: WorkerId,
        /// The function.
        function: FunctionId,
        /// Copies wanted.
        copies: u32,
    },
    /// Tell all other routers this; it may be lost.
    Broadcast {
        /// What.
        data: Vec<u8>,
    },
    /// Ask for list changes from now on.
    Subscribe,
    /// Deliver [`Event::Woken`] at this time.
    Wake {
        /// When.
        at: Micros,
    },
    /// A line for the operator.
    Log {
        /// The line.
        text: String,
    },
}
