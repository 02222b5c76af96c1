"""Runs bamboowingctl against a real fleet.

Guards against a tool that works with the scripted server of its unit tests but not with the daemon, and against event
logs whose merged timeline is inconsistent or violates a guarantee.
"""

import json
import os
import pathlib
import subprocess
import sys
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "scripts"))
from fleet import BUILD, Fleet, wait_until  # noqa: E402

TASKS = 20


class CommandLine(unittest.TestCase):
    def run_tool(self, fleet, entry, *arguments):
        callers, operators, _ = fleet.entries[entry]
        environment = dict(os.environ, BAMBOOWINGCTL_ENTRY=f"127.0.0.1:{callers}",
                           BAMBOOWINGCTL_OPERATOR=f"127.0.0.1:{operators}",
                           BAMBOOWINGCTL_TOKEN_FILE=str(fleet.path / "operators.token"))
        return subprocess.run([BUILD / "tools/bamboowingctl", *map(str, arguments)], env=environment,
                              capture_output=True, text=True, timeout=60, check=False)

    def json_of(self, fleet, entry, *arguments):
        done = self.run_tool(fleet, entry, *arguments, "--output", "json")
        self.assertEqual(done.returncode, 0, done.stderr)
        return json.loads(done.stdout)

    def test_jobs_lists_and_time_line(self):
        with Fleet("line-defects", name="cli") as fleet:
            fleet.start_store()
            fleet.start_entry("entry-1")
            fleet.start_entry("entry-2", fleet.domains[1])
            for name in ("agent-1", "agent-2"):
                fleet.start_agent(name)
            job = fleet.path / "job.json"
            job.write_text(json.dumps({
                "team": "field-crews", "service": "line-defects", "deadline_ms": 20000,
                "tasks": [{"payload": json.dumps({"work_ms": 20 + i})} for i in range(TASKS)]}))
            for entry in fleet.entries:
                for number in range(3):
                    answer = self.json_of(fleet, entry, "job", "submit", job, "--job-id", f"{entry}-{number}")
                    self.assertEqual(answer["state"], "complete")
                    self.assertEqual(len(answer["results"]), TASKS)
            self.assertEqual(self.run_tool(fleet, "entry-1", "job", "status", "no-such-job").returncode, 9)
            self.assertEqual(len(self.json_of(fleet, "entry-1", "instance", "list")["instances"]), 4)
            self.assertEqual(self.run_tool(fleet, "entry-1", "metrics").returncode, 0)
            logs = [fleet.path / f"{name}.events" for name in ("entry-1", "entry-2", "agent-1", "agent-2")]

            def recorded(kind):
                return sum(log.read_text().count(f'"event":"{kind}"') for log in logs)

            # Both the agent and the shard leader record the answer of each task; event logs are written asynchronously.
            wait_until(lambda: recorded("call_answered") == 6 and recorded("task_answered") == 2 * 6 * TASKS,
                       "writing of the event logs")
            merged = self.json_of(fleet, "entry-1", "timeline", *logs, "--check")
            self.assertEqual(merged["contradictions"], [])
            self.assertEqual(merged["check"]["violations"], [])
            self.assertEqual(merged["check"]["missing_events"], 0)
            self.assertEqual(merged["check"]["checked"]["starts"], 6 * TASKS)


if __name__ == "__main__":
    unittest.main()
