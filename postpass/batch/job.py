"""The current state of a partition's jobs, built by applying (folding) its log records in order.

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
from postpass.rpc.response_budget import ResponseBudget

Body = dict[str, Any]
Payload = bytes | memoryview
PAYLOAD_MARK = b"\0"  # separates a record's JSON, which never contains it, from the opaque bytes after it
DIGEST_DIGITS = 32  # hexadecimal digits kept of the SHA-256 that identifies a job's content


def encode_record(body: Body, payload: Payload = b"") -> bytes:
    """Returns a record as it is stored: its JSON, followed by the opaque payload if there is one."""
    head = json.dumps(body, separators=(",", ":")).encode()
    return b"".join((head, PAYLOAD_MARK, payload)) if payload else head


def decode_record(data: bytes) -> tuple[Body, Payload]:
    """Returns the body and payload that `encode_record` encoded; the payload is a view of `data`, not a copy."""
    mark = data.find(PAYLOAD_MARK)
    if mark < 0:
        return (json.loads(data) if data else {}), b""
    return json.loads(data[:mark]), memoryview(data)[mark + 1 :]


def pack_items(job: Body) -> tuple[Body, bytes]:
    """Returns a job of opaque items as it is stored: its JSON, and a payload.

    The payload is the concatenation of the items' bodies; in the JSON, each item has the size of its body instead.
    """
    bodies = [base64.b64decode(item["body"]) for item in job["items"]]
    payload = b"".join(bodies)
    items = [
        {key: value for key, value in item.items() if key != "body"} | {"size": len(body)}
        for item, body in zip(job["items"], bodies, strict=True)
    ]
    packed = job | {"items": items}
    return packed | {"sum": hashlib.sha256(job_digest(packed).encode() + payload).hexdigest()[:DIGEST_DIGITS]}, payload


def job_digest(body: Body) -> str:
    """Returns the digest that identifies a job: of its content, and its due time as the client gave it."""
    if "sum" in body:
        return str(body["sum"])
    content = {key: body.get(key) for key in ("items", "shared", "class", "said", "caller")}
    if "route" in body:
        content["route"] = body["route"]
    return hashlib.sha256(json.dumps(content, sort_keys=True).encode()).hexdigest()[:DIGEST_DIGITS]


def item_class_of(body: Body) -> str:
    """Returns what a job's items run as: the name of a class, or a route."""
    return f"route:{body['route']}" if "route" in body else str(body["class"])


def budget_key_of(body: Body) -> BudgetKey:
    """Returns the budget in which the tokens of a job count while they wait; the job came by a route."""
    return BudgetKey(body["route"], body.get("caller", ""))


def item_tokens(item: Body) -> int:
    """Returns the number of tokens of an item of a route."""
    return int(item.get("tokens", 0))


class JobState(StrEnum):
    """A job is open, then ended, and never opens again.

    A job that has all its results stays open, since nothing of it is left to end.
    """

    OPEN = "open"
    ENDED = "ended"


class JobResult(NamedTuple):
    """The first result of an item. `seq` is its record's sequence number; `status` is done, failed or abandoned."""

    seq: int
    status: str
    output: str


@dataclass(eq=False)
class Job:
    """A job of a partition. Owned by the view, which applies records to it.

    Invariants: `state` moves from open to ended, never back; an item's first result is final; `order` holds the items'
    positions in the order of their result records, which is the order clients page through. `payload` holds the bodies
    of opaque items, shared with the record they came in, until the job is complete or ended: from then on no one may
    ask for them.
    """

    id: str
    seq: int
    body: Body
    digest: str
    state: JobState = JobState.OPEN
    state_seq: int = 0
    results: dict[int, JobResult] = field(default_factory=dict)  # by the item's position
    order: list[int] = field(default_factory=list)
    payload: Payload = b""

    def copy(self) -> Job:
        """Returns a copy to which further records can be applied; what never changes is shared with it."""
        return replace(self, results=dict(self.results), order=list(self.order))

    def item_body(self, position: int) -> bytes | None:
        """Returns the body of an opaque item; None once the bodies have been released."""
        if self.complete or self.state == JobState.ENDED:
            return None
        start = sum(item["size"] for item in self.body["items"][:position])
        return bytes(self.payload[start : start + self.body["items"][position]["size"]])

    def failures(self, position: int) -> int:
        """Returns how often an item has failed, counted over all owners."""
        return int(self.body.get("failed", {}).get(str(position), 0))

    def failed_runs(self, position: int) -> list[str]:
        """Returns the names of the counted runs in which an item failed, as far as their reports told them."""
        return list(self.body.get("failed_runs", {}).get(str(position), []))

    def count_failure(self, position: int, run: str = "") -> None:
        """Counts one more failure of an item, in a new body, since the old one may be shared with other views.

        A run that was counted before is not counted again.
        """
        runs = self.failed_runs(position)
        if run in runs:
            return
        counts = {**self.body.get("failed", {}), str(position): self.failures(position) + 1}
        self.body = self.body | {"failed": counts}
        if run:
            all_runs = {**self.body.get("failed_runs", {}), str(position): [*runs, run]}
            self.body = self.body | {"failed_runs": all_runs}

    @property
    def size(self) -> int:
        """The number of the job's items."""
        return len(self.body["items"])

    @property
    def complete(self) -> bool:
        """Whether every item has a result."""
        return len(self.order) == self.size

    @property
    def waiting_tokens(self) -> int:
        """The tokens of the items that have no result yet; 0 for a job that did not come by a route."""
        if "route" not in self.body or self.state != JobState.OPEN or self.complete:
            return 0
        items = enumerate(self.body["items"])
        return sum(item_tokens(item) for position, item in items if position not in self.results)

    @cached_property
    def text_bytes(self) -> int:
        """The size of the items of a job that did not come by a route; 0 for others, whose items are in `payload`."""
        return 0 if "route" in self.body else sum(len(item) for item in self.body["items"])

    @cached_property
    def mean_tokens(self) -> float:
        """The average number of tokens of an item; 0 for a job that did not come by a route or has no items."""
        return (
            sum(item_tokens(item) for item in self.body["items"]) / max(1, self.size) if "route" in self.body else 0.0
        )

    def end(self, seq: int) -> None:
        """Marks the job as ended by the record with sequence number `seq`."""
        self.state, self.state_seq, self.payload = JobState.ENDED, seq, b""

    def as_json(self) -> Body:
        """Returns the job under its keys on disk, without its payload; mutable parts are shared, not copied."""
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
    def from_json(cls, dumped: Body, payload: bytes) -> Job:
        """Returns the job that `as_json` described; takes ownership of `dumped` and `payload`."""
        dumped.pop("raw", None)
        results = {int(item): JobResult(int(r[0]), str(r[1]), str(r[2])) for item, r in dumped.pop("results")}
        state = JobState(dumped.pop("state", JobState.OPEN))
        return cls(**dumped, state=state, results=results, payload=payload)


# Jobs are dumped separately, and their waiting tokens are counted again from them. `settled_seq` is left out: in which
# record a change was settled does not matter in a base (the snapshot that a log starts from), since a base holds only
# covered records; and releases from before this field could not load it.
NOT_DUMPED = frozenset({"jobs", "waiting_tokens", "settled_seq"})
# Keys on disk that differ from the field's name, by field. They are those of release 0.2.0.
VIEW_KEYS = {
    "rejected": "shed", "members": "crew", "members_seq": "crew_seq", "old_members": "old_crew",
}  # fmt: skip
VIEW_FIELDS = {key: name for name, key in VIEW_KEYS.items()}
# The method of the view that applies a record, by the record's kind on disk.
FOLDS = {
    "mark": "fold_mark", "lot": "fold_job", "shed": "fold_rejection", "result": "fold_result", "end": "fold_end",
    "drop": "fold_drop", "claim": "fold_claim", "crew": "fold_members", "predicate": "fold_predicate",
    "loss": "fold_loss",
}  # fmt: skip


@dataclass(eq=False)
class JobView(Base):
    """The jobs of a partition, and the members and stability predicate that govern them, built record by record.

    A record is covered once the stability predicate holds for the members that have acknowledged it.

    Invariants: the same records give the same view, on every store. `waiting_tokens` is the sum over all jobs, without
    the budgets for which nothing waits. Names that end in `_seq` are sequence numbers of records.
    """

    jobs: dict[str, Job] = field(default_factory=dict)
    waiting_tokens: dict[BudgetKey, int] = field(default_factory=dict)
    rejected: dict[str, int] = field(default_factory=dict)  # jobs refused for good: id -> seq
    claims: dict[str, Body] = field(default_factory=dict)  # by request that may not be repeated: which edge runs it
    members: dict[str, str] = field(default_factory=dict)  # whose acknowledgements count: name -> id of its disk
    members_seq: int = 0
    old_members: dict[str, str] = field(default_factory=dict)  # before the last change; same as `members` once settled
    predicate: str = ""
    old_predicate: str = ""
    predicate_seq: int = 0
    # The mark record that settled the last change; 0 if there is none, or if it is in a base that was loaded.
    settled_seq: int = 0
    losses: int = 0  # the partition's revision: how often it lost more than the predicate tolerates
    lost: dict[str, int] = field(default_factory=dict)  # jobs known to be lost

    def __post_init__(self) -> None:
        for job in self.jobs.values():
            self._add_waiting_tokens(job, job.waiting_tokens)

    def _add_waiting_tokens(self, job: Job, tokens: int) -> None:
        """Adds to the waiting tokens of a job's budget; subtracts if `tokens` is negative."""
        if not tokens:
            return
        key = budget_key_of(job.body)
        waiting = self.waiting_tokens.pop(key, 0) + tokens
        if waiting:
            self.waiting_tokens[key] = waiting

    def unsettled(self) -> int:
        """Returns the record of the last change of members or predicate not yet proved to be covered; 0 if all are."""
        members = self.members_seq if self.old_members not in ({}, self.members) else 0
        return max(members, self.predicate_seq if self.old_predicate != self.predicate else 0)

    def fold(self, record: Record) -> None:
        """Applies the next record; its kind is one of `FOLDS`."""
        body, payload = decode_record(record.body)
        getattr(self, FOLDS[record.kind])(record.seq, body)
        if payload and record.kind == "lot" and body["id"] in self.jobs and self.jobs[body["id"]].seq == record.seq:
            self.jobs[body["id"]].payload = payload

    def fold_mark(self, seq: int, body: Body) -> None:
        """Applies a mark, which may prove that everything up to `settled` was covered.

        The members and the predicate from before a change that is covered no longer count. A mark may also count a
        failure of an item; releases that don't know of that ignore it.
        """
        if "failed" in body:
            job_id, position = body["failed"]
            self._count_failure(job_id, position, body.get("run", ""))
        settled_up_to = body.get("settled", 0)
        if 0 < self.unsettled() <= settled_up_to:
            self.settled_seq = seq
        if self.members_seq <= settled_up_to:
            self.old_members = self.members
        if self.predicate_seq <= settled_up_to:
            self.old_predicate = self.predicate

    def _count_failure(self, job_id: str, position: int, run: str) -> None:
        job = self.jobs.get(job_id)
        if job is not None and job.state == JobState.OPEN and position not in job.results:
            job.count_failure(position, run)

    def fold_job(self, seq: int, body: Body) -> None:
        """Adds an accepted job, unless its id is already used by a job or was rejected before."""
        job_id = body["id"]
        if job_id not in self.jobs and job_id not in self.rejected:
            job = self.jobs[job_id] = Job(job_id, seq, body, job_digest(body))
            self._add_waiting_tokens(job, job.waiting_tokens)
            self.lost.pop(job_id, None)  # the client submitted it again

    def fold_rejection(self, seq: int, body: Body) -> None:
        """Notes that a job was refused for good, unless it was accepted before."""
        if body["id"] not in self.jobs:
            self.rejected[body["id"]] = seq

    def fold_result(self, seq: int, body: Body) -> None:
        """Notes an item's result, unless it has one already: the first one is final."""
        job, item = self.jobs.get(body["id"]), body["item"]
        if job is not None and job.state == JobState.OPEN and item not in job.results:
            if "route" in job.body:
                self._add_waiting_tokens(job, -item_tokens(job.body["items"][item]))
            job.results[item] = JobResult(seq, body["status"], body["output"])
            job.order.append(item)
            if job.complete:
                job.payload = b""

    def fold_end(self, seq: int, body: Body) -> None:
        """Ends a job: the client asked for it, or the job was long overdue."""
        job = self.jobs.get(body["id"])
        if job is not None and job.state == JobState.OPEN:
            self._add_waiting_tokens(job, -job.waiting_tokens)
            job.end(seq)

    def fold_drop(self, seq: int, body: Body) -> None:
        """Drops the jobs, rejections and claims whose retention has passed."""
        for job_id in body["lots"]:
            job = self.jobs.pop(job_id, None)
            if job is not None:
                self._add_waiting_tokens(job, -job.waiting_tokens)
            self.rejected.pop(job_id, None)
            self.lost.pop(job_id, None)
        for key in body.get("claims", []):
            self.claims.pop(key, None)

    def fold_claim(self, seq: int, body: Body) -> None:
        """Notes an edge's claim to run a request; the first claim wins."""
        self.claims.setdefault(body["key"], body | {"seq": seq})

    def fold_members(self, seq: int, body: Body) -> None:
        """Changes the members whose acknowledgements count from this record on."""
        self.old_members, self.members, self.members_seq = self.members or body["crew"], body["crew"], seq

    def fold_predicate(self, seq: int, body: Body) -> None:
        """Changes the stability predicate, which decides from this record on what is covered."""
        self.old_predicate, self.predicate, self.predicate_seq = self.predicate, body["text"], seq

    def fold_loss(self, seq: int, body: Body) -> None:
        """Notes a loss of more than the predicate tolerates; the partition goes on with the members that are left."""
        self.losses = max(self.losses + 1, body["edition"])
        self.members = self.old_members = body["crew"]
        self.members_seq = seq
        self.lost |= {name: seq for name in body["lots"] if name not in self.jobs}

    def copy(self) -> JobView:
        """Returns a copy to which further records can be applied; what never changes is shared with it."""
        duplicate = JobView()
        for key, value in vars(self).items():
            setattr(duplicate, key, dict(value) if isinstance(value, dict) else value)
        duplicate.jobs = {job_id: job.copy() for job_id, job in self.jobs.items()}
        return duplicate

    def without_jobs(self) -> JobView:
        """Returns a copy that has the members, the predicate and the losses, but no jobs, rejections and claims."""
        return JobView(
            members=self.members, members_seq=self.members_seq, old_members=self.old_members, predicate=self.predicate,
            old_predicate=self.old_predicate, predicate_seq=self.predicate_seq, settled_seq=self.settled_seq,
            losses=self.losses,
        )  # fmt: skip

    def dump(self) -> bytes:
        """Returns the view as it is stored in snapshots: JSON, followed by the payloads of all jobs."""
        fields = {VIEW_KEYS.get(name, name): value for name, value in vars(self).items() if name not in NOT_DUMPED}
        jobs = [job.as_json() for job in self.jobs.values()]
        return encode_record(fields | {"lots": jobs}, b"".join(job.payload for job in self.jobs.values()))

    @classmethod
    def load(cls, data: bytes) -> JobView:
        """Returns the view that `dump` encoded; an empty view for no bytes."""
        if not data:
            return cls()
        body, payloads = decode_record(data)
        jobs = body.pop("lots")
        loaded: dict[str, Job] = {}
        start = 0
        for dumped in jobs:
            end = start + dumped.get("raw", 0)
            # A copy, not a slice: a job that is dropped frees its bytes, while others of this dump stay.
            loaded[dumped["id"]] = Job.from_json(dumped, bytes(payloads[start:end]))
            start = end
        return cls(jobs=loaded, **{VIEW_FIELDS.get(key, key): value for key, value in body.items()})


class ResultsPage(NamedTuple):
    """A page of results by their JSON keys, the index at which the next page starts, and whether this was the last."""

    rows: list[Body]
    next_start: int
    done: bool


def results_page(job: Job, covered: int, start: int, max_rows: int) -> ResultsPage:
    """Returns covered results from index `start` on, in record order: at most `max_rows` of them, and as many as fit.

    Records are covered in order, so the covered results are a prefix of `order`, and a page that was read once reads
    the same for ever.
    """
    rows: list[Body] = []
    budget = ResponseBudget()
    for item in job.order[start : start + max_rows]:
        result = job.results[item]
        row = {"item": item, "status": result.status, "output": result.output}
        if result.seq > covered or not budget.accept(len(json.dumps(row))):
            break
        rows.append(row)
    next_start = start + len(rows)
    ended = job.state == JobState.ENDED and job.state_seq <= covered
    return ResultsPage(rows, next_start, next_start == len(job.order) and (job.complete or ended))
