"""What each role costs as the fleet grows: the very same daemons, many of them in one process on simulated time, with the
processor time of each one's own callbacks; slopes from a few sizes, laid out to a size to design for.

python -m bench.capacity measure [--out docs/reports/capacity.md]    everything, three processes at a time
python -m bench.capacity fleet --daemons 32 --workers 100 --routes 9  one row of it, as JSON
python -m bench.capacity state --routes 600                           control's state, see measurements/control_state.py
python -m bench.capacity catch_up --missed 1000
python -m bench.capacity state_disk --routes 600
"""

from __future__ import annotations

import json
import sys
from collections.abc import Sequence
from pathlib import Path

import fire

from bench.capacity.measurements.control_state import catch_up_row, disk_row, state_row
from bench.capacity.report import report
from bench.capacity.runs import MEASUREMENTS, gather


def measure(out: str = "", only: str | Sequence[str] = "", raw: str = "") -> None:
    """All rows, as JSON lines to `raw`; tables and slopes to `out`."""
    measured = gather(only)
    if raw:
        Path(raw).write_text("".join(json.dumps([name, row]) + "\n" for name, rows in measured.items() for row in rows))
    text = "\n".join(report(measured)) + "\n"
    print(text)
    if out:
        Path(out).write_text(text)


COMMANDS = {
    "measure": measure,
    **MEASUREMENTS,
    "state": state_row,
    "catch_up": catch_up_row,
    "state_disk": disk_row,
}

if __name__ == "__main__":
    sys.exit(fire.Fire(COMMANDS))
