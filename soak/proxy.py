"""TCP proxy on the loopback interface that injects network faults."""

from __future__ import annotations

import asyncio
from enum import StrEnum

CHUNK_BYTES = 65536


class LinkMode(StrEnum):
    """What a link does to its connections.

    `SILENT` drops all data without closing the connections, `ONE_WAY` only that
    from the target.
    """

    PASS = "pass"
    DELAY = "delay"
    RESET = "reset"
    SILENT = "silent"
    ONE_WAY = "one_way"


class LinkProxy:
    """Proxy that forwards the connections of one link to its target.

    Attributes
    ----------
    mode : LinkMode
        Applies to new and to open connections.
    delay_s : float
        Delay of each chunk of data while the mode is `DELAY`.
    """

    def __init__(self, target: str) -> None:
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self._server: asyncio.Server | None = None
        self._port = 0
        self._forwarders: set[asyncio.Task[None]] = set()
        self._writers: set[asyncio.StreamWriter] = set()
        self.mode = LinkMode.PASS
        self.delay_s = 0.0

    async def start(self) -> str:
        """Start listening; return the address to connect to."""
        self._server = await asyncio.start_server(
            self._accept, "127.0.0.1", self._port, reuse_address=True
        )
        host, self._port = self._server.sockets[0].getsockname()[:2]
        return f"{host}:{self._port}"

    async def refuse(self, seconds: float) -> None:
        """Abort all connections, and refuse new ones for a while."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        try:
            await asyncio.sleep(seconds)
        finally:
            await self.start()

    def set_mode(self, mode: LinkMode) -> None:
        """Set the mode; `RESET` also aborts all open connections."""
        self.mode = mode
        if mode is LinkMode.RESET:
            for writer in list(self._writers):
                writer.transport.abort()

    async def close(self) -> None:
        """Stop listening and end all connections."""
        if self._server is not None:
            self._server.close()
        for task in list(self._forwarders):
            task.cancel()
        await asyncio.gather(*self._forwarders, return_exceptions=True)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.mode is LinkMode.RESET:
            writer.transport.abort()
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(*self._target)
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, target_writer}
        self._start_forwarding(self._forward(reader, target_writer, is_reply=False))
        self._start_forwarding(self._forward(target_reader, writer, is_reply=True))

    def _start_forwarding(self, forwarding) -> None:
        task = asyncio.create_task(forwarding)
        self._forwarders.add(task)
        task.add_done_callback(self._forwarders.discard)

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_reply: bool,
    ) -> None:
        try:
            while data := await reader.read(CHUNK_BYTES):
                if self.mode is LinkMode.DELAY:
                    await asyncio.sleep(self.delay_s)
                is_blocked = self.mode is LinkMode.SILENT
                if is_blocked or (is_reply and self.mode is LinkMode.ONE_WAY):
                    # A TCP stream can't skip the dropped bytes: forward nothing more,
                    # even after the mode changes.
                    await asyncio.Event().wait()
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort() if reader.exception() else writer.close()
