#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 6 to 10 start. Needs the Rust compiler only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/standin-2 review/standin-2/main.rs
