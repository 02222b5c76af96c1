"""Queries the Debian packages of this machine: the owners of a file, and the closure of a list of packages."""

import os
import re
import subprocess
from typing import Iterable, Mapping, NamedTuple

OWNER_BATCH = 500  # paths for each call of dpkg-query, well under the limit of a command line


class Package(NamedTuple):
    """Dependencies of an installed package.

    `depends` holds one tuple of alternatives for each dependency; `provides` holds names of virtual packages.
    """

    depends: tuple[tuple[str, ...], ...] = ()
    provides: tuple[str, ...] = ()
    essential: bool = False


def parse_relation(text: str) -> tuple[tuple[str, ...], ...]:
    """Parses a Depends or Provides field: 'a (>= 1), b | c:any' becomes (('a',), ('b', 'c'))."""
    groups = []
    for group in text.split(","):
        names = tuple(re.split(r"[\s(:]", one.strip(), maxsplit=1)[0] for one in group.split("|"))
        if names[0]:
            groups.append(names)
    return tuple(groups)


def installed_packages() -> dict[str, Package]:
    """Reads all installed packages of this machine, by name."""
    shown = "${Package}\t${db:Status-Status}\t${Essential}\t${Pre-Depends}\t${Depends}\t${Provides}\n"
    output = subprocess.run(["dpkg-query", "-W", f"-f={shown}"], check=True, capture_output=True, text=True).stdout
    packages = {}
    for line in output.splitlines():
        name, status, essential, pre_depends, depends, provides = line.split("\t")
        if status == "installed":
            packages[name] = Package(parse_relation(pre_depends) + parse_relation(depends),
                                     tuple(names[0] for names in parse_relation(provides)), essential == "yes")
    return packages


def closure(listed: Iterable[str], packages: Mapping[str, Package]) -> set[str]:
    """Returns the packages of a clean machine after an installation of `listed` without recommended packages.

    These are the essential packages, the listed ones, and everything these depend on. Where a dependency has
    alternatives, the first one that this machine has is taken, as apt does.
    """
    providers: dict[str, list[str]] = {}
    for name, package in packages.items():
        for virtual in package.provides:
            providers.setdefault(virtual, []).append(name)

    def resolve(alternatives: tuple[str, ...]) -> list[str]:
        for name in alternatives:
            if name in packages:
                return [name]
            if name in providers:
                return providers[name]
        return []

    pending = [name for name, package in packages.items() if package.essential]
    pending += [name for one in listed for name in resolve((one,))]
    reached: set[str] = set()
    while pending:
        name = pending.pop()
        if name not in reached:
            reached.add(name)
            pending += [needed for group in packages[name].depends for needed in resolve(group)]
    return reached


def link_chain(path: str) -> list[str]:
    """Returns the path and all targets of the chain of symbolic links that starts at its last component.

    A library is opened through the link of its -dev package but belongs to another package; both packages are used.
    """
    chain: list[str] = []
    while True:
        path = os.path.join(os.path.realpath(os.path.dirname(path)), os.path.basename(path))
        if path in chain:
            return chain
        chain.append(path)
        if not os.path.islink(path):
            return chain
        path = os.path.join(os.path.dirname(path), os.readlink(path))


def spellings(path: str) -> list[str]:
    """Returns the paths that packages may have recorded for a file: before the merge of /bin and /lib into /usr, or after."""
    return [path, path[len("/usr"):]] if path.startswith("/usr/") else [path]


def owners(paths: Iterable[str]) -> dict[str, set[str]]:
    """Returns the packages that own each path; a path that belongs to none has no key."""
    wanted = {spelling: path for path in paths for spelling in spellings(path)}
    queried = sorted(wanted)
    result: dict[str, set[str]] = {}
    for first in range(0, len(queried), OWNER_BATCH):
        # The exit code is 1 when some path has no owner; the output still names the owners of the others.
        answer = subprocess.run(["dpkg-query", "-S", *queried[first:first + OWNER_BATCH]], check=False,
                                capture_output=True, text=True)
        if answer.returncode not in (0, 1):
            raise RuntimeError(f"dpkg-query -S failed: {answer.stderr.strip()}")
        for line in answer.stdout.splitlines():
            names, _, path = line.partition(": ")
            if path in wanted and not line.startswith("diversion "):
                result.setdefault(wanted[path], set()).update(name.split(":")[0] for name in names.split(", "))
    return result
