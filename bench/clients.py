"""Stand-in callers. They write down what they saw, event by event; the history checker reads that.

They use nothing of the product: only its published HTTP interface.
"""

from __future__ import annotations

import asyncio
import hashlib
import json
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Any

import aiohttp

from bench.words import plain, words

Event = dict[str, Any]
CLIENT_GROUPS = 6  # clients that share a prefix
DEFAULT_PIECES = 6
ERROR_WIDTH = 100


@dataclass(frozen=True)
class Load:
    """What one deployment's callers do. Rates are calls a second; lots are (rate, items)."""

    live: dict[str, float]
    plain: dict[str, float]
    lots: dict[str, tuple[float, int]]
    within: float = 30.0
    pieces: dict[str, int] = field(default_factory=dict)
    once: float = 0.1
    shared: int = 400
    ends: float = 0.0  # part of the lots that are ended soon after they were kept
    echo: float = 0.0  # part of the lots that are handed in at two edges at once
    keyed: float = 0.0  # part of the `once` calls that carry a key, and are sent again under it if the answer is unsure


@dataclass(eq=False)
class LiveAnswer:
    """What came back for a live request. `end` is broken until an event or a status tells more; `onward` if another edge
    is to be asked."""

    first: float | None = None  # when the first piece came
    pieces: list[str] = field(default_factory=list)
    end: str = "broken"
    ran: str = ""
    status: int = 0
    why: str = ""
    retry: str = ""
    onward: bool = False

    @property
    def checksum(self) -> str:
        """Of all pieces, as the last event tells it."""
        return hashlib.sha256("".join(self.pieces).encode()).hexdigest()[:16]

    def refuse(self, error: dict[str, Any], retry: str) -> None:
        """Takes in an error that came in place of a stream."""
        self.ran, self.why, self.retry = error.get("ran", ""), error["why"], retry
        self.end = "shed" if self.status in (429, 503) else "error"
        self.onward = error.get("hint") == "another edge"


@dataclass(eq=False)
class Callers:
    """Invariant: every call made leaves exactly one event of its end."""

    edges: list[str]
    session: aiohttp.ClientSession
    chance: random.Random
    clock: Callable[[], float]
    log: Callable[[Event], None]
    load: Load
    count: int = 0
    tasks: set[asyncio.Task[None]] = field(default_factory=set)
    kept: list[str] = field(default_factory=list)
    ended: set[str] = field(default_factory=set)
    whole: set[str] = field(default_factory=set)
    sizes: dict[str, int] = field(default_factory=dict)
    stopped: bool = False
    until: float = 1e18  # no new calls from then on

    def tell(self, ev: str, **more: Any) -> None:
        """Adds an event of this moment to the history."""
        self.log({"t": self.clock(), "ev": ev, **more})

    def tag(self, kind: str) -> str:
        """A name for a new request."""
        self.count += 1
        return f"{kind}:{self.count}"

    def spawn(self, coro: Any) -> None:
        """Runs a request in a task of its own."""
        task = asyncio.create_task(coro)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def run(self, seconds: float) -> None:
        """Makes calls at the load's rates, whatever becomes of them, then waits for those under way."""
        start = self.clock()
        jobs: list[tuple[float, Callable[[], Any]]] = [
            *((rate, partial(self.live, k)) for k, rate in self.load.live.items()),
            *((rate, partial(self.view, k)) for k, rate in self.load.plain.items()),
            *((rate, partial(self.lot, k, n)) for k, (rate, n) in self.load.lots.items()),
        ]

        async def beat(rate: float, make: Callable[[], Any]) -> None:
            while rate > 0:
                await asyncio.sleep(self.chance.expovariate(rate))
                if self.clock() - start >= seconds or self.stopped or self.clock() >= self.until:
                    return
                self.spawn(make())

        await asyncio.gather(*(beat(rate, make) for rate, make in jobs))
        await self.settle()

    async def settle(self) -> None:
        """Waits for all requests under way."""
        while self.tasks:
            await asyncio.wait(set(self.tasks))

    def edge(self) -> str:
        """Any edge."""
        return self.edges[self.chance.randrange(len(self.edges))]

    def another(self, *tried: str) -> str:
        """Any edge but those tried, as a caller goes on who is told to, or who can't reach one."""
        rest = [e for e in self.edges if e not in tried] or self.edges
        return rest[self.chance.randrange(len(rest))]

    # --- live
    async def live(
        self, kind: str, once: bool | None = None, key: bool = False, tag: str = "", edge: str = "", hops: int = 3,
        tried: tuple[str, ...] = (),
    ) -> None:  # fmt: skip
        """One live request: `once` if it may not be repeated, `key` if it carries a key under which it may; it goes on
        at another edge up to `hops` times, and leaves one event of its end."""
        tag = tag or self.tag(kind)
        if once is None:
            once = self.chance.random() < self.load.once
            key = once and self.load.keyed > 0 and self.chance.random() < self.load.keyed
        group = self.chance.randrange(CLIENT_GROUPS)
        size = self.load.pieces.get(kind, DEFAULT_PIECES)
        shared = [f"{kind} handbook {group} " + "x" * self.load.shared]
        own = f"{tag} what now? #n={size + self.chance.randrange(4)}"
        body: dict[str, Any] = {"class": kind, "shared": shared, "own": own}
        if once:
            body["once"] = True
        if key:
            body["key"] = tag.replace(":", "-")
        began = self.clock()
        edge = edge or self.edge()
        answer = await self._ask(edge, body, f"c{group}", tag)
        if answer.onward and hops:
            tried = (*tried, edge)
            await self.live(kind, once, key, tag, self.another(*tried), hops - 1, tried)
            return
        self.tell("call", tag=tag, kind=kind, once=once, key=key, began=began, first=answer.first, end=answer.end, ran=answer.ran,
                  status=answer.status, why=answer.why, retry=answer.retry, got=answer.pieces, want=words("\n".join([*shared, own])))  # fmt: skip
        if key and answer.end in ("broken", "error") and answer.status != 409 and hops:
            # Safe under the key, whatever became of the first: it runs once, or not again.
            await asyncio.sleep(0.3 * self.chance.random())
            await self.live(kind, True, True, tag, self.another(edge), hops - 1)

    async def _ask(self, edge: str, body: dict[str, Any], client: str, tag: str) -> LiveAnswer:
        """One try at one edge."""
        answer = LiveAnswer()
        try:
            async with self.session.post(
                f"{edge}/v1/calls",
                json=body,
                headers={"x-caller": client},
                timeout=aiohttp.ClientTimeout(total=60),
            ) as response:
                answer.status = response.status
                if response.status == 200:
                    await self._read_stream(response, answer, tag)
                else:
                    answer.refuse(json.loads(await response.read())["error"], response.headers.get("retry-after", ""))
        except aiohttp.ClientConnectorError as error:
            answer.why, answer.onward = repr(error)[:ERROR_WIDTH], True
        except (TimeoutError, aiohttp.ClientError, OSError, ValueError) as error:
            answer.why = answer.why or repr(error)[:ERROR_WIDTH]
        return answer

    async def _read_stream(self, response: aiohttp.ClientResponse, answer: LiveAnswer, tag: str) -> None:
        """Reads server-sent events until one ends the answer, or the connection ends."""
        event, data = "", ""
        while line := (await response.content.readline()).decode():
            if line.startswith("event: "):
                event = line[7:].strip()
            elif line.startswith("data: "):
                data = line[6:]
            elif line == "\n" and event:
                self._take_event(event, json.loads(data), answer, tag)
                event = ""
            if answer.end != "broken" and line == "\n":
                return

    def _take_event(self, event: str, content: dict[str, Any], answer: LiveAnswer, tag: str) -> None:
        """Adds an event to the answer; what doesn't follow from the pieces before is told as a gap."""
        count = len(answer.pieces)
        if event == "piece":
            if content["n"] != count:
                self.tell("gap", tag=tag, want=count, got=content["n"])
            answer.first = answer.first or self.clock()
            answer.pieces.append(content["text"])
        elif event == "done":
            answer.end = "done"
            if content["count"] != count or content["sum"] != answer.checksum:
                self.tell("gap", tag=tag, want=content["count"], got=count)
        elif event == "error":
            answer.end, answer.why = "error", content["why"]

    async def view(self, kind: str, edge: str = "", hops: int = 3) -> None:
        """One request to a plain back end, which goes on at another edge up to `hops` times."""
        path = f"/{kind}/{self.chance.randrange(400)}"
        began, end, good, why, onward = self.clock(), "broken", False, "", False
        edge = edge or self.edge()
        try:
            async with self.session.get(f"{edge}{path}", timeout=aiohttp.ClientTimeout(total=30)) as answer:
                data = await answer.read()
                end = "done" if answer.status == 200 else "shed" if answer.status in (429, 503) else "error"
                good = data == plain(path)
                why = "" if end == "done" else data.decode()[:200]
                onward = end == "shed" and "another edge" in why
        except aiohttp.ClientConnectorError as bad:
            why, onward = repr(bad)[:100], True
        except (TimeoutError, aiohttp.ClientError, OSError) as bad:
            why = repr(bad)[:100]
        if onward and hops:
            await self.view(kind, self.another(edge), hops - 1)
            return
        self.tell("view", kind=kind, path=path, began=began, end=end, good=good, why=why)

    # --- lots
    async def lot(self, kind: str, size: int) -> None:
        """Hands in a lot under a name of its own, again until the answer is sure, then reads results."""
        self.count += 1
        name = f"{kind}-{self.chance.getrandbits(40):010x}-{self.count}"
        items = [f"lot:{name}:{i} reading #n={3 + self.chance.randrange(4)}" for i in range(size)]
        began = self.clock()
        body = {"id": name, "class": kind, "items": items, "within": self.load.within}

        async def hand_in(tries: int) -> str:
            answer, status, why = "unknown", 0, ""
            for _ in range(tries):
                try:
                    async with self.session.post(
                        f"{self.edge()}/v1/lots", json=body, timeout=aiohttp.ClientTimeout(total=20)
                    ) as got:
                        status = got.status
                        raw = json.loads(await got.read())
                        if status == 201:
                            answer, why = raw["state"], ""
                        else:
                            answer = raw["error"].get("state", "unknown" if "hint" in raw["error"] else "bad")
                            why = raw["error"]["why"]
                except (TimeoutError, aiohttp.ClientError, OSError, ValueError) as bad:
                    why = repr(bad)[:100]
                if answer in ("kept", "shed", "bad") or self.stopped:
                    break
                await asyncio.sleep(0.5)
            self.tell("lot", id=name, kind=kind, size=size, began=began, answer=answer, status=status, why=why,
                      due=began + self.load.within)  # fmt: skip
            return answer

        if self.load.echo > 0 and self.chance.random() < self.load.echo:
            both = await asyncio.gather(hand_in(8), hand_in(3))
            answer = "shed" if "shed" in both else "kept" if "kept" in both else both[0]
        else:
            answer = await hand_in(8)
        if answer != "kept":
            return
        self.kept.append(name)
        self.sizes[name] = size
        if self.chance.random() < self.load.ends:
            await asyncio.sleep(self.chance.random())
            await self.end(name)
            return
        await self.read(name, self.load.within)

    async def end(self, name: str) -> None:
        """Ends a job, and tries until the answer is sure."""
        for _ in range(20):
            try:
                async with self.session.delete(
                    f"{self.edge()}/v1/lots/{name}", timeout=aiohttp.ClientTimeout(total=20)
                ) as got:
                    raw = json.loads(await got.read())
                    if got.status == 200:
                        self.tell("ended", id=name, state=raw["state"])
                        self.ended.add(name)
                        return
            except (TimeoutError, aiohttp.ClientError, OSError, ValueError):
                pass
            await asyncio.sleep(0.5)

    async def read(self, name: str, limit: float) -> bool:
        """Pages through results from the start until whole, or the time is up."""
        start, began, whole = 0, self.clock(), False
        while self.clock() - began < limit and not whole and not self.stopped:
            step = await self.page(name, start)
            if step is not None:
                start, whole = step
            if not whole:
                await asyncio.sleep(1.0)
        if whole:
            self.whole.add(name)
            await self.page(name, 0)
        return whole

    async def page(self, name: str, start: int) -> tuple[int, bool] | None:
        """One page of a job's results: where the next one begins, and whether the job is whole; None if there was no
        answer."""
        try:
            url = f"{self.edge()}/v1/lots/{name}/results?start={start}&most=200"
            async with self.session.get(url, timeout=aiohttp.ClientTimeout(total=20)) as got:
                raw = json.loads(await got.read())
                if got.status == 200:
                    rows = [[r["item"], r["status"], r["output"]] for r in raw["results"]]
                    self.tell("page", id=name, start=start, rows=rows, whole=raw["whole"])
                    return raw["next"], raw["whole"]
                if got.status in (404, 410):
                    self.tell("missing", id=name, status=got.status, why=raw["error"]["why"])
        except (TimeoutError, aiohttp.ClientError, OSError, ValueError):
            pass
        return None

    async def audit(self, limit: float) -> None:
        """At the end: each lot that was called kept is still there, and comes to its end."""
        for name in self.kept:
            if name not in self.ended:
                done = name in self.whole and await self.page(name, 0) is not None or await self.read(name, limit)
                self.tell("audit", id=name, whole=bool(done))
