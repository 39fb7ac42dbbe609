"""The owner's side of lots that come by a route: accepting under the route's quota, reading, ending, expiry."""

from __future__ import annotations

import asyncio
import base64
from collections import Counter
from collections.abc import Coroutine
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from result import Err, Ok, Result

from postpass.batch.job import Job, digest, packed
from postpass.batch.quota import Budget
from postpass.configuration.configuration import part_of
from postpass.replication.partition import Partition
from postpass.rpc.codec import Body, PeerResponse
from postpass.runtime.environment import now
from postpass.runtime.errors import CLASH, CROWD, FULL, LACK, MOVED, SLOW, Fault, Stop

if TYPE_CHECKING:
    from postpass.replication.store import Store

PAGE = 900_000  # bytes of texts in one page of results


@dataclass(eq=False)
class JobService:
    """Invariants: a lot is sequenced only under a grant of the route's holder that `pending` counts from before it is
    asked for until the lot is in the view; one task at a time tries to take a lot, and all that send it share it."""

    store: Store
    taking: dict[tuple[int, str], asyncio.Task[PeerResponse]] = field(default_factory=dict)
    pending: dict[int, Counter[str]] = field(default_factory=dict)  # partition -> route -> tokens asked for
    numbers: Counter[int] = field(default_factory=Counter)  # partition -> number of the last count told
    budgets: dict[tuple[int, int, str], Budget] = field(default_factory=dict)  # (holder's partition, epoch, route)
    turns: dict[tuple[int, str], asyncio.Lock] = field(default_factory=dict)
    seen: dict[tuple[int, int, str], float] = field(default_factory=dict)  # (partition, epoch, lot) -> when
    told: dict[tuple[int, str], tuple[int, int]] = field(default_factory=dict)  # -> (epoch, count) last told
    holders: dict[int, str] = field(default_factory=dict)

    def handlers(self) -> dict[str, Any]:
        return {
            "accept": self.accept, "results": self.results, "item": self.item, "reserve": self.reserve,
            "waiting": self.waiting,
        }  # fmt: skip

    def forget(self, part: int) -> None:
        """A new ownership begins: nothing of the one before counts."""
        self.pending.pop(part, None)
        for table in (self.budgets, self.seen):
            for key in [k for k in table if k[0] == part]:
                del table[key]  # type: ignore[attr-defined]

    # --- accepting
    def route(self, name: str) -> Any:
        configuration = self.store.configuration_view.manifest
        return configuration.get("routes", {}).get(name) if configuration else None

    async def accept(self, body: Body) -> PeerResponse:
        """Kept only once covered. Refused (CROWD, FULL) only if nothing was sequenced and nothing that was sent here
        before may still be; otherwise unknown."""
        got = self.store.lead_of(body["part"], "accept")
        if isinstance(got, Err):
            return got
        part, (lot, raw) = got.unwrap(), packed(body["lot"])
        limit = min(float(body.get("wait", 5.0)), self.store.settings.bounds.recover)
        if lot["id"] not in part.view.lots:
            key = (part.id, lot["id"])
            task = self.taking.get(key)
            if task is None:
                task = self.taking[key] = asyncio.create_task(self.take(part, part.epoch, lot, raw, limit))
                task.add_done_callback(lambda _: self.taking.pop(key, None))
            done, _ = await asyncio.wait([task], timeout=limit)
            if not done:
                return Err(Fault("accept", self.store.settings.name, "not known yet", SLOW))
            answer = task.result()
            if isinstance(answer, Err):
                return answer
        have = part.view.lots.get(lot["id"])
        if have is None:
            return Err(Fault("accept", self.store.settings.name, "not known yet", SLOW))
        if have.digest != digest(lot):
            return Err(Fault("accept", self.store.settings.name, "a lot with this id and other content is here", CLASH))
        if await part.wait(have.seq, "", limit):
            self.wake(part)
            return Ok({"id": lot["id"], "state": "kept"})
        return Err(Fault("accept", self.store.settings.name, "not covered yet", SLOW))

    async def take(self, part: Partition, epoch: int, lot: Body, raw: bytes, limit: float) -> PeerResponse:
        store = self.store
        flaw = store.no_room(part)
        if flaw is not None:
            return Err(flaw)
        tokens, name = sum(i["tokens"] for i in lot["items"]), lot["route"]
        pending = self.pending.setdefault(part.id, Counter())
        quota = (self.route(name) or {}).get("quota", 0)
        pending[name] += tokens
        try:
            if quota:
                async with self.turns.setdefault((part.id, name), asyncio.Lock()):
                    # What this lot asks for is not in the count yet, but in `want`.
                    pending[name] -= tokens
                    count = self.count(part, name)
                    pending[name] += tokens
                    got = await self.ask_holder(part, name, count, tokens, limit)
                if isinstance(got, Err):
                    return got
            if part.epoch != epoch:
                return Err(Fault("accept", store.settings.name, "not the owner any more", MOVED))
            # Where its items may go is up to this version of the configuration or a later one, never to one before.
            lot = lot | {"since": max(int(lot.get("since", 0)), store.configuration_view.revision)}
            try:
                store.add(part, "lot", lot, vital=False, raw=raw)
            except Stop as bad:
                return Err(
                    bad.fault if bad.fault.code == FULL else Fault("accept", store.settings.name, bad.fault.why, SLOW)
                )
        finally:
            pending[name] -= tokens
        return Ok({})

    def wake(self, part: Partition) -> None:
        """Tells the scheduler that there is something to take."""
        name = self.store.desks[part.id].scheduler
        addr = self.store.configuration_view.addr(name) if name else ""
        if addr:
            self.spawn(self.store.peer_links.call(addr, "wake", {"part": part.id}, self.store.settings.bounds.beat))

    # --- quota
    def count(self, part: Partition, name: str) -> int:
        """Tokens that wait here on a route: of kept lots, and asked for."""
        held = sum(
            int(item["tokens"])
            for lot in part.view.lots.values()
            if lot.state == "open" and not lot.whole and lot.body.get("route") == name
            for i, item in enumerate(lot.body["items"])
            if i not in lot.results
        )
        return held + self.pending.get(part.id, Counter())[name]

    async def ask_holder(self, part: Partition, name: str, count: int, want: int, limit: float) -> PeerResponse:
        configuration = self.store.configuration_view.manifest
        assert configuration is not None
        home = part_of(f"route:{name}", configuration["parts"])
        self.numbers[part.id] += 1
        body = {"part": home, "route": name, "from": part.id, "epoch": part.epoch, "number": self.numbers[part.id],
                "count": count, "want": want}  # fmt: skip
        got = await self.ask_owner(home, "reserve", body, limit)
        if isinstance(got, Err):
            # Whatever went wrong there, nothing was sequenced here: the answer may be a refusal, and is no certainty
            # of the quota.
            return (
                got
                if got.unwrap_err().code == CROWD
                else Err(Fault("reserve", f"partition {home}", got.unwrap_err().why, FULL))
            )
        self.told[(part.id, name)] = (part.epoch, count + want)
        return got

    async def ask_owner(self, number: int, verb: str, body: Body, limit: float) -> PeerResponse:
        """Asks a partition's owner, following where it is said to be."""
        store, until = self.store, now() + limit * 0.8
        last: PeerResponse = Err(Fault(verb, store.settings.name, "no owner known", SLOW))
        turn = 0
        while now() < until:
            order = store.configuration_view.order(number)
            mine = store.parts.get(number)
            name = self.holders.get(number) or (mine.owner if mine is not None else "")
            if not name and order:
                name, turn = order[turn % len(order)], turn + 1
            got = await store.ask(name, verb, body | {"part": number}) if name else last
            if isinstance(got, Ok):
                self.holders[number] = name
                return got
            last, flaw = got, got.unwrap_err()
            if flaw.code not in (MOVED, SLOW, LACK) and not flaw.unsent and flaw.code != 502:
                return got
            hint = flaw.hint if flaw.code == MOVED and flaw.hint != name else ""
            self.holders[number] = hint
            if not hint:
                await asyncio.sleep(store.settings.bounds.beat / 8)
        return last

    async def reserve(self, body: Body) -> PeerResponse:
        """As holder of a route's budget: hears an owner's count and grants what it wants if it fits."""
        store, name = self.store, body["route"]
        got = store.lead_of(body["part"], "reserve")
        if isinstance(got, Err):
            return got
        part = got.unwrap()
        configuration = store.configuration_view.manifest
        assert configuration is not None
        budget = self.budgets.setdefault((part.id, part.epoch, name), Budget())
        epoch = part.epoch
        if not body["want"]:
            budget.hear(body["from"], body["epoch"], body["number"], body["count"])
            return Ok({})
        lacks = [p for p in budget.lacks(configuration["parts"]) if p != body["from"]]
        if lacks:
            await asyncio.gather(*(self.learn(budget, p, name) for p in lacks))
            if [p for p in budget.lacks(configuration["parts"]) if p != body["from"]]:
                return Err(Fault("reserve", store.settings.name, "not all partitions have told their counts", SLOW))
        # Under the epoch: a holder that comes later asks every owner, which counts what it asked for here.
        if not await store.confirm(part) or part.epoch != epoch:
            return Err(Fault("reserve", store.settings.name, "could not be confirmed", SLOW))
        if not budget.hear(body["from"], body["epoch"], body["number"], body["count"]):
            return Err(Fault("reserve", store.settings.name, "a later word came before this one", FULL))
        most = (self.route(name) or {}).get("quota", 0)
        if most and not budget.take(body["from"], body["want"], most):
            return Err(
                Fault("reserve", store.settings.name, f"{budget.tokens} of {most} tokens wait on the route", CROWD)
            )
        return Ok({})

    async def learn(self, budget: Budget, number: int, name: str) -> None:
        got = await self.ask_owner(number, "waiting", {"route": name}, self.store.settings.bounds.beat)
        if isinstance(got, Ok):
            told = got.unwrap()
            budget.hear(number, told["epoch"], told["number"], told["count"])

    async def waiting(self, body: Body) -> PeerResponse:
        got = self.store.lead_of(body["part"], "waiting")
        if isinstance(got, Err):
            return got
        part = got.unwrap()
        if not await self.store.confirm(part):
            return Err(Fault("waiting", self.store.settings.name, "could not be confirmed", SLOW))
        self.numbers[part.id] += 1
        return Ok({"epoch": part.epoch, "number": self.numbers[part.id], "count": self.count(part, body["route"])})

    def report(self) -> None:
        """Tells the holders what came to an end here; once a beat."""
        configuration = self.store.configuration_view.manifest
        names = (
            [n for n, r in configuration.get("routes", {}).items() if r["kind"] == "lot" and r["quota"]]
            if configuration
            else []
        )
        for part in [p for p in self.store.parts.values() if p.owning and p.ready] if names else []:
            for name in names:
                self.spawn(self.tell(part, name))

    def spawn(self, coro: Coroutine[Any, Any, Any]) -> None:
        task = asyncio.create_task(coro)
        self.store.trials.add(task)
        task.add_done_callback(self.store.trials.discard)

    async def tell(self, part: Partition, name: str) -> None:
        count = self.count(part, name)
        turn = self.turns.setdefault((part.id, name), asyncio.Lock())
        if self.told.get((part.id, name), (0, 0)) == (part.epoch, count) or turn.locked():
            return
        async with turn:
            got = await self.ask_holder(part, name, self.count(part, name), 0, self.store.settings.bounds.beat)
        if isinstance(got, Ok):
            self.told[(part.id, name)] = (part.epoch, count)

    # --- reading
    async def read(self, body: Body, step: str) -> Result[tuple[Partition, Job], Fault]:
        got = await self.store._read(body, step)
        if isinstance(got, Ok) and "route" not in got.unwrap()[1].body:
            return Err(Fault(step, self.store.settings.name, "no such lot", LACK))
        return got

    async def results(self, body: Body) -> PeerResponse:
        """Covered results from a position on, held until there is one."""
        until = now() + float(body.get("hold", 0.0))
        while True:
            got = await self.read(body, "results")
            if isinstance(got, Err):
                return got
            part, lot = got.unwrap()
            rows: list[Body] = []
            size, start = 0, body["start"]
            for i in lot.order[start : start + 500]:
                seq, state, text = lot.results[i]
                size += len(text) + 128
                if seq > part.covered or (rows and size > PAGE):
                    break
                rows.append({"id": lot.body["items"][i]["id"], "state": state, "text": text})
            if rows or now() >= until or lot.state != "open" or start >= lot.size:
                return Ok({"total": lot.size, "results": rows, "next": start + len(rows)})
            # Until the next one is covered; then it is read anew, and confirmed anew.
            seq = lot.results[lot.order[start]][0] if len(lot.order) > start else part.record_log.last + 1
            if not await part.wait(seq, "", max(0.0, until - now())) and part.owning:
                continue

    async def item(self, body: Body) -> PeerResponse:
        """The body of an item that isn't listed yet."""
        got = await self.read(body, "item")
        if isinstance(got, Err):
            return got
        part, lot = got.unwrap()
        spot = next((i for i, x in enumerate(lot.body["items"]) if x["id"] == body["item"]), -1)
        listed = spot in lot.results and lot.results[spot][0] <= part.covered
        if spot < 0 or listed or lot.state == "ended":
            return Err(Fault("item", self.store.settings.name, "no such item that waits", LACK))
        found = lot.item_body(spot)
        if found is None:
            # The last result is not covered yet.
            return Err(Fault("item", self.store.settings.name, "not known yet", SLOW))
        return Ok({"body": base64.b64encode(found).decode()})

    # --- time
    def over(self, part: Partition, lot: Job) -> bool:
        """May the lot leave? Gives up what has expired, or whose route a configuration since its 202 has no more. Times count from when this owner saw the lot first: later than
        it was sent, never earlier, whatever the wall clocks do."""
        store = self.store
        age = now() - self.seen.setdefault((part.id, part.epoch, lot.id), now())
        configuration = store.configuration_view.manifest
        keep = store.settings.bounds.keep or (configuration.get("retention", 3600.0) if configuration else 3600.0)
        if lot.whole or lot.state == "ended":
            return age > keep * 1.1
        gone = store.configuration_view.revision >= lot.body.get("since", 0) and self.route(lot.body["route"]) is None
        if (gone or age > lot.body["expire"]) and lot.seq <= part.covered:
            for i in range(lot.size):
                if i not in lot.results:
                    store.add(part, "result", {"id": lot.id, "item": i, "status": "abandoned", "output": ""})
        return False
