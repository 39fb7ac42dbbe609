"""Processor time, traffic and memory of the processes of a simulated fleet."""

from __future__ import annotations

import gc
import os
import time
from asyncio import events as loop_events
from collections import Counter
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from postpass.rpc import codec
from sim.loop import HOST, Pipe

Row = dict[str, Any]


@dataclass(eq=False)
class Meter:
    """By host, since the last reset. Invariant: processor time is of the host's own callbacks; the simulated network's
    share is in it, the kernel's sockets are not."""

    cpu: Counter[str] = field(default_factory=Counter)  # nanoseconds
    sent: Counter[str] = field(default_factory=Counter)  # bytes
    received: Counter[str] = field(default_factory=Counter)
    messages: Counter[tuple[str, str]] = field(default_factory=Counter)  # (host, what), between own processes
    sizes: Counter[tuple[str, str]] = field(default_factory=Counter)

    def reset(self) -> None:
        for count in (self.cpu, self.sent, self.received, self.messages, self.sizes):
            count.clear()

    def cost(self, names: Sequence[str], span: float) -> Row:
        """Means over these hosts, a second."""
        n = max(1, len(names)) * span
        return {
            "cpu_ms": sum(self.cpu[x] for x in names) / n / 1e6, "sent": sum(self.sent[x] for x in names) / n,
            "received": sum(self.received[x] for x in names) / n,
            "messages": sum(v for (x, _), v in self.messages.items() if x in set(names)) / n,
        }  # fmt: skip

    def by_verb(self, names: Sequence[str], span: float) -> dict[str, float]:
        """Bytes a second that one of these sends, by what they are."""
        out: Counter[str] = Counter()
        for (name, verb), size in self.sizes.items():
            if name in set(names):
                out[verb] += size
        return {k: round(v / max(1, len(names)) / span, 1) for k, v in out.most_common(6)}


@contextmanager
def metered() -> Iterator[Meter]:
    meter, run, send, message = Meter(), loop_events.Handle._run, Pipe._send, codec.encode_message

    def measured(handle: Any) -> Any:
        began = time.thread_time_ns()
        out = run(handle)
        host = handle._context.get(HOST)
        if host is not None:
            meter.cpu[host.name] += time.thread_time_ns() - began
        return out

    def sending(pipe: Pipe, data: bytes | None) -> None:
        meter.sent[pipe.host.name] += len(data or b"")
        meter.received[pipe.there.name] += len(data or b"")
        send(pipe, data)

    def told(name: str, kind: int, sequence: int, record: Any) -> bytes:
        data = message(name, kind, sequence, record)
        host = HOST.get()
        if host is not None:
            meter.messages[(host.name, name)] += 1
            meter.sizes[(host.name, name)] += len(data)
        return data

    loop_events.Handle._run = measured  # type: ignore[assignment,method-assign]
    Pipe._send = sending  # type: ignore[assignment,method-assign]
    codec.encode_message = told
    # Else a collection over all processes of the fleet would be charged to whichever of them happened to cause it.
    gc.collect()
    gc.freeze()
    try:
        yield meter
    finally:
        gc.unfreeze()
        loop_events.Handle._run = run  # type: ignore[method-assign]
        Pipe._send = send  # type: ignore[method-assign]
        codec.encode_message = message


def resident_bytes() -> int:
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")


def timed(work: Callable[[], Any], least: float = 0.15) -> float:
    """Processor seconds of one run of it."""
    count, began = 0, time.process_time()
    while True:
        work()
        count += 1
        spent = time.process_time() - began
        if spent >= least:
            return spent / count
