"""Hands requests to a peer while this host is out of touch with the store.

Load answered: the store turns some hosts away, or they lose the way to it, while the
others serve. Callers would be refused until the balancer leaves those hosts out, and
most come back only once or twice; a peer serves them at once. A request is handed on
once: a peer that is out of touch too refuses it. Answers tell the revision of the
configuration that they were given under, and a request the least one that it may be
answered under, so that callers of one host never meet an older one after a newer one.
"""

from __future__ import annotations

import random
from collections.abc import Mapping
from typing import NamedTuple

import aiohttp

from chiveledge.clock import Clock
from chiveledge.decision_log import DecisionLog
from chiveledge.intake._peers import PeerDirectory, PeerHost
from chiveledge.types import Revision

RELAYED_HEADER = "X-Relayed-By"
"""Marks a request that was handed on, so that it is not handed on again."""

REVISION_HEADER = "X-Revision"
"""On a request handed on the least revision to answer under, on its answer the one
that it was given under."""

MAX_PEERS = 3
CONNECT_S = 0.2
"""Bound on connecting: a few round trips between regions."""

AVOID_S = 5.0
"""How long a peer that could not be reached comes last."""

REFUSED_STATUS = 503


class Relayed(NamedTuple):
    """A peer's answer, whole, and the revision that it was given under."""

    status: int
    revision: Revision
    body: bytes
    retry_after: str | None


class MaybeDone(NamedTuple):
    """A peer may have done what was asked for; its answer is lost."""

    reason: str


class NotTaken(NamedTuple):
    """Surely no peer has done what was asked for."""


RelayOutcome = Relayed | MaybeDone | NotTaken


class Relay:
    """Hands requests to peers.

    Parameters
    ----------
    directory : PeerDirectory
        Known peers.
    own_name : str
        Name that marks requests handed on by this host.
    clock : Clock
        Source of time.
    log : DecisionLog
        One line for each request handed on.
    rng : random.Random
        Spreads requests over the peers.
    """

    def __init__(
        self,
        directory: PeerDirectory,
        own_name: str,
        clock: Clock,
        log: DecisionLog,
        rng: random.Random,
    ) -> None:
        self._directory = directory
        self._own_name = own_name
        self._clock = clock
        self._log = log
        self._rng = rng
        self._avoid_until_s: dict[str, float] = {}

    async def forward(
        self,
        method: str,
        path: str,
        headers: Mapping[str, str],
        body: bytes,
        least_revision: Revision,
        patience_s: float,
    ) -> RelayOutcome:
        """Hand a request to one peer after another until one has an answer."""
        sent_headers = {
            **headers,
            RELAYED_HEADER: self._own_name,
            REVISION_HEADER: str(least_revision),
        }
        deadline_s = self._clock.monotonic() + patience_s
        now_s = self._clock.monotonic()
        avoided = {name for name, s in self._avoid_until_s.items() if now_s < s}
        outcome: RelayOutcome = NotTaken()
        for peer in self._directory.list_peers(avoided, self._rng)[:MAX_PEERS]:
            left_s = deadline_s - self._clock.monotonic()
            if left_s <= CONNECT_S:
                break
            answer = await self._ask(peer, method, path, sent_headers, body, left_s)
            self._note(peer, method, path, answer)
            match answer:
                case Relayed(status=status) if status != REFUSED_STATUS:
                    return answer
                case MaybeDone():
                    outcome = answer
        return outcome

    async def _ask(
        self,
        peer: PeerHost,
        method: str,
        path: str,
        headers: Mapping[str, str],
        body: bytes,
        left_s: float,
    ) -> RelayOutcome:
        timeout = aiohttp.ClientTimeout(total=left_s, sock_connect=CONNECT_S)
        # A connection of its own: kept ones may have gone silent with the link.
        async with aiohttp.ClientSession(timeout=timeout) as session:
            try:
                async with session.request(
                    method,
                    f"http://{peer.address}{path}",
                    data=body or None,
                    headers=headers,
                ) as response:
                    return Relayed(
                        response.status,
                        int(response.headers.get(REVISION_HEADER, 0)),
                        await response.read(),
                        response.headers.get("Retry-After"),
                    )
            except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
                self._avoid_until_s[peer.name] = self._clock.monotonic() + AVOID_S
                return NotTaken()
            except (aiohttp.ClientError, OSError, TimeoutError) as error:
                self._avoid_until_s[peer.name] = self._clock.monotonic() + AVOID_S
                return MaybeDone(f"{peer.name}: {type(error).__name__}")

    def _note(
        self, peer: PeerHost, method: str, path: str, answer: RelayOutcome
    ) -> None:
        self._log.write(
            "relay",
            "handed_on",
            id=path.rpartition("/")[2],
            method=method,
            peer=peer.name,
            outcome=type(answer).__name__,
            status=answer.status if isinstance(answer, Relayed) else None,
        )
