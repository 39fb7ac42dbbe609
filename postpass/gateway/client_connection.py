"""The ASGI connection of one request, which receives its events and sends its response."""

from __future__ import annotations

from dataclasses import dataclass

from starlette.responses import Response
from starlette.types import Receive, Scope, Send


@dataclass(frozen=True, slots=True)
class ClientConnection:
    """The connection to the client of one request."""

    scope: Scope
    receive: Receive
    send: Send

    async def respond(self, response: Response) -> None:
        """Sends a complete response."""
        await response(self.scope, self.receive, self.send)

    async def start(self, status: int, headers: list[tuple[bytes, bytes]]) -> None:
        """Sends the head of a response."""
        await self.send({"type": "http.response.start", "status": status, "headers": headers})

    async def end(self, data: bytes) -> None:
        """Sends the last part of a response's body."""
        await self.send({"type": "http.response.body", "body": data, "more_body": False})

    async def wait_for_disconnect(self) -> None:
        """Returns once the client has disconnected. Discards other events."""
        while (await self.receive())["type"] != "http.disconnect":
            pass
