"""A client cancels its job after a front machine has been added, so that its new connections go to that machine."""

import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from deployment_2 import QUEUE, TROUBLE, CannotRun, chain, run_case, wait_until  # noqa: E402

CONTACT_S = 3.0  # bound contact_ms
CANCEL_S = 3.0  # bound cancel_ms
ACK_S = 4.0  # bound ack_timeout_ms
JOB = "7a00000000000001"


def case(deployment, record):
    old, new = "frontend-1", "frontend-4"  # of the same zone
    answer, connection = deployment.send(old, "POST", QUEUE + JOB, chain(steps=20))
    wait_until(lambda: deployment.runs_of(JOB), "the first task", 5)
    target = old
    if TROUBLE:
        deployment.fronts[new] = "127.0.0.24"
        deployment.start(new)
        wait_until(lambda: deployment.is_ready(new), f"readiness of {new}", 8)
        record.write(f"platform: {new} is in rotation, and the client's new connections go to it")
        target = new
    time.sleep(CONTACT_S + 0.5)  # all machines are in touch
    if answer.done.is_set():
        raise CannotRun("the job ended before it was cancelled")
    sent = time.monotonic()
    acknowledged = None
    while time.monotonic() < sent + ACK_S and not acknowledged:
        cancel = deployment.call(target, "DELETE", QUEUE + JOB)
        acknowledged = cancel.at if cancel.status in (200, 410) else None
    limit = (acknowledged or sent + ACK_S) + CANCEL_S
    time.sleep(max(0.0, limit + 3 - time.monotonic()))
    connection.close()
    time.sleep(0.5)
    deployment.record_runs(JOB)
    late = [run for run in deployment.runs_of(JOB) if run[0] > limit]
    if not late:
        return ""
    return (f"UNASKED: {len(late)} tasks of the cancelled job started later than cancel_ms after its cancelling "
            f"{'was acknowledged' if acknowledged else 'had waited for its acknowledgement'}, the last "
            f"{late[-1][0] - (acknowledged or sent):.1f} s after that")


if __name__ == "__main__":
    sys.exit(run_case(pathlib.Path(__file__).parent, case))
