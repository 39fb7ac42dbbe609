"""A seeded event loop with virtual time and a network of its own.

Each simulated machine is a `Host`; every task and callback carries its host in a context variable, so
that a host can be killed (its callbacks are never run again) or frozen (they wait, time goes on).
"""

from __future__ import annotations

import asyncio
import contextlib
import contextvars
import gc
import heapq
import random
import sys
import warnings
from asyncio import events
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Any
from unittest import mock

import aiohttp.connector


class Gone(BaseException):
    """Raised into a process that is dead already, should it touch its disk before its callback ends."""


HOST: contextvars.ContextVar[Host | None] = contextvars.ContextVar("host", default=None)
WINDOW = 256 << 10  # bytes under way on one connection before its writer must wait


@dataclass(eq=False)
class Host:
    """Invariant: a dead host never runs again; its successor on the same machine is a new Host."""

    name: str
    ips: tuple[str, ...]
    zone: str
    dead: bool = False
    frozen: bool = False
    silent: bool = False  # lost power: its peers are told nothing
    parked: deque[events.Handle] = field(default_factory=deque)
    pipes: list[Pipe] = field(default_factory=list)

    def context(self) -> contextvars.Context:
        ctx = contextvars.copy_context()
        ctx.run(HOST.set, self)
        return ctx


class SimLoop(asyncio.BaseEventLoop):
    def __init__(self, seed: int = 0) -> None:
        super().__init__()
        self.clock = 0.0
        self.chance = random.Random(seed)
        self.ready: deque[events.Handle] = deque()
        self.heap: list[tuple[float, int, events.TimerHandle]] = []
        self.count = 0
        self.ran = 0
        self.servers: dict[tuple[str, int], SimServer] = {}
        self.hosts: dict[str, Host] = {}  # by IP
        self.net = Net()
        self.tasks: list[asyncio.Task[Any]] = []  # kept, so that a dead host's tasks are never closed
        self.set_task_factory(self._make_task)  # type: ignore[arg-type]
        self.set_exception_handler(self._seen)
        self.errors: list[str] = []
        self.points: Any = None  # told of what the run passes, see sim.points

    def _seen(self, _loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        bad = context.get("exception")
        text = str(context.get("message"))
        if not isinstance(bad, (ConnectionError, asyncio.CancelledError, Gone)):
            self.errors.append(f"{text}: {bad!r}")

    def unretrieved(self) -> list[str]:
        """Tasks that ended with an error which nobody has looked at."""
        return [
            f"a task's error was never looked at: {t.get_coro()}: {t._exception!r}"  # type: ignore[attr-defined]
            for t in self.tasks
            if t.done() and t._log_traceback and not isinstance(t._exception, Gone)  # type: ignore[attr-defined]
        ]

    def _make_task(self, loop: Any, coro: Any, **more: Any) -> asyncio.Task[Any]:
        task: asyncio.Task[Any] = asyncio.Task(coro, loop=loop, **more)
        self.tasks.append(task)
        if len(self.tasks) > 20000:
            self.tasks = [t for t in self.tasks if not t.done()]
        return task

    # --- time
    def time(self) -> float:
        return self.clock

    def call_soon(self, callback: Any, *args: Any, context: Any = None) -> events.Handle:
        handle = events.Handle(callback, args, self, context)
        self.ready.append(handle)
        return handle

    call_soon_threadsafe = call_soon  # type: ignore[assignment]

    def call_later(self, delay: float, callback: Any, *args: Any, context: Any = None) -> events.TimerHandle:
        return self.call_at(self.clock + max(delay, 0.0), callback, *args, context=context)

    def call_at(self, when: float, callback: Any, *args: Any, context: Any = None) -> events.TimerHandle:
        handle = events.TimerHandle(when, callback, args, self, context)
        self.count += 1
        heapq.heappush(self.heap, (when, self.count, handle))
        return handle

    def _timer_handle_cancelled(self, handle: events.TimerHandle) -> None:
        pass

    def _process_events(self, event_list: Any) -> None:
        pass

    def _write_to_self(self) -> None:
        pass

    def _run_once(self) -> None:
        if not self.ready:
            while self.heap and self.heap[0][2].cancelled():
                heapq.heappop(self.heap)
            if not self.heap:
                raise RuntimeError("the simulated world stands still: nothing is ready, nothing is timed")
            self.clock = max(self.clock, self.heap[0][0])
        while self.heap and self.heap[0][0] <= self.clock:
            self.ready.append(heapq.heappop(self.heap)[2])
        for _ in range(len(self.ready)):
            handle = self.ready.popleft()
            if handle.cancelled():
                continue
            ctx: contextvars.Context = handle._context  # type: ignore[attr-defined]
            host = ctx.get(HOST)
            if host is not None and host.dead:
                continue
            if host is not None and host.frozen:
                host.parked.append(handle)
                continue
            self.ran += 1
            handle._run()

    # --- hosts
    def add(self, host: Host) -> Host:
        self.hosts.update(dict.fromkeys(host.ips, host))
        return host

    def kill(self, host: Host, silent: bool = False) -> None:
        """The process ends at once. Its peers see resets, unless the power went."""
        host.dead, host.silent = True, silent
        for key in [k for k, s in self.servers.items() if s.host is host]:
            del self.servers[key]
        for pipe in host.pipes:
            pipe.host_died(silent)

    def freeze(self, host: Host) -> None:
        host.frozen = True

    def thaw(self, host: Host) -> None:
        host.frozen = False
        self.ready.extend(host.parked)
        host.parked.clear()

    # --- network
    async def create_server(self, protocol_factory: Any, host: Any = None, port: Any = None, **more: Any) -> Any:
        owner = HOST.get()
        assert owner is not None, "servers belong to hosts"
        if owner.dead:
            raise Gone
        if (host, port) in self.servers:
            raise OSError(98, f"{host}:{port} is in use")
        server = SimServer(self, owner, protocol_factory, (host, port))
        self.servers[(host, port)] = server
        return server

    async def create_connection(self, protocol_factory: Any, host: Any = None, port: Any = None, **more: Any) -> Any:
        me = HOST.get()
        assert me is not None, "connections belong to hosts"
        if me.dead:
            raise Gone
        started = self.clock
        while True:
            there = self.hosts.get(host)
            if there is not None and not self.net.cut(me, there) and not self.net.cut(there, me):
                await asyncio.sleep(self.net.delay(self.chance, me, there) * 2)
                if there.dead and not there.silent:
                    raise ConnectionRefusedError(111, f"{host}:{port} refused")
                server = self.servers.get((host, port))
                if not there.dead and server is None:
                    raise ConnectionRefusedError(111, f"{host}:{port} refused")
                if server is not None and not server.host.dead:
                    break
            if self.clock - started > 20:
                raise TimeoutError(110, f"{host}:{port} timed out")
            await asyncio.sleep(0.1)
        near = protocol_factory()
        far = server.factory()
        mine = Pipe(self, me, server.host, near, (me.ips[0], 40000 + self.count % 20000), (host, port))
        their = Pipe(self, server.host, me, far, (host, port), mine.name)
        mine.other, their.other = their, mine
        me.pipes.append(mine)
        server.host.pipes.append(their)
        for side in (me, server.host):
            if len(side.pipes) > 64:
                side.pipes[:] = [p for p in side.pipes if not p.lost]
        self.call_soon(far.connection_made, their, context=their.ctx)
        near.connection_made(mine)
        return mine, near


class SimServer(asyncio.AbstractServer):
    def __init__(self, loop: SimLoop, host: Host, factory: Any, addr: tuple[str, int]) -> None:
        self.loop, self.host, self.factory, self.addr = loop, host, factory, addr
        self.ctx = contextvars.copy_context()

    def close(self) -> None:
        if self.loop.servers.get(self.addr) is self:
            del self.loop.servers[self.addr]

    async def wait_closed(self) -> None:
        return None

    def is_serving(self) -> bool:
        return self.loop.servers.get(self.addr) is self

    @property
    def sockets(self) -> list[Any]:
        return []


@dataclass
class Net:
    """Delays between areas, and cuts. A cut holds bytes back as TCP would; it loses none."""

    near: float = 0.0001
    far: float = 0.0005
    jitter: float = 0.5
    cuts: set[tuple[str, str]] = field(default_factory=set)  # (from host, to host), one way
    slow: dict[str, float] = field(default_factory=dict)  # extra delay of a host's links

    def cut(self, one: Host, two: Host) -> bool:
        return (one.name, two.name) in self.cuts

    def delay(self, chance: random.Random, one: Host, two: Host) -> float:
        base = self.near if one.zone == two.zone else self.far
        more = self.slow.get(one.name, 0.0) + self.slow.get(two.name, 0.0)
        return (base + more) * (1 + self.jitter * chance.random())


class Pipe(asyncio.Transport):
    """One end of a connection. Invariant: bytes reach the other end in order or not at all."""

    def __init__(self, loop: SimLoop, host: Host, there: Host, protocol: Any, name: Any, peer: Any) -> None:
        super().__init__({"peername": peer, "sockname": name})
        self.loop, self.host, self.there, self.protocol = loop, host, there, protocol
        self.name = name
        self.other: Pipe
        self.ctx = host.context()
        self.way: deque[bytes | None] = deque()  # under way to the other end; None is the end
        self.size = 0
        self.paused = False  # our writer
        self.held = False  # our reader
        self.inbox: deque[bytes | None] = deque()
        self.closing = False
        self.lost = False
        self.last = 0.0
        self.stuck_since = 0.0
        self.wait = 0.0
        self.due = 0

    # what protocols call
    def write(self, data: Any) -> None:
        if self.closing or self.lost or not data:
            return
        if self.host.frozen:
            # Stopped in the midst of a callback: what it was about to hand to the kernel it hands over on waking.
            self.host.parked.append(events.Handle(self.write, (data,), self.loop, self.ctx))
            return
        self._send(bytes(data))

    def writelines(self, list_of_data: Any) -> None:
        self.write(b"".join(list_of_data))

    def can_write_eof(self) -> bool:
        return False

    def get_write_buffer_size(self) -> int:
        return self.size

    def set_write_buffer_limits(self, high: Any = None, low: Any = None) -> None:
        pass

    def is_closing(self) -> bool:
        return self.closing or self.lost

    def close(self) -> None:
        if self.host.frozen:
            self.host.parked.append(events.Handle(self.close, (), self.loop, self.ctx))
            return
        if not self.closing and not self.lost:
            self.closing = True
            self._send(None)
            self.loop.call_soon(self._lose, None, context=self.ctx)

    def abort(self) -> None:
        if not self.lost:
            self.closing = True
            self.way.clear()
            self._send(None)
            self.loop.call_soon(self._lose, None, context=self.ctx)

    def set_protocol(self, protocol: Any) -> None:
        self.protocol = protocol

    def get_protocol(self) -> Any:
        return self.protocol

    def pause_reading(self) -> None:
        self.held = True

    def resume_reading(self) -> None:
        if self.held:
            self.held = False
            self.loop.call_soon(self._read, context=self.ctx)

    def is_reading(self) -> bool:
        return not self.held

    # the wire
    def _send(self, data: bytes | None) -> None:
        self.way.append(data)
        self.size += len(data or b"")
        if self.size > WINDOW and not self.paused and not self.closing:
            self.paused = True
            self.protocol.pause_writing()
        when = max(self.last, self.loop.clock + self.loop.net.delay(self.loop.chance, self.host, self.there))
        self.last = when
        self.loop.call_at(when, self._arrive, context=contextvars.Context())

    def _arrive(self) -> None:
        self.due += 1
        if not self.wait:
            self._flush()

    def _flush(self) -> None:
        """Delivers whatever is due, or, behind a cut, tries again after twice as long each time, as TCP does."""
        while self.due and self.way:
            gone = self.there.dead and self.there.silent
            if gone and self.loop.hosts[self.there.ips[0]] is not self.there:
                # The machine is up again and knows nothing of this connection.
                self.loop.call_soon(self._lose, ConnectionResetError(104, "reset"), context=self.ctx)
                return
            if gone or self.loop.net.cut(self.host, self.there):
                self.stuck_since = self.stuck_since or self.loop.clock
                if self.loop.clock - self.stuck_since > 30:
                    self.loop.call_soon(self._lose, TimeoutError(110, "no answer"), context=self.ctx)
                elif not self.lost:
                    self.wait = min(max(self.wait * 2, 0.2), 8.0)
                    self.loop.call_later(self.wait, self._flush, context=contextvars.Context())
                return
            self.stuck_since = self.wait = 0.0
            self.due -= 1
            data = self.way.popleft()
            if self.other.lost or self.there.dead:
                return
            self.other.inbox.append(data)
            self.loop.call_soon(self.other._read, context=self.other.ctx)

    def _read(self) -> None:
        while self.inbox and not self.held and not self.lost:
            data = self.inbox.popleft()
            if data is None:
                keep = False
                if not self.closing:
                    keep = bool(self.protocol.eof_received())
                if not keep:
                    self.closing = True
                    self._lose(None)
                return
            self.other._taken(len(data))
            self.protocol.data_received(data)

    def _taken(self, size: int) -> None:
        self.size -= size
        if self.paused and self.size < WINDOW // 2:
            self.paused = False
            self.loop.call_soon(self._resume, context=self.ctx)

    def _resume(self) -> None:
        if not self.lost:
            self.protocol.resume_writing()

    def _lose(self, why: Exception | None) -> None:
        if not self.lost:
            self.lost = True
            self.closing = True
            self.protocol.connection_lost(why)

    def host_died(self, silent: bool) -> None:
        """Our host died: what it had handed to its kernel may still arrive, then a reset (if not silent)."""
        if self.lost:
            return
        self.lost = True
        if silent:
            self.way.clear()
            return
        other = self.other
        self.loop.call_later(0.002, self._reset, other, context=contextvars.Context())

    def _reset(self, other: Pipe) -> None:
        if self.loop.net.cut(self.host, self.there):
            self.loop.call_later(0.05, self._reset, other, context=contextvars.Context())
            return
        self.loop.call_soon(other._lose, ConnectionResetError(104, "peer died"), context=other.ctx)


def run_sim(main: Callable[[SimLoop], Any], seed: int = 0) -> Any:
    loop = SimLoop(seed)
    old = asyncio.events._get_running_loop()
    assert old is None
    asyncio.set_event_loop(loop)
    with virtual_time_in_libraries(loop):
        try:
            return loop.run_until_complete(main(loop))
        finally:
            asyncio.set_event_loop(None)
            loop._closed = True  # type: ignore[attr-defined]
            bury(loop)


@contextlib.contextmanager
def virtual_time_in_libraries(loop: SimLoop) -> Iterator[None]:
    """Gives the loop's time to libraries that would read the process clock, for as long as its run lasts.

    aiohttp's connection pool measures by `time.monotonic` for how long a connection has been idle. Under that clock
    a run that the machine was slow to play closed connections which the same run had used again when it was quick.
    """
    with mock.patch.object(aiohttp.connector, "monotonic", loop.time):
        yield


def bury(loop: SimLoop) -> None:
    """The world is over: closes what is left of its coroutines, whose last lines have nowhere to run."""
    hook, sys.unraisablehook = sys.unraisablehook, lambda _: None
    noise = warnings.catch_warnings()
    noise.__enter__()
    # Tasks of hosts that died before their first step are no mistake here.
    warnings.filterwarnings("ignore", message="coroutine .* was never awaited", category=RuntimeWarning)
    try:
        for task in loop.tasks:
            task._log_destroy_pending = False  # type: ignore[attr-defined]
            if not task.done():
                try:
                    task.get_coro().close()  # type: ignore[union-attr]
                except BaseException:
                    pass
        loop.tasks.clear()
        loop.ready.clear()
        loop.heap.clear()
        gc.collect()
    finally:
        noise.__exit__(None, None, None)
        sys.unraisablehook = hook
