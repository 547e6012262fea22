#!/bin/bash
# Builds the stand-ins that the cases 11 to 15 start.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O review/standin-3/main.rs -o target/review-3/rig
