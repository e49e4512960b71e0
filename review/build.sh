#!/usr/bin/env bash
# Builds every stand-in that the scripts start, beside the deploy file's program.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-fleet ./review/testdata/fleet
