"""The server-sent events of a relayed answer, which may be joined from several runs at different workers."""

from __future__ import annotations

import re

EVENT_ID = re.compile(rb"(?:^|\n)id:[ ]?(\d+)\r?(?=\n)")


class EventStream:
    """Splits the bytes of each run into complete events.

    Invariant: `last_id` is the id of the last event returned, over all runs; the next run must continue with the event
    right after it.
    """

    __slots__ = ("last_id", "incomplete", "joined")

    def __init__(self, last_id: int | None) -> None:
        self.last_id = last_id
        self.incomplete = b""  # the received part of an event that isn't complete yet
        self.joined = True  # whether this run's first event was compared with `last_id`

    def resume(self) -> None:
        """Starts another run, and drops the incomplete event of the previous one."""
        self.incomplete, self.joined = b"", self.last_id is None

    def feed(self, data: bytes) -> bytes:
        """Returns the complete events in the bytes received so far.

        Raises ValueError if a new run doesn't continue where the previous one ended.
        """
        data = self.incomplete + data if self.incomplete else data
        after_lf, after_crlf = data.rfind(b"\n\n"), data.rfind(b"\r\n\r\n")
        end = max(after_lf + 2 if after_lf >= 0 else 0, after_crlf + 4 if after_crlf >= 0 else 0)
        events, self.incomplete = data[:end], data[end:]
        if events:
            first_id = None if self.joined else EVENT_ID.search(events)
            if first_id is not None:
                if self.last_id is not None and int(first_id[1]) != self.last_id + 1:
                    raise ValueError(f"the new run begins at {int(first_id[1])}, after {self.last_id}")
                self.joined = True
            last_id_line = events.rfind(b"\nid:")
            tail = events[last_id_line + 1 :] if last_id_line >= 0 else events
            id_match = EVENT_ID.match(tail) or EVENT_ID.search(events)
            if id_match is not None:
                self.last_id = int(id_match[1])
        return events
