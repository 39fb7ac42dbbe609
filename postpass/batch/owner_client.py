"""A scheduler's requests to the owners of partitions."""

from __future__ import annotations

from dataclasses import dataclass, field

from result import Err, Ok

from postpass.configuration.settings import Settings
from postpass.feed.configuration_view import ConfigurationView
from postpass.rpc.codec import Body, PeerResponse
from postpass.rpc.peer_links import PeerLinks
from postpass.runtime.errors import CLASH, MOVED, Fault

ASKED_AT_MOST = 2  # machines that one request goes to


@dataclass(eq=False)
class OwnerClient:
    """Asks the owner of a partition, as far as it is known; `owners` is a guess that each answer corrects."""

    settings: Settings
    configuration_view: ConfigurationView
    peer_links: PeerLinks
    owners: dict[int, str] = field(default_factory=dict)  # partition -> name of the machine that is asked first

    async def ask(self, partition: int, verb: str, body: Body, wait: float) -> PeerResponse:
        """Asks once, and follows one hint; who wants more asks again.

        `wait` is the longest that a machine is waited for, in seconds. Fails with the fault of the last machine asked.
        """
        order = self.configuration_view.order(partition)
        name = self.owners.get(partition) or (order[0] if order else "")
        answer: PeerResponse = Err(Fault(verb, self.settings.name, "no owner known"))
        for _ in range(ASKED_AT_MOST):
            address = self.configuration_view.addr(name)
            if not address:
                self.owners.pop(partition, None)
                return answer
            answer = await self.peer_links.request(address, verb, body | {"part": partition}, wait)
            if isinstance(answer, Ok):
                self.owners[partition] = name
                return answer
            fault = answer.unwrap_err()
            if fault.code == MOVED and fault.hint and fault.hint != name:
                name = fault.hint
                continue
            if fault.code != CLASH and order:
                place = order.index(name) if name in order else -1
                self.owners[partition] = order[(place + 1) % len(order)]
            return answer
        return answer
