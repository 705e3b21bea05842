#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. Run it after the build of
# deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-2/lab ./review/_lab
