//! What one thread prepares and another publishes. See docs/design/together.md for the seams.
#![forbid(unsafe_code)]
#![warn(missing_docs)]
