#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 to 8, with Go alone, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/fleet"
GOFLAGS=-mod=mod GOWORK=off go build -o ../bin/fleet .
