"""The connections of a process to its peers: one for each address, opened when it is first used."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from result import Err, Ok, Result

from postpass.rpc.codec import Body, PeerResponse
from postpass.rpc.connection import Link
from postpass.runtime.errors import Fault


@dataclass(eq=False)
class PeerLinks:
    """The links of one process. Invariant: it uses at most one open link to an address.

    Attributes:
        links: the links that were opened, by address; a closed one is replaced when it is next used.
        opening: tasks that open links, by address, shared by all requests that wait for the link.
    """

    links: dict[str, Link] = field(default_factory=dict)
    opening: dict[str, asyncio.Task[Result[Link, Fault]]] = field(default_factory=dict)

    async def link(self, address: str, limit: float) -> Result[Link, Fault]:
        """Returns an open link to an address, within at most `limit` seconds; a fault is always `unsent`.

        When the time limit passes, the attempt to open the link goes on for others that wait for it.
        """
        link = self.links.get(address)
        if link is not None and not link.closed:
            return Ok(link)
        task = self.opening.get(address)
        if task is None or task.done():
            task = asyncio.create_task(self._open(address, limit))
            self.opening[address] = task
        try:
            opened = await asyncio.wait_for(asyncio.shield(task), limit)
        except TimeoutError:
            return Err(Fault("connect", address, "no answer in time", unsent=True))
        self.opening.pop(address, None)
        return opened

    async def _open(self, address: str, limit: float) -> Result[Link, Fault]:
        """Opens a link and stores it for the next request, even if the request that needed it has timed out.

        Opening takes up to twice `limit` (connection and handshake). A link without a reference would stay open until
        the garbage collector found it, at a moment that differs from run to run.
        """
        opened = await Link.open(address, limit)
        if isinstance(opened, Ok):
            current = self.links.get(address)
            if current is None or current.closed:
                self.links[address] = opened.unwrap()
        return opened

    async def request(self, address: str, verb: str, body: Body, limit: float) -> PeerResponse:
        """Sends a request, named by its verb, to an address and returns the response.

        `limit`, in seconds, applies first to the opening of the link, and then to the response. Faults are those of
        `link` and of `Link.request`.
        """
        opened = await self.link(address, limit)
        if isinstance(opened, Err):
            return opened
        return await opened.unwrap().request(verb, body, limit)

    def drop(self, address: str) -> None:
        """Closes the link to an address, if there is one."""
        link = self.links.pop(address, None)
        if link is not None:
            link.close()

    def close(self) -> None:
        """Closes all links."""
        for address in list(self.links):
            self.drop(address)
