#!/usr/bin/env bash
# Runs all tests with the race detector. The known failing tests listed in
# KNOWN-RED.txt are skipped and printed.
set -euo pipefail

# -count=1 disables the test cache, which does not track the binaries that some
# tests build and run.
flags=(-race -count=1 -timeout 9m)
cd "$(dirname "$0")/.."

# On arm64 the race detector itself fails ("ThreadSanitizer: CHECK failed") in the tests
# of these packages that run hundreds of goroutines in virtual time.
without_race=()
if [ "$(go env GOARCH)" = arm64 ]; then
  without_race=(./internal/registry)
fi

skip=$(sed -n 's/^test: *//p' KNOWN-RED.txt | paste -sd'|')
selection=()
if [ -n "$skip" ]; then
  echo "skipped (KNOWN-RED.txt):"
  sed -n 's/^test: */  /p' KNOWN-RED.txt
  selection=(-skip "^(${skip})\$")
fi

if [ ${#without_race[@]} -eq 0 ]; then
  exec go test "${flags[@]}" "${selection[@]}" ./...
fi
mapfile -t excluded < <(go list "${without_race[@]}")
mapfile -t packages < <(go list ./... | grep -vxF "$(printf '%s\n' "${excluded[@]}")")
echo "without the race detector on arm64: ${excluded[*]}"
go test "${flags[@]:1}" "${selection[@]}" "${excluded[@]}"
exec go test "${flags[@]}" "${selection[@]}" "${packages[@]}"
