"""State that the parts of an edge share: its view of the fleet, admission, the client of owners, and metrics."""

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
OUTCOME_UNKNOWN_STATUS = 504  # HTTP status of a response that doesn't say whether the job was stored


class AcceptedJob(NamedTuple):
    """A job that was acknowledged to its client, and when that was, in seconds of the event loop's clock."""

    job_id: str
    accepted_at: float


@dataclass(eq=False)
class EdgeState:
    """State of the edge duty of one process. Owned by `Gateway`, a subclass, which adds the HTTP routes."""

    settings: Settings
    environment: Environment
    configuration_view: ConfigurationView
    peer_links: PeerLinks
    worker_load: WorkerLoad
    session: aiohttp.ClientSession
    registry: CollectorRegistry
    retry_budget: RetryBudget = field(default_factory=RetryBudget)
    # The newest jobs, so that their ids are still known if more stores are lost than the fleet tolerates.
    accepted_jobs: deque[AcceptedJob] = field(default_factory=lambda: deque(maxlen=REMEMBERED_JOBS))
    # By partition, the number of jobs since the start that were not acknowledged, although their client had not reached
    # any of its limits.
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
        self.unacknowledged_total = Counter(
            "postpass_lots_not_kept", "Lots without an acknowledgement, by partition and cause", ["partition", "cause"],
            registry=registry,
        )  # fmt: skip
        Gauge("postpass_backlog", "Calls waiting for a seat", registry=registry).set_function(
            lambda: sum(queue.size for queue in admission.queues.values())
        )
        Gauge("postpass_open_calls", "Calls under way", registry=registry).set_function(admission.in_flight.total)

    @property
    def configuration(self) -> Configuration:
        """The configuration in force at this edge. There must be one: `not_ready_response` tells whether there is."""
        assert self.configuration_view.manifest is not None
        return self.configuration_view.manifest

    @property
    def leaving(self) -> bool:
        """Whether this edge is shutting down and accepts no new requests."""
        return self.admission.leaving

    def leave(self) -> None:
        """Stops accepting new requests: from now on clients are told to use another edge."""
        self.admission.leaving = True

    def not_ready_response(self) -> JSONResponse | None:
        """Returns the response to send while this edge has no up-to-date configuration; None if it has one."""
        name = self.settings.name
        if self.configuration_view.manifest is None:
            return fault_response(Fault("let in", name, "no manifest yet", hint="another edge"), 503)
        if not self.configuration_view.fresh:
            return fault_response(Fault("let in", name, "no fresh news yet", hint="another edge"), 503)
        return None

    def find_class(self, class_name: str, kind: str) -> Result[Class, JSONResponse]:
        """Returns the request class `class_name`, which must be of the given kind, or the error response for the client."""
        request_class = self.configuration["classes"].get(class_name)
        if request_class is not None and request_class["kind"] == kind:
            return Ok(request_class)
        known_names = ", ".join(
            name for name, candidate in self.configuration["classes"].items() if candidate["kind"] == kind
        )
        why = f"class: unknown {kind} class {class_name!r:.40}; known are {known_names}"
        return Err(fault_response(Fault("read body", self.settings.name, why), 400))

    def record_accepted_job(self, job_id: str) -> None:
        """Records a job that was just acknowledged to its client."""
        self.accepted_jobs.append(AcceptedJob(job_id, now()))

    def record_unacknowledged_job(self, job_id: str, fault: Fault, status: int) -> None:
        """Counts and logs a job that was not acknowledged because of a fault of the fleet.

        `status` is that of the response that the client just got: that the job is not stored, or that this is unknown.
        """
        partition = self.partition_for(job_id)
        cause = "unknown" if status == OUTCOME_UNKNOWN_STATUS else "refused"
        self.unacknowledged_total.labels(str(partition), cause).inc()
        self.unkept_jobs[partition] += 1
        log_events.emit(
            Event.JOB_NOT_KEPT, self.settings.name, id=job_id, part=partition, status=status, step=fault.step, asked=fault.peer,
            why=fault.why,
        )  # fmt: skip

    def recently_accepted_jobs(self, partition: int) -> list[str]:
        """Returns the ids of a partition's accepted jobs that are too new for the retention to have removed any of them."""
        min_accepted_at = now() - self.configuration.get("retention", 3600.0)
        partition_count = self.configuration["parts"]
        return [
            job.job_id
            for job in self.accepted_jobs
            if job.accepted_at > min_accepted_at and partition_of(job.job_id, partition_count) == partition
        ]

    def partition_for(self, name: str) -> int:
        """Returns the partition that a job's id or a request's key belongs to."""
        return partition_of(name, self.configuration["parts"])
