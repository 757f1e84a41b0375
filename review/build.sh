#!/usr/bin/env bash
# The stand-ins are Python files that use the standard library alone: nothing is compiled, they are only checked.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B - stand_ins/*.py */case.py <<'CHECK'
import ast, sys
assert sys.version_info >= (3, 9), "Python 3.9 or later is needed"
for name in sys.argv[1:]:
    ast.parse(open(name).read(), name)
    print(name, "can be read")
CHECK
