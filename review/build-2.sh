#!/bin/sh
# Builds what the scripts of cases 6 to 10 start besides the deploy file's build: the project's stand-ins, which run from
# the source with the libraries in target/deps. Needs no network.
cd "$(dirname "$0")/.." || exit 1
[ -d target/deps ] || { echo "run the deploy file's build first" >&2; exit 1; }
PYTHONPATH="$PWD/target/deps:$PWD:$PWD/review" PYTHONDONTWRITEBYTECODE=1 exec python3 -c "import harness_2, standins.deployment"
