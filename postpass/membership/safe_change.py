"""Which change of members is safe, for the voters of control and for the members of a partition alike.

Pure functions. Members are named with the identity of their disk, since a wiped disk has no vote and no copy. A change
replaces one member, adds one or removes one; it adds or removes two where each alone would leave an even number that
does not bear the loss of a zone. It is made under the majorities of before and after (control: both grant the epoch;
partitions: the record of the change is covered under both), and only if the members after it would keep a majority
through the next tolerated loss, counted on those that answer now.
"""

from __future__ import annotations

import itertools
from collections import Counter
from collections.abc import Callable, Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass

Members = Mapping[str, str]  # name -> disk identity


@dataclass(frozen=True)
class Tolerance:
    """What may be lost at once: so many machines with a disk, or so many whole zones."""

    machines: int = 1
    zones: int = 1


@dataclass(frozen=True)
class Topology:
    """Where machines stand, and what may be lost of them at once."""

    zones: Mapping[str, str]  # machine -> zone
    tolerance: Tolerance = Tolerance()

    def worst_machines(self, live: Collection[str]) -> int:
        """How many of `live` a tolerated loss of machines takes at the most."""
        return min(self.tolerance.machines, len(live))

    def worst_zones(self, live: Collection[str]) -> int:
        """How many of `live` a tolerated loss of whole zones takes at the most. A zone that isn't known stands alone."""
        by_zone = Counter(self.zones.get(name) or f"of {name}" for name in live)
        return sum(sorted(by_zone.values(), reverse=True)[: self.tolerance.zones])

    def worst_loss(self, live: Collection[str]) -> int:
        """How many of `live` one tolerated loss of either kind takes at the most."""
        return max(self.worst_machines(live), self.worst_zones(live))


@dataclass(frozen=True)
class Margin:
    """How many live members are left above a majority after the worst tolerated loss; below 0: no majority is left."""

    machines: int
    zones: int

    def at_least(self, other: Margin) -> bool:
        """Is this one no worse than `other`, whichever kind of loss strikes?"""
        return self.machines >= other.machines and self.zones >= other.zones

    def lowest(self, other: Margin) -> Margin:
        """For each kind of loss the worse of the two."""
        return Margin(min(self.machines, other.machines), min(self.zones, other.zones))


BEARS = Margin(0, 0)


def majority_of(count: int) -> int:
    """How many of `count` members make more than half."""
    return count // 2 + 1


def margin(members: Collection[str], live: Collection[str], topology: Topology) -> Margin:
    """What the next tolerated loss would leave of `members`, of whom only `live` can answer now."""
    here = [name for name in members if name in live]
    spare = len(here) - majority_of(len(members))
    return Margin(spare - topology.worst_machines(here), spare - topology.worst_zones(here))


def bears_loss(members: Collection[str], live: Collection[str], topology: Topology) -> bool:
    """Would a majority of `members` be left after the next tolerated loss?"""
    return margin(members, live, topology).at_least(BEARS)


def copies_survive(holders: Collection[str], topology: Topology) -> bool:
    """Would one of these synced copies be left after the next tolerated loss?"""
    return len(holders) > topology.worst_loss(holders)


@dataclass(frozen=True)
class Change:
    """The members after a change, who joins them, and who leaves."""

    members: dict[str, str]
    joins: tuple[str, ...] = ()
    leaves: tuple[str, ...] = ()


@dataclass(frozen=True)
class Situation:
    """What a change is decided from.

    `ready` are those that answered lately and hold, synced, all that is acknowledged, by the disk that answered;
    `answering` are all that answered lately, also those that are still being filled.
    """

    current: Members
    wanted: Sequence[str]
    ready: Members
    answering: Collection[str]
    topology: Topology

    @property
    def live(self) -> set[str]:
        """The members whose counted disk is ready."""
        return {name for name, disk in self.current.items() if self.ready.get(name) == disk}

    @property
    def spare(self) -> list[str]:
        """Members that are not wanted: those that don't answer first."""
        spare = [name for name in self.current if name not in self.wanted]
        return sorted(spare, key=lambda name: name in self.answering)

    def required_margin(self, leaves: Iterable[str]) -> Margin:
        """The least margin that a change must keep.

        One that answers leaves only if the rest bears the next loss, as far as these members could bear one with all
        of them ready; any other change is also good if it makes nothing worse.
        """
        best = BEARS.lowest(margin(self.current, self.current, self.topology))
        best = best.lowest(margin(self.wanted, self.wanted, self.topology))
        if set(leaves) & set(self.answering):
            return best
        return best.lowest(margin(self.current, self.live, self.topology))


def is_safe(situation: Situation, change: Change) -> bool:
    """Does the next tolerated loss after this change leave a majority, or at least as much as one before it would?"""
    live = {name for name, disk in change.members.items() if situation.ready.get(name) == disk}
    return margin(change.members, live, situation.topology).at_least(situation.required_margin(change.leaves))


def _changed(situation: Situation, joins: Sequence[str] = (), leaves: Sequence[str] = ()) -> Change:
    """These join by the disks that are ready, those leave, the others stay."""
    kept = {name: disk for name, disk in situation.current.items() if name not in leaves}
    return Change(kept | {name: situation.ready[name] for name in joins}, tuple(joins), tuple(leaves))


def _options(situation: Situation, stays: str) -> Iterable[Change]:
    """All changes towards the wanted members, the better ones first: a returned member by its new disk; a new one in the
    place of one not wanted, or beside it; one not wanted leaves, if it still answers only after all wanted ones are in
    and ready; two at a time."""
    ready = [name for name in situation.wanted if name in situation.ready]
    returned = [n for n in ready if n in situation.current and n not in situation.live]
    new = [n for n in ready if n not in situation.current]
    spare = [n for n in situation.spare if n != stays]
    complete = all(name in situation.live for name in situation.wanted)
    leaving = [n for n in spare if complete or n not in situation.answering]
    yield from (_changed(situation, [name]) for name in returned)
    yield from (_changed(situation, [name], [old]) for name, old in itertools.product(new, spare))
    yield from (_changed(situation, [name]) for name in new)
    yield from (_changed(situation, leaves=[name]) for name in leaving)
    yield from (_changed(situation, pair) for pair in itertools.combinations(new, 2))
    yield from (_changed(situation, leaves=pair) for pair in itertools.combinations(leaving, 2))


def next_change(situation: Situation, stays: str = "") -> Change | None:
    """The next safe change towards the wanted members; None if there is none now, or if it isn't known whom to want.
    `stays` doesn't leave."""
    if not situation.wanted:
        return None
    options = (change for change in _options(situation, stays) if change.members)
    return next((change for change in options if is_safe(situation, change)), None)


def gives_up_vote(voters: Members, leaving: str, answered: Collection[str], topology: Topology) -> bool:
    """Is a voter that is told to leave better no voter while it is away?

    So it is where the others alone bear the next loss and would not with its vote still counted: of four voters one away
    leaves three, all of which it takes; three voters bear the loss of one more.
    """
    others = [name for name in voters if name != leaving]
    live = [name for name in others if name in answered]
    return bears_loss(others, live, topology) and not bears_loss(voters, live, topology)


def next_voters(
    voters: Members, wanted: Sequence[str], answered: Members, topology: Topology, leaving: Collection[str] = ()
) -> dict[str, str]:
    """The voters of control's next epoch: those before with at most one safe change, given who answered by which disk,
    and who of them is told to leave.

    A voter holds promises alone, so that whoever answers is ready; the state is kept by the primary and its backups."""
    present = {name: disk for name, disk in answered.items() if name not in leaving}
    for name in leaving:
        if name in voters and gives_up_vote(voters, name, present, topology):
            return {other: disk for other, disk in voters.items() if other != name}
    change = next_change(Situation(voters, wanted, present, list(present), topology))
    return change.members if change is not None else dict(voters)


def safe_copies(store_zones: Sequence[str], most: int, tolerance: Tolerance) -> int:
    """How many copies the stores in these zones should hold: the most, up to `most`, that bear the next loss.

    Copies are spread over as many zones as there are. Four copies in three zones do not bear the loss of the zone that
    has two, three copies do. If no number bears it, as many as there can be.
    """
    count = min(most, len(store_zones))
    safe = (n for n in range(count, 0, -1) if copies_bear_loss(store_zones, n, tolerance))
    return next(safe, count)


def copies_bear_loss(store_zones: Sequence[str], copies: int, tolerance: Tolerance) -> bool:
    """Would a majority of so many copies, spread over these zones, be left after the next tolerated loss?"""
    placed = dict(enumerate(_spread(store_zones, copies)))
    names = [str(index) for index in placed]
    topology = Topology({str(index): zone for index, zone in placed.items()}, tolerance)
    return bears_loss(names, names, topology)


def _spread(zones: Sequence[str], copies: int) -> list[str]:
    """The zones of so many copies: one in each zone before a second in any, as `configuration.members` chooses them."""
    heads = list(dict.fromkeys(zones))
    rest = list(zones)
    for zone in heads:
        rest.remove(zone)
    # The fullest zone last: `members` may choose any of the rest, and the worst choice must be borne.
    worst = sorted(rest, key=lambda zone: -rest.count(zone))
    return (heads + worst)[:copies]


# How long before a machine falls silent its successor may have come, as a multiple of the patience with silent ones.
SUCCESSOR_EARLIER = 4


@dataclass(frozen=True)
class Presence:
    """What the primary of control knows of a machine with a disk."""

    duties: frozenset[str]
    zone: str
    silent: float  # seconds since it was last heard
    known: float  # seconds since it first announced itself to this primary
    born: int  # grows with every start of its process


def has_successor(old: Presence, others: Iterable[Presence], patience: float) -> bool:
    """Has another machine come for one that is silent, so that the silent one may be dropped?

    One of the same duties in the same zone that announced itself since the silent one was last heard. Where the silent one
    has been away for long, also one that came shortly before, since a planned replacement starts the new machine first, and
    one that started later, since a primary may know nothing of who came before it led. A machine that is frozen or cut off
    for a moment soon after another was added is no replaced one.
    """
    long = 2 * patience
    for other in others:
        if (other.duties, other.zone) != (old.duties, old.zone) or other.silent > patience:
            continue
        if other.known < old.silent:
            return True
        came_shortly_before = other.known < old.silent + SUCCESSOR_EARLIER * patience
        if old.silent > long and (came_shortly_before or other.born > old.born):
            return True
    return False


def machine_to_drop(machines: Mapping[str, Presence], least: Callable[[Presence], int], patience: float) -> str | None:
    """The machine with a disk that is gone for good; None if there is none, or if the rest would be too few.

    One at a time: the next once those that stay have taken over what the one before held.
    """
    for name, old in machines.items():
        if old.silent <= patience:
            continue
        others = [o for n, o in machines.items() if n != name and o.duties == old.duties and o.silent <= patience]
        if len(others) >= least(old) and has_successor(old, others, patience):
            return name
    return None
