"""What must hold of a process after a crowd: no time and no share of served requests is judged."""

from __future__ import annotations

from tests.crowds.clients import ordinary_request
from tests.crowds.deployment import FRONT_PORT, MAX_FDS, RAM_MB, Machine


def assert_within_limits(machine: Machine) -> None:
    """The process lives, and has kept to the memory and the descriptors that its own settings state."""
    assert machine.alive(), f"{machine.name} ended: {machine.log()[-2000:]}"
    peak_mb = machine.peak_mb()
    assert peak_mb <= RAM_MB, f"{machine.name} took {peak_mb:.0f} MB; its settings allow {RAM_MB}"
    assert machine.peak_descriptors <= MAX_FDS, f"{machine.name} had {machine.peak_descriptors} descriptors open"


def assert_serves(edge: Machine) -> None:
    """The edge keeps to its limits, and then answers one ordinary request."""
    assert_within_limits(edge)
    answer = ordinary_request(f"{edge.ip}:{FRONT_PORT}", 1)
    assert answer.status == 200, f"an ordinary request got {answer.status} afterwards"
    assert_within_limits(edge)
