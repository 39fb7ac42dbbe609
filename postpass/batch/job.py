"""Lots as they stand: a view folded from a partition's records."""

from __future__ import annotations

import base64
import hashlib
import json
from dataclasses import dataclass, field, replace
from typing import Any

from postpass.replication.record_log import Base, Record

Body = dict[str, Any]
Raw = bytes | memoryview
END = b"\0"  # between a record's JSON, which never holds it, and the opaque bytes after it


def joined(body: Body, raw: Raw = b"") -> bytes:
    head = json.dumps(body, separators=(",", ":")).encode()
    return b"".join((head, END, raw)) if raw else head


def parted(data: bytes) -> tuple[Body, Raw]:
    """What `joined` joined; the opaque bytes are a view of `data`, not a copy."""
    at = data.find(END)
    if at < 0:
        return (json.loads(data) if data else {}), b""
    return json.loads(data[:at]), memoryview(data)[at + 1 :]


def packed(lot: Body) -> tuple[Body, bytes]:
    """A lot of opaque items as it is kept: the items tell the sizes of their bodies, which stand in a row behind."""
    bodies = [base64.b64decode(item["body"]) for item in lot["items"]]
    raw = b"".join(bodies)
    items = [
        {k: v for k, v in item.items() if k != "body"} | {"size": len(body)}
        for item, body in zip(lot["items"], bodies, strict=True)
    ]
    made = lot | {"items": items}
    return made | {"sum": hashlib.sha256(digest(made).encode() + raw).hexdigest()[:32]}, raw


def digest(body: Body) -> str:
    """What makes a lot the same lot: its content, and its due time as the caller said it."""
    if "sum" in body:
        return str(body["sum"])
    core = {k: body.get(k) for k in ("items", "shared", "class", "said", "caller")}
    if "route" in body:
        core["route"] = body["route"]
    return hashlib.sha256(json.dumps(core, sort_keys=True).encode()).hexdigest()[:32]


def kind_of(body: Body) -> str:
    """What a lot's items run as: a class, or a route."""
    return f"route:{body['route']}" if "route" in body else str(body["class"])


@dataclass(eq=False)
class Job:
    """Invariants: `state` moves from open to ended, never back; an item's first result stays; `results`
    holds item numbers in the order of their records, which is the order callers page through. `raw` holds the bodies
    of opaque items, shared with the record they came in, until the lot is whole or ended: from then on no one may ask."""

    id: str
    seq: int
    body: Body
    digest: str
    state: str = "open"
    state_seq: int = 0
    results: dict[int, tuple[int, str, str]] = field(default_factory=dict)  # item -> (seq, status, output)
    order: list[int] = field(default_factory=list)
    raw: Raw = b""

    def copy(self) -> Job:
        return replace(self, results=dict(self.results), order=list(self.order))

    def item_body(self, spot: int) -> bytes | None:
        """None once the bodies are gone."""
        if self.whole or self.state == "ended":
            return None
        start = sum(item["size"] for item in self.body["items"][:spot])
        return bytes(self.raw[start : start + self.body["items"][spot]["size"]])

    @property
    def size(self) -> int:
        return len(self.body["items"])

    @property
    def whole(self) -> bool:
        return len(self.order) == self.size


# Lots are dumped by themselves. Where a base holds the mark that settled a change does not matter, since a base holds only
# what is covered; releases before this field could not load it.
NOT_DUMPED = frozenset({"lots", "settled_seq"})


@dataclass(eq=False)
class JobView(Base):
    """Folded record by record. Invariant: the same records give the same view, on every store."""

    lots: dict[str, Job] = field(default_factory=dict)
    shed: dict[str, int] = field(default_factory=dict)  # refused for good: id -> seq
    claims: dict[str, Body] = field(default_factory=dict)  # calls that may not be repeated
    crew: dict[str, str] = field(default_factory=dict)  # members that count: name -> disk
    crew_seq: int = 0
    old_crew: dict[str, str] = field(default_factory=dict)  # before the last change; `crew` once that is settled
    predicate: str = ""
    old_predicate: str = ""
    predicate_seq: int = 0
    settled_seq: int = (
        0  # the mark that settled the last change; 0 if there is none, or it is in a base that was loaded
    )
    losses: int = 0  # the partition's edition: how often more was lost than is tolerated
    lost: dict[str, int] = field(default_factory=dict)  # lots known to be lost

    def unsettled(self) -> int:
        """The last change of members or predicate that this log does not prove to be covered; 0 if it proves all."""
        crew = self.crew_seq if self.old_crew not in ({}, self.crew) else 0
        return max(crew, self.predicate_seq if self.old_predicate != self.predicate else 0)

    def fold(self, rec: Record) -> None:
        body, raw = parted(rec.body)
        getattr(self, f"_{rec.kind}")(rec.seq, body)
        if raw and rec.kind == "lot" and body["id"] in self.lots and self.lots[body["id"]].seq == rec.seq:
            self.lots[body["id"]].raw = raw

    def _mark(self, seq: int, body: Body) -> None:
        # A mark may prove that everything up to `settled` was covered: then what held before a change holds no more.
        upto = body.get("settled", 0)
        if 0 < self.unsettled() <= upto:
            self.settled_seq = seq
        if self.crew_seq <= upto:
            self.old_crew = self.crew
        if self.predicate_seq <= upto:
            self.old_predicate = self.predicate

    def _lot(self, seq: int, body: Body) -> None:
        lot = body["id"]
        if lot not in self.lots and lot not in self.shed:
            self.lots[lot] = Job(lot, seq, body, digest(body))
            self.lost.pop(lot, None)  # handed in anew

    def _shed(self, seq: int, body: Body) -> None:
        if body["id"] not in self.lots:
            self.shed[body["id"]] = seq

    def _result(self, seq: int, body: Body) -> None:
        lot, item = self.lots.get(body["id"]), body["item"]
        if lot is not None and lot.state == "open" and item not in lot.results:
            lot.results[item] = (seq, body["status"], body["output"])
            lot.order.append(item)
            if lot.whole:
                lot.raw = b""

    def _end(self, seq: int, body: Body) -> None:
        lot = self.lots.get(body["id"])
        if lot is not None and lot.state == "open":
            lot.state, lot.state_seq, lot.raw = "ended", seq, b""

    def _drop(self, seq: int, body: Body) -> None:
        for lot in body["lots"]:
            self.lots.pop(lot, None)
            self.shed.pop(lot, None)
            self.lost.pop(lot, None)
        for key in body.get("claims", []):
            self.claims.pop(key, None)

    def _claim(self, seq: int, body: Body) -> None:
        self.claims.setdefault(body["key"], body | {"seq": seq})

    def _crew(self, seq: int, body: Body) -> None:
        self.old_crew, self.crew, self.crew_seq = self.crew or body["crew"], body["crew"], seq

    def _predicate(self, seq: int, body: Body) -> None:
        self.old_predicate, self.predicate, self.predicate_seq = self.predicate, body["text"], seq

    def _loss(self, seq: int, body: Body) -> None:
        self.losses = max(self.losses + 1, body["edition"])
        self.crew = self.old_crew = body["crew"]
        self.crew_seq = seq
        self.lost |= {n: seq for n in body["lots"] if n not in self.lots}

    def copy(self) -> JobView:
        """Another view that can be folded on; what never changes is shared."""
        out = JobView()
        for key, value in vars(self).items():
            setattr(out, key, dict(value) if isinstance(value, dict) else value)
        out.lots = {n: lot.copy() for n, lot in self.lots.items()}
        return out

    def dump(self) -> bytes:
        flat = {k: v for k, v in vars(self).items() if k not in NOT_DUMPED}
        lots = [vars(lot) | {"results": list(lot.results.items()), "raw": len(lot.raw)} for lot in self.lots.values()]
        return joined(flat | {"lots": lots}, b"".join(lot.raw for lot in self.lots.values()))

    @classmethod
    def load(cls, data: bytes) -> JobView:
        if not data:
            return cls()
        body, raw = parted(data)
        lots = body.pop("lots")
        view, at = cls(**body), 0
        for lot in lots:
            results = {int(i): (int(r[0]), str(r[1]), str(r[2])) for i, r in lot.pop("results")}
            size = lot.pop("raw", 0)
            # Bytes of its own: a lot that goes frees them, though others of this dump stay.
            view.lots[lot["id"]] = Job(**lot, results=results, raw=bytes(raw[at : at + size]))
            at += size
        return view


def page(lot: Job, covered: int, start: int, most: int) -> tuple[list[Body], int, bool]:
    """Covered results from place `start` on, in record order; the next place; and whether that was all.

    Records are covered in order, so the covered results are a prefix of `order`, and a page once read
    reads the same for ever.
    """
    seen = [i for i in lot.order[start : start + most] if lot.results[i][0] <= covered]
    rows = [{"item": i, "status": lot.results[i][1], "output": lot.results[i][2]} for i in seen]
    spot = start + len(seen)
    done = spot == len(lot.order) and (lot.whole or (lot.state == "ended" and lot.state_seq <= covered))
    return rows, spot, done
