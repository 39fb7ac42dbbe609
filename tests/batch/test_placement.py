"""Which items go first, and which pool an item goes to."""

from __future__ import annotations

from collections import Counter

from postpass.batch.leased_items import LeasedItem
from postpass.batch.placement import fair_order, prompt_prefix, weighted_pool
from postpass.configuration.header_names import Dialect
from postpass.worker_api.openai import Prompt


def item(job: str, number: int, due: float, client: str) -> LeasedItem:
    return LeasedItem(0, job, number, "lot", due, Prompt((), ""), client)


def test_items_due_in_the_same_second_take_turns_by_client() -> None:
    items = [item("x", n, 5.2, "greedy") for n in range(3)] + [item("y", 0, 5.4, "other"), item("z", 0, 4.9, "other")]
    assert [(i.job, i.item) for i in fair_order(items)] == [("z", 0), ("x", 0), ("x", 1), ("y", 0), ("x", 2)]


def test_a_pool_is_chosen_by_weight_and_always_the_same_for_a_key() -> None:
    split = [("a", 3), ("b", 1), ("c", 0)]
    chosen = [weighted_pool(f"i{n}", split) for n in range(400)]
    assert chosen == [weighted_pool(f"i{n}", split) for n in range(400)]
    counts = Counter(chosen)
    assert set(counts) == {"a", "b"} and 250 < counts["a"] < 350


def test_the_first_part_of_a_prompt_is_its_prefix() -> None:
    name = Dialect().prompt
    assert prompt_prefix({name.upper(): "p1:40,p2:9"}, Dialect()) == "p1"
    assert prompt_prefix({name: "p1:40"}, Dialect()) == "" == prompt_prefix({}, Dialect())
