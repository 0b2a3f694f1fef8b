#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves
# the disruption out.
cd "$(dirname "$0")/../.." || exit 2
program=target/review-3/release/standins-3
[ -x "$program" ] && [ -x target/release/apricotroute ] || {
    echo "build first: cargo build --release --locked, review/build-3.sh" >&2
    exit 2
}
exec "$program" seat-gap review/8/record.txt
