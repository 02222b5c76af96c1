#!/bin/sh
# Builds what the scripts of the cases 6 to 10 start beside the programs of the deploy file. All stand-ins are in Python
# (deployment_2.py and standins/platform_standin.py), so there is nothing to compile; this checks that they can be read.
set -e
cd "$(dirname "$0")/.."
test -x target/platform/bamboowing_platform || { echo "run the build of deploy/system.toml first" >&2; exit 1; }
for file in review/deployment_2.py standins/platform_standin.py review/[6-9]/case.py review/10/case.py; do
  [ -f "$file" ] || continue
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
