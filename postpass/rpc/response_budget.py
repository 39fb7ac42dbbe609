"""A bound on the bytes of a response that holds as many rows as fit; the requester asks again for the rest.

Every response whose size grows with what it is about takes its rows under such a budget, well below the longest frame
(`framing.MAXIMUM_FRAME_BYTES`): a longer frame closes the link, and with it ends all requests that share it.
"""

from __future__ import annotations

from dataclasses import dataclass

from postpass.rpc.framing import MAXIMUM_FRAME_BYTES

RESPONSE_BYTES = MAXIMUM_FRAME_BYTES // 4


@dataclass(eq=False)
class ResponseBudget:
    """Counts the bytes of a response's rows. The first row is always accepted, so that one of any size gets through.

    Attributes:
        limit: Bytes that the rows may have together.
        used: Bytes of the rows accepted so far.
        exhausted: Whether a row was refused; from then on all are, so that rows are never reordered.
    """

    limit: int = RESPONSE_BYTES
    used: int = 0
    exhausted: bool = False

    def accept(self, size: int) -> bool:
        """Returns whether a row of so many bytes still belongs to this response, and counts it if so."""
        if self.exhausted or (self.used and self.used + size > self.limit):
            self.exhausted = True
            return False
        self.used += size
        return True
