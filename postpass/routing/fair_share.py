"""In which order items of jobs are served where several clients hand in more than can be done in time.

By due time alone, one client's crowd of items makes those of all clients late. While everything that waits can be done in
time, the order is that of `serving_order`. Where it can't, items are put behind until the rest can: each time one of the
client that has the most tokens among the rest. Clients that lose nothing this way are served first, nearest due first, the
others by turns. So a client that asks for no more than its equal share loses nothing to one that asks for more, and what it
leaves goes to the others.
"""

from __future__ import annotations

import heapq
from bisect import bisect_left
from collections import defaultdict
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple, TypeVar

from postpass.routing.item_order import interleaved, serving_order
from postpass.routing.options import DEFAULT_OPTIONS, RoutingOptions

Entry = TypeVar("Entry")


class Demand(NamedTuple):
    """What an entry of a queue asks for; it is an item, or all waiting items of a job.

    `due` is in seconds of the clock that all entries go by.
    """

    due: float
    client: str
    items: int
    tokens: int


@dataclass(eq=False)
class SharedQueue:
    """What is to be done in time, by number in the order of adding, and how much of it each client asks for.

    Invariant: `heap` holds for each client that has entries its tokens and its last entry as they are now; what else is
    there is older, and passed over.
    """

    demands: dict[int, Demand] = field(default_factory=dict)  # by number
    of_client: defaultdict[str, list[int]] = field(default_factory=lambda: defaultdict(list))
    tokens: defaultdict[str, int] = field(default_factory=lambda: defaultdict(int))  # by client
    items: int = 0
    heap: list[tuple[int, int, str]] = field(default_factory=list)  # (-tokens, -number of the last entry, client)

    def add(self, number: int, demand: Demand) -> None:
        """Takes an entry; its number is higher than those before."""
        self.demands[number] = demand
        self.of_client[demand.client].append(number)
        self._count(demand.client, demand.items, demand.tokens)

    def drop_from_largest(self) -> int:
        """Gives up the last entry of the client that has the most tokens; of several, the one added last. Its number."""
        while True:
            tokens, last, client = heapq.heappop(self.heap)
            own = self.of_client[client]
            if own and (-tokens, -last) == (self.tokens[client], own[-1]):
                break
        number = own.pop()
        demand = self.demands.pop(number)
        self._count(client, -demand.items, -demand.tokens)
        return number

    def _count(self, client: str, items: int, tokens: int) -> None:
        self.items += items
        self.tokens[client] += tokens
        if self.of_client[client]:
            heapq.heappush(self.heap, (-self.tokens[client], -self.of_client[client][-1], client))


def within_shares(demands: Sequence[Demand], earliest: float, rate: float) -> tuple[list[int], list[int]]:
    """Which of some entries, sorted by their due times, can be done in time one after the other, and which are put behind.

    `earliest`: the first due time that can be met by an item which starts now; `rate`: how many items start in a second,
    0 if that is not known. Nothing is put behind for a single client.
    """
    if rate <= 0 or has_single_client(demands):
        return list(range(len(demands))), []
    queue, behind = SharedQueue(), set[int]()
    for number, demand in enumerate(demands):
        queue.add(number, demand)
        while queue.demands and earliest + (queue.items - 1) / rate > demand.due:
            behind.add(queue.drop_from_largest())
    return list(queue.demands), sorted(behind)


def has_single_client(demands: Sequence[Demand]) -> bool:
    """Is there no client, or one alone?"""
    return all(demand.client == demands[0].client for demand in demands)


def in_turns(numbers: Sequence[int], demands: Sequence[Demand]) -> list[int]:
    """Some of the entries in an order in which clients take turns by tokens; each client's own keep their order."""
    begun: defaultdict[str, int] = defaultdict(int)  # by client: tokens of the entries before
    ranks = []
    for number in numbers:
        client = demands[number].client
        ranks.append((begun[client], number))
        begun[client] += demands[number].tokens
    return [number for _, number in sorted(ranks)]


def fair_serving_order(
    entries: Sequence[Entry],
    demand: Callable[[Entry], Demand],
    earliest: float,
    rate: float,
    options: RoutingOptions = DEFAULT_OPTIONS,
) -> list[Entry]:
    """Entries that are sorted by their due times, in the order in which they are to be served.

    `earliest` and `rate` as for `within_shares`. Entries of a single client are served in `serving_order`.
    """
    demands = [demand(entry) for entry in entries]
    numbers = range(len(entries))
    if not (options.fair_items and options.overdue_last) or has_single_client(demands):
        served = serving_order(numbers, lambda number: demands[number].due, earliest, options)
    else:
        served = order_by_shares(demands, earliest, rate)
    return [entries[number] for number in served]


def order_by_shares(demands: Sequence[Demand], earliest: float, rate: float) -> list[int]:
    """The entries of several clients in the order in which they are to be served."""
    first_in_time = bisect_left(demands, earliest, key=lambda demand: demand.due)
    kept, behind = within_shares(demands[first_in_time:], earliest, rate)
    kept, behind = ([number + first_in_time for number in some] for some in (kept, behind))
    above = {demands[number].client for number in behind}
    # Who asks for no more than its share is served at once: waiting for the due time would leave the last moments before
    # it to be shared with those who had all the time until then.
    first = [number for number in kept if demands[number].client not in above]
    then = [number for number in kept if demands[number].client in above]
    in_time = first + in_turns(then, demands) + in_turns(behind, demands)
    return interleaved(in_time, in_turns(range(first_in_time), demands))
