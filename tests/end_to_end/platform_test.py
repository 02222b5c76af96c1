"""Tests the platform daemons as processes against stand-ins for the platform's store and minions."""

import concurrent.futures
import http.client
import json
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import unittest

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "scripts"))
sys.path.insert(0, str(ROOT / "standins"))

from end_to_end import save_logs_on_failure, skip_if_known_red  # noqa: E402
from fleet import BUILD, Fleet, free_ports, http as call, wait_until  # noqa: E402
from platform_standin import Minion, Store, overlapping_runs  # noqa: E402

SERVICE = "inspect"
HOST = "jobs.example"
QUEUE = "/checks/"
ENTRY_DRAIN_S = 2.2  # from SIGTERM until an entry without jobs is drained
RETURNED_STARTS = ("no_room", "unavailable", "stopped")  # outcomes of attempts that may have had no run
EXIT_RESERVE_S = 0.5  # part of the grace period that is reserved for the exit after the drain


def configuration(version, prefix=QUEUE, attempts=3):
    return {"version": version,
            "routes": [{"name": "checks", "host": HOST, "prefix": prefix, "route_type": "unsafe", "timeout_ms": 3000,
                        "target_latency_ms": 60, "backend": SERVICE, "max_attempts": attempts, "slack_factor": 1.6}],
            "backends": [{"name": SERVICE, "enforce_capacity": True}], "limits": {}}


def job(count=3, work_ms=60, words="", best_effort=True, **more):
    return {"spec": f"work_ms={work_ms} {words}".strip(), "best_effort": best_effort,
            "steps": [{"count": count, "cpu": 1000, "mem_mb": 64, "estimate_ms": work_ms}], **more}


class PlatformFleet(Fleet):
    """Entries and agents; each entry has a loopback address of its own, because all entries share one port for peers."""

    def __init__(self, entries=2, agents=3, store=None, minion_type=Minion):
        super().__init__(SERVICE, name="platform")
        self.kv = store or Store()
        self.minion_type = minion_type
        self.kv.put_configuration(configuration(1))
        self.peers_port = free_ports(1)[0]
        self.platform_minions = []
        self.addresses = {}
        try:
            self.start_processes(entries, agents)
        except Exception:
            self.stop()
            raise

    def start_processes(self, entries, agents):
        for i in range(entries):
            self.start_platform_entry(f"entry-{i + 1}", f"127.0.0.{i + 2}")
        for i in range(agents):
            self.start_platform_agent(f"agent-{i + 1}")
        for name in self.addresses:
            wait_until(lambda name=name: self.ready(name), f"readiness of {name}")
            # An entry is ready with one target, but the tests need all of them.
            wait_until(lambda name=name: self.usable_targets(name) == agents, f"all targets at {name}")

    # Overridden by fleets with proxies between the processes.

    def store_address(self):
        return f"127.0.0.1:{self.kv.port}"

    def failure_domain(self, _agent):
        return "hobart"

    def more_settings(self):
        """Further lines of the section best_effort."""
        return ""

    def connect_minion(self, minion):
        pass

    def usable_targets(self, name):
        """Returns the number of agents whose target the entry has listed as usable in its log."""
        for process in self.processes:
            self.check_alive(process)
        details = [json.loads(line).get("detail", "") for line in self.output(name).splitlines()]
        return len({d for d in details if d.startswith("agent ") and d.endswith("cpu 4000")})

    def start_platform_entry(self, name, ip):
        callers, readiness, metrics = free_ports(3)
        self.addresses[name] = (ip, callers, readiness)
        self.metrics = getattr(self, "metrics", {}) | {name: f"{ip}:{metrics}"}
        self.launch_entry(name)

    def launch_entry(self, name):
        ip, callers, readiness = self.addresses[name]
        settings = self.write_settings(
            name, f"role: entry\nid: {name}\nfailure_domain: hobart\nbest_effort:\n"
                  f"  callers_address: {ip}:{callers}\n  readiness_address: {ip}:{readiness}\n"
                  f"  peers_address: {ip}:{self.peers_port}\n  store_address: {self.store_address()}\n"
                  f"  metrics_address: {self.metrics[name]}\n  lease_ms: 1000\n  grace_s: 6\n"
                  + self.more_settings())
        self.start(name, [BUILD / "platform/bamboowing_platform", "--config", settings])

    def start_platform_agent(self, name):
        announce = free_ports(1)[0]
        seeds = ", ".join(f'"{ip}:1"' for ip, _, _ in self.addresses.values())
        self.write_settings(
            name, f"role: agent\nid: {name}\nfailure_domain: {self.failure_domain(name)}\nbest_effort:\n"
                  f"  announce_address: 127.0.0.1:{announce}\n  seeds: [{seeds}]\n  peers_port: {self.peers_port}\n"
                  f"  store_address: {self.store_address()}\n  lease_ms: 1000\n  grace_s: 6\n" + self.more_settings())
        self.launch_agent(name)
        self.platform_minions.append(self.minion_type(f"minion-{name}", SERVICE, f"127.0.0.1:{announce}"))
        self.platform_minions[-1].zone = self.failure_domain(name)
        self.connect_minion(self.platform_minions[-1])

    def launch_agent(self, name):
        self.start(name, [BUILD / "platform/bamboowing_platform", "--config", self.path / f"{name}.yaml"])

    def ready(self, name):
        self.check_alive(name)
        ip, _, readiness = self.addresses[name]
        return call("GET", f"http://{ip}:{readiness}/readyz", timeout=2)[0] == 200

    def ask(self, name, method, path, body=None, deadline_ms=3000, timeout=10):
        ip, callers, _ = self.addresses[name]
        return call(method, f"http://{ip}:{callers}{path}", body, timeout=timeout,
                    headers={"Host": HOST, "Deadline-Ms": str(deadline_ms)})

    def stop(self):
        super().stop()
        for minion in self.platform_minions:
            minion.close()
        self.kv.close()


class PlatformJobs(unittest.TestCase):
    """Tests that leave the fleet unchanged and share it."""

    @classmethod
    def setUpClass(cls):
        cls.fleet = PlatformFleet()
        cls.addClassCleanup(cls.fleet.stop)

    def post(self, job_id, body, entry="entry-1", **options):
        return self.fleet.ask(entry, "POST", QUEUE + job_id, body, **options)

    def test_a_job_is_answered_when_all_its_tasks_are_done(self):
        """Guards against an answer before the last task has completed."""
        self.assertEqual(self.post("00000000000000a1", job(count=5)), (200, {"state": "completed"}))
        runs = [r for m in self.fleet.platform_minions for r in m.runs if r[0].startswith("00000000000000a1.")]
        self.assertEqual(sorted(r[0] for r in runs), [f"00000000000000a1.0.0.{i}" for i in range(5)])
        self.assertTrue(all(r[4] == "done" for r in runs), runs)

    def test_a_step_starts_after_its_dependencies(self):
        """Guards against a task that starts before the steps that its step depends on are done."""
        body = job()
        body["steps"] = [{"count": 2, "cpu": 1000, "estimate_ms": 60},
                         {"count": 2, "cpu": 1000, "estimate_ms": 60, "after": [0]}]
        self.assertEqual(self.post("00000000000000a2", body)[0], 200)
        runs = {r[0].split(".", 1)[1]: r for m in self.fleet.platform_minions for r in m.runs
                if r[0].startswith("00000000000000a2.")}
        self.assertGreaterEqual(min(runs["0.1.0"][2], runs["0.1.1"][2]), max(runs["0.0.0"][3], runs["0.0.1"][3]))

    def test_a_failing_job_ends_after_the_maximum_attempts_of_its_route(self):
        """Guards against a job that is retried forever, or abandoned before its last attempt."""
        self.assertEqual(self.post("00000000000000a3", job(count=1, words="fail")), (200, {"state": "failed"}))
        runs = [r for m in self.fleet.platform_minions for r in m.runs if r[0].startswith("00000000000000a3.")]
        self.assertEqual(len(runs), 3)

    def test_unsupported_jobs_are_refused_and_never_run(self):
        """Guards against a job that is accepted although it cannot be served, and is then lost."""
        status, body = self.post("00000000000000a4", job(best_effort=False))
        self.assertEqual(status, 503)
        self.assertEqual(body["not_run"], "yes")
        self.assertEqual(self.post("00000000000000a5", {"best_effort": True, "steps": 7})[0], 400)
        self.assertEqual(self.fleet.ask("entry-1", "POST", "/nowhere/1", job())[0], 404)
        runs = [r for m in self.fleet.platform_minions for r in m.runs
                if r[0].startswith(("00000000000000a4", "00000000000000a5"))]
        self.assertEqual(runs, [])

    def test_an_unknown_job_is_answered_with_410(self):
        self.assertEqual(self.fleet.ask("entry-1", "GET", QUEUE + "00000000000000ff")[0], 410)
        self.assertEqual(self.fleet.ask("entry-1", "DELETE", QUEUE + "00000000000000ff")[0], 410)
        self.assertEqual(self.fleet.ask("entry-1", "GET", QUEUE), (200, {"pending": 0}))

    def test_a_cancelled_job_is_stopped(self):
        """Guards against tasks that keep running after their job was cancelled."""
        with concurrent.futures.ThreadPoolExecutor() as pool:
            answer = pool.submit(self.post, "00000000000000a6", job(work_ms=3000, count=2), deadline_ms=9000)
            wait_until(lambda: self.fleet.ask("entry-1", "GET", QUEUE + "00000000000000a6")[0] == 200, "the job")
            wait_until(lambda: self.running("00000000000000a6") == 2, "its tasks")
            self.assertEqual(self.fleet.ask("entry-1", "DELETE", QUEUE + "00000000000000a6")[0], 200)
            self.assertEqual(answer.result(), (200, {"state": "cancelled"}))
        wait_until(lambda: self.running("00000000000000a6") == 0, "the end of its tasks", 1)

    def running(self, job_id):
        return sum(1 for m in self.fleet.platform_minions for task in list(m.running) if task.startswith(job_id))

    def test_tasks_of_a_disconnected_caller_are_stopped(self):
        """Guards against runs for a disconnected caller, which may have submitted the job elsewhere."""
        ip, callers, _ = self.fleet.addresses["entry-1"]
        connection = http.client.HTTPConnection(ip, callers)
        connection.request("POST", QUEUE + "00000000000000a7", json.dumps(job(work_ms=3000, count=2)),
                           {"Host": HOST, "Deadline-Ms": "9000"})
        wait_until(lambda: self.running("00000000000000a7") == 2, "its tasks")
        connection.sock.shutdown(socket.SHUT_RDWR)
        connection.close()
        wait_until(lambda: self.running("00000000000000a7") == 0, "the end of its tasks", 1)

    def test_a_job_whose_tasks_request_nothing_completes(self):
        """Guards against a job that runs again and again because its runs are not counted: its tasks take no capacity."""
        for job_id, count, work_ms in (("00000000000000aa", 1, 60), ("00000000000000ab", 180, 1500)):
            body = job(work_ms=work_ms, words="cpu=0 mem_mb=0")
            body["steps"] = [{"count": count, "estimate_ms": work_ms}]
            self.assertEqual(self.post(job_id, body, deadline_ms=6000), (200, {"state": "completed"}))
            runs = [r for m in self.fleet.platform_minions for r in m.runs if r[0].startswith(job_id)]
            # A start that a busy minion answers late is stopped and repeated, so a task may have an earlier, stopped run.
            done = sorted(int(r[0].rsplit(".", 1)[1]) for r in runs if r[4] == "done")
            self.assertEqual(done, list(range(count)))
        self.assertEqual(overlapping_runs(self.fleet.platform_minions), [])

    def test_a_cancel_that_follows_its_job_on_one_connection_takes_effect_at_once(self):
        """Guards against a pipelined cancel that waits for the end of its job."""
        ip, callers, _ = self.fleet.addresses["entry-1"]
        path = QUEUE + "00000000000000ac"
        body = json.dumps(job(work_ms=5000, count=2))
        with socket.create_connection((ip, callers), timeout=4) as connection:
            connection.sendall(f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\nDeadline-Ms: 9000\r\n"
                               f"Content-Length: {len(body)}\r\n\r\n{body}".encode())
            wait_until(lambda: self.running("00000000000000ac") == 2, "its tasks")
            connection.sendall(f"DELETE {path} HTTP/1.1\r\nHost: {HOST}\r\nConnection: close\r\n\r\n".encode())
            answers = b"".join(iter(lambda: connection.recv(4096), b""))
        first, second = answers.split(b"HTTP/1.1 200 OK")[1:]
        self.assertIn(b'"cancelled"', first)
        self.assertTrue(second.endswith(b"{}"), second)
        wait_until(lambda: self.running("00000000000000ac") == 0, "the end of its tasks", 1)

    def test_a_start_whose_answer_is_lost_runs_once(self):
        """Guards against a second run of a task whose start request got no response."""
        for minion in self.fleet.platform_minions:
            minion.lose_answers = 1
        self.assertEqual(self.post("00000000000000a8", job(count=6, work_ms=400), deadline_ms=6000)[0], 200)
        self.assertEqual(overlapping_runs(self.fleet.platform_minions), [])

    def test_metrics_and_log_show_the_outcome_of_a_job(self):
        """Guards against a failed job that leaves no trace in metrics and log."""
        self.post("00000000000000a9", job(count=1, words="fail"))
        _, text = call("GET", f"http://{self.fleet.metrics['entry-1']}/metrics")
        self.assertIn('bamboowing_jobs_total{outcome="failed"}', text)
        self.assertIn('bamboowing_run_ends_total{outcome="failed"}', text)
        self.assertRegex(text, r'bamboowing_claims_total\{outcome="granted"\} [1-9]')
        wait_until(lambda: "00000000000000a9" in self.fleet.output("entry-1"), "the log lines")
        lines = [json.loads(line) for line in self.fleet.output("entry-1").splitlines()]
        events = [line["event"] for line in lines if line.get("job") == "00000000000000a9"]
        self.assertEqual(events, ["claim_granted"] + ["run_ended", "task_restarted"] * 2 + ["run_ended", "job_answered"])

    def test_a_configuration_change_takes_effect_within_two_seconds(self):
        """Guards against an entry that keeps routing by an outdated configuration."""
        self.fleet.kv.put_configuration(configuration(2, prefix="/moved/"))
        try:
            wait_until(lambda: self.fleet.ask("entry-1", "POST", "/moved/00000000000000b1", job())[0] == 200,
                       "the new route", 2)
            self.assertEqual(self.post("00000000000000b2", job())[0], 404)
        finally:
            self.fleet.kv.put_configuration(configuration(3))
            for entry in self.fleet.addresses:
                wait_until(lambda entry=entry: self.post("00000000000000b3", job(), entry)[0] == 200, "the old route")

    def test_a_job_whose_route_is_removed_can_be_stopped(self):
        """Guards against a job of a removed route that its caller can stop neither by a cancel under the old path, nor by
        one under another path, nor by disconnecting."""
        ip, callers, _ = self.fleet.addresses["entry-1"]
        path = QUEUE + "00000000000000b4"
        connection = http.client.HTTPConnection(ip, callers)
        connection.request("POST", path, json.dumps(job(work_ms=9000, count=2)), {"Host": HOST, "Deadline-Ms": "12000"})
        other = concurrent.futures.ThreadPoolExecutor()
        self.addCleanup(other.shutdown)
        answers = [other.submit(self.post, job_id, job(work_ms=9000, count=2), deadline_ms=12000, timeout=15)
                   for job_id in ("00000000000000b6", "00000000000000b7")]
        wait_until(lambda: all(self.running(f"00000000000000b{digit}") == 2 for digit in "467"), "their tasks")
        self.fleet.kv.put_configuration(configuration(4, prefix="/moved/"))
        try:
            wait_until(lambda: self.fleet.ask("entry-1", "GET", path)[0] == 404, "the change", 2)
            self.assertEqual(self.post("00000000000000b8", job())[0], 404)
            self.assertEqual(self.fleet.ask("entry-1", "DELETE", QUEUE)[0], 404)
            self.assertEqual([self.running(f"00000000000000b{digit}") for digit in "467"], [2, 2, 2])
            self.assertEqual(self.fleet.ask("entry-1", "DELETE", QUEUE + "00000000000000b7")[0], 410)
            self.assertEqual(answers[1].result(), (200, {"state": "cancelled"}))
            wait_until(lambda: self.running("00000000000000b7") == 0, "the end of its tasks", 1)
            connection.sock.shutdown(socket.SHUT_RDWR)
            connection.close()
            wait_until(lambda: self.running("00000000000000b4") == 0, "the end of its tasks", 1)
            self.assertEqual(self.fleet.ask("entry-1", "DELETE", "/moved/00000000000000b6")[0], 200)
            self.assertEqual(answers[0].result(), (200, {"state": "cancelled"}))
        finally:
            self.fleet.kv.put_configuration(configuration(5))
            for entry in self.fleet.addresses:
                wait_until(lambda entry=entry: self.post("00000000000000b5", job(), entry)[0] == 200, "the old route")


class UnreadableSettings(unittest.TestCase):

    def test_a_process_with_an_unreadable_setting_ends_at_once_and_names_it(self):
        """Guards against a process that starts with a default in place of the platform's value, or ends without a reason."""
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "boot.yaml"
            for value, found in (("true", "true"), ("", "no value"), ("6s", "6s")):
                path.write_text("role: entry\nid: a\nfailure_domain: hobart\nbest_effort:\n"
                                "  callers_address: 127.0.0.1:1\n  readiness_address: 127.0.0.1:1\n"
                                "  peers_address: 127.0.0.1:1\n  store_address: 127.0.0.1:1\n  lease_ms: 1000.5\n"
                                f"  grace_s: {value}\n")
                ended = subprocess.run([BUILD / "platform/bamboowing_platform"], capture_output=True, text=True, timeout=20,
                                       env={"BAMBOOWING_SETTINGS": str(path)})
                self.assertEqual(ended.returncode, 3, ended.stderr)
                self.assertEqual(ended.stderr, f"{path}: settings line 10: best_effort.grace_s: found {found}, "
                                               "expected a number from 0 to 3600\n")


class Faults(unittest.TestCase):
    """Tests with faults; each test has a fleet of its own."""

    def setUp(self):
        skip_if_known_red(self)
        self.fleet = PlatformFleet()
        self.addCleanup(self.fleet.stop)
        self.addCleanup(save_logs_on_failure, self, self.fleet)

    def test_starts_fit_capacities_that_shrink_and_grow(self):
        """Guards against starts beyond the capacity of a minion that has shrunk and does not check its capacity."""
        for minion in self.fleet.platform_minions:
            minion.guards_capacity = False
        with concurrent.futures.ThreadPoolExecutor() as pool:
            load = pool.submit(self.load, 12, lambda i: f"entry-{1 + i % 2}", 300)
            for cpu in (1000, 4000, 2000):
                for minion in self.fleet.platform_minions:
                    minion.set_capacity(cpu=cpu)
                time.sleep(6 if cpu < 4000 else 1)  # a shrunk capacity binds after CAPACITY_GRACE_S
            load.result()
        self.assertEqual([start for m in self.fleet.platform_minions for start in m.overcommitted_starts], [])
        self.assertTrue(any(m.runs for m in self.fleet.platform_minions))

    def test_a_job_larger_than_each_minion_is_refused_at_once(self):
        """Guards against a caller that waits for capacity that no minion has."""
        for minion in self.fleet.platform_minions:
            minion.set_capacity(mem_mb=1024)
        time.sleep(2.5)  # entries that have just started wait for larger targets
        body = job(words="mem_mb=2048", work_ms=2000)
        body["steps"][0]["mem_mb"] = 2048
        started_at = time.monotonic()
        status, answer = self.fleet.ask("entry-1", "POST", QUEUE + "00000000000000c1", body)
        self.assertEqual((status, answer["kind"], answer["not_run"]), (503, "no_target", "yes"))
        self.assertLess(time.monotonic() - started_at, 1)
        for minion in self.fleet.platform_minions:
            minion.set_capacity(mem_mb=8192)
        time.sleep(1)
        self.assertEqual(self.fleet.ask("entry-1", "POST", QUEUE + "00000000000000c2", body)[0], 200)

    def load(self, seconds, entry_of, work_ms=100):
        """Submits jobs for the given time; returns (status, response time in seconds) of each."""
        results = []

        def one(i):
            started_at = time.monotonic()
            status, _ = self.fleet.ask(entry_of(i), "POST", f"{QUEUE}{i:016x}", job(work_ms=work_ms))
            results.append((status, time.monotonic() - started_at))

        threads = []
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            threads.append(threading.Thread(target=one, args=(len(threads) + 1,)))
            threads[-1].start()
            time.sleep(0.08)
        for thread in threads:
            thread.join()
        return results

    def test_jobs_are_served_again_within_two_seconds_of_the_loss_of_an_agent(self):
        """Guards against tasks that wait forever for a lost agent, and against a second run while the first continues."""
        timer = threading.Timer(1, lambda: self.fleet.kill("agent-1"))
        timer.start()
        results = self.load(5, lambda i: "entry-1")
        self.assertEqual([status for status, _ in results[-10:]], [200] * 10)
        self.assertEqual(overlapping_runs(self.fleet.platform_minions), [])
        self.assertGreater(sum(1 for status, _ in results if status == 200), 0.9 * len(results))

    def test_a_killed_entry_leaves_no_runs_behind(self):
        """Guards against runs without an owner that occupy capacity."""
        timer = threading.Timer(0.5, lambda: self.fleet.kill("entry-1"))
        timer.start()
        self.load(1, lambda i: "entry-1", work_ms=3000)
        wait_until(lambda: not any(m.running for m in self.fleet.platform_minions), "the end of all runs", 1.3)
        lines = [json.loads(line) for line in self.fleet.output("agent-1").splitlines()]
        lost = [line for line in lines if line["event"] == "session_lost"]
        self.assertTrue(lost and all("the connection ended" in line["detail"] for line in lost), lost)

    def test_a_terminated_entry_answers_accepted_jobs(self):
        """Guards against callers that are disconnected by a planned restart."""
        process = self.fleet.processes["entry-1"]
        timer = threading.Timer(1, lambda: process.send_signal(signal.SIGTERM))
        timer.start()
        results = self.load(2.5, lambda i: "entry-1")
        self.assertEqual([status for status, _ in results if status not in (200, 503)], [])
        self.assertEqual(process.wait(timeout=6), 0)

    def test_a_terminated_entry_answers_a_job_that_outlasts_its_grace_period(self):
        """Guards against callers whose connection ends without an answer because their deadline lies after the exit."""
        process = self.fleet.processes["entry-1"]
        with concurrent.futures.ThreadPoolExecutor() as pool:
            answer = pool.submit(self.fleet.ask, "entry-1", "POST", QUEUE + "00000000000000d1", job(work_ms=20000),
                                 deadline_ms=9000)
            wait_until(lambda: any(m.running for m in self.fleet.platform_minions), "its tasks")
            process.send_signal(signal.SIGTERM)
            self.assertEqual(process.wait(timeout=6), 0)
            self.assertEqual(answer.result()[0], 504)
        wait_until(lambda: not any(m.running for m in self.fleet.platform_minions), "the end of its runs", 1)

    def seconds_from_drained_to_exit(self, name):
        """Waits for the exit of a terminated process, checks its exit code, and returns the time since it logged "drained"."""
        self.assertEqual(self.fleet.processes[name].wait(timeout=10), 0)
        exited_at = time.time()
        lines = [json.loads(line) for line in self.fleet.output(name).splitlines()]
        return exited_at - next(line["time_ms"] for line in lines if line["event"] == "drained") / 1000

    def test_a_terminated_agent_exits_while_the_store_is_silent(self):
        """Guards against an exit that waits for the watch of the entries, whose answer never arrives."""
        self.fleet.kv.silent = True
        time.sleep(0.5)
        self.fleet.signal("agent-1", signal.SIGTERM)
        self.assertLess(self.seconds_from_drained_to_exit("agent-1"), EXIT_RESERVE_S)

    def test_a_terminated_entry_exits_while_the_store_is_silent(self):
        """Guards against an exit that waits for the watch of the configuration, whose answer never arrives."""
        self.fleet.signal("entry-1", signal.SIGTERM)
        time.sleep(ENTRY_DRAIN_S - 0.1)  # so that the answer to an open watch is due well after the end of the drain
        self.fleet.kv.silent = True
        self.assertLess(self.seconds_from_drained_to_exit("entry-1"), EXIT_RESERVE_S)

    def test_a_task_that_crashes_minions_is_given_up_at_every_entry(self):
        """Guards against a task that crashes minion after minion, also through a later submission at another entry."""
        job_id = "00000000000000c1"
        deadline_ms, timeout = 25000, 30
        with concurrent.futures.ThreadPoolExecutor() as pool:
            innocent = pool.submit(self.fleet.ask, "entry-2", "POST", QUEUE + "00000000000000c2",
                                   job(count=6, work_ms=1000), deadline_ms, timeout)
            time.sleep(0.2)
            # The minions are busy with tasks of the other job, which are lost beside the crashing task.
            crashing = job(count=1, work_ms=200, words="crash")
            self.assertEqual(self.fleet.ask("entry-1", "POST", QUEUE + job_id, crashing, deadline_ms, timeout),
                             (200, {"state": "failed"}))
            self.fleet.kill("entry-1")
            self.assertEqual(self.fleet.ask("entry-2", "POST", QUEUE + job_id, crashing), (200, {"state": "failed"}))
            self.assertEqual(innocent.result(), (200, {"state": "completed"}))
        self.assertIn(sum(m.crashes for m in self.fleet.platform_minions), (2, 3))
        self.assertEqual(overlapping_runs(self.fleet.platform_minions), [])

    def test_a_restarted_agent_serves_again(self):
        """Guards against a minion that permanently refuses the token of a restarted agent."""
        for name in ("agent-1", "agent-2", "agent-3"):
            self.fleet.kill(name)
            self.fleet.launch_agent(name)
        wait_until(lambda: self.fleet.ask("entry-2", "POST", QUEUE + f"{time.monotonic_ns():016x}", job())[0] == 200,
                   "service after the restart", 5)
        self.assertEqual(overlapping_runs(self.fleet.platform_minions), [])

    def check_runs_outlast_late_message(self, method, next_id):
        """Restarts a minion, then delivers a message of its previous incarnation while runs are active."""
        minion = self.fleet.platform_minions[0]
        previous_id, heartbeat = minion.id, minion.heartbeat()
        usable = self.fleet.output("agent-1").count("target_usable")
        minion.fail()
        minion.restart(next_id)
        wait_until(lambda: self.fleet.output("agent-1").count("target_usable") > usable, "the new incarnation", 5)
        count = sum(m.cores for m in self.fleet.platform_minions) // 2  # leaves room for tasks that are started again
        with concurrent.futures.ThreadPoolExecutor() as pool:
            answer = pool.submit(self.fleet.ask, "entry-1", "POST", QUEUE + "00000000000000c1",
                                 job(count=count, work_ms=1500), 9000)
            wait_until(lambda: sum(len(m.running) for m in self.fleet.platform_minions) == count, "all runs", 2)
            self.assertNotEqual(minion.running, {})
            minion.announce(method, previous_id, heartbeat if method == "PUT" else {})
            self.assertEqual(answer.result(), (200, {"state": "completed"}))
        self.assertEqual(overlapping_runs(self.fleet.platform_minions), [])

    def test_a_late_heartbeat_of_the_previous_incarnation_ends_no_run(self):
        """Guards against runs that are started again because a heartbeat of an incarnation before the present one arrived."""
        self.check_runs_outlast_late_message("PUT", "minion-agent-1-second")

    def test_a_late_heartbeat_under_the_same_id_ends_no_run(self):
        """Guards against runs that are started again because a heartbeat with an older start time arrived."""
        self.check_runs_outlast_late_message("PUT", None)

    def test_a_late_deregistration_under_the_same_id_ends_no_run(self):
        """Guards against runs that are started again because the DELETE of the previous incarnation arrived."""
        self.check_runs_outlast_late_message("DELETE", None)

    def test_jobs_are_served_while_the_store_is_down(self):
        """Guards against a dependency of job processing on the store."""
        self.fleet.kv.down = True
        results = self.load(6, lambda i: f"entry-{1 + i % 2}")
        self.assertEqual([status for status, _ in results if status != 200], [])


def nested(levels):
    """JSON text of lists that are nested this deeply."""
    return b"[" * levels + b"]" * levels


def without(fields, name):
    return {key: value for key, value in fields.items() if key != name}


class OddEntries(unittest.TestCase):
    """Tests that write what another writer may leave; each test has a fleet of its own."""

    def setUp(self):
        self.fleet = PlatformFleet(entries=1, agents=2)
        self.addCleanup(self.fleet.stop)
        self.addCleanup(save_logs_on_failure, self, self.fleet)

    def heartbeat(self, minion, **changes):
        return {"backend": SERVICE, "address": minion.address, "zone": "hobart", "version": "v1", "slots": 8,
                "state": "ready", "cold_ms": 0, "labels": ["a", "r1-1"], "clock_ms": minion.clock(),
                "capacity": {"cpu": 4000, "mem_mb": 8192, "gpu": 0}, "seq": minion.seq, "born": minion.born, **changes}

    def test_an_address_that_the_target_never_had_leaves_its_runs_active(self):
        """Guards against a second run of each task while the first is active at a target that another writer moved."""
        with concurrent.futures.ThreadPoolExecutor() as pool:
            answer = self.submit_long_job(pool, "00000000000000c5", count=4)
            minion = max(self.fleet.platform_minions, key=lambda m: len(m.running))
            for port in free_ports(3):
                body = json.dumps(self.heartbeat(minion, address=f"127.0.0.1:{port}")).encode()
                self.send(minion.announce_address, "PUT", f"/instances/{minion.name}", body)
                time.sleep(0.1)  # the agent polls its target in the meantime
            self.assertEqual(answer.result(), (200, {"state": "completed"}))
        self.assertEqual(overlapping_runs(self.fleet.platform_minions), [])
        self.assert_served()

    def odd_heartbeats(self, minion):
        """Bodies that name no minion to use."""
        fields = self.heartbeat(minion)
        numbers = (-1, 1.5, 1e300, 2 ** 63, 2 ** 64, "7", None, [], {})
        bodies = [{**fields, "born": value} for value in numbers]
        bodies += [{**fields, "clock_ms": value} for value in (-1, 1e300, 2 ** 63, "7", None, [])]
        bodies += [{**fields, "capacity": {"cpu": value, "mem_mb": 8192}} for value in numbers]
        bodies += [{**fields, "capacity": value} for value in (None, 7, [], "4000")]
        bodies += [{**fields, "address": value}
                   for value in ("127.0.0.1:0", "127.0.0.1:65536", "127.0.0.1:99999", "127.0.0.1:http", "127.0.0.1",
                                 "nowhere", "", ":", 7, None, "x" * 500_000)]
        bodies += [{**fields, "state": value} for value in ("sleeping", "", 7, None)]
        bodies += [{**fields, "backend": value} for value in ("", 7, None, "x" * 500_000)]
        bodies += [{**fields, "labels": value} for value in (7, "a", [7], ["x" * 500_000], ["x"] * 100_000)]
        bodies += [without(fields, name) for name in ("address", "backend", "zone", "state", "capacity")]
        bodies += [[], 7, "text", None]
        texts = [json.dumps(body).encode() for body in bodies]
        for name in ("born", "labels", "capacity", "extra"):
            texts.append(json.dumps({**fields, name: "@"}).encode().replace(b'"@"', nested(100_000)))
        return texts + [b"", b"{", b"\xff\xfe\x00", b'{"backend":"\xff"}', nested(400_000), b"[" * 900_000]

    def send(self, address, method, path, body=b""):
        """Returns the status; None if the connection ended without a response."""
        connection = http.client.HTTPConnection(address, timeout=5)
        try:
            connection.request(method, path, body, {"Content-Type": "application/json", "Host": HOST})
            return connection.getresponse().status
        except (http.client.HTTPException, OSError):
            return None
        finally:
            connection.close()

    def submit_long_job(self, pool, job_id, count=8):
        """Submits a job, which occupies all targets by default; returns the future of its answer."""
        answer = pool.submit(self.fleet.ask, "entry-1", "POST", QUEUE + job_id, job(count=count, work_ms=3000),
                             deadline_ms=9000)
        wait_until(lambda: sum(len(m.running) for m in self.fleet.platform_minions) == count, "its tasks")
        return answer

    def assert_served(self):
        """Checks that all processes run and serve, and that no run was repeated or abandoned."""
        for name in self.fleet.processes:
            self.fleet.check_alive(name)
        answer = self.fleet.ask("entry-1", "POST", f"{QUEUE}{time.monotonic_ns():016x}", job(count=8))
        self.assertEqual(answer, (200, {"state": "completed"}))
        self.assert_each_task_ran_once()
        for name in ("agent-1", "agent-2"):
            lines = [json.loads(line) for line in self.fleet.output(name).splitlines()]
            self.assertEqual([line for line in lines if line["event"] in ("target_lost", "target_restarted")], [])

    def assert_each_task_ran_once(self):
        """Checks that each task has one run, which is done, and that earlier attempts were logged as never started."""
        runs = [run for m in self.fleet.platform_minions for run in m.runs]
        self.assertEqual([run for run in runs if run[4] != "done"], [])
        tasks = [run[0] for run in runs]
        self.assertEqual([run for run in runs if tasks.count(run[0]) > 1], [])
        ends = {}
        for line in map(json.loads, self.fleet.output("entry-1").splitlines()):
            if line["event"] == "run_ended":
                _, task, _, attempt, outcome, *_ = line["detail"].split()
                ends[line["job"], task, int(attempt)] = outcome
        for task, attempt, *_ in runs:
            job_id, _, position = task.split(".", 2)
            outcomes = [ends.get((job_id, position, earlier)) for earlier in range(1, attempt)]
            self.assertEqual([o for o in outcomes if o not in RETURNED_STARTS], [], f"{task} attempt {attempt}: {ends}")

    def test_a_start_that_a_minion_refuses_takes_an_attempt_number(self):
        """Guards against a check of runs that takes a returned start for a run, or an attempt without a reason for one."""
        for minion in self.fleet.platform_minions:
            execute_start = minion.start
            minion.start = lambda request, minion=minion, execute_start=execute_start: (
                (409, {"clock_ms": minion.clock(), "reason": "room"}) if request.fields["attempt"] == 1
                else execute_start(request))
        self.assert_served()
        runs = [run for m in self.fleet.platform_minions for run in m.runs]
        self.assertEqual([run[1] for run in runs], [2] * 8)
        repeated = [*runs[0][:1], 1, *runs[0][2:]]
        self.fleet.platform_minions[0].runs.append(repeated)
        self.assertRaises(AssertionError, self.assert_each_task_ran_once)
        self.fleet.platform_minions[0].runs.remove(repeated)
        runs[0][1] = 4
        self.assertRaises(AssertionError, self.assert_each_task_ran_once)

    def test_a_malformed_address_leaves_the_client_of_the_running_target_in_use(self):
        """Guards against an agent that ends because it gave up the client of its target for an address it can't open."""
        minion = self.fleet.platform_minions[0]
        with concurrent.futures.ThreadPoolExecutor() as pool:
            answer = self.submit_long_job(pool, "00000000000000c0")
            for address in ("127.0.0.1:0", "127.0.0.1:65536", "127.0.0.1:99999", "127.0.0.1:http", "nowhere", "", ":"):
                body = json.dumps(self.heartbeat(minion, address=address)).encode()
                self.assertIsNotNone(self.send(minion.announce_address, "PUT", f"/instances/{minion.name}", body))
                time.sleep(0.05)  # the agent polls its target in the meantime
            self.assertEqual(answer.result(), (200, {"state": "completed"}))
        self.assert_served()

    def test_odd_heartbeats_leave_the_running_target_in_use(self):
        """Guards against an agent that ends, or gives up its target and its runs, after a heartbeat of another writer."""
        minion = self.fleet.platform_minions[0]
        with concurrent.futures.ThreadPoolExecutor() as pool:
            answer = self.submit_long_job(pool, "00000000000000c1")
            for body in self.odd_heartbeats(minion):
                for name in (minion.name, "another"):
                    status = self.send(minion.announce_address, "PUT", f"/instances/{name}", body)
                    self.assertIn(status, (400, 413), body[:200])
            self.assertEqual(answer.result(), (200, {"state": "completed"}))
        self.assert_served()

    def test_odd_request_targets_are_refused(self):
        """Guards against a process that ends because a request target has a malformed escape or control characters."""
        minion = self.fleet.platform_minions[0]
        body = json.dumps(self.heartbeat(minion)).encode()
        for target in ("/instances/a?x=%q", "/instances/a?%zz=1", "/instances/%zz", "/instances/a%0d%0aX:%20y",
                       "/instances/", "/instances/" + "x" * 5000):
            for method in ("PUT", "DELETE"):
                status = self.send(minion.announce_address, method, target, body)
                self.assertIn(status, (400, 413, 414, 431), f"{method} {target[:80]}")
        for target in (QUEUE + "%zz?x=%q", "/metrics?x=%q"):
            for address in (self.fleet.metrics["entry-1"], "{0}:{1}".format(*self.fleet.addresses["entry-1"])):
                self.assertIsNotNone(self.send(address, "GET", target))
        self.assert_served()

    def odd_registrations(self):
        """Values that are not the registration of an entry."""
        fields = {"id": "odd", "life": 1, "peers_address": "127.0.0.1:9", "failure_domain": "hobart"}
        odd = [{**fields, "life": value} for value in (-1, 1.5, 1e300, 2 ** 64, "1", None)]
        odd += [{**fields, "peers_address": value}
                for value in ("127.0.0.1:0", "127.0.0.1:99999", "*:80", "unix:x", "a.example:80", "", 7, "x" * 300_000)]
        odd += [{**fields, "failure_domain": 7}, {**fields, "wants_agents": 7}, {**fields, "id": 7}, [], 7, None]
        odd += [{**fields, "id": "entry-1"}]  # at another key
        values = [json.dumps(value).encode() for value in odd]
        for name in ("wants_agents", "failure_domain", "extra"):
            values.append(json.dumps({**fields, name: "@"}).encode().replace(b'"@"', nested(400_000)))
        return values + [b"", b"\xff\xfe", b"{", nested(400_000)]

    def put_odd_items(self):
        """Leaves registrations, and items that are not of the format of the store, among the entries."""
        for i, value in enumerate(self.odd_registrations()):
            self.fleet.kv.put(f"bamboowing/entries/odd{i}" if i else "bamboowing/entries/odd", value)
        for i, item in enumerate(({"value": "%%%%"}, {"value": 7}, {"value": None}, {"value": "YQ"}, {})):
            self.fleet.kv.put_raw(f"bamboowing/entries/raw{i}", item)

    def test_odd_entries_leave_the_list_of_entries_in_use(self):
        """Guards against an agent that ends or stops following the list of entries because of one odd item."""
        with concurrent.futures.ThreadPoolExecutor() as pool:
            answer = self.submit_long_job(pool, "00000000000000c2")
            self.put_odd_items()
            self.assertEqual(answer.result(), (200, {"state": "completed"}))
        self.fleet.start_platform_entry("entry-9", "127.0.0.9")
        wait_until(lambda: self.fleet.ready("entry-9"), "the entry that registered after the odd items", 10)
        self.fleet.kill("agent-1")
        self.fleet.launch_agent("agent-1")  # lists all items from the start
        wait_until(lambda: self.fleet.output("agent-1").count('"session_opened"') >= 2, "sessions of a new agent", 10)
        self.assert_served()

    def test_an_entry_registers_over_bytes_of_another_writer(self):
        """Guards against an entry that never registers because its key holds a value that can't be read."""
        self.fleet.kv.put_raw("bamboowing/entries/entry-9", {"value": "%%%%"})
        self.fleet.start_platform_entry("entry-9", "127.0.0.9")
        wait_until(lambda: self.fleet.ready("entry-9"), "its registration", 10)
        self.assert_served()

    def test_odd_configurations_leave_the_present_one_in_force(self):
        """Guards against an entry that ends, or no longer follows the configuration, after an odd document."""
        fields = configuration(5)
        odd = [{**fields, "version": value} for value in (-1, 1.5, 1e300, 2 ** 64, "9", None)]
        odd += [{**fields, "routes": value} for value in (7, None, [7], [{}], {"a": 7})]
        for name, value in (("prefix", 7), ("priority", -1), ("max_attempts", 1e300), ("slack_factor", 1e300),
                            ("target_latency_ms", 2 ** 63), ("backend", None)):
            odd.append({**fields, "routes": [{**fields["routes"][0], name: value}]})
        values = [json.dumps(value).encode() for value in odd]
        values += [b"", b"\xff", nested(400_000), b'{"version":5,"routes":[{"name":' + nested(400_000) + b"}]}"]
        for value in values:
            self.fleet.kv.put("op/config", value)
            time.sleep(0.05)
        self.assert_served()
        self.fleet.kv.put_configuration(configuration(6, prefix="/moved/"))
        wait_until(lambda: self.fleet.ask("entry-1", "POST", "/moved/00000000000000c4", job())[0] == 200,
                   "the next configuration", 2)

    def test_odd_jobs_are_refused(self):
        """Guards against an entry that ends, or serves another job than the caller wrote."""
        ip, callers, _ = self.fleet.addresses["entry-1"]
        changes = [(name, value) for name in ("count", "cpu", "mem_mb", "gpu", "anti_affinity")
                   for value in (-1, 1.5, 1e300, 2 ** 64, "1", [])]
        changes += [("estimate_ms", value) for value in (-1, 1e300, 2 ** 63, "1")]
        changes += [("after", value) for value in ([-1], [1.5], [0], [7], ["0"], 7)] + [("count", 2 ** 32 - 1)]
        bodies = [job() for _ in changes]
        for body, (name, value) in zip(bodies, changes):
            body["steps"][0][name] = value
        texts = [json.dumps(body).encode() for body in bodies + [[], 7, None, {"best_effort": True, "steps": {"a": {}}}]]
        texts += [b"", b"\xff", b'{"best_effort":true,"steps":[{"count":1}],"x":' + nested(100_000) + b"}"]
        for text in texts:
            status = self.send(f"{ip}:{callers}", "POST", f"{QUEUE}{time.monotonic_ns():016x}", text)
            self.assertEqual(status, 400, text[:200])
        self.assertEqual([run for m in self.fleet.platform_minions for run in m.runs], [])
        self.assert_served()


if __name__ == "__main__":
    unittest.main()
