#!/usr/bin/env bash
# Plays the case "drain": exit code 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out. Needs the build of the deploy file and review/build.sh.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../../.." || exit 2
[ -x target/review-standin-earlier ] && [ -x target/marigoldgauge-platform ] || { echo "build first: the deploy file's build and review/build.sh" >&2; exit 2; }
exec target/review-standin-earlier -case drain -record "$here/record.txt"
