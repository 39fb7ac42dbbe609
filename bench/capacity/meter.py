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

Row = dict[str, Any]  # one measurement, as it is written as JSON
LISTED_VERBS = 6


@dataclass(eq=False)
class Meter:
    """What each host cost since the last reset; written by `metered`, read by the measurements.

    Invariant: processor time is of the host's own callbacks; the simulated network's share is in it, the kernel's
    sockets are not.
    """

    cpu: Counter[str] = field(default_factory=Counter)  # nanoseconds
    sent: Counter[str] = field(default_factory=Counter)  # bytes
    received: Counter[str] = field(default_factory=Counter)
    messages: Counter[tuple[str, str]] = field(default_factory=Counter)  # by host and verb, between own processes
    sizes: Counter[tuple[str, str]] = field(default_factory=Counter)  # bytes, by host and verb

    def reset(self) -> None:
        """Starts anew at zero."""
        for count in (self.cpu, self.sent, self.received, self.messages, self.sizes):
            count.clear()

    def cost(self, names: Sequence[str], span: float) -> Row:
        """Means over these hosts, a second, after `span` seconds."""
        total = max(1, len(names)) * span
        return {
            "cpu_ms": sum(self.cpu[name] for name in names) / total / 1e6,
            "sent": sum(self.sent[name] for name in names) / total,
            "received": sum(self.received[name] for name in names) / total,
            "messages": sum(count for (name, _), count in self.messages.items() if name in set(names)) / total,
        }

    def by_verb(self, names: Sequence[str], span: float) -> dict[str, float]:
        """Bytes a second that one of these sends, for the verbs that cost most."""
        by_verb: Counter[str] = Counter()
        for (name, verb), size in self.sizes.items():
            if name in set(names):
                by_verb[verb] += size
        count = max(1, len(names))
        return {verb: round(size / count / span, 1) for verb, size in by_verb.most_common(LISTED_VERBS)}


@contextmanager
def metered() -> Iterator[Meter]:
    """Measures all hosts of the simulated fleet that runs in this process."""
    meter, run, send, encode = Meter(), loop_events.Handle._run, Pipe._send, codec.encode_message

    def measured_run(handle: Any) -> Any:
        began = time.thread_time_ns()
        result = run(handle)
        host = handle._context.get(HOST)
        if host is not None:
            meter.cpu[host.name] += time.thread_time_ns() - began
        return result

    def measured_send(pipe: Pipe, data: bytes | None) -> None:
        meter.sent[pipe.host.name] += len(data or b"")
        meter.received[pipe.there.name] += len(data or b"")
        send(pipe, data)

    def measured_encode(verb: str, kind: int, sequence: int, record: Any) -> bytes:
        data = encode(verb, kind, sequence, record)
        host = HOST.get()
        if host is not None:
            meter.messages[(host.name, verb)] += 1
            meter.sizes[(host.name, verb)] += len(data)
        return data

    loop_events.Handle._run = measured_run  # type: ignore[assignment,method-assign]
    Pipe._send = measured_send  # type: ignore[assignment,method-assign]
    codec.encode_message = measured_encode
    # Else a collection over all processes of the fleet would be charged to whichever of them happened to cause it.
    gc.collect()
    gc.freeze()
    try:
        yield meter
    finally:
        gc.unfreeze()
        loop_events.Handle._run = run  # type: ignore[method-assign]
        Pipe._send = send  # type: ignore[method-assign]
        codec.encode_message = encode


def resident_bytes() -> int:
    """Resident memory of this process."""
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")


def timed(work: Callable[[], Any], least: float = 0.15) -> float:
    """Processor seconds of one run of `work`, by as many runs as take `least` seconds."""
    count, began = 0, time.process_time()
    while True:
        work()
        count += 1
        spent = time.process_time() - began
        if spent >= least:
            return spent / count
