#!/usr/bin/env bash
# Runs the gateway benchmark first at an earlier commit and then in this
# working tree. The commit must contain the benchmark.
# Usage: scripts/bench-against.sh COMMIT [flags]
set -euo pipefail
cd "$(dirname "$0")/.."

commit=$1
shift
tree="out/bench-$commit"
mkdir -p out
git worktree add --quiet --detach "$tree" "$commit"
trap 'git worktree remove --force "$tree"' EXIT

echo "== $commit"
(cd "$tree" && go run ./cmd/marigold-load gateways "$@")
echo "== working tree"
go run ./cmd/marigold-load gateways "$@"
