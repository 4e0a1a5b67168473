#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 to 8, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-fleet ./review/fleet
