#!/usr/bin/env bash
# Writes the go.mod of every module of the workspace that has none yet, ties the
# modules together by relative path, and tidies them.
set -eu
cd "$(dirname "$0")/.."
mods="ids failure logging seam creed rpc coordination certification fleetstate whim workerclient handoff api router proxy platform standin simulation cmd tools"
for m in $mods; do
  [ -f "$m/go.mod" ] || printf 'module keelstair.example/%s\n\ngo 1.26.0\n' "$m" > "$m/go.mod"
  for o in $mods; do
    [ "$o" = "$m" ] && continue
    if grep -rqs "\"keelstair.example/$o[/\"]" --include='*.go' "$m"; then
      (cd "$m" && go mod edit -require="keelstair.example/$o@v0.0.0" )
    fi
    (cd "$m" && go mod edit -replace="keelstair.example/$o=../$o")
  done
done
[ -f go.work ] || { printf 'go 1.26.0\n' > go.work; for m in $mods; do printf 'use ./%s\n' "$m" >> go.work; done; go work edit -fmt; }
for m in $mods; do (cd "$m" && GOWORK=off go mod tidy); done
# A second pass drops the ties that nobody needs.
for m in $mods; do
  for o in $mods; do
    [ "$o" = "$m" ] && continue
    (cd "$m" && GOWORK=off go list -deps ./... 2>/dev/null | grep -q "^keelstair.example/$o\(/\|$\)") ||
      grep -rqs "\"keelstair.example/$o[/\"]" --include='*.go' "$m" ||
      grep -q "keelstair.example/$o v" "$m/go.mod" ||
      (cd "$m" && go mod edit -dropreplace="keelstair.example/$o")
  done
done
