#!/bin/bash
# Builds the stand-ins of the scripts in review/6 and review/8: the standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/stand review/stand_in_2/main.rs
