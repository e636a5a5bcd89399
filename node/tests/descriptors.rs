//! The budget of descriptors: its sum stays within the limit, whatever is in use.

#[path = "../src/descriptors.rs"]
#[allow(dead_code)]
mod descriptors;

use descriptors::{Bounds, Budget, LimitTooLow, Usage, RESERVED};

const MAX_LIMIT: usize = 5_000;

#[test]
fn every_holder_has_one_reservation() {
    let names: std::collections::BTreeSet<_> = RESERVED.iter().map(|entry| entry.holder).collect();
    assert_eq!(names.len(), RESERVED.len());
    assert!(RESERVED.iter().all(|entry| entry.max > 0));
}

#[test]
fn the_error_for_a_low_limit_has_the_lowest_sufficient_one() {
    let lowest = (0..MAX_LIMIT).find(|limit| Budget::new(*limit).is_ok()).unwrap();
    assert!(lowest <= 64, "{lowest}: an operator file may set 64");
    for limit in 0..lowest {
        assert_eq!(Budget::new(limit), Err(LimitTooLow { limit, needed: lowest }));
    }
    assert!((lowest..MAX_LIMIT).all(|limit| Budget::new(limit).is_ok()));
    let text = Budget::new(20).unwrap_err().to_string();
    assert!(text.starts_with(&format!("20 descriptors are too few, {lowest} are needed: ")), "{text}");
}

/// Whatever is in use, the bounds and the program's own reservations together do not exceed the limit.
#[test]
fn the_sum_is_within_the_limit() {
    for limit in (0..MAX_LIMIT).filter(|limit| Budget::new(*limit).is_ok()) {
        let budget = Budget::new(limit).unwrap();
        let (third, own) = (budget.client_share(), budget.reserved());
        for (clients, listed) in [(0, 0), (0, 9), (third, 0), (third, limit), (limit / 2, 0), (limit / 2, 40)]
        {
            let usage = Usage { clients, hosts: 0, listed };
            let bounds = budget.bounds(usage);
            assert!(bounds.clients >= third, "{limit}");
            // Clients or hosts grow up to their bound while the others keep what they use.
            assert!(own + clients.max(third) + bounds.hosts <= limit || bounds.hosts == 1, "{limit}");
            assert!(own + listed.min(bounds.hosts) + bounds.clients <= limit, "{limit}: {usage:?}");
        }
        let Bounds { clients, hosts } = budget.shared_bounds(0);
        assert!(clients <= third && hosts >= 1);
    }
}

/// Clients may use more than their third while hosts do not need it, and give it back.
#[test]
fn hosts_get_back_what_clients_use_beyond_their_third() {
    let budget = Budget::new(64).unwrap();
    let (third, own) = (budget.client_share(), budget.reserved());
    assert_eq!(budget.bounds(Usage::default()), Bounds { clients: 32, hosts: 64 - own - third });
    let crowded = Usage { clients: 32, hosts: 0, listed: 12 };
    assert!(budget.bounds(crowded).clients < 32, "some clients must be closed");
    assert!(budget.bounds(crowded).hosts < 12, "until they are closed");
    let given_back = Usage { clients: budget.bounds(crowded).clients, ..crowded };
    assert!(budget.bounds(given_back).hosts >= 12);
    assert_eq!(budget.bounds(Usage { listed: 1_000, ..crowded }).clients, third, "clients keep their third");
}

/// Two processes with the same address stay within one limit, and share the clients' third.
#[test]
fn two_processes_stay_within_the_limit_of_one() {
    for limit in 128..MAX_LIMIT {
        let budget = Budget::new(limit).unwrap();
        let (old, new) = (budget.shared_bounds(0), budget.shared_bounds(budget.client_share()));
        assert!(new.clients <= budget.client_share() / 2);
        let hosts = old.hosts + new.hosts;
        assert!(budget.client_share() + hosts + 2 * budget.reserved() <= limit, "{limit}");
    }
}
