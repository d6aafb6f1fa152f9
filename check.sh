#!/bin/bash
# Everything that must hold before a change lands.
set -euo pipefail
cd "$(dirname "$0")"
cargo fmt --check
cargo clippy --locked --all-targets -- -D warnings
cargo test --locked
cargo build --locked --release
