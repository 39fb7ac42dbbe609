"""Jobs as they stand: a view folded from a partition's records.

The fields of `Job` and `JobView` are dumped by their names into snapshots, with the keys of release 0.2.0 where these
differ (`VIEW_KEYS`, and the codec of `Job`). Checksums are over the bytes, so keys and their order stay as they are.
"""

from __future__ import annotations

import base64
import hashlib
import json
from dataclasses import dataclass, field, replace
from enum import StrEnum
from functools import cached_property
from typing import Any, NamedTuple

from postpass.batch.messages import BudgetKey
from postpass.replication.record_log import Base, Record

Body = dict[str, Any]
Payload = bytes | memoryview
PAYLOAD_MARK = b"\0"  # between a record's JSON, which never holds it, and the opaque bytes after it
DIGEST_DIGITS = 32  # hexadecimal digits of the SHA-256 that tells jobs apart


def encode_record(body: Body, payload: Payload = b"") -> bytes:
    """A record as it is kept: its JSON, and the opaque bytes after it if there are any."""
    head = json.dumps(body, separators=(",", ":")).encode()
    return b"".join((head, PAYLOAD_MARK, payload)) if payload else head


def decode_record(data: bytes) -> tuple[Body, Payload]:
    """What `encode_record` encoded; the opaque bytes are a view of `data`, not a copy."""
    mark = data.find(PAYLOAD_MARK)
    if mark < 0:
        return (json.loads(data) if data else {}), b""
    return json.loads(data[:mark]), memoryview(data)[mark + 1 :]


def pack_items(job: Body) -> tuple[Body, bytes]:
    """A job of opaque items as it is kept: the items tell the sizes of their bodies, which stand in a row behind."""
    bodies = [base64.b64decode(item["body"]) for item in job["items"]]
    payload = b"".join(bodies)
    items = [
        {key: value for key, value in item.items() if key != "body"} | {"size": len(body)}
        for item, body in zip(job["items"], bodies, strict=True)
    ]
    kept = job | {"items": items}
    return kept | {"sum": hashlib.sha256(job_digest(kept).encode() + payload).hexdigest()[:DIGEST_DIGITS]}, payload


def job_digest(body: Body) -> str:
    """What makes a job the same job: its content, and its due time as the client said it."""
    if "sum" in body:
        return str(body["sum"])
    core = {key: body.get(key) for key in ("items", "shared", "class", "said", "caller")}
    if "route" in body:
        core["route"] = body["route"]
    return hashlib.sha256(json.dumps(core, sort_keys=True).encode()).hexdigest()[:DIGEST_DIGITS]


def item_class_of(body: Body) -> str:
    """What a job's items run as: a class, or a route."""
    return f"route:{body['route']}" if "route" in body else str(body["class"])


def budget_key_of(body: Body) -> BudgetKey:
    """Where the tokens of a job that came by a route count while they wait."""
    return BudgetKey(body["route"], body.get("caller", ""))


def item_tokens(item: Body) -> int:
    """The tokens of an item of a route."""
    return int(item.get("tokens", 0))


class JobState(StrEnum):
    """Open, then ended; never back. A job with all its results stays open, since nothing of it is left to end."""

    OPEN = "open"
    ENDED = "ended"


class JobResult(NamedTuple):
    """The first result of an item. `seq` is that of its record; `status` is done, failed or abandoned."""

    seq: int
    status: str
    output: str


@dataclass(eq=False)
class Job:
    """A job of a partition. Owned by the view, which folds records into it.

    Invariants: `state` moves from open to ended, never back; an item's first result stays; `results` holds item numbers
    in the order of their records, which is the order clients page through. `payload` holds the bodies of opaque items,
    shared with the record they came in, until the job is complete or ended: from then on no one may ask.
    """

    id: str
    seq: int
    body: Body
    digest: str
    state: JobState = JobState.OPEN
    state_seq: int = 0
    results: dict[int, JobResult] = field(default_factory=dict)  # by position of the item
    order: list[int] = field(default_factory=list)
    payload: Payload = b""

    def copy(self) -> Job:
        """Another job that can be folded on; what never changes is shared."""
        return replace(self, results=dict(self.results), order=list(self.order))

    def item_body(self, position: int) -> bytes | None:
        """The body of an opaque item; None once the bodies are gone."""
        if self.complete or self.state == JobState.ENDED:
            return None
        start = sum(item["size"] for item in self.body["items"][:position])
        return bytes(self.payload[start : start + self.body["items"][position]["size"]])

    def failures(self, position: int) -> int:
        """How often an item has failed, under all owners."""
        return int(self.body.get("failed", {}).get(str(position), 0))

    def count_failure(self, position: int) -> None:
        """An item failed once more. Counted in a body of its own: the one before may be shared with other views."""
        counts = {**self.body.get("failed", {}), str(position): self.failures(position) + 1}
        self.body = self.body | {"failed": counts}

    @property
    def size(self) -> int:
        """The number of its items."""
        return len(self.body["items"])

    @property
    def complete(self) -> bool:
        """Has each item a result?"""
        return len(self.order) == self.size

    @property
    def waiting_tokens(self) -> int:
        """The tokens of its items that wait for a result; none if it did not come by a route."""
        if "route" not in self.body or self.state != JobState.OPEN or self.complete:
            return 0
        items = enumerate(self.body["items"])
        return sum(item_tokens(item) for position, item in items if position not in self.results)

    @cached_property
    def mean_tokens(self) -> float:
        """The tokens of an item of a route on average; 0 if there are none."""
        return (
            sum(item_tokens(item) for item in self.body["items"]) / max(1, self.size) if "route" in self.body else 0.0
        )

    def end(self, seq: int) -> None:
        """The record of that number ended it."""
        self.state, self.state_seq, self.payload = JobState.ENDED, seq, b""

    def dumped(self) -> Body:
        """The job by its keys on disk, without its payload; shares its parts."""
        return {
            "id": self.id,
            "seq": self.seq,
            "body": self.body,
            "digest": self.digest,
            "state": self.state,
            "state_seq": self.state_seq,
            "results": list(self.results.items()),
            "order": self.order,
            "raw": len(self.payload),
        }

    @classmethod
    def loaded(cls, dumped: Body, payload: bytes) -> Job:
        """A job by its keys on disk; `dumped` and `payload` are its own from now on."""
        dumped.pop("raw", None)
        results = {int(item): JobResult(int(r[0]), str(r[1]), str(r[2])) for item, r in dumped.pop("results")}
        state = JobState(dumped.pop("state", JobState.OPEN))
        return cls(**dumped, state=state, results=results, payload=payload)


# Jobs are dumped by themselves, and their waiting tokens are counted from them. Where a base holds the mark that settled a
# change does not matter, since a base holds only what is covered; releases before this field could not load it.
NOT_DUMPED = frozenset({"jobs", "waiting_tokens", "settled_seq"})
# Keys on disk that differ from the field's name: they are those of release 0.2.0.
VIEW_KEYS = {
    "rejected": "shed", "members": "crew", "members_seq": "crew_seq", "old_members": "old_crew",
}  # fmt: skip
VIEW_FIELDS = {key: name for name, key in VIEW_KEYS.items()}
# The method of the view that folds a record, by the kind of the record on disk.
FOLDS = {
    "mark": "fold_mark", "lot": "fold_job", "shed": "fold_rejection", "result": "fold_result", "end": "fold_end",
    "drop": "fold_drop", "claim": "fold_claim", "crew": "fold_members", "predicate": "fold_predicate",
    "loss": "fold_loss",
}  # fmt: skip


@dataclass(eq=False)
class JobView(Base):
    """The jobs of a partition with the terms under which they are kept, folded record by record.

    Invariants: the same records give the same view, on every store. `waiting_tokens` is the sum of what waits in all jobs,
    without those budgets for which nothing waits. Numbers that end in `_seq` are those of records.
    """

    jobs: dict[str, Job] = field(default_factory=dict)
    waiting_tokens: dict[BudgetKey, int] = field(default_factory=dict)
    rejected: dict[str, int] = field(default_factory=dict)  # refused for good: id -> seq
    claims: dict[str, Body] = field(default_factory=dict)  # requests that may not be repeated
    members: dict[str, str] = field(default_factory=dict)  # that count: name -> disk
    members_seq: int = 0
    old_members: dict[str, str] = field(default_factory=dict)  # before the last change; `members` once that is settled
    predicate: str = ""
    old_predicate: str = ""
    predicate_seq: int = 0
    # The mark that settled the last change; 0 if there is none, or it is in a base that was loaded.
    settled_seq: int = 0
    losses: int = 0  # the partition's revision: how often more was lost than is tolerated
    lost: dict[str, int] = field(default_factory=dict)  # jobs known to be lost

    def __post_init__(self) -> None:
        for job in self.jobs.values():
            self._count_waiting(job, job.waiting_tokens)

    def _count_waiting(self, job: Job, tokens: int) -> None:
        """So many more tokens of a job wait; less if negative."""
        if not tokens:
            return
        key = budget_key_of(job.body)
        waiting = self.waiting_tokens.pop(key, 0) + tokens
        if waiting:
            self.waiting_tokens[key] = waiting

    def unsettled(self) -> int:
        """The last change of members or predicate that this log does not prove to be covered; 0 if it proves all."""
        members = self.members_seq if self.old_members not in ({}, self.members) else 0
        return max(members, self.predicate_seq if self.old_predicate != self.predicate else 0)

    def fold(self, record: Record) -> None:
        """Takes the next record; its kind is one of `FOLDS`."""
        body, payload = decode_record(record.body)
        getattr(self, FOLDS[record.kind])(record.seq, body)
        if payload and record.kind == "lot" and body["id"] in self.jobs and self.jobs[body["id"]].seq == record.seq:
            self.jobs[body["id"]].payload = payload

    def fold_mark(self, seq: int, body: Body) -> None:
        """A mark may prove that everything up to `settled` was covered: what held before a change holds no more. One may
        also count a failure of an item: releases that don't know of that pass over it."""
        if "failed" in body:
            self._count_failure(*body["failed"])
        upto = body.get("settled", 0)
        if 0 < self.unsettled() <= upto:
            self.settled_seq = seq
        if self.members_seq <= upto:
            self.old_members = self.members
        if self.predicate_seq <= upto:
            self.old_predicate = self.predicate

    def _count_failure(self, job_id: str, position: int) -> None:
        job = self.jobs.get(job_id)
        if job is not None and job.state == JobState.OPEN and position not in job.results:
            job.count_failure(position)

    def fold_job(self, seq: int, body: Body) -> None:
        """A job was taken; the first of an id stays, and a rejection before it wins."""
        job_id = body["id"]
        if job_id not in self.jobs and job_id not in self.rejected:
            job = self.jobs[job_id] = Job(job_id, seq, body, job_digest(body))
            self._count_waiting(job, job.waiting_tokens)
            self.lost.pop(job_id, None)  # handed in anew

    def fold_rejection(self, seq: int, body: Body) -> None:
        """A job was refused for good, unless it is here."""
        if body["id"] not in self.jobs:
            self.rejected[body["id"]] = seq

    def fold_result(self, seq: int, body: Body) -> None:
        """An item has a result; the first one stays."""
        job, item = self.jobs.get(body["id"]), body["item"]
        if job is not None and job.state == JobState.OPEN and item not in job.results:
            if "route" in job.body:
                self._count_waiting(job, -item_tokens(job.body["items"][item]))
            job.results[item] = JobResult(seq, body["status"], body["output"])
            job.order.append(item)
            if job.complete:
                job.payload = b""

    def fold_end(self, seq: int, body: Body) -> None:
        """The client ended a job, or it was long overdue."""
        job = self.jobs.get(body["id"])
        if job is not None and job.state == JobState.OPEN:
            self._count_waiting(job, -job.waiting_tokens)
            job.end(seq)

    def fold_drop(self, seq: int, body: Body) -> None:
        """The retention of some jobs, rejections and claims has passed."""
        for job_id in body["lots"]:
            job = self.jobs.pop(job_id, None)
            if job is not None:
                self._count_waiting(job, -job.waiting_tokens)
            self.rejected.pop(job_id, None)
            self.lost.pop(job_id, None)
        for key in body.get("claims", []):
            self.claims.pop(key, None)

    def fold_claim(self, seq: int, body: Body) -> None:
        """An edge claims to run a request; the first one wins."""
        self.claims.setdefault(body["key"], body | {"seq": seq})

    def fold_members(self, seq: int, body: Body) -> None:
        """Other members count from here on."""
        self.old_members, self.members, self.members_seq = self.members or body["crew"], body["crew"], seq

    def fold_predicate(self, seq: int, body: Body) -> None:
        """Another predicate tells from here on what is covered."""
        self.old_predicate, self.predicate, self.predicate_seq = self.predicate, body["text"], seq

    def fold_loss(self, seq: int, body: Body) -> None:
        """More was lost than is tolerated: goes on with the members that are left."""
        self.losses = max(self.losses + 1, body["edition"])
        self.members = self.old_members = body["crew"]
        self.members_seq = seq
        self.lost |= {name: seq for name in body["lots"] if name not in self.jobs}

    def copy(self) -> JobView:
        """Another view that can be folded on; what never changes is shared."""
        out = JobView()
        for key, value in vars(self).items():
            setattr(out, key, dict(value) if isinstance(value, dict) else value)
        out.jobs = {job_id: job.copy() for job_id, job in self.jobs.items()}
        return out

    def dump(self) -> bytes:
        """The view as it is kept in snapshots: JSON, and behind it the payloads of all jobs."""
        flat = {VIEW_KEYS.get(name, name): value for name, value in vars(self).items() if name not in NOT_DUMPED}
        jobs = [job.dumped() for job in self.jobs.values()]
        return encode_record(flat | {"lots": jobs}, b"".join(job.payload for job in self.jobs.values()))

    @classmethod
    def load(cls, data: bytes) -> JobView:
        """The view that `dump` gave; an empty one for no bytes."""
        if not data:
            return cls()
        body, payloads = decode_record(data)
        jobs = body.pop("lots")
        loaded: dict[str, Job] = {}
        start = 0
        for dumped in jobs:
            end = start + dumped.get("raw", 0)
            # Bytes of its own: a job that goes frees them, though others of this dump stay.
            loaded[dumped["id"]] = Job.loaded(dumped, bytes(payloads[start:end]))
            start = end
        return cls(jobs=loaded, **{VIEW_FIELDS.get(key, key): value for key, value in body.items()})


class ResultsPage(NamedTuple):
    """A page of results by their JSON keys, the next place to read from, and whether that was all."""

    rows: list[Body]
    next_start: int
    done: bool


def results_page(job: Job, covered: int, start: int, most: int) -> ResultsPage:
    """Covered results from place `start` on, in record order, `most` of them at the most.

    Records are covered in order, so the covered results are a prefix of `order`, and a page once read
    reads the same for ever.
    """
    shown = [item for item in job.order[start : start + most] if job.results[item].seq <= covered]
    rows = [{"item": item, "status": job.results[item].status, "output": job.results[item].output} for item in shown]
    next_start = start + len(shown)
    ended = job.state == JobState.ENDED and job.state_seq <= covered
    return ResultsPage(rows, next_start, next_start == len(job.order) and (job.complete or ended))
