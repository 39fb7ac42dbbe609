"""The order in which items of jobs are served when several clients submit more than can be done in time.

By due time alone, one client's burst of items would make those of all clients late. While everything that waits can be
done in time, the order is that of `serving_order`. Otherwise items are postponed until the rest can be done in time: each
time, the item is one of the client that has the most tokens among the rest. Clients that have nothing postponed are served
first, by due time; the others take turns. So a client that asks for no more than its equal share loses nothing to one that
asks for more, and the capacity that it doesn't use goes to the others.
"""

from __future__ import annotations

import heapq
from bisect import bisect_left
from collections import defaultdict
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple, TypeVar

from postpass.routing.item_order import interleave_overdue, serving_order
from postpass.routing.options import DEFAULT_OPTIONS, RoutingOptions

Entry = TypeVar("Entry")


class Demand(NamedTuple):
    """What an entry of a queue asks for. An entry is an item, or all waiting items of a job.

    `due` is the time by which the entry should be done, in seconds of a clock that all entries share.
    """

    due: float
    client: str
    items: int
    tokens: int


@dataclass(eq=False)
class SharedQueue:
    """The entries that are to be done in time, by their numbers in the order of adding, with the totals of each client.

    Invariant: for each client that has entries, `heap` contains an element with its present number of tokens and its last
    entry. All other elements are out of date and are skipped when they are popped.
    """

    demands: dict[int, Demand] = field(default_factory=dict)  # by number
    numbers_by_client: defaultdict[str, list[int]] = field(default_factory=lambda: defaultdict(list))
    tokens: defaultdict[str, int] = field(default_factory=lambda: defaultdict(int))  # by client
    items: int = 0
    heap: list[tuple[int, int, str]] = field(default_factory=list)  # (-tokens, -number of the last entry, client)

    def add(self, number: int, demand: Demand) -> None:
        """Adds an entry; its number must be higher than those of all entries added before."""
        self.demands[number] = demand
        self.numbers_by_client[demand.client].append(number)
        self._update_totals(demand.client, demand.items, demand.tokens)

    def drop_from_largest(self) -> int:
        """Removes the last entry of the client that has the most tokens, and returns the entry's number.

        If several clients have equally many tokens, the one whose last entry was added last is taken.
        """
        while True:
            tokens, last_number, client = heapq.heappop(self.heap)
            client_numbers = self.numbers_by_client[client]
            if client_numbers and (-tokens, -last_number) == (self.tokens[client], client_numbers[-1]):
                break
        number = client_numbers.pop()
        demand = self.demands.pop(number)
        self._update_totals(client, -demand.items, -demand.tokens)
        return number

    def _update_totals(self, client: str, items: int, tokens: int) -> None:
        """Adds to the totals, by negative numbers when an entry was removed, and pushes the client's present element."""
        self.items += items
        self.tokens[client] += tokens
        if self.numbers_by_client[client]:
            heapq.heappush(self.heap, (-self.tokens[client], -self.numbers_by_client[client][-1], client))


def split_by_fair_share(demands: Sequence[Demand], earliest: float, rate: float) -> tuple[list[int], list[int]]:
    """Splits entries, sorted by their due times, into those that can be done in time in this order and those to postpone.

    Returns the positions of both. `earliest` is the earliest due time that an item which starts now can still meet; `rate`
    is the number of items that start in a second, 0 if it is not known. Nothing is postponed if the rate is unknown or if
    there is only a single client.
    """
    if rate <= 0 or has_single_client(demands):
        return list(range(len(demands))), []
    queue, postponed = SharedQueue(), set[int]()
    for number, demand in enumerate(demands):
        queue.add(number, demand)
        while queue.demands and earliest + (queue.items - 1) / rate > demand.due:
            postponed.add(queue.drop_from_largest())
    return list(queue.demands), sorted(postponed)


def has_single_client(demands: Sequence[Demand]) -> bool:
    """Returns whether all entries are of one client; this is also true if there are no entries."""
    return all(demand.client == demands[0].client for demand in demands)


def order_by_turns(numbers: Sequence[int], demands: Sequence[Demand]) -> list[int]:
    """Orders the entries at the positions `numbers` so that clients take turns, measured in tokens.

    Entries of the same client keep their order.
    """
    tokens_before: defaultdict[str, int] = defaultdict(int)  # by client: tokens of its entries that come earlier
    ranks = []
    for number in numbers:
        client = demands[number].client
        ranks.append((tokens_before[client], number))
        tokens_before[client] += demands[number].tokens
    return [number for _, number in sorted(ranks)]


def fair_serving_order(
    entries: Sequence[Entry],
    demand: Callable[[Entry], Demand],
    earliest: float,
    rate: float,
    options: RoutingOptions = DEFAULT_OPTIONS,
) -> list[Entry]:
    """Returns entries, given sorted by their due times, in the order in which they are to be served.

    `earliest` and `rate` are those of `split_by_fair_share`. Entries of a single client are served in `serving_order`.
    """
    demands = [demand(entry) for entry in entries]
    numbers = range(len(entries))
    if not (options.fair_items and options.overdue_last) or has_single_client(demands):
        served = serving_order(numbers, lambda number: demands[number].due, earliest, options)
    else:
        served = order_by_shares(demands, earliest, rate)
    return [entries[number] for number in served]


def order_by_shares(demands: Sequence[Demand], earliest: float, rate: float) -> list[int]:
    """Returns the positions of the entries of several clients in the order in which they are to be served.

    The entries are sorted by their due times; `earliest` and `rate` are those of `split_by_fair_share`. Entries that can't
    be done in time any more are interleaved with the others (`interleave_overdue`).
    """
    first_not_overdue = bisect_left(demands, earliest, key=lambda demand: demand.due)
    timely, postponed = split_by_fair_share(demands[first_not_overdue:], earliest, rate)
    timely, postponed = ([number + first_not_overdue for number in group] for group in (timely, postponed))
    clients_over_share = {demands[number].client for number in postponed}
    # Clients that ask for no more than their share are served at once: if their entries waited until just before the due
    # time, they would have to share those last moments with clients that had all the time until then.
    within_share = [number for number in timely if demands[number].client not in clients_over_share]
    over_share = [number for number in timely if demands[number].client in clients_over_share]
    not_overdue = within_share + order_by_turns(over_share, demands) + order_by_turns(postponed, demands)
    return interleave_overdue(not_overdue, order_by_turns(range(first_not_overdue), demands))
