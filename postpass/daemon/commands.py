"""The commands that run a daemon: `postpass-data-plane` and `postpass-control-plane`, one process a machine."""

from __future__ import annotations

import sys
from collections.abc import Callable
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

EXIT_BAD_SETTINGS = 2
LIST_FLAGS = ("seeds", "duties")


def start(kind: type[DataPlane] | type[ControlPlane], path: str, flags: dict[str, Any]) -> int:
    """Runs a daemon with the settings of a file and of flags, which win; returns its exit code.

    Bad settings are told on standard error, one flaw a line, with `EXIT_BAD_SETTINGS`.
    """
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)
    got = load(path, flags | _list_flags(flags), kind is ControlPlane)
    if isinstance(got, Err):
        for flaw in got.unwrap_err():
            print(flaw, file=sys.stderr)
        return EXIT_BAD_SETTINGS
    settings = got.unwrap()
    try:
        disk = RealDisk(Path(settings.data), settings.disk_bytes) if settings.data else None
    except OSError as error:
        print(f"{path or 'flags'}: data: {settings.data}: {error.strerror}", file=sys.stderr)
        return EXIT_BAD_SETTINGS

    def make() -> Daemon:
        return kind(settings, Environment(disk=disk))

    return run_daemon(make)


def _list_flags(flags: dict[str, Any]) -> dict[str, list[Any]]:
    """The flags that list several values, which fire gives as one string or as a tuple."""
    lists: dict[str, list[Any]] = {}
    for key in LIST_FLAGS:
        value = flags.get(key)
        if isinstance(value, str):
            lists[key] = [word for word in value.split(",") if word]
        elif isinstance(value, tuple):
            lists[key] = list(value)
    return lists


def data_plane(
    config: str = "",
    name: str | None = None,
    area: str | None = None,
    peer: str | None = None,
    http: str | None = None,
    seeds: str | None = None,
    duties: str | None = None,
    data: str | None = None,
    zone: str | None = None,
) -> int:
    """Runs the data plane of one machine until SIGTERM.

    Exit codes: 0 clean, 1 cannot listen, 2 bad config, 3 a fault that it must not go on with.

    Args:
      config: JSON file with name, area, peer, http, seeds (three), duties, data, bounds.
      name: this machine's name in the configuration.
      area: the same as zone, which wins.
      peer: IP:PORT for postpass's own processes.
      http: IP:PORT for clients and operators.
      seeds: three IP:PORT of other processes, with commas between them.
      duties: edge, sched, store; commas between them.
      data: folder for what the store duty keeps.
      zone: the zone it stands in.
    """
    place = area if zone is None else zone
    flags = {"name": name, "area": place, "peer": peer, "http": http, "seeds": seeds, "duties": duties, "data": data}
    return start(DataPlane, config, flags)


def control_plane(
    config: str = "",
    name: str | None = None,
    area: str | None = None,
    peer: str | None = None,
    http: str | None = None,
    seeds: str | None = None,
    data: str | None = None,
    zone: str | None = None,
) -> int:
    """Runs one control machine until SIGTERM: it always keeps the votes of epochs, and is at times primary or backup.

    Exit codes: 0 clean, 1 cannot listen, 2 bad config, 3 a fault that it must not go on with.

    Args:
      config: JSON file with name, area, peer, http, seeds (three), data, bounds.
      name: this machine's name in the configuration.
      area: the same as zone, which wins.
      peer: IP:PORT for postpass's own processes.
      http: IP:PORT for operators.
      seeds: three IP:PORT of other processes, with commas between them.
      data: folder for epochs and control state.
      zone: the zone it stands in.
    """
    place = area if zone is None else zone
    flags = {"name": name, "area": place, "peer": peer, "http": http, "seeds": seeds, "data": data}
    return start(ControlPlane, config, flags)


def run_command(command: Callable[..., int], program: str) -> int:
    """Runs a command with the flags of this process, under the name that its usage shows; returns the exit code."""
    got = fire.Fire(command, name=program, serialize=lambda got: None if isinstance(got, int) else got)
    return int(got) if isinstance(got, int) else 0


def data_plane_main(program: str = "postpass-data-plane") -> None:
    """The entry point of the data plane; exits with its code."""
    sys.exit(run_command(data_plane, program))


def control_plane_main(program: str = "postpass-control-plane") -> None:
    """The entry point of the control plane; exits with its code."""
    sys.exit(run_command(control_plane, program))
