"""Tests of postpass.cli.main."""

from __future__ import annotations

from pathlib import Path
from typing import Any

from postpass.cli.fleet_client import ExitCode
from postpass.cli.main import main


def test_bad_input_gets_a_line_and_a_code(tmp_path: Path, capsys: Any) -> None:
    def run(*arguments: str) -> tuple[int, str]:
        try:
            main(list(arguments))
        except SystemExit as exit_error:
            return int(exit_error.code or 0), capsys.readouterr().err
        raise AssertionError

    invalid_file = tmp_path / "m.json"
    invalid_file.write_text('{"name": 3}')
    code, errors = run("manifest", "check", str(invalid_file))
    assert code == ExitCode.REFUSED and "name: want a string, got 3" in errors and "parts: missing" in errors
    assert run("manifest", "check", "/no/such")[1].strip() == "postpassctl: /no/such: No such file or directory"
    code, errors = run("lot", "show", "x")
    assert code == ExitCode.USAGE and "--edge" in errors
    code, errors = run("lot", "show", "x", "--edge", "127.0.0.1:1")
    assert code == ExitCode.UNKNOWN and "127.0.0.1:1" in errors
