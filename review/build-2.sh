#!/bin/bash
# Builds the stand-ins of the second review's scripts, from sources in review/stand_ins_2 alone: no dependency.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review_2
rustc --edition 2024 -O -o target/review_2/stage review/stand_ins_2/main.rs
