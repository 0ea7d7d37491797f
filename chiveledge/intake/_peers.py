"""Discovery of peer processes through rows in the table service.

Each process registers its own row once and replicates the rows of all.
"""

from __future__ import annotations

import json
import random
import uuid
from collections.abc import Iterable
from typing import NamedTuple

from chiveledge.clock import Clock
from chiveledge.decision_log import DecisionLog
from chiveledge.decoding import DECODE_ERRORS, check_type, describe_error, parse_json
from chiveledge.intake._follower import TableFollower
from chiveledge.services import Put, Row, Transaction, WatchedTable

HOSTS_PREFIX = "hosts/"
RETRY_S = 0.5

WATCH_S = 10.0
"""Duration of one watch; hosts change rarely, and a stopped one is just tried last."""


class PeerHost(NamedTuple):
    """Address at which a process accepts requests of its peers."""

    name: str
    region: str
    address: str


def make_host_put(host: PeerHost) -> Put:
    """Return the write that registers a host for its peers."""
    return Put(HOSTS_PREFIX + host.name, json.dumps(list(host)))


class PeerDirectory:
    """Cache of the registered hosts, some of which may have stopped.

    Parameters
    ----------
    own : PeerHost
        This process, which `list_peers` omits.
    log : DecisionLog
        Receives a line for each row that can't be decoded.
    """

    def __init__(self, own: PeerHost, log: DecisionLog) -> None:
        self._own = own
        self._log = log
        self._hosts: dict[str, PeerHost] = {}

    def __len__(self) -> int:
        """Return the number of registered hosts, including this one."""
        return len(self._hosts)

    def apply_changes(
        self, rows: Iterable[Row], deleted: Iterable[str], is_snapshot: bool
    ) -> None:
        """Apply changed and deleted rows; a snapshot replaces the whole cache."""
        if is_snapshot:
            self._hosts.clear()
        for row in rows:
            try:
                host = _decode_host(row.value)
            except DECODE_ERRORS as error:
                reason = describe_error(error)
                self._log.write("relay", "bad_host", key=row.key, reason=reason)
            else:
                self._hosts[host.name] = host
        for key in deleted:
            self._hosts.pop(key.removeprefix(HOSTS_PREFIX), None)

    def list_peers(self, avoided: set[str], rng: random.Random) -> list[PeerHost]:
        """Return the peers in order of preference.

        Peers that are not avoided come first, then those of the own region; ties
        are in random order.
        """
        peers = [host for host in self._hosts.values() if host.name != self._own.name]
        rng.shuffle(peers)
        peers.sort(
            key=lambda peer: (peer.name in avoided, peer.region != self._own.region)
        )
        return peers


def _decode_host(text: str) -> PeerHost:
    name, region, address = check_type(parse_json(text), list)
    return PeerHost(
        check_type(name, str), check_type(region, str), check_type(address, str)
    )


async def join_peers(
    own: PeerHost,
    directory: PeerDirectory,
    table: WatchedTable,
    clock: Clock,
    log: DecisionLog,
) -> None:
    """Register this process, then keep the directory current until cancelled."""
    while True:
        transaction = Transaction(uuid.uuid4().hex, puts=(make_host_put(own),))
        if (await table.transact(transaction)).is_ok():
            break
        await clock.sleep(RETRY_S)
    log.write("relay", "joined", address=own.address)
    follower = TableFollower(
        table, HOSTS_PREFIX, clock, log, directory.apply_changes, wait_s=WATCH_S
    )
    await follower.run()
