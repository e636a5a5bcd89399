//! No class, no tenant and no third of a day is left unserved, whatever happens in it: floods of calls, clients that come
//! again too often, new versions, restarts of most routers, hosts replaced and fallen silent. The fleet helper asserts the
//! rules at each event.

mod common;

use common::fleet::*;
use common::*;
use rstest::rstest;
use wheellink::*;

const ROUTERS: u32 = 40;
const HOSTS: usize = 24;
const FUNCTIONS: usize = 80;
/// What 24 hosts of 4 cores serve where a call takes 100 ms.
const CAPACITY: f64 = 960.0;
/// Calls that a host holds at the most: it turns away what would wait for longer than any aim.
const ROOM: u32 = 40;
/// Of a day without a flood.
const USUAL: f64 = 0.5 * CAPACITY;
const TENANTS: usize = 3;
/// A class or a tenant is served at least this part of what all are, in each third.
const LEAST_OF_ALL: f64 = 0.5;
/// ... and at least this share of its calls that a fleet of this capacity could serve within their aim.
const LEAST: f64 = 0.2;

#[derive(Clone, Copy, Debug)]
enum Third {
    /// Twice what the hosts bear, and every third client gives up early; half of these come again at once.
    Flood,
    /// Four functions in ten come in a new version, twice; then seven in ten routers are killed.
    Versions,
    /// Half of the hosts are replaced and a fifth of the others is silent for a while.
    Hosts,
}

fn day(gossip: bool, seed: u64) -> Fleet {
    let quota = CAPACITY / TENANTS as f64;
    let settings = three_classes_and_tenants(ROUTERS, if gossip { 256 } else { 0 }, quota);
    let mut fleet = Fleet::with_settings(settings, HOSTS, FUNCTIONS);
    fleet.classes = vec![UNSAFE, SAFE, KEYED, SAFE, SAFE];
    fleet.seed(seed);
    fleet.max_calls = ROOM;
    fleet.advance(5 * S, USUAL);
    fleet
}

fn play(fleet: &mut Fleet, third: Third) {
    match third {
        Third::Flood => {
            fleet.early_leavers = 3;
            fleet.advance(4 * S, 2.0 * CAPACITY);
            fleet.early_leavers = 0;
        }
        Third::Versions => {
            for _ in 0..2 {
                fleet.release_functions(|function| function.0.ends_with(['0', '1', '2', '3']));
                fleet.advance(2 * S, USUAL);
            }
            (0..ROUTERS as usize * 7 / 10).for_each(|r| fleet.restart(r, 2));
        }
        Third::Hosts => {
            for i in 0..HOSTS / 2 {
                let new = format!("h{}", i + 1000);
                fleet.list_host(&format!("h{i}"), Condition::Gone, 300 * MS);
                fleet.start_host(&new);
                fleet.list_host(&new, Condition::Up, 300 * MS);
            }
            let silent = || (HOSTS / 2..HOSTS).step_by(5).map(|i| format!("h{i}"));
            silent().for_each(|n| fleet.hosts.get_mut(&n).unwrap().silent = true);
            fleet.advance(4 * S, USUAL);
            silent().for_each(|n| fleet.hosts.get_mut(&n).unwrap().silent = false);
        }
    }
    fleet.advance(4 * S, USUAL);
}

/// First tries of these, and the share of them that was served within its aim.
fn share(fleet: &Fleet, fits: impl Fn(usize, Option<usize>) -> bool) -> f64 {
    let shares = fleet.counts.within_aim.iter().filter(|((class, tenant), _)| fits(*class, *tenant));
    let (tries, in_time) = shares.fold((0, 0), |sum, (_, share)| (sum.0 + share.0, sum.1 + share.1));
    assert!(tries > 100, "{tries} first tries tell nothing");
    in_time as f64 / tries as f64
}

#[rstest]
fn every_class_and_tenant_is_served_in_each_third_of_a_day(
    #[values(false, true)] gossip: bool,
    #[values([Third::Flood, Third::Versions, Third::Hosts], [Third::Hosts, Third::Flood, Third::Versions])]
    thirds: [Third; 3],
    #[values(1, 2)] seed: u64,
) {
    let mut fleet = day(gossip, seed);
    for third in thirds {
        (fleet.counts, fleet.counted_from) = (Counts::default(), fleet.now);
        play(&mut fleet, third);
        let all = share(&fleet, |_, _| true);
        let classes = [SAFE, UNSAFE, KEYED].map(|c| share(&fleet, |class, _| class == c));
        let tenants = [0, 1, 2].map(|t| share(&fleet, |_, tenant| tenant == Some(t)));
        let said = format!(
            "gossip {gossip}, seed {seed}, {third:?}: {all:.2}, classes {classes:.2?}, tenants {tenants:.2?}"
        );
        println!("{said}");
        let floor = LEAST.max(all * LEAST_OF_ALL);
        assert!(classes.iter().chain(&tenants).all(|share| *share >= floor), "{said}");
    }
    fleet.settle();
}
