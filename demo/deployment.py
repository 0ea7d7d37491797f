"""Starts and stops the processes of one user's example."""

from __future__ import annotations

import asyncio
import signal
import subprocess
import sys
from pathlib import Path
from typing import NamedTuple

import aiohttp
import pyjson5

STAND_IN_GROUPS = (("table",), ("objects",), ("hosts",), ("minion",), ("worker",))
START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 10.0


class ManagedProcess(NamedTuple):
    """A process that the deployment started.

    Attributes
    ----------
    name : str
        Unique name, `HOST/PROCESS` for a process of the project.
    popen : subprocess.Popen
        Handle of the process.
    url : str
        Base URL of its HTTP API; empty for a stand-in.
    """

    name: str
    popen: subprocess.Popen
    url: str


class Deployment:
    """The processes of the project and of its stand-ins for ``examples/USER``.

    Parameters
    ----------
    example : Path
        Folder with ``platform.json5``, ``configuration.json5`` and ``settings``.
    logs : Path
        Folder to which the processes write their logs.
    """

    def __init__(self, example: Path, logs: Path) -> None:
        self.example = example
        self.platform = pyjson5.decode((example / "platform.json5").read_text())
        self._logs = logs
        self._running: dict[str, ManagedProcess] = {}

    @property
    def running(self) -> list[ManagedProcess]:
        """Running processes of the project, without the stand-ins."""
        return [r for r in self._running.values() if r.url]

    def urls(self, role: str) -> list[str]:
        """Return the URLs of the running processes whose names end in a role."""
        return [r.url for r in self.running if r.name.endswith(role)]

    def start_stand_ins(self) -> None:
        """Start a process for each kind of stand-in."""
        path = str(self.example / "platform.json5")
        for kinds in STAND_IN_GROUPS:
            self._start("+".join(kinds), ["-m", "standins", path, *kinds], "")

    def start_hosts(self) -> None:
        """Start a process for each settings file."""
        for path in sorted((self.example / "settings").glob("*.json5")):
            self.start_host(path)

    def start_host(self, path: Path) -> None:
        """Start the process of a settings file."""
        settings = pyjson5.decode(path.read_text())
        url = f"http://{settings['http']['address']}:{settings['http']['port']}"
        name = f"{settings['host']}/{settings['process']}"
        self._start(name, ["-m", "chiveledge", "run", str(path)], url)

    def kill(self, name: str) -> int:
        """Send SIGKILL to a process; return its process ID."""
        running = self._running.pop(name)
        running.popen.send_signal(signal.SIGKILL)
        running.popen.wait()
        return running.popen.pid

    def terminate(self, name: str) -> int:
        """Send SIGTERM to a process and wait for it; return its exit code."""
        running = self._running.pop(name)
        running.popen.terminate()
        return running.popen.wait(timeout=STOP_TIMEOUT_S)

    def stop(self) -> dict[str, int]:
        """Stop all processes, the stand-ins last; return the exit codes.

        The exit codes are those of the project's processes, by name. A process that
        doesn't stop within `STOP_TIMEOUT_S` is killed, which shows in its exit code.
        """
        names = [name for name, r in self._running.items() if r.url]
        for name in names:
            self._running[name].popen.terminate()
        codes = {}
        for name in names:
            running = self._running.pop(name)
            try:
                codes[name] = running.popen.wait(timeout=STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                running.popen.kill()
                codes[name] = running.popen.wait()
        for running in self._running.values():
            running.popen.kill()
            running.popen.wait()
        self._running.clear()
        return codes

    async def wait_listening(self, session: aiohttp.ClientSession) -> None:
        """Wait until the health check of every process of the project succeeds."""
        async with asyncio.timeout(START_TIMEOUT_S):
            for running in self.running:
                while not await _returns_ok(session, f"{running.url}/healthz"):
                    await asyncio.sleep(0.05)

    async def wait_ready(self, session: aiohttp.ClientSession) -> None:
        """Wait until the readiness check of every process of the project succeeds."""
        async with asyncio.timeout(START_TIMEOUT_S):
            for running in self.running:
                while not await _returns_ok(session, f"{running.url}/readyz"):
                    await asyncio.sleep(0.05)

    def _start(self, name: str, arguments: list[str], url: str) -> None:
        log = (self._logs / f"{name.replace('/', '-')}.log").open("ab")
        popen = subprocess.Popen(
            [sys.executable, *arguments], stdout=log, stderr=log, stdin=None
        )
        self._running[name] = ManagedProcess(name, popen, url)


async def _returns_ok(session: aiohttp.ClientSession, url: str) -> bool:
    try:
        async with session.get(url) as response:
            return response.status == 200
    except (aiohttp.ClientError, OSError):
        return False
