#!/usr/bin/env python3
"""Tests the check of build packages on synthetic packages, without a build or the packages of this machine."""

import os
import pathlib
import re
import subprocess
import sys
import tempfile
import unittest

from package_audit import HEADER, LIBRARY, TOOL, UsedFile, audit, kind_of, missing_packages
from package_database import Package, closure, link_chain, parse_relation
from traced_build import ROOT, BuildRecord, deploy_settings, read_trace

PACKAGES = {
    "libc6": Package(essential=True),
    "g++": Package(depends=(("g++-12",),)),
    "g++-12": Package(depends=(("libc6",), ("binutils",))),
    "binutils": Package(depends=(("libc6",),)),
    "cmake": Package(depends=(("libcurl4-gnutls", "libcurl4"),)),
    "libcurl4": Package(),
    "libjson-dev": Package(),
    "libschema-dev": Package(depends=(("libjson-dev",),)),
    "libfast-dev": Package(depends=(("libfast1",), ("libc-dev",))),
    "libfast1": Package(),
    "libc6-dev": Package(provides=("libc-dev",)),
    "libmeta-dev": Package(depends=(("libmeta1.74-dev",),)),
    "libmeta1.74-dev": Package(),
    "llvm-plugin": Package(depends=(("libllvm",),)),
    "libllvm": Package(),
    "ccache": Package(),
}
LISTED = ["g++", "cmake", "libjson-dev", "libschema-dev", "libfast-dev", "libmeta-dev"]
INCLUDED = {"json.hpp", "schema/schema.hpp", "fast.h", "meta/meta.hpp"}


def used(path: str, kind: str, owner: str) -> UsedFile:
    return UsedFile(path, kind, frozenset([owner]))


USED = [
    used("/usr/bin/g++", TOOL, "g++"),
    used("/usr/bin/ld", TOOL, "binutils"),
    used("/usr/bin/cmake", TOOL, "cmake"),
    used("/usr/lib/libcurl.so.4", LIBRARY, "libcurl4"),
    used("/usr/include/json.hpp", HEADER, "libjson-dev"),
    used("/usr/include/schema/schema.hpp", HEADER, "libschema-dev"),
    used("/usr/include/fast.h", HEADER, "libfast-dev"),
    used("/usr/lib/libfast.so.1", LIBRARY, "libfast1"),
    used("/usr/include/meta/meta.hpp", HEADER, "libmeta1.74-dev"),
    used("/usr/include/stdio.h", HEADER, "libc6-dev"),
]


def audit_findings(listed=LISTED, files=USED):
    return [str(one) for one in audit(listed, INCLUDED, files, PACKAGES)]


class Audit(unittest.TestCase):
    def test_accepts_a_complete_list(self):
        self.assertEqual(audit_findings(), [])

    def test_fails_for_each_package_removed_from_the_list(self):
        """Guards against an unlisted build dependency: headers once came from a package that only the tests' list named."""
        for name in LISTED:
            with self.subTest(name):
                self.assertNotEqual(audit_findings([one for one in LISTED if one != name]), [])

    def test_reports_a_header_that_no_listed_package_provides(self):
        findings = audit_findings([one for one in LISTED if one != "libschema-dev"])
        self.assertEqual(findings, ["libschema-dev: neither listed nor a dependency of a listed package: "
                                    "header /usr/include/schema/schema.hpp"])

    def test_reports_a_library_that_no_listed_package_provides(self):
        findings = audit_findings([one for one in LISTED if one != "libfast-dev"])
        self.assertIn("libfast1: neither listed nor a dependency of a listed package: library /usr/lib/libfast.so.1", findings)

    def test_reports_a_tool_that_no_listed_package_provides(self):
        """Guards against an optional tool that the build uses if it is installed, such as a compiler cache."""
        findings = audit_findings(files=[*USED, used("/usr/bin/ccache", TOOL, "ccache")])
        self.assertEqual(findings, ["ccache: neither listed nor a dependency of a listed package: tool /usr/bin/ccache"])

    def test_a_package_that_our_sources_include_must_be_listed_itself(self):
        """Guards against a header that is installed only while another package depends on its package."""
        findings = audit_findings([one for one in LISTED if one != "libjson-dev"])
        self.assertEqual(findings, ["libjson-dev: included by our sources, but not listed itself: header /usr/include/json.hpp"])

    def test_a_file_of_no_package_is_a_finding(self):
        """Guards against headers and libraries that were installed manually."""
        findings = audit_findings(files=[*USED, UsedFile("/usr/local/include/own.h", HEADER, frozenset())])
        self.assertEqual(findings, ["no package: neither listed nor a dependency of a listed package: "
                                    "header /usr/local/include/own.h"])

    def test_a_listed_package_without_use_is_a_finding(self):
        self.assertEqual(audit_findings([*LISTED, "ccache"]), ["ccache: listed, but the build uses nothing of it"])

    def test_exempts_only_the_libraries_of_linker_plugins(self):
        files = [used("/usr/lib/bfd-plugins/plugin.so", LIBRARY, "llvm-plugin"), used("/usr/lib/libllvm.so", LIBRARY, "libllvm")]
        self.assertEqual(missing_packages(LISTED, [*USED, *files], PACKAGES), [])
        header = used("/usr/include/llvm.h", HEADER, "libllvm")
        self.assertEqual(len(missing_packages(LISTED, [*USED, *files, header], PACKAGES)), 1)

    def test_distinguishes_file_kinds(self):
        self.assertEqual(kind_of("/usr/bin/ld", {"/usr/bin/ld"}), TOOL)
        self.assertEqual(kind_of("/usr/lib/libssl.so.3", set()), LIBRARY)
        self.assertEqual(kind_of("/usr/include/c++/12/string", set()), HEADER)


class Closure(unittest.TestCase):
    def test_holds_essential_listed_and_their_dependencies(self):
        self.assertEqual(closure(["g++"], PACKAGES), {"libc6", "g++", "g++-12", "binutils"})

    def test_takes_the_first_alternative_that_is_installed(self):
        self.assertIn("libcurl4", closure(["cmake"], PACKAGES))

    def test_follows_virtual_packages(self):
        self.assertIn("libc6-dev", closure(["libfast-dev"], PACKAGES))

    def test_parses_versions_architectures_and_alternatives(self):
        self.assertEqual(parse_relation("a (>= 1.2), b:any | c (= 3), "), (("a",), ("b", "c")))
        self.assertEqual(parse_relation(""), ())


class Trace(unittest.TestCase):
    def test_reads_opened_files_tools_and_connections(self):
        with tempfile.TemporaryDirectory() as directory:
            work = pathlib.Path(directory) / "work"
            header = pathlib.Path(directory) / "own.h"
            work.mkdir()
            header.touch()
            (work / "made.h").touch()
            record = BuildRecord()
            read_trace([f'openat(AT_FDCWD<{directory}>, "own.h", O_RDONLY) = 3<{header}>',
                        f'openat(AT_FDCWD<{work}>, "made.h", O_RDONLY) = 3<{work}/made.h>',
                        f'openat(AT_FDCWD</elsewhere>, "{directory}/missing.h", O_RDONLY) = 3',
                        f'openat(AT_FDCWD<{directory}>, "work/../own.h", O_RDONLY) = -1 EACCES (Permission denied)',
                        f'execve("{sys.executable}", ["python3"], 0x7 /* 3 vars */) = 0',
                        'connect(3<socket:[1]>, {sa_family=AF_INET, sin_port=htons(80)}, 16) = -1 EINPROGRESS (Operation now in progress)'], str(work), record)
        self.assertEqual(record.read, {str(header)})
        self.assertEqual(record.executed, {sys.executable})
        self.assertEqual(len(record.connections), 1)

    def test_follows_the_link_of_a_development_package_to_the_library(self):
        with tempfile.TemporaryDirectory() as directory:
            library = pathlib.Path(os.path.realpath(directory)) / "libone.so.1"
            library.touch()
            link = library.with_name("libone.so")
            link.symlink_to(library.name)
            self.assertEqual(link_chain(str(link)), [str(link), str(library)])


class Lists(unittest.TestCase):
    def test_scripts_name_no_package_of_the_build(self):
        """Guards against a second list of build packages that diverges from the one that users install."""
        for name in ("check_tools.txt", "tools.txt"):
            own = (ROOT / "tests/packaging" / name).read_text().split()
            self.assertEqual(set(own) & set(deploy_settings()["packages"]), set())
        script = (ROOT / "scripts/packages").read_text()
        named = [name for name in deploy_settings()["packages"] if re.search(rf"\b{re.escape(name)}(?![\w-])", script)]
        self.assertEqual(named, [])

    def test_the_script_reads_the_list_of_the_build(self):
        shown = subprocess.run([ROOT / "scripts/packages", "--print", "build"], check=True, capture_output=True, text=True).stdout
        self.assertEqual(shown.split(), deploy_settings()["packages"])


if __name__ == "__main__":
    unittest.main()
