"""HTTP responses that tell a client why its request was not served."""

from __future__ import annotations

import math
from typing import Any

from starlette.responses import JSONResponse

from postpass.runtime.errors import Fault

LEAVING = "this edge is leaving; use another edge"
EVACUATED = "this area is evacuated; use another edge"
RETRYABLE_STATUSES = frozenset((429, 503, 504, 507))  # statuses after which the client may succeed if it retries


def fault_response(fault: Fault, status: int, *, retry_after_s: float | None = None, **details: Any) -> JSONResponse:
    """Returns an error response in JSON; all refusals and errors have this form.

    `retry_after_s`: seconds after which the client may retry; the default is one second for `RETRYABLE_STATUSES`, and no
    Retry-After header for the others. `details`: further fields of the error, after those of the fault.
    """
    if retry_after_s is None:
        retry_after_s = 1 if status in RETRYABLE_STATUSES else 0
    headers = {"retry-after": str(max(1, math.ceil(retry_after_s)))} if retry_after_s else {}
    if fault.why == LEAVING:
        headers["connection"] = "close"
    return JSONResponse({"error": fault.as_json() | details}, status, headers=headers)
