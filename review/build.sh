#!/bin/sh
# Builds the programs of the cases: the platform, discovery, searchers and clients of each stand in one file
# and `rig.rs`. Needs the compiler alone, no package and no network.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
for case in */case.rs; do
    n=$(dirname "$case")
    rustc --edition 2024 -O -o "bin/case$n" "$case"
done
