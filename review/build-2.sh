#!/bin/sh
# Builds the trials of the second review, with the stand-ins that they start: each review/*/trial.rs, with review/stage.rs
# beside it, into target/review-2/. Needs the tool chain only: no package, no network.
set -eu
root=$(cd "$(dirname "$0")/.." && pwd)
mkdir -p "$root/target/review-2"
for source in "$root"/review/*/trial.rs; do
    name=$(basename "$(dirname "$source")")
    rustc --edition 2024 -O -o "$root/target/review-2/trial-$name" "$source"
done
