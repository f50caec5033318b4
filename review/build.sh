#!/bin/bash
# Builds the stand-ins of the cases with the Rust compiler alone, into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/standins/*.rs; do
    name=$(basename "$source" .rs)
    [ "$name" = common ] && continue
    rustc --edition 2021 -O -A dead_code "$source" -o "target/review/$name"
done
