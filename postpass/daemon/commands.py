"""The commands that run a daemon, one process on each machine: `postpass-data-plane` and `postpass-control-plane`."""

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
from postpass.daemon.process import Daemon
from postpass.daemon.runner import run_daemon
from postpass.runtime.disk import RealDisk
from postpass.runtime.environment import Environment

EXIT_BAD_SETTINGS = 2
LIST_FLAGS = ("seeds", "duties")


def start(daemon_class: type[DataPlane] | type[ControlPlane], config_path: str, flags: dict[str, Any]) -> int:
    """Runs a daemon with the settings of a file, which flags override; returns its exit code.

    If the settings are invalid, it prints each error as a line on standard error and returns `EXIT_BAD_SETTINGS`.
    """
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)
    loaded = load(config_path, flags | _list_flags(flags), daemon_class is ControlPlane)
    if isinstance(loaded, Err):
        for flaw in loaded.unwrap_err():
            print(flaw, file=sys.stderr)
        return EXIT_BAD_SETTINGS
    settings = loaded.unwrap()
    try:
        disk = RealDisk(Path(settings.data), settings.disk_bytes) if settings.data else None
    except OSError as error:
        print(f"{config_path or 'flags'}: data: {settings.data}: {error.strerror}", file=sys.stderr)
        return EXIT_BAD_SETTINGS

    def make_daemon() -> Daemon:
        return daemon_class(settings, Environment(disk=disk))

    return run_daemon(make_daemon)


def _list_flags(flags: dict[str, Any]) -> dict[str, list[Any]]:
    """Returns the flags that take several values as lists; fire passes them as one string or as a tuple."""
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

    Exit codes: 0 stopped as asked, 1 cannot listen, 2 invalid settings, 3 a fault after which it must not go on.

    Args:
      config: JSON file of settings: name, area, peer, http, seeds (three), duties, data, bounds. Flags override it.
      name: this machine's name in the configuration.
      area: the older name of --zone; ignored if --zone is given.
      peer: IP:PORT to listen on for other postpass processes.
      http: IP:PORT to listen on for clients and operators.
      seeds: three IP:PORT of other postpass processes, separated by commas.
      duties: what this machine does: edge, sched, store, separated by commas.
      data: directory in which the store duty keeps its data.
      zone: the zone that this machine is in.
    """
    zone_name = area if zone is None else zone
    flags = {
        "name": name,
        "area": zone_name,
        "peer": peer,
        "http": http,
        "seeds": seeds,
        "duties": duties,
        "data": data,
    }
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
    """Runs one control machine until SIGTERM: it always votes on epochs, and may be the primary or a backup.

    Exit codes: 0 stopped as asked, 1 cannot listen, 2 invalid settings, 3 a fault after which it must not go on.

    Args:
      config: JSON file of settings: name, area, peer, http, seeds (three), data, bounds. Flags override it.
      name: this machine's name in the configuration.
      area: the older name of --zone; ignored if --zone is given.
      peer: IP:PORT to listen on for other postpass processes.
      http: IP:PORT to listen on for operators.
      seeds: three IP:PORT of other postpass processes, separated by commas.
      data: directory for the votes on epochs and the control state.
      zone: the zone that this machine is in.
    """
    zone_name = area if zone is None else zone
    flags = {"name": name, "area": zone_name, "peer": peer, "http": http, "seeds": seeds, "data": data}
    return start(ControlPlane, config, flags)


def run_command(command: Callable[..., int], program: str) -> int:
    """Runs a command with the command-line arguments of this process, and returns its exit code.

    `program` is the name of the command in the help text.
    """
    result = fire.Fire(command, name=program, serialize=lambda result: None if isinstance(result, int) else result)
    return int(result) if isinstance(result, int) else 0


def data_plane_main(program: str = "postpass-data-plane") -> None:
    """Runs `postpass-data-plane`, and exits the process with its exit code."""
    sys.exit(run_command(data_plane, program))


def control_plane_main(program: str = "postpass-control-plane") -> None:
    """Runs `postpass-control-plane`, and exits the process with its exit code."""
    sys.exit(run_command(control_plane, program))
