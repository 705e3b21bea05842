#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start. Run after the build of
# deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-standin ./review/_standin
