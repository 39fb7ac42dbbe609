"""The search for the owner of a partition: which machine to ask next, depending on the answers so far.

Any store answers which owner it follows, and the members of a partition follow its owner, so the search must reach all of
them. What a store remembers of a partition that it is no member of may be long out of date, and may name a machine that is
gone: guesses are asked first, but none of them twice before every member was asked.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable
from dataclasses import dataclass, field


@dataclass(eq=False)
class OwnerLookup:
    """One round of a search for the owner of one partition. Owned by the request that searches.

    A round asks each machine once: first the machine that was named as the owner most recently, then the guesses, then the
    members in their agreed order; those of `unresponsive` come last. Within one round every member is asked, unless the owner
    is found before.

    Attributes:
        guesses: Names of machines that may be the owner, the likeliest first.
        members: Names of the members in their agreed order.
        unresponsive: Names of machines that did not answer lately.
        tried: Names of machines that were asked in this round.
        named_owners: Names that machines gave as the owner in this round, the newest first.
    """

    guesses: tuple[str, ...]
    members: tuple[str, ...]
    unresponsive: frozenset[str] = frozenset()
    tried: list[str] = field(default_factory=list)
    named_owners: list[str] = field(default_factory=list)

    @classmethod
    def for_candidates(
        cls,
        guesses: Iterable[str],
        members: Iterable[str],
        unresponsive: Collection[str] = (),
        tried: Iterable[str] = (),
    ) -> OwnerLookup:
        """Returns a round among the given machines, except for those in `tried`; empty guesses are left out."""
        return cls(tuple(n for n in guesses if n), tuple(members), frozenset(unresponsive), list(tried))

    def next_name(self) -> str:
        """Returns the name of the machine to ask next; empty once all machines of this round were asked."""
        candidates = [
            n for n in dict.fromkeys([*self.named_owners, *self.guesses, *self.members]) if n not in self.tried
        ]
        return min(candidates, key=lambda name: name in self.unresponsive, default="")

    def mark_asked(self, name: str) -> None:
        """Notes that a machine is being asked."""
        self.tried.append(name)

    def follow(self, owner: str) -> None:
        """Notes the owner that a machine has named, which is asked next; empty if that machine knows none."""
        if owner and owner not in self.tried:
            self.named_owners.insert(0, owner)

    def ask_again(self, name: str) -> None:
        """Has a machine that was asked in this round asked once more, as the next one, since it is becoming the owner."""
        self.tried.remove(name)
        self.follow(name)
