//! Each class and tenant is served in each phase of a run, under floods of calls, frequent client retries, new
//! versions, restarts of most routers, and replaced and silent hosts. The simulation asserts the guarantees at each
//! action.

mod common;

use common::fleet::*;
use common::*;
use rstest::rstest;
use wheellink::*;

const ROUTERS: u32 = 40;
const HOSTS: usize = 24;
const FUNCTIONS: usize = 80;
/// Calls a second that 24 hosts of 4 cores serve where a call takes 100 ms.
const CAPACITY: f64 = 960.0;
/// Maximum number of calls that a host holds: it rejects calls that would wait longer than any latency aim.
const MAX_HOST_CALLS: u32 = 40;
/// Calls a second without a flood.
const USUAL_RATE: f64 = 0.5 * CAPACITY;
const TENANTS: usize = 3;
/// Minimum share of the calls of a class or tenant that is served in time in each phase, as a part of that share of all
/// calls.
const MIN_PART_OF_ALL: f64 = 0.5;
/// Minimum share of the calls of a class or tenant that is served in time in each phase. A fleet of this capacity could
/// serve that many.
const MIN_SHARE: f64 = 0.2;

#[derive(Clone, Copy, Debug)]
enum Phase {
    /// Twice the capacity of the hosts, and every third client gives up early; half of these retry at once.
    Flood,
    /// Four functions in ten get a new version, twice; then seven in ten routers restart.
    Versions,
    /// Half of the hosts are replaced, and a fifth of the others is silent for a while.
    Hosts,
}

fn new_fleet(gossip: bool, seed: u64) -> Fleet {
    let quota = CAPACITY / TENANTS as f64;
    let settings = three_classes_and_tenants(ROUTERS, if gossip { 256 } else { 0 }, quota);
    let mut fleet = Fleet::with_settings(settings, HOSTS, FUNCTIONS);
    fleet.classes = vec![UNSAFE, SAFE, KEYED, SAFE, SAFE];
    fleet.seed(seed);
    fleet.max_calls = MAX_HOST_CALLS;
    fleet.advance(5 * S, USUAL_RATE);
    fleet
}

fn run(fleet: &mut Fleet, phase: Phase) {
    match phase {
        Phase::Flood => {
            fleet.early_leavers = 3;
            fleet.advance(4 * S, 2.0 * CAPACITY);
            fleet.early_leavers = 0;
        }
        Phase::Versions => {
            for _ in 0..2 {
                fleet.release_functions(|function| function.0.ends_with(['0', '1', '2', '3']));
                fleet.advance(2 * S, USUAL_RATE);
            }
            (0..ROUTERS as usize * 7 / 10).for_each(|r| fleet.restart(r, 2));
        }
        Phase::Hosts => {
            for i in 0..HOSTS / 2 {
                let new = format!("h{}", i + 1000);
                fleet.list_host(&format!("h{i}"), Condition::Gone, 300 * MS);
                fleet.start_host(&new);
                fleet.list_host(&new, Condition::Up, 300 * MS);
            }
            let silent = || (HOSTS / 2..HOSTS).step_by(5).map(|i| format!("h{i}"));
            silent().for_each(|n| fleet.hosts.get_mut(&n).unwrap().silent = true);
            fleet.advance(4 * S, USUAL_RATE);
            silent().for_each(|n| fleet.hosts.get_mut(&n).unwrap().silent = false);
        }
    }
    fleet.advance(4 * S, USUAL_RATE);
}

/// Of the calls of matching classes and tenants that are not retries, the share that was served within the latency aim.
fn share(fleet: &Fleet, fits: impl Fn(usize, Option<usize>) -> bool) -> f64 {
    let shares = fleet.counts.within_aim.iter().filter(|((class, tenant), _)| fits(*class, *tenant));
    let (calls, in_time) = shares.fold((0, 0), |sum, (_, share)| (sum.0 + share.0, sum.1 + share.1));
    assert!(calls > 100, "{calls} calls are too few");
    in_time as f64 / calls as f64
}

#[rstest]
fn every_class_and_tenant_is_served_in_each_phase(
    #[values(false, true)] gossip: bool,
    #[values([Phase::Flood, Phase::Versions, Phase::Hosts], [Phase::Hosts, Phase::Flood, Phase::Versions])]
    phases: [Phase; 3],
    #[values(1, 2)] seed: u64,
) {
    let mut fleet = new_fleet(gossip, seed);
    for phase in phases {
        (fleet.counts, fleet.counted_from) = (Counts::default(), fleet.now);
        run(&mut fleet, phase);
        let all = share(&fleet, |_, _| true);
        let classes = [SAFE, UNSAFE, KEYED].map(|c| share(&fleet, |class, _| class == c));
        let tenants = [0, 1, 2].map(|t| share(&fleet, |_, tenant| tenant == Some(t)));
        let shares = format!(
            "gossip {gossip}, seed {seed}, {phase:?}: {all:.2}, classes {classes:.2?}, tenants {tenants:.2?}"
        );
        println!("{shares}");
        let min = MIN_SHARE.max(all * MIN_PART_OF_ALL);
        assert!(classes.iter().chain(&tenants).all(|share| *share >= min), "{shares}");
    }
    fleet.settle();
}
