"""Benchmark of the request path over real processes.

Starts the haneul example with three gateways and sends an open load of urgent and batch
requests and orders: at a constant rate, in a burst, with failing minions, with a killed
gateway and with a draining one. The overhead of a gateway is measured against calls
sent directly to a minion in the same run.
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
BURST_BATCH_PER_S = 432.0
"""Three times the capacity: 24 minions with 6 slots each for batch, 1 s a request."""

BURST_WORK_S = 1.0
OVERHEAD_CALLS = 300
IDLE_S = 5.0
GANGS = 16


class Sample(NamedTuple):
    """Outcome of one request as its caller sees it.

    Attributes
    ----------
    outcome : str
        The reply's outcome, for refused and unknown ones with the reason.
        "answered_failure" is a reply of the minion with a server error, "false" a reply
        that belongs to another request, "lost" a request without any reply.
    latency_s : float
        Time from the first send to the reply, retries included.
    """

    kind: str
    outcome: str
    latency_s: float


class LoadGenerator:
    """Sends requests at given rates to all gateways, whether or not earlier ones ended.

    Parameters
    ----------
    deployment : Deployment
        The running processes.
    session : aiohttp.ClientSession
        Session for all requests.
    """

    def __init__(self, deployment: Deployment, session: aiohttp.ClientSession) -> None:
        self._deployment = deployment
        self._session = session
        self._random = random.Random(SEED)
        self._request_count = 0
        self.samples: list[Sample] = []
        self.order_keys: set[str] = set()

    async def run(
        self, duration_s: float, rates: dict[str, float], work_s: dict[str, float]
    ) -> None:
        """Send requests of each kind at its mean rate, and wait for all replies."""
        tasks: list[asyncio.Task[None]] = []
        loop = asyncio.get_running_loop()
        due = {kind: loop.time() for kind in rates}
        end = loop.time() + duration_s
        while (now := loop.time()) < end:
            for kind, rate in rates.items():
                while due[kind] <= now:
                    due[kind] += self._random.expovariate(rate)
                    tasks.append(asyncio.create_task(self._send(kind, work_s[kind])))
            await asyncio.sleep(0.002)
        await asyncio.gather(*tasks)

    async def _send(self, kind: str, work_s: float) -> None:
        """Send one request; retry at another gateway if the connection fails."""
        self._request_count += 1
        key = f"order-{self._request_count}"
        body = json.dumps({"order": key, "work_s": work_s})
        headers = CALLER | ({"Idempotency-Key": key} if kind == "order" else {})
        if kind == "order":
            self.order_keys.add(key)
        started_s = time.perf_counter()
        outcome = "lost"
        for attempt in range(3):
            urls = self._deployment.urls("gateway")
            url = urls[(self._request_count + attempt) % len(urls)]
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

    def pop_samples(self) -> list[Sample]:
        """Return the samples collected so far and clear them."""
        samples, self.samples = self.samples, []
        return samples


class RequestBenchmark:
    """Runs all scenarios on one deployment.

    Parameters
    ----------
    deployment : Deployment
        The running processes.
    session : aiohttp.ClientSession
        Session for all requests.
    """

    def __init__(self, deployment: Deployment, session: aiohttp.ClientSession) -> None:
        self._deployment = deployment
        self._session = session
        self._load = LoadGenerator(deployment, session)
        self._calm_p99_ms = 0.0

    async def run(self) -> None:
        """Run every scenario and print its results."""
        await self._configure()
        await self._measure_idle("")
        await self._submit_gangs()
        await self._measure_idle("with_gangs.")
        await self._measure_overhead()
        calm = {"price-quote": URGENT_PER_S, "blend-check": BATCH_PER_S}
        calm |= {"order": ORDERS_PER_S}
        work = dict.fromkeys(calm, WORK_S)
        await self._run_scenario("calm", calm, work)
        burst = calm | {"blend-check": BURST_BATCH_PER_S}
        await self._run_scenario("burst", burst, work | {"blend-check": BURST_WORK_S})
        await self._set_faults({"mode": "fail"}, share=3)
        await self._run_scenario("third_failing", calm, work)
        await self._set_faults({}, share=1)
        await self._measure_outage()
        killing = asyncio.create_task(self._kill_gateway(SCENARIO_S / 2))
        await self._run_scenario("gateway_killed", calm, work)
        await killing
        await self._check_duplicate_runs()
        await self._measure_drain()

    async def _run_scenario(
        self, name: str, rates: dict[str, float], work_s: dict[str, float]
    ) -> None:
        before = await self._fetch_metrics()
        started_s = time.perf_counter()
        await self._load.run(SCENARIO_S, rates, work_s)
        elapsed_s = time.perf_counter() - started_s
        after = await self._fetch_metrics()
        samples = self._load.pop_samples()
        urgent = [s.latency_s * 1000 for s in samples if _is_answered(s, "price-quote")]
        p99_ms = percentile(urgent, 0.99)
        self._calm_p99_ms = self._calm_p99_ms or p99_ms
        _print_result(f"urgent_p50_ms.{name}", percentile(urgent, 0.5), "ms")
        _print_result(f"urgent_p99_ms.{name}", p99_ms, "ms", self._calm_p99_ms)
        for kind in ("price-quote", "blend-check", "order"):
            of_kind = [s for s in samples if s.kind == kind]
            counts = Counter(sample.outcome for sample in of_kind)
            for outcome, count in sorted(counts.items()):
                _print_result(
                    f"{outcome}.{kind}.{name}", count, "requests", len(of_kind)
                )
        batch = [s for s in samples if s.kind == "blend-check"]
        done = sum(s.outcome == "answered" for s in batch)
        _print_result(
            f"batch_completion.{name}", done / max(len(batch), 1), "share", 1.0
        )
        increases = _sum_increases(before, after)
        _print_result(
            f"rejected_sends.{name}", increases["rejected_sends"], "sends", len(samples)
        )
        orders = max(sum(s.kind == "order" for s in samples), 1)
        writes = increases["store_transactions"] / orders
        _print_result(f"writes_per_request.{name}", writes, "writes", 2.0)
        cores = increases["processor_s"] / elapsed_s
        rate = len(samples) / elapsed_s
        _print_result(
            f"requests_per_second_per_core.{name}", rate / max(cores, 0.01), "1/s"
        )

    async def _measure_overhead(self) -> None:
        """Measure the latency that a gateway adds to calls of a minion.

        Direct calls and calls through the gateway alternate, so that both see the same
        load of the machine.
        """
        minion = self._list_entries("minion")[0]
        direct: list[float] = []
        via_gateway: list[float] = []
        url = self._deployment.urls("gateway")[0]
        headers = {"X-Request-Id": "direct", "X-Deadline-Ms": "2000"}
        for number in range(OVERHEAD_CALLS):
            body = json.dumps({"order": f"overhead-{number}", "work_s": 0.005})
            for times, target, extra in (
                (direct, f"{minion['url']}/v1/run", headers),
                (via_gateway, f"{url}/v1/requests/price-quote", CALLER),
            ):
                started_s = time.perf_counter()
                async with self._session.post(
                    target, data=body, headers=extra
                ) as response:
                    await response.read()
                times.append((time.perf_counter() - started_s) * 1000)
        for share, name in ((0.5, "p50"), (0.99, "p99")):
            direct_ms = percentile(direct, share)
            overhead_ms = percentile(via_gateway, share) - direct_ms
            _print_result(f"gateway_overhead_ms.{name}", overhead_ms, "ms", direct_ms)

    async def _submit_gangs(self) -> None:
        """Fill the first region with jobs that outlast the next idle measurement."""
        entries = self._list_entries("worker")
        job = {
            "region": entries[0]["region"],
            "accelerators": 4,
            "payload": json.dumps({"run_s": 2 * IDLE_S}),
        }
        url = self._deployment.urls("gateway")[0]
        for number in range(GANGS):
            headers = CALLER | {"Idempotency-Key": f"gang-{number}"}
            async with self._session.post(
                f"{url}/v1/jobs", json=job, headers=headers
            ) as response:
                assert response.status == 202, await response.text()

    async def _measure_idle(self, prefix: str) -> None:
        """Measure control traffic, processor time and memory without any requests."""
        await asyncio.sleep(2.0)
        before = await self._fetch_metrics()
        await asyncio.sleep(IDLE_S)
        after = await self._fetch_metrics()
        for name, metrics in after.items():
            sent_bytes = {
                key: metrics["counters"].get(key, 0)
                - before[name]["counters"].get(key, 0)
                for key in ("control_bytes", "peer_bytes")
            }
            label = prefix + name.replace("/", "-")
            rate = sum(sent_bytes.values()) / IDLE_S
            _print_result(f"control_bytes_per_second.{label}", rate, "B/s", 3000.0)
            processor_s = metrics["processor_s"] - before[name]["processor_s"]
            _print_result(
                f"control_cpu_percent.{label}", 100 * processor_s / IDLE_S, "%", 2.5
            )
            _print_result(f"rss_mb.{label}", metrics["resident_mb"], "MB", 128.0)

    async def _measure_outage(self) -> None:
        await self._set_faults({"mode": "fail"}, share=1)
        before = await self._fetch_metrics()
        await self._load.run(
            SCENARIO_S / 2, {"restock-forecast": 100.0}, _OUTAGE_WORK_S
        )
        increases = _sum_increases(before, await self._fetch_metrics())
        samples = len(self._load.pop_samples())
        sends = increases["sends"] / samples
        _print_result("sends_per_request_under_outage", sends, "sends", 1.2)
        await self._set_faults({}, share=1)
        await asyncio.sleep(2.0)
        await self._load.run(2.0, {"price-quote": 40.0}, {"price-quote": WORK_S})
        self._load.pop_samples()

    async def _measure_drain(self) -> None:
        """Drain a gateway under load and count the requests that aren't answered."""
        name = next(r.name for r in self._deployment.running if "gateway" in r.name)
        load = asyncio.create_task(
            self._load.run(4.0, {"price-quote": 40.0}, {"price-quote": 0.2})
        )
        await asyncio.sleep(1.0)
        started_s = time.perf_counter()
        code = await asyncio.to_thread(self._deployment.terminate, name)
        _print_result("drain_s", time.perf_counter() - started_s, "s", 30.0)
        await load
        outcomes = Counter(sample.outcome for sample in self._load.pop_samples())
        not_answered = sum(n for key, n in outcomes.items() if key not in ("answered",))
        _print_result(
            "drain_not_answered", not_answered, "requests", sum(outcomes.values())
        )
        _print_result("drain_exit_code", code, "code")

    async def _kill_gateway(self, after_s: float) -> None:
        await asyncio.sleep(after_s)
        name = next(r.name for r in self._deployment.running if "gateway" in r.name)
        self._deployment.kill(name)

    async def _check_duplicate_runs(self) -> None:
        runs: Counter[str] = Counter()
        for entry in self._list_entries("minion"):
            async with self._session.get(f"{entry['url']}/statistics") as response:
                statistics = await response.json()
            runs.update(statistics["runs"])
            max_running = statistics["most_running"]
            assert max_running <= 8, f"{entry['name']} ran {max_running} at once"
        keys = self._load.order_keys
        duplicates = sum(n > 1 for key, n in runs.items() if key in keys)
        _print_result("orders_run_twice", duplicates, "requests")

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

    async def _set_faults(self, faults: dict, *, share: int) -> None:
        """Set faults on every minion whose number is a multiple of `share`."""
        for number, entry in enumerate(self._list_entries("minion")):
            if number % share == 0:
                async with self._session.post(
                    f"{entry['url']}/faults", json=faults
                ) as response:
                    assert response.status == 200

    def _list_entries(self, role: str) -> list[dict]:
        entries = self._deployment.platform["entries"]
        return [entry for entry in entries if entry["role"] == role]

    async def _fetch_metrics(self) -> dict[str, dict]:
        metrics = {}
        for running in self._deployment.running:
            async with self._session.get(
                f"{running.url}/v1/admin/metrics", headers=OPERATOR
            ) as response:
                metrics[running.name] = await response.json()
        return metrics


def _sum_increases(before: dict[str, dict], after: dict[str, dict]) -> Counter[str]:
    """Return the increases of counters, summed over gateways in both snapshots."""
    increases: Counter[str] = Counter()
    for name, metrics in after.items():
        if "gateway" not in name or name not in before:
            continue
        earlier = before[name]
        for key, value in metrics["counters"].items():
            increases[key] += value - earlier["counters"].get(key, 0)
        increases["processor_s"] += metrics["processor_s"] - earlier["processor_s"]
    return increases


_OUTAGE_WORK_S = {"restock-forecast": 0.01}


def _is_answered(sample: Sample, kind: str) -> bool:
    return sample.kind == kind and sample.outcome == "answered"


def _print_result(
    name: str, value: float, unit: str, baseline: float | None = None
) -> None:
    print_result(name, value, unit, baseline=baseline, seed=SEED)


async def run_benchmark() -> None:
    """Start the processes, run all scenarios and stop the processes."""
    with tempfile.TemporaryDirectory() as logs:
        deployment = Deployment(EXAMPLE, Path(logs))
        try:
            deployment.start_stand_ins()
            deployment.start_hosts()
            connector = aiohttp.TCPConnector(limit=0)
            async with aiohttp.ClientSession(connector=connector) as session:
                await RequestBenchmark(deployment, session).run()
        finally:
            deployment.stop()


def main() -> None:
    """Run the benchmark."""
    asyncio.run(run_benchmark())


if __name__ == "__main__":
    sys.exit(main())
