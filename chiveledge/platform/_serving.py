"""Listens on a process's addresses, and shows its metrics as text."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from aiohttp import web

from chiveledge.metrics import Metrics
from chiveledge.platform._settings import Endpoint

KEEP_ALIVE_S = 75.0
BACKLOG = 512
"""Connections that wait to be accepted: a burst of callers after an outage."""


def render_metrics(metrics: Metrics) -> str:
    """Return counters and percentiles, one name and value a line."""
    record = metrics.to_record()
    lines = [f"chiveledge_{name} {n}" for name, n in record["counters"].items()]
    for name, summary in record["histograms"].items():
        lines += [f"chiveledge_{name}_{key} {value}" for key, value in summary.items()]
    lines.append(f"chiveledge_resident_mb {record['resident_mb']}")
    lines.append(f"chiveledge_processor_s {record['processor_s']}")
    return "\n".join(lines) + "\n"


async def listen(
    handle: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
    endpoint: Endpoint | None,
) -> web.ServerRunner | None:
    """Serve an address; return what to clean up, or None where there is none."""
    if endpoint is None:
        return None
    runner = web.ServerRunner(
        web.Server(handle, access_log=None, keepalive_timeout=KEEP_ALIVE_S),
        shutdown_timeout=0.5,
    )
    await runner.setup()
    await web.TCPSite(
        runner, endpoint.address, endpoint.port, reuse_address=True, backlog=BACKLOG
    ).start()
    return runner
