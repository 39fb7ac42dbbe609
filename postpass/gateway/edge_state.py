"""What the parts of an edge share: its view of the fleet, admission, the way to owners, and metrics."""

from __future__ import annotations

from collections import Counter as Counts
from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from result import Err, Ok, Result
from starlette.responses import JSONResponse

from postpass.configuration.configuration import Class, Configuration, partition_of
from postpass.configuration.settings import Settings
from postpass.feed.configuration_view import ConfigurationView
from postpass.gateway.admission_control import AdmissionControl
from postpass.gateway.attempts import RetryBudget
from postpass.gateway.http_errors import fault_response
from postpass.gateway.owner_client import OwnerClient
from postpass.gateway.worker_load import WorkerLoad
from postpass.rpc.peer_links import PeerLinks
from postpass.runtime import log_events
from postpass.runtime.environment import Environment, now
from postpass.runtime.errors import Fault
from postpass.runtime.log_events import Event

if TYPE_CHECKING:
    import aiohttp

REMEMBERED_JOBS = 4000
UNKNOWN = 504  # the status of an answer that promises nothing


class AcceptedJob(NamedTuple):
    """A job whose client was told that it is kept, and when, in seconds of the loop's clock."""

    job_id: str
    accepted_at: float


@dataclass(eq=False)
class EdgeState:
    """State of the edge duty of one process. Owner: `Gateway`, which also wires the HTTP routes."""

    settings: Settings
    environment: Environment
    configuration_view: ConfigurationView
    peer_links: PeerLinks
    worker_load: WorkerLoad
    session: aiohttp.ClientSession
    registry: CollectorRegistry
    retry_budget: RetryBudget = field(default_factory=RetryBudget)
    # Should more stores be lost than is tolerated, the names of the newest jobs are not lost with them.
    accepted_jobs: deque[AcceptedJob] = field(default_factory=lambda: deque(maxlen=REMEMBERED_JOBS))
    # Jobs that got no acknowledgement since the start, though no bound of the client's was reached; by partition.
    unkept_jobs: Counts[int] = field(default_factory=Counts)

    def __post_init__(self) -> None:
        self.admission = AdmissionControl(self.settings, self.configuration_view, self.worker_load)
        self.owners = OwnerClient(self.settings, self.environment, self.configuration_view, self.peer_links)
        registry, admission = self.registry, self.admission
        self.requests_total = Counter("postpass_calls", "Calls by class and end", ["kind", "end"], registry=registry)
        self.first_piece_seconds = Histogram(
            "postpass_first_piece_seconds", "Time to the first piece", ["kind"], registry=registry
        )
        self.jobs_total = Counter("postpass_lots", "Lots handed in, by answer", ["end"], registry=registry)
        self.unkept_total = Counter(
            "postpass_lots_not_kept", "Lots without an acknowledgement, by partition and cause", ["partition", "cause"],
            registry=registry,
        )  # fmt: skip
        Gauge("postpass_backlog", "Calls waiting for a seat", registry=registry).set_function(
            lambda: sum(queue.size for queue in admission.queues.values())
        )
        Gauge("postpass_open_calls", "Calls under way", registry=registry).set_function(admission.in_flight.total)

    @property
    def configuration(self) -> Configuration:
        """The configuration in force here; there must be one (see `unready`)."""
        assert self.configuration_view.manifest is not None
        return self.configuration_view.manifest

    @property
    def leaving(self) -> bool:
        """Does this edge take nothing new?"""
        return self.admission.leaving

    def leave(self) -> None:
        """From now on clients are told to use another edge."""
        self.admission.leaving = True

    def unready(self) -> JSONResponse | None:
        """The answer to a client while this edge doesn't know the configuration in force; None once it does."""
        name = self.settings.name
        if self.configuration_view.manifest is None:
            return fault_response(Fault("let in", name, "no manifest yet", hint="another edge"), 503)
        if not self.configuration_view.fresh:
            return fault_response(Fault("let in", name, "no fresh news yet", hint="another edge"), 503)
        return None

    def find_class(self, class_name: str, kind: str) -> Result[Class, JSONResponse]:
        """The request class of a name; the error is the answer to the client. `kind`: which one the class must be."""
        request_class = self.configuration["classes"].get(class_name)
        if request_class is not None and request_class["kind"] == kind:
            return Ok(request_class)
        known = ", ".join(n for n, c in self.configuration["classes"].items() if c["kind"] == kind)
        why = f"class: unknown {kind} class {class_name!r:.40}; known are {known}"
        return Err(fault_response(Fault("read body", self.settings.name, why), 400))

    def remember_job(self, job_id: str) -> None:
        """The client was just told that its job is kept."""
        self.accepted_jobs.append(AcceptedJob(job_id, now()))

    def note_unkept(self, job_id: str, fault: Fault, status: int) -> None:
        """A client was just told that its job is not kept, or that this is not known, for a fault of the fleet's."""
        number = self.to_partition(job_id)
        cause = "unknown" if status == UNKNOWN else "refused"
        self.unkept_total.labels(str(number), cause).inc()
        self.unkept_jobs[number] += 1
        log_events.emit(
            Event.JOB_NOT_KEPT, self.settings.name, id=job_id, part=number, status=status, step=fault.step, asked=fault.peer,
            why=fault.why,
        )  # fmt: skip

    def remembered_jobs(self, partition: int) -> list[str]:
        """Jobs of a partition that were accepted so lately that none of them can have left by the retention."""
        oldest = now() - self.configuration.get("retention", 3600.0)
        parts = self.configuration["parts"]
        return [
            j.job_id
            for j in self.accepted_jobs
            if j.accepted_at > oldest and partition_of(j.job_id, parts) == partition
        ]

    def to_partition(self, name: str) -> int:
        """The partition that a job's id or a request's key falls to."""
        return partition_of(name, self.configuration["parts"])
