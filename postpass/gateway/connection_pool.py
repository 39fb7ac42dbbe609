"""The pool of connections to workers: opens them, keeps idle ones, and probes workers that are silent."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from postpass.configuration.settings import split_address
from postpass.gateway.exchange import Exchange
from postpass.gateway.upstream_connection import UpstreamConnection
from postpass.runtime.errors import PEER_FAILED, TIMED_OUT, TOO_MANY_REQUESTS, Fault, FaultError

# An attempt to connect is abandoned after this multiple of the usual time, but not before so many seconds.
CONNECT_TIMEOUT_FACTOR, MIN_CONNECT_TIMEOUT = 8, 0.04
USUAL_DECAY = 0.9  # factor for the usual time with each connection that took less


@dataclass(eq=False)
class ConnectionPool:
    """The connections of one process to workers, by address. Owner: an edge's relay, or a scheduler.

    Invariants: connections in `idle` have no exchange, and the last used one is the last; `opened` has every connection
    to an address that is open or being opened, including idle ones, the newest last.
    """

    connect_timeout: float = 0.5  # seconds after which an attempt to connect is abandoned
    silence_timeout: float = 3.0  # seconds after which a peer that doesn't acknowledge data counts as dead
    idle: dict[str, list[UpstreamConnection]] = field(default_factory=dict)
    opened: dict[str, list[UpstreamConnection]] = field(default_factory=dict)
    connections_opened: int = 0  # since the start
    requests_sent: int = 0  # since the start
    usual_seconds: float = 0.0  # that opening a connection takes: the longest recent time, decaying; 0 before the first
    last_received: float = 0.0  # when something was last received from any worker, by the loop's clock
    probe_timer: asyncio.TimerHandle | None = None
    probe_tasks: dict[str, asyncio.Task[None]] = field(default_factory=dict)  # running probes by address
    probe_passed_at: dict[str, float] = field(
        default_factory=dict
    )  # by address: end of the last probe that didn't show a failure

    def keep_idle(self, connection: UpstreamConnection) -> None:
        """Keeps an idle connection for later requests; closes those of its address that have been idle too long."""
        now = asyncio.get_running_loop().time()
        connection.usable_until = now + connection.idle_seconds
        idle = self.idle.setdefault(connection.addr, [])
        while idle and idle[0].usable_until < now:
            idle[0].abort()
        idle.append(connection)

    def remove(self, connection: UpstreamConnection) -> None:
        """Removes a connection that is being closed."""
        for table in (self.idle, self.opened):
            connections = table.get(connection.addr)
            if connections is not None and connection in connections:
                connections.remove(connection)
                if not connections:
                    del table[connection.addr]

    def take_idle(self, addr: str, expect: tuple[bytes, bytes] | None = None) -> UpstreamConnection | None:
        """Removes and returns the idle connection that was used last and may carry a request with `expect`.

        Returns None if there is none. Closes those that the worker may have closed in the meantime.
        """
        now = asyncio.get_running_loop().time()
        for connection in reversed(self.idle.get(addr, ())):
            if connection.usable_until < now or not connection.is_open():
                connection.abort()
            elif connection.may_carry(expect):
                self._remove_idle(connection)
                return connection
        return None

    def _remove_idle(self, connection: UpstreamConnection) -> None:
        """Removes a connection from the idle ones."""
        idle = self.idle[connection.addr]
        idle.remove(connection)
        if not idle:
            del self.idle[connection.addr]

    def _make_room(self, addr: str, max_connections: int) -> None:
        """Closes the idle connection to an address that was unused for longest if no further one may be opened.

        Raises FaultError if all are busy; nothing was sent then.
        """
        if not max_connections or len(self.opened.get(addr, ())) < max_connections:
            return
        idle = self.idle.get(addr)
        if not idle:
            raise FaultError(
                Fault("connect", addr, f"{max_connections} connections are open", TOO_MANY_REQUESTS, unsent=True)
            )
        idle[0].abort()

    def busy_count(self, addr: str) -> int:
        """Returns how many connections to an address have an exchange or are being opened."""
        return len(self.opened.get(addr, ())) - len(self.idle.get(addr, ()))

    async def open(self, addr: str, limit: float) -> UpstreamConnection:
        """Opens a new connection within `limit` seconds. Raises FaultError if that fails; nothing was sent then."""
        host, port = split_address(addr)
        connection = UpstreamConnection(addr, self)
        self.opened.setdefault(addr, []).append(connection)
        self.connections_opened += 1
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        attempt_timeout = self.connect_timeout
        if self.usual_seconds:
            attempt_timeout = min(
                self.connect_timeout, max(MIN_CONNECT_TIMEOUT, self.usual_seconds * CONNECT_TIMEOUT_FACTOR)
            )
        try:
            async with asyncio.timeout(min(limit, attempt_timeout)):
                await loop.create_connection(lambda: connection, host, port)
            self.usual_seconds = max(loop.time() - started_at, self.usual_seconds * USUAL_DECAY)
        except (OSError, TimeoutError) as error:
            connection.abort()
            code = TIMED_OUT if isinstance(error, TimeoutError) else PEER_FAILED
            raise FaultError(Fault("connect", addr, str(error) or "no answer", code, unsent=True)) from error
        except BaseException:
            connection.abort()
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
        """Sends one request, and returns its exchange once the head of the answer has arrived.

        Parameters: `admission_check`: called right before the first byte is written; returns the reason if the request
        must not be sent, otherwise an empty string. `limit`: seconds for the complete exchange, including the body.
        `max_connections`: how many connections this process may have to that address; 0: no bound. `expect`: name and
        value of a header that the answer must have with exactly this value, or must not have if the value is empty;
        otherwise the answer belongs to another request; a connection carries one request with it. `patience`: for an exchange that may be abandoned and repeated
        elsewhere, the seconds of silence after which the worker is probed; 0 for others.

        Raises FaultError; its fault is marked `unsent` only if it is proved that no byte was sent.
        """
        deadline = asyncio.get_running_loop().time() + limit
        connection = self.take_idle(addr, expect)
        reused = connection is not None
        if connection is None:
            self._make_room(addr, max_connections)
            connection = await self.open(addr, limit)
        objection = admission_check()
        if objection:
            if connection.is_open():
                self.keep_idle(connection)
            raise FaultError(Fault("gate", addr, objection, TOO_MANY_REQUESTS, unsent=True))
        remaining = deadline - asyncio.get_running_loop().time()
        if not connection.is_open() or remaining <= 0:
            connection.abort()
            raise FaultError(Fault("connect", addr, "closed before a byte was written", unsent=True))
        data = [method.encode(), b" ", target, b" HTTP/1.1\r\n"]
        for name, value in headers:
            data += (name, b": ", value, b"\r\n")
        data += (b"\r\n", body)
        exchange = Exchange(addr, connection, reused)
        self.requests_sent += 1
        connection.start(exchange, data, method == "HEAD", remaining, expect, patience)
        await self._wait_for_head(exchange, connection)
        return exchange

    async def _wait_for_head(self, exchange: Exchange, connection: UpstreamConnection) -> None:
        """Returns once the head has arrived; raises FaultError with the exchange's fault if it doesn't arrive."""
        try:
            while not exchange.complete and exchange.fault is None and not connection.head_complete:
                await exchange.wait()
        except BaseException:
            exchange.close()
            raise
        if exchange.fault is not None and not exchange.status:
            raise FaultError(exchange.fault)

    # --- probing silent workers
    def schedule_probes(self, patience: float) -> None:
        """Schedules the next check for silent workers, for an exchange that may be silent for `patience` seconds.

        Does nothing if a check is scheduled already.
        """
        if self.probe_timer is None:
            self.probe_timer = asyncio.get_running_loop().call_later(patience / 2, self._probe_silent)

    def _probe_silent(self) -> None:
        """Probes each address where an exchange that may be repeated elsewhere has been silent for its `patience`."""
        self.probe_timer = None
        loop = asyncio.get_running_loop()
        current_time, shortest_patience = loop.time(), 0.0
        for addr, connections in self.opened.items():
            for connection in connections:
                if connection.exchange is None or not connection.patience:
                    continue
                shortest_patience = min(shortest_patience or connection.patience, connection.patience)
                last_sign_of_life = max(connection.last_received, self.probe_passed_at.get(addr, 0.0))
                if current_time - last_sign_of_life >= connection.patience and addr not in self.probe_tasks:
                    self.probe_tasks[addr] = loop.create_task(self._probe(addr, connection.last_received))
        self.probe_passed_at = {a: t for a, t in self.probe_passed_at.items() if a in self.opened}
        if shortest_patience:
            self.schedule_probes(shortest_patience)

    async def _probe(self, addr: str, silent_since: float) -> None:
        """Checks whether a silent worker is alive, by opening a new connection to it.

        A silent worker may just be busy, but one that is alive accepts or resets a new connection. If it does neither,
        though something was received from other workers, all silent exchanges with it that may be repeated elsewhere
        are ended with a fault. `silent_since`: when the silent exchange last received something.
        """
        loop = asyncio.get_running_loop()
        try:
            connection = await self.open(addr, self.connect_timeout)
            connection.usable_until = 0.0
            self.keep_idle(connection)
            self.probe_passed_at[addr] = loop.time()
        except FaultError as error:
            if error.fault.code != TIMED_OUT or self.last_received <= silent_since:
                # A reset shows that the host is alive; if nothing was received from any worker, this side may be cut off.
                self.probe_passed_at[addr] = loop.time()
                return
            for connection in list(self.opened.get(addr, ())):
                if connection.exchange is None:
                    connection.abort()
                elif connection.patience and connection.last_received <= silent_since:
                    connection.fail(connection.fault_step(), "nothing came, and no connection was taken", TIMED_OUT)
        finally:
            del self.probe_tasks[addr]

    def close(self) -> None:
        """Closes all connections and ends their exchanges, because the process is about to end."""
        if self.probe_timer is not None:
            self.probe_timer.cancel()
        for task in self.probe_tasks.values():
            task.cancel()
        for connections in list(self.opened.values()):
            for connection in list(connections):
                connection.fail("close", "this process ends")
