//! Mistakes that could be made in the handing over, planted where `cfg(loom)` plays the interleavings: each must be
//! found, else the model would prove nothing. Without `cfg(loom)` there is none, and the compiler sees that.

macro_rules! flaws {
    ($($(#[$doc:meta])* $name:ident, $is:ident;)*) => {
        /// One of them, or none.
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
        pub enum Flaw {
            /// As it should be.
            #[default]
            None,
            $($(#[$doc])* #[cfg(loom)] $name,)*
        }

        #[cfg(loom)]
        impl Flaw {
            /// Every one of them.
            pub const ALL: &'static [Self] = &[$(Self::$name),*];
        }

        impl Flaw {
            $($(#[$doc])* pub(crate) fn $is(self) -> bool {
                #[cfg(loom)]
                return self == Self::$name;
                #[cfg(not(loom))]
                return false;
            })*
        }
    };
}

flaws! {
    /// Older work is put and published after newer.
    AnyVersion, takes_any_version;
    /// Who put work does not wake the worker.
    SilentPut, puts_in_silence;
    /// Who closes does not wake the worker.
    SilentClose, closes_in_silence;
    /// The worker looks whether something waits, lets go of the lock, and then sleeps.
    LookThenWait, looks_then_waits;
    /// Version and product are fetched one after the other.
    Halves, fetches_in_halves;
    /// Who publishes clears the place of what waits.
    LostLast, clears_what_waits;
    /// Work is taken and noted as in hand one after the other.
    Unseen, begins_unseen;
    /// Newer work does not tell what is in hand.
    NoCancel, forgets_to_cancel;
    /// A worker that ends does not say so.
    SilentEnd, leaves_in_silence;
    /// What was given up counts as in hand for good.
    NeverDone, forgets_what_is_done;
}
