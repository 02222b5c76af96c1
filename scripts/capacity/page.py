"""Writes the tables of docs/CAPACITY.md from the committed raw figures; --check fails when they disagree."""

import argparse
import pathlib
import re
import subprocess
import sys
import tempfile

import fit
import measure

ROOT = pathlib.Path(__file__).resolve().parents[2]
PAGE = ROOT / "docs/CAPACITY.md"
FIGURES = ROOT / "docs/capacity-figures.csv"

# The design size (design section 1) and its division into shards (section 6.1).
TARGETS = 3100
STARTS_PER_S = 190_000
ENTRIES = 16
SHARDS = 64
MEAN_RUN_S = 0.4  # most tasks take 50 ms to 1 s
WAITING_TASKS = 1_000_000

# Limits of design sections 1 and 4.
CONTROL_CORES = 0.013
CONTROL_MEMORY = 128 * 2**20
CONTROL_BYTES_PER_S = 5000
STORE_CALLS_PER_S = 2000


def usable(slopes, name):
    """The line of this name, or None when it was not measured or its fit is poor."""
    if name not in slopes or fit.is_poor(slopes[name][1]):
        return None
    return slopes[name][1]


def sum_of(slopes, base, parts):
    """Intercept of `base` plus slope times amount for each part; None when a slope can't be used."""
    lines = [(usable(slopes, name), amount) for name, amount in parts]
    if any(line is None for line, _ in lines):
        return None
    start = usable(slopes, base).intercept if base and usable(slopes, base) else 0.0
    return max(start, 0.0) + sum(line.slope * amount for line, amount in lines)


def requirements(slopes):
    """Rows (role, quantity, parts, need, limit, unit). A limit of None means that the design sets none."""
    per_entry, per_agent = STARTS_PER_S / ENTRIES, STARTS_PER_S / TARGETS
    rows = []
    for role, quantity, base, parts, limit, unit in (
        ("entry", "processor for sessions", "entry_cpu_per_session", [("entry_cpu_per_session", TARGETS)], None, "cores"),
        ("entry", "processor for tasks", None, [("entry_cpu_per_task", per_entry)], None, "cores"),
        ("entry", "memory for sessions", "entry_memory_per_session", [("entry_memory_per_session", TARGETS)],
         CONTROL_MEMORY, "bytes"),
        ("entry", "memory for waiting tasks", None, [("entry_memory_per_waiting_task", WAITING_TASKS / ENTRIES)],
         CONTROL_MEMORY, "bytes"),
        ("entry", "idle traffic", "entry_bytes_per_session", [("entry_bytes_per_session", TARGETS)],
         CONTROL_BYTES_PER_S, "bytes/s"),
        ("entry", "traffic for tasks", None, [("entry_bytes_per_task", per_entry)], None, "bytes/s"),
        ("agent", "processor for tasks", "agent_cpu_per_task", [("agent_cpu_per_task", per_agent)], CONTROL_CORES,
         "cores"),
        ("agent", "idle traffic", "agent_bytes_per_entry", [("agent_bytes_per_entry", ENTRIES)], CONTROL_BYTES_PER_S,
         "bytes/s"),
        ("agent", "traffic for tasks", None, [("agent_bytes_per_task", per_agent)], None, "bytes/s"),
        ("key-value service", "calls", "store_calls_per_entry", [("store_calls_per_entry", ENTRIES)], STORE_CALLS_PER_S,
         "calls/s"),
    ):
        rows.append((role, quantity, parts, sum_of(slopes, base, parts), limit, unit))
    return rows


def number(value):
    if value is None:
        return "not known"
    if value >= 10000:
        return f"{value:,.0f}"
    return f"{value:.3g}"


def verdict(need, limit):
    if need is None:
        return "no usable slope"
    if limit is None:
        return "no limit set"
    return "within" if need <= limit else f"exceeds {need / limit:.1f} times"


def slope_table(slopes):
    lines = ["| slope | value | standard error | at 0 | R² | points | use |", "|---|---|---|---|---|---|---|"]
    for name, (unit, line) in slopes.items():
        use = "refused: poor fit" if fit.is_poor(line) else "used"
        lines.append(f"| `{name}` | {number(line.slope)} {unit} | {number(line.slope_error)} | {number(line.intercept)} | "
                     f"{line.r_squared:.3f} | {line.points} | {use} |")
    missing = [spec[0] for spec in measure.SLOPES if spec[0] not in slopes]
    return "\n".join(lines) + ("\n\nNot measured: " + ", ".join(f"`{name}`" for name in missing) + "." if missing else "")


def need_table(slopes):
    lines = ["| role | quantity | sum | need | limit | verdict |", "|---|---|---|---|---|---|"]
    for role, quantity, parts, need, limit, unit in requirements(slopes):
        text = " + ".join(f"`{name}` × {number(amount)}" for name, amount in parts)
        lines.append(f"| {role} | {quantity} | {text} | {number(need)} {unit} | "
                     f"{number(limit) + ' ' + unit if limit else '-'} | {verdict(need, limit)} |")
    return "\n".join(lines)


def first_to_give_out(slopes):
    """The size (share of the design size) at which each limit is reached, smallest first."""
    reached = []
    for role, quantity, parts, need, limit, unit in requirements(slopes):
        if need and limit and need > limit:
            line = usable(slopes, parts[0][0])
            start = max(line.intercept, 0.0)
            share = max(0.0, (limit - start) / max(need - start, 1e-12))
            reached.append((share, f"| {role}, {quantity} | {share * 100:.1f} % | {number(share * parts[0][1])} |"))
    if not reached:
        return "No limit with a usable slope is exceeded at the design size."
    lines = ["| role, quantity | share of the design size | amount at the limit |", "|---|---|---|"]
    return "\n".join(lines + [text for _, text in sorted(reached)])


def render(text, slopes):
    for name, table in (("slopes", slope_table), ("needs", need_table), ("limits", first_to_give_out)):
        pattern = re.compile(f"(<!-- {name} -->\n).*?(<!-- end {name} -->)", re.S)
        if not pattern.search(text):
            raise ValueError(f"the page has no place for the table '{name}'")
        text = pattern.sub(lambda found, table=table: found.group(1) + table(slopes) + "\n" + found.group(2), text)
    return text


def plot(rows, name, series, role, quantity, label):
    """Draws one series with its line to docs/NAME.svg."""
    points = [(r[1], r[5]) for r in rows if (r[0], r[2], r[4]) == (series, role, quantity)]
    if len({x for x, _ in points}) < 3:
        return
    line = fit.fit_line(points)
    with tempfile.NamedTemporaryFile("w", suffix=".dat") as data:
        data.write("\n".join(f"{x} {y}" for x, y in points) + "\n")
        data.flush()
        script = (f"set terminal svg size 480,320; set output '{ROOT / 'docs' / (name + '.svg')}'; set key off; "
                  f"set xlabel '{series}'; set ylabel '{label}'; "
                  f"plot '{data.name}' with points, {line.slope}*x+{line.intercept} with lines")
        subprocess.run(["gnuplot", "-e", script], check=True)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--check", action="store_true", help="fail when the page differs from what would be written")
    arguments = parser.parse_args()
    rows = measure.read_rows(FIGURES)
    slopes = measure.slopes(rows)
    text = PAGE.read_text()
    written = render(text, slopes)
    if arguments.check:
        if written != text:
            print("docs/CAPACITY.md disagrees with docs/capacity-figures.csv; run scripts/capacity-page")
            return 1
        print("capacity: page agrees with the figures")
        return 0
    PAGE.write_text(written)
    for name, unit, series, role, quantity in measure.SLOPES:
        if name in ("entry_cpu_per_session", "entry_cpu_per_task", "agent_cpu_per_task", "store_calls_per_entry"):
            plot(rows, f"capacity-{name.replace('_', '-')}", series, role, quantity, f"{role} {quantity}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
