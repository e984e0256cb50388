#!/usr/bin/env bash
# The stand-ins of the cases 4 to 8 are modules that Node.js runs as they are: this checks that each can be read.
set -euo pipefail
cd "$(dirname "$0")"
for file in kit-2/*.mjs [4-8]/*.mjs; do
  [ ! -e "$file" ] || node --check "$file"
done
