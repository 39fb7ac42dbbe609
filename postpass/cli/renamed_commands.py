"""The commands of release 0.2 under their earlier names, which keep working for one release.

Each prints one line on standard error that gives the new name, and then does the same as the command of that name.
Delete this module and its entry points in `pyproject.toml` in the release after the next.
"""

from __future__ import annotations

import sys


def _print_rename_notice(earlier_name: str, present_name: str) -> None:
    print(f"{earlier_name}: this name goes away with the next release; call {present_name} instead", file=sys.stderr)


def ppd() -> None:
    """Runs `postpass-data-plane` under its earlier name."""
    from postpass.daemon.commands import data_plane_main

    _print_rename_notice("ppd", "postpass-data-plane")
    data_plane_main("ppd")


def ppc() -> None:
    """Runs `postpass-control-plane` under its earlier name."""
    from postpass.daemon.commands import control_plane_main

    _print_rename_notice("ppc", "postpass-control-plane")
    control_plane_main("ppc")


def pp() -> None:
    """Runs `postpassctl` under its earlier name."""
    from postpass.cli.main import main

    _print_rename_notice("pp", "postpassctl")
    main(program="pp")
