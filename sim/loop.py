"""A seeded event loop with virtual time and a simulated network.

Each run of a process on a simulated machine is a `Host`. Every task and callback carries its host in a context variable,
so that a host can be killed (its callbacks are never run again) or frozen (its callbacks are deferred while time goes on).
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


class HostDead(BaseException):
    """Is raised in a process that was killed during its current callback, when that touches its disk or the network."""


HOST: contextvars.ContextVar[Host | None] = contextvars.ContextVar("host", default=None)
WINDOW_BYTES = 256 << 10  # bytes in flight on one connection above which its writer is paused


@dataclass(eq=False)
class Host:
    """One run of a process on a simulated machine.

    Invariant: a dead host never runs again; when its machine starts a process again, that is a new `Host`.

    Attributes:
        name: of the machine.
        ips: its IP addresses.
        zone: the zone that it stands in; messages within a zone are faster.
        dead: whether it was killed.
        frozen: whether its callbacks are deferred.
        silent: whether it died of a power loss, so that its peers get no reset.
        deferred_callbacks: those that became due while it was frozen.
        pipes: its ends of connections.
    """

    name: str
    ips: tuple[str, ...]
    zone: str
    dead: bool = False
    frozen: bool = False
    silent: bool = False
    deferred_callbacks: deque[events.Handle] = field(default_factory=deque)
    pipes: list[Pipe] = field(default_factory=list)

    def context(self) -> contextvars.Context:
        """Returns a copy of the current context in which this is the current host."""
        ctx = contextvars.copy_context()
        ctx.run(HOST.set, self)
        return ctx


class SimLoop(asyncio.BaseEventLoop):
    """The event loop of a simulation.

    Attributes:
        clock: the virtual time in seconds.
        chance: the source of randomness of the network.
        ready: callbacks to run now.
        heap: timers as (time, number, handle); the number keeps timers of equal times in order.
        count: the number of timers so far.
        ran: the number of callbacks that were run.
        servers: listening servers by address.
        hosts: the current host of each IP address.
        net: delays and cuts of the network.
        tasks: all tasks, kept so that the tasks of dead hosts are not garbage-collected, which would close them.
        errors: unexpected exceptions reported to the loop.
        points: is notified of the points that the run passes, see sim.points.
    """

    def __init__(self, seed: int = 0) -> None:
        super().__init__()
        self.clock = 0.0
        self.chance = random.Random(seed)
        self.ready: deque[events.Handle] = deque()
        self.heap: list[tuple[float, int, events.TimerHandle]] = []
        self.count = 0
        self.ran = 0
        self.servers: dict[tuple[str, int], SimServer] = {}
        self.hosts: dict[str, Host] = {}
        self.net = Net()
        self.tasks: list[asyncio.Task[Any]] = []
        self.set_task_factory(self._make_task)  # type: ignore[arg-type]
        self.set_exception_handler(self._on_exception)
        self.errors: list[str] = []
        self.points: Any = None

    def _on_exception(self, _loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        exception = context.get("exception")
        text = str(context.get("message"))
        if not isinstance(exception, (ConnectionError, asyncio.CancelledError, HostDead)):
            self.errors.append(f"{text}: {exception!r}")

    def unretrieved(self) -> list[str]:
        """Returns a line for each task that ended with an exception which nobody has retrieved."""
        return [
            f"a task's exception was never retrieved: {t.get_coro()}: {t._exception!r}"  # type: ignore[attr-defined]
            for t in self.tasks
            if t.done() and t._log_traceback and not isinstance(t._exception, HostDead)  # type: ignore[attr-defined]
        ]

    def _make_task(self, loop: Any, coro: Any, **options: Any) -> asyncio.Task[Any]:
        task: asyncio.Task[Any] = asyncio.Task(coro, loop=loop, **options)
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
                raise RuntimeError("deadlock in the simulation: no callback is ready and no timer is set")
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
                host.deferred_callbacks.append(handle)
                continue
            self.ran += 1
            handle._run()

    # --- hosts
    def add(self, host: Host) -> Host:
        """Makes this the current host of its IP addresses, and returns it."""
        self.hosts.update(dict.fromkeys(host.ips, host))
        return host

    def kill(self, host: Host, silent: bool = False) -> None:
        """Ends the process at once. Its peers see connection resets, unless `silent` (a power loss) is set."""
        host.dead, host.silent = True, silent
        for key in [k for k, s in self.servers.items() if s.host is host]:
            del self.servers[key]
        for pipe in host.pipes:
            pipe.host_died(silent)

    def freeze(self, host: Host) -> None:
        """Stops a host as SIGSTOP does: its callbacks are deferred."""
        host.frozen = True

    def thaw(self, host: Host) -> None:
        """Lets a frozen host go on; the deferred callbacks become ready in their order."""
        host.frozen = False
        self.ready.extend(host.deferred_callbacks)
        host.deferred_callbacks.clear()

    # --- network
    async def create_server(self, protocol_factory: Any, host: Any = None, port: Any = None, **options: Any) -> Any:
        owner = HOST.get()
        assert owner is not None, "a server is created by a host"
        if owner.dead:
            raise HostDead
        if (host, port) in self.servers:
            raise OSError(98, f"{host}:{port} is in use")
        server = SimServer(self, owner, protocol_factory, (host, port))
        self.servers[(host, port)] = server
        return server

    async def create_connection(self, protocol_factory: Any, host: Any = None, port: Any = None, **options: Any) -> Any:
        client_host = HOST.get()
        assert client_host is not None, "a connection is created by a host"
        if client_host.dead:
            raise HostDead
        began_at = self.clock
        while True:
            target_host = self.hosts.get(host)
            if (
                target_host is not None
                and not self.net.cut(client_host, target_host)
                and not self.net.cut(target_host, client_host)
            ):
                await asyncio.sleep(self.net.delay(self.chance, client_host, target_host) * 2)
                if target_host.dead and not target_host.silent:
                    raise ConnectionRefusedError(111, f"{host}:{port} refused")
                server = self.servers.get((host, port))
                if not target_host.dead and server is None:
                    raise ConnectionRefusedError(111, f"{host}:{port} refused")
                if server is not None and not server.host.dead:
                    break
            if self.clock - began_at > 20:
                raise TimeoutError(110, f"{host}:{port} timed out")
            await asyncio.sleep(0.1)
        client_protocol = protocol_factory()
        server_protocol = server.factory()
        client_pipe = Pipe(
            self,
            client_host,
            server.host,
            client_protocol,
            (client_host.ips[0], 40000 + self.count % 20000),
            (host, port),
        )
        server_pipe = Pipe(self, server.host, client_host, server_protocol, (host, port), client_pipe.name)
        client_pipe.other, server_pipe.other = server_pipe, client_pipe
        client_host.pipes.append(client_pipe)
        server.host.pipes.append(server_pipe)
        for host_side in (client_host, server.host):
            if len(host_side.pipes) > 64:
                host_side.pipes[:] = [p for p in host_side.pipes if not p.lost]
        self.call_soon(server_protocol.connection_made, server_pipe, context=server_pipe.ctx)
        client_protocol.connection_made(client_pipe)
        return client_pipe, client_protocol


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
    """Delays and cuts of the network. A cut delays bytes, which TCP would retransmit; it loses none.

    Attributes:
        near: the base delay within a zone, in seconds.
        far: the base delay between zones, in seconds.
        jitter: the largest random addition to a delay, as a fraction of it.
        cuts: names of hosts whose messages do not pass, as (from, to): one direction each.
        slow: extra delay in seconds of all messages from and to a host, by its name.
    """

    near: float = 0.0001
    far: float = 0.0005
    jitter: float = 0.5
    cuts: set[tuple[str, str]] = field(default_factory=set)
    slow: dict[str, float] = field(default_factory=dict)

    def cut(self, sender: Host, receiver: Host) -> bool:
        """Returns whether messages in this direction do not pass."""
        return (sender.name, receiver.name) in self.cuts

    def delay(self, chance: random.Random, sender: Host, receiver: Host) -> float:
        """Draws the delay of a message, in seconds."""
        base = self.near if sender.zone == receiver.zone else self.far
        extra = self.slow.get(sender.name, 0.0) + self.slow.get(receiver.name, 0.0)
        return (base + extra) * (1 + self.jitter * chance.random())


class Pipe(asyncio.Transport):
    """One end of a connection.

    Invariant: bytes reach the other end in order or not at all.

    Attributes:
        host: the host at this end.
        peer_host: the host at the other end.
        other: the other end.
        in_flight: data sent that has not been delivered; None marks the end of the stream.
        size: the number of bytes sent that the peer has not read.
        writing_paused: whether this end's protocol was told to pause writing.
        reading_paused: whether this end's protocol asked to pause reading.
        received: data delivered to this end that its protocol has not read.
        closing: whether this end was closed.
        lost: whether the protocol was told that the connection ended, or the host at this end died.
        last_arrival: when the data sent last arrives; later data does not overtake it.
        blocked_since: since when a cut or a dead peer has blocked delivery; 0 if nothing blocks it.
        retry_delay: the time between tries to deliver while it is blocked, in seconds; 0 if nothing blocks it.
        arrived_count: how many elements of `in_flight` are due for delivery.
    """

    def __init__(self, loop: SimLoop, host: Host, peer_host: Host, protocol: Any, name: Any, peer: Any) -> None:
        super().__init__({"peername": peer, "sockname": name})
        self.loop, self.host, self.peer_host, self.protocol = loop, host, peer_host, protocol
        self.name = name
        self.other: Pipe
        self.ctx = host.context()
        self.in_flight: deque[bytes | None] = deque()
        self.size = 0
        self.writing_paused = False
        self.reading_paused = False
        self.received: deque[bytes | None] = deque()
        self.closing = False
        self.lost = False
        self.last_arrival = 0.0
        self.blocked_since = 0.0
        self.retry_delay = 0.0
        self.arrived_count = 0

    # methods of asyncio.Transport, called by protocols
    def write(self, data: Any) -> None:
        if self.closing or self.lost or not data:
            return
        if self.host.frozen:
            # The host was frozen in the middle of a callback: the write reaches the kernel only once the host goes on.
            self.host.deferred_callbacks.append(events.Handle(self.write, (data,), self.loop, self.ctx))
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
            self.host.deferred_callbacks.append(events.Handle(self.close, (), self.loop, self.ctx))
            return
        if not self.closing and not self.lost:
            self.closing = True
            self._send(None)
            self.loop.call_soon(self._end, None, context=self.ctx)

    def abort(self) -> None:
        if not self.lost:
            self.closing = True
            self.in_flight.clear()
            self._send(None)
            self.loop.call_soon(self._end, None, context=self.ctx)

    def set_protocol(self, protocol: Any) -> None:
        self.protocol = protocol

    def get_protocol(self) -> Any:
        return self.protocol

    def pause_reading(self) -> None:
        self.reading_paused = True

    def resume_reading(self) -> None:
        if self.reading_paused:
            self.reading_paused = False
            self.loop.call_soon(self._read, context=self.ctx)

    def is_reading(self) -> bool:
        return not self.reading_paused

    # the network
    def _send(self, data: bytes | None) -> None:
        """Puts data, or the end of the stream (None), on its way to the other end."""
        self.in_flight.append(data)
        self.size += len(data or b"")
        if self.size > WINDOW_BYTES and not self.writing_paused and not self.closing:
            self.writing_paused = True
            self.protocol.pause_writing()
        when = max(
            self.last_arrival, self.loop.clock + self.loop.net.delay(self.loop.chance, self.host, self.peer_host)
        )
        self.last_arrival = when
        self.loop.call_at(when, self._arrive, context=contextvars.Context())

    def _arrive(self) -> None:
        self.arrived_count += 1
        if not self.retry_delay:
            self._flush()

    def _flush(self) -> None:
        """Delivers the data that is due; while that is blocked, retries with a doubling delay, as TCP does.

        The delay grows from 0.2 s to 8 s; after 30 s the connection times out.
        """
        while self.arrived_count and self.in_flight:
            peer_unreachable = self.peer_host.dead and self.peer_host.silent
            if peer_unreachable and self.loop.hosts[self.peer_host.ips[0]] is not self.peer_host:
                # The machine has restarted and does not know this connection, so it answers with a reset.
                self.loop.call_soon(self._end, ConnectionResetError(104, "reset"), context=self.ctx)
                return
            if peer_unreachable or self.loop.net.cut(self.host, self.peer_host):
                self.blocked_since = self.blocked_since or self.loop.clock
                if self.loop.clock - self.blocked_since > 30:
                    self.loop.call_soon(self._end, TimeoutError(110, "no answer"), context=self.ctx)
                elif not self.lost:
                    self.retry_delay = min(max(self.retry_delay * 2, 0.2), 8.0)
                    self.loop.call_later(self.retry_delay, self._flush, context=contextvars.Context())
                return
            self.blocked_since = self.retry_delay = 0.0
            self.arrived_count -= 1
            data = self.in_flight.popleft()
            if self.other.lost or self.peer_host.dead:
                return
            self.other.received.append(data)
            self.loop.call_soon(self.other._read, context=self.other.ctx)

    def _read(self) -> None:
        """Passes the received data to the protocol until that pauses reading."""
        while self.received and not self.reading_paused and not self.lost:
            data = self.received.popleft()
            if data is None:
                stays_open = False
                if not self.closing:
                    stays_open = bool(self.protocol.eof_received())
                if not stays_open:
                    self.closing = True
                    self._end(None)
                return
            self.other._on_peer_read(len(data))
            self.protocol.data_received(data)

    def _on_peer_read(self, size: int) -> None:
        """Frees `size` bytes of the window; resumes writing once less than half of it is in use."""
        self.size -= size
        if self.writing_paused and self.size < WINDOW_BYTES // 2:
            self.writing_paused = False
            self.loop.call_soon(self._resume, context=self.ctx)

    def _resume(self) -> None:
        if not self.lost:
            self.protocol.resume_writing()

    def _end(self, error: Exception | None) -> None:
        """Tells the protocol, once, that the connection ended."""
        if not self.lost:
            self.lost = True
            self.closing = True
            self.protocol.connection_lost(error)

    def host_died(self, silent: bool) -> None:
        """Ends the connection since the host at this end died.

        Unless the death is silent, data that the host had passed to its kernel may still arrive, and a reset follows.
        """
        if self.lost:
            return
        self.lost = True
        if silent:
            self.in_flight.clear()
            return
        other = self.other
        self.loop.call_later(0.002, self._reset, other, context=contextvars.Context())

    def _reset(self, other: Pipe) -> None:
        """Delivers the reset to the other end, as soon as no cut is in the way."""
        if self.loop.net.cut(self.host, self.peer_host):
            self.loop.call_later(0.05, self._reset, other, context=contextvars.Context())
            return
        self.loop.call_soon(other._end, ConnectionResetError(104, "peer died"), context=other.ctx)


def run_sim(main: Callable[[SimLoop], Any], seed: int = 0) -> Any:
    """Runs a coroutine function on a new simulated loop and returns its result."""
    loop = SimLoop(seed)
    running_loop = asyncio.events._get_running_loop()
    assert running_loop is None
    asyncio.set_event_loop(loop)
    with virtual_time_in_libraries(loop):
        try:
            return loop.run_until_complete(main(loop))
        finally:
            asyncio.set_event_loop(None)
            loop._closed = True  # type: ignore[attr-defined]
            close_remaining_tasks(loop)


@contextlib.contextmanager
def virtual_time_in_libraries(loop: SimLoop) -> Iterator[None]:
    """Makes libraries that read the process clock read the loop's time, within the context.

    aiohttp's connection pool measures by `time.monotonic` for how long a connection has been idle. With the process
    clock, a run on a slow machine closed connections which the same run on a fast machine used again.
    """
    with mock.patch.object(aiohttp.connector, "monotonic", loop.time):
        yield


def close_remaining_tasks(loop: SimLoop) -> None:
    """Closes the coroutines that are left after a run, without reports of what their clean-up code raises or lacks."""
    original_hook, sys.unraisablehook = sys.unraisablehook, lambda _: None
    warning_filter = warnings.catch_warnings()
    warning_filter.__enter__()
    # A host may die before the first step of one of its tasks: that is not an error here.
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
        warning_filter.__exit__(None, None, None)
        sys.unraisablehook = original_hook
