#!/bin/sh
# Builds the stand-ins of the second review into target/review-2/. The build of the deploy file comes first.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -buildvcs=false -o target/review-2/ ./review/standin-2
