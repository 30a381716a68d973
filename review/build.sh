#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. They are Python programs that use the standard library
# only, so this checks that each of them compiles with the interpreter of this machine.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B - common/*.py [0-9]/*.py <<'PYTHON'
import sys

assert sys.version_info >= (3, 9), "Python 3.9 or later is needed"
for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as file:
        compile(file.read(), name, "exec")
    print("compiles:", name)
PYTHON
