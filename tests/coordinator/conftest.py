"""Fixture for clusters, which are closed and checked at the end of a test."""

from __future__ import annotations

import pytest

from tests.coordinator.cluster import Cluster


@pytest.fixture
async def make_cluster():
    """Return a factory of clusters.

    After the test, checks for each cluster that no task ran twice at the same time,
    none started after its end was acknowledged and none brought a worker over its
    capacity.
    """
    clusters = []

    def make(**options) -> Cluster:
        clusters.append(Cluster(**options))
        return clusters[-1]

    yield make
    for cluster in clusters:
        await cluster.close()
        assert not cluster.double_runs
        assert not cluster.record.started_after_done
        assert not cluster.record.starts_over_capacity
