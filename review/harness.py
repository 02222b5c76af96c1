"""Runs the project's programs as processes with the commands and templates of the deploy file, for the cases of this
folder. The platform's store and the minions are the project's stand-ins; the platform's entrance for clients is here.
"""

import http.client
import json
import os
import pathlib
import re
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import zlib

ROOT = pathlib.Path(__file__).resolve().parents[1]
sys.path.insert(0, str(ROOT / "standins"))

from platform_standin import Minion, Store  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# Exit codes of a case; run.sh turns them into 0, 1 and 2. Python itself ends with 1 after an error.
HELD, BROKEN, NOT_RUN = 10, 11, 12
HOST = "jobs.example"
SERVICE = "inspect"
PREFIX = "/checks/"
READY_LIMIT_S = 30.0

# The bounds that the pages give for both small deployments.
BOUNDS = {"contact_ms": 3000, "ack_timeout_ms": 4000, "drain_ms": 2000, "grace_s": 6, "config_apply_ms": 2000,
          "max_hold_ms": 1000, "stop_timeout_ms": 50, "cancel_ms": 3000, "retransmit_ms": 1300}


class CannotRun(Exception):
    """The case could not be set up."""


def free_ports(count, addresses):
    """Ports that are free on all of the loopback addresses."""
    taken = []
    ports = []
    try:
        while len(ports) < count:
            probe = socket.socket()
            taken.append(probe)
            probe.bind((addresses[0], 0))
            port = probe.getsockname()[1]
            try:
                for address in addresses[1:]:
                    other = socket.socket()
                    taken.append(other)
                    other.bind((address, port))
            except OSError:
                continue
            ports.append(port)
        return ports
    finally:
        for one in taken:
            one.close()


def wait_until(condition, what, limit_s=READY_LIMIT_S):
    end = time.monotonic() + limit_s
    while not condition():
        if time.monotonic() > end:
            raise CannotRun(f"{what} took longer than {limit_s} s")
        time.sleep(0.02)


def render(template, fields):
    """Fills in a template of the deploy file: values, and sections over a list of values."""
    def value(name):
        found = fields
        for part in name.split("."):
            if isinstance(found, list):
                found = found[int(part)] if int(part) < len(found) else ""
            else:
                found = found.get(part, "")
        return found

    def section(match):
        items = value(match.group(1))
        parts = []
        for i, item in enumerate(items):
            text = match.group(2).replace("{{.}}", str(item))
            parts.append(text.replace("{{,}}", "," if i + 1 < len(items) else ""))
        return "".join(parts)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda m: str(value(m.group(1))), text)


class Record:
    """The file record.txt beside the case, one line for each thing sent, answered or run."""

    def __init__(self, folder):
        self.lock = threading.Lock()
        self.start = time.monotonic()
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")

    def __call__(self, kind, **fields):
        self.at(time.monotonic(), kind, **fields)

    def at(self, moment, kind, **fields):
        words = " ".join(f"{k}={json.dumps(v)}" for k, v in fields.items())
        with self.lock:
            self.file.write(f"{moment - self.start:8.3f} {kind} {words}\n")
            self.file.flush()


class ReviewMinion(Minion):
    """The project's stand-in, with the fifth entry of each row of `running`. It records the orders for runs."""

    def __init__(self, record, *args, **kwargs):
        self.note = record
        self.labels = kwargs.pop("labels", ["a", "r1-1"])
        super().__init__(*args, **kwargs)

    def heartbeat(self):
        return {**super().heartbeat(), "labels": list(self.labels)}

    def start(self, request):
        before = len(self.runs)
        response = super().start(request)
        answer = "none" if response is None else [response[0], response[1].get("reason", "")]
        self.note("run-start", minion=self.id, born=self.born, task=request.fields["task"],
                  attempt=request.fields["attempt"], answer=answer, began=len(self.runs) > before)
        return response

    def end(self, task, outcome):
        attempt = self.running[task]["attempt"]
        super().end(task, outcome)
        self.note("run-end", minion=self.id, task=task, attempt=attempt, outcome=outcome)

    def poll(self, fields):
        response = super().poll(fields)
        if response is not None:
            for row in response[1]["running"]:
                row.append(1000)
        return response


class Fleet:
    """Entries, agents, minions and the store. Each machine has a loopback address; ports are the same on all."""

    def __init__(self, record, entries=3, sides=4, minion_type=ReviewMinion, route=None):
        self.record = record
        self.processes = {}
        self.minions = []
        self.directory = tempfile.TemporaryDirectory(prefix="bamboowing-review-")
        self.path = pathlib.Path(self.directory.name)
        self.deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.minion_type = minion_type
        self.entry_ips = [f"127.0.0.{10 + i}" for i in range(entries)]
        self.side_ips = [f"127.0.0.{50 + i}" for i in range(sides)]
        ports = free_ports(4, self.entry_ips + self.side_ips)
        self.frontend, self.readiness, self.control, self.internal = ports
        self.store = Store()
        self.store.put_configuration({
            "version": 1, "limits": {}, "backends": [{"name": SERVICE, "enforce_capacity": True}],
            "routes": [{"name": "checks", "host": HOST, "prefix": PREFIX, "backend": SERVICE, "route_type": "unsafe",
                        "timeout_ms": 30000, "target_latency_ms": 60, "max_attempts": 3, "slack_factor": 1.6,
                        "priority": 0, **(route or {})}]})

    def begin(self):
        for i, ip in enumerate(self.entry_ips):
            self.launch("entry", f"frontend-{i + 1}", ip)
        for i, ip in enumerate(self.side_ips):
            self.launch("agent", f"side-{i + 1}", ip)
            self.minions.append(self.new_minion(i))
        for i, ip in enumerate(self.entry_ips):
            wait_until(lambda ip=ip: self.ready(ip), f"readiness of {ip}")
            wait_until(lambda i=i: self.targets_seen(f"frontend-{i + 1}") == len(self.side_ips), "all minions known")

    def new_minion(self, index):
        ip = self.side_ips[index]
        return self.minion_type(self.record, f"minion-{index + 1}", SERVICE, f"{ip}:{self.control}", host=ip,
                                heartbeat_interval_s=1.5)

    def targets_seen(self, name):
        if self.processes[name].poll() is not None:
            raise CannotRun(f"{name} ended: {self.output(name, 'err')[-500:]}")
        lines = [json.loads(line) for line in self.output(name).splitlines() if line.startswith("{")]
        return len({line["detail"].split(",")[0] for line in lines
                    if line.get("event") in ("target_in", "target_changed") and
                    not line["detail"].endswith("accepts no runs")})

    def launch(self, role, name, ip):
        """Starts the role as the deploy file says, with its template filled in from the fields of DEPLOY.md."""
        fields = {"node": name, "zone": "hobart", "ip": ip, "heartbeat_ms": 1500, "bounds": BOUNDS,
                  "seeds": [f"{seed}:{self.control}" for seed in self.entry_ips[:3]],
                  "internal_ports": [self.internal, self.internal + 15],
                  "platform": {"address": f"127.0.0.1:{self.store.port}"},
                  "listen_addrs": {"frontend": f"{ip}:{self.frontend}", "readiness": f"{ip}:{self.readiness}",
                                   "control": f"{ip}:{self.control}"}}
        definition = self.deploy["roles"][role]
        settings = self.path / f"{name}.yaml"
        settings.write_text(render((ROOT / definition["template"]).read_text(), fields))
        command = definition["run"].split()
        if not (ROOT / command[0]).exists():
            raise CannotRun(f"{command[0]} is missing: run the line `build` of deploy/system.toml first")
        environment = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        environment["BAMBOOWING_SETTINGS"] = str(settings)
        with open(self.path / f"{name}.out", "ab") as out, open(self.path / f"{name}.err", "ab") as err:
            self.processes[name] = subprocess.Popen([str(ROOT / command[0]), *command[1:]], cwd=ROOT, env=environment,
                                                    stdin=subprocess.DEVNULL, stdout=out, stderr=err)
        self.record("process-start", name=name, ip=ip)

    def output(self, name, kind="out"):
        return (self.path / f"{name}.{kind}").read_text(errors="replace")

    def ready(self, ip):
        try:
            connection = http.client.HTTPConnection(ip, self.readiness, timeout=1)
            connection.request("GET", "/readyz")
            status = connection.getresponse().status
            connection.close()
            return status == 200
        except OSError:
            return False

    def ended_by_themselves(self):
        return [name for name, process in self.processes.items() if process.poll() is not None]

    def stop(self):
        keep = os.environ.get("KEEP_LOGS")
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        for minion in self.minions:
            minion.close()
        self.store.close()
        if keep:
            pathlib.Path(keep).mkdir(parents=True, exist_ok=True)
            for file in self.path.iterdir():
                (pathlib.Path(keep) / file.name).write_bytes(file.read_bytes())
        self.directory.cleanup()


class Entrance:
    """The platform's address for clients. It forwards each connection to a node chosen by a hash of the client, and a
    client's connections after a broken one to the next node. It can reset connections of a client or of a node.
    """

    def __init__(self, fleet):
        self.fleet = fleet
        self.lock = threading.Lock()
        self.broken = {}  # client -> number of its connections that broke
        self.links = []  # of open connections
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=256)
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def node_of(self, client):
        turn = zlib.crc32(client.encode()) + self.broken.get(client, 0)
        return turn % len(self.fleet.entry_ips)

    def accept(self):
        while True:
            try:
                near, (client, _) = self.listener.accept()
            except OSError:
                return
            with self.lock:
                node = self.node_of(client)
            far = socket.create_connection((self.fleet.entry_ips[node], self.fleet.frontend))
            for one in (near, far):
                one.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            link = {"client": client, "node": node, "near": near, "far": far, "hold": threading.Event(), "reset": False}
            link["hold"].set()
            with self.lock:
                self.links.append(link)
            threading.Thread(target=self.pump, args=(link, near, far, True), daemon=True).start()
            threading.Thread(target=self.pump, args=(link, far, near, False), daemon=True).start()

    def pump(self, link, source, sink, upwards):
        try:
            while True:
                data = source.recv(65536)
                if upwards:
                    link["hold"].wait()
                if not data or link["reset"]:
                    break
                sink.sendall(data)
        except OSError:
            pass
        if not link["reset"]:
            for one in (source, sink):
                try:
                    one.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass

    @staticmethod
    def reset_socket(one):
        one.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        try:
            one.shutdown(socket.SHUT_RD)
        except OSError:
            pass
        one.close()

    def reset(self, link):
        """Resets a connection on both sides."""
        with self.lock:
            link["reset"] = True
            self.broken[link["client"]] = self.broken.get(link["client"], 0) + 1
            self.links = [one for one in self.links if one is not link]
        link["hold"].set()
        self.reset_socket(link["near"])
        self.reset_socket(link["far"])

    def links_of(self, client=None, node=None):
        with self.lock:
            return [link for link in self.links
                    if (client is None or link["client"] == client) and (node is None or link["node"] == node)]

    def close(self):
        self.listener.close()


class Client:
    """A client with a loopback address of its own."""

    def __init__(self, entrance, number, record):
        self.entrance = entrance
        self.ip = f"127.1.0.{number}"
        self.record = record

    def connect(self, timeout=30):
        connection = http.client.HTTPConnection("127.0.0.1", self.entrance.port, timeout=timeout,
                                                source_address=(self.ip, 0))
        connection.connect()
        return connection

    def send(self, connection, method, job_id, body=None, deadline_ms=20000):
        """Sends one request; returns its status and body, or (0, reason) if the connection broke."""
        self.record("request", client=self.ip, method=method, job=job_id)
        try:
            connection.request(method, PREFIX + job_id, None if body is None else json.dumps(body),
                               {"Host": HOST, "Deadline-Ms": str(deadline_ms), "Content-Type": "application/json"})
            response = connection.getresponse()
            status, answer = response.status, response.read().decode()
        except (OSError, http.client.HTTPException) as error:
            status, answer = 0, type(error).__name__
        self.record("answer", client=self.ip, method=method, job=job_id, status=status, body=answer)
        return status, answer


def run_case(folder, case):
    """Runs case(record) and returns its exit code; CannotRun, SIGTERM and unexpected errors give NOT_RUN."""
    def terminated(*_):
        raise CannotRun("terminated")

    signal.signal(signal.SIGTERM, terminated)
    record = Record(folder)
    record("case", trouble=TROUBLE)
    try:
        code = case(record)
    except CannotRun as error:
        record("cannot-run", reason=str(error))
        print(f"cannot run: {error}")
        code = NOT_RUN
    except Exception as error:  # a fault of the case, not of the project
        record("cannot-run", reason=f"{type(error).__name__}: {error}")
        print(f"cannot run: {type(error).__name__}: {error}")
        code = NOT_RUN
    record("result", result={HELD: "held", BROKEN: "broken", NOT_RUN: "not run"}[code])
    return code
