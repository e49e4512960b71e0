#!/usr/bin/env bash
# Case 2: an answer that has begun is cut because its worker is slow. Exit code 1: the rule was broken, 0: it
# held, 2: the case could not run. TROUBLE=0 leaves the slow worker out. It needs the deploy file's build and
# review/build.sh. The stand-in ends every process that it starts.
set -u
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.." || exit 2
[ -x target/review-fleet ] && [ -x target/keelstair-platform ] || exit 2
exec target/review-fleet slow-worker "$folder/record.txt"
