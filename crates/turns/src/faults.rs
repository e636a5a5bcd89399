//! Flaws that tests plant, to see that the checker of histories finds them. No build but that of the tests has them.

/// One of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    /// Each activator takes the whole budget for its own.
    SharesNoBudget,
    /// A lost site is chosen from.
    AdvisesLostSites,
    /// A site that is back has nothing in the books.
    ReturnsWithNothing,
    /// A tenant whose hashes are never found is believed.
    BelievesLiars,
    /// What an activator tells is added to what it told before.
    AddsWhatIsToldTwice,
    /// A turn waits on when its time is over.
    WaitsBeyondItsTime,
    /// A turn's attempt at another site than the one that it was let go to costs nothing.
    SecondSiteIsFree,
    /// Of those that wait the least worthy goes first.
    LeastFirst,
    /// More wait than there is room for.
    WaitsWithoutBound,
}
