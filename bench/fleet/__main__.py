"""Starts a whole deployment on loopback as real processes, applies its configuration, runs its clients, causes faults if
asked to, prints a report, and stops everything that it started.

    python -m bench.fleet run kompressorlab --seconds 60 --faults --out docs/reports/kompressorlab.md
    python -m bench.fleet up couriers            # just the fleet, until Ctrl-C
"""

from __future__ import annotations

import asyncio
import shutil
import signal
import sys
import tempfile
import time
from dataclasses import replace
from pathlib import Path

import fire

from bench.clients import Load
from bench.deploy import DEPLOYMENTS
from bench.fleet.main_job import MainJob, Trouble
from bench.fleet.processes import CONTROL, EDGE, Fleet
from bench.fleet.report import FinishedRun, report
from sim.check import Bounds, History, breaches
from sim.exit_status import ExitStatus, verdict_of


class Commands:
    """A deployment on loopback."""

    def run(
        self,
        name: str,
        seconds: float = 60,
        faults: bool = False,
        wipe: bool = False,
        out: str = "",
        keep: bool = False,
        scale: float = 1.0,
    ) -> int:
        """Runs the main job and prints its report; exit 1 if anything happened that must never happen, 2 if the run
        itself failed.

        Args:
          name: kompressorlab or couriers.
          seconds: how long the callers call.
          faults: cause every fault and operation of the list in turn, for as long as that takes.
          wipe: lose more than is tolerated, and measure the time until service is back.
          out: a file for the report.
          keep: keep the folder with logs and data.
          scale: a factor on the callers' rates.
        """
        plan = DEPLOYMENTS[name]
        if scale != 1.0:
            plan = replace(plan, load=scaled(plan.load, scale))
        root = Path(tempfile.mkdtemp(prefix=f"postpass-{name}-"))
        (root / "data").mkdir()
        fleet, notes = Fleet(plan, root), list[str]()
        trouble = Trouble.FAULTS if faults else Trouble.WIPE if wipe else Trouble.NONE
        began = time.time()
        try:
            asyncio.run(MainJob(fleet, seconds, trouble, notes).run())
        finally:
            exit_codes = fleet.stop_all()
        fleet.collect()
        command = _command(name, seconds, trouble, scale)
        page = report(
            FinishedRun(
                plan, fleet.configuration, fleet.events, len(fleet.processes), time.time() - began, notes, exit_codes,
                command, wipe,
            )
        )  # fmt: skip
        print(page)
        if out:
            Path(out).parent.mkdir(parents=True, exist_ok=True)
            Path(out).write_text(page)
        if keep:
            print(f"logs and data: {root}", file=sys.stderr)
        else:
            shutil.rmtree(root)
        broken = breaches(History(fleet.events, Bounds(ramp=plan.manifest["ramp"]), wipe))
        return ExitStatus.BROKEN if broken else ExitStatus.HELD

    def up(self, name: str, folder: str = "run") -> int:
        """Starts a deployment and leaves it running until Ctrl-C or SIGTERM.

        Args:
          name: kompressorlab or couriers.
          folder: where logs and data go.
        """
        root = Path(folder).absolute()
        (root / "data").mkdir(parents=True, exist_ok=True)
        fleet = Fleet(DEPLOYMENTS[name], root)
        try:
            asyncio.run(_hold(fleet))
        finally:
            fleet.stop_all()
        return 0


async def _hold(fleet: Fleet) -> None:
    """Starts a fleet, tells where `postpassctl` finds it, and waits for Ctrl-C or SIGTERM."""
    stop = asyncio.Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        asyncio.get_running_loop().add_signal_handler(number, stop.set)
    fleet.start_all()
    print(f"export POSTPASS_CONTROL={_addresses(fleet, CONTROL)}")
    print(f"export POSTPASS_EDGE={_addresses(fleet, EDGE)}", flush=True)
    await stop.wait()


def _addresses(fleet: Fleet, duty: str) -> str:
    return ",".join(url.removeprefix("http://") for url in fleet.urls(duty).values())


def scaled(load: Load, factor: float) -> Load:
    """The same load at other rates; the size of jobs stays."""
    return Load(
        {kind: rate * factor for kind, rate in load.live.items()},
        {kind: rate * factor for kind, rate in load.plain.items()},
        {kind: (rate * factor, items) for kind, (rate, items) in load.lots.items()},
        load.within,
        load.pieces,
    )


def _command(name: str, seconds: float, trouble: Trouble, scale: float) -> str:
    """The command line that a report names."""
    flags = {Trouble.FAULTS: "--faults", Trouble.WIPE: "--wipe", Trouble.NONE: f"--seconds {seconds:g}"}
    factor = f" --scale {scale:g}" if scale != 1 else ""
    return f"python -m bench.fleet run {name} {flags[trouble]}{factor}"


if __name__ == "__main__":
    sys.exit(
        verdict_of(lambda: fire.Fire(Commands(), serialize=lambda result: None if isinstance(result, int) else result))
    )
