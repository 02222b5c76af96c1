"""Compares the system files that a build used with the packages that deploy/system.toml lists for it."""

import dataclasses
import os
import re
from typing import Iterable, Mapping

from package_database import Package, closure

ALTERNATIVES = "/etc/alternatives/"
# Read by the C library, gettext and the linker if present; the result of the build does not depend on them.
MACHINE_SETTINGS = ("/etc/", "/usr/share/locale/", "/usr/share/zoneinfo/")
# The linker and the archiver load every plugin that a package has installed here. Only shared libraries of such packages
# and of their dependencies are exempt; headers and tools never are.
LINKER_PLUGINS = "/usr/lib/bfd-plugins/"
TOOLCHAIN = ("g++", "cmake", "ninja-build")

HEADER = "header"
LIBRARY = "library"
TOOL = "tool"
BUILD_FILE = "build file"  # modules of CMake, specs of the compiler and the like


@dataclasses.dataclass(frozen=True)
class UsedFile:
    """A system file that the build read or ran, with the packages that own it."""

    path: str
    kind: str
    owners: frozenset[str]


@dataclasses.dataclass(frozen=True)
class Finding:
    """A discrepancy between the list and the build."""

    package: str
    reason: str
    files: tuple[str, ...] = ()

    def __str__(self) -> str:
        shown = ", ".join(self.files[:3]) + (f" and {len(self.files) - 3} more" if len(self.files) > 3 else "")
        return f"{self.package}: {self.reason}" + (f": {shown}" if shown else "")


def kind_of(path: str, executed: Iterable[str]) -> str:
    if path in executed:
        return TOOL
    if re.search(r"\.(so[.0-9]*|a|o)$", path):
        return LIBRARY
    if "/include/" in path:
        return HEADER
    return BUILD_FILE


def is_machine_setting(path: str) -> bool:
    return path.startswith(MACHINE_SETTINGS)


def is_alternatives_link(path: str) -> bool:
    """Whether the path is a link of update-alternatives; its target is checked separately."""
    return os.path.islink(path) and os.readlink(path).startswith(ALTERNATIVES)


def classify(paths: Iterable[str], executed: Iterable[str], owners: Mapping[str, set[str]]) -> list[UsedFile]:
    run = set(executed)
    return [UsedFile(path, kind_of(path, run), frozenset(owners.get(path, ()))) for path in sorted(paths)
            if not is_machine_setting(path) and not is_alternatives_link(path)]


def packages_of_linker_plugins(used: Iterable[UsedFile], packages: Mapping[str, Package]) -> set[str]:
    """Returns the packages whose shared libraries may be loaded by a linker plugin of this machine."""
    plugin_owners = {owner for one in used if one.path.startswith(LINKER_PLUGINS) for owner in one.owners}
    return closure(plugin_owners, packages)


def missing_packages(listed: Iterable[str], used: Iterable[UsedFile], packages: Mapping[str, Package]) -> list[Finding]:
    """Returns a finding for each used package that is not installed on a machine with only the listed packages."""
    used = list(used)
    present = closure(listed, packages)
    plugin_packages = packages_of_linker_plugins(used, packages)
    missing: dict[str, list[str]] = {}
    for one in used:
        is_plugin_library = one.kind == LIBRARY and one.owners & plugin_packages
        if not one.owners & present and not is_plugin_library:
            missing.setdefault(" or ".join(sorted(one.owners)) or "no package", []).append(f"{one.kind} {one.path}")
    return [Finding(package, "neither listed nor a dependency of a listed package", tuple(files))
            for package, files in sorted(missing.items())]


def direct_packages(listed: Iterable[str], used: Iterable[UsedFile], packages: Mapping[str, Package]) -> set[str]:
    """Returns the packages whose headers the project's sources may include.

    These are the listed packages, the direct dependencies of listed packages without headers of their own (libboost-dev
    depends on libboost1.74-dev), and the closure of the toolchain.
    """
    with_headers = {owner for one in used if one.kind == HEADER for owner in one.owners}
    result = closure([name for name in TOOLCHAIN if name in listed], packages)
    for name in listed:
        result.add(name)
        if name in packages and name not in with_headers:
            result.update(group[0] for group in packages[name].depends)
    return result


def included_indirectly(listed: Iterable[str], included: Iterable[str], used: Iterable[UsedFile],
                        packages: Mapping[str, Package]) -> list[Finding]:
    """Returns a finding for each package that the sources include but that is installed only as a dependency of another.

    Such a package disappears when the other package changes its dependencies or is removed from the list.
    """
    used = list(used)
    listed = list(listed)
    present = closure(listed, packages)
    direct = direct_packages(listed, used, packages)
    names = set(included)
    indirect: dict[str, list[str]] = {}
    for one in used:
        name = re.sub(r"^.*?/include/(x86_64-linux-gnu/|c\+\+/[0-9]+/)?", "", one.path)
        if one.kind == HEADER and name in names and one.owners & present and not one.owners & direct:
            indirect.setdefault(" or ".join(sorted(one.owners)), []).append(f"{one.kind} {one.path}")
    return [Finding(package, "included by our sources, but not listed itself", tuple(files))
            for package, files in sorted(indirect.items())]


def unused(listed: Iterable[str], used: Iterable[UsedFile], packages: Mapping[str, Package]) -> list[Finding]:
    """Returns a finding for each listed package of which, including its direct dependencies, the build used no file."""
    owners_used = {owner for one in used for owner in one.owners}
    return [Finding(name, "listed, but the build uses nothing of it") for name in listed
            if not owners_used & {name, *(group[0] for group in packages.get(name, Package()).depends)}]


def audit(listed: Iterable[str], included: Iterable[str], used: Iterable[UsedFile],
          packages: Mapping[str, Package]) -> list[Finding]:
    listed = list(listed)
    used = list(used)
    return [*missing_packages(listed, used, packages), *included_indirectly(listed, included, used, packages),
            *unused(listed, used, packages)]
