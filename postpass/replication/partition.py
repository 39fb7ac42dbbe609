"""One partition on one store: its record log, its promises, and, while the store is owner, its acknowledgements."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

from postpass.batch.job import JobView, Payload, encode_record
from postpass.replication.acknowledgements import Acknowledgements
from postpass.replication.record_log import Record, RecordLog
from postpass.replication.stability import (
    DEFAULT,
    Count,
    PredicateScope,
    build,
    confirm_suffice,
    covers,
    promises_suffice,
)
from postpass.rpc.codec import PACKET

Members = dict[str, str]


@dataclass(eq=False)
class OutgoingMessage:
    """A message of which some packets have been sent.

    Attributes:
        kind: beat, start, snap or rec.
        seq: Sequence number of the record, or of the base.
        born: Epoch under which the record was made.
        prior: Epoch of the record before it.
        body: The bytes, cut into packets of `PACKET` bytes.
        index: Number of the next packet.
    """

    kind: str
    seq: int
    born: int
    prior: int
    body: bytes
    index: int = 0

    @property
    def total(self) -> int:
        """How many packets the message takes."""
        return max(1, -(-len(self.body) // PACKET))


@dataclass(eq=False)
class MirrorProgress:
    """How far the owner's stream to one mirror has come.

    Invariant: records below `next` were sent on the link that `link` names, in order, once each, but for the rest of
    `outgoing`. Owned by the mirror's send loop; `on_ack` sets `heard`, `silent` and `full`, and clears `link` at a gap.

    Attributes:
        link: The link whose handshake is done; None if one is needed.
        epoch: Epoch of that handshake.
        next: Sequence number of the next record to send.
        disk: Identity of the mirror's disk.
        heard: When it acknowledged last, in monotonic seconds.
        silent: Whether that is longer ago than `bounds.silent`; nothing is counted on it then.
        full: Whether its disk is full.
        since: When the owner began to follow it, in monotonic seconds.
        outgoing: A message of which some packets have been sent.
    """

    link: object = None
    epoch: int = 0
    next: int = 0
    disk: str = ""
    heard: float = 0.0
    silent: bool = False
    full: bool = False
    since: float = 0.0
    outgoing: OutgoingMessage | None = None


def empty_log() -> RecordLog:
    """A log without records, over an empty view."""
    return RecordLog(base=JobView())


def latest_view(record_log: RecordLog) -> JobView:
    """The jobs and members after the last record of a log."""
    view = record_log.base.copy()
    assert isinstance(view, JobView)
    for record in record_log.recs:
        view.fold(record)
    return view


@dataclass(eq=False)
class Partition:
    """The state of one partition on one store. `Partition` owns all its fields; the parts of the store change them between
    two awaits, on the one event loop.

    States: follower (`epoch` 0), aligned follower (`aligned` is the epoch of the owner's stream), owner (`epoch` > 0), and
    ready owner (`covered` has reached `epoch_mark`). Times are monotonic, in seconds.

    Invariants:
    - `promised` is synced before it is told, never falls, and nothing below it is accepted.
    - records are appended by a stream only while `aligned` is the epoch that the stream runs under.
    - `persisted` <= record_log.last, and what it counts was synced after it was aligned.
    - `covered` never falls, and a covered record is never cut.
    - as owner: nothing counts as covered until the first mark record of the own epoch (`epoch_mark`) is.
    """

    id: int
    me: str
    disk: str
    record_log: RecordLog = field(default_factory=empty_log)
    promised: int = 0
    owner: str = ""
    heard: float = 0.0
    # An owner whose machine has refused a connection since it was heard: its process is no more.
    refused_owner: str = ""
    # Has an owner or a candidate been heard since the process started, or has this store's turn to run come?
    contacted: bool = False
    aligned: int = 0
    covered: int = 0
    persisted: int = 0
    unsynced: deque[tuple[int, int]] = field(default_factory=deque)  # (log place, seq) not yet synced
    in_election: bool = False

    # as owner
    epoch: int = 0
    epoch_mark: int = 0
    view: JobView = field(default_factory=JobView)
    acknowledgements: Acknowledgements = field(default_factory=Acknowledgements)
    mirrors: dict[str, MirrorProgress] = field(default_factory=dict)
    waiters: list[tuple[int, str, asyncio.Future[bool]]] = field(default_factory=list)
    uncoverable_since: float = 0.0  # since when no covering set is left, though all have answered; 0 if one is
    zones: dict[str, str] = field(default_factory=dict)

    # as mirror: packets of a message that is not yet complete
    packets: list[bytes] = field(default_factory=list)
    handshake_epoch: int = (
        0  # epoch whose handshake was answered and whose stream has not begun: neither a gap nor aligned
    )
    base_bytes: tuple[int, bytes] = (-1, b"")  # the base as bytes, while a candidate fetches it piece by piece

    def base_dump(self) -> bytes:
        """The base as bytes; kept until the base moves."""
        if self.base_bytes[0] != self.record_log.base_seq:
            self.base_bytes = (self.record_log.base_seq, self.record_log.base.dump())
        return self.base_bytes[1]

    @property
    def owning(self) -> bool:
        """Is this store the owner, ready or not?"""
        return self.epoch > 0

    @property
    def ready(self) -> bool:
        """Is the first record of this ownership covered, so that all before it is known to be?"""
        return self.owning and self.covered >= self.epoch_mark

    @property
    def members(self) -> Members:
        """Everyone whose copy counts under a rule that holds: while a change is not covered, also who was there before."""
        old = self.view.old_members if self.view.members_seq > self.covered else {}
        return old | self.view.members

    def scope(self, members: Iterable[str]) -> PredicateScope:
        """What a predicate over these members may name."""
        names = tuple(members)
        return PredicateScope(names, tuple((n, self.zones.get(n, "")) for n in names), self.me)

    def predicate_over(self, text: str, members: Members) -> Callable[[Count], int]:
        """A predicate over these members; one that doesn't fit them falls back to the default."""
        return build(text or DEFAULT, self.scope(members)).unwrap_or_else(
            lambda _: build(DEFAULT, self.scope(members)).unwrap()
        )

    def rules(self, view: JobView, text: str = "") -> list[tuple[Members, str]]:
        """Members and predicate that count; while a change is not known to be covered, the old ones as well. It is known from
        what an owner said of `covered` in this life, or from the log itself, by a mark that settles it."""
        now = [(view.members, text or view.predicate)]
        if view.members_seq > self.covered and view.old_members not in ({}, view.members):
            now.append((view.old_members, text or view.predicate))
        if view.predicate_seq > self.covered and view.old_predicate != view.predicate and not text:
            now += [(c, view.old_predicate) for c, _ in list(now)]
        return now

    def reach(self, text: str = "") -> int:
        """The stability frontier under the rules that count: the MIN of old and new where they changed."""
        return min(self.acknowledgements.reach(c, self.predicate_over(t, c)) for c, t in self.rules(self.view, text))

    def advance(self) -> bool:
        """Recomputes the frontier; run on every acknowledgement."""
        if not self.view.members:
            return False
        seq = min(self.reach(), self.record_log.last)
        moved = False
        # A change of members that is covered lifts the old rule, which may let the frontier go on at once.
        while seq >= self.epoch_mark and seq > self.covered:
            self.covered, moved = seq, True
            self.acknowledgements.advance(seq)
            seq = min(self.reach(), self.record_log.last)
        if moved or self.waiters:
            self._wake()
        return moved

    def _wake(self) -> None:
        """Resolves the waiters whose record is covered."""
        far = {t: self.reach(t) for t in dict.fromkeys([t for _, t, _ in self.waiters if t])}
        left = []
        for seq, text, future in self.waiters:
            if future.done():
                continue
            if seq <= self.covered and (not text or seq <= far[text]):
                future.set_result(True)
            else:
                left.append((seq, text, future))
        self.waiters = left

    async def wait(self, seq: int, text: str, limit: float) -> bool:
        """True once `seq` is covered (and under `text`, if a class asks for more); False if time or the
        ownership ran out, which proves nothing."""
        future: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self.waiters.append((seq, text, future))
        self._wake()
        try:
            return await asyncio.wait_for(future, limit)
        except TimeoutError:
            return False

    def enough(self, view: JobView, voters: Members, test: Callable[..., bool]) -> bool:
        """Do these voters (name -> disk) satisfy `test` under every rule that may count?"""
        return bool(view.members) and all(
            test(self.predicate_over(t, c), tuple(c), [n for n, d in voters.items() if c.get(n) == d])
            for c, t in self.rules(view)
        )

    def may_lead(self, view: JobView, voters: Members) -> bool:
        """Do these promises suffice to lead?"""
        return self.enough(view, voters, promises_suffice)

    def confirmed(self, voters: Members) -> bool:
        """Do these answers prove that there is no later owner?"""
        return self.enough(self.view, voters, confirm_suffice)

    def can_cover(self, names: set[str]) -> bool:
        """Could records be covered by these members alone?"""
        return all(covers(self.predicate_over(t, c), names & set(c)) for c, t in self.rules(self.view))

    def hopeless(self, disks: Members) -> bool:
        """With these disks for good, can some rule that counts never be met again?"""
        return any(
            not covers(self.predicate_over(t, c), {n for n, d in c.items() if disks.get(n) == d})
            for c, t in self.rules(self.view)
        )

    def lead(self, epoch: int) -> None:
        """Becomes owner under an epoch, with what the log holds."""
        self.epoch, self.owner, self.aligned = epoch, self.me, epoch
        self.view = latest_view(self.record_log)
        self.acknowledgements = Acknowledgements()
        self.acknowledgements.put(self.me, self.disk, "received", self.record_log.last)
        self.acknowledgements.put(self.me, self.disk, "persisted", self.persisted)
        self.mirrors, self.packets, self.waiters = {}, [], []

    def step_down(self) -> None:
        """Is owner no more: whoever waits for a record learns that nothing is proved."""
        self.epoch, self.aligned, self.epoch_mark, self.uncoverable_since = 0, 0, 0, 0.0
        self.view, self.acknowledgements, self.mirrors = JobView(), Acknowledgements(), {}
        for _, _, future in self.waiters:
            if not future.done():
                future.set_result(False)
        self.waiters = []

    def make(self, kind: str, body: dict[str, Any], raw: Payload = b"") -> Record:
        """The next record of the one order of this partition."""
        assert self.owning
        record = Record(self.record_log.last + 1, self.epoch, kind, encode_record(body, raw))
        self.record_log.append(record)
        self.view.fold(record)
        self.acknowledgements.put(self.me, self.disk, "received", record.seq)
        return record

    def provable(self) -> int:
        """As owner: up to where a mark may settle changes, since they are covered and the log doesn't prove it; else 0."""
        return self.covered if self.ready and 0 < self.view.unsettled() <= self.covered else 0

    def proven(self) -> bool:
        """As owner: does the log prove who the members are, and is that proof covered itself?

        After a loss of power there is nothing but logs: one that holds a change of members and not the mark that settles
        it also asks for the members before the change, of whom too few may be left.
        """
        proof = max(self.view.members_seq, self.view.settled_seq)
        return self.ready and self.view.unsettled() == 0 and proof <= self.covered

    def sync_to(self, place: int) -> bool:
        """The log on disk is synced up to `place`: what does that make persisted here?"""
        seq = -1
        while self.unsynced and self.unsynced[0][0] <= place:
            seq = self.unsynced.popleft()[1]
        seq = min(seq, self.record_log.last)
        if seq <= self.persisted:
            return False
        self.persisted = seq
        if self.owning:
            self.acknowledgements.put(self.me, self.disk, "persisted", seq)
        return True

    def cut(self, seq: int) -> None:
        """Drops what follows a sequence number, here and among what is to be synced."""
        self.record_log.cut(seq)
        self.unsynced = deque((p, min(s, seq)) for p, s in self.unsynced)
        self.persisted = min(self.persisted, seq)

    def trim(self, budget: int) -> bool:
        """Frees what was delivered everywhere; past the budget, whatever is covered."""
        behind = [f.next - 1 for f in self.mirrors.values() if not f.silent]
        goal = min([self.covered, *behind]) if self.record_log.size <= budget else self.covered
        goal = min(goal, self.persisted)
        if goal - self.record_log.base_seq < 64 and self.record_log.size <= budget:
            return False
        if goal <= self.record_log.base_seq:
            return False
        self.record_log.rebase(goal)
        return True
