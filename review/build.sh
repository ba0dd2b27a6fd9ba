#!/bin/sh
# The stand-ins are Python sources of this folder, which need nothing but Python 3.11's own library: they are
# only checked here. The programs under test are those of the deploy file's build.
set -e
cd "$(dirname "$0")"
python3 - <<'P'
import ast, glob, sys
assert sys.version_info >= (3, 11), "Python 3.11 is needed"
for name in sorted(glob.glob("harness/*.py") + glob.glob("[0-9]/*.py")):
    ast.parse(open(name).read(), name)
    print("checked", name)
P
