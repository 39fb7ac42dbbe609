"""The product's decisions on a partition, as the model calls them: `Part`, `LotView` and `next_change` themselves."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from functools import lru_cache
from typing import Any

from model.partition.state import LOT, MEMBERS, NO_MEMBER, Ack, Log
from postpass.batch.job import JobView, encode_record
from postpass.membership.safe_change import Change, Situation, Tolerance, Topology, next_change
from postpass.replication.partition import Partition, latest_view
from postpass.replication.record_log import Record, RecordLog

Disks = dict[str, str]


def name(member: int) -> str:
    """The product's name of a store."""
    return f"s{member + 1}"


def _disk(member: int, disk: int) -> str:
    return f"d{member + 1}.{disk}"


def _crew(disks: tuple[int, ...]) -> Disks:
    return {name(m): _disk(m, d) for m, d in enumerate(disks) if d != NO_MEMBER}


def records_of(log: Log) -> list[Record]:
    """The log as the product's records."""
    out = []
    for seq, entry in enumerate(log, 1):
        body: dict[str, Any]
        if entry.kind == LOT:
            kind, body = "lot", {"id": f"lot{seq}"}
        elif entry.kind == MEMBERS:
            kind, body = "crew", {"crew": _crew(entry.members)}
        else:
            kind, body = "mark", {"settled": entry.settled} if entry.settled else {}
        out.append(Record(seq, entry.epoch, kind, encode_record(body, b"")))
    return out


def _part(me: int, disk: int, log: Log) -> Partition:
    return Partition(0, name(me), _disk(me, disk), RecordLog(base=JobView(), records=records_of(log)))


def may_lead(part: Partition, view: JobView, voters: Disks) -> bool:
    """The product's rule of election."""
    return part.may_lead(view, voters)


def advance(part: Partition) -> bool:
    """The product's rule of what is covered."""
    return part.advance()


def promises(promised: int, epoch: int) -> bool:
    """Does a store promise this epoch (`Election.on_promise`)? Transcribed: the product decides it inside a coroutine."""
    return epoch > promised


def takes_stream(promised: int, epoch: int) -> bool:
    """Does a store follow an owner of this epoch (`Mirror.on_hello`)? Transcribed as well."""
    return epoch >= promised


def settles(part: Partition) -> int:
    """Up to where a mark may settle changes."""
    return part.settleable_seq()


def complete(part: Partition, situation: Situation) -> bool:
    """Do all members answer, with logs that prove who the members are? Both parts are the product's, joined as in
    `Reconfiguration.complete`."""
    return part.is_membership_proven() and situation.live == set(situation.current)


@dataclass(frozen=True)
class Rules:
    """Each decision; tests put a faulty one in place of a product's function."""

    may_lead: Callable[[Partition, JobView, Disks], bool] = may_lead
    advance: Callable[[Partition], bool] = advance
    settles: Callable[[Partition], int] = settles
    next_change: Callable[[Situation, str], Change | None] = next_change
    promises: Callable[[int, int], bool] = promises
    takes_stream: Callable[[int, int], bool] = takes_stream
    complete: Callable[[Partition, Situation], bool] = complete
    votes_by_disk: bool = True


@dataclass(frozen=True)
class Coverage:
    """What an owner concludes from its acknowledgements."""

    covered: int
    settles: int
    change: tuple[int, ...]  # the members wanted next; empty: no change now
    complete: bool


class Decisions:
    """The rules over the model's numbers, each answer computed once."""

    def __init__(self, rules: Rules, members: int, tolerate: int) -> None:
        self.rules = rules
        self.members = members
        self.topology = Topology({name(m): f"area{m}" for m in range(members)}, Tolerance(tolerate, 0))
        self.elects = lru_cache(maxsize=1 << 17)(self._elects)
        self.coverage = lru_cache(maxsize=1 << 17)(self._coverage)

    def _elects(self, me: int, disk: int, log: Log, voters: tuple[tuple[int, int], ...]) -> bool:
        part = _part(me, disk, log)
        view = latest_view(part.record_log)
        named = {name(m): _disk(m, d) for m, d in voters}
        if not self.rules.votes_by_disk:
            named = {n: view.members.get(n, d) for n, d in named.items()}
        return self.rules.may_lead(part, view, named)

    def _coverage(
        self, me: int, disk: int, log: Log, epoch: int, mark: int, covered: int, acks: tuple[Ack, ...]
    ) -> Coverage:
        part = _part(me, disk, log)
        part.persisted = part.record_log.last
        part.lead(epoch)
        part.epoch_mark, part.covered = mark, covered
        for ack in acks:
            part.acknowledgements.update(name(ack.member), _disk(ack.member, ack.disk), "persisted", ack.last)
        self.rules.advance(part)
        change = None
        situation = self._situation(part, acks)
        if part.ready and part.view.members_seq <= part.covered:
            change = self.rules.next_change(situation, name(me))
        return Coverage(
            part.covered,
            self.rules.settles(part),
            self._numbers(change) if change else (),
            self.rules.complete(part, situation),
        )

    def _situation(self, part: Partition, acks: tuple[Ack, ...]) -> Situation:
        ready = {name(a.member): _disk(a.member, a.disk) for a in acks if a.last >= part.covered}
        ready[part.store_name] = part.disk
        wanted = [name(m) for m in range(self.members)]
        return Situation(part.view.members, wanted, ready, list(ready), self.topology)

    def _numbers(self, change: Change) -> tuple[int, ...]:
        return tuple([
            int(change.members[name(m)].rpartition(".")[2]) if name(m) in change.members else NO_MEMBER
            for m in range(self.members)
        ])  # fmt: skip
