"""Connections to workers by address: opened, kept while idle, and probed where a worker is silent."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from postpass.configuration.settings import split_address
from postpass.gateway.upstream_connection import Exchange, UpstreamConnection
from postpass.runtime.errors import BROKE, CROWD, SLOW, Fault, FaultError

# A connection attempt is given up after so many times what one usually takes, but not before so many seconds.
CONNECT_TIMES, CONNECT_LEAST = 8, 0.04
USUAL_DECAY = 0.9  # of the usual time, with each connection that took less


@dataclass(eq=False)
class ConnectionPool:
    """Owner: an edge's relay, or a scheduler. Invariants: `idle` connections have no exchange, the last used last;
    `opened` has every connection of an address that is open or being opened, idle ones too, the newest last."""

    connect: float = 0.5  # seconds until a connection attempt is given up
    silence: float = 3.0  # seconds until a peer that doesn't acknowledge is believed gone
    idle: dict[str, list[UpstreamConnection]] = field(default_factory=dict)
    opened: dict[str, list[UpstreamConnection]] = field(default_factory=dict)
    made: int = 0  # connections ever opened
    sent: int = 0  # requests ever written
    usual_seconds: float = 0.0  # that a connection takes to open: the longest lately; 0 before the first
    last_received: float = 0.0  # when something last came from any worker, by the loop's clock
    probe_timer: asyncio.TimerHandle | None = None
    probes: dict[str, asyncio.Task[None]] = field(default_factory=dict)  # under way
    probed: dict[str, float] = field(default_factory=dict)  # when a probe was last answered

    def put(self, connection: UpstreamConnection) -> None:
        """Keeps an idle connection; drops those of its address that are too old."""
        now = asyncio.get_running_loop().time()
        connection.usable_until = now + connection.idle_seconds
        idle = self.idle.setdefault(connection.addr, [])
        while idle and idle[0].usable_until < now:
            idle[0].drop()
        idle.append(connection)

    def forget(self, connection: UpstreamConnection) -> None:
        """The connection is closed."""
        for table in (self.idle, self.opened):
            connections = table.get(connection.addr)
            if connections is not None and connection in connections:
                connections.remove(connection)
                if not connections:
                    del table[connection.addr]

    def pick(self, addr: str) -> UpstreamConnection | None:
        """The idle connection that was used last, if there is one that the worker surely still holds open."""
        now = asyncio.get_running_loop().time()
        while idle := self.idle.get(addr):
            connection = idle.pop()
            if not idle:
                del self.idle[addr]
            if connection.usable_until >= now and connection.usable():
                return connection
            connection.drop()
        return None

    def busy(self, addr: str) -> int:
        """How many connections of an address have an exchange or are being opened."""
        return len(self.opened.get(addr, ())) - len(self.idle.get(addr, ()))

    async def open(self, addr: str, limit: float) -> UpstreamConnection:
        """A new connection within `limit` seconds. Raises FaultError; nothing was sent."""
        host, port = split_address(addr)
        connection = UpstreamConnection(addr, self)
        self.opened.setdefault(addr, []).append(connection)
        self.made += 1
        loop = asyncio.get_running_loop()
        began = loop.time()
        seconds = self.connect
        if self.usual_seconds:
            seconds = min(self.connect, max(CONNECT_LEAST, self.usual_seconds * CONNECT_TIMES))
        try:
            async with asyncio.timeout(min(limit, seconds)):
                await loop.create_connection(lambda: connection, host, port)
            self.usual_seconds = max(loop.time() - began, self.usual_seconds * USUAL_DECAY)
        except (OSError, TimeoutError) as error:
            connection.drop()
            code = SLOW if isinstance(error, TimeoutError) else BROKE
            raise FaultError(Fault("connect", addr, str(error) or "no answer", code, unsent=True)) from error
        except BaseException:
            connection.drop()
            raise
        return connection

    async def request(
        self,
        addr: str,
        method: str,
        target: bytes,
        headers: Sequence[tuple[bytes, bytes]],
        body: bytes,
        *,
        admission_check: Callable[[], str],
        limit: float,
        max_connections: int = 0,
        expect: tuple[bytes, bytes] | None = None,
        patience: float = 0.0,
    ) -> Exchange:
        """Sends one request and returns when the head of its answer came.

        Parameters: `admission_check`: asked right before the first byte is written; what it says, if
        anything, is why not. `limit`: seconds for the whole exchange, body included. `max_connections`: how many this
        process may have to that address; 0: no bound. `expect`: a header that the answer must carry with just this
        value, or lack if it is empty, or else it belongs to another request. `patience`: for an exchange that may be
        given up and done elsewhere, seconds for which nothing may come before the worker is probed.

        Raises FaultError; its fault is `unsent` only if it is proved that no byte left.
        """
        until = asyncio.get_running_loop().time() + limit
        connection = self.pick(addr)
        reused = connection is not None
        if connection is None:
            if max_connections and len(self.opened.get(addr, ())) >= max_connections:
                raise FaultError(Fault("connect", addr, f"{max_connections} connections are open", CROWD, unsent=True))
            connection = await self.open(addr, limit)
        why = admission_check()
        if why:
            if connection.usable():
                self.put(connection)
            raise FaultError(Fault("gate", addr, why, CROWD, unsent=True))
        left = until - asyncio.get_running_loop().time()
        if not connection.usable() or left <= 0:
            connection.drop()
            raise FaultError(Fault("connect", addr, "closed before a byte was written", unsent=True))
        data = [method.encode(), b" ", target, b" HTTP/1.1\r\n"]
        for name, value in headers:
            data += (name, b": ", value, b"\r\n")
        data += (b"\r\n", body)
        exchange = Exchange(addr, connection, reused)
        self.sent += 1
        connection.start(exchange, data, method == "HEAD", left, expect, patience)
        await self._head_of(exchange, connection)
        return exchange

    async def _head_of(self, exchange: Exchange, connection: UpstreamConnection) -> None:
        """Returns when the head came; raises the exchange's fault if none did."""
        try:
            while not exchange.complete and exchange.fault is None and not connection.head_came:
                await exchange.wait()
        except BaseException:
            exchange.close()
            raise
        if exchange.fault is not None and not exchange.status:
            raise FaultError(exchange.fault)

    # --- workers that say nothing
    def schedule_probes(self, patience: float) -> None:
        """An exchange begins that may be silent for `patience` seconds."""
        if self.probe_timer is None:
            self.probe_timer = asyncio.get_running_loop().call_later(patience / 2, self._probe_silent)

    def _probe_silent(self) -> None:
        """Probes the addresses where an exchange that may be done elsewhere has been silent for its patience."""
        self.probe_timer = None
        loop = asyncio.get_running_loop()
        at, least = loop.time(), 0.0
        for addr, connections in self.opened.items():
            for connection in connections:
                if connection.exchange is None or not connection.patience:
                    continue
                least = min(least or connection.patience, connection.patience)
                last_sign = max(connection.last_received, self.probed.get(addr, 0.0))
                if at - last_sign >= connection.patience and addr not in self.probes:
                    self.probes[addr] = loop.create_task(self._probe(addr, connection.last_received))
        self.probed = {a: t for a, t in self.probed.items() if a in self.opened}
        if least:
            self.schedule_probes(least)

    async def _probe(self, addr: str, since: float) -> None:
        """Silence may be work, so a new connection is asked for: a worker that is there takes or resets it. Where not
        even that comes though others were heard, what may be done elsewhere is given up here. `since`: when the
        silent exchange last received something."""
        loop = asyncio.get_running_loop()
        try:
            connection = await self.open(addr, self.connect)
            connection.usable_until = 0.0
            self.put(connection)
            self.probed[addr] = loop.time()
        except FaultError as stop:
            if stop.fault.code != SLOW or self.last_received <= since:
                # A reset tells that somebody is there; and if nobody at all was heard, this side may be cut off.
                self.probed[addr] = loop.time()
                return
            for connection in list(self.opened.get(addr, ())):
                if connection.exchange is None:
                    connection.drop()
                elif connection.patience and connection.last_received <= since:
                    connection.fail(connection.step(), "nothing came, and no connection was taken", SLOW)
        finally:
            del self.probes[addr]

    def close(self) -> None:
        """Ends all exchanges and connections; the process is about to end."""
        if self.probe_timer is not None:
            self.probe_timer.cancel()
        for task in self.probes.values():
            task.cancel()
        for connections in list(self.opened.values()):
            for connection in list(connections):
                connection.fail("close", "this process ends")
