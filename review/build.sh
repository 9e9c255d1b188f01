#!/bin/sh
# Checks the stand-ins of the cases. They are plain JavaScript for Node.js, so that nothing has to be compiled.
set -e
cd "$(dirname "$0")"
for file in harness/*.mjs [1-5]/run.mjs; do
    node --check "$file"
done
