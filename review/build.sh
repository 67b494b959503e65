#!/usr/bin/env bash
# The stand-ins are plain modules for Node.js and need no compilation; this checks that all of them parse.
set -euo pipefail
cd "$(dirname "$0")"
for file in support/*.mjs [1-5]/*.mjs; do
    node --check "$file"
done
