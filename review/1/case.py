"""An old report, from a worker's earlier session, is the first that a new leader hears of its machine."""

import asyncio
import json
import pathlib
import sys
import time

CASE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent))
from stand_ins import http  # noqa: E402
from stand_ins.world import CannotRun, EKL_CATALOG, ekl_cluster, job, main, shard_of  # noqa: E402

MACHINES = 15
AWAY_S = 11.0  # the workers' lease is 10 s
LATE, LATE_S = "bollard-0", 8.0  # the controller that comes back last, and how much later
COPY_AFTER_S = 0.1


async def all_run(world, count, what):
    until = time.monotonic() + 40
    while sum(len(places) for places in world.places.values()) < count:
        if time.monotonic() > until:
            raise CannotRun(f"{what} does not start")
        await asyncio.sleep(0.1)


async def scenario(trouble, new_world):
    world = new_world(ekl_cluster(), 3, EKL_CATALOG, {("kallur", "tartu", True): 30})
    await world.open()
    for name in world.names:
        world.start(name)
    for _ in range(MACHINES):
        world.cloud.add("kallur", "tartu", True, 0.1, age_s=60.0)
    await world.wait_up(world.names)

    # Long work keeps every machine in use and leaves it room for more.
    late_shard = world.names.index(LATE)
    fillers = [ref for ref in (f"wk-{number:06}" for number in range(300, 400)) if shard_of(ref, 3) == late_shard][:9]
    for ref in fillers:
        await world.submit(job(ref, 1, 36.0, 8.0, 200.0))
    await all_run(world, len(fillers), "the long work")
    # An array of 16 tasks: four are short, the others run for long.
    array = next(ref for ref in (f"wk-{number:06}" for number in range(400, 500)) if shard_of(ref, 3) == late_shard)
    world.runs[array] = lambda worker, task: (1.0 if int(task.name.split("/")[1]) < 4 else 200.0, "done")
    await world.submit(job(array, 16, 8.0, 4.0, 100.0))
    everything = len(fillers) + 12
    await all_run(world, everything, "the work")
    await asyncio.sleep(4.0)

    if trouble:
        # All controllers end. The workers' connections to them hang without any error.
        kept = {}

        def keep(worker, body):
            if worker.name not in kept:
                kept[worker.name] = json.dumps(body).encode()
                world.record("report sent; the network keeps a copy", machine=worker.name, report=body)

        world.on_report = keep
        world.network.silent.update(world.names)
        for name in world.names:
            world.kill(name)
    # Some tasks fail once; they are sound when they are run again.
    for worker in world.cloud.workers():
        for task in list(worker.tasks.values()):
            if task.job["ref"] == array and task.state == "running":
                task.timer.cancel()
                worker.finish(task, "error")
    if trouble:
        await asyncio.sleep(2.0)
        world.on_report = None
        await asyncio.sleep(AWAY_S - 2.0)
        copies = {machine: body for machine, body in kept.items() if shard_of(machine, 3) == late_shard}

        async def deliver(machine, body):
            await asyncio.sleep(COPY_AFTER_S)
            client = http.Client(world.nodes[LATE])
            try:
                status, _, answer = await client.call("POST", "/hello", body, 4.0)
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                status, answer = None, None
            client.close()
            world.record("copy of an old report arrives", node=LATE, machine=machine, status=status, answer=answer)

        def on_commit(changes, revision):
            for change in changes:
                if change.get("put", "").startswith("t/o/"):
                    world.record("new leader of a share of the machines", key=change["put"], node=change["data"]["node"], token=revision)
                    if change["put"] == f"t/o/{late_shard}" and change["data"]["node"] == LATE:
                        for machine in list(copies):
                            asyncio.ensure_future(deliver(machine, copies.pop(machine)))

        world.store.on_commit = on_commit
        for name in world.names:
            if name != LATE:
                world.network.silent.discard(name)
                world.start(name)
        await asyncio.sleep(LATE_S)
        world.network.silent.discard(LATE)
        world.start(LATE)
    await asyncio.sleep(15.0)
    world.check_processes()
    return world


main(CASE, scenario)
