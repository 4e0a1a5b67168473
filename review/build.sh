#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start. Needs nothing but Go.
set -euo pipefail
cd "$(dirname "$0")/standins"
GOFLAGS=-mod=mod GOWORK=off go build -o ../bin/standins .
