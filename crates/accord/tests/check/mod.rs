//! Walks through all states of a model.
#![allow(dead_code)] // each test file uses a part of it

use stateright::{Checker, Model};

/// States at most: more than any of these needs.
const MOST: usize = 6_000_000;

/// Every state that can be reached; fails if there are more than `most`, as a model that was cut short shows nothing.
pub fn explored<M>(model: M) -> impl Checker<M>
where
    M: Model + Send + Sync + 'static,
    M::State: std::hash::Hash + Send + Sync + Clone + std::fmt::Debug + PartialEq + Eq,
    M::Action: Send + Sync + std::fmt::Debug + PartialEq + Clone,
{
    let checker = model.checker().threads(2).target_state_count(MOST).spawn_bfs().join();
    let (all, unique) = (checker.state_count(), checker.unique_state_count());
    println!("{all} states, {unique} different, depth {}", checker.max_depth());
    assert!(all < MOST, "cut short");
    checker
}

/// The trace to a state that breaks the property; fails if the planted flaw is not found.
pub fn found<M>(model: M, property: &'static str)
where
    M: Model + Send + Sync + 'static,
    M::State: std::hash::Hash + Send + Sync + Clone + std::fmt::Debug + PartialEq + Eq,
    M::Action: Send + Sync + std::fmt::Debug + PartialEq + Clone,
{
    let checker = model.checker().threads(2).target_state_count(MOST).spawn_bfs().join();
    let path =
        checker.discovery(property).unwrap_or_else(|| panic!("a planted flaw was not found: {property}"));
    let steps = path.into_actions();
    println!("found in {} steps: {steps:#?}", steps.len());
    assert!(!steps.is_empty());
}
