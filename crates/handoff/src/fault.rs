//! Mistakes that could be made in the handing over, planted where `cfg(loom)` plays the interleavings: each must be
//! found, else the model would prove nothing. Without `cfg(loom)` there is none, and the compiler sees that.

macro_rules! faults {
    ($($(#[$doc:meta])* $name:ident, $is:ident;)*) => {
        /// One of them, or none.
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
        pub enum Fault {
            /// As it should be.
            #[default]
            None,
            $($(#[$doc])* #[cfg(loom)] $name,)*
        }

        #[cfg(loom)]
        impl Fault {
            /// Every one of them.
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
    /// Older work is put and published after newer.
    AcceptStaleVersion, accepts_stale_version;
    /// Who put work does not wake the worker.
    NoWakeOnSubmit, skips_wake_on_submit;
    /// Who closes does not wake the worker.
    NoWakeOnClose, skips_wake_on_close;
    /// The worker looks whether something waits, lets go of the lock, and then sleeps.
    UnlockBeforeWait, unlocks_before_wait;
    /// Version and product are fetched one after the other.
    SplitFetch, splits_fetch;
    /// Who publishes clears the place of what waits.
    PublishDropsPending, drops_pending_on_publish;
    /// Work is taken and noted as in hand one after the other.
    RunningSetLate, sets_running_late;
    /// Newer work does not tell what is in hand.
    NoCancelOnSubmit, skips_cancel_on_submit;
    /// A worker that ends does not say so.
    WorkerExitUnreported, hides_worker_exit;
    /// What was given up counts as in hand for good.
    RunningNeverCleared, keeps_running_set;
}
