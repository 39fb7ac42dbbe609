"""One partition on one store: its tape, what was promised, and, while it is the owner, its counting."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

from postpass.lots import LotView, Raw, joined
from postpass.predicate import DEFAULT, Count, Scene, build, confirm_suffice, covers, promises_suffice
from postpass.recorder import Recorder
from postpass.tape import Record, Tape
from postpass.wire import PACKET

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


def fresh_tape() -> Tape:
    return Tape(base=LotView())


def head(tape: Tape) -> LotView:
    """The view at the tape's end."""
    view = tape.base.copy()
    assert isinstance(view, LotView)
    for rec in tape.recs:
        view.fold(rec)
    return view


@dataclass(eq=False)
class Part:
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
    tape: Tape = field(default_factory=fresh_tape)
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
    view: LotView = field(default_factory=LotView)
    recorder: Recorder = field(default_factory=Recorder)
    follows: dict[str, Follow] = field(default_factory=dict)
    waits: list[tuple[int, str, asyncio.Future[bool]]] = field(default_factory=list)
    stuck: float = 0.0  # since when no covering set is left, though all have answered; 0 if one is
    areas: dict[str, str] = field(default_factory=dict)

    # as mirror: packets of a record that is not yet whole
    gather: list[bytes] = field(default_factory=list)
    filling: int = 0  # the epoch whose stream has been greeted and has not begun yet: no gap, but nothing held
    dumped: tuple[int, bytes] = (-1, b"")  # the base as bytes, while a candidate fetches it piece by piece

    def base_dump(self) -> bytes:
        if self.dumped[0] != self.tape.base_seq:
            self.dumped = (self.tape.base_seq, self.tape.base.dump())
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
        return Scene(names, tuple((n, self.areas.get(n, "")) for n in names), self.me)

    def pred(self, text: str, crew: Crew) -> Callable[[Count], int]:
        """A predicate over a crew; one that doesn't fit the crew falls back to the default."""
        return build(text or DEFAULT, self.scene(crew)).unwrap_or_else(
            lambda _: build(DEFAULT, self.scene(crew)).unwrap()
        )

    def rules(self, view: LotView, text: str = "") -> list[tuple[Crew, str]]:
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
        seq = min(self.reach(), self.tape.last)
        moved = False
        # A crew change that is covered lifts the old rule, which may let the frontier go on at once.
        while seq >= self.mark and seq > self.covered:
            self.covered, moved = seq, True
            self.recorder.advance(seq)
            seq = min(self.reach(), self.tape.last)
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

    def enough(self, view: LotView, voters: Crew, test: Callable[..., bool]) -> bool:
        """Do these voters (name -> disk) satisfy `test` under every rule that may count?"""
        return bool(view.crew) and all(
            test(self.pred(t, c), tuple(c), [n for n, d in voters.items() if c.get(n) == d])
            for c, t in self.rules(view)
        )

    def may_lead(self, view: LotView, voters: Crew) -> bool:
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
        self.view = head(self.tape)
        self.recorder = Recorder()
        self.recorder.put(self.me, self.disk, "received", self.tape.last)
        self.recorder.put(self.me, self.disk, "persisted", self.persisted)
        self.follows, self.gather, self.waits = {}, [], []

    def step_down(self) -> None:
        self.epoch, self.aligned, self.mark, self.stuck = 0, 0, 0, 0.0
        self.view, self.recorder, self.follows = LotView(), Recorder(), {}
        for _, _, future in self.waits:
            if not future.done():
                future.set_result(False)
        self.waits = []

    def make(self, kind: str, body: dict[str, Any], raw: Raw = b"") -> Record:
        """The next record of the one order of this partition."""
        assert self.owning
        rec = Record(self.tape.last + 1, self.epoch, kind, joined(body, raw))
        self.tape.append(rec)
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
        seq = min(seq, self.tape.last)
        if seq <= self.persisted:
            return False
        self.persisted = seq
        if self.owning:
            self.recorder.put(self.me, self.disk, "persisted", seq)
        return True

    def cut(self, seq: int) -> None:
        self.tape.cut(seq)
        self.places = deque((p, min(s, seq)) for p, s in self.places)
        self.persisted = min(self.persisted, seq)

    def trim(self, budget: int) -> bool:
        """Frees what was delivered everywhere; past the budget, whatever is covered."""
        behind = [f.next - 1 for f in self.follows.values() if not f.silent]
        goal = min([self.covered, *behind]) if self.tape.size <= budget else self.covered
        goal = min(goal, self.persisted)
        if goal - self.tape.base_seq < 64 and self.tape.size <= budget:
            return False
        if goal <= self.tape.base_seq:
            return False
        self.tape.rebase(goal)
        return True


def _owner(persisted: bool = True) -> Part:
    part = Part(0, "s1", "d1")
    part.areas = {f"s{i}": c for i, c in zip(range(1, 5), "abcd", strict=True)}
    part.lead(1)
    part.make("crew", {"crew": {f"s{i}": f"d{i}" for i in range(1, 5)}})
    part.mark = part.make("mark", {}).seq
    part.recorder.put("s1", "d1", "persisted", 2 if persisted else 0)
    return part


def test_trap_two_the_owners_own_sync_counts_only_once_done() -> None:
    part = _owner(persisted=False)
    for name in ("s2", "s3"):
        part.recorder.put(name, name.replace("s", "d"), "persisted", 2)
    assert not part.advance() and part.covered == 0
    part.places.append((10, 2))
    assert not part.sync_to(9) and part.sync_to(10) and part.advance() and part.covered == 2


def test_four_stores_cover_with_three_synced_copies_never_two() -> None:
    part = _owner()
    part.recorder.put("s2", "d2", "persisted", 2)
    part.recorder.put("s3", "d3", "received", 2)
    part.recorder.put("s4", "other", "persisted", 2)  # a wiped disk has no voice
    assert not part.advance()
    part.recorder.put("s3", "d3", "persisted", 2)
    assert part.advance() and part.covered == 2


def test_nothing_counts_until_the_epoch_mark_does() -> None:
    part = _owner()
    for name in ("s2", "s3"):
        part.recorder.put(name, name.replace("s", "d"), "persisted", 1)
    assert not part.advance() and not part.ready
    part.recorder.put("s2", "d2", "persisted", 2)
    part.recorder.put("s3", "d3", "persisted", 2)
    assert part.advance() and part.ready


def test_while_a_change_is_not_covered_the_frontier_is_the_lower_of_old_and_new() -> None:
    part = _owner()
    for name in ("s2", "s3"):
        part.recorder.put(name, name.replace("s", "d"), "persisted", 2)
    part.advance()
    part.make("predicate", {"text": "MIN($ALLWNODES)"})
    part.recorder.put("s1", "d1", "persisted", 3)
    for name in ("s2", "s3"):
        part.recorder.put(name, name.replace("s", "d"), "persisted", 3)
    assert not part.advance() and part.covered == 2  # the old rule holds, the new one doesn't
    part.recorder.put("s4", "d4", "persisted", 3)
    assert part.advance() and part.covered == 3
    part.make("predicate", {"text": ""})
    part.recorder.put("s1", "d1", "persisted", 4)
    for name in ("s2", "s3"):
        part.recorder.put(name, name.replace("s", "d"), "persisted", 4)
    assert not part.advance()  # the new rule holds, the old one doesn't
    part.recorder.put("s4", "d4", "persisted", 4)
    assert part.advance() and part.covered == 4
    part.make("mark", {})
    part.recorder.put("s1", "d1", "persisted", 5)
    for name in ("s2", "s3"):
        part.recorder.put(name, name.replace("s", "d"), "persisted", 5)
    assert part.advance() and part.covered == 5  # from here on three are enough again


def test_a_changed_crew_needs_promises_under_both() -> None:
    part = _owner()
    part.covered = 2
    part.make("crew", {"crew": {"s1": "d1", "s2": "new", "s3": "d3", "s4": "d4"}})
    view = part.view
    assert not part.may_lead(view, {"s1": "d1", "s2": "new", "s3": "d3"})
    assert part.may_lead(view, {"s1": "d1", "s3": "d3", "s4": "d4"})
    part.covered = 3
    assert part.may_lead(view, {"s1": "d1", "s2": "new", "s3": "d3"})
    assert not part.may_lead(view, {"s1": "d1", "s2": "d2", "s3": "d3"})


def test_a_store_that_leaves_is_told_of_as_a_member_until_that_is_covered() -> None:
    part = _owner()
    part.covered = 2
    part.make("crew", {"crew": {"s1": "d1", "s2": "d2", "s3": "d3"}})
    assert set(part.crew) == {"s1", "s2", "s3", "s4"}
    part.covered = 3
    assert set(part.crew) == {"s1", "s2", "s3"}


def _restarted(part: Part) -> tuple[Part, LotView]:
    """The same log after a loss of power: what was heard of `covered` is forgotten."""
    fresh = Part(0, "s1", "d1", Tape(base=LotView(), recs=list(part.tape.recs)), areas=part.areas)
    return fresh, head(fresh.tape)


def test_a_log_that_settles_a_change_needs_no_word_of_who_was_there_before() -> None:
    part = _owner()
    part.covered = 2
    part.make("crew", {"crew": {"s1": "d1", "s2": "new", "s3": "d3", "s4": "d4"}})
    assert not part.provable()  # nothing proves what isn't covered
    part.covered = 3
    now = {"s1": "d1", "s2": "new", "s3": "d3"}  # of the four before the change only two are left
    fresh, view = _restarted(part)
    assert not fresh.may_lead(view, now)
    assert part.provable() == 3
    part.make("mark", {"settled": 3})
    assert not part.provable()
    fresh, view = _restarted(part)
    assert fresh.may_lead(view, now) and not fresh.may_lead(view, {"s1": "d1", "s2": "d2", "s3": "d3"})
    fresh.lead(2)
    assert not fresh.hopeless(now)
    fresh.mark = fresh.make("mark", {}).seq
    for name, disk in now.items():
        fresh.recorder.put(name, disk, "persisted", fresh.mark)
    assert fresh.advance() and fresh.covered == fresh.mark


def test_a_change_is_proven_once_the_mark_that_settles_it_is_covered() -> None:
    part = _owner()
    members = {"s1": "d1", "s2": "d2", "s3": "d3"}
    for name, disk in members.items():
        part.recorder.put(name, disk, "persisted", 2)
    assert not part.proven() and part.advance() and part.proven()  # founded: there is nothing to settle
    change = part.make("crew", {"crew": members | {"s4": "new"}}).seq
    assert not part.proven()
    for name, disk in members.items():
        part.recorder.put(name, disk, "persisted", change)
    assert part.advance() and not part.proven()
    mark = part.make("mark", {"settled": change}).seq
    assert not part.proven()
    for name, disk in members.items():
        part.recorder.put(name, disk, "persisted", mark)
    assert part.advance() and part.proven()
    part.make("mark", {})
    assert part.proven()  # what comes after is nothing to wait for
    part.tape.rebase(mark)
    part.tape.base = LotView.load(part.base_dump())
    part.view = head(part.tape)
    assert part.proven()  # a base holds only what is covered


def test_a_mark_settles_only_changes_up_to_what_was_covered_when_it_was_written() -> None:
    part = _owner()
    part.covered = 2
    part.make("predicate", {"text": "MIN($ALLWNODES)"})
    part.make("mark", {"settled": 2})
    part.make("crew", {"crew": {"s1": "d1", "s2": "new", "s3": "d3", "s4": "d4"}})
    fresh, view = _restarted(part)
    assert len(fresh.rules(view)) == 4 and view.unsettled() == 5
    part.make("mark", {"settled": 3})
    fresh, view = _restarted(part)
    assert [c["s2"] for c, _ in fresh.rules(view)] == ["new", "d2"] and {t for _, t in fresh.rules(view)} == {
        "MIN($ALLWNODES)"
    }
    assert LotView.load(view.dump()).unsettled() == 5
    part.make("mark", {"settled": 5})
    fresh, view = _restarted(part)
    assert fresh.rules(view) == [(view.crew, "MIN($ALLWNODES)")] and LotView.load(view.dump()).unsettled() == 0


def test_buffers_are_freed_once_delivered_everywhere_and_past_the_budget_for_all() -> None:
    part = _owner()
    for _ in range(100):
        part.make("mark", {})
    part.persisted = part.covered = 102
    part.follows = {"s2": Follow(next=103), "s3": Follow(next=70)}
    assert part.trim(1 << 20) and part.tape.base_seq == 69
    part.follows["s3"].silent = True
    assert not part.trim(1 << 20)  # too little to be worth it
    assert part.trim(10) and part.tape.base_seq == 102 and not part.tape.recs
