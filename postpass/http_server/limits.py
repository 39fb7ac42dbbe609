"""The limits of an HTTP server, and how they follow from the resources of the process."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from fractions import Fraction

from postpass.runtime.environment import MAX_LISTEN_QUEUE

BODY_MEMORY_SHARE = Fraction(1, 5)  # of the memory of the process; handling a body takes about as much again
MIN_LARGEST_BODIES = 4  # bodies of the largest size that always fit, however small the memory
FILE_DESCRIPTORS = 200  # reserved for files
CLIENT_DESCRIPTOR_SHARE = Fraction(2, 3)  # of the other descriptors; the rest is for workers, stores and control
MIN_CONNECTIONS = 16


class ServerLimit(StrEnum):
    """A limit that a client met, as metrics and events name it."""

    CONNECTIONS = "connections"
    MEMORY = "memory"
    BODY_TIME = "body time"
    FRAMING = "framing"
    PIPELINE = "pipeline"
    REFUSED_BODY = "refused body"
    UNREAD_RESPONSE = "unread response"


@dataclass(frozen=True)
class ConnectionLimits:
    """Limits on clients' requests and connections.

    Attributes:
        head_bytes: The largest size of a request's head, and of what follows its body.
        head_s: Seconds within which a head must arrive completely.
        idle_s: Seconds that a connection may be idle, also within a body.
        body_bytes: The largest size of a body.
    """

    head_bytes: int
    head_s: float
    idle_s: float
    body_bytes: int = 4 << 20


@dataclass(frozen=True)
class ResourceLimits:
    """Limits on what all clients of a server occupy together.

    Attributes:
        request_bytes: Memory for requests that are arriving or being handled, in bytes.
        connections: The number of connections.
    """

    request_bytes: int
    connections: int

    @classmethod
    def of_process(cls, memory_bytes: int, descriptors: int) -> ResourceLimits:
        """Returns the limits of a process with so much memory and so many descriptors."""
        client_descriptors = int((descriptors - FILE_DESCRIPTORS) * CLIENT_DESCRIPTOR_SHARE)
        return cls(int(memory_bytes * BODY_MEMORY_SHARE), max(MIN_CONNECTIONS, client_descriptors))

    @property
    def listen_queue(self) -> int:
        """The longest queue of connections that aren't accepted yet; all of them may be accepted at once."""
        return min(MAX_LISTEN_QUEUE, self.connections // 2)
