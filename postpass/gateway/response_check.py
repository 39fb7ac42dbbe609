"""Checks what the head of a worker's answer (its status and headers) proves about the request."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

from postpass.configuration.header_names import Dialect

CONTENT_ENCODING = b"content-encoding"
# Statuses by which a worker, or this system to its clients, promises that the request did not run and never will.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
MISDIRECTED = 421


class Proof(Enum):
    """What the head of an answer proves."""

    ANSWER = "answer"  # the worker's own answer to this request
    NOT_RUN = "not run"  # the worker rejected the request
    OTHER_WORKER = (
        "other worker"  # the address belongs to another worker than the one named in the request; nothing ran
    )
    NONE = "none"  # nothing: the answer must not be passed on, and the request may have run


@dataclass(frozen=True)
class ResponseCheck:
    """What a head proves; `why` is the reason if that is `Proof.NONE`."""

    proof: Proof
    why: str = ""


@dataclass(frozen=True)
class ResponseHeaderNames:
    """The names of the headers on answers, as bytes.

    :ivar not_run: the header by which a worker states that the request did not run.
    :ivar seal: the header that a worker sets on each of its own successful answers.
    """

    not_run: bytes
    seal: bytes

    @classmethod
    def of(cls, dialect: Dialect) -> ResponseHeaderNames:
        """Returns the names that a dialect defines."""
        return cls(dialect.not_run.encode(), dialect.seal.encode())


def check_response(status: int, headers: Sequence[tuple[bytes, bytes]], names: ResponseHeaderNames) -> ResponseCheck:
    """Returns what a head proves. It must be complete, and its request id must have been compared already."""
    present = {name for name, _ in headers}
    if not 200 <= status <= 599:
        return ResponseCheck(Proof.NONE, f"status {status}")
    if status == MISDIRECTED:
        return ResponseCheck(Proof.OTHER_WORKER)
    if names.not_run in present:
        if status < 300:
            return ResponseCheck(Proof.NONE, "a success that says that it did not run")
        return ResponseCheck(Proof.NOT_RUN if status in NOT_RUN_STATUSES else Proof.ANSWER)
    if status in NOT_RUN_STATUSES:
        return ResponseCheck(Proof.NONE, f"{status} without proof that it did not run")
    if status < 300 and (names.seal not in present or CONTENT_ENCODING in present):
        return ResponseCheck(Proof.NONE, "a success without the worker's seal")
    return ResponseCheck(Proof.ANSWER)
