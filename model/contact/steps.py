"""What can happen next between members that hear and miss each other.

Time appears only as this: a member that no primary reaches stops hearing it at some later moment, and a heartbeat reaches
all that it can at once. Which disk and which state a candidate has is left to the control model.
"""

from __future__ import annotations

from collections.abc import Iterator

from model.contact.rules import PreVotes, Rules
from model.contact.state import EVERY, WHOLE, Invariant, Member, Size, State, cuts, founded
from model.search import Step, System
from postpass.control.epochs import PreVote, VoteRecord, Voters, majority

ContactStep = Step[State]


def name(member: int) -> str:
    """The product's name of a member."""
    return f"c{member + 1}"


class ContactModel:
    """The transition system of one size under one set of rules."""

    def __init__(self, size: Size, rules: Rules = Rules(), checked: frozenset[Invariant] = EVERY) -> None:
        self.size = size
        self.rules = rules
        self.checked = checked
        self.voters: Voters = {name(m): f"d{m + 1}" for m in range(size.members)}

    def system(self) -> System[State]:
        """What `model.search` takes."""
        return System(founded(self.size), self.steps)

    def steps(self, state: State) -> Iterator[ContactStep]:
        """All transitions from a state."""
        yield from self._links(state)
        for index, member in enumerate(state.members):
            if member.leads:
                yield self._heartbeat(state, index)
                yield from self._checks(state, index)
            elif member.hears:
                yield from self._silence(state, index)
            elif member.cleared and self.rules.prevote_counts(member.stale):
                yield from self._election(state, index)
            elif member.cleared:
                given_up = _put(state, index, member._replace(cleared=False, stale=False))
                yield Step(f"{name(index)} finds its pre-vote too old", given_up)
            else:
                yield from self._pre_vote(state, index)

    def _links(self, state: State) -> Iterator[ContactStep]:
        # A candidate that won its pre-vote is frozen meanwhile, for longer than the detection time.
        members = tuple(m._replace(stale=True) if m.cleared else m for m in state.members)
        state = state._replace(members=members)
        if state.cut != WHOLE:
            yield Step("the cut heals", state._replace(cut=WHOLE))
        elif state.cuts_left:
            for cut in cuts(self.size):
                ways = [way for way, is_cut in (("out", cut.outgoing), ("in", cut.incoming)) if is_cut]
                who = " and ".join(name(m) for m in cut.members)
                label = f"{who}: what goes {' and '.join(ways)} is lost"
                yield Step(label, state._replace(cut=cut, cuts_left=state.cuts_left - 1))

    def _reached(self, state: State, sender: int) -> list[int]:
        return [m for m in range(self.size.members) if m != sender and not state.cut.blocks(sender, m)]

    def _answering(self, state: State, sender: int) -> list[int]:
        return [m for m in self._reached(state, sender) if not state.cut.blocks(m, sender)]

    def _named(self, members: list[int]) -> Voters:
        return {name(m): self.voters[name(m)] for m in members}

    # --- the primary
    def _heartbeat(self, state: State, primary: int) -> ContactStep:
        epoch, members = state.members[primary].leads, list(state.members)
        for to in self._reached(state, primary):
            if members[to].promised <= epoch:
                members[to] = members[to]._replace(hears=epoch, leads=0, cleared=False, stale=False)
        refused = [m for m in self._answering(state, primary) if members[m].promised > epoch]
        reached, breach = state._replace(members=tuple(members)), ""
        label = f"{name(primary)} sends the heartbeat of epoch {epoch}"
        if refused:
            breach = self._deposing(reached, primary)
            reached = _put(reached, primary, members[primary]._replace(leads=0, hears=0))
            label += f", hears of a higher one from {name(refused[0])} and steps down"
        return Step(label, reached, breach)

    def _deposing(self, state: State, primary: int) -> str:
        """The breach, if this primary is deposed though it is the newest and a majority hears it."""
        epoch = state.members[primary].leads
        newest = all(m.leads <= epoch for m in state.members)
        hearing = self._named([i for i, m in enumerate(state.members) if m.hears == epoch])
        return self._breach(Invariant.DEPOSED, newest and majority(self.voters, hearing))

    def _checks(self, state: State, primary: int) -> Iterator[ContactStep]:
        """What a primary does about those that have not answered for the detection time."""
        answering = self._answering(state, primary)
        member = state.members[primary]
        if not self.rules.may_stay(self.voters, self._named([primary, *answering])):
            down = _put(state, primary, member._replace(leads=0, hears=0))
            yield Step(f"{name(primary)} misses a majority and steps down", down)
        elif len(answering) < self.size.members - 1 and not self.rules.asks_first:
            # One that does not answer may be the backup: a new epoch is wanted.
            alone = _put(state, primary, member._replace(leads=0, hears=0, cleared=True))
            yield from self._election(alone, primary)

    # --- the others
    def _silence(self, state: State, index: int) -> Iterator[ContactStep]:
        member = state.members[index]
        senders = [i for i, m in enumerate(state.members) if m.leads >= member.promised and m.leads]
        if any(not state.cut.blocks(i, index) for i in senders):
            return
        yield Step(f"{name(index)} hears no primary any more", _put(state, index, member._replace(hears=0)))

    def _pre_vote(self, state: State, candidate: int) -> Iterator[ContactStep]:
        answering = self._answering(state, candidate)
        answers = [self._answer(state, m) for m in (candidate, *answering)]
        votes = PreVotes(tuple(self.voters), self.voters, tuple(answers))
        if not self.rules.may_campaign(votes):
            return
        cleared = _put(state, candidate, state.members[candidate]._replace(cleared=True))
        if self.size.freezes:
            yield Step(f"{name(candidate)} wins the pre-vote", cleared)
        else:
            yield from self._election(cleared, candidate)

    def _answer(self, state: State, member: int) -> PreVote:
        hears = bool(state.members[member].hears or state.members[member].leads)
        return PreVote(name(member), self.voters[name(member)], hears)

    def _election(self, state: State, candidate: int) -> Iterator[ContactStep]:
        """The candidate asks for promises of the next epoch, and leads if most voters gave them."""
        answering = self._answering(state, candidate)
        epoch = 1 + max(state.members[m].promised for m in (candidate, *answering))
        if epoch > self.size.epochs:
            return
        before, breach = state, ""
        given = [m for m in self._reached(state, candidate) if self._promises(state.members[m], candidate, epoch)]
        for voter in given:
            if state.members[voter].leads:
                breach = breach or self._deposing(before, voter)
            state = _put(state, voter, state.members[voter]._replace(promised=epoch, leads=0))
        promised = [candidate, *[m for m in given if m in answering]]
        won = majority(self.voters, self._named(promised))
        me = state.members[candidate]._replace(cleared=False, stale=False)
        if won or not self.rules.promises_last:
            heard = majority(self.voters, self._named([candidate, *answering]))
            breach = breach or self._breach(Invariant.BURNT, not heard)
            me = me._replace(promised=epoch)
        label = f"{name(candidate)} asks for promises of epoch {epoch}: {len(promised)} of {self.size.members}"
        if won:
            state = _put(state, candidate, me._replace(leads=epoch, hears=epoch))
            for voter in promised[1:]:  # They grant the epoch, and know its primary from then on.
                state = _put(state, voter, state.members[voter]._replace(hears=epoch, cleared=False, stale=False))
            yield Step(f"{label}, and leads", state, breach)
        else:
            yield Step(label, _put(state, candidate, me), breach)

    def _promises(self, voter: Member, candidate: int, epoch: int) -> bool:
        if self.rules.refuses_while_hearing and (voter.hears or voter.leads):
            return False
        return self.rules.promise(VoteRecord(promised=voter.promised), epoch, name(candidate)) is not None

    def _breach(self, which: Invariant, broken: bool) -> str:
        return str(which) if broken and which in self.checked else ""


def _put(state: State, index: int, member: Member) -> State:
    return state._replace(members=(*state.members[:index], member, *state.members[index + 1 :]))
