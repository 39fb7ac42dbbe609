"""Entries of the log on disk beside records (`Record.entry`); `PartitionTable.load` applies them in the order of the log."""

from __future__ import annotations

from typing import Any

from postpass.rpc.codec import IDL

PROMISE = "promise"
BASE = "base"
CUT = "cut"
RECORD = "rec"


def promise_entry(partition: int, epoch: int) -> Any:
    """Nothing below an epoch is accepted from here on."""
    return IDL.Entry(part=partition, op=PROMISE, epoch=epoch)


def base_entry(partition: int, seq: int, epoch: int, body: bytes) -> Any:
    """All records up to a sequence number, folded into a base; what the log held before is void."""
    return IDL.Entry(part=partition, op=BASE, seq=seq, epoch=epoch, body=body)


def cut_entry(partition: int, seq: int) -> Any:
    """The records after a sequence number are void."""
    return IDL.Entry(part=partition, op=CUT, seq=seq)
