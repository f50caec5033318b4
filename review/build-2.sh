#!/bin/sh
# Builds the stand-ins and drivers of the cases 6 to 10, with the standard library alone and without a network.
cd "$(dirname "$0")/standins-2" || exit 2
exec cargo build --release --offline --target-dir ../../target/review-2
