"""A loopback proxy that delays, resets, silences or cuts one way."""

from __future__ import annotations

import asyncio
from enum import StrEnum

CHUNK_BYTES = 65536


class LinkMode(StrEnum):
    """What a link does to its connections."""

    PASS = "pass"
    DELAY = "delay"
    RESET = "reset"
    SILENT = "silent"
    ONE_WAY = "one_way"


class LinkProxy:
    """Carries the connections of one link.

    Attributes
    ----------
    mode : LinkMode
        Applies to new connections and to those that are open.
    delay_s : float
        Pause before each piece of data while the mode is `DELAY`.
    """

    def __init__(self, target: str) -> None:
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self._server: asyncio.Server | None = None
        self._pumps: set[asyncio.Task[None]] = set()
        self._writers: set[asyncio.StreamWriter] = set()
        self.mode = LinkMode.PASS
        self.delay_s = 0.0

    async def start(self) -> str:
        """Listen; return the address to connect to."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    def set_mode(self, mode: LinkMode) -> None:
        """Change what the link does; a reset takes open connections along."""
        self.mode = mode
        if mode is LinkMode.RESET:
            for writer in list(self._writers):
                writer.transport.abort()

    async def close(self) -> None:
        """End all connections."""
        if self._server is not None:
            self._server.close()
        for task in list(self._pumps):
            task.cancel()
        await asyncio.gather(*self._pumps, return_exceptions=True)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.mode is LinkMode.RESET:
            writer.transport.abort()
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(*self._target)
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, far_writer}
        self._spawn(self._pump(reader, far_writer, back=False))
        self._spawn(self._pump(far_reader, writer, back=True))

    def _spawn(self, pump) -> None:
        task = asyncio.create_task(pump)
        self._pumps.add(task)
        task.add_done_callback(self._pumps.discard)

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, *, back: bool
    ) -> None:
        try:
            while data := await reader.read(CHUNK_BYTES):
                if self.mode is LinkMode.DELAY:
                    await asyncio.sleep(self.delay_s)
                lost = self.mode is LinkMode.SILENT
                if lost or (back and self.mode is LinkMode.ONE_WAY):
                    # What is lost stays lost: the connection is silent for good.
                    await asyncio.Event().wait()
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort() if reader.exception() else writer.close()
