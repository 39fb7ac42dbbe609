"""`python -m model control --members 4 --depth 12`: searches a size and prints the states, the time and any breach."""

from __future__ import annotations

import sys

import fire

from model.control.state import Size
from model.control.steps import ControlModel
from model.search import Limits, search


def control(
    members: int = 3,
    epochs: int = 2,
    bases: tuple[int, ...] = (0, 0),
    wipes: int = 1,
    reads: int = 1,
    tolerate: int = 1,
    leaves: int = 0,
    depth: int = 0,
    states: int = 1_000_000,
) -> int:
    """Searches the control protocol.

    Args:
        members: control members, 3 at the least.
        epochs: the last epoch that is searched; the fleet is founded in epoch 1.
        bases: for each order the version that it builds on.
        wipes: how many disks are lost in all, never more at once than `tolerate`.
        reads: how many confirmed reads there are.
        tolerate: how many disks may be lost at once; a primary has as many backups.
        leaves: how many members are asked to leave for good.
        depth: the longest run of steps; 0: no limit.
        states: where the search ends; 0: no limit.
    """
    size = Size(members, epochs, tuple(bases), wipes, reads, tolerate, leaves)
    flaws = size.flaws()
    if flaws:
        print("\n".join(flaws), file=sys.stderr)
        return 2
    found = search(ControlModel(size).system(), Limits(depth, states))
    print(found.text())
    return 1 if found.breach else 0


if __name__ == "__main__":
    sys.exit(fire.Fire({"control": control}, serialize=lambda got: None if isinstance(got, int) else got))
