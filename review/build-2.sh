#!/usr/bin/env bash
# Builds the stand-ins of the cases from 6 on: one program, standard library only, no network.
# Run from anywhere, after the build of deploy/balancer.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -D warnings -o target/review-2/rig review/standins-2/rig.rs
