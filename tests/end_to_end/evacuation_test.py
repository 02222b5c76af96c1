"""Tests the evacuation of failure domains with the platform daemons as processes."""

import pathlib
import sys
import threading
import time
import unittest

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "scripts"))
sys.path.insert(0, str(ROOT / "standins"))

from end_to_end import save_logs_on_failure, skip_if_known_red  # noqa: E402
from fleet import http as call, wait_until  # noqa: E402
from platform_test import QUEUE, PlatformFleet, job  # noqa: E402

# Time from the operators' request until no task is started. The platform's bound is 5 s.
NOTICED_S = 5.0
AGENTS = 4


class EvacuationFleet(PlatformFleet):
    """Two agents in each of two failure domains."""

    def failure_domain(self, agent):
        return "hobart" if agent in ("agent-1", "agent-2") else "burnie"

    by_variable = False  # whether the variable of the deploy file enables evacuations, in place of the settings

    def more_settings(self):
        return "" if self.by_variable else "  evacuation: true\n"

    def environment(self, name):
        return (super().environment(name) or {}) | ({"BAMBOOWING_EVACUATION_LIMIT_MS": "5000"} if self.by_variable else {})


class EvacuationFleetByVariable(EvacuationFleet):
    by_variable = True


class Evacuation(unittest.TestCase):
    def setUp(self):
        skip_if_known_red(self)
        self.jobs = 0
        self.statuses = []
        self.stopping = threading.Event()

    def start_fleet(self, fleet_type):
        self.fleet = fleet_type(agents=AGENTS)
        self.addCleanup(self.fleet.stop)
        self.addCleanup(save_logs_on_failure, self, self.fleet)

    def post(self, entry="entry-1", **options):
        self.jobs += 1
        return self.fleet.ask(entry, "POST", QUEUE + f"{self.jobs:016x}", job(count=4, **options))

    def start_load(self):
        def submit():
            while not self.stopping.is_set():
                self.statuses.append(self.post(entry=f"entry-{1 + self.jobs % 2}")[0])

        thread = threading.Thread(target=submit)
        thread.start()
        self.addCleanup(thread.join)
        self.addCleanup(self.stopping.set)

    def starts_in_hobart(self, since):
        return [r for m in self.fleet.platform_minions[:2] for r in list(m.runs) if r[2] > since]

    def evacuated_domains(self, entry):
        _, text = call("GET", f"http://{self.fleet.metrics[entry]}/metrics", timeout=2)
        values = [line.split()[1] for line in text.splitlines()
                  if line.startswith("bamboowing_evacuated_failure_domains ")]
        return int(float(values[0])) if values else None

    def test_no_task_starts_until_the_evacuation_ends(self):
        """Guards against starts in an evacuated failure domain, also by a restarted agent while the store is down or has
        discarded its history, and against a failure domain that stays unused when the evacuation has ended."""
        self.start_fleet(EvacuationFleet)
        self.start_load()
        wait_until(lambda: self.starts_in_hobart(0), "a start in each failure domain")
        self.fleet.kv.evacuate("hobart")
        time.sleep(NOTICED_S)
        since = time.monotonic()
        self.fleet.kv.discard_history()
        time.sleep(1)
        self.fleet.kv.down = True
        self.fleet.kill("agent-1")
        self.fleet.launch_agent("agent-1")
        time.sleep(3)
        self.fleet.kv.down = False
        time.sleep(1)
        self.assertEqual(self.starts_in_hobart(since), [])
        self.fleet.kv.end_evacuation("hobart")
        wait_until(lambda: self.starts_in_hobart(since), "a start after the evacuation")
        self.assertIn(200, self.statuses)

    def test_evacuation_of_all_domains_refuses_jobs(self):
        """Guards against jobs that wait until their deadline although no target may serve them, and against a variable of
        the deploy file that does not enable evacuations."""
        self.start_fleet(EvacuationFleetByVariable)
        self.fleet.kv.evacuate("hobart")
        self.fleet.kv.evacuate("burnie")
        for entry in ("entry-1", "entry-2"):
            wait_until(lambda entry=entry: self.evacuated_domains(entry) == 2, f"the evacuation at {entry}")
        status, body = self.post()
        self.assertIn(status, (429, 503))
        self.assertEqual(body["not_run"], "yes")
        self.assertTrue(self.fleet.ready("entry-1"))
        self.assertEqual([r for m in self.fleet.platform_minions for r in m.runs], [])
        self.fleet.kv.end_evacuation("burnie")
        wait_until(lambda: self.post()[0] == 200, "a served job")


if __name__ == "__main__":
    unittest.main()
