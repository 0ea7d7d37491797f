"""Small fleets and demands for tests of placement."""

from __future__ import annotations

from chiveledge.placement import FleetView, RunView, StepDemand, WorkerView
from chiveledge.workload import Step, TaskName, Usage

CAPACITY = Usage(32000, 64000, 8)


def make_worker(name: str, rack: str = "r1", runs=(), **options) -> WorkerView:
    """Return a worker whose free capacity is what its runs leave."""
    free = options.pop("capacity", CAPACITY)
    capacity = free
    for run in runs:
        free = free.minus(run.usage)
    return WorkerView(
        name=name,
        service=options.pop("service", "pool"),
        rack=rack,
        labels=frozenset({"a", rack}),
        capacity=capacity,
        free=free,
        list_runs=lambda: list(runs),
        **options,
    )


def make_run(
    job: str,
    worker: str,
    accelerators: int = 1,
    *,
    index: int = 0,
    priority: int = 2,
    unsaved_s: float = 1.0,
    gang: bool = False,
    usage: Usage | None = None,
    movable: bool = True,
    ending: bool = False,
) -> RunView:
    """Return a run; the members of a gang share `job` and differ in `index`."""
    name = TaskName(job, 0, 0, index)
    return RunView(
        name,
        worker,
        usage or Usage(1000, 1000, accelerators),
        f"{name.step_name}#" if gang else str(name),
        priority,
        unsaved_s,
        movable,
        ending,
    )


def make_demand(job: str = "j", count: int = 1, accelerators: int = 1, **options):
    """Return a demand; `options` may hold fields of both the step and the demand."""
    step_fields = {k: options.pop(k) for k in list(options) if k in Step._fields}
    step_fields.setdefault("usage", Usage(1000, 1000, accelerators))
    return StepDemand(
        job_id=job,
        occurrence=0,
        step_number=0,
        step=Step(count=count, **step_fields),
        service="pool",
        priority=options.pop("priority", 1),
        indices=tuple(range(count)),
        **options,
    )


def make_fleet(*workers: WorkerView) -> FleetView:
    """Return a snapshot of the given workers."""
    return FleetView(workers)
