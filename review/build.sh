#!/bin/sh
# Builds the stand-ins that the scripts of the review start.
set -e
cd "$(dirname "$0")/standins"
cargo build --release --offline --locked --target-dir ../../target/review
