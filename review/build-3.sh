#!/bin/sh
# Builds what the scripts of review/11 to review/15 start beside the project's program.
# The stand-ins are Python and use the packages of the deploy file's build alone, so
# they are compiled to check that they and these packages load.
cd "$(dirname "$0")/.." || exit 1
PYTHONPATH=target/deps:review python3 - <<'END'
import ast
import pathlib

import aiohttp
import harness_3

for path in sorted(pathlib.Path("review").glob("1[1-5]/*.py")):
    ast.parse(path.read_text(), str(path))
print("stand-ins load with aiohttp", aiohttp.__version__, "from", harness_3.__name__)
END
