"""Starts the processes of one user's example, and ends them by process ID."""

from __future__ import annotations

import asyncio
import signal
import subprocess
import sys
from pathlib import Path
from typing import NamedTuple

import aiohttp
import pyjson5

STAND_INS = (("table",), ("objects",), ("hosts",), ("minion",), ("worker",))
START_BOUND_S = 20.0
STOP_BOUND_S = 10.0


class Running(NamedTuple):
    """A process that this deployment started."""

    name: str
    popen: subprocess.Popen
    url: str


class Deployment:
    """The processes of ``examples/USER``.

    Parameters
    ----------
    example : Path
        Folder with ``platform.json5``, ``configuration.json5`` and ``settings``.
    logs : Path
        Folder for the logs of the processes.
    """

    def __init__(self, example: Path, logs: Path) -> None:
        self.example = example
        self.platform = pyjson5.decode((example / "platform.json5").read_text())
        self._logs = logs
        self._running: dict[str, Running] = {}

    @property
    def running(self) -> list[Running]:
        """The project's processes that run."""
        return [r for r in self._running.values() if r.url]

    def urls(self, role: str) -> list[str]:
        """Return the URLs of running processes with a role."""
        return [r.url for r in self.running if r.name.endswith(role)]

    def start_stand_ins(self) -> None:
        """Start one process for each kind of stand-in."""
        path = str(self.example / "platform.json5")
        for kinds in STAND_INS:
            self._start("+".join(kinds), ["-m", "standins", path, *kinds], "")

    def start_hosts(self) -> None:
        """Start every process that has a settings file."""
        for path in sorted((self.example / "settings").glob("*.json5")):
            self.start_host(path)

    def start_host(self, path: Path) -> None:
        """Start one process."""
        settings = pyjson5.decode(path.read_text())
        url = f"http://{settings['http']['address']}:{settings['http']['port']}"
        name = f"{settings['host']}/{settings['process']}"
        self._start(name, ["-m", "chiveledge", "run", str(path)], url)

    def kill(self, name: str) -> int:
        """Kill one process without warning; return its process ID."""
        running = self._running.pop(name)
        running.popen.send_signal(signal.SIGKILL)
        running.popen.wait()
        return running.popen.pid

    def terminate(self, name: str) -> int:
        """Stop one process gracefully; return its exit code."""
        running = self._running.pop(name)
        running.popen.terminate()
        return running.popen.wait(timeout=STOP_BOUND_S)

    def stop(self) -> dict[str, int]:
        """Stop all processes, the stand-ins last; return the exit codes."""
        own = [name for name, r in self._running.items() if r.url]
        for name in own:
            self._running[name].popen.terminate()
        codes = {}
        for name in own:
            running = self._running.pop(name)
            try:
                codes[name] = running.popen.wait(timeout=STOP_BOUND_S)
            except subprocess.TimeoutExpired:
                running.popen.kill()
                codes[name] = running.popen.wait()
        for running in self._running.values():
            running.popen.kill()
            running.popen.wait()
        self._running.clear()
        return codes

    async def wait_listening(self, session: aiohttp.ClientSession) -> None:
        """Wait until every process of the project answers."""
        async with asyncio.timeout(START_BOUND_S):
            for running in self.running:
                while not await _answers(session, f"{running.url}/healthz"):
                    await asyncio.sleep(0.05)

    async def wait_ready(self, session: aiohttp.ClientSession) -> None:
        """Wait until every process of the project is ready."""
        async with asyncio.timeout(START_BOUND_S):
            for running in self.running:
                while not await _answers(session, f"{running.url}/readyz"):
                    await asyncio.sleep(0.05)

    def _start(self, name: str, arguments: list[str], url: str) -> None:
        log = (self._logs / f"{name.replace('/', '-')}.log").open("ab")
        popen = subprocess.Popen(
            [sys.executable, *arguments], stdout=log, stderr=log, stdin=None
        )
        self._running[name] = Running(name, popen, url)


async def _answers(session: aiohttp.ClientSession, url: str) -> bool:
    try:
        async with session.get(url) as response:
            return response.status == 200
    except (aiohttp.ClientError, OSError):
        return False
