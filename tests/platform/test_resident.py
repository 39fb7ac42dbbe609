"""Tests of the program that runs one process on the platform."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parents[2]
INVALID_SETTINGS = 2  # exit code


def test_a_change_of_the_settings_file_during_the_start_does_not_end_the_process(tmp_path: Path) -> None:
    settings_file = tmp_path / "boot.json"
    os.mkfifo(settings_file)
    process = subprocess.Popen(
        [sys.executable, str(ROOT / "platform" / "resident.py"), "edge"],
        cwd=ROOT, stderr=subprocess.DEVNULL, env=os.environ | {"POSTPASS_CONFIG": str(settings_file)},
    )  # fmt: skip
    with settings_file.open("w") as writer:  # returns once the process reads its settings
        process.send_signal(signal.SIGHUP)
        writer.write("{")
    assert process.wait(60) == INVALID_SETTINGS
