#!/bin/sh
# Builds the stand-ins of the third review. Needs the standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/harness review/tools-3/harness.rs
