"""Stand-ins of the platform's store, of runners, of the operator and of consumers.

They follow PROTOCOL.md. Everything listens on loopback addresses and uses the real clock. One `World`
holds the store, the runners and the processes of the system, and ends all of them.
"""

import base64
import http.client
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from urllib.parse import parse_qs, urlsplit

REPOSITORY = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
# Bounds of sites/vmf-orders.toml.
MAX_HOLD_MS = 6000
STATUS_S = 120
MIN_TTL_MS = 1000
STORE_ANSWER_S = 0.004
HEARTBEAT_S = 1.5
# The site allows 900 ms.
STOP_S = 0.4
MAX_CONNECTIONS = 64
HOST = "127.0.0.1"
USED_PORTS = set()


def now_ms():
    return time.monotonic() * 1000.0


class Record:
    """Writes what was sent, answered and run, with seconds since the start of the script."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.lock = threading.Lock()
        self.began = time.monotonic()

    def seconds(self):
        return time.monotonic() - self.began

    def write(self, text):
        with self.lock:
            self.file.write(f"{self.seconds():8.3f} {text}\n")
            self.file.flush()


class Server:
    """A small HTTP/1.1 server with one thread a connection. `close` resets what is open."""

    def __init__(self, handler, port=0, max_connections=None):
        self.handler = handler
        self.max_connections = max_connections
        self.connections = set()
        self.lock = threading.Lock()
        self.closed = False
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.bind((HOST, port))
        self.socket.listen(512)
        self.port = self.socket.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while not self.closed:
            try:
                connection, _ = self.socket.accept()
            except OSError:
                return
            with self.lock:
                full = self.max_connections and len(self.connections) >= self.max_connections
                if self.closed or full:
                    connection.close()
                    continue
                self.connections.add(connection)
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection):
        try:
            reader = connection.makefile("rb")
            while not self.closed:
                line = reader.readline()
                if not line:
                    return
                method, target, _ = line.decode().split(" ", 2)
                headers = {}
                while True:
                    line = reader.readline().decode().strip()
                    if not line:
                        break
                    name, value = line.split(":", 1)
                    headers[name.strip().lower()] = value.strip()
                body = reader.read(int(headers.get("content-length", 0)))
                answer = self.handler(method, target, headers, body)
                if answer is None:
                    return
                status, value = answer
                text = json.dumps(value).encode() if value is not None else b""
                head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(text)}\r\n"
                if text:
                    head += "Content-Type: application/json\r\n"
                if self.closed:
                    return
                connection.sendall(head.encode() + b"\r\n" + text)
        except (OSError, ValueError):
            pass
        finally:
            with self.lock:
                self.connections.discard(connection)
            connection.close()

    def close(self):
        self.closed = True
        self.socket.close()
        with self.lock:
            for connection in list(self.connections):
                try:
                    connection.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass


class Store:
    """The platform's store: linearizable, with leases, watches and transactions."""

    def __init__(self, record):
        self.record = record
        self.changed = threading.Condition()
        self.items = {}
        self.events = []
        self.revision = 100
        self.dropped = 100
        self.leases = {}
        self.next_lease = 7000
        self.quiet_until = 0.0
        self.on_call = None
        threading.Thread(target=self._expire, daemon=True).start()

    def put(self, key, value, lease=0):
        """A write of the operator or of a runner; also used by transactions, under the lock."""
        with self.changed:
            self.revision += 1
            self._put(key, value, lease)
            self.changed.notify_all()
            return self.revision

    def _put(self, key, value, lease):
        created = self.items[key]["created"] if key in self.items else self.revision
        item = {"key": key, "value": base64.b64encode(value).decode(), "revision": self.revision,
                "created": created, "leaseId": lease}
        self.items[key] = item
        self.events.append((self.revision, item))

    def _remove(self, key):
        if self.items.pop(key, None) is not None:
            gone = {"key": key, "revision": self.revision, "deleted": True}
            self.events.append((self.revision, gone))

    def remove(self, key):
        with self.changed:
            self.revision += 1
            self._remove(key)
            self.changed.notify_all()

    def _expire(self):
        while True:
            time.sleep(0.01)
            with self.changed:
                ended = [lease for lease, (until, _) in self.leases.items() if now_ms() >= until]
                for lease in ended:
                    self._end(lease)

    def _end(self, lease):
        if self.leases.pop(lease, None) is None:
            return False
        keys = [key for key, item in self.items.items() if item["leaseId"] == lease]
        if keys:
            self.revision += 1
            for key in keys:
                self._remove(key)
            self.changed.notify_all()
        return True

    def quiet_then_forget(self, quiet_s):
        """Watches hear nothing for a while, then the history is dropped and they are cut."""
        with self.changed:
            self.quiet_until = time.monotonic() + quiet_s
        self.record.write(f"store: watches hear nothing for {quiet_s} s from now on")

        def forget():
            time.sleep(quiet_s)
            with self.changed:
                self.dropped = self.revision
                self.events = []
                self.quiet_until = 0.0
                self.changed.notify_all()
            self.record.write(f"store: history up to revision {self.dropped} is dropped")

        threading.Thread(target=forget, daemon=True).start()

    def handle(self, method, target, headers, body):
        time.sleep(STORE_ANSWER_S / 2)
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        answer = self._answer(method, url.path, query, body)
        if self.on_call:
            self.on_call(method, url.path, query, body, answer)
        time.sleep(STORE_ANSWER_S / 2)
        return answer

    def _answer(self, method, path, query, body):
        if path == "/v1/kv-key":
            with self.changed:
                item = self.items.get(query["key"])
                return (200, {**item, "at": self.revision}) if item else (404, None)
        if path == "/v1/kv-range":
            with self.changed:
                prefix, after = query.get("pathPrefix", ""), query.get("after", "")
                keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
                page = [self.items[key] for key in keys[:500]]
                return 200, {"items": page, "hasMore": len(keys) > 500, "at": self.revision}
        if path == "/v1/kv-watch":
            return self._watch(query)
        if path == "/v1/kv-txn":
            return self._transaction(json.loads(body))
        if path == "/v1/kv-lease":
            with self.changed:
                ttl = max(MIN_TTL_MS, json.loads(body)["ttlMs"])
                self.next_lease += 1
                self.leases[self.next_lease] = (now_ms() + ttl, ttl)
                return 200, {"leaseId": self.next_lease, "ttlMs": ttl}
        if path.startswith("/v1/kv-keep/"):
            with self.changed:
                lease = int(path.rsplit("/", 1)[1])
                if lease not in self.leases or now_ms() >= self.leases[lease][0]:
                    return 404, None
                ttl = self.leases[lease][1]
                self.leases[lease] = (now_ms() + ttl, ttl)
                return 200, {"ttlMs": ttl}
        if path.startswith("/v1/kv-lease-end/") and method == "DELETE":
            with self.changed:
                return (200, None) if self._end(int(path.rsplit("/", 1)[1])) else (404, None)
        return 404, None

    def _watch(self, query):
        prefix, after = query.get("pathPrefix", ""), int(query["after"])
        until = time.monotonic() + int(query.get("waitMs", 0)) / 1000.0
        with self.changed:
            while True:
                quiet = time.monotonic() < self.quiet_until
                if not quiet:
                    if after < self.dropped:
                        return 410, None
                    events = [event for revision, event in self.events
                              if revision > after and event["key"].startswith(prefix)]
                    if events:
                        return 200, {"events": events, "at": self.revision}
                left = until - time.monotonic()
                if left <= 0:
                    # While nothing is heard, the answer does not go beyond what was asked for.
                    return 200, {"events": [], "at": after if quiet else self.revision}
                self.changed.wait(min(left, 0.05) if quiet else left)

    def _transaction(self, wanted):
        with self.changed:
            rows = wanted.get("expectedRevision", [])
            current = {row["key"]: self.items.get(row["key"]) for row in rows}
            if any((current[row["key"]] or {"revision": 0})["revision"] != row["revision"] for row in rows):
                return 412, {"items": [item for item in current.values() if item]}
            puts, removes = wanted.get("write", []), wanted.get("remove", [])
            if any(key.startswith(("op/", "servers/")) for key in [put["key"] for put in puts] + removes):
                return 403, None
            if any(put.get("leaseId") and put["leaseId"] not in self.leases for put in puts):
                return 404, None
            self.revision += 1
            for put in puts:
                self._put(put["key"], base64.b64decode(put["value"]), put.get("leaseId", 0))
            for key in removes:
                self._remove(key)
            self.changed.notify_all()
            return 200, {"revision": self.revision}


class StorePort:
    """The store as one process reaches it. While cut off, calls and answers are lost in silence."""

    def __init__(self, store):
        self.store, self.cut = store, False
        self.server = Server(self.handle)
        self.address = f"{HOST}:{self.server.port}"

    def handle(self, method, target, headers, body):
        answer = None if self.cut else self.store.handle(method, target, headers, body)
        if not self.cut:
            return answer
        while self.cut:
            time.sleep(0.01)
        return None


class Run:
    def __init__(self, task, attempt, spec, checkpoint):
        self.task, self.attempt, self.spec, self.saved = task, attempt, spec, checkpoint
        self.began = now_ms()
        self.pace = 100
        self.stopping = False


class Life:
    """One life of a runner: what it runs, its clock, the fences that it has seen."""

    def __init__(self, runner, labels):
        self.runner, self.labels = runner, labels
        self.born = int(time.time() * 1000)
        self.began = now_ms()
        self.changed = threading.Condition()
        self.fence = 0
        self.lease_until = 0.0
        self.runs = {}
        self.highest_ended = {}
        self.ended = []
        self.number = 0
        self.alive = True
        self.sequence = 0

    def clock(self):
        return now_ms() - self.began

    def end(self, run, how):
        """Lists the end of a run; under the lock."""
        if self.runs.pop(run.task, None) is not run:
            return
        self.number += 1
        self.highest_ended[run.task] = max(self.highest_ended.get(run.task, 0), run.attempt)
        self.ended.append([self.number, run.task, run.attempt, how, run.saved])
        self.runner.note(f"{run.task} run {run.attempt}: {how}")
        self.changed.notify_all()

    def hold_until(self, deadline):
        if deadline is not None:
            self.lease_until = max(self.lease_until, min(deadline, self.clock() + MAX_HOLD_MS))

    def tick(self):
        with self.changed:
            if self.runs and self.clock() >= self.lease_until:
                for run in list(self.runs.values()):
                    self.end(run, "lapsed")
            for run in list(self.runs.values()):
                spec = json.loads(run.spec)
                if "work_ms" in spec and now_ms() - run.began >= spec["work_ms"]:
                    self.end(run, "done")

    def percent(self, run):
        spec = json.loads(run.spec)
        if "work_ms" not in spec:
            return 100
        return min(99, int(100 * (now_ms() - run.began) / spec["work_ms"]))


class Runner:
    """A runner at one address. It may end and start again under its id."""

    def __init__(self, world, name, service, labels, capacity, gauge=None):
        self.world, self.id, self.service, self.capacity = world, name, service, capacity
        self.gauge = gauge or (lambda life, run: 0)
        self.delay_order = lambda path, order: None
        self.sheds = False
        self.server = None
        self.port = 0
        self.starts = []
        self.life = None
        self.boot(labels)
        threading.Thread(target=self._beat, daemon=True).start()

    def note(self, text):
        self.world.record.write(f"{self.id}: {text}")

    def boot(self, labels):
        """Starts a life: the entry is in the store before the first call is taken."""
        life = Life(self, labels)
        if self.server is None:
            self.life = life
            self.server = Server(self.handle, 0, MAX_CONNECTIONS)
            self.port = self.server.port
            self.report()
        else:
            self.life = life
            self.report()
            self.server = Server(self.handle, self.port, MAX_CONNECTIONS)
        self.note(f"a life begins, born {life.born}, labels {labels}")

    def crash(self):
        self.life.alive = False
        self.server.close()
        self.note("crashes")

    def report(self, state="ready"):
        life = self.life
        life.sequence += 1
        entry = {"service": self.service, "address": f"{HOST}:{self.port}", "zone": "lakes-west",
                 "version": "v1", "slots": 8, "state": state, "coldRemainingMs": 0,
                 "capacity": self.capacity, "labels": life.labels, "clockMs": int(life.clock()),
                 "sequence": life.sequence, "born": life.born, "machine": "m-" + self.id}
        self.world.store.put(f"servers/{self.id}", json.dumps(entry).encode())

    def _beat(self):
        last = time.monotonic()
        while True:
            time.sleep(0.01)
            if not self.life.alive:
                continue
            self.life.tick()
            if time.monotonic() - last >= HEARTBEAT_S:
                last = time.monotonic()
                self.report()

    def handle(self, method, target, headers, body):
        life = self.life
        if not life.alive:
            return None
        if target == "/health":
            return 200, None
        if headers.get("expected-instance", self.id) != self.id:
            return 421, {"clockMs": int(life.clock())}
        order = json.loads(body)
        if self.sheds and target == "/v1/run-start":
            self.note(f"{target} {order['task']} -> 503, nothing is done")
            return 503, {"clockMs": int(life.clock())}
        late = self.delay_order(target, order)
        if late is not None:
            self.note(f"{target} {order} gets no answer and is carried out {late} s later")

            def later():
                time.sleep(late)
                if life.alive:
                    answer = self.carry_out(life, target, order)
                    self.note(f"{target} {order} is carried out late: {answer[0]}")

            threading.Thread(target=later, daemon=True).start()
            time.sleep(late)
            return None
        return self.carry_out(life, target, order)

    def carry_out(self, life, path, order):
        with life.changed:
            if order.get("fencingToken", 0) < life.fence:
                return 409, {"clockMs": int(life.clock()), "reason": "fence"}
            life.fence = order.get("fencingToken", 0)
            if path == "/v1/run-start":
                return self._start(life, order)
            if path == "/v1/run-stop":
                return self._stop(life, order)
            if path == "/v1/pace":
                run = life.runs.get(order["task"])
                if run and run.attempt == order["attempt"]:
                    run.pace = order["percent"]
                    self.note(f"{run.task} run {run.attempt}: pace {run.pace}")
                return 200, {"clockMs": int(life.clock())}
            if path == "/v1/hold":
                life.hold_until(order.get("deadlineMs"))
                life.ended = [end for end in life.ended if end[0] > order.get("ackSeq", 0)]
                until = time.monotonic() + min(order.get("waitMs", 0), 2000) / 1000.0
                while life.alive and not life.ended and time.monotonic() < until:
                    life.changed.wait(until - time.monotonic())
                active = [[run.task, run.attempt, run.saved, life.percent(run), self.gauge(life, run)]
                          for run in life.runs.values()]
                return 200, {"clockMs": int(life.clock()), "born": life.born, "active": active,
                             "finished": life.ended[:500]}
        return 404, None

    def _start(self, life, order):
        task, attempt = order["task"], order["attempt"]
        running = life.runs.get(task)
        clock = {"clockMs": int(life.clock())}
        if running and running.attempt == attempt:
            return 200, clock
        if attempt <= life.highest_ended.get(task, 0) or (running and attempt < running.attempt):
            life.hold_until(order["deadlineMs"])
            return 409, {**clock, "reason": "old"}
        if order["deadlineMs"] < life.clock():
            return 409, {**clock, "reason": "late"}
        life.hold_until(order["deadlineMs"])
        if running:
            life.end(running, "stopped")
        run = Run(task, attempt, order["spec"], order.get("checkpoint", ""))
        life.runs[task] = run
        self.starts.append((time.monotonic(), task, attempt, list(life.labels)))
        self.world.started(self, task, attempt)
        self.note(f"{task} run {attempt} starts, fence {order['fencingToken']}, labels {life.labels}")
        return 200, clock

    def _stop(self, life, order):
        task, attempt = order["task"], order["attempt"]
        run = life.runs.get(task)
        if run and run.attempt == attempt:
            if not run.stopping:
                run.stopping = True

                def finish():
                    time.sleep(STOP_S)
                    with life.changed:
                        life.end(run, "stopped")

                threading.Thread(target=finish, daemon=True).start()
        else:
            life.highest_ended[task] = max(life.highest_ended.get(task, 0), attempt)
        return 200, {"clockMs": int(life.clock())}


class Node:
    """One process of the system, started with the command of the deploy file."""

    def __init__(self, world, name):
        self.world, self.name = world, name
        self.callers, self.ready, self.peer, self.metrics = (free_port() for _ in range(4))
        self.process = None
        self.store = StorePort(world.store)
        self.settings = os.path.join(world.folder, name + ".yaml")
        self.write_settings()

    def write_settings(self):
        lines = {"name": self.name, "domain": "lakes-west",
                 "callers_address": f"{HOST}:{self.callers}",
                 "readiness_address": f"{HOST}:{self.ready}",
                 "peer_address": f"{HOST}:{self.peer}",
                 "metrics_address": f"{HOST}:{self.metrics}",
                 "store_address": self.store.address}
        text = "".join(f"{key}: {json.dumps(value)}\n" for key, value in lines.items())
        text += f"processor_share: 0.25\nmin_store_lease_ms: {MIN_TTL_MS}\n"
        text += f"max_worker_lease_ms: {MAX_HOLD_MS}\nkeep_ended_s: {STATUS_S}\n"
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(text)

    def start(self):
        program = os.path.join(REPOSITORY, "target/release/carobsill-node")
        log = open(os.path.join(self.world.folder, self.name + ".log"), "ab")
        environment = {"PATH": os.environ.get("PATH", ""), "HOME": os.environ.get("HOME", "/"),
                       "CAROBSILL_SETTINGS": self.settings}
        self.process = subprocess.Popen([program], cwd=REPOSITORY, env=environment, stdout=log,
                                        stderr=log, stdin=subprocess.DEVNULL)
        self.world.record.write(f"{self.name}: started")

    def signal(self, number):
        self.process.send_signal(number)
        self.world.record.write(f"{self.name}: {signal.Signals(number).name}")

    def kill(self):
        self.signal(signal.SIGKILL)
        self.process.wait()

    def call(self, method, path, host, key, body=None, timeout_s=3.0, quiet=False):
        """A consumer's call; none if there was no answer in time."""
        try:
            connection = http.client.HTTPConnection(HOST, self.callers, timeout=timeout_s)
            connection.request(method, path, json.dumps(body) if body is not None else None,
                               {"Host": host, "Credential": key, "Content-Type": "application/json",
                                "Deadline-Ms": str(int(timeout_s * 1000))})
            answer = connection.getresponse()
            text = answer.read().decode()
            connection.close()
        except (OSError, http.client.HTTPException) as error:
            if not quiet:
                self.world.record.write(f"{self.name}: {method} {path} -> no answer ({error})")
            return None, ""
        if not quiet:
            self.world.record.write(f"{self.name}: {method} {path} -> {answer.status} {text}")
        return answer.status, text

    def is_ready(self):
        try:
            connection = http.client.HTTPConnection(HOST, self.ready, timeout=1)
            connection.request("GET", "/v1/readiness")
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False


def free_port():
    """A port that no outgoing connection takes before the process listens on it."""
    while True:
        port = random.randrange(12000, 32000)
        with socket.socket() as one:
            try:
                one.bind((HOST, port))
            except OSError:
                continue
        if port not in USED_PORTS:
            USED_PORTS.add(port)
            return port


class World:
    """The whole deployment of a script."""

    def __init__(self, record_path):
        self.record = Record(record_path)
        self.folder = tempfile.mkdtemp(prefix="carobsill-review-")
        self.store = Store(self.record)
        self.nodes, self.runners = [], []
        self.twice = []

    def started(self, runner, task, attempt):
        """Notes a start beside another run of the same task, on runners that are up."""
        for other in self.runners:
            run = other.life.runs.get(task) if other.life.alive else None
            if other is not runner and run:
                self.twice.append(f"{task}: run {attempt} starts on {runner.id} while run {run.attempt} is active on {other.id}")
                self.record.write("judge: " + self.twice[-1])

    def add_nodes(self, count):
        self.nodes = [Node(self, f"front-{number}") for number in range(count)]
        for node in self.nodes:
            node.start()

    def configure(self, version, routes, tenants):
        configuration = {"version": version, "routes": routes,
                         "services": [{"name": "desk", "healthPath": "/health", "maxConnections": 64,
                                       "protocol": "h1", "tls": False, "enforceCapacity": False,
                                       "standby": False}],
                         "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144,
                                    "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
                         "tenants": tenants}
        self.store.put("op/config", json.dumps(configuration).encode())
        self.record.write(f"operator: configuration {version} is acknowledged")

    def wait_ready(self, limit_s=15.0):
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            if all(node.is_ready() for node in self.nodes) and self.leader():
                return
            time.sleep(0.1)
        ended = [node.name for node in self.nodes if node.process.poll() is not None]
        raise CannotRun(f"the processes are not ready; ended: {ended}")

    def leader(self):
        """The process that the store names as leader: its name stands in the item."""
        item = self.store.items.get("carobsill/leader")
        value = base64.b64decode(item["value"]) if item else b""
        return next((node for node in self.nodes if node.name.encode() in value), None)

    def wait_leader(self, limit_s=5.0):
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            leader = self.leader()
            if leader:
                return leader
            time.sleep(0.02)
        raise CannotRun("no process leads")

    def close(self):
        for node in self.nodes:
            if node.process and node.process.poll() is None:
                node.process.send_signal(signal.SIGCONT)
                node.process.kill()
                node.process.wait()
            node.store.cut = False
            node.store.server.close()
        for runner in self.runners:
            runner.life.alive = False
            runner.server.close()
        if os.environ.get("KEEP_LOGS"):
            shutil.copytree(self.folder, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)
        self.record.write("all processes have ended")


class CannotRun(Exception):
    """The case could not be brought about."""


def route(name, prefix, **more):
    return {"name": name, "host": "orders.example", "pathPrefix": prefix, "kind": "non_idempotent",
            "timeoutMs": 3000, "targetLatencyMs": 2500, "priority": 1, "service": "desk",
            "maxAttempts": 4, "targetFactor": 2.2, "public": False, **more}


def tenant(name, key):
    return {"name": name, "apiKeys": [key], "priority": 1, "weight": 9,
            "maxCount": {"cpu": 0, "memMb": 0, "gpu": 0}}


def job_id():
    return f"{random.getrandbits(64):016x}"


def run_case(folder, play):
    """Runs a script: 0 if the rule held, 1 if it was broken, 2 if the case could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    world = World(os.path.join(folder, "record.txt"))
    world.record.write(f"TROUBLE={'1' if trouble else '0'}")
    try:
        broken = play(world, trouble)
        world.record.write(f"result: {'the rule was broken' if broken else 'the rule held'}")
        return 1 if broken else 0
    except CannotRun as error:
        world.record.write(f"result: could not run: {error}")
        return 2
    except Exception as error:  # A fault of the script itself is no verdict on the system.
        world.record.write(f"result: could not run: {error!r}")
        return 2
    finally:
        world.close()
