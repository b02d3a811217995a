#!/bin/sh
# Builds what the cases start beside the programs of the deploy file: the coordinator, and the
# stand-ins, which use the standard library alone. Everything lands in target/.
set -eu
cd "$(dirname "$0")/.."
cargo build --locked --profile product -p load-balancer-coordinator
mkdir -p target/review
for case in stalled_peers asked_again improper_requests; do
    rustc --edition 2024 -O -o "target/review/$case" "review/standins/$case.rs"
done
