"""What a daemon has of the world beside its event loop: disk, chance, the wall clock, HTTP out.

Time and the network come through the running asyncio loop, which the simulator replaces by one with
virtual time and links of its own; so the daemons say `asyncio.sleep` and `open_connection` as usual.
"""

from __future__ import annotations

import asyncio
import contextlib
import math
import random
import time
from collections.abc import Callable, Coroutine, Generator, Mapping
from dataclasses import dataclass, field
from typing import Any, TypeVar

import aiohttp
import uvicorn
from starlette.types import ASGIApp

from postpass.runtime.disk import Disk
from postpass.runtime.ordered_set import OrderedSet

T = TypeVar("T")


@dataclass(frozen=True)
class Environment:
    disk: Disk | None = None
    chance: random.Random = field(default_factory=random.Random)
    wall: Callable[[], float] = time.time
    connector: Callable[[], aiohttp.BaseConnector] = lambda: aiohttp.TCPConnector(limit=0, keepalive_timeout=2.0)

    def session(self) -> aiohttp.ClientSession:
        return aiohttp.ClientSession(
            connector=self.connector(),
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=1.0),
        )


def now() -> float:
    """The one clock for leases and timers: the loop's, monotonic, never the wall."""
    return asyncio.get_running_loop().time()


class _Quiet(uvicorn.Server):
    @contextlib.contextmanager
    def capture_signals(self) -> Generator[None, None, None]:
        yield


async def hear(
    asks: Mapping[str, Coroutine[Any, Any, T]], enough: Callable[[dict[str, T]], bool], grace: float
) -> dict[str, T]:
    """Asks many at once; once what was heard is enough, waits no longer than `grace` for the rest."""
    got: dict[str, T] = {}
    fresh = asyncio.Event()

    async def one(name: str, ask: Coroutine[Any, Any, T]) -> None:
        got[name] = await ask
        fresh.set()

    tasks = [asyncio.create_task(one(n, a)) for n, a in asks.items()]
    until: float | None = None
    try:
        while len(got) < len(tasks):
            if until is None and enough(got):
                until = now() + grace
            left = None if until is None else until - now()
            if left is not None and left <= 0:
                break
            fresh.clear()
            try:
                await asyncio.wait_for(fresh.wait(), left)
            except TimeoutError:
                break
    finally:
        for task in tasks:
            task.cancel()
    return {n: got[n] for n in asks if n in got}


async def serve_http(
    app: ASGIApp, host: str, port: int, stop: asyncio.Event, drain: float = 2.0, protocol: Any = "httptools"
) -> None:
    """Serves until `stop`, then lets open calls come to their end for as long as `drain`."""
    settings = uvicorn.Config(
        app, host=host, port=port, http=protocol, ws="none", lifespan="off", loop="none",
        log_config=None, access_log=False, timeout_graceful_shutdown=math.ceil(drain), server_header=False, date_header=False,
    )  # fmt: skip
    server = _Quiet(settings)
    server.server_state.connections = OrderedSet()  # type: ignore[assignment]  # closed in the order they were opened

    async def watch() -> None:
        await stop.wait()
        server.should_exit = True

    task = asyncio.create_task(watch())
    try:
        await server.serve()
    except SystemExit as bad:
        raise OSError(f"cannot listen at {host}:{port}") from bad
    finally:
        task.cancel()
