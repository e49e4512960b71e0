#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. TROUBLE=0 leaves the burst out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/keelstair-platform ] && [ -x target/budget ] || { echo "build the deploy file, and then review/build-2.sh"; exit 2; }
exec target/budget burst review/4/record.txt
