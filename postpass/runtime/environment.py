"""A daemon's access to the outside world, apart from its event loop: disk, random numbers, wall clock, HTTP.

Time and the network are reached through the running asyncio loop, so daemons use `asyncio.sleep` and `open_connection`
as usual. The simulator replaces the loop by one with virtual time and a simulated network.
"""

from __future__ import annotations

import asyncio
import contextlib
import math
import random
import socket
import time
from collections.abc import Callable, Coroutine, Generator, Mapping
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, TypeVar, cast

import uvicorn
from starlette.types import ASGIApp

from postpass.runtime.deferred_import import DeferredModule
from postpass.runtime.disk import Disk
from postpass.runtime.ordered_set import OrderedSet

if TYPE_CHECKING:
    import aiohttp
else:
    aiohttp = DeferredModule("aiohttp")

Answer = TypeVar("Answer")

MAX_LISTEN_QUEUE = 2048  # connections
CONNECT_LIMIT_S = 1.0  # time limit for opening a TCP connection to a worker


@dataclass(frozen=True)
class Environment:
    """The resources that differ between a real process, a simulated one and a test. Each process has one.

    Attributes:
        disk: the data directory; None for a process that stores nothing.
        chance: the random number generator; a simulation seeds it.
        wall: returns the wall-clock time in seconds, for people and for data that outlives the process; leases and
            timers use `now`.
        connector: creates the connector of an HTTP session. It must not reuse connections: a worker may answer twice, the
            second time late, and nothing in such an answer tells which request it belongs to.
    """

    disk: Disk | None = None
    chance: random.Random = field(default_factory=random.Random)
    wall: Callable[[], float] = time.time
    connector: Callable[[], aiohttp.BaseConnector] = lambda: aiohttp.TCPConnector(limit=0, force_close=True)

    def session(self) -> aiohttp.ClientSession:
        """Returns a new HTTP session, which the requester has to close.

        It passes bodies on without decompressing them, and stores no cookies.
        """
        return aiohttp.ClientSession(
            connector=self.connector(),
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_LIMIT_S),
        )

    def deferred_session(self) -> aiohttp.ClientSession:
        """Returns an HTTP session like `session`, which is created when it is first used.

        A daemon that relays requests over its own connections never needs one.
        """
        return cast("aiohttp.ClientSession", DeferredSession(self.session))


class DeferredSession:
    """An HTTP session that is created when it is first used, except by `close`."""

    def __init__(self, make: Callable[[], aiohttp.ClientSession]) -> None:
        self._make = make
        self._made: aiohttp.ClientSession | None = None

    def __getattr__(self, attribute: str) -> Any:
        if self._made is None:
            self._made = self._make()
        return getattr(self._made, attribute)

    async def close(self) -> None:
        """Closes the session if it was created."""
        if self._made is not None:
            await self._made.close()


def now() -> float:
    """Returns the event loop's monotonic time in seconds, the only clock for leases and timers."""
    return asyncio.get_running_loop().time()


class _Server(uvicorn.Server):
    """An HTTP server that leaves the handling of signals to the daemon, and reports when it listens."""

    def __init__(self, config: uvicorn.Config, on_listening: Callable[[], None]) -> None:
        super().__init__(config)
        self._on_listening = on_listening

    @contextlib.contextmanager
    def capture_signals(self) -> Generator[None, None, None]:
        yield

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        """Begins to listen; raises SystemExit if it can't."""
        await super().startup(sockets)
        self._on_listening()


async def gather_until(
    requests: Mapping[str, Coroutine[Any, Any, Answer]], enough: Callable[[dict[str, Answer]], bool], grace: float
) -> dict[str, Answer]:
    """Runs requests concurrently until there are enough answers.

    Once `enough` returns True for the answers so far, the remaining requests get at most `grace` more seconds and are
    then cancelled. Returns the answers by the names of their requests, in the order of the requests. The loop checks
    the answers and clears the event without an await in between, so no answer is missed.
    """
    answers: dict[str, Answer] = {}
    arrived = asyncio.Event()

    async def run(name: str, request: Coroutine[Any, Any, Answer]) -> None:
        answers[name] = await request
        arrived.set()

    tasks = [asyncio.create_task(run(name, request)) for name, request in requests.items()]
    deadline: float | None = None
    try:
        while len(answers) < len(tasks):
            if deadline is None and enough(answers):
                deadline = now() + grace
            remaining = None if deadline is None else deadline - now()
            if remaining is not None and remaining <= 0:
                break
            arrived.clear()
            try:
                await asyncio.wait_for(arrived.wait(), remaining)
            except TimeoutError:
                break
    finally:
        for task in tasks:
            task.cancel()
    return {name: answers[name] for name in requests if name in answers}


async def serve_http(
    app: ASGIApp, host: str, port: int, stop: asyncio.Event, drain: float | Callable[[], float] = 2.0, protocol: Any = "httptools",
    listen_queue: int = MAX_LISTEN_QUEUE, on_listening: Callable[[], None] = lambda: None,
) -> None:  # fmt: skip
    """Serves an app at `host` and `port` until `stop` is set, then gives open requests `drain` seconds to finish.

    If `drain` is a function, it is called once `stop` is set. `protocol` is the name or the class of an HTTP protocol of uvicorn; `listen_queue`: the longest queue of connections that aren't
    accepted yet; `on_listening` is called once connections are accepted. Raises OSError if it can't listen.
    """
    settings = uvicorn.Config(
        app, host=host, port=port, http=protocol, ws="none", lifespan="off", loop="none",
        log_config=None, access_log=False, server_header=False, date_header=False,
        backlog=listen_queue,
    )  # fmt: skip
    server = _Server(settings, on_listening)
    server.server_state.connections = OrderedSet()  # type: ignore[assignment]  # closed in the order they were opened

    async def exit_on_stop() -> None:
        await stop.wait()
        settings.timeout_graceful_shutdown = math.ceil(drain() if callable(drain) else drain)
        server.should_exit = True

    task = asyncio.create_task(exit_on_stop())
    try:
        await server.serve()
    except SystemExit as error:
        raise OSError(f"cannot listen at {host}:{port}") from error
    finally:
        task.cancel()
