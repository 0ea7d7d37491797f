"""Switches off one rule of placement after the other, and compares the credit.

The switches replace functions of the product for one run of the emulator, so that the
product itself has none.
"""

from __future__ import annotations

from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor

import defopt

from benchmarks.emulator import EmulationResult, Emulator, Variant
from benchmarks.experiment import (
    SEED_COUNT,
    describe_difference,
    draw_site,
    make_bursts,
    make_sites,
    make_table_row,
)
from benchmarks.load import Site
from chiveledge.coordinator import RunTimeEstimator
from chiveledge.placement import (
    FleetView,
    StepDemand,
    _packing,
    _plan,
    _pools,
    _preemption,
)
from chiveledge.placement._order import Timeliness

ALL_RULES = "all rules"


def ignore_timeliness() -> None:
    """Order the jobs of a priority by due time alone."""
    StepDemand.timeliness = property(lambda _: Timeliness.IN_TIME)


def ignore_ending_runs() -> None:
    """Stop runs although others are about to end."""
    FleetView.add_ending_capacity = lambda _: None


def stop_unneeded_runs() -> None:
    """Stop runs that turn out not to be needed for a task to fit."""
    _preemption._TrialAllocation._drop_unneeded = (
        lambda _self, _worker, _free, chosen, loss: _preemption._StopCost(
            loss, tuple(chosen)
        )
    )


def ignore_lost_work() -> None:
    """Choose the runs to stop without regard to the work that is lost."""
    _preemption._TrialAllocation._group_loss = lambda _self, _group: 1.0


def spread_tasks() -> None:
    """Place tasks on the emptiest workers first."""
    _packing._best_fit_key = lambda worker, free, usage, demand: (
        tuple(-amount for amount in free),
        worker.name,
    )


def spread_gangs_at_once() -> None:
    """Do not wait for a rack."""
    _pools.RACK_TIMEOUT_S = 0.0


def trust_declared_times() -> None:
    """Take the run times that callers declare."""
    RunTimeEstimator.expected_s = lambda _self, _request, step: step.estimate_s


def stop_on_any_worker() -> None:
    """Choose the runs to stop without regard to the speeds of their workers."""
    FleetView.is_late_after_stop = lambda _self, _worker, _demand: False


def order_by_due_time() -> None:
    """Let workspaces not take turns."""
    _plan.may_compete = lambda _: False


SWITCHES: dict[str, Callable[[], None]] = {
    "timeliness order": ignore_timeliness,
    "waiting for ending runs": ignore_ending_runs,
    "sparing unneeded stops": stop_unneeded_runs,
    "least lost work": ignore_lost_work,
    "best fit": spread_tasks,
    "waiting for a rack": spread_gangs_at_once,
    "estimates from past runs": trust_declared_times,
    "speeds in preemption": stop_on_any_worker,
    "turns of workspaces": order_by_due_time,
}
VARIANTS = {
    ALL_RULES: Variant(ALL_RULES),
    "reserved capacity": Variant("off", reserve_span_s=0.0),
    "learnt speeds": Variant("off", learns_speeds=False),
}


def run_without(arguments: tuple[str, Site, int]) -> EmulationResult:
    """Run one emulation with a rule switched off, in a process of its own."""
    rule, site, seed = arguments
    switch = SWITCHES.get(rule)
    if switch is not None:
        switch()
    variant = VARIANTS.get(rule, VARIANTS[ALL_RULES])
    return Emulator(site, variant, make_bursts(site), seed).run()


def ablate(
    *names: str, seeds: int = SEED_COUNT, drawn: int = 48, jobs: int = 4
) -> None:
    """Print for each rule the credit without it, and the difference to all rules.

    :param names: names of sites; none for all
    :param seeds: seeds of each named site
    :param drawn: number of random sites, with one seed each
    :param jobs: number of processes
    """
    known = make_sites()
    loads = [(known[name], seed) for name in names or known for seed in range(seeds)]
    loads += [(draw_site(seed), 0) for seed in range(drawn)]
    base: dict[str, list[dict[str, float]]] = {}
    for rule in (ALL_RULES, *list(VARIANTS)[1:], *SWITCHES):
        # A process of its own for each run, so that a switch is gone after it.
        with ProcessPoolExecutor(jobs, max_tasks_per_child=1) as pool:
            work = [(rule, site, seed) for site, seed in loads]
            results = list(pool.map(run_without, work))
        rows: dict[str, list[dict[str, float]]] = {}
        for (site, _), result in zip(loads, results, strict=True):
            rows.setdefault(site.group or site.name, []).append(
                make_table_row(site, result)
            )
        base = base or rows
        print(rule if rule == ALL_RULES else f"without: {rule}")
        for group, values in rows.items():
            print("  " + describe_difference(group, values, base[group]), flush=True)


if __name__ == "__main__":
    defopt.run(ablate)
