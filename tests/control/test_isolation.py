"""A control member that is cut off for twenty seconds while clients go on, and how it answers HTTP requests meanwhile.

Two operators change the configuration, workers drain, an edge restarts, and a zone is evacuated.
"""

from __future__ import annotations

import asyncio
import json
import random
from dataclasses import dataclass, field
from typing import Any

import pytest
from starlette.applications import Starlette

from postpass.control.daemon import ControlPlane
from postpass.runtime.errors import (
    BAD_REQUEST,
    CONFLICT,
    NO_SPACE,
    NOT_FOUND,
    NOT_RESPONSIBLE,
    PEER_FAILED,
    PRECONDITION_FAILED,
    REJECTED,
    TIMED_OUT,
    TOO_MANY_REQUESTS,
    Fault,
)
from sim.linearizability import Attempt, Operation, Order, Outcome, Read, check
from tests.control.test_announced_control import play, worker_announcement
from tests.control.test_feed import cut, heal, names, settle
from tests.platform.test_configuration import document
from tests.platform.test_settings import adapter
from tests.support.announced import Fleet

ISOLATION_S = 20.0  # for which the member is cut off
CLIENT_TIMEOUT_S = 1.0  # for which a client waits for an answer before it asks another member


@dataclass(eq=False)
class Clients:
    """Two operators and several workers, which ask another member after a failure or a second without an answer."""

    fleet: Fleet
    until: float
    history: list[Operation] = field(default_factory=list)
    refusals: list[tuple[str, int]] = field(default_factory=list)
    drains: list[float] = field(default_factory=list)
    outdated_edges: list[str] = field(default_factory=list)
    rng: random.Random = field(default_factory=lambda: random.Random(7))

    @property
    def clock(self) -> float:
        return self.fleet.loop.clock

    async def call(self, order: Any) -> tuple[str, Any]:
        """Sends an order to a member chosen at random; returns the member, and None if no answer came in time."""
        member = self.rng.choice([c.settings.name for c in self.fleet.controls()])
        task = asyncio.create_task(self.fleet.ask(member, order))
        await asyncio.wait({task}, timeout=CLIENT_TIMEOUT_S)
        response = task.result() if task.done() else None
        if response is not None and response.is_err():
            self.refusals.append((member, response.unwrap_err().code))
        return member, response

    async def operator(self, parity: int) -> None:
        """Sends orders made from the newest version it knows, each again unchanged until there is a definite answer.

        With `parity` 1 the versions are even, with 2 they are odd, so that two operators never send the same version.
        """
        base, version = 3, 3 + parity
        while self.clock < self.until:
            version = max(version + 2, base + 1 + (base + 1 - version) % 2)
            order = Order(base, version, str(version), str(version))
            is_accepted = await self.send(order) is Outcome.TAKEN
            base = version if is_accepted else await self.read() or base
            await asyncio.sleep(0.3 * self.rng.random())

    async def send(self, order: Order) -> Outcome:
        while True:
            started_at = self.clock
            _, response = await self.call(lambda c: c.apply_document(document(order.version), order.base))
            is_definite = response is not None and (response.is_ok() or response.unwrap_err().code in (400, 412))
            outcome = Outcome.UNKNOWN if not is_definite else Outcome.TAKEN if response.is_ok() else Outcome.REFUSED
            self.history.append(Attempt(order, started_at, self.clock, outcome))
            if is_definite or self.clock > self.until + 10:
                return outcome
            await asyncio.sleep(0.2)

    async def read(self) -> int:
        started_at = self.clock
        _, response = await self.call(lambda c: c.read_document())
        if response is None or response.is_err():
            return 0
        version = int(response.unwrap()["version"])
        self.history.append(Read(version, str(version), started_at, self.clock))
        return version

    async def worker(self, number: int) -> None:
        """Registers a worker and drains it; once that is acknowledged, every edge that is up must know it."""
        worker = f"w{number}"
        await self.heartbeat(worker, worker_announcement(number), 1)
        await asyncio.sleep(1.0)
        started_at = self.clock
        await self.heartbeat(worker, worker_announcement(number, leave=True), 2)
        self.drains.append(self.clock - started_at)
        for name, node in self.fleet.nodes.items():
            configuration = node.daemon.configuration_view.manifest if node.daemon is not None else None
            if node.settings.duties == ("edge",) and configuration is not None and node.daemon.configuration_view.fresh:  # type: ignore[union-attr]
                server = configuration["pools"]["llm"]["servers"].get(worker)
                if server is not None and not server.get("leave"):
                    self.outdated_edges.append(f"{worker} at {name}")

    async def heartbeat(self, worker: str, announcement: Any, seqno: int) -> None:
        while True:
            _, response = await self.call(lambda c: c.record_worker_heartbeat(worker, announcement, seqno))
            if response is not None and response.is_ok():
                return

    async def zone(self) -> None:
        """Sends an evacuation again and again until it is accepted."""
        while True:
            _, response = await self.call(lambda c: c.evacuate("d", True))
            if response is not None and response.is_ok():
                return
            await asyncio.sleep(0.2)


ROLES = ("witness", "backup", "primary")
CUTS = [(role, direction, 4) for role in ROLES for direction in ("both", "in", "out")]
CUTS += [(role, "both", members) for role in ROLES for members in (3, 5)]


@pytest.mark.parametrize(("role", "direction", "members"), CUTS)
def test_a_member_cut_off_for_twenty_seconds_refuses_nothing_and_delays_no_client(
    role: str, direction: str, members: int
) -> None:
    async def scene(fleet: Fleet) -> tuple[Clients, str]:
        primary, backup, other_members = await settle(fleet)
        isolated_name = {"primary": primary, "backup": backup, "witness": other_members[0]}[role].settings.name
        clients = Clients(fleet, fleet.loop.clock + ISOLATION_S)
        clients.history.append(Attempt(Order(0, 3, "3", "3"), 0.0, 0.0, Outcome.TAKEN))
        cut(fleet, isolated_name, [n for n in names(fleet.controls()) if n != isolated_name], direction)
        tasks = [asyncio.create_task(clients.operator(first)) for first in (1, 2)]
        for number in range(2, 10):
            tasks.append(asyncio.create_task(clients.worker(number)))
            if number == 4:
                fleet.first = False
                fleet.kill("e2")
                fleet.boot("e2")
            if number == 6:
                tasks.append(asyncio.create_task(clients.zone()))
            await asyncio.sleep(ISOLATION_S / 8)
        heal(fleet)
        await asyncio.wait_for(asyncio.gather(*tasks), 30)
        while not await clients.read():
            await asyncio.sleep(0.2)
        return clients, isolated_name

    clients, isolated_name = play(scene, control=members)
    verdict = check(clients.history)
    assert verdict.linearizable, verdict
    assert sum(isinstance(op, Attempt) and op.outcome is Outcome.TAKEN for op in clients.history) > 3
    assert len(clients.drains) == 8 and clients.outdated_edges == []
    assert not [code for _, code in clients.refusals if code in (404, 409)]


async def send_request(
    control: ControlPlane, app: Any, method: str, path: str, body: bytes = b""
) -> tuple[int, dict[str, str], Any]:
    """Sends an operator's HTTP request to a member; returns the status, the headers and the parsed body."""
    sent: list[Any] = []

    async def receive() -> Any:
        return {"type": "http.request", "body": body, "more_body": False}

    async def send(message: Any) -> None:
        sent.append(message)

    scope = {"type": "http", "method": method, "path": path, "raw_path": path.encode(), "query_string": b"",
             "headers": [(b"if-match", b"3")], "http_version": "1.1", "scheme": "http", "root_path": ""}  # fmt: skip
    await app(scope, receive, send)
    headers = {k.decode().lower(): v.decode() for k, v in sent[0]["headers"]}
    data = b"".join(m.get("body", b"") for m in sent[1:])
    return sent[0]["status"], headers, json.loads(data)


def test_a_cut_off_member_answers_http_requests_with_503_and_retry_after_at_once() -> None:
    requests = [("GET", "/v1/manifest", None), ("PUT", "/v1/manifest", {}), ("GET", "/-/config", None), ("PUT", "/-/config", document(4)),
                ("PATCH", "/-/config", {"version": 4}), ("POST", "/-/evac/nowhere", None), ("DELETE", "/-/evac/a", None),
                ("POST", "/-/retire/nobody", None), ("GET", "/-/retire/nobody", None), ("DELETE", "/-/workers/w1", None)]  # fmt: skip

    async def scene(fleet: Fleet) -> list[Any]:
        _, _, other_members = await settle(fleet)
        isolated = other_members[0]
        cut(fleet, isolated.settings.name, [n for n in names(fleet.controls()) if n != isolated.settings.name])
        await asyncio.sleep(isolated.settings.bounds.contact_lease + 0.1)
        member_app, platform_app = (
            isolated.app(),
            Starlette(routes=adapter("operators").ControlRoutes(isolated).routes()),
        )
        responses = []
        for method, path, body in requests:
            app = member_app if path.startswith("/v1") else platform_app
            data = json.dumps(body).encode()
            started_at = fleet.loop.clock
            response = await fleet.ask(
                isolated.settings.name,
                lambda c, app=app, method=method, path=path, data=data: send_request(c, app, method, path, data),  # type: ignore[misc]
            )
            responses.append((method, path, *response, fleet.loop.clock - started_at))
        return responses

    for method, path, status, headers, body, elapsed in play(scene):
        assert status == 503 and float(headers["retry-after"]) > 0, (method, path, status, body)
        # A heartbeat is forwarded to other members first.
        assert elapsed < (0.6 if "workers" in path else 0.01), (method, path, elapsed)
        assert "ask another: 10.0." in body["error"]["why"]


@pytest.mark.parametrize(
    "code",
    [
        BAD_REQUEST,
        NOT_FOUND,
        CONFLICT,
        PRECONDITION_FAILED,
        NOT_RESPONSIBLE,
        TOO_MANY_REQUESTS,
        PEER_FAILED,
        REJECTED,
        TIMED_OUT,
        NO_SPACE,
    ],
)
def test_every_refusal_that_may_be_repeated_says_when(code: int) -> None:
    response = adapter("operators").rejection(Fault("order", "c1", "no", code, "7"))
    status_of_definite = {BAD_REQUEST: 400, NOT_FOUND: 404, CONFLICT: 409, PRECONDITION_FAILED: 412}
    assert response.status_code == status_of_definite.get(code, 503)
    assert ("retry-after" in response.headers) == (code not in status_of_definite)


def test_a_process_of_another_kind_at_a_members_address_makes_no_404() -> None:
    """Guards against a 404 where the primary's address now belongs to an edge, while a member still forwards to it."""

    async def scene(fleet: Fleet) -> list[int]:
        primary, _, other_members = await settle(fleet)
        member = other_members[0]
        address = fleet.nodes["e1"].settings.peer
        member.peer_address = lambda name: address if name == primary.settings.name else ""  # type: ignore[method-assign]
        responses = [
            await fleet.ask(member.settings.name, lambda c: c.evacuate("a", True)),
            await fleet.ask(member.settings.name, lambda c: c.record_worker_heartbeat("w7", worker_announcement(7), 1)),
            await fleet.ask(member.settings.name, lambda c: c.read_document()),
        ]
        return [200 if g.is_ok() else g.unwrap_err().code for g in responses]

    assert not set(play(scene)) & {400, 404, 409, 412}
