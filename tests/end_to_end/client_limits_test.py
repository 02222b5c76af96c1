"""Tests that clients which nobody controls can't exhaust the memory or the descriptors of a daemon.

Each client sends a bounded number of bytes. The tests check that the process is alive, that its resident memory and its
open descriptors stay under a bound, and that an ordinary request is answered afterwards; they check no times.
"""

import concurrent.futures
import itertools
import pathlib
import resource
import socket
import sys
import time
import unittest

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "scripts"))
sys.path.insert(0, str(ROOT / "standins"))

from end_to_end import save_logs_on_failure, skip_if_known_red  # noqa: E402
from fleet import Fleet, http as call, wait_until  # noqa: E402
from platform_test import HOST, QUEUE, PlatformFleet, job  # noqa: E402

MIB = 1 << 20
BLOCK = 64 << 10
CLIENTS = 8
SENT_BYTES = 16 * MIB  # by each client; together twice the memory bound
MEMORY_BOUND = 64 * MIB  # above the resident memory before
INCOMPLETE_BYTES = 150 * MIB  # by all connections with an incomplete body together
DESCRIPTOR_BOUND = 4100 - 200  # of the smallest machine of an entry, less those reserved for files
STALLED_SEND_S = 3.0  # a client gives up when the server has stopped reading for this time


def status_field(pid, name):
    """Returns a size of /proc/PID/status in bytes."""
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith(name + ":"):
            return int(line.split()[1]) << 10
    raise KeyError(name)


def descriptors(pid):
    return len(list(pathlib.Path(f"/proc/{pid}/fd").iterdir()))


def wait_settled(pid):
    """Waits until the process has read what its sockets hold, so that its resident memory no longer changes."""
    last = None
    while (now := status_field(pid, "VmRSS")) != last:
        last = now
        time.sleep(0.5)


def connect(address):
    host, port = address.rsplit(":", 1)
    return socket.create_connection((host, int(port)), timeout=STALLED_SEND_S)


def send_all(connection, data):
    """Returns whether the server has taken all bytes."""
    try:
        connection.sendall(data)
        return True
    except OSError:
        return False


def send_endlessly(address, start, more, total=SENT_BYTES):
    """Sends `start`, then `more` until `total` bytes are sent or the server refuses; returns the open connection."""
    connection = connect(address)
    block = more * (BLOCK // len(more))
    if send_all(connection, start):
        for _ in range(total // len(block)):
            if not send_all(connection, block):
                break
    return connection


class ClientLimits:
    """Tests of one address; the subclass names the process and the address."""

    process = ""  # that serves the address
    path = "/"
    method = "POST"
    body_bytes = 1000 << 10  # within the limit of the address

    def setUp(self):
        skip_if_known_red(self)
        limit = resource.getrlimit(resource.RLIMIT_NOFILE)
        resource.setrlimit(resource.RLIMIT_NOFILE, (min(limit[1], 16384), limit[1]))
        self.addCleanup(resource.setrlimit, resource.RLIMIT_NOFILE, limit)
        self.fleet = self.start_fleet()
        self.addCleanup(self.fleet.stop)
        self.addCleanup(save_logs_on_failure, self, self.fleet)
        self.pid = self.fleet.processes[self.process].pid
        self.memory_before = status_field(self.pid, "VmRSS")

    def start_fleet(self):
        return PlatformFleet(entries=1, agents=1)

    def is_answered(self):
        """Whether an ordinary request to the address is answered."""
        raise NotImplementedError

    def head(self, fields):
        return f"{self.method} {self.path} HTTP/1.1\r\nHost: {HOST}\r\nDeadline-Ms: 3000\r\n{fields}".encode()

    def flood(self, start, more):
        """Runs CLIENTS clients; checks the process while their connections are open and after they have closed."""
        with concurrent.futures.ThreadPoolExecutor(CLIENTS) as pool:
            connections = list(pool.map(lambda _: send_endlessly(self.address(), start, more), range(CLIENTS)))
        self.check(connections)

    def check(self, connections):
        try:
            self.fleet.check_alive(self.process)
            wait_settled(self.pid)
            grown = status_field(self.pid, "VmHWM") - self.memory_before
            self.assertLess(grown, MEMORY_BOUND, f"resident memory grew by {grown / MIB:.1f} MiB")
            self.assertLess(descriptors(self.pid), DESCRIPTOR_BOUND)
        finally:
            for connection in connections:
                connection.close()
        wait_until(self.is_answered, "an ordinary request after the flood")
        self.fleet.check_alive(self.process)
        self.assertLess(status_field(self.pid, "VmHWM") - self.memory_before, MEMORY_BOUND)

    def test_trailers_without_end(self):
        """Guards against a process that runs out of memory because it keeps all trailers of a chunked body."""
        self.flood(self.head("Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n"), b"X-Field: " + b"a" * 1000 + b"\r\n")

    def test_chunk_extension_without_end(self):
        """Guards against a process that keeps the extension of a chunk without a bound."""
        self.flood(self.head("Transfer-Encoding: chunked\r\n\r\n2;x="), b"a" * 1024)

    def test_header_lines_without_end(self):
        """Guards against a process that keeps header lines without a bound."""
        self.flood(self.head(""), b"X-Field: " + b"a" * 1000 + b"\r\n")

    def test_header_line_without_end(self):
        """Guards against a process that keeps a single header line without a bound."""
        self.flood(self.head("X-Field: "), b"a" * 1024)

    def test_responses_that_are_not_read(self):
        """Guards against a process that keeps responses, or requests behind them, for callers that don't read."""
        self.flood(b"", f"GET {self.path} HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: 0\r\n\r\n".encode())

    def test_many_incomplete_bodies(self):
        """Guards against a process that keeps the incomplete bodies of many connections without a common bound."""
        start = self.head(f"Content-Type: application/json\r\nContent-Length: {self.body_bytes}\r\n\r\n")
        body = b"x" * (self.body_bytes - 1)
        count = INCOMPLETE_BYTES // self.body_bytes
        with concurrent.futures.ThreadPoolExecutor(CLIENTS) as pool:
            connections = list(pool.map(lambda _: self.send_incomplete(start, body), range(count)))
        self.check(connections)

    def send_incomplete(self, start, body):
        connection = connect(self.address())
        if send_all(connection, start):
            send_all(connection, body)
        return connection


class EntryCallers(ClientLimits, unittest.TestCase):
    """The callers' address of an entry of bamboowing_platform."""

    process = "entry-1"
    path = QUEUE + "00000000000000d1"
    body_bytes = 250 << 10
    job_ids = itertools.count(1)

    def address(self):
        return "{0}:{1}".format(*self.fleet.addresses["entry-1"])

    def is_answered(self):
        path = f"{QUEUE}{next(self.job_ids):016x}"
        return self.fleet.ask("entry-1", "POST", path, job(count=1)) == (200, {"state": "completed"})

    def test_many_connections(self):
        """Guards against a process that needs more descriptors than its machine has for all its addresses together."""
        ip, _, readiness = self.fleet.addresses["entry-1"]
        connections = []
        for address, count in ((self.address(), 3100), (f"{ip}:{readiness}", 500), (self.fleet.metrics["entry-1"], 500)):
            for _ in range(count):
                connections.append(connect(address))
                send_all(connections[-1], self.head("X-Field: a"))
        self.check(connections)

    def test_no_descriptor_is_left(self):
        """Guards against an accept loop that ends, or a process that ends, when accept fails with EMFILE."""
        limit = resource.prlimit(self.pid, resource.RLIMIT_NOFILE)
        resource.prlimit(self.pid, resource.RLIMIT_NOFILE, (descriptors(self.pid) + 50, limit[1]))
        connections = [connect(self.address()) for _ in range(100)]
        wait_until(lambda: descriptors(self.pid) >= resource.prlimit(self.pid, resource.RLIMIT_NOFILE)[0] - 1,
                   "the use of all descriptors")
        self.check(connections)


class EntryMetrics(ClientLimits, unittest.TestCase):
    """The metrics address of an entry of bamboowing_platform."""

    process = "entry-1"
    path = "/metrics"

    def address(self):
        return self.fleet.metrics["entry-1"]

    def is_answered(self):
        return call("GET", f"http://{self.address()}/metrics", timeout=5)[0] == 200


class AgentAnnounce(ClientLimits, unittest.TestCase):
    """The announce address of an agent of bamboowing_platform."""

    process = "agent-1"
    method = "PUT"
    path = "/instances/other"

    def address(self):
        return self.fleet.platform_minions[0].announce_address

    def is_answered(self):
        """Whether a heartbeat is answered and the agent's target is still in use."""
        minion = self.fleet.platform_minions[0]
        status, _ = call("PUT", f"http://{self.address()}/instances/{minion.name}", minion.heartbeat(), timeout=5)
        path = f"{QUEUE}{status:016x}"
        return 0 < status < 300 and self.fleet.ask("entry-1", "POST", path, job(count=1))[0] == 200


class DaemonCallers(ClientLimits, unittest.TestCase):
    """The callers' address of an entry of bamboowingd."""

    process = "entry-1"
    path = "/v1/jobs"

    def start_fleet(self):
        fleet = Fleet()
        self.addCleanup(fleet.end_processes)
        fleet.start_store()
        fleet.start_entry("entry-1")
        return fleet

    def address(self):
        return f"127.0.0.1:{self.fleet.entries['entry-1'][0]}"

    def is_answered(self):
        return self.fleet.is_ready("entry-1")


if __name__ == "__main__":
    unittest.main(verbosity=2)
