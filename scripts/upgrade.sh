#!/usr/bin/env bash
# Runs daemons of an earlier release beside those of this one, and replaces them one after the other under
# load and back again. Usage: scripts/upgrade.sh [COMMIT]; the default is the last release.
set -euo pipefail
cd "$(dirname "$0")/.."
commit=${1:-f4680ba}
folder=$(mktemp -d)
trap 'git worktree remove --force "$folder/earlier"; rm -rf "$folder"' EXIT
git worktree add --detach "$folder/earlier" "$commit"
(cd "$folder/earlier" && cargo build --locked --bin cyclamenrill-front)
cargo build --locked --bin cyclamenrill-front
export CYCLAMENRILL_FRONT_EARLIER="$folder/earlier/target/debug/cyclamenrill-front"
export CYCLAMENRILL_FRONT_CURRENT="$PWD/target/debug/cyclamenrill-front"
cargo test --locked --bin cyclamenrill-front replacement_ -- --ignored --nocapture --test-threads 1
