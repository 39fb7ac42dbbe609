"""Tests of postpass.runtime.environment."""

from __future__ import annotations

import asyncio

from postpass.runtime.environment import Environment

LATE_S = 0.02  # seconds after an answer at which it comes a second time


async def answer_twice(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Answers each request of a connection with the request's path, and again a little later."""
    while head := await reader.readline():
        while await reader.readline() not in (b"\r\n", b""):
            pass
        path = head.split()[1]
        response = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(path), path)
        writer.write(response)
        asyncio.get_running_loop().call_later(LATE_S, writer.write, response)


def test_a_second_late_answer_is_not_taken_for_the_answer_to_the_next_request_of_a_session() -> None:
    # Issue 53: an answer that arrived while its connection was idle was handed to the next request.
    async def main() -> list[str]:
        server = await asyncio.start_server(answer_twice, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        answers = []
        async with Environment().session() as session:
            for number in range(4):
                async with session.get(f"http://127.0.0.1:{port}/{number}") as response:
                    answers.append(await response.text())
                await asyncio.sleep(3 * LATE_S)
        server.close()
        return answers

    assert asyncio.run(main()) == ["/0", "/1", "/2", "/3"]
