"""What a daemon has of the world beside its event loop: disk, chance, the wall clock, HTTP out.

Time and the network come through the running asyncio loop, which the simulator replaces by one with
virtual time and links of its own; so the daemons say `asyncio.sleep` and `open_connection` as usual.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from collections.abc import Callable, Generator
from dataclasses import dataclass, field

import aiohttp
import uvicorn
from starlette.types import ASGIApp

from postpass.disk import Disk


@dataclass(frozen=True)
class World:
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


async def serve_http(app: ASGIApp, host: str, port: int, stop: asyncio.Event) -> None:
    """Serves until `stop`, then lets open calls come to their end for a short while."""
    conf = uvicorn.Config(
        app, host=host, port=port, http="httptools", ws="none", lifespan="off", loop="none",
        log_config=None, access_log=False, timeout_graceful_shutdown=2, server_header=False, date_header=False,
    )  # fmt: skip
    server = _Quiet(conf)

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
