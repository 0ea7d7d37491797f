"""Compares rules of choice side by side on the same emulated load, many seeds each."""

from __future__ import annotations

import math
import os
from concurrent.futures import ProcessPoolExecutor
from statistics import mean, stdev

from benchmarks.emulator import Burst, Emulator, Kind, Outcome, Rules, Site
from chiveledge.workload import Usage

SEEDS = 24
CONFIDENCE = 1.96
"""Standard errors on each side of a mean that hold 95 of 100 means."""

GIB = 1024


def make_sites() -> dict[str, Site]:
    """Return the two users' fleets and their load."""
    forecast = Kind(
        "restock-forecast", 1, 0.34, 5, 30, 8.5, 0.3, 11, 13000, 34000,
        (1, 2, 4, 8, 8), 1.0, 0.6, 0.45, 3.0, 1.2, 3.0, 0.9,
    )  # fmt: skip
    quote = Kind(
        "member-quote", 0, 0.83, 3.4, 21, 2.5, 0.5, 8, 3700, 5500,
        (1, 2, 4, 8, 8), 1.0, 0.8, 0.0, 1.5, 0.5, 4.0, 0.8,
    )  # fmt: skip
    check = Kind(
        "blend-check", 2, 0.4, 16, 94, 6.1, 0.3, 11, 2800, 5700,
        (1,), 0.0, 0.0, 0.45, 3.0, 3.0, 1.0, 0.3,
    )  # fmt: skip
    trace = Kind(
        "motor-trace", 1, 0.38, 4, 30, 11, 0.3, 11, 52000, 110000,
        (1, 2, 4, 8, 8), 1.0, 0.6, 0.45, 3.0, 1.2, 3.0, 0.9,
    )  # fmt: skip
    speed = quote._replace(
        name="speed-check", per_s=1.3, width=3.0, millicores=15000, memory_mb=39000
    )
    wear = check._replace(
        name="wear-batch", per_s=0.46, width=12, work_s=7.6, millicores=11000,
        memory_mb=23000,
    )  # fmt: skip
    haneul = Usage(32000, 64 * GIB, 8)
    pedal = Usage(128000, 256 * GIB, 8)
    return {
        "haneul": Site("haneul", 24, 8, haneul, 0.9, (forecast, quote, check)),
        "pedal": Site("pedal", 24, 8, pedal, 0.9, (trace, speed, wear)),
    }


def make_bursts(site: Site) -> tuple[Burst, ...]:
    """Return a burst of urgent jobs and one of batch jobs."""
    urgent = next(kind for kind in site.kinds if kind.priority == 0)
    batch = next(kind for kind in site.kinds if kind.priority == 2)
    return (Burst(urgent.name, 4.0, 6.0, 2.2), Burst(batch.name, 9.0, 4.0, 2.4))


VARIANTS = (
    Rules("nothing kept"),
    Rules("kept for 0.4 s", kept_span_s=0.4),
    Rules("kept for 0.9 s", kept_span_s=0.9),
    Rules("kept for 2 s", kept_span_s=2.0),
)


def play(arguments: tuple[Site, Rules, int]) -> Outcome:
    """Play one day."""
    site, rules, seed = arguments
    return Emulator(site, rules, make_bursts(site), seed).run()


def compare(site: Site, variants: tuple[Rules, ...], seeds: int) -> None:
    """Print a line for each variant: means, and differences from the first one."""
    work = [(site, rules, seed) for rules in variants for seed in range(seeds)]
    with ProcessPoolExecutor(max(1, (os.cpu_count() or 2) // 2)) as pool:
        outcomes = list(pool.map(play, work))
    base = outcomes[:seeds]
    for number, rules in enumerate(variants):
        rows = outcomes[number * seeds : (number + 1) * seeds]
        gains = [
            row.credit["all"] - other.credit["all"]
            for row, other in zip(rows, base, strict=True)
        ]
        spread = CONFIDENCE * stdev(gains) / math.sqrt(seeds) if seeds > 1 else 0.0
        kinds = " ".join(
            f"{kind.name} {mean(row.credit.get(kind.name, 1.0) for row in rows):.3f}"
            for kind in site.kinds
        )
        print(
            f"{site.name:13} {rules.name:16}"
            f" credit {mean(row.credit['all'] for row in rows):.3f}"
            f" ({mean(gains):+.3f} ±{spread:.3f}) {kinds}"
            f" wasted {mean(row.wasted_share for row in rows):.3f}"
            f" stops {mean(row.stops for row in rows):.0f}"
            f" urgent wait {mean(row.urgent_wait_s for row in rows):.2f} s",
            flush=True,
        )


def main() -> None:
    """Compare all variants on both users' fleets."""
    for site in make_sites().values():
        compare(site, VARIANTS, SEEDS)


if __name__ == "__main__":
    main()
