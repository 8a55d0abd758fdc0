#!/bin/sh
# Builds the stand-ins and checks of the second review, beside the programs of the project.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --offline --quiet --manifest-path review/standins-2/Cargo.toml --target-dir target
