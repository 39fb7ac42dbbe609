"""Leases of items: an owner hands out what waits to the one scheduler, and takes the results."""

from __future__ import annotations

import base64
import hashlib
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from itertools import islice

from result import Err, Ok

from postpass.batch.job import kind_of
from postpass.replication.leadership_check import LeadershipCheck
from postpass.replication.owner import PartitionOwner
from postpass.replication.partition_table import PartitionTable
from postpass.rpc.peer_links import Body, PeerResponse
from postpass.runtime.environment import now
from postpass.runtime.errors import BAD, CLASH, SLOW, Fault, Stop


@dataclass(eq=False)
class Lease:
    scheduler: str
    until: float


@dataclass(eq=False)
class Desk:
    """What an owner keeps in memory to hand out items. Invariant: an item is leased to one scheduler at a
    time; losing all of this costs repeated work, never a promise."""

    leases: dict[tuple[str, int], Lease] = field(default_factory=dict)
    tries: Counter[tuple[str, int]] = field(default_factory=Counter)
    term: int = 0
    scheduler: str = ""
    done_at: dict[str, float] = field(default_factory=dict)


@dataclass(eq=False)
class Leases:
    """Hands out items of owned partitions. Owns a `Desk` for each; it is dropped when an ownership begins."""

    table: PartitionTable
    owner: PartitionOwner
    leadership: LeadershipCheck
    desks: defaultdict[int, Desk] = field(default_factory=lambda: defaultdict(Desk))

    async def take(self, body: Body) -> PeerResponse:
        """Hands out items of covered, open lots, nearest due time first, to the one scheduler of the
        highest term; a lower one is refused."""
        got = self.leadership.lead_of(body["part"], "take")
        if isinstance(got, Err):
            return got
        part = got.unwrap()
        desk, t = self.desks[part.id], now()
        if (body["term"], body["sched"]) < (desk.term, desk.scheduler):
            return Err(
                Fault(
                    "take",
                    self.table.settings.name,
                    f"scheduler {desk.scheduler} has term {desk.term}",
                    CLASH,
                    str(desk.term),
                )
            )
        if (body["term"], body["sched"]) != (desk.term, desk.scheduler):
            desk.term, desk.scheduler = body["term"], body["sched"]
        # Before anything is waited for: an item whose end is told right after this question is held no longer.
        held = {(lot, item) for lot, item in body["held"]}
        until = t + self.table.settings.bounds.lease * 2
        for key in held:
            desk.leases[key] = Lease(body["sched"], until)
        # The answer starts a lease at the scheduler: only an owner that is one now may give it.
        if not await self.leadership.confirm(part):
            return Err(Fault("take", self.table.settings.name, "could not be confirmed", SLOW))
        for key in [
            k
            for k, lease in desk.leases.items()
            if k[0] not in part.view.lots or (k not in held and (lease.until < t or lease.scheduler != body["sched"]))
        ]:
            del desk.leases[key]
        stop = [
            lot
            for lot in sorted({lot for lot, _ in held})
            if lot not in part.view.lots or part.view.lots[lot].state != "open" or part.view.lots[lot].whole
        ]
        lots = sorted(
            (x for x in part.view.lots.values() if x.state == "open" and not x.whole and x.seq <= part.covered),
            key=lambda x: (x.body["due"], x.seq),
        )
        need = dict(body["room"])
        out_of = Counter(lot for lot, item in desk.leases if item not in part.view.lots[lot].results)
        out, ahead = [], dict.fromkeys(need, 0)
        for lot in lots:
            kind = kind_of(lot.body)
            # Counted, not listed: what a poll costs must not grow with all items that wait.
            ahead[kind] = ahead.get(kind, 0) + lot.size - len(lot.results) - out_of[lot.id]
            free = (i for i in range(lot.size) if i not in lot.results and (lot.id, i) not in desk.leases)
            for i in list(islice(free, max(need.get(kind, 0), 0))):
                desk.leases[(lot.id, i)] = Lease(body["sched"], until)
                row = {
                    "lot": lot.id,
                    "item": i,
                    "class": kind,
                    "due": lot.body["due"],
                    "caller": lot.body.get("caller", ""),
                }
                if "route" in lot.body:
                    made = base64.b64encode(lot.item_body(i) or b"").decode()
                    row |= {"call": lot.body["items"][i] | {"body": made}, "tries": lot.body["tries"]}
                    row["since"] = lot.body.get("since", 0)
                else:
                    row |= {"text": lot.body["items"][i], "shared": lot.body.get("shared", [])}
                out.append(row)
                need[kind] -= 1
        return Ok({"items": out, "stop": stop, "ahead": ahead})

    async def done(self, body: Body) -> PeerResponse:
        """Records an item's result; only a whole output comes here as done. The first one wins."""
        got = self.leadership.lead_of(body["part"], "done")
        if isinstance(got, Err):
            return got
        part, key = got.unwrap(), (body["id"], body["item"])
        desk = self.desks[part.id]
        lot = part.view.lots.get(body["id"])
        desk.leases.pop(key, None)
        if lot is None or lot.state != "open" or body["item"] in lot.results:
            return Ok({"taken": False})
        status, output = body["status"], body["output"]
        if status == "done" and hashlib.sha256(output.encode()).hexdigest()[:16] != body["sum"]:
            return Err(Fault("done", self.table.settings.name, "the output doesn't match its sum", BAD))
        if status == "abandoned" and "route" in lot.body:
            pass  # a worker said that it can never be done
        elif status != "done":
            desk.tries[key] += 1
            if desk.tries[key] < int(body.get("tries", 5)):
                return Ok({"taken": False})
            status = "abandoned" if "route" in lot.body else "failed"
            output = "" if "route" in lot.body else output
        try:
            self.owner.add(part, "result", {"id": body["id"], "item": body["item"], "status": status, "output": output})
        except Stop as bad:
            return Err(bad.fault)
        desk.tries.pop(key, None)
        return Ok({"taken": True})
