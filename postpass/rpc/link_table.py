"""The links that peers have opened: limits on their number, and on the time until each has made its handshake."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from fractions import Fraction

FILE_DESCRIPTORS = 200  # reserved for files
LINK_DESCRIPTOR_SHARE = Fraction(1, 4)  # of the other descriptors
MIN_LINKS = 64
UNAGREED_LINK_SHARE = Fraction(1, 2)  # of the links: those that may be without a handshake
DEFAULT_LINKS = 1024
MAX_LISTEN_QUEUE = 100


def links_of_process(descriptors: int) -> int:
    """Returns the number of links that peers may open to a process with so many descriptors."""
    return max(MIN_LINKS, int((descriptors - FILE_DESCRIPTORS) * LINK_DESCRIPTOR_SHARE))


@dataclass(eq=False)
class LinkTable:
    """Owner: the server of links. Invariant: `unagreed` is a part of `links`, those that are open for longest first.

    :ivar limit: the number of links that may be open.
    :ivar unagreed: the links without a handshake.
    """

    limit: int = DEFAULT_LINKS
    links: dict[asyncio.StreamWriter, None] = field(default_factory=dict)
    unagreed: dict[asyncio.StreamWriter, None] = field(default_factory=dict)

    @property
    def listen_queue(self) -> int:
        """The longest queue of links that aren't accepted yet; all of them may be accepted at once."""
        return min(MAX_LISTEN_QUEUE, self.limit // 2)

    def __len__(self) -> int:
        return len(self.links)

    def add(self, link: asyncio.StreamWriter) -> bool:
        """Adds a new link; returns False if there is no room for it.

        Of too many links without a handshake, the one that is open for longest is closed.
        """
        is_full = len(self.links) >= self.limit
        if self.unagreed and (is_full or len(self.unagreed) >= self.limit * UNAGREED_LINK_SHARE):
            longest_open = next(iter(self.unagreed))
            self.discard(longest_open)
            longest_open.transport.abort()
        elif is_full:
            return False
        self.links[link] = None
        self.unagreed[link] = None
        return True

    def mark_agreed(self, link: asyncio.StreamWriter) -> None:
        """Records that a link has made its handshake."""
        self.unagreed.pop(link, None)

    def discard(self, link: asyncio.StreamWriter) -> None:
        """Removes a link that is closed."""
        self.links.pop(link, None)
        self.unagreed.pop(link, None)
