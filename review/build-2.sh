#!/bin/sh
# Builds the stand-ins that the scripts of review/4 to review/6 start.
set -eu
cd "$(dirname "$0")/standins-2"
CARGO_TARGET_DIR=../../target/review-2 cargo build --release --locked --offline
