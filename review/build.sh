#!/usr/bin/env bash
# The stand-ins of the review are plain modules for Node.js 20 without
# dependencies, so nothing has to be compiled. This only checks that they load
# and that the build of the deploy file was made.
set -eu
cd "$(dirname "$0")/.."
for file in review/support/*.mjs review/[1-5]/*.mjs; do
  [ -e "$file" ] && node --check "$file"
done
test -f target/launcher.cjs && test -f target/sapphirecart.cjs
