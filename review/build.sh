#!/bin/sh
# The stand-ins are Python programs (standard library alone; python3 is a package of ./build.sh), so nothing has to be built: this
# checks that they can be read. The daemon is built by the deploy file.
set -eu
cd "$(dirname "$0")"
python3 -B - standin/*.py */case.py <<'END'
import ast
import sys
for path in sys.argv[1:]:
    ast.parse(open(path, encoding="utf-8").read(), path)
import http.server, tomllib
END
