#!/usr/bin/env bash
# Regenerates the committed protocol code; needs protoc.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
go build -o "$bin/protoc-gen-go" google.golang.org/protobuf/cmd/protoc-gen-go
go build -o "$bin/protoc-gen-go-grpc" google.golang.org/grpc/cmd/protoc-gen-go-grpc
for f in */*.proto; do
  PATH="$bin:$PATH" protoc --go_out=. --go_opt=paths=source_relative \
    --go-grpc_out=. --go-grpc_opt=paths=source_relative "$f"
done
