"""Command line to run all or some benchmarks: ``python -m benchmarks [NAME ...]``."""

from __future__ import annotations

import sys

from benchmarks import (
    capacity,
    configuration,
    control,
    experiment,
    placement,
    requests,
    routing,
)

BENCHMARKS = {
    "control": control.main,
    "configuration": configuration.main,
    "placement": placement.main,
    "capacity": capacity.main,
    "requests": requests.main,
    "routing": routing.main,
    "experiment": experiment.main,
}


def main(names: list[str]) -> int:
    """Run the named benchmarks, or all without names; return the exit code."""
    unknown = [name for name in names if name not in BENCHMARKS]
    if unknown:
        print(
            f"unknown benchmarks: {unknown}; use {', '.join(BENCHMARKS)}",
            file=sys.stderr,
        )
        return 2
    for name in names or BENCHMARKS:
        BENCHMARKS[name]()
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
