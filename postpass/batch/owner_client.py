"""A scheduler's requests to the owners of partitions."""

from __future__ import annotations

from dataclasses import dataclass, field

from result import Err, Ok

from postpass.configuration.settings import Settings
from postpass.feed.configuration_view import ConfigurationView
from postpass.rpc.codec import Body, PeerResponse
from postpass.rpc.peer_links import PeerLinks
from postpass.runtime.errors import CONFLICT, NOT_RESPONSIBLE, Fault

MAX_MACHINES_ASKED = 2  # the machine assumed to be the owner, and the one that it names


@dataclass(eq=False)
class OwnerClient:
    """Sends requests to the owners of partitions; `owners` is a guess that each response corrects."""

    settings: Settings
    configuration_view: ConfigurationView
    peer_links: PeerLinks
    owners: dict[int, str] = field(default_factory=dict)  # partition -> machine to ask first

    async def ask(self, partition: int, verb: str, body: Body, wait: float) -> PeerResponse:
        """Sends one request, and follows one hint to another machine; further retries are left to the users of this.

        `wait` is the time limit for each machine, in seconds. Fails with the fault of the last machine asked.
        """
        order = self.configuration_view.order(partition)
        name = self.owners.get(partition) or (order[0] if order else "")
        answer: PeerResponse = Err(Fault(verb, self.settings.name, "no owner known"))
        for _ in range(MAX_MACHINES_ASKED):
            address = self.configuration_view.addr(name)
            if not address:
                self.owners.pop(partition, None)
                return answer
            answer = await self.peer_links.request(address, verb, body | {"part": partition}, wait)
            if isinstance(answer, Ok):
                self.owners[partition] = name
                return answer
            fault = answer.unwrap_err()
            if fault.code == NOT_RESPONSIBLE and fault.hint and fault.hint != name:
                name = fault.hint
                continue
            if fault.code != CONFLICT and order:
                position = order.index(name) if name in order else -1
                self.owners[partition] = order[(position + 1) % len(order)]
            return answer
        return answer
