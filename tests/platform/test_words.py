"""Tests that no file outside `platform/` contains a name of the platform: a header, a path, or a field."""

from __future__ import annotations

import ast
import dataclasses
import re
from collections.abc import Iterator
from pathlib import Path

import pytest

from sim.announced import BOUNDS, module

ROOT = Path(__file__).parents[2]
# The simulation of the platform, tests of the folder that translates, and pages about the platform may use its names.
FOLDERS_WITH_PLATFORM_NAMES = {"platform", "sim", "tests", "deploy", "journal", "target", "build"}
PAGES_WITH_PLATFORM_NAMES = {"docs/platform.md", "docs/testing.md"}
SUFFIXES = {".py", ".thrift", ".json", ".toml", ".md", ".txt", ".conf", ""}
# The product's own names that have the form of a header of the platform.
PRODUCT_NAMES = {"postpass-example", "postpass-data-plane", "postpass-control-plane"}
HEADER = re.compile(r"(?<![\w./-])postpass-[a-z]+(?:-[a-z]+)*", re.IGNORECASE)
PATH = re.compile(r"/-/")
CAMEL = re.compile(r"[a-z]+(?:[A-Z][a-z0-9]*)+")


def checked_files() -> Iterator[Path]:
    for entry in sorted(ROOT.iterdir()):
        if entry.name not in FOLDERS_WITH_PLATFORM_NAMES and not entry.name.startswith("."):
            yield from [entry] if entry.is_file() else sorted(p for p in entry.rglob("*") if p.is_file())


def product_files() -> list[Path]:
    product_paths = []
    for path in checked_files():
        name = str(path.relative_to(ROOT))
        if (
            path.suffix in SUFFIXES
            and name not in PAGES_WITH_PLATFORM_NAMES
            and "__pycache__" not in name
            and "-info/" not in name
        ):
            product_paths.append(path)
    return product_paths


def platform_field_names() -> set[str]:
    """Returns the platform's field names: the string constants and typed fields in `platform/` that are in camel case."""
    names = set()
    for path in sorted((ROOT / "platform").glob("*.py")):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.Constant) and isinstance(node.value, str):
                names.add(node.value)
            if isinstance(node, ast.AnnAssign) and isinstance(node.target, ast.Name):
                names.add(node.target.id)
    further_names = {
        "attemptId",
        "warmLeftMs",
        "heartbeatMs",
        "beatAddr",
        "dataDir",
        "portRange",
        "startAfter",
        "maxQueued",
        "seqno",
    }
    return {w for w in names | further_names if CAMEL.fullmatch(w)} - set(BOUNDS)


def bounds_in(text: str) -> list[str]:
    return [w for w in CAMEL.findall(text) if w in BOUNDS]


def names_in(text: str, field_names: set[str]) -> Iterator[str]:
    yield from (w for w in HEADER.findall(text) if w.lower() not in PRODUCT_NAMES)
    yield from PATH.findall(text)
    yield from (w for w in re.findall(r"\w+", text) if w in field_names)


@pytest.fixture(scope="module")
def field_names() -> set[str]:
    return platform_field_names()


def test_the_field_names_and_headers_of_the_folder_are_recognized(field_names: set[str]) -> None:
    assert {"timeoutMs", "targetMs", "warmLeftMs", "portRange", "maxQueued", "gapTargetMs", "dataDir"} <= field_names
    for value in dataclasses.asdict(module("words").WORDS).values():
        assert value == "last-event-id" or list(names_in(value, field_names)), value


def test_nothing_outside_the_folder_names_headers_paths_or_fields(field_names: set[str]) -> None:
    found = {
        str(p.relative_to(ROOT)): names
        for p in product_files()
        if (names := sorted(set(names_in(p.read_text(), field_names))))
    }
    assert found == {}


def test_nothing_outside_the_folder_names_the_platforms_bounds() -> None:
    found = {
        str(p.relative_to(ROOT)): names for p in product_files() if (names := sorted(set(bounds_in(p.read_text()))))
    }
    assert found == {}


def test_a_name_is_found_in_code_comments_and_text(field_names: set[str]) -> None:
    for text in (
        "x = 'Postpass-Attempt-Id'",
        "# see /-/config",
        "raw['warmLeftMs']",
        "heartbeatMs: float",
        "`postpass-seal`",
    ):
        assert list(names_in(text, field_names)), text
    for text in ("import postpass", "postpass_relayed", "the mean/-/ish".replace("/-/", "/")):
        assert not list(names_in(text, field_names)), text
    assert len(product_files()) > 50
