"""The request path over real processes: calm, burst, failing minions, a killed gateway.

Starts the haneul example with three gateways, drives an open load of urgent and
batch requests, and compares with calls to the minions directly in the same run.
"""

from __future__ import annotations

import asyncio
import json
import random
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path
from typing import NamedTuple

import aiohttp

from benchmarks.reporting import percentile, print_result
from demo.deployment import Deployment

EXAMPLE = Path(__file__).parents[1] / "examples" / "haneul"
OPERATOR = {"Authorization": "Bearer operator-demo-token"}
CALLER = {
    "Authorization": "Bearer cafes-demo-token",
    "Chiveledge-Workspace": "cafes",
}
SEED = 1
SCENARIO_S = 8.0
WORK_S = 0.05
URGENT_PER_S = 40.0
BATCH_PER_S = 40.0
ORDERS_PER_S = 20.0
# 24 minions with 6 slots for batch serve 144 batch requests of 1 s each second.
BURST_BATCH_PER_S = 432.0
BURST_WORK_S = 1.0
OVERHEAD_CALLS = 300
REST_S = 5.0
GANGS = 16


class Sample(NamedTuple):
    """One request's outcome as its caller saw it."""

    kind: str
    outcome: str
    took_s: float


class Load:
    """An open load through all gateways.

    Parameters
    ----------
    deployment : Deployment
        The running processes.
    session : aiohttp.ClientSession
        For calls.
    """

    def __init__(self, deployment: Deployment, session: aiohttp.ClientSession) -> None:
        self._deployment = deployment
        self._session = session
        self._random = random.Random(SEED)
        self._number = 0
        self.samples: list[Sample] = []
        self.order_keys: set[str] = set()

    async def run(
        self, seconds: float, rates: dict[str, float], work_s: dict[str, float]
    ) -> None:
        """Send requests of each kind at its rate, and wait for all outcomes."""
        tasks: list[asyncio.Task[None]] = []
        loop = asyncio.get_running_loop()
        due = {kind: loop.time() for kind in rates}
        end = loop.time() + seconds
        while (now := loop.time()) < end:
            for kind, rate in rates.items():
                while due[kind] <= now:
                    due[kind] += self._random.expovariate(rate)
                    tasks.append(asyncio.create_task(self._send(kind, work_s[kind])))
            await asyncio.sleep(0.002)
        await asyncio.gather(*tasks)

    async def _send(self, kind: str, work_s: float) -> None:
        """Send one request, through another gateway when a connection breaks."""
        self._number += 1
        key = f"order-{self._number}"
        body = json.dumps({"order": key, "work_s": work_s})
        headers = CALLER | ({"Idempotency-Key": key} if kind == "order" else {})
        if kind == "order":
            self.order_keys.add(key)
        started_s = time.perf_counter()
        outcome = "lost"
        for attempt in range(3):
            urls = self._deployment.urls("gateway")
            url = urls[(self._number + attempt) % len(urls)]
            try:
                async with self._session.post(
                    f"{url}/v1/requests/{kind}", data=body, headers=headers
                ) as response:
                    raw = await response.read()
                    outcome = response.headers["Chiveledge-Outcome"]
            except (aiohttp.ClientError, OSError):
                continue
            if outcome in ("refused", "unknown"):
                outcome = f"{outcome}_{json.loads(raw)['reason']}"
            elif outcome == "answered" and response.status >= 500:
                outcome = "answered_failure"
            elif outcome == "answered" and json.loads(raw)["echo"] != body:
                outcome = "false"
            break
        self.samples.append(Sample(kind, outcome, time.perf_counter() - started_s))

    def take(self) -> list[Sample]:
        """Return the samples so far and start anew."""
        samples, self.samples = self.samples, []
        return samples


class Bench:
    """All scenarios on one deployment.

    Parameters
    ----------
    deployment : Deployment
        The running processes.
    session : aiohttp.ClientSession
        For calls.
    """

    def __init__(self, deployment: Deployment, session: aiohttp.ClientSession) -> None:
        self._deployment = deployment
        self._session = session
        self._load = Load(deployment, session)
        self._calm_p99_ms = 0.0

    async def run(self) -> None:
        """Run and print every scenario."""
        await self._configure()
        await self._measure_rest("")
        await self._submit_gangs()
        await self._measure_rest("with_gangs.")
        await self._measure_overhead()
        calm = {"price-quote": URGENT_PER_S, "blend-check": BATCH_PER_S}
        calm |= {"order": ORDERS_PER_S}
        work = dict.fromkeys(calm, WORK_S)
        await self._scenario("calm", calm, work)
        burst = calm | {"blend-check": BURST_BATCH_PER_S}
        await self._scenario("burst", burst, work | {"blend-check": BURST_WORK_S})
        await self._set_faults({"mode": "fail"}, share=3)
        await self._scenario("third_failing", calm, work)
        await self._set_faults({}, share=1)
        await self._measure_outage()
        killing = asyncio.create_task(self._kill_gateway(SCENARIO_S / 2))
        await self._scenario("gateway_killed", calm, work)
        await killing
        await self._check_doubled()
        await self._measure_drain()

    async def _scenario(
        self, name: str, rates: dict[str, float], work_s: dict[str, float]
    ) -> None:
        before = await self._each()
        started_s = time.perf_counter()
        await self._load.run(SCENARIO_S, rates, work_s)
        elapsed_s = time.perf_counter() - started_s
        after = await self._each()
        samples = self._load.take()
        urgent = [s.took_s * 1000 for s in samples if _is(s, "price-quote")]
        p99_ms = percentile(urgent, 0.99)
        self._calm_p99_ms = self._calm_p99_ms or p99_ms
        _figure(f"urgent_p50_ms.{name}", percentile(urgent, 0.5), "ms")
        _figure(f"urgent_p99_ms.{name}", p99_ms, "ms", self._calm_p99_ms)
        for kind in ("price-quote", "blend-check", "order"):
            mine = [s for s in samples if s.kind == kind]
            counts = Counter(sample.outcome for sample in mine)
            for outcome, count in sorted(counts.items()):
                _figure(f"{outcome}.{kind}.{name}", count, "requests", len(mine))
        batch = [s for s in samples if s.kind == "blend-check"]
        done = sum(s.outcome == "answered" for s in batch)
        _figure(f"batch_completion.{name}", done / max(len(batch), 1), "share", 1.0)
        sent = _sum_moved(before, after)
        _figure(f"rejected_sends.{name}", sent["rejected_sends"], "sends", len(samples))
        orders = max(sum(s.kind == "order" for s in samples), 1)
        writes = sent["store_transactions"] / orders
        _figure(f"writes_per_request.{name}", writes, "writes", 2.0)
        cores = sent["processor_s"] / elapsed_s
        rate = len(samples) / elapsed_s
        _figure(f"requests_per_second_per_core.{name}", rate / max(cores, 0.01), "1/s")

    async def _measure_overhead(self) -> None:
        """Compare a gateway with the minion itself, call by call in turn."""
        minion = self._entries("minion")[0]
        direct: list[float] = []
        through: list[float] = []
        url = self._deployment.urls("gateway")[0]
        headers = {"X-Request-Id": "direct", "X-Deadline-Ms": "2000"}
        for number in range(OVERHEAD_CALLS):
            body = json.dumps({"order": f"overhead-{number}", "work_s": 0.005})
            for times, target, extra in (
                (direct, f"{minion['url']}/v1/run", headers),
                (through, f"{url}/v1/requests/price-quote", CALLER),
            ):
                started_s = time.perf_counter()
                async with self._session.post(
                    target, data=body, headers=extra
                ) as response:
                    await response.read()
                times.append((time.perf_counter() - started_s) * 1000)
        for share, name in ((0.5, "p50"), (0.99, "p99")):
            base = percentile(direct, share)
            over = percentile(through, share) - base
            _figure(f"gateway_overhead_ms.{name}", over, "ms", base)

    async def _submit_gangs(self) -> None:
        """Fill the first region with jobs that outlast the measurement of rest."""
        entries = self._entries("worker")
        job = {
            "region": entries[0]["region"],
            "accelerators": 4,
            "payload": json.dumps({"run_s": 2 * REST_S}),
        }
        url = self._deployment.urls("gateway")[0]
        for number in range(GANGS):
            headers = CALLER | {"Idempotency-Key": f"gang-{number}"}
            async with self._session.post(
                f"{url}/v1/jobs", json=job, headers=headers
            ) as response:
                assert response.status == 202, await response.text()

    async def _measure_rest(self, prefix: str) -> None:
        """Measure control traffic and processor time while nothing is asked for."""
        await asyncio.sleep(2.0)
        before = await self._each()
        await asyncio.sleep(REST_S)
        after = await self._each()
        for name, metrics in after.items():
            moved = {
                key: metrics["counters"].get(key, 0)
                - before[name]["counters"].get(key, 0)
                for key in ("control_bytes", "peer_bytes")
            }
            label = prefix + name.replace("/", "-")
            rate = sum(moved.values()) / REST_S
            _figure(f"control_bytes_per_second.{label}", rate, "B/s", 3000.0)
            spent = metrics["processor_s"] - before[name]["processor_s"]
            _figure(f"control_cpu_percent.{label}", 100 * spent / REST_S, "%", 2.5)
            _figure(f"rss_mb.{label}", metrics["resident_mb"], "MB", 128.0)

    async def _measure_outage(self) -> None:
        await self._set_faults({"mode": "fail"}, share=1)
        before = await self._each()
        await self._load.run(SCENARIO_S / 2, {"restock-forecast": 100.0}, _SHORT)
        sent = _sum_moved(before, await self._each())
        samples = len(self._load.take())
        sends = sent["sends"] / samples
        _figure("sends_per_request_under_outage", sends, "sends", 1.2)
        await self._set_faults({}, share=1)
        await asyncio.sleep(2.0)
        await self._load.run(2.0, {"price-quote": 40.0}, {"price-quote": WORK_S})
        self._load.take()

    async def _measure_drain(self) -> None:
        """Stop a gateway under load; nothing may be lost or cut off."""
        name = next(r.name for r in self._deployment.running if "gateway" in r.name)
        load = asyncio.create_task(
            self._load.run(4.0, {"price-quote": 40.0}, {"price-quote": 0.2})
        )
        await asyncio.sleep(1.0)
        started_s = time.perf_counter()
        code = await asyncio.to_thread(self._deployment.terminate, name)
        _figure("drain_s", time.perf_counter() - started_s, "s", 30.0)
        await load
        outcomes = Counter(sample.outcome for sample in self._load.take())
        bad = sum(n for key, n in outcomes.items() if key not in ("answered",))
        _figure("drain_not_answered", bad, "requests", sum(outcomes.values()))
        _figure("drain_exit_code", code, "code")

    async def _kill_gateway(self, after_s: float) -> None:
        await asyncio.sleep(after_s)
        name = next(r.name for r in self._deployment.running if "gateway" in r.name)
        self._deployment.kill(name)

    async def _check_doubled(self) -> None:
        runs: Counter[str] = Counter()
        for entry in self._entries("minion"):
            async with self._session.get(f"{entry['url']}/statistics") as response:
                statistics = await response.json()
            runs.update(statistics["runs"])
            most = statistics["most_running"]
            assert most <= 8, f"{entry['name']} ran {most} at once"
        keys = self._load.order_keys
        doubled = sum(n > 1 for key, n in runs.items() if key in keys)
        _figure("orders_run_twice", doubled, "requests")

    async def _configure(self) -> None:
        await self._deployment.wait_listening(self._session)
        text = (self._deployment.example / "configuration.json5").read_bytes()
        url = self._deployment.urls("gateway")[0]
        async with self._session.put(
            f"{url}/v1/admin/configuration",
            data=text,
            headers=OPERATOR | {"If-Match": "0"},
        ) as response:
            assert response.status == 200, await response.text()
        await self._deployment.wait_ready(self._session)

    async def _set_faults(self, fields: dict, *, share: int) -> None:
        """Set faults on one in `share` minions."""
        for number, entry in enumerate(self._entries("minion")):
            if number % share == 0:
                async with self._session.post(
                    f"{entry['url']}/faults", json=fields
                ) as response:
                    assert response.status == 200

    def _entries(self, role: str) -> list[dict]:
        entries = self._deployment.platform["entries"]
        return [entry for entry in entries if entry["role"] == role]

    async def _each(self) -> dict[str, dict]:
        metrics = {}
        for running in self._deployment.running:
            async with self._session.get(
                f"{running.url}/v1/admin/metrics", headers=OPERATOR
            ) as response:
                metrics[running.name] = await response.json()
        return metrics


def _sum_moved(before: dict[str, dict], after: dict[str, dict]) -> Counter[str]:
    """Return how far the counters of gateways that ran all the time moved."""
    moved: Counter[str] = Counter()
    for name, metrics in after.items():
        if "gateway" not in name or name not in before:
            continue
        earlier = before[name]
        for key, value in metrics["counters"].items():
            moved[key] += value - earlier["counters"].get(key, 0)
        moved["processor_s"] += metrics["processor_s"] - earlier["processor_s"]
    return moved


_SHORT = {"restock-forecast": 0.01}


def _is(sample: Sample, kind: str) -> bool:
    return sample.kind == kind and sample.outcome == "answered"


def _figure(name: str, value: float, unit: str, baseline: float | None = None) -> None:
    print_result(name, value, unit, baseline=baseline, seed=SEED)


async def run_bench() -> None:
    """Start the processes, run all scenarios and stop them."""
    with tempfile.TemporaryDirectory() as logs:
        deployment = Deployment(EXAMPLE, Path(logs))
        try:
            deployment.start_stand_ins()
            deployment.start_hosts()
            connector = aiohttp.TCPConnector(limit=0)
            async with aiohttp.ClientSession(connector=connector) as session:
                await Bench(deployment, session).run()
        finally:
            deployment.stop()


def main() -> None:
    """Run the benchmark."""
    asyncio.run(run_bench())


if __name__ == "__main__":
    sys.exit(main())
