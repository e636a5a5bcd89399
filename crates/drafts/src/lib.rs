//! How far to draft ahead, learnt by a fleet. See docs/design/together.md for the seams.
#![forbid(unsafe_code)]
#![warn(missing_docs)]
