#!/usr/bin/env bash
# Formatter, linter and all tests. The verdict is the exit code.
set -euo pipefail
cd "$(dirname "$0")"
cargo fmt --all --check
cargo clippy --workspace --all-targets --locked -- -D warnings
# The integration tests start the shipped binary and the stand-ins as processes.
cargo build --workspace --bins --locked
cargo test --workspace --locked
