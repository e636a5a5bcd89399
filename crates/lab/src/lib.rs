//! Several processes of the program and the faults between them. See docs/design/together.md for the seams.
#![forbid(unsafe_code)]
#![warn(missing_docs)]
