"""ppc: the control plane of postpass, one process a control machine."""

from __future__ import annotations

import sys

from postpass.control.daemon import ControlPlane
from postpass.daemon.data_plane_command import _run, start


def ppc(
    config: str = "",
    name: str | None = None,
    area: str | None = None,
    peer: str | None = None,
    http: str | None = None,
    seeds: str | None = None,
    data: str | None = None,
) -> int:
    """Runs one control machine until SIGTERM: always a witness of epochs, at times primary or backup.

    Exit codes: 0 clean, 1 cannot listen, 2 bad config, 3 a fault that it must not go on with.

    Args:
      config: JSON file with name, area, peer, http, seeds (three), data, bounds.
      name: this machine's name in the manifest.
      area: the area it stands in.
      peer: IP:PORT for postpass's own processes.
      http: IP:PORT for operators.
      seeds: three IP:PORT of other processes, with commas between them.
      data: folder for epochs and control state.
    """
    return start(
        ControlPlane, config, {"name": name, "area": area, "peer": peer, "http": http, "seeds": seeds, "data": data}
    )


def main() -> None:
    sys.exit(_run(ppc))
