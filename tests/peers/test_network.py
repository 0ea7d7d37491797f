"""Reports that are read long after they were sent."""

from __future__ import annotations

import asyncio

import pytest

from chiveledge.clock import ManualClock
from chiveledge.http_limits import ClientServers, HostResources
from chiveledge.metrics import Metrics
from chiveledge.peers import PeerNetwork, PeerReport
from chiveledge.peers._stamps import ReportStamps
from chiveledge.services import HostEntry, HostRole
from chiveledge.settings import Endpoint
from standins.ports import find_free_port
from tests.support import REGION

REPORT_S = 1.0
PAUSE_S = 60.0


class NoLog:
    def write(self, *args, **fields) -> None:
        pass


class Peer:
    """One process's network on a clock of its own, and the messages it received."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.clock = ManualClock()
        self.port = find_free_port()
        self.received = []
        servers = ClientServers(
            HostResources(128, 1000), self.clock, NoLog(), Metrics()
        )
        self.network = PeerNetwork(
            name,
            Endpoint(address="127.0.0.1", port=self.port),
            self.clock,
            Metrics(),
            report_s=REPORT_S,
            make_report=lambda: PeerReport(1, 0.0, True),
            listener=servers.add_listener("links", 0.5),
        )
        self.network.messages.subscribe(self.received.append)

    @property
    def entry(self) -> HostEntry:
        address = f"127.0.0.1:{self.port}"
        return HostEntry(self.name, HostRole.CHIVELEDGE, address, REGION, "a")

    async def receive(self):
        """Return the next message that arrives."""
        count = len(self.received)
        async with asyncio.timeout(10.0):
            while len(self.received) == count:
                await asyncio.sleep(0.01)
        return self.received[-1]


async def wait_until_listening(port: int) -> None:
    async with asyncio.timeout(10.0):
        while True:
            try:
                _, writer = await asyncio.open_connection("127.0.0.1", port)
            except OSError:
                await asyncio.sleep(0.01)
            else:
                writer.close()
                return


@pytest.fixture
async def peers():
    peers = Peer("a"), Peer("b")
    tasks = [asyncio.create_task(peer.network.run()) for peer in peers]
    for peer in peers:
        await wait_until_listening(peer.port)
    for peer, other in (peers, peers[::-1]):
        peer.network.set_peers([other.entry])
    yield peers
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


async def exchange_reports(sender: Peer, receiver: Peer):
    sender.network.queue_report()
    return await receiver.receive()


async def test_age_of_report_is_bounded_once_stamps_were_exchanged(peers):
    a, b = peers
    assert (await exchange_reports(b, a)).report_age_s == float("inf")
    await exchange_reports(a, b)
    assert (await exchange_reports(b, a)).report_age_s == 0.0
    a.clock.jump(0.5)
    assert (await exchange_reports(b, a)).report_age_s == 0.5


async def test_report_that_a_paused_process_reads_late_is_old(peers):
    """It confirmed the document of the process for some seconds more."""
    a, b = peers
    await exchange_reports(a, b)
    await exchange_reports(b, a)
    b.network.queue_report()
    a.clock.jump(PAUSE_S)
    assert (await a.receive()).report_age_s == PAUSE_S
    await exchange_reports(a, b)
    assert (await exchange_reports(b, a)).report_age_s == 0.0


def test_stamp_of_an_earlier_process_bounds_nothing():
    clock = ManualClock()
    earlier, present = ReportStamps(clock), ReportStamps(clock)
    clock.jump(5.0)
    stamps = {earlier.make(), 0, present.make() + 1, present.make() - 5001}
    assert {present.bound_age_s(stamp) for stamp in stamps} == {float("inf")}
    assert present.bound_age_s(present.make() - 5000) == 5.0
