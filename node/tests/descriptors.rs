//! The budget of descriptors: its sum, at any limit and whatever is held.

#[path = "../src/descriptors.rs"]
#[allow(dead_code)]
mod descriptors;

use descriptors::{Bounds, Budget, LimitTooLow, Usage, RESERVED};

const HIGHEST: usize = 5_000;

#[test]
fn every_holder_is_counted_once() {
    let names: std::collections::BTreeSet<_> = RESERVED.iter().map(|entry| entry.holder).collect();
    assert_eq!(names.len(), RESERVED.len());
    assert!(RESERVED.iter().all(|entry| entry.max > 0));
}

#[test]
fn a_limit_too_low_is_told_with_the_lowest_that_will_do() {
    let lowest = (0..HIGHEST).find(|limit| Budget::new(*limit).is_ok()).unwrap();
    assert!(lowest <= 64, "{lowest}: an operator's file may say 64");
    for limit in 0..lowest {
        assert_eq!(Budget::new(limit), Err(LimitTooLow { limit, needed: lowest }));
    }
    assert!((lowest..HIGHEST).all(|limit| Budget::new(limit).is_ok()));
    let said = Budget::new(20).unwrap_err().to_string();
    assert!(said.starts_with(&format!("20 descriptors are too few, {lowest} are needed: ")), "{said}");
}

/// Whatever is held, what may be held is no more than the limit: the program's own part is never promised away.
#[test]
fn the_sum_is_within_the_limit() {
    for limit in (0..HIGHEST).filter(|limit| Budget::new(*limit).is_ok()) {
        let budget = Budget::new(limit).unwrap();
        let (third, own) = (budget.client_share(), budget.reserved());
        for (clients, listed) in [(0, 0), (0, 9), (third, 0), (third, limit), (limit / 2, 0), (limit / 2, 40)]
        {
            let usage = Usage { clients, hosts: 0, listed };
            let bounds = budget.bounds(usage);
            assert!(bounds.clients >= third, "{limit}");
            // Each takes up to its bound while the other holds what it holds.
            assert!(own + clients.max(third) + bounds.hosts <= limit || bounds.hosts == 1, "{limit}");
            assert!(own + listed.min(bounds.hosts) + bounds.clients <= limit, "{limit}: {usage:?}");
        }
        let Bounds { clients, hosts } = budget.shared_bounds(0);
        assert!(clients <= third && hosts >= 1);
    }
}

/// Clients beyond their third have what hosts do not want, and give it back.
#[test]
fn hosts_get_back_what_clients_hold_beyond_their_third() {
    let budget = Budget::new(64).unwrap();
    let (third, own) = (budget.client_share(), budget.reserved());
    assert_eq!(budget.bounds(Usage::default()), Bounds { clients: 32, hosts: 64 - own - third });
    let crowded = Usage { clients: 32, hosts: 0, listed: 12 };
    assert!(budget.bounds(crowded).clients < 32, "some are to go");
    assert!(budget.bounds(crowded).hosts < 12, "until they have gone");
    let given_back = Usage { clients: budget.bounds(crowded).clients, ..crowded };
    assert!(budget.bounds(given_back).hosts >= 12);
    assert_eq!(budget.bounds(Usage { listed: 1_000, ..crowded }).clients, third, "no more than that");
}

/// Two processes of one address keep to one limit, with the clients' third between them.
#[test]
fn two_processes_hold_no_more_than_one() {
    for limit in 128..HIGHEST {
        let budget = Budget::new(limit).unwrap();
        let (old, new) = (budget.shared_bounds(0), budget.shared_bounds(budget.client_share()));
        assert!(new.clients <= budget.client_share() / 2);
        let hosts = old.hosts + new.hosts;
        assert!(budget.client_share() + hosts + 2 * budget.reserved() <= limit, "{limit}");
    }
}
