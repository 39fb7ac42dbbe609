"""The size to design for, with the bounds that hold there."""

from __future__ import annotations

from dataclasses import dataclass

DAY = 86400  # seconds


@dataclass(frozen=True)
class Target:
    """The size to design for. Invariant: rates are of the peak, a second; counts are of the whole fleet."""

    daemons: int = 360
    workers: int = 690
    models: int = 12
    routes: int = 600  # not told: tenants share routes by their hosts; taken as a tenth of the 6,400
    requests: float = 5700.0
    tokens: float = 2.6e6
    items: float = 170e6 / DAY
    lots: float = 30000 / DAY
    longest_lot: int = 700_000
    changes: float = 1400 / DAY
    cpu: float = 0.02  # of a core that control may cost a daemon
    memory: float = 128e6  # bytes
    traffic: float = 3000.0  # bytes a second that control may cost a daemon
    in_force: float = 18.0  # seconds until an operator's change is in force
