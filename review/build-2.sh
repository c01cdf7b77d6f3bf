#!/bin/sh
# Builds the programs of the cases of the second review, with rustc alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for case in review/6 review/7 review/8 review/9 review/10; do
    if [ -f "$case/case.rs" ]; then
        rustc --edition 2024 -O -o "target/review-2/case$(basename "$case")" "$case/case.rs"
    fi
done
