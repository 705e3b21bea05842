#!/usr/bin/env bash
# Plays the gateways' bench with this tree and with an earlier commit, which
# must have it, one after the other: scripts/bench-against.sh COMMIT [flags]
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
echo "== this tree"
go run ./cmd/marigold-load gateways "$@"
