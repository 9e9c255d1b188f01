#!/bin/sh
# Prepares the stand-ins of the cases in review/6 and later. They are plain Node.js programs without dependencies, so
# there is nothing to compile; the build checks that each can be parsed.
set -eu
cd "$(dirname "$0")"
for file in harness-2/*.mjs [0-9]*/case.mjs; do
    [ -f "$file" ] || continue
    node --check "$file"
done
