"""`python -m model control --members 4 --depth 12`, `contact` or `partition`: searches a size, and prints the states, the
time and the shortest trace of a breach."""

from __future__ import annotations

import sys

import fire

from model.contact.state import Size as ContactSize
from model.contact.steps import ContactModel
from model.control.state import Size
from model.control.steps import ControlModel
from model.partition.state import Size as PartitionSize
from model.partition.steps import PartitionModel
from model.search import Limits, S, System, search


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
    return _refuse(size.flaws()) or _run(ControlModel(size).system(), Limits(depth, states))


def contact(
    members: int = 3, epochs: int = 3, cuts: int = 1, freezes: bool = False, depth: int = 0, states: int = 1_000_000
) -> int:
    """Searches who may ask for an election, while links are cut and heal.

    Args:
        members: control members, 3 at the least.
        epochs: the last epoch that is searched; the fleet is founded in epoch 1.
        cuts: how often links fail.
        freezes: whether a candidate may be frozen between its pre-vote and its election.
        depth: the longest run of steps; 0: no limit.
        states: where the search ends; 0: no limit.
    """
    size = ContactSize(members, epochs, cuts, freezes)
    return _refuse(size.flaws()) or _run(ContactModel(size).system(), Limits(depth, states))


def partition(
    members: int = 3,
    epochs: int = 2,
    lots: int = 1,
    wipes: int = 1,
    tolerate: int = 1,
    depth: int = 0,
    states: int = 1_000_000,
) -> int:
    """Searches the replication of a partition.

    Args:
        members: stores, 3 at the least.
        epochs: the last epoch that is searched; the partition is formed in epoch 1.
        lots: how many lots are taken.
        wipes: how many disks are lost in all, never more at once than `tolerate`.
        tolerate: how many disks may be lost at once.
        depth: the longest run of steps; 0: no limit.
        states: where the search ends; 0: no limit.
    """
    size = PartitionSize(members, epochs, lots, wipes, tolerate)
    return _refuse(size.flaws()) or _run(PartitionModel(size).system(), Limits(depth, states))


def _refuse(flaws: list[str]) -> int:
    """2 if there are flaws, after telling them."""
    for flaw in flaws:
        print(flaw, file=sys.stderr)
    return 2 if flaws else 0


def _run(system: System[S], limits: Limits) -> int:
    """1 if an invariant breaks."""
    found = search(system, limits)
    print(found.text())
    return 1 if found.breach else 0


if __name__ == "__main__":
    sys.exit(
        fire.Fire(
            {"control": control, "contact": contact, "partition": partition},
            serialize=lambda got: None if isinstance(got, int) else got,
        )
    )
