#!/bin/sh
# Builds the stand-in that the scripts of review/11 to review/15 start, after the build of
# the deploy file. Run it from anywhere.
set -e
cd "$(dirname "$0")/.."
go build -o target/ ./cmd/...
go build -o target/review-standin-3 ./review/standin-3
