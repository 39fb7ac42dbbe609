"""A switch for each mechanism that decides where requests and items go, so that its benefit can be measured."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RoutingOptions:
    """Options of routing. Production uses the defaults; other values are for the emulator's comparisons and for tests.

    :ivar prefix_homes: number of workers (homes) that requests with the same long prefix prefer; 0 if prefixes have none.
    :ivar home_patience: how many more prompt tokens a home may have to process than the least busy worker, as a multiple of
        the tokens of the prefix.
    :ivar home_overflow: how far a home may be used beyond its slots, as a fraction of them.
    :ivar shared_load: whether the requests of other edges and of the scheduler at a worker count as its load.
    :ivar unread_tokens: whether, among workers with free slots, the one with the fewest prompt tokens to process is chosen.
    :ivar crowded: fraction of a worker's slots up to which the number of used slots makes no difference to the choice.
    :ivar sampled: number of workers that are sampled at random and compared.
    :ivar health: whether workers that failed or were full lately are avoided.
    :ivar shared_health: whether workers are avoided that lately failed for most of the other edges that used them.
    :ivar lag: whether, among equally loaded workers, the one that responded faster lately is chosen.
    :ivar spread_items: whether items go to the workers with the most free slots, instead of filling one worker after another.
    :ivar overdue_last: whether items that can't be done in time any more wait until those that can have been served.
    :ivar fair_items: whether, if not all items can be done in time, those of the client that asks for the most wait.
    :ivar live_reserve: fraction of all slots that items leave free for live requests.
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
