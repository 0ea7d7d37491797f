"""Compares variants of placement on the same emulated load, over many seeds."""

from __future__ import annotations

import math
import os
from concurrent.futures import ProcessPoolExecutor
from statistics import mean, stdev

from benchmarks.emulator import Burst, EmulationResult, Emulator, JobKind, Site, Variant
from chiveledge.workload import Usage

SEED_COUNT = 24
Z_95 = 1.96
"""Half-width of a 95 % confidence interval of a mean, in standard errors."""

MIB_PER_GIB = 1024


def make_sites() -> dict[str, Site]:
    """Return the sites of both users."""
    forecast = JobKind(
        "restock-forecast", 1, 0.34, 5, 30, 8.5, 0.3, 11, 13000, 34000,
        (1, 2, 4, 8, 8), 1.0, 0.6, 0.45, 3.0, 1.2, 3.0, 0.9,
    )  # fmt: skip
    quote = JobKind(
        "member-quote", 0, 0.83, 3.4, 21, 2.5, 0.5, 8, 3700, 5500,
        (1, 2, 4, 8, 8), 1.0, 0.8, 0.0, 1.5, 0.5, 4.0, 0.8,
    )  # fmt: skip
    check = JobKind(
        "blend-check", 2, 0.4, 16, 94, 6.1, 0.3, 11, 2800, 5700,
        (1,), 0.0, 0.0, 0.45, 3.0, 3.0, 1.0, 0.3,
    )  # fmt: skip
    trace = JobKind(
        "motor-trace", 1, 0.38, 4, 30, 11, 0.3, 11, 52000, 110000,
        (1, 2, 4, 8, 8), 1.0, 0.6, 0.45, 3.0, 1.2, 3.0, 0.9,
    )  # fmt: skip
    speed = quote._replace(
        name="speed-check",
        arrivals_per_s=1.3,
        mean_tasks=3.0,
        millicores=15000,
        memory_mb=39000,
    )
    wear = check._replace(
        name="wear-batch", arrivals_per_s=0.46, mean_tasks=12, mean_run_s=7.6,
        millicores=11000, memory_mb=23000,
    )  # fmt: skip
    haneul = Usage(32000, 64 * MIB_PER_GIB, 8)
    pedal = Usage(128000, 256 * MIB_PER_GIB, 8)
    return {
        "haneul": Site("haneul", 24, 8, haneul, 0.9, (forecast, quote, check)),
        "pedal": Site("pedal", 24, 8, pedal, 0.9, (trace, speed, wear)),
    }


def make_bursts(site: Site) -> tuple[Burst, ...]:
    """Return a burst of urgent jobs and a later one of batch jobs."""
    urgent = next(kind for kind in site.kinds if kind.priority == 0)
    batch = next(kind for kind in site.kinds if kind.priority == 2)
    return (Burst(urgent.name, 4.0, 6.0, 2.2), Burst(batch.name, 9.0, 4.0, 2.4))


VARIANTS = (
    Variant("nothing kept"),
    Variant("kept for 0.4 s", reserve_span_s=0.4),
    Variant("kept for 0.9 s", reserve_span_s=0.9),
    Variant("kept for 2 s", reserve_span_s=2.0),
)


def run_emulation(arguments: tuple[Site, Variant, int]) -> EmulationResult:
    """Run one emulation; for a process pool, hence the single argument."""
    site, variant, seed = arguments
    return Emulator(site, variant, make_bursts(site), seed).run()


def compare_variants(site: Site, variants: tuple[Variant, ...], seeds: int) -> None:
    """Print the means of each variant and its difference from the first variant.

    The difference of a seed is taken between runs of the same jobs; its mean is given
    with a 95 % confidence interval.
    """
    runs = [(site, variant, seed) for variant in variants for seed in range(seeds)]
    with ProcessPoolExecutor(max(1, (os.cpu_count() or 2) // 2)) as pool:
        results = list(pool.map(run_emulation, runs))
    base = results[:seeds]
    for number, variant in enumerate(variants):
        rows = results[number * seeds : (number + 1) * seeds]
        differences = [
            row.credits["all"] - other.credits["all"]
            for row, other in zip(rows, base, strict=True)
        ]
        half_width = Z_95 * stdev(differences) / math.sqrt(seeds) if seeds > 1 else 0.0
        kinds = " ".join(
            f"{kind.name} {mean(row.credits.get(kind.name, 1.0) for row in rows):.3f}"
            for kind in site.kinds
        )
        print(
            f"{site.name:13} {variant.name:16}"
            f" credit {mean(row.credits['all'] for row in rows):.3f}"
            f" ({mean(differences):+.3f} ±{half_width:.3f}) {kinds}"
            f" wasted {mean(row.wasted_share for row in rows):.3f}"
            f" stops {mean(row.stops for row in rows):.0f}"
            f" urgent wait {mean(row.urgent_wait_s for row in rows):.2f} s",
            flush=True,
        )


def main() -> None:
    """Compare all variants at both users' sites."""
    for site in make_sites().values():
        compare_variants(site, VARIANTS, SEED_COUNT)


if __name__ == "__main__":
    main()
