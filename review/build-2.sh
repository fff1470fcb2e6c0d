#!/bin/bash
# Checks the stand-ins that review/6 to review/10 start. All are Python 3 with
# its standard library only (lib-2/, and the project's tests/proc/fix_store.py),
# so nothing is compiled; the files must parse.
set -eu
cd "$(dirname "$0")/.."
python3 - <<'EOF'
import ast
import glob
for path in ["tests/proc/fix_store.py", *glob.glob("review/lib-2/*.py"), *glob.glob("review/[0-9]*/case.py")]:
    with open(path, encoding="utf-8") as file:
        ast.parse(file.read(), path)
EOF
echo "stand-ins of the second review: ok"
