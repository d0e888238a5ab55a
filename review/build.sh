#!/usr/bin/env bash
# Builds the stand-ins of all cases into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review/ ./review/[1-5]
