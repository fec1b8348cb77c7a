#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into target/review-2, with the standard library alone: no network is needed.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for number in 6 7 8 9 10; do
    main="review/$number/main.rs"
    [ -f "$main" ] || continue
    rustc --edition 2021 -O -o "target/review-2/case-$number" "$main"
done
