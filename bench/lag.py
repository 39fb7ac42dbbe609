"""Gives a loopback fleet the delay between its areas: python -m bench.lag MS data-plane|control-plane [flags of the daemon].

Loopback has none. The disk is one that loses what was not synced (bench.brittle), and with POSTPASS_CUT the process can
be cut off. A connection that this process opens towards another area (the second number of the
address) takes MS milliseconds each way; those within an area are left alone. The product knows nothing of it.
"""

from __future__ import annotations

import asyncio
import os
import sys
from collections import deque
from collections.abc import Callable
from typing import Any


class LagTransport(asyncio.Transport):
    """Hands bytes on after the delay, in order. Invariant: what was written before close leaves before it."""

    def __init__(self, real: asyncio.Transport, line: Line) -> None:
        super().__init__()
        self.real, self.line = real, line

    def __getattr__(self, name: str) -> Any:
        return getattr(self.real, name)

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """The connection's own."""
        return self.real.get_extra_info(name, default)

    def write(self, data: Any) -> None:
        """Sends the bytes after the delay."""
        self.line.put(self.real.write, bytes(data))

    def writelines(self, list_of_data: Any) -> None:
        """Sends all of them after the delay."""
        self.write(b"".join(list_of_data))

    def close(self) -> None:
        """Closes once all that was written has left."""
        self.line.put(self.real.close)

    def abort(self) -> None:
        """Closes at once; what was written and has not left is lost."""
        self.real.abort()

    def is_closing(self) -> bool:
        """Is the connection closing?"""
        return self.real.is_closing()

    def pause_reading(self) -> None:
        """Stops reading at once."""
        self.real.pause_reading()

    def resume_reading(self) -> None:
        """Reads on at once."""
        self.real.resume_reading()

    def can_write_eof(self) -> bool:
        """One side alone is never closed."""
        return False


class Line:
    """Calls, in order, each `delay` after it was put in."""

    def __init__(self, loop: asyncio.AbstractEventLoop, delay: float) -> None:
        self.loop, self.delay = loop, delay
        self.due: deque[tuple[float, Callable[..., Any], tuple[Any, ...]]] = deque()

    def put(self, call: Callable[..., Any], *args: Any) -> None:
        """Makes a call once the delay is over."""
        self.due.append((self.loop.time() + self.delay, call, args))
        if len(self.due) == 1:
            self.loop.call_later(self.delay, self.turn)

    def turn(self) -> None:
        """Makes the calls that are due; none while the process is isolated."""
        if isinstance(self.loop, LagLoop) and self.loop.is_cut():
            self.loop.call_later(0.1, self.turn)
            return
        while self.due and self.due[0][0] <= self.loop.time() + 0.0002:
            _, call, args = self.due.popleft()
            call(*args)
        if self.due:
            self.loop.call_at(self.due[0][0], self.turn)


class LagProtocol(asyncio.Protocol):
    """Stands between a connection and its protocol, and delays both directions."""

    def __init__(self, inner: Any, loop: asyncio.AbstractEventLoop, delay: float) -> None:
        self.inner, self.loop = inner, loop
        self.out, self.back = Line(loop, delay), Line(loop, delay)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Hands the protocol the delayed transport."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = LagTransport(transport, self.out)
        self.inner.connection_made(self.transport)

    def data_received(self, data: bytes) -> None:
        """Hands bytes on after the delay."""
        self.back.put(self.inner.data_received, data)

    def eof_received(self) -> bool:
        """Hands the end on after the delay, and keeps the connection open until then."""
        self.back.put(self.end)
        return True

    def end(self) -> None:
        """Tells the protocol that the other side has ended."""
        if not self.inner.eof_received():
            self.transport.real.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """Hands the loss on after the delay."""
        self.back.put(self.inner.connection_lost, exc)

    def pause_writing(self) -> None:
        """Holds the writer up at once."""
        self.inner.pause_writing()

    def resume_writing(self) -> None:
        """Lets the writer go on at once."""
        self.inner.resume_writing()


class LagLoop(asyncio.SelectorEventLoop):
    """An event loop whose connections to other zones are delayed; `delay` is in seconds, `zone` the second number of
    the process's own address."""

    delay = 0.0
    zone = ""
    mark = ""  # while a file of this name exists, this process is cut off: nothing crosses, nothing is lost

    def is_cut(self) -> bool:
        """Is the process isolated now?"""
        return bool(self.mark) and os.path.exists(self.mark)

    async def create_server(self, protocol_factory: Any, *args: Any, **more: Any) -> Any:  # type: ignore[override]
        """A server; its connections can be isolated if the process can."""
        make = (lambda: LagProtocol(protocol_factory(), self, 0.0)) if self.mark else protocol_factory
        return await super().create_server(make, *args, **more)

    async def create_connection(self, protocol_factory: Any, host: Any = None, port: Any = None, **more: Any) -> Any:  # type: ignore[override]
        """A connection, with the delay if it leads to another zone; waits while the process is isolated."""
        sock = more.get("sock")
        there = sock.getpeername()[0] if sock is not None else host
        while self.is_cut():
            await asyncio.sleep(0.1)
        near = isinstance(there, str) and there.split(".")[1:2] == [self.zone]
        if not self.mark and (self.delay <= 0 or not isinstance(there, str) or near):
            return await super().create_connection(protocol_factory, host, port, **more)
        inner = protocol_factory()
        _, lag = await super().create_connection(lambda: LagProtocol(inner, self, self.delay), host, port, **more)
        return lag.transport, inner


class Policy(asyncio.DefaultEventLoopPolicy):
    """Makes each loop a `LagLoop`."""

    def new_event_loop(self) -> asyncio.AbstractEventLoop:
        """A loop with the delay of this process."""
        return LagLoop()


def main() -> None:
    """Runs a daemon's own command with the delay and the disk in place."""
    delay, program, *flags = sys.argv[1:]
    LagLoop.delay = float(delay) / 1000
    LagLoop.mark = os.environ.get("POSTPASS_CUT", "")
    LagLoop.zone = next((f.split("=", 1)[1].split(".")[1] for f in flags if f.startswith("--peer=")), "")
    asyncio.set_event_loop_policy(Policy())
    sys.argv = [program, *flags]
    import postpass.daemon.commands
    from bench.brittle import BrittleDisk

    setattr(postpass.daemon.commands, "RealDisk", BrittleDisk)  # noqa: B010
    if program == "data-plane":
        postpass.daemon.commands.data_plane_main()
    else:
        postpass.daemon.commands.control_plane_main()


if __name__ == "__main__":
    main()
