#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They are Python scripts, so this only checks them.
set -e
cd "$(dirname "$0")"
for file in harness-2/*.py [6-9]/case.py 10/case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file"
done
