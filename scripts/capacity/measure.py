"""Measures how the cost of each role grows with its load, on one machine with stand-in minions and store.

Writes docs/capacity/raw.csv (every reading) and docs/capacity/slopes.json (fitted slopes with their spread), plots
docs/capacity/*.svg with gnuplot, and fails when a fit is poor. scripts/capacity-page computes docs/CAPACITY.md from it.
"""

import csv
import json
import os
import pathlib
import subprocess
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from fleet import BUILD, ROOT, Fleet, http, wait_until  # noqa: E402

from fit import fit_line, is_poor  # noqa: E402

OUT = ROOT / "docs" / "capacity"
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
IDLE_S = 10.0
SESSIONS = (10, 30, 60, 100)
STARTS = (3600, 7200, 14400, 28800)
WAITING_JOBS = (10, 100, 300, 1000)
ENTRIES = (1, 2, 4)
TASKS_PER_JOB = 180
RAW = []


def cpu_s(pid):
    """Returns the user and system CPU time of a process in seconds."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS


def rss_bytes(pid):
    return int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_BYTES


def io_bytes(pid):
    """Returns the bytes of read() and write() calls, which are those of the RPC connections; HTTP uses other calls."""
    fields = dict(line.split(": ") for line in pathlib.Path(f"/proc/{pid}/io").read_text().splitlines())
    return int(fields["rchar"]) + int(fields["wchar"])


def pid_of(fleet, name):
    return fleet.processes[name].pid


def metric(fleet, entry, name):
    """Returns the sum over all series whose line starts with `name`."""
    text = http("GET", fleet.entry_url(entry) + "/metrics")[1]
    return sum(float(line.rsplit(" ", 1)[1]) for line in text.splitlines() if line.startswith(name))


def record_reading(series, x, y):
    RAW.append((series, x, y))
    print(f"  {series}: {x} -> {y:.6g}", flush=True)


def start(fleet, entries, agents):
    fleet.start_store()
    for i in range(entries):
        fleet.start_entry(f"entry-{i + 1}")
    for i in range(agents):
        fleet.start_agent(f"agent-{i + 1}")
    wait_until(lambda: max(serving(fleet, entry) for entry in fleet.entries) == agents, "attachment of all agents")


def serving(fleet, entry):
    answer = http("GET", fleet.operator_url(entry) + "/operator/v1/targets",
                  headers={"Authorization": "Bearer fleet-token"})
    return sum(1 for target in answer[1]["targets"] if target["state"] == "serving") if answer[0] == 200 else 0


def run_jobs(url, prefix, count, wait, work_ms):
    body = {"team": "t", "service": "line-defects", "deadline_ms": 600000,
            "tasks": [{"payload": json.dumps({"work_ms": work_ms, "n": i}), "declared_ms": work_ms}
                      for i in range(TASKS_PER_JOB)]}
    refused = 0
    for i in range(count):
        status, _ = http("POST", f"{url}/v1/jobs{'' if wait else '?wait=false'}", {**body, "job_id": f"{prefix}-{i}"})
        refused += status not in (200, 202)
    return refused


def measure_sessions():
    """Cost of idle sessions at the shard leader and at an agent."""
    for count in SESSIONS:
        with Fleet("line-defects", ("hobart",), "sessions", events=False) as fleet:
            start(fleet, 1, count)
            entry, agent = pid_of(fleet, "entry-1"), pid_of(fleet, "agent-1")
            heartbeats = metric(fleet, "entry-1", 'bamboowing_messages_wasted_total{cause="heartbeat')
            before = cpu_s(entry), io_bytes(entry), cpu_s(agent), io_bytes(agent)
            time.sleep(IDLE_S)
            after = cpu_s(entry), io_bytes(entry), cpu_s(agent), io_bytes(agent)
            rates = [(b - a) / IDLE_S for a, b in zip(before, after)]
            heartbeats = metric(fleet, "entry-1", 'bamboowing_messages_wasted_total{cause="heartbeat') - heartbeats
            record_reading("entry_idle_cpu", count, rates[0])
            record_reading("entry_idle_bytes_per_s", count, rates[1])
            record_reading("entry_idle_messages_per_s", count, heartbeats / IDLE_S)
            record_reading("entry_rss_by_sessions", count, rss_bytes(entry))
            record_reading("agent_idle_cpu", count, rates[2])
            record_reading("agent_idle_bytes_per_s", count, rates[3])
            record_reading("agent_rss", count, rss_bytes(agent))


def measure_starts():
    """CPU time and bytes for each task start, at the shard leader and over all agents."""
    with Fleet("line-defects", ("hobart",), "starts", events=False) as fleet:
        start(fleet, 1, 10)
        entry = pid_of(fleet, "entry-1")
        agents = [pid_of(fleet, name) for name in fleet.agents]
        for number, starts in enumerate(STARTS):
            before = cpu_s(entry), sum(map(cpu_s, agents)), io_bytes(entry)
            refused = run_jobs(fleet.entry_url("entry-1"), f"s{number}", starts // TASKS_PER_JOB, True, 5)
            if refused:
                raise RuntimeError(f"{refused} jobs were not answered with 200")
            after = cpu_s(entry), sum(map(cpu_s, agents)), io_bytes(entry)
            record_reading("entry_cpu_by_starts", starts, after[0] - before[0])
            record_reading("agent_cpu_by_starts", starts, after[1] - before[1])
            record_reading("entry_rpc_bytes_by_starts", starts, after[2] - before[2])


def measure_waiting():
    """Memory of the shard leader by waiting tasks."""
    for jobs in WAITING_JOBS:
        with Fleet("line-defects", ("hobart",), "waiting", events=False) as fleet:
            start(fleet, 1, 2)
            entry = pid_of(fleet, "entry-1")
            refused = run_jobs(fleet.entry_url("entry-1"), "w", jobs, False, 2)
            depth = metric(fleet, "entry-1", "bamboowing_queue_depth_tasks")
            print(f"  {jobs} jobs sent, {refused} refused, {depth:.0f} tasks waiting", flush=True)
            record_reading("entry_rss_by_tasks", jobs * TASKS_PER_JOB, rss_bytes(entry))


def store_calls(fleet):
    return sum(http("GET", f"http://127.0.0.1:{fleet.kv_port}/v1/stats")[1]["calls"].values())


def measure_store():
    """Calls to the key-value service by number of entries."""
    for count in ENTRIES:
        with Fleet("line-defects", ("hobart",), "store", events=False) as fleet:
            start(fleet, count, 2)
            before = store_calls(fleet)
            time.sleep(IDLE_S)
            record_reading("store_calls_per_s", count, (store_calls(fleet) - before) / IDLE_S)


def measure_decisions():
    """Cost of a dispatch decision without processes or network, up to the full size."""
    done = subprocess.run([BUILD / "benchmark/decision_cost", "--benchmark_format=json", "--benchmark_filter=StartOneTask"],
                          stdout=subprocess.PIPE, stderr=subprocess.DEVNULL, check=True)
    for run in json.loads(done.stdout)["benchmarks"]:
        name = run["name"].split("/", 1)[1]
        record_reading("decision_ns", name, run["cpu_time"])


# Series that are fitted with a line over the load; the others are reported as averages.
FITTED = ("entry_rss_by_sessions", "entry_cpu_by_starts", "agent_cpu_by_starts", "entry_rpc_bytes_by_starts",
          "entry_rss_by_tasks", "store_calls_per_s")
AVERAGED = ("entry_idle_cpu", "entry_idle_bytes_per_s", "entry_idle_messages_per_s", "agent_idle_cpu",
          "agent_idle_bytes_per_s", "agent_rss")


def series_points(name):
    return [(x, y) for series, x, y in RAW if series == name]


def summarise():
    summary, poor_fits = {}, []
    for name in FITTED:
        line = fit_line(series_points(name))
        summary[name] = {"slope": line.slope, "error": line.slope_error, "intercept": line.intercept,
                         "r2": line.r_squared}
        print(f"{name}: slope {line.slope:.6g} +- {line.slope_error:.2g}, intercept {line.intercept:.6g}, "
              f"R2 {line.r_squared:.4f}")
        if is_poor(line):
            poor_fits.append(name)
    for name in AVERAGED:
        values = [y for _, y in series_points(name)]
        largest = max(series_points(name))
        summary[name] = {"mean": sum(values) / len(values), "low": min(values), "high": max(values),
                         "at_largest": largest[1], "largest": largest[0]}
        print(f"{name}: mean {summary[name]['mean']:.6g}, {min(values):.6g} to {max(values):.6g}")
    summary["decision_ns"] = dict(series_points("decision_ns"))
    return summary, poor_fits


def plot(name, xlabel, ylabel):
    points = "\n".join(f"{x} {y}" for x, y in sorted(series_points(name)))
    line = fit_line(series_points(name))
    script = (f"set terminal svg size 560,340 font 'sans,12'\nset output '{OUT / (name + '.svg')}'\nset key left top\n"
              f"set xlabel '{xlabel}'\nset ylabel '{ylabel}'\nset yrange [0:*]\nset grid\n$data << EOD\n{points}\nEOD\n"
              f"plot $data with points pt 7 title 'measured', {line.intercept} + {line.slope} * x title 'fit'\n")
    subprocess.run(["gnuplot"], input=script.encode(), check=True)


def main():
    OUT.mkdir(parents=True, exist_ok=True)
    for step in (measure_decisions, measure_sessions, measure_starts, measure_waiting, measure_store):
        print(step.__doc__.splitlines()[0], flush=True)
        step()
    with open(OUT / "raw.csv", "w", newline="") as file:
        writer = csv.writer(file)
        writer.writerow(("series", "x", "y"))
        writer.writerows(RAW)
    summary, poor_fits = summarise()
    (OUT / "slopes.json").write_text(json.dumps(summary, indent=1) + "\n")
    plot("entry_cpu_by_starts", "task starts", "processor seconds of the home")
    plot("entry_rss_by_tasks", "tasks submitted and waiting", "resident bytes of the home")
    plot("store_calls_per_s", "entries", "store calls a second")
    if poor_fits:
        print("poor fits: " + ", ".join(poor_fits))
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
