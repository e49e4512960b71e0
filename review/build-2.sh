#!/bin/sh
# Builds every stand-in that the scripts of the second review start, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -o target/ ./review/testdata/smallfleet
