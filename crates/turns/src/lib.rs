//! Which site a conversation's turn goes to. See docs/design/together.md for the seams.
#![forbid(unsafe_code)]
#![warn(missing_docs)]
