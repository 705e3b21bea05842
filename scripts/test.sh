#!/usr/bin/env bash
# Runs all tests with the race detector. The known failing tests listed in
# KNOWN-RED.txt are skipped and printed.
set -euo pipefail

# -count=1 disables the test cache, which does not track the binaries that some
# tests build and run.
flags=(-race -count=1 -timeout 9m)
cd "$(dirname "$0")/.."

skip=$(sed -n 's/^test: *//p' KNOWN-RED.txt | paste -sd'|')
if [ -n "$skip" ]; then
  echo "skipped (KNOWN-RED.txt):"
  sed -n 's/^test: */  /p' KNOWN-RED.txt
  exec go test "${flags[@]}" -skip "^(${skip})\$" ./...
fi
exec go test "${flags[@]}" ./...
