"""A worker leaves a start order unanswered and carries it out late; meanwhile all processes of the system are killed once."""

import json
import pathlib
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from harness3 import (BOUNDS, BROKEN, HEARTBEAT_MS, HELD, QUEUE, TROUBLE, CannotRun, Deployment, Minion,  # noqa: E402
                      job, play, signal)
from platform_standin import MinionRequest  # noqa: E402

JOB = "5c0e7a21d94b36f8"
WORK_MS = 900  # of a task of clearance-calc
KILL_AFTER_S = 0.02  # from the order until the kill
LATE_S = 2.45  # from the order until it is carried out; the pages: 2 to 12 s
DOWN_S = 1.5  # from the kill until the processes start again, as in the site file
LAST_HEARTBEAT_S = 0.05  # the late worker's last heartbeat before the agents are back comes so long before
OTHERS_S = 0.3  # the heartbeats of the other workers come so long after its own
RETRANSMIT_S = BOUNDS["retransmit_ms"] / 1000


class LateMinion(Minion):
    """Sends its heartbeats at fixed times. The first worker that gets a start of JOB leaves the orders for the first attempt of
    that task unanswered, and carries them out LATE_S later, with the time that they grant counted from then."""

    beat_base = None  # time of one heartbeat; the others follow each HEARTBEAT_MS
    ordered = threading.Event()  # the first order has come
    late_at = None  # the minion that leaves orders unanswered
    late_task = None
    choice = threading.Lock()

    def send_heartbeats(self):
        while not self.stopping:
            with self.lock:
                self.seq += 1
                own_id, body = self.id, self.heartbeat()
            self.announce("PUT", own_id, body)
            period = HEARTBEAT_MS / 1000
            base = (LateMinion.beat_base or time.monotonic()) + (0 if self is LateMinion.late_at else OTHERS_S)
            time.sleep(period - (time.monotonic() - base) % period)

    def handle(self, method, path, query, body, headers):
        if TROUBLE and path == "/run-start":
            request = MinionRequest(path, json.loads(body), headers.get("Expected-Instance"), time.monotonic())
            if self.is_left_unanswered(request.fields):
                self.carry_out_late(request)
                LateMinion.ordered.set()
                time.sleep(LATE_S)  # the connection stays open
                return None
        return super().handle(method, path, query, body, headers)

    def is_left_unanswered(self, fields):
        if not fields["task"].startswith(JOB):
            return False
        with LateMinion.choice:
            if LateMinion.late_at is None:
                LateMinion.late_at, LateMinion.late_task = self, fields["task"]
            return LateMinion.late_at is self and LateMinion.late_task == fields["task"] and fields["attempt"] == 1

    def carry_out_late(self, request):
        granted = request.fields["deadline_ms"] - self.clock()

        def execute():
            with self.lock:
                request.fields["deadline_ms"] = self.clock() + granted
                status, body = self.execute(request)
            self.record.add(f"{self.name}: carries out the start of {request.fields['task']} attempt "
                            f"{request.fields['attempt']}, {LATE_S} s late -> {status} {body}")

        self.record.add(f"{self.name}: leaves the start of {request.fields['task']} attempt {request.fields['attempt']} "
                        "unanswered")
        timer = threading.Timer(LATE_S, execute)
        timer.daemon = True
        timer.start()


def submit(deployment, answers):
    """A client: after no response, a broken connection, 502 or 504 it sends the job again, to another entry."""
    body = job(count=4, work_ms=WORK_MS, cpu=3100)
    for attempt in range(6):
        entry = "entry-1" if attempt == 0 else f"entry-{2 + attempt % 3}"
        status, answer = deployment.ask(entry, "POST", QUEUE + JOB, body, deadline_ms=8000, timeout=9)
        answers.append((status, answer))
        if status not in (0, 502, 504):
            return
        time.sleep(RETRANSMIT_S)


def overlaps(runs):
    found = []
    for i, one in enumerate(runs):
        for other in runs[i + 1:]:
            end = one[1][3] or float("inf")
            if one[1][0] == other[1][0] and other[1][2] < end:
                found.append((one, other, min(end, other[1][3] or float("inf")) - other[1][2]))
    return found


def case(record):
    LateMinion.record = record
    LateMinion.beat_base = time.monotonic()
    with Deployment(record, entries=4, agents=4, minion_type=LateMinion, cores=32) as deployment:
        period = HEARTBEAT_MS / 1000
        phase = period - (KILL_AFTER_S + DOWN_S - LAST_HEARTBEAT_S) % period
        time.sleep(period - (time.monotonic() - LateMinion.beat_base - phase) % period)
        answers = []
        client = threading.Thread(target=submit, args=(deployment, answers))
        client.start()
        if TROUBLE:
            if not LateMinion.ordered.wait(3):
                raise CannotRun("no start came")
            time.sleep(KILL_AFTER_S)
            names = deployment.entries() + deployment.agents()
            for name in names:
                deployment.signal(name, signal.SIGKILL)
            time.sleep(DOWN_S)
            for name in names:
                deployment.start(name)
        client.join()
        time.sleep(2)
        runs = sorted(((m.name, run) for m in deployment.minions.values() for run in m.runs if run[0].startswith(JOB)),
                      key=lambda item: item[1][2])
        for minion, run in runs:
            record.add(f"{minion}: ran {run[0]} attempt {run[1]}, ended {run[4]}"
                       + (f" after {run[3] - run[2]:.3f} s" if run[3] else ""), run[2])
        if answers[-1][0] != 200:
            record.add("the client got no answer 200")
        doubled = overlaps(runs)
        for one, other, length in doubled:
            record.add(f"TWICE: {one[1][0]} attempt {one[1][1]} at {one[0]} and attempt {other[1][1]} at {other[0]}, "
                       f"for {length:.3f} s at the same time", other[1][2])
        if doubled:
            return BROKEN, f"{len(doubled)} tasks ran twice at the same time"
        return HELD, "no task ran twice at the same time"


play(pathlib.Path(__file__).resolve().parent, case)
