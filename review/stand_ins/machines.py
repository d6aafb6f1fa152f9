"""The cloud and the workers on its machines, as PROTOCOL-tillercleat.md describes them."""

import asyncio
import json
import random
import time
from urllib.parse import parse_qs, urlsplit

from . import http

REPORT_TIMEOUT_S, NEXT_NODE_S, CHANGE_S = 4.0, 1.0, 0.5


class Task:
    """One attempt of a task on a machine."""

    def __init__(self, name, attempt, job):
        self.name, self.attempt, self.job = name, attempt, job
        self.state, self.cause, self.saved = "pulling", None, None
        self.on_machine = False
        self.timer = None

    def status(self):
        status = {"load": self.name, "cast": self.attempt, "trim": self.state}
        if self.cause:
            status["cause"] = self.cause
        if self.saved is not None:
            status["saved"] = self.saved
        return status


class Worker:
    """The worker of one machine."""

    def __init__(self, world, name, machine_type, zone, spot):
        self.world, self.name, self.type, self.zone, self.spot = world, name, machine_type, zone, spot
        self.random = random.Random(name)
        self.session, self.number, self.token = 1, 0, 0
        self.tasks, self.images, self.results = {}, {}, set()
        self.changed = asyncio.Event()
        self.last_answered_sent = time.monotonic()
        self.token_reported_at = 0.0
        self.gone = False
        names = list(world.worker_nodes)
        self.node = names[self.random.randrange(len(names))]
        self.client = http.Client(world.worker_nodes[self.node])
        self.loops = [asyncio.create_task(self.report()), asyncio.create_task(self.watch_lease())]

    def free(self):
        used = [task.job for task in self.tasks.values() if task.state != "ended"]
        return (self.type["cores"] - sum(j["cores"] for j in used), self.type["mem_gb"] - sum(j["mem_gb"] for j in used))

    def end(self):
        """The machine is gone with all that is on it."""
        self.gone = True
        for task in list(self.tasks.values()):
            self.leave(task, "machine gone")
        for loop in self.loops:
            loop.cancel()
        self.client.close()

    async def watch_lease(self):
        while True:
            await asyncio.sleep(0.02)
            if time.monotonic() - self.last_answered_sent > self.world.lease_s:
                self.world.record("lease of a worker is over", machine=self.name, session=self.session, tasks=len(self.tasks))
                for task in self.tasks.values():
                    self.leave(task, "lease over")
                self.tasks = {}
                self.session += 1
                self.last_answered_sent = time.monotonic()
                self.changed.set()

    def body(self):
        self.number += 1
        return {"deck": self.name, "endpoint": "127.0.0.1:9", "hull": self.type["sku"], "berth": self.zone,
                "driftwood": self.spot, "watch": self.session, "tally": self.number, "helm": self.token,
                "recall_s": None, "loads": [task.status() for task in self.tasks.values()]}

    def go_to(self, node):
        self.client.close()
        self.node = node
        self.client = http.Client(self.world.worker_nodes[node])

    def next_node(self):
        names = list(self.world.worker_nodes)
        self.go_to(names[(names.index(self.node) + 1) % len(names)])

    async def report(self):
        await asyncio.sleep(self.random.random() * self.world.report_s)
        while True:
            self.changed.clear()
            sent, session, body = time.monotonic(), self.session, self.body()
            self.world.report_sent(self, body)
            try:
                status, _, answer = await self.client.call("POST", "/hello", json.dumps(body).encode(), REPORT_TIMEOUT_S)
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
                status, answer = None, None
            if status == 200:
                if session == self.session and answer.get("helm") is not None and answer["helm"] >= self.token:
                    self.last_answered_sent = max(self.last_answered_sent, sent)
                    if answer["helm"] > self.token:
                        self.token = answer["helm"]
                        if time.monotonic() - self.token_reported_at > self.world.lease_s / 2:
                            self.token_reported_at = time.monotonic()
                            self.changed.set()
                    for command in answer.get("calls", []):
                        self.execute(command)
            elif status == 421 and answer and answer.get("harbour") in self.world.worker_nodes and answer["harbour"] != self.node:
                await asyncio.sleep(self.random.random() * 0.5)
                self.go_to(answer["harbour"])
                continue
            else:
                self.next_node()
                await asyncio.sleep(NEXT_NODE_S)
                continue
            due = sent + self.world.report_s * (0.75 + 0.5 * self.random.random())
            try:
                await asyncio.wait_for(self.changed.wait(), max(0.0, due - time.monotonic()))
                await asyncio.sleep(max(0.0, sent + CHANGE_S - time.monotonic()))
            except asyncio.TimeoutError:
                pass

    def execute(self, command):
        name, attempt = command["load"], command["cast"]
        task = self.tasks.get((name, attempt))
        self.world.record("command", machine=self.name, **command)
        if command["call"] == "start" and task is None:
            self.start(name, attempt)
        elif command["call"] == "kill" and task is not None:
            self.kill(task, command.get("slack_s", 0))
        elif command["call"] == "reap" and task is not None and task.state == "ended":
            del self.tasks[(name, attempt)]
            self.changed.set()

    def start(self, name, attempt):
        job = self.world.jobs.get(name.split("/")[0])
        task = Task(name, attempt, job)
        free = self.free()
        other = any(n == name and t.state != "ended" for (n, _), t in self.tasks.items())
        if job is None or int(name.split("/")[1]) >= job["loads"]:
            task.state, task.cause = "ended", "no_such"
        elif other:
            task.state, task.cause = "ended", "in_use"
        elif free[0] + 1e-6 < job["cores"] or free[1] + 1e-6 < job["mem_gb"]:
            task.state, task.cause = "ended", "no_room"
        self.tasks[(name, attempt)] = task
        self.changed.set()
        if task.cause:
            self.world.record("start refused", machine=self.name, task=name, attempt=attempt, cause=task.cause)
            return
        task.timer = asyncio.create_task(self.run(task))

    async def run(self, task):
        job = task.job
        if job["kit"] not in self.images:
            self.images[job["kit"]] = asyncio.create_task(asyncio.sleep(job["image_gb"] / self.type["fetch_gb_per_s"]))
        await asyncio.shield(self.images[job["kit"]])
        if task.name in self.results:
            self.finish(task, "done")
            return
        task.state, task.on_machine = "running", True
        self.world.task_starts(self, task)
        self.changed.set()
        run_s, cause = self.world.run_of(self, task)
        await asyncio.sleep(run_s)
        if cause == "done":
            self.results.add(task.name)
        self.finish(task, cause)

    def finish(self, task, cause):
        self.leave(task, cause)
        task.state, task.cause = "ended", cause
        self.changed.set()

    def leave(self, task, why):
        """The task is not on the machine any more."""
        if task.timer and task.timer is not asyncio.current_task():
            task.timer.cancel()
        if task.on_machine:
            task.on_machine = False
            self.world.task_leaves(self, task, why)

    def kill(self, task, slack_s):
        if task.state == "ended":
            return
        job = task.job
        if task.state == "running" and job["mark_s"] > 0 and slack_s >= job["stow_s"]:
            task.state = "flushing"
            task.timer.cancel()
            task.timer = asyncio.create_task(self.save(task))
            self.changed.set()
        elif task.state != "flushing" or slack_s == 0:
            self.finish(task, "halted")

    async def save(self, task):
        await asyncio.sleep(task.job["stow_s"])
        task.saved = True
        self.finish(task, "halted")


class Cloud:
    """Rents machines; `up` of them are up at the start."""

    def __init__(self, world, catalog, capacity, list_lag_s):
        self.world, self.catalog, self.capacity, self.list_lag_s = world, catalog, capacity, list_lag_s
        self.last, self.machines, self.charters = 0, {}, {}

    async def start(self):
        self.server, self.address = await http.serve(self.handle)

    def add(self, sku, zone, spot, boot_s, age_s=0.0):
        self.last += 1
        name = f"i-{self.last:06}"
        machine_type = next(t for t in self.catalog if t["sku"] == sku)
        entry = {"type": machine_type, "zone": zone, "spot": spot, "rented": time.monotonic() - age_s, "worker": None,
                 "gone": None}
        self.machines[name] = entry

        async def boot():
            await asyncio.sleep(boot_s)
            if entry["gone"] is None:
                entry["worker"] = Worker(self.world, name, machine_type, zone, spot)

        entry["boot"] = asyncio.create_task(boot())
        return name

    def workers(self):
        return [m["worker"] for m in self.machines.values() if m["worker"] and m["gone"] is None]

    async def handle(self, method, target, body):
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if url.path == "/catalog":
            return 200, {"hulls": self.catalog}
        if method == "POST" and url.path == "/rentals":
            return self.rent(json.loads(body))
        if method == "POST" and url.path == "/rentals/return":
            for name in json.loads(body)["decks"]:
                entry = self.machines.get(name)
                if entry and entry["gone"] is None:
                    entry["gone"] = time.monotonic()
                    if entry["worker"]:
                        entry["worker"].end()
                    self.world.record("machine returned", machine=name)
            return 200, {}
        seen = time.monotonic() - self.list_lag_s
        decks = []
        for name, entry in self.machines.items():
            if name > query.get("from", "") and entry["rented"] <= seen and (entry["gone"] or seen + 1) > seen:
                decks.append({"ref": name, "endpoint": "127.0.0.1:9", "hull": entry["type"]["sku"], "berth": entry["zone"],
                              "driftwood": entry["spot"], "trim": "running" if entry["worker"] else "starting",
                              "age_s": round(seen - entry["rented"], 1)})
        return 200, {"decks": decks[:500], "truncated": len(decks) > 500}

    def rent(self, request):
        if request["charter"] in self.charters:
            return 200, {"decks": self.charters[request["charter"]]}
        key = (request["hull"], request["berth"], request["driftwood"])
        used = sum(1 for m in self.machines.values() if m["gone"] is None and (m["type"]["sku"], m["zone"], m["spot"]) == key)
        count = min(request["count"], self.capacity.get(key, 0) - used)
        if count <= 0:
            return 503, {"error": "no capacity"}
        boot_s = next(t for t in self.catalog if t["sku"] == request["hull"])["ready_s"]
        names = [self.add(request["hull"], request["berth"], request["driftwood"], boot_s) for _ in range(count)]
        self.charters[request["charter"]] = names
        self.world.record("machines rented", names=names)
        return 200, {"decks": names}
