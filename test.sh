#!/usr/bin/env bash
# All checks: format, lints, tests, the release build, documentation, and the module's size and line width.
set -euo pipefail
cd "$(dirname "$0")"
cargo fmt --all --check
cargo clippy --locked --workspace --all-targets -- -D warnings
cargo test --locked --workspace
cargo build --release --locked
RUSTDOCFLAGS="-D warnings" cargo doc --locked --workspace --no-deps --quiet
# The files that hold the decisions, as the deploy file names them; 1,200 lines are what all of them may have.
mapfile -t policy < <(sed -n '/^policy = \[/,/\]/p' deploy/balancer.toml | grep -o 'src/[^"]*\.rs')
lines=$(cat "${policy[@]}" | grep -cve '^[[:space:]]*$')
longest=$(awk '{ if (length($0) > most) most = length($0) } END { print most }' "${policy[@]}")
echo "${policy[*]}: $lines lines that are not blank (1200 at most), the longest of $longest characters (110 at most)"
[ "$lines" -le 1200 ] && [ "$longest" -le 110 ]
