#!/usr/bin/env bash
# Builds the program of deploy/system.toml from the sources that are here, whatever stands in target/.
#
# cargo tells by their times whether sources have changed. Those of an archive, or of another commit that is laid over a
# build folder that was kept, may be older than what was built from others before: cargo would leave that in place.
# So digests of the sources and of the program are kept beside it, and where they differ the packages here are built anew.
set -euo pipefail
cd "$(dirname "$0")/.."

# Settings of the caller's for cargo that would put the program elsewhere, and leave an older one in its place.
unset CARGO_TARGET_DIR CARGO_BUILD_TARGET_DIR CARGO_BUILD_TARGET

program=target/release/playhouse
built_record=target/release/playhouse.built-from

# Digests of the sources, and of the program that stands there.
digests() {
    find Cargo.toml Cargo.lock src crates api -type f -not -path '*/tests/*' -print0 |
        LC_ALL=C sort -z | xargs -0 sha256sum | sha256sum
    sha256sum "$program" 2>/dev/null || echo "no program"
}

# The names of this repository's packages.
packages() {
    awk '/^\[/ { in_package = $0 == "[package]" } in_package && $1 == "name" { gsub(/"/, "", $3); print $3 }' \
        Cargo.toml crates/*/Cargo.toml
}

if [ "$(cat "$built_record" 2>/dev/null || true)" != "$(digests)" ]; then
    rm -f "$built_record"
    mapfile -t names < <(packages)
    cargo clean --quiet --locked --release --target-dir target "${names[@]/#/--package=}"
fi
cargo build --release --locked --target-dir target --package playhouse
if [ ! -x "$program" ]; then
    echo "deploy/build.sh: cargo put the program elsewhere than $program: is a target set in a cargo configuration?" >&2
    exit 1
fi
digests > "$built_record"
