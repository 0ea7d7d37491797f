#!/bin/sh
# The stand-ins are Python modules: check that all of them can be imported.
cd "$(dirname "$0")/.." || exit 2
PYTHONPATH=target/deps:.:review PYTHONDONTWRITEBYTECODE=1 exec python3 -c "import harness"
