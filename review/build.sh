#!/bin/sh
# The stand-ins of review/ are plain JavaScript modules and need no build step. This checks that all of them load.
set -e
cd "$(dirname "$0")"
for file in lib/*.mjs [1-5]/*.mjs; do
  if [ -e "$file" ]; then node --check "$file"; fi
done
