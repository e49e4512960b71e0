#!/usr/bin/env bash
# Case 2: routers go over their memory when twice as many requests with large bodies come. Exit code 1: the
# rule was broken, 0: it held, 2: the case could not run. TROUBLE=0 leaves the burst out. It needs the deploy
# file's build and review/build.sh. The stand-in ends every process that it starts.
set -u
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.." || exit 2
[ -x target/review-fleet ] && [ -x target/keelstair-platform ] || exit 2
exec target/review-fleet large-bodies "$folder/record.txt"
