"""ppd: the data plane of postpass, one process a machine."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Any

import fire
from absl import logging
from result import Err

from postpass.configuration.settings import load
from postpass.control.daemon import ControlPlane
from postpass.daemon.data_plane import DataPlane
from postpass.daemon.process import Daemon, run_daemon
from postpass.runtime.disk import RealDisk
from postpass.runtime.environment import Environment


def start(kind: type[DataPlane] | type[ControlPlane], path: str, flags: dict[str, Any]) -> int:
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)
    want = kind is ControlPlane
    for key in ("seeds", "duties"):
        if isinstance(flags.get(key), str):
            flags[key] = [w for w in flags[key].split(",") if w]
        elif isinstance(flags.get(key), tuple):
            flags[key] = list(flags[key])
    got = load(path, flags, want)
    if isinstance(got, Err):
        for flaw in got.unwrap_err():
            print(flaw, file=sys.stderr)
        return 2
    settings = got.unwrap()
    try:
        disk = RealDisk(Path(settings.data), settings.disk_bytes) if settings.data else None
    except OSError as bad:
        print(f"{path or 'flags'}: data: {settings.data}: {bad.strerror}", file=sys.stderr)
        return 2

    def make() -> Daemon:
        return kind(settings, Environment(disk=disk))

    return run_daemon(make)


def ppd(
    config: str = "",
    name: str | None = None,
    area: str | None = None,
    peer: str | None = None,
    http: str | None = None,
    seeds: str | None = None,
    duties: str | None = None,
    data: str | None = None,
) -> int:
    """Runs the data plane of one machine until SIGTERM.

    Exit codes: 0 clean, 1 cannot listen, 2 bad config, 3 a fault that it must not go on with.

    Args:
      config: JSON file with name, area, peer, http, seeds (three), duties, data, bounds.
      name: this machine's name in the manifest.
      area: the area it stands in.
      peer: IP:PORT for postpass's own processes.
      http: IP:PORT for callers and operators.
      seeds: three IP:PORT of other processes, with commas between them.
      duties: edge, sched, store; commas between them.
      data: folder for what the store duty keeps.
    """
    flags = {"name": name, "area": area, "peer": peer, "http": http, "seeds": seeds, "duties": duties, "data": data}
    return start(DataPlane, config, flags)


def main() -> None:
    sys.exit(_run(ppd))


def _run(command: Any) -> int:
    got = fire.Fire(command, name=command.__name__, serialize=lambda got: None if isinstance(got, int) else got)
    return int(got) if isinstance(got, int) else 0
