#!/bin/sh
# Builds the programs of the cases of this review; they need the standard library only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for number in 6 7 8 9 10; do
    if [ -f "review/$number/main.rs" ]; then
        rustc --edition 2024 -O -o "target/review-2/case-$number" "review/$number/main.rs"
    fi
done
