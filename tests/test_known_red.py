"""The list of tests that are known to be red holds only such tests."""

from __future__ import annotations

from pathlib import Path

import pytest

from conftest import read

pytest_plugins = ["pytester"]
ROOT = Path(__file__).parent.parent
TESTS = "def test_red(): assert 0\ndef test_green(): pass\n"
RED = "test_it.py::test_red: the sun, issue 11\n"


def run(pytester: pytest.Pytester, lines: str) -> pytest.RunResult:
    pytester.makeconftest((ROOT / "conftest.py").read_text())
    pytester.makepyfile(test_it=TESTS)
    pytester.path.joinpath("RED.txt").write_text(lines)
    return pytester.runpytest("--known-red", "RED.txt")


def test_a_listed_test_that_fails_is_passed_over_and_printed(pytester: pytest.Pytester) -> None:
    got = run(pytester, RED)
    assert got.ret == 0
    got.stdout.fnmatch_lines(["*known red, passed over*", RED.strip()])


def test_others_that_fail_are_not_passed_over(pytester: pytest.Pytester) -> None:
    assert run(pytester, "").ret == 1


def test_a_listed_test_that_passes_fails_the_run(pytester: pytest.Pytester) -> None:
    got = run(pytester, RED + "test_it.py::test_green: clouds, issue 11\n")
    assert got.ret == 1
    got.stdout.fnmatch_lines(["*XPASS(strict)*known red: clouds, issue 11*"])


def test_a_listed_test_that_is_gone_or_a_line_that_is_none_fails_the_run(pytester: pytest.Pytester) -> None:
    assert run(pytester, RED + "test_it.py::test_gone: fog, issue 11\n").ret != 0
    assert run(pytester, RED + "test_red without a cause\n").ret != 0


def test_the_list_is_understood() -> None:
    read(ROOT / "KNOWN-RED.txt")
