"""Runs one user's requests and jobs while a gateway and a scheduler are killed.

Exits with 1 if an answer was lost or belongs to another request, an order ran twice, a
member of a job finished twice, or a process did not stop gracefully.
"""

from __future__ import annotations

import asyncio
import json
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path

import aiohttp

from chiveledge.cli._queries import format_event
from chiveledge.events import merge_records
from demo.deployment import Deployment

EXAMPLES = Path(__file__).parent.parent / "examples"
OPERATOR = {"Authorization": "Bearer operator-demo-token"}
REQUESTS = 120
ORDERS = 40
START_TIMEOUT_S = 20.0
JOB_TIMEOUT_S = 30.0
TIMELINE_LINES = 40


class Demo:
    """A run of the demo.

    Parameters
    ----------
    deployment : Deployment
        Started processes of the example.
    session : aiohttp.ClientSession
        HTTP session for all calls.
    """

    def __init__(self, deployment: Deployment, session: aiohttp.ClientSession) -> None:
        self._deployment = deployment
        self._session = session
        self._faults: list[str] = []
        self._outcomes: Counter[str] = Counter()
        self._records: list[dict] = []
        config = (deployment.example / "configuration.json5").read_text()
        self._configuration = config
        self._workspace = "cafes" if "cafes" in config else "benches"

    @property
    def faults(self) -> list[str]:
        """Descriptions of the violated guarantees."""
        return self._faults

    async def run(self) -> None:
        """Send requests, orders and jobs; kill two processes while they run."""
        await self._set_configuration()
        await self._deployment.wait_ready(self._session)
        urgent, order = self._find_kinds()
        job = await self._submit_job(4, 3.0, adjacent=True)
        requests = asyncio.create_task(self._send_requests(urgent, REQUESTS, ""))
        orders = asyncio.create_task(self._send_requests(order, ORDERS, "order"))
        await asyncio.sleep(1.0)
        await self._kill_leader_and_gateway(job)
        await self._change_preset("peak")
        # Under the peak preset only a gang within its guarantee starts.
        second = await self._submit_job(2, 0.5, adjacent=False)
        await asyncio.gather(requests, orders)
        await self._wait_job(job, 4)
        await self._wait_job(second, 2)
        await self._check_order_runs(order)
        await self._check_member_runs()
        self._records += await self._collect_records()

    def print_summary(self, elapsed_s: float) -> None:
        """Print the merged timeline, the outcomes of requests and the faults."""
        records = [
            r for r in merge_records(self._records) if r["name"] != "request_done"
        ]
        print(f"\nTimeline, last {TIMELINE_LINES} events without requests:")
        for record in records[-TIMELINE_LINES:]:
            print("  " + format_event(record))
        print("\nOutcomes of requests:", dict(self._outcomes))
        print(f"Took {elapsed_s:.1f} s.")
        for fault in self._faults:
            print("FAULT:", fault)

    def _find_kinds(self) -> tuple[str, str]:
        if self._workspace == "cafes":
            return "price-quote", "order"
        return "speed-curve", "dealer-bill"

    async def _set_configuration(self) -> None:
        await self._deployment.wait_listening(self._session)
        body = await self._put_configuration()
        async with asyncio.timeout(START_TIMEOUT_S):
            # The process may not have read the host list yet.
            while body.get("reason") == "host_list_unavailable":
                await asyncio.sleep(body["retry_after_s"])
                body = await self._put_configuration()
        if body.get("revision") != 1:
            self._faults.append(f"the first configuration was not accepted: {body}")
        print("Configuration accepted:", body)

    async def _put_configuration(self) -> dict:
        url = self._deployment.urls("gateway")[0]
        async with self._session.put(
            f"{url}/v1/admin/configuration",
            data=self._configuration.encode(),
            headers=OPERATOR | {"If-Match": "0"},
        ) as response:
            return await response.json()

    async def _change_preset(self, preset: str) -> None:
        url = self._deployment.urls("gateway")[0]
        started_s = time.monotonic()
        async with self._session.put(
            f"{url}/v1/admin/preset/{preset}",
            headers=OPERATOR | {"If-Match": "1"},
        ) as response:
            body = await response.json()
        pending = {running.url for running in self._deployment.running}
        while pending and time.monotonic() - started_s < 6.0:
            for process in list(pending):
                async with self._session.get(f"{process}/readyz") as response:
                    if (await response.json())["revision"] >= 2:
                        pending.discard(process)
        elapsed_s = time.monotonic() - started_s
        print(
            f"Preset {preset} in force in all processes after {elapsed_s:.2f} s: {body}"
        )
        if pending:
            self._faults.append(f"the preset did not reach {sorted(pending)}")

    async def _kill_leader_and_gateway(self, job: str) -> None:
        self._records += await self._collect_records()
        region = job.rpartition(".")[0]
        leader = await self._find_leader(region)
        gateway = next(r for r in self._deployment.running if "gateway" in r.name)
        for name in (leader, gateway.name):
            pid = self._deployment.kill(name)
            print(f"Killed {name} (process {pid}).")

    async def _find_leader(self, region: str) -> str:
        for running in self._deployment.running:
            if not running.name.endswith("scheduler"):
                continue
            async with self._session.get(
                f"{running.url}/v1/admin/status", headers=OPERATOR
            ) as response:
                body = await response.json()
            if any(led["region"] == region for led in body["leads"]):
                return running.name
        raise AssertionError(f"no process leads region {region}")

    async def _send_requests(self, kind: str, count: int, order_prefix: str) -> None:
        tasks = []
        for number in range(count):
            key = f"{order_prefix}-{number}" if order_prefix else ""
            tasks.append(asyncio.create_task(self._send(kind, number, key)))
            await asyncio.sleep(3.0 / count)
        await asyncio.gather(*tasks)

    async def _send(self, kind: str, number: int, key: str) -> None:
        """Send a request, retrying through other gateways until it is not refused."""
        body = json.dumps({"order": key or f"{kind}-{number}", "work_s": 0.03})
        headers = self._make_caller_headers() | (
            {"Idempotency-Key": key} if key else {}
        )
        for attempt in range(4):
            urls = self._deployment.urls("gateway")
            url = urls[(number + attempt) % len(urls)]
            try:
                async with self._session.post(
                    f"{url}/v1/requests/{kind}", data=body.encode(), headers=headers
                ) as response:
                    answer = await response.json()
                    outcome = response.headers["Chiveledge-Outcome"]
            except (aiohttp.ClientError, OSError):
                await asyncio.sleep(0.2)
                continue
            self._outcomes[outcome] += 1
            if outcome == "answered" and answer.get("echo") != body:
                self._faults.append(f"request {number} got the wrong answer: {answer}")
            if outcome != "refused":
                return
            await asyncio.sleep(0.2)
        self._faults.append(f"request {kind} {number} was lost")

    async def _submit_job(self, members: int, run_s: float, *, adjacent: bool) -> str:
        region = self._deployment.platform["entries"][0]["region"]
        job = {
            "region": region,
            "members": members,
            "adjacent": adjacent,
            "accelerators": 8,
            "cores": 4,
            "memory_mb": 1024,
            "payload": json.dumps({"run_s": run_s}),
        }
        url = self._deployment.urls("gateway")[-1]
        headers = self._make_caller_headers() | {
            "Idempotency-Key": f"job-{members}-{run_s}"
        }
        headers["Idempotency-Key"] = headers["Idempotency-Key"].replace(".", "-")
        async with self._session.post(
            f"{url}/v1/jobs", json=job, headers=headers
        ) as response:
            body = await response.json()
        if response.status != 202:
            self._faults.append(f"the job was not accepted: {body}")
            return ""
        print("Job accepted:", body["job_id"], "members", members)
        return body["job_id"]

    async def _wait_job(self, job_id: str, members: int) -> None:
        deadline = time.monotonic() + JOB_TIMEOUT_S
        body = {}
        while time.monotonic() < deadline:
            url = self._deployment.urls("gateway")[-1]
            async with self._session.get(
                f"{url}/v1/jobs/{job_id}/result", headers=self._make_caller_headers()
            ) as response:
                body = await response.json()
                if response.status == 200:
                    break
            await asyncio.sleep(0.1)
        expected = [f"{job_id}:{member}" for member in range(members)]
        if body.get("results") != expected:
            self._faults.append(f"job {job_id} lacks results of members: {body}")
        print("Job", job_id, body.get("state"), "after attempts:", body.get("attempts"))

    async def _check_order_runs(self, order_kind: str) -> None:
        """Record a fault for each order that ran more than once on the minions."""
        runs: Counter[str] = Counter()
        for entry in self._deployment.platform["entries"]:
            if entry["role"] == "minion":
                statistics = await self._read_statistics(entry["url"])
                runs.update(statistics["runs"])
        orders = {key: n for key, n in runs.items() if key.startswith("order-")}
        repeated = [key for key, count in orders.items() if count > 1]
        if repeated:
            self._faults.append(f"orders ran twice: {repeated}")
        print(f"Orders run: {len(orders)} of {ORDERS}, none twice: {not repeated}")

    async def _check_member_runs(self) -> None:
        """Record a fault for each member of a job that finished more than once."""
        finished: Counter[tuple[str, int]] = Counter()
        for entry in self._deployment.platform["entries"]:
            if entry["role"] == "worker":
                statistics = await self._read_statistics(entry["url"])
                for _, job, _, member, state in statistics["history"]:
                    if state == "finished":
                        finished[(job, member)] += 1
        repeated = [key for key, count in finished.items() if count > 1]
        if repeated:
            self._faults.append(f"members finished twice: {repeated}")

    async def _read_statistics(self, url: str) -> dict:
        async with self._session.get(f"{url}/statistics") as response:
            return await response.json()

    async def _collect_records(self) -> list[dict]:
        records = []
        for running in self._deployment.running:
            async with self._session.get(
                f"{running.url}/v1/admin/timeline", headers=OPERATOR
            ) as response:
                records += (await response.json())["events"]
        seen = {(r["process"], r["sequence"]) for r in self._records}
        return [r for r in records if (r["process"], r["sequence"]) not in seen]

    def _make_caller_headers(self) -> dict[str, str]:
        return {
            "Authorization": f"Bearer {self._workspace}-demo-token",
            "Chiveledge-Workspace": self._workspace,
        }


async def run_demo(user: str) -> int:
    """Run the demo for one user; return the exit code."""
    started_s = time.monotonic()
    with tempfile.TemporaryDirectory() as logs:
        deployment = Deployment(EXAMPLES / user, Path(logs))
        try:
            deployment.start_stand_ins()
            deployment.start_hosts()
            async with aiohttp.ClientSession() as session:
                demo = Demo(deployment, session)
                await demo.run()
        except BaseException:
            for path in sorted(Path(logs).glob("*.log")):
                print(f"--- {path.name}\n{path.read_text()[-1500:]}", file=sys.stderr)
            raise
        finally:
            codes = deployment.stop()
    failed = {name: code for name, code in codes.items() if code != 0}
    if failed:
        demo.faults.append(f"processes did not stop gracefully: {failed}")
    demo.print_summary(time.monotonic() - started_s)
    return 1 if demo.faults else 0


if __name__ == "__main__":
    name = sys.argv[1] if len(sys.argv) > 1 else "haneul"
    sys.exit(asyncio.run(run_demo(name)))
