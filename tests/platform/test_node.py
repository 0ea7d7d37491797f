"""Processes against the platform's stand-in: failover, stop and reload of settings."""

from __future__ import annotations

import asyncio
import contextlib
import json
import signal
import subprocess
import sys

import pytest
from aiohttp import web

from chiveledge.clock import ManualClock
from chiveledge.platform._node import SETTINGS_POLL_S, Node
from chiveledge.platform._settings import (
    SETTINGS_VARIABLE,
    load_settings,
    stat_settings,
)
from chiveledge.workload import Usage
from standins.deployment import Deployment, serve
from standins.platform import describe_worker
from standins.ports import find_free_port
from standins.simulated_task import StandInTask

SETTINGS = {
    "node": "n1",
    "zone": "z",
    "ip": "127.0.0.1",
    "platform": {"address": "127.0.0.1:9", "form": "table"},
    "bounds": {"grace_s": 4},
}
GANG = StandInTask(0.4, Usage(1000, 0, 1), gang=3)


@pytest.fixture
async def deployment(tmp_path):
    deployment = Deployment(tmp_path)
    await deployment.start()
    for name in ("n1", "n2"):
        await deployment.launch(name)
    yield deployment
    await deployment.close()


async def run_gang(deployment, name: str, path: str) -> None:
    await deployment.submit(name, path, GANG, 3, gang=True)
    await deployment.wait_for(name, path, "completed")


async def test_jobs_survive_killed_leader_and_stop(deployment):
    paths = [f"/q/00000000000000a{number}" for number in range(1, 5)]
    await run_gang(deployment, "n1", paths[0])
    leader = deployment.leader()
    other = {"n1": "n2", "n2": "n1"}[leader]
    await deployment.kill(leader)
    await run_gang(deployment, other, paths[1])
    await deployment.launch(leader)
    await run_gang(deployment, leader, paths[2])
    deployment.processes[other].send_signal(signal.SIGTERM)
    assert await deployment.processes[other].wait() == 0
    await run_gang(deployment, leader, paths[3])
    assert [deployment.count_starts(path) for path in paths] == [3] * 4
    events = [line["event"] for line in deployment.read_events(other)]
    assert events[0] == "start"
    assert "joined" in events
    assert events[-1] == "stop"


async def test_process_without_configuration_stops_at_once(deployment):
    """SIGTERM was not looked at until a configuration had been read."""
    deployment._store_addresses["n3"] = f"127.0.0.1:{find_free_port()}"
    await deployment.launch("n3")
    process = deployment.processes["n3"]
    while not any(e["event"] == "store_lost" for e in deployment.read_events("n3")):
        await asyncio.sleep(0.05)
    process.send_signal(signal.SIGTERM)
    assert await asyncio.wait_for(process.wait(), 30.0) == 0
    assert deployment.read_events("n3")[-1]["event"] == "stop"


def test_hangup_during_the_imports_does_not_end_the_process():
    """The handler was set after the imports; the default action ends a process."""
    check = (
        "import signal, sys\n"
        "import chiveledge.platform.__main__\n"
        "assert signal.getsignal(signal.SIGHUP) is signal.SIG_IGN\n"
        "assert 'aiohttp' not in sys.modules\n"
    )
    subprocess.run([sys.executable, "-c", check], check=True)


def test_settings_changed_before_they_are_watched_are_reloaded(tmp_path, monkeypatch):
    """A change between the first read and the first look at the file was missed."""
    path = tmp_path / "node.json"
    path.write_text(json.dumps(SETTINGS))
    monkeypatch.setenv(SETTINGS_VARIABLE, str(path))
    node = Node(load_settings(str(path)).unwrap(), stat_settings())
    path.write_text(json.dumps(SETTINGS | {"bounds": {"grace_s": 17}}))
    node._check_settings()
    assert node._settings.bounds.grace_s == 17


async def answer_nested(request):
    return web.Response(text="[" * 4000)


async def answer_elsewhere(request):
    raise web.HTTPFound("http://foreign.example/")


async def answer_endlessly(request):
    response = web.StreamResponse()
    await response.prepare(request)
    with contextlib.suppress(ConnectionError):
        while True:
            await response.write(b" " * 65_536)
    return response


async def test_odd_entries_and_answers_end_no_process_and_no_term(deployment):
    """Processes that read an odd entry, or polled its worker, ended again and again."""
    texts = ["[" * 4000, "\x00", "", '{"state":{}}', '{"born":' + "9" * 400 + "}"]
    for number, text in enumerate(texts):
        deployment.store.write(f"servers/odd-{number}", text)
    entry = describe_worker(deployment.workers[0], "127.0.0.1:99999")
    deployment.store.write("servers/no-port", entry)
    runners = []
    for answer in (answer_nested, answer_elsewhere, answer_endlessly):
        app = web.Application()
        app.router.add_post("/hold", answer)
        runner, entry["address"] = await serve(app)
        runners.append(runner)
        deployment.store.write(f"servers/{answer.__name__}", entry)
    paths = [f"/q/00000000000000b{number}" for number in range(1, 5)]
    for path in paths:
        await run_gang(deployment, "n1", path)
        await asyncio.sleep(0.5)
    assert [deployment.count_starts(path) for path in paths] == [3] * 4
    for name, process in deployment.processes.items():
        events = [line["event"] for line in deployment.read_events(name)]
        assert process.returncode is None
        assert events.count("taken_over") == (name == deployment.leader())
        assert "task_failed" not in events
    for runner in runners:
        await runner.cleanup()


async def test_settings_are_reloaded_without_signal(tmp_path, monkeypatch):
    """Valid settings are applied; invalid ones leave the current ones in force."""
    path = tmp_path / "node.json"
    path.write_text(json.dumps(SETTINGS))
    monkeypatch.setenv(SETTINGS_VARIABLE, str(path))
    node = Node(load_settings(str(path)).unwrap(), stat_settings())
    node._clock = clock = ManualClock()
    watching = asyncio.create_task(node._watch_settings())
    await clock.advance(SETTINGS_POLL_S + 0.1)
    for text, grace_s in (
        (json.dumps(SETTINGS | {"bounds": {"grace_s": 17}}), 17),
        ("{", 17),
    ):
        path.write_text(text)
        await clock.advance(SETTINGS_POLL_S + 0.1)
        assert node._settings.bounds.grace_s == grace_s
    watching.cancel()
