//! Settings and lists with versions on which activators agree. See docs/design/together.md for the seams.
#![forbid(unsafe_code)]
#![warn(missing_docs)]
