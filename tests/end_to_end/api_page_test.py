"""Runs the shell commands of docs/api.md verbatim."""

import json
import os
import pathlib
import re
import subprocess
import unittest

from end_to_end import SERVICE, Fleet, start_fleet

PAGE = pathlib.Path(__file__).resolve().parents[2] / "docs" / "api.md"


class ApiPage(unittest.TestCase):

    def test_every_command_works_as_pasted(self):
        """Guards against a page whose examples no longer work."""
        commands = re.findall(r"```sh\n(.*?)```", PAGE.read_text(), re.S)
        self.assertGreaterEqual(len(commands), 4)
        with Fleet(SERVICE, name="page") as fleet:
            start_fleet(fleet, entries=1, agents=2)
            environment = {**os.environ, "ENTRY": fleet.entry_url("entry-1")}
            states = []
            for command in commands:
                done = subprocess.run(["bash", "-c", command], env=environment, capture_output=True, text=True,
                                      check=True, timeout=60)
                decoder, text = json.JSONDecoder(), done.stdout
                while text:
                    answer, end = decoder.raw_decode(text)
                    states.append(answer["state"])
                    text = text[end:].lstrip()
            self.assertEqual(states[0], "complete")
            self.assertIn("queued", states[1:2])
            # The job has completed before it is cancelled, so both calls about it report it as complete.
            self.assertEqual(states[2:], ["complete", "complete", "complete"])


if __name__ == "__main__":
    unittest.main(verbosity=2)
