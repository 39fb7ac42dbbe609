"""Entries of the log on disk other than records (see `Record.entry`).

`PartitionTable.load` applies all entries in the order of the log.
"""

from __future__ import annotations

from typing import Any

from postpass.rpc.codec import IDL

PROMISE = "promise"
BASE = "base"
CUT = "cut"
RECORD = "rec"


def promise_entry(partition: int, epoch: int) -> Any:
    """Returns an entry for the promise that nothing under a lower epoch is accepted from here on."""
    return IDL.Entry(part=partition, op=PROMISE, epoch=epoch)


def base_entry(partition: int, seq: int, epoch: int, body: bytes) -> Any:
    """Returns an entry that replaces all earlier records of a partition by a base.

    Args:
        partition: Number of the partition.
        seq: Sequence number of the last record that is folded into the base.
        epoch: Epoch of that record.
        body: The serialized base.
    """
    return IDL.Entry(part=partition, op=BASE, seq=seq, epoch=epoch, body=body)


def cut_entry(partition: int, seq: int) -> Any:
    """Returns an entry that voids the records of a partition after a sequence number."""
    return IDL.Entry(part=partition, op=CUT, seq=seq)
