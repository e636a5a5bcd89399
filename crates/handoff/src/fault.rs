//! Synchronization faults that can be injected under `cfg(loom)`. The loom tests must detect each of them, which shows that
//! the models check what they claim to check. Without `cfg(loom)` the only value is [`Fault::None`], and the compiler
//! removes the branches.

macro_rules! faults {
    ($($(#[$doc:meta])* $name:ident, $is:ident;)*) => {
        /// An injected fault, or none.
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
        pub enum Fault {
            /// Correct behaviour.
            #[default]
            None,
            $($(#[$doc])* #[cfg(loom)] $name,)*
        }

        #[cfg(loom)]
        impl Fault {
            /// All faults.
            pub const ALL: &'static [Self] = &[$(Self::$name),*];
        }

        impl Fault {
            $($(#[$doc])* pub(crate) fn $is(self) -> bool {
                #[cfg(loom)]
                return self == Self::$name;
                #[cfg(not(loom))]
                return false;
            })*
        }
    };
}

faults! {
    /// Older versions are accepted and published after newer ones.
    AcceptStale, accepts_stale;
    /// Submitting a job does not wake the worker.
    NoWakeOnSubmit, skips_wake_on_submit;
    /// Closing the submitter does not wake the worker.
    NoWakeOnClose, skips_wake_on_close;
    /// The worker releases the lock between its check for a pending job and its wait, so that it misses a wake-up.
    UnlockBeforeWait, unlocks_before_wait;
    /// Version and result are fetched under two separate locks.
    SplitFetch, splits_fetch;
    /// Publishing a result drops the pending job.
    PublishDropsPending, drops_pending_on_publish;
    /// A job is taken and recorded as running under two separate locks.
    RunningSetLate, sets_running_late;
    /// Submitting a newer job does not cancel the running one.
    NoCancel, skips_cancel;
    /// The exit of the worker is not recorded.
    WorkerExitUnreported, hides_worker_exit;
    /// A job abandoned without a result stays recorded as running.
    RunningNeverCleared, keeps_running_set;
}
