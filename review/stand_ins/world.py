"""A small installation on loopback: controllers as processes of their own, and stand-ins for all around them."""

import asyncio
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import traceback

from . import http
from .machines import Cloud
from .network import Network
from .store import Store

ROOT = pathlib.Path(__file__).resolve().parents[2]
MASK = (1 << 64) - 1


class CannotRun(Exception):
    """The case could not be set up."""


def shard_of(name, shards):
    """The shard of a machine or job; only used to choose names that are spread evenly."""
    value = 0xCBF29CE484222325
    for part in ("part", name):
        for byte in part.encode() + b"\xff":
            value = ((value ^ byte) * 0x100000001B3) & MASK
    value ^= value >> 33
    value = (value * 0xFF51AFD7ED558CCD) & MASK
    value ^= value >> 33
    value = (value * 0xC4CEB9FE1A85EC53) & MASK
    return (value ^ (value >> 33)) % shards


def free_port():
    with socket.socket() as s:
        s.bind(("127.0.0.1", 0))
        return s.getsockname()[1]


def run_command():
    """The run command of the deploy file."""
    for line in (ROOT / "deploy" / "service.toml").read_text().splitlines():
        name, _, value = line.partition("=")
        if name.strip() == "run":
            return value.strip().strip('"').split()
    raise CannotRun("the deploy file has no run command")


class World:
    def __init__(self, case, cluster, controllers=3, catalog=(), capacity=None):
        self.began = time.monotonic()
        self.record_file = open(case / "record.txt", "w")
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="tillercleat-review-"))
        self.cluster = cluster
        self.report_s, self.lease_s = cluster["workers"]["report_s"], cluster["workers"]["lease_s"]
        self.cancel_s = cluster["workers"]["cancel_s"]
        self.names = [f"bollard-{i}" for i in range(controllers)]
        self.nodes = {name: f"127.0.0.1:{free_port()}" for name in self.names}
        self.peers = {name: f"127.0.0.1:{free_port()}" for name in self.names}
        self.network = Network(self.nodes)
        self.worker_nodes = self.network.addresses
        self.processes = {}
        self.jobs, self.runs, self.places, self.broken = {}, {}, {}, []
        self.starts = {}
        limits = {key: value for key, value in cluster["state"].items() if key != "next"}
        self.store = Store(limits, self.record)
        self.cloud = Cloud(self, list(catalog), capacity or {}, cluster["cloud"]["list_lag_s"])
        self.on_report = None

    def now(self):
        return time.monotonic() - self.began

    def record(self, event, **fields):
        self.record_file.write(f"{self.now():8.3f} {event} {json.dumps(fields)}\n")
        self.record_file.flush()

    def breaks(self, rule, **fields):
        self.broken.append(rule)
        self.record(f"RULE BROKEN: {rule}", **fields)
        print(f"{self.now():.1f} s: {rule} broken: {fields}", flush=True)

    async def open(self):
        await self.store.start(self.names)
        await self.cloud.start()
        await self.network.start()

    def settings(self, name):
        known = [{"label": other, "domain": "tartu", "address": self.peers[other]} for other in self.names if other != name]
        return {"label": name, "domain": "tartu", "client_listen": self.nodes[name], "internal_addr": self.peers[name],
                "known": known, "external": {"cloud": self.cloud.address, "state": self.store.address_for(name)},
                "cluster": {"nodes": len(self.names), **self.cluster}}

    def start(self, name):
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(self.settings(name)))
        log = open(self.folder / f"{name}.log", "a")
        program = [str(ROOT / run_command()[0]), *run_command()[1:], str(path)]
        if not pathlib.Path(program[0]).exists():
            raise CannotRun("the program is not built")
        environment = {**os.environ, "LOG_LEVEL": "info"}
        self.processes[name] = subprocess.Popen(program, cwd=ROOT, stdout=log, stderr=log, env=environment)
        self.record("controller started", node=name, pid=self.processes[name].pid)

    def kill(self, name):
        process = self.processes.pop(name)
        process.kill()
        process.wait()
        self.record("controller killed", node=name)

    def check_processes(self):
        for name, process in self.processes.items():
            if process.poll() is not None:
                self.breaks("a controller ended by itself", node=name, status=process.returncode)

    def close(self):
        for process in self.processes.values():
            process.kill()
        for process in self.processes.values():
            process.wait()
        for path in sorted(self.folder.glob("*.log")):
            self.record_file.write(f"== standard error of {path.stem}\n{path.read_text()}")
        shutil.rmtree(self.folder, ignore_errors=True)
        self.record_file.close()

    # What users see.

    async def call(self, node, method, target, body=b"", timeout=5.0, quiet=False):
        """One request of a user on a connection of its own; status None if there is no answer."""
        client = http.Client(self.nodes[node])
        try:
            status, _, answer = await client.call(method, target, body, timeout)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
            status, answer = None, None
        client.close()
        if not quiet:
            self.record("request", node=node, method=method, target=target, status=status, answer=answer)
        return status, answer

    async def wait_up(self, names, within_s=25.0):
        until = time.monotonic() + within_s
        for name in names:
            while (await self.call(name, "GET", "/up", quiet=True))[0] != 200:
                if time.monotonic() > until:
                    raise CannotRun(f"{name} does not become healthy")
                await asyncio.sleep(0.1)
        self.record("healthy", nodes=list(names))

    async def submit(self, job, node=None, within_s=30.0):
        """Submits a job as a user does: repeats it after 1 s until it is answered for good."""
        self.jobs[job["ref"]] = job
        until, at = time.monotonic() + within_s, 0
        while time.monotonic() < until:
            target = node or self.names[at % len(self.names)]
            status, answer = await self.call(target, "POST", "/v2/runs", json.dumps(job).encode())
            if status in (200, 201, 400, 422):
                return status, answer
            at += 1
            await asyncio.sleep(1.0)
        return None, None

    async def state(self, ref):
        for name in self.names:
            if name in self.processes:
                status, answer = await self.call(name, "GET", f"/v2/runs/{ref}", timeout=2.0)
                if status == 200:
                    return answer["trim"]
                if status == 404:
                    return "unknown"
        return None

    # What the machines see.

    def report_sent(self, worker, body):
        if self.on_report:
            self.on_report(worker, body)

    def run_of(self, worker, task):
        """How long an attempt runs and how it ends."""
        run = self.runs.get(task.job["ref"])
        return run(worker, task) if run else (task.job["reckon_s"], "done")

    def task_starts(self, worker, task):
        others = {m: a for m, a in self.places.get(task.name, {}).items() if m != worker.name}
        self.record("task starts", task=task.name, attempt=task.attempt, machine=worker.name, session=worker.session)
        self.places.setdefault(task.name, {})[worker.name] = task.attempt
        self.starts[task.job["ref"]] = self.starts.get(task.job["ref"], 0) + 1
        if others:
            self.breaks("ran_twice", task=task.name, attempt=task.attempt, machine=worker.name, also_on=others)

    def task_leaves(self, worker, task, why):
        self.places.get(task.name, {}).pop(worker.name, None)
        self.record("task leaves", task=task.name, attempt=task.attempt, machine=worker.name, why=why)


def job(ref, loads, cores, mem_gb, reckon_s, **fields):
    body = {"ref": ref, "haul": "routeplan", "crew": "dispatch", "rig": "array", "rank": "normal", "loads": loads,
            "cores": cores, "gpus": 0.0, "mem_gb": mem_gb, "kit": "img-01", "image_gb": 0.4, "hulls": None, "berth": None,
            "one_zone": False, "apart": False, "driftwood": True, "reckon_s": reckon_s, "mark_s": 0.0, "stow_s": 0.0,
            "tide_s": None}
    return {**body, **fields}


EKL_CATALOG = (
    {"sku": "kopp", "cores": 8, "gpus": 0, "mem_gb": 32, "local_gb": 50, "fetch_gb_per_s": 0.8, "hourly": 0.37,
     "market_price": 0.1, "ready_s": 25, "berths": ["tallinn"]},
    {"sku": "kallur", "cores": 64, "gpus": 0, "mem_gb": 128, "local_gb": 80, "fetch_gb_per_s": 0.4, "hourly": 2.58,
     "market_price": 0.72, "ready_s": 15, "berths": ["tartu"]},
)


def ekl_cluster(teams=("dispatch",), state_next=None):
    """Settings of the deployment at its first size: 3 controllers."""
    state = {"rps": 250.0, "write_rps": 50.0, "value_kb": 16.0, "txn_ops": 32}
    if state_next:
        state["next"] = state_next
    return {"zones": ["tartu", "tallinn"],
            "teams": [{"name": t, "cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0} for t in teams],
            "objectives": [], "workers": {"report_s": 0.8, "lease_s": 10.0, "gang_wait_s": 30.0, "gang_peer_s": 8.0,
                                          "cancel_s": 40.0},
            "state": state, "cloud": {"rps": 3.0, "list_lag_s": 10.0},
            "quota": {"cpu_share": 0.12, "ram_mb": 56.0, "fd_limit": 800}, "clock_off_ms": 1000.0}


def main(case, scenario, limit_s=116.0):
    """Runs a scenario and ends with 1 if a rule was broken, 0 if none was, 2 if the case could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    worlds = []

    def new_world(*args, **kwargs):
        worlds.append(World(case, *args, **kwargs))
        worlds[0].record("case", name=case.name, trouble=trouble)
        return worlds[0]

    def end(status):
        for world in worlds:
            world.record("result", status=status, broken=world.broken)
            world.close()
        print({0: "the rule held", 1: "the rule was broken", 2: "the case could not run"}[status], flush=True)
        # Ends at once: what the stand-ins still do is of no interest.
        os._exit(status)

    async def run():
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        try:
            async with asyncio.timeout(limit_s):
                await scenario(trouble, new_world)
            end(1 if worlds[0].broken else 0)
        except (CannotRun, TimeoutError, asyncio.CancelledError, OSError) as error:
            print(f"the case could not run: {error!r}", flush=True)
            end(2)
        except Exception:
            traceback.print_exc()
            end(2)

    asyncio.run(run())
