"""Connections to all the peers of a process: one to an address, opened when it is first wanted."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from result import Err, Ok, Result

from postpass.rpc.codec import Body, PeerResponse
from postpass.rpc.connection import Link
from postpass.runtime.errors import Fault


@dataclass(eq=False)
class PeerLinks:
    """The links of one process, by the address of the peer. Invariant: at most one open link to an address.

    Attributes:
        links: links that were opened; one that is closed is replaced when it is next wanted.
        opening: links that are being opened, shared by all who want them.
    """

    links: dict[str, Link] = field(default_factory=dict)
    opening: dict[str, asyncio.Task[Result[Link, Fault]]] = field(default_factory=dict)

    async def link(self, address: str, limit: float) -> Result[Link, Fault]:
        """An open link to an address, after at most `limit` seconds; the fault is always `unsent`.

        Who runs into its limit leaves the attempt running for the others that wait for it.
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
        """Opens a link and keeps it for the next request, even if whoever asked for it has given up.

        Opening takes up to twice `limit`. A link that nobody held would live until the garbage collector found it, a
        moment that differs from run to run.
        """
        opened = await Link.open(address, limit)
        if isinstance(opened, Ok):
            present = self.links.get(address)
            if present is None or present.closed:
                self.links[address] = opened.unwrap()
        return opened

    async def request(self, address: str, name: str, body: Body, limit: float) -> PeerResponse:
        """Sends a request to an address; `limit`, in seconds, holds for the link and then for the response. Faults are
        those of `link` and of `Link.request`."""
        opened = await self.link(address, limit)
        if isinstance(opened, Err):
            return opened
        return await opened.unwrap().request(name, body, limit)

    def drop(self, address: str) -> None:
        """Closes the link to an address, if there is one."""
        link = self.links.pop(address, None)
        if link is not None:
            link.close()

    def close(self) -> None:
        """Closes all links."""
        for address in list(self.links):
            self.drop(address)
