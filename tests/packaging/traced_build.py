"""Runs the command `build` of deploy/system.toml in a fresh checkout and records what it read, ran and changed."""

import dataclasses
import os
import pathlib
import re
import shutil
import subprocess
import tempfile
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
DEPLOY_FILE = ROOT / "deploy/system.toml"
BUILD_LIMIT_S = 900  # the limit of the users' machines
UNPRIVILEGED_USER = "nobody"
# The variables that the users' machines pass to the build.
PASSED_VARIABLES = ("PATH", "LANG")
KERNEL_INTERFACES = ("/proc/", "/dev/", "/sys/")

OPENED = re.compile(r'^open(?:at)?\((?:AT_FDCWD<(?P<cwd>[^>]*)>, |\d+<(?P<dir>[^>]*)>, )?"(?P<path>[^"]*)"')
EXECUTED = re.compile(r'^execve\("(?P<path>/[^"]*)"')
# Every attempt counts, whatever its result: a non-blocking connect() returns before the connection is established.
CONNECTED = re.compile(r"^connect\(.*sa_family=AF_INET6?,.*")
FAILED = re.compile(r" = -1 E[A-Z]+ \([^)]*\)$")


@dataclasses.dataclass
class BuildRecord:
    """Files that a build read and executed (absolute paths), its connect() calls, and the files of the checkout it changed."""

    exit_code: int = 0
    output: str = ""
    read: set[str] = dataclasses.field(default_factory=set)
    executed: set[str] = dataclasses.field(default_factory=set)
    connections: list[str] = dataclasses.field(default_factory=list)
    changed_outside_target: list[str] = dataclasses.field(default_factory=list)


def deploy_settings() -> dict:
    return tomllib.loads(DEPLOY_FILE.read_text())


def check_out(directory: pathlib.Path) -> None:
    """Copies the tracked files from the work tree, except for the tests, which the build must not need."""
    listed = subprocess.run(["git", "ls-files", "-z"], cwd=ROOT, check=True, capture_output=True, text=True).stdout
    for name in listed.split("\0"):
        if name and not name.startswith("tests/") and (ROOT / name).is_file():
            (directory / name).parent.mkdir(parents=True, exist_ok=True)
            shutil.copy2(ROOT / name, directory / name)


def snapshot(directory: pathlib.Path) -> dict[str, int]:
    """Returns the modification time in ns of each file of the checkout outside target/."""
    return {str(path.relative_to(directory)): path.stat().st_mtime_ns for path in directory.rglob("*")
            if path.is_file() and path.relative_to(directory).parts[0] != "target"}


def change_owner_to_unprivileged_user(directory: pathlib.Path) -> None:
    for path in [directory, *directory.rglob("*")]:
        shutil.chown(path, user=UNPRIVILEGED_USER)


def is_system_file(path: str, work: str) -> bool:
    """Whether the path is a file that existed before the build, which runs in the directory `work`.

    Temporary files of the compiler no longer exist when this is called.
    """
    return not path.startswith((*KERNEL_INTERFACES, work + "/")) and os.path.isfile(path)


def read_trace(lines: list[str], work: str, record: BuildRecord) -> None:
    """Adds the files that one process of a build in the directory `work` opened and executed, and its connections."""
    for line in lines:
        if CONNECTED.match(line):
            record.connections.append(line)
        if FAILED.search(line):
            continue
        opened = OPENED.match(line)
        if opened:
            path = os.path.join(opened["cwd"] or opened["dir"] or "/", opened["path"])
            if is_system_file(path, work):
                record.read.add(path)
            continue
        executed = EXECUTED.match(line)
        if executed and is_system_file(executed["path"], work):
            record.executed.add(executed["path"])


def traced_build() -> BuildRecord:
    """Builds once as an unprivileged user and returns the record; the checkout is removed afterwards."""
    record = BuildRecord()
    with tempfile.TemporaryDirectory(prefix="bamboowing-build-", dir="/tmp") as work:
        checkout = pathlib.Path(work) / "checkout"
        traces = pathlib.Path(work) / "traces"
        checkout.mkdir()
        traces.mkdir()
        check_out(checkout)
        before = snapshot(checkout)
        is_root = os.geteuid() == 0
        if is_root:
            change_owner_to_unprivileged_user(pathlib.Path(work))
        environment = {name: os.environ[name] for name in PASSED_VARIABLES if name in os.environ}
        environment["HOME"] = work
        command = ["strace", "-ff", "--seccomp-bpf", "-qq", "-y", "-s", "4096", "-o", str(traces / "process"),
                   "-e", "trace=open,openat,execve,connect", "sh", "-c", deploy_settings()["build"]]
        done = subprocess.run(command, cwd=checkout, env=environment, stdin=subprocess.DEVNULL, check=False,
                              stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True, timeout=BUILD_LIMIT_S,
                              user=UNPRIVILEGED_USER if is_root else None, extra_groups=[] if is_root else None)
        record.exit_code = done.returncode
        record.output = done.stdout
        for trace in traces.iterdir():
            read_trace(trace.read_text(errors="replace").splitlines(), work, record)
        after = snapshot(checkout)
        record.changed_outside_target = sorted(name for name in before.keys() | after.keys()
                                               if before.get(name) != after.get(name))
    return record
