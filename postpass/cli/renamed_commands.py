"""The commands of release 0.2 under their earlier names, which go on working for one release.

Each prints one line on standard error that says what to call instead, and then does the same as the new one. Delete
this module and its entry points in `pyproject.toml` with the release after the next.
"""

from __future__ import annotations

import sys


def _warn(earlier: str, present: str) -> None:
    print(f"{earlier}: this name goes away with the next release; call {present} instead", file=sys.stderr)


def ppd() -> None:
    """The earlier name of `postpass-data-plane`."""
    from postpass.daemon.commands import data_plane_main

    _warn("ppd", "postpass-data-plane")
    data_plane_main("ppd")


def ppc() -> None:
    """The earlier name of `postpass-control-plane`."""
    from postpass.daemon.commands import control_plane_main

    _warn("ppc", "postpass-control-plane")
    control_plane_main("ppc")


def pp() -> None:
    """The earlier name of `postpassctl`."""
    from postpass.cli.main import main

    _warn("pp", "postpassctl")
    main(program="pp")
