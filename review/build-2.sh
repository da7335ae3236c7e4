#!/usr/bin/env bash
# The stand-ins of this review are plain modules of Node.js: there is nothing to compile.
# Checks that they and the cases can be read.
set -eu
cd "$(dirname "$0")"
for file in support-2/*.mjs [6-9]/*.mjs 10/*.mjs; do
  [ -f "$file" ] || continue
  node --check "$file"
done
