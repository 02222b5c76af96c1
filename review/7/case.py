"""A client cancels a job that another entry than its own holds, since a broken connection made it send the job again."""

import pathlib
import socket
import struct
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from deployment_2 import QUEUE, TROUBLE, CannotRun, chain, run_case, wait_until  # noqa: E402

CANCEL_S = 3.0  # bound cancel_ms
ACK_S = 4.0  # bound ack_timeout_ms
CALM_S = 3.5  # longer than contact_ms: after it the machines are in touch again
RESEND_S = 1.3  # bound retransmit_ms
JOB = "7a00000000000001"
ZERO_LINGER = struct.pack("ii", 1, 0)  # close() sends a reset


def reset(connection, record, node):
    record.write(f"network: the connection of the client to {node} is reset")
    connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, ZERO_LINGER)
    connection.sock.shutdown(socket.SHUT_RDWR)
    connection.close()


def case(deployment, record):
    own, other = "frontend-1", "frontend-2"  # the balancer's choice for the client, and for a retry
    path = QUEUE + JOB
    body = chain(steps=18)
    answer, connection = deployment.send(own, "POST", path, body)
    wait_until(lambda: deployment.runs_of(JOB), "the first task", 5)
    time.sleep(0.5)
    if TROUBLE:
        reset(connection, record, own)
        time.sleep(RESEND_S)
        answer, connection = deployment.send(other, "POST", path, body, who="client, again")
    time.sleep(CALM_S)
    if answer.done.is_set():
        raise CannotRun("the job ended before the cancel")
    # The first attempt goes to the balancer's choice for the client, later ones to other entries.
    sent = time.monotonic()
    cancel = deployment.call(own, "DELETE", path)
    if cancel.status not in (200, 410):
        raise CannotRun("the cancel was not acknowledged")
    # If the 410 does not count as an acknowledgement, the cancel holds once the client has waited for one.
    acknowledged = cancel.at if cancel.status == 200 else sent + ACK_S
    limit = acknowledged + CANCEL_S
    while time.monotonic() < limit + 3:
        time.sleep(0.1)
    if answer.status is None:
        record.write("the job's submission is not answered yet")
    connection.close()
    time.sleep(0.5)
    deployment.record_runs(JOB)
    started = [run for run in deployment.runs_of(JOB) if run[0] > limit]
    if not started:
        return ""
    return (f"UNASKED: {len(started)} tasks of the cancelled job started later than cancel_ms after its cancelling was "
            f"acknowledged ({cancel.status}) and ack_timeout_ms had passed, the last {started[-1][0] - cancel.at:.1f} s "
            f"after the acknowledgement")


if __name__ == "__main__":
    sys.exit(run_case(pathlib.Path(__file__).parent, case))
