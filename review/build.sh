#!/bin/sh
# Builds the stand-ins and drivers that the scripts of the cases start.
set -eu
cd "$(dirname "$0")/.."
exec cargo build --release --offline --manifest-path review/standins/Cargo.toml --target-dir target/review
