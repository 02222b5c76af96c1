#!/bin/sh
# Builds what the scripts of cases 11 to 15 start besides the program of the deploy file. Their stand-ins are Python
# (standins/platform_standin.py, review/harness3.py) and run inside the script: this checks that they compile.
cd "$(dirname "$0")/.." || exit 2
exec python3 - standins/platform_standin.py review/harness3.py review/1[1-5]/case.py <<'PYTHON'
import sys

for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
PYTHON
