#!/usr/bin/env bash
# All checks: format, lints, tests, the release build and documentation. The tests in KNOWN-RED.txt are left out and printed.
set -euo pipefail
cd "$(dirname "$0")"
skipped=()
while read -r name; do
    echo "known to fail, left out: $name"
    skipped+=(--skip "$name")
done < <(sed -n 's/^test: //p' KNOWN-RED.txt)
cargo fmt --all --check
cargo clippy --locked --workspace --all-targets -- -D warnings
cargo test --locked --workspace -- --exact "${skipped[@]}"
cargo build --release --locked
RUSTDOCFLAGS="-D warnings" cargo doc --locked --workspace --no-deps --quiet
