#!/usr/bin/env bash
# Formatting, lint, vet, and generated code that is fresh.
set -euo pipefail
cd "$(dirname "$0")/.."
# Generated files are skipped by gofumpt itself.
unformatted=$(go tool gofumpt -l .)
[ -z "$unformatted" ] || { echo "gofumpt would change:"; echo "$unformatted"; exit 1; }
go tool revive -set_exit_status -exclude './messenger/*.pb.go' ./...
go vet ./...
# A comment says what holds; how a value was found is for the commit.
history='^\s*//.*(was too |with [0-9.]+ ms|of the deployments|deployments tried|disks tried|on the days|in the fleets of|that were measured|[0-9] in 100 of|[0-9] of [0-9,.]+ requests|[Ii]ssue [0-9]|\b20[0-9]{2}-[0-9]{2})'
if git grep -nE "$history" -- '*.go' ':!*_test.go' ':!*.pb.go'; then
  echo "comments above tell how a value was found"
  exit 1
fi
before=$(cat messenger/*.pb.go | sha256sum)
./scripts/generate.sh
after=$(cat messenger/*.pb.go | sha256sum)
[ "$before" = "$after" ] || { echo "generated code is not fresh; commit the result of make generate"; exit 1; }
echo "lint: clean"
