"""Server-sent events of a relayed answer, which may come from several runs at different workers."""

from __future__ import annotations

import re

EVENT_ID = re.compile(rb"(?:^|\n)id:[ ]?(\d+)\r?(?=\n)")


class EventStream:
    """Cuts the bytes of one run into whole events. Invariant: `last_id` is the id of the last event that was given
    out, over all runs; a run may not go on anywhere but right behind it."""

    __slots__ = ("last_id", "incomplete", "joined")

    def __init__(self, last_id: int | None) -> None:
        self.last_id = last_id
        self.incomplete = b""  # what has come of an event that isn't whole yet
        self.joined = True  # this run's first event was compared with `last_id`

    def resume(self) -> None:
        """Another run begins; what the last one left unfinished is dropped."""
        self.incomplete, self.joined = b"", self.last_id is None

    def feed(self, data: bytes) -> bytes:
        """The whole events in what has come. Raises ValueError if they don't go on where the last run ended."""
        data = self.incomplete + data if self.incomplete else data
        after_lf, after_crlf = data.rfind(b"\n\n"), data.rfind(b"\r\n\r\n")
        end = max(after_lf + 2 if after_lf >= 0 else 0, after_crlf + 4 if after_crlf >= 0 else 0)
        events, self.incomplete = data[:end], data[end:]
        if events:
            first = None if self.joined else EVENT_ID.search(events)
            if first is not None:
                if self.last_id is not None and int(first[1]) != self.last_id + 1:
                    raise ValueError(f"the new run begins at {int(first[1])}, after {self.last_id}")
                self.joined = True
            last_line = events.rfind(b"\nid:")
            tail = events[last_line + 1 :] if last_line >= 0 else events
            number = EVENT_ID.match(tail) or EVENT_ID.search(events)
            if number is not None:
                self.last_id = int(number[1])
        return events
