"""Tests of the memory budget: who makes room, and what always fits."""

from __future__ import annotations

from dataclasses import dataclass, field

from postpass.http_server.memory_budget import LARGE_BYTES, MemoryBudget, MemoryUsage

CAPACITY = LARGE_BYTES * 16


@dataclass
class Connections:
    """Connections by name, and which of them were evicted, in order."""

    budget: MemoryBudget = field(default_factory=lambda: MemoryBudget(lambda: CAPACITY))
    usages: dict[str, MemoryUsage] = field(default_factory=dict)
    evicted: list[str] = field(default_factory=list)
    kept_bytes: int = 0

    def usage(self, name: str) -> MemoryUsage:
        def evict() -> int:
            self.evicted.append(name)
            return self.kept_bytes

        return self.usages.setdefault(name, MemoryUsage(evict))

    def receive(self, name: str, size: int) -> bool:
        self.budget.mark_evictable(self.usage(name))
        return self.budget.take(self.usage(name), size)

    def check(self) -> None:
        assert self.budget.used == sum(usage.size for usage in self.usages.values())
        assert self.budget.large_used == sum(usage.size for usage in self.usages.values() if usage.is_large)


def test_the_connection_that_received_nothing_for_longest_makes_room() -> None:
    connections = Connections()
    for name in "abcd":
        assert connections.receive(name, LARGE_BYTES * 3)
    assert connections.receive("a", 1)
    assert connections.receive("e", LARGE_BYTES * 2)
    assert connections.evicted == ["b"]
    connections.check()


def test_a_complete_request_makes_no_room() -> None:
    connections = Connections()
    assert connections.receive("a", LARGE_BYTES * 8)
    connections.budget.mark_complete(connections.usage("a"))
    assert not connections.receive("b", LARGE_BYTES * 8)
    assert connections.evicted == []
    connections.check()


def test_small_requests_fit_beside_large_ones_that_are_handled() -> None:
    connections = Connections()
    for name in "abc":
        assert connections.receive(name, LARGE_BYTES * 4)
        connections.budget.mark_complete(connections.usage(name))
    assert not connections.receive("d", LARGE_BYTES + 1)
    connections.budget.release(connections.usage("d"), LARGE_BYTES + 1)
    assert connections.receive("e", LARGE_BYTES)
    connections.check()


def test_what_an_evicted_connection_goes_on_with_stays_accounted_for() -> None:
    connections = Connections(kept_bytes=LARGE_BYTES * 4)
    assert connections.receive("a", LARGE_BYTES * 10)
    assert connections.receive("b", LARGE_BYTES * 6)
    assert connections.evicted == ["a"] and connections.usage("a").size == LARGE_BYTES * 4
    connections.check()


def test_all_that_is_released_is_free_again() -> None:
    connections = Connections()
    for name in "ab":
        assert connections.receive(name, LARGE_BYTES * 2)
    for name in "ab":
        connections.budget.release(connections.usage(name), LARGE_BYTES * 2)
        connections.budget.mark_complete(connections.usage(name))
    assert (connections.budget.used, connections.budget.large_used, connections.budget.evictable) == (0, 0, {})
