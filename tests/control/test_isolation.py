"""A control member cut off for twenty seconds while two operators write, workers drain, an edge restarts and a zone is
evacuated; and what its HTTP doors say meanwhile."""

from __future__ import annotations

import asyncio
import json
import random
from dataclasses import dataclass, field
from typing import Any

import pytest
from starlette.applications import Starlette

from postpass.control.daemon import ControlPlane
from postpass.runtime.errors import BAD, BROKE, CLASH, CROWD, FULL, LACK, MOVED, OLD, REJECTED, SLOW, Fault
from sim.linearizability import Attempt, Operation, Order, Outcome, Read, check
from tests.control.test_announced_control import play, standing
from tests.control.test_feed import cut, heal, names, settle
from tests.platform.test_configuration import document
from tests.platform.test_settings import adapter
from tests.support.announced import Fleet

CUT_S = 20.0
PATIENCE_S = 1.0  # for which a caller waits before it turns to another member


@dataclass(eq=False)
class Callers:
    """Two operators and workers that turn to another member after a failure or a second of silence."""

    fleet: Fleet
    until: float
    history: list[Operation] = field(default_factory=list)
    refusals: list[tuple[str, int]] = field(default_factory=list)
    drains: list[float] = field(default_factory=list)
    late: list[str] = field(default_factory=list)
    chance: random.Random = field(default_factory=lambda: random.Random(7))

    @property
    def clock(self) -> float:
        return self.fleet.loop.clock

    async def call(self, order: Any) -> tuple[str, Any]:
        """One attempt at a member by chance; None if no answer came in time."""
        member = self.chance.choice([c.settings.name for c in self.fleet.controls()])
        task = asyncio.create_task(self.fleet.ask(member, order))
        await asyncio.wait({task}, timeout=PATIENCE_S)
        got = task.result() if task.done() else None
        if got is not None and got.is_err():
            self.refusals.append((member, got.unwrap_err().code))
        return member, got

    async def operator(self, first: int) -> None:
        """Orders on top of the newest version it knows, sent again unchanged until there is a clear answer."""
        base, version = 3, 3 + first
        while self.clock < self.until:
            version = max(version + 2, base + 1 + (base + 1 - version) % 2)
            order = Order(base, version, str(version), str(version))
            taken = await self.send(order) is Outcome.TAKEN
            base = version if taken else await self.read() or base
            await asyncio.sleep(0.3 * self.chance.random())

    async def send(self, order: Order) -> Outcome:
        while True:
            began = self.clock
            _, got = await self.call(lambda c: c.apply_source(document(order.version), order.base))
            clear = got is not None and (got.is_ok() or got.unwrap_err().code in (400, 412))
            outcome = Outcome.UNKNOWN if not clear else Outcome.TAKEN if got.is_ok() else Outcome.REFUSED
            self.history.append(Attempt(order, began, self.clock, outcome))
            if clear or self.clock > self.until + 10:
                return outcome
            await asyncio.sleep(0.2)

    async def read(self) -> int:
        began = self.clock
        _, got = await self.call(lambda c: c.read_source())
        if got is None or got.is_err():
            return 0
        version = int(got.unwrap()["version"])
        self.history.append(Read(version, str(version), began, self.clock))
        return version

    async def worker(self, number: int) -> None:
        """Registers and drains; at the acknowledgement every edge that is up must know."""
        who = f"w{number}"
        await self.heartbeat(who, standing(number), 1)
        await asyncio.sleep(1.0)
        began = self.clock
        await self.heartbeat(who, standing(number, leave=True), 2)
        self.drains.append(self.clock - began)
        for name, node in self.fleet.nodes.items():
            configuration = node.daemon.configuration_view.manifest if node.daemon is not None else None
            if node.settings.duties == ("edge",) and configuration is not None and node.daemon.configuration_view.fresh:  # type: ignore[union-attr]
                server = configuration["pools"]["llm"]["servers"].get(who)
                if server is not None and not server.get("leave"):
                    self.late.append(f"{who} at {name}")

    async def heartbeat(self, who: str, says: Any, number: int) -> None:
        while True:
            _, got = await self.call(lambda c: c.record_worker_heartbeat(who, says, number))
            if got is not None and got.is_ok():
                return

    async def zone(self) -> None:
        """An evacuation, sent again until it is taken."""
        while True:
            _, got = await self.call(lambda c: c.evacuate("d", True))
            if got is not None and got.is_ok():
                return
            await asyncio.sleep(0.2)


ROLES = ("witness", "backup", "primary")
SHAPES = [(role, ways, 4) for role in ROLES for ways in ("both", "in", "out")]
SHAPES += [(role, "both", members) for role in ROLES for members in (3, 5)]


@pytest.mark.parametrize(("role", "ways", "members"), SHAPES)
def test_a_member_cut_off_for_twenty_seconds_refuses_nothing_and_holds_up_nobody(
    role: str, ways: str, members: int
) -> None:
    async def scene(f: Fleet) -> tuple[Callers, str]:
        lead, backup, rest = await settle(f)
        lost = {"primary": lead, "backup": backup, "witness": rest[0]}[role].settings.name
        clients = Callers(f, f.loop.clock + CUT_S)
        clients.history.append(Attempt(Order(0, 3, "3", "3"), 0.0, 0.0, Outcome.TAKEN))
        cut(f, lost, [n for n in names(f.controls()) if n != lost], ways)
        tasks = [asyncio.create_task(clients.operator(first)) for first in (1, 2)]
        for number in range(2, 10):
            tasks.append(asyncio.create_task(clients.worker(number)))
            if number == 4:
                f.first = False
                f.kill("e2")
                f.boot("e2")
            if number == 6:
                tasks.append(asyncio.create_task(clients.zone()))
            await asyncio.sleep(CUT_S / 8)
        heal(f)
        await asyncio.wait_for(asyncio.gather(*tasks), 30)
        while not await clients.read():
            await asyncio.sleep(0.2)
        return clients, lost

    clients, lost = play(scene, control=members)
    verdict = check(clients.history)
    assert verdict.linearizable, verdict
    assert sum(isinstance(op, Attempt) and op.outcome is Outcome.TAKEN for op in clients.history) > 3
    assert len(clients.drains) == 8 and clients.late == []
    assert not [code for _, code in clients.refusals if code in (404, 409)]


async def get(
    control: ControlPlane, app: Any, method: str, path: str, body: bytes = b""
) -> tuple[int, dict[str, str], Any]:
    """A request of an operator, at the door of a member."""
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


def test_the_doors_of_a_lost_member_answer_503_with_retry_after_at_once() -> None:
    requests = [("GET", "/v1/manifest", None), ("PUT", "/v1/manifest", {}), ("GET", "/-/config", None), ("PUT", "/-/config", document(4)),
                ("PATCH", "/-/config", {"version": 4}), ("POST", "/-/evac/nowhere", None), ("DELETE", "/-/evac/a", None),
                ("POST", "/-/retire/nobody", None), ("GET", "/-/retire/nobody", None), ("DELETE", "/-/workers/w1", None)]  # fmt: skip

    async def scene(f: Fleet) -> list[Any]:
        _, _, rest = await settle(f)
        lost = rest[0]
        cut(f, lost.settings.name, [n for n in names(f.controls()) if n != lost.settings.name])
        await asyncio.sleep(lost.settings.bounds.contact + 0.1)
        own, platform = lost.app(), Starlette(routes=adapter("operators").ControlRoutes(lost).routes())
        out = []
        for method, path, body in requests:
            app = own if path.startswith("/v1") else platform
            data = json.dumps(body).encode()
            began = f.loop.clock
            got = await f.ask(
                lost.settings.name,
                lambda c, app=app, method=method, path=path, data=data: get(c, app, method, path, data),  # type: ignore[misc]
            )
            out.append((method, path, *got, f.loop.clock - began))
        return out

    for method, path, status, headers, body, took in play(scene):
        assert status == 503 and float(headers["retry-after"]) > 0, (method, path, status, body)
        # A heartbeat is tried at other members first.
        assert took < (0.6 if "workers" in path else 0.01), (method, path, took)
        assert "ask another: 10.0." in body["error"]["why"]


@pytest.mark.parametrize("code", [BAD, LACK, CLASH, OLD, MOVED, CROWD, BROKE, REJECTED, SLOW, FULL])
def test_every_refusal_that_may_be_repeated_says_when(code: int) -> None:
    got = adapter("operators").rejection(Fault("order", "c1", "no", code, "7"))
    clear = {BAD: 400, LACK: 404, CLASH: 409, OLD: 412}
    assert got.status_code == clear.get(code, 503)
    assert ("retry-after" in got.headers) == (code not in clear)


def test_a_process_of_another_kind_at_a_members_address_makes_no_404() -> None:
    """The primary's address went to an edge while a member still forwards there."""

    async def scene(f: Fleet) -> list[int]:
        lead, _, rest = await settle(f)
        member = rest[0]
        address = f.nodes["e1"].settings.peer
        member.addr = lambda name: address if name == lead.settings.name else ""  # type: ignore[method-assign]
        got = [
            await f.ask(member.settings.name, lambda c: c.evacuate("a", True)),
            await f.ask(member.settings.name, lambda c: c.record_worker_heartbeat("w7", standing(7), 1)),
            await f.ask(member.settings.name, lambda c: c.read_source()),
        ]
        return [200 if g.is_ok() else g.unwrap_err().code for g in got]

    assert not set(play(scene)) & {400, 404, 409, 412}
