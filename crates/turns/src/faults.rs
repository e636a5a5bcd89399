//! Faults that tests inject into the router, to show that the history checker (`histories.rs`) detects them. They
//! exist in test builds only.

/// An injected fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    /// Each activator uses the whole recomputation budget as its own.
    BudgetNotShared,
    /// A lost site is advised.
    LostSiteAdvised,
    /// A returned site starts with zero load and counts.
    UnseededReturn,
    /// A tenant whose hashes are never found is trusted.
    LyingTenantTrusted,
    /// A peer's load report is added to its previous one instead of replacing it.
    PeerLoadsAddedTwice,
    /// A turn keeps waiting after its deadline.
    WaitDeadlineIgnored,
    /// An attempt at another site than the one that granted the budget is not charged.
    RetryNotCharged,
    /// The waiting turn of the lowest value is sent first.
    LowestValueFirst,
    /// The number of waiting turns is not bounded.
    WaitQueueUnbounded,
}
