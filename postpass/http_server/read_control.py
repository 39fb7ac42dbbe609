"""Decides whether a connection is read: two parties may pause it independently of each other."""

from __future__ import annotations

import asyncio

from uvicorn.protocols.http.flow_control import FlowControl


class ReadControl(FlowControl):
    """uvicorn's flow control, with a second reason to pause reading: received bytes that aren't parsed yet.

    Invariant: the transport reads unless uvicorn has paused it (`paused_by_server`) or some bytes that it received aren't parsed (`has_unparsed`).
    """

    def __init__(self, transport: asyncio.Transport) -> None:
        super().__init__(transport)
        self.paused_by_server = False
        self.has_unparsed = False

    def pause_reading(self) -> None:
        """Pauses reading, for uvicorn."""
        self.paused_by_server = True
        self._apply()

    def resume_reading(self) -> None:
        """Resumes reading for uvicorn, unless received bytes wait to be parsed."""
        self.paused_by_server = False
        self._apply()

    def set_unparsed(self, has_unparsed: bool) -> None:
        """Pauses reading while there are received bytes that aren't parsed."""
        self.has_unparsed = has_unparsed
        self._apply()

    def _apply(self) -> None:
        pause = self.paused_by_server or self.has_unparsed
        if pause == self.read_paused:
            return
        self.read_paused = pause
        if pause:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()
