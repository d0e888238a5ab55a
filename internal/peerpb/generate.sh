#!/bin/sh
# Generates the Go code from peer.proto. Needs protoc; the plugins come from
# the tools in go.mod.
set -e
tools=$(mktemp -d)
trap 'rm -rf "$tools"' EXIT
go build -o "$tools/" tool
PATH="$tools:$PATH" protoc --go_out=. --go_opt=paths=source_relative \
  --go-grpc_out=. --go-grpc_opt=paths=source_relative peer.proto
