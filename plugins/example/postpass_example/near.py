"""Places a class in the caller's own area as long as a server there has room; else where load is least."""

from __future__ import annotations

from postpass.worker_api.plugins import Ask, Seat


def near(ask: Ask, seats: tuple[Seat, ...]) -> str:
    here = [s for s in seats if s.zone == ask.zone]
    return min(here or seats, key=lambda s: (s.load / s.slots, s.name)).name
