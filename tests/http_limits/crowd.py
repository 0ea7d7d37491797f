"""Connections of clients that send too much or never finish, and the process's use."""

from __future__ import annotations

import asyncio
import contextlib
import os
import resource
from collections.abc import Iterable
from pathlib import Path

PIECE_BYTES = 65_536
SAMPLE_S = 0.02
STEADY_SAMPLES = 15
"""Samples in a row without growth after which the process has read what it was sent."""

GROWTH_MB = 0.25


def read_resident_mb(pid: int) -> float:
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * resource.getpagesize() / 2**20


def count_descriptors(pid: int) -> int:
    return len(os.listdir(f"/proc/{pid}/fd"))


class Usage:
    """Largest resident memory and number of descriptors of a process while sampled.

    Parameters
    ----------
    pid : int
        Process to sample.
    """

    def __init__(self, pid: int) -> None:
        self.resident_mb = 0.0
        self.descriptors = 0
        self._pid = pid

    def sample(self) -> None:
        self.resident_mb = max(self.resident_mb, read_resident_mb(self._pid))
        self.descriptors = max(self.descriptors, count_descriptors(self._pid))

    async def sample_for_ever(self) -> None:
        while True:
            self.sample()
            await asyncio.sleep(SAMPLE_S)

    async def sample_until_steady(self) -> None:
        """Return when the process doesn't grow any more."""
        steady, last_mb = 0, 0.0
        while steady < STEADY_SAMPLES:
            self.sample()
            resident_mb = read_resident_mb(self._pid)
            steady = steady + 1 if resident_mb < last_mb + GROWTH_MB else 0
            last_mb = max(last_mb, resident_mb)
            await asyncio.sleep(SAMPLE_S)


class Crowd:
    """Connections that each send the same bytes and then stay open.

    Parameters
    ----------
    address : tuple of str and int
        Listener to connect to.
    """

    def __init__(self, address: tuple[str, int]) -> None:
        self._address = address
        self._writers: list[asyncio.StreamWriter] = []

    async def send(self, connections: int, pieces: Iterable[bytes]) -> None:
        """Open connections that all send `pieces`, each as far as it gets."""
        sent = list(pieces)
        await asyncio.gather(*(self._send_one(sent) for _ in range(connections)))

    async def _send_one(self, pieces: list[bytes]) -> None:
        with contextlib.suppress(OSError):
            _, writer = await asyncio.open_connection(*self._address)
            self._writers.append(writer)
            for piece in pieces:
                writer.write(piece)
                await writer.drain()

    async def close(self) -> None:
        for writer in self._writers:
            writer.close()
        for writer in self._writers:
            with contextlib.suppress(OSError):
                await writer.wait_closed()


def split(data: bytes, size: int) -> list[bytes]:
    return [data[start : start + size] for start in range(0, len(data), size)]
