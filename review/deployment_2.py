"""A small deployment for the cases 6 to 10: the project's programs as the deploy file starts them, and stand-ins.

Each machine has a loopback address of its own and all machines use the same ports, as on the platform. The store and the
minions are the project's stand-ins; minions.MinionWithLabels adds the labels of a machine's kind.
"""

import http.client
import json
import os
import pathlib
import re
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[1]
sys.path.insert(0, str(ROOT / "standins"))

from platform_standin import Minion, Store  # noqa: E402

HELD, BROKEN, NO_RUN = 0, 1, 2  # exit codes of a case
HOST = "jobs.example"
SERVICE = "benchdesk"
QUEUE = "/checks/"
HEARTBEAT_MS = 1500
BOUNDS = {"max_hold_ms": 1000, "grace_s": 6}
ZONES = ["galveston", "corpus", "portarthur"]
START_LIMIT_S = 30.0
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case could not be carried out, so that it says nothing about the rule."""


# The machines of a deployment, also those that a case adds.
ADDRESSES = [f"127.0.0.{i}" for i in [1, *range(11, 30), *range(111, 120)]]


def free_ports(count):
    """Ports that are free on all addresses of a deployment."""
    sockets, ports = [], []
    try:
        while len(ports) < count:
            first = socket.socket()
            sockets.append(first)
            first.bind((ADDRESSES[0], 0))
            port = first.getsockname()[1]
            try:
                for address in ADDRESSES[1:]:
                    sockets.append(socket.socket())
                    sockets[-1].bind((address, port))
            except OSError:
                continue  # taken on another address
            ports.append(port)
        return ports
    finally:
        for one in sockets:
            one.close()


def wait_until(condition, what, limit_s=START_LIMIT_S):
    end = time.monotonic() + limit_s
    while not condition():
        if time.monotonic() > end:
            raise CannotRun(f"{what}: not within {limit_s} s")
        time.sleep(0.005)


def lookup(fields, name):
    for part in name.split("."):
        fields = fields[int(part)] if isinstance(fields, list) else fields[part]
    return fields


def fill_in(template, fields):
    """Fills in those placeholders of DEPLOY.md that the templates of this project use."""
    def section(match):
        entries = lookup(fields, match[1])
        texts = []
        for i, entry in enumerate(entries):
            text = match[2].replace("{{.}}", str(entry))
            texts.append(text.replace("{{,}}", "," if i + 1 < len(entries) else ""))
        return "".join(texts)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda match: str(lookup(fields, match[1])), text)


class Record:
    """What was sent, answered and run, with seconds since the start of the case."""

    def __init__(self, folder):
        self.started = time.monotonic()
        self.lock = threading.Lock()
        self.file = open(pathlib.Path(folder) / "record.txt", "w")

    def write(self, text, at=None):
        seconds = (at or time.monotonic()) - self.started
        with self.lock:
            self.file.write(f"{seconds:8.3f} {text}\n")
            self.file.flush()


class MinionWithLabels(Minion):
    """A minion whose machine is of a kind. Notes, for each run, the labels that it had when the run started."""

    def __init__(self, *arguments, labels=("a", "r1-1"), **options):
        self.labels = list(labels)
        self.labels_of_runs = []  # [record of the run, labels]
        super().__init__(*arguments, heartbeat_interval_s=HEARTBEAT_MS / 1000, **options)

    def heartbeat(self):
        return {**super().heartbeat(), "labels": list(self.labels), "zone": ZONES[0]}

    def start(self, request):
        runs = len(self.runs)
        response = super().start(request)
        self.labels_of_runs += [[record, list(self.labels)] for record in self.runs[runs:]]
        return response


class Answer:
    """The answer to a request: its status, or None if the connection ended without one."""

    def __init__(self):
        self.status = None
        self.body = ""
        self.at = None
        self.done = threading.Event()


class Deployment:
    """Entries on machines of the class `frontend` and agents with their minions on machines of the class `side`."""

    def __init__(self, record, entries=3, sides=4, cores=8, enforce_capacity=True, minion_type=MinionWithLabels):
        self.record = record
        self.enforce_capacity = enforce_capacity
        self.minion_type = minion_type
        self.cores = cores
        self.folder = tempfile.TemporaryDirectory(prefix="bamboowing-review-")
        self.processes = {}
        self.logs = {}
        self.minions = {}
        self.deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.callers, self.readiness, self.control, self.internal = free_ports(4)
        self.fronts = {f"frontend-{i + 1}": f"127.0.0.{i + 11}" for i in range(entries)}
        self.sides = {f"side-{i + 1}": f"127.0.0.{i + 111}" for i in range(sides)}
        self.store = Store()
        try:
            self.configure(1)
            for node in self.fronts:
                self.start(node)
            for node in self.sides:
                self.start(node)
                self.start_minion(node)
            for node in self.fronts:
                wait_until(lambda node=node: self.is_ready(node), f"readiness of {node}")
                wait_until(lambda node=node: self.targets_at(node) >= sides, f"all minions at {node}")
            time.sleep(1.0)
        except BaseException:
            self.stop()
            raise

    def configure(self, version, routes=(("checks", QUEUE),)):
        """The operator writes a configuration."""
        self.store.put_configuration({
            "version": version,
            "routes": [{"name": name, "host": HOST, "prefix": prefix, "route_type": "unsafe", "timeout_ms": 30000,
                        "target_latency_ms": 60, "backend": SERVICE, "max_attempts": 3, "slack_factor": 1.6,
                        "priority": 0} for name, prefix in routes],
            "backends": [{"name": SERVICE, "enforce_capacity": self.enforce_capacity}], "limits": {}})
        self.record.write(f"operator: version {version} acknowledged, prefixes {[prefix for _, prefix in routes]}")

    def fields_of(self, node):
        """The fields of the settings of a process (DEPLOY.md) that the templates use."""
        front = node in self.fronts
        ip = self.fronts[node] if front else self.sides[node]
        return {"node": node, "zone": ZONES[int(node.rsplit("-", 1)[1]) % len(ZONES)], "ip": ip,
                "internal_ports": [self.internal, self.internal + 15],
                "seeds": [f"{address}:{self.control}" for address in list(self.fronts.values())[:3]],
                "heartbeat_ms": HEARTBEAT_MS, "bounds": BOUNDS,
                "listen_addrs": {"frontend": f"{ip}:{self.callers}", "readiness": f"{ip}:{self.readiness}",
                                 "control": f"{ip}:{self.control}"},
                "platform": {"address": f"127.0.0.1:{self.store.port}"}}

    def start(self, node):
        """Starts the role of a machine with the command of the deploy file."""
        role = self.deploy["roles"]["entry" if node in self.fronts else "agent"]
        settings = pathlib.Path(self.folder.name) / f"{node}.boot"
        settings.write_text(fill_in((ROOT / role["template"]).read_text(), self.fields_of(node)))
        program, *arguments = role["run"].split()
        if not (ROOT / program).exists():
            raise CannotRun(f"{program} is not built")
        log = self.logs.setdefault(node, pathlib.Path(self.folder.name) / f"{node}.log")
        with open(log, "ab") as output:
            self.processes[node] = subprocess.Popen(
                [str(ROOT / program), *arguments], cwd=ROOT, stdin=subprocess.DEVNULL, stdout=output,
                stderr=subprocess.STDOUT, env={"PATH": os.environ.get("PATH", ""), "BAMBOOWING_SETTINGS": str(settings)})
        self.record.write(f"platform: started {node}")

    def start_minion(self, node, **options):
        self.minions[node] = self.minion_type(f"minion-{node}", SERVICE, f"{self.sides[node]}:{self.control}",
                                              cores=self.cores, host=self.sides[node], **options)
        if not self.enforce_capacity:
            self.minions[node].guards_capacity = False

    def signal(self, node, number):
        self.record.write(f"platform: {signal.Signals(number).name} to {node}")
        self.processes[node].send_signal(number)

    def is_ready(self, node):
        if self.processes[node].poll() is not None:
            raise CannotRun(f"{node} ended with {self.processes[node].returncode}")
        connection = http.client.HTTPConnection(self.fronts[node], self.readiness, timeout=1)
        try:
            connection.request("GET", "/readyz")
            return connection.getresponse().status == 200
        except OSError:
            return False
        finally:
            connection.close()

    def targets_at(self, node):
        """Number of agents whose minion the entry has logged as usable. Used only before a case begins."""
        usable = set()
        for line in self.logs[node].read_text(errors="replace").splitlines():
            try:
                event = json.loads(line)
            except ValueError:
                continue
            detail = event.get("detail", "")
            if event.get("event") in ("target_in", "target_changed") and "accepts no runs" not in detail:
                usable.add(detail.split(",")[0])
        return len(usable)

    def connect(self, node, timeout_s=60):
        """A client's connection to an entry."""
        connection = http.client.HTTPConnection(self.fronts[node], self.callers, timeout=timeout_s)
        connection.connect()
        return connection

    def send(self, node, method, path, body=None, deadline_ms=30000, connection=None, who="client"):
        """Sends a request in the background; returns its Answer and the connection."""
        connection = connection or self.connect(node)
        answer = Answer()
        text = None if body is None else json.dumps(body)
        headers = {"Host": HOST, "Deadline-Ms": str(deadline_ms), "Content-Type": "application/json"}
        self.record.write(f"{who}: {method} {path} to {node}")
        connection.request(method, path, text, headers)

        def read():
            try:
                response = connection.getresponse()
                answer.body = response.read().decode()
                answer.status = response.status
            except (OSError, http.client.HTTPException) as error:
                answer.body = repr(error)
            answer.at = time.monotonic()
            self.record.write(f"{who}: {method} {path} at {node} answered {answer.status} {answer.body}")
            answer.done.set()

        threading.Thread(target=read, daemon=True).start()
        return answer, connection

    def call(self, node, method, path, body=None, limit_s=10, **options):
        answer, connection = self.send(node, method, path, body, **options)
        answer.done.wait(limit_s)
        connection.close()
        return answer

    def runs_of(self, job_id):
        """(start, end, task, attempt, outcome, minion) of each run of a job, by start."""
        found = []
        for node, minion in list(self.minions.items()):
            for task, attempt, started, ended, outcome, *_ in list(minion.runs):
                if task.startswith(job_id + "."):
                    found.append((started, ended, task, attempt, outcome, node))
        return sorted(found)

    def record_runs(self, job_id):
        for started, ended, task, attempt, outcome, node in self.runs_of(job_id):
            self.record.write(f"minion of {node}: {task} attempt {attempt} started", started)
            if ended is not None:
                self.record.write(f"minion of {node}: {task} attempt {attempt} ended {outcome}", ended)

    def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        for minion in self.minions.values():
            minion.close()
        self.store.close()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            pathlib.Path(keep).mkdir(parents=True, exist_ok=True)
            for node, log in self.logs.items():
                (pathlib.Path(keep) / f"{node}.log").write_bytes(log.read_bytes())
        self.folder.cleanup()


def chain(steps, count=2, work_ms=1000):
    """A job of steps that follow each other. Its callers wait for the answer."""
    return {"spec": f"work_ms={work_ms}", "best_effort": True,
            "steps": [{"count": count, "cpu": 1000, "mem_mb": 64, "estimate_ms": work_ms,
                       **({"after": [i - 1]} if i else {})} for i in range(steps)]}


def run_case(folder, case, **options):
    """Runs case(deployment, record), which returns the broken rule's description, or "" if the rule held."""
    record = Record(folder)
    record.write(f"TROUBLE={1 if TROUBLE else 0}")
    deployment = None
    try:
        deployment = Deployment(record, **options)
        broken = case(deployment, record)
        code = BROKEN if broken else HELD
        record.write(f"result: rule broken: {broken}" if broken else "result: the rule held")
    except (CannotRun, OSError, TimeoutError) as error:
        record.write(f"result: the case could not run: {error!r}")
        code = NO_RUN
    finally:
        if deployment is not None:
            deployment.stop()
    return code
