"""What can happen next in a partition: elections, the owner's stream, changes of members, and faults.

As in the control model there is no time: a request for promises may be late, repeated or lost, an owner goes on until it
hears of a higher epoch, and an answer that is lost leaves what was synced. A mirror's stream is one link in order, so it
takes the owner's log as it is at that moment, cut where the two part.
"""

from __future__ import annotations

from collections.abc import Iterator

from model.partition.rules import Coverage, Decisions, Rules, name
from model.partition.state import (
    EVERY,
    LOT,
    MARK,
    MEMBERS,
    NOBODY,
    Ack,
    Entry,
    Invariant,
    Log,
    Member,
    Request,
    Size,
    State,
    Vote,
    formed,
)
from model.partition.symmetry import canonical
from model.search import Step, System

PartitionStep = Step[State]


class PartitionModel:
    """The transition system of one size under one set of rules."""

    def __init__(self, size: Size, rules: Rules = Rules(), checked: frozenset[Invariant] = EVERY) -> None:
        self.size = size
        self.rules = rules
        self.checked = checked
        self.decide = Decisions(rules, size.members, size.tolerate)

    def system(self) -> System[State]:
        """What `model.search` takes."""
        return System(formed(self.size), self.steps, canonical, self.flaw)

    def steps(self, state: State) -> Iterator[PartitionStep]:
        """All transitions from a state."""
        for index, member in enumerate(state.members):
            if member.owns:
                yield from self._owner(state, index, member)
            else:
                yield from self._candidate(state, index, member)
            yield from self._faults(state, index, member)
        for request in state.requests:
            for to in range(self.size.members):
                if to != request.sender:
                    yield from self._promise(state, request, to)

    # --- elections
    def _candidate(self, state: State, me: int, member: Member) -> Iterator[PartitionStep]:
        epoch = member.promised + 1
        if not member.stands and epoch <= self.size.epochs:
            own = Vote(me, member.disk, member.log)
            new = member._replace(promised=epoch, stands=epoch, votes=(own,))
            requests = tuple(sorted({*state.requests, Request(epoch, me)}))
            yield Step(f"{name(me)} stands for epoch {epoch}", _put(state, me, new)._replace(requests=requests))
        if member.stands and member.promised == member.stands:
            yield from self._lead(state, me, member)

    def _promise(self, state: State, request: Request, to: int) -> Iterator[PartitionStep]:
        member, candidate = state.members[to], state.members[request.sender]
        if not self.rules.promises(member.promised, request.epoch):
            return
        new = Member(disk=member.disk, promised=request.epoch, log=member.log)
        what = f"{name(to)} promises epoch {request.epoch} to {name(request.sender)}"
        reached = _put(state, to, new)
        yield Step(f"{what}; the answer is lost", reached)
        if candidate.stands == request.epoch and all(v.member != to for v in candidate.votes):
            votes = tuple(sorted((*candidate.votes, Vote(to, member.disk, member.log))))
            yield Step(what, _put(reached, request.sender, candidate._replace(votes=votes)))

    def _lead(self, state: State, me: int, member: Member) -> Iterator[PartitionStep]:
        epoch = member.stands
        best = max([v.log for v in member.votes], key=_end)
        if _end(best) <= _end(member.log):
            best = member.log
        voters = tuple([(v.member, v.disk) for v in member.votes])
        if not self.decide.elects(me, member.disk, best, voters):
            if len(voters) == self.size.members and best:
                yield Step(f"{name(me)} declares a loss", state, self._breach({Invariant.NO_FALSE_LOSS: True}))
            return
        log = (*best, Entry(epoch, MARK))
        breach = self._breach({
            Invariant.ONE_OWNER: state.owners[epoch] not in (NOBODY, me),
            Invariant.KEPT: state.covered_in < epoch and log[: len(state.covered)] != state.covered,
        })  # fmt: skip
        owner = Member(member.disk, epoch, log, owns=epoch, mark=len(log))
        owners = (*state.owners[:epoch], me, *state.owners[epoch + 1 :])
        reached = _put(state, me, owner)._replace(owners=owners)
        yield Step(f"{name(me)} owns epoch {epoch} with {len(log)} records", reached, breach)

    # --- the owner
    def _owner(self, state: State, me: int, member: Member) -> Iterator[PartitionStep]:
        for to, mirror in enumerate(state.members):
            if to != me and self.rules.takes_stream(mirror.promised, member.owns):
                yield from self._sync(state, me, to)
        coverage = self._coverage(me, member)
        if not (coverage.covered >= member.mark and not coverage.settles):
            return
        if state.lots_left:
            reached = self._append(state, me, Entry(member.owns, LOT))
            yield Step(f"{name(me)} takes a lot", reached._replace(lots_left=state.lots_left - 1))
        if coverage.change:
            named = ", ".join(name(m) for m, d in enumerate(coverage.change) if d >= 0)
            reached = self._append(state, me, Entry(member.owns, MEMBERS, coverage.change))
            yield Step(f"{name(me)} changes the members to the disks of {named}", reached)
        if state.lost and coverage.complete and self._acked_by_all(state, me, member):
            yield Step(f"{name(me)} hears all members and finds nothing to repair", state._replace(lost=()))

    def _acked_by_all(self, state: State, me: int, member: Member) -> bool:
        disks = {a.member: a.disk for a in member.acks}
        return all(m == me or disks.get(m) == other.disk for m, other in enumerate(state.members))

    def _sync(self, state: State, me: int, to: int) -> Iterator[PartitionStep]:
        owner, mirror = state.members[me], state.members[to]
        synced = Member(disk=mirror.disk, promised=owner.owns, log=owner.log)
        reached = _put(state, to, synced)
        what = f"{name(to)} syncs {len(owner.log)} records of {name(me)}"
        if reached != state:
            yield Step(f"{what}; the answer is lost", reached)
        ack = Ack(to, mirror.disk, len(owner.log))
        if ack not in owner.acks:
            acks = tuple(sorted([*(a for a in owner.acks if a.member != to), ack]))
            yield Step(what, self._covered(_put(reached, me, owner._replace(acks=acks)), me))

    def _append(self, state: State, me: int, entry: Entry) -> State:
        member = state.members[me]
        return self._covered(_put(state, me, member._replace(log=(*member.log, entry))), me)

    def _coverage(self, me: int, member: Member) -> Coverage:
        return self.decide.coverage(me, member.disk, member.log, member.owns, member.mark, member.covered, member.acks)

    def _covered(self, state: State, me: int) -> State:
        """After an acknowledgement: what is covered now, and the mark that settles a covered change."""
        member = state.members[me]
        coverage = self._coverage(me, member)
        log = member.log
        if coverage.settles:
            log = (*log, Entry(member.owns, MARK, settled=coverage.settles))
        state = _put(state, me, member._replace(covered=coverage.covered, log=log))
        if coverage.covered > len(state.covered):
            return state._replace(covered=log[: coverage.covered], covered_in=member.owns)
        return state

    # --- faults
    def _faults(self, state: State, me: int, member: Member) -> Iterator[PartitionStep]:
        if member.owns or member.stands:
            kept = Member(disk=member.disk, promised=member.promised, log=member.log)
            yield Step(f"{name(me)} restarts", _put(state, me, kept))
        if state.wipes_left and me not in state.lost and len(state.lost) < self.size.tolerate:
            reached = _put(state, me, Member(disk=member.disk + 1))
            lost = tuple(sorted((*state.lost, me)))
            what = f"{name(me)} loses its disk and starts empty"
            yield Step(what, reached._replace(lost=lost, wipes_left=state.wipes_left - 1))

    # --- invariants
    def _breach(self, broken: dict[Invariant, bool]) -> str:
        return next((str(which) for which, is_so in broken.items() if is_so and which in self.checked), "")

    def flaw(self, state: State) -> str:
        """After tolerated losses an owner can be elected with all that was covered, once all are in touch."""
        if Invariant.BEARS_LOSS not in self.checked or all(m.disk == 0 for m in state.members):
            return ""
        best = max([m.log for m in state.members], key=_end)
        voters = tuple([(i, m.disk) for i, m in enumerate(state.members)])
        elects = self.decide.elects(0, state.members[0].disk, best, voters)
        return "" if elects and best[: len(state.covered)] == state.covered else str(Invariant.BEARS_LOSS)


def _end(log: Log) -> tuple[int, int]:
    return (log[-1].epoch if log else 0, len(log))


def _put(state: State, index: int, member: Member) -> State:
    if state.members[index] == member:
        return state
    return state._replace(members=(*state.members[:index], member, *state.members[index + 1 :]))
