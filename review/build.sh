#!/bin/bash
# Builds the stand-ins that the scripts of the cases start. Run it after the build of the
# deploy file, which builds the system.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-standin ./review/standin
