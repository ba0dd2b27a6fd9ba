#!/bin/sh
# Checks what the scripts of this review need. Their stand-ins are Python of the standard library in review/harness-2 and
# need no build: they are compiled here only to show that they can be read.
set -e
cd "$(dirname "$0")/.."
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))' || { echo "python3 3.11 or later is needed"; exit 1; }
for file in review/harness-2/fleet.py review/[45678]/case.py; do
  if [ -e "$file" ]; then python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"; fi
done
