"""UNASKED: a cancelled job runs on.

The leader's process is killed. While other processes still know the dead one, one of them accepts a
job, and its notice to the leader is lost. The store's watches hear nothing for a second, as the bench
words it, and then the history is dropped. Meanwhile the consumer cancels the job and gets a 200.
"""

import json
import os
import signal
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "stand_in"))
from world import CannotRun, Runner, World, job_id, route, run_case, tenant  # noqa: E402

CANCEL_MS = 3000
STOP_TIMEOUT_MS = 900
QUIET_S = 1.0
KEY = "6x73d3zji9n73hh2b9wu"
# Kills that are tried until a job was accepted in the gap.
MOST_KILLS = 4
# Seconds after the cancelling for which the runners are watched.
WATCHED_S = 9.0


def submit_and_cancel(world, node):
    """Hands in a job with a task that lasts, and cancels it. Returns its id and when it was cancelled."""
    job = job_id()
    body = {"spec": json.dumps({"kind": "watch"}),
            "phases": [{"count": 2, "cpu": 500, "memMb": 256, "estimatedMs": 500, "longRunning": True}]}
    status, _ = node.call("POST", f"/watch/{job}", "orders.example", KEY, body)
    if status != 200:
        return None
    time.sleep(0.3)
    status, _ = node.call("DELETE", f"/watch/{job}", "orders.example", KEY)
    acknowledged = time.monotonic()
    return (job, acknowledged) if status == 200 else None


def gap_after_kill(world):
    """Kills the leader. Returns a process that knows the dead one, once its successor has read the jobs."""
    former = world.wait_leader()
    loaded = threading.Event()

    def on_call(method, path, query, body, answer):
        successor = world.leader()
        if path == "/v1/kv-range" and query.get("pathPrefix") == "carobsill/in/" and successor not in (None, former):
            loaded.set()

    world.store.on_call = on_call
    former.kill()
    if not loaded.wait(5.0):
        raise CannotRun("no process took the lead")
    world.store.on_call = None
    successor = world.leader()
    world.record.write(f"store: {successor.name} leads and has read the accepted jobs")
    return former, next(node for node in world.nodes if node not in (former, successor))


def play(world, trouble):
    world.runners = [Runner(world, f"i-00{n}", "desk", ["a", "r1-1"], {"cpu": 16000, "memMb": 32768, "gpu": 0})
                     for n in range(4)]
    world.add_nodes(4)
    world.configure(7, [route("r-watch", "/watch/")], [tenant("lakeside", KEY)])
    world.wait_ready()
    time.sleep(3.0)
    if not trouble:
        cancelled = submit_and_cancel(world, world.nodes[0])
        if cancelled is None:
            raise CannotRun("the job was not accepted and cancelled")
        return judge(world, *cancelled)
    for _ in range(MOST_KILLS):
        former, node = gap_after_kill(world)
        world.store.quiet_then_forget(QUIET_S)
        cancelled = submit_and_cancel(world, node)
        time.sleep(1.0)
        former.start()
        if cancelled and judge(world, *cancelled):
            return True
        world.wait_ready()
    return False


def judge(world, job, acknowledged):
    """Whether a task starts later than `cancel_ms` after the acknowledgement, or runs on after that."""
    time.sleep(max(0.0, acknowledged + WATCHED_S - time.monotonic()))
    bound = acknowledged + CANCEL_MS / 1000.0
    starts = [start for runner in world.runners for start in runner.starts if start[1].startswith(job)]
    running = [run.task for runner in world.runners for run in runner.life.runs.values() if run.task.startswith(job)]
    late = [start for start in starts if start[0] > bound]
    for when, task, attempt, _ in starts:
        world.record.write(f"judge: {task} run {attempt} started {when - acknowledged:+.3f} s from the acknowledged cancelling")
    for task in running:
        world.record.write(f"judge: {task} still runs {WATCHED_S} s after the acknowledged cancelling")
    world.nodes[0].call("GET", f"/watch/{job}", "orders.example", KEY)
    return bool(late or running)


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, play))
