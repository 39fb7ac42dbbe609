"""JSON bodies of requests to an edge: their fields, and how they are read and checked."""

from __future__ import annotations

import json
import re
from typing import Any, NotRequired, TypedDict

from result import Err, Ok, Result
from starlette.requests import Request
from starlette.responses import JSONResponse

from postpass.configuration.schema import validation_errors
from postpass.gateway.http_errors import fault_response
from postpass.runtime.errors import Fault

IDENTIFIER = re.compile(r"[A-Za-z0-9._\-]{1,80}")  # ids of jobs and keys of live requests
IDENTIFIER_WANTED = "want 1 to 80 of A-Z a-z 0-9 . _ -"
CLIENT_HEADER = "x-caller"
CLIENT_CHARACTERS = 80  # of a client's name; the rest of it is ignored


class LiveRequestBody(TypedDict):
    """Body of a live request; `class` is one of its fields too, which can't be written as a name here."""

    own: str  # the part of the prompt that is this request's alone
    shared: NotRequired[list[str]]  # parts of the prompt that it has in common with others
    once: NotRequired[bool]  # it must not run twice
    key: NotRequired[str]  # names the request among all edges, so that it is taken once
    deadline: NotRequired[float]  # seconds
    most: NotRequired[int]  # tokens of the answer


LiveRequestBody.__annotations__["class"] = "str"


class JobRequestBody(TypedDict):
    """Body of a new job; `class` is one of its fields too, which can't be written as a name here."""

    items: list[str]
    id: NotRequired[str]
    shared: NotRequired[list[str]]
    due: NotRequired[float]  # seconds since the epoch
    within: NotRequired[float]  # seconds from now, in place of `due`


JobRequestBody.__annotations__["class"] = "str"


def client_of(request: Request) -> str:
    """The client's name as it gives it; empty if it gives none."""
    return request.headers.get(CLIENT_HEADER, "")[:CLIENT_CHARACTERS]


async def read_json(request: Request, schema: Any, max_bytes: int, edge: str) -> Result[Any, JSONResponse]:
    """Reads and checks a body against a TypedDict; the error is the answer to the client.

    `edge`: this edge's name for faults. Raises starlette's ClientDisconnect if the client goes before the end.
    """
    data = b""
    async for chunk in request.stream():
        data += chunk
        if len(data) > max_bytes:
            return Err(fault_response(Fault("read body", edge, f"(top): at most {max_bytes} bytes"), 413))
    try:
        raw = json.loads(data)
    except (ValueError, RecursionError) as error:
        return Err(fault_response(Fault("read body", edge, f"(top): not JSON: {error}"), 400))
    found = validation_errors(schema, raw)
    if found:
        return Err(fault_response(Fault("read body", edge, found[0]), 400, flaws=found))
    return Ok(raw)
