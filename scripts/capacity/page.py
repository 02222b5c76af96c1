"""Computes docs/CAPACITY.md from the measured slopes in docs/capacity/slopes.json and the sweep in sweep.json.

With --check it writes nothing and fails when the page differs from the computed one.
"""

import json
import math
import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parents[2]

PAGE = ROOT / "docs" / "CAPACITY.md"
SLOPES = ROOT / "docs" / "capacity" / "slopes.json"
SWEEP = ROOT / "docs" / "capacity" / "sweep.json"

# The size that the design must support.
WORKERS = 3100
STARTS_PER_S = 190_000
TASKS_PER_JOB = 180
CHANGES_PER_DAY = 8800
REPLACED_PER_DAY = 190
FAILED_PER_DAY = 17
DOMAINS = 17
REGIONS = 5
# Limits of a node for control traffic (cores, bytes, bytes/s), and of the store (calls/s).
LIMIT_CPU = 0.013
LIMIT_MEMORY = 128e6
LIMIT_BYTES = 5000
LIMIT_WRITES = 300
LIMIT_READS = 2000
# Parameters of the design.
ENTRIES = 16
SHARDS = 64
DAY_S = 86400
RETAINED_BYTES = 64 << 20
AGENT_RETAINED_BYTES = 32 << 20
LEASE_S = 3.0
SETTLE_S = 1.2
BUSY_SILENCE_S = 2.0
AGENT_LOSS_S = 5.0
HEARTBEAT_EXCHANGE_BYTES = 1400
HEARTBEAT_BUDGET = 4500
HEARTBEAT_CAP_S = 60.0
CONFIG_BATCH_BYTES = 410
SHARD_RECORD_AGENT_BYTES = 45
WRITES_PER_LEADER_CHANGE = 5


def compare_with_limit(value, limit):
    return "within" if value <= limit else f"**exceeds {value / limit:.1f} times**"


def compute_figures(s):
    """Returns all computed figures by name."""
    f = {}
    f["agents_per_entry"] = WORKERS / ENTRIES
    f["agents_per_shard"] = WORKERS / SHARDS
    f["starts_per_entry"] = STARTS_PER_S / ENTRIES
    f["starts_per_agent"] = STARTS_PER_S / WORKERS
    f["entry_cores"] = s["entry_cpu_by_starts"]["slope"] * f["starts_per_entry"]
    f["agent_cores"] = s["agent_cpu_by_starts"]["slope"] * f["starts_per_agent"]
    f["entry_rpc_mb"] = s["entry_rpc_bytes_by_starts"]["slope"] * f["starts_per_entry"] / 1e6
    f["agent_rpc_kb"] = s["entry_rpc_bytes_by_starts"]["slope"] * f["starts_per_agent"] / 1e3
    f["sessions_all"] = WORKERS
    f["entry_session_mb"] = s["entry_rss_by_sessions"]["slope"] * WORKERS / 1e6
    f["entry_base_mb"] = s["entry_rss_by_sessions"]["intercept"] / 1e6
    f["waiting_tasks"] = f["starts_per_entry"]
    f["entry_tasks_mb"] = s["entry_rss_by_tasks"]["slope"] * f["waiting_tasks"] / 1e6
    f["entry_mb"] = f["entry_base_mb"] + f["entry_session_mb"] + f["entry_tasks_mb"] + RETAINED_BYTES / 1e6
    f["agent_mb"] = s["agent_rss"]["high"] / 1e6
    f["heartbeat_s"] = min(HEARTBEAT_CAP_S, WORKERS * HEARTBEAT_EXCHANGE_BYTES / HEARTBEAT_BUDGET)
    f["entry_idle_bytes"] = WORKERS * HEARTBEAT_EXCHANGE_BYTES / f["heartbeat_s"]
    f["heartbeat_limit_sessions"] = HEARTBEAT_CAP_S * HEARTBEAT_BUDGET / HEARTBEAT_EXCHANGE_BYTES
    f["memory_limit_sessions"] = (LIMIT_MEMORY - f["entry_base_mb"] * 1e6) / s["entry_rss_by_sessions"]["slope"]
    f["decision_us"] = s["decision_ns"]["targets:3100/waiting:1000000/tasks_per_job:34"] / 1e3
    f["agent_idle_bytes"] = ENTRIES * HEARTBEAT_EXCHANGE_BYTES / f["heartbeat_s"]
    f["config_bytes"] = CHANGES_PER_DAY / DAY_S * CONFIG_BATCH_BYTES
    f["config_agent_bytes"] = CHANGES_PER_DAY / DAY_S / WORKERS * ENTRIES * CONFIG_BATCH_BYTES
    per_entry = s["store_calls_per_s"]["slope"]
    f["store_today"] = per_entry * ENTRIES
    f["store_shards"] = ENTRIES * SHARDS * 1.0 + SHARDS * 1.0
    f["record_writes"] = (REPLACED_PER_DAY * 2 + FAILED_PER_DAY) / DAY_S
    f["record_bytes"] = f["agents_per_shard"] * SHARD_RECORD_AGENT_BYTES
    f["config_writes"] = CHANGES_PER_DAY / DAY_S
    f["takeover_s"] = LEASE_S + SETTLE_S
    f["domain_agents"] = WORKERS / DOMAINS
    f["domain_shards"] = SHARDS / DOMAINS
    f["domain_claims"] = f["domain_shards"] * f["agents_per_shard"] * 2
    f["domain_writes"] = f["domain_shards"] * WRITES_PER_LEADER_CHANGE
    f["domain_jobs"] = f["domain_shards"] * STARTS_PER_S / SHARDS / TASKS_PER_JOB * f["takeover_s"]
    return f


def slope_rows(s):
    names = {
        "entry_cpu_by_starts": ("processor time of the leader for each start", 1e6, "us", "3,600 to 28,800 starts"),
        "agent_cpu_by_starts": ("processor time of the agent for each start", 1e6, "us", "3,600 to 28,800 starts"),
        "entry_rpc_bytes_by_starts": ("RPC bytes for each start and its answer", 1, "bytes", "3,600 to 28,800 starts"),
        "entry_rss_by_tasks": ("memory of the leader for each waiting task", 1, "bytes", "1,800 to 180,000 tasks"),
        "entry_rss_by_sessions": ("memory of an entry for each session", 1e-3, "KB", "10 to 100 agents"),
        "store_calls_per_s": ("store calls a second for each entry, one shard", 1, "calls/s", "1, 2, 4 entries"),
    }
    rows = ["| slope | value | standard error | R2 | runs |", "|---|---|---|---|---|"]
    for key, (label, scale, unit, runs) in names.items():
        fit = s[key]
        rows.append(f"| {label} | {fit['slope'] * scale:.1f} {unit} | {fit['error'] * scale:.1f} | {fit['r2']:.4f} | {runs} |")
    return "\n".join(rows)


def level_rows(s):
    names = {
        "entry_idle_cpu": ("idle entry, cores", 1, 4),
        "entry_idle_bytes_per_s": ("idle entry, RPC bytes a second", 1, 0),
        "entry_idle_messages_per_s": ("idle entry, heartbeats a second, both directions", 1, 1),
        "agent_idle_cpu": ("idle agent, cores", 1, 4),
        "agent_idle_bytes_per_s": ("idle agent, RPC bytes a second", 1, 0),
        "agent_rss": ("agent, resident MB", 1e-6, 1),
    }
    rows = ["| level at 10 to 100 agents | mean | lowest | highest |", "|---|---|---|---|"]
    for key, (label, scale, digits) in names.items():
        one = s[key]
        rows.append(f"| {label} | {one['mean'] * scale:.{digits}f} | {one['low'] * scale:.{digits}f} | "
                    f"{one['high'] * scale:.{digits}f} |")
    return "\n".join(rows)


def decision_rows(s):
    rows = ["| targets, waiting tasks, tasks a job | us for each start |", "|---|---|"]
    for name, cost in s["decision_ns"].items():
        sizes = [part.split(":")[1] for part in name.split("/")]
        rows.append(f"| {int(sizes[0]):,}, {int(sizes[1]):,}, {sizes[2]} | {cost / 1e3:.1f} |")
    return "\n".join(rows)


def growth_power(machines, values):
    """Returns the exponent of the power law that fits the values best (least squares of the logarithms)."""
    xs = [math.log(count) for count in machines]
    ys = [math.log(value) for value in values]
    mean_x, mean_y = sum(xs) / len(xs), sum(ys) / len(ys)
    return (sum((x - mean_x) * (y - mean_y) for x, y in zip(xs, ys)) / sum((x - mean_x) ** 2 for x in xs))


def sweep_rows(sweep):
    lines = []
    for row in sweep["rows"]:
        power = growth_power(sweep["machines"], row["busiest"])
        last = row["busiest"][-1]
        projected = last * (WORKERS / sweep["machines"][-1]) ** max(0, power)
        values = " | ".join(f"{a:g}, {b:g}" for a, b in zip(row["middle"], row["busiest"]))
        limit = f"{row['limit']:,}: {compare_with_limit(projected, row['limit'])}" if "limit" in row else ""
        lines.append(f"| {row['role']} | {row['measure']} | {values} | {power:.2f} | {projected:,.0f} | {limit} |")
    return "\n".join(lines)


def render_sweep(sweep):
    sizes = " | ".join(f"{count} machines" for count in sweep["machines"])
    return f"""
## On the platform: growth from a sweep

One day of {sweep["site"]} at several sizes (sources {sweep["sources"]}, journal entry {sweep["journal"]}): mean and busiest
process of a role. The last columns carry the growth of the busiest process on to {WORKERS:,} machines, which was not played;
a power below 0 counts as 0. The sizes above {sweep["machines"][-1]} machines of the sweep were not run. Limits are those of
the smallest machine of the role: 0.09 cores, 120 MB, 20 Mbit/s and 3,075 descriptors for an entry. Processor time is in
percent as the sweep prints it.

| role | measure | {sizes} | power | at {WORKERS:,} | limit |
|---|---|{"---|" * len(sweep["machines"])}---|---|---|
{sweep_rows(sweep)}

The processor time of an entry reaches its limit first. It is spent on the reports of the attached agents and on the starts
of its own jobs: [decisions/wide-fleets.md](decisions/wide-fleets.md).
"""


def render(s):
    f = compute_figures(s)
    return f"""# Capacity

What each role holds, sends and uses at the design size: {WORKERS:,} workers with 5,000 accelerators,
{STARTS_PER_S:,} task starts a second at the peak in jobs of up to {TASKS_PER_JOB} tasks, 52 teams, {REGIONS} regions with
{DOMAINS} failure domains, {CHANGES_PER_DAY:,} configuration changes a day in force within 5 s, {FAILED_PER_DAY} instances that
fail and {REPLACED_PER_DAY} that are replaced a day. The calculation assumes {ENTRIES} entries and {SHARDS} shards, which is
{f['agents_per_shard']:.0f} agents a shard and {f['agents_per_entry']:.0f} in the shards that each entry leads. The *leader* of a
shard is the entry that dispatches its work; the plots call it *home*.

`scripts/capacity-measure` measures the slopes on one machine with stand-ins and writes `docs/capacity/raw.csv` and
`slopes.json`; `scripts/capacity-page` computes this page from them, and CI checks that both agree. The processor
figures vary by a third with the other load of the machine; the counts and bytes do not. Limits for control traffic on a
node: 1.3 % of a core, 128 MB, 5 KB/s; for the store: several hundred writes and about 2,000 reads a second.

## Measured

{slope_rows(s)}

{level_rows(s)}

![processor time of the leader](capacity/entry_cpu_by_starts.svg)
![memory of the leader](capacity/entry_rss_by_tasks.svg)
![store calls](capacity/store_calls_per_s.svg)

The dispatcher alone, with admission, start and answer in each iteration (`build/benchmark/decision_cost`). The target is at
most 2 us, independent of the number of targets and waiting tasks; only the smallest size meets it:

{decision_rows(s)}

RPC bytes are what the process reads and writes on its RPC connections, without the headers of TCP/IP.

## Entry

| what | at the size | limit | mechanism |
|---|---|---|---|
| task starts | {f['starts_per_entry']:,.0f} a second | | the leaders of the shards are spread over the entries |
| processor time for starts | {f['entry_cores']:.2f} cores | the entry's work, not control | one decision thread, batches for each agent |
| RPC for starts and answers | {f['entry_rpc_mb']:.1f} MB/s | work | one session for each agent |
| memory: base | {f['entry_base_mb']:.0f} MB | 128 MB | |
| memory: sessions with all {WORKERS:,} agents | {f['entry_session_mb']:.0f} MB | | every agent attaches to every entry |
| memory: one second of starts waiting | {f['entry_tasks_mb']:.1f} MB | | dispatcher and job table |
| memory: answers retained | {RETAINED_BYTES / 1e6:.0f} MB | | bound of the job table, oldest dropped first |
| memory in all | {f['entry_mb']:.0f} MB | 128 MB: {compare_with_limit(f['entry_mb'] * 1e6, LIMIT_MEMORY)} | |
| idle heartbeats | every {f['heartbeat_s']:.0f} s, {f['entry_idle_bytes'] / 1e3:.1f} KB/s | 5 KB/s: {compare_with_limit(f['entry_idle_bytes'], LIMIT_BYTES)} | interval grows with the sessions up to 60 s |
| configuration to agents, if each change drains one target | {f['config_bytes']:.0f} bytes/s | 5 KB/s: {compare_with_limit(f['config_bytes'], LIMIT_BYTES)} | a batch only to agents whose drain flag changes; the version is sent with the next batch |

## Agent

| what | at the size | limit | mechanism |
|---|---|---|---|
| task starts | {f['starts_per_agent']:.0f} a second | | |
| processor time | {100 * f['agent_cores']:.2f} % of a core | 1.3 %: {compare_with_limit(f['agent_cores'], LIMIT_CPU)} | HTTP call to the target, ledger, batches |
| RPC | {f['agent_rpc_kb']:.0f} KB/s with the tasks' own data | work | |
| idle heartbeats with {ENTRIES} entries | {f['agent_idle_bytes']:.0f} bytes/s | 5 KB/s: {compare_with_limit(f['agent_idle_bytes'], LIMIT_BYTES)} | |
| configuration | {f['config_agent_bytes']:.2f} bytes/s | 5 KB/s: {compare_with_limit(f['config_agent_bytes'], LIMIT_BYTES)} | version and drain flag only |
| memory | {f['agent_mb']:.0f} MB, and at most {AGENT_RETAINED_BYTES / 1e6:.0f} MB of retained answers | 128 MB: {compare_with_limit(f['agent_mb'] * 1e6 + AGENT_RETAINED_BYTES, LIMIT_MEMORY)} | bounded ledger |

## Key-value service

| what | at the size | limit | mechanism |
|---|---|---|---|
| calls with one shard | {f['store_today']:.0f} a second | | registration, watch, lease renewal |
| calls with {SHARDS} shards | {f['store_shards']:,.0f} a second | 2,000 reads: {compare_with_limit(f['store_shards'], LIMIT_READS)} | every entry polls the leader of every shard once a second, each leader renews a lease for each shard |
| writes of shard records | {f['record_writes']:.4f} a second | 300: {compare_with_limit(f['record_writes'], LIMIT_WRITES)} | when an agent joins or is lost |
| size of a shard record | {f['record_bytes'] / 1e3:.1f} KB | 1 MB | {f['agents_per_shard']:.0f} agents |
| configuration writes | {f['config_writes']:.2f} a second | 300: {compare_with_limit(f['config_writes'], LIMIT_WRITES)} | compare-and-swap of one document |

Agents never call the store, and no job or task waits for a call to the store.

## Operators' tools

They keep no state and read one entry at a time. A call of `target list` returns about 150 bytes for each target that
is attached to the entry, so {WORKERS * 150 / 1e3:.0f} KB for all.

## What does not scale to the design size

1. **Every agent attaches to every entry; this limit is reached first.** Idle heartbeats stay under 5 KB/s up to {f['heartbeat_limit_sessions']:.0f}
   sessions for each entry, then they exceed it, because the interval is capped at 60 s; memory reaches 128 MB at about
   {f['memory_limit_sessions']:,.0f} sessions. Attaching each agent to its leader and one standby keeps
   {2 * f['agents_per_entry']:.0f} sessions for each entry, which still needs a longer cap or smaller heartbeats.
2. **Polls for the leader of each shard.** {ENTRIES} entries x {SHARDS} shards poll once a second. Reads reach 2,000 a second at
   {LIMIT_READS // ENTRIES} shards for {ENTRIES} entries. The entry's watch already covers the same keys; polling only when the
   watch is broken would remove these reads.
3. **An agent's processor time** for each start is dominated by the HTTP call to its target. A persistent connection for each
   slot and a simpler client would be enough.
4. **A decision costs {f['decision_us']:.1f} us** with 3,100 targets and a million waiting tasks, over the target of 2 us; with
   {f['starts_per_entry']:,.0f} starts a second that is {f['decision_us'] * f['starts_per_entry'] / 1e4:.0f} % of a core of the
   entry. Flatter data structures in the queue would be enough.
5. **One document at 8,800 changes a day** is read whole by each entry at each change, at most 1 MB each
   {DAY_S / CHANGES_PER_DAY:.0f} s. A document divided into parts would be enough.

## Loss at this size

| lost | no new work there after | messages and calls | jobs |
|---|---|---|---|
| agent, process dies | its connection breaks: at once | 1 write of the record | jobs with tasks there fail, `unknown` |
| agent, does not respond | {BUSY_SILENCE_S:.0f} s with tasks in flight; considered lost after {BUSY_SILENCE_S + AGENT_LOSS_S:.0f} s | 1 status query, 1 write | the same |
| leader | its shards wait {f['takeover_s']:.1f} s: lease {LEASE_S:.0f} s, settling {SETTLE_S:.1f} s | for each shard {WRITES_PER_LEADER_CHANGE} store calls and {2 * f['agents_per_shard']:.0f} claims and inventories | recovered from the inventories |
| failure domain | as for the processes in it | {f['domain_agents']:.0f} agents, {f['domain_shards']:.1f} shards: {f['domain_writes']:.0f} store calls, {f['domain_claims']:.0f} claims and inventories | {f['domain_jobs']:.0f} jobs of {TASKS_PER_JOB} tasks arrive for them during the takeover and wait |
| region, partitioned | the side with the store, or with most agents of a shard, continues | as for its failure domains | the other side refuses, not run |

A takeover needs more than half of the shard's agents. Shards whose agents are spread over failure domains keep that majority
when one of {DOMAINS} domains is lost. The takeover times are sums of the settings; the end-to-end tests show that jobs
complete after the leader is killed or frozen. They do not show these times at the full size, which was not run.
"""


def main():
    text = render(json.loads(SLOPES.read_text())) + render_sweep(json.loads(SWEEP.read_text()))
    if "--check" in sys.argv:
        if PAGE.read_text() != text:
            print("docs/CAPACITY.md differs from scripts/capacity-page; run it without --check")
            return 1
        print("capacity page: agrees with the slopes")
        return 0
    PAGE.write_text(text)
    return 0


if __name__ == "__main__":
    sys.exit(main())
