#!/usr/bin/env bash
# Two primaries are replaced, planned, while the store loses the answers to two writes.
# Exits with 1 if the rule STALE was broken, 0 if it held, 2 if the case could not run.
set -u
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3/standin-3 ] && [ -x target/marigoldgauge-platform ] || { echo "build first: the deploy file's build, then review/build-3.sh"; exit 2; }
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
exec timeout -k 5 110 target/review-3/standin-3 --case record --dir review/12 --trouble="$trouble"
