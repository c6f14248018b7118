#!/bin/sh
# Builds what the scripts of review/11 to review/15 start beside the program.
# Their stand-ins are Python programs without dependencies: nothing to compile.
cd "$(dirname "$0")/.." || exit 2
python3 -B - <<'PY'
import ast
import sys
for path in ("review/11/stand_ins.py", "tests/soak/http1.py",
             "tests/soak/platform_store.py"):
    with open(path, encoding="utf-8") as file:
        ast.parse(file.read(), path)
print("the stand-ins are ready, python %d.%d" % sys.version_info[:2])
PY
