#!/bin/bash
# Everything that must hold before a change lands.
set -euo pipefail
cd "$(dirname "$0")"
cargo fmt --all --check
cargo clippy --locked --workspace --all-targets -- -D warnings
RUSTDOCFLAGS="-D warnings" cargo doc --locked --workspace --no-deps

# Tests that KNOWN-RED.txt names in lines `  test: TARGET NAME` are left out, then run and printed; they don't decide the result.
known_red=$(sed -n 's/^  test: //p' KNOWN-RED.txt)
skipped=()
while read -r _ name; do
  [ -z "$name" ] || skipped+=(--skip "$name")
done <<< "$known_red"
cargo test --locked --workspace -- ${skipped[@]+--exact "${skipped[@]}"}
while read -r target name; do
  [ -z "$name" ] && continue
  echo "known red, see KNOWN-RED.txt: $target $name"
  cargo test --locked --test "$target" -- --exact "$name" || true
done <<< "$known_red"
cargo build --locked --release
