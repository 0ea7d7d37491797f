"""The other processes: each tells of itself once and follows the rows of all."""

from __future__ import annotations

import json
import random
import uuid
from collections.abc import Iterable
from typing import NamedTuple

from chiveledge.clock import Clock
from chiveledge.decision_log import DecisionLog
from chiveledge.intake._follower import TableFollower
from chiveledge.services import Put, Row, Transaction, WatchedTable

HOSTS_PREFIX = "hosts/"
RETRY_S = 0.5

WATCH_S = 10.0
"""Wait of one watch: hosts come seldom, and one that is gone is only tried last."""


class PeerHost(NamedTuple):
    """Where a process takes requests of its peers."""

    name: str
    region: str
    address: str


def make_host_put(host: PeerHost) -> Put:
    """Return the row that tells the peers of a host."""
    return Put(HOSTS_PREFIX + host.name, json.dumps(list(host)))


class PeerDirectory:
    """Copy of the rows of all hosts; some of them may be gone.

    Parameters
    ----------
    own : PeerHost
        This process, which is not listed.
    """

    def __init__(self, own: PeerHost) -> None:
        self._own = own
        self._hosts: dict[str, PeerHost] = {}

    def __len__(self) -> int:
        """Return how many hosts told of themselves, this one too."""
        return len(self._hosts)

    def on_rows(self, rows: Iterable[Row], deleted: Iterable[str], whole: bool) -> None:
        """Take changes in."""
        if whole:
            self._hosts.clear()
        for row in rows:
            host = PeerHost(*json.loads(row.value))
            self._hosts[host.name] = host
        for key in deleted:
            self._hosts.pop(key.removeprefix(HOSTS_PREFIX), None)

    def list_peers(self, avoided: set[str], rng: random.Random) -> list[PeerHost]:
        """Return peers in the order to try them: reachable ones, near ones first."""
        peers = [host for host in self._hosts.values() if host.name != self._own.name]
        rng.shuffle(peers)
        peers.sort(
            key=lambda peer: (peer.name in avoided, peer.region != self._own.region)
        )
        return peers


async def join_peers(
    own: PeerHost,
    directory: PeerDirectory,
    table: WatchedTable,
    clock: Clock,
    log: DecisionLog,
) -> None:
    """Tell the peers of this process, then keep the directory until cancelled."""
    while True:
        transaction = Transaction(uuid.uuid4().hex, puts=(make_host_put(own),))
        if (await table.transact(transaction)).is_ok():
            break
        await clock.sleep(RETRY_S)
    log.write("relay", "joined", address=own.address)
    follower = TableFollower(
        table, HOSTS_PREFIX, clock, log, directory.on_rows, wait_s=WATCH_S
    )
    await follower.run()
