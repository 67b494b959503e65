#!/usr/bin/env bash
# Checks the stand-ins and scripts of cases 11 to 15. They are plain modules for the runtime, and need no other build.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/support-3/*.mjs review/1[1-5]/*.mjs; do
    node --check "$file"
done
