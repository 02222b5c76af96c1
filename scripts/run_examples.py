"""Runs the example jobs of both deployments on a local fleet; prints response times and messages for each task."""

import concurrent.futures
import json
import sys
import time

from fleet import ROOT, Fleet, http

AGENTS = 10
SPEEDS = (1.0, 1.0, 1.5, 2.0, 4.0)
DEPLOYMENTS = (
    ("derwent", "line-defects", ("hobart", "launceston", "burnie", "queenstown")),
    ("gulfbright", "bench-requests", ("galveston", "corpus-christi", "port-arthur")),
)


def start(fleet):
    fleet.start_store()
    for i in range(2):
        fleet.start_entry(f"entry-{i + 1}", fleet.domains[i % len(fleet.domains)])
    for i in range(AGENTS):
        fleet.start_agent(f"agent-{i + 1}", fleet.domains[i % len(fleet.domains)], SPEEDS[i % len(SPEEDS)])


def submit(url, path, job):
    status, answer = http("POST", f"{url}{path}", job)
    return path, job, status, answer


def run(name, service, domains):
    jobs = json.loads((ROOT / "examples" / f"{name}-jobs.json").read_text())
    print(f"{name}: starting the store, 2 entries and {AGENTS} agents with minions of different speeds", flush=True)
    failed = 0
    with Fleet(service, domains, name) as fleet:
        start(fleet)
        urls = [fleet.entry_url(entry) for entry in fleet.entries]
        with concurrent.futures.ThreadPoolExecutor(len(jobs)) as pool:
            began = time.monotonic()
            running = [pool.submit(submit, urls[i % len(urls)], item["path"], item["body"])
                       for i, item in enumerate(jobs)]
            while not all(one.done() for one in running):
                done = sum(one.done() for one in running)
                print(f"  {time.monotonic() - began:5.1f} s: {done} of {len(running)} answered", flush=True)
                concurrent.futures.wait(running, timeout=1.0)
        for one in running:
            path, job, status, answer = one.result()
            if status != 200:
                failed += 1
                print(f"  {path} {job.get('job_id', '')}: HTTP {status} {answer}")
                continue
            tasks = answer["tasks_total"]
            ideal = max(answer["ideal_ms"], 0.001)
            first = (answer.get("results") or [answer.get("result")])[0]
            print(f"  {path} {answer['job_id']}: complete, {tasks} tasks, response {answer['response_ms']:.1f} ms = "
                  f"{answer['response_ms'] / ideal:.2f} x longest task, {answer['messages'] / tasks:.2f} messages a task, "
                  f"first result {str(first)[:60]}")
    return failed


def main():
    failed = sum(run(*deployment) for deployment in DEPLOYMENTS)
    print("all example jobs were answered" if failed == 0 else f"{failed} example jobs failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
