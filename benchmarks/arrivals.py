"""Seeded arrival sequences of jobs for one region."""

from __future__ import annotations

import json
import random
from collections.abc import Iterator
from datetime import UTC, datetime, timedelta
from typing import NamedTuple

from chiveledge.configuration import Document, RequestClass, hash_token
from chiveledge.jobs import Job, JobSpec, make_job_id

REGION = "kontinental"
START = datetime(2026, 1, 1, tzinfo=UTC)
DAY_S = 86400.0
WORKSPACES = ("benches", "traces", "dealers", "coast")
SEQUENCES = ("ordinary_day", "burst_of_small", "burst_of_large")
MAX_HINT_ERROR = 10.0
"""Largest factor by which a declared run time is too long or too short."""


class Arrival(NamedTuple):
    """A job and its actual run time, which is hidden from policies."""

    job: Job
    run_s: float


def make_document(*, borrowing: bool = True) -> Document:
    """Return a configuration with four workspaces, three of which have guarantees.

    The guarantees fit on one rack of 8 workers with 8 accelerators each.
    """
    guarantees = {"benches": (8, 2), "traces": (16, 1), "dealers": (8, 1)}
    policy = {
        "admit": list(RequestClass),
        "borrowing": borrowing,
        "class_shares": {"urgent": 8, "standard": 4, "batch": 1},
    }
    workspaces = {
        name: {
            "weight": weight,
            "token_sha256": hash_token(name),
            "guarantees": [
                {"region": REGION, "cell": cell, "count": count}
                for cell, count in [guarantees.get(name, (0, 0))]
                if cell
            ],
        }
        for name, weight in zip(WORKSPACES, (40, 30, 20, 10), strict=True)
    }
    return Document.model_validate(
        {
            "preset": "ordinary",
            "presets": {"ordinary": policy},
            "workspaces": workspaces,
            "kinds": {},
        }
    )


def make_sequence(name: str, seed: int) -> list[Arrival]:
    """Return the arrivals of one day, in order of arrival."""
    generator = random.Random(f"{name}-{seed}")
    arrivals = list(_generate_ordinary_day(generator))
    match name:
        case "burst_of_small":
            arrivals += _generate_burst(
                generator, count=240, sizes=(1, 1, 2), mean_s=900.0
            )
        case "burst_of_large":
            arrivals += _generate_burst(
                generator, count=14, sizes=(16, 32, 32), mean_s=3600.0
            )
    return sorted(arrivals, key=lambda arrival: arrival.job.submitted_at)


def _generate_ordinary_day(generator: random.Random) -> Iterator[Arrival]:
    time_s = 0.0
    number = 0
    while time_s < DAY_S:
        time_s += generator.expovariate(1 / 420.0)
        size = generator.choices((1, 2, 4, 8, 16, 32), (30, 20, 20, 18, 8, 4))[0]
        yield _make_arrival(generator, f"o{number}", time_s, size, 3600.0)
        number += 1


def _generate_burst(
    generator: random.Random, *, count: int, sizes: tuple[int, ...], mean_s: float
) -> Iterator[Arrival]:
    for number in range(count):
        time_s = DAY_S / 3 + generator.uniform(0, 600.0)
        size = generator.choice(sizes)
        yield _make_arrival(generator, f"b{number}", time_s, size, mean_s)


def _make_arrival(
    generator: random.Random, key: str, time_s: float, size: int, mean_s: float
) -> Arrival:
    per_member = min(size, 8)
    run_s = min(generator.lognormvariate(0.0, 1.0) * mean_s * 0.6, 6 * mean_s)
    hint_error = MAX_HINT_ERROR ** generator.uniform(-1, 1)
    spec = JobSpec(
        region=REGION,
        request_class=generator.choices(list(RequestClass), (10, 60, 30))[0],
        members=size // per_member,
        accelerators=per_member,
        cores=1,
        memory_mb=256,
        run_time_hint_s=run_s * hint_error,
        payload=json.dumps({"run_s": run_s}),
    )
    workspace = generator.choices(WORKSPACES, (40, 30, 20, 10))[0]
    submitted_at = START + timedelta(seconds=time_s)
    job = Job(make_job_id(REGION, workspace, key), workspace, spec, submitted_at)
    return Arrival(job, run_s)
