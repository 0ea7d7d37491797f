"""Compares variants of placement on the same emulated load, over many seeds."""

from __future__ import annotations

import json
import math
import random
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from statistics import mean, stdev

import defopt

from benchmarks.emulator import EmulationResult, Emulator, Variant
from benchmarks.load import Burst, JobKind, Site
from chiveledge.workload import Usage

SEED_COUNT = 24
Z_95 = 1.96
"""Half-width of a 95 % confidence interval of a mean, in standard errors."""

MIB_PER_GIB = 1024
DRAWN = "drawn"


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
    pumps = trace._replace(
        name="pump-sizing", arrivals_per_s=0.314, mean_tasks=5.0, mean_run_s=8.5,
        memory_mb=75000,
    )  # fmt: skip
    stock = quote._replace(
        name="stock-alloc", arrivals_per_s=0.766, millicores=15000, memory_mb=31000
    )
    yields = wear._replace(
        name="yield-est", arrivals_per_s=0.3, mean_tasks=16, mean_run_s=9.5
    )
    wide_pumps = pumps._replace(
        arrivals_per_s=1.04, mean_tasks=13.0, max_tasks=78, memory_mb=110000
    )
    wide_stock = stock._replace(
        arrivals_per_s=5.5, mean_tasks=5.4, max_tasks=32, memory_mb=39000
    )
    wide_yields = yields._replace(
        arrivals_per_s=1.06, mean_tasks=39.0, max_tasks=230, memory_mb=16000
    )
    unlike = (1.0, 1.0, 1.3)
    return {
        "haneul": Site("haneul", 24, 8, haneul, 0.9, (forecast, quote, check)),
        "pedal": Site(
            "pedal", 24, 8, pedal, 0.9, (trace, speed, wear), (0.8, 1.0, 1.25)
        ),
        "pumps": Site("pumps", 24, 8, pedal, 0.4, (pumps, stock, yields), unlike),
        "pumps-grown": Site(
            "pumps-grown", 176, 12, pedal, 0.9,
            (wide_pumps, wide_stock, wide_yields), unlike,
        ),
    }  # fmt: skip


def make_bursts(site: Site) -> tuple[Burst, ...]:
    """Return a burst of urgent jobs and a later one of one workspace's batch jobs."""
    urgent = next(kind for kind in site.kinds if kind.priority == 0)
    batch = next(kind for kind in site.kinds if kind.priority == 2)
    return (Burst(urgent.name, 4.0, 6.0, 2.2), Burst(batch.name, 9.0, 4.0, 2.4, 1))


VARIANTS = (
    Variant("the product's rules"),
    Variant("nothing reserved", reserve_span_s=0.0),
    Variant("twice as much reserved", reserve_span_factor=2.0),
    Variant("speeds not learnt", learns_speeds=False),
)


def draw_site(seed: int) -> Site:
    """Return a random site: a fleet, its load and its speeds, all drawn by the seed."""
    rng = random.Random(seed)
    base = make_sites()[rng.choice(["haneul", "pedal", "pumps"])]
    workers = rng.randrange(12, 65)
    load = rng.uniform(0.7, 1.3) * workers / base.workers
    kinds = tuple(
        kind._replace(
            arrivals_per_s=kind.arrivals_per_s * load * rng.uniform(0.6, 1.6),
            mean_run_s=min(kind.max_run_s, kind.mean_run_s * rng.uniform(0.6, 1.4)),
            mean_tasks=kind.mean_tasks * rng.uniform(0.5, 2.0),
            gang_share=rng.choice([kind.gang_share, rng.random()]),
            same_rack_share=rng.random(),
            checkpoint_share=rng.random(),
            stretch=kind.stretch * rng.uniform(0.9, 1.6),
            estimate_error=rng.uniform(0.1, 0.6),
        )
        for kind in base.kinds
    )
    slowdowns = tuple(
        rng.choice([1.0, 1.0, rng.uniform(0.7, 1.6)])
        for _ in range(rng.randrange(1, 7))
    )
    return base._replace(
        name=f"{DRAWN}-{seed}",
        group=DRAWN,
        workers=workers,
        workers_per_rack=rng.choice([4, 8, 12, 24]),
        max_stop_s=rng.choice([0.3, 0.6, 0.9]),
        kinds=kinds,
        slowdowns=slowdowns,
    )


def run_emulation(arguments: tuple[Site, Variant, int]) -> EmulationResult:
    """Run one emulation; for a process pool, hence the single argument."""
    site, variant, seed = arguments
    return Emulator(site, variant, make_bursts(site), seed).run()


def run_variant(
    sites: list[Site], variant: Variant, seeds: int, jobs: int
) -> dict[str, list[dict[str, float]]]:
    """Return for each site the credits of each seed, by kind.

    All drawn sites are one row of the table, with one seed each.
    """
    runs = [
        (site, variant, seed)
        for site in sites
        for seed in range(1 if site.group == DRAWN else seeds)
    ]
    results: dict[str, list[dict[str, float]]] = {}
    with ProcessPoolExecutor(jobs) as pool:
        emulations = pool.map(run_emulation, runs)
        for (site, _, _), result in zip(runs, emulations, strict=True):
            results.setdefault(site.group or site.name, []).append(
                make_table_row(site, result)
            )
    return results


def make_table_row(site: Site, result: EmulationResult) -> dict[str, float]:
    """Return the figures of an emulation by the priorities of the site's kinds."""
    row = {
        f"p{kind.priority}": result.credits.get(kind.name, 1.0) for kind in site.kinds
    }
    row |= {key: result.credits[key] for key in ("all", "net", "worst")}
    return row | {"stops": result.stops, "wasted": result.wasted_share}


def describe_difference(
    name: str, rows: list[dict[str, float]], base: list[dict[str, float]]
) -> str:
    """Return a line with means and paired differences with 95 % intervals."""
    parts = [f"{name:12}"]
    for key in ("net", "all", "worst", "p0", "p1", "p2"):
        values = [row[key] for row in rows]
        differences = [
            row[key] - other[key] for row, other in zip(rows, base, strict=True)
        ]
        half = (
            Z_95 * stdev(differences) / math.sqrt(len(differences))
            if len(differences) > 1
            else 0.0
        )
        parts.append(f"{key} {mean(values):.3f} ({mean(differences):+.3f} ±{half:.3f})")
    parts.append(f"stops {mean(row['stops'] for row in rows):.0f}")
    parts.append(f"wasted {mean(row['wasted'] for row in rows):.3f}")
    return "  ".join(parts)


def compare(
    *names: str,
    seeds: int = SEED_COUNT,
    drawn: int = 48,
    jobs: int = 4,
    save: Path | None = None,
    against: Path | None = None,
    variants: bool = False,
) -> None:
    """Print the credit of the product's rules, and how it differs from a base.

    :param names: names of sites; none for all
    :param seeds: seeds of each named site
    :param drawn: number of random sites, with one seed each
    :param jobs: number of processes
    :param save: file to write the results to
    :param against: file with the results of another version of the code
    :param variants: also run all of `VARIANTS`
    """
    known = make_sites()
    sites = [known[name] for name in names or known]
    sites += [draw_site(seed) for seed in range(drawn)]
    base = None if against is None else json.loads(against.read_text())
    for variant in VARIANTS if variants else VARIANTS[:1]:
        results = run_variant(sites, variant, seeds, jobs)
        base = base or results
        print(variant.name)
        for name, rows in results.items():
            print("  " + describe_difference(name, rows, base[name]), flush=True)
        if save is not None:
            save.write_text(json.dumps(results))
            save = None


if __name__ == "__main__":
    defopt.run(compare)
