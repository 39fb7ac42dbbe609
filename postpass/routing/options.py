"""Every mechanism that decides where work goes, with a switch each, so that what it is worth can be measured."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RoutingOptions:
    """The defaults are what the product does; one that differs is for the emulator's comparisons and the tests.

    :ivar prefix_homes: how many workers requests with the same long prefix go to; 0: they have none.
    :ivar home_patience: a home may have more prompt tokens to read than the least busy worker, up to so many times those of
        the prefix.
    :ivar home_overflow: a home may be used beyond its slots by this part of them.
    :ivar shared_load: what the other edges and the scheduler have at a worker counts as load.
    :ivar unread_tokens: among workers with free slots, the one with the fewest prompt tokens to read is taken.
    :ivar crowded: the part of its slots up to which a worker's free slots are no reason to prefer another one.
    :ivar sampled: how many workers at random are compared.
    :ivar health: workers that failed or were full lately are left alone.
    :ivar shared_health: workers that failed most of the others that tried them lately are left alone.
    :ivar lag: among equals, the worker that answered faster lately is taken.
    :ivar spread_items: items go to the workers with the most room, instead of filling one after the other.
    :ivar overdue_last: items that can't be done in time any more wait behind those that can.
    :ivar fair_items: where not all items can be done in time, those of the client that asks for the most wait.
    :ivar live_reserve: the part of all slots that items leave free.
    """

    prefix_homes: int = 2
    home_patience: float = 2.0
    home_overflow: float = 0.25
    shared_load: bool = True
    unread_tokens: bool = True
    crowded: float = 0.8
    sampled: int = 2
    health: bool = True
    shared_health: bool = True
    lag: bool = True
    spread_items: bool = True
    overdue_last: bool = True
    fair_items: bool = True
    live_reserve: float = 1 / 10


DEFAULT_OPTIONS = RoutingOptions()
