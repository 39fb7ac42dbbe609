"""Tests of the semaphore that counts bytes: order, more than there is, and waiting that is given up."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

import pytest

from postpass.runtime.byte_semaphore import ByteSemaphore

CAPACITY = 10


def run(main: Callable[[ByteSemaphore], Coroutine[Any, Any, None]]) -> None:
    async def world() -> None:
        semaphore = ByteSemaphore(CAPACITY)
        await main(semaphore)
        assert (semaphore.used, len(semaphore.waiting)) == (0, 0)

    asyncio.run(world())


def test_those_who_wait_have_their_turn_in_order() -> None:
    async def main(semaphore: ByteSemaphore) -> None:
        order: list[int] = []

        async def work(number: int, size: int) -> None:
            async with semaphore.taken(size):
                order.append(number)
                assert semaphore.used <= CAPACITY
                await asyncio.sleep(0)

        await asyncio.gather(*(work(number, size) for number, size in enumerate([6, 6, 2, 10, 1])))
        assert order == [0, 1, 2, 3, 4]

    run(main)


def test_more_than_there_is_takes_all_of_it() -> None:
    async def main(semaphore: ByteSemaphore) -> None:
        async with semaphore.taken(CAPACITY * 5):
            assert semaphore.used == CAPACITY

    run(main)


def test_waiting_that_is_given_up_lets_the_next_one_pass() -> None:
    async def main(semaphore: ByteSemaphore) -> None:
        first = await semaphore.acquire(8)
        large = asyncio.create_task(semaphore.acquire(9))
        small = asyncio.create_task(semaphore.acquire(2))
        await asyncio.sleep(0)
        assert not small.done()
        large.cancel()
        assert await small == 2
        semaphore.release(first)
        semaphore.release(2)

    run(main)


def test_what_was_granted_to_one_that_is_cancelled_is_free_again() -> None:
    async def main(semaphore: ByteSemaphore) -> None:
        first = await semaphore.acquire(CAPACITY)
        waiting = asyncio.create_task(semaphore.acquire(4))
        await asyncio.sleep(0)
        semaphore.release(first)
        waiting.cancel()
        await asyncio.gather(waiting, return_exceptions=True)

    run(main)


@pytest.mark.parametrize("released_between", [True, False])
def test_several_that_are_cancelled_at_once_end_as_cancelled(released_between: bool) -> None:
    """Guards against a job that is answered with 500 since its wait for memory ended together with another one's."""

    async def main(semaphore: ByteSemaphore) -> None:
        first = await semaphore.acquire(CAPACITY)
        waiting = [asyncio.create_task(semaphore.acquire(4)) for _ in range(3)]
        await asyncio.sleep(0)
        for task in waiting:
            task.cancel()
        if released_between:
            semaphore.release(first)
        results = await asyncio.gather(*waiting, return_exceptions=True)
        assert [type(result) for result in results] == [asyncio.CancelledError] * 3
        if not released_between:
            semaphore.release(first)

    run(main)
