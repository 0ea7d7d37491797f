"""Clusters that are closed and checked at the end of a test."""

from __future__ import annotations

import pytest

from tests.coordinator.cluster import Cluster


@pytest.fixture
async def make_cluster():
    """Return what makes clusters; what none of them may have done is checked."""
    made = []

    def make(**options) -> Cluster:
        made.append(Cluster(**options))
        return made[-1]

    yield make
    for cluster in made:
        await cluster.close()
        assert not cluster.double_runs
        assert not cluster.record.started_after_done
