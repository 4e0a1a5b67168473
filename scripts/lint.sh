#!/usr/bin/env bash
# Formatting, lint, vet, and generated code that is fresh.
set -euo pipefail
cd "$(dirname "$0")/.."
# Generated files are skipped by gofumpt itself.
unformatted=$(go tool gofumpt -l .)
[ -z "$unformatted" ] || { echo "gofumpt would change:"; echo "$unformatted"; exit 1; }
go tool revive -set_exit_status -exclude './messenger/*.pb.go' ./...
go vet ./...
before=$(cat messenger/*.pb.go | sha256sum)
./scripts/generate.sh
after=$(cat messenger/*.pb.go | sha256sum)
[ "$before" = "$after" ] || { echo "generated code is not fresh; commit the result of make generate"; exit 1; }
echo "lint: clean"
