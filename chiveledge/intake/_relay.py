"""Forwards requests to peers while this host cannot reach the store.

The store may reject some hosts, or be unreachable from them, while the others serve.
Without forwarding, callers would be refused until the load balancer excludes those
hosts, and most callers retry only once or twice. A request is forwarded at most once:
a peer that cannot reach the store either refuses it, and the next peer is asked.

An answer carries the configuration revision under which it was made, and a forwarded
request the minimum revision to answer under, so the callers of one host never see an
older configuration after a newer one.
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
"""Header that marks a forwarded request, which must not be forwarded again."""

REVISION_HEADER = "X-Revision"
"""Header with a configuration revision.

A forwarded request carries the minimum revision to answer under; its answer carries
the revision under which it was made.
"""

MAX_ATTEMPTS = 3
CONNECT_TIMEOUT_S = 0.2
"""Timeout for connecting: a few round trips between regions."""

UNREACHABLE_PENALTY_S = 5.0
"""How long a peer that failed to answer is tried last."""

REFUSED_PENALTY_S = 1.0
"""How long a peer that refused is tried last; it has probably lost the store too."""

REFUSED_STATUS = 503
MIN_ERROR_STATUS = 400
GONE_STATUS = 410
"""Says that the job does not exist, which settles a cancellation."""


class Relayed(NamedTuple):
    """Complete answer of a peer, and the configuration revision it was made under."""

    peer: str
    status: int
    revision: Revision
    body: bytes
    retry_after: str | None


class MaybeDone(NamedTuple):
    """A peer may have processed the request; its answer was lost."""

    reason: str


class NotTaken(NamedTuple):
    """No peer processed the request."""


RelayOutcome = Relayed | MaybeDone | NotTaken


class Relay:
    """Forwards requests to peers.

    Parameters
    ----------
    directory : PeerDirectory
        Known peers.
    own_name : str
        Value of `RELAYED_HEADER` on the requests that this host forwards.
    clock : Clock
        Time source.
    log : DecisionLog
        Receives one line per attempt.
    rng : random.Random
        Randomizes the order of the peers.
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
        min_revision: Revision,
        timeout_s: float,
    ) -> RelayOutcome:
        """Forward a request to one peer after another until one answers it.

        Parameters
        ----------
        method, path : str
            Method and path of the request.
        headers : mapping of str to str
            Headers to forward.
        body : bytes
            Body of the request.
        min_revision : int
            Minimum configuration revision to answer under.
        timeout_s : float
            Time for all attempts together, in seconds.

        Returns
        -------
        Relayed, MaybeDone or NotTaken
            The first answer other than 503. Without one, `MaybeDone` if any peer
            may have processed the request. After such a peer, the refusal by another
            one is no answer either, unless the request has no effect.
        """
        sent_headers = {
            **headers,
            RELAYED_HEADER: self._own_name,
            REVISION_HEADER: str(min_revision),
        }
        deadline_s = self._clock.monotonic() + timeout_s
        now_s = self._clock.monotonic()
        avoided = {name for name, s in self._avoid_until_s.items() if now_s < s}
        has_effect = method != "GET"
        outcome: RelayOutcome = NotTaken()
        for peer in self._directory.list_peers(avoided, self._rng)[:MAX_ATTEMPTS]:
            remaining_s = deadline_s - self._clock.monotonic()
            if remaining_s <= CONNECT_TIMEOUT_S:
                break
            answer = await self._send(
                peer, method, path, sent_headers, body, remaining_s
            )
            self._log_outcome(peer, method, path, answer)
            may_be_done = has_effect and isinstance(outcome, MaybeDone)
            match answer:
                case MaybeDone():
                    outcome = answer
                case Relayed(status=status) if _is_final(status, may_be_done):
                    return answer
                case Relayed():
                    self._avoid(peer, REFUSED_PENALTY_S)
        return outcome

    async def _send(
        self,
        peer: PeerHost,
        method: str,
        path: str,
        headers: Mapping[str, str],
        body: bytes,
        remaining_s: float,
    ) -> RelayOutcome:
        timeout = aiohttp.ClientTimeout(
            total=remaining_s, sock_connect=CONNECT_TIMEOUT_S
        )
        # Connections are not reused: a kept one may be dead after a network fault.
        async with aiohttp.ClientSession(timeout=timeout) as session:
            # Else a GET or DELETE that broke the peer is sent to it once more. There is
            # no public setting for this.
            session._retry_connection = False
            try:
                async with session.request(
                    method,
                    f"http://{peer.address}{path}",
                    data=body or None,
                    headers=headers,
                    allow_redirects=False,
                ) as response:
                    return Relayed(
                        peer.name,
                        response.status,
                        int(response.headers[REVISION_HEADER]),
                        await response.read(),
                        response.headers.get("Retry-After"),
                    )
            except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
                self._avoid(peer, UNREACHABLE_PENALTY_S)
                return NotTaken()
            except (aiohttp.ClientError, OSError, ValueError, KeyError) as error:
                # The last two mean that another server has the peer's address now.
                self._avoid(peer, UNREACHABLE_PENALTY_S)
                return MaybeDone(f"{peer.name}: {type(error).__name__}")

    def _avoid(self, peer: PeerHost, seconds: float) -> None:
        self._avoid_until_s[peer.name] = self._clock.monotonic() + seconds

    def _log_outcome(
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
            revision=answer.revision if isinstance(answer, Relayed) else None,
        )


def _is_final(status: int, may_be_done: bool) -> bool:
    """Whether a peer's answer holds for the request, whatever other peers did.

    A refusal tells nothing of another peer that may have processed the request.
    """
    if status == REFUSED_STATUS:
        return False
    return not may_be_done or status < MIN_ERROR_STATUS or status == GONE_STATUS
