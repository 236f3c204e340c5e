#!/usr/bin/env bash
# The stand-ins are Python programs that need the standard library alone: there is nothing to build.
# Checks that they can be read.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'END'
import ast
import pathlib

for path in sorted(pathlib.Path(".").glob("**/*.py")):
    ast.parse(path.read_text(), str(path))
END
