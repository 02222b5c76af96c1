"""Stand-in for the platform: its metadata store and minions, which implement the published protocol.

Servers run in threads of the test process. Tests read the runs that each minion records, and inject faults.
"""

import base64
import dataclasses
import http.server
import json
import random
import threading
import time
import urllib.parse
import urllib.request

MAX_LISTED_ENDS = 500  # ended runs in one poll response
MAX_LEASE_MS = 1000
LATE_EXECUTION_S = (2.0, 12.0)  # range of the time from a request without a response to its execution
LATE_MESSAGE_S = (0.02, 3.0)  # range of the time from a restart to a delayed message of the previous incarnation
CAPACITY_GRACE_S = 4.5  # from a shrink of a capacity until no start may exceed it: contact_ms and one heartbeat
CRASH_OUTAGE_S = 3.0  # time from the crash of a minion to its next incarnation
HELD_CONNECTION_S = 1.0  # some requests without a response keep their connection open for this time
SILENCE_POLL_S = 0.01  # interval in which a silent store checks whether it may respond again
DEFAULT_CPU = 1000  # need of a task whose spec names none, in millicores
DEFAULT_MEMORY_MB = 64


class Server:
    """HTTP server that calls `handle(method, path, query, body, headers)`.

    The function returns (status, body), or None to close the connection without a response.
    """

    def __init__(self, address, handle):
        request_handler = handle

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def serve(self):
                length = int(self.headers.get("Content-Length") or 0)
                body = self.rfile.read(length)
                parts = urllib.parse.urlsplit(self.path)
                query = {k: v[0] for k, v in urllib.parse.parse_qs(parts.query).items()}
                response = request_handler(self.command, parts.path, query, body, self.headers)
                if response is None:
                    self.close_connection = True
                    return
                data = json.dumps(response[1]).encode()
                self.send_response(response[0])
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(data)))
                self.end_headers()
                self.wfile.write(data)

            do_GET = do_POST = do_PUT = do_DELETE = serve

            def log_message(self, *unused):
                pass

        class QuietServer(http.server.ThreadingHTTPServer):
            def handle_error(self, _request, _address):
                pass  # raised when the process under test closes its connection

        self.server = QuietServer(address, Handler)
        self.server.daemon_threads = True
        self.port = self.server.server_address[1]
        # The interval limits how long the port still accepts connections after a call of close().
        threading.Thread(target=self.server.serve_forever, kwargs={"poll_interval": 0.01}, daemon=True).start()

    def close(self):
        self.server.shutdown()
        self.server.server_close()


class Store:
    """Metadata store: keys with revisions, leases, watches and transactions.

    While `down`, every call gets 503. While `silent`, calls are accepted and no call gets a response.
    """

    def __init__(self):
        self.lock = threading.Condition()
        self.items = {}
        self.history = []
        self.discarded_revision = 0  # of the newest event that was discarded
        self.revision = 1
        self.leases = {}  # id -> (expiry, time to live in ms)
        self.calls = 0
        self.down = False
        self.silent = False
        self.server = Server(("127.0.0.1", 0), self.handle)
        self.port = self.server.port

    def put(self, key, value, lease=0):
        with self.lock:
            self._write(key, value, lease)

    def put_raw(self, key, fields):
        """Writes an item with the given fields, which need not follow the format of an item."""
        with self.lock:
            self._write(key, b"", 0)
            item = {"key": key, "revision": self.revision, "created": self.items[key]["created"], "lease": 0, **fields}
            self.items[key] = item
            self.history[-1] = dict(item)

    def put_configuration(self, document):
        self.put("op/config", json.dumps(document).encode())

    def evacuate(self, failure_domain):
        self.put(f"op/evacuate/{failure_domain}", b"")

    def end_evacuation(self, failure_domain):
        with self.lock:
            self._remove(f"op/evacuate/{failure_domain}")

    def discard_history(self):
        """Watches from before the present revision are answered with 410."""
        with self.lock:
            self.history.clear()
            self.discarded_revision = self.revision

    def _write(self, key, value, lease):
        self.revision += 1
        created = self.items[key]["created"] if key in self.items else self.revision
        self.items[key] = {"key": key, "value": base64.b64encode(value).decode(), "revision": self.revision,
                           "created": created, "lease": lease}
        self.history.append(dict(self.items[key]))
        self.lock.notify_all()

    def _remove(self, key):
        if key in self.items:
            self.revision += 1
            del self.items[key]
            self.history.append({"key": key, "revision": self.revision, "tombstone": True})
            self.lock.notify_all()

    def _expire_leases(self):
        now = time.monotonic()
        for lease in [i for i, (expiry, _) in self.leases.items() if expiry <= now]:
            self._revoke(lease)

    def _revoke(self, lease):
        del self.leases[lease]
        for key in [k for k, item in self.items.items() if item["lease"] == lease]:
            self._remove(key)

    def handle(self, method, path, query, body, _headers):
        response = self.execute(method, path, query, body)
        while self.silent:
            time.sleep(SILENCE_POLL_S)
        return response

    def execute(self, method, path, query, body):
        with self.lock:
            self.calls += 1
            if self.down:
                return 503, {}
            self._expire_leases()
            return self.dispatch(method, path, query, json.loads(body) if body else {})

    def dispatch(self, method, path, query, body):
        if path == "/kv-key":
            item = self.items.get(query["key"])
            return (200, {**item, "store_revision": self.revision}) if item else (404, {})
        if path == "/kv-range":
            names = sorted(k for k in self.items if k.startswith(query["prefix"]) and k > query.get("after", ""))
            return 200, {"items": [self.items[k] for k in names], "more_pages": False, "store_revision": self.revision}
        if path == "/kv-watch":
            return self.wait_for_events(query)
        if path == "/kv-txn":
            return self.commit(body)
        if path == "/kv-lease":
            lease = len(self.leases) + self.revision * 1000
            self.leases[lease] = (time.monotonic() + body["ttl_ms"] / 1000, body["ttl_ms"])
            return 200, {"lease": lease, "ttl_ms": body["ttl_ms"]}
        lease = int(path.rsplit("/", 1)[1])
        if lease not in self.leases:
            return 404, {}
        if method == "DELETE":
            self._revoke(lease)
            return 200, {}
        ttl = self.leases[lease][1]
        self.leases[lease] = (time.monotonic() + ttl / 1000, ttl)
        return 200, {"ttl_ms": ttl}

    def wait_for_events(self, query):
        deadline = time.monotonic() + int(query["wait_ms"]) / 1000
        if int(query["after"]) < self.discarded_revision:
            return 410, {}
        while True:
            events = [e for e in self.history
                      if e["revision"] > int(query["after"]) and e["key"].startswith(query["prefix"])]
            remaining = deadline - time.monotonic()
            if events or remaining <= 0 or self.down:
                return 200, {"events": events, "store_revision": self.revision}
            self.lock.wait(remaining)
            self._expire_leases()

    def commit(self, body):
        for row in body["precondition"]:
            found = self.items.get(row["key"], {"revision": 0})["revision"]
            if found != row["revision"]:
                items = [self.items[r["key"]] for r in body["precondition"] if r["key"] in self.items]
                return 412, {"items": items}
        for write in body["writes"]:
            if write.get("lease") and write["lease"] not in self.leases:
                return 404, {}
        for write in body["writes"]:
            self._write(write["key"], base64.b64decode(write["value"]), write.get("lease", 0))
        for key in body["remove"]:
            self._remove(key)
        return 200, {"revision": self.revision}

    def close(self):
        self.server.close()


@dataclasses.dataclass
class MinionRequest:
    path: str
    fields: dict
    expected_id: str
    received_at: float


class Minion:
    """Runs tasks under a lease.

    A job's spec is "work_ms=N", with "fail" for a run that fails at its end, "crash" for a run that crashes the minion at
    its end, and "cpu=N" and "mem_mb=N" for needs of the tasks other than the default. The capacity may change at run time.
    If `guards_capacity` is off, the minion executes starts that exceed it, and records those that no capacity of the last
    CAPACITY_GRACE_S allows.
    """

    def __init__(self, name, service, announce_address, cores=4, heartbeat_interval_s=0.3, host="127.0.0.1"):
        self.name = name
        self.service = service
        self.announce_address = announce_address
        self.cores = cores
        self.capacity = {"cpu": cores * 1000, "mem_mb": 8192, "gpu": 0}
        self.earlier_capacities = []  # [end, capacity]
        self.guards_capacity = True
        self.overcommitted_starts = []  # descriptions
        self.heartbeat_interval_s = heartbeat_interval_s
        self.lock = threading.Condition()
        self.random = random.Random(name)
        self.running = {}  # task -> its run
        self.id = name  # a later incarnation may have another one
        self.born = 0
        self.begin_incarnation()
        self.runs = []  # [task, attempt, start time, end time, outcome, arrival of the request] of every run
        self.state = "ready"
        self.zone = "hobart"
        self.lose_answers = 0  # number of starts that will take effect without a response
        self.late_share = 0.0  # probability that a request gets no response and is executed late
        self.late_requests = 0  # requests that are still to be executed
        self.stopping = False
        self.crashes = 0
        self.host = host
        self.listen()
        threading.Thread(target=self.send_heartbeats, daemon=True).start()
        threading.Thread(target=self.end_due_runs, daemon=True).start()

    def listen(self):
        self.server = Server((self.host, 0), self.handle)
        self.address = f"{self.host}:{self.server.port}"

    def begin_incarnation(self):
        """Forgets everything that the previous incarnation knew. Runs must have ended."""
        self.born = max(self.born + 1, int(time.time() * 1000))  # identifies the incarnation
        self.started = time.monotonic()
        self.token = 0  # highest fencing token seen
        self.lease_end = 0  # on clock()
        self.highest = {}  # task -> highest attempt that has ended or was stopped
        self.ended = []  # runs that the agent has not acknowledged: [sequence number, task, attempt, outcome, saved]
        self.last_end = 0  # sequence number of the last ended run
        self.seq = 0
        self.up = True

    def fail(self):
        """Aborts all runs. Until restart(), the minion executes no request and sends no heartbeat."""
        with self.lock:
            self.up = False
            for task in list(self.running):
                self.end(task, "broken")

    def restart(self, next_id=None, late_messages=()):
        """Starts a new incarnation after fail(), under the same id unless another one is given.

        The messages "PUT" (a heartbeat) and "DELETE" of the previous incarnation arrive after the restart.
        """
        with self.lock:
            previous_id, heartbeat = self.id, self.heartbeat()
            self.id = next_id or self.id
            self.begin_incarnation()
        for method in late_messages:
            body = heartbeat if method == "PUT" else {}
            timer = threading.Timer(self.random.uniform(*LATE_MESSAGE_S), self.announce, (method, previous_id, body))
            timer.daemon = True
            timer.start()

    def crash_under(self, record):
        """Aborts all runs and refuses connections until the next incarnation, which has another id and address.

        Does nothing if the run of the record has ended.
        """
        with self.lock:
            if record[4] != "running" or self.stopping:
                return
            self.crashes += 1
            self.fail()
        self.server.close()
        time.sleep(CRASH_OUTAGE_S)
        if not self.stopping:
            self.listen()
            self.restart(f"{self.name}-{self.crashes}")

    def leave(self, drain_s, next_id):
        """Ends as planned: drains, deregisters, aborts the remaining runs and restarts under another id."""
        self.state = "draining"
        time.sleep(drain_s)
        self.announce("DELETE", self.id, {})
        self.state = "ready"
        self.fail()
        self.restart(next_id)

    def clock(self):
        return int((time.monotonic() - self.started) * 1000)

    def send_heartbeats(self):
        while not self.stopping:
            with self.lock:
                self.seq += 1
                up, own_id, body = self.up, self.id, self.heartbeat()
            if up:
                self.announce("PUT", own_id, body)
            time.sleep(self.heartbeat_interval_s)

    def heartbeat(self):
        return {"backend": self.service, "address": self.address, "zone": self.zone, "version": "v1", "slots": 8,
                "state": self.state, "cold_ms": 0, "labels": ["a", "r1-1"], "clock_ms": self.clock(),
                "capacity": dict(self.capacity), "seq": self.seq, "born": self.born}

    def announce(self, method, own_id, body):
        request = urllib.request.Request(f"http://{self.announce_address}/instances/{own_id}",
                                         data=json.dumps(body).encode(), method=method)
        try:
            urllib.request.urlopen(request, timeout=1).read()
        except OSError:
            pass  # the agent is unreachable; the next heartbeat retries

    def end_due_runs(self):
        """Ends the runs whose work is done, and all runs once the lease has expired."""
        with self.lock:
            while not self.stopping:
                now = time.monotonic()
                for task, run in list(self.running.items()):
                    if run["end"] <= now:
                        self.end(task, "failed" if run["fails"] else "done")
                    elif self.lease_end <= self.clock():
                        self.end(task, "lapsed")
                self.lock.wait(0.005)

    def end(self, task, outcome):
        run = self.running.pop(task)
        run["record"][3] = time.monotonic()
        run["record"][4] = outcome
        self.last_end += 1
        self.ended.append([self.last_end, task, run["attempt"], outcome, ""])
        self.highest[task] = max(self.highest.get(task, 0), run["attempt"])
        self.lock.notify_all()

    def handle(self, _method, path, _query, body, headers):
        request = MinionRequest(path, json.loads(body), headers.get("Expected-Instance"), time.monotonic())
        if self.random.random() < self.late_share:
            self.execute_late(request)
            return None
        born = self.born
        with self.lock:
            if born != self.born or not self.up:
                return None  # the incarnation that received the request has ended
            return self.execute(request)

    def execute_late(self, request):
        """Executes a request without a response seconds later, in the incarnation that exists by then."""
        def execute():
            with self.lock:
                if self.up:
                    self.execute(request)
                self.late_requests -= 1

        with self.lock:
            self.late_requests += 1
        request.fields["wait_ms"] = 0
        threading.Timer(self.random.uniform(*LATE_EXECUTION_S), execute).start()
        if self.random.random() < 0.5:
            time.sleep(HELD_CONNECTION_S)

    def execute(self, request):
        if request.expected_id not in (None, self.id):
            return 421, {"clock_ms": self.clock()}
        token = request.fields.get("fencing_token", 0)
        if token < self.token:
            return 409, {"clock_ms": self.clock(), "reason": "fence"}
        self.token = token
        if request.path == "/run-start":
            return self.start(request)
        if request.path == "/run-stop":
            return self.stop(request.fields)
        return self.poll(request.fields)

    def extend_lease(self, fields):
        if "deadline_ms" in fields:
            self.lease_end = max(self.lease_end, min(fields["deadline_ms"], self.clock() + MAX_LEASE_MS))

    def start(self, request):
        fields = request.fields
        task, attempt = fields["task"], fields["attempt"]
        if fields["deadline_ms"] <= self.clock():
            return 409, {"clock_ms": self.clock(), "reason": "late"}
        self.extend_lease(fields)
        current = self.running.get(task)
        if current is not None and current["attempt"] == attempt:
            return 200, {"clock_ms": self.clock()}
        if current is not None or self.highest.get(task, 0) >= attempt:
            return 409, {"clock_ms": self.clock(), "reason": "old"}
        words = fields["spec"].split()
        options = {"cpu": DEFAULT_CPU, "mem_mb": DEFAULT_MEMORY_MB, **dict(w.split("=") for w in words if "=" in w)}
        need = {"cpu": int(options["cpu"]), "mem_mb": int(options["mem_mb"])}
        if not self.fits(need, self.capacity):
            if self.guards_capacity:
                return 409, {"clock_ms": self.clock(), "reason": "room"}
            self.record_overcommitted_start(task, need)
        work_s = int(options["work_ms"]) / 1000
        now = time.monotonic()
        record = [task, attempt, now, None, "running", request.received_at]
        self.runs.append(record)
        self.running[task] = {"attempt": attempt, "need": need, "end": now + work_s, "fails": "fail" in words, "record": record}
        self.lock.notify_all()
        if "crash" in words:
            self.running[task]["end"] = float("inf")
            timer = threading.Timer(work_s, self.crash_under, (record,))
            timer.daemon = True
            timer.start()
        if self.lose_answers > 0:
            self.lose_answers -= 1
            return None
        return 200, {"clock_ms": self.clock()}

    def set_capacity(self, **changes):
        """Changes `cpu` or `mem_mb` of the capacity, which the next heartbeat announces."""
        with self.lock:
            self.earlier_capacities.append((time.monotonic(), dict(self.capacity)))
            self.capacity.update(changes)

    def fits(self, need, capacity):
        return all(need[kind] + sum(run["need"][kind] for run in self.running.values()) <= capacity[kind]
                   for kind in need)

    def record_overcommitted_start(self, task, need):
        since = time.monotonic() - CAPACITY_GRACE_S
        if not any(self.fits(need, capacity) for ended, capacity in self.earlier_capacities if ended >= since):
            self.overcommitted_starts.append(f"{self.name}: {task} with {need} beside {len(self.running)} runs, "
                                             f"capacity {self.capacity}, earlier {self.earlier_capacities[-3:]}, "
                                             f"at {time.monotonic():.3f}")

    def stop(self, fields):
        task, attempt = fields["task"], fields["attempt"]
        self.highest[task] = max(self.highest.get(task, 0), attempt)
        if task in self.running and self.running[task]["attempt"] == attempt:
            self.end(task, "stopped")
        return 200, {"clock_ms": self.clock()}

    def poll(self, fields):
        self.extend_lease(fields)
        self.ended = [e for e in self.ended if e[0] > fields.get("acked_through", 0)]
        born = self.born
        deadline = time.monotonic() + fields.get("wait_ms", 0) / 1000
        while not self.ended and time.monotonic() < deadline:
            self.lock.wait(deadline - time.monotonic())
            if born != self.born or not self.up:
                return None  # the incarnation that received the poll has ended
        rows = [[task, run["attempt"], "", 100] for task, run in self.running.items()]
        return 200, {"clock_ms": self.clock(), "born": self.born, "running": rows,
                     "finished": self.ended[:MAX_LISTED_ENDS]}

    def close(self):
        self.stopping = True
        self.server.close()


def overlapping_runs(minions):
    """Tasks with two runs at the same time, on the same or different minions: (task, earlier run, later run)."""
    by_task = {}
    for minion in minions:
        for task, attempt, started, ended, *_ in minion.runs:
            by_task.setdefault(task, []).append((started, ended or float("inf"), attempt, minion.name))
    found = []
    for task, runs in by_task.items():
        runs.sort()
        found += [(task, a, b) for a, b in zip(runs, runs[1:]) if b[0] < a[1]]
    return found
