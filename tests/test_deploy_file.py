"""The deploy file lists each system package that its commands need, and no other."""

from __future__ import annotations

import shlex
import tomllib
from collections.abc import Iterator
from importlib.metadata import distribution
from pathlib import Path
from typing import Any

import pytest

ROOT = Path(__file__).parent.parent
DEPLOY_FILE = ROOT / "deploy" / "system.toml"
REQUIREMENTS = ROOT / "requirements.txt"
CONTROL_OPERATORS = {"&&", "||", ";", "|", "&"}
PYTHON = "python3"
# Which Debian package provides a program, or a module that is run as one. The shell's own commands need none: the shell
# itself is part of the base system.
SHELL_BUILTINS = {"["}
PROGRAMS = {PYTHON: "python3"}
MODULES = {"pip": "python3-pip", "compileall": "python3"}
# Requirements that are compiled when they are installed, with the packages of compilers and headers that they need.
COMPILED: dict[str, set[str]] = {}


class UnknownProvider(LookupError):
    """A program or a module of which it isn't known what package provides it."""


def simple_commands(line: str) -> Iterator[list[str]]:
    """The commands of a shell line, each as its words."""
    lexer = shlex.shlex(line, posix=True, punctuation_chars=True)
    lexer.whitespace_split = True
    words: list[str] = []
    for word in lexer:
        if word in CONTROL_OPERATORS:
            yield words
            words = []
        else:
            words.append(word)
    yield words


def packages_of_command(words: list[str]) -> set[str]:
    """The packages that one command needs."""
    program = words[0]
    if program in SHELL_BUILTINS:
        return set()
    if program not in PROGRAMS:
        raise UnknownProvider(f"no package is known for the program {program}")
    needed = {PROGRAMS[program]}
    if program == PYTHON and words[1:2] == ["-m"]:
        module = words[2]
        if module not in MODULES:
            raise UnknownProvider(f"no package is known for the module {module}")
        needed.add(MODULES[module])
    return needed


def packages_of_line(line: str) -> set[str]:
    """The packages that a shell line needs."""
    return {package for words in simple_commands(line) for package in packages_of_command(words)}


def pins() -> dict[str, str]:
    """The pinned requirements, with their versions."""
    lines = [line.strip() for line in REQUIREMENTS.read_text().splitlines()]
    return dict(line.split("==") for line in lines if line and not line.startswith("#"))


def wheel_tags(name: str) -> list[str]:
    """The tags of the wheel that a distribution was installed from."""
    lines = (distribution(name).read_text("WHEEL") or "").splitlines()
    return [line.removeprefix("Tag: ") for line in lines if line.startswith("Tag: ")]


def is_portable(tags: list[str]) -> bool:
    """Does a wheel need no compiler? One that was compiled on this machine bears the plain name of its platform."""
    return bool(tags) and all(tag.endswith("-any") or "manylinux" in tag for tag in tags)


@pytest.fixture(scope="module")
def deploy() -> dict[str, Any]:
    """The deploy file."""
    return tomllib.loads(DEPLOY_FILE.read_text())


def test_the_packages_are_those_that_the_commands_need(deploy: dict[str, Any]) -> None:
    needed = packages_of_line(deploy["build"])
    for role in deploy["roles"].values():
        needed |= packages_of_command(role["run"].split())
    for requirement in pins():
        needed |= COMPILED.get(requirement, set())
    assert deploy["packages"] == sorted(needed)


def test_requirements_come_as_wheels_or_have_their_compilers_listed() -> None:
    compiled = {name for name in pins() if not is_portable(wheel_tags(name))}
    assert compiled == set(COMPILED)


def test_the_wheels_that_were_looked_at_are_those_of_the_pinned_versions() -> None:
    assert {name: distribution(name).version for name in pins()} == pins()


def test_a_program_or_module_without_a_known_package_is_refused() -> None:
    assert packages_of_line("[ a -nt b ] || python3 -m pip install -q x") == {"python3", "python3-pip"}
    for line in ("python3 a.py && make all", "cc -o a a.c", "python3 -m venv target/env", "[ a ] ; npm ci | cat"):
        with pytest.raises(UnknownProvider):
            packages_of_line(line)


def test_a_wheel_that_was_compiled_here_is_told_from_a_published_one() -> None:
    assert is_portable(["py3-none-any"]) and is_portable(["cp311-cp311-manylinux_2_28_x86_64"])
    assert not is_portable(["cp311-cp311-linux_x86_64"]) and not is_portable([])
