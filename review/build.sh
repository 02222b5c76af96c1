#!/bin/sh
# Builds every stand-in that a script of this folder starts. All of them are Python: it only checks that they compile.
set -e
cd "$(dirname "$0")/.."
for file in standins/platform_standin.py review/harness.py review/*/case.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$file"
done
echo "stand-ins: ready"
