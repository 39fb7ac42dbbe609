"""Programs that judge the product: their own failure is no verdict."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

from sim.exit_status import ExitStatus, verdict_of

ROOT = Path(__file__).parents[2]


def fail() -> int:
    raise ConnectionRefusedError("nothing listens there")


@pytest.mark.parametrize("status", list(ExitStatus))
def test_the_verdict_of_a_check_is_its_exit_status(status: ExitStatus) -> None:
    assert verdict_of(lambda: status) == status


def test_an_exception_is_printed_and_is_no_verdict(capsys: pytest.CaptureFixture[str]) -> None:
    assert verdict_of(fail) == ExitStatus.COULD_NOT_RUN
    assert "ConnectionRefusedError: nothing listens there" in capsys.readouterr().err


@pytest.mark.parametrize(
    "command",
    [
        ["sim.runner", "no-such-file.txt"],
        ["sim.sweep", "--runs", "no-number"],
        ["bench.fleet", "run", "no-such-deployment"],
        ["tests.crowds.soak", "no-number", "1"],
        ["tests.replication.jobs_during_changes", "no-number", "1"],
    ],
)
def test_a_program_that_fails_itself_does_not_report_a_broken_product(command: list[str]) -> None:
    """Guards against an exception of the check that its exit status tells as a fault of the product."""
    finished = subprocess.run([sys.executable, "-m", *command], cwd=ROOT, capture_output=True, text=True, check=False)
    assert finished.returncode == ExitStatus.COULD_NOT_RUN, finished.stderr
    assert "Traceback" in finished.stderr
