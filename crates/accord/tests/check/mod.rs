//! Exhaustive exploration of a model's states.
#![allow(dead_code)] // each test file uses a part of it

use stateright::{Checker, Model};

/// Maximum number of states; more than any of the models needs.
const MAX_STATES: usize = 6_000_000;

/// Explores all reachable states. Fails above `MAX_STATES`, because an incomplete exploration proves nothing.
pub fn explore<M>(model: M) -> impl Checker<M>
where
    M: Model + Send + Sync + 'static,
    M::State: std::hash::Hash + Send + Sync + Clone + std::fmt::Debug + PartialEq + Eq,
    M::Action: Send + Sync + std::fmt::Debug + PartialEq + Clone,
{
    let checker = model.checker().threads(2).target_state_count(MAX_STATES).spawn_bfs().join();
    let (all, unique) = (checker.state_count(), checker.unique_state_count());
    println!("{all} states, {unique} different, depth {}", checker.max_depth());
    assert!(all < MAX_STATES, "exploration is incomplete: {all} states");
    checker
}

/// Finds a trace to a state that violates the property. Fails if the injected fault is not found.
pub fn detect<M>(model: M, property: &'static str)
where
    M: Model + Send + Sync + 'static,
    M::State: std::hash::Hash + Send + Sync + Clone + std::fmt::Debug + PartialEq + Eq,
    M::Action: Send + Sync + std::fmt::Debug + PartialEq + Clone,
{
    let checker = model.checker().threads(2).target_state_count(MAX_STATES).spawn_bfs().join();
    let path = checker.discovery(property).unwrap_or_else(|| panic!("fault not detected: {property}"));
    let steps = path.into_actions();
    println!("found in {} steps: {steps:#?}", steps.len());
    assert!(!steps.is_empty());
}
