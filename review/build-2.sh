#!/bin/sh
# Builds what the scripts of this review start, besides the program itself.
cd "$(dirname "$0")/.." || exit 1
exec cargo build --release --locked --offline --manifest-path review/stand-ins-2/Cargo.toml --target-dir target/review-2
