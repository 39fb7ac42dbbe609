"""Tests that commands under their earlier names print a notice, and otherwise do the same as under the present ones."""

from __future__ import annotations

import sys
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from postpass.cli import main, renamed_commands
from postpass.daemon import commands

ROOT = Path(__file__).parents[2]
EARLIER = {"ppd": "postpass-data-plane", "ppc": "postpass-control-plane", "pp": "postpassctl"}
PRESENT: dict[str, Callable[[], None]] = {
    "ppd": commands.data_plane_main, "ppc": commands.control_plane_main, "pp": main.main,
}  # fmt: skip

Run = Callable[[Callable[[], None], list[str]], tuple[int, str, str]]


@pytest.fixture
def run(monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]) -> Run:
    """Returns a function that runs an entry point with flags, and returns exit code, standard output and standard error."""

    def run_entry_point(entry_point: Callable[[], None], flags: list[str]) -> tuple[int, str, str]:
        monkeypatch.setattr(sys, "argv", ["program", *flags])
        with pytest.raises(SystemExit) as exited:
            entry_point()
        out, err = capsys.readouterr()
        return int(exited.value.code or 0), out, err

    return run_entry_point


def expected_notice(earlier: str) -> str:
    return f"{earlier}: this name goes away with the next release; call {EARLIER[earlier]} instead\n"


@pytest.mark.parametrize(
    ("earlier", "flags", "code"),
    [
        ("ppd", ["--name=e1", "--area=a", "--peer=nowhere"], 2),
        ("ppd", ["--config=/no/such"], 2),
        ("ppc", ["--name=c1", "--area=a", "--peer=nowhere"], 2),
        ("ppc", ["--config=/no/such"], 2),
        ("pp", ["manifest", "check", "examples/kompressorlab.json"], 0),
        ("pp", ["manifest", "check", "/no/such"], 2),
        ("pp", ["lot", "show", "x"], 2),
        ("pp", ["lot", "show", "x", "--edge", "127.0.0.1:1", "--caller", "me"], 3),
        ("pp", ["doctor", "--control", "127.0.0.1:1"], 1),
    ],
)
def test_an_earlier_name_prints_one_line_and_does_the_same(
    run: Run, monkeypatch: pytest.MonkeyPatch, earlier: str, flags: list[str], code: int
) -> None:
    monkeypatch.chdir(ROOT)
    present_code, present_out, present_err = run(PRESENT[earlier], flags)
    assert present_code == code
    earlier_code, out, err = run(getattr(renamed_commands, earlier), flags)
    assert earlier_code == code
    # Error messages begin with the name under which the command was started, here the earlier one.
    assert out == present_out.replace("postpassctl: ", "pp: ")
    assert err == expected_notice(earlier) + present_err.replace("postpassctl: ", "pp: ")


@pytest.mark.parametrize("earlier", EARLIER)
def test_every_name_is_an_entry_point(earlier: str) -> None:
    scripts = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]["scripts"]
    assert scripts[earlier] == f"postpass.cli.renamed_commands:{earlier}"
    module, _, function = scripts[EARLIER[earlier]].partition(":")
    assert getattr(sys.modules[module], function) is PRESENT[earlier]


@pytest.mark.parametrize("command", [commands.data_plane, commands.control_plane])
def test_a_zone_is_given_by_either_flag(monkeypatch: pytest.MonkeyPatch, command: Callable[..., int]) -> None:
    passed_flags: list[dict[str, Any]] = []

    def start(_kind: Any, _path: str, flags: dict[str, Any]) -> int:
        passed_flags.append(flags)
        return 0

    monkeypatch.setattr(commands, "start", start)
    for given in ({"zone": "a"}, {"area": "a"}, {"zone": "a", "area": "b"}):
        assert command(name="m", **given) == 0
    assert [flags["area"] for flags in passed_flags] == ["a", "a", "a"] and "zone" not in passed_flags[0]


def test_the_configuration_commands_have_two_names(run: Run, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.chdir(ROOT)
    arguments = ["check", "examples/kompressorlab.json"]
    assert run(main.main, ["manifest", *arguments]) == run(main.main, ["configuration", *arguments])
    assert run(main.main, ["configuration", *arguments])[0] == 0
