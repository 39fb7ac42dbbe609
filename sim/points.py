"""Named points that a run passes: what is synced, sent, taken, answered, logged, and seen from outside.

A fault can be caused right at a point (`when` in a scenario), or at each point in turn (`sim.crash`). The product
carries no code for it: its journal of numbered events, its links and the simulated disk are tapped here.

| point | is met |
|---|---|
| `E120` … | as a numbered event of the journal is logged |
| `sends.VERB`, `takes.VERB`, `answers.VERB`, `hears.VERB` | by a message between own processes: before its bytes go, as
its handler begins, before the answer's bytes go, as the answer is here | | `starts.FILE`, `synced.FILE` | by a file of
a disk: before a sync, and right after it held (`log`, `snap`, `state`, `epochs`, `identity`) | | `places`, `gate.open`,
`gate.shut` | by a call or item about to go to a worker: before the connection, after the last check | | `took`,
`piece.K` | at a worker, as it takes a call, and as its piece K is about to leave | | `kept`, `shed`, `unknown`,
`ended`, `paged`, `applied.CODE` | as a caller or operator has the answer | | `reach`, `evac`, `lot.CODE`,
`changed.CODE` | in an announced fleet: at a worker, and as a client or the operator has the answer |
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from postpass.batch import item_run
from postpass.gateway import live_requests
from postpass.rpc import codec, connection, peer_server
from postpass.runtime import log_events
from postpass.worker_api import openai
from sim.loop import HOST, SimLoop

VERBS = frozenset(codec.IDL.Peer.thrift_services)
FILES = frozenset({"log", "snap", "state", "epochs", "identity"})
OTHERS = frozenset(
    {"places", "gate.open", "gate.shut", "took", "kept", "shed", "unknown", "ended", "paged", "reach", "evac"}
)


def known(name: str) -> bool:
    """Is this the name of a point that a run can pass?"""
    head, _, rest = name.partition(".")
    return (
        name in OTHERS
        or (head in ("sends", "takes", "answers", "hears") and rest in VERBS)
        or (head in ("starts", "synced") and rest in FILES)
        or (head in ("piece", "applied", "lot", "changed") and rest.isdigit())
        or (name[:1] == "E" and name[1:].isdigit() and int(name[1:]) in log_events.CATALOGUE)
    )


@dataclass(frozen=True)
class Point:
    """Invariant: `number` grows by one with every point passed in a run, so that a seed and it name one moment."""

    number: int
    name: str
    host: str
    peer: str


@dataclass(eq=False)
class Points:
    """Invariant: a watcher is called in the very callback that passes the point, before it goes on."""

    count: int = 0
    seen: Counter[str] = field(default_factory=Counter)
    watchers: list[Callable[[Point], None]] = field(default_factory=list)
    busy: bool = False

    def hit(self, name: str, host: str, peer: str = "") -> None:
        if self.busy:
            return
        self.count += 1
        self.seen[name] += 1
        if self.watchers:
            self.busy = True  # what a fault itself passes is no point of the run
            try:
                point = Point(self.count, name, host, peer)
                for watcher in list(self.watchers):
                    watcher(point)
            finally:
                self.busy = False


def hit(name: str, peer: str = "") -> None:
    """Tells the running simulated world, if there is one, of a point that the current host passes."""
    try:
        loop = asyncio.get_running_loop()
    except RuntimeError:
        return
    host = HOST.get()
    if isinstance(loop, SimLoop) and loop.points is not None and host is not None and not host.dead:
        there = loop.hosts.get(peer.rpartition(":")[0]) if peer else None
        loop.points.hit(name, host.name, there.name if there is not None else "")


def _tap() -> None:
    put, request, answer, emit, plain = (
        connection.Link.put,
        connection.Link.request,
        peer_server.PeerServer._respond,
        log_events.emit,
        openai.complete,
    )
    init = peer_server.PeerServer.__init__

    def tapped_put(self: connection.Link, verb: str, *arguments: Any) -> int:
        hit(f"sends.{verb}", self.address)
        return put(self, verb, *arguments)

    async def tapped_request(self: connection.Link, verb: str, body: Any, limit: float) -> Any:
        got = await request(self, verb, body, limit)
        if got.is_ok():
            hit(f"hears.{verb}", self.address)
        return got

    async def tapped_respond(
        self: peer_server.PeerServer, verb: str, sequence: int, argument: Any, writer: Any
    ) -> None:
        hit(f"takes.{verb}")
        await answer(self, verb, sequence, argument, writer)

    def tapped_emit(number: int, process: str, /, **details: object) -> None:
        emit(number, process, **details)
        hit(f"E{number}")

    def tapped_init(self: peer_server.PeerServer, *args: Any, **more: Any) -> None:
        init(self, *args, **more)

        def around(verb: str, handler: peer_server.Handler) -> peer_server.Handler:
            async def run(val: Any) -> Any:
                if codec.is_oneway(verb):
                    hit(f"takes.{verb}")
                    return await handler(val)
                got = await handler(val)
                hit(f"answers.{verb}")
                return got

            return run

        self.handlers = {n: around(n, h) for n, h in self.handlers.items()}

    def tapped_complete(session: Any, url: str, model: str, prompt: Any, gate: Any, *rest: Any) -> Any:
        there = url.removeprefix("http://")

        def asked() -> str:
            why: str = gate()
            hit("gate.shut" if why else "gate.open", there)
            return why

        hit("places", there)
        return plain(session, url, model, prompt, asked, *rest)

    connection.Link.put, connection.Link.request = tapped_put, tapped_request  # type: ignore[method-assign]
    peer_server.PeerServer._respond = tapped_respond  # type: ignore[method-assign]
    peer_server.PeerServer.__init__ = tapped_init  # type: ignore[method-assign]
    log_events.emit = tapped_emit
    for module in (live_requests, item_run):
        setattr(module, "complete", tapped_complete)  # noqa: B010


_tap()
