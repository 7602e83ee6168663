#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 11 to 15 start. The deploy file builds the system itself.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-3/ ./review/standin-3
