#!/usr/bin/env python3
"""Tests scripts/crash-counts on synthetic log lines."""

import importlib.machinery
import importlib.util
import json
import pathlib
import unittest

SCRIPT = pathlib.Path(__file__).resolve().parents[2] / "scripts/crash-counts"
loader = importlib.machinery.SourceFileLoader("crash_counts", str(SCRIPT))
crash_counts = importlib.util.module_from_spec(importlib.util.spec_from_loader(loader.name, loader))
loader.exec_module(crash_counts)


def line(time_ms, event, detail, job="aa"):
    return "   5.2 agent-1 " + json.dumps({"time_ms": time_ms, "event": event, "detail": detail, "job": job}) + "\n"


def lost(time_ms, attempt, reason="connection refused for a poll", job="aa"):
    return line(time_ms, "run_released", f"lost, {reason}: task 0.1 attempt {attempt}, running for 9 ms", job)


def restarted(time_ms, attempt):
    return line(time_ms, "task_restarted", f"task 0.1 attempt {attempt} at agent-2")


TASK = crash_counts.Task("aa", "0.1")


class CrashCounts(unittest.TestCase):
    def test_counts_losses_by_job_and_task(self):
        counts = crash_counts.count([lost(1, 1), lost(5, 2), lost(6, 1, job="bb")])
        self.assertEqual(counts.histogram(), {1: 1, 2: 1})
        self.assertEqual(counts.losses[TASK], [1, 5])

    def test_two_entries_that_restart_a_task_count_together(self):
        # Guards against a count by attempt: a job that is submitted again at another entry begins again with attempt 1.
        self.assertEqual(crash_counts.count([lost(1, 1), lost(5, 1)]).histogram(), {2: 1})

    def test_ends_of_runs_without_a_crash_do_not_count(self):
        # Guards against refused starts, expired leases and stopped runs that are counted as crashes of the target.
        counts = crash_counts.count([
            lost(1, 1, "the target refused the start"),
            lost(2, 2, "its lease expired without a response"),
            line(3, "run_released", "stopped, stopped at the target: task 0.1 attempt 3"),
            line(4, "run_ended", "task 0.1 attempt 1 lost at agent-1 after 9 ms"),
        ])
        self.assertEqual(counts.histogram(), {})

    def test_only_restarts_after_the_third_loss_count_against_the_limit(self):
        lines = [lost(1, 1), restarted(2, 2), lost(3, 2), restarted(4, 3), restarted(9, 4), lost(5, 3), restarted(11, 5)]
        self.assertEqual(crash_counts.count(lines).starts_after_limit(), {TASK: 2})
        self.assertEqual(crash_counts.count(lines[:4]).starts_after_limit(), {})

    def test_lost_and_restarted_targets_are_counted(self):
        counts = crash_counts.count([line(1, "target_lost", "runs 2"), line(2, "target_restarted", "runs 0")])
        self.assertEqual(counts.targets_lost, 2)

    def test_other_lines_are_skipped(self):
        lines = ["what happened\n", '{"time_ms"', '{"time_ms":1}', "   5.0 s poison (deadly)\n", lost(1, 1)]
        self.assertEqual(crash_counts.count(lines).histogram(), {1: 1})


if __name__ == "__main__":
    unittest.main()
