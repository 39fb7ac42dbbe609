"""The search for the owner of a partition: whom to ask next, as a function of what was answered so far.

Any store tells whom it follows, and the members of a partition follow its owner, so the search must come to all of them.
What a store remembers of a partition that it is no member of may be long out of date, and may name a machine that is gone:
guesses go first, but none of them is asked twice before every member was.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable
from dataclasses import dataclass, field


@dataclass(eq=False)
class OwnerLookup:
    """One search for the owner of one partition. Owned by the request that searches.

    A round asks each machine once: first whoever was named last, then the guesses, then the members in their agreed order;
    those of `doubtful` last. Within one round every member is asked, unless the owner is found before.

    Attributes:
        guesses: Who may be the owner, the likeliest first.
        members: The members in their agreed order.
        doubtful: Who gave no answer lately.
        tried: Who was asked in this round.
        named: Who was said to be the owner in this round, the newest first.
    """

    guesses: tuple[str, ...]
    members: tuple[str, ...]
    doubtful: frozenset[str] = frozenset()
    tried: list[str] = field(default_factory=list)
    named: list[str] = field(default_factory=list)

    @classmethod
    def over(
        cls, guesses: Iterable[str], members: Iterable[str], doubtful: Collection[str] = (), tried: Iterable[str] = ()
    ) -> OwnerLookup:
        """A round among these, but for those in `tried`; empty names are left out."""
        return cls(tuple(n for n in guesses if n), tuple(members), frozenset(doubtful), list(tried))

    def next_name(self) -> str:
        """Whom to ask now; empty once all of this round were asked."""
        candidates = [n for n in dict.fromkeys([*self.named, *self.guesses, *self.members]) if n not in self.tried]
        return min(candidates, key=lambda name: name in self.doubtful, default="")

    def asked(self, name: str) -> None:
        """This one is being asked."""
        self.tried.append(name)

    def follow(self, owner: str) -> None:
        """A machine says that another one is the owner; empty if it knows none."""
        if owner and owner not in self.tried:
            self.named.insert(0, owner)

    def ask_again(self, name: str) -> None:
        """This one is about to become the owner: it is the next to be asked."""
        self.tried.remove(name)
        self.follow(name)
