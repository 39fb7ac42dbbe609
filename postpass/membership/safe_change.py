"""Safe changes of members: the same rules for the voters of control and for the members of a partition.

Pure functions. A member is identified by its name and its disk, since a machine whose disk was wiped has no vote and no copy.
A change replaces one member, adds one or removes one; it adds or removes two if after adding or removing only one, an even
number would be left that does not survive the loss of a zone. A change needs the majorities both before and after it (control:
both grant the epoch; partitions: the record of the change is covered, that is durably replicated, under both), and it is made
only if the members after it would keep a majority through the next tolerated loss, counting only those that answer now.
"""

from __future__ import annotations

import itertools
from collections import Counter
from collections.abc import Callable, Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass

Members = Mapping[str, str]  # name -> disk identity


@dataclass(frozen=True)
class Tolerance:
    """The loss that must be survived: so many machines with a disk, or so many entire zones, at the same time."""

    machines: int = 1
    zones: int = 1


@dataclass(frozen=True)
class Topology:
    """The zones of machines, and the loss that is tolerated."""

    zones: Mapping[str, str]  # machine -> zone
    tolerance: Tolerance = Tolerance()

    def worst_machines(self, live: Collection[str]) -> int:
        """Returns how many of `live` a tolerated loss of machines removes at most."""
        return min(self.tolerance.machines, len(live))

    def worst_zones(self, live: Collection[str]) -> int:
        """Returns how many of `live` a tolerated loss of zones removes at most.

        A machine whose zone isn't known counts as a zone of its own.
        """
        by_zone = Counter(self.zones.get(name) or f"of {name}" for name in live)
        return sum(sorted(by_zone.values(), reverse=True)[: self.tolerance.zones])

    def worst_loss(self, live: Collection[str]) -> int:
        """Returns how many of `live` one tolerated loss of either kind removes at most."""
        return max(self.worst_machines(live), self.worst_zones(live))


@dataclass(frozen=True)
class Margin:
    """The number of live members in excess of a majority after the worst tolerated loss of machines, and of zones.

    A negative number means that no majority would be left.
    """

    machines: int
    zones: int

    def at_least(self, other: Margin) -> bool:
        """Returns whether this margin is no worse than `other` for either kind of loss."""
        return self.machines >= other.machines and self.zones >= other.zones

    def lowest(self, other: Margin) -> Margin:
        """Returns the lower of the two margins for each kind of loss."""
        return Margin(min(self.machines, other.machines), min(self.zones, other.zones))


ZERO_MARGIN = Margin(0, 0)


def majority_of(count: int) -> int:
    """Returns how many of `count` members make a majority."""
    return count // 2 + 1


def margin(members: Collection[str], live: Collection[str], topology: Topology) -> Margin:
    """Returns the margin of `members` after the next tolerated loss, when only those in `live` answer now."""
    live_members = [name for name in members if name in live]
    excess = len(live_members) - majority_of(len(members))
    return Margin(excess - topology.worst_machines(live_members), excess - topology.worst_zones(live_members))


def keeps_majority_after_loss(members: Collection[str], live: Collection[str], topology: Topology) -> bool:
    """Returns whether a majority of `members` would be left after the next tolerated loss, when only `live` answer now."""
    return margin(members, live, topology).at_least(ZERO_MARGIN)


def copies_survive(holders: Collection[str], topology: Topology) -> bool:
    """Returns whether at least one of these synced copies would be left after the next tolerated loss."""
    return len(holders) > topology.worst_loss(holders)


@dataclass(frozen=True)
class Change:
    """A change of members: the members after it by name with their disks, and the names of those that join and leave."""

    members: dict[str, str]
    joins: tuple[str, ...] = ()
    leaves: tuple[str, ...] = ()


@dataclass(frozen=True)
class Situation:
    """The facts on which a change of members is decided.

    `current` are the present members, `wanted` those that there should be. `ready` are the machines that answered lately and
    have everything that is acknowledged on their disks, with the disk that answered; `answering` are all that answered lately,
    including those that are still being filled.
    """

    current: Members
    wanted: Sequence[str]
    ready: Members
    answering: Collection[str]
    topology: Topology

    @property
    def live(self) -> set[str]:
        """The present members that are ready with the disk by which they are members."""
        return {name for name, disk in self.current.items() if self.ready.get(name) == disk}

    @property
    def spare(self) -> list[str]:
        """The present members that are not wanted, those that don't answer first."""
        spare = [name for name in self.current if name not in self.wanted]
        return sorted(spare, key=lambda name: name in self.answering)

    def required_margin(self, leaves: Iterable[str]) -> Margin:
        """Returns the least margin that must be left after a change in which `leaves` leave.

        A member that answers may leave only if the rest survives the next loss, to the extent that the current and the wanted
        members would survive one if all of them were ready. Any other change is also acceptable if it makes nothing worse.
        """
        required = ZERO_MARGIN.lowest(margin(self.current, self.current, self.topology))
        required = required.lowest(margin(self.wanted, self.wanted, self.topology))
        if set(leaves) & set(self.answering):
            return required
        return required.lowest(margin(self.current, self.live, self.topology))


def is_safe(situation: Situation, change: Change) -> bool:
    """Returns whether a change keeps the required margin: a majority survives the next loss, or it gets no worse."""
    live = {name for name, disk in change.members.items() if situation.ready.get(name) == disk}
    return margin(change.members, live, situation.topology).at_least(situation.required_margin(change.leaves))


def _make_change(situation: Situation, joins: Sequence[str] = (), leaves: Sequence[str] = ()) -> Change:
    """Returns the change in which some members join with their ready disks and some leave."""
    kept_members = {name: disk for name, disk in situation.current.items() if name not in leaves}
    return Change(kept_members | {name: situation.ready[name] for name in joins}, tuple(joins), tuple(leaves))


def _candidate_changes(situation: Situation, must_stay: str) -> Iterable[Change]:
    """Yields all changes towards the wanted members, the preferred ones first.

    They are: a member that returned with a new disk is counted by that disk; a new member replaces one that is not wanted; a
    new one is added; one that is not wanted leaves, though as long as it answers only after all wanted members have joined
    and are ready; finally, two are added or two leave at a time. The member `must_stay` never leaves.
    """
    ready = [name for name in situation.wanted if name in situation.ready]
    returned = [n for n in ready if n in situation.current and n not in situation.live]
    new = [n for n in ready if n not in situation.current]
    spare = [n for n in situation.spare if n != must_stay]
    complete = all(name in situation.live for name in situation.wanted)
    leaving = [n for n in spare if complete or n not in situation.answering]
    yield from (_make_change(situation, [name]) for name in returned)
    yield from (_make_change(situation, [name], [replaced]) for name, replaced in itertools.product(new, spare))
    yield from (_make_change(situation, [name]) for name in new)
    yield from (_make_change(situation, leaves=[name]) for name in leaving)
    yield from (_make_change(situation, two_names) for two_names in itertools.combinations(new, 2))
    yield from (_make_change(situation, leaves=two_names) for two_names in itertools.combinations(leaving, 2))


def next_change(situation: Situation, must_stay: str = "") -> Change | None:
    """Returns the next safe change towards the wanted members.

    None is returned if there is no safe change now, or if the wanted members aren't known. The member `must_stay` doesn't
    leave.
    """
    if not situation.wanted:
        return None
    candidates = (change for change in _candidate_changes(situation, must_stay) if change.members)
    return next((change for change in candidates if is_safe(situation, change)), None)


def should_give_up_vote(voters: Members, leaving: str, answered: Collection[str], topology: Topology) -> bool:
    """Returns whether a voter that is ordered to stop should cease to be a voter while it is away.

    That is the case if the others alone survive the next loss, but would not if the vote of `leaving` still counted. For
    example, if one of four voters is away, a majority needs all three others, so that no further loss is survived; if these
    three are the only voters, the loss of one more is survived.
    """
    others = [name for name in voters if name != leaving]
    live = [name for name in others if name in answered]
    return keeps_majority_after_loss(others, live, topology) and not keeps_majority_after_loss(voters, live, topology)


def next_voters(
    voters: Members, wanted: Sequence[str], answered: Members, topology: Topology, leaving: Collection[str] = ()
) -> dict[str, str]:
    """Returns the voters of control's next epoch: the present ones with at most one safe change.

    `answered` are the machines that answered, with their disks; `leaving` are those of them that were ordered to stop.

    Every voter that answers counts as ready, since a voter only has to remember its promises; the state is kept by the primary
    and its backups.
    """
    staying = {name: disk for name, disk in answered.items() if name not in leaving}
    for name in leaving:
        if name in voters and should_give_up_vote(voters, name, staying, topology):
            return {other: disk for other, disk in voters.items() if other != name}
    change = next_change(Situation(voters, wanted, staying, list(staying), topology))
    return change.members if change is not None else dict(voters)


def safe_copies(store_zones: Sequence[str], max_copies: int, tolerance: Tolerance) -> int:
    """Returns how many copies the stores in these zones should have: the largest number that survives the next loss.

    The number is at most `max_copies`. Copies are spread over as many zones as there are. Four copies in three zones do not
    survive the loss of the zone that has two of them, but three copies do. If no number survives, the result is as many
    copies as there can be.
    """
    count = min(max_copies, len(store_zones))
    safe_counts = (n for n in range(count, 0, -1) if copies_keep_majority(store_zones, n, tolerance))
    return next(safe_counts, count)


def copies_keep_majority(store_zones: Sequence[str], copies: int, tolerance: Tolerance) -> bool:
    """Returns whether a majority of so many copies, spread over these zones, would be left after the next tolerated loss."""
    placed = dict(enumerate(_spread_over_zones(store_zones, copies)))
    names = [str(index) for index in placed]
    topology = Topology({str(index): zone for index, zone in placed.items()}, tolerance)
    return keeps_majority_after_loss(names, names, topology)


def _spread_over_zones(zones: Sequence[str], copies: int) -> list[str]:
    """Returns the zones of so many copies: one in each zone before a second one in any, as in `configuration.members`."""
    distinct_zones = list(dict.fromkeys(zones))
    remaining = list(zones)
    for zone in distinct_zones:
        remaining.remove(zone)
    # Of the remaining stores, those of the zone with the most come first: `members` may choose any of them, and the worst
    # choice must be survivable too.
    fullest_first = sorted(remaining, key=lambda zone: -remaining.count(zone))
    return (distinct_zones + fullest_first)[:copies]


# How long before a machine fell silent its successor may have joined, as a multiple of the patience with silent machines.
SUCCESSOR_EARLIER = 4


@dataclass(frozen=True)
class Presence:
    """What the primary of control knows of a machine with a disk."""

    duties: frozenset[str]
    zone: str
    silent_for: float  # seconds since its last heartbeat
    known_for: float  # seconds since it first announced itself to this primary
    born: int  # grows with every start of its process


def has_successor(old: Presence, others: Iterable[Presence], patience: float) -> bool:
    """Returns whether another machine has replaced one that is silent, so that the silent one may be dropped.

    A successor has the same duties in the same zone and first announced itself after the last heartbeat of the silent machine.
    If the silent machine has been away for long, a successor may also be one that joined shortly before that, since in a
    planned replacement the new machine is started first, or one whose process started later, since a primary may not know who
    joined before it led. A machine that is frozen or cut off for a moment soon after another one was added has not been
    replaced.
    """
    long_silence = 2 * patience
    for other in others:
        if (other.duties, other.zone) != (old.duties, old.zone) or other.silent_for > patience:
            continue
        if other.known_for < old.silent_for:
            return True
        joined_shortly_before = other.known_for < old.silent_for + SUCCESSOR_EARLIER * patience
        if old.silent_for > long_silence and (joined_shortly_before or other.born > old.born):
            return True
    return False


def machine_to_drop(
    machines: Mapping[str, Presence], min_remaining: Callable[[Presence], int], patience: float
) -> str | None:
    """Returns a machine with a disk that is gone for good; None if there is none, or if too few would remain.

    `min_remaining` gives the number of machines with the same duties that must remain. Only one machine is dropped at a
    time: the next one follows once the remaining ones have taken over the data of the previous one.
    """
    for name, old in machines.items():
        if old.silent_for <= patience:
            continue
        others = [o for n, o in machines.items() if n != name and o.duties == old.duties and o.silent_for <= patience]
        if len(others) >= min_remaining(old) and has_successor(old, others, patience):
            return name
    return None
