"""HTTP servers of a process, and its metrics as text."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from aiohttp import web

from chiveledge.http_limits import ClientServers, LimitedServer, RequestLimits
from chiveledge.metrics import Metrics
from chiveledge.platform._settings import Endpoint

LISTENER_SHARES = {"api": 12 / 16, "peers": 2 / 16, "ready": 1 / 16, "metrics": 1 / 16}
"""Share of each listener in what clients may make the process hold."""


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
    servers: ClientServers,
    name: str,
    limits: Callable[[], RequestLimits],
) -> LimitedServer | None:
    """Start an HTTP server on an endpoint.

    Parameters
    ----------
    handle : callable
        Handles one request.
    endpoint : Endpoint or None
        Address and port; None starts no server.
    servers : ClientServers
        All listeners of the process.
    name : str
        Name of the listener, of `LISTENER_SHARES`.
    limits : callable
        Returns the limits on one request.

    Returns
    -------
    LimitedServer or None
        Server that the caller cleans up at the end.
    """
    if endpoint is None:
        return None
    runner = web.ServerRunner(web.Server(handle), shutdown_timeout=0.5)
    return await servers.serve(
        runner,
        endpoint.address,
        endpoint.port,
        name,
        LISTENER_SHARES[name],
        limits,
    )
