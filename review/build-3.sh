#!/bin/sh
# Builds the stand-ins that the scripts of review/7 to review/11 start.
set -e
cd "$(dirname "$0")/standins-3"
cargo build --release --offline --locked --target-dir ../../target/review-3
