#!/bin/sh
# Builds the stand-ins that the scripts of the second review start. They need no crate.
set -eu
root=$(cd "$(dirname "$0")/.." && pwd)
cargo build --release --locked --offline --manifest-path "$root/review/standins-2/Cargo.toml" --target-dir "$root/target/review-2"
