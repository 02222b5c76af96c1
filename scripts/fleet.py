"""Starts a small fleet on 127.0.0.1: the key-value stand-in, entries, and agents with stand-in minions.

Used by scripts/quickstart, scripts/capacity-measure and the end-to-end tests. A fleet kills all processes that it has
started when it stops.
"""

import json
import os
import pathlib
import signal
import socket
import subprocess
import tempfile
import time
import urllib.error
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent
BUILD = ROOT / os.environ.get("BUILD_DIR", "build")
READY_LIMIT_S = 30.0
POLL_S = 0.02


def free_ports(count):
    """Returns ports that are free on all loopback addresses at the time of the call."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for one in sockets:
            one.bind(("", 0))
        return [one.getsockname()[1] for one in sockets]
    finally:
        for one in sockets:
            one.close()


def http(method, url, body=None, timeout=60.0, headers=None):
    """Returns (status, parsed JSON or text); status 0 if there was no answer."""
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(url, data=data, method=method, headers=headers or {})
    try:
        with urllib.request.urlopen(request, timeout=timeout) as answer:
            status, raw = answer.status, answer.read()
    except urllib.error.HTTPError as error:
        status, raw = error.code, error.read()
    except (urllib.error.URLError, OSError) as error:
        return 0, str(error)
    text = raw.decode()
    try:
        return status, json.loads(text)
    except ValueError:
        return status, text


def wait_until(condition, what, limit_s=READY_LIMIT_S):
    """Waits until condition() is true; raises TimeoutError with `what` after limit_s seconds."""
    end = time.monotonic() + limit_s
    while not condition():
        if time.monotonic() > end:
            raise TimeoutError(f"{what} took longer than {limit_s} s")
        time.sleep(POLL_S)


class Fleet:
    """A fleet of processes and their files; a context manager that stops the fleet on exit."""

    output_mode = "wb"  # "ab": the output of a restarted process follows that of the previous one

    def __init__(self, service="line-defects", domains=("hobart", "launceston", "burnie", "queenstown"), name="fleet", events=True):
        self.service = service
        self.domains = domains
        self.directory = tempfile.TemporaryDirectory(prefix=f"bamboowing-{name}-")
        self.path = pathlib.Path(self.directory.name)
        self.processes = {}
        self.entries = {}
        self.minions = {}
        self.agents = {}
        self.kv_port = 0
        self.events = events

    def __enter__(self):
        return self

    def __exit__(self, *unused):
        self.stop()

    def start(self, name, command):
        """Starts a process with its output in files NAME.out and NAME.err of the fleet's directory."""
        with open(self.path / f"{name}.out", self.output_mode) as out, open(self.path / f"{name}.err", self.output_mode) as err:
            self.processes[name] = subprocess.Popen(command, stdout=out, stderr=err, stdin=subprocess.DEVNULL,
                                                    env={**os.environ, **self.environment(name)})
        return self.processes[name]

    def environment(self, _name):
        """Returns the variables that a process gets beside those of this one."""
        return {}

    def output(self, name, kind="out"):
        return (self.path / f"{name}.{kind}").read_text(errors="replace")

    def start_store(self, *options):
        self.kv_port = free_ports(1)[0]
        self.start("store", [BUILD / "standins/standin_kv", "--port", str(self.kv_port), *options])
        wait_until(lambda: "ready" in self.output("store"), "start of the store")

    def write_settings(self, name, text):
        path = self.path / f"{name}.yaml"
        path.write_text(text)
        return path

    def start_entry(self, name, domain=None, wait=True):
        """Starts an entry; returns the URL for its callers."""
        if name in self.entries:
            callers, operators, peers = self.entries[name]
        else:
            callers, operators, peers = free_ports(3)
        token = self.path / "operators.token"
        token.write_text("fleet-token\n")
        settings = self.write_settings(
            name,
            f"role: entry\nid: {name}\nfailure_domain: {domain or self.domains[0]}\n"
            f"{self.events_line(name)}"
            f"entry:\n  callers_address: 127.0.0.1:{callers}\n  operators_address: 127.0.0.1:{operators}\n"
            f"  operators_token_file: {token}\n"
            f"  peers_address: 127.0.0.1:{peers}\n  store_address: 127.0.0.1:{self.kv_port}\n")
        self.start(name, [BUILD / "tools/bamboowingd", "--config", settings])
        self.entries[name] = (callers, operators, peers)
        if wait:
            wait_until(lambda: self.is_ready(name), f"start of {name}")
        return f"http://127.0.0.1:{callers}"

    def events_line(self, name):
        return f"events_file: {self.path / (name + '.events')}\n" if self.events else ""

    def is_ready(self, name):
        self.check_alive(name)
        return http("GET", f"{self.entry_url(name)}/readyz", timeout=2)[0] == 200

    def check_alive(self, name):
        code = self.processes[name].poll()
        if code is not None:
            raise RuntimeError(f"{name} ended with {code}: {self.output(name, 'err')[-2000:]}")

    def entry_url(self, name):
        return f"http://127.0.0.1:{self.entries[name][0]}"

    def operator_url(self, name):
        return f"http://127.0.0.1:{self.entries[name][1]}"

    def start_agent(self, name, domain=None, speed=1.0, slots=8, minion_options=()):
        """Starts an agent and its stand-in minion."""
        minion_port, announce = free_ports(2)
        peers = "\n".join(f"    - 127.0.0.1:{ports[2]}" for ports in self.entries.values())
        settings = self.write_settings(
            name,
            f"role: agent\nid: {name}\nfailure_domain: {domain or self.domains[0]}\n"
            f"{self.events_line(name)}"
            f"agent:\n  entries:\n{peers}\n  target_address: 127.0.0.1:{minion_port}\n"
            f"  announce_address: 127.0.0.1:{announce}\n")
        self.start(name, [BUILD / "tools/bamboowingd", "--config", settings])
        self.agents[name] = announce
        wait_until(lambda: http("GET", f"http://127.0.0.1:{announce}/healthz", timeout=2)[0] == 200, f"start of {name}")
        minion = f"minion-{name}"
        self.start(minion, [BUILD / "standins/standin_minion", "--port", str(minion_port), "--slots", str(slots),
                            "--speed", str(speed), "--service", self.service, "--announce", f"127.0.0.1:{announce}",
                            *minion_options])
        self.minions[name] = minion_port
        wait_until(lambda: "ready" in self.output(minion), f"start of {minion}")

    def signal(self, name, number):
        self.processes[name].send_signal(number)

    def kill(self, name):
        self.processes[name].kill()
        self.processes[name].wait()

    def terminate(self, name, limit_s=60.0):
        """Sends SIGTERM and returns the exit code."""
        self.processes[name].terminate()
        return self.processes[name].wait(timeout=limit_s)

    def minion_stats(self, name):
        return http("GET", f"http://127.0.0.1:{self.minions[name]}/stats")[1]

    def stop(self):
        self.end_processes()
        self.directory.cleanup()

    def end_processes(self):
        running = [p for p in self.processes.values() if p.poll() is None]
        for process in running:
            process.send_signal(signal.SIGCONT)
            process.kill()
        for process in running:
            process.wait()
