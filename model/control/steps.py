"""What can happen next: every step of a member, of the network, of an operator, and every fault.

Time does not appear. A timer may go off at any moment, and a message may take as long as it likes, so a member that is
cut off or frozen, and one that acts on what was true long ago, are among the schedules searched. A request stays in the
set of messages once sent: it may be lost, late, repeated and reordered. An answer is recorded by whoever asked, or is
lost; one that comes late is recorded at once and acted on late, which is the same to the asker.
"""

from __future__ import annotations

from collections.abc import Iterator
from itertools import permutations

from model.control.invariants import EVERY, Invariant, agree, is_prefix
from model.control.rules import Decisions, Rules, name
from model.control.state import (
    ACKNOWLEDGED,
    APPEND,
    CONFIRM,
    GRANT,
    INSTALL,
    NOBODY,
    PREPARE,
    READ,
    REFUSED,
    Answer,
    Member,
    Message,
    ModelReplicaSet,
    Round,
    Size,
    State,
    founded,
)
from model.control.symmetry import canonical
from model.search import Step, System

ControlStep = Step[State]


class ControlModel:
    """The transition system of one size under one set of rules."""

    def __init__(self, size: Size, rules: Rules = Rules(), checked: frozenset[Invariant] = EVERY) -> None:
        self.size = size
        self.checked = checked
        self.decide = Decisions(rules, size.members)
        self.rules = rules

    def system(self) -> System[State]:
        """What `model.search` takes."""
        return System(founded(self.size), self.steps, canonical, self.flaw)

    def steps(self, state: State) -> Iterator[ControlStep]:
        """All transitions from a state."""
        for index, member in enumerate(state.members):
            if index in state.gone:
                continue
            yield from self._elections(state, index, member)
            yield from self._writes(state, index, member)
            yield from self._confirmations(state, index, member)
            yield from self._faults(state, index, member)
        for message in state.messages:
            yield from self._deliveries(state, message)

    # --- elections
    def _elections(self, state: State, me: int, member: Member) -> Iterator[ControlStep]:
        current = member.round[0] if member.round else None
        epoch = member.promised + 1
        if current is None and epoch <= self.size.epochs and member.state_epoch:
            promised = self.decide.promised(member.promised, member.promised_to, member.granted, epoch, me)
            if promised is not None:
                own = Answer(me, member.disk, member.granted, member.state_epoch)
                new = member._replace(
                    promised=promised[0], promised_to=promised[1], leads=0, round=(Round(PREPARE, epoch, (own,)),)
                )
                yield Step(
                    f"{name(me)} asks for promises of epoch {epoch}",
                    _send(_put(state, me, new), Message(PREPARE, epoch, me)),
                )
        if current is not None and current.kind == PREPARE and member.promised == current.epoch:
            yield from self._proposals(state, me, member, current)
        if current is not None and current.kind == INSTALL and member.promised == current.epoch:
            if self.decide.elected(current.proposal, current.grants):
                yield self._lead(state, me, member, current)

    def _proposals(self, state: State, me: int, member: Member, current: Round) -> Iterator[ControlStep]:
        present = self.size.members - len(state.gone)
        verdict = self.decide.candidacy(me, member.state_epoch, member.replica_set, current.answers, present)
        if verdict.refusal:
            return
        if verdict.loses_state:
            what = f"{name(me)} gives acknowledged orders up for lost"
            yield Step(what, state, self._breach({Invariant.NO_FALSE_LOSS: True}))
            return
        for wanted in self._wanted(state, me):
            yield from self._proposals_of(state, me, member, current, wanted, verdict.unopposed)

    def _wanted(self, state: State, me: int) -> Iterator[tuple[int, ...]]:
        """The members that a candidate counts on: it may or may not have heard who is to leave."""
        present = tuple(m for m in range(self.size.members) if m not in state.gone)
        yield present
        if state.leaving and me not in state.leaving and set(state.leaving) & set(present):
            yield tuple(m for m in present if m not in state.leaving)

    def _proposals_of(
        self, state: State, me: int, member: Member, current: Round, wanted: tuple[int, ...], unopposed: bool
    ) -> Iterator[ControlStep]:
        after = self.decide.electorate_after(member.replica_set, current.answers, unopposed, wanted)
        others = [a.member for a in current.answers if a.member != me and a.member in wanted]
        for backups in permutations(others, min(len(others), self.size.tolerate)):
            proposal = ModelReplicaSet(current.epoch, me, backups, after.voters, after.unsettled)
            install = Round(INSTALL, current.epoch, proposal=proposal)
            new = member._replace(state_epoch=current.epoch, replica_set=proposal, round=(install,))
            told = ", ".join(name(b) for b in backups)
            reached = _send(_put(state, me, new), Message(APPEND, current.epoch, me, proposal, member.log))
            yield Step(f"{name(me)} proposes epoch {current.epoch} with the backups {told}", reached)

    def _lead(self, state: State, me: int, member: Member, current: Round) -> ControlStep:
        epoch = current.epoch
        owed = sum(1 for acknowledged_in in state.acknowledged_in if acknowledged_in < epoch)
        breach = self._breach({
            Invariant.ONE_PRIMARY: state.primaries[epoch] not in (NOBODY, me),
            Invariant.KEPT: not is_prefix(state.acknowledged[:owed], member.log),
        })  # fmt: skip
        primaries = (*state.primaries[:epoch], me, *state.primaries[epoch + 1 :])
        new = member._replace(leads=epoch, round=())
        reached = _put(state, me, new)._replace(primaries=primaries)
        if member.replica_set.unsettled:
            settled = member.replica_set._replace(unsettled=())
            reached = _put(reached, me, new._replace(replica_set=settled))
            reached = _send(reached, Message(APPEND, epoch, me, settled, member.log))
        return Step(f"{name(me)} leads epoch {epoch} with version {len(member.log)}", reached, breach)

    # --- messages
    def _deliveries(self, state: State, message: Message) -> Iterator[ControlStep]:
        targets = message.proposal.backups if message.kind == APPEND else range(self.size.members)
        for to in targets:
            if to == message.sender or to in state.gone:
                continue
            if message.kind == PREPARE:
                yield from self._prepare(state, message, to)
            elif message.kind == APPEND:
                yield from self._append(state, message, to)
            else:
                yield from self._grant(state, message, to)

    def _prepare(self, state: State, message: Message, to: int) -> Iterator[ControlStep]:
        member, sender = state.members[to], state.members[message.sender]
        promised = self.decide.promised(
            member.promised, member.promised_to, member.granted, message.epoch, message.sender
        )
        if promised is None:
            yield from self._refusal(state, message, to)
            return
        reached = _put(state, to, _raised(member, *promised))
        what = f"{name(to)} promises epoch {message.epoch} to {name(message.sender)}"
        if reached != state:
            yield Step(f"{what}; the answer is lost", reached)
        asked = sender.round[0] if sender.round else None
        if asked and asked.kind == PREPARE and asked.epoch == message.epoch and not _has(asked.answers, to):
            answer = Answer(to, member.disk, member.granted, member.state_epoch)
            yield Step(what, _answered(reached, message.sender, answer))

    def _refusal(self, state: State, message: Message, to: int) -> Iterator[ControlStep]:
        """A candidate that hears of a higher promise gives up, and promises that epoch to nobody."""
        higher, sender = state.members[to].promised, state.members[message.sender]
        asked = sender.round[0] if sender.round else None
        if asked is None or asked.kind != PREPARE or asked.epoch != message.epoch or higher <= message.epoch:
            return
        promised = self.decide.promised(sender.promised, sender.promised_to, sender.granted, higher, NOBODY)
        if promised is not None:
            what = f"{name(message.sender)} hears that {name(to)} promised epoch {higher}"
            yield Step(what, _put(state, message.sender, _raised(sender, *promised)))

    def _append(self, state: State, message: Message, to: int) -> Iterator[ControlStep]:
        member, sender = state.members[to], state.members[message.sender]
        if not self.decide.takes_append(to, member, message.epoch, message.proposal, len(message.log)):
            return
        new = member._replace(state_epoch=message.proposal.epoch, replica_set=message.proposal, log=message.log)
        reached = _put(state, to, new)
        what = f"{name(to)} syncs version {len(message.log)} of epoch {message.epoch} from {name(message.sender)}"
        if reached != state:
            yield Step(f"{what}; the answer is lost", reached)
        asked = sender.round[0] if sender.round else None
        if asked is None or asked.kind not in (INSTALL, APPEND) or _has(asked.answers, to):
            return
        if asked.epoch == message.epoch and sender.log == message.log and sender.replica_set == message.proposal:
            reached = _answered(reached, message.sender, Answer(to, member.disk))
            yield Step(what, self._ask_grants(reached, message.sender) if asked.kind == INSTALL else reached)

    def _ask_grants(self, state: State, me: int) -> State:
        """Once all backups of a proposal have its state, the candidate grants it and asks the others to."""
        member = state.members[me]
        current = member.round[0]
        if not all(_has(current.answers, b) for b in current.proposal.backups):
            return state
        state = _send(state, Message(GRANT, current.epoch, me, current.proposal))
        granted = self.decide.granted(member.promised, member.promised_to, member.granted, current.proposal)
        if granted is None:
            return state
        own = current._replace(grants=(Answer(me, member.disk),))
        return _put(state, me, _raised(member, granted[0], granted[1])._replace(granted=granted[2], round=(own,)))

    def _grant(self, state: State, message: Message, to: int) -> Iterator[ControlStep]:
        member, sender = state.members[to], state.members[message.sender]
        granted = self.decide.granted(member.promised, member.promised_to, member.granted, message.proposal)
        if granted is None:
            return
        reached = _put(state, to, _raised(member, granted[0], granted[1])._replace(granted=granted[2]))
        what = f"{name(to)} grants epoch {message.epoch} to {name(message.sender)}"
        if reached != state:
            yield Step(f"{what}; the answer is lost", reached)
        asked = sender.round[0] if sender.round else None
        if asked and asked.kind == INSTALL and asked.proposal == message.proposal and not _has(asked.grants, to):
            more = asked._replace(grants=tuple(sorted((*asked.grants, Answer(to, member.disk)))))
            yield Step(what, _put(reached, message.sender, reached.members[message.sender]._replace(round=(more,))))

    # --- orders
    def _writes(self, state: State, me: int, member: Member) -> Iterator[ControlStep]:
        if not member.leads:
            return
        if not member.round:
            for order, base in enumerate(self.size.bases):
                if _known(state, base) and not self.rules.remembers(member.log, order) and base == len(member.log):
                    yield self._write(state, me, member, order)
        elif member.round[0].kind == APPEND:
            current = member.round[0]
            yield from self._heartbeats(state, me, member, current)
            if self.decide.acknowledges(member.replica_set, current.answers):
                reached = _put(state, me, member._replace(round=()))
                yield self._acknowledge(reached, me, member, current)

    def _write(self, state: State, me: int, member: Member, order: int) -> ControlStep:
        log = (*member.log, order)
        own = Answer(me, member.disk)
        new = member._replace(log=log, round=(Round(APPEND, member.leads, (own,), order=order),))
        reached = _send(_put(state, me, new), Message(APPEND, member.leads, me, member.replica_set, log))
        return Step(f"{name(me)} takes order {order} as version {len(log)}", reached)

    def _acknowledge(self, state: State, me: int, member: Member, current: Round) -> ControlStep:
        told, log, order = state.acknowledged, member.log, current.order
        breach = self._breach({
            Invariant.MAJORITY: not self.decide.has_majority(member.replica_set, current.answers),
            Invariant.ONE_CONTENT: not agree(told, log),
            Invariant.NOT_REFUSED: bool(state.outcomes[order] & REFUSED),
        })  # fmt: skip
        reached = _outcome(state, order, ACKNOWLEDGED)
        if len(log) > len(told):
            since = (*state.acknowledged_in, *[current.epoch] * (len(log) - len(told)))
            reached = reached._replace(acknowledged=log, acknowledged_in=since)
        return Step(f"{name(me)} acknowledges order {order}", reached, breach)

    # --- reads, repeated orders, refusals
    def _confirmations(self, state: State, me: int, member: Member) -> Iterator[ControlStep]:
        if not member.leads:
            return
        if not member.round:
            for order in self._questions(state, member):
                own = Answer(me, member.disk)
                asked = Round(CONFIRM, member.leads, (own,), order=order, required=len(state.acknowledged))
                reached = _put(state, me, member._replace(round=(asked,)))
                if order == READ:
                    reached = reached._replace(reads_left=state.reads_left - 1)
                what = "a read" if order == READ else f"order {order}, sent again or too late"
                yield Step(f"{name(me)} confirms its leadership for {what}", reached)
        elif member.round[0].kind == CONFIRM:
            current = member.round[0]
            yield from self._heartbeats(state, me, member, current)
            if self.decide.confirms(member.replica_set, current.answers):
                yield self._confirmed(_put(state, me, member._replace(round=())), me, member, current)

    def _questions(self, state: State, member: Member) -> Iterator[int]:
        if state.reads_left:
            yield READ
        for order, base in enumerate(self.size.bases):
            if not _known(state, base):
                continue
            if self.rules.remembers(member.log, order):
                if not state.outcomes[order] & ACKNOWLEDGED:
                    yield order
            elif base != len(member.log) and not state.outcomes[order] & REFUSED:
                yield order

    def _confirmed(self, state: State, me: int, member: Member, current: Round) -> ControlStep:
        order, log = current.order, member.log
        if order == READ:
            stale = not is_prefix(state.acknowledged[: current.required], log)
            what = f"{name(me)} answers the read with version {len(log)}"
            return Step(what, state, self._breach({Invariant.FRESH_READ: stale}))
        if self.rules.remembers(log, order):
            return self._acknowledge(state, me, member, current)
        breach = self._breach({Invariant.NOT_REFUSED: order in state.acknowledged})
        return Step(f"{name(me)} refuses order {order}", _outcome(state, order, REFUSED), breach)

    def _heartbeats(self, state: State, me: int, member: Member, current: Round) -> Iterator[ControlStep]:
        """Answers that are no copies: of everyone in a confirmation, of members that hold no copy in a write."""
        holders = (me, *member.replica_set.backups)
        if current.kind == APPEND and 2 * len(holders) > self.size.members:
            return  # The copies alone are a majority: no other answer can make a difference.
        for to, other in enumerate(state.members):
            if (
                _has(current.answers, to)
                or (current.kind == APPEND and to in holders)
                or other.promised > current.epoch
            ):
                continue
            yield Step(f"{name(to)} answers the heartbeat of {name(me)}", _answered(state, me, Answer(to, other.disk)))

    # --- faults, and the fleet's recovery from them
    def _faults(self, state: State, me: int, member: Member) -> Iterator[ControlStep]:
        if self.size.restarts and (member.leads or member.round):
            yield Step(f"{name(me)} restarts", _put(state, me, member._replace(leads=0, round=())))
        if state.wipes_left and me not in state.lost and len(state.lost) < self.size.tolerate:
            reached = _put(state, me, Member(disk=member.disk + 1))
            lost = tuple(sorted((*state.lost, me)))
            what = f"{name(me)} loses its disk and starts empty"
            yield Step(what, reached._replace(lost=lost, wipes_left=state.wipes_left - 1))
        if member.leads and not member.round and state.lost and self._finds_itself_whole(state, member):
            yield Step(f"{name(me)} hears all members and finds nothing to repair", state._replace(lost=()))
        yield from self._departures(state, me, member)

    def _finds_itself_whole(self, state: State, member: Member) -> bool:
        present = [m for i, m in enumerate(state.members) if i not in state.gone]
        if any(m.promised > member.leads for m in present):
            return False
        return self._settled(state, member) and self.decide.whole(
            member.replica_set, self._answers(state, (*state.gone, *state.leaving))
        )

    def _settled(self, state: State, primary: Member) -> bool:
        """Do all backups know that the primary's epoch was granted, where its voters are not those before?"""
        copies = [state.members[b].replica_set for b in primary.replica_set.backups]
        return not any(copy.unsettled for copy in copies)

    def _departures(self, state: State, me: int, member: Member) -> Iterator[ControlStep]:
        """A member is asked to leave for good, and goes once a primary that hears the others lets it."""
        if state.leaves_left and me not in state.leaving:
            leaving = tuple(sorted((*state.leaving, me)))
            yield Step(
                f"{name(me)} is asked to leave for good",
                state._replace(leaving=leaving, leaves_left=state.leaves_left - 1),
            )
        if me not in state.leaving:
            return
        for primary in state.members:
            stay = self._answers(state, (*state.gone, me))
            if not primary.leads or not self._settled(state, primary):
                continue
            if self.decide.may_leave(me, primary.replica_set, stay, self.size.tolerate):
                left = Member(disk=member.disk, promised=member.promised, promised_to=member.promised_to)
                reached = _put(state, me, left)._replace(gone=tuple(sorted((*state.gone, me))))
                stuck = not self._electable(reached)
                yield Step(f"{name(me)} leaves", reached, self._breach({Invariant.LEAVER: stuck}))
                return

    # --- invariants
    def _breach(self, broken: dict[Invariant, bool]) -> str:
        return next((str(which) for which, is_so in broken.items() if is_so and which in self.checked), "")

    def flaw(self, state: State) -> str:
        """The invariant that a state breaks: what is left after tolerated losses."""
        if Invariant.BEARS_LOSS not in self.checked or all(m.disk == 0 for m in state.members):
            return ""
        return "" if self._electable(state) else str(Invariant.BEARS_LOSS)

    def _electable(self, state: State) -> bool:
        """Can somebody be elected with all that was acknowledged, once all that are left are in touch?"""
        answers = self._answers(state, state.gone)
        for answer in answers:
            member = state.members[answer.member]
            if not member.state_epoch or not is_prefix(state.acknowledged, member.log):
                continue
            verdict = self.decide.candidacy(
                answer.member, member.state_epoch, member.replica_set, answers, len(answers)
            )
            if not verdict.refusal and not verdict.loses_state:
                return True
        return False

    def _answers(self, state: State, without: tuple[int, ...]) -> tuple[Answer, ...]:
        return tuple([
            Answer(i, m.disk, m.granted, m.state_epoch) for i, m in enumerate(state.members) if i not in without
        ])  # fmt: skip


def _put(state: State, index: int, member: Member) -> State:
    members = state.members
    if members[index] == member:
        return state
    return state._replace(members=(*members[:index], member, *members[index + 1 :]))


def _send(state: State, message: Message) -> State:
    if message in state.messages:
        return state
    return state._replace(messages=tuple(sorted((*state.messages, message))))


def _raised(member: Member, promised: int, to: int) -> Member:
    """With a promise; a primary or candidate of a lower epoch goes no further."""
    raised = member._replace(promised=promised, promised_to=to)
    if member.leads and promised > member.leads:
        return raised._replace(leads=0, round=())
    if member.round and member.round[0].kind == PREPARE and promised > member.round[0].epoch:
        return raised._replace(round=())
    return raised


def _answered(state: State, asker: int, answer: Answer) -> State:
    member = state.members[asker]
    current = member.round[0]
    more = current._replace(answers=tuple(sorted((*current.answers, answer))))
    return _put(state, asker, member._replace(round=(more,)))


def _outcome(state: State, order: int, told: int) -> State:
    outcomes = list(state.outcomes)
    outcomes[order] |= told
    return state._replace(outcomes=tuple(outcomes))


def _has(answers: tuple[Answer, ...], member: int) -> bool:
    return any(a.member == member for a in answers)


def _known(state: State, base: int) -> bool:
    """Has an operator learnt of the version that its order builds on?"""
    return base <= len(state.acknowledged)
