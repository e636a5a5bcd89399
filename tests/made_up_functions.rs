//! Clients that call functions which no worker has, each under another name: what the router keeps must not grow with
//! them, and what it learnt of other functions must stay.

mod common;

use std::collections::BTreeSet;

use common::*;
use wheellink::*;

/// Requests per second of the misbehaving clients, for a function that no worker has.
const MADE_UP_RATE: usize = 1_000;
const WORKERS: usize = 20;

/// A router beside clients that make up names.
struct Flooded {
    bed: TestBed,
    made_up: usize,
}

impl Flooded {
    fn new(settings: Settings) -> Self {
        Self { bed: TestBed::new(settings, WORKERS), made_up: 0 }
    }

    /// One call of a made-up function; each of its attempts ends with `outcome`.
    fn call_made_up(&mut self, outcome: Outcome) {
        self.made_up += 1;
        let (request, mut out) = self.bed.call(SAFE, &format!("made-up{}", self.made_up));
        for attempt in 0.. {
            self.end_loads(&out);
            let Some(worker) = sent(&out) else { break };
            out = self.bed.answer(&request, attempt, &worker, outcome);
        }
        self.bed.event(Event::ClientLeft { request });
    }

    /// Orders to load a function that no worker has fail.
    fn end_loads(&mut self, out: &[Action]) {
        for (worker, function, _) in loads(out) {
            self.bed.event(Event::LoadEnded { worker, function, outcome: Outcome::Error, copies: 0 });
        }
    }

    /// Lets the misbehaving clients call for some seconds, beside `usual` calls of a usual client, one each second.
    fn flood(&mut self, seconds: usize, outcome: Outcome, mut usual: impl FnMut(&mut TestBed)) {
        for _ in 0..seconds {
            for _ in 0..MADE_UP_RATE {
                self.call_made_up(outcome);
                let out = self.bed.advance(S / MADE_UP_RATE as Micros);
                self.end_loads(&out);
            }
            usual(&mut self.bed);
        }
    }
}

fn misses() -> Settings {
    let load_budget = Some(LoadBudget { share: 0.2, free: 2.0, period: 10 * S });
    Settings { when_cold: WhenCold::Misses, load_budget, ..settings() }
}

fn gossiping() -> Settings {
    Settings { routers: 300, max_gossip_bytes: 256, ..settings() }
}

/// The review found that each made-up function became a successor of all others of its second, until the process was
/// over its memory limit.
#[test]
fn what_a_router_keeps_does_not_grow_with_made_up_functions() {
    for (settings, outcome) in [
        (settings(), Outcome::Error),
        (gossiping(), Outcome::Error),
        (misses(), Outcome::Error),
        (misses(), Outcome::Miss),
        (settings(), Outcome::TimedOut),
    ] {
        let mut flooded = Flooded::new(settings);
        flooded.bed.serve(SAFE, "usual");
        flooded.flood(2, outcome, |bed| drop(bed.serve(SAFE, "usual")));
        let after_two_seconds = flooded.bed.router.entries();
        flooded.flood(4, outcome, |bed| drop(bed.serve(SAFE, "usual")));
        let after_six_seconds = flooded.bed.router.entries();
        // A few hundred functions without a served call may be kept, each as a successor of all others.
        assert!(after_two_seconds < 200_000, "{after_two_seconds} entries, {outcome:?}");
        let bound = after_two_seconds + after_two_seconds / 10 + 500;
        assert!(after_six_seconds < bound, "{after_two_seconds}, later {after_six_seconds}, {outcome:?}");
    }
}

/// A worker may serve any name, as one that loads what it is asked for: each name became a successor of all others of its
/// second, and was kept for 40 s.
#[test]
fn what_a_router_keeps_of_functions_that_workers_serve_is_bounded() {
    let mut flooded = Flooded::new(settings());
    flooded.flood(8, Outcome::Done, |bed| drop(bed.serve(SAFE, "usual")));
    let after_eight_seconds = flooded.bed.router.entries();
    flooded.flood(16, Outcome::Done, |bed| drop(bed.serve(SAFE, "usual")));
    let later = flooded.bed.router.entries();
    assert!(after_eight_seconds < 1_000_000, "{after_eight_seconds} entries");
    assert!(later < after_eight_seconds * 11 / 10, "{after_eight_seconds} entries, later {later}");
}

/// Hundreds of connections may each keep many requests open: what they make up grows with them, not with their square.
#[test]
fn what_a_router_keeps_of_open_made_up_calls_is_linear_in_their_number() {
    let entries = |open: usize| {
        let mut flooded = Flooded::new(settings());
        for i in 0..open {
            flooded.bed.call(SAFE, &format!("made-up{i}"));
        }
        flooded.bed.router.entries()
    };
    let (few, many) = (entries(2_000), entries(8_000));
    assert!(many < 5 * few, "{few} entries with 2,000 open calls, {many} with 8,000");
}

/// Guards against a bound that made-up names use up: the successor of a function stays known beside them.
#[test]
fn a_learnt_successor_is_preloaded_while_clients_make_up_functions() {
    for outcome in [Outcome::Error, Outcome::Miss] {
        let mut flooded = Flooded::new(settings());
        let follow = |bed: &mut TestBed| {
            bed.serve(SAFE, "first");
            bed.serve(SAFE, "second");
        };
        for _ in 0..8 {
            follow(&mut flooded.bed);
            flooded.bed.advance(2 * S);
        }
        flooded.flood(45, outcome, |_| ());
        let (_, out) = flooded.bed.call(SAFE, "first");
        assert!(loads(&out).iter().any(|load| load.1 == "second".into()), "not preloaded, {outcome:?}");
    }
}

/// Calls of made-up functions must not take the share of the calls from the functions that workers have: one with all
/// other calls is spread over many workers in a fleet without gossip.
#[test]
fn made_up_functions_do_not_lower_the_share_of_others() {
    let workers_used = |made_up: usize| {
        let mut flooded = Flooded::new(Settings { routers: 300, ..settings() });
        let mut used = BTreeSet::new();
        for _ in 0..60 {
            used.insert(flooded.bed.serve(SAFE, "usual"));
            (0..made_up).for_each(|_| flooded.call_made_up(Outcome::Error));
            flooded.bed.advance(2 * S);
        }
        used.len()
    };
    let (alone, beside) = (workers_used(0), workers_used(100));
    assert!(
        alone >= WORKERS / 2 && beside >= alone * 3 / 4,
        "{alone} workers, {beside} beside made-up functions"
    );
}

/// A function counts from its first call on that was served, as before the made-up ones were left out.
#[test]
fn the_first_served_call_of_a_function_counts() {
    let mut bed = TestBed::new(settings(), 1);
    bed.serve(SAFE, "new");
    let calls: Vec<_> = bed.router.handover_state().loaded.iter().map(|l| l.calls).collect();
    assert_eq!(calls, [1.0]);
    let (request, out) = bed.call(SAFE, "failing");
    bed.answer(&request, 0, &sent(&out).expect("an attempt"), Outcome::Miss);
    bed.serve(SAFE, "new");
    let calls: Vec<_> = bed.router.handover_state().loaded.iter().map(|l| l.calls).collect();
    assert_eq!(calls, [2.0]);
}

/// Keys of the functions in the first datagram of a router with `open` calls of made-up functions, and with calls of ten
/// functions that a worker has.
fn announced(open: usize) -> BTreeSet<[u8; 3]> {
    let mut flooded = Flooded::new(Settings { max_gossip_bytes: 103, ..gossiping() });
    for i in 0..10 {
        flooded.bed.serve(SAFE, &format!("usual{i}"));
    }
    flooded.bed.advance(20 * S);
    for i in 0..open {
        flooded.bed.call(SAFE, &format!("made-up{i}"));
    }
    for i in 0..10 {
        flooded.bed.call(SAFE, &format!("usual{i}"));
    }
    let datagram = flooded.bed.advance(2 * S - 40 * MS).into_iter().find_map(|a| match a {
        Action::Broadcast { data } => Some(data),
        _ => None,
    });
    let datagram = datagram.expect("a datagram within the period");
    // After three bytes, each entry has two for the host, then 20 bits for the function.
    datagram[3..].chunks_exact(5).map(|entry| [entry[2] & 0xf0, entry[3], entry[4]]).collect()
}

/// A datagram with twenty entries has all calls of functions that workers have, however many names clients make up.
#[test]
fn made_up_functions_do_not_take_the_entries_of_others_in_gossip() {
    let alone = announced(0);
    assert!(!alone.is_empty() && alone.is_subset(&announced(500)), "{alone:?}");
}
