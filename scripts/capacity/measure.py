"""Measures how the cost of entries and agents grows, on small fleets on 127.0.0.1.

Writes the raw figures to a CSV and prints each slope with its spread. Fails when a fit is poor.
"""

import argparse
import csv
import os
import pathlib
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

import fit  # noqa: E402
from fleet import Fleet, http  # noqa: E402

WINDOW_S = 8.0
SETTLE_S = 3.0
TASKS_PER_JOB = 10
WORK_MS = 20
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")

# What is fitted: name, unit, series of runs, role, and the column on the x axis.
SLOPES = (
    ("entry_cpu_per_session", "core", "sessions", "entry", "cpu"),
    ("entry_memory_per_session", "byte", "sessions", "entry", "memory"),
    ("entry_bytes_per_session", "byte/s", "sessions", "entry", "bytes"),
    ("entry_cpu_per_task", "core s", "tasks", "entry", "cpu"),
    ("entry_bytes_per_task", "byte", "tasks", "entry", "bytes"),
    ("agent_cpu_per_task", "core s", "tasks", "agent", "cpu"),
    ("agent_bytes_per_task", "byte", "tasks", "agent", "bytes"),
    ("agent_bytes_per_entry", "byte/s", "entries", "agent", "bytes"),
    ("store_calls_per_entry", "call/s", "entries", "store", "calls"),
    ("entry_memory_per_waiting_task", "byte", "waiting", "entry", "memory"),
)


def processor_seconds(pid):
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS


def memory_bytes(pid):
    return int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_BYTES


def metric(url, name):
    """Sum of a metric over its labels; None when the process does not publish it."""
    status, text = http("GET", f"{url}/metrics", timeout=5)
    values = [float(line.rsplit(" ", 1)[1]) for line in str(text).splitlines()
              if line.startswith(name) and line[len(name)] in " {"]
    return sum(values) if status == 200 and values else None


def urls(fleet):
    entries = [("entry", name, fleet.entry_url(name)) for name in fleet.entries]
    agents = [("agent", name, f"http://127.0.0.1:{port}") for name, port in fleet.agents.items()]
    return entries + agents


def snapshot(fleet):
    """Counters of every process at this moment."""
    taken = {}
    for role, name, url in urls(fleet):
        pid = fleet.processes[name].pid
        taken[name] = (role, time.monotonic(), processor_seconds(pid), memory_bytes(pid),
                       metric(url, "bamboowing_control_bytes_total"))
    return taken


def store_calls(fleet):
    stats = http("GET", f"http://127.0.0.1:{fleet.kv_port}/v1/stats")[1]
    return sum(stats["calls"].values())


def tasks_run(fleet):
    """Tasks that each agent's minion has run since its start."""
    return {name: fleet.minion_stats(name)["runs"] for name in fleet.minions}


def measure(fleet, series, x, load=None):
    """One window: rows (series, x, role, process, quantity, value) for every process."""
    stop = threading.Event()
    worker = threading.Thread(target=load, args=(stop,)) if load else None
    if worker:
        worker.start()
    time.sleep(SETTLE_S)
    before, calls, runs, begin = snapshot(fleet), store_calls(fleet), tasks_run(fleet), time.monotonic()
    time.sleep(WINDOW_S)
    after, calls_after, runs_after, end = snapshot(fleet), store_calls(fleet), tasks_run(fleet), time.monotonic()
    if worker:
        stop.set()
        worker.join()
    rates = {name: (runs_after[name] - runs[name]) / (end - begin) for name in runs}
    if series == "tasks":
        x = sum(rates.values())
    rows = [(series, x, "store", "store", "calls", (calls_after - calls) / (end - begin))]
    for name, (role, at, cpu, _, sent) in before.items():
        _, at_after, cpu_after, memory, sent_after = after[name]
        own_x = rates[name] if role == "agent" and series == "tasks" else x
        rows.append((series, own_x, role, name, "cpu", (cpu_after - cpu) / (at_after - at)))
        rows.append((series, own_x, role, name, "memory", memory))
        if sent is not None:
            rows.append((series, own_x, role, name, "bytes", (sent_after - sent) / (at_after - at)))
    return rows


def open_fleet(entries, agents):
    fleet = Fleet(name="capacity")
    fleet.start_store()
    for i in range(entries):
        fleet.start_entry(f"entry-{i + 1}")
    for i in range(agents):
        fleet.start_agent(f"agent-{i + 1}")
    return fleet


def submit_job(fleet, job_id, tasks, work_ms):
    body = {"job_id": job_id, "team": "capacity", "service": fleet.service, "deadline_ms": 600000,
            "tasks": [{"payload": f'{{"work_ms":{work_ms}}}', "declared_ms": work_ms}] * tasks}
    return http("POST", f"{fleet.entry_url('entry-1')}/v1/jobs?wait=false", body)


def load_at(fleet, tasks_per_second):
    def run(stop):
        period, due, number = TASKS_PER_JOB / tasks_per_second, time.monotonic(), 0
        while not stop.is_set():
            submit_job(fleet, f"load-{tasks_per_second}-{number}", TASKS_PER_JOB, WORK_MS)
            number += 1
            due += period
            time.sleep(max(0.0, due - time.monotonic()))
    return run


def run_sessions(rows):
    for agents in (10, 30, 100):
        with open_fleet(1, agents) as fleet:
            rows += measure(fleet, "sessions", agents)


def run_entries(rows):
    for entries in (1, 2, 4):
        with open_fleet(entries, 10) as fleet:
            rows += measure(fleet, "entries", entries)


def run_tasks(rows):
    with open_fleet(1, 10) as fleet:
        for rate in (50, 150, 400):
            rows += measure(fleet, "tasks", rate, load_at(fleet, rate))


def run_waiting(rows):
    with open_fleet(1, 1) as fleet:
        # A target that never answers keeps the queue full, and short declared times keep admission control out of the way.
        http("POST", f"http://127.0.0.1:{fleet.minions['agent-1']}/fault", {"mode": "silent"})
        queued = 0
        for target in (1800, 5400, 16200):
            while queued < target:
                status, answer = submit_job(fleet, f"waiting-{queued}", 180, WORK_MS)
                if status != 202:
                    raise RuntimeError(f"a job was refused: {status} {answer}")
                queued += 180
            rows += measure(fleet, "waiting", queued)


RUNS = {"sessions": run_sessions, "entries": run_entries, "tasks": run_tasks, "waiting": run_waiting}


def read_rows(path):
    with open(path, newline="") as file:
        return [(r["series"], float(r["x"]), r["role"], r["process"], r["quantity"], float(r["value"]))
                for r in csv.DictReader(file)]


def write_rows(path, rows):
    with open(path, "w", newline="") as file:
        writer = csv.writer(file, lineterminator="\n")
        writer.writerow(("series", "x", "role", "process", "quantity", "value"))
        writer.writerows((*row[:1], round(row[1], 3), *row[2:5], round(row[5], 6)) for row in rows)


def slopes(rows):
    """Returns {name: (unit, line)} for every slope that has points at three sizes or more."""
    found = {}
    for name, unit, series, role, quantity in SLOPES:
        points = [(r[1], r[5]) for r in rows if (r[0], r[2], r[4]) == (series, role, quantity)]
        if len({x for x, _ in points}) >= 3:
            found[name] = (unit, fit.fit_line(points))
    return found


def report(rows):
    """Prints the slopes; returns the number of poor fits."""
    poor = 0
    for name, (unit, line) in slopes(rows).items():
        bad = fit.is_poor(line)
        poor += bad
        print(f"{name}: {line.slope:.4g} +- {line.slope_error:.2g} {unit}, at 0: {line.intercept:.4g}, "
              f"R2 {line.r_squared:.3f}, {line.points} points{', POOR FIT' if bad else ''}")
    return poor


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--csv", required=True, help="file for the raw figures")
    parser.add_argument("--series", action="append", choices=sorted(RUNS), help="run only these; default all")
    parser.add_argument("--report", action="store_true", help="measure nothing, report on the file")
    arguments = parser.parse_args()
    if not arguments.report:
        rows = []
        for series in arguments.series or RUNS:
            print(f"measuring {series}", flush=True)
            RUNS[series](rows)
            write_rows(arguments.csv, rows)
    return 1 if report(read_rows(arguments.csv)) else 0


if __name__ == "__main__":
    sys.exit(main())
