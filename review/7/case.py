"""All processes are killed; two of the three entries' machines are lost for good, all other machines come back."""

import pathlib
import signal
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from deployment_2 import QUEUE, TROUBLE, CannotRun, run_case  # noqa: E402

LOST = ("frontend-2", "frontend-3")
BEFORE_S = 15.0  # how long requests are sent before the final fault
DOWN_S = 0.5
RECOVERY_S = 12.0  # bound recovery_s
JUDGED_S = 4.0  # how long requests are sent after that; 3 s on the days of the site
REQUEST_INTERVAL_S = 0.1


def job():
    return {"spec": "work_ms=60", "best_effort": True,
            "steps": [{"count": 2, "cpu": 1000, "mem_mb": 64, "estimate_ms": 60}]}


class Clients:
    """Sends a job each REQUEST_INTERVAL_S to the entries that are there, by turns."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.answers = []  # [time of sending, whether it was answered with success]
        self.stopping = False
        threading.Thread(target=self.run, daemon=True).start()

    def run(self):
        number = 0
        while not self.stopping:
            number += 1
            nodes = sorted(self.deployment.fronts)
            entry = [time.monotonic(), False]
            self.answers.append(entry)
            threading.Thread(target=self.one, args=(nodes[number % len(nodes)], f"7a{number:014x}", entry),
                             daemon=True).start()
            time.sleep(REQUEST_INTERVAL_S)

    def one(self, node, job_id, entry):
        try:
            answer = self.deployment.call(node, "POST", QUEUE + job_id, job(), deadline_ms=1500, limit_s=3)
            entry[1] = answer.status == 200
        except OSError as error:
            self.deployment.record.write(f"client: no connection to {node}: {error!r}")

    def served(self, begin, end):
        sent = [entry for entry in self.answers if begin <= entry[0] < end]
        return sum(1 for entry in sent if entry[1]), len(sent)


def case(deployment, record):
    clients = Clients(deployment)
    time.sleep(BEFORE_S)
    killed = time.monotonic()
    for node in list(deployment.processes):
        deployment.signal(node, signal.SIGKILL)
        deployment.processes[node].wait()
    if TROUBLE:
        for node in LOST:
            del deployment.processes[node]
            del deployment.fronts[node]  # clients are not sent there any more
            record.write(f"platform: {node} is removed for good")
    time.sleep(DOWN_S)
    for node in list(deployment.processes):
        deployment.start(node)
    back = time.monotonic()
    time.sleep(RECOVERY_S + JUDGED_S)
    clients.stopping = True
    time.sleep(2)
    served, sent = clients.served(killed - BEFORE_S, killed - 1.5)
    record.write(f"before the final fault: {served} of {sent} requests served")
    if served * 4 < sent:
        raise CannotRun("less than a quarter was served before the final fault")
    first = [sent_at for sent_at, success in clients.answers if success and sent_at > back]
    record.write(f"first success {first[0] - back:.1f} s after the machines were back" if first else "no success after it")
    served, sent = clients.served(back + RECOVERY_S, back + RECOVERY_S + JUDGED_S)
    if served * 4 >= sent:
        return ""
    return f"RECOVER: later than {RECOVERY_S} s after the machines were back, {served} of {sent} requests were served"


if __name__ == "__main__":
    sys.exit(run_case(pathlib.Path(__file__).parent, case))
