#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start, and those of the earlier review.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-standin ./review/standin
go build -o target/review-standin-earlier ./review/earlier/standin
