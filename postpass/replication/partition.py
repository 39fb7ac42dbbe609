"""One partition on one store: its tape, what was promised, and, while it is the owner, its counting."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

from postpass.batch.job import JobView, Raw, joined
from postpass.replication.acknowledgements import Acknowledgements
from postpass.replication.record_log import Record, RecordLog
from postpass.replication.stability import DEFAULT, Count, Scene, build, confirm_suffice, covers, promises_suffice
from postpass.rpc.codec import PACKET

Crew = dict[str, str]


@dataclass(eq=False)
class Sending:
    """A message of which some packets have been sent."""

    kind: str
    seq: int
    born: int
    prior: int
    body: bytes
    index: int = 0

    @property
    def total(self) -> int:
        return max(1, -(-len(self.body) // PACKET))


@dataclass(eq=False)
class Follow:
    """How far the owner's stream to one mirror has come. Invariant: records below `next` were sent on
    the link that `link` names, in order, once each, but for the rest of `sending`."""

    link: object = None
    epoch: int = 0
    next: int = 0
    disk: str = ""
    heard: float = 0.0
    silent: bool = False
    full: bool = False
    since: float = 0.0
    sending: Sending | None = None


def fresh_tape() -> RecordLog:
    return RecordLog(base=JobView())


def head(record_log: RecordLog) -> JobView:
    """The view at the tape's end."""
    view = record_log.base.copy()
    assert isinstance(view, JobView)
    for rec in record_log.recs:
        view.fold(rec)
    return view


@dataclass(eq=False)
class Partition:
    """Invariants:
    - `promised` is synced before it is told, never falls, and nothing below it is accepted.
    - records are appended by a stream only while `aligned` is the epoch that the stream runs under.
    - `persisted` <= tape.last, and what it counts was synced after it was aligned.
    - `covered` never falls, and a covered record is never cut.
    - as owner: nothing counts as covered until the mark of the own epoch (`mark`) is.
    """

    id: int
    me: str
    disk: str
    record_log: RecordLog = field(default_factory=fresh_tape)
    promised: int = 0
    owner: str = ""
    heard: float = 0.0
    down: str = ""  # an owner whose machine has refused a connection since it was heard: its process is no more
    met: bool = False  # has an owner, or a candidate, been heard in this life, or has its turn to stand come
    aligned: int = 0
    covered: int = 0
    persisted: int = 0
    places: deque[tuple[int, int]] = field(default_factory=deque)  # (log place, seq) not yet synced
    trial: bool = False

    # as owner
    epoch: int = 0
    mark: int = 0
    view: JobView = field(default_factory=JobView)
    recorder: Acknowledgements = field(default_factory=Acknowledgements)
    follows: dict[str, Follow] = field(default_factory=dict)
    waits: list[tuple[int, str, asyncio.Future[bool]]] = field(default_factory=list)
    stuck: float = 0.0  # since when no covering set is left, though all have answered; 0 if one is
    zones: dict[str, str] = field(default_factory=dict)

    # as mirror: packets of a record that is not yet whole
    gather: list[bytes] = field(default_factory=list)
    filling: int = 0  # the epoch whose stream has been greeted and has not begun yet: no gap, but nothing held
    dumped: tuple[int, bytes] = (-1, b"")  # the base as bytes, while a candidate fetches it piece by piece

    def base_dump(self) -> bytes:
        if self.dumped[0] != self.record_log.base_seq:
            self.dumped = (self.record_log.base_seq, self.record_log.base.dump())
        return self.dumped[1]

    @property
    def owning(self) -> bool:
        return self.epoch > 0

    @property
    def ready(self) -> bool:
        return self.owning and self.covered >= self.mark

    @property
    def crew(self) -> Crew:
        """Everyone whose copy counts under a rule that holds: while a change is not covered, also who was there before."""
        old = self.view.old_crew if self.view.crew_seq > self.covered else {}
        return old | self.view.crew

    def scene(self, crew: Iterable[str]) -> Scene:
        names = tuple(crew)
        return Scene(names, tuple((n, self.zones.get(n, "")) for n in names), self.me)

    def pred(self, text: str, crew: Crew) -> Callable[[Count], int]:
        """A predicate over a crew; one that doesn't fit the crew falls back to the default."""
        return build(text or DEFAULT, self.scene(crew)).unwrap_or_else(
            lambda _: build(DEFAULT, self.scene(crew)).unwrap()
        )

    def rules(self, view: JobView, text: str = "") -> list[tuple[Crew, str]]:
        """Crew and predicate that count; while a change is not known to be covered, the old ones as well. It is known from
        what an owner said of `covered` in this life, or from the log itself, by a mark that settles it."""
        now = [(view.crew, text or view.predicate)]
        if view.crew_seq > self.covered and view.old_crew not in ({}, view.crew):
            now.append((view.old_crew, text or view.predicate))
        if view.predicate_seq > self.covered and view.old_predicate != view.predicate and not text:
            now += [(c, view.old_predicate) for c, _ in list(now)]
        return now

    def reach(self, text: str = "") -> int:
        """The stability frontier under the rules that count: the MIN of old and new where they changed."""
        return min(self.recorder.reach(c, self.pred(t, c)) for c, t in self.rules(self.view, text))

    def advance(self) -> bool:
        """Recomputes the frontier; run on every acknowledgement."""
        if not self.view.crew:
            return False
        seq = min(self.reach(), self.record_log.last)
        moved = False
        # A crew change that is covered lifts the old rule, which may let the frontier go on at once.
        while seq >= self.mark and seq > self.covered:
            self.covered, moved = seq, True
            self.recorder.advance(seq)
            seq = min(self.reach(), self.record_log.last)
        if moved or self.waits:
            self._wake()
        return moved

    def _wake(self) -> None:
        far = {t: self.reach(t) for t in {t for _, t, _ in self.waits if t}}
        left = []
        for seq, text, future in self.waits:
            if future.done():
                continue
            if seq <= self.covered and (not text or seq <= far[text]):
                future.set_result(True)
            else:
                left.append((seq, text, future))
        self.waits = left

    async def wait(self, seq: int, text: str, limit: float) -> bool:
        """True once `seq` is covered (and under `text`, if a class asks for more); False if time or the
        ownership ran out, which proves nothing."""
        future: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self.waits.append((seq, text, future))
        self._wake()
        try:
            return await asyncio.wait_for(future, limit)
        except TimeoutError:
            return False

    def enough(self, view: JobView, voters: Crew, test: Callable[..., bool]) -> bool:
        """Do these voters (name -> disk) satisfy `test` under every rule that may count?"""
        return bool(view.crew) and all(
            test(self.pred(t, c), tuple(c), [n for n, d in voters.items() if c.get(n) == d])
            for c, t in self.rules(view)
        )

    def may_lead(self, view: JobView, voters: Crew) -> bool:
        return self.enough(view, voters, promises_suffice)

    def confirmed(self, voters: Crew) -> bool:
        return self.enough(self.view, voters, confirm_suffice)

    def can_cover(self, names: set[str]) -> bool:
        return all(covers(self.pred(t, c), names & set(c)) for c, t in self.rules(self.view))

    def hopeless(self, disks: Crew) -> bool:
        """With these disks for good, can some rule that counts never be met again?"""
        return any(
            not covers(self.pred(t, c), {n for n, d in c.items() if disks.get(n) == d})
            for c, t in self.rules(self.view)
        )

    def lead(self, epoch: int) -> None:
        self.epoch, self.owner, self.aligned = epoch, self.me, epoch
        self.view = head(self.record_log)
        self.recorder = Acknowledgements()
        self.recorder.put(self.me, self.disk, "received", self.record_log.last)
        self.recorder.put(self.me, self.disk, "persisted", self.persisted)
        self.follows, self.gather, self.waits = {}, [], []

    def step_down(self) -> None:
        self.epoch, self.aligned, self.mark, self.stuck = 0, 0, 0, 0.0
        self.view, self.recorder, self.follows = JobView(), Acknowledgements(), {}
        for _, _, future in self.waits:
            if not future.done():
                future.set_result(False)
        self.waits = []

    def make(self, kind: str, body: dict[str, Any], raw: Raw = b"") -> Record:
        """The next record of the one order of this partition."""
        assert self.owning
        rec = Record(self.record_log.last + 1, self.epoch, kind, joined(body, raw))
        self.record_log.append(rec)
        self.view.fold(rec)
        self.recorder.put(self.me, self.disk, "received", rec.seq)
        return rec

    def provable(self) -> int:
        """As owner: up to where a mark may settle changes, since they are covered and the log doesn't prove it; else 0."""
        return self.covered if self.ready and 0 < self.view.unsettled() <= self.covered else 0

    def proven(self) -> bool:
        """As owner: does the log prove who the members are, and is that proof covered itself?

        After a loss of power there is nothing but logs: one that holds a change of members and not the mark that settles
        it also asks for the members before the change, of whom too few may be left.
        """
        proof = max(self.view.crew_seq, self.view.settled_seq)
        return self.ready and self.view.unsettled() == 0 and proof <= self.covered

    def sync_to(self, place: int) -> bool:
        """The log on disk is synced up to `place`: what does that make persisted here?"""
        seq = -1
        while self.places and self.places[0][0] <= place:
            seq = self.places.popleft()[1]
        seq = min(seq, self.record_log.last)
        if seq <= self.persisted:
            return False
        self.persisted = seq
        if self.owning:
            self.recorder.put(self.me, self.disk, "persisted", seq)
        return True

    def cut(self, seq: int) -> None:
        self.record_log.cut(seq)
        self.places = deque((p, min(s, seq)) for p, s in self.places)
        self.persisted = min(self.persisted, seq)

    def trim(self, budget: int) -> bool:
        """Frees what was delivered everywhere; past the budget, whatever is covered."""
        behind = [f.next - 1 for f in self.follows.values() if not f.silent]
        goal = min([self.covered, *behind]) if self.record_log.size <= budget else self.covered
        goal = min(goal, self.persisted)
        if goal - self.record_log.base_seq < 64 and self.record_log.size <= budget:
            return False
        if goal <= self.record_log.base_seq:
            return False
        self.record_log.rebase(goal)
        return True
