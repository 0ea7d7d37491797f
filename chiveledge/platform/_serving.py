"""HTTP servers of a process, and its metrics as text."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from aiohttp import web

from chiveledge.metrics import Metrics
from chiveledge.platform._settings import Endpoint

KEEP_ALIVE_S = 75.0
BACKLOG = 512
"""Maximum number of connections waiting to be accepted, for bursts after an outage."""


def render_metrics(metrics: Metrics) -> str:
    """Format counters and percentiles as text, one name and value per line."""
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
    """Start an HTTP server on an endpoint.

    Parameters
    ----------
    handle : callable
        Handles one request.
    endpoint : Endpoint or None
        Address and port; None starts no server.

    Returns
    -------
    aiohttp.web.ServerRunner or None
        Runner that the caller cleans up at the end.
    """
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
