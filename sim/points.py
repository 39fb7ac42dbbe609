"""Named points that a run passes: syncs, messages sent and handled, logged events, and what is seen from outside.

A fault can be caused exactly at a point (`when` in a scenario), or at each point in turn (`sim.crash`). The product
contains no code for this: this module patches its log of numbered events, its connections between processes and its
requests to workers; the simulated disk reports its syncs.

| point | is passed |
|---|---|
| `E120` … | when the event of this number is logged |
| `sends.VERB`, `takes.VERB`, `answers.VERB`, `hears.VERB` | by a message between processes of the product: before its bytes are sent, when its handler begins, before the bytes of the response are sent, when the response has arrived |
| `starts.FILE`, `synced.FILE` | by a file of a disk: before a sync, and right after it succeeded (`log`, `snap`, `state`, `epochs`, `identity`) |
| `places`, `gate.open`, `gate.shut` | by a request or item about to be sent to a worker: before the connection is made, and after the last check, which allowed it (`gate.open`) or refused it (`gate.shut`) |
| `took`, `piece.K` | at a worker, when it accepts a request, and when piece K of its answer is about to be sent |
| `kept`, `shed`, `unknown`, `ended`, `paged`, `applied.CODE` | when a client or an operator has received the answer |
| `reach`, `evac`, `lot.CODE`, `changed.CODE` | in an announced fleet: at a worker, and when a client or the operator has received the answer |
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
PLAIN_NAMES = frozenset(
    {"places", "gate.open", "gate.shut", "took", "kept", "shed", "unknown", "ended", "paged", "reach", "evac"}
)


def is_known_point(name: str) -> bool:
    """Returns whether this is the name of a point that a run can pass."""
    head, _, rest = name.partition(".")
    return (
        name in PLAIN_NAMES
        or (head in ("sends", "takes", "answers", "hears") and rest in VERBS)
        or (head in ("starts", "synced") and rest in FILES)
        or (head in ("piece", "applied", "lot", "changed") and rest.isdigit())
        or (name[:1] == "E" and name[1:].isdigit() and int(name[1:]) in log_events.CATALOGUE)
    )


@dataclass(frozen=True)
class Point:
    """A point as it was passed, with the names of the host that passed it and of its peer.

    Invariant: `number` grows by one with every point passed in a run, so that a seed and a number identify one moment.
    """

    number: int
    name: str
    host: str
    peer: str


@dataclass(eq=False)
class Points:
    """Counts the points of a run and notifies its watchers.

    Invariant: a watcher is called within the callback of the event loop that passes the point, before that goes on.

    Attributes:
        count: the number of points passed so far.
        seen: how often each point was passed, by name.
        watchers: are called with each point.
        notifying: whether watchers are being called; points passed meanwhile are not counted.
    """

    count: int = 0
    seen: Counter[str] = field(default_factory=Counter)
    watchers: list[Callable[[Point], None]] = field(default_factory=list)
    notifying: bool = False

    def hit(self, name: str, host: str, peer: str = "") -> None:
        """Counts a point and calls the watchers."""
        if self.notifying:
            return
        self.count += 1
        self.seen[name] += 1
        if self.watchers:
            self.notifying = True  # points that a fault itself passes do not count as points of the run
            try:
                point = Point(self.count, name, host, peer)
                for watcher in list(self.watchers):
                    watcher(point)
            finally:
                self.notifying = False


def hit(name: str, peer: str = "") -> None:
    """Reports to the running simulation, if there is one, a point that the current host passes.

    Args:
        name: of the point.
        peer: the address of the other side, if there is one.
    """
    try:
        loop = asyncio.get_running_loop()
    except RuntimeError:
        return
    host = HOST.get()
    if isinstance(loop, SimLoop) and loop.points is not None and host is not None and not host.dead:
        peer_host = loop.hosts.get(peer.rpartition(":")[0]) if peer else None
        loop.points.hit(name, host.name, peer_host.name if peer_host is not None else "")


def _patch_product() -> None:
    """Replaces functions of the product by ones that report points before and after they do the same."""
    original_encode, original_request, original_respond, original_emit, original_complete = (
        connection.Link._encode,
        connection.Link.request,
        peer_server.PeerServer._respond,
        log_events.emit,
        openai.complete,
    )
    original_init = peer_server.PeerServer.__init__

    def tapped_encode(self: connection.Link, verb: str, *arguments: Any) -> bytes:
        hit(f"sends.{verb}", self.address)
        return original_encode(self, verb, *arguments)

    async def tapped_request(self: connection.Link, verb: str, body: Any, limit: float) -> Any:
        response = await original_request(self, verb, body, limit)
        if response.is_ok():
            hit(f"hears.{verb}", self.address)
        return response

    async def tapped_respond(
        self: peer_server.PeerServer, request: peer_server.Message, link: peer_server.AcceptedLink
    ) -> None:
        hit(f"takes.{request.verb}")
        await original_respond(self, request, link)

    def tapped_emit(number: int, process: str, /, **details: object) -> None:
        original_emit(number, process, **details)
        hit(f"E{number}")

    def tapped_init(self: peer_server.PeerServer, *args: Any, **options: Any) -> None:
        original_init(self, *args, **options)

        def with_points(verb: str, handler: peer_server.Handler) -> peer_server.Handler:
            async def run_handler(message: Any) -> Any:
                if codec.is_oneway(verb):
                    hit(f"takes.{verb}")
                    return await handler(message)
                response = await handler(message)
                hit(f"answers.{verb}")
                return response

            return run_handler

        self.handlers = {n: with_points(n, h) for n, h in self.handlers.items()}

    def tapped_complete(session: Any, url: str, model: str, prompt: Any, gate: Any, *rest: Any) -> Any:
        worker = url.removeprefix("http://")

        def checked_gate() -> str:
            refusal: str = gate()
            hit("gate.shut" if refusal else "gate.open", worker)
            return refusal

        hit("places", worker)
        return original_complete(session, url, model, prompt, checked_gate, *rest)

    connection.Link._encode, connection.Link.request = tapped_encode, tapped_request  # type: ignore[method-assign]
    peer_server.PeerServer._respond = tapped_respond  # type: ignore[method-assign]
    peer_server.PeerServer.__init__ = tapped_init  # type: ignore[method-assign]
    log_events.emit = tapped_emit
    for module in (live_requests, item_run):
        setattr(module, "complete", tapped_complete)  # noqa: B010


_patch_product()
