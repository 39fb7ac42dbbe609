"""Plug-ins in a whole fleet: the example package is used; a missing one is refused; a broken one harms no call."""

from __future__ import annotations
