#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10: one program of the standard library alone. No network is needed.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O review/standin-2/main.rs -o target/review-2/rig
