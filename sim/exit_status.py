"""The exit status of programs that judge the product: a program that fails itself has found nothing out.

An exception that nothing handles ends Python with the status 1, which a caller would read as the verdict that the product is broken.
"""

from __future__ import annotations

import traceback
from collections.abc import Callable
from enum import IntEnum


class ExitStatus(IntEnum):
    """The exit status of a check."""

    HELD = 0
    BROKEN = 1
    COULD_NOT_RUN = 2


def verdict_of(check: Callable[[], int]) -> int:
    """Runs a check and returns its exit status; `COULD_NOT_RUN`, with the traceback printed, if it fails itself."""
    try:
        return check()
    except Exception:
        traceback.print_exc()
        return ExitStatus.COULD_NOT_RUN
