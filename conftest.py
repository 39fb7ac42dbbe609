"""Tests that are known to fail: `--known-red FILE` passes over those that it lists, and prints them.

A line of the file is `TEST: CAUSE, issue N`, with the test as pytest names it. One that is listed but passes, or is not
there any more, fails the run: the list only holds what is red.
"""

from __future__ import annotations

import re
from pathlib import Path

import pytest

LINE = re.compile(r"(?P<test>\S+::\S.*?): (?P<cause>.+, issue \d+)")


def read(path: Path) -> dict[str, str]:
    """Tests with their causes; refuses what is not understood, with its line."""
    out: dict[str, str] = {}
    for number, line in enumerate(path.read_text().splitlines() if path.exists() else [], 1):
        if not line.strip() or line.startswith("#"):
            continue
        found = LINE.fullmatch(line.strip())
        if found is None:
            raise pytest.UsageError(f"{path}:{number}: want TEST: CAUSE, issue N; got {line!r}")
        out[found["test"]] = found["cause"]
    return out


def pytest_addoption(parser: pytest.Parser) -> None:
    parser.addoption("--known-red", default="", help="file of tests that are known to fail")


def listed(config: pytest.Config) -> dict[str, str]:
    name = config.getoption("--known-red")
    return read(Path(config.rootpath) / name) if name else {}


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    known = listed(config)
    for item in items:
        if item.nodeid in known:
            item.add_marker(pytest.mark.xfail(reason=f"known red: {known[item.nodeid]}", strict=True))
    gone = set(known) - {i.nodeid for i in items}
    if gone and not config.args_source == pytest.Config.ArgsSource.ARGS:
        raise pytest.UsageError(f"known to be red, but no such test: {', '.join(sorted(gone))}")


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    known = listed(config)
    if known:
        terminalreporter.section("known red, passed over")
        for test, cause in known.items():
            terminalreporter.line(f"{test}: {cause}")
