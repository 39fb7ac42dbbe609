"""Tests of postpass.cli.main."""

from __future__ import annotations

from pathlib import Path
from typing import Any

from postpass.cli.fleet_client import ExitCode
from postpass.cli.main import main


def test_bad_input_gets_a_line_and_a_code(tmp_path: Path, capsys: Any) -> None:
    def run(*words: str) -> tuple[int, str]:
        try:
            main(list(words))
        except SystemExit as end:
            return int(end.code or 0), capsys.readouterr().err
        raise AssertionError

    bad = tmp_path / "m.json"
    bad.write_text('{"name": 3}')
    code, err = run("manifest", "check", str(bad))
    assert code == ExitCode.REFUSED and "name: want a string, got 3" in err and "parts: missing" in err
    assert run("manifest", "check", "/no/such")[1].strip() == "postpassctl: /no/such: No such file or directory"
    code, err = run("lot", "show", "x")
    assert code == ExitCode.USAGE and "--edge" in err
    code, err = run("lot", "show", "x", "--edge", "127.0.0.1:1")
    assert code == ExitCode.UNKNOWN and "127.0.0.1:1" in err
