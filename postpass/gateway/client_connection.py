"""The ASGI connection of one request: where its events come from and its answer goes to."""

from __future__ import annotations

from dataclasses import dataclass

from starlette.responses import Response
from starlette.types import Receive, Scope, Send


@dataclass(frozen=True, slots=True)
class ClientConnection:
    """A client's side of one request."""

    scope: Scope
    receive: Receive
    send: Send

    async def respond(self, response: Response) -> None:
        """Sends a whole answer."""
        await response(self.scope, self.receive, self.send)

    async def start(self, status: int, headers: list[tuple[bytes, bytes]]) -> None:
        """Sends the head of an answer."""
        await self.send({"type": "http.response.start", "status": status, "headers": headers})

    async def end(self, data: bytes) -> None:
        """Sends the last part of an answer's body."""
        await self.send({"type": "http.response.body", "body": data, "more_body": False})

    async def wait_for_disconnect(self) -> None:
        """Returns once the client has gone."""
        while (await self.receive())["type"] != "http.disconnect":
            pass
