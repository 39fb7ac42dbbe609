"""Errors that name the step and the peer at which they occurred.

A `Fault` is a value: handlers return it, links carry it, and the requester decides by its `code`, `hint`, `unsent` and
`unsure` what to do next. `FaultError` is the exception for a fault that has to end the task or process where it occurs.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum, unique
from typing import Any


@unique
class ErrorCode(IntEnum):
    """The kinds of faults, by which peers decide what to do.

    The numbers are sent on the wire. They are HTTP statuses where one fits, so that a gateway can pass them on
    unchanged. A peer of a later release may send other numbers.
    """

    BAD_REQUEST = 400  # the request can never be accepted as it is
    NOT_FOUND = 404
    CONFLICT = 409  # the id is already used for something else
    PRECONDITION_FAILED = 412  # the request is based on a version that is not the present one
    NOT_RESPONSIBLE = 421  # another peer owns the partition or job in question; the hint may name it
    TOO_MANY_REQUESTS = 429  # a limit of the client or class is reached; a later retry may succeed
    CHANGE_FAILED = 500  # an error that nobody expected; the same request would meet it again, whoever handles it
    PEER_FAILED = 502  # anything else: the peer, its disk or the link to it failed
    REJECTED = 503  # not accepted now; nothing was done
    TIMED_OUT = 504  # no response in time; the request may have been carried out
    NO_SPACE = 507  # the disk has no space


BAD_REQUEST: int = ErrorCode.BAD_REQUEST
NOT_FOUND: int = ErrorCode.NOT_FOUND
CONFLICT: int = ErrorCode.CONFLICT
PRECONDITION_FAILED: int = ErrorCode.PRECONDITION_FAILED
NOT_RESPONSIBLE: int = ErrorCode.NOT_RESPONSIBLE
TOO_MANY_REQUESTS: int = ErrorCode.TOO_MANY_REQUESTS
CHANGE_FAILED: int = ErrorCode.CHANGE_FAILED
PEER_FAILED: int = ErrorCode.PEER_FAILED
REJECTED: int = ErrorCode.REJECTED
TIMED_OUT: int = ErrorCode.TIMED_OUT
NO_SPACE: int = ErrorCode.NO_SPACE


@dataclass(frozen=True)
class Fault:
    """An error as a value.

    Attributes:
        step: the operation that failed.
        peer: where it failed: the name of a process, an address, or this process itself.
        why: a description of the error, for people.
        code: an `ErrorCode`, or a number that a later release uses.
        hint: further information that programs may act on, such as the address of the owner.
        unsent: True only if it is proved that no byte of the request left this process.
        unsure: True if an earlier attempt at the same operation got no answer, so that its outcome is unknown.
    """

    step: str
    peer: str
    why: str
    code: int = ErrorCode.PEER_FAILED
    hint: str = ""
    unsent: bool = False
    unsure: bool = False

    def __str__(self) -> str:
        return f"{self.step} at {self.peer}: {self.why}"

    def as_json(self) -> dict[str, Any]:
        """Returns the fault as a JSON object for clients and operators."""
        return {"step": self.step, "peer": self.peer, "why": self.why} | ({"hint": self.hint} if self.hint else {})


class FaultError(Exception):
    """Raised for a fault that ends the task or the process in which it occurs."""

    def __init__(self, fault: Fault) -> None:
        super().__init__(str(fault))
        self.fault = fault
