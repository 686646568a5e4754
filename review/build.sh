#!/usr/bin/env bash
# Checks the stand-ins of the cases. They are plain JavaScript for Node.js 20 without libraries, so nothing is compiled;
# the programs under test come from the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/lib/*.mjs review/[0-9]/*.mjs; do
    node --check "$file"
done
test -s target/waxwingshunt.cjs || { echo "run the build line of deploy/system.toml first" >&2; exit 1; }
