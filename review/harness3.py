"""Small deployments of bamboowing_platform on loopback addresses, for the cases 11 to 15.

Each machine has a loopback address of its own, and the ports are the same on all machines. Processes are started with the
commands, templates and variables of deploy/system.toml. The platform's store and the minions are stand-ins in this process.
"""

import http.client
import json
import os
import pathlib
import re
import resource
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parents[1]
sys.path.insert(0, str(ROOT / "standins"))

from platform_standin import Minion, Store  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
HOST = "jobs.example"
QUEUE = "/checks/"
SERVICE = "linesight"
START_LIMIT_S = 25.0
# The bounds and figures of the sites dlc-bamboowing and dlc-bamboowing-grown that the settings templates use, and those
# that the cases judge by.
BOUNDS = {"contact_ms": 3000, "grace_s": 6, "max_hold_ms": 1000, "cancel_ms": 3000, "config_apply_ms": 2000,
          "recovery_s": 12, "retransmit_ms": 1300, "stop_timeout_ms": 50}
HEARTBEAT_MS = 1500
MEMORY_MB = {"entry": 260, "agent": 128}  # of the machines of dlc-bamboowing
RESTART_S = 0.5  # until the platform starts a process again that has ended


class CannotRun(Exception):
    """The case could not be played."""


def free_ports(count):
    """Ports that are free now."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for one in sockets:
            one.bind(("127.0.0.1", 0))
        return [one.getsockname()[1] for one in sockets]
    finally:
        for one in sockets:
            one.close()


def wait_until(condition, what, limit_s=START_LIMIT_S):
    end = time.monotonic() + limit_s
    while not condition():
        if time.monotonic() > end:
            raise CannotRun(f"{what} took longer than {limit_s} s")
        time.sleep(0.02)


def lookup(fields, name):
    value = fields
    for part in name.split("."):
        if isinstance(value, list) and part.isdigit() and int(part) < len(value):
            value = value[int(part)]
        elif isinstance(value, dict) and part in value:
            value = value[part]
        else:
            return None
    return value


def as_text(value):
    if value is None:
        return ""
    if isinstance(value, bool):
        return str(value).lower()
    return ",".join(map(str, value)) if isinstance(value, list) else str(value)


def render(template, fields):
    """Fills in the part of the platform's template language that the templates of deploy/ use."""
    def section(match):
        items = lookup(fields, match.group(1)) or []
        return "".join(match.group(2).replace("{{.}}", as_text(item)).replace("{{,}}", "," if i + 1 < len(items) else "")
                       for i, item in enumerate(items))

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda match: as_text(lookup(fields, match.group(1))), text)


def role_of(name):
    """The command, the template and the variables of a role of the deploy file."""
    text = (ROOT / "deploy/system.toml").read_text()
    part = re.search(rf"\[roles\.{name}\]\n(.*?)(?=\n\[|\Z)", text, re.S).group(1)
    env = re.search(r"^env = \{(.*)\}$", part, re.M)
    variables = dict(re.findall(r'(\w+) = "([^"]*)"', env.group(1))) if env else {}
    return (re.search(r'^run = "([^"]*)"', part, re.M).group(1).split(),
            re.search(r'^template = "([^"]*)"', part, re.M).group(1), variables)


def configuration(version, prefix=QUEUE, attempts=3):
    return {"version": version,
            "routes": [{"name": "checks", "host": HOST, "prefix": prefix, "route_type": "unsafe", "timeout_ms": 3000,
                        "target_latency_ms": 60, "backend": SERVICE, "max_attempts": attempts, "slack_factor": 1.6}],
            "backends": [{"name": SERVICE, "enforce_capacity": True}], "limits": {}}


def job(count=2, work_ms=60, cpu=1000, mem_mb=64, words="", **step):
    """A best-effort job of one step; the stand-in minions read the work and the needs from the spec."""
    shape = {"count": count, "estimate_ms": work_ms, **({"cpu": cpu} if cpu else {}), **({"mem_mb": mem_mb} if mem_mb else {}),
             **step}
    return {"spec": f"work_ms={work_ms} cpu={cpu} mem_mb={mem_mb} {words}".strip(), "best_effort": True, "steps": [shape]}


class Record:
    """record.txt: what was sent, answered and run, with the seconds since the start of the case."""

    def __init__(self, folder):
        self.started = time.monotonic()
        self.lock = threading.Lock()
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")
        self.add(f"trouble {'on' if TROUBLE else 'off'}")

    def at(self, moment):
        return f"{moment - self.started:8.3f}"

    def add(self, text, moment=None):
        with self.lock:
            self.file.write(f"{self.at(moment if moment is not None else time.monotonic())} {text}\n")
            self.file.flush()


class Deployment:
    """Entries, agents, minions and the store. A context manager that ends all processes that it started."""

    def __init__(self, record, entries=4, agents=4, minion_type=Minion, cores=8, entry_fds=None, proxies=None):
        self.record = record
        self.directory = tempfile.TemporaryDirectory(prefix="bamboowing-review-")
        self.path = pathlib.Path(self.directory.name)
        self.processes = {}
        self.minions = {}
        self.kv = Store()
        self.kv.put_configuration(configuration(1))
        self.callers, self.readiness, self.control, self.peers = free_ports(4)
        self.minion_type = minion_type
        self.cores = cores
        self.entry_fds = entry_fds
        self.ips = {f"entry-{i + 1}": f"127.1.1.{i + 1}" for i in range(entries)}
        self.ips.update({f"agent-{i + 1}": f"127.1.2.{i + 1}" for i in range(agents)})

    def __enter__(self):
        try:
            for name in self.ips:
                self.start(name)
            for name in self.agents():
                self.add_minion(name)
            for name in self.entries():
                wait_until(lambda name=name: self.usable_targets(name) >= len(self.agents()), f"all targets at {name}")
                wait_until(lambda name=name: self.ready(name), f"readiness of {name}")
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *unused):
        self.stop()

    def entries(self):
        return [name for name in self.ips if name.startswith("entry")]

    def agents(self):
        return [name for name in self.ips if name.startswith("agent")]

    def add_minion(self, agent):
        minion = self.minion_type(f"minion-{agent}", SERVICE, f"{self.ips[agent]}:{self.control}", cores=self.cores,
                                  heartbeat_interval_s=HEARTBEAT_MS / 1000, host=self.ips[agent])
        self.minions[agent] = minion

    def fields(self, name):
        ip = self.ips[name]
        return {"node": name, "ip": ip, "zone": "zone-1", "region": "region-1", "internal_ports": [self.peers, self.peers],
                "seeds": [f"{self.ips[entry]}:{self.control}" for entry in self.entries()[:3]], "heartbeat_ms": HEARTBEAT_MS,
                "listen_addrs": {"frontend": f"{ip}:{self.callers}", "readiness": f"{ip}:{self.readiness}",
                                 "control": f"{ip}:{self.control}"},
                "bounds": BOUNDS, "platform": {"address": f"127.0.0.1:{self.kv.port}"}}

    def start(self, name):
        role = "entry" if name.startswith("entry") else "agent"
        command, template, variables = role_of(role)
        fields = self.fields(name)
        settings = self.path / f"{name}.yaml"
        settings.write_text(render((ROOT / template).read_text(), fields))
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment.update({key: render(value, fields) for key, value in variables.items()}, BAMBOOWING_SETTINGS=str(settings))
        descriptors = self.entry_fds if role == "entry" else None

        def limit():
            if descriptors:
                resource.setrlimit(resource.RLIMIT_NOFILE, (descriptors, descriptors))

        with open(self.path / f"{name}.out", "ab") as out:
            self.processes[name] = subprocess.Popen([str(ROOT / command[0]), *command[1:]], cwd=ROOT, stdout=out, stderr=out,
                                                    stdin=subprocess.DEVNULL, env=environment, preexec_fn=limit)
        self.record.add(f"started {name}, process {self.processes[name].pid}")

    def signal(self, name, number):
        self.record.add(f"{signal.Signals(number).name} to {name}")
        self.processes[name].send_signal(number)

    def alive(self, name):
        return self.processes[name].poll() is None

    def log(self, name):
        return (self.path / f"{name}.out").read_text(errors="replace")

    def usable_targets(self, name):
        """Number of agents whose targets the entry has logged as usable."""
        found = set()
        for line in self.log(name).splitlines():
            match = re.search(r'"detail"\s*:\s*"agent (\S+), cpu (\d+)"', line)
            if match and int(match.group(2)) > 0:
                found.add(match.group(1))
        return len(found)

    def ready(self, name):
        return self.request(name, "GET", "/readyz", port=self.readiness, timeout=2)[0] == 200

    def request(self, name, method, path, body=None, port=None, timeout=8, deadline_ms=3000):
        """Returns (status, parsed body); status 0 if there was no answer."""
        connection = http.client.HTTPConnection(self.ips[name], port or self.callers, timeout=timeout)
        try:
            data = None if body is None else json.dumps(body)
            connection.request(method, path, data, {"Host": HOST, "Deadline-Ms": str(deadline_ms),
                                                    "Content-Type": "application/json"})
            response = connection.getresponse()
            text = response.read().decode()
            try:
                return response.status, json.loads(text)
            except ValueError:
                return response.status, text
        except (OSError, http.client.HTTPException) as error:
            return 0, str(error)
        finally:
            connection.close()

    def ask(self, name, method, path, body=None, **options):
        """As request(), and writes both to the record."""
        shown = "" if body is None else f" spec {str(body.get('spec', ''))[:40]!r} steps {body.get('steps')}"[:200]
        self.record.add(f"to {name}: {method} {path}{shown}")
        status, answer = self.request(name, method, path, body, **options)
        self.record.add(f"from {name}: {method} {path} -> {status} {answer}")
        return status, answer

    def runs_of(self, job_id):
        """[task, attempt, start, end, outcome, arrival of the request] of the runs of a job, in the order of their starts."""
        return sorted((run for minion in self.minions.values() for run in list(minion.runs) if run[0].startswith(job_id)),
                      key=lambda run: run[2])

    def stop(self):
        for name, process in self.processes.items():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        for minion in self.minions.values():
            minion.close()
        self.kv.close()
        if os.environ.get("KEEP_LOGS"):
            subprocess.run(["cp", "-r", str(self.path), os.environ["KEEP_LOGS"]], check=False)
        self.directory.cleanup()


def memory_of(process, name="VmHWM"):
    """A size of /proc/PID/status in bytes; 0 if the process has ended."""
    try:
        for line in pathlib.Path(f"/proc/{process.pid}/status").read_text().splitlines():
            if line.startswith(name + ":"):
                return int(line.split()[1]) << 10
    except OSError:
        pass
    return 0


class Platform:
    """Kills a process that exceeds the memory of its machine, and starts it again after a short delay."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.ends = {name: 0 for name in deployment.processes}
        self.peaks = {name: 0 for name in deployment.processes}
        self.back_at = {}
        self.stopping = False
        self.thread = threading.Thread(target=self.watch)
        self.thread.start()

    def watch(self):
        while not self.stopping:
            for name in list(self.deployment.processes):
                self.check(name)
            time.sleep(0.005)

    def check(self, name):
        process = self.deployment.processes[name]
        if name in self.back_at:
            if time.monotonic() >= self.back_at[name]:
                del self.back_at[name]
                self.deployment.start(name)
            return
        used = memory_of(process, "VmRSS")
        self.peaks[name] = max(self.peaks[name], used >> 20)
        limit = MEMORY_MB[name.split("-")[0]] << 20
        if used > limit or process.poll() is not None:
            self.ends[name] += 1
            self.deployment.record.add(f"{name} has {used >> 20} MB in memory, limit {limit >> 20} MB: ended by the platform"
                                       if process.poll() is None else f"{name} ended with {process.returncode}")
            process.kill()
            process.wait()
            self.back_at[name] = time.monotonic() + RESTART_S

    def stop(self):
        self.stopping = True
        self.thread.join()

    def judge(self):
        """The rule Fault: on a tenth of the machines in use, two at least, processes have ended three times."""
        ended = {name: count for name, count in self.ends.items() if count}
        self.deployment.record.add(f"most memory, in MB: {self.peaks}")
        self.deployment.record.add(f"ends of processes: {ended}")
        often = sorted(name for name, count in ended.items() if count >= 3)
        if len(often) >= max(2, len(self.ends) / 10):
            return BROKEN, f"processes ended three times or more at {', '.join(often)}"
        return HELD, f"ends of processes: {ended}"


def play(folder, case):
    """Runs case(record) and exits with its result, or with 2 if it could not be played."""
    record = Record(folder)
    try:
        result, reason = case(record)
    except CannotRun as error:
        result, reason = NOT_RUN, str(error)
    except Exception as error:  # the case itself has failed
        result, reason = NOT_RUN, f"{type(error).__name__}: {error}"
    word = {HELD: "held", BROKEN: "broken", NOT_RUN: "could not run"}[result]
    record.add(f"result: {word}: {reason}")
    print(f"{word}: {reason}")
    sys.stdout.flush()
    os._exit(result)
