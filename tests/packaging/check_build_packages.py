#!/usr/bin/env python3
"""Fails when the command `build` of deploy/system.toml needs what the users' machines do not have.

It builds once in a fresh checkout without the tests, as an unprivileged user, and fails when the build

- uses a header, library or tool of a system package that `packages` neither lists nor installs as a dependency,
- includes headers of a package that is there only as a dependency of another one,
- opens a network connection, or writes into the checkout outside target/,

or when a listed package is not used. As a test of the check itself, it repeats the comparison with each package removed
from the list, and fails unless each of these comparisons has a finding.
"""

import argparse
import collections
import pathlib
import re
import sys

from package_audit import HEADER, LIBRARY, TOOL, UsedFile, audit, classify
from package_database import Package, installed_packages, link_chain, owners
from traced_build import ROOT, BuildRecord, deploy_settings, traced_build

SHOWN_OUTPUT_LINES = 30


def included_headers() -> set[str]:
    """Returns the headers that the project's sources include in angle brackets."""
    names: set[str] = set()
    for directory in ("src", "include", "platform"):
        for path in (ROOT / directory).rglob("*"):
            if path.suffix in (".cc", ".h"):
                names.update(re.findall(r"^#include <([^>]+)>", path.read_text(), re.MULTILINE))
    return names


def used_files(record: BuildRecord) -> list[UsedFile]:
    executed = {path for one in record.executed for path in link_chain(one)}
    paths = {path for one in record.read for path in link_chain(one)} | executed
    return classify(paths, executed, owners(paths))


def print_summary(used: list[UsedFile]) -> None:
    kinds = collections.Counter(one.kind for one in used)
    print(f"the build used {len(used)} system files: " + ", ".join(f"{count} {kind}" for kind, count in sorted(kinds.items())))
    counts = collections.Counter((" or ".join(sorted(one.owners)) or "no package") for one in used)
    for package, count in counts.most_common():
        print(f"  {count:5} {package}")


def write_list(path: pathlib.Path, used: list[UsedFile]) -> None:
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text("".join(f"{one.kind}\t{one.path}\t{' or '.join(sorted(one.owners))}\n" for one in used))


def undetected_removals(listed: list[str], included: set[str], used: list[UsedFile],
                        packages: dict[str, Package]) -> list[str]:
    """Removes each package from the list in turn; returns a message for each removal that the audit does not detect."""
    known = set(audit(listed, included, used, packages))
    undetected = []
    noticed: set[str] = set()
    for name in listed:
        findings = [one for one in audit([one for one in listed if one != name], included, used, packages) if one not in known]
        if not findings:
            undetected.append(f"the check does not detect the removal of {name} from the list")
            continue
        noticed.update(file.split(" ")[0] for one in findings for file in one.files)
        print(f"  without {name}: detected ({findings[0]})")
    return undetected + [f"no removal from the list is detected by a {kind}" for kind in (HEADER, LIBRARY, TOOL)
                     if kind not in noticed]


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--list", type=pathlib.Path, metavar="FILE", help="write kind, path and package of each used file")
    arguments = parser.parse_args()
    record = traced_build()
    if record.exit_code != 0:
        print("\n".join(record.output.splitlines()[-SHOWN_OUTPUT_LINES:]))
        print(f"build packages: the build failed with exit code {record.exit_code}")
        return 1
    listed = deploy_settings()["packages"]
    packages = installed_packages()
    included = included_headers()
    used = used_files(record)
    print_summary(used)
    if arguments.list:
        write_list(arguments.list, used)
    problems = [str(one) for one in audit(listed, included, used, packages)]
    problems += [f"the build opened a connection: {one}" for one in record.connections]
    problems += [f"the build changed {name}, outside target/" for name in record.changed_outside_target]
    problems += undetected_removals(listed, included, used, packages)
    for one in problems:
        print(f"build packages: {one}")
    if not problems:
        print("build packages: clean")
    return 1 if problems else 0


if __name__ == "__main__":
    sys.exit(main())
