#!/bin/sh
# Builds what the scripts of the second review start, besides the build of the deploy file. Their stand-ins
# (review/kit_2.py) are Python programs of the standard library and need no build; this checks that the
# interpreter is there and can read them.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --locked --bin wagtailtrack-node
python3 -B - <<'CHECK'
import ast
import glob
import sys

if sys.version_info < (3, 9):
    sys.exit("Python 3.9 or newer is needed")
for path in ["review/kit_2.py", *glob.glob("review/*/case.py")]:
    with open(path, encoding="utf-8") as source:
        ast.parse(source.read(), path)
CHECK
